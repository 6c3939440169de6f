//! The batch jobs of one host: taking them in, ending them, and the tasks that work on them.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::collections::HashMap;
use crate::edges::kv::KvError;
use crate::edges::kv::LeaseId;
use crate::event_log::EventLog;
use crate::events::LogEvent;
use crate::jobs::book::JobTable;
use crate::jobs::message::JobCall;
use crate::jobs::message::JobPeerClient;
use crate::jobs::message::JobReply;
use crate::jobs::news::OwnershipAnnouncer;
use crate::jobs::owner::CachedOwner;
use crate::jobs::owner::OrphanTracker;
use crate::jobs::read::ResultCache;
use crate::jobs::running::RunningItems;
use crate::jobs::spec::JobSpec;
use crate::jobs::store::JobOwner;
use crate::jobs::store::JobStore;
use crate::registry::HostEntry;
use crate::registry::HostRegistry;
use crate::relay::RequestRelay;
use crate::routes::RouteTable;

/// Outcome of a job all of whose items are listed.
pub(super) const FINISHED: &str = "finished";
/// Tries to store a job whose first try had no answer.
const CREATE_TRIES: usize = 3;
const CREATE_PAUSE: Duration = Duration::from_millis(120);
const END_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest wait for stopped items when the host leaves.
const STOP_TIME: Duration = Duration::from_millis(200);
const STOP_TICK: Duration = Duration::from_millis(5);
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(800);
/// Hosts that a job is offered to.
const HAND_OVER_TRIES: usize = 3;
/// Tries to tell a job's owner of its end, once the end is stored.
const END_TRIES: usize = 8;
const END_PAUSE: Duration = Duration::from_millis(300);

/// Bounds of a host's batch work.
#[derive(Clone, Copy, Debug)]
pub struct JobConfig {
    /// Bytes of items that the host keeps in memory.
    pub memory_bytes: usize,
    /// Time between two looks at all open jobs.
    pub scan_interval: Duration,
    /// Time after its closing for which a job's results stay.
    pub keep_time: Duration,
    /// Time between two looks for closed jobs that need not be kept.
    pub sweep_interval: Duration,
}

impl Default for JobConfig {
    fn default() -> Self {
        Self {
            memory_bytes: 64 * 1024 * 1024,
            scan_interval: Duration::from_millis(1_500),
            keep_time: Duration::from_secs(300),
            sweep_interval: Duration::from_secs(60),
        }
    }
}

/// What became of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored and will be run.
    Accepted,
    /// The job is not stored; no part of it runs.
    Refused {
        /// Why.
        reason: &'static str,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// The job may be stored.
    Unknown,
}

/// What became of the end of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndOutcome {
    /// The job is ended.
    Ended,
    /// There is no such job.
    NoSuchJob,
    /// The job may go on.
    Unknown,
}

/// Batch jobs of one host. Clones share them.
#[derive(Clone)]
pub struct JobKeeper {
    pub(super) shared: Arc<JobShared>,
}

pub(super) struct JobShared {
    pub(super) store: JobStore,
    pub(super) relay: RequestRelay,
    pub(super) routes: watch::Receiver<Arc<RouteTable>>,
    pub(super) registry: HostRegistry,
    pub(super) peers: Arc<dyn JobPeerClient>,
    pub(super) log: EventLog,
    pub(super) plan: JobConfig,
    pub(super) owner: JobOwner,
    pub(super) book: Mutex<JobTable>,
    pub(super) running: RunningItems,
    pub(super) settled: ResultCache,
    pub(super) watch: Mutex<OrphanTracker>,
    /// Owners of other hosts' jobs, as far as known.
    pub(super) owners: Mutex<HashMap<String, CachedOwner>>,
    pub(super) news: OwnershipAnnouncer,
    pub(super) listed: Notify,
    pub(super) work: Notify,
    pub(super) is_leaving: CancellationToken,
}

