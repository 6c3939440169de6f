//! Tests of the ejection of upstreams and of their slow start.

use std::time::Duration;

use tokio::time::Instant;

use crate::upstreams::health::HealthChange;
use crate::upstreams::health::UpstreamHealth;

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
