//! Client of the platform's list of live and leaving hosts, read over HTTP as JSON. The list lags
//! behind the real state by seconds.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use url::Url;

use crate::http::service_connections::CallKind;
use crate::http::service_connections::ConnectionBounds;
use crate::http::service_connections::ServiceCall;
use crate::http::service_connections::ServiceConnections;
use crate::ids::DataCentre;
use crate::ids::ServiceName;
use crate::ids::UpstreamId;

const LIST_TIMEOUT: Duration = Duration::from_secs(2);
const CONNECTION_BOUNDS: ConnectionBounds = ConnectionBounds {
    max_idle: 1,
    connect_timeout: Duration::from_secs(1),
    body_timeout: LIST_TIMEOUT,
    idle_time: Duration::from_secs(20),
};

/// Kind of process that runs on a listed host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedRole {
    /// A model engine.
    Engine,
    /// A plain HTTP service, called under `/services/{name}`.
    Service(ServiceName),
    /// An entry host; its listed address is the one for other entry hosts (peer address).
    Entry,
}

/// State of a host according to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ListedState {
    /// The host accepts work.
    Live,
    /// The host announced that it shuts down; it gets no new work.
    Leaving,
}

/// A host as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Unique name of the host.
    pub id: UpstreamId,
    /// Address at which the process on the host is called.
    pub address: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Kind of process that runs on the host.
    pub role: ListedRole,
    /// Whether the host accepts work or is leaving.
    pub state: ListedState,
}

/// The host list could not be read; holds the cause for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostListError(pub String);

/// Read access to the platform's list of live and leaving hosts.
#[async_trait]
pub trait HostList: Send + Sync + 'static {
    /// Reads the whole list. Its content may be seconds old.
    async fn read(&self) -> Result<Vec<ListedHost>, HostListError>;
}

/// Client of the host list over HTTP.
pub struct HttpHostList {
    connections: ServiceConnections,
    url: Url,
}

impl HttpHostList {
    /// Returns a client of the list at `url`.
    pub fn new(url: Url) -> Self {
        Self {
            connections: ServiceConnections::new(CONNECTION_BOUNDS),
            url,
        }
    }
}

#[async_trait]
impl HostList for HttpHostList {
    async fn read(&self) -> Result<Vec<ListedHost>, HostListError> {
        let call = ServiceCall {
            kind: CallKind::Repeatable,
            method: Method::GET,
            url: self.url.to_string(),
            body: Bytes::new(),
            timeout: LIST_TIMEOUT,
        };
        let answer = self.connections.call(&call).await;
        let answer = answer.map_err(|err| HostListError(err.to_string()))?;
        if answer.status != StatusCode::OK {
            return Err(HostListError(format!("status {}", answer.status)));
        }
        serde_json::from_slice(&answer.body).map_err(|err| HostListError(err.to_string()))
    }
}
