//! Requesting side: chooses an engine, requests a ticket from its admitting host and renews it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::Rng;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::admission::load_table::EngineCandidate;
use crate::admission::load_table::LoadTable;
use crate::admission::message::AdmissionReply;
use crate::admission::message::AdmissionRequest;
use crate::admission::message::HeldTicket;
use crate::admission::message::LoadSnapshot;
use crate::admission::message::TicketDenial;
use crate::admission::message::TicketId;
use crate::admission::message::TicketMeasure;
use crate::admission::message::TicketOutcome;
use crate::admission::message::TicketRequest;
use crate::admission::prefix_index::PrefixIndex;
use crate::admission::registry::PreemptionOrder;
use crate::admission::registry::SchedulerRegistry;
use crate::admission::ticket::AdmissionTicket;
use crate::admission::ticket::TicketIssuer;
use crate::admission::ticket::WorkDescriptor;
use crate::collections::HashMap;
use crate::counters::CounterEvent;
use crate::counters::CounterSet;
use crate::counters::RefusalReason;
use crate::counters::RetryReason;
use crate::decisions::DecisionKind;
use crate::decisions::DecisionRing;
use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::ids::UpstreamId;
use crate::ids::WorkClass;
use crate::membership::HostView;
use crate::membership::Membership;
use crate::membership::PeerHost;
use crate::membership::rendezvous_score;
use crate::peers::PeerClient;
use crate::refusal::Refusal;
use crate::upstreams::Upstream;
use crate::upstreams::UpstreamTable;

/// Timeout of a ticket request; after it, this host admits the request itself.
const TICKET_REQUEST_TIMEOUT: Duration = Duration::from_millis(150);
/// Longest time that an admitting host delays its reply to an `Await` call.
const LONG_POLL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time beyond `LONG_POLL_TIMEOUT` until an `Await` call times out.
const LONG_POLL_GRACE: Duration = Duration::from_millis(300);
const RENEW_TIMEOUT: Duration = Duration::from_millis(400);
const RENEW_INTERVAL: Duration = Duration::from_millis(250);
const SCHEDULER_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the cache events of each engine are read.
const CACHE_EVENTS_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which no tickets are requested from a host that did not answer a call.
const UNRESPONSIVE_TTL: Duration = Duration::from_secs(1);
/// Number of engines that are too full for an online request before it is refused.
const MAX_FULL_ENGINES: usize = 3;
/// Highest number of engines that are tried for an online request before it is refused.
const MAX_ONLINE_ATTEMPTS: usize = 12;
/// Mean time that a batch request waits in the queue of one engine before another choice is made.
const MEAN_BATCH_WAIT: Duration = Duration::from_secs(1);
/// Shortest pause after the denial of a batch request; the longest is three times as long.
const MIN_BATCH_PAUSE: Duration = Duration::from_millis(50);
/// One engine in this many takes requests that run alone, so that the others are not disturbed.
const ALONE_DIVISOR: usize = 3;
const MAX_ALONE_ENGINES: usize = 4;
/// Rendezvous key by which all hosts choose the same engines for requests that run alone.
const ALONE_KEY: &str = "alone";
/// Retry delay if no upstream has the model loaded.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(1);

/// Dependencies of an [`AdmissionController`].
pub struct AdmissionDependencies {
    /// Identifier of this host, under which it requests tickets.
    pub host: HostId,
    /// Live entry hosts, among which the admitting host of an engine is chosen.
    pub membership: Arc<Membership>,
    /// Connections to the other entry hosts, for admission calls.
    pub links: PeerClient,
    /// Known upstreams, their state and their load reports.
    pub table: Arc<UpstreamTable>,
    /// Counters for dispatches, preemptions and failed calls.
    pub counters: Arc<CounterSet>,
    /// Log of recent decisions, in which each dispatch is recorded.
    pub decisions: Arc<DecisionRing>,
}

