//! Merges the event logs of several hosts into one trace, and extracts from it what concerns one
//! request, job or upstream.

use serde_json::Map;
use serde_json::Value;

use crate::collections::HashMap;
use crate::collections::HashSet;

/// Events that all hosts log at about the same time, from which clock offsets are estimated.
const SHARED_EVENTS: [&str; 3] = ["config_changed", "upstream_listed", "upstream_gone"];

/// Outcome of a request for which the logs hold no end.
const NO_END_OUTCOME: &str = "no_end";
/// Events that change a host's view of whether an upstream is usable.
const UPSTREAM_STATE_EVENTS: [&str; 5] = [
    "upstream_listed",
    "upstream_gone",
    "limit_changed",
    "upstream_ejected",
    "upstream_returned",
];
/// Events that lead to the refusal of requests that crash upstreams, or end it.
const CRASH_EVENTS: [&str; 4] = [
    "upstream_crashed",
    "subject_convicted",
    "conviction_tested",
    "subject_released",
];
/// Writes to a job that changed its owner or its results, or closed it.
const JOB_WRITES: [&str; 2] = ["job_claimed", "segment_written"];
/// Events after which a host waits for an answer.
const SENDING_EVENTS: [&str; 2] = ["request_sent", "detour_sent"];
/// Outcome of a detour whose answer began.
const ANSWERED_OUTCOME: &str = "answered";
/// Outcome of a request whose caller got the whole answer.
const SERVED_OUTCOME: &str = "served";

/// One event from a host's log.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceLine {
    /// Time in milliseconds since 1970, corrected by the estimated clock offset of the host and
    /// never less than that of the host's previous line.
    pub time_ms: i64,
    /// Name of the host that wrote the line.
    pub host: String,
    /// Name of the event, such as `request_sent`.
    pub event: String,
    /// All other fields, sorted by name.
    pub fields: Map<String, Value>,
}

impl TraceLine {
    /// Parses a line; `None` if it holds no event. Text before the JSON object is skipped.
    fn parse(text: &str) -> Option<Self> {
        let json = &text[text.find('{')?..];
        let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let time_ms = fields.remove("time_ms")?.as_i64()?;
        let host = fields.remove("host")?.as_str()?.to_owned();
        let event = fields.remove("event")?.as_str()?.to_owned();
        Some(Self {
            time_ms,
            host,
            event,
            fields,
        })
    }

    /// Whether the value of any field is the text `id`, or a list that contains it.
    pub fn is_about(&self, id: &str) -> bool {
        let is_id = |value: &Value| value.as_str() == Some(id);
        self.fields.values().any(|value| match value {
            Value::Array(values) => values.iter().any(is_id),
            value => is_id(value),
        })
    }

    /// Whether the line says why requests with `subject` are refused.
    fn is_evidence_against(&self, subject: &str) -> bool {
        CRASH_EVENTS.contains(&self.event.as_str()) && self.is_about(subject)
    }

    /// Value of a field that holds text; `None` if it is absent or of another type.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Value of a field that holds a non-negative integer; `None` if it is absent or of another
    /// type.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// Readable text of the event and its fields, without time and host; null fields are left out.
    pub fn summary(&self) -> String {
        let mut summary = self.event.replace('_', " ");
        for (name, value) in &self.fields {
            let value = match value {
                Value::Null => continue,
                Value::String(text) => text.clone(),
                value => value.to_string(),
            };
            summary.push_str(&format!(", {name} {value}"));
        }
        summary
    }
}

/// End of one request, or of one batch item whose run was cut off, as found in a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSummary {
    /// Identifier of the request or item.
    pub request: String,
    /// Outcome as logged, or `refused`, `cut_off` or `no_end`.
    pub outcome: String,
    /// Time in milliseconds from arrival to end; 0 if the request was refused or its end is not
    /// logged.
    pub total_ms: u64,
    /// Last fault, refusal or take-up logged for the request, or else for how long its upstream had been
    /// silent; `None` if the logs hold neither.
    pub reason: Option<String>,
}

