//! Tests of relayed opaque requests: how often each one runs, and what its caller gets.

mod opaque;

use std::sync::Arc;
use std::time::Duration;

use opaque::all_events;
use opaque::answer_name;
use opaque::new_relay;
use opaque::read_stream;
use opaque::request;
use opaque::route;
use parsleywall::relay::RelayAnswer;
use parsleywall::relay::ServiceLoad;
use parsleywall::relay::ShedDecision;
use parsleywall::relay::decide_shedding;
use parsleywall::routes::RouteKind;
use parsleywall_standins::opaque::OpaqueBehaviour;
use parsleywall_standins::opaque::OpaqueUpstreams;
use tokio::time::Instant;

const RESUMABLE: RouteKind = RouteKind::Stream { resumable: true };
const UNRESUMABLE: RouteKind = RouteKind::Stream { resumable: false };
const EVENTS: u64 = 20;

fn upstreams() -> Arc<OpaqueUpstreams> {
    OpaqueUpstreams::new(EVENTS, Duration::from_millis(60), Duration::from_millis(20))
}

/// Returns a relay whose only upstream `a` shows `behaviour`, so that the first request reaches it.
async fn relay_with_first(
    transport: &Arc<OpaqueUpstreams>,
    behaviour: OpaqueBehaviour,
) -> parsleywall::relay::RequestRelay {
    for name in ["a", "b"] {
        transport.set(name, OpaqueBehaviour::Serves);
    }
    let relay = new_relay("host-a", transport.clone(), &["a"]);
    transport.set("a", behaviour);
    relay
}

/// Adds the upstream `b`, for instance while a request runs at `a`.
fn add_second_upstream(relay: &parsleywall::relay::RequestRelay) {
    relay.balancer().state().put(opaque::upstream("b"));
}

#[tokio::test(start_paused = true)]
async fn test_stream_whole() {
    let transport = upstreams();
    let relay = new_relay("host-a", transport.clone(), &["a", "b"]);
    let answer = relay.relay(request("r1", route(UNRESUMABLE, 1))).await;
    assert_eq!(read_stream(answer).await, (all_events("r1", EVENTS), true));
    assert_eq!(transport.runs("r1").len(), 1);
    assert!(
        !transport.runs("r1")[0].reuse,
        "a request that may run only once gets a new connection"
    );
}

/// A resumable stream that breaks, stalls or skips an event is resumed at another upstream: the
/// caller gets each event once, and the first upstream's work is cancelled.
#[tokio::test(start_paused = true)]
async fn test_stream_resumes_at_another_upstream() {
    for behaviour in [
        OpaqueBehaviour::BreaksAfter(7),
        OpaqueBehaviour::SilentAfter(7),
        OpaqueBehaviour::Skips(8),
    ] {
        let transport = upstreams();
        let relay = relay_with_first(&transport, behaviour).await;
        let answer = relay.relay(request("r1", route(RESUMABLE, 2))).await;
        add_second_upstream(&relay);
        let read = read_stream(answer).await;
        assert_eq!(read, (all_events("r1", EVENTS), true), "{behaviour:?}");
        let runs = transport.runs("r1");
        assert_eq!(runs.len(), 2, "{behaviour:?}");
        assert_eq!(runs[1].resume_after, Some(7));
        assert_eq!(transport.running("a"), 0, "the first run is cancelled");
    }
}

