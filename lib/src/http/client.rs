//! HTTP client with a connection pool, for calls to upstreams and to services of the platform.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::CaptureConnection;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::connect::capture_connection;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use tokio::sync::Notify;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest head of a response.
pub(super) const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Largest number of interim responses (1xx) to a request. A server that sends more fails the
/// call; otherwise it could keep the call open without end.
const MAX_INTERIM_ANSWERS: u32 = 16;
/// Largest response body that is buffered as a whole.
const MAX_COLLECTED_BYTES: usize = 16 * 1024 * 1024;

/// Why a call has no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientError {
    /// No connection could be opened or the request is malformed; no byte of it was sent. Holds
    /// the cause.
    NotSent(String),
    /// The call failed after the request may have been received. Holds the cause.
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

/// The connection that a response arrived on; an extension of each response.
#[derive(Clone, Debug)]
pub struct ResponseConnection(CaptureConnection);

impl ResponseConnection {
    /// Keeps the connection from being used for another request.
    pub fn discard(&self) {
        if let Some(connected) = self.0.connection_metadata().as_ref() {
            connected.poison();
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
    /// Returns a client with an empty pool of unlimited size for requests with bodies of type `B`.
    pub fn with_body_type() -> Self {
        Self::with_max_idle(usize::MAX)
    }

    /// Returns a client that opens a new connection for each call.
    pub fn unpooled() -> Self {
        Self::with_max_idle(0)
    }

    fn with_max_idle(max_idle: usize) -> Self {
        Self::with_bounds(max_idle, CONNECT_TIMEOUT, POOL_IDLE_TIMEOUT)
    }

    /// Returns a client that keeps at most `max_idle` idle connections per address, closes them
    /// after `idle`, and gives up opening a connection after `connect`.
    pub fn with_bounds(max_idle: usize, connect: Duration, idle: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .pool_idle_timeout(idle)
            .pool_max_idle_per_host(max_idle)
            // Each request is sent once: only its sender knows whether it may be repeated.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends `request` and returns the response's head with its streaming body, without a time-out. The
    /// response has a [`ResponseConnection`] among its extensions.
    pub async fn send(&self, mut request: Request<B>) -> Result<Response<Incoming>, ClientError> {
        let excess = watch_interim_answers(&mut request);
        let connection = ResponseConnection(capture_connection(&mut request));
        let answer = tokio::select! {
            answer = self.client.request(request) => answer,
            () = excess.notified() => {
                let cause = "too many interim answers".to_owned();
                return Err(ClientError::Broken(cause));
            }
        };
        let mut answer = answer.map_err(|err| {
            let cause = error_chain(&err);
            match err.is_connect() {
                true => ClientError::NotSent(cause),
                false => ClientError::Broken(cause),
            }
        })?;
        if let Err(err) = check_status(answer.status()) {
            connection.discard();
            return Err(err);
        }
        answer.extensions_mut().insert(connection);
        Ok(answer)
    }
}

/// Whether a whole answer may have `status`. One of 600 and more is none of HTTP, and one below 200 is
/// interim: no request here asks for an upgrade.
pub(crate) fn is_answer_status(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Fails if no answer has `status`, so that the server is in trouble or speaks no HTTP.
pub(super) fn check_status(status: StatusCode) -> Result<(), ClientError> {
    match is_answer_status(status) {
        true => Ok(()),
        false => Err(ClientError::Broken(format!(
            "status {} is none of an answer",
            status.as_u16()
        ))),
    }
}

/// Returns a notification that fires when `request` gets more interim responses than allowed.
pub(super) fn watch_interim_answers<B>(request: &mut Request<B>) -> Arc<Notify> {
    let excess = Arc::new(Notify::new());
    let (count, notify) = (AtomicU32::new(0), excess.clone());
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_ANSWERS {
            notify.notify_one();
        }
    });
    excess
}

impl HttpClient {
    /// Returns a client with an empty pool for requests with buffered bodies.
    pub fn new() -> Self {
        Self::with_body_type()
    }

    /// Sends a JSON body and buffers the whole response body, of at most 16 MiB.
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let response = self.call_streaming(method, url, body).await?;
        let status = response.status();
        Ok((status, collect(response.into_body()).await?))
    }

    /// Sends a JSON body and returns the response's head with its streaming body.
    pub async fn call_streaming(
        &self,
        method: Method,
        url: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, ClientError> {
        let request = Request::builder()
            .method(method)
            .uri(url)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|err| ClientError::NotSent(err.to_string()))?;
        self.send(request).await
    }
}

/// Buffers a whole response body; fails if it is larger than 16 MiB or breaks off.
pub async fn collect(body: Incoming) -> Result<Bytes, ClientError> {
    let body = Limited::new(body, MAX_COLLECTED_BYTES).collect().await;
    match body {
        Ok(body) => Ok(body.to_bytes()),
        Err(err) => Err(ClientError::Broken(error_chain(err.as_ref()))),
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

/// Message of an error, followed by those of its sources, joined by colons.
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
