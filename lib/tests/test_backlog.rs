//! Tests the order in which the hosts of a fleet start waiting batch items, by playing backlogs
//! that are spread unevenly over the hosts.

use std::time::Duration;

use parsleywall::balancer::BalancerKey;
use parsleywall::balancer::BalancerState;
use parsleywall::balancer::HostLoadReport;
use parsleywall::balancer::ItemUrgency;
use parsleywall::balancer::SlotRequest;
use parsleywall::balancer::UpstreamEntry;
use parsleywall::balancer::UpstreamState;
use parsleywall::balancer::WaitingItems;
use parsleywall::ids::DataCentre;
use parsleywall::ids::HostId;
use parsleywall::ids::ServiceName;
use parsleywall::ids::SoftwareVersion;
use parsleywall::ids::UpstreamId;
use parsleywall::ids::WorkClass;
use tokio::time::Instant;

/// Interval of load reports, and of dispatch rounds.
const TICK: Duration = Duration::from_millis(40);
/// Number of ticks for which an item occupies its slot.
const ITEM_TICKS: usize = 25;
const UPSTREAMS: usize = 12;
const SLOTS: u32 = 8;
/// Slots that batch items leave free: 4 in 100, rounded up.
const FREE_SLOTS: usize = 4;

/// Number of ticks for which an online request occupies its slot.
const REQUEST_TICKS: usize = 18;

/// How hosts choose the items that they start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartRule {
    /// By urgency over all hosts, as reported.
    Urgency,
    /// The rule before: each host starts its own items, at most this number a tick.
    Shares(usize),
}

/// An item that waits at a host.
#[derive(Clone, Copy, Debug)]
struct BacklogItem {
    due: Instant,
    is_late: bool,
}

impl BacklogItem {
    fn urgency(self, now: Instant) -> ItemUrgency {
        ItemUrgency {
            is_late: self.is_late,
            slack: self.due - now,
        }
    }
}

struct BacklogHost {
    balancer: BalancerState,
    /// Waiting items, the most urgent first.
    waiting: Vec<BacklogItem>,
    /// Running items: the tick of their end, their upstream and their due time.
    running: Vec<(usize, BalancerKey, BacklogItem)>,
}

/// A fleet in which all hosts use all upstreams and nothing runs but batch items.
struct BacklogFleet {
    rule: StartRule,
    hosts: Vec<BacklogHost>,
    tick: usize,
    now: Instant,
    /// Items in time that were finished by their due time.
    in_time: usize,
    most_running: usize,
}

impl BacklogFleet {
    fn new(rule: StartRule, backlogs: &[(usize, bool, Duration)]) -> Self {
        let start = Instant::now();
        let names: Vec<String> = (0..backlogs.len()).map(|n| format!("host-{n}")).collect();
        let hosts = backlogs.iter().zip(&names);
        let hosts = hosts.map(|((items, is_late, due), name)| {
            let mut balancer = BalancerState::new(HostId::new(name), DataCentre::new("west"));
            (0..UPSTREAMS).for_each(|number| balancer.put(entry(number)));
            balancer.set_hosts(names.iter().map(String::as_str));
            let item = BacklogItem {
                due: start + *due,
                is_late: *is_late,
            };
            BacklogHost {
                balancer,
                waiting: vec![item; *items],
                running: Vec::new(),
            }
        });
        Self {
            rule,
            hosts: hosts.collect(),
            tick: 0,
            now: start,
            in_time: 0,
            most_running: 0,
        }
    }

    fn play(mut self, time: Duration) -> Self {
        for _ in 0..time.as_millis() / TICK.as_millis() {
            self.step();
        }
        self
    }

    fn step(&mut self) {
        self.tick += 1;
        self.now += TICK;
        for host in 0..self.hosts.len() {
            self.finish_items(host);
            self.start_items(host);
        }
        let running = self.hosts.iter().map(|host| host.running.len()).sum();
        self.most_running = self.most_running.max(running);
        self.exchange_reports();
    }

    fn finish_items(&mut self, host: usize) {
        let (tick, now) = (self.tick, self.now);
        let host = &mut self.hosts[host];
        let (ended, running) = host.running.iter().partition(|(end, ..)| *end <= tick);
        host.running = running;
        for (_, key, item) in ended {
            host.balancer.release(key, WorkClass::Batch);
            self.in_time += usize::from(!item.is_late && now <= item.due);
        }
    }

