//! Concurrency limit of one engine, adapted to the latencies that are measured on it.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

const INITIAL_LIMIT: f64 = 16.0;
const MIN_LIMIT: f64 = 1.0;
const MAX_LIMIT: f64 = 1024.0;
/// Accepted time between tokens, as a multiple of the lightly loaded engine's.
const TOKEN_TIME_TOLERANCE: f64 = 2.0;
/// Accepted recent mean of the time to first token, as a multiple of the long-term mean.
const FIRST_TOKEN_TOLERANCE: f64 = 4.0;
/// Recent mean of the time to first token up to which the limit may grow, as a multiple of the
/// long-term mean.
const GROWTH_TOLERANCE: f64 = 1.5;
/// A mean time between tokens below this never lowers the limit, however fast the engine is at low
/// load: three quarters of the latency target between tokens.
const GOOD_TOKEN_TIME: Duration = Duration::from_millis(60);
/// A mean time to first token below this neither lowers the limit nor keeps it from growing: half
/// of the latency target.
const GOOD_FIRST_TOKEN: Duration = Duration::from_millis(355);
/// Smallest gradient that one sample may apply to the limit.
const MAX_DECREASE: f64 = 0.5;
/// Weight of a new sample in the recent means.
const SHORT_WEIGHT: f64 = 0.1;
/// Weight of a new sample in the long-term mean of the time to first token.
const LONG_WEIGHT: f64 = 0.002;
/// Share of the limit that must be in use before it grows. It is below 1 because batch requests
/// never take the slots that are reserved for online requests.
const GROWTH_USE: f64 = 0.8;
/// Relative growth per second of the lowest known token time. Without it, an engine that became
/// slower for good would be compared with its former speed forever.
const FLOOR_DRIFT: f64 = 0.01;
/// Number of load reports in the window from which the ceiling is derived.
const CEILING_REPORTS: usize = 4;
/// Time since the last change of the ceiling after which it is raised by one, unless the engine is
/// full.
const CEILING_PROBE: Duration = Duration::from_secs(60);

/// Exponentially weighted mean.
#[derive(Clone, Copy, Debug)]
struct RunningMean {
    value: Option<f64>,
    weight: f64,
}

impl RunningMean {
    fn new(weight: f64) -> Self {
        Self {
            value: None,
            weight,
        }
    }

    fn add(&mut self, sample: f64) -> f64 {
        let mean = match self.value {
            Some(value) => value + (sample - value) * self.weight,
            None => sample,
        };
        self.value = Some(mean);
        mean
    }
}

/// One load report, with the scheduler's count of running requests since the report before.
#[derive(Clone, Copy, Debug)]
struct ReportSample {
    /// Requests that the engine reported as running.
    running: u32,
    /// Lowest number of granted tickets since the report before.
    fewest_granted: u32,
}

/// Concurrency limit of an engine, adapted to the gradient of its latency.
///
/// The limit shrinks when the time between tokens exceeds both twice that of the lightly loaded
/// engine and the latency that is good for callers, or when the time to first token exceeds its
/// own two bounds. It also shrinks when requests wait inside the engine, because the engine has no
/// priority classes. It grows only while most of it is in use.
#[derive(Clone, Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    ceiling: f64,
    ceiling_since: Instant,
    reports: VecDeque<ReportSample>,
    /// Lowest number of granted tickets since the last load report, by the scheduler's count.
    fewest_granted: u32,
    /// Lowest known time between tokens in seconds; drifts upwards.
    token_floor: Option<f64>,
    floor_since: Instant,
    token_time: RunningMean,
    first_token: RunningMean,
    usual_first_token: RunningMean,
}

