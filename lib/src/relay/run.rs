//! Dispatch of one request: attempts at upstreams in turn, until its answer is complete or it is
//! given up.
//!
//! An attempt sends the request once. It counts as a run if the upstream may have executed the
//! request, and not if the upstream was unreachable or states that it rejected the request.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use http::HeaderMap;
use http::StatusCode;
use tokio::time::Instant;

use crate::balancer::BalancerKey;
use crate::balancer::SlotPermit;
use crate::balancer::SlotRequest;
use crate::balancer::UpstreamFault;
use crate::event_log::EventLog;
use crate::events::LogEvent;
use crate::ids::UpstreamId;
use crate::relay::desk::RequestRelay;
use crate::relay::event::EventSplitter;
use crate::relay::event::StreamEvent;
use crate::relay::patience::wait_until;
use crate::relay::request::RelayRequest;
use crate::relay::wire::ExecutionReport;
use crate::relay::wire::SendError;
use crate::relay::wire::SendOptions;
use crate::relay::wire::UpstreamAnswer;
use crate::relay::wire::UpstreamBody;

/// Largest whole answer that is buffered.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;
/// Bytes that a stream may send without a new event that carries data. A stream that sends more
/// counts as broken, so that an event that never ends can't fill the memory.
const MAX_IDLE_BYTES: usize = 256 * 1024;
/// Shortest interval between two records that an upstream makes progress on a stream, so that
/// fast streams don't lock the table of upstreams at each event.
const LIFE_INTERVAL: Duration = Duration::from_millis(50);
/// Step by which a growing whole answer reserves memory.
const ANSWER_STEP_BYTES: usize = 64 * 1024;
/// Attempts without a run after which a request is given up.
const MAX_UNRUN_SENDINGS: u32 = 6;

/// How often a request may run, and how long it waits for progress of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Whether the request may be sent again after an upstream may have run it.
    pub is_retryable: bool,
    /// Largest number of runs, including the first.
    pub max_runs: u32,
    /// Longest wait for the head and for the first event at an upstream that has a free slot.
    pub first_wait: Duration,
    /// Longest wait for the head and for the first event at an upstream whose slots are all
    /// taken, where the request queues first.
    pub queued_wait: Duration,
    /// Longest gap between two events.
    pub gap_wait: Duration,
    /// Whether these waits also end the last permitted run. If false, that run lasts until the
    /// request's deadline, as there is nothing left to try.
    pub ends_silent: bool,
}

/// Why a request has no complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayFailure {
    /// No upstream accepted the request, so it has not run.
    NotRun,
    /// An upstream may have run the request; its answer is lost and no further run is permitted.
    Lost,
    /// The deadline passed; an upstream may have run the request.
    TimedOut,
}

/// Progress of a dispatch, for the log line at its end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DispatchState {
    /// Attempts so far whose upstream may have run the request.
    pub runs: u32,
    /// Upstream of the latest attempt; `None` before the first attempt.
    pub upstream: Option<UpstreamId>,
    /// Time since the request was sent there, or since that upstream last sent bytes of a stream.
    pub quiet: Duration,
}

/// Answer of an upstream at the time when its head can be passed on to the caller.
#[derive(Debug)]
pub enum OpenedAnswer {
    /// A complete answer, also one with an error status.
    Whole {
        /// HTTP status.
        status: StatusCode,
        /// Headers that are passed on to the caller.
        headers: HeaderMap,
        /// Complete body.
        body: Bytes,
    },
    /// A stream of server-sent events, to be read by [`RequestDispatch::next_step`].
    Stream {
        /// HTTP status.
        status: StatusCode,
        /// Headers that are passed on to the caller.
        headers: HeaderMap,
    },
}

/// Result of reading on in a stream.
#[derive(Debug, PartialEq, Eq)]
pub enum StreamStep {
    /// The next event.
    Event(StreamEvent),
    /// The stream is complete; there are no more events.
    End,
    /// The stream broke and can't be resumed.
    Failed(RelayFailure),
}

struct OpenStream {
    hold: SlotPermit,
    body: UpstreamBody,
    splitter: EventSplitter,
    sent: Instant,
    /// When the last new event with data arrived; at first, when the stream was opened.
    advanced: Instant,
    /// Bytes received since the last new event with data.
    idle_bytes: usize,
    /// When progress of the upstream was last recorded.
    life_noted: Option<Instant>,
    events: u64,
}

