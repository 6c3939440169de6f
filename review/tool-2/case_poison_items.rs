//! BUDGET: items of a batch job with a part that crashes workers reach one worker after another.

use std::collections::BTreeSet;
use std::io::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::Job;
use crate::fleet::Fleet;
use crate::fleet::HOST;
use crate::fleet::StoreConfig;
use crate::fleet::manifest;
use crate::http;
use crate::record::Record;
use crate::worker::POISON_PART;
use crate::worker::Runs;
use crate::worker::Worker;
use crate::worker::WorkerConfig;

const FRONTS: usize = 3;
const WORKERS: usize = 6;
const ITEMS: usize = 3;
/// Time after which a worker that crashed is back.
const BACK_AFTER: Duration = Duration::from_millis(3_000);
const STABLE_MS: u64 = 3_000;
const MAX_LATE: usize = 3;
const WATCHED: Duration = Duration::from_secs(40);
const STREAM_INTERVAL: Duration = Duration::from_millis(250);

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
            events: 10,
            pause: Duration::from_millis(20),
            born: 1_700_000_000_000 + number as u64,
            silent_before: None,
        };
        let worker = Worker::start(config, fleet.worker_address(), runs.clone())?;
        fleet.list_worker(&worker, 1)?;
        workers.push(worker);
    }
    let routes = [
        ("ask", "/ask/", "stream", true),
        ("lot", "/lot/", "batch", true),
    ];
    fleet.put_manifest(&manifest(1, &routes))?;
    for _ in 0..FRONTS {
        fleet.add_front()?;
    }
    fleet.await_ready(&[0, 1, 2], FRONTS)?;
    thread::sleep(Duration::from_millis(3_500));

    let fronts: Vec<SocketAddr> = fleet.fronts.iter().map(|front| front.callers()).collect();
    let mut job = Job::new("p0", "/lot/", ITEMS);
    if has_trouble {
        job.shared_part = POISON_PART.to_owned();
    }
    job.submit_to(&fronts, 2, record);
    let is_over = Arc::new(AtomicBool::new(false));
    let streams = {
        let (is_over, record, fronts) = (is_over.clone(), record.clone(), fronts.clone());
        thread::spawn(move || {
            let mut statuses = Vec::new();
            while !is_over.load(Ordering::SeqCst) {
                let number = statuses.len();
                let id = format!("s{number:04}");
                let (to, record) = (fronts[number % FRONTS], record.clone());
                statuses.push(thread::spawn(move || ask(&id, to, &record)));
                thread::sleep(STREAM_INTERVAL);
            }
            statuses
                .into_iter()
                .filter_map(|status| status.join().ok())
                .collect::<Vec<u16>>()
        })
    };
    let until = record.now_ms() + WATCHED.as_millis() as u64;
    let mut sequence = 1;
    let mut crashed: Vec<Option<u64>> = vec![None; WORKERS];
    while record.now_ms() < until {
        thread::sleep(Duration::from_millis(20));
        for (worker, crashed) in workers.iter_mut().zip(&mut crashed) {
            if worker.is_down() && crashed.is_none() {
                *crashed = Some(record.now_ms());
            }
            let back_ms = BACK_AFTER.as_millis() as u64;
            if crashed.is_some_and(|at| record.now_ms() >= at + back_ms) {
                let mut config = worker.config.clone();
                config.born += 60_000;
                *worker = Worker::start(config, worker.address, runs.clone())?;
                sequence += 1;
                fleet.list_worker(worker, sequence)?;
                *crashed = None;
            }
        }
    }
    is_over.store(true, Ordering::SeqCst);
    let statuses = streams.join().unwrap_or_default();

    let all = runs.all();
    let poisonous = all.iter().filter(|run| run.is_poisonous);
    let times: Vec<u64> = poisonous.clone().map(|run| run.began_ms).collect();
    let hit: BTreeSet<&str> = poisonous.map(|run| run.worker.as_str()).collect();
    let late = match times.get(4) {
        Some(fifth) => times.iter().filter(|at| **at > fifth + STABLE_MS).count(),
        None => 0,
    };
    let served = statuses.iter().filter(|status| **status == 200).count();
    record.note(format!(
        "{} runs with the part crashed {} of {WORKERS} workers; {late} of them more than {STABLE_MS} ms \
         after the fifth crash; {served} of {} other streams were served",
        times.len(),
        hit.len(),
        statuses.len()
    ));
    Ok(if late > MAX_LATE {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends a sound stream; returns its status if it was whole.
fn ask(id: &str, to: SocketAddr, record: &Record) -> u16 {
    let prefix = format!("77aa01:100,{id}:250");
    let headers = [
        ("Host", HOST),
        ("Attempt-Id", id),
        ("Time-Budget-Ms", "5000"),
        ("Model", "m"),
        ("Token-Usage", "350,10"),
        ("Prompt-Prefix", prefix.as_str()),
    ];
    let line = format!("POST /ask/{id}");
    let answer = http::call(to, &line, &headers, b"question", Duration::from_secs(5));
    let status = answer.map_or(0, |answer| answer.status());
    record.note(format!("client: stream {id} at {to}: {status}"));
    status
}
