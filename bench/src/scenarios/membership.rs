//! `membership`: how soon deaths are seen, and what the protocol costs in fleets of several sizes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use parsleywall::counters::CounterSet;
use parsleywall::decisions::DecisionRing;
use parsleywall::http::client::HttpClient;
use parsleywall::ids::DataCentre;
use parsleywall::ids::HostId;
use parsleywall::ids::Revision;
use parsleywall::membership::HostState;
use parsleywall::membership::Membership;
use parsleywall::membership::MembershipAgent;
use parsleywall::membership::MembershipCall;
use parsleywall::membership::PeerHost;
use parsleywall::membership::SeedSources;
use parsleywall::peers::PeerClient;
use parsleywall::peers::PeerHandlers;
use parsleywall::peers::PeerServer;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

use crate::hosts::BenchFleet;
use crate::hosts::FleetPlan;
use crate::load::quantile_ms;
use crate::options::BenchOptions;
use crate::report::Bound;
use crate::report::Report;

const SIZES: [usize; 4] = [9, 50, 150, 300];
const SECRET: &str = "bench-secret-0123456789";
const SEEDS: usize = 3;
const SETTLE_LIMIT: Duration = Duration::from_secs(40);
const QUIET_TIME: Duration = Duration::from_secs(15);
const MEASURED_TIME: Duration = Duration::from_secs(15);
const POLL: Duration = Duration::from_millis(25);
const DETECTION_LIMIT: Duration = Duration::from_secs(20);
const KILLS_PER_SIZE: usize = 3;
const PROCESS_KILLS: usize = 6;
const PAUSES: usize = 6;
const PAUSE: Duration = Duration::from_secs(2);
const PAUSE_GAP: Duration = Duration::from_secs(4);

/// One host of a fleet in this process.
struct LocalHost {
    membership: Arc<Membership>,
    stop: CancellationToken,
    /// Dropping the tasks ends the host without a word to the others.
    tasks: Vec<tokio::task::JoinHandle<()>>,
    counters: Arc<CounterSet>,
}

impl LocalHost {
    async fn start(number: usize, seeds: &[SocketAddr]) -> std::io::Result<Self> {
        let (listener, socket) = bind_pair().await?;
        let address = listener.local_addr()?;
        let id = HostId::new(format!("host-{number:04}"));
        let own = PeerHost {
            id: id.clone(),
            incarnation: number as u64 + 1,
            data_centre: DataCentre::new(format!("dc-{}", number % 5)),
            caller_address: address,
            peer_address: address,
            state: HostState::Live,
            revision: Revision(1),
            has_disk: false,
        };
        let membership = Arc::new(Membership::new(own));
        let counters = Arc::new(CounterSet::new());
        let stop = CancellationToken::new();
        let agent = MembershipAgent::new(
            membership.clone(),
            socket,
            SECRET.to_owned(),
            SeedSources::new(seeds.to_vec()),
            PeerClient::new(id.clone(), SECRET.to_owned()),
            counters.clone(),
            Arc::new(DecisionRing::new(id)),
        );
        let server = PeerServer::new(listener, SECRET.to_owned(), counters.clone());
        let answering = membership.clone();
        let answer = move |_, _: MembershipCall| std::future::ready(answering.state());
        let handlers = PeerHandlers::new().with(answer);
        let tasks = vec![
            tokio::spawn(agent.run(stop.clone())),
            tokio::spawn(server.run(stop.clone(), handlers)),
        ];
        Ok(Self {
            membership,
            stop,
            tasks,
            counters,
        })
    }

    fn kill(&self) {
        for task in &self.tasks {
            task.abort();
        }
    }

    fn sees(&self) -> usize {
        self.membership.view().hosts.len()
    }
}

impl Drop for LocalHost {
    fn drop(&mut self) {
        self.stop.cancel();
        self.kill();
    }
}

async fn bind_pair() -> std::io::Result<(TcpListener, UdpSocket)> {
    loop {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        if let Ok(socket) = UdpSocket::bind(listener.local_addr()?).await {
            return Ok((listener, socket));
        }
    }
}

/// Cost of one host of a fleet.
struct SizeFigures {
    nodes: usize,
    bytes_per_second: f64,
    cpu_percent: f64,
    memory_mb: f64,
    detections: Vec<Duration>,
    false_deaths: u64,
}

pub(super) async fn run(options: &BenchOptions) -> Result<Report, String> {
    let mut report = Report::new("membership", options.seed);
    let mut by_size = Vec::new();
    let mut detections = Vec::new();
    let mut false_deaths = 0;
    for nodes in SIZES {
        let figures = measure_size(nodes).await.map_err(|err| err.to_string())?;
        detections.extend(figures.detections.iter().copied());
        false_deaths += figures.false_deaths;
        by_size.push(json!({
            "nodes": figures.nodes,
            "bytes_per_second": figures.bytes_per_second,
            "cpu_percent": figures.cpu_percent,
            "memory_mb": figures.memory_mb,
            "detect_ms_max": quantile_ms(figures.detections, 1.0),
        }));
    }
    let processes = measure_processes(options).await?;
    detections.extend(processes.detections);
    false_deaths += processes.false_deaths;
    report.add("detections", detections.len() as f64, Bound::None);
    report.add(
        "detect_ms_p99",
        quantile_ms(detections, 0.99),
        Bound::AtMost(5_000.0),
    );
    report.add("false_deaths", false_deaths as f64, Bound::AtMost(0.0));
    report.add_list("by_size", by_size);
    Ok(report)
}

