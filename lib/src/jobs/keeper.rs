//! Manager of a host's batch jobs: accepts, ends and hands over jobs, and runs their background
//! tasks.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::balancer::AcquiredJob;
use crate::edges::kv::KvVersion;
use crate::event_log::EventLog;
use crate::events::LogEvent;
use crate::jobs::acceptance::AcceptanceCache;
use crate::jobs::acceptance::JobAcceptance;
use crate::jobs::announcer::OwnershipAnnouncer;
use crate::jobs::attempts::AttemptLedger;
use crate::jobs::failures::FailureNotes;
use crate::jobs::message::GivenUpJob;
use crate::jobs::message::JobCall;
use crate::jobs::message::JobPeerClient;
use crate::jobs::message::JobReply;
use crate::jobs::owners::OwnerCache;
use crate::jobs::ownership::OrphanTracker;
use crate::jobs::read::ResultCache;
use crate::jobs::running::RunningItems;
use crate::jobs::running::StopReason;
use crate::jobs::store::JobOwner;
use crate::jobs::store::JobStore;
use crate::jobs::table::JobTable;
use crate::registry::HostRegistry;
use crate::relay::RequestRelay;
use crate::revision_ages::RevisionAges;
use crate::routes::RouteTable;

/// Logged outcome of a job that has all of its results committed.
pub(super) const FINISHED_OUTCOME: &str = "finished";
/// Delay between attempts to store a new job or the end of a job.
pub(super) const STORE_RETRY_DELAY: Duration = Duration::from_millis(120);
/// Shortest interval between samples of the store's revision, by which ages of jobs are measured.
const AGE_STEP: Duration = Duration::from_secs(2);
/// Age of a job beyond which it is only known to be about that old, if jobs are not kept for longer.
const MAX_AGE: Duration = Duration::from_secs(6 * 3_600);
/// Timeout of a call that offers a job to another host.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of hosts that a leaving host offers a job to.
const MAX_HAND_OVER_HOSTS: usize = 3;

