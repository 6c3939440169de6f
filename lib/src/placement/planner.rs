//! Decides which engines should change what they have loaded. No I/O.
//!
//! Planning is level-triggered: each call compares what engines report with what is wanted, and
//! returns the few changes that may start now. Nothing but pacing is remembered between calls.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::ids::ModelName;
use crate::ids::UpstreamId;

/// Limits on how fast placement may change the fleet.
#[derive(Clone, Debug)]
pub struct PlacementPolicy {
    /// How long a shortage must last before an engine is moved.
    pub hold: Duration,
    /// How long a shortage must last when too few replicas are left for the terms.
    pub urgent_hold: Duration,
    /// How long a new version must run without a restart before the next engine gets it.
    pub soak: Duration,
    /// How long an order may take beyond the time that the weight store needs.
    pub load_slack: Duration,
    /// How long an engine counts as known after its last report.
    pub memory: Duration,
    /// Least share of the known engines that must report for any change to be made.
    pub quorum: f64,
}

impl Default for PlacementPolicy {
    fn default() -> Self {
        Self {
            hold: Duration::from_secs(30),
            urgent_hold: Duration::from_secs(2),
            soak: Duration::from_secs(10),
            load_slack: Duration::from_secs(30),
            memory: Duration::from_secs(60),
            quorum: 0.5,
        }
    }
}

/// An engine as its last report shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedEngine {
    /// Name of the engine.
    pub id: UpstreamId,
    /// Loaded models and adapters with the versions of their weights.
    pub loaded: BTreeMap<ModelName, String>,
    /// Base models that fit at once.
    pub slots: usize,
    /// Running and waiting sequences.
    pub busy: u32,
    /// Changes whenever the engine starts anew.
    pub boot: u64,
    /// Whether the engine may get new work.
    pub live: bool,
}

/// What is wanted of one model or adapter.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DesiredModel {
    /// Wanted version; empty means whatever is loaded.
    pub version: String,
    /// For an adapter, the model that it adapts.
    pub base: Option<ModelName>,
    /// Fewest engines that have it loaded.
    pub min_replicas: usize,
    /// Tokens a second that are asked of it, in any unit that is common to all models.
    pub demand: f64,
    /// Time to load it from the weight store at this shard's part of the store's rate.
    pub load_time: Duration,
}

/// What the planner compares.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementInput {
    /// Engines that report.
    pub engines: Vec<ReportedEngine>,
    /// Wanted models and adapters.
    pub wishes: BTreeMap<ModelName, DesiredModel>,
}

/// An engine that is to have exactly `models` loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementChange {
    /// The engine.
    pub engine: UpstreamId,
    /// Wanted end state: models and adapters with their versions.
    pub models: BTreeMap<ModelName, String>,
    /// Explanation for a person.
    pub reason: String,
}

#[derive(Clone, Debug)]
struct PendingChange {
    models: BTreeMap<ModelName, String>,
    /// Version that is being rolled out by this move, by model.
    rollout: Option<(ModelName, String)>,
    deadline: Instant,
}

#[derive(Clone, Debug)]
struct SoakState {
    engine: UpstreamId,
    boot: u64,
    until: Instant,
}

/// Planner of one shard.
#[derive(Debug)]
pub struct PlacementPlanner {
    policy: PlacementPolicy,
    seen: BTreeMap<UpstreamId, Instant>,
    pending: BTreeMap<UpstreamId, PendingChange>,
    soaking: BTreeMap<ModelName, SoakState>,
    short_since: BTreeMap<ModelName, Instant>,
    next_load: Instant,
    halted: BTreeSet<(ModelName, String)>,
}

impl PlacementPlanner {
    /// Returns a planner that has seen nothing.
    pub fn new(policy: PlacementPolicy) -> Self {
        Self {
            policy,
            seen: BTreeMap::new(),
            pending: BTreeMap::new(),
            soaking: BTreeMap::new(),
            short_since: BTreeMap::new(),
            next_load: Instant::now(),
            halted: BTreeSet::new(),
        }
    }

    /// Versions whose rollout was stopped, and stays stopped until another version is wanted.
    pub fn with_halted(mut self, halted: BTreeSet<(ModelName, String)>) -> Self {
        self.halted = halted;
        self
    }

