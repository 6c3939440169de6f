//! Clients of plays: steady load, streams that break and go on at another front, and batch jobs.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures_util::future::join_all;
use http::Method;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::callers;
use crate::content;
use crate::fleet::MOVED_PREFIX;
use crate::fleet::SoakFleet;
use crate::history::CallKind;
use crate::history::CallOutcome;
use crate::history::CallRecord;
use crate::history::SoakHistory;
use crate::play::stream_id;
use crate::tenants;

const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two requests of the load at one front.
const LOAD_INTERVAL: Duration = Duration::from_millis(25);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const TAKE_UP_ATTEMPTS: usize = 6;
const TAKE_UP_INTERVAL: Duration = Duration::from_millis(500);
const JOB_TIMEOUT: Duration = Duration::from_secs(20);

/// How a stream or an item ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// Its answer is whole, and of one version of the software.
    Whole,
    /// Its answer joins events of several versions.
    Joined,
    /// No front took it up.
    Refused,
    /// Its answer ended early.
    CutOff,
    /// Its answer has other bytes.
    Mismatched,
}

impl StreamEnd {
    fn new(outcome: &CallOutcome) -> Self {
        match outcome {
            CallOutcome::Served => Self::Whole,
            CallOutcome::Joined(_) => Self::Joined,
            CallOutcome::Mismatched(_) => Self::Mismatched,
            CallOutcome::Refused(_) | CallOutcome::Failed(_) | CallOutcome::WorkerFailed(_) => {
                Self::Refused
            }
            CallOutcome::Cancelled | CallOutcome::CutOff => Self::CutOff,
        }
    }
}

/// A stream that its client has broken off, to go on with it elsewhere.
pub struct BrokenStream {
    id: String,
    /// Connection of a client that is gone without having closed it.
    _held: Option<OpenAnswer>,
    /// Complete events that the client has, as they were sent.
    read: Vec<u8>,
    last_event: u64,
}

