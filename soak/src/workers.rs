//! Model workers of the soak: they run requests, note each run, crash, leave and come back.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use parsleywall::edges::kv::Expect;
use parsleywall::edges::kv::KvStore;
use parsleywall_standins::kv::KvMemory;
use parsleywall_standins::server::StandinReply;
use parsleywall_standins::server::StandinServer;
use parsleywall_standins::server::json_reply;
use parsleywall_standins::server::read_body;
use serde_json::json;

use crate::content;
use crate::history::LeaveRecord;
use crate::history::RunRecord;
use crate::history::SoakHistory;
use crate::proxy::LinkProxy;

const SLOTS: u64 = 8;
/// Time between two events of a stream.
pub const EVENT_TIME: Duration = Duration::from_millis(8);
const ENTRY_TRIES: usize = 40;
const ENTRY_RETRY: Duration = Duration::from_millis(250);
const RESTART_TIME: Duration = Duration::from_millis(1500);
/// Time after which the platform removes the entry of a silent worker.
const ENTRY_TTL: Duration = Duration::from_millis(3600);
/// Time for which a worker serves after the store has accepted that it leaves.
const LEAVE_TIME: Duration = Duration::from_millis(2500);
/// While a worker fails part of its requests, it fails one in so many.
const GREY_ONE_IN: u64 = 3;

/// What the connections of one process of a worker share.
struct WorkerProcess {
    name: String,
    history: SoakHistory,
    active: Arc<AtomicU64>,
    taken: AtomicU64,
    grey: AtomicBool,
}

/// One running worker.
struct RunningWorker {
    process: Arc<WorkerProcess>,
    link: LinkProxy,
    _server: StandinServer,
}

/// Workers by number; each number keeps running as process after process.
pub struct WorkerPool {
    ip: IpAddr,
    kv: Arc<KvMemory>,
    history: SoakHistory,
    running: Mutex<BTreeMap<usize, RunningWorker>>,
    starts: AtomicU64,
}

impl WorkerPool {
    /// Starts `count` workers and writes their entries into `kv`.
    pub async fn start(
        ip: IpAddr,
        kv: Arc<KvMemory>,
        history: SoakHistory,
        count: usize,
    ) -> std::io::Result<Arc<Self>> {
        let pool = Arc::new(Self {
            ip,
            kv,
            history,
            running: Mutex::default(),
            starts: AtomicU64::new(0),
        });
        for number in 0..count {
            pool.start_one(number).await?;
        }
        Ok(pool)
    }

    /// Ends the process of worker `number` without notice; it is back later under a new name.
    pub async fn crash(&self, number: usize) {
        let Some(worker) = self.take(number) else {
            return;
        };
        let name = worker.process.name.clone();
        drop(worker);
        tokio::time::sleep(RESTART_TIME).await;
        let _ = self.start_one(number).await;
        tokio::time::sleep(ENTRY_TTL - RESTART_TIME).await;
        let _ = self.kv.delete(&entry_key(&name), Expect::Any).await;
    }

    /// Lets worker `number` leave as planned, and starts another in its place.
    pub async fn replace(&self, number: usize) {
        let Some(worker) = self.take(number) else {
            return;
        };
        let name = worker.process.name.clone();
        let left = self.put_entry(&name, worker.link.address(), "draining");
        if left.await {
            let leave = LeaveRecord {
                worker: name.clone(),
                at: self.history.now(),
            };
            self.history.note(|records| records.leaves.push(leave));
        }
        let _ = self.start_one(number).await;
        tokio::time::sleep(LEAVE_TIME).await;
        let _ = self.kv.delete(&entry_key(&name), Expect::Any).await;
        while worker.process.active.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(EVENT_TIME).await;
        }
    }

    /// Makes worker `number` fail part of its requests, or stop doing so.
    pub fn set_grey(&self, number: usize, grey: bool) {
        if let Some(worker) = self.lock().get(&number) {
            worker.process.grey.store(grey, Ordering::Relaxed);
        }
    }

    /// Harms the connections of worker `number`.
    pub fn harm(&self, number: usize, harm: impl FnOnce(&LinkProxy)) {
        if let Some(worker) = self.lock().get(&number) {
            harm(&worker.link);
        }
    }

    async fn start_one(&self, number: usize) -> std::io::Result<()> {
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        let process = Arc::new(WorkerProcess {
            name: format!("i-{number}-{start}"),
            history: self.history.clone(),
            active: Arc::default(),
            taken: AtomicU64::new(0),
            grey: AtomicBool::new(false),
        });
        let shared = process.clone();
        let address = std::net::SocketAddr::new(self.ip, 0);
        let server = StandinServer::start_on(address, move |request| {
            let process = shared.clone();
            async move { Some(process.answer(request).await) }
        })
        .await?;
        let link = LinkProxy::start(self.ip, server.address()).await?;
        self.put_entry(&process.name, link.address(), "ready").await;
        let worker = RunningWorker {
            process,
            link,
            _server: server,
        };
        self.lock().insert(number, worker);
        Ok(())
    }

    /// Writes the entry of a worker; workers try again for as long as the store is away.
    async fn put_entry(&self, name: &str, address: std::net::SocketAddr, state: &str) -> bool {
        let entry = json!({
            "service": "desk", "address": address, "zone": "west", "version": "v1",
            "slots": SLOTS, "state": state, "coldLeftMs": 0, "sequence": 1, "born": 1000
        });
        let key = entry_key(name);
        let value = Bytes::from(entry.to_string());
        for _ in 0..ENTRY_TRIES {
            let put = self.kv.put(&key, value.clone(), Expect::Any, None);
            if put.await.is_ok() {
                return true;
            }
            tokio::time::sleep(ENTRY_RETRY).await;
        }
        false
    }

    fn take(&self, number: usize) -> Option<RunningWorker> {
        self.lock().remove(&number)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<usize, RunningWorker>> {
        self.running.lock().expect("workers lock")
    }
}

