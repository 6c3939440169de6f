//! Placement: which engine has which models, adapters and versions loaded.
//!
//! The engines of one data centre form a shard. One host at a time holds a shard's lease, compares
//! what its engines report with what the terms and the demand want, and orders small changes.

mod controller;
mod demand;
mod lease;
mod planner;

pub use controller::PlacementController;
pub use controller::PlacementDependencies;
pub use demand::DemandCall;
pub use demand::DemandMeter;
pub use demand::ModelDemand;
pub use lease::LeaseKeeper;
pub use lease::ShardLease;
pub use planner::DesiredModel;
pub use planner::PlacementChange;
pub use planner::PlacementInput;
pub use planner::PlacementPlanner;
pub use planner::PlacementPolicy;
pub use planner::ReportedEngine;
