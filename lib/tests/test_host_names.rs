//! Tests that at most one process of a host's name acts: the later start wins, and the earlier process
//! learns of it by a call, by a write of its own or by a listing.

mod opaque;

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Poll;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use opaque::HOST;
use opaque::new_relay;
use opaque::table;
use parsleywall::clock::steady_unix_millis;
use parsleywall::edges::kv::Expect;
use parsleywall::edges::kv::KvStore;
use parsleywall::event_log::EventLog;
use parsleywall::jobs::JobCall;
use parsleywall::jobs::JobConfig;
use parsleywall::jobs::JobItem;
use parsleywall::jobs::JobKeeper;
use parsleywall::jobs::JobPeerClient;
use parsleywall::jobs::JobReply;
use parsleywall::jobs::JobSpec;
use parsleywall::jobs::JobStore;
use parsleywall::jobs::SubmitOutcome;
use parsleywall::peers::PeerError;
use parsleywall::registry::HostEntry;
use parsleywall::registry::HostReadiness;
use parsleywall::registry::HostRegistry;
use parsleywall::registry::NameCall;
use parsleywall::registry::NameCallError;
use parsleywall::registry::NamePeerClient;
use parsleywall::registry::NameReply;
use parsleywall::registry::RegistryConfig;
use parsleywall::routes::RouteKind;
use parsleywall::routes::RouteTable;
use parsleywall_standins::kv::KvMemory;
use parsleywall_standins::kv_link::CommitFault;
use parsleywall_standins::kv_link::KvLink;
use parsleywall_standins::opaque::OpaqueUpstreams;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const NAME: &str = "host-a";
const ENTRY_KEY: &str = "hosts/host-a";
const EVENTS_PER_ITEM: u64 = 50;
const UPSTREAMS: [&str; 3] = ["a", "b", "c"];
/// Interval at which states are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time in which a lease that nobody renews is still in force.
const LEASE_TIME: Duration = Duration::from_millis(3_600);

/// How calls to an address go.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reachability {
    Open,
    Refused,
    Silent,
}

struct Listener {
    address: SocketAddr,
    reachability: Reachability,
    registry: HostRegistry,
    keeper: JobKeeper,
    is_frozen: Arc<AtomicBool>,
}

/// Calls among the processes of a test, by address.
#[derive(Default)]
struct LocalPeers {
    listeners: Mutex<Vec<Listener>>,
}

impl LocalPeers {
    fn find(&self, address: SocketAddr) -> Option<(Reachability, HostRegistry, JobKeeper)> {
        let listeners = self.listeners.lock().unwrap();
        let found = listeners.iter().rev();
        let mut found = found.filter(|listener| listener.address == address);
        found.next().map(|listener| {
            let reachability = match listener.is_frozen.load(Ordering::Relaxed) {
                true => Reachability::Silent,
                false => listener.reachability,
            };
            let (registry, keeper) = (listener.registry.clone(), listener.keeper.clone());
            (reachability, registry, keeper)
        })
    }

    fn set(&self, address: SocketAddr, reachability: Reachability) {
        for listener in self.listeners.lock().unwrap().iter_mut() {
            if listener.address == address {
                listener.reachability = reachability;
            }
        }
    }
}

#[async_trait]
impl NamePeerClient for LocalPeers {
    async fn call(
        &self,
        address: SocketAddr,
        call: NameCall,
        timeout: Duration,
    ) -> Result<NameReply, NameCallError> {
        match self.find(address) {
            Some((Reachability::Open, registry, keeper)) => {
                let reply = registry.answer(call).await;
                if reply == NameReply::Displaced {
                    keeper.surrender();
                }
                Ok(reply)
            }
            Some((Reachability::Refused, ..)) | None => Err(NameCallError::Refused),
            Some((Reachability::Silent, ..)) => {
                tokio::time::sleep(timeout).await;
                Err(NameCallError::NoReply("silent".to_owned()))
            }
        }
    }
}

