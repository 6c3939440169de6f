//! Follows all keys with a prefix: lists them first, then watches for changes.
//!
//! A watch that brings nothing doesn't show that nothing has changed, as its connection may be dead.
//! Beside the open watch, short calls check for changes whenever nothing else proves the view.

use std::future::pending;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use tokio::time::Instant;

use crate::edges::kv::Freshness;
use crate::edges::kv::KvChange;
use crate::edges::kv::KvChanges;
use crate::edges::kv::KvEntry;
use crate::edges::kv::KvError;
use crate::edges::kv::KvStore;
use crate::edges::kv::KvVersion;
use crate::edges::kv::list_all;
use crate::host_views::ViewHandle;
use crate::view_monitor::CheckReason;
use crate::view_monitor::LastChange;
use crate::view_monitor::ViewAnswer;
use crate::view_monitor::ViewCall;
use crate::view_news::ViewNews;

/// Longest time that a watch call waits for changes.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);
/// Time that a watch may take beyond its wait.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(3);
/// Delay between changes and the next watch call, so that one call returns several changes.
const COALESCE_DELAY: Duration = Duration::from_millis(150);
/// Shortest time between the starts of two watches if the first one brought nothing.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a watch may take to bring what a check has brought.
const WATCH_GRACE: Duration = Duration::from_millis(100);
/// First time-out of a check, as a fraction of the view's greatest age; it doubles with each one that
/// passes, up to [`MAX_CHECK_TIMEOUT`]. It leaves time for a client's second request on a new connection.
const CHECK_TIMEOUT_SHARE: f64 = 0.4;
const MIN_CHECK_TIMEOUT: Duration = Duration::from_millis(400);
const MAX_CHECK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before the first retry; it doubles with each consecutive failure, up to [`MAX_RETRY_DELAY`].
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// Greatest random part of these delays, as a fraction, so that hosts whose calls failed at the same moment
/// don't retry at the same moment.
const RETRY_JITTER: f64 = 0.5;
/// Factor of the delays between listings while other hosts prove the view.
const TOLD_RETRY_FACTOR: u32 = 3;
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
    failures: u32,
    /// Number of consecutive checks that passed a time-out below [`MAX_CHECK_TIMEOUT`].
    slow_checks: u32,
    outage_since: Option<Instant>,
}

/// A call that has been made and not been answered yet.
struct PendingCall {
    call: ViewCall,
    started: Instant,
    after: KvVersion,
    /// Whether other hosts are told of the answer.
    is_told: bool,
    answer: BoxFuture<'static, Result<KvChanges, CallError>>,
}

/// Why a call brought no changes.
enum CallError {
    Failed(KvError),
    /// There was no answer within this time.
    TimedOut(Duration),
}

impl From<CallError> for KvError {
    fn from(err: CallError) -> Self {
        match err {
            CallError::Failed(err) => err,
            CallError::TimedOut(_) => Self::Unknown("no answer in time".to_owned()),
        }
    }
}

/// What follows from an answer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum AnswerOutcome {
    /// It was applied, and whether it had changes that were not known yet.
    Applied(bool),
    /// The changes since the position are not known, so that the keys have to be listed again.
    HistoryLost,
}

/// Calls that follow one listing.
struct FollowedCalls {
    position: KvVersion,
    listed_at: Instant,
    watch: Option<PendingCall>,
    /// When the next watch may begin.
    watch_at: Instant,
    /// When the open watch counts as dead, as a check has brought a change before it.
    dead_at: Option<Instant>,
    check: Option<PendingCall>,
    /// When the next check may begin.
    check_at: Instant,
    /// Whether a call failed, so that a check has to succeed before the next watch.
    is_doubtful: bool,
}

impl PrefixFollower {
    /// Creates a follower of `prefix` that starts with a listing and proves `view` by its calls.
    pub fn new(kv: Arc<dyn KvStore>, prefix: impl Into<String>, view: ViewHandle) -> Self {
        Self {
            kv,
            prefix: prefix.into(),
            view,
            coalesce_delay: COALESCE_DELAY,
            failures: 0,
            slow_checks: 0,
            outage_since: None,
        }
    }

