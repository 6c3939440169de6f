//! Load balancing over upstreams: load, ejection after faults, preemption of batch items, and load
//! reports of other hosts.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use parsleywall::balancer::BalancerState;
use parsleywall::balancer::EntryReconciler;
use parsleywall::balancer::HostAnnouncement;
use parsleywall::balancer::HostDatagram;
use parsleywall::balancer::HostLoadReport;
use parsleywall::balancer::HostRing;
use parsleywall::balancer::SlotRequest;
use parsleywall::balancer::UpstreamChoice;
use parsleywall::balancer::UpstreamEntry;
use parsleywall::balancer::UpstreamFault;
use parsleywall::balancer::UpstreamLoad;
use parsleywall::balancer::UpstreamState;
use parsleywall::balancer::indices_by_distance;
use parsleywall::balancer::neighbour_reach;
use parsleywall::balancer::upstream_tag;
use parsleywall::balancer::window_size;
use parsleywall::ids::DataCentre;
use parsleywall::ids::HostId;
use parsleywall::ids::ServiceName;
use parsleywall::ids::UpstreamId;
use parsleywall::ids::WorkClass;
use proptest::prelude::*;
use rand::SeedableRng;
use tokio::time::Instant;

const SLOTS: u32 = 4;

fn service() -> ServiceName {
    ServiceName::new("desk")
}

fn entry(name: &str) -> UpstreamEntry {
    UpstreamEntry {
        id: UpstreamId::new(name),
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], 80)),
        data_centre: DataCentre::new("west"),
        slots: SLOTS,
        state: UpstreamState::Ready,
        born: 1,
    }
}

fn book(upstreams: &[&str]) -> BalancerState {
    let mut book = BalancerState::new(HostId::new("host-a"), DataCentre::new("east"));
    for name in upstreams {
        book.put(entry(name));
    }
    book
}

fn ask(service: &ServiceName, class: WorkClass) -> SlotRequest<'_> {
    SlotRequest {
        service,
        class,
        avoid: &[],
        may_probe: true,
    }
}

fn take(book: &mut BalancerState, class: WorkClass, now: Instant) -> Option<UpstreamChoice> {
    let service = service();
    book.take(ask(&service, class), now, 0)
}

fn report(host: &str, number: u64, loads: &[(&str, u16, u16)]) -> HostLoadReport {
    let loads = loads.iter().map(|(upstream, online, batch)| {
        UpstreamLoad(
            upstream_tag(&UpstreamId::new(upstream)),
            *online,
            *batch,
            false,
        )
    });
    HostLoadReport {
        host: host.to_owned(),
        incarnation: 1,
        number,
        is_leaving: false,
        loads: loads.collect(),
        leaving: Vec::new(),
    }
}

#[tokio::test(start_paused = true)]
async fn test_online_spreads_evenly() {
    let now = Instant::now();
    let mut book = book(&["a", "b", "c"]);
    let mut counts = std::collections::BTreeMap::new();
    for _ in 0..12 {
        let pick = take(&mut book, WorkClass::Online, now).unwrap();
        *counts.entry(pick.id.to_string()).or_insert(0) += 1;
    }
    assert!(counts.values().all(|count| *count == SLOTS), "{counts:?}");
    // With all slots taken, an online request still gets an upstream, where it queues.
    let pick = take(&mut book, WorkClass::Online, now).unwrap();
    assert_eq!((pick.ahead, pick.slots), (SLOTS, SLOTS));
}

#[tokio::test(start_paused = true)]
async fn test_online_counts_other_hosts() {
    let now = Instant::now();
    let mut book = book(&["a", "b"]);
    book.hear(report("host-b", 2, &[("a", 3, 0)]), now);
    for _ in 0..3 {
        assert_eq!(
            take(&mut book, WorkClass::Online, now).unwrap().id.as_str(),
            "b"
        );
    }
    // An older report is ignored; the work of a host that stops reporting is dropped.
    book.hear(report("host-b", 1, &[("b", 4, 0)]), now);
    let later = now + Duration::from_millis(1_100);
    book.forget_silent(later);
    assert_eq!(
        take(&mut book, WorkClass::Online, later)
            .unwrap()
            .id
            .as_str(),
        "a"
    );
}

/// Starts as many batch items as the host may in 20 windows of the start quota.
fn fill_with_batch(book: &mut BalancerState, start: Instant) -> usize {
    let mut started = 0;
    for window in 0..20 {
        let now = start + Duration::from_millis(40 * window);
        while take(book, WorkClass::Batch, now).is_some() {
            started += 1;
        }
    }
    started
}

fn parked(book: &BalancerState, now: Instant) -> u32 {
    book.preemptions(now).iter().map(|(_, count)| count).sum()
}

#[tokio::test(start_paused = true)]
async fn test_batch_leaves_places_free() {
    let start = Instant::now();
    let mut book = book(&["a", "b", "c"]);
    assert_eq!(fill_with_batch(&mut book, start), 10);
    let later = start + Duration::from_secs(1);
    for _ in 0..2 {
        let pick = take(&mut book, WorkClass::Online, later).unwrap();
        assert!(pick.ahead < SLOTS);
    }
}

