//! Answers as streams of chunks, and their aggregation into one response body.

use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;

use crate::edges::engine::Endpoint;
use crate::edges::engine::ResumePoint;
use crate::edges::engine::Usage;
use crate::refusal::Refusal;

/// One event of an answer stream.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerEvent {
    /// A chunk with a part of the answer, in OpenAI's streaming format.
    Chunk(Value),
    /// The answer is complete; holds its token counts.
    Done(Usage),
}

/// Events of one answer, in order; ends after [`AnswerEvent::Done`] or a refusal.
///
/// Dropping it cancels the work at the upstream.
pub struct AnswerStream {
    events: mpsc::Receiver<Result<AnswerEvent, Refusal>>,
}

impl AnswerStream {
    pub(crate) fn new(events: mpsc::Receiver<Result<AnswerEvent, Refusal>>) -> Self {
        Self { events }
    }

    /// The next event; `None` after the last. A refusal is the last event.
    pub async fn next(&mut self) -> Option<Result<AnswerEvent, Refusal>> {
        self.events.recv().await
    }

    /// Collects all chunks into one answer; fails with the refusal that ended the stream, or with
    /// [`RefusalReason::UpstreamFailed`](crate::counters::RefusalReason::UpstreamFailed) if it
    /// ended without one.
    pub async fn collect(mut self, endpoint: Endpoint) -> Result<CollectedAnswer, Refusal> {
        let mut answer = CollectedAnswer::new(endpoint);
        while let Some(event) = self.next().await {
            match event? {
                AnswerEvent::Chunk(chunk) => answer.add(&chunk),
                AnswerEvent::Done(usage) => {
                    answer.usage = usage;
                    return Ok(answer);
                }
            }
        }
        Err(Refusal::new(
            crate::counters::RefusalReason::UpstreamFailed,
            "the answer ended early",
        )
        .with_unknown_execution())
    }
}

/// Answer aggregated from its chunks. Only the first choice is kept.
#[derive(Clone, Debug)]
pub struct CollectedAnswer {
    endpoint: Endpoint,
    head: Value,
    text: String,
    finish_reason: Value,
    /// Token counts of the whole answer; zero until the stream is complete.
    pub usage: Usage,
}

impl CollectedAnswer {
    /// Returns an empty answer to a call of `endpoint`, which determines the format of its body.
    pub fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            head: Value::Null,
            text: String::new(),
            finish_reason: Value::Null,
            usage: Usage::default(),
        }
    }

    /// Appends the text of a chunk. The first chunk determines the identifier, time of creation and
    /// model of the answer.
    pub fn add(&mut self, chunk: &Value) {
        if self.head.is_null() {
            self.head = chunk.clone();
        }
        self.text.push_str(chunk_text(chunk));
        let reason = &chunk["choices"][0]["finish_reason"];
        if !reason.is_null() {
            self.finish_reason = reason.clone();
        }
    }

    /// Response body in OpenAI's format for the endpoint.
    pub fn body(&self) -> Value {
        let (object, content) = match self.endpoint {
            Endpoint::Chat => (
                "chat.completion",
                (
                    "message",
                    json!({ "role": "assistant", "content": self.text }),
                ),
            ),
            Endpoint::Completions => ("text_completion", ("text", json!(self.text))),
        };
        let mut choice = json!({
            "index": 0,
            "finish_reason": self.finish_reason,
            "logprobs": null,
        });
        choice[content.0] = content.1;
        json!({
            "id": self.head["id"],
            "object": object,
            "created": self.head["created"],
            "model": self.head["model"],
            "choices": [choice],
            "usage": self.usage,
        })
    }
}

/// Text that a chunk adds to the first choice; empty if it adds none.
pub(crate) fn chunk_text(chunk: &Value) -> &str {
    let choice = &chunk["choices"][0];
    let text = choice["delta"]["content"].as_str();
    text.or_else(|| choice["text"].as_str()).unwrap_or_default()
}

/// Whether a chunk has a choice, unlike the last chunk of a stream, which has only token counts.
pub(crate) fn has_choice(chunk: &Value) -> bool {
    chunk["choices"]
        .as_array()
        .is_some_and(|list| !list.is_empty())
}

/// Tracks what an answer has delivered over all attempts, so that it can be resumed after its last
/// token.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerProgress {
    pub(crate) resume_point: ResumePoint,
    pub(crate) usage: Usage,
    pub(crate) finished: bool,
    /// Identifier of the answer, from the first chunk of the first attempt.
    id: Option<Value>,
}

impl AnswerProgress {
    /// Records a chunk and replaces its identifier by that of the first chunk, as the engine of a
    /// later attempt uses another one.
    ///
    /// Returns whether the chunk adds a token.
    pub(crate) fn note(&mut self, chunk: &mut Value) -> bool {
        match &self.id {
            Some(id) if chunk["id"] != *id => chunk["id"] = id.clone(),
            Some(_) => {}
            None => self.id = chunk.get("id").cloned(),
        }
        let text = chunk_text(chunk);
        let adds_token = !text.is_empty();
        if adds_token {
            self.resume_point.text.push_str(text);
            self.resume_point.tokens += 1;
        }
        if !chunk["choices"][0]["finish_reason"].is_null() {
            self.finished = true;
        }
        if let Some(usage) = chunk.get("usage").filter(|usage| !usage.is_null())
            && let Ok(usage) = Usage::deserialize(usage)
        {
            self.usage = usage;
        }
        adds_token
    }
}
