//! BUDGET: items that fail at each run are run anew by each front that their batch job comes to.

use std::collections::HashMap;
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
use crate::worker::FAILING_PART;
use crate::worker::Runs;
use crate::worker::Worker;
use crate::worker::WorkerConfig;

const FRONTS: usize = 9;
const WORKERS: usize = 4;
const ITEMS: usize = 20;
/// `attempts` of the job's route.
const ATTEMPTS: usize = 3;
/// Times that a front is stopped and started again, and the time between two of them.
const STOPS: u64 = 6;
const GAP_MS: u64 = 2_600;
const STABLE_MS: u64 = 3_000;
/// Time for which it is watched after the last stop.
const END_MS: u64 = 8_000;
const TICK: Duration = Duration::from_millis(5);

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
    fleet.put_manifest(&manifest(1, &[("lot", "/lot/", "batch", true)]))?;
    for _ in 0..FRONTS {
        fleet.add_front()?;
    }
    let numbers: Vec<usize> = (0..FRONTS).collect();
    fleet.await_ready(&numbers, FRONTS)?;
    thread::sleep(Duration::from_millis(3_500));

    let fronts: Vec<SocketAddr> = fleet.fronts.iter().map(|front| front.callers()).collect();
    let mut job = Job::new("f0", "/lot/", ITEMS);
    job.shared_part = FAILING_PART.to_owned();
    if job.submit_to(&fronts, 2, record).last() != Some(&202) {
        return Err(Error::other("the job is not accepted"));
    }
    let accepted_ms = record.now_ms();
    let mut owner = None;
    // When a front was last told to end or started.
    let mut disturbed: HashMap<usize, u64> = HashMap::new();
    let mut stopping: Vec<usize> = Vec::new();
    let mut stops = 0;
    let mut judged = 0;
    let mut excess = 0;
    while record.now_ms() < accepted_ms + GAP_MS * STOPS + END_MS {
        thread::sleep(TICK);
        let now_ms = record.now_ms();
        let value = fleet.get(&format!("open/{}/owner", job.id))?;
        let named = |number: &&usize| {
            let name = format!("front-west-{number}");
            value.as_ref().is_some_and(|value| value.contains(&name))
        };
        if let Some(new) = numbers.iter().find(named)
            && owner != Some(*new)
        {
            record.note(format!("store: front {new} owns the job"));
            owner = Some(*new);
        }
        for number in stopping.clone() {
            if fleet.start_ended_front(number)? {
                record.note(format!("front {number} is started again"));
                disturbed.insert(number, now_ms);
                stopping.retain(|stopping| *stopping != number);
            }
        }
        if let Some(owner) = owner
            && has_trouble
            && stops < STOPS
            && now_ms >= accepted_ms + GAP_MS * (stops + 1)
            && !stopping.contains(&owner)
        {
            record.note(format!("front {owner} is told to end"));
            fleet.stop_front(owner);
            disturbed.insert(owner, now_ms);
            stopping.push(owner);
            stops += 1;
        }
        let all = runs.all();
        for run in &all[judged..] {
            let is_in_touch = owner.is_some_and(|owner| {
                let at = disturbed.get(&owner).copied();
                !stopping.contains(&owner) && at.is_none_or(|at| run.began_ms >= at + STABLE_MS)
            });
            let failed = all
                .iter()
                .filter(|other| other.id == run.id && other.has_failed);
            let failed = failed.filter(|other| other.began_ms < run.began_ms).count();
            if failed >= 3 * ATTEMPTS && is_in_touch {
                excess += 1;
                record.note(format!(
                    "{} runs once more, from front {owner:?}, after {failed} answers of 500",
                    run.id
                ));
            }
        }
        judged = all.len();
    }
    let all = runs.all();
    let failed_of = |id: &String| {
        all.iter()
            .filter(|run| run.id == *id && run.has_failed)
            .count()
    };
    let most = job.items.iter().map(failed_of).max().unwrap_or(0);
    record.note(format!(
        "up to {most} answers of 500 for an item; {excess} runs, from fronts in touch, after {} of them",
        3 * ATTEMPTS
    ));
    Ok(match excess {
        0 => Verdict::Held,
        _ => Verdict::Broken,
    })
}
