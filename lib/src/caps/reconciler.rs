//! Reconciles the division with the membership: confirmations, joins, removals and planned
//! shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::caps::division::DIVISION_FORMAT;
use crate::caps::division::DivisionHost;
use crate::caps::division::DivisionRecord;
use crate::caps::division::EpochReport;
use crate::caps::keeper::CapDependencies;
use crate::caps::keeper::CapKeeper;
use crate::caps::message::CapsReply;
use crate::caps::message::CapsRequest;
use crate::collections::HashMap;
use crate::counters::RetryReason;
use crate::decisions::DecisionKind;
use crate::edges::kv::Expect;
use crate::edges::kv::KvError;
use crate::edges::kv::KvVersion;
use crate::ids::HostId;
use crate::membership::HostState;
use crate::membership::PeerHost;

/// Key of the [`DivisionRecord`] in the key-value service.
pub const DIVISION_KEY: &str = "caps/division";

const TICK_INTERVAL: Duration = Duration::from_millis(250);
const SETTLE_INTERVAL: Duration = Duration::from_millis(100);
const EPOCH_TIMEOUT: Duration = Duration::from_millis(500);
/// A host has to be missing from the membership for this long before it loses its share.
const REMOVAL_DELAY: Duration = Duration::from_secs(2);
/// Each wrong removal of a host doubles the wait before the next one, up to this many times.
const MAX_REMOVAL_DELAY_DOUBLINGS: u32 = 8;
const LEAVE_ATTEMPTS: u32 = 5;

/// Background task of one host that confirms its share and, on the host that owns
/// [`DIVISION_KEY`], writes a new division when the membership changes.
pub(crate) struct DivisionReconciler {
    keeper: Arc<CapKeeper>,
    dependencies: CapDependencies,
    incarnation: u64,
    stored: Option<(DivisionRecord, KvVersion)>,
    missing_since: HashMap<HostId, Instant>,
    /// Last entry of each host in any division that was read.
    last_entries: HashMap<HostId, DivisionHost>,
    /// Incarnation of each host in the membership when it was queried, and the incarnation that it
    /// reported for the division.
    incarnations: HashMap<HostId, (u64, u64)>,
    last_read: Option<Instant>,
    last_epoch_query: Option<Instant>,
}

impl DivisionReconciler {
    /// Returns the task for a `keeper` in a fleet; `None` on a single host, whose caps are not
    /// divided.
    pub(crate) fn new(keeper: Arc<CapKeeper>, incarnation: u64) -> Option<Self> {
        let dependencies = keeper.dependencies()?.clone();
        Some(Self {
            keeper,
            dependencies,
            incarnation,
            stored: None,
            missing_since: HashMap::default(),
            last_entries: HashMap::default(),
            incarnations: HashMap::default(),
            last_read: None,
            last_epoch_query: None,
        })
    }

    /// Runs until `stop`, then gives up this host's share and leaves the division.
    pub(crate) async fn run(mut self, stop: CancellationToken) {
        let keeper = self.keeper.clone();
        let settling = async {
            let mut ticks = tokio::time::interval(SETTLE_INTERVAL);
            loop {
                ticks.tick().await;
                keeper.send_settlements().await;
            }
        };
        let confirming = async {
            let mut ticks = tokio::time::interval(TICK_INTERVAL);
            ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
            loop {
                ticks.tick().await;
                self.tick().await;
            }
        };
        tokio::select! {
            () = settling => {}
            () = confirming => {}
            () = stop.cancelled() => {}
        }
        self.leave_division().await;
    }

    async fn tick(&mut self) {
        let now = Instant::now();
        let interval = self.confirm_interval();
        let read_due = self.last_read.is_none_or(|last| now - last >= interval);
        let mut readable = true;
        if read_due {
            self.last_read = Some(now);
            readable = self.read_division().await;
        }
        let retired = self.has_retired_previous();
        let query_due = self
            .last_epoch_query
            .is_none_or(|last| now - last >= interval);
        if !readable || (!retired && query_due) {
            self.last_epoch_query = Some(now);
            self.query_epochs().await;
        }
        if readable && read_due {
            self.reconcile().await;
        }
    }

    fn confirm_interval(&self) -> Duration {
        let ledger = self.keeper.lock();
        let record = ledger.lease().and_then(|lease| lease.record());
        record.map_or(TICK_INTERVAL, DivisionRecord::confirm_interval)
    }

    fn has_retired_previous(&self) -> bool {
        let ledger = self.keeper.lock();
        let lease = ledger.lease();
        lease.is_some_and(|lease| lease.has_retired_previous(Instant::now()))
    }

