//! TCP proxy on loopback that injects faults into the connections through it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

const CHUNK_BYTES: usize = 16 * 1024;
const REBIND_INTERVAL: Duration = Duration::from_millis(2);
/// Bytes that end the head of a request or answer.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Fault that a proxy injects into its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Forwards bytes without a fault.
    #[default]
    None,
    /// Forwards the bytes of each read after this delay.
    Delayed(Duration),
    /// Withholds bytes to the server until the fault ends.
    StallToServer,
    /// Withholds bytes to the client until the fault ends.
    StallToClient,
    /// Withholds bytes in both directions until the fault ends.
    StallBoth,
    /// Withholds bytes in both directions for good on the connections that are open now; new ones
    /// work.
    StallExisting,
    /// Forwards the heads of answers, and withholds their bodies until the fault ends.
    StallBodies,
    /// Withholds bytes for good on the connections that are open now; refuses new ones until the
    /// fault ends.
    AwayRefusing,
    /// Withholds bytes for good on the connections that are open now, and on those that clients open
    /// until the fault ends.
    AwayMute,
    /// Refuses new connections until the fault ends; those that are open now work.
    RefuseNew,
}

/// A direction of the bytes on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the server.
    ToServer,
    /// From the server to the client.
    ToClient,
}

/// State that all connections of a proxy share.
#[derive(Clone, Debug, Default)]
struct LinkState {
    fault: LinkFault,
    /// Connections with a lower number are stalled for good.
    first_unstalled: u64,
    /// Connections with a lower number are reset.
    first_not_reset: u64,
    /// Server of connections from now on, in place of the one that the proxy was started with.
    server: Option<SocketAddr>,
    /// Single connections that are stalled for good in a direction.
    stalled: Vec<(u64, Direction)>,
    /// Single connections on which the bodies of answers are withheld for good.
    without_bodies: Vec<u64>,
}

impl LinkState {
    fn is_stalled(&self, number: u64, direction: Direction) -> bool {
        match (self.fault, direction) {
            _ if number < self.first_unstalled => true,
            _ if self.stalled.contains(&(number, direction)) => true,
            (LinkFault::StallBoth | LinkFault::AwayMute, _) => true,
            (LinkFault::StallToServer, Direction::ToServer) => true,
            (LinkFault::StallToClient, Direction::ToClient) => true,
            _ => false,
        }
    }

    fn lacks_bodies(&self, number: u64) -> bool {
        self.fault == LinkFault::StallBodies || self.without_bodies.contains(&number)
    }

    fn delay(&self) -> Duration {
        match self.fault {
            LinkFault::Delayed(delay) => delay,
            _ => Duration::ZERO,
        }
    }
}

/// A proxy in front of one server. Dropping it closes its connections.
pub struct LinkProxy {
    address: SocketAddr,
    state: Arc<watch::Sender<LinkState>>,
    accepted: Arc<AtomicU64>,
    requests: Arc<RequestLines>,
    stop: CancellationToken,
}

impl LinkProxy {
    /// Listens on a free port of `ip` and forwards to `server`.
    pub async fn start(ip: std::net::IpAddr, server: SocketAddr) -> std::io::Result<Self> {
        Self::start_on((ip, 0).into(), server).await
    }

    /// Listens on `address` and forwards to `server`.
    pub async fn start_on(address: SocketAddr, server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let proxy = Self {
            address: listener.local_addr()?,
            state: Arc::new(watch::Sender::new(LinkState::default())),
            accepted: Arc::default(),
            requests: Arc::default(),
            stop: CancellationToken::new(),
        };
        let acceptor = LinkAcceptor {
            address: proxy.address,
            server,
            state: proxy.state.subscribe(),
            accepted: proxy.accepted.clone(),
            requests: proxy.requests.clone(),
            stop: proxy.stop.clone(),
        };
        let stop = proxy.stop.clone();
        tokio::spawn(async move { stop.run_until_cancelled(acceptor.run(listener)).await });
        Ok(proxy)
    }

