//! Histories that break each promise, and one that breaks none.

use std::time::Duration;

use parsleywall::refusal::Executed;

use super::Promise;
use super::check;
use crate::history::HistoryEvent;
use crate::history::Recorded;

/// Builds a history from events with their seconds.
fn history(events: Vec<(u64, HistoryEvent)>) -> Vec<Recorded> {
    let recorded = events.into_iter().map(|(seconds, event)| Recorded {
        at: Duration::from_secs(seconds),
        event,
    });
    recorded.collect()
}

/// Asserts that exactly `promise` is broken, by exactly the events at `positions`.
#[track_caller]
fn assert_broken(events: Vec<(u64, HistoryEvent)>, promise: Promise, positions: &[usize]) {
    let violations = check(&history(events));
    assert_eq!(violations.len(), 1, "{violations:?}");
    assert_eq!(violations[0].promise, promise);
    assert_eq!(violations[0].events, positions);
}

fn sent(request: &str, prompt: u64, idempotent: bool) -> HistoryEvent {
    HistoryEvent::RequestSent {
        request: request.to_owned(),
        prompt,
        idempotent,
    }
}

fn answered(request: &str, answer: u64, expected: u64) -> HistoryEvent {
    HistoryEvent::AnswerRead {
        request: request.to_owned(),
        answer,
        expected,
    }
}

fn refused(request: &str, prompt: u64, executed: Executed) -> HistoryEvent {
    HistoryEvent::RequestRefused {
        request: request.to_owned(),
        prompt,
        code: "overloaded".to_owned(),
        executed,
    }
}

fn executed(upstream: &str, prompt: u64) -> HistoryEvent {
    HistoryEvent::Executed {
        upstream: upstream.to_owned(),
        request: "r".to_owned(),
        prompt,
    }
}

/// A job with the items `a` (answer 1) and `b` (must fail), whose prompts are 11 and 12.
fn accepted() -> HistoryEvent {
    let items = [("a".to_owned(), Some(1)), ("b".to_owned(), None)];
    HistoryEvent::JobAccepted {
        job: "j".to_owned(),
        items: items.into(),
        prompts: vec![11, 12],
    }
}

fn read(item: &str, answer: Option<u64>) -> HistoryEvent {
    HistoryEvent::ItemRead {
        job: "j".to_owned(),
        item: item.to_owned(),
        answer,
    }
}

fn output_read() -> HistoryEvent {
    let job = "j".to_owned();
    HistoryEvent::OutputRead { job }
}

fn ended(state: &str) -> HistoryEvent {
    HistoryEvent::JobEnded {
        job: "j".to_owned(),
        state: state.to_owned(),
    }
}

fn cancelled() -> HistoryEvent {
    let job = "j".to_owned();
    HistoryEvent::CancelAccepted { job }
}

fn leaving() -> HistoryEvent {
    let upstream = "e".to_owned();
    HistoryEvent::UpstreamLeaving { upstream }
}

fn stop_began() -> HistoryEvent {
    let host = "h".to_owned();
    HistoryEvent::StopBegan { host }
}

fn stop_ended(cut_off: u64) -> HistoryEvent {
    let host = "h".to_owned();
    HistoryEvent::StopEnded { host, cut_off }
}

fn terms_seen(revision: u64) -> HistoryEvent {
    let host = "h".to_owned();
    HistoryEvent::TermsSeen { host, revision }
}

fn used(tokens: u64) -> HistoryEvent {
    let workspace = "w".to_owned();
    HistoryEvent::TokensUsed { workspace, tokens }
}

fn cap() -> HistoryEvent {
    HistoryEvent::CapSet {
        workspace: "w".to_owned(),
        tokens_per_second: 10.0,
        burst_tokens: 50.0,
    }
}

#[test]
fn test_checker_sound_history() {
    let events = vec![
        (0, cap()),
        (0, sent("r", 1, true)),
        (0, accepted()),
        (1, executed("e", 1)),
        (1, answered("r", 5, 5)),
        (1, sent("s", 2, false)),
        (1, refused("s", 2, Executed::No)),
        (2, executed("e", 11)),
        (2, executed("f", 11)),
        (3, leaving()),
        (4, executed("e", 12)),
        (5, ended("completed")),
        (5, read("a", Some(1))),
        (5, read("b", None)),
        (5, output_read()),
        (6, used(150)),
        (20, used(150)),
        (21, stop_began()),
        (22, stop_ended(0)),
        (22, HistoryEvent::TermsAccepted { revision: 2 }),
        (23, terms_seen(1)),
        (24, terms_seen(2)),
    ];
    assert_eq!(check(&history(events)), []);
}

#[test]
fn test_checker_item_lost() {
    let events = vec![
        (0, accepted()),
        (1, ended("completed")),
        (2, read("a", Some(1))),
        (2, output_read()),
    ];
    assert_broken(events, Promise::ExactlyOnce, &[0, 1]);
}

#[test]
fn test_checker_item_doubled() {
    let events = vec![
        (0, accepted()),
        (1, ended("completed")),
        (2, read("a", Some(1))),
        (2, read("b", None)),
        (2, read("a", Some(1))),
        (2, output_read()),
    ];
    assert_broken(events, Promise::ExactlyOnce, &[2, 4]);
}

#[test]
fn test_checker_item_in_two_versions() {
    let events = vec![
        (0, accepted()),
        (1, ended("completed")),
        (2, read("a", Some(1))),
        (2, read("b", None)),
        (2, output_read()),
        (3, read("a", Some(2))),
        (3, read("b", None)),
        (3, output_read()),
    ];
    assert_broken(events, Promise::ExactlyOnce, &[2, 5]);
}

