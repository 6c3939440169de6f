//! Decides from the evidence on the upstreams of one service whose fault it is that some fail.

/// Distinct upstreams that have to be lost before a host counts as stranded, where there are as many.
const MIN_LOST_UPSTREAMS: usize = 2;

/// How well this host reaches the upstreams of a service.
#[derive(Clone, Copy, Debug, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum ReachState {
    /// Nothing says that upstreams fail for this host alone.
    Reached,
    /// The share of the upstreams that fail for this host and not for others.
    Partial(f64),
    /// This host reaches no upstream, and other hosts do.
    Stranded,
}

/// Numbers of upstreams of one service by what is known of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReachEvidence {
    /// Upstreams in this host's window.
    pub serving: usize,
    /// Upstreams that this host has lost while another host still heard them.
    pub lost: usize,
    /// Upstreams that this host has lost, and nothing tells whether they are alive.
    pub unreached: usize,
    /// Upstreams to which this host has opened a connection since it lost the first one.
    pub connected: usize,
}

impl ReachEvidence {
    /// Whether it is clear that the upstreams that fail have failed themselves: others took connections of
    /// this host meanwhile, and nothing says that another host hears those that fail.
    pub(crate) fn is_settled(self) -> bool {
        let failed = self.lost + self.unreached;
        let others = self.serving.saturating_sub(failed);
        self.lost == 0 && self.connected > 0 && self.connected >= MIN_LOST_UPSTREAMS.min(others)
    }

    /// Judges whether this host reaches the upstreams.
    ///
    /// Only an upstream that others still hear is lost by this host's fault: one that nobody hears has
    /// failed itself.
    pub fn judge(self) -> ReachState {
        if self.lost == 0 {
            return ReachState::Reached;
        }
        let needed = MIN_LOST_UPSTREAMS.min(self.serving.max(1));
        if self.connected == 0 && self.lost >= needed {
            return ReachState::Stranded;
        }
        let known = (self.lost + self.connected).max(MIN_LOST_UPSTREAMS);
        ReachState::Partial(self.lost as f64 / known as f64)
    }
}
