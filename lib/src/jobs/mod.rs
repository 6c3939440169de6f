//! Batch jobs of opaque items: accepted into the key-value service, run when places are free.
//!
//! An accepted job lies in the service with all of its items. One host owns it at a time, by a
//! key that goes with the host's lease, and runs its items. Results are appended in segments
//! that are each written once, so that positions never change, whoever writes.

mod book;
mod keeper;
mod message;
mod news;
mod owner;
mod pace;
mod read;
mod run;
mod running;
mod spec;
mod store;

pub use book::ItemState;
pub use book::JobTable;
pub use keeper::EndOutcome;
pub use keeper::JobConfig;
pub use keeper::JobKeeper;
pub use keeper::SubmitOutcome;
pub use message::ItemCheckpoint;
pub use message::JobCall;
pub use message::JobPeerClient;
pub use message::JobReply;
pub use read::BodyOutcome;
pub use read::ReadOutcome;
pub use spec::JobItem;
pub use spec::JobResult;
pub use spec::JobSpec;
pub use spec::ResultPage;
pub use spec::ResultState;
pub use store::JobStore;
