//! Subsetting: which upstreams a host uses, and which other hosts receive its load reports.
//!
//! Hosts and upstreams lie on two rings of length 1, each sorted by the hashes of their names and
//! evenly spaced. A host uses a window of upstreams, those nearest to its own position; hosts whose
//! windows may overlap are neighbours and exchange load reports. Guarantees that each upstream is
//! in the windows of about as many hosts as any other, that neighbourhood is mutual for hosts that
//! know the same hosts, and that neither the windows nor the number of neighbours grows with the
//! fleet while hosts and upstreams grow together. A host that joins or leaves moves the windows of
//! the others by a fraction of an upstream.
//!
//! The scheme is the deterministic aperture of Finagle, Twitter's RPC library.

use xxhash_rust::xxh3::xxh3_64;

/// Smallest window, in upstreams; a service with fewer has all of them in each window.
const MIN_WINDOW_UPSTREAMS: usize = 12;
/// Minimum number of hosts that have a given upstream in their windows, if there are as many.
const MIN_HOSTS_PER_UPSTREAM: usize = 10;
/// Additional neighbours beyond the overlap of windows, in host positions on the ring. For some
/// seconds after a change of the fleet, hosts may know different hosts and so compute different
/// positions.
const SLACK_HOSTS: f64 = 2.0;

/// Hosts of the fleet, evenly spaced on a ring of length 1.
#[derive(Clone, Debug, Default)]
pub struct HostRing {
    /// Hash and name of each host, sorted.
    hosts: Vec<(u64, String)>,
}

impl HostRing {
    /// Creates a ring of the hosts with these names; duplicates count once.
    pub fn new<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let hashed = names.into_iter().map(|name| (hash(name), name.to_owned()));
        let mut hosts: Vec<(u64, String)> = hashed.collect();
        hosts.sort_unstable();
        hosts.dedup();
        Self { hosts }
    }

    /// Number of hosts on the ring.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether the ring has no host.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Whether the ring consists of exactly these hosts. `names` must not have duplicates.
    pub(crate) fn consists_of(&self, names: &[&str]) -> bool {
        let is_on_ring = |name: &&str| {
            let order = |(hash, other): &(u64, String)| {
                (*hash, other.as_str()).cmp(&(self::hash(name), name))
            };
            self.hosts.binary_search_by(order).is_ok()
        };
        names.len() == self.len() && names.iter().all(is_on_ring)
    }

    /// Position of `host` on the ring. A host that is not on the ring gets the position of its rank
    /// among the others; that may lie beyond the last host, at more than 1.
    pub fn position(&self, host: &str) -> f64 {
        let hash = hash(host);
        let rank = self
            .hosts
            .partition_point(|(other, name)| (*other, name.as_str()) < (hash, host));
        (rank as f64 + 0.5) / self.len().max(1) as f64
    }

    /// The other hosts within the distance `reach` of `host`, the nearest first.
    pub fn near<'a>(&'a self, host: &'a str, reach: f64) -> impl Iterator<Item = &'a str> {
        let near = self.near_position(self.position(host), reach);
        near.filter(move |name| *name != host)
    }

    /// Hosts within the distance `reach` of the position `position`, the nearest first.
    pub fn near_position(&self, position: f64, reach: f64) -> impl Iterator<Item = &str> {
        let count = self.len();
        let at = move |rank: usize| (rank as f64 + 0.5) / count as f64;
        indices_by_distance(position, count)
            .take_while(move |rank| ring_distance(at(*rank), position) <= reach)
            .map(|rank| self.hosts[rank].1.as_str())
    }

    /// The next host after `host` on the ring that fulfils `condition`; `None` if no other host
    /// does.
    pub fn next_after<'a>(
        &'a self,
        host: &str,
        condition: impl Fn(&str) -> bool,
    ) -> Option<&'a str> {
        let key = (hash(host), host);
        let after = self
            .hosts
            .partition_point(|(other, name)| (*other, name.as_str()) <= key);
        let (before, behind) = self.hosts.split_at(after);
        let in_order = behind.iter().chain(before);
        let names = in_order.map(|(_, name)| name.as_str());
        names
            .filter(|name| *name != host)
            .find(|name| condition(name))
    }

    /// Whether the distance of two hosts on the ring is at most `reach`.
    pub fn is_near(&self, one: &str, other: &str, reach: f64) -> bool {
        self.distance(one, other) <= reach
    }

    /// Distance of two hosts on the ring, at most 0.5.
    pub(crate) fn distance(&self, one: &str, other: &str) -> f64 {
        ring_distance(self.position(one), self.position(other))
    }
}

/// Number of upstreams in the window of each host, with `upstreams` upstreams and `hosts` hosts.
pub fn window_size(upstreams: usize, hosts: usize) -> usize {
    let covering = (MIN_HOSTS_PER_UPSTREAM * upstreams).div_ceil(hosts.max(1));
    covering.max(MIN_WINDOW_UPSTREAMS).min(upstreams)
}

/// Distance of two hosts on the ring up to which their windows may overlap, so that they exchange
/// load reports; it allows for hosts that know different hosts.
pub fn neighbour_reach(upstreams: usize, hosts: usize) -> f64 {
    let window = window_size(upstreams, hosts);
    match window == upstreams {
        // Every host uses all upstreams, so all hosts are neighbours.
        true => 1.0,
        false => window as f64 / upstreams as f64 + SLACK_HOSTS / hosts.max(1) as f64,
    }
}

/// Share of a host's window that is also in the window of a host at `distance` on the ring.
pub(crate) fn window_overlap(distance: f64, upstreams: usize, hosts: usize) -> f64 {
    let window = window_size(upstreams, hosts);
    match window == upstreams {
        true => 1.0,
        false => (1.0 - distance * upstreams as f64 / window as f64).max(0.0),
    }
}

/// Distance of two hosts on the ring within which both report to each other even if they know
/// slightly different hosts.
pub fn certain_neighbour_reach(upstreams: usize, hosts: usize) -> f64 {
    match window_size(upstreams, hosts) == upstreams {
        true => 1.0,
        false => neighbour_reach(upstreams, hosts) - 2.0 * SLACK_HOSTS / hosts.max(1) as f64,
    }
}

/// Indices of `count` evenly spaced items on a ring, in the order of their distance from the
/// position `position`, the nearest first.
pub fn indices_by_distance(position: f64, count: usize) -> impl Iterator<Item = usize> {
    let at = position * count as f64;
    let first = at.floor();
    let starts_after = at - first >= 0.5;
    (0..count).map(move |step| {
        let away = step.div_ceil(2);
        let is_next = (step % 2 == 1) == starts_after;
        let first = first as usize % count;
        match is_next {
            true => (first + away) % count,
            false => (first + count - away) % count,
        }
    })
}

/// Distance of two positions on the ring, at most 0.5.
pub(crate) fn ring_distance(one: f64, other: f64) -> f64 {
    let gap = (one - other).abs();
    gap.min(1.0 - gap)
}

fn hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
