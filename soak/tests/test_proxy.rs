//! The proxy forwards bytes, withholds them in one or both directions, and resets connections.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use soak::proxy::LinkFault;
use soak::proxy::LinkProxy;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const LOCAL: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Time within which bytes arrive that are not withheld.
const ECHO_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts a proxy in front of a server that echoes each byte.
async fn echo_proxy() -> LinkProxy {
    let listener = TcpListener::bind((LOCAL, 0)).await.unwrap();
    let server = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.into_split();
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    LinkProxy::start(LOCAL, server).await.unwrap()
}

async fn connect(proxy: &LinkProxy) -> TcpStream {
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(echo(&mut stream).await, Some(7));
    stream
}

/// Sends a byte and returns its echo, or nothing if none arrives in time.
async fn echo(stream: &mut TcpStream) -> Option<u8> {
    stream.write_all(&[7]).await.ok()?;
    tokio::time::timeout(ECHO_TIMEOUT, stream.read_u8())
        .await
        .ok()?
        .ok()
}

#[tokio::test]
async fn test_proxy_stalls_each_direction() {
    for fault in [
        LinkFault::StallBoth,
        LinkFault::StallToServer,
        LinkFault::StallToClient,
    ] {
        let proxy = echo_proxy().await;
        let mut stream = connect(&proxy).await;
        proxy.set(fault);
        assert_eq!(echo(&mut stream).await, None, "{fault:?}");
        proxy.set(LinkFault::None);
        assert_eq!(stream.read_u8().await.unwrap(), 7, "{fault:?}");
    }
}

#[tokio::test]
async fn test_proxy_existing_connections_stay_stalled() {
    let proxy = echo_proxy().await;
    let mut old = connect(&proxy).await;
    proxy.set(LinkFault::StallExisting);
    assert_eq!(echo(&mut old).await, None);
    connect(&proxy).await;
    proxy.set(LinkFault::None);
    assert_eq!(echo(&mut old).await, None);
}

#[tokio::test]
async fn test_proxy_resets_open_connections() {
    let proxy = echo_proxy().await;
    let mut old = connect(&proxy).await;
    proxy.reset();
    let error = old.read_u8().await.unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    connect(&proxy).await;
}
