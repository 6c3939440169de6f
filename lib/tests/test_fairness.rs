//! Tests who gets room when there is too little, by playing loads over a fleet without a network.

use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

use parsleywall::balancer::BalancerKey;
use parsleywall::balancer::BalancerState;
use parsleywall::balancer::HostDatagram;
use parsleywall::balancer::HostLoadReport;
use parsleywall::balancer::SlotRequest;
use parsleywall::balancer::UpstreamEntry;
use parsleywall::balancer::UpstreamState;
use parsleywall::collections::HashMap;
use parsleywall::fairness::FlowClass;
use parsleywall::fairness::FlowDemand;
use parsleywall::fairness::FlowKey;
use parsleywall::fairness::FlowLoad;
use parsleywall::fairness::RoomDecision;
use parsleywall::fairness::RoomInputs;
use parsleywall::fairness::RoomReason;
use parsleywall::fairness::ShareTerms;
use parsleywall::fairness::WaitLine;
use parsleywall::fairness::WaiterKey;
use parsleywall::fairness::WorkspaceTag;
use parsleywall::fairness::decide_room;
use parsleywall::fairness::find_standing;
use parsleywall::ids::DataCentre;
use parsleywall::ids::HostId;
use parsleywall::ids::ServiceName;
use parsleywall::ids::SoftwareVersion;
use parsleywall::ids::UpstreamId;
use parsleywall::ids::WorkClass;
use parsleywall::ids::WorkspaceName;
use parsleywall::workspaces::Workspace;
use parsleywall::workspaces::WorkspaceDirectory;
use parsleywall::workspaces::WorkspaceKeys;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

const HOSTS: usize = 54;
const UPSTREAMS: usize = 60;
const SLOTS: u32 = 8;
const ALL_SLOTS: f64 = (UPSTREAMS * SLOTS as usize) as f64;
const WORKSPACES: usize = 74;
/// The first workspaces are large: each asks for a tenth of all requests.
const LARGE: usize = 4;
const TICK: Duration = Duration::from_millis(10);
/// Ticks between two load reports, which arrive after as many: they are 90 ms old on the mean.
const REPORT_TICKS: usize = 6;
/// Ticks for which a request occupies its slot.
const SLOT_TICKS: usize = 78;
const OBJECTIVE: Duration = Duration::from_millis(300);
/// Ticks in a slot queue after which a request is late.
const LATE_TICKS: usize = 25;
/// Ticks of waiting before which no request has its last chance.
const LONG_WAIT_TICKS: usize = 100;
/// Requests a second of all workspaces in a peak, 5 in 6 of what the slots serve.
const PEAK: f64 = 514.0;

fn service() -> ServiceName {
    ServiceName::new("desk")
}

fn workspace_name(number: usize) -> WorkspaceName {
    WorkspaceName::new(format!("workspace-{number}"))
}

fn flow(number: usize) -> FlowKey {
    FlowKey::new(
        WorkspaceTag::new(Some(&workspace_name(number))),
        &service(),
        0,
    )
}

fn terms(priority: impl Fn(usize) -> Option<u32>) -> ShareTerms {
    let listed = (0..WORKSPACES).map(|number| WorkspaceKeys {
        workspace: Workspace {
            priority: priority(number),
            ..Workspace::new(workspace_name(number))
        },
        keys: vec![format!("key-{number}")],
    });
    ShareTerms::new(&WorkspaceDirectory::new(listed.collect()).unwrap())
}

/// A request that a caller sent, at its first or second attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FleetRequest {
    workspace: usize,
    host: usize,
    /// Tick of the caller's first attempt.
    asked: usize,
    is_retry: bool,
    /// Tick at which it began to wait at its host.
    arrived: usize,
}

#[derive(Default)]
struct FleetUpstream {
    /// Ticks at which the running requests end.
    running: Vec<(usize, FleetRequest, BalancerKey)>,
    queue: VecDeque<(usize, FleetRequest, BalancerKey)>,
    is_lost: bool,
}

/// Requests of one workspace in the measured time.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    asked: usize,
    in_time: usize,
    served: usize,
}

