//! TCP stream that breaks when the peer reads nothing for too long.

use std::io::Error;
use std::io::ErrorKind;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;

/// Fails a write that makes no progress for a time limit, so that a peer that stops reading does
/// not keep its request, and the upstream's work behind it, open without end.
pub(super) struct WriteTimeoutStream {
    stream: TcpStream,
    limit: Duration,
    /// Timer of the write that is blocked; `None` while none is.
    timer: Option<Pin<Box<Sleep>>>,
}

impl WriteTimeoutStream {
    /// Wraps `stream` so that a write fails after it was blocked for `limit`.
    pub(super) fn new(stream: TcpStream, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            timer: None,
        }
    }

    fn check_progress<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<Result<T, Error>>,
    ) -> Poll<Result<T, Error>> {
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        let until = Instant::now() + self.limit;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(until)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(Error::new(
            ErrorKind::TimedOut,
            "write timed out: the peer is not reading",
        )))
    }
}

impl AsyncRead for WriteTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WriteTimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize, Error>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_progress(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize, Error>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.check_progress(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Result<(), Error>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
