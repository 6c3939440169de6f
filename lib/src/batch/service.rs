//! Caller requests on files and jobs; any host serves them for any job.

use std::sync::Arc;
use std::time::Duration;

use sha2::Digest;
use sha2::Sha256;
use tokio::time::Instant;

use crate::batch::coordinator::BatchCoordinator;
use crate::batch::input::check_input;
use crate::batch::input::decompress;
use crate::batch::item_set::ItemSet;
use crate::batch::ledger::JOB_FORMAT;
use crate::batch::ledger::JobRecord;
use crate::batch::ledger::LedgerError;
use crate::batch::message::BatchReply;
use crate::batch::message::BatchRequest;
use crate::batch::object::BatchError;
use crate::batch::object::FileObject;
use crate::batch::object::FilePurpose;
use crate::batch::object::JobObject;
use crate::batch::object::JobRequest;
use crate::batch::object::JobState;
use crate::batch::object::LineFault;
use crate::batch::object::RequestCounts;
use crate::batch::store::BatchStore;
use crate::batch::store::VersionedJob;
use crate::batch::store::WriteError;
use crate::batch::store::cancel_key;
use crate::batch::store::file_key;
use crate::batch::store::open_key;
use crate::batch::store::segment_key;
use crate::batch::store::upload_key;
use crate::batch::stored::FILE_FORMAT;
use crate::batch::stored::FileRecord;
use crate::batch::stored::MARKER_FORMAT;
use crate::batch::stored::OpenMarker;
use crate::batch::stored::UploadMarker;
use crate::batch::stored::encode;
use crate::clock::unix_millis;
use crate::collections::HashMap;
use crate::counters::CounterEvent;
use crate::counters::RetryReason;
use crate::decisions::DecisionKind;
use crate::edges::kv::Expect;
use crate::ids::FileId;
use crate::ids::JobId;
use crate::ids::WorkspaceName;
use crate::ids::random_id;

/// Tries of one cancellation, each after a conflict with a write of the job's owner.
const MAX_CANCEL_ATTEMPTS: u32 = 16;
/// Lifetime of a cancellation hint in the key-value service.
const CANCEL_HINT_TTL: Duration = Duration::from_secs(60);
/// Timeout of a read from the job's owner; after it the key-value service is read.
const OWNER_READ_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest compressed content that is stored inside the file's record, in bytes.
const MAX_INLINE_BYTES: usize = 256 * 1024;
/// Most uploaded files whose records are cached for the job that usually follows; a full cache is
/// cleared.
const MAX_RECENT_FILES: usize = 32;
/// Period in the identifier of a job without an idempotency key, which is a digest of its content
/// and the period. A submission that is sent again in the same period gives the same job, and also
/// one that is sent within [`MIN_DEDUP_MS`] after it, in the next period.
const DEDUP_PERIOD_MS: u64 = 24 * 60 * 60 * 1000;
/// Shortest time for which a repeated submission is recognised by its content, in milliseconds.
const MIN_DEDUP_MS: u64 = 60 * 60 * 1000;
/// Length of the digest in a job's identifier, in bytes.
const JOB_DIGEST_BYTES: usize = 16;
const MS_PER_MINUTE: u64 = 60 * 1000;

/// What a caller sends to create a job.
#[derive(Clone, Debug)]
pub struct JobSubmission {
    /// Input file, endpoint, due time and labels of the job.
    pub request: JobRequest,
    /// Caller's key: a second submission with the same key and content gives the same job, and one
    /// with other content is refused.
    pub idempotency_key: Option<String>,
}

/// Handles caller requests on the files and jobs of all workspaces.
pub struct BatchService {
    coordinator: Arc<BatchCoordinator>,
    recent_files: std::sync::Mutex<HashMap<FileId, FileRecord>>,
}

impl BatchService {
    /// Returns a service that starts and reads jobs by `coordinator`, with an empty file cache.
    pub fn new(coordinator: Arc<BatchCoordinator>) -> Self {
        Self {
            coordinator,
            recent_files: std::sync::Mutex::default(),
        }
    }

    pub(crate) fn store(&self) -> &BatchStore {
        &self.coordinator.dependencies.store
    }

