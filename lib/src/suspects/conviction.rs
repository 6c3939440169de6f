//! A conviction: requests with its subject are refused until it is tested again.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::suspects::crash::CrashSubject;

/// Time after the last crash at which a conviction is tested for the first time, so that a wrong
/// one ends soon.
const FIRST_TEST_DELAY: Duration = Duration::from_secs(15);
/// Time from a failed test to the next one; it doubles with each further one.
const TEST_INTERVAL: Duration = Duration::from_secs(600);
const MAX_TEST_INTERVAL: Duration = Duration::from_secs(2 * 3600);
/// Time after the last crash at which a conviction is dropped. An untested one that nobody asks for
/// would otherwise stay for ever.
pub(crate) const CONVICTION_TIME: Duration = Duration::from_secs(24 * 3600);

/// What a host knows of a convicted subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Conviction {
    /// Last crash under the subject.
    pub(crate) last_crash: Instant,
    /// Number of tests so far in which an upstream crashed again.
    pub(crate) failed_tests: u32,
}

impl Conviction {
    /// When the next request with the subject may run, as a test.
    pub(crate) fn test_at(&self) -> Instant {
        let delay = match self.failed_tests {
            0 => FIRST_TEST_DELAY,
            failed => {
                let factor = 2u32.saturating_pow(failed - 1);
                TEST_INTERVAL.saturating_mul(factor).min(MAX_TEST_INTERVAL)
            }
        };
        self.last_crash + delay
    }

    /// Records a further crash under the subject.
    pub(crate) fn record_crash(&mut self, at: Instant) {
        if at >= self.test_at() {
            self.failed_tests += 1;
        }
        self.last_crash = self.last_crash.max(at);
    }

    /// Takes over what another host knows beyond this.
    pub(crate) fn merge(&mut self, other: Self) {
        self.failed_tests = self.failed_tests.max(other.failed_tests);
        self.last_crash = self.last_crash.max(other.last_crash);
    }

    /// Digest by which hosts find out whether they know the same convictions; those of several
    /// convictions are combined by exclusive or.
    pub(crate) fn digest(&self, subject: CrashSubject) -> u64 {
        xxh3_64(format!("{subject}/{}", self.failed_tests).as_bytes())
    }
}

/// A conviction as one host tells another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConvictionNotice {
    /// What is convicted.
    #[serde(rename = "s")]
    pub subject: CrashSubject,
    /// Time in milliseconds from the last crash under it until this message was sent.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Number of tests so far in which an upstream crashed again.
    #[serde(rename = "f")]
    pub failed_tests: u32,
}
