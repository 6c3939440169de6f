//! Takes items from the owners of open jobs, runs them and reports their outcomes.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::batch::desk::BatchCoordinator;
use crate::batch::desk::CoordinatorState;
use crate::batch::desk::HeldWork;
use crate::batch::input::BatchItem;
use crate::batch::message::BatchReply;
use crate::batch::message::BatchRequest;
use crate::batch::message::DispatchOutcome;
use crate::batch::message::ItemEnd;
use crate::batch::message::JobAnnouncement;
use crate::batch::message::WorkItem;
use crate::batch::message::WorkReport;
use crate::batch::outcome::answer_end;
use crate::batch::outcome::error_line;
use crate::batch::outcome::item_request;
use crate::batch::outcome::refusal_end;
use crate::counters::RefusalReason;
use crate::counters::RetryReason;
use crate::ids::HostId;
use crate::ids::JobId;
use crate::ids::WorkClass;
use crate::inference::AnswerEvent;
use crate::inference::CollectedAnswer;
use crate::inference::InferenceCall;
use crate::refusal::Refusal;
use crate::terms::WorkspaceTerms;

/// Longest pause between two looks for work.
const FILL_INTERVAL: Duration = Duration::from_millis(200);
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of reports that only say that items are still held.
const HELD_INTERVAL: Duration = Duration::from_secs(1);
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
const TAKE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause of a workspace whose refusal names none.
const DEFAULT_PAUSE: Duration = Duration::from_secs(2);
/// Work whose owner has taken no report for this long is given up.
const ORPHAN_LIMIT: Duration = Duration::from_secs(120);
const ITEM_DEADLINE: Duration = Duration::from_secs(600);
/// Items that are taken at once.
const MAX_TAKE: usize = 32;
/// Items that wait for admission at least, so that spare room finds work.
const MIN_WAITING: usize = 8;
/// Items in flight of one host.
const MAX_IN_FLIGHT: usize = 1024;
const FIRST_DRY_PAUSE: Duration = Duration::from_millis(100);
const MAX_DRY_PAUSE: Duration = Duration::from_secs(2);
const BYTES_PER_TOKEN: f64 = 4.0;
const DEFAULT_MAX_TOKENS: f64 = 256.0;

/// A job to take items from.
struct WorkSource {
    notice: JobAnnouncement,
    owner: HostId,
    terms: Arc<WorkspaceTerms>,
}

/// Counts an item as in flight, and as started once its answer has begun.
struct FlightGuard<'a> {
    desk: &'a BatchCoordinator,
    started: bool,
}

impl<'a> FlightGuard<'a> {
    fn new(desk: &'a BatchCoordinator) -> Self {
        Self {
            desk,
            started: false,
        }
    }

    fn note_started(&mut self) {
        if !self.started {
            self.started = true;
            self.desk.started.fetch_add(1, Ordering::Relaxed);
            self.desk.wake.notify_one();
        }
    }
}

impl Drop for FlightGuard<'_> {
    fn drop(&mut self) {
        self.desk.in_flight.fetch_sub(1, Ordering::Relaxed);
        if self.started {
            self.desk.started.fetch_sub(1, Ordering::Relaxed);
        }
        self.desk.wake.notify_one();
    }
}

impl BatchCoordinator {
    /// Takes and runs items until `stop`.
    pub(crate) async fn work(self: &Arc<Self>, stop: &CancellationToken) {
        while !stop.is_cancelled() {
            self.fill().await;
            tokio::select! {
                () = self.wake.notified() => {}
                () = tokio::time::sleep(FILL_INTERVAL) => {}
                () = stop.cancelled() => return,
            }
        }
    }

