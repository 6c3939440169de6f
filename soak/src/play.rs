//! Plays: single faults at set times, played on a given build, and what they break.
//!
//! A play starts a fleet of its own, harms it once, and counts what clients and workers saw. Its
//! [`PlayReport`] is one line of JSON.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::content;
use crate::fleet::FleetConfig;
use crate::fleet::MOVED_PREFIX;
use crate::fleet::Manifest;
use crate::fleet::SoakFleet;
use crate::history::MoveRecord;
use crate::history::Records;
use crate::history::SoakHistory;
use crate::play_clients;
use crate::play_clients::BrokenStream;
use crate::play_clients::StreamEnd;
use crate::play_overlaps::OverlapReport;
use crate::play_stranded::ReachReport;
use crate::proxy::Direction;
use crate::proxy::LinkFault;
use crate::workers::ANNEX;
use crate::workers::WorkerConfig;
use crate::workers::WorkerRestart;

/// Part of the request line of watches of the manifest.
pub const CONFIG_WATCH: &str = "/kv-watch?prefix=op";
/// Part of the request line of watches of the workers' entries.
pub const ENTRY_WATCH: &str = "/kv-watch?prefix=servers";
/// Time from the acknowledgement of a change until it is in force (`configMs`, `drainMs`).
const IN_FORCE_TIME: Duration = Duration::from_secs(2);
/// Time after an impairment of the store or of the ways to it until fronts count as in touch
/// (`stableMs`).
const STABLE_TIME: Duration = Duration::from_secs(3);
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time of load before the fault.
pub(crate) const WARM_UP_TIME: Duration = Duration::from_secs(2);
/// Time from a silence until the change that it hides.
const SILENCE_LEAD: Duration = Duration::from_millis(500);
/// Time after a change in which its effect is observed, at least and at most.
const OBSERVED_MS: std::ops::RangeInclusive<u64> = 7_000..=32_000;
/// Time without a late request after which a play ends.
const CALM_TIME: Duration = Duration::from_secs(4);
pub(crate) const STREAMS: usize = 12;
/// Time for which streams run before they break or their workers restart.
pub(crate) const STREAM_TIME: Duration = Duration::from_millis(300);
const CANCEL_TIME: Duration = Duration::from_millis(200);
const TAKE_UP_DELAY: Duration = Duration::from_millis(200);
const RESTART_GAP_MS: std::ops::RangeInclusive<u64> = 200..=300;
const AWAY_MS: std::ops::RangeInclusive<u64> = 60..=150;
const ENTRY_LAG_MS: std::ops::RangeInclusive<u64> = 300..=3_000;
const STORE_AWAY_MS: std::ops::RangeInclusive<u64> = 400..=3_000;
/// Lag of entries that must not change before a play is over.
const LONG_ENTRY_LAG: Duration = Duration::from_secs(8);
/// Time for which the items of a job run before all fronts are killed.
const ITEM_TIME: Duration = Duration::from_millis(900);
/// Version of the software that restarted workers run.
const NEXT_VERSION: &str = "v2";

