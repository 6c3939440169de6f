//! HTTP listener for callers and operators, with a graceful shutdown that makes clients reconnect
//! to another host.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Version;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::http::reply::Reply;
use crate::http::write_timeout::WriteTimeoutStream;

const MAX_HEADERS: usize = 100;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long no request must be in flight before a shutdown is complete: a connection that was
/// accepted before the listener closed, or whose last answer did not ask to close it, may still bring
/// a request within this time.
const LATE_REQUEST_WAIT: Duration = Duration::from_millis(300);
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Request extension with the remote address of the request's connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerAddress(pub(crate) SocketAddr);

/// Counts the requests whose responses are not sent completely. Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct InFlightRequests(Arc<AtomicUsize>);

impl InFlightRequests {
    /// Number of requests in flight now.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Waits until there has been no request in flight for [`LATE_REQUEST_WAIT`].
    async fn wait_until_quiet(&self) {
        let mut idle_since = Instant::now();
        while idle_since.elapsed() < LATE_REQUEST_WAIT {
            tokio::time::sleep(FINISH_POLL_INTERVAL).await;
            if self.count() > 0 {
                idle_since = Instant::now();
            }
        }
    }

    pub(super) fn enter(&self) -> InFlightGuard {
        self.0.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.0.clone())
    }
}

pub(super) struct InFlightGuard(Arc<AtomicUsize>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Limits and protocols of the connections of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ServerConfig {
    /// Longest time for the head of a request to arrive, counted from when the connection was
    /// opened or became idle.
    pub header_timeout: Duration,
    /// Largest head of a request in bytes.
    pub header_bytes: usize,
    /// Longest time for which a write to the client may make no progress; then the connection
    /// breaks.
    pub write_timeout: Duration,
    /// Whether HTTP/2 is served as well as HTTP/1.
    pub http2: bool,
}

impl Default for ServerConfig {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            header_bytes: 400 * 1024,
            write_timeout: Duration::from_secs(30),
            http2: true,
        }
    }
}

/// Stages of a graceful shutdown, for all connections of a listener.
#[derive(Clone, Debug, Default)]
pub struct ServerShutdown {
    /// First stage: responses ask clients to close their connections, so that they reconnect to
    /// another host. New connections are still accepted, and get one response each.
    pub draining: CancellationToken,
    /// Second stage: no new connections are accepted. Idle connections are closed once no request has
    /// been in flight for a while: until then, their clients may not know that they should reconnect.
    pub closing: CancellationToken,
    /// Set by [`serve`] when all connections have closed.
    pub closed: CancellationToken,
}

impl ServerShutdown {
    /// Closes the listener and waits until no request is in flight, or until `deadline`.
    ///
    /// A connection that was accepted just before may send its request only now, so the count in
    /// `open` has to stay at zero for a while before the shutdown is complete.
    pub async fn finish(&self, open: &InFlightRequests, deadline: Instant) {
        self.closing.cancel();
        tokio::select! {
            biased;
            () = self.closed.cancelled() => {}
            () = open.wait_until_quiet() => {}
            () = tokio::time::sleep_until(deadline) => {}
        }
    }
}

/// State that the requests of a connection share with the task that drives the connection.
#[derive(Default)]
struct ConnectionState {
    is_http2: AtomicBool,
    answered: Notify,
}

/// Answers requests on `listener` by `handle` until `stop` enters its closing stage, then lets
/// requests in flight finish.
///
/// Calls `plan` for each new connection, so that changed limits apply without a restart. Counts
/// requests in `open`. Returns when the last connection has closed.
pub async fn serve<H, F>(
    listener: TcpListener,
    plan: impl Fn() -> ServerConfig,
    stop: ServerShutdown,
    open: InFlightRequests,
    handle: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let handle = Arc::new(handle);
    let connections = TaskTracker::new();
    let quiet = CancellationToken::new();
    loop {
        let (stream, caller) = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(_) => {
                    // Most likely out of file descriptors: wait for connections to close.
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            },
            () = stop.closing.cancelled() => break,
        };
        let _ = stream.set_nodelay(true);
        let connection = serve_connection(
            stream,
            caller,
            plan(),
            stop.clone(),
            quiet.clone(),
            open.clone(),
            handle.clone(),
        );
        connections.spawn(connection);
    }
    drop(listener);
    connections.close();
    tokio::select! {
        () = connections.wait() => {}
        () = open.wait_until_quiet() => quiet.cancel(),
    }
    connections.wait().await;
    stop.closed.cancel();
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    caller: SocketAddr,
    plan: ServerConfig,
    stop: ServerShutdown,
    quiet: CancellationToken,
    open: InFlightRequests,
    handle: Arc<H>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let state = Arc::new(ConnectionState::default());
    let draining = stop.draining.clone();
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(CallerAddress(caller));
        let is_http2 = request.version() == Version::HTTP_2;
        state.is_http2.store(is_http2, Ordering::Relaxed);
        let guard = open.enter();
        let reply = handle(request);
        let (state, draining) = (state.clone(), draining.clone());
        async move {
            let mut reply = reply.await;
            if draining.is_cancelled() && !is_http2 {
                let close = HeaderValue::from_static("close");
                reply.headers_mut().insert(header::CONNECTION, close);
            }
            state.answered.notify_one();
            Ok::<_, Infallible>(with_guard(reply, guard))
        }
    });
    let builder = builder(plan);
    let stream = TokioIo::new(WriteTimeoutStream::new(stream, plan.write_timeout));
    let connection = builder.serve_connection_with_upgrades(stream, service);
    let mut connection = pin!(connection);
    let mut shutdown_sent = false;
    loop {
        let drained = async {
            stop.draining.cancelled().await;
            // A connection that is opened during this stage gets one response first.
            state.answered.notified().await;
        };
        tokio::select! {
            // An error of one connection concerns only its client.
            _ = connection.as_mut() => return,
            () = drained, if !shutdown_sent => {
                // HTTP/1 clients are told by the `Connection: close` header of the response.
                if state.is_http2.load(Ordering::Relaxed) {
                    shutdown_sent = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = last_stage(&stop, &quiet, &state) => {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
                return;
            }
        }
    }
}

/// Waits until a connection may be closed whatever its client knows. An HTTP/2 client is told by GOAWAY
/// which of its requests were not read; an HTTP/1 client is not, so that its connection is kept longer.
async fn last_stage(stop: &ServerShutdown, quiet: &CancellationToken, state: &ConnectionState) {
    stop.closing.cancelled().await;
    if !state.is_http2.load(Ordering::Relaxed) {
        quiet.cancelled().await;
    }
}

fn builder(plan: ServerConfig) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    if !plan.http2 {
        builder = builder.http1_only();
    }
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(plan.header_timeout)
        .max_buf_size(plan.header_bytes)
        .max_headers(MAX_HEADERS);
    builder.http2().timer(TokioTimer::new());
    builder
}

/// Keeps `guard` alive until the body of `reply` is sent or dropped.
fn with_guard(reply: Reply, guard: InFlightGuard) -> Reply {
    reply.map(|body| {
        body.map_frame(move |frame| {
            let _ = &guard;
            frame
        })
        .boxed_unsync()
    })
}
