//! Renews this host's lease, maintains its entry, and lists the entries of the other hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::edges::kv::Freshness;
use crate::edges::kv::KvCommit;
use crate::edges::kv::KvError;
use crate::edges::kv::KvPut;
use crate::edges::kv::KvStore;
use crate::edges::kv::KvVersion;
use crate::edges::kv::LeaseId;
use crate::edges::kv::list_all;
use crate::event_log::EventLog;
use crate::events::LogEvent;
use crate::registry::entry::HostEntry;
use crate::registry::entry::HostReadiness;
use crate::registry::entry::RegisteredHosts;
use crate::registry::entry::ReplacedProcess;
use crate::registry::interval::jittered;
use crate::registry::interval::shared_interval;
use crate::registry::message::NameCall;
use crate::registry::message::NamePeerClient;
use crate::registry::message::NameReply;
use crate::registry::message::NoPeerClient;
use crate::registry::name_hold::FoundEntry;
use crate::registry::name_hold::HostProcess;
use crate::registry::name_hold::ListingStep;
use crate::registry::name_hold::NameHold;
use crate::registry::name_hold::NameStep;
use crate::registry::name_hold::next_step;
use crate::registry::name_hold::read_listing;

/// Prefix of the keys of host entries in the key-value service.
const HOSTS_PREFIX: &str = "hosts/";
/// Listings per second that all hosts together make at most, until each reaches the longest
/// interval.
const LISTINGS_PER_SECOND: f64 = 40.0;
const MAX_LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Delay before a failed call is retried.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Reads and writes in a row that settle the entry of a name that other processes write too.
const MAX_ENTRY_STEPS: usize = 8;
/// Longest wait for the entry of the name when another process says that it has replaced it.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);

/// Intervals of the registry's calls to the key-value service.
#[derive(Clone, Copy, Debug)]
pub struct RegistryConfig {
    /// Time to live of the host's lease, which is renewed after a third of it.
    pub lease_ttl: Duration,
    /// Interval of listings in a small fleet; a large fleet lists less often.
    pub list_interval: Duration,
}

impl Default for RegistryConfig {
    fn default() -> Self {
        Self {
            lease_ttl: Duration::from_millis(3_600),
            list_interval: Duration::from_millis(1_000),
        }
    }
}

/// Registry of hosts, with this host's lease and entry. Clones refer to the same state.
#[derive(Clone)]
pub struct HostRegistry {
    pub(super) shared: Arc<RegistryShared>,
    pub(super) peers: Arc<dyn NamePeerClient>,
}

pub(super) struct RegistryShared {
    pub(super) kv: Arc<dyn KvStore>,
    pub(super) log: EventLog,
    pub(super) config: RegistryConfig,
    state: Mutex<RegistryState>,
    /// Held by the task that reads and writes the entry.
    writing: tokio::sync::Mutex<()>,
    displaced: CancellationToken,
}

pub(super) struct RegistryState {
    pub(super) own: HostEntry,
    pub(super) hold: NameHold,
    /// Whether it is not settled yet that the processes that were replaced have stopped.
    pub(super) is_settling: bool,
    lease: Option<LeaseId>,
    lease_proved_until: Option<Instant>,
    condition: EntryCondition,
    /// Processes that the start of this one replaces, or may have replaced.
    replacing: Vec<ReplacedProcess>,
    /// Whether the stored entry equals `own`.
    pub(super) is_written: bool,
    list: RegisteredHosts,
    outage_since: Option<Instant>,
}

/// What the next write of the entry is conditional on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EntryCondition {
    /// What a read shows: nothing is known of the key, or a write of unknown outcome was made.
    Read,
    /// The key has this version; `None`: it is absent.
    Known(Option<KvVersion>),
}

/// Condition that a process still has the name of its host: the key of its entry has this version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NameFence {
    pub(crate) key: String,
    pub(crate) version: KvVersion,
}

/// How a process learned that another one has replaced its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum DisplacedVia {
    /// The other process has called this one.
    Call,
    /// A write of this process found the other one's entry.
    Write,
    /// A listing showed the other one's entry, and an up-to-date read confirmed it.
    Listing,
}

