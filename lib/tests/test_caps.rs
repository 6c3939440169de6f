//! Caps of workspaces: the division among hosts and loans in a simulated fleet, and real hosts that
//! share a cap.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use parsleywall::caps::CapKey;
use parsleywall::caps::CapLedger;
use parsleywall::caps::DIVISION_FORMAT;
use parsleywall::caps::DIVISION_KEY;
use parsleywall::caps::DivisionHost;
use parsleywall::caps::DivisionRecord;
use parsleywall::caps::EpochReport;
use parsleywall::caps::LoanPart;
use parsleywall::caps::LoanSettlement;
use parsleywall::edges::kv::Expect;
use parsleywall::edges::kv::KvStore;
use parsleywall::host::EntryHost;
use parsleywall::http::client::HttpClient;
use parsleywall::ids::HostId;
use parsleywall::ids::WorkClass;
use parsleywall::ids::WorkspaceName;
use parsleywall::terms::Allowance;
use parsleywall_standins::edges::PlatformPlan;
use parsleywall_standins::edges::PlatformStandins;
use parsleywall_standins::fleet::host_settings;
use parsleywall_standins::fleet::start_host;
use parsleywall_standins::terms::MEMBER_KEY;
use parsleywall_standins::terms::demo_terms;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use serde_json::json;
use tokio::time::Instant;

const HOSTS: usize = 5;
const ALLOWANCE: Allowance = Allowance {
    tokens_per_second: 100.0,
    burst_tokens: 200.0,
};
const GRANT_TIMEOUT: Duration = Duration::from_millis(200);
const TOKEN_ROUNDING: f64 = 1e-3;

fn key() -> CapKey {
    CapKey {
        workspace: WorkspaceName::new("desk"),
        class: WorkClass::Online,
    }
}

fn host_id(number: usize) -> HostId {
    HostId::new(format!("host-{number}"))
}

fn peer_address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9000 + number as u16))
}

/// An undelivered message between simulated hosts, or a read of the simulated store.
#[derive(Clone, Debug)]
enum SimMessage {
    Pull {
        from: usize,
        to: usize,
        tokens: f64,
        asked: Instant,
    },
    Lent {
        to: usize,
        part: LoanPart,
        asked: Instant,
    },
    Granted {
        to: usize,
        parts: Vec<LoanPart>,
        granted: Instant,
    },
    Settle(LoanSettlement),
    Reports {
        to: usize,
        reports: Vec<EpochReport>,
        records: Vec<DivisionRecord>,
        started: Instant,
        epoch: u64,
    },
    Stored {
        to: usize,
        record: DivisionRecord,
        started: Instant,
    },
}

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Reserve {
        host: usize,
        tokens: f64,
    },
    Pull {
        broker: usize,
        lender: usize,
        tokens: f64,
    },
    Grant {
        broker: usize,
        to: usize,
        tokens: f64,
    },
    Settle {
        host: usize,
        choice: usize,
        used: f64,
    },
    Expire(usize),
    Deliver(usize),
    Lose(usize),
    ReadStored(usize),
    AskEpochs(usize),
    Revise {
        host: usize,
        members: u32,
    },
    Leave(usize),
    Crash(usize),
    Restart(usize),
    Partition(u32),
    /// Sets which hosts reach the key-value service, as a bit mask.
    SetStoreReach(u32),
    /// The host uses all tokens that it can get, with loans; settlements may lower the use later.
    UseAll(usize),
    SettleAll {
        host: usize,
        used: f64,
    },
    /// Each host tries to confirm its share, by the store and by its peers.
    ConfirmAll,
}

const ALL_HOSTS: u32 = (1 << HOSTS) - 1;

/// Tokens that a host used at one time; a settlement lowers them.
struct TokenUse {
    at: Instant,
    tokens: f64,
}

struct SimReservation {
    own: f64,
    borrowed: Vec<LoanPart>,
    number: usize,
}

struct SimHost {
    ledger: Option<CapLedger>,
    incarnation: u64,
    reservations: Vec<SimReservation>,
    stored_epoch: u64,
}

