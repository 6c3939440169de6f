//! Tests that each item of a job has one position, which never changes, and that the job closes.

mod job_fleet;
mod opaque;

use std::time::Duration;

use bytes::Bytes;
use job_fleet::JobFleet;
use job_fleet::assert_complete;
use job_fleet::job;
use job_fleet::read;
use job_fleet::read_all;
use parsleywall::edges::kv::Expect;
use parsleywall::edges::kv::KvStore;
use parsleywall::jobs::EndOutcome;
use parsleywall::jobs::JobConfig;
use parsleywall::jobs::SubmitOutcome;
use parsleywall_standins::kv_link::CommitFault;
use parsleywall_standins::kv_link::KvLink;

/// Number of items for which the job runs on while the first segment is written.
const ITEMS: usize = 120;
/// Number of items of a job that is closed soon.
const FEW_ITEMS: usize = 3;
/// Gap between the events of items that outlast a scan.
const LONG_GAP: Duration = Duration::from_millis(100);
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

/// Guards against a closed job that runs again: the answer to its creation comes after the host, told by a
/// scan, has run and closed it.
#[tokio::test(start_paused = true)]
async fn test_answer_to_a_creation_after_the_close_runs_nothing() {
    let mut fleet = JobFleet::new();
    let (host, link) = fleet.linked_host("host-a").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    link.set_next_commit(CommitFault::AnswersAfter(Duration::from_secs(10)));
    let submission = {
        let keeper = host.keeper.clone();
        tokio::spawn(async move { keeper.submit(job("j1", FEW_ITEMS)).await })
    };
    tokio::time::sleep(Duration::from_secs(1)).await;
    read_all(&host, "j1").await;
    assert!(!submission.is_finished(), "the answer is still on its way");
    assert!(fleet.kv.value("open/j1").is_none(), "the job is closed");
    let mut shortest = FEW_ITEMS;
    for _ in 0..200 {
        shortest = shortest.min(read(&host, "j1", 0).await.results.len());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(submission.await.unwrap(), SubmitOutcome::Accepted);
    let ids = (0..FEW_ITEMS).map(|number| format!("j1-{number}"));
    let runs: Vec<usize> = ids.map(|id| fleet.transport.runs(&id).len()).collect();
    assert_eq!(
        (shortest, runs),
        (FEW_ITEMS, vec![1; FEW_ITEMS]),
        "fewest results read, and runs of each item"
    );
}

/// Guards against a closed job that runs again: a read of it for an own claim is answered after the close, as
/// another read of the same claim let the host go on.
#[tokio::test(start_paused = true)]
async fn test_late_read_of_a_claim_does_not_revive_a_closed_job() {
    let mut fleet = JobFleet::with_gap(LONG_GAP);
    let (host, link) = fleet.linked_host("host-a").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let outcome = host.keeper.submit(job("j1", FEW_ITEMS)).await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
    link.set_next_listing_late("job/j1/", Duration::from_secs(10));
    let key = "open/j1/owner";
    fleet.kv.delete(key, Expect::Any).await.unwrap();
    read_all(&host, "j1").await;
    assert!(fleet.kv.value("open/j1").is_none(), "the job is closed");
    let mut shortest = FEW_ITEMS;
    for _ in 0..200 {
        shortest = shortest.min(read(&host, "j1", 0).await.results.len());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let ids = (0..FEW_ITEMS).map(|number| format!("j1-{number}"));
    let runs: Vec<usize> = ids.map(|id| fleet.transport.runs(&id).len()).collect();
    assert_eq!(
        (shortest, runs),
        (FEW_ITEMS, vec![1; FEW_ITEMS]),
        "fewest results read, and runs of each item"
    );
}

/// Guards against a job that stays open: its results are all stored, as by an earlier release, and this host
/// has read them before it claims the job and the answer is lost.
#[tokio::test(start_paused = true)]
async fn test_full_open_job_that_was_read_is_closed_after_a_lost_claim() {
    let mut fleet = JobFleet::new();
    let first = fleet.host("host-a").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let outcome = first.keeper.submit(job("j1", FEW_ITEMS)).await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
    read_all(&first, "j1").await;
    first.kill();
    tokio::time::sleep(Duration::from_secs(30)).await;
    let (host, link) = fleet.linked_host("host-b").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet.kv.delete("closed/j1", Expect::Any).await.unwrap();
    let open = fleet
        .kv
        .put("open/j1", Bytes::new(), Expect::Any, None)
        .await;
    open.unwrap();
    link.set_next_commit(CommitFault::LosesAnswer);
    read_all(&host, "j1").await;
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert!(
        fleet.kv.value("open/j1/owner").is_none() && fleet.kv.value("open/j1").is_none(),
        "the job is closed"
    );
}

/// Guards against results of a removed job in a later one of its identifier: its removal failed halfway.
#[tokio::test(start_paused = true)]
async fn test_removal_that_failed_halfway_is_completed_by_a_later_sweep() {
    let mut fleet = JobFleet::new();
    let link = KvLink::new(fleet.kv.clone());
    let config = JobConfig {
        keep_time: Duration::from_secs(20),
        sweep_interval: Duration::from_secs(5),
        ..JobConfig::default()
    };
    let host = fleet.host_on("host-a", config, link.clone()).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let outcome = host.keeper.submit(job("j1", FEW_ITEMS)).await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
    read_all(&host, "j1").await;
    let first = fleet.kv.value("job/j1/seg/00000").unwrap();
    // A job of more segments than one commit deletes; what is in them does not matter here.
    for number in 1..40 {
        let key = format!("job/j1/seg/{number:05}");
        let put = fleet.kv.put(&key, first.clone(), Expect::Any, None).await;
        put.unwrap();
    }
    link.set_next_commit(CommitFault::LosesAnswer);
    while fleet.kv.value("job/j1/info").is_some() {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert!(fleet.kv.value("closed/j1").is_none(), "the job is removed");
    let left = (0..40).filter(|number| {
        let key = format!("job/j1/seg/{number:05}");
        fleet.kv.value(&key).is_some()
    });
    assert_eq!(left.count(), 0, "segments that are left");
}

/// Guards against a job that is accepted and gone: a removal of the job that had its identifier before takes
/// effect late.
#[tokio::test(start_paused = true)]
async fn test_late_removal_deletes_no_job_that_was_accepted_since() {
    let mut fleet = JobFleet::new();
    let link = KvLink::new(fleet.kv.clone());
    let config = JobConfig {
        keep_time: Duration::from_secs(20),
        sweep_interval: Duration::from_secs(5),
        ..JobConfig::default()
    };
    let host = fleet.host_on("host-a", config, link.clone()).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let outcome = host.keeper.submit(job("j1", FEW_ITEMS)).await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
    read_all(&host, "j1").await;
    link.set_next_commit(CommitFault::ExecutesAfter(Duration::from_secs(8)));
    while fleet.kv.value("job/j1/info").is_some() {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let other = fleet.host("host-b").await;
    let outcome = other.keeper.submit(job("j1", ITEMS)).await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert!(
        fleet.kv.value("job/j1/info").is_some(),
        "the accepted job is stored"
    );
}

/// Guards against items that run after their job's end is confirmed: a read of the job for an own claim is
/// answered after the end.
#[tokio::test(start_paused = true)]
async fn test_late_read_of_a_claim_does_not_revive_an_ended_job() {
    let mut fleet = JobFleet::with_gap(LONG_GAP);
    let (host, link) = fleet.linked_host("host-a").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let outcome = host.keeper.submit(job("j1", FEW_ITEMS)).await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
    link.set_next_listing_late("job/j1/", Duration::from_secs(5));
    let key = "open/j1/owner";
    fleet.kv.delete(key, Expect::Any).await.unwrap();
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(host.keeper.end("j1").await, EndOutcome::Ended);
    let ids: Vec<String> = (0..FEW_ITEMS)
        .map(|number| format!("j1-{number}"))
        .collect();
    let count_runs = || ids.iter().map(|id| fleet.transport.runs(id).len());
    let before: Vec<usize> = count_runs().collect();
    tokio::time::sleep(Duration::from_secs(20)).await;
    let after: Vec<usize> = count_runs().collect();
    assert_eq!(before, after, "runs of each item at the end and later");
}

/// Guards against results of another job: a host has cached those of a job that was removed, and whose
/// identifier was used again.
#[tokio::test(start_paused = true)]
async fn test_results_of_a_removed_job_are_not_read_as_those_of_a_later_one() {
    let mut fleet = JobFleet::new();
    let config = JobConfig {
        keep_time: Duration::from_secs(20),
        sweep_interval: Duration::from_secs(5),
        ..JobConfig::default()
    };
    let first = fleet.host_with("host-a", config).await;
    let second = fleet.host_with("host-b", config).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let outcome = first.keeper.submit(job("j1", FEW_ITEMS)).await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
    read_all(&first, "j1").await;
    read_all(&second, "j1").await;
    while fleet.kv.value("job/j1/info").is_some() {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let outcome = first.keeper.submit(job("j1", ITEMS)).await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
    assert_eq!(read(&second, "j1", 0).await.total, ITEMS);
}
