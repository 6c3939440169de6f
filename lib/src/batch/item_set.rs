//! Sets of item numbers, stored as ranges.

use serde::Deserialize;
use serde::Serialize;

/// A set of item numbers, kept as ranges: its size grows with the number of gaps, not of items.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ItemSet {
    /// Half-open ranges of item numbers, sorted and with a gap between any two.
    runs: Vec<(u64, u64)>,
}

impl ItemSet {
    /// Returns the empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether `item` is in the set.
    pub fn contains(&self, item: u64) -> bool {
        let after = self.runs.partition_point(|run| run.0 <= item);
        after > 0 && item < self.runs[after - 1].1
    }

    /// Adds `item` and returns whether it was absent.
    pub fn insert(&mut self, item: u64) -> bool {
        let after = self.runs.partition_point(|run| run.0 <= item);
        if after > 0 && item < self.runs[after - 1].1 {
            return false;
        }
        let joins_left = after > 0 && self.runs[after - 1].1 == item;
        let joins_right = after < self.runs.len() && self.runs[after].0 == item + 1;
        match (joins_left, joins_right) {
            (true, true) => {
                self.runs[after - 1].1 = self.runs[after].1;
                self.runs.remove(after);
            }
            (true, false) => self.runs[after - 1].1 = item + 1,
            (false, true) => self.runs[after].0 = item,
            (false, false) => self.runs.insert(after, (item, item + 1)),
        }
        true
    }

    /// Number of items in the set.
    pub fn len(&self) -> u64 {
        self.runs.iter().map(|run| run.1 - run.0).sum()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Whether all numbers of `range` are in the set; true for an empty range.
    pub fn covers(&self, range: std::ops::Range<u64>) -> bool {
        let inside = |run: &(u64, u64)| run.0 <= range.start && range.end <= run.1;
        range.is_empty() || self.runs.iter().any(inside)
    }
}
