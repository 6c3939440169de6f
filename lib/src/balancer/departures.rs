//! Upstreams that leave, and processes of upstreams that have ended, as this host and others learn of them
//! before the entries change.

use tokio::time::Instant;

use crate::balancer::state::BalancerKey;
use crate::balancer::state::BalancerState;
use crate::ids::UpstreamIncarnation;

impl BalancerState {
    /// Records that an upstream announced its shutdown in an answer: it gets no more requests until
    /// it restarts. Returns whether this was not known before.
    pub fn note_leaving(&mut self, key: BalancerKey, now: Instant) -> bool {
        let Some(upstream) = self.upstreams.get(&key) else {
            return false;
        };
        let (id, incarnation) = (upstream.entry.id.clone(), upstream.incarnation());
        // The entry may have expired and been registered again under a new key since the request
        // was sent.
        if let Some(current_key) = self.keys_by_id.get(&id) {
            self.mark_leaving(*current_key, incarnation);
        }
        self.leaving.record_own(incarnation, now)
    }

    fn mark_leaving(&mut self, key: BalancerKey, incarnation: UpstreamIncarnation) {
        if let Some(upstream) = self.upstreams.get_mut(&key)
            && upstream.incarnation() == incarnation
        {
            upstream.has_announced_shutdown = true;
            self.index_upstream(key);
        }
    }

    /// Records that the process of an upstream has ended, as its address refuses connections or another
    /// process answers there. Whatever answers there before the entry changes may run other software.
    /// Returns whether this was not known before.
    pub fn note_ended(&mut self, incarnation: UpstreamIncarnation, now: Instant) -> bool {
        let is_new = self.ended.record_own(incarnation, now);
        self.mark_ended(incarnation);
        is_new
    }

    fn mark_ended(&mut self, incarnation: UpstreamIncarnation) {
        for upstream in self.upstreams.values_mut() {
            if upstream.incarnation() == incarnation && !upstream.has_ended {
                upstream.has_ended = true;
                self.serving_revision += 1;
            }
        }
    }

    /// Upstreams whose process ended recently, as this host saw, for its load report.
    pub fn recent_ended(&mut self, now: Instant) -> Vec<UpstreamIncarnation> {
        self.ended.recent(now)
    }

    /// Upstreams that recently announced their shutdown to this host, for its load report.
    pub fn recent_leaving(&mut self, now: Instant) -> Vec<UpstreamIncarnation> {
        self.leaving.recent(now)
    }

    pub(super) fn apply_leaving(&mut self, incarnations: &[UpstreamIncarnation]) {
        for incarnation in incarnations {
            if !self.leaving.record(*incarnation) {
                continue;
            }
            let mut keys = self.keys_by_id.values();
            if let Some(key) = keys.find(|key| self.upstreams[key].incarnation() == *incarnation) {
                self.mark_leaving(*key, *incarnation);
            }
        }
    }

    /// Applies what another host saw of processes that have ended.
    pub(super) fn apply_ended(&mut self, incarnations: &[UpstreamIncarnation]) {
        for incarnation in incarnations {
            if self.ended.record(*incarnation) {
                self.mark_ended(*incarnation);
            }
        }
    }
}
