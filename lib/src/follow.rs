//! Follows all keys with a prefix: lists them first, then watches for changes.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::edges::kv::Freshness;
use crate::edges::kv::KvChange;
use crate::edges::kv::KvEntry;
use crate::edges::kv::KvError;
use crate::edges::kv::KvStore;
use crate::edges::kv::KvVersion;
use crate::edges::kv::list_all;
use crate::host_views::ViewHandle;
use crate::view_monitor::ViewCall;

/// Longest time that a watch call waits for changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// Delay between changes and the next watch call, so that one call returns several changes.
const COALESCE_DELAY: Duration = Duration::from_millis(150);
/// Delay before the first retry; it doubles with each consecutive failure, up to [`MAX_RETRY_DELAY`].
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Number of consecutive failures that count as an outage of the service. A single one may be a
/// watch whose connection was cut.
const OUTAGE_FAILURES: u32 = 2;

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
    view: ViewHandle,
    coalesce_delay: Duration,
    refresh: Arc<Notify>,
    revision: Option<KvVersion>,
    failures: u32,
    outage_since: Option<Instant>,
}

impl PrefixFollower {
    /// Creates a follower of `prefix` that starts with a listing and records in `view` how old what it
    /// reports may be.
    pub fn new(kv: Arc<dyn KvStore>, prefix: impl Into<String>, view: ViewHandle) -> Self {
        Self {
            kv,
            prefix: prefix.into(),
            view,
            coalesce_delay: COALESCE_DELAY,
            refresh: Arc::default(),
            revision: None,
            failures: 0,
            outage_since: None,
        }
    }

    /// Sets the delay between changes and the next watch call. A longer one needs fewer calls, and
    /// reports changes later.
    pub fn with_coalesce_delay(mut self, coalesce_delay: Duration) -> Self {
        self.coalesce_delay = coalesce_delay;
        self
    }

    /// Lists the keys again when `refresh` is notified, as the open watch may have gone silent.
    pub fn with_refresh(mut self, refresh: Arc<Notify>) -> Self {
        self.refresh = refresh;
        self
    }

    /// Calls `handle` with each event, until the future is dropped. Failed calls are retried with
    /// backoff.
    pub async fn run(self, handle: impl FnMut(PrefixEvent)) {
        let view = self.view.clone();
        tokio::select! {
            () = self.follow(handle) => {}
            () = view.log_age() => {}
        }
    }

    async fn follow(mut self, mut handle: impl FnMut(PrefixEvent)) {
        let refresh = self.refresh.clone();
        loop {
            let outcome = match self.revision {
                None => self.list(&mut handle).await,
                Some(revision) => tokio::select! {
                    outcome = self.watch(revision, &mut handle) => outcome,
                    () = refresh.notified() => {
                        self.revision = None;
                        continue;
                    }
                },
            };
            match outcome {
                Ok(()) => self.note_success(&mut handle),
                Err(err) => {
                    self.note_failure(err, &mut handle);
                    let delay = FIRST_RETRY_DELAY * 2u32.pow(self.failures.min(4) - 1);
                    tokio::time::sleep(delay.min(MAX_RETRY_DELAY)).await;
                }
            }
        }
    }

    async fn list(&mut self, handle: &mut impl FnMut(PrefixEvent)) -> Result<(), KvError> {
        let started = Instant::now();
        let listing = list_all(self.kv.as_ref(), &self.prefix, Freshness::Current).await;
        let (entries, revision) =
            listing.inspect_err(|_| self.view.note_failure(ViewCall::Listing))?;
        self.note_success(handle);
        // Later pages of the listing may contain changes beyond this revision; the watch reports
        // them again.
        self.revision = Some(revision);
        self.view
            .note_answer(ViewCall::Listing, started, revision, entries.len());
        handle(PrefixEvent::Listed(entries));
        Ok(())
    }

    async fn watch(
        &mut self,
        revision: KvVersion,
        handle: &mut impl FnMut(PrefixEvent),
    ) -> Result<(), KvError> {
        let started = Instant::now();
        let answer = self.kv.watch(&self.prefix, revision, WATCH_TIMEOUT).await;
        let changes = answer.inspect_err(|_| self.view.note_failure(ViewCall::Watch))?;
        self.note_success(handle);
        if changes.compacted {
            self.revision = None;
            return Ok(());
        }
        let has_changed = !changes.changes.is_empty();
        let revision = changes.revision.max(revision);
        self.view
            .note_answer(ViewCall::Watch, started, revision, changes.changes.len());
        for change in changes.changes {
            handle(PrefixEvent::Changed(change));
        }
        self.revision = Some(revision);
        if has_changed {
            tokio::time::sleep(self.coalesce_delay).await;
        }
        Ok(())
    }

    fn note_success(&mut self, handle: &mut impl FnMut(PrefixEvent)) {
        self.failures = 0;
        if let Some(since) = self.outage_since.take() {
            handle(PrefixEvent::Regained(since.elapsed()));
        }
    }

    fn note_failure(&mut self, err: KvError, handle: &mut impl FnMut(PrefixEvent)) {
        self.failures += 1;
        // Lists again instead of watching: a listing answers as soon as the service is back, or
        // fails soon. A watch over a connection that delivers nothing would hang for its whole
        // wait, and no change would be seen meanwhile.
        self.revision = None;
        if self.failures == OUTAGE_FAILURES {
            self.outage_since = Some(Instant::now());
            handle(PrefixEvent::Lost(err));
        }
    }
}
