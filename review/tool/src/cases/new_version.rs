//! The workers of a service crash one after the other and start again under their identifiers, with newer
//! software.

use std::sync::Arc;
use std::time::Duration;

use crate::cases::DESK;
use crate::cases::ask_route;
use crate::cases::manifest;
use crate::client;
use crate::fleet::CaseError;
use crate::fleet::Fleet;
use crate::fleet::Record;
use crate::worker::Act;
use crate::worker::Received;
use crate::worker::Script;
use crate::worker::Worker;

const SERVICE: &str = "desk";
const STREAMS: usize = 6;
/// Streams that may be joined from two versions.
const MAX_JOINED: usize = 2;
const EVENTS: u64 = 36;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// `heartbeatMs` of the settings: a worker writes its entry about as often.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time for which a crashed worker is down.
const DOWN_TIME: Duration = Duration::from_millis(1_000);

pub async fn play(record: Record, trouble: bool) -> Result<usize, CaseError> {
    let script: Script = Arc::new(|_: &Received| Act::Stream {
        events: EVENTS,
        interval: EVENT_INTERVAL,
    });
    let first = Worker::start("i-1", SERVICE, record.clone(), script.clone()).await?;
    let second = Worker::start("i-2", SERVICE, record.clone(), script.clone()).await?;
    let entries = [first.entry(), second.entry()];
    let routes = manifest(7, &[ask_route(SERVICE, 5000)], &[SERVICE]);
    let mut fleet = Fleet::start(record.clone(), 2, &routes, &entries).await?;
    let front = fleet.fronts[0].callers();
    if trouble {
        second.crash();
        record.write("worker i-2 crashes");
        // Requests that front 0 sends there find out.
        for number in 0..2 {
            let record = record.clone();
            tokio::spawn(async move { stream(&record, front, &format!("4c{number:02}")).await });
        }
    }
    tokio::time::sleep(Duration::from_millis(100)).await;
    let streams = (0..STREAMS).map(|number| {
        let record = record.clone();
        tokio::spawn(async move { stream(&record, front, &format!("5d{number:02}")).await })
    });
    let streams: Vec<_> = streams.collect();
    tokio::time::sleep(DOWN_TIME - Duration::from_millis(100)).await;
    let mut restarted = None;
    if trouble {
        let worker =
            Worker::start_version("v2", "i-2", SERVICE, second.address, record.clone(), script);
        let worker = worker.await?;
        record
            .write("worker i-2 is back with version v2; it writes its entry with its next report");
        let (id, entry) = worker.entry();
        let kv = fleet.kv.clone();
        let written = record.clone();
        tokio::spawn(async move {
            tokio::time::sleep(HEARTBEAT).await;
            if Fleet::put_into(&kv, &format!("servers/{id}"), &entry)
                .await
                .is_ok()
            {
                written.write("the entry of worker i-2 names version v2");
            }
        });
        restarted = Some(worker);
    }
    // Requests that begin now, so that fronts find the restarted worker sound.
    for number in 0..2 {
        let record = record.clone();
        tokio::spawn(async move { stream(&record, front, &format!("6e{number:02}")).await });
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    if trouble {
        first.crash();
        record.write("worker i-1 crashes");
    }
    let mut joined = 0;
    for handle in streams {
        joined += usize::from(handle.await?);
    }
    record.write(format!(
        "{joined} of {STREAMS} streams hold events of two versions"
    ));
    drop(restarted);
    fleet.stop().await?;
    Ok(match joined > MAX_JOINED {
        true => joined,
        false => 0,
    })
}

/// Sends one request; returns whether its stream holds events of both versions.
async fn stream(record: &Record, front: std::net::SocketAddr, id: &str) -> bool {
    let headers = [
        ("Attempt-Id", id),
        ("Model", "m"),
        ("Token-Usage", "450,36"),
        ("Prompt-Prefix", "5c1e07a2:200,e4402b7d:250"),
        ("Time-Budget-Ms", "5000"),
    ];
    let request = client::request("POST", "/ask/2f", DESK, &headers, "{}");
    match client::send(front, &request).await {
        Ok(answer) => {
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let data: Vec<&str> = text
                .lines()
                .filter(|line| line.starts_with("data: "))
                .collect();
            let newer = data.iter().filter(|line| line.ends_with("by v2")).count();
            let (all, status) = (data.len(), answer.status);
            record.write(format!(
                "POST /ask/2f {id}: {status}, {all} events, {newer} of them by v2"
            ));
            newer > 0 && newer < all
        }
        Err(err) => {
            record.write(format!("POST /ask/2f {id}: {err}"));
            false
        }
    }
}
