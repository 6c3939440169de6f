//! Client of model engines: OpenAI's streaming API and a few control calls.
//!
//! Generation: `POST /v1/chat/completions` and `POST /v1/completions`, always with `stream: true`.
//! Closing the connection cancels the request. The field `resume` in the body continues an answer
//! that another stream began.
//!
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

/// Time after which an order without a response counts as failed.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

const CONTROL_CALL_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_ERROR_BYTES: usize = 64 * 1024;
/// Size of the prompt blocks in which engines cache prefixes.
const CACHE_BLOCK_BYTES: usize = 64;
/// Number of leading blocks of a prompt for which digests are computed.
const MAX_PREFIX_BLOCKS: usize = 256;

/// API endpoint that generates tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Endpoint {
    /// Chat completion: answers a list of messages with a message.
    #[serde(rename = "/v1/chat/completions")]
    Chat,
    /// Text completion: continues a prompt.
    #[serde(rename = "/v1/completions")]
    Completions,
}

impl Endpoint {
    /// Returns the URL path of the endpoint, the same at callers and engines.
    pub fn path(self) -> &'static str {
        match self {
            Self::Chat => "/v1/chat/completions",
            Self::Completions => "/v1/completions",
        }
    }

    /// Returns the endpoint whose URL path is `path`, or `None` for any other path.
    pub fn from_path(path: &str) -> Option<Self> {
        [Self::Chat, Self::Completions]
            .into_iter()
            .find(|endpoint| endpoint.path() == path)
    }
}

/// The part of an answer that an earlier stream delivered, after which a new stream continues.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResumePoint {
    /// Text that was delivered.
    pub text: String,
    /// Number of tokens in `text`.
    pub tokens: u64,
}

/// A call to an engine that generates tokens.
#[derive(Clone, Debug)]
pub struct GenerateCall {
    /// Identifier of the caller's request, sent as `x-request-id` for the engine's logs.
    pub request: RequestId,
    /// Endpoint to call.
    pub endpoint: Endpoint,
    /// JSON body in OpenAI's format; the engine client sets `stream` and `stream_options`.
    pub body: Value,
    /// Where to continue an answer that another stream began; `None` starts a new answer.
    pub resume: Option<ResumePoint>,
    /// Whether to open a new connection rather than reuse an idle one from the pool.
    pub fresh_connection: bool,
}

/// Token counts of an answer, in OpenAI's format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens generated.
    pub completion_tokens: u64,
    /// Sum of prompt and completion tokens.
    pub total_tokens: u64,
}

/// One event of an engine's answer stream.
#[derive(Clone, Debug, PartialEq)]
pub enum GenerateEvent {
    /// A chunk of the answer in OpenAI's format.
    Chunk(Value),
    /// The answer is complete (`[DONE]`); no event follows.
    Done,
}

/// Why an engine gave no complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineError {
    /// No byte of the request was sent, so the engine ran nothing; holds the cause.
    NotSent(String),
    /// The engine is at capacity or does not have the model loaded; it ran nothing.
    Busy,
    /// The engine refused the request as malformed; another engine would too.
    Refused {
        /// HTTP status of the response.
        status: u16,
        /// Body of the response.
        message: String,
    },
    /// The engine failed or the connection broke; the request may have run. Holds the cause.
    Broken(String),
}

impl std::fmt::Display for EngineError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "request not sent: {cause}"),
            Self::Busy => f.write_str("engine is at capacity or has not loaded the model"),
            Self::Refused { status, message } => write!(f, "engine refused ({status}): {message}"),
            Self::Broken(cause) => write!(f, "stream broke: {cause}"),
        }
    }
}

/// Returns the digests of the prompt prefixes that end at block boundaries, shortest first, as
/// engines compute them for their prefix caches.
///
/// Each digest is seeded with the previous one, so it identifies the whole prefix up to the end of
/// its block. An incomplete last block has no digest, and only the first 256 blocks are covered.
pub fn prefix_digests(prompt: &str) -> Vec<u64> {
    let blocks = prompt.as_bytes().chunks_exact(CACHE_BLOCK_BYTES);
    let digests = blocks.scan(0, |prefix, block| {
        *prefix = xxh3_64_with_seed(block, *prefix);
        Some(*prefix)
    });
    digests.take(MAX_PREFIX_BLOCKS).collect()
}

/// Events of one answer, in order. Dropping the stream closes the connection, which cancels the
/// request at the engine.
pub type GenerateStream = BoxStream<'static, Result<GenerateEvent, EngineError>>;

/// Load and loaded models of an engine, as of its last report.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLoadReport {
    /// Sequences in the running batch.
    pub running: u32,
    /// Requests that wait in the engine's own queue.
    pub waiting: u32,
    /// Share of the KV cache in use, from 0 to 1.
    pub kv_used: f64,
    /// Names of the loaded models and adapters.
    pub models: Vec<ModelName>,
    /// Version of the loaded weights of each entry of `models`, in the same order.
    #[serde(default)]
    pub versions: Vec<String>,
    /// Highest fencing token of the orders that the engine carried out.
    #[serde(default)]
    pub fence: u64,
    /// Identifies the incarnation of the engine: differs after each process start.
    #[serde(default)]
    pub boot: u64,
    /// Number of base models that the engine can hold at once; zero means one.
    #[serde(default)]
    pub model_slots: u32,
}

