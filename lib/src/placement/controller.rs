//! Control loop for the placement of one shard, active while this host holds the shard's lease.

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
/// Time before the end of a lease at which its holder stops sending orders. It covers an order in
/// flight and the difference of two hosts' clock rates over one lease.
const LEASE_MARGIN: Duration = Duration::from_secs(3);
const ROUND_INTERVAL: Duration = Duration::from_secs(2);
/// Time that a new holder waits before its first order if engines do not check fencing tokens, so
/// that orders of the previous holder that are still in flight come first.
const TAKEOVER_WAIT: Duration = LEASE_MARGIN;
/// Age at which the cached catalogue of the weight store is read again.
const CATALOGUE_INTERVAL: Duration = Duration::from_secs(60);
/// Timeout of the demand calls; a host that does not answer in time counts as without demand.
const DEMAND_TIMEOUT: Duration = Duration::from_secs(1);
/// Highest rate at which load reports are read. Rounds of a larger shard are further apart.
const MAX_REPORTS_PER_SECOND: usize = 50;
/// Role in every order: each engine does both prefill and decode.
const ENGINE_ROLE: &str = "mixed";
/// Format version of the stored halted rollouts; other formats are not read.
const HALTED_FORMAT: u32 = 1;

/// Dependencies and configuration of a [`PlacementController`].
pub struct PlacementDependencies {
    /// Identifier of this host, under which it holds the lease.
    pub host: HostId,
    /// Data centre whose engines form the shard.
    pub data_centre: DataCentre,
    /// Whether engines refuse orders with a fencing token lower than the highest they have seen.
    pub engines_fence: bool,
    /// Key-value service that stores the lease and the halted rollouts.
    pub kv: Arc<dyn KvStore>,
    /// Host list of the platform, with the live and leaving engines of each data centre.
    pub list: Arc<dyn HostList>,
    /// Client that reads load reports and sends orders to engines.
    pub engine: Arc<dyn ModelEngine>,
    /// Weight store, whose catalogue gives the sizes of models and the transfer rate.
    pub weights: Arc<dyn WeightStore>,
    /// Live entry hosts: candidates for the lease, and sources of demand.
    pub membership: Arc<Membership>,
    /// Connections to the other entry hosts, for demand calls.
    pub peers: PeerClient,
    /// Terms in force, which list the models with their versions and least replicas.
    pub terms: Arc<ActiveTerms>,
    /// Demand measured on this host.
    pub meter: Arc<DemandMeter>,
    /// Counters for orders and failed calls.
    pub counters: Arc<CounterSet>,
    /// Log of recent decisions, in which each order and each halted rollout is recorded.
    pub decisions: Arc<DecisionRing>,
}

/// State of a shard while this host holds its lease.
struct HeldShard {
    lease: ShardLease,
    planner: PlacementPlanner,
    /// When the first order may be sent.
    first_order_at: Instant,
    renew_at: Instant,
    /// Halted rollouts that the key-value service is known to store.
    stored_halted: BTreeSet<(ModelName, String)>,
}

/// Stored record of the model versions whose rollout was halted.
#[derive(Serialize, Deserialize)]
struct HaltedRollouts {
    format: u32,
    versions: BTreeSet<(ModelName, String)>,
}

/// Places models on the engines of one shard while this host holds the shard's lease.
pub struct PlacementController {
    dependencies: PlacementDependencies,
    policy: PlacementPolicy,
    lease_keeper: LeaseKeeper,
    shard_key: String,
    halted_key: String,
}

impl PlacementController {
    /// Returns a controller for the data centre in `dependencies`, without the lease.
    pub fn new(dependencies: PlacementDependencies) -> Self {
        let shard_key = format!("placement/shards/{}", dependencies.data_centre);
        let lease_keeper = LeaseKeeper::new(
            dependencies.kv.clone(),
            shard_key.clone(),
            dependencies.host.clone(),
            LEASE_TTL,
            LEASE_MARGIN,
        );
        Self {
            halted_key: format!("placement/halts/{}", dependencies.data_centre),
            policy: PlacementPolicy::default(),
            lease_keeper,
            shard_key,
            dependencies,
        }
    }

    /// Replaces the default limits on the rate of placement changes.
    pub fn with_policy(mut self, policy: PlacementPolicy) -> Self {
        self.policy = policy;
        self
    }