    /// Address to which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the fault for all connections from now on, in place of the one before.
    pub fn set(&self, fault: LinkFault) {
        let accepted = self.accepted();
        self.state.send_modify(|state| {
            let stalls_open_ones = matches!(
                fault,
                LinkFault::StallExisting | LinkFault::AwayRefusing | LinkFault::AwayMute
            );
            if stalls_open_ones || state.fault == LinkFault::AwayMute {
                state.first_unstalled = accepted;
            }
            state.fault = fault;
        });
    }

    /// Withholds bytes in `directions` for good on each open connection whose last request has a
    /// request line that contains `target`. Returns how many these are.
    pub fn stall_requests(&self, target: &str, directions: &[Direction]) -> usize {
        let numbers = self.requests.with_target(target);
        self.state.send_modify(|state| {
            for number in &numbers {
                let stalls = directions.iter().map(|direction| (*number, *direction));
                state.stalled.extend(stalls);
            }
        });
        numbers.len()
    }

    /// Withholds the bodies of answers for good on each open connection whose last request has a
    /// request line that contains `target`. Returns how many these are.
    pub fn stall_bodies(&self, target: &str) -> usize {
        let numbers = self.requests.with_target(target);
        self.state
            .send_modify(|state| state.without_bodies.extend(&numbers));
        numbers.len()
    }

    /// Forwards new connections to `server` from now on.
    pub fn set_server(&self, server: SocketAddr) {
        self.state.send_modify(|state| state.server = Some(server));
    }

    /// Resets (RST) all connections that are open now, on both sides.
    pub fn reset(&self) {
        let accepted = self.accepted();
        self.state
            .send_modify(|state| state.first_not_reset = accepted);
    }

