//! The checks of the soak report each kind of violation, and nothing for a correct run.

use std::time::Duration;

use soak::callers::compare_answer;
use soak::check::check;
use soak::content;
use soak::fleet::MOVED_PREFIX;
use soak::history::CallKind;
use soak::history::CallOutcome;
use soak::history::CallRecord;
use soak::history::ExecutionRecord;
use soak::history::FaultRecord;
use soak::history::LeaveRecord;
use soak::history::MoveRecord;
use soak::history::Records;
use soak::jobs::ItemResult;
use soak::jobs::JobRecord;

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn call(id: &str, kind: CallKind, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        id: id.to_owned(),
        kind,
        prefix: "/ask/".to_owned(),
        front: 0,
        sent: at(20.0),
        ended: at(21.0),
        outcome,
        route_acknowledged_at: Duration::ZERO,
    }
}

fn execution(id: &str) -> ExecutionRecord {
    ExecutionRecord {
        id: id.to_owned(),
        resumes: None,
        worker: "w".to_owned(),
        service: "desk".to_owned(),
        version: "v1".to_owned(),
        resume_after: 0,
        began_at: at(20.1),
        ended_at: Some(at(20.9)),
        intact: true,
        budget_ms: Some(4_900),
    }
}

fn fault(planned: bool) -> FaultRecord {
    FaultRecord {
        name: "fault".to_owned(),
        planned,
        at_store: false,
        excuses_overlap: !planned,
        from: at(19.0),
        to: at(19.5),
    }
}

fn job(results: usize) -> JobRecord {
    let items: Vec<String> = ["item-a", "item-b"].map(str::to_owned).to_vec();
    let results = items.iter().take(results).map(|id| ItemResult {
        id: id.clone(),
        state: "done".to_owned(),
        output: content::whole_output(id, "v1"),
    });
    JobRecord {
        id: "lot".to_owned(),
        results: results.collect(),
        items,
        accepted_at: Some(at(1.0)),
        ..JobRecord::default()
    }
}

/// Records of a correct run: one served request and one complete batch job.
fn correct_run() -> (Records, Vec<JobRecord>) {
    let records = Records {
        calls: vec![call("call-1", CallKind::Once, CallOutcome::Served)],
        executions: vec![
            execution("call-1"),
            execution("item-a"),
            execution("item-b"),
        ],
        ..Records::default()
    };
    (records, vec![job(2)])
}

/// Names of the rules that the records violate.
fn rules(records: &Records, jobs: &[JobRecord]) -> Vec<String> {
    let violations = check(records, jobs, at(15.0));
    let names = violations
        .iter()
        .map(|line| line.split(':').next().unwrap());
    names.map(str::to_owned).collect()
}

#[test]
fn test_check_correct_run() {
    let (records, jobs) = correct_run();
    assert_eq!(rules(&records, &jobs), Vec::<String>::new());
}

#[test]
fn test_check_calls() {
    let cases: [(&str, CallOutcome, usize, &str); 5] = [
        (
            "ORDER",
            CallOutcome::Joined("v1 and v2".to_owned()),
            1,
            "call",
        ),
        (
            "MIXED",
            CallOutcome::Mismatched("other bytes".to_owned()),
            1,
            "call",
        ),
        ("TWICE", CallOutcome::Served, 2, "call"),
        ("REFUSED", CallOutcome::Refused(503), 1, "call"),
        ("CONFIG", CallOutcome::Failed(404), 0, "call"),
    ];
    for (rule, outcome, executions, id) in cases {
        let (mut records, jobs) = correct_run();
        records.calls.push(call(id, CallKind::Once, outcome));
        records
            .executions
            .extend((0..executions).map(|_| execution(id)));
        assert_eq!(rules(&records, &jobs), [rule], "{rule}");
    }
}

#[test]
fn test_check_cut_off_during_planned_work_only() {
    for (planned, expected) in [(true, vec!["LOST"]), (false, vec![])] {
        let (mut records, jobs) = correct_run();
        records
            .calls
            .push(call("call-2", CallKind::Stream, CallOutcome::CutOff));
        records.executions.push(execution("call-2"));
        records.faults.push(fault(planned));
        assert_eq!(rules(&records, &jobs), expected);
    }
}

