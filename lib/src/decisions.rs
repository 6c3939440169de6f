//! Bounded in-memory log of the decisions that a host made, read by `ctl explain`.

use std::collections::VecDeque;
use std::sync::Mutex;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::unix_millis;
use crate::ids::HostId;
use crate::peers::PeerMessage;

/// Number of decisions that a host keeps; the oldest is evicted first.
const MAX_DECISIONS: usize = 20_000;

/// What a decision was about.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum DecisionKind {
    /// An upstream was chosen for a request.
    Routed,
    /// A request was refused.
    Refused,
    /// Work was sent again after a failure.
    Retried,
    /// Batch work was preempted by online work.
    Preempted,
    /// An upstream was ejected, returned from ejection, or announced its shutdown.
    Upstream,
    /// A model, adapter or role was moved.
    Placement,
    /// The terms document changed.
    Terms,
    /// A host joined, left or failed.
    Membership,
    /// A batch job or one of its segments changed state.
    Batch,
    /// A request was suspected or convicted of crashing engines.
    Suspicion,
    /// A share of a cap was granted, lent or returned.
    Cap,
}

/// One decision of a host, with the subjects that it concerns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Time of the decision, in milliseconds since the Unix epoch by the host's clock.
    pub at_ms: u64,
    /// Host that made the decision.
    pub host: HostId,
    /// What the decision was about.
    pub kind: DecisionKind,
    /// Identifiers that the decision concerns: requests, jobs, upstreams, workspaces.
    pub subjects: Vec<String>,
    /// Explanation for a human reader.
    pub detail: String,
}

/// Ring buffer of the newest decisions of one host.
pub struct DecisionRing {
    host: HostId,
    decisions: Mutex<VecDeque<Decision>>,
}

impl DecisionRing {
    /// Creates an empty ring buffer for `host`.
    pub fn new(host: HostId) -> Self {
        Self {
            host,
            decisions: Mutex::new(VecDeque::new()),
        }
    }

    /// Records a decision about `subjects` at the present time.
    pub fn record(&self, kind: DecisionKind, subjects: &[&str], detail: impl Into<String>) {
        let decision = Decision {
            at_ms: unix_millis(),
            host: self.host.clone(),
            kind,
            subjects: subjects.iter().map(ToString::to_string).collect(),
            detail: detail.into(),
        };
        let mut decisions = self.decisions.lock().expect("decision ring lock");
        if decisions.len() == MAX_DECISIONS {
            decisions.pop_front();
        }
        decisions.push_back(decision);
    }

    /// The recorded decisions that have `subject` among their subjects, oldest first.
    pub fn about(&self, subject: &str) -> Vec<Decision> {
        let decisions = self.decisions.lock().expect("decision ring lock");
        decisions
            .iter()
            .filter(|decision| decision.subjects.iter().any(|known| known == subject))
            .cloned()
            .collect()
    }
}

/// Peer call that returns the decisions of one host about a subject, oldest first.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExplainCall {
    /// Identifier of a request, job, upstream or workspace.
    pub subject: String,
}

impl PeerMessage for ExplainCall {
    const NAME: &'static str = "explain";

    type Reply = Vec<Decision>;
}
