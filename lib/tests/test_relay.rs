//! Relaying opaque requests: what runs how often, and what callers get.

mod opaque;

use std::sync::Arc;
use std::time::Duration;

use opaque::all_events;
use opaque::answer_name;
use opaque::desk;
use opaque::read_stream;
use opaque::request;
use opaque::route;
use parsleywall::relay::EventSplitter;
use parsleywall::relay::RelayAnswer;
use parsleywall::relay::ServiceLoad;
use parsleywall::relay::ShedDecision;
use parsleywall::relay::judge;
use parsleywall::routes::RouteKind;
use parsleywall_standins::opaque::OpaqueBehaviour;
use parsleywall_standins::opaque::OpaqueUpstreams;
use proptest::prelude::*;
use tokio::time::Instant;

const RESUMABLE: RouteKind = RouteKind::Stream { resumable: true };
const ONE_RUN: RouteKind = RouteKind::Stream { resumable: false };
const EVENTS: u64 = 20;

fn upstreams() -> Arc<OpaqueUpstreams> {
    OpaqueUpstreams::new(EVENTS, Duration::from_millis(60), Duration::from_millis(20))
}

/// Sets what the upstream does that the first request reaches, and returns the desk.
async fn first_does(
    wire: &Arc<OpaqueUpstreams>,
    behaviour: OpaqueBehaviour,
) -> parsleywall::relay::RequestRelay {
    for name in ["a", "b"] {
        wire.set(name, OpaqueBehaviour::Serves);
    }
    let desk = desk("host-a", wire.clone(), &["a"]);
    wire.set("a", behaviour);
    desk
}

/// Lets a second upstream come while the request runs at the first.
fn second_comes(desk: &parsleywall::relay::RequestRelay) {
    desk.places().book().put(opaque::upstream("b"));
}

#[tokio::test(start_paused = true)]
async fn test_stream_whole() {
    let wire = upstreams();
    let desk = desk("host-a", wire.clone(), &["a", "b"]);
    let answer = desk.relay(request("r1", route(ONE_RUN, 1))).await;
    assert_eq!(read_stream(answer).await, (all_events("r1", EVENTS), true));
    assert_eq!(wire.runs("r1").len(), 1);
    assert!(
        !wire.runs("r1")[0].reuse,
        "what may run once gets a connection of its own"
    );
}

#[tokio::test(start_paused = true)]
async fn test_stream_goes_on_elsewhere() {
    for behaviour in [
        OpaqueBehaviour::BreaksAfter(7),
        OpaqueBehaviour::SilentAfter(7),
        OpaqueBehaviour::Skips(8),
    ] {
        let wire = upstreams();
        let desk = first_does(&wire, behaviour).await;
        let answer = desk.relay(request("r1", route(RESUMABLE, 2))).await;
        second_comes(&desk);
        let read = read_stream(answer).await;
        assert_eq!(read, (all_events("r1", EVENTS), true), "{behaviour:?}");
        let runs = wire.runs("r1");
        assert_eq!(runs.len(), 2, "{behaviour:?}");
        assert_eq!(runs[1].resume_after, Some(7));
        assert_eq!(wire.running("a"), 0, "the first run is ended");
    }
}

