//! Reads and writes the log of one partition. Each segment batches many entries and is created only
//! if its key is absent, so that concurrent writers cannot overwrite each other.
//!
//! A log starts over at segment 0 once all its segments have expired. Each write is therefore conditional on
//! a segment of the log that it continues.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::clock::unix_millis;
use crate::counters::CounterSet;
use crate::counters::RetryReason;
use crate::edges::kv::KvCommit;
use crate::edges::kv::KvEntry;
use crate::edges::kv::KvError;
use crate::edges::kv::KvPut;
use crate::edges::kv::KvStore;
use crate::edges::kv::KvVersion;
use crate::edges::kv::LeaseId;
use crate::edges::kv::MAX_VALUE_BYTES;
use crate::idempotency::message::ClaimReply;
use crate::idempotency::message::ClaimRequest;
use crate::idempotency::state::LogEntry;
use crate::idempotency::state::LogSegment;
use crate::idempotency::state::PartitionState;

/// Time for which claims and recorded responses are kept.
pub(crate) const RETENTION: Duration = Duration::from_secs(15 * 60);

const SEGMENT_FORMAT: u32 = 1;
/// Least time between the starts of two writes of one partition; calls are batched meanwhile.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Age from which the local state is synced with the log before calls are answered from it.
const MAX_STATE_AGE: Duration = Duration::from_secs(3 * 60);
/// Age from which the local state is synced with the log before a claim is refused as taken.
const MAX_TAKEN_STATE_AGE: Duration = Duration::from_secs(1);
const LEASE_SHARING_TIME: Duration = Duration::from_secs(60);
const MAX_BATCH_BYTES: usize = MAX_VALUE_BYTES / 2;
const ENTRY_OVERHEAD_BYTES: usize = 64;
const LIST_PAGE_SIZE: usize = 64;
const WRITE_ATTEMPTS: u32 = 8;
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A queued call with the channel for its reply.
pub(crate) struct ClaimCall {
    pub(crate) request: ClaimRequest,
    pub(crate) reply: oneshot::Sender<ClaimReply>,
}

/// Reader and writer of one partition's log on this host.
pub(crate) struct PartitionLog {
    partition_number: u16,
    kv: Arc<dyn KvStore>,
    counters: Arc<CounterSet>,
    state: PartitionState,
    /// Version of the last segment that was applied; `None` if the log was empty.
    applied: Option<KvVersion>,
    /// A segment that exists as far as this host knows, with its version.
    anchor: Option<(String, KvVersion)>,
    synced_at: Option<Instant>,
    lease: Option<(LeaseId, Instant)>,
    wrote_at: Option<Instant>,
}

impl PartitionLog {
    pub(crate) fn new(
        partition_number: u16,
        kv: Arc<dyn KvStore>,
        counters: Arc<CounterSet>,
    ) -> Self {
        Self {
            partition_number,
            kv,
            counters,
            state: PartitionState::new(),
            applied: None,
            anchor: None,
            synced_at: None,
            lease: None,
            wrote_at: None,
        }
    }

    /// Answers calls in batches until the queue closes.
    pub(crate) async fn run(mut self, mut queue: mpsc::Receiver<ClaimCall>) {
        while let Some(first) = queue.recv().await {
            if let Some(wrote_at) = self.wrote_at {
                tokio::time::sleep_until(wrote_at + WRITE_INTERVAL).await;
            }
            let mut batch = vec![first];
            let mut bytes = 0;
            while bytes < MAX_BATCH_BYTES
                && let Ok(next) = queue.try_recv()
            {
                bytes += request_bytes(&next.request);
                batch.push(next);
            }
            self.answer_batch(batch).await;
        }
    }

    async fn answer_batch(&mut self, batch: Vec<ClaimCall>) {
        let mut waiting = batch;
        for _ in 0..WRITE_ATTEMPTS {
            if self.sync_if_older(MAX_STATE_AGE).await.is_err() {
                self.counters.retry(RetryReason::StoreFailed);
                tokio::time::sleep(WRITE_RETRY_PAUSE).await;
                continue;
            }
            waiting = self.answer_known(waiting).await;
            if waiting.is_empty() {
                return;
            }
            // Two calls may claim the same key: only the first entry takes effect, so the replies
            // are read from the state after all entries are applied.
            let entries = waiting.iter().map(|call| LogEntry::from(&call.request));
            match self.append(entries.collect()).await {
                Ok(()) => {
                    for call in waiting {
                        let reply = self.state.reply_to(&call.request);
                        let _ = call.reply.send(reply.unwrap_or(ClaimReply::Recorded));
                    }
                    return;
                }
                Err(KvError::Conflict { .. }) => self.synced_at = None,
                Err(_) => {
                    self.counters.retry(RetryReason::StoreFailed);
                    tokio::time::sleep(WRITE_RETRY_PAUSE).await;
                }
            }
        }
        for call in waiting {
            let _ = call.reply.send(ClaimReply::Unavailable);
        }
    }

    /// Answers the calls that the local state decides and returns those that need a log entry.
    async fn answer_known(&mut self, batch: Vec<ClaimCall>) -> Vec<ClaimCall> {
        let taken = |state: &PartitionState, call: &ClaimCall| {
            state.reply_to(&call.request) == Some(ClaimReply::Taken)
        };
        if batch.iter().any(|call| taken(&self.state, call)) {
            // Another host may have recorded the response or the release since the last sync.
            let _ = self.sync_if_older(MAX_TAKEN_STATE_AGE).await;
        }
        let mut waiting = Vec::new();
        for call in batch {
            match self.state.reply_to(&call.request) {
                Some(reply) => {
                    let _ = call.reply.send(reply);
                }
                None => waiting.push(call),
            }
        }
        waiting
    }

