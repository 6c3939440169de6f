//! Shared secret with which hosts authenticate to one another, stored in the key-value service.

use std::time::Duration;

use bytes::Bytes;

use crate::edges::kv::Expect;
use crate::edges::kv::Freshness;
use crate::edges::kv::KvError;
use crate::edges::kv::KvStore;
use crate::edges::kv::list_all;
use crate::ids::random_id;

const SECRET_KEY: &str = "fleet/secret";
/// Longest delay before a host creates the secret.
const MAX_CREATION_DELAY: Duration = Duration::from_millis(600);

/// Returns the shared secret of the fleet, and creates it if there is none. If several hosts try to
/// create it, all return the one that was stored first.
///
/// Fails with the error of the key-value service, or with [`KvError::Unknown`] if the secret is
/// deleted meanwhile.
pub async fn fleet_secret(kv: &dyn KvStore) -> Result<String, KvError> {
    // A secret that was stored is never replaced, so that a read from some seconds ago tells it too.
    if let Some(secret) = read_stale(kv).await? {
        return Ok(secret);
    }
    // Hosts of a new fleet start together; one of them creates the secret.
    tokio::time::sleep(MAX_CREATION_DELAY.mul_f64(rand::random())).await;
    if let Some(secret) = read(kv).await? {
        return Ok(secret);
    }
    let secret = random_id("secret");
    let value = Bytes::from(secret.clone());
    match kv.put(SECRET_KEY, value, Expect::Absent, None).await {
        Ok(_) => Ok(secret),
        Err(KvError::Conflict { .. }) => {
            let secret = read(kv).await?;
            secret.ok_or_else(|| {
                KvError::Unknown(
                    "the fleet secret was deleted right after another host created it".to_owned(),
                )
            })
        }
        Err(err) => Err(err),
    }
}

async fn read_stale(kv: &dyn KvStore) -> Result<Option<String>, KvError> {
    let (entries, _) = list_all(kv, SECRET_KEY, Freshness::Stale).await?;
    let stored = entries.iter().find(|entry| entry.key == SECRET_KEY);
    Ok(stored.map(|entry| String::from_utf8_lossy(&entry.value).into_owned()))
}

async fn read(kv: &dyn KvStore) -> Result<Option<String>, KvError> {
    let entry = kv.get(SECRET_KEY).await?;
    Ok(entry.map(|entry| String::from_utf8_lossy(&entry.value).into_owned()))
}
