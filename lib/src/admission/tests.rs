//! Tests of the admission decisions.

mod oracle;

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::admission::book::EngineCandidate;
use crate::admission::book::LoadTable;
use crate::admission::gate::EngineScheduler;
use crate::admission::gate::ScheduleRequest;
use crate::admission::gate::SchedulerAction;
use crate::admission::gate::TICKET_TTL;
use crate::admission::gate::TicketKey;
use crate::admission::keeper::SchedulerRegistry;
use crate::admission::limit::ConcurrencyLimit;
use crate::admission::message::AdmissionReply;
use crate::admission::message::LoadSnapshot;
use crate::admission::message::TicketDenial;
use crate::admission::message::TicketId;
use crate::admission::message::TicketMeasure;
use crate::admission::message::TicketOutcome;
use crate::admission::message::TicketRequest;
use crate::admission::prefixes::PrefixIndex;
use crate::admission::tests::oracle::NaiveScheduler;
use crate::counters::CounterSet;
use crate::edges::engine::CacheEvent;
use crate::edges::engine::CacheEvents;
use crate::edges::engine::EngineLoadReport;
use crate::ids::HostId;
use crate::ids::UpstreamId;
use crate::ids::WorkClass;
use crate::ids::WorkspaceName;

const MINUTE: Duration = Duration::from_secs(60);

fn key(ticket: u64) -> TicketKey {
    TicketKey {
        holder: HostId::new("a"),
        ticket: TicketId(ticket),
    }
}

fn ask(ticket: u64, class: WorkClass, workspace: &str, now: Instant) -> ScheduleRequest {
    ScheduleRequest {
        alone: false,
        behind_alone: false,
        key: key(ticket),
        workspace: WorkspaceName::new(workspace),
        class,
        tokens: 100,
        deadline: now + MINUTE,
        patience: now + MINUTE,
    }
}

fn granted(actions: &[SchedulerAction]) -> Vec<u64> {
    let grants = actions.iter().filter_map(|action| match action {
        SchedulerAction::Grant(key) => Some(key.ticket.0),
        _ => None,
    });
    grants.collect()
}

fn yielding(actions: &[SchedulerAction]) -> Vec<u64> {
    let yields = actions.iter().filter_map(|action| match action {
        SchedulerAction::Yield(key) => Some(key.ticket.0),
        _ => None,
    });
    yields.collect()
}

fn abandoned() -> TicketMeasure {
    TicketMeasure::new(TicketOutcome::Abandoned)
}

/// A gate with batch work in each place that batch work may take, and the number of these places.
fn gate_full_of_batch(now: Instant) -> (EngineScheduler, u64) {
    let mut gate = EngineScheduler::new(now);
    let is_granted = |ticket: &u64| {
        let actions = gate.offer(ask(*ticket, WorkClass::Batch, "b", now), now);
        !granted(&actions).is_empty()
    };
    let places = (1000..2000).take_while(is_granted).count() as u64;
    (gate, places)
}

#[tokio::test(start_paused = true)]
async fn test_gate_keeps_a_reserve_for_online() {
    let now = Instant::now();
    let (mut gate, places) = gate_full_of_batch(now);
    let free = u64::from(gate.limit()) - places;
    assert!(free >= 1);
    for ticket in 0..free {
        let actions = gate.offer(ask(ticket, WorkClass::Online, "w", now), now);
        assert_eq!(actions, [SchedulerAction::Grant(key(ticket))]);
    }
}

#[tokio::test(start_paused = true)]
async fn test_gate_batch_yields_to_a_burst_and_returns() {
    let now = Instant::now();
    let (mut gate, places) = gate_full_of_batch(now);
    let limit = u64::from(gate.limit());
    let mut yields = Vec::new();
    for ticket in 0..limit {
        let actions = gate.offer(ask(ticket, WorkClass::Online, "w", now), now);
        assert_eq!(granted(&actions), [ticket], "online work starts at once");
        yields.extend(yielding(&actions));
    }
    assert_eq!(yields.len() as u64, places, "all batch work yields");
    for ticket in &yields {
        let mut measure = abandoned();
        measure.outcome = TicketOutcome::Yielded;
        let actions = gate.release(&key(*ticket), measure, now);
        assert!(granted(&actions).is_empty(), "no batch work in the burst");
    }
    for ticket in 0..limit {
        let actions = gate.release(&key(ticket), abandoned(), now);
        assert!(
            granted(&actions).is_empty(),
            "batch work keeps its distance"
        );
    }
    let (_, actions) = gate.tick(now + Duration::from_millis(100), |_| true);
    assert!(
        !granted(&actions).is_empty(),
        "waiting batch work is back in 100 ms"
    );
}

