//! Types of the operators' fleet status, and the report that each host contributes to it.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use strum::IntoEnumIterator;

use crate::admission::AdmissionController;
use crate::admission::LoadSnapshot;
use crate::caps::CapKeeper;
use crate::caps::CapKey;
use crate::counters::CounterEvent;
use crate::counters::CounterSet;
use crate::counters::RefusalReason;
use crate::edges::host_list::ListedRole;
use crate::edges::host_list::ListedState;
use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::ids::Revision;
use crate::ids::UpstreamId;
use crate::membership::HostState;
use crate::peers::PeerMessage;
use crate::terms::ActiveTerms;

/// Allowances used at a lower rate are left out of reports.
const MIN_REPORTED_TOKENS_PER_SECOND: f64 = 0.1;

/// Report of a host about its own state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostReport {
    /// Name of the host.
    pub host: HostId,
    /// Revision of the terms in force on the host.
    pub revision: Revision,
    /// Requests accepted from callers since the host's start.
    pub accepted: u64,
    /// Requests answered in full since the host's start.
    pub answered: u64,
    /// Requests refused for any reason since the host's start.
    pub refused: u64,
    /// Admission queues of the engines for which the host admits requests.
    pub queues: Vec<QueueReport>,
    /// Token rates of the host's requests, for each allowance in use.
    pub caps: Vec<CapUsage>,
}

/// Admission queue of an engine at the host that admits requests to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueReport {
    /// Name of the engine.
    pub upstream: UpstreamId,
    /// Number of admitted and queued requests, and the admission limit.
    pub digest: LoadSnapshot,
}

/// Recent mean usage of one allowance by the requests of one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CapUsage {
    /// Workspace and work class of the allowance.
    pub key: CapKey,
    /// Tokens a second in use.
    pub tokens_per_second: f64,
}

/// Builds this host's report from its components.
#[derive(Clone)]
pub(crate) struct HostReporter {
    pub(crate) host: HostId,
    pub(crate) terms: Arc<ActiveTerms>,
    pub(crate) counters: Arc<CounterSet>,
    pub(crate) admission: Arc<AdmissionController>,
    pub(crate) caps: Arc<CapKeeper>,
}

impl HostReporter {
    /// Returns the report with the current figures.
    pub(crate) fn report(&self) -> HostReport {
        let refusals = RefusalReason::iter();
        let queues = self.admission.load_snapshots().into_iter();
        let caps = self.caps.rates().into_iter();
        HostReport {
            host: self.host.clone(),
            revision: self.terms.view().revision,
            accepted: self.counters.event_count(CounterEvent::RequestAccepted),
            answered: self.counters.event_count(CounterEvent::RequestAnswered),
            refused: refusals
                .map(|reason| self.counters.refusal_count(reason))
                .sum(),
            queues: queues
                .map(|(upstream, digest)| QueueReport { upstream, digest })
                .collect(),
            caps: caps
                .filter(|(_, rate)| *rate >= MIN_REPORTED_TOKENS_PER_SECOND)
                .map(|(key, tokens_per_second)| CapUsage {
                    key,
                    tokens_per_second,
                })
                .collect(),
        }
    }
}

/// State of an entry host as the asked host sees it, with the host's own report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Name of the host.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Address at which callers reach the host.
    pub address: SocketAddr,
    /// State of the host according to membership.
    pub state: HostState,
    /// The host's own report; `None` if it did not answer in time.
    pub report: Option<HostReport>,
}

/// State of an upstream as the asked host sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Data centre of the upstream.
    pub data_centre: DataCentre,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Kind of process that runs on the upstream.
    pub role: ListedRole,
    /// State of the upstream according to the platform's host list.
    pub state: ListedState,
    /// Sequences in the engine's running batch by its last load report; `None` without a report.
    pub running: Option<u32>,
    /// Requests in the engine's own queue by its last load report; `None` without a report.
    pub waiting: Option<u32>,
    /// Load of the engine at the host that admits requests to it; `None` if that host did not
    /// answer, or if the upstream is not an engine.
    pub admission: Option<LoadSnapshot>,
}

/// Usage of one allowance by the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CapStatus {
    /// Workspace and work class of the allowance.
    pub key: CapKey,
    /// Recent mean of the tokens a second in use, summed over the hosts that answered.
    pub tokens_per_second: f64,
    /// Tokens a second that the terms allow.
    pub allowed: f64,
}

/// State of the fleet, as one host collected it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Name of the host that was asked and collected the state.
    pub asked: HostId,
    /// Revision of the terms in force on the asked host.
    pub revision: Revision,
    /// Entry hosts in order of their names.
    pub hosts: Vec<HostStatus>,
    /// Upstreams in order of their names.
    pub upstreams: Vec<UpstreamStatus>,
    /// Allowances in use, in order of their keys.
    pub caps: Vec<CapStatus>,
}

/// Peer message that asks another host for its [`HostReport`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusCall;

impl PeerMessage for StatusCall {
    const NAME: &'static str = "status";

    type Reply = HostReport;
}
