//! The membership protocol on a simulated network, and its datagrams' authentication.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use parsleywall::ids::DataCentre;
use parsleywall::ids::HostId;
use parsleywall::ids::Revision;
use parsleywall::membership::GossipCore;
use parsleywall::membership::GossipEvent;
use parsleywall::membership::GossipMessage;
use parsleywall::membership::GossipPacket;
use parsleywall::membership::HostState;
use parsleywall::membership::PacketSealer;
use parsleywall::membership::PeerHost;
use parsleywall::membership::SealError;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

/// Longest time until every other host sees that a host has died.
const DETECTION_LIMIT: Duration = Duration::from_secs(5);
const LATENCY: std::ops::Range<u64> = 1..8;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7000))
}

fn name(number: usize) -> HostId {
    HostId::new(format!("host-{number:04}"))
}

fn host(number: usize, incarnation: u64) -> PeerHost {
    PeerHost {
        id: name(number),
        incarnation,
        data_centre: DataCentre::new(format!("dc-{}", number % 3)),
        caller_address: address(number),
        peer_address: address(number),
        state: HostState::Live,
        revision: Revision(0),
        has_disk: false,
    }
}

/// A host of the simulation.
struct SimHost {
    core: GossipCore,
    paused: bool,
    /// Datagrams that wait for a paused host.
    waiting: Vec<(GossipPacket, SocketAddr)>,
    deaths: Vec<HostId>,
    sent: u64,
}

/// Hosts on a network that loses, delays, reorders and duplicates datagrams by a fixed seed.
struct SimFleet {
    now: Instant,
    hosts: BTreeMap<usize, SimHost>,
    network: BTreeMap<(Instant, u64), (usize, SocketAddr, GossipPacket)>,
    order: u64,
    loss: f64,
    duplication: f64,
    /// Pairs (from, to) between which nothing passes.
    cut: Vec<(usize, usize)>,
    rng: StdRng,
    starts: u64,
}

impl SimFleet {
    fn new(count: usize, seed: u64) -> Self {
        let mut fleet = Self {
            now: Instant::now(),
            hosts: BTreeMap::new(),
            network: BTreeMap::new(),
            order: 0,
            loss: 0.0,
            duplication: 0.0,
            cut: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            starts: 0,
        };
        for number in 0..count {
            fleet.start(number);
        }
        fleet
    }

    fn start(&mut self, number: usize) {
        self.starts += 1;
        let mut core = GossipCore::new(host(number, self.starts), self.starts, self.now);
        for seed in 0..3 {
            core.contact(address(seed));
        }
        let started = SimHost {
            core,
            paused: false,
            waiting: Vec::new(),
            deaths: Vec::new(),
            sent: 0,
        };
        self.hosts.insert(number, started);
        self.flush(number);
    }

    fn kill(&mut self, number: usize) {
        self.hosts.remove(&number);
    }

    fn pause(&mut self, number: usize) {
        self.hosts.get_mut(&number).unwrap().paused = true;
    }

