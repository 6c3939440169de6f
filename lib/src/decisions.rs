//! A bounded record of the decisions that a host took, for `ctl explain`.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::HostId;
use crate::peers::PeerMessage;

/// Decisions kept per host; the oldest is dropped first.
const MAX_DECISIONS: usize = 20_000;

/// What kind of decision was taken.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, strum::Display, strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum DecisionKind {
    /// An upstream was chosen.
    Routed,
    /// A request was refused.
    Refused,
    /// Work was tried again.
    Retried,
    /// Batch work was stopped in favour of online work.
    Preempted,
    /// An upstream was ejected, taken back or left.
    Upstream,
    /// A model, adapter or role was moved.
    Placement,
    /// The terms changed.
    Terms,
    /// A host joined, left or died.
    Membership,
    /// A batch job or one of its segments changed state.
    Batch,
    /// A request came under suspicion or was convicted.
    Suspicion,
    /// A share of a cap was granted, lent or returned.
    Cap,
}

/// One decision with the subjects that it concerns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Host that took the decision.
    pub host: HostId,
    /// Kind of decision.
    pub kind: DecisionKind,
    /// Identifiers that the decision concerns: requests, jobs, upstreams, workspaces.
    pub subjects: Vec<String>,
    /// Explanation for a person.
    pub detail: String,
}

/// Ring of the newest decisions of one host.
pub struct DecisionRing {
    host: HostId,
    decisions: Mutex<VecDeque<Decision>>,
}

impl DecisionRing {
    /// Returns an empty ring of `host`.
    pub fn new(host: HostId) -> Self {
        Self {
            host,
            decisions: Mutex::new(VecDeque::new()),
        }
    }

    /// Records a decision about `subjects`.
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

    /// The decisions about `subject`, oldest first.
    pub fn about(&self, subject: &str) -> Vec<Decision> {
        let decisions = self.decisions.lock().expect("decision ring lock");
        decisions
            .iter()
            .filter(|decision| decision.subjects.iter().any(|known| known == subject))
            .cloned()
            .collect()
    }
}

/// Milliseconds since the Unix epoch by the system's clock; for display only.
pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Asks for the decisions about a subject, oldest first.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExplainCall {
    /// Identifier of a request, job, upstream or workspace.
    pub subject: String,
}

impl PeerMessage for ExplainCall {
    const NAME: &'static str = "explain";

    type Reply = Vec<Decision>;
}
