//! The membership protocol without I/O or clocks: datagrams and the current time are inputs,
//! datagrams and events are outputs.
//!
//! The protocol follows SWIM with Lifeguard's extensions. Each host probes one other host per
//! interval, first directly and then through relays. A host that does not acknowledge is
//! suspected, and declared dead if it does not refute the suspicion with a higher incarnation in
//! time. Every host waits for its own timeout: a declaration by another host only shortens it to
//! the minimum, so that one faulty host cannot remove others. A host with signs of a fault of its
//! own probes more slowly, and an isolated host withholds its suspicions for a while.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use crate::collections::HashMap;
use crate::ids::HostId;
use crate::ids::Revision;
use crate::membership::host_table::HostRecord;
use crate::membership::host_table::HostTable;
use crate::membership::host_table::LivenessStatus;
use crate::membership::host_table::Suspicion;
use crate::membership::message::GossipMessage;
use crate::membership::message::GossipPacket;
use crate::membership::message::HostUpdate;
use crate::membership::update_queue::UpdateQueue;
use crate::membership::view::HostState;
use crate::membership::view::HostView;
use crate::membership::view::PeerHost;

/// Time between two probes that this host sends while its health penalty is zero.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time to wait for an acknowledgement of a direct ping before relays are asked to ping the target.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time to wait for a direct or relayed acknowledgement before the target is suspected.
const PROBE_TIMEOUT: Duration = Duration::from_millis(700);
/// Time that a relay waits for the target before it sends a `Nack` to the requester.
const RELAY_TIMEOUT: Duration = Duration::from_millis(300);
const RELAY_COUNT: usize = 3;
/// Time between gossip rounds; a round is skipped while there is nothing to pass on.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
const GOSSIP_FANOUT: usize = 2;
/// Gossip rounds after a change of this host's revision that run even without queued updates.
const REVISION_GOSSIP_ROUNDS: u32 = 3;
const MAX_UPDATE_BYTES: usize = 900;
/// Largest health penalty. Probe intervals and timeouts are multiplied by the penalty plus one.
const MAX_HEALTH_PENALTY: u32 = 3;
/// A tick that is at least this late means that this process was stalled or paused.
const STALL_THRESHOLD: Duration = Duration::from_millis(900);
/// A host that received no datagram for this long is isolated: it suspects no other host and
/// declares none dead, as the fault is more likely its own.
const ISOLATION_THRESHOLD: Duration = Duration::from_millis(1_500);
/// Time without any datagram after which an isolated host no longer withholds its suspicions, as
/// all other hosts may really be dead.
const ISOLATION_LIMIT: Duration = Duration::from_secs(12);
const REJOIN_INTERVAL: Duration = Duration::from_secs(5);
/// Time to wait for the answer of a dead host before it may be probed again.
const REJOIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest time between two pulls of the whole state from a peer.
const MIN_PULL_INTERVAL: Duration = Duration::from_secs(5);
/// Growth of the interval of periodic pulls per live host. As the state grows with the number of
/// hosts, the cost of pulls per second stays constant.
const PULL_INTERVAL_PER_HOST: Duration = Duration::from_millis(50);
/// Time after which a host that is dead here is accepted as alive again on the word of a peer, or
/// probed when it sends a datagram. Before that, the peer may just not know of the death yet.
const MIN_REVIVAL_AGE: Duration = Duration::from_secs(15);

/// A datagram to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingPacket {
    /// Peer address of the receiver.
    pub to: SocketAddr,
    /// Content, still without authentication.
    pub packet: GossipPacket,
}

/// Event that the caller of the protocol handles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipEvent {
    /// A host joined, or a dead one is alive again.
    Joined(HostId),
    /// A host was declared dead, as it did not refute a suspicion in time.
    Died(HostId),
    /// A host announced that it leaves, as part of a planned stop.
    Left(HostId),
    /// The caller should pull the whole state from the host at this address and pass it to
    /// [`GossipCore::merge_state`].
    PullFrom(SocketAddr),
    /// The host at this address has a newer revision of the terms in force; emitted once per
    /// revision.
    NewerRevision(Revision, SocketAddr),
}

