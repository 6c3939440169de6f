//! Handle to the load balancer that the tasks of a host share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::balancer::backoff::UpstreamFault;
use crate::balancer::state::BalancerState;
use crate::balancer::state::SlotRequest;
use crate::balancer::state::UpstreamChoice;
use crate::ids::WorkClass;

/// Shared handle to a [`BalancerState`], with a notification for tasks that wait for a slot. Clones
/// refer to the same state.
#[derive(Clone)]
pub struct LoadBalancer {
    shared: Arc<BalancerShared>,
}

struct BalancerShared {
    state: Mutex<BalancerState>,
    changed: Notify,
}

impl LoadBalancer {
    /// Creates a handle that owns `state`.
    pub fn new(state: BalancerState) -> Self {
        let shared = BalancerShared {
            state: Mutex::new(state),
            changed: Notify::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Locks the state. The guard must not be held across an await or while [`Self::take`] or a
    /// method of [`SlotPermit`] is called: they lock it too.
    pub fn book(&self) -> MutexGuard<'_, BalancerState> {
        self.shared.state.lock().expect("balancer state lock")
    }

    /// Waits for the next [`Self::wake`], after which slots may have become free.
    pub async fn changed(&self) {
        self.shared.changed.notified().await;
    }

    /// Wakes all tasks that wait in [`Self::changed`].
    pub fn wake(&self) {
        self.shared.changed.notify_waiters();
    }

    /// Chooses an upstream for one piece of work, or returns `None` if none may take it. The slot
    /// is freed when the returned value is dropped.
    pub fn take(&self, request: SlotRequest<'_>) -> Option<SlotPermit> {
        let draw = rand::random();
        let pick = self.book().take(request, Instant::now(), draw)?;
        let class = request.class;
        if class == WorkClass::Online {
            // Wakes the tasks that preempt batch items: the request may need the slot of one.
            self.wake();
        }
        Some(SlotPermit {
            balancer: self.clone(),
            class,
            pick,
        })
    }
}

/// A slot at an upstream, occupied by one piece of work until it is dropped.
pub struct SlotPermit {
    balancer: LoadBalancer,
    class: WorkClass,
    /// The chosen upstream and its loads at the time of the choice.
    pub pick: UpstreamChoice,
}

impl SlotPermit {
    /// Records a fault of the upstream. Returns how long it is ejected for it, or `None` if it is
    /// not.
    pub fn fault(&self, fault: UpstreamFault) -> Option<Duration> {
        self.balancer
            .book()
            .fault(self.pick.key, fault, Instant::now())
    }

    /// Records that the upstream sent a part of an answer.
    pub fn note_progress(&self) {
        self.balancer
            .book()
            .note_progress(self.pick.key, Instant::now());
    }

    /// Classifies the silence of the upstream, which has sent nothing for this work since `since`:
    /// see [`BalancerState::silence`].
    pub fn silence(&self, since: Instant) -> UpstreamFault {
        self.balancer.book().silence(self.pick.key, since)
    }

    /// Records that the upstream announced its shutdown. Returns whether this was not known before.
    pub fn leave(&self) -> bool {
        self.balancer.book().leave(self.pick.key, Instant::now())
    }

    /// Records a successful request. Returns the time since the upstream was ejected, or `None` if
    /// it was not.
    pub fn success(&self) -> Option<Duration> {
        self.balancer.book().success(self.pick.key, Instant::now())
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.balancer.book().release(self.pick.key, self.class);
        self.balancer.wake();
    }
}
