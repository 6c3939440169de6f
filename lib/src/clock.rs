//! Time of day: as the system has it, and as a monotonic count that adjustments of the system clock do
//! not move.
//!
//! Clocks of hosts may differ by any amount. What another host wrote in them is for display, or for an
//! order among times of that host; it is no age.

use std::sync::OnceLock;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tokio::time::Instant;

/// Tells the time of day in milliseconds since the Unix epoch, as [`unix_millis`] does.
pub type TimeOfDay = fn() -> u64;

/// Milliseconds by which [`unix_millis`] differs from the system's time of day.
static TIME_SHIFT_MS: AtomicI64 = AtomicI64::new(0);

/// Current time of day in milliseconds since the Unix epoch; 0 for a clock set before 1970.
pub fn unix_millis() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = now.map_or(0, |now| now.as_millis() as u64);
    millis.saturating_add_signed(TIME_SHIFT_MS.load(Ordering::Relaxed))
}

/// Shifts the time of day of this process by `offset_ms` from that of the system, to test hosts whose
/// clocks are wrong.
pub fn shift_time_of_day(offset_ms: i64) {
    TIME_SHIFT_MS.store(offset_ms, Ordering::Relaxed);
}

/// Returns milliseconds since the Unix epoch: the time of day at the first call in this process, plus
/// the time that the runtime's monotonic clock has counted since.
pub fn steady_unix_millis() -> u64 {
    static ANCHOR: OnceLock<(u64, Instant)> = OnceLock::new();
    let (anchor_ms, anchor) = *ANCHOR.get_or_init(|| (unix_millis(), Instant::now()));
    let now = Instant::now();
    let after = now.saturating_duration_since(anchor).as_millis() as u64;
    let before = anchor.saturating_duration_since(now).as_millis() as u64;
    (anchor_ms + after).saturating_sub(before)
}
