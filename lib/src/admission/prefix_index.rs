//! Prompt prefixes that each engine probably has in its prefix cache.
//!
//! A host records the prefixes of the prompts that it sent to each engine. For the engines that it
//! admits to, it also reads their cache events, which arrive late and with gaps.

use crate::collections::HashMap;
use crate::edges::engine::CacheEvent;
use crate::edges::engine::CacheEvents;
use crate::ids::UpstreamId;

/// Highest number of prefix digests stored of one engine. Beyond it, the older half is evicted in
/// one pass.
const MAX_PREFIXES: usize = 8192;

#[derive(Debug, Default)]
struct EnginePrefixes {
    /// Logical time of the last use of each prefix digest.
    used: HashMap<u64, u64>,
    /// Sequence number of the next cache event to read.
    next_event: u64,
}

impl EnginePrefixes {
    fn record(&mut self, prefix: u64, now: u64) {
        self.used.insert(prefix, now);
        if self.used.len() > MAX_PREFIXES {
            self.evict_older_half();
        }
    }

    fn evict_older_half(&mut self) {
        let mut times: Vec<u64> = self.used.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.used.retain(|_, used| *used > median);
    }
}

/// Index of the prefixes that engines probably have cached.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    engines: HashMap<UpstreamId, EnginePrefixes>,
    /// Logical clock: number of updates so far.
    clock: u64,
}

impl PrefixIndex {
    /// Records the prefixes of a prompt that was sent to `engine`.
    pub(crate) fn record_prompt(&mut self, engine: &UpstreamId, prefixes: &[u64]) {
        self.clock += 1;
        let clock = self.clock;
        let known = self.engine_mut(engine);
        for prefix in prefixes {
            known.record(*prefix, clock);
        }
    }

    /// Sequence number of the next cache event to read from `engine`; zero for an unknown engine.
    pub(crate) fn next_event(&self, engine: &UpstreamId) -> u64 {
        let known = self.engines.get(engine);
        known.map_or(0, |known| known.next_event)
    }

    /// Applies cache events of `engine`. A gap in their sequence numbers, also one caused by a
    /// restart of the engine, discards all prefixes that were known before.
    pub(crate) fn apply_events(&mut self, engine: &UpstreamId, events: &CacheEvents) {
        self.clock += 1;
        let clock = self.clock;
        let known = self.engine_mut(engine);
        if events.first != known.next_event {
            // The missed events may have evicted any known prefix.
            known.used.clear();
        }
        known.next_event = events.first + events.events.len() as u64;
        for event in &events.events {
            match event {
                CacheEvent::Stored { prefix } => known.record(*prefix, clock),
                CacheEvent::Evicted { prefix } => {
                    known.used.remove(prefix);
                }
            }
        }
    }

    /// Number of leading blocks of a prompt that `engine` probably has cached.
    pub(crate) fn cached_blocks(&self, engine: &UpstreamId, prefixes: &[u64]) -> usize {
        let Some(known) = self.engines.get(engine) else {
            return 0;
        };
        // Each digest includes the one before, so that a cached block implies all earlier blocks.
        prefixes.partition_point(|prefix| known.used.contains_key(prefix))
    }

    /// Removes the engines for which `kept` is false.
    pub(crate) fn retain(&mut self, kept: impl Fn(&UpstreamId) -> bool) {
        self.engines.retain(|engine, _| kept(engine));
    }

    /// Number of prefix digests stored for `engine`.
    #[cfg(test)]
    pub(crate) fn len_of(&self, engine: &UpstreamId) -> usize {
        self.engines.get(engine).map_or(0, |known| known.used.len())
    }

    fn engine_mut(&mut self, engine: &UpstreamId) -> &mut EnginePrefixes {
        if !self.engines.contains_key(engine) {
            self.engines
                .insert(engine.clone(), EnginePrefixes::default());
        }
        self.engines.get_mut(engine).expect("inserted above")
    }
}
