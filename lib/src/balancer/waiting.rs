//! Order of waiting batch items over all hosts of a fleet.
//!
//! Answers a backlog of batch work that is spread unevenly over the hosts, as after an outage: if
//! each host started its own items in order and took an equal share of the free slots, hosts with
//! few items would start late ones while items at other hosts miss their due time. Each host
//! therefore reports its waiting items by urgency, and starts an item only if there are more free
//! slots than more urgent items elsewhere.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::ServiceName;

/// Maximum number of groups of waiting items in a load report, the most urgent ones.
pub(crate) const MAX_REPORTED_GROUPS: usize = 24;

/// How urgent a batch item is; the more urgent one is the lesser.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ItemUrgency {
    /// Whether the item can't finish by its due time any more.
    pub is_late: bool,
    /// Time left until the due time; zero after it.
    pub slack: Duration,
}

/// Items of one service that wait at one host and are equally urgent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingItems(
    /// Hash of the service's name.
    pub u32,
    /// Whether the items can't finish by their due time any more.
    pub bool,
    /// Time in milliseconds until their due time, when the report was made.
    pub u32,
    /// Number of items.
    pub u16,
);

impl WaitingItems {
    /// Creates a group of `count` items of `service`.
    pub fn new(service: &ServiceName, urgency: ItemUrgency, count: usize) -> Self {
        let slack_ms = urgency.slack.as_millis().min(u128::from(u32::MAX)) as u32;
        let count = count.min(usize::from(u16::MAX)) as u16;
        Self(service_tag(service), urgency.is_late, slack_ms, count)
    }

    /// Urgency of the items `age` after the report was made.
    fn urgency(self, age: Duration) -> ItemUrgency {
        ItemUrgency {
            is_late: self.1,
            slack: Duration::from_millis(u64::from(self.2)).saturating_sub(age),
        }
    }

    /// Number of these items that belong to the service with `tag` and come before an item of
    /// `urgency`, `age` after the report was made. `is_first` tells who goes first among equals.
    pub(crate) fn before(
        self,
        tag: u32,
        urgency: ItemUrgency,
        age: Duration,
        is_first: bool,
    ) -> u32 {
        let own = self.urgency(age);
        match self.0 == tag && (own < urgency || (own == urgency && is_first)) {
            true => u32::from(self.3),
            false => 0,
        }
    }
}

/// Whether two reports list the same numbers of waiting items, whatever time they have left.
pub(crate) fn is_same_backlog(one: &[WaitingItems], other: &[WaitingItems]) -> bool {
    let group = |items: &WaitingItems| (items.0, items.1, items.3);
    one.iter().map(group).eq(other.iter().map(group))
}

/// Hash of a service's name that stands for it in load reports.
pub(crate) fn service_tag(service: &ServiceName) -> u32 {
    xxh3_64(service.as_str().as_bytes()) as u32
}
