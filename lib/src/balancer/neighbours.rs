//! The other hosts as one host sees them: which are near on the ring, and which are alive.

use tokio::time::Instant;

use crate::balancer::pulse::PeerLiveness;
use crate::balancer::report::HostAnnouncement;
use crate::balancer::ring::HostRing;
use crate::ids::HostId;

/// Position of a host on the ring, and the liveness of the other hosts.
///
/// Callers pass the reach, the ring distance that makes a host a neighbour, as it depends on the
/// upstreams that the hosts share.
#[derive(Debug)]
pub(crate) struct NeighbourTracker {
    own: HostId,
    ring: HostRing,
    /// Position of this host on the ring.
    place: f64,
    pulse: PeerLiveness,
}

impl NeighbourTracker {
    /// Creates a tracker for the host `own`, which knows no other host.
    pub(crate) fn new(own: HostId) -> Self {
        Self {
            own,
            ring: HostRing::default(),
            place: 0.0,
            pulse: PeerLiveness::default(),
        }
    }

    /// Name of this host.
    pub(crate) fn own(&self) -> &str {
        self.own.as_str()
    }

    /// Number of hosts on the ring.
    pub(crate) fn hosts(&self) -> usize {
        self.ring.len()
    }

    /// Position of this host on the ring, from 0 to 1.
    pub(crate) fn place(&self) -> f64 {
        self.place
    }

    /// Replaces the hosts on the ring. This host is included even if `names` lacks it.
    pub(crate) fn set_hosts<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        let own = self.own.as_str();
        let mut hosts: Vec<&str> = names.into_iter().filter(|name| *name != own).collect();
        hosts.push(own);
        if self.ring.is_of(&hosts) {
            return;
        }
        self.ring = HostRing::new(hosts);
        self.place = self.ring.place(own);
    }

    /// The other hosts within `reach` of this one.
    pub(crate) fn near(&self, reach: f64) -> impl Iterator<Item = &str> {
        self.ring.near(self.own(), reach)
    }

    /// The other hosts within `reach` of the position `place`.
    pub(crate) fn near_place(&self, place: f64, reach: f64) -> impl Iterator<Item = &str> {
        let near = self.ring.near_place(place, reach);
        near.filter(|host| *host != self.own())
    }

    /// Those of `hosts` that callers should use, where the hosts within `reach` are expected to
    /// report to this one.
    pub(crate) fn usable<'a>(&self, hosts: &[&'a str], reach: f64, now: Instant) -> Vec<&'a str> {
        let reports = |host: &str| self.ring.is_near(self.own(), host, reach);
        self.pulse.usable(self.own(), hosts, reports, now)
    }

    /// Records a heartbeat of `host`: any load report or broadcast from it.
    pub(crate) fn hear(&mut self, host: &str, is_leaving: bool, now: Instant) {
        self.pulse.note(host, is_leaving, now);
    }

    /// Applies a broadcast of another host.
    pub(crate) fn apply_announcement(&mut self, news: &HostAnnouncement, now: Instant) {
        self.hear(&news.host, news.is_leaving, now);
        let own = self.own.as_str();
        for host in news.silent.iter().filter(|host| *host != own) {
            self.pulse.note_silent(host, now);
        }
    }

    /// Hosts within `reach` that recently stopped reporting and that this host has to announce to
    /// all others.
    ///
    /// The next live host on the ring after the silent one announces it, so that one host does. A
    /// host that hears fewer than half of its neighbours may be partitioned itself, and announces
    /// nothing.
    pub(crate) fn silent(&self, reach: f64, now: Instant) -> Vec<String> {
        let near: Vec<&str> = self.near(reach).collect();
        let heard = near.iter().filter(|host| self.pulse.hears(host, now));
        if heard.count() * 2 < near.len() {
            return Vec::new();
        }
        let lives = |host: &str| host == self.own() || self.pulse.hears(host, now);
        let is_mine = |host: &str| self.ring.next_after(host, lives) == Some(self.own());
        let silent = near
            .into_iter()
            .filter(|host| self.pulse.fell_silent(host, now) && is_mine(host));
        silent.map(str::to_owned).collect()
    }
}