#[tokio::test(start_paused = true)]
async fn test_gate_queue_is_long_while_waits_are_short() {
    let now = Instant::now();
    let mut gate = EngineScheduler::new(now);
    let limit = u64::from(gate.limit());
    // Pieces that hold their place for no time teach the gate that waits are short.
    for ticket in 0..100 {
        gate.offer(ask(ticket, WorkClass::Online, "w", now), now);
        let mut measure = abandoned();
        measure.outcome = TicketOutcome::Complete;
        gate.release(&key(ticket), measure, now);
    }
    let many = 100 * limit;
    for ticket in 1000..1000 + many {
        let actions = gate.offer(ask(ticket, WorkClass::Online, "w", now), now);
        assert!(!matches!(&actions[..], [SchedulerAction::Deny(..)]));
    }
    assert_eq!(gate.queued() as u64, many - limit);
}

#[tokio::test(start_paused = true)]
async fn test_gate_queued_online_goes_before_batch() {
    let now = Instant::now();
    let mut gate = EngineScheduler::new(now);
    let limit = u64::from(gate.limit());
    for ticket in 0..limit {
        gate.offer(ask(ticket, WorkClass::Online, "w", now), now);
    }
    assert_eq!(gate.offer(ask(500, WorkClass::Batch, "b", now), now), []);
    assert_eq!(gate.offer(ask(501, WorkClass::Online, "w", now), now), []);
    let actions = gate.release(&key(0), abandoned(), now);
    assert_eq!(actions, [SchedulerAction::Grant(key(501))]);
}

#[tokio::test(start_paused = true)]
async fn test_gate_refuses_early_what_would_be_late() {
    let now = Instant::now();
    let mut gate = EngineScheduler::new(now);
    let limit = u64::from(gate.limit());
    for ticket in 0..limit {
        gate.offer(ask(ticket, WorkClass::Online, "w", now), now);
    }
    let mut hurried = ask(500, WorkClass::Online, "w", now);
    hurried.deadline = now + Duration::from_millis(1);
    let actions = gate.offer(hurried, now);
    assert!(matches!(
        &actions[..],
        [SchedulerAction::Deny(_, TicketDenial::TooLate, retry_after)] if !retry_after.is_zero()
    ));
    let mut waiting = 0;
    let denial = loop {
        let actions = gate.offer(ask(600 + waiting, WorkClass::Online, "w", now), now);
        if let [SchedulerAction::Deny(_, denial, _)] = &actions[..] {
            break *denial;
        }
        waiting += 1;
    };
    assert!(matches!(
        denial,
        TicketDenial::QueueFull | TicketDenial::TooLate
    ));
    assert_eq!(u64::from(gate.digest().online_queued), waiting);
}

#[tokio::test(start_paused = true)]
async fn test_gate_denies_what_expires_in_the_queue() {
    let now = Instant::now();
    let mut gate = EngineScheduler::new(now);
    let limit = u64::from(gate.limit());
    for ticket in 0..limit {
        gate.offer(ask(ticket, WorkClass::Online, "w", now), now);
    }
    let mut patient = ask(500, WorkClass::Online, "w", now);
    patient.patience = now + Duration::from_secs(1);
    gate.offer(patient, now);
    let (_, actions) = gate.tick(now + Duration::from_millis(999), |_| true);
    assert_eq!(actions, []);
    let (_, actions) = gate.tick(now + Duration::from_secs(1), |_| true);
    let denied = TicketDenial::Expired;
    assert!(matches!(&actions[..], [SchedulerAction::Deny(_, denial, _)] if *denial == denied));
}

#[tokio::test(start_paused = true)]
async fn test_gate_serves_workspaces_in_turn() {
    let now = Instant::now();
    let mut gate = EngineScheduler::new(now);
    let limit = u64::from(gate.limit());
    for ticket in 0..limit {
        gate.offer(ask(ticket, WorkClass::Online, "w", now), now);
    }
    for ticket in 100..140 {
        gate.offer(ask(ticket, WorkClass::Online, "greedy", now), now);
    }
    for ticket in 200..205 {
        gate.offer(ask(ticket, WorkClass::Online, "modest", now), now);
    }
    let served: Vec<u64> = (0..limit)
        .flat_map(|ticket| granted(&gate.release(&key(ticket), abandoned(), now)))
        .collect();
    let modest = served.iter().filter(|ticket| **ticket >= 200).count();
    assert_eq!(modest, 5, "{served:?}");
}