#[async_trait]
impl JobPeerClient for LocalPeers {
    async fn call(
        &self,
        host: &HostEntry,
        call: JobCall,
        timeout: Duration,
    ) -> Result<JobReply, PeerError> {
        match self.find(host.peers) {
            Some((Reachability::Open, _, keeper)) => Ok(keeper.answer(call).await),
            Some((Reachability::Refused, ..)) | None => {
                Err(PeerError::Refused("no such process".to_owned()))
            }
            Some((Reachability::Silent, ..)) => {
                tokio::time::sleep(timeout).await;
                Err(PeerError::NoReply("silent".to_owned()))
            }
        }
    }
}

/// One process of a host.
struct NameProcess {
    registry: HostRegistry,
    keeper: JobKeeper,
    log: EventLog,
    link: Arc<KvLink>,
    address: SocketAddr,
    is_frozen: Arc<AtomicBool>,
    stop: CancellationToken,
    _routes: watch::Sender<Arc<RouteTable>>,
}

impl NameProcess {
    /// Stops the process's tasks without a farewell, as a crash would.
    fn kill(&self) {
        self.stop.cancel();
    }

    /// Stops the process as SIGTERM does.
    async fn terminate(&self) {
        tokio::join!(self.registry.leave(), self.keeper.leave());
        self.registry.end().await;
        self.stop.cancel();
    }

    fn set_frozen(&self, is_frozen: bool) {
        self.is_frozen.store(is_frozen, Ordering::Relaxed);
    }

    /// Number of changes of the name that the process counted.
    fn name_changes(&self, change: &str, detail: &str) -> usize {
        let line =
            format!("parsleywall_name_changes_total{{change=\"{change}\",detail=\"{detail}\"}} ");
        let text = self.log.metrics().text();
        let mut counts = text.lines().filter_map(|found| found.strip_prefix(&line));
        counts.next().map_or(0, |count| count.parse().unwrap())
    }
}

/// Processes that share a store, upstreams and calls to one another.
struct NameFleet {
    kv: Arc<KvMemory>,
    transport: Arc<OpaqueUpstreams>,
    peers: Arc<LocalPeers>,
}

impl NameFleet {
    fn new() -> Self {
        let (first, gap) = (Duration::from_millis(60), Duration::from_millis(20));
        Self {
            kv: KvMemory::new(),
            transport: OpaqueUpstreams::new(EVENTS_PER_ITEM, first, gap),
            peers: Arc::default(),
        }
    }

    fn link(&self) -> Arc<KvLink> {
        KvLink::new(self.kv.clone())
    }

    /// Starts a process of `NAME` at the loopback address with this last number.
    fn start(&self, number: u8, incarnation: u64) -> NameProcess {
        self.start_on(self.link(), number, incarnation)
    }

    fn start_on(&self, link: Arc<KvLink>, number: u8, incarnation: u64) -> NameProcess {
        let address = SocketAddr::from(([127, 0, 0, number], 2));
        let entry = HostEntry {
            host: NAME.to_owned(),
            incarnation,
            process: 0,
            lease: None,
            replaced: Vec::new(),
            data_centre: "west".to_owned(),
            callers: Some(SocketAddr::from(([127, 0, 0, number], 1))),
            peers: address,
            state: HostReadiness::Ready,
        };
        let log = EventLog::disabled();
        let config = RegistryConfig::default();
        let registry = HostRegistry::new(link.clone(), log.clone(), entry, config)
            .with_peers(self.peers.clone());
        let (routes, table) = watch::channel(Arc::new(table(1, RouteKind::Batch)));
        let keeper = JobKeeper::new(
            JobStore::new(link.clone()),
            new_relay(NAME, self.transport.clone(), &UPSTREAMS),
            table,
            registry.clone(),
            self.peers.clone(),
            log.clone(),
            NAME.to_owned(),
            incarnation,
            JobConfig::default(),
        );
        let (stop, is_frozen) = (CancellationToken::new(), Arc::<AtomicBool>::default());
        tokio::spawn({
            let (registry, stop, is_frozen) = (registry.clone(), stop.clone(), is_frozen.clone());
            async move { freezable(is_frozen, registry.run(stop)).await }
        });
        tokio::spawn({
            let (keeper, stop, is_frozen) = (keeper.clone(), stop.clone(), is_frozen.clone());
            async move { freezable(is_frozen, keeper.run(stop)).await }
        });
        self.peers.listeners.lock().unwrap().push(Listener {
            address,
            reachability: Reachability::Open,
            registry: registry.clone(),
            keeper: keeper.clone(),
            is_frozen: is_frozen.clone(),
        });
        NameProcess {
            registry,
            keeper,
            log,
            link,
            address,
            is_frozen,
            stop,
            _routes: routes,
        }
    }

