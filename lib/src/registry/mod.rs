//! Registry of hosts in the key-value service: each host's entry exists as long as its lease.
//!
//! At most one process of a name acts: the later start wins, and the earlier process is displaced.
//!
//! A host's other claims are bound to the same lease, so that all of them expire together when the
//! host dies.

mod entry;
mod host_registry;
mod interval;
mod message;
mod name_hold;
mod own_entry;
mod replacement;
mod secret;
#[cfg(test)]
mod tests;

pub use entry::HostEntry;
pub use entry::HostReadiness;
pub use entry::RegisteredHosts;
pub use entry::ReplacedProcess;
pub use host_registry::HostRegistry;
pub(crate) use host_registry::NameFence;
pub use host_registry::RegistryConfig;
pub use message::NameCall;
pub use message::NameCallError;
pub use message::NamePeerClient;
pub use message::NameReply;
pub(crate) use name_hold::HostProcess;
pub use secret::fleet_secret;
