//! The limits that one host knows, and its grants for requests to limited upstreams.
//!
//! Does no I/O and reads no clock; callers pass the time.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::ids::UpstreamIncarnation;
use crate::ids::WorkClass;
use crate::limits::message::GrantReply;
use crate::limits::message::GrantRequest;
use crate::limits::message::LimitNotice;
use crate::limits::message::LimitObservation;
use crate::limits::rate_limit::LimitSignal;
use crate::limits::rate_limit::RateLimit;
use crate::limits::request_window::RequestWindow;
use crate::limits::request_window::WindowBudget;
use crate::limits::request_window::counted;
use crate::limits::request_window::is_test_age;

/// Longest time that a granted online request may have to wait until it is sent.
const MAX_GRANT_WAIT: Duration = Duration::from_millis(100);
/// Time after a denied online request for which no batch item is granted.
const ONLINE_PRIORITY_TIME: Duration = Duration::from_secs(1);
/// Time within which a granted request has to be sent.
const GRANT_TTL: Duration = Duration::from_millis(120);
/// Time within which an authority has to reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Number of requests in a row without a reply for which another authority is asked.
const MAX_MISSED_REPLIES: u32 = 2;
/// Time for which a host that did not reply is not asked.
const MISSED_REPLY_BACKOFF: Duration = Duration::from_secs(2);
/// Time for which load reports tell of an observation or a grant of this host; some three reports, as
/// datagrams may be lost.
const NOTICE_TIME: Duration = Duration::from_millis(100);
/// Shortest time between two observations of the same limit that load reports tell of.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(300);
/// Time for which load reports tell of all limits, after a host was heard for the first time or again.
const FULL_NOTICE_TIME: Duration = Duration::from_millis(800);
/// Time without answers and grants after which an upstream is forgotten.
const RETENTION_TIME: Duration = Duration::from_secs(60);
/// Largest number of grants that one load report adds.
const MAX_MERGED_GRANTS: u32 = 1_000;
/// Longest time by which a message may set an observation back, so that clocks can't overflow.
const MAX_NOTICE_AGE: Duration = Duration::from_secs(600);

/// Who paces the requests of all hosts to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum GrantAuthority {
    /// This host. It hears the part `share` of the hosts that use the upstream, itself included.
    Own {
        /// From 0 to 1.
        share: f64,
    },
    /// Another host, by its name.
    Host(String),
}

/// Whether a request may be sent to a limited upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantState {
    /// It may be sent now.
    Ready,
    /// A grant has been asked for, or is to be used from a time that is near.
    Expected,
    /// A grant can be asked for.
    Open,
    /// No grant is to be had before this time.
    Denied(Instant),
}

/// A change of what this host knows of an upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// The upstream.
    pub incarnation: UpstreamIncarnation,
    /// Its limit from now on; `None` if it has ended.
    pub limit: Option<RateLimit>,
}

/// The limit of an upstream, for metrics and log lines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownLimit {
    /// The limit.
    pub limit: RateLimit,
    /// Time since the last answer that named it.
    pub age: Duration,
}

/// Requests to limited upstreams by what became of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GrantCounts {
    /// Granted by this host, or to it by another one.
    pub granted: u64,
    /// Withheld for the limit.
    pub denied: u64,
    /// Asked of a host that did not reply in time.
    pub unanswered: u64,
}

#[derive(Clone, Copy, Debug)]
struct HeldGrant {
    class: WorkClass,
    usable_at: Instant,
    expires_at: Instant,
}

#[derive(Clone, Debug)]
struct PendingRequest {
    number: u64,
    class: WorkClass,
    authority: String,
    asked_at: Instant,
}

/// Number of grants that one process of another host has made.
#[derive(Clone, Copy, Debug)]
struct PeerTotal {
    incarnation: u64,
    total: u32,
}

