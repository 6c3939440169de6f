//! Stand-in of a model engine with continuous batching.
//!
//! Each step decodes one token of every running sequence. A step takes longer with the size of the
//! batch and the number of prompt tokens that are prefilled in it. Tokens depend only on the prompt
//! and their position, so that a resumed answer can be compared with an uninterrupted one.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use parsleywall::edges::engine::CacheEvent;
use parsleywall::edges::engine::CacheEvents;
use parsleywall::edges::engine::Endpoint;
use parsleywall::edges::engine::EngineLoadReport;
use parsleywall::edges::engine::EngineOrder;
use parsleywall::edges::engine::ResumePoint;
use parsleywall::edges::engine::Usage;
use parsleywall::ids::ModelName;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::server::StandinReply;
use crate::server::StandinServer;
use crate::server::json_reply;
use crate::server::query_value;
use crate::server::read_body;

const BYTES_PER_TOKEN: usize = 4;
/// Prompt tokens per block of the prefix cache.
const BLOCK_TOKENS: usize = 16;
const DEFAULT_MAX_TOKENS: u64 = 16;
const MAX_EVENTS: usize = 4096;
/// A prompt that contains this text crashes the engine that runs it.
pub const CRASH_MARKER: &str = "crash-the-engine";

const WORDS: [&str; 16] = [
    "beam", "bolt", "deck", "span", "joist", "plank", "rail", "post", "knot", "grain", "load",
    "brace", "sill", "truss", "nail", "shim",
];

/// Speed and capacity of an engine.
#[derive(Clone, Debug)]
pub struct EngineProfile {
    /// Duration of a step, not counting sequences and prefilled tokens.
    pub step_base: Duration,
    /// Duration that each running sequence adds to a step.
    pub step_per_sequence: Duration,
    /// Duration that each prefilled prompt token adds to a step.
    pub prefill_per_token: Duration,
    /// Most prompt tokens that one step prefills.
    pub prefill_tokens_per_step: u64,
    /// Most sequences in the running batch; further ones queue inside the engine.
    pub max_sequences: usize,
    /// Most tokens of prompts and answers that the running batch may hold in memory.
    pub max_tokens: u64,
    /// Capacity of the prefix cache in blocks of 16 tokens.
    pub cache_blocks: usize,
    /// Age of the load reports that the engine serves.
    pub report_lag: Duration,
    /// Whether orders with a lower fencing token than the highest seen are rejected.
    pub fences: bool,
    /// Time from a crash until the engine accepts requests again.
    pub restart: Duration,
    /// Most base models loaded at once, for load reports; zero reports the number loaded now.
    pub model_slots: u32,
    /// Time from an order until the models that it adds are loaded.
    pub load_time: Duration,
}

impl EngineProfile {
    /// An engine with the proportions of a 70-billion-parameter model on one node of accelerators,
    /// with a smaller batch. `docs/bench.md` names the published sources.
    pub fn accelerator() -> Self {
        Self {
            step_base: Duration::from_millis(24),
            step_per_sequence: Duration::from_micros(60),
            prefill_per_token: Duration::from_micros(60),
            prefill_tokens_per_step: 512,
            max_sequences: 32,
            max_tokens: 32_768,
            ..Self::default()
        }
    }
}

impl Default for EngineProfile {
    fn default() -> Self {
        Self {
            step_base: Duration::from_millis(4),
            step_per_sequence: Duration::from_micros(100),
            prefill_per_token: Duration::from_micros(20),
            prefill_tokens_per_step: 512,
            max_sequences: 32,
            max_tokens: 65_536,
            cache_blocks: 4096,
            report_lag: Duration::from_millis(500),
            fences: true,
            restart: Duration::from_secs(2),
            model_slots: 0,
            load_time: Duration::ZERO,
        }
    }
}

/// One execution of a request by the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Identifier from the request's `x-request-id` header.
    pub request: String,
    /// Hash of the prompt.
    pub prompt: u64,
    /// Number of tokens generated, with those of an answer that this execution resumes.
    pub tokens: u64,
    /// Whether the answer was generated to its end.
    pub finished: bool,
    /// Whether the request was ever in the running batch.
    pub ran: bool,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the request last entered the running batch; until then, when it arrived.
    pub started: Instant,
    /// When the last token was generated; absent until then.
    pub ended: Option<Instant>,
}

/// An order that the engine accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct TakenOrder {
    /// When the engine accepted the order.
    pub at: Instant,
    /// The order.
    pub order: EngineOrder,
}

