//! Limits on the requests that a workspace sends to all hosts together.
//!
//! One host, the authority, paces each workspace; the others ask it for requests before they admit any.
//! Decisions do no I/O and read no clock: callers pass the time.

mod account;
mod authority;
mod bucket;
mod fleet;
mod keeper;
mod message;
mod table;
#[cfg(test)]
mod tests;

pub use fleet::FleetView;
pub use keeper::QuotaKeeper;
pub use message::QuotaAsk;
pub use message::QuotaEntry;
pub use message::QuotaGrant;
pub use message::QuotaLevel;
pub use message::QuotaReply;
pub use message::WorkspaceTag;
pub use table::QuotaCounts;
pub use table::QuotaRefusal;
pub use table::QuotaTable;
pub use table::QuotaVerdict;