#[tokio::test(start_paused = true)]
async fn test_stream_that_runs_once_breaks_off() {
    let wire = upstreams();
    let desk = first_does(&wire, OpaqueBehaviour::BreaksAfter(3)).await;
    let answer = desk.relay(request("r1", route(ONE_RUN, 3))).await;
    second_comes(&desk);
    assert_eq!(read_stream(answer).await, (all_events("r1", 3), false));
    assert_eq!(wire.runs("r1").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn test_stream_attempts_are_bounded() {
    let wire = upstreams();
    let desk = desk("host-a", wire.clone(), &["a", "b", "c", "d"]);
    for name in ["a", "b", "c", "d"] {
        wire.set(name, OpaqueBehaviour::BreaksAfter(2));
    }
    let answer = desk.relay(request("r1", route(RESUMABLE, 2))).await;
    assert_eq!(read_stream(answer).await, (all_events("r1", 4), false));
    assert_eq!(wire.runs("r1").len(), 2);
}

#[tokio::test(start_paused = true)]
async fn test_unrun_request_tries_others() {
    for behaviour in [
        OpaqueBehaviour::Full,
        OpaqueBehaviour::Moved,
        OpaqueBehaviour::Unreachable,
    ] {
        let wire = upstreams();
        let desk = desk("host-a", wire.clone(), &["a", "b", "c"]);
        for name in ["a", "b"] {
            wire.set(name, behaviour);
        }
        let answer = desk.relay(request("r1", route(ONE_RUN, 1))).await;
        assert!(read_stream(answer).await.1, "{behaviour:?}");
        assert_eq!(wire.runs("r1").len(), 1, "{behaviour:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn test_refusal_only_if_nothing_ran() {
    let wire = upstreams();
    let desk = desk("host-a", wire.clone(), &["a", "b"]);
    for name in ["a", "b"] {
        wire.set(name, OpaqueBehaviour::Full);
    }
    let answer = desk.relay(request("r1", route(ONE_RUN, 1))).await;
    assert!(matches!(answer, RelayAnswer::Refused { retry_after } if !retry_after.is_zero()));
    assert!(wire.runs("r1").is_empty());

    for behaviour in [OpaqueBehaviour::LosesAnswers, OpaqueBehaviour::Unsigned] {
        let wire = upstreams();
        let desk = first_does(&wire, behaviour).await;
        second_comes(&desk);
        wire.set("b", behaviour);
        let answer = desk.relay(request("r1", route(ONE_RUN, 3))).await;
        assert_eq!(answer_name(&answer), "lost", "{behaviour:?}");
        assert_eq!(wire.runs("r1").len(), 1, "{behaviour:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn test_dark_upstream_is_left_before_the_objective() {
    let wire = upstreams();
    let desk = first_does(&wire, OpaqueBehaviour::Dark).await;
    let began = Instant::now();
    let relayed = tokio::spawn({
        let desk = desk.clone();
        async move { desk.relay(request("r1", route(RESUMABLE, 2))).await }
    });
    tokio::time::sleep(Duration::from_millis(20)).await;
    second_comes(&desk);
    let answer = relayed.await.unwrap();
    assert!(
        began.elapsed() <= Duration::from_millis(300),
        "{:?}",
        began.elapsed()
    );
    assert!(read_stream(answer).await.1);
    // The dark upstream gets nothing more for a while.
    let answer = desk.relay(request("r2", route(RESUMABLE, 2))).await;
    assert!(read_stream(answer).await.1);
    assert_eq!(wire.runs("r2").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn test_final_answer_at_the_route_timeout() {
    let wire = upstreams();
    let desk = first_does(&wire, OpaqueBehaviour::Dark).await;
    let began = Instant::now();
    let answer = desk.relay(request("r1", route(ONE_RUN, 1))).await;
    assert_eq!(answer_name(&answer), "timed_out");
    assert_eq!(began.elapsed(), Duration::from_secs(5));
}

#[tokio::test(start_paused = true)]
async fn test_failures_of_upstreams_pass_through() {
    let wire = upstreams();
    let desk = first_does(&wire, OpaqueBehaviour::Fails(500)).await;
    let answer = desk.relay(request("r1", route(ONE_RUN, 1))).await;
    assert!(matches!(answer, RelayAnswer::Whole { status, .. } if status == 500));
    assert_eq!(wire.runs("r1").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn test_caller_that_leaves_ends_the_work() {
    let wire = upstreams();
    let desk = desk("host-a", wire.clone(), &["a"]);
    let answer = desk.relay(request("r1", route(RESUMABLE, 2))).await;
    assert_eq!(wire.running("a"), 1);
    drop(answer);
    assert_eq!(wire.running("a"), 0);
    assert!(desk.places().book().own_loads(Instant::now()).is_empty());
}

/// Load of a peak: twice the places' worth of requests at once, for a while.
#[tokio::test(start_paused = true)]
async fn test_peak_keeps_most_callers_in_time() {
    let wire = upstreams();
    let names = ["a", "b", "c", "d"];
    let desk = desk("host-a", wire.clone(), &names);
    let mut relayed = Vec::new();
    for number in 0..60 {
        let desk = desk.clone();
        relayed.push(tokio::spawn(async move {
            let answer = desk
                .relay(request(&format!("r{number}"), route(ONE_RUN, 1)))
                .await;
            match answer {
                RelayAnswer::Refused { retry_after } => Err(retry_after),
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
                    "the caller still has time"
                );
            }
        }
    }
    // 16 places serve one request in 440 ms each: 900 ms of arrivals every 15 ms fit but for
    // those that meet a full service.
    assert!(refused < 30, "{refused} refused");
    for name in names {
        assert!(wire.most_running(name) <= 7, "{}", wire.most_running(name));
    }
}

#[test]
fn test_admission_by_wait() {
    let objective = Duration::from_millis(300);
    let left = Duration::from_secs(5);
    let view = |online| ServiceLoad { places: 96, online };
    assert_eq!(judge(view(50), objective, left), ShedDecision::Admit);
    assert_eq!(judge(view(100), objective, left), ShedDecision::Admit);
    assert!(matches!(
        judge(view(140), objective, left),
        ShedDecision::Refuse(_)
    ));
    // A caller that has come back, or has little time, is served late rather than never.
    let short = Duration::from_secs(2);
    assert_eq!(judge(view(140), objective, short), ShedDecision::Admit);
    let none = ServiceLoad {
        places: 0,
        online: 0,
    };
    assert!(matches!(
        judge(none, objective, left),
        ShedDecision::Refuse(_)
    ));
}

proptest! {
    #[test]
    fn test_splitter_any_cuts(
        texts in prop::collection::vec("[a-z ]{0,12}", 1..12),
        cuts in prop::collection::vec(0usize..400, 0..12),
        crlf in any::<bool>(),
    ) {
        let end = if crlf { "\r\n" } else { "\n" };
        let events: Vec<String> = texts
            .iter()
            .enumerate()
            .map(|(id, text)| format!("id: {id}{end}data: {text}{end}{end}"))
            .collect();
        let whole = events.concat();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|cut| cut % (whole.len() + 1)).collect();
        cuts.push(whole.len());
        cuts.sort_unstable();
        let mut splitter = EventSplitter::default();
        let mut read = Vec::new();
        let mut at = 0;
        for cut in cuts {
            splitter.push(&whole.as_bytes()[at..cut]);
            at = cut;
            while let Some(event) = splitter.next_event() {
                read.push(event);
            }
        }
        prop_assert!(!splitter.has_partial_event());
        prop_assert_eq!(read.len(), texts.len());
        for (id, (event, text)) in read.iter().zip(&texts).enumerate() {
            prop_assert_eq!(event.id, Some(id as u64));
            prop_assert_eq!(event.data(), text.as_bytes());
            prop_assert_eq!(&event.raw[..], events[id].as_bytes());
        }
    }
}

#[tokio::test(start_paused = true)]
async fn test_upstream_that_says_it_leaves_gets_no_more_requests() {
    let wire = upstreams();
    let desk = first_does(&wire, OpaqueBehaviour::Leaves).await;
    let answer = desk.relay(request("r1", route(ONE_RUN, 1))).await;
    assert!(read_stream(answer).await.1, "its answer is delivered");
    let refused = desk.relay(request("r2", route(RESUMABLE, 3))).await;
    assert_eq!(answer_name(&refused), "refused");
    second_comes(&desk);
    let answer = desk.relay(request("r3", route(RESUMABLE, 3))).await;
    assert!(read_stream(answer).await.1);
    assert_eq!(wire.runs("r3")[0].upstream, "b");
    assert_eq!(wire.attempts().len(), 2);
}