impl RequestSummary {
    fn new(request: &str, outcome: &str, total_ms: u64) -> Self {
        Self {
            request: request.to_owned(),
            outcome: outcome.to_owned(),
            total_ms,
            reason: None,
        }
    }

    /// Sort key, the worst first: unserved requests before served ones, then the slowest.
    fn sort_key(&self) -> (bool, std::cmp::Reverse<u64>, &str) {
        let is_served = self.outcome == SERVED_OUTCOME;
        (is_served, std::cmp::Reverse(self.total_ms), &self.request)
    }
}

/// Log lines of several hosts, ordered by corrected time.
#[derive(Clone, Debug, Default)]
pub struct EventTrace {
    lines: Vec<TraceLine>,
}

impl EventTrace {
    /// Parses and merges the lines of all hosts; lines that hold no event are skipped.
    pub fn read<'a>(lines: impl Iterator<Item = &'a str>) -> Self {
        let mut lines: Vec<TraceLine> = lines.filter_map(TraceLine::parse).collect();
        let offsets = clock_offsets(&lines);
        let mut latest: HashMap<String, i64> = HashMap::default();
        for line in &mut lines {
            line.time_ms -= offsets.get(&line.host).copied().unwrap_or(0);
            // Lines of one host keep their order when its clock is set back.
            let latest = latest.entry(line.host.clone()).or_insert(line.time_ms);
            line.time_ms = line.time_ms.max(*latest);
            *latest = line.time_ms;
        }
        lines.sort_by_key(|line| line.time_ms);
        Self { lines }
    }

    /// All lines in order.
    pub fn lines(&self) -> &[TraceLine] {
        &self.lines
    }

    /// Lines about `id`, in order, with the context that explains them: changes in the same hosts'
    /// views of its upstreams, from a second before its first line to its last, and the next start
    /// of a host whose process ended while it handled the request, and the crashes for which a request
    /// was refused.
    pub fn events_about(&self, id: &str) -> Vec<&TraceLine> {
        let own: Vec<&TraceLine> = self.lines.iter().filter(|line| line.is_about(id)).collect();
        let (Some(first), Some(last)) = (own.first(), own.last()) else {
            return own;
        };
        let span = first.time_ms - 1_000..=last.time_ms;
        let upstreams: Vec<&str> = own
            .iter()
            .filter_map(|line| line.text("upstream"))
            .collect();
        let subjects: Vec<&str> = own.iter().filter_map(|line| line.text("subject")).collect();
        let later_starts: Vec<&TraceLine> = last_lines(&own)
            .into_iter()
            .filter(|line| SENDING_EVENTS.contains(&line.event.as_str()))
            .filter_map(|line| self.next_start(line))
            .collect();
        let is_relevant = |line: &&TraceLine| {
            let is_state_change = UPSTREAM_STATE_EVENTS.contains(&line.event.as_str());
            let of_upstream = is_state_change
                && upstreams.iter().any(|upstream| line.is_about(upstream))
                && own.iter().any(|own| own.host == line.host);
            line.is_about(id)
                || (of_upstream && span.contains(&line.time_ms))
                || subjects
                    .iter()
                    .any(|subject| line.is_evidence_against(subject))
                || later_starts.iter().any(|start| std::ptr::eq(*start, *line))
        };
        self.lines.iter().filter(is_relevant).collect()
    }

    /// Lines about the writes that gave `job` an owner or a segment, or closed it, in the order in which the
    /// key-value service executed them. A write whose answer was lost has no line.
    pub fn job_writes(&self, job: &str) -> Vec<&TraceLine> {
        let is_write = |line: &&TraceLine| {
            JOB_WRITES.contains(&line.event.as_str()) && line.text("job") == Some(job)
        };
        let mut writes: Vec<&TraceLine> = self.lines.iter().filter(is_write).collect();
        writes.sort_by_key(|line| line.number("version"));
        writes
    }

    /// The `count` requests with the worst ends: unserved ones first, then the slowest. Requests
    /// and items that were running when their host's process ended count as cut off; requests
    /// without a logged end are left out.
    pub fn worst_requests(&self, count: usize) -> Vec<RequestSummary> {
        let mut ended = self.request_ends();
        ended.retain(|request| request.outcome != NO_END_OUTCOME);
        ended.truncate(count);
        ended
    }

    /// Requests that no host served, and items whose last run was cut off, each once. A refused
    /// request that was sent again and then served is not among them; one without a logged end is.
    pub fn unserved_requests(&self) -> Vec<RequestSummary> {
        let ended = self.request_ends();
        let served: HashSet<String> = ended
            .iter()
            .filter(|request| request.outcome == SERVED_OUTCOME)
            .map(|request| request.request.clone())
            .collect();
        let mut seen: HashSet<String> = HashSet::default();
        let unserved = ended
            .into_iter()
            .filter(|request| !served.contains(&request.request));
        unserved
            .filter(|request| seen.insert(request.request.clone()))
            .collect()
    }

    /// Ends of all requests and of cut-off items, the worst first. A request that was refused and
    /// sent again has several.
    fn request_ends(&self) -> Vec<RequestSummary> {
        let mut reasons: HashMap<&str, String> = HashMap::default();
        let mut open: HashMap<(&str, &str), &TraceLine> = HashMap::default();
        let mut done: HashSet<&str> = HashSet::default();
        let mut ended = Vec::new();
        for line in &self.lines {
            // Runs of an item use the item's identifier as their request identifier.
            let Some(request) = line.text("request").or_else(|| line.text("item")) else {
                continue;
            };
            let run = (request, line.host.as_str());
            match line.event.as_str() {
                "request_sent" | "detour_sent" => {
                    open.insert(run, line);
                }
                "item" => {
                    open.remove(&run);
                    if line.text("outcome") == Some("done") {
                        done.insert(request);
                    }
                }
                "sending_failed" => {
                    reasons.insert(request, fault_reason(line));
                }
                "detour_ended" if line.text("outcome") != Some(ANSWERED_OUTCOME) => {
                    reasons.insert(request, detour_reason(line));
                }
                // The host that took the request from its caller logs its end.
                "detour_finished" => {
                    open.remove(&run);
                }
                "stream_given_up" => {
                    reasons.insert(request, take_up_reason(line));
                }
                "request_refused" => {
                    reasons.insert(request, refusal_reason(line));
                    open.remove(&run);
                    ended.push(RequestSummary::new(request, "refused", 0));
                }
                "request_over_quota" => {
                    let workspace = line.text("workspace").unwrap_or_default();
                    reasons.insert(request, format!("limit of {workspace} is used up"));
                    open.remove(&run);
                    ended.push(RequestSummary::new(request, "refused", 0));
                }
                "request_ended" if line.text("outcome") != Some("refused") => {
                    open.remove(&run);
                    let outcome = line.text("outcome").unwrap_or_default();
                    let total_ms = line.number("total_ms").unwrap_or(0);
                    if let Some(reason) = silence_reason(line) {
                        reasons.entry(request).or_insert(reason);
                    }
                    ended.push(RequestSummary::new(request, outcome, total_ms));
                }
                _ => {}
            }
        }
        // An item that was cut off at one host may have been completed by another.
        open.retain(|(request, _), _| !done.contains(request));
        for ((request, host), sent) in open {
            let is_cut_off = self.next_start(sent).is_some();
            if is_cut_off {
                reasons.insert(request, format!("the process of {host} ended"));
            }
            let outcome = if is_cut_off {
                "cut_off"
            } else {
                NO_END_OUTCOME
            };
            ended.push(RequestSummary::new(request, outcome, 0));
        }
        for end in &mut ended {
            end.reason = reasons.get(end.request.as_str()).cloned();
        }
        ended.sort_by(|a, b| a.sort_key().cmp(&b.sort_key()));
        ended
    }
}

