//! Model check of the results of one job at two hosts: writes, their answers, reads, claims and deletions of
//! the owner key in any order, against a list of numbered segments.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use proptest::prelude::*;
use tokio::time::Instant;

use crate::edges::kv::KvVersion;
use crate::jobs::progress::ItemProgress;
use crate::jobs::segments::ResultSegment;
use crate::jobs::spec::JobItem;
use crate::jobs::spec::JobResult;
use crate::jobs::spec::JobSpec;
use crate::jobs::store::JobClaim;
use crate::jobs::table::ItemOutcome;
use crate::jobs::table::JobTable;
use crate::jobs::table::RouteHead;
use crate::jobs::table::SegmentWrite;

const HOSTS: usize = 2;
const ITEMS: usize = 6;
const JOB: &str = "j1";
/// Step of the clock after which any delay of a commit is over.
const LONG_STEP: Duration = Duration::from_secs(10);

/// One step of a play; indices are taken modulo what there is.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A host finishes a run of an item.
    Finish(usize, usize),
    /// A host begins to write what is due.
    Write(usize),
    /// The store executes a write that is on its way.
    Execute(usize),
    /// The answer to an executed write arrives.
    Answer(usize),
    /// A host gives up waiting for an answer; the write may be executed all the same.
    GiveUp(usize),
    /// A host reads the job's segments.
    Read(usize),
    /// What a host has read arrives.
    Arrive(usize),
    /// The owner key is deleted.
    DeleteOwner,
    /// A host claims the job if it has no owner.
    Claim(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..HOSTS, 0..ITEMS).prop_map(|(host, item)| Step::Finish(host, item)),
        3 => (0..HOSTS).prop_map(Step::Write),
        3 => any::<usize>().prop_map(Step::Execute),
        3 => any::<usize>().prop_map(Step::Answer),
        1 => any::<usize>().prop_map(Step::GiveUp),
        2 => (0..HOSTS).prop_map(Step::Read),
        3 => any::<usize>().prop_map(Step::Arrive),
        1 => Just(Step::DeleteOwner),
        2 => (0..HOSTS).prop_map(Step::Claim),
    ]
}

/// The store's state of the job.
#[derive(Debug)]
struct StoreModel {
    revision: u64,
    segments: Vec<ResultSegment>,
    is_open: bool,
    owner: Option<KvVersion>,
}

impl StoreModel {
    fn next_version(&mut self) -> KvVersion {
        self.revision += 1;
        KvVersion(self.revision)
    }

    /// Executes a write if its conditions hold.
    fn execute(&mut self, write: &SegmentWrite) -> Option<KvVersion> {
        let previous = self.segments.last().map(|segment| segment.version);
        let is_next = write.number == self.segments.len() && write.previous == previous;
        if !self.is_open || !is_next || write.claim.owner_version != self.owner {
            return None;
        }
        let version = self.next_version();
        if !write.results.is_empty() {
            self.segments.push(ResultSegment {
                number: write.number,
                version,
                results: write.results.clone(),
            });
        }
        if write.is_last {
            self.is_open = false;
            self.owner = None;
        }
        Some(version)
    }

    fn listed(&self) -> Vec<JobResult> {
        let segments = self.segments.iter();
        segments
            .flat_map(|segment| segment.results.clone())
            .collect()
    }
}

/// What a host has read, with the claim that it read for.
#[derive(Debug)]
struct PendingRead {
    host: usize,
    segments: Vec<ResultSegment>,
    claim: Option<JobClaim>,
}

/// A write that is on its way, and its outcome once the store has executed it.
#[derive(Debug)]
struct PendingWrite {
    host: usize,
    write: SegmentWrite,
    outcome: Option<Option<KvVersion>>,
    is_awaited: bool,
}

#[derive(Debug)]
struct Play {
    store: StoreModel,
    tables: Vec<JobTable>,
    spec: Arc<JobSpec>,
    reads: Vec<PendingRead>,
    writes: Vec<PendingWrite>,
    now: Instant,
}

