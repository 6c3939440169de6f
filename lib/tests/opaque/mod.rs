//! Helpers shared by the tests of opaque requests and jobs.
#![allow(dead_code)] // Each test program uses some of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use http::HeaderMap;
use http::Method;
use parsleywall::balancer::BalancerState;
use parsleywall::balancer::LoadBalancer;
use parsleywall::balancer::UpstreamEntry;
use parsleywall::balancer::UpstreamState;
use parsleywall::event_log::EventLog;
use parsleywall::ids::DataCentre;
use parsleywall::ids::HostId;
use parsleywall::ids::RequestId;
use parsleywall::ids::ServiceName;
use parsleywall::ids::SoftwareVersion;
use parsleywall::ids::UpstreamId;
use parsleywall::ids::WorkClass;
use parsleywall::origins::HostTag;
use parsleywall::origins::StreamTag;
use parsleywall::relay::RelayAnswer;
use parsleywall::relay::RelayRequest;
use parsleywall::relay::RequestRelay;
use parsleywall::relay::UpstreamTransport;
use parsleywall::routes::CallerLimits;
use parsleywall::routes::Route;
use parsleywall::routes::RouteKind;
use parsleywall::routes::RouteTable;
use parsleywall::routes::ServiceWeight;
use parsleywall::workspaces::CallerIdentity;
use tokio::time::Instant;

pub(crate) const HOST: &str = "desk.example";
pub(crate) const SLOTS: u32 = 4;

pub(crate) fn route(kind: RouteKind, attempts: u32) -> Route {
    Route {
        name: "route".to_owned(),
        host: HOST.to_owned(),
        prefix: "/ask/".to_owned(),
        kind,
        service_weights: vec![ServiceWeight {
            service: ServiceName::new("desk"),
            weight: 1,
        }],
        attempts,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(300),
        gap_objective: Some(Duration::from_millis(300)),
        priority: 0,
        run_objective: Duration::from_secs(18),
        retention: Duration::from_secs(60),
        is_public: false,
    }
}

pub(crate) fn table(version: u64, kind: RouteKind) -> RouteTable {
    let routes = vec![route(kind, 3)];
    RouteTable::new(version, CallerLimits::default(), Vec::new(), routes)
}

pub(crate) fn upstream(name: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: UpstreamId::new(name),
        service: ServiceName::new("desk"),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        data_centre: DataCentre::new("west"),
        slots: SLOTS,
        state: UpstreamState::Ready,
        started_ms: 1,
        software: SoftwareVersion::new("v1"),
    }
}

/// Entry of an upstream that runs another version of the software.
pub(crate) fn upstream_with(name: &str, software: &str) -> UpstreamEntry {
    UpstreamEntry {
        software: SoftwareVersion::new(software),
        ..upstream(name)
    }
}

/// Lets the hosts of `relays` exchange the versions at which streams began, and where they run, until the
/// task is aborted.
pub(crate) fn spawn_origin_exchange(relays: Vec<RequestRelay>) -> tokio::task::JoinHandle<()> {
    spawn_partial_exchange(relays, true)
}

/// Does the same, but loses all news of take-ups unless `tells_take_ups`.
pub(crate) fn spawn_partial_exchange(
    relays: Vec<RequestRelay>,
    tells_take_ups: bool,
) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        let name = |number: usize| relays[number].balancer().state().host().to_owned();
        loop {
            for number in 0..relays.len() {
                let origins = relays[number].origins();
                let registrars = |tag: StreamTag| {
                    let near = relays[number]
                        .balancer()
                        .state()
                        .hosts_near(tag.position(), 3);
                    (0..relays.len()).filter(move |other| near.contains(&name(*other)))
                };
                for notice in origins.take_notices() {
                    for other in registrars(notice.origins[0].0) {
                        relays[other].origins().apply(&notice);
                    }
                }
                for (host, notice) in origins.take_take_ups() {
                    if !tells_take_ups {
                        continue;
                    }
                    let host_at =
                        |tag| (0..relays.len()).find(|at| HostTag::new(&name(*at)) == tag);
                    let told = host_at(host).map(|at| relays[at].origins());
                    let reply = told.and_then(|told| told.apply_take_up(&notice));
                    if let (Some(reply), Some(from)) = (reply, host_at(notice.host)) {
                        relays[from].origins().apply_take_up_reply(&reply);
                    }
                }
                for tag in origins.take_queries() {
                    origins.note_asked(tag, registrars(tag).count());
                    for other in registrars(tag) {
                        relays[other].update_versions();
                        let reply = relays[other].origins().reply(tag, &name(other));
                        origins.apply_reply(&reply);
                    }
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
}

/// Lets the hosts of `relays` exchange what they know of crashes until the task is aborted.
pub(crate) fn spawn_crash_exchange(relays: Vec<RequestRelay>) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        loop {
            for (sender, relay) in relays.iter().enumerate() {
                let Some(news) = relay.crashes().take_news() else {
                    continue;
                };
                let others = relays.iter().enumerate();
                for (_, other) in others.filter(|(number, _)| *number != sender) {
                    let fleet = other.balancer().state().fleet_size();
                    other.crashes().apply(news.clone(), fleet);
                }
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    })
}

pub(crate) fn new_relay(
    host: &str,
    wire: Arc<dyn UpstreamTransport>,
    upstreams: &[&str],
) -> RequestRelay {
    new_logged_relay(host, wire, upstreams, EventLog::disabled())
}

/// Returns a relay that writes its decisions to `log`.
pub(crate) fn new_logged_relay(
    host: &str,
    wire: Arc<dyn UpstreamTransport>,
    upstreams: &[&str],
    log: EventLog,
) -> RequestRelay {
    let mut book = BalancerState::new(HostId::new(host), DataCentre::new("west"));
    for name in upstreams {
        book.put(upstream(name));
    }
    RequestRelay::new(wire, LoadBalancer::new(book), log)
}

pub(crate) fn request(id: &str, route: Route) -> RelayRequest {
    let now = Instant::now();
    RelayRequest {
        id: RequestId::new(id),
        class: WorkClass::Online,
        service: ServiceName::new("desk"),
        version: 1,
        method: Method::POST,
        target: "/ask/1".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"body"),
        received: now,
        deadline: now + route.timeout,
        resume_after: None,
        resumes: None,
        software: None,
        prompt_parts: Vec::new(),
        caller: CallerIdentity::Unchecked,
        route: Arc::new(route),
    }
}

/// Text of an answer's events, and whether the stream ended without an error.
pub(crate) async fn read_stream(answer: RelayAnswer) -> (String, bool) {
    let RelayAnswer::Stream { mut body, .. } = answer else {
        panic!("the answer is no stream: {}", answer_name(&answer));
    };
    let mut text = String::new();
    while let Some(part) = body.next().await {
        match part {
            Ok(bytes) => text.push_str(std::str::from_utf8(&bytes).unwrap()),
            Err(_) => return (text, false),
        }
    }
    (text, true)
}

pub(crate) fn answer_name(answer: &RelayAnswer) -> &'static str {
    match answer {
        RelayAnswer::Refused { .. } => "refused",
        RelayAnswer::Whole { .. } => "whole",
        RelayAnswer::Stream { .. } => "stream",
        RelayAnswer::Lost => "lost",
        RelayAnswer::TimedOut => "timed_out",
    }
}

/// Text of the `count` events of a complete answer to the request with the identifier `request`.
pub(crate) fn all_events(request: &str, count: u64) -> String {
    (1..=count)
        .map(|id| format!("id: {id}\ndata: {request} {id}\n\n"))
        .collect()
}
