//! Clients of the systems outside this process, each behind a trait: model engines, the platform's
//! host list, the key-value service and the weight store.

pub mod engine;
pub mod host_list;
pub mod kv;
pub mod kv_calls;
pub mod weights;
