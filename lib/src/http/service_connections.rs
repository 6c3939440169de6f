//! Connections to one service, which may be dead without having been closed.
//!
//! A call that may be repeated goes out a second time on a new connection when its response is late. What
//! the outcome of a call says about the other open connections is decided by [`ConnectionVerdict`].

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::select_ok;
use http::Method;
use http::StatusCode;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::http::client::ClientError;
use crate::http::client::HttpClient;
use crate::http::client::collect;

const MIN_REPEAT_DELAY: Duration = Duration::from_millis(250);
/// Delay of the second request, in mean response times.
const REPEAT_DELAY_FACTOR: f64 = 3.0;
/// Weight of the newest response time in the mean.
const MEAN_WEIGHT: f64 = 0.25;

/// Bounds of a pool of connections and of the responses on them.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionBounds {
    /// Idle connections that are kept.
    pub max_idle: usize,
    /// Time after which opening a connection is given up.
    pub connect_timeout: Duration,
    /// Longest time from a response's head to its end.
    pub body_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_time: Duration,
}

/// How often a call may be sent, and what its duration means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A second request has the same effect as one.
    Repeatable,
    /// A second request could take effect a second time.
    Once,
    /// The service delays the response until something happens there.
    Waiting,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The first request was answered.
    Answered,
    /// The first request was not answered, and the second one was, on a new connection.
    AnsweredByRepeat,
    /// No connection could be opened.
    NotConnected,
    /// The connection was closed before the response was complete.
    Broken,
    /// The response was not complete in time.
    Silent,
}

/// What the outcome of a call says about the other open connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionVerdict {
    /// They may be used.
    Keep,
    /// They may be dead: none is used again, and calls that wait for a response on them end.
    Discard,
}

impl ConnectionVerdict {
    /// Decides by the outcome of a call.
    pub fn new(kind: CallKind, outcome: CallOutcome) -> Self {
        match (outcome, kind) {
            (CallOutcome::Answered, _) => Self::Keep,
            // A service may close the connection of a call that waits at any time.
            (CallOutcome::Broken, CallKind::Waiting) => Self::Keep,
            (CallOutcome::AnsweredByRepeat | CallOutcome::NotConnected, _)
            | (CallOutcome::Broken | CallOutcome::Silent, _) => Self::Discard,
        }
    }
}

/// Delay after which a call without a response is sent again on a new connection: three times the mean
/// response time, so that a service that is slow gets no second request for each call.
#[derive(Clone, Copy, Debug, Default)]
pub struct RepeatDelay {
    mean: Option<Duration>,
}

impl RepeatDelay {
    /// Includes the response time of a call in the mean.
    pub fn record(&mut self, response_time: Duration) {
        let mean = match self.mean {
            None => response_time,
            Some(mean) => mean.mul_f64(1.0 - MEAN_WEIGHT) + response_time.mul_f64(MEAN_WEIGHT),
        };
        self.mean = Some(mean);
    }

    /// Returns the delay of the second request of a call with this time-out: at most half of it.
    pub fn get(&self, timeout: Duration) -> Duration {
        let delay = self.mean.unwrap_or_default().mul_f64(REPEAT_DELAY_FACTOR);
        delay.max(MIN_REPEAT_DELAY).min(timeout / 2)
    }
}

/// Call to a service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// How often it may be sent.
    pub kind: CallKind,
    /// Its method.
    pub method: Method,
    /// Its whole URL.
    pub url: String,
    /// Its body, as JSON.
    pub body: Bytes,
    /// Time from its start to the end of the response.
    pub timeout: Duration,
}

/// Complete response to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// Status of the response.
    pub status: StatusCode,
    /// Whole body of the response.
    pub body: Bytes,
    /// Whether it answers the second request, on a new connection.
    pub is_repeat: bool,
}

/// Why a call has no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No byte of the request was sent. Holds the cause.
    NotSent(String),
    /// The connection was closed after the request may have been received. Holds the cause.
    Broken(String),
    /// The response was not complete in time.
    Silent,
    /// The connections were discarded while the call waited at the service.
    Discarded,
}

impl From<ClientError> for CallError {
    fn from(err: ClientError) -> Self {
        match err {
            ClientError::NotSent(cause) => Self::NotSent(cause),
            ClientError::Broken(cause) => Self::Broken(cause),
        }
    }
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Broken(cause) => write!(f, "connection broke: {cause}"),
            Self::Silent => f.write_str("no answer in time"),
            Self::Discarded => f.write_str("another call found the open connections dead"),
        }
    }
}

type CallResult = Result<ServiceAnswer, CallError>;

/// Connections that were opened since the last time that all were discarded.
struct ConnectionSet {
    client: HttpClient,
    body_timeout: Duration,
    discarded: CancellationToken,
}

impl ConnectionSet {
    fn new(bounds: ConnectionBounds) -> Arc<Self> {
        let client =
            HttpClient::with_bounds(bounds.max_idle, bounds.connect_timeout, bounds.idle_time);
        Arc::new(Self {
            client,
            body_timeout: bounds.body_timeout,
            discarded: CancellationToken::new(),
        })
    }

