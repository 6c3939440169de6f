//! Admitting side: the schedulers of the engines that this host admits to.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::admission::message::AdmissionReply;
use crate::admission::message::HeldTicket;
use crate::admission::message::LoadSnapshot;
use crate::admission::message::TicketDenial;
use crate::admission::message::TicketId;
use crate::admission::message::TicketMeasure;
use crate::admission::message::TicketRequest;
use crate::admission::scheduler::EngineScheduler;
use crate::admission::scheduler::ScheduleRequest;
use crate::admission::scheduler::SchedulerAction;
use crate::admission::scheduler::TICKET_TTL;
use crate::admission::scheduler::TicketKey;
use crate::collections::HashMap;
use crate::counters::CounterEvent;
use crate::counters::CounterSet;
use crate::edges::engine::EngineLoadReport;
use crate::ids::HostId;
use crate::ids::UpstreamId;
use crate::ids::WorkClass;

/// Time after which an idle scheduler is removed.
const IDLE_TTL: Duration = Duration::from_secs(60);

/// Order to the holder of a batch ticket to stop its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PreemptionOrder {
    pub(crate) holder: HostId,
    pub(crate) ticket: TicketId,
}

#[derive(Clone, Copy)]
enum TicketDecision {
    Granted,
    Denied(TicketDenial, Duration),
}

struct SchedulerEntry {
    scheduler: EngineScheduler,
    /// Channels to the calls that wait for the decision on a queued request.
    waiters: HashMap<TicketKey, oneshot::Sender<TicketDecision>>,
    /// Denials that were decided between two calls of the requesting host, with the time of the
    /// decision.
    undelivered_denials: HashMap<TicketKey, (TicketDecision, Instant)>,
    /// When the scheduler was last created or busy.
    last_used: Instant,
}

impl SchedulerEntry {
    fn new(now: Instant) -> Self {
        Self {
            scheduler: EngineScheduler::new(now),
            waiters: HashMap::default(),
            undelivered_denials: HashMap::default(),
            last_used: now,
        }
    }

    /// Removes callers whose request left the queue without a decision, and denials older than the
    /// ticket lifetime.
    fn remove_stale_waiters(&mut self, now: Instant) {
        if self.scheduler.queued() == 0 {
            self.waiters.clear();
        }
        self.undelivered_denials
            .retain(|_, (_, at)| now.duration_since(*at) < TICKET_TTL);
    }

    /// Sends a denial to the caller that waits for `key`, or stores it for its next call.
    fn deny(&mut self, key: TicketKey, denial: TicketDenial, retry_after: Duration, now: Instant) {
        let decision = TicketDecision::Denied(denial, retry_after);
        let Some(waiter) = self.waiters.remove(&key) else {
            return;
        };
        if waiter.send(decision).is_err() {
            self.undelivered_denials.insert(key, (decision, now));
        }
    }
}

/// Schedulers of all engines for which this host received ticket requests or renewals.
pub(crate) struct SchedulerRegistry {
    schedulers: Mutex<HashMap<UpstreamId, SchedulerEntry>>,
    preemptions: mpsc::UnboundedSender<PreemptionOrder>,
    counters: Arc<CounterSet>,
}

impl SchedulerRegistry {
    /// Returns an empty registry that sends preemption orders to `preemptions`.
    pub(crate) fn new(
        preemptions: mpsc::UnboundedSender<PreemptionOrder>,
        counters: Arc<CounterSet>,
    ) -> Self {
        Self {
            schedulers: Mutex::default(),
            preemptions,
            counters,
        }
    }

    /// Load of every engine with a scheduler here.
    pub(crate) fn snapshots(&self) -> Vec<(UpstreamId, LoadSnapshot)> {
        let schedulers = self.schedulers.lock().expect("schedulers lock");
        let schedulers = schedulers.iter();
        schedulers
            .map(|(engine, entry)| (engine.clone(), entry.scheduler.snapshot()))
            .collect()
    }

    /// Offers a ticket request to the engine's scheduler and replies at once. `admitting_hosts` is
    /// the number of hosts that admit to the engine independently.
    pub(crate) fn admit(
        &self,
        holder: HostId,
        request: &TicketRequest,
        admitting_hosts: u32,
    ) -> AdmissionReply {
        let key = TicketKey {
            holder,
            ticket: request.ticket,
        };
        let (sender, mut receiver) = oneshot::channel();
        self.with_entry(&request.engine, |entry, now| {
            entry.scheduler.set_admitting_hosts(admitting_hosts);
            entry.waiters.insert(key.clone(), sender);
            let actions = entry
                .scheduler
                .offer(schedule_request(key, request, now), now);
            self.apply(entry, actions);
            reply_for(receiver.try_recv().ok(), entry.scheduler.snapshot())
        })
    }

    /// Waits up to `max_wait` for the decision on a queued ticket request.
    pub(crate) async fn wait(
        &self,
        holder: HostId,
        ticket: TicketId,
        engine: &UpstreamId,
        max_wait: Duration,
    ) -> AdmissionReply {
        let key = TicketKey { holder, ticket };
        let (sender, receiver) = oneshot::channel();
        let decided = self.with_entry(engine, |entry, _| {
            if entry.scheduler.is_running(&key) {
                return Some(TicketDecision::Granted);
            }
            match entry.waiters.get_mut(&key) {
                Some(waiter) => {
                    *waiter = sender;
                    None
                }
                None => Some(match entry.undelivered_denials.remove(&key) {
                    Some((decision, _)) => decision,
                    None => TicketDecision::Denied(TicketDenial::Expired, Duration::ZERO),
                }),
            }
        });
        let decision = match decided {
            Some(decision) => Some(decision),
            None => match tokio::time::timeout(max_wait, receiver).await {
                Ok(Ok(decision)) => Some(decision),
                Ok(Err(_)) | Err(_) => None,
            },
        };
        reply_for(decision, self.snapshot(engine))
    }

