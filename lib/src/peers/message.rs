//! Messages between entry hosts, by slice.

use serde::Deserialize;
use serde::Serialize;

use crate::admin::HostReport;
use crate::admission::AdmissionReply;
use crate::admission::AdmissionRequest;
use crate::batch::BatchReply;
use crate::batch::BatchRequest;
use crate::caps::CapsReply;
use crate::caps::CapsRequest;
use crate::decisions::Decision;
use crate::idempotency::ClaimAnswer;
use crate::idempotency::ClaimRequest;
use crate::ids::HostId;
use crate::ids::Revision;
use crate::jobs::JobCall;
use crate::jobs::JobReply;
use crate::membership::PeerHost;
use crate::placement::ModelDemand;
use crate::suspects::SuspectNews;
use crate::terms::TermsNews;

/// A call from one entry host to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks for the decisions about a subject.
    Explain {
        /// Identifier of a request, job, upstream or workspace.
        subject: String,
    },
    /// Asks for the host's report of itself.
    Status,
    /// Asks for the demand that the host sees.
    Demand,
    /// Asks for the terms, if newer than `known`.
    Terms {
        /// Revision that the caller has.
        known: Revision,
    },
    /// Asks for, gives back or renews tickets of an engine.
    Admission(AdmissionRequest),
    /// Asks for all hosts that are not dead.
    Membership,
    /// A call of the batch slice.
    Batch(BatchRequest),
    /// A call about caps.
    Caps(CapsRequest),
    /// Claims a non-idempotent request, or ends a claim.
    Idempotency(ClaimRequest),
    /// News about requests that may crash upstreams.
    Suspects(SuspectNews),
    /// A call about a batch job of opaque items.
    Jobs(JobCall),
}

/// Answer to a [`PeerRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerReply {
    /// Decisions, oldest first.
    Explain(Vec<Decision>),
    /// The host's report of itself.
    Status(HostReport),
    /// The demand that the host sees.
    Demand(ModelDemand),
    /// Newer terms, if there are any.
    Terms(TermsNews),
    /// Answer about tickets.
    Admission(AdmissionReply),
    /// The hosts that are not dead, the answering one included.
    Membership(Vec<PeerHost>),
    /// Answer of the batch slice.
    Batch(BatchReply),
    /// Answer to a call about caps.
    Caps(CapsReply),
    /// Answer about a claim.
    Idempotency(ClaimAnswer),
    /// Answer about a batch job of opaque items.
    Jobs(JobReply),
    /// The news was taken in.
    Noted,
    /// The host does not serve this call, for the reason given.
    Unsupported(String),
}

/// Frame on the wire.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PeerFrame {
    /// First frame of the side that connected.
    Hello {
        /// Name of the sender.
        host: HostId,
    },
    /// A call.
    Request {
        /// Number of the call on this connection.
        call: u64,
        /// The call.
        body: PeerRequest,
    },
    /// The answer to a call.
    Reply {
        /// Number of the call.
        call: u64,
        /// The answer.
        body: PeerReply,
    },
}

impl PeerFrame {
    /// Encodes the frame as CBOR.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("frames serialize to CBOR");
        bytes
    }

    /// Decodes a frame; `None` if it is malformed.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        ciborium::from_reader(bytes).ok()
    }
}
