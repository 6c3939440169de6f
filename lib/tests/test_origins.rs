//! Streams go on only at the version of the upstream's software that began them.

mod opaque;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use opaque::all_events;
use opaque::read_stream;
use opaque::request;
use opaque::route;
use opaque::spawn_origin_exchange;
use opaque::upstream_with;
use parsleywall::clock::unix_millis;
use parsleywall::edges::kv::Expect;
use parsleywall::edges::kv::KvStore;
use parsleywall::ids::RequestId;
use parsleywall::ids::ServiceName;
use parsleywall::ids::SoftwareVersion;
use parsleywall::ids::UpstreamId;
use parsleywall::origins::OriginKeeper;
use parsleywall::origins::SeenVersions;
use parsleywall::origins::VersionArchive;
use parsleywall::origins::VersionHistory;
use parsleywall::relay::RelayAnswer;
use parsleywall::relay::RelayRefusal;
use parsleywall::relay::RelayRequest;
use parsleywall::relay::RequestRelay;
use parsleywall::routes::RouteKind;
use parsleywall_standins::kv::KvMemory;
use parsleywall_standins::opaque::OpaqueBehaviour;
use parsleywall_standins::opaque::OpaqueUpstreams;
use tokio::time::Instant;

const RESUMABLE: RouteKind = RouteKind::Stream { resumable: true };
const EVENTS: u64 = 20;
const HOSTS: usize = 6;
const DAY_MS: i64 = 24 * 3600 * 1000;
/// Key of the stored history of versions.
const HISTORY_KEY: &str = "versions/history";

fn upstreams() -> Arc<OpaqueUpstreams> {
    OpaqueUpstreams::new(EVENTS, Duration::from_millis(60), Duration::from_millis(20))
}

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::new(name)
}

fn service() -> ServiceName {
    ServiceName::new("desk")
}

/// Adds upstreams by their names, each with the version that its name begins with.
fn put(relay: &RequestRelay, names: &[&str]) {
    for name in names {
        let entry = upstream_with(name, &name[..2]);
        relay.balancer().state().put(entry);
    }
}

fn remove(relay: &RequestRelay, name: &str) {
    relay.balancer().state().remove(&UpstreamId::new(name));
}

/// Relays of a fleet that use the same upstreams and have just started.
fn fleet(transport: &Arc<OpaqueUpstreams>, upstreams: &[&str]) -> Vec<RequestRelay> {
    let names: Vec<String> = (0..HOSTS).map(|number| format!("host-{number}")).collect();
    let relays = names.iter().map(|name| {
        let relay = opaque::new_relay(name, transport.clone(), &[]);
        let hosts = names.iter().map(String::as_str);
        relay.balancer().state().set_hosts(hosts);
        put(&relay, upstreams);
        relay.origins().load_history(&VersionHistory::default());
        relay
    });
    relays.collect()
}

/// A request that takes up the stream that the request `began` has begun.
fn take_up(id: &str, began: &str, after: u64) -> RelayRequest {
    RelayRequest {
        resume_after: Some(after),
        resumes: Some(RequestId::new(began)),
        ..request(id, route(RESUMABLE, 2))
    }
}

fn is_not_resumable(answer: &RelayAnswer) -> bool {
    matches!(
        answer,
        RelayAnswer::Refused {
            reason: RelayRefusal::NotResumable,
            ..
        }
    )
}

/// Begins the stream `id` at `relay` and has its caller read `events` events before it leaves.
async fn begin(relay: &RequestRelay, id: &str, events: usize) {
    use futures_util::StreamExt;
    let answer = relay.relay(request(id, route(RESUMABLE, 2))).await;
    let RelayAnswer::Stream { body, .. } = answer else {
        panic!("no stream");
    };
    let read: Vec<_> = body.take(events).collect().await;
    assert_eq!(read.len(), events);
}

