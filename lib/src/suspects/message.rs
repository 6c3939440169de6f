//! Messages between entry hosts about suspects.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::UpstreamId;
use crate::peers::PeerMessage;
use crate::suspects::fingerprint::Fingerprint;

/// News about requests that may crash upstreams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectUpdate {
    /// The request ran on an upstream when that crashed.
    Suspected {
        /// The request.
        fingerprint: Fingerprint,
        /// The upstream.
        upstream: UpstreamId,
        /// Time since the request was sent there, when the news was sent.
        sent_ago: Duration,
    },
    /// The upstream on which the request ran alone broke; whether it crashed is not known yet.
    Held {
        /// The request.
        fingerprint: Fingerprint,
        /// The upstream.
        upstream: UpstreamId,
        /// Time since the request was sent there, when the news was sent.
        sent_ago: Duration,
    },
    /// The upstream does not answer for its load after a stream of it broke.
    Down {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// It is not proved that the request crashed an upstream; it stays a suspect.
    Released {
        /// The request.
        fingerprint: Fingerprint,
    },
    /// The request ran alone to its end.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
    },
    /// The request crashed an upstream on which it ran alone.
    Convicted {
        /// The request.
        fingerprint: Fingerprint,
    },
}

impl PeerMessage for SuspectUpdate {
    const NAME: &'static str = "suspects";

    type Reply = ();
}
