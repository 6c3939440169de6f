//! Tests that jobs are kept, given up and removed by the clock of the host that does it, however wrong
//! the clocks of other hosts are.

mod job_fleet;
mod opaque;

use std::time::Duration;

use bytes::Bytes;
use job_fleet::JobFleet;
use job_fleet::JobHost;
use job_fleet::UPSTREAMS;
use job_fleet::assert_complete;
use job_fleet::job;
use job_fleet::read;
use job_fleet::read_all;
use parsleywall::clock::steady_unix_millis;
use parsleywall::edges::kv::Expect;
use parsleywall::edges::kv::KvStore;
use parsleywall::jobs::JobConfig;
use parsleywall::jobs::JobSpec;
use parsleywall::jobs::ReadOutcome;
use parsleywall::jobs::ResultState;
use parsleywall::jobs::SubmitOutcome;
use parsleywall_standins::opaque::OpaqueBehaviour;
use tokio::time::Instant;

const KEEP_TIME: Duration = Duration::from_secs(60);
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);
const DAY_MS: i64 = 24 * 3_600 * 1_000;
/// Differences of another host's clock, in milliseconds.
const CLOCK_ERRORS_MS: [i64; 6] = [0, -400_000, 400_000, -3 * DAY_MS, 3 * DAY_MS, -20_000];

fn config() -> JobConfig {
    JobConfig {
        keep_time: KEEP_TIME,
        sweep_interval: SWEEP_INTERVAL,
        ..JobConfig::default()
    }
}

/// Overwrites the time at which `job` was closed, as a host with a clock that differs by `error_ms`
/// would have written it.
async fn write_closed(fleet: &JobFleet, job: &str, error_ms: i64) {
    let closed_ms = steady_unix_millis().saturating_add_signed(error_ms);
    let mut value = vec![0x1b];
    value.extend(closed_ms.to_be_bytes());
    let key = format!("closed/{job}");
    let written = fleet.kv.put(&key, Bytes::from(value), Expect::Any, None);
    written.await.unwrap();
}

async fn is_stored(host: &JobHost, job: &str) -> bool {
    let outcome = host.keeper.read(job, 0, Duration::ZERO).await;
    outcome != ReadOutcome::NoSuchJob
}

async fn submit(host: &JobHost, id: &str) {
    let outcome = host.keeper.submit(job(id, 3)).await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
}

/// Guards against items that run again as their job was forgotten: it was removed by the time of day of
/// the host that closed it, and was new when it was sent once more.
#[tokio::test(start_paused = true)]
async fn test_closed_job_is_kept_whatever_the_clock_of_its_closer() {
    for error_ms in CLOCK_ERRORS_MS {
        let mut fleet = JobFleet::new();
        let host_a = fleet.host_with("host-a", config()).await;
        let host_b = fleet.host_with("host-b", config()).await;
        submit(&host_a, "j1").await;
        assert_complete(&fleet.transport, &read_all(&host_b, "j1").await);
        write_closed(&fleet, "j1", error_ms).await;
        let closed = Instant::now();
        tokio::time::sleep(KEEP_TIME - Duration::from_secs(1)).await;
        submit(&host_b, "j1").await;
        assert_complete(&fleet.transport, &read_all(&host_b, "j1").await);
        for number in 0..3 {
            let runs = fleet.transport.runs(&format!("j1-{number}")).len();
            assert_eq!(runs, 1, "clock differs by {error_ms} ms");
        }
        while fleet.kv.value("closed/j1").is_some() {
            tokio::time::sleep(Duration::from_millis(500)).await;
            let most = KEEP_TIME + 2 * SWEEP_INTERVAL;
            assert!(closed.elapsed() <= most, "clock differs by {error_ms} ms");
        }
        assert_eq!(fleet.kv.value("job/j1/info"), None);
    }
}

/// A job that was closed before all hosts restarted is kept from their start, and not for ever.
#[tokio::test(start_paused = true)]
async fn test_closed_job_is_removed_after_a_restart_of_all_hosts() {
    for error_ms in CLOCK_ERRORS_MS {
        let mut fleet = JobFleet::new();
        let host_a = fleet.host_with("host-a", config()).await;
        submit(&host_a, "j1").await;
        read_all(&host_a, "j1").await;
        write_closed(&fleet, "j1", error_ms).await;
        tokio::time::sleep(KEEP_TIME / 2).await;
        host_a.kill();
        let host_a = fleet.host_with("host-a", config()).await;
        let _host_b = fleet.host_with("host-b", config()).await;
        let started = Instant::now();
        tokio::time::sleep(KEEP_TIME - Duration::from_secs(1)).await;
        assert!(
            is_stored(&host_a, "j1").await,
            "clock differs by {error_ms} ms"
        );
        while fleet.kv.value("closed/j1").is_some() {
            tokio::time::sleep(Duration::from_millis(500)).await;
            let most = KEEP_TIME + 2 * SWEEP_INTERVAL;
            assert!(started.elapsed() <= most, "clock differs by {error_ms} ms");
        }
    }
}

