//! TCP proxy on loopback that injects faults into the connections through it.

use std::net::SocketAddr;
use std::sync::Arc;
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
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToServer,
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
}

impl LinkState {
    fn is_stalled(&self, number: u64, direction: Direction) -> bool {
        match (self.fault, direction) {
            _ if number < self.first_unstalled => true,
            (LinkFault::StallBoth, _) => true,
            (LinkFault::StallToServer, Direction::ToServer) => true,
            (LinkFault::StallToClient, Direction::ToClient) => true,
            _ => false,
        }
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
    accepted: Arc<std::sync::atomic::AtomicU64>,
    stop: CancellationToken,
}

impl LinkProxy {
    /// Listens on a free port of `ip` and forwards to `server`.
    pub async fn start(ip: std::net::IpAddr, server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let proxy = Self {
            address: listener.local_addr()?,
            state: Arc::new(watch::Sender::new(LinkState::default())),
            accepted: Arc::default(),
            stop: CancellationToken::new(),
        };
        let (state, accepted) = (proxy.state.clone(), proxy.accepted.clone());
        let stop = proxy.stop.clone();
        tokio::spawn(async move {
            while let Some(Ok((client, _))) = stop.run_until_cancelled(listener.accept()).await {
                let number = accepted.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                let pipe = forward(client, server, number, state.subscribe());
                let stop = stop.clone();
                tokio::spawn(async move { stop.run_until_cancelled(pipe).await });
            }
        });
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
            state.fault = fault;
            if fault == LinkFault::StallExisting {
                state.first_unstalled = accepted;
            }
        });
    }

    /// Resets (RST) all connections that are open now, on both sides.
    pub fn reset(&self) {
        let accepted = self.accepted();
        self.state
            .send_modify(|state| state.first_not_reset = accepted);
    }

    fn accepted(&self) -> u64 {
        self.accepted.load(std::sync::atomic::Ordering::Relaxed)
    }
}

impl Drop for LinkProxy {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn forward(
    mut client: TcpStream,
    server: SocketAddr,
    number: u64,
    state: watch::Receiver<LinkState>,
) {
    let Ok(mut server) = TcpStream::connect(server).await else {
        let _ = client.set_zero_linger();
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let mut resets = state.clone();
    let to_server = LinkPipe::new(number, Direction::ToServer, state.clone());
    let to_client = LinkPipe::new(number, Direction::ToClient, state);
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
struct LinkPipe {
    number: u64,
    direction: Direction,
    state: watch::Receiver<LinkState>,
}

impl LinkPipe {
    fn new(number: u64, direction: Direction, state: watch::Receiver<LinkState>) -> Self {
        Self {
            number,
            direction,
            state,
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
            let (number, direction) = (self.number, self.direction);
            let open = |state: &LinkState| !state.is_stalled(number, direction);
            // A stall also withholds the end of the connection, as a lost network path does.
            let delay = self.state.wait_for(open).await.map(|state| state.delay());
            tokio::time::sleep(delay.unwrap_or_default()).await;
            match count? {
                0 => return writer.shutdown().await,
                count => writer.write_all(&chunk[..count]).await?,
            }
        }
    }
}
