//! The list of entry hosts for callers: which hosts to connect to, in which order.

use std::cmp::Reverse;

use http::Request;
use http::StatusCode;
use serde_json::json;

use crate::api_key::bearer_key;
use crate::callers::router::CallerApi;
use crate::http::reply::Reply;
use crate::http::reply::json_reply;
use crate::http::server::CallerAddress;
use crate::ids::DataCentre;
use crate::membership::HostView;
use crate::membership::PeerHost;
use crate::membership::rendezvous_score;

/// Maximum number of hosts in one response.
const MAX_ENTRIES: usize = 32;
/// Maximum number of hosts of the caller's data centre while hosts of other data centres could
/// take the remaining entries.
const MAX_NEAR_ENTRIES: usize = 24;

impl CallerApi {
    /// Returns the addresses of entry hosts, nearest first, and for how long to cache them.
    ///
    /// For one caller, the order is stable and the same on all hosts. It differs between callers
    /// so that their load spreads over the hosts. Callers behind a shared address can distinguish
    /// themselves by `?caller=`, and any caller can state its location by `?data_centre=`.
    pub(crate) fn entries<B>(&self, request: &Request<B>) -> Reply {
        let view = self.membership.view();
        let query = request.uri().query();
        let centre = query_text(query, "data_centre").map(DataCentre::new);
        let near_centre = centre.as_ref().unwrap_or(&self.settings.data_centre);
        let caller = caller_identity(request);
        let entries: Vec<_> = rank_hosts(&view, near_centre, &caller)
            .into_iter()
            .map(|host| json!({ "address": host.caller_address, "data_centre": host.data_centre }))
            .collect();
        let body = json!({
            "object": "list",
            "data": entries,
            "keep_seconds": self.settings.entries_ttl.as_secs(),
        });
        json_reply(StatusCode::OK, &body)
    }
}

/// Returns the hosts that `caller` should use, in order of preference: those of its data centre
/// first, then by rendezvous hashing.
fn rank_hosts<'a>(view: &'a HostView, near_centre: &DataCentre, caller: &str) -> Vec<&'a PeerHost> {
    let mut hosts: Vec<&PeerHost> = view.assignable_hosts().collect();
    if hosts.is_empty() {
        // Every host is leaving, so there is no other host to send callers to.
        hosts = view.hosts.iter().map(AsRef::as_ref).collect();
    }
    hosts.sort_by_cached_key(|host| {
        let score = rendezvous_score(host.id.as_str(), caller);
        (host.data_centre != *near_centre, Reverse(score))
    });
    let near_count = hosts
        .iter()
        .take_while(|host| host.data_centre == *near_centre)
        .count();
    let far = hosts.split_off(near_count);
    let near_limit = MAX_NEAR_ENTRIES.max(MAX_ENTRIES.saturating_sub(far.len()));
    hosts.truncate(near_limit);
    hosts.extend(far);
    hosts.truncate(MAX_ENTRIES);
    hosts
}

/// Returns the hash key of a caller: its IP address, its member key and its `?caller=` name.
fn caller_identity<B>(request: &Request<B>) -> String {
    let address = request.extensions().get::<CallerAddress>();
    let address = address.map(|caller| caller.0.ip().to_string());
    let key = bearer_key(request.headers()).unwrap_or_default();
    let name = query_text(request.uri().query(), "caller").unwrap_or_default();
    format!("{} {key} {name}", address.unwrap_or_default())
}

fn query_text(query: Option<&str>, name: &str) -> Option<String> {
    let pairs = url::form_urlencoded::parse(query?.as_bytes());
    let mut values = pairs.filter(|(key, _)| key == name);
    values.next().map(|(_, value)| value.into_owned())
}
