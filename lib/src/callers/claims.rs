//! At most one run of requests that are marked as non-idempotent and carry an `Idempotency-Key`.

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

/// Header that says `false` when the request must run at most once.
const IDEMPOTENT_HEADER: &str = "x-idempotent";
/// Header that tells a resend from a new request.
const KEY_HEADER: &str = "idempotency-key";
/// Header that marks an answer as the recorded one of an earlier request.
const REPLAYED_HEADER: &str = "x-idempotent-replayed";
/// Larger answers are not recorded: a resend is told that the outcome is unknown.
const MAX_RECORDED_BYTES: usize = 64 * 1024;

/// Whether the caller lets the request run more than once.
pub(crate) fn marked_idempotent(headers: &HeaderMap) -> bool {
    let value = headers.get(IDEMPOTENT_HEADER);
    !value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"false"))
}

/// Key under which the request must run at most once.
fn claim_key(parts: &Parts) -> Option<&str> {
    let generates = parts.method == Method::POST && Endpoint::from_path(parts.uri.path()).is_some();
    let serves = parts.uri.path().starts_with("/services/");
    let marked = !marked_idempotent(&parts.headers);
    let once = (generates && marked) || (serves && (marked || !parts.method.is_idempotent()));
    let key = parts.headers.get(KEY_HEADER).filter(|_| once)?;
    // A key that is not text is refused like one that is too short.
    Some(key.to_str().unwrap_or_default())
}

impl CallerApi {
    /// Runs a request, under a claim if it must run at most once.
    pub(crate) async fn dispatch_once(
        &self,
        request: CallerRequest,
        segments: &[&str],
    ) -> Result<Reply, Refusal> {
        let Some(key) = claim_key(&request.parts) else {
            return self.dispatch(request, segments).await;
        };
        let claim = match self.claims.claim(&request.terms.name, key).await? {
            ClaimOutcome::Granted(claim) => claim,
            ClaimOutcome::Finished(answer) => return Ok(replay(answer)),
        };
        match self.dispatch(request, segments).await {
            Ok(reply) => Ok(record(claim, reply).await),
            Err(refusal) if refusal.executed == Executed::No => {
                claim.release().await;
                Err(refusal)
            }
            Err(refusal) => {
                let reply = refusal_reply(&refusal);
                let _ = record(claim, reply).await;
                Err(refusal)
            }
        }
    }
}

fn replay(answer: RecordedResponse) -> Reply {
    let mut reply = Response::new(full_body(answer.body));
    *reply.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = reply.headers_mut();
    if let Ok(kind) = HeaderValue::from_str(&answer.content_type) {
        headers.insert(header::CONTENT_TYPE, kind);
    }
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    reply
}

/// Records an answer: a whole one before it is sent, a stream when it has ended.
async fn record(claim: HeldClaim, reply: Reply) -> Reply {
    let (parts, body) = reply.into_parts();
    let kind = parts.headers.get(header::CONTENT_TYPE);
    let kind = kind.and_then(|kind| kind.to_str().ok()).unwrap_or_default();
    let answer = RecordedResponse {
        status: parts.status.as_u16(),
        content_type: kind.to_owned(),
        body: Vec::new(),
    };
    let whole = body.size_hint().exact();
    if whole.is_some_and(|bytes| bytes <= MAX_RECORDED_BYTES as u64) {
        return match body.collect().await {
            Ok(body) => {
                let body = body.to_bytes();
                let answer = RecordedResponse {
                    body: body.to_vec(),
                    ..answer
                };
                claim.finish(answer).await;
                Response::from_parts(parts, full_body(body))
            }
            Err(err) => Response::from_parts(parts, broken_body(err)),
        };
    }
    let recorder = AnswerRecorder {
        claim,
        answer,
        complete: true,
    };
    Response::from_parts(parts, recorder.tee(body))
}

fn broken_body(err: std::io::Error) -> ReplyBody {
    let frames = stream::once(async move { Err::<Frame<Bytes>, _>(err) });
    StreamBody::new(frames).boxed_unsync()
}

/// Copy of a stream that is on its way to the caller.
struct AnswerRecorder {
    claim: HeldClaim,
    answer: RecordedResponse,
    /// Whether all bytes so far are in the copy.
    complete: bool,
}

impl AnswerRecorder {
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
                    if let Some(recorder) = recorder.filter(|recorder| recorder.complete) {
                        recorder.claim.finish(recorder.answer).await;
                    }
                    None
                }
            }
        });
        StreamBody::new(copied).boxed_unsync()
    }

    fn with_bytes(mut self, bytes: &Bytes) -> Self {
        self.complete &= self.answer.body.len() + bytes.len() <= MAX_RECORDED_BYTES;
        if self.complete {
            self.answer.body.extend_from_slice(bytes);
        }
        self
    }
}