/// Hosts with real ledgers, on a simulated network and key-value service with injected faults.
struct SimFleet {
    now: Instant,
    hosts: Vec<SimHost>,
    stored: Option<DivisionRecord>,
    store_reach: u32,
    partition_sides: u32,
    messages: Vec<SimMessage>,
    uses: Vec<TokenUse>,
}

impl SimFleet {
    fn new() -> Self {
        let hosts = (0..HOSTS).map(|number| SimHost {
            ledger: Some(CapLedger::fleet_host(host_id(number), 1)),
            incarnation: 1,
            reservations: Vec::new(),
            stored_epoch: 0,
        });
        Self {
            hosts: hosts.collect(),
            now: Instant::now(),
            stored: None,
            store_reach: ALL_HOSTS,
            partition_sides: 0,
            messages: Vec::new(),
            uses: Vec::new(),
        }
    }

    fn number(id: &HostId) -> usize {
        let digits = id.as_str().trim_start_matches("host-");
        digits
            .parse()
            .expect("simulated host names end in a number")
    }

    fn linked(&self, one: usize, other: usize) -> bool {
        (self.partition_sides >> one) & 1 == (self.partition_sides >> other) & 1
    }

    fn reaches_store(&self, host: usize) -> bool {
        (self.store_reach >> host) & 1 == 1
    }

    fn note_use(&mut self, host: usize, own: f64, borrowed: Vec<LoanPart>) {
        let tokens = own + borrowed.iter().map(|part| part.tokens).sum::<f64>();
        self.uses.push(TokenUse {
            at: self.now,
            tokens,
        });
        self.hosts[host].reservations.push(SimReservation {
            own,
            borrowed,
            number: self.uses.len() - 1,
        });
    }

    fn run(&mut self, step: Step) {
        let now = self.now;
        match step {
            Step::Advance(millis) => self.now += Duration::from_millis(millis),
            Step::Reserve { host, tokens } => {
                let Some(ledger) = &mut self.hosts[host].ledger else {
                    return;
                };
                if ledger.reserve_all(&key(), ALLOWANCE, tokens, now) {
                    self.note_use(host, tokens, Vec::new());
                }
            }
            Step::Pull {
                broker,
                lender,
                tokens,
            } => self.messages.push(SimMessage::Pull {
                from: broker,
                to: lender,
                tokens,
                asked: now,
            }),
            Step::Grant { broker, to, tokens } => {
                let Some(ledger) = &mut self.hosts[broker].ledger else {
                    return;
                };
                if let Some(parts) = ledger.grant(&key(), tokens, now) {
                    self.messages.push(SimMessage::Granted {
                        to,
                        parts,
                        granted: now,
                    });
                }
            }
            Step::Settle { host, choice, used } => self.settle(host, choice, used),
            Step::Expire(host) => {
                if let Some(ledger) = &mut self.hosts[host].ledger {
                    let expired = ledger.take_expired(now);
                    self.messages
                        .extend(expired.into_iter().map(SimMessage::Settle));
                }
            }
            Step::Deliver(choice) if !self.messages.is_empty() => {
                let message = self.messages.remove(choice % self.messages.len());
                self.deliver(message);
            }
            Step::Lose(choice) if !self.messages.is_empty() => {
                self.messages.remove(choice % self.messages.len());
            }
            Step::Deliver(_) | Step::Lose(_) => {}
            Step::ReadStored(host) => {
                if let (true, Some(record)) = (self.reaches_store(host), &self.stored) {
                    self.messages.push(SimMessage::Stored {
                        to: host,
                        record: record.clone(),
                        started: now,
                    });
                }
            }
            Step::AskEpochs(host) => self.ask_epochs(host),
            Step::Revise { host, members } => self.revise(host, members),
            Step::Leave(host) => self.leave(host),
            Step::Crash(host) => {
                self.hosts[host].ledger = None;
                self.hosts[host].reservations.clear();
            }
            Step::Restart(host) => self.restart(host),
            Step::Partition(partition_sides) => self.partition_sides = partition_sides,
            Step::SetStoreReach(hosts) => self.store_reach = hosts,
            Step::UseAll(host) => {
                if self.hosts[host].ledger.is_some() {
                    self.use_all(host);
                }
            }
            Step::SettleAll { host, used } => {
                for _ in 0..self.hosts[host].reservations.len() {
                    self.run(Step::Settle {
                        host,
                        choice: 0,
                        used,
                    });
                }
            }
            Step::ConfirmAll => {
                for host in 0..HOSTS {
                    self.run(Step::ReadStored(host));
                    self.run(Step::AskEpochs(host));
                }
                self.deliver_all();
            }
        }
    }

