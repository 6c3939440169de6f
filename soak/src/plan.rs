//! Random choice of the faults of a run, determined by its seed.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use strum::IntoEnumIterator;

const FAULT_INTERVAL_MS: std::ops::Range<u64> = 100..2200;
const FAULT_DURATION_MS: std::ops::Range<u64> = 300..6000;
/// Upper bound of the time from the start of the load to the first fault.
const FIRST_FAULT_MS: u64 = 2000;
/// One in this many seeds has only planned maintenance, as the guarantees about cut-off requests
/// are checked only while no unplanned fault is in effect.
const PLANNED_ONE_IN: u64 = 3;

/// One in this many of the other seeds has only faults that hide a change, and planned maintenance,
/// as the guarantees about changes are checked only while no other fault is in effect.
const HIDDEN_ONE_IN: u64 = 7;

/// First seed of the plans with faults that may double runs. The plans of lower seeds have none, so that
/// they stay as they were when these seeds found a fault.
pub const FIRST_DOUBLED_SEED: u64 = 1000;
/// First seed of the plans in which the store answers late and jobs lose their owners' keys. Lower seeds
/// draw neither.
pub const FIRST_LATE_SEED: u64 = 2000;
/// First seed of the runs with items that fail at each run and with rare long requests amid short ones. Their
/// faults only stop, suspend and kill fronts; those of even seeds are planned maintenance.
pub const FIRST_FAILING_SEED: u64 = 3000;
/// First seed of the runs in which stale reads of the store are always seconds old, jobs with long items are
/// ended at any front, and long requests arrive late in stops of fronts that have served none. Their faults stop
/// fronts; those of odd seeds suspend and kill them too, and stop the store.
pub const FIRST_STALE_SEED: u64 = 4000;
/// One in this many of the other seeds from `FIRST_DOUBLED_SEED` on has all kinds, and the others have planned maintenance and faults that
/// may double runs only, as most other faults excuse runs beside one another.
const ALL_KINDS_ONE_IN: u64 = 3;
/// Times of day of [`FaultKind::ClockWrong`] less the right one.
const CLOCK_SHIFTS_MS: [i64; 8] = [
    -172_800_000,
    -400_000,
    -90_000,
    -4_000,
    4_000,
    90_000,
    400_000,
    172_800_000,
];

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum FaultKind {
    /// A front is killed (SIGKILL) and restarted.
    FrontKilled,
    /// All fronts are killed (SIGKILL) at the same time and restarted.
    FrontsKilled,
    /// A front is suspended (SIGSTOP) and then resumed.
    FrontPaused,
    /// A front is stopped gracefully (SIGTERM) and restarted.
    FrontStopped,
    /// All fronts are stopped gracefully and restarted, one after the other.
    FrontsRolled,
    /// The settings file of a front is rewritten and reloaded (SIGHUP).
    SettingsChanged,
    /// The store rejects every call as unavailable.
    StoreDown,
    /// The store delays every call.
    StoreSlow,
    /// The responses to some writes to the store are lost after the writes took effect.
    StoreAnswersLost,
    /// The store compacts its history, so that open watches must begin anew.
    StoreForgets,
    /// Bytes between a front and the store are withheld in both directions.
    StoreSilent,
    /// Bytes from a front to the store are withheld.
    StoreCutThere,
    /// Bytes from the store to a front are withheld.
    StoreCutBack,
    /// Open connections of all fronts to the store stall for good; new ones work.
    StoreOldSilent,
    /// Connections of a front to the store are reset.
    StoreReset,
    /// All open connections of all fronts to the store, to each other, to callers and to workers stall
    /// for good; new ones work.
    AllOldSilent,
    /// Connections on which watches of the manifest wait go silent for good; new ones work.
    ConfigWatchSilent,
    /// Connections on which watches of the workers' entries wait go silent for good; new ones work.
    EntryWatchSilent,
    /// The store's answers to fronts lack their bodies.
    StoreBodiesSilent,
    /// The store refuses connections of fronts, and open ones go silent for good.
    StoreAwayRefusing,
    /// Open and new connections of fronts to the store go silent for good.
    StoreAwayMute,
    /// Connections of callers to a front are delayed.
    CallersDelayed,
    /// Connections of callers to a front are reset.
    CallersReset,
    /// Bytes from a front to callers are withheld.
    CallersCutBack,
    /// Open connections of callers to a front stall for good; new ones work.
    CallersOldSilent,
    /// A worker crashes without notice and is restarted under a new name.
    WorkerCrashed,
    /// Bytes to and from a worker are withheld.
    WorkerSilent,
    /// Bytes from a worker are withheld.
    WorkerCutBack,
    /// Open connections to a worker stall for good; new ones work.
    WorkerOldSilent,
    /// Connections to a worker are reset.
    WorkerReset,
    /// Connections to a worker are delayed.
    WorkerDelayed,
    /// A worker fails part of its requests (status 500).
    WorkerGrey,
    /// A worker restarts under its name and address with another version; its entry lags behind.
    WorkerRestarted,
    /// A worker is drained and replaced by another.
    WorkerReplaced,
    /// A route is added to the manifest.
    ManifestChanged,
    /// A route is moved to another service in the manifest.
    RouteMoved,
    /// A second process with the name of a front starts at another address, and is stopped or killed.
    NamesakeStarted,
    /// A front is stopped gracefully and restarted with a wrong time of day, which it keeps.
    ClockWrong,
    /// Callers of a front fall silent without closing their connections, and take their streams up at
    /// another front.
    CallersGone,
    /// The store executes calls at once and answers them late.
    StoreAnswersLate,
    /// The store answers only writes of results of jobs late.
    StoreResultsLate,
    /// The keys of owners of open jobs are deleted again and again.
    OwnersDeleted,
}

