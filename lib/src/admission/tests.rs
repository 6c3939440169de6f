//! Tests of the scheduler, the concurrency limit, the choice of engines and the prefix index.

mod oracle;

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::admission::limit::ConcurrencyLimit;
use crate::admission::load_table::EngineCandidate;
use crate::admission::load_table::LoadTable;
use crate::admission::message::AdmissionReply;
use crate::admission::message::LoadSnapshot;
use crate::admission::message::TicketDenial;
use crate::admission::message::TicketId;
use crate::admission::message::TicketMeasure;
use crate::admission::message::TicketOutcome;
use crate::admission::message::TicketRequest;
use crate::admission::prefix_index::PrefixIndex;
use crate::admission::registry::SchedulerRegistry;
use crate::admission::scheduler::EngineScheduler;
use crate::admission::scheduler::ScheduleRequest;
use crate::admission::scheduler::SchedulerAction;
use crate::admission::scheduler::TICKET_TTL;
use crate::admission::scheduler::TicketKey;
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

fn schedule_request(
    ticket: u64,
    class: WorkClass,
    workspace: &str,
    now: Instant,
) -> ScheduleRequest {
    ScheduleRequest {
        alone: false,
        queue_if_reserved: false,
        key: key(ticket),
        workspace: WorkspaceName::new(workspace),
        class,
        tokens: 100,
        deadline: now + MINUTE,
        wait_deadline: now + MINUTE,
    }
}

fn granted(actions: &[SchedulerAction]) -> Vec<u64> {
    let grants = actions.iter().filter_map(|action| match action {
        SchedulerAction::Grant(key) => Some(key.ticket.0),
        _ => None,
    });
    grants.collect()
}

fn preempted(actions: &[SchedulerAction]) -> Vec<u64> {
    let yields = actions.iter().filter_map(|action| match action {
        SchedulerAction::Preempt(key) => Some(key.ticket.0),
        _ => None,
    });
    yields.collect()
}

fn abandoned() -> TicketMeasure {
    TicketMeasure::new(TicketOutcome::Abandoned)
}

/// Scheduler with a running batch request in each slot that batch requests may take, and the number
/// of these slots.
fn scheduler_full_of_batch(now: Instant) -> (EngineScheduler, u64) {
    let mut scheduler = EngineScheduler::new(now);
    let is_granted = |ticket: &u64| {
        let actions = scheduler.offer(schedule_request(*ticket, WorkClass::Batch, "b", now), now);
        !granted(&actions).is_empty()
    };
    let slots = (1000..2000).take_while(is_granted).count() as u64;
    (scheduler, slots)
}

#[tokio::test(start_paused = true)]
async fn test_scheduler_keeps_a_reserve_for_online() {
    let now = Instant::now();
    let (mut scheduler, slots) = scheduler_full_of_batch(now);
    let free = u64::from(scheduler.limit()) - slots;
    assert!(free >= 1);
    for ticket in 0..free {
        let actions = scheduler.offer(schedule_request(ticket, WorkClass::Online, "w", now), now);
        assert_eq!(actions, [SchedulerAction::Grant(key(ticket))]);
    }
}

#[tokio::test(start_paused = true)]
async fn test_scheduler_preempts_batch_in_a_burst_and_restarts_it() {
    let now = Instant::now();
    let (mut scheduler, slots) = scheduler_full_of_batch(now);
    let limit = u64::from(scheduler.limit());
    let mut yields = Vec::new();
    for ticket in 0..limit {
        let actions = scheduler.offer(schedule_request(ticket, WorkClass::Online, "w", now), now);
        assert_eq!(granted(&actions), [ticket], "online requests start at once");
        yields.extend(preempted(&actions));
    }
    assert_eq!(
        yields.len() as u64,
        slots,
        "all batch requests are preempted"
    );
    for ticket in &yields {
        let mut measure = abandoned();
        measure.outcome = TicketOutcome::Yielded;
        let actions = scheduler.release(&key(*ticket), measure, now);
        assert!(
            granted(&actions).is_empty(),
            "no batch request starts during the burst"
        );
    }
    for ticket in 0..limit {
        let actions = scheduler.release(&key(ticket), abandoned(), now);
        assert!(
            granted(&actions).is_empty(),
            "no batch request starts right after an online request"
        );
    }
    let (_, actions) = scheduler.tick(now + Duration::from_millis(100), |_| true);
    assert!(
        !granted(&actions).is_empty(),
        "queued batch requests start within 100 ms"
    );
}

