//! Fleets in which some hosts hold the watches and tell the others of changes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
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
use parsleywall::host_views::ViewMessages;
use parsleywall::view_monitor::TELLERS;
use parsleywall::view_monitor::ViewKind;
use parsleywall::view_monitor::ViewNotice;
use parsleywall::view_monitor::ViewRole;
use parsleywall::view_news::NewsAssembly;
use parsleywall::view_news::ToldChange;
use parsleywall::view_news::ViewNews;
use parsleywall::view_news::encode_news;
use parsleywall_standins::kv::KvMemory;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::JoinHandle;
use tokio::time::Instant;

const MAX_AGE: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(5);
/// Time from a call to its answer.
const CALL_TIME: Duration = Duration::from_millis(4);
/// Silence after which a host counts as gone.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Checks a second of all hosts together, as without tellers.
const MAX_CHECKS_PER_SECOND: f64 = 10.0;

/// What fails at a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// Its process is gone.
    Killed,
    /// Its process stands still.
    Paused,
    /// Its calls to the service fail.
    NoService,
    /// The service doesn't answer it.
    SilentService,
    /// It hears no host, and no host hears it.
    NoHosts,
}

impl Fault {
    const ALL: [Self; 5] = [
        Self::Killed,
        Self::Paused,
        Self::NoService,
        Self::SilentService,
        Self::NoHosts,
    ];

    fn code(fault: Option<Self>) -> u8 {
        let position = |fault| Self::ALL.iter().position(|other| *other == fault);
        fault.and_then(position).map_or(0, |index| index as u8 + 1)
    }
}

/// The service as one host reaches it.
struct HostKv {
    memory: Arc<Mutex<Arc<KvMemory>>>,
    fault: Arc<AtomicU8>,
    calls: Arc<AtomicU64>,
}

impl HostKv {
    async fn reach(&self) -> Result<Arc<KvMemory>, KvError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.answer().await?;
        Ok(self.memory.lock().unwrap().clone())
    }

    /// Waits until an answer has arrived.
    async fn answer(&self) -> Result<(), KvError> {
        tokio::time::sleep(CALL_TIME).await;
        let fault = |fault| self.fault.load(Ordering::Relaxed) == Fault::code(Some(fault));
        while fault(Fault::Paused) || fault(Fault::Killed) || fault(Fault::SilentService) {
            tokio::time::sleep(STEP).await;
        }
        match fault(Fault::NoService) {
            true => Err(KvError::Unavailable("refused".to_owned())),
            false => Ok(()),
        }
    }
}

