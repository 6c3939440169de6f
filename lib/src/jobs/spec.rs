//! Specification of a job as submitted, its results, and their encoding.

use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::ids::WorkspaceName;

/// One item of a job: an HTTP request that is sent to an upstream later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobItem {
    /// Identifier, unique within the job; also the request identifier of the item's runs.
    pub id: String,
    /// Path and query of the request.
    pub target: String,
    /// Names and values of the request's headers; ones that HTTP does not permit are left out.
    pub headers: Vec<(String, String)>,
    /// Request body, passed on unchanged.
    pub body: Bytes,
}

/// A job as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Identifier, unique among stored jobs; submitting it again does not create another job.
    pub id: String,
    /// Value of the `Host` header of all requests of the job; selects their routes.
    pub host: String,
    /// Time of submission, in milliseconds since 1970 by the clock of the host that accepted the job, as are
    /// the other times.
    pub submitted_ms: u64,
    /// Due time of the results, in milliseconds since 1970. Items still run after it, behind those
    /// that can finish in time.
    pub due_ms: u64,
    /// Time from which an item that has not succeeded is given up, also if it never ran, in
    /// milliseconds since 1970.
    pub retention_ms: u64,
    /// Number of failed runs after which an item becomes a dead letter; 0 counts as 1.
    pub attempts: u32,
    /// Version of the configuration that the job was accepted under.
    pub version: u64,
    /// Workspace of the caller that submitted the job, whose callers alone may read and end it; `None`
    /// for a job that needs no key, and in jobs of an earlier release.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceName>,
    /// Items, in the order submitted.
    pub items: Vec<JobItem>,
}

/// What a host knows by its own clock about the time since a job was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct JobAge {
    pub(crate) least: Duration,
    /// `None` if the job may be of any age from `least` on.
    pub(crate) greatest: Option<Duration>,
}

impl JobAge {
    /// Age of a job that is accepted right now.
    pub(crate) const NEW: Self = Self {
        least: Duration::ZERO,
        greatest: Some(Duration::ZERO),
    };
}

impl JobSpec {
    /// Returns the job with its times by the clock of this host, which has `now_ms`, whatever the clock
    /// of the host that accepted it was.
    ///
    /// The due time, which only orders items, counts from the time between the two clocks as far as
    /// `age` allows it. The retention time counts from the least age, so that no item is given up early.
    pub(crate) fn timed_at(self, now_ms: u64, age: JobAge) -> Self {
        let least_ms = age.least.as_millis() as u64;
        let greatest_ms = age.greatest.map_or(u64::MAX, |age| age.as_millis() as u64);
        let shown_ms = now_ms.saturating_sub(self.submitted_ms);
        let age_ms = shown_ms.clamp(least_ms, greatest_ms.max(least_ms));
        let submitted_ms = now_ms.saturating_sub(age_ms);
        let due_after_ms = self.due_ms.saturating_sub(self.submitted_ms);
        let kept_ms = self.retention_ms.saturating_sub(self.submitted_ms);
        let kept_from_ms = now_ms.saturating_sub(least_ms);
        Self {
            submitted_ms,
            due_ms: submitted_ms.saturating_add(due_after_ms),
            retention_ms: kept_from_ms.saturating_add(kept_ms),
            ..self
        }
    }
}

/// Final state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResultState {
    /// Completed with its whole output.
    Done,
    /// Given up after too many failures, too late, or because it can never succeed; has no output.
    DeadLetter,
}

/// Final result of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobResult {
    /// Identifier of the item.
    pub id: String,
    /// Final state of the item.
    pub state: ResultState,
    /// Data of all events, joined by line feeds; empty for a dead letter.
    pub output: Bytes,
}

/// Consecutive results of a job, from the position that was asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPage {
    /// Number of items of the job, and so of the results that it has when it is finished.
    pub total: usize,
    /// Position after the last result here, to read the next page from.
    pub next: usize,
    /// Committed results, in the order in which they were committed.
    pub results: Vec<JobResult>,
}

/// Encodes a stored value as CBOR.
pub(crate) fn encode(value: &impl Serialize) -> Bytes {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("stored types serialize to CBOR");
    Bytes::from(bytes)
}

/// Decodes a stored value; `None` if it is malformed.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
