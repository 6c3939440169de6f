//! Answers that are none: with a status that HTTP has not, and cut ones whose connection was reset while
//! the request was being written.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use parsleywall::edges::engine::Endpoint;
use parsleywall::edges::engine::EngineError;
use parsleywall::edges::engine::GenerateCall;
use parsleywall::edges::engine::HttpEngine;
use parsleywall::edges::engine::ModelEngine;
use parsleywall::http::client::ClientError;
use parsleywall::http::client::HttpClient;
use parsleywall::http::client::collect;
use parsleywall::http::connection::HttpConnection;
use parsleywall::ids::RequestId;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

const UNSOUND: [&str; 8] = ["000", "099", "20", "1000", "101", "600", "999", "2xx"];
const UPLOAD_BYTES: usize = 2_000_000;
/// Receive buffer of a server that leaves most of an upload unread.
const RECEIVE_BYTES: u32 = 4_096;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Answers each request with `status` and a whole body.
async fn serve_status(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            let answer = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 4\r\n\r\nbody");
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

/// Answers the first bytes of a request at once with the head and a part of an answer without a length,
/// and resets the connection after a time that grows from one request to the next.
async fn serve_resets() -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BYTES).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(64).unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for number in 0_u64.. {
            let Ok((stream, _)) = listener.accept().await else {
                return;
            };
            let delay = Duration::from_micros(number % 40 * 50);
            tokio::spawn(reset(stream, delay));
        }
    });
    address
}

async fn reset(mut stream: TcpStream, delay: Duration) {
    let _ = stream.read_u8().await;
    let part = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart of the answer";
    let _ = stream.write_all(part.as_bytes()).await;
    tokio::time::sleep(delay).await;
    // With unread bytes in its receive buffer, the connection is reset.
    drop(stream);
}

fn upload(address: SocketAddr, body: usize) -> Request<Full<Bytes>> {
    Request::post(format!("http://{address}/upload"))
        .header("host", address.to_string())
        .body(Full::new(Bytes::from(vec![b'x'; body])))
        .unwrap()
}

#[tokio::test]
async fn test_status_outside_http_is_no_answer_to_a_client() {
    for status in UNSOUND {
        let address = serve_status(status).await;
        let answer = HttpClient::new().send(upload(address, 1)).await;
        let answer = answer.map(|response| response.status());
        assert!(
            matches!(answer, Err(ClientError::Broken(_))),
            "{status}: {answer:?}"
        );
    }
}

#[tokio::test]
async fn test_status_outside_http_is_no_answer_on_a_connection() {
    for status in UNSOUND {
        let address = serve_status(status).await;
        let connection = HttpConnection::open(address, CONNECT_TIMEOUT).await;
        let mut connection = connection.unwrap_or_else(|err| panic!("{err}"));
        let answer = connection.send(upload(address, 1)).await;
        let answer = answer.map(|response| response.status());
        assert!(
            matches!(answer, Err(ClientError::Broken(_))),
            "{status}: {answer:?}"
        );
    }
}

#[tokio::test]
async fn test_status_outside_http_is_no_answer_of_an_engine() {
    for status in UNSOUND {
        let address = serve_status(status).await;
        let call = GenerateCall {
            request: RequestId::new("r1"),
            endpoint: Endpoint::Chat,
            body: serde_json::json!({ "model": "demo", "messages": [] }),
            resume: None,
            fresh_connection: false,
        };
        let engine = HttpEngine::new(HttpClient::new());
        let answer = engine.generate(address, &call).await.map(|_| ());
        assert!(
            matches!(answer, Err(EngineError::Broken(_))),
            "{status}: {answer:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_answer_reset_during_an_upload_is_never_complete() {
    let address = serve_resets().await;
    let client = Arc::new(HttpClient::new());
    let (mut whole, mut begun) = (0, 0);
    for _ in 0..400 {
        if let Ok(response) = client.send(upload(address, UPLOAD_BYTES)).await {
            begun += 1;
            whole += usize::from(collect(response.into_body()).await.is_ok());
        }
    }
    for _ in 0..400 {
        let connection = HttpConnection::open(address, CONNECT_TIMEOUT).await;
        let Ok(mut connection) = connection else {
            continue;
        };
        if let Ok(response) = connection.send(upload(address, UPLOAD_BYTES)).await {
            begun += 1;
            whole += usize::from(response.into_body().collect().await.is_ok());
        }
    }
    for _ in 0..200 {
        let body = Bytes::from(vec![b'x'; UPLOAD_BYTES]);
        let url = format!("http://{address}/upload");
        whole += usize::from(client.call(Method::POST, &url, body).await.is_ok());
    }
    assert_eq!(whole, 0, "of {begun} answers that had begun");
    assert!(begun > 0, "some answers begin");
}
