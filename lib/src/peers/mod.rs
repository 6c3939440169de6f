//! Calls between entry hosts over persistent WebSocket connections, encoded as CBOR.
//!
//! The side that opens a connection proves in the upgrade request that it knows the shared secret.
//! Replies are matched to calls by a number that is unique on the connection, so that a late reply
//! can't be taken for the reply to another call.

mod auth;
mod client;
mod handlers;
mod message;
mod server;
#[cfg(test)]
mod tests;

pub use client::PeerClient;
pub use client::PeerError;
pub(crate) use client::PeerSocket;
pub use handlers::PeerHandlers;
pub use message::PeerMessage;
pub(crate) use message::decode;
pub(crate) use message::encode;
pub(crate) use message::hello_host;
pub use server::PeerServer;
