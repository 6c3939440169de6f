//! `chaos`: random faults over online, batch and service work, judged by the checker at the end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parsleywall::edges::host_list::ListedState;
use parsleywall::ids::UpstreamId;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use strum::IntoEnumIterator;
use tokio::time::Instant;

use crate::batches::BatchClient;
use crate::checker::check;
use crate::history::History;
use crate::history::HistoryEvent;
use crate::hosts::BenchFleet;
use crate::hosts::FleetPlan;
use crate::load::LoadDriver;
use crate::load::failed_calls;
use crate::options::BenchOptions;
use crate::profiles::JURY_KEY;
use crate::profiles::RequestMaker;
use crate::profiles::desk_load;
use crate::report::Bound;
use crate::report::Report;
use crate::report::Timeline;

const DEFAULT_SECONDS: u64 = 20;
const CHECKS_PER_SECOND: f64 = 40.0;
const SURVEY_PAUSE: Duration = Duration::from_secs(5);
const SURVEY_PLATFORMS: usize = 12;
const JOBS: usize = 6;
const ITEMS_PER_JOB: usize = 200;
const SUBMIT_ATTEMPTS: u32 = 20;
const SUBMIT_PAUSE: Duration = Duration::from_millis(500);
const READ_ATTEMPTS: u32 = 20;
/// After the last fault is over.
const JOB_LIMIT: Duration = Duration::from_secs(60);
const DRAIN_LIMIT: Duration = Duration::from_secs(15);
/// Longer than a claim's lease.
const PAUSE_TIME: Duration = Duration::from_secs(12);
const FAULT_PAUSE_MS: std::ops::Range<u64> = 500..2500;
const FAULT_TIME_MS: std::ops::Range<u64> = 1000..4000;
const MAX_SLOW_MS: u64 = 300;
const MAX_LOST_ANSWERS: u64 = 10;

/// A fault of the brief's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
enum Fault {
    HostKilled,
    HostPaused,
    HostDrained,
    EngineCrashed,
    EngineSilent,
    EngineLeaving,
    KvDown,
    KvSlow,
    KvAnswersLost,
}

pub(super) async fn run(options: &BenchOptions) -> Result<Report, String> {
    let mut report = Report::new("chaos", options.seed);
    let mut fleet = BenchFleet::start(FleetPlan::new(options)).await?;
    let history = History::new();
    let length = Duration::from_secs(options.seconds_or(DEFAULT_SECONDS));
    let mut maker = RequestMaker::new(options.seed);
    let online = desk_load(
        &mut maker,
        CHECKS_PER_SECOND,
        length,
        SURVEY_PAUSE,
        SURVEY_PLATFORMS,
    );
    let load = LoadDriver::new(fleet.picker(), history.clone()).spawn(online);
    let all_hosts = fleet.addresses();
    let jobs: Vec<_> = (0..JOBS)
        .map(|job| {
            let items = maker.batch_items(ITEMS_PER_JOB, &format!("rules of fair {job} "));
            let client = BatchClient::new(JURY_KEY, history.clone());
            let delay = length * job as u32 / (2 * JOBS as u32);
            let hosts = all_hosts.clone();
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                submit(&client, &hosts, job, &items).await
            })
        })
        .collect();
    let faults = inject(&mut fleet, &history, options.seed, length).await?;
    let records = load.await.map_err(|err| err.to_string())?;
    let client = BatchClient::new(JURY_KEY, history.clone());
    let mut undone = 0;
    for job in jobs {
        match job.await.map_err(|err| err.to_string())? {
            Some(job) => read_twice(&client, &all_hosts, &job).await,
            None => undone += 1,
        }
    }
    let mut timeline = Timeline::new(&records);
    for (at, fault) in &faults {
        timeline = timeline.with_fault(*at, &fault.to_string());
    }
    report.timeline = Some(timeline);
    report.count_ends(&records);
    report.add("faults", faults.len() as f64, Bound::None);
    report.add("online_calls", records.len() as f64, Bound::None);
    report.add("online_failed", failed_calls(&records) as f64, Bound::None);
    report.add("jobs_not_accepted", f64::from(undone), Bound::None);
    report.violations = check(&history.collect(&fleet.platform));
    Ok(report)
}

/// Submits a job and sends it again until it is accepted, as a client does.
async fn submit(
    client: &BatchClient,
    hosts: &[SocketAddr],
    number: usize,
    items: &[serde_json::Value],
) -> Option<String> {
    let key = format!("chaos-{number}");
    for attempt in 0..SUBMIT_ATTEMPTS {
        let host = hosts[(number + attempt as usize) % hosts.len()];
        if let Ok(job) = client.submit(host, items, Some(&key)).await {
            return Some(job);
        }
        tokio::time::sleep(SUBMIT_PAUSE).await;
    }
    None
}

