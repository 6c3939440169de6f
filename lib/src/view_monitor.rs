//! Decides when a host's view of the keys with one prefix has to be proved, and what proves it.
//!
//! A view is proved by an answer of the key-value service, at this host or at another one. An answer
//! proves the state at the moment at which its call was made, as the time that the answer took to
//! arrive is unknown. Hosts tell one another what their checks brought, so that the number of checks a
//! second in the fleet hardly grows with the number of hosts.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::edges::kv::KvVersion;

/// Age from which a view is checked, as a fraction of its greatest age.
const CHECK_SHARE: f64 = 0.5;
/// Greatest random delay of a check, as a fraction of the greatest age.
const SPREAD_SHARE: f64 = 0.2;
/// Time for which an open watch may take to bring what another host already has, and greatest random
/// delay after it, as fractions of the greatest age.
const BEHIND_SHARE: f64 = 0.05;
const BEHIND_SPREAD_SHARE: f64 = 0.1;
/// Pause after an answer from an older state than another host had told of, as a fraction of the greatest
/// age.
const OUTDATED_PAUSE_SHARE: f64 = 0.1;

/// Hosts that hold watches for all others.
pub const TELLERS: usize = 3;
/// Delay of a teller's check after that of the teller before it, and least delay of the checks of hosts that
/// are told, as fractions of the greatest age.
const TELLER_STEP_SHARE: f64 = 0.03;
const TOLD_SHARE: f64 = 0.12;

/// Time after a notice, in greatest ages, after which the position moves on to its revision.
const CONFIRM_AGES: u32 = 2;

/// How a host learns of changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ViewRole {
    /// By watches of its own; it tells nobody.
    #[default]
    Alone,
    /// It does not know the other hosts yet, and opens no watch.
    Starting,
    /// By watches of its own; it tells all others. Holds its rank among the tellers.
    Teller(usize),
    /// By other hosts, and by checks while these prove nothing.
    Told,
}

impl ViewRole {
    /// Role of the host that has this rank among those that it hears.
    pub fn of_rank(rank: usize) -> Self {
        match rank < TELLERS {
            true => Self::Teller(rank),
            false => Self::Told,
        }
    }

    /// Whether a host with this role holds watches.
    pub fn watches(self) -> bool {
        matches!(self, Self::Alone | Self::Teller(_))
    }

    /// Delay before this host tells what its own calls have brought, as a fraction of the greatest age:
    /// other tellers may be faster.
    fn tell_share(self) -> f64 {
        match self {
            Self::Teller(rank) => TELLER_STEP_SHARE * rank as f64,
            _ => 0.0,
        }
    }
}

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
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
pub enum ViewKind {
    /// Routes, services and limits.
    #[serde(rename = "c")]
    Configuration,
    /// Entries of upstreams.
    #[serde(rename = "u")]
    Upstreams,
    /// Requests to retire machines.
    #[serde(rename = "r")]
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
    /// No call: another host has told of changes.
    Told,
}

/// What an answer of the key-value service shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ViewAnswer {
    /// When its call was made.
    pub started: Instant,
    /// Revision up to which all changes are applied.
    pub as_of: KvVersion,
    /// The last change up to `as_of`.
    pub last_change: LastChange,
}

/// The last change of a view, as far as an answer shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastChange {
    /// There was none after the view's position.
    None,
    /// It was made at this revision.
    At(KvVersion),
    /// It was made at or before the answer's revision, as in a listing, which doesn't show deletions.
    Unknown,
}

/// What a host tells all others after a check of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewNotice {
    /// What was checked.
    #[serde(rename = "v")]
    pub view: ViewKind,
    /// Revision up to which the sender has all changes.
    #[serde(rename = "r")]
    pub as_of: KvVersion,
    /// Revision after which there was no change up to `as_of`.
    #[serde(rename = "c")]
    pub last_change: KvVersion,
    /// Whether there was a change at `last_change`.
    #[serde(rename = "x")]
    pub is_exact: bool,
    /// Time in milliseconds, rounded up, since the view was known to be current.
    #[serde(rename = "a")]
    pub age_ms: u64,
}

/// Why a check is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckReason {
    /// Nothing has proved the view for long. Other hosts are told what it brings.
    Age,
    /// Another host has a change that this one lacks.
    Behind,
    /// A call of the view failed.
    Doubt,
}

/// A check and the time at which it is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueCheck {
    /// When the check is due.
    pub at: Instant,
    /// Why.
    pub reason: CheckReason,
}

/// A change that another host has told of.
#[derive(Clone, Copy, Debug)]
struct MissingChange {
    version: KvVersion,
    heard_at: Instant,
    delay: Duration,
}

