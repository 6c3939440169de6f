//! Serving system for online and batch inference on one shared fleet.
//!
//! Each module owns its state, its messages and its tests. The [`host`] module connects them into
//! one entry host. Parsing the command line and writing to the terminal are left to the `cli`
//! crate.

pub mod admin;
pub mod admission;
pub mod api_key;
pub mod balancer;
pub mod batch;
mod callers;
pub mod caps;
pub mod clock;
pub mod collections;
pub mod counters;
pub mod decisions;
pub mod detour;
pub mod edges;
pub mod event_log;
pub mod events;
pub mod fairness;
pub mod follow;
pub mod host;
mod host_draw;
pub mod host_views;
pub mod http;
pub mod idempotency;
pub mod ids;
pub mod inference;
pub mod jobs;
pub mod limits;
pub mod membership;
mod memory_budget;
pub mod metrics;
pub mod origins;
pub mod peers;
pub mod placement;
pub mod quotas;
mod rate;
pub mod reach;
pub mod refusal;
pub mod registry;
pub mod relay;
pub mod relay_host;
pub mod revision_ages;
pub mod routes;
pub mod settings;
pub mod suspects;
pub mod terms;
pub mod trace;
pub mod upstreams;
pub mod view_monitor;
pub mod view_news;
pub mod workspaces;
