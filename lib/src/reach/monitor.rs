//! Judges the reach of this host at short intervals.

use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::relay::RequestRelay;

/// Interval at which the host judges whether it reaches upstreams.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// Keeps the judgement of one host's reach current.
pub(crate) struct ReachMonitor {
    relay: RequestRelay,
}

impl ReachMonitor {
    /// Returns the monitor of the reach that `relay` knows.
    pub(crate) fn new(relay: RequestRelay) -> Self {
        Self { relay }
    }

    /// Runs until `stop` is cancelled.
    pub(crate) async fn run(self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            tokio::time::sleep(STEP_INTERVAL).await;
            self.relay.judge_reach();
        }
    }
}
