//! Registry of hosts in the key-value service: each host's entry exists as long as its lease.
//!
//! A host's other claims are bound to the same lease, so that all of them expire together when the
//! host dies.

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
