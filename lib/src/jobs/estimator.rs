//! Estimates how long items take, and so which waiting ones can still finish by their due time.
//!
//! This matters under overload, when there is more batch work than slots: in order of due times
//! alone, every item would finish a little late once one does. Items that can't finish in time any
//! more therefore yield to those that can.

use std::time::Duration;

/// Weight of the newest sample in the exponential moving averages.
const NEWEST_WEIGHT: f64 = 0.2;
/// Least remaining length of an item, as a fraction of the mean; applies to items that are nearly
/// as long as the mean or longer.
const MIN_REST_FRACTION: f64 = 0.15;
/// Minimum number of events in a run for its time per event to be used; a shorter run says little
/// about that time.
const MIN_RUN_EVENTS: u64 = 5;

/// Moving averages of the events per item and of the time per event.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DurationEstimator {
    mean_events: Option<f64>,
    mean_event_ms: Option<f64>,
}

impl DurationEstimator {
    /// Adds a completed item of `events` events, of which its last run produced `gained` in `time`.
    pub(crate) fn record(&mut self, events: u64, gained: u64, time: Duration) {
        update_mean(&mut self.mean_events, events as f64);
        if gained >= MIN_RUN_EVENTS {
            update_mean(
                &mut self.mean_event_ms,
                time.as_secs_f64() * 1_000.0 / gained as f64,
            );
        }
    }

    /// Estimated remaining run time in milliseconds of an item that has `events` events; 0 before
    /// the first completed item.
    pub(crate) fn remaining_ms(&self, events: u64) -> u64 {
        let (Some(mean), Some(event_ms)) = (self.mean_events, self.mean_event_ms) else {
            return 0;
        };
        let rest = (mean - events as f64).max(mean * MIN_REST_FRACTION);
        (rest * event_ms) as u64
    }
}

fn update_mean(mean: &mut Option<f64>, value: f64) {
    *mean = Some(match *mean {
        Some(mean) => mean + (value - mean) * NEWEST_WEIGHT,
        None => value,
    });
}
