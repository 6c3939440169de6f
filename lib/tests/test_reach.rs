//! Tests of whether a host finds out that it is stranded, on the paused clock and without a network.

use std::net::SocketAddr;
use std::time::Duration;

use parsleywall::balancer::BalancerState;
use parsleywall::balancer::HostDatagram;
use parsleywall::balancer::HostLoadReport;
use parsleywall::balancer::LoadBalancer;
use parsleywall::balancer::UpstreamEntry;
use parsleywall::balancer::UpstreamLoad;
use parsleywall::balancer::UpstreamState;
use parsleywall::balancer::upstream_tag;
use parsleywall::collections::HashMap;
use parsleywall::ids::DataCentre;
use parsleywall::ids::HostId;
use parsleywall::ids::ServiceName;
use parsleywall::ids::SoftwareVersion;
use parsleywall::ids::UpstreamId;
use parsleywall::reach::ReachKeeper;
use parsleywall::reach::ReachNotice;
use parsleywall::reach::ReachState;
use parsleywall::reach::UnreachedCause;
use tokio::time::Instant;
use tokio::time::advance;

const STEP: Duration = Duration::from_millis(50);
const UPSTREAMS: [&str; 3] = ["u1", "u2", "u3"];

fn service() -> ServiceName {
    ServiceName::new("chat")
}

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 700))
}

/// A host under test, beside the hosts `h2` and `h3`.
struct ReachHost {
    keeper: ReachKeeper,
    balancer: LoadBalancer,
}

impl ReachHost {
    fn new(upstreams: &[&str]) -> Self {
        let mut state = BalancerState::new(HostId::new("h1"), DataCentre::new("east"));
        for (number, upstream) in upstreams.iter().enumerate() {
            state.put(UpstreamEntry {
                id: UpstreamId::new(upstream),
                service: service(),
                address: address(100 + number as u8),
                data_centre: DataCentre::new("east"),
                slots: 4,
                state: UpstreamState::Ready,
                started_ms: 1,
                software: SoftwareVersion::new("v1"),
            });
        }
        let keeper = ReachKeeper::default();
        let mut addresses = HashMap::default();
        addresses.insert("h2".to_owned(), address(2));
        addresses.insert("h3".to_owned(), address(3));
        keeper.set_hosts(addresses);
        Self {
            keeper,
            balancer: LoadBalancer::new(state),
        }
    }

    fn fail(&self, upstream: &str, cause: UnreachedCause) {
        let id = UpstreamId::new(upstream);
        self.keeper
            .record_unreached(&id, &service(), cause, Instant::now());
    }

    fn connect(&self, upstream: &str) {
        let id = UpstreamId::new(upstream);
        self.keeper
            .record_connected(&id, &service(), Instant::now());
    }

    fn hear(&self, upstream: &str) {
        let id = UpstreamId::new(upstream);
        self.keeper.record_heard(&id, &service(), Instant::now());
    }

    /// `host` reports that it recently got parts of answers from `active`.
    fn report(&self, host: &str, active: &[&str], notice: &ReachNotice) {
        let loads: Vec<UpstreamLoad> = active
            .iter()
            .map(|upstream| UpstreamLoad(upstream_tag(&UpstreamId::new(upstream)), 1, 0, true))
            .collect();
        self.keeper
            .apply_report(host, &loads, notice, Instant::now());
    }

    /// Lets `time` pass, in which the host `h2` reports the upstreams `active` and `fail` ones fail here.
    async fn play(&self, time: Duration, active: &[&str], failing: &[&str], cause: UnreachedCause) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            advance(STEP).await;
            self.report("h2", active, &ReachNotice::default());
            for upstream in failing {
                self.fail(upstream, cause);
            }
            self.keeper.step(&self.balancer, Instant::now());
        }
    }

    fn state(&self) -> ReachState {
        self.keeper.state(&service())
    }
}

