//! HTTP API for operators under `/admin/v1/`.

mod explain;
mod status;
mod terms;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use hyper::body::Incoming;

use crate::admission::LoadSnapshot;
use crate::api_key::bearer_key;
use crate::caps::CapKey;
use crate::collections::HashMap;
use crate::counters::CounterSet;
use crate::counters::RefusalReason;
use crate::decisions::DecisionRing;
use crate::decisions::ExplainCall;
use crate::http::body::BodyReader;
use crate::http::reply::Reply;
use crate::http::reply::json_reply;
use crate::http::reply::refusal_reply;
use crate::ids::UpstreamId;
use crate::membership::Membership;
use crate::membership::PeerHost;
use crate::peers::PeerClient;
use crate::refusal::Refusal;
use crate::settings::Settings;
use crate::terms::ActiveTerms;
use crate::terms::Principal;
use crate::upstreams::Upstream;
use crate::upstreams::UpstreamTable;

pub use explain::Explanation;
pub use status::CapStatus;
pub use status::CapUsage;
pub use status::FleetStatus;
pub use status::HostReport;
pub(crate) use status::HostReporter;
pub use status::HostStatus;
pub use status::QueueReport;
pub use status::StatusCall;
pub use status::UpstreamStatus;

/// Path prefix of the operators' API.
pub(crate) const ADMIN_PATH: &str = "/admin/v1/";

const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles operators' requests with the components of one entry host.
pub(crate) struct AdminApi {
    pub(crate) settings: Arc<Settings>,
    pub(crate) bodies: BodyReader,
    pub(crate) counters: Arc<CounterSet>,
    pub(crate) decisions: Arc<DecisionRing>,
    pub(crate) terms: Arc<ActiveTerms>,
    pub(crate) membership: Arc<Membership>,
    pub(crate) upstreams: Arc<UpstreamTable>,
    pub(crate) peers: PeerClient,
    pub(crate) reporter: HostReporter,
}

