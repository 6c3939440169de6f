//! Scheduler of one engine: which requests run, which wait, and which batch requests are preempted.
//!
//! It does no I/O and reads no clock: callers pass the time and carry out the actions that it
//! returns, so that tests can compare its decisions with those of a naive implementation.

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

/// Time after which a ticket expires that its holder did not renew.
pub(crate) const TICKET_TTL: Duration = Duration::from_secs(2);
/// Longest estimated wait with which an online request is queued while other engines could run it.
const MAX_ONLINE_WAIT: Duration = Duration::from_secs(5);
/// Longest online queue, as a multiple of the limit, unless the estimated wait is short.
const ONLINE_QUEUE_FACTOR: u32 = 8;
/// Estimated wait up to which `ONLINE_QUEUE_FACTOR` does not bound the online queue.
const SHORT_ONLINE_WAIT: Duration = Duration::from_millis(250);
/// Longest online queue, however short the estimated wait is.
const MAX_ONLINE_QUEUE: u32 = 4096;
/// Longest batch queue, as a multiple of the limit.
const BATCH_QUEUE_FACTOR: u32 = 1;
/// One slot in this many is reserved for online requests, so that they start at once beside batch
/// requests.
const RESERVE_DIVISOR: u32 = 32;
/// Shortest time from the start of an online request to that of the next batch request. It keeps
/// the engine from prefilling both prompts in one step, which would delay the first token of the
/// online request.
const BATCH_AFTER_ONLINE: Duration = Duration::from_millis(40);
/// Shortest time between the starts of two batch requests while online requests run.
const BATCH_START_GAP: Duration = Duration::from_millis(25);
/// One part in this many of an estimated time is added to it before the comparison with a deadline.
const ESTIMATE_MARGIN_DIVISOR: u32 = 4;
/// Most requests that may wait to run alone.
const MAX_ALONE_QUEUE: usize = 64;
/// Weight of a new sample in the mean run time of online requests.
const HOLD_WEIGHT: f64 = 0.1;
/// Run time of online requests that is assumed before the first sample.
const INITIAL_HOLD: Duration = Duration::from_millis(500);
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Identifier of a ticket across hosts: ticket identifiers are unique per holder only.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TicketKey {
    pub(crate) holder: HostId,
    pub(crate) ticket: TicketId,
}

/// Ticket request, with times by the clock of this host.
#[derive(Clone, Debug)]
pub(crate) struct ScheduleRequest {
    pub(crate) key: TicketKey,
    pub(crate) workspace: WorkspaceName,
    pub(crate) class: WorkClass,
    pub(crate) tokens: u64,
    /// Whether the request must be the only one that the engine runs.
    pub(crate) alone: bool,
    /// Whether the request may queue while the engine is reserved for requests that run alone.
    pub(crate) queue_if_reserved: bool,
    /// Deadline of the request.
    pub(crate) deadline: Instant,
    /// When the holder stops waiting for the ticket.
    pub(crate) wait_deadline: Instant,
}

/// Decision of the scheduler that its owner must pass on to the holder of the ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SchedulerAction {
    /// Tell the holder that the request may run.
    Grant(TicketKey),
    /// Tell the holder why the request may not run, and after what time to retry.
    Deny(TicketKey, TicketDenial, Duration),
    /// Order the holder to stop the running batch request.
    Preempt(TicketKey),
}

#[derive(Clone, Debug)]
struct RunningRequest {
    class: WorkClass,
    granted: Instant,
    renewed: Instant,
    /// Whether the holder was ordered to stop the request.
    preempted: bool,
}

