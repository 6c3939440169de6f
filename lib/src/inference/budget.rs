//! Retry budget: limits retries to a share of the traffic, so that retries of a failing fleet
//! can't turn into a retry storm.

use std::sync::Mutex;
use std::time::Duration;

use rand::Rng;

/// Retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Largest number of saved retries: enough for the requests that fail at once when one upstream
/// fails.
const MAX_SAVED_RETRIES: f64 = 64.0;
const BASE_RETRY_DELAY: Duration = Duration::from_millis(5);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Token bucket of the retries that this host may make; fractions count as saved.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    retries: Mutex<f64>,
}

impl RetryBudget {
    /// Returns a budget with the largest number of saved retries.
    pub(crate) fn new() -> Self {
        Self {
            retries: Mutex::new(MAX_SAVED_RETRIES),
        }
    }

    /// Adds the share of a retry that a new request allows.
    pub(crate) fn deposit(&self) {
        let mut retries = self.retries.lock().expect("retry budget lock");
        *retries = (*retries + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; false if less than one is left.
    pub(crate) fn withdraw(&self) -> bool {
        let mut retries = self.retries.lock().expect("retry budget lock");
        let allowed = *retries >= 1.0;
        if allowed {
            *retries -= 1.0;
        }
        allowed
    }
}

/// Random delay (full jitter) before a retry: at most 5 ms before the first one, `number` 1, and
/// four times as much before each further one, up to 200 ms.
pub(crate) fn retry_delay(number: u32) -> Duration {
    let limit =
        (BASE_RETRY_DELAY * 4_u32.saturating_pow(number.saturating_sub(1))).min(MAX_RETRY_DELAY);
    limit.mul_f64(rand::rng().random_range(0.0..1.0))
}