#[tokio::test(start_paused = true)]
async fn test_host_that_loses_what_others_hear_is_stranded_within_half_a_second() {
    let host = ReachHost::new(&UPSTREAMS);
    let time = Duration::from_millis(400);
    host.play(time, &UPSTREAMS, &UPSTREAMS, UnreachedCause::Refused)
        .await;
    assert_eq!(host.state(), ReachState::Stranded);
    assert!(host.keeper.is_stranded());
    let other = ServiceName::new("embed");
    assert_eq!(host.keeper.state(&other), ReachState::Stranded);
}

#[tokio::test(start_paused = true)]
async fn test_upstreams_that_nobody_hears_have_failed_themselves() {
    let host = ReachHost::new(&UPSTREAMS);
    let time = Duration::from_secs(3);
    host.play(time, &[], &UPSTREAMS, UnreachedCause::Refused)
        .await;
    assert_eq!(host.state(), ReachState::Reached);
}

#[tokio::test(start_paused = true)]
async fn test_last_words_of_upstreams_that_crash_are_no_evidence() {
    let host = ReachHost::new(&UPSTREAMS);
    for upstream in UPSTREAMS {
        host.fail(upstream, UnreachedCause::Refused);
    }
    let time = Duration::from_millis(200);
    host.play(time, &UPSTREAMS, &UPSTREAMS, UnreachedCause::Refused)
        .await;
    let time = Duration::from_secs(2);
    host.play(time, &[], &UPSTREAMS, UnreachedCause::Refused)
        .await;
    assert_eq!(host.state(), ReachState::Reached);
}

#[tokio::test(start_paused = true)]
async fn test_host_alone_is_never_stranded() {
    let host = ReachHost::new(&UPSTREAMS);
    for _ in 0..60 {
        advance(STEP).await;
        for upstream in UPSTREAMS {
            host.fail(upstream, UnreachedCause::TimedOut);
        }
        host.keeper.step(&host.balancer, Instant::now());
    }
    assert_eq!(host.state(), ReachState::Reached);
}

#[tokio::test(start_paused = true)]
async fn test_upstream_that_falls_silent_for_a_second_strands_nobody() {
    let host = ReachHost::new(&UPSTREAMS);
    for upstream in UPSTREAMS {
        host.connect(upstream);
    }
    host.fail("u1", UnreachedCause::Silent);
    let time = Duration::from_secs(1);
    host.play(time, &["u2", "u3"], &[], UnreachedCause::Silent)
        .await;
    assert_eq!(host.state(), ReachState::Reached);
    host.hear("u1");
    host.play(time, &UPSTREAMS, &[], UnreachedCause::Silent)
        .await;
    assert_eq!(host.state(), ReachState::Reached);
}

#[tokio::test(start_paused = true)]
async fn test_bytes_on_open_connections_do_not_hide_that_new_ones_are_refused() {
    let host = ReachHost::new(&UPSTREAMS);
    for _ in 0..10 {
        host.play(STEP, &UPSTREAMS, &UPSTREAMS, UnreachedCause::Refused)
            .await;
        for upstream in UPSTREAMS {
            host.hear(upstream);
        }
    }
    host.play(STEP, &UPSTREAMS, &[], UnreachedCause::Refused)
        .await;
    assert_eq!(host.state(), ReachState::Stranded);
}

#[tokio::test(start_paused = true)]
async fn test_host_that_loses_one_of_several_upstreams_is_partly_stranded() {
    let host = ReachHost::new(&UPSTREAMS);
    let time = Duration::from_millis(400);
    host.play(time, &UPSTREAMS, &["u1"], UnreachedCause::Refused)
        .await;
    host.connect("u2");
    host.connect("u3");
    host.play(STEP, &UPSTREAMS, &["u1"], UnreachedCause::Refused)
        .await;
    assert_eq!(host.state(), ReachState::Partial(1.0 / 3.0));
    assert!(!host.keeper.is_stranded());
}

#[tokio::test(start_paused = true)]
async fn test_one_connection_ends_being_stranded() {
    let host = ReachHost::new(&UPSTREAMS);
    let time = Duration::from_millis(400);
    host.play(time, &UPSTREAMS, &UPSTREAMS, UnreachedCause::TimedOut)
        .await;
    assert_eq!(host.state(), ReachState::Stranded);
    for upstream in UPSTREAMS {
        host.connect(upstream);
    }
    host.keeper.step(&host.balancer, Instant::now());
    assert_eq!(host.state(), ReachState::Reached);
}