    fn resume(&mut self, number: usize) {
        let now = self.now;
        let sim = self.hosts.get_mut(&number).unwrap();
        sim.paused = false;
        // A process that continues may read its socket before its timers, or after.
        sim.core.tick(now);
        for (packet, source) in std::mem::take(&mut sim.waiting) {
            sim.core.receive(packet, source, now);
        }
        self.flush(number);
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let wakes = self.hosts.iter().filter(|(_, sim)| !sim.paused);
            let wake = wakes
                .map(|(number, sim)| (sim.core.next_wake().max(self.now), *number))
                .min();
            let arrival = self.network.first_key_value().map(|(key, _)| key.0);
            let next = match (wake, arrival) {
                (Some((at, _)), Some(arrival)) => at.min(arrival),
                (Some((at, _)), None) | (None, Some(at)) => at,
                (None, None) => end,
            };
            if next >= end {
                self.now = end;
                return;
            }
            self.now = self.now.max(next);
            match wake {
                Some((at, number)) if arrival.is_none_or(|arrival| at <= arrival) => {
                    let sim = self.hosts.get_mut(&number).unwrap();
                    sim.core.tick(self.now);
                    self.flush(number);
                }
                _ => self.deliver(),
            }
        }
    }

    fn deliver(&mut self) {
        let Some((_, (to, source, packet))) = self.network.pop_first() else {
            return;
        };
        let Some(sim) = self.hosts.get_mut(&to) else {
            return;
        };
        if sim.paused {
            sim.waiting.push((packet, source));
            return;
        }
        sim.core.receive(packet, source, self.now);
        self.flush(to);
    }

    /// Carries the host's datagrams into the network and its events into its record.
    fn flush(&mut self, number: usize) {
        let sim = self.hosts.get_mut(&number).unwrap();
        let outgoing = sim.core.take_outgoing();
        sim.sent += outgoing.len() as u64;
        let mut pulls = Vec::new();
        for event in sim.core.take_events() {
            match event {
                GossipEvent::Died(id) => sim.deaths.push(id),
                GossipEvent::PullFrom(address) => pulls.push(address),
                _ => {}
            }
        }
        for outgoing in outgoing {
            let Some(to) = self.number_at(outgoing.to) else {
                continue;
            };
            let copies = 1 + usize::from(self.rng.random_bool(self.duplication));
            for _ in 0..copies {
                let lost = self.rng.random_bool(self.loss) || self.cut.contains(&(number, to));
                if !lost {
                    let delay = Duration::from_millis(self.rng.random_range(LATENCY));
                    self.order += 1;
                    let key = (self.now + delay, self.order);
                    let entry = (to, address(number), outgoing.packet.clone());
                    self.network.insert(key, entry);
                }
            }
        }
        for peer in pulls {
            self.pull(number, peer);
        }
    }

    fn pull(&mut self, number: usize, peer: SocketAddr) {
        let Some(from) = self.number_at(peer) else {
            return;
        };
        let cut = self.cut.contains(&(number, from)) || self.cut.contains(&(from, number));
        let answers = self.hosts.get(&from).filter(|sim| !sim.paused && !cut);
        let Some(state) = answers.map(|sim| sim.core.state()) else {
            return;
        };
        let now = self.now;
        let sim = self.hosts.get_mut(&number).unwrap();
        sim.core.merge_state(state, now);
        self.flush(number);
    }

    fn number_at(&self, wanted: SocketAddr) -> Option<usize> {
        self.hosts
            .keys()
            .copied()
            .find(|number| address(*number) == wanted)
    }

    fn seen_by(&self, number: usize) -> Vec<HostId> {
        let view = self.hosts[&number].core.view();
        view.hosts.iter().map(|host| host.id.clone()).collect()
    }

    fn live(&self) -> Vec<HostId> {
        self.hosts.keys().map(|number| name(*number)).collect()
    }

    /// Whether every host sees exactly the hosts that run.
    fn agrees(&self) -> bool {
        let live = self.live();
        self.hosts
            .keys()
            .all(|number| self.seen_by(*number) == live)
    }

    fn deaths(&self) -> Vec<HostId> {
        let hosts = self.hosts.values();
        hosts.flat_map(|sim| sim.deaths.clone()).collect()
    }

    fn sent(&self) -> u64 {
        self.hosts.values().map(|sim| sim.sent).sum()
    }

    fn cut_between(&mut self, left: std::ops::Range<usize>, right: std::ops::Range<usize>) {
        for a in left {
            for b in right.clone() {
                self.cut.push((a, b));
                self.cut.push((b, a));
            }
        }
    }
}

fn settled(count: usize, seed: u64) -> SimFleet {
    let mut fleet = SimFleet::new(count, seed);
    fleet.run(Duration::from_secs(10));
    assert!(
        fleet.agrees(),
        "the fleet did not form: {:?}",
        fleet.seen_by(0)
    );
    fleet
}

#[test]
fn test_membership_forms() {
    for count in [1, 2, 3, 9, 60] {
        let fleet = settled(count, count as u64);
        assert_eq!(fleet.deaths(), []);
    }
}

#[test]
fn test_membership_detects_death() {
    for seed in 0..20 {
        let mut fleet = settled(9, seed);
        fleet.kill(4);
        fleet.run(DETECTION_LIMIT);
        assert!(fleet.agrees(), "seed {seed}");
        assert!(fleet.deaths().iter().all(|id| *id == name(4)));
    }
}

