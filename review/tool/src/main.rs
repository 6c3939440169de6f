//! Plays one case of the review: starts fronts and stand-ins, applies the disruption unless `TROUBLE=0`,
//! and checks one rule. Exits with 1 if it was broken, with 0 if it held and with 2 if the case could
//! not run.

mod cases;
mod client;
mod fleet;
mod worker;

use std::process::ExitCode;
use std::time::Duration;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::fleet::Record;

const CASE_TIMEOUT: Duration = Duration::from_secs(110);

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: review-tool CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = match Record::create(path) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("{path}: {err}");
            return ExitCode::from(2);
        }
    };
    record.write(format!("case {case}, with the disruption: {trouble}"));
    let Ok(mut sigterm) = signal(SignalKind::terminate()) else {
        return ExitCode::from(2);
    };
    let play = cases::play(case, record.clone(), trouble);
    // Dropping the case ends all processes that it started.
    let outcome = tokio::select! {
        outcome = tokio::time::timeout(CASE_TIMEOUT, play) => outcome,
        _ = sigterm.recv() => Ok(Err("it was stopped".into())),
    };
    match outcome {
        Ok(Ok(0)) => {
            record.write("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Ok(count)) => {
            record.write(format!("the rule was broken {count} times"));
            ExitCode::from(1)
        }
        Ok(Err(err)) => {
            record.write(format!("the case could not run: {err}"));
            ExitCode::from(2)
        }
        Err(_) => {
            record.write("the case could not run: it took too long");
            ExitCode::from(2)
        }
    }
}
