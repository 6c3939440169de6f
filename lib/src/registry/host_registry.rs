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
use crate::edges::kv::LeaseId;
use crate::edges::kv::list_all;
use crate::event_log::EventLog;
use crate::events::LogEvent;
use crate::registry::entry::HostEntry;
use crate::registry::entry::HostReadiness;
use crate::registry::entry::RegisteredHosts;
use crate::registry::interval::jittered;
use crate::registry::interval::shared_interval;

/// Prefix of the keys of host entries in the key-value service.
const HOSTS_PREFIX: &str = "hosts/";
/// Listings per second that all hosts together make at most, until each reaches the longest
/// interval.
const LISTINGS_PER_SECOND: f64 = 40.0;
const MAX_LIST_INTERVAL: Duration = Duration::from_secs(5);
/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);

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
    shared: Arc<RegistryShared>,
}

struct RegistryShared {
    kv: Arc<dyn KvStore>,
    log: EventLog,
    config: RegistryConfig,
    state: Mutex<RegistryState>,
}

struct RegistryState {
    own: HostEntry,
    lease: Option<LeaseId>,
    /// Whether the stored entry equals `own`.
    is_written: bool,
    list: RegisteredHosts,
    outage_since: Option<Instant>,
}

impl HostRegistry {
    /// Creates a registry that writes `own` as this host's entry once it [runs](Self::run).
    pub fn new(
        kv: Arc<dyn KvStore>,
        log: EventLog,
        own: HostEntry,
        config: RegistryConfig,
    ) -> Self {
        let state = RegistryState {
            own,
            lease: None,
            is_written: false,
            list: RegisteredHosts::default(),
            outage_since: None,
        };
        let shared = RegistryShared {
            kv,
            log,
            config,
            state: Mutex::new(state),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Address of this host for other hosts.
    pub fn own_address(&self) -> SocketAddr {
        self.with_state(|state| state.own.peers)
    }

    /// Time to live of the host's lease.
    pub fn lease_ttl(&self) -> Duration {
        self.shared.config.lease_ttl
    }

    /// The host's lease; `None` before it is granted and once it is known to be lost.
    pub fn lease(&self) -> Option<LeaseId> {
        self.with_state(|state| state.lease)
    }

    /// Records that the key-value service no longer knows `lease`, so that a new one is requested.
    pub fn note_lease_lost(&self, lease: LeaseId) {
        self.with_state(|state| {
            if state.lease == Some(lease) {
                state.lease = None;
                state.is_written = false;
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

    /// Maintains the lease, the entry and the list of hosts until `stop` is cancelled.
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
    /// callers elsewhere.
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
        let lease = self.with_state(|state| state.lease.take());
        if let Some(lease) = lease {
            let _ = self.shared.kv.revoke_lease(lease).await;
        }
    }

    async fn maintain_entry(&self) {
        loop {
            let outcome = match self.lease() {
                Some(lease) if self.with_state(|state| state.is_written) => {
                    self.shared.kv.renew_lease(lease).await.inspect_err(|err| {
                        if *err == KvError::LeaseLost {
                            self.note_lease_lost(lease);
                        }
                    })
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
            tokio::time::sleep(delay).await;
        }
    }

    async fn write_entry(&self) -> Result<(), KvError> {
        let lease = match self.lease() {
            Some(lease) => lease,
            None => {
                let lease = self
                    .shared
                    .kv
                    .grant_lease(self.shared.config.lease_ttl)
                    .await?;
                self.with_state(|state| state.lease = Some(lease));
                lease
            }
        };
        let own = self.with_state(|state| state.own.clone());
        let put = KvPut {
            key: format!("{HOSTS_PREFIX}{}", own.host),
            value: own.encode(),
            lease: Some(lease),
        };
        let commit = KvCommit {
            puts: vec![put],
            ..KvCommit::default()
        };
        match self.shared.kv.commit(commit).await {
            Ok(_) => {
                self.with_state(|state| state.is_written = state.own == own);
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

    async fn refresh_list(&self) {
        loop {
            if let Ok(entries) = self.read_list().await {
                let own = self.with_state(|state| {
                    state.list.apply_listing(entries, Instant::now());
                    state.own.host.clone()
                });
                // Writes the entry again if it was deleted while the lease is still valid.
                let is_gone = !self.with_list(|list| list.is_listed(&own));
                if is_gone {
                    self.with_state(|state| state.is_written = false);
                }
            }
            let hosts = self.with_list(RegisteredHosts::len);
            let min_interval = self.shared.config.list_interval;
            let interval =
                shared_interval(min_interval, MAX_LIST_INTERVAL, hosts, LISTINGS_PER_SECOND);
            tokio::time::sleep(jittered(interval)).await;
        }
    }

    async fn read_list(&self) -> Result<Vec<HostEntry>, KvError> {
        let kv = self.shared.kv.as_ref();
        let (entries, _) = list_all(kv, HOSTS_PREFIX, Freshness::Stale).await?;
        let decoded = entries
            .iter()
            .filter_map(|entry| HostEntry::decode(&entry.value));
        Ok(decoded.collect())
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

    fn with_state<T>(&self, act: impl FnOnce(&mut RegistryState) -> T) -> T {
        act(&mut self.shared.state.lock().expect("registry lock"))
    }
}
