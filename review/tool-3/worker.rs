//! Stand-in of a worker: runs streams of events with a fixed time between two, at most `slots` at once.

use std::io::ErrorKind;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::record::Record;
use crate::store::Store;

pub const SLOTS: usize = 8;
const SERVICE: &str = "desk-llm";

/// How the worker ends a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    Whole,
    /// The caller closed the connection.
    Left,
    /// The time limit passed.
    Late,
}

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub began: Instant,
    /// Event after which it goes on; 0 for one that begins.
    pub after: u64,
    pub events: u64,
    pub ended: Option<(Instant, RunEnd)>,
}

/// Length of the answers to a request, in events, by its headers.
pub type Length = Arc<dyn Fn(&Message) -> u64 + Send + Sync>;

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    /// All runs, in the order in which they began.
    pub runs: Arc<Mutex<Vec<Run>>>,
    born: u128,
    gap: Duration,
    length: Length,
    record: Record,
}

impl Worker {
    /// Serves a worker on a free port of `ip`, and registers it.
    pub fn start(
        id: &str,
        ip: &str,
        zone: &str,
        gap: Duration,
        length: Length,
        store: &Store,
        record: &Record,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(format!("{ip}:0"))?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let worker = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            runs: Arc::default(),
            born: born.map_or(1, |since| since.as_millis()),
            gap,
            length,
            record: record.clone(),
        };
        let served = worker.clone();
        http::serve(listener, move |request, stream| {
            served.answer(request, stream)
        });
        let (registered, store, zone) = (worker.clone(), store.clone(), zone.to_owned());
        thread::spawn(move || {
            for sequence in 1.. {
                let entry = format!(
                    "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
                     \"slots\":{SLOTS},\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":{sequence},\
                     \"born\":{}}}",
                    registered.address, registered.born
                );
                store.put(&format!("servers/{}", registered.id), &entry);
                thread::sleep(Duration::from_millis(1_200));
            }
        });
        Ok(worker)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("runs lock").clone()
    }

    fn active(&self) -> usize {
        let runs = self.runs.lock().expect("runs lock");
        runs.iter().filter(|run| run.ended.is_none()).count()
    }

    fn answer(&self, request: &Message, stream: &mut TcpStream) -> bool {
        if request.path() == "/report" {
            let body = format!(
                "{{\"stage\":\"hybrid\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"busy\":false,\"sequence\":0,\"queued\":0,\"active\":{},\"kvUsed\":0,\"kvTotal\":134354,\
                 \"handles\":0,\"born\":{}}}",
                self.active(),
                self.born
            );
            return http::write_answer(stream, 200, "Content-Type: application/json\r\n", &body);
        }
        let Some(id) = request.header("attempt-id").map(str::to_owned) else {
            return http::write_answer(stream, 400, "Not-Executed: 1\r\n", "");
        };
        let echo = format!("Attempt-Id: {id}\r\n");
        let target = request.header("target-instance");
        if target.is_some_and(|target| target != self.id) {
            return http::write_answer(stream, 421, &echo, "");
        }
        if self.active() >= SLOTS {
            let headers = format!("{echo}Not-Executed: 1\r\n");
            return http::write_answer(stream, 503, &headers, "");
        }
        let last = request.header("last-event-id");
        let after = last.and_then(|last| last.parse().ok()).unwrap_or(0);
        let budget = request.header("time-budget-ms");
        let budget: f64 = budget
            .and_then(|text| text.parse().ok())
            .unwrap_or(60_000.0);
        let began = Instant::now();
        let index = {
            let mut runs = self.runs.lock().expect("runs lock");
            runs.push(Run {
                id: id.clone(),
                began,
                after,
                events: after,
                ended: None,
            });
            runs.len() - 1
        };
        self.record.add(&format!(
            "worker {} runs {id} after event {after}, time budget {budget} ms",
            self.id
        ));
        let until = began + Duration::from_millis(budget as u64);
        let end = self.run(request, &echo, after, until, stream, index);
        self.runs.lock().expect("runs lock")[index].ended = Some((Instant::now(), end));
        self.record
            .add(&format!("worker {}: run of {id} ends: {end:?}", self.id));
        end == RunEnd::Whole
    }

    fn run(
        &self,
        request: &Message,
        echo: &str,
        after: u64,
        until: Instant,
        stream: &mut TcpStream,
        index: usize,
    ) -> RunEnd {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{echo}\
             Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\nWeight-Versions: 1\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return RunEnd::Left;
        }
        let last = (self.length)(request);
        let began = Instant::now();
        for event in after + 1..=last {
            let due = began + self.gap * (event - after) as u32;
            if !self.wait(due.min(until), stream) {
                return RunEnd::Left;
            }
            if due >= until {
                return RunEnd::Late;
            }
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return RunEnd::Left;
            }
            self.runs.lock().expect("runs lock")[index].events = event;
        }
        match stream.write_all(b"0\r\n\r\n") {
            Ok(()) => RunEnd::Whole,
            Err(_) => RunEnd::Left,
        }
    }

    /// Waits until `due`; returns whether the caller's connection is still open.
    fn wait(&self, due: Instant, stream: &mut TcpStream) -> bool {
        loop {
            let now = Instant::now();
            if now >= due {
                return true;
            }
            let left = (due - now).min(Duration::from_millis(20));
            let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
            let mut byte = [0];
            let peeked = stream.peek(&mut byte);
            let _ = stream.set_read_timeout(None);
            match peeked {
                Ok(0) => return false,
                Ok(_) => thread::sleep(left),
                Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return false,
            }
        }
    }
}

/// Text of a whole answer of `events` events.
pub fn whole_text(events: u64) -> String {
    let pieces = (1..=events).map(|event| format!("id: {event}\ndata: piece {event}\n\n"));
    pieces.collect()
}

/// The name of the service that workers register for.
pub fn service() -> &'static str {
    SERVICE
}
