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
use crate::balancer::UpstreamChoice;
use crate::balancer::UpstreamFault;
use crate::detour::DetourCall;
use crate::detour::DetourDecision;
use crate::detour::DetourInputs;
use crate::detour::DetourOutcome;
use crate::detour::DetourRefusal;
use crate::detour::RunCounter;
use crate::detour::UpstreamReach;
use crate::detour::decide_detour;
use crate::event_log::EventLog;
use crate::events::LogEvent;
use crate::fairness::RoomReason;
use crate::ids::SoftwareVersion;
use crate::ids::UpstreamId;
use crate::reach::DetourHost;
use crate::reach::ReachState;
use crate::reach::UnreachedCause;
use crate::relay::event::EventReader;
use crate::relay::event::StreamEvent;
use crate::relay::event::StreamFault;
use crate::relay::request::RelayRequest;
use crate::relay::request_relay::RequestRelay;
use crate::relay::room::RoomNote;
use crate::relay::stop_gate::StopGate;
use crate::relay::timeout::wait_until;
use crate::relay::transport::ExecutionReport;
use crate::relay::transport::IDENTIFICATION_TIME;
use crate::relay::transport::SendError;
use crate::relay::transport::SendOptions;
use crate::relay::transport::UpstreamAnswer;
use crate::relay::transport::UpstreamBody;
use crate::relay::witness::CrashWitness;
use crate::suspects::CrashRefusal;

/// Largest whole answer that is buffered.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;
/// Shortest interval between two records that an upstream makes progress on a stream, so that
/// fast streams don't lock the load balancer's state at each event.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(50);
/// Step by which a growing whole answer reserves memory.
const MEMORY_STEP_BYTES: usize = 64 * 1024;
/// Attempts without a run after which a request is given up.
const MAX_UNRUN_ATTEMPTS: u32 = 6;

/// Share of the latency objective for which a request waits until a limited upstream may get it.
const GRANT_WAIT_SHARE: f64 = 0.4;
/// The same wait for a request that goes on after a fault.
const RESUME_GRANT_WAIT: Duration = Duration::from_secs(1);

/// How often a request may run, and how long it waits for progress of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// Whether the request may be sent again after an upstream may have run it.
    pub is_retryable: bool,
    /// Largest number of runs, including the first.
    pub max_runs: u32,
    /// Longest wait for the head and for the first event at an upstream that has a free slot.
    pub first_event_wait: Duration,
    /// Longest wait for the head and for the first event at an upstream whose slots are all
    /// taken, where the request queues first.
    pub queued_event_wait: Duration,
    /// Longest gap between two events.
    pub max_event_gap: Duration,
    /// Whether these waits also end the last permitted run. If false, that run lasts until the
    /// request's deadline, as there is nothing left to try.
    pub bounds_last_run: bool,
}

/// Why a request has no complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RelayFailure {
    /// No upstream accepted the request, so it has not run.
    NotRun,
    /// The request has not run and is refused, as requests like it crash upstreams.
    Convicted(CrashRefusal),
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
    pub silent_for: Duration,
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

/// Where an answer comes from.
enum AnswerSource {
    /// An upstream of this host, with the slot that the request holds there.
    Upstream(SlotPermit),
    /// An upstream of another host.
    Detour(DetourLeg),
}

/// The part of a request that went through another host.
struct DetourLeg {
    host: String,
    /// Version of the software that began the stream there.
    software: Option<SoftwareVersion>,
    /// Number of upstreams there that may have run the request.
    counter: RunCounter,
    /// Number of runs before.
    runs_before: u32,
}

struct OpenStream {
    source: AnswerSource,
    body: UpstreamBody,
    reader: EventReader,
    sent: Instant,
    /// When the last event arrived; at first, when the stream was opened.
    progressed_at: Instant,
    /// When progress of the upstream was last recorded.
    progress_recorded: Option<Instant>,
    events: u64,
}

enum StreamRead {
    Event(StreamEvent),
    End,
    Fault(UpstreamFault, String),
    Deadline,
}

/// Head of an answer that is usable, with its body still to be read.
struct OpenedHead {
    status: StatusCode,
    headers: HeaderMap,
    is_stream: bool,
    body: UpstreamBody,
}

enum AttemptOutcome {
    Answer(Box<(AnswerSource, OpenedHead)>, Instant),
    Retry,
    Failed(RelayFailure),
}