struct FairFleet {
    hosts: Vec<BalancerState>,
    /// Hosts that each one reports to.
    neighbours: Vec<Vec<usize>>,
    upstreams: HashMap<UpstreamId, FleetUpstream>,
    terms: ShareTerms,
    flows: Vec<FlowKey>,
    /// Requests a second of each workspace.
    rates: Vec<f64>,
    reports: Vec<HostLoadReport>,
    /// Requests that come back, the earliest first.
    returns: BinaryHeap<std::cmp::Reverse<(usize, FleetRequest)>>,
    /// Requests that wait at each host.
    lines: Vec<(WaitLine, Vec<(WaiterKey, FleetRequest)>)>,
    rng: StdRng,
    now: Instant,
    tick: usize,
    /// First tick that is measured.
    measured_from: usize,
    outcomes: Vec<Outcome>,
    /// Slots in use over the measured ticks, by workspace.
    used: Vec<usize>,
    measured: usize,
    refused_with_free_slots: usize,
    refusals: HashMap<String, usize>,
}

impl FairFleet {
    fn new(terms: ShareTerms, seed: u64) -> Self {
        let names: Vec<String> = (0..HOSTS).map(|number| format!("host-{number}")).collect();
        let entry = |number: usize| UpstreamEntry {
            id: UpstreamId::new(format!("upstream-{number}")),
            service: service(),
            address: ([127, 0, 0, 1], 80).into(),
            data_centre: DataCentre::new("west"),
            slots: SLOTS,
            state: UpstreamState::Ready,
            started_ms: 1,
            software: SoftwareVersion::new("v1"),
        };
        let hosts = names.iter().map(|name| {
            let mut state = BalancerState::new(HostId::new(name), DataCentre::new("east"));
            (0..UPSTREAMS).for_each(|number| state.put(entry(number)));
            state.set_hosts(names.iter().map(String::as_str));
            state
        });
        let small = (1.0 - 0.1 * LARGE as f64) / (WORKSPACES - LARGE) as f64;
        let share = |number| if number < LARGE { 0.1 } else { small };
        let hosts: Vec<BalancerState> = hosts.collect();
        Self {
            neighbours: neighbours(&hosts),
            hosts,
            upstreams: (0..UPSTREAMS)
                .map(|number| (entry(number).id, FleetUpstream::default()))
                .collect(),
            terms,
            flows: (0..WORKSPACES).map(flow).collect(),
            rates: (0..WORKSPACES).map(|number| PEAK * share(number)).collect(),
            reports: Vec::new(),
            returns: BinaryHeap::new(),
            lines: (0..HOSTS).map(|_| Default::default()).collect(),
            rng: StdRng::seed_from_u64(seed),
            now: Instant::now(),
            tick: 0,
            measured_from: usize::MAX,
            outcomes: vec![Outcome::default(); WORKSPACES],
            used: vec![0; WORKSPACES],
            measured: 0,
            refused_with_free_slots: 0,
            refusals: HashMap::default(),
        }
    }

    fn play(&mut self, seconds: f64) {
        for _ in 0..(seconds * 100.0) as usize {
            self.step();
        }
    }

    /// Plays `seconds` of which the requests and slots are counted.
    fn measure(&mut self, seconds: f64) {
        self.measured_from = self.tick;
        self.outcomes = vec![Outcome::default(); WORKSPACES];
        self.used = vec![0; WORKSPACES];
        self.measured = 0;
        self.play(seconds);
    }

    fn step(&mut self) {
        self.tick += 1;
        self.now += TICK;
        if self.tick.is_multiple_of(REPORT_TICKS) {
            self.exchange_reports();
        }
        self.run_upstreams();
        self.serve_waiting();
        let mut arrived = Vec::new();
        while let Some(std::cmp::Reverse((at, request))) = self.returns.peek().copied()
            && at <= self.tick
        {
            self.returns.pop();
            arrived.push(request);
        }
        for workspace in 0..WORKSPACES {
            let mut expected = self.rates[workspace] * TICK.as_secs_f64();
            while self.rng.random::<f64>() < expected {
                expected -= 1.0;
                self.outcomes[workspace].asked += 1;
                arrived.push(FleetRequest {
                    workspace,
                    host: self.rng.random_range(0..HOSTS),
                    asked: self.tick,
                    is_retry: false,
                    arrived: self.tick,
                });
            }
        }
        for request in arrived {
            self.arrive(request);
        }
    }

