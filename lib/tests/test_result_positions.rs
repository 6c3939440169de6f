//! Tests that each item of a job has one position, which never changes, and that the job closes.

mod job_fleet;
mod opaque;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use job_fleet::JobFleet;
use job_fleet::assert_complete;
use job_fleet::job;
use job_fleet::read_all;
use parsleywall::edges::kv::Expect;
use parsleywall::edges::kv::KvChanges;
use parsleywall::edges::kv::KvCommit;
use parsleywall::edges::kv::KvEntry;
use parsleywall::edges::kv::KvError;
use parsleywall::edges::kv::KvPage;
use parsleywall::edges::kv::KvStore;
use parsleywall::edges::kv::KvVersion;
use parsleywall::edges::kv::LeaseId;
use parsleywall::jobs::JobConfig;
use parsleywall::jobs::ReadOutcome;
use parsleywall::jobs::SubmitOutcome;
use parsleywall_standins::kv::KvMemory;
use parsleywall_standins::kv_link::CommitFault;

/// Number of items for which the job runs on while the first segment is written.
const ITEMS: usize = 120;
/// Time after a job's acceptance at which its first segment is being written.
const FIRST_SEGMENT_TIME: Duration = Duration::from_millis(2_500);

/// Guards against an item at two positions: a job is read again while the answer to a segment's write is on
/// its way.
#[tokio::test(start_paused = true)]
async fn test_late_answer_after_own_claim_adds_nothing() {
    let mut fleet = JobFleet::new();
    let (host, link) = fleet.linked_host("host-a").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let outcome = host.keeper.submit(job("j1", ITEMS)).await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
    link.set_next_commit(CommitFault::AnswersAfter(Duration::from_secs(4)));
    tokio::time::sleep(FIRST_SEGMENT_TIME).await;
    let key = "open/j1/owner";
    fleet.kv.delete(key, Expect::Any).await.unwrap();
    let page = read_all(&host, "j1").await;
    assert_complete(&fleet.transport, &page);
    assert!(fleet.kv.value("open/j1").is_none(), "the job is closed");
}

/// Guards against a job that begins anew at its own host: the answer to its creation comes when the host runs
/// it already, as a scan has found it.
#[tokio::test(start_paused = true)]
async fn test_late_answer_to_a_creation_replaces_nothing() {
    let mut fleet = JobFleet::new();
    let (host, link) = fleet.linked_host("host-a").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    link.set_next_commit(CommitFault::AnswersAfter(Duration::from_secs(6)));
    let submission = {
        let keeper = host.keeper.clone();
        tokio::spawn(async move { keeper.submit(job("j1", ITEMS)).await })
    };
    tokio::time::sleep(Duration::from_secs(1)).await;
    let page = read_all(&host, "j1").await;
    assert_eq!(submission.await.unwrap(), SubmitOutcome::Accepted);
    assert_complete(&fleet.transport, &page);
    for number in 0..ITEMS {
        let runs = fleet.transport.runs(&format!("j1-{number}"));
        assert_eq!(runs.len(), 1, "{runs:?}");
    }
}

/// What happens to one listing of a job's keys.
#[derive(Clone, Copy, Debug)]
enum ListingFault {
    /// It has a second page, before which the job is removed.
    RemovesJob,
    /// It is answered after this time.
    AnswersAfter(Duration),
}

/// Store of which the next listing of a job's keys meets a fault.
struct FaultyListing {
    kv: Arc<KvMemory>,
    fault: ListingFault,
    is_armed: AtomicBool,
}

impl FaultyListing {
    fn new(kv: Arc<KvMemory>, fault: ListingFault) -> Arc<Self> {
        Arc::new(Self {
            kv,
            fault,
            is_armed: AtomicBool::new(false),
        })
    }

    fn arm(&self) {
        self.is_armed.store(true, Ordering::Relaxed);
    }

    async fn remove_job(&self) {
        let page = self.kv.list("job/j1/", None, 500).await.unwrap();
        for entry in page.entries {
            self.kv.delete(&entry.key, Expect::Any).await.unwrap();
        }
    }
}

