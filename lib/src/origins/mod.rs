//! Software versions at which streams began.
//!
//! What two versions of an upstream's software write doesn't fit together, so a stream may go on only at
//! the version that began it. The host that passes on the first event of a stream remembers its
//! version and tells it to a few other hosts, the registrars, which are drawn from the stream's
//! identifier. A host at which a caller takes a stream up asks them. If none of them knows the
//! stream, as after all hosts were killed, it goes on only if no other version than one can have begun
//! it, by the versions that served lately; these are kept in the key-value service.
//!
//! The registrars also know which host runs a stream, so that a take-up ends the run before it: a caller may
//! be gone though its connection is still open.

mod archive;
mod history;
mod keeper;
mod message;
mod run;
mod table;
#[cfg(test)]
mod tests;

pub use archive::VersionArchive;
pub use history::SeenVersions;
pub use history::VersionHistory;
pub use keeper::OriginKeeper;
pub(crate) use keeper::REGISTRARS;
pub(crate) use keeper::RunBefore;
pub(crate) use keeper::RunRegistration;
pub(crate) use keeper::TakeUpOutcome;
pub use message::HostTag;
pub use message::OriginNotice;
pub use message::OriginQuery;
pub use message::OriginReply;
pub use message::StreamHolder;
pub use message::StreamOrigin;
pub use message::StreamRun;
pub use message::StreamTag;
pub use message::TakeUpNotice;
pub use message::TakeUpReply;
pub(crate) use run::EndableBody;
pub(crate) use run::RunEnd;
pub(crate) use run::RunEndCause;
pub(crate) use run::RunHandle;
