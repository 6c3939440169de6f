//! An entry host: all slices wired together in one process.

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

/// Time in which all hosts learn that one is stopping.
/// Bodies of the largest size that may be read at once.
const BODIES_AT_ONCE: usize = 4;
const LIST_SPREAD: Duration = Duration::from_secs(1);
/// Longest time for which duties are waited for after they were told to stop.
const DUTY_STOP_LIMIT: Duration = Duration::from_secs(5);
/// Free ports that are tried for TCP and UDP together.
/// Requests that may be read, or wait for their first answer, at once.
const MAX_PENDING_REQUESTS: usize = 10_000;
const PENDING_RETRY: Duration = Duration::from_secs(1);
const BIND_ATTEMPTS: u32 = 16;

/// Why a host could not start.
#[derive(Debug)]
pub enum StartError {
    /// An address could not be bound.
    Bind(SocketAddr, std::io::Error),
    /// The statsd client could not be created.
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

/// A running entry host.
pub struct EntryHost {
    address: SocketAddr,
    peer_address: SocketAddr,
    stop_serving: ServerShutdown,
    open: InFlightRequests,
    membership: Arc<Membership>,
    entries_ttl: Duration,
    stop_duties: CancellationToken,
    server: JoinHandle<()>,
    duties: Vec<JoinHandle<()>>,
    batch: Arc<BatchCoordinator>,
    drain_deadline: Duration,
}

impl EntryHost {
    /// Binds the addresses of `settings` and starts all slices.
    pub async fn start(settings: Settings) -> Result<Self, StartError> {
        let listener = bind(settings.listen).await?;
        let (peer_listener, peer_socket) = bind_peer(settings.peer_listen).await?;
        let address = listener.local_addr().unwrap_or(settings.listen);
        let peer_address = peer_listener.local_addr().unwrap_or(settings.peer_listen);
        let settings = Arc::new(advertise_bound(settings, address, peer_address));
        let mut counters = CounterSet::new();
        if let Some(statsd) = settings.statsd {
            counters = counters.with_statsd(statsd).map_err(StartError::Statsd)?;
        }
        let drain_deadline = settings.drain_deadline;
        let entries_ttl = settings.entries_ttl;
        let slices = HostSlices::new(settings, Arc::new(counters));
        let stop_serving = ServerShutdown::default();
        let open = InFlightRequests::default();
        let membership = slices.membership.clone();
        let stop_duties = CancellationToken::new();
        let batch = slices.batch.clone();
        let mut duties = slices.spawn_duties(peer_listener, peer_socket, &stop_duties);
        duties.extend(slices.spawn_placement(&stop_duties));
        let handle = slices.request_handler();
        let serving = server::serve(
            listener,
            ServerConfig::default,
            stop_serving.clone(),
            open.clone(),
            handle,
        );
        let server = tokio::spawn(serving);
        Ok(Self {
            address,
            peer_address,
            stop_serving,
            open,
            membership,
            entries_ttl,
            stop_duties,
            server,
            duties,
            batch,
            drain_deadline,
        })
    }

    /// Address on which callers are served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Address for other entry hosts, over TCP and UDP.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Requests whose answers are not complete.
    pub fn in_flight_requests(&self) -> InFlightRequests {
        self.open.clone()
    }

    /// Stops as planned: leaves the lists of entry hosts, serves on while callers may keep them,
    /// hands duties over and finishes open requests.
    ///
    /// Returns how many requests were cut off at the deadline.
    pub async fn drain(self) -> usize {
        let deadline = Instant::now() + self.drain_deadline;
        self.membership.set_draining();
        self.stop_serving.draining.cancel();
        let move_callers = async {
            if self.membership.has_assignable_peers() {
                // Half of the time stays for what is open then.
                let kept = self.entries_ttl + LIST_SPREAD;
                tokio::time::sleep(kept.min(self.drain_deadline / 2)).await;
            }
            self.stop_serving.closing.cancel();
            let _ = self.server.await;
        };
        // What is left of the time is for handing over items that do not end.
        let batch_deadline = self.drain_deadline * 3 / 4;
        let finish = async {
            tokio::join!(move_callers, self.batch.drain(batch_deadline));
        };
        let _ = tokio::time::timeout_at(deadline, finish).await;
        let cut = self.open.count();
        self.stop_duties.cancel();
        let duties = futures_util::future::join_all(self.duties);
        let _ = tokio::time::timeout(DUTY_STOP_LIMIT, duties).await;
        cut
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|err| StartError::Bind(address, err))
}

/// Binds TCP and UDP to one address; a free port is chosen where `address` has none.
async fn bind_peer(address: SocketAddr) -> Result<(TcpListener, UdpSocket), StartError> {
    let mut attempt = 0;
    loop {
        attempt += 1;
        let listener = bind(address).await?;
        let bound = listener.local_addr().unwrap_or(address);
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((listener, socket)),
            // Another process has the UDP port that was chosen for TCP.
            Err(_) if address.port() == 0 && attempt < BIND_ATTEMPTS => {}
            Err(err) => return Err(StartError::Bind(bound, err)),
        }
    }
}

