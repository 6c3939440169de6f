//! HTTP plumbing shared by the slices.

pub mod body;
pub mod client;
pub mod pools;
pub mod reply;
pub mod server;
mod stall;

#[cfg(test)]
mod tests;