    fn accepted(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Line of the last request on each open connection, by number of the connection.
#[derive(Debug, Default)]
struct RequestLines {
    lines: Mutex<BTreeMap<u64, String>>,
}

impl RequestLines {
    /// Records the request whose head begins `bytes`, if one does.
    fn note(&self, number: u64, bytes: &[u8]) {
        let line = bytes.split(|byte| *byte == b'\r').next();
        let line = line.and_then(|line| std::str::from_utf8(line).ok());
        if let Some(line) = line.filter(|line| line.ends_with("HTTP/1.1")) {
            self.lock().insert(number, line.to_owned());
        }
    }

    fn forget(&self, number: u64) {
        self.lock().remove(&number);
    }

    fn with_target(&self, target: &str) -> Vec<u64> {
        let lines = self.lock();
        let matching = lines.iter().filter(|(_, line)| line.contains(target));
        matching.map(|(number, _)| *number).collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<u64, String>> {
        self.lines.lock().expect("request lines lock")
    }
}

/// Accepts the connections of a proxy.
struct LinkAcceptor {
    address: SocketAddr,
    server: SocketAddr,
    state: watch::Receiver<LinkState>,
    accepted: Arc<AtomicU64>,
    requests: Arc<RequestLines>,
    stop: CancellationToken,
}

impl LinkAcceptor {
    async fn run(mut self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            let fault = self.state.borrow_and_update().fault;
            let refuses = matches!(fault, LinkFault::AwayRefusing | LinkFault::RefuseNew);
            // The kernel refuses connections while no socket listens.
            listener = match (refuses, listener.take()) {
                (true, _) => None,
                (false, Some(listener)) => Some(listener),
                (false, None) => TcpListener::bind(self.address).await.ok(),
            };
            let Some(open) = &listener else {
                if refuses && self.state.changed().await.is_err() {
                    return;
                }
                tokio::time::sleep(REBIND_INTERVAL).await;
                continue;
            };
            tokio::select! {
                accepted = open.accept() => match accepted {
                    Ok((client, _)) => self.forward(client),
                    Err(_) => return,
                },
                changed = self.state.changed() => if changed.is_err() {
                    return;
                },
            }
        }
    }

    fn forward(&self, client: TcpStream) {
        let number = self.accepted.fetch_add(1, Ordering::Relaxed);
        let (server, state) = (
            self.state.borrow().server.unwrap_or(self.server),
            self.state.clone(),
        );
        let (requests, stop) = (self.requests.clone(), self.stop.clone());
        tokio::spawn(async move {
            let pipe = forward(client, server, number, state, &requests);
            stop.run_until_cancelled(pipe).await;
            requests.forget(number);
        });
    }
}

async fn forward(
    mut client: TcpStream,
    server: SocketAddr,
    number: u64,
    state: watch::Receiver<LinkState>,
    requests: &RequestLines,
) {
    let Ok(mut server) = TcpStream::connect(server).await else {
        let _ = client.set_zero_linger();
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let mut resets = state.clone();
    let to_server = LinkPipe::new(number, Direction::ToServer, state.clone(), requests);
    let to_client = LinkPipe::new(number, Direction::ToClient, state, requests);
    let closed_cleanly = {
        let (client_reader, client_writer) = client.split();
        let (server_reader, server_writer) = server.split();
        let pipes = async {
            tokio::try_join!(
                to_server.copy(client_reader, server_writer),
                to_client.copy(server_reader, client_writer),
            )
        };
        tokio::select! {
            copied = pipes => copied.is_ok(),
            _ = resets.wait_for(|state| number < state.first_not_reset) => false,
        }
    };
    if !closed_cleanly {
        let _ = client.set_zero_linger();
        let _ = server.set_zero_linger();
    }
}

/// One direction of a proxied connection.
struct LinkPipe<'a> {
    number: u64,
    direction: Direction,
    state: watch::Receiver<LinkState>,
    requests: &'a RequestLines,
}

impl<'a> LinkPipe<'a> {
    fn new(
        number: u64,
        direction: Direction,
        state: watch::Receiver<LinkState>,
        requests: &'a RequestLines,
    ) -> Self {
        Self {
            number,
            direction,
            state,
            requests,
        }
    }

    /// Number of the bytes of `chunk` that are forwarded now; less than all while bodies are
    /// withheld.
    fn passing(&self, chunk: &[u8]) -> usize {
        let withheld =
            self.direction == Direction::ToClient && self.state.borrow().lacks_bodies(self.number);
        let head = chunk
            .windows(HEAD_END.len())
            .position(|end| end == HEAD_END);
        match (withheld, head) {
            (true, Some(head)) => head + HEAD_END.len(),
            (true, None) => 0,
            (false, _) => chunk.len(),
        }
    }

    async fn copy(
        mut self,
        mut reader: impl AsyncRead + Unpin,
        mut writer: impl AsyncWrite + Unpin,
    ) -> std::io::Result<()> {
        let mut chunk = vec![0; CHUNK_BYTES];
        loop {
            let count = reader.read(&mut chunk).await;
            if let (Direction::ToServer, Ok(count)) = (self.direction, &count) {
                self.requests.note(self.number, &chunk[..*count]);
            }
            let (number, direction) = (self.number, self.direction);
            let open = |state: &LinkState| !state.is_stalled(number, direction);
            // A stall also withholds the end of the connection, as a lost network path does.
            let delay = self.state.wait_for(open).await.map(|state| state.delay());
            tokio::time::sleep(delay.unwrap_or_default()).await;
            let count = count?;
            if count == 0 {
                return writer.shutdown().await;
            }
            let passing = self.passing(&chunk[..count]);
            writer.write_all(&chunk[..passing]).await?;
            if passing < count {
                let passes = |state: &LinkState| !state.lacks_bodies(number);
                let _ = self.state.wait_for(passes).await;
                writer.write_all(&chunk[passing..count]).await?;
            }
        }
    }
}
