//! In-memory state of the jobs that this host owns: progress, retries and results of each item.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use crate::collections::HashMap;
use crate::edges::kv::LeaseId;
use crate::jobs::message::ItemCheckpoint;
use crate::jobs::pace::DurationEstimator;
use crate::jobs::spec::JobResult;
use crate::jobs::spec::JobSpec;
use crate::jobs::spec::ResultPage;
use crate::jobs::spec::ResultState;
use crate::jobs::store::JobClaim;
use crate::jobs::store::SEGMENT_BYTES;

/// Size limit in bytes of one page of results as a caller gets it, after encoding. It is checked
/// against the size of the item output.
const PAGE_BYTES: usize = 700 * 1024;
/// How long finished items wait before they are committed, so that one write covers several.
const GATHER_TIME: Duration = Duration::from_millis(1_200);
/// The same delay for a job with less than `NEARLY_DUE` left.
const SHORT_GATHER_TIME: Duration = Duration::from_millis(100);
/// Time before a job's due time from which results are committed after `SHORT_GATHER_TIME`.
const NEARLY_DUE: Duration = Duration::from_millis(4_000);
/// Backoff after an item's first unsuccessful run; doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Upper bound of that backoff.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_600);
/// Delay before a segment is written again after a write that may have failed.
const COMMIT_PAUSE: Duration = Duration::from_millis(400);

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
    Listed,
}

/// Output of an item so far, from which a later run resumes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ItemProgress {
    /// Data of the events received, joined by line feeds.
    pub(crate) text: Vec<u8>,
    /// Identifier of the last event, which a later run resumes after; `None` if no event had one.
    pub(crate) last_id: Option<u64>,
    /// Number of events received, over all runs.
    pub(crate) events: u64,
}

impl ItemProgress {
    /// Appends the data of an event. An event without an identifier leaves `last_id` unchanged.
    pub(crate) fn push(&mut self, id: Option<u64>, data: &[u8]) {
        if self.events > 0 {
            self.text.push(b'\n');
        }
        self.text.extend_from_slice(data);
        self.last_id = id.or(self.last_id);
        self.events += 1;
    }
}

/// How one run of an item ended, with the output so far.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ItemOutcome {
    /// The output is complete.
    Done(ItemProgress),
    /// Stopped by this host, such as in favour of online work; resumes without a backoff.
    Parked(ItemProgress),
    /// Interrupted by a fault of the upstream or the connection; resumes after a backoff, without
    /// counting as a failed attempt.
    Broken(ItemProgress),
    /// Not run, as no upstream accepted it; retried after a backoff.
    Unplaced(ItemProgress),
    /// The upstream answered with an internal error; counts as a failed attempt.
    Failed(ItemProgress),
    /// Will fail in any run; becomes a dead letter at once.
    Impossible,
}

#[derive(Debug)]
struct OwnedItem {
    state: ItemState,
    progress: ItemProgress,
    failures: u32,
    pauses: u32,
    not_before: Option<Instant>,
    result: Option<JobResult>,
}

#[derive(Debug)]
struct OwnedJob {
    spec: Arc<JobSpec>,
    claim: JobClaim,
    slots: Vec<OwnedItem>,
    listed: Vec<JobResult>,
    segments: usize,
    finished_since: Option<Instant>,
    committing: bool,
    commit_not_before: Option<Instant>,
    is_ending: bool,
}

impl OwnedJob {
    /// Restarts the gathering delay if any finished item is still to be committed.
    fn note_finished(&mut self, now: Instant) {
        let mut slots = self.slots.iter();
        let has_finished = slots.any(|slot| slot.state == ItemState::Finished);
        self.finished_since = has_finished.then_some(now);
    }

    fn is_settled(&self) -> bool {
        self.listed.len() == self.slots.len()
    }
}

/// Sort key of waiting items, the least first: in time before late, then by due time, then by
/// events received (the most first), then by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DispatchPriority {
    is_late: bool,
    due_ms: u64,
    missing: u64,
    index: usize,
}

/// An item to dispatch now, with the output to resume from.
#[derive(Clone, Debug)]
pub(crate) struct ItemDispatch {
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) index: usize,
    pub(crate) progress: ItemProgress,
}

/// Results to write as one segment, based on the claim that was held when they were collected.
#[derive(Clone, Debug)]
pub(crate) struct SegmentWrite {
    pub(crate) job: String,
    pub(crate) claim: JobClaim,
    pub(crate) number: usize,
    pub(crate) results: Vec<JobResult>,
    pub(crate) is_last: bool,
}

