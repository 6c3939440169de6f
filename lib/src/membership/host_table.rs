//! Table of all other hosts with their liveness: alive, suspected or dead.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use tokio::time::Instant;

use crate::ids::HostId;
use crate::membership::view::HostState;
use crate::membership::view::PeerHost;

/// Time in which a suspected host can refute the suspicion once enough other hosts confirm it.
pub(crate) const MIN_SUSPICION_TIMEOUT: Duration = Duration::from_millis(2_200);
/// Time in which a suspected host can refute the suspicion while no other host confirms it.
pub(crate) const MAX_SUSPICION_TIMEOUT: Duration = Duration::from_millis(3_300);
/// Confirmations by other hosts that shorten the suspicion timeout to its minimum.
const MAX_CONFIRMATIONS: usize = 3;
/// Time for which a dead host stays in the table; it is probed from time to time meanwhile.
const DEAD_RETENTION: Duration = Duration::from_secs(3600);
const MAX_DEAD_HOSTS: usize = 4_096;

/// A suspicion that the host has neither refuted nor let time out.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    pub(crate) since: Instant,
    pub(crate) accusers: BTreeSet<HostId>,
    /// Another host has declared this one dead; this shortens the timeout to its minimum.
    pub(crate) declared_dead: bool,
}

impl Suspicion {
    pub(crate) fn new(since: Instant, accuser: HostId) -> Self {
        Self {
            since,
            accusers: [accuser].into(),
            declared_dead: false,
        }
    }

    /// Time at which the suspected host is declared dead, in a fleet of `others` live hosts besides
    /// this one. The timeout shrinks with the logarithm of the confirmations, as in Lifeguard.
    pub(crate) fn deadline(&self, others: usize) -> Instant {
        let max_confirmations = MAX_CONFIRMATIONS.min(others.saturating_sub(2));
        let confirmations = self.accusers.len().saturating_sub(1).min(max_confirmations);
        if max_confirmations == 0 || self.declared_dead {
            return self.since + MIN_SUSPICION_TIMEOUT;
        }
        let fraction = ((confirmations + 1) as f64).ln() / ((max_confirmations + 1) as f64).ln();
        self.since + MAX_SUSPICION_TIMEOUT
            - (MAX_SUSPICION_TIMEOUT - MIN_SUSPICION_TIMEOUT).mul_f64(fraction)
    }
}

/// Liveness of another host, as this host sees it.
#[derive(Clone, Debug)]
pub(crate) enum LivenessStatus {
    Alive,
    Suspect(Suspicion),
    Dead { since: Instant, left: bool },
}

/// Table entry of another host.
#[derive(Clone, Debug)]
pub(crate) struct HostRecord {
    /// The host as views show it; its state is `Suspect` while a suspicion is open.
    pub(crate) host: Arc<PeerHost>,
    /// State that the host last announced of itself.
    pub(crate) announced: HostState,
    pub(crate) status: LivenessStatus,
}

impl HostRecord {
    pub(crate) fn new(host: PeerHost) -> Self {
        Self {
            announced: host.state,
            host: Arc::new(host),
            status: LivenessStatus::Alive,
        }
    }

    pub(crate) fn is_dead(&self) -> bool {
        matches!(self.status, LivenessStatus::Dead { .. })
    }

    /// The host with the state that it announced itself, without suspicions of other hosts.
    pub(crate) fn announcement(&self) -> PeerHost {
        PeerHost {
            state: self.announced,
            ..(*self.host).clone()
        }
    }

    pub(crate) fn set_status(&mut self, status: LivenessStatus) {
        self.status = status;
        let shown = match (&self.status, self.announced) {
            (_, HostState::Draining) => HostState::Draining,
            (LivenessStatus::Suspect(_), _) => HostState::Suspect,
            _ => HostState::Live,
        };
        if self.host.state != shown {
            Arc::make_mut(&mut self.host).state = shown;
        }
    }
}

/// All hosts but this one, by name, and the order in which they are probed.
#[derive(Default)]
pub(crate) struct HostTable {
    records: BTreeMap<HostId, HostRecord>,
    suspects: BTreeSet<HostId>,
    dead: BTreeSet<HostId>,
    /// Probe order of the current round; hosts that died in this round stay in it until it ends.
    probe_order: Vec<HostId>,
    next_index: usize,
}

impl HostTable {
    pub(crate) fn get(&self, id: &HostId) -> Option<&HostRecord> {
        self.records.get(id)
    }

    /// Number of hosts that are not dead.
    pub(crate) fn live_count(&self) -> usize {
        self.records.len() - self.dead.len()
    }

    pub(crate) fn live(&self) -> impl Iterator<Item = &HostRecord> {
        self.records.values().filter(|record| !record.is_dead())
    }

    /// Adds or replaces a host with the status alive. A new host gets a random position in the
    /// probe order.
    pub(crate) fn insert_alive(&mut self, host: PeerHost, rng: &mut StdRng) {
        let id = host.id.clone();
        self.suspects.remove(&id);
        self.dead.remove(&id);
        if self
            .records
            .insert(id.clone(), HostRecord::new(host))
            .is_none()
        {
            let index = rng.random_range(0..=self.probe_order.len());
            self.probe_order.insert(index, id);
        }
    }