fn entry_key(name: &str) -> String {
    format!("servers/{name}")
}

/// Counts a request as active until it is dropped, and notes its end then.
struct ActiveGuard {
    active: Arc<AtomicU64>,
    history: SoakHistory,
    run: Option<usize>,
}

impl ActiveGuard {
    fn new(process: &WorkerProcess) -> Self {
        process.active.fetch_add(1, Ordering::Relaxed);
        Self {
            active: process.active.clone(),
            history: process.history.clone(),
            run: None,
        }
    }

    /// Adds `run` to the records.
    fn begin(&mut self, run: RunRecord) {
        let mut position = 0;
        self.history.note(|records| {
            position = records.runs.len();
            records.runs.push(run);
        });
        self.run = Some(position);
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.active.fetch_sub(1, Ordering::Relaxed);
        let now = self.history.now();
        if let Some(run) = self.run {
            self.history
                .note(|records| records.runs[run].ended = Some(now));
        }
    }
}

impl WorkerProcess {
    async fn answer(&self, request: Request<Incoming>) -> StandinReply {
        match request.uri().path() {
            "/health" => return self.health(),
            "/report" => return self.report(),
            _ => {}
        }
        let headers = request.headers().clone();
        if text(&headers, "target-instance").is_some_and(|name| name != self.name) {
            return empty(StatusCode::MISDIRECTED_REQUEST);
        }
        if self.active.load(Ordering::Relaxed) >= SLOTS {
            let mut reply = empty(StatusCode::SERVICE_UNAVAILABLE);
            let headers = reply.headers_mut();
            headers.insert("not-executed", HeaderValue::from_static("1"));
            return reply;
        }
        let mut active = ActiveGuard::new(self);
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        let body = read_body(request).await;
        let id = text(&headers, "attempt-id").unwrap_or_default();
        let after: u64 = text(&headers, "last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        let run = RunRecord {
            worker: self.name.clone(),
            after,
            at: self.history.now(),
            ended: None,
            intact: method == http::Method::POST
                && path.ends_with(&id)
                && body == content::body(&id).as_bytes(),
            budget_ms: text(&headers, "time-budget-ms").and_then(|ms| ms.parse().ok()),
            id: id.clone(),
        };
        active.begin(run);
        let taken = self.taken.fetch_add(1, Ordering::Relaxed);
        let fails = self.grey.load(Ordering::Relaxed) && taken.is_multiple_of(GREY_ONE_IN);
        let mut reply = match path.split('/').nth(1) {
            _ if content::is_poison(&id) => empty(StatusCode::UNPROCESSABLE_ENTITY),
            _ if fails => empty(StatusCode::INTERNAL_SERVER_ERROR),
            Some("ask" | "lot") => events(id.clone(), after, active),
            _ => {
                tokio::time::sleep(EVENT_TIME).await;
                Response::new(Full::new(Bytes::from(content::whole_output(&id))).boxed_unsync())
            }
        };
        let seal = format!("seal-of-{}", self.name);
        for (name, value) in [("attempt-id", &id), ("response-seal", &seal)] {
            if let Ok(value) = HeaderValue::from_str(value) {
                reply.headers_mut().insert(name, value);
            }
        }
        reply
    }

    fn health(&self) -> StandinReply {
        let mut reply = empty(StatusCode::OK);
        if let Ok(name) = HeaderValue::from_str(&self.name) {
            reply.headers_mut().insert("instance-id", name);
        }
        reply
    }

    fn report(&self) -> StandinReply {
        let active = self.active.load(Ordering::Relaxed);
        let report = json!({
            "stage": "hybrid", "models": [], "busy": false, "sequence": 1, "queued": 0,
            "active": active, "kvUsed": 0, "kvTotal": 100_000, "handles": 0
        });
        json_reply(StatusCode::OK, &report)
    }
}

fn events(id: String, after: u64, active: ActiveGuard) -> StandinReply {
    let count = content::event_count(&id);
    let events = stream::iter(after + 1..=count).then(move |number| {
        let data = content::event_data(&id, number);
        let _runs_until_here = &active;
        async move {
            tokio::time::sleep(EVENT_TIME).await;
            let event = format!("id: {number}\ndata: {data}\n\n");
            Ok(Frame::data(Bytes::from(event)))
        }
    });
    let mut reply = Response::new(StreamBody::new(events).boxed_unsync());
    let kind = HeaderValue::from_static("text/event-stream");
    reply.headers_mut().insert(http::header::CONTENT_TYPE, kind);
    reply
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

fn empty(status: StatusCode) -> StandinReply {
    let mut reply = Response::new(Full::new(Bytes::new()).boxed_unsync());
    *reply.status_mut() = status;
    reply
}
