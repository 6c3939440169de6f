//! Reads results and item bodies at any host, whichever host owns the job.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use crate::collections::HashMap;
use crate::jobs::keeper::JobKeeper;
use crate::jobs::message::JobCall;
use crate::jobs::message::JobReply;
use crate::jobs::segments::SegmentLog;
use crate::jobs::spec::JobResult;
use crate::jobs::spec::ResultPage;
use crate::jobs::store::JobOwner;
use crate::jobs::table::JobTable;
use crate::jobs::table::page_of;
use crate::registry::HostEntry;

/// Timeout of a call to a job's owner, beyond the wait that the owner is asked for.
const CALL_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Maximum total size in bytes of the cached final results; beyond it the least recently used job
/// is evicted.
const MAX_CACHED_BYTES: usize = 24 * 1024 * 1024;

/// Result of reading a job's results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// One page of committed results, empty if there is none after the position yet.
    Page(ResultPage),
    /// No job with this identifier is stored.
    NoSuchJob,
    /// Neither the owner nor the key-value service answered, and this host has no results of its
    /// own.
    Unknown,
}

/// Result of reading an item's body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyOutcome {
    /// Request body of the item.
    Body(Bytes),
    /// No job with this identifier is stored, or it has no item with this identifier.
    NotFound,
    /// Neither the owner nor the key-value service answered.
    Unknown,
}

#[derive(Clone, Debug)]
struct CachedResults {
    total: usize,
    results: Arc<Vec<JobResult>>,
    bytes: usize,
    last_used: Instant,
}

/// LRU cache of the final results of finished and ended jobs, limited to `MAX_CACHED_BYTES`.
#[derive(Default)]
pub(super) struct ResultCache {
    jobs: Mutex<HashMap<String, CachedResults>>,
}

impl ResultCache {
    /// Caches the final results of a job and evicts the least recently used jobs beyond the limit.
    pub(super) fn insert(&self, job: &str, page: ResultPage) {
        let bytes = page.results.iter().map(|result| result.output.len()).sum();
        let cached = CachedResults {
            total: page.total,
            results: Arc::new(page.results),
            bytes,
            last_used: Instant::now(),
        };
        let mut jobs = self.jobs.lock().expect("result cache lock");
        jobs.insert(job.to_owned(), cached);
        while jobs.values().map(|job| job.bytes).sum::<usize>() > MAX_CACHED_BYTES {
            let oldest = jobs.iter().min_by_key(|(_, job)| job.last_used);
            let Some(oldest) = oldest.map(|(id, _)| id.clone()) else {
                break;
            };
            jobs.remove(&oldest);
        }
    }

    /// Whether the results of a job are cached.
    pub(super) fn contains(&self, job: &str) -> bool {
        self.jobs
            .lock()
            .expect("result cache lock")
            .contains_key(job)
    }

    fn page(&self, job: &str, after: usize) -> Option<ResultPage> {
        let mut jobs = self.jobs.lock().expect("result cache lock");
        let cached = jobs.get_mut(job)?;
        cached.last_used = Instant::now();
        Some(page_of(&cached.results, cached.total, after))
    }
}

impl JobTable {
    /// All committed results of `job` in one page; `None` if this host does not own it.
    pub(super) fn full_page(&self, job: &str) -> Option<ResultPage> {
        let (total, committed) = self.result_counts(job)?;
        let mut all = ResultPage {
            total,
            ..ResultPage::default()
        };
        while all.results.len() < committed {
            let page = self.page(job, all.results.len())?;
            all.results.extend(page.results);
        }
        all.next = all.results.len();
        Some(all)
    }
}

impl JobKeeper {
    /// Reads one page of results of `job` from position `after`, waiting up to `wait` for one.
    /// Asks, in this order: this host, the cached owner, the owner named by the key-value service,
    /// and the results stored there.
    pub async fn read(&self, job: &str, after: usize, wait: Duration) -> ReadOutcome {
        let until = Instant::now() + wait;
        if let Some(page) = self.read_local(job, after, until).await {
            return ReadOutcome::Page(page);
        }
        for _ in 0..2 {
            if let Some(host) = self.cached_owner(job)
                && let Some(page) = self.read_from_owner(&host, job, after, until).await
            {
                return ReadOutcome::Page(page);
            }
            let open = self.shared.store.open_job(job).await;
            match open {
                Ok(Some(open)) => match &open.owner {
                    Some((owner, version)) if !self.is_cached_owner(job, &owner.host) => {
                        self.see_owner(job, owner, *version);
                    }
                    _ => break,
                },
                Ok(None) => break,
                Err(_) => return self.read_in_memory(job, after),
            }
        }
        self.read_stored(job, after).await
    }

    /// Reads results of a job that this host owns, waiting for one until `until`, or of one whose
    /// final results are cached here; `None` for any other job.
    pub(super) async fn read_local(
        &self,
        job: &str,
        after: usize,
        until: Instant,
    ) -> Option<ResultPage> {
        loop {
            let committed = self.shared.results_committed.notified();
            let page = match self.holds_current_lease(job) {
                true => self.with_table(|table| table.page(job, after)),
                false => None,
            };
            let Some(page) = page else {
                return self.shared.result_cache.page(job, after);
            };
            if !page.results.is_empty() || page.next >= page.total || Instant::now() >= until {
                return Some(page);
            }
            let _ = tokio::time::timeout_at(until, committed).await;
        }
    }

