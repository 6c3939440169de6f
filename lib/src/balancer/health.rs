//! Health of one upstream as this host's own requests show it.

use std::time::Duration;

use tokio::time::Instant;

/// First pause after a fault; doubles with each fault in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Pause after an upstream said that it is full.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// Pause after another upstream answered at the address.
const MOVED_PAUSE: Duration = Duration::from_secs(2);
/// Broken and slow answers within this time count as faults in a row.
const BREAK_WINDOW: Duration = Duration::from_secs(2);
/// Broken and slow answers in a row before the upstream pauses.
const BREAKS_BEFORE_PAUSE: u32 = 3;

/// What went wrong at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum UpstreamFault {
    /// No connection could be opened.
    Unreachable,
    /// A running request produced nothing for too long, nor did any other one there.
    Silent,
    /// A running request produced nothing for too long, while others there went on.
    Slow,
    /// An answer broke off or was not the answer to the request.
    Broken,
    /// The upstream refused the request as full, and did not run it.
    Full,
    /// Another upstream answered at the address, and did not run the request.
    Moved,
    /// The upstream failed the request after it had begun to run.
    Failed,
}

/// Pauses of one upstream after faults.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FaultBackoff {
    paused_until: Option<Instant>,
    strikes: u32,
    /// When the first of the strikes in a row came.
    ejected_at: Option<Instant>,
    breaks: u32,
    last_break: Option<Instant>,
}

/// Whether an upstream may take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpstreamAvailability {
    /// It may.
    Good,
    /// It may take one to show that it serves again.
    OnTrial,
    /// It may not yet.
    Paused,
}

impl FaultBackoff {
    /// UpstreamAvailability at `now`.
    pub(crate) fn standing(&self, now: Instant) -> UpstreamAvailability {
        match self.paused_until {
            Some(until) if now < until => UpstreamAvailability::Paused,
            Some(_) if self.strikes > 0 => UpstreamAvailability::OnTrial,
            _ => UpstreamAvailability::Good,
        }
    }

    /// Notes a fault; returns for how long it ejects the upstream, if it does.
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

    /// Notes that the upstream served a request well; returns for how long it was ejected, if it
    /// was.
    pub(crate) fn success(&mut self, now: Instant) -> Option<Duration> {
        self.strikes = 0;
        self.breaks = 0;
        self.paused_until = None;
        let ejected_at = self.ejected_at.take()?;
        Some(now - ejected_at)
    }

    fn strike(&mut self, now: Instant) -> Option<Duration> {
        // Requests that failed together are one fault.
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
