//! Answers of engines that break off anywhere, read through the engine client.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use futures_util::StreamExt;
use parsleywall::edges::engine::Endpoint;
use parsleywall::edges::engine::GenerateCall;
use parsleywall::edges::engine::GenerateEvent;
use parsleywall::edges::engine::HttpEngine;
use parsleywall::edges::engine::ModelEngine;
use parsleywall::http::client::HttpClient;
use parsleywall::ids::RequestId;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const CHUNKED_HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const PLAIN_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
const EVENTS: &str = "data: {\"choices\":[]}\n\ndata: [DONE]\n\n";

/// Serves the bytes in `answer` to each request, and closes the connection.
async fn serve(answer: Arc<Mutex<Vec<u8>>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let bytes = answer.lock().unwrap().clone();
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).await;
            let _ = stream.write_all(&bytes).await;
        }
    });
    address
}

/// Whether the answer arrives whole: with its last event.
async fn is_complete(engine: &HttpEngine, address: SocketAddr) -> bool {
    let call = GenerateCall {
        request: RequestId::new("r1"),
        endpoint: Endpoint::Chat,
        body: serde_json::json!({ "model": "demo", "messages": [] }),
        resume: None,
        fresh_connection: true,
    };
    let Ok(mut events) = engine.generate(address, &call).await else {
        return false;
    };
    let mut is_done = false;
    while let Some(event) = events.next().await {
        match event {
            Ok(GenerateEvent::Done) => is_done = true,
            Ok(GenerateEvent::Chunk(_)) => {}
            Err(_) => return false,
        }
    }
    is_done
}

#[tokio::test]
async fn test_answer_of_an_engine_that_breaks_off_is_never_complete() {
    let chunk = format!("{:x}\r\n{EVENTS}\r\n0\r\n\r\n", EVENTS.len());
    let answer = Arc::new(Mutex::new(Vec::new()));
    let address = serve(answer.clone()).await;
    let engine = HttpEngine::new(HttpClient::new());
    for (head, body) in [(CHUNKED_HEAD, chunk.as_str()), (PLAIN_HEAD, EVENTS)] {
        let whole = format!("{head}{body}").into_bytes();
        *answer.lock().unwrap() = whole.clone();
        assert!(is_complete(&engine, address).await);
        let last_event = whole.len() - body.len() + body.find("[DONE]").unwrap() + 6;
        for end in 0..last_event {
            *answer.lock().unwrap() = whole[..end].to_vec();
            assert!(!is_complete(&engine, address).await, "cut at byte {end}");
        }
    }
}
