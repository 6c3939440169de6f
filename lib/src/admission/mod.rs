//! Admission control: which upstream runs a request, and when.
//!
//! Each engine has one admitting host, which rendezvous hashing selects. It queues requests for the
//! engine and grants tickets; a host that was granted a ticket calls the engine directly.

mod controller;
mod limit;
mod load_table;
mod message;
mod prefix_index;
mod queue;
mod registry;
mod scheduler;
mod ticket;

#[cfg(test)]
mod tests;

pub use controller::AdmissionController;
pub use controller::AdmissionDependencies;
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
