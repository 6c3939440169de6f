//! The operators' status and explain calls collect their data from both hosts of a fleet.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use parsleywall::admin::Explanation;
use parsleywall::admin::FleetStatus;
use parsleywall::decisions::DecisionKind;
use parsleywall::host::EntryHost;
use parsleywall::http::client::HttpClient;
use parsleywall_standins::fleet::StandinFleet;
use parsleywall_standins::terms::DEMO_WORKSPACE;
use parsleywall_standins::terms::MEMBER_KEY;
use parsleywall_standins::terms::OPERATOR_KEY;
use serde::de::DeserializeOwned;
use serde_json::json;

const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(100);
const MAX_STATUS_POLLS: u32 = 200;

struct HostPair {
    fleet: StandinFleet,
    client: HttpClient,
}

impl HostPair {
    async fn start() -> Self {
        Self {
            fleet: StandinFleet::start(2, |_| {}).await.unwrap(),
            client: HttpClient::new(),
        }
    }

    fn first(&self) -> &EntryHost {
        &self.fleet.hosts[0]
    }

    fn second(&self) -> &EntryHost {
        &self.fleet.hosts[1]
    }

    async fn chat(&self, request_id: &str) -> StatusCode {
        let body = json!({ "model": "demo", "messages": [], "max_tokens": 4 });
        let request = http::Request::builder()
            .method(Method::POST)
            .uri(format!(
                "http://{}/v1/chat/completions",
                self.first().address()
            ))
            .header("authorization", format!("Bearer {MEMBER_KEY}"))
            .header("x-request-id", request_id)
            .body(Full::new(Bytes::from(body.to_string())))
            .unwrap();
        let response = self.client.send(request).await.unwrap();
        assert_eq!(response.headers()["x-request-id"], "check-1");
        let status = response.status();
        response.into_body().collect().await.unwrap();
        status
    }

    /// Sends a GET request for `path` of the operators' API to the second host.
    async fn get<T: DeserializeOwned>(&self, path: &str) -> T {
        let request = http::Request::builder()
            .uri(format!(
                "http://{}/admin/v1/{path}",
                self.second().address()
            ))
            .header("authorization", format!("Bearer {OPERATOR_KEY}"))
            .body(Full::new(Bytes::new()))
            .unwrap();
        let response = self.client.send(request).await.unwrap();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        serde_json::from_slice(&body).unwrap()
    }

    /// Polls the fleet status until `is_done` holds for it.
    async fn wait_for_status(&self, is_done: impl Fn(&FleetStatus) -> bool) -> FleetStatus {
        for _ in 0..MAX_STATUS_POLLS {
            let status = self.get("status").await;
            if is_done(&status) {
                return status;
            }
            tokio::time::sleep(STATUS_POLL_INTERVAL).await;
        }
        panic!("the fleet status never met the condition");
    }
}

#[tokio::test]
async fn test_operators_status_of_all_hosts() {
    let hosts = HostPair::start().await;
    let reported = |status: &FleetStatus| {
        let reports = status.hosts.iter().filter(|host| host.report.is_some());
        reports.count() == 2
    };
    hosts.wait_for_status(reported).await;
    assert_eq!(hosts.chat("check-1").await, StatusCode::OK);
    let status = hosts
        .wait_for_status(|status| !status.caps.is_empty())
        .await;
    assert_eq!(status.caps[0].key.workspace.as_str(), DEMO_WORKSPACE);
    assert!(status.caps[0].tokens_per_second < status.caps[0].allowed);
    let engines = status
        .upstreams
        .iter()
        .filter(|upstream| upstream.admission.is_some());
    assert!(engines.count() >= 1);
}

#[tokio::test]
async fn test_operators_explain_across_hosts() {
    let hosts = HostPair::start().await;
    hosts
        .wait_for_status(|status| status.hosts.len() == 2)
        .await;
    assert_eq!(hosts.chat("check-1").await, StatusCode::OK);
    let explanation: Explanation = hosts.get("explain/check-1").await;
    assert_eq!(explanation.hosts_without_answer, 0);
    let routed = explanation
        .decisions
        .iter()
        .find(|d| d.kind == DecisionKind::Routed);
    assert_eq!(routed.unwrap().host.as_str(), "host-0");
}
