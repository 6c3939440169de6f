//! Compares the job ledger on the key-value service with a reference model in memory.
//!
//! Guards against results that are committed twice, lost or changed after they became visible.
//! Holders keep their own copy of the job and are never told that they have lost their claim, as
//! with a stalled process or a lapsed claim. Answers to writes get lost, writes take effect late,
//! and hosts crash.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use parsleywall::batch::BatchStore;
use parsleywall::batch::ItemSet;
use parsleywall::batch::JOB_FORMAT;
use parsleywall::batch::JobHolder;
use parsleywall::batch::JobRecord;
use parsleywall::batch::JobRequest;
use parsleywall::batch::JobState;
use parsleywall::batch::PackCommit;
use parsleywall::batch::PackRef;
use parsleywall::batch::RequestCounts;
use parsleywall::batch::SegmentRef;
use parsleywall::batch::VersionedJob;
use parsleywall::batch::WriteError;
use parsleywall::edges::engine::Endpoint;
use parsleywall::edges::kv::Expect;
use parsleywall::edges::kv::KvChanges;
use parsleywall::edges::kv::KvCommit;
use parsleywall::edges::kv::KvEntry;
use parsleywall::edges::kv::KvError;
use parsleywall::edges::kv::KvPage;
use parsleywall::edges::kv::KvStore;
use parsleywall::edges::kv::KvVersion;
use parsleywall::edges::kv::LeaseId;
use parsleywall::ids::FileId;
use parsleywall::ids::HostId;
use parsleywall::ids::JobId;
use parsleywall::ids::WorkspaceName;
use parsleywall_standins::kv::KvMemory;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use tokio::runtime::Runtime;

const HOLDERS: usize = 3;
const ITEMS: u64 = 8;

/// Fault of the key-value service during the writes of one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreFault {
    None,
    /// The first write takes effect, but its answer is lost.
    LostAnswer,
    /// Writes have no effect now, but may take effect in a later step.
    Delayed,
    /// The service is down.
    Down,
}

#[derive(Clone, Debug)]
enum Step {
    Claim(usize, StoreFault),
    Commit(usize, BTreeSet<u64>, StoreFault),
    Heartbeat(usize, StoreFault),
    Release(usize, StoreFault),
    Cancel(StoreFault),
    Crash(usize),
    ApplyDelayed,
}

/// Effect of a write in the reference model.
#[derive(Clone, Debug)]
enum Effect {
    Claim(usize, u64),
    Commit(BTreeSet<u64>),
    Heartbeat,
    Release,
    Cancel,
}

/// Reference model: one job in memory, changed by one step at a time.
#[derive(Clone, Debug)]
struct ReferenceJob {
    version: u64,
    state: JobState,
    epoch: u64,
    owner: Option<(usize, u64)>,
    /// Number of results of each item.
    results: BTreeMap<u64, u32>,
    packs: usize,
    /// Epoch of the claim that each holder assumes to have, and the version of its copy of the job.
    holder_copies: [Option<(u64, u64)>; HOLDERS],
    delayed_writes: Vec<(u64, Effect)>,
}

impl ReferenceJob {
    fn is_open(&self) -> bool {
        self.state == JobState::InProgress
    }

    /// Version of a holder's copy of the job; `None` if it has none.
    fn copy_version(&self, holder: usize) -> Option<u64> {
        self.holder_copies[holder].map(|(_, version)| version)
    }

    fn write(&mut self, version: u64, effect: Effect, fault: StoreFault) -> bool {
        match fault {
            StoreFault::Down => false,
            StoreFault::Delayed => {
                self.delayed_writes.push((version, effect));
                false
            }
            StoreFault::None | StoreFault::LostAnswer => self.apply_effect(version, effect),
        }
    }

    fn apply_effect(&mut self, version: u64, effect: Effect) -> bool {
        if version != self.version {
            return false;
        }
        self.version += 1;
        match effect {
            Effect::Claim(holder, epoch) => {
                self.epoch = epoch;
                self.owner = Some((holder, epoch));
            }
            Effect::Commit(items) => {
                for item in items {
                    *self.results.entry(item).or_default() += 1;
                }
                self.packs += 1;
                if self.results.len() as u64 == ITEMS {
                    self.state = JobState::Completed;
                    self.owner = None;
                }
            }
            Effect::Heartbeat => {}
            Effect::Release => self.owner = None,
            Effect::Cancel => {
                self.state = JobState::Cancelled;
                self.owner = None;
            }
        }
        true
    }
}

