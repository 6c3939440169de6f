//! A claimed job in the memory of its owner: items to dispatch, leases of dispatched items, and
//! results to commit.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use crate::batch::input::MAX_VALUE_BYTES;
use crate::batch::input::item_lines;
use crate::batch::item_set::ItemSet;
use crate::batch::ledger::JobHolder;
use crate::batch::ledger::JobRecord;
use crate::batch::ledger::LedgerError;
use crate::batch::ledger::PackCommit;
use crate::batch::ledger::PackRef;
use crate::batch::message::DispatchOutcome;
use crate::batch::message::ItemEnd;
use crate::batch::message::JobAnnouncement;
use crate::batch::message::WorkItem;
use crate::batch::outcome::error_line;
use crate::batch::outcome::prompt_prefix_hash;
use crate::batch::store::VersionedJob;
use crate::batch::stored::ItemResult;
use crate::batch::stored::encode_pack;
use crate::collections::HashMap;
use crate::edges::kv::KvVersion;
use crate::ids::HostId;

/// Failed executions after which an item ends with an error.
const MAX_ITEM_ATTEMPTS: u32 = 4;
/// Backoff before the second execution of an item; doubles with each further one.
const FIRST_RETRY_BACKOFF: Duration = Duration::from_secs(1);
/// Time without a report after which a host loses its items, which are then dispatched again.
const ITEM_LEASE_TTL: Duration = Duration::from_secs(8);
/// Number of pending items below which the next segment is loaded.
const MIN_PENDING_ITEMS: usize = 256;
/// Number of results that are committed once the oldest has reached [`EARLY_COMMIT_AGE`]. Fewer
/// wait until [`MAX_RESULT_AGE`], as each commit writes a pack and replaces the record.
const EARLY_COMMIT_RESULTS: usize = 256;
/// Age of the oldest result from which on [`EARLY_COMMIT_RESULTS`] results are committed.
const EARLY_COMMIT_AGE: Duration = Duration::from_secs(2);
/// Age of the oldest result at which results are committed, however few they are.
const MAX_RESULT_AGE: Duration = Duration::from_secs(6);
/// Uncompressed size of the results in bytes from which on they are committed at any age.
const FULL_PACK_BYTES: usize = 1024 * 1024;
/// Longest time between writes of a job with dispatched items. Hosts that don't see the owner as
/// live take the job over when its record stays unchanged for longer than the claim timeout.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(6);
/// Writes of a job without dispatched items, at least, until it is due. An owner that is gone has left at
/// most that part of the time uncounted.
const IDLE_WRITES_UNTIL_DUE: u32 = 24;
/// Time since the last confirmation of the record's version for which the owner answers reads from
/// memory. After that the job may have been taken over or cancelled without notice.
const MAX_UNVERIFIED_AGE: Duration = Duration::from_secs(30);

/// A dispatched item. The host that runs it renews the lease by its reports.
struct ItemLease {
    host: HostId,
    item: WorkItem,
    renewed_at: Instant,
}

/// A write in progress. It stays unchanged until its outcome is known, so that a retry is
/// recognised as the same write.
#[derive(Clone, Debug)]
pub(crate) struct JobWrite {
    /// Pack with its encoded value, written before the record; absent if the write commits no
    /// results.
    pub(crate) pack: Option<(PackRef, Bytes)>,
    /// New record, which replaces the one at `version`.
    pub(crate) next: JobRecord,
    /// Version that the stored record must still have for the write to take effect.
    pub(crate) version: KvVersion,
    /// Results that the write commits.
    pub(crate) results: Vec<ItemResult>,
}

