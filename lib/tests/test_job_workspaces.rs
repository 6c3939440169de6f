//! Jobs of workspaces: only callers of a job's workspace may read it, end it and submit it again.

mod job_fleet;
mod opaque;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use job_fleet::JobFleet;
use job_fleet::JobHost;
use job_fleet::PeerFault;
use job_fleet::assert_complete;
use job_fleet::job;
use job_fleet::read;
use job_fleet::read_all;
use opaque::table;
use parsleywall::ids::WorkspaceName;
use parsleywall::jobs::AcceptanceOutcome;
use parsleywall::jobs::JobConfig;
use parsleywall::jobs::JobSpec;
use parsleywall::jobs::SubmitOutcome;
use parsleywall::routes::RouteKind;
use parsleywall::workspaces::CallerIdentity;
use parsleywall::workspaces::Workspace;
use parsleywall::workspaces::WorkspaceDirectory;
use parsleywall::workspaces::WorkspaceKeys;

const ACCEPTED: AcceptanceOutcome = AcceptanceOutcome::Accepted;
const NOT_ACCEPTED: AcceptanceOutcome = AcceptanceOutcome::NotAccepted;
const UNKNOWN: AcceptanceOutcome = AcceptanceOutcome::Unknown;

fn member(name: &str) -> CallerIdentity {
    CallerIdentity::Member(Arc::new(Workspace::new(WorkspaceName::new(name))))
}

fn job_of(workspace: &str, id: &str, items: usize) -> JobSpec {
    JobSpec {
        workspace: Some(WorkspaceName::new(workspace)),
        ..job(id, items)
    }
}

/// Gives the host a configuration with the workspaces `north` and `south`.
fn configure(host: &JobHost) {
    let listed = ["north", "south"].map(|name| WorkspaceKeys {
        workspace: Workspace::new(WorkspaceName::new(name)),
        keys: vec![format!("key-of-{name}")],
    });
    let workspaces = WorkspaceDirectory::new(listed.into()).unwrap();
    let table = table(2, RouteKind::Batch).with_workspaces(workspaces);
    host.routes.send_replace(Arc::new(table));
}

async fn configured(fleet: &mut JobFleet, name: &str) -> JobHost {
    let host = fleet.host(name).await;
    configure(&host);
    host
}

