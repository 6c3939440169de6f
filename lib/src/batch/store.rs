//! Files, jobs, packs and markers in the key-value service.
//!
//! | Key | Value |
//! | --- | --- |
//! | `files/{workspace}/{file}` | a file's record, with its content if that is small |
//! | `segments/{file}/{number}` | a segment of the input |
//! | `uploads/{file}` | marker of an upload in progress |
//! | `jobs/{workspace}/{job}` | a job's record |
//! | `open/{job}` | marker of a job that may be open |
//! | `packs/{job}/{epoch}-{number}` | a pack of results |
//! | `cancels/{job}` | hint that the job was cancelled |
//! | `batch/retention` | counted time, by which ended jobs are removed |

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;

use crate::batch::input::decompress;
use crate::batch::ledger::JobRecord;
use crate::batch::ledger::PackRef;
use crate::batch::object::BatchError;
use crate::batch::stored::FILE_FORMAT;
use crate::batch::stored::FileRecord;
use crate::batch::stored::ItemResult;
use crate::batch::stored::decode;
use crate::batch::stored::decode_job;
use crate::batch::stored::decode_pack;
use crate::batch::stored::encode;
use crate::edges::kv::Expect;
use crate::edges::kv::KvError;
use crate::edges::kv::KvStore;
use crate::edges::kv::KvVersion;
use crate::ids::FileId;
use crate::ids::JobId;
use crate::ids::WorkspaceName;

/// Prefix of the markers of open jobs.
pub(crate) const OPEN_PREFIX: &str = "open/";
/// Prefix of the markers of uploads.
pub(crate) const UPLOADS_PREFIX: &str = "uploads/";
/// Prefix of the hints of cancellations.
pub(crate) const CANCELS_PREFIX: &str = "cancels/";

/// Entries per page of small values.
pub(crate) const PAGE_LIMIT: usize = 500;
/// Entries per page of job records.
const JOB_PAGE_LIMIT: usize = 100;
/// Tries of one write, each with a read to resolve an unknown outcome.
const MAX_WRITE_ATTEMPTS: u32 = 6;
/// Pause after the first try of a write, before jitter; doubles with each further one.
const MIN_RESOLVE_BACKOFF: Duration = Duration::from_millis(50);

/// A job's record with the version at which it was read or written.
#[derive(Clone, Debug)]
pub struct VersionedJob {
    /// Record of the job.
    pub record: JobRecord,
    /// Version of the record in the key-value service.
    pub version: KvVersion,
}

/// Why a write had no effect, or none that is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteError {
    /// The condition on the key's version didn't hold; nothing was written.
    Conflict,
    /// The service rejected the write or was unreachable; nothing was written.
    Unavailable(String),
    /// The write may have taken effect, or may do so later.
    Unknown(String),
}

/// Reads and writes files, jobs and results in the key-value service.
#[derive(Clone)]
pub struct BatchStore {
    kv: Arc<dyn KvStore>,
}

impl BatchStore {
    /// Returns a store that keeps its objects in `kv`.
    pub fn new(kv: Arc<dyn KvStore>) -> Self {
        Self { kv }
    }

    pub(crate) fn kv(&self) -> &Arc<dyn KvStore> {
        &self.kv
    }

