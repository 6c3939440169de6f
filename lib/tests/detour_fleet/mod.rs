//! Hosts whose requests take detours, for tests.
#![allow(dead_code)] // Each test program uses some of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use parsleywall::balancer::UpstreamChoice;
use parsleywall::collections::HashMap;
use parsleywall::detour::DetourCall;
use parsleywall::detour::DetourConnection;
use parsleywall::detour::DetourFrames;
use parsleywall::detour::DetourLink;
use parsleywall::detour::DetourServer;
use parsleywall::event_log::EventLog;
use parsleywall::ids::HostId;
use parsleywall::ids::ServiceName;
use parsleywall::origins::VersionHistory;
use parsleywall::reach::ProbeTarget;
use parsleywall::reach::UnreachedCause;
use parsleywall::relay::RelayAnswer;
use parsleywall::relay::RelayRequest;
use parsleywall::relay::RequestRelay;
use parsleywall::relay::SendError;
use parsleywall::relay::SendOptions;
use parsleywall::relay::UpstreamAnswer;
use parsleywall::relay::UpstreamTransport;
use parsleywall_standins::opaque::OpaqueUpstreams;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::opaque::answer_name;
use crate::opaque::new_logged_relay;
use crate::opaque::spawn_origin_exchange;
use crate::opaque::upstream;

pub(crate) const EVENTS: u64 = 20;
pub(crate) const FIRST: Duration = Duration::from_millis(60);
pub(crate) const GAP: Duration = Duration::from_millis(20);
pub(crate) const UPSTREAMS: [&str; 3] = ["a", "b", "c"];
pub(crate) const STEP: Duration = Duration::from_millis(50);
/// Time after which a connection to an upstream that a host is cut off from is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How a host is cut off from the upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CutKind {
    Refuses,
    Hangs,
}

/// Transport of one host, which can be cut off from the upstreams.
pub(crate) struct CutTransport {
    upstreams: Arc<dyn UpstreamTransport>,
    pub(crate) cut: Mutex<Option<CutKind>>,
    attempts_while_cut: Mutex<u32>,
}

#[async_trait]
impl UpstreamTransport for CutTransport {
    async fn send(
        &self,
        to: &UpstreamChoice,
        request: &RelayRequest,
        options: SendOptions,
    ) -> Result<UpstreamAnswer, SendError> {
        let cut = *self.cut.lock().unwrap();
        if cut.is_some() {
            *self.attempts_while_cut.lock().unwrap() += 1;
        }
        match cut {
            None => self.upstreams.send(to, request, options).await,
            Some(CutKind::Refuses) => Err(SendError::NotSent("refused".to_owned())),
            Some(CutKind::Hangs) => std::future::pending().await,
        }
    }

    async fn refuses_connections(&self, to: &UpstreamChoice) -> bool {
        let cut = *self.cut.lock().unwrap();
        match cut {
            None => self.upstreams.refuses_connections(to).await,
            Some(cut) => cut == CutKind::Refuses,
        }
    }

    async fn probe(&self, target: &ProbeTarget) -> Result<(), UnreachedCause> {
        let cut = *self.cut.lock().unwrap();
        match cut {
            None => self.upstreams.probe(target).await,
            Some(CutKind::Refuses) => Err(UnreachedCause::Refused),
            Some(CutKind::Hangs) => {
                tokio::time::sleep(CONNECT_TIMEOUT).await;
                Err(UnreachedCause::TimedOut)
            }
        }
    }
}

/// Connections to hosts of the same process.
struct LocalLink {
    from: HostId,
    servers: Arc<HashMap<SocketAddr, LocalServer>>,
}

#[derive(Clone)]
pub(crate) struct LocalServer {
    pub(crate) server: DetourServer,
    gone: CancellationToken,
}

struct LocalConnection {
    from: HostId,
    server: LocalServer,
}