impl FaultKind {
    /// Whether this is planned maintenance, which must not cut off requests.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Self::FrontStopped
                | Self::FrontsRolled
                | Self::SettingsChanged
                | Self::WorkerReplaced
                | Self::ManifestChanged
                | Self::RouteMoved
        )
    }

    /// Whether the fault leaves all in working order, and only hides later changes from fronts.
    pub fn hides_changes(self) -> bool {
        matches!(
            self,
            Self::ConfigWatchSilent | Self::EntryWatchSilent | Self::WorkerRestarted
        )
    }

    /// Whether the fault may make hosts run a request twice, which it excuses as little as planned
    /// maintenance does.
    pub fn doubles_runs(self) -> bool {
        matches!(
            self,
            Self::NamesakeStarted | Self::ClockWrong | Self::CallersGone
        )
    }

    /// Whether the fault brings answers of the store behind later ones, or takes jobs from their owners,
    /// which it excuses as little as planned maintenance does.
    pub fn unsettles_jobs(self) -> bool {
        matches!(
            self,
            Self::StoreAnswersLate | Self::StoreResultsLate | Self::OwnersDeleted
        )
    }

    /// Whether the store answers nobody, or not the fronts that are affected.
    pub fn stops_store(self) -> bool {
        matches!(
            self,
            Self::StoreDown | Self::StoreAwayRefusing | Self::StoreAwayMute
        )
    }

    /// Whether a front ends or stands still, and starts or goes on.
    pub fn interrupts_fronts(self) -> bool {
        matches!(
            self,
            Self::FrontKilled | Self::FrontStopped | Self::FrontPaused | Self::FrontsRolled
        )
    }

    /// Whether the fault impairs the store itself, and not the ways to it.
    pub fn is_at_store(self) -> bool {
        matches!(
            self,
            Self::StoreDown
                | Self::StoreSlow
                | Self::StoreAnswersLost
                | Self::StoreForgets
                | Self::StoreAnswersLate
                | Self::StoreResultsLate
        )
    }

    /// Whether the fault affects one front, so that its target is the number of a front.
    pub fn is_at_front(self) -> bool {
        matches!(
            self,
            Self::FrontKilled
                | Self::FrontPaused
                | Self::FrontStopped
                | Self::SettingsChanged
                | Self::StoreSilent
                | Self::StoreCutThere
                | Self::StoreCutBack
                | Self::StoreReset
                | Self::ConfigWatchSilent
                | Self::EntryWatchSilent
                | Self::StoreBodiesSilent
                | Self::StoreAwayRefusing
                | Self::StoreAwayMute
                | Self::CallersDelayed
                | Self::CallersReset
                | Self::CallersCutBack
                | Self::CallersOldSilent
                | Self::NamesakeStarted
                | Self::ClockWrong
                | Self::CallersGone
        )
    }
}