#[derive(Debug)]
struct LimitRecord {
    limit: Option<RateLimit>,
    observed_at: Instant,
    window: RequestWindow,
    /// Grants of this host that still count, and the number of all of them.
    own_grants: VecDeque<Instant>,
    own_total: u32,
    /// Grants of each other host that are in the window.
    peer_totals: HashMap<String, PeerTotal>,
    held: VecDeque<HeldGrant>,
    pending: Option<PendingRequest>,
    denied_until: HashMap<WorkClass, Instant>,
    /// When this host last denied an online request.
    online_denied_at: Option<Instant>,
    /// When this host last observed the limit itself, or granted a request.
    noted_at: Option<Instant>,
}

impl LimitRecord {
    fn new(limit: Option<RateLimit>, observed_at: Instant, now: Instant) -> Self {
        let budget = WindowBudget::new(limit.unwrap_or(RateLimit::ZERO), 1.0);
        Self {
            limit,
            observed_at,
            window: RequestWindow::new(budget, now),
            own_grants: VecDeque::new(),
            own_total: 0,
            peer_totals: HashMap::default(),
            held: VecDeque::new(),
            pending: None,
            denied_until: HashMap::default(),
            online_denied_at: None,
            noted_at: None,
        }
    }

    /// Whether online requests lately were too many for the limit, so that batch items wait.
    fn is_short(&self, now: Instant) -> bool {
        self.online_denied_at
            .is_some_and(|at| now - at < ONLINE_PRIORITY_TIME)
    }

    /// Index of the first held grant that work of `class` may use: an online request may use that of a
    /// batch item, but not the other way round.
    fn held_for(&self, class: WorkClass, now: Instant) -> Option<usize> {
        let mut held = self.held.iter();
        held.position(|grant| {
            now < grant.expires_at && (grant.class == class || class == WorkClass::Online)
        })
    }

    fn observation(&self, incarnation: UpstreamIncarnation, now: Instant) -> LimitObservation {
        let age = now.saturating_duration_since(self.observed_at);
        LimitObservation(incarnation, self.limit, as_millis(age))
    }

    fn notice(&self, incarnation: UpstreamIncarnation, now: Instant) -> LimitNotice {
        LimitNotice(
            self.observation(incarnation, now),
            self.own_total,
            counted(&self.own_grants, now) as u32,
        )
    }

    /// Counts a request that this host grants for the time `at`.
    fn grant(&mut self, budget: WindowBudget, at: Instant, now: Instant) {
        self.window.take(budget, at, now);
        let expired = self.own_grants.len() - counted(&self.own_grants, now);
        self.own_grants.drain(..expired);
        self.own_grants.push_back(at);
        self.own_total = self.own_total.wrapping_add(1);
        self.noted_at = Some(now);
    }
}

fn as_millis(time: Duration) -> u32 {
    time.as_millis().min(u128::from(u32::MAX)) as u32
}

/// Limits of upstreams, with this host's grants. A restarted upstream has none.
#[derive(Debug, Default)]
pub(crate) struct LimitTable {
    records: HashMap<UpstreamIncarnation, LimitRecord>,
    last_number: u64,
    /// Grant requests to send, with the hosts that they are for.
    outbox: Vec<(String, GrantRequest)>,
    /// Requests in a row that a host did not reply to, and when the last one was given up.
    missed_replies: HashMap<String, (u32, Instant)>,
    /// Counts what load reports have to tell at once.
    revision: u64,
    /// Until when load reports tell of all limits.
    full_notice_until: Option<Instant>,
    changes: Vec<LimitChange>,
    counts: GrantCounts,
}

impl LimitTable {
    /// The limit of an upstream; `None` without one.
    pub(crate) fn limit(&self, incarnation: UpstreamIncarnation) -> Option<RateLimit> {
        self.records.get(&incarnation)?.limit
    }

    /// The limit of an upstream and its age; `None` without one.
    pub(crate) fn known(
        &self,
        incarnation: UpstreamIncarnation,
        now: Instant,
    ) -> Option<KnownLimit> {
        let record = self.records.get(&incarnation)?;
        Some(KnownLimit {
            limit: record.limit?,
            age: now.saturating_duration_since(record.observed_at),
        })
    }

