//! Open-loop load: arrival times are fixed beforehand and latency counts from them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use parsleywall::edges::engine::Endpoint;
use parsleywall::http::client::ClientError;
use parsleywall::http::client::HttpClient;
use parsleywall::refusal::Executed;
use parsleywall_standins::engine::expected_answer;
use serde_json::Value;
use tokio::sync::mpsc;

use crate::history::History;
use crate::history::HistoryEvent;
use crate::history::digest;

const MAX_SENDS: u32 = 5;
const RESEND_PAUSE: Duration = Duration::from_millis(100);
const CALL_LIMIT: Duration = Duration::from_secs(60);
/// How long callers keep the list of entry hosts.
const LIST_AGE: Duration = Duration::from_secs(2);
const MAX_MICROS: u64 = 600_000_000;

/// Chooses where callers connect to.
pub struct EntryPicker {
    addresses: Mutex<(Instant, Vec<SocketAddr>)>,
    next: AtomicUsize,
    listed: bool,
}

impl EntryPicker {
    /// Returns a picker that takes `addresses` in turn. With `listed` it asks the hosts from time
    /// to time which of them to use.
    pub fn new(addresses: Vec<SocketAddr>, listed: bool) -> Arc<Self> {
        Arc::new(Self {
            addresses: Mutex::new((Instant::now(), addresses)),
            next: AtomicUsize::new(0),
            listed,
        })
    }

    async fn pick(&self, client: &HttpClient) -> SocketAddr {
        let (address, stale) = self.turn();
        if stale && self.listed {
            self.refresh(client, address).await;
            return self.turn().0;
        }
        address
    }

    fn turn(&self) -> (SocketAddr, bool) {
        let mut addresses = self.addresses.lock().expect("address list lock");
        let stale = addresses.0.elapsed() > LIST_AGE;
        if stale {
            addresses.0 = Instant::now();
        }
        let turn = self.next.fetch_add(1, Ordering::Relaxed);
        (addresses.1[turn % addresses.1.len()], stale)
    }

    async fn refresh(&self, client: &HttpClient, address: SocketAddr) {
        let url = format!("http://{address}/v1/entries");
        let call = client.call(Method::GET, &url, Bytes::new());
        let answer = tokio::time::timeout(RESEND_PAUSE, call).await;
        let Ok(Ok((StatusCode::OK, body))) = answer else {
            return;
        };
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let entries = body["data"].as_array().cloned().unwrap_or_default();
        let listed: Vec<SocketAddr> = entries
            .iter()
            .filter_map(|entry| entry["address"].as_str()?.parse().ok())
            .collect();
        if !listed.is_empty() {
            self.addresses.lock().expect("address list lock").1 = listed;
        }
    }
}

/// A request with its time of arrival.
#[derive(Clone, Debug)]
pub struct PlannedRequest {
    /// Arrival after the start of the load.
    pub at: Duration,
    /// Key of the member.
    pub key: &'static str,
    /// Body in OpenAI's shape; sent as a stream.
    pub body: Value,
    /// Deadline that is told to the host.
    pub deadline: Option<Duration>,
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// Entry host that the caller uses in place of the picker's.
    pub entry: Option<SocketAddr>,
}

impl PlannedRequest {
    /// An idempotent request without a deadline.
    pub fn new(at: Duration, key: &'static str, body: Value) -> Self {
        Self {
            at,
            key,
            body,
            deadline: None,
            idempotent: true,
            entry: None,
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole answer came.
    Answered,
    /// An answer came that is not the expected one.
    Wrong,
    /// The request was refused.
    Refused {
        /// Code of the refusal.
        code: String,
        /// Whether it may have run, by the refusal.
        executed: Executed,
    },
    /// The connection broke each time.
    Broken(String),
}

/// What one caller saw.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Planned arrival after the start of the load.
    pub at: Duration,
    /// From the planned arrival to the first token.
    pub first_token: Option<Duration>,
    /// Between tokens.
    pub gaps: Vec<Duration>,
    /// From the planned arrival to the end.
    pub total: Duration,
    /// Tokens received.
    pub tokens: u64,
    /// How often it was sent.
    pub sends: u32,
    /// How it ended.
    pub outcome: CallOutcome,
}

/// Sends planned requests and records what callers see.
#[derive(Clone)]
pub struct LoadDriver {
    client: HttpClient,
    picker: Arc<EntryPicker>,
    history: Arc<History>,
}

impl LoadDriver {
    /// Returns a driver whose callers connect where `picker` says.
    pub fn new(picker: Arc<EntryPicker>, history: Arc<History>) -> Self {
        Self {
            client: HttpClient::new(),
            picker,
            history,
        }
    }

