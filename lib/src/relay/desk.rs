//! Entry point of the relay: sheds load, dispatches a request and returns or streams its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use futures_util::stream::BoxStream;
use futures_util::stream::StreamExt;
use http::HeaderMap;
use http::StatusCode;
use tokio::time::Instant;

use crate::balancer::LoadBalancer;
use crate::event_log::EventLog;
use crate::events::LogEvent;
use crate::memory_budget::MemoryBudget;
use crate::relay::admission::ServiceLoad;
use crate::relay::admission::ShedDecision;
use crate::relay::admission::judge;
use crate::relay::request::RelayRequest;
use crate::relay::run::OpenedAnswer;
use crate::relay::run::RelayFailure;
use crate::relay::run::RequestDispatch;
use crate::relay::run::RetryPolicy;
use crate::relay::run::StreamStep;
use crate::relay::wire::UpstreamTransport;
use crate::routes::Route;
use crate::routes::RouteKind;

/// Lower bound of the wait for a stream's first event before another upstream is tried.
const LEAST_FIRST_WAIT: Duration = Duration::from_millis(150);
/// Lower bound of the gap between two events before a stream is resumed at another upstream.
const LEAST_GAP_WAIT: Duration = Duration::from_millis(150);
const DEFAULT_GAP: Duration = Duration::from_millis(500);
/// Default memory for whole answers that are buffered at the same time.
const ANSWER_ROOM_BYTES: usize = 64 * 1024 * 1024;
/// Logged outcome of a request whose answer was delivered completely.
const SERVED: &str = "served";
/// Upper bound of the retry delay for a request that no upstream accepted.
const UNPLACED_RETURN: Duration = Duration::from_millis(500);

/// Outcome of a relayed request, for its caller.
pub enum RelayAnswer {
    /// The request is refused; no upstream has run it, and none will.
    Refused {
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// A complete answer of an upstream, also one with an error status.
    Whole {
        /// HTTP status of the upstream's answer.
        status: StatusCode,
        /// Headers of the upstream's answer that are for the caller.
        headers: HeaderMap,
        /// Complete body.
        body: Bytes,
    },
    /// A stream of server-sent events.
    Stream {
        /// HTTP status of the first upstream that sent an event.
        status: StatusCode,
        /// Headers of that upstream's answer that are for the caller.
        headers: HeaderMap,
        /// Raw events, possibly from several upstreams in turn. An error ends the stream before
        /// its last event.
        body: BoxStream<'static, Result<Bytes, std::io::Error>>,
    },
    /// The answer is lost and the request may not be repeated; an upstream may have run it.
    Lost,
    /// The deadline passed without an answer; an upstream may have run the request.
    TimedOut,
}

/// Relays opaque requests of one host to upstreams. Clones share its state.
#[derive(Clone)]
pub struct RequestRelay {
    wire: Arc<dyn UpstreamTransport>,
    places: LoadBalancer,
    log: EventLog,
    answers: MemoryBudget,
}

impl RequestRelay {
    /// Returns a relay that picks upstreams by `places`, sends requests through `wire` and logs
    /// its decisions to `log`.
    pub fn new(wire: Arc<dyn UpstreamTransport>, places: LoadBalancer, log: EventLog) -> Self {
        Self {
            wire,
            places,
            log,
            answers: MemoryBudget::new(ANSWER_ROOM_BYTES),
        }
    }

    /// Sets the memory in bytes that all buffered whole answers may take together.
    pub fn with_answer_memory(mut self, bytes: usize) -> Self {
        self.answers = MemoryBudget::new(bytes);
        self
    }

    /// The transport that sends requests to upstreams.
    pub fn wire(&self) -> &Arc<dyn UpstreamTransport> {
        &self.wire
    }

    /// The slots of all upstreams, from which requests are placed.
    pub fn places(&self) -> &LoadBalancer {
        &self.places
    }

    /// Memory budget that all buffered whole answers share.
    pub(crate) fn answers(&self) -> &MemoryBudget {
        &self.answers
    }

    /// The log that decisions about requests are written to.
    pub(crate) fn log(&self) -> &EventLog {
        &self.log
    }

