//! Recorded decisions about one subject, collected from all live hosts.

use serde::Deserialize;
use serde::Serialize;

use crate::decisions::Decision;

/// Recorded decisions about one request, job, upstream or workspace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Decisions in order of time, by the clocks of the hosts that made them.
    pub decisions: Vec<Decision>,
    /// Number of live hosts whose decisions are missing because they did not answer in time.
    pub hosts_without_answer: u32,
}

impl Explanation {
    /// Returns an explanation with the decisions of one host.
    pub(crate) fn new(decisions: Vec<Decision>) -> Self {
        Self {
            decisions,
            hosts_without_answer: 0,
        }
    }

    /// Merges the decisions of another host in order of time.
    pub(crate) fn add(&mut self, decisions: Vec<Decision>) {
        self.decisions.extend(decisions);
        self.decisions.sort_by_key(|decision| decision.at_ms);
    }

    /// Counts a live host that did not answer.
    pub(crate) fn count_silent_host(&mut self) {
        self.hosts_without_answer += 1;
    }
}