/// A ticket that this host holds or has requested.
struct TicketEntry {
    engine: UpstreamId,
    class: WorkClass,
    preempted: CancellationToken,
    /// Whether the ticket is granted; only granted tickets are renewed.
    granted: bool,
    /// Whether this host admitted the request itself, as the admitting host did not answer.
    fallback: bool,
}

/// Obtains tickets for the requests of this host, and schedules the engines whose admitting host it
/// is.
pub struct AdmissionController {
    dependencies: AdmissionDependencies,
    /// Schedulers of the engines whose admitting host is this one.
    schedulers: SchedulerRegistry,
    /// Schedulers of engines whose admitting host does not answer.
    fallback_schedulers: SchedulerRegistry,
    preemptions: Mutex<mpsc::UnboundedReceiver<PreemptionOrder>>,
    load_table: Mutex<LoadTable>,
    prefix_index: Mutex<PrefixIndex>,
    tickets: Mutex<HashMap<TicketId, TicketEntry>>,
    /// Hosts that did not answer a call, and until when no tickets are requested from them.
    unresponsive: Mutex<HashMap<HostId, Instant>>,
    next_ticket: AtomicU64,
}

/// Denial of a ticket, with the time after which to retry.
#[derive(Clone, Copy)]
struct DeniedTicket {
    denial: TicketDenial,
    retry_after: Duration,
}

impl AdmissionController {
    /// Returns a controller for the upstreams in `dependencies`; [`Self::run`] must run beside it.
    pub fn new(dependencies: AdmissionDependencies) -> Arc<Self> {
        let (sender, preemptions) = mpsc::unbounded_channel();
        let schedulers = SchedulerRegistry::new(sender.clone(), dependencies.counters.clone());
        let fallback_schedulers = SchedulerRegistry::new(sender, dependencies.counters.clone());
        Arc::new(Self {
            schedulers,
            fallback_schedulers,
            preemptions: Mutex::new(preemptions),
            load_table: Mutex::default(),
            prefix_index: Mutex::default(),
            tickets: Mutex::default(),
            unresponsive: Mutex::default(),
            // A random start keeps admitting hosts from taking the tickets of an earlier run of
            // this host for those of this run.
            next_ticket: AtomicU64::new(rand::random()),
            dependencies,
        })
    }

    /// Waits for a ticket to run a request on some upstream. On refusal, nothing ran on any
    /// upstream.
    ///
    /// An online request is refused at once if it is estimated to miss its deadline. A batch
    /// request waits until its deadline.
    pub async fn admit(
        self: &Arc<Self>,
        descriptor: WorkDescriptor,
    ) -> Result<AdmissionTicket, Refusal> {
        match descriptor.class {
            WorkClass::Online => self.admit_online(&descriptor).await,
            WorkClass::Batch => self.admit_batch(&descriptor).await,
        }
    }

    async fn admit_online(
        self: &Arc<Self>,
        descriptor: &WorkDescriptor,
    ) -> Result<AdmissionTicket, Refusal> {
        let mut tried: Vec<UpstreamId> = Vec::new();
        let mut last = None;
        let mut reserved = None;
        let mut full_engines = 0;
        while full_engines < MAX_FULL_ENGINES && tried.len() < MAX_ONLINE_ATTEMPTS {
            check_deadline(descriptor)?;
            let Some(target) = self.choose(descriptor, &tried) else {
                break;
            };
            let denied = match self.request_ticket(descriptor, &target, false).await {
                Ok(ticket) => return Ok(ticket),
                Err(denied) => denied,
            };
            tried.push(target.id.clone());
            last = Some(denied);
            match denied.denial {
                TicketDenial::Expired => return Err(overloaded(descriptor, &denied)),
                TicketDenial::Reserved => {
                    reserved.get_or_insert(target);
                }
                TicketDenial::QueueFull | TicketDenial::TooLate => full_engines += 1,
                // Does not count as full: the state of this engine says nothing about the others.
                TicketDenial::NotServing => {}
            }
        }
        if let Some(target) = reserved {
            // No other engine takes the request, so that it queues at the reserved one.
            check_deadline(descriptor)?;
            match self.request_ticket(descriptor, &target, true).await {
                Ok(ticket) => return Ok(ticket),
                Err(denied) => last = Some(denied),
            }
        }
        match last {
            Some(denied) => Err(overloaded(descriptor, &denied)),
            None => Err(no_upstream(descriptor)),
        }
    }

