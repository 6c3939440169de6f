//! In-memory state of the jobs that this host owns: progress, retries and results of each item.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use crate::balancer::ItemUrgency;
use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::edges::kv::KvVersion;
use crate::edges::kv::LeaseId;
use crate::ids::SoftwareVersion;
use crate::jobs::estimator::DurationEstimator;
use crate::jobs::failures::ItemFailures;
use crate::jobs::message::GivenUpJob;
use crate::jobs::message::ItemCheckpoint;
use crate::jobs::progress::ItemProgress;
use crate::jobs::segments::ResultSegment;
use crate::jobs::segments::SegmentLog;
use crate::jobs::spec::JobResult;
use crate::jobs::spec::JobSpec;
use crate::jobs::spec::ResultPage;
use crate::jobs::spec::ResultState;
use crate::jobs::store::JobClaim;
use crate::jobs::store::SEGMENT_BYTES;
use crate::routes::RouteKey;
use crate::routes::RouteTable;

/// Size limit in bytes of one page of results as a caller gets it, after encoding. It is checked
/// against the size of the item output.
const MAX_PAGE_BYTES: usize = 700 * 1024;
/// How long finished items wait before they are committed, so that one write covers several.
const COMMIT_DELAY: Duration = Duration::from_millis(1_200);
/// The same delay for a job with less than `NEARLY_DUE_TIME` left, or with an item that failed for good.
const SHORT_COMMIT_DELAY: Duration = Duration::from_millis(100);
/// Time before a job's due time from which results are committed after `SHORT_COMMIT_DELAY`.
const NEARLY_DUE_TIME: Duration = Duration::from_millis(4_000);
/// Backoff after an item's first unsuccessful run; doubles with each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(50);
/// Upper bound of that backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);
/// Time in milliseconds for which items are kept beyond the retention time, as clocks run at different
/// rates.
const RETENTION_MARGIN_MS: u64 = 5_000;
/// Delay before a segment is written again after a write that may have failed.
const COMMIT_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Processing state of one item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemState {
    /// Queued until an upstream has a free slot for it and its backoff is over.
    Waiting,
    /// Dispatched to an upstream.
    Running,
    /// Has a result that is not yet committed to the key-value service.
    Finished,
    /// Has a result that is committed, at a position that never changes.
    Committed,
}

/// How one run of an item ended, with the output so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ItemOutcome {
    /// The output is complete.
    Done(ItemProgress),
    /// Stopped by this host, such as in favour of online work; resumes without a backoff.
    Stopped(ItemProgress),
    /// Interrupted by a fault of the upstream or the connection; resumes after a backoff, without
    /// counting as a failed attempt.
    Broken(ItemProgress),
    /// Not run, as no upstream accepted it; retried after a backoff.
    Unplaced(ItemProgress),
    /// The upstream answered with an internal error; counts as a failed attempt.
    Failed(ItemProgress),
    /// The upstream said that the item can never succeed; becomes a dead letter at once.
    Impossible,
    /// Its route was removed; becomes a dead letter at once.
    Unroutable,
}

#[derive(Debug)]
struct OwnedItem {
    state: ItemState,
    /// Route in the table that is in force; `None` if there is none.
    route: Option<RouteKey>,
    progress: ItemProgress,
    failures: u32,
    backoff_steps: u32,
    not_before: Option<Instant>,
    result: Option<JobResult>,
    /// Whether a run has begun under this host.
    has_begun: bool,
}

#[derive(Debug)]
struct OwnedJob {
    spec: Arc<JobSpec>,
    claim: JobClaim,
    owned_items: Vec<OwnedItem>,
    /// Committed results.
    log: SegmentLog,
    finished_since: Option<Instant>,
    /// The write whose answer is awaited.
    write_in_flight: Option<WriteTicket>,
    commit_not_before: Option<Instant>,
    is_ending: bool,
    /// Whether another host may own the job by now, so that no item begins and no result is committed.
    is_held: bool,
    /// Time until which the owner before may be at work, as it did not answer.
    doubtful_until: Option<Instant>,
    /// Whether any item has had a failed run.
    has_failures: bool,
}

impl OwnedJob {
    /// Whether items may begin and results be committed.
    fn is_active(&self) -> bool {
        !self.is_ending && !self.is_held
    }

    /// Restarts the gathering delay if any finished item is still to be committed.
    fn restart_commit_delay(&mut self, now: Instant) {
        let mut owned_items = self.owned_items.iter();
        let has_finished = owned_items.any(|owned_item| owned_item.state == ItemState::Finished);
        self.finished_since = has_finished.then_some(now);
    }

