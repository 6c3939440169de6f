//! Edges of the process: one module and one trait for each outside system.

pub mod engine;
pub mod host_list;
pub mod kv;
pub mod weights;