    /// All limits that are known to hold.
    pub(crate) fn all(&self, now: Instant) -> impl Iterator<Item = KnownLimit> {
        let keys = self.records.keys();
        keys.filter_map(move |key| self.known(*key, now))
    }

    /// Applies what an answer of the upstream to this host says.
    pub(crate) fn observe(
        &mut self,
        incarnation: UpstreamIncarnation,
        signal: LimitSignal,
        now: Instant,
    ) {
        let limit = match signal {
            LimitSignal::Unlimited => None,
            LimitSignal::Limited(limit) => Some(limit),
            LimitSignal::Unknown => return,
        };
        if limit.is_none() && !self.records.contains_key(&incarnation) {
            return;
        }
        let known = self.records.get(&incarnation);
        let is_due = known.is_some_and(|record| now - record.observed_at >= OBSERVATION_INTERVAL);
        let has_changed = self.set_limit(incarnation, limit, now, now);
        if !has_changed && !is_due {
            return;
        }
        self.revision += 1;
        if let Some(record) = self.records.get_mut(&incarnation) {
            record.noted_at = Some(now);
        }
    }

    /// Applies what the load report of the process `incarnation` of `host` tells.
    pub(crate) fn merge(
        &mut self,
        host: &str,
        incarnation: u64,
        notice: &LimitNotice,
        now: Instant,
    ) {
        let LimitNotice(observation, total, recent) = *notice;
        self.merge_observation(&observation, now);
        let Some(record) = self.records.get_mut(&observation.0) else {
            return;
        };
        // The total of a new process has none of the earlier grants.
        let known = record
            .peer_totals
            .get(host)
            .filter(|known| known.incarnation == incarnation && known.total <= total);
        let new = known.map_or(recent, |known| recent.min(total - known.total));
        if total > 0 {
            let known = PeerTotal { incarnation, total };
            record.peer_totals.insert(host.to_owned(), known);
        }
        record
            .window
            .merge(new.min(MAX_MERGED_GRANTS) as usize, now);
    }

    fn merge_observation(&mut self, observation: &LimitObservation, now: Instant) {
        let LimitObservation(incarnation, limit, age_ms) = *observation;
        let age = Duration::from_millis(u64::from(age_ms)).min(MAX_NOTICE_AGE);
        let observed_at = now.checked_sub(age).unwrap_or(now);
        let known = self.records.get(&incarnation);
        let is_newer = known.is_none_or(|record| record.observed_at < observed_at);
        if is_newer && (known.is_some() || limit.is_some()) {
            self.set_limit(incarnation, limit, observed_at, now);
        }
    }

    /// Returns whether this changes the limit.
    fn set_limit(
        &mut self,
        incarnation: UpstreamIncarnation,
        limit: Option<RateLimit>,
        observed_at: Instant,
        now: Instant,
    ) -> bool {
        let record = self
            .records
            .entry(incarnation)
            .or_insert_with(|| LimitRecord::new(None, observed_at, now));
        record.observed_at = observed_at;
        if record.limit == limit {
            return false;
        }
        if record.limit.is_none() {
            *record = LimitRecord::new(limit, observed_at, now);
        }
        record.limit = limit;
        record.denied_until.clear();
        self.changes.push(LimitChange { incarnation, limit });
        true
    }

    /// Whether work of `class` may be sent to a limited upstream.
    pub(crate) fn grant_state(
        &self,
        incarnation: UpstreamIncarnation,
        class: WorkClass,
        authority: &GrantAuthority,
        now: Instant,
    ) -> GrantState {
        let Some(record) = self.records.get(&incarnation) else {
            return GrantState::Ready;
        };
        if let Some(first) = record.held_for(class, now).map(|index| record.held[index]) {
            return match first.usable_at <= now {
                true => GrantState::Ready,
                false => GrantState::Expected,
            };
        }
        match (record.limit, authority) {
            (None, _) => GrantState::Ready,
            (Some(limit), GrantAuthority::Own { share }) => {
                let budget = WindowBudget::new(limit, *share);
                let mut ready_at = record
                    .window
                    .ready_at(budget, class, record.observed_at, now);
                if let (WorkClass::Batch, Some(denied_at)) = (class, record.online_denied_at) {
                    ready_at = ready_at.max(denied_at + ONLINE_PRIORITY_TIME);
                }
                match ready_at <= now {
                    true => GrantState::Ready,
                    false => GrantState::Denied(ready_at),
                }
            }
            (Some(_), GrantAuthority::Host(_)) => {
                let is_pending = record
                    .pending
                    .as_ref()
                    .is_some_and(|pending| now < pending.asked_at + REPLY_TIMEOUT);
                match record.denied_until.get(&class) {
                    _ if is_pending => GrantState::Expected,
                    Some(until) if now < *until => GrantState::Denied(*until),
                    _ => GrantState::Open,
                }
            }
        }
    }

