//! Pooled HTTP client towards upstreams and the platform.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a call has no complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request may have been received.
    Broken(String),
}

impl std::fmt::Display for ClientError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(cause) => write!(f, "not sent: {cause}"),
            Self::Broken(cause) => write!(f, "connection broke: {cause}"),
        }
    }
}

/// HTTP client with a connection pool. Clones share the pool.
#[derive(Clone)]
pub struct HttpClient<B = Full<Bytes>> {
    client: Client<HttpConnector, B>,
}

impl<B> HttpClient<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// Returns a client with an empty pool for requests with bodies of type `B`.
    pub fn with_any_body() -> Self {
        Self::with_kept_connections(usize::MAX)
    }

    /// Returns a client that opens a new connection for each call.
    pub fn unpooled() -> Self {
        Self::with_kept_connections(0)
    }

    fn with_kept_connections(kept: usize) -> Self {
        Self::with_bounds(kept, CONNECT_TIMEOUT, POOL_IDLE_TIMEOUT)
    }

    /// Returns a client that keeps at most `kept` idle connections to each address for
    /// `idle`, and opens new ones within `connect`.
    pub fn with_bounds(kept: usize, connect: Duration, idle: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle)
            .pool_max_idle_per_host(kept)
            // A request is sent once: whether to repeat it is decided by its owner.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends `request` and returns the answer's head with its streaming body.
    pub async fn send(&self, request: Request<B>) -> Result<Response<Incoming>, ClientError> {
        self.client.request(request).await.map_err(|err| {
            let cause = error_chain(&err);
            match err.is_connect() {
                true => ClientError::NotSent(cause),
                false => ClientError::Broken(cause),
            }
        })
    }
}

impl HttpClient {
    /// Returns a client with an empty pool.
    pub fn new() -> Self {
        Self::with_any_body()
    }

    /// Sends a JSON body and collects the whole answer.
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let request = Request::builder()
            .method(method)
            .uri(url)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|err| ClientError::NotSent(err.to_string()))?;
        let response = self.send(request).await?;
        let status = response.status();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|err| ClientError::Broken(error_chain(&err)))?;
        Ok((status, body.to_bytes()))
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Joins the messages of an error and its sources.
pub(crate) fn error_chain(err: &dyn std::error::Error) -> String {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
