//! What this host last saw of the owners of jobs, to reach them for reads, and to ask a displaced one
//! to stop.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
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
    owner: JobOwner,
    /// Version of the owner key, or at which the job was closed; zero if only the owner's name was
    /// announced.
    version: KvVersion,
    /// The owner before this one, if this host saw it.
    before: Option<JobOwner>,
    seen: Instant,
    /// Owner at `version`; `None` if only announced.
    written: Option<JobOwner>,
    changes: OwnerChanges,
}

/// Last seen owners of jobs, from scans, claims, announcements and lookups.
#[derive(Default)]
pub(super) struct OwnerCache {
    jobs: Mutex<HashMap<String, SeenOwner>>,
}

impl OwnerCache {
    /// Records that the owner key of `job` had this owner at `version`. An owner of an earlier version
    /// than the one known is out of date and ignored. Returns the changes of the owner if they are to be
    /// reported.
    pub(super) fn see(
        &self,
        job: &str,
        owner: &JobOwner,
        version: KvVersion,
    ) -> Option<UnsettledJob> {
        let mut jobs = self.lock();
        let now = Instant::now();
        let Some(known) = jobs.get_mut(job) else {
            let seen = SeenOwner {
                owner: owner.clone(),
                version,
                before: None,
                seen: now,
                written: (version > KvVersion::default()).then(|| owner.clone()),
                changes: OwnerChanges::default(),
            };
            jobs.insert(job.to_owned(), seen);
            return None;
        };
        known.seen = now;
        if version < known.version {
            return None;
        }
        let is_newer = version > known.version;
        known.version = version;
        let before = std::mem::replace(&mut known.owner, owner.clone());
        if before != *owner {
            known.before = Some(before);
        } else if owner.peers.is_none() {
            known.owner.peers = before.peers;
        }
        // Announcements have no version, and may be out of date.
        let is_change = known.written.as_ref().is_some_and(|last| last != owner);
        if is_newer {
            known.written = Some(owner.clone());
        }
        if !is_newer || !is_change {
            return None;
        }
        known.changes.add(owner, now);
        known.changes.report(now)
    }

    /// Records an owner that was announced or asked, of which no version is known.
    pub(super) fn see_announced(&self, job: &str, owner: &JobOwner) {
        let version = self.version(job).unwrap_or_default();
        self.see(job, owner, version);
    }

    /// Records that `job` was not open any more at `version`, so that claims from before are out of date.
    pub(super) fn record_closed(&self, job: &str, version: KvVersion) {
        if let Some(known) = self.lock().get_mut(job) {
            known.version = known.version.max(version);
            known.seen = Instant::now();
        }
    }

    /// Host name of the last seen owner.
    pub(super) fn host(&self, job: &str) -> Option<String> {
        self.lock().get(job).map(|known| known.owner.host.clone())
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
        match known.owner == *own {
            true => known.before.clone(),
            false => Some(known.owner.clone()),
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