    /// Checks and stores an input file. When this returns, the file is durable. Faults of its lines
    /// are recorded, and fail the jobs that use the file.
    pub async fn create_file(
        &self,
        workspace: &WorkspaceName,
        filename: &str,
        content: &[u8],
    ) -> Result<FileObject, BatchError> {
        let input = check_input(content);
        let file = FileObject {
            id: FileId::new(random_id("file")),
            workspace: workspace.clone(),
            filename: filename.to_owned(),
            purpose: FilePurpose::Batch,
            bytes: content.len() as u64,
            created_at: unix_millis() / 1000,
        };
        let inline = match input.segments.as_slice() {
            [only] if only.value.len() <= MAX_INLINE_BYTES => Some(only.value.clone()),
            _ => None,
        };
        let is_inline = inline.is_some() || input.segments.is_empty();
        let record = FileRecord {
            format: FILE_FORMAT,
            file: file.clone(),
            digest: input.digest,
            segments: input.segments.iter().map(|part| part.segment).collect(),
            inline,
            faults: input.faults,
            urls: input.urls,
        };
        if !is_inline {
            self.begin_upload(&record).await?;
            for (number, part) in input.segments.iter().enumerate() {
                let key = segment_key(&file.id, number as u32);
                self.create_key(&key, part.value.clone()).await?;
            }
        }
        self.create_key(&file_key(workspace, &file.id), encode(&record))
            .await?;
        if !is_inline {
            let key = upload_key(&file.id);
            // If this fails, the sweep deletes the marker.
            let _ = self.store().kv().delete(&key, Expect::Any).await;
        }
        self.cache_file(record);
        Ok(file)
    }

    /// Reads the description of an uploaded or generated file.
    pub async fn file(
        &self,
        workspace: &WorkspaceName,
        id: &FileId,
    ) -> Result<FileObject, BatchError> {
        if let Some(results) = self.result_file(workspace, id).await? {
            return Ok(results);
        }
        Ok(self.file_record(workspace, id).await?.file)
    }

    /// Reads the content of an uploaded or generated file.
    pub async fn file_content(
        &self,
        workspace: &WorkspaceName,
        id: &FileId,
    ) -> Result<Vec<u8>, BatchError> {
        if let Some(content) = self.result_content(workspace, id).await? {
            return Ok(content);
        }
        let record = self.file_record(workspace, id).await?;
        if let Some(inline) = &record.inline {
            return decompress(inline).map_err(BatchError::Damaged);
        }
        let mut content = Vec::with_capacity(record.file.bytes as usize);
        for number in 0..record.segments.len() as u32 {
            let entry = self.store().kv().get(&segment_key(id, number)).await?;
            let missing = || BatchError::Damaged(format!("segment {number} of {id} is missing"));
            let part = decompress(&entry.ok_or_else(missing)?.value);
            content.extend_from_slice(&part.map_err(BatchError::Damaged)?);
        }
        Ok(content)
    }

    /// Accepts a job. When this returns, the job is durable. A submission that any host has
    /// accepted before gives the same job.
    pub async fn create_job(
        &self,
        workspace: &WorkspaceName,
        submission: JobSubmission,
    ) -> Result<JobObject, BatchError> {
        let request = submission.request;
        let window_ms = parse_window(&request.completion_window)?;
        let file = self.file_record(workspace, &request.input_file_id).await?;
        if file.segments.iter().all(|segment| segment.items == 0) {
            let message = "the input file holds no items".to_owned();
            return Err(BatchError::Invalid(message));
        }
        let fingerprint = fingerprint(&file, &request);
        let now_ms = unix_millis();
        let id = match &submission.idempotency_key {
            Some(key) => job_id(workspace, "key", key),
            None => {
                let period = now_ms / DEDUP_PERIOD_MS;
                if now_ms % DEDUP_PERIOD_MS < MIN_DEDUP_MS {
                    let previous = content_job_id(workspace, &fingerprint, period - 1);
                    if let Some(job) = self.recent_job(workspace, &previous, now_ms).await? {
                        return Ok(job);
                    }
                }
                content_job_id(workspace, &fingerprint, period)
            }
        };
        let record = new_record(&file, request, id, fingerprint, now_ms, window_ms);
        self.accept_job(record, &file).await
    }

