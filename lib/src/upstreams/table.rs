//! Table of all listed upstreams, and the subset of engines that this host uses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::Rng;
use slab::Slab;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::admission::TicketOutcome;
use crate::collections::HashMap;
use crate::counters::CounterEvent;
use crate::counters::CounterSet;
use crate::counters::RetryReason;
use crate::decisions::DecisionKind;
use crate::decisions::DecisionRing;
use crate::edges::engine::CacheEvents;
use crate::edges::engine::EngineLoadReport;
use crate::edges::engine::ModelEngine;
use crate::edges::host_list::HostList;
use crate::edges::host_list::ListedHost;
use crate::edges::host_list::ListedRole;
use crate::edges::host_list::ListedState;
use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::ids::ModelName;
use crate::ids::ServiceName;
use crate::ids::UpstreamId;
use crate::membership::rendezvous_score;
use crate::upstreams::health::EJECTED_DIVISOR;
use crate::upstreams::health::HealthChange;
use crate::upstreams::health::UpstreamHealth;

const LIST_INTERVAL: Duration = Duration::from_millis(500);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest number of engines that a host uses, those of its own data centre first; bounds the load
/// reports that it has to poll.
const MAX_ENGINES: usize = 64;

/// Index of an upstream in this host's arena. It differs between hosts, and may be reused after the
/// upstream was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamKey(pub(crate) u32);

/// An upstream with its listed state and last load report.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Identifier of the upstream in the list of the platform.
    pub id: UpstreamId,
    /// Address at which the upstream accepts requests.
    pub address: SocketAddr,
    /// Data centre in which the upstream runs.
    pub data_centre: DataCentre,
    /// Whether the upstream is an engine or a plain service.
    pub role: ListedRole,
    /// State of the upstream in the list of the platform.
    pub listed: ListedState,
    /// Last load report of an engine; `None` before the first one and once the engine counts as
    /// dead.
    pub load: Option<EngineLoadReport>,
}

impl Upstream {
    /// Whether the list has the upstream as live, so that it may get new work.
    pub fn takes_work(&self) -> bool {
        self.listed == ListedState::Live
    }

    /// Whether the upstream is an engine that has `model` loaded, by its last load report.
    pub fn serves_model(&self, model: &ModelName) -> bool {
        let load = self.load.as_ref();
        load.is_some_and(|load| load.models.contains(model))
    }

    /// Whether the upstream runs the plain service `name`.
    pub fn serves_service(&self, name: &ServiceName) -> bool {
        self.role == ListedRole::Service(name.clone())
    }
}

pub(crate) struct ArenaEntry {
    pub(crate) upstream: Upstream,
    pub(crate) health: UpstreamHealth,
    /// When the upstream last crashed. Load reports that were asked for before tell nothing of it since.
    crashed_at: Option<Instant>,
    /// Whether [`UpstreamTable::take_report`] has not returned the last load report yet.
    has_new_report: bool,
}

/// A request for the load report of an upstream.
pub(crate) struct LoadPoll {
    pub(crate) id: UpstreamId,
    pub(crate) address: SocketAddr,
    pub(crate) sent_at: Instant,
}

#[derive(Default)]
pub(crate) struct UpstreamArena {
    entries: Slab<ArenaEntry>,
    by_id: HashMap<UpstreamId, UpstreamKey>,
}

/// The engines that this host uses, and those that serve each model. Replaced as a whole when the
/// table changes.
#[derive(Default)]
struct EngineSnapshot {
    engines: Arc<[Upstream]>,
    by_model: HashMap<ModelName, Arc<[Upstream]>>,
}

/// Table of upstreams, kept up to date by [`UpstreamTable::run`].
pub struct UpstreamTable {
    host: HostId,
    data_centre: DataCentre,
    arena: Mutex<UpstreamArena>,
    snapshot: Mutex<EngineSnapshot>,
    list: Arc<dyn HostList>,
    engine: Arc<dyn ModelEngine>,
    counters: Arc<CounterSet>,
    decisions: Arc<DecisionRing>,
}

