//! Following the keys with a prefix: changes, outages and watches that are cut.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use parsleywall::config_monitor::ConfigMonitor;
use parsleywall::edges::kv::Expect;
use parsleywall::edges::kv::KvChange;
use parsleywall::edges::kv::KvChanges;
use parsleywall::edges::kv::KvCommit;
use parsleywall::edges::kv::KvEntry;
use parsleywall::edges::kv::KvError;
use parsleywall::edges::kv::KvPage;
use parsleywall::edges::kv::KvStore;
use parsleywall::edges::kv::KvVersion;
use parsleywall::edges::kv::LeaseId;
use parsleywall::event_log::EventLog;
use parsleywall::follow::PrefixEvent;
use parsleywall::follow::PrefixFollower;
use parsleywall::host_views::ViewHandle;
use parsleywall::view_monitor::ViewKind;
use parsleywall_standins::kv::KvMemory;
use tokio::time::Instant;

fn view() -> ViewHandle {
    ViewHandle::new(
        ViewKind::Configuration,
        Duration::from_secs(1),
        EventLog::disabled(),
    )
}

struct Follower {
    kv: Arc<KvMemory>,
    events: Arc<Mutex<Vec<String>>>,
}

impl Follower {
    async fn start() -> Self {
        let kv = KvMemory::new();
        let events: Arc<Mutex<Vec<String>>> = Arc::default();
        let follower = PrefixFollower::new(kv.clone(), "a/", view());
        let recorded = events.clone();
        tokio::spawn(follower.run(move |event| recorded.lock().unwrap().push(name(&event))));
        tokio::time::sleep(Duration::from_millis(10)).await;
        Self { kv, events }
    }

    async fn put(&self, key: &str) {
        let value = Bytes::from_static(b"value");
        self.kv.put(key, value, Expect::Any, None).await.unwrap();
        tokio::time::sleep(Duration::from_millis(10)).await;
    }

    fn take_events(&self) -> Vec<String> {
        std::mem::take(&mut self.events.lock().unwrap())
    }
}

fn name(event: &PrefixEvent) -> String {
    match event {
        PrefixEvent::Listed(entries) => format!("listed {}", entries.len()),
        PrefixEvent::Changed(KvChange::Put(entry)) => format!("put {}", entry.key),
        PrefixEvent::Changed(KvChange::Deleted { key }) => format!("deleted {key}"),
        PrefixEvent::Lost(_) => "lost".to_owned(),
        PrefixEvent::Regained(_) => "regained".to_owned(),
    }
}

#[tokio::test(start_paused = true)]
async fn test_follow_changes() {
    let follower = Follower::start().await;
    follower.put("a/1").await;
    assert_eq!(follower.take_events(), ["listed 0", "put a/1"]);
    follower.put("b/1").await;
    follower.kv.delete("a/1", Expect::Any).await.unwrap();
    tokio::time::sleep(Duration::from_millis(250)).await;
    assert_eq!(follower.take_events(), ["deleted a/1"]);
}

/// Changes in quick succession must take few calls and all be reported within 250 ms.
#[tokio::test(start_paused = true)]
async fn test_follow_gathers_changes() {
    let follower = Follower::start().await;
    let before = follower.kv.calls.reads.load(Ordering::Relaxed);
    for number in 0..50 {
        follower.put(&format!("a/{number}")).await;
    }
    tokio::time::sleep(Duration::from_millis(250)).await;
    assert_eq!(follower.take_events().len(), 51);
    let calls = follower.kv.calls.reads.load(Ordering::Relaxed) - before;
    assert!(calls <= 6, "{calls} calls for 50 changes in 500 ms");
}

/// Guards against an outage that seems to last until the next change: users of the events would
/// keep keys that vanish after the outage, as if it had expired them.
#[tokio::test(start_paused = true)]
async fn test_follow_regains_without_a_change() {
    let follower = Follower::start().await;
    follower.put("a/1").await;
    follower.kv.faults.down.store(true, Ordering::Relaxed);
    // The open watch ends first; the next call is the first one that fails.
    follower.take_events();
    tokio::time::sleep(Duration::from_secs(40)).await;
    assert_eq!(follower.take_events(), ["lost"]);
    follower.kv.faults.down.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(follower.take_events(), ["regained", "listed 1"]);
}

/// A service that fails the first watch, and lets later ones hang as on a connection that delivers
/// nothing.
struct SilentWatches {
    memory: Arc<KvMemory>,
    watches: AtomicU64,
}

