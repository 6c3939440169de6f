//! Jobs that this host has begun to own lately, as it tells the other hosts.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::time::Instant;

/// Time for which a job is told; several load reports carry it, as each may be lost.
const TELL_TIME: Duration = Duration::from_millis(1_000);
/// Jobs that are told at once, the newest ones; bounds the size of a load report.
const MAX_TOLD: usize = 24;

/// New jobs of one host. Hosts that miss the news ask the key-value service.
#[derive(Debug, Default)]
pub(super) struct OwnershipAnnouncer {
    jobs: Mutex<VecDeque<(Instant, String)>>,
}

impl OwnershipAnnouncer {
    /// Begins to tell that this host owns `job`.
    pub(super) fn add(&self, job: &str) {
        let mut jobs = self.lock();
        jobs.push_front((Instant::now(), job.to_owned()));
        jobs.truncate(MAX_TOLD);
    }

    /// Jobs to tell now, the newest first.
    pub(super) fn told(&self) -> Vec<String> {
        let mut jobs = self.lock();
        jobs.retain(|(since, _)| since.elapsed() < TELL_TIME);
        jobs.iter().map(|(_, job)| job.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<(Instant, String)>> {
        self.jobs.lock().expect("owner news lock")
    }
}
