//! Ownership of jobs: claims jobs without an owner and drops those that another host owns now.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::clock::steady_unix_millis;
use crate::collections::HashMap;
use crate::edges::kv::Freshness;
use crate::edges::kv::KvError;
use crate::edges::kv::KvVersion;
use crate::events::LogEvent;
use crate::jobs::acceptance::JobAcceptance;
use crate::jobs::changeover::ClaimReason;
use crate::jobs::changeover::PreviousOwner;
use crate::jobs::changeover::Takeover;
use crate::jobs::dispatch::RUN_TIMEOUT;
use crate::jobs::failures::ItemFailures;
use crate::jobs::keeper::JobKeeper;
use crate::jobs::message::GivenUpJob;
use crate::jobs::spec::JobAge;
use crate::jobs::spec::JobSpec;
use crate::jobs::store::ClosedJobListing;
use crate::jobs::store::JobClaim;
use crate::jobs::store::JobOwner;
use crate::jobs::store::OpenJob;
use crate::jobs::store::OpenJobListing;
use crate::jobs::store::StoredJob;
use crate::membership::rendezvous_score;
use crate::registry::HostEntry;
use crate::revision_ages::RevisionAges;

/// Maximum number of jobs claimed in one scan. Without a limit, the host that scans first would
/// take all jobs of a lost host.
const MAX_CLAIMS_PER_SCAN: usize = 8;
/// Number of hosts that scan for jobs without an owner at each interval. The other hosts of a
/// larger fleet scan rarely, so that the load on the key-value service does not grow with the
/// fleet.
const FREQUENT_SCANNERS: usize = 12;
/// Factor by which the scan interval of the other hosts is longer.
const RARE_SCAN_FACTOR: u32 = 4;
/// Rendezvous hashing key that selects the hosts that scan at each interval.
const SCAN_KEY: &str = "scan";
/// Number of hosts that may try to claim a job in the same scan, in the order of their ranks; the
/// first write wins. Claims of all hosts at once would mostly conflict.
const CLAIMERS_PER_SCAN: u32 = 3;

/// Counts, for each job, the scans in a row that found it without an owner.
#[derive(Debug, Default)]
pub(super) struct OrphanTracker {
    /// Scans in a row without an owner, by job, as of the last scan.
    scan_counts: HashMap<String, u32>,
}

impl OrphanTracker {
    /// Records the jobs that a scan found without an owner and returns their counts, this scan
    /// included. Jobs that are not in `ownerless` start over.
    fn record_scan(&mut self, ownerless: &[&OpenJob]) -> HashMap<String, u32> {
        let mut counts = HashMap::default();
        for job in ownerless {
            let before = self.scan_counts.get(&job.id).copied().unwrap_or(0);
            counts.insert(job.id.clone(), before + 1);
        }
        self.scan_counts = counts.clone();
        counts
    }
}

impl JobKeeper {
    /// Periodically scans all open jobs, and retries ending those whose end is not stored yet.
    pub(super) async fn run_scans(&self) {
        loop {
            for job in self.with_table(|table| table.ending_jobs()) {
                self.end_owned(&job).await;
            }
            if let Ok(open) = self.shared.store.open_jobs().await {
                self.record_revision(open.revision);
                self.process_scan(&open).await;
            }
            tokio::time::sleep(self.scan_interval()).await;
        }
    }

    /// Delay until the next scan. Hosts that own jobs scan at each interval, as they have to notice
    /// when they lose one; so do the `FREQUENT_SCANNERS` hosts that look for jobs without an owner.
    fn scan_interval(&self) -> Duration {
        let interval = self.shared.config.scan_interval;
        let owns_any = self.with_table(|table| !table.claims().is_empty());
        match owns_any || self.rank_for(SCAN_KEY) < FREQUENT_SCANNERS as u32 {
            true => interval,
            false => interval * RARE_SCAN_FACTOR,
        }
    }

