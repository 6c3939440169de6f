//! Client of the rate-limited weight store, which lists the stored versions of all models and
//! adapters.
//!
//! Upstreams download weights from the store themselves. Placement reads the catalogue with the
//! store's rate and starts loads so that together they stay within it.

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

/// One stored version of a model or adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredModel {
    /// Name of the model or adapter.
    pub model: ModelName,
    /// Version of the weights, opaque to this process.
    pub version: String,
    /// Size of the weights in bytes.
    pub bytes: u64,
}

/// Contents of the weight store and its download rate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightCatalogue {
    /// One entry for each stored version of each model.
    pub models: Vec<StoredModel>,
    /// Download rate in bytes a second, shared by all readers of the store.
    pub bytes_per_second: u64,
}

/// The catalogue could not be read; holds the cause for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightError(pub String);

/// Read access to the weight store.
#[async_trait]
pub trait WeightStore: Send + Sync + 'static {
    /// Reads the catalogue of stored models and the store's rate.
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