/// The jobs that this host owns, by identifier.
#[derive(Debug, Default)]
pub struct JobTable {
    jobs: HashMap<String, OwnedJob>,
    pace: DurationEstimator,
}

impl JobTable {
    /// Adds a job of which the results `listed`, in `segments` segments, are committed already.
    /// All other items wait to run.
    pub(crate) fn insert(
        &mut self,
        spec: Arc<JobSpec>,
        claim: JobClaim,
        listed: Vec<JobResult>,
        segments: usize,
    ) {
        let slots = spec.items.iter().map(|_| OwnedItem {
            state: ItemState::Waiting,
            progress: ItemProgress::default(),
            failures: 0,
            pauses: 0,
            not_before: None,
            result: None,
        });
        let mut job = OwnedJob {
            slots: slots.collect(),
            claim,
            listed: Vec::new(),
            segments,
            finished_since: None,
            committing: false,
            commit_not_before: None,
            is_ending: false,
            spec,
        };
        set_listed(&mut job, listed);
        self.jobs.insert(job.spec.id.clone(), job);
    }

    /// Removes a job; returns whether it was present. The caller stops its running items.
    pub(crate) fn remove(&mut self, job: &str) -> bool {
        self.jobs.remove(job).is_some()
    }

    /// Marks `job` as being ended: from now on no item of it is dispatched and no result committed.
    /// Set before the end is stored, and kept if storing it has an unknown outcome.
    pub(crate) fn stop(&mut self, job: &str) {
        if let Some(job) = self.jobs.get_mut(job) {
            job.is_ending = true;
        }
    }

