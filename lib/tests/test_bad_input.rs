//! Malformed, oversized and slow input at the listener for callers and operators. Such input never
//! reaches an engine, and its refusal has the right status and code and is counted.

use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use parsleywall::host::EntryHost;
use parsleywall::http::client::HttpClient;
use parsleywall::settings::RawSettings;
use parsleywall::settings::SettingName;
use parsleywall::settings::Settings;
use parsleywall::terms::TermsDocument;
use parsleywall_standins::fleet::StandinFleet;
use parsleywall_standins::terms::MEMBER_KEY;
use parsleywall_standins::terms::OPERATOR_KEY;
use proptest::prelude::*;
use serde_json::Value;
use serde_json::json;
use strum::IntoEnumIterator;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::Runtime;

const CHAT_PATH: &str = "/v1/chat/completions";
const BYTES_PER_MIB: usize = 1024 * 1024;
const LARGE_BODY_BYTES: usize = 900_000;
const PARTIAL_BODY_BYTES: usize = 90_000;
const MAX_UNFINISHED_REQUESTS: usize = 100;
const MAX_STATUS_POLLS: u32 = 200;
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const READ_TIMEOUT: Duration = Duration::from_secs(2);

struct InputSetup {
    fleet: StandinFleet,
    client: HttpClient,
    executions_at_start: usize,
}

impl InputSetup {
    async fn start() -> Self {
        let limit = |raw: &mut RawSettings| raw.set(SettingName::MaxBodyMib, "1");
        let mut setup = Self {
            fleet: StandinFleet::start(1, limit).await.unwrap(),
            client: HttpClient::new(),
            executions_at_start: 0,
        };
        setup.executions_at_start = setup.execution_count();
        setup
    }

    fn host(&self) -> &EntryHost {
        &self.fleet.hosts[0]
    }

    fn execution_count(&self) -> usize {
        let engines = self.fleet.platform.engines.iter();
        engines.map(|engine| engine.executions().len()).sum()
    }

