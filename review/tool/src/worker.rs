//! A worker as the protocol describes it: serves one request at a time on a connection, up to `SLOTS` at
//! once on all, and answers with a stream of events or with what the case sets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::fleet::Record;

pub const SLOTS: usize = 8;
/// Bytes that are no event.
const GARBAGE: &str = "%%%%%%%%%%%%%%%%%%%%%%%%%%%%%%\n\n";
const GARBAGE_INTERVAL: Duration = Duration::from_millis(20);

/// A request as the worker got it.
#[derive(Clone, Debug)]
pub struct Received {
    pub line: String,
    pub id: String,
    pub target: Option<String>,
    pub last_event: Option<u64>,
}

/// What a worker does with one request.
#[derive(Clone, Copy, Debug)]
pub enum Act {
    /// Streams so many events, one each time.
    Stream { events: u64, interval: Duration },
    /// Works for this time, and answers with this status.
    Fail { status: u16, after: Duration },
    /// Streams so many events, and then bytes that are no events until the caller closes.
    Garble { events: u64, interval: Duration },
    /// As `Fail`, and sends the same answer again where the next one is expected.
    FailTwice { status: u16, after: Duration },
}

pub type Script = Arc<dyn Fn(&Received) -> Act + Send + Sync>;

/// A running worker.
pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: &'static str,
    pub version: &'static str,
    pub address: SocketAddr,
    tasks: Arc<Mutex<JoinSet<()>>>,
}

impl Worker {
    pub async fn start(
        id: &str,
        service: &str,
        record: Record,
        script: Script,
    ) -> std::io::Result<Self> {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_version("v1", id, service, address, record, script).await
    }

    /// Starts a worker with software of `version` at `address`. The data of its events names the version,
    /// unless it is v1.
    pub async fn start_version(
        version: &'static str,
        id: &str,
        service: &str,
        address: SocketAddr,
        record: Record,
        script: Script,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (name, service_name) = (id.to_owned(), service.to_owned());
        let connections = Arc::new(AtomicUsize::new(0));
        let tasks: Arc<Mutex<JoinSet<()>>> = Arc::default();
        let served_tasks = tasks.clone();
        tasks.lock().expect("tasks lock").spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = connections.fetch_add(1, Ordering::Relaxed);
                let served = Served {
                    name: name.clone(),
                    service: service_name.clone(),
                    number,
                    version,
                    record: record.clone(),
                    script: script.clone(),
                };
                let mut tasks = served_tasks.lock().expect("tasks lock");
                tasks.spawn(async move { served.run(stream).await });
            }
        });
        Ok(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: "west",
            version,
            address,
            tasks,
        })
    }

    /// Crashes the worker: closes its port and all of its connections for good.
    pub fn crash(&self) {
        self.tasks.lock().expect("tasks lock").abort_all();
    }

    /// Places the worker in `zone` instead of the zone of the fronts.
    pub fn in_zone(mut self, zone: &'static str) -> Self {
        self.zone = zone;
        self
    }

    /// Key and value of the worker's entry in the store.
    pub fn entry(&self) -> (String, Value) {
        let entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": self.version, "slots": SLOTS, "state": "ready", "coldLeftMs": 0, "sequence": 1,
            "stage": "hybrid", "models": [{"name": "m", "version": 1, "adapters": []}], "born": 1000
        });
        (self.id.clone(), entry)
    }
}

struct Served {
    name: String,
    service: String,
    number: usize,
    version: &'static str,
    record: Record,
    script: Script,
}

