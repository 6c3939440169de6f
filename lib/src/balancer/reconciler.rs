//! Applies the registered entries of upstreams to the load balancer, and keeps upstreams whose
//! entries an outage of the key-value service may have expired.

use std::time::Duration;

use tokio::time::Instant;

use crate::balancer::state::BalancerState;
use crate::balancer::state::UpstreamEntry;
use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::ids::UpstreamId;

/// Time after an outage of the key-value service within which upstreams write their expired entries
/// again.
const RECOVERY_GRACE: Duration = Duration::from_millis(2_100);

/// Applies changes of registered entries to a [`BalancerState`].
///
/// If an entry vanishes during an outage of the key-value service or shortly after it, the lease of
/// the upstream may only have expired for lack of renewal. The upstream is then kept for
/// 2.1 seconds after the outage, and removed if its entry is still missing.
#[derive(Debug, Default)]
pub struct EntryReconciler {
    missing_since: HashMap<UpstreamId, Instant>,
    in_outage: bool,
    recovered_at: Option<Instant>,
}

impl EntryReconciler {
    /// Applies a new or changed entry.
    pub fn put(&mut self, entry: UpstreamEntry, balancer: &mut BalancerState) {
        self.missing_since.remove(&entry.id);
        balancer.put(entry);
    }

    /// Handles the deletion of an entry. Returns whether the upstream was removed at once;
    /// otherwise [`Self::sweep`] decides later.
    pub fn remove(&mut self, id: &UpstreamId, balancer: &mut BalancerState, now: Instant) -> bool {
        if !self.is_within_grace(now) {
            self.missing_since.remove(id);
            balancer.remove(id);
            return true;
        }
        self.missing_since.entry(id.clone()).or_insert(now);
        false
    }

    /// Applies a listing of all entries. Returns the upstreams that were removed at once.
    pub fn list(
        &mut self,
        entries: Vec<UpstreamEntry>,
        balancer: &mut BalancerState,
        now: Instant,
    ) -> Vec<UpstreamId> {
        let listed: HashSet<UpstreamId> = entries.iter().map(|entry| entry.id.clone()).collect();
        for entry in entries {
            self.put(entry, balancer);
        }
        let absent: Vec<UpstreamId> = balancer
            .ids()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        absent
            .into_iter()
            .filter(|id| self.remove(id, balancer, now))
            .collect()
    }

    /// Records that the key-value service stopped answering.
    pub fn note_outage(&mut self) {
        self.in_outage = true;
    }

    /// Records that the key-value service answers again.
    pub fn note_recovery(&mut self, now: Instant) {
        self.in_outage = false;
        self.recovered_at = Some(now);
    }

    /// Removes the upstreams whose entries are still missing 2.1 seconds after the outage, and
    /// returns them. Does nothing before.
    pub fn sweep(&mut self, balancer: &mut BalancerState, now: Instant) -> Vec<UpstreamId> {
        if self.is_within_grace(now) {
            return Vec::new();
        }
        let gone: Vec<UpstreamId> = self.missing_since.drain().map(|(id, _)| id).collect();
        for id in &gone {
            balancer.remove(id);
        }
        gone
    }

    fn is_within_grace(&self, now: Instant) -> bool {
        self.in_outage
            || self
                .recovered_at
                .is_some_and(|at| now - at < RECOVERY_GRACE)
    }
}
