//! Has the run before a take-up ended, whose caller may be gone though its connection is open.

use tokio::time::Instant;

use crate::events::LogEvent;
use crate::ids::SoftwareVersion;
use crate::origins::RunBefore;
use crate::origins::RunRegistration;
use crate::origins::StreamRun;
use crate::origins::StreamTag;
use crate::origins::TakeUpOutcome;
use crate::relay::request::RelayRequest;
use crate::relay::request_relay::RequestRelay;

/// Registers the run of `request`, which takes up a stream of `version`, and has the run before ended without
/// waiting for that. `None` if streams of its route can't be taken up.
pub(super) fn end_run_before(
    relay: &RequestRelay,
    request: &RelayRequest,
    version: &SoftwareVersion,
) -> Option<RunRegistration> {
    if !request.is_resumable() {
        return None;
    }
    let tag = request.stream_tag();
    let (registration, before) = relay.origins().take_up(tag, &request.id, version);
    spawn_displacement(relay, request, tag, registration.run(), before);
    Some(registration)
}

/// Has the run ended that `request` names but does not take up, as its caller has received nothing.
pub(super) fn leave_run(relay: &RequestRelay, request: &RelayRequest) {
    let Some(left) = request.resumes.as_ref().filter(|_| request.is_resumable()) else {
        return;
    };
    let tag = StreamTag::new(left);
    let (run, before) = relay.origins().leave(tag, &request.id);
    spawn_displacement(relay, request, tag, run, before);
}

fn spawn_displacement(
    relay: &RequestRelay,
    request: &RelayRequest,
    tag: StreamTag,
    run: StreamRun,
    before: RunBefore,
) {
    let relay = relay.clone();
    let id = request.id.clone();
    let began = request.resumes.clone();
    let taken_up = Instant::now();
    tokio::spawn(async move {
        let (host, outcome) = match before {
            RunBefore::At(host) => (Some(host), relay.origins().displace(tag, run, host).await),
            RunBefore::Here { has_ended: true } => (None, TakeUpOutcome::Ended),
            RunBefore::Here { has_ended: false } => (None, TakeUpOutcome::Gone),
            RunBefore::Unknown => (None, TakeUpOutcome::Unknown),
        };
        let before_host = match (host, before) {
            (Some(host), _) => relay.balancer().state().host_name(host),
            (None, RunBefore::Here { .. }) => Some(relay.balancer().state().host().to_owned()),
            (None, _) => None,
        };
        relay.log().write(LogEvent::StreamTakenUp {
            request: id.to_string(),
            began: began.map(|began| began.to_string()),
            before_host,
            outcome: outcome.to_string(),
            waited_ms: taken_up.elapsed().as_millis() as u64,
        });
    });
}
