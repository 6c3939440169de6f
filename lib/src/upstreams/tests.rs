//! Tests of the ejection of upstreams and of their slow start.

use std::time::Duration;

use tokio::time::Instant;

use crate::edges::engine::EngineLoadReport;
use crate::edges::host_list::ListedHost;
use crate::edges::host_list::ListedRole;
use crate::edges::host_list::ListedState;
use crate::ids::DataCentre;
use crate::ids::UpstreamId;
use crate::upstreams::health::HealthChange;
use crate::upstreams::health::UpstreamHealth;
use crate::upstreams::table::LoadPoll;
use crate::upstreams::table::UpstreamArena;

#[tokio::test(start_paused = true)]
async fn test_health_ejects_after_failures_in_a_row() {
    let mut health = UpstreamHealth::new();
    let now = Instant::now();
    assert_eq!(health.note_failure(true, now), None);
    assert_eq!(health.note_failure(true, now), None);
    health.note_success(now);
    assert_eq!(health.note_failure(true, now), None);
    assert_eq!(health.note_failure(true, now), None);
    let ejected = HealthChange::Ejected(Duration::from_secs(1));
    assert_eq!(health.note_failure(true, now), Some(ejected));
    assert!(health.is_ejected());
    assert_eq!(health.work_share(now), 0.0);
}

#[tokio::test(start_paused = true)]
async fn test_health_ejection_not_permitted() {
    let mut health = UpstreamHealth::new();
    let now = Instant::now();
    for _ in 0..100 {
        assert_eq!(health.note_failure(false, now), None);
    }
    assert!(!health.is_ejected());
}

#[tokio::test(start_paused = true)]
async fn test_health_slow_start() {
    let mut health = UpstreamHealth::new();
    let start = Instant::now();
    for _ in 0..3 {
        health.note_failure(true, start);
    }
    assert_eq!(
        health.end_ejection(start + Duration::from_millis(999)),
        None
    );
    let returned = start + Duration::from_secs(1);
    assert_eq!(health.end_ejection(returned), Some(HealthChange::Returned));
    assert!(health.work_share(returned) < 0.2);
    let half = health.work_share(returned + Duration::from_millis(2500));
    assert!((0.4..0.7).contains(&half), "share is {half}");
    assert_eq!(health.work_share(returned + Duration::from_secs(5)), 1.0);
}

#[tokio::test(start_paused = true)]
async fn test_health_ejects_longer_each_time() {
    let mut health = UpstreamHealth::new();
    let mut now = Instant::now();
    let mut times = Vec::new();
    for _ in 0..7 {
        for _ in 0..3 {
            if let Some(HealthChange::Ejected(time)) = health.note_failure(true, now) {
                times.push(time.as_secs());
                now += time;
            }
        }
        health.end_ejection(now);
    }
    assert_eq!(times, [1, 2, 4, 8, 16, 30, 30]);
}

#[test]
fn test_health_crash_counts_until_the_next_report() {
    let mut health = UpstreamHealth::new();
    assert!(!health.is_dead());
    health.note_crash();
    assert!(health.is_dead());
    health.note_report(false);
    assert!(health.is_dead());
    health.note_report(true);
    assert!(!health.is_dead());
}

fn listed(port: u16) -> ListedHost {
    ListedHost {
        id: UpstreamId::new("engine"),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: DataCentre::new("west"),
        role: ListedRole::Engine,
        state: ListedState::Live,
    }
}

fn poll(port: u16, sent_at: Instant) -> LoadPoll {
    LoadPoll {
        id: UpstreamId::new("engine"),
        address: ([127, 0, 0, 1], port).into(),
        sent_at,
    }
}

fn report(boot: u64) -> Option<EngineLoadReport> {
    Some(EngineLoadReport {
        boot,
        ..EngineLoadReport::default()
    })
}

/// All reports of a round are applied once the last one has come, or its time-out has passed.
#[tokio::test(start_paused = true)]
async fn test_report_from_before_a_crash_does_not_revive_the_upstream() {
    let id = UpstreamId::new("engine");
    let mut arena = UpstreamArena::default();
    arena.upsert(listed(1));
    let early = poll(1, Instant::now());
    tokio::time::advance(Duration::from_millis(50)).await;
    assert!(arena.note_crash(&id, Instant::now()));
    arena.apply_report(&early, report(1));
    let entry = arena.find_entry(&id).unwrap();
    assert!(entry.health.is_dead());
    assert_eq!(entry.upstream.load, None);

    arena.apply_report(&poll(1, Instant::now()), report(2));
    let entry = arena.find_entry(&id).unwrap();
    assert!(!entry.health.is_dead());
    assert_eq!(entry.upstream.load, report(2));
}

/// The platform may list another address while the report of the one before is on its way.
#[tokio::test(start_paused = true)]
async fn test_report_of_another_address_is_not_that_of_the_upstream() {
    let id = UpstreamId::new("engine");
    let mut arena = UpstreamArena::default();
    arena.upsert(listed(1));
    let early = poll(1, Instant::now());
    arena.upsert(listed(2));
    arena.apply_report(&early, report(1));
    assert_eq!(arena.find_entry(&id).unwrap().upstream.load, None);
    arena.apply_report(&poll(2, Instant::now()), report(2));
    assert_eq!(arena.find_entry(&id).unwrap().upstream.load, report(2));
}