    /// Reads a job as last committed.
    pub async fn job(
        &self,
        workspace: &WorkspaceName,
        id: &JobId,
    ) -> Result<JobObject, BatchError> {
        Ok(self.job_record(workspace, id).await?.object())
    }

    /// Lists the jobs of a workspace, newest first.
    pub async fn jobs(&self, workspace: &WorkspaceName) -> Result<Vec<JobObject>, BatchError> {
        let jobs = self.store().jobs(workspace).await?.into_iter();
        let mut jobs: Vec<JobRecord> = jobs.map(|job| job.record).collect();
        jobs.sort_by(|a, b| b.created_ms.cmp(&a.created_ms).then(b.id.cmp(&a.id)));
        Ok(jobs.iter().map(JobRecord::object).collect())
    }

    /// Cancels a job and stops its items on all hosts. A job that has ended keeps its state.
    pub async fn cancel(
        &self,
        workspace: &WorkspaceName,
        id: &JobId,
    ) -> Result<JobObject, BatchError> {
        for _ in 0..MAX_CANCEL_ATTEMPTS {
            let Some(VersionedJob { record, version }) = self.store().job(workspace, id).await?
            else {
                return Err(BatchError::NotFound(format!("job {id:?}")));
            };
            let mut next = record.clone();
            match next.cancel(unix_millis()) {
                Ok(()) => {}
                Err(LedgerError::Ended(_)) => return Ok(record.object()),
                Err(err) => return Err(BatchError::Damaged(format!("{err:?}"))),
            }
            match self.store().replace_job(&next, version).await {
                Ok(_) => {
                    self.announce_cancel(&next).await;
                    return Ok(next.object());
                }
                Err(WriteError::Conflict) => {
                    self.coordinator
                        .dependencies
                        .counters
                        .retry(RetryReason::StoreConflict);
                }
                Err(err) => return Err(err.into()),
            }
        }
        Err(BatchError::Unknown(
            "the cancellation was not confirmed".to_owned(),
        ))
    }

    /// Reads a job's record from memory, from its owner, or else from the key-value service. A job
    /// of another workspace is reported as not found.
    pub(crate) async fn job_record(
        &self,
        workspace: &WorkspaceName,
        id: &JobId,
    ) -> Result<JobRecord, BatchError> {
        let known = match self.coordinator.local_record(id) {
            Some(record) => Some(record),
            None => self.read_from_owner(id).await,
        };
        let record = match known {
            Some(record) => record,
            None => {
                let sent_at = Instant::now();
                let job = self.store().job(workspace, id).await?;
                let job = job.ok_or_else(|| BatchError::NotFound(format!("job {id:?}")))?;
                if let Some(run) = self.coordinator.lock().runs.get_mut(id) {
                    run.confirm_version(job.version, sent_at);
                }
                job.record
            }
        };
        if record.state.is_final() {
            self.coordinator.cache_ended_job(&record);
        }
        match record.workspace == *workspace {
            true => Ok(record),
            false => Err(BatchError::NotFound(format!("job {id:?}"))),
        }
    }

    /// Reads a job's record from its owner, or from the host that announced its end, if that is
    /// another host. Returns `None` if the owner is unknown or doesn't reply with a record.
    async fn read_from_owner(&self, id: &JobId) -> Option<JobRecord> {
        let owner = {
            let state = self.coordinator.lock();
            let known = state.open_jobs.get(id);
            let owner = known.and_then(|known| known.announcement.owner.clone());
            owner.or_else(|| state.final_record_hosts.get(id).cloned())?
        };
        if self.coordinator.is_own_host(Some(&owner)) {
            return None;
        }
        let request = BatchRequest::Read { job: id.clone() };
        match self
            .coordinator
            .call(&owner, request, OWNER_READ_TIMEOUT)
            .await?
        {
            BatchReply::Record(record) => Some(*record),
            _ => None,
        }
    }