    fn exchange_reports(&mut self) {
        let reports = std::mem::take(&mut self.reports);
        for (from, report) in reports.iter().enumerate() {
            for to in &self.neighbours[from] {
                self.hosts[*to].apply_report(report.clone(), self.now);
            }
        }
        let (now, sequence) = (self.now, self.tick as u64);
        let own = self.hosts.iter().map(|host| HostLoadReport {
            host: host.host().to_owned(),
            incarnation: 1,
            sequence,
            is_leaving: false,
            loads: host.own_loads(now),
            leaving: Vec::new(),
            ended: Vec::new(),
            waiting: Vec::new(),
            convictions: 0,
            limits: Vec::new(),
            reach: None,
            flows: host.own_flows().loads(),
            paces: Vec::new(),
        });
        self.reports = own.collect();
    }

    fn run_upstreams(&mut self) {
        self.measured += 1;
        for upstream in self.upstreams.values_mut() {
            let running = std::mem::take(&mut upstream.running);
            for (end, request, key) in running {
                self.used[request.workspace] += 1;
                if end > self.tick {
                    upstream.running.push((end, request, key));
                    continue;
                }
                self.hosts[request.host].release(key, WorkClass::Online);
                let flows = self.hosts[request.host].own_flows_mut();
                flows.end(self.flows[request.workspace]);
            }
            while upstream.running.len() < SLOTS as usize
                && let Some((sent, request, key)) = upstream.queue.pop_front()
            {
                let end = self.tick + SLOT_TICKS;
                upstream.running.push((end, request, key));
                if request.asked > self.measured_from {
                    let outcome = &mut self.outcomes[request.workspace];
                    outcome.served += 1;
                    let waited = self.tick - sent.min(request.arrived);
                    outcome.in_time += usize::from(waited <= LATE_TICKS && !request.is_retry);
                }
            }
        }
    }

    fn serve_waiting(&mut self) {
        for host in 0..HOSTS {
            while let Some(key) = self.lines[host].0.head()
                && self.lines[host].0.next_at().is_none_or(|at| at <= self.now)
            {
                let position = self.lines[host]
                    .1
                    .iter()
                    .position(|(other, _)| *other == key);
                let position = position.expect("a waiting request");
                let (_, request) = self.lines[host].1[position];
                let (decision, inputs) = self.decide(request, true);
                if !matches!(decision, RoomDecision::Admit(_)) {
                    break;
                }
                let (line, requests) = &mut self.lines[host];
                line.note_served(self.now, inputs.release_interval());
                line.remove(self.flows[request.workspace], key, true);
                requests.remove(position);
                self.send(request);
            }
            // Others are sent without room when they have waited for the longest time.
            let requests = self.lines[host].1.clone();
            for (key, request) in requests {
                if self.tick < request.arrived + LONG_WAIT_TICKS {
                    continue;
                }
                if let (RoomDecision::Admit(RoomReason::LastChance), _) = self.decide(request, true)
                {
                    let (line, requests) = &mut self.lines[host];
                    line.remove(self.flows[request.workspace], key, true);
                    requests.retain(|(other, _)| *other != key);
                    self.send(request);
                }
            }
        }
    }

