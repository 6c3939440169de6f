//! The front processes under test, with proxies between each front and the store and its callers.

use std::fs::OpenOptions;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use parsleywall::edges::kv::Expect;
use parsleywall::edges::kv::KvStore;
use parsleywall_standins::kv::KvMemory;
use parsleywall_standins::platform_store::serve_platform_store_view;
use parsleywall_standins::server::StandinServer;
use rustix::process::Pid;
use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;
use tokio::process::Child;
use tokio::process::Command;
use tokio::sync::Mutex;
use tokio::time::Instant;

use crate::history::SoakHistory;
use crate::peer_link;
use crate::peer_link::PeerLink;
use crate::proxy::LinkProxy;
use crate::tenants;
use crate::worker_link::WorkerLinks;
use crate::workers::ANNEX;
use crate::workers::DESK;
use crate::workers::WorkerConfig;
use crate::workers::WorkerPool;

/// Value of the `Host` header for which all routes are configured.
pub const HOST: &str = "desk.example";
/// Time that a front has to stop after SIGTERM, before SIGKILL.
pub const STOP_GRACE: Duration = Duration::from_secs(8);
/// Port on which a front answers directory requests (`/resolve`).
const DIRECTORY_PORT: u16 = 8164;
const CALLER_PORT: u16 = 8161;
const READY_PORT: u16 = 8167;
/// Port on which a front serves the other fronts.
const PEER_PORT: u16 = 7720;
/// Time after its start from which a process handles signals.
const MIN_UPTIME_FOR_SIGNALS: Duration = Duration::from_millis(200);
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Size and location of a fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Number of front processes.
    pub fronts: usize,
    /// Number and size of the workers.
    pub workers: WorkerConfig,
    /// Milliseconds by which the time of day of each front is shifted, by number of the front; those
    /// that have none are right.
    pub clock_shifts_ms: Vec<i64>,
    /// Whether each front has proxies of its own to the workers, so that it can lose them alone.
    pub has_worker_links: bool,
    /// Binary that is run with the arguments `platform front`.
    pub binary: PathBuf,
    /// Folder for settings files and logs.
    pub out: PathBuf,
    /// Second and third byte of the loopback addresses of this run; runs at the same time need
    /// different ones.
    pub network: [u8; 2],
}

/// Environment variable that holds the milliseconds by which the time of day of a front is shifted.
pub const CLOCK_VARIABLE: &str = "SOAK_CLOCK_SHIFT_MS";

impl FleetConfig {
    fn ip(&self, number: usize) -> IpAddr {
        let [second, third] = self.network;
        IpAddr::from([127, second, third, number as u8 + 1])
    }
}

/// One front process under test. Dropping it kills the process.
pub struct SoakProcess {
    /// Name of its files.
    name: String,
    clock_shift_ms: i64,
    config: FleetConfig,
    child: Option<Child>,
    started: Instant,
}

impl SoakProcess {
    fn settings(&self) -> PathBuf {
        self.config.out.join(format!("{}.toml", self.name))
    }

    fn log(&self) -> PathBuf {
        self.config.out.join(format!("{}.log", self.name))
    }

    fn new(name: String, clock_shift_ms: i64, config: FleetConfig) -> Self {
        Self {
            name,
            clock_shift_ms,
            config,
            child: None,
            started: Instant::now(),
        }
    }

    /// Starts the process, which must not run.
    pub fn spawn(&mut self) -> std::io::Result<()> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log())?;
        let child = Command::new(&self.config.binary)
            .args(["platform", "front"])
            .env("PARSLEYWALL_NODE_FILE", self.settings())
            .env(CLOCK_VARIABLE, self.clock_shift_ms.to_string())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        self.started = Instant::now();
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(Child::id);
        if let Some(pid) = pid.and_then(|pid| Pid::from_raw(pid as i32)) {
            // The process may have exited meanwhile, which `exit_status` reports.
            let _ = rustix::process::kill_process(pid, signal);
        }
    }

    /// Kills the process (SIGKILL) and restarts it after a short delay.
    pub async fn kill_and_restart(&mut self) -> std::io::Result<()> {
        self.kill().await?;
        tokio::time::sleep(RESTART_DELAY).await;
        self.spawn()
    }

    /// Stops the process as [`SoakProcess::stop_and_restart`] does, and runs `binary` from then on.
    pub async fn replace_build(&mut self, binary: PathBuf) -> std::io::Result<()> {
        self.config.binary = binary;
        self.stop_and_restart().await
    }

    /// Stops the process (SIGTERM, and SIGKILL after [`STOP_GRACE`]) and restarts it after a short
    /// delay.
    pub async fn stop_and_restart(&mut self) -> std::io::Result<()> {
        self.stop().await?;
        tokio::time::sleep(RESTART_DELAY).await;
        self.spawn()
    }

    /// Restarts the process as [`SoakProcess::stop_and_restart`] does, with a time of day that is
    /// shifted by `shift_ms` from then on.
    pub async fn restart_with_clock(&mut self, shift_ms: i64) -> std::io::Result<()> {
        self.clock_shift_ms = shift_ms;
        self.stop_and_restart().await
    }

    /// Kills the process (SIGKILL), if it runs.
    pub async fn kill(&mut self) -> std::io::Result<()> {
        match self.child.take() {
            Some(mut child) => child.kill().await,
            None => Ok(()),
        }
    }

    /// Stops the process (SIGTERM, and SIGKILL after [`STOP_GRACE`]), if it runs.
    pub async fn stop(&mut self) -> std::io::Result<()> {
        self.signal(Signal::TERM);
        if let Some(mut child) = self.child.take() {
            let ended = tokio::time::timeout(STOP_GRACE, child.wait()).await;
            if ended.is_err() {
                child.kill().await?;
            }
        }
        Ok(())
    }

    /// Suspends the process for `time` (SIGSTOP, SIGCONT).
    pub async fn pause(&mut self, time: Duration) {
        self.suspend();
        tokio::time::sleep(time).await;
        self.resume();
    }

    /// Suspends the process (SIGSTOP).
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    /// Resumes the process (SIGCONT).
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Rewrites the settings file and makes the process reload it (SIGHUP).
    ///
    /// A process gets no signal in the first 200 ms after its start: until it has installed its
    /// handlers, SIGHUP would end it. It reads the changed file when it starts anyway.
    pub async fn reload(&mut self) -> std::io::Result<()> {
        tokio::time::sleep_until(self.started + MIN_UPTIME_FOR_SIGNALS).await;
        let text = std::fs::read_to_string(self.settings())?;
        std::fs::write(self.settings(), format!("{text}# changed\n"))?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// Exit status of the process if it has exited without being stopped by this handle.
    pub fn exit_status(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }
}

