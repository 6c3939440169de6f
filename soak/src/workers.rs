//! Workers of the soak: they execute requests and record each execution; faults make them crash,
//! drain and restart.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::HeaderMap;
use http::HeaderName;
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
use crate::tenants;
use crate::worker_link::WorkerLinks;

/// Service of all routes in the first manifest.
pub const DESK: &str = "desk";
/// Service to which a later manifest may move a route.
pub const ANNEX: &str = "annex";
const ENTRY_WRITE_ATTEMPTS: usize = 40;
const ENTRY_RETRY_DELAY: Duration = Duration::from_millis(250);
const RESTART_DELAY: Duration = Duration::from_millis(1500);
/// Time from a crash until the crashed worker's entry is removed, as the platform does.
const ENTRY_TTL: Duration = Duration::from_millis(3600);
/// Time from the acknowledged state `draining` until the worker's entry is removed.
const DRAIN_TIME: Duration = Duration::from_millis(2500);
/// A partly failing worker fails one in this many requests.
const PARTIAL_FAILURE_ONE_IN: u64 = 3;

/// Version of the software of workers that have not been restarted with another one.
const FIRST_VERSION: &str = "v1";
const REBIND_INTERVAL: Duration = Duration::from_millis(2);
const REBIND_ATTEMPTS: usize = 500;

/// Number and size of the workers.
#[derive(Clone, Debug)]
pub struct WorkerConfig {
    /// Number of workers of [`DESK`], with the numbers from 0.
    pub desk: usize,
    /// Number of workers of [`ANNEX`], with the numbers after those.
    pub annex: usize,
    /// Number of requests that a worker executes at the same time.
    pub slots: u64,
    /// Whether the manifest has tenants, whose names and no keys the workers must get.
    pub has_tenants: bool,
}

impl Default for WorkerConfig {
    fn default() -> Self {
        Self {
            desk: 6,
            annex: 2,
            slots: 8,
            has_tenants: false,
        }
    }
}

/// A restart of a worker under its name and address.
#[derive(Clone, Debug)]
pub struct WorkerRestart {
    /// Version of the software that runs from then on.
    pub version: String,
    /// Time for which connections to the worker are refused; none are if it is zero.
    pub away: Duration,
    /// Time from the start of the new process until its entry in the store describes it.
    pub entry_lag: Duration,
}

/// State of one worker process, shared by its connections.
struct WorkerProcess {
    name: String,
    service: &'static str,
    version: String,
    /// Start of the process in Unix milliseconds.
    born: u64,
    has_tenants: bool,
    slots: u64,
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
    config: WorkerConfig,
    running: Mutex<BTreeMap<usize, RunningWorker>>,
    /// Proxies between each front and each worker, if there are some.
    links: Option<Arc<WorkerLinks>>,
    starts: AtomicU64,
}