/// Guards against online requests that preempt batch items while there are still free slots, and
/// against more preemptions than slots are missing.
#[tokio::test(start_paused = true)]
async fn test_batch_gives_way_only_when_places_run_short() {
    let start = Instant::now();
    let mut book = book(&["a", "b", "c"]);
    fill_with_batch(&mut book, start);
    let now = start + Duration::from_secs(1);
    take(&mut book, WorkClass::Online, now).unwrap();
    assert_eq!(parked(&book, now), 0, "one of twelve slots is still free");
    take(&mut book, WorkClass::Online, now).unwrap();
    assert_eq!(parked(&book, now), 1);
    take(&mut book, WorkClass::Online, now).unwrap();
    assert_eq!(
        parked(&book, now),
        2,
        "one request queues for a slot, and one slot is kept free"
    );
    assert!(take(&mut book, WorkClass::Batch, now).is_none());
}

#[tokio::test(start_paused = true)]
async fn test_batch_gives_way_once_among_hosts() {
    let now = Instant::now();
    let mut book_a = book(&["a"]);
    let mut book_b = BalancerState::new(HostId::new("host-b"), DataCentre::new("east"));
    book_b.put(entry("a"));
    for _ in 0..2 {
        take(&mut book_a, WorkClass::Batch, now).unwrap();
    }
    for _ in 0..3 {
        take(&mut book_b, WorkClass::Online, now).unwrap();
    }
    book_a.hear(report("host-b", 1, &[("a", 3, 1)]), now);
    // In a real run the second host would count its only item itself; here the item appears in its
    // report only.
    book_b.hear(report("host-a", 1, &[("a", 0, 2)]), now);
    // Six pieces of work at four slots: two are too many. The third item to preempt, for the slot
    // that is kept free, is the second host's.
    assert_eq!(parked(&book_a, now), 2);
    assert_eq!(parked(&book_b, now), 0, "it has no item to preempt");
}

#[tokio::test(start_paused = true)]
async fn test_batch_alone_does_not_give_way() {
    let now = Instant::now();
    let mut book = book(&["a"]);
    take(&mut book, WorkClass::Batch, now).unwrap();
    book.hear(report("host-b", 1, &[("a", 0, 4)]), now);
    assert!(book.preemptions(now).is_empty());
}

/// Guards against overcommitment: hosts that see the same spare slots must divide them instead of
/// all filling them with items.
#[tokio::test(start_paused = true)]
async fn test_batch_starts_are_shared_among_hosts() {
    let start = Instant::now();
    let mut book = book(&["a", "b", "c"]);
    for host in ["host-b", "host-c"] {
        book.hear(report(host, 1, &[]), start);
    }
    let mut started = 0;
    while take(&mut book, WorkClass::Batch, start).is_some() {
        started += 1;
    }
    assert!((3..=4).contains(&started), "{started} of 10 spare slots");
    let next = start + Duration::from_millis(40);
    assert!(take(&mut book, WorkClass::Batch, next).is_some());
}

#[tokio::test(start_paused = true)]
async fn test_fault_pauses_then_one_trial() {
    let start = Instant::now();
    let mut book = book(&["a"]);
    let pick = take(&mut book, WorkClass::Online, start).unwrap();
    let ejected = book.fault(pick.key, UpstreamFault::Unreachable, start);
    assert_eq!(ejected, Some(Duration::from_millis(500)));
    // Concurrent requests that fail with it count as no further fault.
    let again = book.fault(pick.key, UpstreamFault::Unreachable, start);
    assert_eq!(again, None);
    book.release(pick.key, WorkClass::Online);
    assert!(take(&mut book, WorkClass::Online, start).is_none());
    let later = start + Duration::from_millis(600);
    let trial = take(&mut book, WorkClass::Online, later).unwrap();
    assert!(
        take(&mut book, WorkClass::Online, later).is_none(),
        "one probe at a time"
    );
    let ejected = book.success(trial.key, later);
    assert_eq!(ejected, Some(Duration::from_millis(600)));
    assert!(take(&mut book, WorkClass::Online, later).is_some());
}

#[tokio::test(start_paused = true)]
async fn test_trial_without_sound_upstreams_offers_a_place() {
    let start = Instant::now();
    let service = service();
    let mut book = book(&["a", "b"]);
    let load = |book: &BalancerState, now| book.online_capacity(&service, now);
    assert_eq!(load(&book, start), (2 * SLOTS, 0));
    // All upstreams seem silent, for instance because the host itself was paused.
    for _ in 0..2 {
        let pick = take(&mut book, WorkClass::Online, start).unwrap();
        book.fault(pick.key, UpstreamFault::Silent, start);
        book.release(pick.key, WorkClass::Online);
    }
    assert_eq!(load(&book, start), (0, 0));
    assert!(take(&mut book, WorkClass::Batch, start).is_none());
    let later = start + Duration::from_millis(600);
    assert_eq!(load(&book, later), (2, 0), "one probe at each");
    let trial = take(&mut book, WorkClass::Online, later).unwrap();
    assert_eq!(load(&book, later), (1, 0));
    // A host with batch work only can recover too.
    let other = take(&mut book, WorkClass::Batch, later).unwrap();
    assert_ne!(other.key, trial.key);
    assert!(take(&mut book, WorkClass::Batch, later).is_none());
    book.success(other.key, later);
    assert_eq!(load(&book, later), (SLOTS, 0));
}

