//! Messages between entry hosts about claims.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::ids::WorkspaceName;
use crate::peers::PeerMessage;

/// Digest of a workspace and an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimKey([u8; 16]);

impl ClaimKey {
    /// Digest of `key` in `workspace`.
    pub fn new(workspace: &WorkspaceName, key: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update(workspace.as_str());
        hash.update([0]);
        hash.update(key);
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash.finalize()[..16]);
        Self(bytes)
    }

    /// Partition of the log that holds the subject.
    pub(crate) fn partition(self, partitions: u16) -> u16 {
        u16::from_le_bytes([self.0[0], self.0[1]]) % partitions
    }
}

/// Number of one try to claim a subject; a resend by the caller has another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimId(pub u64);

/// Answer to a request as it is given again to a resend.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// A call to the host that writes the log of a subject's partition.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ClaimRequest {
    /// Claims the subject for one run.
    Claim {
        /// The subject.
        subject: ClaimKey,
        /// The try.
        claim: ClaimId,
    },
    /// Records how the run ended; without an answer its outcome stays unknown.
    Finish {
        /// The subject.
        subject: ClaimKey,
        /// The try.
        claim: ClaimId,
        /// The answer.
        answer: RecordedResponse,
    },
    /// Gives the claim back, as nothing ran.
    Release {
        /// The subject.
        subject: ClaimKey,
        /// The try.
        claim: ClaimId,
    },
}

impl ClaimRequest {
    /// The subject of the call.
    pub fn subject(&self) -> ClaimKey {
        match self {
            Self::Claim { subject, .. }
            | Self::Finish { subject, .. }
            | Self::Release { subject, .. } => *subject,
        }
    }
}

/// Answer to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The try holds the claim, durably, and may run.
    Granted,
    /// Another try holds the claim; it runs, or its outcome is unknown.
    Taken,
    /// An earlier try has finished.
    Finished(RecordedResponse),
    /// The end of the claim is recorded.
    Recorded,
    /// The key-value service did not take the entry, or not certainly.
    Unavailable,
}

impl PeerMessage for ClaimRequest {
    const NAME: &'static str = "idempotency";

    type Reply = ClaimReply;
}
