//! State of the fleet for operators, collected from all live hosts.

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

/// Tokens a second below which an allowance is not reported.
const LEAST_REPORTED_RATE: f64 = 0.1;

/// What one host reports of itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostReport {
    /// Name of the host.
    pub host: HostId,
    /// Revision of the terms in force on it.
    pub revision: Revision,
    /// Requests taken from callers since its start.
    pub accepted: u64,
    /// Requests answered in full since its start.
    pub answered: u64,
    /// Requests refused since its start, for any reason.
    pub refused: u64,
    /// Queues of the engines that it admits to.
    pub queues: Vec<QueueReport>,
    /// What its requests use of the caps.
    pub caps: Vec<CapUse>,
}

/// Queue of an engine at the host that admits to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueReport {
    /// The engine.
    pub upstream: UpstreamId,
    /// Its admitted and waiting work.
    pub digest: LoadSnapshot,
}

/// Use of one allowance, as a mean over the last while.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CapUse {
    /// The allowance.
    pub key: CapKey,
    /// Tokens a second.
    pub tokens_per_second: f64,
}

/// Makes the report of a host.
#[derive(Clone)]
pub(crate) struct HostReporter {
    pub(crate) host: HostId,
    pub(crate) terms: Arc<ActiveTerms>,
    pub(crate) counters: Arc<CounterSet>,
    pub(crate) admission: Arc<AdmissionController>,
    pub(crate) caps: Arc<CapKeeper>,
}

impl HostReporter {
    /// Report of this moment.
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
                .filter(|(_, rate)| *rate >= LEAST_REPORTED_RATE)
                .map(|(key, tokens_per_second)| CapUse {
                    key,
                    tokens_per_second,
                })
                .collect(),
        }
    }
}

/// A host as the asked host sees it, with the report that it gave, if it answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Name of the host.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub address: SocketAddr,
    /// State by membership.
    pub state: HostState,
    /// What the host reports of itself; absent when it did not answer in time.
    pub report: Option<HostReport>,
}

/// An upstream as the asked host sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Data centre of the upstream.
    pub data_centre: DataCentre,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// What runs on it.
    pub role: ListedRole,
    /// State by the platform's list.
    pub state: ListedState,
    /// Sequences in an engine's running batch by its last report.
    pub running: Option<u32>,
    /// Requests that wait inside an engine by its last report.
    pub waiting: Option<u32>,
    /// Work at the host that admits to the engine, if it answered.
    pub admission: Option<LoadSnapshot>,
}

/// Use of one allowance over the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CapStatus {
    /// The allowance.
    pub key: CapKey,
    /// Tokens a second in use, as a mean over the last while.
    pub tokens_per_second: f64,
    /// Tokens a second allowed.
    pub allowed: f64,
}

/// State of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// Host that collected the state.
    pub asked: HostId,
    /// Revision of the terms in force on the asked host.
    pub revision: Revision,
    /// Entry hosts in order of their names.
    pub hosts: Vec<HostStatus>,
    /// Upstreams in order of their names.
    pub upstreams: Vec<UpstreamStatus>,
    /// Allowances in use.
    pub caps: Vec<CapStatus>,
}

/// Asks for the host's report of itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusCall;

impl PeerMessage for StatusCall {
    const NAME: &'static str = "status";

    type Reply = HostReport;
}