#[tokio::test(start_paused = true)]
async fn test_trial_is_for_work_that_may_run_again() {
    let start = Instant::now();
    let mut book = book(&["a", "b"]);
    let pick = take(&mut book, WorkClass::Online, start).unwrap();
    book.fault(pick.key, UpstreamFault::Silent, start);
    book.release(pick.key, WorkClass::Online);
    let later = start + Duration::from_millis(600);
    let service = service();
    let once = SlotRequest {
        may_probe: false,
        ..ask(&service, WorkClass::Online)
    };
    for _ in 0..SLOTS {
        let sound = book.take(once, later, 0).unwrap();
        assert_ne!(sound.key, pick.key, "the other upstream is healthy");
    }
    assert_eq!(
        take(&mut book, WorkClass::Online, later).unwrap().key,
        pick.key
    );
    // Without a healthy upstream the one to probe is used after all.
    let other = book.take(once, later, 0).unwrap();
    book.fault(other.key, UpstreamFault::Silent, later);
    book.release(pick.key, WorkClass::Online);
    let last = book.take(once, later, 0).unwrap();
    assert_eq!(last.key, pick.key);
}

#[tokio::test(start_paused = true)]
async fn test_broken_answers_pause_only_in_series() {
    let now = Instant::now();
    let mut book = book(&["a"]);
    let pick = take(&mut book, WorkClass::Online, now).unwrap();
    book.release(pick.key, WorkClass::Online);
    book.fault(pick.key, UpstreamFault::Broken, now);
    book.fault(pick.key, UpstreamFault::Broken, now);
    assert!(take(&mut book, WorkClass::Online, now).is_some());
    book.fault(pick.key, UpstreamFault::Broken, now);
    assert!(take(&mut book, WorkClass::Online, now).is_none());
}

#[tokio::test(start_paused = true)]
async fn test_draining_takes_nothing_new() {
    let now = Instant::now();
    let mut book = book(&["a", "b"]);
    let mut leaving = entry("a");
    leaving.state = UpstreamState::Draining;
    book.put(leaving);
    for _ in 0..6 {
        assert_eq!(
            take(&mut book, WorkClass::Online, now).unwrap().id.as_str(),
            "b"
        );
    }
    assert_eq!(book.ready_count(&service()), 1);
}

#[tokio::test(start_paused = true)]
async fn test_restart_under_old_identifier_has_clean_record() {
    let now = Instant::now();
    let mut book = book(&["a"]);
    let pick = take(&mut book, WorkClass::Online, now).unwrap();
    book.fault(pick.key, UpstreamFault::Silent, now);
    let mut again = entry("a");
    again.born = 2;
    book.put(again);
    let fresh = take(&mut book, WorkClass::Online, now).unwrap();
    assert_ne!(fresh.key, pick.key);
    assert_eq!(
        fresh.ahead, 0,
        "work of the earlier incarnation is not counted"
    );
}

#[tokio::test(start_paused = true)]
async fn test_roster_keeps_entries_that_an_outage_hid() {
    let start = Instant::now();
    let mut book = book(&["a", "b"]);
    let mut roster = EntryReconciler::default();
    let id = UpstreamId::new("a");
    roster.lost();
    assert!(!roster.remove(&id, &mut book, start));
    roster.regained(start);
    assert!(!roster.remove(&UpstreamId::new("b"), &mut book, start));
    assert_eq!(book.ready_count(&service()), 2);
    roster.put(entry("b"), &mut book);
    let gone = roster.sweep(&mut book, start + Duration::from_millis(2_000));
    assert!(gone.is_empty(), "the entry may still be written again");
    let gone = roster.sweep(&mut book, start + Duration::from_millis(2_200));
    assert_eq!(gone, vec![id]);
    assert_eq!(book.ready_count(&service()), 1);
}

#[tokio::test(start_paused = true)]
async fn test_roster_removes_at_once_in_calm() {
    let now = Instant::now();
    let mut book = book(&["a", "b"]);
    let mut roster = EntryReconciler::default();
    assert!(roster.remove(&UpstreamId::new("a"), &mut book, now));
    let gone = roster.list(vec![], &mut book, now);
    assert_eq!(gone, vec![UpstreamId::new("b")]);
    assert_eq!(book.ready_count(&service()), 0);
}

#[tokio::test(start_paused = true)]
async fn test_pulse_leaves_out_silent_and_leaving_hosts() {
    let start = Instant::now();
    let mut book = book(&["a"]);
    let hosts = ["host-a", "host-b", "host-c", "host-d"];
    book.set_hosts(hosts);
    for host in &hosts[1..] {
        book.hear(report(host, 1, &[]), start);
    }
    let later = start + Duration::from_millis(1_600);
    book.hear(report("host-b", 2, &[]), later);
    let mut leaving = report("host-c", 2, &[]);
    leaving.is_leaving = true;
    book.hear(leaving, later);
    assert_eq!(book.usable_hosts(&hosts, later), ["host-a", "host-b"]);
    // A host that hears no other may be the one that is partitioned.
    let silence = later + Duration::from_secs(2);
    assert_eq!(book.usable_hosts(&hosts, silence), hosts);
}

/// Hosts of a large fleet, each with its running requests.
struct LargeFleet {
    books: Vec<BalancerState>,
    /// For each host, the hosts that receive its reports.
    neighbours: Vec<Vec<usize>>,
    upstreams: usize,
    ends: std::collections::VecDeque<Vec<(usize, UpstreamChoice)>>,
    number: u64,
}