    /// Writes the marker and then the record of a new job, claimed by this host unless it drains,
    /// and starts to run it.
    async fn accept_job(
        &self,
        mut record: JobRecord,
        file: &FileRecord,
    ) -> Result<JobObject, BatchError> {
        let is_open = !record.state.is_final();
        let claim = match is_open && !self.coordinator.is_draining() {
            true => record
                .claim(
                    &self.coordinator.dependencies.host,
                    self.coordinator.session,
                )
                .ok(),
            false => None,
        };
        if is_open {
            self.put_marker(&record).await?;
        }
        let sent_at = Instant::now();
        match self.store().create_job(&record).await {
            Ok(version) => {
                self.record_acceptance(&record);
                let object = record.object();
                let content = file.inline.as_ref();
                let content = content.and_then(|value| decompress(value).ok());
                if let Some(claim) = claim {
                    let job = VersionedJob { record, version };
                    self.coordinator
                        .start_run(job, claim, sent_at, content.as_deref());
                }
                Ok(object)
            }
            Err(WriteError::Conflict) => self.existing_job(&record).await,
            Err(err) => Err(err.into()),
        }
    }

    /// Returns the existing job with the same identifier, if it was submitted with the same
    /// content.
    async fn existing_job(&self, record: &JobRecord) -> Result<JobObject, BatchError> {
        let existing = self.store().job(&record.workspace, &record.id).await;
        // The job exists, so the submission is accepted even if it can't be read now: the error
        // must not say that nothing was accepted.
        let existing = existing.map_err(|err| BatchError::Unknown(format!("{err:?}")))?;
        let Some(existing) = existing else {
            return Err(BatchError::Unknown("the job has just been removed".into()));
        };
        match existing.record.fingerprint == record.fingerprint {
            true => Ok(existing.record.object()),
            false => Err(BatchError::Invalid(
                "the idempotency key was used for another job".to_owned(),
            )),
        }
    }

    async fn recent_job(
        &self,
        workspace: &WorkspaceName,
        id: &JobId,
        now_ms: u64,
    ) -> Result<Option<JobObject>, BatchError> {
        let job = self.store().job(workspace, id).await?;
        let recent = job.filter(|job| job.record.created_ms + MIN_DEDUP_MS > now_ms);
        Ok(recent.map(|job| job.record.object()))
    }

    async fn put_marker(&self, record: &JobRecord) -> Result<(), BatchError> {
        let marker = OpenMarker {
            format: MARKER_FORMAT,
            workspace: record.workspace.clone(),
            created_ms: record.created_ms,
        };
        let kv = self.store().kv();
        let written = kv
            .put(&open_key(&record.id), encode(&marker), Expect::Any, None)
            .await;
        // A marker without a record is no job, so nothing is accepted even if this write took
        // effect.
        written
            .map(|_| ())
            .map_err(|err| BatchError::Unavailable(err.to_string()))
    }

    fn record_acceptance(&self, record: &JobRecord) {
        let dependencies = &self.coordinator.dependencies;
        dependencies.counters.event(CounterEvent::JobAccepted);
        let detail = match record.faults.len() {
            0 => format!("accepted with {} items", record.counts.total),
            faults => format!("failed for {faults} faults of its input"),
        };
        dependencies
            .decisions
            .record(DecisionKind::Batch, &[record.id.as_str()], detail);
    }

    /// Announces a cancellation to all hosts, and writes a hint to the key-value service for those
    /// that miss the announcement.
    async fn announce_cancel(&self, record: &JobRecord) {
        self.coordinator.close_job(record);
        let kv = self.store().kv();
        if let Ok(lease) = kv.grant_lease(CANCEL_HINT_TTL).await {
            let value = bytes::Bytes::from_static(b"1");
            let key = cancel_key(&record.id);
            // If this fails, the owner still notices the cancellation at its next write.
            let _ = kv.put(&key, value, Expect::Any, Some(lease)).await;
        }
    }

    async fn begin_upload(&self, record: &FileRecord) -> Result<(), BatchError> {
        let marker = UploadMarker {
            format: MARKER_FORMAT,
            workspace: record.file.workspace.clone(),
            segments: record.segments.len() as u32,
            created_ms: unix_millis(),
        };
        self.create_key(&upload_key(&record.file.id), encode(&marker))
            .await
    }

    /// Writes a key that no other call writes. The caller learns the file's identifier only when
    /// the upload has succeeded, so any failure counts as nothing accepted.
    async fn create_key(&self, key: &str, value: bytes::Bytes) -> Result<(), BatchError> {
        let written = self.store().write(key, value, Expect::Absent).await;
        written.map(|_| ()).map_err(|err| match err {
            WriteError::Conflict => BatchError::Unavailable("the key exists".to_owned()),
            WriteError::Unavailable(cause) | WriteError::Unknown(cause) => {
                BatchError::Unavailable(cause)
            }
        })
    }

