//! Committed results of a job: numbered segments, each with the version that the store gave it.
//!
//! Segments are written once and in the order of their numbers. What is known of them only grows, and is the
//! same in whichever order, how late and how often they are applied.

use std::collections::BTreeMap;

use crate::collections::HashSet;
use crate::edges::kv::KvVersion;
use crate::jobs::spec::JobResult;

/// One segment of a job's results, as the key-value service has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ResultSegment {
    pub(crate) number: usize,
    /// Version of the segment's key.
    pub(crate) version: KvVersion,
    pub(crate) results: Vec<JobResult>,
}

/// What applying a segment changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SegmentChange {
    /// The segment was not known.
    Added,
    /// The segment was known already.
    Known,
    /// A segment of this number and another version is known, and kept.
    Conflicting,
}

/// The known segments of a job, and the results at their positions.
#[derive(Clone, Debug, Default)]
pub(crate) struct SegmentLog {
    /// Versions of the segments whose results have their positions, by number.
    versions: Vec<KvVersion>,
    /// Segments after the first one that is not known, by number.
    ahead: BTreeMap<usize, ResultSegment>,
    /// Results by position, each item once.
    results: Vec<JobResult>,
    listed: HashSet<String>,
    repeated: usize,
}

impl SegmentLog {
    /// Returns a log of `segments`.
    pub(crate) fn new(segments: Vec<ResultSegment>) -> Self {
        let mut log = Self::default();
        for segment in segments {
            log.apply(segment);
        }
        log
    }

    /// Adds a segment. Its results get their positions once all segments before it are known.
    pub(crate) fn apply(&mut self, segment: ResultSegment) -> SegmentChange {
        if let Some(known) = self.version(segment.number) {
            return match known == segment.version {
                true => SegmentChange::Known,
                false => SegmentChange::Conflicting,
            };
        }
        self.ahead.insert(segment.number, segment);
        while let Some(next) = self.ahead.remove(&self.versions.len()) {
            self.versions.push(next.version);
            next.results
                .into_iter()
                .for_each(|result| self.list(result));
        }
        SegmentChange::Added
    }

    /// Gives a result the next position, unless its item has one.
    fn list(&mut self, result: JobResult) {
        match self.listed.insert(result.id.clone()) {
            true => self.results.push(result),
            false => self.repeated += 1,
        }
    }

    fn version(&self, number: usize) -> Option<KvVersion> {
        let ahead = self.ahead.get(&number).map(|segment| segment.version);
        self.versions.get(number).copied().or(ahead)
    }

    /// The results, by position.
    pub(crate) fn results(&self) -> &[JobResult] {
        &self.results
    }

    /// Number of the segment to write next.
    pub(crate) fn next_number(&self) -> usize {
        self.versions.len()
    }

    /// Version of the segment before [`Self::next_number`]; `None` before the first.
    pub(crate) fn last_version(&self) -> Option<KvVersion> {
        self.versions.last().copied()
    }

    /// Number of results without a position, as their items have one.
    pub(crate) fn repeated(&self) -> usize {
        self.repeated
    }
}
