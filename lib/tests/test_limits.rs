//! Limits of requests a second that upstreams name: what all hosts together send to them.

mod limit_fleet;
mod opaque;

use std::time::Duration;

use limit_fleet::LimitFleet;
use opaque::read_stream;
use opaque::request;
use opaque::route;
use parsleywall::balancer::BalancerState;
use parsleywall::balancer::HostLoadReport;
use parsleywall::balancer::upstream_tag;
use parsleywall::ids::DataCentre;
use parsleywall::ids::HostId;
use parsleywall::ids::ServiceName;
use parsleywall::ids::UpstreamIncarnation;
use parsleywall::ids::WorkClass;
use parsleywall::limits::LimitNotice;
use parsleywall::limits::LimitObservation;
use parsleywall::limits::LimitSignal;
use parsleywall::limits::RateLimit;
use parsleywall::relay::RelayAnswer;
use parsleywall::relay::RequestRelay;
use parsleywall::routes::RouteKind;
use parsleywall_standins::opaque::OpaqueUpstreams;
use proptest::prelude::*;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

/// Nine hosts before twelve upstreams, of which eight name limits of about three a second.
fn capped_fleet(seed: u64) -> LimitFleet {
    let mut fleet = LimitFleet::new(9, 12, seed).with_traffic(54.0, 7.0);
    fleet.run(3 * SECOND);
    for number in 0..8 {
        fleet.set_limit(number, Some(2.2 + 0.13 * number as f64));
    }
    fleet
}

#[tokio::test(start_paused = true)]
async fn test_fleet_keeps_limits_that_upstreams_name() {
    for seed in 1..=3 {
        let mut fleet = capped_fleet(seed);
        fleet.run(25 * SECOND);
        fleet.assert_within_limits(SECOND);
        assert_eq!(fleet.unplaced_online(), 0, "seed {seed}");
    }
}

#[tokio::test(start_paused = true)]
async fn test_limits_hold_while_hosts_are_killed_cut_off_and_started() {
    for seed in 1..=3 {
        let mut fleet = capped_fleet(seed);
        fleet.run(4 * SECOND);
        fleet.kill(0);
        fleet.run(3 * SECOND);
        fleet.start(0);
        fleet.run(2 * SECOND);
        fleet.cut(&[1]);
        fleet.run(4 * SECOND);
        fleet.heal();
        fleet.run(2 * SECOND);
        fleet.cut(&[2, 3, 4, 5]);
        fleet.run(5 * SECOND);
        fleet.heal();
        fleet.run(3 * SECOND);
        fleet.assert_within_limits(SECOND);
    }
}

#[tokio::test(start_paused = true)]
async fn test_limits_on_all_upstreams_are_used_and_kept() {
    let mut fleet = LimitFleet::new(9, 12, 1)
        .with_traffic(80.0, 7.0)
        .without_waves();
    fleet.run(SECOND);
    for number in 0..12 {
        fleet.set_limit(number, Some(3.0));
    }
    fleet.run(2 * SECOND);
    let before = fleet.sent();
    fleet.run(20 * SECOND);
    fleet.assert_within_limits(SECOND);
    let used = (fleet.sent() - before) as f64 / (12.0 * 3.0 * 20.0);
    assert!(used > 0.75, "{used} of what the limits allow");
    let items = fleet.items_started_since(10 * SECOND);
    assert!(items <= 10, "{items} items started, though batch yields");
}

#[tokio::test(start_paused = true)]
async fn test_batch_items_take_what_limits_allow() {
    let mut fleet = capped_fleet(4);
    fleet.run(2 * SECOND);
    let (items, limited) = fleet.items_by_limit(|fleet| fleet.run(20 * SECOND));
    assert!(items > 100, "{items} items");
    assert!(limited * 10 >= items * 8, "{limited} of {items} at limited");
}

