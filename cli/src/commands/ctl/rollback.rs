//! `parsleywall ctl rollback`: restores the terms of an earlier revision.

use argh::FromArgs;
use bytes::Bytes;
use http::Method;
use serde_json::json;

use crate::commands::ctl::apply::wait_in_force;
use crate::commands::ctl::client::OperatorClient;

/// Returns to the terms of an earlier revision, which makes a new revision.
#[derive(FromArgs)]
#[argh(subcommand, name = "rollback")]
pub(crate) struct RollbackArgs {
    /// revision to return to
    #[argh(positional)]
    to: u64,
    /// revision that must still be the latest accepted one; otherwise the edit is rejected
    #[argh(option)]
    revision: Option<u64>,
    /// return when every live host has the revision in force, or name those that do not
    #[argh(switch)]
    wait: bool,
}

impl RollbackArgs {
    /// Sends the rollback, prints the new revision and, if asked, waits until it is in force.
    pub(crate) async fn run(self, client: &OperatorClient) -> Result<(), String> {
        let body = Bytes::from(json!({ "to": self.to }).to_string());
        let answer = client.edit(Method::POST, "terms/rollback", body, self.revision);
        let answer = answer.await?;
        println!("{answer:#}");
        match self.wait {
            true => wait_in_force(client, &answer).await,
            false => Ok(()),
        }
    }
}
