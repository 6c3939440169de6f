//! A batch job is ended at a host that takes another one for the job's owner.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::fleet;
use crate::fleet::HOST;
use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::store::base64;
use crate::worker::Run;
use crate::worker::Worker;
use crate::worker::service;

const FRONTS: usize = 4;
const WORKERS: usize = 2;
const ITEMS: usize = 24;
/// Age of the reads for which clients of the store ask with `staleOk`.
const STALE_AGE: Duration = Duration::from_secs(3);
/// Events of an item; one that goes on after the hand-over ends at a set time.
const EVENTS: u64 = 99;
const EVENT_GAP: Duration = Duration::from_millis(100);
/// Bound of the deployment from the acknowledgement of a job's end.
const CANCEL_TIME: Duration = Duration::from_millis(3_000);
/// Time from SIGTERM to the end of the items that run then.
const ITEMS_END: Duration = Duration::from_millis(5_900);
/// Time before that at which the job is ended.
const BEFORE_END: Duration = Duration::from_millis(3_120);
/// Time for which the workers are watched from then on.
const WATCH_TIME: Duration = Duration::from_secs(7);
const GRACE: Duration = Duration::from_secs(8);
const JOB: &str = "7c41e09b52d6a3f8";

pub fn play(is_disturbed: bool, record: &Record, folder: &Path) -> Verdict {
    match try_play(is_disturbed, record, folder) {
        Ok(verdict) => verdict,
        Err(cause) => Verdict::NotRun(cause),
    }
}

fn manifest() -> String {
    format!(
        "{{\"version\":3,\"routes\":[{{\"name\":\"survey-notes\",\"host\":\"{HOST}\",\"prefix\":\"/pule252/\",\
         \"kind\":\"batch\",\"service\":\"{0}\",\"timeoutMs\":15000,\"sloMs\":400,\"runSloMs\":18000,\
         \"attempts\":3,\"retentionS\":60,\"priority\":2,\"sticky\":true}}],\
         \"services\":[{{\"name\":\"{0}\",\"healthPath\":\"/health\"}}],\
         \"limits\":{{\"headerBytes\":16384,\"bodyBytes\":4194304,\"headerMs\":3000,\"idleMs\":15000}}}}",
        service()
    )
}