    async fn process_scan(&self, open: &OpenJobListing) {
        self.cache_owners(open);
        self.drop_lost_jobs(open).await;
        if self.takes_no_jobs() {
            return;
        }
        let own = &self.shared.identity;
        let mut ownerless = Vec::new();
        let mut claims = Vec::new();
        let mut unknown = Vec::new();
        for job in &open.jobs {
            match &job.owner {
                None => ownerless.push(job),
                // The owner is a process of this host's name that this one has replaced, so that the
                // job can be claimed before its lease expires.
                Some((owner, _)) if owner.host == own.host && owner != own => {
                    claims.push((job, ClaimReason::SameName));
                }
                // The store names this process as the owner, though it does not run the job: the
                // answer to its submission or claim was lost.
                Some((owner, version)) if owner == own && !self.is_known(&job.id, *version) => {
                    unknown.push(job.id.clone());
                }
                Some(_) => {}
            }
        }
        let counts = self
            .shared
            .orphans
            .lock()
            .expect("orphan tracker lock")
            .record_scan(&ownerless);
        let other_hosts = match ownerless.is_empty() {
            true => Vec::new(),
            false => self.successors(SCAN_KEY),
        };
        for job in ownerless {
            let is_owned = self.with_table(|table| table.owns(&job.id));
            let seen = counts.get(&job.id).copied().unwrap_or(0);
            // The host that still runs the job claims it again first; the other hosts follow scan
            // by scan in the order of their ranks.
            if is_owned {
                claims.push((job, ClaimReason::OwnAgain));
            } else if seen > 1 + self.claim_rank(&job.id, &other_hosts) / CLAIMERS_PER_SCAN {
                claims.push((job, ClaimReason::Lapsed));
            }
        }
        claims.truncate(MAX_CLAIMS_PER_SCAN);
        // Together, as each may have to wait for the owner before.
        let claims = claims
            .into_iter()
            .map(|(job, reason)| self.claim(job, reason));
        futures_util::future::join_all(claims).await;
        for job in unknown {
            self.load_owned(&job).await;
        }
    }

    /// Whether this host runs a job of which a listing has its owner key at `version`, or knows that the job
    /// was closed since.
    fn is_known(&self, job: &str, version: KvVersion) -> bool {
        let newest = self.shared.owners.version(job);
        self.with_table(|table| table.owns(job)) || newest > Some(version)
    }

    /// Loads and runs a job if the key-value service names this process as its owner and the job is
    /// still open.
    pub(super) async fn load_owned(&self, id: &str) {
        let Ok(Some(job)) = self.shared.store.open_job(id).await else {
            return;
        };
        let is_own = job
            .owner
            .as_ref()
            .is_some_and(|(owner, _)| *owner == self.shared.identity);
        if is_own && self.shared.registry.holds_name() {
            let takeover = Takeover {
                reason: ClaimReason::OwnAgain,
                previous: self.previous_owner(id),
                handed_over: GivenUpJob::default(),
            };
            let claim = JobClaim {
                open_version: job.version,
                owner_version: job.owner.map(|(_, version)| version),
                lease: self.shared.registry.lease(),
            };
            self.load(id, claim, takeover).await;
        }
    }

    /// Periodically removes jobs that were closed more than `keep_time` ago, by this host's own clock.
    /// Each job is removed by the host of rank 0 for it.
    pub(super) async fn run_sweeps(&self) {
        loop {
            tokio::time::sleep(self.shared.config.sweep_interval).await;
            let Ok(closed) = self.shared.store.closed_jobs().await else {
                continue;
            };
            self.record_revision(closed.revision);
            for (id, version) in self.removable_jobs(closed) {
                if self.shared.store.remove(&id, version).await.is_ok() {
                    self.log_job(&id, "removed", 0, 0);
                }
            }
        }
    }

    /// The closed jobs that have been kept long enough and are this host's to remove, with the versions of
    /// their `closed` keys.
    fn removable_jobs(&self, closed: ClosedJobListing) -> Vec<(String, KvVersion)> {
        let keep_time = self.shared.config.keep_time;
        let now = Instant::now();
        let mut jobs = closed.jobs;
        self.with_ages(|ages| {
            jobs.retain(|(_, version)| ages.is_older_than(*version, keep_time, now))
        });
        jobs.retain(|(id, _)| self.rank_for(id) == 0);
        jobs
    }

    /// Records that a listing which was answered just now had `revision`.
    fn record_revision(&self, revision: KvVersion) {
        self.with_ages(|ages| ages.record(revision, Instant::now()));
    }

    /// Age of a job whose `open` key has `version`.
    fn job_age(&self, version: KvVersion) -> JobAge {
        let now = Instant::now();
        self.with_ages(|ages| JobAge {
            least: ages.least_age(version, now),
            greatest: ages.greatest_age(version, now),
        })
    }

