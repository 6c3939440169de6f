//! Cases of the second review: each starts the project's programs and stand-ins, disturbs them, and judges
//! what clients and workers saw.

mod case_cut_streams;
mod case_failing_items;
mod case_hidden_jobs;
mod case_mixed_versions;
mod case_refused_job;
mod client;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod sys;
mod worker;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// Outcome of a case that could run.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[1..] {
        ["store", address, backlog, stale_ms] => {
            let (backlog, stale_ms) = (backlog.parse(), stale_ms.parse());
            let _ = store::serve(address, backlog.unwrap_or(128), stale_ms.unwrap_or(0));
            ExitCode::FAILURE
        }
        ["case", name, file] => run_case(name, Path::new(file)),
        _ => ExitCode::from(2),
    }
}

fn run_case(name: &str, file: &Path) -> ExitCode {
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let outcome = match name {
        "hidden-jobs" => case_hidden_jobs::run(&record, has_trouble),
        "mixed-versions" => case_mixed_versions::run(&record, has_trouble),
        "cut-streams" => case_cut_streams::run(&record, has_trouble),
        "failing-items" => case_failing_items::run(&record, has_trouble),
        "refused-job" => case_refused_job::run(&record, has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    let (code, text) = match outcome {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken) => (1, "the rule was broken".to_owned()),
        Err(err) => (2, format!("the case could not run: {err}")),
    };
    record.note(&text);
    println!("{text}");
    match record.save(file) {
        Ok(()) => ExitCode::from(code),
        Err(_) => ExitCode::from(2),
    }
}
