//! When a request takes a detour, and through which host.

use std::time::Duration;

use parsleywall::collections::HashMap;
use parsleywall::detour::DetourDecision;
use parsleywall::detour::DetourInputs;
use parsleywall::detour::DetourTable;
use parsleywall::detour::MAX_OFFERS;
use parsleywall::detour::UNREACHED_ATTEMPTS;
use parsleywall::detour::UpstreamReach;
use parsleywall::detour::decide_detour;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;
use tokio::time::advance;

const REACHED: DetourInputs = DetourInputs {
    reach: UpstreamReach::Reached,
    unreached: 0,
    has_no_upstream: false,
    offers: 0,
};

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("host-{number}")).collect()
}

#[test]
fn test_where_the_next_attempt_goes() {
    let stranded = DetourInputs {
        reach: UpstreamReach::Stranded,
        ..REACHED
    };
    let partial = DetourInputs {
        reach: UpstreamReach::Partial,
        ..REACHED
    };
    let cases = [
        (REACHED, DetourDecision::Own),
        (
            DetourInputs {
                unreached: UNREACHED_ATTEMPTS - 1,
                ..REACHED
            },
            DetourDecision::Own,
        ),
        (
            DetourInputs {
                unreached: UNREACHED_ATTEMPTS,
                ..REACHED
            },
            DetourDecision::Detour,
        ),
        (
            DetourInputs {
                unreached: UNREACHED_ATTEMPTS,
                offers: MAX_OFFERS,
                ..REACHED
            },
            DetourDecision::Own,
        ),
        (
            // All upstreams are full: others see the same.
            DetourInputs {
                has_no_upstream: true,
                ..REACHED
            },
            DetourDecision::Refuse,
        ),
        (stranded, DetourDecision::Detour),
        (
            DetourInputs {
                offers: MAX_OFFERS,
                ..stranded
            },
            DetourDecision::Refuse,
        ),
        (partial, DetourDecision::Own),
        (
            DetourInputs {
                unreached: 1,
                ..partial
            },
            DetourDecision::Detour,
        ),
        (
            DetourInputs {
                has_no_upstream: true,
                ..partial
            },
            DetourDecision::Detour,
        ),
        (
            DetourInputs {
                has_no_upstream: true,
                offers: MAX_OFFERS,
                ..partial
            },
            DetourDecision::Refuse,
        ),
    ];
    for (inputs, expected) in cases {
        assert_eq!(decide_detour(inputs), expected, "{inputs:?}");
    }
}

/// The load of hosts that are cut off spreads over all others, with nothing but each one's own detours to go
/// by.
#[tokio::test(start_paused = true)]
async fn test_detours_spread_over_all_hosts() {
    const STRANDED: usize = 6;
    const OTHERS: usize = 8;
    const ROUNDS: usize = 2_000;
    /// Requests of a stranded host that are under way at a time.
    const UNDER_WAY: usize = 24;
    let names = names(OTHERS);
    let candidates: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut rng = StdRng::seed_from_u64(1);
    let mut taken: HashMap<usize, usize> = HashMap::default();
    let mut most = 0;
    let mut tables: Vec<(DetourTable, Vec<usize>)> = (0..STRANDED)
        .map(|_| (DetourTable::default(), Vec::new()))
        .collect();
    for _ in 0..ROUNDS {
        for (table, under_way) in &mut tables {
            let now = Instant::now();
            let chosen = table.choose(&candidates, &[], now, rng.random()).unwrap();
            table.begin(candidates[chosen]);
            under_way.push(chosen);
            *taken.entry(chosen).or_default() += 1;
            if under_way.len() > UNDER_WAY {
                let ended = under_way.swap_remove(rng.random_range(0..UNDER_WAY));
                table.end(candidates[ended], now);
            }
        }
        for host in 0..OTHERS {
            let at_host = tables.iter();
            let at_host = at_host.flat_map(|(_, under_way)| under_way.iter());
            most = most.max(at_host.filter(|at| **at == host).count());
        }
        advance(Duration::from_millis(10)).await;
    }
    let mean = STRANDED * ROUNDS / OTHERS;
    for host in 0..OTHERS {
        let share = taken[&host] as f64 / mean as f64;
        assert!((0.9..1.1).contains(&share), "host {host}: {share}");
    }
    let mean_under_way = STRANDED * UNDER_WAY / OTHERS;
    assert!(most < 2 * mean_under_way, "{most} under way at one host");
}

/// Hosts of the same data centre are preferred while few detours are under way there, and the others then
/// carry their part.
#[tokio::test(start_paused = true)]
async fn test_near_hosts_are_preferred_while_they_are_lightly_used() {
    let names = names(8);
    let candidates: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut rng = StdRng::seed_from_u64(2);
    for (under_way, near_share) in [(2, 0.5..1.0), (400, 0.25..0.4)] {
        let mut table = DetourTable::default();
        table.set_near_hosts(names[..2].iter().cloned().collect());
        let mut chosen = Vec::new();
        for _ in 0..under_way {
            let now = Instant::now();
            let host = table.choose(&candidates, &[], now, rng.random()).unwrap();
            table.begin(candidates[host]);
            chosen.push(host);
        }
        assert_eq!(table.under_way(), under_way);
        let draws = 1_000;
        let near = (0..draws).filter(|_| {
            let now = Instant::now();
            table.choose(&candidates, &[], now, rng.random()).unwrap() < 2
        });
        let share = near.count() as f64 / f64::from(draws);
        assert!(near_share.contains(&share), "{under_way}: {share}");
        for host in chosen {
            table.end(candidates[host], Instant::now());
        }
        assert_eq!(table.under_way(), 0);
    }
}

#[tokio::test(start_paused = true)]
async fn test_hosts_that_refused_lately_are_passed_by() {
    let names = names(3);
    let candidates: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut table = DetourTable::default();
    let started = Instant::now();
    table.avoid("host-0", Duration::from_millis(500), started);
    table.avoid("host-1", Duration::from_secs(60), started);
    let choose = |table: &DetourTable, excluded: &[String]| {
        table.choose(&candidates, excluded, Instant::now(), 0.0)
    };
    assert_eq!(choose(&table, &[]), Some(2));
    assert_eq!(choose(&table, &names[2..]), None);
    let wait = table.shortest_avoidance(&candidates, Instant::now());
    assert_eq!(wait, Some(Duration::from_millis(500)));
    advance(Duration::from_millis(500)).await;
    assert_eq!(choose(&table, &names[2..]), Some(0));
    // However long a host asks for, it may have room again after a second.
    advance(Duration::from_millis(500)).await;
    assert_eq!(choose(&table, &names[..1]), Some(1));
    assert_eq!(table.shortest_avoidance(&candidates, Instant::now()), None);
}
