//! Several entry hosts that discover each other over real sockets.

use std::time::Duration;

use http::Method;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use parsleywall::host::EntryHost;
use parsleywall::http::client::HttpClient;
use parsleywall_standins::edges::PlatformPlan;
use parsleywall_standins::edges::PlatformStandins;
use parsleywall_standins::fleet::host_settings;
use parsleywall_standins::fleet::start_host;
use parsleywall_standins::terms::OPERATOR_KEY;
use parsleywall_standins::terms::demo_terms;
use serde_json::Value;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_POLLS: u32 = 400;

async fn platform() -> PlatformStandins {
    let platform = PlatformStandins::start(&PlatformPlan::default())
        .await
        .unwrap();
    platform.accept_terms(demo_terms()).await.unwrap();
    platform
}

async fn start_fleet(platform: &PlatformStandins, count: usize) -> Vec<EntryHost> {
    let mut hosts: Vec<EntryHost> = Vec::new();
    for number in 0..count {
        let seeds: Vec<_> = hosts
            .first()
            .map(EntryHost::peer_address)
            .into_iter()
            .collect();
        let raw = host_settings(platform, number, "local", &seeds);
        hosts.push(start_host(&raw).await.unwrap());
    }
    hosts
}

async fn get(host: &EntryHost, path: &str) -> (StatusCode, Value) {
    let request = http::Request::builder()
        .method(Method::GET)
        .uri(format!("http://{}{path}", host.address()))
        .header("authorization", format!("Bearer {OPERATOR_KEY}"))
        .body(Full::default())
        .unwrap();
    let response = HttpClient::new().send(request).await.unwrap();
    let status = response.status();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, serde_json::from_slice(&body).unwrap())
}

/// Waits until each of `hosts` lists `count` entry hosts.
async fn wait_for_entries(hosts: &[EntryHost], count: usize) {
    for _ in 0..MAX_POLLS {
        let mut agreed = 0;
        for host in hosts {
            let (_, body) = get(host, "/v1/entries").await;
            agreed += usize::from(body["data"].as_array().unwrap().len() == count);
        }
        if agreed == hosts.len() {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the hosts did not agree on {count} entries");
}

#[tokio::test]
async fn test_fleet_membership_on_start_and_drain() {
    let platform = platform().await;
    let mut hosts = start_fleet(&platform, 3).await;
    wait_for_entries(&hosts, 3).await;
    hosts.pop().unwrap().drain().await;
    wait_for_entries(&hosts, 2).await;
    for host in hosts {
        host.drain().await;
    }
}

#[tokio::test]
async fn test_fleet_discovery_by_host_list_alone() {
    // The hosts must find each other by the platform's host list alone.
    let platform = platform().await;
    let first = start_fleet(&platform, 1).await.pop().unwrap();
    let entry = parsleywall::edges::host_list::ListedHost {
        id: parsleywall::ids::UpstreamId::new("entry-0"),
        address: first.peer_address(),
        data_centre: parsleywall::ids::DataCentre::new("local"),
        role: parsleywall::edges::host_list::ListedRole::Entry,
        state: parsleywall::edges::host_list::ListedState::Live,
    };
    platform.list.put(entry);
    let second = start_host(&host_settings(&platform, 1, "local", &[]))
        .await
        .unwrap();
    let hosts = [first, second];
    wait_for_entries(&hosts, 2).await;
    for host in hosts {
        host.drain().await;
    }
}

async fn send(
    host: &EntryHost,
    method: Method,
    path: &str,
    edit: &str,
    body: Value,
) -> (StatusCode, Value) {
    let request = http::Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", host.address()))
        .header("authorization", format!("Bearer {OPERATOR_KEY}"))
        .header("content-type", "application/json")
        .header("idempotency-key", edit)
        .body(Full::new(body.to_string().into()))
        .unwrap();
    let response = HttpClient::new().send(request).await.unwrap();
    let status = response.status();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, serde_json::from_slice(&body).unwrap())
}

async fn drain_all(hosts: Vec<EntryHost>) {
    futures_util::future::join_all(hosts.into_iter().map(EntryHost::drain)).await;
}

#[tokio::test]
async fn test_fleet_entries_order_is_stable_per_caller() {
    let platform = platform().await;
    let hosts = start_fleet(&platform, 3).await;
    wait_for_entries(&hosts, 3).await;
    let mut firsts = std::collections::BTreeSet::new();
    for caller in 0..24 {
        let path = format!("/v1/entries?caller=caller-{caller}");
        let (_, by_first) = get(&hosts[0], &path).await;
        let (_, by_last) = get(&hosts[2], &path).await;
        assert_eq!(by_first, by_last);
        firsts.insert(by_first["data"][0]["address"].to_string());
    }
    assert_eq!(firsts.len(), 3, "{firsts:?}");
    drain_all(hosts).await;
}

#[tokio::test]
async fn test_fleet_terms_edit_reaches_all_hosts() {
    let platform = platform().await;
    let hosts = start_fleet(&platform, 4).await;
    wait_for_entries(&hosts, 4).await;
    let path = "/admin/v1/workspaces/dev";
    let body = serde_json::json!({ "share": 0.125 });
    let (status, first) = send(&hosts[1], Method::PATCH, path, "one", body.clone()).await;
    assert_eq!(status, StatusCode::OK, "{first}");
    let (_, report) = get(&hosts[3], "/admin/v1/terms/in-force?revision=2&wait=20").await;
    assert_eq!(report["behind"], serde_json::json!([]));
    for host in &hosts {
        let (_, document) = get(host, "/admin/v1/terms").await;
        assert_eq!(document["workspaces"]["dev"]["share"], 0.125);
    }
    // The same edit with the same idempotency key, through another host, must not be applied again.
    let (_, again) = send(&hosts[2], Method::PATCH, path, "one", body).await;
    assert_eq!(again["revision"], first["revision"]);
    drain_all(hosts).await;
}

#[tokio::test]
async fn test_fleet_host_starts_from_peers_during_store_outage() {
    use std::sync::atomic::Ordering;
    let platform = platform().await;
    let mut hosts = start_fleet(&platform, 1).await;
    parsleywall_standins::fleet::wait_until_ready(
        hosts[0].address(),
        parsleywall_standins::terms::MEMBER_KEY,
    )
    .await
    .unwrap();
    platform.kv.faults.down.store(true, Ordering::Relaxed);
    let lone = start_host(&host_settings(&platform, 8, "local", &[]))
        .await
        .unwrap();
    let seeds = [hosts[0].peer_address()];
    let raw = host_settings(&platform, 1, "local", &seeds);
    hosts.push(start_host(&raw).await.unwrap());
    let mut revision = Value::Null;
    for _ in 0..MAX_POLLS {
        let (status, report) = get(&hosts[1], "/admin/v1/terms/in-force").await;
        if status == StatusCode::OK {
            revision = report["revision"].clone();
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert_eq!(revision, 1);
    // A host that reaches neither the store nor a peer has no terms, and refuses with `starting`.
    let (status, refusal) = get(&lone, "/v1/models").await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refusal["error"]["code"], "starting");
    platform.kv.faults.down.store(false, Ordering::Relaxed);
    hosts.push(lone);
    drain_all(hosts).await;
}
