//! Following all keys with a prefix: a listing first, then changes as they happen.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::edges::kv::Freshness;
use crate::edges::kv::KvChange;
use crate::edges::kv::KvEntry;
use crate::edges::kv::KvError;
use crate::edges::kv::KvStore;
use crate::edges::kv::KvVersion;
use crate::edges::kv::list_all;

const WATCH_WAIT: Duration = Duration::from_secs(25);
/// Time after changes in which further ones gather, so that one call brings several.
const GATHER_TIME: Duration = Duration::from_millis(150);
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Failures in a row after which the service counts as away. A single one may be a watch that
/// was cut.
const FAILURES_OF_OUTAGE: u32 = 2;

/// What a follower reports.
#[derive(Clone, Debug)]
pub enum PrefixEvent {
    /// All entries; keys that are not among them do not exist.
    Listed(Vec<KvEntry>),
    /// A change.
    Changed(KvChange),
    /// The service does not answer.
    Lost(KvError),
    /// The service answers again, after the time given.
    Regained(Duration),
}

/// Follows the keys with one prefix.
pub struct PrefixFollower {
    kv: Arc<dyn KvStore>,
    prefix: String,
    gather: Duration,
    revision: Option<KvVersion>,
    failures: u32,
    lost_since: Option<Instant>,
}

impl PrefixFollower {
    /// Returns a follower of `prefix` that has seen nothing.
    pub fn new(kv: Arc<dyn KvStore>, prefix: impl Into<String>) -> Self {
        Self {
            kv,
            prefix: prefix.into(),
            gather: GATHER_TIME,
            revision: None,
            failures: 0,
            lost_since: None,
        }
    }

    /// Lets further changes gather for `gather` after one.
    pub fn with_gather(mut self, gather: Duration) -> Self {
        self.gather = gather;
        self
    }

    /// Reports all entries and every change to `take`, without end.
    pub async fn run(mut self, mut take: impl FnMut(PrefixEvent)) {
        loop {
            let outcome = match self.revision {
                None => self.list(&mut take).await,
                Some(revision) => self.watch(revision, &mut take).await,
            };
            match outcome {
                Ok(()) => self.answered(&mut take),
                Err(err) => {
                    self.failed(err, &mut take);
                    let pause = FIRST_PAUSE * 2u32.pow(self.failures.min(4) - 1);
                    tokio::time::sleep(pause.min(LONGEST_PAUSE)).await;
                }
            }
        }
    }

    async fn list(&mut self, take: &mut impl FnMut(PrefixEvent)) -> Result<(), KvError> {
        let (entries, revision) =
            list_all(self.kv.as_ref(), &self.prefix, Freshness::Current).await?;
        self.answered(take);
        // What later pages show beyond the revision is reported again by the watch.
        self.revision = Some(revision);
        take(PrefixEvent::Listed(entries));
        Ok(())
    }

    async fn watch(
        &mut self,
        revision: KvVersion,
        take: &mut impl FnMut(PrefixEvent),
    ) -> Result<(), KvError> {
        let changes = self.kv.watch(&self.prefix, revision, WATCH_WAIT).await?;
        self.answered(take);
        if changes.compacted {
            self.revision = None;
            return Ok(());
        }
        let has_changed = !changes.changes.is_empty();
        for change in changes.changes {
            take(PrefixEvent::Changed(change));
        }
        self.revision = Some(changes.revision.max(revision));
        if has_changed {
            tokio::time::sleep(self.gather).await;
        }
        Ok(())
    }

    fn answered(&mut self, take: &mut impl FnMut(PrefixEvent)) {
        self.failures = 0;
        if let Some(since) = self.lost_since.take() {
            take(PrefixEvent::Regained(since.elapsed()));
        }
    }

    fn failed(&mut self, err: KvError, take: &mut impl FnMut(PrefixEvent)) {
        self.failures += 1;
        // A listing answers as soon as the service is back, or fails soon; a watch that was opened
        // while connections are silent would hang for its whole wait, and hide all changes.
        self.revision = None;
        if self.failures == FAILURES_OF_OUTAGE {
            self.lost_since = Some(Instant::now());
            take(PrefixEvent::Lost(err));
        }
    }
}