impl HostRegistry {
    /// Creates a registry that writes `own` as this host's entry once it [runs](Self::run), with a new
    /// random number of the process unless `own` has one.
    pub fn new(
        kv: Arc<dyn KvStore>,
        log: EventLog,
        own: HostEntry,
        config: RegistryConfig,
    ) -> Self {
        let process = match own.process {
            0 => rand::random::<u64>().max(1),
            process => process,
        };
        let state = RegistryState {
            own: HostEntry { process, ..own },
            hold: NameHold::Starting,
            is_settling: false,
            lease: None,
            lease_proved_until: None,
            condition: EntryCondition::Read,
            replacing: Vec::new(),
            is_written: false,
            list: RegisteredHosts::default(),
            outage_since: None,
        };
        let shared = RegistryShared {
            kv,
            log,
            config,
            state: Mutex::new(state),
            writing: tokio::sync::Mutex::default(),
            displaced: CancellationToken::new(),
        };
        Self {
            shared: Arc::new(shared),
            peers: Arc::new(NoPeerClient),
        }
    }

    /// Tells earlier processes of this host's name through `peers` that they are displaced.
    pub fn with_peers(mut self, peers: Arc<dyn NamePeerClient>) -> Self {
        self.peers = peers;
        self
    }

    /// Address of this host for other hosts.
    pub fn own_address(&self) -> SocketAddr {
        self.with_state(|state| state.own.peers)
    }

    /// Random number of this process among those of its host's name; not 0.
    pub fn own_process(&self) -> u64 {
        self.with_state(|state| state.own.process)
    }

    /// Whether this process may claim what belongs to its host's name: its start was acknowledged, the
    /// process before it is known to have stopped or has had time to notice, its lease is known to hold,
    /// and no other process has started since, as far as this one knows.
    pub fn holds_name(&self) -> bool {
        self.name_fence().is_some()
    }

    /// Condition for a write that only the process that [holds the name](Self::holds_name) may make;
    /// `None` if that is another one.
    pub(crate) fn name_fence(&self) -> Option<NameFence> {
        let now = Instant::now();
        self.with_state(|state| {
            let has_lease = state.lease_proved_until.is_some_and(|until| now < until);
            match state.hold {
                NameHold::Held(version) if has_lease && !state.is_settling => Some(NameFence {
                    key: entry_key(&state.own.host),
                    version,
                }),
                _ => None,
            }
        })
    }

    /// Cancelled once another process of this host's name has started after this one. This process
    /// then acts for the name no more.
    pub fn displaced(&self) -> &CancellationToken {
        &self.shared.displaced
    }

    /// Whether another process of this host's name has started after this one.
    pub fn is_displaced(&self) -> bool {
        self.shared.displaced.is_cancelled()
    }

    /// The host's lease; `None` before it is granted and once it is known to be lost.
    pub fn lease(&self) -> Option<LeaseId> {
        self.with_state(|state| state.lease)
    }

    /// Time up to which the lease is known to hold: its time to live after the last grant or renewal
    /// that succeeded was sent. `None` without a lease.
    pub fn lease_proved_until(&self) -> Option<Instant> {
        self.with_state(|state| state.lease_proved_until)
    }

    /// Records that the key-value service no longer knows `lease`, so that a new one is requested.
    pub fn note_lease_lost(&self, lease: LeaseId) {
        self.with_state(|state| {
            if state.lease == Some(lease) {
                state.lease = None;
                state.lease_proved_until = None;
                state.is_written = false;
                // The entry has gone with its lease.
                if state.condition != EntryCondition::Read {
                    state.condition = EntryCondition::Known(None);
                }
            }
        });
    }

    /// Whether the last call that maintained the lease or the entry failed.
    pub fn has_outage(&self) -> bool {
        self.with_state(|state| state.outage_since.is_some())
    }

    /// Calls `read` with the hosts of the last listing, under the registry's lock.
    pub fn with_list<T>(&self, read: impl FnOnce(&RegisteredHosts) -> T) -> T {
        self.with_state(|state| read(&state.list))
    }

    /// Maintains the lease, the entry and the list of hosts until `stop` is cancelled. A displaced
    /// process maintains only the list.
    pub async fn run(&self, stop: CancellationToken) {
        let maintenance = async {
            tokio::join!(self.maintain_entry(), self.refresh_list());
        };
        tokio::select! {
            () = maintenance => {}
            () = stop.cancelled() => {}
        }
    }

    /// Marks this host's entry as leaving. From their next listing on, the other hosts direct
    /// callers elsewhere. Does nothing if another process has the entry.
    pub async fn leave(&self) {
        self.with_state(|state| {
            state.own.state = HostReadiness::Leaving;
            state.is_written = false;
        });
        if let Err(err) = self.write_entry().await {
            self.note_failure(&err);
        }
    }

