//! Randomized fault soak: real processes of the product, faults injected from outside.
//!
//! [`run::run_soak`] starts a [`fleet::SoakFleet`] of processes before stand-ins of the platform's
//! store and workers, plays the faults of a seeded [`plan::FaultPlan`] while [`callers`] and
//! [`lots`] send work, and lets [`check`] judge what callers and workers saw.

pub mod callers;
pub mod check;
pub mod content;
pub mod fleet;
pub mod history;
pub mod inject;
pub mod lots;
pub mod plan;
pub mod proxy;
pub mod run;
pub mod workers;
