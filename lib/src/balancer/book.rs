//! Book of upstreams and of the work that all hosts run at them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::balancer::health::FaultBackoff;
use crate::balancer::health::UpstreamAvailability;
use crate::balancer::health::UpstreamFault;
use crate::balancer::leaving::LeavingIncarnations;
use crate::balancer::leaving::UpstreamIncarnation;
use crate::balancer::neighbours::NeighbourTracker;
use crate::balancer::peers::PeerLoads;
use crate::balancer::peers::WorkCount;
use crate::balancer::report::HostAnnouncement;
use crate::balancer::report::HostLoadReport;
use crate::balancer::report::UpstreamLoad;
use crate::balancer::report::upstream_tag;
use crate::balancer::ring::certain_neighbour_reach;
use crate::balancer::ring::indices_by_distance;
use crate::balancer::ring::neighbour_reach;
use crate::balancer::ring::window_size;
use crate::balancer::spare::SlotUsage;
use crate::balancer::spare::SpareCapacity;
use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::ids::ServiceName;
use crate::ids::UpstreamId;
use crate::ids::WorkClass;

/// With reports of more hosts than this, each request chooses among a sample of the upstreams, as
/// all hosts would choose the same ones from the same reports. Loads of sampled choices stay
/// close though reports are old: Mitzenmacher, "How useful is old information?", 2000.
const SAMPLED_PEERS: usize = 12;
const SAMPLE: usize = 4;
/// An upstream that sent a part of an answer within this time is reported as lively.
const LIVELY_TIME: Duration = Duration::from_millis(150);
/// Time after its start in which a host of a fleet leaves places to online work, as it knows the
/// work of few others.
const UNHEARD_TIME: Duration = Duration::from_millis(700);
/// Time within which hosts hear of one another's batch items.
const START_WINDOW: Duration = Duration::from_millis(40);
/// Advantage of an upstream in the host's own data centre, in places.
const NEAR_BONUS: f64 = 0.5;

/// What an upstream says of its plans.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// It takes requests.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// An upstream as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Identifier, new with most starts.
    pub id: UpstreamId,
    /// Service that the upstream runs.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// What it says of its plans.
    pub state: UpstreamState,
    /// Start of the upstream in milliseconds since 1970.
    pub born: u64,
}

/// Number of an upstream in the book; never used again for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BalancerKey(u32);

/// What is asked of the book for one piece of work.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest<'a> {
    /// Service that the work needs.
    pub service: &'a ServiceName,
    /// Its priority class.
    pub class: WorkClass,
    /// Upstreams that the work has already been sent to.
    pub avoid: &'a [BalancerKey],
    /// Whether the work may run again, so that it may show whether a faulty upstream serves again.
    pub may_probe: bool,
}

/// An upstream that was picked for a request.
#[derive(Clone, Debug)]
pub struct UpstreamChoice {
    /// Number of the upstream.
    pub key: BalancerKey,
    /// Identifier of the upstream.
    pub id: UpstreamId,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Work at the upstream before this request, of all hosts.
    pub ahead: u32,
    /// Places of the upstream.
    pub slots: u32,
    /// The best upstream that was not picked.
    pub next: Option<RunnerUp>,
    /// Age of the oldest load report of another host that was counted.
    pub report_age: Option<Duration>,
}

/// The second choice for a request.
#[derive(Clone, Debug)]
pub struct RunnerUp {
    /// Identifier of the upstream.
    pub id: UpstreamId,
    /// Work at the upstream, of all hosts.
    pub ahead: u32,
}

#[derive(Debug)]
struct Upstream {
    entry: UpstreamEntry,
    tag: u32,
    own: WorkCount,
    health: FaultBackoff,
    /// When it last sent this host a part of an answer.
    lively_at: Option<Instant>,
    listed: bool,
    /// Whether this start said that it leaves.
    is_leaving: bool,
}

impl Upstream {
    /// Work of all hosts; `peers` is that of the others.
    fn work(&self, peers: &PeerLoads) -> WorkCount {
        self.own.plus(peers.at(self.tag))
    }

