//! Failed runs of items: counted by the owner of their job, and told to the hosts that would claim the job
//! next, so that an owner that is killed takes no counts with it.
//!
//! An item is given up after a number of failed runs, whichever hosts sent it. Failures are rare and calls to
//! the key-value service are dear, so that they are told from host to host and not stored.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use futures_util::future::join_all;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::collections::HashMap;
use crate::edges::kv::KvVersion;
use crate::jobs::keeper::JobKeeper;
use crate::jobs::message::JobCall;
use crate::jobs::message::JobReply;
use crate::registry::HostEntry;

/// Interval at which new failures are told.
const TELL_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which known failures are told again.
const RETELL_INTERVAL: Duration = Duration::from_secs(60);
/// Interval at which failures are told again that too few hosts have confirmed.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which a host remembers failures that it was told.
const MEMORY_TIME: Duration = Duration::from_secs(150);
/// Number of hosts that remember the failures of a job beside its owner.
const TOLD_HOSTS: usize = 2;
/// Number of hosts that a new owner asks for failures, as their order may have changed since.
const ASKED_HOSTS: usize = 4;
/// Timeout of the calls that tell failures and ask for them.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Failed runs of one item, by the answers of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(usize, u32)", into = "(usize, u32)")]
pub struct ItemFailures {
    /// Index of the item in its job.
    pub index: usize,
    /// Number of its failed runs, or [`Self::FOR_GOOD`].
    pub failures: u32,
}

impl ItemFailures {
    /// Stands for an item of which an upstream said that it can never succeed.
    pub const FOR_GOOD: u32 = u32::MAX;
}

impl From<(usize, u32)> for ItemFailures {
    fn from((index, failures): (usize, u32)) -> Self {
        Self { index, failures }
    }
}

impl From<ItemFailures> for (usize, u32) {
    fn from(item: ItemFailures) -> Self {
        (item.index, item.failures)
    }
}

/// What is known of a job whose owner is another host.
#[derive(Debug)]
struct NotedJob {
    /// Version of the job's `open` key, which tells it from a later job with its identifier.
    open_version: KvVersion,
    failures: HashMap<usize, u32>,
    noted: Instant,
}

/// Failures of items of other hosts' jobs, as their owners told or when this host gave them up.
#[derive(Debug, Default)]
pub(super) struct FailureNotes {
    jobs: Mutex<HashMap<String, NotedJob>>,
}

impl FailureNotes {
    /// Adds to what is known of `job`. Counts only rise, so that the greatest of an item is the latest.
    pub(super) fn add(&self, job: &str, open_version: KvVersion, failures: &[ItemFailures]) {
        if failures.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut jobs = self.lock();
        jobs.retain(|_, noted| now.saturating_duration_since(noted.noted) < MEMORY_TIME);
        let noted = jobs.entry(job.to_owned()).or_insert_with(|| NotedJob {
            open_version,
            failures: HashMap::default(),
            noted: now,
        });
        if open_version < noted.open_version {
            return;
        }
        if open_version > noted.open_version {
            noted.open_version = open_version;
            noted.failures.clear();
        }
        noted.noted = now;
        for item in failures {
            let known = noted.failures.entry(item.index).or_default();
            *known = item.failures.max(*known);
        }
    }