#[tokio::test(start_paused = true)]
async fn test_host_stays_stranded_while_others_are_idle_for_a_moment() {
    let host = ReachHost::new(&UPSTREAMS);
    let time = Duration::from_millis(400);
    host.play(time, &UPSTREAMS, &UPSTREAMS, UnreachedCause::TimedOut)
        .await;
    let time = Duration::from_millis(2_500);
    host.play(time, &[], &UPSTREAMS, UnreachedCause::TimedOut)
        .await;
    assert_eq!(host.state(), ReachState::Stranded);
    let time = Duration::from_millis(4_000);
    host.play(time, &[], &UPSTREAMS, UnreachedCause::TimedOut)
        .await;
    assert_eq!(host.state(), ReachState::Reached, "the upstreams failed");
}

#[tokio::test(start_paused = true)]
async fn test_detours_are_offered_by_hosts_that_reach_a_service_lately() {
    let host = ReachHost::new(&UPSTREAMS);
    let other = ReachHost::new(&UPSTREAMS);
    other.connect("u1");
    host.report("h2", &[], &other.keeper.own_notice(Instant::now()));
    host.report("h3", &[], &ReachNotice::default());
    let hosts = host.keeper.detour_hosts(&service());
    let hosts: Vec<_> = hosts
        .iter()
        .map(|host| (&*host.host, host.address))
        .collect();
    assert_eq!(hosts, [("h2", address(2))]);
    let time = Duration::from_millis(400);
    other
        .play(time, &UPSTREAMS, &UPSTREAMS, UnreachedCause::Refused)
        .await;
    let notice = other.keeper.own_notice(Instant::now());
    assert_eq!(notice.stranded.len(), 1);
    host.report("h2", &[], &notice);
    assert_eq!(host.keeper.detour_hosts(&service()), []);
    for upstream in UPSTREAMS {
        other.connect(upstream);
    }
    other.keeper.step(&other.balancer, Instant::now());
    host.report("h2", &[], &other.keeper.own_notice(Instant::now()));
    assert_eq!(host.keeper.detour_hosts(&service()).len(), 1);
    advance(Duration::from_millis(1_200)).await;
    assert_eq!(host.keeper.detour_hosts(&service()), []);
}

#[tokio::test(start_paused = true)]
async fn test_hosts_answer_whether_they_hear_what_another_has_lost() {
    let host = ReachHost::new(&UPSTREAMS);
    let other = ReachHost::new(&UPSTREAMS);
    host.fail("u1", UnreachedCause::Refused);
    host.fail("u2", UnreachedCause::Refused);
    advance(Duration::from_millis(300)).await;
    other.connect("u1");
    other.connect("u2");
    other.connect("u3");
    other.report("h1", &[], &host.keeper.own_notice(Instant::now()));
    let notice = other.keeper.own_notice(Instant::now());
    assert_eq!(notice.heard.len(), 2);
    host.report("h2", &[], &notice);
    host.keeper.step(&host.balancer, Instant::now());
    assert_eq!(host.state(), ReachState::Stranded);
}

#[test]
fn test_reports_of_earlier_releases_say_nothing_of_reach() {
    let sent = HostLoadReport {
        host: "h2".to_owned(),
        incarnation: 1,
        sequence: 1,
        is_leaving: false,
        loads: Vec::new(),
        leaving: Vec::new(),
        ended: Vec::new(),
        waiting: Vec::new(),
        convictions: 0,
        limits: Vec::new(),
        reach: Box::default(),
    };
    let value = ciborium::Value::serialized(&sent).unwrap();
    let fields = value.into_map().unwrap();
    let is_reach = |key: &ciborium::Value| key.as_text() == Some("t");
    assert!(!fields.iter().any(|(key, _)| is_reach(key)));
    let bytes = HostDatagram::Load(sent.clone()).encode();
    assert_eq!(HostDatagram::decode(&bytes), Some(HostDatagram::Load(sent)));
}
