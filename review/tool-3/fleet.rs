//! Front processes of the project, with settings like those of a small deployment.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::store::Store;

pub const HOST: &str = "nony24.example";
const CALLERS: u16 = 8161;
const READY: u16 = 8167;
const DIRECTORY: u16 = 8164;
const PEERS: u16 = 7720;
const METRICS: u16 = 9464;

/// A process; it is killed when this is dropped.
pub struct Front {
    pub name: String,
    ip: String,
    settings: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

impl Front {
    pub fn callers(&self) -> SocketAddr {
        self.address(CALLERS)
    }

    fn address(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip).parse().expect("address")
    }

    /// Starts the process with the command of the deploy file.
    pub fn spawn(&mut self) -> std::io::Result<()> {
        let log = File::options();
        let log = log
            .clone()
            .create(true)
            .append(true)
            .open(self.folder.join(&self.name))?;
        let child = Command::new("target/release/parsleywall")
            .args(["platform", "front", "--metrics", &METRICS.to_string()])
            .env("PARSLEYWALL_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal, named as for `kill`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            // The shell's own command, as a machine may lack the program.
            let kill = format!("kill {name} {}", child.id());
            let _ = Command::new("sh").args(["-c", &kill]).status();
        }
    }

    /// Waits for the end of the process; kills it after `limit`.
    pub fn wait(&mut self, limit: Duration) {
        let until = Instant::now() + limit;
        if let Some(mut child) = self.child.take() {
            while Instant::now() < until {
                if matches!(child.try_wait(), Ok(Some(_))) {
                    return;
                }
                thread::sleep(Duration::from_millis(10));
            }
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn is_ready(&self) -> bool {
        let limit = Duration::from_secs(1);
        let answer = http::call(
            self.address(READY),
            "GET /readiness",
            "Host: ready\r\n",
            "",
            limit,
        );
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Number of fronts that the directory of this one names.
    pub fn resolved(&self) -> usize {
        let line = format!("GET /resolve?name={HOST}&region=jm-west&zone=jm-west-a");
        let limit = Duration::from_secs(1);
        let answer = http::call(
            self.address(DIRECTORY),
            &line,
            "Host: directory\r\n",
            "",
            limit,
        );
        let body = answer.map(|answer| answer.body).unwrap_or_default();
        String::from_utf8_lossy(&body).matches(":8161").count()
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The first three bytes of loopback addresses of which the last ones 1 to `count` are free.
pub fn free_network(count: usize) -> Option<String> {
    let first = std::process::id() as usize;
    (0..200).find_map(|offset| {
        let number = first + offset * 7;
        let network = format!("127.{}.{}", 90 + number % 100, 1 + number / 100 % 250);
        let ports = [CALLERS, READY, DIRECTORY, PEERS, METRICS];
        let is_free = (1..=count).all(|host| {
            let address = |port| format!("{network}.{host}:{port}");
            ports
                .iter()
                .all(|port| TcpListener::bind(address(port)).is_ok())
        });
        is_free.then_some(network)
    })
}

/// Starts `count` fronts, and waits until each is ready and knows all.
pub fn start(network: &str, count: usize, store: &Store, folder: &Path) -> Option<Vec<Front>> {
    let mut fronts = Vec::new();
    for number in 1..=count {
        let name = format!("front-jm-west-a-{number}");
        let ip = format!("{network}.{number}");
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, settings_text(&name, &ip, store.address)).ok()?;
        let mut front = Front {
            name,
            ip,
            settings,
            folder: folder.to_owned(),
            child: None,
        };
        front.spawn().ok()?;
        fronts.push(front);
    }
    let until = Instant::now() + Duration::from_secs(20);
    while !fronts
        .iter()
        .all(|front| front.is_ready() && front.resolved() == count)
    {
        if Instant::now() >= until {
            return None;
        }
        thread::sleep(Duration::from_millis(100));
    }
    Some(fronts)
}

fn settings_text(name: &str, ip: &str, store: SocketAddr) -> String {
    format!(
        r#"node = "{name}"
role = "front"
machineClass = "front"
serves = ["front","directory"]
ip = "{ip}"
zone = "jm-west-a"
region = "jm-west"
portRange = [{PEERS},7735]
seeds = []
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","recover","batch","stream","engine","platform"]
[zones]
jm-west-a = "jm-west"
[listen]
front = "{ip}:{CALLERS}"
readyAddr = "{ip}:{READY}"
directory = "{ip}:{DIRECTORY}"
[limits]
cpuShare = 0.25
cpuCores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableMs = 3000
ackMs = 4000
catchUpS = 4.7
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
revertMs = 250
skewMaxMs = 5000
recoveryS = 12
passMs = 120
retryS = 0
finishS = 18
statusS = 120
cancelMs = 3000
settleMs = 1000
quotaExcess = 0.1
ttl_max_s = 5
[provider]
address = "{store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"#
    )
}
