//! A host that relays opaque requests to upstreams and runs batch jobs of opaque items.
//!
//! A platform adapter feeds routes and upstreams into the host and owns the listeners for callers.
//! This module connects all other components.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;

use async_trait::async_trait;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use crate::balancer::AcquiredJob;
use crate::balancer::BalancerState;
use crate::balancer::EntryReconciler;
use crate::balancer::LoadBalancer;
use crate::balancer::LoadExchange;
use crate::balancer::PeerAddresses;
use crate::balancer::UpstreamEntry;
use crate::balancer::UpstreamState;
use crate::counters::CounterSet;
use crate::detour::DetourClient;
use crate::detour::DetourServer;
use crate::edges::kv::KvStore;
use crate::edges::kv_calls::CallPurpose;
use crate::edges::kv_calls::kv_for;
use crate::event_log::EventLog;
use crate::events::LogEvent;
use crate::host_views::HostViews;
use crate::host_views::ViewAges;
use crate::http::server::InFlightRequests;
use crate::http::server::ServerShutdown;
use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::ids::UpstreamId;
use crate::jobs::JobCall;
use crate::jobs::JobConfig;
use crate::jobs::JobKeeper;
use crate::jobs::JobPeerClient;
use crate::jobs::JobReply;
use crate::jobs::JobStore;
use crate::origins::VersionArchive;
use crate::peers::PeerClient;
use crate::peers::PeerError;
use crate::peers::PeerHandlers;
use crate::peers::PeerServer;
use crate::reach::ReachMonitor;
use crate::reach::preferred_hosts;
use crate::registry::HostEntry;
use crate::registry::HostReadiness;
use crate::registry::HostRegistry;
use crate::registry::NameCall;
use crate::registry::NameCallError;
use crate::registry::NamePeerClient;
use crate::registry::NameReply;
use crate::registry::RegistryConfig;
use crate::registry::fleet_secret;
use crate::relay::RequestRelay;
use crate::relay::UpstreamTransport;
use crate::routes::RouteTable;

/// Delay between attempts to read the fleet secret.
const SECRET_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval at which upstreams whose entries vanished during an outage are checked for removal.
const UPSTREAM_SWEEP_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the versions of upstreams that serve are compared with those known before.
const VERSION_INTERVAL: Duration = Duration::from_millis(200);
/// Position on the ring near which the host is that stores changes of versions.
const VERSION_WRITER_POSITION: f64 = 0.0;
/// How long a leaving host still accepts new connections, as callers cache the list of hosts for a
/// while.
const CALLER_MOVE_TIME: Duration = Duration::from_millis(3_500);
/// How long a leaving host takes requests that are only expected to be complete in time. Callers that the list of
/// hosts still leads here come in this time; later ones may be few, and none of them is to be cut off.
const ESTIMATE_TIME: Duration = Duration::from_millis(2_500);
/// Fraction of the grace period that is kept for leaving the registry after the last in-flight
/// requests are cut off.
const FINAL_GRACE_FRACTION: f64 = 0.06;

/// Identity, addresses and limits of a relay host.
#[derive(Clone, Debug)]
pub struct RelayHostConfig {
    /// Name of the host, unique in the fleet.
    pub host: String,
    /// Incarnation of the process: its start time in milliseconds since 1970.
    pub incarnation: u64,
    /// Data centre of the host; upstreams in it are preferred.
    pub data_centre: String,
    /// Address that callers connect to, as advertised to them.
    pub callers: SocketAddr,
    /// Address for other hosts, bound for calls over TCP and load reports over UDP.
    pub peers: SocketAddr,
    /// Memory limit in bytes for buffered answers, those that are not streamed.
    pub answer_bytes: usize,
    /// Whether the host learns how quickly upstreams serve and how often they fail, and chooses by it.
    pub learns_pace: bool,
    /// Greatest ages that the views of the key-value service should reach.
    pub view_ages: ViewAges,
    /// Limits and intervals of the batch work.
    pub jobs: JobConfig,
}

/// A running host: its relay, batch jobs, registry entry and background tasks.
pub struct RelayHost {
    config: RelayHostConfig,
    log: EventLog,
    balancer: LoadBalancer,
    relay: RequestRelay,
    jobs: JobKeeper,
    registry: HostRegistry,
    routes: watch::Sender<Arc<RouteTable>>,
    reconciler: Mutex<EntryReconciler>,
    views: HostViews,
    /// Shared secret of the hosts, once it is known.
    secret: Arc<OnceLock<String>>,
    detour_server: DetourServer,
    stop: CancellationToken,
    leaving: CancellationToken,
}

