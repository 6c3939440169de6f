//! Soak test that injects random faults into real processes of the product from outside.
//!
//! [`run::run_soak`] starts a [`fleet::SoakFleet`] of processes on stand-ins of the platform's
//! store and workers, injects the faults of a seeded [`plan::FaultPlan`] while [`callers`] and
//! [`jobs`] send work, and then has [`check`] verify the records of clients and workers.

pub mod callers;
pub mod check;
pub mod content;
pub mod fleet;
pub mod history;
pub mod inject;
pub mod job_reads;
pub mod jobs;
mod late_calls;
pub mod overlap;
pub mod owner_watch;
pub mod peer_link;
pub mod plan;
pub mod play;
pub mod play_clients;
pub mod play_jobs;
pub mod play_overlaps;
pub mod play_results;
pub mod play_stranded;
pub mod proxy;
pub mod run;
pub mod tenants;
pub mod worker_link;
pub mod workers;
