//! The workspaces that this host paces for all.

use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::quotas::bucket::RequestBucket;
use crate::quotas::message::QuotaEntry;
use crate::quotas::message::QuotaGrant;
use crate::quotas::message::QuotaLevel;
use crate::quotas::message::WorkspaceTag;

/// Part of the limit that a host grants while another one, which it takes for alive, is the authority: with
/// [`DOUBT_TIME`], less than a tenth of what the limit allows in five seconds.
const DOUBT_SHARE: f64 = 0.15;
/// Time for which a host does so. An authority that has ended is known to be silent after it.
const DOUBT_TIME: Duration = Duration::from_millis(2_500);
/// Time after which it may do so again.
const DOUBT_INTERVAL: Duration = Duration::from_secs(10);
/// Time at the whole rate that a process which has just started grants at once, as what was sent before is
/// not known.
const START_TIME: Duration = Duration::from_millis(200);
/// Time after the first question about a workspace in which levels that other hosts know still count.
const OPENING_TIME: Duration = Duration::from_secs(1);
/// Time since the last question of a host within which it counts among those that ask.
const ASKING_TIME: Duration = Duration::from_secs(1);
/// Longest time, beyond that until the next request may be sent, in which a host need not ask.
const MAX_PAUSE: Duration = Duration::from_millis(500);
/// Time without a question after which a workspace is forgotten.
const RECORD_TIME: Duration = Duration::from_secs(30);
/// Shortest interval between two searches for what is to be forgotten.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Whether a host that is asked about a workspace paces it, as it sees the hosts itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AuthorityRank {
    /// It comes first among the hosts that it hears.
    First,
    /// Another host comes first that this one does not know to be silent.
    Later,
}

#[derive(Debug)]
pub(crate) struct QuotaRecord {
    bucket: RequestBucket,
    /// Version of the configuration that has the limit.
    version: u64,
    opened_at: Instant,
    granted_since_opening: f64,
    asked_at: Instant,
    /// When processes last asked for more than they got or needed, by their random numbers.
    asking: HashMap<u32, Instant>,
    /// When this host began to pace the workspace although another one comes first.
    doubted_since: Option<Instant>,
}

/// Limits of the workspaces that this host paces.
#[derive(Debug)]
pub(crate) struct QuotaAuthority {
    records: HashMap<WorkspaceTag, QuotaRecord>,
    /// Newest sequence number of each process that asked, and when it did.
    sequences: HashMap<u32, (u32, Instant)>,
    started_at: Instant,
    swept_at: Instant,
}

impl QuotaAuthority {
    /// Creates the authority of a process that starts now, which knows no workspace.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            records: HashMap::default(),
            sequences: HashMap::default(),
            started_at: now,
            swept_at: now,
        }
    }

    /// Number of workspaces that this host paces.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the question `sequence` of `process` is newer than all that came before. One that was
    /// overtaken or doubled must not count again.
    pub(crate) fn accept(&mut self, process: u32, sequence: u32, now: Instant) -> bool {
        self.sweep(now);
        let newest = self.sequences.get(&process);
        let is_newer = newest.is_none_or(|(known, _)| sequence.wrapping_sub(*known) as i32 > 0);
        if is_newer {
            self.sequences.insert(process, (sequence, now));
        }
        is_newer
    }

    /// Answers what `process` asks in `entry`, where this host is in contact with `share` of the fleet.
    /// `None` if another host paces the workspace.
    pub(crate) fn answer(
        &mut self,
        process: u32,
        entry: &QuotaEntry,
        rank: AuthorityRank,
        share: f64,
        now: Instant,
    ) -> Option<QuotaGrant> {
        let allowance = entry.allowance();
        let is_limit = allowance.per_second.is_finite()
            && allowance.per_second > 0.0
            && allowance.burst.is_finite()
            && allowance.burst >= 0.0;
        if !is_limit {
            return None;
        }
        let started_at = self.started_at;
        let record = self
            .records
            .entry(entry.0)
            .or_insert_with(|| QuotaRecord::new(entry, rank.part(share), started_at, now));
        if !record.is_granting(rank, now) {
            return None;
        }
        record.bucket.refill(now);
        record.apply_terms(entry, rank.part(share));
        record.apply_known(entry, now);
        Some(record.grant(process, entry, now))
    }

    fn sweep(&mut self, now: Instant) {
        if now - self.swept_at < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        self.sequences.retain(|_, (_, at)| now - *at < RECORD_TIME);
        self.records
            .retain(|_, record| now - record.asked_at < RECORD_TIME);
        for record in self.records.values_mut() {
            record.asking.retain(|_, at| now - *at < ASKING_TIME);
        }
    }
}

