//! `parsleywall trace`: tells from event logs what became of a request, job, item or upstream.

use std::io::Write;
use std::process::ExitCode;

use argh::FromArgs;
use parsleywall::trace::EventTrace;
use parsleywall::trace::RequestSummary;

use crate::commands::EXIT_USAGE;

/// Reads event logs of one or more hosts, puts them in causal order though clocks differ, and
/// tells the story of a request, job, item or upstream, or lists the worst requests.
#[derive(FromArgs)]
#[argh(subcommand, name = "trace")]
pub(crate) struct TraceArgs {
    /// log files; lines that hold no event are passed over
    #[argh(positional)]
    files: Vec<String>,
    /// identifier whose story is told
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
    /// Prints the story or the list.
    pub(crate) fn run(self) -> ExitCode {
        let asks = self.id.is_some() || self.worst.is_some() || self.unserved;
        if self.files.is_empty() || !asks {
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
        let found = match (&self.id, self.worst) {
            (Some(id), _) => print_story(&trace, id, &mut out),
            (None, Some(count)) => print_requests(&trace.worst_requests(count), &mut out),
            (None, None) => print_unserved(&trace, &mut out),
        };
        match found {
            true => ExitCode::SUCCESS,
            false => {
                eprintln!("error: the logs do not name it");
                ExitCode::FAILURE
            }
        }
    }
}

fn print_story(trace: &EventTrace, id: &str, out: &mut impl Write) -> bool {
    let lines = trace.events_about(id);
    let Some(start) = lines.first().map(|line| line.time_ms) else {
        return false;
    };
    for line in &lines {
        let after = line.time_ms - start;
        let story = line.summary();
        if writeln!(out, "{after:>8} ms  {:<20} {story}", line.host).is_err() {
            // The reader has seen enough.
            break;
        }
    }
    true
}

/// Prints the unserved requests and how many of them have a reason.
fn print_unserved(trace: &EventTrace, out: &mut impl Write) -> bool {
    let unserved = trace.unserved_requests();
    print_requests(&unserved, out);
    let explained = unserved.iter().filter(|request| request.reason.is_some());
    let (explained, all) = (explained.count(), unserved.len());
    let _ = writeln!(out, "{all} not served, {explained} of them with a reason");
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