impl AdminApi {
    /// Handles one request; counts it if it is refused.
    pub(crate) async fn handle(&self, request: Request<Incoming>) -> Reply {
        match self.route(request).await {
            Ok(reply) => reply,
            Err(refusal) => {
                self.counters.refusal(refusal.reason);
                refusal_reply(&refusal)
            }
        }
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Reply, Refusal> {
        self.authenticate(request.headers())?;
        let path = request.uri().path().to_owned();
        let rest = path.strip_prefix(ADMIN_PATH).unwrap_or_default();
        let segments: Vec<&str> = rest.split('/').collect();
        match (request.method(), segments.as_slice()) {
            (_, ["terms" | "templates" | "workspaces", ..]) => {
                self.route_terms(&segments, request).await
            }
            (&Method::GET, ["counters"]) => {
                Ok(json_reply(StatusCode::OK, &self.counters.snapshot()))
            }
            (&Method::GET, ["explain", subject]) => Ok(self.explain(subject).await),
            (&Method::GET, ["status"]) => Ok(self.status().await),
            (method, segments) => {
                let allow = match segments {
                    ["counters"] | ["explain", _] | ["status"] => Some("GET"),
                    _ => None,
                };
                Err(Refusal::unmatched_path(method, &path, allow))
            }
        }
    }

    fn authenticate(&self, headers: &HeaderMap) -> Result<(), Refusal> {
        let key = bearer_key(headers).map_err(|_| {
            let message = "an Authorization header with an operator key is required";
            Refusal::new(RefusalReason::Unauthenticated, message)
        })?;
        match self.terms.view().principal(key) {
            Some(Principal::Operator) => Ok(()),
            Some(Principal::Member(_)) => Err(Refusal::new(
                RefusalReason::Forbidden,
                "a member key is not an operator key",
            )),
            None => Err(Refusal::new(
                RefusalReason::Unauthenticated,
                "the key is unknown",
            )),
        }
    }

    /// Collects the decisions about `subject` from all live hosts.
    async fn explain(&self, subject: &str) -> Reply {
        let view = self.membership.view();
        let others = view
            .hosts
            .iter()
            .filter(|host| host.id != self.settings.host);
        let calls = others.map(|host| {
            let subject = subject.to_owned();
            self.peers.call(
                host.peer_address,
                ExplainCall { subject },
                PEER_CALL_TIMEOUT,
            )
        });
        let mut explanation = Explanation::new(self.decisions.about(subject));
        for reply in join_all(calls).await {
            match reply {
                Ok(decisions) => explanation.add(decisions),
                _ => explanation.count_silent_host(),
            }
        }
        json_reply(StatusCode::OK, &explanation)
    }

    /// Collects the state of the fleet from the reports of all live hosts.
    async fn status(&self) -> Reply {
        let view = self.membership.view();
        let hosts = join_all(view.hosts.iter().map(|host| self.host_status(host))).await;
        let reports: Vec<&HostReport> = hosts
            .iter()
            .filter_map(|host| host.report.as_ref())
            .collect();
        let caps = self.cap_status(&reports);
        let queues = queues_by_upstream(&reports);
        let mut upstreams: Vec<UpstreamStatus> = self
            .upstreams
            .all()
            .into_iter()
            .map(|(_, upstream)| upstream_status(upstream, &queues))
            .collect();
        upstreams.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        let status = FleetStatus {
            asked: self.settings.host.clone(),
            revision: self.terms.view().revision,
            hosts,
            upstreams,
            caps,
        };
        json_reply(StatusCode::OK, &status)
    }

    async fn host_status(&self, host: &PeerHost) -> HostStatus {
        let report = match host.id == self.settings.host {
            true => Some(self.reporter.report()),
            false => self.fetch_report(host).await,
        };
        HostStatus {
            host: host.id.clone(),
            data_centre: host.data_centre.clone(),
            address: host.caller_address,
            state: host.state,
            report,
        }
    }

    /// Sums the hosts' token rates for each allowance. Skips workspaces that are not in the terms.
    fn cap_status(&self, reports: &[&HostReport]) -> Vec<CapStatus> {
        let mut rates: BTreeMap<CapKey, f64> = BTreeMap::new();
        for used in reports.iter().flat_map(|report| &report.caps) {
            *rates.entry(used.key.clone()).or_default() += used.tokens_per_second;
        }
        let view = self.terms.view();
        let rates = rates.into_iter();
        rates
            .filter_map(|(key, tokens_per_second)| {
                let terms = view.workspace(&key.workspace)?;
                let allowed = terms.allowance(key.class).tokens_per_second;
                Some(CapStatus {
                    key,
                    tokens_per_second,
                    allowed,
                })
            })
            .collect()
    }

    async fn fetch_report(&self, host: &PeerHost) -> Option<HostReport> {
        let call = self
            .peers
            .call(host.peer_address, StatusCall, PEER_CALL_TIMEOUT);
        call.await.ok()
    }
}

/// Returns the admission queue of each engine. If several hosts report a queue of the same engine,
/// the one with the most requests is taken.
fn queues_by_upstream(reports: &[&HostReport]) -> HashMap<UpstreamId, LoadSnapshot> {
    let mut queues: HashMap<UpstreamId, LoadSnapshot> = HashMap::default();
    for queue in reports.iter().flat_map(|report| &report.queues) {
        let known = queues.entry(queue.upstream.clone()).or_insert(queue.digest);
        if queue.digest.total_requests() > known.total_requests() {
            *known = queue.digest;
        }
    }
    queues
}

fn upstream_status(
    upstream: Upstream,
    queues: &HashMap<UpstreamId, LoadSnapshot>,
) -> UpstreamStatus {
    let load = upstream.load.as_ref();
    UpstreamStatus {
        admission: queues.get(&upstream.id).copied(),
        running: load.map(|load| load.running),
        waiting: load.map(|load| load.waiting),
        upstream: upstream.id,
        data_centre: upstream.data_centre,
        address: upstream.address,
        role: upstream.role,
        state: upstream.listed,
    }
}