impl ConcurrencyLimit {
    /// Returns the initial limit of an engine without samples.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            limit: INITIAL_LIMIT,
            ceiling: MAX_LIMIT,
            ceiling_since: now,
            reports: VecDeque::with_capacity(CEILING_REPORTS),
            fewest_granted: 0,
            token_floor: None,
            floor_since: now,
            token_time: RunningMean::new(SHORT_WEIGHT),
            first_token: RunningMean::new(SHORT_WEIGHT),
            usual_first_token: RunningMean::new(LONG_WEIGHT),
        }
    }

    /// Number of requests that may run at once; at least one.
    pub(crate) fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Smoothed time between two tokens; zero before the first sample.
    pub(crate) fn token_time(&self) -> Duration {
        Duration::from_secs_f64(self.token_time.value.unwrap_or(0.0))
    }

    /// Adapts the limit to the latencies of one request, during which `running` requests ran.
    pub(crate) fn record_sample(
        &mut self,
        first_token: Option<Duration>,
        token_time: Option<Duration>,
        running: u32,
        now: Instant,
    ) {
        if first_token.is_none() && token_time.is_none() {
            return;
        }
        let token_gradient = token_time.map_or(1.0, |time| self.token_gradient(time, now));
        let first_gradient = first_token.map_or(1.0, |time| self.first_token_gradient(time));
        let gradient = token_gradient.min(first_gradient).clamp(MAX_DECREASE, 1.0);
        if gradient < 1.0 {
            // All requests that run together report the same slowness, so that each of them may
            // apply only its share of the decrease.
            let share = 1.0 / self.limit.max(1.0);
            self.set(self.limit * (1.0 - (1.0 - gradient) * share));
        } else if f64::from(running) >= self.limit * GROWTH_USE && self.may_grow() {
            self.set(self.limit + 1.0 / self.limit.sqrt());
        }
    }

    /// Records the number of granted tickets after one was released or expired.
    pub(crate) fn record_granted(&mut self, granted: u32) {
        self.fewest_granted = self.fewest_granted.min(granted);
    }

    /// Adapts the ceiling of the limit to a load report of the engine, at a time when `granted`
    /// tickets are granted.
    ///
    /// Requests that arrive during a step of the engine wait inside it until the step ends, so that
    /// waiting requests alone do not show that it is full. It is full if, over the whole window of
    /// reports, it ran fewer requests than the lowest number of granted tickets.
    pub(crate) fn record_report(&mut self, running: u32, waiting: u32, granted: u32, now: Instant) {
        if self.reports.len() == CEILING_REPORTS {
            self.reports.pop_front();
        }
        self.reports.push_back(ReportSample {
            running,
            fewest_granted: self.fewest_granted,
        });
        self.fewest_granted = granted;
        let most_running = self.reports.iter().map(|report| report.running).max();
        let fewest_granted = self
            .reports
            .iter()
            .map(|report| report.fewest_granted)
            .min();
        let most_running = most_running.unwrap_or(0);
        let is_full = waiting > 0
            && self.reports.len() == CEILING_REPORTS
            && fewest_granted.is_some_and(|granted| granted > most_running);
        if is_full {
            self.ceiling = f64::from(most_running).max(MIN_LIMIT);
            self.ceiling_since = now;
            self.reports.clear();
        } else if now.duration_since(self.ceiling_since) >= CEILING_PROBE {
            self.ceiling = (self.ceiling + 1.0).min(MAX_LIMIT);
            self.ceiling_since = now;
        }
        self.set(self.limit);
    }

    fn may_grow(&self) -> bool {
        let recent = self.first_token.value.unwrap_or(0.0);
        let usual = self.usual_first_token.value.unwrap_or(0.0);
        recent <= (usual * GROWTH_TOLERANCE).max(GOOD_FIRST_TOKEN.as_secs_f64())
    }

    fn set(&mut self, limit: f64) {
        self.limit = limit.min(self.ceiling).max(MIN_LIMIT);
    }

    fn token_gradient(&mut self, sample: Duration, now: Instant) -> f64 {
        let sample = sample.as_secs_f64();
        let age = now.duration_since(self.floor_since).as_secs_f64();
        let floor = self.token_floor.map_or(sample, |floor| {
            (floor * (1.0 + FLOOR_DRIFT * age)).min(sample)
        });
        self.token_floor = Some(floor);
        self.floor_since = now;
        let accepted = (TOKEN_TIME_TOLERANCE * floor).max(GOOD_TOKEN_TIME.as_secs_f64());
        accepted / self.token_time.add(sample).max(f64::MIN_POSITIVE)
    }

    fn first_token_gradient(&mut self, sample: Duration) -> f64 {
        let sample = sample.as_secs_f64();
        let usual = self.usual_first_token.add(sample);
        let accepted = (FIRST_TOKEN_TOLERANCE * usual).max(GOOD_FIRST_TOKEN.as_secs_f64());
        accepted / self.first_token.add(sample).max(f64::MIN_POSITIVE)
    }
}
