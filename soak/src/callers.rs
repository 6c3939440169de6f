//! Clients that send online requests.
//!
//! They resolve the fronts through the directory, reuse connections, and retry only what the users'
//! documentation allows.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::seq::SliceRandom;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::content;
use crate::fleet::HOST;
use crate::fleet::SoakFleet;
use crate::history::CallKind;
use crate::history::CallOutcome;
use crate::history::CallRecord;
use crate::history::SoakHistory;
use crate::inject::FaultInjector;
use crate::plan::FIRST_FAILING_SEED;
use crate::play_clients::BrokenStream;
use crate::tenants;

/// Time that a client waits for an answer, summed over all attempts at one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const DIRECTORY_TIMEOUT: Duration = Duration::from_secs(1);
const DIRECTORY_TTL: Duration = Duration::from_secs(2);
const MAX_ATTEMPTS: usize = 2;
/// One in this many streams is cancelled by its client.
const CANCEL_ONE_IN: u32 = 20;
const CANCEL_AFTER: Duration = Duration::from_millis(400);
/// One in this many requests is a stream that its client breaks off and takes up.
const TAKE_UP_ONE_IN: u32 = 20;
/// Before one in this many requests, a request with an unknown key is sent.
const UNKNOWN_KEY_ONE_IN: u32 = 10;
const STREAM_TIME_MS: std::ops::Range<u64> = 50..600;
const TAKE_UP_PAUSE_MS: std::ops::Range<u64> = 100..900;
const CALL_PAUSE_MS: std::ops::Range<u64> = 5..160;
/// Of ten connections whose request was served, this many are reused.
const REUSE_OF_TEN: u32 = 7;

/// An open connection of a client to a front.
struct CallerConnection {
    front: usize,
    sender: SendRequest<Full<Bytes>>,
}

/// One in this many requests that may run once is long, in runs with such.
const LONG_ONE_IN: u32 = 40;
/// Seconds that it takes.
const LONG_S: u64 = 4;

/// A client that sends one request at a time.
pub struct SoakCaller {
    number: usize,
    fleet: Arc<SoakFleet>,
    injector: Arc<FaultInjector>,
    history: SoakHistory,
    rng: StdRng,
    addresses: Vec<usize>,
    resolved_at: Option<Instant>,
    idle: Option<CallerConnection>,
    calls: u64,
    /// Whether it keeps its connection until that closes, and sends rare long requests amid short ones.
    is_lasting: bool,
}

impl SoakCaller {
    /// Returns client `number` of the run with `seed`.
    pub fn new(
        number: usize,
        seed: u64,
        fleet: Arc<SoakFleet>,
        injector: Arc<FaultInjector>,
        history: SoakHistory,
    ) -> Self {
        Self {
            number,
            fleet,
            injector,
            history,
            rng: StdRng::seed_from_u64(seed ^ (number as u64 + 1) << 32),
            addresses: Vec::new(),
            resolved_at: None,
            idle: None,
            calls: 0,
            is_lasting: seed >= FIRST_FAILING_SEED,
        }
    }