    /// Revokes the lease, which deletes this host's entry and all its claims.
    pub async fn end(&self) {
        let lease = self.with_state(|state| {
            state.lease_proved_until = None;
            state.lease.take()
        });
        if let Some(lease) = lease {
            let _ = self.shared.kv.revoke_lease(lease).await;
        }
    }

    /// Answers a process that has replaced the entry of this one, or of an earlier process at this
    /// address.
    ///
    /// Such a call is believed if an up-to-date read of the entry shows another process. If the
    /// key-value service does not answer soon, the call alone is believed: the caller knows the secret of
    /// the fleet, says that the service has acknowledged the replacement of this very process, and a
    /// replacement is never undone.
    pub async fn answer(&self, call: NameCall) -> NameReply {
        let NameCall::Displaced {
            host,
            incarnation,
            process,
            peers,
            earlier_incarnation,
            earlier_process,
            ..
        } = call;
        let own = self.own();
        let earlier = HostProcess {
            incarnation: earlier_incarnation,
            process: earlier_process,
        };
        if host != own.host || !own.process_id().is_same(earlier) {
            return NameReply::OtherProcess;
        }
        if self.is_displaced() {
            return NameReply::Displaced;
        }
        let read = tokio::time::timeout(CONFIRM_TIMEOUT, self.find_entry()).await;
        let other = match read {
            Ok(Ok(FoundEntry::Process(entry, _)))
                if !entry.process_id().is_same(own.process_id()) =>
            {
                entry
            }
            Ok(Ok(_)) => return NameReply::Holds,
            Ok(Err(_)) | Err(_) => HostEntry {
                incarnation,
                process,
                peers,
                ..own
            },
        };
        self.yield_name(&other, DisplacedVia::Call);
        NameReply::Displaced
    }

