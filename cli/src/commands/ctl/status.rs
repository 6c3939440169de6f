//! `parsleywall ctl status`.

use argh::FromArgs;
use parsleywall::admin::CapStatus;
use parsleywall::admin::FleetStatus;
use parsleywall::admin::HostStatus;
use parsleywall::admin::UpstreamStatus;
use parsleywall::edges::host_list::ListedRole;

use crate::commands::ctl::client::OperatorClient;
use crate::table::new_table;
use crate::table::render;

/// Stands for a figure that is not known.
const UNKNOWN: &str = "-";
/// Rows of the table of allowances; the most used come first.
const MAX_CAP_ROWS: usize = 20;

/// Prints the state of the fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArgs {
    /// print JSON
    #[argh(switch)]
    json: bool,
}

impl StatusArgs {
    /// Makes the call and prints its answer.
    pub(crate) async fn run(self, client: &OperatorClient) -> Result<(), String> {
        let answer = client.get("status").await?;
        if self.json {
            println!("{answer:#}");
            return Ok(());
        }
        let status = serde_json::from_value(answer);
        let status = status.map_err(|err| format!("the answer is malformed: {err}"))?;
        println!("{}", status_text(&status));
        Ok(())
    }
}

/// Text of `status` for a person.
pub(super) fn status_text(status: &FleetStatus) -> String {
    let head = format!(
        "Seen from {}; terms at revision {}.",
        status.asked, status.revision
    );
    let parts = [
        head,
        hosts_text(&status.hosts),
        upstreams_text(&status.upstreams),
        caps_text(&status.caps),
    ];
    parts.join("\n\n")
}

fn hosts_text(hosts: &[HostStatus]) -> String {
    let titles = [
        "host",
        "data centre",
        "address",
        "state",
        "revision",
        "accepted",
        "answered",
        "refused",
    ];
    let mut table = new_table(&titles);
    for host in hosts {
        let report = host.report.as_ref();
        table.add_row([
            host.host.to_string(),
            host.data_centre.to_string(),
            host.address.to_string(),
            host.state.to_string(),
            figure(report.map(|report| report.revision)),
            figure(report.map(|report| report.accepted)),
            figure(report.map(|report| report.answered)),
            figure(report.map(|report| report.refused)),
        ]);
    }
    render(&table)
}

fn upstreams_text(upstreams: &[UpstreamStatus]) -> String {
    let titles = [
        "upstream",
        "data centre",
        "address",
        "role",
        "state",
        "limit",
        "online",
        "batch",
        "queued",
    ];
    let mut table = new_table(&titles);
    for upstream in upstreams {
        let admission = upstream.admission.as_ref();
        table.add_row([
            upstream.upstream.to_string(),
            upstream.data_centre.to_string(),
            upstream.address.to_string(),
            role_text(&upstream.role),
            upstream.state.to_string(),
            figure(admission.map(|digest| digest.limit)),
            figure(admission.map(|digest| digest.online)),
            figure(admission.map(|digest| digest.batch)),
            figure(admission.map(|digest| digest.online_queued + digest.batch_queued)),
        ]);
    }
    render(&table)
}

fn caps_text(caps: &[CapStatus]) -> String {
    let share = |cap: &CapStatus| cap.tokens_per_second / cap.allowed.max(f64::MIN_POSITIVE);
    let mut caps: Vec<&CapStatus> = caps.iter().collect();
    caps.sort_by(|a, b| share(b).total_cmp(&share(a)));
    if caps.is_empty() {
        return "No allowance is in use.".to_owned();
    }
    let mut table = new_table(&["workspace", "class", "tokens/s", "allowed", "used"]);
    for cap in caps.iter().take(MAX_CAP_ROWS) {
        table.add_row([
            cap.key.workspace.to_string(),
            cap.key.class.to_string(),
            format!("{:.1}", cap.tokens_per_second),
            format!("{:.1}", cap.allowed),
            format!("{:.0}%", 100.0 * share(cap)),
        ]);
    }
    let left = caps.len().saturating_sub(MAX_CAP_ROWS);
    match left {
        0 => render(&table),
        left => format!("{}\n{left} more allowances are in use.", render(&table)),
    }
}

fn role_text(role: &ListedRole) -> String {
    match role {
        ListedRole::Engine => "engine".to_owned(),
        ListedRole::Service(name) => format!("service {name}"),
        ListedRole::Entry => "entry".to_owned(),
    }
}

fn figure(value: Option<impl ToString>) -> String {
    value.map_or_else(|| UNKNOWN.to_owned(), |value| value.to_string())
}
