//! Client side: one persistent connection per peer address, opened on first use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::client_async_with_config;
use tokio_tungstenite::tungstenite::Error as SocketError;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;

use crate::clock::TimeOfDay;
use crate::clock::unix_millis;
use crate::collections::HashMap;
use crate::ids::HostId;
use crate::peers::auth;
use crate::peers::message::EncodedCall;
use crate::peers::message::EncodedReply;
use crate::peers::message::PeerFrame;
use crate::peers::message::PeerMessage;
use crate::peers::message::PeerProtocol;
use crate::peers::message::decode;
use crate::peers::message::encode;
use crate::peers::message::socket_limits;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// A connection on which nothing arrives for this long, not even pongs, is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_QUEUED_CALLS: usize = 1024;

/// Why a call to a peer has no reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// The address refused the connection, so that no process listens there. Holds the cause.
    Refused(String),
    /// The call was definitely not sent, so the peer has not run it. Holds the cause.
    NotSent(String),
    /// The peer may have received and run the call. Holds the cause.
    NoReply(String),
}

impl std::fmt::Display for PeerError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused(cause) => write!(f, "connection refused: {cause}"),
            Self::NotSent(cause) => write!(f, "call not sent: {cause}"),
            Self::NoReply(cause) => write!(f, "no reply: {cause}"),
        }
    }
}

struct PendingCall {
    body: EncodedCall,
    reply: oneshot::Sender<Result<EncodedReply, PeerError>>,
}

/// Calls other entry hosts over persistent connections. Clones share the connections.
#[derive(Clone)]
pub struct PeerClient {
    shared: Arc<ClientShared>,
}

struct ClientShared {
    host: HostId,
    secret: String,
    time_of_day: TimeOfDay,
    connections: Mutex<HashMap<SocketAddr, mpsc::Sender<PendingCall>>>,
    /// By how many seconds the clocks of peers are ahead of this host's, where they told so.
    clock_leads: Mutex<HashMap<SocketAddr, i64>>,
}

impl ClientShared {
    fn clock_lead(&self, address: SocketAddr) -> i64 {
        let leads = self.clock_leads.lock().expect("clock leads lock");
        leads.get(&address).copied().unwrap_or_default()
    }

    fn set_clock_lead(&self, address: SocketAddr, lead: i64) {
        let mut leads = self.clock_leads.lock().expect("clock leads lock");
        match lead {
            0 => leads.remove(&address),
            _ => leads.insert(address, lead),
        };
    }
}

impl PeerClient {
    /// Returns a client without connections that calls as `host` and authenticates by `secret`.
    pub fn new(host: HostId, secret: String) -> Self {
        Self::with_time_of_day(host, secret, unix_millis)
    }

    /// Returns such a client whose proofs are for the times that `time_of_day` tells, unless a peer tells
    /// another time.
    pub fn with_time_of_day(host: HostId, secret: String, time_of_day: TimeOfDay) -> Self {
        Self {
            shared: Arc::new(ClientShared {
                host,
                secret,
                time_of_day,
                connections: Mutex::new(HashMap::default()),
                clock_leads: Mutex::new(HashMap::default()),
            }),
        }
    }

    /// Calls the peer at `address` and waits up to `timeout` for its reply.
    ///
    /// Errors: [`PeerError::Refused`] if nothing listens at `address`; [`PeerError::NotSent`] if the
    /// connection's queue is full or no connection could be opened; [`PeerError::NoReply`] after the
    /// time-out, if the connection broke, or if the peer has no handler for the call or its reply can't
    /// be decoded.
    pub async fn call<M: PeerMessage>(
        &self,
        address: SocketAddr,
        message: M,
        timeout: Duration,
    ) -> Result<M::Reply, PeerError> {
        let (reply, answer) = oneshot::channel();
        let body = EncodedCall {
            name: M::NAME.to_owned(),
            fields: encode(&message).into(),
        };
        self.connection(address)
            .try_send(PendingCall { body, reply })
            .map_err(|_| PeerError::NotSent("the connection's queue is full".to_owned()))?;
        let answer = match tokio::time::timeout(timeout, answer).await {
            Ok(Ok(outcome)) => outcome?,
            Ok(Err(_)) => return Err(PeerError::NoReply("the connection closed".to_owned())),
            Err(_) => return Err(PeerError::NoReply("no reply in time".to_owned())),
        };
        answer
            .and_then(|fields| decode(&fields))
            .ok_or_else(|| PeerError::NoReply("the peer has no handler for the call".to_owned()))
    }

