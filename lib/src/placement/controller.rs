//! Runs the placement of one shard while this host holds its lease.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use log::info;
use log::warn;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::counters::CounterEvent;
use crate::counters::CounterSet;
use crate::counters::RetryReason;
use crate::decisions::DecisionKind;
use crate::decisions::DecisionRing;
use crate::edges::engine::EngineLoadReport;
use crate::edges::engine::EngineOrder;
use crate::edges::engine::ModelEngine;
use crate::edges::engine::ORDER_TIMEOUT;
use crate::edges::engine::OrderOutcome;
use crate::edges::host_list::HostList;
use crate::edges::host_list::ListedHost;
use crate::edges::host_list::ListedRole;
use crate::edges::host_list::ListedState;
use crate::edges::kv::Expect;
use crate::edges::kv::KvError;
use crate::edges::kv::KvStore;
use crate::edges::weights::WeightCatalogue;
use crate::edges::weights::WeightStore;
use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::ids::ModelName;
use crate::membership::Membership;
use crate::peers::PeerClient;
use crate::placement::demand::DemandCall;
use crate::placement::demand::DemandMeter;
use crate::placement::demand::ModelDemand;
use crate::placement::lease::LeaseKeeper;
use crate::placement::lease::ShardLease;
use crate::placement::planner::DesiredModel;
use crate::placement::planner::PlacementChange;
use crate::placement::planner::PlacementInput;
use crate::placement::planner::PlacementPlanner;
use crate::placement::planner::PlacementPolicy;
use crate::placement::planner::ReportedEngine;
use crate::terms::ActiveTerms;

const LEASE_TTL: Duration = Duration::from_secs(12);
const RENEW_INTERVAL: Duration = Duration::from_secs(4);
/// Covers an order on its way and the difference of two hosts' clock rates over one lease.
const LEASE_MARGIN: Duration = Duration::from_secs(3);
const ROUND_INTERVAL: Duration = Duration::from_secs(2);
/// A later holder waits this long where engines do not refuse old fencing numbers.
const TAKEOVER_WAIT: Duration = LEASE_MARGIN;
const CATALOGUE_INTERVAL: Duration = Duration::from_secs(60);
const DEMAND_TIMEOUT: Duration = Duration::from_secs(1);
/// Load reports read a second at most; a larger shard is read less often.
const MAX_REPORTS_PER_SECOND: usize = 50;
const ENGINE_ROLE: &str = "mixed";
/// Version of the stored format of halted rollouts.
const HALTS_FORMAT: u32 = 1;

/// What a controller works with.
pub struct PlacementDependencies {
    /// Name of this host.
    pub host: HostId,
    /// Data centre whose engines form the shard.
    pub data_centre: DataCentre,
    /// Whether engines refuse orders with old fencing numbers.
    pub engines_fence: bool,
    /// Key-value service.
    pub kv: Arc<dyn KvStore>,
    /// List of live and leaving hosts.
    pub list: Arc<dyn HostList>,
    /// Model engines.
    pub engine: Arc<dyn ModelEngine>,
    /// Weight store.
    pub weights: Arc<dyn WeightStore>,
    /// Entry hosts.
    pub membership: Arc<Membership>,
    /// Links to the other entry hosts.
    pub peers: PeerClient,
    /// Terms in force.
    pub terms: Arc<ActiveTerms>,
    /// Demand that this host sees.
    pub meter: Arc<DemandMeter>,
    /// Counters of this host.
    pub counters: Arc<CounterSet>,
    /// Decisions of this host.
    pub decisions: Arc<DecisionRing>,
}

/// A held shard with its planner.
struct HeldShard {
    lease: ShardLease,
    planner: PlacementPlanner,
    orders_from: Instant,
    renew_at: Instant,
    stored_halts: BTreeSet<(ModelName, String)>,
}

/// Stored versions whose rollout was stopped.
#[derive(Serialize, Deserialize)]
struct HaltedRollouts {
    format: u32,
    versions: BTreeSet<(ModelName, String)>,
}

/// Controller of one shard on one host.
pub struct PlacementController {
    parts: PlacementDependencies,
    policy: PlacementPolicy,
    keeper: LeaseKeeper,
    shard_key: String,
    halts_key: String,
}

impl PlacementController {
    /// Returns a controller that holds no shard yet.
    pub fn new(parts: PlacementDependencies) -> Self {
        let shard_key = format!("placement/shards/{}", parts.data_centre);
        let keeper = LeaseKeeper::new(
            parts.kv.clone(),
            shard_key.clone(),
            parts.host.clone(),
            LEASE_TTL,
            LEASE_MARGIN,
        );
        Self {
            halts_key: format!("placement/halts/{}", parts.data_centre),
            policy: PlacementPolicy::default(),
            keeper,
            shard_key,
            parts,
        }
    }