/// All front processes, stand-ins and proxies of a run. Dropping it kills every process.
pub struct SoakFleet {
    /// State of the platform's metadata store.
    pub kv: Arc<KvMemory>,
    /// The front processes by number.
    pub fronts: Vec<Mutex<SoakProcess>>,
    /// Proxies between each front and the store, by number of the front.
    pub store_links: Vec<LinkProxy>,
    /// Proxies between callers and each front, by number of the front.
    pub caller_links: Vec<LinkProxy>,
    /// Proxies between the other fronts and each front, by number of the front.
    pub peer_links: Vec<PeerLink>,
    /// Further processes that have the name of each front, by number of the front; one that ended counts
    /// a little longer.
    pub doubled: Vec<AtomicUsize>,
    /// The workers.
    pub workers: Arc<WorkerPool>,
    /// Proxies between each front and each worker, if there are some.
    pub worker_links: Option<Arc<WorkerLinks>>,
    config: FleetConfig,
    /// The store as each front sees it.
    _stores: Vec<StandinServer>,
}

impl SoakFleet {
    /// Writes the first manifest and starts all stand-ins, proxies and fronts.
    pub async fn start(config: FleetConfig, history: &SoakHistory) -> std::io::Result<Self> {
        std::fs::create_dir_all(&config.out)?;
        let kv = KvMemory::new();
        let platform_ip = config.ip(config.fronts);
        let mut peer_links = Vec::new();
        for number in 0..config.fronts {
            let front = SocketAddr::new(config.ip(number), PEER_PORT);
            peer_links.push((front, PeerLink::start(platform_ip, front).await?));
        }
        let links = peer_links.iter();
        let links = links.map(|(front, link)| (*front, link.address()));
        let view = peer_link::link_view(links.collect());
        let worker_links = config.has_worker_links;
        let worker_links = worker_links.then(|| WorkerLinks::new(platform_ip, config.fronts));
        let mut stores = Vec::new();
        for number in 0..config.fronts {
            let view = match &worker_links {
                Some(links) => links.view(number, view.clone()),
                None => view.clone(),
            };
            stores.push(serve_platform_store_view(kv.clone(), view).await?);
        }
        let pool = WorkerPool::start(
            platform_ip,
            kv.clone(),
            history.clone(),
            config.workers.clone(),
            worker_links.clone(),
        );
        let mut fleet = Self {
            workers: pool.await?,
            kv,
            fronts: Vec::new(),
            store_links: Vec::new(),
            caller_links: Vec::new(),
            doubled: (0..config.fronts).map(|_| AtomicUsize::new(0)).collect(),
            peer_links: peer_links.into_iter().map(|(_, link)| link).collect(),
            worker_links,
            config,
            _stores: stores,
        };
        fleet.put_manifest(&Manifest::new(1)).await;
        for number in 0..fleet.config.fronts {
            let ip = fleet.config.ip(number);
            let link = LinkProxy::start(platform_ip, fleet._stores[number].address()).await?;
            let callers = SocketAddr::new(ip, CALLER_PORT);
            let caller_link = LinkProxy::start(platform_ip, callers).await?;
            let shift_ms = fleet.config.clock_shifts_ms.get(number);
            let shift_ms = shift_ms.copied().unwrap_or(0);
            let name = format!("front-{number}");
            let mut process = SoakProcess::new(name, shift_ms, fleet.config.clone());
            let _ = std::fs::remove_file(process.log());
            std::fs::write(process.settings(), fleet.settings(number, ip, &link))?;
            process.spawn()?;
            fleet.store_links.push(link);
            fleet.caller_links.push(caller_link);
            fleet.fronts.push(Mutex::new(process));
        }
        Ok(fleet)
    }