    fn with_ages<T>(&self, act: impl FnOnce(&mut RevisionAges) -> T) -> T {
        act(&mut self.shared.ages.lock().expect("revision ages lock"))
    }

    /// Rank of this host, from 0, among all hosts in the rendezvous order of `key`.
    fn rank_for(&self, key: &str) -> u32 {
        rank_of(&self.shared.identity.host, &self.other_hosts(), key)
    }

    /// Rank of this host, from 0, in the order in which hosts claim `job`. `other_hosts` are the
    /// other hosts in the order of [`SCAN_KEY`]. The hosts that scan at each interval rank before
    /// the rest, which scan rarely.
    fn claim_rank(&self, job: &str, other_hosts: &[HostEntry]) -> u32 {
        let own = &self.shared.identity.host;
        let (frequent_scanners, rare_scanners) =
            other_hosts.split_at(FREQUENT_SCANNERS.min(other_hosts.len()));
        match rank_of(own, other_hosts, SCAN_KEY) < FREQUENT_SCANNERS as u32 {
            true => rank_of(own, frequent_scanners, job),
            false => frequent_scanners.len() as u32 + rank_of(own, rare_scanners, job),
        }
    }

    /// The other hosts that may own `job`, in the order in which they would claim it.
    pub(super) fn claimers(&self, job: &str) -> Vec<HostEntry> {
        let mut hosts = self.successors(SCAN_KEY);
        let score = |entry: &HostEntry| std::cmp::Reverse(rendezvous_score(&entry.host, job));
        let frequent = FREQUENT_SCANNERS.min(hosts.len());
        let (frequent, rare) = hosts.split_at_mut(frequent);
        frequent.sort_by_key(score);
        rare.sort_by_key(score);
        hosts
    }

    /// The other hosts that may own `job`, in its rendezvous order.
    pub(super) fn successors(&self, job: &str) -> Vec<HostEntry> {
        let mut hosts = self.other_hosts();
        hosts.sort_by_key(|entry| std::cmp::Reverse(rendezvous_score(&entry.host, job)));
        hosts
    }

    /// The other listed hosts that accept callers.
    pub(super) fn other_hosts(&self) -> Vec<HostEntry> {
        let own = &self.shared.identity.host;
        self.shared.registry.with_list(|list| {
            let entries = list.caller_entries().into_iter();
            let listed = entries.filter(|entry| list.is_listed(&entry.host));
            listed.filter(|entry| entry.host != *own).cloned().collect()
        })
    }

    /// Claims an open job without a living owner, and runs it.
    pub(super) async fn claim(&self, job: &OpenJob, reason: ClaimReason) {
        self.claim_with(job, reason, GivenUpJob::default()).await;
    }

    async fn claim_with(&self, job: &OpenJob, reason: ClaimReason, handed_over: GivenUpJob) {
        let registry = &self.shared.registry;
        let (Some(lease), Some(fence)) = (registry.lease(), registry.name_fence()) else {
            return;
        };
        let claim = match self
            .shared
            .store
            .claim(job, &self.shared.identity, lease, fence)
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
        // Another host may have claimed the job and announced it since it was read.
        let named = job.owner.as_ref().map(|(owner, _)| owner.clone());
        let takeover = Takeover {
            reason,
            previous: named.or_else(|| self.previous_owner(&job.id)),
            handed_over,
        };
        self.load(&job.id, claim, takeover).await;
    }

    /// Claims a job that its owner hands over, and continues its items from `handed_over`. Returns
    /// whether this host owns the job now; a leaving or stranded host takes none.
    pub(super) async fn take_over(&self, id: &str, handed_over: GivenUpJob) -> bool {
        if self.takes_no_jobs() {
            return false;
        }
        match self.shared.store.open_job(id).await {
            Ok(Some(job)) if job.owner.is_none() => {
                let reason = ClaimReason::HandedOver;
                self.claim_with(&job, reason, handed_over).await;
            }
            _ => return false,
        }
        self.with_table(|table| table.owns(id))
    }

