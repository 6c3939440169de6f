//! The other hosts as one host sees them: which are near on the ring, and which are alive.

use tokio::time::Instant;

use crate::balancer::liveness::PeerLiveness;
use crate::balancer::report::HostAnnouncement;
use crate::balancer::ring::HostRing;
use crate::ids::HostId;

/// What this host hears of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerState {
    /// Its reports arrive.
    Heard,
    /// Its last report said that it leaves.
    Leaving,
    /// No report has arrived lately.
    Unheard,
}

/// Position of a host on the ring, and the liveness of the other hosts.
///
/// Callers pass the reach, the ring distance that makes a host a neighbour, as it depends on the
/// upstreams that the hosts share.
#[derive(Debug)]
pub(crate) struct NeighbourTracker {
    own: HostId,
    ring: HostRing,
    /// Position of this host on the ring.
    position: f64,
    liveness: PeerLiveness,
}

impl NeighbourTracker {
    /// Creates a tracker for the host `own`, which knows no other host.
    pub(crate) fn new(own: HostId) -> Self {
        Self {
            own,
            ring: HostRing::default(),
            position: 0.0,
            liveness: PeerLiveness::default(),
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
    pub(crate) fn position(&self) -> f64 {
        self.position
    }

    /// Replaces the hosts on the ring. This host is included even if `names` lacks it.
    pub(crate) fn set_hosts<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        let own = self.own.as_str();
        let mut hosts: Vec<&str> = names.into_iter().filter(|name| *name != own).collect();
        hosts.push(own);
        if self.ring.consists_of(&hosts) {
            return;
        }
        self.ring = HostRing::new(hosts);
        self.position = self.ring.position(own);
    }

    /// Distance of `host` from this one on the ring.
    pub(crate) fn distance(&self, host: &str) -> f64 {
        self.ring.distance(self.own(), host)
    }

    /// The other hosts within `reach` of this one.
    pub(crate) fn near(&self, reach: f64) -> impl Iterator<Item = &str> {
        self.ring.near(self.own(), reach)
    }

    /// The other hosts within `reach` of the position `position`.
    pub(crate) fn near_position(&self, position: f64, reach: f64) -> impl Iterator<Item = &str> {
        let near = self.ring.near_position(position, reach);
        near.filter(|host| *host != self.own())
    }

    /// Whether this host is the nearest to `position` among itself and those that it hears.
    pub(crate) fn is_nearest_heard(&self, position: f64, now: Instant) -> bool {
        let own = self.own();
        let mut hosts = self.ring.near_position(position, 1.0);
        let nearest =
            hosts.find(|host| *host == own || self.peer_state(host, now) == PeerState::Heard);
        nearest.is_none_or(|host| host == own)
    }

    /// Number of hosts nearer to `position` than this one among those that it hears.
    pub(crate) fn rank_heard(&self, position: f64, now: Instant) -> usize {
        let own = self.own();
        let nearer = self.ring.near_position(position, 1.0);
        let nearer = nearer.take_while(|host| *host != own);
        nearer
            .filter(|host| self.peer_state(host, now) == PeerState::Heard)
            .count()
    }

    /// Whether this host hears any other one on the ring.
    pub(crate) fn hears_any(&self, now: Instant) -> bool {
        let mut others = self.near_position(self.position, 1.0);
        others.any(|host| self.peer_state(host, now) == PeerState::Heard)
    }

    /// Those of `hosts` that callers should use, where the hosts within `reach` are expected to
    /// report to this one.
    pub(crate) fn usable<'a>(&self, hosts: &[&'a str], reach: f64, now: Instant) -> Vec<&'a str> {
        let is_expected = |host: &str| self.ring.is_near(self.own(), host, reach);
        self.liveness.usable(self.own(), hosts, is_expected, now)
    }

    /// What this host hears of `host`.
    pub(crate) fn peer_state(&self, host: &str, now: Instant) -> PeerState {
        match self.liveness.is_leaving(host, now) {
            Some(true) => PeerState::Leaving,
            Some(false) => PeerState::Heard,
            None => PeerState::Unheard,
        }
    }

    /// Share of this host and `others` that this host hears, itself included. Those that leave are not
    /// counted.
    pub(crate) fn heard_share<'a>(
        &self,
        others: impl IntoIterator<Item = &'a str>,
        now: Instant,
    ) -> f64 {
        let (mut known, mut heard) = (1, 1);
        for host in others {
            let state = self.peer_state(host, now);
            known += u32::from(state != PeerState::Leaving);
            heard += u32::from(state == PeerState::Heard);
        }
        f64::from(heard) / f64::from(known)
    }

    /// Records a heartbeat of `host`: any load report or broadcast from it.
    pub(crate) fn record_heartbeat(&mut self, host: &str, is_leaving: bool, now: Instant) {
        self.liveness.record_heartbeat(host, is_leaving, now);
    }

    /// Applies a broadcast of another host.
    pub(crate) fn apply_announcement(&mut self, announcement: &HostAnnouncement, now: Instant) {
        self.record_heartbeat(&announcement.host, announcement.is_leaving, now);
        let own = self.own.as_str();
        for host in announcement.silent_hosts.iter().filter(|host| *host != own) {
            self.liveness.record_silence(host, now);
        }
    }

    /// Hosts within `reach` that recently stopped reporting and that this host has to announce to
    /// all others.
    ///
    /// The next live host on the ring after the silent one announces it, so that one host does. A
    /// host that hears fewer than half of its neighbours may be partitioned itself, and announces
    /// nothing.
    pub(crate) fn silent_neighbours(&self, reach: f64, now: Instant) -> Vec<String> {
        let near: Vec<&str> = self.near(reach).collect();
        let live = near.iter().filter(|host| self.liveness.is_live(host, now));
        if live.count() * 2 < near.len() {
            return Vec::new();
        }
        let is_live = |host: &str| host == self.own() || self.liveness.is_live(host, now);
        let is_announcer = |host: &str| self.ring.next_after(host, is_live) == Some(self.own());
        let silent = near
            .into_iter()
            .filter(|host| self.liveness.recently_silent(host, now) && is_announcer(host));
        silent.map(str::to_owned).collect()
    }
}
