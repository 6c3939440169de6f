//! HTTP client of the operators' API.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use parsleywall::http::client::HttpClient;
use parsleywall::ids::random_id;
use serde_json::Value;

const MAX_EDIT_ATTEMPTS: u32 = 5;
const EDIT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Client of the operators' API of one entry host.
pub(crate) struct OperatorClient {
    host: String,
    key: String,
    client: HttpClient,
}

impl OperatorClient {
    /// Returns a client that calls the address `host` with the operator key `key`.
    pub(crate) fn new(host: String, key: String) -> Self {
        Self {
            host,
            key,
            client: HttpClient::new(),
        }
    }

    /// Sends a GET request for `path`, relative to the API's prefix. Any status other than 200 is an
    /// error.
    pub(crate) async fn get(&self, path: &str) -> Result<Value, String> {
        let request = self.request(Method::GET, path);
        match self.send(request, Bytes::new()).await? {
            (StatusCode::OK, value) => Ok(value),
            (status, value) => Err(format!("{status}: {}", error_text(&value))),
        }
    }

    /// Sends an edit of the terms; with a `revision`, it is rejected unless that one is current.
    ///
    /// A failed call or status 503 is retried: the host recognises the edit by its identifier and
    /// applies it once.
    pub(crate) async fn edit(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        revision: Option<u64>,
    ) -> Result<Value, String> {
        let edit_id = random_id("edit");
        let mut last_error = String::new();
        for attempt in 0..MAX_EDIT_ATTEMPTS {
            if attempt > 0 {
                tokio::time::sleep(EDIT_RETRY_DELAY).await;
            }
            let mut request = self.request(method.clone(), path);
            request = request.header("idempotency-key", &edit_id);
            if let Ok(user) = std::env::var("USER") {
                request = request.header("x-author", user);
            }
            if let Some(revision) = revision {
                request = request.header(http::header::IF_MATCH, format!("\"{revision}\""));
            }
            match self.send(request, body.clone()).await {
                Ok((StatusCode::OK, value)) => return Ok(value),
                Ok((StatusCode::SERVICE_UNAVAILABLE, value)) => last_error = error_text(&value),
                Ok((status, value)) => return Err(format!("{status}: {}", error_text(&value))),
                Err(cause) => last_error = cause,
            }
        }
        Err(last_error)
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}/admin/v1/{path}", self.host))
            .header(http::header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(http::header::CONTENT_TYPE, "application/json")
    }

    async fn send(
        &self,
        request: http::request::Builder,
        body: Bytes,
    ) -> Result<(StatusCode, Value), String> {
        let request = request
            .body(Full::new(body))
            .map_err(|err| err.to_string())?;
        let response = self.client.send(request).await;
        let response = response.map_err(|err| err.to_string())?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|err| err.to_string())?.to_bytes();
        let value = serde_json::from_slice::<Value>(&body);
        let value = value.unwrap_or_else(|_| String::from_utf8_lossy(&body).into());
        Ok((status, value))
    }
}

/// Returns the message of an error response, or else its whole body.
fn error_text(value: &Value) -> String {
    match value["error"]["message"].as_str() {
        Some(message) => message.to_owned(),
        None => format!("{value:#}"),
    }
}