    /// Loads a job that this host has claimed, and queues the items without a committed result once the
    /// owner before has stopped them. If it can't be read, a later scan finds that this host owns a job
    /// that it does not run, and loads it again.
    async fn load(&self, id: &str, claim: JobClaim, takeover: Takeover) {
        self.see_owner(id, &self.shared.identity, claim.version());
        let is_known = self.with_table(|table| table.owns(id));
        let read = self.read_claimed(id, is_known);
        let recall = self.recall_for(id, &claim, takeover.reason, is_known);
        let change = self.displace_and_read(id, &claim, takeover, read);
        let (recalled, (takeover, previous, stored)) = tokio::join!(recall, change);
        self.log_claimed(id, &claim, &takeover, &previous);
        let is_doubtful = matches!(previous, PreviousOwner::Unanswered);
        let mut given_up = match previous {
            PreviousOwner::Stopped(given_up) => given_up,
            _ => GivenUpJob::default(),
        };
        given_up.extend(takeover.handed_over);
        given_up.failures.extend(recalled);
        let Some((spec, stored)) = stored else {
            return;
        };
        let version = claim.version();
        if !self.adopt(id, spec, claim, stored, given_up).await {
            return;
        }
        self.shared.announcer.add(id, version);
        if is_doubtful {
            let until = Instant::now() + RUN_TIMEOUT;
            self.with_table(|table| table.set_doubtful(id, until));
        }
        self.shared.work_available.notify_one();
    }

    /// Has the owner before of a claimed job stop its items, and reads the job by `read` meanwhile. Also returns
    /// the takeover with that owner.
    async fn displace_and_read(
        &self,
        id: &str,
        claim: &JobClaim,
        takeover: Takeover,
        read: impl Future<Output = Option<(Option<JobSpec>, StoredJob)>>,
    ) -> (
        Takeover,
        PreviousOwner,
        Option<(Option<JobSpec>, StoredJob)>,
    ) {
        match takeover.previous {
            Some(_) => {
                let (previous, stored) = tokio::join!(self.displace(id, claim, &takeover), read);
                (takeover, previous, stored)
            }
            // No owner was seen, as by a host that has just started: the first one may still be at work.
            None => {
                let stored = read.await;
                let info = stored.as_ref().map(|(_, stored)| &stored.info);
                let first = info.and_then(|info| info.first_owner.clone());
                let first = first.filter(|owner| *owner != self.shared.identity);
                let takeover = Takeover {
                    previous: first,
                    ..takeover
                };
                let previous = self.displace(id, claim, &takeover).await;
                (takeover, previous, stored)
            }
        }
    }

    /// Failures of items of a job that was claimed, as far as neither this host nor the owner before knows
    /// them.
    async fn recall_for(
        &self,
        id: &str,
        claim: &JobClaim,
        reason: ClaimReason,
        is_known: bool,
    ) -> Vec<ItemFailures> {
        match reason {
            ClaimReason::Submitted => Vec::new(),
            ClaimReason::OwnAgain if is_known => Vec::new(),
            ClaimReason::HandedOver => self.shared.failure_notes.get(id, claim.open_version),
            ClaimReason::OwnAgain | ClaimReason::Lapsed | ClaimReason::SameName => {
                self.recall_failures(id, claim.open_version).await
            }
        }
    }

    /// The last seen owner of `job` other than this process.
    fn previous_owner(&self, job: &str) -> Option<JobOwner> {
        let own = &self.shared.identity;
        self.shared.owners.previous(job, own)
    }

    /// Reads a job that was claimed, without its specification if `is_known`; `None` if that fails.
    async fn read_claimed(&self, id: &str, is_known: bool) -> Option<(Option<JobSpec>, StoredJob)> {
        let store = &self.shared.store;
        let spec = match is_known {
            true => None,
            false => Some(store.load_spec(id).await.ok().flatten()?),
        };
        let stored = store.load(id).await.ok().flatten()?;
        Some((spec, stored))
    }

