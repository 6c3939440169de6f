//! The secret that hosts prove to one another, agreed through the key-value service.

use bytes::Bytes;

use crate::edges::kv::Expect;
use crate::edges::kv::KvError;
use crate::edges::kv::KvStore;
use crate::ids::random_id;

const SECRET_KEY: &str = "fleet/secret";

/// Returns the fleet's secret; the first host that asks creates it.
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
            secret.ok_or_else(|| KvError::Unknown("the fleet's secret vanished".to_owned()))
        }
        Err(err) => Err(err),
    }
}

async fn read(kv: &dyn KvStore) -> Result<Option<String>, KvError> {
    let entry = kv.get(SECRET_KEY).await?;
    Ok(entry.map(|entry| String::from_utf8_lossy(&entry.value).into_owned()))
}