    /// Opens a connection to the peer at `address` that carries detours.
    pub(crate) async fn open_for_detours(
        &self,
        address: SocketAddr,
    ) -> Result<PeerSocket, PeerError> {
        open(&self.shared, address, PeerProtocol::Detours).await
    }

    fn connection(&self, address: SocketAddr) -> mpsc::Sender<PendingCall> {
        let mut connections = self
            .shared
            .connections
            .lock()
            .expect("peer connections lock");
        if let Some(connection) = connections
            .get(&address)
            .filter(|connection| !connection.is_closed())
        {
            return connection.clone();
        }
        let (connection, calls) = mpsc::channel(MAX_QUEUED_CALLS);
        connections.insert(address, connection.clone());
        tokio::spawn(run_connection(self.shared.clone(), address, calls));
        connection
    }
}

/// Connection to a peer that has accepted the proof.
pub(crate) type PeerSocket = WebSocketStream<TcpStream>;

/// Opens one connection and sends the queued calls over it until it breaks; the next call then
/// opens another. Calls that are still queued at that point fail as not sent.
async fn run_connection(
    shared: Arc<ClientShared>,
    address: SocketAddr,
    mut calls: mpsc::Receiver<PendingCall>,
) {
    let opened =
        tokio::time::timeout(CONNECT_TIMEOUT, open(&shared, address, PeerProtocol::Calls)).await;
    let failure = match opened {
        Ok(Ok(socket)) => {
            let cause = ConnectionTask::new(socket).run(&mut calls).await;
            PeerError::NotSent(cause)
        }
        Ok(Err(failure)) => failure,
        Err(_) => PeerError::NotSent("timed out opening the connection".to_owned()),
    };
    calls.close();
    while let Some(call) = calls.recv().await {
        let _ = call.reply.send(Err(failure.clone()));
    }
}

/// Why no connection was opened.
enum OpenError {
    /// The peer refused the proof. Holds by how many seconds its clock is ahead, if it told its time.
    ProofRefused(Option<i64>),
    /// Anything else.
    Failed(PeerError),
}

impl OpenError {
    fn failed(err: impl std::fmt::Display) -> Self {
        Self::Failed(PeerError::NotSent(err.to_string()))
    }

    fn not_connected(err: std::io::Error) -> Self {
        match err.kind() {
            std::io::ErrorKind::ConnectionRefused => {
                Self::Failed(PeerError::Refused(err.to_string()))
            }
            _ => Self::failed(err),
        }
    }
}

/// Opens a connection. A proof that is refused is made once more if the peer's clock differs from what
/// the proof supposed; one that tells no time may be of an earlier release, which judges by its own.
async fn open(
    shared: &ClientShared,
    address: SocketAddr,
    protocol: PeerProtocol,
) -> Result<PeerSocket, PeerError> {
    let refused = || PeerError::NotSent("the peer refused the proof".to_owned());
    let supposed = shared.clock_lead(address);
    let lead = match try_open(shared, address, protocol, supposed).await {
        Ok(socket) => return Ok(socket),
        Err(OpenError::Failed(err)) => return Err(err),
        Err(OpenError::ProofRefused(lead)) => lead.unwrap_or_default(),
    };
    shared.set_clock_lead(address, lead);
    if lead == supposed {
        return Err(refused());
    }
    match try_open(shared, address, protocol, lead).await {
        Ok(socket) => Ok(socket),
        Err(OpenError::Failed(err)) => Err(err),
        Err(OpenError::ProofRefused(_)) => Err(refused()),
    }
}

