//! Admission to one engine: who runs, who waits, and which batch work yields.
//!
//! The gate holds no clock and no connections: it takes the time as an argument and answers with
//! actions, so that its decisions can be compared with those of a naive version.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::admission::limit::ConcurrencyLimit;
use crate::admission::message::LoadSnapshot;
use crate::admission::message::TicketDenial;
use crate::admission::message::TicketId;
use crate::admission::message::TicketMeasure;
use crate::admission::message::TicketOutcome;
use crate::admission::queue::FairQueue;
use crate::admission::queue::QueuedRequest;
use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::edges::engine::EngineLoadReport;
use crate::ids::HostId;
use crate::ids::WorkClass;
use crate::ids::WorkspaceName;

/// Time after which a ticket that its holder did not renew is void.
pub(crate) const TICKET_TTL: Duration = Duration::from_secs(2);
/// Longest wait of online work that is accepted into the queue, where other engines may take it.
const MAX_ONLINE_WAIT: Duration = Duration::from_secs(5);
/// Online pieces that wait at most, in multiples of the limit, unless their wait is short.
const ONLINE_QUEUE_FACTOR: u32 = 8;
/// Wait below which the length of the online queue does not matter.
const SHORT_ONLINE_WAIT: Duration = Duration::from_millis(250);
/// Online pieces that wait at most, however short their wait is.
const MAX_ONLINE_QUEUE: u32 = 4096;
/// Batch pieces that wait at most, in multiples of the limit.
const BATCH_QUEUE_FACTOR: u32 = 1;
/// One place in so many is kept free of batch work, so that online work starts at once.
const RESERVE_DIVISOR: u32 = 32;
/// Batch work starts this long after online work at the earliest, so that both prompts are not
/// prefilled in the same step of the engine.
const BATCH_AFTER_ONLINE: Duration = Duration::from_millis(40);
/// Time between two starts of batch work while online work runs.
const BATCH_START_GAP: Duration = Duration::from_millis(25);
/// Part of an estimated time that is added to it before it is compared with a deadline.
const ESTIMATE_MARGIN_DIVISOR: u32 = 4;
/// Pieces that wait for the engine to be empty, at most.
const MAX_ALONE_QUEUE: usize = 64;
const HOLD_WEIGHT: f64 = 0.1;
const INITIAL_HOLD: Duration = Duration::from_millis(500);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A ticket and the host that holds it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TicketKey {
    pub(crate) holder: HostId,
    pub(crate) ticket: TicketId,
}

/// What is asked of a gate.
#[derive(Clone, Debug)]
pub(crate) struct ScheduleRequest {
    pub(crate) key: TicketKey,
    pub(crate) workspace: WorkspaceName,
    pub(crate) class: WorkClass,
    pub(crate) tokens: u64,
    /// Whether nothing else may run on the engine meanwhile.
    pub(crate) alone: bool,
    /// Whether the work waits while the engine is kept for work that runs alone.
    pub(crate) behind_alone: bool,
    /// When the answer is of no use any more.
    pub(crate) deadline: Instant,
    /// When the holder stops waiting.
    pub(crate) patience: Instant,
}

/// What the owner of a gate has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SchedulerAction {
    /// The piece may run.
    Grant(TicketKey),
    /// The piece does not run.
    Deny(TicketKey, TicketDenial, Duration),
    /// The running batch piece must stop.
    Yield(TicketKey),
}

#[derive(Clone, Debug)]
struct RunningRequest {
    class: WorkClass,
    granted: Instant,
    renewed: Instant,
    yielding: bool,
}

/// Admission to one engine.
#[derive(Debug)]
pub(crate) struct EngineScheduler {
    limit: ConcurrencyLimit,
    /// Hosts that admit to the engine on their own, each with its part of the limit.
    share: u32,
    running: HashMap<TicketKey, RunningRequest>,
    /// Tickets given back lately: a renewal that was sent before may come after.
    released: HashMap<TicketKey, Instant>,
    online: FairQueue,
    batch: FairQueue,
    /// Pieces that wait for the engine to be empty.
    alone: VecDeque<QueuedRequest>,
    alone_running: Option<TicketKey>,
    /// Online pieces that may start before the next piece that runs alone.
    turns_before_alone: u32,
    online_running: u32,
    batch_running: u32,
    batch_yielding: u32,
    /// When batch work may start again.
    batch_from: Instant,
    hold: Duration,
}

