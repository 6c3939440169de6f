//! Plays in which fronts lose the workers, while clients, the store and the other fronts reach them.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use serde_json::Value;
use serde_json::json;
use strum::IntoEnumIterator;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::history::CallKind;
use crate::history::CallOutcome;
use crate::history::CallRecord;
use crate::history::Records;
use crate::play::Play;
use crate::play::PlayKind;
use crate::play::PlayReport;
use crate::play::WARM_UP_TIME;
use crate::play::count_requests;
use crate::play_clients;
use crate::worker_link::CutKind;
use crate::worker_link::CutScope;
use crate::workers::DESK;

/// Time between two requests to one front.
const TRY_INTERVAL: Duration = Duration::from_millis(40);
const CUT_TIME: Duration = Duration::from_secs(9);
/// Time of load after the last cut.
const AFTER_TIME: Duration = Duration::from_secs(3);
/// Time from the beginning of a cut from which the rule counts tries (`stableMs`), and from which we aim
/// to serve them.
const STABLE_TIME: Duration = Duration::from_secs(3);
const AIM_TIME: Duration = Duration::from_secs(1);
/// Tries that may fail at fronts without workers: this many, and one in so many.
const MAX_FAILED: usize = 10;
const FAILED_ONE_IN: usize = 50;
const CUTS_OF_SERIES: usize = 4;
const SERIES_CUT_MS: std::ops::Range<u64> = 4_000..7_000;
const SERIES_GAP_MS: std::ops::Range<u64> = 0..2_000;
const RESTART_GAP_MS: std::ops::Range<u64> = 500..5_000;

/// Tries that were sent, and those among them that were served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TryCounts {
    /// Tries that were sent.
    pub sent: usize,
    /// Tries that were served.
    pub served: usize,
}

impl TryCounts {
    fn add(&mut self, is_served: bool) {
        self.sent += 1;
        self.served += usize::from(is_served);
    }
}

/// First tries at fronts without workers, and at the others meanwhile.
#[derive(Clone, Debug, Default)]
pub struct ReachReport {
    /// Tries at fronts without workers, from `stableMs` after they lost them.
    pub stranded: TryCounts,
    /// Tries at the others in the same times.
    pub others: TryCounts,
    /// As `stranded`, from one to three seconds after the loss.
    pub early_stranded: TryCounts,
    /// As `others`, in the same times.
    pub early_others: TryCounts,
    /// Answers with other bytes than those asked for, or with events of two versions.
    pub wrong: usize,
    /// Tries at fronts without workers that were not served, by outcome.
    pub failures: BTreeMap<String, usize>,
}

impl ReachReport {
    /// Whether a rule was broken.
    pub fn is_broken(&self) -> bool {
        let TryCounts { sent, served } = self.stranded;
        let failed = sent - served;
        let is_rare = served * self.others.sent * 3 < self.others.served * sent * 2;
        self.wrong > 0 || (is_rare && failed > MAX_FAILED + sent / FAILED_ONE_IN)
    }

    /// The fields of the report of a play.
    pub(crate) fn to_json(&self) -> Value {
        let pair = |counts: TryCounts| json!([counts.served, counts.sent]);
        json!({
            "stranded": pair(self.stranded), "others": pair(self.others),
            "early_stranded": pair(self.early_stranded), "early_others": pair(self.early_others),
            "wrong": self.wrong, "failures": self.failures,
        })
    }

    /// Counts the tries of `records` by the cuts of the play, less those at fronts that were ended and
    /// had not run for long again.
    pub fn count(&mut self, records: &Records, cuts: &[CutRecord], restarts: &[RestartRecord]) {
        let is_away = |call: &CallRecord| {
            let mut restarts = restarts
                .iter()
                .filter(|restart| restart.front == call.front);
            restarts
                .any(|restart| restart.from <= call.ended && call.sent <= restart.to + STABLE_TIME)
        };
        for call in records.calls.iter().filter(|call| !is_away(call)) {
            let is_served = call.outcome == CallOutcome::Served;
            let is_wrong = |outcome: &CallOutcome| {
                matches!(outcome, CallOutcome::Joined(_) | CallOutcome::Mismatched(_))
            };
            self.wrong += usize::from(is_wrong(&call.outcome));
            for cut in cuts.iter().filter(|cut| cut.to > call.sent) {
                let is_stranded = cut.fronts.contains(&call.front);
                let counts = match (call.sent.checked_sub(cut.from), is_stranded) {
                    (Some(after), true) if after >= STABLE_TIME => &mut self.stranded,
                    (Some(after), false) if after >= STABLE_TIME => &mut self.others,
                    (Some(after), true) if after >= AIM_TIME => &mut self.early_stranded,
                    (Some(after), false) if after >= AIM_TIME => &mut self.early_others,
                    _ => continue,
                };
                counts.add(is_served);
                if is_stranded && !is_served {
                    let outcome = format!("{:?}", call.outcome);
                    *self.failures.entry(outcome).or_default() += 1;
                }
            }
        }
    }
}

/// A time in which fronts were without workers.
#[derive(Clone, Debug)]
pub struct CutRecord {
    /// Numbers of the fronts.
    pub fronts: Vec<usize>,
    /// When they lost the workers.
    pub from: Duration,
    /// When they got them back.
    pub to: Duration,
}

/// A time in which a front was ended and started again.
#[derive(Clone, Copy, Debug)]
pub struct RestartRecord {
    /// Number of the front.
    pub front: usize,
    /// When it was told to end.
    pub from: Duration,
    /// When it was started.
    pub to: Duration,
}