#[tokio::test(start_paused = true)]
async fn test_gate_tickets_of_dead_holders_are_void() {
    let now = Instant::now();
    let mut gate = EngineScheduler::new(now);
    gate.offer(ask(1, WorkClass::Online, "w", now), now);
    let (expired, _) = gate.tick(now, |_| true);
    assert_eq!((expired, gate.digest().online), (0, 1));
    let (expired, _) = gate.tick(now, |_| false);
    assert_eq!((expired, gate.digest().online), (1, 0));
}

#[tokio::test(start_paused = true)]
async fn test_gate_tickets_need_renewal() {
    let now = Instant::now();
    let mut gate = EngineScheduler::new(now);
    gate.offer(ask(1, WorkClass::Online, "w", now), now);
    gate.offer(ask(2, WorkClass::Online, "w", now), now);
    let later = now + TICKET_TTL / 2;
    gate.renew(
        &HostId::new("a"),
        &[(TicketId(1), WorkClass::Online)],
        later,
    );
    let (expired, _) = gate.tick(now + TICKET_TTL, |_| true);
    assert_eq!(expired, 1);
    assert!(gate.is_running(&key(1)));
    assert!(!gate.is_running(&key(2)));
}

#[tokio::test(start_paused = true)]
async fn test_gate_learns_running_tickets_from_renewals() {
    let now = Instant::now();
    let mut gate = EngineScheduler::new(now);
    let limit = gate.limit();
    let held: Vec<(TicketId, WorkClass)> = (0..limit)
        .map(|ticket| (TicketId(u64::from(ticket)), WorkClass::Online))
        .collect();
    gate.renew(&HostId::new("a"), &held, now);
    assert_eq!(gate.digest().online, limit);
    let actions = gate.offer(ask(500, WorkClass::Online, "w", now), now);
    assert_eq!(actions, [], "the taken-over gate is full");
}

#[tokio::test(start_paused = true)]
async fn test_gate_late_renewal_does_not_revive_a_ticket() {
    let now = Instant::now();
    let mut gate = EngineScheduler::new(now);
    gate.offer(ask(1, WorkClass::Online, "w", now), now);
    gate.release(&key(1), abandoned(), now);
    gate.renew(&HostId::new("a"), &[(TicketId(1), WorkClass::Online)], now);
    assert_eq!(gate.digest().online, 0);
}

#[tokio::test(start_paused = true)]
async fn test_gate_renewal_repeats_a_lost_order_to_yield() {
    let now = Instant::now();
    let (mut gate, _) = gate_full_of_batch(now);
    let mut orders = Vec::new();
    for ticket in 0..u64::from(gate.limit()) {
        orders.extend(yielding(
            &gate.offer(ask(ticket, WorkClass::Online, "w", now), now),
        ));
    }
    let held: Vec<(TicketId, WorkClass)> = orders
        .iter()
        .map(|ticket| (TicketId(*ticket), WorkClass::Batch))
        .collect();
    let (repeated, _) = gate.renew(&HostId::new("a"), &held, now);
    assert_eq!(repeated.len(), orders.len());
}

#[tokio::test(start_paused = true)]
async fn test_gate_closes_for_a_leaving_engine() {
    let now = Instant::now();
    let mut gate = EngineScheduler::new(now);
    for ticket in 0..u64::from(gate.limit()) + 3 {
        gate.offer(ask(ticket, WorkClass::Online, "w", now), now);
    }
    let actions = gate.close();
    assert_eq!(actions.len(), 3);
    assert_eq!(gate.queued(), 0);
}

fn report(running: u32, waiting: u32) -> EngineLoadReport {
    EngineLoadReport {
        running,
        waiting,
        ..EngineLoadReport::default()
    }
}

#[tokio::test(start_paused = true)]
async fn test_limit_falls_to_what_the_engine_runs() {
    let now = Instant::now();
    let mut gate = EngineScheduler::new(now);
    let limit = gate.limit();
    assert!(limit > 8);
    for ticket in 0..u64::from(limit) {
        gate.offer(ask(ticket, WorkClass::Online, "w", now), now);
    }
    for running in [6, 5, 6, 4, 6] {
        gate.note_report(&report(running, limit - running), now);
    }
    assert_eq!(gate.limit(), 6);
}

