//! The views of the key-value service that a host acts on, with their log lines and metrics.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::edges::kv::KvVersion;
use crate::event_log::EventLog;
use crate::events::LogEvent;
use crate::view_monitor::CheckReason;
use crate::view_monitor::ViewAnswer;
use crate::view_monitor::ViewCall;
use crate::view_monitor::ViewKind;
use crate::view_monitor::ViewMonitor;
use crate::view_monitor::ViewNotice;

/// Greatest age of a view without a bound of its own.
const DEFAULT_MAX_AGE: Duration = Duration::from_secs(1);

/// One view of a host. Clones share one state.
#[derive(Clone)]
pub struct ViewHandle {
    shared: Arc<SharedView>,
}

struct SharedView {
    kind: ViewKind,
    max_age: Duration,
    log: EventLog,
    state: Mutex<ViewState>,
    changed: Notify,
    /// Shared by all views of the host.
    notice_added: Arc<Notify>,
}

struct ViewState {
    monitor: ViewMonitor,
    /// Whether other hosts have to be told of the last check.
    is_untold: bool,
}

impl ViewHandle {
    /// Creates the handle of a view that should be proved again before it reaches `max_age`. Random
    /// delays follow from `seed`.
    pub fn new(kind: ViewKind, max_age: Duration, seed: u64, log: EventLog) -> Self {
        Self::with_notify(kind, max_age, seed, log, Arc::default())
    }

