//! Relays opaque requests to upstreams: picks upstreams, retries requests and resumes streams.
//!
//! Request bodies are not parsed. Whether a request may be repeated depends on its route's kind
//! alone.

mod admission;
mod desk;
mod event;
mod patience;
mod request;
mod run;
mod wire;

pub use admission::ServiceLoad;
pub use admission::ShedDecision;
pub use admission::judge;
pub use desk::RelayAnswer;
pub use desk::RequestRelay;
pub use event::EventSplitter;
pub use event::StreamEvent;
pub use request::RelayRequest;
pub use run::DispatchState;
pub use run::OpenedAnswer;
pub use run::RelayFailure;
pub use run::RequestDispatch;
pub use run::RetryPolicy;
pub use run::StreamStep;
pub use wire::ExecutionReport;
pub use wire::SendError;
pub use wire::SendOptions;
pub use wire::UpstreamAnswer;
pub use wire::UpstreamBody;
pub use wire::UpstreamTransport;
