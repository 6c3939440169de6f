//! Attempts to store jobs whose outcome is open: under way, or ended without a definite answer.
//!
//! A refusal of a job says that nothing of it runs, whichever attempt stored it. An attempt that was given
//! up may be executed by the key-value service seconds later, long after a further one has failed.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;

/// Time after an attempt without a definite answer in which it may still take effect.
const DOUBT_TIME: Duration = Duration::from_secs(60);

/// Open attempts to store one job.
#[derive(Debug, Default)]
struct JobAttempts {
    under_way: usize,
    /// Time until which an attempt that ended without a definite answer may take effect.
    doubtful_until: Option<Instant>,
}

impl JobAttempts {
    fn is_open(&self, now: Instant) -> bool {
        self.under_way > 0 || self.doubtful_until.is_some_and(|until| now < until)
    }
}

/// This host's open attempts to store jobs, itself or through another host, by the identifier of the job.
#[derive(Debug, Default)]
pub(super) struct AttemptLedger {
    jobs: Mutex<HashMap<String, JobAttempts>>,
}

impl AttemptLedger {
    /// Records that an attempt to store `job` begins.
    pub(super) fn begin(self: &Arc<Self>, job: &str) -> AttemptTicket {
        let now = Instant::now();
        let mut jobs = self.lock();
        jobs.retain(|_, attempts| attempts.is_open(now));
        jobs.entry(job.to_owned()).or_default().under_way += 1;
        AttemptTicket {
            ledger: self.clone(),
            job: job.to_owned(),
            is_settled: false,
        }
    }

    /// Whether an attempt to store `job` is under way, or ended without a definite answer and may take
    /// effect later.
    pub(super) fn has_open(&self, job: &str) -> bool {
        let now = Instant::now();
        let jobs = self.lock();
        jobs.get(job).is_some_and(|attempts| attempts.is_open(now))
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, JobAttempts>> {
        self.jobs.lock().expect("attempt ledger lock")
    }
}

/// An attempt that is under way. One that is dropped without being settled, as its caller has stopped
/// waiting, has no definite answer.
#[derive(Debug)]
pub(super) struct AttemptTicket {
    ledger: Arc<AttemptLedger>,
    job: String,
    is_settled: bool,
}

impl AttemptTicket {
    /// Ends the attempt, which had a definite answer.
    pub(super) fn settle(mut self) {
        self.is_settled = true;
    }
}

impl Drop for AttemptTicket {
    fn drop(&mut self) {
        if let Some(attempts) = self.ledger.lock().get_mut(&self.job) {
            attempts.under_way -= 1;
            if !self.is_settled {
                attempts.doubtful_until = Some(Instant::now() + DOUBT_TIME);
            }
        }
    }
}
