//! Seeded plays of job keepers on a slow key-value service, whose owner keys are deleted now and then.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use parsleywall::edges::kv::Expect;
use parsleywall::edges::kv::KvStore;
use parsleywall::jobs::JobConfig;
use parsleywall::jobs::JobResult;
use parsleywall::jobs::ReadOutcome;
use parsleywall::jobs::SubmitOutcome;
use parsleywall_standins::slow_kv::SlowCalls;
use parsleywall_standins::slow_kv::SlowKv;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use crate::job_fleet::JobFleet;
use crate::job_fleet::JobHost;
use crate::job_fleet::job;

/// Interval at which each host's results of the job are read.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// Time in which the job's owner key is deleted now and then.
const FAULT_TIME: Duration = Duration::from_secs(15);
/// Shortest and longest time between two deletions of the owner key, in milliseconds.
const DELETION_GAP_MS: std::ops::Range<u64> = 500..3_000;
/// Time after which a job that isn't closed counts as one that never is.
const END_TIME: Duration = Duration::from_secs(120);
/// Time for which a closed job is read.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Longest time that a job may have all its results and be open.
const FULL_AND_OPEN_TIME: Duration = Duration::from_secs(10);
/// Time that two runs of one item may be beside one another.
const OVERLAP_TIME: Duration = Duration::from_millis(400);
/// Identifier of the job.
const JOB: &str = "j1";

/// What a play does.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobPlay {
    pub(crate) hosts: usize,
    pub(crate) items: usize,
    /// Gap between two events of an item.
    pub(crate) gap: Duration,
    pub(crate) calls: SlowCalls,
    pub(crate) deletes_owner: bool,
}

/// What readers and upstreams saw of the job in one play, where it breaks a promise.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PlayFindings {
    /// Items that a reader saw at two positions.
    pub(crate) doubled: BTreeSet<String>,
    /// Positions at which readers saw two results.
    pub(crate) changed: BTreeSet<usize>,
    /// Whether the job did not close.
    pub(crate) never_closed: bool,
    /// Whether the job had all its results and stayed open for longer than `FULL_AND_OPEN_TIME`.
    pub(crate) full_and_open: bool,
    /// Number of items without a result at the end.
    pub(crate) missing: usize,
    /// Items of which two runs were beside one another for longer than `OVERLAP_TIME`.
    pub(crate) overlapping: BTreeSet<String>,
}

impl PlayFindings {
    /// Whether nothing was found.
    pub(crate) fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Results as all readers saw them, by position.
#[derive(Debug, Default)]
struct ReadResults {
    by_position: HashMap<usize, JobResult>,
    findings: PlayFindings,
}

impl ReadResults {
    fn add(&mut self, results: &[JobResult]) {
        let mut ids = BTreeSet::new();
        for (position, result) in results.iter().enumerate() {
            if !ids.insert(&result.id) {
                self.findings.doubled.insert(result.id.clone());
            }
            let known = self.by_position.entry(position);
            if known.or_insert_with(|| result.clone()) != result {
                self.findings.changed.insert(position);
            }
        }
    }

    fn distinct(&self) -> usize {
        let ids: BTreeSet<&str> = self
            .by_position
            .values()
            .map(|one| one.id.as_str())
            .collect();
        ids.len()
    }
}

impl JobPlay {
    /// Plays with delays and deletions drawn from `seed`.
    pub(crate) async fn run(&self, seed: u64) -> PlayFindings {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fleet = JobFleet::with_gap(self.gap);
        let mut hosts = Vec::new();
        for number in 0..self.hosts {
            let kv = SlowKv::new(fleet.kv.clone(), self.calls, random.random());
            let name = format!("host-{number}");
            hosts.push(fleet.host_on(&name, JobConfig::default(), kv).await);
        }
        fleet.spawn_announcements();
        tokio::time::sleep(Duration::from_secs(8)).await;
        submit(&hosts[0], self.items).await;
        let began = Instant::now();
        let mut next_deletion = began + Duration::from_millis(random.random_range(DELETION_GAP_MS));
        let mut read = ReadResults::default();
        let mut full_since: Option<Instant> = None;
        let mut closed_since: Option<Instant> = None;
        while began.elapsed() < END_TIME {
            tokio::time::sleep(READ_INTERVAL).await;
            let now = Instant::now();
            if self.deletes_owner && now >= next_deletion && now < began + FAULT_TIME {
                let key = format!("open/{JOB}/owner");
                fleet.kv.delete(&key, Expect::Any).await.unwrap();
                next_deletion = now + Duration::from_millis(random.random_range(DELETION_GAP_MS));
            }
            read_at_all(&hosts, &mut read).await;
            let is_open = fleet.kv.value(&format!("open/{JOB}")).is_some();
            if read.distinct() == self.items && full_since.is_none() {
                full_since = Some(now);
            }
            if is_open || now < began + FAULT_TIME {
                closed_since = None;
            } else if closed_since.get_or_insert(now).elapsed() > SETTLE_TIME {
                break;
            }
        }
        self.conclude(&fleet, read, full_since)
    }

    fn conclude(
        &self,
        fleet: &JobFleet,
        read: ReadResults,
        full_since: Option<Instant>,
    ) -> PlayFindings {
        let is_open = fleet.kv.value(&format!("open/{JOB}")).is_some();
        let ids = (0..self.items).map(|number| format!("{JOB}-{number}"));
        let missing = self.items - read.distinct();
        PlayFindings {
            never_closed: is_open,
            full_and_open: is_open
                && full_since.is_some_and(|since| since.elapsed() > FULL_AND_OPEN_TIME),
            missing,
            overlapping: ids
                .filter(|id| fleet.transport.longest_overlap(id) > OVERLAP_TIME)
                .collect(),
            ..read.findings
        }
    }
}

async fn submit(host: &JobHost, items: usize) {
    loop {
        match host.keeper.submit(job(JOB, items)).await {
            SubmitOutcome::Accepted => return,
            _ => tokio::time::sleep(READ_INTERVAL).await,
        }
    }
}

async fn read_at_all(hosts: &[JobHost], read: &mut ReadResults) {
    let reads = hosts
        .iter()
        .map(|host| host.keeper.read(JOB, 0, Duration::ZERO));
    for outcome in futures_util::future::join_all(reads).await {
        if let ReadOutcome::Page(page) = outcome {
            read.add(&page.results);
        }
    }
}
