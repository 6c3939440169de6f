//! Tokens of all allowances on one host: what it may use, lend and grant. Does no I/O.

use tokio::time::Instant;

use crate::caps::bucket::TokenBucket;
use crate::caps::division::DivisionRecord;
use crate::caps::division::EpochReport;
use crate::caps::division::GRANT_TIMEOUT;
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
pub(crate) const TOKEN_ROUNDING: f64 = 1e-6;

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
    own_id: HostId,
    incarnation: u64,
    /// This host's share; `None` on a host without a fleet.
    lease: Option<ShareLease>,
    share: f64,
    /// Lowest share since `share_since`, at which buckets that are opened later have accrued.
    share_floor: f64,
    share_since: Instant,
    buckets: HashMap<CapKey, TokenBucket>,
    pools: HashMap<CapKey, Vec<PooledLoan>>,
    next_loan: u64,
}

impl CapLedger {
    /// Returns the ledger of a host without a fleet; its buckets begin full.
    pub fn single_host(own_id: HostId) -> Self {
        let now = Instant::now();
        Self {
            own_id,
            incarnation: 0,
            lease: None,
            share: 1.0,
            share_floor: 1.0,
            share_since: now,
            buckets: HashMap::default(),
            pools: HashMap::default(),
            next_loan: 0,
        }
    }

    /// Returns the ledger of a host of a fleet, which has no tokens until it learns its share.
    pub fn fleet_host(own_id: HostId, incarnation: u64) -> Self {
        let lease = ShareLease::new(own_id.clone(), incarnation);
        Self {
            incarnation,
            lease: Some(lease),
            share: 0.0,
            share_floor: 0.0,
            ..Self::single_host(own_id)
        }
    }

    /// Returns this host's share of the division; `None` on a host without a fleet.
    pub fn lease(&self) -> Option<&ShareLease> {
        self.lease.as_ref()
    }

    /// Adopts and confirms a stored division; see [`ShareLease::confirm_stored`].
    pub fn confirm_stored(&mut self, record: DivisionRecord, started: Instant, now: Instant) {
        self.update_lease(now, |lease| lease.confirm_stored(record, started, now));
    }

    /// Adopts a division received from a peer; see [`ShareLease::learn`].
    pub fn learn(&mut self, record: DivisionRecord, now: Instant) {
        self.update_lease(now, |lease| lease.learn(record, now));
    }

    /// Applies epoch reports of peers; see [`ShareLease::confirm_reports`].
    pub fn confirm_reports(&mut self, reports: &[EpochReport], started: Instant, now: Instant) {
        self.update_lease(now, |lease| {
            lease.confirm_reports(reports, started, now);
            LearnOutcome::Known
        });
    }

    /// Stops the use of this host's share, and of its tokens, for the rest of the process.
    pub fn give_up(&mut self, now: Instant) {
        self.update_lease(now, |lease| {
            lease.give_up();
            LearnOutcome::Restarted
        });
    }

    /// Returns the share of all caps that this host may use at `now`; 0 without a valid
    /// confirmation.
    pub fn usable_share(&self, now: Instant) -> f64 {
        match &self.lease {
            None => 1.0,
            Some(lease) if lease.is_valid(now) => lease.entitled_share(now),
            Some(_) => 0.0,
        }
    }

    /// Returns the available tokens of `key`; negative after overuse.
    pub fn available(&mut self, key: &CapKey, allowance: Allowance, now: Instant) -> f64 {
        self.bucket(key, allowance, now).available()
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
        let bucket = self.bucket(key, allowance, now);
        let enough = bucket.available() + TOKEN_ROUNDING >= tokens;
        if enough {
            bucket.reserve(tokens);
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
            true => self.bucket(key, allowance, now).reserve(tokens),
            false => 0.0,
        }
    }