    async fn admit_batch(
        self: &Arc<Self>,
        descriptor: &WorkDescriptor,
    ) -> Result<AdmissionTicket, Refusal> {
        loop {
            check_deadline(descriptor)?;
            let Some(target) = self.choose(descriptor, &[]) else {
                tokio::time::sleep(NO_UPSTREAM_RETRY).await;
                continue;
            };
            match self.request_ticket(descriptor, &target, false).await {
                Ok(ticket) => return Ok(ticket),
                Err(denied) if denied.denial == TicketDenial::Expired => {}
                Err(_) => {
                    let jitter = rand::rng().random_range(1.0..3.0);
                    tokio::time::sleep(MIN_BATCH_PAUSE.mul_f64(jitter)).await;
                }
            }
        }
    }

    /// Load of the engines that this host admits to, by its own counts.
    pub(crate) fn load_snapshots(&self) -> Vec<(UpstreamId, LoadSnapshot)> {
        self.schedulers.snapshots()
    }

    /// Handles an admission call from the host `from`.
    pub async fn answer(&self, from: HostId, request: AdmissionRequest) -> AdmissionReply {
        match request {
            AdmissionRequest::Admit(ticket_request)
                if self.dependencies.table.is_leaving(&ticket_request.engine) =>
            {
                AdmissionReply::Denied {
                    denial: TicketDenial::NotServing,
                    retry_after: Duration::ZERO,
                    snapshot: self.schedulers.snapshot(&ticket_request.engine),
                }
            }
            AdmissionRequest::Admit(ticket_request) => {
                self.schedulers.admit(from, &ticket_request, 1)
            }
            AdmissionRequest::Await { ticket, engine } => {
                self.schedulers
                    .wait(from, ticket, &engine, LONG_POLL_TIMEOUT)
                    .await
            }
            AdmissionRequest::Release {
                ticket,
                engine,
                measure,
            } => AdmissionReply::Released(self.schedulers.release(from, ticket, &engine, measure)),
            AdmissionRequest::Renew { held, engines } => {
                self.schedulers.renew(&from, &held, &engines)
            }
            AdmissionRequest::Yield(tickets) => {
                self.preempt_tickets(&tickets);
                AdmissionReply::Yielding
            }
        }
    }

    /// Runs the background tasks until `stop`: renews tickets, delivers preemption orders, expires
    /// tickets and queued requests, and reads cache events.
    pub async fn run(self: &Arc<Self>, stop: CancellationToken) {
        tokio::select! {
            () = self.run_preemptions() => {}
            () = self.run_schedulers() => {}
            () = self.run_renewals() => {}
            () = self.run_cache_events() => {}
            () = stop.cancelled() => {}
        }
    }

    async fn run_preemptions(self: &Arc<Self>) {
        loop {
            let order = std::future::poll_fn(|context| {
                let mut preemptions = self.preemptions.lock().expect("preemption orders lock");
                preemptions.poll_recv(context)
            });
            let Some(order) = order.await else {
                return;
            };
            if order.holder == self.dependencies.host {
                self.preempt_tickets(&[order.ticket]);
                continue;
            }
            let view = self.dependencies.membership.view();
            let holder = view.hosts.iter().find(|host| host.id == order.holder);
            if let Some(address) = holder.map(|host| host.peer_address) {
                let controller = self.clone();
                let request = AdmissionRequest::Yield(vec![order.ticket]);
                // If the order is lost, the reply to the holder's next renewal repeats it.
                tokio::spawn(async move { controller.call(address, request, RENEW_TIMEOUT).await });
            }
        }
    }

