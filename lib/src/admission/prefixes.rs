//! Which prompt prefixes engines probably have in their caches.
//!
//! A host remembers what it sent to each engine. For the engines that it admits to, it also reads
//! their cache events, which come late and with gaps.

use crate::collections::HashMap;
use crate::edges::engine::CacheEvent;
use crate::edges::engine::CacheEvents;
use crate::ids::UpstreamId;

/// Prefix digests that are remembered of one engine; the oldest half is forgotten at once.
const MAX_PREFIXES: usize = 8192;

#[derive(Debug, Default)]
struct EnginePrefixes {
    /// Prefix digests with the time of their last use, in calls of this memory.
    used: HashMap<u64, u64>,
    next_event: u64,
}

impl EnginePrefixes {
    fn note(&mut self, prefix: u64, now: u64) {
        self.used.insert(prefix, now);
        if self.used.len() > MAX_PREFIXES {
            self.forget_oldest_half();
        }
    }

    fn forget_oldest_half(&mut self) {
        let mut times: Vec<u64> = self.used.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.used.retain(|_, used| *used > median);
    }
}

/// Memory of the prefixes that engines probably have.
#[derive(Debug, Default)]
pub(crate) struct PrefixIndex {
    engines: HashMap<UpstreamId, EnginePrefixes>,
    calls: u64,
}

impl PrefixIndex {
    /// Takes note of a prompt that was sent to `engine`.
    pub(crate) fn note_sent(&mut self, engine: &UpstreamId, prefixes: &[u64]) {
        self.calls += 1;
        let calls = self.calls;
        let known = self.of(engine);
        for prefix in prefixes {
            known.note(*prefix, calls);
        }
    }

    /// Sequence number of the next cache event to read of `engine`.
    pub(crate) fn next_event(&self, engine: &UpstreamId) -> u64 {
        let known = self.engines.get(engine);
        known.map_or(0, |known| known.next_event)
    }

    /// Takes note of cache events; after a gap or a restart only later events count.
    pub(crate) fn note_events(&mut self, engine: &UpstreamId, events: &CacheEvents) {
        self.calls += 1;
        let calls = self.calls;
        let known = self.of(engine);
        if events.first != known.next_event {
            // What was evicted in the gap is not known.
            known.used.clear();
        }
        known.next_event = events.first + events.events.len() as u64;
        for event in &events.events {
            match event {
                CacheEvent::Stored { prefix } => known.note(*prefix, calls),
                CacheEvent::Evicted { prefix } => {
                    known.used.remove(prefix);
                }
            }
        }
    }

    /// Number of leading blocks of a prompt that `engine` probably has.
    pub(crate) fn cached_blocks(&self, engine: &UpstreamId, prefixes: &[u64]) -> usize {
        let Some(known) = self.engines.get(engine) else {
            return 0;
        };
        // A cached block implies the blocks before it, as each digest contains the one before.
        prefixes.partition_point(|prefix| known.used.contains_key(prefix))
    }

    /// Forgets engines that are not `kept`.
    pub(crate) fn retain(&mut self, kept: impl Fn(&UpstreamId) -> bool) {
        self.engines.retain(|engine, _| kept(engine));
    }

    /// Number of prefix digests that are remembered of `engine`.
    #[cfg(test)]
    pub(crate) fn len_of(&self, engine: &UpstreamId) -> usize {
        self.engines.get(engine).map_or(0, |known| known.used.len())
    }

    fn of(&mut self, engine: &UpstreamId) -> &mut EnginePrefixes {
        if !self.engines.contains_key(engine) {
            self.engines
                .insert(engine.clone(), EnginePrefixes::default());
        }
        self.engines.get_mut(engine).expect("inserted above")
    }
}
