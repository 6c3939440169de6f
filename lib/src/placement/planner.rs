//! Plans which engines should load other models. Does no I/O.
//!
//! Planning is level-triggered: each call compares the reported state of the engines with the
//! desired state and returns the few changes that may start now. Between calls, the planner keeps
//! only the state that paces and halts changes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::ModelName;
use crate::ids::UpstreamId;

/// Limits on the rate of placement changes.
#[derive(Clone, Debug)]
pub struct PlacementPolicy {
    /// How long a model must lack replicas before an engine is changed, so that short shifts of
    /// demand cause no loads.
    pub shortage_delay: Duration,
    /// The same for a model with fewer replicas than the terms require, or with none.
    pub urgent_delay: Duration,
    /// How long a new version must run on an engine without a restart before the next engine loads
    /// it.
    pub soak_time: Duration,
    /// How long a change may take beyond the estimated load time before it counts as failed.
    pub load_slack: Duration,
    /// How long an engine counts towards the quorum after its last report.
    pub engine_expiry: Duration,
    /// Share of the known engines, from 0 to 1, that must report for any change to be made. It
    /// keeps a partitioned controller from acting on a small part of the shard.
    pub report_quorum: f64,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            shortage_delay: Duration::from_secs(30),
            urgent_delay: Duration::from_secs(2),
            soak_time: Duration::from_secs(10),
            load_slack: Duration::from_secs(30),
            engine_expiry: Duration::from_secs(60),
            report_quorum: 0.5,
        }
    }
}

/// State of an engine by its last load report.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedEngine {
    /// Identifier of the engine.
    pub id: UpstreamId,
    /// Loaded models and adapters with the versions of their weights; an empty version is unknown.
    pub loaded: BTreeMap<ModelName, String>,
    /// Number of base models that the engine can have loaded at once; at least one.
    pub slots: usize,
    /// Number of running and waiting requests.
    pub active_requests: u32,
    /// Boot number, which changes whenever the engine restarts.
    pub boot: u64,
    /// Whether the host list has the engine as live rather than leaving; only then it is changed.
    pub live: bool,
}

/// Desired state of one model or adapter.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DesiredModel {
    /// Desired version; if empty, any loaded version will do.
    pub version: String,
    /// Base model of an adapter; absent for a base model.
    pub base: Option<ModelName>,
    /// Least number of replicas, that is, of engines that have it loaded.
    pub min_replicas: usize,
    /// Requested tokens per second. Only the ratio between models matters.
    pub demand: f64,
    /// Estimated time to load it from the weight store at this shard's part of the store's rate.
    pub load_time: Duration,
}

/// Input of one planning round: the reported and the desired state of a shard.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementInput {
    /// Engines whose load report was read in this round.
    pub engines: Vec<ReportedEngine>,
    /// Desired models and adapters.
    pub desired_models: BTreeMap<ModelName, DesiredModel>,
}

/// Change of one engine: it is to have exactly `models` loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementChange {
    /// Engine to change.
    pub engine: UpstreamId,
    /// Desired models and adapters of the engine with their versions.
    pub models: BTreeMap<ModelName, String>,
    /// Reason for operators, recorded with the decision.
    pub reason: String,
}

/// A planned change that its engine does not report as done yet.
#[derive(Clone, Debug)]
struct PendingChange {
    models: BTreeMap<ModelName, String>,
    /// Model and version that this change rolls out, if any.
    rollout: Option<(ModelName, String)>,
    /// When the change counts as failed.
    deadline: Instant,
}

/// Observation of the engine that loaded the new version of a model last.
#[derive(Clone, Debug)]
struct SoakState {
    engine: UpstreamId,
    boot: u64,
    until: Instant,
}

/// Plans the placement changes of one shard.
#[derive(Debug)]
pub struct PlacementPlanner {
    policy: PlacementPolicy,
    /// Time of the last report of each known engine.
    last_reports: BTreeMap<UpstreamId, Instant>,
    pending: BTreeMap<UpstreamId, PendingChange>,
    soaking: BTreeMap<ModelName, SoakState>,
    /// Time since which each model has lacked replicas.
    shortage_since: BTreeMap<ModelName, Instant>,
    /// When the next load may start: loads take turns, as they share the rate of the weight store.
    next_load_start: Instant,
    halted: BTreeSet<(ModelName, String)>,
}

