//! Versions of streams that have begun lately, and where they run.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::ids::SoftwareVersion;
use crate::origins::message::StreamHolder;
use crate::origins::message::StreamRun;
use crate::origins::message::StreamTag;

/// Time for which a stream is remembered after it was last recorded.
const RETENTION_TIME: Duration = Duration::from_secs(60);
/// Number of streams that are remembered; the oldest ones are evicted beyond that.
const MAX_STREAMS: usize = 65_536;

/// What the news of a run of a stream means, by the runs that are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Succession {
    /// The run is known, or nothing is known of another one.
    Unchanged,
    /// The run follows this one.
    Follows(StreamHolder),
    /// This run is a later one.
    Precedes(StreamHolder),
}

#[derive(Clone, Debug)]
struct StreamEntry {
    version: SoftwareVersion,
    recorded: Instant,
    /// Where the latest run is; `None` if it is not known.
    holder: Option<StreamHolder>,
    /// Run for which one of this host was ended last.
    ended_for: Option<StreamRun>,
}

/// Versions and holders of streams by their tags, the oldest evicted first.
#[derive(Debug, Default)]
pub(crate) struct OriginTable {
    entries: HashMap<StreamTag, StreamEntry>,
    /// Tags in the order in which they were recorded; a tag that was recorded again is there twice.
    order: VecDeque<(StreamTag, Instant)>,
}

impl OriginTable {
    /// Records the version of a stream and where it runs, as far as that is known. The first version holds,
    /// as a stream never changes it, and the latest run.
    pub(crate) fn record(
        &mut self,
        tag: StreamTag,
        version: SoftwareVersion,
        holder: Option<StreamHolder>,
        now: Instant,
    ) -> Succession {
        self.evict(now);
        let known = self.entries.entry(tag).or_insert(StreamEntry {
            version,
            recorded: now,
            holder: None,
            ended_for: None,
        });
        known.recorded = now;
        self.order.push_back((tag, now));
        holder.map_or(Succession::Unchanged, |holder| known.note(holder))
    }

    /// Records where a stream runs, if its version is known.
    pub(crate) fn note_holder(&mut self, tag: StreamTag, holder: StreamHolder) -> Succession {
        let known = self.entries.get_mut(&tag);
        known.map_or(Succession::Unchanged, |known| known.note(holder))
    }

    /// The version of a stream; `None` if it is not known.
    pub(crate) fn find(&self, tag: StreamTag) -> Option<SoftwareVersion> {
        Some(self.entries.get(&tag)?.version.clone())
    }

    /// Where the latest known run of a stream is.
    pub(crate) fn holder(&self, tag: StreamTag) -> Option<StreamHolder> {
        self.entries.get(&tag)?.holder
    }

    /// Records that a run of this host was ended for the later run `run`.
    pub(crate) fn note_ended(&mut self, tag: StreamTag, run: StreamRun) {
        if let Some(known) = self.entries.get_mut(&tag) {
            known.ended_for = Some(run);
        }
    }

    /// Whether a run of this host was ended for `run`, as the last one.
    pub(crate) fn has_ended_for(&self, tag: StreamTag, run: StreamRun) -> bool {
        let known = self.entries.get(&tag);
        known.is_some_and(|known| known.ended_for == Some(run))
    }

    fn evict(&mut self, now: Instant) {
        while let Some((tag, at)) = self.order.front().copied() {
            if self.order.len() < MAX_STREAMS && now - at < RETENTION_TIME {
                break;
            }
            self.order.pop_front();
            let known = self.entries.get(&tag);
            if known.is_some_and(|known| known.recorded == at) {
                self.entries.remove(&tag);
            }
        }
    }
}

impl StreamEntry {
    fn note(&mut self, holder: StreamHolder) -> Succession {
        match self.holder {
            Some(known) if known.run > holder.run => Succession::Precedes(known),
            Some(known) if known.run == holder.run => Succession::Unchanged,
            known => {
                self.holder = Some(holder);
                known.map_or(Succession::Unchanged, Succession::Follows)
            }
        }
    }
}
