//! Several entry hosts with the same engines: shared admission, loss of a host, engine crash.

use std::time::Duration;

use http::Method;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use parsleywall::edges::engine::Endpoint;
use parsleywall::host::EntryHost;
use parsleywall::http::client::HttpClient;
use parsleywall_standins::edges::PlatformPlan;
use parsleywall_standins::edges::PlatformStandins;
use parsleywall_standins::engine::expected_answer;
use parsleywall_standins::fleet::host_settings;
use parsleywall_standins::fleet::start_host;
use parsleywall_standins::fleet::wait_until_ready;
use parsleywall_standins::terms::MEMBER_KEY;
use parsleywall_standins::terms::OPERATOR_KEY;
use parsleywall_standins::terms::demo_terms;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinHandle;

const POLL: Duration = Duration::from_millis(50);
const MAX_POLLS: u32 = 400;
const TOKENS: u64 = 20;

struct AdmissionFleet {
    platform: PlatformStandins,
    hosts: Vec<EntryHost>,
    client: HttpClient,
}

impl AdmissionFleet {
    async fn start(count: usize) -> Self {
        let platform = PlatformStandins::start(&PlatformPlan::default())
            .await
            .unwrap();
        platform.accept_terms(demo_terms()).await.unwrap();
        let mut hosts: Vec<EntryHost> = Vec::new();
        for number in 0..count {
            let seeds: Vec<_> = hosts.iter().map(EntryHost::peer_address).collect();
            let raw = host_settings(&platform, number, "local", &seeds);
            hosts.push(start_host(&raw).await.unwrap());
        }
        let fleet = Self {
            platform,
            hosts,
            client: HttpClient::new(),
        };
        for host in &fleet.hosts {
            wait_until_ready(host.address(), MEMBER_KEY).await.unwrap();
        }
        fleet.wait_until_joined().await;
        fleet
    }

    async fn wait_until_joined(&self) {
        for _ in 0..MAX_POLLS {
            let mut joined = 0;
            for host in &self.hosts {
                let entries = self.get(host, "/v1/entries").await;
                let known = entries["data"].as_array().map_or(0, Vec::len);
                joined += usize::from(known == self.hosts.len());
            }
            if joined == self.hosts.len() {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("the hosts did not join one membership in time");
    }

    async fn get(&self, host: &EntryHost, path: &str) -> Value {
        let request = http::Request::builder()
            .uri(format!("http://{}{path}", host.address()))
            .header("authorization", format!("Bearer {OPERATOR_KEY}"))
            .body(Full::default())
            .unwrap();
        let response = self.client.send(request).await.unwrap();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        serde_json::from_slice(&body).unwrap()
    }

    /// Sum of a counter over all hosts.
    async fn count(&self, name: &str) -> u64 {
        let mut sum = 0;
        for host in &self.hosts {
            let counters = self.get(host, "/admin/v1/counters").await;
            sum += counters[name].as_u64().unwrap();
        }
        sum
    }

    /// Sends a chat request to `host` in the background and checks status and content of the
    /// answer.
    fn spawn(&self, host: &EntryHost, text: &str) -> JoinHandle<()> {
        let body = json!({
            "model": "demo",
            "max_tokens": TOKENS,
            "messages": [{ "role": "user", "content": text }],
        });
        let request = http::Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}/v1/chat/completions", host.address()))
            .header("authorization", format!("Bearer {MEMBER_KEY}"))
            .header("content-type", "application/json")
            .body(Full::new(body.to_string().into()))
            .unwrap();
        let client = self.client.clone();
        tokio::spawn(async move {
            let response = client.send(request).await.unwrap();
            let status = response.status();
            let answer = response.into_body().collect().await.unwrap().to_bytes();
            let answer: Value = serde_json::from_slice(&answer).unwrap();
            assert_eq!(status, StatusCode::OK, "{answer}");
            let text = &answer["choices"][0]["message"]["content"];
            assert_eq!(*text, expected_answer(&body, Endpoint::Chat, TOKENS));
        })
    }

    /// Sends `count` concurrent requests to each host and checks all answers.
    async fn ask_all(&self, name: &str, count: usize) {
        let mut answers = Vec::new();
        for (number, host) in self.hosts.iter().enumerate() {
            for request in 0..count {
                let text = format!("{name} {request} at {number}");
                answers.push(self.spawn(host, &text));
            }
        }
        for answer in answers {
            answer.await.unwrap();
        }
    }
}

#[tokio::test]
async fn test_admission_of_several_hosts_together() {
    let fleet = AdmissionFleet::start(3).await;
    fleet.ask_all("together", 30).await;
    assert_eq!(fleet.count("event.admitted_without_owner").await, 0);
    assert_eq!(fleet.count("refusal.overloaded").await, 0);
    // A released ticket that stayed in some scheduler would expire within this time.
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(fleet.count("event.ticket_expired").await, 0);
}

#[tokio::test]
async fn test_admission_after_the_loss_of_a_host() {
    let mut fleet = AdmissionFleet::start(3).await;
    fleet.ask_all("before", 5).await;
    // The host stops without announcing its departure.
    let lost = fleet.hosts.remove(1);
    drop(lost);
    fleet.ask_all("after", 20).await;
}

#[tokio::test]
async fn test_admission_while_an_engine_crashes() {
    let fleet = AdmissionFleet::start(3).await;
    let engine = fleet.platform.engines[0].clone();
    let crash = tokio::spawn(async move {
        tokio::time::sleep(POLL).await;
        engine.crash();
    });
    fleet.ask_all("crash", 20).await;
    crash.await.unwrap();
}
