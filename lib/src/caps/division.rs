//! The division of all caps among hosts, and this host's time-limited share of it.
//!
//! A division gives each of its hosts an equal share. Divisions are numbered by epochs and replaced
//! in the key-value service by compare-and-swap. The rules below guarantee that the shares in use
//! never add up to more than one, whichever hosts, links or parts of the key-value service fail:
//!
//! - A host uses its share only for [`DivisionRecord::validity`] after a confirmation that its
//!   epoch was the newest. A confirmation is a read of the key-value service, or reports from a
//!   majority of the epoch's hosts that they have not seen a newer epoch.
//! - A share grows under a new epoch only after a majority of the hosts of the previous epoch has
//!   adopted the new one, and after the validity of every earlier confirmation has passed.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::ids::HostId;

/// Version of the stored format of [`DivisionRecord`]; records of another version are ignored.
pub const DIVISION_FORMAT: u32 = 1;
/// Margin added to the waits of this module, as the clocks of two hosts run at different rates.
pub(crate) const CLOCK_MARGIN: Duration = Duration::from_millis(250);
/// Timeout of a request for tokens; a grant that arrives later is not used.
pub(crate) const GRANT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time from the request for a loan in which its tokens have to be reserved.
pub const LOAN_TTL: Duration = Duration::from_secs(1);
/// Longest time without a read of the key-value service in which reports of peers confirm a share.
pub(crate) const MAX_STORE_READ_AGE: Duration = Duration::from_secs(3600);

const MIN_CONFIRM_INTERVAL: Duration = Duration::from_secs(1);
/// Most reads of the division a second by the whole fleet; large fleets confirm less often.
const MAX_FLEET_READS_PER_SECOND: u64 = 350;
const CONFIRMATIONS_PER_VALIDITY: u32 = 3;

/// A host that holds a share of the division.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DivisionHost {
    /// Name of the host; unique in a division.
    pub id: HostId,
    /// Incarnation (start of the process) that holds the share; a restarted host has another.
    pub incarnation: u64,
    /// Address at which other entry hosts reach this one.
    pub peer_address: SocketAddr,
    /// How often this incarnation was removed although it was running. Each time doubles the wait
    /// before the next removal, up to a limit.
    #[serde(rename = "returns")]
    pub wrong_removals: u32,
}

/// The current division, as stored in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DivisionRecord {
    /// Version of the stored format, [`DIVISION_FORMAT`].
    pub format: u32,
    /// Epoch of the division, from 1; each write adds one.
    pub epoch: u64,
    /// Hosts with equal shares, ordered by name.
    pub hosts: Vec<DivisionHost>,
    /// Hosts of the previous epoch; empty in the first.
    pub previous: Vec<HostId>,
    /// Whether every host that this epoch removed had stopped using its share before, and no host
    /// was added. Shares then grow without waiting for the previous epoch to run out.
    pub handed_over: bool,
}

impl DivisionRecord {
    /// Returns the share of each host, from 0 to 1; 0 if there are no hosts.
    pub fn share(&self) -> f64 {
        match self.hosts.len() {
            0 => 0.0,
            count => 1.0 / count as f64,
        }
    }

    /// Returns the time between two confirmations by one host, which grows with the fleet.
    pub fn confirm_interval(&self) -> Duration {
        confirm_interval(self.hosts.len())
    }

    /// Returns the time for which a confirmation lets a host use its share.
    pub fn validity(&self) -> Duration {
        self.confirm_interval() * CONFIRMATIONS_PER_VALIDITY
    }

    fn previous_validity(&self) -> Duration {
        confirm_interval(self.previous.len()) * CONFIRMATIONS_PER_VALIDITY
    }

    fn host_entry(&self, id: &HostId) -> Option<&DivisionHost> {
        self.hosts.iter().find(|host| host.id == *id)
    }
}

fn confirm_interval(hosts: usize) -> Duration {
    let millis = hosts as u64 * 1000 / MAX_FLEET_READS_PER_SECOND;
    MIN_CONFIRM_INTERVAL.max(Duration::from_millis(millis))
}

