//! Judges the records of a run by the rules of the users' pages.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::content;
use crate::history::CallEnd;
use crate::history::CallKind;
use crate::history::CallRecord;
use crate::history::FaultRecord;
use crate::history::Records;
use crate::history::RunRecord;
use crate::lots::CANCEL_TIME;
use crate::lots::LotRecord;
use crate::workers::EVENT_TIME;

/// Time without impairment after which hosts and the store count as in touch.
const STABLE_TIME: Duration = Duration::from_secs(3);
/// Time after which a change of the manifest or of a worker's entry is in force.
const IN_FORCE_TIME: Duration = Duration::from_secs(2);
/// Time after which a request that was read must have been passed on or answered.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// A request that has used this share of its time may be cut.
const LATE_SHARE: f64 = 0.7;
const TIME_LIMIT: Duration = Duration::from_secs(5);
/// Time limits that workers get may be longer than the client's by this much.
const BUDGET_SLACK_MS: u64 = 500;
/// Time after which no work is done for a client that has left.
const LEFT_TIME: Duration = Duration::from_millis(500);
/// Runs that go on for clients that have left, at most.
const MAX_LEFT: usize = 3;
/// Requests that are denied by mistake, at most, and one in so many.
const MAX_DENIED: usize = 5;
const DENIED_ONE_IN: usize = 500;

/// Whether no unplanned fault was at work from three seconds before `from` until `to`.
pub fn is_calm(faults: &[FaultRecord], from: Duration, to: Duration) -> bool {
    let begin = from.saturating_sub(STABLE_TIME);
    !faults
        .iter()
        .any(|fault| !fault.planned && fault.from <= to && fault.to >= begin)
}

/// All broken promises, each as one line.
pub fn check(records: &Records, lots: &[LotRecord], recovered_from: Duration) -> Vec<String> {
    let mut broken = records.seen.clone();
    let runs = runs_by_id(&records.runs);
    check_calls(records, &runs, &mut broken);
    check_runs(records, lots, &mut broken);
    check_left(records, &runs, &mut broken);
    check_leaves(records, &mut broken);
    check_lots(records, lots, &runs, &mut broken);
    check_recovery(&records.calls, recovered_from, &mut broken);
    broken
}

fn runs_by_id(runs: &[RunRecord]) -> BTreeMap<&str, Vec<&RunRecord>> {
    let mut by_id: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
    for run in runs {
        by_id.entry(&run.id).or_default().push(run);
    }
    by_id
}

fn check_calls(
    records: &Records,
    runs: &BTreeMap<&str, Vec<&RunRecord>>,
    broken: &mut Vec<String>,
) {
    let mut denied = 0;
    for call in &records.calls {
        let runs = runs.get(call.id.as_str()).map_or(&[][..], Vec::as_slice);
        if let CallEnd::Mixed(what) = &call.end {
            broken.push(format!("MIXED: {} got {what}", call.id));
        }
        if call.kind == CallKind::Once && runs.len() > 1 {
            broken.push(format!("TWICE: {} ran {} times", call.id, runs.len()));
        }
        let promised = matches!(call.end, CallEnd::Refused(_));
        if call.kind == CallKind::Once && promised && !runs.is_empty() {
            broken.push(format!("REFUSED: {} was {:?} and ran", call.id, call.end));
        }
        if let CallEnd::Failed(status @ 300..500) = call.end {
            let in_force = call.sent >= call.route_since + IN_FORCE_TIME;
            denied += usize::from(in_force);
            if in_force && matches!(status, 401 | 403 | 404) {
                let calm = is_calm(&records.faults, call.sent, call.ended);
                if calm || call.route_since.is_zero() {
                    broken.push(format!("CONFIG: {} was answered {status}", call.id));
                }
            }
        }
        if is_lost(records, call, !runs.is_empty()) {
            let lasted = call.ended - call.sent;
            broken.push(format!(
                "LOST: {} at front {} broke after {lasted:.1?}, sent at {:.2?}",
                call.id, call.front, call.sent
            ));
        }
    }
    if denied > MAX_DENIED + records.calls.len() / DENIED_ONE_IN {
        broken.push(format!("DENIED: {denied} proper requests"));
    }
}

/// Whether an answer was cut off around planned work, without an unplanned fault.
fn is_lost(records: &Records, call: &CallRecord, passed_on: bool) -> bool {
    let lasted = call.ended - call.sent;
    call.end == CallEnd::Broken
        && (passed_on || lasted > LOSS_SLACK)
        && lasted.as_secs_f64() < TIME_LIMIT.as_secs_f64() * LATE_SHARE
        && is_calm(&records.faults, call.sent, call.ended)
}