struct Sequence {
    prompt: u64,
    prompt_tokens: u64,
    prefill_left: u64,
    next: u64,
    limit: u64,
    execution: usize,
    crashes: bool,
    tokens: mpsc::UnboundedSender<String>,
}

impl Sequence {
    /// Tokens of prompt and answer that the sequence holds in memory.
    fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.next
    }
}

#[derive(Default)]
struct EngineState {
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    cache: VecDeque<u64>,
    events: VecDeque<CacheEvent>,
    first_event: u64,
    executions: Vec<Execution>,
    models: Vec<ModelName>,
    versions: Vec<String>,
    /// When the last order is complete, and the models and versions that are loaded then.
    loading: Option<(Instant, Vec<ModelName>, Vec<String>)>,
    orders: Vec<TakenOrder>,
    fence: u64,
    boot: u64,
    crashed_until: Option<Instant>,
    reports: VecDeque<(Instant, EngineLoadReport)>,
}

/// An engine whose state is in this process's memory.
pub struct EngineMemory {
    profile: EngineProfile,
    state: Mutex<EngineState>,
    work: Notify,
    crash: Mutex<CancellationToken>,
    /// While set, no stream gets tokens, but none is closed; requests are still accepted.
    pub silence: AtomicBool,
    /// Number of crashes since the start.
    pub crashes: AtomicU64,
}

impl EngineMemory {
    /// Returns an engine that has `models` loaded, and starts its step loop.
    pub fn start(profile: EngineProfile, models: Vec<ModelName>) -> Arc<Self> {
        let state = EngineState {
            versions: vec![String::new(); models.len()],
            models,
            boot: 1,
            ..EngineState::default()
        };
        let engine = Arc::new(Self {
            profile,
            state: Mutex::new(state),
            work: Notify::new(),
            crash: Mutex::new(CancellationToken::new()),
            silence: AtomicBool::new(false),
            crashes: AtomicU64::new(0),
        });
        let weak = Arc::downgrade(&engine);
        tokio::spawn(async move {
            while let Some(engine) = weak.upgrade() {
                engine.step().await;
            }
        });
        engine
    }

    /// Returns all executions so far, in the order of arrival.
    pub fn executions(&self) -> Vec<Execution> {
        self.lock().executions.clone()
    }

    /// Returns all accepted orders, in the order of arrival.
    pub fn orders(&self) -> Vec<TakenOrder> {
        self.lock().orders.clone()
    }

    /// Replaces the loaded models, given with their versions, without an order.
    pub fn set_models(&self, models: Vec<(ModelName, String)>) {
        let mut state = self.lock();
        (state.models, state.versions) = models.into_iter().unzip();
    }

    /// Returns the load at this moment, without the lag of served reports.
    pub fn load_now(&self) -> EngineLoadReport {
        self.lock().report(&self.profile)
    }

    /// Cuts off all streams and clears the prefix cache; the engine accepts requests again after
    /// its restart time, as a new incarnation.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.running.clear();
        state.waiting.clear();
        state.cache.clear();
        state.boot += 1;
        state.crashed_until = Some(Instant::now() + self.profile.restart);
        drop(state);
        self.crashes.fetch_add(1, Ordering::Relaxed);
        let mut token = self.crash.lock().expect("crash token lock");
        token.cancel();
        *token = CancellationToken::new();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, EngineState> {
        self.state.lock().expect("engine state lock")
    }

    fn is_down(&self) -> bool {
        let until = self.lock().crashed_until;
        until.is_some_and(|until| until > Instant::now())
    }

    async fn step(&self) {
        let Some(time) = self.begin_step() else {
            let _ = tokio::time::timeout(self.profile.report_lag, self.work.notified()).await;
            self.record_report();
            return;
        };
        match time.is_zero() {
            // A timer would round the step up to a millisecond.
            true => tokio::task::yield_now().await,
            false => tokio::time::sleep(time).await,
        }
        if self.end_step() {
            self.crash();
        }
        self.record_report();
    }

