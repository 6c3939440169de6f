//! Stand-ins of the platform's services for tests and the embedded mode: key-value service, host
//! list, weight store, model engine and plain service. Faults of the real services can be injected
//! into most of them.

pub mod edges;
pub mod engine;
pub mod fleet;
pub mod host_list;
pub mod kv;
pub mod kv_link;
pub mod link;
pub mod opaque;
pub mod platform_store;
pub mod platform_worker;
pub mod server;
pub mod service;
pub mod slow_kv;
pub mod terms;
pub mod weights;