    /// Ends a reservation from this host's bucket. `unused` is negative if the request used more
    /// than it had reserved.
    pub fn release(&mut self, key: &CapKey, reserved: f64, unused: f64, now: Instant) {
        self.refresh(now);
        let share = self.share;
        let until = self.accrues_until(now);
        if let Some(bucket) = self.buckets.get_mut(key) {
            bucket.refill(bucket.allowance(), share, until, now);
            bucket.release(reserved, unused, share);
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
        let lent = self.bucket(key, allowance, now).lend(loan, tokens, now);
        (lent > 0.0).then(|| LoanPart {
            lender: self.own_id.clone(),
            incarnation: self.incarnation,
            loan,
            tokens: lent,
        })
    }

    /// Applies the settlement of a part of a loan that this incarnation gave; ignores others.
    pub fn settle(&mut self, settlement: &LoanSettlement, now: Instant) {
        self.refresh(now);
        let share = self.share;
        let until = self.accrues_until(now);
        let loan = &settlement.part;
        if loan.incarnation != self.incarnation || loan.lender != self.own_id {
            return;
        }
        if let Some(bucket) = self.buckets.get_mut(&settlement.key) {
            bucket.refill(bucket.allowance(), share, until, now);
            bucket.settle(loan.loan, loan.tokens, settlement.unused, share);
        }
    }

    /// Adds a loan that was requested at `asked` to the pool. Its tokens can be granted until
    /// [`LOAN_TTL`] less the timeout of a grant after `asked`, so that they arrive before they
    /// expire.
    pub fn pool(&mut self, key: &CapKey, part: LoanPart, asked: Instant) {
        let until = asked + LOAN_TTL - GRANT_TIMEOUT;
        let pool = self.pools.entry(key.clone()).or_default();
        pool.push(PooledLoan { part, until });
    }

    /// Returns the pooled tokens of `key` that can be granted at `now`.
    pub fn pooled_tokens(&self, key: &CapKey, now: Instant) -> f64 {
        let pool = self.pools.get(key).into_iter().flatten();
        pool.filter(|loan| loan.until > now)
            .map(|loan| loan.part.tokens)
            .sum()
    }

    /// Takes `tokens` out of the pool, all or none, as parts of one or more loans.
    pub fn grant(&mut self, key: &CapKey, tokens: f64, now: Instant) -> Option<Vec<LoanPart>> {
        if self.pooled_tokens(key, now) + TOKEN_ROUNDING < tokens {
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
        pool.retain(|loan| loan.part.tokens > TOKEN_ROUNDING);
        Some(parts)
    }

    /// Removes loans from the pool that are too old to be granted, and returns their settlements.
    pub fn take_expired(&mut self, now: Instant) -> Vec<LoanSettlement> {
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

    fn update_lease(&mut self, now: Instant, change: impl FnOnce(&mut ShareLease) -> LearnOutcome) {
        self.refresh(now);
        let until = self.accrues_until(now);
        let Some(lease) = &mut self.lease else {
            return;
        };
        if until < now {
            // Tokens that accrued after the last confirmation expired may belong to other hosts.
            self.share_since = now;
            for bucket in self.buckets.values_mut() {
                bucket.refill(bucket.allowance(), self.share, until, now);
            }
        }
        if change(lease) == LearnOutcome::Restarted {
            for bucket in self.buckets.values_mut() {
                bucket.discard_available(now);
            }
            self.share = 0.0;
            self.share_floor = 0.0;
        }
        self.refresh(now);
    }

    /// Returns the time until which tokens accrue to this host by its confirmations, at most `now`.
    fn accrues_until(&self, now: Instant) -> Instant {
        match &self.lease {
            None => now,
            Some(lease) => lease
                .valid_until()
                .map_or(self.share_since, |end| end.min(now)),
        }
    }

    /// Updates the share, after crediting the tokens that accrued under the old one.
    fn refresh(&mut self, now: Instant) {
        let Some(lease) = &self.lease else {
            return;
        };
        let share = lease.entitled_share(now);
        if share == self.share {
            return;
        }
        let until = self.accrues_until(now);
        for bucket in self.buckets.values_mut() {
            bucket.refill(bucket.allowance(), self.share, until, now);
            bucket.refill(bucket.allowance(), share, now, now);
        }
        if self.share == 0.0 {
            self.share_floor = share;
            self.share_since = now;
        }
        self.share_floor = self.share_floor.min(share);
        self.share = share;
    }

    fn bucket(&mut self, key: &CapKey, allowance: Allowance, now: Instant) -> &mut TokenBucket {
        self.refresh(now);
        let (share, floor, since) = (self.share, self.share_floor, self.share_since);
        let until = self.accrues_until(now);
        let in_fleet = self.lease.is_some();
        let bucket = self.buckets.entry(key.clone()).or_insert_with(|| {
            let mut bucket = TokenBucket::new(allowance, floor, since, until);
            if !in_fleet {
                bucket.release(0.0, allowance.burst_tokens, 1.0);
            }
            bucket
        });
        bucket.refill(allowance, share, until, now);
        bucket
    }
}