    fn settle(&mut self, host: usize, choice: usize, used: f64) {
        let now = self.now;
        let sim = &mut self.hosts[host];
        let Some(ledger) = sim.ledger.as_mut().filter(|_| !sim.reservations.is_empty()) else {
            return;
        };
        let reservation = sim
            .reservations
            .swap_remove(choice % sim.reservations.len());
        let token_use = &mut self.uses[reservation.number];
        let mut unused = token_use.tokens * (1.0 - used);
        token_use.tokens -= unused;
        let own = unused.min(reservation.own);
        ledger.release(&key(), reservation.own, own, now);
        unused -= own;
        for part in reservation.borrowed {
            let returned = unused.min(part.tokens);
            unused -= returned;
            self.messages.push(SimMessage::Settle(LoanSettlement {
                key: key(),
                part,
                unused: returned,
            }));
        }
    }

    fn deliver(&mut self, message: SimMessage) {
        let now = self.now;
        match message {
            SimMessage::Pull {
                from,
                to,
                tokens,
                asked,
            } => {
                let linked = self.linked(from, to);
                let Some(ledger) = self.hosts[to].ledger.as_mut().filter(|_| linked) else {
                    return;
                };
                if let Some(part) = ledger.lend(&key(), ALLOWANCE, tokens, now) {
                    self.messages.push(SimMessage::Lent {
                        to: from,
                        part,
                        asked,
                    });
                }
            }
            SimMessage::Lent { to, part, asked } => {
                if let Some(ledger) = &mut self.hosts[to].ledger {
                    ledger.pool(&key(), part, asked);
                }
            }
            SimMessage::Granted { to, parts, granted } => {
                let alive = self.hosts[to].ledger.is_some();
                if alive && now - granted <= GRANT_TIMEOUT {
                    self.note_use(to, 0.0, parts);
                }
            }
            SimMessage::Settle(settlement) => {
                let lender = Self::number(&settlement.part.lender);
                if let Some(ledger) = &mut self.hosts[lender].ledger {
                    ledger.settle(&settlement, now);
                }
            }
            SimMessage::Reports {
                to,
                reports,
                records,
                started,
                epoch,
            } => {
                let Some(ledger) = &mut self.hosts[to].ledger else {
                    return;
                };
                for record in records {
                    ledger.learn(record, now);
                }
                if epoch_of(ledger) == epoch {
                    ledger.confirm_reports(&reports, started, now);
                }
            }
            SimMessage::Stored {
                to,
                record,
                started,
            } => {
                let sim = &mut self.hosts[to];
                if let Some(ledger) = &mut sim.ledger {
                    sim.stored_epoch = record.epoch;
                    ledger.confirm_stored(record, started, now);
                }
            }
        }
    }

    fn ask_epochs(&mut self, host: usize) {
        let Some(own) = &self.hosts[host].ledger else {
            return;
        };
        let epoch = epoch_of(own);
        let leases: Vec<_> = (0..HOSTS)
            .filter(|other| *other != host && self.linked(host, *other))
            .filter_map(|other| self.hosts[other].ledger.as_ref()?.lease())
            .collect();
        let reports = leases.iter().map(|lease| lease.report()).collect();
        let newer = leases
            .iter()
            .filter_map(|lease| lease.record())
            .filter(|record| record.epoch > epoch);
        let records = newer.cloned().collect();
        self.messages.push(SimMessage::Reports {
            to: host,
            reports,
            records,
            started: self.now,
            epoch,
        });
    }

