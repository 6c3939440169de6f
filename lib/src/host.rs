//! The entry host: constructs all components of one process and connects them to each other.

use std::convert::Infallible;
use std::future::ready;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use http::Request;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tower::ServiceBuilder;
use tower::ServiceExt;

use crate::admin::ADMIN_PATH;
use crate::admin::AdminApi;
use crate::admin::HostReporter;
use crate::admin::StatusCall;
use crate::admission::AdmissionController;
use crate::admission::AdmissionDependencies;
use crate::admission::AdmissionRequest;
use crate::batch::BatchCoordinator;
use crate::batch::BatchDependencies;
use crate::batch::BatchRequest;
use crate::batch::BatchService;
use crate::batch::BatchStore;
use crate::callers::CallerApi;
use crate::caps::CapDependencies;
use crate::caps::CapKeeper;
use crate::caps::CapsRequest;
use crate::caps::DivisionReconciler;
use crate::counters::CounterSet;
use crate::counters::RefusalReason;
use crate::decisions::DecisionRing;
use crate::decisions::ExplainCall;
use crate::edges::engine::HttpEngine;
use crate::edges::engine::ModelEngine;
use crate::edges::host_list::HostList;
use crate::edges::host_list::HttpHostList;
use crate::edges::kv::HttpKv;
use crate::edges::kv::KvStore;
use crate::edges::weights::HttpWeightStore;
use crate::http::body::BodyReader;
use crate::http::client::HttpClient;
use crate::http::reply::Reply;
use crate::http::reply::refusal_reply;
use crate::http::server;
use crate::http::server::InFlightRequests;
use crate::http::server::ServerConfig;
use crate::http::server::ServerShutdown;
use crate::idempotency::ClaimDependencies;
use crate::idempotency::ClaimKeeper;
use crate::idempotency::ClaimRequest;
use crate::ids::HostId;
use crate::ids::Revision;
use crate::inference::InferenceRunner;
use crate::membership::HostState;
use crate::membership::Membership;
use crate::membership::MembershipAgent;
use crate::membership::MembershipCall;
use crate::membership::PeerHost;
use crate::membership::SeedSources;
use crate::peers::PeerClient;
use crate::peers::PeerHandlers;
use crate::peers::PeerServer;
use crate::placement::DemandCall;
use crate::placement::DemandMeter;
use crate::placement::PlacementController;
use crate::placement::PlacementDependencies;
use crate::refusal::Refusal;
use crate::settings::Settings;
use crate::suspects::SuspectDependencies;
use crate::suspects::SuspectKeeper;
use crate::suspects::SuspectUpdate;
use crate::terms::ActiveTerms;
use crate::terms::TermsCall;
use crate::terms::TermsFollower;
use crate::upstreams::UpstreamTable;

/// Memory for the request bodies that are read at once, in bodies of the largest allowed size.
const MAX_BUFFERED_BODIES: usize = 4;
/// Time within which all hosts learn from membership that a host is draining.
const DRAIN_ANNOUNCEMENT_TIME: Duration = Duration::from_secs(1);
/// Longest time that background tasks get to end after they were cancelled at a stop.
const TASK_STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Requests that may be read or be waiting for their response head at once; more are shed.
const MAX_PENDING_REQUESTS: usize = 10_000;
/// `Retry-After` of the requests that are shed.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Free ports that are tried until one can be bound for both TCP and UDP.
const MAX_BIND_ATTEMPTS: u32 = 16;

/// Why an entry host could not start.
#[derive(Debug)]
pub enum StartError {
    /// A socket could not be bound to this address.
    Bind(SocketAddr, std::io::Error),
    /// The socket for metrics to the statsd server could not be created.
    Statsd(std::io::Error),
}

impl std::fmt::Display for StartError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Bind(address, err) => write!(f, "cannot listen on {address}: {err}"),
            Self::Statsd(err) => write!(f, "cannot send metrics: {err}"),
        }
    }
}

impl std::error::Error for StartError {}

/// A running entry host, which serves callers until [`EntryHost::drain`].
pub struct EntryHost {
    address: SocketAddr,
    peer_address: SocketAddr,
    server_shutdown: ServerShutdown,
    in_flight: InFlightRequests,
    membership: Arc<Membership>,
    entries_ttl: Duration,
    stop_tasks: CancellationToken,
    server: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
    batch: Arc<BatchCoordinator>,
    drain_deadline: Duration,
}

