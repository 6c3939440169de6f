//! Result lines of items, and how an answer or refusal ends an item's execution.

use serde_json::Value;
use serde_json::json;

use crate::batch::input::BatchItem;
use crate::batch::message::ItemEnd;
use crate::batch::message::WorkItem;
use crate::counters::RefusalReason;
use crate::ids::JobId;
use crate::ids::RequestId;
use crate::refusal::Refusal;

/// Length of the prompt prefix by which items are grouped, in bytes.
const PROMPT_PREFIX_BYTES: usize = 256;
/// Largest result line in bytes; a longer answer becomes the error `result_too_large`. A line must
/// fit into one pack.
const MAX_RESULT_BYTES: usize = 900 * 1024;
/// Shortest wait of an item that was not admitted, in milliseconds.
const MIN_DEFERRED_WAIT_MS: u64 = 250;

/// Request identifier of an item; the same for all of its executions.
pub(crate) fn item_request_id(job: &JobId, item: u64) -> RequestId {
    RequestId::new(format!("{job}-{item}"))
}

/// Builds the result of an item that ended with an answer: a line of the output file, or an error
/// if the line is too long.
pub(crate) fn answer_result(job: &JobId, item: u64, custom_id: &str, body: Value) -> ItemEnd {
    let request = item_request_id(job, item);
    let response = json!({ "status_code": 200, "request_id": request, "body": body });
    let line = json!({
        "id": request,
        "custom_id": custom_id,
        "response": response,
        "error": null,
    })
    .to_string();
    if line.len() > MAX_RESULT_BYTES {
        let message = format!("the result is larger than {MAX_RESULT_BYTES} bytes");
        let line = error_json(&request, custom_id, "result_too_large", &message);
        return ItemEnd::Result { failed: true, line };
    }
    ItemEnd::Result {
        failed: false,
        line,
    }
}

/// Builds the line of the error file for an item.
pub(crate) fn error_line(job: &JobId, work: &WorkItem, code: &str, message: &str) -> String {
    let item: Option<BatchItem> = serde_json::from_str(&work.line).ok();
    let custom_id = item.map(|item| item.custom_id).unwrap_or_default();
    error_json(&item_request_id(job, work.item), &custom_id, code, message)
}

fn error_json(request: &RequestId, custom_id: &str, code: &str, message: &str) -> String {
    json!({
        "id": request,
        "custom_id": custom_id,
        "response": null,
        "error": { "code": code, "message": message },
    })
    .to_string()
}

/// Classifies a refusal: an error that ends the item, a failed attempt, or a deferral that doesn't
/// count as an attempt.
pub(crate) fn classify_refusal(job: &JobId, work: &WorkItem, refusal: &Refusal) -> ItemEnd {
    let code = refusal.reason.to_string();
    match refusal.reason {
        RefusalReason::BadRequest
        | RefusalReason::TooLarge
        | RefusalReason::ContentType
        | RefusalReason::NotFound
        | RefusalReason::Method
        | RefusalReason::Forbidden
        | RefusalReason::UnknownModel
        | RefusalReason::ModelNotAllowed
        | RefusalReason::UpstreamRefused
        | RefusalReason::Convicted => ItemEnd::Result {
            failed: true,
            line: error_line(job, work, &code, &refusal.message),
        },
        RefusalReason::UpstreamFailed
        | RefusalReason::DeadlinePassed
        | RefusalReason::SlowSender
        | RefusalReason::Unauthenticated => ItemEnd::Failed {
            code,
            message: refusal.message.clone(),
        },
        RefusalReason::OverCap
        | RefusalReason::CapUnconfirmed
        | RefusalReason::Overloaded
        | RefusalReason::NoUpstream
        | RefusalReason::DuplicateInProgress
        | RefusalReason::StoreUnavailable
        | RefusalReason::Conflict
        | RefusalReason::Draining
        | RefusalReason::Starting => {
            let wait = refusal
                .retry_after
                .map_or(0, |wait| wait.as_millis() as u64);
            ItemEnd::Deferred {
                wait_ms: wait.max(MIN_DEFERRED_WAIT_MS),
            }
        }
    }
}

/// Hash of the first [`PROMPT_PREFIX_BYTES`] of an item's prompt.
pub(crate) fn prompt_prefix_hash(line: &str) -> u64 {
    let item: Option<BatchItem> = serde_json::from_str(line).ok();
    let body = item.map(|item| item.body).unwrap_or_default();
    let prompt = match body["messages"].is_null() {
        true => body["prompt"].to_string(),
        false => body["messages"].to_string(),
    };
    let head = prompt.as_bytes().get(..PROMPT_PREFIX_BYTES);
    xxhash_rust::xxh3::xxh3_64(head.unwrap_or(prompt.as_bytes()))
}
