//! The other hosts as one host sees them: which are near on the ring, and which live.

use tokio::time::Instant;

use crate::balancer::pulse::PeerLiveness;
use crate::balancer::report::HostAnnouncement;
use crate::balancer::ring::HostRing;
use crate::ids::HostId;

/// Place of a host among the others, and the lives of these.
///
/// Reaches are given by the caller, as they follow from the upstreams that hosts share.
#[derive(Debug)]
pub(crate) struct NeighbourTracker {
    own: HostId,
    ring: HostRing,
    /// Place of this host on the ring.
    place: f64,
    pulse: PeerLiveness,
}

impl NeighbourTracker {
    /// Returns a watch of the host `own` that knows no other host.
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

    /// Place of this host on the ring.
    pub(crate) fn place(&self) -> f64 {
        self.place
    }

    /// Takes in the names of the hosts. This host is always one of them.
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

    /// The other hosts within `reach` of `place`.
    pub(crate) fn near_place(&self, place: f64, reach: f64) -> impl Iterator<Item = &str> {
        let near = self.ring.near_place(place, reach);
        near.filter(|host| *host != self.own())
    }

    /// Those of `hosts` that callers should use, where hosts within `reach` report to this one.
    pub(crate) fn usable<'a>(&self, hosts: &[&'a str], reach: f64, now: Instant) -> Vec<&'a str> {
        let reports = |host: &str| self.ring.is_near(self.own(), host, reach);
        self.pulse.usable(self.own(), hosts, reports, now)
    }

    /// Notes a report of `host`.
    pub(crate) fn hear(&mut self, host: &str, is_leaving: bool, now: Instant) {
        self.pulse.note(host, is_leaving, now);
    }

    /// Takes in what another host tells all.
    pub(crate) fn apply_announcement(&mut self, news: &HostAnnouncement, now: Instant) {
        self.hear(&news.host, news.is_leaving, now);
        let own = self.own.as_str();
        for host in news.silent.iter().filter(|host| *host != own) {
            self.pulse.note_silent(host, now);
        }
    }

    /// Hosts within `reach` that have fallen silent lately and of which this host has to tell all
    /// others: it is the next one on the ring that lives. A host that hears few of them may be cut
    /// off itself, and tells nothing.
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
