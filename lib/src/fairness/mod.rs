//! Division of too little room between the workspaces whose online requests the hosts relay.
//!
//! Decides; does no I/O and reads no clock. The room and the work of all hosts come from the load
//! balancer, priorities and weights from the configuration.

mod decision;
mod flows;
mod shares;
mod terms;
mod virtual_clock;
mod wait_line;

pub use decision::RoomDecision;
pub use decision::RoomInputs;
pub use decision::RoomReason;
pub use decision::decide_room;
pub use flows::FlowCounts;
pub use flows::FlowKey;
pub use flows::FlowLoad;
pub use flows::FlowTag;
pub use flows::WorkspaceTag;
pub use shares::FlowDemand;
pub use shares::FlowStanding;
pub use shares::find_standing;
pub use terms::FlowClass;
pub use terms::ShareTerms;
pub(crate) use virtual_clock::VirtualClock;
pub use wait_line::WaitLine;
pub use wait_line::WaiterKey;