    fn decide(&mut self, request: FleetRequest, has_waited: bool) -> (RoomDecision, RoomInputs) {
        let name = service();
        let own = self.flows[request.workspace];
        let (class, weight) = self.terms.class_and_weight(own, &name).unwrap();
        let host = &self.hosts[request.host];
        let (slots, online) = host.online_capacity(&name, self.now);
        let left = Duration::from_secs(5) - TICK * (self.tick - request.asked) as u32;
        let inputs = RoomInputs {
            slots,
            online,
            is_limited: false,
            slot_time: TICK * SLOT_TICKS as u32,
            objective: OBJECTIVE,
            left,
            waited: has_waited.then(|| TICK * (self.tick - request.arrived) as u32),
            sharers: host.sharers(&name),
        };
        if inputs.has_room() {
            return (RoomDecision::Admit(RoomReason::Room), inputs);
        }
        let demands = host.flows(&name).into_iter().map(|(key, count)| {
            let (class, weight) = self.terms.class_and_weight(key, &name).unwrap();
            demand(key, class, weight, count)
        });
        let mut demands: Vec<FlowDemand> = demands.collect();
        let room = inputs.shared_room();
        let own = demand(own, class, weight, 0.0);
        let standing = find_standing(&mut demands, own, room, online);
        (decide_room(inputs, standing, self.rng.random()), inputs)
    }

    fn arrive(&mut self, request: FleetRequest) {
        let (decision, inputs) = self.decide(request, false);
        match decision {
            RoomDecision::Admit(_) => self.send(request),
            RoomDecision::Wait(..) => {
                let key = self.flows[request.workspace];
                let (class, weight) = self.terms.class_and_weight(key, &service()).unwrap();
                let (line, requests) = &mut self.lines[request.host];
                requests.push((line.push(key, class, weight), request));
            }
            RoomDecision::Refuse(reason, delay) => {
                assert!(!request.is_retry, "a retry is refused");
                *self.refusals.entry(reason.to_string()).or_default() += 1;
                self.refused_with_free_slots += usize::from(inputs.online < inputs.slots);
                let back = self.tick + (delay.as_millis() / TICK.as_millis()) as usize;
                let retry = FleetRequest {
                    is_retry: true,
                    arrived: back,
                    host: self.rng.random_range(0..HOSTS),
                    ..request
                };
                self.returns.push(std::cmp::Reverse((back, retry)));
            }
        }
    }

    fn send(&mut self, request: FleetRequest) {
        let name = service();
        let slot = SlotRequest {
            service: &name,
            class: WorkClass::Online,
            excluded: &[],
            may_probe: true,
            may_repeat: true,
            software: None,
            urgency: None,
            may_wait: false,
        };
        let draw = self.rng.random();
        let host = &mut self.hosts[request.host];
        let choice = host.acquire(slot, self.now, draw).expect("an upstream");
        host.own_flows_mut().begin(self.flows[request.workspace]);
        let upstream = self.upstreams.get_mut(&choice.id).unwrap();
        assert!(!upstream.is_lost);
        upstream.queue.push_back((self.tick, request, choice.key));
    }

    /// Takes half of the upstreams away; what they run is lost.
    fn lose_half(&mut self) {
        for number in (0..UPSTREAMS).step_by(2) {
            let id = UpstreamId::new(format!("upstream-{number}"));
            self.hosts.iter_mut().for_each(|host| host.remove(&id));
            let upstream = self.upstreams.get_mut(&id).unwrap();
            upstream.is_lost = true;
            let running = upstream.running.drain(..).chain(upstream.queue.drain(..));
            for (_, request, key) in running {
                self.hosts[request.host].release(key, WorkClass::Online);
                let flows = self.hosts[request.host].own_flows_mut();
                flows.end(self.flows[request.workspace]);
            }
        }
        self.neighbours = neighbours(&self.hosts);
    }

    /// Plays without new requests until all have ended.
    fn finish(&mut self) {
        self.rates = vec![0.0; WORKSPACES];
        self.play(6.0);
    }

    /// Mean slots in use by the workspaces that `is_member` selects.
    fn slots_used(&self, is_member: impl Fn(usize) -> bool) -> f64 {
        let used = self.used.iter().enumerate();
        let used = used.filter(|(number, _)| is_member(*number));
        used.map(|(_, used)| *used).sum::<usize>() as f64 / self.measured as f64
    }

    fn sum(&self, is_member: impl Fn(usize) -> bool) -> Outcome {
        let mut sum = Outcome::default();
        for (number, outcome) in self.outcomes.iter().enumerate() {
            if is_member(number) {
                sum.asked += outcome.asked;
                sum.in_time += outcome.in_time;
                sum.served += outcome.served;
            }
        }
        sum
    }
}

