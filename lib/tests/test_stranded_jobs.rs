//! Jobs of a host that does not reach the upstreams are handed over.

mod job_fleet;
mod opaque;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use job_fleet::JobFleet;
use job_fleet::JobHost;
use job_fleet::UPSTREAMS;
use job_fleet::assert_complete;
use job_fleet::job;
use job_fleet::read_all;
use opaque::upstream;
use parsleywall::ids::ServiceName;
use parsleywall::jobs::SubmitOutcome;
use parsleywall::reach::UnreachedCause;
use parsleywall::relay::RequestRelay;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// Interval at which hosts tell one another of their reach.
const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time for which an item may neither run nor be done.
const MAX_STANDSTILL: Duration = Duration::from_secs(2);
const ITEMS: usize = 6;

/// Names of the hosts that are cut off.
type CutHosts = Arc<Mutex<Vec<usize>>>;

/// Lets `hosts` find out which upstreams they reach, and tell one another.
fn spawn_reach_exchange(hosts: &[&JobHost], cut: CutHosts) -> JoinHandle<()> {
    let relays: Vec<RequestRelay> = hosts.iter().map(|host| host.relay.clone()).collect();
    tokio::spawn(async move {
        let service = ServiceName::new("desk");
        let name = |number: usize| relays[number].balancer().state().host().to_owned();
        loop {
            let now = Instant::now();
            for (number, relay) in relays.iter().enumerate() {
                let is_cut = cut.lock().unwrap().contains(&number);
                for id in UPSTREAMS.map(|name| upstream(name).id) {
                    let (reach, cause) = (relay.reach(), UnreachedCause::TimedOut);
                    match is_cut {
                        true => reach.record_unreached(&id, &service, cause, now),
                        false => reach.record_connected(&id, &service, now),
                    }
                }
            }
            for (number, relay) in relays.iter().chain(&relays).enumerate() {
                let number = number % relays.len();
                let notice = relay.reach().own_notice(now);
                let others = relays.iter().enumerate();
                for (_, other) in others.filter(|(at, _)| *at != number) {
                    other.reach().apply_report(&name(number), &[], &notice, now);
                }
            }
            for relay in &relays {
                relay.judge_reach();
            }
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
    })
}

/// The items go on where they were, at a host that reaches the upstreams, and the host takes jobs again once
/// it reaches them.
#[tokio::test(start_paused = true)]
async fn test_jobs_of_a_stranded_host_go_on_elsewhere() {
    let mut fleet = JobFleet::new();
    let host_a = fleet.host("host-a").await;
    let host_b = fleet.host("host-b").await;
    let host_c = fleet.host("host-c").await;
    let cut = CutHosts::default();
    let exchange = spawn_reach_exchange(&[&host_a, &host_b, &host_c], cut.clone());
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let submitted = host_a.keeper.submit(job("j1", ITEMS)).await;
    assert_eq!(submitted, SubmitOutcome::Accepted);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(host_a.keeper.item_counts(), (0, ITEMS));
    // Host b is cut off as well, and so takes none.
    let cut_at = Instant::now();
    *cut.lock().unwrap() = vec![0, 1];
    let page = read_all(&host_c, "j1").await;
    assert_complete(&fleet.transport, &page);
    assert_eq!(host_a.keeper.open_item_count(), 0);
    assert_eq!(host_b.keeper.open_item_count(), 0);
    for number in 0..ITEMS {
        let runs = fleet.transport.runs(&format!("j1-{number}"));
        assert_eq!(runs.len(), 2, "{runs:?}");
        assert!(runs[1].resume_after >= Some(15), "{runs:?}");
        assert!(runs[1].at - cut_at < MAX_STANDSTILL, "{runs:?}");
    }
    // A job that a stranded host accepts is run elsewhere.
    let submitted = host_a.keeper.submit(job("j2", ITEMS)).await;
    assert_eq!(submitted, SubmitOutcome::Accepted);
    let accepted_at = Instant::now();
    assert_complete(&fleet.transport, &read_all(&host_c, "j2").await);
    for number in 0..ITEMS {
        let runs = fleet.transport.runs(&format!("j2-{number}"));
        assert_eq!(runs.len(), 1, "{runs:?}");
        assert!(runs[0].at - accepted_at < MAX_STANDSTILL, "{runs:?}");
    }
    cut.lock().unwrap().clear();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let submitted = host_a.keeper.submit(job("j3", ITEMS)).await;
    assert_eq!(submitted, SubmitOutcome::Accepted);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(host_a.keeper.open_item_count(), ITEMS);
    assert_complete(&fleet.transport, &read_all(&host_a, "j3").await);
    exchange.abort();
}

/// The key-value service doesn't answer: the job stays, and goes on when the cut has ended.
#[tokio::test(start_paused = true)]
async fn test_job_that_cannot_be_handed_over_is_kept() {
    let mut fleet = JobFleet::new();
    let (host_a, link) = fleet.linked_host("host-a").await;
    let host_b = fleet.host("host-b").await;
    let cut = CutHosts::default();
    let exchange = spawn_reach_exchange(&[&host_a, &host_b], cut.clone());
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let submitted = host_a.keeper.submit(job("j1", ITEMS)).await;
    assert_eq!(submitted, SubmitOutcome::Accepted);
    tokio::time::sleep(Duration::from_millis(500)).await;
    link.set_cut(true);
    *cut.lock().unwrap() = vec![0];
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(host_a.keeper.item_counts(), (ITEMS, 0));
    cut.lock().unwrap().clear();
    link.set_cut(false);
    assert_complete(&fleet.transport, &read_all(&host_a, "j1").await);
    for number in 0..ITEMS {
        let runs = fleet.transport.runs(&format!("j1-{number}"));
        assert!(runs[1].resume_after >= Some(15), "{runs:?}");
    }
    exchange.abort();
}
