//! Tests of inference requests on engines that fail as scripted, with a paused clock.

mod scripted;

use std::time::Duration;

use parsleywall::counters::CounterEvent;
use parsleywall::counters::RefusalReason;
use parsleywall::counters::RetryReason;
use parsleywall::edges::host_list::ListedState;
use parsleywall::ids::UpstreamId;
use parsleywall::ids::WorkClass;
use parsleywall::refusal::Executed;
use tokio::time::Instant;

use crate::scripted::EngineScript;
use crate::scripted::ScriptedFleet;
use crate::scripted::expected_text;

const TOKENS: u64 = 20;

#[tokio::test(start_paused = true)]
async fn test_inference_whole_answer() {
    let fleet = ScriptedFleet::start(2).await;
    let answer = fleet.answer(fleet.call(WorkClass::Online, TOKENS)).await;
    assert_eq!(answer.unwrap(), expected_text(TOKENS));
    assert_eq!(fleet.counters.event_count(CounterEvent::Dispatched), 1);
}

/// A stream that breaks, before its first token or after its last, is resumed at another engine
/// without losing or repeating a token.
#[tokio::test(start_paused = true)]
async fn test_inference_broken_stream_resumes_after_its_last_token() {
    for tokens in [0, 1, 7, TOKENS - 1, TOKENS] {
        let fleet = ScriptedFleet::start(2).await;
        fleet.engine.script(EngineScript::BreakAfter(tokens));
        let answer = fleet.answer(fleet.call(WorkClass::Online, TOKENS)).await;
        assert_eq!(answer.unwrap(), expected_text(TOKENS), "after {tokens}");
        let calls = fleet.engine.calls();
        assert_eq!(calls.len(), 2);
        assert_eq!(calls[1].resumed_tokens, tokens);
        assert_ne!(calls[0].address, calls[1].address);
        assert_eq!(fleet.counters.retry_count(RetryReason::ConnectionBroken), 1);
    }
}

/// After an engine began to answer, the refusal of the next one must not say that the request has not
/// run, and its text must not get into the answer.
#[tokio::test(start_paused = true)]
async fn test_inference_error_of_the_next_engine_is_no_part_of_a_broken_stream() {
    let fleet = ScriptedFleet::start(2).await;
    fleet.engine.script(EngineScript::BreakAfter(5));
    fleet.engine.script(EngineScript::Refuses);
    let answer = fleet.answer(fleet.call(WorkClass::Online, TOKENS)).await;
    let refusal = answer.expect_err("the stream is not complete");
    assert_eq!(refusal.reason, RefusalReason::UpstreamRefused);
    assert_eq!(refusal.executed, Executed::Unknown);
}

