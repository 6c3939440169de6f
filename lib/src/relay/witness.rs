//! What one request tells about crashes of upstreams, and whether it may run for what is known of
//! them.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::balancer::UpstreamChoice;
use crate::balancer::UpstreamFault;
use crate::events::LogEvent;
use crate::ids::WorkClass;
use crate::relay::request::RelayRequest;
use crate::relay::request_relay::RefusalCause;
use crate::relay::request_relay::RequestRelay;
use crate::suspects::CrashRefusal;
use crate::suspects::CrashedRun;

/// Connects one request with what the host knows of crashes of upstreams. Batch items are neither
/// suspected nor refused.
pub(crate) struct CrashWitness {
    relay: RequestRelay,
    request: Arc<RelayRequest>,
}

impl CrashWitness {
    /// Returns the witness for `request`.
    pub(crate) fn new(relay: RequestRelay, request: Arc<RelayRequest>) -> Self {
        Self { relay, request }
    }

    /// Waits until it is decided whether the request may be sent to an upstream.
    pub(crate) async fn await_admission(&self) -> Result<(), CrashRefusal> {
        if !self.is_online() {
            return Ok(());
        }
        let subjects = || self.request.crash_subjects();
        self.relay.crashes().admit(subjects).await
    }

    /// Reports that the answer of the upstream `choice` ended by `fault` before its first part, if
    /// that upstream has crashed. If only the connection broke, there is nothing to report.
    pub(crate) async fn report_break(
        &self,
        fault: UpstreamFault,
        choice: &UpstreamChoice,
        sent: Instant,
    ) {
        let waited = sent.elapsed();
        if fault != UpstreamFault::Broken || !self.is_online() {
            return;
        }
        match self.relay.check_refusal(choice).await {
            RefusalCause::None => {}
            RefusalCause::Upstream => self.report_crash(choice, waited),
            RefusalCause::Unclear => {
                let witness = Self::new(self.relay.clone(), self.request.clone());
                let choice = choice.clone();
                tokio::spawn(async move {
                    if witness.relay.confirm_refusal(&choice).await {
                        witness.report_crash(&choice, waited);
                    }
                });
            }
        }
    }

    fn report_crash(&self, choice: &UpstreamChoice, waited: Duration) {
        let fingerprint = self.request.fingerprint();
        let run = CrashedRun::new(fingerprint, &self.request.prompt_parts, waited);
        self.relay.log().write(LogEvent::UpstreamCrashed {
            upstream: choice.id.to_string(),
            request: self.request.id.to_string(),
            digest: run.request.to_hex(),
            waited_ms: u64::from(run.waited_ms),
            parts: self
                .request
                .part_subjects()
                .map(|part| part.to_string())
                .collect(),
        });
        let fleet = self.relay.balancer().state().fleet_size();
        let crashes = self.relay.crashes();
        crashes.report_crash(choice.incarnation, run, fleet);
    }

    /// Reports that an upstream began to answer the request, which it got at `sent`, so that the
    /// request does not crash upstreams.
    pub(crate) fn report_sound(&self, sent: Instant) {
        if self.is_online() {
            let parts = self.request.part_subjects();
            let fingerprint = || self.request.fingerprint();
            self.relay
                .crashes()
                .report_sound(sent.elapsed(), parts, fingerprint);
        }
    }

    fn is_online(&self) -> bool {
        self.request.class == WorkClass::Online
    }
}
