//! Routes of opaque requests: which service a host name and path lead to, and whether a request may
//! be sent again.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use serde::Deserialize;
use serde::Serialize;

use crate::api_key::KeyFault;
use crate::collections::HashMap;
use crate::ids::ServiceName;
use crate::ids::WorkspaceName;
use crate::workspaces::CallerIdentity;
use crate::workspaces::Workspace;
use crate::workspaces::WorkspaceDirectory;

/// Kind of the answers of a route, which decides whether a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// One complete answer; the request may run more than once.
    Idempotent,
    /// One complete answer; the request may run at most once.
    NonIdempotent,
    /// A stream of events; it may continue at another upstream if it is `resumable`.
    Stream {
        /// Whether a broken stream may be resumed after its last event.
        resumable: bool,
    },
    /// Batch jobs, accepted at once and run later.
    Batch,
}

impl RouteKind {
    /// Whether a request may be sent again if it may already have run.
    pub fn is_retryable(self) -> bool {
        match self {
            Self::Idempotent | Self::Stream { resumable: true } | Self::Batch => true,
            Self::NonIdempotent | Self::Stream { resumable: false } => false,
        }
    }
}

/// A service of a route and its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWeight {
    /// Service that runs the requests.
    pub service: ServiceName,
    /// Weight relative to the other services of the route; with zero the service gets no requests.
    pub weight: u32,
}

/// A rule that leads requests with a host name and path prefix to services, with their objectives
/// and limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route in the configuration.
    pub name: String,
    /// Host name of the requests, without port, in lower case.
    pub host: String,
    /// Prefix of the path of the requests.
    pub prefix: String,
    /// Kind of the answers.
    pub kind: RouteKind,
    /// Services among which the requests are divided.
    pub service_weights: Vec<ServiceWeight>,
    /// Largest number of times that one request is sent to an upstream.
    pub attempts: u32,
    /// Longest time that a request may take before it is given up.
    pub timeout: Duration,
    /// Latency objective: time until the answer, or until the first event of a stream.
    pub objective: Duration,
    /// Latency objective of a stream: longest time between two events; `None` if there is none.
    pub gap_objective: Option<Duration>,
    /// Priority of the requests; zero is the highest.
    pub priority: u32,
    /// Time from the first submission of a batch job until its results are due.
    pub run_objective: Duration,
    /// Time from the first submission of a batch job after which its items may be given up.
    pub retention: Duration,
    /// Whether its requests need no key, also where the configuration has workspaces.
    #[serde(default)]
    pub is_public: bool,
}

impl Route {
    /// Chooses a service by weight. `draw` is a random number, uniform over all values.
    ///
    /// Returns `None` if all weights are zero or the route has no service.
    pub fn choose_service(&self, draw: u32) -> Option<&ServiceName> {
        let total: u64 = self
            .service_weights
            .iter()
            .map(|service_weight| u64::from(service_weight.weight))
            .sum();
        if total == 0 {
            return None;
        }
        let mut left = u64::from(draw) % total;
        for service_weight in &self.service_weights {
            let weight = u64::from(service_weight.weight);
            if left < weight {
                return Some(&service_weight.service);
            }
            left -= weight;
        }
        None
    }

    /// The services that may run the requests: the one that [`Self::choose_service`] chooses, and
    /// then the others, for work that need not wait for the first.
    pub fn services_from(&self, draw: u32) -> impl Iterator<Item = &ServiceName> {
        let chosen = self.choose_service(draw);
        let weighted = self.service_weights.iter();
        let used = weighted.filter(|service_weight| service_weight.weight > 0);
        let others = used.map(|service_weight| &service_weight.service);
        chosen
            .into_iter()
            .chain(others.filter(move |service| Some(*service) != chosen))
    }
}

/// Key of a route within its [`RouteTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouteKey(u32);

impl RouteKey {
    /// Position among the routes of the table, counted from 0.
    pub(crate) fn index(self) -> usize {
        self.0 as usize
    }
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head (request line and headers), in bytes.
    pub header_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time until a request head is complete.
    pub header_time: Duration,
    /// Longest time for which a connection may be idle before it is closed.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// All routes of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: u64,
    limits: CallerLimits,
    routes: Vec<Arc<Route>>,
    /// Routes of each host name, those with the longest prefixes first.
    keys_by_host: HashMap<String, Vec<RouteKey>>,
    services: Vec<ServiceName>,
    /// `None` if the configuration has no workspaces.
    workspaces: Option<WorkspaceDirectory>,
}

