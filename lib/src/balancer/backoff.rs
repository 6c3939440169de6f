//! Ejection of one upstream with exponential backoff, from the outcomes of this host's own
//! requests.

use std::time::Duration;

use tokio::time::Instant;

/// Backoff after the first ejecting fault; it doubles with each consecutive one.
const FIRST_BACKOFF: Duration = Duration::from_millis(500);
const MAX_BACKOFF: Duration = Duration::from_secs(4);
/// Time without requests after the upstream refused one as full.
const FULL_BACKOFF: Duration = Duration::from_millis(60);
/// Time without requests after another upstream answered at the address.
const MOVED_BACKOFF: Duration = Duration::from_secs(2);
/// Longest time between two broken, failed or slow answers that count as consecutive.
const SOFT_FAULT_WINDOW: Duration = Duration::from_secs(2);
/// Number of consecutive broken, failed or slow answers that eject the upstream.
const MAX_SOFT_FAULTS: u32 = 3;

/// How a request failed at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamFault {
    /// No connection could be opened.
    Unreachable,
    /// A running request got no data for too long, and neither did any other one at the upstream.
    Silent,
    /// A running request got no data for too long, while others at the upstream made progress.
    Slow,
    /// The answer was cut off or did not belong to the request.
    Broken,
    /// The upstream refused the request because all its slots are taken; the request did not run.
    Full,
    /// Another upstream answered at the address; the request did not run.
    Moved,
    /// The upstream returned an error after the request had begun to run.
    Failed,
}

/// Recent faults of one upstream, and how long it gets no requests for them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FaultBackoff {
    backoff_until: Option<Instant>,
    ejections: u32,
    /// When the first of the consecutive ejecting faults occurred; `None` while the upstream
    /// serves.
    ejected_at: Option<Instant>,
    soft_faults: u32,
    last_soft_fault: Option<Instant>,
}

/// Whether an upstream may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpstreamAvailability {
    /// Healthy: it may get any number of requests.
    Healthy,
    /// Its backoff has passed: it may get one request at a time as a probe, until one succeeds.
    Probing,
    /// It gets no requests until its backoff has passed.
    BackingOff,
}

impl FaultBackoff {
    /// Whether the upstream may get requests at `now`.
    pub(crate) fn availability(&self, now: Instant) -> UpstreamAvailability {
        match self.backoff_until {
            Some(until) if now < until => UpstreamAvailability::BackingOff,
            Some(_) if self.ejections > 0 => UpstreamAvailability::Probing,
            _ => UpstreamAvailability::Healthy,
        }
    }

    /// Records a fault. Returns how long the upstream is ejected for it, or `None` if it is not.
    pub(crate) fn note_fault(&mut self, fault: UpstreamFault, now: Instant) -> Option<Duration> {
        match fault {
            UpstreamFault::Unreachable | UpstreamFault::Silent => self.eject(now),
            UpstreamFault::Broken | UpstreamFault::Failed | UpstreamFault::Slow => {
                self.note_soft_fault(now)
            }
            UpstreamFault::Full => {
                self.back_off(now + FULL_BACKOFF);
                None
            }
            UpstreamFault::Moved => {
                self.back_off(now + MOVED_BACKOFF);
                None
            }
        }
    }

    /// Records a successful request, which ends all backoff. Returns the time since the upstream
    /// was ejected, or `None` if it was not.
    pub(crate) fn note_success(&mut self, now: Instant) -> Option<Duration> {
        self.ejections = 0;
        self.soft_faults = 0;
        self.backoff_until = None;
        let ejected_at = self.ejected_at.take()?;
        Some(now - ejected_at)
    }

    fn eject(&mut self, now: Instant) -> Option<Duration> {
        // Requests that were running when the upstream was ejected may fail too. They are no
        // further fault.
        if self.availability(now) == UpstreamAvailability::BackingOff && self.ejections > 0 {
            return None;
        }
        let backoff = FIRST_BACKOFF * 2u32.pow(self.ejections.min(3));
        let backoff = backoff.min(MAX_BACKOFF);
        self.ejections += 1;
        self.ejected_at.get_or_insert(now);
        self.back_off(now + backoff);
        Some(backoff)
    }

    fn note_soft_fault(&mut self, now: Instant) -> Option<Duration> {
        let recent = self
            .last_soft_fault
            .is_some_and(|last| now - last < SOFT_FAULT_WINDOW);
        self.soft_faults = if recent { self.soft_faults + 1 } else { 1 };
        self.last_soft_fault = Some(now);
        match self.soft_faults >= MAX_SOFT_FAULTS {
            true => self.eject(now),
            false => None,
        }
    }

    fn back_off(&mut self, until: Instant) {
        self.backoff_until = self.backoff_until.max(Some(until));
    }
}
