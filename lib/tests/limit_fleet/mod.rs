//! A fleet of load balancers that exchange load reports and grants, with work placed at random times.
//!
//! Steps of five milliseconds on the paused clock. Messages take one step, and a few are lost.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use parsleywall::balancer::BalancerKey;
use parsleywall::balancer::BalancerState;
use parsleywall::balancer::HostLoadReport;
use parsleywall::balancer::ItemUrgency;
use parsleywall::balancer::SlotRequest;
use parsleywall::balancer::UpstreamEntry;
use parsleywall::balancer::UpstreamState;
use parsleywall::ids::DataCentre;
use parsleywall::ids::HostId;
use parsleywall::ids::ServiceName;
use parsleywall::ids::SoftwareVersion;
use parsleywall::ids::UpstreamId;
use parsleywall::ids::WorkClass;
use parsleywall::limits::GrantReply;
use parsleywall::limits::GrantRequest;
use parsleywall::limits::LimitSignal;
use parsleywall::limits::RateLimit;
use parsleywall::relay::RequestRelay;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

const STEP: Duration = Duration::from_millis(5);
const SLOTS: u32 = 8;
const WINDOW: Duration = Duration::from_secs(4);
const LOSS: f64 = 0.01;
/// Steps between two load reports of a host.
const REPORT_STEPS: u64 = 6;

fn upstream_name(number: usize) -> String {
    format!("upstream-{number}")
}

fn host_name(number: usize) -> String {
    format!("host-{number}")
}

pub(crate) fn slot(service: &ServiceName, class: WorkClass) -> SlotRequest<'_> {
    SlotRequest {
        service,
        class,
        excluded: &[],
        may_probe: true,
        may_repeat: true,
        software: None,
        urgency: match class {
            WorkClass::Online => None,
            WorkClass::Batch => Some(ItemUrgency {
                is_late: false,
                slack: Duration::from_secs(10),
            }),
        },
        may_wait: class == WorkClass::Online,
    }
}

/// Fails if more requests than the limit allows, and two more, were sent within any four seconds
/// after `from`.
pub(crate) fn assert_window(sent: &[Instant], from: Instant, limit: f64, name: &str) {
    let sent: Vec<Instant> = sent.iter().copied().filter(|at| *at >= from).collect();
    let allowed = limit * WINDOW.as_secs_f64() + 2.0;
    for (first, start) in sent.iter().enumerate() {
        let count = sent[first..]
            .iter()
            .filter(|at| **at - *start < WINDOW)
            .count();
        assert!(
            count as f64 <= allowed + 1e-9,
            "{name}: {count} requests in 4 s from {:?} after {from:?}, limit {limit}, allowed {allowed}",
            *start - from,
        );
    }
}

struct RunningWork {
    host: usize,
    incarnation: u64,
    key: BalancerKey,
    class: WorkClass,
    ends_at: Instant,
}

enum Message {
    Report(HostLoadReport),
    Request(usize, GrantRequest),
    Reply(GrantReply),
}

struct SentWork {
    at: Instant,
    host: usize,
    upstream: usize,
    class: WorkClass,
    was_limited: bool,
    is_excused: bool,
}

struct Host {
    state: BalancerState,
    incarnation: u64,
    sequence: u64,
    is_up: bool,
    side: u32,
    /// When it was last started, cut off or healed.
    disturbed_at: Option<Instant>,
    waiting_items: usize,
}

pub(crate) struct LimitFleet {
    service: ServiceName,
    hosts: Vec<Host>,
    limits: Vec<Option<f64>>,
    limited_since: Vec<Option<Instant>>,
    upstreams: usize,
    random: StdRng,
    online_rate: f64,
    item_rate: f64,
    has_waves: bool,
    running: Vec<RunningWork>,
    messages: VecDeque<(Instant, usize, Message)>,
    sent: Vec<SentWork>,
    waiting_online: Vec<(usize, Instant)>,
    unplaced_online: usize,
    steps: u64,
    now: Instant,
}

