//! The processes of a small deployment: fronts and the store's stand-in, on loopback addresses.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Error;
use std::io::Result;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::json::Json;
use crate::json::quoted;
use crate::record::Record;
use crate::sys;
use crate::worker::Worker;

pub const HOST: &str = "desk.example";
const CALLER_PORT: u16 = 8161;
const DIRECTORY_PORT: u16 = 8164;
const READY_PORT: u16 = 8167;
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time within which fronts must become ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// A child process that is killed when it is dropped.
pub struct Process {
    child: Option<Child>,
}

impl Process {
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            sys::signal(child.id(), signal);
        }
    }

    pub fn has_ended(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            sys::signal(child.id(), sys::SIGCONT);
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Front {
    pub ip: IpAddr,
    pub process: Process,
}

impl Front {
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLER_PORT)
    }
}

pub struct Fleet {
    program: PathBuf,
    folder: PathBuf,
    /// Second and third byte of the addresses.
    network: [u8; 2],
    pub store: Process,
    pub store_address: SocketAddr,
    pub fronts: Vec<Front>,
    pub record: Record,
}

/// How the store's stand-in behaves.
#[derive(Clone, Copy)]
pub struct StoreConfig {
    /// Length of its queue of new connections.
    pub backlog: i32,
    /// Age of its stale reads.
    pub stale_ms: u64,
}

impl Default for StoreConfig {
    fn default() -> Self {
        Self {
            backlog: 128,
            stale_ms: 0,
        }
    }
}

