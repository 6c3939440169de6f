//! A request as the relay sees it.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use tokio::time::Instant;

use crate::ids::RequestId;
use crate::ids::ServiceName;
use crate::ids::WorkClass;
use crate::routes::Route;

/// A request that was read whole, with the route that it has.
#[derive(Clone, Debug)]
pub struct RelayRequest {
    /// Identifier, as the caller gave it.
    pub id: RequestId,
    /// Whether a caller waits for the answer.
    pub class: WorkClass,
    /// Route in force when the request came.
    pub route: Arc<Route>,
    /// Service of the route that runs the request.
    pub service: ServiceName,
    /// Version of the configuration that the route is from.
    pub version: u64,
    /// Method.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: String,
    /// Headers that are passed on unchanged.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
    /// When the request had been read.
    pub received: Instant,
    /// When the caller, or the route, waits no longer.
    pub deadline: Instant,
    /// Last event that the caller has already.
    pub resume_after: Option<u64>,
}
