//! Writes results and signs of life of own jobs to the key-value service.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::batch::coordinator::BatchCoordinator;
use crate::batch::ledger::JobRecord;
use crate::batch::message::BatchRequest;
use crate::batch::message::JobAnnouncement;
use crate::batch::run::JobRun;
use crate::batch::run::JobWrite;
use crate::batch::store::VersionedJob;
use crate::batch::store::WriteError;
use crate::batch::store::jittered;
use crate::batch::store::open_key;
use crate::batch::store::pack_key;
use crate::counters::CounterEvent;
use crate::counters::RetryReason;
use crate::decisions::unix_millis;
use crate::edges::kv::Expect;
use crate::edges::kv::KvVersion;
use crate::ids::JobId;

const COMMIT_INTERVAL: Duration = Duration::from_millis(100);
/// A gap between two ticks that shows that the process stood still.
const STALL_THRESHOLD: Duration = Duration::from_secs(2);
const MIN_WRITE_BACKOFF: Duration = Duration::from_millis(250);
const MAX_WRITE_BACKOFF: Duration = Duration::from_secs(8);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What became of a write.
enum WriteOutcome {
    /// It took effect; the record may have moved on since.
    Applied(VersionedJob),
    /// The claim is lost or the job has ended without it.
    ClaimLost(Option<VersionedJob>),
}