impl LimitFleet {
    pub(crate) fn new(hosts: usize, upstreams: usize, seed: u64) -> Self {
        let mut fleet = Self {
            service: ServiceName::new("desk"),
            hosts: Vec::new(),
            limits: vec![None; upstreams],
            limited_since: vec![None; upstreams],
            upstreams,
            random: StdRng::seed_from_u64(seed),
            online_rate: 0.0,
            item_rate: 0.0,
            has_waves: true,
            running: Vec::new(),
            messages: VecDeque::new(),
            sent: Vec::new(),
            waiting_online: Vec::new(),
            unplaced_online: 0,
            steps: 0,
            now: Instant::now() + Duration::from_secs(3_600),
        };
        for number in 0..hosts {
            let host = fleet.new_host(number, hosts, 1);
            fleet.hosts.push(host);
        }
        fleet
    }

    /// Lets requests and items arrive at even rates.
    pub(crate) fn without_waves(mut self) -> Self {
        self.has_waves = false;
        self
    }

    pub(crate) fn with_traffic(mut self, online_per_second: f64, items_per_second: f64) -> Self {
        self.online_rate = online_per_second;
        self.item_rate = items_per_second;
        self
    }

    fn new_host(&self, number: usize, hosts: usize, incarnation: u64) -> Host {
        let mut state = BalancerState::new(HostId::new(host_name(number)), DataCentre::new("west"));
        for number in 0..self.upstreams {
            state.put(UpstreamEntry {
                id: UpstreamId::new(upstream_name(number)),
                service: self.service.clone(),
                address: SocketAddr::from(([127, 0, 0, 1], 80)),
                data_centre: DataCentre::new("west"),
                slots: SLOTS,
                state: UpstreamState::Ready,
                started_ms: 1,
                software: SoftwareVersion::new("v1"),
            });
        }
        let names: Vec<String> = (0..hosts).map(host_name).collect();
        state.set_hosts(names.iter().map(String::as_str));
        Host {
            state,
            incarnation,
            sequence: 0,
            is_up: true,
            side: 0,
            disturbed_at: None,
            waiting_items: 0,
        }
    }

    pub(crate) fn set_limit(&mut self, upstream: usize, limit: Option<f64>) {
        self.limits[upstream] = limit;
        self.limited_since[upstream] = limit.map(|_| self.now);
    }

    pub(crate) fn kill(&mut self, host: usize) {
        self.hosts[host].is_up = false;
        self.running.retain(|work| work.host != host);
    }

    pub(crate) fn start(&mut self, host: usize) {
        let incarnation = self.hosts[host].incarnation + 1;
        self.hosts[host] = self.new_host(host, self.hosts.len(), incarnation);
        self.hosts[host].disturbed_at = Some(self.now);
    }

    /// Cuts the connections between these hosts and all others.
    pub(crate) fn cut(&mut self, hosts: &[usize]) {
        for number in hosts {
            self.hosts[*number].side = 1;
            self.hosts[*number].disturbed_at = Some(self.now);
        }
    }

    pub(crate) fn heal(&mut self) {
        for host in &mut self.hosts {
            if host.side != 0 {
                host.disturbed_at = Some(self.now);
            }
            host.side = 0;
        }
    }

    pub(crate) fn sent(&self) -> usize {
        self.sent.len()
    }

    pub(crate) fn sent_by(&self, host: usize) -> usize {
        self.sent.iter().filter(|sent| sent.host == host).count()
    }

    pub(crate) fn unplaced_online(&self) -> usize {
        self.unplaced_online
    }

    pub(crate) fn items_started_since(&self, age: Duration) -> usize {
        let items = self
            .sent
            .iter()
            .filter(|sent| sent.class == WorkClass::Batch);
        items.filter(|sent| self.now - sent.at < age).count()
    }

    /// Numbers of items that start while `act` runs, in all and at limited upstreams.
    pub(crate) fn items_by_limit(&mut self, act: impl FnOnce(&mut Self)) -> (usize, usize) {
        let before = self.sent.len();
        act(self);
        let items = self.sent[before..]
            .iter()
            .filter(|sent| sent.class == WorkClass::Batch);
        let limited = items.clone().filter(|sent| sent.was_limited);
        (items.count(), limited.count())
    }

