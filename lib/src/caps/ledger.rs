//! Tokens of all allowances on one host: what it may use, lend and grant. Does no I/O.

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

/// Token amounts below this are rounding errors.
pub(crate) const MIN_TOKENS: f64 = 1e-6;

#[derive(Clone, Debug)]
struct PooledLoan {
    part: LoanPart,
    until: Instant,
}

/// Token buckets of one host, and a pool of borrowed tokens that it grants as a broker.
///
/// Tokens accrue only to a host's own share of the division and are only moved after that. Lost
/// messages can thus lose tokens, but no fault can create any.
#[derive(Clone, Debug)]
pub struct CapLedger {
    own: HostId,
    incarnation: u64,
    /// This host's share; `None` on a host without a fleet.
    right: Option<ShareLease>,
    part: f64,
    /// Lowest share since `part_since`, at which buckets that are opened later have accrued.
    part_floor: f64,
    part_since: Instant,
    accounts: HashMap<CapKey, TokenBucket>,
    pools: HashMap<CapKey, Vec<PooledLoan>>,
    next_loan: u64,
}

impl CapLedger {
    /// Returns the ledger of a host without a fleet; its buckets begin full.
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

    /// Returns the ledger of a host of a fleet, which has no tokens until it learns its share.
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

    /// Returns this host's share of the division; `None` on a host without a fleet.
    pub fn right(&self) -> Option<&ShareLease> {
        self.right.as_ref()
    }

    /// Adopts and confirms a stored division; see [`ShareLease::confirm_stored`].
    pub fn confirm_stored(&mut self, record: DivisionRecord, started: Instant, now: Instant) {
        self.change_right(now, |right| right.confirm_stored(record, started, now));
    }

    /// Adopts a division received from a peer; see [`ShareLease::learn`].
    pub fn learn(&mut self, record: DivisionRecord, now: Instant) {
        self.change_right(now, |right| right.learn(record, now));
    }

    /// Applies epoch reports of peers; see [`ShareLease::confirm_reports`].
    pub fn confirm_reports(&mut self, reports: &[EpochReport], started: Instant, now: Instant) {
        self.change_right(now, |right| {
            right.confirm_reports(reports, started, now);
            LearnOutcome::Known
        });
    }

    /// Stops the use of this host's share, and of its tokens, for the rest of the process.
    pub fn give_up(&mut self, now: Instant) {
        self.change_right(now, |right| {
            right.give_up();
            LearnOutcome::Restarted
        });
    }

    /// Returns the share of all caps that this host may use at `now`; 0 without a valid
    /// confirmation.
    pub fn usable_share(&self, now: Instant) -> f64 {
        match &self.right {
            None => 1.0,
            Some(right) if right.is_valid(now) => right.entitled(now),
            Some(_) => 0.0,
        }
    }

    /// Returns the available tokens of `key`; negative after overuse.
    pub fn at_hand(&mut self, key: &CapKey, allowance: Allowance, now: Instant) -> f64 {
        self.account(key, allowance, now).at_hand()
    }

    /// Reserves `tokens` from this host's bucket, all or none; returns whether it did.
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

    /// Reserves up to `tokens` from this host's bucket and returns how many.
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

    /// Ends a reservation from this host's bucket. `unused` is negative if the request used more
    /// than it had reserved.
    pub fn release(&mut self, key: &CapKey, reserved: f64, unused: f64, now: Instant) {
        self.refresh(now);
        let part = self.part;
        let until = self.accrues_until(now);
        if let Some(account) = self.accounts.get_mut(key) {
            account.refill(account.allowance(), part, until, now);
            account.release(reserved, unused, part);
        }
    }

    /// Lends up to `tokens` of those that this host does not need; `None` if it has none to lend.
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

    /// Applies the settlement of a part of a loan that this incarnation gave; ignores others.
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

    /// Adds a loan that was requested at `asked` to the pool. Its tokens can be granted until
    /// [`LOAN_TTL`] less the timeout of a grant after `asked`, so that they arrive before they
    /// expire.
    pub fn pool(&mut self, key: &CapKey, part: LoanPart, asked: Instant) {
        let until = asked + LOAN_TTL - GRANT_TIME;
        let pool = self.pools.entry(key.clone()).or_default();
        pool.push(PooledLoan { part, until });
    }

    /// Returns the pooled tokens of `key` that can be granted at `now`.
    pub fn pooled(&self, key: &CapKey, now: Instant) -> f64 {
        let pool = self.pools.get(key).into_iter().flatten();
        pool.filter(|loan| loan.until > now)
            .map(|loan| loan.part.tokens)
            .sum()
    }

    /// Takes `tokens` out of the pool, all or none, as parts of one or more loans.
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

    /// Removes loans from the pool that are too old to be granted, and returns their settlements.
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
            // Tokens that accrued after the last confirmation expired may belong to other hosts.
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

    /// Returns the time until which tokens accrue to this host by its confirmations, at most `now`.
    fn accrues_until(&self, now: Instant) -> Instant {
        match &self.right {
            None => now,
            Some(right) => right
                .valid_until()
                .map_or(self.part_since, |end| end.min(now)),
        }
    }

    /// Updates the share, after crediting the tokens that accrued under the old one.
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
