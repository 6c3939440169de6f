//! The checks of the soak find each promise that is broken, and nothing in a sound run.

use std::time::Duration;

use soak::check::check;
use soak::content;
use soak::history::CallEnd;
use soak::history::CallKind;
use soak::history::CallRecord;
use soak::history::FaultRecord;
use soak::history::LeaveRecord;
use soak::history::Records;
use soak::history::RunRecord;
use soak::lots::LotRecord;
use soak::lots::LotResult;

fn at(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn call(id: &str, kind: CallKind, end: CallEnd) -> CallRecord {
    CallRecord {
        id: id.to_owned(),
        kind,
        front: 0,
        sent: at(20.0),
        ended: at(21.0),
        end,
        route_since: Duration::ZERO,
    }
}

fn run(id: &str) -> RunRecord {
    RunRecord {
        id: id.to_owned(),
        worker: "w".to_owned(),
        after: 0,
        at: at(20.1),
        ended: Some(at(20.9)),
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

fn lot(results: usize) -> LotRecord {
    let items: Vec<String> = ["item-a", "item-b"].map(str::to_owned).to_vec();
    let results = items.iter().take(results).map(|id| LotResult {
        id: id.clone(),
        state: "done".to_owned(),
        output: content::whole_output(id),
    });
    LotRecord {
        id: "lot".to_owned(),
        results: results.collect(),
        items,
        accepted: Some(at(1.0)),
        ..LotRecord::default()
    }
}

/// A sound run: one served request and one whole batch job.
fn sound() -> (Records, Vec<LotRecord>) {
    let records = Records {
        calls: vec![call("call-1", CallKind::Once, CallEnd::Served)],
        runs: vec![run("call-1"), run("item-a"), run("item-b")],
        ..Records::default()
    };
    (records, vec![lot(2)])
}

/// Names of the rules that the run breaks.
fn rules(records: &Records, lots: &[LotRecord]) -> Vec<String> {
    let broken = check(records, lots, at(15.0));
    let names = broken.iter().map(|line| line.split(':').next().unwrap());
    names.map(str::to_owned).collect()
}

#[test]
fn test_check_sound_run() {
    let (records, lots) = sound();
    assert_eq!(rules(&records, &lots), Vec::<String>::new());
}

#[test]
fn test_check_requests() {
    let cases: [(&str, CallEnd, usize, &str); 4] = [
        ("MIXED", CallEnd::Mixed("other bytes".to_owned()), 1, "call"),
        ("TWICE", CallEnd::Served, 2, "call"),
        ("REFUSED", CallEnd::Refused(503), 1, "call"),
        ("CONFIG", CallEnd::Failed(404), 0, "call"),
    ];
    for (rule, end, runs, id) in cases {
        let (mut records, lots) = sound();
        records.calls.push(call(id, CallKind::Once, end));
        records.runs.extend((0..runs).map(|_| run(id)));
        assert_eq!(rules(&records, &lots), [rule], "{rule}");
    }
}

#[test]
fn test_check_cut_off_counts_around_planned_work_only() {
    for (planned, expected) in [(true, vec!["LOST"]), (false, vec![])] {
        let (mut records, lots) = sound();
        records
            .calls
            .push(call("call-2", CallKind::Stream, CallEnd::Broken));
        records.runs.push(run("call-2"));
        records.faults.push(fault(planned));
        assert_eq!(rules(&records, &lots), expected);
    }
}

#[test]
fn test_check_work_for_clients_that_left() {
    for (after, expected) in [(0.2, vec![]), (1.5, vec!["GONE"])] {
        let (mut records, lots) = sound();
        for number in 0..8 {
            let id = format!("call-{number}-{}", content::LEAVE_SUFFIX);
            let mut left = call(&id, CallKind::Stream, CallEnd::Left);
            left.ended = at(20.2);
            records.calls.push(left);
            let mut at_work = run(&id);
            at_work.ended = Some(at(20.2 + after));
            records.runs.push(at_work);
        }
        assert_eq!(rules(&records, &lots), expected);
    }
}

#[test]
fn test_check_runs() {
    let (mut records, lots) = sound();
    records.runs.push(run("call-nobody-sent"));
    assert_eq!(rules(&records, &lots), ["UNASKED"]);

    let (mut records, lots) = sound();
    records.runs[0].intact = false;
    assert_eq!(rules(&records, &lots), ["UNASKED"]);

    let (mut records, lots) = sound();
    records.runs[0].budget_ms = Some(9_000);
    assert_eq!(rules(&records, &lots), ["BUDGET"]);

    let (mut records, lots) = sound();
    let leave = LeaveRecord {
        worker: "w".to_owned(),
        at: at(17.0),
    };
    records.leaves.push(leave);
    assert_eq!(rules(&records, &lots), ["DRAIN"; 3]);
}

#[test]
fn test_check_batch_jobs() {
    let (records, _) = sound();
    assert_eq!(rules(&records, &[lot(1)]), ["LOST"]);

    let mut refused = lot(0);
    refused.accepted = None;
    refused.refused = true;
    assert_eq!(rules(&records, &[refused]), ["REFUSED"]);

    let mut given_up = lot(2);
    given_up.results[0].state = "dead_letter".to_owned();
    assert_eq!(rules(&records, &[given_up]), ["MIXED"]);

    let mut ended = lot(0);
    ended.end_sent = true;
    ended.ended = Some(at(15.0));
    assert_eq!(rules(&records, &[ended]), ["UNASKED"; 2]);
}

#[test]
fn test_check_recovery() {
    let (mut records, lots) = sound();
    records.calls[0].end = CallEnd::Refused(503);
    records.runs.remove(0);
    assert_eq!(rules(&records, &lots), ["RECOVER"]);
}
