//! Caps on one host without I/O: what it may use, lend and grant on.

use tokio::time::Instant;

use crate::caps::account::TokenBucket;
use crate::caps::division::DivisionRecord;
use crate::caps::division::EpochReport;
use crate::caps::division::GRANT_TIME;
use crate::caps::division::LOAN_TTL;
use crate::caps::division::LearnOutcome;
use crate::caps::division::ShareLease;
use crate::caps::message::CapKey;
use crate::caps::message::LoanPart;
use crate::caps::message::LoanSettlement;
use crate::collections::HashMap;
use crate::ids::HostId;
use crate::terms::Allowance;

/// Amounts below this are rounding.
pub(crate) const MIN_TOKENS: f64 = 1e-6;

#[derive(Clone, Debug)]
struct PooledLoan {
    part: LoanPart,
    until: Instant,
}

/// Tokens of one host: accrued, lent, and borrowed to be granted on.
///
/// Tokens accrue only to a host's own part of the division and are only moved after that, so that
/// lost messages lose tokens and nothing creates them.
#[derive(Clone, Debug)]
pub struct CapLedger {
    own: HostId,
    incarnation: u64,
    /// `None` on a host that is the whole fleet.
    right: Option<ShareLease>,
    part: f64,
    /// Lowest part since `part_since`, for accounts that are opened later.
    part_floor: f64,
    part_since: Instant,
    accounts: HashMap<CapKey, TokenBucket>,
    pools: HashMap<CapKey, Vec<PooledLoan>>,
    next_loan: u64,
}

impl CapLedger {
    /// Returns a ledger of a host that is the whole fleet; buckets begin full.
    pub fn whole(own: HostId) -> Self {
        let now = Instant::now();
        Self {
            own,
            incarnation: 0,
            right: None,
            part: 1.0,
            part_floor: 1.0,
            part_since: now,
            accounts: HashMap::default(),
            pools: HashMap::default(),
            next_loan: 0,
        }
    }

    /// Returns a ledger of a host that has to learn its part.
    pub fn divided(own: HostId, incarnation: u64) -> Self {
        let right = ShareLease::new(own.clone(), incarnation);
        Self {
            incarnation,
            right: Some(right),
            part: 0.0,
            part_floor: 0.0,
            ..Self::whole(own)
        }
    }

    /// Part of the division, on a host of a fleet.
    pub fn right(&self) -> Option<&ShareLease> {
        self.right.as_ref()
    }

    /// Takes in a record of the division; see [`ShareLease::confirm_stored`].
    pub fn confirm_stored(&mut self, record: DivisionRecord, started: Instant, now: Instant) {
        self.change_right(now, |right| right.confirm_stored(record, started, now));
    }

    /// Takes in a record that a peer knows.
    pub fn learn(&mut self, record: DivisionRecord, now: Instant) {
        self.change_right(now, |right| right.learn(record, now));
    }

    /// Takes in what peers reported; see [`ShareLease::confirm_reports`].
    pub fn confirm_reports(&mut self, reports: &[EpochReport], started: Instant, now: Instant) {
        self.change_right(now, |right| {
            right.confirm_reports(reports, started, now);
            LearnOutcome::Known
        });
    }

    /// Stops using this host's part for good.
    pub fn give_up(&mut self, now: Instant) {
        self.change_right(now, |right| {
            right.give_up();
            LearnOutcome::Restarted
        });
    }

    /// Part of all caps that this host may use at `now`.
    pub fn usable_share(&self, now: Instant) -> f64 {
        match &self.right {
            None => 1.0,
            Some(right) if right.is_valid(now) => right.entitled(now),
            Some(_) => 0.0,
        }
    }

    /// Tokens of `key` at hand.
    pub fn at_hand(&mut self, key: &CapKey, allowance: Allowance, now: Instant) -> f64 {
        self.account(key, allowance, now).at_hand()
    }

    /// Reserves `tokens` of this host's own, all or none.
    pub fn reserve_all(
        &mut self,
        key: &CapKey,
        allowance: Allowance,
        tokens: f64,
        now: Instant,
    ) -> bool {
        if self.usable_share(now) <= 0.0 {
            return false;
        }
        let account = self.account(key, allowance, now);
        let enough = account.at_hand() + MIN_TOKENS >= tokens;
        if enough {
            account.reserve(tokens);
        }
        enough
    }

    /// Reserves up to `tokens` of this host's own and returns how many.
    pub fn reserve_some(
        &mut self,
        key: &CapKey,
        allowance: Allowance,
        tokens: f64,
        now: Instant,
    ) -> f64 {
        match self.usable_share(now) > 0.0 {
            true => self.account(key, allowance, now).reserve(tokens),
            false => 0.0,
        }
    }

    /// Ends a reservation of own tokens. `unused` is negative for work that used more.
    pub fn release(&mut self, key: &CapKey, reserved: f64, unused: f64, now: Instant) {
        self.refresh(now);
        let part = self.part;
        let until = self.accrues_until(now);
        if let Some(account) = self.accounts.get_mut(key) {
            account.refill(account.allowance(), part, until, now);
            account.release(reserved, unused, part);
        }
    }

