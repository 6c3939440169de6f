//! Load balancing over upstreams: which upstreams serve, how loaded they are, and which one gets a
//! request.
//!
//! Every host decides on its own. It knows its own work exactly, and the work of the other hosts
//! from their load reports. Decisions need neither the network nor a clock: callers pass the time.

mod book;
mod exchange;
mod health;
mod leaving;
mod neighbours;
mod peers;
mod pulse;
mod report;
mod ring;
mod roster;
mod shared;
mod spare;

pub use book::BalancerKey;
pub use book::BalancerState;
pub use book::RunnerUp;
pub use book::SlotRequest;
pub use book::UpstreamChoice;
pub use book::UpstreamEntry;
pub use book::UpstreamState;
pub use exchange::LoadExchange;
pub use exchange::PeerAddresses;
pub use health::UpstreamFault;
pub use leaving::UpstreamIncarnation;
pub use report::HostAnnouncement;
pub use report::HostDatagram;
pub use report::HostLoadReport;
pub use report::UpstreamLoad;
pub use report::upstream_tag;
pub use ring::HostRing;
pub use ring::certain_neighbour_reach;
pub use ring::indices_by_distance;
pub use ring::neighbour_reach;
pub use ring::window_size;
pub use roster::EntryReconciler;
pub use shared::LoadBalancer;
pub use shared::SlotPermit;