impl JobKeeper {
    /// Returns a keeper for the process `incarnation` of `host`.
    pub fn new(
        store: JobStore,
        relay: RequestRelay,
        routes: watch::Receiver<Arc<RouteTable>>,
        registry: HostRegistry,
        peers: Arc<dyn JobPeerClient>,
        log: EventLog,
        host: String,
        incarnation: u64,
        plan: JobConfig,
    ) -> Self {
        let shared = JobShared {
            store,
            relay,
            routes,
            registry,
            peers,
            log,
            plan,
            owner: JobOwner { host, incarnation },
            book: Mutex::default(),
            running: RunningItems::default(),
            settled: ResultCache::default(),
            watch: Mutex::default(),
            owners: Mutex::default(),
            news: OwnershipAnnouncer::default(),
            listed: Notify::new(),
            work: Notify::new(),
            is_leaving: CancellationToken::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Works on jobs until `stop`.
    pub async fn run(&self, stop: CancellationToken) {
        let work = async {
            tokio::join!(
                self.run_items(),
                self.run_commits(),
                self.run_scans(),
                self.run_sweeps()
            );
        };
        tokio::select! {
            () = work => {}
            () = stop.cancelled() => {}
        }
        self.shared.running.stop_all();
    }

    /// Number of items that wait or run here.
    pub fn open_items(&self) -> usize {
        self.with_book(|book| book.open_items())
    }

    /// Number of items that wait, and of those that run.
    pub fn item_counts(&self) -> (usize, usize) {
        self.with_book(|book| {
            let running = book.running_items();
            (book.open_items() - running, running)
        })
    }

    /// Jobs that this host has begun to own lately, for its load reports.
    pub fn announced_jobs(&self) -> Vec<String> {
        self.shared.news.told()
    }

    /// Takes in that `host` has begun to own `jobs`.
    pub fn record_owner(&self, host: &str, jobs: &[String]) {
        for job in jobs {
            self.set_owner(job, Some(host.to_owned()));
        }
    }

    /// Stores `spec` as a new job of this host. A job that is stored already is accepted again.
    pub async fn submit(&self, spec: JobSpec) -> SubmitOutcome {
        let size: usize = spec.items.iter().map(|item| item.body.len()).sum();
        let stored = self.with_book(|book| book.stored_bytes());
        if stored + size > self.shared.plan.memory_bytes {
            return self.refused(&spec, "memory", Duration::from_secs(1));
        }
        let spec = Arc::new(spec);
        let mut was_unknown = false;
        for _ in 0..CREATE_TRIES {
            let lease = self.lease_for_new();
            let created = self.shared.store.create(&spec, &self.shared.owner, lease);
            match created.await {
                Ok(claim) => {
                    self.log_job(&spec.id, "accepted", spec.items.len(), 0);
                    self.shared.news.add(&spec.id);
                    self.with_book(|book| book.insert(spec, claim, Vec::new(), 0));
                    self.shared.work.notify_one();
                    return SubmitOutcome::Accepted;
                }
                Err(KvError::Conflict { .. }) => {
                    self.log_job(&spec.id, "accepted_before", spec.items.len(), 0);
                    if was_unknown {
                        // This host's own try may be the one that took effect.
                        self.adopt(&spec.id).await;
                    }
                    return SubmitOutcome::Accepted;
                }
                Err(KvError::LeaseLost) => {
                    if let Some(lease) = lease {
                        self.shared.registry.note_lease_lost(lease);
                    }
                }
                Err(KvError::TooLarge) => {
                    return self.refused(&spec, "too_large", Duration::from_secs(10));
                }
                Err(KvError::Unavailable(_)) if !was_unknown => {
                    tokio::time::sleep(CREATE_PAUSE).await;
                }
                Err(KvError::Unavailable(_) | KvError::Unknown(_)) => {
                    was_unknown = true;
                    tokio::time::sleep(CREATE_PAUSE).await;
                }
            }
        }
        if was_unknown {
            self.log_job(&spec.id, "outcome_unknown", spec.items.len(), 0);
            return SubmitOutcome::Unknown;
        }
        self.refused(&spec, "key_value_service", Duration::from_millis(700))
    }

    /// A host that leaves stores jobs without an owner, so that another one claims them.
    fn lease_for_new(&self) -> Option<LeaseId> {
        match self.shared.is_leaving.is_cancelled() {
            true => None,
            false => self.shared.registry.lease(),
        }
    }

    fn refused(
        &self,
        spec: &JobSpec,
        reason: &'static str,
        retry_after: Duration,
    ) -> SubmitOutcome {
        let outcome = format!("refused: {reason}");
        self.log_job(&spec.id, &outcome, spec.items.len(), 0);
        SubmitOutcome::Refused {
            reason,
            retry_after,
        }
    }

    /// Ends `job` for good: nothing of it is sent to an upstream from then on.
    pub async fn end(&self, job: &str) -> EndOutcome {
        if self.with_book(|book| book.owns(job)) {
            return self.end_own(job).await;
        }
        let host = self.find_owner(job).await;
        if let Some(host) = &host
            && self.tell_end(host, job).await
        {
            return EndOutcome::Ended;
        }
        let outcome = match self.shared.store.load(job).await {
            Ok(None) => return EndOutcome::NoSuchJob,
            Ok(Some(stored)) if stored.is_ended => EndOutcome::Ended,
            Ok(Some(_)) => self.end_stored(job).await,
            Err(_) => EndOutcome::Unknown,
        };
        if let Some(host) = host {
            let keeper = self.clone();
            let job = job.to_owned();
            tokio::spawn(async move { keeper.keep_telling_end(&host, &job).await });
        }
        outcome
    }

    /// Tells the owner of a job until it knows of the end.
    async fn keep_telling_end(&self, host: &HostEntry, job: &str) {
        for _ in 0..END_TRIES {
            if self.tell_end(host, job).await {
                return;
            }
            tokio::time::sleep(END_PAUSE).await;
        }
    }

    /// Has the owner end its job. Returns whether it has.
    async fn tell_end(&self, host: &HostEntry, job: &str) -> bool {
        let call = JobCall::End {
            job: job.to_owned(),
        };
        let reply = self.shared.peers.call(host, call, END_TIMEOUT).await;
        matches!(reply, Ok(JobReply::Ended))
    }

    /// Ends a job of this host.
    pub(super) async fn end_own(&self, job: &str) -> EndOutcome {
        // Items stop first: an end whose answer is lost holds all the same.
        self.with_book(|book| book.stop(job));
        self.shared.running.stop_job(job);
        let outcome = self.end_stored(job).await;
        if outcome == EndOutcome::Ended {
            self.drop_job(job, "ended");
        }
        outcome
    }

    async fn end_stored(&self, job: &str) -> EndOutcome {
        for _ in 0..CREATE_TRIES {
            match self.shared.store.end(job).await {
                Ok(()) => return EndOutcome::Ended,
                Err(_) => tokio::time::sleep(CREATE_PAUSE).await,
            }
        }
        EndOutcome::Unknown
    }

    /// Forgets a job that this host owned; its listed results stay readable.
    pub(super) fn drop_job(&self, job: &str, outcome: &str) {
        self.shared.running.stop_job(job);
        let (items, listed) = self.with_book(|book| book.counts(job)).unwrap_or_default();
        if outcome == FINISHED
            && let Some(page) = self.with_book(|book| book.page_all(job))
        {
            self.shared.settled.insert(job, page);
        }
        if self.with_book(|book| book.remove(job)) {
            self.log_job(job, outcome, items, listed);
        }
        self.shared.listed.notify_waiters();
    }

    /// Stops all work and hands the jobs over to other hosts, with what their items have
    /// produced. Jobs that no host takes are claimed after their scans.
    pub async fn leave(&self) {
        self.shared.is_leaving.cancel();
        self.shared.running.stop_all();
        self.wait_for_items().await;
        self.list_all_finished().await;
        let claims = self.with_book(|book| book.claims());
        let jobs: Vec<String> = claims.into_iter().map(|(id, _)| id).collect();
        if self.shared.store.release(&jobs).await.is_ok() {
            let handed = jobs.iter().map(|job| self.hand_over(job));
            futures_util::future::join_all(handed).await;
        }
        for job in &jobs {
            self.drop_job(job, "given_away");
        }
    }

    /// Waits for a moment until stopped items have given back what they have.
    async fn wait_for_items(&self) {
        let until = Instant::now() + STOP_TIME;
        while self.with_book(|book| book.running_items()) > 0 && Instant::now() < until {
            tokio::time::sleep(STOP_TICK).await;
        }
    }

    /// Offers `job` to other hosts, the first in the order of claims first.
    async fn hand_over(&self, job: &str) {
        let progress = self.with_book(|book| book.carries(job));
        for host in self.successors(job).iter().take(HAND_OVER_TRIES) {
            let call = JobCall::HandOver {
                job: job.to_owned(),
                progress: progress.clone(),
            };
            let reply = self.shared.peers.call(host, call, HAND_OVER_TIMEOUT).await;
            if let Ok(JobReply::Taken) = reply {
                self.set_owner(job, Some(host.host.clone()));
                return;
            }
        }
    }

    /// Answers another host's call.
    pub async fn answer(&self, call: JobCall) -> JobReply {
        match call {
            JobCall::Read {
                job,
                after,
                wait_ms,
            } => {
                let until = Instant::now() + Duration::from_millis(wait_ms);
                match self.read_own(&job, after, until).await {
                    Some(page) => JobReply::Page(page),
                    None => JobReply::NotOwner,
                }
            }
            JobCall::Body { job, item } => match self.with_book(|book| book.spec(&job)) {
                Some(spec) => match spec.items.iter().find(|known| known.id == item) {
                    Some(item) => JobReply::Body(item.body.clone()),
                    None => JobReply::NoSuchItem,
                },
                None => JobReply::NotOwner,
            },
            JobCall::HandOver { job, progress } => match self.take_over(&job, progress).await {
                true => JobReply::Taken,
                false => JobReply::NotOwner,
            },
            JobCall::End { job } => {
                if !self.with_book(|book| book.owns(&job)) {
                    return JobReply::NotOwner;
                }
                match self.end_own(&job).await {
                    EndOutcome::Ended => JobReply::Ended,
                    EndOutcome::NoSuchJob | EndOutcome::Unknown => JobReply::Unsure,
                }
            }
        }
    }

    pub(super) fn with_book<T>(&self, act: impl FnOnce(&mut JobTable) -> T) -> T {
        act(&mut self.shared.book.lock().expect("job book lock"))
    }

    pub(super) fn log_job(&self, job: &str, outcome: &str, items: usize, listed: usize) {
        self.shared.log.write(LogEvent::Job {
            job: job.to_owned(),
            outcome: outcome.to_owned(),
            items,
            listed,
        });
    }
}
