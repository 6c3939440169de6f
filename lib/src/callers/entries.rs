//! The list of entry hosts that callers connect to.

use std::cmp::Reverse;

use http::Request;
use http::StatusCode;
use serde_json::json;

use crate::callers::request::bearer_key;
use crate::callers::router::CallerApi;
use crate::http::reply::Reply;
use crate::http::reply::json_reply;
use crate::http::server::CallerAddress;
use crate::ids::DataCentre;
use crate::membership::HostView;
use crate::membership::PeerHost;
use crate::membership::rendezvous_score;

/// Most hosts in one answer.
const MAX_ENTRIES: usize = 32;
/// Places that are left for hosts of other data centres.
const MAX_NEAR: usize = 24;

impl CallerApi {
    /// Addresses to use, nearest first, and how long to keep the answer.
    ///
    /// The order is the same on all hosts and stays for one caller; it differs between callers,
    /// so that they spread. Callers that share an address may name themselves by `?caller=`, and
    /// tell where they are by `?data_centre=`.
    pub(crate) fn entries<B>(&self, request: &Request<B>) -> Reply {
        let view = self.membership.view();
        let query = request.uri().query();
        let centre = query_text(query, "data_centre").map(DataCentre::new);
        let near = centre.as_ref().unwrap_or(&self.settings.data_centre);
        let caller = caller_identity(request);
        let entries: Vec<_> = ordered(&view, near, &caller)
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

/// The hosts that `caller` should use, best first.
fn ordered<'a>(view: &'a HostView, near: &DataCentre, caller: &str) -> Vec<&'a PeerHost> {
    let mut hosts: Vec<&PeerHost> = view.assignable_hosts().collect();
    if hosts.is_empty() {
        // A host that stops alone has nowhere to send its callers.
        hosts = view.hosts.iter().map(AsRef::as_ref).collect();
    }
    hosts.sort_by_cached_key(|host| {
        let score = rendezvous_score(host.id.as_str(), caller);
        (host.data_centre != *near, Reverse(score))
    });
    let near_count = hosts
        .iter()
        .take_while(|host| host.data_centre == *near)
        .count();
    let far = hosts.split_off(near_count);
    let near_places = MAX_NEAR.max(MAX_ENTRIES.saturating_sub(far.len()));
    hosts.truncate(near_places);
    hosts.extend(far);
    hosts.truncate(MAX_ENTRIES);
    hosts
}

/// What tells one caller from another: its address, its key and the name it gives itself.
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
