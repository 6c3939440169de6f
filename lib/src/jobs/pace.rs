//! How long items take, and so which waiting ones can still be in time.
//!
//! Answers more batch work than the places hold: in order of due times alone, every item ends a
//! little late once one does. Those that cannot be in time any more wait for the others.

use std::time::Duration;

/// Weight of the newest item in the means.
const NEWEST: f64 = 0.2;
/// Part of a mean item that is expected of an item longer than the mean.
const LEAST_REST: f64 = 0.15;
/// A run of fewer events says little about their pace.
const LEAST_EVENTS: u64 = 5;

/// Mean size and pace of items.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DurationEstimator {
    events: Option<f64>,
    event_ms: Option<f64>,
}

impl DurationEstimator {
    /// Notes a whole item of `events` events, of which the last run made `gained` in `time`.
    pub(crate) fn note(&mut self, events: u64, gained: u64, time: Duration) {
        mix(&mut self.events, events as f64);
        if gained >= LEAST_EVENTS {
            mix(
                &mut self.event_ms,
                time.as_secs_f64() * 1_000.0 / gained as f64,
            );
        }
    }

    /// Time that an item with `events` events still takes; zero while nothing is known.
    pub(crate) fn rest_ms(&self, events: u64) -> u64 {
        let (Some(mean), Some(event_ms)) = (self.events, self.event_ms) else {
            return 0;
        };
        let rest = (mean - events as f64).max(mean * LEAST_REST);
        (rest * event_ms) as u64
    }
}

fn mix(mean: &mut Option<f64>, value: f64) {
    *mean = Some(match *mean {
        Some(mean) => mean + (value - mean) * NEWEST,
        None => value,
    });
}
