//! A job as it was submitted, and its results.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// One item of a job: a request that is run later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobItem {
    /// Identifier, unique within the job.
    pub id: String,
    /// Path and query.
    pub target: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

/// A job as it was submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Identifier.
    pub id: String,
    /// Host name that all requests of the job have.
    pub host: String,
    /// When the job was submitted, in milliseconds since 1970.
    pub submitted_ms: u64,
    /// When its results are due, in milliseconds since 1970.
    pub due_ms: u64,
    /// When its items may be given up, in milliseconds since 1970.
    pub retention_ms: u64,
    /// Runs that may fail before an item is given up.
    pub attempts: u32,
    /// Version of the configuration that the job was accepted under.
    pub version: u64,
    /// The items.
    pub items: Vec<JobItem>,
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ResultState {
    /// Its output is whole.
    Done,
    /// It was given up.
    DeadLetter,
}

/// Result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobResult {
    /// The item.
    pub id: String,
    /// How it ended.
    pub state: ResultState,
    /// Text of all events, joined by line feeds.
    pub output: Bytes,
}

/// Results from a position on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPage {
    /// Number of items of the job.
    pub total: usize,
    /// Position after the last result.
    pub next: usize,
    /// The results.
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