impl LargeFleet {
    /// Number of ticks for which a request occupies its slot.
    const HOLD: usize = 20;
    const TICK: Duration = Duration::from_millis(30);

    fn new(hosts: usize, upstreams: usize) -> Self {
        let names: Vec<String> = (0..hosts).map(|host| format!("host-{host}")).collect();
        let entries: Vec<UpstreamEntry> = (0..upstreams)
            .map(|upstream| entry(&format!("upstream-{upstream}")))
            .collect();
        let books = names.iter().map(|name| {
            let mut book = BalancerState::new(HostId::new(name), DataCentre::new("east"));
            entries.iter().for_each(|entry| book.put(entry.clone()));
            book.set_hosts(names.iter().map(String::as_str));
            book
        });
        let books: Vec<BalancerState> = books.collect();
        let numbers: HashMap<&str, usize> = names
            .iter()
            .enumerate()
            .map(|(number, name)| (name.as_str(), number))
            .collect();
        let neighbours = books.iter().map(|book| {
            let near = book.neighbours();
            near.iter().map(|name| numbers[name.as_str()]).collect()
        });
        Self {
            neighbours: neighbours.collect(),
            books,
            upstreams,
            ends: vec![Vec::new(); Self::HOLD].into(),
            number: 0,
        }
    }

    fn exchange_reports(&mut self, now: Instant) {
        self.number += 1;
        for host in 0..self.books.len() {
            let report = HostLoadReport {
                host: format!("host-{host}"),
                incarnation: 1,
                number: self.number,
                is_leaving: false,
                loads: self.books[host].own_loads(now),
                leaving: Vec::new(),
            };
            for neighbour in &self.neighbours[host] {
                self.books[*neighbour].hear(report.clone(), now);
            }
        }
    }

    /// Ends the oldest requests and starts `arrivals` new ones at random hosts.
    fn tick(
        &mut self,
        arrivals: usize,
        now: Instant,
        rng: &mut impl rand::Rng,
    ) -> Vec<UpstreamChoice> {
        for (host, pick) in self.ends.pop_front().unwrap() {
            self.books[host].release(pick.key, WorkClass::Online);
        }
        let mut taken = Vec::new();
        for _ in 0..arrivals {
            let host = rng.random_range(0..self.books.len());
            let (draw, book) = (rng.random(), &mut self.books[host]);
            let pick = book.take(ask(&service(), WorkClass::Online), now, draw);
            taken.push((host, pick.unwrap()));
        }
        self.ends.push_back(taken.clone());
        taken.into_iter().map(|(_, pick)| pick).collect()
    }

    /// Online requests of all hosts at each upstream, by tag.
    fn work(&self) -> HashMap<u32, u32> {
        let mut work: HashMap<u32, u32> = HashMap::default();
        for load in self
            .books
            .iter()
            .flat_map(|book| book.own_loads(Instant::now()))
        {
            *work.entry(load.0).or_default() += u32::from(load.1);
        }
        work
    }
}

/// Result of a load on a [`LargeFleet`].
#[derive(Debug)]
struct LargeFleetOutcome {
    /// Number of requests.
    all: usize,
    /// Requests that found no free slot at their upstream.
    full: usize,
    /// Largest number of upstreams that one host used.
    most_upstreams: usize,
    /// Largest number of hosts that one host reports to.
    most_neighbours: usize,
}

/// Simulates a load that occupies three quarters of the slots; reports are up to four ticks old.
fn play_large_fleet(hosts: usize, upstreams: usize, ticks: u32) -> LargeFleetOutcome {
    let start = Instant::now();
    let mut rng = rand::rngs::StdRng::seed_from_u64(7);
    let mut fleet = LargeFleet::new(hosts, upstreams);
    let places = fleet.upstreams as u32 * SLOTS;
    let arrivals = places as usize * 3 / 4 / LargeFleet::HOLD;
    let mut used: HashMap<usize, HashSet<String>> = HashMap::default();
    let (mut full, mut all) = (0, 0);
    for number in 0..ticks {
        let now = start + LargeFleet::TICK * number;
        if number % 4 == 0 {
            fleet.exchange_reports(now);
        }
        let picks = fleet.tick(arrivals, now, &mut rng);
        all += picks.len();
        let work = fleet.work();
        let mut new: HashMap<u32, u32> = HashMap::default();
        for pick in &picks {
            *new.entry(upstream_tag(&pick.id)).or_default() += 1;
        }
        let waits = |(tag, new): (&u32, &u32)| work[tag].saturating_sub(SLOTS).min(*new);
        full += new.iter().map(waits).sum::<u32>() as usize;
        for (host, pick) in fleet.ends.back().unwrap() {
            used.entry(*host).or_default().insert(pick.id.to_string());
        }
    }
    let neighbours = fleet.neighbours.iter().map(Vec::len);
    LargeFleetOutcome {
        all,
        full,
        most_upstreams: used.values().map(HashSet::len).max().unwrap(),
        most_neighbours: neighbours.max().unwrap(),
    }
}

