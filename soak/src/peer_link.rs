//! Proxies of the connections and datagrams between fronts.
//!
//! The entries that fronts read of each other in the store name a front's proxy in place of its own
//! address.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use parsleywall_standins::platform_store::ValueView;
use serde_json::Value;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use crate::proxy::LinkFault;
use crate::proxy::LinkProxy;

/// Prefix of the keys of the fronts' entries.
const HOSTS_PREFIX: &str = "hosts/";
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
const BIND_ATTEMPTS: usize = 20;

/// Datagrams that a proxy loses.
#[derive(Default)]
struct DatagramLosses {
    loses_all: AtomicBool,
    /// Sender whose datagrams are lost.
    sender: Mutex<Option<IpAddr>>,
}

impl DatagramLosses {
    fn loses(&self, sender: IpAddr) -> bool {
        let lost = *self.sender.lock().expect("losses lock");
        self.loses_all.load(Ordering::Relaxed) || lost == Some(sender)
    }
}

/// Proxy in front of the address at which a front serves the other fronts. Faults affect its
/// connections; datagrams pass unless it is cut.
pub struct PeerLink {
    connections: LinkProxy,
    losses: Arc<DatagramLosses>,
    _stop: DropGuard,
}

impl PeerLink {
    /// Listens on a free port of `ip`, and forwards to `front`.
    pub async fn start(ip: IpAddr, front: SocketAddr) -> std::io::Result<Self> {
        let mut attempt = 0;
        let (connections, datagrams) = loop {
            attempt += 1;
            let connections = LinkProxy::start(ip, front).await?;
            match UdpSocket::bind(connections.address()).await {
                Ok(datagrams) => break (connections, datagrams),
                // Another process uses the UDP port of the same number.
                Err(_) if attempt < BIND_ATTEMPTS => {}
                Err(err) => return Err(err),
            }
        };
        let stop = CancellationToken::new();
        let losses = Arc::new(DatagramLosses::default());
        let relay = DatagramRelay {
            losses: losses.clone(),
            socket: Arc::new(datagrams),
            front,
            stop: stop.clone(),
        };
        let stopped = stop.clone();
        tokio::spawn(async move { stopped.run_until_cancelled(relay.run()).await });
        Ok(Self {
            connections,
            losses,
            _stop: stop.drop_guard(),
        })
    }

    /// Address that other fronts use.
    pub fn address(&self) -> SocketAddr {
        self.connections.address()
    }

    /// Sets the fault for the connections from now on.
    pub fn set(&self, fault: LinkFault) {
        self.connections.set(fault);
    }

    /// Withholds bytes on all connections and loses all datagrams to the front, and the replies to them,
    /// from now on or no more.
    pub fn set_cut(&self, is_cut: bool) {
        self.losses.loses_all.store(is_cut, Ordering::Relaxed);
        self.connections.set(match is_cut {
            true => LinkFault::StallBoth,
            false => LinkFault::None,
        });
    }

    /// Loses the datagrams of `sender` to the front, and the replies to it, from now on.
    pub fn lose_from(&self, sender: IpAddr) {
        *self.losses.sender.lock().expect("losses lock") = Some(sender);
    }
}

/// Forwards datagrams to a front, and its replies to their senders.
struct DatagramRelay {
    losses: Arc<DatagramLosses>,
    socket: Arc<UdpSocket>,
    front: SocketAddr,
    stop: CancellationToken,
}

impl DatagramRelay {
    async fn run(self) {
        let mut senders: BTreeMap<SocketAddr, Arc<UdpSocket>> = BTreeMap::new();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, sender)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let relay = match senders.get(&sender) {
                Some(relay) => relay.clone(),
                None => match self.open(sender).await {
                    Ok(relay) => senders.entry(sender).or_insert(relay).clone(),
                    Err(_) => continue,
                },
            };
            if self.losses.loses(sender.ip()) {
                continue;
            }
            // A front that is away loses datagrams.
            let _ = relay.send(&buffer[..length]).await;
        }
    }

    /// Opens the socket for the datagrams of `sender`, and sends the replies to it back.
    async fn open(&self, sender: SocketAddr) -> std::io::Result<Arc<UdpSocket>> {
        let relay = Arc::new(UdpSocket::bind((self.front.ip(), 0)).await?);
        relay.connect(self.front).await?;
        let (replies, socket, stop) = (relay.clone(), self.socket.clone(), self.stop.clone());
        let losses = self.losses.clone();
        tokio::spawn(async move {
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
            while let Some(received) = stop.run_until_cancelled(replies.recv(&mut buffer)).await {
                if let Ok(length) = received
                    && !losses.loses(sender.ip())
                {
                    let _ = socket.send_to(&buffer[..length], sender).await;
                }
            }
        });
        Ok(relay)
    }
}

/// Shows readers the entries of fronts with the addresses in `links` instead of those of the fronts,
/// by which they are listed.
pub fn link_view(links: BTreeMap<SocketAddr, SocketAddr>) -> ValueView {
    Arc::new(move |key, value| {
        let linked = key.starts_with(HOSTS_PREFIX).then(|| {
            let mut entry: Value = serde_json::from_slice(value).ok()?;
            let front: SocketAddr = entry["peers"].as_str()?.parse().ok()?;
            entry["peers"] = links.get(&front)?.to_string().into();
            serde_json::to_vec(&entry).ok()
        });
        linked.flatten().map_or_else(|| value.clone(), Bytes::from)
    })
}
