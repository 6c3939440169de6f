//! What hosts tell one another about limits of upstreams.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::UpstreamIncarnation;
use crate::ids::WorkClass;
use crate::limits::rate_limit::RateLimit;

/// What a host knows of the limit of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitObservation(
    /// The upstream.
    pub UpstreamIncarnation,
    /// The limit; `None` if the upstream has ended it.
    pub Option<RateLimit>,
    /// Time in milliseconds since the answer that told so.
    pub u32,
);

/// A limit, and the requests that the host has granted under it, as part of its load report.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice(
    /// The limit.
    pub LimitObservation,
    /// Number of requests that the process has granted since its start.
    pub u32,
    /// Number of them that still count against the limit.
    pub u32,
);

/// Asks the authority of an upstream for one request there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Number of the message, increasing within the process that sends it.
    #[serde(rename = "n")]
    pub number: u64,
    /// Class of the work.
    #[serde(rename = "c")]
    pub class: WorkClass,
    /// What the sender knows of the limit.
    #[serde(rename = "k")]
    pub known: LimitObservation,
}

/// Reply to a [`GrantRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantReply {
    /// Number of the request that is answered.
    #[serde(rename = "n")]
    pub number: u64,
    /// Upstream that it was about.
    #[serde(rename = "u")]
    pub incarnation: UpstreamIncarnation,
    /// Whether one request is granted.
    #[serde(rename = "g")]
    pub is_granted: bool,
    /// Time in milliseconds after which the granted request may be sent, or a refused one may be
    /// asked for again.
    #[serde(rename = "w")]
    pub wait_ms: u32,
}