impl Play {
    fn new() -> Self {
        let items = (0..ITEMS).map(|number| JobItem {
            id: format!("item-{number}"),
            target: "/ask".to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        });
        let spec = JobSpec {
            id: JOB.to_owned(),
            host: "h".to_owned(),
            submitted_ms: 0,
            due_ms: u64::MAX,
            retention_ms: u64::MAX,
            attempts: 1,
            version: 1,
            workspace: None,
            items: items.collect(),
        };
        Self {
            store: StoreModel {
                revision: 1,
                segments: Vec::new(),
                is_open: true,
                owner: None,
            },
            tables: (0..HOSTS).map(|_| JobTable::default()).collect(),
            spec: Arc::new(spec),
            reads: Vec::new(),
            writes: Vec::new(),
            now: Instant::now(),
        }
    }

    fn apply(&mut self, step: Step) {
        self.now += LONG_STEP;
        match step {
            Step::Finish(host, item) => self.finish(host, item),
            Step::Write(host) => {
                let due = self.tables[host].take_due_segments(self.now, 0);
                self.writes
                    .extend(due.into_iter().map(|write| PendingWrite {
                        host,
                        write,
                        outcome: None,
                        is_awaited: true,
                    }));
            }
            Step::Execute(index) if !self.writes.is_empty() => {
                let index = index % self.writes.len();
                let pending = &mut self.writes[index];
                if pending.outcome.is_none() {
                    pending.outcome = Some(self.store.execute(&pending.write));
                }
            }
            Step::Answer(index) if !self.writes.is_empty() => {
                let index = index % self.writes.len();
                if self.writes[index].outcome.is_some() {
                    let pending = self.writes.swap_remove(index);
                    self.answer(pending);
                }
            }
            Step::GiveUp(index) if !self.writes.is_empty() => {
                let index = index % self.writes.len();
                let pending = &mut self.writes[index];
                if std::mem::take(&mut pending.is_awaited) {
                    let (host, write) = (pending.host, pending.write.clone());
                    self.tables[host].segment_failed(&write, self.now);
                }
            }
            Step::Read(host) => self.read(host, None),
            Step::Arrive(index) if !self.reads.is_empty() => {
                let index = index % self.reads.len();
                let read = self.reads.swap_remove(index);
                self.arrive(read);
            }
            Step::DeleteOwner => self.store.owner = None,
            Step::Claim(host) if self.store.is_open && self.store.owner.is_none() => {
                let version = self.store.next_version();
                self.store.owner = Some(version);
                let claim = JobClaim {
                    open_version: KvVersion(1),
                    owner_version: Some(version),
                    lease: None,
                };
                self.read(host, Some(claim));
            }
            _ => {}
        }
    }

    fn finish(&mut self, host: usize, index: usize) {
        let head = RouteHead {
            route: None,
            spec: self.spec.clone(),
            index,
            urgency: crate::balancer::ItemUrgency {
                is_late: false,
                slack: Duration::ZERO,
            },
            software: None,
        };
        let table = &mut self.tables[host];
        if table.begin_run(&head, self.now).is_some() {
            let progress = ItemProgress {
                text: format!("of host {host} at {:?}", self.store.revision).into_bytes(),
                ..ItemProgress::default()
            };
            table.finish_run(JOB, index, ItemOutcome::Done(progress), self.now, 0);
        }
    }

    fn answer(&mut self, pending: PendingWrite) {
        let table = &mut self.tables[pending.host];
        match pending.outcome.flatten() {
            _ if !pending.is_awaited => {}
            Some(version) => {
                table.segment_written(&pending.write, version, self.now);
                if pending.write.is_last {
                    table.remove(JOB);
                }
            }
            None => table.segment_failed(&pending.write, self.now),
        }
    }

