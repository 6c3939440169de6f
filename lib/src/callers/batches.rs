//! Creation, listing, results and cancellation of batch jobs.

use http::HeaderMap;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;

use crate::batch::JobRequest;
use crate::batch::JobSubmission;
use crate::callers::request::read_json;
use crate::callers::router::CallerApi;
use crate::callers::router::CallerRequest;
use crate::counters::RefusalReason;
use crate::http::reply::Reply;
use crate::http::reply::json_reply;
use crate::ids::JobId;
use crate::refusal::Refusal;

/// Header with a key by which a resent submission is recognised, so that it creates no second job.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const MAX_KEY_BYTES: usize = 256;
/// Number of results in a page without `?limit=`.
const DEFAULT_PAGE_RESULTS: usize = 100;

impl CallerApi {
    /// Creates a job, or returns the existing one with the same idempotency key.
    pub(crate) async fn create_batch(&self, request: CallerRequest) -> Result<Reply, Refusal> {
        let body: JobRequest =
            read_json(&request.parts.headers, request.body, &self.bodies).await?;
        let submission = JobSubmission {
            request: body,
            idempotency_key: idempotency_key(&request.parts.headers)?,
        };
        let job = self
            .batch
            .create_job(&request.terms.name, submission)
            .await?;
        Ok(json_reply(StatusCode::OK, &job.body()))
    }

    /// Returns the state of a job.
    pub(crate) async fn batch(&self, request: &CallerRequest, id: &str) -> Result<Reply, Refusal> {
        let job = self.batch.job(&request.terms.name, &JobId::new(id)).await?;
        Ok(json_reply(StatusCode::OK, &job.body()))
    }

    /// Returns a page of committed results in commit order, starting after the cursor `?after=`.
    pub(crate) async fn batch_results(
        &self,
        request: &CallerRequest,
        id: &str,
    ) -> Result<Reply, Refusal> {
        let query = request.parts.uri.query().unwrap_or_default();
        let after = query_number(query, "after")?.unwrap_or(0);
        let limit =
            query_number(query, "limit")?.map_or(DEFAULT_PAGE_RESULTS, |limit| limit as usize);
        let page = self
            .batch
            .results(&request.terms.name, &JobId::new(id), after, limit)
            .await?;
        let data: Vec<Value> = page
            .results
            .iter()
            .map(|result| serde_json::from_str(&result.line).unwrap_or(Value::Null))
            .collect();
        let body = json!({
            "object": "list",
            "data": data,
            "after": page.cursor,
            "has_more": page.more,
        });
        Ok(json_reply(StatusCode::OK, &body))
    }

    /// Lists the workspace's jobs, newest first.
    pub(crate) async fn list_batches(&self, request: &CallerRequest) -> Result<Reply, Refusal> {
        let jobs = self.batch.jobs(&request.terms.name).await?;
        let data: Vec<_> = jobs.iter().map(|job| job.body()).collect();
        let body = json!({
            "object": "list",
            "data": data,
            "first_id": jobs.first().map(|job| &job.id),
            "last_id": jobs.last().map(|job| &job.id),
            "has_more": false,
        });
        Ok(json_reply(StatusCode::OK, &body))
    }

    /// Cancels a job and returns its state.
    pub(crate) async fn cancel_batch(
        &self,
        request: &CallerRequest,
        id: &str,
    ) -> Result<Reply, Refusal> {
        let job = self
            .batch
            .cancel(&request.terms.name, &JobId::new(id))
            .await?;
        Ok(json_reply(StatusCode::OK, &job.body()))
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(key) if !key.is_empty() && key.len() <= MAX_KEY_BYTES => Ok(Some(key.to_owned())),
        _ => {
            let message =
                format!("{IDEMPOTENCY_KEY_HEADER} is not 1 to {MAX_KEY_BYTES} characters");
            Err(Refusal::new(RefusalReason::BadRequest, message))
        }
    }
}

fn query_number(query: &str, name: &str) -> Result<Option<u64>, Refusal> {
    let mut pairs = url::form_urlencoded::parse(query.as_bytes());
    let Some((_, value)) = pairs.find(|(key, _)| key == name) else {
        return Ok(None);
    };
    let number = value.parse().map(Some);
    number.map_err(|_| {
        let message = format!("{name:?} is not a whole number");
        Refusal::new(RefusalReason::BadRequest, message)
    })
}
