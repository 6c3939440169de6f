//! Datagrams that hosts send one another: load reports and broadcasts.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::balancer::pace::PaceSample;
use crate::balancer::waiting::WaitingItems;
use crate::fairness::FlowLoad;
use crate::ids::UpstreamId;
use crate::ids::UpstreamIncarnation;
use crate::limits::GrantReply;
use crate::limits::GrantRequest;
use crate::limits::LimitNotice;
use crate::origins::OriginNotice;
use crate::origins::OriginQuery;
use crate::origins::OriginReply;
use crate::origins::TakeUpNotice;
use crate::origins::TakeUpReply;
use crate::quotas::QuotaAsk;
use crate::quotas::QuotaReply;
use crate::reach::ReachNotice;
use crate::suspects::CrashNews;
use crate::view_monitor::ViewNotice;
use crate::view_news::NewsPart;
use crate::view_news::ViewQuery;

/// Work of one host at one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad(
    /// Tag of the upstream, see [`upstream_tag`].
    pub u32,
    /// Number of online requests.
    pub u16,
    /// Number of batch items.
    pub u16,
    /// Whether the upstream recently sent the host a part of an answer.
    pub bool,
);

/// Whether two reports list the same numbers of requests and items at the same upstreams, in the
/// same order. Whether the upstreams are active is not compared.
pub(crate) fn is_same_work(one: &[UpstreamLoad], other: &[UpstreamLoad]) -> bool {
    let work = |load: &UpstreamLoad| (load.0, load.1, load.2);
    one.iter().map(work).eq(other.iter().map(work))
}

/// Work of one host at all upstreams, sent to its neighbours. Upstreams at which it runs nothing
/// are left out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostLoadReport {
    /// Name of the host that reports.
    #[serde(rename = "h")]
    pub host: String,
    /// Start time of the host's process, in milliseconds since the Unix epoch.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Sequence number among the load reports and broadcasts of that process.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Whether the host is about to stop.
    #[serde(rename = "q")]
    pub is_leaving: bool,
    /// Work of the host at each upstream.
    #[serde(rename = "l")]
    pub loads: Vec<UpstreamLoad>,
    /// Upstreams that recently announced their shutdown to the host.
    #[serde(rename = "v", default)]
    pub leaving: Vec<UpstreamIncarnation>,
    /// Upstreams whose process has recently ended, as the host saw.
    #[serde(rename = "e", default)]
    pub ended: Vec<UpstreamIncarnation>,
    /// Batch items that wait at the host for a slot, the most urgent first.
    #[serde(rename = "w", default)]
    pub waiting: Vec<WaitingItems>,
    /// Digest of the convictions that the host knows; 0 without any.
    #[serde(rename = "c", default)]
    pub convictions: u64,
    /// Limits of upstreams that the host has observed or granted requests under lately.
    #[serde(rename = "r", default)]
    pub limits: Vec<LimitNotice>,
    /// Reach of the host; `None` if it is as in an earlier report, or the host is of a release without it.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub reach: Option<Box<ReachNotice>>,
    /// Online requests of the host by workspace; empty without workspaces, and from earlier releases.
    #[serde(rename = "f", default, skip_serializing_if = "Vec::is_empty")]
    pub flows: Vec<FlowLoad>,
    /// Observations of upstreams since the host's last report.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub paces: Vec<PaceSample>,
}

