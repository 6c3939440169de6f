//! Requests of all hosts to one limited upstream within the last seconds.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::WorkClass;
use crate::limits::rate_limit::MAX_EFFECTIVE_LIMIT;
use crate::limits::rate_limit::RateLimit;

/// Time over which a limit is kept, in seconds.
const LIMIT_SECONDS: f64 = 4.0;
/// Time for which a granted request counts: [`LIMIT_SECONDS`], and the longest time between a grant and
/// its request.
const WINDOW: Duration = Duration::from_millis(4_250);
/// Shortest time between two tests whether a limit still holds. At most two of them are in
/// [`WINDOW`], so that a limit of no requests at all is exceeded by two.
const TEST_INTERVAL: Duration = Duration::from_millis(2_150);
/// Age of the last answer from which a request may be sent as a test.
const TEST_AGE: Duration = Duration::from_secs(1);
/// Number of requests by which a limit may be exceeded within [`LIMIT_SECONDS`].
const MAX_EXCESS: usize = 2;
/// Number of them that are kept for tests.
const TESTS: usize = 1;
/// Fraction of the requests that batch items may take; online requests may take all of them.
const BATCH_FRACTION: f64 = 0.35;

/// Number of requests that are granted within [`WINDOW`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct WindowBudget {
    online: usize,
    batch: usize,
    /// Largest number, tests included.
    all: usize,
    test_interval: Duration,
}

impl WindowBudget {
    /// The budget for the part `share` of `limit`, from 0 to 1.
    pub(crate) fn new(limit: RateLimit, share: f64) -> Self {
        let share = share.clamp(f64::EPSILON, 1.0);
        let per_second = limit.per_second().min(MAX_EFFECTIVE_LIMIT);
        let requests = (per_second * share * LIMIT_SECONDS).floor();
        let requests = requests as usize;
        // The parts of a divided fleet would add up to more.
        let is_whole = share >= 1.0;
        let excess = if is_whole { MAX_EXCESS - TESTS } else { 0 };
        Self {
            online: requests + requests.min(excess),
            batch: (requests as f64 * BATCH_FRACTION).ceil() as usize,
            all: requests + MAX_EXCESS,
            test_interval: TEST_INTERVAL.div_f64(share),
        }
    }

    fn of(self, class: WorkClass) -> usize {
        match class {
            WorkClass::Online => self.online,
            WorkClass::Batch => self.batch,
        }
    }
}

/// Granted requests of the last seconds.
///
/// Guarantees that there are never more of them than the budget and two tests, as far as the hosts
/// know of one another's grants.
#[derive(Debug)]
pub(crate) struct RequestWindow {
    granted: VecDeque<Instant>,
    tested_at: Instant,
}

impl RequestWindow {
    /// Creates a window that counts as filled at an even rate: other hosts may have sent requests that
    /// it doesn't know.
    pub(crate) fn new(budget: WindowBudget, now: Instant) -> Self {
        let filled = (0..budget.all).map(|number| {
            let age = WINDOW.mul_f64(1.0 - (number + 1) as f64 / budget.all as f64);
            now.checked_sub(age).unwrap_or(now)
        });
        Self {
            granted: filled.collect(),
            tested_at: now,
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        while self.granted.front().is_some_and(|at| *at + WINDOW <= now) {
            self.granted.pop_front();
        }
    }

    /// When work of `class` may be sent. `observed_at` is the time of the last answer of the upstream.
    pub(crate) fn ready_at(
        &self,
        budget: WindowBudget,
        class: WorkClass,
        observed_at: Instant,
        now: Instant,
    ) -> Instant {
        let test_at = (self.tested_at + budget.test_interval).max(observed_at + TEST_AGE);
        let test_at = test_at.max(self.below_at(budget.all, now));
        match budget.of(class) {
            0 => test_at,
            free => self.below_at(free, now).min(test_at),
        }
    }

    /// When fewer than `count` requests will count; `now` if that is so already.
    fn below_at(&self, count: usize, now: Instant) -> Instant {
        let last = self.granted.len().checked_sub(count);
        last.map_or(now, |index| (self.granted[index] + WINDOW).max(now))
    }

    /// Counts a request that is granted for the time `at`, where [`Self::ready_at`] allows it.
    pub(crate) fn take(&mut self, budget: WindowBudget, at: Instant, now: Instant) {
        self.drop_expired(now);
        if self.granted.len() >= budget.online {
            self.tested_at = at;
        }
        self.record(1, at);
    }

    /// Counts requests that another host has granted.
    pub(crate) fn merge(&mut self, count: usize, now: Instant) {
        self.drop_expired(now);
        self.record(count, now);
    }

    fn record(&mut self, count: usize, at: Instant) {
        let at = self.granted.back().map_or(at, |last| at.max(*last));
        self.granted.extend(std::iter::repeat_n(at, count));
    }
}

/// Whether the last answer of an upstream is so old that the next request is a test.
pub(crate) fn is_test_age(age: Duration) -> bool {
    age >= TEST_AGE
}

/// Number of the grants in `times` that still count.
pub(crate) fn counted(times: &VecDeque<Instant>, now: Instant) -> usize {
    times.len() - times.partition_point(|at| *at + WINDOW <= now)
}
