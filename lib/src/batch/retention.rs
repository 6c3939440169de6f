//! How long ago records were written, over many starts of hosts, without their clocks.
//!
//! Jobs are kept for longer than hosts run, and a time of day that a host wrote tells no age, as clocks
//! may differ by any amount. One host therefore counts the time that passes, by its monotonic clock, in
//! a record that also tells which revision the store had at which count. Time that no host measured isn't
//! counted: nothing is younger than this record says.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::batch::object::BatchError;
use crate::batch::store::BatchStore;
use crate::batch::stored::decode;
use crate::batch::stored::encode;
use crate::edges::kv::Expect;
use crate::edges::kv::KvVersion;

/// Key of the record.
pub(crate) const RETENTION_KEY: &str = "batch/retention";
/// Version of the stored format.
const RETENTION_FORMAT: u32 = 1;
/// Counted time between two marks; ages are that much too low at most.
const MARK_INTERVAL: Duration = Duration::from_secs(6 * 3600);

/// Revision that the store had reached at a count of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RevisionMark {
    revision: KvVersion,
    counted_ms: u64,
}

/// Counted time, and the revisions that the store had meanwhile.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RetentionRecord {
    format: u32,
    counted_ms: u64,
    /// In the order of both revisions and counts.
    marks: VecDeque<RevisionMark>,
}

impl Default for RetentionRecord {
    fn default() -> Self {
        Self {
            format: RETENTION_FORMAT,
            counted_ms: 0,
            marks: VecDeque::new(),
        }
    }
}

impl RetentionRecord {
    /// Whether what was last written at `version` is at least `age` old. False if that is not known.
    pub(crate) fn is_older_than(&self, version: KvVersion, age: Duration) -> bool {
        let first = self.marks.partition_point(|mark| mark.revision < version);
        let mark = self.marks.get(first);
        mark.is_some_and(|mark| self.counted_ms - mark.counted_ms >= millis(age))
    }

    /// Adds the time `passed` since this record was written as `version`. Drops marks that are of no use
    /// for ages up to `max_age`.
    fn count(&mut self, version: KvVersion, passed: Duration, max_age: Duration) {
        let last = self.marks.back().map(|mark| mark.counted_ms);
        if last.is_none_or(|last| self.counted_ms - last >= millis(MARK_INTERVAL)) {
            self.marks.push_back(RevisionMark {
                revision: version,
                counted_ms: self.counted_ms,
            });
        }
        self.counted_ms += millis(passed);
        while let Some(second) = self.marks.get(1)
            && self.counted_ms - second.counted_ms >= millis(max_age)
        {
            self.marks.pop_front();
        }
    }
}

fn millis(time: Duration) -> u64 {
    time.as_millis() as u64
}

/// Reads the record, and counts time in it while this host is the one to do so.
#[derive(Debug, Default)]
pub(crate) struct RetentionCounter {
    /// Version of the record as last read or written, and since when it was known to be stored.
    known: Option<(KvVersion, Instant)>,
}

impl RetentionCounter {
    /// Reads the record. With `counts`, adds the time since this host read or wrote the same version
    /// before; another host that has counted meanwhile wins.
    pub(crate) async fn read(
        &mut self,
        store: &BatchStore,
        counts: bool,
        max_age: Duration,
    ) -> Result<RetentionRecord, BatchError> {
        let asked_at = Instant::now();
        let entry = store.kv().get(RETENTION_KEY).await?;
        let Some(entry) = entry else {
            self.known = None;
            let record = RetentionRecord::default();
            if counts {
                self.write(store, &record, Expect::Absent).await;
            }
            return Ok(record);
        };
        let mut record: RetentionRecord = decode(&entry.value, RETENTION_FORMAT)?;
        let known = self.known.filter(|(version, _)| *version == entry.version);
        let Some((_, since)) = known else {
            self.known = Some((entry.version, Instant::now()));
            return Ok(record);
        };
        if counts {
            record.count(entry.version, asked_at - since, max_age);
            self.write(store, &record, Expect::Version(entry.version))
                .await;
        }
        Ok(record)
    }

    async fn write(&mut self, store: &BatchStore, record: &RetentionRecord, expect: Expect) {
        let written = store.write(RETENTION_KEY, encode(record), expect).await;
        // After a failure, the next read tells what is stored.
        self.known = written.ok().map(|version| (version, Instant::now()));
    }
}