impl RouteTable {
    /// Creates the table of configuration `version`, with `routes` that lead to `services`.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        services: Vec<ServiceName>,
        routes: Vec<Route>,
    ) -> Self {
        let routes: Vec<Arc<Route>> = routes.into_iter().map(Arc::new).collect();
        let mut keys_by_host: HashMap<String, Vec<RouteKey>> = HashMap::default();
        for (index, route) in routes.iter().enumerate() {
            let keys = keys_by_host.entry(route.host.clone()).or_default();
            keys.push(RouteKey(index as u32));
        }
        for keys in keys_by_host.values_mut() {
            keys.sort_by_key(|key| std::cmp::Reverse(routes[key.index()].prefix.len()));
        }
        Self {
            version,
            limits,
            routes,
            keys_by_host,
            services,
            workspaces: None,
        }
    }

    /// Requires keys of `workspaces` for the requests of all routes that are not public.
    pub fn with_workspaces(mut self, workspaces: WorkspaceDirectory) -> Self {
        self.workspaces = Some(workspaces);
        self
    }

    /// The workspaces; `None` if the configuration has none, so that requests need no keys.
    pub fn workspaces(&self) -> Option<&WorkspaceDirectory> {
        self.workspaces.as_ref()
    }

    /// Who sent a request with `headers` on a route that `is_public` or not. The error says why the
    /// request has no key that its route needs.
    pub fn identify(
        &self,
        headers: &HeaderMap,
        is_public: bool,
    ) -> Result<CallerIdentity, KeyFault> {
        let Some(workspaces) = &self.workspaces else {
            return Ok(CallerIdentity::Unchecked);
        };
        match workspaces.identify(headers) {
            Ok(workspace) => Ok(CallerIdentity::Member(workspace.clone())),
            Err(_) if is_public => Ok(CallerIdentity::Anonymous),
            Err(fault) => Err(fault),
        }
    }

    /// Identity of work that a caller of the workspace `name` left here to be done later; `None` names no
    /// workspace. A workspace that the configuration no longer has keeps its name.
    pub fn identity_of(&self, name: Option<&WorkspaceName>) -> CallerIdentity {
        let known = |name| self.workspaces.as_ref()?.named(name).cloned();
        match (name, &self.workspaces) {
            (Some(name), _) => CallerIdentity::Member(
                known(name).unwrap_or_else(|| Arc::new(Workspace::new(name.clone()))),
            ),
            (None, Some(_)) => CallerIdentity::Anonymous,
            (None, None) => CallerIdentity::Unchecked,
        }
    }

    /// Version of the configuration that the table was built from; zero before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Limits on the requests and connections of callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// All services in the configuration, whether or not a route leads to them.
    pub fn services(&self) -> &[ServiceName] {
        &self.services
    }

    /// Finds the route of `host` with the longest prefix that matches `path`; `None` if no route
    /// matches.
    ///
    /// A port in `host` is ignored. Host names are compared without regard to case.
    pub fn select(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.select_key(host, path).map(|key| self.route(key))
    }

    /// Key of the route that [`Self::select`] finds.
    pub fn select_key(&self, host: &str, path: &str) -> Option<RouteKey> {
        let name = without_port(host);
        let keys = match self.keys_by_host.get(name) {
            Some(keys) => keys,
            None => self.keys_by_host.get(&name.to_ascii_lowercase())?,
        };
        let matches = |key: &RouteKey| path.starts_with(&self.route(*key).prefix);
        keys.iter().copied().find(matches)
    }

    /// The route with a key of this table.
    pub fn route(&self, key: RouteKey) -> &Arc<Route> {
        &self.routes[key.index()]
    }

    /// Whether `host` has any route. A port is ignored, and so is case.
    pub fn has_host(&self, host: &str) -> bool {
        let name = without_port(host);
        self.keys_by_host.contains_key(&name.to_ascii_lowercase())
    }
}

/// Whether two values of a `Host` header name the same host. Ports are ignored, and so is case.
pub(crate) fn is_same_host(one: &str, other: &str) -> bool {
    without_port(one).eq_ignore_ascii_case(without_port(other))
}

fn without_port(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}
