//! Tests of keep-alive time-outs, graceful shutdown and clients that stop reading.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::http::pools::KEEP_ALIVE;
use crate::http::pools::MAX_IDLE_TIME;
use crate::http::pools::MIN_IDLE_TIME;
use crate::http::pools::idle_time;
use crate::http::server::InFlightRequests;
use crate::http::server::ServerConfig;
use crate::http::server::ServerShutdown;
use crate::http::server::serve;

const GRACE: Duration = Duration::from_secs(5);

fn idle_after(stated: &'static str) -> Duration {
    let mut answer = HeaderMap::new();
    answer.insert(KEEP_ALIVE, HeaderValue::from_static(stated));
    idle_time(&answer)
}

#[test]
fn test_idle_time_ends_before_the_server_time_out() {
    assert_eq!(idle_after("timeout=10"), Duration::from_secs(9));
    assert_eq!(idle_after("max=5, timeout=3"), Duration::from_secs(2));
    assert_eq!(idle_after("timeout=86400"), MAX_IDLE_TIME);
}

#[test]
fn test_idle_time_is_short_without_a_valid_time_out() {
    assert_eq!(idle_time(&HeaderMap::new()), MIN_IDLE_TIME);
    for stated in ["timeout=1", "timeout=0", "timeout=-4", "timeout", "close"] {
        assert_eq!(idle_after(stated), MIN_IDLE_TIME, "{stated}");
    }
}

/// Guards against a shutdown that ends while no request is in flight for a moment: a connection
/// that was accepted before the listener closed sends its request only afterwards.
#[tokio::test(start_paused = true)]
async fn test_finish_waits_for_a_late_request() {
    let (stop, open) = (ServerShutdown::default(), InFlightRequests::default());
    let start = Instant::now();
    let (coming, closing) = (open.clone(), stop.closing.clone());
    let request = tokio::spawn(async move {
        closing.cancelled().await;
        tokio::time::sleep(Duration::from_millis(30)).await;
        let running = coming.enter();
        tokio::time::sleep(Duration::from_millis(900)).await;
        drop(running);
    });
    stop.finish(&open, start + GRACE).await;
    assert!(request.is_finished(), "after {:?}", start.elapsed());
}

#[tokio::test(start_paused = true)]
async fn test_finish_ends_with_the_last_connection_or_at_the_deadline() {
    let (stop, open) = (ServerShutdown::default(), InFlightRequests::default());
    let start = Instant::now();
    let running = open.enter();
    stop.finish(&open, start + GRACE).await;
    assert!(start.elapsed() >= GRACE);
    drop(running);
    let closed = Instant::now();
    stop.closed.cancel();
    stop.finish(&open, closed + GRACE).await;
    assert_eq!(closed.elapsed(), Duration::ZERO);
}

/// Guards against clients that send a request and never read the response: without a write
/// time-out, each of them would keep its request in flight for ever.
#[tokio::test]
async fn test_response_ends_when_its_client_stops_reading() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let plan = ServerConfig {
        write_timeout: Duration::from_millis(100),
        ..ServerConfig::default()
    };
    let (stop, open) = (ServerShutdown::default(), InFlightRequests::default());
    let serving = serve(
        listener,
        move || plan,
        stop,
        open.clone(),
        |_| async {
            let part = || Ok(Frame::data(Bytes::from_static(&[b'x'; 4096])));
            let endless = stream::repeat_with(part);
            Response::new(StreamBody::new(endless).boxed_unsync())
        },
    );
    tokio::spawn(serving);
    let mut caller = TcpStream::connect(address).await.unwrap();
    let request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    caller.write_all(request).await.unwrap();
    caller.readable().await.unwrap();
    assert_eq!(open.count(), 1);
    while open.count() > 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