    /// Versions whose rollout was stopped because an engine failed with them.
    pub fn halted(&self) -> &BTreeSet<(ModelName, String)> {
        &self.halted
    }

    /// Returns the changes that should start now.
    pub fn plan(&mut self, view: &PlacementInput) -> Vec<PlacementChange> {
        let now = Instant::now();
        self.halted
            .retain(|(model, version)| wanted_version(view, model) == Some(version.as_str()));
        if !self.note_seen(view, now) {
            return Vec::new();
        }
        self.settle_pending(view, now);
        self.settle_soaking(view, now);
        let mut moves = self.plan_adapters(view, now);
        moves.extend(self.plan_rollouts(view, now));
        moves.extend(self.plan_counts(view, now));
        moves
    }

    /// Remembers who reports; returns whether enough of the known engines do.
    fn note_seen(&mut self, view: &PlacementInput, now: Instant) -> bool {
        for engine in &view.engines {
            self.seen.insert(engine.id.clone(), now);
        }
        let memory = self.policy.memory;
        self.seen.retain(|_, at| now.duration_since(*at) < memory);
        let reporting = view.engines.len() as f64;
        !view.engines.is_empty() && reporting >= self.policy.quorum * self.seen.len() as f64
    }

    /// Forgets moves that are done and stops rollouts whose engine did not come up.
    fn settle_pending(&mut self, view: &PlacementInput, now: Instant) {
        let pending = std::mem::take(&mut self.pending);
        for (id, pending) in pending {
            let engine = view.engines.iter().find(|engine| engine.id == id);
            let done = engine.is_some_and(|engine| satisfies(&engine.loaded, &pending.models));
            if done {
                if let (Some((model, _)), Some(engine)) = (pending.rollout, engine) {
                    let until = now + self.policy.soak;
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

    /// Stops a rollout whose newest engine started anew while it was watched.
    fn settle_soaking(&mut self, view: &PlacementInput, now: Instant) {
        let soaking = std::mem::take(&mut self.soaking);
        for (model, state) in soaking {
            let engine = view.engines.iter().find(|engine| engine.id == state.engine);
            let restarted = engine.is_none_or(|engine| engine.boot != state.boot);
            if restarted {
                if let Some(version) = wanted_version(view, &model) {
                    self.halted.insert((model, version.to_owned()));
                }
            } else if now < state.until {
                self.soaking.insert(model, state);
            }
        }
    }

    /// Loads missing adapters beside their base models and removes those no longer wanted.
    fn plan_adapters(&mut self, view: &PlacementInput, now: Instant) -> Vec<PlacementChange> {
        let mut moves = Vec::new();
        for engine in view.engines.iter().filter(|engine| engine.live) {
            if self.pending.contains_key(&engine.id) {
                continue;
            }
            let models = with_adapters(view, bases(view, engine));
            if !satisfies(&engine.loaded, &models) {
                let reason = "the adapters of its models have changed".to_owned();
                moves.push(self.start(view, engine, models, None, reason, now));
            }
        }
        moves
    }

    /// Gives one more engine the wanted version of each model that is being rolled out.
    fn plan_rollouts(&mut self, view: &PlacementInput, now: Instant) -> Vec<PlacementChange> {
        let mut moves = Vec::new();
        for (model, wish) in base_wishes(view) {
            let rolled = (model.clone(), wish.version.clone());
            let busy = self.soaking.contains_key(model) || self.is_rolling(model);
            if wish.version.is_empty() || busy || self.halted.contains(&rolled) {
                continue;
            }
            if now < self.next_load {
                break;
            }
            let old = self.free_engines(view).into_iter().filter(|engine| {
                let loaded = engine.loaded.get(model);
                loaded.is_some_and(|version| *version != wish.version)
            });
            let Some(engine) = old.min_by_key(|engine| (engine.busy, engine.id.clone())) else {
                continue;
            };
            if replicas(view, model) < 2 && view.engines.len() > 1 {
                // The only replica stays until the count of replicas has been raised.
                continue;
            }
            let mut models = bases(view, engine);
            models.insert(model.clone(), wish.version.clone());
            let models = with_adapters(view, models);
            let reason = format!("rollout of {model} version {}", wish.version);
            moves.push(self.start(view, engine, models, Some(rolled), reason, now));
        }
        moves
    }

    /// Moves one engine to the model that lacks replicas most.
    fn plan_counts(&mut self, view: &PlacementInput, now: Instant) -> Vec<PlacementChange> {
        let targets = replica_targets(view);
        let mut worst: Option<(&ModelName, usize)> = None;
        for (model, wish) in base_wishes(view) {
            let target = targets.get(model).copied().unwrap_or(0);
            let count = replicas(view, model) + self.loading(view, model);
            let missing = target.saturating_sub(count);
            if missing == 0 {
                self.short_since.remove(model);
                continue;
            }
            let since = *self.short_since.entry(model.clone()).or_insert(now);
            let urgent = count < wish.min_replicas.max(1);
            let hold = match urgent {
                true => self.policy.urgent_hold,
                false => self.policy.hold,
            };
            let lasted = now.duration_since(since) >= hold;
            if lasted && worst.is_none_or(|(_, most)| missing > most) {
                worst = Some((model, missing));
            }
        }
        let Some((model, missing)) = worst else {
            return Vec::new();
        };
        if now < self.next_load {
            return Vec::new();
        }
        let Some((engine, given_up)) = self.donor(view, model, &targets) else {
            return Vec::new();
        };
        let mut models = bases(view, engine);
        if let Some(given_up) = &given_up {
            models.remove(given_up);
        }
        let version = self.load_version(view, model);
        let is_rollout = is_outdated(view, model, &version);
        let rollout = is_rollout.then(|| (model.clone(), version.clone()));
        models.insert(model.clone(), version);
        let models = with_adapters(view, models);
        let reason = match given_up {
            Some(other) => format!("{model} lacks {missing} replicas, {other} has one to spare"),
            None => format!("{model} lacks {missing} replicas, the engine has room"),
        };
        vec![self.start(view, engine, models, rollout, reason, now)]
    }

    /// Version for a new replica: the wanted one, or one in use while the wanted one is halted.
    fn load_version(&self, view: &PlacementInput, model: &ModelName) -> String {
        let wanted = view.wishes[model].version.clone();
        if !self.halted.contains(&(model.clone(), wanted.clone())) {
            return wanted;
        }
        let mut in_use = view
            .engines
            .iter()
            .filter_map(|engine| engine.loaded.get(model));
        in_use
            .find(|version| **version != wanted)
            .cloned()
            .unwrap_or(wanted)
    }

    /// Engine to load `model` on, with the model that it gives up, if it must.
    fn donor<'v>(
        &self,
        view: &'v PlacementInput,
        model: &ModelName,
        targets: &BTreeMap<ModelName, usize>,
    ) -> Option<(&'v ReportedEngine, Option<ModelName>)> {
        if let Some(engine) = self.spare_engine(view, model) {
            return Some((engine, None));
        }
        let surplus = |other: &ModelName| {
            let target = targets.get(other).copied().unwrap_or(0);
            replicas(view, other).saturating_sub(target)
        };
        let mut best: Option<(&ReportedEngine, ModelName, usize)> = None;
        for engine in self.free_engines(view) {
            if engine.loaded.contains_key(model) {
                continue;
            }
            for other in bases(view, engine).into_keys() {
                let spare = surplus(&other);
                let wanted = view.wishes.contains_key(&other);
                // A wanted model never gives up its last replica.
                let last = wanted && replicas(view, &other) < 2;
                let better = best
                    .as_ref()
                    .is_none_or(|(known, _, most)| (spare, known.busy) > (*most, engine.busy));
                if spare > 0 && !last && better {
                    best = Some((engine, other, spare));
                }
            }
        }
        best.map(|(engine, other, _)| (engine, Some(other)))
    }

    /// Least busy engine with room for one more base model.
    fn spare_engine<'v>(
        &self,
        view: &'v PlacementInput,
        model: &ModelName,
    ) -> Option<&'v ReportedEngine> {
        self.free_engines(view)
            .into_iter()
            .filter(|engine| !engine.loaded.contains_key(model))
            .filter(|engine| bases(view, engine).len() < engine.slots)
            .min_by_key(|engine| (engine.busy, engine.id.clone()))
    }

    fn free_engines<'v>(&self, view: &'v PlacementInput) -> Vec<&'v ReportedEngine> {
        let engines = view.engines.iter();
        engines
            .filter(|engine| engine.live && !self.pending.contains_key(&engine.id))
            .collect()
    }

    /// Number of engines that have been ordered to load `model` and do not report it yet.
    fn loading(&self, view: &PlacementInput, model: &ModelName) -> usize {
        let reports = |id: &UpstreamId| {
            let engine = view.engines.iter().find(|engine| engine.id == *id);
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

    fn start(
        &mut self,
        view: &PlacementInput,
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
            .filter_map(|(model, _)| view.wishes.get(model))
            .map(|wish| wish.load_time)
            .sum();
        self.next_load = self.next_load.max(now) + load_time;
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

fn wanted_version<'v>(view: &'v PlacementInput, model: &ModelName) -> Option<&'v str> {
    view.wishes.get(model).map(|wish| wish.version.as_str())
}

fn base_wishes(view: &PlacementInput) -> impl Iterator<Item = (&ModelName, &DesiredModel)> {
    view.wishes.iter().filter(|(_, wish)| wish.base.is_none())
}

/// Base models of an engine: all that it has loaded but the known adapters.
fn bases(view: &PlacementInput, engine: &ReportedEngine) -> BTreeMap<ModelName, String> {
    let is_base = |model: &ModelName| view.wishes.get(model).is_none_or(|w| w.base.is_none());
    let loaded = engine.loaded.iter();
    loaded
        .filter(|(model, _)| is_base(model))
        .map(|(model, version)| (model.clone(), version.clone()))
        .collect()
}

/// Whether exactly the wanted models are loaded; an empty version is satisfied by any.
fn satisfies(loaded: &BTreeMap<ModelName, String>, wanted: &BTreeMap<ModelName, String>) -> bool {
    let holds = |(model, version): (&ModelName, &String)| {
        let found = loaded.get(model);
        found.is_some_and(|found| version.is_empty() || found == version)
    };
    loaded.len() == wanted.len() && wanted.iter().all(holds)
}

/// Whether a live engine has `model` in another version than `version`.
fn is_outdated(view: &PlacementInput, model: &ModelName, version: &str) -> bool {
    let live = view.engines.iter().filter(|engine| engine.live);
    let mut versions = live.filter_map(|engine| engine.loaded.get(model));
    !version.is_empty() && versions.any(|loaded| loaded != version)
}

/// Adds the wanted adapters of all models in `models`.
fn with_adapters(
    view: &PlacementInput,
    mut models: BTreeMap<ModelName, String>,
) -> BTreeMap<ModelName, String> {
    let adapters: Vec<(ModelName, String)> = view
        .wishes
        .iter()
        .filter(|(_, wish)| {
            wish.base
                .as_ref()
                .is_some_and(|base| models.contains_key(base))
        })
        .map(|(adapter, wish)| (adapter.clone(), wish.version.clone()))
        .collect();
    models.extend(adapters);
    models
}

/// Number of live engines that report `model`.
fn replicas(view: &PlacementInput, model: &ModelName) -> usize {
    let engines = view.engines.iter();
    engines
        .filter(|engine| engine.live && engine.loaded.contains_key(model))
        .count()
}

/// Wanted number of replicas of each base model: the slots of all live engines, dealt out by
/// demand with the largest remainder, after each has its least number.
fn replica_targets(view: &PlacementInput) -> BTreeMap<ModelName, usize> {
    let live = view.engines.iter().filter(|engine| engine.live);
    let (engines, slots) = live.fold((0, 0), |(engines, slots), engine| {
        (engines + 1, slots + engine.slots)
    });
    let mut targets: BTreeMap<ModelName, usize> = base_wishes(view)
        .map(|(model, wish)| {
            // A rollout needs a second replica, so that one always serves.
            let least = 1 + usize::from(is_outdated(view, model, &wish.version));
            (model.clone(), wish.min_replicas.max(least).min(engines))
        })
        .collect();
    let demand = |model: &ModelName| view.wishes[model].demand;
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
