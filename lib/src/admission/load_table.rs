//! Latest known load of each engine, and the choice of the engine for a request.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::admission::message::LoadSnapshot;
use crate::collections::HashMap;
use crate::edges::engine::EngineLoadReport;
use crate::ids::UpstreamId;
use crate::ids::WorkClass;

/// Age from which a load snapshot is ignored in favour of the engine's last load report.
const SNAPSHOT_TTL: Duration = Duration::from_secs(2);
/// Number of prompt blocks whose prefill takes as long as one decoding step.
const BLOCKS_PER_STEP: f64 = 16.0;
/// Number of decoding steps after which the prompts that this host sent are assumed to be
/// prefilled.
const PREFILL_STEPS: u32 = 2;
/// Concurrency limit assumed for an engine without a recent load snapshot.
const ASSUMED_LIMIT: u32 = 8;
/// Run time of an online request assumed for such an engine.
const ASSUMED_HOLD: Duration = Duration::from_millis(500);
/// Time between tokens assumed for such an engine.
const ASSUMED_TOKEN_TIME: Duration = Duration::from_millis(10);
/// Shortest assumed time of one decoding step; the smoothed time between tokens is zero before the
/// first sample.
const MIN_STEP: Duration = Duration::from_millis(1);

#[derive(Clone, Debug)]
struct LoadEntry {
    snapshot: LoadSnapshot,
    received_at: Instant,
    /// Ticket requests that this host sent since the snapshot, which does not count them, by class.
    unreported: [u32; 2],
    /// Prompt blocks without cached prefix that this host sent, at the time `prefill_since`.
    prefill_blocks: f64,
    prefill_since: Instant,
}

impl LoadEntry {
    /// Estimated number of prompt blocks of this host that the engine still has to prefill.
    fn prefill_blocks(&self, now: Instant) -> f64 {
        let time = self.snapshot.token_time.max(MIN_STEP) * PREFILL_STEPS;
        let passed = now.duration_since(self.prefill_since).as_secs_f64() / time.as_secs_f64();
        self.prefill_blocks * (1.0 - passed).max(0.0)
    }
}

/// An engine that could run a request.
#[derive(Clone, Debug)]
pub(crate) struct EngineCandidate {
    pub(crate) id: UpstreamId,
    /// Last load report of the engine itself, used where no recent load snapshot is known.
    pub(crate) report: Option<EngineLoadReport>,
    /// Prompt blocks of the request that are probably not in the engine's prefix cache.
    pub(crate) new_blocks: usize,
}

/// Latest load snapshots of the engines that this host uses.
#[derive(Debug, Default)]
pub(crate) struct LoadTable {
    entries: HashMap<UpstreamId, LoadEntry>,
}

impl LoadTable {
    /// Stores a load snapshot, which includes the ticket requests that were counted until now.
    pub(crate) fn update(&mut self, engine: &UpstreamId, snapshot: LoadSnapshot, now: Instant) {
        match self.entries.get_mut(engine) {
            Some(known) => {
                known.snapshot = snapshot;
                known.received_at = now;
                known.unreported = [0; 2];
            }
            None => {
                let entry = LoadEntry {
                    snapshot,
                    received_at: now,
                    unreported: [0; 2],
                    prefill_blocks: 0.0,
                    prefill_since: now,
                };
                self.entries.insert(engine.clone(), entry);
            }
        }
    }

    /// Counts a ticket request that the next load snapshot will include.
    pub(crate) fn record_request(
        &mut self,
        candidate: &EngineCandidate,
        class: WorkClass,
        now: Instant,
    ) {
        if let Some(entry) = self.entries.get_mut(&candidate.id) {
            entry.unreported[class as usize] += 1;
            entry.prefill_blocks = entry.prefill_blocks(now) + candidate.new_blocks as f64;
            entry.prefill_since = now;
        }
    }

    /// Removes the engines for which `kept` is false.
    pub(crate) fn retain(&mut self, kept: impl Fn(&UpstreamId) -> bool) {
        self.entries.retain(|engine, _| kept(engine));
    }