/// Guards against uneven load and against connections and reports that grow with the fleet: at most
/// one request in ten may find its upstream full (with exact knowledge of all loads none would),
/// and each host uses few upstreams and reports to few hosts.
#[tokio::test(start_paused = true)]
async fn test_large_fleet_spreads_work_over_few_connections() {
    for (hosts, upstreams, ticks) in [(40, 60, 120), (165, 99, 80), (700, 420, 30)] {
        let outcome = play_large_fleet(hosts, upstreams, ticks);
        let size = format!("{hosts} hosts: {outcome:?}");
        assert!(outcome.full * 10 <= outcome.all, "{size}");
        assert!(outcome.most_upstreams <= 20, "{size}");
        assert!(outcome.most_neighbours <= 48, "{size}");
    }
}

/// Guards against upstreams that are in no host's window: with 13 hosts and 90 upstreams, random
/// subsets of 20 upstreams each would leave some out.
#[tokio::test(start_paused = true)]
async fn test_subsets_leave_no_upstream_out() {
    let now = Instant::now();
    let mut used: HashSet<String> = HashSet::default();
    for host in 0..13 {
        let name = HostId::new(format!("host-{host}"));
        let mut book = BalancerState::new(name, DataCentre::new("east"));
        for upstream in 0..90 {
            book.put(entry(&format!("upstream-{upstream}")));
        }
        let hosts: Vec<String> = (0..13).map(|host| format!("host-{host}")).collect();
        book.set_hosts(hosts.iter().map(String::as_str));
        for other in (0..13).filter(|other| *other != host) {
            book.hear(report(&format!("host-{other}"), 1, &[]), now);
        }
        for draw in 0..2_000 {
            let service = service();
            let pick = book
                .take(ask(&service, WorkClass::Online), now, draw)
                .unwrap();
            book.release(pick.key, WorkClass::Online);
            used.insert(pick.id.to_string());
        }
    }
    assert_eq!(used.len(), 90);
}

#[tokio::test(start_paused = true)]
async fn test_leaving_upstream_gets_nothing_until_it_starts_again() {
    let now = Instant::now();
    let mut book = book(&["a"]);
    let pick = take(&mut book, WorkClass::Online, now).unwrap();
    assert!(book.leave(pick.key, now));
    assert!(!book.leave(pick.key, now), "it is new only once");
    assert!(take(&mut book, WorkClass::Online, now).is_none());
    // Its entry still says that it is ready, expires, and is written again.
    book.put(entry("a"));
    assert!(take(&mut book, WorkClass::Online, now).is_none());
    book.remove(&UpstreamId::new("a"));
    book.put(entry("a"));
    assert!(take(&mut book, WorkClass::Online, now).is_none());
    assert_eq!(book.online_capacity(&service(), now), (0, 0));
    book.put(UpstreamEntry {
        born: 2,
        ..entry("a")
    });
    assert!(take(&mut book, WorkClass::Online, now).is_some());
}

#[tokio::test(start_paused = true)]
async fn test_leaving_upstream_is_told_to_other_hosts_for_a_while() {
    let now = Instant::now();
    let mut teller = book(&["a", "b"]);
    let mut hearer = book(&["a", "b"]);
    let pick = take(&mut teller, WorkClass::Online, now).unwrap();
    teller.leave(pick.key, now);
    let news = teller.leaving_news(now);
    assert_eq!(news.len(), 1);
    let told = HostLoadReport {
        leaving: news,
        ..report("host-b", 1, &[])
    };
    let bytes = HostDatagram::Load(told.clone()).encode();
    assert_eq!(
        HostDatagram::decode(&bytes),
        Some(HostDatagram::Load(told.clone()))
    );
    hearer.hear(told, now);
    for _ in 0..2 * SLOTS {
        let other = take(&mut hearer, WorkClass::Online, now).unwrap();
        assert_ne!(other.id, pick.id);
    }
    assert!(
        hearer.leaving_news(now).is_empty(),
        "what other hosts report is not passed on"
    );
    assert!(teller.leaving_news(now + Duration::from_secs(3)).is_empty());
    assert_ne!(
        take(&mut teller, WorkClass::Online, now).unwrap().id,
        pick.id
    );
}

fn names(hosts: &[u16]) -> Vec<String> {
    hosts.iter().map(|host| format!("host-{host}")).collect()
}

fn ring(names: &[String]) -> HostRing {
    HostRing::new(names.iter().map(String::as_str))
}

/// Indices of the upstreams that `host` uses.
fn window(ring: &HostRing, host: &str, upstreams: usize) -> Vec<usize> {
    let size = window_size(upstreams, ring.len());
    indices_by_distance(ring.place(host), upstreams)
        .take(size)
        .collect()
}

