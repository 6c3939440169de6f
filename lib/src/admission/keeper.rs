//! The admitting side: the gates of the engines that this host admits to.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::admission::gate::EngineScheduler;
use crate::admission::gate::ScheduleRequest;
use crate::admission::gate::SchedulerAction;
use crate::admission::gate::TICKET_TTL;
use crate::admission::gate::TicketKey;
use crate::admission::message::AdmissionReply;
use crate::admission::message::HeldTicket;
use crate::admission::message::LoadSnapshot;
use crate::admission::message::TicketDenial;
use crate::admission::message::TicketId;
use crate::admission::message::TicketMeasure;
use crate::admission::message::TicketRequest;
use crate::collections::HashMap;
use crate::counters::CounterEvent;
use crate::counters::CounterSet;
use crate::edges::engine::EngineLoadReport;
use crate::ids::HostId;
use crate::ids::UpstreamId;
use crate::ids::WorkClass;

/// A gate at which nothing runs or waits is forgotten after this time.
const IDLE_TTL: Duration = Duration::from_secs(60);

/// Order to the host that holds a ticket of batch work.
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
    gate: EngineScheduler,
    waiting: HashMap<TicketKey, oneshot::Sender<TicketDecision>>,
    /// Denials that came while their asker did not wait, and when.
    unheard: HashMap<TicketKey, (TicketDecision, Instant)>,
    used: Instant,
}

impl SchedulerEntry {
    fn new(now: Instant) -> Self {
        Self {
            gate: EngineScheduler::new(now),
            waiting: HashMap::default(),
            unheard: HashMap::default(),
            used: now,
        }
    }

    /// Forgets askers whose piece left the queue without an answer, and old denials.
    fn forget_lost_askers(&mut self, now: Instant) {
        if self.gate.queued() == 0 {
            self.waiting.clear();
        }
        self.unheard
            .retain(|_, (_, at)| now.duration_since(*at) < TICKET_TTL);
    }

    /// Tells the asker of `key` that it is denied, now or at its next call.
    fn deny(&mut self, key: TicketKey, denial: TicketDenial, retry_after: Duration, now: Instant) {
        let outcome = TicketDecision::Denied(denial, retry_after);
        let Some(asker) = self.waiting.remove(&key) else {
            return;
        };
        if asker.send(outcome).is_err() {
            self.unheard.insert(key, (outcome, now));
        }
    }
}

/// Keeper of the gates of all engines that other hosts or this one ask for.
pub(crate) struct SchedulerRegistry {
    gates: Mutex<HashMap<UpstreamId, SchedulerEntry>>,
    yields: mpsc::UnboundedSender<PreemptionOrder>,
    counters: Arc<CounterSet>,
}

impl SchedulerRegistry {
    /// Returns a keeper without gates that sends its orders to `yields`.
    pub(crate) fn new(
        yields: mpsc::UnboundedSender<PreemptionOrder>,
        counters: Arc<CounterSet>,
    ) -> Self {
        Self {
            gates: Mutex::default(),
            yields,
            counters,
        }
    }

    /// Digests of all gates.
    pub(crate) fn digests(&self) -> Vec<(UpstreamId, LoadSnapshot)> {
        let gates = self.gates.lock().expect("gates lock");
        let gates = gates.iter();
        gates
            .map(|(engine, slot)| (engine.clone(), slot.gate.digest()))
            .collect()
    }

    /// Answers an ask at once. `share` hosts admit to the engine on their own.
    pub(crate) fn admit(&self, holder: HostId, ask: &TicketRequest, share: u32) -> AdmissionReply {
        let key = TicketKey {
            holder,
            ticket: ask.ticket,
        };
        let (outcome, mut answer) = oneshot::channel();
        self.with_slot(&ask.engine, |slot, now| {
            slot.gate.set_share(share);
            slot.waiting.insert(key.clone(), outcome);
            let actions = slot.gate.offer(gate_ask(key, ask, now), now);
            self.apply(slot, actions);
            reply_to(answer.try_recv().ok(), slot.gate.digest())
        })
    }

    /// Waits up to `round` for the answer to an ask that was queued.
    pub(crate) async fn wait(
        &self,
        holder: HostId,
        ticket: TicketId,
        engine: &UpstreamId,
        round: Duration,
    ) -> AdmissionReply {
        let key = TicketKey { holder, ticket };
        let (outcome, answer) = oneshot::channel();
        let settled = self.with_slot(engine, |slot, _| {
            if slot.gate.is_running(&key) {
                return Some(TicketDecision::Granted);
            }
            match slot.waiting.get_mut(&key) {
                Some(asker) => {
                    *asker = outcome;
                    None
                }
                None => Some(match slot.unheard.remove(&key) {
                    Some((outcome, _)) => outcome,
                    None => TicketDecision::Denied(TicketDenial::Expired, Duration::ZERO),
                }),
            }
        });
        let outcome = match settled {
            Some(outcome) => Some(outcome),
            None => match tokio::time::timeout(round, answer).await {
                Ok(Ok(outcome)) => Some(outcome),
                Ok(Err(_)) | Err(_) => None,
            },
        };
        reply_to(outcome, self.digest(engine))
    }