impl EventTrace {
    /// The first `started` line of the host of `line` by a later process; `None` if the process
    /// that wrote `line` is not known to have ended.
    fn next_start(&self, line: &TraceLine) -> Option<&TraceLine> {
        let boot = line.number("boot");
        let mut starts = self.lines.iter().filter(|start| start.event == "started");
        starts.find(|start| start.host == line.host && start.number("boot") > boot)
    }
}

/// The last line of each host in `lines`.
fn last_lines<'a>(lines: &[&'a TraceLine]) -> Vec<&'a TraceLine> {
    let mut last: HashMap<&str, &TraceLine> = HashMap::default();
    for line in lines {
        last.insert(&line.host, line);
    }
    last.into_values().collect()
}

fn fault_reason(line: &TraceLine) -> String {
    let fault = line.text("fault").unwrap_or_default();
    let cause = line.text("cause").unwrap_or_default();
    let upstream = line.text("upstream").unwrap_or_default();
    format!("{fault} at {upstream}: {cause}")
}

fn refusal_reason(line: &TraceLine) -> String {
    let reason = line.text("reason").unwrap_or_default();
    let (online, places) = (line.number("online"), line.number("places"));
    format!(
        "{reason}, {} at {} places",
        number_or_unknown(online),
        number_or_unknown(places)
    )
}

