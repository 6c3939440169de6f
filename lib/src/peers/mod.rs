//! Kept connections between entry hosts: WebSocket frames that hold CBOR messages.
//!
//! Each side proves in the upgrade that it knows the shared secret. Calls are matched to replies
//! by a number that is unique on the connection, so that a late reply reaches its own caller.

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
