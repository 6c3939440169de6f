//! The rate-limited weight store: what versions of which models and adapters exist.
//!
//! Upstreams load from the store themselves; placement asks it for leave to start a load, so that
//! the fleet's loads share its rate.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use url::Url;

use crate::http::client::HttpClient;
use crate::ids::ModelName;

const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// One stored version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredModel {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the weights.
    pub version: String,
    /// Size of the weights in bytes.
    pub bytes: u64,
}

/// What the store holds and how fast it serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightCatalogue {
    /// Stored models.
    pub models: Vec<StoredModel>,
    /// Rate of the whole store in bytes a second.
    pub bytes_per_second: u64,
}

/// The store could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightError(pub String);

/// The weight store.
#[async_trait]
pub trait WeightStore: Send + Sync + 'static {
    /// Reads what the store holds.
    async fn catalogue(&self) -> Result<WeightCatalogue, WeightError>;
}

/// Client of the weight store over HTTP.
pub struct HttpWeightStore {
    client: HttpClient,
    url: Url,
}

impl HttpWeightStore {
    /// Returns a client of the store at `url`.
    pub fn new(client: HttpClient, url: Url) -> Self {
        Self { client, url }
    }
}

#[async_trait]
impl WeightStore for HttpWeightStore {
    async fn catalogue(&self) -> Result<WeightCatalogue, WeightError> {
        let mut url = self.url.clone();
        url.set_path("/catalogue");
        let call = self.client.call(Method::GET, url.as_str(), Bytes::new());
        let (status, body) = tokio::time::timeout(CALL_TIMEOUT, call)
            .await
            .map_err(|_| WeightError("no answer in time".to_owned()))?
            .map_err(|err| WeightError(err.to_string()))?;
        if status != StatusCode::OK {
            return Err(WeightError(format!("status {status}")));
        }
        serde_json::from_slice(&body).map_err(|err| WeightError(err.to_string()))
    }
}