impl UpstreamTable {
    /// Creates an empty table for `host` in `data_centre`.
    pub fn new(
        host: HostId,
        data_centre: DataCentre,
        list: Arc<dyn HostList>,
        engine: Arc<dyn ModelEngine>,
        counters: Arc<CounterSet>,
        decisions: Arc<DecisionRing>,
    ) -> Self {
        Self {
            host,
            data_centre,
            arena: Mutex::default(),
            snapshot: Mutex::default(),
            list,
            engine,
            counters,
            decisions,
        }
    }

    /// All listed upstreams with their keys.
    pub fn all(&self) -> Vec<(UpstreamKey, Upstream)> {
        let arena = self.arena_lock();
        let entries = arena.entries.iter();
        entries
            .map(|(index, entry)| (UpstreamKey(index as u32), entry.upstream.clone()))
            .collect()
    }

    /// The upstream behind `key`, if it is still listed.
    pub fn get(&self, key: UpstreamKey) -> Option<Upstream> {
        let arena = self.arena_lock();
        let entry = arena.entries.get(key.0 as usize);
        entry.map(|entry| entry.upstream.clone())
    }

    /// The at most 64 engines that this host uses, ejected and dead ones included.
    pub fn engines(&self) -> Arc<[Upstream]> {
        self.snapshot_lock().engines.clone()
    }

    /// Engines of [`UpstreamTable::engines`] that accept new work, are not ejected and have `model`
    /// loaded. An engine in its slow start is left out at random.
    pub fn engines_for(&self, model: &ModelName) -> Arc<[Upstream]> {
        let snapshot = self.snapshot_lock();
        snapshot.by_model.get(model).cloned().unwrap_or_default()
    }

    /// Whether the list of the platform has the upstream `id` as leaving.
    pub fn is_leaving(&self, id: &UpstreamId) -> bool {
        let arena = self.arena_lock();
        let entry = arena.find_entry(id);
        entry.is_some_and(|entry| entry.upstream.listed == ListedState::Leaving)
    }

    /// Whether the upstream `id` crashed or has stopped reporting its load.
    pub(crate) fn is_down(&self, id: &UpstreamId) -> bool {
        let arena = self.arena_lock();
        let entry = arena.find_entry(id);
        entry.is_some_and(|entry| entry.health.is_dead())
    }

    /// Data centre of the upstream `id`; `None` if it is not listed.
    pub(crate) fn data_centre_of(&self, id: &UpstreamId) -> Option<DataCentre> {
        let arena = self.arena_lock();
        arena
            .find_entry(id)
            .map(|entry| entry.upstream.data_centre.clone())
    }

    /// Returns the newest load report of the upstream `id`, once; `None` until the next one
    /// arrives.
    pub(crate) fn take_report(&self, id: &UpstreamId) -> Option<EngineLoadReport> {
        let mut arena = self.arena_lock();
        let key = *arena.by_id.get(id)?;
        let entry = arena.entries.get_mut(key.0 as usize)?;
        match std::mem::take(&mut entry.has_new_report) {
            true => entry.upstream.load.clone(),
            false => None,
        }
    }

    /// Reads the cache events of `engine` from the sequence number `from`; `None` if the engine
    /// fails or does not answer within [`REPORT_TIMEOUT`].
    pub(crate) async fn cache_events(&self, engine: &Upstream, from: u64) -> Option<CacheEvents> {
        let events = self.engine.cache_events(engine.address, from);
        let events = tokio::time::timeout(REPORT_TIMEOUT, events).await;
        events.ok().and_then(Result::ok)
    }

    /// Records how work at the upstream `id` ended, which may eject it.
    pub fn note_outcome(&self, id: &UpstreamId, outcome: TicketOutcome) {
        let now = Instant::now();
        let mut arena = self.arena_lock();
        let may_eject = arena.may_eject();
        let Some(entry) = arena.find_entry_mut(id) else {
            return;
        };
        let change = match outcome {
            TicketOutcome::Complete => {
                entry.health.note_success(now);
                None
            }
            TicketOutcome::Failed => entry.health.note_failure(may_eject, now),
            TicketOutcome::Yielded | TicketOutcome::Abandoned => None,
        };
        drop(arena);
        if let Some(change) = change {
            self.note_change(id, change);
            self.rebuild();
        }
    }

    /// Records that the upstream `id` seems to have crashed: it gets no work until it reports its
    /// load again.
    pub fn note_crash(&self, id: &UpstreamId) {
        let mut arena = self.arena_lock();
        if !arena.note_crash(id, Instant::now()) {
            return;
        }
        drop(arena);
        self.rebuild();
    }

