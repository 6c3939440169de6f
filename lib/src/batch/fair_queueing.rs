//! Start-time fair queueing between workspaces.

use crate::collections::HashMap;
use crate::ids::WorkspaceName;

/// Share of a workspace whose terms give it none; it runs when nobody else has work.
const MIN_SHARE: f64 = 1e-6;

/// Virtual time of one host: work divided by share, by workspace.
#[derive(Debug, Default)]
pub(crate) struct VirtualClock {
    virtual_time: f64,
    finish_tags: HashMap<WorkspaceName, f64>,
}

impl VirtualClock {
    /// Start time of the workspace's next piece of work; the lowest goes first.
    pub(crate) fn start_tag(&self, workspace: &WorkspaceName) -> f64 {
        let finish_tag = self.finish_tags.get(workspace).copied();
        finish_tag.unwrap_or(0.0).max(self.virtual_time)
    }

    /// Charges `tokens` of work to a workspace that was chosen for its start time.
    pub(crate) fn charge(&mut self, workspace: &WorkspaceName, share: f64, tokens: f64) {
        let start = self.start_tag(workspace);
        self.virtual_time = start;
        let finish_tag = start + tokens / share.max(MIN_SHARE);
        self.finish_tags.insert(workspace.clone(), finish_tag);
    }
}
