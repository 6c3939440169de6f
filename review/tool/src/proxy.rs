//! Link between one front and the store, on which chosen connections can go silent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

#[derive(Debug, Default)]
struct Connection {
    /// Whether the request that was sent last is a watch that waits for changes.
    waits: AtomicBool,
    /// Whether all bytes are withheld for good.
    is_silent: AtomicBool,
    is_closed: AtomicBool,
}

/// Forwards connections to the store.
pub struct StoreLink {
    address: SocketAddr,
    connections: Arc<Mutex<Vec<Arc<Connection>>>>,
}

impl StoreLink {
    pub async fn start(store: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let connections: Arc<Mutex<Vec<Arc<Connection>>>> = Arc::default();
        let all = connections.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let connection = Arc::new(Connection::default());
                all.lock()
                    .expect("connections lock")
                    .push(connection.clone());
                tokio::spawn(forward(client, store, connection));
            }
        });
        Ok(Self {
            address,
            connections,
        })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Withholds all further bytes of the open connections on which nothing moves, as a watch waits
    /// there. Other connections, and new ones, work. Returns the numbers of silent and of open
    /// connections.
    pub fn silence_waiting(&self) -> (usize, usize) {
        let connections = self.connections.lock().expect("connections lock");
        let open = connections
            .iter()
            .filter(|connection| !connection.is_closed.load(Ordering::Relaxed));
        let (mut silent, mut all) = (0, 0);
        for connection in open {
            all += 1;
            if connection.waits.load(Ordering::Relaxed) {
                connection.is_silent.store(true, Ordering::Relaxed);
                silent += 1;
            }
        }
        (silent, all)
    }
}

async fn forward(client: TcpStream, store: SocketAddr, connection: Arc<Connection>) {
    if let Ok(server) = TcpStream::connect(store).await {
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        let (client_reader, client_writer) = client.into_split();
        let (server_reader, server_writer) = server.into_split();
        tokio::join!(
            copy(client_reader, server_writer, connection.clone(), true),
            copy(server_reader, client_writer, connection.clone(), false),
        );
    }
    connection.is_closed.store(true, Ordering::Relaxed);
}

async fn copy(
    mut reader: impl AsyncRead + Unpin,
    mut writer: impl AsyncWrite + Unpin,
    connection: Arc<Connection>,
    to_store: bool,
) {
    let mut chunk = vec![0; 64 * 1024];
    loop {
        let count = reader.read(&mut chunk).await.unwrap_or(0);
        if connection.is_silent.load(Ordering::Relaxed) {
            // Neither bytes nor the end of the connection pass.
            if count == 0 {
                return std::future::pending().await;
            }
            continue;
        }
        if count == 0 {
            let _ = writer.shutdown().await;
            return;
        }
        let is_watch = to_store && chunk[..count].starts_with(b"GET /kv-watch");
        connection.waits.store(is_watch, Ordering::Relaxed);
        if writer.write_all(&chunk[..count]).await.is_err() {
            return;
        }
    }
}
