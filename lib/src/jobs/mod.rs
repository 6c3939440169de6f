//! Batch jobs of opaque items: stored in the key-value service, run when upstreams have free slots.
//!
//! An accepted job is stored in the key-value service with all of its items. One host owns it at a
//! time, by an owner key that is bound to the host's lease, and runs its items. Results are
//! appended in segments that are each written once, so that the position of a result never changes,
//! whichever host writes it.

mod acceptance;
mod announcer;
mod attempts;
mod changeover;
mod dispatch;
mod ending;
mod estimator;
mod failures;
mod keeper;
mod message;
mod owners;
mod ownership;
mod progress;
mod read;
mod running;
mod segments;
mod spec;
mod standstill;
mod store;
mod stranded;
mod submission;
mod table;
#[cfg(test)]
mod tests;

pub use acceptance::AcceptanceOutcome;
pub use acceptance::JobAcceptance;
pub use ending::EndOutcome;
pub use failures::ItemFailures;
pub use keeper::JobConfig;
pub use keeper::JobKeeper;
pub use message::GivenUpJob;
pub use message::ItemCheckpoint;
pub use message::JobCall;
pub use message::JobPeerClient;
pub use message::JobReply;
pub use message::KnownOwner;
pub use read::BodyOutcome;
pub use read::ReadOutcome;
pub use spec::JobItem;
pub use spec::JobResult;
pub use spec::JobSpec;
pub use spec::ResultPage;
pub use spec::ResultState;
pub use store::JobStore;
pub use submission::SubmitOutcome;
pub use table::ItemState;
pub use table::JobTable;
