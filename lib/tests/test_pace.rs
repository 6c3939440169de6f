//! Learning of how quickly upstreams serve: fleets of 1, 9 and 69 hosts that exchange load reports with
//! a delay, in front of upstreams of different speed that stumble, slow down early, fail, restart or are
//! reported wrongly. Virtual time, no network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use parsleywall::balancer::BalancerKey;
use parsleywall::balancer::BalancerState;
use parsleywall::balancer::HostDatagram;
use parsleywall::balancer::HostLoadReport;
use parsleywall::balancer::PaceSample;
use parsleywall::balancer::SlotRequest;
use parsleywall::balancer::UpstreamEntry;
use parsleywall::balancer::UpstreamFault;
use parsleywall::balancer::UpstreamState;
use parsleywall::balancer::process_tag;
use parsleywall::balancer::upstream_tag;
use parsleywall::ids::DataCentre;
use parsleywall::ids::HostId;
use parsleywall::ids::ServiceName;
use parsleywall::ids::SoftwareVersion;
use parsleywall::ids::UpstreamId;
use parsleywall::ids::UpstreamIncarnation;
use parsleywall::ids::WorkClass;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

const SLOTS: u32 = 8;
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
const EVENTS: f64 = 20.0;
const STEP_MS: f64 = 5.0;
const READ_MS: f64 = 20.0;
const LINK_MS: f64 = 3.0;
const REPORT_INTERVAL: Duration = Duration::from_millis(60);
const REPORT_DELAY: Duration = Duration::from_millis(90);
const STUMBLE_MS: u64 = 600;
const STUMBLE_SHARE: f64 = 0.15;
const STUMBLE_FACTOR: f64 = 2.5;

/// A process of a model upstream.
#[derive(Clone, Debug)]
struct ModelUpstream {
    name: String,
    speed: f64,
    stumbles: bool,
    /// Running requests beyond which each one doubles the time of a step.
    knee: Option<u32>,
    /// Time from and to which half of the requests fail.
    failing: Option<(Duration, Duration)>,
    started_ms: u64,
    running: u32,
    queue: VecDeque<usize>,
}

impl ModelUpstream {
    fn new(index: usize) -> Self {
        Self {
            name: format!("upstream-{index}"),
            speed: SPEEDS[index % 3],
            stumbles: false,
            knee: None,
            failing: None,
            started_ms: 1,
            running: 0,
            queue: VecDeque::new(),
        }
    }

    fn entry(&self) -> UpstreamEntry {
        UpstreamEntry {
            id: UpstreamId::new(&self.name),
            service: ServiceName::new("desk"),
            address: SocketAddr::from(([127, 0, 0, 1], 80)),
            data_centre: DataCentre::new("west"),
            slots: SLOTS,
            state: UpstreamState::Ready,
            started_ms: self.started_ms,
            software: SoftwareVersion::new("v1"),
        }
    }

    fn is_failing(&self, at: Duration) -> bool {
        self.failing.is_some_and(|(from, to)| from <= at && at < to)
    }

    /// Factor of all times, for the requests that run and a stumble.
    fn slowness(&self, at: Duration) -> f64 {
        let slice = at.as_millis() as u64 / STUMBLE_MS;
        let mut random =
            StdRng::seed_from_u64(slice ^ (u64::from(upstream_tag(&self.entry().id)) << 20));
        let stumbles = self.stumbles && random.random::<f64>() < STUMBLE_SHARE;
        let stumble = if stumbles { STUMBLE_FACTOR } else { 1.0 };
        let excess = self
            .knee
            .map_or(0, |knee| self.running.saturating_sub(knee));
        let batch = 1.0 + 0.06 * f64::from(self.running.saturating_sub(1));
        stumble * batch * 2f64.powi(excess as i32) / self.speed
    }
}

#[derive(Clone, Copy, Debug)]
struct ModelRun {
    host: usize,
    key: BalancerKey,
    upstream: usize,
    arrived: Duration,
    beside: u32,
    may_repeat: bool,
}