    /// Items with failed runs and no committed result.
    fn failures(&self) -> Vec<ItemFailures> {
        let owned_items = self.owned_items.iter().enumerate();
        let failed = owned_items.filter(|(_, owned_item)| {
            owned_item.failures > 0 && owned_item.state != ItemState::Committed
        });
        failed
            .map(|(index, owned_item)| (index, owned_item.failures).into())
            .collect()
    }

    /// Whether all items have committed results.
    fn is_complete(&self) -> bool {
        let mut owned_items = self.owned_items.iter();
        owned_items.all(|owned_item| owned_item.state == ItemState::Committed)
    }

    /// Adds segments that the key-value service holds.
    fn apply_segments(&mut self, segments: Vec<ResultSegment>) {
        let first_new = self.log.results().len();
        for segment in segments {
            self.log.apply(segment);
        }
        let items = self.spec.items.iter().enumerate();
        let indices: HashMap<&str, usize> = items
            .map(|(index, item)| (item.id.as_str(), index))
            .collect();
        for result in &self.log.results()[first_new..] {
            if let Some(index) = indices.get(result.id.as_str()) {
                let owned_item = &mut self.owned_items[*index];
                owned_item.state = ItemState::Committed;
                owned_item.result = None;
                owned_item.progress = ItemProgress::default();
            }
        }
    }

    /// Replaces the claim by a newer one, or confirms it.
    fn renew_claim(&mut self, claim: JobClaim) {
        if claim.version() >= self.claim.version() {
            self.claim = claim;
            self.is_held = false;
        }
    }

    /// Whether items that have not succeeded are given up.
    fn is_retention_over(&self, now_ms: u64) -> bool {
        now_ms > self.spec.retention_ms.saturating_add(RETENTION_MARGIN_MS)
    }

    /// Sets the result of an item, to be committed.
    fn finish_item(&mut self, index: usize, state: ResultState, output: Vec<u8>, now: Instant) {
        let owned_item = &mut self.owned_items[index];
        owned_item.state = ItemState::Finished;
        owned_item.progress = ItemProgress::default();
        owned_item.result = Some(JobResult {
            id: self.spec.items[index].id.clone(),
            state,
            output: Bytes::from(output),
        });
        self.finished_since.get_or_insert(now);
    }

    /// Uncommitted results that fit into one segment.
    fn segment_results(&self) -> Vec<JobResult> {
        let mut results = Vec::new();
        let mut bytes = 0;
        for owned_item in &self.owned_items {
            if let (ItemState::Finished, Some(result)) = (owned_item.state, &owned_item.result) {
                bytes += result.output.len();
                if bytes > SEGMENT_BYTES && !results.is_empty() {
                    break;
                }
                results.push(result.clone());
            }
        }
        results
    }

    /// Whether the job is complete once `count` more items have committed results.
    fn is_completed_by(&self, count: usize) -> bool {
        let owned_items = self.owned_items.iter();
        let open = owned_items.filter(|owned_item| owned_item.state != ItemState::Committed);
        open.count() == count
    }

    /// Ends the write in flight if it has this ticket.
    fn end_write(&mut self, ticket: WriteTicket) {
        self.write_in_flight.take_if(|awaited| *awaited == ticket);
    }

    fn delay_commit(&mut self, now: Instant) {
        self.restart_commit_delay(now);
        self.commit_not_before = Some(now + COMMIT_RETRY_DELAY);
    }

    fn select_routes(&mut self, routes: &RouteTable) {
        let items = self.spec.items.iter().zip(&mut self.owned_items);
        for (item, owned_item) in items {
            let path = item.target.split('?').next().unwrap_or_default();
            owned_item.route = routes.select_key(&self.spec.host, path);
        }
    }
}

/// Sort key of waiting items, the least first: in time before late, then by due time, then by
/// events received (the most first), then by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DispatchPriority {
    is_late: bool,
    due_ms: u64,
    reversed_events: u64,
    index: usize,
}

/// The most urgent of the ready items that have the same route.
#[derive(Clone, Debug)]
pub(crate) struct RouteHead {
    /// Route in the table that is in force; `None` for items without one.
    pub(crate) route: Option<RouteKey>,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) index: usize,
    pub(crate) urgency: ItemUrgency,
    /// Version of the software that the item's output comes from.
    pub(crate) software: Option<SoftwareVersion>,
}

