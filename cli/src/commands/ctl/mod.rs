//! `parsleywall ctl`: operators' commands, with one module for each.

mod apply;
mod client;
mod counters;
mod diff;
mod explain;
mod history;
mod rollback;
mod status;
mod terms;
#[cfg(test)]
mod tests;

use std::process::ExitCode;

use argh::FromArgs;

use crate::commands::EXIT_USAGE;
use crate::commands::ctl::client::OperatorClient;

/// Calls an entry host as an operator.
#[derive(FromArgs)]
#[argh(subcommand, name = "ctl")]
pub(crate) struct CtlArgs {
    /// address of any entry host; default: 127.0.0.1:8080
    #[argh(option, default = "String::from(\"127.0.0.1:8080\")")]
    host: String,
    /// operator key; default: PARSLEYWALL_OPERATOR_KEY
    #[argh(option)]
    key: Option<String>,
    #[argh(subcommand)]
    command: CtlCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum CtlCommand {
    Terms(terms::TermsArgs),
    Apply(apply::ApplyArgs),
    Diff(diff::DiffArgs),
    History(history::HistoryArgs),
    Rollback(rollback::RollbackArgs),
    Counters(counters::CountersArgs),
    Explain(explain::ExplainArgs),
    Status(status::StatusArgs),
}

impl CtlArgs {
    /// Runs the subcommand against the entry host and returns its exit code.
    pub(crate) async fn run(self) -> ExitCode {
        let key = self.key.clone();
        let Some(key) = key.or_else(|| std::env::var("PARSLEYWALL_OPERATOR_KEY").ok()) else {
            eprintln!("error: --key: a value is required; allowed: an operator key");
            return ExitCode::from(EXIT_USAGE);
        };
        let client = OperatorClient::new(self.host, key);
        let outcome = match self.command {
            CtlCommand::Terms(args) => args.run(&client).await,
            CtlCommand::Apply(args) => args.run(&client).await,
            CtlCommand::Diff(args) => args.run(&client).await,
            CtlCommand::History(args) => args.run(&client).await,
            CtlCommand::Rollback(args) => args.run(&client).await,
            CtlCommand::Counters(args) => args.run(&client).await,
            CtlCommand::Explain(args) => args.run(&client).await,
            CtlCommand::Status(args) => args.run(&client).await,
        };
        match outcome {
            Ok(()) => ExitCode::SUCCESS,
            Err(cause) => {
                eprintln!("error: {cause}");
                ExitCode::FAILURE
            }
        }
    }
}