#[derive(Debug)]
enum ModelEvent {
    Arrival,
    First(usize),
    End(usize),
    Failure(usize),
    Report(usize),
    Delivery(usize, Vec<u8>),
}

/// What callers got in one play.
#[derive(Default)]
struct PlayResult {
    /// Time of the choice and upstream of each request.
    choices: Vec<(Duration, usize)>,
    /// Time of arrival and time to the first event of each answer.
    firsts: Vec<(Duration, Duration)>,
    failed_once: u32,
    report_bytes: usize,
}

impl PlayResult {
    /// Requests at `upstream` within a span of time.
    fn count(&self, upstream: usize, from: Duration, to: Duration) -> usize {
        let within =
            |(at, chosen): &&(Duration, usize)| from <= *at && *at < to && *chosen == upstream;
        self.choices.iter().filter(within).count()
    }

    fn p95_first(&self, from: Duration) -> Duration {
        let late = self.firsts.iter().filter(|(at, _)| *at >= from);
        let mut times: Vec<Duration> = late.map(|(_, first)| *first).collect();
        times.sort();
        times[times.len() * 95 / 100]
    }

    /// Requests of the busiest upstream per unit of speed, as a multiple of the mean.
    fn busiest(&self, upstreams: &[ModelUpstream], from: Duration, to: Duration) -> f64 {
        let counts: Vec<f64> = (0..upstreams.len())
            .map(|index| self.count(index, from, to) as f64)
            .collect();
        let speed: f64 = upstreams.iter().map(|upstream| upstream.speed).sum();
        let mean = counts.iter().sum::<f64>() / speed;
        let pairs = counts.iter().zip(upstreams);
        pairs
            .map(|(count, upstream)| count / upstream.speed / mean)
            .fold(0.0, f64::max)
    }
}

/// Hosts and upstreams under a load of so many requests a second.
struct ModelFleet {
    hosts: Vec<BalancerState>,
    upstreams: Vec<ModelUpstream>,
    per_second: f64,
    /// Share of the requests that have one attempt.
    single_share: f64,
    /// A host that reports these samples with each report.
    liar: Option<(usize, Vec<PaceSample>)>,
    /// An upstream that restarts then with another speed.
    restart: Option<(Duration, usize, f64)>,
    random: StdRng,
    start: Instant,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    pending: HashMap<u64, ModelEvent>,
    next_event: u64,
    runs: Vec<ModelRun>,
    sequence: u64,
    result: PlayResult,
}

impl ModelFleet {
    fn new(hosts: usize, upstreams: Vec<ModelUpstream>, per_second: f64, seed: u64) -> Self {
        let names: Vec<String> = (0..hosts).map(|index| format!("host-{index}")).collect();
        let states = names.iter().map(|name| {
            let state = BalancerState::new(HostId::new(name), DataCentre::new("east"));
            let mut state = state.with_pace(true);
            state.set_hosts(names.iter().map(String::as_str));
            for upstream in &upstreams {
                state.put(upstream.entry());
            }
            state
        });
        Self {
            hosts: states.collect(),
            upstreams,
            per_second,
            single_share: 0.5,
            liar: None,
            restart: None,
            random: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            next_event: 0,
            runs: Vec::new(),
            sequence: 0,
            result: PlayResult::default(),
        }
    }

    fn without_pace(mut self) -> Self {
        self.hosts = std::mem::take(&mut self.hosts)
            .into_iter()
            .map(|state| state.with_pace(false))
            .collect();
        self
    }