fn try_play(is_disturbed: bool, record: &Record, folder: &Path) -> Result<Verdict, String> {
    let network = fleet::free_network(FRONTS).ok_or("no free addresses")?;
    let store = Store::start(&format!("{network}.1"), STALE_AGE).map_err(|err| err.to_string())?;
    store.put("op/config", &manifest());
    let items_end: Arc<Mutex<Option<Instant>>> = Arc::default();
    let workers: Result<Vec<Worker>, _> = (1..=WORKERS)
        .map(|number| {
            let (id, ip) = (format!("i-7f3a91c{number}"), format!("{network}.{number}"));
            let items_end = items_end.clone();
            let length = Arc::new(move |request: &http::Message| {
                let last = request.header("last-event-id");
                let after: Option<u64> = last.and_then(|last| last.parse().ok());
                let end = *items_end.lock().expect("end lock");
                match (after, end) {
                    (Some(after), Some(end)) => {
                        let left = end.saturating_duration_since(Instant::now());
                        after + (left.as_millis() / EVENT_GAP.as_millis()) as u64
                    }
                    _ => EVENTS,
                }
            });
            Worker::start(&id, &ip, "jm-west-a", EVENT_GAP, length, &store, record)
        })
        .collect();
    let workers = workers.map_err(|err| err.to_string())?;
    let mut fronts =
        fleet::start(&network, FRONTS, &store, folder).ok_or("the fronts did not start")?;
    // The store's stale reads have to show all fronts to each of them.
    thread::sleep(STALE_AGE + Duration::from_secs(3));
    record.add("all fronts are ready");

    let submitted = fronts[0].callers();
    let answer = http::call(
        submitted,
        "POST /pule252/7c41e0",
        &format!("Host: {HOST}\r\nAttempt-Id: {JOB}\r\nContent-Type: application/json\r\n"),
        &body(),
        Duration::from_secs(4),
    );
    let status = answer.map_or(0, |answer| answer.status());
    record.add(&format!(
        "the job with {ITEMS} items is sent to {}: {status}",
        fronts[0].name
    ));
    if status != 202 {
        return Err("the job was not accepted".to_owned());
    }
    let first_owner = owner(&store).ok_or("the job has no owner")?;
    let first = (0..FRONTS).find(|index| fronts[*index].name == first_owner);
    let first = first.ok_or("the owner is not known")?;
    thread::sleep(Duration::from_secs(4));
    let stopped = Instant::now();
    if is_disturbed {
        *items_end.lock().expect("end lock") = Some(stopped + ITEMS_END);
        fronts[first].signal("-TERM");
        record.add(&format!("SIGTERM to {}", fronts[first].name));
    }
    thread::sleep(Duration::from_millis(1_500));
    let present_owner = owner(&store).ok_or("the job has no owner")?;
    record.add(&format!(
        "the store names {present_owner} as the owner of the job"
    ));
    let other = (0..FRONTS).find(|index| *index != first && fronts[*index].name != present_owner);
    let other = &fronts[other.ok_or("there is no third front")?];

    // The job is ended a little more than the bound before the first items end.
    if workers
        .iter()
        .flat_map(Worker::runs)
        .all(|run| run.ended.is_some())
    {
        return Err("no item runs".to_owned());
    }
    let at = stopped + ITEMS_END - BEFORE_END;
    thread::sleep(at.saturating_duration_since(Instant::now()));
    record.add(&format!("the end of the job is sent to {}", other.name));
    let ended = http::call(
        other.callers(),
        &format!("DELETE /lots/{JOB}"),
        &format!("Host: {HOST}\r\n"),
        "",
        Duration::from_secs(4),
    );
    let acknowledged = Instant::now();
    let status = ended.map_or(0, |answer| answer.status());
    record.add(&format!("the end of the job is answered: {status}"));
    if status != 200 {
        return Err("the end of the job was not acknowledged".to_owned());
    }
    // What comes after the stopped process has ended was sent by machines in touch.
    let mut bound = acknowledged + CANCEL_TIME;
    if is_disturbed {
        fronts[first].wait(GRACE.saturating_sub(stopped.elapsed()));
        record.add(&format!("{} has ended", fronts[first].name));
        bound = bound.max(Instant::now());
    }
    thread::sleep((acknowledged + WATCH_TIME).saturating_duration_since(Instant::now()));
    let runs = workers.iter().flat_map(Worker::runs);
    let late: Vec<Run> = runs.filter(|run| run.began > bound).collect();
    for run in &late {
        record.add(&format!(
            "item {} reached a worker {} ms after the acknowledgement of the job's end, and ran {} events",
            run.id,
            (run.began - acknowledged).as_millis(),
            run.events - run.after
        ));
    }
    Ok(match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}

fn body() -> String {
    let items = (0..ITEMS).map(|number| {
        format!(
            "{{\"id\":\"e5b2907c14da{number:04x}\",\"path\":\"/pule252/3/{number:04x}\",\"headers\":\
             {{\"Model\":\"m\",\"Token-Usage\":\"350,581\",\"Prompt-Prefix\":\"9c2e41:100,5d07{number:02x}:250\"}},\
             \"body\":\"{}\",\"tokens\":931}}",
            base64(format!("survey {number}").as_bytes())
        )
    });
    let items: Vec<String> = items.collect();
    format!("{{\"items\":[{}]}}", items.join(","))
}

/// Name of the front that the store names as the owner of the job.
fn owner(store: &Store) -> Option<String> {
    let value = store.text(&format!("open/{JOB}/owner"))?;
    let names = (1..=FRONTS).map(|number| format!("front-jm-west-a-{number}"));
    names.into_iter().find(|name| value.contains(name.as_str()))
}
