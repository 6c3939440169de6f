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

pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("messages serialize to CBOR");
    bytes
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
