//! Batch state of one host, shared by the background loops, peer requests and caller requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
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
use crate::batch::retention::RetentionCounter;
use crate::batch::run::JobRun;
use crate::batch::store::BatchStore;
use crate::batch::store::VersionedJob;
use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::counters::CounterEvent;
use crate::counters::CounterSet;
use crate::decisions::DecisionKind;
use crate::decisions::DecisionRing;
use crate::edges::kv::KvVersion;
use crate::fairness::VirtualClock;
use crate::ids::HostId;
use crate::ids::JobId;
use crate::ids::WorkspaceName;
use crate::inference::InferenceRunner;
use crate::membership::Membership;
use crate::peers::PeerClient;
use crate::revision_ages::RevisionAges;
use crate::terms::ActiveTerms;

/// Timeout of one announcement to one host, and the wait after a failed segment load.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of uncommitted results, over all jobs of this host, from which on it dispatches no more
/// items.
const MAX_UNCOMMITTED_BYTES: usize = 32 * 1024 * 1024;
/// Most ended jobs whose records are cached; a full cache is cleared.
const MAX_ENDED_JOBS: usize = 256;
/// Least time between two revisions of the store that are remembered, for the ages of markers.
const REVISION_STEP: Duration = Duration::from_secs(60);
/// Ages of markers above this need not be told apart.
const MAX_MARKER_AGE: Duration = Duration::from_secs(2 * 3600);

/// A job that has not ended, as last announced to this host or read by it.
pub(crate) struct KnownJob {
    pub(crate) announcement: JobAnnouncement,
    /// When the owner may be asked for items again, after it had none to dispatch.
    pub(crate) backoff_until: Option<Instant>,
    /// Current backoff between requests for items; doubles with each empty reply.
    pub(crate) take_backoff: Duration,
    /// Version at the last check of the claim, and when that version was first seen. A claim whose
    /// record keeps its version for too long has lapsed.
    pub(crate) observed_version: Option<(KvVersion, Instant)>,
}

impl KnownJob {
    pub(crate) fn new(announcement: JobAnnouncement) -> Self {
        Self {
            announcement,
            backoff_until: None,
            take_backoff: Duration::ZERO,
            observed_version: None,
        }
    }
}

/// Items of one job that this host has taken from the owner and runs.
pub(crate) struct AssignedItems {
    /// Stops all of the job's items on this host.
    pub(crate) cancel: CancellationToken,
    /// Numbers of the items that have not ended yet.
    pub(crate) items: HashSet<u64>,
    /// Outcomes that the owner has not accepted yet.
    pub(crate) unreported: Vec<DispatchOutcome>,
    /// When the last report was sent.
    pub(crate) reported_at: Instant,
    /// When the owner last accepted a report; before that, when the first items were taken.
    pub(crate) accepted_at: Instant,
}

impl AssignedItems {
    pub(crate) fn new() -> Self {
        let now = Instant::now();
        Self {
            cancel: CancellationToken::new(),
            items: HashSet::default(),
            unreported: Vec::new(),
            reported_at: now,
            accepted_at: now,
        }
    }
}

pub(crate) struct CoordinatorState {
    /// Name of this host.
    pub(crate) host: HostId,
    /// Jobs that this host owns.
    pub(crate) runs: HashMap<JobId, JobRun>,
    /// All jobs that have not ended, including those that other hosts own.
    pub(crate) open_jobs: HashMap<JobId, KnownJob>,
    /// Items that this host runs, by job.
    pub(crate) assigned: HashMap<JobId, AssignedItems>,
    /// Final records of jobs that ended lately, cached for readers.
    pub(crate) ended_jobs: HashMap<JobId, JobRecord>,
    /// Host that announced the end of a job, and has its final record cached.
    pub(crate) final_record_hosts: HashMap<JobId, HostId>,
    /// When this host takes items of a workspace again that was over its cap.
    pub(crate) paused_until: HashMap<WorkspaceName, Instant>,
    pub(crate) virtual_clock: VirtualClock<WorkspaceName>,
}

impl CoordinatorState {
    pub(crate) fn new(host: HostId) -> Self {
        Self {
            host,
            runs: HashMap::default(),
            open_jobs: HashMap::default(),
            assigned: HashMap::default(),
            ended_jobs: HashMap::default(),
            final_record_hosts: HashMap::default(),
            paused_until: HashMap::default(),
            virtual_clock: VirtualClock::default(),
        }
    }