/// State of one view. Holds no keys and makes no calls.
#[derive(Debug)]
pub struct ViewMonitor {
    max_age: Duration,
    created_at: Instant,
    position: Option<KvVersion>,
    /// Revision after which there was no change up to the position, and whether there was one at it.
    last_change: (KvVersion, bool),
    proven_at: Option<Instant>,
    /// Highest revision that another host has told of, and when. Notices of lower ones may have been
    /// overtaken.
    heard: Option<(KvVersion, Instant)>,
    missing: Option<MissingChange>,
    /// Revision up to which nothing has changed, as a notice said, and when.
    confirmed: Option<(KvVersion, Instant)>,
    /// When the next check may be made after an answer from an older state than another host had told of.
    retry_at: Option<Instant>,
    hosts: usize,
    role: ViewRole,
    check_delay: Duration,
    is_overdue: bool,
    rng: StdRng,
}

impl ViewMonitor {
    /// Creates the monitor of a view that nothing has proved yet and that should be proved again
    /// before it reaches `max_age`. Random delays follow from `seed`.
    pub fn new(max_age: Duration, seed: u64, now: Instant) -> Self {
        Self {
            max_age,
            created_at: now,
            position: None,
            last_change: (KvVersion(0), false),
            proven_at: None,
            heard: None,
            missing: None,
            confirmed: None,
            retry_at: None,
            hosts: 1,
            role: ViewRole::default(),
            check_delay: Duration::ZERO,
            is_overdue: false,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Sets the number of hosts, with this one, that tell one another of their checks.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts.max(1);
    }

    /// How this host learns of changes.
    pub fn role(&self) -> ViewRole {
        self.role
    }

    /// Sets how this host learns of changes, from the next proof on.
    pub fn set_role(&mut self, role: ViewRole) {
        self.role = role;
    }

    /// Revision up to which all changes are applied; `None` before the first listing.
    pub fn position(&self) -> Option<KvVersion> {
        self.position
    }

    /// Whether another host has told of a change that this one lacks.
    pub(crate) fn lacks_change(&self) -> bool {
        self.missing.is_some()
    }

    /// Delay before this host tells of changes that its own calls have brought.
    pub(crate) fn tell_delay(&self) -> Duration {
        self.max_age.mul_f64(self.role.tell_share())
    }

    /// A random number from 0 to 1, which follows from the seed.
    pub(crate) fn draw_share(&mut self) -> f64 {
        self.rng.random()
    }

    /// Age that the view should not reach.
    pub fn max_age(&self) -> Duration {
        self.max_age
    }

    /// Time since the view was last known to be current; before that, the age of the monitor.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.proven_at.unwrap_or(self.created_at))
    }

    /// Whether an answer shows an older state than another host had told of before the call, so that it
    /// proves nothing. A service that was restored from a copy goes on at lower revisions: it is believed
    /// if this host was at a higher one itself, and once the notice is older than the view may be.
    fn is_outdated(&self, answer: &ViewAnswer) -> bool {
        let is_restored = self
            .position
            .is_some_and(|position| answer.as_of < position);
        let is_older = self.heard.is_some_and(|(revision, at)| {
            let counts = at <= answer.started && answer.started < at + self.max_age;
            counts && answer.as_of < revision
        });
        is_older && !is_restored
    }

    /// Records an answer of a call of this host.
    pub fn note_answer(&mut self, answer: ViewAnswer) {
        let is_outdated = self.is_outdated(&answer);
        self.confirmed = None;
        self.position = Some(answer.as_of);
        match answer.last_change {
            LastChange::None => {}
            LastChange::At(version) => self.last_change = (version, true),
            LastChange::Unknown => self.last_change = (answer.as_of, false),
        }
        if is_outdated {
            let pause = self.max_age.mul_f64(OUTDATED_PAUSE_SHARE);
            self.retry_at = Some(answer.started + pause);
            return;
        }
        self.retry_at = None;
        let is_found = |missing: &MissingChange| {
            missing.version <= answer.as_of || missing.heard_at <= answer.started
        };
        self.missing = self.missing.filter(|missing| !is_found(missing));
        // The service was restored from a copy, so that lower revisions are the newer ones.
        self.heard = self
            .heard
            .filter(|(revision, at)| *revision <= answer.as_of || *at > answer.started);
        self.prove(answer.started);
    }

    /// Applies the notice of another host that arrived at `arrived` or later.
    pub fn apply(&mut self, notice: &ViewNotice, arrived: Instant, now: Instant) {
        let is_overtaken = self
            .heard
            .is_some_and(|(revision, _)| notice.as_of < revision);
        let Some(position) = self.position.filter(|position| *position <= notice.as_of) else {
            return;
        };
        if is_overtaken {
            return;
        }
        self.heard = Some((notice.as_of, now));
        if notice.last_change <= position {
            self.confirm(notice);
            self.confirm_position(notice.as_of, now);
            let age = Duration::from_millis(notice.age_ms);
            if let Some(proven_at) = arrived.checked_sub(age) {
                self.prove(proven_at);
            }
        } else if notice.is_exact {
            self.note_missing(notice.last_change, now);
        }
    }

