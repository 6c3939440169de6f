//! Requests of the last time span, counted in steps.

use std::time::Duration;

use tokio::time::Instant;

/// Whole steps in a window.
const STEPS: usize = 50;
/// Those and the one that has not ended.
const SLOTS: usize = STEPS + 1;
/// Time within which most requests that have not run are returned: grants are returned after a second.
const RETURN_TIME: Duration = Duration::from_millis(1_200);

/// Requests taken in the last `window`.
///
/// Guarantees that each counts for at least `window` after it was taken, and for a fiftieth of it more at
/// most.
#[derive(Clone, Debug)]
pub(crate) struct WindowCounts {
    /// Requests of each step, the newest first.
    counts: [f32; SLOTS],
    total: f64,
    step: Duration,
    /// Start of the newest step.
    started_at: Instant,
}

impl WindowCounts {
    /// Creates counts of the last `window`, which is not zero, with `taken` requests evenly over it.
    pub(crate) fn new(window: Duration, taken: f64, now: Instant) -> Self {
        let mut counts = Self {
            counts: [0.0; SLOTS],
            total: 0.0,
            step: window / STEPS as u32 + Duration::from_nanos(1),
            started_at: now,
        };
        counts.spread(taken);
        counts
    }

    /// Requests that count.
    pub(crate) fn total(&self) -> f64 {
        self.total
    }

    /// Forgets the steps that are older than the window.
    pub(crate) fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.started_at);
        let steps = elapsed.as_nanos() / self.step.as_nanos();
        if steps == 0 {
            return;
        }
        if steps >= SLOTS as u128 {
            self.counts = [0.0; SLOTS];
            self.started_at = now;
        } else {
            let steps = steps as usize;
            self.counts.rotate_right(steps);
            self.counts[..steps].fill(0.0);
            self.started_at += self.step * steps as u32;
        }
        self.sum();
    }

    /// Counts `count` requests that are taken now.
    pub(crate) fn add(&mut self, count: f64) {
        self.counts[0] += count as f32;
        self.sum();
    }

    /// Counts `count` requests evenly over the window.
    pub(crate) fn spread(&mut self, count: f64) {
        let part = count.max(0.0) / SLOTS as f64;
        self.counts.iter_mut().for_each(|slot| *slot += part as f32);
        self.sum();
    }

    /// Multiplies the counts by `factor`.
    pub(crate) fn scale(&mut self, factor: f64) {
        self.counts
            .iter_mut()
            .for_each(|slot| *slot *= factor as f32);
        self.sum();
    }

    /// Takes `count` requests out, those first that were taken [`RETURN_TIME`] before: what remains must
    /// not be older than the requests that have run.
    pub(crate) fn remove(&mut self, count: u32) {
        let first = RETURN_TIME.as_nanos() / self.step.as_nanos();
        let first = first.min(STEPS as u128) as usize;
        let mut left = count as f32;
        for index in (0..=first).rev().chain(first + 1..SLOTS) {
            let removed = left.min(self.counts[index]);
            self.counts[index] -= removed;
            left -= removed;
        }
        self.sum();
    }

    /// Time from `now` until `count` requests don't count any more.
    pub(crate) fn wait(&self, count: f64, now: Instant) -> Duration {
        let mut sum = 0.0;
        let newest = self.counts.iter().rev().position(|slot| {
            sum += f64::from(*slot);
            sum >= count
        });
        let steps = newest.unwrap_or(STEPS) as u32 + 1;
        (self.started_at + self.step * steps).saturating_duration_since(now)
    }

    fn sum(&mut self) {
        self.total = self.counts.iter().map(|slot| f64::from(*slot)).sum();
    }
}
