//! Real entry host processes in front of a platform of stand-ins.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parsleywall::ids::DataCentre;
use parsleywall::terms::TermsDocument;
use parsleywall_standins::edges::PlatformPlan;
use parsleywall_standins::edges::PlatformStandins;
use parsleywall_standins::engine::EngineProfile;
use parsleywall_standins::fleet::wait_until_ready;
use rustix::process::Pid;
use rustix::process::Signal;
use tokio::process::Child;
use tokio::process::Command;

use crate::load::EntryPicker;
use crate::options::BenchOptions;
use crate::proc::ProcessUse;
use crate::profiles;

const PEER_SECRET: &str = "bench-secret-0123456789";
/// Ports below the range that the system hands out by itself.
const FIRST_PORT: u16 = 18_000;
const PORT_SPREAD: u32 = 12_000;
const SEED_COUNT: usize = 3;
const DRAIN_DEADLINE_SECONDS: &str = "10";
const SETTLE_TIME: Duration = Duration::from_millis(1500);

/// What a fleet consists of.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Number of entry hosts.
    pub hosts: usize,
    /// The stand-ins.
    pub platform: PlatformPlan,
    /// Terms in force from the start.
    pub terms: TermsDocument,
    /// How many of the hosts have a data folder.
    pub disk_hosts: usize,
    /// Further environment variables of each host.
    pub environment: Vec<(String, String)>,
    /// Binary of the hosts; this tool's own by default.
    pub binary: Option<PathBuf>,
    /// Folder for logs and data.
    pub out: PathBuf,
}

impl FleetPlan {
    /// Nine hosts before a dozen engines in three data centres, as at the co-operative.
    pub fn new(options: &BenchOptions) -> Self {
        let data_centres = ["north", "south", "east"].map(DataCentre::new);
        Self {
            hosts: 9,
            platform: PlatformPlan {
                engines: 12,
                profile: EngineProfile::accelerator(),
                data_centres: data_centres.to_vec(),
                ..PlatformPlan::default()
            },
            terms: profiles::terms(),
            disk_hosts: 0,
            environment: Vec::new(),
            binary: options.against.clone(),
            out: options.out.join("hosts"),
        }
    }

    /// Replaces the numbers of hosts and engines.
    pub fn with_size(mut self, hosts: usize, engines: usize) -> Self {
        self.hosts = hosts;
        self.platform.engines = engines;
        self
    }
}

/// One `serve` process. Dropping it kills the process.
pub struct HostProcess {
    /// Name of the host.
    pub name: String,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for other hosts.
    pub peer_address: SocketAddr,
    child: Option<Child>,
}

impl HostProcess {
    /// Process identifier while the process runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().and_then(Child::id)
    }

    fn signal(&self, signal: Signal) {
        send_signal(self.pid(), signal);
    }

    /// An action that lets this process go on later.
    pub fn resumer(&self) -> impl FnOnce() + Send + 'static {
        let pid = self.pid();
        move || send_signal(pid, Signal::CONT)
    }

    /// Stops the process without ending it (SIGSTOP).
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets a paused process go on (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Kills the process at once (SIGKILL).
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Asks the process to drain (SIGTERM) and returns whether it ended by itself in `limit`.
    pub async fn drain(&mut self, limit: Duration) -> bool {
        self.signal(Signal::TERM);
        let Some(mut child) = self.child.take() else {
            return true;
        };
        let ended = tokio::time::timeout(limit, child.wait()).await;
        matches!(ended, Ok(Ok(status)) if status.success())
    }
}

fn send_signal(pid: Option<u32>, signal: Signal) {
    if let Some(pid) = pid.and_then(|pid| Pid::from_raw(pid as i32)) {
        // The process may have ended meanwhile, which is what most signals are for.
        let _ = rustix::process::kill_process(pid, signal);
    }
}

/// Hosts and stand-ins of one run. Dropping it ends every process.
pub struct BenchFleet {
    /// The stand-ins, whose faults can be switched on.
    pub platform: PlatformStandins,
    /// The entry hosts by number.
    pub hosts: Vec<HostProcess>,
    plan: FleetPlan,
}

impl BenchFleet {
    /// Starts all stand-ins and hosts and waits until each host answers.
    pub async fn start(plan: FleetPlan) -> Result<Self, String> {
        std::fs::create_dir_all(&plan.out).map_err(|err| err.to_string())?;
        let platform = PlatformStandins::start(&plan.platform)
            .await
            .map_err(|err| err.to_string())?;
        platform.accept_terms(plan.terms.clone()).await?;
        let hosts = (0..plan.hosts).map(|number| HostProcess {
            name: format!("host-{number}"),
            data_centre: plan.platform.data_centres[number % plan.platform.data_centres.len()]
                .clone(),
            address: free_address(),
            peer_address: free_address(),
            child: None,
        });
        let mut fleet = Self {
            platform,
            hosts: hosts.collect(),
            plan,
        };
        for number in 0..fleet.hosts.len() {
            fleet.spawn(number)?;
        }
        for host in &fleet.hosts {
            wait_until_ready(host.address, profiles::DESK_KEY).await?;
        }
        tokio::time::sleep(SETTLE_TIME).await;
        Ok(fleet)
    }

