//! Clients with batch jobs: they submit and resubmit, read results from any position through any
//! front, and cancel some jobs.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::Method;
use http::StatusCode;
use http_body_util::BodyExt;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::callers;
use crate::check;
use crate::content;
use crate::fleet::SoakFleet;
use crate::history::Records;
use crate::history::SoakHistory;
use crate::job_reads::JobReads;
use crate::job_reads::ReadPage;
use crate::plan::FIRST_DOUBLED_SEED;
use crate::plan::FIRST_FAILING_SEED;
use crate::plan::FIRST_LATE_SEED;
use crate::plan::FIRST_STALE_SEED;
use crate::tenants;

const CALL_TIMEOUT: Duration = Duration::from_secs(4);
const SUBMIT_ATTEMPTS: usize = 8;
const SUBMIT_RETRY_DELAY: Duration = Duration::from_millis(400);
const READ_INTERVAL: Duration = Duration::from_millis(500);
const ITEM_COUNT: std::ops::Range<usize> = 2..14;
/// Before one in this many reads, another tenant calls.
const OTHER_TENANT_ONE_IN: u32 = 3;
/// One in this many jobs is cancelled by its client.
const CANCEL_ONE_IN: u32 = 8;
/// One in this many reads repeats results that the client has, from an earlier position.
const REREAD_ONE_IN: u32 = 5;
/// Time from the end of a job until it is submitted once more; within the time for which results stay
/// readable.
const SEND_AGAIN_MS: std::ops::Range<u64> = 500..75_000;
const READS_AGAIN: usize = 4;
/// Number of the items of half of the jobs from [`FIRST_LATE_SEED`] on, and the seconds that each takes.
const LASTING_ITEM_COUNT: std::ops::Range<usize> = 10..30;
const LASTING_ITEM_S: u64 = 1;
/// One in this many jobs from [`FIRST_STALE_SEED`] on is ended by its client while its first items run, after so many
/// reads. An owner that is not told of the end finds it when they are done.
const ENDED_ONE_IN: u32 = 4;
const ENDED_ITEM_COUNT: usize = 40;
const ENDED_ITEM_S: u64 = 9;
const READS_BEFORE_END: std::ops::Range<usize> = 8..13;
/// Time after an acknowledged cancellation from which no item of the job may begin to execute.
pub const CANCEL_EFFECT_TIME: Duration = Duration::from_secs(3);

/// What the client of a batch job submitted and observed.
#[derive(Clone, Debug, Default)]
pub struct JobRecord {
    /// Identifier of the job.
    pub id: String,
    /// Identifiers of the job's items.
    pub items: Vec<String>,
    /// When the submission was first answered with 202; absent while it was not accepted.
    pub accepted_at: Option<Duration>,
    /// Whether every attempt to submit the job was answered with 429 or 503.
    pub refused: bool,
    /// When the client's cancellation was acknowledged, if it was.
    pub cancelled_at: Option<Duration>,
    /// Whether the client sent a cancellation, acknowledged or not.
    pub cancel_sent: bool,
    /// Results in the order of the listing, which must never change.
    pub results: Vec<ItemResult>,
    /// When the client had read the results of all items, if it did.
    pub completed_at: Option<Duration>,
}

impl JobRecord {
    /// Whether a result of every item is listed.
    pub fn is_complete(&self) -> bool {
        self.distinct_results() == self.items.len()
    }

    /// Number of the job's items that have a result.
    pub fn distinct_results(&self) -> usize {
        let listed: BTreeSet<&str> = self.results.iter().map(|one| one.id.as_str()).collect();
        let listed = self.items.iter().filter(|id| listed.contains(id.as_str()));
        listed.count()
    }

    /// Number of items that began to run after the job had been read as complete.
    pub fn run_again(&self, records: &Records) -> usize {
        let Some(completed_at) = self.completed_at else {
            return 0;
        };
        let runs_again = |item: &&String| {
            let mut runs = records.executions.iter();
            runs.any(|run| run.id == **item && run.began_at > completed_at)
        };
        self.items.iter().filter(runs_again).count()
    }