    /// Fills the batch and returns the duration of the step, or nothing if no sequence can run.
    fn begin_step(&self) -> Option<Duration> {
        let mut state = self.lock();
        state
            .running
            .retain(|sequence| !sequence.tokens.is_closed());
        state
            .waiting
            .retain(|sequence| !sequence.tokens.is_closed());
        state.fill_batch(&self.profile);
        if state.running.is_empty() {
            return None;
        }
        let mut budget = self.profile.prefill_tokens_per_step;
        let mut prefilled = 0;
        for sequence in &mut state.running {
            let tokens = sequence.prefill_left.min(budget);
            sequence.prefill_left -= tokens;
            budget -= tokens;
            prefilled += tokens;
        }
        let decode = self.profile.step_per_sequence * state.running.len() as u32;
        Some(self.profile.step_base + decode + self.profile.prefill_per_token * prefilled as u32)
    }

    /// Emits a token for each prefilled sequence; returns whether one of the prompts crashes the
    /// engine.
    fn end_step(&self) -> bool {
        let silent = self.silence.load(Ordering::Relaxed);
        let mut guard = self.lock();
        let state = &mut *guard;
        let mut crashes = false;
        state.running.retain_mut(|sequence| {
            if sequence.prefill_left > 0 {
                return true;
            }
            crashes |= sequence.crashes;
            if sequence.next < sequence.limit && !silent {
                let word = token_text(sequence.prompt, sequence.next);
                sequence.next += 1;
                let _ = sequence.tokens.send(word);
            }
            let execution = &mut state.executions[sequence.execution];
            execution.tokens = sequence.next;
            execution.finished = sequence.next >= sequence.limit;
            execution.ended = execution.finished.then(Instant::now);
            !execution.finished
        });
        crashes
    }

    fn record_report(&self) {
        let mut state = self.lock();
        state.finish_order();
        let report = state.report(&self.profile);
        let now = Instant::now();
        state.reports.push_back((now, report));
        while state.reports.len() > 1 && now - state.reports[1].0 >= self.profile.report_lag {
            state.reports.pop_front();
        }
    }

    fn submit(&self, request: String, body: &Value, endpoint: Endpoint) -> Option<TokenStream> {
        let prompt_text = match endpoint {
            Endpoint::Chat => body["messages"].to_string(),
            Endpoint::Completions => body["prompt"].to_string(),
        };
        let prompt = xxh3_64(prompt_text.as_bytes());
        let resume: Option<ResumePoint> = serde_json::from_value(body["resume"].clone()).ok();
        let done = resume.map_or(0, |point| point.tokens);
        let prompt_tokens = (prompt_text.len() / BYTES_PER_TOKEN).max(1) as u64;
        let limits = [&body["max_completion_tokens"], &body["max_tokens"]];
        let limit = limits.into_iter().find_map(Value::as_u64);
        let limit = limit.unwrap_or(DEFAULT_MAX_TOKENS).max(1);
        let (tokens, queue) = mpsc::unbounded_channel();
        let mut state = self.lock();
        let cached = state.use_cache(&prompt_text, self.profile.cache_blocks);
        let prefill_left = (prompt_tokens + done).saturating_sub(cached).max(1);
        state.executions.push(Execution {
            request,
            prompt,
            tokens: done,
            finished: false,
            ran: false,
            arrived: Instant::now(),
            started: Instant::now(),
            ended: None,
        });
        let execution = state.executions.len() - 1;
        state.waiting.push_back(Sequence {
            prompt,
            prompt_tokens,
            prefill_left,
            next: done,
            limit,
            execution,
            crashes: prompt_text.contains(CRASH_MARKER),
            tokens,
        });
        drop(state);
        self.work.notify_one();
        Some(TokenStream {
            queue,
            next: done,
            limit,
            prompt_tokens,
        })
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Option<StandinReply> {
        if self.is_down() {
            return None;
        }
        let path = request.uri().path().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::GET, "/engine/load") => {
                let state = self.lock();
                let report = state.reports.front().map(|(_, report)| report.clone());
                let report = report.unwrap_or_else(|| state.report(&self.profile));
                Some(json_reply(StatusCode::OK, &report))
            }
            (Method::GET, "/engine/events") => {
                let from = query_value(&request, "from").and_then(|text| text.parse().ok());
                let events = self.lock().events_from(from.unwrap_or(0));
                Some(json_reply(StatusCode::OK, &events))
            }
            (Method::POST, "/engine/orders") => {
                let order = serde_json::from_slice(&read_body(request).await).ok()?;
                Some(self.take_order(order))
            }
            (Method::POST, path) => {
                let endpoint = Endpoint::from_path(path)?;
                self.generate(request, endpoint).await
            }
            _ => Some(json_reply(StatusCode::NOT_FOUND, &Value::Null)),
        }
    }

    fn take_order(&self, order: EngineOrder) -> StandinReply {
        let mut state = self.lock();
        if self.profile.fences && order.fence < state.fence {
            return json_reply(StatusCode::CONFLICT, &Value::Null);
        }
        state.fence = state.fence.max(order.fence);
        state.begin_order(&order, self.profile.load_time);
        let at = Instant::now();
        state.orders.push(TakenOrder { at, order });
        json_reply(StatusCode::OK, &Value::Null)
    }

    async fn generate(
        self: Arc<Self>,
        request: Request<Incoming>,
        endpoint: Endpoint,
    ) -> Option<StandinReply> {
        let id = request.headers().get("x-request-id");
        let id = id.and_then(|value| value.to_str().ok()).unwrap_or_default();
        let id = id.to_owned();
        let body: Value = match serde_json::from_slice(&read_body(request).await) {
            Ok(body) => body,
            Err(err) => return Some(json_reply(StatusCode::BAD_REQUEST, &err.to_string())),
        };
        let model = ModelName::new(body["model"].as_str().unwrap_or_default());
        self.lock().finish_order();
        if !self.lock().models.contains(&model) {
            return Some(json_reply(StatusCode::NOT_FOUND, &"model is not loaded"));
        }
        let crash = self.crash.lock().expect("crash token lock").clone();
        let stream = self.submit(id.clone(), &body, endpoint)?;
        Some(sse_reply(stream, crash, id, model, endpoint))
    }
}

