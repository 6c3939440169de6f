//! The hosts that may pace the workspaces of all, as the load balancer's state knows them.

use tokio::time::Instant;

use crate::balancer::neighbours::PeerState;
use crate::balancer::ring::certain_neighbour_reach;
use crate::balancer::state::BalancerState;
use crate::quotas::FleetView;

/// Share of the neighbours that this host hears from which the others are taken for hosts that have ended,
/// and not for the far side of a cut: each of them counts as one of all hosts then.
const UNDIVIDED_SHARE: f64 = 0.9;

impl BalancerState {
    /// What this host sees of the hosts called `names`, all that are registered beside itself.
    pub fn quota_fleet(&self, names: &[&str], now: Instant) -> FleetView {
        let hosts = names.len() + 1;
        let reach = self.max_reach(certain_neighbour_reach);
        let near: Vec<&str> = self.tracker.near(reach).collect();
        let heard = near
            .iter()
            .filter(|host| self.tracker.peer_state(host, now) == PeerState::Heard)
            .count();
        if heard == 0 && !near.is_empty() {
            return FleetView {
                others: Vec::new(),
                hosts,
                share: 1.0 / hosts as f64,
            };
        }
        let usable = self.usable_hosts(names, now);
        let near_share = self.tracker.heard_share(near, now);
        let usable_share = (usable.len() + 1) as f64 / hosts as f64;
        let share = match near_share >= UNDIVIDED_SHARE {
            true => near_share.max(usable_share),
            false => near_share,
        };
        FleetView {
            others: usable.into_iter().map(str::to_owned).collect(),
            hosts,
            share,
        }
    }
}
