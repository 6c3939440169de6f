//! Writes results, heartbeats and releases of own jobs to the key-value service.

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
use crate::clock::unix_millis;
use crate::counters::CounterEvent;
use crate::counters::RetryReason;
use crate::edges::kv::Expect;
use crate::edges::kv::KvVersion;
use crate::ids::JobId;

/// Interval at which own jobs are checked for due writes.
const COMMIT_INTERVAL: Duration = Duration::from_millis(100);
/// Gap between two ticks from which on the process counts as stalled: other hosts may have taken
/// its jobs over.
const STALL_THRESHOLD: Duration = Duration::from_secs(2);
/// Backoff after the first write whose outcome is unknown; doubles up to [`MAX_WRITE_BACKOFF`].
const MIN_WRITE_BACKOFF: Duration = Duration::from_millis(250);
const MAX_WRITE_BACKOFF: Duration = Duration::from_secs(8);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Known outcome of a write.
enum WriteOutcome {
    /// The write took effect. The job is the stored one, which later writes may have changed, as a
    /// call that was sent at this time shows it.
    Applied(VersionedJob, Instant),
    /// The write had no effect, as another host has claimed the job, or the job has ended or was
    /// removed. Holds the stored job, if there is one.
    ClaimLost(Option<VersionedJob>),
}

impl BatchCoordinator {
    /// Starts the due writes of own jobs until `stop`.
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

