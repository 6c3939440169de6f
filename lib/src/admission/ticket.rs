//! Leave to run one piece of work on one upstream.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::admission::desk::AdmissionController;
use crate::admission::message::TicketId;
use crate::admission::message::TicketMeasure;
use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::ids::ModelName;
use crate::ids::RequestId;
use crate::ids::UpstreamId;
use crate::ids::WorkClass;
use crate::ids::WorkspaceName;

/// What is asked to be admitted.
#[derive(Clone, Debug)]
pub struct WorkDescriptor {
    /// The request.
    pub request: RequestId,
    /// Workspace that it counts for.
    pub workspace: WorkspaceName,
    /// Model that it needs.
    pub model: ModelName,
    /// Its priority class.
    pub class: WorkClass,
    /// Digests of the prompt's prefix blocks, shortest first, for cache affinity.
    pub prefixes: Arc<[u64]>,
    /// Estimated prompt and generated tokens.
    pub tokens: u64,
    /// Set for work that must have an engine for itself; the number spreads it over some engines.
    pub alone: Option<u64>,
    /// When an answer is of no use any more.
    pub deadline: Instant,
    /// Upstreams that already failed this request.
    pub exclude: Vec<UpstreamId>,
}

/// Who granted a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TicketIssuer {
    /// This host admits to the engine.
    Own,
    /// Another host admits to the engine.
    Peer(HostId, SocketAddr),
    /// The admitting host did not answer; this host admitted on its own.
    Fallback,
    /// The ticket was not granted.
    Denied,
}

/// Leave to run one piece of work on one upstream. Dropping it frees the place.
#[must_use]
pub struct AdmissionTicket {
    /// Name of the upstream.
    pub upstream: UpstreamId,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Cancelled when batch work must stop in favour of online work.
    pub preempted: CancellationToken,
    pub(crate) id: TicketId,
    pub(crate) source: TicketIssuer,
    pub(crate) data_centre: DataCentre,
    pub(crate) measure: TicketMeasure,
    pub(crate) desk: Arc<AdmissionController>,
}

impl AdmissionTicket {
    /// Frees the place and reports what was measured.
    pub fn finish(mut self, measure: TicketMeasure) {
        self.measure = measure;
    }
}

impl Drop for AdmissionTicket {
    fn drop(&mut self) {
        self.desk.give_back(self);
    }
}