    fn start_items(&mut self, host: usize) {
        let (now, end) = (self.now, self.tick + ITEM_TICKS);
        let (limit, is_ranked) = match self.rule {
            StartRule::Urgency => (usize::MAX, true),
            StartRule::Shares(limit) => (limit, false),
        };
        let service = service();
        let host = &mut self.hosts[host];
        for _ in 0..limit.min(host.waiting.len()) {
            let item = host.waiting[0];
            let request = SlotRequest {
                service: &service,
                class: WorkClass::Batch,
                excluded: &[],
                may_probe: true,
                may_repeat: true,
                software: None,
                urgency: is_ranked.then(|| item.urgency(now)),
                may_wait: false,
            };
            let Some(choice) = host.balancer.acquire(request, now, 0) else {
                break;
            };
            host.waiting.remove(0);
            host.running.push((end, choice.key, item));
        }
        let groups = host.waiting.first().map(|item| {
            let urgency = item.urgency(now);
            WaitingItems::new(&service, urgency, host.waiting.len())
        });
        host.balancer.set_waiting(groups.into_iter().collect());
    }

    fn exchange_reports(&mut self) {
        let (now, sequence) = (self.now, self.tick as u64);
        let reports = self
            .hosts
            .iter()
            .enumerate()
            .map(|(number, host)| HostLoadReport {
                host: format!("host-{number}"),
                incarnation: 1,
                sequence,
                is_leaving: false,
                loads: host.balancer.own_loads(now),
                leaving: Vec::new(),
                ended: Vec::new(),
                waiting: host.balancer.own_waiting(now),
                convictions: 0,
                limits: Vec::new(),
                reach: None,
                flows: Vec::new(),
                paces: Vec::new(),
            });
        for report in reports.collect::<Vec<_>>() {
            for host in &mut self.hosts {
                host.balancer.apply_report(report.clone(), now);
            }
        }
    }
}

fn service() -> ServiceName {
    ServiceName::new("desk")
}

fn entry(number: usize) -> UpstreamEntry {
    UpstreamEntry {
        id: UpstreamId::new(format!("upstream-{number}")),
        service: service(),
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: DataCentre::new("west"),
        slots: SLOTS,
        state: UpstreamState::Ready,
        started_ms: 1,
        software: SoftwareVersion::new("v1"),
    }
}

/// Four hosts of which one has twice as many items as there are slots, due in 3.5 s, and the others
/// have late ones. Within the time, three rounds of 92 items can be finished.
fn uneven_backlog(rule: StartRule) -> BacklogFleet {
    let due = Duration::from_millis(3_500);
    let late = (200, true, Duration::ZERO);
    BacklogFleet::new(rule, &[late, (170, false, due), late, late]).play(due)
}

#[tokio::test(start_paused = true)]
async fn test_items_in_time_start_before_late_ones_of_other_hosts() {
    let fleet = uneven_backlog(StartRule::Urgency);
    assert!(fleet.in_time >= 165, "{} of 170 in time", fleet.in_time);
    // The rule before gives all hosts equal shares, whatever waits there.
    let before = uneven_backlog(StartRule::Shares(3));
    assert!(before.in_time < 100, "{} of 170 in time", before.in_time);
}

/// Late items at several hosts are equally urgent. Hosts must divide the slots all the same.
#[tokio::test(start_paused = true)]
async fn test_equally_urgent_items_do_not_fill_the_free_slots() {
    let late = (100, true, Duration::ZERO);
    let fleet = BacklogFleet::new(StartRule::Urgency, &[late; 4]).play(Duration::from_secs(6));
    let slots = UPSTREAMS * SLOTS as usize;
    assert!(
        fleet.most_running <= slots - FREE_SLOTS,
        "{} run",
        fleet.most_running
    );
    assert!(fleet.hosts[0].waiting.is_empty());
}

