//! Load reports and news that entry hosts send one another.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::balancer::leaving::UpstreamIncarnation;
use crate::ids::UpstreamId;

/// Work of one host at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad(
    /// Tag of the upstream, see [`upstream_tag`].
    pub u32,
    /// Online requests.
    pub u16,
    /// Batch items.
    pub u16,
    /// Whether the upstream sent the host a part of an answer a moment ago.
    pub bool,
);

/// Whether two reports tell of the same work at the same upstreams, in the same order.
pub(crate) fn is_same_work(one: &[UpstreamLoad], other: &[UpstreamLoad]) -> bool {
    let work = |load: &UpstreamLoad| (load.0, load.1, load.2);
    one.iter().map(work).eq(other.iter().map(work))
}

/// What one host runs at all upstreams; upstreams at which it runs nothing are left out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostLoadReport {
    /// Name of the host.
    #[serde(rename = "h")]
    pub host: String,
    /// Start of the host's process in milliseconds since 1970.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Number of the report since then.
    #[serde(rename = "n")]
    pub number: u64,
    /// Whether the host is about to stop.
    #[serde(rename = "q")]
    pub is_leaving: bool,
    /// Work by upstream.
    #[serde(rename = "l")]
    pub loads: Vec<UpstreamLoad>,
    /// Upstreams that told the host lately that they leave.
    #[serde(rename = "v", default)]
    pub leaving: Vec<UpstreamIncarnation>,
}

/// What a host tells all others, as any of them may be asked for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostAnnouncement {
    /// Name of the host.
    #[serde(rename = "h")]
    pub host: String,
    /// Whether the host is about to stop.
    #[serde(rename = "q")]
    pub is_leaving: bool,
    /// Batch jobs that the host has begun to own lately.
    #[serde(rename = "j")]
    pub new_jobs: Vec<String>,
    /// Neighbours of the host that have fallen silent lately.
    #[serde(rename = "s", default)]
    pub silent: Vec<String>,
}

/// A datagram between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostDatagram {
    /// To the neighbours.
    #[serde(rename = "l")]
    Load(HostLoadReport),
    /// To all.
    #[serde(rename = "n")]
    News(HostAnnouncement),
}

impl HostDatagram {
    /// Encodes the datagram as CBOR.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("datagrams serialize to CBOR");
        bytes
    }

    /// Decodes a datagram; `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        ciborium::from_reader(bytes).ok()
    }
}

/// Short name of an upstream in load reports.
///
/// Two upstreams with the same tag are only seen as fuller than they are.
pub fn upstream_tag(upstream: &UpstreamId) -> u32 {
    xxh3_64(upstream.as_str().as_bytes()) as u32
}
