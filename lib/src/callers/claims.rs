//! At-most-once execution of non-idempotent requests that carry an `Idempotency-Key`: completions
//! marked as non-idempotent, and service calls that are marked so or use a non-idempotent method.

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::Response;
use http::StatusCode;
use http::header;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Body;
use hyper::body::Frame;

use crate::callers::router::CallerApi;
use crate::callers::router::CallerRequest;
use crate::edges::engine::Endpoint;
use crate::http::reply::Reply;
use crate::http::reply::ReplyBody;
use crate::http::reply::full_body;
use crate::http::reply::refusal_reply;
use crate::idempotency::ClaimOutcome;
use crate::idempotency::HeldClaim;
use crate::idempotency::RecordedResponse;
use crate::refusal::Executed;
use crate::refusal::Refusal;

/// Header with which callers mark a request as non-idempotent (`false`).
const IDEMPOTENT_HEADER: &str = "x-idempotent";
/// Header with a key that is the same for a request and its resends.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header that marks a response as the recorded one of an earlier request with the same key.
const REPLAYED_HEADER: &str = "x-idempotent-replayed";
/// Largest response body that is recorded. After a larger one, a resend is told that the outcome
/// is unknown.
const MAX_RECORDED_BYTES: usize = 64 * 1024;

/// Whether the request may run more than once, as it isn't marked as non-idempotent.
pub(crate) fn is_marked_idempotent(headers: &HeaderMap) -> bool {
    let value = headers.get(IDEMPOTENT_HEADER);
    !value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"false"))
}

/// Returns the `Idempotency-Key` of a request that must run at most once, or `None` if the request
/// has none or may be repeated.
fn claim_key(parts: &Parts) -> Option<&str> {
    let is_completion =
        parts.method == Method::POST && Endpoint::from_path(parts.uri.path()).is_some();
    let is_service_call = parts.uri.path().starts_with("/services/");
    let is_non_idempotent = !is_marked_idempotent(&parts.headers);
    let at_most_once = (is_completion && is_non_idempotent)
        || (is_service_call && (is_non_idempotent || !parts.method.is_idempotent()));
    let key = parts
        .headers
        .get(IDEMPOTENCY_KEY_HEADER)
        .filter(|_| at_most_once)?;
    // A key that is not text becomes an empty one, which is refused as too short.
    Some(key.to_str().unwrap_or_default())
}

impl CallerApi {
    /// Dispatches a request. If it must run at most once, claims its key first, and answers a
    /// resend of a finished request with the recorded response.
    pub(crate) async fn dispatch_with_claim(
        &self,
        request: CallerRequest,
        segments: &[&str],
    ) -> Result<Reply, Refusal> {
        let Some(key) = claim_key(&request.parts) else {
            return self.dispatch(request, segments).await;
        };
        let claim = match self.claims.claim(&request.terms.name, key).await? {
            ClaimOutcome::Granted(claim) => claim,
            ClaimOutcome::Finished(response) => return Ok(replay_response(response)),
        };
        match self.dispatch(request, segments).await {
            Ok(reply) => Ok(record_response(claim, reply).await),
            Err(refusal) if refusal.executed == Executed::No => {
                claim.release().await;
                Err(refusal)
            }
            Err(refusal) => {
                let reply = refusal_reply(&refusal);
                let _ = record_response(claim, reply).await;
                Err(refusal)
            }
        }
    }
}

fn replay_response(response: RecordedResponse) -> Reply {
    let mut reply = Response::new(full_body(response.body));
    *reply.status_mut() = StatusCode::from_u16(response.status).unwrap_or(StatusCode::OK);
    let headers = reply.headers_mut();
    if let Ok(media_type) = HeaderValue::from_str(&response.content_type) {
        headers.insert(header::CONTENT_TYPE, media_type);
    }
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    reply
}

/// Records a response under its claim: before it is sent if its size is known and within the limit,
/// or else when its stream has ended.
async fn record_response(claim: HeldClaim, reply: Reply) -> Reply {
    let (parts, body) = reply.into_parts();
    let media_type = parts.headers.get(header::CONTENT_TYPE);
    let media_type = media_type
        .and_then(|media_type| media_type.to_str().ok())
        .unwrap_or_default();
    let response = RecordedResponse {
        status: parts.status.as_u16(),
        content_type: media_type.to_owned(),
        body: Vec::new(),
    };
    let body_bytes = body.size_hint().exact();
    if body_bytes.is_some_and(|bytes| bytes <= MAX_RECORDED_BYTES as u64) {
        return match body.collect().await {
            Ok(body) => {
                let body = body.to_bytes();
                let response = RecordedResponse {
                    body: body.to_vec(),
                    ..response
                };
                claim.finish(response).await;
                Response::from_parts(parts, full_body(body))
            }
            Err(err) => Response::from_parts(parts, failed_body(err)),
        };
    }
    let recorder = ResponseRecorder {
        claim,
        response,
        is_complete: true,
    };
    Response::from_parts(parts, recorder.tee(body))
}

fn failed_body(err: std::io::Error) -> ReplyBody {
    let frames = stream::once(async move { Err::<Frame<Bytes>, _>(err) });
    StreamBody::new(frames).boxed_unsync()
}

/// Copies a streamed response while it is sent, and records the copy at the end of the stream.
struct ResponseRecorder {
    claim: HeldClaim,
    response: RecordedResponse,
    /// Whether the copy holds all bytes so far; false once it would exceed the size limit.
    is_complete: bool,
}

impl ResponseRecorder {
    fn tee(self, body: ReplyBody) -> ReplyBody {
        let frames = body.into_data_stream();
        let copied = stream::unfold((frames, Some(self)), |(mut frames, recorder)| async move {
            match frames.next().await {
                Some(Ok(bytes)) => {
                    let recorder = recorder.map(|recorder| recorder.with_bytes(&bytes));
                    Some((Ok(Frame::data(bytes)), (frames, recorder)))
                }
                Some(Err(err)) => Some((Err(err), (frames, None))),
                None => {
                    if let Some(recorder) = recorder.filter(|recorder| recorder.is_complete) {
                        recorder.claim.finish(recorder.response).await;
                    }
                    None
                }
            }
        });
        StreamBody::new(copied).boxed_unsync()
    }

    fn with_bytes(mut self, bytes: &Bytes) -> Self {
        self.is_complete &= self.response.body.len() + bytes.len() <= MAX_RECORDED_BYTES;
        if self.is_complete {
            self.response.body.extend_from_slice(bytes);
        }
        self
    }
}
