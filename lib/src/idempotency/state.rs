//! State of one log partition: the result of applying its entries in order. Does no I/O and reads
//! no clock.

use serde::Deserialize;
use serde::Serialize;

use crate::collections::HashMap;
use crate::idempotency::message::ClaimId;
use crate::idempotency::message::ClaimKey;
use crate::idempotency::message::ClaimReply;
use crate::idempotency::message::ClaimRequest;
use crate::idempotency::message::RecordedResponse;

/// One entry of a partition's log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogEntry {
    /// An attempt claims a key; without effect if another attempt holds it, or this one has released it.
    Claim(ClaimKey, ClaimId),
    /// The holder of the claim finished with this response; without effect from other attempts.
    Finish(ClaimKey, ClaimId, RecordedResponse),
    /// The attempt did not run its request. Without effect after a finish. The claim may be written later,
    /// by a host that was asked before.
    Release(ClaimKey, ClaimId),
}

/// Batch of entries in one value of the key-value service, under a number that can be written only
/// once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogSegment {
    /// Version of the stored format; segments of another version are ignored.
    pub format: u32,
    /// Random number drawn for each write, by which a writer recognizes its own segment if the
    /// reply to the write was lost.
    #[serde(rename = "writer")]
    pub write_id: u64,
    /// Time of the write by the writer's clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Entries in the order in which they take effect.
    pub entries: Vec<LogEntry>,
}

#[derive(Clone, Debug)]
struct ClaimState {
    holder: ClaimId,
    response: Option<RecordedResponse>,
    segment: u64,
}

/// Claims of one partition, up to the last segment of its log that was applied.
#[derive(Clone, Debug, Default)]
pub struct PartitionState {
    claims: HashMap<ClaimKey, ClaimState>,
    /// Claims that were released, with the segments of the releases.
    released: HashMap<(ClaimKey, ClaimId), u64>,
    /// Number of the next segment to apply or write.
    next_segment: u64,
}

impl PartitionState {
    /// Returns the state of an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of the next segment to apply or write.
    pub fn next_segment(&self) -> u64 {
        self.next_segment
    }

    /// Applies the segment `number`; ignores one that was applied before.
    pub fn apply(&mut self, number: u64, segment: &LogSegment) {
        if number < self.next_segment {
            return;
        }
        self.next_segment = number + 1;
        for entry in &segment.entries {
            self.apply_entry(number, entry);
        }
    }

    /// Removes the claims and releases whose last entry is in a segment before `number`, as those have
    /// expired.
    pub fn expire_before(&mut self, number: u64) {
        self.claims.retain(|_, state| state.segment >= number);
        self.released.retain(|_, segment| *segment >= number);
    }

    /// Returns the reply to `request` by the applied entries; `None` if it needs a new entry in the
    /// log.
    pub fn reply_to(&self, request: &ClaimRequest) -> Option<ClaimReply> {
        let state = self.claims.get(&request.claim_key());
        match request {
            ClaimRequest::Claim { claim_key, claim } if self.is_released(*claim_key, *claim) => {
                Some(ClaimReply::Unavailable)
            }
            ClaimRequest::Claim { claim, .. } => {
                let state = state?;
                Some(match &state.response {
                    Some(response) => ClaimReply::Finished(response.clone()),
                    None if state.holder == *claim => ClaimReply::Granted,
                    None => ClaimReply::Taken,
                })
            }
            ClaimRequest::Finish { claim, .. } => match state {
                Some(state) if state.holder == *claim && state.response.is_none() => None,
                _ => Some(ClaimReply::Recorded),
            },
            ClaimRequest::Release { claim_key, claim } => self
                .is_released(*claim_key, *claim)
                .then_some(ClaimReply::Recorded),
        }
    }

    fn is_released(&self, claim_key: ClaimKey, claim: ClaimId) -> bool {
        self.released.contains_key(&(claim_key, claim))
    }

    fn apply_entry(&mut self, segment: u64, entry: &LogEntry) {
        match entry {
            LogEntry::Claim(claim_key, claim) if self.is_released(*claim_key, *claim) => {}
            LogEntry::Claim(claim_key, claim) => {
                let state = ClaimState {
                    holder: *claim,
                    response: None,
                    segment,
                };
                self.claims.entry(*claim_key).or_insert(state);
            }
            LogEntry::Finish(claim_key, claim, response) => {
                if let Some(state) = self.claims.get_mut(claim_key)
                    && state.holder == *claim
                {
                    state.response = Some(response.clone());
                    state.segment = segment;
                }
            }
            LogEntry::Release(claim_key, claim) => {
                self.released.insert((*claim_key, *claim), segment);
                let held = self.claims.get(claim_key);
                if held.is_some_and(|state| state.holder == *claim && state.response.is_none()) {
                    self.claims.remove(claim_key);
                }
            }
        }
    }
}

impl From<&ClaimRequest> for LogEntry {
    fn from(request: &ClaimRequest) -> Self {
        match request {
            ClaimRequest::Claim { claim_key, claim } => Self::Claim(*claim_key, *claim),
            ClaimRequest::Finish {
                claim_key,
                claim,
                response,
            } => Self::Finish(*claim_key, *claim, response.clone()),
            ClaimRequest::Release { claim_key, claim } => Self::Release(*claim_key, *claim),
        }
    }
}
