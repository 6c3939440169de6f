//! Tests ages of stored versions by this host's own clock.

use std::time::Duration;

use parsleywall::edges::kv::KvVersion;
use parsleywall::revision_ages::RevisionAges;
use tokio::time::Instant;

const STEP: Duration = Duration::from_secs(2);
const MAX_AGE: Duration = Duration::from_secs(100);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Returns the record after listings had these revisions at these seconds, and the time of second 0.
fn recorded(listings: &[(u64, u64)]) -> (RevisionAges, Instant) {
    let mut ages = RevisionAges::new(STEP, MAX_AGE);
    let start = Instant::now();
    for (second, revision) in listings {
        ages.record(KvVersion(*revision), start + seconds(*second));
    }
    (ages, start)
}

#[test]
fn test_nothing_is_old_without_samples() {
    let (ages, start) = recorded(&[]);
    let now = start + seconds(1_000);
    assert!(!ages.is_older_than(KvVersion(1), Duration::ZERO, now));
    assert_eq!(ages.least_age(KvVersion(1), now), Duration::ZERO);
    assert_eq!(ages.greatest_age(KvVersion(1), now), None);
}

#[test]
fn test_ages_between_two_samples() {
    let (ages, start) = recorded(&[(0, 10), (20, 15)]);
    let now = start + seconds(50);
    assert_eq!(ages.least_age(KvVersion(10), now), seconds(50));
    assert_eq!(ages.greatest_age(KvVersion(10), now), None);
    for version in [11, 15] {
        let version = KvVersion(version);
        assert_eq!(ages.least_age(version, now), seconds(30));
        assert_eq!(ages.greatest_age(version, now), Some(seconds(50)));
        assert!(ages.is_older_than(version, seconds(30), now));
        assert!(!ages.is_older_than(version, seconds(31), now));
    }
    assert_eq!(ages.least_age(KvVersion(16), now), Duration::ZERO);
    assert_eq!(ages.greatest_age(KvVersion(16), now), Some(seconds(30)));
    assert!(!ages.is_older_than(KvVersion(16), Duration::ZERO, now));
}

/// A revision that stays is old since it was first seen, and the next one new since it was last seen.
#[test]
fn test_revision_seen_again() {
    let (ages, start) = recorded(&[(0, 10), (20, 10), (40, 10), (60, 11)]);
    let now = start + seconds(70);
    assert_eq!(ages.least_age(KvVersion(10), now), seconds(70));
    assert_eq!(ages.least_age(KvVersion(11), now), seconds(10));
    assert_eq!(ages.greatest_age(KvVersion(11), now), Some(seconds(30)));
}

/// An answer that arrives late, or is out of date, has an earlier revision than the one before.
#[test]
fn test_earlier_revisions_are_ignored() {
    let (ages, start) = recorded(&[(0, 10), (20, 15), (30, 12), (40, 15)]);
    let now = start + seconds(50);
    assert_eq!(ages.least_age(KvVersion(12), now), seconds(30));
    assert_eq!(ages.greatest_age(KvVersion(16), now), Some(seconds(10)));
}

/// Of samples within one step the first counts: the others make no version older than it is.
#[test]
fn test_samples_of_one_step_are_joined() {
    let (ages, start) = recorded(&[(0, 10), (1, 20), (2, 30)]);
    let now = start + seconds(10);
    assert_eq!(ages.least_age(KvVersion(10), now), seconds(10));
    assert_eq!(ages.least_age(KvVersion(15), now), seconds(8));
    assert_eq!(ages.greatest_age(KvVersion(15), now), Some(seconds(10)));
}

/// What is older than the maximum age stays known to be that old, and is not said to be older.
#[test]
fn test_samples_beyond_the_maximum_age_are_dropped() {
    let listings: Vec<(u64, u64)> = (0..1_000).map(|second| (second, second + 1)).collect();
    let (ages, start) = recorded(&listings);
    let now = start + seconds(999);
    let oldest = ages.least_age(KvVersion(1), now);
    assert!(oldest >= MAX_AGE && oldest < MAX_AGE + STEP, "{oldest:?}");
    assert_eq!(ages.greatest_age(KvVersion(1), now), None);
    for age in 3..90 {
        let version = KvVersion(1_000 - age);
        let least = ages.least_age(version, now);
        assert!(least <= seconds(age) && least + STEP >= seconds(age));
        assert!(ages.greatest_age(version, now).unwrap() >= seconds(age));
    }
    // The record holds no more than the samples of the maximum age, whatever it was given.
    let shown = format!("{ages:?}").matches("RevisionSample").count();
    assert!(shown <= 52, "{shown} samples");
}
