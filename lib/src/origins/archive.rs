//! Keeps the history of versions in the key-value service.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;

use crate::clock::steady_unix_millis;
use crate::edges::kv::Expect;
use crate::edges::kv::KvError;
use crate::edges::kv::KvStore;
use crate::edges::kv::KvVersion;
use crate::origins::history::StoredVersions;
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
    stored: Mutex<StoredVersions>,
}

impl VersionArchive {
    /// Returns the archive of the history that `keeper` holds.
    pub fn new(kv: Arc<dyn KvStore>, keeper: OriginKeeper) -> Self {
        Self {
            kv,
            keeper,
            stored: Mutex::default(),
        }
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
            let merged = self.merge(&stored);
            if merged == stored {
                return true;
            }
            let value = serde_json::to_vec(&merged).expect("histories serialize to JSON");
            let expect = version.map_or(Expect::Absent, Expect::Version);
            let put = self.kv.put(HISTORY_KEY, Bytes::from(value), expect, None);
            match put.await {
                Ok(_) => {
                    self.note(&merged);
                    return true;
                }
                Err(KvError::Conflict { .. }) => {}
                Err(_) => return false,
            }
        }
        false
    }

    /// Whether the stored history has versions that ended long ago, which the next [`Self::store`] leaves
    /// out.
    pub fn has_expired(&self) -> bool {
        let stored = self.stored.lock().expect("stored versions lock");
        stored.has_expired(&self.keeper.seen_versions(), Instant::now())
    }

    fn merge(&self, stored: &VersionHistory) -> VersionHistory {
        let known = self.stored.lock().expect("stored versions lock");
        let seen = self.keeper.seen_versions();
        known.merge(&seen, stored, Instant::now(), steady_unix_millis())
    }

    fn note(&self, history: &VersionHistory) {
        let mut stored = self.stored.lock().expect("stored versions lock");
        stored.note(history, Instant::now());
    }

    async fn read(&self) -> Result<(VersionHistory, Option<KvVersion>), KvError> {
        let Some(entry) = self.kv.get(HISTORY_KEY).await? else {
            self.note(&VersionHistory::default());
            return Ok((VersionHistory::default(), None));
        };
        // A record in an unknown format tells nothing; the next write replaces it.
        let history = serde_json::from_slice(&entry.value).unwrap_or_default();
        self.note(&history);
        Ok((history, Some(entry.version)))
    }
}
