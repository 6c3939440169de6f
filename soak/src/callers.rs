//! Clients: they ask the directory, keep connections open, and retry as the pages allow.

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
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::content;
use crate::fleet::HOST;
use crate::fleet::SoakFleet;
use crate::history::CallEnd;
use crate::history::CallKind;
use crate::history::CallRecord;
use crate::history::SoakHistory;
use crate::inject::FaultInjector;

/// Time that a client waits for an answer, over all of its attempts.
const TIME_LIMIT: Duration = Duration::from_secs(5);
const CONNECT_TIME: Duration = Duration::from_secs(1);
const DIRECTORY_TIME: Duration = Duration::from_secs(1);
const DIRECTORY_TTL: Duration = Duration::from_secs(2);
const MAX_ATTEMPTS: usize = 2;
/// One stream in so many has a client that leaves early.
const LEAVE_ONE_IN: u32 = 20;
const LEAVE_AFTER: Duration = Duration::from_millis(400);
const CALL_PAUSE_MS: std::ops::Range<u64> = 5..160;
/// Connections are kept for further requests in so many of ten cases.
const KEPT_OF_TEN: u32 = 7;

/// A connection of a client to a front.
struct CallerConnection {
    front: usize,
    sender: SendRequest<Full<Bytes>>,
}