struct RunningProbe {
    target: HostId,
    sent_at: Instant,
    relays_asked: u32,
    nacks: u32,
}

/// A ping to a host that is dead here. Its acknowledgement proves that datagrams pass in both
/// directions.
struct RejoinProbe {
    number: u64,
    sent_at: Instant,
}

struct RelayedProbe {
    requester: SocketAddr,
    requester_probe: u64,
    sent_at: Instant,
}

/// Protocol state of this host: the table of other hosts, probes in flight, timers and queued
/// output.
pub struct GossipCore {
    own: PeerHost,
    table: HostTable,
    update_queue: UpdateQueue,
    probes: HashMap<u64, RunningProbe>,
    relayed: HashMap<u64, RelayedProbe>,
    next_probe: u64,
    health_penalty: u32,
    revision_rounds_left: u32,
    hinted_revision: Revision,
    last_tick_at: Instant,
    last_received_at: Instant,
    probe_at: Instant,
    gossip_at: Instant,
    rejoin_at: Instant,
    rejoin_probes: HashMap<HostId, RejoinProbe>,
    reconnected_at: Option<Instant>,
    pull_at: Instant,
    last_pull_at: Option<Instant>,
    rng: StdRng,
    outbox: Vec<OutgoingPacket>,
    events: Vec<GossipEvent>,
    view_changed: bool,
}

impl GossipCore {
    /// Returns the state of a host that knows no other; `seed` makes all random choices
    /// reproducible.
    pub fn new(own: PeerHost, seed: u64, now: Instant) -> Self {
        Self {
            own,
            table: HostTable::default(),
            update_queue: UpdateQueue::default(),
            probes: HashMap::default(),
            relayed: HashMap::default(),
            next_probe: 1,
            health_penalty: 0,
            revision_rounds_left: 0,
            hinted_revision: Revision(0),
            last_tick_at: now,
            last_received_at: now,
            probe_at: now,
            gossip_at: now,
            rejoin_at: now + REJOIN_INTERVAL,
            rejoin_probes: HashMap::default(),
            reconnected_at: None,
            pull_at: now + MIN_PULL_INTERVAL,
            last_pull_at: None,
            rng: StdRng::seed_from_u64(seed),
            outbox: Vec::new(),
            events: Vec::new(),
            view_changed: false,
        }
    }

    /// This host, as it announces itself to others.
    pub fn own(&self) -> &PeerHost {
        &self.own
    }

    /// Removes and returns the datagrams to send.
    pub fn take_outgoing(&mut self) -> Vec<OutgoingPacket> {
        std::mem::take(&mut self.outbox)
    }

    /// Removes and returns the events since the last call, in order.
    pub fn take_events(&mut self) -> Vec<GossipEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns whether the view changed since the last call.
    pub fn take_view_changed(&mut self) -> bool {
        std::mem::take(&mut self.view_changed)
    }

    /// The current view: all hosts that are not dead, this one included, sorted by name.
    pub fn view(&self) -> HostView {
        let mut hosts: Vec<Arc<PeerHost>> = Vec::with_capacity(self.table.live_count() + 1);
        hosts.extend(self.table.live().map(|record| record.host.clone()));
        let index = hosts.partition_point(|host| host.id < self.own.id);
        hosts.insert(index, Arc::new(self.own.clone()));
        HostView { hosts }
    }

    /// Sets the revision of the terms in force on this host and gossips it to others with the next
    /// rounds. A revision that is not newer is ignored.
    pub fn set_revision(&mut self, revision: Revision) {
        if revision <= self.own.revision {
            return;
        }
        self.own.revision = revision;
        self.hinted_revision = self.hinted_revision.max(revision);
        self.revision_rounds_left = REVISION_GOSSIP_ROUNDS;
        self.view_changed = true;
    }