    /// The stored entry; `None` if there is none.
    fn entry(&self) -> Option<HostEntry> {
        let value = self.kv.value(ENTRY_KEY)?;
        Some(serde_json::from_slice(&value).unwrap())
    }

    /// Asserts that the stored entry is that of `process`.
    fn assert_entry_of(&self, process: &NameProcess) {
        let entry = self.entry().expect("the name has an entry");
        assert_eq!(entry.process, process.registry.own_process());
        assert_eq!(entry.peers, process.address);
    }
}

/// Runs `task`, but does not poll it while `is_frozen` is set.
async fn freezable(is_frozen: Arc<AtomicBool>, task: impl Future<Output = ()>) {
    let mut task = pin!(task);
    let mut ticks = tokio::time::interval(SAMPLE_INTERVAL);
    std::future::poll_fn(|context| {
        while ticks.poll_tick(context).is_ready() {}
        match is_frozen.load(Ordering::Relaxed) {
            true => Poll::Pending,
            false => task.as_mut().poll(context),
        }
    })
    .await;
}

/// Waits until `is_met`, at most for `limit`; returns how long it took.
async fn wait_until(what: &str, limit: Duration, is_met: impl Fn() -> bool) -> Duration {
    let began = Instant::now();
    while !is_met() {
        assert!(began.elapsed() < limit, "{what}: not within {limit:?}");
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
    began.elapsed()
}

async fn wait_for_hold(process: &NameProcess, limit: Duration) -> Duration {
    wait_until("hold", limit, || process.registry.holds_name()).await
}

async fn wait_for_displacement(process: &NameProcess, limit: Duration) -> Duration {
    wait_until("displacement", limit, || process.registry.is_displaced()).await
}

/// Asserts for `time` that at most one process holds the name.
async fn assert_one_holder(processes: &[&NameProcess], time: Duration) {
    let until = Instant::now() + time;
    while Instant::now() < until {
        let holders = processes.iter();
        let holders = holders.filter(|process| process.registry.holds_name());
        assert!(holders.count() <= 1, "two processes hold the name");
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

fn job(id: &str, items: usize) -> JobSpec {
    let now = steady_unix_millis();
    let items = (0..items).map(|number| JobItem {
        id: format!("{id}-{number}"),
        target: "/ask/item".to_owned(),
        headers: Vec::new(),
        body: Bytes::from(format!("body of {number}")),
    });
    JobSpec {
        id: id.to_owned(),
        host: HOST.to_owned(),
        submitted_ms: now,
        due_ms: now + 60_000,
        retention_ms: now + 120_000,
        attempts: 3,
        version: 1,
        workspace: None,
        items: items.collect(),
    }
}

/// The fault of issue 44: a second process with the name, at another address, while the first lives.
#[tokio::test(start_paused = true)]
async fn test_two_live_processes_do_not_alternate() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 1_000);
    tokio::time::sleep(Duration::from_millis(100)).await;
    for id in ["j1", "j2", "j3"] {
        let submitted = first.keeper.submit(job(id, 10)).await;
        assert_eq!(submitted, SubmitOutcome::Accepted);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let began = fleet.transport.attempts().len();
    let _second = fleet.start(2, 2_000);
    tokio::time::sleep(Duration::from_secs(20)).await;
    let mut runs = 0;
    for id in ["j1", "j2", "j3"] {
        for number in 0..10 {
            runs += fleet.transport.runs(&format!("{id}-{number}")).len();
        }
    }
    assert!(
        runs <= 30 + began,
        "{runs} runs of 30 items, {began} of them begun before the second process"
    );
}

#[tokio::test(start_paused = true)]
async fn test_second_process_displaces_the_first_by_a_call() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 2_000);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    first.keeper.submit(job("j1", 20)).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    // The clock of the second one is behind.
    let second = fleet.start(2, 1_000);
    wait_for_displacement(&first, Duration::from_millis(100)).await;
    wait_for_hold(&second, Duration::from_millis(100)).await;
    assert_eq!(first.name_changes("displaced", "call"), 1);
    assert_eq!(second.name_changes("taken", "told"), 1);
    assert_eq!(first.keeper.open_item_count(), 0);
    assert!(first.registry.lease().is_none());
    assert_one_holder(&[&first, &second], Duration::from_secs(15)).await;
    fleet.assert_entry_of(&second);
    assert!(!second.registry.is_displaced());
    for number in 0..20 {
        let runs = fleet.transport.runs(&format!("j1-{number}"));
        assert!((1..=2).contains(&runs.len()), "{number}: {runs:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn test_displaced_process_takes_no_jobs() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 1_000);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    let _second = fleet.start(2, 2_000);
    wait_for_displacement(&first, Duration::from_millis(100)).await;
    let refused = first.keeper.submit(job("j1", 1)).await;
    let expected = SubmitOutcome::Refused {
        reason: "displaced",
        retry_after: Duration::ZERO,
    };
    assert_eq!(refused, expected);
    let call = JobCall::Submit { spec: job("j2", 1) };
    assert!(matches!(
        first.keeper.answer(call).await,
        JobReply::NotStored
    ));
    assert_eq!(fleet.kv.value("open/j1"), None);
    assert_eq!(fleet.kv.value("open/j2"), None);
}

/// A process that ended at the same address, or whose address refuses connections, is followed at once.
#[tokio::test(start_paused = true)]
async fn test_ended_process_is_followed_at_once() {
    for (number, is_refused) in [(1, false), (2, true)] {
        let fleet = NameFleet::new();
        let first = fleet.start(1, 1_000);
        wait_for_hold(&first, Duration::from_millis(100)).await;
        first.keeper.submit(job("j1", 3)).await;
        first.kill();
        if is_refused {
            fleet.peers.set(first.address, Reachability::Refused);
        }
        let second = fleet.start(number, 2_000);
        wait_for_hold(&second, Duration::from_millis(50)).await;
        assert_eq!(second.name_changes("taken", "ended"), 1);
        let claimed = || second.keeper.open_item_count() == 3;
        wait_until("claim", Duration::from_millis(2_000), claimed).await;
        let done = || second.keeper.open_item_count() == 0;
        wait_until("items", Duration::from_secs(10), done).await;
    }
}

#[tokio::test(start_paused = true)]
async fn test_free_name_is_taken_without_a_call() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 1_000);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    first.terminate().await;
    let second = fleet.start(2, 2_000);
    wait_for_hold(&second, Duration::from_millis(50)).await;
    for outcome in ["told", "ended", "not_reached"] {
        assert_eq!(second.name_changes("taken", outcome), 0);
    }
}

