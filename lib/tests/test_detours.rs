//! Requests of a host that does not reach the upstreams go on through a host that does.

mod detour_fleet;
mod opaque;

use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::time::Duration;

use detour_fleet::CutKind;
use detour_fleet::DetourFleet;
use detour_fleet::EVENTS;
use detour_fleet::FIRST;
use detour_fleet::GAP;
use detour_fleet::STEP;
use detour_fleet::UPSTREAMS;
use detour_fleet::read_events;
use detour_fleet::stream;
use futures_util::StreamExt;
use opaque::all_events;
use opaque::answer_name;
use opaque::read_stream;
use opaque::request;
use opaque::route;
use opaque::upstream;
use parsleywall::balancer::upstream_tag;
use parsleywall::event_log::EventLog;
use parsleywall::ids::RequestId;
use parsleywall::ids::ServiceName;
use parsleywall::ids::SoftwareVersion;
use parsleywall::ids::UpstreamIncarnation;
use parsleywall::relay::RelayAnswer;
use parsleywall::relay::RelayRequest;
use parsleywall::routes::RouteKind;
use parsleywall::trace::EventTrace;
use parsleywall_standins::opaque::OpaqueBehaviour;
use tokio::time::Instant;

const RESUMABLE: RouteKind = RouteKind::Stream { resumable: true };

/// Events come as the upstream makes them, and the request counts at the host that sends it.
#[tokio::test(start_paused = true)]
async fn test_stream_of_a_stranded_host_comes_event_by_event() {
    for kind in [CutKind::Refuses, CutKind::Hangs] {
        let fleet = DetourFleet::start(3).await;
        fleet.cut(&[0], kind).await;
        let started = Instant::now();
        let answer = fleet.relays[0]
            .relay(request("r", route(RESUMABLE, 2)))
            .await;
        assert_eq!(started.elapsed(), FIRST, "{kind:?}");
        let mut body = stream(answer);
        let mut text = read_events(&mut body, 1).await;
        assert_eq!(fleet.online(0), 0);
        assert_eq!(fleet.online(1) + fleet.online(2), 1);
        for _ in 1..EVENTS {
            let asked = Instant::now();
            text.push_str(&read_events(&mut body, 1).await);
            assert_eq!(asked.elapsed(), GAP);
        }
        assert!(body.next().await.is_none());
        assert_eq!(text, all_events("r", EVENTS));
        assert_eq!(fleet.upstreams.runs("r").len(), 1);
        assert_eq!(fleet.attempts_while_cut(0), 0);
    }
}

#[tokio::test(start_paused = true)]
async fn test_caller_that_leaves_ends_the_work_at_once() {
    let fleet = DetourFleet::start(2).await;
    fleet.cut(&[0], CutKind::Hangs).await;
    let answer = fleet.relays[0]
        .relay(request("r", route(RESUMABLE, 2)))
        .await;
    let mut body = stream(answer);
    read_events(&mut body, 3).await;
    assert_eq!(fleet.running(), 1);
    drop(body);
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(fleet.running(), 0);
    assert_eq!(fleet.online(1), 0);
    assert_eq!(fleet.taking_hosts(), Vec::<usize>::new());
    // The same before its first event.
    let relay = fleet.relays[0].clone();
    let waiting = tokio::spawn(async move { relay.relay(request("s", route(RESUMABLE, 2))).await });
    tokio::time::sleep(FIRST / 2).await;
    assert_eq!(fleet.running(), 1);
    waiting.abort();
    tokio::time::sleep(Duration::from_millis(1)).await;
    assert_eq!(fleet.running(), 0);
}

/// A request that may run only once isn't sent again when the other host is lost.
#[tokio::test(start_paused = true)]
async fn test_request_that_may_not_be_repeated_runs_once() {
    let fleet = DetourFleet::start(3).await;
    fleet.cut(&[0], CutKind::Refuses).await;
    let once = || route(RouteKind::NonIdempotent, 3);
    let answer = fleet.relays[0].relay(request("r", once())).await;
    assert_eq!(read_stream(answer).await.0, all_events("r", EVENTS));
    let relay = fleet.relays[0].clone();
    let waiting = tokio::spawn(async move { relay.relay(request("s", once())).await });
    tokio::time::sleep(FIRST / 2).await;
    let [taking] = fleet.taking_hosts()[..] else {
        panic!("not one host");
    };
    fleet.kill(taking);
    assert!(matches!(waiting.await.unwrap(), RelayAnswer::Lost));
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(fleet.upstreams.runs("s").len(), 1);
}

