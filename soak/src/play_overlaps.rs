//! Plays in which items or streams may run at two workers beside one another, or once more.

use std::time::Duration;

use futures_util::future::join_all;
use serde_json::Value;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::content;
use crate::fleet::SoakProcess;
use crate::history::CallKind;
use crate::history::FaultRecord;
use crate::history::Records;
use crate::overlap;
use crate::owner_watch::OwnerWatch;
use crate::play::Play;
use crate::play::PlayKind;
use crate::play::PlayReport;
use crate::play::STREAM_TIME;
use crate::play::STREAMS;
use crate::play::WARM_UP_TIME;
use crate::play::count_requests;
use crate::play_clients;
use crate::play_clients::BrokenStream;
use crate::play_clients::StreamEnd;
use crate::play_jobs::PlayJobs;
use crate::proxy::LinkFault;

/// Prefix of the identifiers of streams of plays.
const STREAM_PREFIX: &str = "stream";
const ITEMS_OF_JOB: usize = 10;
/// Number of jobs that are sent once more.
const CLOSED_JOBS: usize = 9;
/// Time for which a front stands still.
const FREEZE_TIME: Duration = Duration::from_secs(9);
/// Time from the submission of jobs until their owner stands still or gets a namesake.
const ITEM_TIME: Duration = Duration::from_millis(1500);
const SHORT_ITEM_TIME: Duration = Duration::from_millis(300);
/// Time from the beginning of a freeze to the start of a namesake.
const FREEZE_LEAD: Duration = Duration::from_secs(2);
/// Time for which two processes of one name live.
const NAMESAKE_TIME: Duration = Duration::from_secs(15);
const SHORT_NAMESAKE_TIME: Duration = Duration::from_secs(8);
/// Time from the submission of jobs within which their items count as done, with and without a front
/// that stands still.
const JOB_TIME: Duration = Duration::from_secs(20);
const LONG_JOB_TIME: Duration = Duration::from_secs(45);
/// Time from the completion of jobs until they are sent once more: that of a sweep, and some more.
const SWEEP_TIME: Duration = Duration::from_secs(62);
const STATUS_INTERVAL: Duration = Duration::from_secs(2);
/// Time in which jobs that were sent once more may run.
const AGAIN_TIME: Duration = Duration::from_secs(5);
/// Seconds that the streams of silent callers take.
const STREAM_S: u64 = 3;
/// Time after the last take-up has ended in which the runs before are observed.
const RUN_OUT_TIME: Duration = Duration::from_millis(1500);
const READY_TIMEOUT: Duration = Duration::from_secs(5);
/// Shift of a wrong clock in milliseconds; more than the time for which closed jobs are kept.
pub(crate) const WRONG_CLOCK_MS: i64 = 400_000;

/// Runs of the items and streams of a play.
#[derive(Clone, Debug, Default)]
pub struct OverlapReport {
    /// Items and streams that ran.
    pub items: usize,
    /// Their runs at workers.
    pub runs: usize,
    /// Pairs of runs of one of them, of which the earlier one went on for over 400 ms beside the later
    /// one.
    pub beside: usize,
    /// Those of these pairs that no fault excuses.
    pub unexcused: usize,
    /// Longest time for which an earlier run went on beside a later one.
    pub longest: Duration,
    /// Items that were done, and streams that were whole, within the time.
    pub done: usize,
    /// Items that began to run after their job had been read as complete.
    pub again: usize,
    /// Requests that may run once and ran more than once.
    pub repeated: usize,
    /// How often a job got another owner.
    pub owner_changes: usize,
    /// Reads of jobs that were answered with 404.
    pub not_found: usize,
    /// Jobs that were accepted when they were sent once more.
    pub accepted_again: usize,
    /// Rules that results of jobs broke, one line each.
    pub broken_results: Vec<String>,
    /// Least, middle and greatest time to the first event of a take-up.
    pub first_event_ms: Option<[u64; 3]>,
    /// Processes of the doubled name that ended by themselves.
    pub ended: Vec<String>,
}

impl OverlapReport {
    /// Whether a rule was broken.
    pub(crate) fn is_broken(&self) -> bool {
        self.unexcused > 0 || self.again > 0 || self.repeated > 0 || !self.broken_results.is_empty()
    }

