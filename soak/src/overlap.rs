//! Runs of one request beside one another, as the workers saw them.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::check::is_undisturbed;
use crate::history::ExecutionRecord;
use crate::history::FaultRecord;

/// Time for which a run may go on after a later run of its request has begun.
pub const OVERLAP_LIMIT: Duration = Duration::from_millis(400);

/// Two runs of one request, of which the earlier one was still under way when [`OVERLAP_LIMIT`] had
/// passed since the later one began.
#[derive(Clone, Copy, Debug)]
pub struct RunPair<'a> {
    /// Identifier of the item, or of the attempt that the stream began with.
    pub request: &'a str,
    /// The run that began first.
    pub earlier: &'a ExecutionRecord,
    /// The other run, at the same worker or at another one.
    pub later: &'a ExecutionRecord,
}

impl RunPair<'_> {
    /// Whether a fault from which such pairs may follow was in effect shortly before the earlier run or
    /// until the limit was reached.
    pub fn is_excused(&self, faults: &[FaultRecord]) -> bool {
        let until = self.later.began_at + OVERLAP_LIMIT;
        !is_overlap_undisturbed(faults, self.earlier.began_at, until)
    }

    /// Time for which the earlier run went on since the later one began, at `now` if it goes on still.
    pub fn beside(&self, now: Duration) -> Duration {
        let ended = self.earlier.ended_at.unwrap_or(now);
        ended.saturating_sub(self.later.began_at)
    }
}

/// Whether no fault that excuses runs of one request beside one another was in effect from three
/// seconds before `from` until `to`.
pub fn is_overlap_undisturbed(faults: &[FaultRecord], from: Duration, to: Duration) -> bool {
    let excuses = faults.iter().filter(|fault| fault.excuses_overlap);
    let excuses: Vec<FaultRecord> = excuses.cloned().collect();
    is_undisturbed(&excuses, from, to)
}

/// Returns all pairs of runs of one request beside one another.
///
/// A run without an end still goes on.
pub fn pairs(executions: &[ExecutionRecord]) -> Vec<RunPair<'_>> {
    let mut pairs = Vec::new();
    for (request, runs) in by_request(executions) {
        for (position, earlier) in runs.iter().enumerate() {
            let is_beside = |later: &&&ExecutionRecord| {
                let limit = later.began_at + OVERLAP_LIMIT;
                earlier.ended_at.is_none_or(|ended| ended > limit)
            };
            let later = runs[position + 1..].iter().filter(is_beside);
            pairs.extend(later.map(|later| RunPair {
                request,
                earlier,
                later,
            }));
        }
    }
    pairs
}

/// Runs of each request in the order in which they began. An attempt that continues the answer to
/// another one belongs to that one's request.
pub fn by_request(executions: &[ExecutionRecord]) -> BTreeMap<&str, Vec<&ExecutionRecord>> {
    let continued = executions.iter().filter_map(|run| {
        let resumed = run.resumes.as_deref()?;
        (resumed != run.id).then_some((run.id.as_str(), resumed))
    });
    let continued: BTreeMap<&str, &str> = continued.collect();
    let mut runs: BTreeMap<&str, Vec<&ExecutionRecord>> = BTreeMap::new();
    for run in executions {
        let request = first_attempt(&continued, run.id.as_str());
        runs.entry(request).or_default().push(run);
    }
    for runs in runs.values_mut() {
        runs.sort_by_key(|run| run.began_at);
    }
    runs
}

fn first_attempt<'a>(continued: &BTreeMap<&'a str, &'a str>, attempt: &'a str) -> &'a str {
    let mut attempt = attempt;
    // Attempts that name each other in a circle end the search.
    for _ in 0..=continued.len() {
        match continued.get(attempt) {
            Some(before) => attempt = before,
            None => break,
        }
    }
    attempt
}