    /// Sets whether this host drains before a stop, and announces that with a new incarnation.
    pub fn set_draining(&mut self, draining: bool, now: Instant) {
        self.own.state = match draining {
            true => HostState::Draining,
            false => HostState::Live,
        };
        self.own.incarnation += 1;
        self.view_changed = true;
        self.update_queue.push(HostUpdate::Alive(self.own.clone()));
        self.gossip(now);
    }

    /// Announces that this host leaves now, in two gossip rounds at once as it sends nothing later.
    pub fn leave(&mut self, now: Instant) {
        self.update_queue.push(HostUpdate::Dead {
            id: self.own.id.clone(),
            incarnation: self.own.incarnation,
            by: self.own.id.clone(),
        });
        self.gossip(now);
        self.gossip(now);
    }

    /// Pings whichever host is at `address` and announces this host to it; used to join the fleet.
    pub fn contact(&mut self, address: SocketAddr) {
        if address == self.own.peer_address {
            return;
        }
        let message = GossipMessage::Ping {
            probe: 0,
            target: None,
        };
        let updates = vec![HostUpdate::Alive(self.own.clone())];
        self.send_with(address, message, updates);
    }

    /// Pings hosts whose known revision is older than `revision`; their acknowledgements carry the
    /// current one.
    pub fn request_revisions(&mut self, revision: Revision) {
        let behind: Vec<(HostId, SocketAddr)> = self
            .table
            .live()
            .filter(|record| record.host.revision < revision)
            .map(|record| (record.host.id.clone(), record.host.peer_address))
            .collect();
        for (target, address) in behind {
            let message = GossipMessage::Ping {
                probe: 0,
                target: Some(target),
            };
            self.send(address, message);
        }
    }

    /// All hosts that are not dead, this one included, as a peer pulls them: with the states that
    /// they announced, without suspicions of this host.
    pub fn state(&self) -> Vec<PeerHost> {
        let others = self.table.live().map(HostRecord::announcement);
        others.chain([self.own.clone()]).collect()
    }

    /// Merges the state pulled from another host. Unknown hosts and higher incarnations are
    /// adopted; a host that is dead here becomes alive again at the same incarnation only after a
    /// reconnection, or if it died longer than `MIN_REVIVAL_AGE` ago.
    pub fn merge_state(&mut self, hosts: Vec<PeerHost>, now: Instant) {
        let reconnected = self
            .reconnected_at
            .is_some_and(|at| now.duration_since(at) < MIN_PULL_INTERVAL);
        let newest = hosts.iter().max_by_key(|host| host.revision);
        if let Some((revision, address)) = newest.map(|host| (host.revision, host.peer_address)) {
            self.hint_revision(revision, address);
        }
        for host in hosts {
            if host.id == self.own.id {
                self.refute_if_stale(&host);
                continue;
            }
            let revived = match self.table.get(&host.id) {
                None => true,
                Some(record) if host.incarnation > record.host.incarnation => true,
                Some(record) => match record.status {
                    LivenessStatus::Dead { since, left: false } => {
                        host.incarnation == record.host.incarnation
                            && (reconnected || now.duration_since(since) > MIN_REVIVAL_AGE)
                    }
                    _ => {
                        let (id, revision) = (host.id.clone(), host.revision);
                        self.view_changed |= self.table.set_revision(&id, revision);
                        false
                    }
                },
            };
            if revived {
                self.insert_alive(host);
            }
        }
    }

    /// Earliest time at which [`GossipCore::tick`] has work to do.
    pub fn next_wake(&self) -> Instant {
        let mut wake = self.probe_at.min(self.rejoin_at).min(self.pull_at);
        if self.has_gossip() {
            wake = wake.min(self.gossip_at);
        }
        for probe in self.probes.values() {
            let timeout = match probe.relays_asked {
                0 => self.scaled(DIRECT_TIMEOUT),
                _ => self.scaled(PROBE_TIMEOUT),
            };
            wake = wake.min(probe.sent_at + timeout);
        }
        for relayed in self.relayed.values() {
            wake = wake.min(relayed.sent_at + RELAY_TIMEOUT);
        }
        if let Some(deadline) = self.table.next_deadline() {
            wake = wake.min(deadline.max(self.last_tick_at + GOSSIP_INTERVAL));
        }
        wake
    }