    /// Notes the result that a page lists at `position`; returns the rules that it breaks, and by what.
    pub fn note_result(
        &mut self,
        position: usize,
        result: ItemResult,
    ) -> Vec<(&'static str, String)> {
        let id = &self.id;
        match self.results.get(position) {
            Some(known) if *known == result => return Vec::new(),
            Some(known) => {
                let detail = format!("{id} at {position}: {known:?}, then {result:?}");
                return vec![("TWICE", detail)];
            }
            None => {}
        }
        let mut broken = Vec::new();
        if self.results.iter().any(|known| known.id == result.id) {
            let detail = format!("{} of {id} is listed at two positions", result.id);
            broken.push(("TWICE", detail));
        }
        if !self.items.contains(&result.id) {
            let detail = format!("{id} lists {}, which is none of its items", result.id);
            broken.push(("MIXED", detail));
        }
        let versions = content::versions(&result.output);
        if versions.len() > 1 {
            let detail = format!("{} is joined from {versions:?}", result.id);
            broken.push(("ORDER", detail));
        }
        let version = versions.first().copied().unwrap_or_default();
        let whole = result.output == content::whole_output(&result.id, version);
        let is_right = match result.state.as_str() {
            "done" => whole && !content::is_poison(&result.id) && !content::is_failing(&result.id),
            _ => true,
        };
        if !is_right {
            let detail = format!("{} is done with {:?}", result.id, result.output);
            broken.push(("MIXED", detail));
        }
        self.results.push(result);
        broken
    }
}

/// Result of one item, as a page of results listed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemResult {
    /// Identifier of the item.
    pub id: String,
    /// State of the item: `done` or `dead_letter`.
    pub state: String,
    /// Data of the answer's events, joined by line feeds.
    pub output: String,
}

impl ItemResult {
    /// Returns the result that `row` of a page of results holds.
    pub fn from_row(row: &Value) -> Self {
        let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
        Self {
            id: text("id"),
            state: text("state"),
            output: text("output"),
        }
    }
}

/// A client that submits one batch job and reads its results.
pub struct JobClient {
    fleet: Arc<SoakFleet>,
    history: SoakHistory,
    rng: StdRng,
    job: JobRecord,
    /// Whether its client ends the job.
    is_ended: bool,
    /// Whether the job is submitted once more after its end.
    sends_again: bool,
    /// Whether the job is read at all fronts to its end.
    reads_everywhere: bool,
}

