//! Response types and constructors for callers' and operators' requests.

use std::convert::Infallible;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use serde::Serialize;

use crate::refusal::Refusal;

/// Body of every response. A streaming body that can't be completed ends with an error, so that
/// the connection is closed and the client doesn't take it for complete.
pub type ReplyBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// HTTP response with the body type that all handlers share.
pub type Reply = Response<ReplyBody>;

/// Returns a body of known length.
pub fn full_body(bytes: impl Into<Bytes>) -> ReplyBody {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// Returns a JSON response with `status`.
pub fn json_reply(status: StatusCode, body: &impl Serialize) -> Reply {
    let bytes = serde_json::to_vec(body).expect("message types serialize to JSON");
    let mut reply = Response::new(full_body(bytes));
    *reply.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, json);
    reply
}

/// Returns the response for a refusal: its body in OpenAI's error shape, and `Retry-After` (in
/// seconds, at least one) and `Allow` where the refusal has them.
pub(crate) fn refusal_reply(refusal: &Refusal) -> Reply {
    let mut reply = json_reply(refusal.status(), &refusal.body());
    if let Some(delay) = refusal.retry_after {
        let seconds = delay.as_secs_f64().ceil().max(1.0) as u64;
        reply
            .headers_mut()
            .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    if let Some(methods) = refusal.allow {
        let methods = HeaderValue::from_static(methods);
        reply.headers_mut().insert(header::ALLOW, methods);
    }
    reply
}
