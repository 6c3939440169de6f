//! Members' caps: what each workspace may use, held for the whole fleet.
//!
//! Tokens accrue to equal parts of a division of all caps among the hosts, and are lent between
//! hosts where they are needed. See `docs/design/caps.md`.

mod account;
mod division;
mod duty;
mod keeper;
mod ledger;
mod message;

pub use division::DIVISION_FORMAT;
pub use division::DivisionHost;
pub use division::DivisionRecord;
pub use division::EpochReport;
pub use division::LOAN_TTL;
pub use division::LearnOutcome;
pub use division::ShareLease;
pub use duty::DIVISION_KEY;
pub(crate) use duty::DivisionReconciler;
pub use keeper::CapDependencies;
pub use keeper::CapKeeper;
pub use keeper::CapReservation;
pub use ledger::CapLedger;
pub use message::CapKey;
pub use message::CapsReply;
pub use message::CapsRequest;
pub use message::LoanPart;
pub use message::LoanSettlement;
