//! What the rest of the process sees of the fleet.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::ids::Revision;

/// State of an entry host as this host sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum HostState {
    /// Answers probes.
    Live,
    /// Did not answer lately; still counted as live.
    Suspect,
    /// Stops soon; takes no new callers and no new duties.
    Draining,
}

/// An entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHost {
    /// Name of the host.
    pub id: HostId,
    /// Grows each time that the host starts or refutes a suspicion.
    pub incarnation: u64,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other entry hosts.
    pub peer_address: SocketAddr,
    /// State of the host.
    pub state: HostState,
    /// Revision of the terms in force on the host.
    pub revision: Revision,
    /// Whether the host has a disk for bulk data.
    pub has_disk: bool,
}

/// All entry hosts that are not dead, this host included, in order of their names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostView {
    /// The hosts. Hosts that did not change are shared with earlier views.
    pub hosts: Vec<Arc<PeerHost>>,
}

impl HostView {
    /// Hosts that may take duties.
    pub fn assignable_hosts(&self) -> impl Iterator<Item = &PeerHost> {
        self.hosts
            .iter()
            .map(Arc::as_ref)
            .filter(|host| host.state != HostState::Draining)
    }

    /// Host that owns `key` among those that may take duties, by rendezvous hashing.
    ///
    /// Two hosts with different views may disagree for a while.
    pub fn owner_of(&self, key: &str) -> Option<&PeerHost> {
        self.assignable_hosts()
            .max_by_key(|host| rendezvous_score(host.id.as_str(), key))
    }
}

/// Score of `candidate` for `key`; the highest wins. Stable across hosts and releases.
pub fn rendezvous_score(candidate: &str, key: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(candidate.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(key.as_bytes(), seed)
}