#[tokio::test(start_paused = true)]
async fn test_scheduler_queue_is_long_while_waits_are_short() {
    let now = Instant::now();
    let mut scheduler = EngineScheduler::new(now);
    let limit = u64::from(scheduler.limit());
    // Requests that complete at once bring the mean run time, and so the estimated wait, near zero.
    for ticket in 0..100 {
        scheduler.offer(schedule_request(ticket, WorkClass::Online, "w", now), now);
        let mut measure = abandoned();
        measure.outcome = TicketOutcome::Complete;
        scheduler.release(&key(ticket), measure, now);
    }
    let many = 100 * limit;
    for ticket in 1000..1000 + many {
        let actions = scheduler.offer(schedule_request(ticket, WorkClass::Online, "w", now), now);
        assert!(!matches!(&actions[..], [SchedulerAction::Deny(..)]));
    }
    assert_eq!(scheduler.queued() as u64, many - limit);
}

#[tokio::test(start_paused = true)]
async fn test_scheduler_queued_online_goes_before_batch() {
    let now = Instant::now();
    let mut scheduler = EngineScheduler::new(now);
    let limit = u64::from(scheduler.limit());
    for ticket in 0..limit {
        scheduler.offer(schedule_request(ticket, WorkClass::Online, "w", now), now);
    }
    assert_eq!(
        scheduler.offer(schedule_request(500, WorkClass::Batch, "b", now), now),
        []
    );
    assert_eq!(
        scheduler.offer(schedule_request(501, WorkClass::Online, "w", now), now),
        []
    );
    let actions = scheduler.release(&key(0), abandoned(), now);
    assert_eq!(actions, [SchedulerAction::Grant(key(501))]);
}

#[tokio::test(start_paused = true)]
async fn test_scheduler_denies_requests_that_would_miss_their_deadline() {
    let now = Instant::now();
    let mut scheduler = EngineScheduler::new(now);
    let limit = u64::from(scheduler.limit());
    for ticket in 0..limit {
        scheduler.offer(schedule_request(ticket, WorkClass::Online, "w", now), now);
    }
    let mut hurried = schedule_request(500, WorkClass::Online, "w", now);
    hurried.deadline = now + Duration::from_millis(1);
    let actions = scheduler.offer(hurried, now);
    assert!(matches!(
        &actions[..],
        [SchedulerAction::Deny(_, TicketDenial::TooLate, retry_after)] if !retry_after.is_zero()
    ));
    let mut waiting = 0;
    let denial = loop {
        let actions = scheduler.offer(
            schedule_request(600 + waiting, WorkClass::Online, "w", now),
            now,
        );
        if let [SchedulerAction::Deny(_, denial, _)] = &actions[..] {
            break *denial;
        }
        waiting += 1;
    };
    assert!(matches!(
        denial,
        TicketDenial::QueueFull | TicketDenial::TooLate
    ));
    assert_eq!(u64::from(scheduler.snapshot().online_queued), waiting);
}