/// Newest epoch that a host knows, as it reports to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochReport {
    /// Host that reports.
    pub host: HostId,
    /// Incarnation of the host that reports.
    pub incarnation: u64,
    /// Newest epoch that the host knows; `None` if it has never read the division from the
    /// key-value service.
    pub epoch: Option<u64>,
}

/// How a received record relates to the one known before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LearnOutcome {
    /// The record is not newer and was ignored.
    Known,
    /// The record is of the next epoch, and this host has a share in it.
    Next,
    /// Epochs between the two were missed, or this host had no share in the older one. Tokens that
    /// accrued before must not be used.
    Restarted,
}

/// Time-limited share of all caps that this host may use, renewed by confirmations.
#[derive(Clone, Debug)]
pub struct ShareLease {
    own_id: HostId,
    incarnation: u64,
    record: Option<DivisionRecord>,
    /// Share that was held under earlier epochs, at most that of the current one.
    carried_share: f64,
    learned_at: Option<Instant>,
    adopted_by: BTreeSet<HostId>,
    /// Time from which no host uses a share of an earlier epoch; `None` until a majority of the
    /// hosts of the previous epoch has adopted the current one.
    previous_retired_at: Option<Instant>,
    confirmed_at: Option<Instant>,
    store_read_at: Option<Instant>,
    given_up: bool,
}

impl ShareLease {
    /// Returns the state of the host `own_id` before it knows a division; its share is 0.
    pub fn new(own_id: HostId, incarnation: u64) -> Self {
        Self {
            own_id,
            incarnation,
            record: None,
            carried_share: 0.0,
            learned_at: None,
            adopted_by: BTreeSet::new(),
            previous_retired_at: None,
            confirmed_at: None,
            store_read_at: None,
            given_up: false,
        }
    }

    /// Returns the newest known division.
    pub fn record(&self) -> Option<&DivisionRecord> {
        self.record.as_ref()
    }

    /// Returns the report of this host's epoch for its peers.
    pub fn report(&self) -> EpochReport {
        let read = self.store_read_at.is_some();
        let epoch = self.record.as_ref().map(|record| record.epoch);
        EpochReport {
            host: self.own_id.clone(),
            incarnation: self.incarnation,
            epoch: epoch.filter(|_| read),
        }
    }

    /// Adopts a record received from a peer if it is newer; this does not confirm it.
    pub fn learn(&mut self, record: DivisionRecord, now: Instant) -> LearnOutcome {
        let known = self.record.as_ref().map_or(0, |record| record.epoch);
        if record.epoch <= known {
            return LearnOutcome::Known;
        }
        let follows = record.epoch == known + 1 && self.has_share();
        let held = match follows {
            true => self.entitled_share(now),
            false => previous_share(&record, &self.own_id),
        };
        self.carried_share = match self.has_share() {
            true => held.min(record.share()),
            false => 0.0,
        };
        self.adopted_by = BTreeSet::from([self.own_id.clone()]);
        self.learned_at = Some(now);
        self.confirmed_at = None;
        self.previous_retired_at = None;
        self.record = Some(record);
        self.update_retirement(now);
        match follows {
            true => LearnOutcome::Next,
            false => LearnOutcome::Restarted,
        }
    }

    /// Adopts a record read from the key-value service and confirms it as of `started`, when the
    /// read began.
    pub fn confirm_stored(
        &mut self,
        record: DivisionRecord,
        started: Instant,
        now: Instant,
    ) -> LearnOutcome {
        let epoch = record.epoch;
        let outcome = self.learn(record, now);
        if self
            .record
            .as_ref()
            .is_some_and(|known| known.epoch == epoch)
        {
            self.confirmed_at = self.confirmed_at.max(Some(started));
            self.store_read_at = self.store_read_at.max(Some(started));
        }
        outcome
    }

