//! Counters of refusals, retries and events, kept in memory and sent to statsd.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use cadence::Counted;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::UdpMetricSink;
use strum::EnumCount;
use strum::IntoEnumIterator;

/// Why a request was refused.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumCount,
    strum::EnumIter,
    strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// The key is missing or unknown.
    Unauthenticated,
    /// The key may not do this.
    Forbidden,
    /// The request is malformed.
    BadRequest,
    /// The body or the headers are larger than allowed.
    TooLarge,
    /// The sender did not finish the request in time.
    SlowSender,
    /// The content type is not supported.
    ContentType,
    /// The path or object does not exist.
    NotFound,
    /// The method is not allowed on this path.
    Method,
    /// The model does not exist.
    UnknownModel,
    /// The workspace may not use the model.
    ModelNotAllowed,
    /// The workspace has used its allowance.
    OverCap,
    /// What is left of the allowance could not be learned from the other hosts.
    CapUnconfirmed,
    /// The queue is full, or the deadline would pass in it.
    Overloaded,
    /// The deadline passed.
    DeadlinePassed,
    /// No upstream can run the request.
    NoUpstream,
    /// The upstream failed and a retry was not allowed.
    UpstreamFailed,
    /// The upstream itself refused the request.
    UpstreamRefused,
    /// The request is known to crash upstreams.
    Convicted,
    /// A request with the same idempotency key is running or has an unknown outcome.
    DuplicateInProgress,
    /// The key-value service did not answer.
    StoreUnavailable,
    /// The write lost a race or named an old revision.
    Conflict,
    /// This host is stopping.
    Draining,
    /// This host has not learned the terms yet.
    Starting,
}

/// Why work was tried again.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumCount,
    strum::EnumIter,
    strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum RetryReason {
    /// The connection could not be opened.
    ConnectFailed,
    /// The connection broke before the answer was complete.
    ConnectionBroken,
    /// The upstream made no progress for too long.
    Silent,
    /// The upstream answered with a server error.
    UpstreamError,
    /// The upstream refused for lack of room.
    UpstreamBusy,
    /// The work was stopped in favour of online work.
    Preempted,
    /// The key-value service failed or lost its answer.
    StoreFailed,
    /// A compare-and-swap lost a race.
    StoreConflict,
    /// A peer did not answer.
    PeerFailed,
}

/// Events that are neither refusals nor retries.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumCount,
    strum::EnumIter,
    strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum CounterEvent {
    /// A request was accepted from a caller.
    RequestAccepted,
    /// A request was answered in full.
    RequestAnswered,
    /// A caller left before its answer was complete.
    CallerLeft,
    /// A request was dispatched to an upstream.
    Dispatched,
    /// Batch work was stopped in favour of online work.
    BatchPreempted,
    /// The host that admits to an engine did not answer; this host admitted on its own.
    AdmittedWithoutOwner,
    /// A ticket that its holder did not renew became void.
    TicketExpired,
    /// A retry was not made because retries are too large a part of the traffic.
    RetryBudgetSpent,
    /// A broken stream was resumed.
    StreamResumed,
    /// A batch item was committed.
    ItemCommitted,
    /// A batch job was accepted.
    JobAccepted,
    /// A segment of a job was claimed.
    SegmentClaimed,
    /// A commit was rejected because its claim was no longer held.
    CommitFenced,
    /// A newer revision of the terms came into force.
    TermsAdopted,
    /// An older revision of the terms was offered and ignored.
    TermsStale,
    /// A host was found dead.
    HostDead,
    /// A host joined or came back.
    HostJoined,
    /// A message between hosts failed authentication or decoding.
    PeerMessageRejected,
    /// An upstream was ejected for errors.
    UpstreamEjected,
    /// An ejected upstream was taken back.
    UpstreamReturned,
    /// A request was marked as suspect of crashing upstreams.
    RequestSuspected,
    /// A request was convicted of crashing upstreams.
    RequestConvicted,
    /// A placement order was sent.
    OrderSent,
    /// A placement order was refused for an old fencing number.
    OrderFenced,
}

/// The counters of one host. Updates are lock-free.
pub struct CounterSet {
    refusals: [AtomicU64; RefusalReason::COUNT],
    retries: [AtomicU64; RetryReason::COUNT],
    events: [AtomicU64; CounterEvent::COUNT],
    statsd: Option<StatsdClient>,
}

impl CounterSet {
    /// Returns counters that stay in memory.
    pub fn new() -> Self {
        Self {
            refusals: std::array::from_fn(|_| AtomicU64::new(0)),
            retries: std::array::from_fn(|_| AtomicU64::new(0)),
            events: std::array::from_fn(|_| AtomicU64::new(0)),
            statsd: None,
        }
    }

    /// Also sends each update to the statsd server at `address`.
    pub fn with_statsd(mut self, address: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        self.statsd = Some(StatsdClient::from_sink(
            "parsleywall",
            QueuingMetricSink::from(sink),
        ));
        Ok(self)
    }

    /// Counts one refusal.
    pub fn refusal(&self, reason: RefusalReason) {
        self.refusals[reason as usize].fetch_add(1, Ordering::Relaxed);
        self.send(|| format!("refusal.{reason}"));
    }

    /// Counts one retry.
    pub fn retry(&self, reason: RetryReason) {
        self.retries[reason as usize].fetch_add(1, Ordering::Relaxed);
        self.send(|| format!("retry.{reason}"));
    }

    /// Counts one event.
    pub fn event(&self, event: CounterEvent) {
        self.add(event, 1);
    }

    /// Counts `count` events.
    pub fn add(&self, event: CounterEvent, count: u64) {
        self.events[event as usize].fetch_add(count, Ordering::Relaxed);
        self.send(|| format!("event.{event}"));
    }

    /// The current count of `event`.
    pub fn event_count(&self, event: CounterEvent) -> u64 {
        self.events[event as usize].load(Ordering::Relaxed)
    }

    /// The current count of refusals for `reason`.
    pub fn refusal_count(&self, reason: RefusalReason) -> u64 {
        self.refusals[reason as usize].load(Ordering::Relaxed)
    }

    /// The current count of retries for `reason`.
    pub fn retry_count(&self, reason: RetryReason) -> u64 {
        self.retries[reason as usize].load(Ordering::Relaxed)
    }

    /// All counters by name, zeros included.
    pub fn snapshot(&self) -> BTreeMap<String, u64> {
        let refusals = RefusalReason::iter()
            .map(|reason| (format!("refusal.{reason}"), self.refusal_count(reason)));
        let retries =
            RetryReason::iter().map(|reason| (format!("retry.{reason}"), self.retry_count(reason)));
        let events =
            CounterEvent::iter().map(|event| (format!("event.{event}"), self.event_count(event)));
        refusals.chain(retries).chain(events).collect()
    }

    fn send(&self, name: impl FnOnce() -> String) {
        if let Some(client) = &self.statsd {
            // Metrics are best effort: a full queue drops the update.
            let _ = client.count(&name(), 1);
        }
    }
}

impl Default for CounterSet {
    fn default() -> Self {
        Self::new()
    }
}
