//! `parsleywall ctl apply`: replaces the terms with those of a file.

use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use bytes::Bytes;
use http::Method;
use serde_json::Value;

use crate::commands::ctl::client::OperatorClient;

const IN_FORCE_WAIT_SECONDS: u32 = 30;

/// Replaces the terms.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct ApplyArgs {
    /// file with the terms as JSON
    #[argh(option, short = 'f')]
    file: PathBuf,
    /// revision that must still be the latest accepted one; otherwise the edit is rejected
    #[argh(option)]
    revision: Option<u64>,
    /// return when every live host has the revision in force, or name those that do not
    #[argh(switch)]
    wait: bool,
}

impl ApplyArgs {
    /// Sends the file, prints the new revision and, if asked, waits until it is in force.
    pub(crate) async fn run(self, client: &OperatorClient) -> Result<(), String> {
        let body = read_file(&self.file)?;
        let answer = client.edit(Method::PUT, "terms", body, self.revision);
        let answer = answer.await?;
        println!("{answer:#}");
        match self.wait {
            true => wait_in_force(client, &answer).await,
            false => Ok(()),
        }
    }
}

/// Reads a file; the error names the file.
pub(crate) fn read_file(file: &Path) -> Result<Bytes, String> {
    let content = std::fs::read(file);
    let content = content.map_err(|err| format!("{}: {err}", file.display()))?;
    Ok(Bytes::from(content))
}

/// Waits until the new revision in the response to an edit is in force on every live host; the
/// error names the hosts on which it is not.
pub(crate) async fn wait_in_force(client: &OperatorClient, answer: &Value) -> Result<(), String> {
    let revision = &answer["revision"];
    let path = format!("terms/in-force?revision={revision}&wait={IN_FORCE_WAIT_SECONDS}");
    let report = client.get(&path).await?;
    let behind = report["behind"].as_array().cloned().unwrap_or_default();
    if behind.is_empty() {
        println!("in force on {} hosts", report["hosts"]);
        return Ok(());
    }
    let names: Vec<String> = behind.iter().map(|host| host["host"].to_string()).collect();
    let names = names.join(", ");
    Err(format!(
        "revision {revision} is accepted, but not yet in force on {names}"
    ))
}
