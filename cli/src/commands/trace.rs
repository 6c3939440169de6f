//! `parsleywall trace`: tells from event logs what became of a request, job, item or upstream.

use std::process::ExitCode;

use argh::FromArgs;
use parsleywall::trace::EventTrace;

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
}

impl TraceArgs {
    /// Prints the story or the list.
    pub(crate) fn run(self) -> ExitCode {
        if self.files.is_empty() || (self.id.is_none() && self.worst.is_none()) {
            eprintln!("error: give log files, and --id or --worst");
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
        let found = match (&self.id, self.worst) {
            (Some(id), _) => print_story(&trace, id),
            (None, Some(count)) => print_worst(&trace, count),
            (None, None) => false,
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

fn print_story(trace: &EventTrace, id: &str) -> bool {
    let lines = trace.about(id);
    let Some(start) = lines.first().map(|line| line.time_ms) else {
        return false;
    };
    for line in &lines {
        let after = line.time_ms - start;
        println!("{after:>8} ms  {:<20} {}", line.host, line.story());
    }
    true
}

fn print_worst(trace: &EventTrace, count: usize) -> bool {
    let worst = trace.worst(count);
    for request in &worst {
        let reason = request.reason.as_deref().unwrap_or("no fault was logged");
        println!(
            "{:<20} {:<18} {:>6} ms  {reason}",
            request.request, request.outcome, request.total_ms
        );
    }
    !worst.is_empty()
}
