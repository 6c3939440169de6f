//! ORDER: streams hold events of two versions of the workers' software.
//!
//! A worker crashes while it has nothing to do and starts again under its identifier with the next version.
//! Streams begin there before its entry changes. It falls silent for a second, and the fronts go on with the
//! streams at workers of the version before.

use std::collections::BTreeSet;
use std::io::Error;
use std::io::ErrorKind;
use std::io::Result;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::fleet::Fleet;
use crate::fleet::HOST;
use crate::fleet::StoreConfig;
use crate::fleet::manifest;
use crate::http;
use crate::record::Record;
use crate::worker::Runs;
use crate::worker::Worker;
use crate::worker::WorkerConfig;

const FRONTS: usize = 3;
/// One of them crashes: a share of 0.167.
const WORKERS: usize = 6;
const STREAMS: usize = 42;
const STREAM_INTERVAL: Duration = Duration::from_millis(10);
const EVENTS: u64 = 30;
const PAUSE: Duration = Duration::from_millis(50);
/// Time for which the worker that crashes is away.
const AWAY: Duration = Duration::from_millis(500);
/// Time from the start of the worker to its first liveness report: `heartbeatMs`.
const FIRST_REPORT: Duration = Duration::from_millis(1_200);

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
            slots: 8,
            events: EVENTS,
            pause: PAUSE,
            born: 1_700_000_000_000 + number as u64,
            silent_before: None,
        };
        let worker = Worker::start(config, fleet.worker_address(), runs.clone())?;
        fleet.list_worker(&worker, 1)?;
        workers.push(worker);
    }
    fleet.put_manifest(&manifest(1, &[("ask", "/ask/", "stream", true)]))?;
    for _ in 0..FRONTS {
        fleet.add_front()?;
    }
    fleet.await_ready(&[0, 1, 2], FRONTS)?;
    thread::sleep(Duration::from_millis(3_500));

    let old = &workers[0];
    let (address, mut config) = (old.address, old.config.clone());
    config.version = "v2".to_owned();
    config.born += 3_600_000;
    config.silent_before = Some(8);
    let mut restarted = None;
    if has_trouble {
        old.kill();
        thread::sleep(AWAY);
        record.note("worker i-0 starts again, as v2");
        restarted = Some(Worker::start(config, address, runs.clone())?);
    }
    let fronts: Vec<SocketAddr> = fleet.fronts.iter().map(|front| front.callers()).collect();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (to, record) = (fronts[number % FRONTS], record.clone());
            thread::sleep(STREAM_INTERVAL);
            thread::spawn(move || read_stream(&format!("s{number:02}"), to, &record))
        })
        .collect();
    if let Some(worker) = &restarted {
        thread::sleep(FIRST_REPORT.saturating_sub(STREAM_INTERVAL * STREAMS as u32));
        fleet.list_worker(worker, 1)?;
    }
    let answers = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .flatten();
    let answers: Vec<(Vec<String>, bool)> = answers.collect();
    let versions_of = |events: &[String]| -> BTreeSet<String> {
        let words = events.iter().filter_map(|event| event.split(' ').next());
        words.map(str::to_owned).collect()
    };
    let joined = answers
        .iter()
        .filter(|(events, _)| versions_of(events).len() > 1)
        .count();
    let whole = answers.iter().filter(|(_, is_whole)| *is_whole).count();
    record.note(format!(
        "{} streams answered, {whole} whole, {joined} hold events of two versions",
        answers.len()
    ));
    if !has_trouble && whole < STREAMS {
        return Err(Error::other("streams are not whole without a crash"));
    }
    match joined > 2 {
        true => Ok(Verdict::Broken),
        false => Ok(Verdict::Held),
    }
}

/// Reads a stream to its end. Returns the data of its events, and whether it was complete.
fn read_stream(id: &str, to: SocketAddr, record: &Record) -> Result<(Vec<String>, bool)> {
    let prefix = format!("9c2e41:100,{id}:250");
    let headers = [
        ("Host", HOST),
        ("Attempt-Id", id),
        ("Time-Budget-Ms", "5000"),
        ("Model", "m"),
        ("Token-Usage", "350,30"),
        ("Prompt-Prefix", prefix.as_str()),
    ];
    let line = format!("POST /ask/{id}");
    let mut reader = http::send(to, &line, &headers, b"question", Duration::from_secs(5))?;
    let head = http::read_head(&mut reader)?.ok_or(Error::from(ErrorKind::UnexpectedEof))?;
    let mut text = String::new();
    let is_whole = loop {
        match http::read_chunk(&mut reader) {
            Ok(Some(chunk)) => text.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => break head.status() == 200,
            Err(_) => break false,
        }
    };
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let events: Vec<String> = data.map(str::to_owned).collect();
    record.note(format!(
        "client: stream {id} at {to}: status {}, whole: {is_whole}, events: {}",
        head.status(),
        events.join(", ")
    ));
    Ok((events, is_whole))
}
