//! Time of day that a step of the host's clock does not move.

use std::sync::OnceLock;

use tokio::time::Instant;

use crate::events::unix_millis;

/// Milliseconds since 1970: the time of day at the first call, and the runtime's clock since.
pub fn steady_unix_millis() -> u64 {
    static ANCHOR: OnceLock<(u64, Instant)> = OnceLock::new();
    let (anchor_ms, anchor) = *ANCHOR.get_or_init(|| (unix_millis(), Instant::now()));
    let now = Instant::now();
    let after = now.saturating_duration_since(anchor).as_millis() as u64;
    let before = anchor.saturating_duration_since(now).as_millis() as u64;
    (anchor_ms + after).saturating_sub(before)
}
