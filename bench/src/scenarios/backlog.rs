//! `backlog`: what the choice of the next batch item costs one host with a long queue, most of which can't
//! run.
//!
//! Runs in this process, with upstreams and a key-value service in memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use bytes::Bytes;
use parsleywall::balancer::BalancerState;
use parsleywall::balancer::LoadBalancer;
use parsleywall::balancer::UpstreamEntry;
use parsleywall::balancer::UpstreamState;
use parsleywall::clock::steady_unix_millis;
use parsleywall::event_log::EventLog;
use parsleywall::ids::DataCentre;
use parsleywall::ids::HostId;
use parsleywall::ids::ServiceName;
use parsleywall::ids::SoftwareVersion;
use parsleywall::ids::UpstreamId;
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
use parsleywall::registry::RegistryConfig;
use parsleywall::relay::RequestRelay;
use parsleywall::routes::CallerLimits;
use parsleywall::routes::Route;
use parsleywall::routes::RouteKind;
use parsleywall::routes::RouteTable;
use parsleywall::routes::ServiceWeight;
use parsleywall_standins::kv::KvMemory;
use parsleywall_standins::opaque::OpaqueUpstreams;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::options::BenchOptions;
use crate::proc::ProcessUse;
use crate::report::Bound;
use crate::report::Report;

const HOST_NAME: &str = "backlog.example";
const SERVICES: usize = 50;
const ITEMS_PER_SERVICE: usize = 2_000;
const ITEMS_PER_JOB: usize = 200;
const UPSTREAMS: usize = 4;
const SLOTS: u32 = 8;
const EVENTS: u64 = 10;
const EVENT_INTERVAL: Duration = Duration::from_millis(5);
const RUN_LIMIT: Duration = Duration::from_secs(120);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A host without others.
struct NoPeers;

#[async_trait]
impl JobPeerClient for NoPeers {
    async fn call(&self, _: &HostEntry, _: JobCall, _: Duration) -> Result<JobReply, PeerError> {
        Err(PeerError::NotSent("there is no other host".to_owned()))
    }
}

pub(super) async fn run(options: &BenchOptions) -> Result<Report, String> {
    let mut report = Report::new("backlog", options.seed);
    let alone = cpu_per_item(1).await?;
    let beside_blocked = cpu_per_item(SERVICES).await?;
    report.add("cpu_ms_per_item_alone", alone, Bound::None);
    report.add(
        "cpu_ms_per_item_beside_49_blocked",
        beside_blocked,
        Bound::None,
    );
    report.add("items", (SERVICES * ITEMS_PER_SERVICE) as f64, Bound::None);
    Ok(report)
}

/// Processor time in ms for each item of the only service that has upstreams, of `services`.
async fn cpu_per_item(services: usize) -> Result<f64, String> {
    let stop = CancellationToken::new();
    let keeper = start_host(services, &stop).await;
    // The last service is the one that has upstreams: the items before it are due earlier.
    for service in 0..services {
        submit_items(&keeper, service).await?;
    }
    let blocked = (services - 1) * ITEMS_PER_SERVICE;
    let before = process_time()?;
    let open = keeper.open_item_count().saturating_sub(blocked);
    let began = Instant::now();
    while keeper.open_item_count() > blocked {
        if began.elapsed() > RUN_LIMIT {
            return Err(format!(
                "{} items are still open",
                keeper.open_item_count() - blocked
            ));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let time = process_time()? - before;
    stop.cancel();
    Ok(time.as_secs_f64() * 1_000.0 / open.max(1) as f64)
}

fn process_time() -> Result<Duration, String> {
    let used = ProcessUse::read(std::process::id());
    Ok(used.map_err(|err| err.to_string())?.cpu)
}

/// Starts a host with routes to `services` services, of which the last one has upstreams.
async fn start_host(services: usize, stop: &CancellationToken) -> JobKeeper {
    let kv = KvMemory::new();
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let entry = HostEntry {
        host: "host-0".to_owned(),
        incarnation: 1,
        process: 0,
        lease: None,
        replaced: Vec::new(),
        data_centre: "west".to_owned(),
        callers: Some(address),
        peers: address,
        state: HostReadiness::Ready,
    };
    let log = EventLog::disabled();
    let registry = HostRegistry::new(kv.clone(), log.clone(), entry, RegistryConfig::default());
    let mut state = BalancerState::new(HostId::new("host-0"), DataCentre::new("west"));
    for number in 0..UPSTREAMS {
        state.put(upstream(number, services - 1));
    }
    let transport = OpaqueUpstreams::new(EVENTS, EVENT_INTERVAL, EVENT_INTERVAL);
    let relay = RequestRelay::new(transport, LoadBalancer::new(state), log.clone());
    let routes = (0..services).map(route).collect();
    let table = RouteTable::new(1, CallerLimits::default(), Vec::new(), routes);
    let (_, table) = watch::channel(Arc::new(table));
    let config = JobConfig {
        memory_bytes: usize::MAX / 2,
        ..JobConfig::default()
    };
    let keeper = JobKeeper::new(
        JobStore::new(kv),
        relay,
        table,
        registry.clone(),
        Arc::new(NoPeers),
        log,
        "host-0".to_owned(),
        1,
        config,
    );
    tokio::spawn({
        let stop = stop.clone();
        async move { registry.run(stop).await }
    });
    tokio::spawn({
        let (keeper, stop) = (keeper.clone(), stop.clone());
        async move { keeper.run(stop).await }
    });
    tokio::time::sleep(POLL_INTERVAL).await;
    keeper
}

fn service_name(number: usize) -> ServiceName {
    ServiceName::new(format!("service-{number}"))
}

fn upstream(number: usize, service: usize) -> UpstreamEntry {
    UpstreamEntry {
        id: UpstreamId::new(format!("upstream-{number}")),
        service: service_name(service),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        data_centre: DataCentre::new("west"),
        slots: SLOTS,
        state: UpstreamState::Ready,
        started_ms: 1,
        software: SoftwareVersion::new("v1"),
    }
}

fn route(number: usize) -> Route {
    Route {
        name: format!("route-{number}"),
        host: HOST_NAME.to_owned(),
        prefix: format!("/{number}/"),
        kind: RouteKind::Batch,
        service_weights: vec![ServiceWeight {
            service: service_name(number),
            weight: 1,
        }],
        attempts: 3,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(300),
        gap_objective: None,
        priority: 0,
        run_objective: Duration::from_secs(600),
        retention: Duration::from_secs(600),
        is_public: false,
    }
}

async fn submit_items(keeper: &JobKeeper, service: usize) -> Result<(), String> {
    for number in 0..ITEMS_PER_SERVICE / ITEMS_PER_JOB {
        let id = format!("job-{service}-{number}");
        let now = steady_unix_millis();
        let items = (0..ITEMS_PER_JOB).map(|item| JobItem {
            id: format!("{id}-{item}"),
            target: format!("/{service}/item"),
            headers: Vec::new(),
            body: Bytes::from_static(b"body"),
        });
        let spec = JobSpec {
            id: id.clone(),
            host: HOST_NAME.to_owned(),
            submitted_ms: now,
            due_ms: now + 600_000,
            retention_ms: now + 600_000,
            attempts: 3,
            version: 1,
            workspace: None,
            items: items.collect(),
        };
        if keeper.submit(spec).await != SubmitOutcome::Accepted {
            return Err(format!("{id} was not accepted"));
        }
    }
    Ok(())
}