    /// Adds the run of a job whose claim this process has written, unless a newer claim is known or the job
    /// has ended: the answer to the claim may have come late. Returns whether it was added.
    pub(crate) fn insert_run(&mut self, run: JobRun) -> bool {
        let id = run.record().id.clone();
        let epoch = run.claim().epoch;
        let newest = self
            .open_jobs
            .get(&id)
            .map(|known| known.announcement.epoch);
        if self.has_ended(&id) || newest.is_some_and(|newest| newest > epoch) {
            return false;
        }
        let known = KnownJob::new(run.announcement());
        self.runs.insert(id.clone(), run);
        self.open_jobs.insert(id, known);
        true
    }

    /// Whether the job is known to have ended.
    pub(crate) fn has_ended(&self, job: &JobId) -> bool {
        self.ended_jobs.contains_key(job) || self.final_record_hosts.contains_key(job)
    }

    /// Whether `announcement` tells nothing new: a later state of the job was announced before it.
    pub(crate) fn is_overtaken(&self, announcement: &JobAnnouncement) -> bool {
        if self.has_ended(&announcement.job) {
            return true;
        }
        // A claim that was released is not taken up again under its epoch.
        let state = |job: &JobAnnouncement| (job.epoch, job.owner.is_none());
        let known = self.open_jobs.get(&announcement.job);
        known.is_some_and(|known| state(&known.announcement) > state(announcement))
    }

    /// The run of the claim with `epoch` on `job`, if this host still has it. An answer to a call that one
    /// run has made doesn't concern a later run of the same job.
    pub(crate) fn run_of(&mut self, job: &JobId, epoch: u64) -> Option<&mut JobRun> {
        let run = self.runs.get_mut(job);
        run.filter(|run| run.claim().epoch == epoch)
    }

    /// Applies the answer to a write of the run with `epoch`: `job` is what is stored since, as a call
    /// that was sent at `sent_at` shows it.
    pub(crate) fn finish_write(&mut self, epoch: u64, job: VersionedJob, sent_at: Instant) {
        let id = job.record.id.clone();
        let Some(run) = self.run_of(&id, epoch) else {
            return;
        };
        let holds_claim = job.record.claim.as_ref() == Some(run.claim());
        run.finish_write(job.record, job.version, sent_at);
        if !holds_claim {
            self.abandon_run(&id, epoch);
        }
    }

    /// Drops the run of the claim with `epoch`, which is lost, if this host still has it. Its uncommitted
    /// results are queued as reports to the new owner.
    pub(crate) fn abandon_run(&mut self, job: &JobId, epoch: u64) {
        if self.run_of(job, epoch).is_none() {
            return;
        }
        let Some(run) = self.runs.remove(job) else {
            return;
        };
        let outcomes = run.into_uncommitted_outcomes();
        if !outcomes.is_empty() {
            let assigned = self
                .assigned
                .entry(job.clone())
                .or_insert_with(AssignedItems::new);
            assigned.unreported.extend(outcomes);
        }
    }

    /// Applies the answer to `load`; `None` if it failed.
    pub(crate) fn finish_load(&mut self, load: &SegmentLoad, content: Option<&[u8]>) {
        let Some(run) = self.run_of(&load.record.id, load.epoch) else {
            return;
        };
        match content {
            Some(content) => run.add_segment(content),
            None => run.abandon_segment_load(),
        }
    }
}

/// A read of one segment of a job's input, for the run of one claim.
pub(crate) struct SegmentLoad {
    pub(crate) record: JobRecord,
    pub(crate) epoch: u64,
    pub(crate) number: u32,
}

/// Components of the host that batch processing uses.
pub struct BatchDependencies {
    /// Name of this host.
    pub host: HostId,
    /// Storage of files, jobs and results.
    pub store: BatchStore,
    /// Runs the items; every inference request, interactive or batch, goes through it.
    pub runner: Arc<InferenceRunner>,
    /// Terms in force; they hold the workspaces and their shares.
    pub terms: Arc<ActiveTerms>,
    /// Live hosts with their peer addresses; decides which host takes over a job.
    pub membership: Arc<Membership>,
    /// Client for requests to other hosts.
    pub peers: PeerClient,
    /// Event and retry counters of this host.
    pub counters: Arc<CounterSet>,
    /// Ring of recent decisions, for operators.
    pub decisions: Arc<DecisionRing>,
}