#[tokio::test(start_paused = true)]
async fn test_scheduler_denies_requests_that_expire_in_the_queue() {
    let now = Instant::now();
    let mut scheduler = EngineScheduler::new(now);
    let limit = u64::from(scheduler.limit());
    for ticket in 0..limit {
        scheduler.offer(schedule_request(ticket, WorkClass::Online, "w", now), now);
    }
    let mut patient = schedule_request(500, WorkClass::Online, "w", now);
    patient.wait_deadline = now + Duration::from_secs(1);
    scheduler.offer(patient, now);
    let (_, actions) = scheduler.tick(now + Duration::from_millis(999), |_| true);
    assert_eq!(actions, []);
    let (_, actions) = scheduler.tick(now + Duration::from_secs(1), |_| true);
    let denied = TicketDenial::Expired;
    assert!(matches!(&actions[..], [SchedulerAction::Deny(_, denial, _)] if *denial == denied));
}

#[tokio::test(start_paused = true)]
async fn test_scheduler_serves_workspaces_in_turn() {
    let now = Instant::now();
    let mut scheduler = EngineScheduler::new(now);
    let limit = u64::from(scheduler.limit());
    for ticket in 0..limit {
        scheduler.offer(schedule_request(ticket, WorkClass::Online, "w", now), now);
    }
    for ticket in 100..140 {
        scheduler.offer(
            schedule_request(ticket, WorkClass::Online, "greedy", now),
            now,
        );
    }
    for ticket in 200..205 {
        scheduler.offer(
            schedule_request(ticket, WorkClass::Online, "modest", now),
            now,
        );
    }
    let served: Vec<u64> = (0..limit)
        .flat_map(|ticket| granted(&scheduler.release(&key(ticket), abandoned(), now)))
        .collect();
    let modest = served.iter().filter(|ticket| **ticket >= 200).count();
    assert_eq!(modest, 5, "{served:?}");
}

#[tokio::test(start_paused = true)]
async fn test_scheduler_expires_tickets_of_dead_holders() {
    let now = Instant::now();
    let mut scheduler = EngineScheduler::new(now);
    scheduler.offer(schedule_request(1, WorkClass::Online, "w", now), now);
    let (expired, _) = scheduler.tick(now, |_| true);
    assert_eq!((expired, scheduler.snapshot().online), (0, 1));
    let (expired, _) = scheduler.tick(now, |_| false);
    assert_eq!((expired, scheduler.snapshot().online), (1, 0));
}

#[tokio::test(start_paused = true)]
async fn test_scheduler_tickets_need_renewal() {
    let now = Instant::now();
    let mut scheduler = EngineScheduler::new(now);
    scheduler.offer(schedule_request(1, WorkClass::Online, "w", now), now);
    scheduler.offer(schedule_request(2, WorkClass::Online, "w", now), now);
    let later = now + TICKET_TTL / 2;
    scheduler.renew(
        &HostId::new("a"),
        &[(TicketId(1), WorkClass::Online)],
        later,
    );
    let (expired, _) = scheduler.tick(now + TICKET_TTL, |_| true);
    assert_eq!(expired, 1);
    assert!(scheduler.is_running(&key(1)));
    assert!(!scheduler.is_running(&key(2)));
}

#[tokio::test(start_paused = true)]
async fn test_scheduler_learns_running_tickets_from_renewals() {
    let now = Instant::now();
    let mut scheduler = EngineScheduler::new(now);
    let limit = scheduler.limit();
    let held: Vec<(TicketId, WorkClass)> = (0..limit)
        .map(|ticket| (TicketId(u64::from(ticket)), WorkClass::Online))
        .collect();
    scheduler.renew(&HostId::new("a"), &held, now);
    assert_eq!(scheduler.snapshot().online, limit);
    let actions = scheduler.offer(schedule_request(500, WorkClass::Online, "w", now), now);
    assert_eq!(
        actions,
        [],
        "the tickets that were taken over fill the engine"
    );
}

#[tokio::test(start_paused = true)]
async fn test_scheduler_late_renewal_does_not_revive_a_ticket() {
    let now = Instant::now();
    let mut scheduler = EngineScheduler::new(now);
    scheduler.offer(schedule_request(1, WorkClass::Online, "w", now), now);
    scheduler.release(&key(1), abandoned(), now);
    scheduler.renew(&HostId::new("a"), &[(TicketId(1), WorkClass::Online)], now);
    assert_eq!(scheduler.snapshot().online, 0);
}

