//! Health of upstreams by this host's own evidence: ejection on errors and slow return.

use std::time::Duration;

use tokio::time::Instant;

/// Failures in a row after which an upstream is ejected.
const MAX_FAILURES: u32 = 3;
const FIRST_EJECTION: Duration = Duration::from_secs(1);
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Time over which an upstream that returns is given its full part of the work.
const RETURN_TIME: Duration = Duration::from_secs(5);
const FIRST_RETURN_SHARE: f64 = 0.1;
/// Time of good health after which the next ejection is short again.
const FORGIVE_AFTER: Duration = Duration::from_secs(60);
/// One upstream in so many may be ejected at once.
pub(crate) const EJECTED_DIVISOR: usize = 4;
/// Load reports that fail in a row until an engine counts as dead.
const MAX_MISSED_REPORTS: u32 = 2;

/// A change of health that others should hear of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthChange {
    /// The upstream was ejected for this time.
    Ejected(Duration),
    /// The upstream is taken back slowly.
    Returned,
}

/// Health of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamHealth {
    failures: u32,
    missed_reports: u32,
    ejected_until: Option<Instant>,
    ejection: Duration,
    returned_at: Option<Instant>,
}

impl UpstreamHealth {
    pub(crate) fn new() -> Self {
        Self {
            failures: 0,
            missed_reports: 0,
            ejected_until: None,
            ejection: FIRST_EJECTION,
            returned_at: None,
        }
    }

    /// Takes note of work that went well.
    pub(crate) fn note_success(&mut self, now: Instant) {
        self.failures = 0;
        let well = |since: Instant| now.duration_since(since) >= FORGIVE_AFTER;
        if self.returned_at.is_some_and(well) {
            self.ejection = FIRST_EJECTION;
            self.returned_at = None;
        }
    }

    /// Takes note of a failure; ejects the upstream if that `may_eject`.
    pub(crate) fn note_failure(&mut self, may_eject: bool, now: Instant) -> Option<HealthChange> {
        self.failures += 1;
        if self.failures < MAX_FAILURES || self.ejected_until.is_some() || !may_eject {
            return None;
        }
        let time = self.ejection;
        self.ejected_until = Some(now + time);
        self.ejection = (time * 2).min(MAX_EJECTION);
        self.failures = 0;
        Some(HealthChange::Ejected(time))
    }

    /// Takes note of a load report or of its absence.
    pub(crate) fn note_report(&mut self, arrived: bool) {
        self.missed_reports = match arrived {
            true => 0,
            false => self.missed_reports + 1,
        };
    }

    /// Takes note of a crash: the upstream counts as dead until it reports its load again.
    pub(crate) fn note_crash(&mut self) {
        self.missed_reports = MAX_MISSED_REPORTS;
    }

    /// Takes an ejected upstream back when its time is over.
    pub(crate) fn tick(&mut self, now: Instant) -> Option<HealthChange> {
        let over = self.ejected_until.is_some_and(|until| until <= now);
        if !over {
            return None;
        }
        self.ejected_until = None;
        self.returned_at = Some(now);
        Some(HealthChange::Returned)
    }

    /// Whether the upstream is ejected.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether the upstream does not even answer for its load.
    pub(crate) fn is_dead(&self) -> bool {
        self.missed_reports >= MAX_MISSED_REPORTS
    }

    /// Part of its usual work that the upstream may get, from 0 to 1.
    pub(crate) fn work_share(&self, now: Instant) -> f64 {
        if self.is_ejected() {
            return 0.0;
        }
        let Some(returned) = self.returned_at else {
            return 1.0;
        };
        let passed = now.duration_since(returned).as_secs_f64() / RETURN_TIME.as_secs_f64();
        (FIRST_RETURN_SHARE + passed * (1.0 - FIRST_RETURN_SHARE)).min(1.0)
    }
}