impl PlacementPlanner {
    /// Returns a planner that knows no engines and no halted rollouts.
    pub fn new(policy: PlacementPolicy) -> Self {
        Self {
            policy,
            last_reports: BTreeMap::new(),
            pending: BTreeMap::new(),
            soaking: BTreeMap::new(),
            shortage_since: BTreeMap::new(),
            next_load_start: Instant::now(),
            halted: BTreeSet::new(),
        }
    }

    /// Sets the halted rollouts, which stay halted until the terms set another version of the
    /// model.
    pub fn with_halted(mut self, halted: BTreeSet<(ModelName, String)>) -> Self {
        self.halted = halted;
        self
    }

    /// Versions whose rollout was halted because an engine restarted with them or did not load them
    /// in time.
    pub fn halted(&self) -> &BTreeSet<(ModelName, String)> {
        &self.halted
    }

    /// Returns the changes that should start now; none if too few of the known engines report.
    ///
    /// The caller has to order each change: it counts as pending until the engine reports it, or as
    /// failed after its deadline.
    pub fn plan(&mut self, input: &PlacementInput) -> Vec<PlacementChange> {
        let now = Instant::now();
        self.halted
            .retain(|(model, version)| desired_version(input, model) == Some(version.as_str()));
        if !self.record_reports(input, now) {
            return Vec::new();
        }
        self.resolve_pending(input, now);
        self.check_soaking(input, now);
        let mut changes = self.plan_adapters(input, now);
        changes.extend(self.plan_rollouts(input, now));
        changes.extend(self.plan_replicas(input, now));
        changes
    }

    /// Records the engines that report; returns whether they reach the quorum of the known engines.
    fn record_reports(&mut self, input: &PlacementInput, now: Instant) -> bool {
        for engine in &input.engines {
            self.last_reports.insert(engine.id.clone(), now);
        }
        let engine_expiry = self.policy.engine_expiry;
        self.last_reports
            .retain(|_, at| now.duration_since(*at) < engine_expiry);
        let reporting = input.engines.len() as f64;
        !input.engines.is_empty()
            && reporting >= self.policy.report_quorum * self.last_reports.len() as f64
    }

    /// Removes completed and overdue changes. A completed rollout starts the soak time, an overdue
    /// one halts.
    fn resolve_pending(&mut self, input: &PlacementInput, now: Instant) {
        let pending = std::mem::take(&mut self.pending);
        for (id, pending) in pending {
            let engine = input.engines.iter().find(|engine| engine.id == id);
            let done = engine.is_some_and(|engine| satisfies(&engine.loaded, &pending.models));
            if done {
                if let (Some((model, _)), Some(engine)) = (pending.rollout, engine) {
                    let until = now + self.policy.soak_time;
                    let boot = engine.boot;
                    let engine = id;
                    self.soaking.insert(
                        model,
                        SoakState {
                            engine,
                            boot,
                            until,
                        },
                    );
                }
            } else if now >= pending.deadline {
                self.halted.extend(pending.rollout);
            } else {
                self.pending.insert(id, pending);
            }
        }
    }

    /// Halts each rollout whose last changed engine restarted or disappeared within the soak time.
    fn check_soaking(&mut self, input: &PlacementInput, now: Instant) {
        let soaking = std::mem::take(&mut self.soaking);
        for (model, state) in soaking {
            let engine = input
                .engines
                .iter()
                .find(|engine| engine.id == state.engine);
            let restarted = engine.is_none_or(|engine| engine.boot != state.boot);
            if restarted {
                if let Some(version) = desired_version(input, &model) {
                    self.halted.insert((model, version.to_owned()));
                }
            } else if now < state.until {
                self.soaking.insert(model, state);
            }
        }
    }