impl RelayHost {
    /// Starts the host and its background tasks. Fails if the address for other hosts can't be
    /// bound.
    pub async fn start(
        config: RelayHostConfig,
        kv: Arc<dyn KvStore>,
        transport: Arc<dyn UpstreamTransport>,
        log: EventLog,
    ) -> std::io::Result<Arc<Self>> {
        let socket = UdpSocket::bind(config.peers).await?;
        let listener = TcpListener::bind(config.peers).await?;
        let balancer_state = BalancerState::new(
            HostId::new(&config.host),
            DataCentre::new(&config.data_centre),
        );
        let balancer = LoadBalancer::new(balancer_state.with_pace(config.learns_pace));
        let views = HostViews::new(config.view_ages, view_seed(&config), &log);
        let relay = RequestRelay::new(transport, balancer.clone(), log.clone())
            .with_answer_memory(config.answer_bytes)
            .with_views(views.clone());
        let entry = HostEntry {
            host: config.host.clone(),
            incarnation: config.incarnation,
            process: 0,
            lease: None,
            replaced: Vec::new(),
            data_centre: config.data_centre.clone(),
            callers: Some(config.callers),
            peers: config.peers,
            state: HostReadiness::Ready,
        };
        let peer_client = Arc::new(DeferredPeerClient::default());
        let registry = HostRegistry::new(kv.clone(), log.clone(), entry, RegistryConfig::default())
            .with_peers(peer_client.clone());
        let (routes, table) = watch::channel(Arc::new(RouteTable::default()));
        let jobs = JobKeeper::new(
            JobStore::new(kv.clone()),
            relay.clone(),
            table,
            registry.clone(),
            peer_client.clone(),
            log.clone(),
            config.host.clone(),
            config.incarnation,
            config.jobs,
        );
        let detour_server = DetourServer::new(relay.clone()).with_routes(routes.subscribe());
        let host = Arc::new(Self {
            config,
            log,
            balancer,
            relay,
            jobs,
            registry,
            routes,
            reconciler: Mutex::default(),
            views,
            secret: Arc::default(),
            detour_server,
            stop: CancellationToken::new(),
            leaving: CancellationToken::new(),
        });
        host.spawn_tasks(socket, listener, peer_client, kv);
        Ok(host)
    }

    fn spawn_tasks(
        self: &Arc<Self>,
        socket: UdpSocket,
        listener: TcpListener,
        peer_client: Arc<DeferredPeerClient>,
        kv: Arc<dyn KvStore>,
    ) {
        let exchange = LoadExchange::new(
            socket,
            self.balancer.clone(),
            self.config.host.clone(),
            self.config.incarnation,
            self.leaving.clone(),
        )
        .with_crashes(self.relay.crashes().clone())
        .with_log(self.log.clone())
        .with_origins(self.relay.origins().clone())
        .with_quotas(self.relay.quotas().clone())
        .with_reach(self.relay.reach().clone())
        .with_views(self.views.clone())
        .with_secret(self.secret.clone());
        let host = self.clone();
        let peers = move || host.peer_addresses();
        let (announcer, recorder, stop) = (self.jobs.clone(), self.jobs.clone(), self.stop.clone());
        let displaced = self.registry.displaced().clone();
        let record_jobs = move |host: &str, jobs: &[AcquiredJob]| recorder.record_owner(host, jobs);
        tokio::spawn(async move {
            tokio::select! {
                () = exchange.run(peers, || announcer.announced_jobs(), record_jobs) => {}
                () = stop.cancelled() => {}
                () = displaced.cancelled() => {}
            }
        });
        let (registry, stop) = (self.registry.clone(), self.stop.clone());
        tokio::spawn(async move { registry.run(stop).await });
        let (jobs, stop) = (self.jobs.clone(), self.stop.clone());
        tokio::spawn(async move { jobs.run(stop).await });
        let (host, archive) = (
            self.clone(),
            VersionArchive::new(
                kv_for(&kv, CallPurpose::Versions),
                self.relay.origins().clone(),
            ),
        );
        tokio::spawn(async move { host.follow_versions(archive).await });
        let host = self.clone();
        tokio::spawn(async move { host.serve_peers(listener, peer_client, kv).await });
        let host = self.clone();
        tokio::spawn(async move { host.sweep_upstreams().await });
        let (monitor, stop) = (ReachMonitor::new(self.relay.clone()), self.stop.clone());
        tokio::spawn(async move { monitor.run(stop).await });
    }

