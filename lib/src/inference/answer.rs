//! Answers as streams of chunks, and their collection into one body.

use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::mpsc;

use crate::edges::engine::Endpoint;
use crate::edges::engine::ResumePoint;
use crate::edges::engine::Usage;
use crate::refusal::Refusal;

/// One event of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum AnswerEvent {
    /// A chunk in OpenAI's shape, without usage.
    Chunk(Value),
    /// The answer is complete.
    Done(Usage),
}

/// Events of one answer, in order; ends after [`AnswerEvent::Done`] or a refusal.
///
/// Dropping it cancels the work upstream.
pub struct AnswerStream {
    events: mpsc::Receiver<Result<AnswerEvent, Refusal>>,
}

impl AnswerStream {
    pub(crate) fn new(events: mpsc::Receiver<Result<AnswerEvent, Refusal>>) -> Self {
        Self { events }
    }

    /// The next event; `None` after the last.
    pub async fn next(&mut self) -> Option<Result<AnswerEvent, Refusal>> {
        self.events.recv().await
    }

    /// Collects the whole answer.
    pub async fn collect(mut self, endpoint: Endpoint) -> Result<Answer, Refusal> {
        let mut answer = Answer::new(endpoint);
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

/// A collected answer with one choice.
#[derive(Clone, Debug)]
pub struct Answer {
    endpoint: Endpoint,
    head: Value,
    text: String,
    finish_reason: Value,
    /// Token counts.
    pub usage: Usage,
}

impl Answer {
    /// Returns an empty answer of `endpoint`.
    pub fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            head: Value::Null,
            text: String::new(),
            finish_reason: Value::Null,
            usage: Usage::default(),
        }
    }

    /// Adds a chunk.
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

    /// Body in OpenAI's shape.
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

/// Text that a chunk adds to the answer.
pub(crate) fn chunk_text(chunk: &Value) -> &str {
    let choice = &chunk["choices"][0];
    let text = choice["delta"]["content"].as_str();
    text.or_else(|| choice["text"].as_str()).unwrap_or_default()
}

/// Whether a chunk carries a part of the answer, rather than usage alone.
pub(crate) fn has_choice(chunk: &Value) -> bool {
    chunk["choices"]
        .as_array()
        .is_some_and(|list| !list.is_empty())
}

/// Follows an answer so that it can be resumed after its last token.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerProgress {
    pub(crate) point: ResumePoint,
    pub(crate) usage: Usage,
    pub(crate) finished: bool,
    /// Identifier of the answer, the same for all chunks.
    id: Option<Value>,
}

impl AnswerProgress {
    /// Takes note of a chunk and gives it the identifier of the first one.
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
            self.point.text.push_str(text);
            self.point.tokens += 1;
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
