//! A take-up of a stream ends the run before it, at whatever host that run is.

mod opaque;

use std::io::Write;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use opaque::read_stream;
use opaque::request;
use opaque::route;
use opaque::spawn_origin_exchange;
use opaque::spawn_partial_exchange;
use opaque::upstream_with;
use parsleywall::event_log::EventLog;
use parsleywall::ids::RequestId;
use parsleywall::ids::ServiceName;
use parsleywall::origins::VersionHistory;
use parsleywall::relay::RelayAnswer;
use parsleywall::relay::RelayRequest;
use parsleywall::relay::RequestRelay;
use parsleywall::routes::RouteKind;
use parsleywall::trace::EventTrace;
use parsleywall_standins::opaque::OpaqueBehaviour;
use parsleywall_standins::opaque::OpaqueUpstreams;
use tokio::time::Instant;

const RESUMABLE: RouteKind = RouteKind::Stream { resumable: true };
const EVENTS: u64 = 100;
const HOSTS: usize = 6;
const UPSTREAMS: [&str; 3] = ["v1-a", "v1-b", "v1-c"];
/// Time within which the run before has to end.
const END_TIME: Duration = Duration::from_millis(400);

type StreamBody = BoxStream<'static, Result<bytes::Bytes, std::io::Error>>;

fn upstreams() -> Arc<OpaqueUpstreams> {
    OpaqueUpstreams::new(EVENTS, Duration::from_millis(60), Duration::from_millis(20))
}

fn fleet(transport: &Arc<OpaqueUpstreams>) -> Vec<RequestRelay> {
    logged_fleet(transport, |_| EventLog::disabled())
}

/// Relays of a fleet that use the same upstreams, each with the log that `log` returns for its name.
fn logged_fleet(
    transport: &Arc<OpaqueUpstreams>,
    log: impl Fn(&str) -> EventLog,
) -> Vec<RequestRelay> {
    let names: Vec<String> = (0..HOSTS).map(|number| format!("host-{number}")).collect();
    let relays = names.iter().map(|name| {
        let relay = opaque::new_logged_relay(name, transport.clone(), &[], log(name));
        {
            let mut state = relay.balancer().state();
            state.set_hosts(names.iter().map(String::as_str));
            for upstream in UPSTREAMS {
                state.put(upstream_with(upstream, "v1"));
            }
        }
        relay.origins().load_history(&VersionHistory::default());
        relay
    });
    relays.collect()
}

fn take_up(id: &str, began: &str, after: u64) -> RelayRequest {
    RelayRequest {
        resume_after: Some(after),
        resumes: Some(RequestId::new(began)),
        ..request(id, route(RESUMABLE, 2))
    }
}

/// Body of a stream of which `events` events have been read.
async fn read_events(answer: RelayAnswer, events: usize) -> StreamBody {
    let RelayAnswer::Stream { mut body, .. } = answer else {
        panic!("no stream");
    };
    for _ in 0..events {
        body.next().await.unwrap().unwrap();
    }
    body
}

fn running(transport: &OpaqueUpstreams) -> usize {
    let counts = UPSTREAMS.iter().map(|name| transport.running(name));
    counts.sum()
}

/// Guards against a first run that goes on beside its take-up, as its caller's connection is still open
/// though the caller is gone (issue 44).
#[tokio::test(start_paused = true)]
async fn test_take_up_ends_the_run_of_a_silent_caller() {
    for is_polled in [false, true] {
        let transport = upstreams();
        let relays = fleet(&transport);
        let exchange = spawn_origin_exchange(relays.clone());
        let first = relays[0].relay(request("r1", route(RESUMABLE, 2))).await;
        let first = read_events(first, 5).await;
        let (held, reading) = match is_polled {
            true => (None, Some(tokio::spawn(is_broken_off(first)))),
            false => (Some(first), None),
        };
        tokio::time::sleep(Duration::from_millis(40)).await;
        let second = relays[1].relay(take_up("t1", "r1", 5)).await;
        let second = tokio::spawn(read_stream(second));
        tokio::time::sleep(END_TIME).await;
        assert_eq!(running(&transport), 1, "polled: {is_polled}");
        assert!(second.await.unwrap().1);
        let is_broken_off = match (held, reading) {
            (Some(body), _) => is_broken_off(body).await,
            (None, reading) => reading.unwrap().await.unwrap(),
        };
        assert!(is_broken_off, "an answer that ends early is not complete");
        exchange.abort();
    }
}

