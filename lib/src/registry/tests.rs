//! What a host knows of the others when listings come in another order than the states that they show.

use std::time::Duration;

use tokio::time::Instant;

use crate::edges::kv::KvVersion;
use crate::registry::entry::HostEntry;
use crate::registry::entry::HostReadiness;
use crate::registry::entry::RegisteredHosts;

fn entry(host: &str, state: HostReadiness) -> HostEntry {
    HostEntry {
        host: host.to_owned(),
        incarnation: 1,
        process: 1,
        lease: None,
        replaced: Vec::new(),
        data_centre: "west".to_owned(),
        callers: Some("127.0.0.1:1".parse().unwrap()),
        peers: "127.0.0.1:2".parse().unwrap(),
        state,
    }
}

fn names(hosts: &RegisteredHosts) -> Vec<&str> {
    let entries = hosts.caller_entries().into_iter();
    entries.map(|entry| entry.host.as_str()).collect()
}

/// A cheap listing may be seconds old, and so older than the one before it.
#[tokio::test(start_paused = true)]
async fn test_registered_hosts_keep_what_an_older_listing_lacks() {
    let mut hosts = RegisteredHosts::default();
    let ready = |host| entry(host, HostReadiness::Ready);
    let newer = vec![ready("a"), entry("b", HostReadiness::Leaving), ready("c")];
    let older = vec![ready("a"), ready("b"), ready("d")];
    hosts.apply_listing(newer.clone(), KvVersion(20), Instant::now());
    assert_eq!(names(&hosts), ["a", "c"]);
    for _ in 0..8 {
        tokio::time::advance(Duration::from_secs(1)).await;
        hosts.apply_listing(older.clone(), KvVersion(10), Instant::now());
        assert_eq!(names(&hosts), ["a", "c"]);
        assert!(hosts.is_listed("c"));
    }
    hosts.apply_listing(newer, KvVersion(20), Instant::now());
    assert_eq!(names(&hosts), ["a", "c"]);
}

/// A service that was restored from a copy goes on at lower revisions.
#[tokio::test(start_paused = true)]
async fn test_registered_hosts_follow_a_restored_service() {
    let mut hosts = RegisteredHosts::default();
    let ready = |host| entry(host, HostReadiness::Ready);
    hosts.apply_listing(vec![ready("a")], KvVersion(20), Instant::now());
    for _ in 0..15 {
        tokio::time::advance(Duration::from_secs(1)).await;
        hosts.apply_listing(vec![ready("b")], KvVersion(10), Instant::now());
    }
    assert_eq!(names(&hosts), ["b"]);
}
