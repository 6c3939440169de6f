//! The manifest loses the route of batch jobs, after a job has been accepted and read.

use std::sync::Arc;
use std::time::Duration;

use crate::cases::LOTS;
use crate::cases::ask_route;
use crate::cases::lot_route;
use crate::cases::manifest;
use crate::cases::read_results;
use crate::cases::submit;
use crate::client;
use crate::fleet::CaseError;
use crate::fleet::Fleet;
use crate::fleet::Record;
use crate::worker::Act;
use crate::worker::Received;
use crate::worker::Script;
use crate::worker::Worker;

/// `configMs` of the settings.
const CONFIG_TIME: Duration = Duration::from_millis(2_000);
const SERVICE: &str = "desk";

pub async fn play(record: Record, trouble: bool) -> Result<usize, CaseError> {
    let script: Script = Arc::new(|_: &Received| Act::Stream {
        events: 20,
        interval: Duration::from_millis(10),
    });
    let mut workers = Vec::new();
    for id in ["i-1", "i-2"] {
        workers.push(Worker::start(id, SERVICE, record.clone(), script.clone()).await?);
    }
    let entries: Vec<_> = workers.iter().map(Worker::entry).collect();
    let first = manifest(
        7,
        &[ask_route(SERVICE, 5000), lot_route(SERVICE)],
        &[SERVICE],
    );
    let mut fleet = Fleet::start(record.clone(), 3, &first, &entries).await?;
    let callers: Vec<_> = fleet.fronts.iter().map(|front| front.callers()).collect();
    let items: Vec<String> = (0..10)
        .map(|number| format!("e5b2907c{number:02}"))
        .collect();
    if submit(&record, callers[0], "7c41e09b52d6a3f8", &items)
        .await?
        .status
        != 202
    {
        return Err("the job was not accepted".into());
    }
    await_results(&record, callers[1], items.len()).await?;
    let second = match trouble {
        true => manifest(9, &[ask_route(SERVICE, 5000)], &[SERVICE]),
        false => manifest(
            9,
            &[ask_route(SERVICE, 4000), lot_route(SERVICE)],
            &[SERVICE],
        ),
    };
    fleet.put("op/config", &second).await?;
    record.write(match trouble {
        true => "version 9 is acknowledged: the route /lot/ is removed",
        false => "version 9 is acknowledged: the time limit of /ask/ is changed",
    });
    tokio::time::sleep(CONFIG_TIME + Duration::from_millis(500)).await;
    let mut broken = 0;
    for _ in 0..4 {
        for front in &callers {
            let answer = read_results(&record, *front, "7c41e09b52d6a3f8").await?;
            broken += usize::from(matches!(answer.status, 404 | 410));
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let request = client::request("DELETE", "/lots/7c41e09b52d6a3f8", LOTS, &[], "");
    let ended = client::send(callers[2], &request).await?;
    record.write(format!("DELETE /lots/7c41e09b52d6a3f8: {}", ended.status));
    fleet.stop().await?;
    Ok(broken)
}

async fn await_results(
    record: &Record,
    front: std::net::SocketAddr,
    count: usize,
) -> Result<(), CaseError> {
    for _ in 0..40 {
        let answer = read_results(record, front, "7c41e09b52d6a3f8").await?;
        let results = answer.json()["results"].as_array().map_or(0, Vec::len);
        if results == count {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    Err("the job was not finished".into())
}
