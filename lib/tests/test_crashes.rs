//! Tests of requests that crash the upstreams that run them: how many upstreams end, and what the
//! callers of other requests get.

mod opaque;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use opaque::answer_name;
use opaque::new_relay;
use opaque::read_stream;
use opaque::request;
use opaque::route;
use parsleywall::relay::RelayAnswer;
use parsleywall::relay::RequestRelay;
use parsleywall::routes::RouteKind;
use parsleywall_standins::opaque::OpaqueUpstreams;

const RESUMABLE: RouteKind = RouteKind::Stream { resumable: true };
const HOSTS: [&str; 3] = ["host-a", "host-b", "host-c"];
const UPSTREAMS: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
const EVENTS: u64 = 20;

/// Hosts that share upstreams, some of whose requests crash them.
struct CrashFleet {
    transport: Arc<OpaqueUpstreams>,
    relays: Vec<RequestRelay>,
    sent: usize,
}

impl CrashFleet {
    fn new() -> Self {
        let (first, gap) = (Duration::from_millis(60), Duration::from_millis(20));
        let transport = OpaqueUpstreams::new(EVENTS, first, gap);
        let relays = HOSTS
            .iter()
            .map(|host| new_relay(host, transport.clone(), &UPSTREAMS))
            .collect();
        Self {
            transport,
            relays,
            sent: 0,
        }
    }

    /// Sends a copy of the request with `body` to the next host, and returns the name of its answer
    /// and whether that was complete.
    async fn send(&mut self, body: &Bytes) -> (&'static str, bool) {
        let relay = self.relays[self.sent % self.relays.len()].clone();
        self.sent += 1;
        let id = format!("r{}", self.sent);
        let mut request = request(&id, route(RESUMABLE, 2));
        request.body = body.clone();
        let answer = relay.relay(request).await;
        let name = answer_name(&answer);
        match answer {
            RelayAnswer::Stream { .. } => (name, read_stream(answer).await.1),
            _ => (name, false),
        }
    }
}

#[tokio::test(start_paused = true)]
async fn test_request_that_crashes_upstreams_is_not_sent_to_further_ones() {
    let mut fleet = CrashFleet::new();
    let deadly = Bytes::from_static(b"deadly");
    fleet.transport.set_deadly(&deadly);
    for _ in 0..20 {
        assert!(!fleet.send(&deadly).await.1);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let crashes = fleet.transport.crashes();
    assert!((1..=4).contains(&crashes), "{crashes}");
}