    /// Sets the liveness status of the host `id`; does nothing if the host is unknown.
    pub(crate) fn set_status(&mut self, id: &HostId, status: LivenessStatus) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        self.suspects.remove(id);
        self.dead.remove(id);
        match status {
            LivenessStatus::Alive => {}
            LivenessStatus::Suspect(_) => {
                self.suspects.insert(id.clone());
            }
            LivenessStatus::Dead { .. } => {
                self.dead.insert(id.clone());
            }
        }
        record.set_status(status);
    }

    /// Records the revision of the terms in force on a host, which only grows. Returns whether it
    /// changed.
    pub(crate) fn set_revision(&mut self, id: &HostId, revision: crate::ids::Revision) -> bool {
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        if record.host.revision >= revision {
            return false;
        }
        Arc::make_mut(&mut record.host).revision = revision;
        true
    }

    /// The open suspicion against a host; `None` if it is unknown, alive or dead.
    pub(crate) fn suspicion_mut(&mut self, id: &HostId) -> Option<&mut Suspicion> {
        match &mut self.records.get_mut(id)?.status {
            LivenessStatus::Suspect(suspicion) => Some(suspicion),
            _ => None,
        }
    }

    /// Names of all suspected hosts, sorted.
    pub(crate) fn suspects(&self) -> Vec<HostId> {
        self.suspects.iter().cloned().collect()
    }

    /// Earliest time at which a suspicion times out; `None` if no host is suspected.
    pub(crate) fn next_deadline(&self) -> Option<Instant> {
        let others = self.live_count();
        let suspects = self.suspects.iter();
        suspects
            .filter_map(|id| match &self.records.get(id)?.status {
                LivenessStatus::Suspect(suspicion) => Some(suspicion.deadline(others)),
                _ => None,
            })
            .min()
    }

    /// Extends the timeout of every open suspicion by `extension`.
    pub(crate) fn extend_suspicions(&mut self, extension: Duration) {
        for id in self.suspects() {
            if let Some(suspicion) = self.suspicion_mut(&id) {
                suspicion.since += extension;
            }
        }
    }

    /// The next host to probe. Each live host is probed once per round; every round has a new
    /// random order, so that the time to detect a failure has an upper bound.
    pub(crate) fn next_target(&mut self, rng: &mut StdRng) -> Option<&HostRecord> {
        if self.live_count() == 0 {
            return None;
        }
        loop {
            if self.next_index >= self.probe_order.len() {
                self.next_index = 0;
                self.probe_order = self.records.keys().cloned().collect();
                self.probe_order.shuffle(rng);
            }
            let id = &self.probe_order[self.next_index];
            self.next_index += 1;
            if self.records.get(id).is_some_and(|record| !record.is_dead()) {
                return self.records.get(&self.probe_order[self.next_index - 1]);
            }
        }
    }

    /// Samples up to `count` distinct random hosts that are not dead, without `excluded`. May
    /// return fewer if the random draws run out.
    pub(crate) fn sample_live(
        &self,
        count: usize,
        excluded: &HostId,
        rng: &mut StdRng,
    ) -> Vec<&HostRecord> {
        const DRAWS_PER_HOST: usize = 8;
        let mut chosen: Vec<&HostRecord> = Vec::new();
        for _ in 0..count * DRAWS_PER_HOST {
            if chosen.len() == count || self.probe_order.is_empty() {
                break;
            }
            let id = &self.probe_order[rng.random_range(0..self.probe_order.len())];
            let is_new = id != excluded && chosen.iter().all(|record| record.host.id != *id);
            if let Some(record) = self.records.get(id).filter(|record| !record.is_dead())
                && is_new
            {
                chosen.push(record);
            }
        }
        chosen
    }

    /// A random dead host that did not leave by itself, as it may be reachable again. Also removes
    /// hosts that were dead for longer than `DEAD_RETENTION`, or that exceed `MAX_DEAD_HOSTS`.
    pub(crate) fn sample_dead(&mut self, now: Instant, rng: &mut StdRng) -> Option<&HostRecord> {
        let is_expired = |record: &HostRecord| match record.status {
            LivenessStatus::Dead { since, .. } => now.duration_since(since) > DEAD_RETENTION,
            _ => false,
        };
        let mut expired: Vec<HostId> = self
            .dead
            .iter()
            .filter(|id| self.records.get(*id).is_some_and(is_expired))
            .cloned()
            .collect();
        let excess = (self.dead.len() - expired.len()).saturating_sub(MAX_DEAD_HOSTS);
        expired.extend(self.dead.iter().take(excess).cloned());
        for id in expired {
            self.dead.remove(&id);
            self.records.remove(&id);
        }
        let candidates: Vec<&HostRecord> = self
            .dead
            .iter()
            .filter_map(|id| self.records.get(id))
            .filter(|record| matches!(record.status, LivenessStatus::Dead { left: false, .. }))
            .collect();
        match candidates.is_empty() {
            true => None,
            false => Some(candidates[rng.random_range(0..candidates.len())]),
        }
    }
}