    /// Whether the next request to the upstream would test if its limit still holds, as it has not
    /// answered for a while.
    pub(crate) fn is_test_due(&self, incarnation: UpstreamIncarnation, now: Instant) -> bool {
        self.known(incarnation, now)
            .is_some_and(|known| is_test_age(known.age))
    }

    /// Uses the grant of a request that is sent now, where [`Self::grant_state`] is
    /// [`GrantState::Ready`].
    pub(crate) fn take(
        &mut self,
        incarnation: UpstreamIncarnation,
        class: WorkClass,
        authority: &GrantAuthority,
        now: Instant,
    ) {
        let Some(record) = self.records.get_mut(&incarnation) else {
            return;
        };
        record.held.retain(|grant| now < grant.expires_at);
        if let Some(index) = record.held_for(class, now) {
            record.held.remove(index);
            return;
        }
        if let (Some(limit), GrantAuthority::Own { share }) = (record.limit, authority) {
            record.grant(WindowBudget::new(limit, *share), now, now);
            self.revision += 1;
            self.counts.granted += 1;
        }
    }

    /// Asks `authority` for a grant, where [`Self::grant_state`] is [`GrantState::Open`].
    pub(crate) fn ask(
        &mut self,
        incarnation: UpstreamIncarnation,
        class: WorkClass,
        authority: &str,
        now: Instant,
    ) {
        let Some(record) = self.records.get_mut(&incarnation) else {
            return;
        };
        if let Some(missed) = record.pending.take() {
            let (count, at) = self
                .missed_replies
                .entry(missed.authority)
                .or_insert((0, now));
            (*count, *at) = (*count + 1, now);
            self.counts.unanswered += 1;
        }
        self.last_number += 1;
        record.pending = Some(PendingRequest {
            number: self.last_number,
            class,
            authority: authority.to_owned(),
            asked_at: now,
        });
        let request = GrantRequest {
            number: self.last_number,
            class,
            known: record.observation(incarnation, now),
        };
        self.outbox.push((authority.to_owned(), request));
    }

    /// Whether `host` has not replied lately, so that another authority is asked.
    pub(crate) fn is_unresponsive(&self, host: &str, now: Instant) -> bool {
        self.missed_replies.get(host).is_some_and(|(count, at)| {
            *count >= MAX_MISSED_REPLIES && now < *at + MISSED_REPLY_BACKOFF
        })
    }

    /// Whether there are grant requests to send.
    pub(crate) fn has_requests(&self) -> bool {
        !self.outbox.is_empty()
    }

    /// Takes the grant requests to send, with the hosts that they are for.
    pub(crate) fn take_requests(&mut self) -> Vec<(String, GrantRequest)> {
        std::mem::take(&mut self.outbox)
    }