    /// Creates the next segment with `entries`, if the log has not started over.
    ///
    /// On success the entries are in the log. After [`KvError::Unknown`] they may be written now or
    /// later; after any other error they are not.
    async fn append(&mut self, entries: Vec<LogEntry>) -> Result<(), KvError> {
        self.wrote_at = Some(Instant::now());
        let number = self.state.next_segment();
        let segment = LogSegment {
            format: SEGMENT_FORMAT,
            write_id: rand::random(),
            at_ms: unix_millis(),
            entries,
        };
        let lease = self.lease().await?;
        let key = self.segment_key(number);
        let mut value = Vec::new();
        ciborium::into_writer(&segment, &mut value).expect("segments serialize to CBOR");
        let value = Bytes::from(value);
        let anchor = self.anchor.clone();
        let anchor = anchor.map(|(key, version)| (key, Some(version)));
        let commit = KvCommit {
            expect: std::iter::once((key.clone(), None)).chain(anchor).collect(),
            puts: vec![KvPut {
                key: key.clone(),
                value,
                lease: Some(lease),
            }],
            deletes: Vec::new(),
        };
        let version = match self.kv.commit(commit).await {
            Ok(version) => version,
            Err(err @ (KvError::Conflict { .. } | KvError::Unknown(_))) => {
                // The existing segment may be this one, if the reply to an earlier write was lost.
                let Some(entry) = self.kv.get(&key).await? else {
                    return Err(err);
                };
                let found = decode_segment(&entry.value);
                if found.is_none_or(|found| found.write_id != segment.write_id) {
                    return Err(KvError::Conflict { current: None });
                }
                entry.version
            }
            Err(KvError::LeaseLost) => {
                self.lease = None;
                return Err(KvError::LeaseLost);
            }
            Err(err) => return Err(err),
        };
        self.state.apply(number, &segment);
        self.applied = Some(version);
        self.anchor = Some((key, version));
        self.synced_at = Some(Instant::now());
        Ok(())
    }

    async fn sync_if_older(&mut self, age: Duration) -> Result<(), KvError> {
        let fresh = self
            .synced_at
            .is_some_and(|synced_at| synced_at.elapsed() < age);
        match fresh {
            true => Ok(()),
            false => self.sync().await,
        }
    }

    /// Reads the segments that are not applied yet. Starts with an empty state if all applied
    /// segments have expired, or the log has started over since.
    async fn sync(&mut self) -> Result<(), KvError> {
        let started = Instant::now();
        let prefix = self.prefix();
        let known = self.state.next_segment().checked_sub(1);
        let first = self.kv.list(&prefix, None, 1).await?;
        let first = first.entries.into_iter().next();
        let first = first.and_then(|entry| Some((self.segment_number(&entry.key)?, entry)));
        let Some((first, first_entry)) = first else {
            // All segments have expired: every host restarts at segment 0, so that numbers still
            // match.
            self.state = PartitionState::new();
            self.applied = None;
            self.anchor = None;
            self.synced_at = Some(started);
            return Ok(());
        };
        let is_older = known.is_none_or(|known| known < first);
        // Within one log, a segment of a lower number was written earlier.
        let has_started_over = self
            .applied
            .is_none_or(|applied| applied < first_entry.version);
        if is_older || has_started_over {
            self.state = PartitionState::new();
            self.applied = None;
        }
        self.anchor = Some((first_entry.key, first_entry.version));
        self.state.expire_before(first);
        let mut after = self
            .state
            .next_segment()
            .checked_sub(1)
            .map(|last| self.segment_key(last));
        loop {
            let page = self
                .kv
                .list(&prefix, after.as_deref(), LIST_PAGE_SIZE)
                .await?;
            for entry in &page.entries {
                self.apply_stored(entry);
            }
            after = page.entries.last().map(|entry| entry.key.clone());
            if !page.more || after.is_none() {
                break;
            }
        }
        self.synced_at = Some(started);
        Ok(())
    }

    fn apply_stored(&mut self, entry: &KvEntry) {
        let number = self.segment_number(&entry.key);
        if let (Some(number), Some(segment)) = (number, decode_segment(&entry.value)) {
            self.state.apply(number, &segment);
            self.applied = Some(entry.version);
            self.anchor = Some((entry.key.clone(), entry.version));
        }
    }

    /// Returns the lease of new segments, shared by those written within [`LEASE_SHARING_TIME`].
    async fn lease(&mut self) -> Result<LeaseId, KvError> {
        if let Some((lease, granted)) = self.lease
            && granted.elapsed() < LEASE_SHARING_TIME
        {
            return Ok(lease);
        }
        let granted = Instant::now();
        let lease = self.kv.grant_lease(RETENTION + LEASE_SHARING_TIME).await?;
        self.lease = Some((lease, granted));
        Ok(lease)
    }

    fn prefix(&self) -> String {
        format!("idempotency/{:04}/", self.partition_number)
    }

    fn segment_key(&self, segment: u64) -> String {
        format!("{}{segment:016x}", self.prefix())
    }

    fn segment_number(&self, key: &str) -> Option<u64> {
        u64::from_str_radix(key.strip_prefix(&self.prefix())?, 16).ok()
    }
}

fn decode_segment(value: &[u8]) -> Option<LogSegment> {
    let segment: LogSegment = ciborium::from_reader(value).ok()?;
    (segment.format == SEGMENT_FORMAT).then_some(segment)
}

fn request_bytes(request: &ClaimRequest) -> usize {
    match request {
        ClaimRequest::Finish { response, .. } => ENTRY_OVERHEAD_BYTES + response.body.len(),
        ClaimRequest::Claim { .. } | ClaimRequest::Release { .. } => ENTRY_OVERHEAD_BYTES,
    }
}