impl BatchCoordinator {
    /// Commits results of own jobs until `stop`.
    pub(crate) async fn run_committer(self: &Arc<Self>, stop: &CancellationToken) {
        let mut ticks = tokio::time::interval(COMMIT_INTERVAL);
        let mut last = Instant::now();
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                () = stop.cancelled() => return,
            }
            if last.elapsed() > STALL_THRESHOLD {
                self.lock()
                    .runs
                    .values_mut()
                    .for_each(JobRun::mark_unverified);
            }
            last = Instant::now();
            self.start_writes(false);
        }
    }

    /// Starts all writes that are due; with `all`, for every job that has results.
    fn start_writes(self: &Arc<Self>, all: bool) {
        let now_ms = unix_millis();
        let view = self.dependencies.membership.view();
        let mut state = self.lock();
        let mut reclaimed = false;
        for run in state.runs.values_mut() {
            reclaimed |= run.reclaim_items(|host| view.hosts.iter().any(|peer| peer.id == *host));
            if run.record().expires_ms <= now_ms {
                run.expire_items();
            }
            if let Some(write) = run.begin_write(all, now_ms) {
                tokio::spawn(self.clone().complete_write(write));
            }
        }
        drop(state);
        if reclaimed {
            self.worker_wakeup.notify_one();
        }
    }

    /// Carries a write out, however long the service fails, and takes note of its outcome.
    async fn complete_write(self: Arc<Self>, write: JobWrite) {
        let job = write.next.id.clone();
        let mut pause = MIN_WRITE_BACKOFF;
        let end = loop {
            match self.try_write(&write).await {
                Some(end) => break end,
                None if !self.lock().runs.contains_key(&job) => return,
                None => {}
            }
            self.dependencies.counters.retry(RetryReason::StoreFailed);
            tokio::time::sleep(jittered(pause)).await;
            pause = (pause * 2).min(MAX_WRITE_BACKOFF);
        };
        match end {
            WriteOutcome::Applied(job) => self.finish_applied_write(&write, job),
            WriteOutcome::ClaimLost(current) => self.handle_lost_claim(&write, current).await,
        }
    }

    /// Tries a write once; `None` if its outcome is not known.
    async fn try_write(&self, write: &JobWrite) -> Option<WriteOutcome> {
        let store = &self.dependencies.store;
        if let Some((pack, value)) = &write.pack {
            let key = pack_key(&write.next.id, pack.epoch, pack.number);
            match store.write(&key, value.clone(), Expect::Absent).await {
                // The key belongs to this write alone, so that a conflict is its own effect.
                Ok(_) | Err(WriteError::Conflict) => {}
                Err(_) => return None,
            }
        }
        match store.replace_job(&write.next, write.version).await {
            Ok(version) => Some(WriteOutcome::Applied(VersionedJob {
                record: write.next.clone(),
                version,
            })),
            Err(WriteError::Conflict) => self.resolve_conflict(write).await,
            Err(_) => None,
        }
    }

    /// Finds out whether a write whose condition failed had taken effect before.
    async fn resolve_conflict(&self, write: &JobWrite) -> Option<WriteOutcome> {
        let workspace = &write.next.workspace;
        let current = self
            .dependencies
            .store
            .job(workspace, &write.next.id)
            .await
            .ok()?;
        let is_applied = current.as_ref().is_some_and(|current| match &write.pack {
            Some((pack, _)) => current.record.packs.contains(pack),
            None => current.record == write.next,
        });
        match (current, is_applied) {
            (Some(current), true) => Some(WriteOutcome::Applied(current)),
            (current, _) => Some(WriteOutcome::ClaimLost(current)),
        }
    }

    fn finish_applied_write(self: &Arc<Self>, write: &JobWrite, job: VersionedJob) {
        let items = write.results.len() as u64;
        self.dependencies
            .counters
            .add(CounterEvent::ItemCommitted, items);
        if job.record.state.is_final() {
            return self.close_job(&job.record);
        }
        let mut state = self.lock();
        let Some(run) = state.runs.get_mut(&job.record.id) else {
            return;
        };
        match job.record.claim.as_ref() == Some(run.claim()) {
            true => run.finish_write(job.record, job.version),
            false => {
                let id = job.record.id.clone();
                run.finish_write(job.record, job.version);
                Self::abandon_run(&mut state, &id);
            }
        }
    }

    async fn handle_lost_claim(self: &Arc<Self>, write: &JobWrite, current: Option<VersionedJob>) {
        let id = &write.next.id;
        self.dependencies.counters.event(CounterEvent::CommitFenced);
        self.dependencies.decisions.record(
            crate::decisions::DecisionKind::Batch,
            &[id.as_str()],
            format!("lost the claim with epoch {}", write.next.epoch),
        );
        Self::abandon_run(&mut self.lock(), id);
        match current.map(|current| current.record) {
            Some(record) if record.state.is_final() => self.close_job(&record),
            Some(record) => self.record_open_job(announcement_of(&record)),
            None => self.drop_job(id),
        }
        if let Some((pack, _)) = &write.pack {
            // Nobody refers to the pack; what a crash leaves behind goes with the job.
            let key = pack_key(id, pack.epoch, pack.number);
            let _ = self.dependencies.store.kv().delete(&key, Expect::Any).await;
        }
    }

    /// Takes note of a job's end and removes its marker.
    pub(crate) fn close_job(self: &Arc<Self>, record: &JobRecord) {
        self.finish_job(record);
        let key = open_key(&record.id);
        let kv = self.dependencies.store.kv().clone();
        tokio::spawn(async move {
            // A marker that stays is removed by the next host that looks at it.
            let _ = kv.delete(&key, Expect::Any).await;
        });
    }

    /// Writes a claim on a job; `None` if the job cannot be claimed or another host was faster.
    pub(crate) async fn claim_job(self: &Arc<Self>, mut job: VersionedJob) -> Option<()> {
        let claim = job
            .record
            .claim(&self.dependencies.host, self.session)
            .ok()?;
        let written = self
            .dependencies
            .store
            .replace_job(&job.record, job.version)
            .await;
        job.version = match written {
            Ok(version) => version,
            Err(WriteError::Conflict) => self.confirm_claim(&job.record).await?,
            Err(_) => return None,
        };
        self.start_run(job, claim, None);
        Some(())
    }

    async fn confirm_claim(&self, written: &JobRecord) -> Option<KvVersion> {
        let current = self.dependencies.store.job(&written.workspace, &written.id);
        let current = current.await.ok()??;
        (current.record == *written).then_some(current.version)
    }

    /// Stops to take items, waits for those that run, commits all results and gives all claims
    /// up; ends at `deadline` at the latest.
    pub async fn drain(self: &Arc<Self>, deadline: Duration) {
        self.draining.store(true, Ordering::Relaxed);
        let deadline = Instant::now() + deadline;
        while self.in_flight_items.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let all_released = async {
            while !self.release_jobs() {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        let grace = MIN_WRITE_BACKOFF * 8;
        let _ = tokio::time::timeout_at(deadline + grace, all_released).await;
    }

    /// Starts the writes that are left; returns whether nothing is.
    fn release_jobs(self: &Arc<Self>) -> bool {
        self.start_writes(true);
        let mut state = self.lock();
        for run in state.runs.values_mut() {
            if run.uncommitted_bytes() == 0
                && let Some(write) = run.release_write()
            {
                tokio::spawn(self.clone().release_job(write));
            }
        }
        let reported = state
            .assigned
            .values()
            .all(|assigned| assigned.unreported.is_empty());
        state.runs.is_empty() && reported
    }

    async fn release_job(self: Arc<Self>, write: JobWrite) {
        let announcement = announcement_of(&write.next);
        let job = announcement.job.clone();
        self.clone().complete_write(write).await;
        if self.drop_released_job(&job) {
            self.broadcast(&BatchRequest::Open(announcement));
        }
    }

    fn drop_released_job(&self, job: &JobId) -> bool {
        let mut state = self.lock();
        state.runs.remove(job);
        state.open_jobs.remove(job).is_some()
    }
}

/// What other hosts are told of a job with `record`.
pub(crate) fn announcement_of(record: &JobRecord) -> JobAnnouncement {
    JobAnnouncement {
        job: record.id.clone(),
        workspace: record.workspace.clone(),
        endpoint: record.request.endpoint,
        owner: record.claim.as_ref().map(|claim| claim.host.clone()),
        epoch: record.epoch,
        expires_ms: record.expires_ms,
    }
}
