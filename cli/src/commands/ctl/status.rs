//! `parsleywall ctl status`: prints hosts, upstreams and allowances in use.

use argh::FromArgs;
use parsleywall::admin::CapStatus;
use parsleywall::admin::FleetStatus;
use parsleywall::admin::HostStatus;
use parsleywall::admin::UpstreamStatus;
use parsleywall::edges::host_list::ListedRole;

use crate::commands::ctl::client::OperatorClient;
use crate::table::new_table;
use crate::table::render;

/// Cell text for a figure that is not known.
const UNKNOWN_VALUE: &str = "-";
/// Maximum number of rows in the table of allowances, which lists the most used ones first.
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
    /// Fetches the fleet status from the host and prints it as tables or JSON.
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

/// Formats `status` as tables.
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
            or_unknown(report.map(|report| report.revision)),
            or_unknown(report.map(|report| report.accepted)),
            or_unknown(report.map(|report| report.answered)),
            or_unknown(report.map(|report| report.refused)),
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
            or_unknown(admission.map(|snapshot| snapshot.limit)),
            or_unknown(admission.map(|snapshot| snapshot.online)),
            or_unknown(admission.map(|snapshot| snapshot.batch)),
            or_unknown(admission.map(|snapshot| snapshot.online_queued + snapshot.batch_queued)),
        ]);
    }
    render(&table)
}

fn caps_text(caps: &[CapStatus]) -> String {
    let used_share = |cap: &CapStatus| cap.tokens_per_second / cap.allowed.max(f64::MIN_POSITIVE);
    let mut caps: Vec<&CapStatus> = caps.iter().collect();
    caps.sort_by(|a, b| used_share(b).total_cmp(&used_share(a)));
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
            format!("{:.0}%", 100.0 * used_share(cap)),
        ]);
    }
    let omitted = caps.len().saturating_sub(MAX_CAP_ROWS);
    match omitted {
        0 => render(&table),
        omitted => format!("{}\n{omitted} more allowances are in use.", render(&table)),
    }
}

fn role_text(role: &ListedRole) -> String {
    match role {
        ListedRole::Engine => "engine".to_owned(),
        ListedRole::Service(name) => format!("service {name}"),
        ListedRole::Entry => "entry".to_owned(),
    }
}

fn or_unknown(value: Option<impl ToString>) -> String {
    value.map_or_else(|| UNKNOWN_VALUE.to_owned(), |value| value.to_string())
}