/// An item that is dispatched, with the output to resume from.
#[derive(Clone, Debug)]
pub(crate) struct ItemDispatch {
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) index: usize,
    pub(crate) progress: ItemProgress,
    /// Whether the owner before of the job may be at work on the item, of which this is the first run here.
    pub(crate) is_doubtful: bool,
}

/// Waiting items of one job that have the same route and are equally urgent.
#[derive(Clone, Debug)]
pub(crate) struct WaitingGroup {
    pub(crate) route: Option<RouteKey>,
    pub(crate) urgency: ItemUrgency,
    pub(crate) count: usize,
}

/// Identifies one write among all of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WriteTicket(u64);

/// Results to write as one segment, based on the claim and the segments that were known when they were
/// collected. Without results, a complete job that is only to be closed.
#[derive(Clone, Debug)]
pub(crate) struct SegmentWrite {
    pub(crate) job: String,
    pub(crate) claim: JobClaim,
    pub(crate) number: usize,
    /// Version of the segment before; `None` for the first.
    pub(crate) previous: Option<KvVersion>,
    pub(crate) results: Vec<JobResult>,
    /// Whether all other items have committed results, so that the write closes the job.
    pub(crate) is_last: bool,
    ticket: WriteTicket,
}

/// The jobs that this host owns, by identifier.
#[derive(Debug, Default)]
pub struct JobTable {
    jobs: HashMap<String, OwnedJob>,
    estimator: DurationEstimator,
    /// The table that the routes of items were selected from.
    routes: Arc<RouteTable>,
    /// Whether jobs are no longer added.
    is_closed: bool,
    /// Number of writes so far.
    writes: u64,
}

impl JobTable {
    /// Adds a job of which `segments` are committed already; all other items wait to run. A job that is
    /// present is continued as by [`Self::renew`]. Does nothing once the table is closed.
    pub(crate) fn insert(
        &mut self,
        spec: Arc<JobSpec>,
        claim: JobClaim,
        segments: Vec<ResultSegment>,
        now: Instant,
    ) {
        if self.is_closed {
            return;
        }
        if self.owns(&spec.id) {
            return self.renew(&spec.id, claim, segments, now);
        }
        let owned_items = spec.items.iter().map(|_| OwnedItem {
            state: ItemState::Waiting,
            route: None,
            progress: ItemProgress::default(),
            failures: 0,
            backoff_steps: 0,
            not_before: None,
            result: None,
            has_begun: false,
        });
        let mut job = OwnedJob {
            owned_items: owned_items.collect(),
            claim,
            log: SegmentLog::default(),
            finished_since: None,
            write_in_flight: None,
            commit_not_before: None,
            is_ending: false,
            is_held: false,
            doubtful_until: None,
            has_failures: false,
            spec,
        };
        job.select_routes(&self.routes);
        job.apply_segments(segments);
        self.jobs.insert(job.spec.id.clone(), job);
    }

    /// Continues `job` under `claim`, unless it is held by a newer one, and adds `segments`. Does nothing
    /// if it is not owned.
    pub(crate) fn renew(
        &mut self,
        job: &str,
        claim: JobClaim,
        segments: Vec<ResultSegment>,
        now: Instant,
    ) {
        if let Some(job) = self.jobs.get_mut(job) {
            job.renew_claim(claim);
            job.apply_segments(segments);
            job.restart_commit_delay(now);
        }
    }

    /// Adds no job from now on.
    pub(crate) fn close(&mut self) {
        self.is_closed = true;
    }

    /// Removes a job; returns whether it was present. The caller stops its running items.
    pub(crate) fn remove(&mut self, job: &str) -> bool {
        self.jobs.remove(job).is_some()
    }

    /// Marks `job` as being ended: from now on no item of it is dispatched and no result committed.
    /// Set before the end is stored, and kept if storing it has an unknown outcome.
    pub(crate) fn mark_ending(&mut self, job: &str) {
        if let Some(job) = self.jobs.get_mut(job) {
            job.is_ending = true;
        }
    }

    /// Jobs that are marked as being ended and whose end is not known to be stored.
    pub(crate) fn ending_jobs(&self) -> Vec<String> {
        let jobs = self.jobs.iter();
        let ending = jobs.filter(|(_, job)| job.is_ending);
        ending.map(|(id, _)| id.clone()).collect()
    }