fn check_runs(records: &Records, lots: &[LotRecord], broken: &mut Vec<String>) {
    let sent: std::collections::BTreeSet<&str> = records
        .calls
        .iter()
        .map(|call| call.id.as_str())
        .chain(
            lots.iter()
                .flat_map(|lot| lot.items.iter().map(String::as_str)),
        )
        .collect();
    for run in &records.runs {
        if !run.intact || !sent.contains(run.id.as_str()) {
            broken.push(format!("UNASKED: {} ran at {}", run.id, run.worker));
        }
        let limit = TIME_LIMIT.as_millis() as u64 + BUDGET_SLACK_MS;
        let is_item = run.id.starts_with(content::ITEM_PREFIX);
        if !is_item && run.budget_ms.is_none_or(|budget| budget > limit) {
            broken.push(format!("BUDGET: {} with {:?} ms", run.id, run.budget_ms));
        }
    }
}

/// Workers end the work of most clients that left soon after.
fn check_left(records: &Records, runs: &BTreeMap<&str, Vec<&RunRecord>>, broken: &mut Vec<String>) {
    let mut at_work = 0;
    let mut all = 0;
    for call in records
        .calls
        .iter()
        .filter(|call| call.end == CallEnd::Left)
    {
        let limit = call.ended + LEFT_TIME;
        if !is_calm(&records.faults, call.sent, limit) {
            continue;
        }
        for run in runs.get(call.id.as_str()).into_iter().flatten() {
            let events = content::event_count(&run.id) - run.after;
            if run.at + EVENT_TIME * events as u32 <= limit {
                continue;
            }
            all += 1;
            at_work += usize::from(run.ended.is_none_or(|ended| ended > limit));
        }
    }
    if at_work > MAX_LEFT && at_work * 4 > all {
        broken.push(format!(
            "GONE: {at_work} of {all} runs of clients that left"
        ));
    }
}

/// No request reaches a worker that leaves, later than the change is in force.
fn check_leaves(records: &Records, broken: &mut Vec<String>) {
    for leave in &records.leaves {
        let from = leave.at + IN_FORCE_TIME;
        let late = records.runs.iter().filter(|run| {
            run.worker == leave.worker
                && run.at > from
                && is_calm(&records.faults, leave.at, run.at)
        });
        for run in late {
            let after = run.at - leave.at;
            broken.push(format!(
                "DRAIN: {} reached {} {after:.1?} after it began to leave",
                run.id, run.worker
            ));
        }
    }
}

fn check_lots(
    records: &Records,
    lots: &[LotRecord],
    runs: &BTreeMap<&str, Vec<&RunRecord>>,
    broken: &mut Vec<String>,
) {
    for lot in lots {
        if lot.accepted.is_some() && !lot.end_sent && !lot.is_complete() {
            broken.push(format!(
                "LOST: {} lists {} of {} items",
                lot.id,
                lot.results.len(),
                lot.items.len()
            ));
        }
        let first_run = |id: &String| runs.get(id.as_str()).and_then(|runs| runs.first().copied());
        if lot.refused && lot.items.iter().any(|item| first_run(item).is_some()) {
            broken.push(format!("REFUSED: {} was refused and ran", lot.id));
        }
        for result in lot.results.iter().filter(|result| result.state != "done") {
            if !content::is_poison(&result.id) && !lot.end_sent {
                broken.push(format!("MIXED: {} is {}", result.id, result.state));
            }
        }
        let Some(ended) = lot.ended else {
            continue;
        };
        let late = lot
            .items
            .iter()
            .flat_map(|id| runs.get(id.as_str()).into_iter().flatten());
        for run in late.filter(|run| run.at > ended + CANCEL_TIME) {
            if is_calm(&records.faults, ended, run.at) {
                broken.push(format!("UNASKED: {} ran after the end of its job", run.id));
            }
        }
    }
}

/// A quarter of the requests that were sent after the recovery time are served.
fn check_recovery(calls: &[CallRecord], from: Duration, broken: &mut Vec<String>) {
    let late: Vec<&CallRecord> = calls
        .iter()
        .filter(|call| call.sent >= from && call.end != CallEnd::Left)
        .collect();
    let served = late.iter().filter(|call| call.end == CallEnd::Served);
    let served = served.count();
    if late.is_empty() || served * 4 < late.len() {
        broken.push(format!(
            "RECOVER: {served} of {} requests are served at the end",
            late.len()
        ));
    }
}