impl EngineState {
    fn report(&self, profile: &EngineProfile) -> EngineLoadReport {
        let held: u64 = self.running.iter().map(Sequence::memory_tokens).sum();
        EngineLoadReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            kv_used: held as f64 / profile.max_tokens as f64,
            models: self.models.clone(),
            versions: self.versions.clone(),
            fence: self.fence,
            boot: self.boot,
            model_slots: match profile.model_slots {
                0 => self.models.len() as u32,
                slots => slots,
            },
        }
    }

    /// Unloads at once the models that the order omits; added ones are loaded after `load_time`.
    fn begin_order(&mut self, order: &EngineOrder, load_time: Duration) {
        let loaded = self.models.iter().zip(&self.versions);
        let kept: Vec<(ModelName, String)> = order
            .models
            .iter()
            .zip(&order.versions)
            .filter(|(model, version)| loaded.clone().any(|known| known == (*model, *version)))
            .map(|(model, version)| (model.clone(), version.clone()))
            .collect();
        (self.models, self.versions) = kept.into_iter().unzip();
        let ready = Instant::now() + load_time;
        self.loading = Some((ready, order.models.clone(), order.versions.clone()));
        self.finish_order();
    }

    fn finish_order(&mut self) {
        let due = self
            .loading
            .take_if(|(ready, _, _)| *ready <= Instant::now());
        if let Some((_, models, versions)) = due {
            self.models = models;
            self.versions = versions;
        }
    }

    /// Moves waiting sequences into the batch while it has capacity.
    ///
    /// When the batch has outgrown the memory, its newest sequences are preempted first: they go
    /// back to the head of the queue and are prefilled again.
    fn fill_batch(&mut self, profile: &EngineProfile) {
        let mut held: u64 = self.running.iter().map(Sequence::memory_tokens).sum();
        while held > profile.max_tokens && self.running.len() > 1 {
            let Some(mut sequence) = self.running.pop() else {
                break;
            };
            held -= sequence.memory_tokens();
            sequence.prefill_left = sequence.prompt_tokens + sequence.next;
            self.waiting.push_front(sequence);
        }
        while self.running.len() < profile.max_sequences {
            let Some(sequence) = self.waiting.front() else {
                break;
            };
            held += sequence.memory_tokens();
            if held > profile.max_tokens && !self.running.is_empty() {
                break;
            }
            let Some(sequence) = self.waiting.pop_front() else {
                break;
            };
            let execution = &mut self.executions[sequence.execution];
            execution.started = Instant::now();
            execution.ran = true;
            self.running.push(sequence);
        }
    }

    /// Adds the prompt's blocks to the prefix cache; returns the number of its leading tokens that
    /// were cached already.
    fn use_cache(&mut self, prompt: &str, capacity: usize) -> u64 {
        let block_bytes = BLOCK_TOKENS * BYTES_PER_TOKEN;
        let mut hits = 0;
        let mut prefix = 0;
        let mut unbroken = true;
        for block in prompt.as_bytes().chunks_exact(block_bytes) {
            prefix = xxh3_64_with_seed(block, prefix);
            match self.cache.iter().position(|known| *known == prefix) {
                Some(position) => {
                    self.cache.remove(position);
                    hits += u64::from(unbroken);
                }
                None => {
                    unbroken = false;
                    self.record_event(CacheEvent::Stored { prefix });
                }
            }
            self.cache.push_back(prefix);
        }
        while self.cache.len() > capacity {
            if let Some(prefix) = self.cache.pop_front() {
                self.record_event(CacheEvent::Evicted { prefix });
            }
        }
        hits * BLOCK_TOKENS as u64
    }

    fn record_event(&mut self, event: CacheEvent) {
        self.events.push_back(event);
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
            self.first_event += 1;
        }
    }

    fn events_from(&self, from: u64) -> CacheEvents {
        let first = from.max(self.first_event);
        let skip = (first - self.first_event) as usize;
        CacheEvents {
            first,
            events: self.events.iter().skip(skip).cloned().collect(),
        }
    }
}

