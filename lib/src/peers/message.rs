//! Frames and encoding of calls between entry hosts. Other modules define the calls; this one
//! knows none of them.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::ids::HostId;

/// Largest WebSocket message between hosts.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// WebSocket limits of a connection between hosts.
pub(super) fn socket_limits() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

/// WebSocket subprotocol of connections that carry detours. A host of an earlier release doesn't name it in
/// its answer, so that no connection is opened.
const DETOUR_SUBPROTOCOL: &str = "parsleywall.detour.1";

/// What a connection between hosts carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerProtocol {
    /// Calls with their replies.
    Calls,
    /// Detours, one at a time.
    Detours,
}

impl PeerProtocol {
    /// The protocol of a connection whose upgrade request names `subprotocol`.
    pub(super) fn of_subprotocol(subprotocol: &str) -> Self {
        match subprotocol {
            DETOUR_SUBPROTOCOL => Self::Detours,
            _ => Self::Calls,
        }
    }

    /// WebSocket subprotocol that both sides name; `None` if they name none.
    pub(super) fn subprotocol(self) -> Option<&'static str> {
        match self {
            Self::Calls => None,
            Self::Detours => Some(DETOUR_SUBPROTOCOL),
        }
    }

    /// Path of the upgrade request.
    pub(super) fn path(self) -> &'static str {
        match self {
            Self::Calls => "/peer",
            Self::Detours => "/detour",
        }
    }
}

/// Type of a call between entry hosts, with the type of its reply.
pub trait PeerMessage: Serialize + DeserializeOwned + Send + 'static {
    /// Name by which the called host selects the handler; unique among all calls.
    const NAME: &'static str;

    /// Reply of the called host.
    type Reply: Serialize + DeserializeOwned + Send + 'static;
}

/// Encoded call: its [`PeerMessage::NAME`], and its fields as CBOR.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct EncodedCall {
    pub(crate) name: String,
    pub(crate) fields: Bytes,
}

/// Encoded reply to a call, as CBOR; `None` if the called host has no handler for the call.
pub(crate) type EncodedReply = Option<Bytes>;

/// Frame of the protocol, sent as one binary WebSocket message of CBOR.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PeerFrame {
    /// First frame of the side that opened the connection.
    Hello {
        /// Name of the host that sends this frame.
        host: HostId,
    },
    /// Call of the side that opened the connection.
    Request {
        /// Number of the call, unique on this connection.
        call: u64,
        /// Name and fields of the call.
        body: EncodedCall,
    },
    /// Reply to a call. Replies may be sent in another order than their calls.
    Reply {
        /// Number of the call that this frame replies to.
        call: u64,
        /// Encoded reply.
        body: EncodedReply,
    },
}

impl PeerFrame {
    /// Encodes the frame as CBOR.
    pub(crate) fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Decodes a frame; `None` if it is malformed.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        decode(bytes)
    }
}

/// Name of the host in the first frame of a connection; `None` if `bytes` is no such frame.
pub(crate) fn hello_host(bytes: &[u8]) -> Option<HostId> {
    match PeerFrame::decode(bytes)? {
        PeerFrame::Hello { host } => Some(host),
        PeerFrame::Request { .. } | PeerFrame::Reply { .. } => None,
    }
}

pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("messages serialize to CBOR");
    bytes
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
