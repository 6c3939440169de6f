//! Tickets: permissions to run one request on one upstream.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::admission::controller::AdmissionController;
use crate::admission::message::TicketId;
use crate::admission::message::TicketMeasure;
use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::ids::ModelName;
use crate::ids::RequestId;
use crate::ids::UpstreamId;
use crate::ids::WorkClass;
use crate::ids::WorkspaceName;

/// A request that is to be admitted to some upstream.
#[derive(Clone, Debug)]
pub struct WorkDescriptor {
    /// Identifier of the request, for the decision log.
    pub request: RequestId,
    /// Workspace whose share of the queue the request counts against.
    pub workspace: WorkspaceName,
    /// Model that the upstream must have loaded.
    pub model: ModelName,
    /// Priority class; batch requests are preempted in favour of online requests.
    pub class: WorkClass,
    /// Digests of the prompt's prefix blocks, shortest first, for cache affinity.
    pub prefixes: Arc<[u64]>,
    /// Estimated number of prompt and generated tokens together.
    pub tokens: u64,
    /// Set if the request must be the only one that its engine runs. The number, which is the same
    /// on all hosts, selects one of the few engines that run such requests.
    pub alone: Option<u64>,
    /// Deadline of the request; no ticket is granted after it.
    pub deadline: Instant,
    /// Upstreams that already failed this request; they are chosen only if no other is left.
    pub exclude: Vec<UpstreamId>,
}

/// Host whose scheduler granted a ticket, or is asked to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum TicketIssuer {
    /// This host, which is the engine's admitting host.
    Local,
    /// Another host, which is the engine's admitting host, and its address.
    Peer(HostId, SocketAddr),
    /// This host, because the admitting host did not answer.
    Fallback,
    /// None: the ticket was denied.
    Denied,
}

/// Permission to run one request on one upstream. Dropping it releases the slot.
#[must_use]
pub struct AdmissionTicket {
    /// Upstream that is to run the request.
    pub upstream: UpstreamId,
    /// Address to send the request to.
    pub address: SocketAddr,
    /// Cancelled when the batch request must stop in favour of online requests.
    pub preempted: CancellationToken,
    pub(crate) id: TicketId,
    pub(crate) issuer: TicketIssuer,
    pub(crate) data_centre: DataCentre,
    pub(crate) measure: TicketMeasure,
    pub(crate) controller: Arc<AdmissionController>,
}

impl AdmissionTicket {
    /// Releases the slot and reports `measure` to the admitting host.
    pub fn finish(mut self, measure: TicketMeasure) {
        self.measure = measure;
    }
}

impl Drop for AdmissionTicket {
    fn drop(&mut self) {
        self.controller.release_ticket(self);
    }
}
