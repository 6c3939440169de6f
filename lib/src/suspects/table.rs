//! Table of suspected and convicted requests on one host. Does no I/O and reads no clock.

use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::ids::UpstreamId;
use crate::suspects::fingerprint::Fingerprint;
use crate::suspects::message::SuspectUpdate;

/// Time after the last update about a suspect at which it is removed.
const SUSPECT_TTL: Duration = Duration::from_secs(600);
/// Longest delivery time of a peer's update. The start of a run on another host is computed from
/// the arrival of the update, so it may seem this much later than it was.
const MAX_UPDATE_DELAY: Duration = Duration::from_millis(50);
/// Most suspects in the table; further ones run as usual.
const MAX_SUSPECTS: usize = 10_000;

/// How a request may run, by what is known about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectVerdict {
    /// It may share an upstream with other requests.
    Free,
    /// It has to run on an upstream that runs no other request.
    Alone,
    /// It has to wait until it is known whether it crashed the upstream that it ran on alone.
    Held,
    /// It is refused, as it crashed an upstream while alone on it.
    Convicted,
}

#[derive(Clone, Debug)]
struct SuspectEntry {
    updated_at: Instant,
    held: bool,
    /// Last break of the request's stream on each upstream.
    breaks: Vec<StreamBreak>,
}

#[derive(Clone, Debug)]
struct StreamBreak {
    upstream: UpstreamId,
    /// Start of the run that broke; too late by the delivery time of the update.
    started: Instant,
    broke_at: Instant,
}

impl StreamBreak {
    fn new(upstream: &UpstreamId, sent_ago: Duration, now: Instant) -> Self {
        Self {
            upstream: upstream.clone(),
            started: now.checked_sub(sent_ago).unwrap_or(now),
            broke_at: now,
        }
    }
}

/// Table of suspected and convicted requests.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    suspects: HashMap<Fingerprint, SuspectEntry>,
    convicted: HashSet<Fingerprint>,
}

impl SuspectTable {
    /// Returns an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how the request may run at `now`.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> SuspectVerdict {
        if self.convicted.contains(&fingerprint) {
            return SuspectVerdict::Convicted;
        }
        match self.suspects.get(&fingerprint) {
            Some(entry) if now.duration_since(entry.updated_at) >= SUSPECT_TTL => {
                SuspectVerdict::Free
            }
            Some(entry) if entry.held => SuspectVerdict::Held,
            Some(_) => SuspectVerdict::Alone,
            None => SuspectVerdict::Free,
        }
    }

    /// Applies an update; returns whether the table changed.
    pub fn apply(&mut self, update: &SuspectUpdate, now: Instant) -> bool {
        match update {
            SuspectUpdate::Suspected {
                fingerprint,
                upstream,
                sent_ago,
            } => {
                let stream_break = StreamBreak::new(upstream, *sent_ago, now);
                self.mark_suspect(*fingerprint, Some(stream_break), false, now)
            }
            SuspectUpdate::Held {
                fingerprint,
                upstream,
                sent_ago,
            } => {
                let stream_break = StreamBreak::new(upstream, *sent_ago, now);
                self.mark_suspect(*fingerprint, Some(stream_break), true, now)
            }
            SuspectUpdate::Down { .. } => false,
            SuspectUpdate::Released { fingerprint } => {
                self.mark_suspect(*fingerprint, None, false, now)
            }
            SuspectUpdate::Cleared { fingerprint } => self.suspects.remove(fingerprint).is_some(),
            SuspectUpdate::Convicted { fingerprint } => {
                self.suspects.remove(fingerprint);
                self.convicted.insert(*fingerprint)
            }
        }
    }

    /// Replaces the convictions by `convicted`, those stored for the whole fleet.
    pub fn replace_convictions(&mut self, convicted: HashSet<Fingerprint>) {
        self.convicted = convicted;
    }

    /// Returns whether another request than `fingerprint` broke on `upstream` after `since`, in a
    /// run that began before the upstream broke at `broke`. Then that request may have caused the
    /// crash; one that was sent there only after it cannot.
    pub fn had_other_suspects(
        &self,
        fingerprint: Fingerprint,
        upstream: &UpstreamId,
        since: Instant,
        broke: Instant,
    ) -> bool {
        let broke_there = |stream_break: &StreamBreak| {
            stream_break.upstream == *upstream
                && stream_break.broke_at >= since
                && stream_break.started <= broke + MAX_UPDATE_DELAY
        };
        self.suspects
            .iter()
            .any(|(other, entry)| *other != fingerprint && entry.breaks.iter().any(broke_there))
    }

    /// Removes suspects that have had no update for 10 minutes.
    pub fn expire(&mut self, now: Instant) {
        self.suspects
            .retain(|_, entry| now.duration_since(entry.updated_at) < SUSPECT_TTL);
    }

    fn mark_suspect(
        &mut self,
        fingerprint: Fingerprint,
        stream_break: Option<StreamBreak>,
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
                updated_at: now,
                held: false,
                breaks: Vec::new(),
            });
        entry.updated_at = now;
        entry.held = held;
        if let Some(stream_break) = stream_break {
            entry
                .breaks
                .retain(|known| known.upstream != stream_break.upstream);
            entry.breaks.push(stream_break);
        }
        true
    }
}
