//! Start-time fair queueing (SFQ) between the workspaces whose batch items one host takes.

use crate::collections::HashMap;
use crate::ids::WorkspaceName;

/// Share used for a workspace whose terms give it none, as a share of 0 would make its finish tags
/// infinite. Such a workspace gets items only when no other has work.
const MIN_SHARE: f64 = 1e-6;

/// Virtual clock of one host, in tokens divided by share.
#[derive(Debug, Default)]
pub(crate) struct VirtualClock {
    /// Start tag of the work that was charged last.
    virtual_time: f64,
    /// Virtual time at which the charged work of each workspace ends.
    finish_tags: HashMap<WorkspaceName, f64>,
}

impl VirtualClock {
    /// Start tag of the workspace's next items; the workspace with the lowest goes first. At least
    /// the current virtual time, so that an idle workspace saves up no credit.
    pub(crate) fn start_tag(&self, workspace: &WorkspaceName) -> f64 {
        let finish_tag = self.finish_tags.get(workspace).copied();
        finish_tag.unwrap_or(0.0).max(self.virtual_time)
    }

    /// Charges `tokens` of work to the workspace that was selected, and advances the virtual time
    /// to its start tag.
    pub(crate) fn charge(&mut self, workspace: &WorkspaceName, share: f64, tokens: f64) {
        let start = self.start_tag(workspace);
        self.virtual_time = start;
        let finish_tag = start + tokens / share.max(MIN_SHARE);
        self.finish_tags.insert(workspace.clone(), finish_tag);
    }
}
