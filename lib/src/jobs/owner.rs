//! Ownership of jobs: claiming those without an owner, and noticing lost ones.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::edges::kv::KvError;
use crate::jobs::keeper::JobKeeper;
use crate::jobs::store::OpenJob;
use crate::jobs::store::OpenJobs;
use crate::registry::HostState;

/// Jobs that one scan claims at most, so that a host that comes first does not take all.
const MAX_CLAIMS: usize = 8;

/// What earlier scans saw.
#[derive(Debug, Default)]
pub(super) struct OwnerWatch {
    /// Number of scans in a row in which a job had no owner.
    ownerless: HashMap<String, u32>,
}

impl OwnerWatch {
    /// Notes a scan and returns how often each job was seen without an owner, this time included.
    fn note(&mut self, ownerless: &[&OpenJob]) -> HashMap<String, u32> {
        let mut counts = HashMap::default();
        for job in ownerless {
            let before = self.ownerless.get(&job.id).copied().unwrap_or(0);
            counts.insert(job.id.clone(), before + 1);
        }
        self.ownerless = counts.clone();
        counts
    }
}

impl JobKeeper {
    /// Looks at all open jobs again and again.
    pub(super) async fn run_scans(&self) {
        loop {
            if let Ok(open) = self.shared.store.open_jobs().await {
                self.take_scan(&open).await;
            }
            tokio::time::sleep(self.shared.plan.scan_interval).await;
        }
    }

    async fn take_scan(&self, open: &OpenJobs) {
        self.note_owners(open);
        self.drop_lost(open).await;
        if self.shared.is_leaving.is_cancelled() {
            return;
        }
        let own = &self.shared.owner;
        let mut ownerless = Vec::new();
        let mut claims = Vec::new();
        for job in &open.jobs {
            match &job.owner {
                None => ownerless.push(job),
                // An earlier process of this host can do nothing more.
                Some((owner, _))
                    if owner.host == own.host && owner.incarnation != own.incarnation =>
                {
                    claims.push(job);
                }
                Some(_) => {}
            }
        }
        let counts = self
            .shared
            .watch
            .lock()
            .expect("owner watch lock")
            .note(&ownerless);
        for job in ownerless {
            let is_mine = self.with_book(|book| book.owns(&job.id));
            let seen = counts.get(&job.id).copied().unwrap_or(0);
            // The owner itself claims again first; then the other hosts, one after the other.
            if is_mine || seen > self.rank(&job.id) + 1 {
                claims.push(job);
            }
        }
        claims.truncate(MAX_CLAIMS);
        for job in claims {
            self.claim(job).await;
        }
    }

    /// Place of this host in the order in which hosts claim `job`, from 0.
    fn rank(&self, job: &str) -> u32 {
        let weight = |host: &str| xxh3_64(format!("{job} {host}").as_bytes());
        let own = weight(&self.shared.owner.host);
        self.shared.registry.with_list(|list| {
            let before = list.entries().into_iter().filter(|entry| {
                entry.state == HostState::Ready
                    && entry.callers.is_some()
                    && list.is_listed(&entry.host)
                    && weight(&entry.host) > own
            });
            before.count() as u32
        })
    }

    async fn claim(&self, job: &OpenJob) {
        let Some(lease) = self.shared.registry.lease() else {
            return;
        };
        let claim = match self
            .shared
            .store
            .claim(job, &self.shared.owner, lease)
            .await
        {
            Ok(claim) => claim,
            Err(KvError::LeaseLost) => return self.shared.registry.lease_lost(lease),
            Err(_) => return,
        };
        if self.with_book(|book| book.owns(&job.id)) {
            return;
        }
        let (Ok(Some(spec)), Ok(Some(stored))) = (
            self.shared.store.load_spec(&job.id).await,
            self.shared.store.load(&job.id).await,
        ) else {
            // The key stays; a later scan sees a job of this host that it does not run.
            let _ = self
                .shared
                .store
                .release(std::slice::from_ref(&job.id))
                .await;
            return;
        };
        self.log_job(
            &job.id,
            "taken_over",
            spec.items.len(),
            stored.results.len(),
        );
        self.set_owner(&job.id, None);
        self.with_book(|book| book.insert(Arc::new(spec), claim, stored.results, stored.segments));
        self.shared.work.notify_one();
    }

    fn note_owners(&self, open: &OpenJobs) {
        let mut owners = self.shared.owners.lock().expect("owners lock");
        let ids: HashSet<&str> = open.jobs.iter().map(|job| job.id.as_str()).collect();
        owners.retain(|job, _| ids.contains(job.as_str()));
        for job in &open.jobs {
            if let Some((owner, _)) = &job.owner {
                owners.insert(job.id.clone(), owner.host.clone());
            }
        }
    }

    /// Drops jobs that were ended or finished elsewhere, or that another host owns now.
    async fn drop_lost(&self, open: &OpenJobs) {
        let known: HashMap<&str, &OpenJob> =
            open.jobs.iter().map(|job| (job.id.as_str(), job)).collect();
        for (id, claim) in self.with_book(|book| book.claims()) {
            // A listing from before the job's creation says nothing about it.
            if open.revision < claim.open {
                continue;
            }
            match known.get(id.as_str()).and_then(|job| job.owner.as_ref()) {
                Some((owner, _)) if *owner != self.shared.owner => self.drop_job(&id, "lost"),
                Some(_) => {}
                None if known.contains_key(id.as_str()) => {}
                None => self.drop_closed(&id).await,
            }
        }
    }

    /// Drops a job that a listing did not show, if it is closed indeed.
    async fn drop_closed(&self, id: &str) {
        if let Ok(None) = self.shared.store.open_job(id).await {
            self.drop_job(id, "closed_elsewhere");
        }
    }
}