#[test]
fn test_membership_restart() {
    for seed in 0..10 {
        let mut fleet = settled(9, seed);
        fleet.kill(4);
        fleet.run(Duration::from_millis(300 * seed));
        fleet.start(4);
        fleet.run(Duration::from_secs(10));
        assert!(fleet.agrees(), "seed {seed}");
        let view = fleet.hosts[&0].core.view();
        let restarted = view.hosts.iter().find(|host| host.id == name(4));
        assert!(restarted.unwrap().incarnation > 9, "seed {seed}");
    }
}

#[test]
fn test_membership_no_false_death_under_loss() {
    let mut fleet = settled(9, 7);
    fleet.loss = 0.05;
    fleet.duplication = 0.05;
    fleet.run(Duration::from_secs(1800));
    assert_eq!(fleet.deaths(), []);
    assert!(fleet.agrees());
}

#[test]
fn test_membership_no_false_death_when_paused() {
    let mut fleet = settled(9, 8);
    for round in 0..40 {
        let number = round % 9;
        fleet.pause(number);
        fleet.run(Duration::from_millis(2_000));
        fleet.resume(number);
        fleet.run(Duration::from_secs(8));
    }
    assert_eq!(fleet.deaths(), []);
    assert!(fleet.agrees());
}

#[test]
fn test_membership_long_pause_heals() {
    let mut fleet = settled(9, 9);
    fleet.pause(3);
    fleet.run(Duration::from_secs(60));
    assert!(fleet.deaths().iter().all(|id| *id == name(3)));
    fleet.resume(3);
    fleet.run(Duration::from_secs(15));
    assert!(fleet.agrees());
    // The host that stood still blames nobody.
    assert_eq!(fleet.hosts[&3].deaths, []);
}

#[test]
fn test_membership_one_way_silence() {
    // Two hosts that hear each other in one direction only are kept alive through others.
    let mut fleet = settled(9, 10);
    fleet.cut.push((2, 5));
    fleet.run(Duration::from_secs(600));
    assert_eq!(fleet.deaths(), []);
    assert!(fleet.agrees());
}

#[test]
fn test_membership_deaf_host_blames_nobody() {
    let mut fleet = settled(9, 11);
    for other in (0..9).filter(|other| *other != 6) {
        fleet.cut.push((other, 6));
    }
    fleet.run(Duration::from_secs(11));
    assert!(fleet.deaths().iter().all(|id| *id == name(6)));
    fleet.cut.clear();
    fleet.run(Duration::from_secs(20));
    assert!(fleet.agrees());
}

#[test]
fn test_membership_partition_heals_without_storm() {
    for minutes in [1, 5] {
        let mut fleet = settled(30, 12);
        let before = fleet.sent();
        fleet.run(Duration::from_secs(60));
        let quiet = fleet.sent() - before;
        fleet.cut_between(0..12, 12..30);
        fleet.run(Duration::from_secs(60 * minutes));
        assert_eq!(fleet.seen_by(0).len(), 12);
        assert_eq!(fleet.seen_by(20).len(), 18);
        fleet.cut.clear();
        let before = fleet.sent();
        fleet.run(Duration::from_secs(60));
        assert!(fleet.agrees(), "{:?}", fleet.seen_by(0));
        let healing = fleet.sent() - before;
        assert!(healing < 3 * quiet, "{healing} datagrams, {quiet} at rest");
    }
}

#[test]
fn test_membership_planned_stop_is_no_death() {
    let mut fleet = settled(9, 13);
    let now = fleet.now;
    let sim = fleet.hosts.get_mut(&2).unwrap();
    sim.core.set_draining(true, now);
    fleet.flush(2);
    fleet.run(Duration::from_secs(2));
    for sim in fleet.hosts.values() {
        let view = sim.core.view();
        let leaving = view.hosts.iter().find(|host| host.id == name(2)).unwrap();
        assert_eq!(leaving.state, HostState::Draining);
        assert!(view.assignable_hosts().all(|host| host.id != name(2)));
    }
    let now = fleet.now;
    fleet.hosts.get_mut(&2).unwrap().core.leave(now);
    fleet.flush(2);
    fleet.kill(2);
    fleet.run(Duration::from_secs(2));
    assert!(fleet.agrees());
    assert_eq!(fleet.deaths(), []);
}