    async fn maintain_entry(&self) {
        while !self.is_displaced() {
            let outcome = match self.lease() {
                Some(lease) if self.with_state(|state| state.is_written) => {
                    self.renew_lease(lease).await
                }
                _ => self.write_entry().await,
            };
            let delay = match outcome {
                Ok(()) => {
                    self.note_success();
                    self.shared.config.lease_ttl / 3
                }
                Err(KvError::LeaseLost) => Duration::ZERO,
                Err(err) => {
                    self.note_failure(&err);
                    RETRY_DELAY
                }
            };
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = self.shared.displaced.cancelled() => {}
            }
        }
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        let sent_at = Instant::now();
        let renewed = self.shared.kv.renew_lease(lease).await;
        match &renewed {
            Ok(()) => self.prove_lease(lease, sent_at),
            Err(KvError::LeaseLost) => self.note_lease_lost(lease),
            Err(_) => {}
        }
        renewed
    }

    /// Records that `lease` was granted or renewed by a call that was sent at `sent_at`.
    fn prove_lease(&self, lease: LeaseId, sent_at: Instant) {
        let until = sent_at + self.shared.config.lease_ttl;
        self.with_state(|state| {
            if state.lease == Some(lease) {
                state.lease_proved_until = Some(until);
            }
        });
    }

    /// Returns the lease, a new one if there is none; `None` if this process is displaced.
    async fn obtain_lease(&self) -> Result<Option<LeaseId>, KvError> {
        if let Some(lease) = self.lease() {
            return Ok(Some(lease));
        }
        let sent_at = Instant::now();
        let ttl = self.shared.config.lease_ttl;
        let lease = self.shared.kv.grant_lease(ttl).await?;
        let is_displaced = self.with_state(|state| {
            let is_displaced = state.hold == NameHold::Displaced;
            if !is_displaced {
                state.lease = Some(lease);
                state.own.lease = Some(lease);
            }
            is_displaced
        });
        if is_displaced {
            let _ = self.shared.kv.revoke_lease(lease).await;
            return Ok(None);
        }
        self.prove_lease(lease, sent_at);
        Ok(Some(lease))
    }

    /// Stores the entry, unless another process has the name and this one may not start after it.
    async fn write_entry(&self) -> Result<(), KvError> {
        let _writing = self.shared.writing.lock().await;
        for _ in 0..MAX_ENTRY_STEPS {
            if self.may_not_write() {
                return Ok(());
            }
            let Some(lease) = self.obtain_lease().await? else {
                return Ok(());
            };
            let condition = self.with_state(|state| state.condition);
            let expected = match condition {
                EntryCondition::Known(expected) => expected,
                EntryCondition::Read => match self.settle_entry().await? {
                    Some(expected) => expected,
                    None => return Ok(()),
                },
            };
            match self.store_entry(expected, lease).await {
                Err(KvError::Conflict { .. }) => {}
                outcome => return outcome,
            }
        }
        Err(KvError::Unavailable(
            "other processes write the entry of this host".to_owned(),
        ))
    }

    /// Whether no entry is to be written: the process is displaced, or leaves before its start was
    /// acknowledged.
    fn may_not_write(&self) -> bool {
        self.with_state(|state| match state.hold {
            NameHold::Displaced => true,
            NameHold::Starting => state.own.state == HostReadiness::Leaving,
            NameHold::Held(_) => false,
        })
    }

    /// Reads the entry and returns what the write is conditional on; `None` if nothing is to be
    /// written.
    async fn settle_entry(&self) -> Result<Option<Option<KvVersion>>, KvError> {
        let found = self.find_entry().await?;
        let (hold, own) = self.with_state(|state| (state.hold, state.own.clone()));
        match next_step(hold, own.process_id(), found) {
            NameStep::Write(expected) => Ok(Some(expected)),
            NameStep::Replace(earlier, version) => {
                self.with_state(|state| {
                    state.replacing = earlier.into_replaced();
                    state.own.replaced = without_address(&state.replacing, state.own.peers);
                });
                Ok(Some(Some(version)))
            }
            NameStep::Adopt(stored, version) => {
                self.hold_name(version, &stored);
                let is_written = self.with_state(|state| state.is_written);
                Ok((!is_written).then_some(Some(version)))
            }
            NameStep::Yield(other) => {
                self.yield_name(&other, DisplacedVia::Write);
                Ok(None)
            }
        }
    }

    async fn store_entry(
        &self,
        expected: Option<KvVersion>,
        lease: LeaseId,
    ) -> Result<(), KvError> {
        let own = self.own();
        let key = entry_key(&own.host);
        let put = KvPut {
            key: key.clone(),
            value: own.encode(),
            lease: Some(lease),
        };
        let commit = KvCommit {
            expect: vec![(key, expected)],
            puts: vec![put],
            deletes: Vec::new(),
        };
        // Until the outcome is known, a read has to show it. The write may be dropped meanwhile.
        self.with_state(|state| state.condition = EntryCondition::Read);
        match self.shared.kv.commit(commit).await {
            Ok(version) => {
                self.hold_name(version, &own);
                Ok(())
            }
            Err(err) => {
                if err == KvError::LeaseLost {
                    self.note_lease_lost(lease);
                }
                Err(err)
            }
        }
    }

    /// Records that the entry of this process is stored as `stored` with `version`. Tells the processes
    /// that it has replaced, if any.
    fn hold_name(&self, version: KvVersion, stored: &HostEntry) {
        let replaced = self.with_state(|state| {
            if state.hold == NameHold::Displaced {
                return Vec::new();
            }
            state.hold = NameHold::Held(version);
            state.condition = EntryCondition::Known(Some(version));
            state.is_written = state.own == *stored;
            let replaced = std::mem::take(&mut state.replacing);
            state.is_settling |= !replaced.is_empty();
            replaced
        });
        if !replaced.is_empty() {
            self.settle_replacement(replaced);
        }
    }

    /// Gives up the name for good, as the process of the entry `other` has started after this one.
    fn yield_name(&self, other: &HostEntry, via: DisplacedVia) {
        let (is_first, lease, own) = self.with_state(|state| {
            let is_first = state.hold != NameHold::Displaced;
            state.hold = NameHold::Displaced;
            state.lease_proved_until = None;
            (is_first, state.lease.take(), state.own.clone())
        });
        if !is_first {
            return;
        }
        self.shared.log.write(LogEvent::HostDisplaced {
            name: own.host,
            incarnation: own.incarnation,
            other_incarnation: other.incarnation,
            address: other.peers.to_string(),
            via: via.to_string(),
        });
        self.shared.displaced.cancel();
        if let Some(lease) = lease {
            let registry = self.clone();
            tokio::spawn(async move { registry.revoke_until_lapsed(lease).await });
        }
    }

    /// Revokes a lease that is not renewed any more. Retries until it has lapsed by itself.
    async fn revoke_until_lapsed(&self, lease: LeaseId) {
        let lapsed_at = Instant::now() + self.shared.config.lease_ttl;
        while Instant::now() < lapsed_at {
            match self.shared.kv.revoke_lease(lease).await {
                Ok(()) | Err(KvError::LeaseLost) => return,
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Reads the entry of this host's name, up to date.
    async fn find_entry(&self) -> Result<FoundEntry, KvError> {
        let key = entry_key(&self.own().host);
        let found = self.shared.kv.get(&key).await?;
        Ok(found.map_or(FoundEntry::Absent, |entry| {
            match HostEntry::decode(&entry.value) {
                Some(decoded) => FoundEntry::Process(decoded, entry.version),
                None => FoundEntry::Malformed(entry.version),
            }
        }))
    }

    pub(super) fn own(&self) -> HostEntry {
        self.with_state(|state| state.own.clone())
    }

    async fn refresh_list(&self) {
        loop {
            if let Ok(listing) = self.read_list().await {
                self.check_listing(&listing).await;
                let entries = listing.entries.into_iter().map(|(entry, _)| entry);
                let entries = entries.collect();
                self.with_state(|state| state.list.apply_listing(entries, Instant::now()));
            }
            let hosts = self.with_list(RegisteredHosts::len);
            let min_interval = self.shared.config.list_interval;
            let interval =
                shared_interval(min_interval, MAX_LIST_INTERVAL, hosts, LISTINGS_PER_SECOND);
            tokio::time::sleep(jittered(interval)).await;
        }
    }

    /// Compares the listed entry of this host's name with its own one.
    async fn check_listing(&self, listing: &HostListing) {
        let (hold, own) = self.with_state(|state| (state.hold, state.own.clone()));
        let listed = listing.entries.iter();
        let listed = listed
            .filter(|(entry, _)| entry.host == own.host)
            .map(|(entry, version)| (entry.process_id(), *version))
            .next();
        match read_listing(hold, own.process_id(), listed, listing.revision) {
            ListingStep::Ignore => {}
            ListingStep::Adopt(version) => self.with_state(|state| {
                if state.hold == hold {
                    state.hold = NameHold::Held(version);
                    state.condition = EntryCondition::Read;
                    state.is_written = false;
                }
            }),
            ListingStep::Rewrite => self.with_state(|state| state.is_written = false),
            ListingStep::Confirm => {
                if let Ok(FoundEntry::Process(other, _)) = self.find_entry().await
                    && !other.process_id().is_same(own.process_id())
                {
                    self.yield_name(&other, DisplacedVia::Listing);
                }
            }
        }
    }

    async fn read_list(&self) -> Result<HostListing, KvError> {
        let kv = self.shared.kv.as_ref();
        let (entries, revision) = list_all(kv, HOSTS_PREFIX, Freshness::Stale).await?;
        let decoded = entries
            .iter()
            .filter_map(|entry| Some((HostEntry::decode(&entry.value)?, entry.version)));
        Ok(HostListing {
            entries: decoded.collect(),
            revision,
        })
    }

    fn note_failure(&self, err: &KvError) {
        let is_first = self.with_state(|state| {
            let is_first = state.outage_since.is_none();
            state.outage_since.get_or_insert(Instant::now());
            is_first
        });
        if is_first {
            self.shared.log.write(LogEvent::DependencyLost {
                dependency: "key_value_service".to_owned(),
                cause: err.to_string(),
            });
        }
    }

    fn note_success(&self) {
        let lost = self.with_state(|state| state.outage_since.take());
        if let Some(since) = lost {
            self.shared.log.write(LogEvent::DependencyRegained {
                dependency: "key_value_service".to_owned(),
                lost_ms: since.elapsed().as_millis() as u64,
            });
        }
    }

    pub(super) fn with_state<T>(&self, act: impl FnOnce(&mut RegistryState) -> T) -> T {
        act(&mut self.shared.state.lock().expect("registry lock"))
    }
}

/// Those of `replaced` at other addresses than `own`, which a process can't have bound before they ended.
fn without_address(replaced: &[ReplacedProcess], own: SocketAddr) -> Vec<ReplacedProcess> {
    let others = replaced.iter().filter(|earlier| earlier.peers != own);
    others.cloned().collect()
}

/// Entries of all hosts with their versions, possibly as of some seconds ago.
struct HostListing {
    entries: Vec<(HostEntry, KvVersion)>,
    revision: KvVersion,
}

/// Key of the entry of the host `name`.
fn entry_key(name: &str) -> String {
    format!("{HOSTS_PREFIX}{name}")
}
