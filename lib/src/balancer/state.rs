//! State of the load balancer: the upstreams of all services, their health, and the work that each
//! host runs at them.
//!
//! Does no I/O and reads no clock; callers pass the time.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::balancer::backoff::FaultBackoff;
use crate::balancer::backoff::UpstreamAvailability;
use crate::balancer::backoff::UpstreamFault;
use crate::balancer::capacity::SlotUsage;
use crate::balancer::capacity::preemptions;
use crate::balancer::capacity::spare_slots;
use crate::balancer::incarnation_notices::IncarnationNotices;
use crate::balancer::message_order::MessageOrder;
use crate::balancer::neighbours::NeighbourTracker;
use crate::balancer::pace::PaceBook;
use crate::balancer::pace::UpstreamPace;
use crate::balancer::pace::process_tag;
use crate::balancer::peer_loads::PeerLoads;
use crate::balancer::peer_loads::WorkCount;
use crate::balancer::report::HostAnnouncement;
use crate::balancer::report::HostLoadReport;
use crate::balancer::report::UpstreamLoad;
use crate::balancer::report::upstream_tag;
use crate::balancer::ring::certain_neighbour_reach;
use crate::balancer::ring::indices_by_distance;
use crate::balancer::ring::neighbour_reach;
use crate::balancer::ring::window_overlap;
use crate::balancer::ring::window_size;
use crate::balancer::score::UpstreamScore;
use crate::balancer::score::score;
use crate::balancer::waiting::ItemUrgency;
use crate::balancer::waiting::MAX_REPORTED_GROUPS;
use crate::balancer::waiting::WaitingItems;
use crate::balancer::waiting::service_tag;
use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::fairness::FlowCounts;
use crate::fairness::FlowKey;
use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::ids::ServiceName;
use crate::ids::SoftwareVersion;
use crate::ids::UpstreamId;
use crate::ids::UpstreamIncarnation;
use crate::ids::WorkClass;
use crate::limits::KnownLimit;
use crate::limits::LimitTable;
use crate::limits::ReturnSchedule;
use crate::origins::HostTag;
use crate::reach::ProbeTarget;
use crate::suspects::FleetSize;

/// Number of reporting hosts from which each request chooses among a random sample of the
/// upstreams.
///
/// Without sampling, all hosts would send their requests to the same least loaded upstreams, as
/// they decide from the same reports. With it, loads stay close together even if the reports are
/// stale: Mitzenmacher, "How useful is old information?", 2000.
const MIN_SAMPLING_PEERS: usize = 12;
/// The same number where paces are learnt: hosts agree on the quickest upstreams too.
const MIN_SAMPLING_PEERS_BY_PACE: usize = 4;
/// Size of that sample, in upstreams.
const SAMPLE_SIZE: usize = 4;
/// Time since the last part of an answer within which a load report marks an upstream as active.
const RECENT_PROGRESS_TIME: Duration = Duration::from_millis(150);
/// Time for which a host of a larger fleet starts no batch items, counted from its first attempt.
/// Until load reports arrive, it knows the work of few other hosts and would take slots that online
/// requests need.
const BATCH_START_DELAY: Duration = Duration::from_millis(700);
/// Time before the end of [`BATCH_START_DELAY`] from which a host reports its waiting items, so that
/// hosts that start together know one another's items when they begin.
const WAITING_REPORT_LEAD: Duration = Duration::from_millis(200);
/// Upstreams of one service by which a host judges its reach.
const MAX_PROBE_TARGETS: usize = 16;
/// Upstreams that tell whether a host or an upstream is at fault.
const MAX_CONTROL_TARGETS: usize = 2;

/// Whether an upstream accepts new requests, as its registration says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamState {
    /// The upstream accepts requests.
    Ready,
    /// The upstream finishes its running requests, accepts no new ones and then shuts down.
    Draining,
}

/// Registration of one upstream process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Identifier of the upstream; most upstreams take a new one at each start.
    pub id: UpstreamId,
    /// Service that the upstream runs.
    pub service: ServiceName,
    /// Address at which the upstream accepts requests.
    pub address: SocketAddr,
    /// Data centre in which the upstream runs.
    pub data_centre: DataCentre,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream accepts new requests.
    pub state: UpstreamState,
    /// Start time of the upstream process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Version of the upstream's software.
    pub software: SoftwareVersion,
}

/// Key of an upstream within one host's [`BalancerState`].
///
/// Keys are assigned in ascending order and never reused; an upstream that restarts gets a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BalancerKey(u32);

/// What one request or batch item needs of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest<'a> {
    /// Service that has to run the work.
    pub service: &'a ServiceName,
    /// Priority class of the work.
    pub class: WorkClass,
    /// Upstreams that must not be chosen, as the work has already been sent to them.
    pub excluded: &'a [BalancerKey],
    /// Whether the work may run more than once, so that it can probe an upstream that was ejected
    /// for a fault.
    pub may_probe: bool,
    /// Whether another attempt is possible if this one fails. Other work avoids upstreams that fail a
    /// part of their requests.
    pub may_repeat: bool,
    /// Version of the software at which the work has to go on; `None` for work that has not begun.
    pub software: Option<&'a SoftwareVersion>,
    /// Urgency of a batch item; `None` for an online request.
    pub urgency: Option<ItemUrgency>,
    /// Whether an online request rather waits for a grant at a limited upstream than queues at one
    /// without a free slot.
    pub may_wait: bool,
}