/// A change to an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// A block was added to the cache.
    Stored {
        /// Digest of the prompt prefix up to the end of the block.
        prefix: u64,
    },
    /// A block was evicted from the cache.
    Evicted {
        /// Digest of the prompt prefix up to the end of the block.
        prefix: u64,
    },
}

/// Consecutive cache events of an engine. If `first` is higher than the sequence number that was
/// asked for, the events between are lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number of the first entry of `events`.
    pub first: u64,
    /// Events in the order of their sequence numbers, without gaps.
    pub events: Vec<CacheEvent>,
}

/// Desired state of an engine, sent by placement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing token; engines that support fencing reject an order with a lower token than they
    /// have seen.
    pub fence: u64,
    /// Models and adapters that the engine must have loaded.
    pub models: Vec<ModelName>,
    /// Version of the weights of each entry of `models`, in the same order.
    pub versions: Vec<String>,
    /// Role of the engine, such as `mixed`, `prefill` or `decode`.
    pub role: String,
}

/// Response of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Accepted,
    /// The engine rejected the order because it has seen a higher fencing token.
    Fenced,
}

/// Calls to the model engines of the fleet.
#[async_trait]
pub trait ModelEngine: Send + Sync + 'static {
    /// Starts an answer. Returns its stream once the engine has accepted the request.
    async fn generate(
        &self,
        address: SocketAddr,
        call: &GenerateCall,
    ) -> Result<GenerateStream, EngineError>;

    /// Reads the load report of the engine at `address`.
    async fn load(&self, address: SocketAddr) -> Result<EngineLoadReport, EngineError>;

    /// Discards idle pooled connections, at least those to `address`, after one of them stopped
    /// responding: later calls open new connections. Does nothing by default.
    fn discard_idle_connections(&self, address: SocketAddr) {
        let _ = address;
    }

    /// Reads the cache events from sequence number `from` on.
    async fn cache_events(
        &self,
        address: SocketAddr,
        from: u64,
    ) -> Result<CacheEvents, EngineError>;

    /// Sends an order. From `valid_until` on, when the sender's lease may have lapsed, nothing is
    /// sent any more and the call fails.
    async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
        valid_until: Instant,
    ) -> Result<OrderOutcome, EngineError>;
}

/// Client of model engines over HTTP.
pub struct HttpEngine {
    /// Replaced, with its whole connection pool, when a pooled connection stops responding; open
    /// streams keep their connections.
    client: Mutex<HttpClient>,
    unpooled_client: HttpClient,
    order_client: HttpClient<ExpiringBody>,
}

impl HttpEngine {
    /// Returns an engine client that uses the connection pool of `client`.
    pub fn new(client: HttpClient) -> Self {
        Self {
            client: Mutex::new(client),
            unpooled_client: HttpClient::unpooled(),
            order_client: HttpClient::with_body_type(),
        }
    }

    fn client(&self) -> HttpClient {
        self.client.lock().expect("engine client lock").clone()
    }

    async fn call_control(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), EngineError> {
        let url = format!("http://{address}{path}");
        let client = self.client();
        let call = client.call(method, &url, body);
        match tokio::time::timeout(CONTROL_CALL_TIMEOUT, call).await {
            Ok(answer) => answer.map_err(EngineError::from),
            Err(_) => Err(EngineError::Broken("no answer in time".to_owned())),
        }
    }

    async fn read_json<T: serde::de::DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, EngineError> {
        let (status, body) = self
            .call_control(Method::GET, address, path, Bytes::new())
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
            true => self.unpooled_client.clone(),
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
        self.read_json(address, "/engine/load").await
    }

    fn discard_idle_connections(&self, _: SocketAddr) {
        // Whatever dropped this connection without closing it has probably dropped others too, so
        // the whole pool is replaced.
        *self.client.lock().expect("engine client lock") = HttpClient::new();
    }

    async fn cache_events(
        &self,
        address: SocketAddr,
        from: u64,
    ) -> Result<CacheEvents, EngineError> {
        self.read_json(address, &format!("/engine/events?from={from}"))
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
            .body(ExpiringBody::new(Bytes::from(body), valid_until))
            .map_err(|err| EngineError::NotSent(err.to_string()))?;
        let call = self.order_client.send(request);
        let response = tokio::time::timeout(ORDER_TIMEOUT, call)
            .await
            .map_err(|_| EngineError::Broken("no answer in time".to_owned()))??;
        match response.status() {
            StatusCode::OK => Ok(OrderOutcome::Accepted),
            StatusCode::CONFLICT => Ok(OrderOutcome::Fenced),
            status => Err(EngineError::Broken(format!("status {status}"))),
        }
    }
}

/// Body of an order that yields its bytes only before `valid_until`.
///
/// The check runs when the open connection polls the body for its bytes. Checked before the
/// connection is opened, a pause of the process in between could send an outdated order.
struct ExpiringBody {
    bytes: Option<Bytes>,
    valid_until: Instant,
}

impl ExpiringBody {
    fn new(bytes: Bytes, valid_until: Instant) -> Self {
        Self {
            bytes: Some(bytes),
            valid_until,
        }
    }
}

impl Body for ExpiringBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        if Instant::now() >= self.valid_until {
            let err = std::io::Error::other("the order expired before it was sent");
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
        // The engine unloaded the model after its last load report; another one may have it loaded.
        StatusCode::NOT_FOUND => EngineError::Busy,
        status if status.is_client_error() => EngineError::Refused {
            status: status.as_u16(),
            message,
        },
        status => EngineError::Broken(format!("status {status}: {message}")),
    }
}