    fn at(&mut self, time: Duration, event: ModelEvent) {
        self.events.push(Reverse((time, self.next_event)));
        self.pending.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn play(mut self, length: Duration) -> (PlayResult, Vec<ModelUpstream>) {
        self.run(length);
        (self.result, self.upstreams)
    }

    fn run(&mut self, length: Duration) {
        self.at(Duration::ZERO, ModelEvent::Arrival);
        for host in 0..self.hosts.len() {
            let phase = REPORT_INTERVAL.mul_f64(self.random.random());
            self.at(phase, ModelEvent::Report(host));
        }
        while let Some(Reverse((time, number))) = self.events.pop() {
            if time >= length {
                break;
            }
            self.apply_restart(time);
            match self.pending.remove(&number).unwrap() {
                ModelEvent::Arrival => {
                    let host = self.random.random_range(0..self.hosts.len());
                    let may_repeat = self.random.random::<f64>() >= self.single_share;
                    self.send(host, may_repeat, &[], time, time);
                    let gap = -self.random.random::<f64>().max(1e-9).ln() / self.per_second;
                    self.at(time + Duration::from_secs_f64(gap), ModelEvent::Arrival);
                }
                ModelEvent::First(run) => self.note_first(run, time),
                ModelEvent::End(run) => self.end(run, time),
                ModelEvent::Failure(run) => {
                    let ModelRun {
                        host,
                        key,
                        arrived,
                        may_repeat,
                        ..
                    } = self.runs[run];
                    let now = self.start + time;
                    match may_repeat {
                        true => {
                            let fault = UpstreamFault::Failed;
                            self.hosts[host].note_fault(key, fault, now);
                        }
                        false => self.hosts[host].note_failure(key, now),
                    }
                    self.end(run, time);
                    match may_repeat {
                        true => self.send(host, false, &[key], arrived, time),
                        false => self.result.failed_once += 1,
                    }
                }
                ModelEvent::Report(host) => self.report(host, time),
                ModelEvent::Delivery(host, bytes) => {
                    if let Some(HostDatagram::Load(report)) = HostDatagram::decode(&bytes) {
                        self.hosts[host].apply_report(report, self.start + time);
                    }
                }
            }
        }
    }

    fn apply_restart(&mut self, time: Duration) {
        if let Some((_, index, speed)) = self.restart.take_if(|(at, _, _)| *at <= time) {
            let upstream = &mut self.upstreams[index];
            upstream.started_ms += 1;
            upstream.speed = speed;
            let entry = upstream.entry();
            for host in &mut self.hosts {
                host.put(entry.clone());
            }
        }
    }

    fn send(
        &mut self,
        host: usize,
        may_repeat: bool,
        excluded: &[BalancerKey],
        arrived: Duration,
        time: Duration,
    ) {
        let service = ServiceName::new("desk");
        let request = SlotRequest {
            service: &service,
            class: WorkClass::Online,
            excluded,
            may_probe: may_repeat,
            may_repeat,
            software: None,
            urgency: None,
            may_wait: false,
        };
        let now = self.start + time;
        let choice = self.hosts[host].acquire(request, now, self.random.random());
        let choice = choice.expect("an online request always gets an upstream");
        let name = choice.id.as_str();
        let found = self
            .upstreams
            .iter()
            .position(|upstream| upstream.name == name);
        let upstream = found.unwrap();
        self.result.choices.push((time, upstream));
        let run = self.runs.len();
        self.runs.push(ModelRun {
            host,
            key: choice.key,
            upstream,
            arrived,
            beside: choice.beside,
            may_repeat,
        });
        match self.upstreams[upstream].running < SLOTS {
            true => self.begin(run, time),
            false => self.upstreams[upstream].queue.push_back(run),
        }
    }

    fn begin(&mut self, run: usize, time: Duration) {
        let upstream = &mut self.upstreams[self.runs[run].upstream];
        upstream.running += 1;
        if upstream.is_failing(time) && self.random.random() {
            return self.at(time + Duration::from_millis(8), ModelEvent::Failure(run));
        }
        let slowness = upstream.slowness(time);
        let millis = |ms: f64| Duration::from_secs_f64(ms / 1_000.0);
        let first = time + millis(LINK_MS + (READ_MS + STEP_MS) * slowness);
        self.at(first, ModelEvent::First(run));
        self.at(
            first + millis((EVENTS - 1.0) * STEP_MS * slowness),
            ModelEvent::End(run),
        );
    }

    fn note_first(&mut self, run: usize, time: Duration) {
        let ModelRun {
            host,
            key,
            arrived,
            beside,
            ..
        } = self.runs[run];
        let now = self.start + time;
        self.hosts[host].note_success(key, now);
        self.hosts[host].note_first_event(key, beside, time - arrived, now);
        self.result.firsts.push((arrived, time - arrived));
    }

    fn end(&mut self, run: usize, time: Duration) {
        let ModelRun {
            host,
            key,
            upstream,
            ..
        } = self.runs[run];
        self.hosts[host].release(key, WorkClass::Online);
        self.upstreams[upstream].running -= 1;
        if let Some(next) = self.upstreams[upstream].queue.pop_front() {
            self.begin(next, time);
        }
    }

    fn report(&mut self, host: usize, time: Duration) {
        let now = self.start + time;
        self.sequence += 1;
        let sequence = self.sequence;
        let neighbours = self.hosts[host].neighbours();
        let state = &mut self.hosts[host];
        state.expire_reports(now);
        let mut paces = state.take_pace_samples(neighbours.len(), now);
        if let Some((liar, samples)) = &self.liar
            && *liar == host
        {
            paces = samples.clone();
        }
        let report = HostLoadReport {
            loads: state.own_loads(now),
            flows: Vec::new(),
            paces,
            ..empty_report(&format!("host-{host}"), sequence)
        };
        let bytes = HostDatagram::Load(report).encode();
        for name in neighbours {
            let index: usize = name["host-".len()..].parse().unwrap();
            self.result.report_bytes += bytes.len();
            self.at(
                time + REPORT_DELAY,
                ModelEvent::Delivery(index, bytes.clone()),
            );
        }
        self.at(time + REPORT_INTERVAL, ModelEvent::Report(host));
    }
}

fn empty_report(host: &str, sequence: u64) -> HostLoadReport {
    HostLoadReport {
        host: host.to_owned(),
        incarnation: 1,
        sequence,
        is_leaving: false,
        loads: Vec::new(),
        leaving: Vec::new(),
        ended: Vec::new(),
        waiting: Vec::new(),
        convictions: 0,
        limits: Vec::new(),
        reach: None,
        flows: Vec::new(),
        paces: Vec::new(),
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn upstreams(count: usize) -> Vec<ModelUpstream> {
    (0..count).map(ModelUpstream::new).collect()
}

/// Numbers of hosts and upstreams that each load is played with.
const FLEETS: [(usize, usize); 3] = [(1, 9), (9, 12), (69, 89)];

#[tokio::test(start_paused = true)]
async fn test_pace_shares_by_speed() {
    for (hosts, count) in FLEETS {
        for (load, length) in [(4.5, 40.0), (25.0, 12.0)] {
            let fleet = || ModelFleet::new(hosts, upstreams(count), load * count as f64, 7);
            let (result, all) = fleet().play(seconds(length));
            let busiest = result.busiest(&all, seconds(2.0), seconds(length));
            let (before, all) = fleet().without_pace().play(seconds(length));
            let busiest_before = before.busiest(&all, seconds(2.0), seconds(length));
            println!(
                "{hosts} hosts, {load}/s: busiest {busiest:.2} (slots only {busiest_before:.2}), p95 {:?} ({:?}), \
                 report bytes/s/host {:.0} ({:.0})",
                result.p95_first(seconds(2.0)),
                before.p95_first(seconds(2.0)),
                result.report_bytes as f64 / length / hosts as f64,
                before.report_bytes as f64 / length / hosts as f64,
            );
            assert!(busiest <= 1.2, "{hosts} hosts, {load}/s: {busiest}");
            assert!(result.p95_first(seconds(2.0)) <= before.p95_first(seconds(2.0)));
        }
    }
}

#[tokio::test(start_paused = true)]
async fn test_pace_stumbling_upstreams() {
    for (hosts, count) in FLEETS {
        for load in [4.5, 25.0] {
            let stumbling = || {
                let mut all = upstreams(count);
                all.iter_mut().for_each(|upstream| upstream.stumbles = true);
                all
            };
            let fleet = || ModelFleet::new(hosts, stumbling(), load * count as f64, 11);
            let (result, _) = fleet().play(seconds(20.0));
            let (before, _) = fleet().without_pace().play(seconds(20.0));
            let (p95, p95_before) = (
                result.p95_first(seconds(2.0)),
                before.p95_first(seconds(2.0)),
            );
            println!("{hosts} hosts, {load}/s: p95 {p95:?}, slots only {p95_before:?}");
            assert!(p95 < p95_before, "{hosts} hosts, {load}/s");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn test_pace_slow_when_full() {
    for (hosts, count) in FLEETS {
        let fleet = || {
            let mut all = upstreams(count);
            for upstream in all.iter_mut().step_by(3) {
                (upstream.speed, upstream.knee) = (1.0, Some(3));
            }
            ModelFleet::new(hosts, all, 30.0 * count as f64, 13)
        };
        let (result, all) = fleet().play(seconds(15.0));
        let (before, _) = fleet().without_pace().play(seconds(15.0));
        let (p95, p95_before) = (
            result.p95_first(seconds(2.0)),
            before.p95_first(seconds(2.0)),
        );
        // No oscillation: the early ones get as much in each second, within the noise of their counts.
        let early: Vec<usize> = (3..15)
            .map(|second| {
                let (from, to) = (seconds(f64::from(second)), seconds(f64::from(second + 1)));
                let early = (0..all.len()).step_by(3);
                early.map(|index| result.count(index, from, to)).sum()
            })
            .collect();
        println!("{hosts} hosts: p95 {p95:?}, slots only {p95_before:?}, early a second {early:?}");
        assert!(p95 < p95_before, "{hosts} hosts");
        let mean = early.iter().sum::<usize>() as f64 / early.len() as f64;
        let noise = 4.0 * mean.sqrt();
        for count in early {
            assert!(
                (count as f64 - mean).abs() <= noise.max(0.25 * mean),
                "{hosts} hosts"
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn test_pace_half_failing() {
    for (hosts, count) in FLEETS {
        for load in [4.5, 25.0] {
            let (mut shares, mut returns, mut lost, mut lost_before) = (0.0, 0.0, 0, 0);
            for seed in 0..4 {
                let fleet = || {
                    let mut all = upstreams(count);
                    all[1].failing = Some((seconds(5.0), seconds(15.0)));
                    ModelFleet::new(hosts, all, load * count as f64, seed)
                };
                let (result, _) = fleet().play(seconds(22.0));
                // Share of what it had before, from 1 s after the begin, and from 2 s after the end.
                let rate = |from: f64, to: f64| {
                    result.count(1, seconds(from), seconds(to)) as f64 / (to - from)
                };
                shares += rate(6.0, 15.0) / rate(1.0, 5.0) / 4.0;
                returns += rate(17.0, 22.0) / rate(1.0, 5.0) / 4.0;
                lost += result.failed_once;
                lost_before += fleet().without_pace().play(seconds(22.0)).0.failed_once;
            }
            println!(
                "{hosts} hosts, {load}/s: share while failing {shares:.3}, after {returns:.2}, lost {lost} \
                 (slots only {lost_before})"
            );
            assert!(shares < 0.1, "{hosts} hosts, {load}/s: {shares}");
            assert!(returns > 0.7, "{hosts} hosts, {load}/s: {returns}");
            assert!(lost * 3 < lost_before, "{hosts} hosts, {load}/s: {lost}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn test_pace_all_failing() {
    // Where all upstreams fail, requests still go to all of them, once in 2 s at least.
    let mut all = upstreams(12);
    for upstream in &mut all {
        upstream.failing = Some((Duration::ZERO, seconds(10.0)));
    }
    let (result, _) = ModelFleet::new(9, all, 120.0, 17).play(seconds(10.0));
    for index in 0..12 {
        assert!(
            result.count(index, seconds(2.0), seconds(10.0)) >= 4,
            "{index}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn test_pace_restarted_upstream() {
    for (hosts, count) in FLEETS {
        let mut fleet = ModelFleet::new(hosts, upstreams(count), 25.0 * count as f64, 19);
        // The slowest one is as quick as the others after its restart.
        fleet.restart = Some((seconds(8.0), 0, 1.6));
        let (result, _) = fleet.play(seconds(20.0));
        let share = |index, from, to| result.count(index, seconds(from), seconds(to)) as f64;
        let quick = |from, to| share(2, from, to).max(1.0);
        let (before, after) = (
            share(0, 2.0, 8.0) / quick(2.0, 8.0),
            share(0, 10.0, 20.0) / quick(10.0, 20.0),
        );
        println!("{hosts} hosts: share of a quick one {before:.2} before, {after:.2} after");
        assert!(
            before < 0.65 && after > 0.8,
            "{hosts} hosts: {before}, {after}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn test_pace_lying_host() {
    for (lie, least) in [(None, 0.4), (Some(100_000), 0.4)] {
        let victim = UpstreamIncarnation(upstream_tag(&UpstreamId::new("upstream-1")), 1);
        let lies = vec![PaceSample(process_tag(victim), 1, lie); 4];
        let mut fleet = ModelFleet::new(9, upstreams(12), 12.0 * 25.0, 23);
        fleet.liar = Some((3, lies));
        let (result, _) = fleet.play(seconds(15.0));
        let count = |index| result.count(index, seconds(2.0), seconds(15.0)) as f64;
        // The fourth upstream is as quick.
        let share = count(1) / count(4);
        println!("lie {lie:?}: share {share:.2}");
        assert!(share > least, "lie {lie:?}: {share}");
    }
}

#[tokio::test(start_paused = true)]
async fn test_pace_agrees_over_hosts() {
    // The hosts hold the same opinion of each upstream within 2 s, though each sends it little.
    let mut fleet = ModelFleet::new(9, upstreams(12), 12.0 * 10.0, 29);
    fleet.single_share = 0.0;
    let start = fleet.start;
    fleet.run(seconds(2.0));
    let states = fleet.hosts;
    for index in 0..12 {
        let id = UpstreamId::new(format!("upstream-{index}"));
        let now = start + seconds(2.0);
        let paces: Vec<f64> = states
            .iter()
            .map(|state| state.pace_of(&id, now).unwrap())
            .collect();
        let (least, most) = paces.iter().fold((f64::MAX, 0f64), |(least, most), pace| {
            (least.min(*pace), most.max(*pace))
        });
        println!(
            "upstream-{index} {}: {least:.2} to {most:.2}",
            SPEEDS[index % 3]
        );
        assert!(most / least < 1.5, "upstream-{index}: {paces:?}");
    }
}

#[test]
fn test_pace_report_without_samples() {
    // A report without samples has the bytes that earlier releases send and read.
    let report = HostDatagram::Load(empty_report("host-a", 1));
    let bytes = report.encode();
    assert!(!bytes.windows(2).any(|pair| pair == b"ap"));
    assert_eq!(HostDatagram::decode(&bytes), Some(report));
    let told = HostLoadReport {
        paces: vec![PaceSample(7, 3, Some(251)), PaceSample(9, 0, None)],
        ..empty_report("host-a", 2)
    };
    let told = HostDatagram::Load(told);
    let more = told.encode();
    assert_eq!(HostDatagram::decode(&more), Some(told));
    assert!(
        more.len() - bytes.len() <= 20,
        "{}",
        more.len() - bytes.len()
    );
}
