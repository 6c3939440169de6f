//! `parsleywall ctl counters`: prints the counters of one host.

use argh::FromArgs;

use crate::commands::ctl::client::OperatorClient;

/// Prints the counters of the host.
#[derive(FromArgs)]
#[argh(subcommand, name = "counters")]
pub(crate) struct CountersArgs {}

impl CountersArgs {
    /// Fetches the counters of the host and prints them as JSON.
    pub(crate) async fn run(self, client: &OperatorClient) -> Result<(), String> {
        println!("{:#}", client.get("counters").await?);
        Ok(())
    }
}
