//! Messages of a detour: one request and its answer, on a connection between two hosts.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::ids::RequestId;
use crate::ids::ServiceName;
use crate::ids::SoftwareVersion;
use crate::ids::WorkClass;
use crate::relay::RelayRequest;
use crate::routes::Route;
use crate::suspects::Fingerprint;
use crate::workspaces::CallerIdentity;

/// Headers on the wire: names with values, in their order.
pub(crate) type WireHeaders = Vec<(String, Bytes)>;

/// A request that another host sends to upstreams for the host that took it from its caller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DetourCall {
    pub(crate) id: RequestId,
    pub(crate) class: WorkClass,
    pub(crate) route: Route,
    pub(crate) service: ServiceName,
    /// Version of the configuration that the route comes from.
    pub(crate) version: u64,
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) headers: WireHeaders,
    pub(crate) prompt_parts: Vec<Fingerprint>,
    /// Time left until the request's deadline. Clocks of two hosts are not compared.
    pub(crate) left: Duration,
    pub(crate) resume_after: Option<u64>,
    pub(crate) resumes: Option<RequestId>,
    pub(crate) software: Option<SoftwareVersion>,
    /// Largest number of upstreams that may still run the request.
    pub(crate) max_runs: u32,
    /// Who sent the request, as the host found that took it; [`CallerIdentity::Unchecked`] from an
    /// earlier release.
    #[serde(default)]
    pub(crate) caller: CallerIdentity,
    /// Length of the body, which follows in parts.
    pub(crate) body_bytes: usize,
    /// Body. It is not part of the encoded call.
    #[serde(skip)]
    pub(crate) body: Bytes,
}

impl DetourCall {
    /// Returns a call that goes on with `request` after the event `resume_after` at the version `software`.
    /// Up to `max_runs` upstreams may run it.
    pub(crate) fn new(
        request: &RelayRequest,
        resume_after: Option<u64>,
        software: Option<SoftwareVersion>,
        max_runs: u32,
    ) -> Self {
        Self {
            id: request.id.clone(),
            class: request.class,
            route: request.route.as_ref().clone(),
            service: request.service.clone(),
            version: request.version,
            method: request.method.to_string(),
            target: request.target.clone(),
            headers: encode_headers(&request.headers),
            prompt_parts: request.prompt_parts.clone(),
            left: request.deadline.saturating_duration_since(Instant::now()),
            resume_after,
            resumes: request.resumes.clone(),
            software,
            max_runs,
            caller: request.caller.clone(),
            body_bytes: request.body.len(),
            body: request.body.clone(),
        }
    }

    /// Returns the request, whose time counts from now; `None` if its method or its headers are malformed.
    pub(crate) fn into_request(self) -> Option<RelayRequest> {
        let now = Instant::now();
        Some(RelayRequest {
            id: self.id,
            class: self.class,
            route: Arc::new(self.route),
            service: self.service,
            version: self.version,
            method: Method::from_bytes(self.method.as_bytes()).ok()?,
            target: self.target,
            headers: decode_headers(&self.headers)?,
            body: self.body,
            prompt_parts: self.prompt_parts,
            received: now,
            deadline: now + self.left,
            resume_after: self.resume_after,
            resumes: self.resumes,
            software: self.software,
            caller: self.caller,
        })
    }
}

/// Why a host does not take a request of another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum DetourRefusal {
    /// The host does not reach the upstreams of the service either.
    Stranded,
    /// The host has no room for the request, or the upstreams have none.
    Overloaded,
    /// Requests like this one crash the upstreams that run them.
    Convicted,
    /// No upstream serves the version of the software at which the answer has to go on.
    NotResumable,
    /// The host shuts down before the request would be complete.
    ShuttingDown,
    /// The call is malformed.
    Malformed,
}

/// Message of the host that asks.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum DetourInput {
    /// The request without its body.
    Call(Box<DetourCall>),
    /// The next part of the request's body.
    Body(Bytes),
}

/// Message of the host that sends the request to upstreams. All but the first three are the last message
/// of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DetourFrame {
    /// The host works on the request. Sent at intervals, so that silence shows that the host is gone.
    Progress {
        /// Number of upstreams so far that may have run the request.
        runs: u32,
    },
    /// Head of the answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers that are passed on to the caller.
        headers: Vec<(String, Bytes)>,
        /// Whether the body is a stream of server-sent events.
        is_stream: bool,
        /// Version of the software that began a stream.
        software: Option<SoftwareVersion>,
    },
    /// The next part of the answer's body.
    Part(Bytes),
    /// The answer is complete.
    End,
    /// No upstream has run the request for this host, and none will.
    Refused {
        /// Why the request is refused.
        reason: DetourRefusal,
        /// Delay after which the host may take such a request.
        retry_after: Duration,
    },
    /// The answer, or the rest of it, is lost.
    Lost {
        /// Number of upstreams that may have run the request.
        runs: u32,
    },
    /// The deadline passed without an answer.
    TimedOut,
}

impl DetourFrame {
    /// Whether no other message about the request follows.
    pub(crate) fn is_last(&self) -> bool {
        !matches!(
            self,
            Self::Progress { .. } | Self::Head { .. } | Self::Part(_)
        )
    }

    /// Returns the head of an answer.
    pub(crate) fn head(
        status: StatusCode,
        headers: &HeaderMap,
        is_stream: bool,
        software: Option<SoftwareVersion>,
    ) -> Self {
        Self::Head {
            status: status.as_u16(),
            headers: encode_headers(headers),
            is_stream,
            software,
        }
    }
}

fn encode_headers(headers: &HeaderMap) -> WireHeaders {
    let headers = headers.iter();
    headers
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        })
        .collect()
}

/// Returns the headers; `None` if one of them is malformed.
pub(crate) fn decode_headers(encoded: &WireHeaders) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(encoded.len());
    for (name, value) in encoded {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(value).ok()?);
    }
    Some(headers)
}