    /// Addresses of the other hosts, as registered. Also updates the ring of hosts, which
    /// determines which of them are neighbours.
    fn peer_addresses(&self) -> PeerAddresses {
        let mut balancer_state = self.balancer.state();
        self.registry.with_list(|list| {
            let entries = list.entries().into_iter();
            let others: Vec<&HostEntry> = entries
                .filter(|entry| entry.callers.is_some() && entry.host != self.config.host)
                .collect();
            balancer_state.set_hosts(others.iter().map(|entry| entry.host.as_str()));
            let neighbours = balancer_state.neighbours();
            let is_near = |entry: &&&HostEntry| neighbours.contains(&entry.host);
            let near = others.iter().filter(is_near);
            let is_near_host = |entry: &&&HostEntry| entry.data_centre == self.config.data_centre;
            let near_hosts = others.iter().filter(is_near_host);
            let near_hosts = near_hosts.map(|entry| entry.host.clone()).collect();
            self.relay.detours().set_near_hosts(near_hosts);
            let by_name = others.iter().map(|entry| (entry.host.clone(), entry.peers));
            PeerAddresses {
                neighbours: near.map(|entry| entry.peers).collect(),
                all: others.iter().map(|entry| entry.peers).collect(),
                by_name: by_name.collect(),
            }
        })
    }

    async fn serve_peers(
        &self,
        listener: TcpListener,
        peer_client: Arc<DeferredPeerClient>,
        kv: Arc<dyn KvStore>,
    ) {
        let secret = loop {
            match fleet_secret(kv_for(&kv, CallPurpose::FleetSecret).as_ref()).await {
                Ok(secret) => break secret,
                Err(_) => tokio::time::sleep(SECRET_RETRY_DELAY).await,
            }
        };
        let _ = self.secret.set(secret.clone());
        let client = PeerClient::new(HostId::new(&self.config.host), secret.clone());
        let detour_client = DetourClient::new(client.clone());
        self.relay.detours().set_link(Arc::new(detour_client));
        peer_client.set(client);
        let server = PeerServer::new(listener, secret, Arc::new(CounterSet::default()))
            .with_detours(self.detour_server.clone());
        let jobs = self.jobs.clone();
        let handlers = PeerHandlers::new().with(move |_, call: JobCall| {
            let jobs = jobs.clone();
            async move { jobs.answer(call).await }
        });
        let (registry, jobs) = (self.registry.clone(), self.jobs.clone());
        let handlers = handlers.with(move |_, call: NameCall| {
            let (registry, jobs) = (registry.clone(), jobs.clone());
            async move {
                let reply = registry.answer(call).await;
                if reply == NameReply::Displaced {
                    jobs.surrender();
                }
                reply
            }
        });
        server.run(self.stop.clone(), handlers).await;
    }

    async fn sweep_upstreams(&self) {
        while !self.stop.is_cancelled() {
            tokio::time::sleep(UPSTREAM_SWEEP_INTERVAL).await;
            let removed = self.with_reconciler(|reconciler, balancer_state| {
                reconciler.sweep(balancer_state, Instant::now())
            });
            self.log_removed(removed);
        }
    }

    /// Follows the versions that serve. One host of the fleet stores their changes; a displaced one
    /// stores none.
    async fn follow_versions(&self, archive: VersionArchive) {
        archive.load().await;
        let origins = self.relay.origins();
        while !self.stop.is_cancelled() {
            self.relay.update_versions();
            let is_writer = {
                let state = self.balancer.state();
                !self.is_displaced()
                    && state.is_nearest_heard(VERSION_WRITER_POSITION, Instant::now())
            };
            let is_unsaved = origins.take_unsaved();
            let is_due = is_writer && (is_unsaved || archive.has_expired());
            if is_due && !archive.store().await {
                origins.set_unsaved();
            }
            tokio::time::sleep(VERSION_INTERVAL).await;
        }
    }

    /// Relay that forwards this host's online requests.
    pub fn relay(&self) -> &RequestRelay {
        &self.relay
    }

    /// Manager of this host's batch jobs.
    pub fn jobs(&self) -> &JobKeeper {
        &self.jobs
    }

    /// Watches the route table in force. Its version is 0 until the first one is set.
    pub fn routes(&self) -> watch::Receiver<Arc<RouteTable>> {
        self.routes.subscribe()
    }

    /// Puts a route table in force, unless its version is older than that of the current one.
    pub fn set_routes(&self, table: RouteTable) {
        let before = self.routes.borrow().version();
        if table.version() < before {
            return;
        }
        self.log.write(LogEvent::ConfigChanged {
            before,
            version: table.version(),
            routes: table.len(),
        });
        self.relay.set_workspaces(table.workspaces());
        self.routes.send_replace(Arc::new(table));
    }