    async fn run_schedulers(&self) {
        let mut ticks = tokio::time::interval(SCHEDULER_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let view = self.dependencies.membership.view();
            let live = |host: &HostId| view.hosts.iter().any(|known| known.id == *host);
            for schedulers in [&self.schedulers, &self.fallback_schedulers] {
                let table = &self.dependencies.table;
                schedulers.tick(live, |engine| {
                    table.is_leaving(engine) || table.is_down(engine)
                });
                schedulers.record_reports(|engine| self.dependencies.table.take_report(engine));
            }
        }
    }

    async fn run_renewals(self: &Arc<Self>) {
        let mut ticks = tokio::time::interval(RENEW_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.renew().await;
        }
    }

    async fn run_cache_events(&self) {
        let mut ticks = tokio::time::interval(CACHE_EVENTS_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let view = self.dependencies.membership.view();
            let engines = self.dependencies.table.engines();
            let is_own = |engine: &&Upstream| {
                let owner = self.owner_of(&view, &engine.id, &engine.data_centre);
                owner.is_some_and(|owner| owner.id == self.dependencies.host)
            };
            let reads = engines
                .iter()
                .filter(is_own)
                .map(|engine| self.read_cache_events(engine));
            futures_util::future::join_all(reads).await;
            self.lock_prefix_index()
                .retain(|id| engines.iter().any(|engine| engine.id == *id));
        }
    }

    async fn read_cache_events(&self, engine: &Upstream) {
        let from = self.lock_prefix_index().next_event(&engine.id);
        if let Some(events) = self.dependencies.table.cache_events(engine, from).await {
            self.lock_prefix_index().apply_events(&engine.id, &events);
        }
    }

    /// Renews all tickets of this host and updates its view of the load of all engines.
    async fn renew(self: &Arc<Self>) {
        let view = self.dependencies.membership.view();
        let engines = self.dependencies.table.engines();
        let mut renewals: HashMap<HostId, RenewalBatch> = HashMap::default();
        for engine in engines.iter() {
            if let Some(owner) = self.owner_of(&view, &engine.id, &engine.data_centre) {
                let renewal = renewals.entry(owner.id.clone()).or_default();
                renewal.address = Some(owner.peer_address);
                renewal.engines.push(engine.id.clone());
            }
        }
        for held in self.held_tickets(|_| true) {
            let data_centre = self.dependencies.table.data_centre_of(&held.engine);
            let owner = data_centre.and_then(|centre| self.owner_of(&view, &held.engine, &centre));
            if let Some(owner) = owner {
                let renewal = renewals.entry(owner.id.clone()).or_default();
                renewal.address = Some(owner.peer_address);
                renewal.held.push(held);
            }
        }
        let fallback_tickets = self.held_tickets(|entry| entry.fallback);
        self.fallback_schedulers
            .renew(&self.dependencies.host, &fallback_tickets, &[]);
        self.lock_load_table()
            .retain(|id| engines.iter().any(|engine| engine.id == *id));
        let calls = renewals
            .into_iter()
            .map(|(owner, renewal)| self.send_renewal(owner, renewal));
        futures_util::future::join_all(calls).await;
    }

    async fn send_renewal(self: &Arc<Self>, owner: HostId, renewal: RenewalBatch) {
        let RenewalBatch {
            address,
            held,
            engines,
        } = renewal;
        let reply = if owner == self.dependencies.host {
            self.schedulers.renew(&owner, &held, &engines)
        } else {
            let Some(address) = address else {
                return;
            };
            let request = AdmissionRequest::Renew { held, engines };
            match self.call(address, request, RENEW_TIMEOUT).await {
                Some(reply) => reply,
                None => {
                    self.mark_unresponsive(&owner);
                    return;
                }
            }
        };
        self.lock_unresponsive().remove(&owner);
        if let AdmissionReply::Renewed { yields, snapshots } = reply {
            self.preempt_tickets(&yields);
            let now = Instant::now();
            let mut load_table = self.lock_load_table();
            for (engine, snapshot) in snapshots {
                load_table.update(&engine, snapshot, now);
            }
        }
    }