    /// Replaces the stored division by compare-and-swap, if the host knows the newest epoch, no
    /// share of an earlier epoch is in use, and the host reaches the store.
    fn replace(&mut self, host: usize, members: Vec<DivisionHost>, handed_over: bool) {
        let sim = &self.hosts[host];
        let epoch = self.stored.as_ref().map_or(0, |record| record.epoch);
        let Some(ledger) = &sim.ledger else {
            return;
        };
        let settled = ledger.lease().is_some_and(|lease| {
            epoch == 0 || (epoch_of(ledger) == epoch && lease.has_retired_previous(self.now))
        });
        if !self.reaches_store(host) || !settled || sim.stored_epoch != epoch {
            return;
        }
        let previous = self.stored.iter().flat_map(|record| &record.hosts);
        self.stored = Some(DivisionRecord {
            format: DIVISION_FORMAT,
            epoch: epoch + 1,
            previous: previous.map(|host| host.id.clone()).collect(),
            hosts: members,
            handed_over,
        });
    }

    fn revise(&mut self, host: usize, members: u32) {
        let entries = (0..HOSTS)
            .filter(|number| (members >> number) & 1 == 1)
            .map(|number| self.division_host(number));
        self.replace(host, entries.collect(), false);
    }

    fn division_host(&self, number: usize) -> DivisionHost {
        DivisionHost {
            id: host_id(number),
            incarnation: self.hosts[number].incarnation,
            peer_address: peer_address(number),
            wrong_removals: 0,
        }
    }

    fn leave(&mut self, host: usize) {
        let now = self.now;
        if let Some(ledger) = &mut self.hosts[host].ledger {
            ledger.give_up(now);
        }
        let stays = |member: &&DivisionHost| member.id != host_id(host);
        let members = self.stored.iter().flat_map(|record| &record.hosts);
        let members: Vec<DivisionHost> = members.filter(stays).cloned().collect();
        let held = self.stored.as_ref().map_or(0, |record| record.hosts.len());
        if members.len() < held {
            self.replace(host, members, true);
        }
        self.run(Step::Crash(host));
    }

    fn restart(&mut self, host: usize) {
        let sim = &mut self.hosts[host];
        sim.incarnation += 1;
        sim.ledger = Some(CapLedger::fleet_host(host_id(host), sim.incarnation));
        sim.reservations.clear();
        sim.stored_epoch = 0;
    }

    fn usable(&self) -> f64 {
        let ledgers = self.hosts.iter().filter_map(|host| host.ledger.as_ref());
        ledgers.map(|ledger| ledger.usable_share(self.now)).sum()
    }

    /// Checks that the shares in use add up to at most one, and that the tokens used in each
    /// interval that ends now stay within the burst plus what accrued in it.
    fn check(&self) {
        let usable = self.usable();
        assert!(usable <= 1.0 + 1e-9, "hosts may use {usable} of the cap");
        let mut used = 0.0;
        for token_use in self.uses.iter().rev() {
            used += token_use.tokens;
            let time = (self.now - token_use.at).as_secs_f64();
            let bound = ALLOWANCE.burst_tokens + time * ALLOWANCE.tokens_per_second;
            assert!(
                used <= bound + TOKEN_ROUNDING,
                "{used} tokens in {time} s, allowed {bound}"
            );
        }
    }

    /// Advances time by `seconds`; all hosts confirm their shares every half second.
    fn run_confirmed(&mut self, seconds: u64) {
        for _ in 0..seconds * 2 {
            self.run(Step::ConfirmAll);
            self.run(Step::Advance(500));
            self.check();
        }
    }

    fn deliver_all(&mut self) {
        while !self.messages.is_empty() {
            self.run(Step::Deliver(0));
        }
    }

