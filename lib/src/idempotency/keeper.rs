//! Claims requests: routes each call to the host that writes the log of its partition, and writes
//! the logs that this host owns.

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

/// Partitions of the log, which bound the rate of writes to the key-value service. All hosts must
/// use the same number.
const PARTITION_COUNT: u16 = 16;
const QUEUE_CAPACITY: usize = 4096;
/// Timeout of a call to the host that writes a log, which allows it to retry its writes.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_KEY_BYTES: usize = 256;

/// Components that a [`ClaimKeeper`] depends on.
#[derive(Clone)]
pub struct ClaimDependencies {
    /// Name of this host.
    pub host: HostId,
    /// Membership of the fleet, which names the host that writes each log.
    pub membership: Arc<Membership>,
    /// Connections to the other hosts.
    pub peers: PeerClient,
    /// Key-value service that stores the logs.
    pub kv: Arc<dyn KvStore>,
    /// Counters of retries.
    pub counters: Arc<CounterSet>,
}

/// Outcome of a successful [`ClaimKeeper::claim`].
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The request may run, under this claim.
    Granted(HeldClaim),
    /// An earlier request with the same key has run; this is its response.
    Finished(RecordedResponse),
}

/// Claim that lets a request run once. If it is dropped, resends are refused as of unknown outcome
/// until the claim expires.
#[must_use]
#[derive(Debug)]
pub struct HeldClaim {
    keeper: Arc<ClaimKeeper>,
    claim_key: ClaimKey,
    claim: ClaimId,
}

impl HeldClaim {
    /// Records the response of the request, which resends then receive.
    pub async fn finish(self, response: RecordedResponse) {
        let request = ClaimRequest::Finish {
            claim_key: self.claim_key,
            claim: self.claim,
            response,
        };
        self.keeper.call(request).await;
    }

    /// Gives the claim back, as the request did not run; a resend may then claim it.
    pub async fn release(self) {
        let request = ClaimRequest::Release {
            claim_key: self.claim_key,
            claim: self.claim,
        };
        self.keeper.call(request).await;
    }
}

/// Claims requests for the whole fleet, and serves the log partitions that this host writes.
pub struct ClaimKeeper {
    dependencies: ClaimDependencies,
    logs: Mutex<HashMap<u16, mpsc::Sender<ClaimCall>>>,
}

impl std::fmt::Debug for ClaimKeeper {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ClaimKeeper").finish_non_exhaustive()
    }
}

impl ClaimKeeper {
    /// Returns a keeper; each log is read on its first use.
    pub fn new(dependencies: ClaimDependencies) -> Arc<Self> {
        Arc::new(Self {
            dependencies,
            logs: Mutex::default(),
        })
    }

    /// Claims the request with the idempotency key `key` of a workspace; the claim is durable
    /// before this returns.
    ///
    /// Refuses keys that are empty or too long, keys whose claim is held by another request, and
    /// all keys while the key-value service is unavailable.
    pub async fn claim(
        self: &Arc<Self>,
        workspace: &WorkspaceName,
        key: &str,
    ) -> Result<ClaimOutcome, Refusal> {
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            let message = format!("an idempotency key has 1 to {MAX_KEY_BYTES} bytes");
            return Err(Refusal::new(RefusalReason::BadRequest, message));
        }
        let claim_key = ClaimKey::new(workspace, key);
        let claim = ClaimId(rand::random());
        let held = HeldClaim {
            keeper: self.clone(),
            claim_key,
            claim,
        };
        match self.call(ClaimRequest::Claim { claim_key, claim }).await {
            ClaimReply::Granted => Ok(ClaimOutcome::Granted(held)),
            ClaimReply::Finished(response) => Ok(ClaimOutcome::Finished(response)),
            ClaimReply::Taken => Err(taken_refusal()),
            ClaimReply::Recorded | ClaimReply::Unavailable => {
                // The claim may have been written, but the request does not run.
                tokio::spawn(held.release());
                Err(unavailable_refusal())
            }
        }
    }

    /// Serves a call from this host's own writer of the log partition.
    pub async fn serve(&self, request: ClaimRequest) -> ClaimReply {
        let (reply, replied) = oneshot::channel();
        let log = self.log(request.claim_key().partition(PARTITION_COUNT));
        match log.try_send(ClaimCall { request, reply }) {
            Ok(()) => replied.await.unwrap_or(ClaimReply::Unavailable),
            Err(_) => ClaimReply::Unavailable,
        }
    }

    /// Calls the host that writes the log, and writes it here if that host fails. Two hosts that
    /// write the same log are safe, as each segment can be created only once.
    async fn call(&self, request: ClaimRequest) -> ClaimReply {
        let partition = request.claim_key().partition(PARTITION_COUNT);
        let view = self.dependencies.membership.view();
        let owner = view.owner_of(&format!("idempotency/{partition}"));
        let Some(owner) = owner.filter(|owner| owner.id != self.dependencies.host) else {
            return self.serve(request).await;
        };
        let call = request.clone();
        let reply = self
            .dependencies
            .peers
            .call(owner.peer_address, call, CALL_TIMEOUT)
            .await;
        match reply {
            Ok(claim_reply) => claim_reply,
            _ => {
                self.dependencies.counters.retry(RetryReason::PeerFailed);
                self.serve(request).await
            }
        }
    }

    fn log(&self, partition: u16) -> mpsc::Sender<ClaimCall> {
        let mut logs = self.logs.lock().expect("claim logs lock");
        let log = logs.entry(partition).or_insert_with(|| {
            let (calls, queue) = mpsc::channel(QUEUE_CAPACITY);
            let kv = self.dependencies.kv.clone();
            let log = PartitionLog::new(partition, kv, self.dependencies.counters.clone());
            tokio::spawn(log.run(queue));
            calls
        });
        log.clone()
    }
}

fn taken_refusal() -> Refusal {
    let message = "a request with this idempotency key is still running, or its outcome is unknown";
    Refusal::new(RefusalReason::DuplicateInProgress, message)
        .with_retry_after(RETRY_AFTER)
        .with_unknown_execution()
}

fn unavailable_refusal() -> Refusal {
    let message = "the idempotency key could not be claimed";
    Refusal::new(RefusalReason::StoreUnavailable, message).with_retry_after(RETRY_AFTER)
}