    fn choose(&self, descriptor: &WorkDescriptor, tried: &[UpstreamId]) -> Option<Upstream> {
        let engines = self.dependencies.table.engines_for(&descriptor.model);
        let eligible = |exclude: &[UpstreamId]| -> Vec<&Upstream> {
            engines
                .iter()
                .filter(|engine| !exclude.contains(&engine.id) && !tried.contains(&engine.id))
                .collect()
        };
        let mut targets = eligible(&descriptor.exclude);
        if targets.is_empty() {
            // With no other engine left, retries one on which the request has failed.
            targets = eligible(&[]);
        }
        if let Some(number) = descriptor.alone {
            return choose_alone(targets, number);
        }
        let prefix_index = self.lock_prefix_index();
        let candidates: Vec<EngineCandidate> = targets
            .iter()
            .map(|engine| EngineCandidate {
                id: engine.id.clone(),
                report: engine.load.clone(),
                new_blocks: descriptor.prefixes.len()
                    - prefix_index.cached_blocks(&engine.id, &descriptor.prefixes),
            })
            .collect();
        drop(prefix_index);
        let now = Instant::now();
        let mut load_table = self.lock_load_table();
        let position = load_table.choose(&candidates, descriptor.class, now)?;
        load_table.record_request(&candidates[position], descriptor.class, now);
        Some(targets[position].clone())
    }

