//! Placement: which models, adapters and versions each engine has loaded.
//!
//! The engines of one data centre form a shard. One host at a time holds the lease of a shard. It
//! reconciles the models that the engines report as loaded with the terms and the demand, and
//! orders a few changes in each round.

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
