//! Selection of routes by host name and path, and of services by weight.

use std::time::Duration;

use parsleywall::ids::ServiceName;
use parsleywall::routes::CallerLimits;
use parsleywall::routes::Route;
use parsleywall::routes::RouteKind;
use parsleywall::routes::RouteTable;
use parsleywall::routes::ServiceWeight;

fn route(host: &str, prefix: &str, weights: &[u32]) -> Route {
    let service_weights = weights
        .iter()
        .enumerate()
        .map(|(number, weight)| ServiceWeight {
            service: ServiceName::new(format!("service-{number}")),
            weight: *weight,
        });
    Route {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        service_weights: service_weights.collect(),
        attempts: 1,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        gap_objective: None,
        priority: 0,
        run_objective: Duration::from_secs(10),
        retention: Duration::from_secs(60),
        is_public: false,
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    RouteTable::new(7, CallerLimits::default(), Vec::new(), routes)
}

#[test]
fn test_select_longest_prefix() {
    let table = table(vec![
        route("a.example", "/x/", &[1]),
        route("a.example", "/x/y/", &[1]),
        route("b.example", "/", &[1]),
    ]);
    let name = |host, path| table.select(host, path).map(|route| route.name.as_str());
    assert_eq!(name("a.example", "/x/y/z"), Some("a.example/x/y/"));
    assert_eq!(name("a.example", "/x/yz"), Some("a.example/x/"));
    assert_eq!(name("a.example", "/other"), None);
    assert_eq!(name("c.example", "/x/"), None);
    assert_eq!(name("B.example:8080", "/any"), Some("b.example/"));
    assert!(table.has_host("A.EXAMPLE:1"));
    assert_eq!(table.len(), 3);
}

#[test]
fn test_service_by_weight() {
    let route = route("a.example", "/", &[90, 0, 10]);
    let mut counts = [0; 3];
    for draw in 0..1_000 {
        match route.choose_service(draw).expect("a service").as_str() {
            "service-0" => counts[0] += 1,
            "service-1" => counts[1] += 1,
            _ => counts[2] += 1,
        }
    }
    assert_eq!(counts, [900, 0, 100]);
    let none = self::route("a.example", "/", &[0]);
    assert_eq!(none.choose_service(3), None);
}

#[test]
fn test_kind_what_may_repeat() {
    assert!(RouteKind::Idempotent.is_retryable());
    assert!(RouteKind::Stream { resumable: true }.is_retryable());
    assert!(!RouteKind::Stream { resumable: false }.is_retryable());
    assert!(!RouteKind::NonIdempotent.is_retryable());
}
