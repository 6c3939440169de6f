//! Relays opaque requests to upstreams: picks upstreams, retries requests and resumes streams.
//!
//! Request bodies are not parsed. Whether a request may be repeated depends on its route's kind
//! alone.

mod answered;
mod dispatch;
mod event;
mod load_shedding;
mod request;
mod request_relay;
mod room;
mod stop_gate;
mod take_up;
mod timeout;
mod transport;
mod witness;

pub use dispatch::DispatchState;
pub use dispatch::OpenedAnswer;
pub use dispatch::RelayFailure;
pub use dispatch::RequestDispatch;
pub use dispatch::RetryPolicy;
pub use dispatch::StreamStep;
pub use event::EventReader;
pub use event::MAX_STALLED_BYTES;
pub use event::StreamEvent;
pub use event::StreamFault;
pub use load_shedding::ServiceLoad;
pub use load_shedding::ShedDecision;
pub use load_shedding::decide_shedding;
pub use request::RelayRequest;
pub(crate) use request_relay::DetouredAnswer;
pub use request_relay::RelayAnswer;
pub use request_relay::RelayRefusal;
pub use request_relay::RequestRelay;
pub use stop_gate::GateEntry;
pub use stop_gate::StopGate;
pub(crate) use timeout::wait_until;
pub use transport::ExecutionReport;
pub use transport::IDENTIFICATION_TIME;
pub use transport::SendError;
pub use transport::SendOptions;
pub use transport::UpstreamAnswer;
pub use transport::UpstreamBody;
pub use transport::UpstreamTransport;