/// A job that this host owns.
pub(crate) struct JobRun {
    record: JobRecord,
    version: KvVersion,
    claim: JobHolder,
    /// Index of the segment to load next.
    next_segment: usize,
    /// Number of the first item of that segment.
    next_item: u64,
    /// Whether a segment is being loaded.
    is_loading: bool,
    /// Items to dispatch, in this order.
    pending: VecDeque<WorkItem>,
    /// Items that wait for a retry, with the time when they may be dispatched again.
    delayed: Vec<(Instant, WorkItem)>,
    /// Dispatched items by number.
    leases: HashMap<u64, ItemLease>,
    /// Failed executions of items without a result.
    attempts: BTreeMap<u64, u32>,
    /// Results that are not committed yet.
    results: Vec<ItemResult>,
    /// Size of the lines of `results` in bytes.
    result_bytes: usize,
    oldest_result_at: Option<Instant>,
    /// Items that have a result, committed or not.
    finished_items: ItemSet,
    is_writing: bool,
    written_at: Instant,
    /// Time for which the job was open before this owner had it, and since when this owner has it.
    open_before: (Duration, Instant),
    /// When the last call was sent whose answer showed that the stored record has `version`; absent
    /// after a stall of the process.
    verified_at: Option<Instant>,
    /// When a stall of the process was last noticed. Calls from before it prove nothing.
    stalled_at: Option<Instant>,
}

impl JobRun {
    /// Returns the run of a job whose claim this process has written by a call that was sent at
    /// `sent_at`. No segment is loaded yet.
    pub(crate) fn new(job: VersionedJob, claim: JobHolder, sent_at: Instant) -> Self {
        let VersionedJob { record, version } = job;
        let open_before = Duration::from_millis(record.open_ms);
        Self {
            attempts: record.attempts.clone(),
            finished_items: record.done.clone(),
            record,
            version,
            claim,
            next_segment: 0,
            next_item: 0,
            is_loading: false,
            pending: VecDeque::new(),
            delayed: Vec::new(),
            leases: HashMap::default(),
            results: Vec::new(),
            result_bytes: 0,
            oldest_result_at: None,
            is_writing: false,
            written_at: Instant::now(),
            open_before: (open_before, Instant::now()),
            verified_at: Some(sent_at),
            stalled_at: None,
        }
    }

    /// Time for which owners have had the job open.
    fn open_time(&self) -> Duration {
        let (before, since) = self.open_before;
        before.saturating_add(since.elapsed())
    }

    /// Time for which the job may be open.
    fn window(&self) -> Duration {
        let millis = self
            .record
            .expires_ms
            .saturating_sub(self.record.created_ms);
        Duration::from_millis(millis)
    }

    /// Whether the job is past due, by the measured time: the clock by which it was accepted may be wrong,
    /// or this host's.
    pub(crate) fn is_overdue(&self) -> bool {
        self.open_time() >= self.window()
    }

    fn heartbeat_interval(&self) -> Duration {
        match self.leases.is_empty() {
            true => HEARTBEAT_INTERVAL.max(self.window() / IDLE_WRITES_UNTIL_DUE),
            false => HEARTBEAT_INTERVAL,
        }
    }

    /// Record as last written to the key-value service.
    pub(crate) fn record(&self) -> &JobRecord {
        &self.record
    }

    /// Claim under which this host owns the job; all writes of the run are fenced by it.
    pub(crate) fn claim(&self) -> &JobHolder {
        &self.claim
    }

    /// Whether the version was confirmed less than [`MAX_UNVERIFIED_AGE`] ago, so that reads may be
    /// answered from memory.
    pub(crate) fn is_fresh(&self) -> bool {
        let verified_at = self.verified_at;
        verified_at.is_some_and(|verified_at| verified_at.elapsed() < MAX_UNVERIFIED_AGE)
    }

    /// Marks the record as verified if the stored one, read at `version` by a call that was sent at
    /// `sent_at`, is the same.
    pub(crate) fn confirm_version(&mut self, version: KvVersion, sent_at: Instant) {
        if version == self.version {
            self.verify(sent_at);
        }
    }

    fn verify(&mut self, sent_at: Instant) {
        if self.stalled_at.is_none_or(|stalled| sent_at >= stalled) {
            self.verified_at = self.verified_at.max(Some(sent_at));
        }
    }

    /// Marks the record as unverified after a stall of the process, during which the job may have
    /// been taken over. Reads then go to the key-value service until the version is confirmed.
    pub(crate) fn mark_unverified(&mut self) {
        self.verified_at = None;
        self.stalled_at = Some(Instant::now());
    }

    /// Size of the uncommitted results in bytes.
    pub(crate) fn uncommitted_bytes(&self) -> usize {
        self.result_bytes
    }