    /// Releases a ticket, or withdraws its queued request.
    pub(crate) fn release(
        &self,
        holder: HostId,
        ticket: TicketId,
        engine: &UpstreamId,
        measure: TicketMeasure,
    ) -> LoadSnapshot {
        let key = TicketKey { holder, ticket };
        self.with_entry(engine, |entry, now| {
            entry.waiters.remove(&key);
            entry.undelivered_denials.remove(&key);
            let actions = entry.scheduler.release(&key, measure, now);
            self.apply(entry, actions);
            entry.scheduler.snapshot()
        })
    }

    /// Renews the tickets of `holder` and replies with the load of their engines and of `engines`.
    pub(crate) fn renew(
        &self,
        holder: &HostId,
        held: &[HeldTicket],
        engines: &[UpstreamId],
    ) -> AdmissionReply {
        let mut by_engine: HashMap<UpstreamId, Vec<(TicketId, WorkClass)>> = HashMap::default();
        for engine in engines {
            by_engine.entry(engine.clone()).or_default();
        }
        for known in held {
            let tickets = by_engine.entry(known.engine.clone()).or_default();
            tickets.push((known.ticket, known.class));
        }
        let mut yields = Vec::new();
        let mut snapshots = Vec::new();
        for (engine, tickets) in by_engine {
            let snapshot = self.with_entry(&engine, |entry, now| {
                let (preempted, actions) = entry.scheduler.renew(holder, &tickets, now);
                yields.extend(preempted);
                self.apply(entry, actions);
                entry.scheduler.snapshot()
            });
            snapshots.push((engine, snapshot));
        }
        AdmissionReply::Renewed { yields, snapshots }
    }

    /// Load of `engine` by the tickets granted and queued here.
    pub(crate) fn snapshot(&self, engine: &UpstreamId) -> LoadSnapshot {
        self.with_entry(engine, |entry, _| entry.scheduler.snapshot())
    }

    /// Expires tickets and queued requests, drops those of hosts that are not `live`, denies queued
    /// requests for engines that are `closed`, and removes schedulers that have been idle for long.
    pub(crate) fn tick(
        &self,
        live: impl Fn(&HostId) -> bool,
        closed: impl Fn(&UpstreamId) -> bool,
    ) {
        let now = Instant::now();
        let mut schedulers = self.schedulers.lock().expect("schedulers lock");
        for (engine, entry) in schedulers.iter_mut() {
            if closed(engine) {
                let actions = entry.scheduler.deny_queued();
                self.apply(entry, actions);
            }
            let (expired, actions) = entry.scheduler.tick(now, &live);
            self.counters
                .add(CounterEvent::TicketExpired, expired as u64);
            self.apply(entry, actions);
            entry.remove_stale_waiters(now);
            if !entry.scheduler.is_idle() {
                entry.last_used = now;
            }
        }
        schedulers.retain(|_, entry| now.duration_since(entry.last_used) < IDLE_TTL);
    }

    /// Passes new load reports of the engines to their schedulers.
    pub(crate) fn record_reports(&self, report: impl Fn(&UpstreamId) -> Option<EngineLoadReport>) {
        let now = Instant::now();
        let mut schedulers = self.schedulers.lock().expect("schedulers lock");
        for (engine, entry) in schedulers.iter_mut() {
            if let Some(report) = report(engine) {
                entry.scheduler.record_report(&report, now);
            }
        }
    }

    fn with_entry<T>(
        &self,
        engine: &UpstreamId,
        act: impl FnOnce(&mut SchedulerEntry, Instant) -> T,
    ) -> T {
        let now = Instant::now();
        let mut schedulers = self.schedulers.lock().expect("schedulers lock");
        if let Some(entry) = schedulers.get_mut(engine) {
            return act(entry, now);
        }
        let entry = schedulers
            .entry(engine.clone())
            .or_insert_with(|| SchedulerEntry::new(now));
        act(entry, now)
    }

    /// Carries out `actions`. If no call waits for the decision on a ticket, its next call finds
    /// it: grants among the running tickets, denials among the stored ones.
    fn apply(&self, entry: &mut SchedulerEntry, actions: Vec<SchedulerAction>) {
        for action in actions {
            match action {
                SchedulerAction::Grant(key) => {
                    if let Some(waiter) = entry.waiters.remove(&key) {
                        let _ = waiter.send(TicketDecision::Granted);
                    }
                }
                SchedulerAction::Deny(key, denial, retry_after) => {
                    entry.deny(key, denial, retry_after, Instant::now());
                }
                SchedulerAction::Preempt(key) => {
                    let _ = self.preemptions.send(PreemptionOrder {
                        holder: key.holder,
                        ticket: key.ticket,
                    });
                }
            }
        }
    }
}

fn reply_for(decision: Option<TicketDecision>, snapshot: LoadSnapshot) -> AdmissionReply {
    match decision {
        None => AdmissionReply::Queued(snapshot),
        Some(TicketDecision::Granted) => AdmissionReply::Granted(snapshot),
        Some(TicketDecision::Denied(denial, retry_after)) => AdmissionReply::Denied {
            denial,
            retry_after,
            snapshot,
        },
    }
}

fn schedule_request(key: TicketKey, request: &TicketRequest, now: Instant) -> ScheduleRequest {
    ScheduleRequest {
        key,
        workspace: request.workspace.clone(),
        class: request.class,
        tokens: request.tokens,
        alone: request.alone,
        queue_if_reserved: request.queue_if_reserved,
        deadline: now + request.remaining,
        wait_deadline: now + request.max_wait,
    }
}