impl PlayKind {
    /// Whether fronts lose the workers.
    pub(crate) fn strands_fronts(self) -> bool {
        self.cut_kind().is_some() || self == Self::StrandedSeries
    }

    fn cut_kind(self) -> Option<CutKind> {
        match self {
            Self::StrandedHang => Some(CutKind::Hang),
            Self::StrandedReset => Some(CutKind::Reset),
            Self::StrandedRefuse => Some(CutKind::Refuse),
            _ => None,
        }
    }
}

impl Play {
    /// Takes the workers from fronts under load.
    pub(crate) async fn play_stranded(&mut self) -> std::io::Result<PlayReport> {
        let end = CancellationToken::new();
        let mut load = JoinSet::new();
        for front in 0..self.fleet.fronts.len() {
            load.spawn(self.send_tries(front, end.clone()));
        }
        tokio::time::sleep(WARM_UP_TIME).await;
        let mut rng = StdRng::seed_from_u64(self.config.run);
        let faults_end = CancellationToken::new();
        let cuts = async {
            let cuts = match self.config.kind.cut_kind() {
                Some(kind) => vec![self.cut(&mut rng, CutScope::All, kind, CUT_TIME).await],
                None => self.cut_in_series(&mut rng).await,
            };
            faults_end.cancel();
            cuts
        };
        let (cuts, restarts) = tokio::join!(cuts, self.restart_in_series(&faults_end));
        let restarts = restarts?;
        tokio::time::sleep(AFTER_TIME).await;
        end.cancel();
        load.join_all().await;
        let records = self.history.records();
        let mut report = PlayReport {
            requests: count_requests(&records),
            ..PlayReport::default()
        };
        report.reach.count(&records, &cuts, &restarts);
        Ok(report)
    }

    /// Sends a request of each kind in turn to a front until `end`, whatever became of those before.
    fn send_tries(&self, front: usize, end: CancellationToken) -> impl Future<Output = ()> + use<> {
        let (fleet, history) = (self.fleet.clone(), self.history.clone());
        async move {
            let kinds: Vec<CallKind> = CallKind::iter().collect();
            let mut tries = JoinSet::new();
            for number in 0.. {
                if end.is_cancelled() {
                    break;
                }
                let (fleet, history) = (fleet.clone(), history.clone());
                let kind = kinds[number % kinds.len()];
                let id = format!("try-{front}-{number}");
                tries.spawn(async move {
                    play_clients::send_one(&fleet, &history, front, kind, id).await;
                });
                tokio::time::sleep(TRY_INTERVAL).await;
            }
            tries.join_all().await;
        }
    }

    /// Takes workers from the harmed fronts, at least one fewer than there are, for `time`.
    async fn cut(
        &self,
        rng: &mut StdRng,
        scope: CutScope,
        kind: CutKind,
        time: Duration,
    ) -> CutRecord {
        let count = self.fleet.fronts.len();
        let harmed = self.config.harmed.min(count.saturating_sub(1));
        let first = rng.random_range(0..count);
        let fronts: Vec<usize> = (first..first + harmed).map(|front| front % count).collect();
        let set = |cut| {
            let links = self.fleet.worker_links.iter();
            links.for_each(|links| fronts.iter().for_each(|front| links.set_cut(*front, cut)));
        };
        let from = self.history.now();
        set(Some((scope, kind)));
        tokio::time::sleep(time).await;
        set(None);
        let to = self.history.now();
        CutRecord { fronts, from, to }
    }

    async fn cut_in_series(&self, rng: &mut StdRng) -> Vec<CutRecord> {
        let kinds: Vec<CutKind> = CutKind::iter().collect();
        let scopes = [CutScope::All, CutScope::Most, CutScope::Service(DESK)];
        let mut cuts = Vec::new();
        for _ in 0..CUTS_OF_SERIES {
            let kind = *kinds.choose(rng).expect("there are kinds");
            let scope = *scopes.choose(rng).expect("there are scopes");
            let time = Duration::from_millis(rng.random_range(SERIES_CUT_MS));
            cuts.push(self.cut(rng, scope, kind, time).await);
            let gap = Duration::from_millis(rng.random_range(SERIES_GAP_MS));
            tokio::time::sleep(gap).await;
        }
        cuts
    }

    /// Kills or stops a front now and then until `end`, in a series.
    async fn restart_in_series(
        &self,
        end: &CancellationToken,
    ) -> std::io::Result<Vec<RestartRecord>> {
        let mut restarts = Vec::new();
        if self.config.kind != PlayKind::StrandedSeries {
            return Ok(restarts);
        }
        let mut rng = StdRng::seed_from_u64(self.config.run.wrapping_mul(29) + 3);
        loop {
            let gap = Duration::from_millis(rng.random_range(RESTART_GAP_MS));
            if end
                .run_until_cancelled(tokio::time::sleep(gap))
                .await
                .is_none()
            {
                return Ok(restarts);
            }
            let front = rng.random_range(0..self.fleet.fronts.len());
            let mut process = self.fleet.fronts[front].lock().await;
            let from = self.history.now();
            match rng.random_bool(0.5) {
                true => process.kill_and_restart().await?,
                false => process.stop_and_restart().await?,
            }
            let to = self.history.now();
            restarts.push(RestartRecord { front, from, to });
        }
    }
}
