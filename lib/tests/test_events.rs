//! Tests the structured log (it never blocks and counts what it drops), the metrics derived from
//! it, and traces read from it.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::time::Duration;

use parsleywall::event_log::EventLog;
use parsleywall::events::LogEvent;
use parsleywall::trace::EventTrace;
use serde_json::Value;
use strum::IntoEnumIterator;

/// Output whose writes block until the test lets them through.
struct BlockedOutput {
    release: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
    done: Sender<()>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // All writes pass once the sender is dropped.
        let _ = self.release.recv();
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        let _ = self.done.send(());
        Ok(())
    }
}

fn served(number: usize) -> LogEvent {
    LogEvent::RequestEnded {
        request: format!("r{number}"),
        outcome: "served".to_owned(),
        runs: 1,
        first_ms: Some(80),
        total_ms: 700,
        upstream: None,
        quiet_ms: None,
    }
}

fn refused(number: usize) -> LogEvent {
    LogEvent::RequestRefused {
        request: format!("r{number}"),
        reason: "no_free_place".to_owned(),
        places: 8,
        online: 12,
        retry_ms: 500,
        version: 3,
        subject: None,
        room: None,
    }
}

#[tokio::test(start_paused = true)]
async fn test_log_never_blocks_and_counts_what_it_drops() {
    let (release, blocked) = channel();
    let (done, flushed) = channel();
    let written: Arc<Mutex<Vec<u8>>> = Arc::default();
    let output = BlockedOutput {
        release: blocked,
        written: written.clone(),
        done,
    };
    let log = EventLog::new("host-a".to_owned(), 7, output);
    // The output is blocked: all calls return, and routine lines are dropped first. At one line a
    // millisecond, only the length of the queue limits them.
    for number in 0..10_000 {
        log.write(served(number));
        tokio::time::advance(Duration::from_millis(1)).await;
    }
    let dropped = log.dropped();
    assert!(dropped >= 5_000, "{dropped}");
    log.write(refused(1));
    assert_eq!(
        log.dropped(),
        0,
        "the next line that fits says how many were dropped"
    );
    drop(release);
    let text = loop {
        flushed.recv().unwrap();
        let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
        if text.contains("request_refused") {
            break text;
        }
    };
    let events: Vec<Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let dropped_line = events
        .iter()
        .find(|event| event["event"] == "lines_dropped")
        .unwrap();
    assert_eq!(dropped_line["lines"], dropped);
    assert_eq!(dropped_line["by_event"]["request_ended"], dropped);
    assert!(
        events
            .iter()
            .all(|event| event["host"] == "host-a" && event["boot"] == 7)
    );
    // Metrics include the events of dropped lines.
    let metrics = log.metrics().text();
    assert!(
        metrics.contains("parsleywall_requests_total{outcome=\"served\"} 10000"),
        "{metrics}"
    );
    assert!(metrics.contains("parsleywall_refusals_total{reason=\"no_free_place\"} 1"));
}

/// Output that sends each written chunk to a channel.
struct ChannelOutput(Sender<Vec<u8>>);