    /// Handles all timers that are due at `now`: probes, suspicions, pulls and gossip.
    pub fn tick(&mut self, now: Instant) {
        self.handle_stall(now);
        self.last_tick_at = now;
        self.check_probes(now);
        self.expire_relayed(now);
        self.expire_suspicions(now);
        if now >= self.probe_at {
            self.probe_at = now + self.scaled(PROBE_INTERVAL);
            self.probe_next(now);
        }
        if now >= self.rejoin_at {
            let jitter = self.rng.random_range(0.75..1.25);
            self.rejoin_at = now + REJOIN_INTERVAL.mul_f64(jitter);
            self.probe_dead(now);
        }
        if now >= self.pull_at {
            let interval = PULL_INTERVAL_PER_HOST * self.table.live_count() as u32;
            let jitter = self.rng.random_range(0.75..1.25);
            self.pull_at = now + interval.max(MIN_PULL_INTERVAL * 2).mul_f64(jitter);
            self.pull_from_random(now);
        }
        if now >= self.gossip_at && self.has_gossip() {
            self.gossip(now);
        }
    }

    /// Handles a datagram that was authenticated and came from `source`.
    pub fn receive(&mut self, packet: GossipPacket, source: SocketAddr, now: Instant) {
        if packet.from == self.own.id {
            return;
        }
        self.last_received_at = now;
        let was_alone = self.table.live_count() == 0;
        let was_dead = self
            .table
            .get(&packet.from)
            .is_some_and(HostRecord::is_dead);
        for update in packet.updates {
            self.apply(update, now);
        }
        if let GossipMessage::Ack { probe } = packet.message {
            self.complete_rejoin(probe, &packet.from, packet.incarnation);
        }
        let sender = self.check_sender(&packet.from, packet.incarnation, source, now);
        let is_live = self
            .table
            .get(&packet.from)
            .is_some_and(|record| !record.is_dead());
        if is_live && (was_alone || was_dead) {
            self.reconnected_at = Some(now);
            self.request_pull(source, now);
        }
        self.record_revision(&packet.from, packet.revision, source);
        match packet.message {
            GossipMessage::Ping { probe, target } => {
                if target.is_none_or(|target| target == self.own.id) {
                    self.send_with(source, GossipMessage::Ack { probe }, sender);
                }
            }
            GossipMessage::Ack { probe } => self.handle_ack(probe),
            GossipMessage::Nack { probe } => {
                if let Some(probe) = self.probes.get_mut(&probe) {
                    probe.nacks += 1;
                }
            }
            GossipMessage::PingRequest {
                probe,
                target,
                address,
            } => self.relay(probe, target, address, source, now),
            GossipMessage::Introduce => {
                let updates = vec![HostUpdate::Alive(self.own.clone())];
                self.send_with(source, GossipMessage::Gossip, updates);
            }
            GossipMessage::Gossip => {
                if !sender.is_empty() {
                    self.send_with(source, GossipMessage::Gossip, sender);
                }
            }
        }
    }