    /// Uses all tokens that `host` can get, with loans from all others; returns how many.
    fn use_all(&mut self, host: usize) -> f64 {
        let before = self.uses.len();
        let ledger = self.hosts[host].ledger.as_mut().expect("the host runs");
        let own = ledger.reserve_some(&key(), ALLOWANCE, ALLOWANCE.burst_tokens, self.now);
        self.note_use(host, own, Vec::new());
        for lender in (0..HOSTS).filter(|lender| *lender != host) {
            self.run(Step::Pull {
                broker: host,
                lender,
                tokens: ALLOWANCE.burst_tokens,
            });
        }
        self.deliver_all();
        let ledger = self.hosts[host].ledger.as_mut().expect("the host runs");
        let tokens = ledger.pooled_tokens(&key(), self.now);
        self.run(Step::Grant {
            broker: host,
            to: host,
            tokens,
        });
        self.deliver_all();
        self.check();
        self.uses[before..]
            .iter()
            .map(|token_use| token_use.tokens)
            .sum()
    }

    fn join_all(&mut self) {
        self.run(Step::Revise {
            host: 0,
            members: ALL_HOSTS,
        });
        self.run_confirmed(6);
    }
}

fn epoch_of(ledger: &CapLedger) -> u64 {
    let record = ledger.lease().and_then(|lease| lease.record());
    record.map_or(0, |record| record.epoch)
}

/// Generates steps in any order; the invariants are checked on the system under test alone.
struct StepGenerator;

impl ReferenceStateMachine for StepGenerator {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let host = 0..HOSTS;
        let tokens = 1.0..120.0;
        prop_oneof![
            8 => (10u64..1500).prop_map(Step::Advance),
            2 => (1500u64..6000).prop_map(Step::Advance),
            8 => (host.clone(), tokens.clone())
                .prop_map(|(host, tokens)| Step::Reserve { host, tokens }),
            8 => (host.clone(), host.clone(), tokens.clone())
                .prop_map(|(broker, lender, tokens)| Step::Pull { broker, lender, tokens }),
            8 => (host.clone(), host.clone(), tokens)
                .prop_map(|(broker, to, tokens)| Step::Grant { broker, to, tokens }),
            6 => (host.clone(), any::<usize>(), 0.0..=1.0)
                .prop_map(|(host, choice, used)| Step::Settle { host, choice, used }),
            2 => host.clone().prop_map(Step::Expire),
            30 => any::<usize>().prop_map(Step::Deliver),
            3 => any::<usize>().prop_map(Step::Lose),
            10 => host.clone().prop_map(Step::ReadStored),
            10 => host.clone().prop_map(Step::AskEpochs),
            6 => (host.clone(), 1u32..(1 << HOSTS))
                .prop_map(|(host, members)| Step::Revise { host, members }),
            1 => host.clone().prop_map(Step::Leave),
            1 => host.clone().prop_map(Step::Crash),
            2 => host.prop_map(Step::Restart),
            2 => (0..=ALL_HOSTS).prop_map(Step::Partition),
            2 => Just(Step::Partition(0)),
            2 => (0..=ALL_HOSTS).prop_map(Step::SetStoreReach),
            2 => Just(Step::SetStoreReach(ALL_HOSTS)),
            6 => (0..HOSTS).prop_map(Step::UseAll),
            8 => ((0..HOSTS), prop_oneof![Just(0.0), 0.0..=1.0])
                .prop_map(|(host, used)| Step::SettleAll { host, used }),
            16 => Just(Step::ConfirmAll),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct CapsTest;

impl StateMachineTest for CapsTest {
    type SystemUnderTest = SimFleet;
    type Reference = StepGenerator;

    fn init_test((): &()) -> SimFleet {
        let mut fleet = SimFleet::new();
        fleet.join_all();
        fleet
    }

    fn apply(mut fleet: SimFleet, (): &(), step: Step) -> SimFleet {
        fleet.run(step);
        fleet
    }

    fn check_invariants(fleet: &SimFleet, (): &()) {
        fleet.check();
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 256, failure_persistence: None, ..Config::default() })]
    #[test]
    fn test_caps_never_exceeded_under_faults(sequential 50..250 => CapsTest);
}

