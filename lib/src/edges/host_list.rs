//! The platform's lagging list of live and leaving hosts, over HTTP and JSON.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use url::Url;

use crate::http::client::HttpClient;
use crate::ids::DataCentre;
use crate::ids::ServiceName;
use crate::ids::UpstreamId;

const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// What runs on a listed host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedRole {
    /// A model engine.
    Engine,
    /// A plain service.
    Service(ServiceName),
    /// An entry host; the address is its peer address.
    Entry,
}

/// State of a host as the list gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ListedState {
    /// The host takes work.
    Live,
    /// The host is about to stop.
    Leaving,
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of the host.
    pub id: UpstreamId,
    /// Address of what runs on it.
    pub address: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// What runs on it.
    pub role: ListedRole,
    /// State of the host.
    pub state: ListedState,
}

/// The list could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostListError(pub String);

/// The list of live and leaving hosts.
#[async_trait]
pub trait HostList: Send + Sync + 'static {
    /// Reads the whole list; it may be seconds old.
    async fn read(&self) -> Result<Vec<ListedHost>, HostListError>;
}

/// Client of the list over HTTP.
pub struct HttpHostList {
    client: HttpClient,
    url: Url,
}

impl HttpHostList {
    /// Returns a client of the list at `url`.
    pub fn new(client: HttpClient, url: Url) -> Self {
        Self { client, url }
    }
}

#[async_trait]
impl HostList for HttpHostList {
    async fn read(&self) -> Result<Vec<ListedHost>, HostListError> {
        let call = self
            .client
            .call(Method::GET, self.url.as_str(), Bytes::new());
        let (status, body) = tokio::time::timeout(LIST_TIMEOUT, call)
            .await
            .map_err(|_| HostListError("no answer in time".to_owned()))?
            .map_err(|err| HostListError(err.to_string()))?;
        if status != StatusCode::OK {
            return Err(HostListError(format!("status {status}")));
        }
        serde_json::from_slice(&body).map_err(|err| HostListError(err.to_string()))
    }
}