    pub(crate) fn hosts_that_know_a_limit(&self, upstream: usize) -> usize {
        let id = UpstreamId::new(upstream_name(upstream));
        let up = self.hosts.iter().filter(|host| host.is_up);
        up.filter(|host| host.state.known_limit(&id, self.now).is_some())
            .count()
    }

    /// Fails if any upstream got more than its limit from `settle` after it named it. Requests of a host
    /// that was started, cut off or healed less than three seconds ago don't count.
    pub(crate) fn assert_within_limits(&self, settle: Duration) {
        for upstream in 0..self.upstreams {
            let (Some(limit), Some(since)) = (self.limits[upstream], self.limited_since[upstream])
            else {
                continue;
            };
            let sent = self
                .sent
                .iter()
                .filter(|sent| sent.upstream == upstream && !sent.is_excused);
            let sent: Vec<Instant> = sent.map(|sent| sent.at).collect();
            assert_window(&sent, since + settle, limit, &upstream_name(upstream));
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.steps += 1;
            self.end_work();
            self.deliver();
            self.report();
            self.place_online();
            self.place_items();
            self.send_requests();
        }
    }

    fn end_work(&mut self) {
        let now = self.now;
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|work| work.ends_at <= now);
        self.running = running;
        for work in ended {
            let host = &mut self.hosts[work.host];
            if host.incarnation == work.incarnation {
                host.state.release(work.key, work.class);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_lost = self.random.random_bool(LOSS);
        if !is_lost && self.hosts[from].side == self.hosts[to].side {
            self.messages.push_back((self.now + STEP, to, message));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        while self.messages.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, to, message)) = self.messages.pop_front() else {
                break;
            };
            if !self.hosts[to].is_up {
                continue;
            }
            let state = &mut self.hosts[to].state;
            match message {
                Message::Report(report) => {
                    state.apply_report(report, now);
                }
                Message::Request(sender, request) => {
                    let reply = state.answer_grant_request(&request, now);
                    self.send(to, sender, Message::Reply(reply));
                }
                Message::Reply(reply) => {
                    state.apply_grant_reply(&reply, now);
                }
            }
        }
    }

    fn report(&mut self) {
        let now = self.now;
        for number in 0..self.hosts.len() {
            let is_due = (self.steps + number as u64).is_multiple_of(REPORT_STEPS);
            if !is_due || !self.hosts[number].is_up {
                continue;
            }
            let host = &mut self.hosts[number];
            host.sequence += 1;
            host.state.expire_reports(now);
            let report = HostLoadReport {
                host: host_name(number),
                incarnation: host.incarnation,
                sequence: host.sequence,
                is_leaving: false,
                loads: host.state.own_loads(now),
                leaving: Vec::new(),
                ended: Vec::new(),
                waiting: Vec::new(),
                convictions: 0,
                limits: host.state.limit_notices(now),
                reach: None,
                flows: Vec::new(),
                paces: Vec::new(),
            };
            let neighbours = host.state.neighbours();
            for other in 0..self.hosts.len() {
                if neighbours.contains(&host_name(other)) {
                    self.send(number, other, Message::Report(report.clone()));
                }
            }
        }
    }

    fn send_requests(&mut self) {
        for number in 0..self.hosts.len() {
            for (host, request) in self.hosts[number].state.take_grant_requests() {
                let to = host.trim_start_matches("host-").parse().unwrap();
                self.send(number, to, Message::Request(number, request));
            }
        }
    }

    /// Arrivals in one step, in waves that double the mean rate and fall to nothing.
    fn arrivals(&mut self, rate: f64) -> usize {
        let phase = self.steps as f64 * STEP.as_secs_f64() * std::f64::consts::TAU / 6.0;
        let swing = if self.has_waves { phase.sin() } else { 0.0 };
        let expected = rate * STEP.as_secs_f64() * (1.0 + swing);
        let whole = expected.floor();
        whole as usize + usize::from(self.random.random_bool(expected - whole))
    }

    fn random_host(&mut self) -> Option<usize> {
        let up: Vec<usize> = (0..self.hosts.len())
            .filter(|number| self.hosts[*number].is_up)
            .collect();
        let index = self.random.random_range(0..up.len().max(1));
        up.get(index).copied()
    }

    /// Online requests wait for a grant for a hundred milliseconds.
    fn place_online(&mut self) {
        for _ in 0..self.arrivals(self.online_rate) {
            if let Some(host) = self.random_host() {
                let until = self.now + Duration::from_millis(100);
                self.waiting_online.push((host, until));
            }
        }
        for (host, until) in std::mem::take(&mut self.waiting_online) {
            let time = Duration::from_millis(self.random.random_range(150..350));
            if !self.hosts[host].is_up || self.place(host, WorkClass::Online, time) {
                continue;
            }
            match self.now < until {
                true => self.waiting_online.push((host, until)),
                false => self.unplaced_online += 1,
            }
        }
    }

    fn place_items(&mut self) {
        for _ in 0..self.arrivals(self.item_rate) {
            if let Some(host) = self.random_host() {
                self.hosts[host].waiting_items += 1;
            }
        }
        for host in 0..self.hosts.len() {
            let time = Duration::from_millis(self.random.random_range(900..2_000));
            let has_work = self.hosts[host].is_up && self.hosts[host].waiting_items > 0;
            if has_work && self.place(host, WorkClass::Batch, time) {
                self.hosts[host].waiting_items -= 1;
            }
        }
    }

    fn place(&mut self, host: usize, class: WorkClass, time: Duration) -> bool {
        let now = self.now;
        let draw = self.random.random();
        let placing = &mut self.hosts[host];
        let Some(choice) = placing.state.acquire(slot(&self.service, class), now, draw) else {
            return false;
        };
        let upstream: usize = choice
            .id
            .as_str()
            .trim_start_matches("upstream-")
            .parse()
            .unwrap();
        let limit = self.limits[upstream];
        let signal = match limit {
            Some(limit) => LimitSignal::Limited(RateLimit::new(limit).unwrap()),
            None => LimitSignal::Unlimited,
        };
        placing.state.note_limit(choice.key, signal, now);
        let excused_until = placing.disturbed_at.map(|at| at + Duration::from_secs(3));
        self.sent.push(SentWork {
            at: now,
            host,
            upstream,
            class,
            was_limited: choice.limit.is_some(),
            is_excused: placing.side != 0 || excused_until.is_some_and(|until| now < until),
        });
        self.running.push(RunningWork {
            host,
            incarnation: placing.incarnation,
            key: choice.key,
            class,
            ends_at: now + time,
        });
        true
    }
}