/// Begins the stream `id` at `relay` and returns its body after five events.
async fn begin(relay: &RequestRelay, id: &str) -> StreamBody {
    let answer = relay.relay(request(id, route(RESUMABLE, 2))).await;
    read_events(answer, 5).await
}

/// Online requests that a host counts at the upstreams.
fn online(relay: &RequestRelay) -> u32 {
    let state = relay.balancer().state();
    state
        .online_capacity(&ServiceName::new("desk"), Instant::now())
        .1
}

async fn is_broken_off(mut body: StreamBody) -> bool {
    while let Some(part) = body.next().await {
        if part.is_err() {
            return body.next().await.is_none();
        }
    }
    false
}

#[tokio::test(start_paused = true)]
async fn test_third_attempt_ends_the_second_run() {
    let transport = upstreams();
    let relays = fleet(&transport);
    let exchange = spawn_origin_exchange(relays.clone());
    // The third attempt comes to another host, to the first one, and to the second one again.
    for (number, third) in [3, 0, 1].into_iter().enumerate() {
        let [began, next, last] = ["r", "t", "u"].map(|name| format!("{name}{number}"));
        let first = begin(&relays[0], &began).await;
        tokio::time::sleep(Duration::from_millis(40)).await;
        let second = relays[1].relay(take_up(&next, &began, 5)).await;
        let second = read_events(second, 5).await;
        let third = relays[third].relay(take_up(&last, &began, 10)).await;
        let third = read_events(third, 1).await;
        tokio::time::sleep(Duration::from_millis(40)).await;
        assert_eq!(running(&transport), 1);
        let held: u32 = relays.iter().map(online).sum();
        assert_eq!(held, 1, "slots are free at once");
        assert!(is_broken_off(first).await);
        assert!(is_broken_off(second).await);
        assert!(!is_broken_off(third).await);
    }
    exchange.abort();
}

#[tokio::test(start_paused = true)]
async fn test_take_up_at_the_same_host_ends_the_run_before() {
    let transport = upstreams();
    let relays = fleet(&transport);
    let exchange = spawn_origin_exchange(relays.clone());
    let first = begin(&relays[0], "r1").await;
    let second = relays[0].relay(take_up("t1", "r1", 5)).await;
    assert_eq!(running(&transport), 1);
    assert!(is_broken_off(first).await);
    assert!(read_stream(second).await.1);
    exchange.abort();
}

/// A caller that names the stream before but has received none of it begins anew.
#[tokio::test(start_paused = true)]
async fn test_request_that_begins_anew_ends_the_run_that_it_names() {
    let transport = upstreams();
    let relays = fleet(&transport);
    let exchange = spawn_origin_exchange(relays.clone());
    let first = begin(&relays[0], "r1").await;
    let anew = RelayRequest {
        resumes: Some(RequestId::new("r1")),
        ..request("t1", route(RESUMABLE, 2))
    };
    let second = relays[0].relay(anew).await;
    assert_eq!(running(&transport), 1);
    assert!(is_broken_off(first).await);
    let second = read_events(second, 5).await;
    tokio::time::sleep(Duration::from_millis(40)).await;
    // Its first event is one of its own, by which it is taken up.
    let third = relays[2].relay(take_up("u1", "t1", 5)).await;
    assert!(read_stream(third).await.1);
    assert!(is_broken_off(second).await);
    exchange.abort();
}

