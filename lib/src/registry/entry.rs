//! Registered entries of hosts, and the list of hosts built from them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::collections::HashMap;
use crate::edges::kv::KvVersion;
use crate::edges::kv::LeaseId;
use crate::registry::name_hold::HostProcess;

/// Time for which callers are still told of a host whose entry vanished: its lease may only have
/// expired during an outage of the key-value service.
const VANISHED_GRACE: Duration = Duration::from_millis(2_500);

/// Time for which listings that are older than an applied one are ignored. A service that was restored from
/// a copy goes on at lower revisions.
const OLDER_LISTING_TIME: Duration = Duration::from_secs(10);

/// Number of replaced processes that an entry names.
const MAX_REPLACED: usize = 8;

/// Whether a host accepts new callers, as its entry says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostReadiness {
    /// The host accepts callers.
    Ready,
    /// The host finishes its open requests, accepts no new callers and then stops.
    Leaving,
}

/// A process whose entry another process of its host's name has replaced.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplacedProcess {
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Random number of the process; 0 if it runs an earlier release.
    pub process: u64,
    /// Lease of the process, if its entry named it.
    pub lease: Option<LeaseId>,
    /// Address of the process for other hosts.
    pub peers: SocketAddr,
}

/// Entry of one host in the registry, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub host: String,
    /// Start time of the host's process, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Random number of the process, as two processes of a name may start in the same millisecond;
    /// 0 from an earlier release.
    #[serde(default)]
    pub process: u64,
    /// Lease of the process, which another process of its name ends when it has replaced the entry
    /// and can't tell the process; `None` from an earlier release.
    #[serde(default)]
    pub lease: Option<LeaseId>,
    /// Processes of the name before this one that are not known to have stopped, the last one first.
    /// A process that replaces this entry tells them too, as this one may have had no time to.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub replaced: Vec<ReplacedProcess>,
    /// Data centre in which the host runs.
    pub data_centre: String,
    /// Address at which the host accepts callers; `None` for hosts that accept none.
    pub callers: Option<SocketAddr>,
    /// Address for other hosts: TCP for calls, UDP for load reports.
    pub peers: SocketAddr,
    /// Whether the host accepts new callers.
    pub state: HostReadiness,
}

impl HostEntry {
    /// The process that the entry is of.
    pub(crate) fn process_id(&self) -> HostProcess {
        HostProcess {
            incarnation: self.incarnation,
            process: self.process,
        }
    }

    /// The process of this entry and those before it that it names, as replaced by another one.
    pub(crate) fn into_replaced(self) -> Vec<ReplacedProcess> {
        let process = ReplacedProcess {
            incarnation: self.incarnation,
            process: self.process,
            lease: self.lease,
            peers: self.peers,
        };
        let mut replaced = vec![process];
        replaced.extend(self.replaced);
        replaced.truncate(MAX_REPLACED);
        replaced
    }

    /// Encodes the entry as JSON.
    pub(crate) fn encode(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).expect("host entries serialize to JSON"))
    }

    /// Decodes an entry from JSON; `None` if it is malformed.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}

#[derive(Clone, Debug)]
struct KnownHost {
    entry: HostEntry,
    vanished_at: Option<Instant>,
}

/// Hosts of the last listing, with those that vanished within the last 2.5 seconds.
#[derive(Clone, Debug, Default)]
pub struct RegisteredHosts {
    hosts: HashMap<String, KnownHost>,
    /// Revision of the last listing that was applied, and when.
    applied: Option<(KvVersion, Instant)>,
}

impl RegisteredHosts {
    /// Applies a listing of `revision` that was read at `now`, unless a newer one was applied less than
    /// 10 seconds ago: a listing may show an older state than the one before it. A host that it lacks is
    /// kept for 2.5 seconds, unless it was leaving.
    pub(crate) fn apply_listing(
        &mut self,
        entries: Vec<HostEntry>,
        revision: KvVersion,
        now: Instant,
    ) {
        let is_overtaken = self
            .applied
            .is_some_and(|(applied, at)| revision < applied && now - at < OLDER_LISTING_TIME);
        if !is_overtaken {
            self.applied = Some((revision, now));
            self.replace(entries, now);
        }
        self.hosts.retain(|_, known| {
            let is_expired = known
                .vanished_at
                .is_some_and(|at| now - at >= VANISHED_GRACE);
            !is_expired
                && (known.vanished_at.is_none() || known.entry.state == HostReadiness::Ready)
        });
    }

    fn replace(&mut self, entries: Vec<HostEntry>, now: Instant) {
        for known in self.hosts.values_mut() {
            known.vanished_at.get_or_insert(now);
        }
        for entry in entries {
            let known = KnownHost {
                entry,
                vanished_at: None,
            };
            self.hosts.insert(known.entry.host.clone(), known);
        }
    }

    /// The last known entry of `host`.
    pub fn get(&self, host: &str) -> Option<&HostEntry> {
        self.hosts.get(host).map(|known| &known.entry)
    }

    /// Number of known hosts, recently vanished ones included.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Entries of all known hosts, sorted by name.
    pub fn entries(&self) -> Vec<&HostEntry> {
        let mut entries: Vec<&HostEntry> = self.hosts.values().map(|known| &known.entry).collect();
        entries.sort_by(|a, b| a.host.cmp(&b.host));
        entries
    }

    /// Whether `host` was in the last listing.
    pub fn is_listed(&self, host: &str) -> bool {
        self.hosts
            .get(host)
            .is_some_and(|known| known.vanished_at.is_none())
    }

    /// Entries of all known hosts that accept callers, sorted by name.
    pub fn caller_entries(&self) -> Vec<&HostEntry> {
        let entries = self.entries().into_iter();
        entries
            .filter(|entry| entry.state == HostReadiness::Ready && entry.callers.is_some())
            .collect()
    }
}
