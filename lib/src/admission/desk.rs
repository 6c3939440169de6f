//! The asking side: chooses an engine, asks its admitting host for a ticket and renews it.

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

use crate::admission::book::EngineCandidate;
use crate::admission::book::LoadTable;
use crate::admission::keeper::PreemptionOrder;
use crate::admission::keeper::SchedulerRegistry;
use crate::admission::message::AdmissionReply;
use crate::admission::message::AdmissionRequest;
use crate::admission::message::HeldTicket;
use crate::admission::message::LoadSnapshot;
use crate::admission::message::TicketDenial;
use crate::admission::message::TicketId;
use crate::admission::message::TicketMeasure;
use crate::admission::message::TicketOutcome;
use crate::admission::message::TicketRequest;
use crate::admission::prefixes::PrefixIndex;
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

/// An admitting host that does not answer an ask within this time is not waited for.
const ASK_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for which one call waits in an admitting host's queue.
const AWAIT_ROUND: Duration = Duration::from_millis(500);
const AWAIT_GRACE: Duration = Duration::from_millis(300);
const RENEW_TIMEOUT: Duration = Duration::from_millis(400);
const RENEW_INTERVAL: Duration = Duration::from_millis(250);
const GATE_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two reads of the cache events of an engine.
const EVENTS_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a host that did not answer is not asked.
const SILENT_TTL: Duration = Duration::from_secs(1);
/// Engines that are too full for online work before it is refused.
const MAX_FULL_ENGINES: usize = 3;
/// Engines that online work asks before it is refused.
const MAX_ONLINE_ASKS: usize = 12;
/// Time that batch work waits at one engine before it chooses again.
const BATCH_PATIENCE: Duration = Duration::from_secs(1);
const BATCH_PAUSE: Duration = Duration::from_millis(50);
/// One engine in so many takes work that runs alone.
const ALONE_DIVISOR: usize = 3;
const MAX_ALONE_ENGINES: usize = 4;
const ALONE_KEY: &str = "alone";
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(1);

/// What an [`AdmissionController`] needs of the other slices.
pub struct AdmissionDependencies {
    /// Name of this host.
    pub host: HostId,
    /// The live hosts.
    pub membership: Arc<Membership>,
    /// Connections to the other hosts.
    pub links: PeerClient,
    /// The upstreams.
    pub table: Arc<UpstreamTable>,
    /// Counters of this host.
    pub counters: Arc<CounterSet>,
    /// Decisions of this host.
    pub decisions: Arc<DecisionRing>,
}

struct TicketEntry {
    engine: UpstreamId,
    class: WorkClass,
    preempted: CancellationToken,
    granted: bool,
    /// Whether this host admitted it on its own account.
    fallback: bool,
}

/// Decides about admission on this host, and admits to the engines that it owns.
pub struct AdmissionController {
    parts: AdmissionDependencies,
    keeper: SchedulerRegistry,
    /// Gates of engines whose admitting host does not answer.
    fallback: SchedulerRegistry,
    yields: Mutex<mpsc::UnboundedReceiver<PreemptionOrder>>,
    book: Mutex<LoadTable>,
    prefixes: Mutex<PrefixIndex>,
    held: Mutex<HashMap<TicketId, TicketEntry>>,
    silent: Mutex<HashMap<HostId, Instant>>,
    next_ticket: AtomicU64,
}

/// A ticket that was not granted.
#[derive(Clone, Copy)]
struct DeniedTicket {
    denial: TicketDenial,
    retry_after: Duration,
}

impl AdmissionController {
    /// Returns a desk that admits to the upstreams of `parts`.
    pub fn new(parts: AdmissionDependencies) -> Arc<Self> {
        let (sender, yields) = mpsc::unbounded_channel();
        let keeper = SchedulerRegistry::new(sender.clone(), parts.counters.clone());
        let fallback = SchedulerRegistry::new(sender, parts.counters.clone());
        Arc::new(Self {
            keeper,
            fallback,
            yields: Mutex::new(yields),
            book: Mutex::default(),
            prefixes: Mutex::default(),
            held: Mutex::default(),
            silent: Mutex::default(),
            // Numbers of an earlier run of this host must not be taken for this one's.
            next_ticket: AtomicU64::new(rand::random()),
            parts,
        })
    }