/// The run before has not begun its answer yet.
#[tokio::test(start_paused = true)]
async fn test_take_up_that_waits_for_its_first_event_is_ended_by_the_next() {
    let transport = upstreams();
    let relays = fleet(&transport);
    let exchange = spawn_origin_exchange(relays.clone());
    let first = begin(&relays[0], "r1").await;
    tokio::time::sleep(Duration::from_millis(40)).await;
    for name in UPSTREAMS {
        transport.set(name, OpaqueBehaviour::Dark);
    }
    let relay = relays[1].clone();
    let second = tokio::spawn(async move { relay.relay(take_up("t1", "r1", 5)).await });
    tokio::time::sleep(Duration::from_millis(40)).await;
    for name in UPSTREAMS {
        transport.set(name, OpaqueBehaviour::Serves);
    }
    let third = relays[2].relay(take_up("u1", "r1", 5)).await;
    let third = read_events(third, 1).await;
    assert!(matches!(second.await.unwrap(), RelayAnswer::Lost));
    assert_eq!(transport.runs("t1").len(), 1, "it is not sent again");
    assert!(is_broken_off(first).await);
    assert!(!is_broken_off(third).await);
    exchange.abort();
}

/// The version of the stream is gone, and the caller has left the run before all the same.
#[tokio::test(start_paused = true)]
async fn test_refused_take_up_ends_the_run_before() {
    let transport = upstreams();
    let relays = fleet(&transport);
    let exchange = spawn_origin_exchange(relays.clone());
    let first = begin(&relays[0], "r1").await;
    tokio::time::sleep(Duration::from_millis(40)).await;
    {
        let mut state = relays[1].balancer().state();
        for name in UPSTREAMS {
            state.put(upstream_with(name, "v2"));
        }
    }
    let answer = relays[1].relay(take_up("t1", "r1", 5)).await;
    assert!(matches!(answer, RelayAnswer::Refused { .. }));
    tokio::time::sleep(END_TIME).await;
    assert_eq!(running(&transport), 0);
    assert!(is_broken_off(first).await);
    exchange.abort();
}

/// The time until a take-up is sent is that of the question for the version, whether the host of the run
/// before answers or not, and nothing where the version is known.
#[tokio::test(start_paused = true)]
async fn test_take_up_is_sent_without_waiting_for_the_end_of_the_run_before() {
    for answers in [true, false] {
        let transport = upstreams();
        let relays = fleet(&transport);
        let exchange = spawn_partial_exchange(relays.clone(), answers);
        let _first = begin(&relays[0], "r1").await;
        tokio::time::sleep(Duration::from_millis(41)).await;
        for (host, id, longest) in [(1, "t1", 10), (1, "t2", 0), (0, "t3", 0)] {
            let asked = Instant::now();
            let answer = relays[host].relay(take_up(id, "r1", 5)).await;
            let sent = transport.runs(id)[0].at - asked;
            assert!(sent <= Duration::from_millis(longest), "{id}: {sent:?}");
            drop(answer);
        }
        exchange.abort();
    }
}

/// Guards against a run that holds its upstream beyond its deadline, as its caller does not read.
#[tokio::test(start_paused = true)]
async fn test_run_of_a_caller_that_does_not_read_ends_at_its_deadline() {
    for is_resumable in [true, false] {
        let transport = upstreams();
        let relays = fleet(&transport);
        let kind = RouteKind::Stream {
            resumable: is_resumable,
        };
        let mut asked = request("r1", route(kind, 2));
        asked.deadline = Instant::now() + Duration::from_secs(1);
        let body = read_events(relays[0].relay(asked).await, 5).await;
        tokio::time::sleep(Duration::from_millis(700)).await;
        assert_eq!(running(&transport), 1);
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(running(&transport), 0, "resumable: {is_resumable}");
        assert_eq!(online(&relays[0]), 0);
        assert!(is_broken_off(body).await);
    }
}

struct ChannelOutput(Sender<String>);

impl Write for ChannelOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let _ = self.0.send(text);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Reads log lines until `count` of them tell of the ends of requests, or of take-ups.
fn read_log(lines: &Receiver<String>, count: usize) -> EventTrace {
    let mut text = String::new();
    let is_end = |line: &&str| line.contains("request_ended") || line.contains("stream_taken_up");
    while text.lines().filter(is_end).count() < count {
        text.push_str(&lines.recv().unwrap());
    }
    EventTrace::read(text.lines())
}

