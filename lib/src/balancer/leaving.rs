//! Upstreams that said in an answer that they leave.
//!
//! Guarantees that such a start of an upstream is remembered although its entry still says that it
//! is ready, or vanishes and comes back. Only a new start of the upstream takes requests again.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::collections::HashSet;

/// Starts that are remembered; beyond that the oldest are forgotten.
const MAX_STARTS: usize = 4_096;
/// Time for which load reports tell other hosts of a start.
const TELL_TIME: Duration = Duration::from_secs(3);

/// One start of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UpstreamIncarnation(
    /// Tag of the upstream, see [`upstream_tag`](crate::balancer::upstream_tag).
    pub u32,
    /// When it started, in milliseconds since 1970.
    pub u64,
);

/// Starts of upstreams that leave.
#[derive(Debug, Default)]
pub(crate) struct LeavingIncarnations {
    known: HashSet<UpstreamIncarnation>,
    /// In the order in which they were learned.
    order: VecDeque<UpstreamIncarnation>,
    /// Those that told this host itself, and when.
    told: VecDeque<(UpstreamIncarnation, Instant)>,
}

impl LeavingIncarnations {
    /// Notes a start that told this host; returns whether this is new.
    pub(crate) fn note(&mut self, start: UpstreamIncarnation, now: Instant) -> bool {
        let is_new = self.hear(start);
        if is_new {
            self.told.push_back((start, now));
        }
        is_new
    }

    /// Notes a start that told another host; returns whether this is new.
    pub(crate) fn hear(&mut self, start: UpstreamIncarnation) -> bool {
        if !self.known.insert(start) {
            return false;
        }
        self.order.push_back(start);
        if self.order.len() > MAX_STARTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        true
    }

    /// Whether the start is known to leave.
    pub(crate) fn contains(&self, start: UpstreamIncarnation) -> bool {
        self.known.contains(&start)
    }

    /// Starts to tell other hosts of.
    pub(crate) fn news(&mut self, now: Instant) -> Vec<UpstreamIncarnation> {
        while self
            .told
            .front()
            .is_some_and(|(_, since)| now - *since >= TELL_TIME)
        {
            self.told.pop_front();
        }
        self.told.iter().map(|(start, _)| *start).collect()
    }
}