    /// Applies the reports of peers to requests sent after `started`.
    ///
    /// They confirm the current epoch as of `started` if a majority of its hosts knows it, no host
    /// knows a newer one, and the last read of the key-value service is recent enough.
    pub fn confirm_reports(&mut self, reports: &[EpochReport], started: Instant, now: Instant) {
        let Some(record) = &self.record else {
            return;
        };
        let epoch = record.epoch;
        let agrees = |host: &&DivisionHost| {
            host.id == self.own_id
                || reports
                    .iter()
                    .any(|report| report.host == host.id && report.epoch == Some(epoch))
        };
        let agreeing = record.hosts.iter().filter(agrees).count();
        let adopted = reports
            .iter()
            .filter(|report| report.epoch.is_some_and(|known| known >= epoch));
        self.adopted_by
            .extend(adopted.map(|report| report.host.clone()));
        let contradicted = reports
            .iter()
            .any(|report| report.epoch.is_some_and(|known| known > epoch));
        let majority = agreeing > record.hosts.len() / 2;
        let recently_read = self
            .store_read_at
            .is_some_and(|stored| started < stored + MAX_STORE_READ_AGE);
        if majority && recently_read && !contradicted {
            self.confirmed_at = self.confirmed_at.max(Some(started));
        }
        self.update_retirement(now);
    }

    /// Stops the use of this host's share for the rest of the process, ahead of a planned shutdown.
    pub fn give_up(&mut self) {
        self.given_up = true;
    }

    /// Returns the share at which tokens accrue to this host, whether or not it is confirmed.
    pub fn entitled_share(&self, now: Instant) -> f64 {
        let Some(record) = self.record.as_ref().filter(|_| self.has_share()) else {
            return 0.0;
        };
        match self.may_grow(record, now) {
            true => record.share(),
            false => self.carried_share,
        }
    }

    /// Returns the time until which this host may use and lend its tokens; `None` if it has no
    /// share or no confirmation.
    pub fn valid_until(&self) -> Option<Instant> {
        let record = self.record.as_ref().filter(|_| self.has_share())?;
        let confirmed = self.confirmed_at?;
        Some(confirmed + record.validity())
    }

    /// Returns whether the last confirmation still lets this host use and lend its tokens.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_until().is_some_and(|until| now < until)
    }

    /// Returns whether no host uses a share of an earlier epoch any more. The next division may be
    /// written only then.
    pub fn has_retired_previous(&self, now: Instant) -> bool {
        let overdue = self.learned_at.map(|learned| {
            let waited = self.record.as_ref().map_or(Duration::ZERO, |record| {
                MAX_STORE_READ_AGE + record.previous_validity()
            });
            learned + waited + LOAN_TTL + CLOCK_MARGIN
        });
        let since = self.previous_retired_at.into_iter().chain(overdue).min();
        since.is_some_and(|since| now >= since)
    }

    /// Returns whether this incarnation has a share in the newest known division and has not given
    /// it up.
    pub fn has_share(&self) -> bool {
        let host = self
            .record
            .as_ref()
            .and_then(|record| record.host_entry(&self.own_id));
        !self.given_up && host.is_some_and(|host| host.incarnation == self.incarnation)
    }

    fn may_grow(&self, record: &DivisionRecord, now: Instant) -> bool {
        let handed_over = record.handed_over
            && self
                .learned_at
                .is_some_and(|learned| now >= learned + LOAN_TTL + CLOCK_MARGIN);
        handed_over || self.has_retired_previous(now)
    }

    fn update_retirement(&mut self, now: Instant) {
        let Some(record) = &self.record else {
            return;
        };
        if self.previous_retired_at.is_some() {
            return;
        }
        if record.previous.is_empty() {
            self.previous_retired_at = Some(now);
            return;
        }
        let adopted = record
            .previous
            .iter()
            .filter(|id| self.adopted_by.contains(*id))
            .count();
        if adopted > record.previous.len() / 2 {
            let wait = record.previous_validity() + LOAN_TTL + CLOCK_MARGIN;
            self.previous_retired_at = Some(now + wait);
        }
    }
}

/// Returns the share of `own_id` in the epoch before `record`.
fn previous_share(record: &DivisionRecord, own_id: &HostId) -> f64 {
    match record.previous.contains(own_id) {
        true => 1.0 / record.previous.len() as f64,
        false => 0.0,
    }
}
