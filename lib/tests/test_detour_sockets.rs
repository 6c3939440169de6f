//! Detours over connections between hosts.

mod detour_fleet;
mod opaque;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use detour_fleet::CutKind;
use detour_fleet::DetourFleet;
use detour_fleet::EVENTS;
use detour_fleet::GAP;
use detour_fleet::read_events;
use detour_fleet::stream;
use futures_util::StreamExt;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use opaque::all_events;
use opaque::answer_name;
use opaque::read_stream;
use opaque::request;
use opaque::route;
use parsleywall::balancer::UpstreamChoice;
use parsleywall::counters::CounterSet;
use parsleywall::detour::DetourClient;
use parsleywall::detour::DetourLink;
use parsleywall::event_log::EventLog;
use parsleywall::ids::HostId;
use parsleywall::limits::LimitSignal;
use parsleywall::peers::PeerClient;
use parsleywall::peers::PeerHandlers;
use parsleywall::peers::PeerServer;
use parsleywall::reach::ProbeTarget;
use parsleywall::reach::UnreachedCause;
use parsleywall::relay::ExecutionReport;
use parsleywall::relay::RelayAnswer;
use parsleywall::relay::RelayRequest;
use parsleywall::relay::SendError;
use parsleywall::relay::SendOptions;
use parsleywall::relay::UpstreamAnswer;
use parsleywall::relay::UpstreamTransport;
use parsleywall::routes::RouteKind;
use parsleywall_standins::opaque::OpaqueUpstreams;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const SECRET: &str = "secret";
const RESUMABLE: RouteKind = RouteKind::Stream { resumable: true };

/// Answers whole requests with their own bodies, and streams as [`OpaqueUpstreams`] does.
struct EchoTransport(Arc<OpaqueUpstreams>);

#[async_trait]
impl UpstreamTransport for EchoTransport {
    async fn send(
        &self,
        to: &UpstreamChoice,
        request: &RelayRequest,
        options: SendOptions,
    ) -> Result<UpstreamAnswer, SendError> {
        let answer = self.0.send(to, request, options).await?;
        if request.route.kind != RouteKind::Idempotent {
            return Ok(answer);
        }
        let mut headers = HeaderMap::new();
        let values = request.headers.get_all("x-asked");
        for value in values {
            headers.append("x-told", value.clone());
        }
        let budget_ms = options.budget.as_millis() as u64;
        headers.insert("x-budget-ms", HeaderValue::from(budget_ms));
        let body = Ok(request.body.clone());
        Ok(UpstreamAnswer {
            status: StatusCode::IM_A_TEAPOT,
            headers,
            executed: ExecutionReport::Maybe,
            is_signed: true,
            is_leaving: false,
            limit: LimitSignal::Unlimited,
            is_stream: false,
            body: futures_util::stream::iter([body]).boxed(),
        })
    }

    async fn refuses_connections(&self, to: &UpstreamChoice) -> bool {
        self.0.refuses_connections(to).await
    }

    async fn probe(&self, _: &ProbeTarget) -> Result<(), UnreachedCause> {
        Ok(())
    }
}

struct SocketFleet {
    hosts: DetourFleet,
    clients: Vec<DetourClient>,
    stops: Vec<CancellationToken>,
}

/// Starts hosts that listen at ports of their own; the first one is cut off from the upstreams.
async fn start(count: usize) -> SocketFleet {
    start_with(count, |_| SECRET).await
}

async fn start_with(count: usize, secret: fn(usize) -> &'static str) -> SocketFleet {
    let mut listeners = Vec::new();
    for _ in 0..count {
        listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
    }
    let addresses: Vec<SocketAddr> = listeners
        .iter()
        .map(|listener| listener.local_addr().unwrap())
        .collect();
    let upstreams = OpaqueUpstreams::new(EVENTS, Duration::from_millis(20), GAP);
    let transport = Arc::new(EchoTransport(upstreams.clone()));
    let hosts =
        DetourFleet::start_at(addresses, transport, upstreams, |_| EventLog::disabled()).await;
    let (mut clients, mut stops) = (Vec::new(), Vec::new());
    for (number, listener) in listeners.into_iter().enumerate() {
        let peers = PeerClient::new(
            HostId::new(format!("host-{number}")),
            secret(number).to_owned(),
        );
        let client = DetourClient::new(peers);
        hosts.relays[number]
            .detours()
            .set_link(Arc::new(client.clone()));
        clients.push(client);
        let counters = Arc::new(CounterSet::default());
        let server = PeerServer::new(listener, secret(number).to_owned(), counters)
            .with_detours(hosts.servers[number].server.clone());
        let stop = CancellationToken::new();
        tokio::spawn(server.run(stop.clone(), PeerHandlers::new()));
        stops.push(stop);
    }
    hosts.cut(&[0], CutKind::Hangs).await;
    SocketFleet {
        hosts,
        clients,
        stops,
    }
}