enum ReadOutcome {
    Event(StreamEvent),
    End,
    Fault(UpstreamFault, String),
    Deadline,
}

enum Sending {
    Answer(Box<(SlotPermit, UpstreamAnswer)>, Instant),
    Again,
    Failed(RelayFailure),
}

/// Dispatch of one request, with retries and stream resumption. Dropping it cancels the work of
/// its upstream.
pub struct RequestDispatch {
    relay: RequestRelay,
    request: Arc<RelayRequest>,
    policy: RetryPolicy,
    sendings: u32,
    runs: u32,
    last_id: Option<u64>,
    avoid: Vec<BalancerKey>,
    placed: Option<SlotPermit>,
    /// Upstream of the latest attempt.
    upstream: Option<UpstreamId>,
    heard: Instant,
    open: Option<OpenStream>,
    peeked: Option<StreamStep>,
}

impl RequestDispatch {
    /// Returns a dispatch of `request` by `relay` that has not sent anything.
    pub fn new(relay: RequestRelay, request: Arc<RelayRequest>, policy: RetryPolicy) -> Self {
        let last_id = request.resume_after;
        Self {
            relay,
            request,
            policy,
            sendings: 0,
            runs: 0,
            last_id,
            avoid: Vec::new(),
            placed: None,
            upstream: None,
            heard: Instant::now(),
            open: None,
            peeked: None,
        }
    }

    /// Makes the first attempt at the upstream whose slot `hold` reserves.
    pub fn with_slot(mut self, hold: SlotPermit) -> Self {
        self.placed = Some(hold);
        self
    }

    /// Progress of the dispatch so far.
    pub fn state(&self) -> DispatchState {
        DispatchState {
            runs: self.runs,
            upstream: self.upstream.clone(),
            quiet: self.heard.elapsed(),
        }
    }

    /// Sends the request, repeatedly if need be, until there is a whole answer or the first event
    /// of a stream.
    ///
    /// Errors: [`RelayFailure::NotRun`] if no upstream accepted the request,
    /// [`RelayFailure::Lost`] if it may have run and may not be repeated, and
    /// [`RelayFailure::TimedOut`] at the request's deadline.
    pub async fn start(&mut self) -> Result<OpenedAnswer, RelayFailure> {
        loop {
            let (hold, answer, sent) = match self.send().await {
                Sending::Answer(answer, sent) => (answer.0, answer.1, sent),
                Sending::Again => continue,
                Sending::Failed(failure) => return Err(failure),
            };
            let status = answer.status;
            let headers = answer.headers.clone();
            if status.is_success() && answer.is_stream {
                self.open = Some(open_stream(hold, answer.body, sent));
                match self.read().await {
                    ReadOutcome::Event(event) => self.peeked = Some(StreamStep::Event(event)),
                    ReadOutcome::End => self.peeked = Some(StreamStep::End),
                    ReadOutcome::Deadline => return Err(RelayFailure::TimedOut),
                    ReadOutcome::Fault(fault, cause) => {
                        self.drop_stream(fault, &cause);
                        if !self.may_run_again() {
                            return Err(RelayFailure::Lost);
                        }
                        continue;
                    }
                }
                return Ok(OpenedAnswer::Stream { status, headers });
            }
            match self.collect(hold, answer, sent).await? {
                Some(body) => {
                    return Ok(OpenedAnswer::Whole {
                        status,
                        headers,
                        body,
                    });
                }
                None => continue,
            }
        }
    }

    /// The next event of the stream that [`Self::start`] has opened. Resumes a broken stream at
    /// another upstream after the last event, if the policy permits another run.
    pub async fn next_step(&mut self) -> StreamStep {
        if let Some(step) = self.peeked.take() {
            return step;
        }
        loop {
            if self.open.is_none()
                && let Err(failure) = self.reopen().await
            {
                return StreamStep::Failed(failure);
            }
            match self.read().await {
                ReadOutcome::Event(event) => return StreamStep::Event(event),
                ReadOutcome::End => return StreamStep::End,
                ReadOutcome::Deadline => return StreamStep::Failed(RelayFailure::TimedOut),
                ReadOutcome::Fault(fault, cause) => {
                    self.drop_stream(fault, &cause);
                    if !self.may_run_again() {
                        return StreamStep::Failed(RelayFailure::Lost);
                    }
                }
            }
        }
    }