impl Write for ChannelOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.send(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Reads written lines up to and including the first one of `event`.
fn read_until(written: &Receiver<Vec<u8>>, event: &str) -> Vec<Value> {
    let mut events: Vec<Value> = Vec::new();
    while !events.iter().any(|line| line["event"] == event) {
        let text = String::from_utf8(written.recv().unwrap()).unwrap();
        let lines = text.lines().map(|line| serde_json::from_str(line).unwrap());
        events.extend(lines);
    }
    events
}

#[tokio::test(start_paused = true)]
async fn test_log_keeps_to_its_rate_limit_and_prefers_failures() {
    let (send, written) = channel();
    let log = EventLog::new("host-a".to_owned(), 7, ChannelOutput(send));
    // All at one instant: only the burst passes, of which half is reserved for failures.
    for number in 0..1_500 {
        log.write(served(number));
    }
    assert_eq!(log.dropped(), 500);
    for number in 0..900 {
        log.write(refused(number));
    }
    assert_eq!(log.dropped(), 0);
    for number in 0..200 {
        log.write(refused(number));
    }
    assert_eq!(log.dropped(), 100);
    // A second refills the limit by 1,000 lines, which are still reserved for failures.
    tokio::time::advance(Duration::from_secs(1)).await;
    log.write(served(0));
    assert_eq!(log.dropped(), 101);
    log.write(LogEvent::Stopped {
        reason: "test".to_owned(),
        cut_off: 0,
    });
    assert_eq!(log.dropped(), 0);
    let events = read_until(&written, "stopped");
    let reports: Vec<&Value> = events
        .iter()
        .filter(|event| event["event"] == "lines_dropped")
        .collect();
    assert_eq!(reports.len(), 2);
    assert_eq!(reports[0]["by_event"]["request_ended"], 500);
    assert_eq!(reports[1]["by_event"]["request_refused"], 100);
    assert_eq!(reports[1]["by_event"]["request_ended"], 1);
    assert_eq!(reports[1]["lines"], 101);
}

#[test]
fn test_operations_page_lists_all_events_and_fields() {
    let page = include_str!("../../docs/OPERATIONS.md");
    for event in LogEvent::iter() {
        let name: &'static str = (&event).into();
        let row = page
            .lines()
            .find(|line| line.starts_with(&format!("| `{name}` |")));
        let row = row.unwrap_or_else(|| panic!("docs/OPERATIONS.md does not list {name}"));
        let Value::Object(fields) = serde_json::to_value(&event).unwrap() else {
            panic!("{name} has no fields");
        };
        for field in fields.keys() {
            assert!(row.contains(&format!("`{field}`")), "{name} lacks {field}");
        }
    }
}

fn line(host: &str, time_ms: i64, event: &str, fields: &str) -> String {
    format!(
        "  3.2 {host} {{\"time_ms\":{time_ms},\"host\":\"{host}\",\"boot\":1,\"event\":\"{event}\"{fields}}}"
    )
}

/// The clock of the second host is 5 s ahead. The events that both hosts log show the offset, and
/// the events of the job come out in causal order.
#[test]
fn test_trace_orders_hosts_whose_clocks_differ() {
    let config = ",\"before\":0,\"version\":3,\"routes\":2";
    let accepted = ",\"job\":\"j1\",\"outcome\":\"accepted\",\"items\":2,\"listed\":0";
    let taken = ",\"job\":\"j1\",\"outcome\":\"taken_over\",\"items\":2,\"listed\":1";
    let finished = ",\"job\":\"j1\",\"outcome\":\"finished\",\"items\":2,\"listed\":2";
    let lines = [
        line("host-b", 6_000, "config_changed", config),
        line("host-b", 9_000, "job", taken),
        line("host-b", 9_500, "job", finished),
        "no event at all".to_owned(),
        line("host-a", 1_000, "config_changed", config),
        line("host-a", 2_000, "job", accepted),
    ];
    let trace = EventTrace::read(lines.iter().map(String::as_str));
    let outcomes: Vec<&str> = trace
        .events_about("j1")
        .iter()
        .filter_map(|line| line.text("outcome"))
        .collect();
    assert_eq!(outcomes, ["accepted", "taken_over", "finished"]);
    assert!(trace.events_about("j2").is_empty());
}

/// Writes to a job come out in the store's order, though answers are late and clocks differ.
#[test]
fn test_trace_lists_writes_of_a_job_in_the_order_of_the_store() {
    let claimed = |version: u64| format!(",\"job\":\"j1\",\"version\":{version}");
    let written = |segment: usize, version: u64| {
        format!(",\"job\":\"j1\",\"segment\":{segment},\"version\":{version}")
    };
    let lines = [
        line("host-a", 1_000, "job_claimed", &claimed(4)),
        line("host-b", 2_000, "job_claimed", &claimed(9)),
        line("host-b", 3_000, "segment_written", &written(1, 10)),
        line("host-a", 4_000, "segment_written", &written(0, 7)),
        line(
            "host-a",
            4_100,
            "job_claimed",
            ",\"job\":\"j2\",\"version\":8",
        ),
    ];
    let trace = EventTrace::read(lines.iter().map(String::as_str));
    let writes = trace.job_writes("j1").into_iter();
    let versions: Vec<Option<u64>> = writes.map(|line| line.number("version")).collect();
    assert_eq!(versions, [4, 7, 9, 10].map(Some));
}

#[test]
fn test_trace_lists_worst_with_reasons() {
    let ended = |id: &str, outcome: &str, total: u64| {
        format!(",\"request\":\"{id}\",\"outcome\":\"{outcome}\",\"runs\":1,\"total_ms\":{total}")
    };
    let fault =
        ",\"request\":\"r2\",\"upstream\":\"u1\",\"fault\":\"silent\",\"cause\":\"no event\"";
    let refusal = ",\"request\":\"r3\",\"reason\":\"no_free_place\",\"places\":8,\"online\":12";
    let lines = [
        line(
            "host-a",
            1_000,
            "request_ended",
            &ended("r1", "served", 300),
        ),
        line("host-a", 2_000, "sending_failed", fault),
        line("host-a", 2_100, "request_ended", &ended("r2", "lost", 900)),
        line("host-a", 3_000, "request_refused", refusal),
        line(
            "host-a",
            4_000,
            "request_ended",
            &ended("r4", "served", 4_000),
        ),
        line(
            "host-b",
            4_000,
            "request_sent",
            ",\"request\":\"r5\",\"upstream\":\"u1\"",
        ),
        line("host-b", 5_000, "started", "").replace("\"boot\":1", "\"boot\":2"),
    ];
    let trace = EventTrace::read(lines.iter().map(String::as_str));
    let worst = trace.worst_requests(4);
    let names: Vec<&str> = worst
        .iter()
        .map(|request| request.request.as_str())
        .collect();
    assert_eq!(names, ["r2", "r3", "r5", "r4"]);
    let end = "the process of host-b ended";
    assert_eq!(worst[2].reason.as_deref(), Some(end));
    assert_eq!(worst[0].reason.as_deref(), Some("silent at u1: no event"));
    assert_eq!(
        worst[1].reason.as_deref(),
        Some("no_free_place, 12 at 8 places")
    );
}

/// A stream that was taken up at another host: the first attempt's identifier finds both ends.
#[test]
fn test_trace_shows_a_take_up_at_both_hosts() {
    let given_up = ",\"request\":\"r1\",\"by_host\":\"host-b\",\"events\":9";
    let ended = ",\"request\":\"r1\",\"outcome\":\"taken_up\",\"runs\":1,\"total_ms\":800,\"upstream\":\"u1\",\"quiet_ms\":5";
    let taken_up = ",\"request\":\"t1\",\"began\":\"r1\",\"before_host\":\"host-a\",\"outcome\":\"ended\",\"waited_ms\":3";
    let lines = [
        line("host-a", 1_000, "stream_given_up", given_up),
        line("host-a", 1_000, "request_ended", ended),
        line("host-b", 1_002, "stream_taken_up", taken_up),
    ];
    let trace = EventTrace::read(lines.iter().map(String::as_str));
    assert_eq!(trace.events_about("r1").len(), 3);
    let unserved = trace.unserved_requests();
    let reason = unserved[0].reason.as_deref();
    assert_eq!(reason, Some("taken up at host-b after 9 events"));
}

#[test]
fn test_trace_explains_unserved_requests() {
    let left = ",\"request\":\"r1\",\"outcome\":\"caller_left\",\"runs\":1,\"total_ms\":3000,\"upstream\":\"u1\",\"quiet_ms\":2400";
    let refusal = ",\"request\":\"r2\",\"reason\":\"no_free_place\",\"places\":8,\"online\":12";
    let served = ",\"request\":\"r2\",\"outcome\":\"served\",\"runs\":1,\"total_ms\":90";
    let sent = ",\"request\":\"r3\",\"upstream\":\"u2\"";
    let lines = [
        line("host-a", 1_000, "request_ended", left),
        line("host-a", 1_100, "request_refused", refusal),
        line("host-b", 1_900, "request_ended", served),
        line("host-b", 2_000, "request_sent", sent),
    ];
    let trace = EventTrace::read(lines.iter().map(String::as_str));
    let unserved = trace.unserved_requests();
    let names: Vec<&str> = unserved
        .iter()
        .map(|request| request.request.as_str())
        .collect();
    assert_eq!(names, ["r1", "r3"]);
    let quiet = "u1 had sent nothing for 2400 ms";
    assert_eq!(unserved[0].reason.as_deref(), Some(quiet));
    assert_eq!(unserved[1].outcome, "no_end");
    assert_eq!(unserved[1].reason, None);
}

/// Requests that a host was handling when its process ended count as cut off once it has restarted;
/// an item that another host completed does not.
#[test]
fn test_trace_reports_requests_cut_off_by_process_exit() {
    let sent = |id: &str| format!(",\"request\":\"{id}\",\"upstream\":\"u1\"");
    let done = ",\"item\":\"i1\",\"job\":\"j1\",\"outcome\":\"done\",\"events\":9";
    let lines = [
        line("host-a", 1_000, "request_sent", &sent("r1")),
        line("host-a", 1_000, "request_sent", &sent("i1")),
        line("host-a", 3_000, "started", "").replace("\"boot\":1", "\"boot\":2"),
        line("host-b", 3_500, "request_sent", &sent("i1")),
        line("host-b", 4_000, "item", done),
    ];
    let trace = EventTrace::read(lines.iter().map(String::as_str));
    let events: Vec<&str> = trace
        .events_about("r1")
        .iter()
        .map(|line| line.event.as_str())
        .collect();
    assert_eq!(events, ["request_sent", "started"]);
    let unserved = trace.unserved_requests();
    assert_eq!(unserved.len(), 1);
    assert_eq!(unserved[0].request, "r1");
    assert_eq!(unserved[0].outcome, "cut_off");
}

/// On call, an engineer has the identifier of a refused request and asks what convicted it.
#[test]
fn test_trace_of_a_convicted_request_shows_the_crashes() {
    let line = |time: u64, event: &str, fields: &str| {
        format!("{{\"time_ms\":{time},\"host\":\"a\",\"boot\":1,\"event\":\"{event}\",{fields}}}")
    };
    let lines = [
        line(
            1,
            "upstream_crashed",
            "\"upstream\":\"u1\",\"request\":\"r1\",\"digest\":\"d1\",\"parts\":[\"part-1\"]",
        ),
        line(
            2,
            "upstream_crashed",
            "\"upstream\":\"u2\",\"request\":\"r2\",\"digest\":\"d2\",\"parts\":[\"part-2\",\"part-1\"]",
        ),
        line(
            3,
            "upstream_crashed",
            "\"upstream\":\"u3\",\"request\":\"r3\",\"digest\":\"d3\",\"parts\":[\"part-3\"]",
        ),
        line(
            4,
            "subject_convicted",
            "\"subject\":\"part-1\",\"crashes\":2",
        ),
        line(
            9,
            "request_refused",
            "\"request\":\"r9\",\"reason\":\"convicted\",\"subject\":\"part-1\"",
        ),
    ];
    let trace = EventTrace::read(lines.iter().map(String::as_str));
    let about = trace.events_about("r9");
    let times: Vec<i64> = about.iter().map(|line| line.time_ms).collect();
    assert_eq!(times, [1, 2, 4, 9]);
}