impl Fleet {
    /// Starts a store and no fronts. Files go to a folder of this process.
    pub fn start(record: Record, store: StoreConfig) -> Result<Self> {
        let program = PathBuf::from("target/release/parsleywall");
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("parsleywall-review-{pid}"));
        std::fs::create_dir_all(&folder)?;
        let network = free_network(pid)?;
        let ip = IpAddr::V4(Ipv4Addr::new(127, network[0], network[1], 200));
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["store", &format!("{ip}:0")]);
        command.args([store.backlog.to_string(), store.stale_ms.to_string()]);
        let mut child = command.stdout(Stdio::piped()).spawn()?;
        let output = child
            .stdout
            .take()
            .ok_or_else(|| Error::other("no output"))?;
        let mut line = String::new();
        BufReader::new(output).read_line(&mut line)?;
        let store_address = line.trim().parse().map_err(Error::other)?;
        let store = Process { child: Some(child) };
        Ok(Self {
            program,
            folder,
            network,
            store,
            store_address,
            fronts: Vec::new(),
            record,
        })
    }

    pub fn ip(&self, number: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(
            127,
            self.network[0],
            self.network[1],
            number as u8 + 1,
        ))
    }

    /// Address on which workers listen, with any free port.
    pub fn worker_address(&self) -> SocketAddr {
        SocketAddr::new(self.ip(99), 0)
    }

    /// Starts the process of a new front.
    pub fn add_front(&mut self) -> Result<usize> {
        let number = self.fronts.len();
        let ip = self.ip(number);
        let name = format!("front-west-{number}");
        let process = self.spawn_front(&name, ip)?;
        self.fronts.push(Front { ip, process });
        Ok(number)
    }

    fn spawn_front(&self, name: &str, ip: IpAddr) -> Result<Process> {
        let file = self.folder.join(format!("{name}.toml"));
        std::fs::write(&file, settings(name, ip, self.store_address))?;
        let log = self.folder.join(format!("{name}.log"));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(log)?;
        let child = Command::new(&self.program)
            .args(["platform", "front", "--metrics", "9464"])
            .env("PARSLEYWALL_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Process { child: Some(child) })
    }

    /// Tells a front to end.
    pub fn stop_front(&self, number: usize) {
        self.fronts[number].process.signal(sys::SIGTERM);
    }

    /// Starts a front again if its process has ended; returns whether it had.
    pub fn start_ended_front(&mut self, number: usize) -> Result<bool> {
        if !self.fronts[number].process.has_ended() {
            return Ok(false);
        }
        let ip = self.fronts[number].ip;
        let name = format!("front-west-{number}");
        self.fronts[number].process = self.spawn_front(&name, ip)?;
        Ok(true)
    }

    /// Waits until fronts are ready and the directory of each lists `count` fronts.
    pub fn await_ready(&self, numbers: &[usize], count: usize) -> Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        while !numbers.iter().all(|number| self.is_ready(*number, count)) {
            if Instant::now() >= until {
                return Err(Error::other("the fronts don't become ready"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    fn is_ready(&self, number: usize, count: usize) -> bool {
        let ip = self.fronts[number].ip;
        let get = |port: u16, line: &str| {
            let to = SocketAddr::new(ip, port);
            http::call(to, line, &[], b"", Duration::from_millis(500))
        };
        let ready = get(READY_PORT, "GET /readiness");
        let listed = get(
            DIRECTORY_PORT,
            "GET /resolve?name=desk.example&region=r&zone=west",
        );
        ready.is_ok_and(|answer| answer.status() == 200)
            && listed.is_ok_and(|answer| answer.text().matches(":8161").count() >= count)
    }

    /// Writes a key as the operator or a worker.
    pub fn put(&self, key: &str, value: &str) -> Result<()> {
        let value = base64(value.as_bytes());
        let key = quoted(key);
        let puts = format!("{{\"key\":{key},\"value\":\"{value}\",\"lease\":0}}");
        self.transact(&format!(
            "{{\"expected\":[],\"puts\":[{puts}],\"remove\":[]}}"
        ))
    }

    fn transact(&self, body: &str) -> Result<()> {
        let store = self.store_address;
        let answer = http::call(store, "POST /kv-txn", &[], body.as_bytes(), CALL_TIMEOUT)?;
        match answer.status() {
            200 => Ok(()),
            status => Err(Error::other(format!("the store answers {status}"))),
        }
    }

    /// Value of a key; `None` without one.
    pub fn get(&self, key: &str) -> Result<Option<String>> {
        let line = format!("GET /kv-key?key={key}");
        let answer = http::call(self.store_address, &line, &[], b"", CALL_TIMEOUT)?;
        let item = Json::parse(&answer.text()).unwrap_or(Json::Null);
        let value = item.get("value").text();
        Ok(value.map(|value| String::from_utf8_lossy(&from_base64(value)).into_owned()))
    }

    pub fn put_manifest(&self, manifest: &str) -> Result<()> {
        self.put("op/config", manifest)?;
        self.record
            .note(format!("operator: manifest {manifest} is acknowledged"));
        Ok(())
    }

    pub fn list_worker(&self, worker: &Worker, sequence: u64) -> Result<()> {
        self.record
            .note(format!("worker {} writes its entry", worker.config.id));
        self.put(
            &format!("servers/{}", worker.config.id),
            &worker.entry(sequence),
        )
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for front in &mut self.fronts {
            front.process.kill();
        }
        self.store.kill();
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => eprintln!("logs: {}", self.folder.display()),
            None => drop(std::fs::remove_dir_all(&self.folder)),
        }
    }
}

/// Two bytes of loopback addresses on which the ports of fronts are free.
fn free_network(pid: u32) -> Result<[u8; 2]> {
    (0..50)
        .map(|step| {
            let draw = pid.wrapping_mul(31).wrapping_add(step * 7);
            [100 + (draw / 200 % 100) as u8, (draw % 200) as u8 + 20]
        })
        .find(|[second, third]| {
            let ip = Ipv4Addr::new(127, *second, *third, 1);
            [CALLER_PORT, DIRECTORY_PORT, READY_PORT, 7720, 9464]
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        })
        .ok_or_else(|| Error::other("no free addresses"))
}

fn settings(name: &str, ip: IpAddr, store: SocketAddr) -> String {
    format!(
        "node = \"{name}\"\nrole = \"front\"\nmachineClass = \"front\"\n\
         serves = [\"front\",\"directory\"]\nip = \"{ip}\"\nzone = \"west\"\nregion = \"coast\"\n\
         portRange = [7720,7735]\nseeds = []\nbootstrap = true\ncountsAsLoss = false\n\
         discovery = \"platform\"\nentry = \"directory\"\nheartbeatMs = 1200\n\
         [zones]\nwest = \"coast\"\n\
         [listen]\nfront = \"{ip}:{CALLER_PORT}\"\nreadyAddr = \"{ip}:{READY_PORT}\"\n\
         directory = \"{ip}:{DIRECTORY_PORT}\"\n\
         [limits]\ncpuShare = 0.25\ncpuCores = 1\nmemoryMb = 260\nmaxFds = 4100\n\
         linkMbps = 1000.0\ndiskMb = 0\n\
         [tolerate]\nmachines = 1\nzones = 0\nregions = 0\n\
         [bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableMs = 3000\nackMs = 4000\ncatchUpS = 4.5\n\
         drainMs = 2000\ngraceS = 8\nlossSlackMs = 200\nconfigMs = 2000\nrevertMs = 250\n\
         skewMaxMs = 5000\nrecoveryS = 12\npassMs = 120\nretryS = 0\nfinishS = 18\nstatusS = 120\n\
         cancelMs = 3000\nsettleMs = 1000\nquotaExcess = 0.1\nttl_max_s = 5\n\
         [provider]\naddress = \"{store}\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\n\
         historyS = 20\nvalueBytes = 1048576\nttlMinMs = 1000\n"
    )
}

/// A manifest of `version` with these routes, all to the service `desk`: name, prefix, kind, and whether
/// streams may be resumed.
pub fn manifest(version: u64, routes: &[(&str, &str, &str, bool)]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, prefix, kind, resumable)| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
                 \"service\":\"desk\",\"timeoutMs\":5000,\"sloMs\":300,\"priority\":0,\"attempts\":3,\
                 \"sticky\":true,\"resumable\":{resumable},\"gapSloMs\":300,\"runSloMs\":18000,\
                 \"retentionS\":60}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\
         \"healthPath\":\"/health\",\"maxConns\":310}}],\"limits\":{{\"headerBytes\":16384,\
         \"bodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000}}}}",
        routes.join(",")
    )
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => out.push(DIGITS[(word >> (18 - 6 * digit) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}

/// Decodes what `base64` encodes.
pub fn from_base64(text: &str) -> Vec<u8> {
    let digits = text.bytes().filter_map(|digit| match digit {
        b'A'..=b'Z' => Some(digit - b'A'),
        b'a'..=b'z' => Some(digit - b'a' + 26),
        b'0'..=b'9' => Some(digit - b'0' + 52),
        b'+' => Some(62),
        b'/' => Some(63),
        _ => None,
    });
    let digits: Vec<u8> = digits.collect();
    let mut out = Vec::new();
    for chunk in digits.chunks(4) {
        let mut word: u32 = 0;
        for place in 0..4 {
            word = word << 6 | u32::from(chunk.get(place).copied().unwrap_or(0));
        }
        out.extend(&word.to_be_bytes()[1..chunk.len()]);
    }
    out
}
