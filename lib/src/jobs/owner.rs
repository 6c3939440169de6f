//! Ownership of jobs: claims jobs without an owner and drops those that another host owns now.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::clock::steady_unix_millis;
use crate::collections::HashMap;
use crate::edges::kv::KvError;
use crate::events::LogEvent;
use crate::jobs::keeper::FINISHED;
use crate::jobs::keeper::JobKeeper;
use crate::jobs::message::ItemCheckpoint;
use crate::jobs::store::JobClaim;
use crate::jobs::store::OpenJob;
use crate::jobs::store::OpenJobListing;
use crate::membership::rendezvous_score;
use crate::registry::HostEntry;

/// Maximum number of jobs claimed in one scan. Without a limit, the host that scans first would
/// take all jobs of a lost host.
const MAX_CLAIMS: usize = 8;
/// Number of hosts that scan for jobs without an owner at each interval. The other hosts of a
/// larger fleet scan rarely, so that the load on the key-value service does not grow with the
/// fleet.
const SCANNERS: usize = 12;
/// Factor by which the scan interval of the other hosts is longer.
const SELDOM: u32 = 4;
/// Rendezvous hashing key that selects the hosts that scan at each interval.
const SCAN_KEY: &str = "scan";
/// Number of hosts that may try to claim a job in the same scan, in the order of their ranks; the
/// first write wins. Claims of all hosts at once would mostly conflict.
const CLAIMERS_PER_SCAN: u32 = 3;

/// Cached owner of a job, or its last owner if the job is closed.
#[derive(Clone, Debug)]
pub(super) struct CachedOwner {
    pub(super) host: String,
    seen: Instant,
}

impl CachedOwner {
    /// Creates an entry that was seen now.
    pub(super) fn new(host: String) -> Self {
        Self {
            host,
            seen: Instant::now(),
        }
    }
}

/// Counts, for each job, the scans in a row that found it without an owner.
#[derive(Debug, Default)]
pub(super) struct OrphanTracker {
    /// Scans in a row without an owner, by job, as of the last scan.
    ownerless: HashMap<String, u32>,
}

impl OrphanTracker {
    /// Records the jobs that a scan found without an owner and returns their counts, this scan
    /// included. Jobs that are not in `ownerless` start over.
    fn note(&mut self, ownerless: &[&OpenJob]) -> HashMap<String, u32> {
        let mut counts = HashMap::default();
        for job in ownerless {
            let before = self.ownerless.get(&job.id).copied().unwrap_or(0);
            counts.insert(job.id.clone(), before + 1);
        }
        self.ownerless = counts.clone();
        counts
    }
}

impl JobKeeper {
    /// Periodically scans all open jobs, and retries ending those whose end is not stored yet.
    pub(super) async fn run_scans(&self) {
        loop {
            for job in self.with_book(|book| book.ending()) {
                self.end_own(&job).await;
            }
            if let Ok(open) = self.shared.store.open_jobs().await {
                self.take_scan(&open).await;
            }
            tokio::time::sleep(self.scan_interval()).await;
        }
    }

    /// Delay until the next scan. Hosts that own jobs scan at each interval, as they have to notice
    /// when they lose one; so do the `SCANNERS` hosts that look for jobs without an owner.
    fn scan_interval(&self) -> Duration {
        let interval = self.shared.plan.scan_interval;
        let owns_any = self.with_book(|book| !book.claims().is_empty());
        match owns_any || self.rank(SCAN_KEY) < SCANNERS as u32 {
            true => interval,
            false => interval * SELDOM,
        }
    }