    /// The fields of the report of a play.
    pub(crate) fn to_json(&self) -> Value {
        json!({
            "items": self.items, "runs": self.runs, "beside": self.beside,
            "unexcused": self.unexcused, "longest_ms": self.longest.as_millis() as u64,
            "done": self.done, "again": self.again, "repeated": self.repeated, "owner_changes": self.owner_changes,
            "not_found": self.not_found, "accepted_again": self.accepted_again,
            "broken_results": self.broken_results.len(), "first_event_ms": self.first_event_ms,
            "ended": self.ended,
        })
    }

    /// Counts the runs of a play until `now`.
    pub(crate) fn count_runs(&mut self, records: &Records, now: Duration) {
        let is_counted = |request: &str| {
            request.starts_with(content::ITEM_PREFIX) || request.starts_with(STREAM_PREFIX)
        };
        let requests = overlap::by_request(&records.executions);
        for (_, runs) in requests.iter().filter(|(request, _)| is_counted(request)) {
            self.items += 1;
            self.runs += runs.len();
        }
        let calls = records.calls.iter();
        let once = calls.filter(|call| call.kind == CallKind::Once);
        let runs_of = |id: &str| requests.get(id).map_or(0, Vec::len);
        self.repeated = once.filter(|call| runs_of(&call.id) > 1).count();
        let pairs = overlap::pairs(&records.executions);
        for pair in pairs.iter().filter(|pair| is_counted(pair.request)) {
            self.beside += 1;
            self.unexcused += usize::from(!pair.is_excused(&records.faults));
            self.longest = self.longest.max(pair.beside(now));
        }
    }

    fn count_jobs(&mut self, records: &Records, jobs: &PlayJobs) {
        self.done = jobs.done();
        self.not_found = jobs.not_found;
        self.broken_results = jobs.broken.clone();
        self.again = jobs.jobs.iter().map(|job| job.run_again(records)).sum();
    }
}

impl PlayKind {
    /// Whether the play is about runs beside one another, and records all faults that excuse them.
    pub(crate) fn judges_overlaps(self) -> bool {
        self.doubles_a_name()
            || self.sends_jobs_again()
            || self.silences_callers()
            || self.judges_results()
            || self == Self::FrozenOwner
    }

    /// Whether processes of one name live at the same time.
    pub(crate) fn doubles_a_name(self) -> bool {
        matches!(
            self,
            Self::SecondProcess
                | Self::SecondProcessOnline
                | Self::SecondProcessPorts
                | Self::SecondProcessFrozen
                | Self::SecondProcessSameMoment
        )
    }

    fn sends_jobs_again(self) -> bool {
        matches!(
            self,
            Self::WrongClockBehind | Self::WrongClockAhead | Self::ClocksAgree
        )
    }

    fn silences_callers(self) -> bool {
        matches!(
            self,
            Self::SilentCaller
                | Self::ClosedCaller
                | Self::SilentCallerOwnFront
                | Self::SilentCallerCut
                | Self::SilentCallerAtStart
        )
    }

    /// Milliseconds by which the clocks of the fronts are shifted, by number of the front. Front 0 closes
    /// all jobs.
    pub(crate) fn clock_shifts_ms(self) -> Vec<i64> {
        match self {
            Self::WrongClockBehind => vec![-WRONG_CLOCK_MS],
            Self::WrongClockAhead => vec![0, WRONG_CLOCK_MS],
            _ => Vec::new(),
        }
    }
}

impl Play {
    /// Plays a kind that judges overlaps.
    pub(crate) async fn play_overlaps(&mut self) -> std::io::Result<PlayReport> {
        match self.config.kind {
            kind if kind.doubles_a_name() => self.play_namesakes().await,
            kind if kind.silences_callers() => self.play_silent_callers().await,
            PlayKind::FrozenOwner => self.play_frozen_owner().await,
            kind if kind.judges_results() => self.play_late_answers().await,
            _ => self.play_closed_jobs().await,
        }
    }

    pub(crate) fn jobs(&self) -> PlayJobs {
        PlayJobs::new(self.fleet.clone(), self.history.clone())
    }

    fn jobs_report(&self, jobs: &PlayJobs, owners: &OwnerWatch) -> OverlapReport {
        let mut report = OverlapReport {
            owner_changes: owners.changes(),
            ..OverlapReport::default()
        };
        report.count_jobs(&self.history.records(), jobs);
        report
    }

    /// Records a fault from `from` until now that excuses runs beside one another.
    pub(crate) fn record_excuse(&self, name: &str, from: Duration) {
        let fault = FaultRecord {
            name: name.to_owned(),
            planned: false,
            at_store: false,
            excuses_overlap: true,
            from,
            to: self.history.now(),
        };
        self.history.update(|records| records.faults.push(fault));
    }