#[async_trait]
impl KvStore for HostKv {
    async fn get(&self, key: &str) -> Result<Option<KvEntry>, KvError> {
        self.reach().await?.get(key).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<KvPage, KvError> {
        self.reach().await?.list(prefix, after, limit).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<KvVersion, KvError> {
        self.reach().await?.put(key, value, expect, lease).await
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<(), KvError> {
        self.reach().await?.delete(key, expect).await
    }

    async fn commit(&self, commit: KvCommit) -> Result<KvVersion, KvError> {
        self.reach().await?.commit(commit).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: KvVersion,
        wait: Duration,
    ) -> Result<KvChanges, KvError> {
        let changes = self.reach().await?.watch(prefix, after, wait).await;
        self.answer().await?;
        changes
    }

    async fn changes_since(&self, prefix: &str, after: KvVersion) -> Result<KvChanges, KvError> {
        self.reach().await?.changes_since(prefix, after).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvError> {
        self.reach().await?.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        self.reach().await?.renew_lease(lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        self.reach().await?.revoke_lease(lease).await
    }
}

/// Keys and their versions as one host knows them. Versions of a key never go back, except by a listing.
#[derive(Default)]
struct KnownKeys {
    keys: BTreeMap<String, u64>,
    deleted: BTreeMap<String, u64>,
}

impl KnownKeys {
    fn apply(&mut self, event: PrefixEvent) {
        match event {
            PrefixEvent::Listed(entries) => {
                let entries = entries.into_iter();
                self.keys = entries.map(|entry| (entry.key, entry.version.0)).collect();
                self.deleted.clear();
            }
            PrefixEvent::Changed(change) => {
                let version = change.version().0;
                let (key, is_put) = match change {
                    KvChange::Put(entry) => (entry.key, true),
                    KvChange::Deleted { key, .. } => (key, false),
                };
                let known = self.keys.get(&key).or(self.deleted.get(&key));
                assert!(
                    known.is_none_or(|known| *known < version),
                    "{key} goes back"
                );
                self.keys.remove(&key);
                self.deleted.remove(&key);
                match is_put {
                    true => self.keys.insert(key, version),
                    false => self.deleted.insert(key, version),
                };
            }
            PrefixEvent::Lost(_) | PrefixEvent::Regained(_) => {}
        }
    }
}

struct Host {
    view: ViewHandle,
    keys: Arc<Mutex<KnownKeys>>,
    fault: Arc<AtomicU8>,
    faulty: Option<(Fault, Instant)>,
    is_old: bool,
    follower: JoinHandle<()>,
}

impl Host {
    fn has(&self, fault: Fault) -> bool {
        self.faulty.is_some_and(|(own, _)| own == fault)
    }

    /// Whether messages reach it and leave it.
    fn is_linked(&self) -> bool {
        !self.has(Fault::Killed) && !self.has(Fault::Paused) && !self.has(Fault::NoHosts)
    }

    fn is_heard(&self, now: Instant) -> bool {
        self.is_linked() || self.faulty.is_some_and(|(_, at)| now - at < SILENCE)
    }
}

enum Message {
    News(ViewNews),
    Notice(ViewNotice),
}

/// Hosts that follow the prefix `a/`.
struct Fleet {
    memory: Arc<Mutex<Arc<KvMemory>>>,
    hosts: Vec<Host>,
    calls: Arc<AtomicU64>,
    sent: Vec<(Instant, usize, Message)>,
    lost_share: f64,
    rng: StdRng,
}

impl Fleet {
    async fn start(count: usize) -> Self {
        Self::with_old(count, 0).await
    }

    /// The last `old` hosts run an earlier release, which knows no roles and no news.
    async fn with_old(count: usize, old: usize) -> Self {
        let memory = Arc::new(Mutex::new(KvMemory::new()));
        let calls: Arc<AtomicU64> = Arc::default();
        let host = |number: usize| {
            let log = EventLog::disabled();
            let view = ViewHandle::new(ViewKind::Upstreams, MAX_AGE, number as u64, log);
            let fault: Arc<AtomicU8> = Arc::default();
            let kv = HostKv {
                memory: memory.clone(),
                fault: fault.clone(),
                calls: calls.clone(),
            };
            let keys: Arc<Mutex<KnownKeys>> = Arc::default();
            let known = keys.clone();
            let is_old = number >= count - old;
            if !is_old {
                view.set_role(ViewRole::Starting);
            }
            let follower = PrefixFollower::new(Arc::new(kv), "a/", view.clone());
            let follower = follower.run(move |event| known.lock().unwrap().apply(event));
            Host {
                view,
                keys,
                fault,
                faulty: None,
                is_old,
                follower: tokio::spawn(follower),
            }
        };
        let mut fleet = Self {
            hosts: (0..count).map(host).collect(),
            memory: memory.clone(),
            calls: calls.clone(),
            sent: Vec::new(),
            lost_share: 0.0,
            rng: StdRng::seed_from_u64(7),
        };
        fleet.run(Duration::from_secs(2)).await;
        fleet.take_calls();
        fleet
    }

    fn memory(&self) -> Arc<KvMemory> {
        self.memory.lock().unwrap().clone()
    }

    async fn put(&self, key: &str, bytes: usize) {
        let value = Bytes::from(vec![7; bytes]);
        let put = self.memory();
        put.put(key, value, Expect::Any, None).await.unwrap();
    }

    fn set_fault(&mut self, numbers: impl IntoIterator<Item = usize>, fault: Option<Fault>) {
        let now = Instant::now();
        for number in numbers {
            let host = &mut self.hosts[number];
            host.faulty = fault.map(|fault| (fault, now));
            host.fault.store(Fault::code(fault), Ordering::Relaxed);
            if fault == Some(Fault::Killed) {
                host.follower.abort();
            }
        }
    }

    fn take_calls(&self) -> f64 {
        self.calls.swap(0, Ordering::Relaxed) as f64
    }

    async fn run(&mut self, time: Duration) {
        let end = Instant::now() + time;
        let mut roles_at = Instant::now();
        while Instant::now() < end {
            if Instant::now() >= roles_at {
                self.set_roles();
                roles_at += Duration::from_millis(100);
            }
            self.send();
            self.deliver();
            tokio::time::sleep(STEP).await;
        }
    }

    fn set_roles(&self) {
        let now = Instant::now();
        let mut nearer = 0;
        for host in &self.hosts {
            if host.is_old {
                continue;
            }
            host.view.set_role(match host.is_linked() {
                true => ViewRole::of_rank(nearer),
                false => ViewRole::Alone,
            });
            nearer += usize::from(host.is_heard(now));
        }
    }

    fn send(&mut self) {
        let now = Instant::now();
        for (number, host) in self.hosts.iter().enumerate() {
            if !host.is_linked() {
                continue;
            }
            let ViewMessages { notice, news } = host.view.take_messages();
            let news = news.filter(|_| !host.is_old).map(Message::News);
            let messages = news.into_iter().chain(notice.map(Message::Notice));
            for message in messages {
                self.sent.push((now, number, message));
            }
        }
    }

    /// Delivers messages up to 30 ms after they were sent, in any order.
    fn deliver(&mut self) {
        let now = Instant::now();
        let rng = &mut self.rng;
        let is_due = |(at, _, _): &(Instant, usize, Message)| now - *at >= STEP;
        let (mut due, later): (Vec<_>, Vec<_>) = self.sent.drain(..).partition(is_due);
        self.sent = later;
        while !due.is_empty() {
            let (at, sender, message) = due.swap_remove(rng.random_range(0..due.len()));
            if now - at < Duration::from_millis(30) && rng.random_bool(0.5) {
                self.sent.push((at, sender, message));
                continue;
            }
            for (number, host) in self.hosts.iter().enumerate() {
                let is_lost = number == sender || rng.random_bool(self.lost_share);
                if is_lost || !host.is_linked() {
                    continue;
                }
                match &message {
                    Message::News(news) if !host.is_old => host.view.apply_news(news.clone(), at),
                    Message::News(_) => {}
                    Message::Notice(notice) => {
                        host.view.apply(notice, at);
                        let teller = &self.hosts[sender];
                        let query = host.view.query().filter(|_| !host.is_old);
                        let answer = query.and_then(|query| teller.view.answer(&query));
                        let answer = answer.filter(|_| teller.is_linked() && !teller.is_old);
                        if let Some(news) = answer {
                            host.view.apply_news(news, now);
                        }
                    }
                }
            }
        }
    }

    /// Hosts that run and don't know all keys of the service.
    fn behind(&self) -> Vec<usize> {
        let stored = self.memory().keys("a/");
        let hosts = self.hosts.iter().enumerate();
        let behind = hosts.filter(|(_, host)| {
            let keys = host.keys.lock().unwrap();
            let is_running = !host.has(Fault::Killed) && !host.has(Fault::Paused);
            is_running && !keys.keys.keys().eq(stored.iter())
        });
        behind.map(|(number, _)| number).collect()
    }
}

/// Guards against calls that grow with hosts times changes.
#[tokio::test(start_paused = true)]
async fn test_calls_of_a_fleet_hardly_grow_with_its_hosts() {
    for count in [1, 8, 60, 1_400] {
        let mut fleet = Fleet::start(count).await;
        fleet.run(Duration::from_secs(4)).await;
        let idle = fleet.take_calls() / 4.0;
        assert!(idle <= MAX_CHECKS_PER_SECOND, "{idle} a second of {count}");
        let changes = if count > 1_000 { 4 } else { 20 };
        for change in 0..changes {
            fleet.put(&format!("a/{change}"), 200).await;
            fleet.run(Duration::from_millis(450)).await;
            assert_eq!(fleet.behind(), [0; 0], "of {count}");
        }
        let time = changes as f64 * 0.45;
        let calls = fleet.take_calls() - MAX_CHECKS_PER_SECOND * time;
        let most = (2 * TELLERS * changes) as f64;
        assert!(
            calls <= most,
            "{calls} calls of {count} hosts beside checks"
        );
        let ages = fleet.hosts.iter().map(|host| host.view.age());
        assert!(ages.max().unwrap() < MAX_AGE);
    }
}

/// Guards against hosts that wait for others which tell nothing: a change is known within the greatest age,
/// whatever befalls those that hold the watches.
#[tokio::test(start_paused = true)]
async fn test_change_is_known_in_time_whatever_befalls_tellers() {
    for count in [4, 30] {
        for fault in Fault::ALL {
            for (faulty, lost_share) in [(1, 0.0), (TELLERS, 0.0), (TELLERS, 0.5)] {
                let mut fleet = Fleet::start(count).await;
                fleet.lost_share = lost_share;
                fleet.set_fault(0..faulty, Some(fault));
                for (number, wait) in [0, 300, 2_500].into_iter().enumerate() {
                    fleet.run(Duration::from_millis(wait)).await;
                    fleet.put(&format!("a/{number}"), 200).await;
                    fleet.run(MAX_AGE).await;
                    let behind = fleet.behind().into_iter();
                    // Hosts that are cut off themselves learn of changes only from others.
                    let behind: Vec<usize> = behind.filter(|host| *host >= faulty).collect();
                    assert_eq!(
                        behind, [0; 0],
                        "of {count}, {faulty} {fault:?}, {lost_share} lost"
                    );
                }
                fleet.set_fault(0..faulty, None);
                fleet.run(Duration::from_secs(4)).await;
                let killed = if fault == Fault::Killed { faulty } else { 0 };
                let behind = fleet.behind().into_iter();
                let behind: Vec<usize> = behind.filter(|host| *host >= killed).collect();
                assert_eq!(behind, [0; 0], "of {count}, after {fault:?}");
            }
        }
    }
}

/// Guards against hosts that act on an old state where the service turns them away and serves others.
#[tokio::test(start_paused = true)]
async fn test_hosts_without_the_service_learn_changes_from_others() {
    for fault in [Fault::NoService, Fault::SilentService] {
        // Large changes are told to hosts that ask for them, once a call of theirs has failed.
        for (bytes, time) in [(200, MAX_AGE), (60_000, 2 * MAX_AGE)] {
            let mut fleet = Fleet::start(60).await;
            fleet.set_fault((0..60).filter(|number| number % 3 == 1), Some(fault));
            fleet.run(Duration::from_secs(3)).await;
            for change in 0..4 {
                fleet.put(&format!("a/{change}"), bytes).await;
                fleet.run(time).await;
                assert_eq!(fleet.behind(), [0; 0], "{fault:?}, {bytes} bytes");
                let ages = fleet.hosts.iter().map(|host| host.view.age());
                assert!(ages.max().unwrap() < MAX_AGE * 3 / 2, "{fault:?}");
            }
        }
    }
}

/// Guards against changes that are applied twice, out of order or not at all where messages are lost, and
/// the tellers have read different states.
#[tokio::test(start_paused = true)]
async fn test_lost_and_reordered_news_leave_no_gap() {
    for lost_share in [0.1, 0.5, 1.0] {
        let mut fleet = Fleet::start(20).await;
        fleet.lost_share = lost_share;
        for change in 0..60 {
            let key = format!("a/{}", change % 7);
            match change % 5 {
                4 => fleet.memory().delete(&key, Expect::Any).await.unwrap(),
                _ => fleet.put(&key, 100).await,
            }
            fleet.run(Duration::from_millis(37)).await;
        }
        fleet.run(MAX_AGE).await;
        assert_eq!(fleet.behind(), [0; 0], "{lost_share} lost");
    }
}

/// Guards against hosts that keep the state from before the service was restored from a copy.
#[tokio::test(start_paused = true)]
async fn test_fleet_lists_a_restored_service() {
    let mut fleet = Fleet::start(20).await;
    for change in 0..9 {
        fleet.put(&format!("a/{change}"), 100).await;
        fleet.run(Duration::from_millis(300)).await;
    }
    let restored = KvMemory::new();
    let value = Bytes::from_static(b"value");
    restored.put("a/1", value, Expect::Any, None).await.unwrap();
    *fleet.memory.lock().unwrap() = restored;
    fleet.run(Duration::from_millis(2_000)).await;
    assert_eq!(fleet.behind(), [0; 0]);
}

/// Guards against hosts of an earlier release that wait for news that they can't read.
#[tokio::test(start_paused = true)]
async fn test_hosts_of_an_earlier_release_keep_their_watches() {
    let mut fleet = Fleet::with_old(12, 6).await;
    for change in 0..8 {
        fleet.put(&format!("a/{change}"), 100).await;
        fleet.run(Duration::from_millis(450)).await;
        assert_eq!(fleet.behind(), [0; 0]);
    }
}

fn news(values: &[usize]) -> ViewNews {
    let changes = values.iter().enumerate();
    ViewNews {
        notice: ViewNotice {
            view: ViewKind::Configuration,
            as_of: KvVersion(40),
            last_change: KvVersion(39),
            is_exact: true,
            age_ms: 3,
        },
        after: KvVersion(30),
        changes: changes
            .map(|(number, bytes)| ToldChange {
                key: format!("a/{number}"),
                version: KvVersion(31 + number as u64),
                value: (*bytes > 0).then(|| vec![9; *bytes].into()),
            })
            .collect(),
    }
}

/// Guards against large changes that fit into no datagram, and against changes that another sender made up.
#[tokio::test(start_paused = true)]
async fn test_news_come_in_parts_that_are_authentic() {
    let now = Instant::now();
    for values in [vec![], vec![0, 20], vec![30_000, 0, 50_000]] {
        let news = news(&values);
        let mut parts = encode_news(&news, "secret", 1);
        let mut assembly = NewsAssembly::default();
        for part in encode_news(&news, "other secret", 1) {
            assert_eq!(assembly.add(part, "secret", now), None);
        }
        let last = parts.remove(0);
        for part in parts.iter().rev().chain(&parts) {
            assert_eq!(assembly.add(part.clone(), "secret", now), None);
        }
        // The age counts from the first part that arrived.
        let later = now + Duration::from_millis(if parts.is_empty() { 0 } else { 50 });
        assert_eq!(assembly.add(last, "secret", later), Some((news, now)));
    }
    assert_eq!(encode_news(&news(&[900_000]), "secret", 1), []);
}