    async fn take_scan(&self, open: &OpenJobListing) {
        self.note_owners(open);
        self.drop_lost(open).await;
        if self.shared.is_leaving.is_cancelled() {
            return;
        }
        let own = &self.shared.owner;
        let mut ownerless = Vec::new();
        let mut claims = Vec::new();
        let mut unknown = Vec::new();
        for job in &open.jobs {
            match &job.owner {
                None => ownerless.push(job),
                // The owner is an earlier process of this host, which has ended, so that the job
                // can be claimed before its lease expires.
                Some((owner, _))
                    if owner.host == own.host && owner.incarnation != own.incarnation =>
                {
                    claims.push(job);
                }
                // The store names this process as the owner, though it does not run the job: the
                // answer to its submission or claim was lost.
                Some((owner, _)) if owner == own && !self.runs_or_ran(&job.id) => {
                    unknown.push(job.id.clone());
                }
                Some(_) => {}
            }
        }
        let counts = self
            .shared
            .watch
            .lock()
            .expect("owner watch lock")
            .note(&ownerless);
        let others = match ownerless.is_empty() {
            true => Vec::new(),
            false => self.successors(SCAN_KEY),
        };
        for job in ownerless {
            let is_mine = self.with_book(|book| book.owns(&job.id));
            let seen = counts.get(&job.id).copied().unwrap_or(0);
            // The host that still runs the job claims it again first; the other hosts follow scan
            // by scan in the order of their ranks.
            if is_mine || seen > 1 + self.claim_rank(&job.id, &others) / CLAIMERS_PER_SCAN {
                claims.push(job);
            }
        }
        claims.truncate(MAX_CLAIMS);
        for job in claims {
            self.claim(job).await;
        }
        for job in unknown {
            self.adopt(&job).await;
        }
    }

    fn runs_or_ran(&self, job: &str) -> bool {
        self.with_book(|book| book.owns(job)) || self.shared.settled.contains(job)
    }

    /// Loads and runs a job if the key-value service names this process as its owner and the job is
    /// still open.
    pub(super) async fn adopt(&self, id: &str) {
        let Ok(Some(job)) = self.shared.store.open_job(id).await else {
            return;
        };
        let is_own = job
            .owner
            .as_ref()
            .is_some_and(|(owner, _)| *owner == self.shared.owner);
        if is_own {
            let claim = JobClaim {
                open: job.version,
                owner: job.owner.map(|(_, version)| version),
                lease: self.shared.registry.lease(),
            };
            self.load(id, claim).await;
        }
    }

    /// Periodically removes jobs that were closed more than `keep_time` ago. Each job is removed by
    /// the host of rank 0 for it.
    pub(super) async fn run_sweeps(&self) {
        loop {
            tokio::time::sleep(self.shared.plan.sweep_interval).await;
            let Ok(closed) = self.shared.store.closed_jobs().await else {
                continue;
            };
            let keep_ms = self.shared.plan.keep_time.as_millis() as u64;
            let oldest = steady_unix_millis().saturating_sub(keep_ms);
            let old = closed
                .into_iter()
                .filter(|(_, closed_ms)| *closed_ms < oldest);
            for (id, _) in old.filter(|(id, _)| self.rank(id) == 0) {
                if self.shared.store.remove(&id).await.is_ok() {
                    self.log_job(&id, "removed", 0, 0);
                }
            }
        }
    }

    /// Rank of this host, from 0, among all hosts in the rendezvous order of `key`.
    fn rank(&self, key: &str) -> u32 {
        rank_among(&self.shared.owner.host, &self.others(), key)
    }

    /// Rank of this host, from 0, in the order in which hosts claim `job`. `others` are the other
    /// hosts in the order of [`SCAN_KEY`]. The hosts that scan at each interval rank before the
    /// rest, which scan rarely.
    fn claim_rank(&self, job: &str, others: &[HostEntry]) -> u32 {
        let own = &self.shared.owner.host;
        let (scanners, seldom) = others.split_at(SCANNERS.min(others.len()));
        match rank_among(own, others, SCAN_KEY) < SCANNERS as u32 {
            true => rank_among(own, scanners, job),
            false => scanners.len() as u32 + rank_among(own, seldom, job),
        }
    }

    /// The other hosts that may own `job`, in its rendezvous order.
    pub(super) fn successors(&self, job: &str) -> Vec<HostEntry> {
        let mut hosts = self.others();
        hosts.sort_by_key(|entry| std::cmp::Reverse(rendezvous_score(&entry.host, job)));
        hosts
    }

    /// The other listed hosts that accept callers.
    fn others(&self) -> Vec<HostEntry> {
        let own = &self.shared.owner.host;
        self.shared.registry.with_list(|list| {
            let entries = list.caller_entries().into_iter();
            let listed = entries.filter(|entry| list.is_listed(&entry.host));
            listed.filter(|entry| entry.host != *own).cloned().collect()
        })
    }

