//! Placement: shard leases, order deadlines, replica counts, rollouts and lost engines.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parsleywall::edges::engine::EngineError;
use parsleywall::edges::engine::EngineOrder;
use parsleywall::edges::engine::HttpEngine;
use parsleywall::edges::engine::ModelEngine;
use parsleywall::edges::engine::OrderOutcome;
use parsleywall::edges::kv::KvError;
use parsleywall::http::client::HttpClient;
use parsleywall::ids::HostId;
use parsleywall::ids::ModelName;
use parsleywall::ids::UpstreamId;
use parsleywall::placement::DesiredModel;
use parsleywall::placement::LeaseKeeper;
use parsleywall::placement::PlacementChange;
use parsleywall::placement::PlacementInput;
use parsleywall::placement::PlacementPlanner;
use parsleywall::placement::PlacementPolicy;
use parsleywall::placement::ReportedEngine;
use parsleywall_standins::engine::EngineMemory;
use parsleywall_standins::engine::EngineProfile;
use parsleywall_standins::engine::serve_engine;
use parsleywall_standins::kv::KvMemory;
use proptest::prelude::*;

const TTL: Duration = Duration::from_secs(12);
const MARGIN: Duration = Duration::from_secs(3);
const ROUND: Duration = Duration::from_secs(2);
const LOAD_TIME: Duration = Duration::from_secs(16);

fn keeper(kv: &Arc<KvMemory>, host: &str) -> LeaseKeeper {
    let key = "placement/shards/north".to_owned();
    LeaseKeeper::new(kv.clone(), key, HostId::new(host), TTL, MARGIN)
}

#[tokio::test(start_paused = true)]
async fn test_lease_single_holder() {
    let kv = KvMemory::new();
    let first = keeper(&kv, "entry-1").acquire().await.unwrap();
    let second = keeper(&kv, "entry-2").acquire().await.unwrap();
    assert!(first.is_some());
    assert_eq!(second, None);
}

#[tokio::test(start_paused = true)]
async fn test_lease_fence_grows() {
    let kv = KvMemory::new();
    let mut last = 0;
    for number in 0..5 {
        let keeper = keeper(&kv, &format!("entry-{number}"));
        let held = keeper.acquire().await.unwrap().unwrap();
        assert!(held.fence > last);
        last = held.fence;
        keeper.release(held).await.unwrap();
    }
}

#[tokio::test(start_paused = true)]
async fn test_lease_validity_ends_before_expiry() {
    let kv = KvMemory::new();
    let held = keeper(&kv, "entry-1").acquire().await.unwrap().unwrap();
    tokio::time::advance(TTL - MARGIN).await;
    assert!(!held.is_valid_for(Duration::ZERO));
    assert_eq!(keeper(&kv, "entry-2").acquire().await.unwrap(), None);
    tokio::time::advance(MARGIN).await;
    let next = keeper(&kv, "entry-2").acquire().await.unwrap().unwrap();
    assert!(next.fence > held.fence);
}

#[tokio::test(start_paused = true)]
async fn test_lease_renewal_after_expiry_fails() {
    let kv = KvMemory::new();
    let keeper = keeper(&kv, "entry-1");
    let mut held = keeper.acquire().await.unwrap().unwrap();
    tokio::time::advance(TTL).await;
    assert_eq!(keeper.renew(&mut held).await, Err(KvError::LeaseLost));
    assert!(!held.is_valid_for(Duration::ZERO));
}

#[tokio::test(start_paused = true)]
async fn test_lease_failed_renewal_keeps_valid_until() {
    let kv = KvMemory::new();
    let keeper = keeper(&kv, "entry-1");
    let mut held = keeper.acquire().await.unwrap().unwrap();
    let end = held.valid_until;
    tokio::time::advance(Duration::from_secs(4)).await;
    kv.faults.down.store(true, Ordering::Relaxed);
    assert!(keeper.renew(&mut held).await.is_err());
    assert_eq!(held.valid_until, end);
}

#[tokio::test(start_paused = true)]
async fn test_lease_claim_with_lost_reply_is_recognised() {
    const CALL_MS: u64 = 10;
    let kv = KvMemory::new();
    kv.faults.delay_ms.store(CALL_MS, Ordering::Relaxed);
    let keeper = keeper(&kv, "entry-1");
    // `acquire` reads the key, grants a lease and writes the claim; the reply to the write is lost.
    let lose_third = async {
        tokio::time::sleep(Duration::from_millis(2 * CALL_MS + CALL_MS / 2)).await;
        kv.faults.lose_answers.store(1, Ordering::Relaxed);
    };
    let (held, ()) = tokio::join!(keeper.acquire(), lose_third);
    assert_eq!(kv.faults.lose_answers.load(Ordering::Relaxed), 0);
    assert!(held.unwrap().is_some());
}

