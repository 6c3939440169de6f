//! Registry of hosts in the key-value service: each host's entry lives as long as its lease.
//!
//! The lease is also the one that a host's other claims go with, so that all of them lapse
//! together when the host dies.

mod entry;
mod keeper;
mod pace;
mod secret;

pub use entry::HostEntry;
pub use entry::HostReadiness;
pub use entry::RegisteredHosts;
pub use keeper::HostRegistry;
pub use keeper::RegistryConfig;
pub use secret::fleet_secret;