#[tokio::test(start_paused = true)]
async fn test_scheduler_renewal_repeats_a_lost_preemption_order() {
    let now = Instant::now();
    let (mut scheduler, _) = scheduler_full_of_batch(now);
    let mut orders = Vec::new();
    for ticket in 0..u64::from(scheduler.limit()) {
        orders.extend(preempted(
            &scheduler.offer(schedule_request(ticket, WorkClass::Online, "w", now), now),
        ));
    }
    let held: Vec<(TicketId, WorkClass)> = orders
        .iter()
        .map(|ticket| (TicketId(*ticket), WorkClass::Batch))
        .collect();
    let (repeated, _) = scheduler.renew(&HostId::new("a"), &held, now);
    assert_eq!(repeated.len(), orders.len());
}

#[tokio::test(start_paused = true)]
async fn test_scheduler_denies_queued_requests_of_a_leaving_engine() {
    let now = Instant::now();
    let mut scheduler = EngineScheduler::new(now);
    for ticket in 0..u64::from(scheduler.limit()) + 3 {
        scheduler.offer(schedule_request(ticket, WorkClass::Online, "w", now), now);
    }
    let actions = scheduler.deny_queued();
    assert_eq!(actions.len(), 3);
    assert_eq!(scheduler.queued(), 0);
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
    let mut scheduler = EngineScheduler::new(now);
    let limit = scheduler.limit();
    assert!(limit > 8);
    for ticket in 0..u64::from(limit) {
        scheduler.offer(schedule_request(ticket, WorkClass::Online, "w", now), now);
    }
    for running in [6, 5, 6, 4, 6] {
        scheduler.record_report(&report(running, limit - running), now);
    }
    assert_eq!(scheduler.limit(), 6);
}

#[tokio::test(start_paused = true)]
async fn test_limit_stays_when_requests_wait_for_the_next_step_only() {
    let now = Instant::now();
    let mut scheduler = EngineScheduler::new(now);
    let limit = scheduler.limit();
    for ticket in 0..5 {
        scheduler.offer(schedule_request(ticket, WorkClass::Online, "w", now), now);
    }
    for _ in 0..20 {
        scheduler.record_report(&report(3, 2), now);
        scheduler.record_report(&report(5, 0), now);
        scheduler.record_report(&report(0, 5), now);
    }
    assert_eq!(scheduler.limit(), limit);
}

#[tokio::test(start_paused = true)]
async fn test_limit_grows_only_in_use() {
    let now = Instant::now();
    let mut limit = ConcurrencyLimit::new(now);
    let before = limit.get();
    let time = Duration::from_millis(5);
    for _ in 0..1000 {
        limit.record_sample(Some(time), Some(time), 1, now);
    }
    assert_eq!(limit.get(), before);
    for _ in 0..100 {
        limit.record_sample(Some(time), Some(time), limit.get(), now);
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
        limit.record_sample(Some(step), Some(step), running, now);
    }
    // The lowest sample, with 16 sequences, is 56 ms, so that 112 ms are accepted: 72 sequences.
    assert!((65..=75).contains(&limit.get()), "limit {}", limit.get());
    // From here, each step takes three times as long.
    for _ in 0..20_000 {
        let running = limit.get();
        let step = Duration::from_millis(120 + 3 * u64::from(running));
        limit.record_sample(Some(step), Some(step), running, now);
    }
    assert!(limit.get() < 16, "limit {}", limit.get());
}