async fn assert_only_for_north(host: &JobHost, job: &str) {
    let keeper = &host.keeper;
    assert_eq!(keeper.accepted_for(job, &member("north")).await, ACCEPTED);
    for other in [member("south"), CallerIdentity::Anonymous] {
        let outcome = keeper.accepted_for(job, &other).await;
        assert_eq!(outcome, NOT_ACCEPTED, "{other:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn test_job_is_only_for_its_workspace_at_any_host() {
    let mut fleet = JobFleet::new();
    let host_a = configured(&mut fleet, "host-a").await;
    let host_b = configured(&mut fleet, "host-b").await;
    host_a.keeper.submit(job_of("north", "j1", 6)).await;
    host_a.keeper.submit(job("j2", 2)).await;
    for host in [&host_a, &host_b] {
        assert_only_for_north(host, "j1").await;
        for caller in [member("south"), CallerIdentity::Anonymous] {
            assert_eq!(host.keeper.accepted_for("j2", &caller).await, ACCEPTED);
            let unknown = host.keeper.accepted_for("j9", &caller).await;
            assert_eq!(unknown, NOT_ACCEPTED);
        }
    }
    read_all(&host_b, "j1").await;
    tokio::time::sleep(Duration::from_secs(100)).await;
    let host_c = configured(&mut fleet, "host-c").await;
    for host in [&host_a, &host_b, &host_c] {
        assert_only_for_north(host, "j1").await;
    }
}

#[tokio::test(start_paused = true)]
async fn test_job_sent_again_by_another_workspace_is_refused() {
    let mut fleet = JobFleet::new();
    let host_a = configured(&mut fleet, "host-a").await;
    let (host_b, link) = fleet.linked_host("host-b").await;
    configure(&host_b);
    fleet.spawn_announcements();
    host_a.keeper.submit(job_of("north", "j1", 4)).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    for is_cut in [false, true] {
        link.set_cut(is_cut);
        for host in [&host_a, &host_b] {
            let mut other = job_of("south", "j1", 2);
            let outcome = host.keeper.submit(other.clone()).await;
            assert_eq!(outcome, SubmitOutcome::HeldByOther, "cut: {is_cut}");
            other.workspace = None;
            let outcome = host.keeper.submit(other).await;
            assert_eq!(outcome, SubmitOutcome::HeldByOther, "cut: {is_cut}");
            let again = host.keeper.submit(job_of("north", "j1", 4)).await;
            assert_eq!(again, SubmitOutcome::Accepted, "cut: {is_cut}");
        }
    }
    let page = read_all(&host_a, "j1").await;
    assert_complete(&fleet.transport, &page);
    assert_eq!(page.total, 4);
}

/// A host that hears the owner needs no key-value service to know whom a job is for. One that can't know
/// must neither allow nor deny.
#[tokio::test(start_paused = true)]
async fn test_workspace_is_learnt_from_the_owner_while_kv_service_is_down() {
    let mut fleet = JobFleet::with_gap(Duration::from_millis(200));
    let host_a = configured(&mut fleet, "host-a").await;
    let host_b = configured(&mut fleet, "host-b").await;
    host_a.keeper.submit(job_of("north", "j1", 6)).await;
    fleet.spawn_announcements();
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.kv.faults.down.store(true, Ordering::Relaxed);
    assert_only_for_north(&host_b, "j1").await;
    host_a.kill();
    assert_only_for_north_or_unknown(&host_b).await;
    let unheard = host_b.keeper.accepted_for("j9", &member("north")).await;
    assert_eq!(unheard, UNKNOWN);
}

/// The workspace is allowed by what the host learnt before; others are not denied on its strength.
async fn assert_only_for_north_or_unknown(host: &JobHost) {
    let keeper = &host.keeper;
    assert_eq!(keeper.accepted_for("j1", &member("north")).await, ACCEPTED);
    assert_eq!(keeper.accepted_for("j1", &member("south")).await, UNKNOWN);
}

/// Whom a job is for costs no call to the key-value service on the way of a reader.
#[tokio::test(start_paused = true)]
async fn test_workspace_of_announced_job_costs_no_kv_call() {
    let mut fleet = JobFleet::with_gap(Duration::from_millis(200));
    let host_a = configured(&mut fleet, "host-a").await;
    let host_b = configured(&mut fleet, "host-b").await;
    fleet.spawn_announcements();
    host_a.keeper.submit(job_of("north", "j1", 3)).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let before = fleet.kv.calls.reads.load(Ordering::Relaxed);
    for _ in 0..20 {
        assert_only_for_north(&host_b, "j1").await;
        read(&host_b, "j1", 0).await;
    }
    assert_eq!(fleet.kv.calls.reads.load(Ordering::Relaxed), before);
}

#[tokio::test(start_paused = true)]
async fn test_workspace_stays_when_the_owner_changes() {
    let mut fleet = JobFleet::with_gap(Duration::from_millis(100));
    let host_a = configured(&mut fleet, "host-a").await;
    let host_b = configured(&mut fleet, "host-b").await;
    host_a.keeper.submit(job_of("north", "j1", 4)).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    host_a.keeper.leave().await;
    assert_only_for_north(&host_b, "j1").await;
    host_a.kill();
    let host_c = configured(&mut fleet, "host-c").await;
    host_b.kill();
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_only_for_north(&host_c, "j1").await;
    assert_complete(&fleet.transport, &read_all(&host_c, "j1").await);
}

/// Without workspaces in the configuration, all are served as before.
#[tokio::test(start_paused = true)]
async fn test_jobs_without_workspaces_are_for_all() {
    let mut fleet = JobFleet::new();
    let host = fleet.host("host-a").await;
    let unchecked = CallerIdentity::Unchecked;
    assert_eq!(host.keeper.accepted_for("j9", &unchecked).await, ACCEPTED);
    host.keeper.submit(job("j1", 2)).await;
    let again = host.keeper.submit(job("j1", 2)).await;
    assert_eq!(again, SubmitOutcome::Accepted);
}

/// An owner of an earlier release can't say whom a job is for, so that the summary decides.
#[tokio::test(start_paused = true)]
async fn test_workspace_of_a_job_owned_by_an_earlier_release() {
    let mut fleet = JobFleet::with_gap(Duration::from_millis(200));
    let host_a = configured(&mut fleet, "host-a").await;
    let host_b = configured(&mut fleet, "host-b").await;
    host_a.keeper.submit(job_of("north", "j1", 6)).await;
    fleet.spawn_announcements();
    tokio::time::sleep(Duration::from_millis(300)).await;
    host_a.set_fault(PeerFault::Earlier);
    assert_only_for_north(&host_b, "j1").await;
    let again = host_b.keeper.submit(job_of("south", "j1", 6)).await;
    assert_eq!(again, SubmitOutcome::HeldByOther);
}

/// An identifier that is used again is for the new workspace once the old acceptance is forgotten, and at
/// no time denied to it.
#[tokio::test(start_paused = true)]
async fn test_identifier_of_a_removed_job_is_free_for_another_workspace() {
    let mut fleet = JobFleet::new();
    let jobs = JobConfig {
        keep_time: Duration::from_secs(100),
        sweep_interval: Duration::from_secs(1),
        ..JobConfig::default()
    };
    let host_a = fleet.host_with("host-a", jobs).await;
    let host_b = fleet.host_with("host-b", jobs).await;
    configure(&host_a);
    configure(&host_b);
    host_a.keeper.submit(job_of("north", "j1", 2)).await;
    assert_only_for_north(&host_b, "j1").await;
    read_all(&host_b, "j1").await;
    tokio::time::sleep(Duration::from_secs(130)).await;
    assert!(fleet.kv.keys("job/j1/").is_empty());
    let outcome = host_a.keeper.submit(job_of("south", "j1", 2)).await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
    for host in [&host_a, &host_b] {
        let keeper = &host.keeper;
        assert_eq!(keeper.accepted_for("j1", &member("south")).await, ACCEPTED);
        let before = keeper.accepted_for("j1", &member("north")).await;
        assert_eq!(before, NOT_ACCEPTED);
    }
}