    /// Takes a ticket back, or withdraws its ask.
    pub(crate) fn release(
        &self,
        holder: HostId,
        ticket: TicketId,
        engine: &UpstreamId,
        measure: TicketMeasure,
    ) -> LoadSnapshot {
        let key = TicketKey { holder, ticket };
        self.with_slot(engine, |slot, now| {
            slot.waiting.remove(&key);
            slot.unheard.remove(&key);
            let actions = slot.gate.release(&key, measure, now);
            self.apply(slot, actions);
            slot.gate.digest()
        })
    }

    /// Renews the tickets of `holder`; answers with the load of `engines`.
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
        let mut digests = Vec::new();
        for (engine, tickets) in by_engine {
            let digest = self.with_slot(&engine, |slot, now| {
                let (yielding, actions) = slot.gate.renew(holder, &tickets, now);
                yields.extend(yielding);
                self.apply(slot, actions);
                slot.gate.digest()
            });
            digests.push((engine, digest));
        }
        AdmissionReply::Renewed { yields, digests }
    }

    /// Load of `engine` as its gate knows it.
    pub(crate) fn digest(&self, engine: &UpstreamId) -> LoadSnapshot {
        self.with_slot(engine, |slot, _| slot.gate.digest())
    }

    /// Drops what has expired, the tickets of hosts that are not `live`, and what waits for
    /// engines that are `closed`.
    pub(crate) fn tick(
        &self,
        live: impl Fn(&HostId) -> bool,
        closed: impl Fn(&UpstreamId) -> bool,
    ) {
        let now = Instant::now();
        let mut gates = self.gates.lock().expect("gates lock");
        for (engine, slot) in gates.iter_mut() {
            if closed(engine) {
                let actions = slot.gate.close();
                self.apply(slot, actions);
            }
            let (expired, actions) = slot.gate.tick(now, &live);
            self.counters
                .add(CounterEvent::TicketExpired, expired as u64);
            self.apply(slot, actions);
            slot.forget_lost_askers(now);
            if !slot.gate.is_idle() {
                slot.used = now;
            }
        }
        gates.retain(|_, slot| now.duration_since(slot.used) < IDLE_TTL);
    }

    /// Passes load reports on to the gates.
    pub(crate) fn note_reports(&self, report: impl Fn(&UpstreamId) -> Option<EngineLoadReport>) {
        let now = Instant::now();
        let mut gates = self.gates.lock().expect("gates lock");
        for (engine, slot) in gates.iter_mut() {
            if let Some(report) = report(engine) {
                slot.gate.note_report(&report, now);
            }
        }
    }

    fn with_slot<T>(
        &self,
        engine: &UpstreamId,
        act: impl FnOnce(&mut SchedulerEntry, Instant) -> T,
    ) -> T {
        let now = Instant::now();
        let mut gates = self.gates.lock().expect("gates lock");
        if let Some(slot) = gates.get_mut(engine) {
            return act(slot, now);
        }
        let slot = gates
            .entry(engine.clone())
            .or_insert_with(|| SchedulerEntry::new(now));
        act(slot, now)
    }

    /// Carries `actions` out. What an asker that does not wait is told is found by its next call.
    fn apply(&self, slot: &mut SchedulerEntry, actions: Vec<SchedulerAction>) {
        for action in actions {
            match action {
                SchedulerAction::Grant(key) => {
                    if let Some(asker) = slot.waiting.remove(&key) {
                        let _ = asker.send(TicketDecision::Granted);
                    }
                }
                SchedulerAction::Deny(key, denial, retry_after) => {
                    slot.deny(key, denial, retry_after, Instant::now());
                }
                SchedulerAction::Yield(key) => {
                    let _ = self.yields.send(PreemptionOrder {
                        holder: key.holder,
                        ticket: key.ticket,
                    });
                }
            }
        }
    }
}

fn reply_to(outcome: Option<TicketDecision>, digest: LoadSnapshot) -> AdmissionReply {
    match outcome {
        None => AdmissionReply::Queued(digest),
        Some(TicketDecision::Granted) => AdmissionReply::Granted(digest),
        Some(TicketDecision::Denied(denial, retry_after)) => AdmissionReply::Denied {
            denial,
            retry_after,
            digest,
        },
    }
}

fn gate_ask(key: TicketKey, ask: &TicketRequest, now: Instant) -> ScheduleRequest {
    ScheduleRequest {
        key,
        workspace: ask.workspace.clone(),
        class: ask.class,
        tokens: ask.tokens,
        alone: ask.alone,
        behind_alone: ask.behind_alone,
        deadline: now + ask.remaining,
        patience: now + ask.patience,
    }
}
