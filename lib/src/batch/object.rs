//! Files and jobs as callers see them, in the format of OpenAI's API.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

use crate::edges::engine::Endpoint;
use crate::ids::FileId;
use crate::ids::JobId;
use crate::ids::WorkspaceName;

/// Purpose of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FilePurpose {
    /// Items of a batch job.
    Batch,
    /// Results of a batch job.
    BatchOutput,
}

/// An uploaded or generated file, without its content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileObject {
    /// Identifier of the file.
    pub id: FileId,
    /// Workspace that owns it.
    pub workspace: WorkspaceName,
    /// Name that the caller gave.
    pub filename: String,
    /// Whether the file holds the input or the results of a job.
    pub purpose: FilePurpose,
    /// Size of the content in bytes.
    pub bytes: u64,
    /// Seconds since the Unix epoch.
    pub created_at: u64,
}

impl FileObject {
    /// Response body in the format of OpenAI's API.
    pub fn body(&self) -> Value {
        json!({
            "id": self.id,
            "object": "file",
            "bytes": self.bytes,
            "created_at": self.created_at,
            "filename": self.filename,
            "purpose": self.purpose,
            "status": "processed",
        })
    }
}

/// State of a job.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum JobState {
    /// Items are being run.
    InProgress,
    /// All items have a result.
    Completed,
    /// A caller cancelled the job.
    Cancelled,
    /// The input has faults, so that no item was run.
    Failed,
}

impl JobState {
    /// Whether the state can no longer change.
    pub fn is_final(self) -> bool {
        self != Self::InProgress
    }
}

/// Numbers of a job's items.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// All items.
    pub total: u64,
    /// Items that ended with an answer.
    pub completed: u64,
    /// Items that ended with an error.
    pub failed: u64,
}

/// Request of a caller to create a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRequest {
    /// File with the items.
    pub input_file_id: FileId,
    /// Endpoint that each item calls.
    pub endpoint: Endpoint,
    /// Time from acceptance until the job is due, such as `24h`.
    pub completion_window: String,
    /// Labels of the caller; `null` reads as none.
    #[serde(default, deserialize_with = "null_as_default")]
    pub metadata: BTreeMap<String, String>,
}

/// Reads `null` as the default, as client libraries send it for fields that are not set.
fn null_as_default<'de, D, T>(input: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(Option::deserialize(input)?.unwrap_or_default())
}

/// A fault of the input that keeps a job from running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LineFault {
    /// Number of the line, from 1; absent if the whole file is at fault.
    pub line: Option<u64>,
    /// Machine-readable kind of the fault.
    pub code: String,
    /// Explanation for a person.
    pub message: String,
}

/// A job as callers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobObject {
    /// Identifier of the job.
    pub id: JobId,
    /// Workspace that owns it.
    pub workspace: WorkspaceName,
    /// Request that created the job.
    pub request: JobRequest,
    /// State of the job.
    pub state: JobState,
    /// Numbers of items.
    pub counts: RequestCounts,
    /// File with the answers, once the job has ended.
    pub output_file_id: Option<FileId>,
    /// File with the errors, if there are any.
    pub error_file_id: Option<FileId>,
    /// Faults of the input, when the job failed for them.
    pub faults: Vec<LineFault>,
    /// Seconds since the Unix epoch.
    pub created_at: u64,
    /// When the job is due, in seconds since the Unix epoch.
    pub expires_at: u64,
    /// When the state became final, in seconds since the Unix epoch.
    pub ended_at: Option<u64>,
}

impl JobObject {
    /// Response body in the format of OpenAI's API.
    pub fn body(&self) -> Value {
        let ended_as = |state| self.ended_at.filter(|_| self.state == state);
        let errors =
            (!self.faults.is_empty()).then(|| json!({ "object": "list", "data": self.faults }));
        json!({
            "id": self.id,
            "object": "batch",
            "endpoint": self.request.endpoint,
            "errors": errors,
            "input_file_id": self.request.input_file_id,
            "completion_window": self.request.completion_window,
            "status": self.state,
            "output_file_id": self.output_file_id,
            "error_file_id": self.error_file_id,
            "created_at": self.created_at,
            "in_progress_at": self.created_at,
            "expires_at": self.expires_at,
            "completed_at": ended_as(JobState::Completed),
            "cancelled_at": ended_as(JobState::Cancelled),
            "failed_at": ended_as(JobState::Failed),
            "request_counts": self.counts,
            "metadata": self.request.metadata,
        })
    }
}

/// Why a request on a file or job failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchError {
    /// The object does not exist in this workspace.
    NotFound(String),
    /// The request or the input is malformed.
    Invalid(String),
    /// The key-value service is unavailable; nothing was accepted.
    Unavailable(String),
    /// The outcome is unknown; the same request may be sent again.
    Unknown(String),
    /// The object is stored in the format of another release, which is given; it is left unchanged.
    Format(u32),
    /// The stored object is missing a part or can't be decoded.
    Damaged(String),
}