    /// Requests a ticket from the admitting host of `target` and waits in its queue. With
    /// `queue_if_reserved`, the request also queues while the engine is reserved for requests that
    /// run alone.
    async fn request_ticket(
        self: &Arc<Self>,
        descriptor: &WorkDescriptor,
        target: &Upstream,
        queue_if_reserved: bool,
    ) -> Result<AdmissionTicket, DeniedTicket> {
        let id = TicketId(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let view = self.dependencies.membership.view();
        let issuer = self.issuer_of(&view, target);
        // The ticket exists before the reply, so that dropping this future withdraws the request.
        let mut ticket = self.new_ticket(id, descriptor.class, target, issuer);
        let now = Instant::now();
        let remaining = descriptor.deadline.saturating_duration_since(now);
        let ticket_request = TicketRequest {
            ticket: id,
            engine: target.id.clone(),
            workspace: descriptor.workspace.clone(),
            class: descriptor.class,
            tokens: descriptor.tokens,
            alone: descriptor.alone.is_some(),
            queue_if_reserved,
            remaining,
            max_wait: match descriptor.class {
                WorkClass::Online => remaining,
                WorkClass::Batch => MEAN_BATCH_WAIT.mul_f64(rand::rng().random_range(0.5..1.5)),
            },
        };
        let mut reply = self.first_reply(&mut ticket, &ticket_request, &view).await;
        while let AdmissionReply::Queued(snapshot) = reply {
            self.update_load(&target.id, snapshot);
            reply = self.next_reply(&mut ticket, &ticket_request, &view).await;
        }
        match reply {
            AdmissionReply::Granted(snapshot) => {
                if let Some(entry) = self.lock_tickets().get_mut(&id) {
                    entry.granted = true;
                }
                self.update_load(&target.id, snapshot);
                self.record_dispatch(descriptor, &ticket, snapshot);
                self.lock_prefix_index()
                    .record_prompt(&target.id, &descriptor.prefixes);
                Ok(ticket)
            }
            AdmissionReply::Denied {
                denial,
                retry_after,
                snapshot,
            } => {
                self.update_load(&target.id, snapshot);
                ticket.issuer = TicketIssuer::Denied;
                Err(DeniedTicket {
                    denial,
                    retry_after,
                })
            }
            _ => Err(DeniedTicket {
                denial: TicketDenial::NotServing,
                retry_after: Duration::ZERO,
            }),
        }
    }

    async fn first_reply(
        self: &Arc<Self>,
        ticket: &mut AdmissionTicket,
        ticket_request: &TicketRequest,
        view: &HostView,
    ) -> AdmissionReply {
        match ticket.issuer.clone() {
            TicketIssuer::Local => {
                self.schedulers
                    .admit(self.dependencies.host.clone(), ticket_request, 1)
            }
            TicketIssuer::Peer(owner, address) => {
                let request = AdmissionRequest::Admit(ticket_request.clone());
                match self.call(address, request, TICKET_REQUEST_TIMEOUT).await {
                    Some(reply) => reply,
                    None => {
                        self.mark_unresponsive(&owner);
                        self.fall_back(ticket, ticket_request, view)
                    }
                }
            }
            TicketIssuer::Fallback | TicketIssuer::Denied => {
                self.fall_back(ticket, ticket_request, view)
            }
        }
    }

    async fn next_reply(
        self: &Arc<Self>,
        ticket: &mut AdmissionTicket,
        ticket_request: &TicketRequest,
        view: &HostView,
    ) -> AdmissionReply {
        let host = self.dependencies.host.clone();
        match ticket.issuer.clone() {
            TicketIssuer::Local => {
                let wait = self.schedulers.wait(
                    host,
                    ticket_request.ticket,
                    &ticket_request.engine,
                    LONG_POLL_TIMEOUT,
                );
                wait.await
            }
            TicketIssuer::Peer(owner, address) => {
                let request = AdmissionRequest::Await {
                    ticket: ticket_request.ticket,
                    engine: ticket_request.engine.clone(),
                };
                let timeout = LONG_POLL_TIMEOUT + LONG_POLL_GRACE;
                match self.call(address, request, timeout).await {
                    Some(reply) => reply,
                    None => {
                        self.mark_unresponsive(&owner);
                        self.fall_back(ticket, ticket_request, view)
                    }
                }
            }
            TicketIssuer::Fallback | TicketIssuer::Denied => {
                let wait = self.fallback_schedulers.wait(
                    host,
                    ticket_request.ticket,
                    &ticket_request.engine,
                    LONG_POLL_TIMEOUT,
                );
                wait.await
            }
        }
    }

    /// Admits without the admitting host, within this host's part of the engine's limit.
    fn fall_back(
        &self,
        ticket: &mut AdmissionTicket,
        ticket_request: &TicketRequest,
        view: &HostView,
    ) -> AdmissionReply {
        ticket.issuer = TicketIssuer::Fallback;
        if let Some(entry) = self.lock_tickets().get_mut(&ticket_request.ticket) {
            entry.fallback = true;
        }
        self.dependencies
            .counters
            .event(CounterEvent::AdmittedWithoutOwner);
        let admitting_hosts = view.hosts.len() as u32;
        self.fallback_schedulers.admit(
            self.dependencies.host.clone(),
            ticket_request,
            admitting_hosts,
        )
    }

    fn new_ticket(
        self: &Arc<Self>,
        id: TicketId,
        class: WorkClass,
        target: &Upstream,
        issuer: TicketIssuer,
    ) -> AdmissionTicket {
        let preempted = CancellationToken::new();
        let entry = TicketEntry {
            engine: target.id.clone(),
            class,
            preempted: preempted.clone(),
            granted: false,
            fallback: false,
        };
        self.lock_tickets().insert(id, entry);
        AdmissionTicket {
            upstream: target.id.clone(),
            address: target.address,
            preempted,
            id,
            issuer,
            data_centre: target.data_centre.clone(),
            measure: TicketMeasure::new(TicketOutcome::Abandoned),
            controller: self.clone(),
        }
    }

    /// Releases a dropped ticket, or withdraws its request, at the host that schedules the engine.
    pub(crate) fn release_ticket(self: &Arc<Self>, ticket: &AdmissionTicket) {
        self.lock_tickets().remove(&ticket.id);
        let measure = ticket.measure;
        self.dependencies
            .table
            .note_outcome(&ticket.upstream, measure.outcome);
        let host = self.dependencies.host.clone();
        match ticket.issuer {
            TicketIssuer::Denied => return,
            TicketIssuer::Fallback => {
                self.fallback_schedulers
                    .release(host, ticket.id, &ticket.upstream, measure);
                return;
            }
            TicketIssuer::Local | TicketIssuer::Peer(..) => {}
        }
        // The admitting host may have changed since the grant; the new one learned of the ticket by
        // a renewal.
        let view = self.dependencies.membership.view();
        let owner = self.owner_of(&view, &ticket.upstream, &ticket.data_centre);
        let Some(owner) = owner.filter(|owner| owner.id != host) else {
            let snapshot = self
                .schedulers
                .release(host, ticket.id, &ticket.upstream, measure);
            self.update_load(&ticket.upstream, snapshot);
            return;
        };
        let address = owner.peer_address;
        let engine = ticket.upstream.clone();
        let request = AdmissionRequest::Release {
            ticket: ticket.id,
            engine: engine.clone(),
            measure,
        };
        let controller = self.clone();
        tokio::spawn(async move {
            // If the release is lost, the ticket expires, because renewals no longer list it.
            let reply = controller.call(address, request, RENEW_TIMEOUT).await;
            if let Some(AdmissionReply::Released(snapshot)) = reply {
                controller.update_load(&engine, snapshot);
            }
        });
    }

    fn preempt_tickets(&self, tickets: &[TicketId]) {
        let held = self.lock_tickets();
        for entry in tickets.iter().filter_map(|ticket| held.get(ticket)) {
            if entry.class == WorkClass::Batch && !entry.preempted.is_cancelled() {
                entry.preempted.cancel();
                self.dependencies
                    .counters
                    .event(CounterEvent::BatchPreempted);
            }
        }
    }

    /// Granted tickets for which `wanted` is true. Queued requests are not renewed, as `Await`
    /// calls follow them.
    fn held_tickets(&self, wanted: impl Fn(&TicketEntry) -> bool) -> Vec<HeldTicket> {
        let held = self.lock_tickets();
        held.iter()
            .filter(|(_, entry)| entry.granted && wanted(entry))
            .map(|(ticket, entry)| HeldTicket {
                ticket: *ticket,
                engine: entry.engine.clone(),
                class: entry.class,
            })
            .collect()
    }

    fn issuer_of(&self, view: &HostView, target: &Upstream) -> TicketIssuer {
        match self.owner_of(view, &target.id, &target.data_centre) {
            Some(owner) if owner.id == self.dependencies.host => TicketIssuer::Local,
            Some(owner) if self.is_unresponsive(&owner.id) => TicketIssuer::Fallback,
            Some(owner) => TicketIssuer::Peer(owner.id.clone(), owner.peer_address),
            None => TicketIssuer::Local,
        }
    }

    /// Admitting host of `engine`, by rendezvous hashing: a host of its data centre, or of any if
    /// that data centre has no host.
    fn owner_of<'a>(
        &self,
        view: &'a HostView,
        engine: &UpstreamId,
        data_centre: &DataCentre,
    ) -> Option<&'a PeerHost> {
        let near = view
            .assignable_hosts()
            .filter(|host| host.data_centre == *data_centre)
            .max_by_key(|host| rendezvous_score(host.id.as_str(), engine.as_str()));
        near.or_else(|| view.owner_of(engine.as_str()))
    }

    async fn call(
        &self,
        address: SocketAddr,
        request: AdmissionRequest,
        timeout: Duration,
    ) -> Option<AdmissionReply> {
        match self
            .dependencies
            .links
            .call(address, request, timeout)
            .await
        {
            Ok(reply) => Some(reply),
            Err(_) => {
                self.dependencies.counters.retry(RetryReason::PeerFailed);
                None
            }
        }
    }

    fn record_dispatch(
        &self,
        descriptor: &WorkDescriptor,
        ticket: &AdmissionTicket,
        snapshot: LoadSnapshot,
    ) {
        self.dependencies.counters.event(CounterEvent::Dispatched);
        let subjects = [descriptor.request.as_str(), ticket.upstream.as_str()];
        let LoadSnapshot {
            limit,
            online,
            batch,
            ..
        } = snapshot;
        let detail = format!(
            "{} to {}: {online} online and {batch} batch of {limit} run",
            descriptor.class, ticket.upstream
        );
        let kind = DecisionKind::Routed;
        self.dependencies.decisions.record(kind, &subjects, detail);
    }

    fn update_load(&self, engine: &UpstreamId, snapshot: LoadSnapshot) {
        self.lock_load_table()
            .update(engine, snapshot, Instant::now());
    }

    fn mark_unresponsive(&self, host: &HostId) {
        let until = Instant::now() + UNRESPONSIVE_TTL;
        self.lock_unresponsive().insert(host.clone(), until);
    }

    fn is_unresponsive(&self, host: &HostId) -> bool {
        let unresponsive = self.lock_unresponsive();
        unresponsive
            .get(host)
            .is_some_and(|until| *until > Instant::now())
    }

    fn lock_load_table(&self) -> std::sync::MutexGuard<'_, LoadTable> {
        self.load_table.lock().expect("load table lock")
    }

    fn lock_prefix_index(&self) -> std::sync::MutexGuard<'_, PrefixIndex> {
        self.prefix_index.lock().expect("prefix index lock")
    }

    fn lock_tickets(&self) -> std::sync::MutexGuard<'_, HashMap<TicketId, TicketEntry>> {
        self.tickets.lock().expect("tickets lock")
    }

    fn lock_unresponsive(&self) -> std::sync::MutexGuard<'_, HashMap<HostId, Instant>> {
        self.unresponsive.lock().expect("unresponsive hosts lock")
    }
}

