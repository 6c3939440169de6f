//! Follows all keys with a prefix: lists them first, then watches for changes.

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

/// Longest time that a watch call waits for changes.
const WATCH_WAIT: Duration = Duration::from_secs(25);
/// Delay between changes and the next watch call, so that one call returns several changes.
const GATHER_TIME: Duration = Duration::from_millis(150);
/// Delay before the first retry; it doubles with each consecutive failure, up to [`LONGEST_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Number of consecutive failures that count as an outage of the service. A single one may be a
/// watch whose connection was cut.
const FAILURES_OF_OUTAGE: u32 = 2;

/// Event that a [`PrefixFollower`] reports.
#[derive(Clone, Debug)]
pub enum PrefixEvent {
    /// All entries with the prefix; other keys do not exist. Replaces all that was reported before.
    Listed(Vec<KvEntry>),
    /// One key was written or deleted.
    Changed(KvChange),
    /// An outage of the key-value service began; the error is that of the last call.
    Lost(KvError),
    /// The outage ended; holds the time since it was detected.
    Regained(Duration),
}

/// Follows the keys with one prefix in the key-value service.
pub struct PrefixFollower {
    kv: Arc<dyn KvStore>,
    prefix: String,
    gather: Duration,
    revision: Option<KvVersion>,
    failures: u32,
    lost_since: Option<Instant>,
}

impl PrefixFollower {
    /// Creates a follower of `prefix` that starts with a listing.
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

    /// Sets the delay between changes and the next watch call. A longer one needs fewer calls, and
    /// reports changes later.
    pub fn with_gather(mut self, gather: Duration) -> Self {
        self.gather = gather;
        self
    }

    /// Calls `take` with each event, until the future is dropped. Failed calls are retried with
    /// backoff.
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
        // Later pages of the listing may contain changes beyond this revision; the watch reports
        // them again.
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
        // Lists again instead of watching: a listing answers as soon as the service is back, or
        // fails soon. A watch over a connection that delivers nothing would hang for its whole
        // wait, and no change would be seen meanwhile.
        self.revision = None;
        if self.failures == FAILURES_OF_OUTAGE {
            self.lost_since = Some(Instant::now());
            take(PrefixEvent::Lost(err));
        }
    }
}