/// Lets the hosts of `relays` exchange load reports and grants until the task is aborted.
pub(crate) fn spawn_exchange(relays: Vec<RequestRelay>) -> tokio::task::JoinHandle<()> {
    tokio::spawn(async move {
        let hosts = relays.len();
        let mut sequence = 0;
        loop {
            sequence += 1;
            let now = Instant::now();
            for number in 0..hosts {
                let (requests, report) = {
                    let mut state = relays[number].balancer().state();
                    let report = HostLoadReport {
                        host: host_name(number),
                        incarnation: 1,
                        sequence,
                        is_leaving: false,
                        loads: state.own_loads(now),
                        leaving: Vec::new(),
                        ended: Vec::new(),
                        waiting: Vec::new(),
                        convictions: 0,
                        limits: state.limit_notices(now),
                        reach: None,
                        flows: Vec::new(),
                        paces: Vec::new(),
                    };
                    (state.take_grant_requests(), report)
                };
                for other in (0..hosts).filter(|other| *other != number) {
                    let mut state = relays[other].balancer().state();
                    state.apply_report(report.clone(), now);
                }
                for (host, request) in requests {
                    let to: usize = host.trim_start_matches("host-").parse().unwrap();
                    let mut authority = relays[to].balancer().state();
                    let reply = authority.answer_grant_request(&request, now);
                    drop(authority);
                    relays[number]
                        .balancer()
                        .state()
                        .apply_grant_reply(&reply, now);
                    relays[number].balancer().notify_waiters();
                }
            }
            tokio::time::sleep(STEP).await;
        }
    })
}