/// The token at `position` of the answer to the prompt with the hash `prompt`.
pub fn token_text(prompt: u64, position: u64) -> String {
    let hash = xxh3_64_with_seed(&position.to_be_bytes(), prompt);
    format!(" {}{}", WORDS[(hash % 16) as usize], hash % 97)
}

/// The first `tokens` tokens of the answer to a request with this `body`, as an uninterrupted
/// stream returns them.
pub fn expected_answer(body: &Value, endpoint: Endpoint, tokens: u64) -> String {
    let text = match endpoint {
        Endpoint::Chat => body["messages"].to_string(),
        Endpoint::Completions => body["prompt"].to_string(),
    };
    let prompt = xxh3_64(text.as_bytes());
    (0..tokens)
        .map(|position| token_text(prompt, position))
        .collect()
}

struct TokenStream {
    queue: mpsc::UnboundedReceiver<String>,
    next: u64,
    limit: u64,
    prompt_tokens: u64,
}

fn sse_reply(
    stream: TokenStream,
    crash: CancellationToken,
    id: String,
    model: ModelName,
    endpoint: Endpoint,
) -> StandinReply {
    let lines = stream::unfold(Some(stream), move |stream| {
        let crash = crash.clone();
        let (id, model) = (id.clone(), model.clone());
        async move {
            let mut stream = stream?;
            if stream.next >= stream.limit {
                let usage = Usage {
                    prompt_tokens: stream.prompt_tokens,
                    completion_tokens: stream.limit,
                    total_tokens: stream.prompt_tokens + stream.limit,
                };
                let chunk = json!({ "id": id, "choices": [], "usage": usage });
                return Some((format!("data: {chunk}\n\ndata: [DONE]\n\n"), None));
            }
            let token = tokio::select! {
                token = stream.queue.recv() => token?,
                () = crash.cancelled() => return None,
            };
            stream.next += 1;
            let last = stream.next >= stream.limit;
            let chunk = chunk(&id, &model, endpoint, &token, last);
            Some((format!("data: {chunk}\n\n"), Some(stream)))
        }
    });
    let frames = lines.map(|line| Ok(Frame::data(Bytes::from(line))));
    let mut reply = Response::new(StreamBody::new(frames).boxed_unsync());
    let kind = http::HeaderValue::from_static("text/event-stream");
    reply.headers_mut().insert(http::header::CONTENT_TYPE, kind);
    reply
}

fn chunk(id: &str, model: &ModelName, endpoint: Endpoint, token: &str, last: bool) -> Value {
    let finish = if last { json!("length") } else { Value::Null };
    let (object, choice) = match endpoint {
        Endpoint::Chat => (
            "chat.completion.chunk",
            json!({
                "index": 0,
                "delta": { "role": "assistant", "content": token },
                "finish_reason": finish,
            }),
        ),
        Endpoint::Completions => (
            "text_completion",
            json!({ "index": 0, "text": token, "logprobs": null, "finish_reason": finish }),
        ),
    };
    json!({ "id": id, "object": object, "created": 0, "model": model, "choices": [choice] })
}

/// Serves `engine` over HTTP on a free loopback port.
pub async fn serve_engine(engine: Arc<EngineMemory>) -> std::io::Result<StandinServer> {
    StandinServer::start(move |request| engine.clone().answer(request)).await
}