/// Broadcast of one host to all others: state that every host needs, as a caller may ask any of
/// them for a usable host or a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostAnnouncement {
    /// Name of the host that sends the broadcast.
    #[serde(rename = "h")]
    pub host: String,
    /// Start time of the host's process, in milliseconds since the Unix epoch; 0 from an earlier release.
    #[serde(rename = "i", default)]
    pub incarnation: u64,
    /// Sequence number among the load reports and broadcasts of that process.
    #[serde(rename = "n", default)]
    pub sequence: u64,
    /// Whether the host is about to stop.
    #[serde(rename = "q")]
    pub is_leaving: bool,
    /// Batch jobs that the host has recently begun to own.
    #[serde(rename = "j")]
    pub acquired_jobs: Vec<String>,
    /// Versions of the owner keys of these jobs, in the same order; empty from an earlier release.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub job_versions: Vec<u64>,
    /// Neighbours of the host that have recently stopped reporting.
    #[serde(rename = "s", default)]
    pub silent_hosts: Vec<String>,
    /// Whether the host is stranded, so that callers should rather use others.
    #[serde(rename = "t", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_stranded: bool,
}

/// A batch job that a host has recently begun to own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcquiredJob {
    /// Identifier of the job.
    pub job: String,
    /// Version of the owner key by which the host owns it; 0 if the host, of an earlier release, does not tell.
    pub version: u64,
}

impl HostAnnouncement {
    /// Replaces the jobs that the host has recently begun to own.
    pub(super) fn set_jobs(&mut self, jobs: Vec<AcquiredJob>) {
        self.job_versions = jobs.iter().map(|acquired| acquired.version).collect();
        self.acquired_jobs = jobs.into_iter().map(|acquired| acquired.job).collect();
    }

    /// Jobs that the host has recently begun to own.
    pub(super) fn jobs(&self) -> Vec<AcquiredJob> {
        let versions = self.job_versions.iter().copied();
        let versions = versions.chain(std::iter::repeat(0));
        let jobs = self.acquired_jobs.iter().cloned().zip(versions);
        jobs.map(|(job, version)| AcquiredJob { job, version })
            .collect()
    }
}

/// A datagram from one host to another, encoded as CBOR.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HostDatagram {
    /// Load of the sender, for its neighbours.
    #[serde(rename = "l")]
    Load(HostLoadReport),
    /// Broadcast of the sender to all hosts.
    #[serde(rename = "n")]
    Announcement(HostAnnouncement),
    /// Crashes of upstreams, for all hosts or for one that lacks convictions.
    #[serde(rename = "k")]
    Crashes(CrashNews),
    /// Request for a grant, to the authority of a limited upstream.
    #[serde(rename = "a")]
    GrantRequest(GrantRequest),
    /// Reply to a request for a grant.
    #[serde(rename = "g")]
    GrantReply(GrantReply),
    /// Versions and holders of streams, to their registrars.
    #[serde(rename = "o")]
    Origins(OriginNotice),
    /// Question about a stream, to one of its registrars.
    #[serde(rename = "y")]
    OriginQuery(OriginQuery),
    /// Reply of a registrar.
    #[serde(rename = "z")]
    OriginReply(OriginReply),
    /// A stream was taken up, to a host that ran it before.
    #[serde(rename = "u")]
    TakeUp(TakeUpNotice),
    /// Confirmation of a take-up.
    #[serde(rename = "x")]
    TakeUpReply(TakeUpReply),
    /// Result of a check of a view, for all hosts.
    #[serde(rename = "w")]
    View(ViewNotice),
    /// Question about requests of workspaces, to the host that paces them.
    #[serde(rename = "q")]
    QuotaAsk(QuotaAsk),
    /// Reply to it.
    #[serde(rename = "r")]
    QuotaReply(QuotaReply),
    /// Part of a message with changes of a view, for all hosts.
    #[serde(rename = "e")]
    ViewNews(NewsPart),
    /// Question about changes of a view, to a host that has told that there are some.
    #[serde(rename = "v")]
    ViewQuery(ViewQuery),
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

/// Hash of an upstream's identifier that stands for it in load reports.
///
/// If the tags of two upstreams collide, the work of the other hosts at both counts at each, so
/// that both look more loaded than they are.
pub fn upstream_tag(upstream: &UpstreamId) -> u32 {
    xxh3_64(upstream.as_str().as_bytes()) as u32
}
