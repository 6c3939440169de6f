//! Handle to the load balancer that the tasks of a host share.

use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::balancer::backoff::UpstreamFault;
use crate::balancer::state::BalancerState;
use crate::balancer::state::SlotRequest;
use crate::balancer::state::UpstreamChoice;
use crate::ids::WorkClass;
use crate::limits::LimitSignal;

/// Shortest time after which work that waits for a grant is tried again without a change of slots.
const MIN_GRANT_POLL: Duration = Duration::from_millis(2);

/// Shared handle to a [`BalancerState`], with a notification for tasks that wait for a slot. Clones
/// refer to the same state.
#[derive(Clone)]
pub struct LoadBalancer {
    shared: Arc<BalancerShared>,
}

struct BalancerShared {
    state: Mutex<BalancerState>,
    slots_changed: Notify,
    grants_requested: Notify,
}

impl LoadBalancer {
    /// Creates a handle that owns `state`.
    pub fn new(state: BalancerState) -> Self {
        let shared = BalancerShared {
            state: Mutex::new(state),
            slots_changed: Notify::new(),
            grants_requested: Notify::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Locks the state. The guard must not be held across an await or while [`Self::acquire`] or a
    /// method of [`SlotPermit`] is called: they lock it too.
    pub fn state(&self) -> MutexGuard<'_, BalancerState> {
        self.shared.state.lock().expect("balancer state lock")
    }

    /// Waits for the next [`Self::notify_waiters`], after which slots may have become free.
    pub async fn slots_changed(&self) {
        self.shared.slots_changed.notified().await;
    }

    /// Wakes all tasks that wait in [`Self::slots_changed`].
    pub fn notify_waiters(&self) {
        self.shared.slots_changed.notify_waiters();
    }

    /// Waits until there are requests for grants to send.
    pub(crate) async fn grants_requested(&self) {
        self.shared.grants_requested.notified().await;
    }

    /// Chooses an upstream for an online request as [`Self::acquire`] does, and waits until `limit` for
    /// a grant if only upstreams with a limit of requests a second have room for it.
    pub async fn acquire_until(
        &self,
        request: SlotRequest<'_>,
        limit: Instant,
    ) -> Option<SlotPermit> {
        loop {
            let mut slots_changed = pin!(self.shared.slots_changed.notified());
            slots_changed.as_mut().enable();
            let now = Instant::now();
            let request = SlotRequest {
                may_wait: now < limit,
                ..request
            };
            if let Some(permit) = self.acquire(request) {
                return Some(permit);
            }
            if now >= limit {
                return None;
            }
            let expected = self.state().grant_expected_at(request.service, now)?;
            let next = expected.max(now + MIN_GRANT_POLL).min(limit);
            let _ = timeout_at(next, slots_changed).await;
        }
    }

    /// Waits for the next [`Self::notify_waiters`] after this call, whenever the future is first polled, or
    /// until `limit`.
    pub fn slots_changed_until(&self, limit: Instant) -> impl Future<Output = ()> {
        let mut slots_changed = Box::pin(self.shared.slots_changed.notified());
        slots_changed.as_mut().enable();
        async move {
            let _ = timeout_at(limit, slots_changed).await;
        }
    }

    /// Chooses an upstream for one piece of work, or returns `None` if none may take it. The slot
    /// is freed when the returned value is dropped.
    pub fn acquire(&self, request: SlotRequest<'_>) -> Option<SlotPermit> {
        let draw = rand::random();
        let choice = {
            let mut state = self.state();
            let choice = state.acquire(request, Instant::now(), draw);
            if state.has_grant_requests() {
                self.shared.grants_requested.notify_one();
            }
            choice?
        };
        let class = request.class;
        if class == WorkClass::Online {
            // Wakes the tasks that preempt batch items: the request may need the slot of one.
            self.notify_waiters();
        }
        Some(SlotPermit {
            balancer: self.clone(),
            class,
            acquired_at: Instant::now(),
            has_served: AtomicBool::new(false),
            choice,
        })
    }
}

/// A slot at an upstream, occupied by one piece of work until it is dropped.
pub struct SlotPermit {
    balancer: LoadBalancer,
    class: WorkClass,
    acquired_at: Instant,
    /// Whether the upstream has served the work, if only in part.
    has_served: AtomicBool,
    /// The chosen upstream and its loads at the time of the choice.
    pub choice: UpstreamChoice,
}

impl SlotPermit {
    /// Records a fault of the upstream. Returns how long it is ejected for it, or `None` if it is
    /// not.
    pub fn note_fault(&self, fault: UpstreamFault) -> Option<Duration> {
        self.balancer
            .state()
            .note_fault(self.choice.key, fault, Instant::now())
    }

    /// Records that the upstream sent a part of an answer.
    pub fn note_progress(&self) {
        self.balancer
            .state()
            .note_progress(self.choice.key, Instant::now());
    }

    /// Classifies the silence of the upstream, which has sent nothing for this work since `since`:
    /// see [`BalancerState::classify_silence`].
    pub fn classify_silence(&self, since: Instant) -> UpstreamFault {
        self.balancer
            .state()
            .classify_silence(self.choice.key, since)
    }

    /// Records that the upstream announced its shutdown. Returns whether this was not known before.
    pub fn note_leaving(&self) -> bool {
        self.balancer
            .state()
            .note_leaving(self.choice.key, Instant::now())
    }

    /// Applies what an answer of the upstream says about its limit of requests a second.
    pub fn note_limit(&self, signal: LimitSignal) {
        self.balancer
            .state()
            .note_limit(self.choice.key, signal, Instant::now());
    }

    /// Records that the first event arrived `time` after the request was sent.
    pub fn note_first_event(&self, time: Duration) {
        let (key, beside) = (self.choice.key, self.choice.beside);
        let mut state = self.balancer.state();
        state.note_first_event(key, beside, time, Instant::now());
    }

    /// Records a failed attempt that is passed on to the caller, and so is no fault that ejects.
    pub fn note_failure(&self) {
        let mut state = self.balancer.state();
        state.note_failure(self.choice.key, Instant::now());
    }

    /// Records a successful request. Returns the time since the upstream was ejected, or `None` if
    /// it was not.
    pub fn note_success(&self) -> Option<Duration> {
        self.has_served.store(true, Ordering::Relaxed);
        self.balancer
            .state()
            .note_success(self.choice.key, Instant::now())
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let mut state = self.balancer.state();
        if self.class == WorkClass::Online && self.has_served.load(Ordering::Relaxed) {
            state.note_slot_time(self.choice.key, self.acquired_at.elapsed());
        }
        state.release(self.choice.key, self.class);
        drop(state);
        self.balancer.notify_waiters();
    }
}
