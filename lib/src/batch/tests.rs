//! What an owner's memory becomes when answers come late, or in another order than their calls.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::batch::commits::announcement_of;
use crate::batch::coordinator::CoordinatorState;
use crate::batch::coordinator::KnownJob;
use crate::batch::coordinator::SegmentLoad;
use crate::batch::item_set::ItemSet;
use crate::batch::ledger::JOB_FORMAT;
use crate::batch::ledger::JobHolder;
use crate::batch::ledger::JobRecord;
use crate::batch::ledger::SegmentRef;
use crate::batch::message::DispatchOutcome;
use crate::batch::message::ItemEnd;
use crate::batch::message::WorkItem;
use crate::batch::object::JobRequest;
use crate::batch::object::JobState;
use crate::batch::object::RequestCounts;
use crate::batch::run::JobRun;
use crate::batch::store::VersionedJob;
use crate::edges::engine::Endpoint;
use crate::edges::kv::KvVersion;
use crate::ids::FileId;
use crate::ids::HostId;
use crate::ids::JobId;
use crate::ids::WorkspaceName;

/// Items of each of the two segments of a job.
const SEGMENT_ITEMS: u64 = 2;
/// Time after which a job without dispatched items has a heartbeat due.
const HEARTBEAT_TIME: Duration = Duration::from_secs(24 * 3600 / 24);

fn own_host() -> HostId {
    HostId::new("host-0")
}

fn job_id() -> JobId {
    JobId::new("batch_1")
}

/// A job of two segments that nobody has claimed.
fn open_job() -> JobRecord {
    let segment = SegmentRef {
        items: SEGMENT_ITEMS,
        bytes: 100,
    };
    JobRecord {
        format: JOB_FORMAT,
        id: job_id(),
        workspace: WorkspaceName::new("workspace"),
        request: JobRequest {
            input_file_id: FileId::new("file_1"),
            endpoint: Endpoint::Chat,
            completion_window: "24h".to_owned(),
            metadata: BTreeMap::new(),
        },
        fingerprint: String::new(),
        created_ms: 0,
        expires_ms: 24 * 3600 * 1000,
        open_ms: 0,
        ended_ms: None,
        state: JobState::InProgress,
        claim: None,
        epoch: 0,
        writes: 0,
        segments: vec![segment; 2],
        inline_input: false,
        counts: RequestCounts {
            total: 2 * SEGMENT_ITEMS,
            completed: 0,
            failed: 0,
        },
        output_bytes: 0,
        error_bytes: 0,
        done: ItemSet::new(),
        packs: Vec::new(),
        attempts: BTreeMap::new(),
        faults: Vec::new(),
    }
}

/// Claims `record` for this host, as version `version`, and returns the run.
fn claim(record: &mut JobRecord, version: u64) -> (JobRun, JobHolder) {
    let holder = record.claim(&own_host(), 1).unwrap();
    let job = VersionedJob {
        record: record.clone(),
        version: KvVersion(version),
    };
    (JobRun::new(job, holder.clone(), Instant::now()), holder)
}

/// Content of the segment `number`: lines that name their items.
fn segment_content(number: u64) -> Vec<u8> {
    let first = number * SEGMENT_ITEMS;
    let lines = (first..first + SEGMENT_ITEMS).map(|item| format!("line {item}\n"));
    lines.collect::<String>().into_bytes()
}

/// Begins to load the next segment; `None` if the run believes that it has all.
fn begin_load(state: &mut CoordinatorState) -> Option<SegmentLoad> {
    let run = state.runs.get_mut(&job_id()).unwrap();
    Some(SegmentLoad {
        number: run.begin_segment_load()?,
        record: run.record().clone(),
        epoch: run.claim().epoch,
    })
}

/// A job that this host lost to another one while it read a segment, and has claimed again since.
#[tokio::test(start_paused = true)]
async fn test_late_segment_of_a_former_claim_is_not_added() {
    let mut state = CoordinatorState::new(own_host());
    let mut record = open_job();
    let (run, _) = claim(&mut record, 1);
    state.insert_run(run);
    let first = begin_load(&mut state).unwrap();
    state.finish_load(&first, Some(&segment_content(0)));
    let late = begin_load(&mut state).unwrap();

    record.claim(&HostId::new("host-1"), 2).unwrap();
    state.runs.remove(&job_id());
    let (run, _) = claim(&mut record, 3);
    state.insert_run(run);
    let load = begin_load(&mut state).unwrap();
    state.finish_load(&late, Some(&segment_content(1)));
    state.finish_load(&load, Some(&segment_content(0)));
    if let Some(load) = begin_load(&mut state) {
        state.finish_load(&load, Some(&segment_content(1)));
    }

    let run = state.runs.get_mut(&job_id()).unwrap();
    let mut items = run.dispatch(&own_host(), 10);
    items.sort_by_key(|work| work.item);
    let named = |WorkItem { item, line }: WorkItem| (item, line);
    let expected = (0..2 * SEGMENT_ITEMS).map(|item| (item, format!("line {item}")));
    assert_eq!(
        items.into_iter().map(named).collect::<Vec<_>>(),
        expected.collect::<Vec<_>>()
    );
}

