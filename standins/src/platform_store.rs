//! Stand-in of the co-operative's metadata store: serves a [`KvMemory`] with the store's protocol.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use hyper::body::Incoming;
use parsleywall::edges::kv::KvChange;
use parsleywall::edges::kv::KvCommit;
use parsleywall::edges::kv::KvEntry;
use parsleywall::edges::kv::KvError;
use parsleywall::edges::kv::KvPut;
use parsleywall::edges::kv::KvStore;
use parsleywall::edges::kv::KvVersion;
use parsleywall::edges::kv::LeaseId;
use serde_json::Value;
use serde_json::json;

use crate::kv::KvMemory;
use crate::server::StandinReply;
use crate::server::StandinServer;
use crate::server::json_reply;
use crate::server::query_value;
use crate::server::read_body;

/// Most items in a page of a range listing.
const PAGE_ITEMS: usize = 500;

/// What readers get instead of the value of a key.
pub type ValueView = Arc<dyn Fn(&str, &Bytes) -> Bytes + Send + Sync>;

/// Serves `store` with the protocol of the metadata store on a free loopback port.
pub async fn serve_platform_store(store: Arc<KvMemory>) -> std::io::Result<StandinServer> {
    serve_platform_store_view(store, Arc::new(|_, value| value.clone())).await
}

/// Serves `store` as [`serve_platform_store`] does, and shows readers its values through `view`.
pub async fn serve_platform_store_view(
    store: Arc<KvMemory>,
    view: ValueView,
) -> std::io::Result<StandinServer> {
    StandinServer::start(move |request| {
        let (store, view) = (store.clone(), view.clone());
        async move { answer_late(&store, &view, request).await }
    })
    .await
}

/// Answers a request as late as the injected faults say. It takes effect at once.
async fn answer_late(
    store: &KvMemory,
    view: &ValueView,
    request: Request<Incoming>,
) -> Option<StandinReply> {
    let mut keys = Vec::new();
    let reply = answer(store, view, request, &mut keys).await;
    tokio::time::sleep(store.faults.answer_delay(&keys)).await;
    reply
}

/// Answers a request, and adds the keys or the prefix that it reads or writes to `keys`.
async fn answer(
    store: &KvMemory,
    view: &ValueView,
    request: Request<Incoming>,
    keys: &mut Vec<String>,
) -> Option<StandinReply> {
    let item = |entry: &KvEntry| item(entry, view);
    let path = request.uri().path().to_owned();
    let query = |name| query_value(&request, name).unwrap_or_default();
    keys.extend(["key", "prefix"].map(query));
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/kv-key") => match store.get(&query("key")).await {
            Ok(Some(entry)) => Some(json_reply(StatusCode::OK, &item(&entry))),
            Ok(None) => Some(json_reply(StatusCode::NOT_FOUND, &json!({}))),
            Err(err) => error_reply(&err),
        },
        (Method::GET, "/kv-range") => {
            let after = Some(query("after")).filter(|key| !key.is_empty());
            let (prefix, after) = (query("prefix"), after.as_deref());
            let page = match query("staleOk").as_str() {
                "1" => store.list_stale(&prefix, after, PAGE_ITEMS).await,
                _ => store.list(&prefix, after, PAGE_ITEMS).await,
            };
            reply(page, |page| {
                let items: Vec<Value> = page.entries.iter().map(&item).collect();
                json!({ "items": items, "hasMore": page.more, "asOf": page.revision.0 })
            })
        }
        (Method::GET, "/kv-watch") => {
            let after = KvVersion(query("after").parse().ok()?);
            let wait = Duration::from_millis(query("waitMs").parse().ok()?);
            match store.watch(&query("prefix"), after, wait).await {
                Ok(changes) if changes.compacted => Some(json_reply(StatusCode::GONE, &json!({}))),
                changes => reply(changes, |changes| {
                    let events: Vec<Value> = changes
                        .changes
                        .iter()
                        .map(|change| event(change, view))
                        .collect();
                    json!({ "events": events, "asOf": changes.revision.0 })
                }),
            }
        }
        (Method::POST, "/kv-txn") => {
            let body: Value = serde_json::from_slice(&read_body(request).await).ok()?;
            let commit = commit(&body)?;
            keys.extend(commit.puts.iter().map(|put| put.key.clone()));
            let committed = store.commit(commit).await;
            reply(committed, |version| json!({ "rev": version.0 }))
        }
        (Method::POST, "/kv-lease") => {
            let body: Value = serde_json::from_slice(&read_body(request).await).ok()?;
            let ttl_ms = body["ttlMs"].as_u64()?;
            let granted = store.grant_lease(Duration::from_millis(ttl_ms)).await;
            reply(
                granted,
                |lease| json!({ "lease": lease.0, "ttlMs": ttl_ms }),
            )
        }
        (Method::POST, path) => {
            let lease = LeaseId(path.strip_prefix("/kv-keep/")?.parse().ok()?);
            reply(store.renew_lease(lease).await, |()| json!({ "ttlMs": 1 }))
        }
        (Method::DELETE, path) => {
            let lease = LeaseId(path.strip_prefix("/kv-lease-end/")?.parse().ok()?);
            reply(store.revoke_lease(lease).await, |()| json!({}))
        }
        _ => Some(json_reply(StatusCode::NOT_FOUND, &json!({}))),
    }
}

