//! Chat and text completions, in one response or streamed as server-sent events.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use crate::callers::claims::is_marked_idempotent;
use crate::callers::request::read_json;
use crate::callers::router::CallerApi;
use crate::callers::router::CallerRequest;
use crate::counters::CounterEvent;
use crate::counters::RefusalReason;
use crate::edges::engine::Endpoint;
use crate::http::reply::Reply;
use crate::http::reply::json_reply;
use crate::ids::ModelName;
use crate::ids::WorkClass;
use crate::inference::AnswerEvent;
use crate::inference::AnswerStream;
use crate::inference::InferenceCall;
use crate::refusal::Refusal;

/// Header with the caller's deadline in milliseconds, counted from when the body has been read.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Fields of the body that limit the number of tokens of the answer.
const TOKEN_LIMIT_FIELDS: [&str; 2] = ["max_completion_tokens", "max_tokens"];

const DEFAULT_DEADLINE: Duration = Duration::from_secs(120);
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

impl CallerApi {
    /// Runs a completion and returns its answer, streamed if the body says `"stream": true`.
    pub(crate) async fn complete(
        &self,
        request: CallerRequest,
        endpoint: Endpoint,
    ) -> Result<Reply, Refusal> {
        let body: Value = read_json(&request.parts.headers, request.body, &self.bodies).await?;
        check_body(&body, endpoint)?;
        self.check_model(&body)?;
        let streamed = body["stream"].as_bool().unwrap_or(false);
        let include_usage = body["stream_options"]["include_usage"] == true;
        let call = InferenceCall {
            request: request.id,
            terms: request.terms,
            class: WorkClass::Online,
            endpoint,
            body,
            deadline: Instant::now() + deadline(&request.parts.headers)?,
            idempotent: is_marked_idempotent(&request.parts.headers),
        };
        let mut answer = self.runner.run(call).await?;
        if !streamed {
            let answer = answer.collect(endpoint).await?;
            self.counters.event(CounterEvent::RequestAnswered);
            return Ok(json_reply(StatusCode::OK, &answer.body()));
        }
        // The response head is sent only after the first event, so that an early refusal can still
        // set the HTTP status.
        let first = match answer.next().await {
            Some(event) => event?,
            None => {
                let refusal = Refusal::new(RefusalReason::UpstreamFailed, "no answer");
                return Err(refusal.with_unknown_execution());
            }
        };
        Ok(stream_reply(first, answer, include_usage))
    }

    fn check_model(&self, body: &Value) -> Result<(), Refusal> {
        let model = ModelName::new(body["model"].as_str().unwrap_or_default());
        if self.terms.view().document.models.contains_key(&model) {
            return Ok(());
        }
        let message = format!("model {model:?} does not exist");
        Err(Refusal::new(RefusalReason::UnknownModel, message))
    }
}

fn check_body(body: &Value, endpoint: Endpoint) -> Result<(), Refusal> {
    let bad_request = |message: &str| Err(Refusal::new(RefusalReason::BadRequest, message));
    if !body.is_object() {
        return bad_request("the body is not a JSON object");
    }
    if !body["model"].is_string() {
        return bad_request("\"model\" is missing or not a string");
    }
    match endpoint {
        Endpoint::Chat if !body["messages"].is_array() => {
            bad_request("\"messages\" is missing or not an array")
        }
        Endpoint::Completions if !body["prompt"].is_string() => {
            bad_request("\"prompt\" is missing or not a string")
        }
        _ if !is_null_or(&body["stream"], Value::is_boolean) => {
            bad_request("\"stream\" is not a boolean")
        }
        _ if !TOKEN_LIMIT_FIELDS
            .iter()
            .all(|name| is_null_or(&body[name], Value::is_u64)) =>
        {
            bad_request("a token limit is not a whole number")
        }
        _ if !is_null_or(&body["n"], |n| *n == 1) => {
            bad_request("\"n\" other than 1 is not supported")
        }
        _ => Ok(()),
    }
}

fn is_null_or(value: &Value, check: impl Fn(&Value) -> bool) -> bool {
    value.is_null() || check(value)
}

fn deadline(headers: &HeaderMap) -> Result<Duration, Refusal> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(DEFAULT_DEADLINE);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse().ok());
    let millis = millis.ok_or_else(|| {
        let message = format!("{DEADLINE_HEADER} is not a whole number of milliseconds");
        Refusal::new(RefusalReason::BadRequest, message)
    })?;
    Ok(Duration::from_millis(millis).min(MAX_DEADLINE))
}

fn stream_reply(first: AnswerEvent, answer: AnswerStream, include_usage: bool) -> Reply {
    let rest = stream::unfold(answer, |mut answer| async move {
        let event = answer.next().await?;
        Some((event, answer))
    });
    let frames = stream::once(async { Ok(first) })
        .chain(rest)
        .map(move |event| Ok::<_, Infallible>(Frame::data(sse_bytes(event, include_usage))));
    let body = StreamBody::new(frames)
        .map_err(|never| match never {})
        .boxed_unsync();
    let mut reply = Response::new(body);
    let headers = reply.headers_mut();
    let content_type = HeaderValue::from_static("text/event-stream");
    headers.insert(header::CONTENT_TYPE, content_type);
    let cache_control = HeaderValue::from_static("no-cache");
    headers.insert(header::CACHE_CONTROL, cache_control);
    reply
}

fn sse_bytes(event: Result<AnswerEvent, Refusal>, include_usage: bool) -> Bytes {
    let text = match event {
        Ok(AnswerEvent::Chunk(mut chunk)) => {
            if let Some(object) = chunk.as_object_mut() {
                object.remove("usage");
            }
            format!("data: {chunk}\n\n")
        }
        Ok(AnswerEvent::Done(usage)) if include_usage => {
            let chunk = json!({ "object": "chat.completion.chunk", "choices": [], "usage": usage });
            format!("data: {chunk}\n\ndata: [DONE]\n\n")
        }
        Ok(AnswerEvent::Done(_)) => "data: [DONE]\n\n".to_owned(),
        Err(refusal) => format!("data: {}\n\n", refusal.body()),
    };
    Bytes::from(text)
}
