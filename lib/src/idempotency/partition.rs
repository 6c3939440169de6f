//! State of one partition: the log's entries applied in order. Holds no clock and no connections.

use serde::Deserialize;
use serde::Serialize;

use crate::collections::HashMap;
use crate::idempotency::message::ClaimId;
use crate::idempotency::message::ClaimKey;
use crate::idempotency::message::ClaimReply;
use crate::idempotency::message::ClaimRequest;
use crate::idempotency::message::RecordedResponse;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogEntry {
    /// A try claims a subject; without effect if another holds it.
    Claim(ClaimKey, ClaimId),
    /// The holder finished.
    Finish(ClaimKey, ClaimId, RecordedResponse),
    /// The holder ran nothing.
    Release(ClaimKey, ClaimId),
}

/// Entries that were written together, under a number that nobody can write twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSegment {
    /// Format of the segment.
    pub format: u32,
    /// Drawn by the writer, to recognize a write whose answer was lost.
    pub writer: u64,
    /// When it was written, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The entries.
    pub entries: Vec<LogEntry>,
}

#[derive(Clone, Debug)]
struct ClaimState {
    holder: ClaimId,
    answer: Option<RecordedResponse>,
    segment: u64,
}

/// What the segments of a partition's log say, up to the last that is known.
#[derive(Clone, Debug, Default)]
pub struct PartitionState {
    claims: HashMap<ClaimKey, ClaimState>,
    /// Number of the next segment.
    next: u64,
}

impl PartitionState {
    /// Returns the state of an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of the next segment.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Applies the segment `number`; earlier ones that are known are ignored.
    pub fn apply(&mut self, number: u64, segment: &LogSegment) {
        if number < self.next {
            return;
        }
        self.next = number + 1;
        for entry in &segment.entries {
            self.apply_entry(number, entry);
        }
    }

    /// Forgets the claims of segments before `number`.
    pub fn expire_before(&mut self, number: u64) {
        self.claims.retain(|_, state| state.segment >= number);
    }

    /// The answer to `request` by what is known; `None` if it needs an entry in the log.
    pub fn answer(&self, request: &ClaimRequest) -> Option<ClaimReply> {
        let state = self.claims.get(&request.subject());
        match request {
            ClaimRequest::Claim { claim, .. } => {
                let state = state?;
                Some(match &state.answer {
                    Some(answer) => ClaimReply::Finished(answer.clone()),
                    None if state.holder == *claim => ClaimReply::Granted,
                    None => ClaimReply::Taken,
                })
            }
            ClaimRequest::Finish { claim, .. } => match state {
                Some(state) if state.holder == *claim && state.answer.is_none() => None,
                _ => Some(ClaimReply::Recorded),
            },
            ClaimRequest::Release { claim, .. } => match state {
                Some(state) if state.holder == *claim => None,
                _ => Some(ClaimReply::Recorded),
            },
        }
    }

    fn apply_entry(&mut self, segment: u64, entry: &LogEntry) {
        match entry {
            LogEntry::Claim(subject, claim) => {
                let state = ClaimState {
                    holder: *claim,
                    answer: None,
                    segment,
                };
                self.claims.entry(*subject).or_insert(state);
            }
            LogEntry::Finish(subject, claim, answer) => {
                if let Some(state) = self.claims.get_mut(subject)
                    && state.holder == *claim
                {
                    state.answer = Some(answer.clone());
                    state.segment = segment;
                }
            }
            LogEntry::Release(subject, claim) => {
                let held = self.claims.get(subject);
                if held.is_some_and(|state| state.holder == *claim && state.answer.is_none()) {
                    self.claims.remove(subject);
                }
            }
        }
    }
}

impl From<&ClaimRequest> for LogEntry {
    fn from(request: &ClaimRequest) -> Self {
        match request {
            ClaimRequest::Claim { subject, claim } => Self::Claim(*subject, *claim),
            ClaimRequest::Finish {
                subject,
                claim,
                answer,
            } => Self::Finish(*subject, *claim, answer.clone()),
            ClaimRequest::Release { subject, claim } => Self::Release(*subject, *claim),
        }
    }
}
