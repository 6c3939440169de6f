//! State of the batch slice on one host, shared by its loops, its peers and its callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::batch::ledger::JobHolder;
use crate::batch::ledger::JobRecord;
use crate::batch::message::BatchReply;
use crate::batch::message::BatchRequest;
use crate::batch::message::DispatchOutcome;
use crate::batch::message::ItemEnd;
use crate::batch::message::JobAnnouncement;
use crate::batch::message::WorkItem;
use crate::batch::message::WorkReport;
use crate::batch::run::JobRun;
use crate::batch::shares::ShareClock;
use crate::batch::store::BatchStore;
use crate::batch::store::VersionedJob;
use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::counters::CounterEvent;
use crate::counters::CounterSet;
use crate::decisions::DecisionKind;
use crate::decisions::DecisionRing;
use crate::edges::kv::KvVersion;
use crate::ids::HostId;
use crate::ids::JobId;
use crate::ids::WorkspaceName;
use crate::inference::InferenceRunner;
use crate::membership::Membership;
use crate::peers::PeerClient;
use crate::terms::ActiveTerms;

const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);
/// Uncommitted results of all jobs in bytes, above which no more items are handed out.
const MAX_UNCOMMITTED_BYTES: usize = 32 * 1024 * 1024;
/// Ended jobs whose records are kept in memory.
const MAX_ENDED: usize = 256;

/// An open job as this host knows it.
pub(crate) struct KnownJob {
    pub(crate) notice: JobAnnouncement,
    /// Until when the owner is not asked for items, as it had none.
    pub(crate) dry_until: Option<Instant>,
    pub(crate) dry_pause: Duration,
    /// Version that the record had when it was last looked at, and since when.
    pub(crate) observed: Option<(KvVersion, Instant)>,
}

impl KnownJob {
    pub(crate) fn new(notice: JobAnnouncement) -> Self {
        Self {
            notice,
            dry_until: None,
            dry_pause: Duration::ZERO,
            observed: None,
        }
    }
}

/// Items of one job that this host runs.
pub(crate) struct HeldWork {
    pub(crate) cancel: CancellationToken,
    pub(crate) items: HashSet<u64>,
    pub(crate) outbox: Vec<DispatchOutcome>,
    pub(crate) reported: Instant,
    /// When the owner last took a report, or the work began.
    pub(crate) accepted: Instant,
}

impl HeldWork {
    pub(crate) fn new() -> Self {
        let now = Instant::now();
        Self {
            cancel: CancellationToken::new(),
            items: HashSet::default(),
            outbox: Vec::new(),
            reported: now,
            accepted: now,
        }
    }
}

pub(crate) struct CoordinatorState {
    /// Name of this host.
    pub(crate) host: HostId,
    pub(crate) runs: HashMap<JobId, JobRun>,
    pub(crate) open: HashMap<JobId, KnownJob>,
    pub(crate) held: HashMap<JobId, HeldWork>,
    pub(crate) ended: HashMap<JobId, JobRecord>,
    /// Host that saw the end of a job that has ended lately.
    pub(crate) ended_at: HashMap<JobId, HostId>,
    pub(crate) paused: HashMap<WorkspaceName, Instant>,
    pub(crate) shares: ShareClock,
}

impl CoordinatorState {
    fn new(host: HostId) -> Self {
        Self {
            host,
            runs: HashMap::default(),
            open: HashMap::default(),
            held: HashMap::default(),
            ended: HashMap::default(),
            ended_at: HashMap::default(),
            paused: HashMap::default(),
            shares: ShareClock::default(),
        }
    }
}

/// What the batch slice needs of the other slices.
pub struct BatchDependencies {
    /// Name of this host.
    pub host: HostId,
    /// Where files and jobs are kept.
    pub store: BatchStore,
    /// The only way to the engines.
    pub runner: Arc<InferenceRunner>,
    /// Terms in force.
    pub terms: Arc<ActiveTerms>,
    /// Live hosts.
    pub membership: Arc<Membership>,
    /// Links to them.
    pub peers: PeerClient,
    /// Counters of this host.
    pub counters: Arc<CounterSet>,
    /// Decisions of this host.
    pub decisions: Arc<DecisionRing>,
}

/// The batch slice of one host.
pub struct BatchCoordinator {
    pub(crate) parts: BatchDependencies,
    /// Random number of this process.
    pub(crate) session: u64,
    pub(crate) draining: AtomicBool,
    /// Items in the hands of the runner.
    pub(crate) in_flight: AtomicUsize,
    /// Those of them whose answer has begun.
    pub(crate) started: AtomicUsize,
    pub(crate) wake: Notify,
    /// Wakes the tracker when an owner has given a job up.
    pub(crate) released: Notify,
    state: Mutex<CoordinatorState>,
}