#[test]
fn test_check_executions_for_cancelled_calls() {
    for (after, expected) in [(0.2, vec![]), (1.5, vec!["GONE"])] {
        let (mut records, jobs) = correct_run();
        for number in 0..8 {
            let id = format!("call-{number}-{}", content::CANCEL_SUFFIX);
            let mut left = call(&id, CallKind::Stream, CallOutcome::Cancelled);
            left.ended = at(20.2);
            records.calls.push(left);
            let mut unfinished = execution(&id);
            unfinished.ended_at = Some(at(20.2 + after));
            records.executions.push(unfinished);
        }
        assert_eq!(rules(&records, &jobs), expected);
    }
}

#[test]
fn test_check_executions() {
    let (mut records, jobs) = correct_run();
    records.executions.push(execution("call-nobody-sent"));
    assert_eq!(rules(&records, &jobs), ["UNASKED"]);

    let (mut records, jobs) = correct_run();
    records.executions[0].intact = false;
    assert_eq!(rules(&records, &jobs), ["UNASKED"]);

    let (mut records, jobs) = correct_run();
    records.executions[0].budget_ms = Some(9_000);
    assert_eq!(rules(&records, &jobs), ["BUDGET"]);

    let (mut records, jobs) = correct_run();
    let leave = LeaveRecord {
        worker: "w".to_owned(),
        at: at(17.0),
    };
    records.leaves.push(leave);
    assert_eq!(rules(&records, &jobs), ["DRAIN"; 3]);
}

#[test]
fn test_check_batch_jobs() {
    let (records, _) = correct_run();
    assert_eq!(rules(&records, &[job(1)]), ["LOST"]);

    let mut refused = job(0);
    refused.accepted_at = None;
    refused.refused = true;
    assert_eq!(rules(&records, &[refused]), ["REFUSED"]);

    let mut given_up = job(2);
    given_up.results[0].state = "dead_letter".to_owned();
    assert_eq!(rules(&records, &[given_up]), ["MIXED"]);

    let mut ended = job(0);
    ended.cancel_sent = true;
    ended.cancelled_at = Some(at(15.0));
    assert_eq!(rules(&records, &[ended]), ["UNASKED"; 2]);
}

/// A run of `id` at `worker` from `began` to `ended`.
fn run_at(id: &str, worker: &str, began: f64, ended: Option<f64>) -> ExecutionRecord {
    ExecutionRecord {
        worker: worker.to_owned(),
        began_at: at(began),
        ended_at: ended.map(at),
        ..execution(id)
    }
}

/// A correct run in which item `item-c` of a complete job ran once more, from 21 s on, while its first
/// run lasted until `ended`.
fn overlapping_items(ended: Option<f64>) -> (Records, Vec<JobRecord>) {
    let (mut records, mut jobs) = correct_run();
    jobs[0].items.push("item-c".to_owned());
    let result = ItemResult {
        id: "item-c".to_owned(),
        state: "done".to_owned(),
        output: content::whole_output("item-c", "v1"),
    };
    assert_eq!(jobs[0].note_result(2, result), []);
    let runs = [
        run_at("item-c", "w", 20.0, ended),
        run_at("item-c", "w2", 21.0, Some(22.0)),
    ];
    records.executions.extend(runs);
    (records, jobs)
}

#[test]
fn test_check_items_beside_one_another() {
    let cases = [
        (Some(20.9), vec![]),
        (Some(21.3), vec![]),
        (Some(21.5), vec!["TWICE"]),
        (None, vec!["TWICE"]),
    ];
    for (ended, expected) in cases {
        let (records, jobs) = overlapping_items(ended);
        assert_eq!(rules(&records, &jobs), expected, "{ended:?}");
    }
    let (mut records, jobs) = overlapping_items(Some(22.0));
    for run in &mut records.executions {
        run.worker = "w".to_owned();
    }
    assert_eq!(rules(&records, &jobs), ["TWICE"], "at one worker");
}

#[test]
fn test_check_items_beside_one_another_during_faults() {
    // From, excuses, expected.
    let cases = [
        (19.0, true, vec![]),
        (21.2, true, vec![]),
        (21.2, false, vec!["TWICE"]),
        (16.0, true, vec!["TWICE"]),
        (21.5, true, vec!["TWICE"]),
    ];
    for (from, excuses_overlap, expected) in cases {
        let (mut records, jobs) = overlapping_items(Some(22.0));
        records.faults.push(FaultRecord {
            excuses_overlap,
            from: at(from),
            to: at(from + 0.5),
            ..fault(false)
        });
        let broken = rules(&records, &jobs);
        assert_eq!(broken, expected, "{from} {excuses_overlap}");
    }
}

