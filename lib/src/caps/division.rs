//! The division of all caps among hosts, and what part of it this host may use.
//!
//! A division gives each of its hosts an equal part. Divisions are numbered by epochs and replaced
//! in the key-value service by compare-and-swap. The type guarantees that the parts in use never
//! add up to more than one, whatever hosts, links or the key-value service do:
//!
//! - A host uses its part only for [`DivisionRecord::validity`] after a confirmation that its epoch
//!   was the newest: a read of the key-value service, or the word of a majority of the epoch's hosts
//!   that they have not seen a newer one.
//! - A part grows under a new epoch only after a majority of the hosts of the epoch before has
//!   adopted it, and after the validity of every earlier confirmation has passed.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::ids::HostId;

/// Format of [`DivisionRecord`].
pub const DIVISION_FORMAT: u32 = 1;
/// Allowance for clocks that run at different rates, over the waits of this module.
pub(crate) const CLOCK_MARGIN: Duration = Duration::from_millis(250);
/// Time in which a grant reaches its host; a later one is not used.
pub(crate) const GRANT_TIME: Duration = Duration::from_millis(400);
/// Time in which lent tokens have to be used.
pub const LOAN_TTL: Duration = Duration::from_secs(1);
/// Time for which a host may go without a read of the key-value service.
pub(crate) const ATTESTATION_LIMIT: Duration = Duration::from_secs(3600);

const MIN_CONFIRM_INTERVAL: Duration = Duration::from_secs(1);
/// Reads of the division a second by the whole fleet, at most.
const MAX_FLEET_READS: u64 = 350;
const CONFIRMS_PER_VALIDITY: u32 = 3;

/// A host of a division.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DivisionHost {
    /// Name of the host.
    pub id: HostId,
    /// Which start of the host holds the part.
    pub incarnation: u64,
    /// Address for other entry hosts.
    pub peer_address: SocketAddr,
    /// How often this start was taken out although it ran; each time makes removal more patient.
    pub returns: u32,
}

/// The division that is in force, as the key-value service holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DivisionRecord {
    /// Format of the record.
    pub format: u32,
    /// Number of the division; each write adds one.
    pub epoch: u64,
    /// Hosts with equal parts, in order of their names.
    pub hosts: Vec<DivisionHost>,
    /// Hosts of the epoch before.
    pub previous: Vec<HostId>,
    /// Whether all hosts that went stopped using their parts beforehand, and none came.
    pub handed_over: bool,
}

impl DivisionRecord {
    /// Part of each host, from 0 to 1.
    pub fn part(&self) -> f64 {
        match self.hosts.len() {
            0 => 0.0,
            count => 1.0 / count as f64,
        }
    }

    /// Time between two confirmations by one host.
    pub fn confirm_interval(&self) -> Duration {
        confirm_interval(self.hosts.len())
    }

    /// Time for which a confirmation is good.
    pub fn validity(&self) -> Duration {
        self.confirm_interval() * CONFIRMS_PER_VALIDITY
    }

    fn previous_validity(&self) -> Duration {
        confirm_interval(self.previous.len()) * CONFIRMS_PER_VALIDITY
    }

    fn position(&self, id: &HostId) -> Option<&DivisionHost> {
        self.hosts.iter().find(|host| host.id == *id)
    }
}

fn confirm_interval(hosts: usize) -> Duration {
    let millis = hosts as u64 * 1000 / MAX_FLEET_READS;
    MIN_CONFIRM_INTERVAL.max(Duration::from_millis(millis))
}

/// Newest epoch that a host knows, as it tells its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochReport {
    /// The host.
    pub host: HostId,
    /// Its start.
    pub incarnation: u64,
    /// The epoch; `None` from a host that has never read the key-value service.
    pub epoch: Option<u64>,
}

/// What changed when a record was learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LearnOutcome {
    /// The record is not newer.
    Known,
    /// The record follows the one that was known.
    Next,
    /// Epochs between the two were missed, or this host had no part in the older one.
    Restarted,
}

/// Part of all caps that one host may use.
#[derive(Clone, Debug)]
pub struct ShareLease {
    own: HostId,
    incarnation: u64,
    record: Option<DivisionRecord>,
    /// Part that was held under earlier epochs.
    carried: f64,
    learned_at: Option<Instant>,
    adopted_by: BTreeSet<HostId>,
    /// From this time on, no host uses a part of an earlier epoch.
    retired_at: Option<Instant>,
    confirmed_at: Option<Instant>,
    stored_at: Option<Instant>,
    given_up: bool,
}

impl ShareLease {
    /// Returns a right of the host `own` that knows no division.
    pub fn new(own: HostId, incarnation: u64) -> Self {
        Self {
            own,
            incarnation,
            record: None,
            carried: 0.0,
            learned_at: None,
            adopted_by: BTreeSet::new(),
            retired_at: None,
            confirmed_at: None,
            stored_at: None,
            given_up: false,
        }
    }

