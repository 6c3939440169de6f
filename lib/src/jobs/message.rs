//! Calls between hosts about jobs.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::jobs::spec::ResultPage;
use crate::peers::PeerMessage;
use crate::registry::HostEntry;

/// A call to the owner of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JobCall {
    /// Asks for results.
    Read {
        /// The job.
        job: String,
        /// Position to read from.
        after: usize,
        /// Time in milliseconds to wait for a result.
        wait_ms: u64,
    },
    /// Asks for an item's body.
    Body {
        /// The job.
        job: String,
        /// The item.
        item: String,
    },
    /// Ends a job.
    End {
        /// The job.
        job: String,
    },
}

/// Answer to a [`JobCall`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JobReply {
    /// Results.
    Page(ResultPage),
    /// An item's body.
    Body(Bytes),
    /// The job has no such item.
    NoSuchItem,
    /// The job is ended.
    Ended,
    /// The host does not own the job.
    NotOwner,
    /// The host could not find out.
    Unsure,
}

/// Calls other hosts about jobs.
#[async_trait]
pub trait PeerCaller: Send + Sync + 'static {
    /// Calls `host` and waits up to `timeout`. An error says why there is no reply.
    async fn call(
        &self,
        host: &HostEntry,
        call: JobCall,
        timeout: Duration,
    ) -> Result<JobReply, String>;
}

impl PeerMessage for JobCall {
    const NAME: &'static str = "jobs";

    type Reply = JobReply;
}
