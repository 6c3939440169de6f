//! What a host knows of the limit of one workspace, and the requests that it may admit.

use std::time::Duration;

use tokio::time::Instant;

use crate::limits::ReturnSchedule;
use crate::quotas::bucket::RequestBucket;
use crate::quotas::fleet::HostKey;
use crate::quotas::message::QuotaEntry;
use crate::quotas::message::QuotaGrant;
use crate::quotas::message::QuotaLevel;
use crate::quotas::message::WorkspaceTag;
use crate::workspaces::RequestAllowance;

/// Time after the question for them within which granted requests may be admitted.
const GRANT_TIME: Duration = Duration::from_secs(1);
/// Time for whose requests a host asks ahead, in seconds.
const AHEAD_SECONDS: f64 = 0.1;
/// Requests of the last second, by an exponentially decaying sum, from which a host asks ahead: of fewer,
/// the next one comes too late for a grant.
const MIN_AHEAD_REQUESTS: f64 = 2.0;
const MAX_AHEAD: f64 = 32.0;
/// Time for which a host uses its own share after nobody has replied.
const LOCAL_TIME: Duration = Duration::from_secs(1);
/// Time without a request after which an account is forgotten.
const ACCOUNT_TIME: Duration = Duration::from_secs(60);

/// Longest time for which the word of a host that stands in for the authority holds: a message to or from
/// the authority may have been lost.
const MAX_HEIR_PAUSE: Duration = Duration::from_millis(40);

/// A host that has replied.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplySource {
    pub(crate) host: HostKey,
    /// Whether it comes first among those that this host hears.
    pub(crate) is_first: bool,
    /// Whether it would be asked again, as no host before it replies.
    pub(crate) is_next: bool,
}

/// A question that is under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingQuestion {
    pub(crate) authority: HostKey,
    pub(crate) at: Instant,
}

/// Requests of one workspace at this host.
#[derive(Debug)]
pub(crate) struct QuotaAccount {
    allowance: RequestAllowance,
    version: u64,
    /// Requests that are granted and not yet admitted, and until when they may be.
    granted: u16,
    granted_until: Instant,
    /// Requests that wait for a grant.
    pub(crate) waiting: u16,
    pub(crate) pending: Option<PendingQuestion>,
    /// Whether another host was asked after one that did not reply.
    pub(crate) has_asked_heir: bool,
    /// Until when there is nothing for this host.
    paused_until: Option<Instant>,
    /// Mean time between two requests that this host may admit while there is nothing.
    interval: Duration,
    /// Last level that an authority told, and when.
    known: Option<(f64, Instant)>,
    pub(crate) told_by: Option<HostKey>,
    /// Until when this host uses its own share.
    local_until: Option<Instant>,
    local: Option<RequestBucket>,
    /// Granted requests that have not run.
    returned: u32,
    /// Requests admitted from the own share that no authority knows of.
    owed: u32,
    recent: f64,
    used_at: Instant,
    returns: ReturnSchedule,
    /// Whether the account is among those to be told of.
    pub(crate) is_queued: bool,
}

impl QuotaAccount {
    pub(crate) fn new(allowance: RequestAllowance, version: u64, now: Instant) -> Self {
        Self {
            allowance,
            version,
            granted: 0,
            granted_until: now,
            waiting: 0,
            pending: None,
            has_asked_heir: false,
            paused_until: None,
            interval: Duration::ZERO,
            known: None,
            told_by: None,
            local_until: None,
            local: None,
            returned: 0,
            owed: 0,
            recent: 0.0,
            used_at: now,
            returns: ReturnSchedule::default(),
            is_queued: false,
        }
    }

    /// Counts a request that arrives under `allowance` of the configuration `version`.
    pub(crate) fn note_request(&mut self, allowance: RequestAllowance, version: u64, now: Instant) {
        if version >= self.version && allowance != self.allowance {
            // What was said holds for the limit before.
            self.paused_until = None;
            self.local = None;
            self.allowance = allowance;
        }
        self.version = self.version.max(version);
        self.recent = self.recent_requests(now) + 1.0;
        self.used_at = now;
    }

    fn recent_requests(&self, now: Instant) -> f64 {
        self.recent * (-(now - self.used_at).as_secs_f64()).exp()
    }

    /// Takes a granted request.
    pub(crate) fn take_granted(&mut self, now: Instant) -> bool {
        self.return_expired(now);
        let has_grant = self.granted > 0;
        self.granted -= u16::from(has_grant);
        has_grant
    }

    /// Returns the grants that may not be used any more. Returns whether there were any.
    pub(crate) fn return_expired(&mut self, now: Instant) -> bool {
        let has_expired = self.granted > 0 && now >= self.granted_until;
        if has_expired {
            self.returned += u32::from(std::mem::take(&mut self.granted));
        }
        has_expired
    }

    /// Returns a request that was admitted and has not run.
    pub(crate) fn return_admitted(&mut self) {
        self.returned += 1;
    }

    /// Whether the last grant is used and the next request is expected soon.
    pub(crate) fn is_renewal_due(&self, now: Instant) -> bool {
        self.granted == 0 && self.ahead(now) > 0
    }

