//! Runner of inference requests, with the retry loop of each request.

use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::admission::AdmissionController;
use crate::admission::AdmissionTicket;
use crate::admission::WorkDescriptor;
use crate::caps::CapKeeper;
use crate::counters::CounterEvent;
use crate::counters::CounterSet;
use crate::counters::RefusalReason;
use crate::counters::RetryReason;
use crate::decisions::DecisionKind;
use crate::decisions::DecisionRing;
use crate::edges::engine::ModelEngine;
use crate::ids::UpstreamId;
use crate::inference::answer::AnswerProgress;
use crate::inference::answer::AnswerStream;
use crate::inference::attempt::AttemptResult;
use crate::inference::attempt::CallAttempt;
use crate::inference::attempt::EventSender;
use crate::inference::budget::RetryBudget;
use crate::inference::budget::retry_delay;
use crate::inference::call::CallSize;
use crate::inference::call::InferenceCall;
use crate::placement::DemandMeter;
use crate::refusal::Refusal;
use crate::suspects::Fingerprint;
use crate::suspects::SuspectKeeper;
use crate::suspects::SuspectVerdict;
use crate::suspects::UpstreamRun;

const MAX_ATTEMPTS: u32 = 4;
/// Events that are queued for a slow caller; the engine's stream is not read while the queue is
/// full.
const EVENT_QUEUE_LENGTH: usize = 64;

/// Runs inference requests on model engines.
pub struct InferenceRunner {
    caps: Arc<CapKeeper>,
    admission: Arc<AdmissionController>,
    engine: Arc<dyn ModelEngine>,
    counters: Arc<CounterSet>,
    decisions: Arc<DecisionRing>,
    meter: Arc<DemandMeter>,
    budget: RetryBudget,
    suspects: Option<Arc<SuspectKeeper>>,
}

/// Outcomes of the earlier attempts of a call.
#[derive(Default)]
struct AttemptHistory {
    failed_upstreams: Vec<UpstreamId>,
    attempts: u32,
    /// Whether an upstream may have run the call, in part or in full.
    may_have_run: bool,
    /// Whether the last attempt failed because its engine crashed.
    engine_crashed: bool,
}

impl AttemptHistory {
    /// Adds to `refusal` whether the call may have run.
    fn refuse(&self, refusal: Refusal) -> Refusal {
        match self.may_have_run {
            true => refusal.with_unknown_execution(),
            false => refusal,
        }
    }
}

impl InferenceRunner {
    /// Returns a runner that takes tokens from `caps`, engines from `admission` and reports the
    /// demand per model to `meter`.
    pub fn new(
        caps: Arc<CapKeeper>,
        admission: Arc<AdmissionController>,
        engine: Arc<dyn ModelEngine>,
        counters: Arc<CounterSet>,
        decisions: Arc<DecisionRing>,
        meter: Arc<DemandMeter>,
    ) -> Arc<Self> {
        Arc::new(Self {
            caps,
            admission,
            engine,
            counters,
            decisions,
            meter,
            budget: RetryBudget::new(),
            suspects: None,
        })
    }

    /// Makes the runner hold back, isolate or refuse requests that are suspected or convicted of
    /// crashing engines. Must be called before the runner is shared.
    pub fn with_suspects(mut self: Arc<Self>, suspects: Arc<SuspectKeeper>) -> Arc<Self> {
        let runner = Arc::get_mut(&mut self).expect("a new runner is not shared yet");
        runner.suspects = Some(suspects);
        self
    }