/// A correct run with stream `call-2`, which its client takes up under other identifiers at 20.3 s and
/// 20.4 s.
fn taken_up_streams(ended: [f64; 3]) -> (Records, Vec<JobRecord>) {
    let (mut records, jobs) = correct_run();
    let ids = ["call-2", "call-2-again", "call-2-once-more"];
    for (number, (id, ended)) in ids.into_iter().zip(ended).enumerate() {
        let began = [20.0, 20.3, 20.4][number];
        records
            .calls
            .push(call(id, CallKind::Stream, CallOutcome::Served));
        let mut run = run_at(id, &format!("w{number}"), began, Some(ended));
        run.resumes = number.checked_sub(1).map(|before| ids[before].to_owned());
        records.executions.push(run);
    }
    (records, jobs)
}

#[test]
fn test_check_streams_beside_their_take_ups() {
    let cases = [
        ([20.3, 20.4, 21.0], 0),
        ([20.6, 20.7, 21.0], 0),
        ([20.75, 20.7, 21.0], 1),
        ([20.3, 20.9, 21.0], 1),
        ([20.9, 20.9, 21.0], 3),
    ];
    for (ended, expected) in cases {
        let (records, jobs) = taken_up_streams(ended);
        assert_eq!(rules(&records, &jobs), vec!["TWICE"; expected], "{ended:?}");
    }
    // What may be repeated is no stream.
    let (mut records, jobs) = taken_up_streams([20.9, 20.9, 21.0]);
    for call in &mut records.calls[1..] {
        call.kind = CallKind::Repeatable;
    }
    assert_eq!(rules(&records, &jobs), Vec::<String>::new());
}

#[test]
fn test_answers_of_a_given_length() {
    for (name, seconds) in [("item-a", 12), ("stream-1", 3)] {
        let id = content::lasting(name, seconds);
        let length = content::event_interval(&id) * content::event_count(&id) as u32;
        assert_eq!(length, Duration::from_secs(seconds), "{id}");
        assert!(id.starts_with(name), "{id}");
    }
}

#[test]
fn test_check_items_that_run_again() {
    for (began, expected) in [(20.9, vec![]), (21.1, vec!["TWICE"])] {
        let (mut records, mut jobs) = correct_run();
        jobs[0].completed_at = Some(at(21.0));
        let again = run_at("item-a", "w2", began, Some(began + 0.3));
        records.executions.push(again);
        assert_eq!(rules(&records, &jobs), expected, "{began}");

        let mut frozen = fault(false);
        frozen.to = at(20.8);
        records.faults.push(frozen);
        assert_eq!(rules(&records, &jobs), Vec::<String>::new());
    }
}

#[test]
fn test_check_positions_of_results() {
    let result = |id: &str, output: &str| ItemResult {
        id: id.to_owned(),
        state: "dead_letter".to_owned(),
        output: output.to_owned(),
    };
    let cases = [
        (0, "item-a", "", vec![]),
        (1, "item-b", "", vec![]),
        (1, "item-a", "", vec!["TWICE"]),
        (0, "item-a", "other", vec!["TWICE"]),
        (0, "item-b", "", vec!["TWICE"]),
        (1, "item-x", "", vec!["MIXED"]),
    ];
    for (position, id, output, expected) in cases {
        let mut job = job(0);
        assert_eq!(job.note_result(0, result("item-a", "")), []);
        let broken = job.note_result(position, result(id, output));
        let broken: Vec<&str> = broken.iter().map(|(rule, _)| *rule).collect();
        assert_eq!(broken, expected, "{id} at {position}");
    }
}

#[test]
fn test_check_recovery() {
    let (mut records, jobs) = correct_run();
    records.calls[0].outcome = CallOutcome::Refused(503);
    records.executions.remove(0);
    assert_eq!(rules(&records, &jobs), ["RECOVER"]);
}