    /// Reads and adopts the stored division; returns whether the key-value service answered.
    async fn read_division(&mut self) -> bool {
        let started = Instant::now();
        let timeout = self.confirm_interval().max(EPOCH_TIMEOUT);
        let read = tokio::time::timeout(timeout, self.dependencies.kv.get(DIVISION_KEY)).await;
        let entry = match read {
            Ok(Ok(entry)) => entry,
            _ => {
                self.dependencies.counters.retry(RetryReason::StoreFailed);
                return false;
            }
        };
        self.stored = entry.and_then(|entry| {
            let record: DivisionRecord = serde_json::from_slice(&entry.value).ok()?;
            (record.format == DIVISION_FORMAT).then_some((record, entry.version))
        });
        if let Some((record, _)) = &self.stored {
            let hosts = record.hosts.iter();
            self.last_entries
                .extend(hosts.map(|host| (host.id.clone(), host.clone())));
            let mut ledger = self.keeper.lock();
            ledger.confirm_stored(record.clone(), started, Instant::now());
        }
        true
    }

    /// Asks the hosts of the known division and of the membership for their epochs, adopts newer
    /// divisions, and confirms the known one if none is newer.
    async fn query_epochs(&self) {
        let started = Instant::now();
        let known = {
            let ledger = self.keeper.lock();
            let lease = ledger.lease();
            lease.and_then(|lease| lease.record()).cloned()
        };
        let epoch = known.as_ref().map_or(0, |record| record.epoch);
        let mut addresses: HashMap<HostId, SocketAddr> = HashMap::default();
        for host in known.iter().flat_map(|record| &record.hosts) {
            addresses.insert(host.id.clone(), host.peer_address);
        }
        for host in &self.dependencies.membership.view().hosts {
            addresses.insert(host.id.clone(), host.peer_address);
        }
        addresses.remove(&self.dependencies.host);
        let calls = addresses.into_values().map(|address| {
            let request = CapsRequest::Epoch { known: epoch };
            self.dependencies
                .peers
                .call(address, request, EPOCH_TIMEOUT)
        });
        let replies = futures_util::future::join_all(calls).await;
        let mut reports: Vec<EpochReport> = Vec::new();
        let mut ledger = self.keeper.lock();
        for reply in replies {
            if let Ok(CapsReply::Epoch { report, newer }) = reply {
                reports.push(report);
                if let Some(record) = newer {
                    ledger.learn(record, Instant::now());
                }
            }
        }
        let unchanged = ledger.lease().and_then(|lease| lease.record()) == known.as_ref();
        if unchanged {
            ledger.confirm_reports(&reports, started, Instant::now());
        }
    }

    /// Writes a new division if the membership has changed and this host owns the key. Any host
    /// does if there is no division yet or it has no hosts.
    async fn reconcile(&mut self) {
        let view = self.dependencies.membership.view();
        let current = self.stored.as_ref().map(|(record, _)| record.clone());
        if current.is_some() && !self.has_retired_previous() {
            return;
        }
        let writer = view.owner_of(DIVISION_KEY).map(|host| &host.id);
        let orphaned = current
            .as_ref()
            .is_none_or(|record| record.hosts.is_empty());
        if writer != Some(&self.dependencies.host) && !orphaned {
            return;
        }
        let hosts = self.next_hosts(current.as_ref(), &view.hosts).await;
        let known = current.as_ref().map(|record| record.hosts.as_slice());
        if known != Some(hosts.as_slice()) {
            self.write_division(current, hosts, false).await;
        }
    }

    /// Returns the hosts of the next division: live ones that do not drain, and missing ones whose
    /// removal is not due yet.
    async fn next_hosts(
        &mut self,
        current: Option<&DivisionRecord>,
        live: &[Arc<PeerHost>],
    ) -> Vec<DivisionHost> {
        self.query_incarnations(live).await;
        let held: Vec<DivisionHost> = current
            .into_iter()
            .flat_map(|record| record.hosts.iter().cloned())
            .collect();
        let mut hosts: Vec<DivisionHost> = live
            .iter()
            .filter(|host| host.state != HostState::Draining)
            .filter_map(|host| self.next_entry(&held, host))
            .collect();
        let missing = held
            .into_iter()
            .filter(|host| !live.iter().any(|other| other.id == host.id));
        hosts.extend(self.retained_missing(missing.collect()).await);
        hosts.sort_by(|one, other| one.id.cmp(&other.id));
        hosts
    }

    /// Returns the entry of a live host in the next division: its current one, or a new one if the
    /// host reports another incarnation. `None` if the host is new and has not reported any.
    fn next_entry(&self, held: &[DivisionHost], host: &PeerHost) -> Option<DivisionHost> {
        let held = held.iter().find(|other| other.id == host.id);
        let reported = match host.id == self.dependencies.host {
            true => Some(self.incarnation),
            false => self
                .incarnations
                .get(&host.id)
                .map(|(_, reported)| *reported),
        };
        let Some(reported) = reported else {
            return held.cloned();
        };
        if let Some(held) = held.filter(|held| held.incarnation == reported) {
            return Some(held.clone());
        }
        let last_entry = self.last_entries.get(&host.id);
        let returned =
            last_entry.filter(|last_entry| held.is_none() && last_entry.incarnation == reported);
        Some(DivisionHost {
            id: host.id.clone(),
            incarnation: reported,
            peer_address: host.peer_address,
            wrong_removals: returned.map_or(0, |last_entry| last_entry.wrong_removals + 1),
        })
    }

