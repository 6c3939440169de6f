//! Judges a history by the promises that must always hold.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use parsleywall::refusal::Executed;

use crate::history::HistoryEvent;
use crate::history::Recorded;

#[cfg(test)]
mod tests;

/// Time in which a leaving upstream may still get new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(3);
/// Time in which items of a cancelled job may still start.
const CANCEL_LIMIT: Duration = Duration::from_secs(2);
/// Time in which an accepted configuration is in force everywhere.
const TERMS_LIMIT: Duration = Duration::from_secs(9);
const CAP_WINDOW: Duration = Duration::from_secs(10);
/// Growth of the online tail beside batch work that counts as waiting behind it.
const BLOCKED_RATIO: f64 = 2.0;

/// A line of what must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Promise {
    /// Every accepted item completes exactly once, and its result stays readable.
    ExactlyOnce,
    /// A cancelled job stops.
    CancelStops,
    /// Online work is not blocked behind batch work.
    NoBlocking,
    /// Every caller receives the whole answer to its own request.
    WholeAnswers,
    /// A refusal that says a request was not run is true.
    TrueRefusals,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving upstream gets no new work.
    LeavingSpared,
    /// A planned stop cuts off no request.
    StopsCutNothing,
    /// An accepted configuration is in force everywhere and never reverts.
    TermsInForce,
    /// No workspace exceeds its cap.
    CapsHeld,
    /// An order of an outdated controller has no effect.
    OrdersFenced,
}

/// A promise that a history breaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// What happened.
    pub detail: String,
    /// Positions of the events in the history that show it.
    pub events: Vec<usize>,
}

/// Returns every broken promise of `history`, which is in the order of time.
pub fn check(history: &[Recorded]) -> Vec<Violation> {
    let mut judge = Judge {
        history,
        violations: Vec::new(),
    };
    judge.check_items();
    judge.check_cancels();
    judge.check_blocking();
    judge.check_answers();
    judge.check_executions();
    judge.check_leaving();
    judge.check_stops();
    judge.check_terms();
    judge.check_caps();
    judge.violations
}

struct Judge<'a> {
    history: &'a [Recorded],
    violations: Vec<Violation>,
}

impl<'a> Judge<'a> {
    fn add(&mut self, promise: Promise, detail: String, events: &[usize]) {
        self.violations.push(Violation {
            promise,
            detail,
            events: events.to_vec(),
        });
    }