    /// Work that a new piece of `class` would wait for or run beside.
    fn ahead(&self, class: WorkClass, peers: &PeerLoads) -> u32 {
        let work = self.work(peers);
        match class {
            WorkClass::Online => work.online,
            WorkClass::Batch => work.total(),
        }
    }

    fn start(&self) -> UpstreamIncarnation {
        UpstreamIncarnation(self.tag, self.entry.born)
    }

    fn takes_requests(&self) -> bool {
        self.listed
            && !self.is_leaving
            && self.entry.state == UpstreamState::Ready
            && self.entry.slots > 0
    }
}

/// Upstreams of all services, with the work at each.
#[derive(Debug)]
pub struct BalancerState {
    data_centre: DataCentre,
    next_key: u32,
    upstreams: HashMap<BalancerKey, Upstream>,
    keys: HashMap<UpstreamId, BalancerKey>,
    /// Upstreams of each service that take requests, in the order of their tags.
    serving: HashMap<ServiceName, Vec<(u32, BalancerKey)>>,
    /// Upstreams at which this host runs something.
    busy: BTreeSet<BalancerKey>,
    watch: NeighbourTracker,
    peers: PeerLoads,
    leaving: LeavingIncarnations,
    /// When this host first had a batch item to start.
    first_start: Option<Instant>,
    /// Batch items that this host may still start in the window that began at the instant.
    starts: HashMap<ServiceName, (Instant, u32)>,
}

impl BalancerState {
    /// Returns an empty book of `host`.
    pub fn new(host: HostId, data_centre: DataCentre) -> Self {
        Self {
            data_centre,
            next_key: 0,
            upstreams: HashMap::default(),
            keys: HashMap::default(),
            serving: HashMap::default(),
            busy: BTreeSet::new(),
            watch: NeighbourTracker::new(host),
            peers: PeerLoads::default(),
            leaving: LeavingIncarnations::default(),
            first_start: None,
            starts: HashMap::default(),
        }
    }

    /// Takes in what an upstream says of itself. An upstream that started again under its old
    /// identifier begins with a clean record.
    pub fn put(&mut self, entry: UpstreamEntry) {
        if let Some(key) = self.keys.get(&entry.id)
            && let Some(upstream) = self.upstreams.get_mut(key)
        {
            let restarted = upstream.entry.born != entry.born
                || upstream.entry.address != entry.address
                || upstream.entry.service != entry.service;
            if !restarted {
                upstream.entry = entry;
                upstream.listed = true;
                return self.file(*key);
            }
            self.remove(&entry.id);
        }
        let key = BalancerKey(self.next_key);
        self.next_key += 1;
        self.keys.insert(entry.id.clone(), key);
        let tag = upstream_tag(&entry.id);
        let upstream = Upstream {
            tag,
            is_leaving: self.leaving.contains(UpstreamIncarnation(tag, entry.born)),
            entry,
            own: WorkCount::default(),
            health: FaultBackoff::default(),
            lively_at: None,
            listed: true,
        };
        self.upstreams.insert(key, upstream);
        self.file(key);
    }

    /// Files an upstream under its service if it takes requests, and takes it out if not.
    fn file(&mut self, key: BalancerKey) {
        let Some(upstream) = self.upstreams.get(&key) else {
            return;
        };
        let place = (upstream.tag, key);
        let serving = self
            .serving
            .entry(upstream.entry.service.clone())
            .or_default();
        match (serving.binary_search(&place), upstream.takes_requests()) {
            (Err(at), true) => serving.insert(at, place),
            (Ok(at), false) => {
                serving.remove(at);
            }
            _ => {}
        }
    }