    /// Resumes the stream after the last event that was received.
    async fn reopen(&mut self) -> Result<(), RelayFailure> {
        loop {
            match self.send().await {
                Sending::Answer(answer, sent) => {
                    let (hold, answer) = *answer;
                    if answer.status.is_success() && answer.is_stream {
                        self.open = Some(open_stream(hold, answer.body, sent));
                        return Ok(());
                    }
                    let cause = answer.status.as_str();
                    self.note_fault(&hold, sent, UpstreamFault::Failed, cause, true);
                    if !self.may_run_again() {
                        return Err(RelayFailure::Lost);
                    }
                }
                Sending::Again => {}
                // An upstream already sent events, so the request has run.
                Sending::Failed(RelayFailure::NotRun) => return Err(RelayFailure::Lost),
                Sending::Failed(failure) => return Err(failure),
            }
        }
    }

    fn may_run_again(&self) -> bool {
        self.policy.is_retryable && self.runs < self.policy.max_runs
    }

    async fn send(&mut self) -> Sending {
        let now = Instant::now();
        let budget = self.request.deadline.saturating_duration_since(now);
        if budget.is_zero() {
            return Sending::Failed(self.late_failure());
        }
        if self.sendings >= self.runs + MAX_UNRUN_SENDINGS {
            return Sending::Failed(self.unplaced_failure());
        }
        let request = self.request.clone();
        let ask = SlotRequest {
            service: &request.service,
            class: request.class,
            avoid: &self.avoid,
            may_probe: self.policy.is_retryable,
        };
        let hold = self.placed.take().or_else(|| self.relay.places().take(ask));
        let Some(hold) = hold else {
            return Sending::Failed(self.unplaced_failure());
        };
        self.sendings += 1;
        self.avoid.push(hold.pick.key);
        self.relay.log().write(LogEvent::RequestSent {
            request: request.id.to_string(),
            upstream: hold.pick.id.to_string(),
            sending: self.sendings,
            ahead: hold.pick.ahead,
            places: hold.pick.slots,
            resume_after: self.last_id,
            next_upstream: hold.pick.next.as_ref().map(|next| next.id.to_string()),
            next_ahead: hold.pick.next.as_ref().map(|next| next.ahead),
            report_ms: hold.pick.report_age.map(|age| age.as_millis() as u64),
            version: request.version,
        });
        self.upstream = Some(hold.pick.id.clone());
        self.heard = now;
        let order = SendOptions {
            budget,
            resume_after: self.last_id,
            reuse: self.policy.is_retryable && self.runs == 0,
        };
        let wait = self.head_wait(&hold).min(budget);
        let answer = self.relay.wire().send(&hold.pick, &request, order);
        match wait_until(now + wait, answer).await {
            Ok(Ok(answer)) => self.judge_answer(hold, answer, now),
            Ok(Err(SendError::NotSent(cause))) => {
                let fault = UpstreamFault::Unreachable;
                self.note_fault(&hold, now, fault, &cause, false);
                Sending::Again
            }
            Ok(Err(SendError::Broken(cause))) => {
                self.lost(&hold, now, UpstreamFault::Broken, &cause)
            }
            Err(_) => {
                let over = self.request.deadline <= Instant::now();
                let fault = hold.silence(now);
                let outcome = self.lost(&hold, now, fault, "no answer in time");
                if over {
                    return Sending::Failed(RelayFailure::TimedOut);
                }
                outcome
            }
        }
    }

    /// Decides whether the head of an answer is usable; if not, whether the request may be retried.
    fn judge_answer(&mut self, hold: SlotPermit, answer: UpstreamAnswer, sent: Instant) -> Sending {
        if answer.is_leaving && hold.leave() {
            self.relay.log().write(LogEvent::UpstreamLeaves {
                upstream: hold.pick.id.to_string(),
                request: self.request.id.to_string(),
            });
        }
        let unrun = match answer.executed {
            ExecutionReport::NoFull => Some(UpstreamFault::Full),
            ExecutionReport::NoMoved => Some(UpstreamFault::Moved),
            ExecutionReport::NoRejected => Some(UpstreamFault::Failed),
            ExecutionReport::Maybe => None,
        };
        if let Some(fault) = unrun {
            self.note_fault(&hold, sent, fault, answer.status.as_str(), false);
            return Sending::Again;
        }
        if !answer.is_signed {
            return self.lost(
                &hold,
                sent,
                UpstreamFault::Broken,
                "the answer is not signed",
            );
        }
        self.runs += 1;
        if answer.status.is_server_error() && self.may_run_again() {
            let cause = answer.status.as_str();
            self.note_fault(&hold, sent, UpstreamFault::Failed, cause, true);
            return Sending::Again;
        }
        Sending::Answer(Box::new((hold, answer)), sent)
    }