/// Runs the batch jobs of one host: dispatches items of jobs that it owns, runs items of any job,
/// commits results and takes over jobs whose owner is gone.
pub struct BatchCoordinator {
    pub(crate) dependencies: BatchDependencies,
    /// Random number of this process; tells its claims from those of an earlier incarnation.
    pub(crate) session: u64,
    pub(crate) draining: AtomicBool,
    /// Items that the runner has accepted and not finished, including those that wait for
    /// admission.
    pub(crate) in_flight_items: AtomicUsize,
    /// In-flight items whose answer has begun.
    pub(crate) answering_items: AtomicUsize,
    /// Wakes the worker loop: items may have become available, or capacity for them.
    pub(crate) worker_wakeup: Notify,
    /// Wakes the tracker loop when an owner has released a job.
    pub(crate) tracker_wakeup: Notify,
    state: Mutex<CoordinatorState>,
    revisions: Mutex<RevisionAges>,
    /// Revision of the store at the first listing of this process.
    first_revision: OnceLock<KvVersion>,
    pub(crate) retention: tokio::sync::Mutex<RetentionCounter>,
}

impl BatchCoordinator {
    /// Returns a coordinator that knows no jobs; [`Self::run`] finds them.
    pub fn new(dependencies: BatchDependencies) -> Arc<Self> {
        let state = CoordinatorState::new(dependencies.host.clone());
        Arc::new(Self {
            dependencies,
            session: rand::random(),
            draining: AtomicBool::new(false),
            in_flight_items: AtomicUsize::new(0),
            answering_items: AtomicUsize::new(0),
            worker_wakeup: Notify::new(),
            tracker_wakeup: Notify::new(),
            state: Mutex::new(state),
            revisions: Mutex::new(RevisionAges::new(REVISION_STEP, MAX_MARKER_AGE)),
            first_revision: OnceLock::new(),
            retention: tokio::sync::Mutex::default(),
        })
    }

