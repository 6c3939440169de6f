//! Fronts as separate processes on loopback addresses, beside the project's stand-in of the
//! platform's store.

use std::fs::File;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use parsleywall::edges::kv::Expect;
use parsleywall::edges::kv::KvStore;
use parsleywall_standins::kv::KvMemory;
use parsleywall_standins::platform_store::serve_platform_store;
use parsleywall_standins::server::StandinServer;
use serde_json::Value;
use tokio::process::Child;
use tokio::process::Command;
use tokio::time::Instant;

use crate::client;

const CALLER_PORT: u16 = 8161;
const DIRECTORY_PORT: u16 = 8164;
const READY_PORT: u16 = 8167;
const START_TIMEOUT: Duration = Duration::from_secs(12);

/// Error of a case that could not run.
pub type CaseError = Box<dyn std::error::Error + Send + Sync>;

/// What was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    pub fn write(&self, line: impl AsRef<str>) {
        let line = format!("{:8.3} {}", self.seconds(), line.as_ref());
        println!("{line}");
        let mut file = self.file.lock().expect("record lock");
        let _ = writeln!(file, "{line}");
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }
}

/// One front process. Dropping it kills the process.
pub struct Front {
    pub ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Front {
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT)
    }

    pub fn readiness(&self) -> SocketAddr {
        SocketAddr::new(self.ip, READY_PORT)
    }

    pub fn spawn(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new("target/release/parsleywall")
            .args(["platform", "front", "--metrics", "9464"])
            .env("PARSLEYWALL_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Ends the process by SIGKILL and waits for its end.
    pub async fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill().await;
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => !matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }
}

/// The store, the fronts and their files.
pub struct Fleet {
    pub kv: Arc<KvMemory>,
    pub fronts: Vec<Front>,
    pub record: Record,
    folder: PathBuf,
    store: StandinServer,
}

impl Fleet {
    /// Starts the store with `manifest` and the workers' `entries`, and `count` fronts, and waits until
    /// these are ready.
    pub async fn start(
        record: Record,
        count: usize,
        manifest: &Value,
        entries: &[(String, Value)],
    ) -> Result<Self, CaseError> {
        let kv = KvMemory::new();
        let store = serve_platform_store(kv.clone()).await?;
        let folder =
            std::env::temp_dir().join(format!("parsleywall-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut fleet = Self {
            kv,
            fronts: Vec::new(),
            record,
            folder,
            store,
        };
        fleet.put("op/config", manifest).await?;
        for (id, entry) in entries {
            fleet.put(&format!("servers/{id}"), entry).await?;
        }
        for _ in 0..count {
            fleet.add_front()?;
        }
        for number in 0..count {
            fleet.await_ready(number).await?;
        }
        // The fronts also have to learn of one another.
        tokio::time::sleep(Duration::from_secs(2)).await;
        fleet.record.write("all fronts are ready");
        Ok(fleet)
    }

    fn add_front(&mut self) -> Result<(), CaseError> {
        let number = self.fronts.len();
        let pid = std::process::id();
        let ip = IpAddr::from([127, (pid >> 8) as u8 | 64, pid as u8, number as u8 + 1]);
        let settings = self.folder.join(format!("front-{number}.toml"));
        std::fs::write(&settings, node_file(number, ip, self.store.address()))?;
        let mut front = Front {
            ip,
            settings,
            log: self.folder.join(format!("front-{number}.log")),
            child: None,
        };
        front.spawn()?;
        self.fronts.push(front);
        Ok(())
    }

    /// Writes `value` to the store, which acknowledges it by returning.
    pub async fn put(&self, key: &str, value: &Value) -> Result<(), CaseError> {
        Self::put_into(&self.kv, key, value).await
    }

    /// Writes `value` to the store `kv`.
    pub async fn put_into(kv: &KvMemory, key: &str, value: &Value) -> Result<(), CaseError> {
        let bytes = Bytes::from(value.to_string());
        let put = kv.put(key, bytes, Expect::Any, None).await;
        put.map(|_| ()).map_err(|err| err.to_string().into())
    }

    /// Removes the entry of a worker from the store, as the platform does after its silence.
    pub async fn remove_entry(&self, id: &str) -> Result<(), CaseError> {
        let key = format!("servers/{id}");
        let removed = self.kv.delete(&key, Expect::Any).await;
        removed.map_err(|err| err.to_string().into())
    }

    /// Waits until a front is ready.
    async fn await_ready(&self, number: usize) -> Result<(), CaseError> {
        let until = Instant::now() + START_TIMEOUT;
        let request = "GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        loop {
            let answer = client::send(self.fronts[number].readiness(), request.as_bytes()).await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return Ok(());
            }
            if Instant::now() > until {
                return Err("a front did not become ready".into());
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Ends all processes. The temporary files go with the fleet.
    pub async fn stop(&mut self) -> Result<(), CaseError> {
        let ended = self.fronts.iter_mut().any(Front::has_ended);
        for front in &mut self.fronts {
            front.kill().await;
        }
        match ended {
            true => Err("a front has ended by itself".into()),
            false => Ok(()),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn node_file(number: usize, ip: IpAddr, store: SocketAddr) -> String {
    format!(
        "node = \"front-west-{number}\"\nrole = \"front\"\nmachineClass = \"front\"\n\
         serves = [\"front\",\"directory\"]\nip = \"{ip}\"\nzone = \"west\"\nregion = \"west\"\n\
         portRange = [7720,7735]\nseeds = []\nbootstrap = true\ncountsAsLoss = false\n\
         discovery = \"platform\"\nentry = \"directory\"\nheartbeatMs = 1200\n\
         contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\",\"engine\",\"platform\"]\n\
         [zones]\nwest = \"west\"\neast = \"west\"\n\
         [listen]\nfront = \"{ip}:{CALLER_PORT}\"\nreadyAddr = \"{ip}:{READY_PORT}\"\n\
         directory = \"{ip}:{DIRECTORY_PORT}\"\n\
         [limits]\ncpuShare = 0.25\ncpuCores = 1\nmemoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n\
         [tolerate]\nmachines = 1\nzones = 0\nregions = 0\n\
         [bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableMs = 3000\nackMs = 4000\ncatchUpS = 4.5\n\
         drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigMs = 2000\nrevertMs = 250\nskewMaxMs = 5000\n\
         recoveryS = 12\npassMs = 120\nretryS = 0\nfinishS = 18\nstatusS = 120\ncancelMs = 3000\n\
         settleMs = 1000\nquotaExcess = 0.1\nttl_max_s = 5\n\
         [provider]\naddress = \"{store}\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n\
         valueBytes = 1048576\nttlMinMs = 1000\n"
    )
}
