//! A run of a stream that another task, or its deadline, can end, also while nobody reads its answer.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream::BoxStream;
use futures_util::stream::StreamExt;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::origins::message::HostTag;

type AnswerBody = BoxStream<'static, Result<Bytes, std::io::Error>>;

/// Why a run was ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEndCause {
    /// Its stream was taken up at this host.
    TakenUp(HostTag),
    /// Its deadline passed while nobody read its answer.
    DeadlinePassed,
}

/// Tells whether a run was ended. Clones refer to the same run.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunEnd {
    cause: Arc<OnceLock<RunEndCause>>,
    ended: CancellationToken,
}

impl RunEnd {
    /// Why the run was ended; `None` unless it was.
    pub(crate) fn cause(&self) -> Option<RunEndCause> {
        self.cause.get().copied()
    }

    /// Waits until the run is ended.
    pub(crate) async fn ended(&self) {
        self.ended.cancelled().await;
    }
}

/// Ends a run. Clones refer to the same run.
#[derive(Clone, Default)]
pub(crate) struct RunHandle {
    end: RunEnd,
    cell: Arc<Mutex<BodyCell>>,
}

#[derive(Default)]
struct BodyCell {
    /// Body of the answer; `None` before there is one, while it is polled, and after its end.
    body: Option<AnswerBody>,
    waker: Option<Waker>,
}

impl RunHandle {
    /// Tells whether the run was ended.
    pub(crate) fn run_end(&self) -> &RunEnd {
        &self.end
    }

    /// Ends the run for one at `host`.
    pub(crate) fn end(&self, host: HostTag) {
        self.end_for(RunEndCause::TakenUp(host));
    }

    /// Ends the run at the time `margin` after `deadline`, or after this process runs again if it was frozen
    /// then, unless the returned guard is dropped before.
    pub(crate) fn end_after(&self, deadline: Instant, margin: Duration) -> DeadlineGuard {
        let handle = self.clone();
        let timer = tokio::spawn(async move {
            tokio::time::sleep_until(deadline).await;
            tokio::time::sleep(margin).await;
            handle.end_for(RunEndCause::DeadlinePassed);
        });
        DeadlineGuard(timer.abort_handle())
    }

    /// Drops the body of the answer, and with it all work for the run.
    fn end_for(&self, cause: RunEndCause) {
        let _ = self.end.cause.set(cause);
        self.end.ended.cancel();
        let (body, waker) = {
            let mut cell = self.cell();
            (cell.body.take(), cell.waker.take())
        };
        drop(body);
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Whether this is a handle to the same run as `other`.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.cell, &other.cell)
    }

    fn cell(&self) -> MutexGuard<'_, BodyCell> {
        self.cell.lock().expect("answer body lock")
    }
}

/// Keeps the timer of a run's deadline until it is dropped.
pub(crate) struct DeadlineGuard(AbortHandle);

impl Drop for DeadlineGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Body of an answer that breaks off when its run is ended. Keeps `guard` until it is dropped.
pub(crate) struct EndableBody<G> {
    handle: RunHandle,
    is_done: bool,
    _guard: G,
}

impl<G> EndableBody<G> {
    /// Returns a body with the parts of `body` until `handle` ends the run.
    pub(crate) fn new(handle: RunHandle, body: AnswerBody, guard: G) -> Self {
        handle.cell().body = Some(body);
        Self {
            handle,
            is_done: false,
            _guard: guard,
        }
    }
}

impl<G: Unpin> Stream for EndableBody<G> {
    type Item = Result<Bytes, std::io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.is_done {
            return Poll::Ready(None);
        }
        // The body is polled outside of the lock, as an end from within it must not wait for this task.
        let taken = {
            let mut cell = self.handle.cell();
            cell.waker = Some(context.waker().clone());
            cell.body.take()
        };
        let polled = match taken {
            Some(mut body) => {
                let polled = body.poll_next_unpin(context);
                if !matches!(polled, Poll::Ready(None)) {
                    self.handle.cell().body = Some(body);
                }
                polled
            }
            None => Poll::Pending,
        };
        // Checked after the body is back, so that either this task or the one that ends the run drops it.
        if self.handle.end.cause().is_some() {
            let body = self.handle.cell().body.take();
            drop(body);
            self.is_done = true;
            let err = std::io::Error::other("the run was ended");
            return Poll::Ready(Some(Err(err)));
        }
        self.is_done = matches!(polled, Poll::Ready(None));
        polled
    }
}

impl<G> Drop for EndableBody<G> {
    fn drop(&mut self) {
        let body = self.handle.cell().body.take();
        drop(body);
    }
}