    /// Writes `value` if `expect` holds. If the answer is lost, reads the key to resolve the
    /// outcome: if it holds `value`, this call has written it.
    ///
    /// No two writers may write the same value under the same condition, or each would take the
    /// other's write for its own.
    pub(crate) async fn write(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
    ) -> Result<KvVersion, WriteError> {
        let mut pause = MIN_RESOLVE_BACKOFF;
        let mut unknown_cause = None;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            match self.kv.put(key, value.clone(), expect, None).await {
                Ok(version) => return Ok(version),
                Err(KvError::Unknown(cause)) => unknown_cause = Some(cause),
                Err(KvError::Conflict { .. }) if unknown_cause.is_some() => {}
                Err(KvError::Conflict { .. }) => return Err(WriteError::Conflict),
                Err(err) if unknown_cause.is_none() => {
                    return Err(WriteError::Unavailable(err.to_string()));
                }
                Err(_) => {}
            }
            match self.kv.get(key).await {
                Ok(Some(entry)) if entry.value == value => return Ok(entry.version),
                Ok(Some(entry)) if expect != Expect::Version(entry.version) => {
                    return Err(WriteError::Conflict);
                }
                Ok(None) if matches!(expect, Expect::Version(_)) => {
                    return Err(WriteError::Conflict);
                }
                _ => {}
            }
            tokio::time::sleep(jittered(pause)).await;
            pause *= 2;
        }
        Err(WriteError::Unknown(unknown_cause.unwrap_or_default()))
    }

    /// Creates a job's record. Fails with [`WriteError::Conflict`] if the job exists.
    pub async fn create_job(&self, job: &JobRecord) -> Result<KvVersion, WriteError> {
        let key = job_key(&job.workspace, &job.id);
        self.write(&key, encode(job), Expect::Absent).await
    }

    /// Replaces a job's record if it still has `version`; fails with [`WriteError::Conflict`] if
    /// not.
    pub async fn replace_job(
        &self,
        job: &JobRecord,
        version: KvVersion,
    ) -> Result<KvVersion, WriteError> {
        let key = job_key(&job.workspace, &job.id);
        self.write(&key, encode(job), Expect::Version(version))
            .await
    }

    /// Reads a job's record; `None` if there is none. Fails with [`BatchError::Format`] for a
    /// record of another release's format.
    pub async fn job(
        &self,
        workspace: &WorkspaceName,
        id: &JobId,
    ) -> Result<Option<VersionedJob>, BatchError> {
        let Some(entry) = self.kv.get(&job_key(workspace, id)).await? else {
            return Ok(None);
        };
        Ok(Some(VersionedJob {
            record: decode_job(&entry.value)?,
            version: entry.version,
        }))
    }

    /// Lists the jobs of a workspace in key order.
    pub(crate) async fn jobs(
        &self,
        workspace: &WorkspaceName,
    ) -> Result<Vec<VersionedJob>, BatchError> {
        let mut jobs = Vec::new();
        let prefix = format!("jobs/{workspace}/");
        let mut after: Option<String> = None;
        loop {
            let page = self
                .kv
                .list(&prefix, after.as_deref(), JOB_PAGE_LIMIT)
                .await?;
            for entry in &page.entries {
                jobs.push(VersionedJob {
                    record: decode_job(&entry.value)?,
                    version: entry.version,
                });
            }
            match page.entries.last() {
                Some(last) if page.more => after = Some(last.key.clone()),
                _ => return Ok(jobs),
            }
        }
    }

    /// Reads a file's record.
    pub(crate) async fn file(
        &self,
        workspace: &WorkspaceName,
        id: &FileId,
    ) -> Result<FileRecord, BatchError> {
        let entry = self.kv.get(&file_key(workspace, id)).await?;
        let entry = entry.ok_or_else(|| BatchError::NotFound(format!("file {id:?}")))?;
        decode(&entry.value, FILE_FORMAT)
    }

    /// Reads and decompresses one segment of a job's input.
    pub(crate) async fn segment(
        &self,
        job: &JobRecord,
        number: u32,
    ) -> Result<Vec<u8>, BatchError> {
        let file = &job.request.input_file_id;
        let value = match job.inline_input {
            true => self.file(&job.workspace, file).await?.inline,
            false => {
                let entry = self.kv.get(&segment_key(file, number)).await?;
                entry.map(|entry| entry.value)
            }
        };
        let missing = || BatchError::Damaged(format!("segment {number} of {file} is missing"));
        decompress(&value.ok_or_else(missing)?).map_err(BatchError::Damaged)
    }

    /// Reads the results of one pack.
    pub(crate) async fn pack(
        &self,
        job: &JobId,
        pack: &PackRef,
    ) -> Result<Vec<ItemResult>, BatchError> {
        let key = pack_key(job, pack.epoch, pack.number);
        let entry = self.kv.get(&key).await?;
        let missing = || BatchError::Damaged(format!("pack {key} is missing"));
        decode_pack(&entry.ok_or_else(missing)?.value)
    }
}

impl From<KvError> for BatchError {
    fn from(err: KvError) -> Self {
        match err {
            KvError::Unknown(cause) => Self::Unknown(cause),
            err => Self::Unavailable(err.to_string()),
        }
    }
}

impl From<WriteError> for BatchError {
    fn from(err: WriteError) -> Self {
        match err {
            WriteError::Conflict => Self::Unknown("another write came first".to_owned()),
            WriteError::Unavailable(cause) => Self::Unavailable(cause),
            WriteError::Unknown(cause) => Self::Unknown(cause),
        }
    }
}

/// Returns a random duration between half of `pause` and all of it, so that hosts that failed
/// together don't retry together.
pub(crate) fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(0.5 + rand::random::<f64>() / 2.0)
}

pub(crate) fn file_key(workspace: &WorkspaceName, id: &FileId) -> String {
    format!("files/{workspace}/{id}")
}

pub(crate) fn segment_key(id: &FileId, number: u32) -> String {
    format!("segments/{id}/{number:06}")
}

pub(crate) fn upload_key(id: &FileId) -> String {
    format!("{UPLOADS_PREFIX}{id}")
}

pub(crate) fn job_key(workspace: &WorkspaceName, id: &JobId) -> String {
    format!("jobs/{workspace}/{id}")
}

pub(crate) fn open_key(id: &JobId) -> String {
    format!("{OPEN_PREFIX}{id}")
}

pub(crate) fn cancel_key(id: &JobId) -> String {
    format!("{CANCELS_PREFIX}{id}")
}

pub(crate) fn pack_key(id: &JobId, epoch: u64, number: u32) -> String {
    format!("packs/{id}/{epoch:08}-{number:06}")
}
