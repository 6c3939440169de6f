//! Ejection of one upstream with exponential backoff, from the outcomes of this host's own
//! requests.

use std::time::Duration;

use tokio::time::Instant;

/// Backoff after the first ejecting fault; it doubles with each consecutive one.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Time without requests after the upstream refused one as full.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// Time without requests after another upstream answered at the address.
const MOVED_PAUSE: Duration = Duration::from_secs(2);
/// Longest time between two broken, failed or slow answers that count as consecutive.
const BREAK_WINDOW: Duration = Duration::from_secs(2);
/// Number of consecutive broken, failed or slow answers that eject the upstream.
const BREAKS_BEFORE_PAUSE: u32 = 3;

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
    paused_until: Option<Instant>,
    strikes: u32,
    /// When the first of the consecutive ejecting faults occurred; `None` while the upstream
    /// serves.
    ejected_at: Option<Instant>,
    breaks: u32,
    last_break: Option<Instant>,
}

/// Whether an upstream may get requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpstreamAvailability {
    /// Healthy: it may get any number of requests.
    Good,
    /// Its backoff has passed: it may get one request at a time as a probe, until one succeeds.
    OnTrial,
    /// It gets no requests until its backoff has passed.
    Paused,
}

impl FaultBackoff {
    /// Whether the upstream may get requests at `now`.
    pub(crate) fn standing(&self, now: Instant) -> UpstreamAvailability {
        match self.paused_until {
            Some(until) if now < until => UpstreamAvailability::Paused,
            Some(_) if self.strikes > 0 => UpstreamAvailability::OnTrial,
            _ => UpstreamAvailability::Good,
        }
    }

    /// Records a fault. Returns how long the upstream is ejected for it, or `None` if it is not.
    pub(crate) fn fault(&mut self, fault: UpstreamFault, now: Instant) -> Option<Duration> {
        match fault {
            UpstreamFault::Unreachable | UpstreamFault::Silent => self.strike(now),
            UpstreamFault::Broken | UpstreamFault::Failed | UpstreamFault::Slow => self.broke(now),
            UpstreamFault::Full => {
                self.pause(now + FULL_PAUSE);
                None
            }
            UpstreamFault::Moved => {
                self.pause(now + MOVED_PAUSE);
                None
            }
        }
    }

    /// Records a successful request, which ends all backoff. Returns the time since the upstream
    /// was ejected, or `None` if it was not.
    pub(crate) fn success(&mut self, now: Instant) -> Option<Duration> {
        self.strikes = 0;
        self.breaks = 0;
        self.paused_until = None;
        let ejected_at = self.ejected_at.take()?;
        Some(now - ejected_at)
    }

    fn strike(&mut self, now: Instant) -> Option<Duration> {
        // Requests that were running when the upstream was ejected may fail too. They are no
        // further fault.
        if self.standing(now) == UpstreamAvailability::Paused && self.strikes > 0 {
            return None;
        }
        let pause = FIRST_PAUSE * 2u32.pow(self.strikes.min(3));
        let pause = pause.min(LONGEST_PAUSE);
        self.strikes += 1;
        self.ejected_at.get_or_insert(now);
        self.pause(now + pause);
        Some(pause)
    }

    fn broke(&mut self, now: Instant) -> Option<Duration> {
        let recent = self
            .last_break
            .is_some_and(|last| now - last < BREAK_WINDOW);
        self.breaks = if recent { self.breaks + 1 } else { 1 };
        self.last_break = Some(now);
        match self.breaks >= BREAKS_BEFORE_PAUSE {
            true => self.strike(now),
            false => None,
        }
    }

    fn pause(&mut self, until: Instant) {
        self.paused_until = self.paused_until.max(Some(until));
    }
}
