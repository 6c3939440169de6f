//! `parsleywall trace`: reconstructs from event logs what happened to a request, job, item or
//! upstream.

use std::io::Write;
use std::process::ExitCode;

use argh::FromArgs;
use parsleywall::trace::EventTrace;
use parsleywall::trace::RequestSummary;
use parsleywall::trace::TraceLine;

use crate::commands::EXIT_USAGE;

/// Reads event logs of one or more hosts, puts them in causal order even if clocks differ, and
/// prints the events of a request, job, item or upstream, or lists the worst requests.
#[derive(FromArgs)]
#[argh(subcommand, name = "trace")]
pub(crate) struct TraceArgs {
    /// log files; lines without an event are skipped
    #[argh(positional)]
    files: Vec<String>,
    /// identifier of the request, job, item or upstream whose events are printed
    #[argh(option)]
    id: Option<String>,
    /// number of failed and slowest requests to list with their reasons
    #[argh(option)]
    worst: Option<usize>,
    /// list all requests that were not served, with their reasons
    #[argh(switch)]
    unserved: bool,
}

impl TraceArgs {
    /// Prints the events or the list; fails if the logs have no match.
    pub(crate) fn run(self) -> ExitCode {
        let has_query = self.id.is_some() || self.worst.is_some() || self.unserved;
        if self.files.is_empty() || !has_query {
            eprintln!("error: give log files, and --id, --worst or --unserved");
            return ExitCode::from(EXIT_USAGE);
        }
        let mut text = String::new();
        for file in &self.files {
            match std::fs::read(file) {
                Ok(bytes) => text.push_str(&String::from_utf8_lossy(&bytes)),
                Err(err) => {
                    eprintln!("error: {file}: {err}");
                    return ExitCode::FAILURE;
                }
            }
            text.push('\n');
        }
        let trace = EventTrace::read(text.lines());
        let mut out = std::io::stdout().lock();
        let has_matches = match (&self.id, self.worst) {
            (Some(id), _) => print_events(&trace, id, &mut out),
            (None, Some(count)) => print_requests(&trace.worst_requests(count), &mut out),
            (None, None) => print_unserved(&trace, &mut out),
        };
        match has_matches {
            true => ExitCode::SUCCESS,
            false => {
                eprintln!("error: the logs hold no matching event");
                ExitCode::FAILURE
            }
        }
    }
}

fn print_events(trace: &EventTrace, id: &str, out: &mut impl Write) -> bool {
    let lines = trace.events_about(id);
    let Some(start_ms) = lines.first().map(|line| line.time_ms) else {
        return false;
    };
    print_lines(&lines, start_ms, out);
    let writes = trace.job_writes(id);
    if !writes.is_empty() {
        let _ = writeln!(out, "writes in the order of the key-value service:");
        print_lines(&writes, start_ms, out);
    }
    true
}

/// Prints lines with their times after `start_ms`.
fn print_lines(lines: &[&TraceLine], start_ms: i64, out: &mut impl Write) {
    for line in lines {
        let elapsed_ms = line.time_ms - start_ms;
        let event_text = line.summary();
        if writeln!(out, "{elapsed_ms:>8} ms  {:<20} {event_text}", line.host).is_err() {
            // The reader of the output has closed its pipe.
            return;
        }
    }
}

/// Prints the requests that were not served, their number, and how many of them have a reason.
fn print_unserved(trace: &EventTrace, out: &mut impl Write) -> bool {
    let unserved = trace.unserved_requests();
    print_requests(&unserved, out);
    let explained = unserved.iter().filter(|request| request.reason.is_some());
    let (explained, total) = (explained.count(), unserved.len());
    let _ = writeln!(out, "{total} not served, {explained} of them with a reason");
    true
}

fn print_requests(requests: &[RequestSummary], out: &mut impl Write) -> bool {
    for request in requests {
        let total_ms = request.total_ms;
        let reason = request.reason.as_deref().unwrap_or("no fault was logged");
        let RequestSummary {
            request, outcome, ..
        } = request;
        if writeln!(
            out,
            "{request:<20} {outcome:<18} {total_ms:>6} ms  {reason}"
        )
        .is_err()
        {
            break;
        }
    }
    !requests.is_empty()
}
