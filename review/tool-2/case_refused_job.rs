//! REFUSED: a batch job that was answered 503 at every attempt runs once the store is back.
//!
//! The store is down, silent, again and again. Jobs come shortly after it has fallen silent, on the mean
//! as often as on the site's sheet.

use std::io::Error;
use std::io::Result;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::Job;
use crate::fleet::Fleet;
use crate::fleet::StoreConfig;
use crate::fleet::manifest;
use crate::record::Record;
use crate::sys;
use crate::worker::Runs;
use crate::worker::Worker;
use crate::worker::WorkerConfig;

const FRONTS: usize = 9;
const WORKERS: usize = 4;
/// Length of the store's queue of new connections, so that soon after it has stopped they hang.
const BACKLOG: i32 = 1;
const OUTAGES: usize = 12;
/// Time for which the store is down.
const DOWN: Duration = Duration::from_millis(4_500);
/// Shortest time between two outages. It varies by up to the interval at which fronts renew their leases, so
/// that outages meet them at different moments.
const CALM: Duration = Duration::from_millis(3_000);
const CALM_STEP: Duration = Duration::from_millis(370);
const CALM_SPAN: Duration = Duration::from_millis(1_200);
/// Jobs are sent from then on after the store has fallen silent.
const FIRST_JOB: Duration = Duration::from_millis(60);
const JOB_INTERVAL: Duration = Duration::from_millis(20);
const JOBS_PER_OUTAGE: usize = 14;
/// Attempts of a client, with its one retry.
const TRIES: usize = 2;
/// Time for which it is watched at the end what runs.
const END_TIME: Duration = Duration::from_millis(4_000);

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict> {
    let store = StoreConfig {
        backlog: BACKLOG,
        ..StoreConfig::default()
    };
    let mut fleet = Fleet::start(record.clone(), store)?;
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
            pause: Duration::from_millis(10),
            born: 1_700_000_000_000 + number as u64,
            silent_before: None,
        };
        let worker = Worker::start(config, fleet.worker_address(), runs.clone())?;
        fleet.list_worker(&worker, 1)?;
        workers.push(worker);
    }
    fleet.put_manifest(&manifest(1, &[("lot", "/lot/", "batch", true)]))?;
    for _ in 0..FRONTS {
        fleet.add_front()?;
        thread::sleep(Duration::from_millis(150));
    }
    let all: Vec<usize> = (0..FRONTS).collect();
    fleet.await_ready(&all, FRONTS)?;
    thread::sleep(CALM);

    // Clients pick fronts at random, the same ones in each run.
    let mut draw: u64 = 1;
    let mut clients = Vec::new();
    for outage in 0..OUTAGES {
        if has_trouble {
            record.note("the store is down");
            fleet.store.signal(sys::SIGSTOP);
        }
        thread::sleep(FIRST_JOB);
        for number in 0..JOBS_PER_OUTAGE {
            let mut fronts: Vec<SocketAddr> =
                fleet.fronts.iter().map(|front| front.callers()).collect();
            draw = draw
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            fronts.rotate_left((draw >> 33) as usize % FRONTS);
            let record = record.clone();
            let job = Job::new(&format!("j{outage}{number:02}"), "/lot/", 3);
            clients.push(thread::spawn(move || {
                let statuses = job.submit_to(&fronts, TRIES, &record);
                (job, statuses)
            }));
            thread::sleep(JOB_INTERVAL);
        }
        thread::sleep(DOWN.saturating_sub(FIRST_JOB + JOB_INTERVAL * JOBS_PER_OUTAGE as u32));
        if has_trouble {
            fleet.store.signal(sys::SIGCONT);
            record.note("the store is back");
        }
        let step = CALM_STEP * outage as u32;
        let turns = (step.as_millis() / CALM_SPAN.as_millis()) as u32;
        thread::sleep(CALM + step - CALM_SPAN * turns);
    }
    let jobs = clients.into_iter().filter_map(|client| client.join().ok());
    let jobs: Vec<(Job, Vec<u16>)> = jobs.collect();
    thread::sleep(END_TIME);

    let counts = runs.counts();
    let (mut accepted, mut refused, mut broken) = (0, 0, 0);
    for (job, statuses) in &jobs {
        let is_refused = statuses
            .iter()
            .all(|status| [408, 421, 429, 503].contains(status));
        let ran = job
            .items
            .iter()
            .filter(|item| counts.contains_key(*item))
            .count();
        accepted += usize::from(statuses.contains(&202));
        refused += usize::from(is_refused);
        if is_refused && ran > 0 {
            broken += 1;
            let id = &job.id;
            record.note(format!(
                "REFUSED: job {id} was answered {statuses:?}, {ran} items ran"
            ));
        }
    }
    let sent = jobs.len();
    record.note(format!(
        "{sent} jobs, {accepted} accepted, {refused} refused, {broken} of these ran"
    ));
    if !has_trouble && accepted < sent {
        return Err(Error::other("jobs are refused without an outage"));
    }
    Ok(if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