    /// Starts a request in the background and returns its answer stream.
    ///
    /// Fails at once if the workspace may not use the model, the request is convicted of crashing
    /// engines, or the workspace's cap does not allow it. Later failures end the stream.
    pub async fn run(self: &Arc<Self>, call: InferenceCall) -> Result<AnswerStream, Refusal> {
        let model = call.model();
        if !call.terms.models.contains(&model) {
            let message = format!("the workspace may not use model {model:?}");
            return Err(Refusal::new(RefusalReason::ModelNotAllowed, message));
        }
        let fingerprint = Fingerprint::new(call.endpoint, &call.body);
        self.check_suspect(fingerprint, &call).await?;
        let size = call.size();
        self.meter.note(&model, size.tokens());
        let reservation = self
            .caps
            .reserve(&call.terms, call.class, size.tokens())
            .await?;
        let (events, queue) = mpsc::channel(EVENT_QUEUE_LENGTH);
        let runner = self.clone();
        tokio::spawn(async move {
            let mut progress = AnswerProgress::default();
            let outcome = runner
                .run_attempts(&call, &size, fingerprint, &mut progress, &events)
                .await;
            match outcome {
                Ok(()) => reservation.settle(progress.usage.total_tokens),
                Err(refusal) if progress.resume_point.tokens == 0 => {
                    drop(reservation);
                    let _ = events.send(Err(refusal)).await;
                }
                Err(refusal) => {
                    reservation.settle(progress.resume_point.tokens);
                    let _ = events.send(Err(refusal)).await;
                }
            }
        });
        Ok(AnswerStream::new(queue))
    }

    async fn run_attempts(
        &self,
        call: &InferenceCall,
        size: &CallSize,
        fingerprint: Fingerprint,
        progress: &mut AnswerProgress,
        events: &EventSender,
    ) -> Result<(), Refusal> {
        let mut history = AttemptHistory::default();
        self.budget.deposit();
        loop {
            let checked = self.check_suspect(fingerprint, call).await;
            let alone = checked.map_err(|refusal| history.refuse(refusal))?;
            let mut work = work_descriptor(call, size, &history);
            work.alone = alone.then(|| fingerprint.number());
            let admitted = tokio::select! {
                admitted = self.admission.admit(work) => admitted,
                () = events.closed() => return Ok(()),
            };
            let ticket = admitted.map_err(|refusal| history.refuse(refusal))?;
            // While the request was queued, another host may have found that it crashes engines.
            if self.needs_more_isolation(fingerprint, alone) {
                continue;
            }
            let upstream = ticket.upstream.clone();
            let run = self.suspect_run(call, fingerprint, &ticket, alone).await;
            if run.alone && run.boot.is_none() {
                // The engine gave no load report, so it is down: a failure there would not
                // show whether this request crashes engines.
                let reason = RetryReason::ConnectFailed;
                self.record_retry(call, &upstream, reason, "no load report");
                self.check_retry(call, &upstream, reason, "no load report", &mut history)?;
                continue;
            }
            if progress.resume_point.tokens > 0 {
                self.counters.event(CounterEvent::StreamResumed);
            }
            let attempt = CallAttempt {
                call,
                prompt_tokens: size.prompt_tokens,
                progress,
                events,
            };
            let (reason, cause) = match attempt.run(self.engine.as_ref(), ticket).await {
                AttemptResult::Complete => {
                    self.record_completion(&run).await;
                    return Ok(());
                }
                AttemptResult::CallerLeft => return Ok(()),
                AttemptResult::Refused(refusal) => return Err(history.refuse(refusal)),
                AttemptResult::Failed(reason, cause) => (reason, cause),
            };
            if let (RetryReason::ConnectionBroken, Some(suspects)) = (reason, &self.suspects) {
                history.engine_crashed = suspects.report_broken_stream(run).await;
            }
            self.record_retry(call, &upstream, reason, &cause);
            self.check_retry(call, &upstream, reason, &cause, &mut history)?;
            if reason != RetryReason::Preempted {
                tokio::time::sleep(retry_delay(history.attempts)).await;
            }
        }
    }

    /// Fails for a request that is convicted of crashing engines, and waits while it is held back;
    /// returns whether the request has to run alone on an engine.
    async fn check_suspect(
        &self,
        fingerprint: Fingerprint,
        call: &InferenceCall,
    ) -> Result<bool, Refusal> {
        match &self.suspects {
            Some(suspects) => suspects.wait_for_verdict(fingerprint, call.deadline).await,
            None => Ok(false),
        }
    }

