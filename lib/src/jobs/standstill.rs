//! A process that stood still: other hosts may own its jobs when it goes on.

use std::time::Duration;

use tokio::time::Instant;

use crate::events::LogEvent;
use crate::jobs::keeper::JobKeeper;
use crate::jobs::running::StopReason;

/// Delay before jobs whose owner could not be read are confirmed again.
const CONFIRM_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Measures the time for which this process did not run, from marks that it sets while it does.
#[derive(Debug)]
pub(super) struct StandstillDetector {
    lease_ttl: Duration,
    last_mark: Instant,
    /// Whether the store was known to be away at the last mark.
    had_outage: bool,
}

/// A time in which this process did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Standstill {
    pub(super) gap: Duration,
    /// Whether the store was known before not to answer this host. It may have answered others.
    pub(super) had_outage: bool,
}

impl StandstillDetector {
    /// Creates a detector of gaps in which a lease of `lease_ttl` may have lapsed.
    pub(super) fn new(lease_ttl: Duration) -> Self {
        Self {
            lease_ttl,
            last_mark: Instant::now(),
            had_outage: false,
        }
    }

    /// Sets a mark, and returns the time since the last one if the lease may have lapsed in it. An outage
    /// that is noticed only after the gap proves nothing about it.
    pub(super) fn mark(&mut self, has_outage: bool) -> Option<Standstill> {
        let now = Instant::now();
        let gap = now.saturating_duration_since(self.last_mark);
        let had_outage = std::mem::replace(&mut self.had_outage, has_outage);
        self.last_mark = now;
        (gap > self.lease_ttl).then_some(Standstill { gap, had_outage })
    }
}

impl JobKeeper {
    /// Stops all items after a standstill, and begins none until the store or another host has told who owns
    /// their jobs. Does nothing if no other host can have claimed them: there is none, and the store was
    /// away before.
    pub(super) fn hold_after_standstill(&self, standstill: Standstill) {
        if standstill.had_outage && self.other_hosts().is_empty() {
            return;
        }
        let jobs = self.with_table(|table| table.hold_all());
        self.shared.running.stop_all(StopReason::StoodStill);
        self.shared.log.write(LogEvent::StoodStill {
            gap_ms: standstill.gap.as_millis() as u64,
            jobs,
        });
        let keeper = self.clone();
        tokio::spawn(async move { keeper.confirm_held_jobs().await });
    }

    /// Reads the held jobs again until each is confirmed, claimed again or dropped. Asks nothing while the
    /// store is known to be away, as its answer to the lease tells when it is back.
    async fn confirm_held_jobs(&self) {
        loop {
            let held = self.with_table(|table| table.held_jobs());
            if held.is_empty() {
                return;
            }
            if !self.shared.registry.has_outage() {
                let confirmations = held.iter().map(|job| self.reload_job(job));
                futures_util::future::join_all(confirmations).await;
            }
            tokio::time::sleep(CONFIRM_RETRY_DELAY).await;
        }
    }
}