#[tokio::test(start_paused = true)]
async fn test_end_of_a_limit_is_seen_soon_even_if_it_is_low() {
    for limit in [0.0, 0.1, 0.4, 1.0, 3.0] {
        let mut fleet = LimitFleet::new(9, 12, 7).with_traffic(54.0, 0.0);
        fleet.run(SECOND);
        fleet.set_limit(0, Some(limit));
        fleet.run(12 * SECOND);
        fleet.assert_within_limits(SECOND);
        fleet.set_limit(0, None);
        fleet.run(Duration::from_millis(2_400));
        assert_eq!(fleet.hosts_that_know_a_limit(0), 0, "limit {limit}");
    }
}

#[tokio::test(start_paused = true)]
async fn test_limit_is_known_to_all_hosts_within_two_reports() {
    let mut fleet = LimitFleet::new(9, 12, 3).with_traffic(54.0, 0.0);
    fleet.run(SECOND);
    fleet.set_limit(5, Some(3.0));
    while fleet.hosts_that_know_a_limit(5) == 0 {
        fleet.run(Duration::from_millis(5));
    }
    fleet.run(Duration::from_millis(100));
    assert_eq!(fleet.hosts_that_know_a_limit(5), 9);
    fleet.kill(4);
    fleet.run(3 * SECOND);
    fleet.start(4);
    fleet.run(Duration::from_millis(700));
    assert_eq!(
        fleet.hosts_that_know_a_limit(5),
        9,
        "also a host that starts anew"
    );
}

#[tokio::test(start_paused = true)]
async fn test_limits_hold_in_a_large_fleet_with_shares_below_one_request() {
    let mut fleet = LimitFleet::new(80, 300, 2).with_traffic(900.0, 60.0);
    fleet.run(2 * SECOND);
    for number in 0..200 {
        fleet.set_limit(number, Some(3.0));
    }
    fleet.run(8 * SECOND);
    fleet.assert_within_limits(Duration::from_millis(1_500));
}

#[tokio::test(start_paused = true)]
async fn test_second_wave_of_limits_while_the_first_holds() {
    let mut fleet = capped_fleet(5);
    fleet.run(6 * SECOND);
    for number in 4..12 {
        fleet.set_limit(number, Some(1.0 + 0.4 * number as f64));
    }
    fleet.run(10 * SECOND);
    fleet.assert_within_limits(SECOND);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    #[test]
    fn test_limits_hold_for_any_traffic(
        seed in 0u64..1_000,
        hosts in 1usize..16,
        limits in prop::collection::vec(0.0f64..12.0, 1..10),
        online in 5.0f64..120.0,
        items in 0.0f64..20.0,
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(async {
            let mut fleet = LimitFleet::new(hosts, 10, seed).with_traffic(online, items);
            fleet.run(SECOND);
            for (number, limit) in limits.iter().enumerate() {
                fleet.set_limit(number, Some(*limit));
            }
            fleet.run(10 * SECOND);
            fleet.assert_within_limits(2 * SECOND);
        });
    }
}

#[test]
fn test_odd_limits_are_decided() {
    let signal = |values: &[Option<f64>]| LimitSignal::from_values(values.iter().copied());
    let limited = |limit| LimitSignal::Limited(RateLimit::new(limit).unwrap());
    assert_eq!(signal(&[]), LimitSignal::Unlimited);
    assert_eq!(signal(&[Some(2.5)]), limited(2.5));
    assert_eq!(signal(&[Some(0.0)]), limited(0.0));
    assert_eq!(signal(&[Some(-0.0)]), limited(0.0));
    assert_eq!(signal(&[Some(1e308)]), LimitSignal::Unlimited);
    for malformed in [Some(-1.0), Some(f64::NAN), Some(f64::INFINITY), None] {
        assert_eq!(signal(&[malformed]), LimitSignal::Unknown, "{malformed:?}");
        assert_eq!(signal(&[malformed, Some(4.0)]), limited(4.0));
    }
    assert_eq!(signal(&[Some(4.0), Some(2.0)]), limited(2.0));
}

