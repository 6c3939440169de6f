//! Messages of the batch slice between entry hosts.

use serde::Deserialize;
use serde::Serialize;

use crate::batch::ledger::JobRecord;
use crate::edges::engine::Endpoint;
use crate::ids::HostId;
use crate::ids::JobId;
use crate::ids::WorkspaceName;
use crate::peers::PeerMessage;

/// What other hosts are told of an open job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAnnouncement {
    /// The job.
    pub job: JobId,
    /// Workspace that owns it.
    pub workspace: WorkspaceName,
    /// Call that each item makes.
    pub endpoint: Endpoint,
    /// Host that holds the claim; absent when it was given up.
    pub owner: Option<HostId>,
    /// Epoch of the claim; a announcement with a lower one is old.
    pub epoch: u64,
    /// When the job is due, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
}

/// An item that a host may run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkItem {
    /// Number of the item in the input, from 0.
    pub item: u64,
    /// Line of the input.
    pub line: String,
}

/// How one run of an item ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemEnd {
    /// The item has its result.
    Result {
        /// Whether it is an error.
        failed: bool,
        /// Line of the output or error file, without its line feed.
        line: String,
    },
    /// The run failed in a way that another run may mend.
    Failed {
        /// Reason of the refusal.
        code: String,
        /// Explanation for a person.
        message: String,
    },
    /// The item was not run, for no fault of its own.
    Deferred {
        /// Shortest time until the next run, in milliseconds.
        wait_ms: u64,
    },
}

/// What became of an item that was handed out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DispatchOutcome {
    /// Number of the item.
    pub item: u64,
    /// How its run ended.
    pub end: ItemEnd,
}

/// Report of a host that runs items of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkReport {
    /// The job.
    pub job: JobId,
    /// Items that have ended since the last report.
    pub outcomes: Vec<DispatchOutcome>,
    /// Items that are still assigned.
    pub running: Vec<u64>,
}

/// A call of the batch slice.
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
        /// Number of items that can be run now.
        max: u32,
    },
    /// Reports to the owner.
    Report(WorkReport),
    /// Asks the owner for the job as last committed.
    Read {
        /// The job.
        job: JobId,
    },
}

/// Answer to a [`BatchRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum BatchReply {
    /// The announcement or report was taken.
    Taken,
    /// Items to run; empty if there are none at the moment.
    Items(Vec<WorkItem>),
    /// The host does not hold the claim on the job.
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