#[tokio::test(start_paused = true)]
async fn test_limit_stays_when_requests_wait_for_the_next_step_only() {
    let now = Instant::now();
    let mut gate = EngineScheduler::new(now);
    let limit = gate.limit();
    for ticket in 0..5 {
        gate.offer(ask(ticket, WorkClass::Online, "w", now), now);
    }
    for _ in 0..20 {
        gate.note_report(&report(3, 2), now);
        gate.note_report(&report(5, 0), now);
        gate.note_report(&report(0, 5), now);
    }
    assert_eq!(gate.limit(), limit);
}

#[tokio::test(start_paused = true)]
async fn test_limit_grows_only_in_use() {
    let now = Instant::now();
    let mut limit = ConcurrencyLimit::new(now);
    let before = limit.get();
    let time = Duration::from_millis(5);
    for _ in 0..1000 {
        limit.note_sample(Some(time), Some(time), 1, now);
    }
    assert_eq!(limit.get(), before);
    for _ in 0..100 {
        limit.note_sample(Some(time), Some(time), limit.get(), now);
    }
    assert!(limit.get() > before);
}

#[tokio::test(start_paused = true)]
async fn test_limit_settles_where_tokens_take_twice_as_long() {
    let now = Instant::now();
    let mut limit = ConcurrencyLimit::new(now);
    // An engine whose step takes 40 ms and another 1 ms for each sequence.
    for _ in 0..20_000 {
        let running = limit.get();
        let step = Duration::from_millis(40 + u64::from(running));
        limit.note_sample(Some(step), Some(step), running, now);
    }
    // The least loaded sample had 16 sequences: 56 ms, so that 112 ms are accepted.
    assert!((65..=75).contains(&limit.get()), "limit {}", limit.get());
    // The engine becomes three times as slow.
    for _ in 0..20_000 {
        let running = limit.get();
        let step = Duration::from_millis(120 + 3 * u64::from(running));
        limit.note_sample(Some(step), Some(step), running, now);
    }
    assert!(limit.get() < 16, "limit {}", limit.get());
}

#[tokio::test(start_paused = true)]
async fn test_limit_stays_while_times_are_good_for_callers() {
    let now = Instant::now();
    let mut limit = ConcurrencyLimit::new(now);
    let before = limit.get();
    // The first sample is much better than the later ones, which are still far below the targets.
    let samples = [50, 900, 2500, 1200, 4000, 700, 3100];
    for micros in samples.into_iter().cycle().take(5000) {
        let time = Duration::from_micros(micros);
        limit.note_sample(Some(time * 3), Some(time), limit.get(), now);
        assert!(limit.get() >= before);
    }
    assert!(limit.get() > 2 * before);
}

#[tokio::test(start_paused = true)]
async fn test_gate_limit_grows_with_slow_first_tokens_of_batch() {
    let now = Instant::now();
    let (mut gate, places) = gate_full_of_batch(now);
    let before = gate.limit();
    let measure = TicketMeasure {
        first_token: Some(Duration::from_secs(3)),
        token_time: Some(Duration::from_millis(30)),
        outcome: TicketOutcome::Complete,
    };
    // Each piece that ends makes room for the next.
    for ticket in 1000..1000 + 20 * places {
        gate.release(&key(ticket), measure, now);
        gate.offer(ask(ticket + places, WorkClass::Batch, "b", now), now);
    }
    assert!(gate.limit() > before, "limit {}", gate.limit());
}

fn digest(limit: u32, online: u32, batch: u32) -> LoadSnapshot {
    LoadSnapshot {
        limit,
        online,
        batch,
        online_queued: 0,
        batch_queued: 0,
        hold: Duration::from_millis(500),
        token_time: Duration::from_millis(10),
    }
}

/// Chooses between engines with the given digests and numbers of blocks to prefill.
fn choose(class: WorkClass, engines: &[(LoadSnapshot, usize)]) -> usize {
    let now = Instant::now();
    let mut book = LoadTable::default();
    let mut candidates = Vec::new();
    for (number, (digest, new_blocks)) in engines.iter().enumerate() {
        let id = UpstreamId::new(format!("engine-{number}"));
        book.note(&id, *digest, now);
        candidates.push(EngineCandidate {
            id,
            report: None,
            new_blocks: *new_blocks,
        });
    }
    book.choose(&candidates, class, now).unwrap()
}

