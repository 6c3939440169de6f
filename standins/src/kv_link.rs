//! A host's connection to the key-value service, which tests can cut.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
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

/// Time after which a call over a cut link fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which a connection over an unreachable link is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Fault of one commit over a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitFault {
    /// It is executed at once, but its answer is lost.
    LosesAnswer,
    /// It is executed at once, but its answer is lost, and the link is cut.
    CutsLink,
    /// It has no answer, and is executed after this time if its conditions still hold.
    ExecutesAfter(Duration),
    /// It is executed at once, and answered after this time.
    AnswersAfter(Duration),
}

/// Link from one host to a key-value service. While it is cut, calls have no effect and fail with
/// an unknown outcome after 1.5 s.
pub struct KvLink {
    store: Arc<dyn KvStore>,
    is_cut: AtomicBool,
    is_unreachable: AtomicBool,
    next_commit: Mutex<Option<CommitFault>>,
    /// The first pages of the stale listings that are held, by prefix; `None` before the first listing.
    held_pages: Mutex<HashMap<String, Option<KvPage>>>,
    /// Prefix of the next up-to-date listing that is answered late, and how late.
    late_listing: Mutex<Option<(String, Duration)>>,
    /// Delay of commits in milliseconds; zero: none.
    lateness_ms: AtomicU64,
    is_stale: AtomicBool,
    /// Last pages of listings that may be out of date, by prefix and the key that they begin after.
    pages: Mutex<BTreeMap<(String, String), KvPage>>,
}

impl KvLink {
    /// Returns a working link to `store`.
    pub fn new(store: Arc<dyn KvStore>) -> Arc<Self> {
        Arc::new(Self {
            store,
            is_cut: AtomicBool::new(false),
            is_unreachable: AtomicBool::new(false),
            next_commit: Mutex::default(),
            held_pages: Mutex::default(),
            late_listing: Mutex::default(),
            lateness_ms: AtomicU64::new(0),
            is_stale: AtomicBool::new(false),
            pages: Mutex::default(),
        })
    }

    /// Cuts or restores the link.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }

    /// Lets no further connection be opened over the link, or lets them again. Calls fail as not sent after
    /// 0.6 s; those that began before go on.
    pub fn set_unreachable(&self, is_unreachable: bool) {
        self.is_unreachable.store(is_unreachable, Ordering::Relaxed);
    }

    /// Lets the next commit meet `fault`.
    pub fn set_next_commit(&self, fault: CommitFault) {
        *self.next_commit.lock().expect("link lock") = Some(fault);
    }

    /// Executes the next up-to-date listing of `prefix` at once, and answers it after `delay`.
    pub fn set_next_listing_late(&self, prefix: &str, delay: Duration) {
        let listing = (prefix.to_owned(), delay);
        *self.late_listing.lock().expect("link lock") = Some(listing);
    }

    fn take_listing_delay(&self, prefix: &str) -> Duration {
        let mut late = self.late_listing.lock().expect("link lock");
        let late = late.take_if(|(known, _)| known == prefix);
        late.map_or(Duration::ZERO, |(_, delay)| delay)
    }

    /// Answers stale listings of `prefix` from now on as the first one after this call.
    pub fn hold_listings(&self, prefix: &str) {
        let mut held = self.held_pages.lock().expect("link lock");
        held.insert(prefix.to_owned(), None);
    }

    fn held_page(&self, prefix: &str) -> Option<KvPage> {
        let held = self.held_pages.lock().expect("link lock");
        held.get(prefix)?.clone()
    }

    /// Has commits executed so much later, with no answer, if their conditions still hold by then.
    pub fn set_late(&self, lateness: Duration) {
        let millis = lateness.as_millis() as u64;
        self.lateness_ms.store(millis, Ordering::Relaxed);
    }

    /// Has listings that may be out of date show what they last showed, or again what is stored.
    pub fn set_stale(&self, is_stale: bool) {
        self.is_stale.store(is_stale, Ordering::Relaxed);
    }

    fn execute_later(&self, commit: KvCommit, delay: Duration) {
        let store = self.store.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = store.commit(commit).await;
        });
    }

    async fn pass(&self) -> Result<&dyn KvStore, KvError> {
        if self.is_cut.load(Ordering::Relaxed) {
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err(KvError::Unknown("no answer in time".to_owned()));
        }
        if self.is_unreachable.load(Ordering::Relaxed) {
            tokio::time::sleep(CONNECT_TIMEOUT).await;
            return Err(KvError::Unavailable("no connection in time".to_owned()));
        }
        Ok(self.store.as_ref())
    }
}

#[async_trait]
impl KvStore for KvLink {
    async fn get(&self, key: &str) -> Result<Option<KvEntry>, KvError> {
        self.pass().await?.get(key).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<KvPage, KvError> {
        let delay = self.take_listing_delay(prefix);
        let page = self.pass().await?.list(prefix, after, limit).await;
        if delay > Duration::ZERO {
            tokio::time::sleep(delay).await;
        }
        page
    }

    async fn list_stale(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<KvPage, KvError> {
        let store = self.pass().await?;
        if let Some(page) = self.held_page(prefix) {
            return Ok(page);
        }
        let page = store.list_stale(prefix, after, limit).await?;
        if let Some(held) = self.held_pages.lock().expect("link lock").get_mut(prefix) {
            *held = Some(page.clone());
        }
        let key = (prefix.to_owned(), after.unwrap_or_default().to_owned());
        let mut pages = self.pages.lock().expect("pages lock");
        if !self.is_stale.load(Ordering::Relaxed) {
            pages.insert(key.clone(), page.clone());
        }
        Ok(pages.get(&key).cloned().unwrap_or(page))
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<KvVersion, KvError> {
        self.pass().await?.put(key, value, expect, lease).await
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<(), KvError> {
        self.pass().await?.delete(key, expect).await
    }

    async fn commit(&self, commit: KvCommit) -> Result<KvVersion, KvError> {
        let lateness = Duration::from_millis(self.lateness_ms.load(Ordering::Relaxed));
        if lateness > Duration::ZERO {
            self.execute_later(commit, lateness);
            tokio::time::sleep(CALL_TIMEOUT).await;
            return Err(KvError::Unknown("no answer in time".to_owned()));
        }
        let store = self.pass().await?;
        let fault = self.next_commit.lock().expect("link lock").take();
        match fault {
            None => return store.commit(commit).await,
            Some(CommitFault::LosesAnswer) => {
                let _ = store.commit(commit).await;
            }
            Some(CommitFault::CutsLink) => {
                let _ = store.commit(commit).await;
                self.set_cut(true);
            }
            Some(CommitFault::ExecutesAfter(delay)) => self.execute_later(commit, delay),
            Some(CommitFault::AnswersAfter(delay)) => {
                let answer = store.commit(commit).await;
                tokio::time::sleep(delay).await;
                return answer;
            }
        }
        Err(KvError::Unknown("answer lost".to_owned()))
    }

    async fn watch(
        &self,
        prefix: &str,
        after: KvVersion,
        wait: Duration,
    ) -> Result<KvChanges, KvError> {
        self.pass().await?.watch(prefix, after, wait).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvError> {
        self.pass().await?.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        self.pass().await?.renew_lease(lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        self.pass().await?.revoke_lease(lease).await
    }
}
