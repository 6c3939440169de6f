//! What is asked of the runner.

use std::sync::Arc;

use serde_json::Value;
use tokio::time::Instant;

use crate::edges::engine::Endpoint;
use crate::edges::engine::prefix_digests;
use crate::ids::ModelName;
use crate::ids::RequestId;
use crate::ids::WorkClass;
use crate::terms::WorkspaceTerms;

const BYTES_PER_TOKEN: u64 = 4;
const DEFAULT_MAX_TOKENS: u64 = 256;

/// A request to generate an answer.
#[derive(Clone, Debug)]
pub struct InferenceCall {
    /// Identifier of the request.
    pub request: RequestId,
    /// Terms of the workspace that it counts for.
    pub terms: Arc<WorkspaceTerms>,
    /// Priority class.
    pub class: WorkClass,
    /// Which call it is.
    pub endpoint: Endpoint,
    /// Body in OpenAI's shape.
    pub body: Value,
    /// When an answer is of no use any more.
    pub deadline: Instant,
    /// Whether it may be run again after an attempt whose outcome is unknown.
    pub idempotent: bool,
}

impl InferenceCall {
    pub(crate) fn model(&self) -> ModelName {
        ModelName::new(self.body["model"].as_str().unwrap_or_default())
    }

    /// Size of the prompt and the answer in tokens, and the digests of the prompt's blocks.
    pub(crate) fn size(&self) -> CallSize {
        let prompt = self.prompt().to_string();
        let limits = [
            &self.body["max_completion_tokens"],
            &self.body["max_tokens"],
        ];
        let limit = limits.into_iter().find_map(Value::as_u64);
        CallSize {
            prompt_tokens: prompt.len() as u64 / BYTES_PER_TOKEN,
            answer_tokens: limit.unwrap_or(DEFAULT_MAX_TOKENS),
            prefixes: prefix_digests(&prompt).into(),
        }
    }

    fn prompt(&self) -> &Value {
        match self.endpoint {
            Endpoint::Chat => &self.body["messages"],
            Endpoint::Completions => &self.body["prompt"],
        }
    }
}

/// Size of a call, as estimated before it runs.
#[derive(Clone, Debug)]
pub(crate) struct CallSize {
    pub(crate) prompt_tokens: u64,
    pub(crate) answer_tokens: u64,
    pub(crate) prefixes: Arc<[u64]>,
}

impl CallSize {
    /// Prompt and answer together.
    pub(crate) fn tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.answer_tokens)
    }
}