    /// Sets the delay between changes and the next watch call. A longer one needs fewer calls, and
    /// reports changes later.
    pub fn with_coalesce_delay(mut self, coalesce_delay: Duration) -> Self {
        self.coalesce_delay = coalesce_delay;
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
        let view = self.view.clone();
        // Position during an outage, from which changes that other hosts tell of may follow.
        let mut position = None;
        loop {
            let (kv, prefix) = (self.kv.clone(), self.prefix.clone());
            let started = Instant::now();
            let listing = list_all(kv.as_ref(), &prefix, Freshness::Current);
            let before = position;
            match self.with_told(listing, &mut position, &mut handle).await {
                // Changes that were told meanwhile have overtaken the listing, which would take them back.
                Ok((_, revision)) if position > before && position > Some(revision) => {
                    self.note_success(&mut handle);
                    continue;
                }
                Ok((entries, revision)) => {
                    self.note_listing(started, entries, revision, &mut handle);
                    position = self.follow_changes(revision, &mut handle).await;
                }
                Err(err) => {
                    view.note_failure(ViewCall::Listing);
                    self.note_failure(err, &mut handle);
                }
            }
            let delay = tokio::time::sleep(self.listing_delay(position));
            self.with_told(delay, &mut position, &mut handle).await;
        }
    }

    /// Waits for `future`, and reports what other hosts tell of meanwhile if there is a position.
    async fn with_told<T>(
        &self,
        future: impl Future<Output = T>,
        position: &mut Option<KvVersion>,
        handle: &mut impl FnMut(PrefixEvent),
    ) -> T {
        let mut future = pin!(future);
        loop {
            let told = tokio::select! {
                biased;
                output = &mut future => return output,
                told = self.view.told(), if position.is_some() => told,
            };
            if let Some(position) = position {
                self.apply_told(told, position, handle);
            }
        }
    }

    fn note_listing(
        &mut self,
        started: Instant,
        entries: Vec<KvEntry>,
        revision: KvVersion,
        handle: &mut impl FnMut(PrefixEvent),
    ) {
        self.note_success(handle);
        // Later pages of the listing may contain changes beyond this revision; the watch reports
        // them again.
        let answer = ViewAnswer {
            started,
            as_of: revision,
            last_change: LastChange::Unknown,
        };
        self.view
            .note_answer(ViewCall::Listing, answer, entries.len());
        handle(PrefixEvent::Listed(entries));
    }

    /// Delay before the next listing. It is longer while other hosts prove the view.
    fn listing_delay(&self, position: Option<KvVersion>) -> Duration {
        let is_proved = position.is_some() && !self.view.is_overdue();
        match is_proved {
            true => self.retry_delay() * TOLD_RETRY_FACTOR,
            false => self.retry_delay(),
        }
    }

    /// Reports changes after `position`. Returns when the keys have to be listed again: after the
    /// service has lost its history, or when an outage begins, as it may be restored from a copy. Then it
    /// returns the position up to which all changes are known.
    async fn follow_changes(
        &mut self,
        position: KvVersion,
        handle: &mut impl FnMut(PrefixEvent),
    ) -> Option<KvVersion> {
        let view = self.view.clone();
        let mut calls = FollowedCalls::new(position);
        loop {
            let now = Instant::now();
            let may_watch = calls.watch.is_none() && !calls.is_doubtful;
            let may_check = calls.check.is_none();
            let is_told = !view.role().watches();
            let told_since = is_told.then_some(calls.listed_at);
            let watch_started = calls.watch.as_ref().map(|call| call.started);
            // A host that is told has what other hosts tell in place of a watch.
            let watch_started = watch_started.or(told_since);
            let (check_at, is_doubtful) = (calls.check_at, calls.is_doubtful);
            let due = async {
                tokio::time::sleep_until(check_at).await;
                match is_doubtful {
                    true => CheckReason::Doubt,
                    false => view.check_due(watch_started).await,
                }
            };
            let (watch_at, dead_at) = (calls.watch_at, calls.dead_at);
            let watch_due = async {
                tokio::time::sleep_until(watch_at).await;
                view.watch_allowed().await;
            };
            tokio::select! {
                // A check that is due at the same moment as the next watch must not wait for that one's
                // answer, which would put it off again.
                biased;
                answer = answer_to(&mut calls.watch) => {
                    if !self.finish_watch(answer, &mut calls, handle) {
                        return self.outage_since.and(Some(calls.position));
                    }
                }
                answer = answer_to(&mut calls.check) => {
                    if !self.finish_check(answer, &mut calls, handle) {
                        return self.outage_since.and(Some(calls.position));
                    }
                }
                reason = due, if may_check => {
                    calls.advance(&view);
                    calls.check = Some(self.start_check(calls.position, reason));
                }
                told = view.told() => self.apply_told(told, &mut calls.position, handle),
                () = watch_due, if may_watch => {
                    calls.advance(&view);
                    calls.watch = Some(self.start_watch(calls.position));
                }
                () = tokio::time::sleep_until(dead_at.unwrap_or(now)), if dead_at.is_some() => {
                    calls.drop_watch();
                    view.note_dead_watch(calls.position);
                }
            }
        }
    }

