//! Checks the records of a run against the guarantees in the users' documentation.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::content;
use crate::fleet::MOVED_PREFIX;
use crate::history::CallKind;
use crate::history::CallOutcome;
use crate::history::CallRecord;
use crate::history::ExecutionRecord;
use crate::history::FaultRecord;
use crate::history::MoveRecord;
use crate::history::Records;
use crate::jobs::CANCEL_EFFECT_TIME;
use crate::jobs::JobRecord;
use crate::overlap;
use crate::overlap::is_overlap_undisturbed;

/// Time without an unplanned fault after which fronts and the store count as reachable again.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time within which a change of the manifest or of a worker's entry takes effect everywhere.
const IN_FORCE_TIME: Duration = Duration::from_secs(2);
/// Time within which a front that has read a request sends it to a worker or answers it.
const DISPATCH_TIME: Duration = Duration::from_millis(200);
/// Share of its time limit for which a request must not be cut off; later it may be, as its time
/// runs out.
const PROTECTED_TIME_SHARE: f64 = 0.7;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Milliseconds by which the time budget that a worker gets may exceed the client's time limit.
const BUDGET_SLACK_MS: u64 = 500;
/// Time within which workers stop work for a client that has closed its connection.
const WORK_STOP_TIME: Duration = Duration::from_millis(500);
/// Most executions that may continue longer than that for clients that have gone.
const MAX_LATE_EXECUTIONS: usize = 3;
/// Valid requests that may be denied: this many, and one more in every [`DENIED_ONE_IN`].
const MAX_DENIED: usize = 5;
const DENIED_ONE_IN: usize = 500;

/// Whether no unplanned fault was in effect from three seconds before `from` until `to`.
pub fn is_undisturbed(faults: &[FaultRecord], from: Duration, to: Duration) -> bool {
    let begin = from.saturating_sub(SETTLE_TIME);
    !faults
        .iter()
        .any(|fault| !fault.planned && fault.from <= to && fault.to >= begin)
}

/// When no unplanned fault was in effect any more; `now` if one still is.
pub fn calm_since(faults: &[FaultRecord], now: Duration) -> Duration {
    let ends = faults.iter().filter(|fault| !fault.planned);
    let last = ends.map(|fault| fault.to).max().unwrap_or_default();
    last.saturating_add(SETTLE_TIME).min(now)
}

/// Returns all violations, one line each, which begins with the name of the rule.
///
/// Requests sent after `recovered_at` are expected to be served again.
pub fn check(records: &Records, jobs: &[JobRecord], recovered_at: Duration) -> Vec<String> {
    let mut violations = records.observed_violations.clone();
    let executions = executions_by_id(&records.executions);
    check_calls(records, &executions, &mut violations);
    check_executions(records, jobs, &mut violations);
    check_overlaps(records, &mut violations);
    check_repeated_items(records, jobs, &executions, &mut violations);
    check_cancelled_calls(records, &executions, &mut violations);
    check_leaving_workers(records, &mut violations);
    check_moved_route(records, &executions, &mut violations);
    check_jobs(records, jobs, &executions, &mut violations);
    check_recovery(&records.calls, recovered_at, &mut violations);
    violations
}

fn executions_by_id(executions: &[ExecutionRecord]) -> BTreeMap<&str, Vec<&ExecutionRecord>> {
    let mut by_id: BTreeMap<&str, Vec<&ExecutionRecord>> = BTreeMap::new();
    for execution in executions {
        by_id.entry(&execution.id).or_default().push(execution);
    }
    by_id
}

