//! Under which host names jobs were accepted, whatever routes these have now.

use std::sync::Mutex;

use crate::collections::HashMap;
use crate::jobs::keeper::JobKeeper;
use crate::routes::is_same_host;

/// Number of jobs whose host names are cached; beyond it all are forgotten and read anew.
const MAX_CACHED_HOSTS: usize = 4_096;

/// Whether a job was accepted under a host name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptanceOutcome {
    /// The job is stored, and was submitted to that host name.
    Accepted,
    /// There is no such job, or it was submitted to another host name.
    NotAccepted,
    /// The key-value service did not answer, and this host does not know the job.
    Unknown,
}

/// Host names of jobs that this host does not own, by the identifier of the job.
#[derive(Default)]
pub(super) struct HostNameCache {
    names: Mutex<HashMap<String, String>>,
}

impl HostNameCache {
    fn get(&self, job: &str) -> Option<String> {
        let names = self.names.lock().expect("host name cache lock");
        names.get(job).cloned()
    }

    fn insert(&self, job: &str, host: String) {
        let mut names = self.names.lock().expect("host name cache lock");
        if names.len() >= MAX_CACHED_HOSTS {
            names.clear();
        }
        names.insert(job.to_owned(), host);
    }
}

impl JobKeeper {
    /// Whether `job` was accepted under the host name `host`. An accepted job stays readable under it,
    /// also if the configuration no longer has a route there.
    pub async fn accepted_under(&self, job: &str, host: &str) -> AcceptanceOutcome {
        let own = self.with_table(|table| table.spec(job));
        let known = own.map(|spec| spec.host.clone());
        let name = match known.or_else(|| self.shared.host_names.get(job)) {
            Some(name) => name,
            None => match self.shared.store.load_host(job).await {
                Ok(Some(name)) => {
                    self.shared.host_names.insert(job, name.clone());
                    name
                }
                Ok(None) => return AcceptanceOutcome::NotAccepted,
                Err(_) => return AcceptanceOutcome::Unknown,
            },
        };
        match is_same_host(&name, host) {
            true => AcceptanceOutcome::Accepted,
            false => AcceptanceOutcome::NotAccepted,
        }
    }

    /// Whether this host has heard of `job`, without asking any other. False if it forgot the job or has
    /// just started.
    pub fn has_heard_of(&self, job: &str) -> bool {
        self.with_table(|table| table.owns(job))
            || self.shared.result_cache.contains(job)
            || self.shared.owners.contains(job)
    }
}
