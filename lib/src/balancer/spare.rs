//! How much batch work fits beside online work, over all upstreams of a service.
//!
//! Answers a load that swings by a factor of five within seconds, with more batch work waiting
//! than the valleys hold. Keeping a place free at each upstream made every online request
//! displace an item, which came back in less than a second: 1,752 stops for 444 items, half of
//! them before the item made an event. What counts is how many places are free in all, as an
//! online request goes to whichever upstream has one; and items only start well above the
//! number at which they give way.

use crate::balancer::book::BalancerKey;

/// Part of the places that stay free for online requests to come; below it items give way.
const LEAST_FREE: f64 = 0.04;
/// Part of the places that must be free before items start.
const START_FREE: f64 = 0.10;

/// Work at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SlotUsage {
    pub(crate) key: BalancerKey,
    /// Name of the upstream that all hosts use.
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

/// Free places of a service, and the bounds that they are kept within.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SpareCapacity {
    free: u32,
    least: u32,
    start: u32,
}

impl SpareCapacity {
    /// Spare places at upstreams with these fills.
    pub(crate) fn of(fills: &[SlotUsage]) -> Self {
        let slots: u32 = fills.iter().map(|fill| fill.slots).sum();
        let free = fills
            .iter()
            .map(|fill| fill.slots.saturating_sub(fill.total()));
        let share = |part: f64| (f64::from(slots) * part).ceil() as u32;
        let least = share(LEAST_FREE).max(1);
        Self {
            free: free.sum(),
            least,
            start: share(START_FREE).max(least + 1),
        }
    }

    /// Items that one of `hosts` hosts may start before it hears again from the others.
    pub(crate) fn start_share(self, hosts: u32) -> u32 {
        match self.free.saturating_sub(self.start) {
            0 => 0,
            spare => (spare / hosts.max(1)).max(1),
        }
    }

    /// Items that give way at each upstream, of all hosts together.
    ///
    /// Where more runs than fits, the surplus gives way. Beyond that, as many items as places
    /// are missing, from the fullest upstreams; hosts with the same fills agree.
    pub(crate) fn parks(self, fills: &[SlotUsage]) -> Vec<(BalancerKey, u32)> {
        if fills.iter().all(|fill| fill.online == 0) {
            return Vec::new();
        }
        let mut parks: Vec<(SlotUsage, u32)> = fills
            .iter()
            .map(|fill| {
                (
                    *fill,
                    fill.total().saturating_sub(fill.slots).min(fill.batch),
                )
            })
            .collect();
        for _ in self.free..self.least {
            let fullest = parks
                .iter_mut()
                .filter(|(fill, parked)| *parked < fill.batch)
                .max_by_key(|(fill, parked)| (fill.total() - *parked, fill.tag));
            match fullest {
                Some((_, parked)) => *parked += 1,
                None => break,
            }
        }
        let parks = parks.into_iter().filter(|(_, parked)| *parked > 0);
        parks.map(|(fill, parked)| (fill.key, parked)).collect()
    }
}
