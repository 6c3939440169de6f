//! Runs the membership protocol over UDP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::info;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::clock::TimeOfDay;
use crate::clock::unix_millis;
use crate::collections::HashSet;
use crate::counters::CounterEvent;
use crate::counters::CounterSet;
use crate::counters::RetryReason;
use crate::decisions::DecisionKind;
use crate::decisions::DecisionRing;
use crate::membership::Membership;
use crate::membership::message::MembershipCall;
use crate::membership::protocol::GossipEvent;
use crate::membership::seal::PacketSealer;
use crate::membership::seal::SealError;
use crate::membership::seeds::SeedSources;
use crate::peers::PeerClient;

const MAX_DATAGRAM_BYTES: usize = 2_048;
const PULL_TIMEOUT: Duration = Duration::from_secs(3);
/// Shortest time between two published views; changes within it are published together.
const MIN_VIEW_INTERVAL: Duration = Duration::from_millis(50);
/// Interval in which hosts whose datagrams are for another time are answered once.
const CLOCK_ANSWER_INTERVAL: Duration = Duration::from_secs(1);
/// Most such hosts that are answered in one interval.
const MAX_CLOCK_ANSWERS: usize = 32;

/// Drives the membership protocol of this host: sends and receives its datagrams over UDP, calls it
/// when a timer is due, publishes changed views and pulls state from peers.
pub struct MembershipAgent {
    membership: Arc<Membership>,
    socket: UdpSocket,
    sealer: PacketSealer,
    seeds: SeedSources,
    peer_client: PeerClient,
    counters: Arc<CounterSet>,
    decisions: Arc<DecisionRing>,
    time_of_day: TimeOfDay,
    /// Hosts with other clocks that were answered since a time.
    clock_answers: (Instant, HashSet<SocketAddr>),
}

impl MembershipAgent {
    /// Returns an agent that uses `socket` and authenticates datagrams with the shared `secret`.
    pub fn new(
        membership: Arc<Membership>,
        socket: UdpSocket,
        secret: String,
        seeds: SeedSources,
        peer_client: PeerClient,
        counters: Arc<CounterSet>,
        decisions: Arc<DecisionRing>,
    ) -> Self {
        let own = membership.own_address();
        Self {
            membership,
            socket,
            sealer: PacketSealer::new(secret, own, rand::random()),
            seeds,
            peer_client,
            counters,
            decisions,
            time_of_day: unix_millis,
            clock_answers: (Instant::now(), HashSet::default()),
        }
    }

    /// Replaces the clock by which datagrams are sealed and opened.
    pub fn with_time_of_day(self, time_of_day: TimeOfDay) -> Self {
        Self {
            time_of_day,
            ..self
        }
    }

    /// Runs the protocol until `stop` is cancelled, then announces to a few peers that the host
    /// leaves.
    pub async fn run(mut self, stop: CancellationToken) {
        let seeds = self.seeds.clone();
        let membership = self.membership.clone();
        let seed_task = tokio::spawn(async move { seeds.run(membership).await });
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut published_at = Instant::now();
        loop {
            self.send_all().await;
            self.handle_events();
            let wake = self.membership.next_wake();
            let publish_at = published_at + MIN_VIEW_INTERVAL;
            let changed = self.membership.view_changed();
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    // A receive error reports an earlier datagram that reached no listener (ICMP
                    // port unreachable); the peer's failure is found by its missing
                    // acknowledgement.
                    if let Ok((length, source)) = received {
                        self.receive(&buffer[..length], source);
                    }
                }
                () = tokio::time::sleep_until(wake) => self.membership.tick(),
                () = tokio::time::sleep_until(publish_at), if changed => {
                    self.membership.publish();
                    published_at = Instant::now();
                }
                () = self.membership.woken() => {}
                () = stop.cancelled() => break,
            }
        }
        seed_task.abort();
        self.membership.leave();
        self.send_all().await;
    }

    fn receive(&mut self, datagram: &[u8], source: SocketAddr) {
        let seconds = (self.time_of_day)() / 1000;
        match self.sealer.open(datagram, source, seconds) {
            Ok(packet) => self.membership.receive(packet, source),
            Err(err) => {
                self.counters.event(CounterEvent::PeerMessageRejected);
                if err == SealError::Expired {
                    self.answer_other_clock(source);
                }
            }
        }
    }

    /// Sends the host at `source`, whose clock differs, a datagram by which both prove that theirs are new.
    fn answer_other_clock(&mut self, source: SocketAddr) {
        self.counters.event(CounterEvent::PeerClockDiffers);
        let (since, answered) = &mut self.clock_answers;
        if since.elapsed() >= CLOCK_ANSWER_INTERVAL {
            *since = Instant::now();
            answered.clear();
        }
        if answered.len() < MAX_CLOCK_ANSWERS && answered.insert(source) {
            self.membership.contact(source);
        }
    }

    async fn send_all(&mut self) {
        for outgoing in self.membership.take_outgoing() {
            let seconds = (self.time_of_day)() / 1000;
            let datagram = self.sealer.seal(outgoing.packet, outgoing.to, seconds);
            self.membership.count_sent(datagram.len());
            // The protocol tolerates lost datagrams, so one that cannot be sent counts as lost.
            let _ = self.socket.send_to(&datagram, outgoing.to).await;
        }
    }

    fn handle_events(&mut self) {
        for event in self.membership.take_events() {
            match event {
                GossipEvent::Joined(id) => {
                    self.counters.event(CounterEvent::HostJoined);
                    self.record_event(id.as_str(), "joined");
                }
                GossipEvent::Died(id) => {
                    self.counters.event(CounterEvent::HostDead);
                    self.record_event(
                        id.as_str(),
                        "is dead: it did not refute a suspicion in time",
                    );
                }
                GossipEvent::Left(id) => self.record_event(id.as_str(), "has left"),
                GossipEvent::PullFrom(address) => self.pull(address),
                GossipEvent::NewerRevision(revision, address) => {
                    self.membership.publish_hint(revision, address);
                }
            }
        }
    }

    fn record_event(&self, id: &str, change: &str) {
        info!("host {id} {change}");
        self.decisions.record(
            DecisionKind::Membership,
            &[id],
            format!("host {id} {change}"),
        );
    }

    fn pull(&self, address: SocketAddr) {
        let membership = self.membership.clone();
        let peer_client = self.peer_client.clone();
        let counters = self.counters.clone();
        tokio::spawn(async move {
            let call = peer_client.call(address, MembershipCall, PULL_TIMEOUT);
            match call.await {
                Ok(hosts) => membership.merge_state(hosts),
                _ => counters.retry(RetryReason::PeerFailed),
            }
        });
    }
}
