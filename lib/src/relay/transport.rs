//! Transport to upstreams that run opaque requests.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream::BoxStream;
use http::HeaderMap;
use http::StatusCode;

use crate::balancer::UpstreamChoice;
use crate::limits::LimitSignal;
use crate::reach::ProbeTarget;
use crate::reach::UnreachedCause;
use crate::relay::request::RelayRequest;

/// Longest time that a transport takes to identify the process of an upstream.
pub const IDENTIFICATION_TIME: Duration = Duration::from_millis(300);

/// Body of an upstream's answer; an error means that the body ended before it was complete.
pub type UpstreamBody = BoxStream<'static, Result<Bytes, String>>;

/// Parameters of one attempt to send a request.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions {
    /// Time until the request's deadline, passed on to the upstream.
    pub budget: Duration,
    /// Id of the event after which the upstream resumes its stream; `None` for a new stream.
    pub resume_after: Option<u64>,
    /// Whether a pooled connection may be used. A request that may not be repeated needs a new
    /// one: if the upstream closes a pooled connection, it is unknown whether the request arrived.
    pub reuse: bool,
}

/// What an upstream's answer says about whether that upstream ran the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionReport {
    /// The upstream ran the request, or may have.
    Maybe,
    /// The upstream had no free capacity and did not run the request.
    NoFull,
    /// Another upstream now has the address, and did not run the request.
    NoMoved,
    /// The upstream rejected the request for another reason and did not run it.
    NoRejected,
}

/// Head of an upstream's answer, with the body still to be read.
pub struct UpstreamAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers that are passed on to the caller.
    pub headers: HeaderMap,
    /// Whether the upstream ran the request.
    pub executed: ExecutionReport,
    /// Whether the answer carries an upstream's signature. An unsigned answer does not come from
    /// an upstream and counts as broken.
    pub is_signed: bool,
    /// Whether the upstream announces that it is shutting down; it then gets no new requests.
    pub is_leaving: bool,
    /// Limit of requests a second that the upstream names, whether or not it ran the request.
    pub limit: LimitSignal,
    /// Whether the body is a stream of server-sent events.
    pub is_stream: bool,
    /// Body, to be polled by the relay.
    pub body: UpstreamBody,
}

/// Why an attempt to send a request has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection could be opened; nothing was sent. Holds the cause.
    NotSent(String),
    /// The connection failed after the request was sent; the upstream may have run it. Holds the
    /// cause.
    Broken(String),
    /// Another process than the expected one answers at the upstream's address; the request was not sent
    /// to it.
    OtherProcess {
        /// Start time of that process, in milliseconds since the Unix epoch.
        started_ms: u64,
    },
    /// Which process answers at the upstream's address is not known, so the request was not sent to it.
    /// Holds the cause.
    Unidentified(String),
}

/// Sends requests to upstreams. Dropping the future or the body cancels the upstream's work.
#[async_trait]
pub trait UpstreamTransport: Send + Sync + 'static {
    /// Sends `request` to the upstream that `to` names and waits for the head of its answer,
    /// without a time-out of its own.
    ///
    /// An answer that is resumed is only requested of the process that `to` names: it is identified
    /// on the connection that then carries the request.
    async fn send(
        &self,
        to: &UpstreamChoice,
        request: &RelayRequest,
        options: SendOptions,
    ) -> Result<UpstreamAnswer, SendError>;

    /// Whether the upstream that `to` names refuses connections, as one does that has crashed.
    /// False if it accepts one, or if that is not known within a fraction of a second.
    async fn refuses_connections(&self, to: &UpstreamChoice) -> bool;

    /// Opens a connection to an upstream and closes it, without a request. The error says how it failed;
    /// it takes a fraction of a second at most.
    async fn probe(&self, target: &ProbeTarget) -> Result<(), UnreachedCause>;
}
