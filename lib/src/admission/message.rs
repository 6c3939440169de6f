//! Messages between hosts that request tickets and the admitting host of an engine.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::UpstreamId;
use crate::ids::WorkClass;
use crate::ids::WorkspaceName;
use crate::peers::PeerMessage;

/// Identifier of a ticket, unique among the tickets of the host that requested it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TicketId(pub u64);

/// Request for a ticket, sent to the admitting host of the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketRequest {
    /// Identifier of the ticket, chosen by the requesting host.
    pub ticket: TicketId,
    /// Engine that is to run the request.
    pub engine: UpstreamId,
    /// Workspace whose share of the queue the request counts against.
    pub workspace: WorkspaceName,
    /// Priority class; batch requests are preempted in favour of online requests.
    pub class: WorkClass,
    /// Estimated number of prompt and generated tokens together.
    pub tokens: u64,
    /// Whether the request must be the only one that the engine runs.
    pub alone: bool,
    /// Whether the request may queue while the engine is reserved for requests that run alone. If
    /// false, it is denied with [`TicketDenial::Reserved`] instead.
    #[serde(rename = "behind_alone")]
    pub queue_if_reserved: bool,
    /// Time left until the deadline of the request.
    pub remaining: Duration,
    /// Longest time that the request may wait in the queue.
    #[serde(rename = "patience")]
    pub max_wait: Duration,
}

/// A granted ticket, as its holder lists it in a renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldTicket {
    /// Identifier of the ticket.
    pub ticket: TicketId,
    /// Engine that runs the request.
    pub engine: UpstreamId,
    /// Priority class of the request.
    pub class: WorkClass,
}

/// How the request of a ticket ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TicketOutcome {
    /// The engine generated a complete answer.
    Complete,
    /// The engine failed or the connection to it broke.
    Failed,
    /// The batch request was preempted in favour of online requests.
    Yielded,
    /// The holder cancelled the request: its caller disconnected, its deadline passed, or it was
    /// never sent to the engine.
    Abandoned,
}

/// Latencies and outcome of one request, reported by the holder when it releases the ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketMeasure {
    /// Time from opening the stream to its first token; absent if no token arrived.
    pub first_token: Option<Duration>,
    /// Mean time between later tokens; absent if there were too few to measure it.
    pub token_time: Option<Duration>,
    /// How the request ended.
    pub outcome: TicketOutcome,
}

impl TicketMeasure {
    /// Returns a measure without latencies.
    pub fn new(outcome: TicketOutcome) -> Self {
        Self {
            first_token: None,
            token_time: None,
            outcome,
        }
    }
}

/// Load of an engine by the counts of its admitting host, not by the engine's own report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSnapshot {
    /// Concurrency limit: requests that may run at once.
    pub limit: u32,
    /// Running online requests.
    pub online: u32,
    /// Running batch requests.
    pub batch: u32,
    /// Queued online requests.
    pub online_queued: u32,
    /// Queued batch requests.
    pub batch_queued: u32,
    /// Smoothed run time of an online request, from grant to release.
    pub hold: Duration,
    /// Smoothed time between two tokens of one request.
    pub token_time: Duration,
}

impl LoadSnapshot {
    /// Number of running and queued requests of both classes.
    pub fn total_requests(&self) -> u32 {
        self.online + self.batch + self.online_queued + self.batch_queued
    }
}

/// Why an admitting host denied a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum TicketDenial {
    /// The queue of the request's class is full.
    QueueFull,
    /// The engine is reserved for a request that runs alone.
    Reserved,
    /// The request is estimated to miss its deadline or to wait too long.
    TooLate,
    /// The request's longest wait or its deadline passed in the queue.
    Expired,
    /// The engine is down or leaving and takes no new requests.
    NotServing,
}

/// Admission call from one host to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum AdmissionRequest {
    /// Requests a ticket. The reply comes at once: granted, queued or denied.
    Admit(TicketRequest),
    /// Waits a bounded time for the decision on a queued ticket request (long poll).
    Await {
        /// Identifier of the ticket.
        ticket: TicketId,
        /// Engine of the ticket.
        engine: UpstreamId,
    },
    /// Releases a granted ticket, or withdraws a queued ticket request.
    Release {
        /// Identifier of the ticket.
        ticket: TicketId,
        /// Engine of the ticket.
        engine: UpstreamId,
        /// Latencies and outcome of the request.
        measure: TicketMeasure,
    },
    /// Renews the sender's tickets at the receiver. Tickets of the sender that are not listed
    /// expire once they are older than the ticket lifetime.
    Renew {
        /// All granted tickets of the sender for engines that the receiver admits to.
        held: Vec<HeldTicket>,
        /// Engines whose load the sender wants in the reply.
        engines: Vec<UpstreamId>,
    },
    /// Orders the holder to stop the batch requests of these tickets in favour of online requests.
    Yield(Vec<TicketId>),
}

/// Answer to an [`AdmissionRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmissionReply {
    /// The ticket is granted; the holder may send the request to the engine.
    Granted(LoadSnapshot),
    /// The ticket request is queued; the holder follows up with [`AdmissionRequest::Await`].
    Queued(LoadSnapshot),
    /// The ticket is denied; nothing ran on the engine.
    Denied {
        /// Reason for the denial.
        denial: TicketDenial,
        /// Estimated time until a new ticket request may succeed.
        retry_after: Duration,
        /// Load of the engine.
        #[serde(rename = "digest")]
        snapshot: LoadSnapshot,
    },
    /// The ticket is released.
    Released(LoadSnapshot),
    /// The tickets are renewed.
    Renewed {
        /// Listed batch tickets that were ordered to yield; repeats orders that were lost.
        yields: Vec<TicketId>,
        /// Load of the listed engines and of the engines of the listed tickets.
        #[serde(rename = "digests")]
        snapshots: Vec<(UpstreamId, LoadSnapshot)>,
    },
    /// The receiver has stopped the listed batch requests.
    Yielding,
}

impl PeerMessage for AdmissionRequest {
    const NAME: &'static str = "admission";

    type Reply = AdmissionReply;
}
