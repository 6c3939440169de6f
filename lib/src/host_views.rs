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
use crate::view_monitor::ViewCall;
use crate::view_monitor::ViewKind;
use crate::view_monitor::ViewMonitor;

/// Greatest age of a view without a bound of its own.
const DEFAULT_MAX_AGE: Duration = Duration::from_secs(1);

/// One view of a host. Clones share one state.
#[derive(Clone)]
pub struct ViewHandle {
    shared: Arc<SharedView>,
}

struct SharedView {
    kind: ViewKind,
    log: EventLog,
    monitor: Mutex<ViewMonitor>,
    changed: Notify,
}

impl ViewHandle {
    /// Creates the handle of a view that should be proved again before it reaches `max_age`.
    pub fn new(kind: ViewKind, max_age: Duration, log: EventLog) -> Self {
        Self {
            shared: Arc::new(SharedView {
                kind,
                log,
                monitor: Mutex::new(ViewMonitor::new(max_age, Instant::now())),
                changed: Notify::new(),
            }),
        }
    }

    fn monitor(&self) -> MutexGuard<'_, ViewMonitor> {
        self.shared.monitor.lock().expect("view monitor lock")
    }

    /// Time since the view was last known to be current.
    pub fn age(&self) -> Duration {
        self.monitor().age(Instant::now())
    }

    /// Records that an answer of `call`, which began at `started`, brought all changes up to
    /// `as_of`, and how many.
    pub fn note_answer(&self, call: ViewCall, started: Instant, as_of: KvVersion, changes: usize) {
        let now = Instant::now();
        let age = {
            let mut monitor = self.monitor();
            monitor.note_answer(started, as_of);
            monitor.age(now)
        };
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
        self.count(call, "failed");
    }

    fn count(&self, call: ViewCall, outcome: &str) {
        let metrics = self.shared.log.metrics();
        metrics.count_view_call(self.shared.kind.into(), call.into(), outcome);
    }

    /// Logs when the view passes its greatest age and when it is proved again, without end.
    pub async fn log_age(&self) {
        loop {
            let changed = self.shared.changed.notified();
            let now = Instant::now();
            let (turn, age, overdue_at) = {
                let mut monitor = self.monitor();
                (
                    monitor.take_overdue(now),
                    monitor.age(now),
                    monitor.overdue_at(),
                )
            };
            let view = self.shared.kind.to_string();
            let age_ms = age.as_millis() as u64;
            match turn {
                Some(true) => self
                    .shared
                    .log
                    .write(LogEvent::ViewUnproved { view, age_ms }),
                Some(false) => self.shared.log.write(LogEvent::ViewProved { view, age_ms }),
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
}

impl HostViews {
    /// Creates the views of a host that has read nothing yet.
    pub fn new(ages: ViewAges, log: &EventLog) -> Self {
        let view = |kind, max_age| ViewHandle::new(kind, max_age, log.clone());
        Self {
            configuration: view(ViewKind::Configuration, ages.configuration),
            upstreams: view(ViewKind::Upstreams, ages.upstreams),
        }
    }

    /// Sets the gauges of the views' ages.
    pub fn set_gauges(&self, log: &EventLog) {
        for view in [&self.configuration, &self.upstreams] {
            log.metrics()
                .set_view_age(view.shared.kind.into(), view.age());
        }
    }
}
