//! Files and batch jobs, tested on whole entry hosts with stand-ins for the platform.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use parsleywall::edges::engine::Endpoint;
use parsleywall::edges::kv::KvStore;
use parsleywall::host::EntryHost;
use parsleywall::http::client::HttpClient;
use parsleywall_standins::edges::PlatformPlan;
use parsleywall_standins::edges::PlatformStandins;
use parsleywall_standins::engine::EngineProfile;
use parsleywall_standins::engine::expected_answer;
use parsleywall_standins::fleet::host_settings;
use parsleywall_standins::fleet::start_host;
use parsleywall_standins::fleet::wait_until_ready;
use parsleywall_standins::terms::MEMBER_KEY;
use parsleywall_standins::terms::demo_terms;
use serde_json::Value;
use serde_json::json;

const POLL: Duration = Duration::from_millis(50);
/// Polls after which a wait fails. Only a timeout: no assertion depends on how many polls a wait
/// takes.
const MAX_POLLS: u32 = 1200;
const TOKENS: u64 = 4;

struct TestFleet {
    platform: PlatformStandins,
    hosts: Vec<EntryHost>,
    client: HttpClient,
}

impl TestFleet {
    async fn start(hosts: usize, profile: EngineProfile) -> Self {
        let plan = PlatformPlan {
            profile,
            ..PlatformPlan::default()
        };
        let platform = PlatformStandins::start(&plan).await.unwrap();
        platform.accept_terms(demo_terms()).await.unwrap();
        let mut fleet = Self {
            platform,
            hosts: Vec::new(),
            client: HttpClient::new(),
        };
        for number in 0..hosts {
            fleet.add_host(number).await;
        }
        fleet
    }

    async fn add_host(&mut self, number: usize) {
        let seeds: Vec<SocketAddr> = self.hosts.iter().map(EntryHost::peer_address).collect();
        let raw = host_settings(&self.platform, number, "local", &seeds);
        let host = start_host(&raw).await.unwrap();
        wait_until_ready(host.address(), MEMBER_KEY).await.unwrap();
        self.hosts.push(host);
    }

    async fn call(
        &self,
        host: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> (StatusCode, Bytes) {
        let address = self.hosts[host].address();
        let mut request = http::Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {MEMBER_KEY}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).unwrap();
        let response = self.client.send(request).await.unwrap();
        let status = response.status();
        (
            status,
            response.into_body().collect().await.unwrap().to_bytes(),
        )
    }

    async fn get(&self, host: usize, path: &str) -> Value {
        let (status, body) = self.call(host, Method::GET, path, &[], "").await;
        assert_eq!(status, StatusCode::OK, "{path}: {body:?}");
        serde_json::from_slice(&body).unwrap()
    }

    async fn upload(&self, host: usize, content: &str) -> (StatusCode, Value) {
        let form = format!(
            "--b\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
             --b\r\nContent-Disposition: form-data; name=\"file\"; filename=\"i.jsonl\"\r\n\r\n\
             {content}\r\n--b--\r\n"
        );
        let kind = [("content-type", "multipart/form-data; boundary=b")];
        let (status, body) = self
            .call(host, Method::POST, "/v1/files", &kind, form)
            .await;
        (status, serde_json::from_slice(&body).unwrap())
    }

    async fn create(&self, host: usize, file: &Value, key: Option<&str>) -> (StatusCode, Value) {
        let request = json!({
            "input_file_id": file["id"],
            "endpoint": "/v1/chat/completions",
            "completion_window": "24h",
        });
        let mut headers = vec![("content-type", "application/json")];
        headers.extend(key.map(|key| ("idempotency-key", key)));
        let body = request.to_string();
        let (status, body) = self
            .call(host, Method::POST, "/v1/batches", &headers, body)
            .await;
        (status, serde_json::from_slice(&body).unwrap())
    }

