//! `parsleywall ctl diff`: compares the terms in force with a file or an earlier revision.

use std::path::PathBuf;

use argh::FromArgs;
use parsleywall::terms::TermsDocument;
use parsleywall::terms::differences;
use serde_json::Value;

use crate::commands::ctl::apply::read_file;
use crate::commands::ctl::client::OperatorClient;

/// Prints how a file or a revision differs from the terms in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct DiffArgs {
    /// file with terms as JSON
    #[argh(option, short = 'f')]
    file: Option<PathBuf>,
    /// earlier revision, in place of a file
    #[argh(option)]
    revision: Option<u64>,
}

impl DiffArgs {
    /// Fetches the terms and prints one line for each field that differs.
    pub(crate) async fn run(self, client: &OperatorClient) -> Result<(), String> {
        let current = parse(client.get("terms").await?)?;
        let other = match (&self.file, self.revision) {
            (Some(file), None) => {
                let content = read_file(file)?;
                let value = serde_json::from_slice(&content);
                parse(value.map_err(|err| format!("{}: {err}", file.display()))?)?
            }
            (None, Some(revision)) => {
                parse(client.get(&format!("terms?revision={revision}")).await?)?
            }
            _ => return Err("either --file or --revision is required".to_owned()),
        };
        for difference in differences(&current, &other) {
            println!("{difference}");
        }
        Ok(())
    }
}

fn parse(value: Value) -> Result<TermsDocument, String> {
    serde_json::from_value(value).map_err(|err| format!("not a document of terms: {err}"))
}