impl BatchCoordinator {
    /// Returns a desk without any job.
    pub fn new(parts: BatchDependencies) -> Arc<Self> {
        let state = CoordinatorState::new(parts.host.clone());
        Arc::new(Self {
            parts,
            session: rand::random(),
            draining: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            started: AtomicUsize::new(0),
            wake: Notify::new(),
            released: Notify::new(),
            state: Mutex::new(state),
        })
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, CoordinatorState> {
        self.state.lock().expect("batch desk lock")
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    pub(crate) fn is_own(&self, host: Option<&HostId>) -> bool {
        host == Some(&self.parts.host)
    }

    /// Whether this process wrote `claim`.
    pub(crate) fn holds(&self, claim: Option<&JobHolder>) -> bool {
        claim.is_some_and(|claim| claim.host == self.parts.host && claim.session == self.session)
    }

    /// Peer address of a live host.
    pub(crate) fn peer_address(&self, host: &HostId) -> Option<SocketAddr> {
        let view = self.parts.membership.view();
        let peer = view.hosts.iter().find(|peer| peer.id == *host)?;
        Some(peer.peer_address)
    }

    /// Answers a call of another host.
    pub(crate) fn answer(self: &Arc<Self>, from: &HostId, request: BatchRequest) -> BatchReply {
        match request {
            BatchRequest::Open(notice) => self.note_open(notice),
            BatchRequest::Ended { job } => {
                self.lock().ended_at.insert(job.clone(), from.clone());
                self.forget(&job);
            }
            BatchRequest::Take { job, max } => return self.hand_out(from, &job, max as usize),
            BatchRequest::Report(report) => return self.take_report(from, report),
            BatchRequest::Read { job } => return self.read_own(&job),
        }
        BatchReply::Taken
    }

    /// Calls another host.
    pub(crate) async fn call(
        &self,
        host: &HostId,
        request: BatchRequest,
        timeout: Duration,
    ) -> Option<BatchReply> {
        let address = self.peer_address(host)?;
        self.parts.peers.call(address, request, timeout).await.ok()
    }

    /// Tells all other hosts; those that miss it learn of it by their own means.
    pub(crate) fn broadcast(&self, request: &BatchRequest) {
        let view = self.parts.membership.view();
        let others = view.hosts.iter().filter(|host| host.id != self.parts.host);
        for host in others {
            let peers = self.parts.peers.clone();
            let address = host.peer_address;
            let request = request.clone();
            tokio::spawn(async move {
                let _ = peers.call(address, request, NOTICE_TIMEOUT).await;
            });
        }
    }

    /// Begins to run a job whose claim this process has just written.
    pub(crate) fn start_run(
        self: &Arc<Self>,
        job: VersionedJob,
        claim: JobHolder,
        content: Option<&[u8]>,
    ) {
        let id = job.record.id.clone();
        let mut run = JobRun::new(job, claim);
        if let Some(content) = content
            && run.begin_segment().is_some()
        {
            run.add_segment(content);
        }
        let notice = run.notice();
        let detail = format!("claimed with epoch {}", notice.epoch);
        let mut state = self.lock();
        state.runs.insert(id.clone(), run);
        state.open.insert(id.clone(), KnownJob::new(notice.clone()));
        drop(state);
        self.parts.counters.event(CounterEvent::SegmentClaimed);
        self.parts
            .decisions
            .record(DecisionKind::Batch, &[id.as_str()], detail);
        self.broadcast(&BatchRequest::Open(notice));
        self.wake.notify_one();
    }

    /// Takes note of a job's end, tells all hosts and keeps its record for readers.
    pub(crate) fn end_job(self: &Arc<Self>, record: &JobRecord) {
        let detail = format!(
            "{} with {} answers and {} errors",
            record.state, record.counts.completed, record.counts.failed
        );
        self.parts
            .decisions
            .record(DecisionKind::Batch, &[record.id.as_str()], detail);
        self.remember(record);
        self.forget(&record.id);
        self.broadcast(&BatchRequest::Ended {
            job: record.id.clone(),
        });
    }

    /// Keeps the record of an ended job in memory.
    pub(crate) fn remember(&self, record: &JobRecord) {
        let mut state = self.lock();
        if state.ended.len() >= MAX_ENDED {
            state.ended.clear();
        }
        if state.ended_at.len() >= MAX_ENDED {
            state.ended_at.clear();
        }
        state.ended.insert(record.id.clone(), record.clone());
    }

    /// Stops all work on a job on this host.
    pub(crate) fn forget(&self, job: &JobId) {
        let mut state = self.lock();
        state.runs.remove(job);
        state.open.remove(job);
        if let Some(held) = state.held.remove(job) {
            held.cancel.cancel();
        }
    }

    /// Takes note of an open job and its owner.
    pub(crate) fn note_open(&self, notice: JobAnnouncement) {
        let mut state = self.lock();
        let job = notice.job.clone();
        if state.ended.contains_key(&job) {
            return;
        }
        let known = state.open.get(&job);
        if known.is_some_and(|known| known.notice.epoch > notice.epoch) {
            return;
        }
        let own_run = state.runs.get(&job);
        if own_run.is_some_and(|run| run.claim().epoch < notice.epoch) {
            // Another host has the claim: what is left here goes to it as reports.
            Self::give_up_run(&mut state, &job);
            self.parts.counters.event(CounterEvent::CommitFenced);
        }
        let is_released = notice.owner.is_none();
        state.open.insert(job, KnownJob::new(notice));
        drop(state);
        if is_released {
            self.released.notify_one();
        }
        self.wake.notify_one();
    }

    /// Drops a run whose claim is lost; its uncommitted results are reported to the new owner.
    pub(crate) fn give_up_run(state: &mut CoordinatorState, job: &JobId) {
        let Some(run) = state.runs.remove(job) else {
            return;
        };
        let outcomes = run.into_outcomes();
        if !outcomes.is_empty() {
            let held = state.held.entry(job.clone()).or_insert_with(HeldWork::new);
            held.outbox.extend(outcomes);
        }
    }

    /// Whether uncommitted results leave room for more.
    pub(crate) fn has_room(state: &CoordinatorState) -> bool {
        let bytes: usize = state.runs.values().map(JobRun::uncommitted_bytes).sum();
        bytes < MAX_UNCOMMITTED_BYTES
    }

    /// Hands out items of an own job.
    pub(crate) fn take_own(
        self: &Arc<Self>,
        host: &HostId,
        job: &JobId,
        max: usize,
    ) -> Vec<WorkItem> {
        let mut state = self.lock();
        if !Self::has_room(&state) {
            return Vec::new();
        }
        let Some(run) = state.runs.get_mut(job) else {
            return Vec::new();
        };
        let items = run.take(host, max);
        let segment = run
            .begin_segment()
            .map(|number| (number, run.record().clone()));
        drop(state);
        if let Some((number, record)) = segment {
            tokio::spawn(self.clone().load_segment(record, number));
        }
        items
    }

    async fn load_segment(self: Arc<Self>, record: JobRecord, number: u32) {
        let content = self.parts.store.segment(&record, number).await;
        if content.is_err() {
            tokio::time::sleep(NOTICE_TIMEOUT).await;
        }
        if let Some(run) = self.lock().runs.get_mut(&record.id) {
            match content {
                Ok(content) => run.add_segment(&content),
                Err(_) => run.give_up_segment(),
            }
        }
        self.wake.notify_one();
    }

    fn hand_out(self: &Arc<Self>, from: &HostId, job: &JobId, max: usize) -> BatchReply {
        if !self.lock().runs.contains_key(job) {
            return match self.lock().ended.contains_key(job) {
                true => BatchReply::Ended,
                false => BatchReply::NotOwner,
            };
        }
        match self.is_draining() {
            true => BatchReply::Items(Vec::new()),
            false => BatchReply::Items(self.take_own(from, job, max)),
        }
    }

    fn take_report(&self, from: &HostId, report: WorkReport) -> BatchReply {
        let mut state = self.lock();
        if state.ended.contains_key(&report.job) {
            return BatchReply::Ended;
        }
        let Some(run) = state.runs.get_mut(&report.job) else {
            return BatchReply::NotOwner;
        };
        for outcome in report.outcomes {
            run.settle(outcome);
        }
        run.note_running(from, &report.running);
        drop(state);
        self.wake.notify_one();
        BatchReply::Taken
    }

    fn read_own(&self, job: &JobId) -> BatchReply {
        match self.own_record(job) {
            Some(record) => BatchReply::Record(Box::new(record)),
            None => BatchReply::NotOwner,
        }
    }

    /// The record of a job that this host owns or has seen end.
    pub(crate) fn own_record(&self, job: &JobId) -> Option<JobRecord> {
        let state = self.lock();
        if let Some(record) = state.ended.get(job) {
            return Some(record.clone());
        }
        let run = state.runs.get(job).filter(|run| run.is_fresh())?;
        Some(run.record().clone())
    }

    /// Takes the outcome of an item that ran on this host.
    pub(crate) fn settle(&self, job: &JobId, outcome: DispatchOutcome) {
        let mut state = self.lock();
        let state = &mut *state;
        let Some(held) = state.held.get_mut(job) else {
            return;
        };
        held.items.remove(&outcome.item);
        match state.runs.get_mut(job) {
            Some(run) => run.settle(outcome),
            None => held.outbox.push(outcome),
        }
    }

    /// Keeps this host from running items of a workspace for a while.
    pub(crate) fn pause_workspace(&self, workspace: &WorkspaceName, wait: Duration) {
        let until = Instant::now() + wait;
        self.lock().paused.insert(workspace.clone(), until);
    }
}

impl DispatchOutcome {
    pub(crate) fn result(item: u64, failed: bool, line: String) -> Self {
        Self {
            item,
            end: ItemEnd::Result { failed, line },
        }
    }
}

impl BatchCoordinator {
    /// Runs all loops of the slice until `stop`.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        tokio::join!(
            self.work(&stop),
            self.report(&stop),
            self.commit(&stop),
            self.track(&stop),
            self.watch_cancels(&stop),
            self.sweep(&stop),
        );
    }
}
