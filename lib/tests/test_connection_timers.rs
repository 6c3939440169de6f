//! Tests of which timers of the operating system may end a silent connection to an upstream.
#![cfg(target_os = "linux")]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use parsleywall::http::client::HttpClient;
use parsleywall::http::connection::HttpConnection;
use parsleywall::http::pools::ConnectionPools;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const SILENCE: Duration = Duration::from_millis(1_500);
const HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";

/// Serves one stream on each connection: an event, a silence, another event.
async fn spawn_silent_upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request).await;
                let _ = stream.write_all(HEAD).await;
                let _ = stream.write_all(b"9\r\nid: 1\n\n\n\n\r\n").await;
                tokio::time::sleep(SILENCE).await;
                let _ = stream.write_all(b"9\r\nid: 2\n\n\n\n\r\n0\r\n\r\n").await;
            });
        }
    });
    address
}

/// Timers of the connections of this process to `address`, as the kernel lists them: `00` for none, `01`
/// for a retransmission, `02` for a keep-alive probe.
fn timers(address: SocketAddr) -> Vec<String> {
    let port = format!("0100007F:{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/self/net/tcp").unwrap();
    let rows = table.lines().skip(1);
    let fields = rows.map(|row| row.split_whitespace().collect::<Vec<_>>());
    let to_upstream = fields.filter(|fields| fields[2] == port && fields[3] == "01");
    to_upstream
        .map(|fields| fields[5].split(':').next().unwrap().to_owned())
        .collect()
}

fn request(uri: &str) -> Request<Full<Bytes>> {
    let request = Request::get(uri).header("host", "upstream");
    request.body(Full::new(Bytes::new())).unwrap()
}

/// Reads the first event, checks that no timer runs in the silence after it, and reads on to the end.
async fn check_stream(address: SocketAddr, body: hyper::body::Incoming) {
    let mut body = body.into_data_stream();
    let mut text = body.next().await.unwrap().unwrap().to_vec();
    tokio::time::sleep(SILENCE / 2).await;
    assert_eq!(timers(address), ["00"], "a timer may end the connection");
    while let Some(part) = body.next().await {
        text.extend_from_slice(&part.unwrap());
    }
    assert_eq!(text, b"id: 1\n\n\n\nid: 2\n\n\n\n");
}

#[tokio::test]
async fn test_no_timer_ends_a_pooled_connection_in_a_silence() {
    let address = spawn_silent_upstream().await;
    let client = ConnectionPools::new(CONNECT_TIMEOUT).client(address);
    let response = client.send(request(&format!("http://{address}/"))).await;
    check_stream(address, response.unwrap().into_body()).await;
}

#[tokio::test]
async fn test_no_timer_ends_an_unpooled_connection_in_a_silence() {
    let address = spawn_silent_upstream().await;
    let client = HttpClient::with_bounds(0, CONNECT_TIMEOUT, Duration::ZERO);
    let response = client.send(request(&format!("http://{address}/"))).await;
    check_stream(address, response.unwrap().into_body()).await;
}

#[tokio::test]
async fn test_no_timer_ends_an_identified_connection_in_a_silence() {
    let address = spawn_silent_upstream().await;
    let connection = HttpConnection::open(address, CONNECT_TIMEOUT).await;
    let mut connection = connection.unwrap();
    let response = connection.send(request("/")).await;
    check_stream(address, response.unwrap().into_body()).await;
}
