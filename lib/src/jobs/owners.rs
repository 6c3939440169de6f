//! What this host last saw of the owners of jobs, to reach them for reads, and to ask a displaced one
//! to stop.

use std::cmp::Ordering;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::edges::kv::Freshness;
use crate::edges::kv::KvVersion;
use crate::jobs::store::JobOwner;

/// Time in which changes of a job's owner are counted, and the shortest interval between two reports.
const UNSETTLED_TIME: Duration = Duration::from_secs(60);
/// Changes in that time beyond which a job counts as unsettled.
const MAX_CHANGES: usize = 3;
/// Number of last changes that are remembered of each job.
const MAX_REMEMBERED: usize = 32;

/// A job that changes owners again and again.
#[derive(Clone, Debug)]
pub(super) struct UnsettledJob {
    /// Number of changes in the last minute.
    pub(super) changes: usize,
    /// The owners after them, the latest last.
    pub(super) owners: Vec<JobOwner>,
}

/// Changes of a job's owner key in the last minute.
#[derive(Clone, Debug, Default)]
struct OwnerChanges {
    changes: VecDeque<(Instant, JobOwner)>,
    reported: Option<Instant>,
}

impl OwnerChanges {
    fn add(&mut self, owner: &JobOwner, now: Instant) {
        self.changes.push_back((now, owner.clone()));
        if self.changes.len() > MAX_REMEMBERED {
            self.changes.pop_front();
        }
    }

    /// Returns the job's changes if there are too many and they were not reported lately.
    fn report(&mut self, now: Instant) -> Option<UnsettledJob> {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < UNSETTLED_TIME;
        self.changes.retain(|(at, _)| is_recent(at));
        if self.changes.len() <= MAX_CHANGES || self.reported.as_ref().is_some_and(is_recent) {
            return None;
        }
        self.reported = Some(now);
        Some(UnsettledJob {
            changes: self.changes.len(),
            owners: self
                .changes
                .iter()
                .map(|(_, owner)| owner.clone())
                .collect(),
        })
    }
}

/// Owner of a job as last seen, or its last owner if it is closed or has none.
#[derive(Clone, Debug)]
struct SeenOwner {
    /// `None` if only the close of the job was seen.
    owner: Option<JobOwner>,
    /// Version of the owner key, or at which the job was closed; zero if only the owner's name was
    /// announced.
    version: KvVersion,
    /// The owner before this one, if this host saw it.
    before: Option<JobOwner>,
    seen: Instant,
    /// Last owner that was seen with a version; `None` if only announced.
    written: Option<JobOwner>,
    changes: OwnerChanges,
}

impl SeenOwner {
    /// A job of which nothing is known yet.
    fn new(now: Instant) -> Self {
        Self {
            owner: None,
            version: KvVersion::default(),
            before: None,
            seen: now,
            written: None,
            changes: OwnerChanges::default(),
        }
    }

    /// Takes over the owner at the known version.
    fn confirm(&mut self, owner: &JobOwner, freshness: Freshness) {
        let is_same_host = self
            .owner
            .as_ref()
            .is_some_and(|known| known.host == owner.host);
        if is_same_host {
            // An announcement names the host alone, which may not be listed yet.
            if owner.peers.is_none() {
                return;
            }
            self.owner = Some(owner.clone());
            self.written = Some(owner.clone());
        } else if freshness == Freshness::Current {
            self.set_owner(owner);
            self.written = Some(owner.clone());
        }
    }

    fn set_owner(&mut self, owner: &JobOwner) {
        let before = self.owner.replace(owner.clone());
        match before {
            Some(before) if before != *owner => self.before = Some(before),
            Some(before) if owner.peers.is_none() => {
                self.owner.as_mut().expect("set above").peers = before.peers;
            }
            _ => {}
        }
    }
}

/// Last seen owners of jobs, from scans, claims, announcements and lookups.
#[derive(Default)]
pub(super) struct OwnerCache {
    jobs: Mutex<HashMap<String, SeenOwner>>,
}

impl OwnerCache {
    /// Records that the owner key of `job` had this owner at `version`, as something of this freshness says.
    ///
    /// An owner of an earlier version than the one known is out of date and ignored. So is a stale one of the
    /// version known: another owner may have been announced since. Returns the changes of the owner if they
    /// are to be reported.
    pub(super) fn see(
        &self,
        job: &str,
        owner: &JobOwner,
        version: KvVersion,
        freshness: Freshness,
    ) -> Option<UnsettledJob> {
        let mut jobs = self.lock();
        let now = Instant::now();
        let known = jobs
            .entry(job.to_owned())
            .or_insert_with(|| SeenOwner::new(now));
        known.seen = now;
        match version.cmp(&known.version) {
            Ordering::Less => None,
            Ordering::Equal => {
                known.confirm(owner, freshness);
                None
            }
            Ordering::Greater => {
                known.version = version;
                known.set_owner(owner);
                let last = known.written.replace(owner.clone())?;
                if last == *owner {
                    return None;
                }
                known.changes.add(owner, now);
                known.changes.report(now)
            }
        }
    }

    /// Records an owner that was announced or asked, of which no version is known. It may be out of date.
    pub(super) fn see_announced(&self, job: &str, owner: &JobOwner) {
        let now = Instant::now();
        let mut jobs = self.lock();
        let known = jobs
            .entry(job.to_owned())
            .or_insert_with(|| SeenOwner::new(now));
        known.seen = now;
        known.set_owner(owner);
    }

    /// Records that `job` was not open any more at `version`, so that claims from before are out of date, also
    /// those that this host learns of later.
    pub(super) fn record_closed(&self, job: &str, version: KvVersion) {
        let now = Instant::now();
        let mut jobs = self.lock();
        let known = jobs
            .entry(job.to_owned())
            .or_insert_with(|| SeenOwner::new(now));
        known.version = known.version.max(version);
        known.seen = now;
    }

    /// Host name of the last seen owner.
    pub(super) fn host(&self, job: &str) -> Option<String> {
        let owner = self.last(job)?;
        Some(owner.host)
    }

    /// The last seen owner, announced or with a version.
    pub(super) fn last(&self, job: &str) -> Option<JobOwner> {
        self.lock().get(job)?.owner.clone()
    }

    /// Whether this host has seen any owner of `job`.
    pub(super) fn contains(&self, job: &str) -> bool {
        self.lock().contains_key(job)
    }

    /// The last seen owner of `job` and the version of its key, if that is known.
    pub(super) fn latest(&self, job: &str) -> Option<(JobOwner, KvVersion)> {
        let jobs = self.lock();
        let known = jobs.get(job)?;
        Some((known.written.clone()?, known.version))
    }

    /// Version of the last seen owner key, or at which the job was closed.
    pub(super) fn version(&self, job: &str) -> Option<KvVersion> {
        self.lock().get(job).map(|known| known.version)
    }

    /// The last seen owner of `job` other than `own`.
    pub(super) fn previous(&self, job: &str, own: &JobOwner) -> Option<JobOwner> {
        let jobs = self.lock();
        let known = jobs.get(job)?;
        match known.owner.as_ref() == Some(own) {
            true => known.before.clone(),
            false => known.owner.clone(),
        }
    }

    /// Forgets owners that were last seen `keep_time` ago.
    pub(super) fn forget_old(&self, keep_time: Duration) {
        self.lock()
            .retain(|_, known| known.seen.elapsed() < keep_time);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, SeenOwner>> {
        self.jobs.lock().expect("owner cache lock")
    }
}
