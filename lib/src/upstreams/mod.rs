//! Upstreams that this host knows: the list of the platform, combined with the load reports of the
//! engines.

mod health;
mod table;

#[cfg(test)]
mod tests;

pub use table::Upstream;
pub use table::UpstreamKey;
pub use table::UpstreamTable;
