//! Fair shares of flows in a number of slots: weighted max-min fairness by priority classes.

use crate::fairness::flows::FlowKey;
use crate::fairness::terms::FlowClass;

/// Part of its share without priorities that a flow of a lower class keeps.
const MIN_CLASS_SHARE: f64 = 0.35;

/// Requests of one flow that compete for the slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FlowDemand {
    /// The flow.
    pub key: FlowKey,
    /// Its priority class.
    pub class: FlowClass,
    /// Its weight among the flows of its class; positive.
    pub weight: f64,
    /// Number of its requests; not whole where it is estimated from those of other hosts.
    pub count: f64,
}

impl FlowDemand {
    /// Requests for each unit of weight.
    fn ratio(&self) -> f64 {
        self.count / self.weight
    }
}

/// Where a flow stands beside the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FlowStanding {
    /// Number of its requests that are under way.
    pub count: f64,
    /// Its fair share, in requests under way; infinite if there is room for all.
    pub share: f64,
}

impl FlowStanding {
    /// Whether the flow has less than its fair share.
    pub fn is_below_share(self) -> bool {
        self.count < self.share
    }
}

/// Finds the fair share of `own` in `slots` slots that `online` requests use or queue for, if it sends
/// another one. `demands` lists the requests of each flow that are under way, each flow once and in any
/// order; it is sorted, and `own` is added to it if it is missing. Requests of `online` that are not listed
/// are taken to be divided like the listed ones.
///
/// A class gets what the higher ones leave, but each flow at least a part of what it would get without
/// classes. Within a class, no flow gets more by weight than another that has less than it asks for.
pub fn find_standing(
    demands: &mut Vec<FlowDemand>,
    own: FlowDemand,
    slots: f64,
    online: u32,
) -> FlowStanding {
    let position = demands.iter().position(|demand| demand.key == own.key);
    let position = position.unwrap_or_else(|| {
        demands.push(FlowDemand { count: 0.0, ..own });
        demands.len() - 1
    });
    let count = demands[position].count;
    demands[position].count += 1.0;
    let total: f64 = demands.iter().map(|demand| demand.count).sum();
    let slots = slots * total / f64::from(online + 1);
    if total <= slots {
        let share = f64::INFINITY;
        return FlowStanding { count, share };
    }
    demands.sort_unstable_by(|one, other| one.ratio().total_cmp(&other.ratio()));
    let floor_level = MIN_CLASS_SHARE * fill_level(demands.iter(), slots);
    let floor = |demand: &FlowDemand| demand.count.min(floor_level * demand.weight);
    let mut left = slots;
    let mut class = demands.iter().map(|demand| demand.class).min();
    while let Some(current) = class {
        let lower = demands.iter().filter(|demand| demand.class > current);
        let kept: f64 = lower.map(floor).sum();
        let members = || demands.iter().filter(|demand| demand.class == current);
        let room = left - kept;
        if current == own.class {
            let share = fill_level(members(), room) * own.weight;
            return FlowStanding { count, share };
        }
        let asked: f64 = members().map(|demand| demand.count).sum();
        left -= asked.min(room);
        let lower = demands.iter().filter(|demand| demand.class > current);
        class = lower.map(|demand| demand.class).min();
    }
    // The own flow is one of the demands, so that its class is found above.
    FlowStanding { count, share: 0.0 }
}

/// Requests for each unit of weight at which the demands, sorted by [`FlowDemand::ratio`], fill `room`.
/// Infinite if they don't.
fn fill_level<'a>(sorted: impl Iterator<Item = &'a FlowDemand> + Clone, room: f64) -> f64 {
    let mut weight: f64 = sorted.clone().map(|demand| demand.weight).sum();
    let mut left = room.max(0.0);
    for demand in sorted {
        if demand.ratio() * weight >= left {
            return left / weight;
        }
        left -= demand.count;
        weight -= demand.weight;
    }
    f64::INFINITY
}
