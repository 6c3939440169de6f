//! LOST: a machine that was added turns an accepted batch job away when it comes again.
//!
//! The job is accepted and done, its route is removed by a later manifest, and a front is added that has
//! heard of neither. Its client sends the job once more, three times, to the front that was added.

use std::io::Error;
use std::io::Result;
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
/// `stableMs` and some more: the front that was added is in touch.
const IN_TOUCH_TIME: Duration = Duration::from_millis(3_300);
const REPEATS: usize = 3;
const REPEAT_INTERVAL: Duration = Duration::from_millis(300);
const ROUTES: [(&str, &str, &str, bool); 2] = [
    ("ask", "/ask/", "stream", true),
    ("lot", "/lot/", "batch", true),
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
    fleet.put_manifest(&manifest(1, &ROUTES))?;
    for _ in 0..FRONTS {
        fleet.add_front()?;
    }
    fleet.await_ready(&[0, 1, 2], FRONTS)?;
    thread::sleep(IN_TOUCH_TIME);

    let job = Job::new("7c41e09b52d6a3f8", "/lot/", 3);
    let first = fleet.fronts[0].callers();
    if job.submit(first, record, JOB_LIMIT).0 != 202 {
        return Err(Error::other("the job is not accepted"));
    }
    let accepted = Instant::now();
    while job.listed(first) != Some((3, 3)) {
        if accepted.elapsed() > Duration::from_secs(10) {
            return Err(Error::other("the job is not done"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    record.note("client has read all results of the job");
    fleet.put_manifest(&manifest(2, &ROUTES[..1]))?;
    let to = match has_trouble {
        true => {
            record.note("a front is added");
            let added = fleet.add_front()?;
            fleet.await_ready(&[added], FRONTS + 1)?;
            record.note("the front that was added is ready");
            fleet.fronts[added].callers()
        }
        false => fleet.fronts[1].callers(),
    };
    thread::sleep(IN_TOUCH_TIME);
    let age = accepted.elapsed();
    let mut statuses = Vec::new();
    for _ in 0..REPEATS {
        statuses.push(job.submit(to, record, JOB_LIMIT).0);
        thread::sleep(REPEAT_INTERVAL);
    }
    let (other, _) = job.submit(first, record, JOB_LIMIT);
    let read = job.get(to, &format!("GET /lots/{}?after=0", job.id))?;
    record.note(format!(
        "a read of the job at {to} is answered {}",
        read.status()
    ));
    record.note(format!(
        "{} ms after its 202 the job comes again: {statuses:?} at {to}, {other} at {first}",
        age.as_millis()
    ));
    let turned_away = statuses
        .iter()
        .filter(|status| (400..500).contains(*status));
    match turned_away
        .filter(|status| **status != 408 && **status != 421)
        .count()
        >= REPEATS
    {
        true => Ok(Verdict::Broken),
        false => Ok(Verdict::Held),
    }
}