fn fault() -> impl Strategy<Value = StoreFault> {
    prop_oneof![
        6 => Just(StoreFault::None),
        3 => Just(StoreFault::LostAnswer),
        1 => Just(StoreFault::Delayed),
        1 => Just(StoreFault::Down),
    ]
}

impl ReferenceStateMachine for ReferenceJob {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self {
            version: 1,
            state: JobState::InProgress,
            epoch: 0,
            owner: None,
            results: BTreeMap::new(),
            packs: 0,
            holder_copies: [None; HOLDERS],
            delayed_writes: Vec::new(),
        })
        .boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let items = proptest::collection::btree_set(0..ITEMS, 1..4);
        prop_oneof![
            4 => (0..HOLDERS, fault()).prop_map(|(h, w)| Step::Claim(h, w)),
            8 => (0..HOLDERS, items, fault()).prop_map(|(h, i, w)| Step::Commit(h, i, w)),
            1 => (0..HOLDERS, fault()).prop_map(|(h, w)| Step::Heartbeat(h, w)),
            1 => (0..HOLDERS, fault()).prop_map(|(h, w)| Step::Release(h, w)),
            1 => fault().prop_map(Step::Cancel),
            1 => (0..HOLDERS).prop_map(Step::Crash),
            2 => Just(Step::ApplyDelayed),
        ]
        .boxed()
    }

    fn apply(mut state: Self, step: &Step) -> Self {
        match step {
            Step::Claim(holder, fault) if state.is_open() && *fault != StoreFault::Down => {
                let epoch = state.epoch + 1;
                if state.write(state.version, Effect::Claim(*holder, epoch), *fault) {
                    state.holder_copies[*holder] = Some((epoch, state.version));
                }
            }
            Step::Commit(holder, items, fault) => {
                let fresh = items.iter().all(|item| !state.results.contains_key(item));
                // A copy that is older than the record may allow what the record does not.
                if let Some(version) = state.copy_version(*holder)
                    && (fresh || version != state.version)
                {
                    let effect = Effect::Commit(items.clone());
                    write_as_holder(&mut state, *holder, version, effect, *fault);
                }
            }
            Step::Heartbeat(holder, fault) => {
                if let Some(version) = state.copy_version(*holder) {
                    write_as_holder(&mut state, *holder, version, Effect::Heartbeat, *fault);
                }
            }
            Step::Release(holder, fault) => {
                if let Some(version) = state.copy_version(*holder) {
                    write_as_holder(&mut state, *holder, version, Effect::Release, *fault);
                    if state.copy_version(*holder) == Some(state.version) && state.owner.is_none() {
                        state.holder_copies[*holder] = None;
                    }
                }
            }
            Step::Cancel(fault) if state.is_open() && *fault != StoreFault::Down => {
                state.write(state.version, Effect::Cancel, *fault);
            }
            Step::Crash(holder) => state.holder_copies[*holder] = None,
            Step::ApplyDelayed => {
                for (version, effect) in std::mem::take(&mut state.delayed_writes) {
                    state.apply_effect(version, effect);
                }
            }
            Step::Claim(..) | Step::Cancel(_) => {}
        }
        state
    }
}

fn write_as_holder(
    state: &mut ReferenceJob,
    holder: usize,
    version: u64,
    effect: Effect,
    fault: StoreFault,
) {
    let epoch = state.holder_copies[holder].map(|(epoch, _)| epoch);
    if state.write(version, effect, fault) {
        let version = state.version;
        state.holder_copies[holder] = epoch.map(|epoch| (epoch, version));
    }
}

/// A store in memory that can delay writes.
struct DelayedKv {
    memory: Arc<KvMemory>,
    is_delaying: AtomicBool,
    delayed_writes: Mutex<Vec<(String, Bytes, Expect)>>,
}

