//! Workers of the soak: they execute requests and record each execution; faults make them crash,
//! drain and restart.

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
use crate::history::ExecutionRecord;
use crate::history::LeaveRecord;
use crate::history::SoakHistory;
use crate::proxy::LinkProxy;

const WORKER_SLOTS: u64 = 8;
/// Time between two events of a worker's stream.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(8);
const ENTRY_WRITE_ATTEMPTS: usize = 40;
const ENTRY_RETRY_DELAY: Duration = Duration::from_millis(250);
const RESTART_DELAY: Duration = Duration::from_millis(1500);
/// Time from a crash until the crashed worker's entry is removed, as the platform does.
const ENTRY_TTL: Duration = Duration::from_millis(3600);
/// Time from the acknowledged state `draining` until the worker's entry is removed.
const DRAIN_TIME: Duration = Duration::from_millis(2500);
/// A partly failing worker fails one in this many requests.
const PARTIAL_FAILURE_ONE_IN: u64 = 3;

/// State of one worker process, shared by its connections.
struct WorkerProcess {
    name: String,
    history: SoakHistory,
    active: Arc<AtomicU64>,
    request_count: AtomicU64,
    fails_partly: AtomicBool,
}

/// A running worker process with its server and its proxy.
struct RunningWorker {
    process: Arc<WorkerProcess>,
    link: LinkProxy,
    _server: StandinServer,
}

/// Workers by number. A number stays in use when its process is replaced by one with a new name.
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

    /// Crashes worker `number` without notice, and restarts it later under a new name.
    pub async fn crash(&self, number: usize) {
        let Some(worker) = self.take(number) else {
            return;
        };
        let name = worker.process.name.clone();
        drop(worker);
        tokio::time::sleep(RESTART_DELAY).await;
        let _ = self.start_one(number).await;
        tokio::time::sleep(ENTRY_TTL - RESTART_DELAY).await;
        let _ = self.kv.delete(&entry_key(&name), Expect::Any).await;
    }

    /// Drains worker `number`, and starts another process under the same number.
    ///
    /// Returns when the drained process has no request left.
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
            self.history.update(|records| records.leaves.push(leave));
        }
        let _ = self.start_one(number).await;
        tokio::time::sleep(DRAIN_TIME).await;
        let _ = self.kv.delete(&entry_key(&name), Expect::Any).await;
        while worker.process.active.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(EVENT_INTERVAL).await;
        }
    }

    /// Makes worker `number` fail part of its requests, or ends that.
    pub fn set_fails_partly(&self, number: usize, fails_partly: bool) {
        if let Some(worker) = self.lock().get(&number) {
            worker
                .process
                .fails_partly
                .store(fails_partly, Ordering::Relaxed);
        }
    }

    /// Applies `act` to the proxy of worker `number`, if that worker runs now.
    pub fn with_link(&self, number: usize, act: impl FnOnce(&LinkProxy)) {
        if let Some(worker) = self.lock().get(&number) {
            act(&worker.link);
        }
    }

    async fn start_one(&self, number: usize) -> std::io::Result<()> {
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        let process = Arc::new(WorkerProcess {
            name: format!("i-{number}-{start}"),
            history: self.history.clone(),
            active: Arc::default(),
            request_count: AtomicU64::new(0),
            fails_partly: AtomicBool::new(false),
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

    /// Writes the entry of a worker, and retries while the store is unavailable. Returns whether
    /// the store acknowledged it.
    async fn put_entry(&self, name: &str, address: std::net::SocketAddr, state: &str) -> bool {
        let entry = json!({
            "service": "desk", "address": address, "zone": "west", "version": "v1",
            "slots": WORKER_SLOTS, "state": state, "coldLeftMs": 0, "sequence": 1, "born": 1000
        });
        let key = entry_key(name);
        let value = Bytes::from(entry.to_string());
        for _ in 0..ENTRY_WRITE_ATTEMPTS {
            let put = self.kv.put(&key, value.clone(), Expect::Any, None);
            if put.await.is_ok() {
                return true;
            }
            tokio::time::sleep(ENTRY_RETRY_DELAY).await;
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

/// Counts a request as in flight until dropped, and then records the end of its execution.
struct ActiveGuard {
    active: Arc<AtomicU64>,
    history: SoakHistory,
    execution: Option<usize>,
}

impl ActiveGuard {
    fn new(process: &WorkerProcess) -> Self {
        process.active.fetch_add(1, Ordering::Relaxed);
        Self {
            active: process.active.clone(),
            history: process.history.clone(),
            execution: None,
        }
    }

    /// Records the start of `execution`.
    fn begin(&mut self, execution: ExecutionRecord) {
        let mut position = 0;
        self.history.update(|records| {
            position = records.executions.len();
            records.executions.push(execution);
        });
        self.execution = Some(position);
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.active.fetch_sub(1, Ordering::Relaxed);
        let now = self.history.now();
        if let Some(execution) = self.execution {
            self.history
                .update(|records| records.executions[execution].ended_at = Some(now));
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
        if self.active.load(Ordering::Relaxed) >= WORKER_SLOTS {
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
        let resume_after: u64 = text(&headers, "last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        let execution = ExecutionRecord {
            worker: self.name.clone(),
            resume_after,
            began_at: self.history.now(),
            ended_at: None,
            intact: method == http::Method::POST
                && path.ends_with(&id)
                && body == content::body(&id).as_bytes(),
            budget_ms: text(&headers, "time-budget-ms").and_then(|ms| ms.parse().ok()),
            id: id.clone(),
        };
        active.begin(execution);
        let request_count = self.request_count.fetch_add(1, Ordering::Relaxed);
        let fails = self.fails_partly.load(Ordering::Relaxed)
            && request_count.is_multiple_of(PARTIAL_FAILURE_ONE_IN);
        let mut reply = match path.split('/').nth(1) {
            _ if content::is_poison(&id) => empty(StatusCode::UNPROCESSABLE_ENTITY),
            _ if fails => empty(StatusCode::INTERNAL_SERVER_ERROR),
            Some("ask" | "lot") => events(id.clone(), resume_after, active),
            _ => {
                tokio::time::sleep(EVENT_INTERVAL).await;
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
            "active": active, "kvUsed": 0, "kvTotal": 100_000, "handles": 0,
            "born": 1000
        });
        json_reply(StatusCode::OK, &report)
    }
}

fn events(id: String, resume_after: u64, active: ActiveGuard) -> StandinReply {
    let count = content::event_count(&id);
    let events = stream::iter(resume_after + 1..=count).then(move |number| {
        let data = content::event_data(&id, number);
        let _held_until_sent = &active;
        async move {
            tokio::time::sleep(EVENT_INTERVAL).await;
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