    /// Starts the load in the background.
    pub fn spawn(&self, plan: Vec<PlannedRequest>) -> tokio::task::JoinHandle<Vec<CallRecord>> {
        let driver = self.clone();
        tokio::spawn(async move { driver.run(plan).await })
    }

    /// Sends every request at its time and waits for all ends.
    pub async fn run(&self, plan: Vec<PlannedRequest>) -> Vec<CallRecord> {
        let (send, mut due) = mpsc::unbounded_channel();
        let start = Instant::now();
        // A thread of its own, because the runtime's timers are good for a millisecond only.
        std::thread::spawn(move || {
            for planned in plan {
                std::thread::sleep(planned.at.saturating_sub(start.elapsed()));
                if send.send(planned).is_err() {
                    return;
                }
            }
        });
        let mut calls = Vec::new();
        while let Some(planned) = due.recv().await {
            let driver = self.clone();
            calls.push(tokio::spawn(
                async move { driver.call(start, planned).await },
            ));
        }
        let records = futures_util::future::join_all(calls).await;
        records.into_iter().flatten().collect()
    }

    /// Sends one request, again where the caller may, until it has an end.
    async fn call(&self, start: Instant, planned: PlannedRequest) -> CallRecord {
        let request = format!("call-{:016x}", rand::random::<u64>());
        let prompt = digest(&planned.body["messages"].to_string());
        let idempotent = planned.idempotent;
        self.history.record(HistoryEvent::RequestSent {
            request: request.clone(),
            prompt,
            idempotent,
        });
        let mut sends = 0;
        let (attempt, outcome) = loop {
            sends += 1;
            let mut attempt = Attempt::default();
            let limited = self.send(start, &planned, &request, &mut attempt);
            let outcome = match tokio::time::timeout(CALL_LIMIT, limited).await {
                Ok(outcome) => outcome,
                Err(_) => CallOutcome::Broken("no end in time".to_owned()),
            };
            match outcome {
                CallOutcome::Broken(_) if idempotent && sends < MAX_SENDS => {
                    tokio::time::sleep(RESEND_PAUSE).await;
                }
                outcome => break (attempt, outcome),
            }
        };
        self.note_outcome(&request, prompt, &planned, &attempt, &outcome);
        let times = attempt.times;
        CallRecord {
            at: planned.at,
            first_token: times.first().map(|time| *time - planned.at),
            gaps: times.windows(2).map(|pair| pair[1] - pair[0]).collect(),
            total: start.elapsed().saturating_sub(planned.at),
            tokens: times.len() as u64,
            sends,
            outcome,
        }
    }

    async fn send(
        &self,
        start: Instant,
        planned: &PlannedRequest,
        id: &str,
        attempt: &mut Attempt,
    ) -> CallOutcome {
        let address = match planned.entry {
            Some(address) => address,
            None => self.picker.pick(&self.client).await,
        };
        let response = match self.client.send(http_request(address, planned, id)).await {
            Ok(response) => response,
            Err(ClientError::NotSent(cause) | ClientError::Broken(cause)) => {
                return CallOutcome::Broken(cause);
            }
        };
        if response.status() != StatusCode::OK {
            return match response.into_body().collect().await {
                Ok(body) => refusal(&body.to_bytes()),
                Err(err) => CallOutcome::Broken(err.to_string()),
            };
        }
        let mut events = response.into_body().into_data_stream().eventsource();
        while let Some(event) = events.next().await {
            let data = match event {
                Ok(event) => event.data,
                Err(err) => return CallOutcome::Broken(err.to_string()),
            };
            if data == "[DONE]" {
                return attempt.judge(planned);
            }
            let chunk: Value = serde_json::from_str(&data).unwrap_or_default();
            if chunk["error"].is_object() {
                return refusal(data.as_bytes());
            }
            if let Some(text) = chunk["choices"][0]["delta"]["content"].as_str() {
                attempt.text.push_str(text);
                attempt.times.push(start.elapsed());
            }
        }
        CallOutcome::Broken("the stream ended early".to_owned())
    }