impl EntryHost {
    /// Binds the addresses of `settings` and starts the server and all background tasks.
    ///
    /// Fails if an address can't be bound or the statsd socket can't be created.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let listener = bind(settings.listen).await?;
        let (peer_listener, peer_socket) = bind_peer(settings.peer_listen).await?;
        let address = listener.local_addr().unwrap_or(settings.listen);
        let peer_address = peer_listener.local_addr().unwrap_or(settings.peer_listen);
        let settings = Arc::new(fill_advertised_ports(settings, address, peer_address));
        let mut counters = CounterSet::new();
        if let Some(statsd) = settings.statsd {
            counters = counters.with_statsd(statsd).map_err(StartError::Statsd)?;
        }
        let drain_deadline = settings.drain_deadline;
        let entries_ttl = settings.entries_ttl;
        let components = HostComponents::new(settings, Arc::new(counters));
        let server_shutdown = ServerShutdown::default();
        let in_flight = InFlightRequests::default();
        let membership = components.membership.clone();
        let stop_tasks = CancellationToken::new();
        let batch = components.batch.clone();
        let mut tasks = components.spawn_tasks(peer_listener, peer_socket, &stop_tasks);
        tasks.extend(components.spawn_placement(&stop_tasks));
        let handle = components.request_handler();
        let serving = server::serve(
            listener,
            ServerConfig::default,
            server_shutdown.clone(),
            in_flight.clone(),
            handle,
        );
        let server = tokio::spawn(serving);
        Ok(Self {
            address,
            peer_address,
            server_shutdown,
            in_flight,
            membership,
            entries_ttl,
            stop_tasks,
            server,
            tasks,
            batch,
            drain_deadline,
        })
    }

    /// Bound address on which callers and operators are served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bound address for other entry hosts, over TCP and UDP.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Counter of the requests whose responses are not complete.
    pub fn in_flight_requests(&self) -> InFlightRequests {
        self.in_flight.clone()
    }

    /// Shuts the host down within the drain deadline.
    ///
    /// The host announces that it is draining, serves on while callers may still use a list of
    /// entry hosts that names it, hands its batch jobs over and finishes in-flight requests.
    ///
    /// Returns how many requests were cut off at the deadline.
    pub async fn drain(self) -> usize {
        let deadline = Instant::now() + self.drain_deadline;
        self.membership.set_draining();
        self.server_shutdown.draining.cancel();
        let move_callers = async {
            if self.membership.has_assignable_peers() {
                // At least half of the deadline is left for the requests that are in flight by
                // then.
                let stale_list_time = self.entries_ttl + DRAIN_ANNOUNCEMENT_TIME;
                tokio::time::sleep(stale_list_time.min(self.drain_deadline / 2)).await;
            }
            self.server_shutdown.closing.cancel();
            let _ = self.server.await;
        };
        // Batch items that have not ended by then are handed over in the last quarter.
        let batch_deadline = self.drain_deadline * 3 / 4;
        let finish = async {
            tokio::join!(move_callers, self.batch.drain(batch_deadline));
        };
        let _ = tokio::time::timeout_at(deadline, finish).await;
        let cut_off_count = self.in_flight.count();
        self.stop_tasks.cancel();
        let tasks = futures_util::future::join_all(self.tasks);
        let _ = tokio::time::timeout(TASK_STOP_TIMEOUT, tasks).await;
        cut_off_count
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|err| StartError::Bind(address, err))
}

/// Binds a TCP and a UDP socket to one address, on any free port if the port of `address` is 0.
async fn bind_peer(address: SocketAddr) -> Result<(TcpListener, UdpSocket), StartError> {
    let mut attempt = 0;
    loop {
        attempt += 1;
        let listener = bind(address).await?;
        let bound = listener.local_addr().unwrap_or(address);
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((listener, socket)),
            // Another process uses the UDP port of the same number: try another TCP port.
            Err(_) if address.port() == 0 && attempt < MAX_BIND_ATTEMPTS => {}
            Err(err) => return Err(StartError::Bind(bound, err)),
        }
    }
}

/// Sets the advertised ports that are 0 to the ports that were bound.
fn fill_advertised_ports(mut settings: Settings, caller: SocketAddr, peer: SocketAddr) -> Settings {
    for (advertised, bound) in [
        (&mut settings.advertise, caller),
        (&mut settings.peer_advertise, peer),
    ] {
        if advertised.port() == 0 {
            advertised.set_port(bound.port());
        }
    }
    settings
}