#[tokio::test(start_paused = true)]
async fn test_limit_stays_while_times_are_good_for_callers() {
    let now = Instant::now();
    let mut limit = ConcurrencyLimit::new(now);
    let before = limit.get();
    // The later samples are many times the first one, which sets the floor, but are still far below
    // the latency targets, so that the limit must not shrink.
    let samples = [50, 900, 2500, 1200, 4000, 700, 3100];
    for micros in samples.into_iter().cycle().take(5000) {
        let time = Duration::from_micros(micros);
        limit.record_sample(Some(time * 3), Some(time), limit.get(), now);
        assert!(limit.get() >= before);
    }
    assert!(limit.get() > 2 * before);
}

#[tokio::test(start_paused = true)]
async fn test_scheduler_limit_grows_with_slow_first_tokens_of_batch() {
    let now = Instant::now();
    let (mut scheduler, slots) = scheduler_full_of_batch(now);
    let before = scheduler.limit();
    let measure = TicketMeasure {
        first_token: Some(Duration::from_secs(3)),
        token_time: Some(Duration::from_millis(30)),
        outcome: TicketOutcome::Complete,
    };
    // Each request that ends frees a slot for the next one.
    for ticket in 1000..1000 + 20 * slots {
        scheduler.release(&key(ticket), measure, now);
        scheduler.offer(
            schedule_request(ticket + slots, WorkClass::Batch, "b", now),
            now,
        );
    }
    assert!(scheduler.limit() > before, "limit {}", scheduler.limit());
}

fn snapshot(limit: u32, online: u32, batch: u32) -> LoadSnapshot {
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
    let mut load_table = LoadTable::default();
    let mut candidates = Vec::new();
    for (number, (snapshot, new_blocks)) in engines.iter().enumerate() {
        let id = UpstreamId::new(format!("engine-{number}"));
        load_table.update(&id, *snapshot, now);
        candidates.push(EngineCandidate {
            id,
            report: None,
            new_blocks: *new_blocks,
        });
    }
    load_table.choose(&candidates, class, now).unwrap()
}

#[tokio::test(start_paused = true)]
async fn test_load_table_online_prefers_the_cached_prefix() {
    let engines = [(snapshot(32, 4, 0), 40), (snapshot(32, 6, 0), 2)];
    assert_eq!(choose(WorkClass::Online, &engines), 1);
}

#[tokio::test(start_paused = true)]
async fn test_load_table_online_never_queues_for_a_cached_prefix() {
    let engines = [(snapshot(32, 4, 0), 200), (snapshot(32, 60, 0), 0)];
    assert_eq!(choose(WorkClass::Online, &engines), 0);
}

#[tokio::test(start_paused = true)]
async fn test_load_table_spreads_a_burst_before_its_digests_arrive() {
    let now = Instant::now();
    let mut load_table = LoadTable::default();
    let candidates: Vec<EngineCandidate> = (0..4)
        .map(|number| EngineCandidate {
            id: UpstreamId::new(format!("engine-{number}")),
            report: None,
            new_blocks: 16,
        })
        .collect();
    for candidate in &candidates {
        load_table.update(&candidate.id, snapshot(32, 0, 0), now);
    }
    let mut counts = [0; 4];
    for _ in 0..24 {
        let chosen = load_table
            .choose(&candidates, WorkClass::Online, now)
            .unwrap();
        load_table.record_request(&candidates[chosen], WorkClass::Online, now);
        counts[chosen] += 1;
    }
    assert_eq!(counts, [6; 4]);
}

#[tokio::test(start_paused = true)]
async fn test_load_table_batch_goes_where_places_are_free() {
    let engines = [(snapshot(32, 4, 28), 0), (snapshot(32, 20, 2), 8)];
    assert_eq!(choose(WorkClass::Batch, &engines), 1);
}

#[test]
fn test_prefix_index_of_a_longer_prompt() {
    let engine = UpstreamId::new("engine-0");
    let mut index = PrefixIndex::default();
    index.record_prompt(&engine, &[1, 2, 3]);
    assert_eq!(index.cached_blocks(&engine, &[1, 2, 3, 4, 5]), 3);
    assert_eq!(index.cached_blocks(&engine, &[9, 8]), 0);
    assert_eq!(index.cached_blocks(&UpstreamId::new("engine-1"), &[1]), 0);
}

