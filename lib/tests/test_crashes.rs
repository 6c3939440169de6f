//! Tests of requests that crash the upstreams that run them: how many upstreams end, and what the
//! callers of other requests get.

mod opaque;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use opaque::answer_name;
use opaque::new_relay;
use opaque::read_stream;
use opaque::request;
use opaque::route;
use opaque::spawn_crash_exchange;
use parsleywall::balancer::BalancerState;
use parsleywall::balancer::HostDatagram;
use parsleywall::balancer::LoadBalancer;
use parsleywall::balancer::LoadExchange;
use parsleywall::balancer::PeerAddresses;
use parsleywall::event_log::EventLog;
use parsleywall::ids::DataCentre;
use parsleywall::ids::HostId;
use parsleywall::ids::UpstreamIncarnation;
use parsleywall::relay::RelayAnswer;
use parsleywall::relay::RelayRefusal;
use parsleywall::relay::RelayRequest;
use parsleywall::relay::RequestRelay;
use parsleywall::routes::RouteKind;
use parsleywall::suspects::ConvictionNotice;
use parsleywall::suspects::CrashExposure;
use parsleywall::suspects::CrashKeeper;
use parsleywall::suspects::CrashLedger;
use parsleywall::suspects::CrashNews;
use parsleywall::suspects::CrashSubject;
use parsleywall::suspects::CrashVerdict;
use parsleywall::suspects::CrashedRun;
use parsleywall::suspects::Fingerprint;
use parsleywall::suspects::FleetSize;
use parsleywall::suspects::exceeds_chance;
use parsleywall_standins::opaque::OpaqueBehaviour;
use parsleywall_standins::opaque::OpaqueUpstreams;
use rand::Rng;
use rand::SeedableRng;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const RESUMABLE: RouteKind = RouteKind::Stream { resumable: true };
const HOSTS: [&str; 3] = ["host-a", "host-b", "host-c"];
const UPSTREAMS: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
const EVENTS: u64 = 20;
/// Time until an upstream sends the first part of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(60);
const FLEET: FleetSize = FleetSize {
    hosts: 3,
    upstreams: 12,
};
/// Time in which hosts know of a crash and have judged it.
const NEWS_TIME: Duration = Duration::from_millis(100);

/// Hosts that share upstreams, some of whose requests crash them.
struct CrashFleet {
    transport: Arc<OpaqueUpstreams>,
    relays: Vec<RequestRelay>,
    sent: usize,
}

impl CrashFleet {
    fn new() -> Self {
        let (first, gap) = (ANSWER_TIME, Duration::from_millis(20));
        let transport = OpaqueUpstreams::new(EVENTS, first, gap);
        let relays: Vec<RequestRelay> = HOSTS
            .iter()
            .map(|host| new_relay(host, transport.clone(), &UPSTREAMS))
            .collect();
        spawn_crash_exchange(relays.clone());
        Self {
            transport,
            relays,
            sent: 0,
        }
    }

    /// Sends a copy of the request with `body` to the next host, and returns the name of its answer
    /// and whether that was complete.
    async fn send(&mut self, body: &Bytes) -> (&'static str, bool) {
        let relay = self.relays[self.sent % self.relays.len()].clone();
        self.sent += 1;
        let id = format!("r{}", self.sent);
        let mut request = request(&id, route(RESUMABLE, 2));
        request.body = body.clone();
        let answer = relay.relay(request).await;
        let name = answer_name(&answer);
        match answer {
            RelayAnswer::Stream { .. } => (name, read_stream(answer).await.1),
            _ => (name, false),
        }
    }

    /// Sends a copy to each host at the same time, and returns how many complete answers there are.
    async fn send_to_all(&mut self, body: &Bytes) -> usize {
        self.sent += 1;
        let copies = self.relays.iter().enumerate().map(|(number, relay)| {
            let mut request = request(&format!("r{}-{number}", self.sent), route(RESUMABLE, 2));
            request.body = body.clone();
            async move {
                match relay.relay(request).await {
                    answer @ RelayAnswer::Stream { .. } => read_stream(answer).await.1,
                    _ => false,
                }
            }
        });
        let answers = futures_util::future::join_all(copies).await;
        answers.into_iter().filter(|is_whole| *is_whole).count()
    }
}

