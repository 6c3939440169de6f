//! Meter of the requests of one workspace: a token bucket, or the requests of a window.

use std::time::Duration;

use tokio::time::Instant;

use crate::quotas::window::WindowCounts;
use crate::workspaces::RequestAllowance;

/// Time at the whole rate that a bucket holds at least, in seconds: requests come one by one, and a grant
/// takes a round trip between hosts.
const MIN_CAPACITY_SECONDS: f64 = 0.1;
/// Time at the whole rate by which a bucket may be overdrawn at most, in seconds.
const MAX_DEBT_SECONDS: f64 = 1.0;
/// Requests that a window holds at most: more are not counted one by one.
const MAX_WINDOW_CAPACITY: f64 = 1e6;
/// Longest wait for a request that is told.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// Requests of one workspace that may be sent, by a share of its limit.
///
/// Without a window, guarantees that within any time `t` at most `share * (rate * t + capacity)` requests
/// are taken, or `share * rate * t + 1` where that is more, beside those that are charged. With a window,
/// that within any time as long at most `share * (rate * window + burst)` requests are taken, beside those
/// that are charged and those that take the place of requests returned later than
/// [`WindowCounts::remove`] expects; where that is less than one, one and what accrues.
#[derive(Clone, Debug)]
pub(crate) struct RequestMeter {
    allowance: RequestAllowance,
    share: f64,
    level: f64,
    filled_at: Instant,
    /// Requests of the window; `None` for a bucket.
    counts: Option<Box<WindowCounts>>,
}

impl RequestMeter {
    /// Creates a meter with the part `share` of `allowance`, from 0 to 1, of which `level` requests are
    /// left. What is missing counts as taken evenly over the window.
    pub(crate) fn new(allowance: RequestAllowance, share: f64, level: f64, now: Instant) -> Self {
        let mut meter = Self {
            allowance,
            share,
            level,
            filled_at: now,
            counts: None,
        };
        meter.limit();
        if meter.has_window() {
            let taken = meter.capacity() - meter.level;
            let counts = WindowCounts::new(allowance.window, taken, now);
            meter.counts = Some(Box::new(counts));
            meter.read_counts();
        }
        meter
    }

    /// Whether requests are counted in a window. A share of less than one request in it is a bucket that
    /// holds one.
    fn has_window(&self) -> bool {
        let whole = Self::whole_capacity(self.allowance);
        !self.allowance.window.is_zero() && whole * self.share >= 1.0
    }

    /// Sets the level by the requests of the window.
    fn read_counts(&mut self) {
        if let Some(counts) = &self.counts {
            self.level = self.capacity() - counts.total();
        }
    }

    /// Requests that the whole `allowance` permits at once.
    pub(crate) fn whole_capacity(allowance: RequestAllowance) -> f64 {
        if !allowance.window.is_zero() {
            let refilled = allowance.per_second * allowance.window.as_secs_f64();
            return (refilled + allowance.burst).min(MAX_WINDOW_CAPACITY);
        }
        let least = (allowance.per_second * MIN_CAPACITY_SECONDS).max(1.0);
        allowance.burst.max(least)
    }

    /// The allowance that the meter has a share of.
    pub(crate) fn allowance(&self) -> RequestAllowance {
        self.allowance
    }

    /// Share of the allowance, from 0 to 1.
    pub(crate) fn share(&self) -> f64 {
        self.share
    }

    /// Requests that may be taken at once at most.
    pub(crate) fn capacity(&self) -> f64 {
        (Self::whole_capacity(self.allowance) * self.share).max(1.0)
    }

    /// Requests a second that the share allows.
    pub(crate) fn rate(&self) -> f64 {
        self.allowance.per_second * self.share
    }

    /// Requests that may be taken; negative after a charge.
    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// Requests that could be taken if the meter had the whole allowance.
    pub(crate) fn whole_level(&self) -> f64 {
        self.level / self.share
    }

    /// Lowers the level to `level` if it is higher.
    pub(crate) fn lower_to(&mut self, level: f64) {
        if let Some(counts) = &mut self.counts {
            counts.spread(self.level - level);
        }
        self.level = self.level.min(level);
        self.limit();
        self.read_counts();
    }

    /// Adds what has accrued up to `now`, or forgets what is older than the window.
    pub(crate) fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        match &mut self.counts {
            Some(counts) => counts.advance(now),
            None => self.level += elapsed.as_secs_f64() * self.rate(),
        }
        self.limit();
        self.read_counts();
    }

    /// Sets another allowance or share. What is beyond the new capacity is lost, and of the level the part
    /// by which the share falls. Requests of the window count for the part by which the limit falls; by a
    /// greater share the level does not rise at once.
    pub(crate) fn set_terms(&mut self, allowance: RequestAllowance, share: f64) {
        if allowance == self.allowance && share == self.share {
            return;
        }
        let (known, capacity) = (self.allowance, self.capacity());
        if share < self.share && self.level > 0.0 {
            self.level *= share / self.share;
        }
        let rises = share > self.share;
        self.allowance = allowance;
        self.share = share;
        self.limit();
        if known.window != allowance.window || self.has_window() != self.counts.is_some() {
            *self = Self::new(allowance, share, self.level, self.filled_at);
            return;
        }
        let (level, change) = (self.level, self.capacity() / capacity);
        if let Some(counts) = &mut self.counts {
            counts.scale(change.min(1.0));
        }
        self.read_counts();
        if rises {
            self.lower_to(level);
        }
    }

    /// Takes up to `count` whole requests, and returns how many.
    pub(crate) fn take(&mut self, count: u16) -> u16 {
        let taken = f64::from(count).min(self.level.floor()).max(0.0);
        self.remove(taken);
        taken as u16
    }

    /// Returns `count` requests that were taken and have not run.
    pub(crate) fn put(&mut self, count: u32) {
        match &mut self.counts {
            Some(counts) => counts.remove(count),
            None => self.level += f64::from(count),
        }
        self.limit();
        self.read_counts();
    }

    /// Counts `count` requests that were sent without being taken before.
    pub(crate) fn charge(&mut self, count: u32) {
        let floor = -self.capacity().max(self.rate() * MAX_DEBT_SECONDS);
        self.remove(f64::from(count).min((self.level - floor).max(0.0)));
    }

    fn remove(&mut self, count: f64) {
        if let Some(counts) = &mut self.counts {
            counts.add(count);
        }
        self.level -= count;
        self.read_counts();
    }

    /// Time until the next request may be taken, an hour at most.
    pub(crate) fn wait(&self) -> Duration {
        let missing = (1.0 - self.level).max(0.0);
        let wait = match &self.counts {
            Some(_) if missing == 0.0 => Ok(Duration::ZERO),
            Some(counts) => Ok(counts.wait(missing, self.filled_at)),
            None => Duration::try_from_secs_f64(missing / self.rate()),
        };
        wait.map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
    }

    fn limit(&mut self) {
        self.level = self.level.min(self.capacity());
    }
}