fn check_calls(
    records: &Records,
    executions: &BTreeMap<&str, Vec<&ExecutionRecord>>,
    violations: &mut Vec<String>,
) {
    let mut denied = 0;
    for call in &records.calls {
        let executions = executions
            .get(call.id.as_str())
            .map_or(&[][..], Vec::as_slice);
        if let CallOutcome::Mismatched(what) = &call.outcome {
            violations.push(format!("MIXED: {} got {what}", call.id));
        }
        if let CallOutcome::Joined(what) = &call.outcome {
            violations.push(format!("ORDER: {} is joined from {what}", call.id));
        }
        if call.kind == CallKind::Once && executions.len() > 1 {
            violations.push(format!("TWICE: {} ran {} times", call.id, executions.len()));
        }
        let promised = matches!(call.outcome, CallOutcome::Refused(_));
        if call.kind == CallKind::Once && promised && !executions.is_empty() {
            violations.push(format!(
                "REFUSED: {} was {:?} and ran",
                call.id, call.outcome
            ));
        }
        if let CallOutcome::Failed(status @ 300..500) = call.outcome {
            let in_force = call.sent >= call.route_acknowledged_at + IN_FORCE_TIME;
            denied += usize::from(in_force);
            if in_force && matches!(status, 401 | 403 | 404) {
                let calm = is_undisturbed(&records.faults, call.sent, call.ended);
                if calm || call.route_acknowledged_at.is_zero() {
                    violations.push(format!("CONFIG: {} was answered {status}", call.id));
                }
            }
        }
        if is_wrongly_cut_off(records, call, !executions.is_empty()) {
            let lasted = call.ended - call.sent;
            violations.push(format!(
                "LOST: {} at front {} broke after {lasted:.1?}, sent at {:.2?}",
                call.id, call.front, call.sent
            ));
        }
    }
    if denied > MAX_DENIED + records.calls.len() / DENIED_ONE_IN {
        violations.push(format!("DENIED: {denied} proper requests"));
    }
}

/// Failed runs after which an item is given up (`attempts` of the route of batch jobs).
const ITEM_ATTEMPTS: usize = 3;
/// Most failed runs of an item, over all owners of its job. The rules of the platform allow three times
/// `attempts`.
const MAX_FAILURES: usize = 2 * ITEM_ATTEMPTS;

/// Whether a request was cut off although only planned maintenance was going on.
///
/// A request that no worker got and that failed quickly doesn't count, as the front may never have
/// read it.
fn is_wrongly_cut_off(records: &Records, call: &CallRecord, reached_worker: bool) -> bool {
    let lasted = call.ended - call.sent;
    call.outcome == CallOutcome::CutOff
        && (reached_worker || lasted > DISPATCH_TIME)
        && lasted.as_secs_f64() < REQUEST_TIMEOUT.as_secs_f64() * PROTECTED_TIME_SHARE
        && is_undisturbed(&records.faults, call.sent, call.ended)
}

fn check_executions(records: &Records, jobs: &[JobRecord], violations: &mut Vec<String>) {
    let sent: std::collections::BTreeSet<&str> = records
        .calls
        .iter()
        .map(|call| call.id.as_str())
        .chain(
            jobs.iter()
                .flat_map(|job| job.items.iter().map(String::as_str)),
        )
        .collect();
    for execution in &records.executions {
        if !execution.intact || !sent.contains(execution.id.as_str()) {
            violations.push(format!(
                "UNASKED: {} ran at {}",
                execution.id, execution.worker
            ));
        }
        let limit = REQUEST_TIMEOUT.as_millis() as u64 + BUDGET_SLACK_MS;
        let is_item = execution.id.starts_with(content::ITEM_PREFIX);
        if !is_item && execution.budget_ms.is_none_or(|budget| budget > limit) {
            violations.push(format!(
                "BUDGET: {} with {:?} ms",
                execution.id, execution.budget_ms
            ));
        }
    }
}

/// Checks that no stream or item goes on in another run while the run before still works on it.
fn check_overlaps(records: &Records, violations: &mut Vec<String>) {
    let streams = records.calls.iter();
    let streams = streams.filter(|call| call.kind == CallKind::Stream);
    let streams: std::collections::BTreeSet<&str> = streams.map(|call| call.id.as_str()).collect();
    for pair in overlap::pairs(&records.executions) {
        let is_judged =
            pair.request.starts_with(content::ITEM_PREFIX) || streams.contains(pair.request);
        if is_judged && !pair.is_excused(&records.faults) {
            let (earlier, later) = (pair.earlier, pair.later);
            let ended = match earlier.ended_at {
                Some(ended) => format!("until {ended:.2?}"),
                None => "without end".to_owned(),
            };
            violations.push(format!(
                "TWICE: {} ran at {} {ended} beside its run at {} from {:.2?} on",
                pair.request, earlier.worker, later.worker, later.began_at
            ));
        }
    }
}