#[test]
fn test_membership_revision_spreads() {
    let mut fleet = settled(60, 14);
    fleet
        .hosts
        .get_mut(&7)
        .unwrap()
        .core
        .set_revision(Revision(5));
    let mut hinted = 1;
    for _ in 0..20 {
        // Each host that hears of the revision gets it, and tells others in turn.
        fleet.run(Duration::from_millis(100));
        for sim in fleet.hosts.values_mut() {
            let behind = sim.core.own().revision < Revision(5);
            let view = sim.core.view();
            if behind && view.hosts.iter().any(|host| host.revision == Revision(5)) {
                sim.core.set_revision(Revision(5));
                hinted += 1;
            }
        }
    }
    assert_eq!(hinted, 60);
}

fn packet(from: usize) -> GossipPacket {
    GossipPacket {
        from: name(from),
        incarnation: 1,
        revision: Revision(3),
        message: GossipMessage::Ack { probe: 9 },
        updates: Vec::new(),
    }
}

fn sealers() -> (PacketSealer, PacketSealer) {
    let secret = "a-shared-secret-of-hosts".to_owned();
    (
        PacketSealer::new(secret.clone(), address(1), 11),
        PacketSealer::new(secret, address(2), 22),
    )
}

#[test]
fn test_membership_seal_takes_each_datagram_once() {
    let (mut sender, mut receiver) = sealers();
    let datagrams: Vec<_> = (0..20)
        .map(|_| sender.seal(packet(1), address(2), 1000))
        .collect();
    for datagram in datagrams.iter().rev() {
        assert_eq!(receiver.open(datagram, 1001), Ok(packet(1)));
    }
    for datagram in &datagrams {
        assert_eq!(receiver.open(datagram, 1001), Err(SealError::Replayed));
    }
    for _ in 0..200 {
        sender.seal(packet(1), address(2), 1000);
    }
    let newest = sender.seal(packet(1), address(2), 1000);
    assert!(receiver.open(&newest, 1001).is_ok());
    assert_eq!(receiver.open(&datagrams[0], 1001), Err(SealError::Replayed));
}

#[test]
fn test_membership_seal_rejects() {
    let (mut sender, mut receiver) = sealers();
    let datagram = sender.seal(packet(1), address(3), 1000);
    assert_eq!(receiver.open(&datagram, 1000), Err(SealError::Misdirected));
    let datagram = sender.seal(packet(1), address(2), 1000);
    assert_eq!(receiver.open(&datagram, 2000), Err(SealError::Expired));
    assert_eq!(
        receiver.open(&datagram[..7], 1000),
        Err(SealError::Malformed)
    );
    for place in 0..datagram.len() {
        let mut garbled = datagram.clone();
        garbled[place] ^= 0x20;
        assert_eq!(receiver.open(&garbled, 1000), Err(SealError::Forged));
    }
    let mut stranger = PacketSealer::new("another-secret-of-hosts".to_owned(), address(1), 33);
    let datagram = stranger.seal(packet(1), address(2), 1000);
    assert_eq!(receiver.open(&datagram, 1000), Err(SealError::Forged));
}

/// Steps of the model; numbers are of hosts.
#[derive(Clone, Debug)]
enum FleetStep {
    Run(u64),
    Kill(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    Loss(f64),
    CutOneWay(usize, usize),
    Partition(usize),
    Heal,
}

const MODEL_HOSTS: usize = 7;

/// What the model knows: which hosts run, and which were ever in trouble of their own.
#[derive(Clone, Debug)]
struct FleetModel {
    running: Vec<bool>,
    paused: Vec<bool>,
    /// Whether only faults happened under which no host may be given up.
    harmless: bool,
}

impl ReferenceStateMachine for FleetModel {
    type State = Self;
    type Transition = FleetStep;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self {
            running: vec![true; MODEL_HOSTS],
            paused: vec![false; MODEL_HOSTS],
            harmless: true,
        })
        .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<FleetStep> {
        let number = 0..MODEL_HOSTS;
        prop_oneof![
            4 => (100_u64..6_000).prop_map(FleetStep::Run),
            1 => number.clone().prop_map(FleetStep::Kill),
            2 => number.clone().prop_map(FleetStep::Start),
            1 => number.clone().prop_map(FleetStep::Pause),
            2 => number.clone().prop_map(FleetStep::Resume),
            1 => prop_oneof![Just(0.0), Just(0.05)].prop_map(FleetStep::Loss),
            1 => (number.clone(), number).prop_map(|(a, b)| FleetStep::CutOneWay(a, b)),
            1 => (1..MODEL_HOSTS).prop_map(FleetStep::Partition),
            2 => Just(FleetStep::Heal),
        ]
        .boxed()
    }

