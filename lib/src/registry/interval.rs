//! Intervals of periodic calls that every host of a fleet makes, with jitter.

use std::time::Duration;

use rand::Rng;

/// Jitter as a fraction of the interval, in both directions, so that the calls of hosts that
/// started at the same time soon spread out.
const JITTER_FRACTION: f64 = 0.15;

/// Interval between two calls of one host, such that all `hosts` hosts together make `rate` calls
/// per second; clamped to `min` and `max`.
pub(crate) fn shared_interval(min: Duration, max: Duration, hosts: usize, rate: f64) -> Duration {
    let interval = Duration::from_secs_f64(hosts as f64 / rate);
    interval.clamp(min, max)
}

/// `interval` with random jitter of up to [`JITTER_FRACTION`] of it.
pub(crate) fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(1.0 - JITTER_FRACTION..1.0 + JITTER_FRACTION))
}

#[cfg(test)]
mod tests {
    use super::*;

    const MIN: Duration = Duration::from_secs(1);
    const MAX: Duration = Duration::from_secs(5);

    #[test]
    fn test_shared_interval_keeps_the_rate_of_the_fleet() {
        for (hosts, seconds) in [
            (0, 1.0),
            (8, 1.0),
            (40, 1.0),
            (100, 2.5),
            (165, 4.125),
            (1_400, 5.0),
        ] {
            let interval = shared_interval(MIN, MAX, hosts, 40.0);
            assert_eq!(interval.as_secs_f64(), seconds, "{hosts}");
        }
    }

    #[test]
    fn test_jittered_stays_near_the_interval() {
        for _ in 0..100 {
            let drawn = jittered(MAX).as_secs_f64();
            assert!((4.25..5.75).contains(&drawn), "{drawn}");
        }
    }
}