/// A stream that stalls on an open connection is moved to another engine, and pooled connections
/// to the silent one are given up.
#[tokio::test(start_paused = true)]
async fn test_inference_silent_stream_moves_within_a_bound() {
    let mut moves = Vec::new();
    for tokens in [20, 2000] {
        let fleet = ScriptedFleet::start(2).await;
        fleet.engine.script(EngineScript::SilentAfter(5));
        let answer = fleet.answer(fleet.call(WorkClass::Online, tokens)).await;
        assert_eq!(answer.unwrap(), expected_text(tokens));
        let calls = fleet.engine.calls();
        moves.push(calls[1].at - calls[0].at);
        assert_eq!(fleet.counters.retry_count(RetryReason::Silent), 1);
        assert_eq!(fleet.engine.distrusted(), [calls[0].address]);
    }
    // The time until the move does not depend on the length of the answer.
    for time in moves {
        assert!(time < Duration::from_secs(3), "moved after {time:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn test_inference_engine_without_response_head_is_given_up() {
    let fleet = ScriptedFleet::start(2).await;
    fleet.engine.script(EngineScript::NoHead);
    let answer = fleet.answer(fleet.call(WorkClass::Online, TOKENS)).await;
    assert_eq!(answer.unwrap(), expected_text(TOKENS));
    assert_eq!(fleet.counters.retry_count(RetryReason::Silent), 1);
}

/// A request that is not idempotent must not be sent again once an engine may have run it, and its
/// refusal must not claim that it has not run.
#[tokio::test(start_paused = true)]
async fn test_inference_unrepeatable_runs_at_most_once() {
    let scripts = [
        EngineScript::BreakAfter(0),
        EngineScript::BreakAfter(3),
        EngineScript::SilentAfter(3),
        EngineScript::NoHead,
    ];
    for script in scripts {
        let fleet = ScriptedFleet::start(2).await;
        fleet.engine.script(script);
        let mut call = fleet.call(WorkClass::Online, TOKENS);
        call.idempotent = false;
        let refusal = fleet.answer(call).await.unwrap_err();
        assert_eq!(refusal.executed, Executed::Unknown, "{script:?}");
        assert_eq!(fleet.engine.calls().len(), 1, "{script:?}");
    }
}

/// A request that is not idempotent is retried after an attempt that certainly did not run. Each
/// attempt uses a new connection, as a closed pooled one would leave it unknown whether it ran.
#[tokio::test(start_paused = true)]
async fn test_inference_unrepeatable_is_retried_if_not_sent() {
    for script in [EngineScript::NotSent, EngineScript::Busy] {
        let fleet = ScriptedFleet::start(2).await;
        fleet.engine.script(script);
        let mut call = fleet.call(WorkClass::Online, TOKENS);
        call.idempotent = false;
        let answer = fleet.answer(call).await;
        assert_eq!(answer.unwrap(), expected_text(TOKENS), "{script:?}");
        assert!(
            fleet
                .engine
                .calls()
                .iter()
                .all(|call| call.fresh_connection)
        );
    }
}

#[tokio::test(start_paused = true)]
async fn test_inference_gives_up_after_a_bounded_number_of_attempts() {
    let fleet = ScriptedFleet::start(6).await;
    for _ in 0..100 {
        fleet.engine.script(EngineScript::NotSent);
    }
    let refusal = fleet.answer(fleet.call(WorkClass::Online, TOKENS)).await;
    let refusal = refusal.unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::UpstreamFailed);
    assert_eq!(refusal.executed, Executed::No);
    assert_eq!(fleet.engine.calls().len(), 4);
}

/// Guards against a retry storm when all engines fail.
#[tokio::test(start_paused = true)]
async fn test_inference_retries_do_not_storm() {
    let fleet = ScriptedFleet::start(6).await;
    fleet.engine.always(EngineScript::BreakAfter(0));
    const REQUESTS: usize = 400;
    for _ in 0..REQUESTS {
        let refused = fleet.answer(fleet.call(WorkClass::Online, TOKENS)).await;
        assert!(refused.is_err());
    }
    let retries = fleet.engine.calls().len() - REQUESTS;
    // A tenth of the traffic, and the retries that were saved before.
    assert!(retries <= REQUESTS / 10 + 64, "{retries} retries");
    assert!(fleet.counters.event_count(CounterEvent::RetryBudgetSpent) > 0);
}

#[tokio::test(start_paused = true)]
async fn test_inference_stops_upstream_when_the_caller_leaves() {
    let fleet = ScriptedFleet::start(1).await;
    let mut answer = fleet
        .runner
        .run(fleet.call(WorkClass::Online, 10_000))
        .await
        .unwrap();
    answer.next().await.unwrap().unwrap();
    assert_eq!(fleet.engine.open_streams(), 1);
    drop(answer);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(fleet.engine.open_streams(), 0);
    assert_eq!(fleet.engine.calls().len(), 1);
}

/// Guards against a caller that stops reading: the attempt waits for space in the event queue, and
/// must still end at the deadline to free its slot on the engine.
#[tokio::test(start_paused = true)]
async fn test_inference_stops_at_the_deadline_also_with_a_stalled_caller() {
    let fleet = ScriptedFleet::start(1).await;
    let mut call = fleet.call(WorkClass::Online, 10_000);
    call.deadline = Instant::now() + Duration::from_secs(3);
    let mut answer = fleet.runner.run(call).await.unwrap();
    answer.next().await.unwrap().unwrap();
    // The caller reads nothing: the event queue is full, and the engine's slot is freed.
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(fleet.engine.open_streams(), 0);
    let mut last = None;
    while let Some(event) = answer.next().await {
        last = Some(event);
    }
    let refusal = last.unwrap().unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::DeadlinePassed);
    assert_eq!(refusal.executed, Executed::Unknown);
}

/// Online requests preempt batch work that fills an engine; the preempted requests are resumed and
/// deliver their whole answers.
#[tokio::test(start_paused = true)]
async fn test_inference_batch_yields_and_loses_no_token() {
    let fleet = ScriptedFleet::start(1).await;
    let batch: Vec<_> = (0..64)
        .map(|_| fleet.spawn(fleet.call(WorkClass::Batch, 100)))
        .collect();
    tokio::time::sleep(Duration::from_millis(200)).await;
    let started = Instant::now();
    let online: Vec<_> = (0..16)
        .map(|_| fleet.spawn(fleet.call(WorkClass::Online, TOKENS)))
        .collect();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let calls = fleet.engine.calls();
    let begun = calls
        .iter()
        .filter(|call| call.tokens == TOKENS && call.at - started <= Duration::from_millis(5));
    assert_eq!(begun.count(), 16, "online work starts at once");
    assert!(fleet.counters.event_count(CounterEvent::BatchPreempted) > 0);
    for answer in online {
        assert_eq!(answer.await.unwrap().unwrap(), expected_text(TOKENS));
    }
    for answer in batch {
        assert_eq!(answer.await.unwrap().unwrap(), expected_text(100));
    }
    let preempted = fleet.counters.retry_count(RetryReason::Preempted);
    assert!(preempted > 0);
    assert!(fleet.engine.calls().len() as u64 <= 64 + 16 + preempted);
}

