//! Decides which requests a host still takes while it shuts down.
//!
//! Answers a planned stop under load: requests arrive on kept connections until the process is gone, and
//! one that is not complete by then is cut off, though another host could have served it. Its caller
//! can't know that it may be sent again. A refusal at once costs the caller one round trip.
//!
//! A route may mix many short requests with rare long ones, of which the caller doesn't say which is which.
//! What a host has served says nothing certain of the next request: the host may have just started, or the long
//! ones may have gone to others. So a shutdown has two parts. In the first one, requests are taken that are
//! expected to be complete in time; in the second one only those whose deadline passes before its end.
//!
//! In the first part, a request that may be sent again is expected to take as long as the longest of the last
//! hundred or so. One that may not is expected to take as long as any of the last minutes, however rare.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::collections::HashMap;

/// Factor by which the longest time of a route's requests decays with each further request, so that it
/// halves within some 70 of them.
const LONGEST_TIME_DECAY: f64 = 0.99;
/// Length of a period. The longest times of the present and the last one are remembered.
const PERIOD: Duration = Duration::from_secs(600);
/// Time added to the expected time of a request: for passing on the end of its answer, and for a pause of
/// an upstream.
const COMPLETION_MARGIN: Duration = Duration::from_millis(250);
/// Time before the end of a shutdown at which requests without an answer get their final one. Shorter than
/// `COMPLETION_MARGIN`, so that those which are taken in the second part end by their deadline first.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(150);
/// Interval at which a request that waits while the host shuts down is decided again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of routes whose times are remembered; beyond it all are forgotten and learnt anew.
const MAX_REMEMBERED_ROUTES: usize = 4_096;

/// Admits all requests until the shutdown begins, and then those that are expected to be complete at its
/// end, or sure to be. Clones share one state.
#[derive(Clone, Debug, Default)]
pub struct StopGate {
    shared: Arc<GateState>,
}

#[derive(Debug, Default)]
struct GateState {
    stop: watch::Sender<Option<StopTimes>>,
    /// Times of each route's requests, by the name of the route.
    routes: Mutex<HashMap<String, RouteTimes>>,
}

/// Times of a shutdown.
#[derive(Clone, Copy, Debug)]
struct StopTimes {
    /// Beginning of the second part, in which requests are taken by their deadlines alone.
    certain_from: Instant,
    /// End, at which requests in flight are cut off.
    cut_off: Instant,
}

/// Longest times of the requests of a route that were served.
#[derive(Debug)]
struct LongestTimes {
    /// Decaying maximum.
    decaying: Duration,
    /// Maximum of the present period, and of the one before.
    by_period: [Duration; 2],
    period_began: Instant,
}

impl LongestTimes {
    fn new(now: Instant) -> Self {
        Self {
            decaying: Duration::ZERO,
            by_period: [Duration::ZERO; 2],
            period_began: now,
        }
    }

    fn record(&mut self, time: Duration, now: Instant) {
        let elapsed = now.saturating_duration_since(self.period_began);
        if elapsed >= PERIOD {
            let [present, _] = self.by_period;
            let before = match elapsed < 2 * PERIOD {
                true => present,
                false => Duration::ZERO,
            };
            self.by_period = [Duration::ZERO, before];
            self.period_began = now;
        }
        self.by_period[0] = self.by_period[0].max(time);
        self.decaying = self.decaying.mul_f64(LONGEST_TIME_DECAY).max(time);
    }

    fn lately(&self) -> Duration {
        self.by_period[0].max(self.by_period[1])
    }
}

/// Times of the requests of one route.
#[derive(Debug, Default)]
struct RouteTimes {
    /// `None` before any request was served.
    served: Option<LongestTimes>,
    /// When the requests under way arrived, with a number that tells them apart.
    under_way: BTreeSet<(Instant, u64)>,
    entries: u64,
}

impl RouteTimes {
    /// Time that a request is expected to take, if none takes longer than `longest` of those that were served.
    /// Without bound if one under way already does: how long such requests take is not known.
    fn expected(&self, longest: impl Fn(&LongestTimes) -> Duration, now: Instant) -> Duration {
        let Some(longest) = self.served.as_ref().map(longest) else {
            return Duration::MAX;
        };
        let oldest = self.under_way.first();
        let oldest = oldest.map(|(arrived, _)| now.saturating_duration_since(*arrived));
        match oldest.is_some_and(|oldest| oldest > longest + COMPLETION_MARGIN) {
            true => Duration::MAX,
            false => longest,
        }
    }
}