#[async_trait]
impl KvStore for FaultyListing {
    async fn get(&self, key: &str) -> Result<Option<KvEntry>, KvError> {
        self.kv.get(key).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<KvPage, KvError> {
        let is_job = prefix.starts_with("job/") && after.is_none();
        if !is_job || !self.is_armed.swap(false, Ordering::Relaxed) {
            return self.kv.list(prefix, after, limit).await;
        }
        let mut page = self.kv.list(prefix, after, limit).await?;
        match self.fault {
            ListingFault::RemovesJob => {
                page.entries.truncate(2);
                page.more = true;
                self.remove_job().await;
            }
            ListingFault::AnswersAfter(delay) => tokio::time::sleep(delay).await,
        }
        Ok(page)
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<KvVersion, KvError> {
        self.kv.put(key, value, expect, lease).await
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<(), KvError> {
        self.kv.delete(key, expect).await
    }

    async fn commit(&self, commit: KvCommit) -> Result<KvVersion, KvError> {
        self.kv.commit(commit).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: KvVersion,
        wait: Duration,
    ) -> Result<KvChanges, KvError> {
        self.kv.watch(prefix, after, wait).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvError> {
        self.kv.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        self.kv.renew_lease(lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        self.kv.revoke_lease(lease).await
    }
}

/// Guards against a job that has lost results: it is removed between two pages of its listing.
#[tokio::test(start_paused = true)]
async fn test_job_removed_while_it_is_listed_is_not_read_in_part() {
    let mut fleet = JobFleet::new();
    let host = fleet.host("host-a").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let outcome = host.keeper.submit(job("j1", ITEMS)).await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
    read_all(&host, "j1").await;
    let kv = FaultyListing::new(fleet.kv.clone(), ListingFault::RemovesJob);
    kv.arm();
    let reader = fleet.host_on("host-b", JobConfig::default(), kv).await;
    host.kill();
    let outcome = reader.keeper.read("j1", 0, Duration::ZERO).await;
    assert_eq!(outcome, ReadOutcome::NoSuchJob);
}

/// Guards against keys that stay for ever: a removal fails halfway, and is repeated without the job's summary.
#[tokio::test(start_paused = true)]
async fn test_removal_that_failed_halfway_leaves_no_segments() {
    let mut fleet = JobFleet::new();
    let (host, link) = fleet.linked_host("host-a").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let outcome = host.keeper.submit(job("j1", 3)).await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
    read_all(&host, "j1").await;
    // More segments than one commit deletes.
    for number in 1..40 {
        let key = format!("job/j1/seg/{number:05}");
        let empty = Bytes::from_static(&[0x80]);
        fleet.kv.put(&key, empty, Expect::Any, None).await.unwrap();
    }
    link.set_next_commit(CommitFault::LosesAnswer);
    tokio::time::sleep(Duration::from_secs(1_200)).await;
    for prefix in ["job/", "spec/", "closed/"] {
        let page = fleet.kv.list(prefix, None, 500).await.unwrap();
        let keys: Vec<String> = page.entries.into_iter().map(|entry| entry.key).collect();
        assert_eq!(keys, [""; 0]);
    }
}

/// Guards against a closed job that begins anew: what was read for a claim comes when the job is finished.
#[tokio::test(start_paused = true)]
async fn test_read_from_before_the_close_revives_no_job() {
    let mut fleet = JobFleet::new();
    let delay = Duration::from_secs(30);
    let kv = FaultyListing::new(fleet.kv.clone(), ListingFault::AnswersAfter(delay));
    let config = JobConfig::default();
    let host = fleet.host_on("host-a", config, kv.clone()).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let outcome = host.keeper.submit(job("j1", ITEMS)).await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
    kv.arm();
    let key = "open/j1/owner";
    fleet.kv.delete(key, Expect::Any).await.unwrap();
    let before = read_all(&host, "j1").await;
    for _ in 0..400 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(host.keeper.open_item_count(), 0);
        assert_eq!(read_all(&host, "j1").await, before);
    }
}
