//! Reserves tokens on this host and borrows missing ones from other hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::caps::division::DivisionHost;
use crate::caps::division::GRANT_TIMEOUT;
use crate::caps::ledger::CapLedger;
use crate::caps::message::CapKey;
use crate::caps::message::CapsReply;
use crate::caps::message::CapsRequest;
use crate::caps::message::LoanPart;
use crate::caps::message::LoanSettlement;
use crate::collections::HashMap;
use crate::counters::CounterSet;
use crate::counters::RefusalReason;
use crate::counters::RetryReason;
use crate::decisions::DecisionKind;
use crate::decisions::DecisionRing;
use crate::edges::kv::KvStore;
use crate::ids::HostId;
use crate::ids::WorkClass;
use crate::membership::Membership;
use crate::peers::PeerClient;
use crate::rate::RateMeter;
use crate::refusal::Refusal;
use crate::terms::ActiveTerms;
use crate::terms::Allowance;
use crate::terms::WorkspaceTerms;

/// Timeout of a broker's request for a loan.
const PULL_TIMEOUT: Duration = Duration::from_millis(250);
/// A broker requests this multiple of the missing tokens, so that its pool serves later requests.
const PULL_MULTIPLE: f64 = 16.0;
/// Most hosts that one round asks for loans.
const LENDERS_PER_ROUND: usize = 16;
/// Time for which a host that did not answer is not asked for loans.
const LENDER_BACKOFF: Duration = Duration::from_secs(1);
/// Time for which a known shortage of an allowance is relied on without another request.
const SHORTAGE_TTL: Duration = Duration::from_millis(50);
/// Time in which the weight of past use falls to 1/e in the reported rates.
const USE_DECAY_TIME: Duration = Duration::from_secs(10);
const STARTING_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time for which a request for tokens is retried while hosts that may have some do not answer.
const UNCONFIRMED_RETRY_LIMIT: Duration = Duration::from_secs(1);
/// Pause between two such retries.
const UNCONFIRMED_RETRY_PAUSE: Duration = Duration::from_millis(50);
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3600);

/// Components that the [`CapKeeper`] of a host in a fleet depends on.
#[derive(Clone)]
pub struct CapDependencies {
    /// Name of this host.
    pub host: HostId,
    /// Membership of the fleet, which names the broker of each workspace.
    pub membership: Arc<Membership>,
    /// Connections to the other hosts.
    pub peers: PeerClient,
    /// Key-value service that stores the division.
    pub kv: Arc<dyn KvStore>,
    /// Terms of the workspaces, with their allowances.
    pub terms: Arc<ActiveTerms>,
    /// Counters of retries.
    pub counters: Arc<CounterSet>,
    /// Ring of recent decisions, for operators.
    pub decisions: Arc<DecisionRing>,
}

/// Tokens reserved for one request by estimate, until [`CapReservation::settle`] reports the real
/// use. Dropping it returns all tokens.
#[derive(Debug)]
#[must_use]
pub struct CapReservation {
    keeper: Arc<CapKeeper>,
    key: CapKey,
    own_tokens: f64,
    borrowed: Vec<LoanPart>,
}

impl CapReservation {
    /// Ends the reservation with the number of tokens that were really used.
    pub fn settle(mut self, used: u64) {
        self.settle_use(used as f64);
    }

    fn settle_use(&mut self, used: f64) {
        let own_tokens = std::mem::take(&mut self.own_tokens);
        let borrowed = std::mem::take(&mut self.borrowed);
        let total = own_tokens + borrowed.iter().map(|part| part.tokens).sum::<f64>();
        if total == 0.0 && used == 0.0 {
            return;
        }
        self.keeper.use_rates.note(&self.key, used);
        let unused = total - used;
        let mut left = (unused - own_tokens).max(0.0);
        self.keeper.lock().release(
            &self.key,
            own_tokens,
            unused.min(own_tokens),
            Instant::now(),
        );
        let settlements = borrowed.into_iter().map(|part| {
            let returned = left.min(part.tokens);
            left -= returned;
            LoanSettlement {
                key: self.key.clone(),
                part,
                unused: returned,
            }
        });
        self.keeper.settle_loans(settlements.collect());
    }
}