    /// Replaces the limits on how fast placement may change the fleet.
    pub fn with_policy(mut self, policy: PlacementPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Takes, works and renews the shard until `stop`, then gives it up.
    pub async fn run(&self, stop: CancellationToken) {
        let mut held: Option<HeldShard> = None;
        let mut catalogue = CatalogueCache::default();
        let mut pause = ROUND_INTERVAL;
        loop {
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = stop.cancelled() => break,
            }
            held = match held.take() {
                Some(shard) => self.keep(shard).await,
                None => self.take().await,
            };
            if let Some(shard) = &mut held {
                pause = self.round(shard, &mut catalogue).await;
            }
        }
        if let Some(shard) = held {
            // A failed release only delays the next holder until the lease lapses.
            let _ = self.keeper.release(shard.lease).await;
        }
    }

    /// Takes the shard if this host is its rendezvous owner and nobody holds it.
    async fn take(&self) -> Option<HeldShard> {
        let view = self.parts.membership.view();
        let owner = view.owner_of(&self.shard_key)?;
        if owner.id != self.parts.host {
            return None;
        }
        let lease = match self.keeper.acquire().await {
            Ok(lease) => lease?,
            Err(_) => {
                self.parts.counters.retry(RetryReason::StoreFailed);
                return None;
            }
        };
        let halts = self.read_halts().await.ok()?;
        info!("holds the placement of {}", self.parts.data_centre);
        let wait = match self.parts.engines_fence {
            true => Duration::ZERO,
            false => TAKEOVER_WAIT,
        };
        let now = Instant::now();
        Some(HeldShard {
            lease,
            planner: PlacementPlanner::new(self.policy.clone()).with_halted(halts.clone()),
            orders_from: now + wait,
            renew_at: now + RENEW_INTERVAL,
            stored_halts: halts,
        })
    }

    /// Renews the lease when due; gives the shard up once its right has ended.
    async fn keep(&self, mut shard: HeldShard) -> Option<HeldShard> {
        if Instant::now() >= shard.renew_at {
            match self.keeper.renew(&mut shard.lease).await {
                Ok(()) => shard.renew_at = Instant::now() + RENEW_INTERVAL,
                Err(KvError::LeaseLost) => {
                    warn!("lost the placement of {}", self.parts.data_centre);
                    return None;
                }
                Err(_) => self.parts.counters.retry(RetryReason::StoreFailed),
            }
        }
        if shard.lease.is_valid_for(Duration::ZERO) {
            return Some(shard);
        }
        warn!("the right to place in {} has ended", self.parts.data_centre);
        None
    }

    /// Compares and orders once; returns the pause until the next round.
    async fn round(&self, shard: &mut HeldShard, catalogue: &mut CatalogueCache) -> Duration {
        let Ok(hosts) = self.parts.list.read().await else {
            self.parts.counters.retry(RetryReason::ConnectFailed);
            return ROUND_INTERVAL;
        };
        let engines: Vec<ListedHost> = hosts
            .into_iter()
            .filter(|host| host.role == ListedRole::Engine)
            .filter(|host| host.data_centre == self.parts.data_centre)
            .collect();
        let pause = Duration::from_secs((engines.len() / MAX_REPORTS_PER_SECOND) as u64);
        let pause = pause.max(ROUND_INTERVAL);
        let Some(weights) = catalogue.get(&*self.parts.weights).await else {
            self.parts.counters.retry(RetryReason::ConnectFailed);
            return pause;
        };
        let demand = self.fleet_demand().await;
        let view = PlacementInput {
            engines: self.read_engines(&engines).await,
            wishes: self.wishes(&weights, &demand),
        };
        if Instant::now() < shard.orders_from || view.wishes.is_empty() {
            return pause;
        }
        let moves = shard.planner.plan(&view);
        self.store_halts(shard).await;
        for change in moves {
            if let Some(host) = engines.iter().find(|host| host.id == change.engine) {
                self.order(&shard.lease, host, change).await;
            }
        }
        pause
    }

    async fn order(&self, lease: &ShardLease, host: &ListedHost, change: PlacementChange) {
        if !lease.is_valid_for(ORDER_TIMEOUT) {
            return;
        }
        let (models, versions): (Vec<_>, Vec<_>) = change.models.into_iter().unzip();
        let order = EngineOrder {
            fence: lease.fence,
            models,
            versions,
            role: ENGINE_ROLE.to_owned(),
        };
        let call = self
            .parts
            .engine
            .order(host.address, &order, lease.valid_until);
        let outcome = call.await;
        let detail = match outcome {
            Ok(OrderOutcome::Accepted) => {
                self.parts.counters.event(CounterEvent::OrderSent);
                change.reason
            }
            Ok(OrderOutcome::Fenced) => {
                self.parts.counters.event(CounterEvent::OrderFenced);
                format!("refused as outdated: {}", change.reason)
            }
            Err(err) => {
                self.parts.counters.retry(RetryReason::UpstreamError);
                format!("order failed ({err}): {}", change.reason)
            }
        };
        let subjects = [host.id.as_str(), "placement"];
        let decisions = &self.parts.decisions;
        decisions.record(DecisionKind::Placement, &subjects, detail);
    }