/// A host that is stranded as well takes none, though this one doesn't know yet.
#[tokio::test(start_paused = true)]
async fn test_detour_is_never_taken_twice() {
    let fleet = DetourFleet::start(4).await;
    fleet.cut(&[0, 1, 2], CutKind::Refuses).await;
    for number in 0..20 {
        let id = format!("r{number}");
        let call = request(&id, route(RESUMABLE, 3));
        let answer = fleet.relays[0].relay(call).await;
        let mut body = stream(answer);
        read_events(&mut body, 1).await;
        assert_eq!(fleet.taking_hosts(), vec![3]);
    }
    // News of the others' reach that is too old: hosts 1 and 2 refuse.
    fleet.is_told.store(false, Ordering::Relaxed);
    let notice = fleet.relays[3].reach().own_notice(Instant::now());
    for host in ["host-1", "host-2"] {
        let now = Instant::now();
        fleet.relays[0]
            .reach()
            .apply_report(host, &[], &notice, now);
    }
    fleet.kill(3);
    let started = Instant::now();
    let answer = fleet.relays[0]
        .relay(request("s", route(RESUMABLE, 3)))
        .await;
    let RelayAnswer::Refused { retry_after, .. } = answer else {
        panic!("not refused: {}", answer_name(&answer));
    };
    assert!(retry_after > Duration::ZERO);
    assert_eq!(started.elapsed(), Duration::ZERO, "refused at once");
    assert_eq!(fleet.upstreams.runs("s").len(), 0);
    assert_eq!(fleet.attempts_while_cut(1) + fleet.attempts_while_cut(2), 0);
}

/// A host that shuts down refuses, and another one takes the request.
#[tokio::test(start_paused = true)]
async fn test_second_host_takes_what_the_first_refuses() {
    let fleet = DetourFleet::start(3).await;
    fleet.cut(&[0], CutKind::Hangs).await;
    fleet.relays[1].stop_gate().begin(Instant::now());
    for number in 0..20 {
        let id = format!("r{number}");
        let once = route(RouteKind::NonIdempotent, 1);
        let answer = fleet.relays[0].relay(request(&id, once)).await;
        assert_eq!(read_stream(answer).await.0, all_events(&id, EVENTS));
        assert_eq!(fleet.upstreams.runs(&id).len(), 1);
    }
}

/// The stream goes on after its last event, through another host.
#[tokio::test(start_paused = true)]
async fn test_stream_goes_on_when_the_other_host_is_lost() {
    let fleet = DetourFleet::start(3).await;
    fleet.cut(&[0], CutKind::Hangs).await;
    let answer = fleet.relays[0]
        .relay(request("r", route(RESUMABLE, 2)))
        .await;
    let mut body = stream(answer);
    let mut text = read_events(&mut body, 5).await;
    let [taking] = fleet.taking_hosts()[..] else {
        panic!("not one host");
    };
    fleet.kill(taking);
    text.push_str(&read_events(&mut body, EVENTS as usize - 5).await);
    assert!(body.next().await.is_none());
    assert_eq!(text, all_events("r", EVENTS));
    let runs = fleet.upstreams.runs("r");
    assert_eq!(runs.len(), 2);
    assert!(runs[1].resume_after >= Some(5));
    assert_ne!(fleet.upstreams.most_at_once("r"), 2, "one run at a time");
}

/// Upstreams that fail at the other host are replaced there, within the attempts of the route.
#[tokio::test(start_paused = true)]
async fn test_attempts_are_those_of_both_hosts() {
    let fleet = DetourFleet::start(2).await;
    fleet.cut(&[0], CutKind::Refuses).await;
    for name in UPSTREAMS {
        fleet.upstreams.set(name, OpaqueBehaviour::BreaksAfter(4));
    }
    let answer = fleet.relays[0]
        .relay(request("r", route(RESUMABLE, 2)))
        .await;
    let (text, is_complete) = read_stream(answer).await;
    assert!(!is_complete);
    assert_eq!(text, all_events("r", 8));
    assert_eq!(fleet.upstreams.runs("r").len(), 2);
}

/// A take-up at a third host ends the run that began through another one.
#[tokio::test(start_paused = true)]
async fn test_stream_of_a_stranded_host_is_taken_up_elsewhere() {
    let fleet = DetourFleet::start(4).await;
    fleet.cut(&[0], CutKind::Hangs).await;
    let answer = fleet.relays[0]
        .relay(request("r", route(RESUMABLE, 2)))
        .await;
    let mut body = stream(answer);
    read_events(&mut body, 5).await;
    tokio::time::sleep(Duration::from_millis(40)).await;
    let taking = fleet.taking_hosts()[0];
    let third = (1..4).find(|host| *host != taking).unwrap();
    let take_up = RelayRequest {
        resume_after: Some(5),
        resumes: Some(RequestId::new("r")),
        ..request("t", route(RESUMABLE, 2))
    };
    let second = fleet.relays[third].relay(take_up).await;
    let mut second = stream(second);
    let text = read_events(&mut second, 1).await;
    assert_eq!(text, "id: 6\ndata: t 6\n\n");
    assert_eq!(fleet.running(), 1, "the run before has ended");
    let rest: Vec<_> = body.collect().await;
    assert!(rest.last().unwrap().is_err(), "it does not look complete");
    assert!(fleet.taking_hosts().is_empty());
}

