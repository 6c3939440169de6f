//! Peer messages about suspects.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::UpstreamId;
use crate::peers::PeerMessage;
use crate::suspects::fingerprint::Fingerprint;

/// Update about a request that may crash upstreams, or about an upstream that is down.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectUpdate {
    /// The request ran on an upstream when that seemed to crash.
    Suspected {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Upstream that the request ran on.
        upstream: UpstreamId,
        /// Time from the dispatch of the request to the upstream until this update was sent.
        sent_ago: Duration,
    },
    /// The stream of a request that ran alone broke; whether its upstream crashed is not known yet.
    Held {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Upstream that the request ran on.
        upstream: UpstreamId,
        /// Time from the dispatch of the request to the upstream until this update was sent.
        sent_ago: Duration,
    },
    /// The upstream does not answer a load query after one of its streams broke.
    Down {
        /// Upstream that does not answer.
        upstream: UpstreamId,
    },
    /// It was not proved that the held request crashed an upstream; it stays a suspect.
    Released {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// The request completed while it ran alone; it is no longer a suspect.
    Cleared {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// The request crashed an upstream that it ran on alone.
    Convicted {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
}

impl PeerMessage for SuspectUpdate {
    const NAME: &'static str = "suspects";

    type Reply = ();
}
