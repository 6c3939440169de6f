//! The book as the tasks of a host share it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::balancer::book::BalancerState;
use crate::balancer::book::SlotRequest;
use crate::balancer::book::UpstreamChoice;
use crate::balancer::health::UpstreamFault;
use crate::ids::WorkClass;

/// A [`BalancerState`] that tasks share. Clones share it.
#[derive(Clone)]
pub struct LoadBalancer {
    shared: Arc<BalancerShared>,
}

struct BalancerShared {
    book: Mutex<BalancerState>,
    changed: Notify,
}

impl LoadBalancer {
    /// Returns a desk that shares `book`.
    pub fn new(book: BalancerState) -> Self {
        let shared = BalancerShared {
            book: Mutex::new(book),
            changed: Notify::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// The book, for a short time.
    pub fn book(&self) -> MutexGuard<'_, BalancerState> {
        self.shared.book.lock().expect("place book lock")
    }

    /// Completes when places may have become free.
    pub async fn changed(&self) {
        self.shared.changed.notified().await;
    }

    /// Wakes all that wait for [`Self::changed`].
    pub fn wake(&self) {
        self.shared.changed.notify_waiters();
    }

    /// Takes a place; it is given back when the hold is dropped.
    pub fn take(&self, ask: SlotRequest<'_>) -> Option<SlotPermit> {
        let draw = rand::random();
        let pick = self.book().take(ask, Instant::now(), draw)?;
        let class = ask.class;
        if class == WorkClass::Online {
            // Batch items may have to give way.
            self.wake();
        }
        Some(SlotPermit {
            desk: self.clone(),
            class,
            pick,
        })
    }
}

/// A place at an upstream, held for one piece of work.
pub struct SlotPermit {
    desk: LoadBalancer,
    class: WorkClass,
    /// The upstream.
    pub pick: UpstreamChoice,
}

impl SlotPermit {
    /// Notes a fault of the upstream; returns for how long it is ejected, if it is.
    pub fn fault(&self, fault: UpstreamFault) -> Option<Duration> {
        self.desk.book().fault(self.pick.key, fault, Instant::now())
    }

    /// Notes that the upstream sent a part of an answer.
    pub fn note_progress(&self) {
        self.desk
            .book()
            .note_progress(self.pick.key, Instant::now());
    }

    /// What it means that the upstream has sent a request nothing since `since`.
    pub fn silence(&self, since: Instant) -> UpstreamFault {
        self.desk.book().silence(self.pick.key, since)
    }

    /// Notes that the upstream said that it leaves; returns whether this is new.
    pub fn leave(&self) -> bool {
        self.desk.book().leave(self.pick.key, Instant::now())
    }

    /// Notes that the upstream served well; returns for how long it was ejected, if it was.
    pub fn success(&self) -> Option<Duration> {
        self.desk.book().success(self.pick.key, Instant::now())
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.desk.book().release(self.pick.key, self.class);
        self.desk.wake();
    }
}
