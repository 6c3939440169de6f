//! Connections to the store on which a watch waits go silent at one front; then the manifest changes.

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

/// `stableMs` of the settings.
const STABLE: Duration = Duration::from_millis(3_000);
/// `configMs` of the settings.
const CONFIG_TIME: Duration = Duration::from_millis(2_000);
const OLD: &str = "desk-old";
const NEW: &str = "desk-new";

pub async fn play(record: Record, trouble: bool) -> Result<usize, CaseError> {
    let script: Script = Arc::new(|_: &Received| Act::Stream {
        events: 5,
        interval: Duration::from_millis(10),
    });
    let mut workers = Vec::new();
    for (id, service) in [
        ("i-old-1", OLD),
        ("i-old-2", OLD),
        ("i-new-1", NEW),
        ("i-new-2", NEW),
    ] {
        workers.push(Worker::start(id, service, record.clone(), script.clone()).await?);
    }
    let entries: Vec<_> = workers.iter().map(Worker::entry).collect();
    let first = manifest(7, &[ask_route(OLD, 5000)], &[OLD, NEW]);
    let mut fleet = Fleet::start(record.clone(), 3, &first, &entries).await?;
    for number in 0..fleet.fronts.len() {
        if ask(&fleet, number, "before").await.as_deref() != Some(OLD) {
            return Err("a request was not served before the change".into());
        }
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    if trouble {
        let (silent, open) = fleet.fronts[0].link.silence_waiting();
        record.write(format!(
            "front 0: {silent} of {open} open connections to the store go silent; new ones work"
        ));
    }
    tokio::time::sleep(STABLE * 2).await;
    let second = manifest(9, &[ask_route(NEW, 5000)], &[OLD, NEW]);
    fleet.put("op/config", &second).await?;
    record.write("version 9 is acknowledged: /ask/ leads to desk-new");
    tokio::time::sleep(CONFIG_TIME + Duration::from_millis(500)).await;
    let mut broken = 0;
    for step in 0..20 {
        for number in 0..fleet.fronts.len() {
            let service = ask(&fleet, number, &format!("after{step}")).await;
            broken += usize::from(service.as_deref() == Some(OLD));
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    fleet.stop().await?;
    Ok(broken)
}

/// Sends a request to a front; returns the service that ran it, as the worker's receipt tells.
async fn ask(fleet: &Fleet, number: usize, name: &str) -> Option<String> {
    let id = format!("c{number}{name}");
    let headers = [
        ("Attempt-Id", id.as_str()),
        ("Model", "m"),
        ("Token-Usage", "450,36"),
        ("Prompt-Prefix", "5c1e07a2:200,e4402b7d:250"),
        ("Time-Budget-Ms", "5000"),
    ];
    let request = client::request("POST", "/ask/2f", DESK, &headers, "{}");
    let answer = client::send(fleet.fronts[number].callers(), &request).await;
    let service = match &answer {
        Ok(answer) => match answer.header("response-seal") {
            Some(seal) if seal.starts_with("i-old") => Some(OLD.to_owned()),
            Some(seal) if seal.starts_with("i-new") => Some(NEW.to_owned()),
            _ => None,
        },
        Err(_) => None,
    };
    let status = answer.map(|answer| answer.status);
    fleet.record.write(format!(
        "front {number}: POST /ask/2f {id}: {status:?}, run by {service:?}"
    ));
    service
}
