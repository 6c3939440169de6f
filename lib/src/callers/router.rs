//! Authentication of callers' requests and their dispatch by path.

use std::sync::Arc;

use http::HeaderValue;
use http::Method;
use http::Request;
use http::StatusCode;
use http::request::Parts;
use hyper::body::Incoming;
use serde_json::json;

use crate::api_key::bearer_key;
use crate::batch::BatchError;
use crate::batch::BatchService;
use crate::counters::CounterEvent;
use crate::counters::CounterSet;
use crate::counters::RefusalReason;
use crate::decisions::DecisionKind;
use crate::decisions::DecisionRing;
use crate::edges::engine::Endpoint;
use crate::http::body::BodyReader;
use crate::http::client::HttpClient;
use crate::http::reply::Reply;
use crate::http::reply::json_reply;
use crate::http::reply::refusal_reply;
use crate::idempotency::ClaimKeeper;
use crate::ids::RequestId;
use crate::ids::Revision;
use crate::inference::InferenceRunner;
use crate::membership::Membership;
use crate::refusal::Refusal;
use crate::settings::Settings;
use crate::terms::ActiveTerms;
use crate::terms::Principal;
use crate::terms::WorkspaceTerms;
use crate::upstreams::UpstreamTable;

/// Header with the identifier of a request, both from callers and in responses.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";

const MAX_REQUEST_ID_BYTES: usize = 128;

/// Handles callers' requests with the components of one entry host.
pub(crate) struct CallerApi {
    pub(crate) settings: Arc<Settings>,
    pub(crate) bodies: BodyReader,
    pub(crate) counters: Arc<CounterSet>,
    pub(crate) decisions: Arc<DecisionRing>,
    pub(crate) terms: Arc<ActiveTerms>,
    pub(crate) membership: Arc<Membership>,
    pub(crate) upstreams: Arc<UpstreamTable>,
    pub(crate) runner: Arc<InferenceRunner>,
    pub(crate) claims: Arc<ClaimKeeper>,
    pub(crate) batch: Arc<BatchService>,
    pub(crate) client: HttpClient,
}

/// An authenticated request, with the terms of the caller's workspace.
pub(crate) struct CallerRequest {
    pub(crate) id: RequestId,
    pub(crate) terms: Arc<WorkspaceTerms>,
    pub(crate) parts: Parts,
    pub(crate) body: Incoming,
}

impl CallerApi {
    /// Handles one request. The response carries the request's identifier.
    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Reply {
        let id = request_id(&request);
        let outcome = self.route(id.clone(), request).await;
        let mut reply = outcome.unwrap_or_else(|refusal| self.refuse(&id, &refusal));
        if let Ok(value) = HeaderValue::from_str(id.as_str()) {
            reply.headers_mut().insert(REQUEST_ID_HEADER, value);
        }
        reply
    }

    /// Counts a refusal, records it as a decision and builds its response.
    pub(crate) fn refuse(&self, id: &RequestId, refusal: &Refusal) -> Reply {
        self.counters.refusal(refusal.reason);
        let detail = format!("{}: {}", refusal.reason, refusal.message);
        self.decisions
            .record(DecisionKind::Refused, &[id.as_str()], detail);
        refusal_reply(refusal)
    }

    async fn route(&self, id: RequestId, request: Request<Incoming>) -> Result<Reply, Refusal> {
        let path = request.uri().path().to_owned();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        let method = request.method().clone();
        if segments == ["v1", "entries"] && method == Method::GET {
            return Ok(self.entries(&request));
        }
        let request = self.authenticate(id, request)?;
        self.counters.event(CounterEvent::RequestAccepted);
        self.dispatch_with_claim(request, &segments).await
    }

    /// Dispatches an authenticated request to the handler of its method and path.
    pub(crate) async fn dispatch(
        &self,
        request: CallerRequest,
        segments: &[&str],
    ) -> Result<Reply, Refusal> {
        let method = request.parts.method.clone();
        let path = request.parts.uri.path().to_owned();
        match (&method, segments) {
            (&Method::POST, ["v1", "chat", "completions"]) => {
                self.complete(request, Endpoint::Chat).await
            }
            (&Method::POST, ["v1", "completions"]) => {
                self.complete(request, Endpoint::Completions).await
            }
            (&Method::GET, ["v1", "models"]) => Ok(self.models(&request)),
            (&Method::POST, ["v1", "files"]) => self.upload_file(request).await,
            (&Method::GET, ["v1", "files", id]) => self.file(&request, id).await,
            (&Method::GET, ["v1", "files", id, "content"]) => self.file_content(&request, id).await,
            (&Method::POST, ["v1", "batches"]) => self.create_batch(request).await,
            (&Method::GET, ["v1", "batches"]) => self.list_batches(&request).await,
            (&Method::GET, ["v1", "batches", id]) => self.batch(&request, id).await,
            (&Method::GET, ["v1", "batches", id, "results"]) => {
                self.batch_results(&request, id).await
            }
            (&Method::POST, ["v1", "batches", id, "cancel"]) => {
                self.cancel_batch(&request, id).await
            }
            (_, ["services", name, ..]) => self.call_service(request, name).await,
            _ => {
                let allow = allowed_methods(segments);
                Err(Refusal::unmatched_path(&method, &path, allow))
            }
        }
    }