#[tokio::test(start_paused = true)]
async fn test_book_online_prefers_the_cached_prefix() {
    let engines = [(digest(32, 4, 0), 40), (digest(32, 6, 0), 2)];
    assert_eq!(choose(WorkClass::Online, &engines), 1);
}

#[tokio::test(start_paused = true)]
async fn test_book_online_never_queues_for_a_cached_prefix() {
    let engines = [(digest(32, 4, 0), 200), (digest(32, 60, 0), 0)];
    assert_eq!(choose(WorkClass::Online, &engines), 0);
}

#[tokio::test(start_paused = true)]
async fn test_book_spreads_a_burst_before_its_digests_arrive() {
    let now = Instant::now();
    let mut book = LoadTable::default();
    let candidates: Vec<EngineCandidate> = (0..4)
        .map(|number| EngineCandidate {
            id: UpstreamId::new(format!("engine-{number}")),
            report: None,
            new_blocks: 16,
        })
        .collect();
    for candidate in &candidates {
        book.note(&candidate.id, digest(32, 0, 0), now);
    }
    let mut counts = [0; 4];
    for _ in 0..24 {
        let chosen = book.choose(&candidates, WorkClass::Online, now).unwrap();
        book.note_ask(&candidates[chosen], WorkClass::Online, now);
        counts[chosen] += 1;
    }
    assert_eq!(counts, [6; 4]);
}

#[tokio::test(start_paused = true)]
async fn test_book_batch_goes_where_places_are_free() {
    let engines = [(digest(32, 4, 28), 0), (digest(32, 20, 2), 8)];
    assert_eq!(choose(WorkClass::Batch, &engines), 1);
}

#[test]
fn test_prefixes_of_a_longer_prompt() {
    let engine = UpstreamId::new("engine-0");
    let mut memory = PrefixIndex::default();
    memory.note_sent(&engine, &[1, 2, 3]);
    assert_eq!(memory.cached_blocks(&engine, &[1, 2, 3, 4, 5]), 3);
    assert_eq!(memory.cached_blocks(&engine, &[9, 8]), 0);
    assert_eq!(memory.cached_blocks(&UpstreamId::new("engine-1"), &[1]), 0);
}

#[test]
fn test_prefixes_follow_late_events() {
    let engine = UpstreamId::new("engine-0");
    let mut memory = PrefixIndex::default();
    let stored = [1, 2].map(|prefix| CacheEvent::Stored { prefix });
    let events = CacheEvents {
        first: 0,
        events: stored.into(),
    };
    memory.note_events(&engine, &events);
    assert_eq!(memory.cached_blocks(&engine, &[1, 2, 3]), 2);
    let events = CacheEvents {
        first: 2,
        events: vec![CacheEvent::Evicted { prefix: 2 }],
    };
    memory.note_events(&engine, &events);
    assert_eq!(memory.cached_blocks(&engine, &[1, 2, 3]), 1);
    assert_eq!(memory.next_event(&engine), 3);
}

#[test]
fn test_prefixes_before_a_gap_are_forgotten() {
    let engine = UpstreamId::new("engine-0");
    let mut memory = PrefixIndex::default();
    memory.note_sent(&engine, &[1, 2]);
    let events = CacheEvents {
        first: 7,
        events: vec![CacheEvent::Stored { prefix: 5 }],
    };
    memory.note_events(&engine, &events);
    assert_eq!(memory.cached_blocks(&engine, &[1, 2]), 0);
    assert_eq!(memory.cached_blocks(&engine, &[5]), 1);
}

#[test]
fn test_prefixes_are_bounded() {
    let engine = UpstreamId::new("engine-0");
    let mut memory = PrefixIndex::default();
    for prefix in 0..100_000 {
        memory.note_sent(&engine, &[prefix]);
    }
    assert_eq!(memory.cached_blocks(&engine, &[99_999]), 1);
    assert_eq!(memory.cached_blocks(&engine, &[0]), 0);
    assert!(memory.len_of(&engine) <= 8192);
}

/// What happens to a gate.
#[derive(Clone, Debug)]
enum GateStep {
    Offer {
        batch: bool,
        workspace: u8,
        tokens: u64,
        patience_ms: u64,
    },
    Release(usize),
    Pass(u64),
}

