//! The job record and its transitions, without any input or output.
//!
//! A record is replaced only by compare-and-swap on its version. A transition also checks the
//! holder's claim against the record that it replaces. A write by a holder that has lost its claim
//! thus fails at the claim, if its copy of the record is current, or else at the version.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::batch::item_set::ItemSet;
use crate::batch::object::JobObject;
use crate::batch::object::JobRequest;
use crate::batch::object::JobState;
use crate::batch::object::LineFault;
use crate::batch::object::RequestCounts;
use crate::ids::FileId;
use crate::ids::HostId;
use crate::ids::JobId;
use crate::ids::WorkspaceName;

/// Version of the stored job format.
pub const JOB_FORMAT: u32 = 2;

/// Claim on a job: the process that owns the job, and the epoch of the claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobHolder {
    /// Host that owns the job.
    pub host: HostId,
    /// Random number of the host's process; a restarted host has another one.
    pub session: u64,
    /// Fencing token: number of this claim on the job; grows with each new claim.
    pub epoch: u64,
}

/// Reference to a stored segment of a job's input.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentRef {
    /// Number of items in the segment.
    pub items: u64,
    /// Size of the content in bytes, uncompressed.
    pub bytes: u64,
}

/// Reference to a stored pack of results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PackRef {
    /// Epoch of the claim that wrote the pack.
    pub epoch: u64,
    /// Number of the pack; unique within the epoch.
    pub number: u32,
    /// Number of results in the pack.
    pub items: u32,
    /// Lowest item number.
    pub first: u64,
    /// Highest item number.
    pub last: u64,
}

/// Results of one pack that a transition commits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PackCommit {
    /// Pack that holds the results.
    pub pack: PackRef,
    /// Numbers of the items that ended with an answer.
    pub completed: Vec<u64>,
    /// Numbers of the items that ended with an error.
    pub failed: Vec<u64>,
    /// Size of the answers in the output file, in bytes.
    pub output_bytes: u64,
    /// Size of the errors in the error file, in bytes.
    pub error_bytes: u64,
}

/// Why a transition was refused. The record is unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerError {
    /// The job has ended.
    Ended(JobState),
    /// The caller does not hold the claim, or holds an older one.
    NotHolder,
    /// The item already has a result.
    AlreadyDone(u64),
    /// The job has no such item.
    UnknownItem(u64),
}

/// Stored record of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Version of the stored format.
    pub format: u32,
    /// Identifier of the job.
    pub id: JobId,
    /// Workspace that owns it.
    pub workspace: WorkspaceName,
    /// Request that created the job.
    pub request: JobRequest,
    /// Digest of the input and the request. Tells a repeated submission from a different one under
    /// the same idempotency key.
    pub fingerprint: String,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    pub created_ms: u64,
    /// When the job is due, in milliseconds since the Unix epoch, by the clock that `created_ms` is of.
    pub expires_ms: u64,
    /// Time for which owners had the job open until this write, in milliseconds, by their monotonic clocks.
    /// The job is due once that is the time from `created_ms` to `expires_ms`. Owners of the earlier
    /// release count none.
    #[serde(default)]
    pub open_ms: u64,
    /// When the state became final, in milliseconds since the Unix epoch.
    pub ended_ms: Option<u64>,
    /// State of the job.
    pub state: JobState,
    /// Claim of the owner; absent if the job was released or has ended.
    pub claim: Option<JobHolder>,
    /// Epoch of the newest claim.
    pub epoch: u64,
    /// Number of transitions so far. Makes each record differ from the one before, so that a writer
    /// can recognise its own write.
    pub writes: u64,
    /// Segments of the input in item order.
    pub segments: Vec<SegmentRef>,
    /// Whether the input is stored inside the file's record.
    pub inline_input: bool,
    /// Numbers of items.
    pub counts: RequestCounts,
    /// Size of the output file in bytes.
    pub output_bytes: u64,
    /// Size of the error file in bytes.
    pub error_bytes: u64,
    /// Items that have a result.
    pub done: ItemSet,
    /// Packs of results in the order of their commits.
    pub packs: Vec<PackRef>,
    /// Numbers of failed attempts by item, for items without a result.
    pub attempts: BTreeMap<u64, u32>,
    /// Faults of the input, when the job failed for them.
    pub faults: Vec<LineFault>,
}

impl JobRecord {
    /// Claims the job for a new holder, with a new epoch. Once the record is stored, writes of the
    /// former holder fail.
    pub fn claim(&mut self, host: &HostId, session: u64) -> Result<JobHolder, LedgerError> {
        self.check_open()?;
        self.epoch += 1;
        self.writes += 1;
        let claim = JobHolder {
            host: host.clone(),
            session,
            epoch: self.epoch,
        };
        self.claim = Some(claim.clone());
        Ok(claim)
    }