#[tokio::test(start_paused = true)]
async fn test_stream_is_not_resumed_at_another_software_version() {
    for behaviour in [
        OpaqueBehaviour::BreaksAfter(7),
        OpaqueBehaviour::SilentAfter(7),
    ] {
        let transport = upstreams();
        let relay = opaque::new_relay("host-a", transport.clone(), &[]);
        put(&relay, &["v1-a"]);
        transport.set("v1-a", behaviour);
        let answer = relay.relay(request("r1", route(RESUMABLE, 2))).await;
        put(&relay, &["v2-a", "v2-b"]);
        assert_eq!(read_stream(answer).await, (all_events("r1", 7), false));
        assert_eq!(transport.runs("r1").len(), 1, "{behaviour:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn test_stream_is_resumed_at_its_software_version_among_three() {
    let transport = upstreams();
    let relay = opaque::new_relay("host-a", transport.clone(), &[]);
    put(&relay, &["v2-a"]);
    transport.set("v2-a", OpaqueBehaviour::BreaksAfter(7));
    let answer = relay.relay(request("r1", route(RESUMABLE, 2))).await;
    put(&relay, &["v1-a", "v1-b", "v3-a", "v3-b", "v2-b"]);
    assert_eq!(read_stream(answer).await, (all_events("r1", EVENTS), true));
    assert_eq!(transport.runs("r1")[1].upstream, "v2-b");
}

#[tokio::test(start_paused = true)]
async fn test_take_up_at_another_host_goes_on_at_the_version_that_began() {
    let transport = upstreams();
    let relays = fleet(&transport, &["v1-a", "v1-b", "v2-a", "v2-b"]);
    let exchange = spawn_origin_exchange(relays.clone());
    for number in 0..40 {
        let (began, id) = (format!("r{number}"), format!("t{number}"));
        begin(&relays[number % HOSTS], &began, 5).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        let other = &relays[(number + 1 + number % (HOSTS - 1)) % HOSTS];
        let answer = other.relay(take_up(&id, &began, 5)).await;
        assert!(read_stream(answer).await.1, "{began} goes on");
        let (first, second) = (&transport.runs(&began)[0], &transport.runs(&id)[0]);
        assert_eq!(first.upstream[..2], second.upstream[..2], "{began}");
    }
    exchange.abort();
}

#[tokio::test(start_paused = true)]
async fn test_take_up_of_a_version_that_is_gone_is_refused_at_once() {
    let transport = upstreams();
    let relays = fleet(&transport, &["v1-a"]);
    let exchange = spawn_origin_exchange(relays.clone());
    begin(&relays[0], "r1", 5).await;
    tokio::time::sleep(Duration::from_millis(20)).await;
    for relay in &relays {
        put(relay, &["v2-a", "v2-b"]);
        remove(relay, "v1-a");
    }
    let asked = tokio::time::Instant::now();
    let answer = relays[1].relay(take_up("t1", "r1", 5)).await;
    assert!(is_not_resumable(&answer));
    assert!(asked.elapsed() < Duration::from_millis(100));
    assert!(transport.runs("t1").is_empty());
    // A rollback brings the version back.
    put(&relays[1], &["v1-b"]);
    let answer = relays[1].relay(take_up("t2", "r1", 5)).await;
    assert!(read_stream(answer).await.1);
    assert_eq!(transport.runs("t2")[0].upstream, "v1-b");
    exchange.abort();
}

/// Guards against streams that are joined from two versions while the entry of an upstream lags behind its
/// process: it ended and started again under its identifier, perhaps with other software (review/3).
#[tokio::test(start_paused = true)]
async fn test_nothing_goes_on_at_an_upstream_that_ended_before_its_entry_changes() {
    let (first, gap) = (Duration::from_millis(100), Duration::from_millis(150));
    let transport = OpaqueUpstreams::new(EVENTS, first, gap);
    let relay = opaque::new_relay("host-a", transport.clone(), &[]);
    relay.origins().load_history(&VersionHistory::default());
    let exchange = spawn_origin_exchange(vec![relay.clone()]);
    put(&relay, &["v1-a"]);
    transport.set("v1-a", OpaqueBehaviour::BreaksAfter(15));
    let running = relay.relay(request("r1", route(RESUMABLE, 2))).await;
    let running = tokio::spawn(read_stream(running));
    put(&relay, &["v1-b"]);
    transport.set("v1-b", OpaqueBehaviour::Unreachable);
    let refused = tokio::spawn({
        let relay = relay.clone();
        async move { relay.relay(request("r2", route(RESUMABLE, 2))).await }
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(transport.attempts()[1].upstream, "v1-b");
    transport.set("v1-b", OpaqueBehaviour::Serves);
    tokio::time::sleep(Duration::from_secs(1)).await;
    transport.set("v1-a", OpaqueBehaviour::Full);
    begin(&relay, "r0", 2).await;
    assert_eq!(
        transport.runs("r0")[0].upstream,
        "v1-b",
        "it is sound again"
    );
    assert_eq!(running.await.unwrap(), (all_events("r1", 15), false));
    assert_eq!(transport.runs("r1").len(), 1);
    drop(refused.await);

    // New streams begin there, and go on nowhere.
    remove(&relay, "v1-a");
    tokio::time::sleep(Duration::from_secs(5)).await;
    begin(&relay, "r3", 5).await;
    assert_eq!(transport.runs("r3")[0].upstream, "v1-b");
    put(&relay, &["v1-c", "v1-d"]);
    for (id, began) in [("t3", "r3"), ("t4", "r4")] {
        let answer = relay.relay(take_up(id, began, 5)).await;
        assert!(is_not_resumable(&answer), "{began}");
    }

    // With the next entry of the new process, its version is known again.
    remove(&relay, "v1-c");
    remove(&relay, "v1-d");
    let entry = parsleywall::balancer::UpstreamEntry {
        started_ms: 2,
        ..upstream_with("v1-b", "v2")
    };
    relay.balancer().state().put(entry);
    begin(&relay, "r5", 5).await;
    let answer = relay.relay(take_up("t5", "r5", 5)).await;
    assert!(read_stream(answer).await.1);
    exchange.abort();
}

/// Guards against streams that go on at the next process of an upstream, which may run other software, as
/// nobody met the closed port between the two (issue 41).
#[tokio::test(start_paused = true)]
async fn test_nothing_goes_on_at_an_upstream_that_restarted_unseen() {
    let transport = upstreams();
    let relay = opaque::new_relay("host-a", transport.clone(), &[]);
    relay.origins().load_history(&VersionHistory::default());
    let exchange = spawn_origin_exchange(vec![relay.clone()]);
    put(&relay, &["v1-a"]);
    transport.set("v1-a", OpaqueBehaviour::BreaksAfter(7));
    let running = relay.relay(request("r1", route(RESUMABLE, 2))).await;
    put(&relay, &["v1-b"]);
    transport.set_start("v1-b", Some(2));
    assert_eq!(read_stream(running).await, (all_events("r1", 7), false));
    assert_eq!(transport.runs("r1").len(), 1);

    // The upstream at which the stream broke still serves.
    transport.set("v1-a", OpaqueBehaviour::Serves);
    let answer = relay.relay(take_up("t1", "r1", 7)).await;
    assert!(read_stream(answer).await.1);
    assert_eq!(transport.runs("t1")[0].upstream, "v1-a");
    transport.set_start("v1-a", Some(2));
    let answer = relay.relay(take_up("t2", "r1", 7)).await;
    assert!(is_not_resumable(&answer));
    assert!(transport.runs("t2").is_empty());
    exchange.abort();
}

/// Guards against take-ups that are refused among restarted and unknown processes although one of the
/// version still serves.
#[tokio::test(start_paused = true)]
async fn test_take_up_finds_the_process_of_its_version_among_others() {
    let transport = upstreams();
    let relay = opaque::new_relay("host-a", transport.clone(), &[]);
    put(&relay, &["v1-a", "v1-b", "v1-c", "v1-d", "v2-a", "v3-a"]);
    transport.set_start("v1-a", Some(2));
    transport.set_start("v1-b", None);
    transport.set_start("v1-c", Some(2));
    for name in ["v2-a", "v3-a"] {
        transport.set(name, OpaqueBehaviour::Full);
    }
    begin(&relay, "r1", 5).await;
    for number in 0..10 {
        let id = format!("t{number}");
        let answer = relay.relay(take_up(&id, "r1", 5)).await;
        assert!(read_stream(answer).await.1, "{id}");
        assert_eq!(transport.runs(&id)[0].upstream, "v1-d");
    }
}

/// All hosts are killed, so that none of them knows the stream.
#[tokio::test(start_paused = true)]
async fn test_take_up_after_all_hosts_were_killed_is_refused_if_two_versions_served() {
    let transport = upstreams();
    let old = fleet(&transport, &["v1-a", "v2-a"]);
    begin(&old[0], "r1", 5).await;
    let relays = fleet(&transport, &["v1-a", "v2-a"]);
    let exchange = spawn_origin_exchange(relays.clone());
    let answer = relays[1].relay(take_up("t1", "r1", 5)).await;
    assert!(is_not_resumable(&answer));
    assert!(transport.runs("t1").is_empty());
    exchange.abort();
}

#[tokio::test(start_paused = true)]
async fn test_take_up_after_all_hosts_were_killed_goes_on_if_one_version_served() {
    let transport = upstreams();
    let old = fleet(&transport, &["v1-a", "v1-b"]);
    begin(&old[0], "r1", 5).await;
    let relays = fleet(&transport, &["v1-a", "v1-b"]);
    let exchange = spawn_origin_exchange(relays.clone());
    let answer = relays[1].relay(take_up("t1", "r1", 5)).await;
    assert!(read_stream(answer).await.1);
    // While it does not follow the entries of upstreams, a host may not know of a newer version.
    relays[2].origins().set_current(false);
    let answer = relays[2].relay(take_up("t2", "r9", 5)).await;
    assert!(is_not_resumable(&answer));
    exchange.abort();
}

/// The versions of the time before the hosts were killed come from the key-value service.
#[tokio::test(start_paused = true)]
async fn test_version_that_served_before_all_hosts_were_killed_is_known_from_the_store() {
    let kv = KvMemory::new();
    let before = OriginKeeper::default();
    let archive = VersionArchive::new(kv.clone(), before.clone());
    archive.load().await;
    before.update_history(1, || vec![(service(), version("v1"))]);
    assert!(archive.store().await);

    let transport = upstreams();
    let relay = opaque::new_relay("host-a", transport.clone(), &[]);
    let exchange = spawn_origin_exchange(vec![relay.clone()]);
    put(&relay, &["v2-a", "v2-b"]);
    let early = relay.relay(take_up("t0", "r1", 5)).await;
    assert!(is_not_resumable(&early), "before the history was read");
    VersionArchive::new(kv.clone(), relay.origins().clone())
        .load()
        .await;
    let answer = relay.relay(take_up("t1", "r1", 5)).await;
    assert!(is_not_resumable(&answer));
    tokio::time::sleep(Duration::from_secs(30)).await;
    let answer = relay.relay(take_up("t2", "r2", 5)).await;
    assert!(read_stream(answer).await.1, "v1 is long gone");
    exchange.abort();
}

/// What a host reads of a version that has ended, by a clock that is wrong by `shift_ms`.
fn stored_history(shift_ms: i64) -> Bytes {
    let end = unix_millis().saturating_add_signed(shift_ms);
    let text = format!(r#"{{"services":{{"desk":{{"v1":{end},"v2":null}}}}}}"#);
    Bytes::from(text)
}

/// The versions of the service in the stored history, with their ends.
async fn stored_versions(kv: &KvMemory) -> BTreeMap<String, Option<u64>> {
    let entry = kv.get(HISTORY_KEY).await.unwrap().unwrap();
    let stored: serde_json::Value = serde_json::from_slice(&entry.value).unwrap();
    serde_json::from_value(stored["services"]["desk"].clone()).unwrap()
}

/// Guards against streams that are joined from two versions, or refused for ever, as a host believes the
/// clock of another one, or its own before a restart, about when a version ended (issue 44).
#[tokio::test(start_paused = true)]
async fn test_version_that_a_wrong_clock_ended_may_have_served_until_the_store_was_read() {
    for shift_ms in [-30 * DAY_MS, -400_000, 0, 400_000, 30 * DAY_MS] {
        let kv = KvMemory::new();
        let stored = stored_history(shift_ms);
        let written = kv.put(HISTORY_KEY, stored, Expect::Absent, None);
        written.await.unwrap();
        // All hosts have restarted.
        let transport = upstreams();
        let relay = opaque::new_relay("host-a", transport.clone(), &[]);
        let exchange = spawn_origin_exchange(vec![relay.clone()]);
        put(&relay, &["v2-a", "v2-b"]);
        let archive = VersionArchive::new(kv.clone(), relay.origins().clone());
        archive.load().await;
        let early = relay.relay(take_up("t1", "r1", 5)).await;
        assert!(is_not_resumable(&early), "clock off by {shift_ms} ms");
        assert!(transport.runs("t1").is_empty());
        tokio::time::sleep(Duration::from_secs(30)).await;
        let late = relay.relay(take_up("t2", "r2", 5)).await;
        assert!(read_stream(late).await.1, "clock off by {shift_ms} ms");
        exchange.abort();
    }
}

/// Versions leave the stored history once a writer has known of their end for the retention time, whatever
/// time the host wrote that stored it.
#[tokio::test(start_paused = true)]
async fn test_versions_that_ended_leave_the_stored_history() {
    for shift_ms in [-30 * DAY_MS, -400_000, 0, 400_000, 30 * DAY_MS] {
        let kv = KvMemory::new();
        let stored = stored_history(shift_ms);
        let written = kv.put(HISTORY_KEY, stored, Expect::Absent, None);
        written.await.unwrap();
        let keeper = OriginKeeper::default();
        let archive = VersionArchive::new(kv.clone(), keeper.clone());
        archive.load().await;
        let read_at = Instant::now();
        keeper.update_history(1, || vec![(service(), version("v2"))]);
        let names = |versions: BTreeMap<String, _>| versions.into_keys().collect::<Vec<_>>();
        while read_at.elapsed() < Duration::from_secs(119) {
            assert!(!archive.has_expired(), "{:?}", read_at.elapsed());
            assert!(archive.store().await);
            assert_eq!(names(stored_versions(&kv).await), ["v1", "v2"]);
            tokio::time::sleep(Duration::from_secs(10)).await;
        }
        assert!(archive.has_expired(), "clock off by {shift_ms} ms");
        assert!(archive.store().await);
        assert_eq!(names(stored_versions(&kv).await), ["v2"]);
        assert!(!archive.has_expired());
    }
}

/// An end that another host stored lately is kept, though this one knew of an earlier end of the version
/// for long.
#[tokio::test(start_paused = true)]
async fn test_later_end_of_a_version_is_kept_for_the_whole_time() {
    let kv = KvMemory::new();
    let hosts = [0, 1].map(|_| {
        let keeper = OriginKeeper::default();
        (VersionArchive::new(kv.clone(), keeper.clone()), keeper)
    });
    let [(one, keeper_one), (other, keeper_other)] = &hosts;
    let serving = |names: &[&str]| -> Vec<_> {
        let versions = names.iter().map(|name| (service(), version(name)));
        versions.collect()
    };
    for (archive, keeper) in &hosts {
        archive.load().await;
        keeper.update_history(1, || serving(&["v1", "v2"]));
        keeper.update_history(2, || serving(&["v2"]));
        assert!(archive.store().await);
    }
    let first = stored_versions(&kv).await["v1"].unwrap();
    assert!(
        first.abs_diff(unix_millis()) < 60_000,
        "a time of day, for the earlier release"
    );
    tokio::time::sleep(Duration::from_secs(100)).await;
    // The version comes back, and ends again.
    keeper_one.update_history(3, || serving(&["v1", "v2"]));
    assert!(one.store().await);
    assert_eq!(stored_versions(&kv).await["v1"], None);
    keeper_one.update_history(4, || serving(&["v2"]));
    assert!(one.store().await);
    tokio::time::sleep(Duration::from_secs(50)).await;
    keeper_other.update_history(5, || serving(&["v2", "v3"]));
    assert!(other.store().await);
    assert!(stored_versions(&kv).await.contains_key("v1"));
    tokio::time::sleep(Duration::from_secs(71)).await;
    assert!(one.has_expired());
    assert!(one.store().await);
    assert!(!stored_versions(&kv).await.contains_key("v1"));
}

#[test]
fn test_history_tells_the_sole_version_of_a_time() {
    let both = [(service(), version("v1")), (service(), version("v2"))];
    let age = Duration::from_secs(5);
    let began = Instant::now();
    let after = |seconds| began + Duration::from_secs(seconds);
    let mut seen = SeenVersions::default();
    assert_eq!(seen.sole_version(&service(), age, after(1)), None);
    assert!(seen.update(&both[..1], after(1)));
    assert!(!seen.update(&both[..1], after(2)));
    let sole = |seen: &SeenVersions, at| seen.sole_version(&service(), age, after(at));
    assert_eq!(sole(&seen, 3), Some(version("v1")));
    assert!(seen.update(&both, after(100)));
    assert_eq!(sole(&seen, 100), None);
    assert!(seen.update(&both[1..], after(200)));
    assert_eq!(sole(&seen, 209), None);
    assert_eq!(sole(&seen, 211), Some(version("v2")));
    // The version comes back.
    assert!(seen.update(&both, after(212)));
    assert_eq!(sole(&seen, 212), None);
}

#[tokio::test(start_paused = true)]
async fn test_merged_history_has_the_versions_of_both() {
    let kv = KvMemory::new();
    let other = OriginKeeper::default();
    other.update_history(1, || vec![(service(), version("v2"))]);
    assert!(VersionArchive::new(kv.clone(), other).store().await);
    let one = OriginKeeper::default();
    one.update_history(1, || vec![(service(), version("v1"))]);
    let archive = VersionArchive::new(kv.clone(), one.clone());
    assert!(archive.store().await);
    let both = BTreeMap::from(["v1", "v2"].map(|name| (name.to_owned(), None)));
    assert_eq!(stored_versions(&kv).await, both);

    let mut seen = SeenVersions::default();
    let began = Instant::now();
    seen.update(&[(service(), version("v1"))], began);
    let entry = kv.get(HISTORY_KEY).await.unwrap().unwrap();
    let stored = serde_json::from_slice(&entry.value).unwrap();
    seen.add_stored(&stored, began + Duration::from_secs(1));
    let age = Duration::from_secs(5);
    let now = began + Duration::from_secs(2);
    assert_eq!(seen.sole_version(&service(), age, now), None);
}

/// Without the identifier of the stream, only the time tells which version began it.
/// Guards against a stream of a version that a host has not heard of: upstreams of it joined while the host
/// was cut off or did not run, and the only version that it knows is another one. Such a host hears nobody,
/// or others that see more.
#[tokio::test(start_paused = true)]
async fn test_take_up_at_a_host_with_an_outdated_view_is_refused() {
    for is_cut_off in [true, false] {
        for names_stream in [true, false] {
            let transport = upstreams();
            let before = fleet(&transport, &["v2-a"]);
            begin(&before[1], "r1", 5).await;
            // All but the first host have restarted, and know of the newer version only.
            let mut relays = fleet(&transport, &["v2-a", "v2-b"]);
            relays[0] = fleet(&transport, &["v1-a"]).remove(0);
            let outdated = relays[0].clone();
            if is_cut_off {
                relays.remove(0);
            }
            let exchange = spawn_origin_exchange(relays);
            let mut taken_up = take_up("r2", "r1", 5);
            if !names_stream {
                taken_up.resumes = None;
            }
            let answer = outdated.relay(taken_up).await;
            let what = format!("cut off: {is_cut_off}, names the stream: {names_stream}");
            assert!(is_not_resumable(&answer), "{what}");
            assert!(transport.runs("r2").is_empty(), "{what}");
            exchange.abort();
        }
    }
}

#[tokio::test(start_paused = true)]
async fn test_take_up_that_names_no_stream_goes_on_if_one_version_served() {
    let transport = upstreams();
    let relays = fleet(&transport, &["v1-a"]);
    let exchange = spawn_origin_exchange(relays.clone());
    let unnamed = |id: &str| RelayRequest {
        resumes: None,
        ..take_up(id, "r1", 5)
    };
    assert!(read_stream(relays[0].relay(unnamed("t1")).await).await.1);
    for relay in &relays {
        put(relay, &["v2-a"]);
    }
    assert!(is_not_resumable(&relays[0].relay(unnamed("t2")).await));
    exchange.abort();
}
