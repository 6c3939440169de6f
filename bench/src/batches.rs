//! A client of batch jobs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use parsleywall::edges::engine::Endpoint;
use parsleywall::http::client::HttpClient;
use parsleywall_standins::engine::expected_answer;
use serde_json::Value;
use serde_json::json;

use crate::history::History;
use crate::history::HistoryEvent;
use crate::history::digest;

const BOUNDARY: &str = "bench-boundary-7d41b8f0";
const CALL_LIMIT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Outcome of a call that got no success.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchCallError {
    /// The host refused the call with this status and body.
    Refused(StatusCode, String),
    /// The connection failed, or no answer came in time.
    Broken(String),
}

impl std::fmt::Display for BatchCallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused(status, body) => write!(f, "refused with {status}: {body}"),
            Self::Broken(cause) => write!(f, "broken: {cause}"),
        }
    }
}

impl From<BatchCallError> for String {
    fn from(err: BatchCallError) -> Self {
        err.to_string()
    }
}

/// A job as its client reads it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobView {
    /// Identifier of the job.
    pub id: String,
    /// State in OpenAI's words.
    pub status: String,
    /// Items that ended, with an answer or an error.
    pub ended: u64,
    /// Files with answers and with errors, where there are any.
    pub files: Vec<String>,
}

impl JobView {
    fn new(body: &Value) -> Self {
        let counts = &body["request_counts"];
        let number = |name: &str| counts[name].as_u64().unwrap_or_default();
        let files = ["output_file_id", "error_file_id"];
        let files = files.into_iter().filter_map(|name| body[name].as_str());
        Self {
            id: body["id"].as_str().unwrap_or_default().to_owned(),
            status: body["status"].as_str().unwrap_or_default().to_owned(),
            ended: number("completed") + number("failed"),
            files: files.map(str::to_owned).collect(),
        }
    }

    /// Whether the state can no longer change.
    pub fn is_final(&self) -> bool {
        ["completed", "cancelled", "failed", "expired"].contains(&self.status.as_str())
    }
}

/// Submits, reads and cancels jobs of one member, and records what it sees.
#[derive(Clone)]
pub struct BatchClient {
    client: HttpClient,
    key: &'static str,
    history: Arc<History>,
}

impl BatchClient {
    /// Returns a client of the member with `key`.
    pub fn new(key: &'static str, history: Arc<History>) -> Self {
        Self {
            client: HttpClient::new(),
            key,
            history,
        }
    }

    /// Uploads `items` and creates a job; its acceptance is recorded.
    pub async fn submit(
        &self,
        host: SocketAddr,
        items: &[Value],
        idempotency_key: Option<&str>,
    ) -> Result<String, BatchCallError> {
        let file = self.upload(host, items).await?;
        let job = self.create(host, &file, idempotency_key).await?;
        self.history.record(HistoryEvent::JobAccepted {
            job: job.clone(),
            items: expected_items(items),
            prompts: items.iter().map(prompt_digest).collect(),
        });
        Ok(job)
    }

    /// Uploads a batch input and returns the file's identifier.
    pub async fn upload(
        &self,
        host: SocketAddr,
        items: &[Value],
    ) -> Result<String, BatchCallError> {
        let mut form = format!(
            "--{BOUNDARY}\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
             --{BOUNDARY}\r\nContent-Disposition: form-data; name=\"file\"; \
             filename=\"items.jsonl\"\r\n\r\n"
        );
        for item in items {
            form.push_str(&item.to_string());
            form.push('\n');
        }
        form.push_str(&format!("\r\n--{BOUNDARY}--\r\n"));
        let kind = format!("multipart/form-data; boundary={BOUNDARY}");
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{host}/v1/files"))
            .header("content-type", kind);
        let body = self.send(request, form.into()).await?;
        identifier(&body)
    }

    /// Creates a job over an uploaded file.
    pub async fn create(
        &self,
        host: SocketAddr,
        file: &str,
        idempotency_key: Option<&str>,
    ) -> Result<String, BatchCallError> {
        let body = json!({
            "input_file_id": file,
            "endpoint": Endpoint::Chat,
            "completion_window": "24h",
        });
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{host}/v1/batches"))
            .header("content-type", "application/json");
        if let Some(key) = idempotency_key {
            request = request.header("idempotency-key", key);
        }
        let body = self.send(request, body.to_string().into()).await?;
        identifier(&body)
    }