/// A host that reaches no upstream must not hold back the items of the others.
#[tokio::test(start_paused = true)]
async fn test_items_do_not_wait_for_a_host_without_upstreams() {
    let due = Duration::from_secs(5);
    let (urgent, other) = ((50, false, due), (80, false, due * 2));
    let mut fleet = BacklogFleet::new(StartRule::Urgency, &[urgent, other]);
    for number in 0..UPSTREAMS {
        let id = UpstreamId::new(format!("upstream-{number}"));
        fleet.hosts[0].balancer.remove(&id);
    }
    let fleet = fleet.play(due);
    assert_eq!(fleet.hosts[0].waiting.len(), 50);
    assert!(fleet.hosts[1].waiting.is_empty());
    assert_eq!(fleet.in_time, 80);
}

/// One host with more items than slots, under an online load that swings between a fifth and three
/// quarters of the slots every few seconds.
struct SwingingLoad {
    balancer: BalancerState,
    now: Instant,
    /// End tick and upstream of each running online request.
    online: Vec<(usize, BalancerKey)>,
    /// First tick and upstream of each running item.
    items: Vec<(usize, BalancerKey)>,
    /// Ticks that each ended run of an item lasted.
    runs: Vec<usize>,
    /// Slots that online requests left free, and those of them that items used, over all ticks.
    left: usize,
    used: usize,
}

impl SwingingLoad {
    fn new() -> Self {
        let mut balancer = BalancerState::new(HostId::new("host-0"), DataCentre::new("west"));
        (0..UPSTREAMS).for_each(|number| balancer.put(entry(number)));
        Self {
            balancer,
            now: Instant::now(),
            online: Vec::new(),
            items: Vec::new(),
            runs: Vec::new(),
            left: 0,
            used: 0,
        }
    }

    fn step(&mut self, tick: usize) {
        self.now += TICK;
        let (ended, online) = self.online.iter().partition(|(end, _)| *end <= tick);
        self.online = online;
        let ended: Vec<(usize, BalancerKey)> = ended;
        for (_, key) in ended {
            self.balancer.release(key, WorkClass::Online);
        }
        let arrivals = if tick % 145 < 85 { 1 } else { 4 };
        for _ in 0..arrivals {
            let key = self.acquire(WorkClass::Online).expect("an upstream");
            self.online.push((tick + REQUEST_TICKS, key));
        }
        self.preempt(tick);
        while let Some(key) = self.acquire(WorkClass::Batch) {
            self.items.push((tick, key));
        }
        self.left += UPSTREAMS * SLOTS as usize - self.online.len();
        self.used += self.items.len();
    }

    fn preempt(&mut self, tick: usize) {
        for (key, count) in self.balancer.preemptions(self.now) {
            for _ in 0..count {
                let at = self.items.iter().rposition(|(_, other)| *other == key);
                let (began, key) = self.items.remove(at.expect("an item at the upstream"));
                self.balancer.release(key, WorkClass::Batch);
                self.runs.push(tick - began);
            }
        }
    }

    fn acquire(&mut self, class: WorkClass) -> Option<BalancerKey> {
        let service = service();
        let request = SlotRequest {
            service: &service,
            class,
            excluded: &[],
            may_probe: true,
            may_repeat: true,
            software: None,
            urgency: None,
            may_wait: false,
        };
        let choice = self.balancer.acquire(request, self.now, 0)?;
        Some(choice.key)
    }

    /// Largest number of pieces of work at one upstream.
    fn most_work(&self) -> usize {
        let mut counts = std::collections::HashMap::new();
        for (_, key) in self.online.iter().chain(&self.items) {
            *counts.entry(*key).or_insert(0) += 1;
        }
        counts.into_values().max().unwrap_or(0)
    }
}

/// Items use nearly all slots that online requests leave free; each online request has its slot
/// within a tick, and few items are preempted right after their start. With a tenth of the slots
/// kept free, items used at most seven eighths of them.
#[tokio::test(start_paused = true)]
async fn test_items_use_the_slots_that_online_requests_leave() {
    let mut load = SwingingLoad::new();
    for tick in 0..145 * 6 {
        load.step(tick);
        assert!(
            load.most_work() <= SLOTS as usize,
            "a request waits at {tick}"
        );
    }
    let share = load.used as f64 / load.left as f64;
    assert!(share >= 0.92, "items used {share:.3} of the slots");
    let short = load.runs.iter().filter(|ticks| **ticks < 5).count();
    assert!(
        short * 10 <= load.runs.len(),
        "{short} of {} runs",
        load.runs.len()
    );
}
