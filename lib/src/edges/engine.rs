//! Model engines: OpenAI's streaming interface with a few control calls beside it.
//!
//! Wire: `POST /v1/chat/completions` and `POST /v1/completions` always with `stream: true`;
//! closing the connection cancels. A `resume` member continues an answer that another stream began.
//! Control: `GET /engine/load`, `GET /engine/events`, `POST /engine/orders`.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::http::client::ClientError;
use crate::http::client::HttpClient;
use crate::ids::ModelName;
use crate::ids::RequestId;

/// An order that is not answered in this time is given up.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ERROR_BYTES: usize = 64 * 1024;
/// Bytes of the prompt in one block of an engine's prefix cache.
const CACHE_BLOCK_BYTES: usize = 64;
/// Blocks of a prompt of which digests are taken.
const MAX_PREFIX_BLOCKS: usize = 256;

/// Which of the engine's generating calls is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Endpoint {
    /// Chat messages in, a message out.
    #[serde(rename = "/v1/chat/completions")]
    Chat,
    /// A prompt in, text out.
    #[serde(rename = "/v1/completions")]
    Completions,
}

impl Endpoint {
    /// Path of the call.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completions => "/v1/completions",
        }
    }

    /// The endpoint with `path`, if there is one.
    pub fn from_path(path: &str) -> Option<Self> {
        [Self::Chat, Self::Completions]
            .into_iter()
            .find(|endpoint| endpoint.path() == path)
    }
}

/// What an earlier stream of the same answer has already delivered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumePoint {
    /// Text delivered so far.
    pub text: String,
    /// Number of tokens delivered so far.
    pub tokens: u64,
}

/// A call that generates tokens.
#[derive(Clone, Debug)]
pub struct GenerateCall {
    /// Identifier that the engine logs.
    pub request: RequestId,
    /// Which call to make.
    pub endpoint: Endpoint,
    /// Body in OpenAI's shape; `stream` is set by the client of the engine.
    pub body: Value,
    /// Where to continue, if the answer has begun elsewhere.
    pub resume: Option<ResumePoint>,
    /// Whether the call must not use a kept connection.
    pub fresh_connection: bool,
}

/// Token counts of an answer, in OpenAI's shape.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Both together.
    pub total_tokens: u64,
}

/// One event of a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum GenerateEvent {
    /// A chunk in OpenAI's shape.
    Chunk(Value),
    /// The engine ended the answer; nothing follows.
    Done,
}

/// Why an engine gave no complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The engine answered that it has no room; it ran nothing.
    Busy,
    /// The engine refused the request as malformed; another engine would too.
    Refused {
        /// HTTP status of the answer.
        status: u16,
        /// Body of the answer.
        message: String,
    },
    /// The engine failed, or the connection broke.
    Broken(String),
}

impl std::fmt::Display for EngineError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "request not sent: {cause}"),
            Self::Busy => f.write_str("engine has no room"),
            Self::Refused { status, message } => write!(f, "engine refused ({status}): {message}"),
            Self::Broken(cause) => write!(f, "stream broke: {cause}"),
        }
    }
}

/// Digests of the prompt's prefixes at the ends of its first blocks, as engines compute them.
///
/// Each digest contains the one before; a last block that is not full has none.
pub fn prefix_digests(prompt: &str) -> Vec<u64> {
    let blocks = prompt.as_bytes().chunks_exact(CACHE_BLOCK_BYTES);
    let digests = blocks.scan(0, |prefix, block| {
        *prefix = xxh3_64_with_seed(block, *prefix);
        Some(*prefix)
    });
    digests.take(MAX_PREFIX_BLOCKS).collect()
}

/// Events of one answer, in order. Dropping it cancels the work.
pub type GenerateStream = BoxStream<'static, Result<GenerateEvent, EngineError>>;

/// Load of an engine as it reports it, some time ago.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoadReport {
    /// Sequences in the running batch.
    pub running: u32,
    /// Requests that wait inside the engine.
    pub waiting: u32,
    /// Share of the KV cache in use, from 0 to 1.
    pub kv_used: f64,
    /// Loaded models and adapters.
    pub models: Vec<ModelName>,
    /// Version of the loaded weights by the position of the model in `models`.
    #[serde(default)]
    pub versions: Vec<String>,
    /// Highest fencing number of an order that was carried out.
    #[serde(default)]
    pub fence: u64,
    /// Changes whenever the engine starts anew.
    #[serde(default)]
    pub boot: u64,
    /// Base models that fit at once; zero means one.
    #[serde(default)]
    pub model_slots: u32,
}

