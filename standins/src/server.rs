//! HTTP server shared by the stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Body of the stand-ins' responses.
pub type StandinBody = UnsyncBoxBody<Bytes, Infallible>;

/// Response of a stand-in.
pub type StandinReply = Response<StandinBody>;

/// A running HTTP server; dropping it closes the listener and all connections.
pub struct StandinServer {
    address: SocketAddr,
    stop: CancellationToken,
}

impl StandinServer {
    /// Serves `handle` on a free loopback port, as [`Self::start_on`] does.
    pub async fn start<H, F>(handle: H) -> std::io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Option<StandinReply>> + Send + 'static,
    {
        Self::start_on(SocketAddr::from(([127, 0, 0, 1], 0)), handle).await
    }

    /// Serves `handle` on `address`; port 0 chooses a free one.
    ///
    /// When `handle` returns nothing, the connection is closed without a response.
    pub async fn start_on<H, F>(address: SocketAddr, handle: H) -> std::io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Option<StandinReply>> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let stop = CancellationToken::new();
        tokio::spawn(accept(listener, stop.clone(), Arc::new(handle)));
        Ok(Self { address, stop })
    }

    /// Address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Base URL of the server, without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

impl Drop for StandinServer {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn accept<H, F>(listener: TcpListener, stop: CancellationToken, handle: Arc<H>)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Option<StandinReply>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handle = handle.clone();
        let stop = stop.clone();
        let service = service_fn(move |request| {
            let reply = handle(request);
            async move { reply.await.ok_or(InjectedBreak) }
        });
        tokio::spawn(async move {
            let connection = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                _ = connection => {}
                () = stop.cancelled() => {}
            }
        });
    }
}

#[derive(Debug)]
struct InjectedBreak;

impl std::fmt::Display for InjectedBreak {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed by an injected fault")
    }
}

impl std::error::Error for InjectedBreak {}

/// Returns a response with `body` as JSON.
pub fn json_reply(status: StatusCode, body: &impl Serialize) -> StandinReply {
    let bytes = serde_json::to_vec(body).expect("message types serialize to JSON");
    let mut reply = Response::new(Full::new(Bytes::from(bytes)).boxed_unsync());
    *reply.status_mut() = status;
    reply
}

/// Reads the whole body of `request`; returns nothing but an empty body if reading fails.
pub async fn read_body(request: Request<Incoming>) -> Bytes {
    let body = request.into_body().collect().await;
    body.map(|body| body.to_bytes()).unwrap_or_default()
}

/// Returns the percent-decoded value of the first query parameter `name`, if there is one.
pub fn query_value(request: &Request<Incoming>, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    url::form_urlencoded::parse(query.as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}