/// One client.
pub struct SoakCaller {
    number: usize,
    fleet: Arc<SoakFleet>,
    injector: Arc<FaultInjector>,
    history: SoakHistory,
    rng: StdRng,
    addresses: Vec<usize>,
    asked: Option<Instant>,
    kept: Option<CallerConnection>,
    calls: u64,
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
            asked: None,
            kept: None,
            calls: 0,
        }
    }

    /// Sends requests until `end`.
    pub async fn run(mut self, end: CancellationToken) {
        while !end.is_cancelled() {
            let pause = self.rng.random_range(CALL_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
            self.call().await;
        }
    }

    /// One request with its retries.
    async fn call(&mut self) {
        let (kind, prefix, route_since) = self.choose_route();
        self.calls += 1;
        let deadline = Instant::now() + TIME_LIMIT;
        for attempt in 0..MAX_ATTEMPTS {
            let id = format!("call-{}-{}-{attempt}", self.number, self.calls);
            let leaves = kind == CallKind::Stream && self.rng.random_ratio(1, LEAVE_ONE_IN);
            let id = match leaves {
                true => format!("{id}-{}", content::LEAVE_SUFFIX),
                false => id,
            };
            let Some(connection) = self.connect(attempt > 0).await else {
                return;
            };
            let sent = self.history.now();
            let path = format!("{prefix}{id}");
            let (end, front) = self.attempt(connection, kind, &path, &id, deadline).await;
            let retries = may_retry(kind, &end);
            let record = CallRecord {
                id,
                kind,
                front,
                sent,
                ended: self.history.now(),
                end,
                route_since,
            };
            self.history.note(|records| records.calls.push(record));
            if !retries || Instant::now() >= deadline {
                return;
            }
        }
    }

    fn choose_route(&mut self) -> (CallKind, String, Duration) {
        match self.rng.random_range(0..10) {
            0..5 => (CallKind::Stream, "/ask/".to_owned(), Duration::ZERO),
            5..7 => (CallKind::Once, "/once/".to_owned(), Duration::ZERO),
            7 => match self.injector.newest_route() {
                Some(route) => (CallKind::Repeatable, route.prefix, route.since),
                None => (CallKind::Repeatable, "/often/".to_owned(), Duration::ZERO),
            },
            _ => (CallKind::Repeatable, "/often/".to_owned(), Duration::ZERO),
        }
    }

    async fn connect(&mut self, anew: bool) -> Option<CallerConnection> {
        self.refresh_addresses().await;
        let kept = self.kept.take();
        let kept = kept.filter(|kept| !anew && self.addresses.contains(&kept.front));
        if let Some(mut kept) = kept
            && kept.sender.ready().await.is_ok()
        {
            return Some(kept);
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
            .asked
            .is_some_and(|asked| asked.elapsed() < DIRECTORY_TTL);
        if fresh && !self.addresses.is_empty() {
            return;
        }
        let count = self.fleet.fronts.len();
        for _ in 0..3 {
            let front = self.rng.random_range(0..count);
            if let Some(addresses) = resolve(&self.fleet, front).await {
                self.addresses = addresses;
                self.asked = Some(Instant::now());
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
    ) -> (CallEnd, usize) {
        let front = connection.front;
        let left = deadline.saturating_duration_since(Instant::now());
        let request = request(Method::POST, path, content::body(id))
            .header("attempt-id", id)
            .header("time-budget-ms", left.as_millis().to_string())
            .header("model", "m")
            .header("token-usage", "100,40")
            .header("prompt-prefix", "ab:50,cd:50");
        let request = request.body(content::body(id).into()).expect("valid parts");
        let exchange = async {
            let response = connection.sender.send_request(request).await.ok()?;
            Some(judge(response, kind, id).await)
        };
        let leaves = id.ends_with(content::LEAVE_SUFFIX);
        let until = match leaves {
            true => Instant::now() + LEAVE_AFTER,
            false => deadline,
        };
        let end = match tokio::time::timeout_at(until, exchange).await {
            Ok(end) => end.unwrap_or(CallEnd::Broken),
            Err(_) if leaves => CallEnd::Left,
            Err(_) => CallEnd::Broken,
        };
        let keeps = self.rng.random_range(0..10) < KEPT_OF_TEN;
        if end == CallEnd::Served && keeps {
            self.kept = Some(connection);
        }
        (end, front)
    }
}

fn may_retry(kind: CallKind, end: &CallEnd) -> bool {
    match (kind, end) {
        (_, CallEnd::Served | CallEnd::Mixed(_) | CallEnd::Left) => false,
        (_, CallEnd::Refused(_)) => true,
        (CallKind::Once, _) => false,
        (_, CallEnd::Failed(status)) => *status >= 500,
        (_, CallEnd::WorkerFailed(_) | CallEnd::Broken) => true,
    }
}

/// A request with the parts that each call has.
pub(crate) fn request(method: Method, path: &str, body: String) -> http::request::Builder {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", HOST)
        .header("content-length", body.len())
}

/// Opens a connection to front `number` for callers.
pub(crate) async fn connect(fleet: &SoakFleet, number: usize) -> Option<SendRequest<Full<Bytes>>> {
    open(fleet.caller_links[number].address()).await
}

async fn open(address: std::net::SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let opening = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    };
    tokio::time::timeout(CONNECT_TIME, opening).await.ok()?
}

/// Asks front `number` where to connect; returns the numbers of the fronts that it names.
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
    tokio::time::timeout(DIRECTORY_TIME, asking).await.ok()?
}

/// Reads the whole answer to `id` and compares it with what it must be.
async fn judge(response: Response<Incoming>, kind: CallKind, id: &str) -> CallEnd {
    let (head, body) = response.into_parts();
    let sealed = head.headers.contains_key("response-seal");
    let status = head.status;
    if !status.is_success() {
        return match (sealed, status) {
            (true, _) => CallEnd::WorkerFailed(status.as_u16()),
            (
                false,
                StatusCode::TOO_MANY_REQUESTS
                | StatusCode::SERVICE_UNAVAILABLE
                | StatusCode::REQUEST_TIMEOUT
                | StatusCode::MISDIRECTED_REQUEST,
            ) => CallEnd::Refused(status.as_u16()),
            (false, _) => CallEnd::Failed(status.as_u16()),
        };
    }
    if !sealed {
        return CallEnd::Mixed("a success without signature".to_owned());
    }
    let echoed = head.headers.get("attempt-id").map(|echo| echo == id);
    if echoed == Some(false) {
        return CallEnd::Mixed("a success with another identifier".to_owned());
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
    compare(kind, id, &read, whole)
}

/// Compares what was `read` with the answer to `id`. An answer that ends early must not look
/// `whole`, and what came of it must be its beginning.
pub(crate) fn compare(kind: CallKind, id: &str, read: &[u8], whole: bool) -> CallEnd {
    let expected = match kind {
        CallKind::Stream => (1..=content::event_count(id))
            .map(|number| {
                format!(
                    "id: {number}\ndata: {}\n\n",
                    content::event_data(id, number)
                )
            })
            .collect(),
        CallKind::Repeatable | CallKind::Once => content::whole_output(id),
    };
    let expected = expected.into_bytes();
    match (
        whole,
        expected.starts_with(read),
        read.len() == expected.len(),
    ) {
        (true, true, true) => CallEnd::Served,
        (true, _, _) => CallEnd::Mixed("a whole answer with other bytes".to_owned()),
        (false, false, _) => CallEnd::Mixed("part of an answer with other bytes".to_owned()),
        (false, true, _) => CallEnd::Broken,
    }
}