impl AuthorityRank {
    /// Part of the limit that a host of this rank grants.
    fn part(self, share: f64) -> f64 {
        let share = share.clamp(f64::EPSILON, 1.0);
        match self {
            Self::First => share,
            Self::Later => share * DOUBT_SHARE,
        }
    }
}

impl QuotaRecord {
    /// The record of a workspace that is asked about for the first time. What was sent while another
    /// process paced it is known from the hosts that ask; a process that has just started waits for them.
    fn new(entry: &QuotaEntry, part: f64, started_at: Instant, now: Instant) -> Self {
        let allowance = entry.allowance();
        let run_time = (now - started_at + START_TIME).as_secs_f64();
        let level = allowance.per_second * part * run_time;
        let least = RequestBucket::whole_capacity(allowance) * part;
        Self {
            bucket: RequestBucket::new(allowance, part, level.min(least).max(part), now),
            version: entry.1,
            opened_at: now,
            granted_since_opening: 0.0,
            asked_at: now,
            asking: HashMap::default(),
            doubted_since: None,
        }
    }

    /// Whether this host grants requests, by its rank.
    fn is_granting(&mut self, rank: AuthorityRank, now: Instant) -> bool {
        match rank {
            AuthorityRank::First => {
                self.doubted_since = None;
                true
            }
            AuthorityRank::Later => {
                let since = *self.doubted_since.get_or_insert(now);
                if now - since >= DOUBT_INTERVAL {
                    self.doubted_since = Some(now);
                    return true;
                }
                now - since < DOUBT_TIME
            }
        }
    }

    /// Takes over the limit of the newest configuration that a host knows.
    fn apply_terms(&mut self, entry: &QuotaEntry, part: f64) {
        let is_newer = entry.1 > self.version;
        let known = self.bucket.allowance();
        let allowance = if is_newer { entry.allowance() } else { known };
        self.version = self.version.max(entry.1);
        self.bucket.set_terms(allowance, part);
    }

    /// Lowers the level to what another host knows of it from the authority before, while this host is new
    /// to the workspace.
    fn apply_known(&mut self, entry: &QuotaEntry, now: Instant) {
        let open_time = now - self.opened_at;
        if let Some((level, age)) = entry.known()
            && open_time < OPENING_TIME
            && age > open_time
        {
            let accrued = age.as_secs_f64() * self.bucket.rate();
            let level = level * self.bucket.share() + accrued - self.granted_since_opening;
            self.bucket.lower_to(level);
        }
    }

    fn grant(&mut self, process: u32, entry: &QuotaEntry, now: Instant) -> QuotaGrant {
        let QuotaEntry(.., needed, ahead, returned, owed, _) = *entry;
        self.asked_at = now;
        self.bucket.put(returned);
        self.bucket.charge(owed);
        let granted = self.bucket.take(needed);
        // What is granted ahead comes from the upper half, so that no host holds what others need.
        let spare = (self.bucket.level() - self.bucket.capacity() / 2.0) / 2.0;
        let ahead = self.bucket.take(ahead.min(spare.max(0.0) as u16));
        self.granted_since_opening += f64::from(granted) + f64::from(ahead);
        let mut grant = QuotaGrant(
            granted.saturating_add(ahead),
            QuotaLevel::new(self.bucket.whole_level()),
            0,
            0,
        );
        if needed > 0 {
            self.asking.insert(process, now);
        }
        if granted < needed {
            let (pause, interval) = self.pause(now);
            grant.2 = millis(pause).max(1);
            grant.3 = millis(interval).max(1);
        }
        grant
    }

    /// Time for which a host need not ask again, and mean time between two requests of one host.
    fn pause(&mut self, now: Instant) -> (Duration, Duration) {
        let rate = self.bucket.rate();
        let asking = self.asking.values().filter(|at| now - **at < ASKING_TIME);
        let interval = asking.count().max(1) as f64 / rate;
        // The bucket must not be full before the hosts ask again.
        let until_half = (self.bucket.capacity() - 1.0) / 2.0 / rate;
        let extra = (interval / 2.0)
            .min(MAX_PAUSE.as_secs_f64())
            .min(until_half);
        let seconds = |value: f64| Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX);
        (
            self.bucket.wait().saturating_add(seconds(extra)),
            seconds(interval),
        )
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
