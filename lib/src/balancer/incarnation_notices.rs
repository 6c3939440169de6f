//! Incarnations of upstreams that hosts tell one another of: those that announced their shutdown in an
//! answer, and those whose process has ended.
//!
//! Guarantees that such an incarnation is remembered even if its entry still says that it is ready, or
//! expires and is written again. Only a new incarnation is free of it.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashSet;
use crate::ids::UpstreamIncarnation;

/// Number of incarnations that are remembered; the oldest ones are evicted beyond that.
const MAX_INCARNATIONS: usize = 4_096;
/// Time for which load reports tell other hosts of an incarnation.
const ANNOUNCE_TIME: Duration = Duration::from_secs(3);

/// Incarnations of upstreams that this host or another one has learned something of.
#[derive(Debug, Default)]
pub(crate) struct IncarnationNotices {
    known: HashSet<UpstreamIncarnation>,
    /// The known incarnations in the order in which they were learned, for eviction.
    order: VecDeque<UpstreamIncarnation>,
    /// Incarnations that this host learned of by itself, with the time of it. Only these are passed on
    /// to other hosts.
    announced: VecDeque<(UpstreamIncarnation, Instant)>,
}

impl IncarnationNotices {
    /// Records an incarnation that this host learned of by itself. Returns whether it was unknown.
    pub(crate) fn record_own(&mut self, incarnation: UpstreamIncarnation, now: Instant) -> bool {
        let is_new = self.record(incarnation);
        if is_new {
            self.announced.push_back((incarnation, now));
        }
        is_new
    }

    /// Records an incarnation that another host told of. Returns whether it was unknown.
    pub(crate) fn record(&mut self, incarnation: UpstreamIncarnation) -> bool {
        if !self.known.insert(incarnation) {
            return false;
        }
        self.order.push_back(incarnation);
        if self.order.len() > MAX_INCARNATIONS
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        true
    }

    /// Forgets an incarnation that turned out to be another one of the same start time.
    pub(crate) fn forget(&mut self, incarnation: UpstreamIncarnation) {
        self.known.remove(&incarnation);
        self.order.retain(|known| *known != incarnation);
        self.announced.retain(|(known, _)| *known != incarnation);
    }

    /// Whether the incarnation is known.
    pub(crate) fn contains(&self, incarnation: UpstreamIncarnation) -> bool {
        self.known.contains(&incarnation)
    }

    /// Incarnations that this host learned of by itself within the last [`ANNOUNCE_TIME`].
    pub(crate) fn recent(&mut self, now: Instant) -> Vec<UpstreamIncarnation> {
        while self
            .announced
            .front()
            .is_some_and(|(_, since)| now - *since >= ANNOUNCE_TIME)
        {
            self.announced.pop_front();
        }
        self.announced
            .iter()
            .map(|(incarnation, _)| *incarnation)
            .collect()
    }
}
