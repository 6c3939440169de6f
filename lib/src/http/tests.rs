//! Tests of kept connections and of the last requests at a stop.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use tokio::time::Instant;

use crate::http::pools::KEEP_ALIVE;
use crate::http::pools::LONGEST_IDLE;
use crate::http::pools::SHORT_IDLE;
use crate::http::pools::idle_time;
use crate::http::server::OpenRequests;
use crate::http::server::ServerStop;

const GRACE: Duration = Duration::from_secs(5);

fn idle_after(stated: &'static str) -> Duration {
    let mut answer = HeaderMap::new();
    answer.insert(KEEP_ALIVE, HeaderValue::from_static(stated));
    idle_time(&answer)
}

#[test]
fn test_idle_time_ends_before_the_servers() {
    assert_eq!(idle_after("timeout=10"), Duration::from_secs(9));
    assert_eq!(idle_after("max=5, timeout=3"), Duration::from_secs(2));
    assert_eq!(idle_after("timeout=86400"), LONGEST_IDLE);
}

#[test]
fn test_idle_time_is_short_where_none_is_stated() {
    assert_eq!(idle_time(&HeaderMap::new()), SHORT_IDLE);
    for stated in ["timeout=1", "timeout=0", "timeout=-4", "timeout", "close"] {
        assert_eq!(idle_after(stated), SHORT_IDLE, "{stated}");
    }
}

/// A connection that was accepted before the listener closed brings its request afterwards.
#[tokio::test(start_paused = true)]
async fn test_finish_waits_for_a_request_that_comes_late() {
    let (stop, open) = (ServerStop::default(), OpenRequests::default());
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
async fn test_finish_ends_with_the_last_connection_or_the_time() {
    let (stop, open) = (ServerStop::default(), OpenRequests::default());
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
