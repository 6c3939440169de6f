//! Datagrams between entry hosts.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HostId;
use crate::ids::Revision;
use crate::membership::view::PeerHost;
use crate::peers::PeerMessage;

/// Something that a host learned about another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostUpdate {
    /// The host runs; only the host itself makes this with a new incarnation.
    Alive(PeerHost),
    /// The host did not answer `by`.
    Suspect {
        /// The host.
        id: HostId,
        /// Incarnation that did not answer.
        incarnation: u64,
        /// Who found it silent.
        by: HostId,
    },
    /// The host was given up, or has left if it says so itself.
    Dead {
        /// The host.
        id: HostId,
        /// Incarnation that was given up.
        incarnation: u64,
        /// Who gave it up.
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

    /// Upper estimate of the encoded size in bytes.
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

/// What a datagram asks or answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GossipMessage {
    /// Asks for an [`GossipMessage::Ack`].
    Ping {
        /// Number that the answer repeats.
        probe: u64,
        /// Host that is meant; another one does not answer.
        target: Option<HostId>,
    },
    /// Answers a ping.
    Ack {
        /// Number of the ping.
        probe: u64,
    },
    /// Asks the receiver to ping `target` and to pass the answer on.
    PingRequest {
        /// Number that the answer repeats.
        probe: u64,
        /// Host to ping.
        target: HostId,
        /// Its address.
        address: SocketAddr,
    },
    /// Tells the sender of a request that the target has not answered so far.
    Nack {
        /// Number of the request.
        probe: u64,
    },
    /// Asks the receiver to announce itself.
    Introduce,
    /// Only carries updates and the sender's revision.
    Gossip,
}

/// One datagram.
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
    /// What is asked or answered.
    #[serde(rename = "m")]
    pub message: GossipMessage,
    /// What the sender learned lately.
    #[serde(rename = "u")]
    pub updates: Vec<HostUpdate>,
}

/// Asks for all hosts that are not dead, the answering one included.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MembershipCall;

impl PeerMessage for MembershipCall {
    const NAME: &'static str = "membership";

    type Reply = Vec<PeerHost>;
}
