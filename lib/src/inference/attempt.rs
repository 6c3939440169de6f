//! One attempt: generates on one engine and relays the stream to the caller until it ends.

use std::time::Duration;

use futures_util::StreamExt;
use serde_json::Value;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::admission::AdmissionTicket;
use crate::admission::TicketMeasure;
use crate::admission::TicketOutcome;
use crate::counters::RefusalReason;
use crate::counters::RetryReason;
use crate::edges::engine::EngineError;
use crate::edges::engine::GenerateCall;
use crate::edges::engine::GenerateEvent;
use crate::edges::engine::GenerateStream;
use crate::edges::engine::ModelEngine;
use crate::inference::answer::AnswerEvent;
use crate::inference::answer::AnswerProgress;
use crate::inference::answer::has_choice;
use crate::inference::call::InferenceCall;
use crate::refusal::Refusal;

/// Longest wait for the first token, apart from the time for the prompt; then the attempt fails.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time added to [`FIRST_TOKEN_TIMEOUT`] for each token of the prompt.
const PROMPT_TOKEN_TIME: Duration = Duration::from_micros(500);
/// Longest wait for the next event of a stream that has delivered a token; then the attempt fails.
const NEXT_TOKEN_TIMEOUT: Duration = Duration::from_millis(1500);
/// Factor on these limits for a request that may not be repeated, as giving it up loses its answer.
const UNREPEATABLE_TIMEOUT_FACTOR: u32 = 5;
/// Fewest tokens from which a mean time between tokens is reported.
const MIN_MEASURED_TOKENS: u32 = 4;
/// Largest text of an answer, which is buffered to resume the answer at another engine.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Sending half of an [`AnswerStream`](crate::inference::AnswerStream).
pub(crate) type EventSender = mpsc::Sender<Result<AnswerEvent, Refusal>>;

/// How one attempt ended. `Failed` may be retried; `Refused` ends the request.
pub(crate) enum AttemptResult {
    Complete,
    CallerLeft,
    Failed(RetryReason, String),
    Refused(Refusal),
}

impl AttemptResult {
    /// Outcome that is reported to the host that admitted the attempt.
    fn outcome(&self) -> TicketOutcome {
        match self {
            Self::Complete => TicketOutcome::Complete,
            Self::Failed(RetryReason::Preempted, _) => TicketOutcome::Yielded,
            Self::Failed(RetryReason::UpstreamBusy, _) => TicketOutcome::Abandoned,
            Self::Failed(..) => TicketOutcome::Failed,
            Self::CallerLeft | Self::Refused(_) => TicketOutcome::Abandoned,
        }
    }
}

/// Arrival times of the first and last token of one stream, and the number of tokens.
#[derive(Debug, Default)]
struct TokenTimes {
    first: Option<Instant>,
    last: Option<Instant>,
    tokens: u32,
}

impl TokenTimes {
    fn note(&mut self) {
        let now = Instant::now();
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.tokens += 1;
    }

    fn measure(&self, opened: Instant, outcome: TicketOutcome) -> TicketMeasure {
        let mut measure = TicketMeasure::new(outcome);
        measure.first_token = self.first.map(|first| first.duration_since(opened));
        if let (Some(first), Some(last)) = (self.first, self.last)
            && self.tokens >= MIN_MEASURED_TOKENS
        {
            measure.token_time = Some(last.duration_since(first) / (self.tokens - 1));
        }
        measure
    }
}

/// One attempt of a call on the engine for which a ticket was granted.
pub(crate) struct CallAttempt<'a> {
    pub(crate) call: &'a InferenceCall,
    pub(crate) prompt_tokens: u64,
    pub(crate) progress: &'a mut AnswerProgress,
    pub(crate) events: &'a EventSender,
}

