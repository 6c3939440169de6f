//! Submission of jobs: stores a new job, through another host if this one does not reach the
//! key-value service.
//!
//! Answers partitions and partial outages in which the key-value service answers some hosts and not
//! others. A caller of a host that is cut off would otherwise wait until the call times out, which
//! takes longer than the latency objective of a submission.

use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;

use crate::clock::steady_unix_millis;
use crate::edges::kv::KvError;
use crate::edges::kv::LeaseId;
use crate::jobs::acceptance::AcceptanceOutcome;
use crate::jobs::acceptance::JobAcceptance;
use crate::jobs::attempts::AttemptTicket;
use crate::jobs::changeover::PreviousOwner;
use crate::jobs::changeover::Takeover;
use crate::jobs::keeper::JobKeeper;
use crate::jobs::keeper::STORE_RETRY_DELAY;
use crate::jobs::message::JobCall;
use crate::jobs::message::JobReply;
use crate::jobs::spec::JobAge;
use crate::jobs::spec::JobSpec;
use crate::peers::PeerError;
use crate::registry::HostEntry;

/// Time without an answer of the key-value service after which other hosts are asked to store the
/// job.
const FORWARD_DELAY: Duration = Duration::from_millis(120);
/// Maximum number of other hosts that are asked to store a job.
const MAX_FORWARD_HOSTS: usize = 2;
/// Timeout of the call that asks another host to store a job.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum rounds of attempts to store a job; one while the key-value service is known to be away.
const MAX_ROUNDS: usize = 3;
/// Delay after which a caller may submit a job again that could not be stored.
const RETRY_AFTER: Duration = Duration::from_millis(700);

/// Result of submitting a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored and will be run.
    Accepted,
    /// The job is not stored, and no item of it runs.
    Refused {
        /// Cause, as logged: `memory`, `too_large`, `key_value_service` or `displaced`.
        reason: &'static str,
        /// Delay after which the caller may submit the job again.
        retry_after: Duration,
    },
    /// Another workspace has a job with this identifier, which stays as it is.
    HeldByOther,
    /// The writes had no definite answer: the job may be stored and run, or not.
    Unknown,
}

/// Result of attempts to store a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreOutcome {
    Stored,
    /// A job with this identifier is stored for another workspace.
    HeldByOther,
    /// The job exceeds what the key-value service can hold.
    TooLarge,
    /// No attempt has had an effect, nor will it have one.
    NotStored,
    Unknown,
}

impl StoreOutcome {
    /// Whether further attempts would have the same outcome.
    fn is_final(self) -> bool {
        match self {
            Self::Stored | Self::HeldByOther | Self::TooLarge => true,
            Self::NotStored | Self::Unknown => false,
        }
    }

    /// Whether the job is stored, so that attempts under way change nothing any more.
    fn is_stored(self) -> bool {
        match self {
            Self::Stored | Self::HeldByOther => true,
            Self::TooLarge | Self::NotStored | Self::Unknown => false,
        }
    }

    /// Ends an attempt that had this outcome.
    fn settle(self, ticket: AttemptTicket) -> Self {
        match self {
            Self::Unknown => drop(ticket),
            Self::Stored | Self::HeldByOther | Self::TooLarge | Self::NotStored => ticket.settle(),
        }
        self
    }

    /// The outcome of two attempts together.
    fn or(self, other: Self) -> Self {
        match (self, other) {
            (Self::HeldByOther, _) | (_, Self::HeldByOther) => Self::HeldByOther,
            (Self::Stored, _) | (_, Self::Stored) => Self::Stored,
            (Self::Unknown, _) | (_, Self::Unknown) => Self::Unknown,
            (Self::TooLarge, _) | (_, Self::TooLarge) => Self::TooLarge,
            (Self::NotStored, Self::NotStored) => Self::NotStored,
        }
    }
}

