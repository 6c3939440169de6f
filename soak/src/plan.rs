//! Seeded choice of faults.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use strum::IntoEnumIterator;

const PAUSE_MS: std::ops::Range<u64> = 100..2200;
const LENGTH_MS: std::ops::Range<u64> = 300..6000;
/// Longest quiet time before the first fault.
const LEAD_MS: u64 = 2000;
/// One seed in so many has planned work only, so that the promises about it are judged.
const PLANNED_ONE_IN: u64 = 3;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum FaultKind {
    /// A front is killed and started again.
    FrontKilled,
    /// All fronts are killed at the same moment.
    FrontsKilled,
    /// A front is frozen.
    FrontPaused,
    /// A front is stopped as planned and started again.
    FrontStopped,
    /// All fronts are stopped as planned, one after the other.
    FrontsRolled,
    /// The settings file of a front changes.
    SettingsChanged,
    /// The store fails each call.
    StoreDown,
    /// The store is slow.
    StoreSlow,
    /// Answers of the store are lost after their effect.
    StoreAnswersLost,
    /// The store forgets its history.
    StoreForgets,
    /// A front hears nothing of the store.
    StoreSilent,
    /// What a front sends to the store is held.
    StoreCutThere,
    /// What the store sends to a front is held.
    StoreCutBack,
    /// Open connections of all fronts to the store go silent for good.
    StoreOldSilent,
    /// Connections of a front to the store are reset.
    StoreReset,
    /// Connections of callers to a front are delayed.
    CallersDelayed,
    /// Connections of callers to a front are reset.
    CallersReset,
    /// What a front sends to callers is held.
    CallersCutBack,
    /// Open connections of callers to a front go silent for good.
    CallersOldSilent,
    /// A worker ends without notice and is back under a new name.
    WorkerCrashed,
    /// A worker hears and says nothing.
    WorkerSilent,
    /// What a worker sends is held.
    WorkerCutBack,
    /// Open connections to a worker go silent for good.
    WorkerOldSilent,
    /// Connections to a worker are reset.
    WorkerReset,
    /// Connections to a worker are delayed.
    WorkerDelayed,
    /// A worker fails part of its requests.
    WorkerGrey,
    /// A worker leaves as planned, and another comes.
    WorkerReplaced,
    /// The manifest gets one more route.
    ManifestChanged,
}

impl FaultKind {
    /// Whether this is planned work, which must not cut off requests.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Self::FrontStopped
                | Self::FrontsRolled
                | Self::SettingsChanged
                | Self::WorkerReplaced
                | Self::ManifestChanged
        )
    }

    /// Whether the fault concerns a front, so that its number is a front's.
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
                | Self::CallersDelayed
                | Self::CallersReset
                | Self::CallersCutBack
                | Self::CallersOldSilent
        )
    }
}

/// A fault of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// When it begins, after the start of the load.
    pub at: Duration,
    /// How long it lasts, where that has a meaning.
    pub length: Duration,
    /// What happens.
    pub kind: FaultKind,
    /// Number of the front or worker that it concerns.
    pub target: usize,
}

/// Faults in the order of their beginning; they may overlap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPlan {
    /// The faults.
    pub faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// Draws the faults of `seed` for `time` of load.
    pub fn new(seed: u64, time: Duration, fronts: usize, workers: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let planned_only = seed.is_multiple_of(PLANNED_ONE_IN);
        let kinds: Vec<FaultKind> = FaultKind::iter()
            .filter(|kind| !planned_only || kind.is_planned())
            .collect();
        let mut faults = Vec::new();
        let mut at = Duration::from_millis(rng.random_range(0..LEAD_MS));
        while at < time {
            let kind = *kinds.choose(&mut rng).expect("there are kinds");
            let count = if kind.is_at_front() { fronts } else { workers };
            faults.push(PlannedFault {
                at,
                length: Duration::from_millis(rng.random_range(LENGTH_MS)),
                kind,
                target: rng.random_range(0..count),
            });
            at += Duration::from_millis(rng.random_range(PAUSE_MS));
        }
        Self { faults }
    }
}
