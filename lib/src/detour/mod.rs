//! Detours: requests of a host that does not reach the upstreams go on through a host that does.
//!
//! The host that took the request from its caller stays responsible for it: it passes the answer on, knows
//! the version that began a stream, and sends the request through another host if one is lost. The other
//! host picks upstreams, counts the request at them and retries it, as for its own callers. A detour is
//! never taken twice.
//!
//! See `docs/design/stranded-hosts.md`.

mod client;
mod decision;
mod keeper;
mod link;
mod message;
mod server;

pub use client::DetourClient;
pub use decision::DetourDecision;
pub use decision::DetourInputs;
pub use decision::DetourTable;
pub use decision::MAX_OFFERS;
pub use decision::NO_HOST_RETRY_DELAY;
pub use decision::UNREACHED_ATTEMPTS;
pub use decision::UpstreamReach;
pub use decision::decide_detour;
pub use keeper::DetourKeeper;
pub(crate) use keeper::DetourOutcome;
pub(crate) use keeper::RunCounter;
pub use link::DetourConnection;
pub use link::DetourFrames;
pub use link::DetourLink;
pub use message::DetourCall;
pub use message::DetourFrame;
pub use message::DetourRefusal;
pub use server::DetourServer;
