//! Spare capacity of a service for batch items, over all upstreams in a host's window.
//!
//! Designed for an online load that swings by a factor of five within seconds, with more batch work
//! queued than fits between the peaks. The free slots of all upstreams count together, as an online
//! request goes to any upstream that has one. Items may take all of them: an online request at a
//! full upstream waits only until an item there is preempted, which takes a small part of its
//! latency objective. Items start only while several slots are free, so that an item that has
//! started is not preempted by the next request.

use crate::balancer::state::BalancerKey;

/// Fraction of the slots above which free slots are used for new batch items.
const START_FREE_FRACTION: f64 = 0.04;

/// Slots of one upstream and the work of all hosts there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SlotUsage {
    pub(crate) key: BalancerKey,
    pub(crate) slots: u32,
    pub(crate) online: u32,
    pub(crate) batch: u32,
}

impl SlotUsage {
    fn total(self) -> u32 {
        self.online + self.batch
    }

    fn free(self) -> u32 {
        self.slots.saturating_sub(self.total())
    }

    /// Number of items beyond the slots.
    fn surplus(self) -> u32 {
        self.total().saturating_sub(self.slots).min(self.batch)
    }
}

/// Number of items that may start at upstreams with these slots and work, on all hosts together.
pub(crate) fn spare_slots(usages: &[SlotUsage]) -> u32 {
    let slots: u32 = usages.iter().map(|usage| usage.slots).sum();
    let free: u32 = usages.iter().map(|usage| usage.free()).sum();
    free.saturating_sub((f64::from(slots) * START_FREE_FRACTION).ceil() as u32)
}

/// Whether more than half of the slots are free.
pub(crate) fn is_mostly_free(usages: &[SlotUsage]) -> bool {
    let slots: u32 = usages.iter().map(|usage| usage.slots).sum();
    let free: u32 = usages.iter().map(|usage| usage.free()).sum();
    free * 2 > slots
}

/// Number of items to preempt at each upstream, of all hosts together: those beyond its slots.
/// Nothing is preempted while there is no online work.
pub(crate) fn preemptions(usages: &[SlotUsage]) -> Vec<(BalancerKey, u32)> {
    if usages.iter().all(|usage| usage.online == 0) {
        return Vec::new();
    }
    let surplus = usages.iter().map(|usage| (usage.key, usage.surplus()));
    surplus.filter(|(_, count)| *count > 0).collect()
}