    fn note_outcome(
        &self,
        request: &str,
        prompt: u64,
        planned: &PlannedRequest,
        attempt: &Attempt,
        outcome: &CallOutcome,
    ) {
        let request = request.to_owned();
        self.history.record(match outcome {
            CallOutcome::Answered | CallOutcome::Wrong => HistoryEvent::AnswerRead {
                request,
                answer: digest(&attempt.text),
                expected: digest(&expected_text(planned)),
            },
            CallOutcome::Refused { code, executed } => HistoryEvent::RequestRefused {
                request,
                prompt,
                code: code.clone(),
                executed: *executed,
            },
            CallOutcome::Broken(cause) => HistoryEvent::AnswerBroken {
                request,
                cause: cause.clone(),
            },
        });
    }
}

#[derive(Default)]
struct Attempt {
    text: String,
    times: Vec<Duration>,
}

impl Attempt {
    fn judge(&self, planned: &PlannedRequest) -> CallOutcome {
        match self.text == expected_text(planned) {
            true => CallOutcome::Answered,
            false => CallOutcome::Wrong,
        }
    }
}

fn expected_text(planned: &PlannedRequest) -> String {
    let tokens = planned.body["max_tokens"].as_u64().unwrap_or_default();
    expected_answer(&planned.body, Endpoint::Chat, tokens)
}

fn http_request(address: SocketAddr, planned: &PlannedRequest, id: &str) -> Request<Full<Bytes>> {
    let mut body = planned.body.clone();
    body["stream"] = Value::Bool(true);
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}/v1/chat/completions"))
        .header("authorization", format!("Bearer {}", planned.key))
        .header("content-type", "application/json")
        .header("x-request-id", id);
    if let Some(deadline) = planned.deadline {
        request = request.header("x-deadline-ms", deadline.as_millis().to_string());
    }
    if !planned.idempotent {
        request = request
            .header("x-idempotent", "false")
            .header("idempotency-key", id);
    }
    let body = Full::new(Bytes::from(body.to_string()));
    request.body(body).expect("well-formed request")
}

fn refusal(body: &[u8]) -> CallOutcome {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    let executed = match body["error"]["executed"].as_str() {
        Some("no") => Executed::No,
        _ => Executed::Unknown,
    };
    let code = body["error"]["code"].as_str().unwrap_or("none").to_owned();
    CallOutcome::Refused { code, executed }
}

/// Histogram of microseconds.
pub fn histogram(times: impl IntoIterator<Item = Duration>) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("valid bounds");
    for time in times {
        histogram.saturating_record((time.as_micros() as u64).max(1));
    }
    histogram
}

/// Milliseconds that the share `quantile` of the times does not exceed; not a number without times.
pub fn quantile_ms(times: impl IntoIterator<Item = Duration>, quantile: f64) -> f64 {
    let histogram = histogram(times);
    if histogram.is_empty() {
        return f64::NAN;
    }
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

/// Quantile of the times to the first token, in milliseconds.
pub fn first_token_ms(records: &[CallRecord], quantile: f64) -> f64 {
    quantile_ms(
        records.iter().filter_map(|record| record.first_token),
        quantile,
    )
}

/// Quantile of the times between tokens, in milliseconds.
pub fn gap_ms(records: &[CallRecord], quantile: f64) -> f64 {
    let gaps = records
        .iter()
        .flat_map(|record| record.gaps.iter().copied());
    quantile_ms(gaps, quantile)
}

/// Number of calls that did not get their whole answer.
pub fn failed_calls(records: &[CallRecord]) -> usize {
    let failed = |record: &&CallRecord| record.outcome != CallOutcome::Answered;
    records.iter().filter(failed).count()
}