/// A play.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum PlayKind {
    /// No fault: a manifest moves a route and a worker drains.
    Calm,
    /// Watches of the manifest go silent; then a manifest moves a route to another service.
    SilentConfig,
    /// Watches of the workers' entries go silent; then a worker drains.
    SilentUpstreams,
    /// Bytes to the store are lost on the connections of watches of the manifest and of the entries;
    /// then a manifest moves a route and a worker drains.
    SilentOneWay,
    /// The answers to watches of the manifest and of the entries lack their bodies; then a manifest
    /// moves a route and a worker drains.
    SilentBodies,
    /// All open connections to the store, between fronts and to workers go silent; then a manifest
    /// moves a route and a worker drains.
    SilentAll,
    /// The store is away and refuses connections; a manifest is written as it returns.
    StoreBackRefusing,
    /// The store is away and connections to it bring nothing; a manifest is written as it returns.
    StoreBackMute,
    /// Streams break and go on at another front; no worker restarts.
    NoRestart,
    /// Streams break, both workers restart with another version, and the streams go on at another
    /// front.
    UnseenRestarts,
    /// As `UnseenRestarts`, with workers that are never away.
    UnseenRestartsNoGap,
    /// As `UnseenRestarts`, of one worker only.
    UnseenRestartOfOne,
    /// Both workers restart without a gap while streams are under way, which the front resumes.
    OpenStreams,
    /// Streams begin at a restarted worker whose entry names the process before; they break, that
    /// worker ends, and they go on at another front.
    BegunMeanwhile,
    /// All fronts are killed while items run; both workers restart with another version meanwhile.
    RestartsWithItems,
    /// A second process of the name of a front that owns running items starts at another address, and both
    /// live for 15 s.
    SecondProcess,
    /// As `SecondProcess`, with short items beside online load.
    SecondProcessOnline,
    /// As `SecondProcess`, at the addresses of the first process.
    SecondProcessPorts,
    /// As `SecondProcess`; the first process stands still from 2 s before to 7 s after the second one's
    /// start.
    SecondProcessFrozen,
    /// Two or three processes of one name start at the same moment; then jobs are submitted.
    SecondProcessSameMoment,
    /// The clock of the front that closes jobs is behind; they are sent once more after a sweep.
    WrongClockBehind,
    /// As `WrongClockBehind`; the clock of another front is ahead.
    WrongClockAhead,
    /// As `WrongClockBehind`; all clocks agree.
    ClocksAgree,
    /// Callers go without closing their connections, and take their streams up at another front.
    SilentCaller,
    /// As `SilentCaller`; the connections close.
    ClosedCaller,
    /// As `SilentCaller`, taken up at the same front.
    SilentCallerOwnFront,
    /// As `SilentCaller`; the first front is cut off from the other fronts at the same moment.
    SilentCallerCut,
    /// As `SilentCaller`, as soon as all fronts are ready.
    SilentCallerAtStart,
    /// The owner of running items stands still for 9 s.
    FrozenOwner,
    /// The store executes calls at once and answers them up to 2.5 s late, while the owner keys of jobs
    /// are deleted again and again; readers at all fronts read the jobs.
    LateAnswers,
    /// As `LateAnswers`, up to 150 ms late.
    LateAnswersShort,
    /// As `LateAnswers`, up to 700 ms late.
    LateAnswersMedium,
    /// As `LateAnswers`; fronts are killed, stopped and suspended meanwhile.
    LateAnswersRestarts,
    /// As `LateAnswers`; only writes of results are answered late.
    LateSegments,
    /// As `LateSegments`; fronts are killed, stopped and suspended meanwhile.
    LateSegmentsRestarts,
    /// Connections of some fronts to all workers hang, open ones and new ones.
    StrandedHang,
    /// Connections of some fronts to all workers are reset, and new ones refused.
    StrandedReset,
    /// New connections of some fronts to all workers are refused; open ones live on.
    StrandedRefuse,
    /// Fronts lose all workers, most or one service's again and again, while fronts are killed, stopped
    /// and started.
    StrandedSeries,
}

/// Configuration of a play.
#[derive(Clone, Debug)]
pub struct PlayConfig {
    /// The play.
    pub kind: PlayKind,
    /// Number of fronts whose connections to the store are harmed.
    pub harmed: usize,
    /// Number of the run, which determines its random times.
    pub run: u64,
    /// The processes and workers; plays set the size of the workers themselves.
    pub fleet: FleetConfig,
}

/// What a play broke.
#[derive(Clone, Debug, Default)]
pub struct PlayReport {
    /// Requests of clients during the play, and those among them that were not served.
    pub requests: [usize; 2],
    /// Requests past the bound of a manifest, and those among them that the service before ran.
    pub config: [usize; 2],
    /// Milliseconds from the acknowledgement of the manifest to the last request that each front
    /// sent to the service before.
    pub in_force_ms: Vec<u64>,
    /// Requests past the bound of a drain that workers of the service ran, and those among them that
    /// reached the draining worker.
    pub drain: [usize; 2],
    /// Milliseconds from the acknowledgement of the drain to the last request that reached the
    /// draining worker.
    pub drained_ms: u64,
    /// How the streams or items of the play ended.
    pub streams: Vec<StreamEnd>,
    /// Watches that were stalled, if the play stalls some.
    pub stalled: usize,
    /// Runs of the streams and items.
    pub overlap: OverlapReport,
    /// How first tries fared at fronts without workers, if the play takes them away.
    pub reach: ReachReport,
}