#[test]
fn test_checker_item_not_readable_any_more() {
    let events = vec![
        (0, accepted()),
        (1, ended("completed")),
        (2, read("a", Some(1))),
        (2, read("b", None)),
        (2, output_read()),
        (3, read("b", None)),
        (3, output_read()),
    ];
    assert_broken(events, Promise::ExactlyOnce, &[0, 1]);
}

#[test]
fn test_checker_job_never_ends() {
    assert_broken(vec![(0, accepted())], Promise::ExactlyOnce, &[0]);
}

#[test]
fn test_checker_job_changes_final_state() {
    let events = vec![
        (0, accepted()),
        (1, ended("cancelled")),
        (2, ended("completed")),
        (3, read("a", Some(1))),
        (3, read("b", None)),
        (3, output_read()),
    ];
    assert_broken(events, Promise::ExactlyOnce, &[1, 2]);
}

#[test]
fn test_checker_resend_creates_second_job() {
    let resent = HistoryEvent::JobResent {
        first: "j".to_owned(),
        job: "k".to_owned(),
    };
    assert_broken(vec![(0, resent)], Promise::ExactlyOnce, &[0]);
}

#[test]
fn test_checker_item_of_no_job() {
    assert_broken(vec![(0, read("z", Some(1)))], Promise::ExactlyOnce, &[0]);
}

#[test]
fn test_checker_cancelled_job_runs_on() {
    let events = vec![
        (0, accepted()),
        (1, cancelled()),
        (2, executed("e", 11)),
        (4, executed("e", 12)),
        (5, ended("cancelled")),
        (5, output_read()),
    ];
    assert_broken(events, Promise::CancelStops, &[1, 3]);
}

#[test]
fn test_checker_online_behind_batch() {
    let event = HistoryEvent::OnlineBesideBatch {
        with_ms: 500.0,
        without_ms: 100.0,
    };
    assert_broken(vec![(0, event)], Promise::NoBlocking, &[0]);
}

#[test]
fn test_checker_answer_of_another_request() {
    let events = vec![(0, sent("r", 1, true)), (1, answered("r", 6, 5))];
    assert_broken(events, Promise::WholeAnswers, &[0, 1]);
}

#[test]
fn test_checker_answer_cut_off() {
    let broken = HistoryEvent::AnswerBroken {
        request: "r".to_owned(),
        cause: "closed".to_owned(),
    };
    let events = vec![(0, sent("r", 1, true)), (1, broken)];
    assert_broken(events, Promise::WholeAnswers, &[0, 1]);
}

#[test]
fn test_checker_no_answer() {
    let events = vec![(0, sent("r", 1, true))];
    assert_broken(events, Promise::WholeAnswers, &[0]);
}

#[test]
fn test_checker_false_refusal() {
    let events = vec![
        (0, sent("r", 1, true)),
        (1, executed("e", 1)),
        (2, refused("r", 1, Executed::No)),
    ];
    assert_broken(events, Promise::TrueRefusals, &[1, 2]);
}

#[test]
fn test_checker_honest_refusal() {
    let events = vec![
        (0, sent("r", 1, true)),
        (1, executed("e", 1)),
        (2, refused("r", 1, Executed::Unknown)),
    ];
    assert_eq!(check(&history(events)), []);
}

#[test]
fn test_checker_non_idempotent_twice() {
    let events = vec![
        (0, sent("r", 1, false)),
        (1, executed("e", 1)),
        (2, executed("f", 1)),
        (3, answered("r", 5, 5)),
    ];
    assert_broken(events, Promise::AtMostOnce, &[1, 2]);
}

#[test]
fn test_checker_leaving_upstream_gets_work() {
    let events = vec![(0, leaving()), (2, executed("e", 1)), (4, executed("e", 2))];
    assert_broken(events, Promise::LeavingSpared, &[0, 2]);
}

#[test]
fn test_checker_stop_cuts_off() {
    let events = vec![(0, stop_began()), (1, stop_ended(3))];
    assert_broken(events, Promise::StopsCutNothing, &[0, 1]);
}

#[test]
fn test_checker_stop_never_ends() {
    assert_broken(vec![(0, stop_began())], Promise::StopsCutNothing, &[0]);
}

#[test]
fn test_checker_terms_revert() {
    let events = vec![(0, terms_seen(3)), (1, terms_seen(2))];
    assert_broken(events, Promise::TermsInForce, &[0, 1]);
}

#[test]
fn test_checker_terms_overdue() {
    let accepted = HistoryEvent::TermsAccepted { revision: 2 };
    let events = vec![(0, accepted), (5, terms_seen(1)), (10, terms_seen(1))];
    assert_broken(events, Promise::TermsInForce, &[0, 2]);
}

#[test]
fn test_checker_cap_exceeded() {
    let events = vec![
        (0, cap()),
        (1, used(100)),
        (5, used(40)),
        (10, used(40)),
        (14, used(100)),
    ];
    assert_broken(events, Promise::CapsHeld, &[1, 2, 3]);
}

/// A request with the prompt of an earlier one that is refused unrun is no violation, though the
/// earlier one ran; one that ran after it was sent is.
#[test]
fn test_checker_refusal_of_a_repeated_prompt() {
    let events = |ran: u64| {
        vec![
            (0, sent("first", 1, true)),
            (1, executed("e", 1)),
            (2, answered("first", 5, 5)),
            (3, sent("again", 1, true)),
            (ran, executed("e", 1)),
            (5, refused("again", 1, Executed::No)),
        ]
    };
    let mut honest = events(4);
    honest.remove(4);
    assert_eq!(check(&history(honest)), []);
    assert_broken(events(4), Promise::TrueRefusals, &[4, 5]);
}
