//! The proxy forwards bytes, withholds them in one or both directions, and resets connections.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use soak::proxy::Direction;
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

/// Starts a proxy in front of a server that answers each request with a body of two bytes.
async fn answering_proxy() -> LinkProxy {
    let listener = TcpListener::bind((LOCAL, 0)).await.unwrap();
    let server = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 1024];
                while stream.read(&mut request).await.is_ok_and(|count| count > 0) {
                    let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                    if stream.write_all(answer).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    LinkProxy::start(LOCAL, server).await.unwrap()
}

/// Sends a request for `path`, and reads what arrives of the answer in time.
async fn ask(stream: &mut TcpStream, path: &str) -> String {
    let request = format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n");
    let mut read = Vec::new();
    if stream.write_all(request.as_bytes()).await.is_ok() {
        let answer = async {
            while !read.ends_with(b"ok") && stream.read_buf(&mut read).await.is_ok_and(|n| n > 0) {}
        };
        let _ = tokio::time::timeout(ECHO_TIMEOUT, answer).await;
    }
    String::from_utf8(read).unwrap()
}

#[tokio::test]
async fn test_proxy_stalls_connections_by_request() {
    for directions in [
        &[Direction::ToServer][..],
        &[Direction::ToClient],
        &[Direction::ToServer, Direction::ToClient],
    ] {
        let proxy = answering_proxy().await;
        let mut watch = TcpStream::connect(proxy.address()).await.unwrap();
        let mut other = TcpStream::connect(proxy.address()).await.unwrap();
        assert!(ask(&mut watch, "/kv-watch?prefix=op").await.ends_with("ok"));
        assert!(ask(&mut other, "/kv-range").await.ends_with("ok"));
        assert_eq!(proxy.stall_requests("/kv-watch?prefix=op", directions), 1);
        assert_eq!(ask(&mut watch, "/kv-watch?prefix=op").await, "");
        assert!(ask(&mut other, "/kv-range").await.ends_with("ok"));
        let mut new = TcpStream::connect(proxy.address()).await.unwrap();
        assert!(ask(&mut new, "/kv-watch?prefix=op").await.ends_with("ok"));
    }
}

#[tokio::test]
async fn test_proxy_stalls_bodies_by_request() {
    let proxy = answering_proxy().await;
    let mut watch = TcpStream::connect(proxy.address()).await.unwrap();
    let mut other = TcpStream::connect(proxy.address()).await.unwrap();
    assert!(ask(&mut watch, "/kv-watch?prefix=op").await.ends_with("ok"));
    assert!(ask(&mut other, "/kv-range").await.ends_with("ok"));
    assert_eq!(proxy.stall_bodies("/kv-watch?prefix=op"), 1);
    let answer = ask(&mut watch, "/kv-watch?prefix=op").await;
    assert!(answer.ends_with("\r\n\r\n"), "{answer}");
    assert!(ask(&mut other, "/kv-range").await.ends_with("ok"));
}

#[tokio::test]
async fn test_proxy_stalls_bodies() {
    let proxy = answering_proxy().await;
    let mut stream = TcpStream::connect(proxy.address()).await.unwrap();
    proxy.set(LinkFault::StallBodies);
    assert!(ask(&mut stream, "/").await.ends_with("\r\n\r\n"));
    proxy.set(LinkFault::None);
    let mut body = [0; 2];
    stream.read_exact(&mut body).await.unwrap();
    assert_eq!(&body, b"ok");
}

#[tokio::test]
async fn test_proxy_away_refusing() {
    let proxy = answering_proxy().await;
    let mut old = TcpStream::connect(proxy.address()).await.unwrap();
    assert!(ask(&mut old, "/").await.ends_with("ok"));
    proxy.set(LinkFault::AwayRefusing);
    tokio::time::sleep(ECHO_TIMEOUT).await;
    let error = TcpStream::connect(proxy.address()).await.unwrap_err();
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionRefused);
    proxy.set(LinkFault::None);
    tokio::time::sleep(ECHO_TIMEOUT).await;
    let mut new = TcpStream::connect(proxy.address()).await.unwrap();
    assert!(ask(&mut new, "/").await.ends_with("ok"));
    assert_eq!(ask(&mut old, "/").await, "");
}

#[tokio::test]
async fn test_proxy_away_mute() {
    let proxy = answering_proxy().await;
    proxy.set(LinkFault::AwayMute);
    let mut meanwhile = TcpStream::connect(proxy.address()).await.unwrap();
    assert_eq!(ask(&mut meanwhile, "/").await, "");
    proxy.set(LinkFault::None);
    assert_eq!(ask(&mut meanwhile, "/").await, "");
    let mut new = TcpStream::connect(proxy.address()).await.unwrap();
    assert!(ask(&mut new, "/").await.ends_with("ok"));
}

#[tokio::test]
async fn test_proxy_new_server() {
    let (first, second) = (echo_proxy().await, answering_proxy().await);
    let mut old = connect(&first).await;
    first.set_server(second.address());
    let mut new = TcpStream::connect(first.address()).await.unwrap();
    assert!(ask(&mut new, "/").await.ends_with("ok"));
    assert_eq!(echo(&mut old).await, Some(7));
}
