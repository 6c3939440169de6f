//! Refusals: the only form in which callers see errors.

use std::time::Duration;

use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::counters::RefusalReason;

/// Whether the refused request may have run on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Executed {
    /// No upstream ran any part of the request.
    No,
    /// An upstream may have run the request, in part or in full.
    Unknown,
}

/// Error that ends a request without a complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused; determines the HTTP status.
    pub reason: RefusalReason,
    /// Whether an upstream may have run the request.
    pub executed: Executed,
    /// Delay after which a retry may succeed; `None` where waiting does not help.
    pub retry_after: Option<Duration>,
    /// Methods that the path accepts, separated by commas, if the request's method was none of
    /// them.
    pub allow: Option<&'static str>,
    /// Explanation for people; clients should use `reason` instead.
    pub message: String,
}

impl Refusal {
    /// Returns a refusal of a request that no upstream has run, without a retry delay.
    pub fn new(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self {
            reason,
            executed: Executed::No,
            retry_after: None,
            allow: None,
            message: message.into(),
        }
    }

    /// Returns the refusal of a request whose `path` accepts only the methods `allow`, or does not
    /// exist if `allow` is `None`.
    pub fn unmatched_path(method: &Method, path: &str, allow: Option<&'static str>) -> Self {
        match allow {
            Some(_) => Self {
                allow,
                ..Self::new(
                    RefusalReason::Method,
                    format!("{path} does not take {method}"),
                )
            },
            None => Self::new(RefusalReason::NotFound, format!("{path} does not exist")),
        }
    }

    /// Sets the delay after which the caller may retry.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Marks the request as one that an upstream may have run.
    pub fn with_unknown_execution(mut self) -> Self {
        self.executed = Executed::Unknown;
        self
    }

    /// HTTP status that the refusal is sent with.
    pub fn status(&self) -> StatusCode {
        match self.reason {
            RefusalReason::Unauthenticated => StatusCode::UNAUTHORIZED,
            RefusalReason::Forbidden | RefusalReason::ModelNotAllowed => StatusCode::FORBIDDEN,
            RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
            RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RefusalReason::SlowSender => StatusCode::REQUEST_TIMEOUT,
            RefusalReason::ContentType => StatusCode::UNSUPPORTED_MEDIA_TYPE,
            RefusalReason::NotFound | RefusalReason::UnknownModel => StatusCode::NOT_FOUND,
            RefusalReason::Method => StatusCode::METHOD_NOT_ALLOWED,
            RefusalReason::OverCap => StatusCode::TOO_MANY_REQUESTS,
            RefusalReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            RefusalReason::UpstreamFailed => StatusCode::BAD_GATEWAY,
            RefusalReason::UpstreamRefused | RefusalReason::Convicted => {
                StatusCode::UNPROCESSABLE_ENTITY
            }
            RefusalReason::DuplicateInProgress => StatusCode::CONFLICT,
            RefusalReason::Conflict => StatusCode::PRECONDITION_FAILED,
            RefusalReason::Overloaded
            | RefusalReason::NoUpstream
            | RefusalReason::CapUnconfirmed
            | RefusalReason::StoreUnavailable
            | RefusalReason::Draining
            | RefusalReason::Starting => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Response body in OpenAI's error shape, with the additional field `executed`.
    pub fn body(&self) -> serde_json::Value {
        let kind = match self.status() {
            StatusCode::UNAUTHORIZED => "authentication_error",
            StatusCode::FORBIDDEN => "permission_error",
            StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
            status if status.is_server_error() => "server_error",
            _ => "invalid_request_error",
        };
        json!({
            "error": {
                "message": self.message,
                "type": kind,
                "param": null,
                "code": self.reason.to_string(),
                "executed": self.executed.to_string(),
            }
        })
    }
}