    /// Reads a job.
    pub async fn job(&self, host: SocketAddr, job: &str) -> Result<JobView, BatchCallError> {
        let request = Request::builder().uri(format!("http://{host}/v1/batches/{job}"));
        let body = self.send(request, Bytes::new()).await?;
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        Ok(JobView::new(&body))
    }

    /// Cancels a job; success is recorded.
    pub async fn cancel(&self, host: SocketAddr, job: &str) -> Result<JobView, BatchCallError> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{host}/v1/batches/{job}/cancel"));
        let body = self.send(request, Bytes::new()).await?;
        let job = job.to_owned();
        self.history.record(HistoryEvent::CancelAccepted { job });
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        Ok(JobView::new(&body))
    }

    /// Polls the hosts in turn until the job has ended, for `limit` at most.
    pub async fn wait(
        &self,
        hosts: &[SocketAddr],
        job: &str,
        limit: Duration,
    ) -> Result<JobView, String> {
        let polls = limit.as_millis() / POLL_INTERVAL.as_millis();
        let mut last = String::new();
        for poll in 0..polls as usize {
            match self.job(hosts[poll % hosts.len()], job).await {
                Ok(view) if view.is_final() => {
                    self.history.record(HistoryEvent::JobEnded {
                        job: job.to_owned(),
                        state: view.status.clone(),
                    });
                    return Ok(view);
                }
                Ok(view) => last = format!("{} with {} items ended", view.status, view.ended),
                Err(err) => last = err.to_string(),
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(format!("{job} did not end: {last}"))
    }

    /// Reads the whole output of a job that has ended into the history.
    pub async fn read_output(&self, host: SocketAddr, job: &JobView) -> Result<(), BatchCallError> {
        let mut contents = Vec::new();
        for file in &job.files {
            let request = Request::builder().uri(format!("http://{host}/v1/files/{file}/content"));
            contents.push(self.send(request, Bytes::new()).await?);
        }
        for content in contents {
            self.history.record_results(&job.id, &content);
        }
        let job = job.id.clone();
        self.history.record(HistoryEvent::OutputRead { job });
        Ok(())
    }

    async fn send(
        &self,
        request: http::request::Builder,
        body: Bytes,
    ) -> Result<Bytes, BatchCallError> {
        let broken = |err: &dyn std::fmt::Display| BatchCallError::Broken(err.to_string());
        let request = request
            .header("authorization", format!("Bearer {}", self.key))
            .body(Full::new(body))
            .map_err(|err| broken(&err))?;
        let call = async {
            let response = self
                .client
                .send(request)
                .await
                .map_err(|err| broken(&err))?;
            let status = response.status();
            let body = response.into_body().collect().await;
            let body = body.map_err(|err| broken(&err))?.to_bytes();
            match status.is_success() {
                true => Ok(body),
                false => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    Err(BatchCallError::Refused(status, text))
                }
            }
        };
        match tokio::time::timeout(CALL_LIMIT, call).await {
            Ok(outcome) => outcome,
            Err(_) => Err(BatchCallError::Broken("no answer in time".to_owned())),
        }
    }
}

/// The answers that a job over `items` must give.
pub fn expected_items(items: &[Value]) -> BTreeMap<String, Option<u64>> {
    let expected = items.iter().map(|item| {
        let tokens = item["body"]["max_tokens"].as_u64().unwrap_or_default();
        let answer = expected_answer(&item["body"], Endpoint::Chat, tokens);
        let id = item["custom_id"].as_str().unwrap_or_default().to_owned();
        (id, Some(digest(&answer)))
    });
    expected.collect()
}

/// Digest of an item's prompt, as the engines' stand-in computes it.
pub fn prompt_digest(item: &Value) -> u64 {
    digest(&item["body"]["messages"].to_string())
}

fn identifier(body: &[u8]) -> Result<String, BatchCallError> {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    match body["id"].as_str() {
        Some(id) => Ok(id.to_owned()),
        None => Err(BatchCallError::Broken("an answer without id".to_owned())),
    }
}
