//! `parsleywall ctl explain`: prints the recorded decisions about one subject.

use std::time::Duration;
use std::time::UNIX_EPOCH;

use argh::FromArgs;
use parsleywall::admin::Explanation;
use parsleywall::decisions::Decision;

use crate::commands::ctl::client::OperatorClient;
use crate::table::new_table;
use crate::table::render;

/// Prints the decisions about a request, job, upstream or workspace.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct ExplainArgs {
    /// identifier of the subject
    #[argh(positional)]
    subject: String,
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl ExplainArgs {
    /// Fetches the decisions of all live hosts and prints them as a table or JSON.
    pub(crate) async fn run(self, client: &OperatorClient) -> Result<(), String> {
        let path = format!("explain/{}", self.subject);
        let answer = client.get(&path).await?;
        if self.json {
            println!("{answer:#}");
            return Ok(());
        }
        let explanation = serde_json::from_value(answer);
        let explanation = explanation.map_err(|err| format!("the answer is malformed: {err}"))?;
        println!("{}", explanation_text(&self.subject, &explanation));
        Ok(())
    }
}

/// Formats `explanation` as a table, with a note on the hosts that did not answer.
pub(super) fn explanation_text(subject: &str, explanation: &Explanation) -> String {
    let mut text = match explanation.decisions.is_empty() {
        true => format!("No live host has a recorded decision about {subject}."),
        false => decisions_text(&explanation.decisions),
    };
    if explanation.hosts_without_answer > 0 {
        let silent = explanation.hosts_without_answer;
        text.push_str(&format!("\n{silent} live hosts did not answer."));
    }
    text
}

fn decisions_text(decisions: &[Decision]) -> String {
    let mut table = new_table(&["time", "host", "kind", "decision"]);
    for decision in decisions {
        table.add_row([
            time_text(decision.at_ms),
            decision.host.to_string(),
            decision.kind.to_string(),
            decision.detail.clone(),
        ]);
    }
    render(&table)
}

fn time_text(at_ms: u64) -> String {
    let time = UNIX_EPOCH + Duration::from_millis(at_ms);
    humantime::format_rfc3339_millis(time).to_string()
}