    /// Relays `request` and returns its answer. A streamed answer makes progress, and is resumed
    /// at another upstream after a failure, only while its body is polled.
    pub async fn relay(&self, request: RelayRequest) -> RelayAnswer {
        let load = self.load(&request);
        let left = request.deadline.saturating_duration_since(Instant::now());
        if let ShedDecision::Refuse(back) = judge(load, request.route.objective, left) {
            self.log_refusal(&request, "no_free_place", load, back);
            return RelayAnswer::Refused { retry_after: back };
        }
        let request = Arc::new(request);
        let policy = online_policy(&request.route);
        let run = RequestDispatch::new(self.clone(), request.clone(), policy);
        let mut relayed = RelayedRun::new(run, self.log.clone(), request.clone());
        match relayed.run.start().await {
            Ok(OpenedAnswer::Whole {
                status,
                headers,
                body,
            }) => {
                relayed.note_first();
                relayed.finish(SERVED);
                RelayAnswer::Whole {
                    status,
                    headers,
                    body,
                }
            }
            Ok(OpenedAnswer::Stream { status, headers }) => {
                relayed.note_first();
                RelayAnswer::Stream {
                    status,
                    headers,
                    body: event_body(relayed),
                }
            }
            Err(RelayFailure::NotRun) => {
                let back = UNPLACED_RETURN.min(left / 3);
                relayed.finish("refused");
                self.log_refusal(&request, "no_upstream_took_it", load, back);
                RelayAnswer::Refused { retry_after: back }
            }
            Err(RelayFailure::Lost) => {
                relayed.finish("lost");
                RelayAnswer::Lost
            }
            Err(RelayFailure::TimedOut) => {
                relayed.finish("timed_out");
                RelayAnswer::TimedOut
            }
        }
    }

    fn load(&self, request: &RelayRequest) -> ServiceLoad {
        let book = self.places.book();
        let (places, online) = book.online_capacity(&request.service, Instant::now());
        ServiceLoad { places, online }
    }

    fn log_refusal(&self, request: &RelayRequest, reason: &str, load: ServiceLoad, back: Duration) {
        self.log.write(LogEvent::RequestRefused {
            request: request.id.to_string(),
            reason: reason.to_owned(),
            places: load.places,
            online: load.online,
            retry_ms: back.as_millis() as u64,
            version: request.version,
        });
    }
}

fn online_policy(route: &Route) -> RetryPolicy {
    let gap = route.gap_objective.unwrap_or(DEFAULT_GAP);
    let is_stream = matches!(route.kind, RouteKind::Stream { .. });
    RetryPolicy {
        is_retryable: route.kind.is_retryable(),
        max_runs: route.attempts.max(1),
        first_wait: match is_stream {
            true => (route.objective * 6 / 10).max(LEAST_FIRST_WAIT),
            // A whole answer arrives only after the upstream has done all of the work.
            false => route.timeout / 3,
        },
        queued_wait: route.objective.max(LEAST_FIRST_WAIT) * 4,
        gap_wait: (gap * 7 / 10).max(LEAST_GAP_WAIT),
        ends_silent: false,
    }
}

/// Body that reads the next event from the upstream when the caller polls for it.
fn event_body(relayed: RelayedRun) -> BoxStream<'static, Result<Bytes, std::io::Error>> {
    let events = stream::unfold(Some(relayed), |relayed| async move {
        let mut relayed = relayed?;
        match relayed.run.next_step().await {
            StreamStep::Event(event) => Some((Ok(event.raw), Some(relayed))),
            StreamStep::End => {
                relayed.finish(SERVED);
                None
            }
            StreamStep::Failed(failure) => {
                let outcome = match failure {
                    RelayFailure::TimedOut => "stream_timed_out",
                    RelayFailure::NotRun | RelayFailure::Lost => "stream_broken",
                };
                relayed.finish(outcome);
                Some((Err(std::io::Error::other(outcome)), None))
            }
        }
    });
    events.boxed()
}

/// The dispatch of one request; writes one log line when it ends, also if its caller disconnects.
struct RelayedRun {
    run: RequestDispatch,
    log: EventLog,
    request: Arc<RelayRequest>,
    first: Option<Instant>,
    written: bool,
}

impl RelayedRun {
    fn new(run: RequestDispatch, log: EventLog, request: Arc<RelayRequest>) -> Self {
        Self {
            run,
            log,
            request,
            first: None,
            written: false,
        }
    }

    fn note_first(&mut self) {
        self.first = Some(Instant::now());
    }

    fn finish(&mut self, outcome: &str) {
        self.written = true;
        let state = self.run.state();
        let unserved = (outcome != SERVED).then_some(state.upstream).flatten();
        let quiet_ms = unserved.is_some().then_some(state.quiet.as_millis() as u64);
        let received = self.request.received;
        let first = self
            .first
            .map(|first| (first - received).as_millis() as u64);
        self.log.write(LogEvent::RequestEnded {
            request: self.request.id.to_string(),
            outcome: outcome.to_owned(),
            runs: state.runs,
            first_ms: first,
            total_ms: received.elapsed().as_millis() as u64,
            upstream: unserved.map(|upstream| upstream.to_string()),
            quiet_ms,
        });
    }
}

impl Drop for RelayedRun {
    fn drop(&mut self) {
        if !self.written {
            self.finish("caller_left");
        }
    }
}
