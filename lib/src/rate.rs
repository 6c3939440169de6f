//! Exponentially weighted rates of amounts per key.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

/// A sum that decays exponentially, with its value at one instant.
#[derive(Clone, Copy, Debug)]
struct DecayingSum {
    amount: f64,
    at: Instant,
}

impl DecayingSum {
    fn decayed(&self, now: Instant, decay: Duration) -> f64 {
        let age = now.duration_since(self.at).as_secs_f64();
        self.amount * (-age / decay.as_secs_f64()).exp()
    }
}

/// Rate of each key, in amounts per second, as an exponentially weighted average.
#[derive(Debug)]
pub(crate) struct RateMeter<K> {
    decay: Duration,
    sums: Mutex<BTreeMap<K, DecayingSum>>,
}

impl<K: Ord + Clone> RateMeter<K> {
    /// Creates a meter in which the weight of an amount decays to 1/e after `decay`.
    pub(crate) fn new(decay: Duration) -> Self {
        Self {
            decay,
            sums: Mutex::default(),
        }
    }

    /// Records `amount` for `key` at the present time.
    pub(crate) fn note(&self, key: &K, amount: f64) {
        let at = Instant::now();
        let mut sums = self.sums.lock().expect("rate sums lock");
        let before = sums.get(key).map_or(0.0, |sum| sum.decayed(at, self.decay));
        let amount = before + amount;
        sums.insert(key.clone(), DecayingSum { amount, at });
    }

    /// Present rate of each key that was ever recorded, in amounts per second.
    pub(crate) fn rates(&self) -> BTreeMap<K, f64> {
        let now = Instant::now();
        let sums = self.sums.lock().expect("rate sums lock");
        let rates = sums.iter().map(|(key, sum)| {
            let rate = sum.decayed(now, self.decay) / self.decay.as_secs_f64();
            (key.clone(), rate)
        });
        rates.collect()
    }
}
