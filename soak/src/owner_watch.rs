//! Counts how often batch jobs change owners, by the owners' keys in the store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use parsleywall::edges::kv::KvChange;
use parsleywall::edges::kv::KvStore;
use parsleywall::edges::kv::KvVersion;
use parsleywall_standins::kv::KvMemory;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

/// Prefix of the keys of open jobs.
pub const OPEN_PREFIX: &str = "open/";
/// End of the keys of owners.
pub const OWNER_SUFFIX: &str = "/owner";
const WATCH_TIME: Duration = Duration::from_secs(1);
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A change of the key of a job's owner.
#[derive(Clone, Debug)]
pub struct OwnerChange {
    /// When it was seen.
    pub at: Instant,
    /// The key.
    pub key: String,
    /// Version of the key.
    pub version: u64,
    /// Value of the key; `None` if it was deleted or has lapsed.
    pub owner: Option<String>,
}

/// Counts changes of owners until dropped.
pub struct OwnerWatch {
    changes: Arc<AtomicUsize>,
    log: Arc<Mutex<Vec<OwnerChange>>>,
    _stop: DropGuard,
}

impl OwnerWatch {
    /// Watches the owners' keys in `kv` from now on.
    pub fn start(kv: Arc<KvMemory>) -> Self {
        let (changes, stop) = (Arc::new(AtomicUsize::new(0)), CancellationToken::new());
        let (counted, stopped) = (changes.clone(), stop.clone());
        let log = Arc::new(Mutex::new(Vec::new()));
        let noted = log.clone();
        tokio::spawn(async move {
            let count = count(&kv, &counted, &noted);
            stopped.run_until_cancelled(count).await
        });
        Self {
            changes,
            log,
            _stop: stop.drop_guard(),
        }
    }

    /// How often the key of a job's owner got another value than the last one that it had; the first owner
    /// of a job is no change.
    pub fn changes(&self) -> usize {
        self.changes.load(Ordering::Relaxed)
    }

    /// All changes of owners' keys so far, deletions included.
    pub fn log(&self) -> Vec<OwnerChange> {
        self.log.lock().expect("owner log lock").clone()
    }
}

/// The last owner of each job, by the owner's key.
#[derive(Debug, Default)]
pub struct LastOwners {
    owners: BTreeMap<String, Bytes>,
}

impl LastOwners {
    /// Notes a change in the store; returns whether it gives a job another owner than its last one.
    pub fn note(&mut self, change: KvChange) -> bool {
        let KvChange::Put(entry) = change else {
            return false;
        };
        if !entry.key.ends_with(OWNER_SUFFIX) {
            return false;
        }
        let before = self.owners.insert(entry.key, entry.value.clone());
        before.is_some_and(|before| before != entry.value)
    }
}

fn owner_change(change: &KvChange) -> OwnerChange {
    let at = Instant::now();
    match change {
        KvChange::Put(entry) => OwnerChange {
            at,
            key: entry.key.clone(),
            version: entry.version.0,
            owner: Some(String::from_utf8_lossy(&entry.value).into_owned()),
        },
        KvChange::Deleted { key, version } => OwnerChange {
            at,
            key: key.clone(),
            version: version.0,
            owner: None,
        },
    }
}

async fn count(kv: &KvMemory, counted: &AtomicUsize, log: &Mutex<Vec<OwnerChange>>) {
    let mut owners = LastOwners::default();
    let mut after = KvVersion(0);
    loop {
        let Ok(changes) = kv.watch(OPEN_PREFIX, after, WATCH_TIME).await else {
            tokio::time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        after = changes.revision;
        for change in changes.changes {
            let noted = owner_change(&change);
            if noted.key.ends_with(OWNER_SUFFIX) {
                log.lock().expect("owner log lock").push(noted);
            }
            counted.fetch_add(usize::from(owners.note(change)), Ordering::Relaxed);
        }
    }
}