    /// Sends requests until `end` is cancelled.
    pub async fn run(mut self, end: CancellationToken) {
        while !end.is_cancelled() {
            let pause = self.rng.random_range(CALL_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            self.call().await;
        }
    }

    /// Sends one request and retries it where that is allowed; records each attempt.
    async fn call(&mut self) {
        if self.rng.random_ratio(1, TAKE_UP_ONE_IN) {
            return self.break_and_take_up().await;
        }
        if self.fleet.has_tenants() && self.rng.random_ratio(1, UNKNOWN_KEY_ONE_IN) {
            self.call_with_unknown_key().await;
        }
        let (kind, prefix, route_acknowledged_at) = self.draw_route();
        self.calls += 1;
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        for attempt in 0..MAX_ATTEMPTS {
            let id = format!("call-{}-{}-{attempt}", self.number, self.calls);
            let cancels = kind == CallKind::Stream && self.rng.random_ratio(1, CANCEL_ONE_IN);
            let is_long =
                self.is_lasting && kind == CallKind::Once && self.rng.random_ratio(1, LONG_ONE_IN);
            let id = match (cancels, is_long) {
                (true, _) => format!("{id}-{}", content::CANCEL_SUFFIX),
                (_, true) => content::lasting(&id, LONG_S),
                _ => id,
            };
            let Some(connection) = self.connect(attempt > 0).await else {
                return;
            };
            let sent = self.history.now();
            let path = format!("{prefix}{id}");
            let (outcome, front) = self.attempt(connection, kind, &path, &id, deadline).await;
            let retries = may_retry(kind, &outcome);
            let record = CallRecord {
                id,
                kind,
                prefix: prefix.clone(),
                front,
                sent,
                ended: self.history.now(),
                outcome,
                route_acknowledged_at,
            };
            self.history.update(|records| records.calls.push(record));
            if !retries || Instant::now() >= deadline {
                return;
            }
        }
    }

    /// Sends a request with a key that no manifest holds, which no worker may run.
    async fn call_with_unknown_key(&mut self) {
        self.refresh_addresses().await;
        let Some(front) = self.addresses.choose(&mut self.rng).copied() else {
            return;
        };
        self.calls += 1;
        let id = format!("call-{}-{}-unknown", self.number, self.calls);
        let path = format!("/often/{id}");
        let request = request(Method::POST, &path, content::body(&id)).header("attempt-id", &id);
        let request = tenants::with_key(request, tenants::UNKNOWN_KEY);
        let request = request
            .body(content::body(&id).into())
            .expect("valid parts");
        let exchange = async {
            let mut sender = connect(&self.fleet, front).await?;
            Some(sender.send_request(request).await.ok()?.status())
        };
        let answer = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await;
        if let Ok(Some(status)) = answer
            && !tenants::is_refusal(status)
        {
            let detail = format!("{id} with an unknown key was answered {status}");
            self.history.record_violation("ROUTE", &detail);
        }
    }

    /// Begins a long stream, breaks it off, and takes it up at another front.
    async fn break_and_take_up(&mut self) {
        self.refresh_addresses().await;
        self.calls += 1;
        let id = format!(
            "call-{}-{}-{}",
            self.number,
            self.calls,
            content::LONG_SUFFIX
        );
        let mut fronts = self.addresses.clone();
        fronts.shuffle(&mut self.rng);
        let (Some(first), Some(second)) = (fronts.first(), fronts.last()) else {
            return;
        };
        let time = Duration::from_millis(self.rng.random_range(STREAM_TIME_MS));
        let sent = self.history.now();
        let stream = BrokenStream::begin(&self.fleet, *first, &id, time).await;
        self.history
            .record_stream(&id, *first, sent, CallOutcome::Cancelled);
        let pause = self.rng.random_range(TAKE_UP_PAUSE_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let attempt = format!("{id}-again");
        let sent = self.history.now();
        let outcome = stream.take_up(&self.fleet, *second, &attempt).await;
        self.history.record_stream(&attempt, *second, sent, outcome);
    }

    fn draw_route(&mut self) -> (CallKind, String, Duration) {
        match self.rng.random_range(0..10) {
            0..5 => (CallKind::Stream, "/ask/".to_owned(), Duration::ZERO),
            5..7 => (CallKind::Once, "/once/".to_owned(), Duration::ZERO),
            7 => match self.injector.newest_route() {
                Some(route) => (CallKind::Repeatable, route.prefix, route.acknowledged_at),
                None => (CallKind::Repeatable, "/often/".to_owned(), Duration::ZERO),
            },
            _ => (CallKind::Repeatable, "/often/".to_owned(), Duration::ZERO),
        }
    }

    async fn connect(&mut self, is_retry: bool) -> Option<CallerConnection> {
        self.refresh_addresses().await;
        let idle = self.idle.take();
        let is_kept = |front: usize| self.is_lasting || self.addresses.contains(&front);
        let idle = idle.filter(|idle| !is_retry && is_kept(idle.front));
        if let Some(mut idle) = idle
            && idle.sender.ready().await.is_ok()
        {
            return Some(idle);
        }
        for _ in 0..3 {
            let front = *self.addresses.choose(&mut self.rng)?;
            if let Some(sender) = connect(&self.fleet, front).await {
                return Some(CallerConnection { front, sender });
            }
            self.addresses.retain(|other| *other != front);
        }
        None
    }

    async fn refresh_addresses(&mut self) {
        let fresh = self
            .resolved_at
            .is_some_and(|resolved_at| resolved_at.elapsed() < DIRECTORY_TTL);
        if fresh && !self.addresses.is_empty() {
            return;
        }
        let count = self.fleet.fronts.len();
        for _ in 0..3 {
            let front = self.rng.random_range(0..count);
            if let Some(addresses) = resolve(&self.fleet, front).await {
                self.addresses = addresses;
                self.resolved_at = Some(Instant::now());
                return;
            }
        }
        if self.addresses.is_empty() {
            self.addresses = (0..count).collect();
        }
    }

    async fn attempt(
        &mut self,
        mut connection: CallerConnection,
        kind: CallKind,
        path: &str,
        id: &str,
        deadline: Instant,
    ) -> (CallOutcome, usize) {
        let front = connection.front;
        let remaining = deadline.saturating_duration_since(Instant::now());
        let request = request(Method::POST, path, content::body(id));
        let request = tenants::with_tenant(request, tenants::tenant_of(id))
            .header("attempt-id", id)
            .header("time-budget-ms", remaining.as_millis().to_string())
            .header("model", "m")
            .header("token-usage", "100,40")
            .header("prompt-prefix", "ab:50,cd:50");
        let request = request.body(content::body(id).into()).expect("valid parts");
        let exchange = async {
            let response = connection.sender.send_request(request).await.ok()?;
            Some(classify_response(response, kind, id).await)
        };
        let cancels = id.ends_with(content::CANCEL_SUFFIX);
        let until = match cancels {
            true => Instant::now() + CANCEL_AFTER,
            false => deadline,
        };
        let outcome = match tokio::time::timeout_at(until, exchange).await {
            Ok(outcome) => outcome.unwrap_or(CallOutcome::CutOff),
            Err(_) if cancels => CallOutcome::Cancelled,
            Err(_) => CallOutcome::CutOff,
        };
        let keeps = self.rng.random_range(0..10) < REUSE_OF_TEN;
        if outcome == CallOutcome::Served && keeps {
            self.idle = Some(connection);
        }
        (outcome, front)
    }
}

fn may_retry(kind: CallKind, outcome: &CallOutcome) -> bool {
    match (kind, outcome) {
        (
            _,
            CallOutcome::Served
            | CallOutcome::Joined(_)
            | CallOutcome::Mismatched(_)
            | CallOutcome::Cancelled,
        ) => false,
        (_, CallOutcome::Refused(_)) => true,
        (CallKind::Once, _) => false,
        (_, CallOutcome::Failed(status)) => *status >= 500,
        (_, CallOutcome::WorkerFailed(_) | CallOutcome::CutOff) => true,
    }
}

/// Returns a request builder with the headers that all requests to a front have.
pub(crate) fn request(method: Method, path: &str, body: String) -> http::request::Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("content-length", body.len())
}

/// Connects to the callers' port of front `number` through its proxy.
pub(crate) async fn connect(fleet: &SoakFleet, number: usize) -> Option<SendRequest<Full<Bytes>>> {
    open(fleet.caller_links[number].address()).await
}

/// Connects to `address`.
pub(crate) async fn open(address: std::net::SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let opening = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    };
    tokio::time::timeout(CONNECT_TIMEOUT, opening).await.ok()?
}

