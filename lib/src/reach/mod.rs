//! Whether this host reaches upstreams, and which other hosts do.
//!
//! A host that is partitioned from all upstreams of a service, while other hosts reach them, is
//! stranded. It finds out from its own connections and from what the others report, tells them, and
//! asks callers to go elsewhere. Decisions need neither the network nor a clock: callers pass the time.
//!
//! See `docs/design/stranded-hosts.md`.

mod contact;
mod directory;
mod judgement;
mod keeper;
mod monitor;
mod notice;
mod probes;
mod table;

pub use contact::UnreachedCause;
pub use directory::preferred_hosts;
pub use judgement::ReachEvidence;
pub use judgement::ReachState;
pub use keeper::ReachKeeper;
pub(crate) use monitor::ReachMonitor;
pub use notice::ReachNotice;
pub use table::DetourHost;
pub use table::ProbeTarget;
pub use table::ReachChange;
pub(crate) use table::stranded_interval;
