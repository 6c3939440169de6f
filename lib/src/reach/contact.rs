//! What this host's own connections say of one upstream.

use std::time::Duration;

use tokio::time::Instant;

/// Time after which a failure says nothing any more of the present.
pub(crate) const FAILURE_TIME: Duration = Duration::from_millis(1_500);
/// Time that an attempt to connect has to take before its failure counts as [`UnreachedCause::TimedOut`].
const MIN_TIMEOUT: Duration = Duration::from_millis(200);
/// Time by which evidence of other hosts may be older than it seems: the age of a part of an answer that
/// a load report still tells of, and the interval of load reports.
const EVIDENCE_DELAY: Duration = Duration::from_millis(250);

/// How a connection of this host to an upstream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum UnreachedCause {
    /// A new connection was refused.
    Refused,
    /// A new connection was not established in time.
    TimedOut,
    /// An open connection was closed or reset.
    Closed,
    /// Nothing came on an open connection in time.
    Silent,
}

impl UnreachedCause {
    /// Cause of a failed attempt to connect that took `elapsed`.
    pub fn of_connect(elapsed: Duration) -> Self {
        match elapsed >= MIN_TIMEOUT {
            true => Self::TimedOut,
            false => Self::Refused,
        }
    }

    /// Whether the failure began so long before it was recorded that whatever other hosts hear of the
    /// upstream afterwards comes from after its beginning.
    fn is_slow(self) -> bool {
        match self {
            Self::TimedOut | Self::Silent => true,
            Self::Refused | Self::Closed => false,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct ContactFailure {
    /// When the first of the consecutive failures was recorded.
    since: Instant,
    last: Instant,
    cause: UnreachedCause,
}

/// Last contacts with one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UpstreamContact {
    connected_at: Option<Instant>,
    heard_at: Option<Instant>,
    failure: Option<ContactFailure>,
}

impl UpstreamContact {
    pub(crate) fn record_connected(&mut self, now: Instant) {
        self.connected_at = Some(now);
        self.heard_at = Some(now);
        self.failure = None;
    }

    /// Records that bytes came on an open connection. They say nothing of new connections.
    pub(crate) fn record_heard(&mut self, now: Instant) {
        self.heard_at = Some(now);
        if self
            .failure
            .is_some_and(|failure| failure.cause == UnreachedCause::Silent)
        {
            self.failure = None;
        }
    }

    pub(crate) fn record_unreached(&mut self, cause: UnreachedCause, now: Instant) {
        let since = match self.fresh_failure(now) {
            Some(failure) => failure.since,
            None => now,
        };
        self.failure = Some(ContactFailure {
            since,
            last: now,
            cause,
        });
    }

    fn fresh_failure(&self, now: Instant) -> Option<&ContactFailure> {
        let failure = self.failure.as_ref();
        failure.filter(|failure| now - failure.last < FAILURE_TIME)
    }

    /// When and how the run of failures began that lasts until now; `None` without a recent failure.
    pub(crate) fn unreached(&self, now: Instant) -> Option<(Instant, UnreachedCause)> {
        let failure = self.fresh_failure(now)?;
        Some((failure.since, failure.cause))
    }

    /// Whether an upstream of which another host last heard at `heard_elsewhere` was alive after this host
    /// had lost it.
    pub(crate) fn is_lost_here(&self, heard_elsewhere: Option<Instant>, now: Instant) -> bool {
        let Some(failure) = self.fresh_failure(now) else {
            return false;
        };
        let delay = match failure.cause.is_slow() {
            true => Duration::ZERO,
            false => EVIDENCE_DELAY,
        };
        heard_elsewhere.is_some_and(|at| at > failure.since + delay)
    }

    /// Whether a connection was opened after `since` and none has failed after that.
    pub(crate) fn has_connected_since(&self, since: Instant) -> bool {
        self.failure.is_none() && self.connected_at.is_some_and(|at| at > since)
    }

    /// Whether the upstream was heard within `age` and has not failed since.
    pub(crate) fn is_sound(&self, age: Duration, now: Instant) -> bool {
        self.failure.is_none() && self.heard_at.is_some_and(|at| now - at < age)
    }

    /// Last time of any evidence.
    pub(crate) fn last_evidence(&self) -> Option<Instant> {
        let failed_at = self.failure.map(|failure| failure.last);
        self.heard_at.max(failed_at)
    }
}
