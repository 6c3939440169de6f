//! Hands jobs over while this host does not reach the upstreams.

use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::collections::HashSet;
use crate::jobs::keeper::JobKeeper;
use crate::jobs::running::StopReason;

/// Interval at which the host looks whether it is stranded and has jobs.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl JobKeeper {
    /// Hands the jobs over to other hosts whenever this host is found to be stranded. Until that has ended,
    /// it runs no items and claims no jobs.
    pub(super) async fn run_hand_overs(&self) {
        loop {
            let is_stranded = self.shared.relay.reach().is_stranded();
            self.shared
                .is_stranded
                .store(is_stranded, Ordering::Relaxed);
            let has_jobs = || self.with_table(|table| !table.claims().is_empty());
            if is_stranded && has_jobs() && !self.shared.is_leaving.is_cancelled() {
                self.give_jobs_away(StopReason::Stranded).await;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Whether this host runs no items and claims no jobs now, as it stops or does not reach the upstreams.
    pub(super) fn takes_no_jobs(&self) -> bool {
        let is_stranded = self.shared.is_stranded.load(Ordering::Relaxed);
        is_stranded || self.shared.is_leaving.is_cancelled()
    }

    /// Stops all items and hands the jobs over to other hosts together with the partial output of their
    /// items. A job that can't be released, as the key-value service doesn't answer, is kept.
    pub(super) async fn give_jobs_away(&self, reason: StopReason) {
        self.shared.running.stop_all(reason);
        self.wait_for_stopped_items(None).await;
        self.commit_all_finished().await;
        let claims = self.with_table(|table| table.claims());
        let released = self.shared.store.release(&claims).await;
        let hand_overs = released.iter().map(|job| self.hand_over(job));
        futures_util::future::join_all(hand_overs).await;
        for job in &released {
            self.drop_job(job, "given_away");
        }
    }

    /// Names of the other hosts that said lately that they reach a service of the configuration.
    pub(super) fn reaching_hosts(&self) -> HashSet<String> {
        let routes = self.shared.routes.borrow().clone();
        let reach = self.shared.relay.reach();
        let hosts = routes.services().iter();
        let hosts = hosts.flat_map(|service| reach.detour_hosts(service));
        hosts.map(|host| host.host).collect()
    }
}
