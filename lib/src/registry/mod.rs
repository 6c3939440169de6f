//! Registry of hosts in the key-value service: each host's entry exists as long as its lease.
//!
//! A host's other claims are bound to the same lease, so that all of them expire together when the
//! host dies.

mod entry;
mod host_registry;
mod interval;
mod secret;

pub use entry::HostEntry;
pub use entry::HostReadiness;
pub use entry::RegisteredHosts;
pub use host_registry::HostRegistry;
pub use host_registry::RegistryConfig;
pub use secret::fleet_secret;