    /// Takes in the names of the hosts that share the upstreams. This host is always one of them.
    pub fn set_hosts<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        self.watch.set_hosts(names);
    }

    /// Hosts that have to hear of this host's load: those whose windows may overlap its own, and
    /// those that use an upstream at which it runs something, as it may have come from elsewhere.
    pub fn neighbours(&self) -> HashSet<String> {
        let near = self.watch.near(self.reach(neighbour_reach));
        let users = self.busy.iter().flat_map(|key| self.users(*key));
        near.chain(users).map(str::to_owned).collect()
    }

    /// Other hosts in whose windows an upstream is.
    fn users(&self, key: BalancerKey) -> impl Iterator<Item = &str> {
        let upstream = &self.upstreams[&key];
        let serving = self.serving.get(&upstream.entry.service);
        let found = serving.and_then(|all| {
            let index = all.binary_search(&(upstream.tag, key)).ok()?;
            Some((index, all.len()))
        });
        found.into_iter().flat_map(|(index, count)| {
            let place = (index as f64 + 0.5) / count as f64;
            let reach = neighbour_reach(count, self.watch.hosts()) / 2.0;
            self.watch.near_place(place, reach)
        })
    }

    /// The largest reach that any service has.
    fn reach(&self, of: impl Fn(usize, usize) -> f64) -> f64 {
        let hosts = self.watch.hosts();
        let services = self.serving.values().filter(|all| !all.is_empty());
        services.map(|all| of(all.len(), hosts)).fold(0.0, f64::max)
    }

    /// Those of `hosts` that callers should use: all but hosts that leave, and neighbours that have
    /// fallen silent.
    pub fn usable_hosts<'a>(&self, hosts: &[&'a str], now: Instant) -> Vec<&'a str> {
        self.watch
            .usable(hosts, self.reach(certain_neighbour_reach), now)
    }

    /// Forgets an upstream. Its running requests keep their places until they end.
    pub fn remove(&mut self, id: &UpstreamId) {
        let Some(key) = self.keys.remove(id) else {
            return;
        };
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.listed = false;
        }
        self.file(key);
        self.sweep(key);
    }

    /// Removes all upstreams whose identifiers `keep` turns down.
    pub fn retain(&mut self, keep: impl Fn(&UpstreamId) -> bool) {
        let gone: Vec<UpstreamId> = self.keys.keys().filter(|id| !keep(id)).cloned().collect();
        for id in gone {
            self.remove(&id);
        }
    }

    /// Identifiers of all upstreams.
    pub fn ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.keys.keys()
    }

    /// Number of upstreams of `service` that take requests.
    pub fn ready_count(&self, service: &ServiceName) -> usize {
        self.serving.get(service).map_or(0, Vec::len)
    }

    /// Places of `service` at upstreams that this host uses, and the online work there.
    ///
    /// Without a sound upstream, each one that is on trial offers one place: a host whose own pause
    /// or link made all of them seem faulty finds back by these requests.
    pub fn online_capacity(&self, service: &ServiceName, now: Instant) -> (u32, u32) {
        let mut slots = 0;
        let mut online = 0;
        let mut trials = 0;
        for (_, upstream) in self.window(service, |up| {
            standing(up, now) != UpstreamAvailability::Paused
        }) {
            match standing(upstream, now) {
                UpstreamAvailability::Good => {
                    slots += upstream.entry.slots;
                    online += upstream.work(&self.peers).online;
                }
                UpstreamAvailability::OnTrial if upstream.own.total() == 0 => trials += 1,
                UpstreamAvailability::OnTrial | UpstreamAvailability::Paused => {}
            }
        }
        match slots {
            0 => (trials, 0),
            slots => (slots, online),
        }
    }

    /// Online and batch work at the upstreams of `service` that this host uses, of all hosts.
    pub fn running_work(&self, service: &ServiceName) -> (u32, u32) {
        let works = self
            .window(service, |_| true)
            .map(|(_, upstream)| upstream.work(&self.peers));
        let sum = works.fold(WorkCount::default(), WorkCount::plus);
        (sum.online, sum.batch)
    }

    /// The upstreams of `service` that this host uses, among those that fulfil `condition`.
    ///
    /// Where many do not, as they are faulty, the window reaches farther.
    fn window(
        &self,
        service: &ServiceName,
        condition: impl Fn(&Upstream) -> bool,
    ) -> impl Iterator<Item = (BalancerKey, &Upstream)> {
        let serving = self.serving.get(service).map_or(&[][..], Vec::as_slice);
        let size = window_size(serving.len(), self.watch.hosts());
        indices_by_distance(self.watch.place(), serving.len())
            .map(|index| serving[index].1)
            .map(|key| (key, &self.upstreams[&key]))
            .filter(move |(_, upstream)| condition(upstream))
            .take(size)
    }

    /// Takes a place for one piece of work, or returns `None` if no upstream may take it.
    ///
    /// An online request gets the upstream with the least work, even if all places there are
    /// taken. A batch item gets a free one, and only while enough others stay free. Work that must
    /// not run again gets an upstream on trial only if there is no other. `draw` breaks ties.
    pub fn take(
        &mut self,
        ask: SlotRequest<'_>,
        now: Instant,
        draw: u32,
    ) -> Option<UpstreamChoice> {
        let SlotRequest { service, class, .. } = ask;
        if class == WorkClass::Batch && !self.may_start(service, now) {
            return None;
        }
        let candidates = self.candidates(ask, now, draw);
        let key = *candidates.first()?;
        let next = candidates.get(1).map(|key| {
            let upstream = &self.upstreams[key];
            RunnerUp {
                id: upstream.entry.id.clone(),
                ahead: upstream.ahead(class, &self.peers),
            }
        });
        let oldest = self.peers.oldest();
        let upstream = self.upstreams.get_mut(&key)?;
        let ahead = upstream.ahead(class, &self.peers);
        *upstream.own.of(class) += 1;
        self.busy.insert(key);
        if class == WorkClass::Batch
            && let Some(starts) = self.starts.get_mut(service)
        {
            starts.1 = starts.1.saturating_sub(1);
        }
        Some(UpstreamChoice {
            key,
            id: upstream.entry.id.clone(),
            address: upstream.entry.address,
            ahead,
            slots: upstream.entry.slots,
            next,
            report_age: oldest.map(|heard| now - heard),
        })
    }

    /// Upstreams among which a piece of work is placed, the best first.
    fn candidates(&self, ask: SlotRequest<'_>, now: Instant, draw: u32) -> Vec<BalancerKey> {
        let class = ask.class;
        let may_probe = |upstream: &Upstream| match standing(upstream, now) {
            UpstreamAvailability::Good => true,
            UpstreamAvailability::OnTrial => upstream.own.total() == 0,
            UpstreamAvailability::Paused => false,
        };
        let mut candidates: Vec<(BalancerKey, &Upstream)> = self
            .window(ask.service, may_probe)
            .filter(|(key, upstream)| !ask.avoid.contains(key) && self.has_room(upstream, class))
            .collect();
        let is_good = |upstream: &Upstream| standing(upstream, now) == UpstreamAvailability::Good;
        if !ask.may_probe && candidates.iter().any(|(_, upstream)| is_good(upstream)) {
            candidates.retain(|(_, upstream)| is_good(upstream));
        }
        candidates.sort_unstable_by_key(|(key, _)| mixed(*key, draw));
        if self.peers.len() >= SAMPLED_PEERS {
            candidates.truncate(SAMPLE);
        }
        candidates.sort_by(|(_, a), (_, b)| self.score(a, class).total_cmp(&self.score(b, class)));
        candidates.into_iter().map(|(key, _)| key).collect()
    }

    /// Batch items wait for a free place; online requests may wait at their upstream.
    fn has_room(&self, upstream: &Upstream, class: WorkClass) -> bool {
        match class {
            WorkClass::Online => true,
            WorkClass::Batch => upstream.work(&self.peers).total() < upstream.entry.slots,
        }
    }

    /// Load after taking the work, in shares of the upstream's places; lower is better.
    fn score(&self, upstream: &Upstream, class: WorkClass) -> f64 {
        let work = upstream.work(&self.peers);
        let slots = f64::from(upstream.entry.slots);
        let near = upstream.entry.data_centre == self.data_centre;
        let bonus = if near { NEAR_BONUS } else { 0.0 };
        let used = (f64::from(work.total()) - bonus) / slots;
        let must_wait = work.total() >= upstream.entry.slots;
        match class {
            // Batch items there give way, so that only online work is waited for.
            WorkClass::Online if must_wait => 1.0 + (f64::from(work.online) - bonus) / slots,
            WorkClass::Online | WorkClass::Batch => used,
        }
    }

    /// Gives back a place.
    pub fn release(&mut self, key: BalancerKey, class: WorkClass) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            let count = upstream.own.of(class);
            *count = count.saturating_sub(1);
            if upstream.own.total() == 0 {
                self.busy.remove(&key);
            }
        }
        self.sweep(key);
    }

    /// Notes what a request showed of its upstream; returns for how long this ejects it, if it
    /// does.
    pub fn fault(
        &mut self,
        key: BalancerKey,
        fault: UpstreamFault,
        now: Instant,
    ) -> Option<Duration> {
        self.upstreams.get_mut(&key)?.health.fault(fault, now)
    }

    /// Notes that an upstream sent a part of an answer.
    pub fn note_progress(&mut self, key: BalancerKey, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.lively_at = Some(now);
        }
    }

    /// What it means that an upstream has sent a request nothing since `since`: it may have gone
    /// dark, or be full while it goes on with the requests of this host or others.
    pub fn silence(&self, key: BalancerKey, since: Instant) -> UpstreamFault {
        let lively = self.upstreams.get(&key).is_some_and(|upstream| {
            let times = [upstream.lively_at, self.peers.lively_at(upstream.tag)];
            times.into_iter().flatten().any(|at| at > since)
        });
        match lively {
            true => UpstreamFault::Slow,
            false => UpstreamFault::Silent,
        }
    }

    /// Notes that an upstream served a request well; returns for how long it was ejected, if it
    /// was.
    pub fn success(&mut self, key: BalancerKey, now: Instant) -> Option<Duration> {
        self.upstreams.get_mut(&key)?.health.success(now)
    }

    /// Notes that an upstream said that it leaves: it gets no more requests until it starts again.
    /// Returns whether this is new.
    pub fn leave(&mut self, key: BalancerKey, now: Instant) -> bool {
        let Some(upstream) = self.upstreams.get(&key) else {
            return false;
        };
        let (id, start) = (upstream.entry.id.clone(), upstream.start());
        // The entry may have lapsed and come back since the request was sent.
        if let Some(listed) = self.keys.get(&id) {
            self.mark_leaving(*listed, start);
        }
        self.leaving.note(start, now)
    }

    fn mark_leaving(&mut self, key: BalancerKey, start: UpstreamIncarnation) {
        if let Some(upstream) = self.upstreams.get_mut(&key)
            && upstream.start() == start
        {
            upstream.is_leaving = true;
            self.file(key);
        }
    }

    /// Upstreams that said lately that they leave, for the load report.
    pub fn leaving_news(&mut self, now: Instant) -> Vec<UpstreamIncarnation> {
        self.leaving.news(now)
    }

    fn hear_leaving(&mut self, starts: &[UpstreamIncarnation]) {
        for start in starts {
            if !self.leaving.hear(*start) {
                continue;
            }
            let mut listed = self.keys.values();
            if let Some(key) = listed.find(|key| self.upstreams[key].start() == *start) {
                self.mark_leaving(*key, *start);
            }
        }
    }

    /// Number of this host's batch items that give way at each upstream.
    ///
    /// The hosts with the most items go first, then the lesser names, so that hosts with the
    /// same reports agree.
    pub fn preemptions(&self, now: Instant) -> Vec<(BalancerKey, u32)> {
        let mut own = self.busy.iter().map(|key| self.upstreams[key].own.batch);
        if own.all(|count| count == 0) {
            return Vec::new();
        }
        let mut parks = Vec::new();
        for service in self.serving.keys() {
            let fills = self.fills(service, now);
            for (key, count) in SpareCapacity::of(&fills).parks(&fills) {
                let own = self.own_share(&self.upstreams[&key], count);
                if own > 0 {
                    parks.push((key, own));
                }
            }
        }
        parks
    }

    fn fills(&self, service: &ServiceName, now: Instant) -> Vec<SlotUsage> {
        let good = self.window(service, |up| {
            standing(up, now) == UpstreamAvailability::Good
        });
        let fills = good.map(|(key, upstream)| {
            let work = upstream.work(&self.peers);
            SlotUsage {
                key,
                tag: upstream.tag,
                slots: upstream.entry.slots,
                online: work.online,
                batch: work.batch,
            }
        });
        fills.collect()
    }

    /// Whether this host may start another batch item now. Without a sound upstream an item may
    /// be the trial of one.
    fn may_start(&mut self, service: &ServiceName, now: Instant) -> bool {
        let asked = *self.first_start.get_or_insert(now);
        if self.watch.hosts() > 1 && now - asked < UNHEARD_TIME {
            return false;
        }
        let hosts = self.peers.len() as u32 + 1;
        let fills = self.fills(service, now);
        if fills.is_empty() {
            return true;
        }
        let share = SpareCapacity::of(&fills).start_share(hosts);
        let starts = self.starts.entry(service.clone()).or_insert((now, share));
        if now - starts.0 >= START_WINDOW {
            *starts = (now, share);
        }
        share > 0 && starts.1 > 0
    }

    fn own_share(&self, upstream: &Upstream, over: u32) -> u32 {
        let mut holders: Vec<(u32, &str)> = vec![(upstream.own.batch, self.watch.own())];
        holders.extend(self.peers.batch_holders(upstream.tag));
        let mut own = 0;
        for _ in 0..over {
            let most = holders
                .iter_mut()
                .max_by(|a, b| (a.0, std::cmp::Reverse(a.1)).cmp(&(b.0, std::cmp::Reverse(b.1))));
            let Some(most) = most.filter(|most| most.0 > 0) else {
                break;
            };
            most.0 -= 1;
            own += u32::from(most.1 == self.watch.own());
        }
        own
    }

    /// What this host runs, for its load report.
    pub fn own_loads(&self, now: Instant) -> Vec<UpstreamLoad> {
        let working = self.busy.iter().map(|key| &self.upstreams[key]);
        let mut loads: Vec<UpstreamLoad> = working
            .map(|up| {
                let is_lively = up.lively_at.is_some_and(|at| now - at < LIVELY_TIME);
                UpstreamLoad(up.tag, up.own.online as u16, up.own.batch as u16, is_lively)
            })
            .collect();
        loads.sort_by_key(|load| load.0);
        loads
    }

    /// Takes in another host's report, unless a newer one is known. Returns whether the work at
    /// any upstream has changed.
    pub fn hear(&mut self, report: HostLoadReport, now: Instant) -> bool {
        if report.host == self.watch.own() || self.peers.is_old(&report) {
            return false;
        }
        self.watch.hear(&report.host, report.is_leaving, now);
        self.hear_leaving(&report.leaving);
        self.peers.take(report, now)
    }

    /// Takes in what another host tells all.
    pub fn apply_announcement(&mut self, news: &HostAnnouncement, now: Instant) {
        self.watch.apply_announcement(news, now);
    }

    /// Neighbours that have fallen silent lately and of which this host has to tell all others.
    pub fn silent_neighbours(&self, now: Instant) -> Vec<String> {
        self.watch.silent(self.reach(certain_neighbour_reach), now)
    }

    /// Forgets the work of hosts that have fallen silent.
    pub fn forget_silent(&mut self, now: Instant) {
        self.peers.forget_silent(now);
    }

    fn sweep(&mut self, key: BalancerKey) {
        let idle = |up: &Upstream| !up.listed && up.own.total() == 0;
        if self.upstreams.get(&key).is_some_and(idle) {
            self.upstreams.remove(&key);
        }
    }
}

fn standing(upstream: &Upstream, now: Instant) -> UpstreamAvailability {
    upstream.health.standing(now)
}

/// Position of an upstream in a random order that `draw` picks.
fn mixed(key: BalancerKey, draw: u32) -> u32 {
    let seed = (u64::from(draw) << 32) | u64::from(key.0);
    xxh3_64(&seed.to_le_bytes()) as u32
}
