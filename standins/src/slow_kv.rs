//! A host's connection to the key-value service on which calls and their answers take random times.

use std::sync::Arc;
use std::sync::Mutex;
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
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Time after which a call without an answer fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Fraction of the commits that have no answer, and of those that are executed late, if any are.
const COMMIT_FAULT_FRACTION: f64 = 0.2;
/// Delays of commits that are executed late, in milliseconds.
const LATE_MS: std::ops::Range<u64> = 1_000..5_000;

/// Which calls are slow, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowCalls {
    /// Commits that write a key with this part in its name are executed at once, and answered after up
    /// to this time.
    AnswersOf(&'static str, Duration),
    /// All calls take up to this time before they are executed, and as long again until the answer.
    All(Duration),
    /// A fifth of the commits is executed at once without an answer, and another fifth 1 to 5 s later,
    /// if its conditions still hold.
    FaultyCommits,
}

/// Link from one host to a key-value service whose calls are slow. Delays are drawn from a seed.
pub struct SlowKv {
    store: Arc<dyn KvStore>,
    calls: SlowCalls,
    random: Mutex<StdRng>,
}

impl SlowKv {
    /// Returns a link to `store`.
    pub fn new(store: Arc<dyn KvStore>, calls: SlowCalls, seed: u64) -> Arc<Self> {
        Arc::new(Self {
            store,
            calls,
            random: Mutex::new(StdRng::seed_from_u64(seed)),
        })
    }

    fn with_random<T>(&self, act: impl FnOnce(&mut StdRng) -> T) -> T {
        act(&mut self.random.lock().expect("random lock"))
    }

    fn draw(&self, most: Duration) -> Duration {
        let most_ms = most.as_millis() as u64;
        Duration::from_millis(self.with_random(|random| random.random_range(0..=most_ms)))
    }

    /// Waits for half of the way of a call that no commit fault concerns.
    async fn travel(&self) {
        if let SlowCalls::All(most) = self.calls {
            tokio::time::sleep(self.draw(most)).await;
        }
    }

    async fn pass<T>(&self, call: impl Future<Output = T>) -> T {
        self.travel().await;
        let answer = call.await;
        self.travel().await;
        answer
    }

    async fn commit_faulty(&self, commit: KvCommit) -> Result<KvVersion, KvError> {
        let (fault, late_ms): (f64, u64) =
            self.with_random(|random| (random.random(), random.random_range(LATE_MS)));
        if fault > 2.0 * COMMIT_FAULT_FRACTION {
            return self.store.commit(commit).await;
        }
        match fault > COMMIT_FAULT_FRACTION {
            true => drop(self.store.commit(commit).await),
            false => {
                let store = self.store.clone();
                tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(late_ms)).await;
                    let _ = store.commit(commit).await;
                });
            }
        }
        tokio::time::sleep(CALL_TIMEOUT).await;
        Err(KvError::Unknown("no answer in time".to_owned()))
    }
}

#[async_trait]
impl KvStore for SlowKv {
    async fn get(&self, key: &str) -> Result<Option<KvEntry>, KvError> {
        self.pass(self.store.get(key)).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<KvPage, KvError> {
        self.pass(self.store.list(prefix, after, limit)).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<KvVersion, KvError> {
        self.pass(self.store.put(key, value, expect, lease)).await
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<(), KvError> {
        self.pass(self.store.delete(key, expect)).await
    }

    async fn commit(&self, commit: KvCommit) -> Result<KvVersion, KvError> {
        match self.calls {
            SlowCalls::FaultyCommits => self.commit_faulty(commit).await,
            SlowCalls::AnswersOf(part, most) => {
                let is_slow = commit.puts.iter().any(|put| put.key.contains(part));
                let answer = self.store.commit(commit).await;
                if is_slow {
                    tokio::time::sleep(self.draw(most)).await;
                }
                answer
            }
            SlowCalls::All(_) => self.pass(self.store.commit(commit)).await,
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        after: KvVersion,
        wait: Duration,
    ) -> Result<KvChanges, KvError> {
        self.pass(self.store.watch(prefix, after, wait)).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvError> {
        self.pass(self.store.grant_lease(ttl)).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        self.pass(self.store.renew_lease(lease)).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        self.pass(self.store.revoke_lease(lease)).await
    }
}
