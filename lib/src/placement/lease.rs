//! Lease that allows one host at a time to send orders to the engines of a shard.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use crate::edges::kv::Expect;
use crate::edges::kv::KvError;
use crate::edges::kv::KvStore;
use crate::edges::kv::KvVersion;
use crate::edges::kv::LeaseId;
use crate::ids::HostId;
use crate::ids::random_id;

/// A held lease. Its holder must send no orders after `valid_until`, even if the key-value service
/// still reports the lease as alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardLease {
    /// Fencing token: the version of the shard's key. That of a later holder is always higher.
    pub fence: u64,
    /// When the holder must stop sending orders, by the clock of this host. It lies before the time
    /// at which the key-value service may expire the lease.
    pub valid_until: Instant,
    lease: LeaseId,
}

impl ShardLease {
    /// Whether the holder may still send an order that takes up to `duration`.
    pub fn is_valid_for(&self, duration: Duration) -> bool {
        Instant::now() + duration < self.valid_until
    }
}

/// Acquires, renews and releases the lease of one shard in the key-value service.
pub struct LeaseKeeper {
    kv: Arc<dyn KvStore>,
    key: String,
    host: HostId,
    ttl: Duration,
    margin: Duration,
}

impl LeaseKeeper {
    /// Returns a keeper of the lease under `key` on behalf of `host`.
    ///
    /// The lease expires `ttl` after its last renewal. Its holder stops sending orders `margin`
    /// earlier, which covers orders in flight and clocks that run at different rates.
    pub fn new(
        kv: Arc<dyn KvStore>,
        key: String,
        host: HostId,
        ttl: Duration,
        margin: Duration,
    ) -> Self {
        Self {
            kv,
            key,
            host,
            ttl,
            margin,
        }
    }

    /// Acquires the lease; returns `None` if another host holds it.
    ///
    /// Fails if the key-value service does not answer. A lease that was granted by then expires
    /// unused.
    pub async fn acquire(&self) -> Result<Option<ShardLease>, KvError> {
        if self.kv.get(&self.key).await?.is_some() {
            return Ok(None);
        }
        let sent = Instant::now();
        let lease = self.kv.grant_lease(self.ttl).await?;
        // The claim is unique, so that a later read recognises a write whose reply was lost.
        let claim = Bytes::from(format!("{} {}", self.host, random_id("claim")));
        let put = self
            .kv
            .put(&self.key, claim.clone(), Expect::Absent, Some(lease));
        let version = match put.await {
            Ok(version) => Some(version),
            Err(KvError::Conflict { .. }) => None,
            Err(KvError::Unknown(_)) => self.version_of(&claim).await?,
            Err(err) => return Err(err),
        };
        let Some(version) = version else {
            self.kv.revoke_lease(lease).await?;
            return Ok(None);
        };
        Ok(Some(ShardLease {
            fence: version.0,
            valid_until: self.valid_until(sent),
            lease,
        }))
    }

    /// Renews the lease. `valid_until` counts from the time at which the renewal was sent, because
    /// the service may have handled it at any time since. On failure, it keeps its value.
    pub async fn renew(&self, held: &mut ShardLease) -> Result<(), KvError> {
        let sent = Instant::now();
        self.kv.renew_lease(held.lease).await?;
        held.valid_until = self.valid_until(sent);
        Ok(())
    }

    /// Revokes the lease, so that another host can acquire the shard at once.
    pub async fn release(&self, held: ShardLease) -> Result<(), KvError> {
        self.kv.revoke_lease(held.lease).await
    }

    fn valid_until(&self, sent: Instant) -> Instant {
        sent + self.ttl.saturating_sub(self.margin)
    }

    async fn version_of(&self, claim: &Bytes) -> Result<Option<KvVersion>, KvError> {
        let entry = self.kv.get(&self.key).await?;
        let own = entry.filter(|entry| entry.value == *claim);
        Ok(own.map(|entry| entry.version))
    }
}
