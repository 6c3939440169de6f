//! Relaying opaque requests to upstreams: placing, sending again, and resuming streams.
//!
//! Bodies are not looked into. What may be repeated follows from the route's kind alone.

mod admission;
mod desk;
mod event;
mod patience;
mod request;
mod run;
mod wire;

pub use admission::AdmissionVerdict;
pub use admission::LoadView;
pub use admission::judge;
pub use desk::RelayAnswer;
pub use desk::RelayDesk;
pub use event::EventSplitter;
pub use event::StreamEvent;
pub use request::RelayRequest;
pub use run::Opened;
pub use run::RelayFailure;
pub use run::RunPolicy;
pub use run::RunState;
pub use run::RunStep;
pub use run::StreamRun;
pub use wire::Executed;
pub use wire::SendFault;
pub use wire::SendOrder;
pub use wire::UpstreamAnswer;
pub use wire::UpstreamBody;
pub use wire::UpstreamWire;