impl Served {
    async fn run(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        let mut late: Option<Vec<u8>> = None;
        while let Some(request) = read_request(&mut stream, &mut buffer).await {
            if request.line.starts_with("GET ") {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.name
                );
                if stream.write_all(head.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            if let Some(bytes) = late.take() {
                self.note(&request, "the earlier answer is sent once more");
                let _ = stream.write_all(&bytes).await;
            }
            if request
                .target
                .as_ref()
                .is_some_and(|target| *target != self.name)
            {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.name
                );
                let _ = stream.write_all(head.as_bytes()).await;
                continue;
            }
            let act = (self.script)(&request);
            self.note(
                &request,
                &format!("runs: {act:?}, goes on after {:?}", request.last_event),
            );
            let outcome = match act {
                Act::Stream { events, interval } => {
                    self.stream(&mut stream, &request, events, interval).await
                }
                Act::Garble { events, interval } => {
                    self.garble(&mut stream, &request, events, interval).await
                }
                Act::Fail { status, after } | Act::FailTwice { status, after } => {
                    tokio::time::sleep(after).await;
                    let answer = format!(
                        "HTTP/1.1 {status} Failed\r\nAttempt-Id: {}\r\nResponse-Seal: {}.{status}\r\nContent-Length: 0\r\n\r\n",
                        request.id, self.name
                    );
                    if matches!(act, Act::FailTwice { .. }) {
                        late = Some(answer.clone().into_bytes());
                    }
                    stream.write_all(answer.as_bytes()).await
                }
            };
            match outcome {
                Ok(()) => self.note(&request, "has ended"),
                Err(_) => return self.note(&request, "is dropped, as its connection closed"),
            }
        }
    }

    fn note(&self, request: &Received, what: &str) {
        self.record.write(format!(
            "worker {} of {}, connection {}: {} {what}",
            self.name, self.service, self.number, request.id
        ));
    }

    async fn stream(
        &self,
        stream: &mut TcpStream,
        request: &Received,
        events: u64,
        interval: Duration,
    ) -> std::io::Result<()> {
        self.send_events(stream, request, events, interval).await?;
        stream.write_all(b"0\r\n\r\n").await
    }

    async fn send_events(
        &self,
        stream: &mut TcpStream,
        request: &Received,
        events: u64,
        interval: Duration,
    ) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nResponse-Seal: {}.200\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            request.id, self.name
        );
        stream.write_all(head.as_bytes()).await?;
        for number in request.last_event.unwrap_or(0) + 1..=events {
            tokio::time::sleep(interval).await;
            let data = match self.version {
                "v1" => data(&request.id, number),
                version => format!("{} by {version}", data(&request.id, number)),
            };
            let event = format!("id: {number}\ndata: {data}\n\n");
            write_chunk(stream, &event).await?;
        }
        Ok(())
    }

    async fn garble(
        &self,
        stream: &mut TcpStream,
        request: &Received,
        events: u64,
        interval: Duration,
    ) -> std::io::Result<()> {
        self.send_events(stream, request, events, interval).await?;
        self.note(
            request,
            "goes on with bytes that are no events, without end",
        );
        loop {
            write_chunk(stream, GARBAGE).await?;
            tokio::time::sleep(GARBAGE_INTERVAL).await;
        }
    }
}

async fn write_chunk(stream: &mut TcpStream, bytes: &str) -> std::io::Result<()> {
    let chunk = format!("{:x}\r\n{bytes}\r\n", bytes.len());
    stream.write_all(chunk.as_bytes()).await
}

/// Data of event `number` of the answer to the request `id`.
pub fn data(id: &str, number: u64) -> String {
    format!("{id}-{number}")
}

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Received> {
    let mut part = vec![0; 16 * 1024];
    loop {
        if let Some(end) = buffer.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let field = |name: &str| {
                let lines = head.lines().skip(1);
                let mut fields = lines.filter_map(|line| line.split_once(':'));
                let found = fields.find(|(field, _)| field.eq_ignore_ascii_case(name));
                found.map(|(_, value)| value.trim().to_owned())
            };
            let length: usize = field("content-length")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            if buffer.len() >= end + 4 + length {
                buffer.drain(..end + 4 + length);
                return Some(Received {
                    line: head.lines().next().unwrap_or_default().to_owned(),
                    id: field("attempt-id").unwrap_or_default(),
                    target: field("target-instance"),
                    last_event: field("last-event-id").and_then(|text| text.parse().ok()),
                });
            }
        }
        match stream.read(&mut part).await {
            Ok(count) if count > 0 => buffer.extend_from_slice(&part[..count]),
            _ => return None,
        }
    }
}