#[async_trait]
impl KvStore for DelayedKv {
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
        if self.is_delaying.load(Ordering::Relaxed) {
            let write = (key.to_owned(), value, expect);
            self.delayed_writes.lock().unwrap().push(write);
            return Err(KvError::Unknown("late".to_owned()));
        }
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

/// The real ledger, with the copies of its holders.
struct LedgerUnderTest {
    runtime: Runtime,
    kv: Arc<DelayedKv>,
    store: BatchStore,
    copies: [Option<(VersionedJob, JobHolder)>; HOLDERS],
    visible: Vec<PackRef>,
}

impl LedgerUnderTest {
    fn new() -> Self {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let kv = Arc::new(DelayedKv {
            memory: KvMemory::new(),
            is_delaying: AtomicBool::new(false),
            delayed_writes: Mutex::default(),
        });
        let store = BatchStore::new(kv.clone());
        runtime.block_on(store.create_job(&record())).unwrap();
        Self {
            runtime,
            kv,
            store,
            copies: [None, None, None],
            visible: Vec::new(),
        }
    }

    fn read(&self) -> VersionedJob {
        let record = record();
        let job = self.store.job(&record.workspace, &record.id);
        self.runtime.block_on(job).unwrap().unwrap()
    }

    fn write(&self, job: &VersionedJob, fault: StoreFault) -> Result<KvVersion, WriteError> {
        let kv_faults = &self.kv.memory.faults;
        match fault {
            StoreFault::None => {}
            StoreFault::LostAnswer => kv_faults.lose_answers.store(1, Ordering::Relaxed),
            StoreFault::Delayed => self.kv.is_delaying.store(true, Ordering::Relaxed),
            StoreFault::Down => kv_faults.down.store(true, Ordering::Relaxed),
        }
        let write = self.store.replace_job(&job.record, job.version);
        let outcome = self.runtime.block_on(write);
        kv_faults.lose_answers.store(0, Ordering::Relaxed);
        kv_faults.down.store(false, Ordering::Relaxed);
        self.kv.is_delaying.store(false, Ordering::Relaxed);
        outcome
    }

    fn claim(&mut self, holder: usize, fault: StoreFault) {
        let mut job = self.read();
        let host = HostId::new(format!("host-{holder}"));
        let Ok(claim) = job.record.claim(&host, holder as u64) else {
            return;
        };
        if let Ok(version) = self.write(&job, fault) {
            job.version = version;
            self.copies[holder] = Some((job, claim));
        }
    }

    fn change(
        &mut self,
        holder: usize,
        fault: StoreFault,
        change: impl FnOnce(&mut JobRecord, &JobHolder) -> bool,
    ) {
        let Some((mut job, claim)) = self.copies[holder].clone() else {
            return;
        };
        if !change(&mut job.record, &claim) {
            return;
        }
        if let Ok(version) = self.write(&job, fault) {
            job.version = version;
            self.copies[holder] = Some((job, claim));
        }
    }

    fn cancel(&mut self, fault: StoreFault) {
        let mut job = self.read();
        if job.record.cancel(0).is_ok() {
            let _ = self.write(&job, fault);
        }
    }

    fn apply_delayed_writes(&mut self) {
        let delayed_writes = std::mem::take(&mut *self.kv.delayed_writes.lock().unwrap());
        for (key, value, expect) in delayed_writes {
            let put = self.kv.memory.put(&key, value, expect, None);
            let _ = self.runtime.block_on(put);
        }
    }
}

impl StateMachineTest for LedgerUnderTest {
    type SystemUnderTest = Self;
    type Reference = ReferenceJob;

    fn init_test(_: &ReferenceJob) -> Self {
        Self::new()
    }

    fn apply(mut ledger: Self, _: &ReferenceJob, step: Step) -> Self {
        match step {
            Step::Claim(holder, fault) => ledger.claim(holder, fault),
            Step::Commit(holder, items, fault) => {
                ledger.change(holder, fault, |record, claim| {
                    let commit = commit(record, claim, &items);
                    record.commit(claim, &commit, 0).is_ok()
                });
            }
            Step::Heartbeat(holder, fault) => ledger.change(holder, fault, |record, claim| {
                record.heartbeat(claim, BTreeMap::new()).is_ok()
            }),
            Step::Release(holder, fault) => {
                ledger.change(holder, fault, |record, claim| record.release(claim).is_ok());
                let released = |(job, _): &(VersionedJob, JobHolder)| job.record.claim.is_none();
                if ledger.copies[holder].as_ref().is_some_and(released) {
                    ledger.copies[holder] = None;
                }
            }
            Step::Cancel(fault) => ledger.cancel(fault),
            Step::Crash(holder) => ledger.copies[holder] = None,
            Step::ApplyDelayed => ledger.apply_delayed_writes(),
        }
        let packs = ledger.read().record.packs;
        assert!(
            packs.starts_with(&ledger.visible),
            "visible results changed"
        );
        ledger.visible = packs;
        ledger
    }

