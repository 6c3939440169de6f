//! What the soak takes for a request of the wrong tenant.

use http::HeaderMap;
use http::HeaderValue;
use soak::tenants::header_fault;
use soak::tenants::other_tenant;
use soak::tenants::tenant_of;

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.append(*name, HeaderValue::from_static(value));
    }
    headers
}

#[test]
fn test_tenants_items_are_of_the_tenant_of_their_job() {
    let job = "lot-2002-4";
    assert_eq!(tenant_of("item-lot-2002-4-11"), tenant_of(job));
    assert_eq!(tenant_of("call-4-77-0"), tenant_of("call-4-9-1-again"));
    assert_ne!(other_tenant(job), tenant_of(job));
}

#[test]
fn test_tenants_headers_of_another_tenant_or_a_key_are_faults() {
    let id = "call-1-2-0";
    assert_eq!(header_fault(&headers(&[("tenant", "south")]), id), None);
    let faulty: [&[(&str, &str)]; 4] = [
        &[],
        &[("tenant", "north")],
        &[("tenant", "south"), ("tenant", "said-by-the-client")],
        &[("tenant", "south"), ("authorization", "Bearer x")],
    ];
    for pairs in faulty {
        assert!(header_fault(&headers(pairs), id).is_some(), "{pairs:?}");
    }
}