    /// Commits the results of one pack, and completes the job if no item is left.
    pub fn commit(
        &mut self,
        holder: &JobHolder,
        commit: &PackCommit,
        now_ms: u64,
    ) -> Result<(), LedgerError> {
        self.check_holder(holder)?;
        let mut done = self.done.clone();
        for item in commit.completed.iter().chain(&commit.failed) {
            if *item >= self.counts.total {
                return Err(LedgerError::UnknownItem(*item));
            }
            if !done.insert(*item) {
                return Err(LedgerError::AlreadyDone(*item));
            }
        }
        for item in commit.completed.iter().chain(&commit.failed) {
            self.attempts.remove(item);
        }
        self.done = done;
        self.counts.completed += commit.completed.len() as u64;
        self.counts.failed += commit.failed.len() as u64;
        self.output_bytes += commit.output_bytes;
        self.error_bytes += commit.error_bytes;
        self.packs.push(commit.pack);
        self.writes += 1;
        if self.done.len() == self.counts.total {
            self.end(JobState::Completed, now_ms);
        }
        Ok(())
    }

    /// Writes a heartbeat of the holder, with the failed attempts of unfinished items.
    pub fn heartbeat(
        &mut self,
        holder: &JobHolder,
        attempts: BTreeMap<u64, u32>,
    ) -> Result<(), LedgerError> {
        self.check_holder(holder)?;
        self.attempts = attempts;
        self.writes += 1;
        Ok(())
    }

    /// Releases the claim, so that another host can claim the job without waiting for it to lapse.
    pub fn release(&mut self, holder: &JobHolder) -> Result<(), LedgerError> {
        self.check_holder(holder)?;
        self.claim = None;
        self.writes += 1;
        Ok(())
    }

    /// Cancels the job, whoever owns it; committed results stay.
    pub fn cancel(&mut self, now_ms: u64) -> Result<(), LedgerError> {
        self.check_open()?;
        self.writes += 1;
        self.end(JobState::Cancelled, now_ms);
        Ok(())
    }

    /// The job as callers see it.
    pub fn object(&self) -> JobObject {
        let has_files = self.state.is_final() && self.state != JobState::Failed;
        let file = |kind: ResultKind, count: u64| {
            (has_files && count > 0).then(|| result_file_id(&self.id, kind))
        };
        JobObject {
            id: self.id.clone(),
            workspace: self.workspace.clone(),
            request: self.request.clone(),
            state: self.state,
            counts: self.counts,
            output_file_id: file(ResultKind::Output, self.counts.completed),
            error_file_id: file(ResultKind::Errors, self.counts.failed),
            faults: self.faults.clone(),
            created_at: self.created_ms / 1000,
            expires_at: self.expires_ms / 1000,
            ended_at: self.ended_ms.map(|ended| ended / 1000),
        }
    }

    fn end(&mut self, state: JobState, now_ms: u64) {
        self.state = state;
        self.ended_ms = Some(now_ms);
        self.claim = None;
        self.attempts.clear();
    }

    fn check_open(&self) -> Result<(), LedgerError> {
        match self.state.is_final() {
            true => Err(LedgerError::Ended(self.state)),
            false => Ok(()),
        }
    }

    fn check_holder(&self, holder: &JobHolder) -> Result<(), LedgerError> {
        self.check_open()?;
        match self.claim.as_ref() == Some(holder) {
            true => Ok(()),
            false => Err(LedgerError::NotHolder),
        }
    }
}

/// Kind of results that a generated file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum ResultKind {
    /// Items that ended with an answer.
    Output,
    /// Items that ended with an error.
    Errors,
}

/// Identifier of a generated file of a job. The file isn't stored: its content is read from the
/// job's packs.
pub(crate) fn result_file_id(job: &JobId, kind: ResultKind) -> FileId {
    FileId::new(format!("file_{job}_{kind}"))
}

/// Parses the identifier of a generated file; `None` if it is that of an uploaded file.
pub(crate) fn parse_result_file_id(id: &FileId) -> Option<(JobId, ResultKind)> {
    use strum::IntoEnumIterator;
    let name = id.as_str().strip_prefix("file_batch_")?;
    ResultKind::iter().find_map(|kind| {
        let digest = name.strip_suffix(&format!("_{kind}"))?;
        Some((JobId::new(format!("batch_{digest}")), kind))
    })
}
