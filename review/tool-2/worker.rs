//! Stand-in of a worker: streams events, one after a pause each, until its caller leaves.

use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

/// Time for which a sound worker may fall silent.
const SILENCE: Duration = Duration::from_millis(1_000);
/// Requests that wait beside those that run.
const QUEUE: usize = 24;

/// Part of a prompt whose answer takes `LONG_EVENTS` events.
pub const LONG_PART: &str = "10c600";
/// Part of a prompt that a worker answers with 500, after a time that depends on the request's last digits.
pub const FAILING_PART: &str = "bad001";

const LONG_EVENTS: u64 = 230;
const FIRST_FAILING_TIME: Duration = Duration::from_millis(300);
const FAILING_STEP: Duration = Duration::from_millis(30);

/// One run of a request at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    pub worker: String,
    pub id: String,
    /// Path and query.
    pub target: String,
    pub last_event_id: Option<u64>,
    pub began_ms: u64,
    pub events: u64,
    pub is_whole: bool,
    /// Whether it was answered 500.
    pub has_failed: bool,
}

/// What all workers of a case ran.
#[derive(Clone)]
pub struct Runs {
    pub record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Runs {
    pub fn new(record: Record) -> Self {
        Self {
            record,
            runs: Arc::default(),
        }
    }

    fn begin(&self, run: Run) -> usize {
        self.record.note(format!(
            "worker {} runs {} {} after {:?}",
            run.worker, run.id, run.target, run.last_event_id
        ));
        let mut runs = self.runs.lock().unwrap();
        runs.push(run);
        runs.len() - 1
    }

    fn progress(&self, index: usize, events: u64, is_whole: bool) {
        let mut runs = self.runs.lock().unwrap();
        runs[index].events = events;
        runs[index].is_whole = is_whole;
    }

    fn fail(&self, index: usize) {
        self.runs.lock().unwrap()[index].has_failed = true;
    }

    pub fn all(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Numbers of runs by the identifier of the request.
    pub fn counts(&self) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for run in self.all() {
            *counts.entry(run.id).or_default() += 1;
        }
        counts
    }
}

#[derive(Clone, Debug)]
pub struct WorkerConfig {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Version of the software.
    pub version: String,
    pub slots: usize,
    /// Events of an answer.
    pub events: u64,
    pub pause: Duration,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Event before which the worker falls silent for a second; `None` if it doesn't.
    pub silent_before: Option<u64>,
}

/// A running worker process.
pub struct Worker {
    pub config: WorkerConfig,
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    config: WorkerConfig,
    runs: Runs,
    is_down: AtomicBool,
    running: AtomicUsize,
    connections: Mutex<HashMap<u64, TcpStream>>,
    next_connection: AtomicU64,
}

impl Worker {
    /// Starts a worker on `address`; port 0 stands for any free port.
    pub fn start(config: WorkerConfig, address: SocketAddr, runs: Runs) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(Shared {
            config: config.clone(),
            runs,
            is_down: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            connections: Mutex::default(),
            next_connection: AtomicU64::new(0),
        });
        let serving = shared.clone();
        std::thread::spawn(move || {
            // The listener closes with the process that the worker stands for.
            while !serving.is_down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => serving.clone().take(stream),
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Ok(Self {
            config,
            address,
            shared,
        })
    }

    /// Entry in the platform's store.
    pub fn entry(&self, sequence: u64) -> String {
        let config = &self.config;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            config.service, self.address, config.zone, config.version, config.slots, config.born
        )
    }