    /// Compares the sender's incarnation with the known one, and asks an unknown or newer sender to
    /// introduce itself.
    ///
    /// Returns a suspicion against the sender if its incarnation is outdated or it is suspected or
    /// dead here, so that it refutes that with a new incarnation.
    fn check_sender(
        &mut self,
        from: &HostId,
        incarnation: u64,
        source: SocketAddr,
        now: Instant,
    ) -> Vec<HostUpdate> {
        let known = self.table.get(from);
        let Some(record) = known.filter(|record| record.host.incarnation >= incarnation) else {
            self.send(source, GossipMessage::Introduce);
            return Vec::new();
        };
        let (id, by) = (from.clone(), self.own.id.clone());
        let known = record.host.incarnation;
        match record.status {
            LivenessStatus::Dead { left: true, .. } if known == incarnation => Vec::new(),
            LivenessStatus::Dead { since, .. } if now.duration_since(since) > MIN_REVIVAL_AGE => {
                self.probe_rejoin(id, source, now);
                Vec::new()
            }
            LivenessStatus::Alive if known == incarnation => Vec::new(),
            _ => vec![HostUpdate::Suspect {
                id,
                incarnation: known,
                by,
            }],
        }
    }

    fn record_revision(&mut self, from: &HostId, revision: Revision, source: SocketAddr) {
        self.view_changed |= self.table.set_revision(from, revision);
        self.hint_revision(revision, source);
    }

    fn hint_revision(&mut self, revision: Revision, source: SocketAddr) {
        if revision > self.own.revision && revision > self.hinted_revision {
            self.hinted_revision = revision;
            self.events
                .push(GossipEvent::NewerRevision(revision, source));
        }
    }

    fn apply(&mut self, update: HostUpdate, now: Instant) {
        match update {
            HostUpdate::Alive(host) => self.apply_alive(host),
            HostUpdate::Suspect {
                id,
                incarnation,
                by,
            } => self.apply_suspect(id, incarnation, by, now),
            HostUpdate::Dead {
                id,
                incarnation,
                by,
            } => self.apply_dead(id, incarnation, by, now),
        }
    }

    fn apply_alive(&mut self, host: PeerHost) {
        if host.id == self.own.id {
            self.refute_if_stale(&host);
            return;
        }
        let known = self.table.get(&host.id);
        if known.is_some_and(|record| record.host.incarnation >= host.incarnation) {
            return;
        }
        self.update_queue.push(HostUpdate::Alive(host.clone()));
        self.insert_alive(host);
    }

    fn apply_suspect(&mut self, id: HostId, incarnation: u64, by: HostId, now: Instant) {
        if id == self.own.id {
            self.refute(incarnation);
            return;
        }
        let Some(record) = self.table.get(&id) else {
            return;
        };
        if incarnation < record.host.incarnation || record.is_dead() {
            return;
        }
        let update = HostUpdate::Suspect {
            id: id.clone(),
            incarnation,
            by: by.clone(),
        };
        match self.table.suspicion_mut(&id) {
            Some(suspicion) => {
                if suspicion.accusers.insert(by) {
                    self.update_queue.push(update);
                }
            }
            None => {
                let status = LivenessStatus::Suspect(Suspicion::new(now, by));
                self.table.set_status(&id, status);
                self.view_changed = true;
                self.update_queue.push(update);
            }
        }
    }

    /// Marks a host as dead, or as `left` if it announced that itself, and queues the update for
    /// others.
    fn mark_dead(&mut self, id: HostId, incarnation: u64, by: HostId, left: bool, now: Instant) {
        self.table
            .set_status(&id, LivenessStatus::Dead { since: now, left });
        self.view_changed = true;
        self.events.push(match left {
            true => GossipEvent::Left(id.clone()),
            false => GossipEvent::Died(id.clone()),
        });
        self.update_queue.push(HostUpdate::Dead {
            id,
            incarnation,
            by,
        });
    }

    fn apply_dead(&mut self, id: HostId, incarnation: u64, by: HostId, now: Instant) {
        if id == self.own.id {
            if by != self.own.id {
                self.refute(incarnation);
            }
            return;
        }
        let Some(record) = self.table.get(&id) else {
            return;
        };
        if incarnation < record.host.incarnation || record.is_dead() {
            return;
        }
        if by == id {
            self.mark_dead(id, incarnation, by, true, now);
            return;
        }
        self.apply_suspect(id.clone(), incarnation, by, now);
        if let Some(suspicion) = self.table.suspicion_mut(&id) {
            suspicion.declared_dead = true;
        }
    }

