//! Messages between the hosts that admit requests of a workspace and the host that paces it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::WorkspaceName;
use crate::workspaces::RequestAllowance;

/// Parts of a request in which levels are told.
const LEVEL_PARTS: f64 = 10.0;

/// Hash of a workspace's name that stands for it in messages.
///
/// If the tags of two workspaces collide, they share one limit: that of the newer configuration, or the one
/// told first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WorkspaceTag(pub(crate) u32);

impl WorkspaceTag {
    /// The tag of the workspace with this name.
    pub fn new(workspace: &WorkspaceName) -> Self {
        Self(xxh3_64(workspace.as_str().as_bytes()) as u32)
    }
}

/// Requests that a workspace could send at once at the whole rate, in tenths; negative after more were
/// sent than the limit allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaLevel(i32);

impl QuotaLevel {
    /// The level of `requests`, rounded down.
    pub fn new(requests: f64) -> Self {
        Self((requests * LEVEL_PARTS).floor() as i32)
    }

    /// The level in requests.
    pub fn requests(self) -> f64 {
        f64::from(self.0) / LEVEL_PARTS
    }
}

/// What a host asks of the authority of one workspace, and tells it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaEntry(
    /// Tag of the workspace.
    pub WorkspaceTag,
    /// Version of the configuration that has the limit.
    pub u64,
    /// Requests a second that the limit allows.
    pub f64,
    /// Requests beyond them at once.
    pub f64,
    /// Requests that wait at the host.
    pub u16,
    /// Requests that the host expects soon.
    pub u16,
    /// Requests that were granted and have not run, not told before.
    pub u32,
    /// Requests that the host admitted without a grant, not confirmed before.
    pub u32,
    /// Level in the last reply that the host has, and its age in milliseconds; `None` without one.
    pub Option<(QuotaLevel, u32)>,
);

impl QuotaEntry {
    /// The limit that the host knows.
    pub(crate) fn allowance(&self) -> RequestAllowance {
        RequestAllowance {
            per_second: self.2,
            burst: self.3,
        }
    }

    /// The last level that the host knows, in requests, and its age.
    pub(crate) fn known(&self) -> Option<(f64, Duration)> {
        let (level, age_ms) = self.8?;
        Some((level.requests(), Duration::from_millis(u64::from(age_ms))))
    }
}

/// Question of one host to another about the workspaces that the other paces.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaAsk {
    /// Random number of the process that asks.
    #[serde(rename = "p")]
    pub process: u32,
    /// Sequence number among the questions of that process.
    #[serde(rename = "n")]
    pub sequence: u32,
    /// One entry for each workspace.
    #[serde(rename = "e")]
    pub entries: Vec<QuotaEntry>,
}

/// What the authority of a workspace grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant(
    /// Requests that the host may admit. They are counted already.
    pub u16,
    /// What is left.
    pub QuotaLevel,
    /// Time in milliseconds for which there is nothing more for the host; 0 if there may be.
    pub u32,
    /// Mean time in milliseconds between two requests that the host may admit while many wait; 0 if
    /// none do.
    pub u32,
);

/// Reply to a [`QuotaAsk`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// Sequence number of the question.
    #[serde(rename = "n")]
    pub sequence: u32,
    /// One grant for each entry of the question, in its order; `None` where another host paces the
    /// workspace.
    #[serde(rename = "g")]
    pub grants: Vec<Option<QuotaGrant>>,
}