    /// Whether this host owns `job`.
    pub fn owns(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    /// Identifiers of all owned jobs, with the claims that they are held by.
    pub(crate) fn claims(&self) -> Vec<(String, JobClaim)> {
        let jobs = self.jobs.iter();
        jobs.map(|(id, job)| (id.clone(), job.claim.clone()))
            .collect()
    }

    /// The claim that `job` is held by; `None` if this host does not own it.
    pub(crate) fn claim(&self, job: &str) -> Option<JobClaim> {
        Some(self.jobs.get(job)?.claim.clone())
    }

    /// Notes that the owner before of `job`, which did not answer, may be at work until `until`.
    pub(crate) fn set_doubtful(&mut self, job: &str, until: Instant) {
        if let Some(job) = self.jobs.get_mut(job) {
            job.doubtful_until = Some(until);
        }
    }

    /// Begins no item of `job` and commits no result of it until it is claimed again or removed, if it is
    /// held by a claim before `version`. Returns whether it is.
    pub(crate) fn hold_claimed_before(&mut self, job: &str, version: KvVersion) -> bool {
        let job = self.jobs.get_mut(job);
        let Some(job) = job.filter(|job| job.claim.version() < version) else {
            return false;
        };
        job.is_held = true;
        true
    }

    /// Holds all jobs; returns their number.
    pub(crate) fn hold_all(&mut self) -> usize {
        for job in self.jobs.values_mut() {
            job.is_held = true;
        }
        self.jobs.len()
    }

    /// Jobs that are held.
    pub(crate) fn held_jobs(&self) -> Vec<String> {
        let held = self.jobs.iter().filter(|(_, job)| job.is_held);
        held.map(|(id, _)| id.clone()).collect()
    }

    /// The lease that the owner key of `job` is bound to; `None` if this host does not own the job
    /// or its claim has no lease.
    pub(crate) fn lease(&self, job: &str) -> Option<LeaseId> {
        self.jobs.get(job)?.claim.lease
    }

    /// Number of items of `job` and of its committed results; `None` if this host does not own it.
    pub fn result_counts(&self, job: &str) -> Option<(usize, usize)> {
        let job = self.jobs.get(job)?;
        Some((job.owned_items.len(), job.log.results().len()))
    }

    /// Numbers of known segments of `job` and of its committed results; zero if this host does not own it.
    pub(crate) fn segment_counts(&self, job: &str) -> (usize, usize) {
        let job = self.jobs.get(job);
        job.map_or((0, 0), |job| {
            (job.log.next_number(), job.log.results().len())
        })
    }

    /// Number of stored results of `job` that are left out, as their items have one before.
    pub(crate) fn repeated_results(&self, job: &str) -> usize {
        self.jobs.get(job).map_or(0, |job| job.log.repeated())
    }

    /// Specification of `job` with all items; `None` if this host does not own it.
    pub(crate) fn spec(&self, job: &str) -> Option<Arc<JobSpec>> {
        self.jobs.get(job).map(|job| job.spec.clone())
    }

    /// Number of items, over all owned jobs, that wait or run.
    pub fn open_item_count(&self) -> usize {
        let owned_items = self.jobs.values().flat_map(|job| &job.owned_items);
        owned_items
            .filter(|owned_item| {
                matches!(owned_item.state, ItemState::Waiting | ItemState::Running)
            })
            .count()
    }

    /// Total size in bytes of the item bodies of all owned jobs.
    pub fn body_bytes(&self) -> usize {
        let items = self.jobs.values().flat_map(|job| &job.spec.items);
        items.map(|item| item.body.len()).sum()
    }

    /// Feeds the run-time estimate with a completed item of `events` events, of which its last run
    /// produced `gained` in `time`.
    pub(crate) fn record_duration(&mut self, events: u64, gained: u64, time: Duration) {
        self.estimator.record(events, gained, time);
    }

    /// Selects the routes of all items from `routes` if these are not in use already.
    pub(crate) fn set_routes(&mut self, routes: &Arc<RouteTable>) {
        if Arc::ptr_eq(&self.routes, routes) {
            return;
        }
        self.routes = routes.clone();
        for job in self.jobs.values_mut() {
            job.select_routes(routes);
        }
    }

    /// The ready item to dispatch next of each route that is not in `blocked`, the most urgent one
    /// first. `None` stands for the items without a route.
    ///
    /// Items that are expected to finish by their due time come before those that are not; within
    /// each group the earliest due time wins, then the most events received.
    pub(crate) fn route_heads(
        &self,
        blocked: &HashSet<Option<RouteKey>>,
        now: Instant,
        now_ms: u64,
    ) -> Vec<RouteHead> {
        let position = |route: Option<RouteKey>| route.map_or(0, |key| key.index() + 1);
        let mut is_blocked = vec![false; self.routes.len() + 1];
        for route in blocked {
            is_blocked[position(*route)] = true;
        }
        let mut heads: Vec<Option<(DispatchPriority, &OwnedJob)>> = vec![None; is_blocked.len()];
        for job in self.jobs.values().filter(|job| job.is_active()) {
            for (index, owned_item) in job.owned_items.iter().enumerate() {
                let position = position(owned_item.route);
                if is_blocked[position] || !owned_item.is_ready(now) {
                    continue;
                }
                let urgency = self.urgency(job, owned_item.progress.events, now_ms);
                let priority = DispatchPriority {
                    is_late: urgency.is_late,
                    due_ms: job.spec.due_ms,
                    reversed_events: u64::MAX - owned_item.progress.events,
                    index,
                };
                let head = &mut heads[position];
                if head.is_none_or(|(least, _)| priority < least) {
                    *head = Some((priority, job));
                }
            }
        }
        let mut heads: Vec<(DispatchPriority, &OwnedJob)> = heads.into_iter().flatten().collect();
        heads.sort_by_key(|(priority, _)| *priority);
        let described = heads
            .into_iter()
            .map(|(DispatchPriority { index, .. }, job)| {
                let owned_item = &job.owned_items[index];
                RouteHead {
                    route: owned_item.route,
                    spec: job.spec.clone(),
                    index,
                    urgency: self.urgency(job, owned_item.progress.events, now_ms),
                    software: owned_item.progress.software.clone(),
                }
            });
        described.collect()
    }

    /// Marks a waiting item as running, and returns the output to resume from; `None` if it does not
    /// wait any more, or its job is held or ended.
    pub(crate) fn begin_run(&mut self, head: &RouteHead, now: Instant) -> Option<ItemDispatch> {
        let job = self.jobs.get_mut(&head.spec.id)?;
        if !job.is_active() {
            return None;
        }
        let is_job_doubtful = job.doubtful_until.is_some_and(|until| now < until);
        let owned_item = job.owned_items.get_mut(head.index)?;
        if owned_item.state != ItemState::Waiting {
            return None;
        }
        owned_item.state = ItemState::Running;
        let is_first = !std::mem::replace(&mut owned_item.has_begun, true);
        Some(ItemDispatch {
            spec: head.spec.clone(),
            index: head.index,
            progress: owned_item.progress.clone(),
            is_doubtful: is_job_doubtful && is_first,
        })
    }

    /// Gives up the waiting items whose retention time is over, also ones that never found an
    /// upstream. Returns their jobs and identifiers.
    pub(crate) fn give_up_overdue(&mut self, now: Instant, now_ms: u64) -> Vec<(String, String)> {
        let mut given_up = Vec::new();
        for (id, job) in &mut self.jobs {
            if !job.is_active() || !job.is_retention_over(now_ms) {
                continue;
            }
            for index in 0..job.owned_items.len() {
                if job.owned_items[index].state == ItemState::Waiting {
                    job.finish_item(index, ResultState::DeadLetter, Vec::new(), now);
                    given_up.push((id.clone(), job.spec.items[index].id.clone()));
                }
            }
        }
        given_up
    }

    fn urgency(&self, job: &OwnedJob, events: u64, now_ms: u64) -> ItemUrgency {
        let slack_ms = job.spec.due_ms.saturating_sub(now_ms);
        let ends_ms = now_ms + self.estimator.remaining_ms(events);
        ItemUrgency {
            is_late: ends_ms > job.spec.due_ms,
            slack: Duration::from_millis(slack_ms),
        }
    }

    /// The items that are ready to be dispatched, by job and urgency, the most urgent first.
    pub(crate) fn waiting(&self, now: Instant, now_ms: u64) -> Vec<WaitingGroup> {
        let mut groups: Vec<WaitingGroup> = Vec::new();
        for job in self.jobs.values().filter(|job| job.is_active()) {
            let first_of_job = groups.len();
            for owned_item in &job.owned_items {
                if !owned_item.is_ready(now) {
                    continue;
                }
                let urgency = self.urgency(job, owned_item.progress.events, now_ms);
                let known = groups[first_of_job..]
                    .iter_mut()
                    .find(|group| group.urgency == urgency && group.route == owned_item.route);
                match known {
                    Some(group) => group.count += 1,
                    None => groups.push(WaitingGroup {
                        route: owned_item.route,
                        urgency,
                        count: 1,
                    }),
                }
            }
        }
        groups.sort_by_key(|group| group.urgency);
        groups
    }

    /// Applies the outcome of a run and returns the item's new state; `None` if this host no longer
    /// owns the job. An item that is not running is left as it is.
    ///
    /// A failed item becomes a dead letter after the job's number of attempts, and any item whose
    /// run ends without success does once the job's retention time is over; preemption does not
    /// count.
    pub(crate) fn finish_run(
        &mut self,
        job: &str,
        index: usize,
        outcome: ItemOutcome,
        now: Instant,
        now_ms: u64,
    ) -> Option<ItemState> {
        let owned = self.jobs.get_mut(job)?;
        let attempts = owned.spec.attempts.max(1);
        let is_late = owned.is_retention_over(now_ms);
        let owned_item = &mut owned.owned_items[index];
        if owned_item.state != ItemState::Running {
            return Some(owned_item.state);
        }
        let result = match outcome {
            ItemOutcome::Done(progress) => Some((ResultState::Done, progress)),
            ItemOutcome::Impossible => {
                owned_item.failures = ItemFailures::FOR_GOOD;
                Some((ResultState::DeadLetter, ItemProgress::default()))
            }
            ItemOutcome::Unroutable => Some((ResultState::DeadLetter, ItemProgress::default())),
            ItemOutcome::Failed(progress) => {
                owned_item.failures = owned_item.failures.saturating_add(1);
                let is_over = owned_item.failures >= attempts || is_late;
                owned_item.requeue(progress, now);
                is_over.then(|| (ResultState::DeadLetter, ItemProgress::default()))
            }
            ItemOutcome::Stopped(progress) => {
                owned_item.backoff_steps = 0;
                owned_item.state = ItemState::Waiting;
                owned_item.progress = progress;
                None
            }
            ItemOutcome::Broken(progress) | ItemOutcome::Unplaced(progress) => {
                owned_item.requeue(progress, now);
                is_late.then(|| (ResultState::DeadLetter, ItemProgress::default()))
            }
        };
        owned.has_failures |= owned.owned_items[index].failures > 0;
        if let Some((state, progress)) = result {
            owned.finish_item(index, state, progress.text, now);
        }
        Some(owned.owned_items[index].state)
    }

    /// What this host has of the items of `job` for the host that takes the job over, except for results.
    pub(crate) fn handed_over(&self, job: &str) -> GivenUpJob {
        GivenUpJob {
            progress: self.checkpoints(job),
            results: Vec::new(),
            failures: self
                .failures(job)
                .map_or_else(Vec::new, |(_, failures)| failures),
        }
    }

    /// Items of `job` with failed runs and no committed result, and the version of the job's `open` key;
    /// `None` if this host does not own it.
    pub(crate) fn failures(&self, job: &str) -> Option<(KvVersion, Vec<ItemFailures>)> {
        let job = self.jobs.get(job)?;
        Some((job.claim.open_version, job.failures()))
    }

    /// Identifiers of the jobs that have such items, with the same.
    pub(crate) fn failed_jobs(&self) -> Vec<(String, KvVersion, Vec<ItemFailures>)> {
        let failed = self.jobs.iter().filter(|(_, job)| job.has_failures);
        let failed = failed.map(|(id, job)| (id.clone(), job.claim.open_version, job.failures()));
        failed
            .filter(|(.., failures)| !failures.is_empty())
            .collect()
    }

    /// Adopts counts of failed runs of items of `job`, where they are greater than what this host has. A
    /// waiting item that has failed as often as the job permits becomes a dead letter. Returns the identifiers
    /// of those.
    pub(crate) fn apply_failures(
        &mut self,
        job: &str,
        failures: Vec<ItemFailures>,
        now: Instant,
    ) -> Vec<String> {
        let Some(job) = self.jobs.get_mut(job) else {
            return Vec::new();
        };
        let mut given_up = Vec::new();
        let attempts = job.spec.attempts.max(1);
        for known in failures {
            let Some(owned_item) = job.owned_items.get_mut(known.index) else {
                continue;
            };
            owned_item.failures = owned_item.failures.max(known.failures);
            let is_over = owned_item.failures >= attempts;
            job.has_failures = true;
            if is_over && owned_item.state == ItemState::Waiting {
                job.finish_item(known.index, ResultState::DeadLetter, Vec::new(), now);
                given_up.push(job.spec.items[known.index].id.clone());
            }
        }
        given_up
    }

    /// Partial output of the waiting items of `job`, for the host that takes the job over.
    fn checkpoints(&self, job: &str) -> Vec<ItemCheckpoint> {
        let Some(job) = self.jobs.get(job) else {
            return Vec::new();
        };
        let owned_items = job.owned_items.iter().enumerate();
        let begun = owned_items.filter(|(_, owned_item)| {
            owned_item.state == ItemState::Waiting && owned_item.progress.events > 0
        });
        let checkpoints = begun.map(|(index, owned_item)| ItemCheckpoint {
            index,
            text: Bytes::from(owned_item.progress.text.clone()),
            last_id: owned_item.progress.last_id,
            events: owned_item.progress.events,
            software: owned_item.progress.software.clone(),
        });
        checkpoints.collect()
    }

    /// Adopts the partial output of items from the job's previous owner, where it is further than
    /// what this host has. Items that are not waiting keep theirs.
    pub(crate) fn apply_checkpoints(&mut self, job: &str, checkpoints: Vec<ItemCheckpoint>) {
        for checkpoint in checkpoints {
            let Some(owned_item) = self.owned_item(job, checkpoint.index) else {
                continue;
            };
            // A host of an earlier version does not tell which software sent the events.
            if owned_item.state == ItemState::Waiting
                && owned_item.progress.events < checkpoint.events
                && checkpoint.software.is_some()
            {
                owned_item.progress = ItemProgress {
                    text: checkpoint.text.to_vec(),
                    last_id: checkpoint.last_id,
                    events: checkpoint.events,
                    software: checkpoint.software,
                };
            }
        }
    }

    /// Results of items of `job` that are not committed.
    pub(crate) fn uncommitted_results(&self, job: &str) -> Vec<JobResult> {
        let Some(job) = self.jobs.get(job) else {
            return Vec::new();
        };
        let owned_items = job.owned_items.iter();
        owned_items
            .filter_map(|owned_item| owned_item.result.clone())
            .collect()
    }

    /// Adopts the results of items that the job's previous owner had not committed. Items that are not
    /// waiting keep theirs.
    pub(crate) fn adopt_results(&mut self, job: &str, results: Vec<JobResult>, now: Instant) {
        let Some(job) = self.jobs.get_mut(job) else {
            return;
        };
        let spec = job.spec.clone();
        for result in results {
            let index = spec.items.iter().position(|item| item.id == result.id);
            if let Some(index) = index
                && job.owned_items[index].state == ItemState::Waiting
            {
                job.finish_item(index, result.state, result.output.to_vec(), now);
            }
        }
    }

    /// Identifiers of the items of `job` that are running.
    pub(crate) fn running_items(&self, job: &str) -> Vec<String> {
        let Some(job) = self.jobs.get(job) else {
            return Vec::new();
        };
        let items = job.spec.items.iter().zip(&job.owned_items);
        let running = items.filter(|(_, owned_item)| owned_item.state == ItemState::Running);
        running.map(|(item, _)| item.id.clone()).collect()
    }

    /// Number of items, over all owned jobs, that are running.
    pub(crate) fn running_item_count(&self) -> usize {
        let owned_items = self.jobs.values().flat_map(|job| &job.owned_items);
        owned_items
            .filter(|owned_item| owned_item.state == ItemState::Running)
            .count()
    }

    /// Collects the segments to write now. A job has at most one write in flight, as segment numbers
    /// follow each other.
    pub(crate) fn take_due_segments(&mut self, now: Instant, now_ms: u64) -> Vec<SegmentWrite> {
        let mut segment_writes = Vec::new();
        for (id, job) in &mut self.jobs {
            let is_writing = job.write_in_flight.is_some();
            if is_writing || !job.is_active() || !is_commit_due(job, now, now_ms) {
                continue;
            }
            self.writes += 1;
            let ticket = WriteTicket(self.writes);
            job.write_in_flight = Some(ticket);
            job.finished_since = None;
            let results = job.segment_results();
            segment_writes.push(SegmentWrite {
                job: id.clone(),
                claim: job.claim.clone(),
                number: job.log.next_number(),
                previous: job.log.last_version(),
                is_last: job.is_completed_by(results.len()),
                results,
                ticket,
            });
        }
        segment_writes
    }

    /// Records that a segment was written with `version`. The job may have been read again since, with or
    /// without the segment.
    pub(crate) fn segment_written(
        &mut self,
        segment_write: &SegmentWrite,
        version: KvVersion,
        now: Instant,
    ) {
        let Some(job) = self.jobs.get_mut(&segment_write.job) else {
            return;
        };
        job.end_write(segment_write.ticket);
        job.apply_segments(vec![ResultSegment {
            number: segment_write.number,
            version,
            results: segment_write.results.clone(),
        }]);
        job.restart_commit_delay(now);
    }

    /// Records that a segment may not have been written; its results are committed again after
    /// `COMMIT_RETRY_DELAY`.
    pub(crate) fn segment_failed(&mut self, segment_write: &SegmentWrite, now: Instant) {
        if let Some(job) = self.jobs.get_mut(&segment_write.job) {
            job.end_write(segment_write.ticket);
            job.delay_commit(now);
        }
    }

    /// Commits no result of `job` for `COMMIT_RETRY_DELAY`, as it could not be read.
    pub(crate) fn delay_commit(&mut self, job: &str, now: Instant) {
        if let Some(job) = self.jobs.get_mut(job) {
            job.delay_commit(now);
        }
    }

    /// Adds segments of `job` that the key-value service holds.
    pub(crate) fn apply_segments(&mut self, job: &str, segments: Vec<ResultSegment>, now: Instant) {
        if let Some(job) = self.jobs.get_mut(job) {
            job.apply_segments(segments);
            job.restart_commit_delay(now);
        }
    }

    /// Whether all items of `job` have committed results; false if this host does not own it.
    pub(crate) fn is_complete(&self, job: &str) -> bool {
        self.jobs.get(job).is_some_and(OwnedJob::is_complete)
    }

    /// One page of committed results of `job` from position `after`; `None` if this host does not
    /// own it.
    pub(crate) fn page(&self, job: &str, after: usize) -> Option<ResultPage> {
        let job = self.jobs.get(job)?;
        Some(page_of(job.log.results(), job.owned_items.len(), after))
    }

    fn owned_item(&mut self, job: &str, index: usize) -> Option<&mut OwnedItem> {
        self.jobs.get_mut(job)?.owned_items.get_mut(index)
    }
}

impl OwnedItem {
    /// Whether the item waits and its backoff is over.
    fn is_ready(&self, now: Instant) -> bool {
        self.state == ItemState::Waiting && self.not_before.is_none_or(|at| now >= at)
    }

