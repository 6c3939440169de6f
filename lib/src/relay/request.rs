//! Request that the relay sends to upstreams.

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use tokio::time::Instant;

use crate::ids::RequestId;
use crate::ids::ServiceName;
use crate::ids::SoftwareVersion;
use crate::ids::WorkClass;
use crate::origins::StreamTag;
use crate::routes::Route;
use crate::routes::RouteKind;
use crate::suspects::CrashSubject;
use crate::suspects::Fingerprint;
use crate::workspaces::CallerIdentity;

/// A completely read request with the route that was selected for it.
#[derive(Clone, Debug)]
pub struct RelayRequest {
    /// Identifier of the request, as its caller gave it.
    pub id: RequestId,
    /// Priority class: online if a caller waits for the answer, batch otherwise.
    pub class: WorkClass,
    /// Route that was in force when the request arrived; later configuration does not change it.
    pub route: Arc<Route>,
    /// Service whose upstreams may run the request, selected among those of the route.
    pub service: ServiceName,
    /// Version of the configuration that the route comes from, for the log.
    pub version: u64,
    /// HTTP method, passed on unchanged.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: String,
    /// Headers of the caller; the transport drops those that are not for the upstream.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Parts of the prompt that other requests may share, in their order; empty if not known.
    pub prompt_parts: Vec<Fingerprint>,
    /// When the relay received the request; latencies in the log count from here.
    pub received: Instant,
    /// When the request is given up, by the caller's deadline or the route's time-out.
    pub deadline: Instant,
    /// Id of the last event that the caller has received; `None` for a stream from its start.
    pub resume_after: Option<u64>,
    /// Identifier of the request that brought the stream's first event to the caller, if its caller
    /// takes a stream up and says so.
    pub resumes: Option<RequestId>,
    /// Version of the software at which the answer has to go on; `None` if it starts anew.
    pub software: Option<SoftwareVersion>,
    /// Who sent the request; the transport tells the upstream, whatever the headers say.
    pub caller: CallerIdentity,
}

impl RelayRequest {
    /// Digest of what the request asks of an upstream; equal for all copies of the request, which
    /// have identifiers of their own.
    pub fn fingerprint(&self) -> Fingerprint {
        let (method, target) = (self.method.as_str(), &self.target);
        Fingerprint::opaque(&self.route.host, method, target, &self.body)
    }

    /// Tag of the stream that the request begins, or takes up. One that begins anew brings a first event of
    /// its own, which later take-ups name.
    pub(crate) fn stream_tag(&self) -> StreamTag {
        let began = self
            .resumes
            .as_ref()
            .filter(|_| self.resume_after.is_some());
        StreamTag::new(began.unwrap_or(&self.id))
    }

    /// Whether a caller may take up the stream that the request begins.
    pub(crate) fn is_resumable(&self) -> bool {
        let is_resumable = matches!(self.route.kind, RouteKind::Stream { resumable: true });
        is_resumable && self.class == WorkClass::Online
    }

    /// Everything about the request that may crash an upstream.
    pub(crate) fn crash_subjects(&self) -> Vec<CrashSubject> {
        let mut subjects = vec![CrashSubject::Request(self.fingerprint())];
        subjects.extend(self.part_subjects());
        subjects
    }

    /// The shared parts of the prompt, each of which may crash an upstream.
    pub(crate) fn part_subjects(&self) -> impl Iterator<Item = CrashSubject> {
        self.prompt_parts.iter().copied().map(CrashSubject::Part)
    }
}
