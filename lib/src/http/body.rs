//! Reads request bodies within limits of size, time and memory.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::Stream;
use futures_util::TryStreamExt;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::counters::RefusalReason;
use crate::memory_budget::MemoryBudget;
use crate::memory_budget::MemoryPermit;
use crate::refusal::Refusal;

/// Longest time from the start of reading a body to its end.
const BODY_TIMEOUT: Duration = Duration::from_secs(120);
/// Longest gap between two frames of a body.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);
const NO_MEMORY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Why a request body could not be read to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is larger than this limit in bytes.
    TooLarge(usize),
    /// The whole body, or its next frame, did not arrive within the time limit.
    Slow,
    /// The bodies that are being read have used up the shared memory budget.
    NoMemory,
    /// The connection broke, or the body's encoding is malformed.
    Broken(String),
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLarge(limit) => write!(f, "the body is larger than {limit} bytes"),
            Self::Slow => f.write_str("the body did not arrive in time"),
            Self::NoMemory => f.write_str("the host has no memory left for request bodies"),
            Self::Broken(cause) => write!(f, "the body could not be read: {cause}"),
        }
    }
}

impl std::error::Error for BodyError {}

impl From<BodyError> for Refusal {
    fn from(fault: BodyError) -> Self {
        let reason = match fault {
            BodyError::TooLarge(_) => RefusalReason::TooLarge,
            BodyError::Slow => RefusalReason::SlowSender,
            BodyError::NoMemory => RefusalReason::Overloaded,
            BodyError::Broken(_) => RefusalReason::BadRequest,
        };
        let refusal = Self::new(reason, fault.to_string());
        match reason {
            RefusalReason::Overloaded => refusal.with_retry_after(NO_MEMORY_RETRY_DELAY),
            _ => refusal,
        }
    }
}

/// Reads request bodies. Clones share one memory budget.
#[derive(Clone, Debug)]
pub struct BodyReader {
    limit: usize,
    memory: MemoryBudget,
}

/// A body that is being read, with the memory reserved for the parts received so far.
struct PartialBody {
    body: Incoming,
    size: usize,
    permits: Vec<MemoryPermit>,
    deadline: Instant,
}

impl BodyReader {
    /// Returns a reader for bodies of at most `limit` bytes each and `memory` bytes in total at any
    /// time.
    pub fn new(limit: usize, memory: usize) -> Self {
        Self {
            limit,
            memory: MemoryBudget::new(memory),
        }
    }

    /// Size limit of one body in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Reads a whole body within the default time limit.
    pub async fn read(&self, body: Incoming) -> Result<Bytes, BodyError> {
        self.read_until(body, Instant::now() + BODY_TIMEOUT).await
    }

    /// Reads a whole body; fails with [`BodyError::Slow`] if it is not complete at `deadline`.
    pub async fn read_until(&self, body: Incoming, deadline: Instant) -> Result<Bytes, BodyError> {
        let parts = self.parts_until(body, deadline);
        let collected = parts.try_fold(BytesMut::new(), |mut whole, part| async move {
            whole.extend_from_slice(&part);
            Ok(whole)
        });
        Ok(collected.await?.freeze())
    }

    /// Streams the parts of a body as they arrive. The memory reserved for them is released when
    /// the stream is dropped.
    pub(crate) fn parts(
        &self,
        body: Incoming,
    ) -> impl Stream<Item = Result<Bytes, BodyError>> + Send + use<> {
        self.parts_until(body, Instant::now() + BODY_TIMEOUT)
    }

    fn parts_until(
        &self,
        body: Incoming,
        deadline: Instant,
    ) -> impl Stream<Item = Result<Bytes, BodyError>> + Send + use<> {
        let state = PartialBody {
            body,
            size: 0,
            permits: Vec::new(),
            deadline,
        };
        let reader = self.clone();
        stream::try_unfold(state, move |mut state| {
            let reader = reader.clone();
            async move {
                let part = reader.next_part(&mut state).await?;
                Ok(part.map(|part| (part, state)))
            }
        })
    }

    async fn next_part(&self, state: &mut PartialBody) -> Result<Option<Bytes>, BodyError> {
        loop {
            let until = state.deadline.min(Instant::now() + FRAME_TIMEOUT);
            let frame = tokio::time::timeout_at(until, state.body.frame()).await;
            let frame = match frame.map_err(|_| BodyError::Slow)? {
                Some(frame) => frame.map_err(|err| BodyError::Broken(err.to_string()))?,
                None => return Ok(None),
            };
            let Ok(part) = frame.into_data() else {
                continue;
            };
            state.size += part.len();
            if state.size > self.limit {
                return Err(BodyError::TooLarge(self.limit));
            }
            let permit = self.memory.take(part.len()).ok_or(BodyError::NoMemory)?;
            state.permits.push(permit);
            return Ok(Some(part));
        }
    }
}