impl Drop for CapReservation {
    /// Returns all reserved tokens, as the request did not run.
    fn drop(&mut self) {
        self.settle_use(0.0);
    }
}

/// Reason why tokens could not be borrowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Shortage {
    /// The fleet does not have the tokens; the missing ones accrue in this time.
    Known(Duration),
    /// Hosts that may have the tokens did not answer, or hold unconfirmed shares.
    Unconfirmed,
}

/// Whether a lender answered a request for a loan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LenderAnswer {
    /// It answered with a loan, or that it has nothing to lend.
    Conclusive,
    /// It did not answer, or its share is unconfirmed: it may have tokens.
    Inconclusive,
}

/// Hosts that one round asks for loans.
struct RoundLenders {
    asked: Vec<(HostId, SocketAddr)>,
    /// Whether hosts were left out because they lately did not answer.
    has_avoided: bool,
}

/// State of the rounds in which a broker collects loans for one allowance.
#[derive(Debug, Default)]
struct GatherRound {
    number: usize,
    short_at: Option<Instant>,
}

/// Enforces the caps of all workspaces on this host, and lends to and borrows from other hosts.
pub struct CapKeeper {
    ledger: Mutex<CapLedger>,
    dependencies: Option<CapDependencies>,
    /// Settlements by lender that wait to be sent together.
    settlements: Mutex<HashMap<HostId, Vec<LoanSettlement>>>,
    rounds: Mutex<HashMap<CapKey, Arc<tokio::sync::Mutex<GatherRound>>>>,
    /// When a request for an allowance last found the fleet short, and the tokens that it wanted.
    shortages: Mutex<HashMap<CapKey, (Instant, f64)>>,
    avoided_until: Mutex<HashMap<HostId, Instant>>,
    use_rates: RateMeter<CapKey>,
}

impl std::fmt::Debug for CapKeeper {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CapKeeper").finish_non_exhaustive()
    }
}

