//! What this host last saw of the owners of jobs, to reach them for reads, and to ask a displaced one
//! to stop.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::edges::kv::KvVersion;
use crate::jobs::store::JobOwner;

/// Owner of a job as last seen, or its last owner if it is closed or has none.
#[derive(Clone, Debug)]
struct SeenOwner {
    owner: JobOwner,
    /// Version of the owner key; zero if only the owner's name was announced.
    version: KvVersion,
    /// The owner before this one, if this host saw it.
    before: Option<JobOwner>,
    seen: Instant,
}

/// Last seen owners of jobs, from scans, claims, announcements and lookups.
#[derive(Default)]
pub(super) struct OwnerCache {
    jobs: Mutex<HashMap<String, SeenOwner>>,
}

impl OwnerCache {
    /// Records that the owner key of `job` had this owner at `version`. An owner of an earlier version
    /// than the one known is out of date and ignored. Returns the owner before if it has changed.
    pub(super) fn see(&self, job: &str, owner: &JobOwner, version: KvVersion) -> Option<JobOwner> {
        let mut jobs = self.lock();
        let now = Instant::now();
        let Some(known) = jobs.get_mut(job) else {
            let seen = SeenOwner {
                owner: owner.clone(),
                version,
                before: None,
                seen: now,
            };
            jobs.insert(job.to_owned(), seen);
            return None;
        };
        known.seen = now;
        if version < known.version {
            return None;
        }
        known.version = version;
        if known.owner == *owner {
            known.owner = owner.clone();
            return None;
        }
        let before = std::mem::replace(&mut known.owner, owner.clone());
        known.before = Some(before.clone());
        Some(before)
    }

    /// Records an owner that was announced or asked, of which no version is known.
    pub(super) fn see_announced(&self, job: &str, owner: &JobOwner) {
        let version = self.version(job).unwrap_or_default();
        self.see(job, owner, version);
    }

    /// Host name of the last seen owner.
    pub(super) fn host(&self, job: &str) -> Option<String> {
        self.lock().get(job).map(|known| known.owner.host.clone())
    }

    /// Whether this host has seen any owner of `job`.
    pub(super) fn contains(&self, job: &str) -> bool {
        self.lock().contains_key(job)
    }

    /// Version of the last seen owner key.
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
