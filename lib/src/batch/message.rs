//! Messages about batch jobs between entry hosts.

use serde::Deserialize;
use serde::Serialize;

use crate::batch::ledger::JobRecord;
use crate::edges::engine::Endpoint;
use crate::ids::HostId;
use crate::ids::JobId;
use crate::ids::WorkspaceName;
use crate::peers::PeerMessage;

/// Announcement of an open job and its owner to other hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAnnouncement {
    /// The job.
    pub job: JobId,
    /// Workspace that owns it.
    pub workspace: WorkspaceName,
    /// Endpoint that each item calls.
    pub endpoint: Endpoint,
    /// Host that holds the claim; absent if it was released.
    pub owner: Option<HostId>,
    /// Epoch of the newest claim; an announcement with a lower one is out of date.
    pub epoch: u64,
    /// When the job is due, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
}

/// An item that the owner of its job has dispatched.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkItem {
    /// Number of the item in the input, from 0.
    pub item: u64,
    /// Line of the input file that defines the item.
    pub line: String,
}

/// How one execution of an item ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemEnd {
    /// The item has its result.
    Result {
        /// Whether the result is an error.
        failed: bool,
        /// Line of the output or error file, without its line feed.
        line: String,
    },
    /// The execution failed; another one may succeed. It counts as a failed attempt.
    Failed {
        /// Reason of the refusal.
        code: String,
        /// Explanation for a person.
        message: String,
    },
    /// The item was not admitted, for no fault of its own. It doesn't count as an attempt.
    Deferred {
        /// Shortest time until the item may be dispatched again, in milliseconds; 0 for at once.
        wait_ms: u64,
    },
}

/// Outcome of an item that was dispatched to a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchOutcome {
    /// Number of the item.
    pub item: u64,
    /// How its execution ended.
    pub end: ItemEnd,
}

/// Report to the owner of a job by a host that runs items of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkReport {
    /// The job.
    pub job: JobId,
    /// Outcomes that the owner has not accepted yet.
    pub outcomes: Vec<DispatchOutcome>,
    /// Numbers of the items that the host is still running; renews their leases.
    pub running: Vec<u64>,
}

/// A request about batch jobs to another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchRequest {
    /// A job is open and may have a new owner.
    Open(JobAnnouncement),
    /// A job has ended; its items must not run any more.
    Ended {
        /// The job.
        job: JobId,
    },
    /// Asks the owner for items to run.
    Take {
        /// The job.
        job: JobId,
        /// Most items to return.
        max: u32,
    },
    /// Reports outcomes and running items to the owner.
    Report(WorkReport),
    /// Asks the owner for the job as last committed.
    Read {
        /// The job.
        job: JobId,
    },
}

/// Reply to a [`BatchRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchReply {
    /// The announcement or report was accepted.
    Taken,
    /// Items to run; empty if there are none at the moment.
    Items(Vec<WorkItem>),
    /// The host doesn't own the job, or, for a read, has no recent record of it.
    NotOwner,
    /// The job has ended.
    Ended,
    /// The job as last committed.
    Record(Box<JobRecord>),
}

impl PeerMessage for BatchRequest {
    const NAME: &'static str = "batch";

    type Reply = BatchReply;
}