#[test]
fn test_caps_skew_uses_whole_cap() {
    let mut fleet = SimFleet::new();
    fleet.join_all();
    assert!((fleet.usable() - 1.0).abs() < 1e-9);
    fleet.use_all(3);
    let mut used = 0.0;
    for _ in 0..100 {
        fleet.run(Step::Advance(100));
        for host in 0..HOSTS {
            fleet.run(Step::ReadStored(host));
        }
        fleet.deliver_all();
        used += fleet.use_all(3);
        fleet.run(Step::SettleAll { host: 3, used: 1.0 });
        fleet.deliver_all();
    }
    let cap = 10.0 * ALLOWANCE.tokens_per_second;
    assert!(used >= 0.95 * cap, "{used} of {cap} tokens were usable");
}

#[test]
fn test_caps_own_share_survives_greedy_peer() {
    let mut fleet = SimFleet::new();
    fleet.join_all();
    let mut served = 0;
    for round in 0..50 {
        fleet.run(Step::Advance(200));
        fleet.run_confirmed(0);
        for host in 0..HOSTS {
            fleet.run(Step::ReadStored(host));
        }
        fleet.deliver_all();
        let greedy = round % 2;
        let before = fleet.uses.len();
        fleet.run(Step::Reserve {
            host: 4,
            tokens: 2.0,
        });
        served += fleet.uses.len() - before;
        fleet.use_all(greedy);
        for host in 0..HOSTS {
            fleet.run(Step::SettleAll { host, used: 1.0 });
        }
    }
    assert!(
        served >= 45,
        "the small host was served {served} of 50 times"
    );
}

#[test]
fn test_caps_store_outage_keeps_shares_of_majority() {
    let mut fleet = SimFleet::new();
    fleet.join_all();
    fleet.run(Step::SetStoreReach(0));
    fleet.run_confirmed(600);
    assert!((fleet.usable() - 1.0).abs() < 1e-9);
    fleet.run(Step::Partition(0b11));
    fleet.run_confirmed(6);
    assert!((fleet.usable() - 0.6).abs() < 1e-9, "{}", fleet.usable());
}

#[test]
fn test_caps_lost_host_share_is_redistributed() {
    let mut fleet = SimFleet::new();
    fleet.join_all();
    fleet.run(Step::Crash(2));
    assert!((fleet.usable() - 0.8).abs() < 1e-9);
    fleet.run(Step::Revise {
        host: 0,
        members: 0b11011,
    });
    fleet.run_confirmed(2);
    assert!(fleet.usable() < 0.81, "{}", fleet.usable());
    fleet.run_confirmed(4);
    assert!((fleet.usable() - 1.0).abs() < 1e-9, "{}", fleet.usable());
}

#[test]
fn test_caps_planned_stop_hands_over_at_once() {
    let mut fleet = SimFleet::new();
    fleet.join_all();
    fleet.run(Step::Leave(2));
    fleet.run_confirmed(2);
    assert!((fleet.usable() - 1.0).abs() < 1e-9, "{}", fleet.usable());
}

#[test]
fn test_caps_cut_off_host_stops_before_others_grow() {
    let mut fleet = SimFleet::new();
    fleet.join_all();
    fleet.run(Step::Revise {
        host: 0,
        members: 0b01111,
    });
    // Host 4 does not hear of the new division and still uses its share.
    let ledger = fleet.hosts[4].ledger.as_ref().unwrap();
    assert!(ledger.usable_share(fleet.now) > 0.0);
    for _ in 0..40 {
        for host in 0..4 {
            fleet.run(Step::ReadStored(host));
            fleet.run(Step::AskEpochs(host));
        }
        fleet
            .messages
            .retain(|message| !matches!(message, SimMessage::Stored { to: 4, .. }));
        fleet.deliver_all();
        fleet.run(Step::Advance(200));
        fleet.check();
    }
    assert!((fleet.usable() - 1.0).abs() < 1e-9, "{}", fleet.usable());
}