impl PlayReport {
    /// Whether a rule was broken.
    pub fn is_broken(&self) -> bool {
        self.config[1] > 0
            || self.drain[1] > 0
            || self.count(StreamEnd::Joined) > 0
            || self.overlap.is_broken()
            || self.reach.is_broken()
    }

    fn count(&self, end: StreamEnd) -> usize {
        self.streams.iter().filter(|other| **other == end).count()
    }

    /// The report of a run of `config` as one JSON object.
    pub fn to_json(&self, config: &PlayConfig) -> Value {
        let mut report = json!({
            "play": config.kind.to_string(), "fronts": config.fleet.fronts, "harmed": config.harmed,
            "run": config.run, "broken": self.is_broken(), "stalled": self.stalled,
            "requests": self.requests[0], "unserved": self.requests[1],
            "config_of": self.config[0], "config_late": self.config[1],
            "in_force_ms": self.in_force_ms,
            "drain_of": self.drain[0], "drain_late": self.drain[1], "drained_ms": self.drained_ms,
            "streams": self.streams.len(), "joined": self.count(StreamEnd::Joined),
            "whole": self.count(StreamEnd::Whole), "refused": self.count(StreamEnd::Refused),
            "cut": self.count(StreamEnd::CutOff), "other": self.count(StreamEnd::Mismatched),
        });
        for mut part in [self.overlap.to_json(), self.reach.to_json()] {
            if let (Some(report), Some(part)) = (report.as_object_mut(), part.as_object_mut()) {
                report.append(part);
            }
        }
        report
    }
}

/// Plays `config` once. Errors are failures of the test environment.
pub async fn run_play(config: &PlayConfig) -> std::io::Result<PlayReport> {
    let history = SoakHistory::default();
    let fleet = FleetConfig {
        workers: WorkerConfig {
            desk: 2,
            annex: 2,
            slots: config.kind.slots(),
            ..WorkerConfig::default()
        },
        clock_shifts_ms: config.kind.clock_shifts_ms(),
        has_worker_links: config.kind.strands_fronts(),
        ..config.fleet.clone()
    };
    let play = Play {
        fleet: Arc::new(SoakFleet::start(fleet, &history).await?),
        history,
        rng: StdRng::seed_from_u64(config.run),
        config: config.clone(),
        stalled: 0,
    };
    play.run().await
}

/// A play under way.
pub(crate) struct Play {
    pub(crate) config: PlayConfig,
    pub(crate) fleet: Arc<SoakFleet>,
    pub(crate) history: SoakHistory,
    rng: StdRng,
    stalled: usize,
}

impl Play {
    async fn run(mut self) -> std::io::Result<PlayReport> {
        play_clients::wait_ready(&self.fleet, READY_TIMEOUT).await?;
        let mut report = self.play().await?;
        let (records, now) = (self.history.records(), self.history.now());
        report.overlap.count_runs(&records, now);
        if !self.config.kind.judges_overlaps() {
            report.overlap.unexcused = 0;
        }
        if self.config.kind.doubles_a_name() {
            return Ok(report);
        }
        for front in &self.fleet.fronts {
            if let Some(status) = front.lock().await.exit_status() {
                return Err(std::io::Error::other(format!("a front ended: {status}")));
            }
        }
        Ok(report)
    }

