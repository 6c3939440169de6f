//! A fleet of quota tables that exchange questions and replies, with requests at given hosts.
//!
//! Steps of one millisecond on the paused clock. Messages take two to five steps, and some are lost.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use parsleywall::ids::WorkspaceName;
use parsleywall::quotas::FleetView;
use parsleywall::quotas::QuotaAsk;
use parsleywall::quotas::QuotaReply;
use parsleywall::quotas::QuotaTable;
use parsleywall::quotas::QuotaVerdict;
use parsleywall::quotas::WorkspaceTag;
use parsleywall::workspaces::RequestAllowance;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

const STEP: Duration = Duration::from_millis(1);
/// Steps between two of a host's looks at its hosts, at each of which it sends what does not hurry.
const EXCHANGE_STEPS: u64 = 90;
/// Time after which a host takes another one that it does not hear for silent.
const SILENCE_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a host that has ended is not registered any more.
const LEASE_TIME: Duration = Duration::from_secs(6);
pub(crate) const WINDOW: Duration = Duration::from_secs(5);

pub(crate) fn host_name(number: usize) -> String {
    format!("host-{number}")
}

struct Host {
    table: QuotaTable,
    process: u32,
    is_up: bool,
    changed_at: Option<Instant>,
    side: u32,
    /// Version of the configuration that the host knows.
    version: u64,
}

enum Message {
    Ask(usize, QuotaAsk),
    Reply(QuotaReply),
}

/// What became of the requests of one workspace.
#[derive(Default)]
pub(crate) struct Outcome {
    /// Times at which requests were admitted.
    pub(crate) admitted: Vec<Instant>,
    pub(crate) refused: u64,
    /// Retry delays of the refused ones, with the times of their refusals.
    pub(crate) retries: Vec<(Instant, Duration)>,
    /// Longest time for which a request waited.
    pub(crate) longest_wait: Duration,
}

impl Outcome {
    pub(crate) fn admitted_since(&self, from: Instant) -> usize {
        self.admitted.iter().filter(|at| **at >= from).count()
    }

    /// Most requests within any window.
    pub(crate) fn most_in_window(&self) -> usize {
        let (mut most, mut first) = (0, 0);
        for (index, at) in self.admitted.iter().enumerate() {
            while *at - self.admitted[first] >= WINDOW {
                first += 1;
            }
            most = most.max(index + 1 - first);
        }
        most
    }
}

pub(crate) struct QuotaModel {
    hosts: Vec<Host>,
    messages: BTreeMap<Instant, Vec<(usize, usize, Message)>>,
    waiting: VecDeque<(usize, WorkspaceTag, Instant, Instant)>,
    allowances: Vec<RequestAllowance>,
    split_at: Option<Instant>,
    healed_at: Option<Instant>,
    random: StdRng,
    loss: f64,
    steps: u64,
    pub(crate) sent: u64,
    pub(crate) bytes: u64,
    outcomes: BTreeMap<u32, Outcome>,
    names: Vec<(WorkspaceTag, u32)>,
    pub(crate) now: Instant,
}

impl QuotaModel {
    pub(crate) fn new(hosts: usize, allowance: RequestAllowance, seed: u64) -> Self {
        let now = Instant::now();
        let mut random = StdRng::seed_from_u64(seed);
        let hosts = (0..hosts).map(|number| {
            let process = random.random();
            Host {
                table: QuotaTable::new(&host_name(number), process, now),
                process,
                is_up: true,
                changed_at: None,
                side: 0,
                version: 1,
            }
        });
        let mut model = Self {
            hosts: hosts.collect(),
            messages: BTreeMap::new(),
            waiting: VecDeque::new(),
            allowances: vec![allowance],
            split_at: None,
            healed_at: None,
            random,
            loss: 0.0,
            steps: 0,
            sent: 0,
            bytes: 0,
            outcomes: BTreeMap::new(),
            names: Vec::new(),
            now,
        };
        for host in 0..model.hosts.len() {
            model.look(host);
        }
        model
    }