#[async_trait]
impl DetourLink for LocalLink {
    async fn open(&self, address: SocketAddr) -> Result<Box<dyn DetourConnection>, String> {
        let server = self.servers.get(&address).cloned();
        let server = server.filter(|server| !server.gone.is_cancelled());
        let server = server.ok_or("connection refused")?;
        let from = self.from.clone();
        Ok(Box::new(LocalConnection { from, server }))
    }
}

impl DetourConnection for LocalConnection {
    fn start(self: Box<Self>, call: DetourCall) -> DetourFrames {
        let gone = self.server.gone.clone();
        let frames = self.server.server.serve(self.from, call);
        frames.take_until(gone.cancelled_owned()).boxed()
    }
}

/// Hosts before the same upstreams, of which some are cut off from these.
pub(crate) struct DetourFleet {
    pub(crate) upstreams: Arc<OpaqueUpstreams>,
    pub(crate) transports: Vec<Arc<CutTransport>>,
    pub(crate) relays: Vec<RequestRelay>,
    pub(crate) servers: Vec<LocalServer>,
    /// Whether hosts tell one another of their reach.
    pub(crate) is_told: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl DetourFleet {
    /// Starts `count` hosts of this process and lets them find out how they reach the upstreams.
    pub(crate) async fn start(count: usize) -> Self {
        Self::start_logged(count, |_| EventLog::disabled()).await
    }

    /// Starts such hosts, each with the log that `log` returns for its name.
    pub(crate) async fn start_logged(count: usize, log: impl Fn(&str) -> EventLog) -> Self {
        let upstreams = OpaqueUpstreams::new(EVENTS, FIRST, GAP);
        let addresses: Vec<SocketAddr> = (0..count)
            .map(|number| SocketAddr::from(([127, 0, 0, 1], 1000 + number as u16)))
            .collect();
        let fleet = Self::start_at(addresses.clone(), upstreams.clone(), upstreams, log).await;
        let servers = addresses.into_iter().zip(fleet.servers.iter().cloned());
        let servers = Arc::new(servers.collect::<HashMap<_, _>>());
        for relay in &fleet.relays {
            let from = HostId::new(relay.balancer().state().host());
            let servers = servers.clone();
            relay
                .detours()
                .set_link(Arc::new(LocalLink { from, servers }));
        }
        fleet
    }

    /// Starts a host for each address; requests go through `transport`. There are no links for
    /// detours yet.
    pub(crate) async fn start_at(
        addresses: Vec<SocketAddr>,
        transport: Arc<dyn UpstreamTransport>,
        upstreams: Arc<OpaqueUpstreams>,
        log: impl Fn(&str) -> EventLog,
    ) -> Self {
        let count = addresses.len();
        let names: Vec<String> = (0..count).map(|number| format!("host-{number}")).collect();
        let transports: Vec<Arc<CutTransport>> = (0..count)
            .map(|_| {
                Arc::new(CutTransport {
                    upstreams: transport.clone(),
                    cut: Mutex::default(),
                    attempts_while_cut: Mutex::default(),
                })
            })
            .collect();
        let relays: Vec<RequestRelay> = names
            .iter()
            .zip(&transports)
            .map(|(name, transport)| {
                new_logged_relay(name, transport.clone(), &UPSTREAMS, log(name))
            })
            .collect();
        let servers: Vec<LocalServer> = relays
            .iter()
            .map(|relay| LocalServer {
                server: DetourServer::new(relay.clone()),
                gone: CancellationToken::new(),
            })
            .collect();
        for (number, relay) in relays.iter().enumerate() {
            relay
                .balancer()
                .state()
                .set_hosts(names.iter().map(String::as_str));
            relay.origins().load_history(&VersionHistory::default());
            let others = names.iter().cloned().zip(addresses.iter().copied());
            let others = others.filter(|(name, _)| *name != names[number]);
            relay.reach().set_hosts(others.collect());
        }
        let mut fleet = Self {
            upstreams,
            transports,
            relays,
            servers,
            is_told: Arc::new(AtomicBool::new(true)),
            tasks: Vec::new(),
        };
        fleet.tasks.push(fleet.spawn_reach_exchange());
        fleet
            .tasks
            .push(spawn_origin_exchange(fleet.relays.clone()));
        tokio::time::sleep(STEP * 4).await;
        fleet
    }

    /// Lets hosts find out at intervals which upstreams they reach, as probes and requests do, and tell one
    /// another.
    fn spawn_reach_exchange(&self) -> JoinHandle<()> {
        let (relays, transports) = (self.relays.clone(), self.transports.clone());
        let is_told = self.is_told.clone();
        tokio::spawn(async move {
            loop {
                let now = Instant::now();
                if is_told.load(Ordering::Relaxed) {
                    for (relay, transport) in relays.iter().zip(&transports) {
                        let is_cut = transport.cut.lock().unwrap().is_some();
                        for name in UPSTREAMS {
                            record_contact(relay, name, is_cut, now);
                        }
                    }
                }
                for _ in 0..2 {
                    for (number, relay) in relays.iter().enumerate() {
                        let notice = relay.reach().own_notice(now);
                        for (_, other) in relays.iter().enumerate().filter(|(at, _)| *at != number)
                        {
                            let host = format!("host-{number}");
                            other.reach().apply_report(&host, &[], &notice, now);
                        }
                    }
                }
                for relay in &relays {
                    relay.judge_reach();
                }
                tokio::time::sleep(STEP).await;
            }
        })
    }

    /// Cuts `hosts` off from all upstreams, and lets the fleet find out.
    pub(crate) async fn cut(&self, hosts: &[usize], kind: CutKind) {
        for host in hosts {
            *self.transports[*host].cut.lock().unwrap() = Some(kind);
        }
        tokio::time::sleep(STEP * 10).await;
    }

    pub(crate) fn attempts_while_cut(&self, host: usize) -> u32 {
        *self.transports[host].attempts_while_cut.lock().unwrap()
    }

    /// Ends the process of a host, for the others.
    pub(crate) fn kill(&self, host: usize) {
        self.servers[host].gone.cancel();
    }

    pub(crate) fn running(&self) -> usize {
        let counts = UPSTREAMS.iter().map(|name| self.upstreams.running(name));
        counts.sum()
    }

    /// Number of requests that `host` counts at the upstreams.
    pub(crate) fn online(&self, host: usize) -> u32 {
        let state = self.relays[host].balancer().state();
        state
            .online_capacity(&ServiceName::new("desk"), Instant::now())
            .1
    }

    /// Hosts through which a detour is under way.
    pub(crate) fn taking_hosts(&self) -> Vec<usize> {
        let hosts = 0..self.servers.len();
        hosts
            .filter(|host| self.servers[*host].server.taken_count() > 0)
            .collect()
    }
}

impl Drop for DetourFleet {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn record_contact(relay: &RequestRelay, name: &str, is_cut: bool, now: Instant) {
    let (id, service) = (upstream(name).id, ServiceName::new("desk"));
    match is_cut {
        true => {
            let cause = UnreachedCause::TimedOut;
            relay.reach().record_unreached(&id, &service, cause, now);
        }
        false => relay.reach().record_connected(&id, &service, now),
    }
}

pub(crate) async fn read_events(
    body: &mut BoxStream<'static, Result<bytes::Bytes, std::io::Error>>,
    count: usize,
) -> String {
    let mut text = String::new();
    for _ in 0..count {
        let event = body.next().await.unwrap().unwrap();
        text.push_str(std::str::from_utf8(&event).unwrap());
    }
    text
}

pub(crate) fn stream(
    answer: RelayAnswer,
) -> BoxStream<'static, Result<bytes::Bytes, std::io::Error>> {
    match answer {
        RelayAnswer::Stream { body, .. } => body,
        answer => panic!("no stream: {}", answer_name(&answer)),
    }
}