fn gate_step() -> impl Strategy<Value = GateStep> {
    let offer = (any::<bool>(), 0..3_u8, 1..2000_u64, 1..20_000_u64);
    prop_oneof![
        6 => offer.prop_map(|(batch, workspace, tokens, patience_ms)| GateStep::Offer {
            batch,
            workspace,
            tokens,
            patience_ms,
        }),
        4 => any::<usize>().prop_map(GateStep::Release),
        1 => (1..400_u64).prop_map(GateStep::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::with_cases(256)
    })]

    /// The gate decides as a version that recomputes everything from flat lists.
    #[test]
    fn test_gate_decides_as_the_naive_version(
        steps in proptest::collection::vec(gate_step(), 1..200),
    ) {
        let mut now = Instant::now();
        let mut gate = EngineScheduler::new(now);
        let mut naive = NaiveScheduler::new(gate.limit());
        let mut offered = 0;
        for step in steps {
            let (ours, theirs) = match step {
                GateStep::Offer { batch, workspace, tokens, patience_ms } => {
                    let class = if batch { WorkClass::Batch } else { WorkClass::Online };
                    let mut ask = ask(offered, class, &workspace.to_string(), now);
                    ask.tokens = tokens;
                    ask.patience = now + Duration::from_millis(patience_ms);
                    offered += 1;
                    (gate.offer(ask.clone(), now), naive.offer(ask, now))
                }
                GateStep::Release(choice) => {
                    let key = key(choice as u64 % (offered + 1));
                    (gate.release(&key, abandoned(), now), naive.release(&key, now))
                }
                GateStep::Pass(ms) => {
                    now += Duration::from_millis(ms);
                    let (_, actions) = gate.tick(now, |_| true);
                    (actions, naive.tick(now))
                }
            };
            prop_assert_eq!(oracle::kinds(&ours), oracle::kinds(&theirs));
            let digest = gate.digest();
            prop_assert!(digest.online <= digest.limit);
            prop_assert_eq!(digest.online, naive.count(WorkClass::Online));
            prop_assert_eq!(digest.batch, naive.count(WorkClass::Batch));
        }
    }
}

#[test]
fn test_gate_alone_waits_until_the_engine_is_empty() {
    let now = Instant::now();
    let mut gate = EngineScheduler::new(now);
    let online = ask(1, WorkClass::Online, "desk", now);
    let suspect = ScheduleRequest {
        alone: true,
        ..ask(2, WorkClass::Online, "desk", now)
    };
    let granted = vec![SchedulerAction::Grant(online.key.clone())];
    assert_eq!(gate.offer(online.clone(), now), granted);
    assert_eq!(gate.offer(suspect.clone(), now), Vec::new());
    let other = gate.offer(ask(3, WorkClass::Online, "desk", now), now);
    assert!(
        matches!(other[..], [SchedulerAction::Deny(..)]),
        "{other:?}"
    );
    let measure = TicketMeasure::new(TicketOutcome::Complete);
    let granted = vec![SchedulerAction::Grant(suspect.key.clone())];
    assert_eq!(gate.release(&online.key, measure, now), granted);
    let other = gate.offer(ask(4, WorkClass::Batch, "desk", now), now);
    assert!(
        matches!(other[..], [SchedulerAction::Deny(..)]),
        "{other:?}"
    );
    assert_eq!(gate.release(&suspect.key, measure, now), Vec::new());
    let last = ask(5, WorkClass::Online, "desk", now);
    let granted = vec![SchedulerAction::Grant(last.key.clone())];
    assert_eq!(gate.offer(last, now), granted);
}

/// A suspect that runs, and the gate that is kept for it and a second one.
fn gate_with_suspects(now: Instant) -> (EngineScheduler, Vec<ScheduleRequest>) {
    let mut gate = EngineScheduler::new(now);
    let suspects: Vec<ScheduleRequest> = (0..2)
        .map(|ticket| ScheduleRequest {
            alone: true,
            ..ask(ticket, WorkClass::Online, "desk", now)
        })
        .collect();
    for suspect in &suspects {
        gate.offer(suspect.clone(), now);
    }
    assert!(gate.is_running(&suspects[0].key));
    (gate, suspects)
}

