//! Room for the online requests of workspaces: refuses them, has them wait here, or counts them as under
//! way.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::time::Instant;

use crate::balancer::LoadBalancer;
use crate::collections::HashMap;
use crate::events::RoomRecord;
use crate::fairness::FlowClass;
use crate::fairness::FlowDemand;
use crate::fairness::FlowKey;
use crate::fairness::FlowStanding;
use crate::fairness::RoomDecision;
use crate::fairness::RoomInputs;
use crate::fairness::RoomReason;
use crate::fairness::ShareTerms;
use crate::fairness::WaitLine;
use crate::fairness::WaiterKey;
use crate::fairness::WorkspaceTag;
use crate::fairness::decide_room;
use crate::fairness::find_standing;
use crate::ids::ServiceName;
use crate::relay::load_shedding::ServiceLoad;
use crate::relay::request::RelayRequest;
use crate::workspaces::WorkspaceDirectory;

/// Why a request has room or not, for the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoomNote {
    pub(crate) reason: RoomReason,
    /// Requests of the workspace that are under way, and its fair share; `None` if it was not needed.
    pub(crate) standing: Option<FlowStanding>,
    /// Time for which the request waited here.
    pub(crate) waited: Duration,
}

impl RoomNote {
    /// What the log tells of the room of `request`.
    pub(crate) fn record(&self, request: &RelayRequest) -> RoomRecord {
        let workspace = request.caller.workspace_name();
        let share = self.standing.map(|standing| standing.share);
        RoomRecord {
            workspace: workspace.map(ToString::to_string),
            reason: self.reason.to_string(),
            under_way: self.standing.map(|standing| tenths(standing.count)),
            share: share.filter(|share| share.is_finite()).map(tenths),
            waited_ms: self.waited.as_millis() as u64,
        }
    }
}

fn tenths(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

/// Refusal of a request for which there is no room.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoomRefusal {
    pub(crate) note: RoomNote,
    pub(crate) load: ServiceLoad,
    /// Delay after which the caller may retry.
    pub(crate) retry_after: Duration,
}

/// A request that counts as under way until this is dropped.
pub(crate) struct RoomPermit {
    balancer: LoadBalancer,
    flow: FlowKey,
    pub(crate) note: RoomNote,
}

impl Drop for RoomPermit {
    fn drop(&mut self) {
        self.balancer.state().own_flows_mut().end(self.flow);
    }
}

#[derive(Default)]
struct RoomState {
    /// `None` if the configuration has no workspaces.
    terms: Option<Arc<ShareTerms>>,
    lines: HashMap<ServiceName, WaitLine>,
}

/// Decides which requests of workspaces have room. Clones share its state.
#[derive(Clone)]
pub(crate) struct RoomKeeper {
    balancer: LoadBalancer,
    state: Arc<Mutex<RoomState>>,
}

/// One request at its decision.
struct RoomRequest<'a> {
    request: &'a RelayRequest,
    flow: FlowKey,
    terms: Arc<ShareTerms>,
    began: Instant,
}

