//! What a host knows about suspects. Holds no clock and no connections.

use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::ids::UpstreamId;
use crate::suspects::fingerprint::Fingerprint;
use crate::suspects::message::SuspectUpdate;

/// Time after which a suspect that was not seen again is forgotten.
const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// News of another host arrives within this time, by which the start of a run is known.
const NEWS_LAG: Duration = Duration::from_millis(50);
/// Suspects that are remembered, at most; later ones run as usual.
const MAX_SUSPECTS: usize = 10_000;

/// What may be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// It runs like others.
    Free,
    /// It runs on an upstream of its own.
    Alone,
    /// It waits until it is known whether it crashed an upstream.
    Held,
    /// It runs nowhere.
    Convicted,
}

#[derive(Clone, Debug)]
struct SuspectEntry {
    since: Instant,
    held: bool,
    /// When each upstream last broke while the request ran there.
    crashes: Vec<StreamBreak>,
}

#[derive(Clone, Debug)]
struct StreamBreak {
    upstream: UpstreamId,
    /// When the run began that broke; late by the time that the news took.
    started: Instant,
    at: Instant,
}

impl StreamBreak {
    fn new(upstream: &UpstreamId, sent_ago: Duration, now: Instant) -> Self {
        Self {
            upstream: upstream.clone(),
            started: now.checked_sub(sent_ago).unwrap_or(now),
            at: now,
        }
    }
}

/// Suspects and convicted requests.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    suspects: HashMap<Fingerprint, SuspectEntry>,
    convicted: HashSet<Fingerprint>,
}

impl SuspectTable {
    /// Returns an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// What may be done with the request at `now`.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> SuspectVerdict {
        if self.convicted.contains(&fingerprint) {
            return SuspectVerdict::Convicted;
        }
        match self.suspects.get(&fingerprint) {
            Some(entry) if now.duration_since(entry.since) >= SUSPECT_TTL => SuspectVerdict::Free,
            Some(entry) if entry.held => SuspectVerdict::Held,
            Some(_) => SuspectVerdict::Alone,
            None => SuspectVerdict::Free,
        }
    }

    /// Takes in news; returns whether they changed anything.
    pub fn note(&mut self, news: &SuspectUpdate, now: Instant) -> bool {
        match news {
            SuspectUpdate::Suspected {
                fingerprint,
                upstream,
                sent_ago,
            } => {
                let crash = StreamBreak::new(upstream, *sent_ago, now);
                self.suspect(*fingerprint, Some(crash), false, now)
            }
            SuspectUpdate::Held {
                fingerprint,
                upstream,
                sent_ago,
            } => {
                let crash = StreamBreak::new(upstream, *sent_ago, now);
                self.suspect(*fingerprint, Some(crash), true, now)
            }
            SuspectUpdate::Down { .. } => false,
            SuspectUpdate::Released { fingerprint } => self.suspect(*fingerprint, None, false, now),
            SuspectUpdate::Cleared { fingerprint } => self.suspects.remove(fingerprint).is_some(),
            SuspectUpdate::Convicted { fingerprint } => {
                self.suspects.remove(fingerprint);
                self.convicted.insert(*fingerprint)
            }
        }
    }

    /// Replaces the convictions by those that are kept for the whole fleet.
    pub fn replace_convictions(&mut self, convicted: HashSet<Fingerprint>) {
        self.convicted = convicted;
    }

    /// Whether another request than `fingerprint` was on `upstream` at some time from `since` until
    /// that broke at `broke`. One that was sent there only afterwards is no company.
    pub fn had_other_suspects(
        &self,
        fingerprint: Fingerprint,
        upstream: &UpstreamId,
        since: Instant,
        broke: Instant,
    ) -> bool {
        let broke_there = |crash: &StreamBreak| {
            crash.upstream == *upstream && crash.at >= since && crash.started <= broke + NEWS_LAG
        };
        self.suspects
            .iter()
            .any(|(other, entry)| *other != fingerprint && entry.crashes.iter().any(broke_there))
    }

    /// Forgets suspects that are too old.
    pub fn expire(&mut self, now: Instant) {
        self.suspects
            .retain(|_, entry| now.duration_since(entry.since) < SUSPECT_TTL);
    }

    fn suspect(
        &mut self,
        fingerprint: Fingerprint,
        crash: Option<StreamBreak>,
        held: bool,
        now: Instant,
    ) -> bool {
        if self.convicted.contains(&fingerprint) {
            return false;
        }
        let full = self.suspects.len() >= MAX_SUSPECTS;
        if full && !self.suspects.contains_key(&fingerprint) {
            return false;
        }
        let entry = self
            .suspects
            .entry(fingerprint)
            .or_insert_with(|| SuspectEntry {
                since: now,
                held: false,
                crashes: Vec::new(),
            });
        entry.since = now;
        entry.held = held;
        if let Some(crash) = crash {
            entry
                .crashes
                .retain(|known| known.upstream != crash.upstream);
            entry.crashes.push(crash);
        }
        true
    }
}