    async fn send(
        &self,
        path: &str,
        content_type: &str,
        body: impl Into<Bytes>,
    ) -> (StatusCode, Value) {
        let request = http::Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.host().address()))
            .header("authorization", format!("Bearer {MEMBER_KEY}"))
            .header("content-type", content_type)
            .body(Full::new(body.into()))
            .unwrap();
        let response = self.client.send(request).await.unwrap();
        let status = response.status();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        (status, serde_json::from_slice(&body).unwrap())
    }

    /// Sends `body` repeatedly until the host answers with `status`, and returns that answer.
    async fn wait_for_status(&self, body: &[u8], status: StatusCode) -> Value {
        for _ in 0..MAX_STATUS_POLLS {
            let (found, answer) = self
                .send(CHAT_PATH, "application/json", body.to_vec())
                .await;
            if found == status {
                return answer;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("the host never answered with {status}");
    }

    async fn counter(&self, name: &str) -> u64 {
        let request = http::Request::builder()
            .uri(format!(
                "http://{}/admin/v1/counters",
                self.host().address()
            ))
            .header("authorization", format!("Bearer {OPERATOR_KEY}"))
            .body(Full::new(Bytes::new()))
            .unwrap();
        let response = self.client.send(request).await.unwrap();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        let counters: Value = serde_json::from_slice(&body).unwrap();
        counters[name].as_u64().unwrap()
    }

    /// Asserts that `body` is refused with `status` and `code`, that the refusal is counted, and
    /// that no engine ran anything.
    async fn assert_refused(
        &self,
        content_type: &str,
        body: impl Into<Bytes>,
        status: StatusCode,
        code: &str,
    ) {
        let before = self.counter(&format!("refusal.{code}")).await;
        let (found, answer) = self.send(CHAT_PATH, content_type, body).await;
        assert_eq!(found, status, "{answer}");
        assert_eq!(answer["error"]["code"], code);
        assert_eq!(answer["error"]["executed"], "no");
        assert!(!answer["error"]["message"].as_str().unwrap().is_empty());
        let after = self.counter(&format!("refusal.{code}")).await;
        assert_eq!(after, before + 1);
        assert_eq!(self.execution_count(), self.executions_at_start);
    }
}

#[tokio::test]
async fn test_bad_input_oversized() {
    let setup = InputSetup::start().await;
    let body = vec![b' '; BYTES_PER_MIB + 1];
    let status = StatusCode::PAYLOAD_TOO_LARGE;
    setup
        .assert_refused("application/json", body, status, "too_large")
        .await;
}

#[tokio::test]
async fn test_bad_input_truncated_json() {
    let setup = InputSetup::start().await;
    let body = r#"{"model":"demo","messages":[{"role":"user""#;
    let status = StatusCode::BAD_REQUEST;
    setup
        .assert_refused("application/json", body, status, "bad_request")
        .await;
}

#[tokio::test]
async fn test_bad_input_deeply_nested() {
    let setup = InputSetup::start().await;
    let body = "[".repeat(100_000);
    let status = StatusCode::BAD_REQUEST;
    setup
        .assert_refused("application/json", body, status, "bad_request")
        .await;
}

#[tokio::test]
async fn test_bad_input_not_utf8() {
    let setup = InputSetup::start().await;
    let body = Bytes::from_static(b"{\"model\":\"demo\xff\",\"messages\":[]}");
    let status = StatusCode::BAD_REQUEST;
    setup
        .assert_refused("application/json", body, status, "bad_request")
        .await;
}

#[tokio::test]
async fn test_bad_input_wrong_content_type() {
    let setup = InputSetup::start().await;
    let status = StatusCode::UNSUPPORTED_MEDIA_TYPE;
    setup
        .assert_refused("text/plain", "{}", status, "content_type")
        .await;
}

#[tokio::test]
async fn test_bad_input_wrong_paths_and_methods() {
    let setup = InputSetup::start().await;
    let cases = [
        (MEMBER_KEY, Method::GET, CHAT_PATH, 405, Some("POST")),
        (
            MEMBER_KEY,
            Method::DELETE,
            "/v1/batches",
            405,
            Some("GET, POST"),
        ),
        (MEMBER_KEY, Method::PUT, "/v1/models", 405, Some("GET")),
        (MEMBER_KEY, Method::GET, "/v1/nothing", 404, None),
        (MEMBER_KEY, Method::GET, "/services/nothing/x", 404, None),
        (
            OPERATOR_KEY,
            Method::POST,
            "/admin/v1/status",
            405,
            Some("GET"),
        ),
        (
            OPERATOR_KEY,
            Method::POST,
            "/admin/v1/terms",
            405,
            Some("GET, PUT"),
        ),
        (OPERATOR_KEY, Method::GET, "/admin/v1/nothing", 404, None),
    ];
    for (key, method, path, status, allow) in cases {
        let request = http::Request::builder()
            .method(&method)
            .uri(format!("http://{}{path}", setup.host().address()))
            .header("authorization", format!("Bearer {key}"))
            .body(Full::new(Bytes::new()))
            .unwrap();
        let response = setup.client.send(request).await.unwrap();
        assert_eq!(response.status().as_u16(), status, "{method} {path}");
        let found = response.headers().get("allow");
        assert_eq!(found.map(|value| value.to_str().unwrap()), allow, "{path}");
    }
}

#[tokio::test]
async fn test_bad_input_unknown_model() {
    let setup = InputSetup::start().await;
    let body = json!({ "model": "nowhere", "messages": [] }).to_string();
    let status = StatusCode::NOT_FOUND;
    setup
        .assert_refused("application/json", body, status, "unknown_model")
        .await;
}

#[tokio::test]
async fn test_bad_input_wrong_types() {
    let setup = InputSetup::start().await;
    let bodies = [
        json!([]),
        json!({ "model": 5, "messages": [] }),
        json!({ "model": "demo", "messages": "text" }),
        json!({ "model": "demo", "messages": [], "n": 2 }),
        json!({ "model": "demo", "messages": [], "stream": "yes" }),
        json!({ "model": "demo", "messages": [], "max_tokens": -1 }),
    ];
    for body in bodies {
        let status = StatusCode::BAD_REQUEST;
        setup
            .assert_refused("application/json", body.to_string(), status, "bad_request")
            .await;
    }
}

#[tokio::test]
async fn test_bad_input_too_many_headers() {
    let setup = InputSetup::start().await;
    let headers: String = (0..200)
        .map(|number| format!("x-{number}: 1\r\n"))
        .collect();
    let request = format!("GET /v1/models HTTP/1.1\r\nhost: a\r\n{headers}\r\n");
    let answer = exchange(setup.host(), request.as_bytes()).await;
    assert!(answer.starts_with(b"HTTP/1.1 431"), "{answer:?}");
}

#[tokio::test]
async fn test_bad_input_body_cut_off() {
    let setup = InputSetup::start().await;
    let request = format!(
        "POST {CHAT_PATH} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {MEMBER_KEY}\r\n\
         content-type: application/json\r\ncontent-length: 500\r\n\r\n{{\"model\":\"demo\","
    );
    let mut stream = TcpStream::connect(setup.host().address()).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    drop(stream);
    let body = json!({ "model": "demo", "max_tokens": 1, "messages": [] });
    let (status, _) = setup
        .send(CHAT_PATH, "application/json", body.to_string())
        .await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(setup.execution_count(), setup.executions_at_start + 1);
}

#[tokio::test]
async fn test_bad_input_body_memory_exhausted() {
    let setup = InputSetup::start().await;
    let head = format!(
        "POST {CHAT_PATH} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {MEMBER_KEY}\r\n\
         content-type: application/json\r\ncontent-length: {BYTES_PER_MIB}\r\n\r\n"
    );
    let part = vec![b' '; PARTIAL_BODY_BYTES];
    let mut unfinished = Vec::new();
    let mut answer = Vec::new();
    // Opens requests with unfinished bodies, one by one, until the memory budget for request bodies
    // is used up and the host refuses the next.
    while answer.is_empty() {
        assert!(
            unfinished.len() < MAX_UNFINISHED_REQUESTS,
            "the memory budget is never used up"
        );
        let mut stream = TcpStream::connect(setup.host().address()).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&part).await.unwrap();
        let read = stream.read_buf(&mut answer);
        // Without an answer in this time, the host has accepted the part and waits for the rest.
        let _ = tokio::time::timeout(POLL_INTERVAL, read).await;
        unfinished.push(stream);
    }
    assert!(answer.starts_with(b"HTTP/1.1 503"));
    let part = vec![b' '; LARGE_BODY_BYTES];
    let overloaded = setup
        .wait_for_status(&part, StatusCode::SERVICE_UNAVAILABLE)
        .await;
    assert_eq!(overloaded["error"]["code"], "overloaded");
    assert_eq!(overloaded["error"]["executed"], "no");
    drop(unfinished);
    setup.wait_for_status(&part, StatusCode::BAD_REQUEST).await;
    assert_eq!(setup.execution_count(), setup.executions_at_start);
}

