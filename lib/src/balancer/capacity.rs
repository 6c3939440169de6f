//! Spare capacity of a service for batch items, over all upstreams in a host's window.
//!
//! Designed for an online load that swings by a factor of five within seconds, with more batch work
//! queued than fits between the peaks. With one slot kept free at each upstream, every online
//! request preempted an item, which started again in less than a second: 1,752 preemptions for 444
//! items, half of them before the item produced an event. Therefore the free slots of all upstreams
//! count together, as an online request goes to any upstream that has one, and items start only
//! well above the number of free slots below which they are preempted.

use crate::balancer::state::BalancerKey;

/// Fraction of the slots that is kept free for further online requests; with fewer free slots,
/// batch items are preempted.
const MIN_FREE_FRACTION: f64 = 0.04;
/// Fraction of the slots above which free slots are used for new batch items.
const START_FREE_FRACTION: f64 = 0.10;

/// Slots of one upstream and the work of all hosts there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SlotUsage {
    pub(crate) key: BalancerKey,
    /// Tag of the upstream, the same on all hosts.
    pub(crate) tag: u32,
    pub(crate) slots: u32,
    pub(crate) online: u32,
    pub(crate) batch: u32,
}

impl SlotUsage {
    fn total(self) -> u32 {
        self.online + self.batch
    }
}

/// Number of free slots of a service, with the numbers below which items are preempted (`min_free`)
/// and above which they start (`start_above`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SpareCapacity {
    free: u32,
    min_free: u32,
    start_above: u32,
}

impl SpareCapacity {
    /// Computes the spare capacity of upstreams with these slots and work.
    pub(crate) fn new(usages: &[SlotUsage]) -> Self {
        let slots: u32 = usages.iter().map(|usage| usage.slots).sum();
        let free = usages
            .iter()
            .map(|usage| usage.slots.saturating_sub(usage.total()));
        let share = |fraction: f64| (f64::from(slots) * fraction).ceil() as u32;
        let min_free = share(MIN_FREE_FRACTION).max(1);
        Self {
            free: free.sum(),
            min_free,
            start_above: share(START_FREE_FRACTION).max(min_free + 1),
        }
    }

    /// Number of items that may start, on all hosts together.
    pub(crate) fn spare(self) -> u32 {
        self.free.saturating_sub(self.start_above)
    }

    /// Number of items to preempt at each upstream, of all hosts together.
    ///
    /// Where an upstream has more work than slots, its surplus is preempted. If fewer than the
    /// minimum number of slots are free, one item for each missing slot is preempted as well, at
    /// the upstreams with the most work; hosts with the same fills agree. Nothing is preempted
    /// while there is no online work.
    pub(crate) fn preemptions(self, usages: &[SlotUsage]) -> Vec<(BalancerKey, u32)> {
        if usages.iter().all(|usage| usage.online == 0) {
            return Vec::new();
        }
        let mut preemptions: Vec<(SlotUsage, u32)> = usages
            .iter()
            .map(|usage| {
                (
                    *usage,
                    usage.total().saturating_sub(usage.slots).min(usage.batch),
                )
            })
            .collect();
        for _ in self.free..self.min_free {
            let fullest = preemptions
                .iter_mut()
                .filter(|(usage, preempted)| *preempted < usage.batch)
                .max_by_key(|(usage, preempted)| (usage.total() - *preempted, usage.tag));
            match fullest {
                Some((_, preempted)) => *preempted += 1,
                None => break,
            }
        }
        let preemptions = preemptions
            .into_iter()
            .filter(|(_, preempted)| *preempted > 0);
        preemptions
            .map(|(usage, preempted)| (usage.key, preempted))
            .collect()
    }
}