impl JobKeeper {
    /// Stores `spec` as a new job, which this host or the one that stored it owns. Submission is
    /// idempotent: a job that is stored already is accepted again and does not run twice.
    ///
    /// If the key-value service does not answer this host soon, other hosts are asked to store the
    /// job too. While it is known not to answer, the job is refused at once unless another host
    /// stores it. A job is refused only if no attempt of this host to store it may take effect later, by this
    /// call or an earlier one.
    pub async fn submit(&self, spec: JobSpec) -> SubmitOutcome {
        if self.shared.registry.is_displaced() {
            return self.refuse(&spec, "displaced", Duration::ZERO);
        }
        let size: usize = spec.items.iter().map(|item| item.body.len()).sum();
        let stored = self.with_table(|table| table.body_bytes());
        if stored + size > self.shared.config.memory_bytes {
            return self.refuse(&spec, "memory", Duration::from_secs(1));
        }
        let spec = Arc::new(spec);
        let mut outcome = StoreOutcome::NotStored;
        for round in 0..MAX_ROUNDS {
            if round > 0 {
                tokio::time::sleep(STORE_RETRY_DELAY).await;
            }
            outcome = outcome.or(self.store_anywhere(&spec).await);
            if outcome.is_final() || self.shared.registry.has_outage() {
                break;
            }
        }
        match outcome {
            StoreOutcome::Stored => SubmitOutcome::Accepted,
            StoreOutcome::HeldByOther => {
                self.log_job(&spec.id, "held_by_other", spec.items.len(), 0);
                SubmitOutcome::HeldByOther
            }
            StoreOutcome::TooLarge => self.refuse(&spec, "too_large", Duration::from_secs(10)),
            StoreOutcome::NotStored => self.refuse(&spec, "key_value_service", RETRY_AFTER),
            StoreOutcome::Unknown => self.leave_open(&spec),
        }
    }

    /// Answers another host that asks this one to store a job, which this host then accepts by its own
    /// clock.
    pub(super) async fn answer_submission(&self, spec: JobSpec) -> JobReply {
        let id = spec.id.clone();
        let is_idle = self.shared.is_leaving.is_cancelled() || self.shared.registry.has_outage();
        let outcome = match is_idle {
            true => StoreOutcome::NotStored,
            false => {
                let spec = spec.timed_at(steady_unix_millis(), JobAge::NEW);
                self.store_once(&Arc::new(spec)).await
            }
        };
        match outcome {
            StoreOutcome::Stored => JobReply::Stored,
            StoreOutcome::HeldByOther => JobReply::HeldByOther,
            // An earlier attempt may take effect although this one does not.
            StoreOutcome::TooLarge | StoreOutcome::NotStored if self.may_be_stored(&id) => {
                JobReply::Unsure
            }
            StoreOutcome::TooLarge | StoreOutcome::NotStored => JobReply::NotStored,
            StoreOutcome::Unknown => JobReply::Unsure,
        }
    }

    /// Stores a job from this host, or from other ones if this one gets no answer in time. Attempts that are
    /// under way are awaited unless one stores the job, as each of them may take effect.
    async fn store_anywhere(&self, spec: &Arc<JobSpec>) -> StoreOutcome {
        let mut attempts: FuturesUnordered<BoxFuture<'_, StoreOutcome>> = FuturesUnordered::new();
        let mut outcome = StoreOutcome::NotStored;
        if !self.shared.registry.has_outage() {
            // Runs to its end also if another host answers first, as this host may become the owner.
            let own = tokio::spawn({
                let (keeper, spec) = (self.clone(), spec.clone());
                async move { keeper.store_once(&spec).await }
            });
            attempts.push(own.map(joined).boxed());
            let in_time = tokio::time::timeout(FORWARD_DELAY, attempts.next()).await;
            if let Ok(Some(own)) = in_time {
                outcome = own;
            }
            if outcome.is_final() {
                return outcome;
            }
        }
        let hosts = self.successors(&spec.id);
        for host in hosts.iter().take(MAX_FORWARD_HOSTS) {
            attempts.push(self.forward_to(host.clone(), spec.clone()).boxed());
        }
        while let Some(ended) = attempts.next().await {
            outcome = outcome.or(ended);
            if outcome.is_stored() {
                break;
            }
        }
        outcome
    }

    /// Asks another host that would claim the job to store it.
    async fn forward_to(&self, host: HostEntry, spec: Arc<JobSpec>) -> StoreOutcome {
        let ticket = self.shared.attempts.begin(&spec.id);
        let call = JobCall::Submit {
            spec: (*spec).clone(),
        };
        let reply = self.shared.peers.call(&host, call, FORWARD_TIMEOUT).await;
        let outcome = match reply {
            Ok(JobReply::Stored) => {
                self.cache_owner(&spec.id, &host.host);
                StoreOutcome::Stored
            }
            Ok(JobReply::HeldByOther) => StoreOutcome::HeldByOther,
            Ok(JobReply::NotStored) => StoreOutcome::NotStored,
            Err(PeerError::Refused(_) | PeerError::NotSent(_)) => StoreOutcome::NotStored,
            // Without a reply, the host may have stored the job.
            Ok(_) | Err(PeerError::NoReply(_)) => StoreOutcome::Unknown,
        };
        outcome.settle(ticket)
    }