    /// Acquires the lease when possible, then plans and renews in rounds until `stop`, and releases
    /// the lease at the end.
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
                Some(shard) => self.renew_if_due(shard).await,
                None => self.try_acquire().await,
            };
            if let Some(shard) = &mut held {
                pause = self.reconcile(shard, &mut catalogue).await;
            }
        }
        if let Some(shard) = held {
            // If the release fails, the next holder only has to wait until the lease expires.
            let _ = self.lease_keeper.release(shard.lease).await;
        }
    }

    /// Acquires the lease if this host is the shard's rendezvous owner and no host holds the lease.
    async fn try_acquire(&self) -> Option<HeldShard> {
        let view = self.dependencies.membership.view();
        let owner = view.owner_of(&self.shard_key)?;
        if owner.id != self.dependencies.host {
            return None;
        }
        let lease = match self.lease_keeper.acquire().await {
            Ok(lease) => lease?,
            Err(_) => {
                self.dependencies.counters.retry(RetryReason::StoreFailed);
                return None;
            }
        };
        let halted = self.read_halted().await.ok()?;
        info!(
            "acquired the placement lease of data centre {}",
            self.dependencies.data_centre
        );
        let wait = match self.dependencies.engines_fence {
            true => Duration::ZERO,
            false => TAKEOVER_WAIT,
        };
        let now = Instant::now();
        Some(HeldShard {
            lease,
            planner: PlacementPlanner::new(self.policy.clone()).with_halted(halted.clone()),
            first_order_at: now + wait,
            renew_at: now + RENEW_INTERVAL,
            stored_halted: halted,
        })
    }

    /// Renews the lease when due; returns `None` once the lease is lost or has expired.
    async fn renew_if_due(&self, mut shard: HeldShard) -> Option<HeldShard> {
        if Instant::now() >= shard.renew_at {
            match self.lease_keeper.renew(&mut shard.lease).await {
                Ok(()) => shard.renew_at = Instant::now() + RENEW_INTERVAL,
                Err(KvError::LeaseLost) => {
                    warn!(
                        "lost the placement lease of data centre {}",
                        self.dependencies.data_centre
                    );
                    return None;
                }
                Err(_) => self.dependencies.counters.retry(RetryReason::StoreFailed),
            }
        }
        if shard.lease.is_valid_for(Duration::ZERO) {
            return Some(shard);
        }
        warn!(
            "placement lease of data centre {} expired without renewal",
            self.dependencies.data_centre
        );
        None
    }

    /// Runs one reconciliation round: reads the state of the shard, plans changes and sends orders.
    /// Returns the pause before the next round.
    async fn reconcile(&self, shard: &mut HeldShard, catalogue: &mut CatalogueCache) -> Duration {
        let Ok(hosts) = self.dependencies.list.read().await else {
            self.dependencies.counters.retry(RetryReason::ConnectFailed);
            return ROUND_INTERVAL;
        };
        let engines: Vec<ListedHost> = hosts
            .into_iter()
            .filter(|host| host.role == ListedRole::Engine)
            .filter(|host| host.data_centre == self.dependencies.data_centre)
            .collect();
        let pause = Duration::from_secs((engines.len() / MAX_REPORTS_PER_SECOND) as u64);
        let pause = pause.max(ROUND_INTERVAL);
        let Some(weights) = catalogue.get(&*self.dependencies.weights).await else {
            self.dependencies.counters.retry(RetryReason::ConnectFailed);
            return pause;
        };
        let demand = self.fleet_demand().await;
        let input = PlacementInput {
            engines: self.read_engines(&engines).await,
            desired_models: self.desired_models(&weights, &demand),
        };
        if Instant::now() < shard.first_order_at || input.desired_models.is_empty() {
            return pause;
        }
        let changes = shard.planner.plan(&input);
        self.store_halted(shard).await;
        for change in changes {
            if let Some(host) = engines.iter().find(|host| host.id == change.engine) {
                self.send_order(&shard.lease, host, change).await;
            }
        }
        pause
    }

    async fn send_order(&self, lease: &ShardLease, host: &ListedHost, change: PlacementChange) {
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
            .dependencies
            .engine
            .order(host.address, &order, lease.valid_until);
        let outcome = call.await;
        let detail = match outcome {
            Ok(OrderOutcome::Accepted) => {
                self.dependencies.counters.event(CounterEvent::OrderSent);
                change.reason
            }
            Ok(OrderOutcome::Fenced) => {
                self.dependencies.counters.event(CounterEvent::OrderFenced);
                format!(
                    "engine refused the fencing token as outdated: {}",
                    change.reason
                )
            }
            Err(err) => {
                self.dependencies.counters.retry(RetryReason::UpstreamError);
                format!("order failed ({err}): {}", change.reason)
            }
        };
        let subjects = [host.id.as_str(), "placement"];
        let decisions = &self.dependencies.decisions;
        decisions.record(DecisionKind::Placement, &subjects, detail);
    }

    /// Total demand of this host and of all entry hosts that answer in time.
    async fn fleet_demand(&self) -> ModelDemand {
        let view = self.dependencies.membership.view();
        let others = view
            .hosts
            .iter()
            .filter(|host| host.id != self.dependencies.host);
        let calls = others.map(|host| {
            let peers = &self.dependencies.peers;
            peers.call(host.peer_address, DemandCall, DEMAND_TIMEOUT)
        });
        let mut demand = self.dependencies.meter.demand();
        for other in join_all(calls).await.into_iter().flatten() {
            demand.add(&other);
        }
        demand
    }

    async fn read_engines(&self, engines: &[ListedHost]) -> Vec<ReportedEngine> {
        let reads = engines
            .iter()
            .map(|host| async move { (host, self.dependencies.engine.load(host.address).await) });
        let reports = join_all(reads).await.into_iter();
        reports
            .filter_map(|(host, report)| Some(engine_view(host, report.ok()?)))
            .collect()
    }

    fn desired_models(
        &self,
        weights: &WeightCatalogue,
        demand: &ModelDemand,
    ) -> BTreeMap<ModelName, DesiredModel> {
        let view = self.dependencies.terms.view();
        let hosts = self.dependencies.membership.view();
        let shards: BTreeSet<&DataCentre> =
            hosts.hosts.iter().map(|host| &host.data_centre).collect();
        let shard_rate = weights.bytes_per_second / shards.len().max(1) as u64;
        let models = view.document.models.iter();
        models
            .map(|(model, terms)| {
                let desired = DesiredModel {
                    version: terms.version.clone(),
                    base: terms.base.clone(),
                    min_replicas: terms.min_replicas as usize,
                    demand: demand.of(model),
                    load_time: load_time(weights, model, shard_rate),
                };
                (model.clone(), desired)
            })
            .collect()
    }

    async fn read_halted(&self) -> Result<BTreeSet<(ModelName, String)>, KvError> {
        let Some(entry) = self.dependencies.kv.get(&self.halted_key).await? else {
            return Ok(BTreeSet::new());
        };
        let halted = serde_json::from_slice::<HaltedRollouts>(&entry.value);
        match halted {
            Ok(halted) if halted.format == HALTED_FORMAT => Ok(halted.versions),
            _ => Err(KvError::Unavailable(
                "stored halted rollouts have an unknown format".to_owned(),
            )),
        }
    }

    async fn store_halted(&self, shard: &mut HeldShard) {
        if *shard.planner.halted() == shard.stored_halted {
            return;
        }
        let versions = shard.planner.halted().clone();
        for (model, version) in versions.difference(&shard.stored_halted) {
            warn!("halted the rollout of {model} version {version}");
            let detail = format!("halted the rollout of version {version}");
            let decisions = &self.dependencies.decisions;
            decisions.record(DecisionKind::Placement, &[model.as_str()], detail);
        }
        let stored = HaltedRollouts {
            format: HALTED_FORMAT,
            versions: versions.clone(),
        };
        let value = serde_json::to_vec(&stored).expect("halted rollouts serialize to JSON");
        // Only the holder of the lease writes this key, so that no version check is needed.
        let put = self
            .dependencies
            .kv
            .put(&self.halted_key, Bytes::from(value), Expect::Any, None);
        if put.await.is_ok() {
            shard.stored_halted = versions;
        }
    }
}

/// Cached catalogue of the weight store. A stale catalogue is used while reading a new one fails.
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
        active_requests: report.running + report.waiting,
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