/// An upstream that was chosen for one piece of work, with the loads that led to the choice.
#[derive(Clone, Debug)]
pub struct UpstreamChoice {
    /// Key of the upstream in the [`BalancerState`].
    pub key: BalancerKey,
    /// Identifier of the upstream.
    pub id: UpstreamId,
    /// The process that runs there.
    pub incarnation: UpstreamIncarnation,
    /// Address at which the upstream accepts requests.
    pub address: SocketAddr,
    /// Version of the upstream's software.
    pub software: SoftwareVersion,
    /// Requests of all hosts that were at the upstream before this one; batch items count only if
    /// this work is a batch item itself.
    pub ahead: u32,
    /// Requests and items of all hosts that were at the upstream before this one.
    pub beside: u32,
    /// Expected time until the first event in milliseconds, with what failures cost on the mean; `None`
    /// while too little is known of the service.
    pub expected_ms: Option<f64>,
    /// Time to the first event as a multiple of the service's under the same load; `None` likewise.
    pub pace: Option<f64>,
    /// Number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// The second-best upstream; `None` if there was only one candidate.
    pub next: Option<RunnerUp>,
    /// Age of the oldest load report that was counted; `None` if no other host has reported.
    pub report_age: Option<Duration>,
    /// Limit of requests a second that the upstream has named, and its age.
    pub limit: Option<KnownLimit>,
}

/// The second-best upstream for a piece of work, recorded to explain the choice.
#[derive(Clone, Debug)]
pub struct RunnerUp {
    /// Identifier of the upstream.
    pub id: UpstreamId,
    /// Work of all hosts at the upstream, counted like [`UpstreamChoice::ahead`].
    pub ahead: u32,
}

#[derive(Debug)]
pub(super) struct UpstreamRecord {
    pub(super) entry: UpstreamEntry,
    pub(super) tag: u32,
    pub(super) service_tag: u32,
    pub(super) pace: UpstreamPace,
    pub(super) own_work: WorkCount,
    backoff: FaultBackoff,
    /// When the upstream last sent this host a part of an answer.
    last_progress: Option<Instant>,
    /// Whether the upstream has a registered entry. One without is kept until its running work is
    /// released.
    is_registered: bool,
    /// Whether this incarnation of the upstream has announced that it shuts down.
    pub(super) has_announced_shutdown: bool,
    /// Whether the process that wrote the entry has ended. Another one may answer at its address before
    /// the entry changes.
    pub(super) has_ended: bool,
}

impl UpstreamRecord {
    /// Work of all hosts at the upstream; `peer_loads` holds the other hosts' part.
    pub(super) fn work(&self, peer_loads: &PeerLoads) -> WorkCount {
        self.own_work.plus(peer_loads.work_at(self.tag))
    }

    /// Work that new work of `class` would run beside or queue behind. Online requests preempt
    /// batch items and so don't count them.
    fn ahead(&self, class: WorkClass, peer_loads: &PeerLoads) -> u32 {
        let work = self.work(peer_loads);
        match class {
            WorkClass::Online => work.online,
            WorkClass::Batch => work.total(),
        }
    }

    pub(super) fn incarnation(&self) -> UpstreamIncarnation {
        UpstreamIncarnation(self.tag, self.entry.started_ms)
    }

    /// Version of the software that answers at the upstream's address.
    fn software(&self) -> SoftwareVersion {
        match self.has_ended {
            true => SoftwareVersion::unknown(),
            false => self.entry.software.clone(),
        }
    }

    fn runs_version(&self, version: &SoftwareVersion) -> bool {
        !self.has_ended && self.entry.software == *version
    }

    fn takes_requests(&self) -> bool {
        self.is_registered
            && !self.has_announced_shutdown
            && self.entry.state == UpstreamState::Ready
            && self.entry.slots > 0
    }
}

/// Upstreams of all services as one host knows them, with the health of each and the work of all
/// hosts there.
#[derive(Debug)]
pub struct BalancerState {
    pub(super) data_centre: DataCentre,
    next_key: u32,
    pub(super) upstreams: HashMap<BalancerKey, UpstreamRecord>,
    pub(super) keys_by_id: HashMap<UpstreamId, BalancerKey>,
    /// Keys of the upstreams by the tags of their processes, as samples name them.
    pub(super) keys_by_process: HashMap<u32, BalancerKey>,
    pub(super) paces: PaceBook,
    pub(super) learns_pace: bool,
    /// Upstreams of each service that accept requests, sorted by tag. All hosts sort them alike, so
    /// that their positions on the ring agree.
    pub(super) serving: HashMap<ServiceName, Vec<(u32, BalancerKey)>>,
    /// Upstreams at which this host has running work.
    busy: BTreeSet<BalancerKey>,
    pub(super) tracker: NeighbourTracker,
    pub(super) peer_loads: PeerLoads,
    message_order: MessageOrder,
    pub(super) leaving: IncarnationNotices,
    pub(super) ended: IncarnationNotices,
    /// When this host first tried to start a batch item.
    first_start_attempt: Option<Instant>,
    /// Batch items that wait at this host, the most urgent first.
    own_waiting: Vec<WaitingItems>,
    pub(super) limits: LimitTable,
    /// Number of changes of `serving`.
    pub(super) serving_revision: u64,
    pub(super) returns: HashMap<ServiceName, ReturnSchedule>,
    own_flows: FlowCounts,
}

