//! Listener that serves callers and operators, and moves them elsewhere when the host stops.

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
use crate::http::stall::WriteTimeoutStream;

const MAX_HEADERS: usize = 100;
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time in which an accepted connection brings its request.
const LAST_REQUEST_TIME: Duration = Duration::from_millis(300);
const FINISH_TICK: Duration = Duration::from_millis(20);

/// Address that a request came from, among its extensions.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerAddress(pub(crate) SocketAddr);

/// Number of requests whose answers are not complete.
#[derive(Clone, Debug, Default)]
pub struct InFlightRequests(Arc<AtomicUsize>);

impl InFlightRequests {
    /// The number now.
    pub fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
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

/// Bounds of a connection.
#[derive(Clone, Copy, Debug)]
pub struct ServerConfig {
    /// Time for the head of a request, from when the connection is idle.
    pub header_timeout: Duration,
    /// Largest head in bytes.
    pub header_bytes: usize,
    /// Longest time for which a caller may read nothing of an answer.
    pub write_timeout: Duration,
    /// Whether HTTP/2 is served beside HTTP/1.
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

/// How far a planned stop has come, for all connections of a listener.
#[derive(Clone, Debug, Default)]
pub struct ServerShutdown {
    /// Callers are told to move: answers close their connections.
    pub moving: CancellationToken,
    /// Nothing new is accepted, and idle connections are closed.
    pub closing: CancellationToken,
    /// All connections have closed.
    pub closed: CancellationToken,
}

impl ServerShutdown {
    /// Closes the listener and waits for open requests until `deadline`.
    ///
    /// A connection that was accepted just before may bring its request only now, so that a count
    /// of zero must last for a while.
    pub async fn finish(&self, open: &InFlightRequests, deadline: Instant) {
        self.closing.cancel();
        let mut idle_since = Instant::now();
        while !self.closed.is_cancelled() && Instant::now() < deadline {
            if open.count() > 0 {
                idle_since = Instant::now();
            }
            if idle_since.elapsed() >= LAST_REQUEST_TIME {
                return;
            }
            tokio::time::sleep(FINISH_TICK).await;
        }
    }
}

/// What a connection's requests tell its task.
#[derive(Default)]
struct ConnectionState {
    is_http2: AtomicBool,
    answered: Notify,
}

/// Serves `handle` on `listener` until `stop` closes it, then lets open requests finish.
///
/// Each new connection gets the bounds that `plan` returns then. Returns when the last
/// connection has closed.
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
    loop {
        let (stream, caller) = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(_) => {
                    // Out of file descriptors: wait for connections to close.
                    tokio::time::sleep(ACCEPT_PAUSE).await;
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
            open.clone(),
            handle.clone(),
        );
        connections.spawn(connection);
    }
    drop(listener);
    connections.close();
    connections.wait().await;
    stop.closed.cancel();
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    caller: SocketAddr,
    plan: ServerConfig,
    stop: ServerShutdown,
    open: InFlightRequests,
    handle: Arc<H>,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let state = Arc::new(ConnectionState::default());
    let moving = stop.moving.clone();
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(CallerAddress(caller));
        let is_http2 = request.version() == Version::HTTP_2;
        state.is_http2.store(is_http2, Ordering::Relaxed);
        let guard = open.enter();
        let reply = handle(request);
        let (state, moving) = (state.clone(), moving.clone());
        async move {
            let mut reply = reply.await;
            if moving.is_cancelled() && !is_http2 {
                let close = HeaderValue::from_static("close");
                reply.headers_mut().insert(header::CONNECTION, close);
            }
            state.answered.notify_one();
            Ok::<_, Infallible>(guarded(reply, guard))
        }
    });
    let builder = builder(plan);
    let stream = TokioIo::new(WriteTimeoutStream::new(stream, plan.write_timeout));
    let connection = builder.serve_connection_with_upgrades(stream, service);
    let mut connection = pin!(connection);
    let mut told = false;
    loop {
        let moves = async {
            stop.moving.cancelled().await;
            // A connection that comes while the host moves its callers gets one answer.
            state.answered.notified().await;
        };
        tokio::select! {
            // A broken connection concerns only its caller.
            _ = connection.as_mut() => return,
            () = moves, if !told => {
                // Over HTTP/1 the answer says so itself.
                if state.is_http2.load(Ordering::Relaxed) {
                    told = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = stop.closing.cancelled() => {
                connection.as_mut().graceful_shutdown();
                let _ = connection.await;
                return;
            }
        }
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

/// Keeps `guard` until the whole body has been sent.
fn guarded(reply: Reply, guard: InFlightGuard) -> Reply {
    reply.map(|body| {
        body.map_frame(move |frame| {
            let _ = &guard;
            frame
        })
        .boxed_unsync()
    })
}
