//! Crashes of upstreams and the requests that ran there without an answer, as hosts report them to
//! one another.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::UpstreamIncarnation;
use crate::suspects::fingerprint::Fingerprint;

/// Most runs that are recorded of one crash; further ones are left out.
pub(crate) const MAX_RUNS: usize = 16;
/// Most parts of a prompt that are recorded of a run: the last ones, which the fewest requests share.
const MAX_PARTS: usize = 6;

/// What may be the cause of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CrashSubject {
    /// A request; all copies of it have the same fingerprint.
    #[serde(rename = "q")]
    Request(Fingerprint),
    /// A part of a prompt that requests share.
    #[serde(rename = "p")]
    Part(Fingerprint),
}

impl std::fmt::Display for CrashSubject {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Request(fingerprint) => f.write_str(&fingerprint.to_hex()),
            Self::Part(fingerprint) => write!(f, "part-{}", fingerprint.to_hex()),
        }
    }
}

/// A run of an online request whose upstream crashed before the first part of the answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// The request.
    #[serde(rename = "q")]
    pub request: Fingerprint,
    /// Time in milliseconds from the dispatch of the request to the crash.
    #[serde(rename = "w")]
    pub waited_ms: u32,
    /// Parts of its prompt that other requests may share, in their order.
    #[serde(rename = "p", default)]
    pub parts: Vec<Fingerprint>,
}

impl CrashedRun {
    /// Returns the run of `request` that has waited for `waited`. Of `parts`, the parts of its prompt
    /// that other requests may share, the last six are kept.
    pub fn new(request: Fingerprint, parts: &[Fingerprint], waited: Duration) -> Self {
        Self {
            request,
            waited_ms: u32::try_from(waited.as_millis()).unwrap_or(u32::MAX),
            parts: parts[parts.len().saturating_sub(MAX_PARTS)..].to_vec(),
        }
    }

    /// Everything that may have caused the crash by this run.
    pub(crate) fn subjects(&self) -> impl Iterator<Item = CrashSubject> {
        let request = std::iter::once(CrashSubject::Request(self.request));
        let parts = self.parts.iter().copied();
        request.chain(parts.map(CrashSubject::Part))
    }

    /// Whether the run has `subject`.
    pub(crate) fn has(&self, subject: CrashSubject) -> bool {
        match subject {
            CrashSubject::Request(request) => self.request == request,
            CrashSubject::Part(part) => self.parts.contains(&part),
        }
    }

    pub(crate) fn waited(&self) -> Duration {
        Duration::from_millis(u64::from(self.waited_ms))
    }
}

/// Crash of an upstream, with the runs that may have caused it. Batch items are never among them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCrash {
    /// The process that crashed; reports of several hosts about one crash name the same.
    #[serde(rename = "u")]
    pub upstream: UpstreamIncarnation,
    /// Time in milliseconds from the crash until this message was sent.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Runs that had no part of an answer, at most 16.
    #[serde(rename = "r")]
    pub runs: Vec<CrashedRun>,
}
