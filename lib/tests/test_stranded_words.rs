//! What a host that is cut off believes of upstreams does no harm elsewhere, nor at itself afterwards.

mod detour_fleet;
mod opaque;

use std::sync::atomic::Ordering;
use std::time::Duration;

use detour_fleet::CutKind;
use detour_fleet::DetourFleet;
use detour_fleet::STEP;
use detour_fleet::UPSTREAMS;
use opaque::read_stream;
use opaque::request;
use opaque::route;
use parsleywall::balancer::SlotRequest;
use parsleywall::balancer::UpstreamFault;
use parsleywall::ids::ServiceName;
use parsleywall::ids::WorkClass;
use parsleywall::reach::ReachState;
use parsleywall::relay::RelayAnswer;
use parsleywall::routes::RouteKind;
use parsleywall_standins::opaque::OpaqueBehaviour;
use tokio::time::Instant;

const RESUMABLE: RouteKind = RouteKind::Stream { resumable: true };
/// Time after which a host has passed on whatever it thinks to have found out.
const NEWS_TIME: Duration = Duration::from_secs(2);

fn slot(service: &ServiceName) -> SlotRequest<'_> {
    SlotRequest {
        service,
        class: WorkClass::Online,
        excluded: &[],
        may_probe: true,
        may_repeat: true,
        software: None,
        urgency: None,
        may_wait: false,
    }
}

/// Upstreams of which `host` says that their processes have ended.
fn ended(fleet: &DetourFleet, host: usize) -> usize {
    let mut state = fleet.relays[host].balancer().state();
    state.recent_ended(Instant::now()).len()
}

#[tokio::test(start_paused = true)]
async fn test_upstreams_have_not_ended_by_the_word_of_a_stranded_host() {
    let fleet = DetourFleet::start(3).await;
    *fleet.transports[0].cut.lock().unwrap() = Some(CutKind::Refuses);
    for number in 0..6 {
        let relay = fleet.relays[0].clone();
        let id = format!("r{number}");
        tokio::spawn(async move {
            let answer = relay.relay(request(&id, route(RESUMABLE, 3))).await;
            if matches!(answer, RelayAnswer::Stream { .. }) {
                read_stream(answer).await;
            }
        });
        tokio::time::sleep(STEP).await;
    }
    for _ in 0..8 {
        tokio::time::sleep(NEWS_TIME / 8).await;
        assert_eq!(ended(&fleet, 0), 0);
    }
    let service = ServiceName::new("desk");
    let relay = &fleet.relays[0];
    assert_eq!(relay.reach().state(&service), ReachState::Stranded);
    assert_eq!(relay.balancer().state().serving_versions().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn test_crash_is_noted_at_once_where_another_upstream_answers() {
    let fleet = DetourFleet::start(3).await;
    fleet.is_told.store(false, Ordering::Relaxed);
    fleet.upstreams.set("b", OpaqueBehaviour::Unreachable);
    fleet.upstreams.set("c", OpaqueBehaviour::Unreachable);
    let begun = Instant::now();
    for number in 0..8 {
        let id = format!("r{number}");
        let answer = fleet.relays[0].relay(request(&id, route(RESUMABLE, 3)));
        drop(answer.await);
    }
    assert_eq!(ended(&fleet, 0), 2);
    assert!(begun.elapsed() < Duration::from_secs(1));
}

#[tokio::test(start_paused = true)]
async fn test_upstreams_return_as_soon_as_a_stranded_host_reaches_them() {
    let fleet = DetourFleet::start(3).await;
    fleet.cut(&[0], CutKind::Hangs).await;
    let service = ServiceName::new("desk");
    let relay = &fleet.relays[0];
    assert_eq!(relay.reach().state(&service), ReachState::Stranded);
    for _ in UPSTREAMS {
        let permit = relay.balancer().acquire(slot(&service)).unwrap();
        permit.note_fault(UpstreamFault::Unreachable).unwrap();
    }
    assert!(relay.balancer().acquire(slot(&service)).is_none());
    *fleet.transports[0].cut.lock().unwrap() = None;
    tokio::time::sleep(STEP * 4).await;
    assert_eq!(relay.reach().state(&service), ReachState::Reached);
    for _ in UPSTREAMS {
        let permit = relay.balancer().acquire(slot(&service)).unwrap();
        permit.note_fault(UpstreamFault::Unreachable).unwrap();
    }
}
