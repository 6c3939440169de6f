//! Decides whether a request takes a detour, and through which host.
//!
//! The decision uses no network and no clock of its own, so that it can be tested by itself.

use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::collections::HashSet;

/// Hosts that one request is offered to before it is refused.
pub const MAX_OFFERS: usize = 2;
/// Attempts in a row that reach no upstream, after which a request takes a detour though the host is not
/// known to be cut off.
pub const UNREACHED_ATTEMPTS: u32 = 2;
/// Retry delay for a request that no host takes, where none tells a delay.
pub const NO_HOST_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest time for which a host that has refused a detour, or can't be connected to, is passed by.
const MAX_AVOIDANCE: Duration = Duration::from_secs(1);
/// Detours through a host of the same data centre that weigh as much as none through one of another: so
/// many more are under way there before others are preferred.
const NEAR_ADVANTAGE: u32 = 4;

/// How this host reaches the upstreams of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamReach {
    /// It reaches them.
    Reached,
    /// It reaches some of them.
    Partial,
    /// It reaches none of them, and other hosts do.
    Stranded,
}

/// State of a request before its next attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DetourInputs {
    /// How this host reaches the upstreams of the request's service.
    pub reach: UpstreamReach,
    /// Latest attempts in a row that reached no upstream.
    pub unreached: u32,
    /// Whether there is no upstream left that this host could send the request to now.
    pub has_no_upstream: bool,
    /// Hosts that did not take the request since its latest progress.
    pub offers: usize,
}

/// Where the next attempt goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DetourDecision {
    /// To an upstream of this host.
    Own,
    /// Through another host, if there is one.
    Detour,
    /// Nowhere: the request is refused.
    Refuse,
}

/// Decides where the next attempt of a request goes.
pub fn decide_detour(inputs: DetourInputs) -> DetourDecision {
    let may_offer = inputs.offers < MAX_OFFERS;
    let is_unreached = inputs.unreached >= UNREACHED_ATTEMPTS;
    match inputs.reach {
        UpstreamReach::Stranded if may_offer => DetourDecision::Detour,
        UpstreamReach::Stranded => DetourDecision::Refuse,
        UpstreamReach::Partial if may_offer && (inputs.has_no_upstream || inputs.unreached > 0) => {
            DetourDecision::Detour
        }
        UpstreamReach::Reached if may_offer && is_unreached => DetourDecision::Detour,
        UpstreamReach::Partial | UpstreamReach::Reached if inputs.has_no_upstream => {
            DetourDecision::Refuse
        }
        UpstreamReach::Partial | UpstreamReach::Reached => DetourDecision::Own,
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct HostRecord {
    /// Detours of this host under way there.
    under_way: u32,
    avoided_until: Option<Instant>,
}

/// What this host knows of the hosts that its detours go through.
#[derive(Debug, Default)]
pub struct DetourTable {
    hosts: HashMap<String, HostRecord>,
    /// Hosts of this one's data centre.
    near: HashSet<String>,
}

impl DetourTable {
    /// Replaces the names of the other hosts of this one's data centre.
    pub fn set_near_hosts(&mut self, near: HashSet<String>) {
        self.near = near;
    }

    /// Chooses the host of the next detour among `candidates`: at random, with a weight that falls with the
    /// detours under way there. Hosts of the same data centre have an advantage of a few detours. Leaves out
    /// `excluded` hosts and those that have refused one lately.
    ///
    /// Returns the position among `candidates`. `draw` is a random number from 0 up to 1.
    pub fn choose(
        &self,
        candidates: &[&str],
        excluded: &[String],
        now: Instant,
        draw: f64,
    ) -> Option<usize> {
        let weights: Vec<(usize, f64)> = candidates
            .iter()
            .enumerate()
            .filter(|(_, host)| !excluded.iter().any(|excluded| excluded == *host))
            .filter(|(_, host)| !self.is_avoided(host, now))
            .map(|(position, host)| (position, self.weight(host)))
            .collect();
        let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
        let mut left = draw * total;
        for (position, weight) in &weights {
            if left < *weight {
                return Some(*position);
            }
            left -= weight;
        }
        weights.last().map(|(position, _)| *position)
    }

    /// The shortest time until one of `candidates` may take a detour again; `None` if all may now, or there
    /// are none.
    pub fn shortest_avoidance(&self, candidates: &[&str], now: Instant) -> Option<Duration> {
        let until = candidates.iter().filter_map(|host| {
            let record = self.hosts.get(*host)?;
            record.avoided_until.filter(|until| *until > now)
        });
        until.min().map(|until| until - now)
    }

    /// Counts a detour that begins through `host`.
    pub fn begin(&mut self, host: &str) {
        let record = self.hosts.entry(host.to_owned()).or_default();
        record.under_way += 1;
    }

    /// Counts the end of a detour through `host`.
    pub fn end(&mut self, host: &str, now: Instant) {
        let Some(record) = self.hosts.get_mut(host) else {
            return;
        };
        record.under_way = record.under_way.saturating_sub(1);
        let is_avoided = record.avoided_until.is_some_and(|until| until > now);
        if record.under_way == 0 && !is_avoided {
            self.hosts.remove(host);
        }
    }

    /// Passes `host` by for `delay`, as it has refused a detour or can't be connected to.
    pub fn avoid(&mut self, host: &str, delay: Duration, now: Instant) {
        let record = self.hosts.entry(host.to_owned()).or_default();
        record.avoided_until = Some(now + delay.min(MAX_AVOIDANCE));
    }

    /// Number of detours under way through all hosts.
    pub fn under_way(&self) -> u32 {
        self.hosts.values().map(|record| record.under_way).sum()
    }

    fn is_avoided(&self, host: &str, now: Instant) -> bool {
        let record = self.hosts.get(host);
        let until = record.and_then(|record| record.avoided_until);
        until.is_some_and(|until| until > now)
    }

    fn weight(&self, host: &str) -> f64 {
        let record = self.hosts.get(host);
        let under_way = record.map_or(0, |record| record.under_way);
        let load = match self.near.contains(host) {
            true => under_way.saturating_sub(NEAR_ADVANTAGE - 1),
            false => under_way + NEAR_ADVANTAGE - 1,
        };
        1.0 / f64::from(load + 1)
    }
}