impl EngineScheduler {
    /// Returns a gate at which nothing runs.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            limit: ConcurrencyLimit::new(now),
            share: 1,
            running: HashMap::default(),
            released: HashMap::default(),
            online: FairQueue::default(),
            batch: FairQueue::default(),
            alone: VecDeque::new(),
            alone_running: None,
            turns_before_alone: 0,
            online_running: 0,
            batch_running: 0,
            batch_yielding: 0,
            batch_from: now,
            hold: INITIAL_HOLD,
        }
    }

    /// Sets how many hosts admit to the engine on their own.
    pub(crate) fn set_share(&mut self, share: u32) {
        self.share = share.max(1);
    }

    /// Pieces that this gate lets run at once; at least one.
    pub(crate) fn limit(&self) -> u32 {
        (self.limit.get() / self.share).max(1)
    }

    /// Number of pieces that wait.
    pub(crate) fn queued(&self) -> usize {
        self.online.len() + self.batch.len() + self.alone.len()
    }

    /// Whether the engine is kept for a piece that runs alone.
    fn is_reserved(&self) -> bool {
        self.alone_running.is_some() || !self.alone.is_empty()
    }

    /// Whether nothing runs and nothing waits.
    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queued() == 0
    }

    /// Load as it is now.
    pub(crate) fn digest(&self) -> LoadSnapshot {
        LoadSnapshot {
            limit: self.limit(),
            online: self.online_running,
            batch: self.batch_running,
            online_queued: match self.is_reserved() {
                // Other work does better anywhere else.
                true => self.limit() * ONLINE_QUEUE_FACTOR,
                false => self.online.len() as u32,
            },
            batch_queued: self.batch.len() as u32,
            hold: self.hold,
            token_time: self.limit.token_time(),
        }
    }

    /// Takes an ask: it is granted, denied or queued.
    pub(crate) fn offer(&mut self, ask: ScheduleRequest, now: Instant) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        if let Some(denial) = self.early_denial(&ask, now) {
            let retry_after = self.retry_after(ask.class);
            actions.push(SchedulerAction::Deny(ask.key, denial, retry_after));
            return actions;
        }
        let piece = QueuedRequest {
            key: ask.key,
            tokens: ask.tokens,
            expires: ask.deadline.min(ask.patience),
        };
        match ask.class {
            _ if ask.alone => self.alone.push_back(piece),
            WorkClass::Online => self.online.push(ask.workspace, piece),
            WorkClass::Batch => self.batch.push(ask.workspace, piece),
        }
        self.pump(now, &mut actions);
        actions
    }

    /// Takes back the ticket of `key`, or withdraws its ask.
    pub(crate) fn release(
        &mut self,
        key: &TicketKey,
        measure: TicketMeasure,
        now: Instant,
    ) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        let running = self.running.len() as u32;
        self.released.insert(key.clone(), now);
        match self.stop_running(key) {
            Some(piece) => self.note_measure(&piece, measure, running, now),
            None => {
                self.alone.retain(|piece| piece.key != *key);
                let _ = self.online.remove(key) || self.batch.remove(key);
            }
        }
        self.pump(now, &mut actions);
        actions
    }

    /// Whether the piece of `key` may run.
    pub(crate) fn is_running(&self, key: &TicketKey) -> bool {
        self.running.contains_key(key)
    }

    /// Denies everything that waits, as the engine takes no new work.
    pub(crate) fn close(&mut self) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        for queue in [&mut self.online, &mut self.batch] {
            for piece in queue.take_if(|_| true) {
                let denial = TicketDenial::NotServing;
                actions.push(SchedulerAction::Deny(piece.key, denial, Duration::ZERO));
            }
        }
        for piece in self.alone.drain(..) {
            let denial = TicketDenial::NotServing;
            actions.push(SchedulerAction::Deny(piece.key, denial, Duration::ZERO));
        }
        actions
    }

    /// Takes note of all tickets that `holder` holds; others of it are void once they are old.
    ///
    /// Tickets that another host granted before are taken over. Returns tickets that must yield.
    pub(crate) fn renew(
        &mut self,
        holder: &HostId,
        held: &[(TicketId, WorkClass)],
        now: Instant,
    ) -> (Vec<TicketId>, Vec<SchedulerAction>) {
        let mut yields = Vec::new();
        for (ticket, class) in held {
            let key = TicketKey {
                holder: holder.clone(),
                ticket: *ticket,
            };
            match self.running.get_mut(&key) {
                Some(piece) => {
                    piece.renewed = now;
                    if piece.yielding {
                        yields.push(*ticket);
                    }
                }
                None if self.released.contains_key(&key) => {}
                None => self.start_running(key, *class, now),
            }
        }
        let listed: HashSet<TicketId> = held.iter().map(|(ticket, _)| *ticket).collect();
        self.expire_running(|key, piece| {
            let age = now.duration_since(piece.granted);
            key.holder == *holder && !listed.contains(&key.ticket) && age >= TICKET_TTL
        });
        let mut actions = Vec::new();
        self.pump(now, &mut actions);
        (yields, actions)
    }

    /// Drops what has expired at `now` and all tickets of hosts that are not `live`.
    pub(crate) fn tick(
        &mut self,
        now: Instant,
        live: impl Fn(&HostId) -> bool,
    ) -> (usize, Vec<SchedulerAction>) {
        let mut actions = Vec::new();
        self.released
            .retain(|_, released| now.duration_since(*released) < TICKET_TTL);
        for queue in [&mut self.online, &mut self.batch] {
            for piece in queue.take_expired(now) {
                let denial = TicketDenial::Expired;
                actions.push(SchedulerAction::Deny(piece.key, denial, MIN_RETRY_AFTER));
            }
            queue.take_if(|piece| !live(&piece.key.holder));
        }
        self.expire_alone(now, &live, &mut actions);
        let expired = self.expire_running(|key, piece| {
            now.duration_since(piece.renewed) >= TICKET_TTL || !live(&key.holder)
        });
        self.pump(now, &mut actions);
        (expired, actions)
    }

    /// Takes note of a load report of the engine.
    pub(crate) fn note_report(&mut self, report: &EngineLoadReport, now: Instant) {
        let granted = self.running.len() as u32;
        self.limit
            .note_report(report.running, report.waiting, granted, now);
    }

    fn early_denial(&self, ask: &ScheduleRequest, now: Instant) -> Option<TicketDenial> {
        if ask.deadline <= now {
            return Some(TicketDenial::TooLate);
        }
        if ask.alone {
            let full = self.alone.len() >= MAX_ALONE_QUEUE;
            return full.then_some(TicketDenial::QueueFull);
        }
        if self.is_reserved() && !ask.behind_alone {
            return Some(TicketDenial::Reserved);
        }
        match ask.class {
            WorkClass::Batch => {
                let full = self.batch.len() as u32 >= self.limit() * BATCH_QUEUE_FACTOR;
                full.then_some(TicketDenial::QueueFull)
            }
            WorkClass::Online if self.starts_at_once() => None,
            WorkClass::Online => {
                let wait = self.online_wait();
                if self.is_online_queue_full(wait) {
                    Some(TicketDenial::QueueFull)
                } else if (wait > MAX_ONLINE_WAIT && !ask.behind_alone)
                    || now + self.cautious(wait + self.hold) > ask.deadline
                {
                    Some(TicketDenial::TooLate)
                } else {
                    None
                }
            }
        }
    }

    /// Whether a new online piece would not wait.
    fn starts_at_once(&self) -> bool {
        self.online_running < self.limit() && self.online.is_empty() && !self.is_reserved()
    }

    /// Whether the online queue takes no more, if a new piece would wait for `wait`.
    fn is_online_queue_full(&self, wait: Duration) -> bool {
        let length = self.online.len() as u32;
        let long = length >= self.limit() * ONLINE_QUEUE_FACTOR;
        length >= MAX_ONLINE_QUEUE || (long && wait > SHORT_ONLINE_WAIT)
    }

    /// Estimated wait of a new online piece.
    fn online_wait(&self) -> Duration {
        let ahead = self.online.len() as u32 + 1;
        let queue = self.hold * ahead / self.limit();
        match self.is_reserved() {
            // Each batch of online pieces waits for one piece that runs alone, and that for the
            // batch before.
            true => queue + 2 * self.hold * ahead.div_ceil(self.limit()),
            false => queue,
        }
    }

    /// A time that the estimate rarely exceeds.
    fn cautious(&self, estimate: Duration) -> Duration {
        estimate + estimate / ESTIMATE_MARGIN_DIVISOR
    }

    fn retry_after(&self, class: WorkClass) -> Duration {
        let wait = match class {
            WorkClass::Online => self.online_wait(),
            WorkClass::Batch => self.hold,
        };
        wait.max(MIN_RETRY_AFTER)
    }

    /// Batch pieces that may run beside the online ones.
    fn batch_room(&self, reserve: u32) -> u32 {
        match self.online.is_empty() {
            true => self.limit().saturating_sub(self.online_running + reserve),
            false => 0,
        }
    }

    /// Empties the engine for the first piece that has to run alone, and then grants it.
    fn pump_alone(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        self.yield_batch(self.batch_running - self.batch_yielding, actions);
        if !self.running.is_empty() {
            return;
        }
        if let Some(piece) = self.alone.pop_front() {
            self.start_running(piece.key.clone(), WorkClass::Online, now);
            self.alone_running = Some(piece.key.clone());
            actions.push(SchedulerAction::Grant(piece.key));
        }
    }

    fn expire_alone(
        &mut self,
        now: Instant,
        live: &impl Fn(&HostId) -> bool,
        actions: &mut Vec<SchedulerAction>,
    ) {
        self.alone.retain(|piece| {
            let expired = piece.expires <= now;
            if expired {
                let denial = TicketDenial::Expired;
                actions.push(SchedulerAction::Deny(
                    piece.key.clone(),
                    denial,
                    MIN_RETRY_AFTER,
                ));
            }
            !expired && live(&piece.key.holder)
        });
    }

    fn pump(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        if self.alone_running.is_some() {
            return;
        }
        self.pump_online(now, actions);
        if !self.alone.is_empty() {
            self.pump_alone(now, actions);
            return;
        }
        // Work yields when the engine is full; new work starts only below the reserve. The gap
        // keeps single online requests from stopping and restarting batch work.
        let room = self.batch_room(0);
        let active = self.batch_running - self.batch_yielding;
        self.yield_batch(active.saturating_sub(room), actions);
        let reserve = (self.limit() / RESERVE_DIVISOR).max(1);
        let reserve = reserve.min(self.limit() - 1);
        while now >= self.batch_from && self.batch_running < self.batch_room(reserve) {
            let Some(piece) = self.batch.pop() else {
                break;
            };
            self.start_running(piece.key.clone(), WorkClass::Batch, now);
            actions.push(SchedulerAction::Grant(piece.key));
        }
    }

    /// Grants online pieces while there are places; with work that is to run alone, no more than
    /// have their turn before it.
    fn pump_online(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        while self.online_running < self.limit() {
            if !self.alone.is_empty() && self.turns_before_alone == 0 {
                return;
            }
            let Some(piece) = self.online.pop() else {
                self.turns_before_alone = 0;
                return;
            };
            self.turns_before_alone = self.turns_before_alone.saturating_sub(1);
            self.start_running(piece.key.clone(), WorkClass::Online, now);
            actions.push(SchedulerAction::Grant(piece.key));
        }
    }

    /// Tells the `count` batch pieces that began last to yield: they lose the least work.
    fn yield_batch(&mut self, count: u32, actions: &mut Vec<SchedulerAction>) {
        if count == 0 {
            return;
        }
        let mut active: Vec<(&TicketKey, &mut RunningRequest)> = self
            .running
            .iter_mut()
            .filter(|(_, piece)| piece.class == WorkClass::Batch && !piece.yielding)
            .collect();
        active.sort_by_key(|(key, piece)| (std::cmp::Reverse(piece.granted), key.ticket));
        for (key, piece) in active.into_iter().take(count as usize) {
            piece.yielding = true;
            self.batch_yielding += 1;
            actions.push(SchedulerAction::Yield(key.clone()));
        }
    }

    fn start_running(&mut self, key: TicketKey, class: WorkClass, now: Instant) {
        match class {
            WorkClass::Online => {
                self.online_running += 1;
                self.batch_from = now + BATCH_AFTER_ONLINE;
            }
            WorkClass::Batch => {
                self.batch_running += 1;
                if self.online_running > 0 {
                    self.batch_from = self.batch_from.max(now + BATCH_START_GAP);
                }
            }
        }
        let piece = RunningRequest {
            class,
            granted: now,
            renewed: now,
            yielding: false,
        };
        self.running.insert(key, piece);
    }

    fn stop_running(&mut self, key: &TicketKey) -> Option<RunningRequest> {
        let piece = self.running.remove(key)?;
        if self.alone_running.as_ref() == Some(key) {
            self.alone_running = None;
            self.turns_before_alone = self.limit().min(self.online.len() as u32);
        }
        match piece.class {
            WorkClass::Online => self.online_running -= 1,
            WorkClass::Batch => self.batch_running -= 1,
        }
        self.batch_yielding -= u32::from(piece.yielding);
        self.limit.note_granted(self.running.len() as u32);
        Some(piece)
    }

    fn expire_running(&mut self, expired: impl Fn(&TicketKey, &RunningRequest) -> bool) -> usize {
        let keys: Vec<TicketKey> = self
            .running
            .iter()
            .filter(|(key, piece)| expired(key, piece))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &keys {
            self.stop_running(key);
        }
        keys.len()
    }

    fn note_measure(
        &mut self,
        piece: &RunningRequest,
        measure: TicketMeasure,
        running: u32,
        now: Instant,
    ) {
        if measure.outcome == TicketOutcome::Complete && piece.class == WorkClass::Online {
            let held = now.duration_since(piece.granted);
            self.hold = self.hold.mul_f64(1.0 - HOLD_WEIGHT) + held.mul_f64(HOLD_WEIGHT);
        }
        // Batch prompts wait for each other's prefill, which concerns no caller.
        let first_token = match piece.class {
            WorkClass::Online => measure.first_token,
            WorkClass::Batch => None,
        };
        self.limit
            .note_sample(first_token, measure.token_time, running, now);
    }
}
