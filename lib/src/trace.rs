//! Reading the event logs of several hosts: the story of one request, job or upstream.

use serde_json::Map;
use serde_json::Value;

use crate::collections::HashMap;
use crate::collections::HashSet;

/// Events that all hosts log at about the same time, so that they show how clocks differ.
const SHARED_EVENTS: [&str; 3] = ["config_changed", "upstream_listed", "upstream_gone"];

/// Outcome of a request whose end no line tells.
const NO_END: &str = "no_end";
/// Events that change what a host believes of an upstream.
const BELIEF_EVENTS: [&str; 4] = [
    "upstream_listed",
    "upstream_gone",
    "upstream_ejected",
    "upstream_returned",
];
/// Outcome of a request that had its whole answer.
const SERVED: &str = "served";

/// One line of a log.
#[derive(Clone, Debug, PartialEq)]
pub struct TraceLine {
    /// Time by the clock of the host that logs first, in milliseconds since 1970.
    pub time_ms: i64,
    /// Host that wrote the line.
    pub host: String,
    /// Event.
    pub event: String,
    /// All other fields, in the order of their names.
    pub fields: Map<String, Value>,
}

impl TraceLine {
    /// Reads a line; `None` if it holds no event. Text before the event's JSON is passed over.
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

    /// Whether a field is `id`.
    pub fn is_about(&self, id: &str) -> bool {
        self.fields.values().any(|value| value.as_str() == Some(id))
    }

    /// A field as text.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// A field as a number.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// What the line says, without time and host.
    pub fn story(&self) -> String {
        let mut story = self.event.replace('_', " ");
        for (name, value) in &self.fields {
            let value = match value {
                Value::Null => continue,
                Value::String(text) => text.clone(),
                value => value.to_string(),
            };
            story.push_str(&format!(", {name} {value}"));
        }
        story
    }
}

/// A request that ended badly or late.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSummary {
    /// The request.
    pub request: String,
    /// How it ended.
    pub outcome: String,
    /// Time from its arrival to its end in milliseconds.
    pub total_ms: u64,
    /// The last fault or refusal that was logged of it, or else what its upstream did last.
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

    /// Unserved requests come first, then the slowest.
    fn order(&self) -> (bool, std::cmp::Reverse<u64>, &str) {
        let is_served = self.outcome == SERVED;
        (is_served, std::cmp::Reverse(self.total_ms), &self.request)
    }
}

/// Lines of several hosts in causal order.
#[derive(Clone, Debug, Default)]
pub struct EventTrace {
    lines: Vec<TraceLine>,
}

