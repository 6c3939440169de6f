//! `drain`: all hosts restarted in turn under load, and an upstream that leaves.

use std::net::SocketAddr;
use std::time::Duration;

use parsleywall::edges::host_list::ListedState;
use parsleywall::ids::UpstreamId;
use tokio::time::Instant;

use crate::batches::BatchClient;
use crate::checker::check;
use crate::history::History;
use crate::history::HistoryEvent;
use crate::hosts::BenchFleet;
use crate::hosts::FleetPlan;
use crate::load::CallOutcome;
use crate::load::CallRecord;
use crate::load::LoadDriver;
use crate::load::first_token_ms;
use crate::options::BenchOptions;
use crate::profiles::JURY_KEY;
use crate::profiles::RequestMaker;
use crate::profiles::desk_load;
use crate::report::Bound;
use crate::report::Report;

const ENTRIES_TTL_SECONDS: &str = "3";
const CHECKS_PER_SECOND: f64 = 8.0;
const SURVEY_PAUSE: Duration = Duration::from_secs(10);
const SURVEY_PLATFORMS: usize = 6;
const DEFAULT_SECONDS: u64 = 110;
const JOBS: usize = 4;
const ITEMS_PER_JOB: usize = 400;
const JOB_LIMIT: Duration = Duration::from_secs(180);
const FIRST_STOP: Duration = Duration::from_secs(5);
const STOP_LIMIT: Duration = Duration::from_secs(25);
const LEAVING: &str = "engine-11";
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// How the planned stops went.
struct StopFigures {
    stops: usize,
    failed: usize,
    longest: Duration,
}

pub(super) async fn run(options: &BenchOptions) -> Result<Report, String> {
    let mut report = Report::new("drain", options.seed);
    let mut plan = FleetPlan::new(options);
    let ttl = (
        "PARSLEYWALL_ENTRIES_TTL".to_owned(),
        ENTRIES_TTL_SECONDS.to_owned(),
    );
    plan.environment.push(ttl);
    let mut fleet = BenchFleet::start(plan).await?;
    let history = History::new();
    let mut maker = RequestMaker::new(options.seed);
    let length = Duration::from_secs(options.seconds_or(DEFAULT_SECONDS));
    let load = desk_load(
        &mut maker,
        CHECKS_PER_SECOND,
        length,
        SURVEY_PAUSE,
        SURVEY_PLATFORMS,
    );
    let batches = BatchClient::new(JURY_KEY, history.clone());
    let hosts = fleet.addresses();
    let mut jobs = Vec::new();
    for (job, host) in hosts.iter().take(JOBS).enumerate() {
        let items = maker.batch_items(ITEMS_PER_JOB, &format!("rules of fair {job} "));
        jobs.push(batches.submit(*host, &items, None).await?);
    }
    let calls = LoadDriver::new(fleet.picker(), history.clone()).spawn(load);
    tokio::time::sleep(FIRST_STOP).await;
    let leaving = UpstreamId::new(LEAVING);
    fleet
        .platform
        .list
        .set_state(&leaving, ListedState::Leaving);
    let left_at = Instant::now();
    let stops = restart_all(&mut fleet, &history).await?;
    let records = calls.await.map_err(|err| err.to_string())?;
    read_jobs(&batches, &fleet.addresses(), &jobs).await?;
    let late = late_work(&fleet, left_at);
    report.violations = check(&history.collect(&fleet.platform));
    add_figures(&mut report, &stops, &records, late);
    Ok(report)
}

fn add_figures(report: &mut Report, stops: &StopFigures, records: &[CallRecord], late: usize) {
    let cut = |record: &&CallRecord| {
        let refused = matches!(record.outcome, CallOutcome::Refused { .. });
        record.sends > 1 || record.outcome != CallOutcome::Answered && !refused
    };
    let cut_off = records.iter().filter(cut).count() + stops.failed;
    let refused = records
        .iter()
        .filter(|record| matches!(record.outcome, CallOutcome::Refused { .. }))
        .count();
    report.add("requests", records.len() as f64, Bound::None);
    report.add("refused", refused as f64, Bound::AtMost(0.0));
    report.add("stops", stops.stops as f64, Bound::None);
    report.add(
        "longest_stop_ms",
        stops.longest.as_secs_f64() * 1000.0,
        Bound::None,
    );
    report.add("ttft_p99_ms", first_token_ms(records, 0.99), Bound::None);
    report.add("cut_off", cut_off as f64, Bound::AtMost(0.0));
    report.add("late_work_to_leaving", late as f64, Bound::AtMost(0.0));
}

/// Stops and starts each host in turn.
async fn restart_all(fleet: &mut BenchFleet, history: &History) -> Result<StopFigures, String> {
    let mut figures = StopFigures {
        stops: 0,
        failed: 0,
        longest: Duration::ZERO,
    };
    for number in 0..fleet.hosts.len() {
        let host = fleet.hosts[number].name.clone();
        history.record(HistoryEvent::StopBegan { host: host.clone() });
        let began = Instant::now();
        let ended = fleet.hosts[number].drain(STOP_LIMIT).await;
        figures.stops += 1;
        figures.failed += usize::from(!ended);
        figures.longest = figures.longest.max(began.elapsed());
        let cut_off = u64::from(!ended);
        history.record(HistoryEvent::StopEnded { host, cut_off });
        fleet.restart(number).await?;
    }
    Ok(figures)
}

async fn read_jobs(
    batches: &BatchClient,
    hosts: &[SocketAddr],
    jobs: &[String],
) -> Result<(), String> {
    for job in jobs {
        let view = batches
            .wait(hosts, job, JOB_LIMIT)
            .await
            .map_err(|err| format!("{job}: {err}"))?;
        batches
            .read_output(hosts[0], &view)
            .await
            .map_err(|err| format!("{job}: {err}"))?;
    }
    Ok(())
}

/// Requests that reached the leaving upstream when no more should.
fn late_work(fleet: &BenchFleet, left_at: Instant) -> usize {
    let engine = fleet.platform.engines.last();
    let executions = engine.map(|engine| engine.executions()).unwrap_or_default();
    let late = executions
        .iter()
        .filter(|execution| execution.arrived > left_at + LEAVING_GRACE);
    late.count()
}
