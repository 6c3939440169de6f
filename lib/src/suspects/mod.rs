//! Detection of requests that crash the upstreams that run them.
//!
//! A request that ran on an upstream when it crashed is a suspect and is run again alone on an
//! upstream. If that crashes too, the request is convicted: all hosts refuse it from then on.
//!
//! See `docs/design/suspects.md`.

mod fingerprint;
mod keeper;
mod message;
mod table;

pub use fingerprint::Fingerprint;
pub use keeper::CONVICTION_TTL;
pub use keeper::CONVICTIONS_PREFIX;
pub use keeper::SuspectDependencies;
pub use keeper::SuspectKeeper;
pub(crate) use keeper::UpstreamRun;
pub use message::SuspectUpdate;
pub use table::SuspectTable;
pub use table::SuspectVerdict;
