//! Tenants of a run: which one sends what, and with which key.

use http::StatusCode;
use http::request::Builder;
use serde_json::Value;
use serde_json::json;

/// Names of the tenants.
const TENANTS: [&str; 3] = ["north", "south", "west"];
/// A key that no manifest holds.
pub const UNKNOWN_KEY: &str = "soak-key-of-nobody";

/// The tenant that sends the request, job or item `id`: by the number of the client or the job in it.
pub fn tenant_of(id: &str) -> &'static str {
    let mut numbers = id.split('-').filter_map(|part| part.parse::<usize>().ok());
    let number = match id.contains("lot-") {
        true => numbers.nth(1),
        false => numbers.next(),
    };
    TENANTS[number.unwrap_or(0) % TENANTS.len()]
}

/// Another tenant than that of `id`.
pub fn other_tenant(id: &str) -> &'static str {
    let own = tenant_of(id);
    let mut tenants = TENANTS.into_iter();
    tenants.find(|tenant| *tenant != own).unwrap_or(own)
}

fn key_of(tenant: &str) -> String {
    format!("soak-key-of-{tenant}")
}

/// Adds the key of `tenant`, and the name of a tenant that does not exist.
pub fn with_tenant(request: Builder, tenant: &str) -> Builder {
    with_key(request, &key_of(tenant))
}

/// Adds `key`, and the name of a tenant that does not exist.
pub fn with_key(request: Builder, key: &str) -> Builder {
    request
        .header("authorization", format!("Bearer {key}"))
        .header("tenant", "said-by-the-client")
}

/// The tenants of a manifest.
pub fn to_json() -> Value {
    let tenants = TENANTS.map(|name| json!({ "name": name, "apiKeys": [key_of(name)] }));
    json!(tenants)
}

/// What is wrong with the headers of the request `id` as a worker got them; `None` if nothing is.
pub fn header_fault(headers: &http::HeaderMap, id: &str) -> Option<String> {
    if headers.contains_key("authorization") {
        return Some(format!("{id} reached a worker with a key"));
    }
    let named: Vec<_> = headers.get_all("tenant").iter().collect();
    let is_right = named == [tenant_of(id)];
    (!is_right).then(|| format!("{id} reached a worker as of {named:?}"))
}

/// Whether a call with another tenant's key, or an unknown one, may be answered with `status`.
pub fn is_refusal(status: StatusCode) -> bool {
    status.is_client_error() || status.is_server_error()
}
