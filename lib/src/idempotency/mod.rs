//! Non-idempotent requests: at most one run for each `Idempotency-Key`, whichever host gets it.
//!
//! See `docs/design/idempotency.md`.

mod keeper;
mod log;
mod message;
mod partition;

pub use keeper::ClaimDependencies;
pub use keeper::ClaimKeeper;
pub use keeper::ClaimOutcome;
pub use keeper::HeldClaim;
pub use message::ClaimId;
pub use message::ClaimKey;
pub use message::ClaimReply;
pub use message::ClaimRequest;
pub use message::RecordedResponse;
pub use partition::LogEntry;
pub use partition::LogSegment;
pub use partition::PartitionState;
