//! Plays items that fail at each run while their job changes owners.

mod job_fleet;
mod opaque;

use std::time::Duration;

use job_fleet::JobFleet;
use job_fleet::JobHost;
use job_fleet::PeerFault;
use job_fleet::UPSTREAMS;
use job_fleet::job;
use job_fleet::read_all;
use parsleywall::jobs::ResultPage;
use parsleywall::jobs::ResultState;
use parsleywall::jobs::SubmitOutcome;
use parsleywall_standins::opaque::OpaqueBehaviour;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const ITEMS: usize = 4;
/// Failed runs after which an item is given up; the backoff makes them take 1.55 s.
const ATTEMPTS: u32 = 6;
const JOB: &str = "j1";

/// Hosts of a fleet whose upstreams fail at each run.
struct FailingFleet {
    fleet: JobFleet,
    hosts: Vec<Option<JobHost>>,
}

impl FailingFleet {
    async fn start(hosts: usize) -> Self {
        let mut failing = Self {
            fleet: JobFleet::new(),
            hosts: Vec::new(),
        };
        for name in UPSTREAMS {
            failing
                .fleet
                .transport
                .set(name, OpaqueBehaviour::Fails(500));
        }
        for number in 0..hosts {
            failing.hosts.push(None);
            failing.restart(number).await;
        }
        tokio::time::sleep(Duration::from_secs(3)).await;
        failing
    }

    async fn restart(&mut self, number: usize) {
        let host = self.fleet.host(&format!("host-{number}")).await;
        self.hosts[number] = Some(host);
    }

    async fn submit(&self) {
        let mut spec = job(JOB, ITEMS);
        spec.attempts = ATTEMPTS;
        let outcome = self.host(0).keeper.submit(spec).await;
        assert_eq!(outcome, SubmitOutcome::Accepted);
    }

    fn host(&self, number: usize) -> &JobHost {
        self.hosts[number].as_ref().unwrap()
    }

    /// Number of the host that runs items of the job.
    fn owner(&self) -> Option<usize> {
        let runs = |host: &Option<JobHost>| {
            let host = host.as_ref();
            host.is_some_and(|host| host.keeper.open_item_count() > 0)
        };
        self.hosts.iter().position(runs)
    }

    async fn wait_for_owner(&self) -> Option<usize> {
        for _ in 0..200 {
            if let Some(owner) = self.owner() {
                return Some(owner);
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        None
    }

    async fn stop(&mut self, number: usize) {
        self.host(number).keeper.leave().await;
        self.kill(number);
    }

    fn kill(&mut self, number: usize) {
        self.hosts[number].take().unwrap().kill();
    }

    /// Reads all results at the last host.
    async fn results(&self) -> ResultPage {
        read_all(self.hosts.iter().flatten().last().unwrap(), JOB).await
    }

    /// Checks that all items are dead letters, after `ATTEMPTS` failed runs and at most `excess` more.
    async fn check(&self, excess: usize) {
        let page = self.results().await;
        for result in &page.results {
            assert_eq!(result.state, ResultState::DeadLetter, "{}", result.id);
            let runs = self.fleet.transport.runs(&result.id).len();
            let (least, most) = (ATTEMPTS as usize, ATTEMPTS as usize + excess);
            assert!(
                (least..=most).contains(&runs),
                "{} ran {runs} times",
                result.id
            );
        }
    }
}

/// Guards against items that each owner of their job runs anew as often as the job permits: review/10,
/// with owners that stop as planned.
#[tokio::test(start_paused = true)]
async fn test_failed_runs_are_counted_over_planned_stops() {
    let mut failing = FailingFleet::start(5).await;
    failing.submit().await;
    for _ in 0..4 {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let Some(owner) = failing.owner() else {
            break;
        };
        failing.stop(owner).await;
    }
    failing.check(0).await;
}

/// The same with owners that are killed. A failure that was not told yet is run again.
#[tokio::test(start_paused = true)]
async fn test_failed_runs_are_counted_over_kills() {
    let mut failing = FailingFleet::start(6).await;
    failing.submit().await;
    for _ in 0..3 {
        let Some(owner) = failing.wait_for_owner().await else {
            break;
        };
        tokio::time::sleep(Duration::from_millis(300)).await;
        failing.kill(owner);
    }
    failing.check(3).await;
}

/// The same with a process that starts again under the name of the owner, and so claims the job without
/// having been told anything.
#[tokio::test(start_paused = true)]
async fn test_failed_runs_are_counted_over_restarts_of_the_owner() {
    let mut failing = FailingFleet::start(3).await;
    failing.submit().await;
    for _ in 0..3 {
        let Some(owner) = failing.wait_for_owner().await else {
            break;
        };
        tokio::time::sleep(Duration::from_millis(300)).await;
        failing.kill(owner);
        failing.restart(owner).await;
    }
    failing.check(3).await;
}

/// Guards against an item that an upstream says can never succeed and that the next owner of its job runs
/// again, as the owner was killed before the result was stored.
#[tokio::test(start_paused = true)]
async fn test_item_that_failed_for_good_is_known_before_its_result_is_stored() {
    let mut failing = FailingFleet::start(3).await;
    for name in UPSTREAMS {
        failing
            .fleet
            .transport
            .set(name, OpaqueBehaviour::Fails(422));
    }
    let (owner, link) = failing.fleet.linked_host("owner").await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let outcome = owner.keeper.submit(job(JOB, ITEMS)).await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
    link.set_cut(true);
    tokio::time::sleep(Duration::from_millis(200)).await;
    owner.kill();
    let page = failing.results().await;
    assert!(
        page.results
            .iter()
            .all(|result| result.state == ResultState::DeadLetter)
    );
    assert_eq!(failing.fleet.transport.attempts().len(), ITEMS);
}

/// Beside hosts of an earlier release, which are told nothing, items are still given up.
#[tokio::test(start_paused = true)]
async fn test_hosts_of_an_earlier_release_count_by_themselves() {
    let mut failing = FailingFleet::start(3).await;
    for number in 1..3 {
        failing.host(number).set_fault(PeerFault::Earlier);
    }
    failing.submit().await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    failing.kill(0);
    failing.check(ATTEMPTS as usize).await;
}

/// Plays stops, kills and restarts of owners at any moment: no item is given up before it has failed as often
/// as the job permits, and each kill costs one run at most.
#[tokio::test(start_paused = true)]
async fn test_plays_failing_items_over_changes_of_owners() {
    for seed in 0..10 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut failing = FailingFleet::start(5).await;
        failing.submit().await;
        let mut kills = 0;
        for _ in 0..6 {
            let Some(owner) = failing.wait_for_owner().await else {
                break;
            };
            let delay = rng.random_range(20..600);
            tokio::time::sleep(Duration::from_millis(delay)).await;
            if rng.random_bool(0.5) {
                failing.stop(owner).await;
            } else {
                failing.kill(owner);
                kills += 1;
            }
            if rng.random_bool(0.3) {
                tokio::time::sleep(Duration::from_millis(rng.random_range(0..2_000))).await;
            }
            failing.restart(owner).await;
        }
        failing.check(kills).await;
    }
}