impl CapKeeper {
    /// Returns a keeper for a host without a fleet, which has the whole of each cap.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::from_parts(
            CapLedger::single_host(HostId::new("whole")),
            None,
        ))
    }

    /// Returns a keeper that shares the caps with the other hosts of a fleet.
    pub fn with_fleet(dependencies: CapDependencies, incarnation: u64) -> Arc<Self> {
        let ledger = CapLedger::fleet_host(dependencies.host.clone(), incarnation);
        Arc::new(Self::from_parts(ledger, Some(dependencies)))
    }

    fn from_parts(ledger: CapLedger, dependencies: Option<CapDependencies>) -> Self {
        Self {
            ledger: Mutex::new(ledger),
            dependencies,
            settlements: Mutex::default(),
            rounds: Mutex::default(),
            shortages: Mutex::default(),
            avoided_until: Mutex::default(),
            use_rates: RateMeter::new(USE_DECAY_TIME),
        }
    }

    /// Returns the tokens a second that this host's finished requests lately used, by allowance.
    pub(crate) fn rates(&self) -> BTreeMap<CapKey, f64> {
        self.use_rates.rates()
    }

    /// Reserves `tokens` of the workspace's allowance for `class`, borrowing those that this host
    /// does not have.
    ///
    /// Refuses a request that is larger than the burst, or with the time to wait one that the fleet
    /// has no tokens for or cannot confirm that it has.
    pub async fn reserve(
        self: &Arc<Self>,
        terms: &WorkspaceTerms,
        class: WorkClass,
        tokens: u64,
    ) -> Result<CapReservation, Refusal> {
        let allowance = terms.allowance(class);
        let key = CapKey {
            workspace: terms.name.clone(),
            class,
        };
        let wanted = tokens as f64;
        if wanted > allowance.burst_tokens {
            return Err(larger_than_burst_refusal(&key, tokens, allowance));
        }
        let now = Instant::now();
        if self.lock().reserve_all(&key, allowance, wanted, now) {
            return Ok(self.reservation(key, wanted, Vec::new()));
        }
        let Some(dependencies) = &self.dependencies else {
            let missing = wanted - self.lock().available(&key, allowance, now);
            return Err(over_cap_refusal(&key, time_to_accrue(missing, allowance)));
        };
        if let Some(retry_after) = self.known_shortage(&key, allowance, wanted, now) {
            return Err(over_cap_refusal(&key, retry_after));
        }
        let own_tokens = self.lock().reserve_some(&key, allowance, wanted, now);
        let mut reservation = self.reservation(key.clone(), own_tokens, Vec::new());
        match self
            .borrow_with_retries(dependencies, &key, allowance, wanted - own_tokens)
            .await
        {
            Ok(parts) => {
                reservation.borrowed = parts;
                Ok(reservation)
            }
            Err(_) if self.is_starting() => Err(starting_refusal()),
            Err(Shortage::Unconfirmed) => Err(unconfirmed_refusal(&key)),
            Err(Shortage::Known(retry_after)) => {
                drop(reservation);
                let mut shortages = self.shortages.lock().expect("shortages lock");
                shortages.insert(key.clone(), (Instant::now(), wanted));
                Err(over_cap_refusal(&key, retry_after))
            }
        }
    }

    fn reservation(
        self: &Arc<Self>,
        key: CapKey,
        own_tokens: f64,
        borrowed: Vec<LoanPart>,
    ) -> CapReservation {
        CapReservation {
            keeper: self.clone(),
            key,
            own_tokens,
            borrowed,
        }
    }

    /// Whether this host does not know any division yet.
    fn is_starting(&self) -> bool {
        let ledger = self.lock();
        ledger.lease().is_some_and(|lease| lease.record().is_none())
    }

    /// Returns the time to wait if a recent request for at most `wanted` tokens found the fleet
    /// short.
    fn known_shortage(
        &self,
        key: &CapKey,
        allowance: Allowance,
        wanted: f64,
        now: Instant,
    ) -> Option<Duration> {
        let shortages = self.shortages.lock().expect("shortages lock");
        let (since, tokens) = shortages.get(key)?;
        let fresh = now.saturating_duration_since(*since) < SHORTAGE_TTL;
        (fresh && wanted >= *tokens).then(|| time_to_accrue(wanted, allowance))
    }

    /// Borrows `tokens`, and retries while it is unconfirmed whether the fleet has them.
    async fn borrow_with_retries(
        self: &Arc<Self>,
        dependencies: &CapDependencies,
        key: &CapKey,
        allowance: Allowance,
        tokens: f64,
    ) -> Result<Vec<LoanPart>, Shortage> {
        let until = Instant::now() + UNCONFIRMED_RETRY_LIMIT;
        loop {
            let outcome = self.borrow(dependencies, key, allowance, tokens).await;
            let is_unconfirmed = outcome == Err(Shortage::Unconfirmed);
            if !is_unconfirmed || Instant::now() >= until || self.is_starting() {
                return outcome;
            }
            tokio::time::sleep(UNCONFIRMED_RETRY_PAUSE).await;
        }
    }

    /// Borrows `tokens` from the workspace's broker, or from the other hosts directly if the broker
    /// fails.
    async fn borrow(
        self: &Arc<Self>,
        dependencies: &CapDependencies,
        key: &CapKey,
        allowance: Allowance,
        tokens: f64,
    ) -> Result<Vec<LoanPart>, Shortage> {
        let view = dependencies.membership.view();
        let broker = view.owner_of(key.workspace.as_str());
        let Some(broker) = broker.filter(|host| host.id != dependencies.host) else {
            return self.gather(dependencies, key, allowance, tokens).await;
        };
        let asked = Instant::now();
        let request = CapsRequest::Ask {
            key: key.clone(),
            tokens,
        };
        let reply = dependencies
            .peers
            .call(broker.peer_address, request, GRANT_TIMEOUT)
            .await;
        match reply {
            // A grant that was delayed by a pause of this host may have expired.
            Ok(CapsReply::Granted(parts)) if asked.elapsed() <= GRANT_TIMEOUT => Ok(parts),
            Ok(CapsReply::Short { retry_after }) => Err(Shortage::Known(retry_after)),
            Ok(CapsReply::Unconfirmed) => Err(Shortage::Unconfirmed),
            _ => {
                dependencies.counters.retry(RetryReason::PeerFailed);
                self.gather(dependencies, key, allowance, tokens).await
            }
        }
    }

    /// Collects `tokens` as a broker: from the pool, this host and the other hosts, in that order.
    async fn gather(
        self: &Arc<Self>,
        dependencies: &CapDependencies,
        key: &CapKey,
        allowance: Allowance,
        tokens: f64,
    ) -> Result<Vec<LoanPart>, Shortage> {
        let round = self.round(key);
        // The lock is fair: requests are served in the order of their arrival.
        let mut round = round.lock().await;
        if let Some(parts) = self.grant(key, allowance, tokens) {
            return Ok(parts);
        }
        let now = Instant::now();
        let pull_due = round
            .short_at
            .is_none_or(|short| now.saturating_duration_since(short) >= SHORTAGE_TTL);
        if pull_due {
            round.number += 1;
            let mut is_known = !self.is_unconfirmed(now);
            let mut loans = self.request_loans(dependencies, key, tokens, round.number);
            while let Some(answer) = loans.recv().await {
                is_known &= answer == LenderAnswer::Conclusive;
                if let Some(parts) = self.grant(key, allowance, tokens) {
                    round.short_at = None;
                    return Ok(parts);
                }
            }
            if !is_known {
                return Err(Shortage::Unconfirmed);
            }
            round.short_at = Some(Instant::now());
        }
        let missing = tokens - self.lock().pooled_tokens(key, Instant::now());
        let wait = time_to_accrue(missing.max(0.0), allowance);
        Err(Shortage::Known(wait))
    }

    /// Whether this host has a share that it may not use, for want of a recent confirmation.
    fn is_unconfirmed(&self, now: Instant) -> bool {
        let ledger = self.lock();
        let lease = ledger.lease();
        lease.is_some_and(|lease| lease.entitled_share(now) > 0.0 && !lease.is_valid(now))
    }

    fn round(&self, key: &CapKey) -> Arc<tokio::sync::Mutex<GatherRound>> {
        let mut rounds = self.rounds.lock().expect("gather rounds lock");
        rounds.entry(key.clone()).or_default().clone()
    }

    /// Grants `tokens` from the pool, after this host has lent it what is missing.
    fn grant(&self, key: &CapKey, allowance: Allowance, tokens: f64) -> Option<Vec<LoanPart>> {
        let now = Instant::now();
        let mut ledger = self.lock();
        let missing = tokens - ledger.pooled_tokens(key, now);
        if missing > 0.0
            && let Some(part) = ledger.lend(key, allowance, missing, now)
        {
            ledger.pool(key, part, now);
        }
        ledger.grant(key, tokens, now)
    }

    /// Asks other hosts for loans; the channel receives the outcome of each call and closes after
    /// the last.
    fn request_loans(
        self: &Arc<Self>,
        dependencies: &CapDependencies,
        key: &CapKey,
        tokens: f64,
        round: usize,
    ) -> mpsc::Receiver<LenderAnswer> {
        let (answered, answers) = mpsc::channel(LENDERS_PER_ROUND);
        let lenders = self.select_lenders(dependencies, round);
        if lenders.has_avoided {
            let _ = answered.try_send(LenderAnswer::Inconclusive);
        }
        for (lender, address) in lenders.asked {
            let keeper = self.clone();
            let dependencies = dependencies.clone();
            let key = key.clone();
            let answered = answered.clone();
            tokio::spawn(async move {
                let answer = keeper
                    .request_loan(&dependencies, key, tokens, lender, address)
                    .await;
                let _ = answered.send(answer).await;
            });
        }
        answers
    }

    async fn request_loan(
        &self,
        dependencies: &CapDependencies,
        key: CapKey,
        tokens: f64,
        lender: HostId,
        address: SocketAddr,
    ) -> LenderAnswer {
        let asked = Instant::now();
        let request = CapsRequest::Pull {
            key: key.clone(),
            tokens: tokens * PULL_MULTIPLE,
        };
        match dependencies
            .peers
            .call(address, request, PULL_TIMEOUT)
            .await
        {
            Ok(CapsReply::Lent(Some(part))) => {
                self.lock().pool(&key, part, asked);
                LenderAnswer::Conclusive
            }
            Ok(CapsReply::Unconfirmed) => LenderAnswer::Inconclusive,
            Ok(_) => LenderAnswer::Conclusive,
            Err(_) => {
                dependencies.counters.retry(RetryReason::PeerFailed);
                let mut avoided_until = self.avoided_until.lock().expect("avoided hosts lock");
                avoided_until.insert(lender, Instant::now() + LENDER_BACKOFF);
                LenderAnswer::Inconclusive
            }
        }
    }

    /// Returns the hosts to ask in this round; successive rounds go through all hosts in turn.
    fn select_lenders(&self, dependencies: &CapDependencies, round: usize) -> RoundLenders {
        let now = Instant::now();
        let avoided_until = self.avoided_until.lock().expect("avoided hosts lock");
        let division_hosts = self.division_hosts();
        let others = division_hosts
            .iter()
            .filter(|host| host.id != dependencies.host);
        let (others, left_out): (Vec<_>, Vec<_>) = others.partition(|host| {
            avoided_until
                .get(&host.id)
                .is_none_or(|until| *until <= now)
        });
        let first = round * LENDERS_PER_ROUND % others.len().max(1);
        let turn = others.iter().cycle().skip(first).take(others.len());
        let asked = turn.take(LENDERS_PER_ROUND);
        RoundLenders {
            asked: asked
                .map(|host| (host.id.clone(), host.peer_address))
                .collect(),
            has_avoided: !left_out.is_empty(),
        }
    }

    /// Returns the hosts of the known division; only they have tokens to lend.
    fn division_hosts(&self) -> Vec<DivisionHost> {
        let ledger = self.lock();
        let record = ledger.lease().and_then(|lease| lease.record());
        record.map_or_else(Vec::new, |record| record.hosts.clone())
    }

    /// Serves a request of another host.
    pub(crate) async fn answer(self: &Arc<Self>, request: CapsRequest) -> CapsReply {
        let now = Instant::now();
        match request {
            CapsRequest::Ask { key, tokens } => self.serve_ask(key, tokens).await,
            CapsRequest::Pull { .. } if self.is_unconfirmed(now) => CapsReply::Unconfirmed,
            CapsRequest::Pull { key, tokens } => {
                let allowance = self.allowance(&key);
                CapsReply::Lent(
                    allowance.and_then(|allowance| self.lock().lend(&key, allowance, tokens, now)),
                )
            }
            CapsRequest::Settle(settlements) => {
                let mut ledger = self.lock();
                for settlement in &settlements {
                    ledger.settle(settlement, now);
                }
                CapsReply::Settled
            }
            CapsRequest::Epoch { known } => self.serve_epoch(known),
        }
    }

    async fn serve_ask(self: &Arc<Self>, key: CapKey, tokens: f64) -> CapsReply {
        let allowance = self.allowance(&key);
        let (Some(dependencies), Some(allowance)) = (&self.dependencies, allowance) else {
            return CapsReply::Short {
                retry_after: MAX_RETRY_AFTER,
            };
        };
        match self.gather(dependencies, &key, allowance, tokens).await {
            Ok(parts) => {
                let detail = format!("granted {tokens:.0} tokens from {} loans", parts.len());
                dependencies
                    .decisions
                    .record(DecisionKind::Cap, &[key.workspace.as_str()], detail);
                CapsReply::Granted(parts)
            }
            Err(Shortage::Known(retry_after)) => CapsReply::Short { retry_after },
            Err(Shortage::Unconfirmed) => CapsReply::Unconfirmed,
        }
    }

    fn serve_epoch(&self, known: u64) -> CapsReply {
        let ledger = self.lock();
        let Some(lease) = ledger.lease() else {
            return CapsReply::Lent(None);
        };
        let report = lease.report();
        let record = lease.record();
        CapsReply::Epoch {
            report,
            newer: record.filter(|record| record.epoch > known).cloned(),
        }
    }

    fn allowance(&self, key: &CapKey) -> Option<Allowance> {
        let view = self.dependencies.as_ref()?.terms.view();
        let terms = view.workspace(&key.workspace)?;
        Some(terms.allowance(key.class))
    }

    /// Settles loans: those of this host at once, others with the next [`Self::send_settlements`].
    pub(crate) fn settle_loans(&self, settlements: Vec<LoanSettlement>) {
        let own_host = self
            .dependencies
            .as_ref()
            .map(|dependencies| &dependencies.host);
        let now = Instant::now();
        let mut ledger = self.lock();
        let mut queued = self.settlements.lock().expect("settlements lock");
        for settlement in settlements {
            match own_host == Some(&settlement.part.lender) {
                true => ledger.settle(&settlement, now),
                false => queued
                    .entry(settlement.part.lender.clone())
                    .or_default()
                    .push(settlement),
            }
        }
    }

    /// Sends queued settlements, and those of expired loans, to the lenders, each at most once: a
    /// second copy would return the same tokens twice.
    pub(crate) async fn send_settlements(&self) {
        let Some(dependencies) = &self.dependencies else {
            return;
        };
        let expired = self.lock().take_expired(Instant::now());
        self.settle_loans(expired);
        let queued = std::mem::take(&mut *self.settlements.lock().expect("settlements lock"));
        let division_hosts = self.division_hosts();
        let calls = queued.into_iter().filter_map(|(lender, settlements)| {
            let host = division_hosts.iter().find(|host| host.id == lender)?;
            let request = CapsRequest::Settle(settlements);
            Some(
                dependencies
                    .peers
                    .call(host.peer_address, request, GRANT_TIMEOUT),
            )
        });
        let outcomes = futures_util::future::join_all(calls).await;
        for _ in outcomes.iter().filter(|outcome| outcome.is_err()) {
            dependencies.counters.retry(RetryReason::PeerFailed);
        }
    }

    pub(crate) fn dependencies(&self) -> Option<&CapDependencies> {
        self.dependencies.as_ref()
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, CapLedger> {
        self.ledger.lock().expect("cap ledger lock")
    }
}