impl WorkerPool {
    /// Starts all workers and writes their entries into `kv`.
    pub async fn start(
        ip: IpAddr,
        kv: Arc<KvMemory>,
        history: SoakHistory,
        config: WorkerConfig,
        links: Option<Arc<WorkerLinks>>,
    ) -> std::io::Result<Arc<Self>> {
        let pool = Arc::new(Self {
            ip,
            kv,
            history,
            config,
            running: Mutex::default(),
            links,
            starts: AtomicU64::new(0),
        });
        for number in 0..pool.config.desk + pool.config.annex {
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
        let (process, address) = (worker.process.clone(), worker.link.address());
        self.announce_drain(&process, address).await;
        let _ = self.start_one(number).await;
        tokio::time::sleep(DRAIN_TIME).await;
        let _ = self.kv.delete(&entry_key(&name), Expect::Any).await;
        while worker.process.active.load(Ordering::Relaxed) > 0 {
            tokio::time::sleep(content::WORK_TIME).await;
        }
    }

    /// Writes into the entry of worker `number` that it drains; the worker goes on serving.
    pub async fn drain(&self, number: usize) {
        let running = self.lock().get(&number).map(|worker| {
            let address = worker.link.address();
            (worker.process.clone(), address)
        });
        if let Some((process, address)) = running {
            self.announce_drain(&process, address).await;
        }
    }

    /// Ends worker `number` without notice and for good; its entry stays.
    pub fn end(&self, number: usize) {
        drop(self.take(number));
    }

    /// Restarts worker `number` under its name and address; returns when its entry describes the
    /// new process.
    pub async fn restart(&self, number: usize, restart: WorkerRestart) -> std::io::Result<()> {
        let Some(worker) = self.take(number) else {
            return Ok(());
        };
        let (name, address) = (worker.process.name.clone(), worker.link.address());
        let process = self.process(number, name, restart.version);
        let worker = if restart.away.is_zero() {
            let server = self.serve(process.clone()).await?;
            worker.link.set_server(server.address());
            RunningWorker {
                process: process.clone(),
                link: worker.link,
                _server: server,
            }
        } else {
            drop(worker);
            tokio::time::sleep(restart.away).await;
            self.start_at(process.clone(), address).await?
        };
        self.lock().insert(number, worker);
        tokio::time::sleep(restart.entry_lag).await;
        let still_runs = self
            .lock()
            .get(&number)
            .is_some_and(|worker| Arc::ptr_eq(&worker.process, &process));
        if still_runs {
            self.put_entry(&process, address, "ready").await;
        }
        Ok(())
    }

    /// Version of the software of worker `number`, if that worker runs now.
    pub fn version(&self, number: usize) -> Option<String> {
        let running = self.lock();
        running
            .get(&number)
            .map(|worker| worker.process.version.clone())
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

    /// Applies `act` to the proxies of all workers that run now.
    pub fn with_links(&self, act: impl Fn(&LinkProxy)) {
        self.lock().values().for_each(|worker| act(&worker.link));
    }

    async fn start_one(&self, number: usize) -> std::io::Result<()> {
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        let name = format!("i-{number}-{start}");
        let process = self.process(number, name, FIRST_VERSION.to_owned());
        let worker = self.start_at(process.clone(), (self.ip, 0).into()).await?;
        let address = worker.link.address();
        self.put_entry(&process, address, "ready").await;
        self.lock().insert(number, worker);
        Ok(())
    }

    fn process(&self, number: usize, name: String, version: String) -> Arc<WorkerProcess> {
        let service = match number < self.config.desk {
            true => DESK,
            false => ANNEX,
        };
        Arc::new(WorkerProcess {
            name,
            service,
            version,
            born: unix_ms(),
            slots: self.config.slots,
            has_tenants: self.config.has_tenants,
            history: self.history.clone(),
            active: Arc::default(),
            request_count: AtomicU64::new(0),
            fails_partly: AtomicBool::new(false),
        })
    }

    /// Serves the requests for `process` on a free port.
    async fn serve(&self, process: Arc<WorkerProcess>) -> std::io::Result<StandinServer> {
        StandinServer::start_on((self.ip, 0).into(), move |request| {
            let process = process.clone();
            async move { Some(process.answer(request).await) }
        })
        .await
    }

    /// Serves the requests for `process` behind a proxy at `address`.
    async fn start_at(
        &self,
        process: Arc<WorkerProcess>,
        address: SocketAddr,
    ) -> std::io::Result<RunningWorker> {
        let server = self.serve(process.clone()).await?;
        let mut attempt = 0;
        let link = loop {
            attempt += 1;
            match LinkProxy::start_on(address, server.address()).await {
                Ok(link) => break link,
                // The socket of the process before may not be closed yet.
                Err(_) if attempt < REBIND_ATTEMPTS => tokio::time::sleep(REBIND_INTERVAL).await,
                Err(err) => return Err(err),
            }
        };
        if let Some(links) = &self.links {
            links.add(link.address(), process.service).await?;
        }
        Ok(RunningWorker {
            process,
            link,
            _server: server,
        })
    }

    async fn announce_drain(&self, process: &WorkerProcess, address: SocketAddr) {
        if self.put_entry(process, address, "draining").await {
            let leave = LeaveRecord {
                worker: process.name.clone(),
                at: self.history.now(),
            };
            self.history.update(|records| records.leaves.push(leave));
        }
    }

    /// Writes the entry of a worker, and retries while the store is unavailable. Returns whether
    /// the store acknowledged it.
    async fn put_entry(&self, process: &WorkerProcess, address: SocketAddr, state: &str) -> bool {
        let entry = json!({
            "service": process.service, "address": address, "zone": "west",
            "version": process.version, "slots": process.slots, "state": state, "coldLeftMs": 0,
            "sequence": 1, "born": process.born
        });
        let key = entry_key(&process.name);
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
        if self.active.load(Ordering::Relaxed) >= self.slots {
            let mut reply = empty(StatusCode::SERVICE_UNAVAILABLE);
            let echo = headers.get("attempt-id").cloned();
            let headers = reply.headers_mut();
            headers.insert("not-executed", HeaderValue::from_static("1"));
            headers.extend(echo.map(|id| (HeaderName::from_static("attempt-id"), id)));
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
        // What continues the answer to another attempt has the content of that answer.
        let resumes = text(&headers, "resumes");
        let content_id = resumes.clone().unwrap_or_else(|| id.clone());
        if let Some(detail) = tenants::header_fault(&headers, &id).filter(|_| self.has_tenants) {
            self.history.record_violation("UNASKED", &detail);
        }
        let execution = ExecutionRecord {
            worker: self.name.clone(),
            service: self.service.to_owned(),
            version: self.version.clone(),
            resume_after,
            began_at: self.history.now(),
            ended_at: None,
            intact: method == http::Method::POST
                && path.ends_with(&content_id)
                && body == content::body(&content_id).as_bytes(),
            budget_ms: text(&headers, "time-budget-ms").and_then(|ms| ms.parse().ok()),
            resumes,
            id: id.clone(),
        };
        active.begin(execution);
        let request_count = self.request_count.fetch_add(1, Ordering::Relaxed);
        let fails = self.fails_partly.load(Ordering::Relaxed)
            && request_count.is_multiple_of(PARTIAL_FAILURE_ONE_IN);
        let mut reply = match path.split('/').nth(1) {
            _ if content::is_failing(&id) => {
                tokio::time::sleep(content::fail_time(&id)).await;
                empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
            _ if content::is_poison(&id) => empty(StatusCode::UNPROCESSABLE_ENTITY),
            _ if fails => empty(StatusCode::INTERNAL_SERVER_ERROR),
            Some("ask" | "lot") => events(content_id, self.version.clone(), resume_after, active),
            _ => {
                tokio::time::sleep(content::work_time(&id)).await;
                let output = content::whole_output(&id, &self.version);
                Response::new(Full::new(Bytes::from(output)).boxed_unsync())
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
            "born": self.born
        });
        json_reply(StatusCode::OK, &report)
    }
}

fn events(id: String, version: String, resume_after: u64, active: ActiveGuard) -> StandinReply {
    let (count, interval) = (content::event_count(&id), content::event_interval(&id));
    let events = stream::iter(resume_after + 1..=count).then(move |number| {
        let data = content::event_data(&id, number, &version);
        let _held_until_sent = &active;
        async move {
            tokio::time::sleep(interval).await;
            let event = format!("id: {number}\ndata: {data}\n\n");
            Ok(Frame::data(Bytes::from(event)))
        }
    });
    let mut reply = Response::new(StreamBody::new(events).boxed_unsync());
    let kind = HeaderValue::from_static("text/event-stream");
    reply.headers_mut().insert(http::header::CONTENT_TYPE, kind);
    reply
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| time.as_millis() as u64)
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
