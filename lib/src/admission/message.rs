//! Messages between the host that holds tickets and the host that admits to an engine.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::UpstreamId;
use crate::ids::WorkClass;
use crate::ids::WorkspaceName;
use crate::peers::PeerMessage;

/// Number of a ticket, unique on the host that holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TicketId(pub u64);

/// Asks the admitting host of an engine for a ticket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketRequest {
    /// Number that the ticket gets.
    pub ticket: TicketId,
    /// Engine that is to run the work.
    pub engine: UpstreamId,
    /// Workspace that the work counts for.
    pub workspace: WorkspaceName,
    /// Priority class.
    pub class: WorkClass,
    /// Estimated prompt and generated tokens.
    pub tokens: u64,
    /// Whether nothing else may run on the engine meanwhile.
    pub alone: bool,
    /// Whether the work waits for an engine that is kept for work that runs alone.
    pub behind_alone: bool,
    /// Time left until the answer is of no use any more.
    pub remaining: Duration,
    /// Time for which the holder waits in the queue at most.
    pub patience: Duration,
}

/// A ticket that a host holds, as it tells the admitting host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldTicket {
    /// Number of the ticket.
    pub ticket: TicketId,
    /// Engine that runs the work.
    pub engine: UpstreamId,
    /// Priority class.
    pub class: WorkClass,
}

/// How the work of a ticket ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TicketOutcome {
    /// The answer was complete.
    Complete,
    /// The engine failed.
    Failed,
    /// The work yielded to online work.
    Yielded,
    /// The holder gave up: its caller left, the deadline passed, or it never began.
    Abandoned,
}

/// What a holder measured while it held a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketMeasure {
    /// Time from opening the stream to its first token.
    pub first_token: Option<Duration>,
    /// Mean time between later tokens.
    pub token_time: Option<Duration>,
    /// How the work ended.
    pub outcome: TicketOutcome,
}

impl TicketMeasure {
    /// Returns a measure without times.
    pub fn new(outcome: TicketOutcome) -> Self {
        Self {
            first_token: None,
            token_time: None,
            outcome,
        }
    }
}

/// Load of an engine as its admitting host knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadSnapshot {
    /// Pieces of work that may run at once.
    pub limit: u32,
    /// Online pieces that run.
    pub online: u32,
    /// Batch pieces that run.
    pub batch: u32,
    /// Online pieces that wait.
    pub online_queued: u32,
    /// Batch pieces that wait.
    pub batch_queued: u32,
    /// Time that a piece of online work holds its place.
    pub hold: Duration,
    /// Time between two tokens.
    pub token_time: Duration,
}

impl LoadSnapshot {
    /// Pieces that run or wait.
    pub fn pieces(&self) -> u32 {
        self.online + self.batch + self.online_queued + self.batch_queued
    }
}

/// Why an admitting host gave no ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum TicketDenial {
    /// The queue is as long as it may be.
    QueueFull,
    /// The engine is kept for work that runs alone.
    Reserved,
    /// The answer would come after its deadline.
    TooLate,
    /// The holder's patience or deadline ran out in the queue.
    Expired,
    /// The engine is leaving, or the admitting host stops.
    NotServing,
}

/// A call of the admission slice.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum AdmissionRequest {
    /// Asks for a ticket; answered at once.
    Admit(TicketRequest),
    /// Waits for the answer to an ask that was queued, for a bounded time.
    Await {
        /// Number of the ticket.
        ticket: TicketId,
        /// Engine of the ticket.
        engine: UpstreamId,
    },
    /// Gives a ticket back, or withdraws an ask.
    Release {
        /// Number of the ticket.
        ticket: TicketId,
        /// Engine of the ticket.
        engine: UpstreamId,
        /// What was measured.
        measure: TicketMeasure,
    },
    /// Lists all tickets that the sender holds of the receiver; others of the sender are void.
    Renew {
        /// The tickets.
        held: Vec<HeldTicket>,
        /// Engines of which the sender wants to know the load.
        engines: Vec<UpstreamId>,
    },
    /// Tells the holder to stop batch work in favour of online work.
    Yield(Vec<TicketId>),
}

/// Answer to an [`AdmissionRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmissionReply {
    /// The ticket is granted.
    Granted(LoadSnapshot),
    /// The ask waits in the queue.
    Queued(LoadSnapshot),
    /// The ticket is denied; nothing ran.
    Denied {
        /// Why.
        denial: TicketDenial,
        /// When a new ask may succeed.
        retry_after: Duration,
        /// Load of the engine.
        digest: LoadSnapshot,
    },
    /// The ticket is given back.
    Released(LoadSnapshot),
    /// The tickets are renewed.
    Renewed {
        /// Tickets that must yield.
        yields: Vec<TicketId>,
        /// Load of the engines that were asked for.
        digests: Vec<(UpstreamId, LoadSnapshot)>,
    },
    /// The order to yield was taken.
    Yielding,
}

impl PeerMessage for AdmissionRequest {
    const NAME: &'static str = "admission";

    type Reply = AdmissionReply;
}