    fn start_watch(&self, after: KvVersion) -> PendingCall {
        let (kv, prefix) = (self.kv.clone(), self.prefix.clone());
        let timeout = WATCH_TIMEOUT + WATCH_TIMEOUT_MARGIN;
        let answer = async move { kv.watch(&prefix, after, WATCH_TIMEOUT).await };
        PendingCall::new(ViewCall::Watch, after, timeout, answer)
    }

    fn start_check(&self, after: KvVersion, reason: CheckReason) -> PendingCall {
        let (kv, prefix) = (self.kv.clone(), self.prefix.clone());
        let is_told = reason == CheckReason::Age;
        let first_timeout = self.view.max_age().mul_f64(CHECK_TIMEOUT_SHARE);
        let timeout = first_timeout * 2u32.pow(self.slow_checks.min(8));
        let answer = async move { kv.changes_since(&prefix, after).await };
        let timeout = timeout.clamp(MIN_CHECK_TIMEOUT, MAX_CHECK_TIMEOUT);
        let call = PendingCall::new(ViewCall::Check, after, timeout, answer);
        PendingCall { is_told, ..call }
    }

    /// Returns whether the changes since the listing are still known.
    fn finish_watch(
        &mut self,
        answer: Result<KvChanges, CallError>,
        calls: &mut FollowedCalls,
        handle: &mut impl FnMut(PrefixEvent),
    ) -> bool {
        let Some(call) = calls.watch.take() else {
            return true;
        };
        calls.advance(&self.view);
        calls.dead_at = None;
        let now = Instant::now();
        match answer {
            Ok(changes) => {
                self.note_success(handle);
                let outcome = self.apply(&call, changes, &mut calls.position, handle);
                calls.watch_at = match outcome {
                    AnswerOutcome::Applied(true) => now + self.coalesce_delay,
                    _ => now.max(call.started + MIN_WATCH_INTERVAL),
                };
                outcome != AnswerOutcome::HistoryLost
            }
            Err(err) => {
                self.view.note_failure(ViewCall::Watch);
                self.doubt(err.into(), calls, handle)
            }
        }
    }

    /// Returns whether the changes since the listing are still known.
    fn finish_check(
        &mut self,
        answer: Result<KvChanges, CallError>,
        calls: &mut FollowedCalls,
        handle: &mut impl FnMut(PrefixEvent),
    ) -> bool {
        let Some(call) = calls.check.take() else {
            return true;
        };
        calls.advance(&self.view);
        match answer {
            Ok(changes) => {
                self.slow_checks = 0;
                self.note_success(handle);
                let outcome = self.apply(&call, changes, &mut calls.position, handle);
                calls.is_doubtful = false;
                let is_late = |watch: &PendingCall| watch.started < call.started;
                if outcome == AnswerOutcome::Applied(true)
                    && calls.watch.as_ref().is_some_and(is_late)
                {
                    let dead_at = Instant::now() + WATCH_GRACE;
                    calls.dead_at = Some(calls.dead_at.unwrap_or(dead_at));
                }
                if call.is_told && outcome != AnswerOutcome::HistoryLost {
                    self.view.tell();
                }
                outcome != AnswerOutcome::HistoryLost
            }
            Err(CallError::TimedOut(timeout)) if timeout < MAX_CHECK_TIMEOUT => {
                self.view.note_failure(ViewCall::Check);
                self.slow_checks += 1;
                true
            }
            Err(err) => {
                self.view.note_failure(ViewCall::Check);
                self.doubt(err.into(), calls, handle)
            }
        }
    }

    /// Has a check made soon. Returns false if this is an outage.
    fn doubt(
        &mut self,
        err: KvError,
        calls: &mut FollowedCalls,
        handle: &mut impl FnMut(PrefixEvent),
    ) -> bool {
        self.note_failure(err, handle);
        calls.check_at = Instant::now() + self.retry_delay();
        calls.is_doubtful = true;
        self.outage_since.is_none()
    }

