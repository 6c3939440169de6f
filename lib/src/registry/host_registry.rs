//! Renews this host's lease, maintains its entry, and lists the entries of the other hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::edges::kv::Freshness;
use crate::edges::kv::KvError;
use crate::edges::kv::KvStore;
use crate::edges::kv::KvVersion;
use crate::edges::kv::LeaseId;
use crate::edges::kv::list_all;
use crate::edges::kv_calls::CallPurpose;
use crate::edges::kv_calls::kv_for;
use crate::event_log::EventLog;
use crate::events::LogEvent;
use crate::registry::entry::HostEntry;
use crate::registry::entry::HostReadiness;
use crate::registry::entry::RegisteredHosts;
use crate::registry::entry::ReplacedProcess;
use crate::registry::interval::jittered;
use crate::registry::interval::shared_interval;
use crate::registry::message::NamePeerClient;
use crate::registry::message::NoPeerClient;
use crate::registry::name_hold::FoundEntry;
use crate::registry::name_hold::ListingStep;
use crate::registry::name_hold::NameHold;
use crate::registry::name_hold::read_listing;
use crate::registry::own_entry::DisplacedVia;
use crate::registry::own_entry::EntryCondition;

/// Prefix of the keys of host entries in the key-value service.
const HOSTS_PREFIX: &str = "hosts/";
/// Listings per second that all hosts together make at most, until each reaches the longest
/// interval.
const LISTINGS_PER_SECOND: f64 = 40.0;
const MAX_LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Longest time for which a stop waits until the entry says that the host is leaving.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(1_500);

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
    pub(super) state: Mutex<RegistryState>,
    /// Held by the task that reads and writes the entry.
    pub(super) writing: tokio::sync::Mutex<()>,
    pub(super) displaced: CancellationToken,
}

pub(super) struct RegistryState {
    pub(super) own: HostEntry,
    pub(super) hold: NameHold,
    /// Whether it is not settled yet that the processes that were replaced have stopped.
    pub(super) is_settling: bool,
    pub(super) lease: Option<LeaseId>,
    pub(super) lease_proved_until: Option<Instant>,
    pub(super) condition: EntryCondition,
    /// Processes that the start of this one replaces, or may have replaced.
    pub(super) replacing: Vec<ReplacedProcess>,
    /// Whether the stored entry equals `own`.
    pub(super) is_written: bool,
    list: RegisteredHosts,
    outage_since: Option<Instant>,
}

/// Condition that a process still has the name of its host: the key of its entry has this version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NameFence {
    pub(crate) key: String,
    pub(crate) version: KvVersion,
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

    /// Time to live of the host's lease.
    pub fn lease_ttl(&self) -> Duration {
        self.shared.config.lease_ttl
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

    /// Marks this host's entry as leaving, within 1.5 seconds. From their next listing on, the other
    /// hosts direct callers elsewhere. Does nothing if another process has the entry.
    pub async fn leave(&self) {
        self.with_state(|state| {
            state.own.state = HostReadiness::Leaving;
            state.is_written = false;
        });
        if let Ok(Err(err)) = tokio::time::timeout(LEAVE_TIMEOUT, self.write_entry()).await {
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
            let _ = self.entry_kv().revoke_lease(lease).await;
        }
    }

    pub(super) fn own(&self) -> HostEntry {
        self.with_state(|state| state.own.clone())
    }

    /// The key-value service, for calls about the entry and the lease of this host.
    pub(super) fn entry_kv(&self) -> Arc<dyn KvStore> {
        kv_for(&self.shared.kv, CallPurpose::HostEntry)
    }

    async fn refresh_list(&self) {
        loop {
            if let Ok(listing) = self.read_list().await {
                self.check_listing(&listing).await;
                let revision = listing.revision;
                let entries = listing.entries.into_iter().map(|(entry, _)| entry);
                let entries = entries.collect();
                self.with_state(|state| {
                    state.list.apply_listing(entries, revision, Instant::now())
                });
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
        let kv = kv_for(&self.shared.kv, CallPurpose::Hosts);
        let (entries, revision) = list_all(kv.as_ref(), HOSTS_PREFIX, Freshness::Stale).await?;
        let decoded = entries
            .iter()
            .filter_map(|entry| Some((HostEntry::decode(&entry.value)?, entry.version)));
        Ok(HostListing {
            entries: decoded.collect(),
            revision,
        })
    }

    pub(super) fn note_failure(&self, err: &KvError) {
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

    pub(super) fn note_success(&self) {
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

/// Entries of all hosts with their versions, possibly as of some seconds ago.
struct HostListing {
    entries: Vec<(HostEntry, KvVersion)>,
    revision: KvVersion,
}

/// Key of the entry of the host `name`.
pub(super) fn entry_key(name: &str) -> String {
    format!("{HOSTS_PREFIX}{name}")
}