/// Indices of the hosts that each one reports to.
fn neighbours(hosts: &[BalancerState]) -> Vec<Vec<usize>> {
    let index = |name: &String| hosts.iter().position(|host| host.host() == name);
    let neighbours = hosts.iter().map(BalancerState::neighbours);
    neighbours
        .map(|names| names.iter().filter_map(index).collect())
        .collect()
}

fn demand(key: FlowKey, class: FlowClass, weight: f64, count: f64) -> FlowDemand {
    FlowDemand {
        key,
        class,
        weight,
        count,
    }
}

fn share_of(count: usize, asked: usize) -> f64 {
    count as f64 / asked as f64
}

/// One large workspace sends 5.6 times its usual beside 73 others, which leave it some 120 slots.
#[test]
fn test_burst_of_one_workspace_delays_no_other() {
    let mut fleet = FairFleet::new(terms(|_| None), 61);
    fleet.play(3.0);
    fleet.rates[0] *= 5.6;
    fleet.play(2.0);
    let asked = SLOT_TICKS as f64 / 100.0 * PEAK * 0.9;
    for _ in 0..2 {
        fleet.measure(2.0);
        let used = fleet.slots_used(|number| number != 0);
        assert!((used / asked - 1.0).abs() < 0.1, "{used} of {asked} slots");
        let all = fleet.slots_used(|_| true);
        assert!(all > 0.93 * ALL_SLOTS, "{all} slots in use");
    }
    fleet.finish();
    let others = fleet.sum(|number| number != 0);
    assert!(share_of(others.served, others.asked) > 0.99, "{others:?}");
    assert_eq!(fleet.refused_with_free_slots, 0);
}

/// Half of the upstreams are lost in a peak. All workspaces but the large ones fit into the rest.
#[test]
fn test_loss_of_half_of_the_upstreams_is_borne_by_large_workspaces() {
    let mut fleet = FairFleet::new(terms(|_| None), 62);
    fleet.rates.iter_mut().for_each(|rate| *rate *= 0.8);
    fleet.play(3.0);
    fleet.lose_half();
    fleet.play(2.0);
    fleet.measure(2.0);
    let asked = fleet.sum(|number| number >= LARGE).asked;
    let small = asked as f64 / 2.0 * SLOT_TICKS as f64 / 100.0;
    let used = fleet.slots_used(|number| number >= LARGE);
    assert!((used / small - 1.0).abs() < 0.1, "{used} of {small} slots");
}

/// Without too little room, nothing is refused and nothing waits.
#[test]
fn test_nothing_is_refused_while_there_is_room() {
    let mut fleet = FairFleet::new(terms(|number| Some(number as u32 % 3)), 63);
    fleet.rates.iter_mut().for_each(|rate| *rate *= 0.8);
    fleet.play(3.0);
    fleet.measure(2.0);
    fleet.finish();
    let all = fleet.sum(|_| true);
    assert!(fleet.refusals.is_empty(), "{:?}", fleet.refusals);
    assert_eq!(all.served, all.asked);
}

/// The workspaces of the higher priority fill the slots. The others keep a part of their shares.
#[test]
fn test_priority_goes_first_and_starves_no_other() {
    let is_high = |number: usize| number.is_multiple_of(2);
    let mut fleet = FairFleet::new(terms(|number| Some(number as u32 % 2)), 64);
    fleet.rates.iter_mut().for_each(|rate| *rate *= 1.7);
    fleet.play(3.0);
    fleet.measure(3.0);
    let (high, low) = (
        fleet.slots_used(is_high),
        fleet.slots_used(|number| !is_high(number)),
    );
    fleet.finish();
    let other = fleet.sum(|number| !is_high(number));
    let all = fleet.sum(|_| true);
    let served = share_of(all.served, all.asked);
    assert!(
        share_of(other.served, other.asked) > served / 4.0,
        "{other:?}"
    );
    assert!(high > 1.5 * low, "{high} and {low} slots");
}