/// A take-up at a stranded host goes on through another one, at the version that began the stream.
#[tokio::test(start_paused = true)]
async fn test_take_up_at_a_stranded_host() {
    let fleet = DetourFleet::start(3).await;
    let answer = fleet.relays[1]
        .relay(request("r", route(RESUMABLE, 2)))
        .await;
    let mut body = stream(answer);
    read_events(&mut body, 5).await;
    fleet.cut(&[0], CutKind::Refuses).await;
    let take_up = RelayRequest {
        resume_after: Some(5),
        resumes: Some(RequestId::new("r")),
        ..request("t", route(RESUMABLE, 2))
    };
    let answer = fleet.relays[0].relay(take_up).await;
    let (text, is_complete) = read_stream(answer).await;
    assert!(is_complete);
    assert!(text.starts_with("id: 6\n"));
    assert_eq!(fleet.upstreams.runs("t").len(), 1);
}

/// A host whose connections are refused takes the upstreams for ended; whether the version of a stream still
/// serves is for the other host to say.
#[tokio::test(start_paused = true)]
async fn test_take_up_at_a_host_that_takes_all_upstreams_for_ended() {
    let fleet = DetourFleet::start(3).await;
    let answer = fleet.relays[1].relay(request("r", route(RESUMABLE, 2)));
    let mut body = stream(answer.await);
    read_events(&mut body, 5).await;
    fleet.cut(&[0], CutKind::Refuses).await;
    let service = ServiceName::new("desk");
    let version = SoftwareVersion::new("v1");
    let serves = |host: usize| {
        let state = fleet.relays[host].balancer().state();
        state.serves_version(&service, &version)
    };
    for name in UPSTREAMS {
        let incarnation = UpstreamIncarnation(upstream_tag(&upstream(name).id), 1);
        let mut state = fleet.relays[0].balancer().state();
        state.note_ended(incarnation, Instant::now());
    }
    assert!(!serves(0));
    assert!(serves(2));
    let take_up = RelayRequest {
        resume_after: Some(5),
        resumes: Some(RequestId::new("r")),
        ..request("v", route(RESUMABLE, 2))
    };
    let answer = fleet.relays[0].relay(take_up).await;
    let (text, is_complete) = read_stream(answer).await;
    assert!(is_complete);
    assert!(text.starts_with("id: 6\n"));
}

/// Before anybody knows of the cut, a request doesn't try all upstreams in turn.
#[tokio::test(start_paused = true)]
async fn test_request_that_reaches_no_upstream_takes_a_detour() {
    let fleet = DetourFleet::start(2).await;
    fleet.is_told.store(false, Ordering::Relaxed);
    *fleet.transports[0].cut.lock().unwrap() = Some(CutKind::Refuses);
    let answer = fleet.relays[0]
        .relay(request("r", route(RESUMABLE, 2)))
        .await;
    assert_eq!(read_stream(answer).await.0, all_events("r", EVENTS));
    assert_eq!(fleet.attempts_while_cut(0), 2);
}

/// What waits at an upstream when the host is found to be stranded goes on elsewhere, if it may be repeated.
#[tokio::test(start_paused = true)]
async fn test_request_in_flight_is_given_up_for_a_detour() {
    for (kind, is_served) in [
        (RouteKind::Idempotent, true),
        (RouteKind::NonIdempotent, false),
    ] {
        let fleet = DetourFleet::start(2).await;
        *fleet.transports[0].cut.lock().unwrap() = Some(CutKind::Hangs);
        let started = Instant::now();
        let answer = fleet.relays[0].relay(request("r", route(kind, 2))).await;
        match is_served {
            true => {
                assert_eq!(read_stream(answer).await.0, all_events("r", EVENTS));
                assert!(started.elapsed() < Duration::from_millis(1_200));
            }
            false => assert!(matches!(answer, RelayAnswer::TimedOut)),
        }
        assert_eq!(fleet.upstreams.runs("r").len(), usize::from(is_served));
    }
}

/// Once the host reaches the upstreams again, it sends there itself.
#[tokio::test(start_paused = true)]
async fn test_detours_end_with_the_cut() {
    let fleet = DetourFleet::start(2).await;
    fleet.cut(&[0], CutKind::Refuses).await;
    *fleet.transports[0].cut.lock().unwrap() = None;
    tokio::time::sleep(STEP * 10).await;
    let answer = fleet.relays[0]
        .relay(request("r", route(RESUMABLE, 2)))
        .await;
    let mut body = stream(answer);
    read_events(&mut body, 1).await;
    assert_eq!(fleet.online(0), 1);
    assert!(fleet.taking_hosts().is_empty());
}