/// Opens a connection to a peer whose clock is ahead by `lead` seconds.
async fn try_open(
    shared: &ClientShared,
    address: SocketAddr,
    protocol: PeerProtocol,
    lead: i64,
) -> Result<PeerSocket, OpenError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(OpenError::not_connected)?;
    let _ = stream.set_nodelay(true);
    let path = protocol.path();
    let mut request = format!("ws://{address}{path}")
        .into_client_request()
        .map_err(OpenError::failed)?;
    if let Some(name) = protocol.subprotocol() {
        let name = http::HeaderValue::from_static(name);
        let headers = request.headers_mut();
        headers.insert(http::header::SEC_WEBSOCKET_PROTOCOL, name);
    }
    let key = request.headers().get("sec-websocket-key");
    let key = key.and_then(|key| key.to_str().ok()).unwrap_or_default();
    let key = key.to_owned();
    let seconds = (shared.time_of_day)() / 1000;
    let proof = auth::prove(&shared.secret, &key, seconds.saturating_add_signed(lead));
    let proof = proof.parse().expect("proofs are ASCII");
    request.headers_mut().insert(auth::PROOF_HEADER, proof);
    let opened = client_async_with_config(request, stream, Some(socket_limits())).await;
    let (mut socket, _) = opened.map_err(|err| match err {
        SocketError::Http(response) if response.status() == http::StatusCode::UNAUTHORIZED => {
            let told = response.headers().get(auth::TIME_HEADER);
            let told = told.and_then(|told| told.to_str().ok()).unwrap_or_default();
            let told = auth::told_time(&shared.secret, &key, told);
            OpenError::ProofRefused(told.map(|told| told.wrapping_sub(seconds) as i64))
        }
        err => OpenError::failed(err),
    })?;
    let hello = PeerFrame::Hello {
        host: shared.host.clone(),
    };
    socket
        .send(Message::binary(hello.encode()))
        .await
        .map_err(OpenError::failed)?;
    Ok(socket)
}

struct ConnectionTask {
    socket: PeerSocket,
    pending_replies: HashMap<u64, oneshot::Sender<Result<EncodedReply, PeerError>>>,
    next_number: u64,
}

impl ConnectionTask {
    fn new(socket: PeerSocket) -> Self {
        Self {
            socket,
            pending_replies: HashMap::default(),
            next_number: 0,
        }
    }

    /// Runs until the connection breaks and returns the cause. Calls that were sent and have no
    /// reply fail as possibly received.
    async fn run(mut self, calls: &mut mpsc::Receiver<PendingCall>) -> String {
        let mut pings = tokio::time::interval(PING_INTERVAL);
        let mut last_received = tokio::time::Instant::now();
        let cause = loop {
            tokio::select! {
                call = calls.recv() => match call {
                    Some(call) => if let Err(cause) = self.send_call(call).await {
                        break cause;
                    },
                    None => break "the peer client was dropped".to_owned(),
                },
                frame = self.socket.next() => {
                    last_received = tokio::time::Instant::now();
                    match frame {
                        Some(Ok(message)) => self.handle_message(message),
                        Some(Err(err)) => break err.to_string(),
                        None => break "the peer closed the connection".to_owned(),
                    }
                }
                _ = pings.tick() => {
                    if last_received.elapsed() > SILENCE_TIMEOUT {
                        break "nothing was received from the peer for too long".to_owned();
                    }
                    let ping = Message::Ping(bytes::Bytes::new());
                    if let Err(err) = self.socket.send(ping).await {
                        break err.to_string();
                    }
                }
            }
        };
        for (_, reply) in self.pending_replies.drain() {
            let _ = reply.send(Err(PeerError::NoReply(cause.clone())));
        }
        cause
    }

    async fn send_call(&mut self, call: PendingCall) -> Result<(), String> {
        let number = self.next_number;
        self.next_number += 1;
        self.pending_replies.insert(number, call.reply);
        let frame = PeerFrame::Request {
            call: number,
            body: call.body,
        };
        let message = Message::binary(frame.encode());
        self.socket
            .send(message)
            .await
            .map_err(|err| err.to_string())
    }

    fn handle_message(&mut self, message: Message) {
        let Message::Binary(bytes) = message else {
            return;
        };
        if let Some(PeerFrame::Reply { call, body }) = PeerFrame::decode(&bytes)
            && let Some(reply) = self.pending_replies.remove(&call)
        {
            let _ = reply.send(Ok(body));
        }
    }
}