    fn revisions(&self) -> MutexGuard<'_, RevisionAges> {
        self.revisions.lock().expect("revision ages lock")
    }

    /// Records that a listing has just had `revision`.
    pub(crate) fn note_revision(&self, revision: KvVersion) {
        self.first_revision.get_or_init(|| revision);
        self.revisions().record(revision, Instant::now());
    }

    /// Whether what was last written at `version` is at least `age` old, as far as this host has seen.
    pub(crate) fn is_older_than(&self, version: KvVersion, age: Duration) -> bool {
        let now = Instant::now();
        self.revisions().is_older_than(version, age, now)
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, CoordinatorState> {
        self.state.lock().expect("batch coordinator lock")
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    pub(crate) fn is_own_host(&self, host: Option<&HostId>) -> bool {
        host == Some(&self.dependencies.host)
    }

    /// Whether this process wrote `claim`. A claim of an earlier process on the same host is not
    /// its own.
    pub(crate) fn holds_claim(&self, claim: Option<&JobHolder>) -> bool {
        claim.is_some_and(|claim| {
            claim.host == self.dependencies.host && claim.session == self.session
        })
    }

    /// Whether the claim on `job` may be that of an earlier process under this host's name: nothing was
    /// written to the job since this process runs. A later claim under the name is that of another process
    /// that may live.
    pub(crate) fn is_claimed_by_predecessor(&self, job: &VersionedJob) -> bool {
        let claim = job.record.claim.as_ref();
        let is_own_name = claim.is_some_and(|claim| claim.host == self.dependencies.host);
        let first = self.first_revision.get();
        is_own_name && !self.holds_claim(claim) && first.is_some_and(|first| job.version <= *first)
    }

    /// Peer address of `host`, or `None` if it is not in the membership view.
    pub(crate) fn peer_address(&self, host: &HostId) -> Option<SocketAddr> {
        let view = self.dependencies.membership.view();
        let peer = view.hosts.iter().find(|peer| peer.id == *host)?;
        Some(peer.peer_address)
    }

    /// Handles a request of the host `from`.
    pub(crate) fn handle_request(
        self: &Arc<Self>,
        from: &HostId,
        request: BatchRequest,
    ) -> BatchReply {
        match request {
            BatchRequest::Open(announcement) => self.record_open_job(announcement),
            BatchRequest::Ended { job } => {
                self.lock()
                    .final_record_hosts
                    .insert(job.clone(), from.clone());
                self.drop_job(&job);
            }
            BatchRequest::Take { job, max } => return self.dispatch(from, &job, max as usize),
            BatchRequest::Report(report) => return self.apply_report(from, report),
            BatchRequest::Read { job } => return self.read_own_job(&job),
        }
        BatchReply::Taken
    }

    /// Sends a request to another host. Returns `None` if the host is not live or doesn't reply
    /// within `timeout`.
    pub(crate) async fn call(
        &self,
        host: &HostId,
        request: BatchRequest,
        timeout: Duration,
    ) -> Option<BatchReply> {
        let address = self.peer_address(host)?;
        self.dependencies
            .peers
            .call(address, request, timeout)
            .await
            .ok()
    }

    /// Announces `request` to all other hosts, without retries. A host that misses it finds the
    /// change in the key-value service: the tracker lists open jobs, and owners notice lost claims
    /// when they write.
    pub(crate) fn broadcast(&self, request: &BatchRequest) {
        let view = self.dependencies.membership.view();
        let others = view
            .hosts
            .iter()
            .filter(|host| host.id != self.dependencies.host);
        for host in others {
            let peers = self.dependencies.peers.clone();
            let address = host.peer_address;
            let request = request.clone();
            tokio::spawn(async move {
                let _ = peers.call(address, request, ANNOUNCEMENT_TIMEOUT).await;
            });
        }
    }

    /// Starts a job whose claim this process has written by a call that was sent at `sent_at`, and
    /// announces the claim.
    ///
    /// `content` is the first segment of the input, if the caller already has it in memory.
    pub(crate) fn start_run(
        self: &Arc<Self>,
        job: VersionedJob,
        claim: JobHolder,
        sent_at: Instant,
        content: Option<&[u8]>,
    ) {
        let id = job.record.id.clone();
        let mut run = JobRun::new(job, claim, sent_at);
        if let Some(content) = content
            && run.begin_segment_load().is_some()
        {
            run.add_segment(content);
        }
        let announcement = run.announcement();
        let detail = format!("claimed with epoch {}", announcement.epoch);
        if !self.lock().insert_run(run) {
            return;
        }
        self.dependencies
            .counters
            .event(CounterEvent::SegmentClaimed);
        self.dependencies
            .decisions
            .record(DecisionKind::Batch, &[id.as_str()], detail);
        self.broadcast(&BatchRequest::Open(announcement));
        self.worker_wakeup.notify_one();
    }

    /// Drops a job that has ended, announces its end to all hosts and caches its final record.
    pub(crate) fn finish_job(self: &Arc<Self>, record: &JobRecord) {
        let detail = format!(
            "{} with {} answers and {} errors",
            record.state, record.counts.completed, record.counts.failed
        );
        self.dependencies
            .decisions
            .record(DecisionKind::Batch, &[record.id.as_str()], detail);
        self.cache_ended_job(record);
        self.drop_job(&record.id);
        self.broadcast(&BatchRequest::Ended {
            job: record.id.clone(),
        });
    }

    /// Caches the final record of an ended job.
    pub(crate) fn cache_ended_job(&self, record: &JobRecord) {
        let mut state = self.lock();
        if state.ended_jobs.len() >= MAX_ENDED_JOBS {
            state.ended_jobs.clear();
        }
        if state.final_record_hosts.len() >= MAX_ENDED_JOBS {
            state.final_record_hosts.clear();
        }
        state.ended_jobs.insert(record.id.clone(), record.clone());
    }

    /// Drops a job's run and cancels its items on this host.
    pub(crate) fn drop_job(&self, job: &JobId) {
        let mut state = self.lock();
        state.runs.remove(job);
        state.open_jobs.remove(job);
        if let Some(assigned) = state.assigned.remove(job) {
            assigned.cancel.cancel();
        }
    }

    /// Records an open job and its owner, unless a later state of the job is known.
    pub(crate) fn record_open_job(&self, announcement: JobAnnouncement) {
        let mut state = self.lock();
        let job = announcement.job.clone();
        if state.is_overtaken(&announcement) {
            return;
        }
        let own_run = state.runs.get(&job);
        if let Some(run) = own_run.filter(|run| run.claim().epoch < announcement.epoch) {
            // Another host holds a newer claim; it gets the uncommitted results as reports.
            let epoch = run.claim().epoch;
            state.abandon_run(&job, epoch);
            self.dependencies.counters.event(CounterEvent::CommitFenced);
        }
        let is_released = announcement.owner.is_none();
        state.open_jobs.insert(job, KnownJob::new(announcement));
        drop(state);
        if is_released {
            self.tracker_wakeup.notify_one();
        }
        self.worker_wakeup.notify_one();
    }

    /// Whether the uncommitted results of all own jobs are below [`MAX_UNCOMMITTED_BYTES`].
    pub(crate) fn may_buffer_results(state: &CoordinatorState) -> bool {
        let bytes: usize = state.runs.values().map(JobRun::uncommitted_bytes).sum();
        bytes < MAX_UNCOMMITTED_BYTES
    }

    /// Dispatches up to `max` items of an own job to `host`, and starts to load the next segment if
    /// few are left.
    pub(crate) fn dispatch_own_items(
        self: &Arc<Self>,
        host: &HostId,
        job: &JobId,
        max: usize,
    ) -> Vec<WorkItem> {
        let mut state = self.lock();
        if !Self::may_buffer_results(&state) {
            return Vec::new();
        }
        let Some(run) = state.runs.get_mut(job) else {
            return Vec::new();
        };
        let items = run.dispatch(host, max);
        let load = run.begin_segment_load().map(|number| SegmentLoad {
            record: run.record().clone(),
            epoch: run.claim().epoch,
            number,
        });
        drop(state);
        if let Some(load) = load {
            tokio::spawn(self.clone().load_segment(load));
        }
        items
    }

    async fn load_segment(self: Arc<Self>, load: SegmentLoad) {
        let store = &self.dependencies.store;
        let content = store.segment(&load.record, load.number).await;
        if content.is_err() {
            tokio::time::sleep(ANNOUNCEMENT_TIMEOUT).await;
        }
        self.lock().finish_load(&load, content.ok().as_deref());
        self.worker_wakeup.notify_one();
    }

    fn dispatch(self: &Arc<Self>, from: &HostId, job: &JobId, max: usize) -> BatchReply {
        if !self.lock().runs.contains_key(job) {
            return match self.lock().ended_jobs.contains_key(job) {
                true => BatchReply::Ended,
                false => BatchReply::NotOwner,
            };
        }
        match self.is_draining() {
            true => BatchReply::Items(Vec::new()),
            false => BatchReply::Items(self.dispatch_own_items(from, job, max)),
        }
    }

    fn apply_report(&self, from: &HostId, report: WorkReport) -> BatchReply {
        let mut state = self.lock();
        if state.ended_jobs.contains_key(&report.job) {
            return BatchReply::Ended;
        }
        let Some(run) = state.runs.get_mut(&report.job) else {
            return BatchReply::NotOwner;
        };
        for outcome in report.outcomes {
            run.apply_outcome(from, outcome);
        }
        run.renew_leases(from, &report.running);
        drop(state);
        self.worker_wakeup.notify_one();
        BatchReply::Taken
    }

    fn read_own_job(&self, job: &JobId) -> BatchReply {
        match self.local_record(job) {
            Some(record) => BatchReply::Record(Box::new(record)),
            None => BatchReply::NotOwner,
        }
    }

    /// Record of a job from memory: the final one if it is cached, or that of an own run. `None` if
    /// this host has neither, or if the record was not verified lately.
    pub(crate) fn local_record(&self, job: &JobId) -> Option<JobRecord> {
        let state = self.lock();
        if let Some(record) = state.ended_jobs.get(job) {
            return Some(record.clone());
        }
        let run = state.runs.get(job).filter(|run| run.is_fresh())?;
        Some(run.record().clone())
    }

    /// Applies the outcome of an item that ran on this host, or queues it for the job's owner.
    pub(crate) fn apply_outcome(&self, job: &JobId, outcome: DispatchOutcome) {
        let mut state = self.lock();
        let state = &mut *state;
        let Some(assigned) = state.assigned.get_mut(job) else {
            return;
        };
        assigned.items.remove(&outcome.item);
        match state.runs.get_mut(job) {
            Some(run) => run.apply_outcome(&state.host, outcome),
            None => assigned.unreported.push(outcome),
        }
    }

    /// Keeps this host from taking items of a workspace for `wait`.
    pub(crate) fn pause_workspace(&self, workspace: &WorkspaceName, wait: Duration) {
        let until = Instant::now() + wait;
        self.lock().paused_until.insert(workspace.clone(), until);
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
    /// Runs all background loops until `stop`.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        tokio::join!(
            self.run_worker(&stop),
            self.run_reporter(&stop),
            self.run_committer(&stop),
            self.run_tracker(&stop),
            self.watch_cancels(&stop),
            self.run_sweeper(&stop),
        );
    }
}