#[tokio::test]
async fn test_bad_input_upload_without_file() {
    let setup = InputSetup::start().await;
    let form = "--b\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n--b--\r\n";
    let (status, answer) = setup
        .send("/v1/files", "multipart/form-data; boundary=b", form)
        .await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    assert_eq!(answer["error"]["code"], "bad_request");
}

#[tokio::test]
async fn test_bad_input_upload_not_multipart() {
    let setup = InputSetup::start().await;
    let (status, answer) = setup.send("/v1/files", "application/json", "{}").await;
    assert_eq!(status, StatusCode::UNSUPPORTED_MEDIA_TYPE);
    assert_eq!(answer["error"]["code"], "content_type");
}

/// Sends raw bytes on a new connection, closes its sending side and returns the response bytes.
async fn exchange(host: &EntryHost, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(host.address()).await.unwrap();
    // The host may close the connection before it has received all bytes.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(READ_TIMEOUT, stream.read_to_end(&mut answer)).await;
    answer
}

/// Returns one host that all cases of the property tests share, with the runtime that it runs on.
fn shared_setup() -> &'static (Runtime, InputSetup) {
    static SETUP: OnceLock<(Runtime, InputSetup)> = OnceLock::new();
    SETUP.get_or_init(|| {
        let runtime = Runtime::new().unwrap();
        let setup = runtime.block_on(InputSetup::start());
        (runtime, setup)
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn test_bad_input_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..2048)) {
        let (runtime, setup) = shared_setup();
        runtime.block_on(async {
            exchange(setup.host(), &bytes).await;
            let (status, _) = setup.send(CHAT_PATH, "application/json", "{}").await;
            assert_eq!(status, StatusCode::BAD_REQUEST);
            assert_eq!(setup.execution_count(), setup.executions_at_start);
        });
    }

    #[test]
    fn test_bad_input_arbitrary_body(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let (runtime, setup) = shared_setup();
        runtime.block_on(async {
            let (status, _) = setup.send(CHAT_PATH, "application/json", bytes.clone()).await;
            assert!(status.is_client_error());
            assert_eq!(setup.execution_count(), setup.executions_at_start);
        });
    }

    #[test]
    fn test_bad_input_arbitrary_settings(values in proptest::collection::vec(".*", 24)) {
        let mut raw = RawSettings::default();
        for (name, value) in SettingName::iter().zip(values) {
            raw.set(name, value);
        }
        if let Err(faults) = Settings::check(&raw) {
            for fault in faults {
                let flag = format!("--{}: ", fault.name);
                let text = fault.to_string();
                prop_assert!(text.starts_with(&flag), "{}", text);
            }
        }
    }

    #[test]
    fn test_bad_input_arbitrary_terms(text in "[\\[\\]{}\":,a-z0-9]{0,200}") {
        if let Ok(document) = serde_json::from_str::<TermsDocument>(&text) {
            document.validation_errors();
        }
    }
}
