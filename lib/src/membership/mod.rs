//! Membership of the fleet: which entry hosts are alive, their addresses, and the revision of the
//! terms that is in force on each.
//!
//! `protocol` is a SWIM-style failure detector and gossip protocol without I/O; `agent` runs it
//! over UDP, and `seal` authenticates its datagrams.

mod agent;
mod host_table;
mod message;
mod protocol;
mod seal;
mod seeds;
mod update_queue;
mod view;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;

pub use agent::MembershipAgent;
pub use message::GossipMessage;
pub use message::GossipPacket;
pub use message::HostUpdate;
pub use message::MembershipCall;
pub use protocol::GossipCore;
pub use protocol::GossipEvent;
pub use protocol::OutgoingPacket;
pub use seal::PacketSealer;
pub use seal::SealError;
pub use seeds::SEEDS_KEY;
pub use seeds::SeedSources;
pub use view::HostState;
pub use view::HostView;
pub use view::PeerHost;
pub use view::rendezvous_score;

use crate::ids::HostId;
use crate::ids::Revision;

/// Hint that a host has a newer revision of the terms in force than this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RevisionHint {
    /// Revision in force on that host.
    pub revision: Revision,
    /// Peer address of that host; `None` before the first hint.
    pub address: Option<SocketAddr>,
}

/// Membership of this host in the fleet: shared handle to the protocol state, with the published
/// view of all hosts. A [`MembershipAgent`] runs the protocol.
pub struct Membership {
    id: HostId,
    address: SocketAddr,
    core: Mutex<GossipCore>,
    view: watch::Sender<Arc<HostView>>,
    hints: watch::Sender<RevisionHint>,
    view_changed: AtomicBool,
    wake: Notify,
    sent_datagrams: AtomicU64,
    sent_bytes: AtomicU64,
}

impl Membership {
    /// Returns a membership that knows only `own`.
    pub fn new(own: PeerHost) -> Self {
        let id = own.id.clone();
        let address = own.peer_address;
        let core = GossipCore::new(own, rand::random(), Instant::now());
        let (view, _) = watch::channel(Arc::new(core.view()));
        let (hints, _) = watch::channel(RevisionHint::default());
        Self {
            id,
            address,
            core: Mutex::new(core),
            view,
            hints,
            view_changed: AtomicBool::new(false),
            wake: Notify::new(),
            sent_datagrams: AtomicU64::new(0),
            sent_bytes: AtomicU64::new(0),
        }
    }

    /// The view that was published last.
    pub fn view(&self) -> Arc<HostView> {
        self.view.borrow().clone()
    }

    /// Subscribes to published views; a slow receiver sees only the newest.
    pub fn subscribe(&self) -> watch::Receiver<Arc<HostView>> {
        self.view.subscribe()
    }

    /// Subscribes to hints about hosts that have newer terms than this one; a slow receiver sees
    /// only the newest.
    pub fn revision_hints(&self) -> watch::Receiver<RevisionHint> {
        self.hints.subscribe()
    }

    /// Name of this host.
    pub fn own_id(&self) -> &HostId {
        &self.id
    }

    /// Address of this host for other entry hosts.
    pub fn own_address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the revision of the terms in force on this host and announces it to others. An older
    /// revision than the current one is ignored.
    pub fn set_revision(&self, revision: Revision) {
        self.core().set_revision(revision);
        self.publish();
        self.wake.notify_one();
    }

    /// Announces that this host drains before it stops. It is removed from lists of entry hosts at
    /// once, and gets no new assignments.
    pub fn set_draining(&self) {
        self.core().set_draining(true, Instant::now());
        self.publish();
        self.wake.notify_one();
    }

    /// Pings hosts whose known revision is older than `revision`, to learn their current one.
    pub fn request_revisions(&self, revision: Revision) {
        self.core().request_revisions(revision);
        self.wake.notify_one();
    }

    /// All hosts that are not dead, this one included, as a peer pulls them.
    pub fn state(&self) -> Vec<PeerHost> {
        self.core().state()
    }

    /// Number of gossip datagrams, and of their bytes, that this host has sent since it started.
    pub fn sent(&self) -> (u64, u64) {
        let datagrams = self.sent_datagrams.load(Ordering::Relaxed);
        (datagrams, self.sent_bytes.load(Ordering::Relaxed))
    }

    /// Whether the view has another host that can take over assignments of this one.
    pub(crate) fn has_assignable_peers(&self) -> bool {
        let view = self.view();
        view.assignable_hosts().any(|host| host.id != self.id)
    }

    pub(crate) fn is_alone(&self) -> bool {
        self.view.borrow().hosts.len() == 1
    }

    pub(crate) fn contact(&self, address: SocketAddr) {
        self.core().contact(address);
        self.wake.notify_one();
    }

    pub(crate) fn merge_state(&self, hosts: Vec<PeerHost>) {
        self.core().merge_state(hosts, Instant::now());
        self.wake.notify_one();
    }

    fn receive(&self, packet: GossipPacket, source: SocketAddr) {
        self.core().receive(packet, source, Instant::now());
    }

    fn tick(&self) {
        self.core().tick(Instant::now());
    }

    fn leave(&self) {
        self.core().leave(Instant::now());
    }

    fn next_wake(&self) -> Instant {
        self.core().next_wake()
    }

    async fn woken(&self) {
        self.wake.notified().await;
    }

    fn take_outgoing(&self) -> Vec<OutgoingPacket> {
        self.core().take_outgoing()
    }

    fn take_events(&self) -> Vec<GossipEvent> {
        self.core().take_events()
    }

    fn publish_hint(&self, revision: Revision, address: SocketAddr) {
        let address = Some(address);
        self.hints.send_replace(RevisionHint { revision, address });
    }

    fn view_changed(&self) -> bool {
        if self.core().take_view_changed() {
            self.view_changed.store(true, Ordering::Relaxed);
        }
        self.view_changed.load(Ordering::Relaxed)
    }

    /// Publishes the current view to subscribers.
    fn publish(&self) {
        let core = self.core();
        self.view_changed.store(false, Ordering::Relaxed);
        self.view.send_replace(Arc::new(core.view()));
    }

    fn count_sent(&self, bytes: usize) {
        self.sent_datagrams.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn core(&self) -> MutexGuard<'_, GossipCore> {
        self.core.lock().expect("membership lock")
    }
}
