//! Tokens of one allowance on one host.

use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::terms::Allowance;

/// Time after which a loan that nobody settled counts as used.
const LOAN_LIMIT: Duration = Duration::from_secs(30);
/// A lender keeps what it used itself in this time, in seconds.
const KEPT_SECONDS: f64 = 0.1;

#[derive(Clone, Copy, Debug)]
struct OpenLoan {
    tokens: f64,
    until: Instant,
}

/// Tokens that accrued to this host, and where they are.
///
/// Tokens at hand, lent and reserved together never exceed this host's part of the burst.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    allowance: Allowance,
    at_hand: f64,
    reserved: f64,
    loans: HashMap<u64, OpenLoan>,
    /// Own use in about the last second.
    recent_use: f64,
    filled: Instant,
}

impl TokenBucket {
    /// Returns an account that has accrued at `part` since `since`.
    pub(crate) fn new(allowance: Allowance, part: f64, since: Instant, now: Instant) -> Self {
        let mut account = Self {
            allowance,
            at_hand: 0.0,
            reserved: 0.0,
            loans: HashMap::default(),
            recent_use: 0.0,
            filled: since,
        };
        account.refill(allowance, part, now, now);
        account
    }

    /// Adds what accrued from the last call to `until`; nothing accrues from there to `now`.
    pub(crate) fn refill(&mut self, allowance: Allowance, part: f64, until: Instant, now: Instant) {
        self.allowance = allowance;
        let elapsed = until.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.loans.retain(|_, loan| loan.until > now);
        self.recent_use *= (-elapsed).exp();
        self.at_hand += elapsed * allowance.tokens_per_second * part;
        self.clip(part);
    }

    /// The allowance at the last refill.
    pub(crate) fn allowance(&self) -> Allowance {
        self.allowance
    }

    /// Tokens at hand; negative after work that used more than it had reserved.
    pub(crate) fn at_hand(&self) -> f64 {
        self.at_hand
    }

    /// Drops what is at hand.
    pub(crate) fn clear(&mut self, now: Instant) {
        self.at_hand = self.at_hand.min(0.0);
        self.filled = now;
    }

    /// Reserves up to `tokens` of what is at hand and returns how many.
    pub(crate) fn reserve(&mut self, tokens: f64) -> f64 {
        let taken = tokens.min(self.at_hand).max(0.0);
        self.at_hand -= taken;
        self.reserved += taken;
        self.recent_use += taken;
        taken
    }

    /// Ends a reservation of `reserved` tokens of which `unused` were not needed.
    pub(crate) fn release(&mut self, reserved: f64, unused: f64, part: f64) {
        self.reserved = (self.reserved - reserved).max(0.0);
        self.at_hand += unused;
        self.clip(part);
    }

    /// Lends up to `wanted` tokens under the number `loan` and returns how many.
    pub(crate) fn lend(&mut self, loan: u64, wanted: f64, now: Instant) -> f64 {
        let kept = self.recent_use * KEPT_SECONDS;
        let lent = wanted.min(self.at_hand - kept).max(0.0);
        if lent > 0.0 {
            self.at_hand -= lent;
            let until = now + LOAN_LIMIT;
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

    /// Takes back `unused` of the `settled` tokens of a loan that is still open.
    pub(crate) fn settle(&mut self, loan: u64, settled: f64, unused: f64, part: f64) {
        let Some(open) = self.loans.get_mut(&loan) else {
            return;
        };
        let settled = settled.min(open.tokens);
        open.tokens -= settled;
        if open.tokens <= 0.0 {
            self.loans.remove(&loan);
        }
        self.at_hand += unused.min(settled);
        self.clip(part);
    }

    fn clip(&mut self, part: f64) {
        let lent: f64 = self.loans.values().map(|loan| loan.tokens).sum();
        let room = self.allowance.burst_tokens * part - lent - self.reserved;
        self.at_hand = self.at_hand.min(room.max(0.0));
    }
}