    /// Waits for a place on an upstream, or refuses. Nothing has run when it refuses.
    ///
    /// Online work is refused early if its answer would be late. Batch work waits until its
    /// deadline.
    pub async fn admit(self: &Arc<Self>, ask: WorkDescriptor) -> Result<AdmissionTicket, Refusal> {
        match ask.class {
            WorkClass::Online => self.admit_online(&ask).await,
            WorkClass::Batch => self.admit_batch(&ask).await,
        }
    }

    async fn admit_online(
        self: &Arc<Self>,
        ask: &WorkDescriptor,
    ) -> Result<AdmissionTicket, Refusal> {
        let mut denied: Vec<UpstreamId> = Vec::new();
        let mut last = None;
        let mut reserved = None;
        let mut full = 0;
        while full < MAX_FULL_ENGINES && denied.len() < MAX_ONLINE_ASKS {
            check_deadline(ask)?;
            let Some(target) = self.choose(ask, &denied) else {
                break;
            };
            let refused = match self.ask_for(ask, &target, false).await {
                Ok(ticket) => return Ok(ticket),
                Err(refused) => refused,
            };
            denied.push(target.id.clone());
            last = Some(refused);
            match refused.denial {
                TicketDenial::Expired => return Err(overloaded(ask, &refused)),
                TicketDenial::Reserved => {
                    reserved.get_or_insert(target);
                }
                TicketDenial::QueueFull | TicketDenial::TooLate => full += 1,
                // Says nothing of the load elsewhere.
                TicketDenial::NotServing => {}
            }
        }
        if let Some(target) = reserved {
            // No other engine takes the work.
            check_deadline(ask)?;
            match self.ask_for(ask, &target, true).await {
                Ok(ticket) => return Ok(ticket),
                Err(refused) => last = Some(refused),
            }
        }
        match last {
            Some(refused) => Err(overloaded(ask, &refused)),
            None => Err(no_upstream(ask)),
        }
    }

    async fn admit_batch(
        self: &Arc<Self>,
        ask: &WorkDescriptor,
    ) -> Result<AdmissionTicket, Refusal> {
        loop {
            check_deadline(ask)?;
            let Some(target) = self.choose(ask, &[]) else {
                tokio::time::sleep(NO_UPSTREAM_RETRY).await;
                continue;
            };
            match self.ask_for(ask, &target, false).await {
                Ok(ticket) => return Ok(ticket),
                Err(refused) if refused.denial == TicketDenial::Expired => {}
                Err(_) => {
                    let jitter = rand::rng().random_range(1.0..3.0);
                    tokio::time::sleep(BATCH_PAUSE.mul_f64(jitter)).await;
                }
            }
        }
    }

    /// Admitted and waiting work of the engines that this host admits to.
    pub(crate) fn digests(&self) -> Vec<(UpstreamId, LoadSnapshot)> {
        self.keeper.digests()
    }

    /// Answers a call of another host.
    pub async fn answer(&self, from: HostId, request: AdmissionRequest) -> AdmissionReply {
        match request {
            AdmissionRequest::Admit(ask) if self.parts.table.is_leaving(&ask.engine) => {
                AdmissionReply::Denied {
                    denial: TicketDenial::NotServing,
                    retry_after: Duration::ZERO,
                    digest: self.keeper.digest(&ask.engine),
                }
            }
            AdmissionRequest::Admit(ask) => self.keeper.admit(from, &ask, 1),
            AdmissionRequest::Await { ticket, engine } => {
                self.keeper.wait(from, ticket, &engine, AWAIT_ROUND).await
            }
            AdmissionRequest::Release {
                ticket,
                engine,
                measure,
            } => AdmissionReply::Released(self.keeper.release(from, ticket, &engine, measure)),
            AdmissionRequest::Renew { held, engines } => self.keeper.renew(&from, &held, &engines),
            AdmissionRequest::Yield(tickets) => {
                self.yield_held(&tickets);
                AdmissionReply::Yielding
            }
        }
    }

    /// Renews tickets, passes on orders to yield and lets asks expire, until `stop`.
    pub async fn run(self: &Arc<Self>, stop: CancellationToken) {
        tokio::select! {
            () = self.run_yields() => {}
            () = self.run_gates() => {}
            () = self.run_renewals() => {}
            () = self.run_cache_events() => {}
            () = stop.cancelled() => {}
        }
    }

