//! The views of the key-value service that a host acts on, with their log lines and metrics.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::edges::kv::KvChange;
use crate::edges::kv::KvVersion;
use crate::event_log::EventLog;
use crate::events::LogEvent;
use crate::view_monitor::CheckReason;
use crate::view_monitor::ViewAnswer;
use crate::view_monitor::ViewCall;
use crate::view_monitor::ViewKind;
use crate::view_monitor::ViewMonitor;
use crate::view_monitor::ViewNotice;
use crate::view_monitor::ViewRole;
use crate::view_news::ChangeLog;
use crate::view_news::ViewNews;
use crate::view_news::ViewQuery;

/// Messages of other hosts that wait to be applied to a view.
const MAX_TOLD: usize = 64;
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
    /// Whether the last call of this host failed.
    is_failing: bool,
    /// The last changes, for other hosts.
    log: ChangeLog,
    /// Last change that other hosts have to be told of, and when.
    untold_change: Option<(KvVersion, Instant)>,
    /// What other hosts have told and is not applied yet, with the time before which it had not arrived.
    told: VecDeque<(ViewNews, Instant)>,
}

/// What other hosts have to be told of one view.
#[derive(Clone, Debug, Default)]
pub struct ViewMessages {
    /// State of the view, after a check.
    pub notice: Option<ViewNotice>,
    /// Changes of the view.
    pub news: Option<ViewNews>,
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
            is_failing: false,
            log: ChangeLog::default(),
            untold_change: None,
            told: VecDeque::new(),
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
            state.is_failing = false;
            state.log.reset(answer.as_of);
            state.monitor.age(Instant::now())
        };
        self.note_news(call, answer.as_of, changes, age);
    }

    /// Records an answer of `call`: `changes` are all changes after `known` up to its revision. A teller
    /// tells others of them.
    pub(crate) fn note_changes(
        &self,
        call: ViewCall,
        answer: ViewAnswer,
        known: KvVersion,
        changes: &[KvChange],
    ) {
        let now = Instant::now();
        let last = changes.iter().map(KvChange::version).max();
        let age = {
            let mut state = self.state();
            state.monitor.note_answer(answer);
            state.is_failing = false;
            state.log.add(known, answer.as_of, changes, now);
            let is_teller = matches!(state.monitor.role(), ViewRole::Teller(_));
            if let Some(last) = last.filter(|_| is_teller) {
                let due_at = now + state.monitor.tell_delay();
                let due_at = state.untold_change.map_or(due_at, |(_, at)| at.min(due_at));
                state.untold_change = Some((last, due_at));
                self.shared.notice_added.notify_one();
            }
            state.monitor.age(now)
        };
        self.note_news(call, answer.as_of, changes.len(), age);
    }

    /// Records that `changes`, all changes after `known` up to the revision of `notice`, are applied, as
    /// another host has told of them. The notice arrived at `arrived` or later.
    pub(crate) fn note_told(
        &self,
        notice: &ViewNotice,
        arrived: Instant,
        known: KvVersion,
        changes: &[KvChange],
    ) {
        let now = Instant::now();
        let age = {
            let mut state = self.state();
            state.monitor.note_told(notice, arrived, now);
            state.log.add(known, notice.as_of, changes, now);
            state.monitor.age(now)
        };
        self.note_news(ViewCall::Told, notice.as_of, changes.len(), age);
    }

    /// Logs, counts and announces an answer, or what another host has told.
    fn note_news(&self, call: ViewCall, as_of: KvVersion, changes: usize, age: Duration) {
        self.shared.changed.notify_waiters();
        let has_news = changes > 0 || call == ViewCall::Listing;
        self.count(call, if has_news { "changed" } else { "unchanged" });
        if has_news {
            self.shared.log.write(LogEvent::ViewAdvanced {
                view: self.shared.kind.to_string(),
                revision: as_of.0,
                via: call.to_string(),
                changes,
                age_ms: age.as_millis() as u64,
            });
        }
    }

    /// Records that `call` failed.
    pub fn note_failure(&self, call: ViewCall) {
        self.state().is_failing = true;
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

    /// How this host learns of changes.
    pub fn role(&self) -> ViewRole {
        self.state().monitor.role()
    }

    /// Sets how this host learns of changes.
    pub fn set_role(&self, role: ViewRole) {
        let before = {
            let mut state = self.state();
            let before = state.monitor.role();
            state.monitor.set_role(role);
            before
        };
        if before != role {
            self.shared.changed.notify_waiters();
        }
    }

    /// `position`, or the revision up to which other hosts have told that nothing has changed since.
    pub(crate) fn advanced(&self, position: KvVersion) -> KvVersion {
        let confirmed = self.state().monitor.position().unwrap_or_default();
        position.max(confirmed)
    }

    /// Waits until this host is to hold watches.
    pub(crate) async fn watch_allowed(&self) {
        loop {
            let changed = self.shared.changed.notified();
            if self.role().watches() {
                return;
            }
            changed.await;
        }
    }

    /// Waits for changes that another host has told of, and returns them with the time before which they
    /// had not arrived.
    pub(crate) async fn told(&self) -> (ViewNews, Instant) {
        loop {
            let changed = self.shared.changed.notified();
            if let Some(told) = self.state().told.pop_front() {
                return told;
            }
            changed.await;
        }
    }

    /// Takes the changes that another host has told of, which arrived at `arrived` or later.
    pub fn apply_news(&self, news: ViewNews, arrived: Instant) {
        {
            let mut state = self.state();
            let last = news.notice.last_change;
            // Another teller has told of the same changes.
            state.untold_change = state.untold_change.filter(|(version, _)| *version > last);
            if state.told.len() >= MAX_TOLD {
                state.told.pop_front();
            }
            state.told.push_back((news, arrived));
        }
        self.shared.changed.notify_waiters();
    }

    /// Applies the notice of another host that arrived at `arrived` or later.
    pub fn apply(&self, notice: &ViewNotice, arrived: Instant) {
        {
            let now = Instant::now();
            let mut state = self.state();
            let before = state.monitor.position();
            state.monitor.apply(notice, arrived, now);
            if let (Some(before), Some(position)) = (before, state.monitor.position())
                && before < position
            {
                state.log.add(before, position, &[], now);
            }
        }
        self.shared.changed.notify_waiters();
    }

    /// Question to a host that has told of a change which this host lacks; `None` if it lacks none or can
    /// read it.
    pub fn query(&self) -> Option<ViewQuery> {
        let state = self.state();
        let is_asking = state.is_failing && state.monitor.lacks_change();
        let position = state.monitor.position().filter(|_| is_asking);
        position.map(|after| ViewQuery {
            view: self.shared.kind,
            after,
        })
    }

    /// Changes for a host that has asked for them; `None` if they are not known.
    pub fn answer(&self, query: &ViewQuery) -> Option<ViewNews> {
        let state = self.state();
        let notice = state.monitor.notice(self.shared.kind, Instant::now())?;
        state.log.news_after(notice, query.after)
    }

    /// What to tell other hosts now.
    pub fn take_messages(&self) -> ViewMessages {
        let now = Instant::now();
        let mut state = self.state();
        let is_untold = std::mem::take(&mut state.is_untold);
        let is_due = state.untold_change.is_some_and(|(_, at)| at <= now);
        if is_due || is_untold {
            state.untold_change = None;
        }
        let notice = state.monitor.notice(self.shared.kind, now);
        let notice = notice.filter(|_| is_due || is_untold);
        let news = notice.and_then(|notice| state.log.news(notice, now));
        ViewMessages {
            notice: notice.filter(|_| is_untold || news.is_none()),
            news,
        }
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

    /// Sets how this host learns of changes.
    pub fn set_role(&self, role: ViewRole) {
        for view in self.all() {
            view.set_role(role);
        }
    }

    /// What to tell all other hosts now, for each view.
    pub fn take_messages(&self) -> Vec<ViewMessages> {
        let views = self.all().into_iter();
        views.map(ViewHandle::take_messages).collect()
    }

    /// Takes the changes that another host has told of, which arrived at `arrived` or later.
    pub fn apply_news(&self, news: ViewNews, arrived: Instant) {
        if let Some(view) = self.of_kind(news.notice.view) {
            view.apply_news(news, arrived);
        }
    }

    /// The view of this kind that decisions on requests rest on.
    fn of_kind(&self, kind: ViewKind) -> Option<&ViewHandle> {
        match kind {
            ViewKind::Configuration => Some(&self.configuration),
            ViewKind::Upstreams => Some(&self.upstreams),
            ViewKind::Retirements => None,
        }
    }

    /// Question to a host that has told of a change of this view.
    pub fn query(&self, kind: ViewKind) -> Option<ViewQuery> {
        self.of_kind(kind)?.query()
    }

    /// Changes for a host that has asked for them.
    pub fn answer(&self, query: &ViewQuery) -> Option<ViewNews> {
        self.of_kind(query.view)?.answer(query)
    }

    /// Applies the notice of another host that arrived at `arrived` or later.
    pub fn apply(&self, notice: &ViewNotice, arrived: Instant) {
        if let Some(view) = self.of_kind(notice.view) {
            view.apply(notice, arrived);
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