    fn preconditions(state: &Self, step: &FleetStep) -> bool {
        match step {
            FleetStep::Kill(number) => state.running[*number],
            FleetStep::Start(number) => !state.running[*number],
            FleetStep::Pause(number) => state.running[*number] && !state.paused[*number],
            FleetStep::Resume(number) => state.running[*number] && state.paused[*number],
            _ => true,
        }
    }

    fn apply(mut state: Self, step: &FleetStep) -> Self {
        match step {
            FleetStep::Kill(number) => {
                state.running[*number] = false;
                state.paused[*number] = false;
                state.harmless = false;
            }
            FleetStep::Start(number) => state.running[*number] = true,
            FleetStep::Pause(number) => {
                state.paused[*number] = true;
                state.harmless = false;
            }
            FleetStep::Resume(number) => state.paused[*number] = false,
            FleetStep::Partition(_) => state.harmless = false,
            _ => {}
        }
        state
    }
}

struct FleetTest;

impl StateMachineTest for FleetTest {
    type SystemUnderTest = SimFleet;
    type Reference = FleetModel;

    fn init_test(_: &FleetModel) -> SimFleet {
        settled(MODEL_HOSTS, 99)
    }

    fn apply(mut fleet: SimFleet, _: &FleetModel, step: FleetStep) -> SimFleet {
        match step {
            FleetStep::Run(millis) => fleet.run(Duration::from_millis(millis)),
            FleetStep::Kill(number) => fleet.kill(number),
            FleetStep::Start(number) => fleet.start(number),
            FleetStep::Pause(number) => fleet.pause(number),
            FleetStep::Resume(number) => fleet.resume(number),
            FleetStep::Loss(loss) => fleet.loss = loss,
            FleetStep::CutOneWay(from, to) => {
                // One lame direction at a time: more may leave a host without any path.
                fleet.cut.clear();
                fleet.cut.push((from, to));
            }
            FleetStep::Partition(size) => fleet.cut_between(0..size, size..MODEL_HOSTS),
            FleetStep::Heal => fleet.cut.clear(),
        }
        fleet
    }

    fn check_invariants(fleet: &SimFleet, state: &FleetModel) {
        if state.harmless {
            assert_eq!(fleet.deaths(), [], "a host was given up without cause");
        }
    }

    /// After all faults have ended, every host sees exactly the hosts that run.
    fn teardown(mut fleet: SimFleet) {
        fleet.loss = 0.0;
        fleet.cut.clear();
        let numbers: Vec<usize> = fleet.hosts.keys().copied().collect();
        for number in numbers {
            if fleet.hosts[&number].paused {
                fleet.resume(number);
            }
        }
        // Seeds are contacted again by each host from time to time.
        for _ in 0..6 {
            for sim in fleet.hosts.values_mut() {
                for seed in 0..3 {
                    sim.core.contact(address(seed));
                }
            }
            let numbers: Vec<usize> = fleet.hosts.keys().copied().collect();
            for number in numbers {
                fleet.flush(number);
            }
            fleet.run(Duration::from_secs(10));
        }
        if !fleet.hosts.is_empty() && fleet.hosts.keys().any(|number| *number < 3) {
            assert!(fleet.agrees(), "the fleet did not heal");
        }
    }
}

#[test]
fn test_membership_state_machine() {
    let config = Config {
        cases: 64,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[6; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(
            &FleetModel::sequential_strategy(1..30),
            |(initial, steps, seen)| {
                FleetTest::test_sequential(Config::default(), initial, steps, seen);
                Ok(())
            },
        )
        .unwrap();
}