    fn requeue(&mut self, progress: ItemProgress, now: Instant) {
        // A run that made progress shows that the item can run, so the backoff starts over.
        if progress.events > self.progress.events {
            self.backoff_steps = 0;
        }
        let backoff = FIRST_BACKOFF * 2u32.pow(self.backoff_steps.min(5));
        self.backoff_steps += 1;
        self.state = ItemState::Waiting;
        self.progress = progress;
        self.not_before = Some(now + backoff.min(MAX_BACKOFF));
    }
}

/// The results in `committed` from position `after` that fit into one page. The page holds at least
/// one result if there is one, even if that is larger than a page, so that readers make progress.
pub(crate) fn page_of(committed: &[JobResult], total: usize, after: usize) -> ResultPage {
    let mut results = Vec::new();
    let mut bytes = 0;
    for result in committed.iter().skip(after) {
        bytes += result.output.len();
        if bytes > MAX_PAGE_BYTES && !results.is_empty() {
            break;
        }
        results.push(result.clone());
    }
    ResultPage {
        total,
        next: after + results.len(),
        results,
    }
}

fn is_commit_due(job: &OwnedJob, now: Instant, now_ms: u64) -> bool {
    if job.commit_not_before.is_some_and(|at| now < at) {
        return false;
    }
    // Complete and not dropped: the job is still open.
    if job.is_complete() {
        return true;
    }
    let Some(since) = job.finished_since else {
        return false;
    };
    let has_open = job
        .owned_items
        .iter()
        .any(|owned_item| matches!(owned_item.state, ItemState::Waiting | ItemState::Running));
    let left = Duration::from_millis(job.spec.due_ms.saturating_sub(now_ms));
    // The next owner would run an item that failed for good again.
    let has_dead_letter = job.owned_items.iter().any(|owned_item| {
        let result = owned_item.result.as_ref();
        result.is_some_and(|result| result.state == ResultState::DeadLetter)
    });
    let delay = match left < NEARLY_DUE_TIME || has_dead_letter {
        true => SHORT_COMMIT_DELAY,
        false => COMMIT_DELAY,
    };
    !has_open || now - since >= delay
}