    /// Reports the changes that were not reported before and moves `position` on.
    fn apply(
        &self,
        call: &PendingCall,
        answer: KvChanges,
        position: &mut KvVersion,
        handle: &mut impl FnMut(PrefixEvent),
    ) -> AnswerOutcome {
        if answer.compacted || answer.revision < call.after {
            return AnswerOutcome::HistoryLost;
        }
        let known = *position;
        // A service that is older than this program doesn't name the versions of deletions.
        let is_new = |change: &KvChange| {
            let version = change.version();
            version > known || version == KvVersion(0)
        };
        let changes: Vec<KvChange> = answer.changes.into_iter().filter(is_new).collect();
        *position = known.max(answer.revision);
        let last_change = match changes.iter().map(KvChange::version).max() {
            None => LastChange::None,
            Some(KvVersion(0)) => LastChange::Unknown,
            Some(version) => LastChange::At(version),
        };
        let view_answer = ViewAnswer {
            started: call.started,
            as_of: *position,
            last_change,
        };
        self.view
            .note_changes(call.call, view_answer, known, &changes);
        let has_changed = !changes.is_empty();
        for change in changes {
            handle(PrefixEvent::Changed(change));
        }
        AnswerOutcome::Applied(has_changed)
    }

    /// Reports the changes that another host has told of, if they follow those that were reported before.
    fn apply_told(
        &self,
        (news, arrived): (ViewNews, Instant),
        position: &mut KvVersion,
        handle: &mut impl FnMut(PrefixEvent),
    ) {
        *position = self.view.advanced(*position);
        let known = *position;
        if news.after > known {
            // Changes before these are missing.
            return self.view.apply(&news.notice, arrived);
        }
        if news.notice.as_of < known {
            return;
        }
        let changes = news.changes.into_iter();
        let changes = changes.filter(|change| change.version > known);
        let changes: Vec<KvChange> = changes.map(KvChange::from).collect();
        *position = news.notice.as_of;
        self.view.note_told(&news.notice, arrived, known, &changes);
        for change in changes {
            handle(PrefixEvent::Changed(change));
        }
    }

    fn note_success(&mut self, handle: &mut impl FnMut(PrefixEvent)) {
        self.failures = 0;
        if let Some(since) = self.outage_since.take() {
            handle(PrefixEvent::Regained(since.elapsed()));
        }
    }

    fn note_failure(&mut self, err: KvError, handle: &mut impl FnMut(PrefixEvent)) {
        self.failures += 1;
        if self.failures == OUTAGE_FAILURES {
            self.outage_since = Some(Instant::now());
            handle(PrefixEvent::Lost(err));
        }
    }

    /// Delay before the next call.
    fn retry_delay(&self) -> Duration {
        let delay = FIRST_RETRY_DELAY * 2u32.pow(self.failures.clamp(1, 4) - 1);
        let share = 1.0 - RETRY_JITTER * self.view.draw_share();
        delay.min(MAX_RETRY_DELAY).mul_f64(share)
    }
}

impl PendingCall {
    fn new(
        call: ViewCall,
        after: KvVersion,
        timeout: Duration,
        answer: impl Future<Output = Result<KvChanges, KvError>> + Send + 'static,
    ) -> Self {
        let answer = async move {
            match tokio::time::timeout(timeout, answer).await {
                Ok(answer) => answer.map_err(CallError::Failed),
                Err(_) => Err(CallError::TimedOut(timeout)),
            }
        };
        Self {
            call,
            started: Instant::now(),
            after,
            is_told: false,
            answer: Box::pin(answer),
        }
    }
}

impl FollowedCalls {
    fn new(position: KvVersion) -> Self {
        let now = Instant::now();
        Self {
            position,
            listed_at: now,
            watch: None,
            watch_at: now,
            dead_at: None,
            check: None,
            check_at: now,
            is_doubtful: false,
        }
    }

    /// Moves the position on if other hosts have told that nothing has changed since.
    fn advance(&mut self, view: &ViewHandle) {
        self.position = view.advanced(self.position);
    }

    fn drop_watch(&mut self) {
        self.watch = None;
        self.dead_at = None;
        self.watch_at = Instant::now();
    }
}

/// Waits for the answer to `call`; without a call, without end.
async fn answer_to(call: &mut Option<PendingCall>) -> Result<KvChanges, CallError> {
    match call {
        Some(call) => call.answer.as_mut().await,
        None => pending().await,
    }
}
