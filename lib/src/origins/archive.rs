//! Keeps the history of versions in the key-value service.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::edges::kv::Expect;
use crate::edges::kv::KvError;
use crate::edges::kv::KvStore;
use crate::edges::kv::KvVersion;
use crate::origins::history::VersionHistory;
use crate::origins::keeper::OriginKeeper;

/// Key of the history.
const HISTORY_KEY: &str = "versions/history";
/// Delay between attempts to read or write the history.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Number of attempts at a write that other hosts' writes conflict with.
const MAX_WRITE_ATTEMPTS: u32 = 4;

/// Reads the history at the start of a host, and writes its changes.
pub struct VersionArchive {
    kv: Arc<dyn KvStore>,
    keeper: OriginKeeper,
}

impl VersionArchive {
    /// Returns the archive of the history that `keeper` holds.
    pub fn new(kv: Arc<dyn KvStore>, keeper: OriginKeeper) -> Self {
        Self { kv, keeper }
    }

    /// Reads the history, repeatedly until the service answers.
    pub async fn load(&self) {
        loop {
            match self.read().await {
                Ok((stored, _)) => return self.keeper.load_history(&stored),
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Writes the history together with what other hosts have written. Returns whether it is stored.
    pub async fn store(&self) -> bool {
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let Ok((stored, version)) = self.read().await else {
                return false;
            };
            let mut merged = self.keeper.history();
            merged.merge(&stored);
            if merged == stored {
                return true;
            }
            let value = serde_json::to_vec(&merged).expect("histories serialize to JSON");
            let expect = version.map_or(Expect::Absent, Expect::Version);
            let put = self.kv.put(HISTORY_KEY, Bytes::from(value), expect, None);
            match put.await {
                Ok(_) => return true,
                Err(KvError::Conflict { .. }) => {}
                Err(_) => return false,
            }
        }
        false
    }

    async fn read(&self) -> Result<(VersionHistory, Option<KvVersion>), KvError> {
        let Some(entry) = self.kv.get(HISTORY_KEY).await? else {
            return Ok((VersionHistory::default(), None));
        };
        // A record in an unknown format tells nothing; the next write replaces it.
        let history = serde_json::from_slice(&entry.value).unwrap_or_default();
        Ok((history, Some(entry.version)))
    }
}
