//! `parsleywall ctl terms`: prints the terms in force.

use argh::FromArgs;

use crate::commands::ctl::client::OperatorClient;

/// Prints the terms in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "terms")]
pub(crate) struct TermsArgs {}

impl TermsArgs {
    /// Fetches the terms in force on the host and prints them as JSON.
    pub(crate) async fn run(self, client: &OperatorClient) -> Result<(), String> {
        println!("{:#}", client.get("terms").await?);
        Ok(())
    }
}