/// Waits until all fronts are ready.
pub async fn wait_ready(fleet: &SoakFleet, timeout: Duration) -> std::io::Result<()> {
    let deadline = Instant::now() + timeout;
    for number in 0..fleet.fronts.len() {
        while !is_ready(fleet, number).await {
            if Instant::now() > deadline {
                return Err(std::io::Error::other(format!(
                    "front {number} is not ready"
                )));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

async fn is_ready(fleet: &SoakFleet, number: usize) -> bool {
    let Some(mut sender) = callers::open(fleet.readiness(number)).await else {
        return false;
    };
    let request = callers::request(Method::GET, "/readiness", String::new());
    let request = request.body(Full::default()).expect("valid parts");
    let answer = tokio::time::timeout(REQUEST_TIMEOUT, sender.send_request(request)).await;
    answer.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status() == StatusCode::OK))
}

/// Sends requests to front `number` in turn on the moved route and on another one until `end` is
/// cancelled, and records them.
pub async fn send_load(
    fleet: Arc<SoakFleet>,
    history: SoakHistory,
    number: usize,
    end: CancellationToken,
) {
    let mut count = 0;
    while !end.is_cancelled() {
        count += 1;
        let kind = match count % 2 {
            0 => CallKind::Repeatable,
            _ => CallKind::Once,
        };
        let id = format!("load-{number}-{count}");
        send_one(&fleet, &history, number, kind, id).await;
        tokio::time::sleep(LOAD_INTERVAL).await;
    }
}

/// Sends one request to front `number`, and records it.
pub async fn send_one(
    fleet: &SoakFleet,
    history: &SoakHistory,
    number: usize,
    kind: CallKind,
    id: String,
) {
    let prefix = match kind {
        CallKind::Stream => "/ask/",
        CallKind::Repeatable => MOVED_PREFIX,
        CallKind::Once => "/once/",
    };
    let sent = history.now();
    let request = LoadRequest {
        kind,
        prefix,
        ..LoadRequest::stream(number, &id)
    };
    let outcome = request.read_in_time(fleet).await.outcome(kind, &id);
    let record = CallRecord {
        id,
        kind,
        prefix: prefix.to_owned(),
        front: number,
        sent,
        ended: history.now(),
        outcome,
        route_acknowledged_at: Duration::ZERO,
    };
    history.update(|records| records.calls.push(record));
}

/// An answer as far as it was read.
#[derive(Default)]
struct ReadAnswer {
    status: u16,
    read: Vec<u8>,
    whole: bool,
    /// When the first bytes of the body came.
    first_at: Option<Instant>,
    /// The connection, and the body once it has begun.
    open: Option<OpenAnswer>,
}

/// Connection on which an answer comes. Dropping it closes the connection.
struct OpenAnswer {
    sender: SendRequest<Full<Bytes>>,
    body: Option<Incoming>,
}

impl ReadAnswer {
    fn outcome(&self, kind: CallKind, id: &str) -> CallOutcome {
        match self.status {
            0 => CallOutcome::CutOff,
            200..300 => callers::compare_answer(kind, id, &self.read, self.whole),
            429 | 503 | 408 | 421 => CallOutcome::Refused(self.status),
            status => CallOutcome::Failed(status),
        }
    }
}

/// A request that is sent on a connection of its own.
struct LoadRequest<'a> {
    front: usize,
    kind: CallKind,
    prefix: &'a str,
    id: &'a str,
    /// Identifier of the attempt; differs from `id` if it goes on with an answer to that.
    attempt: &'a str,
    resume_after: Option<u64>,
}

impl<'a> LoadRequest<'a> {
    fn stream(front: usize, id: &'a str) -> Self {
        Self {
            front,
            kind: CallKind::Stream,
            prefix: "/ask/",
            id,
            attempt: id,
            resume_after: None,
        }
    }

    async fn read_in_time(&self, fleet: &SoakFleet) -> ReadAnswer {
        let mut answer = ReadAnswer::default();
        let _ = tokio::time::timeout(REQUEST_TIMEOUT, self.read(fleet, &mut answer)).await;
        answer
    }

    /// Reads into `answer`, so that a caller that stops waiting keeps what came.
    async fn read(&self, fleet: &SoakFleet, answer: &mut ReadAnswer) {
        let Some(sender) = callers::connect(fleet, self.front).await else {
            return;
        };
        let open = answer.open.insert(OpenAnswer { sender, body: None });
        let body = content::body(self.id);
        let path = format!("{}{}", self.prefix, self.id);
        let request = callers::request(Method::POST, &path, body.clone());
        let mut request = tenants::with_tenant(request, tenants::tenant_of(self.id))
            .header("attempt-id", self.attempt)
            .header("time-budget-ms", REQUEST_TIMEOUT.as_millis().to_string());
        if self.kind == CallKind::Stream {
            let part = xxhash_rust::xxh3::xxh3_64(self.id.as_bytes());
            request = request
                .header("model", "m")
                .header("token-usage", "100,250")
                .header("prompt-prefix", format!("{part:x}:100"));
        }
        if let Some(event) = self.resume_after {
            request = request.header("last-event-id", event.to_string());
        }
        if self.attempt != self.id {
            request = request.header("resumes", self.id);
        }
        let request = request.body(Bytes::from(body).into()).expect("valid parts");
        let Ok(response) = open.sender.send_request(request).await else {
            return;
        };
        answer.status = response.status().as_u16();
        let body = open.body.insert(response.into_body());
        loop {
            match body.frame().await {
                Some(Ok(frame)) => {
                    answer.first_at.get_or_insert_with(Instant::now);
                    answer.read.extend(frame.into_data().unwrap_or_default());
                }
                Some(Err(_)) => return,
                None => break,
            }
        }
        answer.whole = true;
    }
}

impl BrokenStream {
    /// Begins stream `id` at `front` and breaks it off after `time`.
    pub(crate) async fn begin(fleet: &SoakFleet, front: usize, id: &str, time: Duration) -> Self {
        let stream = Self::begin_and_hold(fleet, front, id, time).await;
        Self {
            _held: None,
            ..stream
        }
    }

    /// Begins stream `id` at `front` and stops to read it after `time`; its connection stays open until
    /// the stream is dropped.
    pub(crate) async fn begin_and_hold(
        fleet: &SoakFleet,
        front: usize,
        id: &str,
        time: Duration,
    ) -> Self {
        let mut answer = ReadAnswer::default();
        let request = LoadRequest::stream(front, id);
        let _ = tokio::time::timeout(time, request.read(fleet, &mut answer)).await;
        let end = answer.read.windows(2).rposition(|end| end == b"\n\n");
        answer.read.truncate(end.map_or(0, |end| end + 2));
        let text = String::from_utf8_lossy(&answer.read);
        let events = text.lines().filter(|line| line.starts_with("id: "));
        Self {
            id: id.to_owned(),
            last_event: events.count() as u64,
            read: answer.read,
            _held: answer.open,
        }
    }

    /// Goes on with the stream at `front` under the identifier `attempt`. The outcome is that of both
    /// parts together.
    pub(crate) async fn take_up(
        &self,
        fleet: &SoakFleet,
        front: usize,
        attempt: &str,
    ) -> CallOutcome {
        self.take_up_timed(fleet, front, attempt).await.0
    }

    /// As [`BrokenStream::take_up`]; returns the time to the first event, too.
    async fn take_up_timed(
        &self,
        fleet: &SoakFleet,
        front: usize,
        attempt: &str,
    ) -> (CallOutcome, Option<Duration>) {
        let began = Instant::now();
        let request = LoadRequest {
            attempt,
            resume_after: Some(self.last_event).filter(|event| *event > 0),
            ..LoadRequest::stream(front, &self.id)
        };
        let mut answer = request.read_in_time(fleet).await;
        answer.read.splice(..0, self.read.iter().copied());
        let first = answer.first_at.filter(|_| answer.status == 200);
        let first = first.map(|first| first - began);
        (answer.outcome(CallKind::Stream, &self.id), first)
    }
}

/// How a stream went on that was taken up.
pub struct TakeUp {
    /// How both parts together ended.
    pub end: StreamEnd,
    /// Time from the first attempt to its first event, if one came.
    pub first_event: Option<Duration>,
}

/// Begins `count` streams at `front` and breaks them off after `time`.
pub async fn begin_streams(
    fleet: &SoakFleet,
    front: usize,
    count: usize,
    time: Duration,
) -> Vec<BrokenStream> {
    let streams = (0..count).map(|number| async move {
        let id = stream_id("stream", number);
        BrokenStream::begin(fleet, front, &id, time).await
    });
    join_all(streams).await
}

/// Takes up `streams` at `front`, again for a while if it refuses them.
pub async fn take_up_streams(
    fleet: &SoakFleet,
    front: usize,
    streams: &[BrokenStream],
) -> Vec<TakeUp> {
    let streams = streams.iter().map(|stream| async move {
        let began = Instant::now();
        let (mut outcome, mut first_event) = (CallOutcome::CutOff, None);
        for number in 0..TAKE_UP_ATTEMPTS {
            let attempt = format!("{}-again-{number}", stream.id);
            let before = began.elapsed();
            let taken_up = stream.take_up_timed(fleet, front, &attempt).await;
            outcome = taken_up.0;
            first_event = taken_up.1.map(|first| before + first);
            if !matches!(outcome, CallOutcome::Refused(_)) {
                break;
            }
            tokio::time::sleep(TAKE_UP_INTERVAL).await;
        }
        TakeUp {
            end: StreamEnd::new(&outcome),
            first_event,
        }
    });
    join_all(streams).await
}

/// Reads `count` streams from `front` to their ends.
pub async fn read_streams(fleet: &SoakFleet, front: usize, count: usize) -> Vec<StreamEnd> {
    let streams = (0..count).map(|number| async move {
        let id = stream_id("stream", number);
        let answer = LoadRequest::stream(front, &id).read_in_time(fleet).await;
        StreamEnd::new(&answer.outcome(CallKind::Stream, &id))
    });
    join_all(streams).await
}

/// A batch job of a play.
pub struct PlayJob {
    id: String,
    items: Vec<String>,
}

/// Submits a job of `count` items with long answers at front 0.
pub async fn submit_job(fleet: &SoakFleet, count: usize) -> std::io::Result<PlayJob> {
    let name = format!("{}-play", content::ITEM_PREFIX);
    let ids = (0..).map(|number| stream_id(&name, number));
    let items: Vec<String> = ids
        .filter(|id| !content::is_poison(id))
        .take(count)
        .collect();
    let rows: Vec<Value> = items.iter().map(|id| item(id)).collect();
    let job = PlayJob {
        id: "lot-play".to_owned(),
        items,
    };
    let body = json!({ "items": rows }).to_string();
    let path = format!("/lot/{}", job.id);
    match call(fleet, 0, Method::POST, &path, &job.id, body).await {
        Some((StatusCode::ACCEPTED, _)) => Ok(job),
        answer => Err(std::io::Error::other(format!("job: {answer:?}"))),
    }
}

/// Reads the results of `job` until it is complete or its time is up.
pub async fn read_job(fleet: &SoakFleet, job: &PlayJob) -> Vec<StreamEnd> {
    let deadline = Instant::now() + JOB_TIMEOUT;
    let path = format!("/lots/{}?after=0", job.id);
    let mut ends = Vec::new();
    while ends.len() < job.items.len() && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
        for front in 0..fleet.fronts.len() {
            let answer = call(fleet, front, Method::GET, &path, &job.id, String::new()).await;
            if let Some((StatusCode::OK, body)) = answer {
                let page: Value = serde_json::from_slice(&body).unwrap_or_default();
                let rows = page["results"].as_array().cloned().unwrap_or_default();
                ends = rows.iter().map(result_end).collect();
            }
        }
    }
    ends.resize(job.items.len(), StreamEnd::CutOff);
    ends
}

