//! Token caps of workspaces, enforced across the whole fleet.
//!
//! Each host has an equal share of every cap, in which tokens accrue as in a token bucket. A host
//! that needs more borrows tokens from others, through a broker host for each workspace. See
//! `docs/design/caps.md`.

mod bucket;
mod division;
mod keeper;
mod ledger;
mod message;
mod reconciler;

pub use division::DIVISION_FORMAT;
pub use division::DivisionHost;
pub use division::DivisionRecord;
pub use division::EpochReport;
pub use division::LOAN_TTL;
pub use division::LearnOutcome;
pub use division::ShareLease;
pub use keeper::CapDependencies;
pub use keeper::CapKeeper;
pub use keeper::CapReservation;
pub use ledger::CapLedger;
pub use message::CapKey;
pub use message::CapsReply;
pub use message::CapsRequest;
pub use message::LoanPart;
pub use message::LoanSettlement;
pub use reconciler::DIVISION_KEY;
pub(crate) use reconciler::DivisionReconciler;