    /// What is known of the job whose `open` key has `open_version`.
    pub(super) fn get(&self, job: &str, open_version: KvVersion) -> Vec<ItemFailures> {
        let jobs = self.lock();
        let noted = jobs.get(job);
        let noted = noted.filter(|noted| noted.open_version == open_version);
        noted.map_or_else(Vec::new, |noted| {
            let failures = noted.failures.iter();
            failures
                .map(|(index, count)| (*index, *count).into())
                .collect()
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, NotedJob>> {
        self.jobs.lock().expect("failure notes lock")
    }
}

/// What was last told of a job, and to which processes.
#[derive(Debug)]
struct ToldJob {
    failures: Vec<ItemFailures>,
    hosts: Vec<(String, u64, u64)>,
    retell_at: Instant,
}

impl JobKeeper {
    /// Tells the failures of items of this host's jobs to the hosts that would claim them next, whenever
    /// there are new ones or other such hosts.
    pub(super) async fn run_failure_reports(&self) {
        let mut told: HashMap<String, ToldJob> = HashMap::default();
        loop {
            tokio::time::sleep(TELL_INTERVAL).await;
            let failed = self.with_table(|table| table.failed_jobs());
            told.retain(|job, _| failed.iter().any(|(known, ..)| known == job));
            let reports = failed
                .into_iter()
                .filter_map(|(job, open_version, failures)| {
                    let hosts = self.claimers(&job);
                    let first: Vec<_> = hosts.iter().take(TOLD_HOSTS).map(process_of).collect();
                    let is_told = told.get(&job).is_some_and(|told| {
                        let is_same = told.failures == failures && told.hosts == first;
                        is_same && Instant::now() < told.retell_at
                    });
                    let report = async move {
                        let told = self.tell_failures(&job, open_version, &failures, hosts);
                        let interval = match told.await {
                            true => RETELL_INTERVAL,
                            false => RETRY_INTERVAL,
                        };
                        let now_told = ToldJob {
                            failures,
                            hosts: first,
                            retell_at: Instant::now() + interval,
                        };
                        (job, now_told)
                    };
                    (!is_told).then_some(report)
                });
            let reports: Vec<_> = reports.collect();
            told.extend(join_all(reports).await);
        }
    }

    /// Tells failures to the first `TOLD_HOSTS` hosts that confirm it. Returns whether so many do, or all.
    async fn tell_failures(
        &self,
        job: &str,
        open_version: KvVersion,
        failures: &[ItemFailures],
        hosts: Vec<HostEntry>,
    ) -> bool {
        let tell = |host: HostEntry| async move {
            let call = JobCall::NoteFailures {
                job: job.to_owned(),
                open_version: open_version.0,
                failures: failures.to_vec(),
            };
            let reply = self.shared.peers.call(&host, call, CALL_TIMEOUT).await;
            matches!(reply, Ok(JobReply::Failures(_)))
        };
        let mut missing = TOLD_HOSTS.min(hosts.len());
        let mut hosts = hosts.into_iter().take(ASKED_HOSTS);
        while missing > 0 {
            let confirmed = join_all(hosts.by_ref().take(missing).map(tell)).await;
            if confirmed.is_empty() {
                return false;
            }
            missing -= confirmed
                .iter()
                .filter(|is_confirmed| **is_confirmed)
                .count();
        }
        true
    }

    /// What this host and the other hosts that would claim `job` know of failures of its items.
    pub(super) async fn recall_failures(
        &self,
        job: &str,
        open_version: KvVersion,
    ) -> Vec<ItemFailures> {
        let hosts = self.claimers(job);
        let calls = hosts.iter().take(ASKED_HOSTS).map(|host| {
            let call = JobCall::NoteFailures {
                job: job.to_owned(),
                open_version: open_version.0,
                failures: Vec::new(),
            };
            self.shared.peers.call(host, call, CALL_TIMEOUT)
        });
        for reply in join_all(calls).await {
            if let Ok(JobReply::Failures(failures)) = reply {
                self.shared.failure_notes.add(job, open_version, &failures);
            }
        }
        self.shared.failure_notes.get(job, open_version)
    }

    /// Notes what another host tells of a job's failures, and replies with all that is known of them.
    pub(super) fn answer_failures(
        &self,
        job: &str,
        open_version: KvVersion,
        failures: &[ItemFailures],
    ) -> JobReply {
        let notes = &self.shared.failure_notes;
        notes.add(job, open_version, failures);
        JobReply::Failures(notes.get(job, open_version))
    }
}

/// Name, incarnation and random number of a host's process.
fn process_of(host: &HostEntry) -> (String, u64, u64) {
    (host.host.clone(), host.incarnation, host.process)
}