impl BalancerState {
    /// Creates the state of `host`, which knows no upstreams and no other hosts.
    pub fn new(host: HostId, data_centre: DataCentre) -> Self {
        Self {
            data_centre,
            next_key: 0,
            upstreams: HashMap::default(),
            keys_by_id: HashMap::default(),
            keys_by_process: HashMap::default(),
            paces: PaceBook::default(),
            learns_pace: false,
            serving: HashMap::default(),
            busy: BTreeSet::new(),
            tracker: NeighbourTracker::new(host),
            peer_loads: PeerLoads::default(),
            message_order: MessageOrder::default(),
            leaving: IncarnationNotices::default(),
            ended: IncarnationNotices::default(),
            first_start_attempt: None,
            own_waiting: Vec::new(),
            limits: LimitTable::default(),
            serving_revision: 0,
            returns: HashMap::default(),
            own_flows: FlowCounts::default(),
        }
    }

    /// Name of this host.
    pub fn host(&self) -> &str {
        self.tracker.own()
    }

    /// Adds or updates an upstream.
    ///
    /// If the start time, the address, the service or the software has changed, the upstream has restarted under
    /// its old identifier: it gets a new key, no recorded faults and no counted work.
    pub fn put(&mut self, entry: UpstreamEntry) {
        if let Some(key) = self.keys_by_id.get(&entry.id)
            && let Some(upstream) = self.upstreams.get_mut(key)
        {
            let restarted = upstream.entry.started_ms != entry.started_ms
                || upstream.entry.address != entry.address
                || upstream.entry.service != entry.service
                || upstream.entry.software != entry.software;
            if !restarted {
                upstream.entry = entry;
                upstream.is_registered = true;
                return self.index_upstream(*key);
            }
            if upstream.entry.started_ms == entry.started_ms {
                self.ended.forget(upstream.incarnation());
            }
            self.remove(&entry.id);
        }
        let key = BalancerKey(self.next_key);
        self.next_key += 1;
        self.keys_by_id.insert(entry.id.clone(), key);
        let tag = upstream_tag(&entry.id);
        let process = process_tag(UpstreamIncarnation(tag, entry.started_ms));
        self.keys_by_process.insert(process, key);
        let upstream = UpstreamRecord {
            tag,
            service_tag: service_tag(&entry.service),
            pace: UpstreamPace::default(),
            has_announced_shutdown: self
                .leaving
                .contains(UpstreamIncarnation(tag, entry.started_ms)),
            has_ended: self
                .ended
                .contains(UpstreamIncarnation(tag, entry.started_ms)),
            entry,
            own_work: WorkCount::default(),
            backoff: FaultBackoff::default(),
            last_progress: None,
            is_registered: true,
        };
        self.upstreams.insert(key, upstream);
        self.index_upstream(key);
    }

    /// Adds an upstream to the index of its service if it accepts requests, and removes it if not.
    pub(super) fn index_upstream(&mut self, key: BalancerKey) {
        let Some(upstream) = self.upstreams.get(&key) else {
            return;
        };
        let tagged_key = (upstream.tag, key);
        let serving = self
            .serving
            .entry(upstream.entry.service.clone())
            .or_default();
        match (
            serving.binary_search(&tagged_key),
            upstream.takes_requests(),
        ) {
            (Err(at), true) => serving.insert(at, tagged_key),
            (Ok(at), false) => {
                serving.remove(at);
            }
            _ => return,
        }
        self.serving_revision += 1;
    }

