//! Requests that crash what runs them: found, run alone, and refused once proved.
//!
//! See `docs/design/suspects.md`.

mod book;
mod fingerprint;
mod keeper;
mod message;

pub use book::SuspectTable;
pub use book::SuspectVerdict;
pub use fingerprint::Fingerprint;
pub use keeper::CONVICTION_TTL;
pub use keeper::CONVICTIONS_PREFIX;
pub use keeper::SuspectDependencies;
pub use keeper::SuspectKeeper;
pub(crate) use keeper::UpstreamRun;
pub use message::SuspectUpdate;