#[test]
fn test_shares_by_weight_class_and_demand() {
    let class = |workspace| FlowClass {
        workspace,
        route: 0,
    };
    let find = |demands: &[(usize, u32, f64, f64)], own: usize, slots: f64| {
        let mut listed: Vec<FlowDemand> = demands
            .iter()
            .map(|(number, priority, weight, count)| {
                demand(flow(*number), class(*priority), *weight, *count)
            })
            .collect();
        let own = listed[own];
        let online = listed.iter().map(|demand| demand.count).sum::<f64>() as u32;
        find_standing(&mut listed, own, slots, online)
    };
    let shares = |demands: &[(usize, u32, f64, f64)], slots| {
        let shares = (0..demands.len()).map(|own| find(demands, own, slots).share.round());
        shares.collect::<Vec<f64>>()
    };
    // What a small flow leaves is divided among the others, by weight.
    let flows = [(0, 0, 1.0, 9.0), (1, 0, 1.0, 80.0), (2, 0, 2.0, 80.0)];
    assert_eq!(shares(&flows, 100.0), vec![30.0, 30.0, 61.0]);
    // A lower class gets what a higher one leaves, and 0.35 of its share without classes at least.
    let flows = [(0, 0, 1.0, 60.0), (1, 1, 1.0, 60.0), (2, 1, 1.0, 60.0)];
    assert_eq!(shares(&flows, 90.0), vec![f64::INFINITY, 15.0, 15.0]);
    let flows = [(0, 0, 1.0, 200.0), (1, 1, 1.0, 60.0)];
    assert_eq!(shares(&flows, 100.0), vec![83.0, 18.0]);
    assert!(find(&[(0, 0, 1.0, 9.0)], 0, 100.0).is_below_share());
}

#[test]
fn test_requests_wait_in_fair_order() {
    let class = |workspace| FlowClass {
        workspace,
        route: 0,
    };
    let mut line = WaitLine::default();
    let mut keys = Vec::new();
    for (number, priority, weight) in [(0, 1, 2.0); 6]
        .into_iter()
        .chain([(1, 1, 1.0); 3])
        .chain([(2, 0, 1.0)])
    {
        keys.push((line.push(flow(number), class(priority), weight), number));
    }
    let mut order = Vec::new();
    while let Some(head) = line.head() {
        let (key, number) = *keys.iter().find(|(key, _)| *key == head).unwrap();
        line.remove(flow(number), key, true);
        order.push(number);
    }
    assert!(line.is_empty());
    assert_eq!(order, vec![2, 0, 1, 0, 0, 1, 0, 0, 1, 0]);
}

/// An earlier release ignores the flows in a report and sends none.
#[test]
fn test_flows_in_reports_take_few_bytes_and_may_be_missing() {
    let mut state = BalancerState::new(HostId::new("host-0"), DataCentre::new("west"));
    let report = |state: &BalancerState| HostLoadReport {
        host: "host-0".to_owned(),
        incarnation: 1,
        sequence: 1,
        is_leaving: false,
        loads: Vec::new(),
        leaving: Vec::new(),
        ended: Vec::new(),
        waiting: Vec::new(),
        convictions: 0,
        limits: Vec::new(),
        reach: None,
        flows: state.own_flows().loads(),
        paces: Vec::new(),
    };
    let without = HostDatagram::Load(report(&state)).encode();
    assert!(matches!(
        HostDatagram::decode(&without),
        Some(HostDatagram::Load(report)) if report.flows.is_empty()
    ));
    assert!(!without.windows(2).any(|part| part == [0x61, b'f']));
    (0..10).for_each(|number| state.own_flows_mut().begin(flow(number)));
    let sent = report(&state);
    let with = HostDatagram::Load(sent.clone()).encode();
    assert_eq!(HostDatagram::decode(&with), Some(HostDatagram::Load(sent)));
    let bytes = with.len() - without.len();
    assert!(bytes <= 10 * 8 + 3, "{bytes} bytes for ten flows");
    (0..500).for_each(|number| state.own_flows_mut().begin(flow(number)));
    state.own_flows_mut().begin(flow(3));
    let flows = state.own_flows().loads();
    assert_eq!(flows.len(), 128);
    assert!(flows.contains(&FlowLoad::new(flow(3), 3)));
}
