//! Routes of opaque requests: which service a host and path lead to, and what may be repeated.

use std::sync::Arc;
use std::time::Duration;

use crate::collections::HashMap;
use crate::ids::ServiceName;

/// What kind of answer a route has, and what may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RouteKind {
    /// A whole answer; the request may run more than once.
    Idempotent,
    /// A whole answer; the request may run at most once.
    NonIdempotent,
    /// A series of events; may go on at another upstream if `resumable`.
    Stream {
        /// Whether a broken stream may go on after its last event.
        resumable: bool,
    },
    /// Batch jobs, accepted now and run later.
    Batch,
}

impl RouteKind {
    /// Whether a request that may have run may be sent again.
    pub fn is_retryable(self) -> bool {
        match self {
            Self::Idempotent | Self::Stream { resumable: true } | Self::Batch => true,
            Self::NonIdempotent | Self::Stream { resumable: false } => false,
        }
    }
}

/// Share of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceWeight {
    /// The service.
    pub service: ServiceName,
    /// Relative weight; zero takes none.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name in the configuration.
    pub name: String,
    /// Host name that requests must have, in lower case.
    pub host: String,
    /// Start of the path that requests must have.
    pub prefix: String,
    /// Kind of the route.
    pub kind: RouteKind,
    /// Services that run the requests.
    pub shares: Vec<ServiceWeight>,
    /// Upstreams that one request may be sent to.
    pub attempts: u32,
    /// Longest time that a request is kept.
    pub timeout: Duration,
    /// Time to a good answer, or to the first event of a stream.
    pub objective: Duration,
    /// Longest pause between two events of a good stream.
    pub gap_objective: Option<Duration>,
    /// Rank; zero is the highest.
    pub priority: u32,
    /// Time from the first sending of a batch job until its results are due.
    pub run_objective: Duration,
    /// Time from the first sending of a batch job after which its items may be given up.
    pub retention: Duration,
}

impl Route {
    /// The service for a request, chosen by `draw`, a number that is uniform over all values.
    ///
    /// Returns `None` if no service has a weight.
    pub fn service(&self, draw: u32) -> Option<&ServiceName> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        if total == 0 {
            return None;
        }
        let mut left = u64::from(draw) % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if left < weight {
                return Some(&share.service);
            }
            left -= weight;
        }
        None
    }
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request in bytes.
    pub header_bytes: usize,
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Time for a whole head.
    pub header_time: Duration,
    /// Time for which a connection may be idle.
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
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: Vec<ServiceName>,
}

impl RouteTable {
    /// Returns the table of `version` with `routes` to `services`.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        services: Vec<ServiceName>,
        routes: Vec<Route>,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<Route>>> = HashMap::default();
        for route in routes {
            hosts
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            limits,
            hosts,
            services,
        }
    }

    /// Version of the configuration; zero before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Bounds on what callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// All services that the configuration names.
    pub fn services(&self) -> &[ServiceName] {
        &self.services
    }

    /// The route with the longest prefix of `path` among those of `host`.
    ///
    /// A port in `host` is ignored, as is the case of its letters.
    pub fn select(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Whether `host` has a route.
    pub fn has_host(&self, host: &str) -> bool {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.hosts.contains_key(&name.to_ascii_lowercase())
    }
}
