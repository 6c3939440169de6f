//! Calls between hosts about jobs.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::jobs::spec::ResultPage;
use crate::peers::PeerMessage;
use crate::registry::HostEntry;

/// What an item has produced, on its way to another host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ItemCheckpoint {
    /// Place of the item in its job.
    pub index: usize,
    /// Text of its events, joined by line feeds.
    pub text: Bytes,
    /// Number of the last event.
    pub last_id: Option<u64>,
    /// Number of events.
    pub events: u64,
}

/// A call about a job.
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
    /// Hands over a job that its owner has released.
    HandOver {
        /// The job.
        job: String,
        /// What its items have produced.
        progress: Vec<ItemCheckpoint>,
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
    /// The host owns the job now.
    Taken,
    /// The host does not own the job.
    NotOwner,
    /// The host could not find out.
    Unsure,
}

/// Calls other hosts about jobs.
#[async_trait]
pub trait JobPeerClient: Send + Sync + 'static {
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