#[tokio::test(start_paused = true)]
async fn test_unknown_signal_keeps_the_limit_and_a_new_incarnation_has_none() {
    let now = Instant::now();
    let mut state = BalancerState::new(HostId::new("host-a"), DataCentre::new("west"));
    let entry = opaque::upstream("a");
    state.put(entry.clone());
    let service = ServiceName::new("desk");
    let choice = state.acquire(limit_fleet::slot(&service, WorkClass::Online), now, 0);
    let key = choice.unwrap().key;
    let limit = RateLimit::new(2.0).unwrap();
    state.note_limit(key, LimitSignal::Limited(limit), now);
    state.note_limit(key, LimitSignal::Unknown, now);
    assert_eq!(state.known_limit(&entry.id, now).unwrap().limit, limit);
    state.put(parsleywall::balancer::UpstreamEntry {
        started_ms: 2,
        ..entry.clone()
    });
    assert_eq!(state.known_limit(&entry.id, now), None);
}

/// A message may hold any limit, also one that no answer could have named.
#[tokio::test(start_paused = true)]
async fn test_impossible_limit_in_a_report_takes_no_memory() {
    let now = Instant::now();
    let mut state = BalancerState::new(HostId::new("host-a"), DataCentre::new("west"));
    let entry = opaque::upstream("a");
    state.put(entry.clone());
    let incarnation = UpstreamIncarnation(upstream_tag(&entry.id), entry.started_ms);
    let limit = RateLimit::new(1e308);
    let observation = LimitObservation(incarnation, limit, u32::MAX);
    let report = HostLoadReport {
        host: "host-b".to_owned(),
        incarnation: 1,
        sequence: 1,
        is_leaving: false,
        loads: Vec::new(),
        leaving: Vec::new(),
        ended: Vec::new(),
        waiting: Vec::new(),
        convictions: 0,
        limits: vec![LimitNotice(observation, u32::MAX, u32::MAX)],
        reach: None,
        flows: Vec::new(),
        paces: Vec::new(),
    };
    state.apply_report(report, now);
    assert_eq!(
        state.known_limit(&entry.id, now).map(|known| known.limit),
        limit
    );
    let later = now + 10 * SECOND;
    let service = ServiceName::new("desk");
    let choice = state.acquire(limit_fleet::slot(&service, WorkClass::Online), later, 0);
    assert!(choice.is_some());
}

/// Requests that may be sent to the upstream `a` in 0.95 s after these hosts' processes reported their grants,
/// by name, incarnation and number of grants.
fn slots_after_grants(reports: &[(&str, u64, u32)]) -> usize {
    let now = Instant::now();
    let mut state = BalancerState::new(HostId::new("host-a"), DataCentre::new("west"));
    let entry = opaque::upstream("a");
    state.put(parsleywall::balancer::UpstreamEntry {
        slots: 100,
        ..entry.clone()
    });
    let incarnation = UpstreamIncarnation(upstream_tag(&entry.id), entry.started_ms);
    let observation = LimitObservation(incarnation, RateLimit::new(40.0), 0);
    for (host, incarnation, grants) in reports {
        let report = HostLoadReport {
            host: (*host).to_owned(),
            incarnation: *incarnation,
            sequence: 1,
            is_leaving: false,
            loads: Vec::new(),
            leaving: Vec::new(),
            ended: Vec::new(),
            waiting: Vec::new(),
            convictions: 0,
            limits: vec![LimitNotice(observation, *grants, *grants)],
            reach: None,
            flows: Vec::new(),
            paces: Vec::new(),
        };
        state.apply_report(report, now);
    }
    let service = ServiceName::new("desk");
    let attempts = (0..95).filter(|step| {
        let slot = limit_fleet::slot(&service, WorkClass::Online);
        let at = now + *step * Duration::from_millis(10);
        state.acquire(slot, at, 0).is_some()
    });
    attempts.count()
}

