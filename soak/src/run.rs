//! One run of the soak, from starting the processes to the verdict.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::callers::SoakCaller;
use crate::check::check;
use crate::fleet::FleetConfig;
use crate::fleet::SoakFleet;
use crate::history::CallOutcome;
use crate::history::Records;
use crate::history::SoakHistory;
use crate::inject::FaultInjector;
use crate::jobs::JobClient;
use crate::jobs::JobRecord;
use crate::plan::FIRST_STALE_SEED;
use crate::plan::FaultPlan;

/// Time from the start of the processes to the first request.
const STARTUP_TIME: Duration = Duration::from_secs(2);
/// Age of stale reads of the store from [`FIRST_STALE_SEED`] on.
const STALE_READ_MS: u64 = 3_000;
const WATCH_INTERVAL: Duration = Duration::from_millis(200);
const SUBMIT_INTERVAL: Duration = Duration::from_millis(1200);
/// Time after the last fault within which requests must be served again.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Time for which requests are sent after the recovery time, to check that they are served.
const FINAL_LOAD_TIME: Duration = Duration::from_secs(3);
/// Time after the end of the load within which batch jobs must be complete.
const JOB_COMPLETION_TIME: Duration = Duration::from_secs(18);

/// Configuration of a run.
#[derive(Clone, Debug)]
pub struct SoakConfig {
    /// Seed of the random load and faults.
    pub seed: u64,
    /// Time from the start of the load in which faults begin.
    pub time: Duration,
    /// Number of clients that send online requests; batch clients come on top.
    pub callers: usize,
    /// Binary that replaces that of the fronts one by one while faults begin; `None` if they stay.
    pub replaced_by: Option<PathBuf>,
    /// Number and location of the processes under test and the workers.
    pub fleet: FleetConfig,
}

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct SoakVerdict {
    /// Violated guarantees, one line each; empty if the run passed.
    pub violations: Vec<String>,
    /// Number of clients' attempts by outcome.
    pub outcomes: BTreeMap<String, usize>,
    /// Number of accepted batch jobs.
    pub jobs: usize,
    /// Number of injected faults by kind.
    pub faults: BTreeMap<String, usize>,
}

/// Runs the soak once.
///
/// Errors are failures of the test environment; violations are in the verdict.
pub async fn run_soak(config: &SoakConfig) -> std::io::Result<SoakVerdict> {
    let history = SoakHistory::default();
    let fleet = Arc::new(SoakFleet::start(config.fleet.clone(), &history).await?);
    let has_stale_reads = config.seed >= FIRST_STALE_SEED;
    if has_stale_reads {
        let stale_ms = &fleet.kv.faults.stale_ms;
        stale_ms.store(STALE_READ_MS, Ordering::Relaxed);
    }
    let injector = FaultInjector::new(fleet.clone(), history.clone(), has_stale_reads);
    tokio::time::sleep(STARTUP_TIME).await;

    let (load, finish) = (CancellationToken::new(), CancellationToken::new());
    let mut callers = JoinSet::new();
    for number in 0..config.callers {
        let (fleet, injector) = (fleet.clone(), injector.clone());
        let caller = SoakCaller::new(number, config.seed, fleet, injector, history.clone());
        callers.spawn(caller.run(load.clone()));
    }
    let jobs = tokio::spawn(submit_jobs(
        config.seed,
        fleet.clone(),
        history.clone(),
        load.clone(),
        finish.clone(),
    ));
    let watch = tokio::spawn(watch_exits(fleet.clone(), history.clone(), finish.clone()));

    let faults = FaultPlan::new(
        config.seed,
        config.time,
        config.fleet.fronts,
        config.fleet.workers.desk,
    );
    let upgrade = tokio::spawn(replace_builds(fleet.clone(), config.clone()));
    injector.play(&faults).await;
    upgrade.await.map_err(std::io::Error::other)??;
    let recovered = history.now() + RECOVERY_TIME;
    tokio::time::sleep(RECOVERY_TIME + FINAL_LOAD_TIME).await;
    load.cancel();
    while callers.join_next().await.is_some() {}
    let jobs = jobs.await.map_err(std::io::Error::other)?;
    let all_jobs = jobs.join_all();
    tokio::pin!(all_jobs);
    let jobs = match tokio::time::timeout(JOB_COMPLETION_TIME, &mut all_jobs).await {
        Ok(jobs) => jobs,
        Err(_) => {
            finish.cancel();
            all_jobs.await
        }
    };
    finish.cancel();
    watch.await.map_err(std::io::Error::other)?;

    let records = history.records();
    let violations = check(&records, &jobs, recovered);
    Ok(verdict(&records, &jobs, violations))
}

/// Replaces the binary of all fronts, evenly over the time in which faults begin.
async fn replace_builds(fleet: Arc<SoakFleet>, config: SoakConfig) -> std::io::Result<()> {
    let Some(binary) = &config.replaced_by else {
        return Ok(());
    };
    let pause = config.time / (fleet.fronts.len() as u32 + 1);
    for front in &fleet.fronts {
        tokio::time::sleep(pause).await;
        front.lock().await.replace_build(binary.clone()).await?;
    }
    Ok(())
}

/// Submits batch jobs until `load` is cancelled; their clients read results until `finish` is.
async fn submit_jobs(
    seed: u64,
    fleet: Arc<SoakFleet>,
    history: SoakHistory,
    load: CancellationToken,
    finish: CancellationToken,
) -> JoinSet<JobRecord> {
    let mut jobs = JoinSet::new();
    let mut number = 0;
    while !load.is_cancelled() {
        let client = JobClient::new(number, seed, fleet.clone(), history.clone());
        jobs.spawn(client.run(finish.clone()));
        number += 1;
        tokio::time::sleep(SUBMIT_INTERVAL).await;
    }
    jobs
}

/// Records as violations fronts that exit without being told to, and restarts them.
async fn watch_exits(fleet: Arc<SoakFleet>, history: SoakHistory, until: CancellationToken) {
    while !until.is_cancelled() {
        for (number, front) in fleet.fronts.iter().enumerate() {
            // A fault that stops a front holds its lock until the restart; its exit is expected.
            let Ok(mut front) = front.try_lock() else {
                continue;
            };
            if let Some(status) = front.exit_status() {
                if !fleet.is_doubled(number) {
                    let detail = format!("front {number} ended by itself: {status}");
                    history.record_violation("FAULT", &detail);
                }
                let _ = front.kill_and_restart().await;
            }
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}

fn verdict(records: &Records, jobs: &[JobRecord], violations: Vec<String>) -> SoakVerdict {
    let mut verdict = SoakVerdict {
        violations,
        jobs: jobs.iter().filter(|job| job.accepted_at.is_some()).count(),
        ..SoakVerdict::default()
    };
    for call in &records.calls {
        let name = match &call.outcome {
            CallOutcome::Served => "served".to_owned(),
            CallOutcome::Joined(_) => "joined".to_owned(),
            CallOutcome::Mismatched(_) => "mixed".to_owned(),
            CallOutcome::Refused(status) => format!("refused {status}"),
            CallOutcome::Failed(status) => format!("failed {status}"),
            CallOutcome::WorkerFailed(status) => format!("worker's {status}"),
            CallOutcome::Cancelled => "left".to_owned(),
            CallOutcome::CutOff => "broken".to_owned(),
        };
        *verdict.outcomes.entry(name).or_default() += 1;
    }
    for fault in &records.faults {
        *verdict.faults.entry(fault.name.clone()).or_default() += 1;
    }
    verdict
}
