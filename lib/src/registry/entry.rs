//! Entries of hosts, and the list that follows from them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::collections::HashMap;

/// Time for which a host that vanished from the registry is still named to callers, as its
/// entry may only have lapsed in an outage of the service.
const VANISHED_GRACE: Duration = Duration::from_millis(2_500);

/// What a host says of its plans.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostReadiness {
    /// It takes callers.
    Ready,
    /// It finishes what it has and stops.
    Leaving,
}

/// A host as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host.
    pub host: String,
    /// Start of its process in milliseconds since 1970.
    pub incarnation: u64,
    /// Data centre.
    pub data_centre: String,
    /// Address for callers; `None` for hosts that take none.
    pub callers: Option<SocketAddr>,
    /// TCP address for calls and UDP address for load reports of other hosts.
    pub peers: SocketAddr,
    /// What it says of its plans.
    pub state: HostReadiness,
}

impl HostEntry {
    /// Encodes the entry as JSON.
    pub(crate) fn encode(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).expect("entries serialize to JSON"))
    }

    /// Decodes an entry; `None` if it is malformed.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}

#[derive(Clone, Debug)]
struct KnownHost {
    entry: HostEntry,
    vanished: Option<Instant>,
}

/// Hosts of the fleet, as the last listing showed them.
#[derive(Clone, Debug, Default)]
pub struct RegisteredHosts {
    hosts: HashMap<String, KnownHost>,
}

impl RegisteredHosts {
    /// Takes in a listing made at `now`.
    pub fn take_listing(&mut self, entries: Vec<HostEntry>, now: Instant) {
        for known in self.hosts.values_mut() {
            known.vanished.get_or_insert(now);
        }
        for entry in entries {
            let known = KnownHost {
                entry,
                vanished: None,
            };
            self.hosts.insert(known.entry.host.clone(), known);
        }
        self.hosts.retain(|_, known| {
            let is_old = known.vanished.is_some_and(|at| now - at >= VANISHED_GRACE);
            !is_old && (known.vanished.is_none() || known.entry.state == HostReadiness::Ready)
        });
    }

    /// The entry of `host`.
    pub fn get(&self, host: &str) -> Option<&HostEntry> {
        self.hosts.get(host).map(|known| &known.entry)
    }

    /// Number of hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Whether no host is known.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// All hosts, in the order of their names.
    pub fn entries(&self) -> Vec<&HostEntry> {
        let mut entries: Vec<&HostEntry> = self.hosts.values().map(|known| &known.entry).collect();
        entries.sort_by(|a, b| a.host.cmp(&b.host));
        entries
    }

    /// Whether `host` was in the last listing.
    pub fn is_listed(&self, host: &str) -> bool {
        self.hosts
            .get(host)
            .is_some_and(|known| known.vanished.is_none())
    }

    /// Entries of all hosts that take callers.
    pub fn caller_entries(&self) -> Vec<&HostEntry> {
        let entries = self.entries().into_iter();
        entries
            .filter(|entry| entry.state == HostReadiness::Ready && entry.callers.is_some())
            .collect()
    }
}
