//! Token bucket of the requests of one workspace.

use std::time::Duration;

use tokio::time::Instant;

use crate::workspaces::RequestAllowance;

/// Time at the whole rate that a bucket holds at least, in seconds: requests come one by one, and a grant
/// takes a round trip between hosts.
const MIN_CAPACITY_SECONDS: f64 = 0.1;
/// Time at the whole rate by which a bucket may be overdrawn at most, in seconds.
const MAX_DEBT_SECONDS: f64 = 1.0;
/// Longest wait for a request that is told.
const MAX_WAIT: Duration = Duration::from_secs(3_600);

/// Requests of one workspace that may be sent, filled at a share of its rate.
///
/// Guarantees that within any time `t` at most `share * (rate * t + capacity)` requests are taken, or
/// `share * rate * t + 1` where that is more, beside those that are charged.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestBucket {
    allowance: RequestAllowance,
    share: f64,
    level: f64,
    filled_at: Instant,
}

impl RequestBucket {
    /// Creates a bucket with the part `share` of `allowance`, from 0 to 1, that holds `level` requests.
    pub(crate) fn new(allowance: RequestAllowance, share: f64, level: f64, now: Instant) -> Self {
        let mut bucket = Self {
            allowance,
            share,
            level,
            filled_at: now,
        };
        bucket.limit();
        bucket
    }

    /// Requests that the bucket of the whole `allowance` holds.
    pub(crate) fn whole_capacity(allowance: RequestAllowance) -> f64 {
        let least = (allowance.per_second * MIN_CAPACITY_SECONDS).max(1.0);
        allowance.burst.max(least)
    }

    /// The allowance that the bucket has a share of.
    pub(crate) fn allowance(&self) -> RequestAllowance {
        self.allowance
    }

    /// Share of the allowance, from 0 to 1.
    pub(crate) fn share(&self) -> f64 {
        self.share
    }

    /// Requests that the bucket holds at most.
    pub(crate) fn capacity(&self) -> f64 {
        (Self::whole_capacity(self.allowance) * self.share).max(1.0)
    }

    /// Requests a second at which the bucket fills.
    pub(crate) fn rate(&self) -> f64 {
        self.allowance.per_second * self.share
    }

    /// Requests that may be taken; negative after a charge.
    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// Requests that could be taken if the bucket had the whole allowance.
    pub(crate) fn whole_level(&self) -> f64 {
        self.level / self.share
    }

    /// Lowers the level to `level` if it is higher.
    pub(crate) fn lower_to(&mut self, level: f64) {
        self.level = self.level.min(level);
        self.limit();
    }

    /// Adds what has accrued up to `now`.
    pub(crate) fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        self.level += elapsed.as_secs_f64() * self.rate();
        self.limit();
    }

    /// Sets another allowance or share. What is beyond the new capacity is lost, and of the level the part
    /// by which the share falls.
    pub(crate) fn set_terms(&mut self, allowance: RequestAllowance, share: f64) {
        if share < self.share && self.level > 0.0 {
            self.level *= share / self.share;
        }
        self.allowance = allowance;
        self.share = share;
        self.limit();
    }

    /// Takes up to `count` whole requests, and returns how many.
    pub(crate) fn take(&mut self, count: u16) -> u16 {
        let taken = f64::from(count).min(self.level.floor()).max(0.0);
        self.level -= taken;
        taken as u16
    }

    /// Returns `count` requests to the bucket.
    pub(crate) fn put(&mut self, count: u32) {
        self.level += f64::from(count);
        self.limit();
    }

    /// Counts `count` requests that were sent without being taken before.
    pub(crate) fn charge(&mut self, count: u32) {
        let floor = -self.capacity().max(self.rate() * MAX_DEBT_SECONDS);
        self.level = (self.level - f64::from(count)).max(floor.min(self.level));
    }

    /// Time until the next request may be taken, an hour at most.
    pub(crate) fn wait(&self) -> Duration {
        let missing = (1.0 - self.level).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / self.rate());
        wait.map_or(MAX_WAIT, |wait| wait.min(MAX_WAIT))
    }

    fn limit(&mut self) {
        self.level = self.level.min(self.capacity());
    }
}