    /// Whether no other host can have committed results of `job`: the claim on it is bound to the
    /// lease that this host holds now. While the key-value service is unreachable, this is the best
    /// that the host can know.
    fn holds_current_lease(&self, job: &str) -> bool {
        let lease = self.with_table(|table| table.lease(job));
        lease.is_some() && lease == self.shared.registry.lease()
    }

    async fn read_from_owner(
        &self,
        host: &HostEntry,
        job: &str,
        after: usize,
        until: Instant,
    ) -> Option<ResultPage> {
        let wait = until.saturating_duration_since(Instant::now());
        let call = JobCall::Read {
            job: job.to_owned(),
            after,
            wait_ms: wait.as_millis() as u64,
        };
        match self
            .shared
            .peers
            .call(host, call, wait + CALL_TIMEOUT_MARGIN)
            .await
        {
            Ok(JobReply::Page(page)) => Some(page),
            _ => None,
        }
    }

    /// Results that this host has in memory, for use while the key-value service does not answer.
    /// An empty page would be no evidence, so it is not returned.
    fn read_in_memory(&self, job: &str, after: usize) -> ReadOutcome {
        match self.with_table(|table| table.page(job, after)) {
            Some(page) if !page.results.is_empty() => ReadOutcome::Page(page),
            _ => ReadOutcome::Unknown,
        }
    }

    async fn read_stored(&self, job: &str, after: usize) -> ReadOutcome {
        match self.shared.store.load(job).await {
            Ok(Some(stored)) => {
                let total = stored.info.total;
                let log = SegmentLog::new(stored.segments);
                self.log_repeated(job, log.repeated());
                let is_final = log.results().len() == total || stored.is_ended;
                let page = page_of(log.results(), total, after);
                if is_final {
                    let all = ResultPage {
                        total,
                        next: log.results().len(),
                        results: log.results().to_vec(),
                    };
                    self.shared.result_cache.insert(job, all);
                }
                ReadOutcome::Page(page)
            }
            Ok(None) if self.shared.attempts.has_open(job) => ReadOutcome::Unknown,
            Ok(None) => ReadOutcome::NoSuchJob,
            Err(_) => ReadOutcome::Unknown,
        }
    }

    /// Reads the request body of an item of `job`: from this host, the job's owner or the key-value
    /// service.
    pub async fn body(&self, job: &str, item: &str) -> BodyOutcome {
        let own = self.with_table(|table| table.spec(job));
        if let Some(spec) = own {
            let found = spec.items.iter().find(|known| known.id == item);
            return found.map_or(BodyOutcome::NotFound, |item| {
                BodyOutcome::Body(item.body.clone())
            });
        }
        if let Some(host) = self.cached_owner(job) {
            let call = JobCall::Body {
                job: job.to_owned(),
                item: item.to_owned(),
            };
            match self
                .shared
                .peers
                .call(&host, call, CALL_TIMEOUT_MARGIN)
                .await
            {
                Ok(JobReply::Body(body)) => return BodyOutcome::Body(body),
                Ok(JobReply::NoSuchItem) => return BodyOutcome::NotFound,
                _ => {}
            }
        }
        match self.shared.store.load_spec(job).await {
            Ok(Some(spec)) => {
                let found = spec.items.into_iter().find(|known| known.id == item);
                found.map_or(BodyOutcome::NotFound, |item| BodyOutcome::Body(item.body))
            }
            Ok(None) if self.shared.attempts.has_open(job) => BodyOutcome::Unknown,
            Ok(None) => BodyOutcome::NotFound,
            Err(_) => BodyOutcome::Unknown,
        }
    }

    /// Cached owner of `job`, or its last owner if it is closed; `None` if that is this host, is
    /// unknown, or is no longer in the registry.
    pub(super) fn cached_owner(&self, job: &str) -> Option<HostEntry> {
        let host = self.shared.owners.host(job)?;
        match host == self.shared.identity.host {
            true => None,
            false => self
                .shared
                .registry
                .with_list(|list| list.get(&host).cloned()),
        }
    }

    fn is_cached_owner(&self, job: &str, host: &str) -> bool {
        self.shared.owners.host(job).as_deref() == Some(host)
    }

    /// Caches the host named `host` as the owner of `job`, by a claim of which no version is known.
    pub(super) fn cache_owner(&self, job: &str, host: &str) {
        let owner = self.listed_owner(host);
        self.shared.owners.see_announced(job, &owner);
    }

    /// The process of the host named `host`, as far as this host knows it.
    pub(super) fn listed_owner(&self, host: &str) -> JobOwner {
        let entry = self
            .shared
            .registry
            .with_list(|list| list.get(host).cloned());
        JobOwner {
            host: host.to_owned(),
            incarnation: entry.as_ref().map_or(0, |entry| entry.incarnation),
            process: entry.as_ref().map_or(0, |entry| entry.process),
            peers: entry.map(|entry| entry.peers),
        }
    }
}