#[test]
fn test_prefix_index_follow_late_events() {
    let engine = UpstreamId::new("engine-0");
    let mut index = PrefixIndex::default();
    let stored = [1, 2].map(|prefix| CacheEvent::Stored { prefix });
    let events = CacheEvents {
        first: 0,
        events: stored.into(),
    };
    index.apply_events(&engine, &events);
    assert_eq!(index.cached_blocks(&engine, &[1, 2, 3]), 2);
    let events = CacheEvents {
        first: 2,
        events: vec![CacheEvent::Evicted { prefix: 2 }],
    };
    index.apply_events(&engine, &events);
    assert_eq!(index.cached_blocks(&engine, &[1, 2, 3]), 1);
    assert_eq!(index.next_event(&engine), 3);
}

#[test]
fn test_prefix_index_before_a_gap_are_forgotten() {
    let engine = UpstreamId::new("engine-0");
    let mut index = PrefixIndex::default();
    index.record_prompt(&engine, &[1, 2]);
    let events = CacheEvents {
        first: 7,
        events: vec![CacheEvent::Stored { prefix: 5 }],
    };
    index.apply_events(&engine, &events);
    assert_eq!(index.cached_blocks(&engine, &[1, 2]), 0);
    assert_eq!(index.cached_blocks(&engine, &[5]), 1);
}

#[test]
fn test_prefix_index_are_bounded() {
    let engine = UpstreamId::new("engine-0");
    let mut index = PrefixIndex::default();
    for prefix in 0..100_000 {
        index.record_prompt(&engine, &[prefix]);
    }
    assert_eq!(index.cached_blocks(&engine, &[99_999]), 1);
    assert_eq!(index.cached_blocks(&engine, &[0]), 0);
    assert!(index.len_of(&engine) <= 8192);
}

/// A random operation on a scheduler.
#[derive(Clone, Debug)]
enum SchedulerStep {
    Offer {
        batch: bool,
        workspace: u8,
        tokens: u64,
        max_wait_ms: u64,
    },
    Release(usize),
    Pass(u64),
}

fn scheduler_step() -> impl Strategy<Value = SchedulerStep> {
    let offer = (any::<bool>(), 0..3_u8, 1..2000_u64, 1..20_000_u64);
    prop_oneof![
        6 => offer.prop_map(|(batch, workspace, tokens, max_wait_ms)| SchedulerStep::Offer {
            batch,
            workspace,
            tokens,
            max_wait_ms,
        }),
        4 => any::<usize>().prop_map(SchedulerStep::Release),
        1 => (1..400_u64).prop_map(SchedulerStep::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::with_cases(256)
    })]

    /// The scheduler makes the same decisions as a naive one that recomputes everything from lists.
    #[test]
    fn test_scheduler_decides_as_the_naive_version(
        steps in proptest::collection::vec(scheduler_step(), 1..200),
    ) {
        let mut now = Instant::now();
        let mut scheduler = EngineScheduler::new(now);
        let mut naive = NaiveScheduler::new(scheduler.limit());
        let mut offered = 0;
        for step in steps {
            let (ours, theirs) = match step {
                SchedulerStep::Offer { batch, workspace, tokens, max_wait_ms } => {
                    let class = if batch { WorkClass::Batch } else { WorkClass::Online };
                    let mut request = schedule_request(offered, class, &workspace.to_string(), now);
                    request.tokens = tokens;
                    request.wait_deadline = now + Duration::from_millis(max_wait_ms);
                    offered += 1;
                    (scheduler.offer(request.clone(), now), naive.offer(request, now))
                }
                SchedulerStep::Release(choice) => {
                    let key = key(choice as u64 % (offered + 1));
                    (scheduler.release(&key, abandoned(), now), naive.release(&key, now))
                }
                SchedulerStep::Pass(ms) => {
                    now += Duration::from_millis(ms);
                    let (_, actions) = scheduler.tick(now, |_| true);
                    (actions, naive.tick(now))
                }
            };
            prop_assert_eq!(oracle::kinds(&ours), oracle::kinds(&theirs));
            let snapshot = scheduler.snapshot();
            prop_assert!(snapshot.online <= snapshot.limit);
            prop_assert_eq!(snapshot.online, naive.count(WorkClass::Online));
            prop_assert_eq!(snapshot.batch, naive.count(WorkClass::Batch));
        }
    }
}