    /// Ends the process at once, as SIGKILL does: all connections close.
    pub fn kill(&self) {
        self.shared.crash();
    }
}

impl Shared {
    fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        self.runs
            .record
            .note(format!("worker {} ends", self.config.id));
        for (_, connection) in self.connections.lock().unwrap().drain() {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    fn take(self: Arc<Self>, stream: TcpStream) {
        let number = self.next_connection.fetch_add(1, Ordering::SeqCst);
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        if let Ok(clone) = stream.try_clone() {
            self.connections.lock().unwrap().insert(number, clone);
        }
        std::thread::spawn(move || {
            let _ = self.serve(stream);
            self.connections.lock().unwrap().remove(&number);
        });
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            let _body = http::read_body(&mut reader, &head)?;
            if self.is_down.load(Ordering::SeqCst) {
                return Ok(());
            }
            if head.path() == "/report" {
                let report = format!(
                    "{{\"stage\":\"hybrid\",\"models\":[],\"busy\":false,\"sequence\":1,\"queued\":0,\
                     \"active\":0,\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0,\"born\":{}}}",
                    self.config.born
                );
                let json = [("Content-Type", "application/json")];
                writer.write_all(&http::answer_bytes("200 OK", &json, report.as_bytes()))?;
                continue;
            }
            let id = head.header("attempt-id").unwrap_or_default().to_owned();
            let echo = ("Attempt-Id", id.as_str());
            if head
                .header("target-instance")
                .is_some_and(|named| named != self.config.id)
            {
                writer.write_all(&http::answer_bytes("421 Misdirected Request", &[echo], b""))?;
                continue;
            }
            let running = self.running.fetch_add(1, Ordering::SeqCst);
            let outcome = match running < self.config.slots + QUEUE {
                true => self.run(&head, &id, &mut writer),
                false => {
                    let headers = [echo, ("Not-Executed", "1")];
                    writer.write_all(&http::answer_bytes(
                        "503 Service Unavailable",
                        &headers,
                        b"",
                    ))
                }
            };
            self.running.fetch_sub(1, Ordering::SeqCst);
            outcome?;
        }
        Ok(())
    }

    fn fail(&self, index: usize, id: &str, writer: &mut TcpStream) -> std::io::Result<()> {
        let number = id
            .get(id.len().saturating_sub(3)..)
            .and_then(|digits| digits.parse().ok());
        let number: u64 = number.unwrap_or(0);
        let until = Instant::now() + FIRST_FAILING_TIME + FAILING_STEP * number as u32;
        while Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
            if is_closed(writer) {
                self.runs.record.note(format!(
                    "worker {} stops {id}, as its caller left",
                    self.config.id
                ));
                return Err(std::io::ErrorKind::BrokenPipe.into());
            }
        }
        let seal = format!("seal-of-{}", self.config.id);
        let headers = [("Attempt-Id", id), ("Response-Seal", seal.as_str())];
        writer.write_all(&http::answer_bytes(
            "500 Internal Server Error",
            &headers,
            b"",
        ))?;
        self.runs.fail(index);
        self.runs
            .record
            .note(format!("worker {} answers {id} with 500", self.config.id));
        Ok(())
    }

    fn run(&self, head: &http::Head, id: &str, writer: &mut TcpStream) -> std::io::Result<()> {
        let last = head
            .header("last-event-id")
            .and_then(|last| last.parse().ok());
        let prompt = head.header("prompt-prefix").unwrap_or_default();
        let is_long = prompt.contains(LONG_PART);
        let index = self.runs.begin(Run {
            worker: self.config.id.clone(),
            id: id.to_owned(),
            target: head.target().to_owned(),
            last_event_id: last,
            began_ms: self.runs.record.now_ms(),
            events: 0,
            is_whole: false,
            has_failed: false,
        });
        if prompt.contains(FAILING_PART) {
            return self.fail(index, id, writer);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nResponse-Seal: seal-of-{}\r\nWeight-Versions: 1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.config.id
        );
        writer.write_all(head.as_bytes())?;
        let mut events = 0;
        let all = match is_long {
            true => LONG_EVENTS,
            false => self.config.events,
        };
        for number in last.unwrap_or(0) + 1..=all {
            std::thread::sleep(self.config.pause);
            if self.config.silent_before == Some(number) {
                std::thread::sleep(SILENCE);
            }
            if self.is_down.load(Ordering::SeqCst) || is_closed(writer) {
                self.runs.record.note(format!(
                    "worker {} stops {id} before event {number}",
                    self.config.id
                ));
                return Err(std::io::ErrorKind::BrokenPipe.into());
            }
            // The text names the version, so that a reader sees who wrote it.
            let event = format!(
                "id: {number}\ndata: {} piece {number}\n\n",
                self.config.version
            );
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            writer.write_all(chunk.as_bytes())?;
            events += 1;
            self.runs.progress(index, events, false);
        }
        writer.write_all(b"0\r\n\r\n")?;
        self.runs.progress(index, events, true);
        self.runs
            .record
            .note(format!("worker {} has run {id}", self.config.id));
        Ok(())
    }
}

/// Whether the caller has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(err) => err.kind() != std::io::ErrorKind::WouldBlock,
    }
}