/// Checks that no item begins to run once a client has read all results of its job.
fn check_repeated_items(
    records: &Records,
    jobs: &[JobRecord],
    executions: &BTreeMap<&str, Vec<&ExecutionRecord>>,
    violations: &mut Vec<String>,
) {
    for (job, completed_at) in jobs.iter().filter_map(|job| Some((job, job.completed_at?))) {
        let items = job.items.iter();
        let runs = items.flat_map(|id| executions.get(id.as_str()).into_iter().flatten());
        for run in runs.filter(|run| run.began_at > completed_at) {
            if is_overlap_undisturbed(&records.faults, run.began_at, run.began_at) {
                let after = run.began_at - completed_at;
                violations.push(format!(
                    "TWICE: item ran again after its job was complete: {} at {}, {after:.1?} after",
                    run.id, run.worker
                ));
            }
        }
    }
}

/// Checks that workers soon stop most executions of clients that closed their connection.
fn check_cancelled_calls(
    records: &Records,
    executions: &BTreeMap<&str, Vec<&ExecutionRecord>>,
    violations: &mut Vec<String>,
) {
    let mut unfinished = 0;
    let mut all = 0;
    for call in records
        .calls
        .iter()
        .filter(|call| call.outcome == CallOutcome::Cancelled)
    {
        let limit = call.ended + WORK_STOP_TIME;
        if !is_undisturbed(&records.faults, call.sent, limit) {
            continue;
        }
        for execution in executions.get(call.id.as_str()).into_iter().flatten() {
            let events = content::event_count(&execution.id) - execution.resume_after;
            let work_time = content::event_interval(&execution.id) * events as u32;
            if execution.began_at + work_time <= limit {
                continue;
            }
            all += 1;
            unfinished += usize::from(execution.ended_at.is_none_or(|ended| ended > limit));
        }
    }
    if unfinished > MAX_LATE_EXECUTIONS && unfinished * 4 > all {
        violations.push(format!(
            "GONE: {unfinished} of {all} runs of clients that left"
        ));
    }
}

/// Checks that no request reaches a draining worker once its changed entry has taken effect.
fn check_leaving_workers(records: &Records, violations: &mut Vec<String>) {
    let calls = records.calls.iter();
    let sent: BTreeMap<&str, Duration> = calls.map(|call| (call.id.as_str(), call.sent)).collect();
    for leave in &records.leaves {
        let from = leave.at + IN_FORCE_TIME;
        // Only an impairment of the store itself excuses what was acknowledged meanwhile.
        let store_faults = records.faults.iter().filter(|fault| fault.at_store);
        let store_faults: Vec<FaultRecord> = store_faults.cloned().collect();
        if !is_undisturbed(&store_faults, leave.at, leave.at) {
            continue;
        }
        let late = records.executions.iter().filter(|execution| {
            let taken_at = sent.get(execution.id.as_str());
            let taken_at = taken_at.map_or(execution.began_at, |sent| *sent);
            execution.worker == leave.worker
                && execution.began_at > from
                && is_undisturbed(&records.faults, taken_at, execution.began_at)
        });
        for execution in late {
            let after = execution.began_at - leave.at;
            violations.push(format!(
                "DRAIN: {} reached {} {after:.1?} after it began to leave",
                execution.id, execution.worker
            ));
        }
    }
}