    async fn run_yields(self: &Arc<Self>) {
        loop {
            let order = std::future::poll_fn(|context| {
                let mut yields = self.yields.lock().expect("yield orders lock");
                yields.poll_recv(context)
            });
            let Some(order) = order.await else {
                return;
            };
            if order.holder == self.parts.host {
                self.yield_held(&[order.ticket]);
                continue;
            }
            let view = self.parts.membership.view();
            let holder = view.hosts.iter().find(|host| host.id == order.holder);
            if let Some(address) = holder.map(|host| host.peer_address) {
                let desk = self.clone();
                let request = AdmissionRequest::Yield(vec![order.ticket]);
                // A lost order is repeated by the answer to the holder's next renewal.
                tokio::spawn(async move { desk.call(address, request, RENEW_TIMEOUT).await });
            }
        }
    }

    async fn run_gates(&self) {
        let mut ticks = tokio::time::interval(GATE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let view = self.parts.membership.view();
            let live = |host: &HostId| view.hosts.iter().any(|known| known.id == *host);
            for keeper in [&self.keeper, &self.fallback] {
                let table = &self.parts.table;
                keeper.tick(live, |engine| {
                    table.is_leaving(engine) || table.is_down(engine)
                });
                keeper.note_reports(|engine| self.parts.table.take_report(engine));
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
        let mut ticks = tokio::time::interval(EVENTS_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let view = self.parts.membership.view();
            let engines = self.parts.table.engines();
            let is_own = |engine: &&Upstream| {
                let owner = self.owner_of(&view, &engine.id, &engine.data_centre);
                owner.is_some_and(|owner| owner.id == self.parts.host)
            };
            let reads = engines
                .iter()
                .filter(is_own)
                .map(|engine| self.read_cache_events(engine));
            futures_util::future::join_all(reads).await;
            self.prefixes_lock()
                .retain(|id| engines.iter().any(|engine| engine.id == *id));
        }
    }

    async fn read_cache_events(&self, engine: &Upstream) {
        let from = self.prefixes_lock().next_event(&engine.id);
        if let Some(events) = self.parts.table.cache_events(engine, from).await {
            self.prefixes_lock().note_events(&engine.id, &events);
        }
    }

    /// Renews all tickets and learns the load of all engines that this host uses.
    async fn renew(self: &Arc<Self>) {
        let view = self.parts.membership.view();
        let engines = self.parts.table.engines();
        let mut rounds: HashMap<HostId, RenewalBatch> = HashMap::default();
        for engine in engines.iter() {
            if let Some(owner) = self.owner_of(&view, &engine.id, &engine.data_centre) {
                let round = rounds.entry(owner.id.clone()).or_default();
                round.address = Some(owner.peer_address);
                round.engines.push(engine.id.clone());
            }
        }
        for held in self.held_tickets(|_| true) {
            let data_centre = self.parts.table.data_centre_of(&held.engine);
            let owner = data_centre.and_then(|centre| self.owner_of(&view, &held.engine, &centre));
            if let Some(owner) = owner {
                let round = rounds.entry(owner.id.clone()).or_default();
                round.address = Some(owner.peer_address);
                round.held.push(held);
            }
        }
        let own = self.held_tickets(|entry| entry.fallback);
        self.fallback.renew(&self.parts.host, &own, &[]);
        self.book_lock()
            .retain(|id| engines.iter().any(|engine| engine.id == *id));
        let calls = rounds
            .into_iter()
            .map(|(owner, round)| self.renew_at(owner, round));
        futures_util::future::join_all(calls).await;
    }

    async fn renew_at(self: &Arc<Self>, owner: HostId, round: RenewalBatch) {
        let RenewalBatch {
            address,
            held,
            engines,
        } = round;
        let reply = if owner == self.parts.host {
            self.keeper.renew(&owner, &held, &engines)
        } else {
            let Some(address) = address else {
                return;
            };
            let request = AdmissionRequest::Renew { held, engines };
            match self.call(address, request, RENEW_TIMEOUT).await {
                Some(reply) => reply,
                None => {
                    self.note_silent(&owner);
                    return;
                }
            }
        };
        self.silent_lock().remove(&owner);
        if let AdmissionReply::Renewed { yields, digests } = reply {
            self.yield_held(&yields);
            let now = Instant::now();
            let mut book = self.book_lock();
            for (engine, digest) in digests {
                book.note(&engine, digest, now);
            }
        }
    }

    fn choose(&self, ask: &WorkDescriptor, denied: &[UpstreamId]) -> Option<Upstream> {
        let engines = self.parts.table.engines_for(&ask.model);
        let open = |exclude: &[UpstreamId]| -> Vec<&Upstream> {
            engines
                .iter()
                .filter(|engine| !exclude.contains(&engine.id) && !denied.contains(&engine.id))
                .collect()
        };
        let mut targets = open(&ask.exclude);
        if targets.is_empty() {
            // An engine that failed the request once is better than none.
            targets = open(&[]);
        }
        if let Some(number) = ask.alone {
            return choose_alone(targets, number);
        }
        let prefixes = self.prefixes_lock();
        let candidates: Vec<EngineCandidate> = targets
            .iter()
            .map(|engine| EngineCandidate {
                id: engine.id.clone(),
                report: engine.load.clone(),
                new_blocks: ask.prefixes.len() - prefixes.cached_blocks(&engine.id, &ask.prefixes),
            })
            .collect();
        drop(prefixes);
        let now = Instant::now();
        let mut book = self.book_lock();
        let position = book.choose(&candidates, ask.class, now)?;
        book.note_ask(&candidates[position], ask.class, now);
        Some(targets[position].clone())
    }

    /// Asks the admitting host of `target` for a ticket and waits in its queue. With `behind_alone`
    /// the work also waits while the engine is kept for work that runs alone.
    async fn ask_for(
        self: &Arc<Self>,
        ask: &WorkDescriptor,
        target: &Upstream,
        behind_alone: bool,
    ) -> Result<AdmissionTicket, DeniedTicket> {
        let id = TicketId(self.next_ticket.fetch_add(1, Ordering::Relaxed));
        let view = self.parts.membership.view();
        let source = self.source_of(&view, target);
        // The ticket exists before the answer, so that leaving early withdraws the ask.
        let mut ticket = self.new_ticket(id, ask.class, target, source);
        let now = Instant::now();
        let remaining = ask.deadline.saturating_duration_since(now);
        let wire = TicketRequest {
            ticket: id,
            engine: target.id.clone(),
            workspace: ask.workspace.clone(),
            class: ask.class,
            tokens: ask.tokens,
            alone: ask.alone.is_some(),
            behind_alone,
            remaining,
            patience: match ask.class {
                WorkClass::Online => remaining,
                WorkClass::Batch => BATCH_PATIENCE.mul_f64(rand::rng().random_range(0.5..1.5)),
            },
        };
        let mut reply = self.first_answer(&mut ticket, &wire, &view).await;
        while let AdmissionReply::Queued(digest) = reply {
            self.note_digest(&target.id, digest);
            reply = self.next_answer(&mut ticket, &wire, &view).await;
        }
        match reply {
            AdmissionReply::Granted(digest) => {
                if let Some(entry) = self.held_lock().get_mut(&id) {
                    entry.granted = true;
                }
                self.note_digest(&target.id, digest);
                self.note_granted(ask, &ticket, digest);
                self.prefixes_lock().note_sent(&target.id, &ask.prefixes);
                Ok(ticket)
            }
            AdmissionReply::Denied {
                denial,
                retry_after,
                digest,
            } => {
                self.note_digest(&target.id, digest);
                ticket.source = TicketIssuer::Denied;
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

    async fn first_answer(
        self: &Arc<Self>,
        ticket: &mut AdmissionTicket,
        ask: &TicketRequest,
        view: &HostView,
    ) -> AdmissionReply {
        match ticket.source.clone() {
            TicketIssuer::Own => self.keeper.admit(self.parts.host.clone(), ask, 1),
            TicketIssuer::Peer(owner, address) => {
                let request = AdmissionRequest::Admit(ask.clone());
                match self.call(address, request, ASK_TIMEOUT).await {
                    Some(reply) => reply,
                    None => {
                        self.note_silent(&owner);
                        self.fall_back(ticket, ask, view)
                    }
                }
            }
            TicketIssuer::Fallback | TicketIssuer::Denied => self.fall_back(ticket, ask, view),
        }
    }

    async fn next_answer(
        self: &Arc<Self>,
        ticket: &mut AdmissionTicket,
        ask: &TicketRequest,
        view: &HostView,
    ) -> AdmissionReply {
        let host = self.parts.host.clone();
        match ticket.source.clone() {
            TicketIssuer::Own => {
                let wait = self.keeper.wait(host, ask.ticket, &ask.engine, AWAIT_ROUND);
                wait.await
            }
            TicketIssuer::Peer(owner, address) => {
                let request = AdmissionRequest::Await {
                    ticket: ask.ticket,
                    engine: ask.engine.clone(),
                };
                let timeout = AWAIT_ROUND + AWAIT_GRACE;
                match self.call(address, request, timeout).await {
                    Some(reply) => reply,
                    None => {
                        self.note_silent(&owner);
                        self.fall_back(ticket, ask, view)
                    }
                }
            }
            TicketIssuer::Fallback | TicketIssuer::Denied => {
                let wait = self
                    .fallback
                    .wait(host, ask.ticket, &ask.engine, AWAIT_ROUND);
                wait.await
            }
        }
    }

    /// Admits on this host's own account, with its part of the engine's limit.
    fn fall_back(
        &self,
        ticket: &mut AdmissionTicket,
        ask: &TicketRequest,
        view: &HostView,
    ) -> AdmissionReply {
        ticket.source = TicketIssuer::Fallback;
        if let Some(entry) = self.held_lock().get_mut(&ask.ticket) {
            entry.fallback = true;
        }
        self.parts
            .counters
            .event(CounterEvent::AdmittedWithoutOwner);
        let share = view.hosts.len() as u32;
        self.fallback.admit(self.parts.host.clone(), ask, share)
    }

    fn new_ticket(
        self: &Arc<Self>,
        id: TicketId,
        class: WorkClass,
        target: &Upstream,
        source: TicketIssuer,
    ) -> AdmissionTicket {
        let preempted = CancellationToken::new();
        let entry = TicketEntry {
            engine: target.id.clone(),
            class,
            preempted: preempted.clone(),
            granted: false,
            fallback: false,
        };
        self.held_lock().insert(id, entry);
        AdmissionTicket {
            upstream: target.id.clone(),
            address: target.address,
            preempted,
            id,
            source,
            data_centre: target.data_centre.clone(),
            measure: TicketMeasure::new(TicketOutcome::Abandoned),
            desk: self.clone(),
        }
    }

    /// Frees the place of a ticket that is dropped.
    pub(crate) fn give_back(self: &Arc<Self>, ticket: &AdmissionTicket) {
        self.held_lock().remove(&ticket.id);
        let measure = ticket.measure;
        self.parts
            .table
            .note_outcome(&ticket.upstream, measure.outcome);
        let host = self.parts.host.clone();
        match ticket.source {
            TicketIssuer::Denied => return,
            TicketIssuer::Fallback => {
                self.fallback
                    .release(host, ticket.id, &ticket.upstream, measure);
                return;
            }
            TicketIssuer::Own | TicketIssuer::Peer(..) => {}
        }
        // The owner may have changed since; renewals told the new one of the ticket.
        let view = self.parts.membership.view();
        let owner = self.owner_of(&view, &ticket.upstream, &ticket.data_centre);
        let Some(owner) = owner.filter(|owner| owner.id != host) else {
            let digest = self
                .keeper
                .release(host, ticket.id, &ticket.upstream, measure);
            self.note_digest(&ticket.upstream, digest);
            return;
        };
        let address = owner.peer_address;
        let engine = ticket.upstream.clone();
        let request = AdmissionRequest::Release {
            ticket: ticket.id,
            engine: engine.clone(),
            measure,
        };
        let desk = self.clone();
        tokio::spawn(async move {
            // A lost release is made good by renewals, which no longer list the ticket.
            let reply = desk.call(address, request, RENEW_TIMEOUT).await;
            if let Some(AdmissionReply::Released(digest)) = reply {
                desk.note_digest(&engine, digest);
            }
        });
    }

    fn yield_held(&self, tickets: &[TicketId]) {
        let held = self.held_lock();
        for entry in tickets.iter().filter_map(|ticket| held.get(ticket)) {
            if entry.class == WorkClass::Batch && !entry.preempted.is_cancelled() {
                entry.preempted.cancel();
                self.parts.counters.event(CounterEvent::BatchPreempted);
            }
        }
    }

    /// Granted tickets that are `wanted`; asks that wait are not renewed, but awaited.
    fn held_tickets(&self, wanted: impl Fn(&TicketEntry) -> bool) -> Vec<HeldTicket> {
        let held = self.held_lock();
        held.iter()
            .filter(|(_, entry)| entry.granted && wanted(entry))
            .map(|(ticket, entry)| HeldTicket {
                ticket: *ticket,
                engine: entry.engine.clone(),
                class: entry.class,
            })
            .collect()
    }

    fn source_of(&self, view: &HostView, target: &Upstream) -> TicketIssuer {
        match self.owner_of(view, &target.id, &target.data_centre) {
            Some(owner) if owner.id == self.parts.host => TicketIssuer::Own,
            Some(owner) if self.is_silent(&owner.id) => TicketIssuer::Fallback,
            Some(owner) => TicketIssuer::Peer(owner.id.clone(), owner.peer_address),
            None => TicketIssuer::Own,
        }
    }

    /// Host that admits to `engine`: one of its data centre, or any if there is none.
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
        match self.parts.links.call(address, request, timeout).await {
            Ok(reply) => Some(reply),
            Err(_) => {
                self.parts.counters.retry(RetryReason::PeerFailed);
                None
            }
        }
    }

    fn note_granted(&self, ask: &WorkDescriptor, ticket: &AdmissionTicket, digest: LoadSnapshot) {
        self.parts.counters.event(CounterEvent::Dispatched);
        let subjects = [ask.request.as_str(), ticket.upstream.as_str()];
        let LoadSnapshot {
            limit,
            online,
            batch,
            ..
        } = digest;
        let detail = format!(
            "{} to {}: {online} online and {batch} batch of {limit} run",
            ask.class, ticket.upstream
        );
        let kind = DecisionKind::Routed;
        self.parts.decisions.record(kind, &subjects, detail);
    }

    fn note_digest(&self, engine: &UpstreamId, digest: LoadSnapshot) {
        self.book_lock().note(engine, digest, Instant::now());
    }

    fn note_silent(&self, host: &HostId) {
        let until = Instant::now() + SILENT_TTL;
        self.silent_lock().insert(host.clone(), until);
    }

    fn is_silent(&self, host: &HostId) -> bool {
        let silent = self.silent_lock();
        silent
            .get(host)
            .is_some_and(|until| *until > Instant::now())
    }

    fn book_lock(&self) -> std::sync::MutexGuard<'_, LoadTable> {
        self.book.lock().expect("digest book lock")
    }

    fn prefixes_lock(&self) -> std::sync::MutexGuard<'_, PrefixIndex> {
        self.prefixes.lock().expect("prefix memory lock")
    }

    fn held_lock(&self) -> std::sync::MutexGuard<'_, HashMap<TicketId, TicketEntry>> {
        self.held.lock().expect("held tickets lock")
    }

    fn silent_lock(&self) -> std::sync::MutexGuard<'_, HashMap<HostId, Instant>> {
        self.silent.lock().expect("silent hosts lock")
    }
}