/// A change of the engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// A prefix block was stored.
    Stored {
        /// Digest of the prompt prefix up to the end of the block.
        prefix: u64,
    },
    /// A prefix block was evicted.
    Evicted {
        /// Digest of the prompt prefix up to the end of the block.
        prefix: u64,
    },
}

/// Cache events after a sequence number; a jump of `first` shows a gap.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number of the first event.
    pub first: u64,
    /// Events in order.
    pub events: Vec<CacheEvent>,
}

/// The wanted end state of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number; engines that fence refuse one lower than they have seen.
    pub fence: u64,
    /// Models and adapters to have loaded.
    pub models: Vec<ModelName>,
    /// Version of each of `models`.
    pub versions: Vec<String>,
    /// Role of the engine, such as `mixed`, `prefill` or `decode`.
    pub role: String,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took the order.
    Taken,
    /// The engine has seen a higher fencing number.
    Fenced,
}

/// Model engines of the fleet.
#[async_trait]
pub trait ModelEngine: Send + Sync + 'static {
    /// Starts an answer; returns when the engine has accepted the request.
    async fn generate(
        &self,
        address: SocketAddr,
        call: &GenerateCall,
    ) -> Result<GenerateStream, EngineError>;

    /// Reads the load report.
    async fn load(&self, address: SocketAddr) -> Result<EngineLoadReport, EngineError>;

    /// Makes later calls to `address` open new connections, as a kept one went silent.
    fn distrust(&self, address: SocketAddr) {
        let _ = address;
    }

    /// Reads the cache events from sequence number `from`.
    async fn cache_events(
        &self,
        address: SocketAddr,
        from: u64,
    ) -> Result<CacheEvents, EngineError>;

    /// Sends an order; nothing is sent from `valid_until` on.
    async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        valid_until: Instant,
    ) -> Result<OrderOutcome, EngineError>;
}

/// Client of model engines over HTTP.
pub struct HttpEngine {
    /// Replaced as a whole when a kept connection went silent; open streams keep theirs.
    client: Mutex<HttpClient>,
    unpooled: HttpClient,
    orders: HttpClient<OrderBody>,
}

impl HttpEngine {
    /// Returns a client that uses the pool of `client`.
    pub fn new(client: HttpClient) -> Self {
        Self {
            client: Mutex::new(client),
            unpooled: HttpClient::unpooled(),
            orders: HttpClient::with_body_type(),
        }
    }

    fn client(&self) -> HttpClient {
        self.client.lock().expect("engine client lock").clone()
    }

    async fn control(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), EngineError> {
        let url = format!("http://{address}{path}");
        let client = self.client();
        let call = client.call(method, &url, body);
        match tokio::time::timeout(CONTROL_TIMEOUT, call).await {
            Ok(answer) => answer.map_err(EngineError::from),
            Err(_) => Err(EngineError::Broken("no answer in time".to_owned())),
        }
    }

    async fn read<T: serde::de::DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, EngineError> {
        let (status, body) = self
            .control(Method::GET, address, path, Bytes::new())
            .await?;
        if status != StatusCode::OK {
            return Err(EngineError::Broken(format!("status {status}")));
        }
        serde_json::from_slice(&body).map_err(|err| EngineError::Broken(err.to_string()))
    }
}

impl From<ClientError> for EngineError {
    fn from(err: ClientError) -> Self {
        match err {
            ClientError::NotSent(cause) => Self::NotSent(cause),
            ClientError::Broken(cause) => Self::Broken(cause),
        }
    }
}