/// Checks that no request is run by a service that only an older manifest than the one that must be
/// in force allows.
fn check_moved_route(
    records: &Records,
    executions: &BTreeMap<&str, Vec<&ExecutionRecord>>,
    violations: &mut Vec<String>,
) {
    let calls = records.calls.iter();
    for call in calls.filter(|call| call.prefix == MOVED_PREFIX) {
        let must_be_in_force =
            |change: &MoveRecord| change.at.is_some_and(|at| call.sent > at + IN_FORCE_TIME);
        let Some(first) = records.moves.iter().rposition(must_be_in_force) else {
            continue;
        };
        for execution in executions.get(call.id.as_str()).into_iter().flatten() {
            let mut allowed = records.moves[first..].iter();
            let is_allowed = allowed.any(|change| {
                change.service == execution.service && change.sent <= execution.began_at
            });
            if !is_allowed && is_undisturbed(&records.faults, call.sent, execution.began_at) {
                violations.push(format!(
                    "CONFIG: {} at front {} was run by {}",
                    call.id, call.front, execution.service
                ));
            }
        }
    }
}

fn check_jobs(
    records: &Records,
    jobs: &[JobRecord],
    executions: &BTreeMap<&str, Vec<&ExecutionRecord>>,
    violations: &mut Vec<String>,
) {
    for job in jobs {
        if job.accepted_at.is_some() && !job.cancel_sent && !job.is_complete() {
            violations.push(format!(
                "LOST: {} lists {} of {} items",
                job.id,
                job.results.len(),
                job.items.len()
            ));
        }
        let first_execution = |id: &String| {
            executions
                .get(id.as_str())
                .and_then(|executions| executions.first().copied())
        };
        if job.refused && job.items.iter().any(|item| first_execution(item).is_some()) {
            violations.push(format!("REFUSED: {} was refused and ran", job.id));
        }
        for result in job.results.iter().filter(|result| result.state != "done") {
            let may_fail = content::is_poison(&result.id) || content::is_failing(&result.id);
            if !may_fail && !job.cancel_sent {
                violations.push(format!("MIXED: {} is {}", result.id, result.state));
            }
        }
        check_failing_items(job, executions, violations);
        let Some(ended) = job.cancelled_at else {
            continue;
        };
        let late = job
            .items
            .iter()
            .flat_map(|id| executions.get(id.as_str()).into_iter().flatten());
        for execution in late.filter(|execution| execution.began_at > ended + CANCEL_EFFECT_TIME) {
            if is_undisturbed(&records.faults, ended, execution.began_at) {
                violations.push(format!(
                    "UNASKED: {} ran after the end of its job",
                    execution.id
                ));
            }
        }
    }
}

/// Checks that items which fail at each run are given up after as many failures as their job permits, and not
/// many more, over all owners of the job.
fn check_failing_items(
    job: &JobRecord,
    executions: &BTreeMap<&str, Vec<&ExecutionRecord>>,
    violations: &mut Vec<String>,
) {
    for id in job.items.iter().filter(|id| content::is_failing(id)) {
        let runs = executions.get(id.as_str()).into_iter().flatten();
        let is_whole = |run: &&&ExecutionRecord| {
            let ended = run.ended_at;
            ended.is_some_and(|ended| ended - run.began_at >= content::fail_time(id))
        };
        let failures = runs.filter(is_whole).count();
        if failures > MAX_FAILURES {
            violations.push(format!("BUDGET: {id} failed {failures} times"));
        }
        let is_given_up = job.results.iter().any(|result| result.id == *id);
        if is_given_up && failures < ITEM_ATTEMPTS && !job.cancel_sent {
            violations.push(format!("MIXED: {id} is given up after {failures} failures"));
        }
    }
}

/// Checks that at least a quarter of the requests sent after the recovery time are served.
fn check_recovery(calls: &[CallRecord], from: Duration, violations: &mut Vec<String>) {
    let late: Vec<&CallRecord> = calls
        .iter()
        .filter(|call| call.sent >= from && call.outcome != CallOutcome::Cancelled)
        .collect();
    let served = late
        .iter()
        .filter(|call| call.outcome == CallOutcome::Served);
    let served = served.count();
    if late.is_empty() || served * 4 < late.len() {
        violations.push(format!(
            "RECOVER: {served} of {} requests are served at the end",
            late.len()
        ));
    }
}