proptest! {
    #[test]
    fn test_ring_windows_cover_all_upstreams_evenly(
        hosts in prop::collection::btree_set(any::<u16>(), 1..300),
        upstreams in 1usize..400,
    ) {
        let names = names(&hosts.into_iter().collect::<Vec<_>>());
        let ring = ring(&names);
        let mut users = vec![0; upstreams];
        for name in &names {
            let window = window(&ring, name, upstreams);
            prop_assert_eq!(window.iter().collect::<HashSet<_>>().len(), window.len());
            window.into_iter().for_each(|index| users[index] += 1);
        }
        let (least, most) = (users.iter().min().unwrap(), users.iter().max().unwrap());
        prop_assert!(*least >= 1);
        // Hosts and upstreams are evenly spaced, so that only the ends of windows differ.
        let spacing = names.len().div_ceil(upstreams) + 1;
        prop_assert!(most - least <= spacing, "{} to {}", least, most);
    }

    #[test]
    fn test_ring_hosts_that_share_an_upstream_are_neighbours(
        hosts in prop::collection::btree_set(any::<u16>(), 2..150),
        gone in 0usize..2,
        upstreams in 1usize..200,
    ) {
        let all = names(&hosts.into_iter().collect::<Vec<_>>());
        // Some hosts already know that another one is gone.
        let fewer = &all[gone.min(all.len() - 1)..];
        let (one_view, other_view) = (ring(&all), ring(fewer));
        for one in fewer {
            let reach = neighbour_reach(upstreams, one_view.len());
            let told: HashSet<&str> = one_view.near(one, reach).collect();
            let used: HashSet<usize> = window(&one_view, one, upstreams).into_iter().collect();
            for other in fewer.iter().filter(|other| *other != one) {
                let others = window(&other_view, other, upstreams);
                let shares = others.iter().any(|index| used.contains(index));
                prop_assert!(!shares || told.contains(other.as_str()), "{} {}", one, other);
            }
        }
    }

    #[test]
    fn test_ring_neighbours_do_not_grow_with_the_fleet(scale in 1usize..40) {
        let (hosts, upstreams) = (35 * scale, 50 * scale);
        let names: Vec<String> = (0..hosts).map(|host| format!("host-{host}")).collect();
        let ring = ring(&names);
        let reach = neighbour_reach(upstreams, hosts);
        prop_assert!(ring.near("host-0", reach).count() <= 26);
        prop_assert!(window_size(upstreams, hosts) <= 15);
    }
}

#[test]
fn test_ring_outward_takes_the_nearest_first() {
    assert_eq!(
        indices_by_distance(0.5, 4).collect::<Vec<_>>(),
        [2, 1, 3, 0]
    );
    assert_eq!(
        indices_by_distance(0.45, 4).collect::<Vec<_>>(),
        [1, 2, 0, 3]
    );
    assert_eq!(indices_by_distance(0.0, 3).collect::<Vec<_>>(), [0, 2, 1]);
    assert_eq!(indices_by_distance(0.99, 3).collect::<Vec<_>>(), [2, 0, 1]);
    assert_eq!(indices_by_distance(0.3, 0).count(), 0);
}

#[tokio::test(start_paused = true)]
async fn test_peer_loads_sum_what_the_last_reports_say() {
    let now = Instant::now();
    let mut book = book(&["a", "b"]);
    assert!(book.hear(report("host-b", 1, &[("a", 2, 1)]), now));
    assert!(book.hear(report("host-c", 1, &[("a", 1, 0), ("b", 0, 1)]), now));
    assert_eq!(book.running_work(&service()), (3, 2));
    assert!(
        !book.hear(report("host-b", 2, &[("a", 2, 1)]), now),
        "no work changes"
    );
    assert!(
        !book.hear(report("host-b", 1, &[]), now),
        "an older report is ignored"
    );
    assert!(book.hear(report("host-b", 3, &[("b", 1, 0)]), now));
    assert_eq!(book.running_work(&service()), (2, 1));
    book.forget_silent(now + Duration::from_secs(1));
    assert_eq!(book.running_work(&service()), (0, 0));
}

/// When one of 40 hosts stops reporting, exactly one of its neighbours must announce it. All other
/// hosts then leave it out, although most of them never got its reports.
#[tokio::test(start_paused = true)]
async fn test_silent_host_is_told_to_all_by_one() {
    let start = Instant::now();
    let later = start + Duration::from_millis(1_600);
    let names: Vec<String> = (0..40).map(|host| format!("host-{host}")).collect();
    let mut books: Vec<BalancerState> = names
        .iter()
        .map(|name| {
            let mut book = BalancerState::new(HostId::new(name), DataCentre::new("east"));
            (0..80).for_each(|number| book.put(entry(&format!("upstream-{number}"))));
            book.set_hosts(names.iter().map(String::as_str));
            book
        })
        .collect();
    for (number, at) in [(1, start), (2, later)] {
        for name in names
            .iter()
            .filter(|name| number == 1 || **name != "host-7")
        {
            for book in books
                .iter_mut()
                .filter(|book| book.neighbours().contains(name))
            {
                book.hear(report(name, number, &[]), at);
            }
        }
    }
    let tellers: Vec<usize> = (0..40)
        .filter(|host| *host != 7 && !books[*host].silent_neighbours(later).is_empty())
        .collect();
    assert_eq!(tellers.len(), 1);
    let news = HostAnnouncement {
        host: names[tellers[0]].clone(),
        is_leaving: false,
        new_jobs: Vec::new(),
        silent: books[tellers[0]].silent_neighbours(later),
    };
    assert_eq!(news.silent, ["host-7"]);
    let hosts: Vec<&str> = names.iter().map(String::as_str).collect();
    for book in &mut books {
        book.apply_announcement(&news, later);
    }
    for (host, book) in books.iter().enumerate().filter(|(host, _)| *host != 7) {
        let usable = book.usable_hosts(&hosts, later);
        assert!(
            !usable.contains(&"host-7"),
            "host-{host} still has it as usable"
        );
        assert!(
            usable.len() >= 38,
            "host-{host} has {} usable hosts",
            usable.len()
        );
    }
    // The silent host hears no neighbour itself, and so announces none.
    assert!(books[7].silent_neighbours(later).is_empty());
    // It is usable again once it broadcasts something itself.
    let back = HostAnnouncement {
        host: "host-7".to_owned(),
        silent: Vec::new(),
        ..news
    };
    for book in &mut books {
        book.apply_announcement(&back, later);
        assert!(book.usable_hosts(&hosts, later).contains(&"host-7"));
    }
}

