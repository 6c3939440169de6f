//! Immutable view of the fleet that the membership publishes to the rest of the process.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::DataCentre;
use crate::ids::HostId;
use crate::ids::Revision;

/// Liveness and draining state of an entry host, as the viewing host sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum HostState {
    /// The host answers probes.
    Live,
    /// The host did not answer a probe and has not refuted the suspicion yet; still counted as
    /// live.
    Suspect,
    /// The host stops soon; it gets no new callers and no new assignments.
    Draining,
}

/// An entry host, as its peers know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHost {
    /// Unique name of the host.
    pub id: HostId,
    /// Number that the host raises when it starts, refutes a suspicion or changes its state; of two
    /// updates about a host, the one with the higher number is newer.
    pub incarnation: u64,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Address on which the host serves callers.
    pub caller_address: SocketAddr,
    /// Address on which other entry hosts reach it, by TCP for calls and by UDP for gossip.
    pub peer_address: SocketAddr,
    /// Liveness and draining state of the host.
    pub state: HostState,
    /// Revision of the terms in force on the host.
    pub revision: Revision,
    /// Whether the host has a data directory on disk for bulk data.
    pub has_disk: bool,
}

/// All entry hosts that are not dead, the viewing host included, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HostView {
    /// Hosts sorted by name. Unchanged hosts are shared with earlier views.
    pub hosts: Vec<Arc<PeerHost>>,
}

impl HostView {
    /// Hosts that may get assignments, which are all but the draining ones.
    pub fn assignable_hosts(&self) -> impl Iterator<Item = &PeerHost> {
        self.hosts
            .iter()
            .map(Arc::as_ref)
            .filter(|host| host.state != HostState::Draining)
    }

    /// Owner of `key` among the assignable hosts, by rendezvous hashing; `None` if there are none.
    ///
    /// Hosts with different views may name different owners until their views agree.
    pub fn owner_of(&self, key: &str) -> Option<&PeerHost> {
        self.assignable_hosts()
            .max_by_key(|host| rendezvous_score(host.id.as_str(), key))
    }
}

/// Rendezvous hashing score of `candidate` for `key`; the candidate with the highest score owns the
/// key. The function must stay the same on all hosts and in all releases, or they would name
/// different owners.
pub fn rendezvous_score(candidate: &str, key: &str) -> u64 {
    let seed = xxhash_rust::xxh3::xxh3_64(candidate.as_bytes());
    xxhash_rust::xxh3::xxh3_64_with_seed(key.as_bytes(), seed)
}