    /// The host's views of the key-value service.
    pub fn views(&self) -> &HostViews {
        &self.views
    }

    /// Adds an upstream, or replaces its entry.
    pub fn upsert_upstream(&self, entry: UpstreamEntry) {
        self.log.write(LogEvent::UpstreamListed {
            upstream: entry.id.to_string(),
            address: entry.address.to_string(),
            state: match entry.state {
                UpstreamState::Ready => "ready".to_owned(),
                UpstreamState::Draining => "draining".to_owned(),
            },
            software: entry.software.to_string(),
        });
        self.with_reconciler(|reconciler, balancer_state| reconciler.put(entry, balancer_state));
        self.balancer.notify_waiters();
    }

    /// Removes an upstream whose entry vanished. During or right after an outage of the service
    /// that lists upstreams, it is kept for a while, as its entry may come back.
    pub fn remove_upstream(&self, id: &UpstreamId) {
        let now = Instant::now();
        if self.with_reconciler(|reconciler, balancer_state| {
            reconciler.remove(id, balancer_state, now)
        }) {
            self.log_removed(vec![id.clone()]);
        }
    }

    /// Replaces the entries of all upstreams by a full listing; ones that are missing from it are
    /// removed as by [`Self::remove_upstream`].
    pub fn replace_upstreams(&self, entries: Vec<UpstreamEntry>) {
        let now = Instant::now();
        let removed = self.with_reconciler(|reconciler, balancer_state| {
            reconciler.list(entries, balancer_state, now)
        });
        self.log_removed(removed);
        self.balancer.notify_waiters();
    }

    /// Records whether the service that lists upstreams answers.
    pub fn set_discovery_reachable(&self, is_reachable: bool) {
        self.with_reconciler(|reconciler, _| match is_reachable {
            true => reconciler.note_recovery(Instant::now()),
            false => reconciler.note_outage(),
        });
        self.relay.origins().set_current(is_reachable);
    }

    fn with_reconciler<T>(
        &self,
        act: impl FnOnce(&mut EntryReconciler, &mut BalancerState) -> T,
    ) -> T {
        let mut reconciler = self.reconciler.lock().expect("entry reconciler lock");
        act(&mut reconciler, &mut self.balancer.state())
    }

    fn log_removed(&self, removed: Vec<UpstreamId>) {
        for upstream in removed {
            self.log.write(LogEvent::UpstreamGone {
                upstream: upstream.to_string(),
            });
        }
    }