#[test]
fn test_caps_minority_does_not_grow_without_adoption() {
    let mut fleet = SimFleet::new();
    fleet.join_all();
    // Only host 0 reaches the store; the others confirm each other's shares of the old epoch.
    fleet.run(Step::SetStoreReach(0b00001));
    fleet.run(Step::Partition(0b00001));
    fleet.run(Step::Revise {
        host: 0,
        members: 0b00001,
    });
    fleet.run_confirmed(60);
    assert!((fleet.usable() - 1.0).abs() < 1e-9, "{}", fleet.usable());
    let part = fleet.hosts[0].ledger.as_ref().unwrap();
    assert!((part.usable_share(fleet.now) - 0.2).abs() < 1e-9);
}

#[test]
fn test_caps_open_reservations_count_against_burst() {
    let mut fleet = SimFleet::new();
    fleet.join_all();
    fleet.run_confirmed(10);
    fleet.use_all(0);
    // Tokens returned by open reservations must not raise the bucket above the burst, together with
    // those that accrued since.
    fleet.run_confirmed(10);
    fleet.run(Step::Reserve {
        host: 0,
        tokens: 39.0,
    });
    for choice in [0, 1] {
        fleet.run(Step::Settle {
            host: 0,
            choice,
            used: 0.0,
        });
    }
    fleet.deliver_all();
    for host in 0..HOSTS {
        fleet.use_all(host);
    }
    let used: f64 = fleet.uses.iter().map(|token_use| token_use.tokens).sum();
    assert!(used <= ALLOWANCE.burst_tokens + TOKEN_ROUNDING, "{used}");
}

#[test]
fn test_caps_loan_counts_until_settled() {
    let mut fleet = SimFleet::new();
    fleet.join_all();
    fleet.use_all(0);
    fleet.run_confirmed(30);
    // All loans have timed out by now, and the tokens that accrued since are limited to the burst.
    let used = fleet.use_all(1);
    assert!(used <= ALLOWANCE.burst_tokens + TOKEN_ROUNDING, "{used}");
    assert!(used >= 0.7 * ALLOWANCE.burst_tokens, "{used}");
}

/// Three real hosts on one simulated platform.
struct CapsFleet {
    platform: PlatformStandins,
    hosts: Vec<EntryHost>,
    client: HttpClient,
}

const FLEET_ALLOWANCE: Allowance = Allowance {
    tokens_per_second: 600.0,
    burst_tokens: 900.0,
};
const MAX_POLLS: u32 = 400;
const POLL: Duration = Duration::from_millis(50);

impl CapsFleet {
    async fn start() -> Self {
        let platform = PlatformStandins::start(&PlatformPlan::default())
            .await
            .unwrap();
        let mut terms = demo_terms();
        for template in terms.templates.values_mut() {
            template.online = FLEET_ALLOWANCE;
        }
        platform.accept_terms(terms).await.unwrap();
        let mut hosts = Vec::new();
        let mut seeds: Vec<SocketAddr> = Vec::new();
        for number in 0..3 {
            let raw = host_settings(&platform, number, "local", &seeds);
            let host = start_host(&raw).await.unwrap();
            seeds.push(host.peer_address());
            hosts.push(host);
        }
        Self {
            platform,
            hosts,
            client: HttpClient::new(),
        }
    }

    /// Sends a request that reserves about `tokens` and returns the response status.
    async fn send(&self, host: usize, tokens: u64) -> http::StatusCode {
        self.send_request(host, tokens).await.0
    }

    /// Sends a request that reserves about `tokens` and returns the response status and body.
    async fn send_request(&self, host: usize, tokens: u64) -> (http::StatusCode, Bytes) {
        let body = json!({ "model": "demo", "prompt": "deck", "max_tokens": tokens });
        let request = http::Request::builder()
            .method(http::Method::POST)
            .uri(format!(
                "http://{}/v1/completions",
                self.hosts[host].address()
            ))
            .header("authorization", format!("Bearer {MEMBER_KEY}"))
            .header("content-type", "application/json")
            .body(http_body_util::Full::new(bytes::Bytes::from(
                body.to_string(),
            )))
            .unwrap();
        let response = self.client.send(request).await.unwrap();
        let status = response.status();
        let body = response.into_body().collect().await.unwrap();
        (status, body.to_bytes())
    }