    /// Reads the list of the platform and polls the load reports until `stop` is cancelled.
    pub async fn run(&self, stop: CancellationToken) {
        tokio::select! {
            () = self.run_list() => {}
            () = self.run_reports() => {}
            () = stop.cancelled() => {}
        }
    }

    async fn run_list(&self) {
        let mut ticks = tokio::time::interval(LIST_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            match self.list.read().await {
                Ok(hosts) => self.apply_listing(hosts),
                Err(_) => self.counters.retry(RetryReason::ConnectFailed),
            }
        }
    }

    async fn run_reports(&self) {
        let mut ticks = tokio::time::interval(REPORT_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.poll_loads().await;
            self.end_ejections();
        }
    }

    /// Applies a listing of the platform: removes upstreams that it lacks, and adds or updates the
    /// others.
    fn apply_listing(&self, hosts: Vec<ListedHost>) {
        let mut arena = self.arena_lock();
        let listed: HashMap<UpstreamId, ListedHost> = hosts
            .into_iter()
            .filter(|host| host.role != ListedRole::Entry)
            .map(|host| (host.id.clone(), host))
            .collect();
        let gone: Vec<UpstreamKey> = arena
            .by_id
            .iter()
            .filter(|(id, _)| !listed.contains_key(*id))
            .map(|(_, key)| *key)
            .collect();
        for key in gone {
            let entry = arena.entries.remove(key.0 as usize);
            arena.by_id.remove(&entry.upstream.id);
        }
        for host in listed.into_values() {
            arena.upsert(host);
        }
        drop(arena);
        self.rebuild();
    }

    async fn poll_loads(&self) {
        let engines = self.engines();
        let polls = engines.iter().map(|engine| async move {
            let poll = LoadPoll {
                id: engine.id.clone(),
                address: engine.address,
                sent_at: Instant::now(),
            };
            let report = self.engine.load(engine.address);
            let report = tokio::time::timeout(REPORT_TIMEOUT, report).await;
            if report.is_err() {
                self.engine.discard_idle_connections(engine.address);
            }
            (poll, report.ok().and_then(Result::ok))
        });
        let reports = futures_util::future::join_all(polls).await;
        let mut arena = self.arena_lock();
        for (poll, report) in reports {
            arena.apply_report(&poll, report);
        }
    }

    /// Ends ejections whose time has passed, and rebuilds the snapshot.
    fn end_ejections(&self) {
        let now = Instant::now();
        let mut arena = self.arena_lock();
        let changes: Vec<(UpstreamId, HealthChange)> = arena
            .entries
            .iter_mut()
            .filter_map(|(_, entry)| {
                let change = entry.health.end_ejection(now)?;
                Some((entry.upstream.id.clone(), change))
            })
            .collect();
        drop(arena);
        for (id, change) in changes {
            self.note_change(&id, change);
        }
        self.rebuild();
    }

    fn rebuild(&self) {
        let now = Instant::now();
        let arena = self.arena_lock();
        let mut used: Vec<&ArenaEntry> = arena
            .entries
            .iter()
            .map(|(_, entry)| entry)
            .filter(|entry| entry.upstream.role == ListedRole::Engine)
            .collect();
        if used.len() > MAX_ENGINES {
            used.sort_by_cached_key(|entry| self.rank(&entry.upstream));
            used.truncate(MAX_ENGINES);
        }
        let mut by_model: HashMap<ModelName, Vec<Upstream>> = HashMap::default();
        for entry in used.iter().filter(|entry| entry.upstream.takes_work()) {
            // In its slow start, an upstream is in a random, growing fraction of the snapshots.
            let share = entry.health.work_share(now);
            if share < 1.0 && !rand::rng().random_bool(share) {
                continue;
            }
            let models = entry.upstream.load.iter().flat_map(|load| &load.models);
            for model in models {
                let engines = by_model.entry(model.clone()).or_default();
                engines.push(entry.upstream.clone());
            }
        }
        let engines = used.iter().map(|entry| entry.upstream.clone()).collect();
        drop(arena);
        let by_model = by_model.into_iter();
        *self.snapshot_lock() = EngineSnapshot {
            engines,
            by_model: by_model
                .map(|(model, engines)| (model, engines.into()))
                .collect(),
        };
    }