/// Tickets and engines for one renewal call to one admitting host.
#[derive(Default)]
struct RenewalBatch {
    address: Option<SocketAddr>,
    held: Vec<HeldTicket>,
    engines: Vec<UpstreamId>,
}

fn check_deadline(descriptor: &WorkDescriptor) -> Result<(), Refusal> {
    if descriptor.deadline > Instant::now() {
        return Ok(());
    }
    let message = "the deadline passed before the request was sent to an upstream";
    Err(Refusal::new(RefusalReason::DeadlinePassed, message))
}

fn no_upstream(descriptor: &WorkDescriptor) -> Refusal {
    let message = format!("no upstream has model {:?} loaded", descriptor.model);
    Refusal::new(RefusalReason::NoUpstream, message).with_retry_after(NO_UPSTREAM_RETRY)
}

fn overloaded(descriptor: &WorkDescriptor, denied: &DeniedTicket) -> Refusal {
    let denial = denied.denial;
    if denial == TicketDenial::Expired && descriptor.deadline <= Instant::now() {
        let message = "the deadline passed in the queue";
        return Refusal::new(RefusalReason::DeadlinePassed, message);
    }
    // Without jitter, callers that were denied together would also retry together.
    let jitter = rand::rng().random_range(1.0..1.5);
    let message = format!("the fleet is overloaded ({denial})");
    Refusal::new(RefusalReason::Overloaded, message)
        .with_retry_after(denied.retry_after.mul_f64(jitter))
}

/// Engine for a request that runs alone: one of a few on which all hosts agree, so that the other
/// engines are not disturbed.
fn choose_alone(mut targets: Vec<&Upstream>, number: u64) -> Option<Upstream> {
    let count = (targets.len() / ALONE_DIVISOR).clamp(1, MAX_ALONE_ENGINES);
    targets.sort_by_key(|target| {
        let score = rendezvous_score(target.id.as_str(), ALONE_KEY);
        std::cmp::Reverse(score)
    });
    targets.truncate(count);
    let position = (number % count as u64) as usize;
    targets.get(position).map(|target| (*target).clone())
}