#[tokio::test(start_paused = true)]
async fn test_three_processes_that_start_at_once() {
    let fleet = NameFleet::new();
    fleet.kv.faults.delay_ms.store(7, Ordering::Relaxed);
    // Two of them started in the same millisecond.
    let all = [
        fleet.start(1, 1_000),
        fleet.start(2, 1_000),
        fleet.start(3, 1_001),
    ];
    let processes: Vec<&NameProcess> = all.iter().collect();
    assert_one_holder(&processes, Duration::from_secs(10)).await;
    let holders: Vec<_> = all.iter().filter(|one| one.registry.holds_name()).collect();
    assert_eq!(holders.len(), 1);
    fleet.assert_entry_of(holders[0]);
    let displaced = all.iter().filter(|one| one.registry.is_displaced());
    assert_eq!(displaced.count(), 2);
}

#[tokio::test(start_paused = true)]
async fn test_process_cut_off_from_the_store_yields_when_it_is_back() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 1_000);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    first.link.set_cut(true);
    tokio::time::sleep(Duration::from_secs(8)).await;
    assert!(!first.registry.holds_name(), "its lease has lapsed");
    let second = fleet.start(2, 2_000);
    wait_for_hold(&second, Duration::from_millis(100)).await;
    first.link.set_cut(false);
    wait_for_displacement(&first, Duration::from_secs(3)).await;
    assert_eq!(first.name_changes("displaced", "call"), 0);
    assert_one_holder(&[&first, &second], Duration::from_secs(5)).await;
    assert!(second.registry.holds_name());
    fleet.assert_entry_of(&second);
}