    /// Announcement that this host owns the job.
    pub(crate) fn announcement(&self) -> JobAnnouncement {
        JobAnnouncement {
            job: self.record.id.clone(),
            workspace: self.record.workspace.clone(),
            endpoint: self.record.request.endpoint,
            owner: Some(self.claim.host.clone()),
            epoch: self.claim.epoch,
            expires_ms: self.record.expires_ms,
        }
    }

    /// Returns the number of the segment to load if fewer than [`MIN_PENDING_ITEMS`] items are
    /// pending and none is being loaded. Segments without an unfinished item are skipped.
    ///
    /// The caller must end the load by [`Self::add_segment`] or [`Self::abandon_segment_load`].
    pub(crate) fn begin_segment_load(&mut self) -> Option<u32> {
        while let Some(segment) = self.record.segments.get(self.next_segment) {
            let range = self.next_item..self.next_item + segment.items;
            if !self.finished_items.covers(range.clone()) {
                break;
            }
            self.next_item = range.end;
            self.next_segment += 1;
        }
        let should_load = !self.is_loading
            && self.pending.len() < MIN_PENDING_ITEMS
            && self.next_segment < self.record.segments.len();
        should_load.then(|| {
            self.is_loading = true;
            self.next_segment as u32
        })
    }

    /// Adds the unfinished items of the segment that was loaded. Items with the same prompt prefix
    /// are grouped, so that they run close together and can use an engine's prefix cache.
    pub(crate) fn add_segment(&mut self, content: &[u8]) {
        self.is_loading = false;
        let first = self.next_item;
        let mut groups: HashMap<u64, usize> = HashMap::default();
        let mut items = Vec::new();
        for (offset, line) in item_lines(content).enumerate() {
            let item = first + offset as u64;
            if self.finished_items.contains(item) {
                continue;
            }
            let line = String::from_utf8_lossy(line).into_owned();
            let count = groups.len();
            let group = *groups.entry(prompt_prefix_hash(&line)).or_insert(count);
            items.push((group, WorkItem { item, line }));
        }
        items.sort_by_key(|(group, work)| (*group, work.item));
        self.pending.extend(items.into_iter().map(|(_, work)| work));
        self.next_item += self.record.segments[self.next_segment].items;
        self.next_segment += 1;
    }

    /// Ends a failed load; the segment may be loaded again.
    pub(crate) fn abandon_segment_load(&mut self) {
        self.is_loading = false;
    }

    /// Dispatches up to `max` items to `host`, each with a lease.
    pub(crate) fn dispatch(&mut self, host: &HostId, max: usize) -> Vec<WorkItem> {
        self.requeue_delayed();
        let count = max.min(self.pending.len());
        let items: Vec<WorkItem> = self.pending.drain(..count).collect();
        for item in &items {
            let lease = ItemLease {
                host: host.clone(),
                item: item.clone(),
                renewed_at: Instant::now(),
            };
            self.leases.insert(item.item, lease);
        }
        items
    }

    /// Renews the leases of the items that `host` reports as running. The lease of an item that is
    /// missing from the reports expires, and the item is dispatched again.
    pub(crate) fn renew_leases(&mut self, host: &HostId, running: &[u64]) {
        for item in running {
            if let Some(lease) = self.leases.get_mut(item)
                && lease.host == *host
            {
                lease.renewed_at = Instant::now();
            }
        }
    }

    /// Applies the outcome of one item that ran on `from`. Outcomes of unknown items and of items that
    /// already have a result are ignored. Only a result counts from a host that has lost the item's lease.
    pub(crate) fn apply_outcome(&mut self, from: &HostId, outcome: DispatchOutcome) {
        let DispatchOutcome { item, end } = outcome;
        if item >= self.record.counts.total || self.finished_items.contains(item) {
            self.leases.remove(&item);
            return;
        }
        let has_lease = self
            .leases
            .get(&item)
            .is_some_and(|lease| lease.host == *from);
        match end {
            ItemEnd::Result { failed, line } => self.add_result(item, failed, line),
            _ if !has_lease => {}
            ItemEnd::Failed { code, message } => self.record_failure(item, &code, &message),
            ItemEnd::Deferred { wait_ms: 0 } => {
                if let Some(lease) = self.leases.remove(&item) {
                    self.pending.push_front(lease.item);
                }
            }
            ItemEnd::Deferred { wait_ms } => self.delay(item, Duration::from_millis(wait_ms)),
        }
    }