#[tokio::test(start_paused = true)]
async fn test_request_that_crashes_upstreams_is_not_sent_to_further_ones() {
    let mut fleet = CrashFleet::new();
    let deadly = Bytes::from_static(b"deadly");
    fleet.transport.set_deadly(&deadly);
    for _ in 0..20 {
        assert!(!fleet.send(&deadly).await.1);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let crashes = fleet.transport.crashes();
    assert!((1..=4).contains(&crashes), "{crashes}");
}

/// Sound requests arrive all the time while upstreams crash by themselves in bursts, so that some are
/// sent to one that crashes several times in a row.
#[tokio::test(start_paused = true)]
async fn test_crashes_of_other_causes_convict_nobody() {
    let mut rng = rand::rngs::StdRng::seed_from_u64(29);
    let mut crash_rng = rand::rngs::StdRng::seed_from_u64(30);
    let fleet = CrashFleet::new();
    let crashing = fleet.transport.clone();
    tokio::spawn(async move {
        for burst in 0..15 {
            for _ in 0..4 {
                crashing.crash(UPSTREAMS[crash_rng.random_range(0..UPSTREAMS.len())]);
            }
            let pause = if burst % 5 == 4 { 4_000 } else { 400 };
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    });
    let mut ended = Vec::new();
    for number in 0..900 {
        let relay = fleet.relays[number % HOSTS.len()].clone();
        let second = format!("second {}", rng.random_range(0..69));
        let mut request = request_with_parts(number, &["first", &second]);
        request.body = Bytes::from(format!("sound {}", number % 50));
        ended.push(tokio::spawn(async move {
            match relay.relay(request).await {
                RelayAnswer::Refused { reason, .. } => reason == RelayRefusal::Convicted,
                RelayAnswer::Stream { mut body, .. } => {
                    while let Some(Ok(_)) = body.next().await {}
                    false
                }
                _ => false,
            }
        }));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut refused = 0;
    for is_refused in ended {
        refused += usize::from(is_refused.await.unwrap());
    }
    assert!(fleet.transport.crashes() > 20);
    assert_eq!(refused, 0);
    for relay in &fleet.relays {
        assert_eq!(relay.crashes().convictions(), 0);
    }
}

/// Other requests wait at each upstream that crashes; none of them is refused afterwards.
#[tokio::test(start_paused = true)]
async fn test_requests_beside_one_that_crashes_upstreams_are_served() {
    let mut fleet = CrashFleet::new();
    let deadly = Bytes::from_static(b"deadly");
    fleet.transport.set_deadly(&deadly);
    let mut served = Vec::new();
    for round in 0..12 {
        for sound in 0..24 {
            let relay = fleet.relays[sound % HOSTS.len()].clone();
            let body = Bytes::from(format!("sound {sound}"));
            served.push(tokio::spawn(async move {
                let mut request = request(&format!("s{round}-{sound}"), route(RESUMABLE, 4));
                request.body = body;
                match relay.relay(request).await {
                    answer @ RelayAnswer::Stream { .. } => read_stream(answer).await.1,
                    _ => false,
                }
            }));
        }
        fleet.send(&deadly).await;
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let mut failed = 0;
    for answer in served {
        failed += usize::from(!answer.await.unwrap());
    }
    assert_eq!(failed, 0);
    assert!(
        fleet.transport.crashes() <= 4,
        "{}",
        fleet.transport.crashes()
    );
    for relay in &fleet.relays {
        assert_eq!(relay.crashes().convictions(), 1);
    }
}

/// Copies of a convicted request arrive at all hosts at once when the conviction is due for a test.
#[tokio::test(start_paused = true)]
async fn test_conviction_is_tested_at_the_cost_of_one_upstream() {
    let mut fleet = CrashFleet::new();
    let deadly = Bytes::from_static(b"deadly");
    fleet.transport.set_deadly(&deadly);
    fleet.send(&deadly).await;
    tokio::time::sleep(NEWS_TIME).await;
    let before = fleet.transport.crashes();
    assert_eq!(fleet.send(&deadly).await.0, "refused");
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(fleet.send_to_all(&deadly).await, 0);
    assert_eq!(fleet.transport.crashes(), before + 1);
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(fleet.send_to_all(&deadly).await, 0);
    assert_eq!(fleet.transport.crashes(), before + 1);
    // The model is mended in the meantime: one copy proves it, and then all are served.
    fleet.transport.clear_deadly();
    tokio::time::sleep(Duration::from_secs(600)).await;
    assert_eq!(fleet.send_to_all(&deadly).await, 1);
    assert_eq!(fleet.send_to_all(&deadly).await, HOSTS.len());
}

/// A host that was cut off, or has just started, gets the convictions of another.
#[tokio::test(start_paused = true)]
async fn test_host_without_evidence_learns_convictions() {
    let mut fleet = CrashFleet::new();
    let deadly = Bytes::from_static(b"deadly");
    fleet.transport.set_deadly(&deadly);
    fleet.send(&deadly).await;
    tokio::time::sleep(NEWS_TIME).await;
    let late = new_relay("host-d", fleet.transport.clone(), &UPSTREAMS);
    let known = fleet.relays[0].crashes();
    assert_ne!(known.digest(), late.crashes().digest());
    late.crashes()
        .apply(known.convictions_notice().unwrap(), FLEET);
    assert_eq!(known.digest(), late.crashes().digest());
    let mut copy = request("late", route(RESUMABLE, 2));
    copy.body = deadly;
    let answer = late.relay(copy).await;
    let RelayAnswer::Refused { reason, .. } = answer else {
        panic!("the answer is {}", answer_name(&answer));
    };
    assert_eq!(reason, RelayRefusal::Convicted);
}

/// A connection that breaks proves no crash while the upstream accepts others.
#[tokio::test(start_paused = true)]
async fn test_broken_connections_convict_nobody() {
    let mut fleet = CrashFleet::new();
    for upstream in UPSTREAMS {
        fleet
            .transport
            .set(upstream, OpaqueBehaviour::BreaksAfter(0));
    }
    let body = Bytes::from_static(b"sound");
    for _ in 0..10 {
        fleet.send(&body).await;
    }
    for relay in &fleet.relays {
        assert_eq!(relay.crashes().convictions(), 0);
    }
}

/// A request with a body of its own, and with parts of a prompt.
fn request_with_parts(number: usize, parts: &[&str]) -> RelayRequest {
    let mut request = request(&format!("p{number}"), route(RESUMABLE, 2));
    request.body = Bytes::from(format!("body {number}"));
    request.prompt_parts = parts
        .iter()
        .map(|part| Fingerprint::prompt_part(part))
        .collect();
    request
}

/// No two requests are alike; the sound ones share the first part of the prompt with the others, and a
/// second part with some of the sound ones.
#[tokio::test(start_paused = true)]
async fn test_part_that_crashes_upstreams_is_not_sent_to_further_ones() {
    let fleet = CrashFleet::new();
    let tainted = Fingerprint::prompt_part("tainted");
    fleet.transport.set_deadly_part(tainted);
    let mut sound = Vec::new();
    for number in 0..600 {
        let relay = fleet.relays[number % HOSTS.len()].clone();
        let is_tainted = number > 100 && number % 20 == 7;
        let second = match is_tainted {
            true => "tainted".to_owned(),
            false => format!("second {}", number % 69),
        };
        let request = request_with_parts(number, &["first", &second]);
        let answer = tokio::spawn(async move {
            match relay.relay(request).await {
                answer @ RelayAnswer::Stream { .. } => read_stream(answer).await.1,
                _ => false,
            }
        });
        if !is_tainted {
            sound.push(answer);
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    let mut failed = 0;
    for answer in sound {
        failed += usize::from(!answer.await.unwrap());
    }
    let crashes = fleet.transport.crashes();
    assert!((1..=5).contains(&crashes), "{crashes}");
    assert!(failed <= 5, "{failed} sound requests failed");
}

fn fingerprint(number: usize) -> Fingerprint {
    Fingerprint::opaque("desk", "POST", "/ask/1", &number.to_le_bytes())
}

fn run(number: usize) -> CrashedRun {
    CrashedRun::new(fingerprint(number), &[], Duration::from_millis(100))
}

fn upstream(number: usize) -> UpstreamIncarnation {
    UpstreamIncarnation(number as u32, 1)
}

/// A flood of requests that each crash upstreams fills neither the memory nor a datagram.
#[tokio::test(start_paused = true)]
async fn test_flood_of_crashes_is_bounded() {
    let mut ledger = CrashLedger::new("host-a");
    ledger.set_fleet(FleetSize {
        hosts: 1_400,
        upstreams: 10_000,
    });
    let mut number = 0;
    for round in 0..1_200 {
        let now = Instant::now();
        let others = if round % 50 == 0 { 20 } else { 1 };
        for _ in 0..2 {
            for other in 0..others {
                ledger.report_crash(upstream(number), run(number * 100 + other), now);
            }
            ledger.report_crash(upstream(number), run(number / 2 * 100 + 50), now);
            number += 1;
        }
        if let Some(news) = ledger.take_news(now) {
            let bytes = HostDatagram::Crashes(news).encode().len();
            assert!(bytes < 16 * 1024, "{bytes}");
        }
        tokio::time::advance(Duration::from_millis(10)).await;
    }
    assert!(ledger.convictions() <= 1_024);
    let notice = ledger.convictions_notice(7, Instant::now());
    let bytes = HostDatagram::Crashes(notice).encode().len();
    assert!(bytes < 16 * 1024, "{bytes}");
}

#[test]
fn test_proof_needs_more_crashes_the_more_often_upstreams_crash() {
    let needed = |others, others_near, upstreams| {
        let crash = CrashExposure {
            risk_time: Duration::from_millis(150),
            others,
            others_near,
        };
        (1..20).find(|count| exceeds_chance(&vec![crash; *count], upstreams))
    };
    assert_eq!(needed(0, 0, 12), Some(2));
    assert_eq!(needed(4, 0, 12), Some(3));
    assert_eq!(needed(4, 4, 12), Some(4));
    assert_eq!(needed(20, 10, 12), Some(6));
    assert_eq!(needed(20, 10, 10_000), Some(2));
    assert_eq!(needed(20, 20, 2), None);
}

fn run_with_parts(number: usize, parts: &[&str]) -> CrashedRun {
    let parts: Vec<Fingerprint> = parts
        .iter()
        .map(|part| Fingerprint::prompt_part(part))
        .collect();
    CrashedRun::new(fingerprint(number), &parts, Duration::from_millis(100))
}

fn part(name: &str) -> CrashSubject {
    CrashSubject::Part(Fingerprint::prompt_part(name))
}

fn ledger() -> CrashLedger {
    let mut ledger = CrashLedger::new("host-a");
    ledger.set_fleet(FLEET);
    ledger
}

/// Reports a crash at which `runs` were, each with the number of its request and its parts, and waits
/// until it is judged.
async fn crash(ledger: &mut CrashLedger, number: usize, runs: &[(usize, &[&str])]) {
    for (request, parts) in runs {
        let run = run_with_parts(*request, parts);
        ledger.report_crash(upstream(number), run, Instant::now());
    }
    tokio::time::advance(NEWS_TIME).await;
    ledger.take_news(Instant::now());
}

fn is_convicted(ledger: &mut CrashLedger, subject: CrashSubject) -> bool {
    let verdict = ledger.verdict(&[subject], Instant::now());
    matches!(verdict, CrashVerdict::Convicted { .. })
}

/// Of two parts that always come together, the one that fewer requests may share is convicted.
#[tokio::test(start_paused = true)]
async fn test_later_of_two_parts_is_convicted() {
    let mut ledger = ledger();
    crash(&mut ledger, 1, &[(1, &["first", "tainted"])]).await;
    assert!(!is_convicted(&mut ledger, part("tainted")));
    crash(&mut ledger, 2, &[(2, &["first", "tainted"])]).await;
    assert!(is_convicted(&mut ledger, part("tainted")));
    assert!(!is_convicted(&mut ledger, part("first")));
}

/// Copies of one request say nothing about the parts of its prompt.
#[tokio::test(start_paused = true)]
async fn test_parts_of_a_request_that_crashes_upstreams_are_not_convicted() {
    let mut ledger = ledger();
    for number in 0..3 {
        crash(&mut ledger, number, &[(1, &["first", "second"])]).await;
    }
    assert!(is_convicted(
        &mut ledger,
        CrashSubject::Request(fingerprint(1))
    ));
    assert!(!is_convicted(&mut ledger, part("second")));
    assert!(!is_convicted(&mut ledger, part("first")));
}

/// A sound request is sent again after a crash and meets another one, both by the same part.
#[tokio::test(start_paused = true)]
async fn test_bystander_of_two_crashes_is_not_convicted() {
    let mut ledger = ledger();
    let sound: (usize, &[&str]) = (9, &["first", "sound"]);
    crash(&mut ledger, 1, &[(1, &["first", "tainted"]), sound]).await;
    crash(&mut ledger, 2, &[(2, &["first", "tainted"]), sound]).await;
    let bystander = CrashSubject::Request(fingerprint(9));
    assert!(!is_convicted(&mut ledger, bystander));
    assert!(!is_convicted(&mut ledger, part("sound")));
    crash(&mut ledger, 3, &[(3, &["first", "tainted"])]).await;
    assert!(is_convicted(&mut ledger, part("tainted")));
    assert!(!is_convicted(&mut ledger, bystander));
    assert!(!is_convicted(&mut ledger, part("sound")));
}

/// Two parts crash upstreams at the same time, while sound requests share the first part with both.
#[tokio::test(start_paused = true)]
async fn test_two_parts_are_both_convicted() {
    let mut ledger = ledger();
    for number in 0..6 {
        let name = ["tainted", "spoilt"][number % 2];
        crash(&mut ledger, number, &[(number, &["first", name])]).await;
        ledger.report_sound(&[part("first")], ANSWER_TIME, Instant::now());
    }
    assert!(is_convicted(&mut ledger, part("tainted")));
    assert!(is_convicted(&mut ledger, part("spoilt")));
    assert!(!is_convicted(&mut ledger, part("first")));
}

/// Only one host has seen that a part is sound, and tells it before the others convict the part.
#[tokio::test(start_paused = true)]
async fn test_host_that_knows_a_part_to_be_sound_defends_it() {
    let mut knowing = CrashLedger::new("host-b");
    let mut other = ledger();
    knowing.set_fleet(FLEET);
    for number in 0..4 {
        let run = run_with_parts(number, &["first", "second"]);
        other.report_crash(upstream(number), run, Instant::now());
        tokio::time::advance(Duration::from_millis(20)).await;
        let news = other.take_news(Instant::now()).unwrap();
        knowing.apply(news, Instant::now());
        tokio::time::advance(Duration::from_millis(10)).await;
        knowing.report_sound(
            &[part("second"), part("first")],
            ANSWER_TIME,
            Instant::now(),
        );
        tokio::time::advance(Duration::from_millis(10)).await;
        if let Some(news) = knowing.take_news(Instant::now()) {
            other.apply(news, Instant::now());
        }
        tokio::time::advance(Duration::from_secs(1)).await;
        other.take_news(Instant::now());
        knowing.take_news(Instant::now());
    }
    assert_eq!((other.convictions(), knowing.convictions()), (0, 0));
}

/// Upstreams that crash at the same moment, as those of a rack, are one piece of evidence.
#[tokio::test(start_paused = true)]
async fn test_upstreams_that_crash_at_once_convict_nobody() {
    let mut ledger = ledger();
    for number in 0..6 {
        let run = run_with_parts(number, &["first", "second"]);
        ledger.report_crash(upstream(number), run, Instant::now());
    }
    tokio::time::advance(NEWS_TIME).await;
    ledger.take_news(Instant::now());
    assert_eq!(ledger.convictions(), 0);
}

/// A part that was sound for long is convicted once no request with it gets an answer any more.
#[tokio::test(start_paused = true)]
async fn test_part_that_turns_bad_is_convicted() {
    let mut ledger = ledger();
    ledger.report_sound(
        &[part("first"), part("second")],
        ANSWER_TIME,
        Instant::now(),
    );
    let mut crashes = 0;
    while !is_convicted(&mut ledger, part("second")) {
        crash(&mut ledger, crashes, &[(crashes, &["first", "second"])]).await;
        ledger.report_sound(&[part("first")], ANSWER_TIME, Instant::now());
        crashes += 1;
        assert!(crashes <= 5);
    }
    assert!(crashes > 2);
    assert!(!is_convicted(&mut ledger, part("first")));
}

/// An upstream restarts under its old identity and start time, and crashes again: a second crash, which
/// other hosts learn of as such.
#[tokio::test(start_paused = true)]
async fn test_second_crash_of_an_upstream_is_not_taken_for_the_first() {
    let (mut ledger, mut other) = (ledger(), CrashLedger::new("host-b"));
    other.set_fleet(FLEET);
    for _ in 0..2 {
        let run = run_with_parts(1, &["first", "second"]);
        ledger.report_crash(upstream(1), run, Instant::now());
        let news = ledger.take_news(Instant::now()).unwrap();
        other.apply(news, Instant::now());
        tokio::time::advance(Duration::from_secs(4)).await;
    }
    let subject = CrashSubject::Request(fingerprint(1));
    assert!(is_convicted(&mut ledger, subject));
    assert!(is_convicted(&mut other, subject));
}

/// Guards against a sound request that is convicted by one crash: a host that stood still finds messages that
/// have waited, whose ages count from their sending, and takes the crash for a second one.
#[tokio::test(start_paused = true)]
async fn test_crash_of_which_a_message_has_waited_is_counted_once() {
    let subject = CrashSubject::Request(fingerprint(1));
    for stop in [0, 500, 1_200, 2_000, 5_000] {
        for sends_before in [0, 1] {
            let (mut sender, mut stopped) = (ledger(), ledger());
            sender.report_crash(upstream(1), run(1), Instant::now());
            let stopped_at = Instant::now();
            let mut waiting = Vec::new();
            for number in 0..3 {
                if let Some(news) = sender.take_news(Instant::now()) {
                    match number < sends_before {
                        true => stopped.apply(news, Instant::now()),
                        false => waiting.push(news),
                    }
                }
                tokio::time::advance(Duration::from_millis(300)).await;
            }
            tokio::time::advance(Duration::from_millis(stop)).await;
            assert!(!waiting.is_empty());
            for news in waiting {
                stopped.apply_arrived(news, stopped_at, Instant::now());
            }
            tokio::time::advance(NEWS_TIME).await;
            stopped.take_news(Instant::now());
            assert!(!is_convicted(&mut stopped, subject), "{stop} ms");
        }
    }
}

/// Starts the exchange of `keeper` with the host at `peer`.
fn spawn_exchange(socket: UdpSocket, host: &str, keeper: CrashKeeper, peer: SocketAddr) {
    let state = BalancerState::new(HostId::new(host), DataCentre::new("west"));
    let leaving = CancellationToken::new();
    let balancer = LoadBalancer::new(state);
    let exchange = LoadExchange::new(socket, balancer, host.to_owned(), 1, leaving);
    let peers = move || PeerAddresses {
        neighbours: vec![peer],
        all: vec![peer],
        ..PeerAddresses::default()
    };
    tokio::spawn(async move {
        let exchange = exchange.with_crashes(keeper);
        exchange.run(peers, Vec::new, |_, _| {}).await;
    });
}

/// A host that has just started gets the convictions of its neighbour with the first load reports.
#[tokio::test]
async fn test_new_host_gets_convictions_from_a_neighbour() {
    let keepers = ["host-a", "host-b"].map(|host| CrashKeeper::new(host, EventLog::disabled()));
    let notice = ConvictionNotice {
        subject: part("tainted"),
        age_ms: 1_000,
        failed_tests: 0,
    };
    let news = CrashNews {
        convictions: vec![notice],
        ..CrashNews::default()
    };
    keepers[0].apply(news, FLEET);
    let sockets = [
        UdpSocket::bind("127.0.0.1:0").await.unwrap(),
        UdpSocket::bind("127.0.0.1:0").await.unwrap(),
    ];
    let [first, second] = sockets
        .each_ref()
        .map(|socket| socket.local_addr().unwrap());
    let [socket_a, socket_b] = sockets;
    spawn_exchange(socket_a, "host-a", keepers[0].clone(), second);
    spawn_exchange(socket_b, "host-b", keepers[1].clone(), first);
    while keepers[1].convictions() == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(keepers[0].digest(), keepers[1].digest());
}