    fn events(&self) -> impl Iterator<Item = (usize, Duration, &'a HistoryEvent)> + use<'a> {
        let events = self.history.iter().enumerate();
        events.map(|(position, recorded)| (position, recorded.at, &recorded.event))
    }

    fn check_items(&mut self) {
        let mut jobs: BTreeMap<&str, JobTrace<'_>> = BTreeMap::new();
        for (position, _, event) in self.events() {
            let Some(job) = job_of(event) else {
                continue;
            };
            let trace = jobs.entry(job).or_default();
            let contradiction = trace.note(position, event);
            if let Some((detail, events)) = contradiction {
                self.add(Promise::ExactlyOnce, detail, &events);
            }
        }
        for (job, trace) in &jobs {
            for (detail, events) in trace.faults() {
                self.add(Promise::ExactlyOnce, format!("{job} {detail}"), &events);
            }
        }
    }

    fn check_cancels(&mut self) {
        let mut prompts: BTreeMap<&str, &[u64]> = BTreeMap::new();
        let mut cancelled: BTreeMap<u64, (usize, Duration, &str)> = BTreeMap::new();
        for (position, at, event) in self.events() {
            match event {
                HistoryEvent::JobAccepted {
                    job, prompts: own, ..
                } => {
                    prompts.insert(job, own);
                }
                HistoryEvent::CancelAccepted { job } => {
                    for prompt in prompts.get(job.as_str()).copied().unwrap_or_default() {
                        cancelled.insert(*prompt, (position, at, job));
                    }
                }
                HistoryEvent::Executed {
                    prompt, upstream, ..
                } => {
                    if let Some((cancel, since, job)) = cancelled.get(prompt).copied()
                        && at > since + CANCEL_LIMIT
                    {
                        let late = (at - since).as_secs_f64();
                        let detail = format!("{upstream} ran an item of {job} {late:.1} s after");
                        self.add(Promise::CancelStops, detail, &[cancel, position]);
                    }
                }
                _ => {}
            }
        }
    }

    fn check_blocking(&mut self) {
        for (position, _, event) in self.events() {
            if let HistoryEvent::OnlineBesideBatch {
                with_ms,
                without_ms,
            } = event
                && *with_ms > without_ms * BLOCKED_RATIO
            {
                let detail = format!("first token {with_ms:.1} ms, {without_ms:.1} ms without");
                self.add(Promise::NoBlocking, detail, &[position]);
            }
        }
    }

    fn check_answers(&mut self) {
        let mut open: BTreeMap<&str, usize> = BTreeMap::new();
        for (position, _, event) in self.events() {
            match event {
                HistoryEvent::RequestSent { request, .. } => {
                    open.insert(request, position);
                }
                HistoryEvent::AnswerRead {
                    request,
                    answer,
                    expected,
                } => {
                    let sent = open.remove(request.as_str());
                    if answer != expected || sent.is_none() {
                        let detail = format!("{request} got an answer that is not its own");
                        let events: Vec<usize> = sent.into_iter().chain([position]).collect();
                        self.add(Promise::WholeAnswers, detail, &events);
                    }
                }
                HistoryEvent::RequestRefused { request, .. } => {
                    open.remove(request.as_str());
                }
                HistoryEvent::AnswerBroken { request, cause } => {
                    let sent = open.remove(request.as_str());
                    let events: Vec<usize> = sent.into_iter().chain([position]).collect();
                    let detail = format!("{request} was cut off: {cause}");
                    self.add(Promise::WholeAnswers, detail, &events);
                }
                _ => {}
            }
        }
        for (request, position) in open {
            let detail = format!("{request} got no answer");
            self.add(Promise::WholeAnswers, detail, &[position]);
        }
    }

    fn check_executions(&mut self) {
        let mut runs: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        for (position, _, event) in self.events() {
            if let HistoryEvent::Executed { prompt, .. } = event {
                runs.entry(*prompt).or_default().push(position);
            }
        }
        let mut sent: BTreeMap<&str, usize> = BTreeMap::new();
        for (position, _, event) in self.events() {
            match event {
                HistoryEvent::RequestRefused {
                    request,
                    prompt,
                    executed: Executed::No,
                    ..
                } => {
                    // Runs from before belong to an earlier request with the same prompt.
                    let first = sent.get(request.as_str()).copied().unwrap_or(0);
                    let ran = runs.get(prompt).map(Vec::as_slice).unwrap_or_default();
                    if let Some(run) = ran.iter().find(|run| **run >= first) {
                        let detail = format!("{request} was run but refused as not run");
                        self.add(Promise::TrueRefusals, detail, &[*run, position]);
                    }
                }
                HistoryEvent::RequestSent {
                    request,
                    prompt,
                    idempotent,
                } => {
                    sent.entry(request).or_insert(position);
                    if *idempotent {
                        continue;
                    }
                    let ran = runs.get(prompt).map(Vec::as_slice).unwrap_or_default();
                    if ran.len() > 1 {
                        let detail = format!("{request} ran {} times", ran.len());
                        self.add(Promise::AtMostOnce, detail, ran);
                    }
                }
                _ => {}
            }
        }
    }

    fn check_leaving(&mut self) {
        let mut leaving: BTreeMap<&str, (usize, Duration)> = BTreeMap::new();
        for (position, at, event) in self.events() {
            match event {
                HistoryEvent::UpstreamLeaving { upstream } => {
                    leaving.entry(upstream).or_insert((position, at));
                }
                HistoryEvent::Executed { upstream, .. } => {
                    if let Some((notice, since)) = leaving.get(upstream.as_str()).copied()
                        && at > since + LEAVING_LIMIT
                    {
                        let late = (at - since).as_secs_f64();
                        let detail = format!("{upstream} got work {late:.1} s after its notice");
                        self.add(Promise::LeavingSpared, detail, &[notice, position]);
                    }
                }
                _ => {}
            }
        }
    }

    fn check_stops(&mut self) {
        let mut stopping: BTreeMap<&str, usize> = BTreeMap::new();
        for (position, _, event) in self.events() {
            match event {
                HistoryEvent::StopBegan { host } => {
                    stopping.insert(host, position);
                }
                HistoryEvent::StopEnded { host, cut_off } => {
                    let began = stopping.remove(host.as_str());
                    if *cut_off > 0 {
                        let events: Vec<usize> = began.into_iter().chain([position]).collect();
                        let detail = format!("the stop of {host} cut off {cut_off} requests");
                        self.add(Promise::StopsCutNothing, detail, &events);
                    }
                }
                _ => {}
            }
        }
        for (host, position) in stopping {
            let detail = format!("the stop of {host} did not end");
            self.add(Promise::StopsCutNothing, detail, &[position]);
        }
    }

    fn check_terms(&mut self) {
        let mut accepted: Vec<(usize, Duration, u64)> = Vec::new();
        let mut seen: BTreeMap<&str, (usize, u64)> = BTreeMap::new();
        for (position, at, event) in self.events() {
            match event {
                HistoryEvent::TermsAccepted { revision } => {
                    accepted.push((position, at, *revision));
                }
                HistoryEvent::TermsSeen { host, revision } => {
                    if let Some((before, old)) = seen.insert(host, (position, *revision))
                        && *revision < old
                    {
                        let detail = format!("{host} went back from {old} to {revision}");
                        self.add(Promise::TermsInForce, detail, &[before, position]);
                    }
                    let due = accepted
                        .iter()
                        .rfind(|(_, since, wanted)| at > *since + TERMS_LIMIT && wanted > revision);
                    if let Some((accepted, _, wanted)) = due {
                        let detail = format!("{host} has {revision}, {wanted} is overdue");
                        self.add(Promise::TermsInForce, detail, &[*accepted, position]);
                    }
                }
                _ => {}
            }
        }
    }

    fn check_caps(&mut self) {
        let mut caps: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        let mut used: BTreeMap<&str, Vec<(usize, Duration, u64)>> = BTreeMap::new();
        let mut over = BTreeSet::new();
        for (position, at, event) in self.events() {
            match event {
                HistoryEvent::CapSet {
                    workspace,
                    tokens_per_second,
                    burst_tokens,
                } => {
                    caps.insert(workspace, (*tokens_per_second, *burst_tokens));
                }
                HistoryEvent::TokensUsed { workspace, tokens } => {
                    let window = used.entry(workspace).or_default();
                    window.push((position, at, *tokens));
                    window.retain(|(_, then, _)| at - *then <= CAP_WINDOW);
                    let sum: u64 = window.iter().map(|(_, _, tokens)| tokens).sum();
                    let Some((rate, burst)) = caps.get(workspace.as_str()) else {
                        continue;
                    };
                    let allowed = rate * CAP_WINDOW.as_secs_f64() + burst;
                    if sum as f64 > allowed && over.insert(workspace) {
                        let events: Vec<usize> = window.iter().map(|used| used.0).collect();
                        let detail = format!("{workspace} used {sum} of {allowed:.0} tokens");
                        self.add(Promise::CapsHeld, detail, &events);
                    }
                }
                _ => {}
            }
        }
    }
}

/// What is wrong, and the positions of the events that show it.
type Fault = (String, Vec<usize>);

/// Everything that a history tells of one job.
#[derive(Default)]
struct JobTrace<'a> {
    accepted: Option<(usize, &'a BTreeMap<String, Option<u64>>)>,
    reads: BTreeMap<&'a str, Vec<ItemRead>>,
    whole_reads: usize,
    state: Option<(usize, &'a str)>,
}

#[derive(Clone, Copy)]
struct ItemRead {
    position: usize,
    answer: Option<u64>,
}

fn job_of(event: &HistoryEvent) -> Option<&str> {
    match event {
        HistoryEvent::JobAccepted { job, .. }
        | HistoryEvent::JobResent { first: job, .. }
        | HistoryEvent::ItemRead { job, .. }
        | HistoryEvent::OutputRead { job }
        | HistoryEvent::JobEnded { job, .. } => Some(job),
        _ => None,
    }
}

impl<'a> JobTrace<'a> {
    /// Adds an event; returns a fault if it contradicts an earlier one.
    fn note(&mut self, position: usize, event: &'a HistoryEvent) -> Option<Fault> {
        match event {
            HistoryEvent::JobAccepted { items, .. } => self.accepted = Some((position, items)),
            HistoryEvent::JobResent { first, job } if first != job => {
                let detail = format!("the resend of {first} created {job}");
                return Some((detail, vec![position]));
            }
            HistoryEvent::ItemRead { item, answer, .. } => {
                let answer = *answer;
                let reads = self.reads.entry(item).or_default();
                reads.push(ItemRead { position, answer });
            }
            HistoryEvent::OutputRead { .. } => self.whole_reads += 1,
            HistoryEvent::JobEnded { job, state } => {
                let before = self.state.replace((position, state));
                if let Some((before, old)) = before
                    && old != state
                {
                    let detail = format!("{job} went from {old} to {state}");
                    return Some((detail, vec![before, position]));
                }
            }
            _ => {}
        }
        None
    }

    fn faults(&self) -> Vec<Fault> {
        let mut faults = self.unknown_items();
        let Some((accepted, items)) = self.accepted else {
            return faults;
        };
        let Some((ended, state)) = self.state else {
            faults.push(("did not end".to_owned(), vec![accepted]));
            return faults;
        };
        if self.whole_reads == 0 {
            faults.push(("has an output that was not read".to_owned(), vec![ended]));
        }
        for (item, expected) in items {
            let reads = self.reads.get(item.as_str());
            let reads = reads.map(Vec::as_slice).unwrap_or_default();
            let positions: Vec<usize> = reads.iter().map(|read| read.position).collect();
            if reads.len() < self.whole_reads && state == "completed" {
                faults.push((format!("{item} is lost"), vec![accepted, ended]));
            }
            if reads.len() > self.whole_reads {
                faults.push((format!("{item} is doubled"), positions.clone()));
            }
            let wrong = reads.iter().any(|read| read.answer != *expected);
            if wrong && state != "cancelled" {
                faults.push((format!("{item} has a wrong result"), positions));
            }
        }
        faults
    }

    fn unknown_items(&self) -> Vec<Fault> {
        let known = |item: &str| {
            let accepted = self.accepted.as_ref();
            accepted.is_some_and(|(_, items)| items.contains_key(item))
        };
        let unknown = self.reads.iter().filter(|(item, _)| !known(item));
        unknown
            .map(|(item, reads)| {
                let positions = reads.iter().map(|read| read.position).collect();
                (format!("{item} was never submitted"), positions)
            })
            .collect()
    }
}
