//! Tells how old a host's view of the keys with one prefix may be.
//!
//! A view is proved by an answer of the key-value service. An answer proves the state at the moment at
//! which its call was made, as the time that the answer took to arrive is unknown.

use std::time::Duration;

use tokio::time::Instant;

use crate::edges::kv::KvVersion;

/// What a host follows in the key-value service.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ViewKind {
    /// Routes, services and limits.
    Configuration,
    /// Entries of upstreams.
    Upstreams,
    /// Requests to retire machines.
    Retirements,
}

/// Call that a view is read by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ViewCall {
    /// Lists all keys.
    Listing,
    /// Waits for changes.
    Watch,
    /// Asks for changes and returns at once.
    Check,
}

/// State of one view. Holds no keys and makes no calls.
#[derive(Debug)]
pub struct ViewMonitor {
    max_age: Duration,
    created_at: Instant,
    position: Option<KvVersion>,
    proven_at: Option<Instant>,
    is_overdue: bool,
}

impl ViewMonitor {
    /// Creates the monitor of a view that nothing has proved yet and that should be proved again
    /// before it reaches `max_age`.
    pub fn new(max_age: Duration, now: Instant) -> Self {
        Self {
            max_age,
            created_at: now,
            position: None,
            proven_at: None,
            is_overdue: false,
        }
    }

    /// Revision up to which all changes are applied; `None` before the first listing.
    pub fn position(&self) -> Option<KvVersion> {
        self.position
    }

    /// Age that the view should not reach.
    pub fn max_age(&self) -> Duration {
        self.max_age
    }

    /// Time since the view was last known to be current; before that, the age of the monitor.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.proven_at.unwrap_or(self.created_at))
    }

    /// Records the answer of a call that began at `started`: all changes up to `as_of` are applied.
    pub fn note_answer(&mut self, started: Instant, as_of: KvVersion) {
        self.position = Some(as_of);
        self.proven_at = self.proven_at.max(Some(started));
    }

    /// When the view reaches its greatest age unless it is proved before.
    pub fn overdue_at(&self) -> Instant {
        self.proven_at.unwrap_or(self.created_at) + self.max_age
    }

    /// Returns whether the view is over its greatest age, if that has changed since the last call.
    pub fn take_overdue(&mut self, now: Instant) -> Option<bool> {
        let is_overdue = now >= self.overdue_at();
        let has_changed = is_overdue != self.is_overdue;
        self.is_overdue = is_overdue;
        has_changed.then_some(is_overdue)
    }
}
