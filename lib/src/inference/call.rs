//! Calls to the runner, and the estimate of their size.

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

/// A request to generate an answer, after authentication.
#[derive(Clone, Debug)]
pub struct InferenceCall {
    /// Identifier of the request, the same for all of its attempts.
    pub request: RequestId,
    /// Terms of the workspace whose cap and models apply to the request.
    pub terms: Arc<WorkspaceTerms>,
    /// Priority class; batch work may be preempted by online work.
    pub class: WorkClass,
    /// Endpoint of the engine that is called.
    pub endpoint: Endpoint,
    /// Request body in OpenAI's format for the endpoint.
    pub body: Value,
    /// When the request is given up, also while the caller reads the answer too slowly.
    pub deadline: Instant,
    /// Whether the request may run again after an attempt that an upstream may have run.
    pub idempotent: bool,
}

impl InferenceCall {
    pub(crate) fn model(&self) -> ModelName {
        ModelName::new(self.body["model"].as_str().unwrap_or_default())
    }

    /// Estimated size in tokens, and the digests of the prompt's blocks for prefix-cache routing.
    ///
    /// The prompt counts one token per 4 bytes of its JSON text, the answer its requested limit.
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

/// Size of a call, estimated before it runs.
#[derive(Clone, Debug)]
pub(crate) struct CallSize {
    pub(crate) prompt_tokens: u64,
    pub(crate) answer_tokens: u64,
    pub(crate) prefixes: Arc<[u64]>,
}

impl CallSize {
    /// Estimated tokens of prompt and answer together.
    pub(crate) fn tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.answer_tokens)
    }
}