/// Waits for the end of a job and reads its output from two hosts.
async fn read_twice(client: &BatchClient, hosts: &[SocketAddr], job: &str) {
    // A job without an end, or an output that cannot be read, shows as a violation.
    let Ok(view) = client.wait(hosts, job, JOB_LIMIT).await else {
        return;
    };
    let mut reads = 0;
    for attempt in 0..READ_ATTEMPTS as usize {
        let host = hosts[attempt % hosts.len()];
        match client.read_output(host, &view).await {
            Ok(()) => reads += 1,
            Err(_) => tokio::time::sleep(SUBMIT_PAUSE).await,
        }
        if reads == 2 {
            return;
        }
    }
}

/// Injects faults until `length` has passed, and ends them all.
async fn inject(
    fleet: &mut BenchFleet,
    history: &Arc<History>,
    seed: u64,
    length: Duration,
) -> Result<Vec<(Duration, Fault)>, String> {
    let kinds: Vec<Fault> = Fault::iter().collect();
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut injected = Vec::new();
    loop {
        let pause = Duration::from_millis(rng.random_range(FAULT_PAUSE_MS));
        if start.elapsed() + pause >= length {
            break;
        }
        tokio::time::sleep(pause).await;
        // Two at once, now and then.
        for _ in 0..rng.random_range(1..=2) {
            let fault = *kinds.choose(&mut rng).expect("faults are listed");
            injected.push((start.elapsed(), fault));
            begin(fleet, history, fault, &mut rng).await?;
        }
    }
    end_all(fleet).await?;
    Ok(injected)
}

async fn begin(
    fleet: &mut BenchFleet,
    history: &Arc<History>,
    fault: Fault,
    rng: &mut StdRng,
) -> Result<(), String> {
    let host = rng.random_range(0..fleet.hosts.len());
    let engine = rng.random_range(0..fleet.platform.engines.len());
    let time = Duration::from_millis(rng.random_range(FAULT_TIME_MS));
    let kv = fleet.platform.kv.clone();
    match fault {
        Fault::HostKilled => {
            fleet.hosts[host].kill().await;
            tokio::time::sleep(time / 4).await;
            fleet.restart_without_wait(host).await?;
        }
        Fault::HostPaused => {
            fleet.hosts[host].pause();
            let resume = fleet.hosts[host].resumer();
            later(PAUSE_TIME, resume);
        }
        Fault::HostDrained => {
            let name = fleet.hosts[host].name.clone();
            // A host that a fault has paused or just started is no planned stop.
            fleet.hosts[host].resume();
            history.record(HistoryEvent::StopBegan { host: name.clone() });
            let ended = fleet.hosts[host].drain(DRAIN_LIMIT).await;
            // What a stop cuts off shows at the callers; here it must end by itself.
            let cut_off = u64::from(!ended);
            history.record(HistoryEvent::StopEnded {
                host: name,
                cut_off,
            });
            fleet.restart_without_wait(host).await?;
        }
        Fault::EngineCrashed => fleet.platform.engines[engine].crash(),
        Fault::EngineSilent => {
            let engine = fleet.platform.engines[engine].clone();
            engine.silence.store(true, Ordering::Relaxed);
            later(time, move || engine.silence.store(false, Ordering::Relaxed));
        }
        Fault::EngineLeaving => {
            let id = UpstreamId::new(format!("engine-{engine}"));
            fleet.platform.list.set_state(&id, ListedState::Leaving);
            let list = fleet.platform.list.clone();
            // It stays away: a return would have to end the ban on new work in the history.
            let seen = list.lag();
            let history = history.clone();
            later(seen, move || {
                let upstream = id.as_str().to_owned();
                history.record(HistoryEvent::UpstreamLeaving { upstream });
            });
        }
        Fault::KvDown => {
            kv.faults.down.store(true, Ordering::Relaxed);
            later(time, move || kv.faults.down.store(false, Ordering::Relaxed));
        }
        Fault::KvSlow => {
            let delay = rng.random_range(1..MAX_SLOW_MS);
            kv.faults.delay_ms.store(delay, Ordering::Relaxed);
            later(time, move || kv.faults.delay_ms.store(0, Ordering::Relaxed));
        }
        Fault::KvAnswersLost => {
            let lost = rng.random_range(1..=MAX_LOST_ANSWERS);
            kv.faults.lose_answers.store(lost, Ordering::Relaxed);
        }
    }
    Ok(())
}

fn later(delay: Duration, act: impl FnOnce() + Send + 'static) {
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        act();
    });
}

async fn end_all(fleet: &mut BenchFleet) -> Result<(), String> {
    let faults = &fleet.platform.kv.faults;
    faults.down.store(false, Ordering::Relaxed);
    faults.delay_ms.store(0, Ordering::Relaxed);
    faults.lose_answers.store(0, Ordering::Relaxed);
    for engine in &fleet.platform.engines {
        engine.silence.store(false, Ordering::Relaxed);
    }
    for host in &fleet.hosts {
        host.resume();
    }
    Ok(())
}