    fn read(&mut self, host: usize, claim: Option<JobClaim>) {
        self.reads.push(PendingRead {
            host,
            segments: self.store.segments.clone(),
            claim,
        });
    }

    fn arrive(&mut self, read: PendingRead) {
        let table = &mut self.tables[read.host];
        match read.claim {
            Some(claim) => table.insert(self.spec.clone(), claim, read.segments, self.now),
            None => table.apply_segments(JOB, read.segments, self.now),
        }
    }

    fn check(&self) {
        let listed = self.store.listed();
        let ids: BTreeSet<&str> = listed.iter().map(|result| result.id.as_str()).collect();
        assert_eq!(ids.len(), listed.len(), "an item stands at two positions");
        for table in &self.tables {
            if let Some(page) = table.page(JOB, 0) {
                assert!(
                    listed.starts_with(&page.results),
                    "a reader sees other results"
                );
            }
        }
        let is_full = listed.len() == ITEMS;
        assert_eq!(
            self.store.is_open, !is_full,
            "full, or closed with items missing"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        ..ProptestConfig::default()
    })]

    /// Guards against items at two positions, positions that change and jobs that never close, in whichever
    /// order writes, answers, reads and claims follow one another.
    #[test]
    fn test_positions_hold_in_any_order_of_writes_answers_and_reads(
        steps in proptest::collection::vec(step(), 1..160),
    ) {
        let mut play = Play::new();
        for step in steps {
            play.apply(step);
            play.check();
        }
    }
}

/// A job whose results were all written without closing it is closed by the host that loads it.
#[test]
fn test_full_job_that_is_open_is_closed_by_its_owner() {
    let mut play = Play::new();
    let all: Vec<JobResult> = play.spec.items.iter().map(done).collect();
    let version = play.store.next_version();
    play.store.segments.push(ResultSegment {
        number: 0,
        version,
        results: all,
    });
    for step in [
        Step::Claim(0),
        Step::Arrive(0),
        Step::Write(0),
        Step::Execute(0),
    ] {
        play.apply(step);
    }
    assert!(!play.store.is_open);
    assert_eq!(play.store.listed().len(), ITEMS);
}

/// Results that an earlier release wrote twice have one position, and don't make a job complete.
#[test]
fn test_repeated_results_count_once() {
    let mut play = Play::new();
    let first: Vec<JobResult> = play.spec.items[..3].iter().map(done).collect();
    for number in 0..2 {
        let version = play.store.next_version();
        play.store.segments.push(ResultSegment {
            number,
            version,
            results: first.clone(),
        });
    }
    play.apply(Step::Claim(0));
    play.apply(Step::Arrive(0));
    let table = &mut play.tables[0];
    assert_eq!(table.page(JOB, 0).unwrap().results, first);
    assert_eq!(table.repeated_results(JOB), 3);
    assert!(!table.is_complete(JOB));
    assert_eq!(table.open_item_count(), 3);
}

/// An item that was selected before its job was held or marked as ending does not begin after that.
#[test]
fn test_item_selected_before_a_hold_or_an_end_does_not_begin_after_it() {
    let mut begun = Vec::new();
    for name in ["hold", "end"] {
        let mut play = Play::new();
        play.apply(Step::Claim(0));
        play.apply(Step::Arrive(0));
        let table = &mut play.tables[0];
        let heads = table.route_heads(&Default::default(), play.now, 0);
        match name {
            "hold" => assert!(table.hold_claimed_before(JOB, KvVersion(u64::MAX))),
            _ => table.mark_ending(JOB),
        }
        if table.begin_run(&heads[0], play.now).is_some() {
            begun.push(name);
        }
    }
    assert!(begun.is_empty(), "begun after {begun:?}");
}

fn done(item: &JobItem) -> JobResult {
    JobResult {
        id: item.id.clone(),
        state: crate::jobs::spec::ResultState::Done,
        output: Bytes::new(),
    }
}