struct ChannelOutput(Sender<String>);

impl Write for ChannelOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.send(String::from_utf8_lossy(bytes).into_owned());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The logs show both legs of a request, and its end where its caller is.
#[tokio::test(start_paused = true)]
async fn test_logs_show_a_detour_at_both_hosts() {
    let (output, lines) = channel();
    let fleet = DetourFleet::start_logged(3, |name| {
        EventLog::new(name.to_owned(), 1, ChannelOutput(output.clone()))
    })
    .await;
    fleet.cut(&[0], CutKind::Refuses).await;
    let served = fleet.relays[0]
        .relay(request("r", route(RESUMABLE, 2)))
        .await;
    assert!(read_stream(served).await.1);
    let waiting = fleet.relays[0].clone();
    let once = request("s", route(RouteKind::NonIdempotent, 2));
    let waiting = tokio::spawn(async move { waiting.relay(once).await });
    tokio::time::sleep(FIRST / 2).await;
    let taking = fleet.taking_hosts()[0];
    fleet.kill(taking);
    assert!(matches!(waiting.await.unwrap(), RelayAnswer::Lost));
    let mut text = String::new();
    let count = |text: &str, event: &str| text.matches(event).count();
    while count(&text, "\"request_ended\"") < 2 || count(&text, "\"detour_finished\"") < 2 {
        text.push_str(&lines.recv().unwrap());
    }
    let trace = EventTrace::read(text.lines());
    let events = trace.events_about("r");
    let line = |name: &str| {
        let line = events.iter().find(|line| line.event == name);
        *line.unwrap_or_else(|| panic!("no {name}"))
    };
    let sent = line("detour_sent");
    assert_eq!(sent.host, "host-0");
    assert_eq!(sent.text("reach"), Some("stranded"));
    let other = sent.text("to").unwrap();
    assert_eq!(line("detour_ended").text("outcome"), Some("answered"));
    for name in ["detour_taken", "request_sent", "detour_finished"] {
        assert_eq!(line(name).host, other, "{name}");
    }
    assert_eq!(line("detour_taken").text("from"), Some("host-0"));
    assert_eq!(line("request_ended").host, "host-0");
    let unserved = trace.unserved_requests();
    assert_eq!(unserved.len(), 1, "{unserved:?}");
    assert_eq!(
        (unserved[0].request.as_str(), unserved[0].outcome.as_str()),
        ("s", "lost")
    );
    assert_eq!(
        unserved[0].reason.as_deref(),
        Some(format!("lost through host-{taking}").as_str())
    );
    let metrics = fleet.relays[0].log().metrics().text();
    for sample in [
        "parsleywall_detours_total{outcome=\"answered\"} 1",
        "parsleywall_detours_total{outcome=\"lost\"} 1",
        "parsleywall_requests_total{outcome=\"served\"} 1",
    ] {
        assert!(metrics.contains(sample), "{sample}: {metrics}");
    }
    let others = [1, 2].map(|host| fleet.relays[host].log().metrics().text());
    assert!(
        others
            .iter()
            .all(|text| !text.contains("parsleywall_requests_total{"))
    );
}

/// A host that stops waits for the requests that it took from others, and no longer than its grace lasts.
#[tokio::test(start_paused = true)]
async fn test_stopping_host_waits_for_the_requests_that_it_took() {
    let fleet = DetourFleet::start(2).await;
    fleet.cut(&[0], CutKind::Hangs).await;
    let answer = fleet.relays[0].relay(request("r", route(RESUMABLE, 2)));
    let mut body = stream(answer.await);
    read_events(&mut body, 5).await;
    let server = fleet.servers[1].server.clone();
    let deadline = Instant::now() + Duration::from_secs(2);
    fleet.relays[1].stop_gate().begin(deadline);
    let finishing = tokio::spawn(async move { server.finish(deadline).await });
    read_events(&mut body, EVENTS as usize - 5).await;
    assert!(!finishing.is_finished());
    assert!(body.next().await.is_none());
    finishing.await.unwrap();
    assert!(Instant::now() < deadline);
    // Nobody reads this one.
    let answer = fleet.relays[0].relay(request("s", route(RESUMABLE, 2)));
    let mut body = stream(answer.await);
    read_events(&mut body, 1).await;
    let deadline = Instant::now() + Duration::from_millis(100);
    fleet.servers[1].server.finish(deadline).await;
    assert!(Instant::now() >= deadline);
    assert_eq!(fleet.taking_hosts(), vec![1]);
}