/// Renewal to one admitting host.
#[derive(Default)]
struct RenewalBatch {
    address: Option<SocketAddr>,
    held: Vec<HeldTicket>,
    engines: Vec<UpstreamId>,
}

fn check_deadline(ask: &WorkDescriptor) -> Result<(), Refusal> {
    if ask.deadline > Instant::now() {
        return Ok(());
    }
    let message = "the deadline passed before the request was sent to an upstream";
    Err(Refusal::new(RefusalReason::DeadlinePassed, message))
}

fn no_upstream(ask: &WorkDescriptor) -> Refusal {
    let message = format!("no upstream has model {:?} loaded", ask.model);
    Refusal::new(RefusalReason::NoUpstream, message).with_retry_after(NO_UPSTREAM_RETRY)
}

fn overloaded(ask: &WorkDescriptor, refused: &DeniedTicket) -> Refusal {
    let denial = refused.denial;
    if denial == TicketDenial::Expired && ask.deadline <= Instant::now() {
        let message = "the deadline passed in the queue";
        return Refusal::new(RefusalReason::DeadlinePassed, message);
    }
    // Callers that come back at the same time would be refused at the same time.
    let jitter = rand::rng().random_range(1.0..1.5);
    let message = format!("the fleet is overloaded ({denial})");
    Refusal::new(RefusalReason::Overloaded, message)
        .with_retry_after(refused.retry_after.mul_f64(jitter))
}

/// Engine for work that runs alone: one of a few that all hosts agree on, so that the others are
/// not disturbed.
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