/// One change of a [`BalancerState`] or of the time.
#[derive(Clone, Debug)]
enum BookStep {
    Put {
        upstream: u8,
        born: u64,
        drains: bool,
    },
    Remove(u8),
    Take(bool),
    Release(usize),
    Leave(usize),
    Fault(usize),
    Hear {
        host: u8,
        upstream: u8,
        online: u16,
    },
    Hosts(u8),
    Wait(u16),
}

fn book_step() -> impl Strategy<Value = BookStep> {
    let upstream = 0..6u8;
    prop_oneof![
        (upstream.clone(), 1..3u64, any::<bool>()).prop_map(|(upstream, born, drains)| {
            BookStep::Put {
                upstream,
                born,
                drains,
            }
        }),
        upstream.clone().prop_map(BookStep::Remove),
        any::<bool>().prop_map(BookStep::Take),
        any::<usize>().prop_map(BookStep::Release),
        any::<usize>().prop_map(BookStep::Leave),
        any::<usize>().prop_map(BookStep::Fault),
        (0..4u8, upstream, 0..5u16).prop_map(|(host, upstream, online)| {
            BookStep::Hear {
                host,
                upstream,
                online,
            }
        }),
        (0..40u8).prop_map(BookStep::Hosts),
        (0..3_000u16).prop_map(BookStep::Wait),
    ]
}

proptest! {
    /// After any sequence of changes, only upstreams that are listed, ready and have not announced
    /// their shutdown get work, and all work is in the load report until it is released.
    #[test]
    fn test_book_holds_through_any_changes(steps in prop::collection::vec(book_step(), 1..120)) {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let _context = runtime.enter();
        let mut now = Instant::now();
        let mut book = book(&[]);
        let mut ready: HashMap<String, u64> = HashMap::default();
        let mut left: HashSet<(String, u64)> = HashSet::default();
        let mut held: Vec<(UpstreamChoice, WorkClass, u64)> = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                BookStep::Put { upstream, born: start, drains } => {
                    let name = format!("u{upstream}");
                    let state = if drains { UpstreamState::Draining } else { UpstreamState::Ready };
                    book.put(UpstreamEntry { born: start, state, ..entry(&name) });
                    match drains {
                        true => ready.remove(&name),
                        false => ready.insert(name, start),
                    };
                }
                BookStep::Remove(upstream) => {
                    let name = format!("u{upstream}");
                    book.remove(&UpstreamId::new(&name));
                    ready.remove(&name);
                }
                BookStep::Take(online) => {
                    let class = if online { WorkClass::Online } else { WorkClass::Batch };
                    if let Some(pick) = take(&mut book, class, now) {
                        let name = pick.id.to_string();
                        let start = ready.get(&name).copied();
                        prop_assert!(start.is_some(), "{} accepts no requests", name);
                        prop_assert!(!left.contains(&(name, start.unwrap())));
                        held.push((pick, class, start.unwrap()));
                    }
                }
                BookStep::Release(index) if !held.is_empty() => {
                    let (pick, class, _) = held.remove(index % held.len());
                    book.release(pick.key, class);
                }
                BookStep::Leave(index) if !held.is_empty() => {
                    let (pick, _, start) = &held[index % held.len()];
                    book.leave(pick.key, now);
                    left.insert((pick.id.to_string(), *start));
                }
                BookStep::Fault(index) if !held.is_empty() => {
                    let key = held[index % held.len()].0.key;
                    book.fault(key, UpstreamFault::Silent, now);
                }
                BookStep::Hear { host, upstream, online } => {
                    let name = format!("u{upstream}");
                    let loads = [(name.as_str(), online, 0)];
                    book.hear(report(&format!("host-{host}"), number as u64, &loads), now);
                }
                BookStep::Hosts(count) => {
                    let names: Vec<String> = (0..count).map(|host| format!("host-{host}")).collect();
                    book.set_hosts(names.iter().map(String::as_str));
                }
                BookStep::Wait(millis) => {
                    now += Duration::from_millis(millis.into());
                    book.forget_silent(now);
                }
                BookStep::Release(_) | BookStep::Leave(_) | BookStep::Fault(_) => {}
            }
            let takes = ready.iter().filter(|(name, start)| !left.contains(&((*name).clone(), **start)));
            prop_assert_eq!(book.ready_count(&service()), takes.count());
            let told: u32 = book.own_loads(now).iter().map(|load| u32::from(load.1 + load.2)).sum();
            prop_assert_eq!(told as usize, held.len());
            book.preemptions(now);
            book.online_capacity(&service(), now);
        }
    }
}