    fn ahead(&self, now: Instant) -> u16 {
        let recent = self.recent_requests(now);
        match recent >= MIN_AHEAD_REQUESTS {
            true => (recent * AHEAD_SECONDS).ceil().min(MAX_AHEAD) as u16,
            false => 0,
        }
    }

    /// Time for which there is nothing for this host; `None` if there may be.
    pub(crate) fn pause(&self, now: Instant) -> Option<Duration> {
        let until = self.paused_until?;
        (now < until).then(|| until - now)
    }

    /// The time after which the next refused caller should come back, if there is nothing for `pause`.
    pub(crate) fn retry_after(&mut self, pause: Duration, now: Instant) -> Duration {
        let interval = self.interval.as_secs_f64();
        let per_second = match interval > 0.0 {
            true => 1.0 / interval,
            false => self.allowance.per_second,
        };
        self.returns.next_delay(per_second, pause, now)
    }

    /// The last level that an authority told, in requests, and its age.
    pub(crate) fn known(&self, now: Instant) -> Option<(f64, Duration)> {
        self.known.map(|(level, at)| (level, now - at))
    }

    /// Whether this host uses its own share.
    pub(crate) fn is_local(&self, now: Instant) -> bool {
        self.local_until.is_some_and(|until| now < until)
    }

    /// From now on and for a while, this host uses its own share.
    pub(crate) fn set_local(&mut self, now: Instant) {
        self.pending = None;
        self.has_asked_heir = false;
        self.local_until = Some(now + LOCAL_TIME);
    }

    /// Takes a request from this host's own share of the limit, as one of `hosts`. It has accrued since an
    /// authority last replied, or since `started_at`. Returns whether there was one, and otherwise the time
    /// until there is.
    pub(crate) fn take_local(
        &mut self,
        hosts: usize,
        started_at: Instant,
        now: Instant,
    ) -> Result<(), Duration> {
        let share = 1.0 / hosts as f64;
        let (allowance, since) = (
            self.allowance,
            self.known.map_or(started_at, |known| known.1),
        );
        let bucket = self.local.get_or_insert_with(|| {
            let level = RequestBucket::whole_capacity(allowance) * share;
            RequestBucket::new(allowance, share, level, since)
        });
        bucket.refill(now);
        if bucket.take(1) == 1 {
            self.owed += 1;
            return Ok(());
        }
        self.interval = Duration::try_from_secs_f64(1.0 / bucket.rate()).unwrap_or(Duration::MAX);
        Err(bucket.wait())
    }

    /// The entry of a question, and the number of requests in it that are owed.
    pub(crate) fn take_entry(&mut self, tag: WorkspaceTag, now: Instant) -> (QuotaEntry, u32) {
        let owed = std::mem::take(&mut self.owed);
        let known = self.known(now).map(|(level, age)| {
            let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
            (QuotaLevel::new(level), age_ms)
        });
        let entry = QuotaEntry(
            tag,
            self.version,
            self.allowance.per_second,
            self.allowance.burst,
            self.waiting,
            self.ahead(now).saturating_sub(self.granted),
            std::mem::take(&mut self.returned),
            owed,
            known,
        );
        (entry, owed)
    }

    /// Puts back requests that are owed and were told of without a reply.
    pub(crate) fn restore_owed(&mut self, owed: u32) {
        self.owed += owed;
    }

    /// Applies the reply of `source` to a question of the time `asked_at`.
    pub(crate) fn apply(
        &mut self,
        grant: Option<QuotaGrant>,
        source: ReplySource,
        asked_at: Instant,
        now: Instant,
    ) {
        let is_awaited = self
            .pending
            .is_some_and(|pending| pending.authority == source.host);
        let Some(QuotaGrant(granted, level, pause_ms, interval_ms)) = grant else {
            // It hears a host that comes before it; a message to that one may have been lost.
            match source.is_next {
                _ if !is_awaited => {}
                true => self.set_local(now),
                false => self.pending = None,
            }
            return;
        };
        if is_awaited {
            self.pending = None;
            self.has_asked_heir = false;
        }
        self.known = Some((level.requests(), now));
        self.told_by = Some(source.host);
        self.local = None;
        self.local_until = None;
        self.return_expired(now);
        self.granted = self.granted.saturating_add(granted);
        self.granted_until = asked_at + GRANT_TIME;
        self.return_expired(now);
        let mut pause = Duration::from_millis(u64::from(pause_ms));
        if !source.is_first {
            pause = pause.min(MAX_HEIR_PAUSE);
        }
        self.paused_until = (pause_ms > 0).then(|| now + pause);
        if interval_ms > 0 {
            self.interval = Duration::from_millis(u64::from(interval_ms));
        }
    }

    /// Whether there is something that an authority has to be told.
    pub(crate) fn has_news(&self) -> bool {
        self.owed > 0 || self.returned > 0
    }

    /// Whether nothing is lost with the account.
    pub(crate) fn is_idle(&self, now: Instant) -> bool {
        let is_used = self.waiting > 0 || self.granted > 0 || self.has_news() || self.is_queued;
        !is_used && now - self.used_at >= ACCOUNT_TIME
    }
}