    /// Plans to load missing adapters beside their base models and to unload adapters that are no
    /// longer desired.
    fn plan_adapters(&mut self, input: &PlacementInput, now: Instant) -> Vec<PlacementChange> {
        let mut changes = Vec::new();
        for engine in input.engines.iter().filter(|engine| engine.live) {
            if self.pending.contains_key(&engine.id) {
                continue;
            }
            let models = with_adapters(input, bases(input, engine));
            if !satisfies(&engine.loaded, &models) {
                let reason = "the adapters of its models have changed".to_owned();
                changes.push(self.start_change(input, engine, models, None, reason, now));
            }
        }
        changes
    }

    /// Plans the next engine of each rollout, the least busy one first.
    fn plan_rollouts(&mut self, input: &PlacementInput, now: Instant) -> Vec<PlacementChange> {
        let mut changes = Vec::new();
        for (model, desired) in desired_base_models(input) {
            let rolled = (model.clone(), desired.version.clone());
            let in_progress = self.soaking.contains_key(model) || self.is_rolling(model);
            if desired.version.is_empty() || in_progress || self.halted.contains(&rolled) {
                continue;
            }
            if now < self.next_load_start {
                break;
            }
            let old = self.available_engines(input).into_iter().filter(|engine| {
                let loaded = engine.loaded.get(model);
                loaded.is_some_and(|version| *version != desired.version)
            });
            let Some(engine) = old.min_by_key(|engine| (engine.active_requests, engine.id.clone()))
            else {
                continue;
            };
            if replicas(input, model) < 2 && input.engines.len() > 1 {
                // The only replica keeps serving until `plan_replicas` has added a second one.
                continue;
            }
            let mut models = bases(input, engine);
            models.insert(model.clone(), desired.version.clone());
            let models = with_adapters(input, models);
            let reason = format!("rollout of {model} version {}", desired.version);
            changes.push(self.start_change(input, engine, models, Some(rolled), reason, now));
        }
        changes
    }

    /// Plans a replica of the model that lacks most, if it has lacked them long enough.
    fn plan_replicas(&mut self, input: &PlacementInput, now: Instant) -> Vec<PlacementChange> {
        let targets = replica_targets(input);
        let mut worst: Option<(&ModelName, usize)> = None;
        for (model, desired) in desired_base_models(input) {
            let target = targets.get(model).copied().unwrap_or(0);
            let count = replicas(input, model) + self.loading(input, model);
            let missing = target.saturating_sub(count);
            if missing == 0 {
                self.shortage_since.remove(model);
                continue;
            }
            let since = *self.shortage_since.entry(model.clone()).or_insert(now);
            let urgent = count < desired.min_replicas.max(1);
            let shortage_delay = match urgent {
                true => self.policy.urgent_delay,
                false => self.policy.shortage_delay,
            };
            let lasted = now.duration_since(since) >= shortage_delay;
            if lasted && worst.is_none_or(|(_, most)| missing > most) {
                worst = Some((model, missing));
            }
        }
        let Some((model, missing)) = worst else {
            return Vec::new();
        };
        if now < self.next_load_start {
            return Vec::new();
        }
        let Some((engine, unloaded)) = self.choose_engine(input, model, &targets) else {
            return Vec::new();
        };
        let mut models = bases(input, engine);
        if let Some(unloaded) = &unloaded {
            models.remove(unloaded);
        }
        let version = self.load_version(input, model);
        let is_rollout = is_outdated(input, model, &version);
        let rollout = is_rollout.then(|| (model.clone(), version.clone()));
        models.insert(model.clone(), version);
        let models = with_adapters(input, models);
        let reason = match unloaded {
            Some(other) => format!("{model} lacks {missing} replicas, {other} has one to spare"),
            None => format!("{model} lacks {missing} replicas, the engine has room"),
        };
        vec![self.start_change(input, engine, models, rollout, reason, now)]
    }