impl EventTrace {
    /// Reads logs; lines that hold no event are passed over.
    pub fn read<'a>(lines: impl Iterator<Item = &'a str>) -> Self {
        let mut lines: Vec<TraceLine> = lines.filter_map(TraceLine::parse).collect();
        let offsets = clock_offsets(&lines);
        let mut latest: HashMap<String, i64> = HashMap::default();
        for line in &mut lines {
            line.time_ms -= offsets.get(&line.host).copied().unwrap_or(0);
            // A clock that was set back does not turn a host's own lines round.
            let latest = latest.entry(line.host.clone()).or_insert(line.time_ms);
            line.time_ms = line.time_ms.max(*latest);
            *latest = line.time_ms;
        }
        lines.sort_by_key(|line| line.time_ms);
        Self { lines }
    }

    /// All lines.
    pub fn lines(&self) -> &[TraceLine] {
        &self.lines
    }

    /// Lines about `id`, those about the upstreams that it reached, around its time, and the next
    /// start of a host whose process ended while it had the request.
    pub fn about(&self, id: &str) -> Vec<&TraceLine> {
        let own: Vec<&TraceLine> = self.lines.iter().filter(|line| line.is_about(id)).collect();
        let (Some(first), Some(last)) = (own.first(), own.last()) else {
            return own;
        };
        let span = first.time_ms - 1_000..=last.time_ms;
        let upstreams: Vec<&str> = own
            .iter()
            .filter_map(|line| line.text("upstream"))
            .collect();
        let cut_off_by: Vec<&TraceLine> = last_lines(&own)
            .into_iter()
            .filter(|line| line.event == "request_sent")
            .filter_map(|line| self.next_start(line))
            .collect();
        let is_told = |line: &&TraceLine| {
            let is_belief = BELIEF_EVENTS.contains(&line.event.as_str());
            let of_upstream = is_belief
                && upstreams.iter().any(|upstream| line.is_about(upstream))
                && own.iter().any(|own| own.host == line.host);
            line.is_about(id)
                || (of_upstream && span.contains(&line.time_ms))
                || cut_off_by.iter().any(|start| std::ptr::eq(*start, *line))
        };
        self.lines.iter().filter(is_told).collect()
    }

    /// The `count` requests that ended worst: those without an answer first, then the slowest.
    /// Requests and items that ran when their host's process ended count as cut off.
    pub fn worst(&self, count: usize) -> Vec<RequestSummary> {
        let mut ended = self.ended();
        ended.retain(|request| request.outcome != NO_END);
        ended.truncate(count);
        ended
    }

    /// Requests that no host served, and items whose last run was cut off, with the reason of
    /// each if the logs tell one. A refused request that came back and was served is none; one
    /// whose end no line tells is one.
    pub fn unserved(&self) -> Vec<RequestSummary> {
        let ended = self.ended();
        let served: HashSet<String> = ended
            .iter()
            .filter(|request| request.outcome == SERVED)
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

    /// Ends of all requests and of cut-off items, the worst first.
    fn ended(&self) -> Vec<RequestSummary> {
        let mut reasons: HashMap<&str, String> = HashMap::default();
        let mut open: HashMap<(&str, &str), &TraceLine> = HashMap::default();
        let mut done: HashSet<&str> = HashSet::default();
        let mut ended = Vec::new();
        for line in &self.lines {
            // A run of an item bears the item's identifier.
            let Some(request) = line.text("request").or_else(|| line.text("item")) else {
                continue;
            };
            let run = (request, line.host.as_str());
            match line.event.as_str() {
                "request_sent" => {
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
                "request_refused" => {
                    reasons.insert(request, refusal_reason(line));
                    open.remove(&run);
                    ended.push(RequestSummary::new(request, "refused", 0));
                }
                "request_ended" if line.text("outcome") != Some("refused") => {
                    open.remove(&run);
                    let outcome = line.text("outcome").unwrap_or_default();
                    let total_ms = line.number("total_ms").unwrap_or(0);
                    if let Some(reason) = quiet_reason(line) {
                        reasons.entry(request).or_insert(reason);
                    }
                    ended.push(RequestSummary::new(request, outcome, total_ms));
                }
                _ => {}
            }
        }
        // An item that was cut off here may have been done by another host.
        open.retain(|(request, _), _| !done.contains(request));
        for ((request, host), sent) in open {
            let is_cut_off = self.next_start(sent).is_some();
            if is_cut_off {
                reasons.insert(request, format!("the process of {host} ended"));
            }
            let outcome = if is_cut_off { "cut_off" } else { NO_END };
            ended.push(RequestSummary::new(request, outcome, 0));
        }
        for end in &mut ended {
            end.reason = reasons.get(end.request.as_str()).cloned();
        }
        ended.sort_by(|a, b| a.order().cmp(&b.order()));
        ended
    }
}

impl EventTrace {
    /// The first start of the host of `line` after the process that wrote it, which has then ended.
    fn next_start(&self, line: &TraceLine) -> Option<&TraceLine> {
        let boot = line.number("boot");
        let mut starts = self.lines.iter().filter(|start| start.event == "started");
        starts.find(|start| start.host == line.host && start.number("boot") > boot)
    }
}

/// The last of `lines` of each host.
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
    format!("{reason}, {} at {} places", num(online), num(places))
}

/// Reason of a request that ended without a fault: what its upstream did last.
fn quiet_reason(line: &TraceLine) -> Option<String> {
    let upstream = line.text("upstream")?;
    let quiet_ms = line.number("quiet_ms")?;
    Some(format!("{upstream} had sent nothing for {quiet_ms} ms"))
}

fn num(number: Option<u64>) -> String {
    number.map_or_else(|| "?".to_owned(), |number| number.to_string())
}

/// How far each host's clock is ahead of the common one: the median over events that all hosts
/// log at about the same time.
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
