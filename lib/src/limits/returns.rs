//! When refused callers come back, where limits of upstreams leave no room for them.

use std::time::Duration;

use tokio::time::Instant;

/// Longest time into the future for which returns are planned.
const MAX_AHEAD: Duration = Duration::from_secs(10);

/// Spreads the returns of refused callers at the rate at which this host can have requests granted,
/// in the order of their refusals.
#[derive(Debug, Default)]
pub(crate) struct ReturnSchedule {
    next_at: Option<Instant>,
}

impl ReturnSchedule {
    /// The time after which the next refused caller should come back, at a host that may send
    /// `per_second` requests a second and whose next one waits for `wait`.
    pub(crate) fn next_delay(&mut self, per_second: f64, wait: Duration, now: Instant) -> Duration {
        let interval = match per_second > 1.0 / MAX_AHEAD.as_secs_f64() {
            true => Duration::from_secs_f64(1.0 / per_second),
            false => MAX_AHEAD,
        };
        let earliest = now + wait;
        let at = self.next_at.map_or(earliest, |next| next.max(earliest));
        let at = at.min(now + MAX_AHEAD);
        self.next_at = Some(at + interval);
        at - now
    }
}