#[tokio::test(start_paused = true)]
async fn test_lease_is_acquired_after_a_lost_grant_reply() {
    let kv = KvMemory::new();
    let keeper = keeper(&kv, "entry-1");
    kv.faults.lose_answers.store(1, Ordering::Relaxed);
    assert!(keeper.acquire().await.is_err());
    assert!(keeper.acquire().await.unwrap().is_some());
}

async fn send_order(
    valid_until: tokio::time::Instant,
) -> (Result<OrderOutcome, EngineError>, usize) {
    let engine = EngineMemory::start(EngineProfile::default(), vec![ModelName::new("small")]);
    let server = serve_engine(engine.clone()).await.unwrap();
    let order = EngineOrder {
        fence: 7,
        models: vec![ModelName::new("large")],
        versions: vec![String::new()],
        role: "mixed".to_owned(),
    };
    let client = HttpEngine::new(HttpClient::new());
    let outcome = client.order(server.address(), &order, valid_until).await;
    (outcome, engine.orders().len())
}

#[tokio::test]
async fn test_order_taken_while_the_lease_is_valid() {
    let end = tokio::time::Instant::now() + TTL;
    assert_eq!(send_order(end).await, (Ok(OrderOutcome::Accepted), 1));
}

#[tokio::test]
async fn test_order_not_sent_after_the_lease_validity() {
    let (outcome, taken) = send_order(tokio::time::Instant::now()).await;
    assert!(outcome.is_err());
    assert_eq!(taken, 0);
}

/// Simulated shard: engines that carry out planned changes after the load time, and their planner.
struct ShardModel {
    planner: PlacementPlanner,
    input: PlacementInput,
    loads: Vec<(tokio::time::Instant, PlacementChange)>,
    changes: usize,
}

impl ShardModel {
    fn new(engines: usize, loaded: &str) -> Self {
        let engines = (0..engines).map(|number| ReportedEngine {
            id: UpstreamId::new(format!("engine-{number:02}")),
            loaded: [(ModelName::new(loaded), String::new())].into(),
            slots: 1,
            active_requests: 0,
            boot: 1,
            live: true,
        });
        Self {
            planner: PlacementPlanner::new(PlacementPolicy::default()),
            input: PlacementInput {
                engines: engines.collect(),
                desired_models: BTreeMap::new(),
            },
            loads: Vec::new(),
            changes: 0,
        }
    }

    fn desired(&mut self, model: &str, demand: f64) -> &mut DesiredModel {
        let desired = self
            .input
            .desired_models
            .entry(ModelName::new(model))
            .or_default();
        desired.demand = demand;
        desired.load_time = LOAD_TIME;
        desired
    }

    fn replicas(&self, model: &str) -> usize {
        let model = ModelName::new(model);
        let engines = self.input.engines.iter();
        engines
            .filter(|engine| engine.loaded.contains_key(&model))
            .count()
    }

    fn with_version(&self, model: &str, version: &str) -> usize {
        let model = ModelName::new(model);
        let engines = self.input.engines.iter();
        engines
            .filter(|engine| {
                engine
                    .loaded
                    .get(&model)
                    .is_some_and(|found| found == version)
            })
            .count()
    }

    async fn round(&mut self) {
        tokio::time::advance(ROUND).await;
        let now = tokio::time::Instant::now();
        let due: Vec<PlacementChange> = self
            .loads
            .extract_if(.., |(ready, _)| *ready <= now)
            .map(|(_, change)| change)
            .collect();
        for change in due {
            let mut engines = self.input.engines.iter_mut();
            if let Some(engine) = engines.find(|engine| engine.id == change.engine) {
                engine.loaded = change.models;
            }
        }
        for change in self.planner.plan(&self.input) {
            self.changes += 1;
            let mut engines = self.input.engines.iter_mut();
            if let Some(engine) = engines.find(|engine| engine.id == change.engine) {
                engine
                    .loaded
                    .retain(|model, version| change.models.get(model) == Some(version));
            }
            self.loads.push((now + LOAD_TIME, change));
        }
    }

