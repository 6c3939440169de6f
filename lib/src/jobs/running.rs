//! Items that this host is running, and their cancellation.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio_util::sync::CancellationToken;

use crate::balancer::BalancerKey;
use crate::collections::HashMap;

struct RunningItem {
    job: String,
    /// Number of events received, updated by the run.
    events: Arc<AtomicU64>,
    stop: CancellationToken,
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
    ) -> CancellationToken {
        let stop = CancellationToken::new();
        let item = RunningItem {
            job: job.to_owned(),
            events,
            stop: stop.clone(),
        };
        let mut items = self.lock();
        items.entry(upstream_key).or_default().push(item);
        if self.is_closed.load(Ordering::Relaxed) {
            stop.cancel();
        }
        drop(items);
        stop
    }

    pub(super) fn remove(&self, upstream_key: BalancerKey, stop: &CancellationToken) {
        // The cancelled token identifies this run. It also drops cancelled runs that have not
        // removed themselves yet.
        stop.cancel();
        let mut items = self.lock();
        if let Some(at_upstream) = items.get_mut(&upstream_key) {
            at_upstream.retain(|item| !item.stop.is_cancelled());
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
            .filter(|item| item.stop.is_cancelled())
            .count();
        at_upstream.sort_by_key(|item| item.events.load(Ordering::Relaxed));
        let running = at_upstream.iter().filter(|item| !item.stop.is_cancelled());
        for item in running.take(count.saturating_sub(stopping)) {
            item.stop.cancel();
        }
    }

    pub(super) fn stop_job(&self, job: &str) {
        for item in self
            .lock()
            .values()
            .flatten()
            .filter(|item| item.job == job)
        {
            item.stop.cancel();
        }
    }

    pub(super) fn stop_all(&self) {
        for item in self.lock().values().flatten() {
            item.stop.cancel();
        }
    }

    /// Cancels all items, and those that are added from now on.
    pub(super) fn close(&self) {
        let items = self.lock();
        self.is_closed.store(true, Ordering::Relaxed);
        for item in items.values().flatten() {
            item.stop.cancel();
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<BalancerKey, Vec<RunningItem>>> {
        self.items.lock().expect("running items lock")
    }
}