    async fn file_record(
        &self,
        workspace: &WorkspaceName,
        id: &FileId,
    ) -> Result<FileRecord, BatchError> {
        let recent = self
            .recent_files
            .lock()
            .expect("recent files lock")
            .get(id)
            .cloned();
        match recent.filter(|record| record.file.workspace == *workspace) {
            Some(record) => Ok(record),
            None => self.store().file(workspace, id).await,
        }
    }

    fn cache_file(&self, record: FileRecord) {
        let mut recent = self.recent_files.lock().expect("recent files lock");
        if recent.len() >= MAX_RECENT_FILES {
            recent.clear();
        }
        recent.insert(record.file.id.clone(), record);
    }
}

fn new_record(
    file: &FileRecord,
    request: JobRequest,
    id: JobId,
    fingerprint: String,
    now_ms: u64,
    window_ms: u64,
) -> JobRecord {
    let mut faults = file.faults.clone();
    let endpoint = request.endpoint.path();
    let mismatched = file.urls.iter().filter(|(url, _)| *url != endpoint);
    faults.extend(mismatched.map(|(url, line)| LineFault {
        line: Some(*line),
        code: "mismatched_url".to_owned(),
        message: format!("{url:?} is not the job's endpoint {endpoint:?}"),
    }));
    let has_failed = !faults.is_empty();
    JobRecord {
        format: JOB_FORMAT,
        id,
        workspace: file.file.workspace.clone(),
        request,
        fingerprint,
        created_ms: now_ms,
        expires_ms: now_ms + window_ms,
        open_ms: 0,
        ended_ms: has_failed.then_some(now_ms),
        state: match has_failed {
            true => JobState::Failed,
            false => JobState::InProgress,
        },
        claim: None,
        epoch: 0,
        writes: 0,
        segments: file.segments.clone(),
        inline_input: file.inline.is_some(),
        counts: RequestCounts {
            total: file.segments.iter().map(|segment| segment.items).sum(),
            ..RequestCounts::default()
        },
        output_bytes: 0,
        error_bytes: 0,
        done: ItemSet::new(),
        packs: Vec::new(),
        attempts: std::collections::BTreeMap::new(),
        faults,
    }
}

/// Digest of a job's input file, endpoint, completion window and metadata.
fn fingerprint(file: &FileRecord, request: &JobRequest) -> String {
    let mut hash = Sha256::new();
    let metadata = serde_json::to_string(&request.metadata).unwrap_or_default();
    for part in [
        file.digest.as_str(),
        request.endpoint.path(),
        &request.completion_window,
        &metadata,
    ] {
        hash.update(part.as_bytes());
        hash.update([0]);
    }
    hex::encode(hash.finalize())
}

fn content_job_id(workspace: &WorkspaceName, fingerprint: &str, period: u64) -> JobId {
    job_id(workspace, "content", &format!("{fingerprint} {period}"))
}

fn job_id(workspace: &WorkspaceName, kind: &str, name: &str) -> JobId {
    let mut hash = Sha256::new();
    for part in [workspace.as_str(), kind, name] {
        hash.update(part.as_bytes());
        hash.update([0]);
    }
    let digest = hash.finalize();
    JobId::new(format!(
        "batch_{}",
        hex::encode(&digest[..JOB_DIGEST_BYTES])
    ))
}

/// Parses a completion window such as `24h`, `90m` or `7d` into milliseconds; from one minute to 30
/// days.
fn parse_window(text: &str) -> Result<u64, BatchError> {
    let invalid = || {
        let message = format!("completion_window {text:?} is not a number with m, h or d");
        BatchError::Invalid(message)
    };
    let unit = text.chars().last().ok_or_else(invalid)?;
    let minutes = match unit {
        'm' => 1,
        'h' => 60,
        'd' => 24 * 60,
        _ => return Err(invalid()),
    };
    let number: u64 = text[..text.len() - 1].parse().map_err(|_| invalid())?;
    match (1..=30 * 24 * 60).contains(&number.saturating_mul(minutes)) {
        true => Ok(number * minutes * MS_PER_MINUTE),
        false => Err(invalid()),
    }
}