    fn with_notify(
        kind: ViewKind,
        max_age: Duration,
        seed: u64,
        log: EventLog,
        notice_added: Arc<Notify>,
    ) -> Self {
        let state = ViewState {
            monitor: ViewMonitor::new(max_age, seed, Instant::now()),
            is_untold: false,
        };
        Self {
            shared: Arc::new(SharedView {
                kind,
                max_age,
                log,
                state: Mutex::new(state),
                changed: Notify::new(),
                notice_added,
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, ViewState> {
        self.shared.state.lock().expect("view state lock")
    }

    /// Age that the view should not reach.
    pub fn max_age(&self) -> Duration {
        self.shared.max_age
    }

    /// Time since the view was last known to be current.
    pub fn age(&self) -> Duration {
        self.state().monitor.age(Instant::now())
    }

    /// Whether the view has reached its greatest age, so that it may miss changes.
    pub fn is_overdue(&self) -> bool {
        self.age() >= self.max_age()
    }

    /// Records an answer of `call` that brought `changes` changes, or keys if it is a listing.
    pub fn note_answer(&self, call: ViewCall, answer: ViewAnswer, changes: usize) {
        let age = {
            let mut state = self.state();
            state.monitor.note_answer(answer);
            state.monitor.age(Instant::now())
        };
        self.shared.changed.notify_waiters();
        let has_news = changes > 0 || call == ViewCall::Listing;
        self.count(call, if has_news { "changed" } else { "unchanged" });
        if has_news {
            self.shared.log.write(LogEvent::ViewAdvanced {
                view: self.shared.kind.to_string(),
                revision: answer.as_of.0,
                via: call.to_string(),
                changes,
                age_ms: age.as_millis() as u64,
            });
        }
    }

    /// Records that `call` failed.
    pub fn note_failure(&self, call: ViewCall) {
        self.count(call, "failed");
    }

    /// Logs that the open watch has not brought a change, up to `revision`, that a check has brought.
    pub fn note_dead_watch(&self, revision: KvVersion) {
        self.shared.log.write(LogEvent::WatchReplaced {
            view: self.shared.kind.to_string(),
            revision: revision.0,
        });
    }

    fn count(&self, call: ViewCall, outcome: &str) {
        let metrics = self.shared.log.metrics();
        metrics.count_view_call(self.shared.kind.into(), call.into(), outcome);
    }

    /// Waits until a check is due and returns why. `watch_started` is the start of the open watch.
    pub async fn check_due(&self, watch_started: Option<Instant>) -> CheckReason {
        loop {
            let changed = self.shared.changed.notified();
            let check = self.state().monitor.next_check(watch_started);
            if check.at <= Instant::now() {
                return check.reason;
            }
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep_until(check.at) => {}
            }
        }
    }

    /// A random number from 0 to 1, which follows from the seed.
    pub(crate) fn draw_share(&self) -> f64 {
        self.state().monitor.draw_share()
    }

    /// Has other hosts told of the last check.
    pub fn tell(&self) {
        self.state().is_untold = true;
        self.shared.notice_added.notify_one();
    }

    /// Applies the notice of another host that arrived at `arrived` or later.
    pub fn apply(&self, notice: &ViewNotice, arrived: Instant) {
        self.state().monitor.apply(notice, arrived, Instant::now());
        self.shared.changed.notify_waiters();
    }

    /// What to tell other hosts; `None` if there is nothing that they have not been told.
    pub fn take_notice(&self) -> Option<ViewNotice> {
        let mut state = self.state();
        let is_untold = std::mem::take(&mut state.is_untold);
        let notice = state.monitor.notice(self.shared.kind, Instant::now());
        notice.filter(|_| is_untold)
    }

    /// Logs when the view passes its greatest age and when it is proved again, without end.
    pub async fn log_age(&self) {
        loop {
            let changed = self.shared.changed.notified();
            let now = Instant::now();
            let (turn, age, overdue_at) = {
                let monitor = &mut self.state().monitor;
                let turn = monitor.take_overdue(now);
                (turn, monitor.age(now), monitor.overdue_at())
            };
            let view = self.shared.kind.to_string();
            let age_ms = age.as_millis() as u64;
            let log = &self.shared.log;
            match turn {
                Some(true) => log.write(LogEvent::ViewUnproved { view, age_ms }),
                Some(false) => log.write(LogEvent::ViewProved { view, age_ms }),
                None => {}
            }
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep_until(overdue_at), if overdue_at > now => {}
            }
        }
    }
}

/// Greatest ages that the views of a host should reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewAges {
    /// That of the configuration.
    pub configuration: Duration,
    /// That of the list of upstreams.
    pub upstreams: Duration,
}

impl Default for ViewAges {
    fn default() -> Self {
        Self {
            configuration: DEFAULT_MAX_AGE,
            upstreams: DEFAULT_MAX_AGE,
        }
    }
}

/// The views that decisions on requests rest on. Clones share one state.
#[derive(Clone)]
pub struct HostViews {
    /// View of the configuration.
    pub configuration: ViewHandle,
    /// View of the entries of upstreams.
    pub upstreams: ViewHandle,
    notice_added: Arc<Notify>,
}

impl HostViews {
    /// Creates the views of a host that has read nothing yet. Random delays follow from `seed`.
    pub fn new(ages: ViewAges, seed: u64, log: &EventLog) -> Self {
        let notice_added = Arc::new(Notify::new());
        let view = |kind, max_age, seed| {
            ViewHandle::with_notify(kind, max_age, seed, log.clone(), notice_added.clone())
        };
        Self {
            configuration: view(ViewKind::Configuration, ages.configuration, seed),
            upstreams: view(ViewKind::Upstreams, ages.upstreams, seed.wrapping_add(1)),
            notice_added,
        }
    }

    fn all(&self) -> [&ViewHandle; 2] {
        [&self.configuration, &self.upstreams]
    }

    /// Sets the number of hosts, with this one, that tell one another of their checks.
    pub fn set_hosts(&self, hosts: usize) {
        for view in self.all() {
            view.state().monitor.set_hosts(hosts);
        }
    }

    /// Waits until there is a notice for all other hosts.
    pub async fn notice_added(&self) {
        self.notice_added.notified().await;
    }

    /// What to tell all other hosts.
    pub fn take_notices(&self) -> Vec<ViewNotice> {
        let views = self.all().into_iter();
        views.filter_map(ViewHandle::take_notice).collect()
    }

    /// Applies the notice of another host that arrived at `arrived` or later.
    pub fn apply(&self, notice: &ViewNotice, arrived: Instant) {
        match notice.view {
            ViewKind::Configuration => self.configuration.apply(notice, arrived),
            ViewKind::Upstreams => self.upstreams.apply(notice, arrived),
            ViewKind::Retirements => {}
        }
    }

    /// Sets the gauges of the views' ages.
    pub fn set_gauges(&self, log: &EventLog) {
        for view in self.all() {
            log.metrics()
                .set_view_age(view.shared.kind.into(), view.age());
        }
    }
}
