//! Token bucket of one allowance on one host, with open reservations and loans.

use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::terms::Allowance;

/// Time after which the tokens of an unsettled loan count as used, as its settlement may be lost.
const LOAN_WRITE_OFF_TIME: Duration = Duration::from_secs(30);
/// A lender keeps back as many tokens as it lately used itself in this time.
const LENDER_RESERVE_SECONDS: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct OpenLoan {
    tokens: f64,
    until: Instant,
}

/// Token bucket of one allowance, filled at this host's share of the rate.
///
/// The sum of available, lent and reserved tokens never exceeds this host's share of the burst.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    allowance: Allowance,
    available: f64,
    reserved: f64,
    loans: HashMap<u64, OpenLoan>,
    /// Tokens reserved here in about the last second, as an exponentially decaying sum.
    recent_use: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// Returns a bucket that has accrued tokens at `share` of the rate from `since` to `now`.
    pub(crate) fn new(allowance: Allowance, share: f64, since: Instant, now: Instant) -> Self {
        let mut account = Self {
            allowance,
            available: 0.0,
            reserved: 0.0,
            loans: HashMap::default(),
            recent_use: 0.0,
            filled_at: since,
        };
        account.refill(allowance, share, now, now);
        account
    }

    /// Adds the tokens that accrued from the last refill to `until`; none accrue from `until` to
    /// `now`.
    pub(crate) fn refill(
        &mut self,
        allowance: Allowance,
        share: f64,
        until: Instant,
        now: Instant,
    ) {
        self.allowance = allowance;
        let elapsed = until
            .saturating_duration_since(self.filled_at)
            .as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.loans.retain(|_, loan| loan.until > now);
        self.recent_use *= (-elapsed).exp();
        self.available += elapsed * allowance.tokens_per_second * share;
        self.limit_to_burst(share);
    }

    /// Returns the allowance that the last refill was given.
    pub(crate) fn allowance(&self) -> Allowance {
        self.allowance
    }

    /// Returns the available tokens; negative after a request used more than it had reserved.
    pub(crate) fn available(&self) -> f64 {
        self.available
    }

    /// Discards the available tokens; a negative balance stays.
    pub(crate) fn discard_available(&mut self, now: Instant) {
        self.available = self.available.min(0.0);
        self.filled_at = now;
    }

    /// Reserves up to `tokens` of the available tokens and returns how many.
    pub(crate) fn reserve(&mut self, tokens: f64) -> f64 {
        let taken = tokens.min(self.available).max(0.0);
        self.available -= taken;
        self.reserved += taken;
        self.recent_use += taken;
        taken
    }

    /// Ends a reservation of `reserved` tokens and returns `unused` of them to the bucket; `unused`
    /// is negative if the request used more than it had reserved.
    pub(crate) fn release(&mut self, reserved: f64, unused: f64, share: f64) {
        self.reserved = (self.reserved - reserved).max(0.0);
        self.available += unused;
        self.limit_to_burst(share);
    }

    /// Lends up to `wanted` tokens as loan number `loan` and returns how many.
    pub(crate) fn lend(&mut self, loan: u64, wanted: f64, now: Instant) -> f64 {
        let kept = self.recent_use * LENDER_RESERVE_SECONDS;
        let lent = wanted.min(self.available - kept).max(0.0);
        if lent > 0.0 {
            self.available -= lent;
            let until = now + LOAN_WRITE_OFF_TIME;
            self.loans.insert(
                loan,
                OpenLoan {
                    tokens: lent,
                    until,
                },
            );
        }
        lent
    }

    /// Settles `settled` tokens of an open loan and returns `unused` of them to the bucket; has no
    /// effect on a loan that is settled or past its time.
    pub(crate) fn settle(&mut self, loan: u64, settled: f64, unused: f64, share: f64) {
        let Some(open) = self.loans.get_mut(&loan) else {
            return;
        };
        let settled = settled.min(open.tokens);
        open.tokens -= settled;
        if open.tokens <= 0.0 {
            self.loans.remove(&loan);
        }
        self.available += unused.min(settled);
        self.limit_to_burst(share);
    }

    fn limit_to_burst(&mut self, share: f64) {
        let lent: f64 = self.loans.values().map(|loan| loan.tokens).sum();
        let room = self.allowance.burst_tokens * share - lent - self.reserved;
        self.available = self.available.min(room.max(0.0));
    }
}
