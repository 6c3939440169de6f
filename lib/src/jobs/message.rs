//! Messages that hosts exchange about jobs: submitting, reading, handing over, displacing and ending
//! them.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::ids::SoftwareVersion;
use crate::jobs::acceptance::JobAcceptance;
use crate::jobs::failures::ItemFailures;
use crate::jobs::spec::JobResult;
use crate::jobs::spec::JobSpec;
use crate::jobs::spec::ResultPage;
use crate::peers::PeerError;
use crate::peers::PeerMessage;
use crate::registry::HostEntry;

/// Partial output of an item, sent to the host that takes its job over so that the item resumes
/// there.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ItemCheckpoint {
    /// Index of the item in its job.
    pub index: usize,
    /// Data of the events received, joined by line feeds.
    pub text: Bytes,
    /// Identifier of the last event, to resume after; `None` if no event had one.
    pub last_id: Option<u64>,
    /// Number of events received.
    pub events: u64,
    /// Version of the software that sent them.
    #[serde(default)]
    pub software: Option<SoftwareVersion>,
}

/// What the displaced owner of a job had of items whose results are not committed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct GivenUpJob {
    /// Partial output of the items that had begun.
    pub progress: Vec<ItemCheckpoint>,
    /// Results of items that had ended.
    #[serde(default)]
    pub results: Vec<JobResult>,
    /// Items with failed runs; empty from an earlier release.
    #[serde(default)]
    pub failures: Vec<ItemFailures>,
}

impl GivenUpJob {
    /// Adds what another owner had.
    pub(super) fn extend(&mut self, other: Self) {
        self.progress.extend(other.progress);
        self.results.extend(other.results);
        self.failures.extend(other.failures);
    }
}

/// Owner of a job that a host knows, by a claim of its own or as it has seen it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownOwner {
    /// Name of the host.
    pub host: String,
    /// Incarnation of the host's process.
    pub incarnation: u64,
    /// Random number of the process.
    pub process: u64,
    /// Address of the host for other hosts, if that is known.
    pub peers: Option<SocketAddr>,
    /// Version of the owner key by which it owns or owned the job.
    pub version: u64,
}

/// A call to another host about a job, mostly to the job's owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JobCall {
    /// Reads one page of committed results; the owner waits if there is none yet.
    Read {
        /// Identifier of the job.
        job: String,
        /// Number of results to skip: the position of the first one wanted.
        after: usize,
        /// Longest wait for a result, in milliseconds.
        wait_ms: u64,
    },
    /// Reads the request body of an item.
    Body {
        /// Identifier of the job.
        job: String,
        /// Identifier of the item.
        item: String,
    },
    /// Offers a job that its owner, the caller, has released.
    HandOver {
        /// Identifier of the job.
        job: String,
        /// Partial output of the items that had begun.
        progress: Vec<ItemCheckpoint>,
        /// Items with failed runs; empty from an earlier release.
        #[serde(default)]
        failures: Vec<ItemFailures>,
    },
    /// Has the called host stop a job that the caller has claimed. A host of an earlier release does not
    /// know the call.
    GiveUp {
        /// Identifier of the job.
        job: String,
        /// Version of the owner key by which the caller owns the job.
        owner_version: u64,
        /// Name of the calling host.
        host: String,
        /// Incarnation of the calling host.
        incarnation: u64,
    },
    /// Tells a host that may claim the job what its owner knows of failed runs, and asks for what the host
    /// knows of them. A host of an earlier release does not know the call.
    NoteFailures {
        /// Identifier of the job.
        job: String,
        /// Version of the job's `open` key.
        open_version: u64,
        /// Items with failed runs; empty from a host that only asks.
        failures: Vec<ItemFailures>,
    },
    /// Asks the called host to store a new job, as the caller does not reach the key-value service.
    Submit {
        /// The job as it was submitted.
        spec: JobSpec,
    },
    /// Ends a job permanently.
    End {
        /// Identifier of the job.
        job: String,
        /// Version at which the caller has stored the end, and closed the job; `None` if the called host is
        /// asked to, and from an earlier release.
        #[serde(default)]
        closed_version: Option<u64>,
    },
    /// Asks for whom and under which host name a job was accepted. A host of an earlier release does not
    /// know the call.
    Acceptance {
        /// Identifier of the job.
        job: String,
    },
}

/// Reply to a [`JobCall`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JobReply {
    /// A page of results, empty if the wait passed without one.
    Page(ResultPage),
    /// Request body of the item.
    Body(Bytes),
    /// The job has no such item.
    NoSuchItem,
    /// The submitted job is stored, now or by an earlier attempt.
    Stored,
    /// The called host did not store the submitted job and will not.
    NotStored,
    /// Another workspace has a job with the identifier of the submitted one, which is not stored.
    HeldByOther,
    /// The end of the job is stored.
    Ended,
    /// For whom and under which host name the job was accepted.
    Acceptance(JobAcceptance),
    /// The called host has claimed the job and owns it now.
    Taken,
    /// The called host has stopped the job's items, and commits no results of it any more.
    GivenUp(GivenUpJob),
    /// What the called host knows of failed runs of the job's items.
    Failures(Vec<ItemFailures>),
    /// The called host does not own the job, or did not take the offered one.
    NotOwner,
    /// The called host does not have the job, or not by an earlier claim than the caller's, and knows another
    /// owner of it: a later one, or one before the caller.
    OwnedBy(KnownOwner),
    /// The called host could not determine the outcome, as the key-value service did not answer.
    Unsure,
}

/// Client that sends [`JobCall`]s to other hosts.
#[async_trait]
pub trait JobPeerClient: Send + Sync + 'static {
    /// Calls `host` and waits for its reply up to `timeout`. Unless the error is that the call was not
    /// sent, it may have been carried out all the same.
    async fn call(
        &self,
        host: &HostEntry,
        call: JobCall,
        timeout: Duration,
    ) -> Result<JobReply, PeerError>;
}

impl PeerMessage for JobCall {
    const NAME: &'static str = "jobs";

    type Reply = JobReply;
}