/// The answer to a write says that its claim is lost, which was known before; this host has claimed the job
/// again since.
#[tokio::test(start_paused = true)]
async fn test_late_loss_of_a_former_claim_leaves_the_next_run() {
    let mut state = CoordinatorState::new(own_host());
    let mut record = open_job();
    let (run, former) = claim(&mut record, 1);
    state.insert_run(run);
    state.abandon_run(&job_id(), former.epoch);
    record.claim(&HostId::new("host-1"), 2).unwrap();
    let (run, _) = claim(&mut record, 3);
    state.insert_run(run);

    state.abandon_run(&job_id(), former.epoch);
    let epoch = state.runs.get(&job_id()).map(|run| run.claim().epoch);
    assert_eq!(epoch, Some(3));
}

/// The answer to a write of a former claim shows the record from before this host has claimed the job again.
#[tokio::test(start_paused = true)]
async fn test_late_write_of_a_former_claim_leaves_the_next_run() {
    let mut state = CoordinatorState::new(own_host());
    let mut record = open_job();
    let (mut run, former) = claim(&mut record, 1);
    tokio::time::advance(HEARTBEAT_TIME).await;
    let write = run.begin_write(false, 0).unwrap();
    state.insert_run(run);
    state.abandon_run(&job_id(), former.epoch);
    record = write.next.clone();
    record.claim(&HostId::new("host-1"), 2).unwrap();
    let (run, _) = claim(&mut record, 4);
    state.insert_run(run);

    let written = VersionedJob {
        record: write.next,
        version: KvVersion(2),
    };
    state.finish_write(former.epoch, written, Instant::now());
    let run = state.runs.get(&job_id());
    assert_eq!(run.map(|run| run.record().epoch), Some(3));
}

/// The answer to a claim comes when another host, which has claimed the job after it, is known already.
#[tokio::test(start_paused = true)]
async fn test_late_claim_does_not_run_beside_a_newer_one() {
    let mut state = CoordinatorState::new(own_host());
    let mut record = open_job();
    let (run, _) = claim(&mut record, 1);
    record.claim(&HostId::new("host-1"), 2).unwrap();
    let newer = announcement_of(&record);
    state.open_jobs.insert(job_id(), KnownJob::new(newer));

    assert!(!state.insert_run(run));
    assert!(!state.runs.contains_key(&job_id()));
    let known = &state.open_jobs[&job_id()].announcement;
    assert_eq!(known.owner, Some(HostId::new("host-1")));
}

/// The answer to a submission comes when this host, which found its record, has claimed the job once more.
#[tokio::test(start_paused = true)]
async fn test_late_submission_does_not_replace_a_newer_run() {
    let mut state = CoordinatorState::new(own_host());
    let mut record = open_job();
    let (submitted, _) = claim(&mut record, 1);
    let (run, _) = claim(&mut record, 2);
    assert!(state.insert_run(run));

    assert!(!state.insert_run(submitted));
    assert_eq!(state.runs[&job_id()].claim().epoch, 2);
}

/// The answer to a claim comes when another host has told that the job has ended.
#[tokio::test(start_paused = true)]
async fn test_late_claim_of_an_ended_job_does_not_run() {
    let mut state = CoordinatorState::new(own_host());
    let mut record = open_job();
    let (run, _) = claim(&mut record, 1);
    state
        .final_record_hosts
        .insert(job_id(), HostId::new("host-1"));

    assert!(!state.insert_run(run));
    assert!(!state.open_jobs.contains_key(&job_id()));
}

/// An item whose lease has lapsed is dispatched to another host before the first one says that it could
/// not run it.
#[tokio::test(start_paused = true)]
async fn test_late_deferral_leaves_the_item_with_its_next_host() {
    let mut record = open_job();
    let (mut run, _) = claim(&mut record, 1);
    run.begin_segment_load();
    run.add_segment(&segment_content(0));
    let (first, second) = (HostId::new("host-1"), HostId::new("host-2"));
    assert_eq!(run.dispatch(&first, 1)[0].item, 0);
    run.reclaim_items(|_| false);
    assert_eq!(run.dispatch(&second, 1)[0].item, 0);

    let deferred = DispatchOutcome {
        item: 0,
        end: ItemEnd::Deferred { wait_ms: 0 },
    };
    run.apply_outcome(&first, deferred.clone());
    let next: Vec<u64> = run.dispatch(&first, 1).iter().map(|w| w.item).collect();
    assert_eq!(next, [1]);
    run.apply_outcome(&second, deferred);
    assert_eq!(run.dispatch(&first, 1)[0].item, 0);
}

/// The answer to a write that was made before the process stood still proves nothing of the time since.
#[tokio::test(start_paused = true)]
async fn test_answer_from_before_a_stall_verifies_nothing() {
    let mut record = open_job();
    let (mut run, _) = claim(&mut record, 1);
    tokio::time::advance(HEARTBEAT_TIME).await;
    let write = run.begin_write(false, 0).unwrap();
    let sent_at = Instant::now();
    tokio::time::advance(Duration::from_secs(5)).await;
    run.mark_unverified();
    run.finish_write(write.next, KvVersion(2), sent_at);
    assert!(!run.is_fresh());

    run.confirm_version(KvVersion(2), sent_at);
    assert!(!run.is_fresh());
    run.confirm_version(KvVersion(2), Instant::now());
    assert!(run.is_fresh());
}
