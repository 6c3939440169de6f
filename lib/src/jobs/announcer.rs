//! Announcements of jobs that this host has recently become the owner of, for its load reports.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::time::Instant;

use crate::balancer::AcquiredJob;
use crate::edges::kv::KvVersion;

/// How long a job is announced. Several load reports carry it, as each is a datagram that may be
/// lost.
const ANNOUNCEMENT_TIME: Duration = Duration::from_millis(1_000);
/// Maximum number of jobs announced at a time, the newest ones; limits the size of a load report.
const MAX_ANNOUNCED: usize = 24;

/// Recently acquired jobs of one host, the newest first. A host that misses an announcement looks
/// the owner up in the key-value service.
#[derive(Debug, Default)]
pub(super) struct OwnershipAnnouncer {
    jobs: Mutex<VecDeque<(Instant, AcquiredJob)>>,
}

impl OwnershipAnnouncer {
    /// Starts to announce that this host owns `job` by a claim of `version`.
    pub(super) fn add(&self, job: &str, version: KvVersion) {
        let acquired = AcquiredJob {
            job: job.to_owned(),
            version: version.0,
        };
        let mut jobs = self.lock();
        jobs.retain(|(_, known)| known.job != job);
        jobs.push_front((Instant::now(), acquired));
        jobs.truncate(MAX_ANNOUNCED);
    }

    /// Jobs to announce now, the newest first; drops those announced for `ANNOUNCEMENT_TIME`.
    pub(super) fn announced(&self) -> Vec<AcquiredJob> {
        let mut jobs = self.lock();
        jobs.retain(|(since, _)| since.elapsed() < ANNOUNCEMENT_TIME);
        jobs.iter().map(|(_, job)| job.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<(Instant, AcquiredJob)>> {
        self.jobs.lock().expect("ownership announcer lock")
    }
}