    /// Updates the gauges and returns all metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        let metrics = self.log.metrics();
        let table = self.routes.borrow().clone();
        let mut balancer_state = self.balancer.state();
        for service in table.services() {
            let (slots, _) = balancer_state.online_capacity(service, Instant::now());
            let (online, batch) = balancer_state.running_work(service);
            for (kind, count) in [("places", slots), ("online", online), ("batch", batch)] {
                metrics.set_slot_counts(service.as_str(), kind, count);
            }
            if let Some(summary) = balancer_state.pace_summary(service, Instant::now()) {
                metrics.set_paces(service.as_str(), summary);
            }
        }
        metrics.set_limits(&balancer_state.known_limits(Instant::now()));
        metrics.count_grants(balancer_state.take_grant_counts());
        drop(balancer_state);
        metrics.count_quotas(self.relay.quotas().take_counts());
        let (waiting, running) = self.jobs.item_counts();
        metrics.set_item_counts(waiting, running);
        metrics.set_convictions(self.relay.crashes().convictions());
        metrics.set_config_version(table.version(), self.views.configuration.age());
        self.views.set_gauges(&self.log);
        metrics.set_displaced(self.is_displaced());
        metrics.set_stranded(self.relay.reach().stranded_services());
        metrics.text()
    }

    /// Cancelled once another process of this host's name has started after this one, which then takes
    /// no new requests.
    pub fn displaced(&self) -> &CancellationToken {
        self.registry.displaced()
    }

    /// Whether another process of this host's name has started after this one.
    pub fn is_displaced(&self) -> bool {
        self.registry.is_displaced()
    }

    /// Whether the host is ready for callers: it has a route table, is not leaving and not displaced.
    pub fn is_ready(&self) -> bool {
        let is_staying = !self.leaving.is_cancelled() && !self.is_displaced();
        is_staying && self.routes.borrow().version() > 0
    }

    fn is_stranded(&self, host: &str) -> bool {
        let reach = self.relay.reach();
        match host == self.config.host {
            true => reach.is_mostly_stranded(),
            false => reach.is_host_stranded(host, Instant::now()),
        }
    }

    /// Addresses of the hosts that callers should use: those that reach upstreams, unless they are too few
    /// to carry the load. A leaving host lists itself only if it is
    /// the only one, a displaced one never; a ready host lists itself if there is no other.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let balancer_state = self.balancer.state();
        let mut addresses = self.registry.with_list(|list| {
            let ready = list.caller_entries();
            let hosts: Vec<&str> = ready.iter().map(|entry| entry.host.as_str()).collect();
            let usable = balancer_state.usable_hosts(&hosts, Instant::now());
            let usable = ready
                .iter()
                .filter(|entry| usable.contains(&entry.host.as_str()));
            let preferred =
                preferred_hosts(usable.collect(), |entry| self.is_stranded(&entry.host));
            let callers = preferred.into_iter().filter_map(|entry| entry.callers);
            callers.collect::<Vec<_>>()
        });
        let is_alone = addresses.len() == 1;
        if self.is_displaced() || (self.leaving.is_cancelled() && !is_alone) {
            addresses.retain(|address| *address != self.config.callers);
        }
        if addresses.is_empty() && self.is_ready() {
            addresses.push(self.config.callers);
        }
        addresses
    }

    /// Shuts down gracefully within `grace`: directs callers to other hosts, hands the batch jobs
    /// over and lets in-flight requests finish. Returns the number of requests that were cut off.
    pub async fn drain(
        &self,
        grace: Duration,
        shutdown: &ServerShutdown,
        in_flight: &InFlightRequests,
    ) -> usize {
        let deadline = Instant::now() + grace.mul_f64(1.0 - FINAL_GRACE_FRACTION);
        let estimate_time = ESTIMATE_TIME.min(grace / 3);
        let stop_gate = self.relay.stop_gate();
        stop_gate.begin_with(Instant::now() + estimate_time, deadline);
        self.leaving.cancel();
        shutdown.draining.cancel();
        self.log.write(LogEvent::Draining {
            open: in_flight.count(),
        });
        let caller_move_time = CALLER_MOVE_TIME.min(grace / 2);
        tokio::join!(
            self.registry.leave(),
            self.jobs.leave(),
            tokio::time::sleep(caller_move_time)
        );
        shutdown.finish(in_flight, deadline).await;
        self.detour_server.finish(deadline).await;
        self.registry.end().await;
        self.stop.cancel();
        in_flight.count()
    }
}

/// Seed of the random delays of checks, another one at each host.
fn view_seed(config: &RelayHostConfig) -> u64 {
    xxh3_64(config.host.as_bytes()) ^ config.incarnation
}

/// Peer client whose connections are set once the fleet secret has been read; calls fail until
/// then.
#[derive(Default)]
struct DeferredPeerClient {
    peer_client: watch::Sender<Option<PeerClient>>,
}

impl DeferredPeerClient {
    fn set(&self, peer_client: PeerClient) {
        self.peer_client.send_replace(Some(peer_client));
    }

    /// Waits until the connections are set.
    async fn wait(&self) -> Option<PeerClient> {
        let mut receiver = self.peer_client.subscribe();
        let set = receiver.wait_for(Option::is_some).await.ok()?;
        set.clone()
    }
}

#[async_trait]
impl JobPeerClient for DeferredPeerClient {
    async fn call(
        &self,
        host: &HostEntry,
        call: JobCall,
        timeout: Duration,
    ) -> Result<JobReply, PeerError> {
        let peer_client = self.peer_client.borrow().clone();
        let not_ready = || PeerError::NotSent("the fleet secret has not been read yet".to_owned());
        let peer_client = peer_client.ok_or_else(not_ready)?;
        peer_client.call(host.peers, call, timeout).await
    }
}

#[async_trait]
impl NamePeerClient for DeferredPeerClient {
    async fn call(
        &self,
        address: SocketAddr,
        call: NameCall,
        timeout: Duration,
    ) -> Result<NameReply, NameCallError> {
        let until = Instant::now() + timeout;
        let no_reply = |cause: &str| NameCallError::NoReply(cause.to_owned());
        let peer_client = tokio::time::timeout_at(until, self.wait())
            .await
            .ok()
            .flatten()
            .ok_or_else(|| no_reply("the fleet secret has not been read yet"))?;
        let left = until.saturating_duration_since(Instant::now());
        match peer_client.call(address, call, left).await {
            Ok(reply) => Ok(reply),
            Err(PeerError::Refused(_)) => Err(NameCallError::Refused),
            Err(err) => Err(no_reply(&err.to_string())),
        }
    }
}
