//! One attempt: a stream of one engine, relayed to the caller until it ends.

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

/// An engine without a first token for this long is given up.
const FIRST_TOKEN_LIMIT: Duration = Duration::from_secs(2);
/// Added to [`FIRST_TOKEN_LIMIT`] for each token of the prompt.
const FIRST_TOKEN_PER_PROMPT_TOKEN: Duration = Duration::from_micros(500);
/// A stream without another token for this long is given up.
const NEXT_TOKEN_LIMIT: Duration = Duration::from_millis(1500);
/// A request that cannot be repeated is given up after this multiple of the limits.
const UNREPEATABLE_FACTOR: u32 = 5;
/// Tokens from which the time between tokens is measured.
const MIN_MEASURED_TOKENS: u32 = 4;
/// Largest text of an answer; it is kept for resumption.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Where the events of an answer go.
pub(crate) type EventSender = mpsc::Sender<Result<AnswerEvent, Refusal>>;

/// How one attempt ended.
pub(crate) enum AttemptResult {
    Complete,
    CallerLeft,
    Failed(RetryReason, String),
    Refused(Refusal),
}

impl AttemptResult {
    /// What the admitting host is told.
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

/// Times of the tokens of one stream.
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

/// One attempt of a call on the engine of a ticket.
pub(crate) struct CallAttempt<'a> {
    pub(crate) call: &'a InferenceCall,
    pub(crate) prompt_tokens: u64,
    pub(crate) progress: &'a mut AnswerProgress,
    pub(crate) events: &'a EventSender,
}

impl CallAttempt<'_> {
    /// Runs the attempt and frees the ticket.
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
            resume: (self.progress.point.tokens > 0).then(|| self.progress.point.clone()),
            // On a kept connection that the engine has closed, it is not known whether the
            // request arrived.
            fresh_connection: !self.call.idempotent,
        };
        let started = tokio::select! {
            started = engine.generate(ticket.address, &generate) => started,
            end = self.interrupted(ticket) => return end,
            () = tokio::time::sleep(self.first_token_limit()) => {
                return silent("the engine gave no answer in time");
            }
        };
        match started {
            Ok(stream) => self.relay(stream, ticket, clock).await,
            Err(err) => end_of_error(err),
        }
    }

    /// Passes the events of `stream` on until it ends.
    async fn relay(
        &mut self,
        mut stream: GenerateStream,
        ticket: &AdmissionTicket,
        clock: &mut TokenTimes,
    ) -> AttemptResult {
        loop {
            let limit = match clock.first {
                Some(_) => self.next_token_limit(),
                None => self.first_token_limit(),
            };
            let next = tokio::select! {
                next = stream.next() => next,
                end = self.interrupted(ticket) => return end,
                () = tokio::time::sleep(limit) => {
                    return silent("the stream made no progress");
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
                Some(Err(err)) => return end_of_error(err),
                None | Some(Ok(GenerateEvent::Done)) => {
                    let cause = "the stream ended early".to_owned();
                    return AttemptResult::Failed(RetryReason::ConnectionBroken, cause);
                }
            };
            if let Err(end) = self.pass_on(chunk, clock).await {
                return end;
            }
        }
    }

    async fn pass_on(
        &mut self,
        mut chunk: Value,
        clock: &mut TokenTimes,
    ) -> Result<(), AttemptResult> {
        if self.progress.note(&mut chunk) {
            clock.note();
        }
        if self.progress.point.text.len() > MAX_ANSWER_BYTES {
            let refusal = Refusal::new(RefusalReason::UpstreamFailed, "the answer is too long");
            return Err(AttemptResult::Refused(refusal.with_unknown_execution()));
        }
        match has_choice(&chunk) {
            true => self.send(AnswerEvent::Chunk(chunk)).await,
            false => Ok(()),
        }
    }

    /// Sends an event to a caller that may be slow, but not beyond the deadline.
    async fn send(&self, event: AnswerEvent) -> Result<(), AttemptResult> {
        tokio::select! {
            sent = self.events.send(Ok(event)) => sent.map_err(|_| AttemptResult::CallerLeft),
            () = tokio::time::sleep_until(self.call.deadline) => Err(deadline_passed()),
        }
    }

    /// Ends when the work is no longer wanted here.
    async fn interrupted(&self, ticket: &AdmissionTicket) -> AttemptResult {
        tokio::select! {
            () = self.events.closed() => AttemptResult::CallerLeft,
            () = ticket.preempted.cancelled() => {
                AttemptResult::Failed(RetryReason::Preempted, "online work came".to_owned())
            }
            () = tokio::time::sleep_until(self.call.deadline) => deadline_passed(),
        }
    }

    fn first_token_limit(&self) -> Duration {
        let prompt = u32::try_from(self.prompt_tokens).unwrap_or(u32::MAX);
        let limit = FIRST_TOKEN_PER_PROMPT_TOKEN.saturating_mul(prompt) + FIRST_TOKEN_LIMIT;
        limit * self.patience()
    }

    fn next_token_limit(&self) -> Duration {
        NEXT_TOKEN_LIMIT * self.patience()
    }

    fn patience(&self) -> u32 {
        match self.call.idempotent {
            true => 1,
            false => UNREPEATABLE_FACTOR,
        }
    }
}

fn silent(cause: &str) -> AttemptResult {
    AttemptResult::Failed(RetryReason::Silent, cause.to_owned())
}

fn deadline_passed() -> AttemptResult {
    let refusal = Refusal::new(RefusalReason::DeadlinePassed, "the deadline has passed");
    AttemptResult::Refused(refusal.with_unknown_execution())
}

fn end_of_error(err: EngineError) -> AttemptResult {
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
