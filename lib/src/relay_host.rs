//! A host that relays opaque requests and runs batch jobs of opaque items.
//!
//! The host gets its routes and upstreams from the adapter to its surroundings, which also owns
//! the listeners for callers. Everything else is wired here.

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

use crate::balancer::BalancerState;
use crate::balancer::EntryReconciler;
use crate::balancer::LoadBalancer;
use crate::balancer::LoadExchange;
use crate::balancer::PeerAddresses;
use crate::balancer::UpstreamEntry;
use crate::balancer::UpstreamState;
use crate::counters::CounterSet;
use crate::edges::kv::KvStore;
use crate::event_log::EventLog;
use crate::events::LogEvent;
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
use crate::peers::PeerClient;
use crate::peers::PeerHandlers;
use crate::peers::PeerServer;
use crate::registry::HostEntry;
use crate::registry::HostReadiness;
use crate::registry::HostRegistry;
use crate::registry::RegistryConfig;
use crate::registry::fleet_secret;
use crate::relay::RequestRelay;
use crate::relay::UpstreamTransport;
use crate::routes::RouteTable;

const SECRET_RETRY: Duration = Duration::from_millis(500);
const ROSTER_TICK: Duration = Duration::from_millis(200);
/// Time for which a leaving host still takes new connections, as callers keep the list of hosts
/// for a while.
const MOVE_TIME: Duration = Duration::from_millis(3_500);
/// Part of the time to stop that is left when the last open requests are cut off.
const LAST_PART: f64 = 0.12;

/// What a front host is.
#[derive(Clone, Debug)]
pub struct RelayConfig {
    /// Name of the host.
    pub host: String,
    /// Start of the process in milliseconds since 1970.
    pub incarnation: u64,
    /// Data centre.
    pub data_centre: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other hosts: calls over TCP, load reports over UDP.
    pub peers: SocketAddr,
    /// Bytes of whole answers that it keeps at once.
    pub answer_bytes: usize,
    /// Bounds of its batch work.
    pub jobs: JobConfig,
}

/// A running front host.
pub struct RelayHost {
    plan: RelayConfig,
    log: EventLog,
    places: LoadBalancer,
    relay: RequestRelay,
    jobs: JobKeeper,
    registry: HostRegistry,
    routes: watch::Sender<Arc<RouteTable>>,
    roster: Mutex<EntryReconciler>,
    /// Since when the configuration could not be followed.
    config_lost: Mutex<Option<Instant>>,
    stop: CancellationToken,
    leaving: CancellationToken,
}

impl RelayHost {
    /// Starts the host. Fails if its addresses for other hosts cannot be used.
    pub async fn start(
        plan: RelayConfig,
        kv: Arc<dyn KvStore>,
        wire: Arc<dyn UpstreamTransport>,
        log: EventLog,
    ) -> std::io::Result<Arc<Self>> {
        let socket = UdpSocket::bind(plan.peers).await?;
        let listener = TcpListener::bind(plan.peers).await?;
        let places = LoadBalancer::new(BalancerState::new(
            HostId::new(&plan.host),
            DataCentre::new(&plan.data_centre),
        ));
        let relay = RequestRelay::new(wire, places.clone(), log.clone())
            .with_answer_memory(plan.answer_bytes);
        let entry = HostEntry {
            host: plan.host.clone(),
            incarnation: plan.incarnation,
            data_centre: plan.data_centre.clone(),
            callers: Some(plan.callers),
            peers: plan.peers,
            state: HostReadiness::Ready,
        };
        let registry = HostRegistry::new(kv.clone(), log.clone(), entry, RegistryConfig::default());
        let (routes, table) = watch::channel(Arc::new(RouteTable::default()));
        let links = Arc::new(DeferredPeerClient::default());
        let jobs = JobKeeper::new(
            JobStore::new(kv.clone()),
            relay.clone(),
            table,
            registry.clone(),
            links.clone(),
            log.clone(),
            plan.host.clone(),
            plan.incarnation,
            plan.jobs,
        );
        let host = Arc::new(Self {
            plan,
            log,
            places,
            relay,
            jobs,
            registry,
            routes,
            roster: Mutex::default(),
            config_lost: Mutex::default(),
            stop: CancellationToken::new(),
            leaving: CancellationToken::new(),
        });
        host.spawn_tasks(socket, listener, links, kv);
        Ok(host)
    }