/// Waits until no upstream works on any request.
async fn await_idle(hosts: &DetourFleet) {
    while hosts.running() > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Bodies of many parts, headers that come twice or are not text, and the time left arrive as they are.
#[tokio::test]
async fn test_whole_answers_come_unchanged() {
    let fleet = start(2).await;
    for bytes in [0, 1, 3_000_000] {
        let body: Vec<u8> = (0..bytes).map(|at: u32| (at * 31 % 251) as u8).collect();
        let mut asked = request("r", route(RouteKind::Idempotent, 2));
        asked.body = Bytes::from(body.clone());
        let odd = HeaderValue::from_bytes(b"caf\xe9").unwrap();
        asked
            .headers
            .append("x-asked", HeaderValue::from_static("one"));
        asked.headers.append("x-asked", odd.clone());
        let answer = fleet.hosts.relays[0].relay(asked).await;
        let RelayAnswer::Whole {
            status,
            headers,
            body: answered,
        } = answer
        else {
            panic!("no whole answer: {}", answer_name(&answer));
        };
        assert_eq!(status, StatusCode::IM_A_TEAPOT);
        assert!(answered == body, "{bytes} bytes");
        let told: Vec<&HeaderValue> = headers.get_all("x-told").iter().collect();
        assert_eq!(told, vec![&HeaderValue::from_static("one"), &odd]);
        let budget: u64 = headers["x-budget-ms"].to_str().unwrap().parse().unwrap();
        assert!(budget <= 5_000, "{budget}");
    }
}

/// One connection carries request after request, and more are opened for requests beside one another.
#[tokio::test]
async fn test_connections_are_used_again() {
    let fleet = start(2).await;
    for number in 0..5 {
        let id = format!("r{number}");
        let answer = fleet.hosts.relays[0].relay(request(&id, route(RESUMABLE, 2)));
        let (text, is_complete) = read_stream(answer.await).await;
        assert!(is_complete);
        assert_eq!(text, all_events(&id, EVENTS));
        assert_eq!(fleet.clients[0].idle_count(), 1);
    }
    let relay = &fleet.hosts.relays[0];
    let answers = (0..6).map(|number| async move {
        let id = format!("s{number}");
        let answer = relay.relay(request(&id, route(RESUMABLE, 2))).await;
        assert_eq!(read_stream(answer).await.0, all_events(&id, EVENTS));
    });
    futures_util::future::join_all(answers).await;
    assert_eq!(fleet.clients[0].idle_count(), 6);
}

/// The connection of a request whose caller has left is closed, which ends the work.
#[tokio::test]
async fn test_caller_that_leaves_closes_the_connection() {
    let fleet = start(2).await;
    let answer = fleet.hosts.relays[0].relay(request("r", route(RESUMABLE, 2)));
    let mut body = stream(answer.await);
    read_events(&mut body, 2).await;
    assert_eq!(fleet.hosts.running(), 1);
    drop(body);
    await_idle(&fleet.hosts).await;
    assert_eq!(fleet.clients[0].idle_count(), 0);
    assert_eq!(fleet.hosts.upstreams.runs("r").len(), 1);
}

/// A stream goes on through another host when the first one ends.
#[tokio::test]
async fn test_stream_goes_on_when_the_connection_breaks() {
    let fleet = start(3).await;
    let answer = fleet.hosts.relays[0].relay(request("r", route(RESUMABLE, 2)));
    let mut body = stream(answer.await);
    let mut text = read_events(&mut body, 3).await;
    let taking = fleet.hosts.taking_hosts()[0];
    fleet.stops[taking].cancel();
    while let Some(event) = body.next().await {
        text.push_str(std::str::from_utf8(&event.unwrap()).unwrap());
    }
    assert_eq!(text, all_events("r", EVENTS));
    assert_eq!(fleet.hosts.upstreams.runs("r").len(), 2);
}

/// An idle connection that the other host has closed carries no request.
#[tokio::test]
async fn test_closed_connection_is_not_used_again() {
    let fleet = start(3).await;
    let once = || route(RouteKind::NonIdempotent, 1);
    for number in 0..6 {
        let id = format!("r{number}");
        let answer = fleet.hosts.relays[0].relay(request(&id, once())).await;
        assert_eq!(read_stream(answer).await.0, all_events(&id, EVENTS));
    }
    fleet.stops[1].cancel();
    // Lets the ends of the connections arrive.
    tokio::time::sleep(Duration::from_millis(100)).await;
    for number in 0..6 {
        let id = format!("s{number}");
        let answer = fleet.hosts.relays[0].relay(request(&id, once())).await;
        assert_eq!(read_stream(answer).await.0, all_events(&id, EVENTS));
        assert_eq!(fleet.hosts.upstreams.runs(&id).len(), 1);
    }
}

/// A host that doesn't know the secret gets nothing done, and nothing is sent.
#[tokio::test]
async fn test_host_without_the_secret_is_refused() {
    let secret = |number| match number {
        0 => "another secret",
        _ => SECRET,
    };
    let fleet = start_with(2, secret).await;
    let answer = fleet.hosts.relays[0].relay(request("r", route(RESUMABLE, 2)));
    let answer = answer.await;
    assert!(
        matches!(answer, RelayAnswer::Refused { .. }),
        "{}",
        answer_name(&answer)
    );
    assert_eq!(fleet.hosts.upstreams.attempts(), Vec::new());
}

/// A host of an earlier release accepts every connection as one for calls; no detour is begun on it.
#[tokio::test]
async fn test_host_that_knows_no_detours_is_sent_none() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(tokio_tungstenite::accept_async(stream));
        }
    });
    let peers = PeerClient::new(HostId::new("host"), SECRET.to_owned());
    let opened = DetourClient::new(peers).open(address).await;
    assert!(opened.is_err());
}
