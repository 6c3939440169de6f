//! Peer messages about claims of idempotency keys.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::ids::WorkspaceName;
use crate::peers::PeerMessage;

/// Digest of a workspace and an idempotency key, under which a request is claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimKey([u8; 16]);

impl ClaimKey {
    /// Computes the digest of the idempotency key `key` in `workspace`.
    pub fn new(workspace: &WorkspaceName, key: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update(workspace.as_str());
        hash.update([0]);
        hash.update(key);
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash.finalize()[..16]);
        Self(bytes)
    }

    /// Returns the log partition of the digest, below `partitions`.
    pub(crate) fn partition(self, partitions: u16) -> u16 {
        u16::from_le_bytes([self.0[0], self.0[1]]) % partitions
    }
}

/// Random number of one attempt to run a request; a resend by the caller has another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimId(pub u64);

/// HTTP response to a request, recorded to be replayed to resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Whole response body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Request to the host that writes the log of the partition of the claim key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ClaimRequest {
    /// Claims an idempotency key for one run of its request.
    Claim {
        /// Digest of the idempotency key.
        #[serde(rename = "subject")]
        claim_key: ClaimKey,
        /// Attempt that claims it.
        claim: ClaimId,
    },
    /// Records the response of the run.
    Finish {
        /// Digest of the idempotency key.
        #[serde(rename = "subject")]
        claim_key: ClaimKey,
        /// Attempt that holds the claim.
        claim: ClaimId,
        /// Response for resends.
        #[serde(rename = "answer")]
        response: RecordedResponse,
    },
    /// Gives the claim back, as the request did not run.
    Release {
        /// Digest of the idempotency key.
        #[serde(rename = "subject")]
        claim_key: ClaimKey,
        /// Attempt that holds the claim.
        claim: ClaimId,
    },
}

impl ClaimRequest {
    /// Returns the digest of the idempotency key that the request is about.
    pub fn claim_key(&self) -> ClaimKey {
        match self {
            Self::Claim { claim_key, .. }
            | Self::Finish { claim_key, .. }
            | Self::Release { claim_key, .. } => *claim_key,
        }
    }
}

/// Reply to a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The attempt durably holds the claim, and its request may run.
    Granted,
    /// Another attempt holds the claim; its request is running, or its outcome is unknown.
    Taken,
    /// An earlier attempt has finished with this response.
    Finished(RecordedResponse),
    /// The finish or release is recorded, or the attempt no longer held the claim.
    Recorded,
    /// The entry was not written to the key-value service, or it is unknown whether it was.
    Unavailable,
}

impl PeerMessage for ClaimRequest {
    const NAME: &'static str = "idempotency";

    type Reply = ClaimReply;
}
