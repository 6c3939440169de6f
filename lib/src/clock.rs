//! Wall-clock time that is monotonic: adjustments of the system clock do not move it.

use std::sync::OnceLock;

use tokio::time::Instant;

use crate::events::unix_millis;

/// Returns milliseconds since the Unix epoch: the system time at the first call in this process,
/// plus the time that the runtime's monotonic clock has counted since.
pub fn steady_unix_millis() -> u64 {
    static ANCHOR: OnceLock<(u64, Instant)> = OnceLock::new();
    let (anchor_ms, anchor) = *ANCHOR.get_or_init(|| (unix_millis(), Instant::now()));
    let now = Instant::now();
    let after = now.saturating_duration_since(anchor).as_millis() as u64;
    let before = anchor.saturating_duration_since(now).as_millis() as u64;
    (anchor_ms + after).saturating_sub(before)
}