    fn insert_alive(&mut self, host: PeerHost) {
        let known = self.table.get(&host.id);
        if known.is_none_or(HostRecord::is_dead) {
            self.events.push(GossipEvent::Joined(host.id.clone()));
        }
        self.table.insert_alive(host, &mut self.rng);
        self.view_changed = true;
    }

    fn refute_if_stale(&mut self, host: &PeerHost) {
        let same = host.peer_address == self.own.peer_address
            && host.caller_address == self.own.caller_address
            && host.state == self.own.state;
        let newer = host.incarnation > self.own.incarnation;
        if newer || host.incarnation == self.own.incarnation && !same {
            self.refute(host.incarnation);
        }
    }

    fn refute(&mut self, incarnation: u64) {
        if incarnation < self.own.incarnation {
            return;
        }
        self.own.incarnation = incarnation + 1;
        self.view_changed = true;
        self.raise_health_penalty();
        self.update_queue.push(HostUpdate::Alive(self.own.clone()));
    }

    fn raise_health_penalty(&mut self) {
        self.health_penalty = (self.health_penalty + 1).min(MAX_HEALTH_PENALTY);
    }

    fn scaled(&self, interval: Duration) -> Duration {
        interval * (self.health_penalty + 1)
    }

    fn is_isolated(&self, now: Instant) -> bool {
        let silence = now.duration_since(self.last_received_at);
        silence > ISOLATION_THRESHOLD && silence < ISOLATION_LIMIT
    }

    /// Drops probes and extends suspicions if this process was stalled: timeouts that passed
    /// meanwhile say nothing about other hosts.
    fn handle_stall(&mut self, now: Instant) {
        let gap = now.duration_since(self.last_tick_at);
        let late = now.saturating_duration_since(self.next_wake().max(self.last_tick_at));
        if late < STALL_THRESHOLD {
            return;
        }
        self.probes.clear();
        self.relayed.clear();
        self.table.extend_suspicions(gap);
        self.last_received_at += gap;
        self.raise_health_penalty();
    }

    fn check_probes(&mut self, now: Instant) {
        let direct = self.scaled(DIRECT_TIMEOUT);
        let whole = self.scaled(PROBE_TIMEOUT);
        let due = |probe: &RunningProbe| {
            let age = now.duration_since(probe.sent_at);
            age >= whole || probe.relays_asked == 0 && age >= direct
        };
        let probes = self.probes.iter();
        let mut numbers: Vec<u64> = probes
            .filter(|(_, probe)| due(probe))
            .map(|(number, _)| *number)
            .collect();
        numbers.sort_unstable();
        for number in numbers {
            let Some(probe) = self.probes.get(&number) else {
                continue;
            };
            match now.duration_since(probe.sent_at) >= whole {
                true => self.fail_probe(number, now),
                false => self.request_relays(number),
            }
        }
    }

    fn request_relays(&mut self, number: u64) {
        let Some(probe) = self.probes.get(&number) else {
            return;
        };
        let target = probe.target.clone();
        let Some(address) = self.address_of(&target) else {
            return;
        };
        let relays = self.table.sample_live(RELAY_COUNT, &target, &mut self.rng);
        let relays: Vec<SocketAddr> = relays
            .into_iter()
            .map(|record| record.host.peer_address)
            .collect();
        if let Some(probe) = self.probes.get_mut(&number) {
            // At least one even without relays, so that this runs only once per probe.
            probe.relays_asked = relays.len().max(1) as u32;
        }
        for relay in relays {
            let message = GossipMessage::PingRequest {
                probe: number,
                target: target.clone(),
                address,
            };
            self.send(relay, message);
        }
    }

