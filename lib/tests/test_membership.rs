//! Tests of the membership protocol on a simulated network, and of the authentication of datagrams.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parsleywall::clock::TimeOfDay;
use parsleywall::clock::unix_millis;
use parsleywall::counters::CounterEvent;
use parsleywall::counters::CounterSet;
use parsleywall::decisions::DecisionRing;
use parsleywall::ids::DataCentre;
use parsleywall::ids::HostId;
use parsleywall::ids::Revision;
use parsleywall::membership::GossipCore;
use parsleywall::membership::GossipEvent;
use parsleywall::membership::GossipMessage;
use parsleywall::membership::GossipPacket;
use parsleywall::membership::HostState;
use parsleywall::membership::Membership;
use parsleywall::membership::MembershipAgent;
use parsleywall::membership::MembershipCall;
use parsleywall::membership::PacketSealer;
use parsleywall::membership::PeerHost;
use parsleywall::membership::SealError;
use parsleywall::membership::SeedSources;
use parsleywall::peers::PeerClient;
use parsleywall::peers::PeerHandlers;
use parsleywall::peers::PeerServer;
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
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Longest time until every other host has removed a dead host from its view.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(5);
const LATENCY_MS: std::ops::Range<u64> = 1..8;

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

/// A simulated host. While paused it runs no timers and receives nothing.
struct SimHost {
    core: GossipCore,
    paused: bool,
    /// Datagrams that arrived while the host was paused.
    undelivered: Vec<(GossipPacket, SocketAddr)>,
    deaths: Vec<HostId>,
    sent: u64,
}

