//! The edge towards upstreams that run opaque requests.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream::BoxStream;
use http::HeaderMap;
use http::StatusCode;

use crate::balancer::UpstreamChoice;
use crate::relay::request::RelayRequest;

/// Body of an upstream's answer; an error means that it broke off.
pub type UpstreamBody = BoxStream<'static, Result<Bytes, String>>;

/// How one sending of a request differs from others.
#[derive(Clone, Copy, Debug)]
pub struct SendOptions {
    /// Time that the upstream may take.
    pub budget: Duration,
    /// Last event that the answer goes on after.
    pub resume_after: Option<u64>,
    /// Whether a connection that served before may be used.
    pub reuse: bool,
}

/// What an answer says about whether its upstream ran the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionReport {
    /// It ran, or may have.
    Maybe,
    /// The upstream was full and did not run it.
    NoFull,
    /// Another upstream has the address and did not run it.
    NoMoved,
    /// The upstream turned the request down for another reason and did not run it.
    NoRejected,
}

/// Head of an answer, with the body to come.
pub struct UpstreamAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Whether the request ran.
    pub executed: ExecutionReport,
    /// Whether the answer bears the upstream's signature.
    pub is_signed: bool,
    /// Whether the upstream says that it leaves.
    pub is_leaving: bool,
    /// Whether the body is a series of events.
    pub is_stream: bool,
    /// The body.
    pub body: UpstreamBody,
}

/// Why a sending has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SendError {
    /// No connection could be opened; nothing was sent.
    NotSent(String),
    /// The request may have run.
    Broken(String),
}

/// Sends requests to upstreams. Dropping a call or a body ends the upstream's work.
#[async_trait]
pub trait UpstreamTransport: Send + Sync + 'static {
    /// Sends `request` to the upstream of `to` and waits for the head of its answer.
    async fn send(
        &self,
        to: &UpstreamChoice,
        request: &RelayRequest,
        order: SendOptions,
    ) -> Result<UpstreamAnswer, SendError>;
}
