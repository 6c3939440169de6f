//! Claims on this host: finds the host that writes the log of a subject, and keeps own logs.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::collections::HashMap;
use crate::counters::CounterSet;
use crate::counters::RefusalReason;
use crate::counters::RetryReason;
use crate::edges::kv::KvStore;
use crate::idempotency::log::ClaimCall;
use crate::idempotency::log::PartitionLog;
use crate::idempotency::message::ClaimId;
use crate::idempotency::message::ClaimKey;
use crate::idempotency::message::ClaimReply;
use crate::idempotency::message::ClaimRequest;
use crate::idempotency::message::RecordedResponse;
use crate::ids::HostId;
use crate::ids::WorkspaceName;
use crate::membership::Membership;
use crate::peers::PeerClient;
use crate::refusal::Refusal;

/// Logs of the fleet; bounds the writes to the key-value service.
const PARTITIONS: u16 = 16;
const QUEUE: usize = 4096;
/// Time in which the writing host answers, with a few tries of its writes.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_KEY_BYTES: usize = 256;

/// What a keeper needs of the other slices.
#[derive(Clone)]
pub struct ClaimDependencies {
    /// Name of this host.
    pub host: HostId,
    /// Hosts of the fleet.
    pub membership: Arc<Membership>,
    /// Connections to them.
    pub peers: PeerClient,
    /// The key-value service.
    pub kv: Arc<dyn KvStore>,
    /// Counters.
    pub counters: Arc<CounterSet>,
}

/// Outcome of a try to claim a request.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The request may run once.
    Granted(HeldClaim),
    /// The request has run; this is its answer.
    Finished(RecordedResponse),
}

/// Leave to run a request once. Dropping it leaves its outcome unknown to resends.
#[must_use]
#[derive(Debug)]
pub struct HeldClaim {
    keeper: Arc<ClaimKeeper>,
    subject: ClaimKey,
    claim: ClaimId,
}

impl HeldClaim {
    /// Records the answer for resends.
    pub async fn finish(self, answer: RecordedResponse) {
        let request = ClaimRequest::Finish {
            subject: self.subject,
            claim: self.claim,
            answer,
        };
        self.keeper.call(request).await;
    }

    /// Lets a resend run, as nothing ran.
    pub async fn release(self) {
        let request = ClaimRequest::Release {
            subject: self.subject,
            claim: self.claim,
        };
        self.keeper.call(request).await;
    }
}

/// Keeper of claims.
pub struct ClaimKeeper {
    parts: ClaimDependencies,
    logs: Mutex<HashMap<u16, mpsc::Sender<ClaimCall>>>,
}

impl std::fmt::Debug for ClaimKeeper {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ClaimKeeper").finish_non_exhaustive()
    }
}

impl ClaimKeeper {
    /// Returns a keeper that has read no log.
    pub fn new(parts: ClaimDependencies) -> Arc<Self> {
        Arc::new(Self {
            parts,
            logs: Mutex::default(),
        })
    }

    /// Claims the request with `key` of a workspace, durably, before it is sent anywhere.
    pub async fn claim(
        self: &Arc<Self>,
        workspace: &WorkspaceName,
        key: &str,
    ) -> Result<ClaimOutcome, Refusal> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            let message = format!("an idempotency key has 1 to {MAX_KEY_BYTES} bytes");
            return Err(Refusal::new(RefusalReason::BadRequest, message));
        }
        let subject = ClaimKey::new(workspace, key);
        let claim = ClaimId(rand::random());
        let held = HeldClaim {
            keeper: self.clone(),
            subject,
            claim,
        };
        match self.call(ClaimRequest::Claim { subject, claim }).await {
            ClaimReply::Granted => Ok(ClaimOutcome::Granted(held)),
            ClaimReply::Finished(answer) => Ok(ClaimOutcome::Finished(answer)),
            ClaimReply::Taken => Err(taken()),
            ClaimReply::Recorded | ClaimReply::Unavailable => {
                // The claim may have been written; nothing ran under it.
                tokio::spawn(held.release());
                Err(unavailable())
            }
        }
    }

    /// Answers a call from this host's logs.
    pub async fn serve(&self, request: ClaimRequest) -> ClaimReply {
        let (answer, answered) = oneshot::channel();
        let log = self.log(request.subject().partition(PARTITIONS));
        match log.try_send(ClaimCall { request, answer }) {
            Ok(()) => answered.await.unwrap_or(ClaimReply::Unavailable),
            Err(_) => ClaimReply::Unavailable,
        }
    }

    /// Calls the host that writes the log, or else writes here: logs never diverge.
    async fn call(&self, request: ClaimRequest) -> ClaimReply {
        let partition = request.subject().partition(PARTITIONS);
        let view = self.parts.membership.view();
        let owner = view.owner_of(&format!("idempotency/{partition}"));
        let Some(owner) = owner.filter(|owner| owner.id != self.parts.host) else {
            return self.serve(request).await;
        };
        let call = request.clone();
        let reply = self
            .parts
            .peers
            .call(owner.peer_address, call, CALL_TIMEOUT)
            .await;
        match reply {
            Ok(answer) => answer,
            _ => {
                self.parts.counters.retry(RetryReason::PeerFailed);
                self.serve(request).await
            }
        }
    }

    fn log(&self, partition: u16) -> mpsc::Sender<ClaimCall> {
        let mut logs = self.logs.lock().expect("claim logs lock");
        let log = logs.entry(partition).or_insert_with(|| {
            let (calls, queue) = mpsc::channel(QUEUE);
            let kv = self.parts.kv.clone();
            let log = PartitionLog::new(partition, kv, self.parts.counters.clone());
            tokio::spawn(log.run(queue));
            calls
        });
        log.clone()
    }
}

fn taken() -> Refusal {
    let message = "a request with this idempotency key runs, or its outcome is unknown";
    Refusal::new(RefusalReason::DuplicateInProgress, message)
        .with_retry_after(RETRY_AFTER)
        .with_unknown_execution()
}

fn unavailable() -> Refusal {
    let message = "the idempotency key could not be claimed";
    Refusal::new(RefusalReason::StoreUnavailable, message).with_retry_after(RETRY_AFTER)
}