    /// Writes a division with one more host, which does not exist.
    async fn divide_with_silent_host(&self) {
        let value = self.platform.kv.value(DIVISION_KEY).unwrap();
        let mut record: DivisionRecord = serde_json::from_slice(&value).unwrap();
        record.epoch += 1;
        record.previous = record.hosts.iter().map(|host| host.id.clone()).collect();
        record.hosts.push(DivisionHost {
            id: HostId::new("silent"),
            incarnation: 1,
            peer_address: SocketAddr::from(([127, 0, 0, 1], 9)),
            wrong_removals: 0,
        });
        let value = serde_json::to_vec(&record).unwrap().into();
        let kv = &self.platform.kv;
        kv.put(DIVISION_KEY, value, Expect::Any, None)
            .await
            .unwrap();
    }

    async fn send_until_served(&self, host: usize, tokens: u64) -> bool {
        for _ in 0..MAX_POLLS {
            if self.send(host, tokens).await == http::StatusCode::OK {
                return true;
            }
            tokio::time::sleep(POLL).await;
        }
        false
    }

    async fn wait_for_division(&self, hosts: usize) {
        for _ in 0..MAX_POLLS {
            if self.stored_hosts() == hosts {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("the division has {} hosts", self.stored_hosts());
    }

    fn stored_hosts(&self) -> usize {
        let Some(value) = self.platform.kv.value(DIVISION_KEY) else {
            return 0;
        };
        let record: DivisionRecord = serde_json::from_slice(&value).unwrap();
        record.hosts.len()
    }
}

#[tokio::test]
async fn test_caps_fleet_lends_for_one_large_request() {
    let fleet = CapsFleet::start().await;
    fleet.wait_for_division(3).await;
    // The request is larger than any host's share of the burst.
    assert!(fleet.send_until_served(1, 700).await);
    assert!(fleet.send_until_served(2, 700).await);
    let run: u64 = fleet
        .platform
        .engines
        .iter()
        .flat_map(|engine| engine.executions())
        .map(|execution| execution.tokens)
        .sum();
    assert!(run >= 1400, "{run} tokens were generated");
}

#[tokio::test]
async fn test_caps_fleet_silent_lender_leaves_cap_unconfirmed() {
    let fleet = CapsFleet::start().await;
    fleet.wait_for_division(3).await;
    fleet.divide_with_silent_host().await;
    for _ in 0..MAX_POLLS {
        // More than the shares of the hosts that answer.
        let (status, body) = fleet.send_request(0, 850).await;
        let body: serde_json::Value = serde_json::from_slice(&body).unwrap();
        if body["error"]["code"] == "cap_unconfirmed" {
            assert_eq!(status, http::StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        tokio::time::sleep(POLL).await;
    }
    panic!("no request was refused as unconfirmed");
}

#[tokio::test]
async fn test_caps_fleet_request_above_burst_is_refused() {
    let fleet = CapsFleet::start().await;
    assert!(fleet.send_until_served(0, 10).await);
    let status = fleet.send(0, 1000).await;
    assert_eq!(status, http::StatusCode::TOO_MANY_REQUESTS);
}

#[tokio::test]
async fn test_caps_fleet_serves_during_store_outage() {
    let fleet = CapsFleet::start().await;
    fleet.wait_for_division(3).await;
    assert!(fleet.send_until_served(2, 100).await);
    fleet.platform.kv.faults.down.store(true, Ordering::Relaxed);
    // Outlasts the validity of the last read, so that only reports of peers confirm the shares.
    tokio::time::sleep(Duration::from_secs(5)).await;
    for host in 0..3 {
        assert!(fleet.send_until_served(host, 100).await);
    }
}
