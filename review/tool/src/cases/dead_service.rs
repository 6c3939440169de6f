//! The worker of one service is lost while it runs a batch job; another job waits for the workers of
//! another service, which are sound.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

use crate::cases::batch_route;
use crate::cases::lot_route;
use crate::cases::manifest;
use crate::cases::submit;
use crate::cases::submit_under;
use crate::client;
use crate::fleet::CaseError;
use crate::fleet::Fleet;
use crate::fleet::Record;
use crate::worker::Act;
use crate::worker::Received;
use crate::worker::Script;
use crate::worker::Worker;

const DESK: &str = "desk";
const SURVEY: &str = "survey";
const LOST_JOB: &str = "a0b1c2d3";
const SOUND_JOB: &str = "7c41e09b52d6a3f8";
const SOUND_ITEMS: usize = 120;
/// Three times `heartbeatMs`: time after which the platform removes the entry of a silent worker.
const ENTRY_TIME: Duration = Duration::from_millis(3_600);
/// `runSloMs` of the route: time within which the results are due.
const DUE_TIME: Duration = Duration::from_secs(18);
/// `finishS` of the settings.
const FINISH_TIME: Duration = Duration::from_secs(18);
/// Time at the end in which no worker may have had an item of the job.
const CALM_TIME: Duration = Duration::from_secs(5);

pub async fn play(record: Record, trouble: bool) -> Result<usize, CaseError> {
    let last_run: Arc<Mutex<Option<Instant>>> = Arc::default();
    let seen = last_run.clone();
    // An item takes 1.5 s.
    let script: Script = Arc::new(move |request: &Received| {
        if request.id.starts_with("50") {
            *seen.lock().expect("run lock") = Some(Instant::now());
        }
        Act::Stream {
            events: 15,
            interval: Duration::from_millis(100),
        }
    });
    let mut workers = Vec::new();
    for (id, service) in [("i-1", DESK), ("i-2", DESK), ("i-3", SURVEY)] {
        workers.push(Worker::start(id, service, record.clone(), script.clone()).await?);
    }
    let entries: Vec<_> = workers.iter().map(Worker::entry).collect();
    let survey_route = batch_route("r-survey", "/survey/", SURVEY);
    let first = manifest(7, &[lot_route(DESK), survey_route], &[DESK, SURVEY]);
    let mut fleet = Fleet::start(record.clone(), 3, &first, &entries).await?;
    let callers: Vec<_> = fleet.fronts.iter().map(|front| front.callers()).collect();
    let items: Vec<String> = (0..10).map(|number| format!("ab{number:02}")).collect();
    let submitted = submit_under(&record, callers[0], "/survey/", LOST_JOB, &items).await?;
    if submitted.status != 202 {
        return Err("the first job was not accepted".into());
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    if trouble {
        for worker in &workers[2..] {
            worker.crash();
        }
        record.write("the worker of the service survey is lost for good");
    }
    tokio::time::sleep(ENTRY_TIME).await;
    if trouble {
        for worker in &workers[2..] {
            fleet.remove_entry(&worker.id).await?;
        }
        record.write("the platform removes its entry");
    }
    let items: Vec<String> = (0..SOUND_ITEMS)
        .map(|number| format!("50{number:03}"))
        .collect();
    if submit(&record, callers[0], SOUND_JOB, &items).await?.status != 202 {
        return Err("the second job was not accepted".into());
    }
    let mut listed = 0;
    let submitted = Instant::now();
    while submitted.elapsed() < DUE_TIME + FINISH_TIME && listed < SOUND_ITEMS {
        tokio::time::sleep(Duration::from_secs(1)).await;
        listed = listed_items(&record, callers[1]).await?;
    }
    let quiet = last_run.lock().expect("run lock").map(|at| at.elapsed());
    let quiet = quiet.unwrap_or(submitted.elapsed());
    record.write(format!(
        "{listed} of {SOUND_ITEMS} items are listed; no worker has got one for {quiet:.1?}"
    ));
    fleet.stop().await?;
    match quiet > CALM_TIME {
        true => Ok(SOUND_ITEMS - listed),
        false if listed < SOUND_ITEMS => Err("the job is still at work".into()),
        false => Ok(0),
    }
}

/// Number of results of the second job.
async fn listed_items(record: &Record, front: std::net::SocketAddr) -> Result<usize, CaseError> {
    let path = format!("/lots/{SOUND_JOB}?after=0");
    let request = client::request("GET", &path, super::LOTS, &[], "");
    let answer = client::send(front, &request).await?;
    let listed = answer.json()["results"].as_array().map_or(0, Vec::len);
    record.write(format!(
        "GET {path} at {front}: {}, {listed} results",
        answer.status
    ));
    Ok(listed)
}
