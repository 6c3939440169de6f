//! Naive scheduler on flat lists, the oracle for the decisions of the real one.

use std::time::Duration;

use tokio::time::Instant;

use crate::admission::message::TicketDenial;
use crate::admission::message::TicketId;
use crate::admission::scheduler::ScheduleRequest;
use crate::admission::scheduler::SchedulerAction;
use crate::admission::scheduler::TICKET_TTL;
use crate::admission::scheduler::TicketKey;
use crate::ids::WorkClass;
use crate::ids::WorkspaceName;

/// Shortest time from the start of an online request to that of a batch request, and between the
/// starts of two batch requests beside online requests.
const BATCH_AFTER_ONLINE_MS: u64 = 40;
const BATCH_START_GAP_MS: u64 = 25;
const QUANTUM_TOKENS: u64 = 512;
const HOLD: Duration = Duration::from_millis(500);

struct Run {
    key: TicketKey,
    class: WorkClass,
    since: Instant,
    preempted: bool,
}

/// Workspaces of one class in the order of their turns, with their deficit counters.
type Turns = Vec<(WorkspaceName, u64)>;

/// Scheduler with a fixed limit that keeps all requests in order of arrival.
pub(super) struct NaiveScheduler {
    limit: u32,
    runs: Vec<Run>,
    waits: Vec<ScheduleRequest>,
    turns: [Turns; 2],
    /// Time of each grant by class, and whether online requests were running then.
    grants: [Vec<(Instant, bool)>; 2],
}

impl NaiveScheduler {
    pub(super) fn new(limit: u32) -> Self {
        Self {
            limit,
            runs: Vec::new(),
            waits: Vec::new(),
            turns: [Vec::new(), Vec::new()],
            grants: [Vec::new(), Vec::new()],
        }
    }

    pub(super) fn count(&self, class: WorkClass) -> u32 {
        self.runs.iter().filter(|run| run.class == class).count() as u32
    }

    pub(super) fn offer(&mut self, request: ScheduleRequest, now: Instant) -> Vec<SchedulerAction> {
        let waiting = self.waiting(request.class).count() as u32;
        let denial = match request.class {
            WorkClass::Batch if waiting >= self.limit => Some(TicketDenial::QueueFull),
            WorkClass::Online if waiting >= 8 * self.limit => Some(TicketDenial::QueueFull),
            WorkClass::Online => {
                let wait = HOLD * (waiting + 1) / self.limit;
                let full = waiting > 0 || self.count(WorkClass::Online) == self.limit;
                let late =
                    wait > Duration::from_secs(5) || now + (wait + HOLD) * 5 / 4 > request.deadline;
                (full && late).then_some(TicketDenial::TooLate)
            }
            WorkClass::Batch => None,
        };
        if let Some(denial) = denial {
            return vec![SchedulerAction::Deny(request.key, denial, Duration::ZERO)];
        }
        let turns = &mut self.turns[request.class as usize];
        if !turns.iter().any(|(known, _)| *known == request.workspace) {
            turns.push((request.workspace.clone(), 0));
        }
        self.waits.push(request);
        self.settle(now)
    }

    pub(super) fn release(&mut self, key: &TicketKey, now: Instant) -> Vec<SchedulerAction> {
        self.runs.retain(|run| run.key != *key);
        self.waits.retain(|request| request.key != *key);
        self.settle(now)
    }

    pub(super) fn tick(&mut self, now: Instant) -> Vec<SchedulerAction> {
        let expired =
            |request: &ScheduleRequest| request.wait_deadline.min(request.deadline) <= now;
        let denied = self.waits.iter().filter(|request| expired(request));
        let mut actions: Vec<SchedulerAction> = denied
            .map(|request| {
                SchedulerAction::Deny(request.key.clone(), TicketDenial::Expired, Duration::ZERO)
            })
            .collect();
        self.waits.retain(|request| !expired(request));
        self.runs
            .retain(|run| now.duration_since(run.since) < TICKET_TTL);
        actions.extend(self.settle(now));
        actions
    }

    fn waiting(&self, class: WorkClass) -> impl Iterator<Item = &ScheduleRequest> {
        self.waits
            .iter()
            .filter(move |request| request.class == class)
    }