    /// Replaces the hosts that share the upstreams. This host is included even if `names` lacks it.
    pub fn set_hosts<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        self.tracker.set_hosts(names);
    }

    /// Hosts that have to receive this host's load reports.
    ///
    /// These are the hosts whose windows may overlap this host's window, and the users of all
    /// upstreams at which it has running work: that work may have started before this host knew
    /// the others, outside of its present window.
    pub fn neighbours(&self) -> HashSet<String> {
        let near = self.tracker.near(self.max_reach(neighbour_reach));
        let window_users = self.busy.iter().flat_map(|key| self.window_users(*key));
        near.chain(window_users).map(str::to_owned).collect()
    }

    /// Other hosts whose windows contain the upstream, by its position on the ring.
    pub(super) fn window_users(&self, key: BalancerKey) -> impl Iterator<Item = &str> {
        let upstream = &self.upstreams[&key];
        let serving = self.serving.get(&upstream.entry.service);
        let found = serving.and_then(|all| {
            let index = all.binary_search(&(upstream.tag, key)).ok()?;
            Some((index, all.len()))
        });
        found.into_iter().flat_map(|(index, count)| {
            let position = (index as f64 + 0.5) / count as f64;
            let reach = neighbour_reach(count, self.tracker.hosts()) / 2.0;
            self.tracker.near_position(position, reach)
        })
    }

    /// Largest reach on the ring over all services with upstreams, where
    /// `reach_of(upstreams, hosts)` computes the reach of one service.
    pub(super) fn max_reach(&self, reach_of: impl Fn(usize, usize) -> f64) -> f64 {
        let hosts = self.tracker.hosts();
        let services = self.serving.values().filter(|all| !all.is_empty());
        services
            .map(|all| reach_of(all.len(), hosts))
            .fold(0.0, f64::max)
    }

    /// Those of `hosts` that callers should use: all but the hosts that are leaving or have stopped
    /// reporting.
    pub fn usable_hosts<'a>(&self, hosts: &[&'a str], now: Instant) -> Vec<&'a str> {
        self.tracker
            .usable(hosts, self.max_reach(certain_neighbour_reach), now)
    }

    /// Removes an upstream. Its running work stays counted until it is released.
    pub fn remove(&mut self, id: &UpstreamId) {
        let Some(key) = self.keys_by_id.remove(id) else {
            return;
        };
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.is_registered = false;
        }
        self.index_upstream(key);
        self.remove_if_idle(key);
    }

    /// Number of changes of the upstreams that accept requests.
    pub fn serving_revision(&self) -> u64 {
        self.serving_revision
    }

    /// Services and versions of all upstreams that accept requests, without duplicates.
    pub fn serving_versions(&self) -> Vec<(ServiceName, SoftwareVersion)> {
        let serving = self.serving.iter().flat_map(|(service, all)| {
            let versions: HashSet<SoftwareVersion> = all
                .iter()
                .map(|(_, key)| &self.upstreams[key])
                .filter(|upstream| !upstream.has_ended)
                .map(|upstream| upstream.entry.software.clone())
                .collect();
            versions
                .into_iter()
                .map(|version| (service.clone(), version))
        });
        serving.collect()
    }

    /// Whether an upstream of `service` with this version accepts requests.
    pub fn serves_version(&self, service: &ServiceName, version: &SoftwareVersion) -> bool {
        let mut serving = self.serving.get(service).into_iter().flatten();
        serving.any(|(_, key)| self.upstreams[key].runs_version(version))
    }

    /// The other hosts nearest to `position` on the ring, `count` at most.
    pub fn hosts_near(&self, position: f64, count: usize) -> Vec<String> {
        let near = self.tracker.near_position(position, 1.0).take(count);
        near.map(str::to_owned).collect()
    }

    /// Name of the host with this tag, which may be this one; `None` if there is none.
    pub fn host_name(&self, tag: HostTag) -> Option<String> {
        let others = self.tracker.near(1.0);
        let mut hosts = others.chain([self.host()]);
        let host = hosts.find(|host| HostTag::new(host) == tag)?;
        Some(host.to_owned())
    }

    /// Whether this host is the nearest to `position` on the ring among those that it hears.
    pub fn is_nearest_heard(&self, position: f64, now: Instant) -> bool {
        self.tracker.is_nearest_heard(position, now)
    }

    /// Number of hosts nearer to `position` on the ring than this one among those that it hears.
    pub fn rank_heard(&self, position: f64, now: Instant) -> usize {
        self.tracker.rank_heard(position, now)
    }

    /// Whether this host hears any other one.
    pub fn hears_any(&self, now: Instant) -> bool {
        self.tracker.hears_any(now)
    }

    /// Removes all upstreams for whose identifiers `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&UpstreamId) -> bool) {
        let gone: Vec<UpstreamId> = self
            .keys_by_id
            .keys()
            .filter(|id| !keep(id))
            .cloned()
            .collect();
        for id in gone {
            self.remove(&id);
        }
    }

    /// Identifiers of all registered upstreams, in no particular order.
    pub fn ids(&self) -> impl Iterator<Item = &UpstreamId> {
        self.keys_by_id.keys()
    }

    /// Numbers of hosts and of registered upstreams of all services.
    pub fn fleet_size(&self) -> FleetSize {
        FleetSize {
            hosts: self.tracker.hosts(),
            upstreams: self.keys_by_id.len(),
        }
    }

    /// Number of upstreams of `service` that accept requests, ejected ones included.
    pub fn ready_count(&self, service: &ServiceName) -> usize {
        self.serving.get(service).map_or(0, Vec::len)
    }

    /// Slots of the healthy upstreams in this host's window of `service`, and the online requests
    /// of all hosts there.
    ///
    /// Of a limited upstream, the slots in use count, and one more if it may get another request. If
    /// there are no slots, each idle upstream that may be probed counts as one. Otherwise a host to
    /// which all upstreams seem faulty, because it was paused itself or lost its link, would send no
    /// probe and never recover.
    pub fn online_capacity(&self, service: &ServiceName, now: Instant) -> (u32, u32) {
        let mut slots = 0;
        let mut online = 0;
        let mut probes = 0;
        for (key, upstream) in self.window(service, |up| {
            availability(up, now) != UpstreamAvailability::BackingOff
        }) {
            match availability(upstream, now) {
                UpstreamAvailability::Healthy => {
                    let work = upstream.work(&self.peer_loads);
                    online += work.online;
                    slots += match self.is_limited(upstream) {
                        true => work.online + u32::from(self.takes_another(key, now)),
                        false => upstream.entry.slots,
                    };
                }
                UpstreamAvailability::Probing if upstream.own_work.total() == 0 => probes += 1,
                UpstreamAvailability::Probing | UpstreamAvailability::BackingOff => {}
            }
        }
        match slots {
            0 => (probes, 0),
            slots => (slots, online),
        }
    }

    /// Online requests of this host by flow.
    pub fn own_flows(&self) -> &FlowCounts {
        &self.own_flows
    }

    /// Online requests of this host by flow, to count one that begins or ends.
    pub fn own_flows_mut(&mut self) -> &mut FlowCounts {
        &mut self.own_flows
    }

    /// Online requests of all hosts that compete for this host's window of `service`, by flow. Those of
    /// other hosts are estimated by the parts of their windows that lie in this one.
    pub fn flows(&self, service: &ServiceName) -> HashMap<FlowKey, f64> {
        let own = self.own_flows.iter();
        let mut counts: HashMap<FlowKey, f64> =
            own.map(|(key, count)| (key, f64::from(count))).collect();
        let (upstreams, hosts) = (self.ready_count(service), self.tracker.hosts());
        let weight = |host: &str| window_overlap(self.tracker.distance(host), upstreams, hosts);
        self.peer_loads.add_flows(&mut counts, weight);
        counts
    }

    /// Number of hosts, this one included, that use each upstream of `service`, on the mean.
    pub fn sharers(&self, service: &ServiceName) -> f64 {
        let (upstreams, hosts) = (self.ready_count(service).max(1), self.tracker.hosts());
        hosts as f64 * window_size(upstreams, hosts) as f64 / upstreams as f64
    }

    /// Online and batch work of all hosts at the upstreams in this host's window of `service`.
    pub fn running_work(&self, service: &ServiceName) -> (u32, u32) {
        let works = self
            .window(service, |_| true)
            .map(|(_, upstream)| upstream.work(&self.peer_loads));
        let sum = works.fold(WorkCount::default(), WorkCount::plus);
        (sum.online, sum.batch)
    }

    /// This host's window of `service`: the upstreams nearest to the host's position on the ring
    /// that fulfil `condition`.
    ///
    /// Upstreams that don't fulfil it, such as ejected ones, are replaced by more distant ones, so
    /// that the window keeps its size.
    pub(super) fn window(
        &self,
        service: &ServiceName,
        condition: impl Fn(&UpstreamRecord) -> bool,
    ) -> impl Iterator<Item = (BalancerKey, &UpstreamRecord)> {
        let serving = self.serving.get(service).map_or(&[][..], Vec::as_slice);
        let size = window_size(serving.len(), self.tracker.hosts());
        indices_by_distance(self.tracker.position(), serving.len())
            .map(|index| serving[index].1)
            .map(|key| (key, &self.upstreams[&key]))
            .filter(move |(_, upstream)| condition(upstream))
            .take(size)
    }

    /// Upstreams in this host's window of `service`, `MAX_PROBE_TARGETS` at most.
    pub fn probe_targets(&self, service: &ServiceName) -> Vec<ProbeTarget> {
        let near = self.window(service, |_| true).take(MAX_PROBE_TARGETS);
        near.map(|(_, upstream)| ProbeTarget {
            id: upstream.entry.id.clone(),
            service: service.clone(),
            address: upstream.entry.address,
        })
        .collect()
    }

    /// Upstreams by which to tell whether this host or the upstream `key` is at fault: others of its service
    /// first.
    pub fn control_targets(&self, key: BalancerKey) -> Vec<ProbeTarget> {
        let Some(upstream) = self.upstreams.get(&key) else {
            return Vec::new();
        };
        let own = &upstream.entry;
        let others = self.services().into_iter();
        let others = others.filter(|service| *service != own.service);
        let services = std::iter::once(own.service.clone()).chain(others);
        let targets = services.flat_map(|service| self.probe_targets(&service));
        let targets = targets.filter(|target| target.id != own.id);
        targets.take(MAX_CONTROL_TARGETS).collect()
    }

    /// Ends the ejections of all upstreams of `service`. Returns those that were ejected, with the time
    /// since.
    pub fn end_ejections(
        &mut self,
        service: &ServiceName,
        now: Instant,
    ) -> Vec<(UpstreamId, Duration)> {
        let upstreams = self.upstreams.values_mut();
        let upstreams = upstreams.filter(|upstream| upstream.entry.service == *service);
        upstreams
            .filter_map(|upstream| {
                let ejected = upstream.backoff.note_success(now)?;
                Some((upstream.entry.id.clone(), ejected))
            })
            .collect()
    }

    /// Services with upstreams that accept requests.
    pub fn services(&self) -> Vec<ServiceName> {
        let serving = self.serving.iter().filter(|(_, all)| !all.is_empty());
        serving.map(|(service, _)| service.clone()).collect()
    }

    /// Registered upstreams at which this host has running work.
    pub fn busy_targets(&self) -> Vec<ProbeTarget> {
        let busy = self.busy.iter().map(|key| &self.upstreams[key]);
        let registered = busy.filter(|upstream| upstream.is_registered);
        registered
            .map(|upstream| ProbeTarget {
                id: upstream.entry.id.clone(),
                service: upstream.entry.service.clone(),
                address: upstream.entry.address,
            })
            .collect()
    }

    /// Chooses an upstream for one piece of work and counts the work there, or returns `None` if no
    /// upstream may take it.
    ///
    /// An online request gets the least loaded upstream, even if all its slots are taken. A batch
    /// item needs a free slot, and starts only while enough other slots stay free for online
    /// requests. Work that must not run twice is sent to an upstream that needs a probe only if
    /// there is no healthy one. `draw` is a random number that breaks ties.
    pub fn acquire(
        &mut self,
        request: SlotRequest<'_>,
        now: Instant,
        draw: u32,
    ) -> Option<UpstreamChoice> {
        let class = request.class;
        if class == WorkClass::Batch && !self.may_start_item(request, now) {
            return None;
        }
        let (candidates, asks) = self.candidates(request, now, draw);
        for key in asks {
            self.ask_grant(key, class, now);
        }
        let key = *candidates.first()?;
        let next = candidates.get(1).map(|key| {
            let upstream = &self.upstreams[key];
            RunnerUp {
                id: upstream.entry.id.clone(),
                ahead: upstream.ahead(class, &self.peer_loads),
            }
        });
        let oldest = self.peer_loads.oldest_report();
        let limit = self.take_grant(key, class, now);
        let expected = self.expected_first_event(self.upstreams.get(&key)?, request, now);
        let upstream = self.upstreams.get_mut(&key)?;
        let beside = upstream.work(&self.peer_loads).total();
        let ahead = upstream.ahead(class, &self.peer_loads);
        *upstream.own_work.count_mut(class) += 1;
        self.busy.insert(key);
        Some(UpstreamChoice {
            key,
            id: upstream.entry.id.clone(),
            incarnation: upstream.incarnation(),
            address: upstream.entry.address,
            software: upstream.software(),
            ahead,
            beside,
            expected_ms: expected.map(|(expected_ms, _)| expected_ms),
            pace: expected.map(|(_, pace)| pace),
            slots: upstream.entry.slots,
            next,
            report_age: oldest.map(|received| now - received),
            limit,
        })
    }

    /// Upstreams that may take the work, the best first, and limited ones at which to ask for a grant.
    fn candidates(
        &self,
        request: SlotRequest<'_>,
        now: Instant,
        draw: u32,
    ) -> (Vec<BalancerKey>, Vec<BalancerKey>) {
        let class = request.class;
        let is_eligible = |upstream: &UpstreamRecord| match availability(upstream, now) {
            UpstreamAvailability::Healthy => true,
            UpstreamAvailability::Probing => upstream.own_work.total() == 0,
            UpstreamAvailability::BackingOff => false,
        };
        let mut candidates: Vec<(BalancerKey, &UpstreamRecord)> = self
            .window(request.service, is_eligible)
            .filter(|(key, upstream)| {
                !request.excluded.contains(key)
                    && self.has_slot(upstream, class)
                    && request
                        .software
                        .is_none_or(|software| upstream.runs_version(software))
            })
            .collect();
        let is_healthy = |upstream: &UpstreamRecord| {
            availability(upstream, now) == UpstreamAvailability::Healthy
        };
        if !request.may_probe && candidates.iter().any(|(_, upstream)| is_healthy(upstream)) {
            candidates.retain(|(_, upstream)| is_healthy(upstream));
        }
        let is_suspect = |upstream: &UpstreamRecord| self.is_suspect(upstream, now);
        if !request.may_repeat && candidates.iter().any(|(_, upstream)| !is_suspect(upstream)) {
            candidates.retain(|(_, upstream)| !is_suspect(upstream));
        }
        self.shuffle(&mut candidates, now, draw);
        let asks = self.restrict_to_placement(&mut candidates, request, now);
        let min_peers = match self.learns_pace {
            true => MIN_SAMPLING_PEERS_BY_PACE,
            false => MIN_SAMPLING_PEERS,
        };
        if self.peer_loads.len() >= min_peers {
            candidates.truncate(SAMPLE_SIZE);
        }
        let service = self.service_inputs(request.service);
        let dither = random_fraction(draw);
        let mut scored: Vec<(BalancerKey, UpstreamScore)> = candidates
            .into_iter()
            .map(|(key, upstream)| {
                let inputs = self.score_inputs(upstream, request, now);
                (key, score(inputs, service, dither))
            })
            .collect();
        scored.sort_by(|(_, a), (_, b)| a.compare(*b));
        (scored.into_iter().map(|(key, _)| key).collect(), asks)
    }

    /// Puts the candidates in a random order, in which quicker ones tend to be earlier: the first one is
    /// each of them with a probability in proportion to its weight.
    fn shuffle(
        &self,
        candidates: &mut Vec<(BalancerKey, &UpstreamRecord)>,
        now: Instant,
        draw: u32,
    ) {
        let mut ordered: Vec<(f64, (BalancerKey, &UpstreamRecord))> = candidates
            .drain(..)
            .map(|(key, upstream)| {
                let weight = self.pace_estimate(upstream, now).draw_weight();
                let uniform = random_fraction(random_order(key, draw));
                (-(1.0 - uniform).ln() / weight, (key, upstream))
            })
            .collect();
        ordered.sort_unstable_by(|(a, _), (b, _)| a.total_cmp(b));
        candidates.extend(ordered.into_iter().map(|(_, candidate)| candidate));
    }

    /// Whether the upstream may take work of `class`: a batch item needs a free slot, while an
    /// online request may queue at the upstream.
    fn has_slot(&self, upstream: &UpstreamRecord, class: WorkClass) -> bool {
        match class {
            WorkClass::Online => true,
            WorkClass::Batch => upstream.work(&self.peer_loads).total() < upstream.entry.slots,
        }
    }

    /// Ends the count of one piece of work at an upstream, and so frees its slot.
    pub fn release(&mut self, key: BalancerKey, class: WorkClass) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            let count = upstream.own_work.count_mut(class);
            *count = count.saturating_sub(1);
            if upstream.own_work.total() == 0 {
                self.busy.remove(&key);
            }
        }
        self.remove_if_idle(key);
    }

    /// Records a fault of an upstream. Returns how long the upstream is ejected for it, or `None`
    /// if it is not ejected or is unknown.
    pub fn note_fault(
        &mut self,
        key: BalancerKey,
        fault: UpstreamFault,
        now: Instant,
    ) -> Option<Duration> {
        self.note_failing_fault(key, fault, now);
        self.upstreams.get_mut(&key)?.backoff.note_fault(fault, now)
    }

    /// Records that an upstream sent this host a part of an answer.
    pub fn note_progress(&mut self, key: BalancerKey, now: Instant) {
        if let Some(upstream) = self.upstreams.get_mut(&key) {
            upstream.last_progress = Some(now);
        }
    }

    /// Classifies an upstream that has sent nothing for a request since `since`.
    ///
    /// It is [`Slow`](UpstreamFault::Slow) if it has since sent a part of any other answer, to this
    /// host or one that reports it, and [`Silent`](UpstreamFault::Silent) otherwise.
    pub fn classify_silence(&self, key: BalancerKey, since: Instant) -> UpstreamFault {
        let has_progressed = self.upstreams.get(&key).is_some_and(|upstream| {
            let times = [
                upstream.last_progress,
                self.peer_loads.last_progress(upstream.tag),
            ];
            times.into_iter().flatten().any(|at| at > since)
        });
        match has_progressed {
            true => UpstreamFault::Slow,
            false => UpstreamFault::Silent,
        }
    }

    /// Records that an upstream served a request successfully. Returns the time since it was
    /// ejected, or `None` if it was not.
    pub fn note_success(&mut self, key: BalancerKey, now: Instant) -> Option<Duration> {
        self.upstreams.get_mut(&key)?.backoff.note_success(now)
    }

    /// Number of this host's batch items to preempt at each upstream.
    ///
    /// Each item is taken from the host that has the most items there, the lower name first among
    /// equals, so that hosts with the same reports agree on their shares.
    pub fn preemptions(&self, now: Instant) -> Vec<(BalancerKey, u32)> {
        let mut own = self
            .busy
            .iter()
            .map(|key| self.upstreams[key].own_work.batch);
        if own.all(|count| count == 0) {
            return Vec::new();
        }
        let mut preempted = Vec::new();
        for service in self.serving.keys() {
            let usages = self.unlimited_usages(service, now);
            for (key, count) in preemptions(&usages) {
                let own = self.own_preemptions(&self.upstreams[&key], count);
                if own > 0 {
                    preempted.push((key, own));
                }
            }
        }
        preempted
    }

    pub(super) fn slot_usages(&self, service: &ServiceName, now: Instant) -> Vec<SlotUsage> {
        let good = self.window(service, |up| {
            availability(up, now) == UpstreamAvailability::Healthy
        });
        good.map(|(key, upstream)| self.slot_usage(key, upstream))
            .collect()
    }

    pub(super) fn slot_usage(&self, key: BalancerKey, upstream: &UpstreamRecord) -> SlotUsage {
        let work = upstream.work(&self.peer_loads);
        SlotUsage {
            key,
            slots: upstream.entry.slots,
            online: work.online,
            batch: work.batch,
        }
    }

    /// Whether this host may start a batch item now: whether there is a spare slot for it beside
    /// those that the more urgent items of other hosts will take.
    ///
    /// If no upstream is healthy, it may: the item may then serve as the probe of an ejected one.
    fn may_start_item(&mut self, request: SlotRequest<'_>, now: Instant) -> bool {
        let SlotRequest {
            service, urgency, ..
        } = request;
        let first_attempt = *self.first_start_attempt.get_or_insert(now);
        if self.tracker.hosts() > 1 && now - first_attempt < BATCH_START_DELAY {
            return false;
        }
        let usages = self.slot_usages(service, now);
        if usages.is_empty() {
            return true;
        }
        let room = spare_slots(&self.unlimited_usages(service, now));
        let room = room + self.limited_room(service, now);
        room > self.items_before(service, urgency, now)
    }

    /// Number of items that wait at other hosts for the upstreams in this host's window and come
    /// before an item of `urgency` at this host.
    fn items_before(
        &self,
        service: &ServiceName,
        urgency: Option<ItemUrgency>,
        now: Instant,
    ) -> u32 {
        let Some(urgency) = urgency else {
            return 0;
        };
        let (upstreams, hosts) = (self.ready_count(service), self.tracker.hosts());
        let weight = |host: &str| window_overlap(self.tracker.distance(host), upstreams, hosts);
        let own = self.tracker.own();
        self.peer_loads
            .items_before(service_tag(service), urgency, own, weight, now)
    }

    /// Replaces the batch items that wait at this host, the most urgent first.
    pub fn set_waiting(&mut self, waiting: Vec<WaitingItems>) {
        self.own_waiting = waiting;
    }

    /// Waiting items of this host for its load report. Items that this host can't start soon, as it
    /// reaches no upstream or has just started, are left out so that other hosts don't wait for
    /// them.
    pub fn own_waiting(&self, now: Instant) -> Vec<WaitingItems> {
        let starts_soon = self
            .first_start_attempt
            .is_some_and(|at| now - at >= BATCH_START_DELAY - WAITING_REPORT_LEAD);
        if !starts_soon || self.own_waiting.is_empty() {
            return Vec::new();
        }
        let reachable: Vec<u32> = self
            .serving
            .keys()
            .filter(|service| !self.slot_usages(service, now).is_empty())
            .map(service_tag)
            .collect();
        let waiting = self.own_waiting.iter();
        waiting
            .filter(|items| reachable.contains(&items.0))
            .take(MAX_REPORTED_GROUPS)
            .copied()
            .collect()
    }

    fn own_preemptions(&self, upstream: &UpstreamRecord, count: u32) -> u32 {
        let mut holders: Vec<(u32, &str)> = vec![(upstream.own_work.batch, self.tracker.own())];
        holders.extend(self.peer_loads.batch_holders(upstream.tag));
        let mut own = 0;
        for _ in 0..count {
            let largest = holders
                .iter_mut()
                .max_by(|a, b| (a.0, std::cmp::Reverse(a.1)).cmp(&(b.0, std::cmp::Reverse(b.1))));
            let Some(largest) = largest.filter(|largest| largest.0 > 0) else {
                break;
            };
            largest.0 -= 1;
            own += u32::from(largest.1 == self.tracker.own());
        }
        own
    }

    /// Work of this host by upstream, sorted by tag, for its load report.
    pub fn own_loads(&self, now: Instant) -> Vec<UpstreamLoad> {
        let working = self.busy.iter().map(|key| &self.upstreams[key]);
        let mut loads: Vec<UpstreamLoad> = working
            .map(|up| {
                let has_progressed = up
                    .last_progress
                    .is_some_and(|at| now - at < RECENT_PROGRESS_TIME);
                UpstreamLoad(
                    up.tag,
                    up.own_work.online as u16,
                    up.own_work.batch as u16,
                    has_progressed,
                )
            })
            .collect();
        loads.sort_by_key(|load| load.0);
        loads
    }

    /// Applies another host's load report; one that is not newer than the last known one is
    /// ignored. Returns whether it changes the work at any upstream.
    pub fn apply_report(&mut self, report: HostLoadReport, now: Instant) -> bool {
        if report.host == self.tracker.own() || self.peer_loads.is_stale(&report) {
            return false;
        }
        // A broadcast of the host may have overtaken the report.
        let (incarnation, sequence) = (report.incarnation, report.sequence);
        let order = &mut self.message_order;
        if order.accept(&report.host, incarnation, sequence, now) {
            self.tracker
                .record_heartbeat(&report.host, report.is_leaving, now);
        }
        self.apply_leaving(&report.leaving);
        self.apply_ended(&report.ended);
        self.apply_paces(&report.host, &report.paces, now);
        if !self.peer_loads.knows(&report.host, report.incarnation) {
            self.limits.note_new_host(now);
        }
        for notice in &report.limits {
            self.limits
                .merge(&report.host, report.incarnation, notice, now);
        }
        self.peer_loads.apply(report, now)
    }

    /// Applies a message that another host broadcasts to the fleet, unless one that was sent after it has
    /// come before. Returns whether it was applied.
    pub fn apply_announcement(&mut self, announcement: &HostAnnouncement, now: Instant) -> bool {
        let HostAnnouncement {
            host,
            incarnation,
            sequence,
            ..
        } = announcement;
        let is_ordered = *incarnation != 0;
        let order = &mut self.message_order;
        if is_ordered && !order.accept(host, *incarnation, *sequence, now) {
            return false;
        }
        self.tracker.apply_announcement(announcement, now);
        true
    }

    /// Neighbours that recently stopped reporting and that this host has to announce to all others.
    pub fn silent_neighbours(&self, now: Instant) -> Vec<String> {
        self.tracker
            .silent_neighbours(self.max_reach(certain_neighbour_reach), now)
    }

    /// Drops the work of hosts that have stopped reporting.
    pub fn expire_reports(&mut self, now: Instant) {
        self.peer_loads.expire_reports(now);
    }

    fn remove_if_idle(&mut self, key: BalancerKey) {
        let idle = |up: &UpstreamRecord| !up.is_registered && up.own_work.total() == 0;
        if self.upstreams.get(&key).is_some_and(idle) {
            self.forget(key);
        }
    }

    fn forget(&mut self, key: BalancerKey) {
        if let Some(upstream) = self.upstreams.remove(&key) {
            let process = process_tag(upstream.incarnation());
            // An upstream that was registered anew may have taken the entry.
            if self.keys_by_process.get(&process) == Some(&key) {
                self.keys_by_process.remove(&process);
            }
        }
    }
}

pub(super) fn availability(upstream: &UpstreamRecord, now: Instant) -> UpstreamAvailability {
    upstream.backoff.availability(now)
}

/// Sort key of an upstream in the pseudorandom order that `draw` selects.
fn random_order(key: BalancerKey, draw: u32) -> u32 {
    let seed = (u64::from(draw) << 32) | u64::from(key.0);
    xxh3_64(&seed.to_le_bytes()) as u32
}

/// Maps a random number to a fraction from 0 to below 1.
fn random_fraction(random: u32) -> f64 {
    f64::from(random) / (f64::from(u32::MAX) + 1.0)
}
