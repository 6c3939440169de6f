//! Ages of writes to the key-value service, by this host's own clock.
//!
//! A time of day that another host wrote tells no age, as clocks of hosts may differ by any amount.
//! Revisions of the store do: what a listing shows was written before the listing was answered.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::edges::kv::KvVersion;

/// A revision of the store, with the first and the last time at which a listing had it.
#[derive(Clone, Copy, Debug)]
struct RevisionSample {
    revision: KvVersion,
    first_seen: Instant,
    last_seen: Instant,
}

/// Times at which this host saw revisions of the key-value service.
///
/// Samples are at least a step apart and older ones than a maximum age are dropped, so that their
/// number is bounded. Either makes ages less exact, and no version older than it is.
#[derive(Debug)]
pub struct RevisionAges {
    step: Duration,
    max_age: Duration,
    /// In the order of both revisions and times.
    samples: VecDeque<RevisionSample>,
}

impl RevisionAges {
    /// Creates an empty record with at most one sample each `step`. Of a version older than `max_age`,
    /// it is only known that it is about that old.
    pub fn new(step: Duration, max_age: Duration) -> Self {
        Self {
            step,
            max_age,
            samples: VecDeque::new(),
        }
    }

    /// Records that a listing which was answered at `now` had `revision`, also one that was out of date.
    /// A revision before the last recorded one tells nothing and is ignored.
    pub fn record(&mut self, revision: KvVersion, now: Instant) {
        if let Some(last) = self.samples.back_mut() {
            if revision < last.revision || now < last.last_seen {
                return;
            }
            if revision == last.revision {
                last.last_seen = now;
                return;
            }
            if now.duration_since(last.first_seen) < self.step {
                return;
            }
        }
        self.samples.push_back(RevisionSample {
            revision,
            first_seen: now,
            last_seen: now,
        });
        // The first sample stays as long as no later one is old enough to take its place.
        while let Some(second) = self.samples.get(1)
            && now.duration_since(second.first_seen) >= self.max_age
        {
            self.samples.pop_front();
        }
    }

    /// Whether `version` was written at least `age` before `now`. False if that is not known.
    pub fn is_older_than(&self, version: KvVersion, age: Duration, now: Instant) -> bool {
        let seen = self.first_seen(version);
        seen.is_some_and(|seen| now.saturating_duration_since(seen) >= age)
    }

    /// Time before `now` for which `version` has been stored at least; zero if no listing had it yet.
    pub fn least_age(&self, version: KvVersion, now: Instant) -> Duration {
        let seen = self.first_seen(version);
        seen.map_or(Duration::ZERO, |seen| now.saturating_duration_since(seen))
    }

    /// Time before `now` for which `version` has been stored at most, or a little longer, as a listing may
    /// be out of date; `None` if it may have been written before the first sample.
    pub fn greatest_age(&self, version: KvVersion, now: Instant) -> Option<Duration> {
        let before = self.reached_from(version).checked_sub(1)?;
        Some(now.saturating_duration_since(self.samples[before].last_seen))
    }

    fn first_seen(&self, version: KvVersion) -> Option<Instant> {
        let sample = self.samples.get(self.reached_from(version))?;
        Some(sample.first_seen)
    }

    /// Index of the first sample that has `version`.
    fn reached_from(&self, version: KvVersion) -> usize {
        self.samples
            .partition_point(|sample| sample.revision < version)
    }
}