    pub(crate) fn with_loss(mut self, loss: f64) -> Self {
        self.loss = loss;
        self
    }

    pub(crate) fn tag(workspace: u32) -> WorkspaceTag {
        WorkspaceTag::new(&WorkspaceName::new(format!("workspace-{workspace}")))
    }

    pub(crate) fn table(&mut self, host: usize) -> &mut QuotaTable {
        &mut self.hosts[host].table
    }

    pub(crate) fn outcome(&mut self, workspace: u32) -> &mut Outcome {
        self.outcomes.entry(workspace).or_default()
    }

    /// The limit changes; each host learns of it within half a second.
    pub(crate) fn set_allowance(&mut self, allowance: RequestAllowance) {
        self.allowances.push(allowance);
        for host in &mut self.hosts {
            host.version += 1;
        }
    }

    /// Ends the process of a host at once.
    pub(crate) fn kill(&mut self, host: usize) {
        self.hosts[host].is_up = false;
        self.hosts[host].changed_at = Some(self.now);
        self.waiting.retain(|waiting| waiting.0 != host);
    }

    pub(crate) fn start(&mut self, host: usize) {
        let process = self.random.random();
        let state = &mut self.hosts[host];
        state.table = QuotaTable::new(&host_name(host), process, self.now);
        state.process = process;
        state.is_up = true;
        state.changed_at = None;
        self.look(host);
    }

    /// Cuts the links between hosts of different sides.
    pub(crate) fn split(&mut self, side: impl Fn(usize) -> u32) {
        for (number, host) in self.hosts.iter_mut().enumerate() {
            host.side = side(number);
        }
        self.split_at = Some(self.now);
    }

    pub(crate) fn heal(&mut self) {
        for host in &mut self.hosts {
            host.side = 0;
        }
        self.split_at = None;
        self.healed_at = Some(self.now);
    }

    /// Whether `host` hears `other`, with the delay of the detection of failures.
    fn hears(&self, host: usize, other: usize) -> bool {
        let recent = |at: Option<Instant>| at.is_some_and(|at| self.now - at < SILENCE_TIME);
        let other_state = &self.hosts[other];
        let is_reached = self.hosts[host].side == other_state.side || recent(self.split_at);
        is_reached && (other_state.is_up || recent(other_state.changed_at))
    }

    /// Has a host look at the others, as its exchange of load reports does.
    fn look(&mut self, host: usize) {
        let is_listed = |other: &Host| {
            let ended = other.changed_at.filter(|_| !other.is_up);
            ended.is_none_or(|at| self.now - at < LEASE_TIME)
        };
        let listed: Vec<usize> = (0..self.hosts.len())
            .filter(|other| is_listed(&self.hosts[*other]))
            .collect();
        let heard = listed.iter().filter(|other| **other != host);
        let others: Vec<String> = heard
            .filter(|other| self.hears(host, **other))
            .map(|other| host_name(*other))
            .collect();
        let view = FleetView {
            share: (others.len() + 1) as f64 / listed.len() as f64,
            hosts: listed.len(),
            others,
        };
        self.hosts[host].table.set_fleet(view);
    }

    /// One request of `workspace` arrives at `host`.
    pub(crate) fn request(&mut self, host: usize, workspace: u32) {
        if !self.hosts[host].is_up {
            return;
        }
        let tag = Self::tag(workspace);
        if !self.names.iter().any(|(known, _)| *known == tag) {
            self.names.push((tag, workspace));
        }
        let version = self.hosts[host].version;
        let allowance = self.allowances[version as usize - 1];
        let verdict = self.hosts[host]
            .table
            .admit(tag, allowance, version, self.now);
        self.record(host, tag, self.now, verdict);
        self.send(host, false);
    }

