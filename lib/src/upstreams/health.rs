//! Outlier ejection of upstreams from this host's own requests, with a slow start after the return.

use std::time::Duration;

use tokio::time::Instant;

/// Number of consecutive failures that eject an upstream.
const MAX_FAILURES: u32 = 3;
/// Length of the first ejection; it doubles with each further one, up to [`MAX_EJECTION`].
const FIRST_EJECTION: Duration = Duration::from_secs(1);
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// Slow start: time over which the work of an upstream that returns from ejection grows back to its
/// full share.
const SLOW_START_TIME: Duration = Duration::from_secs(5);
/// Fraction of its usual work that an upstream gets at the start of the slow start.
const MIN_SLOW_START_SHARE: f64 = 0.1;
/// Time after the return from an ejection after which a success resets the length of the next one.
const EJECTION_RESET_TIME: Duration = Duration::from_secs(60);
/// At most one in this many upstreams may be ejected at the same time.
pub(crate) const EJECTED_DIVISOR: usize = 4;
/// Number of consecutive failed load reports after which an engine counts as dead.
const MAX_MISSED_REPORTS: u32 = 2;

/// A change of health to be counted and recorded as a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthChange {
    /// The upstream was ejected for this time.
    Ejected(Duration),
    /// The ejection is over; the upstream returns with a slow start.
    Returned,
}

/// Consecutive failures of one upstream, its ejections, and its missed load reports.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamHealth {
    failures: u32,
    missed_reports: u32,
    ejected_until: Option<Instant>,
    next_ejection: Duration,
    returned_at: Option<Instant>,
}

impl UpstreamHealth {
    pub(crate) fn new() -> Self {
        Self {
            failures: 0,
            missed_reports: 0,
            ejected_until: None,
            next_ejection: FIRST_EJECTION,
            returned_at: None,
        }
    }

    /// Records work that ended successfully.
    pub(crate) fn note_success(&mut self, now: Instant) {
        self.failures = 0;
        let well = |since: Instant| now.duration_since(since) >= EJECTION_RESET_TIME;
        if self.returned_at.is_some_and(well) {
            self.next_ejection = FIRST_EJECTION;
            self.returned_at = None;
        }
    }

    /// Records failed work. With the last of [`MAX_FAILURES`] consecutive failures the upstream is
    /// ejected, if `may_eject` permits it and it is not ejected already.
    pub(crate) fn note_failure(&mut self, may_eject: bool, now: Instant) -> Option<HealthChange> {
        self.failures += 1;
        if self.failures < MAX_FAILURES || self.ejected_until.is_some() || !may_eject {
            return None;
        }
        let time = self.next_ejection;
        self.ejected_until = Some(now + time);
        self.next_ejection = (time * 2).min(MAX_EJECTION);
        self.failures = 0;
        Some(HealthChange::Ejected(time))
    }

    /// Records whether a load report arrived or was missed.
    pub(crate) fn note_report(&mut self, arrived: bool) {
        self.missed_reports = match arrived {
            true => 0,
            false => self.missed_reports + 1,
        };
    }

    /// Records a crash: the upstream counts as dead until it reports its load again.
    pub(crate) fn note_crash(&mut self) {
        self.missed_reports = MAX_MISSED_REPORTS;
    }

    /// Ends the ejection if its time has passed at `now`.
    pub(crate) fn end_ejection(&mut self, now: Instant) -> Option<HealthChange> {
        let over = self.ejected_until.is_some_and(|until| until <= now);
        if !over {
            return None;
        }
        self.ejected_until = None;
        self.returned_at = Some(now);
        Some(HealthChange::Returned)
    }

    /// Whether the upstream is ejected and gets no work.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether the upstream crashed or missed [`MAX_MISSED_REPORTS`] load reports in a row.
    pub(crate) fn is_dead(&self) -> bool {
        self.missed_reports >= MAX_MISSED_REPORTS
    }

    /// Fraction of its usual work that the upstream may get at `now`: 0 while it is ejected,
    /// growing to 1 during the slow start, and 1 otherwise.
    pub(crate) fn work_share(&self, now: Instant) -> f64 {
        if self.is_ejected() {
            return 0.0;
        }
        let Some(returned) = self.returned_at else {
            return 1.0;
        };
        let passed = now.duration_since(returned).as_secs_f64() / SLOW_START_TIME.as_secs_f64();
        (MIN_SLOW_START_SHARE + passed * (1.0 - MIN_SLOW_START_SHARE)).min(1.0)
    }
}