/// Announces the ports that were bound where the settings leave them open.
fn advertise_bound(mut settings: Settings, caller: SocketAddr, peer: SocketAddr) -> Settings {
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

fn too_many_requests() -> Refusal {
    let message = "the host has too many requests that wait for their first answer";
    Refusal::new(RefusalReason::Overloaded, message).with_retry_after(PENDING_RETRY)
}

/// The slices of one host.
struct HostSlices {
    settings: Arc<Settings>,
    counters: Arc<CounterSet>,
    decisions: Arc<DecisionRing>,
    kv: Arc<dyn KvStore>,
    list: Arc<dyn HostList>,
    engine: Arc<dyn ModelEngine>,
    meter: Arc<DemandMeter>,
    terms: Arc<ActiveTerms>,
    membership: Arc<Membership>,
    peers: PeerClient,
    upstreams: Arc<UpstreamTable>,
    desk: Arc<AdmissionController>,
    caps: Arc<CapKeeper>,
    suspects: Arc<SuspectKeeper>,
    claims: Arc<ClaimKeeper>,
    /// Number of this start of the host; membership's incarnation also grows by refutations.
    start: u64,
    runner: Arc<InferenceRunner>,
    batch: Arc<BatchCoordinator>,
    client: HttpClient,
}

impl HostSlices {
    fn new(settings: Arc<Settings>, counters: Arc<CounterSet>) -> Self {
        let client = HttpClient::new();
        let decisions = Arc::new(DecisionRing::new(settings.host.clone()));
        let kv: Arc<dyn KvStore> =
            Arc::new(HttpKv::new(HttpClient::new(), settings.kv_urls.clone()));
        let list: Arc<dyn HostList> = Arc::new(HttpHostList::new(
            HttpClient::new(),
            settings.host_list_url.clone(),
        ));
        let engine: Arc<dyn ModelEngine> = Arc::new(HttpEngine::new(client.clone()));
        let terms = ActiveTerms::new(kv.clone(), counters.clone(), decisions.clone())
            .with_bootstrap_operator(settings.operator_key_digest.clone());
        let terms = Arc::new(terms);
        let upstreams = Arc::new(UpstreamTable::new(
            settings.host.clone(),
            settings.data_centre.clone(),
            list.clone(),
            engine.clone(),
            counters.clone(),
            decisions.clone(),
        ));
        let own = own_host(&settings);
        let start = own.incarnation;
        let membership = Arc::new(Membership::new(own));
        let peers = PeerClient::new(settings.host.clone(), settings.peer_secret.clone());
        let desk = AdmissionController::new(AdmissionDependencies {
            host: settings.host.clone(),
            membership: membership.clone(),
            links: peers.clone(),
            table: upstreams.clone(),
            counters: counters.clone(),
            decisions: decisions.clone(),
        });
        let fleet = CapDependencies {
            host: settings.host.clone(),
            membership: membership.clone(),
            peers: peers.clone(),
            kv: kv.clone(),
            terms: terms.clone(),
            counters: counters.clone(),
            decisions: decisions.clone(),
        };
        let caps = CapKeeper::with_fleet(fleet, start);
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
            desk.clone(),
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
            list,
            terms,
            engine,
            meter,
            membership,
            peers,
            batch,
            upstreams,
            desk,
            caps,
            suspects,
            claims,
            start,
            runner,
            client,
            settings,
            counters,
            decisions,
        }
    }

    /// Answers all requests; sheds those beyond the limit of pending ones.
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
                    let refusal = too_many_requests();
                    counters.refusal(refusal.reason);
                    refusal_reply(&refusal)
                })
            })
        }
    }

    fn apis(&self) -> (Arc<CallerApi>, Arc<AdminApi>) {
        let batch = BatchService::new(self.batch.clone());
        let largest = self.settings.max_body_bytes;
        let bodies = BodyReader::new(largest, largest * BODIES_AT_ONCE);
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
            admission: self.desk.clone(),
            caps: self.caps.clone(),
        }
    }

    /// Starts placement, where a weight store is known.
    fn spawn_placement(&self, stop: &CancellationToken) -> Option<JoinHandle<()>> {
        let url = self.settings.weight_store_url.clone()?;
        let controller = PlacementController::new(PlacementDependencies {
            host: self.settings.host.clone(),
            data_centre: self.settings.data_centre.clone(),
            engines_fence: self.settings.upstreams_fence,
            kv: self.kv.clone(),
            list: self.list.clone(),
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

    fn spawn_duties(
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
        let admission = self.desk.clone();
        let stops: [CancellationToken; 4] = std::array::from_fn(|_| stop.clone());
        let [table_stop, desk_stop, batch_stop, peer_stop] = stops;
        let mut duties = self.spawn_fleet_duties(peer_socket, stop);
        duties.extend([
            tokio::spawn(async move { upstreams.run(table_stop).await }),
            tokio::spawn(async move { admission.run(desk_stop).await }),
            tokio::spawn(async move { batch.run(batch_stop).await }),
            tokio::spawn(server.run(peer_stop, handlers)),
        ]);
        duties
    }

    /// What other entry hosts may ask.
    fn peer_handlers(&self) -> PeerHandlers {
        let (decisions, meter) = (self.decisions.clone(), self.meter.clone());
        let (terms, reporter) = (self.terms.clone(), self.reporter());
        let (membership, batch) = (self.membership.clone(), self.batch.clone());
        PeerHandlers::new()
            .with::<AdmissionRequest, _, _>(answering(
                self.desk.clone(),
                |desk, from, request| async move { desk.answer(from, request).await },
            ))
            .with::<CapsRequest, _, _>(answering(
                self.caps.clone(),
                |caps, _, request| async move { caps.answer(request).await },
            ))
            .with::<ClaimRequest, _, _>(answering(
                self.claims.clone(),
                |claims, _, request| async move { claims.serve(request).await },
            ))
            .with::<SuspectUpdate, _, _>(answering(
                self.suspects.clone(),
                |suspects, _, news| async move {
                    suspects.apply_update(&news);
                },
            ))
            .with(move |_, call: ExplainCall| ready(decisions.about(&call.subject)))
            .with(move |_, _: DemandCall| ready(meter.demand()))
            .with(move |_, _: StatusCall| ready(reporter.report()))
            .with(move |_, _: MembershipCall| ready(membership.state()))
            .with(move |from, request: BatchRequest| ready(batch.handle_request(&from, request)))
            .with(move |_, call: TermsCall| ready(terms.update_since(call.known)))
    }

    /// Membership and what it carries.
    fn spawn_fleet_duties(
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
            tokio::spawn(hold_caps(self.caps.clone(), self.start, stop.clone())),
            tokio::spawn(learn_suspects(self.suspects.clone(), stop.clone())),
        ]
    }

    fn membership_agent(&self, socket: UdpSocket) -> MembershipAgent {
        let seeds = SeedSources::new(self.settings.seeds.clone())
            .with_list(self.list.clone())
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

/// Keeps this host's part of the caps until `stop`, and hands it over then.
async fn hold_caps(caps: Arc<CapKeeper>, start: u64, stop: CancellationToken) {
    if let Some(duty) = DivisionReconciler::new(caps, start) {
        duty.run(stop).await;
    }
}

/// Learns of requests that crash upstreams until `stop`.
async fn learn_suspects(suspects: Arc<SuspectKeeper>, stop: CancellationToken) {
    suspects.run(stop).await;
}

fn own_host(settings: &Settings) -> PeerHost {
    PeerHost {
        id: settings.host.clone(),
        incarnation: crate::decisions::unix_millis(),
        data_centre: settings.data_centre.clone(),
        caller_address: settings.advertise,
        peer_address: settings.peer_advertise,
        state: HostState::Live,
        revision: Revision(0),
        has_disk: settings.data_dir.is_some(),
    }
}

/// A handler that gets a share of `slice` with each call.
fn answering<S, M, F>(
    slice: Arc<S>,
    answer: impl Fn(Arc<S>, HostId, M) -> F,
) -> impl Fn(HostId, M) -> F {
    move |from, message| answer(slice.clone(), from, message)
}