    /// Reports outcomes to the owners of their jobs until `stop`.
    pub(crate) async fn report(self: &Arc<Self>, stop: &CancellationToken) {
        let mut ticks = tokio::time::interval(REPORT_INTERVAL);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = stop.cancelled() => return,
            }
            for (owner, report) in self.due_reports() {
                let desk = self.clone();
                tokio::spawn(async move { desk.report_one(owner, report).await });
            }
        }
    }

    /// Takes items while admission has room for them.
    async fn fill(self: &Arc<Self>) {
        while !self.is_draining() {
            let room = self.room();
            if room == 0 {
                return;
            }
            let Some(source) = self.pick() else {
                return;
            };
            let max = room.min(MAX_TAKE);
            let items = self.take(&source, max).await;
            self.note_taken(&source, &items);
            for item in items {
                self.spawn_item(&source, item);
            }
        }
    }

    /// Number of items to take: enough that some always wait for admission.
    fn room(&self) -> usize {
        let all = self.in_flight.load(Ordering::Relaxed);
        let started = self.started.load(Ordering::Relaxed);
        let waiting = all.saturating_sub(started);
        let wanted = MIN_WAITING.max(started / 2);
        let room = wanted.saturating_sub(waiting);
        room.min(MAX_IN_FLIGHT.saturating_sub(all))
    }

    /// The job that goes next: by its workspace's share first, then by its due time.
    fn pick(&self) -> Option<WorkSource> {
        let now = Instant::now();
        let terms = self.parts.terms.view();
        let view = self.parts.membership.view();
        let is_live = |host: &HostId| view.hosts.iter().any(|peer| peer.id == *host);
        let mut state = self.lock();
        state.paused.retain(|_, until| *until > now);
        let state = &*state;
        let candidates = state.open.values().filter(|job| {
            let Some(owner) = &job.notice.owner else {
                return false;
            };
            let has_items = match self.is_own(Some(owner)) {
                true => may_take_own(state, &job.notice.job),
                false => job.dry_until.is_none_or(|until| until <= now) && is_live(owner),
            };
            has_items && !state.paused.contains_key(&job.notice.workspace)
        });
        let with_terms = candidates.filter_map(|job| {
            let terms = terms.workspace(&job.notice.workspace)?.clone();
            Some((job, terms))
        });
        let (job, terms) = with_terms.min_by(|(a, _), (b, _)| {
            let start = |job: &JobAnnouncement| state.shares.start_of(&job.workspace);
            start(&a.notice)
                .total_cmp(&start(&b.notice))
                .then(a.notice.expires_ms.cmp(&b.notice.expires_ms))
                .then(a.notice.job.cmp(&b.notice.job))
        })?;
        Some(WorkSource {
            notice: job.notice.clone(),
            owner: job.notice.owner.clone()?,
            terms,
        })
    }

    async fn take(self: &Arc<Self>, source: &WorkSource, max: usize) -> Vec<WorkItem> {
        let job = &source.notice.job;
        if self.is_own(Some(&source.owner)) {
            return self.take_own(&self.parts.host, job, max);
        }
        let request = BatchRequest::Take {
            job: job.clone(),
            max: max as u32,
        };
        match self.call(&source.owner, request, TAKE_TIMEOUT).await {
            Some(BatchReply::Items(items)) => items,
            Some(BatchReply::Ended) => {
                self.forget(job);
                Vec::new()
            }
            Some(_) => Vec::new(),
            None => {
                self.parts.counters.retry(RetryReason::PeerFailed);
                Vec::new()
            }
        }
    }

    /// Notes which items this host holds, or that the owner had none.
    fn note_taken(&self, source: &WorkSource, items: &[WorkItem]) {
        let job = &source.notice.job;
        let mut state = self.lock();
        if let Some(open) = state.open.get_mut(job) {
            open.dry_pause = match items.is_empty() {
                true => (open.dry_pause * 2).clamp(FIRST_DRY_PAUSE, MAX_DRY_PAUSE),
                false => Duration::ZERO,
            };
            open.dry_until = items.is_empty().then(|| Instant::now() + open.dry_pause);
        }
        if items.is_empty() {
            return;
        }
        let held = state.held.entry(job.clone()).or_insert_with(HeldWork::new);
        if held.items.is_empty() && held.outbox.is_empty() {
            held.accepted = Instant::now();
        }
        held.items.extend(items.iter().map(|item| item.item));
        let tokens: f64 = items.iter().map(estimated_tokens).sum();
        let workspace = &source.notice.workspace;
        state.shares.charge(workspace, source.terms.share, tokens);
    }

    fn spawn_item(self: &Arc<Self>, source: &WorkSource, work: WorkItem) {
        let job = source.notice.job.clone();
        let Some(cancel) = self.lock().held.get(&job).map(|held| held.cancel.clone()) else {
            return;
        };
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let desk = self.clone();
        let terms = source.terms.clone();
        let notice = source.notice.clone();
        tokio::spawn(async move {
            let guard = FlightGuard::new(&desk);
            let item = work.item;
            let end = tokio::select! {
                end = desk.run_item(&notice, &terms, work, guard) => end,
                // Dropping the answer stops the work upstream.
                () = cancel.cancelled() => return,
            };
            desk.settle(&job, DispatchOutcome { item, end });
            desk.wake.notify_one();
        });
    }

    async fn run_item(
        &self,
        notice: &JobAnnouncement,
        terms: &Arc<WorkspaceTerms>,
        work: WorkItem,
        guard: FlightGuard<'_>,
    ) -> ItemEnd {
        let item: BatchItem = match serde_json::from_str(&work.line) {
            Ok(item) => item,
            Err(err) => {
                let line = error_line(&notice.job, &work, "invalid_json_line", &err.to_string());
                return ItemEnd::Result { failed: true, line };
            }
        };
        let call = InferenceCall {
            request: item_request(&notice.job, work.item),
            terms: terms.clone(),
            class: WorkClass::Batch,
            endpoint: notice.endpoint,
            body: item.body,
            deadline: Instant::now() + ITEM_DEADLINE,
            idempotent: true,
        };
        match self.generate(call, guard).await {
            Ok(answer) => answer_end(&notice.job, work.item, &item.custom_id, answer.body()),
            Err(refusal) if refusal.reason == RefusalReason::OverCap => {
                let wait = refusal.retry_after.unwrap_or(DEFAULT_PAUSE);
                self.pause_workspace(&notice.workspace, wait);
                ItemEnd::Deferred { wait_ms: 0 }
            }
            Err(refusal) => refusal_end(&notice.job, &work, &refusal),
        }
    }

    async fn generate(
        &self,
        call: InferenceCall,
        mut guard: FlightGuard<'_>,
    ) -> Result<CollectedAnswer, Refusal> {
        let mut answer = CollectedAnswer::new(call.endpoint);
        let mut stream = self.parts.runner.run(call).await?;
        while let Some(event) = stream.next().await {
            guard.note_started();
            match event? {
                AnswerEvent::Chunk(chunk) => answer.add(&chunk),
                AnswerEvent::Done(usage) => {
                    answer.usage = usage;
                    return Ok(answer);
                }
            }
        }
        let refusal = Refusal::new(RefusalReason::UpstreamFailed, "the answer ended early");
        Err(refusal.with_unknown_execution())
    }

    /// Reports to send now; outcomes of own jobs are settled here.
    fn due_reports(&self) -> Vec<(HostId, WorkReport)> {
        let mut state = self.lock();
        let state = &mut *state;
        let mut due = Vec::new();
        state.held.retain(|job, held| {
            if let Some(run) = state.runs.get_mut(job) {
                held.outbox
                    .drain(..)
                    .for_each(|outcome| run.settle(outcome));
                held.accepted = Instant::now();
                return !held.items.is_empty();
            }
            if held.items.is_empty() && held.outbox.is_empty() {
                return false;
            }
            if held.accepted.elapsed() > ORPHAN_LIMIT {
                held.cancel.cancel();
                return false;
            }
            let owner = state
                .open
                .get(job)
                .and_then(|open| open.notice.owner.clone());
            let is_due = !held.outbox.is_empty() || held.reported.elapsed() >= HELD_INTERVAL;
            if let Some(owner) = owner.filter(|owner| is_due && !self.is_own(Some(owner))) {
                held.reported = Instant::now();
                due.push((
                    owner,
                    WorkReport {
                        job: job.clone(),
                        outcomes: std::mem::take(&mut held.outbox),
                        running: held.items.iter().copied().collect(),
                    },
                ));
            }
            true
        });
        due
    }

    async fn report_one(&self, owner: HostId, report: WorkReport) {
        let job = report.job.clone();
        let outcomes = report.outcomes.clone();
        let reply = self
            .call(&owner, BatchRequest::Report(report), REPORT_TIMEOUT)
            .await;
        match reply {
            Some(BatchReply::Taken) => {
                if let Some(held) = self.lock().held.get_mut(&job) {
                    held.accepted = Instant::now();
                }
            }
            Some(BatchReply::Ended) => self.forget(&job),
            _ => self.keep_outcomes(&job, outcomes),
        }
    }

    /// Puts outcomes back that no owner took.
    fn keep_outcomes(&self, job: &JobId, outcomes: Vec<DispatchOutcome>) {
        self.parts.counters.retry(RetryReason::PeerFailed);
        let mut state = self.lock();
        if state.open.contains_key(job) {
            let held = state.held.entry(job.clone()).or_insert_with(HeldWork::new);
            held.outbox.extend(outcomes);
        }
    }
}

fn may_take_own(state: &CoordinatorState, job: &JobId) -> bool {
    let run = state.runs.get(job);
    run.is_some_and(|run| run.may_take()) && BatchCoordinator::has_room(state)
}

fn estimated_tokens(work: &WorkItem) -> f64 {
    let item: Option<BatchItem> = serde_json::from_str(&work.line).ok();
    let body = item.map(|item| item.body).unwrap_or_default();
    let limits = [&body["max_completion_tokens"], &body["max_tokens"]];
    let limit = limits.into_iter().find_map(serde_json::Value::as_f64);
    work.line.len() as f64 / BYTES_PER_TOKEN + limit.unwrap_or(DEFAULT_MAX_TOKENS)
}
