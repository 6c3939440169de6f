//! Small stand-ins for the platform: key-value service, host list, weight store, model engine and
//! plain service. Each can be made to fail in the ways that the real one does.

pub mod edges;
pub mod engine;
pub mod fleet;
pub mod host_list;
pub mod kv;
pub mod opaque;
pub mod platform_store;
pub mod platform_worker;
pub mod server;
pub mod service;
pub mod terms;
pub mod weights;