    /// The newest division that is known.
    pub fn record(&self) -> Option<&DivisionRecord> {
        self.record.as_ref()
    }

    /// What this host tells its peers.
    pub fn report(&self) -> EpochReport {
        let read = self.stored_at.is_some();
        let epoch = self.record.as_ref().map(|record| record.epoch);
        EpochReport {
            host: self.own.clone(),
            incarnation: self.incarnation,
            epoch: epoch.filter(|_| read),
        }
    }

    /// Takes in a record that a peer knows. It is not confirmed by this.
    pub fn learn(&mut self, record: DivisionRecord, now: Instant) -> LearnOutcome {
        let known = self.record.as_ref().map_or(0, |record| record.epoch);
        if record.epoch <= known {
            return LearnOutcome::Known;
        }
        let follows = record.epoch == known + 1 && self.is_member();
        let held = match follows {
            true => self.entitled(now),
            false => part_before(&record, &self.own),
        };
        self.carried = match self.is_member() {
            true => held.min(record.part()),
            false => 0.0,
        };
        self.adopted_by = BTreeSet::from([self.own.clone()]);
        self.learned_at = Some(now);
        self.confirmed_at = None;
        self.retired_at = None;
        self.record = Some(record);
        self.count_adoptions(now);
        match follows {
            true => LearnOutcome::Next,
            false => LearnOutcome::Restarted,
        }
    }

    /// Takes in the record that the key-value service held at some time after `started`.
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
            self.stored_at = self.stored_at.max(Some(started));
        }
        outcome
    }

    /// Takes in what peers reported in answer to questions sent after `started`.
    pub fn confirm_reports(&mut self, reports: &[EpochReport], started: Instant, now: Instant) {
        let Some(record) = &self.record else {
            return;
        };
        let epoch = record.epoch;
        let agrees = |host: &&DivisionHost| {
            host.id == self.own
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
        let rooted = self
            .stored_at
            .is_some_and(|stored| started < stored + ATTESTATION_LIMIT);
        if majority && rooted && !contradicted {
            self.confirmed_at = self.confirmed_at.max(Some(started));
        }
        self.count_adoptions(now);
    }

    /// Stops using this host's part for good, ahead of a planned stop.
    pub fn give_up(&mut self) {
        self.given_up = true;
    }

    /// Part that accrues to this host.
    pub fn entitled(&self, now: Instant) -> f64 {
        let Some(record) = self.record.as_ref().filter(|_| self.is_member()) else {
            return 0.0;
        };
        match self.has_grown(record, now) {
            true => record.part(),
            false => self.carried,
        }
    }

    /// Until when this host may use and lend what accrued to it.
    pub fn valid_until(&self) -> Option<Instant> {
        let record = self.record.as_ref().filter(|_| self.is_member())?;
        let confirmed = self.confirmed_at?;
        Some(confirmed + record.validity())
    }

    /// Whether this host may use and lend what accrued to it.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_until().is_some_and(|until| now < until)
    }

    /// Whether no host uses a part of an earlier epoch any more.
    pub fn is_settled(&self, now: Instant) -> bool {
        let overdue = self.learned_at.map(|learned| {
            let waited = self.record.as_ref().map_or(Duration::ZERO, |record| {
                ATTESTATION_LIMIT + record.previous_validity()
            });
            learned + waited + LOAN_TTL + CLOCK_MARGIN
        });
        let since = self.retired_at.into_iter().chain(overdue).min();
        since.is_some_and(|since| now >= since)
    }

    /// Whether this start of the host has a part in the newest division.
    pub fn is_member(&self) -> bool {
        let host = self
            .record
            .as_ref()
            .and_then(|record| record.position(&self.own));
        !self.given_up && host.is_some_and(|host| host.incarnation == self.incarnation)
    }

    fn has_grown(&self, record: &DivisionRecord, now: Instant) -> bool {
        let handed_over = record.handed_over
            && self
                .learned_at
                .is_some_and(|learned| now >= learned + LOAN_TTL + CLOCK_MARGIN);
        handed_over || self.is_settled(now)
    }

    fn count_adoptions(&mut self, now: Instant) {
        let Some(record) = &self.record else {
            return;
        };
        if self.retired_at.is_some() {
            return;
        }
        if record.previous.is_empty() {
            self.retired_at = Some(now);
            return;
        }
        let adopted = record
            .previous
            .iter()
            .filter(|id| self.adopted_by.contains(*id))
            .count();
        if adopted > record.previous.len() / 2 {
            let wait = record.previous_validity() + LOAN_TTL + CLOCK_MARGIN;
            self.retired_at = Some(now + wait);
        }
    }
}

/// Part of `own` in the epoch before `record`.
fn part_before(record: &DivisionRecord, own: &HostId) -> f64 {
    match record.previous.contains(own) {
        true => 1.0 / record.previous.len() as f64,
        false => 0.0,
    }
}