fn time_to_accrue(tokens: f64, allowance: Allowance) -> Duration {
    match allowance.tokens_per_second > 0.0 {
        true => {
            let seconds = tokens / allowance.tokens_per_second;
            Duration::from_secs_f64(seconds.min(MAX_RETRY_AFTER.as_secs_f64()))
        }
        false => MAX_RETRY_AFTER,
    }
}

fn larger_than_burst_refusal(key: &CapKey, tokens: u64, allowance: Allowance) -> Refusal {
    let message = format!(
        "the request may need {tokens} tokens, more than the burst of {} tokens that workspace {:?} \
         may use at once",
        allowance.burst_tokens, key.workspace
    );
    Refusal::new(RefusalReason::OverCap, message)
}

fn starting_refusal() -> Refusal {
    let message = "this host has not learned its share of the caps yet";
    Refusal::new(RefusalReason::Starting, message).with_retry_after(STARTING_RETRY_AFTER)
}

fn unconfirmed_refusal(key: &CapKey) -> Refusal {
    let message = format!(
        "what is left of the {} allowance of workspace {:?} could not be learned",
        key.class, key.workspace
    );
    Refusal::new(RefusalReason::CapUnconfirmed, message).with_retry_after(UNCONFIRMED_RETRY_AFTER)
}

fn over_cap_refusal(key: &CapKey, retry_after: Duration) -> Refusal {
    let message = format!(
        "workspace {:?} has used its {} allowance",
        key.workspace, key.class
    );
    Refusal::new(RefusalReason::OverCap, message).with_retry_after(retry_after)
}
