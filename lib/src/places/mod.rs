//! Places of upstreams: which upstreams serve, how full they are, and which one takes what.
//!
//! Every entry host decides for itself. It knows exactly what it runs itself and learns from
//! load reports what the other hosts run. Decisions here need neither network nor clock: the
//! caller passes the time.

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

pub use book::EntryState;
pub use book::NextPlace;
pub use book::PlaceAsk;
pub use book::PlaceBook;
pub use book::PlaceKey;
pub use book::PlacePick;
pub use book::UpstreamEntry;
pub use exchange::LoadExchange;
pub use exchange::PeerAddresses;
pub use health::UpstreamFault;
pub use leaving::UpstreamStart;
pub use report::HostDatagram;
pub use report::HostNews;
pub use report::LoadReport;
pub use report::UpstreamLoad;
pub use report::upstream_tag;
pub use ring::HostRing;
pub use ring::outward;
pub use ring::overlap_reach;
pub use ring::sure_reach;
pub use ring::window_size;
pub use roster::UpstreamRoster;
pub use shared::PlaceDesk;
pub use shared::PlaceHold;
