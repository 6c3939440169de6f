//! Takes items from the owners of open jobs, runs them and reports their outcomes.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::batch::coordinator::AssignedItems;
use crate::batch::coordinator::BatchCoordinator;
use crate::batch::coordinator::CoordinatorState;
use crate::batch::input::BatchItem;
use crate::batch::message::BatchReply;
use crate::batch::message::BatchRequest;
use crate::batch::message::DispatchOutcome;
use crate::batch::message::ItemEnd;
use crate::batch::message::JobAnnouncement;
use crate::batch::message::WorkItem;
use crate::batch::message::WorkReport;
use crate::batch::outcome::answer_result;
use crate::batch::outcome::classify_refusal;
use crate::batch::outcome::error_line;
use crate::batch::outcome::item_request_id;
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

/// Longest time between two attempts to take items.
const TAKE_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which outcomes are reported; one report holds all outcomes since the last.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Interval of reports without outcomes, which renew the leases of running items.
const RUNNING_REPORT_INTERVAL: Duration = Duration::from_secs(1);
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
const TAKE_TIMEOUT: Duration = Duration::from_millis(500);
/// Pause of a workspace over its cap, if the refusal has no `retry_after`.
const DEFAULT_WORKSPACE_PAUSE: Duration = Duration::from_secs(2);
/// Time without an accepted report after which this host cancels its items of a job.
const OWNER_SILENCE_LIMIT: Duration = Duration::from_secs(120);
/// Deadline of one execution of an item, including its wait for admission.
const ITEM_DEADLINE: Duration = Duration::from_secs(600);
/// Most items taken by one request to an owner.
const MAX_TAKEN_ITEMS: usize = 32;
/// Least number of items to keep waiting for admission, so that spare engine capacity is used at
/// once.
const MIN_WAITING_ITEMS: usize = 8;
/// Most in-flight items of one host.
const MAX_IN_FLIGHT_ITEMS: usize = 1024;
/// Backoff after the first empty reply of an owner; doubles up to [`MAX_TAKE_BACKOFF`].
const MIN_TAKE_BACKOFF: Duration = Duration::from_millis(100);
const MAX_TAKE_BACKOFF: Duration = Duration::from_secs(2);
/// Assumed size of a prompt token in bytes, for charging workspaces.
const BYTES_PER_TOKEN: f64 = 4.0;
/// Assumed answer length in tokens of an item without a limit, for charging workspaces.
const DEFAULT_MAX_TOKENS: f64 = 256.0;

/// The job to take items from, with its owner.
struct ItemSource {
    announcement: JobAnnouncement,
    owner: HostId,
    terms: Arc<WorkspaceTerms>,
}

/// Keeps an item counted as answering from the first event of its answer. When dropped, ends that
/// count and the item's count as in flight.
struct ItemGuard<'a> {
    coordinator: &'a BatchCoordinator,
    is_answering: bool,
}

impl<'a> ItemGuard<'a> {
    fn new(coordinator: &'a BatchCoordinator) -> Self {
        Self {
            coordinator,
            is_answering: false,
        }
    }

    fn mark_answering(&mut self) {
        if !self.is_answering {
            self.is_answering = true;
            self.coordinator
                .answering_items
                .fetch_add(1, Ordering::Relaxed);
            self.coordinator.worker_wakeup.notify_one();
        }
    }
}

impl Drop for ItemGuard<'_> {
    fn drop(&mut self) {
        self.coordinator
            .in_flight_items
            .fetch_sub(1, Ordering::Relaxed);
        if self.is_answering {
            self.coordinator
                .answering_items
                .fetch_sub(1, Ordering::Relaxed);
        }
        self.coordinator.worker_wakeup.notify_one();
    }
}

impl BatchCoordinator {
    /// Takes items of open jobs and runs them, until `stop`.
    pub(crate) async fn run_worker(self: &Arc<Self>, stop: &CancellationToken) {
        while !stop.is_cancelled() {
            self.take_items().await;
            tokio::select! {
                () = self.worker_wakeup.notified() => {}
                () = tokio::time::sleep(TAKE_INTERVAL) => {}
                () = stop.cancelled() => return,
            }
        }
    }

