//! Files and batch jobs: durable acceptance, claims, results.
//!
//! `ledger` defines the job record and its transitions, without any input or output; `store` reads
//! and writes records in the key-value service; `run` is a claimed job in its owner's memory. The
//! loops of the `BatchCoordinator` are spread over `worker` (taking, running and reporting items),
//! `commits` (writing results and heartbeats), `tracker` (finding and taking over jobs) and
//! `sweeper` (deletion after the retention time).

mod commits;
mod coordinator;
mod input;
mod item_set;
mod ledger;
mod message;
mod object;
mod outcome;
mod results;
mod retention;
mod run;
mod service;
mod store;
mod stored;
mod sweeper;
#[cfg(test)]
mod tests;
mod tracker;
mod worker;

pub use coordinator::BatchCoordinator;
pub use coordinator::BatchDependencies;
pub use item_set::ItemSet;
pub use ledger::JOB_FORMAT;
pub use ledger::JobHolder;
pub use ledger::JobRecord;
pub use ledger::LedgerError;
pub use ledger::PackCommit;
pub use ledger::PackRef;
pub use ledger::ResultKind;
pub use ledger::SegmentRef;
pub use message::BatchReply;
pub use message::BatchRequest;
pub use message::DispatchOutcome;
pub use message::ItemEnd;
pub use message::JobAnnouncement;
pub use message::WorkItem;
pub use message::WorkReport;
pub use object::BatchError;
pub use object::FileObject;
pub use object::FilePurpose;
pub use object::JobObject;
pub use object::JobRequest;
pub use object::JobState;
pub use object::LineFault;
pub use object::RequestCounts;
pub use results::CommittedResults;
pub use service::BatchService;
pub use service::JobSubmission;
pub use store::BatchStore;
pub use store::VersionedJob;
pub use store::WriteError;
pub use stored::ItemResult;
