//! Detection of requests that crash the upstreams that run them.
//!
//! For relayed requests, hosts report crashes to one another ([`CrashLedger`]): a request, or a part
//! of a prompt, that was at too many of them is convicted, and all hosts refuse it. For requests that
//! this product interprets itself there is stronger proof ([`SuspectTable`]): a request that ran on an
//! upstream when it crashed is a suspect and is run again alone on an upstream. If that crashes too,
//! the request is convicted.
//!
//! See `docs/design/suspects.md`.

mod conviction;
mod crash;
mod crash_keeper;
mod evidence;
mod fingerprint;
mod judgement;
mod keeper;
mod ledger;
mod message;
mod news;
mod recent;
mod table;

pub use conviction::ConvictionNotice;
pub use crash::CrashSubject;
pub use crash::CrashedRun;
pub use crash::UpstreamCrash;
pub use crash_keeper::CrashKeeper;
pub use crash_keeper::CrashRefusal;
pub use fingerprint::Fingerprint;
pub use judgement::CrashExposure;
pub use judgement::exceeds_chance;
pub use keeper::CONVICTION_TTL;
pub use keeper::CONVICTIONS_PREFIX;
pub use keeper::SuspectDependencies;
pub use keeper::SuspectKeeper;
pub(crate) use keeper::UpstreamRun;
pub use ledger::CrashDecision;
pub use ledger::CrashLedger;
pub use ledger::CrashVerdict;
pub use ledger::FleetSize;
pub use message::SuspectUpdate;
pub use news::CrashNews;
pub use news::SoundNotice;
pub use news::TestClaim;
pub use table::SuspectTable;
pub use table::SuspectVerdict;
