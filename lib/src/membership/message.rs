//! Messages of the membership protocol: gossip datagrams, and the peer call that pulls the state.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HostId;
use crate::ids::Revision;
use crate::membership::view::PeerHost;
use crate::peers::PeerMessage;

/// Change in the liveness of a host, which other hosts pass on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostUpdate {
    /// The host is alive. Only the host itself issues this with a new incarnation.
    Alive(PeerHost),
    /// The host did not acknowledge a probe of the host `by`.
    Suspect {
        /// The host.
        id: HostId,
        /// Incarnation that did not answer.
        incarnation: u64,
        /// Host that suspects it.
        by: HostId,
    },
    /// The host was declared dead, or has left if `by` is the host itself.
    Dead {
        /// The host.
        id: HostId,
        /// Incarnation that was declared dead.
        incarnation: u64,
        /// Host that declared it dead.
        by: HostId,
    },
}

impl HostUpdate {
    /// Host that the update is about.
    pub fn subject(&self) -> &HostId {
        match self {
            Self::Alive(host) => &host.id,
            Self::Suspect { id, .. } | Self::Dead { id, .. } => id,
        }
    }

    /// Upper bound of the encoded size in bytes; allows for the fixed fields of each variant.
    pub(crate) fn size(&self) -> usize {
        const FIELDS: usize = 140;
        const NAMES: usize = 60;
        match self {
            Self::Alive(host) => FIELDS + host.id.as_str().len() + host.data_centre.as_str().len(),
            Self::Suspect { id, by, .. } | Self::Dead { id, by, .. } => {
                NAMES + id.as_str().len() + by.as_str().len()
            }
        }
    }
}

/// Request or response of a gossip datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// Asks for an [`GossipMessage::Ack`].
    Ping {
        /// Number that the acknowledgement repeats.
        probe: u64,
        /// Host that the ping is meant for; any other host at this address ignores it. `None` pings
        /// whichever host has the address.
        target: Option<HostId>,
    },
    /// Answers a ping.
    Ack {
        /// Number of the ping.
        probe: u64,
    },
    /// Asks the receiver, as a relay, to ping `target` and to forward its acknowledgement.
    PingRequest {
        /// Number that the acknowledgement repeats.
        probe: u64,
        /// Host to ping.
        target: HostId,
        /// Peer address of the target.
        address: SocketAddr,
    },
    /// Tells the requester of an indirect probe that the target has not answered so far. The relay
    /// is thus known to be reachable, which speaks against a fault of the requester itself.
    Nack {
        /// Number of the request.
        probe: u64,
    },
    /// Asks the receiver to send an [`HostUpdate::Alive`] about itself.
    Introduce,
    /// Carries only updates and the sender's revision.
    Gossip,
}

/// Content of one gossip datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipPacket {
    /// Name of the sender.
    #[serde(rename = "f")]
    pub from: HostId,
    /// Incarnation of the sender.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Revision of the terms in force at the sender.
    #[serde(rename = "r")]
    pub revision: Revision,
    /// Request or response.
    #[serde(rename = "m")]
    pub message: GossipMessage,
    /// Updates that the sender passes on.
    #[serde(rename = "u")]
    pub updates: Vec<HostUpdate>,
}

/// Peer call that pulls all hosts that are not dead, the answering one included.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MembershipCall;

impl PeerMessage for MembershipCall {
    const NAME: &'static str = "membership";

    type Reply = Vec<PeerHost>;
}
