//! Calls between entry hosts. Each slice defines its own; nothing here knows any of them.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::ids::HostId;

/// Largest message between hosts.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Bounds of a connection between hosts.
pub(super) fn socket_bounds() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

/// A call that a slice defines.
pub trait PeerMessage: Serialize + DeserializeOwned + Send + 'static {
    /// Name of the call, unique among all slices.
    const NAME: &'static str;

    /// What the called host answers.
    type Reply: Serialize + DeserializeOwned + Send + 'static;
}

/// A call on its way: its name, and its fields as CBOR.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct EncodedCall {
    pub(crate) name: String,
    pub(crate) fields: Bytes,
}

/// Answer to a call, as CBOR; `None` if the called host does not serve such calls.
pub(crate) type EncodedReply = Option<Bytes>;

/// Frame on the wire.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PeerFrame {
    /// First frame of the side that connected.
    Hello {
        /// Name of the sender.
        host: HostId,
    },
    /// A call.
    Request {
        /// Number of the call on this connection.
        call: u64,
        /// The call.
        body: EncodedCall,
    },
    /// The answer to a call.
    Reply {
        /// Number of the call.
        call: u64,
        /// The answer.
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