    async fn play(&mut self) -> std::io::Result<PlayReport> {
        match self.config.kind {
            PlayKind::NoRestart
            | PlayKind::UnseenRestarts
            | PlayKind::UnseenRestartsNoGap
            | PlayKind::UnseenRestartOfOne => self.play_take_ups().await,
            PlayKind::OpenStreams => self.play_open_streams().await,
            PlayKind::BegunMeanwhile => self.play_begun_meanwhile().await,
            PlayKind::RestartsWithItems => self.play_items().await,
            kind if kind.judges_overlaps() => self.play_overlaps().await,
            kind if kind.strands_fronts() => self.play_stranded().await,
            _ => self.play_changes().await,
        }
    }

    /// Harms the ways to the store under load, and then changes what is in it.
    async fn play_changes(&mut self) -> std::io::Result<PlayReport> {
        let end = CancellationToken::new();
        let mut load = JoinSet::new();
        for front in 0..self.fleet.fronts.len() {
            let (fleet, history, end) = (self.fleet.clone(), self.history.clone(), end.clone());
            load.spawn(play_clients::send_load(fleet, history, front, end));
        }
        tokio::time::sleep(WARM_UP_TIME).await;
        let harmed_until = self.harm_store().await;
        let kind = self.config.kind;
        if kind != PlayKind::SilentUpstreams {
            self.move_route().await;
        }
        let drains = matches!(
            kind,
            PlayKind::Calm
                | PlayKind::SilentUpstreams
                | PlayKind::SilentOneWay
                | PlayKind::SilentBodies
                | PlayKind::SilentAll
        );
        if drains {
            self.fleet.workers.drain(0).await;
        }
        let stable_from = harmed_until + STABLE_TIME;
        self.observe(stable_from).await;
        end.cancel();
        load.join_all().await;
        Ok(self.report(stable_from))
    }

    /// Harms the connections to the store. Returns when that was over; connections that go silent count
    /// as reset at that moment.
    async fn harm_store(&mut self) -> Duration {
        let away = Duration::from_millis(self.rng.random_range(STORE_AWAY_MS));
        let both = [Direction::ToServer, Direction::ToClient];
        let fleet = self.fleet.clone();
        let links = &fleet.store_links[..self.config.harmed];
        let stall = |targets: &[&str], directions: &[Direction]| {
            let stalls = links.iter().flat_map(|link| {
                let stalls = targets.iter();
                stalls.map(|target| link.stall_requests(target, directions))
            });
            stalls.sum()
        };
        let away_fault = match self.config.kind {
            PlayKind::StoreBackRefusing => Some(LinkFault::AwayRefusing),
            PlayKind::StoreBackMute => Some(LinkFault::AwayMute),
            _ => None,
        };
        match self.config.kind {
            PlayKind::SilentConfig => self.stalled = stall(&[CONFIG_WATCH], &both),
            PlayKind::SilentUpstreams => self.stalled = stall(&[ENTRY_WATCH], &both),
            PlayKind::SilentOneWay => {
                self.stalled = stall(&[CONFIG_WATCH, ENTRY_WATCH], &[Direction::ToClient]);
            }
            PlayKind::SilentBodies => {
                for (link, target) in links
                    .iter()
                    .flat_map(|link| [CONFIG_WATCH, ENTRY_WATCH].map(|target| (link, target)))
                {
                    self.stalled += link.stall_bodies(target);
                }
            }
            PlayKind::SilentAll => {
                for link in links {
                    link.set(LinkFault::StallExisting);
                }
                for link in &self.fleet.peer_links {
                    link.set(LinkFault::StallExisting);
                }
                for worker in 0..2 {
                    let workers = &self.fleet.workers;
                    workers.with_link(worker, |link| link.set(LinkFault::StallExisting));
                }
            }
            _ => {}
        }
        let Some(fault) = away_fault else {
            let silent_at = self.history.now();
            tokio::time::sleep(SILENCE_LEAD).await;
            return silent_at;
        };
        for link in links {
            link.set(fault);
        }
        tokio::time::sleep(away).await;
        for link in links {
            link.set(LinkFault::None);
        }
        self.history.now()
    }