    async fn rounds(&mut self, rounds: usize) {
        for _ in 0..rounds {
            self.round().await;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn test_planner_converges_to_demand() {
    let mut shard = ShardModel::new(12, "small");
    shard.desired("small", 500.0);
    shard.desired("large", 500.0);
    shard.rounds(300).await;
    assert_eq!(shard.replicas("small"), 6);
    assert_eq!(shard.replicas("large"), 6);
    let changes = shard.changes;
    shard.rounds(300).await;
    assert_eq!(
        shard.changes, changes,
        "no changes in a shard that has its desired state"
    );
}

#[tokio::test(start_paused = true)]
async fn test_planner_ignores_short_shifts_of_demand() {
    let mut shard = ShardModel::new(12, "small");
    shard.desired("small", 900.0);
    shard.desired("large", 100.0);
    shard.rounds(200).await;
    let changes = shard.changes;
    // Demand shifts every 10 s, which is shorter than the 30 s for which a shortage must last.
    for _ in 0..20 {
        shard.desired("small", 100.0);
        shard.desired("large", 900.0);
        shard.rounds(5).await;
        shard.desired("small", 900.0);
        shard.desired("large", 100.0);
        shard.rounds(5).await;
    }
    assert_eq!(shard.changes, changes);
}

#[tokio::test(start_paused = true)]
async fn test_planner_keeps_the_last_replica() {
    let mut shard = ShardModel::new(2, "small");
    shard.input.engines[1].loaded = [(ModelName::new("large"), String::new())].into();
    shard.desired("small", 0.0);
    shard.desired("large", 1000.0);
    for _ in 0..200 {
        shard.round().await;
        assert_eq!(shard.replicas("small"), 1);
        assert_eq!(shard.replicas("large"), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn test_planner_repairs_a_lost_model() {
    let mut shard = ShardModel::new(3, "small");
    shard.desired("small", 100.0).min_replicas = 3;
    shard.rounds(5).await;
    shard.input.engines[1].loaded.clear();
    shard.rounds(30).await;
    assert_eq!(shard.replicas("small"), 3);
}

#[tokio::test(start_paused = true)]
async fn test_planner_plans_nothing_without_quorum() {
    let mut shard = ShardModel::new(12, "small");
    shard.desired("small", 100.0);
    shard.rounds(5).await;
    let all = shard.input.engines.clone();
    shard.input.engines.truncate(5);
    shard.desired("large", 900.0);
    shard.rounds(20).await;
    assert_eq!(shard.changes, 0);
    shard.input.engines = all;
    shard.rounds(60).await;
    assert!(shard.changes > 0);
}

#[tokio::test(start_paused = true)]
async fn test_rollout_one_engine_at_a_time() {
    let mut shard = ShardModel::new(4, "small");
    shard.desired("small", 100.0).version = "v2".to_owned();
    for _ in 0..200 {
        shard.round().await;
        assert!(shard.replicas("small") >= 3);
        assert!(shard.loads.len() <= 1);
    }
    assert_eq!(shard.with_version("small", "v2"), 4);
    assert_eq!(shard.changes, 4);
}

#[tokio::test(start_paused = true)]
async fn test_rollout_stops_on_restart() {
    let mut shard = ShardModel::new(4, "small");
    shard.desired("small", 100.0).version = "bad".to_owned();
    for _ in 0..200 {
        shard.round().await;
        let bad = ModelName::new("small");
        for engine in &mut shard.input.engines {
            if engine
                .loaded
                .get(&bad)
                .is_some_and(|version| version == "bad")
            {
                engine.boot += 1;
            }
        }
    }
    assert_eq!(shard.with_version("small", "bad"), 1);
    let halted = shard.planner.halted().iter().next().unwrap();
    assert_eq!(halted.1, "bad");
    // A halted rollout does not keep another version from being rolled out.
    shard.desired("small", 100.0).version = "v3".to_owned();
    shard.rounds(300).await;
    assert_eq!(shard.with_version("small", "v3"), 4);
}

#[tokio::test(start_paused = true)]
async fn test_planner_loads_adapters_beside_their_base() {
    let mut shard = ShardModel::new(3, "small");
    shard.desired("small", 100.0);
    shard.desired("tone", 0.0).base = Some(ModelName::new("small"));
    shard.rounds(60).await;
    assert_eq!(shard.replicas("tone"), 3);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// For any sequence of demands, a model with a replica keeps at least one, and there is at most
    /// one change per load time.
    #[test]
    fn test_planner_keeps_a_replica_of_each_loaded_model(
        engines in 2_usize..8,
        shifts in proptest::collection::vec((0_usize..3, 0.0_f64..1000.0), 1..12),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(async {
            let names = ["small", "large", "other"];
            let mut shard = ShardModel::new(engines, "small");
            let mut served = vec!["small"];
            for name in names {
                shard.desired(name, 1.0);
            }
            let mut rounds = 0;
            for (name, demand) in shifts {
                shard.desired(names[name], demand);
                for _ in 0..40 {
                    shard.round().await;
                    rounds += 1;
                    for name in names {
                        let replicas = shard.replicas(name);
                        if replicas > 0 && !served.contains(&name) {
                            served.push(name);
                        }
                        assert!(replicas > 0 || !served.contains(&name));
                    }
                }
            }
            let elapsed = ROUND * rounds;
            let paced = elapsed.as_secs() / LOAD_TIME.as_secs() + 1;
            assert!(shard.changes as u64 <= paced);
        });
    }
}