/// The store does not answer the first process, but the second one does, and it knows the secret.
#[tokio::test(start_paused = true)]
async fn test_call_is_believed_while_the_store_is_silent() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 1_000);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    first.link.set_cut(true);
    let second = fleet.start(2, 2_000);
    wait_for_displacement(&first, Duration::from_millis(500)).await;
    assert_eq!(first.name_changes("displaced", "call"), 1);
    wait_for_hold(&second, Duration::from_millis(100)).await;
}

/// A call is not believed if the store shows the called process, nor one that was meant for another.
#[tokio::test(start_paused = true)]
async fn test_call_that_the_store_does_not_confirm() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 1_000);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    let call = |host: &str, earlier_process| NameCall::Displaced {
        host: host.to_owned(),
        incarnation: 2_000,
        process: 5,
        peers: "127.0.0.2:2".parse().unwrap(),
        earlier_incarnation: 1_000,
        earlier_process,
    };
    let own = first.registry.own_process();
    let replies = [
        (call(NAME, own), NameReply::Holds),
        (call(NAME, own ^ 1), NameReply::OtherProcess),
        (call("host-b", own), NameReply::OtherProcess),
    ];
    for (call, reply) in replies {
        assert_eq!(first.registry.answer(call).await, reply);
    }
    assert!(first.registry.holds_name());
}

/// The processes can't call one another, but both reach the store. The second one acts only once the
/// first had time to notice.
#[tokio::test(start_paused = true)]
async fn test_processes_cut_off_from_one_another() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 1_000);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    first.keeper.submit(job("j1", 20)).await;
    fleet.peers.set(first.address, Reachability::Silent);
    let second = fleet.start(2, 2_000);
    assert_one_holder(&[&first, &second], Duration::from_secs(5)).await;
    assert!(first.registry.is_displaced() && second.registry.holds_name());
    assert_eq!(first.name_changes("displaced", "call"), 0);
    assert_eq!(second.name_changes("taken", "not_reached"), 1);
}

/// In a large fleet listings are rare: the end of its lease tells the first process within a third of the
/// lease's time.
#[tokio::test(start_paused = true)]
async fn test_end_of_the_lease_tells_a_process_that_no_call_reaches() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 1_000);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    first.link.hold_listings("hosts/");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet.peers.set(first.address, Reachability::Silent);
    let second = fleet.start(2, 2_000);
    let took = wait_for_displacement(&first, Duration::from_millis(2_000)).await;
    assert_eq!(first.name_changes("displaced", "write"), 1, "{took:?}");
    assert!(!second.registry.holds_name(), "the first had time to stop");
    wait_for_hold(&second, Duration::from_millis(1_500)).await;
}