    /// Counts an attempt without a usable answer as a run, as the upstream may have run the
    /// request; decides whether it may be retried.
    fn lost(
        &mut self,
        hold: &SlotPermit,
        sent: Instant,
        fault: UpstreamFault,
        cause: &str,
    ) -> Sending {
        self.runs += 1;
        self.note_fault(hold, sent, fault, cause, true);
        match self.may_run_again() {
            true => Sending::Again,
            false => Sending::Failed(RelayFailure::Lost),
        }
    }

    fn late_failure(&self) -> RelayFailure {
        match self.runs {
            0 => RelayFailure::NotRun,
            _ => RelayFailure::TimedOut,
        }
    }

    fn unplaced_failure(&self) -> RelayFailure {
        match self.runs {
            0 => RelayFailure::NotRun,
            _ => RelayFailure::Lost,
        }
    }

    /// Longest wait for an answer's head; unbounded if no further run would be permitted, as giving
    /// up this attempt would then only lose its answer.
    fn head_wait(&self, hold: &SlotPermit) -> Duration {
        let has_other = self.policy.is_retryable && self.runs + 1 < self.policy.max_runs;
        if !has_other && !self.policy.ends_silent {
            return Duration::MAX;
        }
        match hold.pick.ahead < hold.pick.slots {
            true => self.policy.first_wait,
            false => self.policy.queued_wait,
        }
    }

    /// Reads the open stream up to its next new event, its end, or a fault. Events that were
    /// already received are skipped, as an upstream may repeat them when it resumes.
    async fn read(&mut self) -> ReadOutcome {
        let is_watched = self.may_run_again() || self.policy.ends_silent;
        let deadline = self.request.deadline;
        let policy = self.policy;
        let Some(open) = self.open.as_mut() else {
            return ReadOutcome::Fault(UpstreamFault::Broken, "no stream is open".to_owned());
        };
        loop {
            while let Some(event) = open.splitter.next_event() {
                match sequence(self.last_id, event.id) {
                    Sequence::Next => {
                        self.last_id = event.id.or(self.last_id);
                        if event.carries_data() {
                            open.advance(self.relay.log());
                        }
                        return ReadOutcome::Event(event);
                    }
                    Sequence::Repeated => {}
                    Sequence::Gap => {
                        let cause = format!("event {:?} after {:?}", event.id, self.last_id);
                        return ReadOutcome::Fault(UpstreamFault::Broken, cause);
                    }
                }
            }
            if open.idle_bytes > MAX_IDLE_BYTES {
                let cause = "too many bytes without an event that goes on".to_owned();
                return ReadOutcome::Fault(UpstreamFault::Broken, cause);
            }
            let wait = match (open.events, open.hold.pick.ahead < open.hold.pick.slots) {
                (0, true) => policy.first_wait,
                (0, false) => policy.queued_wait,
                _ => policy.gap_wait,
            };
            let silent_at = if is_watched {
                open.advanced + wait
            } else {
                deadline
            };
            let until = silent_at.min(deadline);
            let chunk = match wait_until(until, open.body.next()).await {
                Ok(chunk) => chunk,
                Err(_) if Instant::now() >= deadline => return ReadOutcome::Deadline,
                Err(_) => {
                    let cause = "no event in time".to_owned();
                    return ReadOutcome::Fault(UpstreamFault::Silent, cause);
                }
            };
            self.heard = Instant::now();
            match chunk {
                Some(Ok(bytes)) => {
                    open.idle_bytes += bytes.len();
                    open.splitter.push(&bytes);
                }
                Some(Err(cause)) => return ReadOutcome::Fault(UpstreamFault::Broken, cause),
                None if open.splitter.has_partial_event() => {
                    let cause = "the stream ended within an event".to_owned();
                    return ReadOutcome::Fault(UpstreamFault::Broken, cause);
                }
                None => {
                    self.open = None;
                    return ReadOutcome::End;
                }
            }
        }
    }

