//! LOST: a front that is stopped as planned, in calm, takes streams that it cuts off at the end of its grace.

use std::collections::HashSet;
use std::io::BufReader;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::fleet::HOST;
use crate::fleet::StoreConfig;
use crate::fleet::manifest;
use crate::http;
use crate::record::Record;
use crate::worker::LONG_PART;
use crate::worker::Runs;
use crate::worker::Worker;
use crate::worker::WorkerConfig;

const FRONTS: usize = 3;
const WORKERS: usize = 8;
const CLIENTS: u64 = 400;
/// Time between two requests of a client.
const PAUSE_MS: u64 = 3_000;
const PAUSE_RANGE_MS: u64 = 2_000;
/// One stream in so many takes 4.6 s, the others 0.2 s.
const LONG_ONE_IN: u64 = 40;
const STOPS: usize = 6;
const GRACE_MS: u64 = 8_000;
/// Requests that were sent earlier after the SIGTERM aren't judged.
const EARLY_MS: u64 = 3_050;
const STABLE_TIME: Duration = Duration::from_millis(3_300);
/// Time that a client has; it is the route's `timeoutMs`, too.
const BUDGET: Duration = Duration::from_millis(5_000);
/// A stream that has used up as much may have reached its time limit.
const NEAR_LIMIT_MS: u64 = 4_900;

/// A stream that ended without a complete answer, or with a status other than 200.
struct Failure {
    id: String,
    front: usize,
    sent_ms: u64,
    ended_ms: u64,
    status: Option<u16>,
}

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict> {
    let mut fleet = Fleet::start(record.clone(), StoreConfig::default())?;
    let runs = Runs::new(record.clone());
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        let config = WorkerConfig {
            id: format!("i-{number}"),
            service: "desk".to_owned(),
            zone: "west".to_owned(),
            version: "v1".to_owned(),
            slots: 16,
            events: 10,
            pause: Duration::from_millis(20),
            born: 1_700_000_000_000 + number as u64,
            silent_before: None,
        };
        let worker = Worker::start(config, fleet.worker_address(), runs.clone())?;
        fleet.list_worker(&worker, 1)?;
        workers.push(worker);
    }
    fleet.put_manifest(&manifest(1, &[("ask", "/ask/", "stream", false)]))?;
    for _ in 0..FRONTS {
        fleet.add_front()?;
    }
    fleet.await_ready(&[0, 1, 2], FRONTS)?;
    thread::sleep(STABLE_TIME);

    let fronts: Vec<SocketAddr> = fleet.fronts.iter().map(|front| front.callers()).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let failures = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let client = Client {
                number,
                fronts: fronts.clone(),
                record: record.clone(),
                is_over: is_over.clone(),
                failures: failures.clone(),
            };
            thread::spawn(move || client.run())
        })
        .collect();
    let mut stops: Vec<(usize, u64)> = Vec::new();
    for stop in 0..STOPS {
        thread::sleep(STABLE_TIME);
        let front = stop % FRONTS;
        stops.push((front, record.now_ms()));
        if !has_trouble {
            thread::sleep(Duration::from_millis(GRACE_MS));
            continue;
        }
        record.note(format!("front {front} is told to end"));
        fleet.stop_front(front);
        while !fleet.start_ended_front(front)? {
            thread::sleep(Duration::from_millis(20));
        }
        record.note(format!("front {front} is started again"));
        fleet.await_ready(&[front], FRONTS)?;
    }
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let ran: HashSet<String> = runs.all().into_iter().map(|run| run.id).collect();
    let failures = failures.lock().unwrap();
    let lost = failures.iter().filter(|failure| {
        let in_stop = stops.iter().any(|(front, at)| {
            let span = at + EARLY_MS..at + GRACE_MS + 1_000;
            *front == failure.front && span.contains(&failure.sent_ms)
        });
        let is_cut = failure.status.is_none() && ran.contains(&failure.id);
        in_stop && is_cut && failure.ended_ms - failure.sent_ms < NEAR_LIMIT_MS
    });
    let lost = lost
        .inspect(|lost| {
            record.note(format!(
                "{} was sent at {} to front {}, ran, and was cut off at {}",
                lost.id, lost.sent_ms, lost.front, lost.ended_ms
            ));
        })
        .count();
    let refused = failures.iter().filter(|failure| failure.status.is_some());
    record.note(format!(
        "{} streams ran, {} were refused; {lost} that came late in a stop were passed on and cut off",
        ran.len(),
        refused.count()
    ));
    Ok(match lost {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// A client that keeps its connection to a front until that closes it or asks for it.
struct Client {
    number: u64,
    fronts: Vec<SocketAddr>,
    record: Record,
    is_over: Arc<AtomicBool>,
    failures: Arc<Mutex<Vec<Failure>>>,
}

impl Client {
    fn run(&self) {
        let mut seed = self.number.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut draw = |below: u64| {
            seed ^= seed << 13;
            seed ^= seed >> 7;
            seed ^= seed << 17;
            seed % below
        };
        let mut front = self.number as usize % self.fronts.len();
        let mut kept: Option<BufReader<TcpStream>> = None;
        let mut count = 0;
        while !self.is_over.load(Ordering::SeqCst) {
            let pause_ms = PAUSE_MS + draw(PAUSE_RANGE_MS);
            thread::sleep(Duration::from_millis(pause_ms));
            let id = format!("c{:03}n{count:04}", self.number);
            count += 1;
            let is_long = draw(LONG_ONE_IN) == 0;
            let sent_ms = self.record.now_ms();
            let answer = self.ask(&mut kept, front, &id, is_long);
            if is_long {
                self.record.note(format!(
                    "client: long stream {id} at front {front}: {answer:?}"
                ));
            }
            if !matches!(answer, Ok(200)) {
                kept = None;
                self.failures.lock().unwrap().push(Failure {
                    id,
                    front,
                    sent_ms,
                    ended_ms: self.record.now_ms(),
                    status: answer.ok(),
                });
            }
            if kept.is_none() {
                front = (front + 1) % self.fronts.len();
            }
        }
    }

    /// Sends a stream; returns the status of the whole answer.
    fn ask(
        &self,
        kept: &mut Option<BufReader<TcpStream>>,
        front: usize,
        id: &str,
        is_long: bool,
    ) -> Result<u16> {
        let to = self.fronts[front];
        let part = if is_long { LONG_PART } else { "77aa01" };
        let prefix = format!("{part}:100,{id}:250");
        let headers = [
            ("Host", HOST),
            ("Attempt-Id", id),
            ("Time-Budget-Ms", "5000"),
            ("Model", "m"),
            ("Token-Usage", "350,230"),
            ("Prompt-Prefix", prefix.as_str()),
        ];
        let mut reader = match kept.take() {
            Some(reader) => reader,
            None => {
                let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(BUDGET))?;
                BufReader::new(stream)
            }
        };
        let bytes = http::request_bytes(to, &format!("POST /ask/{id}"), &headers, b"question");
        reader.get_mut().write_all(&bytes)?;
        let head = http::read_head(&mut reader)?;
        let head = head.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
        http::read_body(&mut reader, &head)?;
        if head.header("connection") != Some("close") {
            *kept = Some(reader);
        }
        Ok(head.status())
    }
}