    fn fail_probe(&mut self, number: u64, now: Instant) {
        let Some(probe) = self.probes.remove(&number) else {
            return;
        };
        if probe.nacks < probe.relays_asked && self.table.live_count() > 1 {
            self.raise_health_penalty();
        }
        if self.is_isolated(now) {
            return;
        }
        let Some(record) = self.table.get(&probe.target) else {
            return;
        };
        let incarnation = record.host.incarnation;
        let by = self.own.id.clone();
        self.apply_suspect(probe.target.clone(), incarnation, by, now);
        // Tells the host of the suspicion at once, so that it can refute it early.
        if let Some(address) = self.address_of(&probe.target) {
            self.ping(&probe.target, address);
        }
    }

    fn expire_relayed(&mut self, now: Instant) {
        let late = |relayed: &RelayedProbe| now.duration_since(relayed.sent_at) >= RELAY_TIMEOUT;
        let numbers: Vec<u64> = self
            .relayed
            .iter()
            .filter(|(_, relayed)| late(relayed))
            .map(|(number, _)| *number)
            .collect();
        for number in numbers {
            if let Some(relayed) = self.relayed.remove(&number) {
                let message = GossipMessage::Nack {
                    probe: relayed.requester_probe,
                };
                self.send(relayed.requester, message);
            }
        }
    }

    fn expire_suspicions(&mut self, now: Instant) {
        if self.is_isolated(now) {
            return;
        }
        let others = self.table.live_count();
        for id in self.table.suspects() {
            let deadline = match self.table.suspicion_mut(&id) {
                Some(suspicion) => suspicion.deadline(others),
                None => continue,
            };
            if now < deadline {
                continue;
            }
            let incarnation = self
                .table
                .get(&id)
                .map_or(0, |record| record.host.incarnation);
            let by = self.own.id.clone();
            self.mark_dead(id, incarnation, by, false, now);
        }
    }

    fn probe_next(&mut self, now: Instant) {
        let Some(record) = self.table.next_target(&mut self.rng) else {
            return;
        };
        let (target, address) = (record.host.id.clone(), record.host.peer_address);
        let number = self.ping(&target, address);
        self.probes.insert(
            number,
            RunningProbe {
                target,
                sent_at: now,
                relays_asked: 0,
                nacks: 0,
            },
        );
    }

    /// Pings a host and returns the probe's number. The ping carries a suspicion against the host,
    /// if there is one, so that the host can refute it.
    fn ping(&mut self, target: &HostId, address: SocketAddr) -> u64 {
        let number = self.new_probe();
        let mut updates = Vec::new();
        if let Some(record) = self.table.get(target)
            && matches!(record.status, LivenessStatus::Suspect(_))
        {
            updates.push(HostUpdate::Suspect {
                id: target.clone(),
                incarnation: record.host.incarnation,
                by: self.own.id.clone(),
            });
        }
        let message = GossipMessage::Ping {
            probe: number,
            target: Some(target.clone()),
        };
        self.send_with(address, message, updates);
        number
    }

    /// Probes one random dead host, which rejoins if it answers. This heals partitions.
    fn probe_dead(&mut self, now: Instant) {
        let Some(record) = self.table.sample_dead(now, &mut self.rng) else {
            return;
        };
        let (target, address) = (record.host.id.clone(), record.host.peer_address);
        self.probe_rejoin(target, address, now);
    }

    fn probe_rejoin(&mut self, target: HostId, address: SocketAddr, now: Instant) {
        self.rejoin_probes
            .retain(|_, rejoin| now.duration_since(rejoin.sent_at) < REJOIN_TIMEOUT);
        if self.rejoin_probes.contains_key(&target) {
            return;
        }
        let number = self.new_probe();
        let message = GossipMessage::Ping {
            probe: number,
            target: Some(target.clone()),
        };
        self.rejoin_probes.insert(
            target,
            RejoinProbe {
                number,
                sent_at: now,
            },
        );
        let updates = vec![HostUpdate::Alive(self.own.clone())];
        self.send_with(address, message, updates);
    }