    async fn move_route(&self) {
        let manifest = Manifest {
            service: ANNEX,
            ..Manifest::new(4)
        };
        let sent = self.history.now();
        if self.fleet.put_manifest(&manifest).await {
            let record = MoveRecord {
                service: ANNEX.to_owned(),
                sent,
                at: Some(self.history.now()),
            };
            self.history.update(|records| records.moves.push(record));
        }
    }

    /// Waits until no request has been late for a while.
    async fn observe(&self, stable_from: Duration) {
        let began = Instant::now();
        let (least, most) = OBSERVED_MS.into_inner();
        loop {
            tokio::time::sleep(Duration::from_millis(500)).await;
            let lasted = began.elapsed();
            let report = self.report(stable_from);
            let last_late = report.in_force_ms.iter().max().copied().unwrap_or(0);
            let last_late = Duration::from_millis(last_late.max(report.drained_ms));
            let is_calm = lasted > last_late + CALM_TIME;
            if lasted >= Duration::from_millis(most)
                || (is_calm && lasted >= Duration::from_millis(least))
            {
                return;
            }
        }
    }

    async fn play_take_ups(&mut self) -> std::io::Result<PlayReport> {
        let streams = play_clients::begin_streams(&self.fleet, 0, STREAMS, STREAM_TIME).await;
        tokio::time::sleep(CANCEL_TIME).await;
        let mut restarts = JoinSet::new();
        let restarted = match self.config.kind {
            PlayKind::NoRestart => 0,
            PlayKind::UnseenRestartOfOne => 1,
            _ => 2,
        };
        for number in 0..restarted {
            let (fleet, restart) = (self.fleet.clone(), self.draw_restart());
            restarts.spawn(async move { fleet.workers.restart(number, restart).await });
            let gap = Duration::from_millis(self.rng.random_range(RESTART_GAP_MS));
            tokio::time::sleep(gap).await;
        }
        tokio::time::sleep(TAKE_UP_DELAY).await;
        let report = self.take_up(streams).await;
        restarts.join_all().await;
        Ok(report)
    }

    fn draw_restart(&mut self) -> WorkerRestart {
        let away = match self.config.kind {
            PlayKind::UnseenRestartsNoGap | PlayKind::OpenStreams => 0,
            _ => self.rng.random_range(AWAY_MS),
        };
        WorkerRestart {
            version: NEXT_VERSION.to_owned(),
            away: Duration::from_millis(away),
            entry_lag: Duration::from_millis(self.rng.random_range(ENTRY_LAG_MS)),
        }
    }

    async fn take_up(&self, streams: Vec<BrokenStream>) -> PlayReport {
        let front = 1 % self.fleet.fronts.len();
        let take_ups = play_clients::take_up_streams(&self.fleet, front, &streams).await;
        PlayReport {
            streams: take_ups.iter().map(|take_up| take_up.end).collect(),
            ..PlayReport::default()
        }
    }

    async fn play_open_streams(&mut self) -> std::io::Result<PlayReport> {
        let fleet = self.fleet.clone();
        let streams =
            tokio::spawn(async move { play_clients::read_streams(&fleet, 0, STREAMS).await });
        tokio::time::sleep(STREAM_TIME).await;
        let mut restarts = JoinSet::new();
        for number in 0..2 {
            let (fleet, restart) = (self.fleet.clone(), self.draw_restart());
            restarts.spawn(async move { fleet.workers.restart(number, restart).await });
            let gap = Duration::from_millis(self.rng.random_range(RESTART_GAP_MS));
            tokio::time::sleep(gap).await;
        }
        let streams = streams.await.map_err(std::io::Error::other)?;
        restarts.join_all().await;
        Ok(PlayReport {
            streams,
            ..PlayReport::default()
        })
    }

    async fn play_begun_meanwhile(&mut self) -> std::io::Result<PlayReport> {
        let restart = WorkerRestart {
            entry_lag: LONG_ENTRY_LAG,
            ..self.draw_restart()
        };
        let (fleet, away) = (self.fleet.clone(), restart.away);
        let restart = tokio::spawn(async move { fleet.workers.restart(0, restart).await });
        tokio::time::sleep(away + TAKE_UP_DELAY).await;
        let streams = play_clients::begin_streams(&self.fleet, 0, STREAMS, STREAM_TIME).await;
        tokio::time::sleep(CANCEL_TIME).await;
        self.fleet.workers.end(0);
        let report = self.take_up(streams).await;
        restart.abort();
        Ok(report)
    }