    /// Puts items back in the queue whose host is not live or whose lease has expired. Items that
    /// this host runs itself are exempt.
    ///
    /// Returns whether there were any.
    pub(crate) fn reclaim_items(&mut self, is_live: impl Fn(&HostId) -> bool) -> bool {
        let lost: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| {
                lease.host != self.claim.host
                    && (!is_live(&lease.host) || lease.renewed_at.elapsed() > ITEM_LEASE_TTL)
            })
            .map(|(item, _)| *item)
            .collect();
        for item in &lost {
            if let Some(lease) = self.leases.remove(item) {
                self.pending.push_front(lease.item);
            }
        }
        !lost.is_empty()
    }

    /// Ends all items that wait for an execution with the error `batch_expired`, once the job is
    /// past due. Dispatched items may still finish.
    pub(crate) fn expire_items(&mut self) {
        let delayed = std::mem::take(&mut self.delayed);
        let unfinished = delayed.into_iter().map(|(_, work)| work);
        let unfinished: Vec<WorkItem> = self.pending.drain(..).chain(unfinished).collect();
        for work in unfinished {
            let message = "the job was due before the item could run";
            let line = error_line(&self.record.id, &work, "batch_expired", message);
            self.add_result(work.item, true, line);
        }
    }

    /// Returns the commit or heartbeat that is due, or `None` if there is none or a write is in
    /// progress. With `all`, results are committed at any age and number.
    ///
    /// The caller must call [`Self::finish_write`] when the write has taken effect, or drop the run
    /// if the claim is lost.
    pub(crate) fn begin_write(&mut self, all: bool, now_ms: u64) -> Option<JobWrite> {
        if self.is_writing {
            return None;
        }
        let is_last = self.finished_items.len() == self.record.counts.total;
        let age = self.oldest_result_at.map(|oldest| oldest.elapsed());
        let due = age.is_some_and(|age| {
            all || is_last
                || age >= MAX_RESULT_AGE
                || self.result_bytes >= FULL_PACK_BYTES
                || (age >= EARLY_COMMIT_AGE && self.results.len() >= EARLY_COMMIT_RESULTS)
        });
        let write = match due {
            true => self.pack_write(now_ms),
            false if self.written_at.elapsed() >= self.heartbeat_interval() => {
                self.heartbeat_write()
            }
            false => return None,
        };
        self.is_writing = write.is_ok();
        write.ok()
    }

    /// Adopts the record that a write, sent at `sent_at`, has stored, and drops the results that it
    /// committed.
    pub(crate) fn finish_write(&mut self, record: JobRecord, version: KvVersion, sent_at: Instant) {
        self.record = record;
        self.version = version;
        self.is_writing = false;
        self.written_at = Instant::now();
        self.verify(sent_at);
        let done = &self.record.done;
        self.results.retain(|result| !done.contains(result.item));
        self.result_bytes = self.results.iter().map(|result| result.line.len()).sum();
        self.oldest_result_at = (!self.results.is_empty()).then(Instant::now);
    }

    /// Returns the write that releases the claim; `None` if another write is in progress or the
    /// claim is lost.
    pub(crate) fn release_write(&mut self) -> Option<JobWrite> {
        if self.is_writing {
            return None;
        }
        let mut next = self.record.clone();
        next.release(&self.claim).ok()?;
        self.is_writing = true;
        Some(self.write_of(next, None, Vec::new()))
    }

    fn pack_write(&mut self, now_ms: u64) -> Result<JobWrite, LedgerError> {
        let mut count = self.fitting_results();
        let value = loop {
            let value = encode_pack(self.results[..count].to_vec());
            if value.len() <= MAX_VALUE_BYTES || count == 1 {
                break value;
            }
            count /= 2;
        };
        let results = self.results[..count].to_vec();
        let commit = pack_commit(self.claim.epoch, self.record.writes, &results);
        let mut next = self.record.clone();
        next.attempts.clone_from(&self.attempts);
        next.commit(&self.claim, &commit, now_ms)?;
        Ok(self.write_of(next, Some((commit.pack, value)), results))
    }

    fn heartbeat_write(&self) -> Result<JobWrite, LedgerError> {
        let mut next = self.record.clone();
        next.heartbeat(&self.claim, self.attempts.clone())?;
        Ok(self.write_of(next, None, Vec::new()))
    }

    fn write_of(
        &self,
        next: JobRecord,
        pack: Option<(PackRef, Bytes)>,
        results: Vec<ItemResult>,
    ) -> JobWrite {
        let open_ms = self.open_time().as_millis() as u64;
        JobWrite {
            pack,
            next: JobRecord { open_ms, ..next },
            version: self.version,
            results,
        }
    }

    /// Number of results that are tried for one pack: at most twice [`FULL_PACK_BYTES`] before
    /// compression, but at least one.
    fn fitting_results(&self) -> usize {
        let mut bytes = 0;
        let fitting = self.results.iter().take_while(|result| {
            bytes += result.line.len();
            bytes <= 2 * FULL_PACK_BYTES
        });
        fitting.count().max(1)
    }

    fn add_result(&mut self, item: u64, failed: bool, line: String) {
        self.leases.remove(&item);
        self.attempts.remove(&item);
        self.finished_items.insert(item);
        self.result_bytes += line.len();
        self.oldest_result_at.get_or_insert_with(Instant::now);
        self.results.push(ItemResult { item, failed, line });
    }

    fn record_failure(&mut self, item: u64, code: &str, message: &str) {
        let Some(lease) = self.leases.get(&item) else {
            return;
        };
        let attempts = self.attempts.entry(item).or_default();
        *attempts += 1;
        if *attempts >= MAX_ITEM_ATTEMPTS {
            let message = format!("{message} (after {attempts} attempts)");
            let line = error_line(&self.record.id, &lease.item, code, &message);
            return self.add_result(item, true, line);
        }
        let pause = FIRST_RETRY_BACKOFF * 2u32.pow(*attempts - 1);
        self.delay(item, pause);
    }

    fn delay(&mut self, item: u64, pause: Duration) {
        if let Some(lease) = self.leases.remove(&item) {
            self.delayed.push((Instant::now() + pause, lease.item));
        }
    }

    /// Moves delayed items whose backoff has passed to the front of the queue.
    fn requeue_delayed(&mut self) {
        let now = Instant::now();
        let mut index = 0;
        while index < self.delayed.len() {
            match self.delayed[index].0 <= now {
                true => self.pending.push_front(self.delayed.swap_remove(index).1),
                false => index += 1,
            }
        }
    }

    /// Whether a dispatch may return items now, or start to load a segment with more.
    pub(crate) fn may_dispatch(&self) -> bool {
        let now = Instant::now();
        let has_due_retry = self.delayed.iter().any(|(ready, _)| *ready <= now);
        let has_segment = !self.is_loading && self.next_segment < self.record.segments.len();
        !self.pending.is_empty() || has_due_retry || has_segment
    }
}

fn pack_commit(epoch: u64, writes: u64, results: &[ItemResult]) -> PackCommit {
    let numbers = |failed: bool| {
        let chosen = results.iter().filter(move |result| result.failed == failed);
        chosen.map(|result| result.item).collect::<Vec<u64>>()
    };
    let bytes = |failed: bool| {
        let chosen = results.iter().filter(move |result| result.failed == failed);
        chosen.map(|result| result.line.len() as u64 + 1).sum()
    };
    let items = results.iter().map(|result| result.item);
    PackCommit {
        pack: PackRef {
            epoch,
            number: writes as u32,
            items: results.len() as u32,
            first: items.clone().min().unwrap_or_default(),
            last: items.max().unwrap_or_default(),
        },
        completed: numbers(false),
        failed: numbers(true),
        output_bytes: bytes(false),
        error_bytes: bytes(true),
    }
}

impl JobRun {
    /// Uncommitted results, as outcomes to report to the new owner.
    pub(crate) fn into_uncommitted_outcomes(self) -> Vec<DispatchOutcome> {
        let results = self.results.into_iter();
        results
            .map(|result| DispatchOutcome::result(result.item, result.failed, result.line))
            .collect()
    }
}