/// Dispatch of one request, with retries and stream resumption. Dropping it cancels the work of
/// its upstream.
pub struct RequestDispatch {
    relay: RequestRelay,
    request: Arc<RelayRequest>,
    policy: RetryPolicy,
    attempts: u32,
    runs: u32,
    last_event_id: Option<u64>,
    /// Version of the software that began the answer; it goes on at no other.
    software: Option<SoftwareVersion>,
    excluded: Vec<BalancerKey>,
    reserved: Option<SlotPermit>,
    witness: CrashWitness,
    /// Upstream of the latest attempt.
    upstream: Option<UpstreamId>,
    heard_at: Instant,
    open: Option<OpenStream>,
    /// Whether the last event before the latest fault of a stream may be incomplete.
    is_last_event_doubtful: bool,
    /// Whether an upstream was passed by as its process could not be identified.
    has_met_unidentified: bool,
    first_step: Option<StreamStep>,
    /// Latest attempts in a row that reached no upstream.
    unreached: u32,
    /// Hosts that did not take the request since its latest progress.
    refusing_hosts: Vec<String>,
    /// The latest refusal of another host.
    refusal: Option<(DetourRefusal, Duration)>,
    /// Set if the request comes from another host: how many upstreams may have run it here.
    run_counter: Option<RunCounter>,
    /// Why the request has room; `None` where that is not decided by workspace.
    room: Option<RoomNote>,
}

impl RequestDispatch {
    /// Returns a dispatch of `request` by `relay` that has not sent anything.
    pub fn new(relay: RequestRelay, request: Arc<RelayRequest>, policy: RetryPolicy) -> Self {
        let last_event_id = request.resume_after;
        let software = request.software.clone();
        let witness = CrashWitness::new(relay.clone(), request.clone());
        Self {
            relay,
            request,
            policy,
            attempts: 0,
            runs: 0,
            last_event_id,
            software,
            excluded: Vec::new(),
            reserved: None,
            witness,
            upstream: None,
            heard_at: Instant::now(),
            open: None,
            is_last_event_doubtful: false,
            has_met_unidentified: false,
            first_step: None,
            unreached: 0,
            refusing_hosts: Vec::new(),
            refusal: None,
            run_counter: None,
            room: None,
        }
    }

    /// Dispatches a request of another host, which goes through no further one. `counter` is told how many
    /// upstreams may have run it.
    pub(crate) fn with_run_counter(mut self, counter: RunCounter) -> Self {
        self.run_counter = Some(counter);
        self
    }

    /// Records why the request has room.
    pub(crate) fn set_room(&mut self, note: RoomNote) {
        self.room = Some(note);
    }

    /// Makes the first attempt at the upstream whose slot `permit` reserves.
    pub fn with_slot(mut self, permit: SlotPermit) -> Self {
        self.reserved = Some(permit);
        self
    }

    /// Version of the software that began the answer; `None` before its first event.
    pub fn software(&self) -> Option<&SoftwareVersion> {
        self.software.as_ref()
    }

    /// The relay that the request is dispatched by.
    pub(crate) fn relay(&self) -> &RequestRelay {
        &self.relay
    }

    /// Decides which requests are taken while the host shuts down, from the times of earlier ones.
    pub(crate) fn stop_gate(&self) -> &StopGate {
        self.relay.stop_gate()
    }

    /// Whether the last event may have been cut off and completed by bytes that are no event, so that it
    /// is better requested again. Holds while the stream is open, and after it has failed.
    pub(crate) fn is_last_event_doubtful(&self) -> bool {
        match &self.open {
            Some(open) => open.reader.is_last_event_doubtful(),
            None => self.is_last_event_doubtful,
        }
    }

    /// Whether an upstream was passed by as its process could not be identified, so that the answer may be
    /// able to begin anew where it can't go on.
    pub(crate) fn has_met_unidentified(&self) -> bool {
        self.has_met_unidentified
    }

    /// The latest refusal of another host that the request was offered to, and the delay after which that
    /// host may take it.
    pub(crate) fn refusal(&self) -> Option<(DetourRefusal, Duration)> {
        self.refusal
    }

    /// Whether the request has been sent, so that an upstream may have run it.
    pub(crate) fn has_been_sent(&self) -> bool {
        self.attempts > 0
    }

    /// Progress of the dispatch so far.
    pub fn state(&self) -> DispatchState {
        DispatchState {
            runs: self.runs,
            upstream: self.upstream.clone(),
            silent_for: self.heard_at.elapsed(),
        }
    }