fn detour_reason(line: &TraceLine) -> String {
    let outcome = line.text("outcome").unwrap_or_default();
    let host = line.text("to").unwrap_or("another host");
    match line.text("cause") {
        Some(cause) => format!("{outcome} through {host}: {cause}"),
        None => format!("{outcome} through {host}"),
    }
}

fn take_up_reason(line: &TraceLine) -> String {
    let host = line.text("by_host").unwrap_or("another host");
    let events = number_or_unknown(line.number("events"));
    format!("taken up at {host} after {events} events")
}

/// Reason for the end of a request without a logged fault: how long its upstream had been silent.
fn silence_reason(line: &TraceLine) -> Option<String> {
    let upstream = line.text("upstream")?;
    let quiet_ms = line.number("quiet_ms")?;
    Some(format!("{upstream} had sent nothing for {quiet_ms} ms"))
}

fn number_or_unknown(number: Option<u64>) -> String {
    number.map_or_else(|| "?".to_owned(), |number| number.to_string())
}

/// Estimated offset in milliseconds of each host's clock: the median, over the `SHARED_EVENTS` of
/// the host, of the difference from the median time at which all hosts logged the event.
fn clock_offsets(lines: &[TraceLine]) -> HashMap<String, i64> {
    let mut shared: HashMap<String, Vec<(&str, i64)>> = HashMap::default();
    for line in lines {
        if SHARED_EVENTS.contains(&line.event.as_str()) {
            let what = line.text("upstream").map(str::to_owned);
            let what = what.or_else(|| line.number("version").map(|version| version.to_string()));
            let state = line.text("state").unwrap_or_default();
            let key = format!("{} {} {state}", line.event, what.unwrap_or_default());
            shared
                .entry(key)
                .or_default()
                .push((&line.host, line.time_ms));
        }
    }
    let mut differences: HashMap<String, Vec<i64>> = HashMap::default();
    for times in shared.values() {
        let Some(middle) = median(times.iter().map(|(_, time)| *time).collect()) else {
            continue;
        };
        for (host, time) in times {
            differences
                .entry((*host).to_owned())
                .or_default()
                .push(time - middle);
        }
    }
    let offsets = differences.into_iter();
    offsets
        .filter_map(|(host, differences)| Some((host, median(differences)?)))
        .collect()
}

fn median(mut values: Vec<i64>) -> Option<i64> {
    values.sort_unstable();
    values.get(values.len() / 2).copied()
}
