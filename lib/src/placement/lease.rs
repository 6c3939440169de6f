//! The lease that lets one host order the engines of a shard.

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

/// A held shard. It gives no right after `valid_until`, whatever the service says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardLease {
    /// Fencing number: the version of the shard's key. A later holder's is always higher.
    pub fence: u64,
    /// When the right to order ends by this host's clock, before the lease itself can lapse.
    pub valid_until: Instant,
    lease: LeaseId,
}

impl ShardLease {
    /// Whether the right to order lasts at least for `duration`.
    pub fn is_valid_for(&self, duration: Duration) -> bool {
        Instant::now() + duration < self.valid_until
    }
}

/// Acquires and renews the lease of one shard.
pub struct LeaseKeeper {
    kv: Arc<dyn KvStore>,
    key: String,
    host: HostId,
    ttl: Duration,
    margin: Duration,
}

impl LeaseKeeper {
    /// Returns a keeper for the shard's `key` on behalf of `host`.
    ///
    /// The lease lapses `ttl` after its last renewal; the right to order ends `margin` earlier.
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

    /// Takes the shard if nobody holds it.
    pub async fn acquire(&self) -> Result<Option<ShardLease>, KvError> {
        if self.kv.get(&self.key).await?.is_some() {
            return Ok(None);
        }
        let sent = Instant::now();
        let lease = self.kv.grant_lease(self.ttl).await?;
        // The claim is unique, so that a write whose answer was lost is recognised.
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

    /// Extends the right to order, counted from the moment when the renewal was sent.
    pub async fn renew(&self, held: &mut ShardLease) -> Result<(), KvError> {
        let sent = Instant::now();
        self.kv.renew_lease(held.lease).await?;
        held.valid_until = self.valid_until(sent);
        Ok(())
    }

    /// Gives the shard up, so that another host can take it at once.
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
