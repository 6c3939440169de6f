//! Client side of detours: connections to other hosts, each for one request at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream;
use tokio::time::Instant;
use tokio_tungstenite::tungstenite::Message;

use crate::collections::HashMap;
use crate::detour::link::DetourConnection;
use crate::detour::link::DetourFrames;
use crate::detour::link::DetourLink;
use crate::detour::message::DetourCall;
use crate::detour::message::DetourFrame;
use crate::detour::message::DetourInput;
use crate::peers::PeerClient;
use crate::peers::PeerSocket;
use crate::peers::decode;
use crate::peers::encode;

/// Time after its last request after which an idle connection is closed.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);
/// Idle connections that are kept to one host.
const MAX_IDLE_PER_HOST: usize = 32;
/// Largest part of a request's body in one message.
const BODY_PART_BYTES: usize = 256 * 1024;

struct IdleSocket {
    socket: PeerSocket,
    since: Instant,
}

#[derive(Default)]
struct IdlePool {
    sockets: HashMap<SocketAddr, Vec<IdleSocket>>,
    has_sweeper: bool,
}

impl IdlePool {
    /// Closes connections that have been idle for too long. Returns whether any are left.
    fn sweep(&mut self, now: Instant) -> bool {
        self.sockets.retain(|_, sockets| {
            sockets.retain(|idle| now - idle.since < MAX_IDLE_TIME);
            !sockets.is_empty()
        });
        !self.sockets.is_empty()
    }
}

/// Opens connections for detours and keeps them for later requests while they are in use. Clones share the
/// connections.
#[derive(Clone)]
pub struct DetourClient {
    peers: PeerClient,
    pool: Arc<Mutex<IdlePool>>,
}

impl DetourClient {
    /// Returns a client that authenticates as `peers` does.
    pub fn new(peers: PeerClient) -> Self {
        Self {
            peers,
            pool: Arc::default(),
        }
    }

    /// Number of connections that are idle.
    pub fn idle_count(&self) -> usize {
        let pool = self.pool.lock().expect("detour pool lock");
        pool.sockets.values().map(Vec::len).sum()
    }

    /// Takes an idle connection that is still open.
    fn take_idle(&self, address: SocketAddr) -> Option<PeerSocket> {
        let now = Instant::now();
        let mut pool = self.pool.lock().expect("detour pool lock");
        let sockets = pool.sockets.get_mut(&address)?;
        while let Some(mut idle) = sockets.pop() {
            let is_fresh = now - idle.since < MAX_IDLE_TIME;
            // Nothing is due on an idle connection: what comes is its end.
            if is_fresh && idle.socket.next().now_or_never().is_none() {
                return Some(idle.socket);
            }
        }
        None
    }

    fn put_idle(&self, address: SocketAddr, socket: PeerSocket) {
        let mut pool = self.pool.lock().expect("detour pool lock");
        let sockets = pool.sockets.entry(address).or_default();
        if sockets.len() >= MAX_IDLE_PER_HOST {
            return;
        }
        let since = Instant::now();
        sockets.push(IdleSocket { socket, since });
        if !pool.has_sweeper {
            pool.has_sweeper = true;
            tokio::spawn(sweep_idle(self.pool.clone()));
        }
    }
}

/// Closes idle connections in time, until there are none.
async fn sweep_idle(pool: Arc<Mutex<IdlePool>>) {
    loop {
        tokio::time::sleep(MAX_IDLE_TIME / 2).await;
        let mut pool = pool.lock().expect("detour pool lock");
        if !pool.sweep(Instant::now()) {
            pool.has_sweeper = false;
            return;
        }
    }
}

#[async_trait]
impl DetourLink for DetourClient {
    async fn open(&self, address: SocketAddr) -> Result<Box<dyn DetourConnection>, String> {
        let socket = match self.take_idle(address) {
            Some(socket) => socket,
            None => {
                let opened = self.peers.open_for_detours(address).await;
                opened.map_err(|err| err.to_string())?
            }
        };
        Ok(Box::new(SocketConnection {
            client: self.clone(),
            address,
            socket,
        }))
    }
}

struct SocketConnection {
    client: DetourClient,
    address: SocketAddr,
    socket: PeerSocket,
}

impl DetourConnection for SocketConnection {
    fn start(self: Box<Self>, call: DetourCall) -> DetourFrames {
        let state = (Some(*self), Some(call));
        let frames = stream::unfold(state, |(connection, call)| async move {
            let mut connection = connection?;
            if let Some(call) = call {
                connection.send(call).await?;
            }
            let frame = connection.next_frame().await?;
            let connection = match frame.is_last() {
                true => {
                    connection.give_back();
                    None
                }
                false => Some(connection),
            };
            Some((frame, (connection, None)))
        });
        frames.boxed()
    }
}

impl SocketConnection {
    async fn send(&mut self, call: DetourCall) -> Option<()> {
        let body = call.body.clone();
        let call = DetourInput::Call(Box::new(call));
        let message = Message::binary(encode(&call));
        self.socket.feed(message).await.ok()?;
        for part in body.chunks(BODY_PART_BYTES) {
            let part = DetourInput::Body(Bytes::copy_from_slice(part));
            let message = Message::binary(encode(&part));
            self.socket.feed(message).await.ok()?;
        }
        self.socket.flush().await.ok()
    }

    /// The next message; `None` once the connection has ended.
    async fn next_frame(&mut self) -> Option<DetourFrame> {
        loop {
            match self.socket.next().await?.ok()? {
                Message::Binary(bytes) => return decode(&bytes),
                Message::Close(_) => return None,
                _ => {}
            }
        }
    }

    fn give_back(self) {
        self.client.put_idle(self.address, self.socket);
    }
}