    pub(super) async fn claim(&self, job: &OpenJob) {
        let Some(lease) = self.shared.registry.lease() else {
            return;
        };
        let claim = match self
            .shared
            .store
            .claim(job, &self.shared.owner, lease)
            .await
        {
            Ok(claim) => claim,
            Err(KvError::LeaseLost) => return self.shared.registry.note_lease_lost(lease),
            Err(KvError::Conflict { .. }) => {
                return self.shared.log.write(LogEvent::WriteRejected {
                    job: job.id.clone(),
                    write: "claim".to_owned(),
                    segment: None,
                    based_on: job.version.0,
                });
            }
            Err(_) => return,
        };
        self.load(&job.id, claim).await;
    }

    /// Claims a job that its owner hands over, and resumes its items from `carries`. Returns
    /// whether this host owns the job now; a leaving host takes none.
    pub(super) async fn take_over(&self, id: &str, carries: Vec<ItemCheckpoint>) -> bool {
        if self.shared.is_leaving.is_cancelled() {
            return false;
        }
        match self.shared.store.open_job(id).await {
            Ok(Some(job)) if job.owner.is_none() => self.claim(&job).await,
            _ => return false,
        }
        self.with_book(|book| book.take_carries(id, carries));
        self.with_book(|book| book.owns(id))
    }

    /// Loads a job that this host has claimed, and queues the items without a committed result. If
    /// it can't be read, a later scan finds that this host owns a job that it does not run, and
    /// loads it again.
    async fn load(&self, id: &str, claim: JobClaim) {
        if self.with_book(|book| book.owns(id)) {
            return self.claimed_again(id, claim).await;
        }
        let (Ok(Some(spec)), Ok(Some(stored))) = (
            self.shared.store.load_spec(id).await,
            self.shared.store.load(id).await,
        ) else {
            return;
        };
        self.log_job(id, "taken_over", spec.items.len(), stored.results.len());
        self.shared.news.add(id);
        self.set_owner(id, None);
        self.with_book(|book| {
            if !book.owns(id) {
                book.insert(Arc::new(spec), claim, stored.results, stored.segments);
            }
        });
        self.shared.work.notify_one();
    }

    /// Continues a job that this host already runs under a new claim. Its results are read again,
    /// as another host may have owned the job and committed results in between.
    async fn claimed_again(&self, id: &str, claim: JobClaim) {
        if let Ok(Some(stored)) = self.shared.store.load(id).await {
            let is_settled = self.with_book(|book| {
                book.set_claim(id, claim);
                book.relist(id, stored.results, stored.segments, Instant::now())
            });
            self.shared.listed.notify_waiters();
            if is_settled {
                self.drop_job(id, FINISHED);
            }
        }
    }

    fn note_owners(&self, open: &OpenJobListing) {
        let mut owners = self.shared.owners.lock().expect("owners lock");
        let now = Instant::now();
        // Entries outlive their jobs' open keys, as the last owner of a finished job has its
        // results cached and spares readers the key-value service.
        owners.retain(|_, known| now - known.seen < self.shared.plan.keep_time);
        for job in &open.jobs {
            if let Some((owner, _)) = &job.owner {
                owners.insert(job.id.clone(), CachedOwner::new(owner.host.clone()));
            }
        }
    }

    /// Drops jobs that were ended or finished by another host, or that another process owns now.
    async fn drop_lost(&self, open: &OpenJobListing) {
        let known: HashMap<&str, &OpenJob> =
            open.jobs.iter().map(|job| (job.id.as_str(), job)).collect();
        for (id, claim) in self.with_book(|book| book.claims()) {
            // The listing may be stale: one from before the job was created does not show it.
            if open.revision < claim.open {
                continue;
            }
            match known.get(id.as_str()).and_then(|job| job.owner.as_ref()) {
                Some((owner, _)) if *owner != self.shared.owner => self.drop_job(&id, "lost"),
                Some(_) => {}
                None if known.contains_key(id.as_str()) => {}
                None => self.drop_closed(&id).await,
            }
        }
    }

    /// Drops a job that was missing from a listing, if an up-to-date read confirms that it is
    /// closed.
    async fn drop_closed(&self, id: &str) {
        if let Ok(None) = self.shared.store.open_job(id).await {
            self.drop_job(id, "closed_elsewhere");
        }
    }
}

/// Rank of the host `own`, from 0, among `others` in the rendezvous order of `key`.
fn rank_among(own: &str, others: &[HostEntry], key: &str) -> u32 {
    let score = rendezvous_score(own, key);
    let is_before = |entry: &&HostEntry| rendezvous_score(&entry.host, key) > score;
    others.iter().filter(is_before).count() as u32
}
