//! Whether crashes prove that a request causes them.
//!
//! Answers a load of few requests that crash each upstream that begins to run them, among many
//! sound ones, on a fleet whose upstreams also crash by themselves. A sound request meets such
//! crashes by chance, and the more often they happen, the more of them are needed as proof.

use std::time::Duration;

/// Fewest crashes that prove anything.
const MIN_CRASHES: usize = 2;
/// Period before the last crash in which crashes of other causes are counted.
pub(crate) const RATE_WINDOW: Duration = Duration::from_secs(10);
/// Probability of a chance below which crashes count as proof.
const MAX_CHANCE: f64 = 1e-5;
/// Lower bound of a run's time at risk, as a crash is not noticed at the instant at which it happens.
const MIN_WAIT: Duration = Duration::from_millis(20);

/// Whether the crashes under one subject are too many to have happened by chance.
///
/// `waits` has for each of them how long the subject's run had waited there; `others` is the number
/// of crashes of other causes within 10 s, and `upstreams` the size of the fleet. At the
/// rate of the other crashes (one is added, as none may have been seen yet), each run would have
/// met a crash by chance with a probability that grows with its wait; the crashes are proof if the
/// product of these probabilities is below one in 100,000.
pub fn exceeds_chance(waits: &[Duration], others: usize, upstreams: usize) -> bool {
    if waits.len() < MIN_CRASHES {
        return false;
    }
    let upstream_time = upstreams.max(1) as f64 * RATE_WINDOW.as_secs_f64();
    let rate = (others + 1) as f64 / upstream_time;
    let chance: f64 = waits
        .iter()
        .map(|wait| (rate * (*wait).max(MIN_WAIT).as_secs_f64()).min(1.0))
        .product();
    chance < MAX_CHANCE
}
