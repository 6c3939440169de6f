//! Places of upstreams: which upstreams serve, how full they are, and which one takes what.
//!
//! Every entry host decides for itself. It knows exactly what it runs itself and learns from
//! load reports what the other hosts run. Decisions here need neither network nor clock: the
//! caller passes the time.

mod book;
mod exchange;
mod health;
mod leaving;
mod pulse;
mod report;
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
pub use health::UpstreamFault;
pub use leaving::UpstreamStart;
pub use pulse::PeerPulse;
pub use report::LoadReport;
pub use report::UpstreamLoad;
pub use report::upstream_tag;
pub use roster::UpstreamRoster;
pub use shared::PlaceDesk;
pub use shared::PlaceHold;