    /// Version for a new replica: the desired one, or another loaded one while the rollout of the
    /// desired one is halted.
    fn load_version(&self, input: &PlacementInput, model: &ModelName) -> String {
        let desired = input.desired_models[model].version.clone();
        if !self.halted.contains(&(model.clone(), desired.clone())) {
            return desired;
        }
        let mut in_use = input
            .engines
            .iter()
            .filter_map(|engine| engine.loaded.get(model));
        in_use
            .find(|version| **version != desired)
            .cloned()
            .unwrap_or(desired)
    }

    /// Engine to load `model` on, and the model that it must unload if it has no free slot.
    fn choose_engine<'v>(
        &self,
        input: &'v PlacementInput,
        model: &ModelName,
        targets: &BTreeMap<ModelName, usize>,
    ) -> Option<(&'v ReportedEngine, Option<ModelName>)> {
        if let Some(engine) = self.engine_with_free_slot(input, model) {
            return Some((engine, None));
        }
        let surplus = |other: &ModelName| {
            let target = targets.get(other).copied().unwrap_or(0);
            replicas(input, other).saturating_sub(target)
        };
        let mut best: Option<(&ReportedEngine, ModelName, usize)> = None;
        for engine in self.available_engines(input) {
            if engine.loaded.contains_key(model) {
                continue;
            }
            for other in bases(input, engine).into_keys() {
                let spare = surplus(&other);
                let is_desired = input.desired_models.contains_key(&other);
                // The last replica of a desired model is never unloaded.
                let last = is_desired && replicas(input, &other) < 2;
                let better = best.as_ref().is_none_or(|(known, _, most)| {
                    (spare, known.active_requests) > (*most, engine.active_requests)
                });
                if spare > 0 && !last && better {
                    best = Some((engine, other, spare));
                }
            }
        }
        best.map(|(engine, other, _)| (engine, Some(other)))
    }

    /// Least busy engine with a free slot for a base model.
    fn engine_with_free_slot<'v>(
        &self,
        input: &'v PlacementInput,
        model: &ModelName,
    ) -> Option<&'v ReportedEngine> {
        self.available_engines(input)
            .into_iter()
            .filter(|engine| !engine.loaded.contains_key(model))
            .filter(|engine| bases(input, engine).len() < engine.slots)
            .min_by_key(|engine| (engine.active_requests, engine.id.clone()))
    }

    fn available_engines<'v>(&self, input: &'v PlacementInput) -> Vec<&'v ReportedEngine> {
        let engines = input.engines.iter();
        engines
            .filter(|engine| engine.live && !self.pending.contains_key(&engine.id))
            .collect()
    }

    /// Number of engines with a pending change to load `model` that do not report it yet.
    fn loading(&self, input: &PlacementInput, model: &ModelName) -> usize {
        let reports = |id: &UpstreamId| {
            let engine = input.engines.iter().find(|engine| engine.id == *id);
            engine.is_some_and(|engine| engine.loaded.contains_key(model))
        };
        self.pending
            .iter()
            .filter(|(id, pending)| pending.models.contains_key(model) && !reports(id))
            .count()
    }

    fn is_rolling(&self, model: &ModelName) -> bool {
        let mut rollouts = self
            .pending
            .values()
            .filter_map(|pending| pending.rollout.as_ref());
        rollouts.any(|(rolled, _)| rolled == model)
    }

    fn start_change(
        &mut self,
        input: &PlacementInput,
        engine: &ReportedEngine,
        models: BTreeMap<ModelName, String>,
        rollout: Option<(ModelName, String)>,
        reason: String,
        now: Instant,
    ) -> PlacementChange {
        let changed = models
            .iter()
            .filter(|(model, version)| engine.loaded.get(*model) != Some(*version));
        let load_time: Duration = changed
            .filter_map(|(model, _)| input.desired_models.get(model))
            .map(|desired| desired.load_time)
            .sum();
        self.next_load_start = self.next_load_start.max(now) + load_time;
        let pending = PendingChange {
            models: models.clone(),
            rollout,
            deadline: now + load_time + self.policy.load_slack,
        };
        self.pending.insert(engine.id.clone(), pending);
        PlacementChange {
            engine: engine.id.clone(),
            models,
            reason,
        }
    }
}

