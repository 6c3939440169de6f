//! Items that this host is running, and their cancellation.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio_util::sync::CancellationToken;

use crate::balancer::BalancerKey;
use crate::collections::HashMap;

/// Why this host stops an item that runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum StopReason {
    /// Online work needs the slot.
    Preempted,
    /// The job is ended, finished or lost.
    JobDropped,
    /// Another host has claimed the job.
    GivenUp,
    /// This process stood still, so that another host may own the job.
    StoodStill,
    /// Another process of this host's name acts now.
    Displaced,
    /// The host stops.
    Leaving,
    /// The host does not reach the upstreams.
    Stranded,
}

/// Cancellation of one run, with the reason of the first one who cancels it.
#[derive(Clone, Debug, Default)]
pub(super) struct RunStop {
    token: CancellationToken,
    reason: Arc<OnceLock<StopReason>>,
}

impl RunStop {
    fn stop(&self, reason: StopReason) {
        let _ = self.reason.set(reason);
        self.token.cancel();
    }

    /// Completes when the run is stopped.
    pub(super) async fn stopped(&self) {
        self.token.cancelled().await;
    }

    /// Why the run was stopped; `None` if it was not.
    pub(super) fn reason(&self) -> Option<StopReason> {
        self.reason.get().copied()
    }
}

struct RunningItem {
    job: String,
    /// Number of events received, updated by the run.
    events: Arc<AtomicU64>,
    stop: RunStop,
}

/// Running items of this host, by the upstream that runs them.
#[derive(Default)]
pub(super) struct RunningItems {
    items: Mutex<HashMap<BalancerKey, Vec<RunningItem>>>,
    /// Whether items are stopped as soon as they are added.
    is_closed: AtomicBool,
}

impl RunningItems {
    pub(super) fn add(
        &self,
        upstream_key: BalancerKey,
        job: &str,
        events: Arc<AtomicU64>,
    ) -> RunStop {
        let stop = RunStop::default();
        let item = RunningItem {
            job: job.to_owned(),
            events,
            stop: stop.clone(),
        };
        let mut items = self.lock();
        items.entry(upstream_key).or_default().push(item);
        if self.is_closed.load(Ordering::Relaxed) {
            stop.stop(StopReason::Displaced);
        }
        drop(items);
        stop
    }

    pub(super) fn remove(&self, upstream_key: BalancerKey, stop: &RunStop) {
        // The cancelled token identifies this run. It also drops cancelled runs that have not
        // removed themselves yet.
        stop.token.cancel();
        let mut items = self.lock();
        if let Some(at_upstream) = items.get_mut(&upstream_key) {
            at_upstream.retain(|item| !item.stop.token.is_cancelled());
            if at_upstream.is_empty() {
                items.remove(&upstream_key);
            }
        }
    }

    /// Cancels items at the upstream `upstream_key` until `count` are stopping, those with the
    /// fewest events first: those near their end release their slots soon by themselves.
    pub(super) fn preempt(&self, upstream_key: BalancerKey, count: usize) {
        let mut items = self.lock();
        let Some(at_upstream) = items.get_mut(&upstream_key) else {
            return;
        };
        // Items that are already cancelled count: they hold their slots until they have stopped.
        let stopping = at_upstream
            .iter()
            .filter(|item| item.stop.token.is_cancelled())
            .count();
        at_upstream.sort_by_key(|item| item.events.load(Ordering::Relaxed));
        let running = at_upstream
            .iter()
            .filter(|item| !item.stop.token.is_cancelled());
        for item in running.take(count.saturating_sub(stopping)) {
            item.stop.stop(StopReason::Preempted);
        }
    }

    pub(super) fn stop_job(&self, job: &str, reason: StopReason) {
        for item in self
            .lock()
            .values()
            .flatten()
            .filter(|item| item.job == job)
        {
            item.stop.stop(reason);
        }
    }

    pub(super) fn stop_all(&self, reason: StopReason) {
        for item in self.lock().values().flatten() {
            item.stop.stop(reason);
        }
    }

    /// Cancels all items, and those that are added from now on.
    pub(super) fn close(&self) {
        let items = self.lock();
        self.is_closed.store(true, Ordering::Relaxed);
        for item in items.values().flatten() {
            item.stop.stop(StopReason::Displaced);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<BalancerKey, Vec<RunningItem>>> {
        self.items.lock().expect("running items lock")
    }
}