#[async_trait]
impl ModelEngine for HttpEngine {
    async fn generate(
        &self,
        address: SocketAddr,
        call: &GenerateCall,
    ) -> Result<GenerateStream, EngineError> {
        let request = generate_request(address, call)?;
        let client = match call.fresh_connection {
            true => self.unpooled.clone(),
            false => self.client(),
        };
        let response = client.send(request).await?;
        let status = response.status();
        if status != StatusCode::OK {
            let body = http_body_util::Limited::new(response.into_body(), MAX_ERROR_BYTES);
            let text = match body.collect().await {
                Ok(body) => String::from_utf8_lossy(&body.to_bytes()).into_owned(),
                Err(_) => "unreadable answer".to_owned(),
            };
            return Err(error_from_status(status, text));
        }
        let events = response.into_body().into_data_stream().eventsource();
        Ok(events
            .map(|event| match event {
                Ok(event) if event.data == "[DONE]" => Ok(GenerateEvent::Done),
                Ok(event) => serde_json::from_str(&event.data)
                    .map(GenerateEvent::Chunk)
                    .map_err(|err| EngineError::Broken(format!("malformed chunk: {err}"))),
                Err(err) => Err(EngineError::Broken(err.to_string())),
            })
            .boxed())
    }

    async fn load(&self, address: SocketAddr) -> Result<EngineLoadReport, EngineError> {
        self.read(address, "/engine/load").await
    }

    fn distrust(&self, _: SocketAddr) {
        // What lost track of one connection has probably lost others too.
        *self.client.lock().expect("engine client lock") = HttpClient::new();
    }

    async fn cache_events(
        &self,
        address: SocketAddr,
        from: u64,
    ) -> Result<CacheEvents, EngineError> {
        self.read(address, &format!("/engine/events?from={from}"))
            .await
    }

    async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        valid_until: Instant,
    ) -> Result<OrderOutcome, EngineError> {
        let body = serde_json::to_vec(order).expect("orders serialize to JSON");
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}/engine/orders"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(OrderBody::new(Bytes::from(body), valid_until))
            .map_err(|err| EngineError::NotSent(err.to_string()))?;
        let call = self.orders.send(request);
        let response = tokio::time::timeout(ORDER_TIMEOUT, call)
            .await
            .map_err(|_| EngineError::Broken("no answer in time".to_owned()))??;
        match response.status() {
            StatusCode::OK => Ok(OrderOutcome::Taken),
            StatusCode::CONFLICT => Ok(OrderOutcome::Fenced),
            status => Err(EngineError::Broken(format!("status {status}"))),
        }
    }
}

/// Body of an order that is released only while the right to order lasts.
///
/// The check runs when the connection asks for the bytes, after it has been opened, so that a pause
/// of the process in between does not let an outdated order out.
struct OrderBody {
    bytes: Option<Bytes>,
    valid_until: Instant,
}

impl OrderBody {
    fn new(bytes: Bytes, valid_until: Instant) -> Self {
        Self {
            bytes: Some(bytes),
            valid_until,
        }
    }
}

impl Body for OrderBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        if Instant::now() >= self.valid_until {
            let err = std::io::Error::other("the right to order has ended");
            return Poll::Ready(Some(Err(err)));
        }
        Poll::Ready(self.bytes.take().map(|bytes| Ok(Frame::data(bytes))))
    }
}

fn generate_request(
    address: SocketAddr,
    call: &GenerateCall,
) -> Result<Request<Full<Bytes>>, EngineError> {
    let mut body = call.body.clone();
    if let Some(fields) = body.as_object_mut() {
        fields.insert("stream".to_owned(), Value::Bool(true));
        let options = serde_json::json!({ "include_usage": true });
        fields.insert("stream_options".to_owned(), options);
        if let Some(point) = &call.resume {
            let point = serde_json::to_value(point).expect("resume points serialize");
            fields.insert("resume".to_owned(), point);
        }
    }
    let bytes = serde_json::to_vec(&body).expect("JSON values serialize");
    Request::builder()
        .method(Method::POST)
        .uri(format!("http://{address}{}", call.endpoint.path()))
        .header(http::header::CONTENT_TYPE, "application/json")
        .header("x-request-id", call.request.as_str())
        .body(Full::new(Bytes::from(bytes)))
        .map_err(|err| EngineError::NotSent(err.to_string()))
}

fn error_from_status(status: StatusCode, message: String) -> EngineError {
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => EngineError::Busy,
        // The model was unloaded after the last load report; another engine may have it.
        StatusCode::NOT_FOUND => EngineError::Busy,
        status if status.is_client_error() => EngineError::Refused {
            status: status.as_u16(),
            message,
        },
        status => EngineError::Broken(format!("status {status}: {message}")),
    }
}