fn desired_version<'v>(input: &'v PlacementInput, model: &ModelName) -> Option<&'v str> {
    input
        .desired_models
        .get(model)
        .map(|desired| desired.version.as_str())
}

fn desired_base_models(
    input: &PlacementInput,
) -> impl Iterator<Item = (&ModelName, &DesiredModel)> {
    input
        .desired_models
        .iter()
        .filter(|(_, desired)| desired.base.is_none())
}

/// Base models of an engine: all loaded models except the known adapters.
fn bases(input: &PlacementInput, engine: &ReportedEngine) -> BTreeMap<ModelName, String> {
    let is_base = |model: &ModelName| {
        input
            .desired_models
            .get(model)
            .is_none_or(|w| w.base.is_none())
    };
    let loaded = engine.loaded.iter();
    loaded
        .filter(|(model, _)| is_base(model))
        .map(|(model, version)| (model.clone(), version.clone()))
        .collect()
}

/// Whether exactly the models in `desired` are loaded. An empty desired version matches any.
fn satisfies(loaded: &BTreeMap<ModelName, String>, desired: &BTreeMap<ModelName, String>) -> bool {
    let holds = |(model, version): (&ModelName, &String)| {
        let found = loaded.get(model);
        found.is_some_and(|found| version.is_empty() || found == version)
    };
    loaded.len() == desired.len() && desired.iter().all(holds)
}

/// Whether a live engine has `model` loaded in another version; false if `version` is empty.
fn is_outdated(input: &PlacementInput, model: &ModelName, version: &str) -> bool {
    let live = input.engines.iter().filter(|engine| engine.live);
    let mut versions = live.filter_map(|engine| engine.loaded.get(model));
    !version.is_empty() && versions.any(|loaded| loaded != version)
}

/// Adds all desired adapters of the base models in `models`.
fn with_adapters(
    input: &PlacementInput,
    mut models: BTreeMap<ModelName, String>,
) -> BTreeMap<ModelName, String> {
    let adapters: Vec<(ModelName, String)> = input
        .desired_models
        .iter()
        .filter(|(_, desired)| {
            desired
                .base
                .as_ref()
                .is_some_and(|base| models.contains_key(base))
        })
        .map(|(adapter, desired)| (adapter.clone(), desired.version.clone()))
        .collect();
    models.extend(adapters);
    models
}

/// Number of live engines that report `model` as loaded.
fn replicas(input: &PlacementInput, model: &ModelName) -> usize {
    let engines = input.engines.iter();
    engines
        .filter(|engine| engine.live && engine.loaded.contains_key(model))
        .count()
}

/// Desired number of replicas of each base model. After each model has its least number, the other
/// slots of the live engines are shared in proportion to demand by the largest remainder method.
fn replica_targets(input: &PlacementInput) -> BTreeMap<ModelName, usize> {
    let live = input.engines.iter().filter(|engine| engine.live);
    let (engines, slots) = live.fold((0, 0), |(engines, slots), engine| {
        (engines + 1, slots + engine.slots)
    });
    let mut targets: BTreeMap<ModelName, usize> = desired_base_models(input)
        .map(|(model, desired)| {
            // A rollout needs a second replica, so that one serves while the other is reloaded.
            let least = 1 + usize::from(is_outdated(input, model, &desired.version));
            (model.clone(), desired.min_replicas.max(least).min(engines))
        })
        .collect();
    let demand = |model: &ModelName| input.desired_models[model].demand;
    let total: f64 = targets.keys().map(demand).sum();
    if total <= 0.0 {
        return targets;
    }
    let mut left = slots.saturating_sub(targets.values().sum());
    while left > 0 {
        let lacking = targets.iter().filter(|(_, target)| **target < engines);
        let most = lacking.max_by(|(a, a_target), (b, b_target)| {
            let a_gap = demand(a) / total * slots as f64 - **a_target as f64;
            let b_gap = demand(b) / total * slots as f64 - **b_target as f64;
            a_gap.total_cmp(&b_gap)
        });
        let Some((model, _)) = most else { break };
        let model = model.clone();
        *targets.entry(model).or_default() += 1;
        left -= 1;
    }
    targets
}