    /// Answers the request of another host as the authority of the upstream, which hears the part
    /// `share` of the hosts that use it.
    pub(crate) fn answer(
        &mut self,
        request: &GrantRequest,
        share: f64,
        now: Instant,
    ) -> GrantReply {
        self.merge_observation(&request.known, now);
        let incarnation = request.known.0;
        let reply = |is_granted, wait: Duration| GrantReply {
            number: request.number,
            incarnation,
            is_granted,
            wait_ms: as_millis(wait),
        };
        let Some(record) = self.records.get_mut(&incarnation) else {
            return reply(true, Duration::ZERO);
        };
        let Some(limit) = record.limit else {
            return reply(true, Duration::ZERO);
        };
        let budget = WindowBudget::new(limit, share);
        let wait = record
            .window
            .ready_at(budget, request.class, record.observed_at, now)
            .saturating_duration_since(now);
        let max_wait = match request.class {
            WorkClass::Online => MAX_GRANT_WAIT,
            WorkClass::Batch => Duration::ZERO,
        };
        if wait > max_wait {
            if request.class == WorkClass::Online {
                record.online_denied_at = Some(now);
            }
            return reply(false, wait);
        }
        if request.class == WorkClass::Batch && record.is_short(now) {
            return reply(false, ONLINE_PRIORITY_TIME);
        }
        record.grant(budget, now + wait, now);
        self.revision += 1;
        reply(true, wait)
    }

    /// Applies the reply of an authority. A late one is ignored: its grant may no longer be used.
    /// Returns whether work may now be sent.
    pub(crate) fn apply_reply(&mut self, reply: &GrantReply, now: Instant) -> bool {
        let Some(record) = self.records.get_mut(&reply.incarnation) else {
            return false;
        };
        let is_expected = |pending: &mut PendingRequest| pending.number == reply.number;
        let Some(pending) = record.pending.take_if(is_expected) else {
            return false;
        };
        self.missed_replies.remove(&pending.authority);
        let wait = Duration::from_millis(u64::from(reply.wait_ms));
        if !reply.is_granted {
            let until = now + wait.min(MAX_NOTICE_AGE);
            record.denied_until.insert(pending.class, until);
            self.counts.denied += 1;
            return true;
        }
        self.counts.granted += 1;
        let usable_at = pending.asked_at + wait.min(MAX_GRANT_WAIT);
        let expires_at = usable_at + GRANT_TTL;
        record.held.retain(|grant| now < grant.expires_at);
        if now < expires_at {
            record.held.push_back(HeldGrant {
                class: pending.class,
                usable_at: usable_at.max(now.min(expires_at)),
                expires_at,
            });
        }
        true
    }

    /// When the state of an expected grant changes: it can be used, or the reply is overdue.
    pub(crate) fn expected_at(&self, incarnation: UpstreamIncarnation) -> Option<Instant> {
        let record = self.records.get(&incarnation)?;
        let held = record.held.front().map(|grant| grant.usable_at);
        let pending = record.pending.as_ref();
        held.or_else(|| pending.map(|pending| pending.asked_at + REPLY_TIMEOUT))
    }

    /// Number that changes whenever [`Self::notices`] has something that other hosts need at once.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Makes load reports tell of all limits for a while, as a host is heard for the first time.
    pub(crate) fn note_new_host(&mut self, now: Instant) {
        if !self.records.is_empty() {
            self.full_notice_until = Some(now + FULL_NOTICE_TIME);
            self.revision += 1;
        }
    }

    /// What a load report tells of limits.
    pub(crate) fn notices(&mut self, now: Instant) -> Vec<LimitNotice> {
        self.records.retain(|_, record| {
            let noted = record.noted_at.unwrap_or(record.observed_at);
            now - noted.max(record.observed_at) < RETENTION_TIME
        });
        self.missed_replies
            .retain(|_, (_, at)| now < *at + MISSED_REPLY_BACKOFF);
        let is_full = self.full_notice_until.is_some_and(|until| now < until);
        let records = self.records.iter().filter(|(_, record)| {
            let is_recent = |at: Instant| now - at < NOTICE_TIME;
            is_full || record.noted_at.is_some_and(is_recent)
        });
        let notices = records.map(|(incarnation, record)| record.notice(*incarnation, now));
        notices.collect()
    }

    /// Takes the counts since the last call.
    pub(crate) fn take_counts(&mut self) -> GrantCounts {
        std::mem::take(&mut self.counts)
    }

    /// Takes the changes of limits since the last call, for the log.
    pub(crate) fn take_changes(&mut self) -> Vec<LimitChange> {
        std::mem::take(&mut self.changes)
    }
}