/// The second process replaces the entry and is cut off at once, so that it never tells the first.
#[tokio::test(start_paused = true)]
async fn test_listing_tells_of_a_process_that_was_cut_off_after_its_start() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 1_000);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    let link = fleet.link();
    link.set_next_commit(CommitFault::CutsLink);
    let second = fleet.start_on(link, 2, 2_000);
    wait_for_displacement(&first, Duration::from_millis(1_300)).await;
    assert_eq!(first.name_changes("displaced", "listing"), 1);
    assert!(!second.registry.holds_name());
    tokio::time::sleep(LEASE_TIME * 2).await;
    assert!(fleet.entry().is_none());
    second.link.set_cut(false);
    wait_for_hold(&second, Duration::from_secs(3)).await;
    fleet.assert_entry_of(&second);
}

/// A process that was replaced and doesn't know it yet claims nothing, though its lease holds.
#[tokio::test(start_paused = true)]
async fn test_replaced_process_that_does_not_know_it_claims_nothing() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 1_000);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    first.keeper.submit(job("j1", 60)).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    first.link.hold_listings("hosts/");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let mut other = fleet.entry().unwrap();
    (other.process, other.lease) = (other.process ^ 1, None);
    let value = Bytes::from(serde_json::to_vec(&other).unwrap());
    let put = fleet.kv.put(ENTRY_KEY, value, Expect::Any, None);
    put.await.unwrap();
    let owner_key = "open/j1/owner";
    fleet.kv.delete(owner_key, Expect::Any).await.unwrap();
    for _ in 0..60 {
        assert_eq!(fleet.kv.value(owner_key), None);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(!first.registry.is_displaced(), "nothing told it");
    let rejected = r#"parsleywall_log_events_total{event="write_rejected"}"#;
    assert!(first.log.metrics().text().contains(rejected));
}

#[tokio::test(start_paused = true)]
async fn test_frozen_process_yields_when_it_is_back() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 1_000);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    first.keeper.submit(job("j1", 3)).await;
    first.set_frozen(true);
    tokio::time::sleep(LEASE_TIME * 2).await;
    let second = fleet.start(2, 2_000);
    wait_for_hold(&second, Duration::from_millis(100)).await;
    assert!(!first.registry.holds_name(), "nothing proves its lease");
    first.set_frozen(false);
    wait_for_displacement(&first, Duration::from_millis(100)).await;
    assert_eq!(first.name_changes("displaced", "write"), 1);
    assert_one_holder(&[&first, &second], Duration::from_secs(5)).await;
    fleet.assert_entry_of(&second);
}

/// The second process starts while the first is frozen with a valid lease.
#[tokio::test(start_paused = true)]
async fn test_frozen_process_with_a_lease_is_replaced() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 1_000);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    first.set_frozen(true);
    let second = fleet.start(2, 2_000);
    wait_for_hold(&second, Duration::from_secs(3)).await;
    assert_eq!(second.name_changes("taken", "not_reached"), 1);
    first.set_frozen(false);
    wait_for_displacement(&first, Duration::from_millis(1_300)).await;
    assert!(second.registry.holds_name());
}

#[tokio::test(start_paused = true)]
async fn test_frozen_process_goes_on_if_the_second_has_left() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 1_000);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    first.set_frozen(true);
    tokio::time::sleep(LEASE_TIME * 2).await;
    let second = fleet.start(2, 2_000);
    wait_for_hold(&second, Duration::from_millis(100)).await;
    second.terminate().await;
    assert!(fleet.entry().is_none());
    first.set_frozen(false);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    fleet.assert_entry_of(&first);
}

/// Leases lapse while the store is down. The displaced process does not come back.
#[tokio::test(start_paused = true)]
async fn test_store_that_forgets_leases_in_an_outage() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 1_000);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    let second = fleet.start(2, 2_000);
    wait_for_displacement(&first, Duration::from_millis(100)).await;
    fleet.kv.faults.down.store(true, Ordering::Relaxed);
    tokio::time::sleep(LEASE_TIME * 2).await;
    assert!(second.registry.lease().is_some(), "readers rely on it");
    assert!(!second.registry.holds_name());
    fleet.kv.faults.down.store(false, Ordering::Relaxed);
    wait_for_hold(&second, Duration::from_millis(500)).await;
    assert_one_holder(&[&first, &second], Duration::from_secs(5)).await;
    fleet.assert_entry_of(&second);
    assert!(second.registry.holds_name() && first.registry.is_displaced());
}