    /// Returns a process, not started yet, with the name of front `number` in the fleet. The process
    /// serves the addresses of that front, or if `address` is given those of another machine that
    /// processes of the same `address` and of no other share.
    pub fn namesake(&self, number: usize, address: Option<usize>) -> std::io::Result<SoakProcess> {
        let suffix = address.map_or("same-address".to_owned(), |address| address.to_string());
        let name = format!("front-{number}-namesake-{suffix}");
        let process = SoakProcess::new(name, 0, self.config.clone());
        let ip = address.map_or(number, |address| self.config.fronts + 1 + address);
        let settings = self.settings(number, self.config.ip(ip), &self.store_links[number]);
        std::fs::write(process.settings(), settings)?;
        Ok(process)
    }

    /// Whether another process has the name of front `number`, so that either of them may end itself.
    pub fn is_doubled(&self, number: usize) -> bool {
        self.doubled[number].load(Ordering::Relaxed) > 0
    }

    /// Cuts front `number` off from the other fronts for good: their connections to it and the datagrams in
    /// both directions are lost. The connections that it opens itself are not.
    pub fn cut_off(&self, number: usize) {
        for (other, link) in self.peer_links.iter().enumerate() {
            match other == number {
                true => link.set_cut(true),
                false => link.lose_from(self.config.ip(number)),
            }
        }
    }

    fn settings(&self, number: usize, ip: IpAddr, store: &LinkProxy) -> String {
        format!(
            "node = \"front-{number}\"\nmachineClass = \"front\"\nip = \"{ip}\"\nzone = \"west\"\n\
             portRange = [{PEER_PORT},7735]\n\
             [listen]\nfront = \"{ip}:{CALLER_PORT}\"\nreadyAddr = \"{ip}:{READY_PORT}\"\n\
             directory = \"{ip}:{DIRECTORY_PORT}\"\n\
             [bounds]\ngraceS = {}\n[provider]\naddress = \"{}\"\n",
            STOP_GRACE.as_secs(),
            store.address(),
        )
    }

    /// Whether the manifest has tenants.
    pub fn has_tenants(&self) -> bool {
        self.config.workers.has_tenants
    }

    /// Writes `manifest`; returns whether the store acknowledged it.
    pub async fn put_manifest(&self, manifest: &Manifest) -> bool {
        let mut manifest = manifest.to_json();
        if self.has_tenants() {
            manifest["tenants"] = tenants::to_json();
        }
        let text = manifest.to_string();
        let put = self
            .kv
            .put("op/config", Bytes::from(text), Expect::Any, None);
        put.await.is_ok()
    }

    /// Address at which front `number` answers whether it is ready.
    pub fn readiness(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.config.ip(number), READY_PORT)
    }

    /// Address of the directory of front `number`.
    pub fn directory(&self, number: usize) -> SocketAddr {
        SocketAddr::new(self.config.ip(number), DIRECTORY_PORT)
    }

    /// Number of the front to whose IP address callers connect at `address`.
    pub fn front_at(&self, address: &str) -> Option<usize> {
        let address: SocketAddr = address.parse().ok()?;
        (0..self.config.fronts).find(|number| self.config.ip(*number) == address.ip())
    }
}

/// Path prefix of the route that manifests move between services.
pub const MOVED_PREFIX: &str = "/often/";

/// A version of the manifest.
#[derive(Clone, Debug)]
pub struct Manifest {
    /// Number of the version.
    pub version: u64,
    /// Prefixes of the routes that were added since the first version.
    pub added: Vec<String>,
    /// Service of the route [`MOVED_PREFIX`].
    pub service: &'static str,
}

impl Manifest {
    /// Returns a manifest with the routes of the first version.
    pub fn new(version: u64) -> Self {
        Self {
            version,
            added: Vec::new(),
            service: DESK,
        }
    }

    fn to_json(&self) -> Value {
        let mut routes = vec![
            route("/ask/", "stream", DESK),
            route("/once/", "non_idempotent", DESK),
            route(MOVED_PREFIX, "idempotent", self.service),
            route("/lot/", "batch", DESK),
        ];
        let added = self.added.iter();
        routes.extend(added.map(|prefix| route(prefix, "idempotent", DESK)));
        let services = [DESK, ANNEX]
            .map(|name| json!({ "name": name, "healthPath": "/health", "maxConns": 400 }));
        json!({
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "headerBytes": 16384, "bodyBytes": 200_000, "headerMs": 3000, "idleMs": 15_000
            }
        })
    }
}

fn route(prefix: &str, kind: &str, service: &str) -> Value {
    json!({
            "name": prefix, "host": HOST, "prefix": prefix, "kind": kind, "service": service,
            "timeoutMs": 5000, "sloMs": 300, "priority": 0, "attempts": 3, "sticky": true,
            "resumable": kind == "stream", "gapSloMs": 300, "runSloMs": 18_000, "retentionS": 120
    })
}