    /// Takes back items of lost hosts, ends items of jobs past due, and starts all writes that are
    /// due. With `all`, results are committed at any age and number.
    fn start_writes(self: &Arc<Self>, all: bool) {
        let now_ms = unix_millis();
        let view = self.dependencies.membership.view();
        let mut state = self.lock();
        let mut reclaimed = false;
        for run in state.runs.values_mut() {
            reclaimed |= run.reclaim_items(|host| view.hosts.iter().any(|peer| peer.id == *host));
            if run.is_overdue() {
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

    /// Retries a write until its outcome is known, and applies the outcome to the job. Gives up
    /// only when the job is dropped from this host.
    async fn complete_write(self: Arc<Self>, write: JobWrite) {
        let job = write.next.id.clone();
        let mut pause = MIN_WRITE_BACKOFF;
        let outcome = loop {
            match self.try_write(&write).await {
                Some(outcome) => break outcome,
                None if self.lock().run_of(&job, write.next.epoch).is_none() => return,
                None => {}
            }
            self.dependencies.counters.retry(RetryReason::StoreFailed);
            tokio::time::sleep(jittered(pause)).await;
            pause = (pause * 2).min(MAX_WRITE_BACKOFF);
        };
        match outcome {
            WriteOutcome::Applied(job, sent_at) => self.finish_applied_write(&write, job, sent_at),
            WriteOutcome::ClaimLost(current) => self.handle_lost_claim(&write, current).await,
        }
    }

    /// Tries a write once. Returns `None` if it failed or its outcome is unknown.
    async fn try_write(&self, write: &JobWrite) -> Option<WriteOutcome> {
        let store = &self.dependencies.store;
        if let Some((pack, value)) = &write.pack {
            let key = pack_key(&write.next.id, pack.epoch, pack.number);
            match store.write(&key, value.clone(), Expect::Absent).await {
                // No other write uses this key, so a conflict means that an earlier try took
                // effect.
                Ok(_) | Err(WriteError::Conflict) => {}
                Err(_) => return None,
            }
        }
        let sent_at = Instant::now();
        match store.replace_job(&write.next, write.version).await {
            Ok(version) => {
                let record = write.next.clone();
                let job = VersionedJob { record, version };
                Some(WriteOutcome::Applied(job, sent_at))
            }
            Err(WriteError::Conflict) => self.resolve_conflict(write).await,
            Err(_) => None,
        }
    }

    /// Reads the job to find out whether a write that met a conflict had taken effect in an earlier
    /// try. Returns `None` if the job can't be read.
    async fn resolve_conflict(&self, write: &JobWrite) -> Option<WriteOutcome> {
        let workspace = &write.next.workspace;
        let sent_at = Instant::now();
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
            (Some(current), true) => Some(WriteOutcome::Applied(current, sent_at)),
            (current, _) => Some(WriteOutcome::ClaimLost(current)),
        }
    }

    fn finish_applied_write(
        self: &Arc<Self>,
        write: &JobWrite,
        job: VersionedJob,
        sent_at: Instant,
    ) {
        let items = write.results.len() as u64;
        self.dependencies
            .counters
            .add(CounterEvent::ItemCommitted, items);
        if job.record.state.is_final() {
            return self.close_job(&job.record);
        }
        self.lock().finish_write(write.next.epoch, job, sent_at);
    }

    async fn handle_lost_claim(self: &Arc<Self>, write: &JobWrite, current: Option<VersionedJob>) {
        let id = &write.next.id;
        self.dependencies.counters.event(CounterEvent::CommitFenced);
        self.dependencies.decisions.record(
            crate::decisions::DecisionKind::Batch,
            &[id.as_str()],
            format!("lost the claim with epoch {}", write.next.epoch),
        );
        self.lock().abandon_run(id, write.next.epoch);
        match current.map(|current| current.record) {
            Some(record) if record.state.is_final() => self.close_job(&record),
            Some(record) => self.record_open_job(announcement_of(&record)),
            None => self.drop_job(id),
        }
        if let Some((pack, _)) = &write.pack {
            // No record refers to the pack, so it is deleted here.
            let key = pack_key(id, pack.epoch, pack.number);
            let _ = self.dependencies.store.kv().delete(&key, Expect::Any).await;
        }
    }

    /// Finishes a job that has ended and deletes its marker of open jobs.
    pub(crate) fn close_job(self: &Arc<Self>, record: &JobRecord) {
        self.finish_job(record);
        let key = open_key(&record.id);
        let kv = self.dependencies.store.kv().clone();
        tokio::spawn(async move {
            // If this fails, the marker is deleted by the next host that lists the open jobs.
            let _ = kv.delete(&key, Expect::Any).await;
        });
    }

    /// Claims a job and starts to run it. Returns `None` if the job has ended, another host wrote
    /// first, or the write failed.
    pub(crate) async fn claim_job(self: &Arc<Self>, mut job: VersionedJob) -> Option<()> {
        let claim = job
            .record
            .claim(&self.dependencies.host, self.session)
            .ok()?;
        let sent_at = Instant::now();
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
        self.start_run(job, claim, sent_at, None);
        Some(())
    }

    /// Returns the version of the stored record if it is `written`: then the conflicting write was
    /// an earlier try of this claim.
    async fn confirm_claim(&self, written: &JobRecord) -> Option<KvVersion> {
        let current = self.dependencies.store.job(&written.workspace, &written.id);
        let current = current.await.ok()??;
        (current.record == *written).then_some(current.version)
    }

    /// Drains the host: takes and dispatches no more items, waits for those in flight, commits all
    /// results and releases all claims.
    ///
    /// Waits for items until `deadline` at the latest, and then 2 s more for the last writes.
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

    /// Starts the remaining commits and releases. Returns whether all jobs are released and all
    /// outcomes reported.
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
        let (job, epoch) = (announcement.job.clone(), announcement.epoch);
        self.clone().complete_write(write).await;
        if self.drop_released_job(&job, epoch) {
            self.broadcast(&BatchRequest::Open(announcement));
        }
    }

    /// Forgets a job that this host has released, unless a newer claim is known.
    fn drop_released_job(&self, job: &JobId, epoch: u64) -> bool {
        let mut state = self.lock();
        state.abandon_run(job, epoch);
        let known = state.open_jobs.get(job);
        let is_newest = known.is_some_and(|known| known.announcement.epoch <= epoch);
        is_newest && state.open_jobs.remove(job).is_some()
    }
}

/// Announcement of the job in the state of `record`.
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
