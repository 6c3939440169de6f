//! Clients with batch jobs: they submit, resend, read from any position at any front, and end some.

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
use crate::content;
use crate::fleet::SoakFleet;
use crate::history::SoakHistory;

const CALL_TIME: Duration = Duration::from_secs(4);
const SUBMIT_TRIES: usize = 8;
const SUBMIT_PAUSE: Duration = Duration::from_millis(400);
const READ_PAUSE: Duration = Duration::from_millis(500);
const ITEMS: std::ops::Range<usize> = 2..14;
/// One job in so many is ended by its client.
const END_ONE_IN: u32 = 8;
/// One read in so many begins at an earlier position.
const REREAD_ONE_IN: u32 = 5;
/// Time after which an ended job's items must not begin.
pub const CANCEL_TIME: Duration = Duration::from_secs(3);

/// A batch job as its client knows it.
#[derive(Clone, Debug, Default)]
pub struct LotRecord {
    /// Identifier.
    pub id: String,
    /// Identifiers of its items.
    pub items: Vec<String>,
    /// When a 202 came first.
    pub accepted: Option<Duration>,
    /// Whether all tries to submit it were answered with 429 or 503.
    pub refused: bool,
    /// When the end that its client asked for was acknowledged.
    pub ended: Option<Duration>,
    /// Whether an end was asked for, acknowledged or not.
    pub end_sent: bool,
    /// Results by position.
    pub results: Vec<LotResult>,
}

impl LotRecord {
    /// Whether each item is listed.
    pub fn is_complete(&self) -> bool {
        self.results.len() == self.items.len()
    }
}

/// A listed result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LotResult {
    /// Identifier of the item.
    pub id: String,
    /// `done` or `dead_letter`.
    pub state: String,
    /// Data of the events, joined by line feeds.
    pub output: String,
}

/// A client with one batch job.
pub struct LotClient {
    fleet: Arc<SoakFleet>,
    history: SoakHistory,
    rng: StdRng,
    lot: LotRecord,
}

