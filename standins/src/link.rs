//! TCP link to a server, whose connections can be impaired.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

const DRIP_INTERVAL: Duration = Duration::from_millis(50);
const HEAD_END: &[u8] = b"\r\n\r\n";

/// What happens to the bytes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkState {
    /// They are passed on.
    Open,
    /// They are taken and dropped in both directions; the connection stays open.
    Silent,
    /// Only the heads of responses are passed on.
    HeadOnly,
    /// The head of a response is passed on, then one byte at a time.
    Dripping,
}

struct LinkConnection {
    state: watch::Sender<LinkState>,
    /// Bytes of requests that arrived on it.
    received: Arc<Mutex<Vec<u8>>>,
}

#[derive(Default)]
struct LinkConnections {
    open: Vec<LinkConnection>,
    state_of_new: Option<LinkState>,
}

/// Link to a server: clients connect to its address.
pub struct Link {
    address: SocketAddr,
    connections: Arc<Mutex<LinkConnections>>,
    accepting: JoinHandle<()>,
}

impl Link {
    /// Starts a link to the server at `target`, on a free loopback port.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let connections = Arc::<Mutex<LinkConnections>>::default();
        Ok(Self {
            address,
            accepting: tokio::spawn(accept(listener, target, connections.clone())),
            connections,
        })
    }

    /// Address at which clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the state of all connections that are open now.
    pub fn set_open(&self, state: LinkState) {
        for connection in &self.lock().open {
            connection.state.send_replace(state);
        }
    }

    /// Sets the state of the connections that are opened from now on.
    pub fn set_new(&self, state: LinkState) {
        self.lock().state_of_new = Some(state);
    }

    /// Refuses new connections from now on. Open ones stay.
    pub async fn refuse_new(&mut self) {
        self.accepting.abort();
        let _ = (&mut self.accepting).await;
    }

    /// Number of requests whose first line contains `text`, for each connection in the order in which
    /// they were opened.
    pub fn requests(&self, text: &str) -> Vec<usize> {
        let connections = self.lock();
        let count = |connection: &LinkConnection| {
            let received = connection.received.lock().expect("link bytes lock");
            let received = String::from_utf8_lossy(&received);
            let first_lines = received.lines().filter(|line| line.ends_with("HTTP/1.1"));
            first_lines.filter(|line| line.contains(text)).count()
        };
        connections.open.iter().map(count).collect()
    }

    fn lock(&self) -> MutexGuard<'_, LinkConnections> {
        self.connections.lock().expect("link lock")
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    connections: Arc<Mutex<LinkConnections>>,
) {
    loop {
        let (client, _) = listener.accept().await.expect("accept a connection");
        let Ok(server) = TcpStream::connect(target).await else {
            continue;
        };
        let received = Arc::default();
        let mut connections = connections.lock().expect("link lock");
        let (state, states) = watch::channel(connections.state_of_new.unwrap_or(LinkState::Open));
        let connection = LinkConnection {
            state,
            received: Arc::clone(&received),
        };
        connections.open.push(connection);
        tokio::spawn(carry(client, server, states, received));
    }
}

async fn carry(
    client: TcpStream,
    server: TcpStream,
    states: watch::Receiver<LinkState>,
    received: Arc<Mutex<Vec<u8>>>,
) {
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let request_states = states.clone();
    let requests = async move {
        let mut bytes = [0; 4096];
        while let Ok(count @ 1..) = from_client.read(&mut bytes).await {
            received
                .lock()
                .expect("link bytes lock")
                .extend_from_slice(&bytes[..count]);
            if *request_states.borrow() != LinkState::Silent
                && to_server.write_all(&bytes[..count]).await.is_err()
            {
                return;
            }
        }
    };
    let responses = async move {
        let mut bytes = [0; 4096];
        while let Ok(count @ 1..) = from_server.read(&mut bytes).await {
            let state = *states.borrow();
            if pass_response(&mut to_client, &bytes[..count], state)
                .await
                .is_err()
            {
                return;
            }
        }
        // A silent connection isn't closed either.
        if *states.borrow() == LinkState::Silent {
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = requests => {}
        () = responses => {}
    }
}

async fn pass_response(
    to_client: &mut (impl AsyncWriteExt + Unpin),
    bytes: &[u8],
    state: LinkState,
) -> std::io::Result<()> {
    let head = bytes
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END)
        .map_or(0, |position| position + HEAD_END.len());
    match state {
        LinkState::Open => to_client.write_all(bytes).await,
        LinkState::Silent => Ok(()),
        LinkState::HeadOnly => to_client.write_all(&bytes[..head]).await,
        LinkState::Dripping => {
            to_client.write_all(&bytes[..head]).await?;
            for byte in &bytes[head..] {
                to_client.write_all(&[*byte]).await?;
                tokio::time::sleep(DRIP_INTERVAL).await;
            }
            Ok(())
        }
    }
}