    fn authenticate(
        &self,
        id: RequestId,
        request: Request<Incoming>,
    ) -> Result<CallerRequest, Refusal> {
        let view = self.terms.view();
        let (parts, body) = request.into_parts();
        if view.revision == Revision(0) {
            let message = "this host has not learned the terms yet";
            return Err(Refusal::new(RefusalReason::Starting, message)
                .with_retry_after(std::time::Duration::from_secs(1)));
        }
        let Ok(key) = bearer_key(&parts.headers) else {
            let message = "an Authorization header with a bearer key is required";
            return Err(Refusal::new(RefusalReason::Unauthenticated, message));
        };
        match view.principal(key) {
            Some(Principal::Member(terms)) => Ok(CallerRequest {
                id,
                terms,
                parts,
                body,
            }),
            Some(Principal::Operator) => Err(Refusal::new(
                RefusalReason::Forbidden,
                "an operator key is not a member key",
            )),
            None => Err(Refusal::new(
                RefusalReason::Unauthenticated,
                "the key is unknown",
            )),
        }
    }

    fn models(&self, request: &CallerRequest) -> Reply {
        let models: Vec<_> = request
            .terms
            .models
            .iter()
            .map(|model| {
                json!({ "id": model, "object": "model", "created": 0, "owned_by": "fleet" })
            })
            .collect();
        json_reply(StatusCode::OK, &json!({ "object": "list", "data": models }))
    }
}

/// Returns the `Allow` header of a path, or `None` if the path does not exist.
fn allowed_methods(segments: &[&str]) -> Option<&'static str> {
    match segments {
        ["v1", "chat", "completions"]
        | ["v1", "completions"]
        | ["v1", "files"]
        | ["v1", "batches", _, "cancel"] => Some("POST"),
        ["v1", "batches"] => Some("GET, POST"),
        ["v1", "entries"]
        | ["v1", "models"]
        | ["v1", "files", _]
        | ["v1", "files", _, "content"]
        | ["v1", "batches", _]
        | ["v1", "batches", _, "results"] => Some("GET"),
        _ => None,
    }
}

/// Whether an identifier from a caller is short enough and safe in URL paths and logs.
fn is_request_id(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    (1..=MAX_REQUEST_ID_BYTES).contains(&text.len()) && text.bytes().all(allowed)
}

/// Returns the caller's identifier for the request if it is valid, or else a random one.
fn request_id(request: &Request<Incoming>) -> RequestId {
    let given = request.headers().get(REQUEST_ID_HEADER);
    given
        .and_then(|value| value.to_str().ok())
        .filter(|text| is_request_id(text))
        .map_or_else(RequestId::random, RequestId::new)
}

impl From<BatchError> for Refusal {
    fn from(err: BatchError) -> Self {
        match err {
            BatchError::NotFound(what) => {
                Self::new(RefusalReason::NotFound, format!("{what} does not exist"))
            }
            BatchError::Invalid(cause) => Self::new(RefusalReason::BadRequest, cause),
            BatchError::Unavailable(cause) => Self::new(RefusalReason::StoreUnavailable, cause)
                .with_retry_after(std::time::Duration::from_secs(2)),
            BatchError::Unknown(cause) => Self::new(RefusalReason::StoreUnavailable, cause)
                .with_retry_after(std::time::Duration::from_secs(2))
                .with_unknown_execution(),
            BatchError::Format(format) => {
                let message = format!("the object has the unknown stored format {format}");
                Self::new(RefusalReason::StoreUnavailable, message)
            }
            BatchError::Damaged(cause) => {
                let message = format!("a stored object cannot be read: {cause}");
                Self::new(RefusalReason::StoreUnavailable, message)
            }
        }
    }
}