/// Limits and intervals of a host's batch work.
#[derive(Clone, Copy, Debug)]
pub struct JobConfig {
    /// Maximum total size in bytes of the item bodies of the host's jobs; further jobs are refused.
    pub memory_bytes: usize,
    /// Interval between scans of all open jobs for ones without an owner or lost to another host.
    pub scan_interval: Duration,
    /// How long the results of a closed job stay stored.
    pub keep_time: Duration,
    /// Interval between sweeps that remove closed jobs older than `keep_time`.
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

/// Accepts, runs, ends and hands over the batch jobs of one host. Clones share one state.
#[derive(Clone)]
pub struct JobKeeper {
    pub(super) shared: Arc<KeeperState>,
}

pub(super) struct KeeperState {
    pub(super) store: JobStore,
    pub(super) relay: RequestRelay,
    pub(super) routes: watch::Receiver<Arc<RouteTable>>,
    pub(super) registry: HostRegistry,
    pub(super) peers: Arc<dyn JobPeerClient>,
    pub(super) log: EventLog,
    pub(super) config: JobConfig,
    pub(super) identity: JobOwner,
    pub(super) table: Mutex<JobTable>,
    pub(super) running: RunningItems,
    pub(super) result_cache: ResultCache,
    pub(super) orphans: Mutex<OrphanTracker>,
    pub(super) owners: OwnerCache,
    /// Revisions that scans and sweeps saw.
    pub(super) ages: Mutex<RevisionAges>,
    pub(super) acceptances: AcceptanceCache,
    pub(super) attempts: Arc<AttemptLedger>,
    pub(super) failure_notes: FailureNotes,
    pub(super) announcer: OwnershipAnnouncer,
    pub(super) results_committed: Notify,
    pub(super) work_available: Notify,
    pub(super) is_leaving: CancellationToken,
    /// Whether this host does not reach the upstreams, and others do.
    pub(super) is_stranded: AtomicBool,
}

impl JobKeeper {
    /// Creates the manager of `host`; `incarnation` identifies its process among restarts.
    pub fn new(
        store: JobStore,
        relay: RequestRelay,
        routes: watch::Receiver<Arc<RouteTable>>,
        registry: HostRegistry,
        peers: Arc<dyn JobPeerClient>,
        log: EventLog,
        host: String,
        incarnation: u64,
        config: JobConfig,
    ) -> Self {
        let identity = JobOwner {
            host,
            incarnation,
            process: registry.own_process(),
            peers: Some(registry.own_address()),
        };
        let shared = KeeperState {
            store,
            relay,
            routes,
            registry,
            peers,
            log,
            config,
            identity,
            table: Mutex::default(),
            running: RunningItems::default(),
            result_cache: ResultCache::default(),
            orphans: Mutex::default(),
            owners: OwnerCache::default(),
            ages: Mutex::new(RevisionAges::new(AGE_STEP, MAX_AGE.max(config.keep_time))),
            acceptances: AcceptanceCache::default(),
            attempts: Arc::default(),
            failure_notes: FailureNotes::default(),
            announcer: OwnershipAnnouncer::default(),
            results_committed: Notify::new(),
            work_available: Notify::new(),
            is_leaving: CancellationToken::new(),
            is_stranded: AtomicBool::new(false),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Runs the background tasks (dispatching, committing, scanning, sweeping) until `stop` is
    /// cancelled, and then cancels the running items. If the registry says that another process of this
    /// host's name has displaced this one, it [surrenders](Self::surrender) and returns.
    pub async fn run(&self, stop: CancellationToken) {
        let work = async {
            tokio::join!(
                self.run_items(),
                self.run_commits(),
                self.run_scans(),
                self.run_sweeps(),
                self.run_hand_overs(),
                self.run_failure_reports()
            );
        };
        tokio::select! {
            () = work => {}
            () = stop.cancelled() => {}
            () = self.shared.registry.displaced().cancelled() => self.surrender(),
        }
        self.shared.running.stop_all(StopReason::Leaving);
    }

    /// Stops all items and drops all jobs for good, without a write to the key-value service: another
    /// process of this host's name acts now. No job is accepted, claimed or taken over any more.
    pub fn surrender(&self) {
        self.shared.is_leaving.cancel();
        let claims = self.with_table(|table| {
            table.close();
            table.claims()
        });
        self.shared.running.close();
        for (job, _) in claims {
            self.drop_job(&job, "displaced");
        }
        self.shared.relay.balancer().state().set_waiting(Vec::new());
    }

    /// Number of items of this host's jobs that wait or run.
    pub fn open_item_count(&self) -> usize {
        self.with_table(|table| table.open_item_count())
    }

    /// Numbers of waiting and of running items of this host's jobs, in this order.
    pub fn item_counts(&self) -> (usize, usize) {
        self.with_table(|table| {
            let running = table.running_item_count();
            (table.open_item_count() - running, running)
        })
    }

    /// Jobs that this host has recently become the owner of, to announce in its load reports.
    pub fn announced_jobs(&self) -> Vec<AcquiredJob> {
        self.shared.announcer.announced()
    }

    /// Caches `host` as the owner of `jobs`, as announced in its load report.
    pub fn record_owner(&self, host: &str, jobs: &[AcquiredJob]) {
        for acquired in jobs {
            match acquired.version {
                0 => self.cache_owner(&acquired.job, host),
                version => {
                    let owner = self.listed_owner(host);
                    self.see_owner(&acquired.job, &owner, KvVersion(version));
                }
            }
        }
    }

    /// Drops a job that this host owned and logs `outcome`. Its committed results stay readable; if
    /// it is finished, they are also cached here.
    pub(super) fn drop_job(&self, job: &str, outcome: &str) {
        self.shared.running.stop_job(job, StopReason::JobDropped);
        let (items, committed) = self
            .with_table(|table| table.result_counts(job))
            .unwrap_or_default();
        if outcome == FINISHED_OUTCOME
            && self.with_table(|table| table.is_complete(job))
            && let Some(page) = self.with_table(|table| table.full_page(job))
        {
            self.shared.result_cache.insert(job, page);
        }
        // The job stays readable, and its acceptance is the first thing that readers need.
        if let Some(spec) = self.with_table(|table| table.spec(job)) {
            let acceptance = JobAcceptance::from(&*spec);
            self.shared.acceptances.insert(job, acceptance);
        }
        if let Some((open_version, failures)) = self.with_table(|table| table.failures(job)) {
            self.shared.failure_notes.add(job, open_version, &failures);
        }
        if self.with_table(|table| table.remove(job)) {
            self.log_job(job, outcome, items, committed);
        }
        self.shared.results_committed.notify_waiters();
    }

    /// Stops all work and hands the jobs over to other hosts together with the partial output of
    /// their items. Jobs that no host accepts are claimed by others after their next scans.
    pub async fn leave(&self) {
        self.shared.is_leaving.cancel();
        self.give_jobs_away(StopReason::Leaving).await;
        for (job, _) in self.with_table(|table| table.claims()) {
            self.drop_job(&job, "given_away");
        }
    }

    /// Offers `job` to other hosts in the order in which they would claim it, to those that reach upstreams
    /// first.
    pub(super) async fn hand_over(&self, job: &str) {
        let handed_over = self.with_table(|table| table.handed_over(job));
        let reaching = self.reaching_hosts();
        let mut successors = self.successors(job);
        successors.sort_by_key(|host| !reaching.contains(&host.host));
        for host in successors.iter().take(MAX_HAND_OVER_HOSTS) {
            let call = JobCall::HandOver {
                job: job.to_owned(),
                progress: handed_over.progress.clone(),
                failures: handed_over.failures.clone(),
            };
            let reply = self.shared.peers.call(host, call, HAND_OVER_TIMEOUT).await;
            if let Ok(JobReply::Taken) = reply {
                self.cache_owner(job, &host.host);
                return;
            }
        }
    }

    /// Handles a call from another host.
    pub async fn answer(&self, call: JobCall) -> JobReply {
        match call {
            JobCall::Read {
                job,
                after,
                wait_ms,
            } => {
                let until = Instant::now() + Duration::from_millis(wait_ms);
                match self.read_local(&job, after, until).await {
                    Some(page) => JobReply::Page(page),
                    None => JobReply::NotOwner,
                }
            }
            JobCall::Body { job, item } => match self.with_table(|table| table.spec(&job)) {
                Some(spec) => match spec.items.iter().find(|known| known.id == item) {
                    Some(item) => JobReply::Body(item.body.clone()),
                    None => JobReply::NoSuchItem,
                },
                None => JobReply::NotOwner,
            },
            JobCall::HandOver {
                job,
                progress,
                failures,
            } => {
                let handed_over = GivenUpJob {
                    progress,
                    results: Vec::new(),
                    failures,
                };
                match self.take_over(&job, handed_over).await {
                    true => JobReply::Taken,
                    false => JobReply::NotOwner,
                }
            }
            JobCall::NoteFailures {
                job,
                open_version,
                failures,
            } => self.answer_failures(&job, KvVersion(open_version), &failures),
            JobCall::GiveUp {
                job,
                owner_version,
                host,
                incarnation,
            } => {
                let to = JobOwner {
                    host,
                    incarnation,
                    process: 0,
                    peers: None,
                };
                self.give_up(&job, KvVersion(owner_version), to).await
            }
            JobCall::Submit { spec } => self.answer_submission(spec).await,
            JobCall::Acceptance { job } => self.answer_acceptance(&job),
            JobCall::End {
                job,
                closed_version,
            } => self.answer_end(&job, closed_version).await,
        }
    }

    pub(super) fn with_table<T>(&self, act: impl FnOnce(&mut JobTable) -> T) -> T {
        act(&mut self.shared.table.lock().expect("job table lock"))
    }

    pub(super) fn log_job(&self, job: &str, outcome: &str, items: usize, listed: usize) {
        // The table may be locked here.
        let known = self.shared.acceptances.get(job);
        self.shared.log.write(LogEvent::Job {
            job: job.to_owned(),
            workspace: known.and_then(|known| known.workspace),
            outcome: outcome.to_owned(),
            items,
            listed,
        });
    }
    /// Logs that stored results of a job are left out, if any are.
    pub(super) fn log_repeated(&self, job: &str, results: usize) {
        if results > 0 {
            self.shared.log.write(LogEvent::ResultsRepeated {
                job: job.to_owned(),
                results,
            });
        }
    }
}