#[test]
fn test_gate_online_without_another_engine_takes_turns_with_suspects() {
    let now = Instant::now();
    let (mut gate, suspects) = gate_with_suspects(now);
    let limit = u64::from(gate.limit());
    let waiting: Vec<ScheduleRequest> = (10..10 + limit + 1)
        .map(|ticket| ScheduleRequest {
            behind_alone: true,
            ..ask(ticket, WorkClass::Online, "desk", now)
        })
        .collect();
    for piece in &waiting {
        assert_eq!(gate.offer(piece.clone(), now), Vec::new());
    }
    // The engine runs as many as it has places for, then the second suspect, then the last one.
    let measure = TicketMeasure::new(TicketOutcome::Complete);
    let first: Vec<u64> = (10..10 + limit).collect();
    assert_eq!(
        granted(&gate.release(&suspects[0].key, measure, now)),
        first
    );
    for piece in &waiting[..first.len() - 1] {
        assert_eq!(gate.release(&piece.key, measure, now), Vec::new());
    }
    let actions = gate.release(&waiting[first.len() - 1].key, measure, now);
    assert_eq!(granted(&actions), [1], "the second suspect runs alone");
    let actions = gate.release(&suspects[1].key, measure, now);
    assert_eq!(granted(&actions), [10 + limit]);
}

#[test]
fn test_gate_withdrawn_turns_do_not_keep_a_suspect_waiting() {
    let now = Instant::now();
    let (mut gate, suspects) = gate_with_suspects(now);
    let piece = ScheduleRequest {
        behind_alone: true,
        ..ask(10, WorkClass::Online, "desk", now)
    };
    gate.offer(piece.clone(), now);
    gate.release(&piece.key, abandoned(), now);
    let actions = gate.release(&suspects[0].key, abandoned(), now);
    assert_eq!(granted(&actions), [1]);
}

#[test]
fn test_gate_reserved_denies_what_would_be_late() {
    let now = Instant::now();
    let (mut gate, _) = gate_with_suspects(now);
    let piece = ScheduleRequest {
        behind_alone: true,
        deadline: now + Duration::from_millis(100),
        ..ask(10, WorkClass::Online, "desk", now)
    };
    let actions = gate.offer(piece, now);
    let late = matches!(
        actions[..],
        [SchedulerAction::Deny(_, TicketDenial::TooLate, _)]
    );
    assert!(late, "{actions:?}");
}

#[tokio::test(start_paused = true)]
async fn test_keeper_denial_between_two_calls_is_not_lost() {
    let counters = Arc::new(CounterSet::default());
    let (yields, _orders) = mpsc::unbounded_channel();
    let keeper = SchedulerRegistry::new(yields, counters);
    let engine = UpstreamId::new("e");
    let holder = HostId::new("a");
    let ask = |ticket: u64, alone: bool| TicketRequest {
        ticket: TicketId(ticket),
        engine: engine.clone(),
        workspace: WorkspaceName::new("w"),
        class: WorkClass::Online,
        tokens: 100,
        alone,
        behind_alone: true,
        remaining: MINUTE,
        patience: MINUTE,
    };
    let first = keeper.admit(holder.clone(), &ask(1, true), 1);
    assert!(matches!(first, AdmissionReply::Granted(_)), "{first:?}");
    let second = keeper.admit(holder.clone(), &ask(2, false), 1);
    assert!(matches!(second, AdmissionReply::Queued(_)), "{second:?}");
    // The engine crashes before the holder asks again.
    keeper.tick(|_| true, |_| true);
    let round = Duration::from_millis(500);
    let answer = keeper.wait(holder, TicketId(2), &engine, round).await;
    let AdmissionReply::Denied { denial, .. } = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(denial, TicketDenial::NotServing);
}

#[test]
fn test_gate_behind_alone_waits_as_long_as_its_deadline_allows() {
    let mut now = Instant::now();
    let (mut gate, suspects) = gate_with_suspects(now);
    // Work holds its place for several seconds.
    now += MINUTE;
    let measure = TicketMeasure::new(TicketOutcome::Complete);
    gate.release(&suspects[0].key, measure, now);
    assert!(gate.is_running(&suspects[1].key));
    assert!(gate.digest().hold > Duration::from_secs(5));
    let piece = ScheduleRequest {
        behind_alone: true,
        ..ask(10, WorkClass::Online, "desk", now)
    };
    assert_eq!(gate.offer(piece, now), Vec::new(), "it waits");
}
