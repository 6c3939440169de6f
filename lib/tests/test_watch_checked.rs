//! Watches that are checked, as their connection may be dead.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use parsleywall::edges::kv::Expect;
use parsleywall::edges::kv::KvChanges;
use parsleywall::edges::kv::KvCommit;
use parsleywall::edges::kv::KvEntry;
use parsleywall::edges::kv::KvError;
use parsleywall::edges::kv::KvPage;
use parsleywall::edges::kv::KvStore;
use parsleywall::edges::kv::KvVersion;
use parsleywall::edges::kv::LeaseId;
use parsleywall::edges::kv::watch_checked;
use parsleywall_standins::kv::KvMemory;
use tokio::time::Instant;

const PREFIX: &str = "cancels/";
const WAIT: Duration = Duration::from_secs(30);
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A service of which waiting watches hear nothing.
struct SilentWatches {
    memory: Arc<KvMemory>,
    is_lost: AtomicBool,
}

impl SilentWatches {
    fn new() -> Self {
        Self {
            memory: KvMemory::new(),
            is_lost: AtomicBool::new(false),
        }
    }

    async fn write(&self) -> KvVersion {
        let put = self.put("cancels/job", Bytes::new(), Expect::Any, None);
        put.await.unwrap()
    }

    async fn watch_checked(&self, after: KvVersion) -> (Result<KvChanges, KvError>, Duration) {
        let began = Instant::now();
        let changes = watch_checked(self, PREFIX, after, WAIT, CHECK_INTERVAL).await;
        (changes, began.elapsed())
    }
}

#[async_trait]
impl KvStore for SilentWatches {
    async fn get(&self, key: &str) -> Result<Option<KvEntry>, KvError> {
        self.memory.get(key).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<KvPage, KvError> {
        self.memory.list(prefix, after, limit).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<KvVersion, KvError> {
        self.memory.put(key, value, expect, lease).await
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<(), KvError> {
        self.memory.delete(key, expect).await
    }

    async fn commit(&self, commit: KvCommit) -> Result<KvVersion, KvError> {
        self.memory.commit(commit).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: KvVersion,
        wait: Duration,
    ) -> Result<KvChanges, KvError> {
        if self.is_lost.load(Ordering::Relaxed) && wait.is_zero() {
            return Err(KvError::Unknown("no answer in time".to_owned()));
        }
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
            return Err(KvError::Unknown("no answer in time".to_owned()));
        }
        self.memory.watch(prefix, after, wait).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvError> {
        self.memory.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        self.memory.renew_lease(lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        self.memory.revoke_lease(lease).await
    }
}

/// Guards against terms and ends of jobs that wait for a watch on a dead connection (issue 41).
#[tokio::test(start_paused = true)]
async fn test_watch_checked_brings_changes_when_the_watch_is_silent() {
    let kv = Arc::new(SilentWatches::new());
    let before = kv.write().await;
    let writer = kv.clone();
    tokio::spawn(async move {
        tokio::time::sleep(CHECK_INTERVAL * 5 / 2).await;
        writer.write().await;
    });
    let (changes, after) = kv.watch_checked(before).await;
    assert_eq!(changes.unwrap().changes.len(), 1);
    assert_eq!(after, CHECK_INTERVAL * 3);
}

/// Guards against a watch that goes on while no call tells whether something has changed.
#[tokio::test(start_paused = true)]
async fn test_watch_checked_fails_when_its_check_fails() {
    let kv = SilentWatches::new();
    let before = kv.write().await;
    kv.is_lost.store(true, Ordering::Relaxed);
    let (changes, after) = kv.watch_checked(before).await;
    assert!(matches!(changes, Err(KvError::Unknown(_))), "{changes:?}");
    assert_eq!(after, CHECK_INTERVAL);
}
