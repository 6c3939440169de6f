//! Drains of entry hosts that serve requests, over real sockets.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use parsleywall::host::EntryHost;
use parsleywall::http::client::HttpClient;
use parsleywall::settings::SettingName;
use parsleywall_standins::edges::PlatformPlan;
use parsleywall_standins::edges::PlatformStandins;
use parsleywall_standins::fleet::host_settings;
use parsleywall_standins::fleet::start_host;
use parsleywall_standins::fleet::wait_until_ready;
use parsleywall_standins::terms::MEMBER_KEY;
use parsleywall_standins::terms::demo_terms;
use serde_json::Value;
use serde_json::json;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_POLLS: u32 = 500;

struct HostPair {
    _platform: PlatformStandins,
    stopping: EntryHost,
    staying: EntryHost,
}

/// Starts two hosts that know each other; the first has a drain deadline of `deadline` seconds.
async fn start_pair(deadline: &str) -> HostPair {
    let platform = PlatformStandins::start(&PlatformPlan::default())
        .await
        .unwrap();
    platform.accept_terms(demo_terms()).await.unwrap();
    let mut raw = host_settings(&platform, 0, "local", &[]);
    raw.set(SettingName::DrainDeadline, deadline);
    let stopping = start_host(&raw).await.unwrap();
    let seeds = [stopping.peer_address()];
    let raw = host_settings(&platform, 1, "local", &seeds);
    let staying = start_host(&raw).await.unwrap();
    for host in [&stopping, &staying] {
        wait_until_ready(host.address(), MEMBER_KEY).await.unwrap();
        wait_for_entries(host, 2).await;
    }
    HostPair {
        _platform: platform,
        stopping,
        staying,
    }
}

fn request(host: std::net::SocketAddr, path: &str, body: &Value) -> Request<Full<Bytes>> {
    Request::builder()
        .method(if body.is_null() { "GET" } else { "POST" })
        .uri(format!("http://{host}{path}"))
        .header("authorization", format!("Bearer {MEMBER_KEY}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_string())))
        .unwrap()
}

fn stream_body(tokens: u32) -> Value {
    json!({
        "model": "demo",
        "max_tokens": tokens,
        "stream": true,
        "messages": [{ "role": "user", "content": "a note for every platform" }],
    })
}

async fn entries(host: std::net::SocketAddr) -> Vec<Value> {
    let request = request(host, "/v1/entries", &Value::Null);
    let response = HttpClient::new().send(request).await.unwrap();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    let value: Value = serde_json::from_slice(&body).unwrap();
    value["data"].as_array().unwrap().clone()
}

async fn wait_for_entries(host: &EntryHost, count: usize) {
    for _ in 0..MAX_POLLS {
        if entries(host.address()).await.len() == count {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    panic!("the list did not reach {count} hosts");
}

async fn start_stream(host: std::net::SocketAddr, tokens: u32) -> Response<Incoming> {
    let request = request(host, "/v1/chat/completions", &stream_body(tokens));
    let response = HttpClient::new().send(request).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    response
}

#[tokio::test]
async fn test_drain_finishes_streams_and_moves_callers() {
    let pair = start_pair("20").await;
    let address = pair.stopping.address();
    let stream = start_stream(address, 600).await;
    let client = HttpClient::new();
    let kept = request(address, "/v1/models", &Value::Null);
    let response = client.send(kept).await.unwrap();
    assert!(!response.headers().contains_key("connection"));
    response.into_body().collect().await.unwrap();
    let stop = tokio::spawn(pair.stopping.drain());
    wait_for_entries(&pair.staying, 1).await;
    // A draining host accepts new connections, and asks its callers to connect to another host.
    for client in [client, HttpClient::new()] {
        let moved = request(address, "/v1/models", &Value::Null);
        let response = client.send(moved).await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!(response.headers()["connection"], "close");
    }
    let body = stream.into_body().collect().await.unwrap().to_bytes();
    assert!(body.ends_with(b"data: [DONE]\n\n"));
    assert_eq!(stop.await.unwrap(), 0);
    pair.staying.drain().await;
}

#[tokio::test]
async fn test_drain_counts_requests_cut_off() {
    let pair = start_pair("2").await;
    let stream = start_stream(pair.stopping.address(), 4_000).await;
    assert_eq!(pair.stopping.in_flight_requests().count(), 1);
    assert_eq!(pair.stopping.drain().await, 1);
    drop(stream);
    pair.staying.drain().await;
}

#[tokio::test]
async fn test_drain_sends_goaway_over_http2() {
    let pair = start_pair("20").await;
    let address = pair.stopping.address();
    let socket = tokio::net::TcpStream::connect(address).await.unwrap();
    let handshake =
        hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(socket));
    let (mut sender, connection) = handshake.await.unwrap();
    let connection = tokio::spawn(connection);
    let running = request(address, "/v1/chat/completions", &stream_body(600));
    let running = sender.send_request(running).await.unwrap();
    let stop = tokio::spawn(pair.stopping.drain());
    // The connection accepts no new requests, and ends when the running request is complete.
    let body = running.into_body().collect().await.unwrap().to_bytes();
    assert!(body.ends_with(b"data: [DONE]\n\n"));
    connection.await.unwrap().unwrap();
    assert!(sender.is_closed());
    assert_eq!(stop.await.unwrap(), 0);
    pair.staying.drain().await;
}

#[tokio::test]
async fn test_drain_of_only_host_does_not_wait_for_callers() {
    let pair = start_pair("3000").await;
    pair.staying.drain().await;
    wait_for_entries(&pair.stopping, 1).await;
    // Without another host, a drain must not wait for callers to move. If it did, it would
    // outlast the test.
    assert_eq!(pair.stopping.drain().await, 0);
}
