//! Shared secret with which hosts authenticate to one another, stored in the key-value service.

use bytes::Bytes;

use crate::edges::kv::Expect;
use crate::edges::kv::KvError;
use crate::edges::kv::KvStore;
use crate::ids::random_id;

const SECRET_KEY: &str = "fleet/secret";

/// Returns the shared secret of the fleet, and creates it if there is none. If several hosts try to
/// create it, all return the one that was stored first.
///
/// Fails with the error of the key-value service, or with [`KvError::Unknown`] if the secret is
/// deleted meanwhile.
pub async fn fleet_secret(kv: &dyn KvStore) -> Result<String, KvError> {
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

async fn read(kv: &dyn KvStore) -> Result<Option<String>, KvError> {
    let entry = kv.get(SECRET_KEY).await?;
    Ok(entry.map(|entry| String::from_utf8_lossy(&entry.value).into_owned()))
}
