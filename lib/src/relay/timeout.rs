//! Time-out that does not mistake a freeze of this process for silence of the other side.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::error::Elapsed;
use tokio::time::timeout_at;

/// A timer that fires at least this late shows that this process was frozen or starved of CPU.
const FREEZE_LATENESS: Duration = Duration::from_millis(250);
/// Extra time to read what arrived while this process did not run.
const CATCH_UP_TIME: Duration = Duration::from_millis(100);

/// Awaits `work` until `limit`.
///
/// If the limit passes while this process is frozen or gets no CPU time, what the other side sent
/// in the meantime is still unread. `work` then gets [`CATCH_UP_TIME`] from the moment the process
/// runs again.
pub(crate) async fn wait_until<F: Future>(limit: Instant, work: F) -> Result<F::Output, Elapsed> {
    let mut work = pin!(work);
    let outcome = timeout_at(limit, work.as_mut()).await;
    let woken = Instant::now();
    match outcome {
        Err(_) if woken >= limit + FREEZE_LATENESS => timeout_at(woken + CATCH_UP_TIME, work).await,
        outcome => outcome,
    }
}

#[cfg(test)]
mod tests {
    use tokio::sync::mpsc;

    use super::*;

    const LIMIT: Duration = Duration::from_secs(1);

    /// Sends an answer after `delay` through a second task, as bytes from a socket pass through a
    /// connection task.
    fn answer_after(delay: Duration) -> mpsc::Receiver<u32> {
        let (first_sender, mut first) = mpsc::channel(1);
        let (second_sender, second) = mpsc::channel(1);
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            let _ = first_sender.send(7).await;
        });
        tokio::spawn(async move {
            if let Some(answer) = first.recv().await {
                let _ = second_sender.send(answer).await;
            }
        });
        second
    }

    async fn wait_through_pause(delay: Duration, pause: Duration) -> Result<Option<u32>, Elapsed> {
        let limit = Instant::now() + LIMIT;
        let mut answer = answer_after(delay);
        let wait = tokio::spawn(async move { wait_until(limit, answer.recv()).await });
        tokio::task::yield_now().await;
        tokio::time::advance(pause).await;
        wait.await.expect("no panic")
    }

    #[tokio::test(start_paused = true)]
    async fn test_wait_reads_what_came_during_a_pause() {
        let read = wait_through_pause(LIMIT / 2, LIMIT * 5).await;
        assert_eq!(read.ok().flatten(), Some(7));
    }

    #[tokio::test(start_paused = true)]
    async fn test_wait_ends_at_the_limit() {
        let began = Instant::now();
        let mut answer = answer_after(LIMIT * 2);
        let read = wait_until(began + LIMIT, answer.recv()).await;
        assert!(read.is_err());
        assert!(began.elapsed() < LIMIT + FREEZE_LATENESS);
    }

    #[tokio::test(start_paused = true)]
    async fn test_wait_after_a_pause_ends_without_an_answer() {
        let began = Instant::now();
        let read = wait_through_pause(LIMIT * 60, LIMIT * 5).await;
        assert!(read.is_err());
        assert!(began.elapsed() <= LIMIT * 5 + CATCH_UP_TIME * 2);
    }
}
