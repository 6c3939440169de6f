//! Requests and a batch job through a complete entry host with stand-in upstreams.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use parsleywall::edges::engine::Endpoint;
use parsleywall::host::EntryHost;
use parsleywall::http::client::HttpClient;
use parsleywall_standins::engine::expected_answer;
use parsleywall_standins::fleet::StandinFleet;
use parsleywall_standins::terms::MEMBER_KEY;
use serde_json::Value;
use serde_json::json;

const MAX_POLLS: u32 = 200;

struct HostFixture {
    fleet: StandinFleet,
    client: HttpClient,
}

impl HostFixture {
    async fn start() -> Self {
        Self {
            fleet: StandinFleet::start(1, |_| {}).await.unwrap(),
            client: HttpClient::new(),
        }
    }

    fn host(&self) -> &EntryHost {
        &self.fleet.hosts[0]
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        content_type: &str,
        body: impl Into<Bytes>,
    ) -> (StatusCode, Bytes) {
        let request = http::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.host().address()))
            .header("authorization", format!("Bearer {MEMBER_KEY}"))
            .header("content-type", content_type)
            .body(Full::new(body.into()))
            .unwrap();
        let response = self.client.send(request).await.unwrap();
        let status = response.status();
        let body = response.into_body().collect().await.unwrap();
        (status, body.to_bytes())
    }

    async fn json(&self, method: Method, path: &str, body: Value) -> (StatusCode, Value) {
        let (status, body) = self
            .call(method, path, "application/json", body.to_string())
            .await;
        (status, serde_json::from_slice(&body).unwrap())
    }
}

fn chat(text: &str) -> Value {
    json!({
        "model": "demo",
        "max_tokens": 8,
        "messages": [{ "role": "user", "content": text }],
    })
}

#[tokio::test]
async fn test_whole_path_chat() {
    let fixture = HostFixture::start().await;
    let body = chat("Can this oak carry a deck?");
    let (status, answer) = fixture
        .json(Method::POST, "/v1/chat/completions", body.clone())
        .await;
    assert_eq!(status, StatusCode::OK);
    let expected = expected_answer(&body, Endpoint::Chat, 8);
    assert_eq!(answer["choices"][0]["message"]["content"], expected);
    assert_eq!(answer["usage"]["completion_tokens"], 8);
    for host in fixture.fleet.hosts {
        assert_eq!(host.drain().await, 0);
    }
}

#[tokio::test]
async fn test_whole_path_stream() {
    let fixture = HostFixture::start().await;
    let mut body = chat("How many bolts?");
    body["stream"] = json!(true);
    let (status, answer) = fixture
        .call(
            Method::POST,
            "/v1/chat/completions",
            "application/json",
            body.to_string(),
        )
        .await;
    assert_eq!(status, StatusCode::OK);
    let text = String::from_utf8(answer.to_vec()).unwrap();
    assert_eq!(text.matches("\"delta\"").count(), 8);
    assert!(text.ends_with("data: [DONE]\n\n"));
}

#[tokio::test]
async fn test_whole_path_unknown_key() {
    let fixture = HostFixture::start().await;
    let request = http::Request::builder()
        .uri(format!("http://{}/v1/models", fixture.host().address()))
        .header("authorization", "Bearer wrong")
        .body(Full::new(Bytes::new()))
        .unwrap();
    let response = fixture.client.send(request).await.unwrap();
    assert_eq!(response.status(), StatusCode::UNAUTHORIZED);
}

#[tokio::test]
async fn test_whole_path_service() {
    let fixture = HostFixture::start().await;
    let (status, answer) = fixture
        .json(Method::POST, "/services/echo/fold?side=a", json!("paper"))
        .await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(answer["path"], "/fold?side=a");
    assert_eq!(answer["body"], "\"paper\"");
}

#[tokio::test]
async fn test_whole_path_batch() {
    let fixture = HostFixture::start().await;
    let lines: String = (0..20)
        .map(|number| {
            let body = chat(&format!("Entry {number}"));
            let item = json!({
                "custom_id": number.to_string(),
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": body,
            });
            format!("{item}\n")
        })
        .collect();
    let form = format!(
        "--b\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --b\r\nContent-Disposition: form-data; name=\"file\"; filename=\"items.jsonl\"\r\n\r\n\
         {lines}\r\n--b--\r\n"
    );
    let (status, file) = fixture
        .call(
            Method::POST,
            "/v1/files",
            "multipart/form-data; boundary=b",
            form,
        )
        .await;
    assert_eq!(status, StatusCode::OK);
    let file: Value = serde_json::from_slice(&file).unwrap();
    let request = json!({
        "input_file_id": file["id"],
        "endpoint": "/v1/chat/completions",
        "completion_window": "24h",
    });
    let (status, mut job) = fixture.json(Method::POST, "/v1/batches", request).await;
    assert_eq!(status, StatusCode::OK);
    let id = job["id"].as_str().unwrap().to_owned();
    for _ in 0..MAX_POLLS {
        if job["status"] == "completed" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        (_, job) = fixture
            .json(Method::GET, &format!("/v1/batches/{id}"), Value::Null)
            .await;
    }
    assert_eq!(job["status"], "completed");
    assert_eq!(job["request_counts"]["completed"], 20);
    let output = job["output_file_id"].as_str().unwrap();
    let (_, output) = fixture
        .call(
            Method::GET,
            &format!("/v1/files/{output}/content"),
            "application/json",
            "",
        )
        .await;
    let text = String::from_utf8(output.to_vec()).unwrap();
    assert_eq!(text.lines().count(), 20);
    for (number, line) in text.lines().enumerate() {
        let line: Value = serde_json::from_str(line).unwrap();
        assert_eq!(line["custom_id"], number.to_string());
        let body = chat(&format!("Entry {number}"));
        let answer = &line["response"]["body"]["choices"][0]["message"]["content"];
        assert_eq!(*answer, expected_answer(&body, Endpoint::Chat, 8));
    }
}
