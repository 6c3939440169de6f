//! Tests of requests that crash the upstreams that run them: how many upstreams end, and what the
//! callers of other requests get.

mod opaque;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use opaque::answer_name;
use opaque::new_relay;
use opaque::read_stream;
use opaque::request;
use opaque::route;
use opaque::spawn_crash_exchange;
use parsleywall::balancer::HostDatagram;
use parsleywall::ids::UpstreamIncarnation;
use parsleywall::relay::RelayAnswer;
use parsleywall::relay::RelayRefusal;
use parsleywall::relay::RequestRelay;
use parsleywall::routes::RouteKind;
use parsleywall::suspects::CrashLedger;
use parsleywall::suspects::CrashedRun;
use parsleywall::suspects::Fingerprint;
use parsleywall::suspects::exceeds_chance;
use parsleywall_standins::opaque::OpaqueBehaviour;
use parsleywall_standins::opaque::OpaqueUpstreams;
use rand::Rng;
use rand::SeedableRng;
use tokio::time::Instant;

const RESUMABLE: RouteKind = RouteKind::Stream { resumable: true };
const HOSTS: [&str; 3] = ["host-a", "host-b", "host-c"];
const UPSTREAMS: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
const EVENTS: u64 = 20;
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
        let (first, gap) = (Duration::from_millis(60), Duration::from_millis(20));
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
    let fleet = CrashFleet::new();
    let crashing = fleet.transport.clone();
    tokio::spawn(async move {
        for burst in 0..15 {
            for _ in 0..4 {
                crashing.crash(UPSTREAMS[rng.random_range(0..UPSTREAMS.len())]);
            }
            let pause = if burst % 5 == 4 { 4_000 } else { 400 };
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    });
    let mut ended = Vec::new();
    for number in 0..900 {
        let relay = fleet.relays[number % HOSTS.len()].clone();
        let body = Bytes::from(format!("sound {}", number % 50));
        ended.push(tokio::spawn(async move {
            let mut request = request(&format!("r{number}"), route(RESUMABLE, 2));
            request.body = body;
            if let answer @ RelayAnswer::Stream { .. } = relay.relay(request).await {
                read_stream(answer).await;
            }
        }));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    for end in ended {
        end.await.unwrap();
    }
    assert!(fleet.transport.crashes() > 20);
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
        .apply(known.convictions_notice().unwrap(), 12);
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

fn fingerprint(number: usize) -> Fingerprint {
    Fingerprint::opaque("desk", "POST", "/ask/1", &number.to_le_bytes())
}

fn run(number: usize) -> CrashedRun {
    CrashedRun {
        request: fingerprint(number),
        waited_ms: 100,
    }
}

fn upstream(number: usize) -> UpstreamIncarnation {
    UpstreamIncarnation(number as u32, 1)
}

/// A flood of requests that each crash upstreams fills neither the memory nor a datagram.
#[tokio::test(start_paused = true)]
async fn test_flood_of_crashes_is_bounded() {
    let mut ledger = CrashLedger::new("host-a");
    ledger.set_upstreams(10_000);
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
    let needed = |others, upstreams, wait_ms| {
        let wait = Duration::from_millis(wait_ms);
        (1..20).find(|count| exceeds_chance(&vec![wait; *count], others, upstreams))
    };
    assert_eq!(needed(0, 12, 150), Some(2));
    assert_eq!(needed(4, 12, 150), Some(3));
    assert_eq!(needed(12, 12, 150), Some(3));
    assert_eq!(needed(12, 12, 400), Some(4));
    assert_eq!(needed(12, 10_000, 400), Some(2));
    assert_eq!(needed(50, 2, 1_000), None);
}