#[tokio::test(start_paused = true)]
async fn test_inference_queued_batch_keeps_the_engine_busy() {
    let fleet = ScriptedFleet::start(1).await;
    let started = Instant::now();
    let batch: Vec<_> = (0..160)
        .map(|_| fleet.spawn(fleet.call(WorkClass::Batch, 100)))
        .collect();
    for answer in batch {
        assert_eq!(answer.await.unwrap().unwrap(), expected_text(100));
    }
    // An answer takes one second, and the initial concurrency limit admits 15 batch requests at
    // once beside the reserve for online work.
    let time = started.elapsed();
    assert!(time < Duration::from_secs(13), "took {time:?}");
    assert_eq!(fleet.counters.event_count(CounterEvent::TicketExpired), 0);
}

/// Under overload, each request is either answered whole or refused as not run, with a retry delay;
/// no refused request reaches an engine.
#[tokio::test(start_paused = true)]
async fn test_inference_overload_is_refused_as_not_run() {
    let fleet = ScriptedFleet::start(1).await;
    let answers: Vec<_> = (0..600)
        .map(|_| {
            let mut call = fleet.call(WorkClass::Online, 50);
            call.deadline = Instant::now() + Duration::from_secs(2);
            fleet.spawn(call)
        })
        .collect();
    let mut refused = 0;
    for answer in answers {
        match answer.await.unwrap() {
            Ok(text) => assert_eq!(text, expected_text(50)),
            Err(refusal) => {
                assert_eq!(refusal.reason, RefusalReason::Overloaded);
                assert_eq!(refusal.executed, Executed::No);
                assert!(refusal.retry_after.is_some());
                refused += 1;
            }
        }
    }
    assert!(refused > 0);
    assert_eq!(fleet.engine.calls().len(), 600 - refused);
}

#[tokio::test(start_paused = true)]
async fn test_inference_failing_upstream_is_ejected_and_returns() {
    let fleet = ScriptedFleet::start(8).await;
    let bad = fleet.address(0);
    fleet.engine.always_at(bad, EngineScript::BreakAfter(0));
    for _ in 0..100 {
        let answer = fleet.answer(fleet.call(WorkClass::Online, TOKENS)).await;
        assert_eq!(answer.unwrap(), expected_text(TOKENS));
    }
    assert!(fleet.counters.event_count(CounterEvent::UpstreamEjected) >= 1);
    fleet.engine.heal(bad);
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(
        fleet.counters.event_count(CounterEvent::UpstreamEjected),
        fleet.counters.event_count(CounterEvent::UpstreamReturned)
    );
    let before = fleet.engine.calls_at(bad);
    for _ in 0..100 {
        let answer = fleet.answer(fleet.call(WorkClass::Online, TOKENS)).await;
        assert_eq!(answer.unwrap(), expected_text(TOKENS));
    }
    assert!(fleet.engine.calls_at(bad) > before);
}

/// If all engines fail, most of them stay in use: ejecting them all would leave none to serve.
#[tokio::test(start_paused = true)]
async fn test_inference_ejects_at_most_a_quarter() {
    let fleet = ScriptedFleet::start(8).await;
    fleet.engine.always(EngineScript::BreakAfter(0));
    for _ in 0..50 {
        let _ = fleet.answer(fleet.call(WorkClass::Online, TOKENS)).await;
    }
    let ejected = fleet.counters.event_count(CounterEvent::UpstreamEjected);
    let returned = fleet.counters.event_count(CounterEvent::UpstreamReturned);
    assert_eq!(ejected - returned, 2);
}

/// Requests stop going to an engine that the host list gives as leaving, within the list's lag.
#[tokio::test(start_paused = true)]
async fn test_inference_leaving_upstream_gets_no_new_calls() {
    let fleet = ScriptedFleet::start(2).await;
    fleet
        .list
        .set_state(&UpstreamId::new("engine-0"), ListedState::Leaving);
    let known = Instant::now();
    let mut newest = known;
    while known.elapsed() < Duration::from_secs(10) {
        let answer = fleet.answer(fleet.call(WorkClass::Online, 1)).await;
        assert_eq!(answer.unwrap(), expected_text(1));
        let calls = fleet.engine.calls();
        let last = calls.last().unwrap();
        if last.address == fleet.address(0) {
            newest = last.at;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(newest - known < Duration::from_secs(3));
}
