//! Batch jobs of plays: submitted, read at any front, and sent once more.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use crate::content;
use crate::fleet::SoakFleet;
use crate::history::SoakHistory;
use crate::jobs::ItemResult;
use crate::jobs::JobRecord;
use crate::play_clients;

const READ_INTERVAL: Duration = Duration::from_millis(250);

/// The batch jobs of a play, and what their client saw.
pub struct PlayJobs {
    fleet: Arc<SoakFleet>,
    history: SoakHistory,
    /// What was submitted and read.
    pub jobs: Vec<JobRecord>,
    /// Reads of jobs that were answered with 404.
    pub not_found: usize,
    /// Rules that results broke, one line each.
    pub broken: Vec<String>,
}

impl PlayJobs {
    /// Returns a client without jobs.
    pub fn new(fleet: Arc<SoakFleet>, history: SoakHistory) -> Self {
        Self {
            fleet,
            history,
            jobs: Vec::new(),
            not_found: 0,
            broken: Vec::new(),
        }
    }

    /// Submits `count` jobs of `items` items that take `seconds` each, all at the first front that accepts
    /// them.
    pub async fn submit(
        &mut self,
        count: usize,
        items: usize,
        seconds: u64,
    ) -> std::io::Result<()> {
        for number in 0..count {
            let id = format!("lot-{number}");
            let ids = (0..).map(|item| {
                let name = format!("{}-{id}-{item}", content::ITEM_PREFIX);
                content::lasting(&name, seconds)
            });
            let ids = ids.filter(|id| !content::is_poison(id)).take(items);
            let mut job = JobRecord {
                items: ids.collect(),
                id,
                ..JobRecord::default()
            };
            for front in 0..self.fleet.fronts.len() {
                if job.accepted_at.is_none() && self.send(&job, front).await {
                    job.accepted_at = Some(self.history.now());
                }
            }
            if job.accepted_at.is_none() {
                let refused = format!("no front accepts {}", job.id);
                return Err(std::io::Error::other(refused));
            }
            self.jobs.push(job);
        }
        Ok(())
    }

    /// Submits each job once more at `front`; returns how many are answered as accepted.
    pub async fn send_again(&self, front: usize) -> usize {
        let mut accepted = 0;
        for job in &self.jobs {
            accepted += usize::from(self.send(job, front).await);
        }
        accepted
    }

    async fn send(&self, job: &JobRecord, front: usize) -> bool {
        let items = job.items.iter().map(|id| play_clients::item(id));
        let items: Vec<Value> = items.collect();
        let body = json!({ "items": items }).to_string();
        let path = format!("/lot/{}", job.id);
        let call = play_clients::call(&self.fleet, front, Method::POST, &path, &job.id, body);
        matches!(call.await, Some((StatusCode::ACCEPTED, _)))
    }

    /// Reads all jobs at the fronts in turn until they are complete or `deadline`.
    pub async fn read_until(&mut self, deadline: Instant) {
        let mut front = 0;
        while Instant::now() < deadline && !self.jobs.iter().all(JobRecord::is_complete) {
            tokio::time::sleep(READ_INTERVAL).await;
            front = (front + 1) % self.fleet.fronts.len();
            self.read(front).await;
        }
    }

    /// Reads the results of each job from the first one on at `front`.
    pub async fn read(&mut self, front: usize) {
        for job in &mut self.jobs {
            let path = format!("/lots/{}?after=0", job.id);
            let call = play_clients::call(
                &self.fleet,
                front,
                Method::GET,
                &path,
                &job.id,
                String::new(),
            );
            match call.await {
                Some((StatusCode::OK, body)) => {
                    let page: Value = serde_json::from_slice(&body).unwrap_or_default();
                    let rows = page["results"].as_array().cloned().unwrap_or_default();
                    for (position, row) in rows.iter().enumerate() {
                        let broken = job.note_result(position, ItemResult::from_row(row));
                        let broken = broken.into_iter();
                        let lines = broken.map(|(rule, detail)| format!("{rule}: {detail}"));
                        self.broken.extend(lines);
                    }
                }
                Some((StatusCode::NOT_FOUND, _)) => self.not_found += 1,
                _ => {}
            }
            if job.is_complete() && job.completed_at.is_none() {
                job.completed_at = Some(self.history.now());
            }
        }
    }

    /// Number of items that are listed as done.
    pub fn done(&self) -> usize {
        let results = self.jobs.iter().flat_map(|job| &job.results);
        results.filter(|result| result.state == "done").count()
    }
}
