//! Ownership of jobs: claiming those without an owner, and noticing lost ones.

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

/// Jobs that one scan claims at most, so that a host that comes first does not take all.
const MAX_CLAIMS: usize = 8;
/// Hosts of a large fleet that look for jobs without an owner; the others only look from time to
/// time.
const SCANNERS: usize = 12;
/// Scans of those that the other hosts leave out.
const SELDOM: u32 = 4;
/// Key that draws the hosts that look.
const SCAN_KEY: &str = "scan";
/// Hosts that may claim a job in the same scan; the first of them gets it.
const CLAIMERS_PER_SCAN: u32 = 3;

/// The host that owns a job, or owned it last.
#[derive(Clone, Debug)]
pub(super) struct CachedOwner {
    pub(super) host: String,
    seen: Instant,
}

impl CachedOwner {
    /// Returns an owner that is known since now.
    pub(super) fn new(host: String) -> Self {
        Self {
            host,
            seen: Instant::now(),
        }
    }
}

/// What earlier scans saw.
#[derive(Debug, Default)]
pub(super) struct OrphanTracker {
    /// Number of scans in a row in which a job had no owner.
    ownerless: HashMap<String, u32>,
}

impl OrphanTracker {
    /// Notes a scan and returns how often each job was seen without an owner, this time included.
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
    /// Looks at all open jobs again and again.
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

    /// Hosts that own jobs look at each interval, as a lost one has to be noticed, and so do some
    /// others, for jobs that nobody owns.
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
                // An earlier process of this host can do nothing more.
                Some((owner, _))
                    if owner.host == own.host && owner.incarnation != own.incarnation =>
                {
                    claims.push(job);
                }
                // A submission or claim whose answer was lost has made this host the owner.
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
            // The owner itself claims again first; then the other hosts, one after the other.
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

    /// Runs a job that the service says is this host's, if it is still open.
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

    /// Removes jobs that were closed long ago, again and again.
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

    /// Place of this host among all hosts in the order that `key` draws, from 0.
    fn rank(&self, key: &str) -> u32 {
        rank_among(&self.shared.owner.host, &self.others(), key)
    }

    /// Place of this host in the order in which hosts claim `job`, from 0, among `others` in the
    /// order of [`SCAN_KEY`]. The hosts that look at each interval come first.
    fn claim_rank(&self, job: &str, others: &[HostEntry]) -> u32 {
        let own = &self.shared.owner.host;
        let (scanners, seldom) = others.split_at(SCANNERS.min(others.len()));
        match rank_among(own, others, SCAN_KEY) < SCANNERS as u32 {
            true => rank_among(own, scanners, job),
            false => scanners.len() as u32 + rank_among(own, seldom, job),
        }
    }

    /// The other hosts that may own `job`, in the order in which they claim it.
    pub(super) fn successors(&self, job: &str) -> Vec<HostEntry> {
        let mut hosts = self.others();
        hosts.sort_by_key(|entry| std::cmp::Reverse(rendezvous_score(&entry.host, job)));
        hosts
    }

    /// The other hosts that take callers.
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

    /// Claims a job that its owner hands over, and goes on from what its items have produced.
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

    /// Reads a job of this host and runs what is missing. If it can't be read, a later scan
    /// finds a job of this host that the host does not run.
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

    /// Goes on with a job of this host under another claim. Another host may have owned the job
    /// and listed results in between.
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
        // The last owner of a finished job still remembers its results.
        owners.retain(|_, known| now - known.seen < self.shared.plan.keep_time);
        for job in &open.jobs {
            if let Some((owner, _)) = &job.owner {
                owners.insert(job.id.clone(), CachedOwner::new(owner.host.clone()));
            }
        }
    }

    /// Drops jobs that were ended or finished elsewhere, or that another host owns now.
    async fn drop_lost(&self, open: &OpenJobListing) {
        let known: HashMap<&str, &OpenJob> =
            open.jobs.iter().map(|job| (job.id.as_str(), job)).collect();
        for (id, claim) in self.with_book(|book| book.claims()) {
            // A listing from before the job's creation says nothing about it.
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

    /// Drops a job that a listing did not show, if it is closed indeed.
    async fn drop_closed(&self, id: &str) {
        if let Ok(None) = self.shared.store.open_job(id).await {
            self.drop_job(id, "closed_elsewhere");
        }
    }
}

/// Place of the host `own` among `others` in the order that `key` draws, from 0.
fn rank_among(own: &str, others: &[HostEntry], key: &str) -> u32 {
    let score = rendezvous_score(own, key);
    let is_before = |entry: &&HostEntry| rendezvous_score(&entry.host, key) > score;
    others.iter().filter(is_before).count() as u32
}