    /// Position in `candidates` of the best engine for a request of `class`; `None` if there are
    /// none.
    pub(crate) fn choose(
        &self,
        candidates: &[EngineCandidate],
        class: WorkClass,
        now: Instant,
    ) -> Option<usize> {
        let estimates: Vec<LoadEstimate> = candidates
            .iter()
            .map(|candidate| self.estimate(candidate, now))
            .collect();
        // A random start makes hosts break ties differently; otherwise all of them would choose the
        // same engine.
        let start = rand::rng().random_range(0..candidates.len().max(1));
        let order = (0..candidates.len()).map(|offset| (start + offset) % candidates.len());
        let scored = order.map(|position| (position, estimates[position].score(class)));
        scored
            .min_by(|(_, left), (_, right)| left.total_cmp(right))
            .map(|(position, _)| position)
    }

    fn estimate(&self, candidate: &EngineCandidate, now: Instant) -> LoadEstimate {
        let entry = self.entries.get(&candidate.id);
        match entry {
            Some(entry) if now.duration_since(entry.received_at) < SNAPSHOT_TTL => LoadEstimate {
                snapshot: entry.snapshot,
                unreported: entry.unreported,
                prefill_blocks: entry.prefill_blocks(now) + candidate.new_blocks as f64,
            },
            _ => LoadEstimate {
                snapshot: assumed_snapshot(candidate.report.as_ref()),
                unreported: entry.map(|entry| entry.unreported).unwrap_or_default(),
                prefill_blocks: candidate.new_blocks as f64,
            },
        }
    }
}

fn assumed_snapshot(report: Option<&EngineLoadReport>) -> LoadSnapshot {
    LoadSnapshot {
        limit: ASSUMED_LIMIT,
        online: report.map_or(0, |report| report.running + report.waiting),
        batch: 0,
        online_queued: 0,
        batch_queued: 0,
        hold: ASSUMED_HOLD,
        token_time: ASSUMED_TOKEN_TIME,
    }
}

/// Load snapshot of one engine, with the requests that this host sent since.
#[derive(Clone, Copy, Debug)]
struct LoadEstimate {
    snapshot: LoadSnapshot,
    unreported: [u32; 2],
    /// Prompt blocks to prefill before the first token, including those of the request itself.
    prefill_blocks: f64,
}

impl LoadEstimate {
    fn online_total(&self) -> f64 {
        let LoadSnapshot {
            online,
            online_queued,
            ..
        } = self.snapshot;
        f64::from(online + online_queued + self.unreported[WorkClass::Online as usize])
    }

    /// Free slots for batch requests; negative if batch requests are queued.
    fn free_batch_slots(&self) -> i64 {
        let LoadSnapshot {
            limit,
            batch,
            batch_queued,
            ..
        } = self.snapshot;
        let batch = batch + batch_queued + self.unreported[WorkClass::Batch as usize];
        i64::from(limit) - self.online_total() as i64 - i64::from(batch)
    }

    /// Cost of the engine for a request of `class`; the lowest wins.
    fn score(&self, class: WorkClass) -> f64 {
        match class {
            WorkClass::Online => self.first_token_delay(),
            WorkClass::Batch => self.batch_score(),
        }
    }

    /// Estimated time to first token in seconds: the wait for a slot, one step and the prefill.
    fn first_token_delay(&self) -> f64 {
        let limit = f64::from(self.snapshot.limit.max(1));
        let queued = (self.online_total() + 1.0 - limit).max(0.0);
        let wait = queued * self.snapshot.hold.as_secs_f64() / limit;
        let running = self.online_total() + f64::from(self.snapshot.batch);
        let step = self.snapshot.token_time.max(MIN_STEP).as_secs_f64();
        wait + step * (1.0 + running / limit + self.prefill_blocks / BLOCKS_PER_STEP)
    }

    /// Score that ranks engines with free slots before all others, then by free slots and cached
    /// prefix.
    fn batch_score(&self) -> f64 {
        let free = self.free_batch_slots() as f64 / f64::from(self.snapshot.limit.max(1));
        match free > 0.0 {
            true => self.prefill_blocks / (BLOCKS_PER_STEP * BLOCKS_PER_STEP) - free,
            false => 1.0 + self.prefill_blocks / (BLOCKS_PER_STEP * BLOCKS_PER_STEP) - free,
        }
    }
}