    /// Reads a whole answer; `None` if it broke off and the request may be sent again.
    async fn collect(
        &mut self,
        hold: SlotPermit,
        answer: UpstreamAnswer,
        sent: Instant,
    ) -> Result<Option<Bytes>, RelayFailure> {
        let mut body = answer.body;
        let mut whole = BytesMut::new();
        let mut held = Vec::new();
        let room = self.relay.answers();
        let read = async {
            while let Some(part) = body.next().await {
                whole.extend_from_slice(&part?);
                if whole.len() > MAX_ANSWER_BYTES {
                    return Err("the answer is too large".to_owned());
                }
                while held.len() * ANSWER_STEP_BYTES < whole.len() {
                    let hold = room.take(ANSWER_STEP_BYTES);
                    held.push(hold.ok_or("there is no room for the answer")?);
                }
            }
            Ok(())
        };
        match wait_until(self.request.deadline, read).await {
            Ok(Ok(())) => {
                if !answer.status.is_server_error() {
                    note_success(self.relay.log(), &hold);
                }
                Ok(Some(whole.freeze()))
            }
            Ok(Err(cause)) => {
                self.note_fault(&hold, sent, UpstreamFault::Broken, &cause, true);
                match self.may_run_again() {
                    true => Ok(None),
                    false => Err(RelayFailure::Lost),
                }
            }
            Err(_) => Err(RelayFailure::TimedOut),
        }
    }

    fn drop_stream(&mut self, fault: UpstreamFault, cause: &str) {
        if let Some(open) = self.open.take() {
            let fault = match fault {
                UpstreamFault::Silent => open.hold.silence(open.advanced),
                fault => fault,
            };
            self.note_fault(&open.hold, open.sent, fault, cause, true);
        }
    }

    /// Logs an attempt without a usable answer and records the fault for the upstream's health,
    /// which may eject the upstream.
    fn note_fault(
        &self,
        hold: &SlotPermit,
        sent: Instant,
        fault: UpstreamFault,
        cause: &str,
        ran: bool,
    ) {
        self.relay.log().write(LogEvent::SendingFailed {
            request: self.request.id.to_string(),
            upstream: hold.pick.id.to_string(),
            fault: fault.to_string(),
            cause: cause.to_owned(),
            ran,
            after_ms: sent.elapsed().as_millis() as u64,
        });
        if let Some(pause) = hold.fault(fault) {
            self.relay.log().write(LogEvent::UpstreamEjected {
                upstream: hold.pick.id.to_string(),
                fault: fault.to_string(),
                pause_ms: pause.as_millis() as u64,
            });
        }
    }
}

/// Records that the upstream of `hold` served a request; logs it if this ends its ejection.
fn note_success(log: &EventLog, hold: &SlotPermit) {
    if let Some(ejected) = hold.success() {
        log.write(LogEvent::UpstreamReturned {
            upstream: hold.pick.id.to_string(),
            ejected_ms: ejected.as_millis() as u64,
        });
    }
}

impl OpenStream {
    /// Records a new event with data.
    fn advance(&mut self, log: &EventLog) {
        self.events += 1;
        if self.events == 1 {
            note_success(log, &self.hold);
        }
        self.advanced = Instant::now();
        self.idle_bytes = self.splitter.pending();
        let is_due = |noted: Instant| self.advanced - noted >= LIFE_INTERVAL;
        if self.life_noted.is_none_or(is_due) {
            self.life_noted = Some(self.advanced);
            self.hold.note_progress();
        }
    }
}

fn open_stream(hold: SlotPermit, body: UpstreamBody, sent: Instant) -> OpenStream {
    OpenStream {
        hold,
        body,
        splitter: EventSplitter::default(),
        sent,
        advanced: Instant::now(),
        idle_bytes: 0,
        life_noted: None,
        events: 0,
    }
}

enum Sequence {
    Next,
    Repeated,
    Gap,
}

/// Position of the event with `id` relative to the event with `last`. An event without an id
/// follows any other.
fn sequence(last: Option<u64>, id: Option<u64>) -> Sequence {
    match (last, id) {
        (Some(last), Some(id)) if id <= last => Sequence::Repeated,
        (Some(last), Some(id)) if id > last + 1 => Sequence::Gap,
        _ => Sequence::Next,
    }
}