    /// Queries the incarnations of live hosts, once for each incarnation in the membership.
    async fn query_incarnations(&mut self, live: &[Arc<PeerHost>]) {
        let unknown = live.iter().filter(|host| {
            let known = self.incarnations.get(&host.id);
            host.id != self.dependencies.host
                && known.is_none_or(|(queried, _)| *queried != host.incarnation)
        });
        let asked = unknown.map(|host| async {
            let reported = self.query_incarnation(host.peer_address).await?;
            Some((host.id.clone(), (host.incarnation, reported)))
        });
        let answers = futures_util::future::join_all(asked).await;
        self.incarnations.extend(answers.into_iter().flatten());
    }

    async fn query_incarnation(&self, address: SocketAddr) -> Option<u64> {
        let request = CapsRequest::Epoch { known: u64::MAX };
        match self
            .dependencies
            .peers
            .call(address, request, EPOCH_TIMEOUT)
            .await
        {
            Ok(CapsReply::Epoch { report, .. }) => Some(report.incarnation),
            _ => None,
        }
    }

    /// Returns those `missing` hosts that keep their share: they still answer with the same
    /// incarnation, or have been silent for less than the wait before a removal.
    async fn retained_missing(&mut self, missing: Vec<DivisionHost>) -> Vec<DivisionHost> {
        let asked = missing
            .iter()
            .map(|host| self.query_incarnation(host.peer_address));
        let incarnations = futures_util::future::join_all(asked).await;
        let now = Instant::now();
        let mut silent = HashMap::default();
        let mut kept = Vec::new();
        for (host, reported) in missing.into_iter().zip(incarnations) {
            if reported == Some(host.incarnation) {
                kept.push(host);
                continue;
            }
            let since = self.missing_since.get(&host.id).copied().unwrap_or(now);
            silent.insert(host.id.clone(), since);
            let delay = REMOVAL_DELAY * (1 << host.wrong_removals.min(MAX_REMOVAL_DELAY_DOUBLINGS));
            if now - since < delay {
                kept.push(host);
            }
        }
        self.missing_since = silent;
        kept
    }

    async fn write_division(
        &mut self,
        current: Option<DivisionRecord>,
        hosts: Vec<DivisionHost>,
        handed_over: bool,
    ) -> bool {
        let expect = self
            .stored
            .as_ref()
            .map_or(Expect::Absent, |(_, version)| Expect::Version(*version));
        let record = DivisionRecord {
            format: DIVISION_FORMAT,
            epoch: current.as_ref().map_or(1, |record| record.epoch + 1),
            previous: current
                .iter()
                .flat_map(|record| &record.hosts)
                .map(|host| host.id.clone())
                .collect(),
            hosts,
            handed_over,
        };
        let value = serde_json::to_vec(&record).expect("records serialize to JSON");
        let written = self
            .dependencies
            .kv
            .put(DIVISION_KEY, Bytes::from(value), expect, None)
            .await;
        match written {
            Ok(_) => {
                let names: Vec<&str> = record.hosts.iter().map(|host| host.id.as_str()).collect();
                let detail = format!("division {} among {}", record.epoch, names.join(", "));
                self.dependencies
                    .decisions
                    .record(DecisionKind::Cap, &names, detail);
                self.last_read = None;
                true
            }
            Err(KvError::Conflict { .. }) => {
                self.dependencies.counters.retry(RetryReason::StoreConflict);
                false
            }
            Err(_) => {
                self.dependencies.counters.retry(RetryReason::StoreFailed);
                false
            }
        }
    }

    /// Gives up this host's share and removes the host from the stored division. Without that write
    /// (store unavailable, division unsettled, conflicts), the other hosts remove it later.
    async fn leave_division(&mut self) {
        self.keeper.lock().give_up(Instant::now());
        self.keeper.send_settlements().await;
        for _ in 0..LEAVE_ATTEMPTS {
            if !self.read_division().await {
                return;
            }
            let Some((record, _)) = self.stored.clone() else {
                return;
            };
            let hosts: Vec<DivisionHost> = record
                .hosts
                .iter()
                .filter(|host| host.id != self.dependencies.host)
                .cloned()
                .collect();
            if hosts.len() == record.hosts.len() || !self.has_retired_previous() {
                return;
            }
            if self.write_division(Some(record), hosts, true).await {
                return;
            }
        }
    }
}
