//! The cases, by name.

mod dead_service;
mod early_dead_letter;
mod garbled_item;
mod new_version;
mod removed_route;

use serde_json::Value;
use serde_json::json;

use crate::client;
use crate::client::Answer;
use crate::fleet::CaseError;
use crate::fleet::Record;

/// Host name of the online route.
pub const DESK: &str = "desk.example";
/// Host name of the route of batch jobs.
pub const LOTS: &str = "lots.example";

/// Plays a case and returns how often the rule was broken.
pub async fn play(case: &str, record: Record, trouble: bool) -> Result<usize, CaseError> {
    match case {
        "garbled-item" => garbled_item::play(record, trouble).await,
        "new-version" => new_version::play(record, trouble).await,
        "removed-route" => removed_route::play(record, trouble).await,
        "dead-service" => dead_service::play(record, trouble).await,
        "early-dead-letter" => early_dead_letter::play(record, trouble).await,
        _ => Err("there is no such case".into()),
    }
}

/// The online route `/ask/` to `service`.
fn ask_route(service: &str, timeout_ms: u32) -> Value {
    json!({
        "name": "r-ask", "host": DESK, "prefix": "/ask/", "kind": "stream", "timeoutMs": timeout_ms,
        "sloMs": 300, "priority": 0, "service": service, "attempts": 2, "sticky": true,
        "resumable": true, "gapSloMs": 300
    })
}

/// The route `/lot/` of batch jobs to `service`.
fn lot_route(service: &str) -> Value {
    batch_route("r-lot", "/lot/", service)
}

fn batch_route(name: &str, prefix: &str, service: &str) -> Value {
    json!({
        "name": name, "host": LOTS, "prefix": prefix, "kind": "batch", "timeoutMs": 15000,
        "sloMs": 400, "priority": 2, "service": service, "attempts": 3, "sticky": true,
        "resumable": true, "gapSloMs": 300, "runSloMs": 18000, "retentionS": 60
    })
}

fn manifest(version: u64, routes: &[Value], services: &[&str]) -> Value {
    let services = services.iter().map(
        |name| json!({"name": name, "healthPath": "/health", "maxConns": 310, "protocol": "h1", "tls": false}),
    );
    json!({
        "version": version, "routes": routes, "services": services.collect::<Vec<_>>(),
        "limits": {"headerBytes": 16384, "bodyBytes": 4194304, "headerMs": 3000, "idleMs": 15000}
    })
}

/// Submits a batch job with the items `items` to `front`, and records the answer.
async fn submit(
    record: &Record,
    front: std::net::SocketAddr,
    job: &str,
    items: &[String],
) -> Result<Answer, CaseError> {
    submit_under(record, front, "/lot/", job, items).await
}

/// Submits a batch job under the route with `prefix`.
async fn submit_under(
    record: &Record,
    front: std::net::SocketAddr,
    prefix: &str,
    job: &str,
    items: &[String],
) -> Result<Answer, CaseError> {
    let items = items.iter().map(|id| {
        json!({
            "id": id, "path": format!("{prefix}3/{id}"), "body": "q83vEjRWeJA=", "tokens": 940,
            "headers": {"Model": "m", "Token-Usage": "540,400", "Prompt-Prefix": "9c2e41:300,5d07b8:240"}
        })
    });
    let body = json!({"items": items.collect::<Vec<_>>()}).to_string();
    let headers = [("Attempt-Id", job), ("Content-Type", "application/json")];
    let path = format!("{prefix}{job}");
    let request = client::request("POST", &path, LOTS, &headers, &body);
    let answer = client::send(front, &request).await?;
    record.write(format!("POST {path} at {front}: {}", answer.status));
    Ok(answer)
}

/// Reads the results of a batch job from the first position, and records the answer.
async fn read_results(
    record: &Record,
    front: std::net::SocketAddr,
    job: &str,
) -> Result<Answer, CaseError> {
    let request = client::request("GET", &format!("/lots/{job}?after=0"), LOTS, &[], "");
    let answer = client::send(front, &request).await?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let text: String = text.chars().take(400).collect();
    record.write(format!(
        "GET /lots/{job} at {front}: {} {text}",
        answer.status
    ));
    Ok(answer)
}