    /// Starts further processes of the name of front 0, which owns jobs.
    async fn play_namesakes(&mut self) -> std::io::Result<PlayReport> {
        let kind = self.config.kind;
        let owners = OwnerWatch::start(self.fleet.kv.clone());
        let load = self.begin_load(kind == PlayKind::SecondProcessOnline);
        let mut namesakes = Vec::new();
        if kind == PlayKind::SecondProcessSameMoment {
            namesakes = self.start_at_same_moment().await?;
        }
        let mut jobs = self.jobs();
        let submitted = Instant::now();
        let (count, seconds, lead, lives) = match kind {
            PlayKind::SecondProcessOnline => (2, 4, SHORT_ITEM_TIME, SHORT_NAMESAKE_TIME),
            _ => (3, 12, ITEM_TIME, NAMESAKE_TIME),
        };
        jobs.submit(count, ITEMS_OF_JOB, seconds).await?;
        if namesakes.is_empty() {
            tokio::time::sleep(lead).await;
            let frozen = kind == PlayKind::SecondProcessFrozen;
            let address = (kind != PlayKind::SecondProcessPorts).then_some(0);
            namesakes = vec![self.start_namesake(address, frozen, &mut jobs).await?];
        }
        jobs.read_until(Instant::now() + lives).await;
        let mut ended = Vec::new();
        if let Some(status) = self.fleet.fronts[0].lock().await.exit_status() {
            ended.push(format!("first: {status}"));
        }
        for namesake in &mut namesakes {
            if let Some(status) = namesake.exit_status() {
                ended.push(format!("second: {status}"));
            }
        }
        let time = match kind {
            PlayKind::SecondProcessFrozen => LONG_JOB_TIME,
            _ => JOB_TIME,
        };
        let stops = join_all(namesakes.iter_mut().map(SoakProcess::stop));
        let (stopped, ()) = tokio::join!(stops, jobs.read_until(submitted + time));
        stopped.into_iter().collect::<std::io::Result<()>>()?;
        end_load(load).await;
        let overlap = OverlapReport {
            ended,
            ..self.jobs_report(&jobs, &owners)
        };
        Ok(PlayReport {
            overlap,
            requests: count_requests(&self.history.records()),
            ..PlayReport::default()
        })
    }

    /// Restarts front 0, and starts one or two namesakes of it, as the number of the run says, at the same
    /// moment.
    async fn start_at_same_moment(&self) -> std::io::Result<Vec<SoakProcess>> {
        let count = 1 + (self.config.run as usize + 1) % 2;
        let namesakes = (0..count).map(|address| self.fleet.namesake(0, Some(address)));
        let mut namesakes = namesakes.collect::<std::io::Result<Vec<_>>>()?;
        let mut first = self.fleet.fronts[0].lock().await;
        first.stop().await?;
        first.spawn()?;
        for namesake in &mut namesakes {
            namesake.spawn()?;
        }
        drop(first);
        // One that yields to another is never ready.
        let _ = play_clients::wait_ready(&self.fleet, READY_TIMEOUT).await;
        Ok(namesakes)
    }

    /// Starts a namesake of front 0, which stands still meanwhile if it is `frozen`.
    async fn start_namesake(
        &self,
        address: Option<usize>,
        frozen: bool,
        jobs: &mut PlayJobs,
    ) -> std::io::Result<SoakProcess> {
        let mut namesake = self.fleet.namesake(0, address)?;
        if !frozen {
            namesake.spawn()?;
            return Ok(namesake);
        }
        let from = self.history.now();
        self.fleet.fronts[0].lock().await.suspend();
        let until = Instant::now() + FREEZE_TIME;
        jobs.read_until(Instant::now() + FREEZE_LEAD).await;
        namesake.spawn()?;
        jobs.read_until(until).await;
        tokio::time::sleep_until(until).await;
        self.fleet.fronts[0].lock().await.resume();
        self.record_excuse("front_paused", from);
        Ok(namesake)
    }

    fn begin_load(&self, is_sent: bool) -> (CancellationToken, JoinSet<()>) {
        let (end, mut load) = (CancellationToken::new(), JoinSet::new());
        let fronts = self.fleet.fronts.len();
        for front in (0..fronts).filter(|_| is_sent) {
            let (fleet, history, end) = (self.fleet.clone(), self.history.clone(), end.clone());
            load.spawn(play_clients::send_load(fleet, history, front, end));
        }
        (end, load)
    }