    /// Demand of all live hosts that answer in time.
    async fn fleet_demand(&self) -> ModelDemand {
        let view = self.parts.membership.view();
        let others = view.hosts.iter().filter(|host| host.id != self.parts.host);
        let calls = others.map(|host| {
            let peers = &self.parts.peers;
            peers.call(host.peer_address, DemandCall, DEMAND_TIMEOUT)
        });
        let mut demand = self.parts.meter.demand();
        for other in join_all(calls).await.into_iter().flatten() {
            demand.add(&other);
        }
        demand
    }

    async fn read_engines(&self, engines: &[ListedHost]) -> Vec<ReportedEngine> {
        let reads = engines
            .iter()
            .map(|host| async move { (host, self.parts.engine.load(host.address).await) });
        let reports = join_all(reads).await.into_iter();
        reports
            .filter_map(|(host, report)| Some(engine_view(host, report.ok()?)))
            .collect()
    }

    fn wishes(
        &self,
        weights: &WeightCatalogue,
        demand: &ModelDemand,
    ) -> BTreeMap<ModelName, DesiredModel> {
        let view = self.parts.terms.view();
        let hosts = self.parts.membership.view();
        let shards: BTreeSet<&DataCentre> =
            hosts.hosts.iter().map(|host| &host.data_centre).collect();
        let shard_rate = weights.bytes_per_second / shards.len().max(1) as u64;
        let models = view.document.models.iter();
        models
            .map(|(model, terms)| {
                let wish = DesiredModel {
                    version: terms.version.clone(),
                    base: terms.base.clone(),
                    min_replicas: terms.min_replicas as usize,
                    demand: demand.of(model),
                    load_time: load_time(weights, model, shard_rate),
                };
                (model.clone(), wish)
            })
            .collect()
    }

    async fn read_halts(&self) -> Result<BTreeSet<(ModelName, String)>, KvError> {
        let Some(entry) = self.parts.kv.get(&self.halts_key).await? else {
            return Ok(BTreeSet::new());
        };
        let halts = serde_json::from_slice::<HaltedRollouts>(&entry.value);
        match halts {
            Ok(halts) if halts.format == HALTS_FORMAT => Ok(halts.versions),
            _ => Err(KvError::Unavailable("unknown format of halts".to_owned())),
        }
    }

    async fn store_halts(&self, shard: &mut HeldShard) {
        if *shard.planner.halted() == shard.stored_halts {
            return;
        }
        let versions = shard.planner.halted().clone();
        for (model, version) in versions.difference(&shard.stored_halts) {
            warn!("stopped the rollout of {model} version {version}");
            let detail = format!("stopped the rollout of version {version}");
            let decisions = &self.parts.decisions;
            decisions.record(DecisionKind::Placement, &[model.as_str()], detail);
        }
        let stored = HaltedRollouts {
            format: HALTS_FORMAT,
            versions: versions.clone(),
        };
        let value = serde_json::to_vec(&stored).expect("halts serialize to JSON");
        // Only the holder of the shard writes this key.
        let put = self
            .parts
            .kv
            .put(&self.halts_key, Bytes::from(value), Expect::Any, None);
        if put.await.is_ok() {
            shard.stored_halts = versions;
        }
    }
}

/// The catalogue, read again after a while.
#[derive(Default)]
struct CatalogueCache {
    catalogue: Option<(Instant, WeightCatalogue)>,
}

impl CatalogueCache {
    async fn get(&mut self, store: &dyn WeightStore) -> Option<WeightCatalogue> {
        let fresh = |at: &Instant| at.elapsed() < CATALOGUE_INTERVAL;
        if !self.catalogue.as_ref().is_some_and(|(at, _)| fresh(at))
            && let Ok(catalogue) = store.catalogue().await
        {
            self.catalogue = Some((Instant::now(), catalogue));
        }
        let cached = self.catalogue.as_ref();
        cached.map(|(_, catalogue)| catalogue.clone())
    }
}

fn engine_view(host: &ListedHost, report: EngineLoadReport) -> ReportedEngine {
    let versions = report
        .versions
        .into_iter()
        .chain(std::iter::repeat(String::new()));
    let loaded: BTreeMap<ModelName, String> = report.models.into_iter().zip(versions).collect();
    ReportedEngine {
        id: host.id.clone(),
        slots: (report.model_slots as usize).max(1),
        busy: report.running + report.waiting,
        boot: report.boot,
        live: host.state == ListedState::Live,
        loaded,
    }
}

fn load_time(weights: &WeightCatalogue, model: &ModelName, shard_rate: u64) -> Duration {
    let stored = weights.models.iter().find(|stored| stored.model == *model);
    let bytes = stored.map_or(0, |stored| stored.bytes);
    Duration::from_secs_f64(bytes as f64 / shard_rate.max(1) as f64)
}
