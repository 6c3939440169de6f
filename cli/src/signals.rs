//! Handling of the signals that stop the process.

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Receives SIGTERM and SIGINT, each of which asks the process to stop.
pub(crate) struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs handlers for both signals in place of their default, the end of the process.
    pub(crate) fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Returns when either signal arrives; can be called again for a second one.
    pub(crate) async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