async fn route(callers: Arc<CallerApi>, admin: Arc<AdminApi>, request: Request<Incoming>) -> Reply {
    match request.uri().path().starts_with(ADMIN_PATH) {
        true => admin.handle(request).await,
        false => callers.handle(request).await,
    }
}

fn overload_refusal() -> Refusal {
    let message = "the host has too many requests that wait for their first answer";
    Refusal::new(RefusalReason::Overloaded, message).with_retry_after(OVERLOAD_RETRY_AFTER)
}

/// The components of one host, as the server and the background tasks share them.
struct HostComponents {
    settings: Arc<Settings>,
    counters: Arc<CounterSet>,
    decisions: Arc<DecisionRing>,
    kv: Arc<dyn KvStore>,
    host_list: Arc<dyn HostList>,
    engine: Arc<dyn ModelEngine>,
    meter: Arc<DemandMeter>,
    terms: Arc<ActiveTerms>,
    membership: Arc<Membership>,
    peers: PeerClient,
    upstreams: Arc<UpstreamTable>,
    admission: Arc<AdmissionController>,
    caps: Arc<CapKeeper>,
    suspects: Arc<SuspectKeeper>,
    claims: Arc<ClaimKeeper>,
    /// Incarnation at the process start; that in `membership` also grows when the host refutes a
    /// suspicion.
    incarnation: u64,
    runner: Arc<InferenceRunner>,
    batch: Arc<BatchCoordinator>,
    client: HttpClient,
}

impl HostComponents {
    fn new(settings: Arc<Settings>, counters: Arc<CounterSet>) -> Self {
        let client = HttpClient::new();
        let decisions = Arc::new(DecisionRing::new(settings.host.clone()));
        let kv: Arc<dyn KvStore> = Arc::new(HttpKv::new(settings.kv_urls.clone()));
        let host_list: Arc<dyn HostList> =
            Arc::new(HttpHostList::new(settings.host_list_url.clone()));
        let engine: Arc<dyn ModelEngine> = Arc::new(HttpEngine::new(client.clone()));
        let terms = ActiveTerms::new(kv.clone(), counters.clone(), decisions.clone())
            .with_bootstrap_operator(settings.operator_key_digest.clone());
        let terms = Arc::new(terms);
        let upstreams = Arc::new(UpstreamTable::new(
            settings.host.clone(),
            settings.data_centre.clone(),
            host_list.clone(),
            engine.clone(),
            counters.clone(),
            decisions.clone(),
        ));
        let own = own_host(&settings);
        let incarnation = own.incarnation;
        let membership = Arc::new(Membership::new(own));
        let peers = PeerClient::new(settings.host.clone(), settings.peer_secret.clone());
        let admission = AdmissionController::new(AdmissionDependencies {
            host: settings.host.clone(),
            membership: membership.clone(),
            links: peers.clone(),
            table: upstreams.clone(),
            counters: counters.clone(),
            decisions: decisions.clone(),
        });
        let dependencies = CapDependencies {
            host: settings.host.clone(),
            membership: membership.clone(),
            peers: peers.clone(),
            kv: kv.clone(),
            terms: terms.clone(),
            counters: counters.clone(),
            decisions: decisions.clone(),
        };
        let caps = CapKeeper::with_fleet(dependencies, incarnation);
        let meter = Arc::new(DemandMeter::new());
        let claims = ClaimKeeper::new(ClaimDependencies {
            host: settings.host.clone(),
            membership: membership.clone(),
            peers: peers.clone(),
            kv: kv.clone(),
            counters: counters.clone(),
        });
        let suspects = SuspectKeeper::new(SuspectDependencies {
            host: settings.host.clone(),
            membership: membership.clone(),
            peers: peers.clone(),
            upstreams: upstreams.clone(),
            kv: kv.clone(),
            engine: engine.clone(),
            counters: counters.clone(),
            decisions: decisions.clone(),
        });
        let runner = InferenceRunner::new(
            caps.clone(),
            admission.clone(),
            engine.clone(),
            counters.clone(),
            decisions.clone(),
            meter.clone(),
        )
        .with_suspects(suspects.clone());
        let batch = BatchCoordinator::new(BatchDependencies {
            host: settings.host.clone(),
            store: BatchStore::new(kv.clone()),
            runner: runner.clone(),
            terms: terms.clone(),
            membership: membership.clone(),
            peers: peers.clone(),
            counters: counters.clone(),
            decisions: decisions.clone(),
        });
        Self {
            kv,
            host_list,
            terms,
            engine,
            meter,
            membership,
            peers,
            batch,
            upstreams,
            admission,
            caps,
            suspects,
            claims,
            incarnation,
            runner,
            client,
            settings,
            counters,
            decisions,
        }
    }