#[test]
fn test_scheduler_runs_a_request_alone_once_the_engine_is_empty() {
    let now = Instant::now();
    let mut scheduler = EngineScheduler::new(now);
    let online = schedule_request(1, WorkClass::Online, "desk", now);
    let suspect = ScheduleRequest {
        alone: true,
        ..schedule_request(2, WorkClass::Online, "desk", now)
    };
    let granted = vec![SchedulerAction::Grant(online.key.clone())];
    assert_eq!(scheduler.offer(online.clone(), now), granted);
    assert_eq!(scheduler.offer(suspect.clone(), now), Vec::new());
    let other = scheduler.offer(schedule_request(3, WorkClass::Online, "desk", now), now);
    assert!(
        matches!(other[..], [SchedulerAction::Deny(..)]),
        "{other:?}"
    );
    let measure = TicketMeasure::new(TicketOutcome::Complete);
    let granted = vec![SchedulerAction::Grant(suspect.key.clone())];
    assert_eq!(scheduler.release(&online.key, measure, now), granted);
    let other = scheduler.offer(schedule_request(4, WorkClass::Batch, "desk", now), now);
    assert!(
        matches!(other[..], [SchedulerAction::Deny(..)]),
        "{other:?}"
    );
    assert_eq!(scheduler.release(&suspect.key, measure, now), Vec::new());
    let last = schedule_request(5, WorkClass::Online, "desk", now);
    let granted = vec![SchedulerAction::Grant(last.key.clone())];
    assert_eq!(scheduler.offer(last, now), granted);
}

/// Scheduler that is reserved for two suspects, that is, requests that must run alone because they
/// may crash their engine. The first one runs, the second one waits.
fn scheduler_with_suspects(now: Instant) -> (EngineScheduler, Vec<ScheduleRequest>) {
    let mut scheduler = EngineScheduler::new(now);
    let suspects: Vec<ScheduleRequest> = (0..2)
        .map(|ticket| ScheduleRequest {
            alone: true,
            ..schedule_request(ticket, WorkClass::Online, "desk", now)
        })
        .collect();
    for suspect in &suspects {
        scheduler.offer(suspect.clone(), now);
    }
    assert!(scheduler.is_running(&suspects[0].key));
    (scheduler, suspects)
}

#[test]
fn test_scheduler_online_without_another_engine_alternates_with_suspects() {
    let now = Instant::now();
    let (mut scheduler, suspects) = scheduler_with_suspects(now);
    let limit = u64::from(scheduler.limit());
    let waiting: Vec<ScheduleRequest> = (10..10 + limit + 1)
        .map(|ticket| ScheduleRequest {
            queue_if_reserved: true,
            ..schedule_request(ticket, WorkClass::Online, "desk", now)
        })
        .collect();
    for request in &waiting {
        assert_eq!(scheduler.offer(request.clone(), now), Vec::new());
    }
    // The engine runs as many online requests as its limit allows, then the second suspect, then
    // the last online request.
    let measure = TicketMeasure::new(TicketOutcome::Complete);
    let first: Vec<u64> = (10..10 + limit).collect();
    assert_eq!(
        granted(&scheduler.release(&suspects[0].key, measure, now)),
        first
    );
    for request in &waiting[..first.len() - 1] {
        assert_eq!(scheduler.release(&request.key, measure, now), Vec::new());
    }
    let actions = scheduler.release(&waiting[first.len() - 1].key, measure, now);
    assert_eq!(granted(&actions), [1], "the second suspect runs alone");
    let actions = scheduler.release(&suspects[1].key, measure, now);
    assert_eq!(granted(&actions), [10 + limit]);
}