    /// Adds a job that was claimed, or continues it, unless there is a later claim by now. Its results were
    /// read again, as another host may have owned the job and committed results in between. Returns whether
    /// this host has the job.
    async fn adopt(
        &self,
        id: &str,
        spec: Option<JobSpec>,
        claim: JobClaim,
        stored: StoredJob,
        given_up: GivenUpJob,
    ) -> bool {
        if stored.is_ended {
            // The end came after the claim, and its notice may be lost.
            self.shared.owners.record_closed(id, stored.revision);
            self.drop_job(id, "ended");
            return false;
        }
        // The job may have been dropped since it was known here.
        let is_gone = spec.is_none() && !self.with_table(|table| table.owns(id));
        let spec = match is_gone {
            true => self.shared.store.load_spec(id).await.ok().flatten(),
            false => spec,
        };
        self.log_reloaded(id, &stored);
        let age = self.job_age(claim.open_version);
        let now = Instant::now();
        let (has_job, given_up_items) = self.with_table(|table| {
            // Under the lock of the table, as a call to give the job up may come at the same time.
            if self.is_claimed_after(id, &claim) {
                return (false, Vec::new());
            }
            match spec {
                Some(spec) if !table.owns(id) => {
                    let acceptance = JobAcceptance::from(&spec);
                    self.shared.acceptances.insert(id, acceptance);
                    self.log_job(id, "taken_over", spec.items.len(), stored.result_count());
                    let spec = spec.timed_at(steady_unix_millis(), age);
                    table.insert(Arc::new(spec), claim, stored.segments, now);
                }
                _ => table.renew(id, claim, stored.segments, now),
            }
            table.apply_checkpoints(id, given_up.progress);
            table.adopt_results(id, given_up.results, now);
            let given_up_items = table.apply_failures(id, given_up.failures, now);
            (table.owns(id), given_up_items)
        });
        for item in given_up_items {
            self.shared.log.write(LogEvent::Item {
                item,
                job: id.to_owned(),
                outcome: "failed_before".to_owned(),
                events: 0,
                reason: None,
            });
        }
        self.log_repeated(id, self.with_table(|table| table.repeated_results(id)));
        self.shared.results_committed.notify_waiters();
        has_job
    }

    /// Whether a later claim of the job than `claim` is known.
    pub(super) fn is_claimed_after(&self, job: &str, claim: &JobClaim) -> bool {
        self.shared.owners.version(job).unwrap_or_default() > claim.version()
    }

    /// Drops a job that another process owns by `version` of the owner key, unless this host has claimed it
    /// later.
    pub(super) fn drop_lost_job(&self, job: &str, version: KvVersion) {
        let claim = self.with_table(|table| table.claim(job));
        if claim.is_some_and(|claim| claim.version() < version) {
            self.drop_job(job, "lost");
        }
    }

    fn cache_owners(&self, open: &OpenJobListing) {
        // Entries outlive their jobs' open keys, as the last owner of a finished job has its
        // results cached and spares readers the key-value service.
        self.shared.owners.forget_old(self.shared.config.keep_time);
        for job in &open.jobs {
            if let Some((owner, version)) = &job.owner {
                self.see_owner_of(&job.id, owner, *version, Freshness::Stale);
            }
        }
    }

    /// Drops jobs that were ended or finished by another host, or that another process owns now.
    async fn drop_lost_jobs(&self, open: &OpenJobListing) {
        let known: HashMap<&str, &OpenJob> =
            open.jobs.iter().map(|job| (job.id.as_str(), job)).collect();
        for (id, claim) in self.with_table(|table| table.claims()) {
            // The listing may be stale: one from before the claim shows no owner, or the one before.
            if open.revision < claim.version() {
                continue;
            }
            match known.get(id.as_str()).and_then(|job| job.owner.as_ref()) {
                Some((owner, version)) if *owner != self.shared.identity => {
                    self.drop_lost_job(&id, *version);
                }
                Some(_) => {}
                None if known.contains_key(id.as_str()) => {}
                None => self.drop_if_closed(&id).await,
            }
        }
    }

    /// Drops a job that was missing from a listing, if an up-to-date read confirms that it is
    /// closed.
    async fn drop_if_closed(&self, id: &str) {
        if let Ok((None, revision)) = self.shared.store.open_job_at(id).await {
            self.shared.owners.record_closed(id, revision);
            self.drop_job(id, "closed_elsewhere");
        }
    }
}

/// Rank of the host `own`, from 0, among `other_hosts` in the rendezvous order of `key`.
fn rank_of(own: &str, other_hosts: &[HostEntry], key: &str) -> u32 {
    let score = rendezvous_score(own, key);
    let is_before = |entry: &&HostEntry| rendezvous_score(&entry.host, key) > score;
    other_hosts.iter().filter(is_before).count() as u32
}