/// Asks the directory of front `number` for addresses; returns the numbers of the fronts listed.
async fn resolve(fleet: &SoakFleet, number: usize) -> Option<Vec<usize>> {
    let asking = async {
        let mut sender = open(fleet.directory(number)).await?;
        let path = format!("/resolve?name={HOST}&region=west&zone=west");
        let request = request(Method::GET, &path, String::new());
        let request = request.body(Full::default()).ok()?;
        let response = sender.send_request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        let answer: Value = serde_json::from_slice(&body).ok()?;
        let addresses = answer["addresses"].as_array()?;
        let fronts: Vec<usize> = addresses
            .iter()
            .filter_map(|address| fleet.front_at(address.as_str()?))
            .collect();
        (!fronts.is_empty()).then_some(fronts)
    };
    tokio::time::timeout(DIRECTORY_TIMEOUT, asking).await.ok()?
}

/// Reads the answer to `id` to its end and classifies it by status, signature and content.
pub(crate) async fn classify_response(
    response: Response<Incoming>,
    kind: CallKind,
    id: &str,
) -> CallOutcome {
    let (head, body) = response.into_parts();
    let sealed = head.headers.contains_key("response-seal");
    let status = head.status;
    if !status.is_success() {
        return match (sealed, status) {
            (true, _) => CallOutcome::WorkerFailed(status.as_u16()),
            (
                false,
                StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST,
            ) => CallOutcome::Refused(status.as_u16()),
            (false, _) => CallOutcome::Failed(status.as_u16()),
        };
    }
    if !sealed {
        return CallOutcome::Mismatched("a success without signature".to_owned());
    }
    let echoed = head.headers.get("attempt-id").map(|echo| echo == id);
    if echoed == Some(false) {
        return CallOutcome::Mismatched("a success with another identifier".to_owned());
    }
    let mut read = Vec::new();
    let mut body = body;
    let whole = loop {
        match body.frame().await {
            Some(Ok(frame)) => read.extend(frame.into_data().unwrap_or_default()),
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    compare_answer(kind, id, &read, whole)
}

/// Compares the bytes that were `read` with the expected answer to `id`.
///
/// `whole` says whether the body ended as HTTP requires. A truncated answer must not end so, and
/// its bytes must be a prefix of the expected answer.
pub fn compare_answer(kind: CallKind, id: &str, read: &[u8], whole: bool) -> CallOutcome {
    let text = String::from_utf8_lossy(read);
    let versions = content::versions(&text);
    if versions.len() > 1 {
        return CallOutcome::Joined(format!("{versions:?}"));
    }
    let version = versions.first().copied().unwrap_or_default();
    let expected = match kind {
        CallKind::Stream => (1..=content::event_count(id))
            .map(|number| {
                format!(
                    "id: {number}\ndata: {}\n\n",
                    content::event_data(id, number, version)
                )
            })
            .collect(),
        CallKind::Repeatable | CallKind::Once => content::whole_output(id, version),
    };
    let expected = expected.into_bytes();
    match (
        whole,
        expected.starts_with(read),
        read.len() == expected.len(),
    ) {
        (true, true, true) => CallOutcome::Served,
        (true, _, _) => CallOutcome::Mismatched("a whole answer with other bytes".to_owned()),
        (false, false, _) => {
            CallOutcome::Mismatched("part of an answer with other bytes".to_owned())
        }
        (false, true, _) => CallOutcome::CutOff,
    }
}