impl CallAttempt<'_> {
    /// Runs the attempt to its end and returns the ticket with the outcome and measured latencies.
    pub(crate) async fn run(
        mut self,
        engine: &dyn ModelEngine,
        ticket: AdmissionTicket,
    ) -> AttemptResult {
        let opened = Instant::now();
        let mut clock = TokenTimes::default();
        let end = self.open(engine, &ticket, &mut clock).await;
        if let AttemptResult::Failed(RetryReason::Silent, _) = &end {
            engine.discard_idle_connections(ticket.address);
        }
        ticket.finish(clock.measure(opened, end.outcome()));
        end
    }

    async fn open(
        &mut self,
        engine: &dyn ModelEngine,
        ticket: &AdmissionTicket,
        clock: &mut TokenTimes,
    ) -> AttemptResult {
        let generate = GenerateCall {
            request: self.call.request.clone(),
            endpoint: self.call.endpoint,
            body: self.call.body.clone(),
            resume: (self.progress.resume_point.tokens > 0)
                .then(|| self.progress.resume_point.clone()),
            // If the engine has closed a pooled connection, it is unknown whether a request that
            // was sent on it arrived.
            fresh_connection: !self.call.idempotent,
        };
        let started = tokio::select! {
            started = engine.generate(ticket.address, &generate) => started,
            end = self.interruption(ticket) => return end,
            () = tokio::time::sleep(self.first_token_timeout()) => {
                return silent_result("no response head in time");
            }
        };
        match started {
            Ok(stream) => self.relay(stream, ticket, clock).await,
            Err(err) => error_result(err),
        }
    }

    /// Passes the chunks of `stream` on to the caller until the stream ends or stalls.
    async fn relay(
        &mut self,
        mut stream: GenerateStream,
        ticket: &AdmissionTicket,
        clock: &mut TokenTimes,
    ) -> AttemptResult {
        loop {
            let limit = match clock.first {
                Some(_) => self.next_token_timeout(),
                None => self.first_token_timeout(),
            };
            let next = tokio::select! {
                next = stream.next() => next,
                end = self.interruption(ticket) => return end,
                () = tokio::time::sleep(limit) => {
                    return silent_result("no token in time");
                }
            };
            let chunk = match next {
                Some(Ok(GenerateEvent::Chunk(chunk))) => chunk,
                Some(Ok(GenerateEvent::Done)) if self.progress.finished => {
                    let done = AnswerEvent::Done(self.progress.usage);
                    return match self.send(done).await {
                        Ok(()) => AttemptResult::Complete,
                        Err(end) => end,
                    };
                }
                Some(Err(err)) => return error_result(err),
                None | Some(Ok(GenerateEvent::Done)) => {
                    let cause = "the stream ended early".to_owned();
                    return AttemptResult::Failed(RetryReason::ConnectionBroken, cause);
                }
            };
            if let Err(end) = self.forward_chunk(chunk, clock).await {
                return end;
            }
        }
    }

    async fn forward_chunk(
        &mut self,
        mut chunk: Value,
        clock: &mut TokenTimes,
    ) -> Result<(), AttemptResult> {
        if self.progress.note(&mut chunk) {
            clock.note();
        }
        if self.progress.resume_point.text.len() > MAX_ANSWER_BYTES {
            let refusal = Refusal::new(RefusalReason::UpstreamFailed, "the answer is too long");
            return Err(AttemptResult::Refused(refusal.with_unknown_execution()));
        }
        match has_choice(&chunk) {
            true => self.send(AnswerEvent::Chunk(chunk)).await,
            false => Ok(()),
        }
    }

    /// Queues an event for the caller. Waits while the queue is full, at most until the request's
    /// deadline.
    async fn send(&self, event: AnswerEvent) -> Result<(), AttemptResult> {
        tokio::select! {
            sent = self.events.send(Ok(event)) => sent.map_err(|_| AttemptResult::CallerLeft),
            () = tokio::time::sleep_until(self.call.deadline) => Err(deadline_result()),
        }
    }

    /// Resolves when the caller disconnects, the attempt is preempted or the deadline passes.
    async fn interruption(&self, ticket: &AdmissionTicket) -> AttemptResult {
        tokio::select! {
            () = self.events.closed() => AttemptResult::CallerLeft,
            () = ticket.preempted.cancelled() => {
                AttemptResult::Failed(RetryReason::Preempted, "preempted by online work".to_owned())
            }
            () = tokio::time::sleep_until(self.call.deadline) => deadline_result(),
        }
    }

    fn first_token_timeout(&self) -> Duration {
        let prompt = u32::try_from(self.prompt_tokens).unwrap_or(u32::MAX);
        let limit = PROMPT_TOKEN_TIME.saturating_mul(prompt) + FIRST_TOKEN_TIMEOUT;
        limit * self.timeout_factor()
    }

    fn next_token_timeout(&self) -> Duration {
        NEXT_TOKEN_TIMEOUT * self.timeout_factor()
    }

    fn timeout_factor(&self) -> u32 {
        match self.call.idempotent {
            true => 1,
            false => UNREPEATABLE_TIMEOUT_FACTOR,
        }
    }
}

fn silent_result(cause: &str) -> AttemptResult {
    AttemptResult::Failed(RetryReason::Silent, cause.to_owned())
}

fn deadline_result() -> AttemptResult {
    let refusal = Refusal::new(RefusalReason::DeadlinePassed, "the deadline has passed");
    AttemptResult::Refused(refusal.with_unknown_execution())
}

fn error_result(err: EngineError) -> AttemptResult {
    let cause = err.to_string();
    match err {
        EngineError::NotSent(_) => AttemptResult::Failed(RetryReason::ConnectFailed, cause),
        EngineError::Busy => AttemptResult::Failed(RetryReason::UpstreamBusy, cause),
        EngineError::Broken(_) => AttemptResult::Failed(RetryReason::ConnectionBroken, cause),
        EngineError::Refused { .. } => {
            AttemptResult::Refused(Refusal::new(RefusalReason::UpstreamRefused, cause))
        }
    }
}