    /// Reports outcomes and running items to the owners of their jobs, until `stop`.
    pub(crate) async fn run_reporter(self: &Arc<Self>, stop: &CancellationToken) {
        let mut ticks = tokio::time::interval(REPORT_INTERVAL);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = stop.cancelled() => return,
            }
            for (owner, report) in self.due_reports() {
                let coordinator = self.clone();
                tokio::spawn(async move { coordinator.send_report(owner, report).await });
            }
        }
    }

    /// Takes items until enough wait for admission or no job has any. Takes none while draining.
    async fn take_items(self: &Arc<Self>) {
        while !self.is_draining() {
            let item_capacity = self.item_capacity();
            if item_capacity == 0 {
                return;
            }
            let Some(source) = self.select_source() else {
                return;
            };
            let max = item_capacity.min(MAX_TAKEN_ITEMS);
            let items = self.request_items(&source, max).await;
            self.record_taken_items(&source, &items);
            for item in items {
                self.spawn_item(&source, item);
            }
        }
    }

    /// Number of items to take now. Keeps half as many items waiting as are answering, at least
    /// [`MIN_WAITING_ITEMS`], and at most [`MAX_IN_FLIGHT_ITEMS`] in flight.
    fn item_capacity(&self) -> usize {
        let all = self.in_flight_items.load(Ordering::Relaxed);
        let answering = self.answering_items.load(Ordering::Relaxed);
        let waiting = all.saturating_sub(answering);
        let wanted = MIN_WAITING_ITEMS.max(answering / 2);
        let item_capacity = wanted.saturating_sub(waiting);
        item_capacity.min(MAX_IN_FLIGHT_ITEMS.saturating_sub(all))
    }

    /// Selects the job to take items from: the one whose workspace has the lowest start tag in the
    /// fair queueing, then the one that is due first. Skips jobs without a live owner, jobs whose
    /// owner had no items lately, and paused workspaces.
    fn select_source(&self) -> Option<ItemSource> {
        let now = Instant::now();
        let terms = self.dependencies.terms.view();
        let view = self.dependencies.membership.view();
        let is_live = |host: &HostId| view.hosts.iter().any(|peer| peer.id == *host);
        let mut state = self.lock();
        state.paused_until.retain(|_, until| *until > now);
        let state = &*state;
        let candidates = state.open_jobs.values().filter(|job| {
            let Some(owner) = &job.announcement.owner else {
                return false;
            };
            let has_items = match self.is_own_host(Some(owner)) {
                true => may_dispatch_own(state, &job.announcement.job),
                false => job.backoff_until.is_none_or(|until| until <= now) && is_live(owner),
            };
            has_items && !state.paused_until.contains_key(&job.announcement.workspace)
        });
        let with_terms = candidates.filter_map(|job| {
            let terms = terms.workspace(&job.announcement.workspace)?.clone();
            Some((job, terms))
        });
        let (job, terms) = with_terms.min_by(|(a, _), (b, _)| {
            let start = |job: &JobAnnouncement| state.virtual_clock.start_tag(&job.workspace);
            start(&a.announcement)
                .total_cmp(&start(&b.announcement))
                .then(a.announcement.expires_ms.cmp(&b.announcement.expires_ms))
                .then(a.announcement.job.cmp(&b.announcement.job))
        })?;
        Some(ItemSource {
            announcement: job.announcement.clone(),
            owner: job.announcement.owner.clone()?,
            terms,
        })
    }

    async fn request_items(self: &Arc<Self>, source: &ItemSource, max: usize) -> Vec<WorkItem> {
        let job = &source.announcement.job;
        if self.is_own_host(Some(&source.owner)) {
            return self.dispatch_own_items(&self.dependencies.host, job, max);
        }
        let request = BatchRequest::Take {
            job: job.clone(),
            max: max as u32,
        };
        match self.call(&source.owner, request, TAKE_TIMEOUT).await {
            Some(BatchReply::Items(items)) => items,
            Some(BatchReply::Ended) => {
                self.drop_job(job);
                Vec::new()
            }
            Some(_) => Vec::new(),
            None => {
                self.dependencies.counters.retry(RetryReason::PeerFailed);
                Vec::new()
            }
        }
    }

    /// Records the taken items and charges their estimated tokens to the workspace; backs off from
    /// the job if there were none.
    fn record_taken_items(&self, source: &ItemSource, items: &[WorkItem]) {
        let job = &source.announcement.job;
        let mut state = self.lock();
        if let Some(known) = state.open_jobs.get_mut(job) {
            known.take_backoff = match items.is_empty() {
                true => (known.take_backoff * 2).clamp(MIN_TAKE_BACKOFF, MAX_TAKE_BACKOFF),
                false => Duration::ZERO,
            };
            known.backoff_until = items
                .is_empty()
                .then(|| Instant::now() + known.take_backoff);
        }
        if items.is_empty() {
            return;
        }
        let assigned = state
            .assigned
            .entry(job.clone())
            .or_insert_with(AssignedItems::new);
        if assigned.items.is_empty() && assigned.unreported.is_empty() {
            assigned.accepted_at = Instant::now();
        }
        assigned.items.extend(items.iter().map(|item| item.item));
        let tokens: f64 = items.iter().map(estimated_tokens).sum();
        let workspace = &source.announcement.workspace;
        state
            .virtual_clock
            .charge(workspace, source.terms.share, tokens);
    }

    fn spawn_item(self: &Arc<Self>, source: &ItemSource, work: WorkItem) {
        let job = source.announcement.job.clone();
        let Some(cancel) = self
            .lock()
            .assigned
            .get(&job)
            .map(|assigned| assigned.cancel.clone())
        else {
            return;
        };
        self.in_flight_items.fetch_add(1, Ordering::Relaxed);
        let coordinator = self.clone();
        let terms = source.terms.clone();
        let announcement = source.announcement.clone();
        tokio::spawn(async move {
            let guard = ItemGuard::new(&coordinator);
            let item = work.item;
            let end = tokio::select! {
                end = coordinator.run_item(&announcement, &terms, work, guard) => end,
                // Dropping the answer aborts the execution at the upstream.
                () = cancel.cancelled() => return,
            };
            coordinator.apply_outcome(&job, DispatchOutcome { item, end });
            coordinator.worker_wakeup.notify_one();
        });
    }

    async fn run_item(
        &self,
        announcement: &JobAnnouncement,
        terms: &Arc<WorkspaceTerms>,
        work: WorkItem,
        guard: ItemGuard<'_>,
    ) -> ItemEnd {
        let item: BatchItem = match serde_json::from_str(&work.line) {
            Ok(item) => item,
            Err(err) => {
                let line = error_line(
                    &announcement.job,
                    &work,
                    "invalid_json_line",
                    &err.to_string(),
                );
                return ItemEnd::Result { failed: true, line };
            }
        };
        let call = InferenceCall {
            request: item_request_id(&announcement.job, work.item),
            terms: terms.clone(),
            class: WorkClass::Batch,
            endpoint: announcement.endpoint,
            body: item.body,
            deadline: Instant::now() + ITEM_DEADLINE,
            idempotent: true,
        };
        match self.run_inference(call, guard).await {
            Ok(answer) => {
                answer_result(&announcement.job, work.item, &item.custom_id, answer.body())
            }
            Err(refusal) if refusal.reason == RefusalReason::OverCap => {
                let wait = refusal.retry_after.unwrap_or(DEFAULT_WORKSPACE_PAUSE);
                self.pause_workspace(&announcement.workspace, wait);
                ItemEnd::Deferred { wait_ms: 0 }
            }
            Err(refusal) => classify_refusal(&announcement.job, &work, &refusal),
        }
    }

    async fn run_inference(
        &self,
        call: InferenceCall,
        mut guard: ItemGuard<'_>,
    ) -> Result<CollectedAnswer, Refusal> {
        let mut answer = CollectedAnswer::new(call.endpoint);
        let mut stream = self.dependencies.runner.run(call).await?;
        while let Some(event) = stream.next().await {
            guard.mark_answering();
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

    /// Removes and returns the reports that are due. Outcomes of own jobs are applied here instead,
    /// and items whose owner has accepted no report for [`OWNER_SILENCE_LIMIT`] are cancelled.
    fn due_reports(&self) -> Vec<(HostId, WorkReport)> {
        let mut state = self.lock();
        let state = &mut *state;
        let mut due = Vec::new();
        state.assigned.retain(|job, assigned| {
            if let Some(run) = state.runs.get_mut(job) {
                assigned
                    .unreported
                    .drain(..)
                    .for_each(|outcome| run.apply_outcome(&state.host, outcome));
                assigned.accepted_at = Instant::now();
                return !assigned.items.is_empty();
            }
            if assigned.items.is_empty() && assigned.unreported.is_empty() {
                return false;
            }
            if assigned.accepted_at.elapsed() > OWNER_SILENCE_LIMIT {
                assigned.cancel.cancel();
                return false;
            }
            let owner = state
                .open_jobs
                .get(job)
                .and_then(|known| known.announcement.owner.clone());
            let is_due = !assigned.unreported.is_empty()
                || assigned.reported_at.elapsed() >= RUNNING_REPORT_INTERVAL;
            if let Some(owner) = owner.filter(|owner| is_due && !self.is_own_host(Some(owner))) {
                assigned.reported_at = Instant::now();
                due.push((
                    owner,
                    WorkReport {
                        job: job.clone(),
                        outcomes: std::mem::take(&mut assigned.unreported),
                        running: assigned.items.iter().copied().collect(),
                    },
                ));
            }
            true
        });
        due
    }

    async fn send_report(&self, owner: HostId, report: WorkReport) {
        let job = report.job.clone();
        let outcomes = report.outcomes.clone();
        let reply = self
            .call(&owner, BatchRequest::Report(report), REPORT_TIMEOUT)
            .await;
        match reply {
            Some(BatchReply::Taken) => {
                if let Some(assigned) = self.lock().assigned.get_mut(&job) {
                    assigned.accepted_at = Instant::now();
                }
            }
            Some(BatchReply::Ended) => self.drop_job(&job),
            _ => self.requeue_outcomes(&job, outcomes),
        }
    }

    /// Queues outcomes again whose report the owner did not accept, unless the job has ended.
    fn requeue_outcomes(&self, job: &JobId, outcomes: Vec<DispatchOutcome>) {
        self.dependencies.counters.retry(RetryReason::PeerFailed);
        let mut state = self.lock();
        if state.open_jobs.contains_key(job) {
            let assigned = state
                .assigned
                .entry(job.clone())
                .or_insert_with(AssignedItems::new);
            assigned.unreported.extend(outcomes);
        }
    }
}

fn may_dispatch_own(state: &CoordinatorState, job: &JobId) -> bool {
    let run = state.runs.get(job);
    run.is_some_and(|run| run.may_dispatch()) && BatchCoordinator::may_buffer_results(state)
}

/// Estimated tokens of an item: its line's size as prompt, plus the limit of its answer.
fn estimated_tokens(work: &WorkItem) -> f64 {
    let item: Option<BatchItem> = serde_json::from_str(&work.line).ok();
    let body = item.map(|item| item.body).unwrap_or_default();
    let limits = [&body["max_completion_tokens"], &body["max_tokens"]];
    let limit = limits.into_iter().find_map(serde_json::Value::as_f64);
    work.line.len() as f64 / BYTES_PER_TOKEN + limit.unwrap_or(DEFAULT_MAX_TOKENS)
}
