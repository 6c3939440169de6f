//! LOST: accepted jobs can't be read, and results that were read don't come again, once the manifest has a
//! route with the prefix `/`.

use std::io::Error;
use std::io::Result;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client::JOB_LIMIT;
use crate::client::Job;
use crate::fleet::Fleet;
use crate::fleet::StoreConfig;
use crate::fleet::manifest;
use crate::record::Record;
use crate::worker::Runs;
use crate::worker::Worker;
use crate::worker::WorkerConfig;

const FRONTS: usize = 3;
const ITEMS: usize = 3;
/// `configMs` and `stableMs`, one after the other.
const SETTLE_TIME: Duration = Duration::from_millis(5_000);
/// Reads of each job at the end, at one front after another.
const READS: usize = 12;
const READ_INTERVAL: Duration = Duration::from_millis(500);
const ROUTES: [(&str, &str, &str, bool); 3] = [
    ("ask", "/ask/", "stream", true),
    ("lot", "/lot/", "batch", true),
    ("other", "/", "idempotent", false),
];

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict> {
    let mut fleet = Fleet::start(record.clone(), StoreConfig::default())?;
    let runs = Runs::new(record.clone());
    let config = WorkerConfig {
        id: "i-0".to_owned(),
        service: "desk".to_owned(),
        zone: "west".to_owned(),
        version: "v1".to_owned(),
        slots: 8,
        events: 5,
        pause: Duration::from_millis(10),
        born: 1_700_000_000_000,
        silent_before: None,
    };
    let worker = Worker::start(config, fleet.worker_address(), runs)?;
    fleet.list_worker(&worker, 1)?;
    fleet.put_manifest(&manifest(1, &ROUTES[..2]))?;
    for _ in 0..FRONTS {
        fleet.add_front()?;
    }
    fleet.await_ready(&[0, 1, 2], FRONTS)?;
    thread::sleep(SETTLE_TIME);

    let fronts: Vec<SocketAddr> = fleet.fronts.iter().map(|front| front.callers()).collect();
    let job = Job::new("7c41e09b52d6a3f8", "/lot/", ITEMS);
    if job.submit(fronts[0], record, JOB_LIMIT).0 != 202 {
        return Err(Error::other("the job is not accepted"));
    }
    let accepted = Instant::now();
    while job.listed(fronts[1]) != Some((ITEMS, ITEMS)) {
        if accepted.elapsed() > Duration::from_secs(10) {
            return Err(Error::other("the job is not done"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    record.note("client has read all results of the job");
    if has_trouble {
        fleet.put_manifest(&manifest(2, &ROUTES))?;
    }
    thread::sleep(SETTLE_TIME);
    let mut read = 0;
    for number in 0..READS {
        let to = fronts[number % FRONTS];
        let answer = job.get(to, &format!("GET /lots/{}?after=0", job.id))?;
        let listed = job.listed(to);
        read += usize::from(listed == Some((ITEMS, ITEMS)));
        let status = answer.status();
        record.note(format!(
            "a read of the job at {to} is answered {status}, listed {listed:?}"
        ));
        thread::sleep(READ_INTERVAL);
    }
    record.note(format!(
        "{read} of {READS} reads brought the results that had been read"
    ));
    Ok(if read == 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