    /// Records that all changes up to the revision of `notice` are applied, as another host has told of
    /// them. The notice arrived at `arrived` or later.
    pub fn note_told(&mut self, notice: &ViewNotice, arrived: Instant, now: Instant) {
        self.confirmed = None;
        self.position = Some(notice.as_of);
        self.last_change = (notice.last_change, notice.is_exact);
        let is_newest = self
            .heard
            .is_none_or(|(revision, _)| revision <= notice.as_of);
        if is_newest {
            self.heard = Some((notice.as_of, now));
        }
        self.missing = self
            .missing
            .filter(|missing| missing.version > notice.as_of);
        let age = Duration::from_millis(notice.age_ms);
        if let Some(proven_at) = arrived.checked_sub(age).filter(|_| is_newest) {
            self.prove(proven_at);
        }
    }

    /// No change was made after that of `notice`, up to the position of this view.
    fn confirm(&mut self, notice: &ViewNotice) {
        let (version, is_exact) = self.last_change;
        if notice.last_change < version {
            self.last_change = (notice.last_change, notice.is_exact);
        } else if notice.last_change == version {
            self.last_change.1 = is_exact || notice.is_exact;
        }
    }

    /// Moves the position on once a notice has said for [`CONFIRM_AGES`] that nothing has changed up to a
    /// revision and no other one has told of a change, so that calls don't ask for a history that the
    /// service has dropped.
    fn confirm_position(&mut self, as_of: KvVersion, now: Instant) {
        match self.confirmed {
            Some((revision, at)) if now >= at + self.max_age * CONFIRM_AGES => {
                self.position = self.position.max(Some(revision));
                self.confirmed = Some((as_of, now));
            }
            Some(_) => {}
            None => self.confirmed = Some((as_of, now)),
        }
    }

    fn note_missing(&mut self, version: KvVersion, now: Instant) {
        self.confirmed = None;
        match &mut self.missing {
            Some(missing) => missing.version = missing.version.max(version),
            None => {
                let share = BEHIND_SHARE + BEHIND_SPREAD_SHARE * self.rng.random::<f64>();
                self.missing = Some(MissingChange {
                    version,
                    heard_at: now,
                    delay: self.max_age.mul_f64(share),
                });
            }
        }
    }

    fn prove(&mut self, at: Instant) {
        if self.proven_at.is_some_and(|proven_at| at <= proven_at) {
            return;
        }
        self.proven_at = Some(at);
        // About one host draws no delay, and the number of hosts that draw a short one hardly grows with
        // that of all, so that the first check mostly comes before those of the others.
        let draw = self.rng.random_range(f64::EPSILON..1.0);
        let hosts = self.hosts as f64;
        let share = match self.hosts {
            1 => 0.0,
            _ => (1.0 + draw.ln() / hosts.ln()).max(0.0),
        };
        let delay_share = match self.role {
            ViewRole::Alone | ViewRole::Starting => SPREAD_SHARE * share,
            ViewRole::Teller(rank) => TELLER_STEP_SHARE * rank as f64,
            ViewRole::Told => TOLD_SHARE + SPREAD_SHARE * share,
        };
        self.check_delay = self.max_age.mul_f64(delay_share);
    }

    /// The next check. For a change that this host lacks, an open watch has a while to bring it;
    /// without one, the next watch will, so that no check is due for that.
    pub fn next_check(&self, watch_started: Option<Instant>) -> DueCheck {
        let proven_at = self.proven_at.unwrap_or(self.created_at);
        // Notices don't prove the views of the hosts that lack a change, so that the delays of all of them
        // may pass; a host that has told of the change tells of its check again.
        let reason = match self.missing {
            Some(_) => CheckReason::Behind,
            None => CheckReason::Age,
        };
        let by_age = DueCheck {
            at: proven_at + self.max_age.mul_f64(CHECK_SHARE) + self.check_delay,
            reason,
        };
        let behind = self.missing.zip(watch_started);
        let behind = behind.map(|(missing, started)| DueCheck {
            at: missing.heard_at.max(started) + missing.delay,
            reason: CheckReason::Behind,
        });
        let next = match behind {
            Some(behind) if behind.at < by_age.at => behind,
            _ => by_age,
        };
        DueCheck {
            at: self
                .retry_at
                .map_or(next.at, |retry_at| next.at.max(retry_at)),
            ..next
        }
    }

    /// What to tell other hosts of `view`; `None` before the first listing.
    pub fn notice(&self, view: ViewKind, now: Instant) -> Option<ViewNotice> {
        let (last_change, is_exact) = self.last_change;
        Some(ViewNotice {
            view,
            as_of: self.position?,
            last_change,
            is_exact,
            age_ms: self.age(now).as_millis() as u64 + 1,
        })
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
