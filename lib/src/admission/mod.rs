//! Admission to upstreams: which upstream runs a piece of work, and when.
//!
//! One host admits to each engine, found by rendezvous hashing; it grants tickets to the hosts
//! that have work, which then talk to the engine themselves.

mod book;
mod desk;
mod gate;
mod keeper;
mod limit;
mod message;
mod prefixes;
mod queue;
mod ticket;

#[cfg(test)]
mod tests;

pub use desk::AdmissionController;
pub use desk::AdmissionDependencies;
pub use message::AdmissionReply;
pub use message::AdmissionRequest;
pub use message::HeldTicket;
pub use message::LoadSnapshot;
pub use message::TicketDenial;
pub use message::TicketId;
pub use message::TicketMeasure;
pub use message::TicketOutcome;
pub use message::TicketRequest;
pub use ticket::AdmissionTicket;
pub use ticket::WorkDescriptor;