    /// Returns the handler of all requests. It refuses those beyond `MAX_PENDING_REQUESTS`.
    fn request_handler(
        &self,
    ) -> impl Fn(Request<Incoming>) -> BoxFuture<'static, Reply> + Send + Sync + 'static {
        let (callers, admin) = self.apis();
        let counters = self.counters.clone();
        let service = ServiceBuilder::new()
            .load_shed()
            .concurrency_limit(MAX_PENDING_REQUESTS)
            .service_fn(move |request| {
                let reply = route(callers.clone(), admin.clone(), request);
                async move { Ok::<_, Infallible>(reply.await) }
            });
        move |request| {
            let answer = service.clone().oneshot(request);
            let counters = counters.clone();
            Box::pin(async move {
                answer.await.unwrap_or_else(|_| {
                    let refusal = overload_refusal();
                    counters.refusal(refusal.reason);
                    refusal_reply(&refusal)
                })
            })
        }
    }

    fn apis(&self) -> (Arc<CallerApi>, Arc<AdminApi>) {
        let batch = BatchService::new(self.batch.clone());
        let max_body_bytes = self.settings.max_body_bytes;
        let bodies = BodyReader::new(max_body_bytes, max_body_bytes * MAX_BUFFERED_BODIES);
        let callers = CallerApi {
            settings: self.settings.clone(),
            bodies: bodies.clone(),
            counters: self.counters.clone(),
            decisions: self.decisions.clone(),
            terms: self.terms.clone(),
            membership: self.membership.clone(),
            upstreams: self.upstreams.clone(),
            runner: self.runner.clone(),
            claims: self.claims.clone(),
            batch: Arc::new(batch),
            client: self.client.clone(),
        };
        let admin = AdminApi {
            settings: self.settings.clone(),
            bodies,
            counters: self.counters.clone(),
            decisions: self.decisions.clone(),
            terms: self.terms.clone(),
            membership: self.membership.clone(),
            upstreams: self.upstreams.clone(),
            peers: self.peers.clone(),
            reporter: self.reporter(),
        };
        (Arc::new(callers), Arc::new(admin))
    }

    fn reporter(&self) -> HostReporter {
        HostReporter {
            host: self.settings.host.clone(),
            terms: self.terms.clone(),
            counters: self.counters.clone(),
            admission: self.admission.clone(),
            caps: self.caps.clone(),
        }
    }

    /// Starts the placement of models on engines if the settings name a weight store.
    fn spawn_placement(&self, stop: &CancellationToken) -> Option<JoinHandle<()>> {
        let url = self.settings.weight_store_url.clone()?;
        let controller = PlacementController::new(PlacementDependencies {
            host: self.settings.host.clone(),
            data_centre: self.settings.data_centre.clone(),
            engines_fence: self.settings.upstreams_fence,
            kv: self.kv.clone(),
            list: self.host_list.clone(),
            engine: self.engine.clone(),
            weights: Arc::new(HttpWeightStore::new(HttpClient::new(), url)),
            membership: self.membership.clone(),
            peers: self.peers.clone(),
            terms: self.terms.clone(),
            meter: self.meter.clone(),
            counters: self.counters.clone(),
            decisions: self.decisions.clone(),
        });
        let stop = stop.clone();
        Some(tokio::spawn(async move { controller.run(stop).await }))
    }

    fn spawn_tasks(
        &self,
        peer_listener: TcpListener,
        peer_socket: UdpSocket,
        stop: &CancellationToken,
    ) -> Vec<JoinHandle<()>> {
        let upstreams = self.upstreams.clone();
        let batch = self.batch.clone();
        let server = PeerServer::new(
            peer_listener,
            self.settings.peer_secret.clone(),
            self.counters.clone(),
        );
        let handlers = self.peer_handlers();
        let admission = self.admission.clone();
        let stops: [CancellationToken; 4] = std::array::from_fn(|_| stop.clone());
        let [table_stop, admission_stop, batch_stop, peer_stop] = stops;
        let mut tasks = self.spawn_fleet_tasks(peer_socket, stop);
        tasks.extend([
            tokio::spawn(async move { upstreams.run(table_stop).await }),
            tokio::spawn(async move { admission.run(admission_stop).await }),
            tokio::spawn(async move { batch.run(batch_stop).await }),
            tokio::spawn(server.run(peer_stop, handlers)),
        ]);
        tasks
    }

