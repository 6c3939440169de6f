//! What the soak counts of tries at fronts that have lost the workers.

use std::time::Duration;

use soak::history::CallKind;
use soak::history::CallOutcome;
use soak::history::CallRecord;
use soak::history::Records;
use soak::play_stranded::CutRecord;
use soak::play_stranded::ReachReport;
use soak::play_stranded::RestartRecord;
use soak::play_stranded::TryCounts;

const SECOND: Duration = Duration::from_secs(1);

fn call(front: usize, sent: Duration, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        id: format!("try-{front}-{sent:?}"),
        kind: CallKind::Repeatable,
        prefix: "/often/".to_owned(),
        front,
        sent,
        ended: sent,
        outcome,
        route_acknowledged_at: Duration::ZERO,
    }
}

/// Counts twenty tries a second for 20 s at two fronts, of which the first has no workers from second 5 to
/// second 15; `fails` says of which numbers its tries fail then.
fn count(fails: impl Fn(u32) -> bool, restarts: &[RestartRecord]) -> ReachReport {
    let mut records = Records::default();
    for number in 0..400 {
        let sent = SECOND * number / 20;
        let is_cut = (SECOND * 5..SECOND * 15).contains(&sent);
        let outcome = match is_cut && fails(number) {
            true => CallOutcome::Refused(503),
            false => CallOutcome::Served,
        };
        records.calls.push(call(0, sent, outcome));
        records.calls.push(call(1, sent, CallOutcome::Served));
    }
    let cut = CutRecord {
        fronts: vec![0],
        from: SECOND * 5,
        to: SECOND * 15,
    };
    let mut report = ReachReport::default();
    report.count(&records, &[cut], restarts);
    report
}

#[test]
fn test_reach_by_time_and_front() {
    let report = count(|number| number.is_multiple_of(2), &[]);
    let counts = |sent, served| TryCounts { sent, served };
    assert_eq!(report.early_stranded, counts(40, 20));
    assert_eq!(report.early_others, counts(40, 40));
    assert_eq!(report.stranded, counts(140, 70));
    assert_eq!(report.others, counts(140, 140));
    assert!(report.is_broken());
}

#[test]
fn test_reach_rule_bounds() {
    assert!(!count(|_| false, &[]).is_broken());
    assert!(count(|_| true, &[]).is_broken());
    let most = count(|number| number.is_multiple_of(4), &[]);
    assert!(!most.is_broken(), "three in four are served");
    // Of 30 tries, 10 may fail.
    let failed = |count: usize| ReachReport {
        stranded: TryCounts {
            sent: 30,
            served: 30 - count,
        },
        others: TryCounts {
            sent: 30,
            served: 30,
        },
        ..ReachReport::default()
    };
    assert!(!failed(10).is_broken());
    assert!(failed(11).is_broken());
}

#[test]
fn test_reach_leaves_out_restarted_fronts() {
    let restart = RestartRecord {
        front: 0,
        from: SECOND * 9,
        to: SECOND * 10,
    };
    // Tries from the end of the front to three seconds after its start.
    let report = count(|number| (180..=260).contains(&number), &[restart]);
    assert_eq!(report.stranded.sent, report.stranded.served);
    assert!(!report.is_broken());
}

#[test]
fn test_reach_wrong_answers() {
    let mut records = Records::default();
    let joined = CallOutcome::Joined("v1, v2".to_owned());
    records.calls.push(call(1, SECOND, joined));
    let mut report = ReachReport::default();
    report.count(&records, &[], &[]);
    assert!(report.is_broken());
}