/// Grants, queues and denies the ticket requests of one engine.
#[derive(Debug)]
pub(crate) struct EngineScheduler {
    limit: ConcurrencyLimit,
    /// Number of hosts that admit to the engine independently; each uses an equal part of the
    /// limit.
    admitting_hosts: u32,
    running: HashMap<TicketKey, RunningRequest>,
    /// Recently released tickets. A renewal that was sent before the release may arrive after it
    /// and must not revive the ticket.
    released: HashMap<TicketKey, Instant>,
    online_queue: FairQueue,
    batch_queue: FairQueue,
    /// Requests that wait to run alone, in order of arrival.
    alone_queue: VecDeque<QueuedRequest>,
    alone_running: Option<TicketKey>,
    /// Online requests that may still start before the next request that runs alone.
    online_before_alone: u32,
    online_running: u32,
    batch_running: u32,
    batch_preempted: u32,
    /// When the next batch request may start.
    next_batch_start: Instant,
    /// Smoothed run time of completed online requests.
    hold: Duration,
}

impl EngineScheduler {
    /// Returns a scheduler of an engine that runs nothing.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            limit: ConcurrencyLimit::new(now),
            admitting_hosts: 1,
            running: HashMap::default(),
            released: HashMap::default(),
            online_queue: FairQueue::default(),
            batch_queue: FairQueue::default(),
            alone_queue: VecDeque::new(),
            alone_running: None,
            online_before_alone: 0,
            online_running: 0,
            batch_running: 0,
            batch_preempted: 0,
            next_batch_start: now,
            hold: INITIAL_HOLD,
        }
    }

    /// Sets how many hosts admit to the engine independently, this one included.
    pub(crate) fn set_admitting_hosts(&mut self, admitting_hosts: u32) {
        self.admitting_hosts = admitting_hosts.max(1);
    }

    /// This host's part of the engine's concurrency limit; at least one.
    pub(crate) fn limit(&self) -> u32 {
        (self.limit.get() / self.admitting_hosts).max(1)
    }

    /// Number of queued requests, including those that wait to run alone.
    pub(crate) fn queued(&self) -> usize {
        self.online_queue.len() + self.batch_queue.len() + self.alone_queue.len()
    }

    /// Whether the engine is reserved: a request runs alone or waits to.
    fn is_reserved(&self) -> bool {
        self.alone_running.is_some() || !self.alone_queue.is_empty()
    }

    /// Whether no request runs or is queued.
    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.queued() == 0
    }

    /// Current load of the engine by the tickets granted and queued here.
    pub(crate) fn snapshot(&self) -> LoadSnapshot {
        LoadSnapshot {
            limit: self.limit(),
            online: self.online_running,
            batch: self.batch_running,
            online_queued: match self.is_reserved() {
                // A reserved engine looks full, so that other requests choose another engine.
                true => self.limit() * ONLINE_QUEUE_FACTOR,
                false => self.online_queue.len() as u32,
            },
            batch_queued: self.batch_queue.len() as u32,
            hold: self.hold,
            token_time: self.limit.token_time(),
        }
    }

    /// Grants, denies or queues a ticket request. A queued request gets no action of its own yet.
    pub(crate) fn offer(&mut self, request: ScheduleRequest, now: Instant) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        if let Some(denial) = self.early_denial(&request, now) {
            let retry_after = self.retry_after(request.class);
            actions.push(SchedulerAction::Deny(request.key, denial, retry_after));
            return actions;
        }
        let queued = QueuedRequest {
            key: request.key,
            tokens: request.tokens,
            expires: request.deadline.min(request.wait_deadline),
        };
        match request.class {
            _ if request.alone => self.alone_queue.push_back(queued),
            WorkClass::Online => self.online_queue.push(request.workspace, queued),
            WorkClass::Batch => self.batch_queue.push(request.workspace, queued),
        }
        self.schedule(now, &mut actions);
        actions
    }

    /// Releases the ticket of `key`, or removes its request from the queue.
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
            Some(request) => self.record_measure(&request, measure, running, now),
            None => {
                self.alone_queue.retain(|request| request.key != *key);
                let _ = self.online_queue.remove(key) || self.batch_queue.remove(key);
            }
        }
        self.schedule(now, &mut actions);
        actions
    }

    /// Whether the ticket of `key` is granted.
    pub(crate) fn is_running(&self, key: &TicketKey) -> bool {
        self.running.contains_key(key)
    }

    /// Denies all queued requests because the engine takes no new ones.
    pub(crate) fn deny_queued(&mut self) -> Vec<SchedulerAction> {
        let mut actions = Vec::new();
        for queue in [&mut self.online_queue, &mut self.batch_queue] {
            for request in queue.take_if(|_| true) {
                let denial = TicketDenial::NotServing;
                actions.push(SchedulerAction::Deny(request.key, denial, Duration::ZERO));
            }
        }
        for request in self.alone_queue.drain(..) {
            let denial = TicketDenial::NotServing;
            actions.push(SchedulerAction::Deny(request.key, denial, Duration::ZERO));
        }
        actions
    }

    /// Renews the tickets in `held`, which are all tickets of `holder` for this engine.
    ///
    /// Tickets of `holder` that are not listed expire once they are older than [`TICKET_TTL`]: a
    /// younger one may have been granted after the renewal was sent. Listed tickets that are not
    /// known here were granted by the previous admitting host and are taken over. Returns the
    /// listed tickets that were ordered to yield, in case the order was lost.
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
                Some(request) => {
                    request.renewed = now;
                    if request.preempted {
                        yields.push(*ticket);
                    }
                }
                None if self.released.contains_key(&key) => {}
                None => self.start_running(key, *class, now),
            }
        }
        let listed: HashSet<TicketId> = held.iter().map(|(ticket, _)| *ticket).collect();
        self.expire_running(|key, request| {
            let age = now.duration_since(request.granted);
            key.holder == *holder && !listed.contains(&key.ticket) && age >= TICKET_TTL
        });
        let mut actions = Vec::new();
        self.schedule(now, &mut actions);
        (yields, actions)
    }

    /// Expires tickets that were not renewed and queued requests whose time is over at `now`, and
    /// drops those of hosts that are not `live`. Returns the number of expired tickets.
    pub(crate) fn tick(
        &mut self,
        now: Instant,
        live: impl Fn(&HostId) -> bool,
    ) -> (usize, Vec<SchedulerAction>) {
        let mut actions = Vec::new();
        self.released
            .retain(|_, released| now.duration_since(*released) < TICKET_TTL);
        for queue in [&mut self.online_queue, &mut self.batch_queue] {
            for request in queue.take_expired(now) {
                let denial = TicketDenial::Expired;
                actions.push(SchedulerAction::Deny(request.key, denial, MIN_RETRY_AFTER));
            }
            queue.take_if(|request| !live(&request.key.holder));
        }
        self.expire_alone(now, &live, &mut actions);
        let expired = self.expire_running(|key, request| {
            now.duration_since(request.renewed) >= TICKET_TTL || !live(&key.holder)
        });
        self.schedule(now, &mut actions);
        (expired, actions)
    }

    /// Adapts the concurrency limit to a load report of the engine.
    pub(crate) fn record_report(&mut self, report: &EngineLoadReport, now: Instant) {
        let granted = self.running.len() as u32;
        self.limit
            .record_report(report.running, report.waiting, granted, now);
    }

    fn early_denial(&self, request: &ScheduleRequest, now: Instant) -> Option<TicketDenial> {
        if request.deadline <= now {
            return Some(TicketDenial::TooLate);
        }
        if request.alone {
            let full = self.alone_queue.len() >= MAX_ALONE_QUEUE;
            return full.then_some(TicketDenial::QueueFull);
        }
        if self.is_reserved() && !request.queue_if_reserved {
            return Some(TicketDenial::Reserved);
        }
        match request.class {
            WorkClass::Batch => {
                let full = self.batch_queue.len() as u32 >= self.limit() * BATCH_QUEUE_FACTOR;
                full.then_some(TicketDenial::QueueFull)
            }
            WorkClass::Online if self.starts_at_once() => None,
            WorkClass::Online => {
                let wait = self.online_wait();
                if self.is_online_queue_full(wait) {
                    Some(TicketDenial::QueueFull)
                } else if (wait > MAX_ONLINE_WAIT && !request.queue_if_reserved)
                    || now + self.with_margin(wait + self.hold) > request.deadline
                {
                    Some(TicketDenial::TooLate)
                } else {
                    None
                }
            }
        }
    }

    /// Whether a new online request would be granted without queueing.
    fn starts_at_once(&self) -> bool {
        self.online_running < self.limit() && self.online_queue.is_empty() && !self.is_reserved()
    }

    /// Whether the online queue is full for a new request with the estimated wait `wait`.
    fn is_online_queue_full(&self, wait: Duration) -> bool {
        let length = self.online_queue.len() as u32;
        let long = length >= self.limit() * ONLINE_QUEUE_FACTOR;
        length >= MAX_ONLINE_QUEUE || (long && wait > SHORT_ONLINE_WAIT)
    }

    /// Estimated wait of a new online request in the queue.
    fn online_wait(&self) -> Duration {
        let ahead = self.online_queue.len() as u32 + 1;
        let queue = self.hold * ahead / self.limit();
        match self.is_reserved() {
            // Groups of online requests, each as large as the limit, alternate with single requests
            // that run alone, and each waits for the one before.
            true => queue + 2 * self.hold * ahead.div_ceil(self.limit()),
            false => queue,
        }
    }

    /// Adds a safety margin to an estimated time.
    fn with_margin(&self, estimate: Duration) -> Duration {
        estimate + estimate / ESTIMATE_MARGIN_DIVISOR
    }

    fn retry_after(&self, class: WorkClass) -> Duration {
        let wait = match class {
            WorkClass::Online => self.online_wait(),
            WorkClass::Batch => self.hold,
        };
        wait.max(MIN_RETRY_AFTER)
    }

    /// Number of batch requests that may run beside the online requests with `reserve` slots kept
    /// free. Zero while online requests are queued.
    fn batch_slots(&self, reserve: u32) -> u32 {
        match self.online_queue.is_empty() {
            true => self.limit().saturating_sub(self.online_running + reserve),
            false => 0,
        }
    }

    /// Preempts all batch requests and, once the engine is empty, grants the first request that
    /// must run alone.
    fn schedule_alone(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        self.preempt_batch(self.batch_running - self.batch_preempted, actions);
        if !self.running.is_empty() {
            return;
        }
        if let Some(request) = self.alone_queue.pop_front() {
            self.start_running(request.key.clone(), WorkClass::Online, now);
            self.alone_running = Some(request.key.clone());
            actions.push(SchedulerAction::Grant(request.key));
        }
    }

    fn expire_alone(
        &mut self,
        now: Instant,
        live: &impl Fn(&HostId) -> bool,
        actions: &mut Vec<SchedulerAction>,
    ) {
        self.alone_queue.retain(|request| {
            let expired = request.expires <= now;
            if expired {
                let denial = TicketDenial::Expired;
                actions.push(SchedulerAction::Deny(
                    request.key.clone(),
                    denial,
                    MIN_RETRY_AFTER,
                ));
            }
            !expired && live(&request.key.holder)
        });
    }

    fn schedule(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        if self.alone_running.is_some() {
            return;
        }
        self.schedule_online(now, actions);
        if !self.alone_queue.is_empty() {
            self.schedule_alone(now, actions);
            return;
        }
        // Batch requests are preempted only when the engine is full, but new ones start only below
        // the reserve. This hysteresis keeps single online requests from stopping and restarting
        // batch requests.
        let slots = self.batch_slots(0);
        let active = self.batch_running - self.batch_preempted;
        self.preempt_batch(active.saturating_sub(slots), actions);
        let reserve = (self.limit() / RESERVE_DIVISOR).max(1);
        let reserve = reserve.min(self.limit() - 1);
        while now >= self.next_batch_start && self.batch_running < self.batch_slots(reserve) {
            let Some(request) = self.batch_queue.pop() else {
                break;
            };
            self.start_running(request.key.clone(), WorkClass::Batch, now);
            actions.push(SchedulerAction::Grant(request.key));
        }
    }

    /// Grants online requests while slots are free. If a request waits to run alone, grants at most
    /// `online_before_alone` of them.
    fn schedule_online(&mut self, now: Instant, actions: &mut Vec<SchedulerAction>) {
        while self.online_running < self.limit() {
            if !self.alone_queue.is_empty() && self.online_before_alone == 0 {
                return;
            }
            let Some(request) = self.online_queue.pop() else {
                self.online_before_alone = 0;
                return;
            };
            self.online_before_alone = self.online_before_alone.saturating_sub(1);
            self.start_running(request.key.clone(), WorkClass::Online, now);
            actions.push(SchedulerAction::Grant(request.key));
        }
    }

    /// Preempts the `count` batch requests that started last, because they lose the least work.
    fn preempt_batch(&mut self, count: u32, actions: &mut Vec<SchedulerAction>) {
        if count == 0 {
            return;
        }
        let mut active: Vec<(&TicketKey, &mut RunningRequest)> = self
            .running
            .iter_mut()
            .filter(|(_, request)| request.class == WorkClass::Batch && !request.preempted)
            .collect();
        active.sort_by_key(|(key, request)| (std::cmp::Reverse(request.granted), key.ticket));
        for (key, request) in active.into_iter().take(count as usize) {
            request.preempted = true;
            self.batch_preempted += 1;
            actions.push(SchedulerAction::Preempt(key.clone()));
        }
    }

    fn start_running(&mut self, key: TicketKey, class: WorkClass, now: Instant) {
        match class {
            WorkClass::Online => {
                self.online_running += 1;
                self.next_batch_start = now + BATCH_AFTER_ONLINE;
            }
            WorkClass::Batch => {
                self.batch_running += 1;
                if self.online_running > 0 {
                    self.next_batch_start = self.next_batch_start.max(now + BATCH_START_GAP);
                }
            }
        }
        let request = RunningRequest {
            class,
            granted: now,
            renewed: now,
            preempted: false,
        };
        self.running.insert(key, request);
    }

    fn stop_running(&mut self, key: &TicketKey) -> Option<RunningRequest> {
        let request = self.running.remove(key)?;
        if self.alone_running.as_ref() == Some(key) {
            self.alone_running = None;
            self.online_before_alone = self.limit().min(self.online_queue.len() as u32);
        }
        match request.class {
            WorkClass::Online => self.online_running -= 1,
            WorkClass::Batch => self.batch_running -= 1,
        }
        self.batch_preempted -= u32::from(request.preempted);
        self.limit.record_granted(self.running.len() as u32);
        Some(request)
    }

    fn expire_running(&mut self, expired: impl Fn(&TicketKey, &RunningRequest) -> bool) -> usize {
        let keys: Vec<TicketKey> = self
            .running
            .iter()
            .filter(|(key, request)| expired(key, request))
            .map(|(key, _)| key.clone())
            .collect();
        for key in &keys {
            self.stop_running(key);
        }
        keys.len()
    }

    fn record_measure(
        &mut self,
        request: &RunningRequest,
        measure: TicketMeasure,
        running: u32,
        now: Instant,
    ) {
        if measure.outcome == TicketOutcome::Complete && request.class == WorkClass::Online {
            let held = now.duration_since(request.granted);
            self.hold = self.hold.mul_f64(1.0 - HOLD_WEIGHT) + held.mul_f64(HOLD_WEIGHT);
        }
        // Batch prompts wait for each other's prefill. No caller waits for their first tokens, so
        // that this delay must not lower the limit.
        let first_token = match request.class {
            WorkClass::Online => measure.first_token,
            WorkClass::Batch => None,
        };
        self.limit
            .record_sample(first_token, measure.token_time, running, now);
    }
}
