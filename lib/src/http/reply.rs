//! Responses to callers and operators.

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

/// Body of every response; a streaming body ends early only by an error.
pub type ReplyBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// Response with the common body type.
pub type Reply = Response<ReplyBody>;

/// Wraps bytes that are known in full.
pub fn full_body(bytes: impl Into<Bytes>) -> ReplyBody {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// JSON response with `status`.
pub fn json_reply(status: StatusCode, body: &impl Serialize) -> Reply {
    let bytes = serde_json::to_vec(body).expect("message types serialize to JSON");
    let mut reply = Response::new(full_body(bytes));
    *reply.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, json);
    reply
}

/// Response that carries a refusal in OpenAI's error shape.
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