#[tokio::test(start_paused = true)]
async fn test_lost_answers_of_the_first_write() {
    let faults = [
        CommitFault::LosesAnswer,
        CommitFault::ExecutesAfter(Duration::from_millis(100)),
        CommitFault::ExecutesAfter(Duration::from_millis(2_000)),
    ];
    for fault in faults {
        let fleet = NameFleet::new();
        let first = fleet.start(1, 1_000);
        wait_for_hold(&first, Duration::from_millis(100)).await;
        let link = fleet.link();
        link.set_next_commit(fault);
        let second = fleet.start_on(link, 2, 2_000);
        wait_for_hold(&second, Duration::from_secs(2)).await;
        assert_one_holder(&[&first, &second], Duration::from_secs(5)).await;
        assert!(first.registry.is_displaced(), "{fault:?}");
        fleet.assert_entry_of(&second);
        // The fence of its claims is the version that the store has.
        second.keeper.submit(job("j1", 2)).await;
        let done = || second.keeper.open_item_count() == 0;
        wait_until("items", Duration::from_secs(10), done).await;
    }
}

/// The second one's write is executed without an answer, and a third process replaces its entry.
#[tokio::test(start_paused = true)]
async fn test_process_that_is_replaced_before_its_start_is_acknowledged() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 1_000);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    let link = fleet.link();
    link.set_next_commit(CommitFault::LosesAnswer);
    let second = fleet.start_on(link, 2, 2_000);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let third = fleet.start(3, 3_000);
    let all = [&first, &second, &third];
    assert_one_holder(&all, Duration::from_secs(5)).await;
    assert!(third.registry.holds_name());
    assert!(first.registry.is_displaced() && second.registry.is_displaced());
}

/// The second one replaces the first one's entry and ends before it tells it; a third one starts at the
/// second one's address.
#[tokio::test(start_paused = true)]
async fn test_process_that_ends_before_it_tells_the_one_it_replaced() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 1_000);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    let link = fleet.link();
    link.set_next_commit(CommitFault::CutsLink);
    let second = fleet.start_on(link, 2, 2_000);
    tokio::time::sleep(Duration::from_millis(20)).await;
    second.kill();
    let third = fleet.start(2, 3_000);
    wait_for_displacement(&first, Duration::from_millis(100)).await;
    assert_eq!(first.name_changes("displaced", "call"), 1);
    wait_for_hold(&third, Duration::from_millis(100)).await;
    let is_settled = || fleet.entry().is_some_and(|entry| entry.replaced.is_empty());
    wait_until("entry", Duration::from_secs(2), is_settled).await;
    fleet.assert_entry_of(&third);
}

#[tokio::test(start_paused = true)]
async fn test_equal_incarnations_are_told_apart() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 1_000);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    first.keeper.submit(job("j1", 6)).await;
    first.kill();
    fleet.peers.set(first.address, Reachability::Refused);
    let second = fleet.start(2, 1_000);
    wait_for_hold(&second, Duration::from_millis(100)).await;
    let claimed = || second.keeper.open_item_count() == 6;
    wait_until("claim", Duration::from_millis(2_000), claimed).await;
}

/// Listings that still show the process before must not displace the new one, nor cost it calls.
#[tokio::test(start_paused = true)]
async fn test_stale_listing_shows_the_process_before() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 1_000);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    let link = fleet.link();
    link.hold_listings("hosts/");
    link.list_stale("hosts/", None, 100).await.unwrap();
    first.kill();
    let second = fleet.start_on(link, 1, 2_000);
    wait_for_hold(&second, Duration::from_millis(100)).await;
    let writes = fleet.kv.calls.writes.load(Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert!(second.registry.holds_name());
    let writes = fleet.kv.calls.writes.load(Ordering::Relaxed) - writes;
    assert!(writes <= 5, "{writes} writes, of which 5 renew the lease");
}