impl JobClient {
    /// Returns the client of job `number` of the run with `seed`.
    pub fn new(number: u64, seed: u64, fleet: Arc<SoakFleet>, history: SoakHistory) -> Self {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(31) + number);
        let count = rng.random_range(ITEM_COUNT);
        let id = format!("lot-{seed}-{number}");
        let is_late = seed >= FIRST_LATE_SEED;
        let is_special = is_late && rng.random_ratio(1, 2);
        let fails = is_special && seed >= FIRST_FAILING_SEED;
        let is_ended = seed >= FIRST_STALE_SEED && rng.random_ratio(1, ENDED_ONE_IN);
        let lasts = is_special && !fails;
        let count = match (is_ended, lasts) {
            (true, _) => ENDED_ITEM_COUNT,
            (false, true) => rng.random_range(LASTING_ITEM_COUNT),
            (false, false) => count,
        };
        let items = (0..count).map(|item| {
            let name = format!("{}-{id}-{item}", content::ITEM_PREFIX);
            match (lasts, fails) {
                _ if is_ended => content::lasting(&name, ENDED_ITEM_S),
                (true, _) => content::lasting(&name, LASTING_ITEM_S),
                (_, true) => content::failing(&name),
                _ => name,
            }
        });
        let job = JobRecord {
            items: items.collect(),
            id,
            ..JobRecord::default()
        };
        Self {
            fleet,
            history,
            is_ended,
            rng,
            job,
            sends_again: (FIRST_DOUBLED_SEED..FIRST_LATE_SEED).contains(&seed),
            reads_everywhere: is_late,
        }
    }

    /// Submits the job and reads its results until all are listed, the client cancels the job, or
    /// `end` is cancelled.
    pub async fn run(mut self, end: CancellationToken) -> JobRecord {
        self.submit().await;
        if self.job.accepted_at.is_none() {
            return self.job;
        }
        let cancels = self.rng.random_ratio(1, CANCEL_ONE_IN) || self.is_ended;
        let mut reads_left = match (self.is_ended, cancels) {
            (true, _) => self.rng.random_range(READS_BEFORE_END),
            (false, true) => self.rng.random_range(0..6),
            (false, false) => 0,
        };
        while !end.is_cancelled() && !self.job.is_complete() {
            tokio::time::sleep(READ_INTERVAL).await;
            if self.fleet.has_tenants() && self.rng.random_ratio(1, OTHER_TENANT_ONE_IN) {
                self.call_as_other_tenant().await;
            }
            if cancels && reads_left == 0 {
                self.cancel_job().await;
                return self.job;
            }
            reads_left = usize::saturating_sub(reads_left, 1);
            self.read_next().await;
        }
        if self.reads_everywhere && self.job.is_complete() {
            self.read_everywhere(&end).await;
        }
        if self.sends_again && self.job.is_complete() {
            end.run_until_cancelled(self.send_again()).await;
        }
        self.job
    }

    /// Reads the complete job at all fronts, from any position, until each has listed it to its end and it
    /// is closed in the store, or `end` is cancelled.
    async fn read_everywhere(&mut self, end: &CancellationToken) {
        let fronts = self.fleet.fronts.len();
        let mut reads = JobReads::new(self.job.clone(), fronts);
        while !end.is_cancelled() && !reads.is_read() {
            for front in 0..fronts {
                let after = match self.rng.random_bool(0.5) {
                    true => 0,
                    false => self.rng.random_range(0..=self.job.items.len()),
                };
                let path = format!("/lots/{}?after={after}", self.job.id);
                let sent = self.history.now();
                let answer = self.call_at(front, Method::GET, &path, "").await;
                if let Some((StatusCode::OK, body)) = answer {
                    let page = ReadPage::from_body(front, after, &body, sent);
                    reads.note_page(page, self.history.now());
                }
            }
            let now = self.history.now();
            let calm_since = check::calm_since(&self.history.records().faults, now);
            reads.note_open(&self.fleet.kv, calm_since, now);
            tokio::time::sleep(READ_INTERVAL).await;
        }
        reads.conclude(&self.fleet.kv, self.history.now());
        for line in &reads.broken {
            let (rule, detail) = line.split_once(": ").unwrap_or(("MIXED", line));
            self.history.record_violation(rule, detail);
        }
    }

    /// Submits the complete job once more after a while, and reads its results again.
    async fn send_again(&mut self) {
        let pause = self.rng.random_range(SEND_AGAIN_MS);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        self.post().await;
        for _ in 0..READS_AGAIN {
            tokio::time::sleep(READ_INTERVAL).await;
            self.read_next().await;
        }
    }

    async fn submit(&mut self) {
        self.job.refused = true;
        for _ in 0..SUBMIT_ATTEMPTS {
            match self.post().await {
                Some(StatusCode::ACCEPTED) => {
                    self.job.accepted_at = Some(self.history.now());
                    self.job.refused = false;
                    return;
                }
                Some(StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => {}
                Some(status) if status.is_client_error() => {
                    let detail = format!("{} was answered {status}", self.job.id);
                    self.history.record_violation("DENIED", &detail);
                    self.job.refused = false;
                }
                _ => self.job.refused = false,
            }
            tokio::time::sleep(SUBMIT_RETRY_DELAY).await;
        }
    }

    /// Sends the job to a random front; returns the status of the answer, if one came.
    async fn post(&mut self) -> Option<StatusCode> {
        let items: Vec<Value> = self.job.items.iter().map(|id| item(id)).collect();
        let body = json!({ "items": items }).to_string();
        let path = format!("/lot/{}", self.job.id);
        let answer = self.call(Method::POST, &path, &body).await;
        answer.map(|answer| answer.0)
    }

    /// Reads, ends or submits the job with the key of another tenant, which must have no effect.
    async fn call_as_other_tenant(&mut self) {
        let id = self.job.id.clone();
        let items: Vec<Value> = self.job.items.iter().map(|id| item(id)).collect();
        let (method, path, body) = match self.rng.random_range(0..4) {
            0 => (Method::GET, format!("/lots/{id}?after=0"), String::new()),
            1 => {
                let path = format!("/items/{id}?id={}", self.job.items[0]);
                (Method::GET, path, String::new())
            }
            2 => (Method::DELETE, format!("/lots/{id}"), String::new()),
            _ => {
                let body = json!({ "items": items[..1] }).to_string();
                (Method::POST, format!("/lot/{id}"), body)
            }
        };
        let front = self.rng.random_range(0..self.fleet.fronts.len());
        let other = tenants::other_tenant(&id);
        let called = method.clone();
        let answer = self.call_as(other, front, method, &path, &body).await;
        if let Some((status, _)) = answer
            && !tenants::is_refusal(status)
        {
            let detail = format!("{called} {path} by another tenant was answered {status}");
            self.history.record_violation("UNASKED", &detail);
        }
    }

    async fn cancel_job(&mut self) {
        let path = format!("/lots/{}", self.job.id);
        self.job.cancel_sent = true;
        for _ in 0..SUBMIT_ATTEMPTS {
            if let Some((StatusCode::OK, _)) = self.call(Method::DELETE, &path, "").await {
                self.job.cancelled_at = Some(self.history.now());
                return;
            }
            tokio::time::sleep(SUBMIT_RETRY_DELAY).await;
        }
    }

    async fn read_next(&mut self) {
        let known = self.job.results.len();
        let after = match known > 0 && self.rng.random_ratio(1, REREAD_ONE_IN) {
            true => self.rng.random_range(0..known),
            false => known,
        };
        let path = format!("/lots/{}?after={after}", self.job.id);
        let sent = self.history.now();
        match self.call(Method::GET, &path, "").await {
            Some((StatusCode::OK, body)) => self.check_page(after, &body),
            Some((status @ (StatusCode::NOT_FOUND | StatusCode::GONE), _)) => {
                self.check_missing(status, sent);
            }
            _ => {}
        }
    }

    /// Checks a page of results, which begins at position `after`, against the results read before.
    fn check_page(&mut self, after: usize, body: &[u8]) {
        let page: Value = serde_json::from_slice(body).unwrap_or_default();
        if page["total"].as_u64() != Some(self.job.items.len() as u64) {
            let detail = format!("total of {} is {}", self.job.id, page["total"]);
            self.history.record_violation("MIXED", &detail);
        }
        let rows = page["results"].as_array().cloned().unwrap_or_default();
        for (offset, row) in rows.iter().enumerate() {
            let result = ItemResult::from_row(row);
            for (rule, detail) in self.job.note_result(after + offset, result) {
                self.history.record_violation(rule, &detail);
            }
        }
        if self.job.is_complete() && self.job.completed_at.is_none() {
            self.job.completed_at = Some(self.history.now());
        }
    }

    fn check_missing(&self, status: StatusCode, sent: Duration) {
        let detail = format!("{} was read as {status}", self.job.id);
        let accepted_at = self.job.accepted_at.unwrap_or_default();
        let late = sent >= accepted_at + Duration::from_secs(1);
        let records = self.history.records();
        if late && crate::check::is_undisturbed(&records.faults, sent, self.history.now()) {
            self.history.record_violation("LOST", &detail);
        }
    }

    /// Sends one request to a random front on a new connection; returns nothing if it fails or
    /// times out.
    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: &str,
    ) -> Option<(StatusCode, Bytes)> {
        let front = self.rng.random_range(0..self.fleet.fronts.len());
        self.call_at(front, method, path, body).await
    }

    /// As [`JobClient::call`], at `front`.
    async fn call_at(
        &self,
        front: usize,
        method: Method,
        path: &str,
        body: &str,
    ) -> Option<(StatusCode, Bytes)> {
        let tenant = tenants::tenant_of(&self.job.id);
        self.call_as(tenant, front, method, path, body).await
    }

    /// As [`JobClient::call_at`], with the key of `tenant`.
    async fn call_as(
        &self,
        tenant: &str,
        front: usize,
        method: Method,
        path: &str,
        body: &str,
    ) -> Option<(StatusCode, Bytes)> {
        let request = callers::request(method, path, body.to_owned());
        let request = tenants::with_tenant(request, tenant)
            .header("attempt-id", &self.job.id)
            .header("content-type", "application/json")
            .header("max-wait-ms", "1000")
            .body(Bytes::from(body.to_owned()).into())
            .ok()?;
        let exchange = async {
            let mut sender = callers::connect(&self.fleet, front).await?;
            let response = sender.send_request(request).await.ok()?;
            let status = response.status();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            Some((status, body))
        };
        tokio::time::timeout(CALL_TIMEOUT, exchange).await.ok()?
    }
}

fn item(id: &str) -> Value {
    json!({
        "id": id,
        "path": format!("/lot/{id}"),
        "headers": { "Model": "m", "Token-Usage": "100,60", "Prompt-Prefix": "ef:100" },
        "body": STANDARD.encode(content::body(id)),
        "tokens": 160,
    })
}