    fn record(&mut self, host: usize, tag: WorkspaceTag, since: Instant, verdict: QuotaVerdict) {
        let now = self.now;
        let found = self.names.iter().find(|(known, _)| *known == tag);
        let workspace = found.expect("requested").1;
        let outcome = self.outcomes.entry(workspace).or_default();
        match verdict {
            QuotaVerdict::Waiting(until) => self.waiting.push_back((host, tag, since, until)),
            QuotaVerdict::Admitted => outcome.admitted.push(now),
            QuotaVerdict::Refused(refusal) => {
                outcome.refused += 1;
                outcome.retries.push((now, refusal.retry_after));
            }
        }
        let outcome = self.outcomes.entry(workspace).or_default();
        outcome.longest_wait = outcome.longest_wait.max(now - since);
    }

    fn send(&mut self, host: usize, is_due: bool) {
        if !is_due && !self.hosts[host].table.is_urgent() {
            return;
        }
        for (name, ask) in self.hosts[host].table.take_asks(self.now) {
            let to: usize = name["host-".len()..].parse().expect("a host's name");
            let datagram = parsleywall::balancer::HostDatagram::QuotaAsk(ask.clone());
            self.post(host, to, Message::Ask(host, ask), datagram.encode().len());
        }
    }

    fn post(&mut self, from: usize, to: usize, message: Message, bytes: usize) {
        self.sent += 1;
        self.bytes += bytes as u64;
        let is_cut = self.hosts[from].side != self.hosts[to].side;
        if is_cut || self.random.random_bool(self.loss) {
            return;
        }
        let at = self.now + STEP * self.random.random_range(2..=5);
        self.messages
            .entry(at)
            .or_default()
            .push((from, to, message));
    }

    fn deliver(&mut self) {
        while let Some(first) = self.messages.first_entry()
            && *first.key() <= self.now
        {
            for (_, to, message) in first.remove() {
                if !self.hosts[to].is_up {
                    continue;
                }
                match message {
                    Message::Ask(from, ask) => {
                        let reply = self.hosts[to].table.answer(&ask, self.now);
                        if let Some(reply) = reply {
                            let datagram =
                                parsleywall::balancer::HostDatagram::QuotaReply(reply.clone());
                            let bytes = datagram.encode().len();
                            self.post(to, from, Message::Reply(reply), bytes);
                        }
                    }
                    Message::Reply(reply) => {
                        if self.hosts[to].table.apply_reply(&reply, self.now) {
                            self.resume(|host, _| host == to);
                        }
                    }
                }
            }
        }
    }

    fn resume(&mut self, is_due: impl Fn(usize, Instant) -> bool) {
        for _ in 0..self.waiting.len() {
            let (host, tag, since, until) = self.waiting.pop_front().expect("counted");
            if !is_due(host, until) {
                self.waiting.push_back((host, tag, since, until));
                continue;
            }
            let verdict = self.hosts[host].table.resume(tag, self.now);
            self.record(host, tag, since, verdict);
            self.send(host, false);
        }
    }

    /// Advances the clock by one step.
    async fn step(&mut self) {
        tokio::time::advance(STEP).await;
        self.now = Instant::now();
        self.steps += 1;
        self.deliver();
        let now = self.now;
        self.resume(|_, until| until <= now);
        let (steps, count) = (self.steps, self.hosts.len());
        let due = (0..count).filter(|host| (steps + *host as u64).is_multiple_of(EXCHANGE_STEPS));
        for host in due.collect::<Vec<usize>>() {
            if self.hosts[host].is_up {
                if count < 100 || self.split_at.is_some() || self.healed_at.is_some() {
                    self.look(host);
                }
                self.send(host, true);
            }
        }
    }

    /// Advances by `time`, with `per_second` requests of workspace 0 at hosts that `pick` draws.
    pub(crate) async fn run(
        &mut self,
        time: Duration,
        per_second: f64,
        pick: impl Fn(&mut StdRng) -> usize,
    ) {
        let until = self.now + time;
        let mut due = 0.0;
        while self.now < until {
            self.step().await;
            due += per_second * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                let host = pick(&mut self.random);
                self.request(host, 0);
            }
        }
    }
}
