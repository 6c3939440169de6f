//! What is fixed when a job is accepted, whatever the configuration says later: its host name, and the
//! workspace whose callers alone may read, end or submit it again.

use std::sync::Mutex;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::collections::HashMap;
use crate::edges::kv::KvError;
use crate::ids::WorkspaceName;
use crate::jobs::keeper::JobKeeper;
use crate::jobs::message::JobCall;
use crate::jobs::message::JobReply;
use crate::jobs::spec::JobSpec;
use crate::routes::is_same_host;
use crate::workspaces::CallerIdentity;

/// Number of jobs whose acceptance is cached; beyond it all are forgotten and read anew.
const MAX_CACHED_JOBS: usize = 4_096;
/// Time for which a cached acceptance is used. Shorter than closed jobs are kept, as the identifier of a
/// removed one may be used again.
const CACHE_TIME: Duration = Duration::from_secs(60);
/// Timeout of a call that asks the owner of a job for its acceptance.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Whether a job was accepted as asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptanceOutcome {
    /// The job is stored, and was accepted under that host name or for that caller's workspace.
    Accepted,
    /// There is no such job, or it was accepted under another host name or for another workspace.
    NotAccepted,
    /// Neither the owner nor the key-value service answered, and this host does not know the job.
    Unknown,
}

/// Under which host name and for whom a job was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAcceptance {
    /// Host name that the job was submitted to.
    pub host: String,
    /// Workspace of the caller that submitted it; `None` if the job needs no key.
    pub workspace: Option<WorkspaceName>,
}

impl From<&JobSpec> for JobAcceptance {
    fn from(spec: &JobSpec) -> Self {
        Self {
            host: spec.host.clone(),
            workspace: spec.workspace.clone(),
        }
    }
}

impl JobAcceptance {
    /// Whether `caller` may read, end and submit the job again.
    fn is_for(&self, caller: &CallerIdentity) -> bool {
        match (&self.workspace, caller) {
            (None, _) | (_, CallerIdentity::Unchecked) => true,
            (Some(holder), caller) => caller.workspace_name() == Some(holder),
        }
    }
}

/// Acceptances of jobs that this host has owned or asked about lately, by the identifier of the job.
#[derive(Default)]
pub(super) struct AcceptanceCache {
    jobs: Mutex<HashMap<String, (JobAcceptance, Instant)>>,
}

impl AcceptanceCache {
    pub(super) fn get(&self, job: &str) -> Option<JobAcceptance> {
        let jobs = self.jobs.lock().expect("acceptance cache lock");
        let (acceptance, cached) = jobs.get(job)?;
        (cached.elapsed() < CACHE_TIME).then(|| acceptance.clone())
    }

    pub(super) fn insert(&self, job: &str, acceptance: JobAcceptance) {
        let mut jobs = self.jobs.lock().expect("acceptance cache lock");
        if jobs.len() >= MAX_CACHED_JOBS {
            jobs.clear();
        }
        jobs.insert(job.to_owned(), (acceptance, Instant::now()));
    }
}

impl JobKeeper {
    /// Whether `job` was accepted under the host name `host`. An accepted job stays readable under it,
    /// also if the configuration no longer has a route there.
    pub async fn accepted_under(&self, job: &str, host: &str) -> AcceptanceOutcome {
        self.is_accepted(job, |acceptance| is_same_host(&acceptance.host, host))
            .await
    }

    /// Whether `caller` may read, end and submit `job` again: it needs no key, or `caller` has one of the
    /// workspace that it was accepted for. Asks nobody if the configuration has no workspaces.
    pub async fn accepted_for(&self, job: &str, caller: &CallerIdentity) -> AcceptanceOutcome {
        match caller {
            CallerIdentity::Unchecked => AcceptanceOutcome::Accepted,
            caller => {
                self.is_accepted(job, |acceptance| acceptance.is_for(caller))
                    .await
            }
        }
    }

    /// Whether `job` is stored and its acceptance is as wanted. A cached one that isn't may be that of a
    /// removed job, and is looked up again.
    async fn is_accepted(
        &self,
        job: &str,
        is_wanted: impl Fn(&JobAcceptance) -> bool,
    ) -> AcceptanceOutcome {
        let known = self.known_acceptance(job);
        if known.is_some_and(|acceptance| is_wanted(&acceptance)) {
            return AcceptanceOutcome::Accepted;
        }
        match self.find_acceptance(job).await {
            Ok(Some(acceptance)) if is_wanted(&acceptance) => AcceptanceOutcome::Accepted,
            Ok(None) if self.shared.attempts.has_open(job) => AcceptanceOutcome::Unknown,
            Ok(_) => AcceptanceOutcome::NotAccepted,
            Err(_) => AcceptanceOutcome::Unknown,
        }
    }

    /// The acceptance of a job of this host or a cached one.
    fn known_acceptance(&self, job: &str) -> Option<JobAcceptance> {
        self.own_acceptance(job)
            .or_else(|| self.shared.acceptances.get(job))
    }

    fn own_acceptance(&self, job: &str) -> Option<JobAcceptance> {
        let spec = self.with_table(|table| table.spec(job))?;
        Some(JobAcceptance::from(&*spec))
    }

    /// The acceptance of `job` as this host, its owner or the key-value service has it; `None` if no such
    /// job is stored.
    async fn find_acceptance(&self, job: &str) -> Result<Option<JobAcceptance>, KvError> {
        if let Some(acceptance) = self.own_acceptance(job) {
            return Ok(Some(acceptance));
        }
        let found = match self.request_acceptance(job).await {
            Some(acceptance) => Some(acceptance),
            None => self.shared.store.load_acceptance(job).await?,
        };
        if let Some(acceptance) = &found {
            self.shared.acceptances.insert(job, acceptance.clone());
        }
        Ok(found)
    }

    /// Asks the owner of `job`, if that is known. One of an earlier release does not know the call.
    async fn request_acceptance(&self, job: &str) -> Option<JobAcceptance> {
        let host = self.cached_owner(job)?;
        let call = JobCall::Acceptance {
            job: job.to_owned(),
        };
        match self.shared.peers.call(&host, call, CALL_TIMEOUT).await {
            Ok(JobReply::Acceptance(acceptance)) => Some(acceptance),
            _ => None,
        }
    }

    /// Answers another host that asks for the acceptance of `job`. Only that of a job of this host is sure
    /// to be of a stored one.
    pub(super) fn answer_acceptance(&self, job: &str) -> JobReply {
        self.own_acceptance(job)
            .map_or(JobReply::NotOwner, JobReply::Acceptance)
    }

    /// Whether this host has heard of `job`, without asking any other. False if it forgot the job or has
    /// just started.
    pub fn has_heard_of(&self, job: &str) -> bool {
        self.with_table(|table| table.owns(job))
            || self.shared.result_cache.contains(job)
            || self.shared.owners.contains(job)
    }
}