    fn check_invariants(ledger: &Self, reference: &ReferenceJob) {
        let record = ledger.read().record;
        assert_eq!(record.state, reference.state);
        let done: Vec<u64> = (0..ITEMS)
            .filter(|item| record.done.contains(*item))
            .collect();
        let expected: Vec<u64> = reference.results.keys().copied().collect();
        assert_eq!(done, expected, "items with a result");
        assert!(
            reference.results.values().all(|count| *count == 1),
            "doubled"
        );
        assert_eq!(record.counts.completed, expected.len() as u64);
        assert_eq!(record.packs.len(), reference.packs);
        let names: BTreeSet<_> = record.packs.iter().map(|p| (p.epoch, p.number)).collect();
        assert_eq!(names.len(), record.packs.len(), "two packs share a key");
        let owner = record
            .claim
            .map(|claim| (claim.session as usize, claim.epoch));
        assert_eq!(owner, reference.owner);
    }
}

fn commit(record: &JobRecord, claim: &JobHolder, items: &BTreeSet<u64>) -> PackCommit {
    PackCommit {
        pack: PackRef {
            epoch: claim.epoch,
            number: record.writes as u32,
            items: items.len() as u32,
            first: *items.first().unwrap(),
            last: *items.last().unwrap(),
        },
        completed: items.iter().copied().collect(),
        failed: Vec::new(),
        output_bytes: 0,
        error_bytes: 0,
    }
}

fn record() -> JobRecord {
    JobRecord {
        format: JOB_FORMAT,
        id: JobId::new("batch_1"),
        workspace: WorkspaceName::new("desk"),
        request: JobRequest {
            input_file_id: FileId::new("file_1"),
            endpoint: Endpoint::Chat,
            completion_window: "24h".to_owned(),
            metadata: BTreeMap::new(),
        },
        fingerprint: String::new(),
        created_ms: 0,
        expires_ms: 0,
        open_ms: 0,
        ended_ms: None,
        state: JobState::InProgress,
        claim: None,
        epoch: 0,
        writes: 0,
        segments: vec![SegmentRef {
            items: ITEMS,
            bytes: 0,
        }],
        inline_input: false,
        counts: RequestCounts {
            total: ITEMS,
            ..RequestCounts::default()
        },
        output_bytes: 0,
        error_bytes: 0,
        done: ItemSet::new(),
        packs: Vec::new(),
        attempts: BTreeMap::new(),
        faults: Vec::new(),
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        rng_algorithm: RngAlgorithm::ChaCha,
        .. Config::default()
    })]

    #[test]
    fn test_batch_ledger_against_reference(sequential 1..60 => LedgerUnderTest);
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        .. Config::default()
    })]

    #[test]
    fn test_batch_ledger_item_set(items in proptest::collection::vec(0..40u64, 0..60)) {
        let mut set = ItemSet::new();
        let mut reference = BTreeSet::new();
        for item in items {
            prop_assert_eq!(set.insert(item), reference.insert(item));
            prop_assert_eq!(set.len(), reference.len() as u64);
        }
        for item in 0..41 {
            prop_assert_eq!(set.contains(item), reference.contains(&item));
            let covered = (item..item + 3).all(|item| reference.contains(&item));
            prop_assert_eq!(set.covers(item..item + 3), covered);
        }
    }
}

/// A job in the format of another release can't be read and must not be overwritten.
#[test]
fn test_batch_ledger_unknown_format() {
    let ledger = LedgerUnderTest::new();
    let mut newer = record();
    newer.format = JOB_FORMAT + 1;
    let version = ledger.read().version;
    let write = ledger.store.replace_job(&newer, version);
    let version = ledger.runtime.block_on(write).unwrap();
    let read = ledger.store.job(&newer.workspace, &newer.id);
    let error = ledger.runtime.block_on(read).unwrap_err();
    assert_eq!(
        error,
        parsleywall::batch::BatchError::Format(JOB_FORMAT + 1)
    );
    let key = format!("jobs/{}/{}", newer.workspace, newer.id);
    let stored = ledger.runtime.block_on(ledger.kv.memory.get(&key)).unwrap();
    assert_eq!(
        stored.unwrap().version,
        version,
        "the record was overwritten"
    );
}
