//! Deletes unfinished uploads, and jobs with their files and results after the retention time.
//!
//! Ages are measured, by the revisions of the store: the times of day in the records are those of other
//! hosts, whose clocks may differ by any amount.
//!
//! Rendezvous hashing assigns each workspace and upload to one host, which sweeps it. Deletions may
//! be repeated after a failure: the record that lists the other keys is deleted last.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::batch::coordinator::BatchCoordinator;
use crate::batch::ledger::JobRecord;
use crate::batch::object::BatchError;
use crate::batch::retention::RETENTION_KEY;
use crate::batch::retention::RetentionRecord;
use crate::batch::store::PAGE_LIMIT;
use crate::batch::store::UPLOADS_PREFIX;
use crate::batch::store::VersionedJob;
use crate::batch::store::file_key;
use crate::batch::store::jittered;
use crate::batch::store::job_key;
use crate::batch::store::pack_key;
use crate::batch::store::segment_key;
use crate::batch::stored::MARKER_FORMAT;
use crate::batch::stored::UploadMarker;
use crate::batch::stored::decode;
use crate::collections::HashSet;
use crate::counters::RetryReason;
use crate::edges::kv::Expect;
use crate::ids::FileId;

/// Interval between sweeps; jittered down to half of it.
const SWEEP_INTERVAL: Duration = Duration::from_secs(3600);
/// Age of a marker after which its upload counts as failed.
const UPLOAD_TIME: Duration = Duration::from_secs(3600);
/// Time for which a job and its results are kept after its end.
const RETENTION_TIME: Duration = Duration::from_secs(30 * 24 * 3600);

impl BatchCoordinator {
    /// Sweeps every half to full [`SWEEP_INTERVAL`] until `stop`.
    pub(crate) async fn run_sweeper(self: &Arc<Self>, stop: &CancellationToken) {
        loop {
            tokio::select! {
                () = tokio::time::sleep(jittered(SWEEP_INTERVAL)) => {}
                () = stop.cancelled() => return,
            }
            if self.sweep_once().await.is_err() {
                self.dependencies.counters.retry(RetryReason::StoreFailed);
            }
        }
    }

    /// Deletes the failed uploads and expired jobs that are assigned to this host.
    pub async fn sweep_once(&self) -> Result<(), BatchError> {
        self.sweep_uploads().await?;
        let retention = self.read_retention().await?;
        let terms = self.dependencies.terms.view();
        for workspace in terms.workspaces() {
            if !self.is_sweeping_host(workspace.name.as_str()) {
                continue;
            }
            let jobs = self.dependencies.store.jobs(&workspace.name).await?;
            let (old, kept): (Vec<_>, Vec<_>) = jobs
                .into_iter()
                .partition(|job| is_expired(job, &retention));
            let kept = kept.iter().map(|job| &job.record);
            let needed: HashSet<&FileId> = kept.map(|job| &job.request.input_file_id).collect();
            for VersionedJob { record, .. } in &old {
                let removes_input = !needed.contains(&record.request.input_file_id);
                self.remove_job(record, removes_input).await?;
            }
        }
        Ok(())
    }

    fn is_sweeping_host(&self, key: &str) -> bool {
        let view = self.dependencies.membership.view();
        view.owner_of(key)
            .is_some_and(|sweeping_host| sweeping_host.id == self.dependencies.host)
    }

    async fn read_retention(&self) -> Result<RetentionRecord, BatchError> {
        let store = &self.dependencies.store;
        let counts = self.is_sweeping_host(RETENTION_KEY);
        let mut counter = self.retention.lock().await;
        counter.read(store, counts, RETENTION_TIME).await
    }

    async fn sweep_uploads(&self) -> Result<(), BatchError> {
        let kv = self.dependencies.store.kv();
        let page = kv.list(UPLOADS_PREFIX, None, PAGE_LIMIT).await?;
        self.note_revision(page.revision);
        for entry in &page.entries {
            let id = FileId::new(entry.key.trim_start_matches(UPLOADS_PREFIX));
            let Ok(marker) = decode::<UploadMarker>(&entry.value, MARKER_FORMAT) else {
                continue;
            };
            if !self.is_older_than(entry.version, UPLOAD_TIME)
                || !self.is_sweeping_host(id.as_str())
            {
                continue;
            }
            let file = kv.get(&file_key(&marker.workspace, &id)).await?;
            if file.is_none() {
                self.remove_segments(&id, marker.segments).await?;
            }
            kv.delete(&entry.key, Expect::Any).await?;
        }
        Ok(())
    }

    /// Deletes a job's packs, its input file with `removes_input` (no other job uses it), and its
    /// record last.
    async fn remove_job(&self, record: &JobRecord, removes_input: bool) -> Result<(), BatchError> {
        let kv = self.dependencies.store.kv();
        for pack in &record.packs {
            let key = pack_key(&record.id, pack.epoch, pack.number);
            kv.delete(&key, Expect::Any).await?;
        }
        let file = &record.request.input_file_id;
        if removes_input {
            if !record.inline_input {
                let segments = record.segments.len() as u32;
                self.remove_segments(file, segments).await?;
            }
            let key = file_key(&record.workspace, file);
            kv.delete(&key, Expect::Any).await?;
        }
        let key = job_key(&record.workspace, &record.id);
        kv.delete(&key, Expect::Any).await?;
        Ok(())
    }

    async fn remove_segments(&self, file: &FileId, count: u32) -> Result<(), BatchError> {
        for number in 0..count {
            let key = segment_key(file, number);
            self.dependencies
                .store
                .kv()
                .delete(&key, Expect::Any)
                .await?;
        }
        Ok(())
    }
}

fn is_expired(job: &VersionedJob, retention: &RetentionRecord) -> bool {
    // Nothing is written to the record of a job after its end.
    job.record.state.is_final() && retention.is_older_than(job.version, RETENTION_TIME)
}