#[async_trait]
impl KvStore for SilentWatches {
    async fn get(&self, key: &str) -> Result<Option<KvEntry>, KvError> {
        self.memory.get(key).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<KvPage, KvError> {
        self.memory.list(prefix, after, limit).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<KvVersion, KvError> {
        self.memory.put(key, value, expect, lease).await
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<(), KvError> {
        self.memory.delete(key, expect).await
    }

    async fn commit(&self, commit: KvCommit) -> Result<KvVersion, KvError> {
        self.memory.commit(commit).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: KvVersion,
        wait: Duration,
    ) -> Result<KvChanges, KvError> {
        if wait.is_zero() {
            return self.memory.watch(prefix, after, wait).await;
        }
        match self.watches.fetch_add(1, Ordering::Relaxed) {
            0 => Err(KvError::Unavailable("cut".to_owned())),
            _ => {
                tokio::time::sleep(wait).await;
                Err(KvError::Unknown("no answer in time".to_owned()))
            }
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvError> {
        self.memory.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        self.memory.renew_lease(lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        self.memory.revoke_lease(lease).await
    }
}

/// Guards against changes that are missed after a cut watch: if the follower watched again on a
/// dead connection, it would see nothing for the whole wait.
#[tokio::test(start_paused = true)]
async fn test_follow_lists_after_a_cut_watch() {
    let kv = Arc::new(SilentWatches {
        memory: KvMemory::new(),
        watches: AtomicU64::new(0),
    });
    let value = Bytes::from_static(b"value");
    let events: Arc<Mutex<Vec<String>>> = Arc::default();
    let follower = PrefixFollower::new(kv.clone(), "a/", view());
    let recorded = events.clone();
    tokio::spawn(follower.run(move |event| recorded.lock().unwrap().push(name(&event))));
    tokio::time::sleep(Duration::from_millis(50)).await;
    kv.put("a/1", value, Expect::Any, None).await.unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(*events.lock().unwrap(), ["listed 0", "listed 1"]);
}

/// Guards against a host that follows an old configuration for as long as a watch may wait: its connection
/// is silent, and other hosts have had a newer version in force for a while.
#[tokio::test(start_paused = true)]
async fn test_follow_lists_when_other_hosts_are_ahead() {
    let kv = Arc::new(SilentWatches {
        memory: KvMemory::new(),
        watches: AtomicU64::new(1),
    });
    let monitor = ConfigMonitor::default();
    monitor.set_own_version(6);
    let events: Arc<Mutex<Vec<String>>> = Arc::default();
    let follower = PrefixFollower::new(kv.clone(), "a/", view()).with_refresh(monitor.refresh());
    let recorded = events.clone();
    tokio::spawn(follower.run(move |event| recorded.lock().unwrap().push(name(&event))));
    tokio::time::sleep(Duration::from_millis(50)).await;
    let value = Bytes::from_static(b"value");
    kv.put("a/1", value, Expect::Any, None).await.unwrap();
    let began = Instant::now();
    while events.lock().unwrap().len() < 2 {
        for version in [7, 6, 0] {
            monitor.apply(version, Instant::now());
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
        assert!(began.elapsed() < Duration::from_secs(1));
    }
    assert_eq!(*events.lock().unwrap(), ["listed 0", "listed 1"]);
}

/// Hosts learn of a version one after the other, which is no reason to read the configuration again.
#[tokio::test(start_paused = true)]
async fn test_monitor_waits_for_versions_that_are_on_their_way() {
    let monitor = ConfigMonitor::default();
    let refresh = monitor.refresh();
    for version in 1..20 {
        monitor.apply(version, Instant::now());
        tokio::time::sleep(Duration::from_millis(300)).await;
        monitor.set_own_version(version);
    }
    let notified = tokio::time::timeout(Duration::from_secs(1), refresh.notified()).await;
    assert!(notified.is_err());
}

/// Guards against a host that has heard nothing for long and looks as if nothing had changed.
#[tokio::test(start_paused = true)]
async fn test_view_age_tells_silence_from_no_changes() {
    let kv = Arc::new(SilentWatches {
        memory: KvMemory::new(),
        watches: AtomicU64::new(1),
    });
    let log = EventLog::disabled();
    let max_age = Duration::from_secs(1);
    let view = ViewHandle::new(ViewKind::Configuration, max_age, log.clone());
    let follower = PrefixFollower::new(kv.clone(), "a/", view.clone());
    let following = tokio::spawn(follower.run(|_| {}));
    tokio::time::sleep(Duration::from_millis(900)).await;
    following.abort();
    let follower = PrefixFollower::new(kv.clone(), "a/", view.clone());
    kv.memory.faults.down.store(true, Ordering::Relaxed);
    tokio::spawn(follower.run(|_| {}));
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(view.age() > Duration::from_secs(2), "{:?}", view.age());
    let text = log.metrics().text();
    for line in [
        "parsleywall_log_events_total{event=\"view_advanced\"} 1",
        "parsleywall_log_events_total{event=\"view_unproved\"} 1",
        "outcome=\"failed\",via=\"listing\",view=\"configuration\"",
    ] {
        assert!(text.contains(line), "{line} is missing of {text}");
    }
    kv.memory.faults.down.store(false, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_millis(900)).await;
    assert!(view.age() < Duration::from_millis(900), "{:?}", view.age());
    let line = "parsleywall_log_events_total{event=\"view_proved\"} 1";
    assert!(log.metrics().text().contains(line));
}

/// Guards against a host that follows an old state for as long as a silent watch waits.
#[tokio::test(start_paused = true)]
async fn test_follow_reports_a_change_while_watches_are_silent() {
    let kv = Arc::new(SilentWatches {
        memory: KvMemory::new(),
        watches: AtomicU64::new(1),
    });
    let events: Arc<Mutex<Vec<String>>> = Arc::default();
    let follower = PrefixFollower::new(kv.clone(), "a/", view());
    let recorded = events.clone();
    tokio::spawn(follower.run(move |event| recorded.lock().unwrap().push(name(&event))));
    for number in 1..4 {
        tokio::time::sleep(Duration::from_millis(1_300)).await;
        let (key, value) = (format!("a/{number}"), Bytes::from_static(b"value"));
        kv.put(&key, value, Expect::Any, None).await.unwrap();
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(
            events.lock().unwrap().last().unwrap(),
            &format!("put {key}")
        );
    }
}