fn result_end(row: &Value) -> StreamEnd {
    let text = |name: &str| row[name].as_str().unwrap_or_default();
    let versions = content::versions(text("output"));
    let version = versions.first().copied().unwrap_or_default();
    match text("output") == content::whole_output(text("id"), version) {
        _ if versions.len() > 1 => StreamEnd::Joined,
        _ if text("state") != "done" => StreamEnd::Refused,
        true => StreamEnd::Whole,
        false => StreamEnd::Mismatched,
    }
}

pub(crate) fn item(id: &str) -> Value {
    json!({
        "id": id,
        "path": format!("/lot/{id}"),
        "headers": { "Model": "m", "Token-Usage": "100,250", "Prompt-Prefix": "ef:100" },
        "body": STANDARD.encode(content::body(id)),
        "tokens": 350,
    })
}

/// Sends a request to `front` on a new connection; returns nothing if it fails or times out.
pub(crate) async fn call(
    fleet: &SoakFleet,
    front: usize,
    method: Method,
    path: &str,
    id: &str,
    body: String,
) -> Option<(StatusCode, Bytes)> {
    let request = callers::request(method, path, body.clone())
        .header("attempt-id", id)
        .header("content-type", "application/json")
        .body(Bytes::from(body).into())
        .ok()?;
    let exchange = async {
        let mut sender = callers::connect(fleet, front).await?;
        let response = sender.send_request(request).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some((status, body))
    };
    tokio::time::timeout(REQUEST_TIMEOUT, exchange).await.ok()?
}
