//! Handle to a host's [`QuotaTable`] that its tasks share.

use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::quotas::fleet::FleetView;
use crate::quotas::message::QuotaAsk;
use crate::quotas::message::QuotaReply;
use crate::quotas::message::WorkspaceTag;
use crate::quotas::table::QuotaCounts;
use crate::quotas::table::QuotaRefusal;
use crate::quotas::table::QuotaTable;
use crate::quotas::table::QuotaVerdict;
use crate::workspaces::Workspace;

/// Age from which a view of the other hosts is renewed before a decision that rests on it. It is renewed all the
/// time only while there are requests of workspaces with limits.
const MAX_VIEW_AGE: Duration = Duration::from_millis(500);
/// Longest wait for that.
const VIEW_TIME: Duration = Duration::from_millis(40);

/// Shared handle to a [`QuotaTable`]. Clones refer to the same table.
#[derive(Clone)]
pub struct QuotaKeeper {
    shared: Arc<KeeperShared>,
}

struct KeeperShared {
    table: Mutex<QuotaTable>,
    /// Notified when requests that wait may go on.
    answered: Notify,
    asks_added: Notify,
    /// When the other hosts were last looked at.
    viewed_at: Mutex<Option<Instant>>,
    viewed: Notify,
}

/// A request that waits for a grant; ends its wait when it is dropped.
struct WaitingRequest<'a> {
    keeper: &'a QuotaKeeper,
    tag: WorkspaceTag,
    has_ended: bool,
}

impl WaitingRequest<'_> {
    fn resume(&mut self) -> QuotaVerdict {
        let verdict = self.keeper.table().resume(self.tag, Instant::now());
        self.has_ended = !matches!(verdict, QuotaVerdict::Waiting(_));
        verdict
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.keeper.table().abandon(self.tag);
        }
    }
}

impl QuotaKeeper {
    /// Returns the keeper of `host`, which knows no other host and no workspace.
    pub fn new(host: &str) -> Self {
        Self {
            shared: Arc::new(KeeperShared {
                table: Mutex::new(QuotaTable::new(host, rand::random(), Instant::now())),
                answered: Notify::new(),
                asks_added: Notify::new(),
                viewed_at: Mutex::default(),
                viewed: Notify::new(),
            }),
        }
    }

    /// Waits until it is decided whether a request of `workspace` may be sent, by the configuration
    /// `version`: at once without a limit, or if this host has a grant or knows that there is none.
    pub(crate) async fn admit(
        &self,
        workspace: &Workspace,
        version: u64,
    ) -> Result<(), QuotaRefusal> {
        let Some(allowance) = workspace.allowance else {
            return Ok(());
        };
        self.renew_view().await;
        let tag = WorkspaceTag::new(&workspace.name);
        let mut verdict = self.table().admit(tag, allowance, version, Instant::now());
        let mut waiting = WaitingRequest {
            keeper: self,
            tag,
            has_ended: !matches!(verdict, QuotaVerdict::Waiting(_)),
        };
        loop {
            let until = match verdict {
                QuotaVerdict::Admitted => return Ok(()),
                QuotaVerdict::Refused(refusal) => return Err(refusal),
                QuotaVerdict::Waiting(until) => until,
            };
            self.notify_asks();
            let mut answered = pin!(self.shared.answered.notified());
            answered.as_mut().enable();
            // The reply may have come before this task listened.
            verdict = waiting.resume();
            if matches!(verdict, QuotaVerdict::Waiting(_)) {
                self.notify_asks();
                let _ = timeout_at(until, answered).await;
                verdict = waiting.resume();
            }
        }
    }

    /// Waits until this host has looked at the others lately: before it has, it takes itself for alone.
    async fn renew_view(&self) {
        let mut viewed = pin!(self.shared.viewed.notified());
        viewed.as_mut().enable();
        let viewed_at = *self.shared.viewed_at.lock().expect("view time lock");
        if viewed_at.is_none_or(|at| at.elapsed() >= MAX_VIEW_AGE) {
            self.shared.asks_added.notify_one();
            let _ = timeout(VIEW_TIME, viewed).await;
        }
    }

    /// Returns a request of `workspace` that was admitted and has not run.
    pub(crate) fn give_back(&self, workspace: &Workspace) {
        if workspace.allowance.is_some() {
            let tag = WorkspaceTag::new(&workspace.name);
            self.table().give_back(tag);
        }
    }

    fn notify_asks(&self) {
        if self.table().is_urgent() {
            self.shared.asks_added.notify_one();
        }
    }

    /// Waits until there are questions to send without delay.
    pub(crate) async fn asks_added(&self) {
        self.shared.asks_added.notified().await;
    }

    /// See [`QuotaTable::is_active`].
    pub(crate) fn is_active(&self) -> bool {
        self.table().is_active()
    }

    /// See [`QuotaTable::set_fleet`].
    pub(crate) fn set_fleet(&self, view: FleetView) {
        self.table().set_fleet(view);
        *self.shared.viewed_at.lock().expect("view time lock") = Some(Instant::now());
        self.shared.viewed.notify_waiters();
    }

    /// See [`QuotaTable::take_asks`].
    pub(crate) fn take_asks(&self, now: Instant) -> Vec<(String, QuotaAsk)> {
        self.table().take_asks(now)
    }

    /// See [`QuotaTable::answer`].
    pub(crate) fn answer(&self, ask: &QuotaAsk, now: Instant) -> Option<QuotaReply> {
        self.table().answer(ask, now)
    }

    /// Applies the reply to a question, and wakes the requests that wait for it.
    pub(crate) fn apply_reply(&self, reply: &QuotaReply, now: Instant) {
        let has_waiting = self.table().apply_reply(reply, now);
        if has_waiting {
            self.shared.answered.notify_waiters();
        }
    }

    /// See [`QuotaTable::take_counts`].
    pub(crate) fn take_counts(&self) -> QuotaCounts {
        self.table().take_counts()
    }

    fn table(&self) -> MutexGuard<'_, QuotaTable> {
        self.shared.table.lock().expect("quota table lock")
    }
}
