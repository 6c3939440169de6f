//! Upstreams as their entries show them, with those that an outage may have hidden.

use std::time::Duration;

use tokio::time::Instant;

use crate::balancer::book::BalancerState;
use crate::balancer::book::UpstreamEntry;
use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::ids::UpstreamId;

/// Time after an outage of the service in which lapsed entries come back.
const RETURN_TIME: Duration = Duration::from_millis(2_100);

/// Applies changes of entries to a [`BalancerState`].
///
/// An upstream whose entry vanished in or right after an outage of the service is kept for two
/// seconds after the outage; if its entry is still missing then, it is gone.
#[derive(Debug, Default)]
pub struct EntryReconciler {
    missing: HashMap<UpstreamId, Instant>,
    is_lost: bool,
    regained: Option<Instant>,
}

impl EntryReconciler {
    /// Takes in an entry.
    pub fn put(&mut self, entry: UpstreamEntry, book: &mut BalancerState) {
        self.missing.remove(&entry.id);
        book.put(entry);
    }

    /// Takes in that an entry vanished. Returns whether the upstream is gone at once.
    pub fn remove(&mut self, id: &UpstreamId, book: &mut BalancerState, now: Instant) -> bool {
        if !self.may_return(now) {
            self.missing.remove(id);
            book.remove(id);
            return true;
        }
        self.missing.entry(id.clone()).or_insert(now);
        false
    }

    /// Takes in a listing of all entries. Returns the upstreams that are gone at once.
    pub fn list(
        &mut self,
        entries: Vec<UpstreamEntry>,
        book: &mut BalancerState,
        now: Instant,
    ) -> Vec<UpstreamId> {
        let listed: HashSet<UpstreamId> = entries.iter().map(|entry| entry.id.clone()).collect();
        for entry in entries {
            self.put(entry, book);
        }
        let absent: Vec<UpstreamId> = book
            .ids()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        absent
            .into_iter()
            .filter(|id| self.remove(id, book, now))
            .collect()
    }

    /// Notes that the service does not answer.
    pub fn lost(&mut self) {
        self.is_lost = true;
    }

    /// Notes that the service answers again.
    pub fn regained(&mut self, now: Instant) {
        self.is_lost = false;
        self.regained = Some(now);
    }

    /// Removes upstreams that did not come back in time, and returns them.
    pub fn sweep(&mut self, book: &mut BalancerState, now: Instant) -> Vec<UpstreamId> {
        if self.may_return(now) {
            return Vec::new();
        }
        let gone: Vec<UpstreamId> = self.missing.drain().map(|(id, _)| id).collect();
        for id in &gone {
            book.remove(id);
        }
        gone
    }

    fn may_return(&self, now: Instant) -> bool {
        self.is_lost || self.regained.is_some_and(|at| now - at < RETURN_TIME)
    }
}