/// A run in which the moved route names `annex` from `moved_at` on, and a request on it, sent at
/// 20 s, is run by `service`.
fn moved_run(moved_at: Option<f64>, service: &str) -> Records {
    let mut records = correct_run().0;
    let mut moved = call("call-2", CallKind::Repeatable, CallOutcome::Served);
    moved.prefix = MOVED_PREFIX.to_owned();
    records.calls.push(moved);
    let mut run = execution("call-2");
    run.service = service.to_owned();
    records.executions.push(run);
    for (at, service) in [(Some(1.0), "desk"), (moved_at, "annex")] {
        records.moves.push(MoveRecord {
            service: service.to_owned(),
            sent: self::at(at.unwrap_or(17.0)),
            at: at.map(self::at),
        });
    }
    records
}

#[test]
fn test_check_moved_route() {
    let cases = [
        (Some(17.0), "desk", vec!["CONFIG"]),
        (Some(17.0), "annex", vec![]),
        (Some(18.5), "desk", vec![]),
        (Some(18.5), "annex", vec![]),
        (None, "desk", vec![]),
        (None, "annex", vec![]),
        (None, "other", vec!["CONFIG"]),
    ];
    for (moved_at, service, expected) in cases {
        let records = moved_run(moved_at, service);
        let jobs = [job(2)];
        assert_eq!(rules(&records, &jobs), expected, "{moved_at:?} {service}");
    }
}

/// Guards against silent watches that excuse a host for as long as they are silent.
#[test]
fn test_check_after_silence() {
    for (silent_at, expected) in [(16.0, vec!["CONFIG", "DRAIN"]), (18.0, vec![])] {
        let mut records = moved_run(Some(16.5), "desk");
        let mut leaving = execution("call-2");
        leaving.worker = "leaving".to_owned();
        leaving.service = "annex".to_owned();
        records.executions.push(leaving);
        records.leaves.push(LeaveRecord {
            worker: "leaving".to_owned(),
            at: at(16.5),
        });
        records.faults.push(FaultRecord {
            name: "config_watch_silent".to_owned(),
            planned: false,
            at_store: false,
            excuses_overlap: true,
            from: at(silent_at),
            to: at(silent_at),
        });
        let mut rules = rules(&records, &[job(2)]);
        rules.sort();
        assert_eq!(rules, expected, "{silent_at}");
    }
}

#[test]
fn test_answer_of_two_versions() {
    let id = "call-1";
    let event = |number, version| {
        let data = content::event_data(id, number, version);
        format!("id: {number}\ndata: {data}\n\n")
    };
    let answer = |second_from: u64| -> String {
        let events = 1..=content::event_count(id);
        let version = |number| if number < second_from { "v1" } else { "v1.1" };
        events
            .map(|number| event(number, version(number)))
            .collect()
    };
    let outcome = |text: &str, whole| compare_answer(CallKind::Stream, id, text.as_bytes(), whole);
    for second_from in [1, 100] {
        assert_eq!(outcome(&answer(second_from), true), CallOutcome::Served);
        let part = &answer(second_from)[..answer(second_from).len() - 3];
        assert_eq!(outcome(part, false), CallOutcome::CutOff);
    }
    let joined = outcome(&answer(3), true);
    assert!(matches!(joined, CallOutcome::Joined(_)), "{joined:?}");
}

#[test]
fn test_check_items_that_fail_at_each_run() {
    let id = content::failing("item-a");
    let run = |id: &str| ExecutionRecord {
        began_at: at(20.0),
        ended_at: Some(at(20.0) + content::fail_time(id)),
        ..execution(id)
    };
    let broken = |runs: usize, is_listed: bool| {
        let result = ItemResult {
            id: id.clone(),
            state: "dead_letter".to_owned(),
            output: String::new(),
        };
        let job = JobRecord {
            items: vec![id.clone()],
            results: is_listed.then_some(result).into_iter().collect(),
            ..job(0)
        };
        let records = Records {
            executions: (0..runs).map(|_| run(&id)).collect(),
            ..Records::default()
        };
        let broken = rules(&records, &[job]).into_iter();
        let is_judged = |rule: &String| ["BUDGET", "MIXED"].contains(&rule.as_str());
        broken.filter(is_judged).collect::<Vec<_>>()
    };
    assert!(broken(2, false).is_empty());
    assert_eq!(broken(2, true), ["MIXED"]);
    assert!(broken(3, true).is_empty());
    assert!(broken(6, true).is_empty());
    assert_eq!(broken(7, true), ["BUDGET"]);
}