    fn settle(&mut self, now: Instant) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        self.forget_empty_turns();
        while self.count(WorkClass::Online) < self.limit {
            let Some(key) = self.next(WorkClass::Online, now) else {
                break;
            };
            actions.push(SchedulerAction::Grant(key));
        }
        let beside = match self.waiting(WorkClass::Online).next() {
            Some(_) => 0,
            None => self.limit - self.count(WorkClass::Online),
        };
        while self.active_batch() > beside as usize {
            let newest = self
                .runs
                .iter_mut()
                .filter(|run| run.class == WorkClass::Batch && !run.preempted)
                .max_by_key(|run| (run.since, std::cmp::Reverse(run.key.ticket)))
                .expect("active batch request");
            newest.preempted = true;
            actions.push(SchedulerAction::Preempt(newest.key.clone()));
        }
        let reserve = (self.limit / 32).max(1).min(self.limit - 1);
        while self.may_start_batch(now) && self.count(WorkClass::Batch) + reserve < beside {
            let Some(key) = self.next(WorkClass::Batch, now) else {
                break;
            };
            actions.push(SchedulerAction::Grant(key));
        }
        actions
    }

    /// Whether all online grants, and all batch grants beside online requests, are old enough.
    fn may_start_batch(&self, now: Instant) -> bool {
        let [online, batch] = &self.grants;
        let after_online = online
            .iter()
            .all(|(at, _)| now >= *at + Duration::from_millis(BATCH_AFTER_ONLINE_MS));
        let beside_online = batch.iter().filter(|(_, beside)| *beside);
        let mut gaps =
            beside_online.map(|(at, _)| now >= *at + Duration::from_millis(BATCH_START_GAP_MS));
        after_online && gaps.all(|passed| passed)
    }

    fn active_batch(&self) -> usize {
        let batch = self.runs.iter().filter(|run| run.class == WorkClass::Batch);
        batch.filter(|run| !run.preempted).count()
    }

    fn forget_empty_turns(&mut self) {
        for class in [WorkClass::Online, WorkClass::Batch] {
            let waits = &self.waits;
            self.turns[class as usize].retain(|(workspace, _)| {
                let mut of_class = waits.iter().filter(|request| request.class == class);
                of_class.any(|request| request.workspace == *workspace)
            });
        }
    }

    /// Starts the next request of `class`: that of the first workspace whose deficit counter covers
    /// it.
    fn next(&mut self, class: WorkClass, now: Instant) -> Option<TicketKey> {
        loop {
            let (workspace, deficit) = self.turns[class as usize].first()?.clone();
            let own = self
                .waiting(class)
                .filter(|request| request.workspace == workspace);
            let request = own
                .min_by_key(|request| request.wait_deadline.min(request.deadline))?
                .clone();
            let turns = &mut self.turns[class as usize];
            if deficit < request.tokens {
                turns[0].1 += QUANTUM_TOKENS;
                turns.rotate_left(1);
                continue;
            }
            turns[0].1 -= request.tokens;
            self.waits.retain(|known| known.key != request.key);
            self.forget_empty_turns();
            let beside = self.count(WorkClass::Online) > 0;
            self.grants[class as usize].push((now, beside));
            self.runs.push(Run {
                key: request.key.clone(),
                class,
                since: now,
                preempted: false,
            });
            return Some(request.key);
        }
    }
}

/// Kinds and tickets of `actions`, denials first and sorted by ticket, because the order of denials
/// is not specified. The others keep their order.
pub(super) fn kinds(actions: &[SchedulerAction]) -> Vec<(u8, TicketId)> {
    let mut kinds: Vec<(u8, TicketId)> = actions
        .iter()
        .map(|action| match action {
            SchedulerAction::Deny(key, ..) => (0, key.ticket),
            SchedulerAction::Grant(key) => (1, key.ticket),
            SchedulerAction::Preempt(key) => (2, key.ticket),
        })
        .collect();
    kinds.sort_by_key(|(kind, ticket)| match kind {
        0 => (0, *ticket),
        _ => (1, TicketId(0)),
    });
    kinds
}
