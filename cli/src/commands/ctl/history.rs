//! `parsleywall ctl history`: prints the newest edits of the terms.

use argh::FromArgs;

use crate::commands::ctl::client::OperatorClient;

/// Prints the newest edits of the terms, oldest first.
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct HistoryArgs {}

impl HistoryArgs {
    /// Fetches the history of the terms and prints it as JSON.
    pub(crate) async fn run(self, client: &OperatorClient) -> Result<(), String> {
        println!("{:#}", client.get("terms/history").await?);
        Ok(())
    }
}
