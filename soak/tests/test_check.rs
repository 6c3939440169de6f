//! The checks of the soak report each kind of violation, and nothing for a correct run.

use std::time::Duration;

use soak::check::check;
use soak::content;
use soak::history::CallKind;
use soak::history::CallOutcome;
use soak::history::CallRecord;
use soak::history::ExecutionRecord;
use soak::history::FaultRecord;
use soak::history::LeaveRecord;
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
        worker: "w".to_owned(),
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
        from: at(19.0),
        to: at(19.5),
    }
}

fn job(results: usize) -> JobRecord {
    let items: Vec<String> = ["item-a", "item-b"].map(str::to_owned).to_vec();
    let results = items.iter().take(results).map(|id| ItemResult {
        id: id.clone(),
        state: "done".to_owned(),
        output: content::whole_output(id),
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
    let cases: [(&str, CallOutcome, usize, &str); 4] = [
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

#[test]
fn test_check_recovery() {
    let (mut records, jobs) = correct_run();
    records.calls[0].outcome = CallOutcome::Refused(503);
    records.executions.remove(0);
    assert_eq!(rules(&records, &jobs), ["RECOVER"]);
}