    /// Lends up to `tokens` of what this host does not need.
    pub fn lend(
        &mut self,
        key: &CapKey,
        allowance: Allowance,
        tokens: f64,
        now: Instant,
    ) -> Option<LoanPart> {
        if self.usable_share(now) <= 0.0 {
            return None;
        }
        self.next_loan += 1;
        let loan = self.next_loan;
        let lent = self.account(key, allowance, now).lend(loan, tokens, now);
        (lent > 0.0).then(|| LoanPart {
            lender: self.own.clone(),
            incarnation: self.incarnation,
            loan,
            tokens: lent,
        })
    }

    /// Takes in the end of a part of a loan that this host gave.
    pub fn settle(&mut self, settlement: &LoanSettlement, now: Instant) {
        self.refresh(now);
        let part = self.part;
        let until = self.accrues_until(now);
        let loan = &settlement.part;
        if loan.incarnation != self.incarnation || loan.lender != self.own {
            return;
        }
        if let Some(account) = self.accounts.get_mut(&settlement.key) {
            account.refill(account.allowance(), part, until, now);
            account.settle(loan.loan, loan.tokens, settlement.unused, part);
        }
    }

    /// Adds a loan that was asked for at `asked` to what this host can grant on.
    pub fn pool(&mut self, key: &CapKey, part: LoanPart, asked: Instant) {
        let until = asked + LOAN_TTL - GRANT_TIME;
        let pool = self.pools.entry(key.clone()).or_default();
        pool.push(PooledLoan { part, until });
    }

    /// Tokens that can be granted on.
    pub fn pooled(&self, key: &CapKey, now: Instant) -> f64 {
        let pool = self.pools.get(key).into_iter().flatten();
        pool.filter(|loan| loan.until > now)
            .map(|loan| loan.part.tokens)
            .sum()
    }

    /// Takes `tokens` out of the pool, all or none.
    pub fn grant(&mut self, key: &CapKey, tokens: f64, now: Instant) -> Option<Vec<LoanPart>> {
        if self.pooled(key, now) + MIN_TOKENS < tokens {
            return None;
        }
        let mut parts = Vec::new();
        let mut missing = tokens;
        let pool = self.pools.entry(key.clone()).or_default();
        for loan in pool.iter_mut().filter(|loan| loan.until > now) {
            if missing <= 0.0 {
                break;
            }
            let taken = loan.part.tokens.min(missing);
            loan.part.tokens -= taken;
            missing -= taken;
            parts.push(LoanPart {
                tokens: taken,
                ..loan.part.clone()
            });
        }
        pool.retain(|loan| loan.part.tokens > MIN_TOKENS);
        Some(parts)
    }

    /// Takes loans out of the pool that can be granted on no more.
    pub fn expired(&mut self, now: Instant) -> Vec<LoanSettlement> {
        let mut settlements = Vec::new();
        self.pools.retain(|key, pool| {
            pool.retain(|loan| {
                if loan.until > now {
                    return true;
                }
                settlements.push(LoanSettlement {
                    key: key.clone(),
                    part: loan.part.clone(),
                    unused: loan.part.tokens,
                });
                false
            });
            !pool.is_empty()
        });
        settlements
    }

    fn change_right(&mut self, now: Instant, change: impl FnOnce(&mut ShareLease) -> LearnOutcome) {
        self.refresh(now);
        let until = self.accrues_until(now);
        let Some(right) = &mut self.right else {
            return;
        };
        if until < now {
            // What would have accrued without a confirmation may belong to others by now.
            self.part_since = now;
            for account in self.accounts.values_mut() {
                account.refill(account.allowance(), self.part, until, now);
            }
        }
        if change(right) == LearnOutcome::Restarted {
            for account in self.accounts.values_mut() {
                account.clear(now);
            }
            self.part = 0.0;
            self.part_floor = 0.0;
        }
        self.refresh(now);
    }

    /// End of the time in which tokens accrue to this host, as known at `now`.
    fn accrues_until(&self, now: Instant) -> Instant {
        match &self.right {
            None => now,
            Some(right) => right
                .valid_until()
                .map_or(self.part_since, |end| end.min(now)),
        }
    }

    /// Brings the part up to date, after crediting what accrued under the old one.
    fn refresh(&mut self, now: Instant) {
        let Some(right) = &self.right else {
            return;
        };
        let part = right.entitled(now);
        if part == self.part {
            return;
        }
        let until = self.accrues_until(now);
        for account in self.accounts.values_mut() {
            account.refill(account.allowance(), self.part, until, now);
            account.refill(account.allowance(), part, now, now);
        }
        if self.part == 0.0 {
            self.part_floor = part;
            self.part_since = now;
        }
        self.part_floor = self.part_floor.min(part);
        self.part = part;
    }

    fn account(&mut self, key: &CapKey, allowance: Allowance, now: Instant) -> &mut TokenBucket {
        self.refresh(now);
        let (part, floor, since) = (self.part, self.part_floor, self.part_since);
        let until = self.accrues_until(now);
        let divided = self.right.is_some();
        let account = self.accounts.entry(key.clone()).or_insert_with(|| {
            let mut account = TokenBucket::new(allowance, floor, since, until);
            if !divided {
                account.release(0.0, allowance.burst_tokens, 1.0);
            }
            account
        });
        account.refill(allowance, part, until, now);
        account
    }
}
