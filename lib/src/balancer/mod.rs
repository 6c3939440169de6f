//! Load balancing over upstreams: which upstreams serve, how loaded they are, and which one gets a
//! request.
//!
//! Every host decides on its own. It knows its own work exactly, and the work of the other hosts
//! from their load reports. Decisions need neither the network nor a clock: callers pass the time.

mod backoff;
mod capacity;
mod departures;
mod exchange;
mod handle;
mod incarnation_notices;
mod limit_placement;
mod limited;
mod liveness;
mod message_order;
mod neighbours;
mod observations;
mod pace;
mod peer_loads;
mod quota_fleet;
mod reconciler;
mod report;
mod ring;
mod score;
mod state;
mod waiting;

pub use backoff::UpstreamFault;
pub use exchange::LoadExchange;
pub use exchange::PeerAddresses;
pub use handle::LoadBalancer;
pub use handle::SlotPermit;
pub use observations::PaceSummary;
pub use pace::PaceSample;
pub use pace::process_tag;
pub use reconciler::EntryReconciler;
pub use report::AcquiredJob;
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
pub use state::BalancerKey;
pub use state::BalancerState;
pub use state::RunnerUp;
pub use state::SlotRequest;
pub use state::UpstreamChoice;
pub use state::UpstreamEntry;
pub use state::UpstreamState;
pub use waiting::ItemUrgency;
pub use waiting::WaitingItems;
pub(crate) use waiting::service_tag;
