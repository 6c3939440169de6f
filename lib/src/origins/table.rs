//! Versions of streams that have begun lately.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::ids::SoftwareVersion;
use crate::origins::message::StreamTag;

/// Time for which a stream is remembered after it was last recorded.
const RETENTION_TIME: Duration = Duration::from_secs(60);
/// Number of streams that are remembered; the oldest ones are evicted beyond that.
const MAX_STREAMS: usize = 65_536;

/// Versions of streams by their tags, the oldest evicted first.
#[derive(Debug, Default)]
pub(crate) struct OriginTable {
    versions: HashMap<StreamTag, (SoftwareVersion, Instant)>,
    /// Tags in the order in which they were recorded; a tag that was recorded again is there twice.
    order: VecDeque<(StreamTag, Instant)>,
}

impl OriginTable {
    /// Records the version of a stream. The first one holds: a stream never changes its version.
    pub(crate) fn record(&mut self, tag: StreamTag, version: SoftwareVersion, now: Instant) {
        self.evict(now);
        let known = self.versions.entry(tag).or_insert((version, now));
        known.1 = now;
        self.order.push_back((tag, now));
    }

    /// The version of a stream; `None` if it is not known.
    pub(crate) fn find(&self, tag: StreamTag) -> Option<SoftwareVersion> {
        let (version, _) = self.versions.get(&tag)?;
        Some(version.clone())
    }

    fn evict(&mut self, now: Instant) {
        while let Some((tag, at)) = self.order.front().copied() {
            if self.order.len() < MAX_STREAMS && now - at < RETENTION_TIME {
                break;
            }
            self.order.pop_front();
            if self.versions.get(&tag).is_some_and(|known| known.1 == at) {
                self.versions.remove(&tag);
            }
        }
    }
}
