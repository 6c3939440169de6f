//! Start-time fair queueing (SFQ) between the flows that one host serves.

use std::hash::Hash;

use crate::collections::HashMap;

/// Share used for a flow whose terms give it none, as a share of 0 would make its finish tags infinite.
/// Such a flow is served only when no other has work.
const MIN_SHARE: f64 = 1e-6;

/// Virtual clock of one host, in units of work divided by share.
#[derive(Clone, Debug)]
pub(crate) struct VirtualClock<K> {
    /// Start tag of the work that was charged last.
    virtual_time: f64,
    /// Virtual time at which the charged work of each flow ends.
    finish_tags: HashMap<K, f64>,
}

impl<K> Default for VirtualClock<K> {
    fn default() -> Self {
        Self {
            virtual_time: 0.0,
            finish_tags: HashMap::default(),
        }
    }
}

impl<K: Clone + Eq + Hash> VirtualClock<K> {
    /// Start tag of the flow's next work; the flow with the lowest goes first. At least the current
    /// virtual time, so that an idle flow saves up no credit.
    pub(crate) fn start_tag(&self, flow: &K) -> f64 {
        let finish_tag = self.finish_tags.get(flow).copied();
        finish_tag.unwrap_or(0.0).max(self.virtual_time)
    }

    /// Charges `work` to the flow that was selected, and advances the virtual time to its start tag.
    pub(crate) fn charge(&mut self, flow: &K, share: f64, work: f64) {
        let start = self.start_tag(flow);
        self.virtual_time = start;
        let finish_tag = start + work / share.max(MIN_SHARE);
        self.finish_tags.insert(flow.clone(), finish_tag);
    }

    /// Forgets flows whose charged work has ended in virtual time; they start there again.
    pub(crate) fn forget_ended(&mut self) {
        let now = self.virtual_time;
        self.finish_tags.retain(|_, finish_tag| *finish_tag > now);
    }
}