/// Hosts on a simulated network that loses, delays, reorders and duplicates datagrams,
/// reproducibly by a seed.
struct SimFleet {
    now: Instant,
    hosts: BTreeMap<usize, SimHost>,
    network: BTreeMap<(Instant, u64), (usize, SocketAddr, GossipPacket)>,
    order: u64,
    loss: f64,
    duplication: f64,
    /// Pairs (sender, receiver) between which all datagrams are lost.
    blocked: Vec<(usize, usize)>,
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
            blocked: Vec::new(),
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
            undelivered: Vec::new(),
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
        // A resumed process may handle its timers before its socket or after; here it is before.
        sim.core.tick(now);
        for (packet, source) in std::mem::take(&mut sim.undelivered) {
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
            sim.undelivered.push((packet, source));
            return;
        }
        sim.core.receive(packet, source, self.now);
        self.flush(to);
    }

    /// Sends the host's queued datagrams over the network and handles its events.
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
                let lost = self.rng.random_bool(self.loss) || self.blocked.contains(&(number, to));
                if !lost {
                    let delay = Duration::from_millis(self.rng.random_range(LATENCY_MS));
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
        let unreachable =
            self.blocked.contains(&(number, from)) || self.blocked.contains(&(from, number));
        let answers = self
            .hosts
            .get(&from)
            .filter(|sim| !sim.paused && !unreachable);
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

    /// Whether the view of every host has exactly the running hosts.
    fn views_converged(&self) -> bool {
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

    fn block_between(&mut self, left: std::ops::Range<usize>, right: std::ops::Range<usize>) {
        for a in left {
            for b in right.clone() {
                self.blocked.push((a, b));
                self.blocked.push((b, a));
            }
        }
    }
}

fn formed_fleet(count: usize, seed: u64) -> SimFleet {
    let mut fleet = SimFleet::new(count, seed);
    fleet.run(Duration::from_secs(10));
    assert!(
        fleet.views_converged(),
        "the fleet did not form: {:?}",
        fleet.seen_by(0)
    );
    fleet
}

#[test]
fn test_membership_forms() {
    for count in [1, 2, 3, 9, 60] {
        let fleet = formed_fleet(count, count as u64);
        assert_eq!(fleet.deaths(), []);
    }
}

#[test]
fn test_membership_detects_death() {
    for seed in 0..20 {
        let mut fleet = formed_fleet(9, seed);
        fleet.kill(4);
        fleet.run(MAX_DETECTION_TIME);
        assert!(fleet.views_converged(), "seed {seed}");
        assert!(fleet.deaths().iter().all(|id| *id == name(4)));
    }
}

#[test]
fn test_membership_restart() {
    for seed in 0..10 {
        let mut fleet = formed_fleet(9, seed);
        fleet.kill(4);
        fleet.run(Duration::from_millis(300 * seed));
        fleet.start(4);
        fleet.run(Duration::from_secs(10));
        assert!(fleet.views_converged(), "seed {seed}");
        let view = fleet.hosts[&0].core.view();
        let restarted = view.hosts.iter().find(|host| host.id == name(4));
        assert!(restarted.unwrap().incarnation > 9, "seed {seed}");
    }
}

#[test]
fn test_membership_no_false_death_under_loss() {
    let mut fleet = formed_fleet(9, 7);
    fleet.loss = 0.05;
    fleet.duplication = 0.05;
    fleet.run(Duration::from_secs(1800));
    assert_eq!(fleet.deaths(), []);
    assert!(fleet.views_converged());
}

#[test]
fn test_membership_no_false_death_when_paused() {
    let mut fleet = formed_fleet(9, 8);
    for round in 0..40 {
        let number = round % 9;
        fleet.pause(number);
        fleet.run(Duration::from_millis(2_000));
        fleet.resume(number);
        fleet.run(Duration::from_secs(8));
    }
    assert_eq!(fleet.deaths(), []);
    assert!(fleet.views_converged());
}

#[test]
fn test_membership_long_pause_rejoins() {
    let mut fleet = formed_fleet(9, 9);
    fleet.pause(3);
    fleet.run(Duration::from_secs(60));
    assert!(fleet.deaths().iter().all(|id| *id == name(3)));
    fleet.resume(3);
    fleet.run(Duration::from_secs(15));
    assert!(fleet.views_converged());
    // The paused host has declared no other host dead.
    assert_eq!(fleet.hosts[&3].deaths, []);
}

#[test]
fn test_membership_one_way_loss_no_false_death() {
    // Datagrams pass between two hosts in one direction only; indirect probes through other hosts
    // keep either from being declared dead.
    let mut fleet = formed_fleet(9, 10);
    fleet.blocked.push((2, 5));
    fleet.run(Duration::from_secs(600));
    assert_eq!(fleet.deaths(), []);
    assert!(fleet.views_converged());
}

#[test]
fn test_membership_isolated_host_declares_no_death() {
    let mut fleet = formed_fleet(9, 11);
    for other in (0..9).filter(|other| *other != 6) {
        fleet.blocked.push((other, 6));
    }
    fleet.run(Duration::from_secs(11));
    assert!(fleet.deaths().iter().all(|id| *id == name(6)));
    fleet.blocked.clear();
    fleet.run(Duration::from_secs(20));
    assert!(fleet.views_converged());
}

#[test]
fn test_membership_partition_heals_without_storm() {
    for minutes in [1, 5] {
        let mut fleet = formed_fleet(30, 12);
        let before = fleet.sent();
        fleet.run(Duration::from_secs(60));
        let idle_datagrams = fleet.sent() - before;
        fleet.block_between(0..12, 12..30);
        fleet.run(Duration::from_secs(60 * minutes));
        assert_eq!(fleet.seen_by(0).len(), 12);
        assert_eq!(fleet.seen_by(20).len(), 18);
        fleet.blocked.clear();
        let before = fleet.sent();
        fleet.run(Duration::from_secs(60));
        assert!(fleet.views_converged(), "{:?}", fleet.seen_by(0));
        let healing_datagrams = fleet.sent() - before;
        assert!(
            healing_datagrams < 3 * idle_datagrams,
            "{healing_datagrams} datagrams, {idle_datagrams} while idle"
        );
    }
}

#[test]
fn test_membership_planned_stop_no_death() {
    let mut fleet = formed_fleet(9, 13);
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
    assert!(fleet.views_converged());
    assert_eq!(fleet.deaths(), []);
}

#[test]
fn test_membership_revision_spreads() {
    let mut fleet = formed_fleet(60, 14);
    fleet
        .hosts
        .get_mut(&7)
        .unwrap()
        .core
        .set_revision(Revision(5));
    let mut hinted = 1;
    for _ in 0..20 {
        // Each host that learns of the revision adopts it, and announces it in turn.
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
fn test_membership_seal_rejects_replay() {
    let (mut sender, mut receiver) = sealers();
    let datagrams: Vec<_> = (0..20)
        .map(|_| sender.seal(packet(1), address(2), 1000))
        .collect();
    for datagram in datagrams.iter().rev() {
        assert_eq!(receiver.open(datagram, address(1), 1001), Ok(packet(1)));
    }
    for datagram in &datagrams {
        assert_eq!(
            receiver.open(datagram, address(1), 1001),
            Err(SealError::Replayed)
        );
    }
    for _ in 0..200 {
        sender.seal(packet(1), address(2), 1000);
    }
    let newest = sender.seal(packet(1), address(2), 1000);
    assert!(receiver.open(&newest, address(1), 1001).is_ok());
    assert_eq!(
        receiver.open(&datagrams[0], address(1), 1001),
        Err(SealError::Replayed)
    );
}

#[test]
fn test_membership_seal_rejects_invalid() {
    let (mut sender, mut receiver) = sealers();
    let datagram = sender.seal(packet(1), address(3), 1000);
    assert_eq!(
        receiver.open(&datagram, address(1), 1000),
        Err(SealError::Misdirected)
    );
    let datagram = sender.seal(packet(1), address(2), 1000);
    assert_eq!(
        receiver.open(&datagram, address(1), 2000),
        Err(SealError::Expired)
    );
    assert_eq!(
        receiver.open(&datagram[..7], address(1), 1000),
        Err(SealError::Malformed)
    );
    for index in 0..datagram.len() {
        let mut corrupted = datagram.clone();
        corrupted[index] ^= 0x20;
        assert_eq!(
            receiver.open(&corrupted, address(1), 1000),
            Err(SealError::Forged)
        );
    }
    let mut other_sealer = PacketSealer::new("another-secret-of-hosts".to_owned(), address(1), 33);
    let datagram = other_sealer.seal(packet(1), address(2), 1000);
    assert_eq!(
        receiver.open(&datagram, address(1), 1000),
        Err(SealError::Forged)
    );
}

/// Guards against a host that all others take for dead, and that takes all others for dead, as its clock
/// is wrong (issue 44).
#[test]
fn test_membership_seal_opens_datagrams_of_hosts_whose_clocks_differ() {
    const DAYS: i64 = 30 * 24 * 3600;
    for lead in [-DAYS, -400, 400, DAYS] {
        let (mut one, mut other) = sealers();
        let [to_one, to_other] = [address(1), address(2)];
        let begin = 1_700_000_000_u64;
        let other_time = |now: u64| now.saturating_add_signed(lead);
        let first = one.seal(packet(1), to_other, begin);
        let opened = other.open(&first, to_one, other_time(begin));
        assert_eq!(opened, Err(SealError::Expired), "nothing proves it new");
        let answer = other.seal(packet(2), to_one, other_time(begin));
        assert_eq!(one.open(&answer, to_other, begin), Ok(packet(2)));
        assert_eq!(one.open(&answer, to_other, begin), Err(SealError::Replayed));
        // From now on, all datagrams are opened, for as long as both live.
        let mut recorded = Vec::new();
        for now in (begin..begin + 2000).step_by(100) {
            let datagram = one.seal(packet(1), to_other, now);
            let opened = other.open(&datagram, to_one, other_time(now));
            assert_eq!(opened, Ok(packet(1)), "{lead}");
            recorded.push(datagram);
            let datagram = other.seal(packet(2), to_one, other_time(now));
            assert_eq!(one.open(&datagram, to_other, now), Ok(packet(2)), "{lead}");
        }
        let now = begin + 2000;
        for datagram in recorded.iter().chain([&first]) {
            let opened = other.open(datagram, to_one, other_time(now));
            assert!(opened.is_err(), "a replay");
        }
        // One that was held back is too old, though its echo was new once.
        let held_back = one.seal(packet(1), to_other, now);
        let opened = other.open(&held_back, to_one, other_time(now + 300));
        assert_eq!(opened, Err(SealError::Expired));
        // A restarted receiver doesn't take what was meant for the process before, but for what its clock
        // takes for new.
        let secret = "a-shared-secret-of-hosts".to_owned();
        let mut restarted = PacketSealer::new(secret, address(2), 44);
        for (datagram, sent_at) in recorded.iter().zip((begin..).step_by(100)) {
            let seems_new = other_time(now).abs_diff(sent_at) <= 120;
            let opened = restarted.open(datagram, to_one, other_time(now));
            assert_eq!(opened.is_ok(), seems_new, "{lead}, {opened:?}");
        }
        // The other clock is set right.
        let datagram = other.seal(packet(2), to_one, now);
        assert_eq!(one.open(&datagram, to_other, now), Ok(packet(2)));
        let datagram = one.seal(packet(1), to_other, now);
        assert_eq!(other.open(&datagram, to_one, now), Ok(packet(1)));
    }
}

fn ahead_by_400_s() -> u64 {
    unix_millis() + 400_000
}

fn behind_by_days() -> u64 {
    unix_millis() - 30 * 24 * 3600 * 1000
}

/// Runs the membership of a host whose clock tells `time_of_day`, until `stop`.
async fn run_host(
    number: usize,
    seeds: Vec<SocketAddr>,
    time_of_day: TimeOfDay,
    stop: &CancellationToken,
) -> (Arc<Membership>, Arc<CounterSet>) {
    const SECRET: &str = "a-shared-secret-of-hosts";
    let (listener, socket) = loop {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        if let Ok(socket) = UdpSocket::bind(listener.local_addr().unwrap()).await {
            break (listener, socket);
        }
    };
    let own = PeerHost {
        peer_address: listener.local_addr().unwrap(),
        ..host(number, time_of_day())
    };
    let membership = Arc::new(Membership::new(own));
    let counters = Arc::new(CounterSet::new());
    let peers = PeerClient::with_time_of_day(name(number), SECRET.to_owned(), time_of_day);
    let agent = MembershipAgent::new(
        membership.clone(),
        socket,
        SECRET.to_owned(),
        SeedSources::new(seeds),
        peers,
        counters.clone(),
        Arc::new(DecisionRing::new(name(number))),
    );
    let server = PeerServer::new(listener, SECRET.to_owned(), counters.clone());
    let answering = membership.clone();
    let answer = move |_, _: MembershipCall| std::future::ready(answering.state());
    let handlers = PeerHandlers::new().with(answer);
    tokio::spawn(agent.with_time_of_day(time_of_day).run(stop.clone()));
    let server = server.with_time_of_day(time_of_day);
    tokio::spawn(server.run(stop.clone(), handlers));
    (membership, counters)
}

#[tokio::test]
async fn test_membership_of_hosts_whose_clocks_differ() {
    let stop = CancellationToken::new();
    let clocks: [TimeOfDay; 3] = [unix_millis, ahead_by_400_s, behind_by_days];
    let mut hosts = Vec::new();
    let mut seeds = Vec::new();
    for (number, clock) in clocks.into_iter().enumerate() {
        let started = run_host(number, seeds.clone(), clock, &stop).await;
        seeds.push(started.0.own_address());
        hosts.push(started);
    }
    let sees_all = |(membership, _): &(Arc<Membership>, _)| membership.view().hosts.len() == 3;
    let all_seen = async {
        while !hosts.iter().all(sees_all) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let joined = tokio::time::timeout(Duration::from_secs(60), all_seen).await;
    assert!(joined.is_ok(), "they find each other");
    // Longer than it takes to find a host dead.
    tokio::time::sleep(MAX_DETECTION_TIME * 2).await;
    for host in &hosts {
        assert!(sees_all(host));
        assert_eq!(host.1.event_count(CounterEvent::HostDead), 0);
    }
    stop.cancel();
}

/// Transitions of the model. A `usize` is the number of a host, and the size of the first side
/// in `Partition`; `Run` is in milliseconds.
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

/// Reference state: which hosts run or are paused, and whether a death may have been declared.
#[derive(Clone, Debug)]
struct FleetModel {
    running: Vec<bool>,
    paused: Vec<bool>,
    /// Whether only faults happened so far under which no host may be declared dead.
    no_death_expected: bool,
}

impl ReferenceStateMachine for FleetModel {
    type State = Self;
    type Transition = FleetStep;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self {
            running: vec![true; MODEL_HOSTS],
            paused: vec![false; MODEL_HOSTS],
            no_death_expected: true,
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
                state.no_death_expected = false;
            }
            FleetStep::Start(number) => state.running[*number] = true,
            FleetStep::Pause(number) => {
                state.paused[*number] = true;
                state.no_death_expected = false;
            }
            FleetStep::Resume(number) => state.paused[*number] = false,
            FleetStep::Partition(_) => state.no_death_expected = false,
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
        formed_fleet(MODEL_HOSTS, 99)
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
                // Only one blocked direction at a time, as more could cut a host off from all
                // others.
                fleet.blocked.clear();
                fleet.blocked.push((from, to));
            }
            FleetStep::Partition(size) => fleet.block_between(0..size, size..MODEL_HOSTS),
            FleetStep::Heal => fleet.blocked.clear(),
        }
        fleet
    }

    fn check_invariants(fleet: &SimFleet, state: &FleetModel) {
        if state.no_death_expected {
            assert_eq!(fleet.deaths(), [], "a host was declared dead without cause");
        }
    }

    /// After all faults have ended, the views converge to the running hosts.
    fn teardown(mut fleet: SimFleet) {
        fleet.loss = 0.0;
        fleet.blocked.clear();
        let numbers: Vec<usize> = fleet.hosts.keys().copied().collect();
        for number in numbers {
            if fleet.hosts[&number].paused {
                fleet.resume(number);
            }
        }
        // Contacts the seeds again, as each host does periodically.
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
            assert!(fleet.views_converged(), "the fleet did not heal");
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