    /// Sends the request, repeatedly if need be, until there is a whole answer or the first event
    /// of a stream.
    ///
    /// Errors: [`RelayFailure::NotRun`] if no upstream accepted the request,
    /// [`RelayFailure::Convicted`] if it is refused without having run,
    /// [`RelayFailure::Lost`] if it may have run and may not be repeated, and
    /// [`RelayFailure::TimedOut`] at the request's deadline.
    pub async fn start(&mut self) -> Result<OpenedAnswer, RelayFailure> {
        loop {
            let (source, answer, sent) = match self.send().await {
                AttemptOutcome::Answer(answer, sent) => (answer.0, answer.1, sent),
                AttemptOutcome::Retry => continue,
                AttemptOutcome::Failed(failure) => return Err(failure),
            };
            let status = answer.status;
            let headers = answer.headers.clone();
            if status.is_success() && answer.is_stream {
                self.open_stream(source, answer.body, sent);
                match self.read_event().await {
                    StreamRead::Event(event) => {
                        self.witness.report_sound(sent);
                        self.first_step = Some(StreamStep::Event(event));
                    }
                    StreamRead::End => self.first_step = Some(StreamStep::End),
                    StreamRead::Deadline => return Err(RelayFailure::TimedOut),
                    StreamRead::Fault(fault, cause) => {
                        if let Some((choice, sent)) = self.abandon_stream(fault, &cause) {
                            self.witness.report_break(fault, &choice, sent).await;
                        }
                        if !self.may_run_again() {
                            return Err(RelayFailure::Lost);
                        }
                        continue;
                    }
                }
                return Ok(OpenedAnswer::Stream { status, headers });
            }
            match self.read_whole(source, status, answer.body, sent).await? {
                Some(body) => {
                    self.witness.report_sound(sent);
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
        if let Some(step) = self.first_step.take() {
            return step;
        }
        loop {
            if self.open.is_none()
                && let Err(failure) = self.reopen().await
            {
                return StreamStep::Failed(failure);
            }
            match self.read_event().await {
                StreamRead::Event(event) => return StreamStep::Event(event),
                StreamRead::End => return StreamStep::End,
                StreamRead::Deadline => return StreamStep::Failed(RelayFailure::TimedOut),
                StreamRead::Fault(fault, cause) => {
                    self.abandon_stream(fault, &cause);
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
                AttemptOutcome::Answer(answer, sent) => {
                    let (source, answer) = *answer;
                    if answer.status.is_success() && answer.is_stream {
                        self.open_stream(source, answer.body, sent);
                        return Ok(());
                    }
                    if let AnswerSource::Upstream(permit) = &source {
                        let cause = answer.status.as_str();
                        self.record_fault(permit, sent, UpstreamFault::Failed, cause, true);
                    }
                    if !self.may_run_again() {
                        return Err(RelayFailure::Lost);
                    }
                }
                AttemptOutcome::Retry => {}
                // An upstream already sent events, so the request has run.
                AttemptOutcome::Failed(RelayFailure::NotRun | RelayFailure::Convicted(_)) => {
                    return Err(RelayFailure::Lost);
                }
                AttemptOutcome::Failed(failure) => return Err(failure),
            }
        }
    }

    /// Whether an upstream has sent an event in this dispatch, so that the request does not crash those
    /// that run it.
    fn has_begun(&self) -> bool {
        self.last_event_id != self.request.resume_after
    }

    fn may_run_again(&self) -> bool {
        self.policy.is_retryable && self.runs < self.policy.max_runs
    }

    async fn send(&mut self) -> AttemptOutcome {
        if !self.has_begun()
            && let Err(refusal) = self.witness.await_admission().await
        {
            return AttemptOutcome::Failed(match self.runs {
                0 => RelayFailure::Convicted(refusal),
                _ => RelayFailure::Lost,
            });
        }
        let now = Instant::now();
        let budget = self.request.deadline.saturating_duration_since(now);
        if budget.is_zero() {
            return AttemptOutcome::Failed(self.deadline_failure());
        }
        if self.attempts >= self.runs + MAX_UNRUN_ATTEMPTS {
            return AttemptOutcome::Failed(self.unplaced_failure());
        }
        if let Some(counter) = &self.run_counter {
            counter.set(self.runs);
        }
        if let Some(outcome) = self.send_by_detour(false).await {
            return outcome;
        }
        let request = self.request.clone();
        let slot = SlotRequest {
            service: &request.service,
            class: request.class,
            excluded: &self.excluded,
            may_probe: self.policy.is_retryable,
            may_repeat: self.policy.is_retryable && self.runs + 1 < self.policy.max_runs,
            software: self.software.as_ref(),
            urgency: None,
            may_wait: false,
        };
        let permit = match self.reserved.take() {
            Some(permit) => Some(permit),
            None => {
                let limit = now + self.grant_wait().min(budget);
                self.relay.balancer().acquire_until(slot, limit).await
            }
        };
        let Some(permit) = permit else {
            return match self.send_by_detour(true).await {
                Some(outcome) => outcome,
                None => AttemptOutcome::Failed(self.unplaced_failure()),
            };
        };
        if let Some(counter) = &self.run_counter {
            counter.set(self.runs + 1);
        }
        let now = Instant::now();
        let budget = self.request.deadline.saturating_duration_since(now);
        self.attempts += 1;
        self.excluded.push(permit.choice.key);
        let (config_ms, view_ms) = self.relay.view_ages_ms();
        self.relay.log().write(LogEvent::RequestSent {
            request: request.id.to_string(),
            upstream: permit.choice.id.to_string(),
            sending: self.attempts,
            ahead: permit.choice.ahead,
            places: permit.choice.slots,
            resume_after: self.last_event_id,
            next_upstream: permit.choice.next.as_ref().map(|next| next.id.to_string()),
            next_ahead: permit.choice.next.as_ref().map(|next| next.ahead),
            report_ms: permit.choice.report_age.map(|age| age.as_millis() as u64),
            expected_ms: permit
                .choice
                .expected_ms
                .map(|expected| expected.round() as u64),
            pace: permit
                .choice
                .pace
                .map(|pace| (pace * 100.0).round() / 100.0),
            limit: permit.choice.limit.map(|known| known.limit.per_second()),
            limit_ms: permit
                .choice
                .limit
                .map(|known| known.age.as_millis() as u64),
            version: request.version,
            config_ms,
            view_ms,
            software: permit.choice.software.to_string(),
            started_ms: self.last_event_id.map(|_| permit.choice.incarnation.1),
            began_at: self.software.as_ref().map(ToString::to_string),
            room: self
                .room
                .filter(|note| note.reason != RoomReason::Room || !note.waited.is_zero())
                .map(|note| Box::new(note.record(&request))),
        });
        self.upstream = Some(permit.choice.id.clone());
        self.heard_at = now;
        let options = SendOptions {
            budget,
            resume_after: self.last_event_id,
            reuse: self.may_reuse_connection(&permit.choice.id, now),
        };
        let identification = self
            .last_event_id
            .map_or(Duration::ZERO, |_| IDENTIFICATION_TIME);
        let wait = self.head_wait(&permit).saturating_add(identification);
        let wait = wait.min(budget);
        let answer = self
            .relay
            .transport()
            .send(&permit.choice, &request, options);
        let may_give_up = self.may_give_up();
        let answer = async {
            tokio::select! {
                biased;
                answer = answer => Some(answer),
                () = self.relay.await_stranded(&request.service), if may_give_up => None,
            }
        };
        let outcome = match wait_until(now + wait, answer).await {
            Ok(None) => return self.record_given_up(&permit, now),
            Ok(Some(answer)) => Ok(answer),
            Err(elapsed) => Err(elapsed),
        };
        match outcome {
            Ok(Ok(answer)) => {
                self.record_reached(&permit.choice.id, !options.reuse);
                self.check_head(permit, answer, now)
            }
            Ok(Err(SendError::NotSent(cause))) => {
                let fault = UpstreamFault::Unreachable;
                let connect_fault = UnreachedCause::of_connect(now.elapsed());
                self.record_unreached(&permit.choice.id, connect_fault);
                if self.relay.reach().state(&self.request.service) == ReachState::Reached {
                    let crashes = self.relay.crashes();
                    crashes.report_unreachable(permit.choice.incarnation);
                }
                self.relay.check_ended(&permit.choice);
                self.record_fault(&permit, now, fault, &cause, false);
                self.unreached += 1;
                AttemptOutcome::Retry
            }
            Ok(Err(SendError::OtherProcess { started_ms })) => {
                self.record_reached(&permit.choice.id, true);
                self.record_unidentified(&permit, Some(started_ms), None);
                self.relay.note_ended(&permit.choice);
                AttemptOutcome::Retry
            }
            Ok(Err(SendError::Unidentified(cause))) => {
                self.has_met_unidentified = true;
                self.record_unidentified(&permit, None, Some(cause));
                AttemptOutcome::Retry
            }
            Ok(Err(SendError::Broken(cause))) => {
                let fault = UpstreamFault::Broken;
                self.record_unreached(&permit.choice.id, UnreachedCause::Closed);
                let outcome = self.record_lost(&permit, now, fault, &cause);
                let choice = release(permit);
                if !self.has_begun() {
                    self.witness.report_break(fault, &choice, now).await;
                }
                outcome
            }
            Err(_) => {
                let is_late = self.request.deadline <= Instant::now();
                let fault = permit.classify_silence(now);
                if fault == UpstreamFault::Silent {
                    self.record_unreached(&permit.choice.id, UnreachedCause::Silent);
                }
                let outcome = self.record_lost(&permit, now, fault, "no answer in time");
                if is_late {
                    return AttemptOutcome::Failed(RelayFailure::TimedOut);
                }
                outcome
            }
        }
    }

    /// Records that an answer came from `upstream`, `is_new` if on a connection opened for it.
    fn record_reached(&self, upstream: &UpstreamId, is_new: bool) {
        let (reach, now) = (self.relay.reach(), Instant::now());
        match is_new {
            true => reach.record_connected(upstream, &self.request.service, now),
            false => reach.record_heard(upstream, &self.request.service, now),
        }
    }

    fn record_unreached(&self, upstream: &UpstreamId, cause: UnreachedCause) {
        let reach = self.relay.reach();
        reach.record_unreached(upstream, &self.request.service, cause, Instant::now());
    }

    /// Decides whether the head of an answer is usable; if not, whether the request may be retried.
    fn check_head(
        &mut self,
        permit: SlotPermit,
        answer: UpstreamAnswer,
        sent: Instant,
    ) -> AttemptOutcome {
        let is_begun_stream = answer.status.is_success() && answer.is_stream;
        if !is_begun_stream {
            self.record_answered(&permit.choice.id);
        }
        permit.note_limit(answer.limit);
        if answer.is_leaving && permit.note_leaving() {
            self.relay.log().write(LogEvent::UpstreamLeaves {
                upstream: permit.choice.id.to_string(),
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
            self.record_fault(&permit, sent, fault, answer.status.as_str(), false);
            return AttemptOutcome::Retry;
        }
        if !answer.is_signed {
            return self.record_lost(
                &permit,
                sent,
                UpstreamFault::Broken,
                "the answer is not signed",
            );
        }
        self.runs += 1;
        if answer.status.is_server_error() && self.may_run_again() {
            let cause = answer.status.as_str();
            self.record_fault(&permit, sent, UpstreamFault::Failed, cause, true);
            return AttemptOutcome::Retry;
        }
        if answer.status.is_server_error() {
            permit.note_failure();
        }
        self.note_answered();
        let head = OpenedHead {
            status: answer.status,
            headers: answer.headers,
            is_stream: answer.is_stream,
            body: answer.body,
        };
        AttemptOutcome::Answer(Box::new((AnswerSource::Upstream(permit), head)), sent)
    }

    /// Whether an attempt without an answer may be given up for a detour.
    fn may_give_up(&self) -> bool {
        let may_repeat = self.policy.is_retryable && self.runs + 1 < self.policy.max_runs;
        may_repeat && self.run_counter.is_none() && self.relay.detours().has_link()
    }

    /// Gives up an attempt, as this host no longer reaches its upstreams. That is no fault of this one.
    fn record_given_up(&mut self, permit: &SlotPermit, sent: Instant) -> AttemptOutcome {
        self.runs += 1;
        self.relay.log().write(LogEvent::SendingFailed {
            request: self.request.id.to_string(),
            upstream: permit.choice.id.to_string(),
            fault: "stranded".to_owned(),
            cause: "given up for a detour".to_owned(),
            ran: true,
            after_ms: sent.elapsed().as_millis() as u64,
            last_event: self.last_event_id,
            digest: None,
        });
        AttemptOutcome::Retry
    }

    /// Sends the request through another host, if it is to go there rather than to an upstream of this one.
    /// `has_no_upstream` tells that this host has none for it.
    async fn send_by_detour(&mut self, has_no_upstream: bool) -> Option<AttemptOutcome> {
        if self.run_counter.is_some() || !self.relay.detours().has_link() {
            return None;
        }
        let reach = self.relay.reach_of(&self.request.service);
        let inputs = DetourInputs {
            reach,
            unreached: self.unreached,
            has_no_upstream,
            offers: self.refusing_hosts.len(),
        };
        let unplaced = AttemptOutcome::Failed(self.unplaced_failure());
        match decide_detour(inputs) {
            DetourDecision::Own => None,
            DetourDecision::Refuse => Some(unplaced),
            DetourDecision::Detour => {
                let service = &self.request.service;
                match self.relay.choose_detour(service, &self.refusing_hosts) {
                    Some(host) => Some(self.send_through(host, reach).await),
                    None if reach == UpstreamReach::Stranded => Some(unplaced),
                    None => None,
                }
            }
        }
    }

    async fn send_through(&mut self, host: DetourHost, reach: UpstreamReach) -> AttemptOutcome {
        self.attempts += 1;
        let sent = Instant::now();
        self.heard_at = sent;
        self.reserved = None;
        let (request, name) = (self.request.clone(), host.host);
        self.relay.log().write(LogEvent::DetourSent {
            request: request.id.to_string(),
            to: name.clone(),
            sending: self.attempts,
            reach: reach.to_string(),
            unreached: self.unreached,
            resume_after: self.last_event_id,
        });
        let max_runs = self.policy.max_runs.saturating_sub(self.runs).max(1);
        let software = self.software.clone();
        let call = DetourCall::new(&request, self.last_event_id, software, max_runs);
        let detours = self.relay.detours().clone();
        let sending = detours.send(&name, host.address, call);
        let outcome = match wait_until(request.deadline, sending).await {
            Ok(outcome) => outcome,
            Err(_) => DetourOutcome::TimedOut,
        };
        self.check_detour(name, outcome, sent)
    }

    fn check_detour(
        &mut self,
        host: String,
        outcome: DetourOutcome,
        sent: Instant,
    ) -> AttemptOutcome {
        self.heard_at = Instant::now();
        match outcome {
            DetourOutcome::Answer(answer) => {
                self.log_detour_end(&host, "answered", None, None, sent);
                self.note_answered();
                let leg = DetourLeg {
                    host,
                    software: answer.software,
                    counter: answer.runs,
                    runs_before: self.runs,
                };
                self.runs += 1;
                let head = OpenedHead {
                    status: answer.status,
                    headers: answer.headers,
                    is_stream: answer.is_stream,
                    body: answer.body,
                };
                AttemptOutcome::Answer(Box::new((AnswerSource::Detour(leg), head)), sent)
            }
            DetourOutcome::NotSent(cause) => {
                self.log_detour_end(&host, "not_sent", Some(0), Some(cause), sent);
                self.refusing_hosts.push(host);
                AttemptOutcome::Retry
            }
            DetourOutcome::Refused(reason, retry_after) => {
                self.log_detour_end(&host, &reason.to_string(), Some(0), None, sent);
                self.refusing_hosts.push(host);
                self.refusal = Some((reason, retry_after));
                match reason {
                    DetourRefusal::Convicted | DetourRefusal::NotResumable => {
                        AttemptOutcome::Failed(self.unplaced_failure())
                    }
                    DetourRefusal::Stranded
                    | DetourRefusal::Overloaded
                    | DetourRefusal::ShuttingDown
                    | DetourRefusal::Malformed => AttemptOutcome::Retry,
                }
            }
            DetourOutcome::Lost(runs) => {
                self.log_detour_end(&host, "lost", Some(runs), None, sent);
                self.runs += runs;
                self.refusing_hosts.push(host);
                match self.may_run_again() {
                    true => AttemptOutcome::Retry,
                    false => AttemptOutcome::Failed(RelayFailure::Lost),
                }
            }
            DetourOutcome::TimedOut => {
                self.log_detour_end(&host, "timed_out", None, None, sent);
                self.runs += 1;
                AttemptOutcome::Failed(RelayFailure::TimedOut)
            }
        }
    }

    fn log_detour_end(
        &self,
        host: &str,
        outcome: &str,
        runs: Option<u32>,
        cause: Option<String>,
        sent: Instant,
    ) {
        self.relay.log().write(LogEvent::DetourEnded {
            request: self.request.id.to_string(),
            to: host.to_owned(),
            outcome: outcome.to_owned(),
            runs,
            cause,
            after_ms: sent.elapsed().as_millis() as u64,
        });
    }

    /// Records that the answer of a request that went through another host broke off.
    fn note_detour_break(&mut self, leg: &DetourLeg, cause: &str, sent: Instant) {
        let runs = leg.counter.get().max(1);
        self.runs = leg.runs_before + runs;
        let cause = Some(cause.to_owned());
        self.log_detour_end(&leg.host, "lost", Some(runs), cause, sent);
    }

    /// Records that the request has an answer: earlier failures to reach an upstream or a host say nothing
    /// of its next attempts.
    fn note_answered(&mut self) {
        self.unreached = 0;
        self.refusing_hosts.clear();
        self.refusal = None;
    }

    /// Counts an attempt without a usable answer as a run, as the upstream may have run the
    /// request; decides whether it may be retried.
    fn record_lost(
        &mut self,
        permit: &SlotPermit,
        sent: Instant,
        fault: UpstreamFault,
        cause: &str,
    ) -> AttemptOutcome {
        self.runs += 1;
        self.record_fault(permit, sent, fault, cause, true);
        match self.may_run_again() {
            true => AttemptOutcome::Retry,
            false => AttemptOutcome::Failed(RelayFailure::Lost),
        }
    }

    /// Whether the next attempt may use a pooled connection to `upstream`: a copy of an earlier answer
    /// can't arrive there, and the request may be repeated if that connection closes.
    fn may_reuse_connection(&self, upstream: &UpstreamId, now: Instant) -> bool {
        let answered = self.relay.answered();
        let was_answered = || answered.contains(&self.request.id, upstream, now);
        self.policy.is_retryable && self.runs == 0 && !was_answered()
    }

    /// Records that `upstream` has sent all of an answer, so that its connection may be pooled.
    fn record_answered(&self, upstream: &UpstreamId) {
        let answered = self.relay.answered();
        answered.record(&self.request.id, upstream, Instant::now());
    }

    fn deadline_failure(&self) -> RelayFailure {
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

    /// Longest wait until a limited upstream may get the request. One that has begun has no other way
    /// to go on, and so waits longer.
    fn grant_wait(&self) -> Duration {
        match self.runs {
            0 => self.request.route.objective.mul_f64(GRANT_WAIT_SHARE),
            _ => RESUME_GRANT_WAIT,
        }
    }

    /// Longest wait for an answer's head; unbounded if no further run would be permitted, as giving
    /// up this attempt would then only lose its answer.
    fn head_wait(&self, permit: &SlotPermit) -> Duration {
        let has_other = self.policy.is_retryable && self.runs + 1 < self.policy.max_runs;
        if !has_other && !self.policy.bounds_last_run {
            return Duration::MAX;
        }
        match permit.choice.ahead < permit.choice.slots {
            true => self.policy.first_event_wait,
            false => self.policy.queued_event_wait,
        }
    }

    /// Reads the open stream up to its next event, its end, or a fault.
    async fn read_event(&mut self) -> StreamRead {
        let is_watched = self.may_run_again() || self.policy.bounds_last_run;
        let deadline = self.request.deadline;
        let policy = self.policy;
        let Some(open) = self.open.as_mut() else {
            return StreamRead::Fault(UpstreamFault::Broken, "no stream is open".to_owned());
        };
        loop {
            match open.reader.next_event() {
                Ok(Some(event)) => {
                    self.last_event_id = Some(event.id);
                    let version = open.source.software().filter(|_| open.events == 0);
                    if let Some(version) = version {
                        // The host that took the request from its caller records it.
                        if self.run_counter.is_none() {
                            record_origin(&self.relay, &self.request, version);
                        }
                        self.software.get_or_insert_with(|| version.clone());
                    }
                    if open.record_progress(self.relay.log())
                        && let AnswerSource::Upstream(permit) = &open.source
                    {
                        let upstream = &permit.choice.id;
                        let reach = self.relay.reach();
                        reach.record_heard(upstream, &self.request.service, Instant::now());
                    }
                    return StreamRead::Event(event);
                }
                Ok(None) => {}
                Err(fault) => return broken_read(&fault),
            }
            let wait = match (&open.source, open.events) {
                // The other host watches its upstream, and its silence ends the body.
                (AnswerSource::Detour(_), _) => None,
                _ if !is_watched => None,
                (AnswerSource::Upstream(permit), 0) => {
                    match permit.choice.ahead < permit.choice.slots {
                        true => Some(policy.first_event_wait),
                        false => Some(policy.queued_event_wait),
                    }
                }
                (AnswerSource::Upstream(_), _) => Some(policy.max_event_gap),
            };
            let silent_at = wait.map_or(deadline, |wait| open.progressed_at + wait);
            let until = silent_at.min(deadline);
            let chunk = match wait_until(until, open.body.next()).await {
                Ok(chunk) => chunk,
                Err(_) if Instant::now() >= deadline => return StreamRead::Deadline,
                Err(_) => {
                    let cause = "no event in time".to_owned();
                    return StreamRead::Fault(UpstreamFault::Silent, cause);
                }
            };
            self.heard_at = Instant::now();
            match chunk {
                Some(Ok(bytes)) => open.reader.push(&bytes),
                Some(Err(cause)) => return StreamRead::Fault(UpstreamFault::Broken, cause),
                None => match open.reader.finish() {
                    Ok(()) => {
                        let open = self.open.take();
                        if let Some(AnswerSource::Upstream(permit)) = open.map(|open| open.source) {
                            self.record_answered(&permit.choice.id);
                        }
                        return StreamRead::End;
                    }
                    Err(fault) => return broken_read(&fault),
                },
            }
        }
    }

    /// Reads a whole answer; `None` if it broke off and the request may be sent again.
    async fn read_whole(
        &mut self,
        source: AnswerSource,
        status: StatusCode,
        mut body: UpstreamBody,
        sent: Instant,
    ) -> Result<Option<Bytes>, RelayFailure> {
        let mut whole = BytesMut::new();
        let mut permits = Vec::new();
        let memory = self.relay.answer_memory();
        let read = async {
            while let Some(part) = body.next().await {
                whole.extend_from_slice(&part?);
                if whole.len() > MAX_ANSWER_BYTES {
                    return Err("the answer is too large".to_owned());
                }
                while permits.len() * MEMORY_STEP_BYTES < whole.len() {
                    let permit = memory.take(MEMORY_STEP_BYTES);
                    permits.push(permit.ok_or("there is no room for the answer")?);
                }
            }
            Ok(())
        };
        match wait_until(self.request.deadline, read).await {
            Ok(Ok(())) => {
                if !status.is_server_error()
                    && let AnswerSource::Upstream(permit) = &source
                {
                    record_success(self.relay.log(), permit);
                }
                Ok(Some(whole.freeze()))
            }
            Ok(Err(cause)) => {
                match source {
                    AnswerSource::Upstream(permit) => {
                        let fault = UpstreamFault::Broken;
                        self.record_fault(&permit, sent, fault, &cause, true);
                        let choice = release(permit);
                        self.witness.report_break(fault, &choice, sent).await;
                    }
                    AnswerSource::Detour(leg) => self.note_detour_break(&leg, &cause, sent),
                }
                match self.may_run_again() {
                    true => Ok(None),
                    false => Err(RelayFailure::Lost),
                }
            }
            Err(_) => Err(RelayFailure::TimedOut),
        }
    }

    /// Begins to read a stream that goes on after the last event.
    fn open_stream(&mut self, source: AnswerSource, body: UpstreamBody, sent: Instant) {
        self.open = Some(OpenStream {
            source,
            body,
            reader: EventReader::resuming_after(self.last_event_id),
            sent,
            progressed_at: Instant::now(),
            progress_recorded: None,
            events: 0,
        });
    }

    /// Drops the open stream for a fault. Returns its upstream, and when the request was sent there.
    fn abandon_stream(
        &mut self,
        fault: UpstreamFault,
        cause: &str,
    ) -> Option<(UpstreamChoice, Instant)> {
        let open = self.open.take()?;
        self.is_last_event_doubtful = open.reader.is_last_event_doubtful();
        let permit = match open.source {
            AnswerSource::Upstream(permit) => permit,
            AnswerSource::Detour(leg) => {
                self.note_detour_break(&leg, cause, open.sent);
                return None;
            }
        };
        let fault = match fault {
            UpstreamFault::Silent => permit.classify_silence(open.progressed_at),
            fault => fault,
        };
        let lost_by = match fault {
            UpstreamFault::Silent => Some(UnreachedCause::Silent),
            UpstreamFault::Broken if !open.reader.has_failed() => Some(UnreachedCause::Closed),
            _ => None,
        };
        if let Some(cause) = lost_by {
            self.record_unreached(&permit.choice.id, cause);
        }
        self.record_fault(&permit, open.sent, fault, cause, true);
        if fault == UpstreamFault::Broken && !open.reader.has_failed() {
            self.relay.check_ended(&permit.choice);
        }
        Some((release(permit), open.sent))
    }

    /// Logs that the answer does not go on at an upstream, as another process than that of its entry
    /// answers there, or an unknown one. The upstream is sound, so this is no fault of it.
    fn record_unidentified(
        &self,
        permit: &SlotPermit,
        started_ms: Option<u64>,
        cause: Option<String>,
    ) {
        self.relay.log().write(LogEvent::UpstreamIdentified {
            request: self.request.id.to_string(),
            upstream: permit.choice.id.to_string(),
            expected_ms: permit.choice.incarnation.1,
            started_ms,
            cause,
        });
    }

    /// Logs an attempt without a usable answer and records the fault for the upstream's health,
    /// which may eject the upstream.
    fn record_fault(
        &self,
        permit: &SlotPermit,
        sent: Instant,
        fault: UpstreamFault,
        cause: &str,
        ran: bool,
    ) {
        let broke_off = ran && fault == UpstreamFault::Broken;
        self.relay.log().write(LogEvent::SendingFailed {
            request: self.request.id.to_string(),
            upstream: permit.choice.id.to_string(),
            fault: fault.to_string(),
            cause: cause.to_owned(),
            ran,
            after_ms: sent.elapsed().as_millis() as u64,
            last_event: self.last_event_id,
            digest: broke_off.then(|| self.request.fingerprint().to_hex()),
        });
        if let Some(pause) = permit.note_fault(fault) {
            self.relay.log().write(LogEvent::UpstreamEjected {
                upstream: permit.choice.id.to_string(),
                fault: fault.to_string(),
                pause_ms: pause.as_millis() as u64,
            });
        }
    }
}

/// Frees the slot of `permit` and returns the upstream that it was at.
fn release(permit: SlotPermit) -> UpstreamChoice {
    permit.choice.clone()
}

/// Records that the upstream of `permit` served a request; logs it if this ends its ejection.
fn record_success(log: &EventLog, permit: &SlotPermit) {
    if let Some(ejected) = permit.note_success() {
        log.write(LogEvent::UpstreamReturned {
            upstream: permit.choice.id.to_string(),
            ejected_ms: ejected.as_millis() as u64,
        });
    }
}

impl AnswerSource {
    /// Version of the software that the answer's events come from, if it is known.
    fn software(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::Upstream(permit) => Some(&permit.choice.software),
            Self::Detour(leg) => leg.software.as_ref(),
        }
    }
}

impl OpenStream {
    /// Records the arrival of an event. Returns whether that has not been recorded just before.
    fn record_progress(&mut self, log: &EventLog) -> bool {
        self.events += 1;
        self.progressed_at = Instant::now();
        let AnswerSource::Upstream(permit) = &self.source else {
            return false;
        };
        if self.events == 1 {
            record_success(log, permit);
            permit.note_first_event(self.sent.elapsed());
        }
        let is_due = |noted: Instant| self.progressed_at - noted >= PROGRESS_INTERVAL;
        let is_recorded = self.progress_recorded.is_none_or(is_due);
        if is_recorded {
            self.progress_recorded = Some(self.progressed_at);
            permit.note_progress();
        }
        is_recorded
    }
}

/// Records which version of the software began the stream of an online request that may be taken up.
fn record_origin(relay: &RequestRelay, request: &RelayRequest, version: &SoftwareVersion) {
    if request.is_resumable() {
        let tag = request.stream_tag();
        relay.origins().record_begun(tag, &request.service, version);
    }
}

fn broken_read(fault: &StreamFault) -> StreamRead {
    StreamRead::Fault(UpstreamFault::Broken, fault.to_string())
}
