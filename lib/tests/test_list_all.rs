//! Listings of several pages, which are not a snapshot.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use parsleywall::edges::kv::Expect;
use parsleywall::edges::kv::Freshness;
use parsleywall::edges::kv::KvChanges;
use parsleywall::edges::kv::KvCommit;
use parsleywall::edges::kv::KvEntry;
use parsleywall::edges::kv::KvError;
use parsleywall::edges::kv::KvPage;
use parsleywall::edges::kv::KvStore;
use parsleywall::edges::kv::KvVersion;
use parsleywall::edges::kv::LeaseId;
use parsleywall::edges::kv::list_all;

/// A service that answers each page as of a revision of its own. It has the keys `a`, `b` and so on, one on
/// each page.
struct PagedKv {
    revisions: Vec<u64>,
}

fn unused() -> KvError {
    KvError::Unavailable("not part of this service".to_owned())
}

#[async_trait]
impl KvStore for PagedKv {
    async fn get(&self, _key: &str) -> Result<Option<KvEntry>, KvError> {
        Err(unused())
    }

    async fn list(
        &self,
        _prefix: &str,
        after: Option<&str>,
        _limit: usize,
    ) -> Result<KvPage, KvError> {
        let number = after.map_or(0, |key| usize::from(key.as_bytes()[0] - b'a') + 1);
        let entry = KvEntry {
            key: char::from(b'a' + number as u8).to_string(),
            value: Bytes::new(),
            version: KvVersion(1),
        };
        Ok(KvPage {
            entries: vec![entry],
            more: number + 1 < self.revisions.len(),
            revision: KvVersion(self.revisions[number]),
        })
    }

    async fn put(
        &self,
        _key: &str,
        _value: Bytes,
        _expect: Expect,
        _lease: Option<LeaseId>,
    ) -> Result<KvVersion, KvError> {
        Err(unused())
    }

    async fn delete(&self, _key: &str, _expect: Expect) -> Result<(), KvError> {
        Err(unused())
    }

    async fn commit(&self, _commit: KvCommit) -> Result<KvVersion, KvError> {
        Err(unused())
    }

    async fn watch(
        &self,
        _prefix: &str,
        _after: KvVersion,
        _wait: Duration,
    ) -> Result<KvChanges, KvError> {
        Err(unused())
    }

    async fn grant_lease(&self, _ttl: Duration) -> Result<LeaseId, KvError> {
        Err(unused())
    }

    async fn renew_lease(&self, _lease: LeaseId) -> Result<(), KvError> {
        Err(unused())
    }

    async fn revoke_lease(&self, _lease: LeaseId) -> Result<(), KvError> {
        Err(unused())
    }
}

/// A change that a later page lacks must come after the revision of the listing, or nothing brings it.
#[tokio::test]
async fn test_list_all_has_the_revision_of_its_oldest_page() {
    for (revisions, oldest) in [
        (vec![7], 7),
        (vec![7, 9, 12], 7),
        (vec![9, 7, 8], 7),
        (vec![12, 9, 7], 7),
    ] {
        let count = revisions.len();
        let kv = PagedKv { revisions };
        for freshness in [Freshness::Current, Freshness::Stale] {
            let (entries, revision) = list_all(&kv, "", freshness).await.unwrap();
            assert_eq!(entries.len(), count);
            assert_eq!(revision, KvVersion(oldest));
        }
    }
}
