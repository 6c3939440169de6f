//! Judges the reach of this host at short intervals, and probes upstreams.

use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::events::LogEvent;
use crate::reach::table::ProbeTarget;
use crate::reach::table::ReachChange;
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
            self.step();
        }
    }

    fn step(&self) {
        let balancer = self.relay.balancer();
        let (changes, probes) = self.relay.reach().step(balancer, Instant::now());
        for change in &changes {
            self.log_change(change);
        }
        for target in probes {
            self.probe(target);
        }
    }

    fn probe(&self, target: ProbeTarget) {
        let relay = self.relay.clone();
        tokio::spawn(async move {
            let result = relay.transport().probe(&target).await;
            relay.reach().record_probe(&target, result, Instant::now());
        });
    }

    fn log_change(&self, change: &ReachChange) {
        self.relay.log().write(LogEvent::ReachChanged {
            service: change.service.to_string(),
            before: change.before.to_string(),
            state: change.state.to_string(),
            serving: change.evidence.serving,
            lost: change.evidence.lost,
            unreached: change.evidence.unreached,
            connected: change.evidence.connected,
            cause: change.cause.map(|cause| cause.to_string()),
            lasted_ms: change.lasted.as_millis() as u64,
        });
    }
}