    /// The owner of running items stands still.
    async fn play_frozen_owner(&mut self) -> std::io::Result<PlayReport> {
        let owners = OwnerWatch::start(self.fleet.kv.clone());
        let mut jobs = self.jobs();
        let submitted = Instant::now();
        jobs.submit(3, ITEMS_OF_JOB, 12).await?;
        tokio::time::sleep(ITEM_TIME).await;
        let from = self.history.now();
        self.fleet.fronts[0].lock().await.pause(FREEZE_TIME).await;
        self.record_excuse("front_paused", from);
        jobs.read_until(submitted + LONG_JOB_TIME).await;
        Ok(PlayReport {
            overlap: self.jobs_report(&jobs, &owners),
            ..PlayReport::default()
        })
    }

    /// Jobs are done, and sent once more when a sweep has passed.
    async fn play_closed_jobs(&mut self) -> std::io::Result<PlayReport> {
        let owners = OwnerWatch::start(self.fleet.kv.clone());
        let mut jobs = self.jobs();
        jobs.submit(CLOSED_JOBS, ITEMS_OF_JOB, 1).await?;
        jobs.read_until(Instant::now() + JOB_TIME).await;
        let done = jobs.done();
        let (swept, mut front) = (Instant::now() + SWEEP_TIME, 0);
        while Instant::now() < swept {
            tokio::time::sleep(STATUS_INTERVAL).await;
            front = (front + 1) % self.fleet.fronts.len();
            jobs.read(front).await;
        }
        let last = self.fleet.fronts.len() - 1;
        let accepted_again = jobs.send_again(last).await;
        tokio::time::sleep(AGAIN_TIME).await;
        let not_found = jobs.not_found;
        jobs.read(last).await;
        let overlap = OverlapReport {
            accepted_again,
            done,
            not_found,
            ..self.jobs_report(&jobs, &owners)
        };
        Ok(PlayReport {
            overlap,
            ..PlayReport::default()
        })
    }

    /// Callers go, with or without closing their connections, and take their streams up elsewhere.
    async fn play_silent_callers(&mut self) -> std::io::Result<PlayReport> {
        let kind = self.config.kind;
        let fleet = self.fleet.clone();
        if kind != PlayKind::SilentCallerAtStart {
            tokio::time::sleep(WARM_UP_TIME).await;
        }
        let streams = (0..STREAMS).map(|number| {
            let id = content::lasting(&format!("{STREAM_PREFIX}-{number}"), STREAM_S);
            let fleet = fleet.clone();
            async move {
                match kind {
                    PlayKind::ClosedCaller => {
                        BrokenStream::begin(&fleet, 0, &id, STREAM_TIME).await
                    }
                    _ => BrokenStream::begin_and_hold(&fleet, 0, &id, STREAM_TIME).await,
                }
            }
        });
        let streams = join_all(streams).await;
        if kind != PlayKind::ClosedCaller {
            fleet.caller_links[0].set(LinkFault::StallExisting);
        }
        let cut_from = self.history.now();
        if kind == PlayKind::SilentCallerCut {
            fleet.cut_off(0);
        }
        let front = match kind {
            PlayKind::SilentCallerOwnFront => 0,
            _ => 1 % fleet.fronts.len(),
        };
        let take_ups = play_clients::take_up_streams(&fleet, front, &streams).await;
        tokio::time::sleep(RUN_OUT_TIME).await;
        if kind == PlayKind::SilentCallerCut {
            self.record_excuse("peers_cut", cut_from);
        }
        let ends: Vec<StreamEnd> = take_ups.iter().map(|take_up| take_up.end).collect();
        let first_events = take_ups.iter().filter_map(|take_up| take_up.first_event);
        let mut first_events: Vec<u64> = first_events
            .map(|first_event| first_event.as_millis() as u64)
            .collect();
        first_events.sort_unstable();
        let last = first_events.len().saturating_sub(1);
        let overlap = OverlapReport {
            done: ends.iter().filter(|end| **end == StreamEnd::Whole).count(),
            first_event_ms: (!first_events.is_empty())
                .then(|| [0, last / 2, last].map(|position| first_events[position])),
            ..OverlapReport::default()
        };
        Ok(PlayReport {
            streams: ends,
            overlap,
            ..PlayReport::default()
        })
    }
}

async fn end_load((end, load): (CancellationToken, JoinSet<()>)) {
    end.cancel();
    load.join_all().await;
}