/// A stream that can't be resumed must not be sent again after an upstream may have run it.
/// Guards against bytes that are no events in a caller's stream: before the first event, where they
/// passed for the answer, or later, where they kept the stream open without an end.
#[tokio::test(start_paused = true)]
async fn test_flood_of_an_upstream_reaches_no_caller() {
    for flood in ["%%%%%%%%\n\n", "data: more\n\n", ": more\n\n", "\n\n"] {
        for events in [0, 5] {
            let transport = upstreams();
            let behaviour = OpaqueBehaviour::FloodsAfter(events, flood);
            let relay = relay_with_first(&transport, behaviour).await;
            let unresumable = tokio::spawn({
                let relay = relay.clone();
                async move { relay.relay(request("r0", route(UNRESUMABLE, 1))).await }
            });
            let resumable = tokio::spawn({
                let relay = relay.clone();
                async move { relay.relay(request("r1", route(RESUMABLE, 2))).await }
            });
            tokio::time::sleep(Duration::from_millis(1)).await;
            add_second_upstream(&relay);
            let (text, is_whole) = read_stream(resumable.await.unwrap()).await;
            assert_eq!((text, is_whole), (all_events("r1", EVENTS), true));
            if let answer @ RelayAnswer::Stream { .. } = unresumable.await.unwrap() {
                let (text, is_whole) = read_stream(answer).await;
                assert_eq!((text, is_whole), (all_events("r0", events), false));
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn test_stream_not_resumable_is_not_repeated() {
    let transport = upstreams();
    let relay = relay_with_first(&transport, OpaqueBehaviour::BreaksAfter(3)).await;
    let answer = relay.relay(request("r1", route(UNRESUMABLE, 3))).await;
    add_second_upstream(&relay);
    assert_eq!(read_stream(answer).await, (all_events("r1", 3), false));
    assert_eq!(transport.runs("r1").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn test_stream_attempts_are_bounded() {
    let transport = upstreams();
    let relay = new_relay("host-a", transport.clone(), &["a", "b", "c", "d"]);
    for name in ["a", "b", "c", "d"] {
        transport.set(name, OpaqueBehaviour::BreaksAfter(2));
    }
    let answer = relay.relay(request("r1", route(RESUMABLE, 2))).await;
    assert_eq!(read_stream(answer).await, (all_events("r1", 4), false));
    assert_eq!(transport.runs("r1").len(), 2);
}

/// An attempt that certainly did not run does not count as a run, so even a request that may run
/// only once is sent to other upstreams.
#[tokio::test(start_paused = true)]
async fn test_request_not_run_is_sent_to_others() {
    for behaviour in [
        OpaqueBehaviour::Full,
        OpaqueBehaviour::Moved,
        OpaqueBehaviour::Unreachable,
    ] {
        let transport = upstreams();
        let relay = new_relay("host-a", transport.clone(), &["a", "b", "c"]);
        for name in ["a", "b"] {
            transport.set(name, behaviour);
        }
        let answer = relay.relay(request("r1", route(UNRESUMABLE, 1))).await;
        assert!(read_stream(answer).await.1, "{behaviour:?}");
        assert_eq!(transport.runs("r1").len(), 1, "{behaviour:?}");
    }
}

/// A refusal promises that the request has not run. If an upstream may have run it, and its answer
/// is lost or unsigned, the answer counts as lost and the request is not sent again.
#[tokio::test(start_paused = true)]
async fn test_refusal_only_if_nothing_ran() {
    let transport = upstreams();
    let relay = new_relay("host-a", transport.clone(), &["a", "b"]);
    for name in ["a", "b"] {
        transport.set(name, OpaqueBehaviour::Full);
    }
    let answer = relay.relay(request("r1", route(UNRESUMABLE, 1))).await;
    assert!(matches!(answer, RelayAnswer::Refused { retry_after, .. } if !retry_after.is_zero()));
    assert!(transport.runs("r1").is_empty());

    for behaviour in [OpaqueBehaviour::LosesAnswers, OpaqueBehaviour::Unsigned] {
        let transport = upstreams();
        let relay = relay_with_first(&transport, behaviour).await;
        add_second_upstream(&relay);
        transport.set("b", behaviour);
        let answer = relay.relay(request("r1", route(UNRESUMABLE, 3))).await;
        assert_eq!(answer_name(&answer), "lost", "{behaviour:?}");
        assert_eq!(transport.runs("r1").len(), 1, "{behaviour:?}");
    }
}

/// An upstream that accepts a request and sends nothing must not cost the request its objective:
/// it is given up early and gets no further requests for a while.
#[tokio::test(start_paused = true)]
async fn test_silent_upstream_is_given_up_before_the_objective() {
    let transport = upstreams();
    let relay = relay_with_first(&transport, OpaqueBehaviour::Dark).await;
    let began = Instant::now();
    let relayed = tokio::spawn({
        let relay = relay.clone();
        async move { relay.relay(request("r1", route(RESUMABLE, 2))).await }
    });
    tokio::time::sleep(Duration::from_millis(20)).await;
    add_second_upstream(&relay);
    let answer = relayed.await.unwrap();
    assert!(
        began.elapsed() <= Duration::from_millis(300),
        "{:?}",
        began.elapsed()
    );
    assert!(read_stream(answer).await.1);
    // The silent upstream gets no further requests for a while.
    let answer = relay.relay(request("r2", route(RESUMABLE, 2))).await;
    assert!(read_stream(answer).await.1);
    assert_eq!(transport.runs("r2").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn test_request_ends_at_the_route_timeout() {
    let transport = upstreams();
    let relay = relay_with_first(&transport, OpaqueBehaviour::Dark).await;
    let began = Instant::now();
    let answer = relay.relay(request("r1", route(UNRESUMABLE, 1))).await;
    assert_eq!(answer_name(&answer), "timed_out");
    assert_eq!(began.elapsed(), Duration::from_secs(5));
}

#[tokio::test(start_paused = true)]
async fn test_upstream_error_is_passed_through() {
    let transport = upstreams();
    let relay = relay_with_first(&transport, OpaqueBehaviour::Fails(500)).await;
    let answer = relay.relay(request("r1", route(UNRESUMABLE, 1))).await;
    assert!(matches!(answer, RelayAnswer::Whole { status, .. } if status == 500));
    assert_eq!(transport.runs("r1").len(), 1);
}

/// Guards against upstream work and reserved slots that outlive their caller.
#[tokio::test(start_paused = true)]
async fn test_caller_disconnect_cancels_upstream_work() {
    let transport = upstreams();
    let relay = new_relay("host-a", transport.clone(), &["a"]);
    let answer = relay.relay(request("r1", route(RESUMABLE, 2))).await;
    assert_eq!(transport.running("a"), 1);
    drop(answer);
    assert_eq!(transport.running("a"), 0);
    assert!(
        relay
            .balancer()
            .state()
            .own_loads(Instant::now())
            .is_empty()
    );
}

/// In a short load peak, most requests are served and the refused ones get retry delays that leave
/// them time for a retry.
#[tokio::test(start_paused = true)]
async fn test_load_peak_serves_most_requests() {
    let transport = upstreams();
    let names = ["a", "b", "c", "d"];
    let relay = new_relay("host-a", transport.clone(), &names);
    let mut relayed = Vec::new();
    for number in 0..60 {
        let relay = relay.clone();
        relayed.push(tokio::spawn(async move {
            let answer = relay
                .relay(request(&format!("r{number}"), route(UNRESUMABLE, 1)))
                .await;
            match answer {
                RelayAnswer::Refused { retry_after, .. } => Err(retry_after),
                answer => Ok(read_stream(answer).await),
            }
        }));
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    let mut refused = 0;
    for outcome in relayed {
        match outcome.await.unwrap() {
            Ok((_, whole)) => assert!(whole),
            Err(retry_after) => {
                refused += 1;
                assert!(retry_after >= Duration::from_millis(300));
                assert!(
                    retry_after < Duration::from_secs(2),
                    "the retry still has time"
                );
            }
        }
    }
    // Each of the 16 slots serves one request in 440 ms: of the arrivals every 15 ms for 900 ms,
    // only those that meet a full service are refused.
    assert!(refused < 30, "{refused} refused");
    for name in names {
        assert!(
            transport.most_running(name) <= 7,
            "{}",
            transport.most_running(name)
        );
    }
}

#[test]
fn test_shedding_by_expected_wait() {
    let objective = Duration::from_millis(300);
    let left = Duration::from_secs(5);
    let view = |online| ServiceLoad {
        slots: 96,
        online,
        slot_time: Duration::from_millis(800),
        is_limited: false,
    };
    assert_eq!(
        decide_shedding(view(50), objective, left),
        ShedDecision::Admit
    );
    assert_eq!(
        decide_shedding(view(100), objective, left),
        ShedDecision::Admit
    );
    assert!(matches!(
        decide_shedding(view(140), objective, left),
        ShedDecision::Refuse(_)
    ));
    // A retry, or another request with little time left, is served late rather than never.
    let short = Duration::from_secs(2);
    assert_eq!(
        decide_shedding(view(140), objective, short),
        ShedDecision::Admit
    );
    let none = ServiceLoad {
        slots: 0,
        online: 0,
        slot_time: Duration::from_millis(800),
        is_limited: false,
    };
    assert!(matches!(
        decide_shedding(none, objective, left),
        ShedDecision::Refuse(_)
    ));
}

/// Guards against the copy of an answer that passes for the answer to a later request under the same
/// identifier: as long as the first answer's connection may be pooled, that request needs a new one.
#[tokio::test(start_paused = true)]
async fn test_answered_identifier_gets_new_connections_for_a_while() {
    let transport = upstreams();
    let relay = relay_with_first(&transport, OpaqueBehaviour::Serves).await;
    let idempotent = || request("r1", route(RouteKind::Idempotent, 2));
    let mut expected = Vec::new();
    for (status, pause, reuses) in [
        (404, 0, true),
        (500, 0, false),
        (404, 29, false),
        (404, 61, true),
    ] {
        tokio::time::sleep(Duration::from_secs(pause)).await;
        transport.set("a", OpaqueBehaviour::Fails(status));
        relay.relay(idempotent()).await;
        expected.push(reuses);
    }
    transport.set("a", OpaqueBehaviour::Serves);
    let answer = relay.relay(request("r2", route(RESUMABLE, 2))).await;
    assert!(read_stream(answer).await.1);
    expected.push(true);
    let answer = relay.relay(request("r2", route(RESUMABLE, 2))).await;
    assert!(read_stream(answer).await.1);
    expected.push(false);
    let reuses: Vec<bool> = transport.attempts().iter().map(|sent| sent.reuse).collect();
    assert_eq!(reuses, expected);
}

/// A stream that was given up leaves no connection in a pool, so that its request may use one.
#[tokio::test(start_paused = true)]
async fn test_abandoned_stream_may_go_on_over_pooled_connections() {
    let transport = upstreams();
    let relay = relay_with_first(&transport, OpaqueBehaviour::Serves).await;
    let answer = relay.relay(request("r1", route(RESUMABLE, 2))).await;
    drop(answer);
    let answer = relay.relay(request("r1", route(RESUMABLE, 2))).await;
    assert!(read_stream(answer).await.1);
    assert!(transport.attempts().iter().all(|sent| sent.reuse));
}

/// An upstream that announces its shutdown still delivers its answer, but no request is sent to it
/// any more, even if there is no other upstream.
#[tokio::test(start_paused = true)]
async fn test_leaving_upstream_gets_no_more_requests() {
    let transport = upstreams();
    let relay = relay_with_first(&transport, OpaqueBehaviour::Leaves).await;
    let answer = relay.relay(request("r1", route(UNRESUMABLE, 1))).await;
    assert!(
        read_stream(answer).await.1,
        "its running answer is delivered"
    );
    let refused = relay.relay(request("r2", route(RESUMABLE, 3))).await;
    assert_eq!(answer_name(&refused), "refused");
    add_second_upstream(&relay);
    let answer = relay.relay(request("r3", route(RESUMABLE, 3))).await;
    assert!(read_stream(answer).await.1);
    assert_eq!(transport.runs("r3")[0].upstream, "b");
    assert_eq!(transport.attempts().len(), 2);
}