#[test]
fn test_scheduler_withdrawn_request_does_not_delay_a_suspect() {
    let now = Instant::now();
    let (mut scheduler, suspects) = scheduler_with_suspects(now);
    let request = ScheduleRequest {
        queue_if_reserved: true,
        ..schedule_request(10, WorkClass::Online, "desk", now)
    };
    scheduler.offer(request.clone(), now);
    scheduler.release(&request.key, abandoned(), now);
    let actions = scheduler.release(&suspects[0].key, abandoned(), now);
    assert_eq!(granted(&actions), [1]);
}

#[test]
fn test_scheduler_reserved_denies_requests_that_would_miss_their_deadline() {
    let now = Instant::now();
    let (mut scheduler, _) = scheduler_with_suspects(now);
    let request = ScheduleRequest {
        queue_if_reserved: true,
        deadline: now + Duration::from_millis(100),
        ..schedule_request(10, WorkClass::Online, "desk", now)
    };
    let actions = scheduler.offer(request, now);
    let late = matches!(
        actions[..],
        [SchedulerAction::Deny(_, TicketDenial::TooLate, _)]
    );
    assert!(late, "{actions:?}");
}

#[tokio::test(start_paused = true)]
async fn test_registry_denial_between_two_await_calls_is_delivered() {
    let counters = Arc::new(CounterSet::default());
    let (yields, _orders) = mpsc::unbounded_channel();
    let registry = SchedulerRegistry::new(yields, counters);
    let engine = UpstreamId::new("e");
    let holder = HostId::new("a");
    let ticket_request = |ticket: u64, alone: bool| TicketRequest {
        ticket: TicketId(ticket),
        engine: engine.clone(),
        workspace: WorkspaceName::new("w"),
        class: WorkClass::Online,
        tokens: 100,
        alone,
        queue_if_reserved: true,
        remaining: MINUTE,
        max_wait: MINUTE,
    };
    let first = registry.admit(holder.clone(), &ticket_request(1, true), 1);
    assert!(matches!(first, AdmissionReply::Granted(_)), "{first:?}");
    let second = registry.admit(holder.clone(), &ticket_request(2, false), 1);
    assert!(matches!(second, AdmissionReply::Queued(_)), "{second:?}");
    // The engine crashes between two `Await` calls of the holder. Without a stored denial, the
    // second call would report `Expired`, and the request would be refused instead of tried
    // elsewhere.
    registry.tick(|_| true, |_| true);
    let timeout = Duration::from_millis(500);
    let answer = registry.wait(holder, TicketId(2), &engine, timeout).await;
    let AdmissionReply::Denied { denial, .. } = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(denial, TicketDenial::NotServing);
}

#[test]
fn test_scheduler_queue_if_reserved_waits_until_its_deadline() {
    let mut now = Instant::now();
    let (mut scheduler, suspects) = scheduler_with_suspects(now);
    // The mean run time rises to several seconds, so that the estimated wait exceeds the bound for
    // requests that could run on another engine.
    now += MINUTE;
    let measure = TicketMeasure::new(TicketOutcome::Complete);
    scheduler.release(&suspects[0].key, measure, now);
    assert!(scheduler.is_running(&suspects[1].key));
    assert!(scheduler.snapshot().hold > Duration::from_secs(5));
    let request = ScheduleRequest {
        queue_if_reserved: true,
        ..schedule_request(10, WorkClass::Online, "desk", now)
    };
    assert_eq!(
        scheduler.offer(request, now),
        Vec::new(),
        "the request is queued"
    );
}