#[tokio::test(start_paused = true)]
async fn test_termination_of_a_displaced_process_leaves_the_keys_of_the_other() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 1_000);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    first.keeper.submit(job("j1", 40)).await;
    let second = fleet.start(2, 2_000);
    wait_for_displacement(&first, Duration::from_millis(100)).await;
    let claimed = || second.keeper.open_item_count() > 0;
    wait_until("claim", Duration::from_secs(6), claimed).await;
    let keys = || (fleet.kv.value(ENTRY_KEY), fleet.kv.value("open/j1/owner"));
    let before = keys();
    first.terminate().await;
    assert_eq!(keys(), before);
    assert!(before.0.is_some() && before.1.is_some());
    fleet.assert_entry_of(&second);
}

/// A stop doesn't wait for the write of a new lease's entry that the store doesn't answer.
#[tokio::test(start_paused = true)]
async fn test_leaving_while_the_store_is_silent() {
    let fleet = NameFleet::new();
    let process = fleet.start(1, 1_000);
    wait_for_hold(&process, Duration::from_millis(100)).await;
    process.link.set_cut(true);
    let lease = process.registry.lease().unwrap();
    process.registry.note_lease_lost(lease);
    tokio::time::sleep(Duration::from_millis(1_300)).await;
    let began = Instant::now();
    process.registry.leave().await;
    assert!(
        began.elapsed() <= Duration::from_millis(1_510),
        "{:?}",
        began.elapsed()
    );
}

/// A process that is stopped before its start was acknowledged takes the name from nobody.
#[tokio::test(start_paused = true)]
async fn test_termination_before_the_start_is_acknowledged() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 1_000);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    let link = fleet.link();
    link.set_cut(true);
    let second = fleet.start_on(link, 2, 2_000);
    tokio::time::sleep(Duration::from_millis(500)).await;
    second.link.set_cut(false);
    second.terminate().await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert!(first.registry.holds_name());
    fleet.assert_entry_of(&first);
}

/// A host of an earlier release writes its entry unconditionally and without a number.
#[tokio::test(start_paused = true)]
async fn test_process_of_an_earlier_release_displaces() {
    let fleet = NameFleet::new();
    let first = fleet.start(1, 1_000);
    wait_for_hold(&first, Duration::from_millis(100)).await;
    let entry = r#"{"host":"host-a","incarnation":900,"data_centre":"west","callers":null,
        "peers":"127.0.0.9:2","state":"ready"}"#;
    let entry = Bytes::from_static(entry.as_bytes());
    let put = fleet.kv.put(ENTRY_KEY, entry.clone(), Expect::Any, None);
    put.await.unwrap();
    wait_for_displacement(&first, Duration::from_millis(1_300)).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(fleet.kv.value(ENTRY_KEY), Some(entry));
}

#[tokio::test(start_paused = true)]
async fn test_lease_is_proved_by_the_time_at_which_its_calls_were_sent() {
    let fleet = NameFleet::new();
    fleet.kv.faults.delay_ms.store(200, Ordering::Relaxed);
    let process = fleet.start(1, 1_000);
    assert_eq!(process.registry.lease_proved_until(), None);
    let began = Instant::now();
    wait_for_hold(&process, Duration::from_secs(1)).await;
    let granted = process.registry.lease_proved_until().unwrap();
    assert!(granted <= began + LEASE_TIME, "{:?}", granted - began);
    let renewed = || process.registry.lease_proved_until() > Some(granted);
    wait_until("renewal", Duration::from_secs(3), renewed).await;
    let proved = process.registry.lease_proved_until().unwrap();
    assert!(proved <= Instant::now() + LEASE_TIME - Duration::from_millis(200));
    process.link.set_cut(true);
    tokio::time::sleep(LEASE_TIME * 2).await;
    assert_eq!(process.registry.lease_proved_until(), Some(proved));
    assert!(process.registry.lease().is_some());
}