    /// Whether the suspicion against the request now demands more isolation than it was admitted
    /// with; `alone` tells whether it was admitted to run alone.
    fn needs_more_isolation(&self, fingerprint: Fingerprint, alone: bool) -> bool {
        let Some(suspects) = &self.suspects else {
            return false;
        };
        match suspects.verdict(fingerprint) {
            SuspectVerdict::Free => false,
            SuspectVerdict::Alone => !alone,
            SuspectVerdict::Held | SuspectVerdict::Convicted => true,
        }
    }

    async fn suspect_run(
        &self,
        call: &InferenceCall,
        fingerprint: Fingerprint,
        ticket: &AdmissionTicket,
        alone: bool,
    ) -> UpstreamRun {
        let boot = match &self.suspects {
            Some(suspects) if alone => suspects.boot_number(ticket.address).await,
            _ => None,
        };
        UpstreamRun {
            request: call.request.clone(),
            fingerprint,
            upstream: ticket.upstream.clone(),
            address: ticket.address,
            alone,
            boot,
            started: Instant::now(),
        }
    }

    async fn record_completion(&self, run: &UpstreamRun) {
        if let Some(suspects) = &self.suspects {
            suspects.report_completion(run).await;
        }
    }

    /// Records a failed attempt in `history`; fails if the call may not be retried.
    ///
    /// An idempotent call that was preempted is always retried, without counting the attempt.
    fn check_retry(
        &self,
        call: &InferenceCall,
        upstream: &UpstreamId,
        reason: RetryReason,
        cause: &str,
        history: &mut AttemptHistory,
    ) -> Result<(), Refusal> {
        let not_run = matches!(
            reason,
            RetryReason::ConnectFailed | RetryReason::UpstreamBusy
        );
        history.may_have_run |= !not_run;
        if reason == RetryReason::Preempted && call.idempotent {
            return Ok(());
        }
        history.attempts += 1;
        history.failed_upstreams.push(upstream.clone());
        let message = format!("{upstream} failed: {cause}");
        let failure = Refusal::new(RefusalReason::UpstreamFailed, message);
        if history.may_have_run && !call.idempotent {
            return Err(history.refuse(failure));
        }
        if history.attempts >= MAX_ATTEMPTS {
            return Err(history.refuse(failure));
        }
        // A crash fails all requests of the engine at once, and as suspects they are then retried
        // one at a time, which can't overload the fleet. The budget is for failures that retries
        // can make worse.
        let crashed = std::mem::take(&mut history.engine_crashed);
        if !crashed && !self.budget.withdraw() {
            self.counters.event(CounterEvent::RetryBudgetSpent);
            return Err(history.refuse(failure));
        }
        Ok(())
    }

    fn record_retry(
        &self,
        call: &InferenceCall,
        upstream: &UpstreamId,
        reason: RetryReason,
        cause: &str,
    ) {
        self.counters.retry(reason);
        let kind = match reason {
            RetryReason::Preempted => DecisionKind::Preempted,
            _ => DecisionKind::Retried,
        };
        let subjects = [call.request.as_str(), upstream.as_str()];
        let detail = format!("{reason}: {cause}");
        self.decisions.record(kind, &subjects, detail);
    }
}

fn work_descriptor(
    call: &InferenceCall,
    size: &CallSize,
    history: &AttemptHistory,
) -> WorkDescriptor {
    WorkDescriptor {
        request: call.request.clone(),
        workspace: call.terms.name.clone(),
        model: call.model(),
        class: call.class,
        prefixes: size.prefixes.clone(),
        tokens: size.tokens(),
        deadline: call.deadline,
        exclude: history.failed_upstreams.clone(),
        alone: None,
    }
}
