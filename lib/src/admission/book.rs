//! What this host knows of the load of engines, and the choice between them.

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use crate::admission::message::LoadSnapshot;
use crate::collections::HashMap;
use crate::edges::engine::EngineLoadReport;
use crate::ids::UpstreamId;
use crate::ids::WorkClass;

/// A digest of this age says less than a load report.
const DIGEST_TTL: Duration = Duration::from_secs(2);
/// Prompt blocks whose prefill takes as long as one step.
const BLOCKS_PER_STEP: f64 = 16.0;
/// Time after which asks of this host are assumed to have been prefilled, in steps.
const PREFILL_STEPS: u32 = 2;
/// Limit assumed for an engine of which nothing is known.
const ASSUMED_LIMIT: u32 = 8;
const ASSUMED_HOLD: Duration = Duration::from_millis(500);
const ASSUMED_TOKEN_TIME: Duration = Duration::from_millis(10);
const MIN_STEP: Duration = Duration::from_millis(1);

#[derive(Clone, Debug)]
struct LoadEntry {
    digest: LoadSnapshot,
    seen: Instant,
    /// Asks of this host that the digest does not contain yet, by class.
    asked: [u32; 2],
    /// Prompt blocks that this host sent lately and that are not cached.
    prefill_blocks: f64,
    prefill_since: Instant,
}

impl LoadEntry {
    /// Prompt blocks of this host that the engine still has to prefill, probably.
    fn prefill_blocks(&self, now: Instant) -> f64 {
        let time = self.digest.token_time.max(MIN_STEP) * PREFILL_STEPS;
        let passed = now.duration_since(self.prefill_since).as_secs_f64() / time.as_secs_f64();
        self.prefill_blocks * (1.0 - passed).max(0.0)
    }
}

/// An engine that can be chosen.
#[derive(Clone, Debug)]
pub(crate) struct EngineCandidate {
    pub(crate) id: UpstreamId,
    pub(crate) report: Option<EngineLoadReport>,
    /// Blocks of the prompt that the engine probably does not have in its cache.
    pub(crate) new_blocks: usize,
}

/// Digests of the engines that this host uses.
#[derive(Debug, Default)]
pub(crate) struct LoadTable {
    entries: HashMap<UpstreamId, LoadEntry>,
}

impl LoadTable {
    /// Takes note of a digest.
    pub(crate) fn note(&mut self, engine: &UpstreamId, digest: LoadSnapshot, now: Instant) {
        match self.entries.get_mut(engine) {
            Some(known) => {
                known.digest = digest;
                known.seen = now;
                known.asked = [0; 2];
            }
            None => {
                let entry = LoadEntry {
                    digest,
                    seen: now,
                    asked: [0; 2],
                    prefill_blocks: 0.0,
                    prefill_since: now,
                };
                self.entries.insert(engine.clone(), entry);
            }
        }
    }

    /// Takes note of an ask whose answer is not known yet.
    pub(crate) fn note_ask(&mut self, target: &EngineCandidate, class: WorkClass, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&target.id) {
            entry.asked[class as usize] += 1;
            entry.prefill_blocks = entry.prefill_blocks(now) + target.new_blocks as f64;
            entry.prefill_since = now;
        }
    }

    /// Forgets engines that are not `kept`.
    pub(crate) fn retain(&mut self, kept: impl Fn(&UpstreamId) -> bool) {
        self.entries.retain(|engine, _| kept(engine));
    }

    /// Position of the best engine in `candidates` for work of `class`.
    pub(crate) fn choose(
        &self,
        candidates: &[EngineCandidate],
        class: WorkClass,
        now: Instant,
    ) -> Option<usize> {
        let loads: Vec<LoadEstimate> = candidates
            .iter()
            .map(|candidate| self.load(candidate, now))
            .collect();
        // A random start breaks ties differently on each host.
        let start = rand::rng().random_range(0..candidates.len().max(1));
        let order = (0..candidates.len()).map(|offset| (start + offset) % candidates.len());
        let scored = order.map(|position| (position, loads[position].score(class)));
        scored
            .min_by(|(_, left), (_, right)| left.total_cmp(right))
            .map(|(position, _)| position)
    }

    fn load(&self, candidate: &EngineCandidate, now: Instant) -> LoadEstimate {
        let entry = self.entries.get(&candidate.id);
        match entry {
            Some(entry) if now.duration_since(entry.seen) < DIGEST_TTL => LoadEstimate {
                digest: entry.digest,
                asked: entry.asked,
                prefill_blocks: entry.prefill_blocks(now) + candidate.new_blocks as f64,
            },
            _ => LoadEstimate {
                digest: assumed_digest(candidate.report.as_ref()),
                asked: entry.map(|entry| entry.asked).unwrap_or_default(),
                prefill_blocks: candidate.new_blocks as f64,
            },
        }
    }
}

fn assumed_digest(report: Option<&EngineLoadReport>) -> LoadSnapshot {
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

/// Load of one engine, with what this host added since.
#[derive(Clone, Copy, Debug)]
struct LoadEstimate {
    digest: LoadSnapshot,
    asked: [u32; 2],
    /// Prompt blocks to prefill until the first token, those of the work itself included.
    prefill_blocks: f64,
}

impl LoadEstimate {
    fn online_use(&self) -> f64 {
        let LoadSnapshot {
            online,
            online_queued,
            ..
        } = self.digest;
        f64::from(online + online_queued + self.asked[WorkClass::Online as usize])
    }

    /// Places that batch work could take; negative where batch work waits.
    fn batch_free(&self) -> i64 {
        let LoadSnapshot {
            limit,
            batch,
            batch_queued,
            ..
        } = self.digest;
        let batch = batch + batch_queued + self.asked[WorkClass::Batch as usize];
        i64::from(limit) - self.online_use() as i64 - i64::from(batch)
    }

    /// The smaller, the better for work of `class`.
    fn score(&self, class: WorkClass) -> f64 {
        match class {
            WorkClass::Online => self.online_delay(),
            WorkClass::Batch => self.batch_score(),
        }
    }

    /// Expected time to the first token in seconds: the wait for a place, a step and the prefill.
    fn online_delay(&self) -> f64 {
        let limit = f64::from(self.digest.limit.max(1));
        let queued = (self.online_use() + 1.0 - limit).max(0.0);
        let wait = queued * self.digest.hold.as_secs_f64() / limit;
        let running = self.online_use() + f64::from(self.digest.batch);
        let step = self.digest.token_time.max(MIN_STEP).as_secs_f64();
        wait + step * (1.0 + running / limit + self.prefill_blocks / BLOCKS_PER_STEP)
    }

    /// Engines with free places come first; among them a cached prefix counts.
    fn batch_score(&self) -> f64 {
        let free = self.batch_free() as f64 / f64::from(self.digest.limit.max(1));
        match free > 0.0 {
            true => self.prefill_blocks / (BLOCKS_PER_STEP * BLOCKS_PER_STEP) - free,
            false => 1.0 + self.prefill_blocks / (BLOCKS_PER_STEP * BLOCKS_PER_STEP) - free,
        }
    }
}