impl StopGate {
    /// Begins a shutdown without a second part, at whose end, `cut_off`, requests in flight are cut off.
    pub fn begin(&self, cut_off: Instant) {
        self.begin_with(cut_off, cut_off);
    }

    /// Begins the shutdown, at whose end, `cut_off`, requests in flight are cut off. Its second part begins at
    /// `certain_from`.
    pub fn begin_with(&self, certain_from: Instant, cut_off: Instant) {
        self.shared.stop.send_if_modified(|known| {
            let is_new = known.is_none();
            known.get_or_insert(StopTimes {
                certain_from,
                cut_off,
            });
            is_new
        });
    }

    /// Records that a request of `route` is under way until the result is dropped.
    pub fn enter(&self, route: &str, arrived: Instant) -> GateEntry {
        let mut routes = self.routes();
        let times = times_of(&mut routes, route);
        times.entries += 1;
        let key = (arrived, times.entries);
        times.under_way.insert(key);
        GateEntry {
            gate: self.clone(),
            route: route.to_owned(),
            key,
        }
    }

    /// Records the time from the arrival of a request of `route` to the end of its answer.
    pub fn record(&self, route: &str, time: Duration) {
        let now = Instant::now();
        let mut routes = self.routes();
        let times = times_of(&mut routes, route);
        let served = times.served.get_or_insert_with(|| LongestTimes::new(now));
        served.record(time, now);
    }

    /// Whether a request of `route` that arrives now, has `left` until its deadline and may be sent again is
    /// taken. In the second part, and before any request of its route was served, it counts as one that takes
    /// all of that time.
    pub fn admits(&self, route: &str, left: Duration, now: Instant) -> bool {
        self.fits(route, left, now, |longest| longest.decaying)
    }

    /// The same for a request that may run only once, and so is lost to its caller if it is cut off.
    pub fn admits_once(&self, route: &str, left: Duration, now: Instant) -> bool {
        self.fits(route, left, now, LongestTimes::lately)
    }

    fn fits(
        &self,
        route: &str,
        left: Duration,
        now: Instant,
        longest: impl Fn(&LongestTimes) -> Duration,
    ) -> bool {
        let Some(stop) = *self.shared.stop.borrow() else {
            return true;
        };
        let expected = match now < stop.certain_from {
            true => {
                let routes = self.routes();
                let times = routes.get(route);
                times.map_or(Duration::MAX, |times| times.expected(longest, now))
            }
            false => left,
        };
        now + expected.min(left) + COMPLETION_MARGIN <= stop.cut_off
    }

    /// Waits until a shutdown has begun and `is_admitted` no longer holds.
    pub(crate) async fn refuses(&self, is_admitted: impl Fn() -> bool) {
        self.begun().await;
        while is_admitted() {
            tokio::time::sleep(RECHECK_INTERVAL).await;
        }
    }

    /// Waits until so little of a shutdown is left that requests without an answer get their final one.
    pub async fn ends_soon(&self) {
        if let Some(stop) = self.begun().await {
            tokio::time::sleep_until(stop.cut_off - FINAL_ANSWER_TIME).await;
        }
    }

    async fn begun(&self) -> Option<StopTimes> {
        let mut stop = self.shared.stop.subscribe();
        // The sender lives as long as the gate.
        let begun = stop.wait_for(Option::is_some).await.ok()?;
        *begun
    }

    fn routes(&self) -> MutexGuard<'_, HashMap<String, RouteTimes>> {
        self.shared.routes.lock().expect("stop gate lock")
    }
}

fn times_of<'a>(routes: &'a mut HashMap<String, RouteTimes>, route: &str) -> &'a mut RouteTimes {
    if routes.len() >= MAX_REMEMBERED_ROUTES && !routes.contains_key(route) {
        routes.clear();
    }
    if !routes.contains_key(route) {
        routes.insert(route.to_owned(), RouteTimes::default());
    }
    routes.get_mut(route).expect("inserted above")
}

/// A request that counts as under way until this is dropped.
#[derive(Debug)]
pub struct GateEntry {
    gate: StopGate,
    route: String,
    key: (Instant, u64),
}

impl Drop for GateEntry {
    fn drop(&mut self) {
        if let Some(times) = self.gate.routes().get_mut(&self.route) {
            times.under_way.remove(&self.key);
        }
    }
}