async fn measure_size(nodes: usize) -> std::io::Result<SizeFigures> {
    let memory_before = resident_mb();
    let mut hosts: Vec<LocalHost> = Vec::new();
    for number in 0..nodes {
        let seeds: Vec<SocketAddr> = hosts
            .iter()
            .take(SEEDS)
            .map(|host| host.membership.own_address())
            .collect();
        hosts.push(LocalHost::start(number, &seeds).await?);
    }
    let started = Instant::now();
    while hosts.iter().any(|host| host.sees() != nodes) && started.elapsed() < SETTLE_LIMIT {
        tokio::time::sleep(POLL).await;
    }
    tokio::time::sleep(QUIET_TIME).await;
    let sent =
        |hosts: &[LocalHost]| -> u64 { hosts.iter().map(|host| host.membership.sent().1).sum() };
    let (bytes, cpu, began) = (sent(&hosts), cpu_seconds(), Instant::now());
    tokio::time::sleep(MEASURED_TIME).await;
    let seconds = began.elapsed().as_secs_f64();
    let per_host = |total: f64| total / nodes as f64;
    let bytes_per_second = per_host((sent(&hosts) - bytes) as f64 / seconds);
    let cpu_percent = per_host((cpu_seconds() - cpu) / seconds * 100.0);
    let memory_mb = per_host((resident_mb() - memory_before).max(0.0));
    let deaths = |hosts: &[LocalHost]| -> u64 {
        let died = parsleywall::counters::CounterEvent::HostDead;
        hosts
            .iter()
            .map(|host| host.counters.event_count(died))
            .sum()
    };
    let false_deaths = deaths(&hosts);
    let mut detections = Vec::new();
    for _ in 0..KILLS_PER_SIZE {
        let victim = hosts.remove(hosts.len() / 2);
        victim.kill();
        let killed = Instant::now();
        let wanted = hosts.len();
        while hosts.iter().any(|host| host.sees() > wanted) && killed.elapsed() < DETECTION_LIMIT {
            tokio::time::sleep(POLL).await;
        }
        detections.push(killed.elapsed());
    }
    Ok(SizeFigures {
        nodes,
        bytes_per_second,
        cpu_percent,
        memory_mb,
        detections,
        false_deaths,
    })
}

/// Seconds of processor time that this process has used.
fn cpu_seconds() -> f64 {
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |place: usize| -> f64 {
        let field = fields.get(place);
        field.and_then(|text| text.parse().ok()).unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Resident memory of this process in megabytes.
fn resident_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    kilobytes.unwrap_or(0.0) / 1024.0
}

struct ProcessFigures {
    detections: Vec<Duration>,
    false_deaths: u64,
}

/// Kills and pauses hosts that are processes of their own.
async fn measure_processes(options: &BenchOptions) -> Result<ProcessFigures, String> {
    let mut fleet = BenchFleet::start(FleetPlan::new(options).with_size(9, 2)).await?;
    let client = HttpClient::new();
    wait_for_lists(&fleet, &client, fleet.hosts.len()).await;
    for round in 0..PAUSES {
        fleet.hosts[round % 9].pause();
        tokio::time::sleep(PAUSE).await;
        fleet.hosts[round % 9].resume();
        tokio::time::sleep(PAUSE_GAP).await;
    }
    let mut false_deaths = 0;
    for host in fleet.addresses() {
        false_deaths += death_count(&client, host).await?;
    }
    let mut detections = Vec::new();
    for round in 0..PROCESS_KILLS {
        let number = (round * 4 + 1) % 9;
        fleet.hosts[number].kill().await;
        detections.push(wait_for_lists(&fleet, &client, 8).await);
        fleet.restart(number).await?;
        wait_for_lists(&fleet, &client, 9).await;
    }
    Ok(ProcessFigures {
        detections,
        false_deaths,
    })
}

/// Waits until every host lists `count` hosts, and returns how long that took.
async fn wait_for_lists(fleet: &BenchFleet, client: &HttpClient, count: usize) -> Duration {
    let started = Instant::now();
    while started.elapsed() < DETECTION_LIMIT {
        let lists = fleet
            .addresses()
            .into_iter()
            .map(|host| listed(client, host));
        let lists = futures_util::future::join_all(lists).await;
        if lists.iter().all(|length| *length == count) {
            break;
        }
        tokio::time::sleep(POLL).await;
    }
    started.elapsed()
}

async fn listed(client: &HttpClient, host: SocketAddr) -> usize {
    let url = format!("http://{host}/v1/entries");
    let Ok((_, body)) = client.call(Method::GET, &url, bytes::Bytes::new()).await else {
        return 0;
    };
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    body["data"].as_array().map_or(0, Vec::len)
}

async fn death_count(client: &HttpClient, host: SocketAddr) -> Result<u64, String> {
    let (status, value) = super::operator_call(client, Method::GET, host, "counters", None).await?;
    match status.is_success() {
        true => Ok(value["event.host_dead"].as_u64().unwrap_or(0)),
        false => Err(format!("{host} answered {status}")),
    }
}