    async fn send(&self, call: &ServiceCall) -> CallResult {
        let exchange = async {
            let response = self
                .client
                .call_streaming(call.method.clone(), &call.url, call.body.clone())
                .await?;
            let status = response.status();
            let body = tokio::time::timeout(self.body_timeout, collect(response.into_body()));
            let body = body.await.map_err(|_| CallError::Silent)??;
            Ok(ServiceAnswer {
                status,
                body,
                is_repeat: false,
            })
        };
        let answer = tokio::time::timeout(call.timeout, exchange).await;
        answer.unwrap_or(Err(CallError::Silent))
    }
}

/// Client of one service over a pool of connections.
pub struct ServiceConnections {
    bounds: ConnectionBounds,
    state: Mutex<ConnectionState>,
}

struct ConnectionState {
    current: Arc<ConnectionSet>,
    repeat_delay: RepeatDelay,
}

impl ServiceConnections {
    /// Returns a client without open connections.
    pub fn new(bounds: ConnectionBounds) -> Self {
        let state = ConnectionState {
            current: ConnectionSet::new(bounds),
            repeat_delay: RepeatDelay::default(),
        };
        Self {
            bounds,
            state: Mutex::new(state),
        }
    }

    /// Sends `call`; a repeatable one goes out a second time if it fails or is not answered soon.
    pub async fn call(&self, call: &ServiceCall) -> Result<ServiceAnswer, CallError> {
        let set = self.lock().current.clone();
        match call.kind {
            CallKind::Repeatable => self.call_repeatable(set, call).await,
            CallKind::Once => {
                let answer = self.send_timed(&set, call).await;
                self.conclude(&set, call.kind, outcome(&answer), None);
                answer
            }
            CallKind::Waiting => {
                let answer = tokio::select! {
                    answer = set.send(call) => answer,
                    () = set.discarded.cancelled() => return Err(CallError::Discarded),
                };
                self.conclude(&set, call.kind, outcome(&answer), None);
                answer
            }
        }
    }

    /// Discards all open connections: none is used again, and calls that wait at the service end.
    pub fn discard(&self) {
        let set = self.lock().current.clone();
        self.replace(&set, ConnectionSet::new(self.bounds));
    }

    async fn call_repeatable(&self, set: Arc<ConnectionSet>, call: &ServiceCall) -> CallResult {
        let delay = self.lock().repeat_delay.get(call.timeout);
        let first_failed = Notify::new();
        let first = async {
            let answer = self.send_timed(&set, call).await;
            if answer.is_err() {
                first_failed.notify_one();
            }
            Ok((answer?, None))
        };
        let second = async {
            let _ = tokio::time::timeout(delay, first_failed.notified()).await;
            let fresh = ConnectionSet::new(self.bounds);
            let answer = self.send_timed(&fresh, call).await?;
            Ok((answer, Some(fresh)))
        };
        let either = select_ok([first.boxed(), second.boxed()]);
        let either = tokio::time::timeout(call.timeout, either).await;
        match either.unwrap_or(Err(CallError::Silent)) {
            Ok(((answer, None), _)) => Ok(answer),
            Ok(((answer, fresh), _)) => {
                self.conclude(&set, call.kind, CallOutcome::AnsweredByRepeat, fresh);
                Ok(ServiceAnswer {
                    is_repeat: true,
                    ..answer
                })
            }
            Err(err) => {
                self.conclude(&set, call.kind, failure(&err), None);
                Err(err)
            }
        }
    }

    async fn send_timed(&self, set: &ConnectionSet, call: &ServiceCall) -> CallResult {
        let started = Instant::now();
        let answer = set.send(call).await;
        if answer.is_ok() {
            self.lock().repeat_delay.record(started.elapsed());
        }
        answer
    }

    /// Applies the verdict on the connections of `set`; `fresh` are connections that replace them.
    fn conclude(
        &self,
        set: &Arc<ConnectionSet>,
        kind: CallKind,
        outcome: CallOutcome,
        fresh: Option<Arc<ConnectionSet>>,
    ) {
        match ConnectionVerdict::new(kind, outcome) {
            ConnectionVerdict::Keep => {}
            ConnectionVerdict::Discard => {
                let fresh = fresh.unwrap_or_else(|| ConnectionSet::new(self.bounds));
                self.replace(set, fresh);
            }
        }
    }

    /// Replaces `set`, unless another call has done so already.
    fn replace(&self, set: &Arc<ConnectionSet>, fresh: Arc<ConnectionSet>) {
        let mut state = self.lock();
        if Arc::ptr_eq(&state.current, set) {
            state.current = fresh;
            set.discarded.cancel();
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().expect("service connections lock")
    }
}

fn outcome(answer: &CallResult) -> CallOutcome {
    match answer {
        Ok(_) => CallOutcome::Answered,
        Err(err) => failure(err),
    }
}

fn failure(err: &CallError) -> CallOutcome {
    match err {
        CallError::NotSent(_) => CallOutcome::NotConnected,
        CallError::Broken(_) => CallOutcome::Broken,
        CallError::Silent | CallError::Discarded => CallOutcome::Silent,
    }
}
