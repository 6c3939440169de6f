//! HTTP client, server and body handling that all modules share.

pub mod body;
pub mod client;
pub mod connection;
pub mod pools;
pub mod reply;
pub mod server;
pub mod service_connections;
mod write_timeout;

#[cfg(test)]
mod tests;