/// The grants of a restarted host count beside those of its process before, also if they are more.
#[tokio::test(start_paused = true)]
async fn test_grants_of_a_restarted_host_add_to_those_of_its_process_before() {
    let alone = slots_after_grants(&[("host-b", 1, 10)]);
    let of_two_hosts = slots_after_grants(&[("host-b", 1, 10), ("host-c", 1, 12)]);
    assert!(of_two_hosts < alone, "{of_two_hosts} and {alone} requests");
    let of_two_processes = slots_after_grants(&[("host-b", 1, 10), ("host-b", 2, 12)]);
    assert_eq!(of_two_processes, of_two_hosts);
}

/// A host that hears none of the others uses its own part of the limit only.
#[tokio::test(start_paused = true)]
async fn test_host_that_hears_nobody_sends_its_share_of_a_limit() {
    let mut fleet = LimitFleet::new(9, 1, 1).with_traffic(90.0, 0.0);
    fleet.run(SECOND);
    fleet.set_limit(0, Some(9.0));
    fleet.run(SECOND);
    fleet.cut(&[3]);
    fleet.run(3 * SECOND);
    let before = fleet.sent_by(3);
    fleet.run(20 * SECOND);
    let sent = fleet.sent_by(3) - before;
    assert!((15..=21).contains(&sent), "{sent} requests in 20 s");
}

/// The requests of nine hosts, their retries and resumptions go through one relay each.
#[tokio::test(start_paused = true)]
async fn test_relays_keep_a_limit_and_tell_callers_when_to_return() {
    let transport = OpaqueUpstreams::new(10, Duration::from_millis(60), Duration::from_millis(10));
    let relays: Vec<RequestRelay> = (0..9)
        .map(|number| opaque::new_relay(&format!("host-{number}"), transport.clone(), &["a"]))
        .collect();
    for relay in &relays {
        let names: Vec<String> = (0..9).map(|number| format!("host-{number}")).collect();
        let names = names.iter().map(String::as_str);
        relay.balancer().state().set_hosts(names);
    }
    transport.set_limit("a", RateLimit::new(5.0));
    let exchange = limit_fleet::spawn_exchange(relays.clone());
    let mut running = Vec::new();
    for number in 0..400u64 {
        let relay = relays[number as usize % 9].clone();
        let route = route(RouteKind::Stream { resumable: true }, 2);
        running.push(tokio::spawn(async move {
            let asked = Instant::now();
            match relay.relay(request(&format!("r{number}"), route)).await {
                RelayAnswer::Refused { retry_after, .. } => Some((asked.elapsed(), retry_after)),
                answer => {
                    read_stream(answer).await;
                    None
                }
            }
        }));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut refusals = Vec::new();
    for answer in running {
        refusals.extend(answer.await.unwrap());
    }
    exchange.abort();
    let sent: Vec<Instant> = transport.attempts().iter().map(|sent| sent.at).collect();
    let known_at = sent[0] + Duration::from_millis(500);
    limit_fleet::assert_window(&sent, known_at, 5.0, "a");
    assert!(sent.len() > 60, "{} requests sent", sent.len());
    assert!(refusals.len() > 200, "{} refused", refusals.len());
    for (waited, retry_after) in refusals {
        assert!(
            waited <= Duration::from_millis(150),
            "told after {waited:?}"
        );
        assert!(retry_after >= Duration::from_millis(100), "{retry_after:?}");
    }
}

/// A host of the version before reports no limits.
#[test]
fn test_reports_without_limits_are_read() {
    let sent = HostLoadReport {
        host: "host-a".to_owned(),
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
        flows: Vec::new(),
        paces: Vec::new(),
    };
    let value = ciborium::Value::serialized(&sent).unwrap();
    let mut fields = value.into_map().unwrap();
    fields.retain(|(name, _)| name.as_text() != Some("r"));
    let read: HostLoadReport = ciborium::Value::Map(fields).deserialized().unwrap();
    assert_eq!(read, sent);
}
