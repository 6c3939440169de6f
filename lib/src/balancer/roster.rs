//! Applies the registered entries of upstreams to the load balancer, and keeps upstreams whose
//! entries an outage of the key-value service may have expired.

use std::time::Duration;

use tokio::time::Instant;

use crate::balancer::book::BalancerState;
use crate::balancer::book::UpstreamEntry;
use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::ids::UpstreamId;

/// Time after an outage of the key-value service within which upstreams write their expired entries
/// again.
const RETURN_TIME: Duration = Duration::from_millis(2_100);

/// Applies changes of registered entries to a [`BalancerState`].
///
/// If an entry vanishes during an outage of the key-value service or shortly after it, the lease of
/// the upstream may only have expired for lack of renewal. The upstream is then kept for
/// 2.1 seconds after the outage, and removed if its entry is still missing.
#[derive(Debug, Default)]
pub struct EntryReconciler {
    missing: HashMap<UpstreamId, Instant>,
    is_lost: bool,
    regained: Option<Instant>,
}

impl EntryReconciler {
    /// Applies a new or changed entry.
    pub fn put(&mut self, entry: UpstreamEntry, book: &mut BalancerState) {
        self.missing.remove(&entry.id);
        book.put(entry);
    }

    /// Handles the deletion of an entry. Returns whether the upstream was removed at once;
    /// otherwise [`Self::sweep`] decides later.
    pub fn remove(&mut self, id: &UpstreamId, book: &mut BalancerState, now: Instant) -> bool {
        if !self.may_return(now) {
            self.missing.remove(id);
            book.remove(id);
            return true;
        }
        self.missing.entry(id.clone()).or_insert(now);
        false
    }

    /// Applies a listing of all entries. Returns the upstreams that were removed at once.
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

    /// Records that the key-value service stopped answering.
    pub fn lost(&mut self) {
        self.is_lost = true;
    }

    /// Records that the key-value service answers again.
    pub fn regained(&mut self, now: Instant) {
        self.is_lost = false;
        self.regained = Some(now);
    }

    /// Removes the upstreams whose entries are still missing 2.1 seconds after the outage, and
    /// returns them. Does nothing before.
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
