//! Parsing of callers' headers and JSON bodies.

use http::HeaderMap;
use http::header;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use crate::counters::RefusalReason;
use crate::http::body::BodyReader;
use crate::refusal::Refusal;

/// Reads a JSON body within the size and time limits of `reader`.
///
/// Refuses a `Content-Type` other than `application/json`; a missing one is accepted.
pub(crate) async fn read_json<T: DeserializeOwned>(
    headers: &HeaderMap,
    body: Incoming,
    reader: &BodyReader,
) -> Result<T, Refusal> {
    check_json_type(headers)?;
    let bytes = reader.read(body).await?;
    serde_json::from_slice(&bytes).map_err(|err| {
        let message = format!("the body is not the expected JSON: {err}");
        Refusal::new(RefusalReason::BadRequest, message)
    })
}

fn check_json_type(headers: &HeaderMap) -> Result<(), Refusal> {
    let Some(value) = headers.get(header::CONTENT_TYPE) else {
        return Ok(());
    };
    let value = value.to_str().unwrap_or_default();
    let essence = value.split(';').next().unwrap_or_default().trim();
    match essence.eq_ignore_ascii_case("application/json") {
        true => Ok(()),
        false => {
            let message = format!("content type {essence:?} is not application/json");
            Err(Refusal::new(RefusalReason::ContentType, message))
        }
    }
}