    async fn play_items(&mut self) -> std::io::Result<PlayReport> {
        let job = play_clients::submit_job(&self.fleet, STREAMS).await?;
        tokio::time::sleep(ITEM_TIME).await;
        let fleet = self.fleet.clone();
        let kills = fleet
            .fronts
            .iter()
            .map(|front| async { front.lock().await.kill_and_restart().await });
        let restarts = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let [first, second] = [0, 1].map(|number| {
                let restart = WorkerRestart {
                    entry_lag: LONG_ENTRY_LAG,
                    away: Duration::from_millis(100),
                    version: NEXT_VERSION.to_owned(),
                };
                fleet.workers.restart(number, restart)
            });
            tokio::join!(first, second)
        };
        let results = async {
            tokio::time::sleep(TAKE_UP_DELAY).await;
            play_clients::read_job(&fleet, &job).await
        };
        let (killed, _, streams) =
            tokio::join!(futures_util::future::join_all(kills), restarts, results);
        killed.into_iter().collect::<std::io::Result<()>>()?;
        Ok(PlayReport {
            streams,
            ..PlayReport::default()
        })
    }

    fn report(&self, stable_from: Duration) -> PlayReport {
        let records = self.history.records();
        let mut report = PlayReport {
            requests: count_requests(&records),
            stalled: self.stalled,
            ..PlayReport::default()
        };
        self.count_config(&records, stable_from, &mut report);
        count_drain(&records, stable_from, &mut report);
        report
    }

    fn count_config(&self, records: &Records, stable_from: Duration, report: &mut PlayReport) {
        let change = records.moves.last();
        let Some((change, at)) = change.and_then(|change| Some((change, change.at?))) else {
            return;
        };
        let bound = (at + IN_FORCE_TIME).max(stable_from);
        let ran_before = |id: &str| {
            let mut runs = records.executions.iter();
            runs.any(|run| run.id == id && run.service != change.service)
        };
        report.in_force_ms = vec![0; self.fleet.fronts.len()];
        let calls = records.calls.iter();
        for call in calls.filter(|call| call.prefix == MOVED_PREFIX && call.sent > at) {
            let is_late = ran_before(&call.id);
            if is_late {
                let after = (call.sent - at).as_millis() as u64;
                let last = &mut report.in_force_ms[call.front];
                *last = after.max(*last);
            }
            if call.sent > bound {
                report.config[0] += 1;
                report.config[1] += usize::from(is_late);
            }
        }
    }
}

/// Number of requests, and of those among them that were not served.
pub(crate) fn count_requests(records: &Records) -> [usize; 2] {
    let unserved = records.calls.iter();
    let unserved = unserved.filter(|call| call.outcome != crate::history::CallOutcome::Served);
    [records.calls.len(), unserved.count()]
}

fn count_drain(records: &Records, stable_from: Duration, report: &mut PlayReport) {
    let Some(leave) = records.leaves.last() else {
        return;
    };
    let from = (leave.at + IN_FORCE_TIME).max(stable_from);
    let runs = records.executions.iter();
    for run in runs.filter(|run| run.service == crate::workers::DESK) {
        let is_leaving = run.worker == leave.worker;
        if is_leaving && run.began_at > leave.at {
            let after = (run.began_at - leave.at).as_millis() as u64;
            report.drained_ms = after.max(report.drained_ms);
        }
        if run.began_at > from {
            report.drain[0] += 1;
            report.drain[1] += usize::from(is_leaving);
        }
    }
}

/// Identifier of stream or item `number` of a play.
pub(crate) fn stream_id(name: &str, number: usize) -> String {
    format!("{name}-{number}-{}", content::LONG_SUFFIX)
}
