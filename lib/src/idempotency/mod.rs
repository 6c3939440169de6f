//! Runs non-idempotent requests at most once per `Idempotency-Key`, whichever host receives them.
//!
//! A request is claimed in a log in the key-value service before it runs, and its response is
//! recorded there for resends. The log is split into partitions, each normally written by one
//! host.
//!
//! See `docs/design/idempotency.md`.

mod keeper;
mod log;
mod message;
mod state;

pub use keeper::ClaimDependencies;
pub use keeper::ClaimKeeper;
pub use keeper::ClaimOutcome;
pub use keeper::HeldClaim;
pub use message::ClaimId;
pub use message::ClaimKey;
pub use message::ClaimReply;
pub use message::ClaimRequest;
pub use message::RecordedResponse;
pub use state::LogEntry;
pub use state::LogSegment;
pub use state::PartitionState;