    /// Returns the handlers of the messages that other entry hosts send.
    fn peer_handlers(&self) -> PeerHandlers {
        let (decisions, meter) = (self.decisions.clone(), self.meter.clone());
        let (terms, reporter) = (self.terms.clone(), self.reporter());
        let (membership, batch) = (self.membership.clone(), self.batch.clone());
        PeerHandlers::new()
            .with::<AdmissionRequest, _, _>(bind_handler(
                self.admission.clone(),
                |admission, from, request| async move { admission.answer(from, request).await },
            ))
            .with::<CapsRequest, _, _>(bind_handler(
                self.caps.clone(),
                |caps, _, request| async move { caps.answer(request).await },
            ))
            .with::<ClaimRequest, _, _>(bind_handler(
                self.claims.clone(),
                |claims, _, request| async move { claims.serve(request).await },
            ))
            .with::<SuspectUpdate, _, _>(bind_handler(
                self.suspects.clone(),
                |suspects, _, update| async move {
                    suspects.apply_update(&update);
                },
            ))
            .with(move |_, call: ExplainCall| ready(decisions.about(&call.subject)))
            .with(move |_, _: DemandCall| ready(meter.demand()))
            .with(move |_, _: StatusCall| ready(reporter.report()))
            .with(move |_, _: MembershipCall| ready(membership.state()))
            .with(move |from, request: BatchRequest| ready(batch.handle_request(&from, request)))
            .with(move |_, call: TermsCall| ready(terms.update_since(call.known)))
    }

    /// Spawns the tasks for membership and for the state that hosts share through it: terms, caps
    /// and suspects.
    fn spawn_fleet_tasks(
        &self,
        peer_socket: UdpSocket,
        stop: &CancellationToken,
    ) -> Vec<JoinHandle<()>> {
        let agent = self.membership_agent(peer_socket);
        let follower = TermsFollower::new(
            self.terms.clone(),
            self.membership.clone(),
            self.peers.clone(),
            self.counters.clone(),
            !self.settings.seeds.is_empty(),
        );
        let follower_stop = stop.clone();
        vec![
            tokio::spawn(agent.run(stop.clone())),
            tokio::spawn(async move { follower.run(follower_stop).await }),
            tokio::spawn(run_division(
                self.caps.clone(),
                self.incarnation,
                stop.clone(),
            )),
            tokio::spawn(run_suspects(self.suspects.clone(), stop.clone())),
        ]
    }

    fn membership_agent(&self, socket: UdpSocket) -> MembershipAgent {
        let seeds = SeedSources::new(self.settings.seeds.clone())
            .with_list(self.host_list.clone())
            .with_store(self.kv.clone());
        MembershipAgent::new(
            self.membership.clone(),
            socket,
            self.settings.peer_secret.clone(),
            seeds,
            self.peers.clone(),
            self.counters.clone(),
            self.decisions.clone(),
        )
    }
}

/// Keeps this host's share of the caps up to date until `stop`, and hands the share over then.
async fn run_division(caps: Arc<CapKeeper>, incarnation: u64, stop: CancellationToken) {
    if let Some(reconciler) = DivisionReconciler::new(caps, incarnation) {
        reconciler.run(stop).await;
    }
}

/// Follows the requests that may crash upstreams until `stop`.
async fn run_suspects(suspects: Arc<SuspectKeeper>, stop: CancellationToken) {
    suspects.run(stop).await;
}

fn own_host(settings: &Settings) -> PeerHost {
    PeerHost {
        id: settings.host.clone(),
        incarnation: crate::clock::unix_millis(),
        data_centre: settings.data_centre.clone(),
        caller_address: settings.advertise,
        peer_address: settings.peer_advertise,
        state: HostState::Live,
        revision: Revision(0),
        has_disk: settings.data_dir.is_some(),
    }
}

/// Returns a peer message handler that passes a clone of `component` to each call of `answer`.
fn bind_handler<S, M, F>(
    component: Arc<S>,
    answer: impl Fn(Arc<S>, HostId, M) -> F,
) -> impl Fn(HostId, M) -> F {
    move |from, message| answer(component.clone(), from, message)
}