    /// Marks a dead host as alive if it acknowledged this host's rejoin probe at the same
    /// incarnation.
    fn complete_rejoin(&mut self, probe: u64, from: &HostId, incarnation: u64) {
        let asked = self.rejoin_probes.get(from);
        if asked.is_none_or(|rejoin| rejoin.number != probe) {
            return;
        }
        self.rejoin_probes.remove(from);
        let Some(record) = self.table.get(from) else {
            return;
        };
        if record.is_dead() && record.host.incarnation == incarnation {
            let host = record.announcement();
            self.insert_alive(host);
        }
    }

    fn pull_from_random(&mut self, now: Instant) {
        let own = self.own.id.clone();
        let chosen = self.table.sample_live(1, &own, &mut self.rng);
        let address = chosen.first().map(|record| record.host.peer_address);
        if let Some(address) = address {
            self.request_pull(address, now);
        }
    }

    fn request_pull(&mut self, address: SocketAddr, now: Instant) {
        let recent = |at: Instant| now.duration_since(at) < MIN_PULL_INTERVAL;
        if self.last_pull_at.is_some_and(recent) {
            return;
        }
        self.last_pull_at = Some(now);
        self.events.push(GossipEvent::PullFrom(address));
    }

    fn has_gossip(&self) -> bool {
        self.table.live_count() > 0
            && (!self.update_queue.is_empty() || self.revision_rounds_left > 0)
    }

    fn gossip(&mut self, now: Instant) {
        self.gossip_at = now + GOSSIP_INTERVAL;
        self.revision_rounds_left = self.revision_rounds_left.saturating_sub(1);
        let own = self.own.id.clone();
        let chosen = self.table.sample_live(GOSSIP_FANOUT, &own, &mut self.rng);
        let addresses: Vec<SocketAddr> = chosen
            .into_iter()
            .map(|record| record.host.peer_address)
            .collect();
        for address in addresses {
            self.send(address, GossipMessage::Gossip);
        }
    }

    fn handle_ack(&mut self, probe: u64) {
        if let Some(relayed) = self.relayed.remove(&probe) {
            let message = GossipMessage::Ack {
                probe: relayed.requester_probe,
            };
            self.send(relayed.requester, message);
            return;
        }
        if self.probes.remove(&probe).is_some() {
            self.health_penalty = self.health_penalty.saturating_sub(1);
        }
    }

    fn relay(
        &mut self,
        probe: u64,
        target: HostId,
        address: SocketAddr,
        requester: SocketAddr,
        now: Instant,
    ) {
        const MAX_RELAYED: usize = 4_096;
        if self.relayed.len() >= MAX_RELAYED {
            return;
        }
        let number = self.ping(&target, address);
        self.relayed.insert(
            number,
            RelayedProbe {
                requester,
                requester_probe: probe,
                sent_at: now,
            },
        );
    }

    fn address_of(&self, id: &HostId) -> Option<SocketAddr> {
        let record = self.table.get(id)?;
        Some(record.host.peer_address)
    }

    fn new_probe(&mut self) -> u64 {
        let number = self.next_probe;
        self.next_probe += 1;
        number
    }

    fn send(&mut self, to: SocketAddr, message: GossipMessage) {
        self.send_with(to, message, Vec::new());
    }

    /// Sends `message` with `updates` first and as many queued updates as fit after them.
    fn send_with(&mut self, to: SocketAddr, message: GossipMessage, updates: Vec<HostUpdate>) {
        let used: usize = updates.iter().map(HostUpdate::size).sum();
        let hosts = self.table.live_count() + 1;
        let queued = self
            .update_queue
            .take(MAX_UPDATE_BYTES.saturating_sub(used), hosts);
        let packet = GossipPacket {
            from: self.own.id.clone(),
            incarnation: self.own.incarnation,
            revision: self.own.revision,
            message,
            updates: updates.into_iter().chain(queued).collect(),
        };
        self.outbox.push(OutgoingPacket { to, packet });
    }
}