    /// Jobs that are marked as being ended and whose end is not known to be stored.
    pub(crate) fn ending(&self) -> Vec<String> {
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

    /// Replaces the claim on `job`, as after claiming it again; does nothing if it is not owned.
    pub(crate) fn set_claim(&mut self, job: &str, claim: JobClaim) {
        if let Some(job) = self.jobs.get_mut(job) {
            job.claim = claim;
        }
    }

    /// The lease that the owner key of `job` is bound to; `None` if this host does not own the job
    /// or its claim has no lease.
    pub(crate) fn lease(&self, job: &str) -> Option<LeaseId> {
        self.jobs.get(job)?.claim.lease
    }

    /// Number of items of `job` and of its committed results; `None` if this host does not own it.
    pub fn counts(&self, job: &str) -> Option<(usize, usize)> {
        let job = self.jobs.get(job)?;
        Some((job.slots.len(), job.listed.len()))
    }

    /// Specification of `job` with all items; `None` if this host does not own it.
    pub(crate) fn spec(&self, job: &str) -> Option<Arc<JobSpec>> {
        self.jobs.get(job).map(|job| job.spec.clone())
    }

    /// Number of items, over all owned jobs, that wait or run.
    pub fn open_items(&self) -> usize {
        let slots = self.jobs.values().flat_map(|job| &job.slots);
        slots
            .filter(|slot| matches!(slot.state, ItemState::Waiting | ItemState::Running))
            .count()
    }

    /// Total size in bytes of the item bodies of all owned jobs.
    pub fn stored_bytes(&self) -> usize {
        let items = self.jobs.values().flat_map(|job| &job.spec.items);
        items.map(|item| item.body.len()).sum()
    }

    /// Feeds the run-time estimate with a completed item of `events` events, of which its last run
    /// produced `gained` in `time`.
    pub(crate) fn note_pace(&mut self, events: u64, gained: u64, time: Duration) {
        self.pace.note(events, gained, time);
    }

    /// The waiting item to dispatch next; `None` if no item is ready. Items that are expected to
    /// finish by their due time come before those that are not; within each group the earliest due
    /// time wins, then the most events received.
    pub(crate) fn next_item(&self, now: Instant, now_ms: u64) -> Option<ItemDispatch> {
        let mut best: Option<(DispatchPriority, &OwnedJob)> = None;
        for job in self.jobs.values().filter(|job| !job.is_ending) {
            for (index, slot) in job.slots.iter().enumerate() {
                let is_paused = slot.not_before.is_some_and(|at| now < at);
                if slot.state != ItemState::Waiting || is_paused {
                    continue;
                }
                let ends_ms = now_ms + self.pace.rest_ms(slot.progress.events);
                let rank = DispatchPriority {
                    is_late: ends_ms > job.spec.due_ms,
                    due_ms: job.spec.due_ms,
                    missing: u64::MAX - slot.progress.events,
                    index,
                };
                if best.is_none_or(|(least, _)| rank < least) {
                    best = Some((rank, job));
                }
            }
        }
        let (DispatchPriority { index, .. }, job) = best?;
        Some(ItemDispatch {
            spec: job.spec.clone(),
            index,
            progress: job.slots[index].progress.clone(),
        })
    }

    /// Marks an item as running.
    pub(crate) fn started(&mut self, job: &str, index: usize) {
        if let Some(slot) = self.slot(job, index) {
            slot.state = ItemState::Running;
        }
    }

    /// Applies the outcome of a run and returns the item's new state; `None` if this host no longer
    /// owns the job. An item that is not running is left as it is.
    ///
    /// A failed item becomes a dead letter after the job's number of attempts, and any item whose
    /// run ends without success does once the job's retention time is over; preemption does not
    /// count.
    pub(crate) fn ended(
        &mut self,
        job: &str,
        index: usize,
        outcome: ItemOutcome,
        now: Instant,
        now_ms: u64,
    ) -> Option<ItemState> {
        let owned = self.jobs.get_mut(job)?;
        let attempts = owned.spec.attempts.max(1);
        let is_late = now_ms > owned.spec.retention_ms;
        let id = owned.spec.items[index].id.clone();
        let slot = &mut owned.slots[index];
        if slot.state != ItemState::Running {
            return Some(slot.state);
        }
        let result = match outcome {
            ItemOutcome::Done(progress) => Some((ResultState::Done, progress)),
            ItemOutcome::Impossible => Some((ResultState::DeadLetter, ItemProgress::default())),
            ItemOutcome::Failed(progress) => {
                slot.failures += 1;
                let is_over = slot.failures >= attempts || is_late;
                slot.wait(progress, now);
                is_over.then(|| (ResultState::DeadLetter, ItemProgress::default()))
            }
            ItemOutcome::Parked(progress) => {
                slot.pauses = 0;
                slot.state = ItemState::Waiting;
                slot.progress = progress;
                None
            }
            ItemOutcome::Broken(progress) | ItemOutcome::Unplaced(progress) => {
                slot.wait(progress, now);
                is_late.then(|| (ResultState::DeadLetter, ItemProgress::default()))
            }
        };
        if let Some((state, progress)) = result {
            slot.state = ItemState::Finished;
            slot.progress = ItemProgress::default();
            slot.result = Some(JobResult {
                id,
                state,
                output: Bytes::from(progress.text),
            });
            owned.finished_since.get_or_insert(now);
        }
        Some(owned.slots[index].state)
    }

    /// Partial output of the waiting items of `job`, for the host that takes the job over.
    pub(crate) fn carries(&self, job: &str) -> Vec<ItemCheckpoint> {
        let Some(job) = self.jobs.get(job) else {
            return Vec::new();
        };
        let slots = job.slots.iter().enumerate();
        let begun =
            slots.filter(|(_, slot)| slot.state == ItemState::Waiting && slot.progress.events > 0);
        let carries = begun.map(|(index, slot)| ItemCheckpoint {
            index,
            text: Bytes::from(slot.progress.text.clone()),
            last_id: slot.progress.last_id,
            events: slot.progress.events,
        });
        carries.collect()
    }

    /// Adopts the partial output of items from the job's previous owner, where it is further than
    /// what this host has. Items that are not waiting keep theirs.
    pub(crate) fn take_carries(&mut self, job: &str, carries: Vec<ItemCheckpoint>) {
        for carry in carries {
            let Some(slot) = self.slot(job, carry.index) else {
                continue;
            };
            if slot.state == ItemState::Waiting && slot.progress.events < carry.events {
                slot.progress = ItemProgress {
                    text: carry.text.to_vec(),
                    last_id: carry.last_id,
                    events: carry.events,
                };
            }
        }
    }

    /// Number of items, over all owned jobs, that are running.
    pub(crate) fn running_items(&self) -> usize {
        let slots = self.jobs.values().flat_map(|job| &job.slots);
        slots
            .filter(|slot| slot.state == ItemState::Running)
            .count()
    }

    /// Collects the segments to write now and marks their jobs as committing. A job has at most one
    /// segment write in flight, as segment numbers follow each other.
    pub(crate) fn take_commits(&mut self, now: Instant, now_ms: u64) -> Vec<SegmentWrite> {
        let mut orders = Vec::new();
        for (id, job) in &mut self.jobs {
            if job.committing || job.is_ending || !is_commit_due(job, now, now_ms) {
                continue;
            }
            job.committing = true;
            job.finished_since = None;
            let mut results = Vec::new();
            let mut bytes = 0;
            for slot in &job.slots {
                if let (ItemState::Finished, Some(result)) = (slot.state, &slot.result) {
                    bytes += result.output.len();
                    if bytes > SEGMENT_BYTES && !results.is_empty() {
                        break;
                    }
                    results.push(result.clone());
                }
            }
            orders.push(SegmentWrite {
                job: id.clone(),
                claim: job.claim.clone(),
                number: job.segments,
                is_last: job.listed.len() + results.len() == job.slots.len(),
                results,
            });
        }
        orders
    }

    /// Records that a segment was written; returns whether all results of the job are committed.
    pub(crate) fn committed(&mut self, order: &SegmentWrite, now: Instant) -> bool {
        let Some(job) = self.jobs.get_mut(&order.job) else {
            return false;
        };
        job.committing = false;
        job.segments = order.number + 1;
        let mut listed = std::mem::take(&mut job.listed);
        listed.extend(order.results.iter().cloned());
        set_listed(job, listed);
        job.note_finished(now);
        job.is_settled()
    }

    /// Records that a segment may not have been written; its results are committed again after
    /// `COMMIT_PAUSE`.
    pub(crate) fn commit_failed(&mut self, job: &str, now: Instant) {
        if let Some(job) = self.jobs.get_mut(job) {
            job.committing = false;
            job.finished_since = Some(now);
            job.commit_not_before = Some(now + COMMIT_PAUSE);
        }
    }

    /// Replaces the committed results of `job` by those that the key-value service holds; returns
    /// whether all results of the job are committed.
    pub(crate) fn relist(
        &mut self,
        job: &str,
        listed: Vec<JobResult>,
        segments: usize,
        now: Instant,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(job) else {
            return false;
        };
        job.committing = false;
        job.segments = segments;
        set_listed(job, listed);
        job.note_finished(now);
        job.is_settled()
    }

    /// One page of committed results of `job` from position `after`; `None` if this host does not
    /// own it.
    pub(crate) fn page(&self, job: &str, after: usize) -> Option<ResultPage> {
        let job = self.jobs.get(job)?;
        Some(page_of(&job.listed, job.slots.len(), after))
    }

    fn slot(&mut self, job: &str, index: usize) -> Option<&mut OwnedItem> {
        self.jobs.get_mut(job)?.slots.get_mut(index)
    }
}

impl OwnedItem {
    fn wait(&mut self, progress: ItemProgress, now: Instant) {
        // A run that made progress shows that the item can run, so the backoff starts over.
        if progress.events > self.progress.events {
            self.pauses = 0;
        }
        let pause = FIRST_PAUSE * 2u32.pow(self.pauses.min(5));
        self.pauses += 1;
        self.state = ItemState::Waiting;
        self.progress = progress;
        self.not_before = Some(now + pause.min(LONGEST_PAUSE));
    }
}

/// The results in `listed` from position `after` that fit into one page. The page holds at least
/// one result if there is one, even if that is larger than a page, so that readers make progress.
pub(crate) fn page_of(listed: &[JobResult], total: usize, after: usize) -> ResultPage {
    let mut results = Vec::new();
    let mut bytes = 0;
    for result in listed.iter().skip(after) {
        bytes += result.output.len();
        if bytes > PAGE_BYTES && !results.is_empty() {
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
    let Some(since) = job.finished_since else {
        return false;
    };
    let has_open = job
        .slots
        .iter()
        .any(|slot| matches!(slot.state, ItemState::Waiting | ItemState::Running));
    let left = Duration::from_millis(job.spec.due_ms.saturating_sub(now_ms));
    let gather = match left < NEARLY_DUE {
        true => SHORT_GATHER_TIME,
        false => GATHER_TIME,
    };
    !has_open || now - since >= gather
}

fn set_listed(job: &mut OwnedJob, listed: Vec<JobResult>) {
    let places: HashMap<&str, usize> = job
        .spec
        .items
        .iter()
        .enumerate()
        .map(|(index, item)| (item.id.as_str(), index))
        .collect();
    for result in &listed {
        if let Some(index) = places.get(result.id.as_str()) {
            let slot = &mut job.slots[*index];
            slot.state = ItemState::Listed;
            slot.result = None;
            slot.progress = ItemProgress::default();
        }
    }
    job.listed = listed;
}
