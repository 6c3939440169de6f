//! Cases of the third review that are shown with processes. Each starts a stand-in of the metadata store,
//! stand-ins of workers and fronts of the project, and judges what clients and workers see.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod ended_job;
mod fleet;
mod http;
mod json;
mod long_request;
mod record;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;

use long_request::History;
use record::Record;

/// What a case came to.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run, for this reason.
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, folder] = &arguments[..] else {
        eprintln!("usage: review-3 CASE FOLDER");
        return ExitCode::from(2);
    };
    let is_disturbed = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("record.txt: {err}");
            return ExitCode::from(2);
        }
    };
    let temporary = std::env::temp_dir().join(format!("review-3-{name}-{}", std::process::id()));
    if let Err(err) = std::fs::create_dir_all(&temporary) {
        eprintln!("{}: {err}", temporary.display());
        return ExitCode::from(2);
    }
    let verdict = match name.as_str() {
        "ended-job" => ended_job::play(is_disturbed, &record, &temporary),
        "long-request" => long_request::play(&History::ONCE, is_disturbed, &record, &temporary),
        "long-request-again" => {
            long_request::play(&History::REPEATABLE, is_disturbed, &record, &temporary)
        }
        _ => Verdict::NotRun("there is no such case".to_owned()),
    };
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let (text, status) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(cause) => (format!("the case could not run: {cause}"), 2),
    };
    record.add(&text);
    println!("{name}: {text}");
    ExitCode::from(status)
}
