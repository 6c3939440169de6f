//! Server side: accepts authenticated connections and answers the calls on each concurrently.

use std::sync::Arc;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_tungstenite::accept_hdr_async_with_config;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::handshake::server::ErrorResponse;
use tokio_tungstenite::tungstenite::handshake::server::Request;
use tokio_tungstenite::tungstenite::handshake::server::Response;
use tokio_util::sync::CancellationToken;

use crate::clock::TimeOfDay;
use crate::clock::unix_millis;
use crate::counters::CounterEvent;
use crate::counters::CounterSet;
use crate::detour::DetourServer;
use crate::peers::auth;
use crate::peers::auth::ProofVerdict;
use crate::peers::handlers::PeerHandlers;
use crate::peers::message::PeerFrame;
use crate::peers::message::PeerProtocol;
use crate::peers::message::socket_limits;

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection on which nothing arrives for this long, not even pings, is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(10);
const REPLY_QUEUE_LENGTH: usize = 1024;

/// Accepts connections of other entry hosts and answers their calls.
pub struct PeerServer {
    listener: TcpListener,
    secret: String,
    counters: Arc<CounterSet>,
    time_of_day: TimeOfDay,
    detours: Option<DetourServer>,
}

impl PeerServer {
    /// Returns a server on `listener` that accepts peers that know `secret`, and counts failed
    /// handshakes and invalid frames in `counters`.
    pub fn new(listener: TcpListener, secret: String, counters: Arc<CounterSet>) -> Self {
        Self {
            listener,
            secret,
            counters,
            time_of_day: unix_millis,
            detours: None,
        }
    }

    /// Takes detours of other hosts by `detours`. Without it, connections for detours are closed.
    pub fn with_detours(self, detours: DetourServer) -> Self {
        Self {
            detours: Some(detours),
            ..self
        }
    }

    /// Replaces the clock by which the server judges how old proofs are.
    pub fn with_time_of_day(self, time_of_day: TimeOfDay) -> Self {
        Self {
            time_of_day,
            ..self
        }
    }

    /// Answers calls by `handlers` until `stop` is cancelled, which also closes all connections.
    pub async fn run(self, stop: CancellationToken, handlers: PeerHandlers) {
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = stop.cancelled() => return,
            };
            let Ok((stream, _)) = accepted else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let gate = PeerGate {
                secret: self.secret.clone(),
                counters: self.counters.clone(),
                time_of_day: self.time_of_day,
            };
            let handlers = handlers.clone();
            let detours = self.detours.clone();
            let stop = stop.clone();
            tokio::spawn(async move {
                tokio::select! {
                    () = serve_peer(stream, gate, handlers, detours) => {}
                    () = stop.cancelled() => {}
                }
            });
        }
    }
}

/// What a connection has to pass before it is served.
struct PeerGate {
    secret: String,
    counters: Arc<CounterSet>,
    time_of_day: TimeOfDay,
}

async fn serve_peer(
    stream: TcpStream,
    gate: PeerGate,
    handlers: PeerHandlers,
    detours: Option<DetourServer>,
) {
    let counters = gate.counters.clone();
    let mut protocol = PeerProtocol::Calls;
    #[allow(clippy::result_large_err)] // The callback's signature is tungstenite's.
    let check = |request: &Request, response: Response| {
        let seconds = (gate.time_of_day)() / 1000;
        protocol = requested_protocol(request);
        let response = check_proof(&gate.secret, seconds, &gate.counters, request, response)?;
        Ok(name_protocol(protocol, response))
    };
    let handshake = accept_hdr_async_with_config(stream, check, Some(socket_limits()));
    let Ok(Ok(socket)) = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await else {
        counters.event(CounterEvent::PeerMessageRejected);
        return;
    };
    if protocol == PeerProtocol::Detours {
        let is_valid = match detours {
            Some(detours) => detours.serve_socket(socket).await,
            None => true,
        };
        if !is_valid {
            counters.event(CounterEvent::PeerMessageRejected);
        }
        return;
    }
    let (mut sink, mut frames) = socket.split();
    let (replies, mut queue) = mpsc::channel::<Message>(REPLY_QUEUE_LENGTH);
    let writer = async move {
        while let Some(message) = queue.recv().await {
            if sink.send(message).await.is_err() {
                return;
            }
        }
    };
    let reader = async move {
        let mut peer = None;
        while let Ok(Some(Ok(message))) = tokio::time::timeout(SILENCE_TIMEOUT, frames.next()).await
        {
            let bytes = match message {
                Message::Binary(bytes) => bytes,
                Message::Ping(payload) => {
                    // Pongs go through the reply queue, as the writer task owns the write half.
                    let _ = replies.try_send(Message::Pong(payload));
                    continue;
                }
                _ => continue,
            };
            match (PeerFrame::decode(&bytes), &peer) {
                (Some(PeerFrame::Hello { host }), None) => peer = Some(host),
                (Some(PeerFrame::Request { call, body }), Some(host)) => {
                    let handlers = handlers.clone();
                    let host = host.clone();
                    let replies = replies.clone();
                    tokio::spawn(async move {
                        let body = handlers.answer(host, body).await;
                        let frame = PeerFrame::Reply { call, body };
                        let _ = replies.send(Message::binary(frame.encode())).await;
                    });
                }
                _ => {
                    counters.event(CounterEvent::PeerMessageRejected);
                    return;
                }
            }
        }
    };
    tokio::select! {
        () = writer => {}
        () = reader => {}
    }
}

/// What the upgrade request wants the connection to carry.
fn requested_protocol(request: &Request) -> PeerProtocol {
    let name = request.headers().get(http::header::SEC_WEBSOCKET_PROTOCOL);
    let name = name.and_then(|name| name.to_str().ok()).unwrap_or_default();
    PeerProtocol::of_subprotocol(name)
}

/// Names `protocol` in the response to the upgrade request.
fn name_protocol(protocol: PeerProtocol, mut response: Response) -> Response {
    if let Some(name) = protocol.subprotocol() {
        let name = http::HeaderValue::from_static(name);
        let headers = response.headers_mut();
        headers.insert(http::header::SEC_WEBSOCKET_PROTOCOL, name);
    }
    response
}

#[allow(clippy::result_large_err)] // The signature is tungstenite's.
fn check_proof(
    secret: &str,
    now_seconds: u64,
    counters: &CounterSet,
    request: &Request,
    response: Response,
) -> Result<Response, ErrorResponse> {
    let header = |name: &str| {
        let value = request.headers().get(name);
        value
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    };
    let (key, proof) = (header("sec-websocket-key"), header(auth::PROOF_HEADER));
    let verdict = auth::verify(secret, key, proof, now_seconds);
    let mut refusal = ErrorResponse::new(None);
    *refusal.status_mut() = http::StatusCode::UNAUTHORIZED;
    match verdict {
        ProofVerdict::Valid => Ok(response),
        ProofVerdict::OtherTime => {
            counters.event(CounterEvent::PeerClockDiffers);
            let told = auth::tell_time(secret, key, now_seconds);
            let told = told.parse().expect("told times are ASCII");
            refusal.headers_mut().insert(auth::TIME_HEADER, told);
            Err(refusal)
        }
        ProofVerdict::Invalid => Err(refusal),
    }
}