    async fn submit(&self, host: usize, content: &str, key: Option<&str>) -> String {
        let (status, file) = self.upload(host, content).await;
        assert_eq!(status, StatusCode::OK, "{file}");
        let (status, job) = self.create(host, &file, key).await;
        assert_eq!(status, StatusCode::OK, "{job}");
        job["id"].as_str().unwrap().to_owned()
    }

    async fn job(&self, host: usize, id: &str) -> Value {
        self.get(host, &format!("/v1/batches/{id}")).await
    }

    async fn wait(&self, host: usize, id: &str, done: impl Fn(&Value) -> bool) -> Value {
        for _ in 0..MAX_POLLS {
            let job = self.job(host, id).await;
            if done(&job) {
                return job;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!(
            "{id} was not in the expected state in time: {}",
            self.job(host, id).await
        );
    }

    async fn wait_completed(&self, host: usize, id: &str) -> Value {
        self.wait(host, id, |job| job["status"] == "completed")
            .await
    }

    /// Reads the lines of a job's output or error file.
    async fn lines(&self, host: usize, file: &Value) -> Vec<Value> {
        let path = format!("/v1/files/{}/content", file.as_str().unwrap());
        let (status, body) = self.call(host, Method::GET, &path, &[], "").await;
        assert_eq!(status, StatusCode::OK);
        let lines = body.split(|byte| *byte == b'\n');
        lines
            .filter(|line| !line.is_empty())
            .map(|line| serde_json::from_slice(line).unwrap())
            .collect()
    }

    /// Asserts that the output file holds the expected answers of all `items` items, in input
    /// order.
    async fn assert_output(&self, host: usize, job: &Value, items: usize) {
        let lines = self.lines(host, &job["output_file_id"]).await;
        assert_eq!(lines.len(), items);
        for (number, line) in lines.iter().enumerate() {
            assert_eq!(line["custom_id"], number.to_string());
            let expected = expected_answer(&body(number), Endpoint::Chat, TOKENS);
            let answer = &line["response"]["body"]["choices"][0]["message"]["content"];
            assert_eq!(*answer, expected);
        }
    }

    fn running(&self) -> u32 {
        let engines = self.platform.engines.iter();
        engines.map(|engine| engine.load_now().running).sum()
    }
}

fn body(number: usize) -> Value {
    json!({
        "model": "demo",
        "max_tokens": TOKENS,
        "messages": [{ "role": "user", "content": format!("Entry {number}") }],
    })
}

fn line(number: usize, body: Value) -> String {
    let item = json!({
        "custom_id": number.to_string(),
        "method": "POST",
        "url": "/v1/chat/completions",
        "body": body,
    });
    format!("{item}\n")
}

fn items(count: usize) -> String {
    (0..count)
        .map(|number| line(number, body(number)))
        .collect()
}

#[tokio::test]
async fn test_batch_resend_to_other_host() {
    let fleet = TestFleet::start(2, EngineProfile::default()).await;
    let first = fleet.submit(0, &items(30), Some("survey")).await;
    assert_eq!(fleet.submit(1, &items(30), Some("survey")).await, first);
    let plain = fleet.submit(0, &items(30), None).await;
    assert_eq!(fleet.submit(1, &items(30), None).await, plain);
    assert_ne!(plain, first);
    let (_, file) = fleet.upload(1, &items(31)).await;
    let (status, _) = fleet.create(1, &file, Some("survey")).await;
    assert_eq!(status, StatusCode::BAD_REQUEST, "the key is taken");
    let job = fleet.wait_completed(1, &first).await;
    fleet.assert_output(1, &job, 30).await;
    assert_eq!(fleet.submit(1, &items(30), Some("survey")).await, first);
}

#[tokio::test]
async fn test_batch_resend_race() {
    let fleet = TestFleet::start(3, EngineProfile::default()).await;
    let content = items(10);
    let (a, b, c) = tokio::join!(
        fleet.submit(0, &content, None),
        fleet.submit(1, &content, None),
        fleet.submit(2, &content, None),
    );
    assert_eq!(a, b);
    assert_eq!(a, c);
    fleet.wait_completed(0, &a).await;
}

#[tokio::test]
async fn test_batch_faulty_input() {
    let fleet = TestFleet::start(1, EngineProfile::default()).await;
    let content = format!("{}{}not json\n", items(2), line(1, body(1)));
    let id = fleet.submit(0, &content, None).await;
    let job = fleet.job(0, &id).await;
    assert_eq!(job["status"], "failed");
    let faults = &job["errors"]["data"];
    assert_eq!(faults[0]["code"], "duplicate_custom_id");
    assert_eq!(faults[0]["line"], 3);
    assert_eq!(faults[1]["code"], "invalid_json_line");
    assert_eq!(faults[1]["line"], 4);
}

#[tokio::test]
async fn test_batch_item_that_cannot_complete() {
    let fleet = TestFleet::start(1, EngineProfile::default()).await;
    let mut unknown = body(20);
    unknown["model"] = json!("nobody-has-it");
    let content = format!("{}{}", items(20), line(20, unknown));
    let id = fleet.submit(0, &content, None).await;
    let job = fleet.wait_completed(0, &id).await;
    assert_eq!(job["request_counts"]["completed"], 20);
    assert_eq!(job["request_counts"]["failed"], 1);
    fleet.assert_output(0, &job, 20).await;
    let errors = fleet.lines(0, &job["error_file_id"]).await;
    assert_eq!(errors.len(), 1);
    assert_eq!(errors[0]["custom_id"], "20");
    assert!(errors[0]["error"]["code"].is_string());
}

#[tokio::test]
async fn test_batch_results_by_item() {
    let fleet = TestFleet::start(2, EngineProfile::default()).await;
    let id = fleet.submit(0, &items(25), None).await;
    fleet.wait_completed(1, &id).await;
    let mut seen = Vec::new();
    let mut after = 0;
    loop {
        let path = format!("/v1/batches/{id}/results?after={after}&limit=10");
        let page = fleet.get(1, &path).await;
        for result in page["data"].as_array().unwrap() {
            seen.push(
                result["custom_id"]
                    .as_str()
                    .unwrap()
                    .parse::<usize>()
                    .unwrap(),
            );
        }
        after = page["after"].as_u64().unwrap();
        if page["has_more"] == false {
            break;
        }
    }
    seen.sort_unstable();
    assert_eq!(seen, (0..25).collect::<Vec<usize>>());
}

#[tokio::test]
async fn test_batch_store_down_reports_not_executed() {
    let fleet = TestFleet::start(1, EngineProfile::default()).await;
    let (_, file) = fleet.upload(0, &items(5)).await;
    let faults = &fleet.platform.kv.faults;
    faults.down.store(true, Ordering::Relaxed);
    let (status, refusal) = fleet.create(0, &file, Some("one")).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refusal["error"]["executed"], "no");
    faults.down.store(false, Ordering::Relaxed);
    let (status, job) = fleet.create(0, &file, Some("one")).await;
    assert_eq!(status, StatusCode::OK);
    fleet.wait_completed(0, job["id"].as_str().unwrap()).await;
}

#[tokio::test]
async fn test_batch_store_down_while_running() {
    let fleet = TestFleet::start(1, EngineProfile::default()).await;
    let id = fleet.submit(0, &items(400), None).await;
    let faults = &fleet.platform.kv.faults;
    faults.down.store(true, Ordering::Relaxed);
    let finished = || {
        let engines = fleet.platform.engines.iter();
        let runs = engines.flat_map(|engine| engine.executions());
        runs.filter(|run| run.finished && run.request.starts_with("batch_"))
            .count()
    };
    for _ in 0..MAX_POLLS {
        if finished() >= 400 {
            break;
        }
        tokio::time::sleep(POLL).await;
    }
    assert!(finished() >= 400, "running items did not finish");
    faults.lose_answers.store(3, Ordering::Relaxed);
    faults.down.store(false, Ordering::Relaxed);
    let job = fleet.wait_completed(0, &id).await;
    fleet.assert_output(0, &job, 400).await;
}

#[tokio::test]
async fn test_batch_lost_answers_at_acceptance() {
    let fleet = TestFleet::start(1, EngineProfile::default()).await;
    let (_, file) = fleet.upload(0, &items(5)).await;
    let marker_and_record = 1;
    fleet
        .platform
        .kv
        .faults
        .lose_answers
        .store(marker_and_record, Ordering::Relaxed);
    let (first, _) = fleet.create(0, &file, Some("lost")).await;
    // The answer to the write of the marker was lost, so nothing was accepted. The same submission
    // is accepted when it is sent again.
    assert_eq!(first, StatusCode::SERVICE_UNAVAILABLE);
    let id = fleet.submit(0, &items(5), Some("lost")).await;
    let job = fleet.wait_completed(0, &id).await;
    fleet.assert_output(0, &job, 5).await;
}

#[tokio::test]
async fn test_batch_cancel_stops_everywhere() {
    let fleet = TestFleet::start(3, EngineProfile::default()).await;
    let id = fleet.submit(0, &items(4000), None).await;
    let has_results = |job: &Value| job["request_counts"]["completed"].as_u64() > Some(0);
    fleet.wait(1, &id, has_results).await;
    let path = format!("/v1/batches/{id}/cancel");
    let (status, job) = fleet.call(2, Method::POST, &path, &[], "").await;
    assert_eq!(status, StatusCode::OK);
    let job: Value = serde_json::from_slice(&job).unwrap();
    assert_eq!(job["status"], "cancelled");
    for _ in 0..MAX_POLLS {
        if fleet.running() == 0 {
            break;
        }
        tokio::time::sleep(POLL).await;
    }
    assert_eq!(fleet.running(), 0, "items are still running");
    for host in 0..3 {
        assert_eq!(fleet.job(host, &id).await, job);
    }
    let committed = job["request_counts"]["completed"].as_u64().unwrap() as usize;
    let lines = fleet.lines(1, &job["output_file_id"]).await;
    assert_eq!(lines.len(), committed);
}

#[tokio::test]
async fn test_batch_drain_releases_job() {
    let mut fleet = TestFleet::start(2, EngineProfile::default()).await;
    let id = fleet.submit(0, &items(2000), None).await;
    let has_results = |job: &Value| job["request_counts"]["completed"].as_u64() > Some(0);
    fleet.wait(1, &id, has_results).await;
    fleet.hosts.remove(0).drain().await;
    let job = fleet.wait_completed(0, &id).await;
    assert_eq!(job["request_counts"]["completed"], 2000);
    fleet.assert_output(0, &job, 2000).await;
}

#[tokio::test]
async fn test_batch_all_hosts_restart() {
    let mut fleet = TestFleet::start(1, EngineProfile::default()).await;
    let id = fleet.submit(0, &items(2000), None).await;
    fleet.hosts.remove(0).drain().await;
    fleet.add_host(0).await;
    let job = fleet.wait_completed(0, &id).await;
    fleet.assert_output(0, &job, 2000).await;
}

#[tokio::test]
async fn test_batch_unknown_format_is_kept() {
    let fleet = TestFleet::start(1, EngineProfile::default()).await;
    let id = fleet.submit(0, &items(3), None).await;
    fleet.wait_completed(0, &id).await;
    let key = format!("jobs/dev/{id}");
    let newer = Bytes::from_static(b"\xa1\x66format\x18\x63");
    let kv = &fleet.platform.kv;
    let any = parsleywall::edges::kv::Expect::Any;
    kv.put(&key, newer.clone(), any, None).await.unwrap();
    let (status, _) = fleet.cancel(&id).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(kv.get(&key).await.unwrap().unwrap().value, newer);
}

impl TestFleet {
    /// Cancels a job. The host has to read the stored record for it.
    async fn cancel(&self, id: &str) -> (StatusCode, Bytes) {
        let path = format!("/v1/batches/{id}/cancel");
        self.call(0, Method::POST, &path, &[], "").await
    }
}
