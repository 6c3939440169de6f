//! Limits that upstreams set to the requests a second that they take from all hosts together.
//!
//! One host, the authority of an upstream, paces the requests of all hosts there: a host asks it for a
//! grant and sends one request for each. All hosts know the limits, and the requests that were granted
//! in the last seconds, from load reports. An authority that takes over therefore continues where the
//! last one ended.
//!
//! Guarantees that the requests of all hosts within any four seconds are at most four times the limit
//! and two more, if the hosts agree on the authority and hear one another. A host that hears only a
//! part of the others paces its requests by that part of the limit, so that the parts of a divided
//! fleet keep the limit together.

mod message;
mod rate_limit;
mod request_window;
mod returns;
mod table;

pub use message::GrantReply;
pub use message::GrantRequest;
pub use message::LimitNotice;
pub use message::LimitObservation;
pub use rate_limit::LimitSignal;
pub use rate_limit::RateLimit;
pub(crate) use returns::ReturnSchedule;
pub(crate) use table::GrantAuthority;
pub use table::GrantCounts;
pub(crate) use table::GrantState;
pub use table::KnownLimit;
pub use table::LimitChange;
pub(crate) use table::LimitTable;