fn item(entry: &KvEntry, view: &ValueView) -> Value {
    json!({
        "key": entry.key,
        "value": STANDARD.encode(view(&entry.key, &entry.value)),
        "rev": entry.version.0,
        "created": entry.version.0,
        "lease": 0,
        "asOf": entry.version.0,
    })
}

fn event(change: &KvChange, view: &ValueView) -> Value {
    match change {
        KvChange::Put(entry) => item(entry, view),
        KvChange::Deleted { key, version } => {
            json!({ "key": key, "rev": version.0, "removed": true })
        }
    }
}

fn commit(body: &Value) -> Option<KvCommit> {
    let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    let expect = rows("expected");
    let expect = expect.iter().map(|row| {
        let rev = row["rev"].as_u64()?;
        let version = (rev > 0).then_some(KvVersion(rev));
        Some((row["key"].as_str()?.to_owned(), version))
    });
    let puts = rows("puts");
    let puts = puts.iter().map(|row| {
        let value = STANDARD.decode(row["value"].as_str()?).ok()?;
        let lease = row["lease"].as_u64().filter(|lease| *lease > 0);
        Some(KvPut {
            key: row["key"].as_str()?.to_owned(),
            value: Bytes::from(value),
            lease: lease.map(LeaseId),
        })
    });
    let deletes = rows("remove");
    let deletes = deletes.iter().map(|key| key.as_str().map(str::to_owned));
    Some(KvCommit {
        expect: expect.collect::<Option<_>>()?,
        puts: puts.collect::<Option<_>>()?,
        deletes: deletes.collect::<Option<_>>()?,
    })
}

fn reply<T>(outcome: Result<T, KvError>, body: impl FnOnce(T) -> Value) -> Option<StandinReply> {
    match outcome {
        Ok(value) => Some(json_reply(StatusCode::OK, &body(value))),
        Err(err) => error_reply(&err),
    }
}

fn error_reply(err: &KvError) -> Option<StandinReply> {
    let (status, body) = match err {
        KvError::Conflict { current } => {
            let rev = current.map_or(0, |version| version.0);
            let items = json!({ "items": [{ "key": "", "value": "", "rev": rev }] });
            (StatusCode::PRECONDITION_FAILED, items)
        }
        KvError::TooLarge => (StatusCode::PAYLOAD_TOO_LARGE, json!({})),
        KvError::LeaseLost => (StatusCode::NOT_FOUND, json!({})),
        KvError::Unavailable(_) => (StatusCode::SERVICE_UNAVAILABLE, json!({})),
        KvError::Unknown(_) => return None,
    };
    Some(json_reply(status, &body))
}
