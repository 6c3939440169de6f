//! Whether crashes prove that a request, or a part of a prompt, causes them.
//!
//! Answers a load of few requests that crash each upstream that begins to run them, among many
//! sound ones, on a fleet whose upstreams also crash by themselves, at times many at once. A sound
//! request meets such crashes by chance, and the more often they happen, the more of them are needed
//! as proof.

use std::time::Duration;

/// Fewest crashes that prove anything.
const MIN_CRASHES: usize = 2;
/// Fewest crashes that prove anything against a subject that was sound before.
pub(crate) const MIN_CRASHES_IF_SOUND: usize = 4;
/// Period before a crash in which crashes of other causes are counted.
pub(crate) const RATE_WINDOW: Duration = Duration::from_secs(10);
/// Length of the period around a crash in which they are counted again, as they may come in bursts.
pub(crate) const BURST_WINDOW: Duration = Duration::from_secs(1);
/// Probability of a chance below which crashes count as proof.
const MAX_CHANCE: f64 = 1e-5;

/// A crash at which a run of the subject was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashExposure {
    /// Time for which a run is at risk of a crash by chance: until its first part of an answer.
    pub risk_time: Duration,
    /// Crashes of other causes in the 10 s before.
    pub others: usize,
    /// Crashes of other causes in the second around the crash.
    pub others_near: usize,
}

impl CrashExposure {
    /// Probability that a run meets a crash by chance, at the rate of the other crashes. One is
    /// added, as none may have been seen yet.
    fn chance(&self, upstreams: f64) -> f64 {
        let mean_rate = (self.others + 1) as f64 / RATE_WINDOW.as_secs_f64();
        let burst_rate = self.others_near as f64 / BURST_WINDOW.as_secs_f64();
        let rate = mean_rate.max(burst_rate) / upstreams;
        (rate * self.risk_time.as_secs_f64()).min(1.0)
    }
}

/// Whether the crashes under one subject, in a fleet of `upstreams` upstreams, are too many to have
/// happened by chance: whether the probability of that is below one in 100,000.
pub fn exceeds_chance(crashes: &[CrashExposure], upstreams: usize) -> bool {
    let upstreams = upstreams.max(1) as f64;
    let chances = crashes.iter().map(|crash| crash.chance(upstreams));
    crashes.len() >= MIN_CRASHES && chances.product::<f64>() < MAX_CHANCE
}