/// Listings that the removal needs are the ones that are made anyway.
#[tokio::test(start_paused = true)]
async fn test_ages_need_no_calls_of_their_own() {
    use std::sync::atomic::Ordering;
    let mut fleet = JobFleet::new();
    let _host = fleet.host_with("host-a", config()).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let before = fleet.kv.calls.reads.load(Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(60)).await;
    let reads = fleet.kv.calls.reads.load(Ordering::Relaxed) - before;
    // A scan each 1.5 s, a listing of hosts each second or a little more often, and six sweeps.
    assert!(reads <= 40 + 75 + 6, "{reads} reads");
}

/// Rewrites the stored times of `job`, as a host with a clock that differs by `error_ms` would have
/// written them when it accepted the job.
async fn shift_times(fleet: &JobFleet, job: &str, error_ms: i64) {
    let key = format!("spec/{job}/000");
    let stored = fleet.kv.value(&key).unwrap();
    let mut spec: JobSpec = ciborium::from_reader(stored.as_ref()).unwrap();
    for time in [
        &mut spec.submitted_ms,
        &mut spec.due_ms,
        &mut spec.retention_ms,
    ] {
        *time = time.saturating_add_signed(error_ms);
    }
    let mut value = Vec::new();
    ciborium::into_writer(&spec, &mut value).unwrap();
    let written = fleet.kv.put(&key, Bytes::from(value), Expect::Any, None);
    written.await.unwrap();
}

/// A job whose items have no upstream yet, accepted by a host that has died since.
async fn taken_over_job(fleet: &mut JobFleet, error_ms: i64) -> (JobHost, Instant) {
    for name in UPSTREAMS {
        fleet.transport.set(name, OpaqueBehaviour::Unreachable);
    }
    let host_a = fleet.host("host-a").await;
    let host_b = fleet.host("host-b").await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    submit(&host_a, "j1").await;
    let accepted = Instant::now();
    shift_times(fleet, "j1", error_ms).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    host_a.kill();
    tokio::time::sleep(Duration::from_secs(15)).await;
    assert_eq!(host_b.keeper.open_item_count(), 3, "the job is taken over");
    (host_b, accepted)
}

/// Guards against items that are given up early as the clock of the host that accepted their job is
/// behind that of its owner.
#[tokio::test(start_paused = true)]
async fn test_items_are_not_given_up_early_by_an_owner_with_another_clock() {
    for error_ms in CLOCK_ERRORS_MS {
        let mut fleet = JobFleet::new();
        let (host_b, accepted) = taken_over_job(&mut fleet, error_ms).await;
        tokio::time::sleep_until(accepted + Duration::from_secs(58)).await;
        let results = read(&host_b, "j1", 0).await.results;
        assert!(
            results.is_empty(),
            "clock differs by {error_ms} ms: {results:?}"
        );
        for name in UPSTREAMS {
            fleet.transport.set(name, OpaqueBehaviour::Serves);
        }
        assert_complete(&fleet.transport, &read_all(&host_b, "j1").await);
    }
}

/// Items that no upstream ever ran end, whatever the clock of the host that accepted their job.
#[tokio::test(start_paused = true)]
async fn test_items_are_given_up_by_an_owner_with_another_clock() {
    for error_ms in CLOCK_ERRORS_MS {
        let mut fleet = JobFleet::new();
        let (host_b, accepted) = taken_over_job(&mut fleet, error_ms).await;
        tokio::time::sleep_until(accepted + Duration::from_secs(75)).await;
        let results = read(&host_b, "j1", 0).await.results;
        assert_eq!(results.len(), 3, "clock differs by {error_ms} ms");
        let mut states = results.iter().map(|result| result.state);
        assert!(states.all(|state| state == ResultState::DeadLetter));
    }
}

/// A host that is cut off from the key-value service has another one store its job, which counts the
/// times from then on by its own clock.
#[tokio::test(start_paused = true)]
async fn test_forwarded_job_is_kept_by_the_clock_of_the_host_that_stores_it() {
    for error_ms in CLOCK_ERRORS_MS {
        let mut fleet = JobFleet::new();
        let (cut_off, link) = fleet.linked_host("host-a").await;
        let host_b = fleet.host("host-b").await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        link.set_cut(true);
        let mut spec = job("j1", 3);
        for time in [
            &mut spec.submitted_ms,
            &mut spec.due_ms,
            &mut spec.retention_ms,
        ] {
            *time = time.saturating_add_signed(error_ms);
        }
        let outcome = cut_off.keeper.submit(spec).await;
        assert_eq!(outcome, SubmitOutcome::Accepted);
        assert_complete(&fleet.transport, &read_all(&host_b, "j1").await);
    }
}