    /// Sort key of the engines to use: those of this host's data centre first, then by descending
    /// rendezvous score, so that different hosts use different engines.
    fn rank(&self, upstream: &Upstream) -> (bool, std::cmp::Reverse<u64>) {
        let far = upstream.data_centre != self.data_centre;
        let score = rendezvous_score(self.host.as_str(), upstream.id.as_str());
        (far, std::cmp::Reverse(score))
    }

    fn note_change(&self, id: &UpstreamId, change: HealthChange) {
        let (event, detail) = match change {
            HealthChange::Ejected(time) => {
                let detail = format!("ejected for {time:?} after consecutive failures");
                (CounterEvent::UpstreamEjected, detail)
            }
            HealthChange::Returned => {
                let detail = "returned from ejection with a reduced share of the work".to_owned();
                (CounterEvent::UpstreamReturned, detail)
            }
        };
        self.counters.event(event);
        self.decisions
            .record(DecisionKind::Upstream, &[id.as_str()], detail);
    }

    fn arena_lock(&self) -> std::sync::MutexGuard<'_, UpstreamArena> {
        self.arena.lock().expect("upstream arena lock")
    }

    fn snapshot_lock(&self) -> std::sync::MutexGuard<'_, EngineSnapshot> {
        self.snapshot.lock().expect("engine snapshot lock")
    }
}

impl ArenaEntry {
    fn note_report(&mut self, report: Option<EngineLoadReport>) {
        self.health.note_report(report.is_some());
        match report {
            Some(report) => {
                self.upstream.load = Some(report);
                self.has_new_report = true;
            }
            None if self.health.is_dead() => self.upstream.load = None,
            None => {}
        }
    }
}

impl UpstreamArena {
    /// Records a crash. Returns whether the upstream is known.
    pub(crate) fn note_crash(&mut self, id: &UpstreamId, now: Instant) -> bool {
        let Some(entry) = self.find_entry_mut(id) else {
            return false;
        };
        entry.crashed_at = Some(now);
        entry.health.note_crash();
        entry.upstream.load = None;
        true
    }

    /// Applies the answer to `poll`; `None` if there was none. An answer from before the last crash, or of an
    /// earlier address, is ignored.
    pub(crate) fn apply_report(&mut self, poll: &LoadPoll, report: Option<EngineLoadReport>) {
        let Some(entry) = self.find_entry_mut(&poll.id) else {
            return;
        };
        let is_outdated = entry.crashed_at.is_some_and(|at| poll.sent_at < at);
        if !is_outdated && entry.upstream.address == poll.address {
            entry.note_report(report);
        }
    }

    pub(crate) fn find_entry(&self, id: &UpstreamId) -> Option<&ArenaEntry> {
        let key = self.by_id.get(id)?;
        self.entries.get(key.0 as usize)
    }

    fn find_entry_mut(&mut self, id: &UpstreamId) -> Option<&mut ArenaEntry> {
        let key = self.by_id.get(id)?;
        self.entries.get_mut(key.0 as usize)
    }

    /// Whether one more upstream may be ejected. Dead upstreams don't count as ejected.
    fn may_eject(&self) -> bool {
        let entries = self.entries.iter().map(|(_, entry)| entry);
        let ejected = entries.filter(|entry| entry.health.is_ejected() && !entry.health.is_dead());
        ejected.count() < self.entries.len() / EJECTED_DIVISOR
    }

    pub(crate) fn upsert(&mut self, host: ListedHost) {
        if let Some(key) = self.by_id.get(&host.id) {
            let upstream = &mut self.entries[key.0 as usize].upstream;
            upstream.address = host.address;
            upstream.data_centre = host.data_centre;
            upstream.listed = host.state;
            return;
        }
        let id = host.id.clone();
        let upstream = Upstream {
            id: host.id,
            address: host.address,
            data_centre: host.data_centre,
            role: host.role,
            listed: host.state,
            load: None,
        };
        let index = self.entries.insert(ArenaEntry {
            upstream,
            health: UpstreamHealth::new(),
            crashed_at: None,
            has_new_report: false,
        });
        self.by_id.insert(id, UpstreamKey(index as u32));
    }
}