impl RoomKeeper {
    /// Returns a keeper that knows no workspaces, so that it decides on no request.
    pub(crate) fn new(balancer: LoadBalancer) -> Self {
        Self {
            balancer,
            state: Arc::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, RoomState> {
        self.state.lock().expect("room state lock")
    }

    /// Replaces the workspaces of the configuration; `None` if it has none.
    pub(crate) fn set_workspaces(&self, workspaces: Option<&WorkspaceDirectory>) {
        let terms = workspaces.map(|directory| Arc::new(ShareTerms::new(directory)));
        self.state().terms = terms;
    }

    /// Whether the configuration has workspaces, so that [`Self::take`] decides on requests.
    pub(crate) fn is_active(&self) -> bool {
        self.state().terms.is_some()
    }

    /// Waits until `request` has room, or refuses it. Returns `None` if the configuration has no
    /// workspaces. `load` tells the load of its service now.
    pub(crate) async fn take(
        &self,
        request: &RelayRequest,
        load: impl Fn() -> ServiceLoad,
    ) -> Option<Result<RoomPermit, RoomRefusal>> {
        let terms = self.state().terms.clone()?;
        let workspace = WorkspaceTag::new(request.caller.workspace_name());
        let room_request = RoomRequest {
            request,
            flow: FlowKey::new(workspace, &request.service, request.route.priority),
            terms,
            began: Instant::now(),
        };
        let (note, wait) = match self.decide(&room_request, load(), None) {
            Ok((note, None)) => return Some(Ok(self.begin(&room_request, note))),
            Ok((note, Some(wait))) => (note, wait),
            Err(refusal) => return Some(Err(refusal)),
        };
        let limit = room_request.began + wait;
        let mut waiter = Waiter::new(self, &room_request);
        let decided = loop {
            let now = Instant::now();
            if now >= limit {
                break Ok(RoomNote {
                    reason: RoomReason::LastChance,
                    waited: wait,
                    ..note
                });
            }
            let changed = self.balancer.slots_changed_until(limit);
            match waiter.turn(now) {
                WaiterTurn::Later => changed.await,
                WaiterTurn::At(at) if at > now => tokio::time::sleep_until(at.min(limit)).await,
                WaiterTurn::At(_) => {
                    match self.decide(&room_request, load(), Some(now - room_request.began)) {
                        Ok((note, None)) => break Ok(note),
                        Ok((_, Some(_))) => changed.await,
                        Err(refusal) => break Err(refusal),
                    }
                }
            }
        };
        Some(decided.map(|note| {
            let inputs = self.inputs(&room_request, load(), Some(wait));
            // A request that is sent without room takes none from the next one.
            let has_room = note.reason != RoomReason::LastChance;
            waiter.serve(has_room.then(|| inputs.release_interval()));
            self.begin(&room_request, note)
        }))
    }

    fn begin(&self, room_request: &RoomRequest<'_>, note: RoomNote) -> RoomPermit {
        let flow = room_request.flow;
        self.balancer.state().own_flows_mut().begin(flow);
        RoomPermit {
            balancer: self.balancer.clone(),
            flow,
            note,
        }
    }

    /// Returns how long the request may wait, or `None` if it has room.
    fn decide(
        &self,
        room_request: &RoomRequest<'_>,
        load: ServiceLoad,
        waited: Option<Duration>,
    ) -> Result<(RoomNote, Option<Duration>), RoomRefusal> {
        let inputs = self.inputs(room_request, load, waited);
        let standing = match inputs.has_room() || inputs.slots == 0 {
            true => None,
            false => Some(self.standing(room_request, &inputs)),
        };
        let assumed = standing.unwrap_or(FlowStanding {
            count: 0.0,
            share: f64::INFINITY,
        });
        let note = |reason| RoomNote {
            reason,
            standing,
            waited: waited.unwrap_or_default(),
        };
        match decide_room(inputs, assumed, rand::random()) {
            RoomDecision::Admit(reason) => Ok((note(reason), None)),
            RoomDecision::Wait(reason, wait) => Ok((note(reason), Some(wait))),
            RoomDecision::Refuse(reason, retry_after) => Err(RoomRefusal {
                note: note(reason),
                load,
                retry_after,
            }),
        }
    }

    fn inputs(
        &self,
        room_request: &RoomRequest<'_>,
        load: ServiceLoad,
        waited: Option<Duration>,
    ) -> RoomInputs {
        let request = room_request.request;
        RoomInputs {
            slots: load.slots,
            online: load.online,
            is_limited: load.is_limited,
            slot_time: load.slot_time,
            objective: request.route.objective,
            left: request.deadline.saturating_duration_since(Instant::now()),
            waited,
            sharers: self.balancer.state().sharers(&request.service),
        }
    }

    fn standing(&self, room_request: &RoomRequest<'_>, inputs: &RoomInputs) -> FlowStanding {
        let service = &room_request.request.service;
        let counts = self.balancer.state().flows(service);
        let mut demands: Vec<FlowDemand> = counts
            .into_iter()
            .filter_map(|(key, count)| {
                let (class, weight) = room_request.terms.class_and_weight(key, service)?;
                Some(FlowDemand {
                    key,
                    class,
                    weight,
                    count,
                })
            })
            .collect();
        let (class, weight) = room_request.class_and_weight();
        let own = FlowDemand {
            key: room_request.flow,
            class,
            weight,
            count: 0.0,
        };
        find_standing(&mut demands, own, inputs.shared_room(), inputs.online)
    }
}

impl RoomRequest<'_> {
    /// Class and weight of the request's flow. A workspace that the newest configuration lacks goes last,
    /// with an equal weight.
    fn class_and_weight(&self) -> (FlowClass, f64) {
        let service = &self.request.service;
        let known = self.terms.class_and_weight(self.flow, service);
        known.unwrap_or((FlowClass::LAST, 1.0))
    }
}

/// Place of a waiting request in the line of its service.
struct Waiter<'a> {
    keeper: &'a RoomKeeper,
    service: &'a ServiceName,
    flow: FlowKey,
    key: WaiterKey,
    is_served: bool,
}

impl<'a> Waiter<'a> {
    fn new(keeper: &'a RoomKeeper, room_request: &RoomRequest<'a>) -> Self {
        let service = &room_request.request.service;
        let (class, weight) = room_request.class_and_weight();
        let mut state = keeper.state();
        let line = state.lines.entry(service.clone()).or_default();
        let key = line.push(room_request.flow, class, weight);
        Self {
            keeper,
            service,
            flow: room_request.flow,
            key,
            is_served: false,
        }
    }

    /// Whether the request is the first, and when it may get room then: `now` if at once.
    fn turn(&self, now: Instant) -> WaiterTurn {
        let state = self.keeper.state();
        let line = state.lines.get(self.service);
        match line.filter(|line| line.head() == Some(self.key)) {
            None => WaiterTurn::Later,
            Some(line) => WaiterTurn::At(line.next_at().unwrap_or(now)),
        }
    }

    /// Records that the request is sent. If it got room, the next one may get some `interval` later.
    fn serve(&mut self, interval: Option<Duration>) {
        self.is_served = true;
        let Some(interval) = interval else {
            return;
        };
        let mut state = self.keeper.state();
        if let Some(line) = state.lines.get_mut(self.service) {
            line.note_served(Instant::now(), interval);
        }
    }
}

/// When a waiting request may get room.
enum WaiterTurn {
    /// Other requests go first.
    Later,
    /// It is the first, and may get room from this time on.
    At(Instant),
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut state = self.keeper.state();
        if let Some(line) = state.lines.get_mut(self.service) {
            line.remove(self.flow, self.key, self.is_served);
        }
        drop(state);
        // Another request is the first now.
        self.keeper.balancer.notify_waiters();
    }
}