    /// Makes one attempt to store a job that this host then owns. A displaced process makes none.
    async fn store_once(&self, spec: &Arc<JobSpec>) -> StoreOutcome {
        if self.shared.registry.is_displaced() {
            return StoreOutcome::NotStored;
        }
        let ticket = self.shared.attempts.begin(&spec.id);
        self.create(spec).await.settle(ticket)
    }

    /// Stores a job that this host then owns.
    async fn create(&self, spec: &Arc<JobSpec>) -> StoreOutcome {
        let lease = self.lease_for_new_job();
        let created = self.shared.store.create(spec, &self.shared.identity, lease);
        match created.await {
            Ok(claim) => {
                self.shared
                    .acceptances
                    .insert(&spec.id, JobAcceptance::from(&**spec));
                self.log_job(&spec.id, "accepted", spec.items.len(), 0);
                self.log_claimed(
                    &spec.id,
                    &claim,
                    &Takeover::submitted(),
                    &PreviousOwner::Absent,
                );
                self.see_owner(&spec.id, &self.shared.identity, claim.version());
                let (version, now) = (claim.version(), Instant::now());
                // By a late answer, another host may have the job, or this one may have closed it.
                let is_inserted = self.with_table(|table| {
                    let is_current = !self.is_claimed_after(&spec.id, &claim);
                    if is_current {
                        table.insert(spec.clone(), claim, Vec::new(), now);
                    }
                    is_current
                });
                if is_inserted {
                    self.shared.announcer.add(&spec.id, version);
                    self.shared.work_available.notify_one();
                }
                StoreOutcome::Stored
            }
            Err(KvError::Conflict { .. }) => self.accept_again(spec).await,
            Err(KvError::LeaseLost) => {
                if let Some(lease) = lease {
                    self.shared.registry.note_lease_lost(lease);
                }
                StoreOutcome::NotStored
            }
            Err(KvError::TooLarge) => StoreOutcome::TooLarge,
            Err(KvError::Unavailable(_)) => StoreOutcome::NotStored,
            Err(KvError::Unknown(_)) => {
                // The job may be stored with this host as its owner.
                let (keeper, id) = (self.clone(), spec.id.clone());
                tokio::spawn(async move { keeper.load_owned(&id).await });
                StoreOutcome::Unknown
            }
        }
    }

    /// Outcome of submitting a job whose identifier is that of a stored one.
    async fn accept_again(&self, spec: &JobSpec) -> StoreOutcome {
        let routes = self.shared.routes.borrow().clone();
        let caller = routes.identity_of(spec.workspace.as_ref());
        match self.accepted_for(&spec.id, &caller).await {
            AcceptanceOutcome::Accepted => {
                self.log_job(&spec.id, "accepted_before", spec.items.len(), 0);
                StoreOutcome::Stored
            }
            AcceptanceOutcome::NotAccepted => StoreOutcome::HeldByOther,
            AcceptanceOutcome::Unknown => StoreOutcome::Unknown,
        }
    }

    /// Lease to bind the owner key of a new job to. A leaving host uses none and so stores the job
    /// without an owner, for another host to claim.
    fn lease_for_new_job(&self) -> Option<LeaseId> {
        match self.shared.is_leaving.is_cancelled() {
            true => None,
            false => self.shared.registry.lease(),
        }
    }

    /// Whether a job that this attempt has not stored may be stored all the same, by another attempt.
    fn may_be_stored(&self, id: &str) -> bool {
        self.shared.attempts.has_open(id) || self.has_heard_of(id)
    }

    /// Leaves open whether a job is stored.
    fn leave_open(&self, spec: &JobSpec) -> SubmitOutcome {
        self.log_job(&spec.id, "outcome_unknown", spec.items.len(), 0);
        SubmitOutcome::Unknown
    }

    /// Refuses a job, of which nothing runs then, unless an earlier attempt may have stored it.
    fn refuse(&self, spec: &JobSpec, reason: &'static str, retry_after: Duration) -> SubmitOutcome {
        if self.may_be_stored(&spec.id) {
            return self.leave_open(spec);
        }
        let outcome = format!("refused: {reason}");
        self.log_job(&spec.id, &outcome, spec.items.len(), 0);
        SubmitOutcome::Refused {
            reason,
            retry_after,
        }
    }
}

/// Outcome of an attempt that ran as a task of its own; unknown if the task was aborted.
fn joined(outcome: Result<StoreOutcome, tokio::task::JoinError>) -> StoreOutcome {
    outcome.unwrap_or(StoreOutcome::Unknown)
}