    fn spawn_tasks(
        self: &Arc<Self>,
        socket: UdpSocket,
        listener: TcpListener,
        links: Arc<DeferredPeerClient>,
        kv: Arc<dyn KvStore>,
    ) {
        let exchange = LoadExchange::new(
            socket,
            self.places.clone(),
            self.plan.host.clone(),
            self.plan.incarnation,
            self.leaving.clone(),
        );
        let host = self.clone();
        let peers = move || host.peer_addresses();
        let (told, heard, stop) = (self.jobs.clone(), self.jobs.clone(), self.stop.clone());
        let note_jobs = move |host: &str, jobs: &[String]| heard.record_owner(host, jobs);
        tokio::spawn(async move {
            tokio::select! {
                () = exchange.run(peers, || told.announced_jobs(), note_jobs) => {}
                () = stop.cancelled() => {}
            }
        });
        let (registry, stop) = (self.registry.clone(), self.stop.clone());
        tokio::spawn(async move { registry.run(stop).await });
        let (jobs, stop) = (self.jobs.clone(), self.stop.clone());
        tokio::spawn(async move { jobs.run(stop).await });
        let host = self.clone();
        tokio::spawn(async move { host.serve_peers(listener, links, kv).await });
        let host = self.clone();
        tokio::spawn(async move { host.sweep_roster().await });
    }

    /// Addresses of the other hosts; brings their ring up to date.
    fn peer_addresses(&self) -> PeerAddresses {
        let mut book = self.places.book();
        self.registry.with_list(|list| {
            let entries = list.entries().into_iter();
            let others: Vec<&HostEntry> = entries
                .filter(|entry| entry.callers.is_some() && entry.host != self.plan.host)
                .collect();
            book.set_hosts(others.iter().map(|entry| entry.host.as_str()));
            let neighbours = book.neighbours();
            let is_near = |entry: &&&HostEntry| neighbours.contains(&entry.host);
            let near = others.iter().filter(is_near);
            PeerAddresses {
                neighbours: near.map(|entry| entry.peers).collect(),
                all: others.iter().map(|entry| entry.peers).collect(),
            }
        })
    }

    async fn serve_peers(
        &self,
        listener: TcpListener,
        links: Arc<DeferredPeerClient>,
        kv: Arc<dyn KvStore>,
    ) {
        let secret = loop {
            match fleet_secret(kv.as_ref()).await {
                Ok(secret) => break secret,
                Err(_) => tokio::time::sleep(SECRET_RETRY).await,
            }
        };
        links.set(PeerClient::new(
            HostId::new(&self.plan.host),
            secret.clone(),
        ));
        let server = PeerServer::new(listener, secret, Arc::new(CounterSet::default()));
        let jobs = self.jobs.clone();
        let handlers = PeerHandlers::new().with(move |_, call: JobCall| {
            let jobs = jobs.clone();
            async move { jobs.answer(call).await }
        });
        server.run(self.stop.clone(), handlers).await;
    }

    async fn sweep_roster(&self) {
        while !self.stop.is_cancelled() {
            tokio::time::sleep(ROSTER_TICK).await;
            let gone = self.with_roster(|roster, book| roster.sweep(book, Instant::now()));
            self.log_gone(gone);
        }
    }

    /// The relay of this host.
    pub fn relay(&self) -> &RequestRelay {
        &self.relay
    }

    /// The batch jobs of this host.
    pub fn jobs(&self) -> &JobKeeper {
        &self.jobs
    }

    /// Routes as they change.
    pub fn routes(&self) -> watch::Receiver<Arc<RouteTable>> {
        self.routes.subscribe()
    }