#[tokio::test(start_paused = true)]
async fn test_logs_show_a_take_up_at_both_hosts() {
    let (output, lines) = channel();
    let transport = upstreams();
    let relays = logged_fleet(&transport, |name| {
        EventLog::new(name.to_owned(), 1, ChannelOutput(output.clone()))
    });
    let exchange = spawn_origin_exchange(relays.clone());
    let _first = begin(&relays[0], "r1").await;
    tokio::time::sleep(Duration::from_millis(40)).await;
    let second = relays[1].relay(take_up("t1", "r1", 5)).await;
    assert!(read_stream(second).await.1);
    let trace = read_log(&lines, 3);
    let events = trace.events_about("r1");
    let line = |name: &str| *events.iter().find(|line| line.event == name).unwrap();
    let given_up = line("stream_given_up");
    assert_eq!(given_up.host, "host-0");
    assert_eq!(given_up.text("by_host"), Some("host-1"));
    assert_eq!(given_up.number("events"), Some(5));
    assert_eq!(line("request_ended").text("outcome"), Some("taken_up"));
    let taken_up = line("stream_taken_up");
    assert_eq!(taken_up.host, "host-1");
    assert_eq!(taken_up.text("request"), Some("t1"));
    assert_eq!(taken_up.text("before_host"), Some("host-0"));
    assert_eq!(taken_up.text("outcome"), Some("ended"));
    let is_fault = |name: &str| trace.lines().iter().any(|line| line.event == name);
    assert!(!is_fault("sending_failed"), "the upstream is sound");
    exchange.abort();
}

/// A first host that can't be reached, one whose run has ended, and none that is known.
#[tokio::test(start_paused = true)]
async fn test_outcomes_of_take_ups_are_counted() {
    let transport = upstreams();
    let (output, lines) = channel();
    let relays = logged_fleet(&transport, |name| {
        EventLog::new(name.to_owned(), 1, ChannelOutput(output.clone()))
    });
    let exchange = spawn_partial_exchange(relays.clone(), false);
    let _first = begin(&relays[0], "r1").await;
    tokio::time::sleep(Duration::from_millis(40)).await;
    let answer = relays[1].relay(take_up("t1", "r1", 5)).await;
    assert!(read_stream(answer).await.1);
    exchange.abort();
    let exchange = spawn_origin_exchange(relays.clone());
    drop(begin(&relays[0], "r2").await);
    tokio::time::sleep(Duration::from_millis(40)).await;
    for (id, began) in [("t2", "r2"), ("t3", "r3")] {
        let answer = relays[1].relay(take_up(id, began, 5)).await;
        assert!(read_stream(answer).await.1);
    }
    let trace = read_log(&lines, 7);
    let outcome = |id: &str| {
        let lines = trace.events_about(id).into_iter();
        let mut taken_up = lines.filter(|line| line.event == "stream_taken_up");
        let line = taken_up.next().unwrap();
        line.text("outcome").unwrap().to_owned()
    };
    assert_eq!(outcome("t1"), "unanswered");
    assert_eq!(outcome("t2"), "gone");
    assert_eq!(outcome("t3"), "unknown");
    exchange.abort();
}

/// Guards against a first run that goes on beside its take-up: its process was displaced under its name, and
/// finishes what is in flight.
#[tokio::test(start_paused = true)]
async fn test_take_up_ends_the_run_of_a_displaced_process() {
    for at in [1, 5] {
        let transport = upstreams();
        let mut relays = fleet(&transport);
        let exchange = spawn_origin_exchange(relays.clone());
        let _silent = begin(&relays[0], "r1").await;
        tokio::time::sleep(Duration::from_millis(40)).await;
        // The second process of the name; the displaced one exchanges nothing any more.
        exchange.abort();
        let displaced = relays.remove(0);
        let again = fleet(&transport).swap_remove(0);
        relays.push(again);
        let exchange = spawn_origin_exchange(relays.clone());
        let second = relays[at].relay(take_up("t1", "r1", 5)).await;
        let _second = read_events(second, 1).await;
        tokio::time::sleep(END_TIME).await;
        assert_eq!(running(&transport), 1, "take-up at {at}");
        drop(displaced);
        exchange.abort();
    }
}