impl LotClient {
    /// Returns the client of job `number` of the run with `seed`.
    pub fn new(number: u64, seed: u64, fleet: Arc<SoakFleet>, history: SoakHistory) -> Self {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(31) + number);
        let count = rng.random_range(ITEMS);
        let id = format!("lot-{seed}-{number}");
        let items = (0..count).map(|item| format!("{}-{id}-{item}", content::ITEM_PREFIX));
        let lot = LotRecord {
            items: items.collect(),
            id,
            ..LotRecord::default()
        };
        Self {
            fleet,
            history,
            rng,
            lot,
        }
    }

    /// Submits the job and reads its results until all are listed, it is ended, or `end` comes.
    pub async fn run(mut self, end: CancellationToken) -> LotRecord {
        self.submit().await;
        if self.lot.accepted.is_none() {
            return self.lot;
        }
        let ends = self.rng.random_ratio(1, END_ONE_IN);
        let mut reads_left = if ends { self.rng.random_range(0..6) } else { 0 };
        while !end.is_cancelled() && !self.lot.is_complete() {
            tokio::time::sleep(READ_PAUSE).await;
            if ends && reads_left == 0 {
                self.end_job().await;
                return self.lot;
            }
            reads_left = usize::saturating_sub(reads_left, 1);
            self.read_next().await;
        }
        self.lot
    }

    async fn submit(&mut self) {
        let items: Vec<Value> = self.lot.items.iter().map(|id| item(id)).collect();
        let body = json!({ "items": items }).to_string();
        let path = format!("/lot/{}", self.lot.id);
        self.lot.refused = true;
        for _ in 0..SUBMIT_TRIES {
            let answer = self.call(Method::POST, &path, &body).await;
            match answer.map(|answer| answer.0) {
                Some(StatusCode::ACCEPTED) => {
                    self.lot.accepted = Some(self.history.now());
                    self.lot.refused = false;
                    return;
                }
                Some(StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => {}
                Some(status) if status.is_client_error() => {
                    let detail = format!("{} was answered {status}", self.lot.id);
                    self.history.note_broken("DENIED", &detail);
                    self.lot.refused = false;
                }
                _ => self.lot.refused = false,
            }
            tokio::time::sleep(SUBMIT_PAUSE).await;
        }
    }

    async fn end_job(&mut self) {
        let path = format!("/lots/{}", self.lot.id);
        self.lot.end_sent = true;
        for _ in 0..SUBMIT_TRIES {
            if let Some((StatusCode::OK, _)) = self.call(Method::DELETE, &path, "").await {
                self.lot.ended = Some(self.history.now());
                return;
            }
            tokio::time::sleep(SUBMIT_PAUSE).await;
        }
    }

    async fn read_next(&mut self) {
        let known = self.lot.results.len();
        let after = match known > 0 && self.rng.random_ratio(1, REREAD_ONE_IN) {
            true => self.rng.random_range(0..known),
            false => known,
        };
        let path = format!("/lots/{}?after={after}", self.lot.id);
        let asked = self.history.now();
        match self.call(Method::GET, &path, "").await {
            Some((StatusCode::OK, body)) => self.take_results(after, &body),
            Some((status @ (StatusCode::NOT_FOUND | StatusCode::GONE), _)) => {
                self.note_missing(status, asked);
            }
            _ => {}
        }
    }

    /// Checks a page of results, which begins at position `after`, against what was read before.
    fn take_results(&mut self, after: usize, body: &[u8]) {
        let page: Value = serde_json::from_slice(body).unwrap_or_default();
        if page["total"].as_u64() != Some(self.lot.items.len() as u64) {
            let detail = format!("total of {} is {}", self.lot.id, page["total"]);
            self.history.note_broken("MIXED", &detail);
        }
        let rows = page["results"].as_array().cloned().unwrap_or_default();
        for (offset, row) in rows.iter().enumerate() {
            let text = |name: &str| row[name].as_str().unwrap_or_default().to_owned();
            let result = LotResult {
                id: text("id"),
                state: text("state"),
                output: text("output"),
            };
            self.take_result(after + offset, result);
        }
    }

    fn take_result(&mut self, position: usize, result: LotResult) {
        let lot = &mut self.lot;
        let id = lot.id.clone();
        match lot.results.get(position) {
            Some(known) if *known == result => return,
            Some(known) => {
                let detail = format!("{id} at {position}: {known:?}, then {result:?}");
                return self.history.note_broken("TWICE", &detail);
            }
            None => {}
        }
        if lot.results.iter().any(|known| known.id == result.id) {
            let detail = format!("{} of {id} is listed at two positions", result.id);
            self.history.note_broken("TWICE", &detail);
        }
        if !lot.items.contains(&result.id) {
            let detail = format!("{id} lists {}, which is none of its items", result.id);
            self.history.note_broken("MIXED", &detail);
        }
        let whole = result.output == content::whole_output(&result.id);
        let is_right = match result.state.as_str() {
            "done" => whole && !content::is_poison(&result.id),
            _ => true,
        };
        if !is_right {
            let detail = format!("{} is done with {:?}", result.id, result.output);
            self.history.note_broken("MIXED", &detail);
        }
        lot.results.push(result);
    }

    fn note_missing(&self, status: StatusCode, asked: Duration) {
        let detail = format!("{} was read as {status}", self.lot.id);
        let accepted = self.lot.accepted.unwrap_or_default();
        let late = asked >= accepted + Duration::from_secs(1);
        let records = self.history.records();
        if late && crate::check::is_calm(&records.faults, asked, self.history.now()) {
            self.history.note_broken("LOST", &detail);
        }
    }

    /// One call at a front drawn at random, on a new connection.
    async fn call(
        &mut self,
        method: Method,
        path: &str,
        body: &str,
    ) -> Option<(StatusCode, Bytes)> {
        let front = self.rng.random_range(0..self.fleet.fronts.len());
        let request = callers::request(method, path, body.to_owned())
            .header("attempt-id", &self.lot.id)
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
        tokio::time::timeout(CALL_TIME, exchange).await.ok()?
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