    /// Puts a table in force, unless it is older than the one in force.
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
        self.routes.send_replace(Arc::new(table));
    }

    /// Notes whether the service that holds the configuration answers.
    pub fn set_config_reachable(&self, in_touch: bool) {
        let mut lost = self.config_lost.lock().expect("config touch lock");
        *lost = match in_touch {
            true => None,
            false => lost.or(Some(Instant::now())),
        };
    }

    /// Takes in what an upstream says of itself.
    pub fn upsert_upstream(&self, entry: UpstreamEntry) {
        self.log.write(LogEvent::UpstreamListed {
            upstream: entry.id.to_string(),
            address: entry.address.to_string(),
            state: match entry.state {
                UpstreamState::Ready => "ready".to_owned(),
                UpstreamState::Draining => "draining".to_owned(),
            },
        });
        self.with_roster(|roster, book| roster.put(entry, book));
        self.places.wake();
    }

    /// Takes in that the entry of an upstream vanished.
    pub fn remove_upstream(&self, id: &UpstreamId) {
        let now = Instant::now();
        if self.with_roster(|roster, book| roster.remove(id, book, now)) {
            self.log_gone(vec![id.clone()]);
        }
    }

    /// Takes in the entries of all upstreams.
    pub fn replace_upstreams(&self, entries: Vec<UpstreamEntry>) {
        let now = Instant::now();
        let gone = self.with_roster(|roster, book| roster.list(entries, book, now));
        self.log_gone(gone);
        self.places.wake();
    }

    /// Notes whether the service that lists upstreams answers.
    pub fn set_discovery_reachable(&self, in_touch: bool) {
        self.with_roster(|roster, _| match in_touch {
            true => roster.regained(Instant::now()),
            false => roster.lost(),
        });
    }

    fn with_roster<T>(&self, act: impl FnOnce(&mut EntryReconciler, &mut BalancerState) -> T) -> T {
        let mut roster = self.roster.lock().expect("upstream roster lock");
        act(&mut roster, &mut self.places.book())
    }

    fn log_gone(&self, gone: Vec<UpstreamId>) {
        for upstream in gone {
            self.log.write(LogEvent::UpstreamGone {
                upstream: upstream.to_string(),
            });
        }
    }

    /// The host's metrics as text that Prometheus reads.
    pub fn metrics_text(&self) -> String {
        let metrics = self.log.metrics();
        let table = self.routes.borrow().clone();
        let book = self.places.book();
        for service in table.services() {
            let (places, _) = book.online_capacity(service, Instant::now());
            let (online, batch) = book.running_work(service);
            for (kind, count) in [("places", places), ("online", online), ("batch", batch)] {
                metrics.set_slot_counts(service.as_str(), kind, count);
            }
        }
        drop(book);
        let (waiting, running) = self.jobs.item_counts();
        metrics.set_item_counts(waiting, running);
        let lost = *self.config_lost.lock().expect("config touch lock");
        let age = lost.map_or(Duration::ZERO, |since| since.elapsed());
        metrics.set_config_version(table.version(), age);
        metrics.text()
    }

    /// Whether callers should come here.
    pub fn is_ready(&self) -> bool {
        !self.leaving.is_cancelled() && self.routes.borrow().version() > 0
    }

    /// Addresses that callers should use.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let book = self.places.book();
        let mut addresses = self.registry.with_list(|list| {
            let ready = list.caller_entries();
            let hosts: Vec<&str> = ready.iter().map(|entry| entry.host.as_str()).collect();
            let usable = book.usable_hosts(&hosts, Instant::now());
            let usable = ready
                .iter()
                .filter(|entry| usable.contains(&entry.host.as_str()));
            usable.filter_map(|entry| entry.callers).collect::<Vec<_>>()
        });
        if self.leaving.is_cancelled() && addresses.len() > 1 {
            addresses.retain(|address| *address != self.plan.callers);
        }
        if addresses.is_empty() && self.is_ready() {
            addresses.push(self.plan.callers);
        }
        addresses
    }

    /// Stops as planned within `grace`: sends callers elsewhere, gives the batch jobs away and
    /// lets open requests finish. Returns how many requests were cut off.
    pub async fn drain(
        &self,
        grace: Duration,
        server: &ServerShutdown,
        open: &InFlightRequests,
    ) -> usize {
        let deadline = Instant::now() + grace.mul_f64(1.0 - LAST_PART);
        self.leaving.cancel();
        server.draining.cancel();
        self.log.write(LogEvent::Draining { open: open.count() });
        let moving = MOVE_TIME.min(grace / 2);
        tokio::join!(
            self.registry.leave(),
            self.jobs.leave(),
            tokio::time::sleep(moving)
        );
        server.finish(open, deadline).await;
        self.registry.end().await;
        self.stop.cancel();
        open.count()
    }
}

/// Links to other hosts, once the fleet's secret is known.
#[derive(Default)]
struct DeferredPeerClient {
    links: OnceLock<PeerClient>,
}

impl DeferredPeerClient {
    fn set(&self, links: PeerClient) {
        let _ = self.links.set(links);
    }
}

#[async_trait]
impl JobPeerClient for DeferredPeerClient {
    async fn call(
        &self,
        host: &HostEntry,
        call: JobCall,
        timeout: Duration,
    ) -> Result<JobReply, String> {
        let links = self.links.get().ok_or("the fleet's secret is not known")?;
        let reply = links.call(host.peers, call, timeout).await;
        reply.map_err(|err| err.to_string())
    }
}
