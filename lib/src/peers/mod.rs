//! Calls between entry hosts over persistent WebSocket connections, encoded as CBOR.
//!
//! The side that opens a connection proves in the upgrade request that it knows the shared secret.
//! Replies are matched to calls by a number that is unique on the connection, so that a late reply
//! can't be taken for the reply to another call.

mod auth;
mod handlers;
mod links;
mod message;
mod server;

pub use handlers::PeerHandlers;
pub use links::PeerClient;
pub use links::PeerError;
pub use message::PeerMessage;
pub use server::PeerServer;