    /// Starts the host with `number` anew, with its old addresses and no data.
    pub async fn restart(&mut self, number: usize) -> Result<(), String> {
        self.restart_without_wait(number).await?;
        wait_until_ready(self.hosts[number].address, profiles::DESK_KEY).await
    }

    /// Like [`Self::restart`], but returns before the host answers.
    pub async fn restart_without_wait(&mut self, number: usize) -> Result<(), String> {
        self.hosts[number].kill().await;
        let _ = std::fs::remove_dir_all(self.data_dir(number));
        self.spawn(number)
    }

    /// Addresses for callers of all hosts whose process runs.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let running = self.hosts.iter().filter(|host| host.child.is_some());
        running.map(|host| host.address).collect()
    }

    /// A picker that spreads callers over the hosts that the system names.
    pub fn picker(&self) -> Arc<EntryPicker> {
        EntryPicker::new(self.addresses(), true)
    }

    /// A picker that sends straight to the engines in turn.
    pub fn engine_picker(&self) -> Arc<EntryPicker> {
        EntryPicker::new(self.engine_addresses(), false)
    }

    /// Addresses of the engines.
    pub fn engine_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.platform.upstream_addresses();
        addresses.truncate(self.platform.engines.len());
        addresses
    }

    /// Calls that the key-value service has taken.
    pub fn kv_calls(&self) -> u64 {
        let calls = &self.platform.kv.calls;
        calls.reads.load(Ordering::Relaxed) + calls.writes.load(Ordering::Relaxed)
    }

    /// Reads, lists and watches that the key-value service has taken.
    pub fn kv_reads(&self) -> u64 {
        self.platform.kv.calls.reads.load(Ordering::Relaxed)
    }

    /// Bytes of all values in the key-value service.
    pub fn kv_bytes(&self) -> u64 {
        self.platform.kv.stored_bytes()
    }

    /// Resource use of all running hosts together.
    pub fn resources(&self) -> ProcessUse {
        let pids = self.hosts.iter().filter_map(HostProcess::pid);
        let uses = pids.filter_map(|pid| ProcessUse::read(pid).ok());
        uses.fold(ProcessUse::default(), |sum, next| ProcessUse {
            cpu: sum.cpu + next.cpu,
            memory: sum.memory + next.memory,
            bytes: sum.bytes + next.bytes,
        })
    }

    /// Data folder of the host with `number`.
    pub fn data_dir(&self, number: usize) -> PathBuf {
        self.plan.out.join(format!("data-{number}"))
    }

    fn spawn(&mut self, number: usize) -> Result<(), String> {
        let others = self.hosts.iter().enumerate();
        let seeds: Vec<String> = others
            .filter(|(other, _)| *other != number)
            .take(SEED_COUNT)
            .map(|(_, host)| host.peer_address.to_string())
            .collect();
        let host = &self.hosts[number];
        let own = std::env::current_exe().map_err(|err| err.to_string())?;
        let log = File::create(self.plan.out.join(format!("{}.log", host.name)))
            .map_err(|err| err.to_string())?;
        let mut command = Command::new(self.plan.binary.as_ref().unwrap_or(&own));
        command
            .args(["serve", "--log-level", "warn"])
            .args(["--host-name", &host.name])
            .args(["--data-centre", host.data_centre.as_str()])
            .args(["--listen", &host.address.to_string()])
            .args(["--peer-listen", &host.peer_address.to_string()])
            .args(["--seeds", &seeds.join(",")])
            .args(["--kv-url", &self.platform.kv_url])
            .args(["--host-list-url", &self.platform.list_url])
            .args(["--weight-store-url", &self.platform.weights_url])
            .args(["--peer-secret", PEER_SECRET])
            .args(["--drain-deadline", DRAIN_DEADLINE_SECONDS])
            .envs(self.plan.environment.iter().cloned())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true);
        if number < self.plan.disk_hosts {
            let dir = self.data_dir(number);
            std::fs::create_dir_all(&dir).map_err(|err| err.to_string())?;
            command.arg("--data-dir").arg(dir);
        }
        let child = command.spawn().map_err(|err| err.to_string())?;
        self.hosts[number].child = Some(child);
        Ok(())
    }
}

/// A loopback address whose port is free for TCP and UDP.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let step = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let offset = (std::process::id() * 61 + step) % PORT_SPREAD;
        let address = SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + offset as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