/// Guards against ejecting a slow but working upstream: silence ejects it at once only if no host
/// reports that it makes progress.
#[tokio::test(start_paused = true)]
async fn test_silence_of_an_upstream_that_serves_others_is_no_ejection() {
    let start = Instant::now();
    let late = start + Duration::from_millis(180);
    let mut book = book(&["a"]);
    let pick = take(&mut book, WorkClass::Online, start).unwrap();
    let told = |number, lively| {
        let mut report = report("host-b", number, &[("a", 3, 1)]);
        report.loads[0].3 = lively;
        report
    };
    book.hear(told(1, true), start - Duration::from_millis(1));
    assert_eq!(
        book.silence(pick.key, start),
        UpstreamFault::Silent,
        "the progress was reported before the request"
    );
    book.hear(told(2, false), start + Duration::from_millis(60));
    assert_eq!(book.silence(pick.key, start), UpstreamFault::Silent);
    let has_changed = book.hear(told(3, true), start + Duration::from_millis(90));
    assert!(
        !has_changed,
        "the numbers of requests and items are the same"
    );
    assert_eq!(book.silence(pick.key, start), UpstreamFault::Slow);
    assert_eq!(book.fault(pick.key, UpstreamFault::Slow, late), None);
    assert_eq!(book.fault(pick.key, UpstreamFault::Slow, late), None);
    let third = book.fault(pick.key, UpstreamFault::Slow, late);
    assert!(third.is_some(), "three consecutive slow answers eject");
    // Progress that this host sees itself counts too, and is reported to others for 150 ms.
    book.note_progress(pick.key, late);
    assert_eq!(book.silence(pick.key, start), UpstreamFault::Slow);
    assert!(book.own_loads(late)[0].3);
    assert!(!book.own_loads(late + Duration::from_millis(200))[0].3);
}

/// Guards against overcommitment after a restart of the whole fleet, when all hosts have queued
/// items and none has received a load report yet.
#[tokio::test(start_paused = true)]
async fn test_batch_waits_until_a_new_host_has_heard_from_others() {
    let start = Instant::now();
    let mut book = book(&["a", "b", "c"]);
    book.set_hosts(["host-a", "host-b"]);
    assert!(take(&mut book, WorkClass::Batch, start).is_none());
    assert!(take(&mut book, WorkClass::Online, start).is_some());
    let later = start + Duration::from_millis(700);
    assert!(take(&mut book, WorkClass::Batch, later).is_some());
}

/// A host may start work outside of its window before it knows the other hosts. The hosts whose
/// windows contain those upstreams must get its reports, or they would overload them.
#[tokio::test(start_paused = true)]
async fn test_work_outside_the_window_is_told_to_its_users() {
    let now = Instant::now();
    let upstreams: Vec<String> = (0..90).map(|number| format!("upstream-{number}")).collect();
    let names: Vec<String> = (0..60).map(|host| format!("host-{host}")).collect();
    let make = |host: &str| {
        let mut book = BalancerState::new(HostId::new(host), DataCentre::new("east"));
        upstreams.iter().for_each(|name| book.put(entry(name)));
        book
    };
    let mut early = make("host-0");
    let picks: Vec<UpstreamChoice> = (0..40)
        .map(|draw| {
            early
                .take(ask(&service(), WorkClass::Online), now, draw)
                .unwrap()
        })
        .collect();
    early.set_hosts(names.iter().map(String::as_str));
    let told = early.neighbours();
    for name in &names[1..] {
        let mut book = make(name);
        book.set_hosts(names.iter().map(String::as_str));
        let used: HashSet<String> = (0..400)
            .filter_map(|draw| book.take(ask(&service(), WorkClass::Online), now, draw))
            .map(|pick| pick.id.to_string())
            .collect();
        let shares = picks.iter().any(|pick| used.contains(pick.id.as_str()));
        assert!(!shares || told.contains(name), "{name} gets no reports");
    }
    // Once that work has ended, only the neighbours get the reports.
    for pick in &picks {
        early.release(pick.key, WorkClass::Online);
    }
    assert!(early.neighbours().len() < told.len());
}

#[tokio::test(start_paused = true)]
async fn test_service_without_upstreams_makes_no_neighbours() {
    let names: Vec<String> = (0..60).map(|host| format!("host-{host}")).collect();
    let mut book = book(&[]);
    (0..90).for_each(|number| book.put(entry(&format!("upstream-{number}"))));
    book.set_hosts(names.iter().map(String::as_str));
    let before = book.neighbours();
    assert!(before.len() < 30, "{}", before.len());
    let id = UpstreamId::new("of-another");
    book.put(UpstreamEntry {
        id: id.clone(),
        service: ServiceName::new("another"),
        ..entry("of-another")
    });
    book.remove(&id);
    assert_eq!(book.neighbours(), before);
}

/// A host that is listed but not yet on the ring gets a position that may lie beyond the last host,
/// at more than 1. Distances must wrap around from there as well.
#[test]
fn test_ring_places_beyond_the_last_host_are_as_far_as_they_look() {
    let names = names(&(0..20).collect::<Vec<_>>());
    let ring = ring(&names);
    let others = (100..200).map(|number| format!("host-{number}"));
    for other in others {
        let place = ring.place(&other);
        for name in &names {
            let apart = (ring.place(name) - place).rem_euclid(1.0);
            let distance = apart.min(1.0 - apart);
            let is_near = ring.is_near(name, &other, 0.2 + 1e-9);
            assert_eq!(is_near, distance <= 0.2 + 1e-9, "{name} {other}");
        }
    }
}