/// How many fronts a fault affects, for kinds that may affect several.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum FaultScope {
    /// The front that is the target.
    One,
    /// Half of the fronts, from the target on.
    Half,
    /// All fronts.
    All,
}

impl FaultScope {
    /// Numbers of the affected fronts of `count`, of which `target` is one.
    pub fn fronts(self, target: usize, count: usize) -> Vec<usize> {
        let affected = match self {
            Self::One => 1,
            Self::Half => count.div_ceil(2),
            Self::All => count,
        };
        (target..target + affected)
            .map(|number| number % count)
            .collect()
    }
}

/// A fault of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Time from the start of the load to the beginning of the fault.
    pub at: Duration,
    /// Duration of the fault; unused by kinds that take effect at once or end by themselves.
    pub length: Duration,
    /// What the fault does.
    pub kind: FaultKind,
    /// Number of the front or worker that is affected; unused by kinds that affect all.
    pub target: usize,
    /// Number of fronts that are affected; unused by kinds that affect one or all.
    pub scope: FaultScope,
}

impl PlannedFault {
    /// Milliseconds by which a wrong clock is shifted.
    pub fn clock_shift_ms(&self) -> i64 {
        CLOCK_SHIFTS_MS[self.at.as_millis() as usize % CLOCK_SHIFTS_MS.len()]
    }

    /// Whether a process ends by SIGKILL, and not by SIGTERM.
    pub fn ends_by_kill(&self) -> bool {
        self.at.as_millis().is_multiple_of(2)
    }
}

/// Schedule of the faults of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPlan {
    /// Faults in the order in which they begin; they may overlap.
    pub faults: Vec<PlannedFault>,
}

/// Whether plans of `seed` have faults of `kind`.
fn is_drawn(kind: FaultKind, seed: u64) -> bool {
    if seed >= FIRST_STALE_SEED {
        let is_stop = matches!(kind, FaultKind::FrontStopped | FaultKind::FrontsRolled);
        let is_other = kind.interrupts_fronts() || kind.stops_store();
        return is_stop || (is_other && !seed.is_multiple_of(2));
    }
    if seed >= FIRST_FAILING_SEED {
        return kind.interrupts_fronts() && (kind.is_planned() || !seed.is_multiple_of(2));
    }
    if seed >= FIRST_LATE_SEED {
        let all_kinds = seed.is_multiple_of(ALL_KINDS_ONE_IN);
        return all_kinds || kind.interrupts_fronts() || kind.unsettles_jobs();
    }
    if kind.unsettles_jobs() {
        return false;
    }
    if seed >= FIRST_DOUBLED_SEED {
        let all_kinds = seed.is_multiple_of(ALL_KINDS_ONE_IN);
        return all_kinds || kind.is_planned() || kind.doubles_runs();
    }
    let planned_only = seed.is_multiple_of(PLANNED_ONE_IN);
    let hidden_only = seed.is_multiple_of(HIDDEN_ONE_IN);
    match (planned_only, hidden_only) {
        _ if kind.doubles_runs() => false,
        (true, _) => kind.is_planned(),
        (false, true) => kind.is_planned() || kind.hides_changes(),
        (false, false) => true,
    }
}

impl FaultPlan {
    /// Draws faults that begin within `time`, at random as `seed` determines.
    pub fn new(seed: u64, time: Duration, fronts: usize, workers: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let kinds: Vec<FaultKind> = FaultKind::iter()
            .filter(|kind| is_drawn(*kind, seed))
            .collect();
        let scopes: Vec<FaultScope> = FaultScope::iter().collect();
        let mut faults = Vec::new();
        let mut at = Duration::from_millis(rng.random_range(0..FIRST_FAULT_MS));
        while at < time {
            let kind = *kinds.choose(&mut rng).expect("there are kinds");
            let count = if kind.is_at_front() { fronts } else { workers };
            faults.push(PlannedFault {
                at,
                length: Duration::from_millis(rng.random_range(FAULT_DURATION_MS)),
                kind,
                target: rng.random_range(0..count),
                scope: *scopes.choose(&mut rng).expect("there are scopes"),
            });
            at += Duration::from_millis(rng.random_range(FAULT_INTERVAL_MS));
        }
        Self { faults }
    }
}
