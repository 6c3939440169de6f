//! Counters of refused requests, retries and other events of one host, kept in memory and, if
//! configured, sent to statsd.

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
    /// The member key or operator key is missing or unknown.
    Unauthenticated,
    /// The key is known, but doesn't permit the call, such as an operator key on a member's path.
    Forbidden,
    /// The request is malformed.
    BadRequest,
    /// The body or the headers are larger than allowed.
    TooLarge,
    /// The caller did not send the whole request in time.
    SlowSender,
    /// The content type of the body is not supported on this path.
    ContentType,
    /// The path, or the object that it names, does not exist.
    NotFound,
    /// The method is not allowed on this path.
    Method,
    /// The model does not exist.
    UnknownModel,
    /// The workspace may not use the model.
    ModelNotAllowed,
    /// The workspace has used up its allowance of tokens.
    OverCap,
    /// The other hosts did not say how much of the allowance is left.
    CapUnconfirmed,
    /// The admission queue is full, or the request would reach its deadline while it waits there.
    Overloaded,
    /// The request reached its deadline before it was answered.
    DeadlinePassed,
    /// No live upstream can run the request.
    NoUpstream,
    /// The upstream failed and the request could not be retried.
    UpstreamFailed,
    /// The upstream refused the request as malformed; another one would refuse it too.
    UpstreamRefused,
    /// The request is known to crash upstreams.
    Convicted,
    /// A request with the same idempotency key is running or has an unknown outcome.
    DuplicateInProgress,
    /// The key-value service did not answer, or returned an object that could not be read.
    StoreUnavailable,
    /// The write lost a race with another write, or named a revision that is no longer current.
    Conflict,
    /// This host is shutting down and takes no new requests.
    Draining,
    /// This host has just started and has not received the terms yet.
    Starting,
}

/// Why a request, a batch item or a call to another system was retried.
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
    /// The connection broke before the response was complete.
    ConnectionBroken,
    /// The upstream made no progress for longer than its timeout.
    Silent,
    /// The upstream responded with a server error.
    UpstreamError,
    /// The upstream refused the request because it was at capacity.
    UpstreamBusy,
    /// The batch work was preempted by online work.
    Preempted,
    /// A call to the key-value service failed, or its response was lost.
    StoreFailed,
    /// A compare-and-swap in the key-value service lost a race with another write.
    StoreConflict,
    /// A call to another host failed or timed out.
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
    /// A caller's request was authenticated and accepted.
    RequestAccepted,
    /// A caller's request was answered in full.
    RequestAnswered,
    /// A caller disconnected before its answer was complete.
    CallerLeft,
    /// A request was dispatched to an upstream.
    Dispatched,
    /// Running batch work was preempted by online work.
    BatchPreempted,
    /// The host that admits requests to an engine did not answer, so this host admitted the
    /// request without it.
    AdmittedWithoutOwner,
    /// A ticket expired because its holder did not renew it.
    TicketExpired,
    /// A retry was not made because retries already made up too large a share of the requests.
    RetryBudgetSpent,
    /// A broken answer stream was resumed on another connection or engine.
    StreamResumed,
    /// The result of a batch item was committed.
    ItemCommitted,
    /// A batch job was accepted.
    JobAccepted,
    /// A host claimed a segment of a batch job.
    SegmentClaimed,
    /// A commit was rejected because its host no longer held the claim (fencing).
    CommitFenced,
    /// A newer revision of the terms came into force on this host.
    TermsAdopted,
    /// An older revision of the terms was received and ignored.
    TermsStale,
    /// Membership declared another host dead.
    HostDead,
    /// Another host joined, or was live again after it had been declared dead.
    HostJoined,
    /// A message between hosts failed authentication or decoding.
    PeerMessageRejected,
    /// A peer proved that it knows the secret, but for a time that this host's clock doesn't tell. It
    /// proves once more that its call or its datagram is new.
    PeerClockDiffers,
    /// An upstream was ejected after errors and gets no requests for a while.
    UpstreamEjected,
    /// An ejected upstream is used again.
    UpstreamReturned,
    /// A request was marked as a suspect: it may have crashed an upstream.
    RequestSuspected,
    /// A suspect was convicted: it is known to crash upstreams.
    RequestConvicted,
    /// A placement order, the set of models to load, was sent to an engine.
    OrderSent,
    /// An engine rejected a placement order because of its outdated fencing token.
    OrderFenced,
}

/// The counters of one host, counted since its process started. Updates are lock-free.
pub struct CounterSet {
    refusals: [AtomicU64; RefusalReason::COUNT],
    retries: [AtomicU64; RetryReason::COUNT],
    events: [AtomicU64; CounterEvent::COUNT],
    statsd: Option<StatsdClient>,
}

impl CounterSet {
    /// Returns counters, all zero, that are kept in memory only.
    pub fn new() -> Self {
        Self {
            refusals: std::array::from_fn(|_| AtomicU64::new(0)),
            retries: std::array::from_fn(|_| AtomicU64::new(0)),
            events: std::array::from_fn(|_| AtomicU64::new(0)),
            statsd: None,
        }
    }

    /// Also sends each update over UDP to the statsd server at `address`.
    ///
    /// Fails if the UDP socket cannot be opened. Later updates are best effort.
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

    /// Counts one request that was refused for `reason`.
    pub fn refusal(&self, reason: RefusalReason) {
        self.refusals[reason as usize].fetch_add(1, Ordering::Relaxed);
        self.send(1, || format!("refusal.{reason}"));
    }

    /// Counts one retry that was made for `reason`.
    pub fn retry(&self, reason: RetryReason) {
        self.retries[reason as usize].fetch_add(1, Ordering::Relaxed);
        self.send(1, || format!("retry.{reason}"));
    }

    /// Counts one occurrence of `event`.
    pub fn event(&self, event: CounterEvent) {
        self.add(event, 1);
    }

    /// Counts `count` occurrences of `event`.
    pub fn add(&self, event: CounterEvent, count: u64) {
        self.events[event as usize].fetch_add(count, Ordering::Relaxed);
        self.send(count, || format!("event.{event}"));
    }

    /// Returns how often `event` was counted since the start.
    pub fn event_count(&self, event: CounterEvent) -> u64 {
        self.events[event as usize].load(Ordering::Relaxed)
    }

    /// Returns how many requests were refused for `reason` since the start.
    pub fn refusal_count(&self, reason: RefusalReason) -> u64 {
        self.refusals[reason as usize].load(Ordering::Relaxed)
    }

    /// Returns how many retries were made for `reason` since the start.
    pub fn retry_count(&self, reason: RetryReason) -> u64 {
        self.retries[reason as usize].load(Ordering::Relaxed)
    }

    /// Returns all counters by name, such as `refusal.over_cap`, zeros included.
    pub fn snapshot(&self) -> BTreeMap<String, u64> {
        let refusals = RefusalReason::iter()
            .map(|reason| (format!("refusal.{reason}"), self.refusal_count(reason)));
        let retries =
            RetryReason::iter().map(|reason| (format!("retry.{reason}"), self.retry_count(reason)));
        let events =
            CounterEvent::iter().map(|event| (format!("event.{event}"), self.event_count(event)));
        refusals.chain(retries).chain(events).collect()
    }

    fn send(&self, count: u64, name: impl FnOnce() -> String) {
        if let Some(client) = &self.statsd {
            // Metrics are best effort: an update that finds the send queue full is dropped.
            let _ = client.count(&name(), count);
        }
    }
}

impl Default for CounterSet {
    fn default() -> Self {
        Self::new()
    }
}
