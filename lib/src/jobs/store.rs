//! Storage of jobs in the key-value service.
//!
//! Keys of job `J`:
//!
//! - `spec/J/P`: part `P` of the encoded specification with all items
//! - `job/J/info`: summary
//! - `job/J/seg/S`: segment `S` of the results, written once
//! - `job/J/end`: marks a job that was ended; holds the owner that this displaced
//! - `open/J`: exists until all results are committed or the job is ended
//! - `open/J/owner`: current owner, bound to the owner's lease
//! - `closed/J`: time at which the job was closed, by the clock of the host that closed it and only for
//!   display; exists until all of its keys are removed

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::steady_unix_millis;
use crate::collections::HashMap;
use crate::edges::kv::Freshness;
use crate::edges::kv::KvCommit;
use crate::edges::kv::KvEntry;
use crate::edges::kv::KvError;
use crate::edges::kv::KvPut;
use crate::edges::kv::KvStore;
use crate::edges::kv::KvVersion;
use crate::edges::kv::LeaseId;
use crate::edges::kv::MAX_VALUE_BYTES;
use crate::edges::kv::list_all;
use crate::edges::kv::list_pages;
use crate::edges::kv_calls::CallPurpose;
use crate::edges::kv_calls::kv_for;
use crate::ids::WorkspaceName;
use crate::jobs::acceptance::JobAcceptance;
use crate::jobs::message::KnownOwner;
use crate::jobs::segments::ResultSegment;
use crate::jobs::spec::JobSpec;
use crate::jobs::spec::decode;
use crate::jobs::spec::encode;
use crate::jobs::table::SegmentWrite;
use crate::registry::HostEntry;
use crate::registry::HostProcess;
use crate::registry::HostReadiness;
use crate::registry::NameFence;

/// Size in bytes of one part of an encoded specification; leaves room below the limit for a value.
const PART_BYTES: usize = MAX_VALUE_BYTES * 3 / 4;
/// Size limit in bytes of the item output in one segment; leaves room for the encoding.
pub(crate) const SEGMENT_BYTES: usize = MAX_VALUE_BYTES / 2;
/// Number of conditions, writes and deletions that the key-value service accepts in one commit.
const MAX_COMMIT_ENTRIES: usize = 32;
/// Entries of a commit that release one job: a condition and a deletion.
const ENTRIES_PER_RELEASE: usize = 2;
/// Maximum number of parts of a job. A job is created in one commit, in which the key-value service
/// allows 32 keys, the other keys of the job included. Also the number of keys in one commit of a
/// removal.
const MAX_PARTS: usize = 24;

/// Process that owns a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct JobOwner {
    /// Name of the host.
    pub host: String,
    /// Incarnation of the host's process; distinguishes it from earlier processes of the host.
    pub incarnation: u64,
    /// Random number of the process; 0 from an earlier release.
    #[serde(default)]
    pub process: u64,
    /// Address of the host for other hosts, which may not have it in their lists yet; `None` from an
    /// earlier release.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
}

impl PartialEq for JobOwner {
    fn eq(&self, other: &Self) -> bool {
        self.host == other.host && self.process_id().is_same(other.process_id())
    }
}

impl From<KnownOwner> for JobOwner {
    fn from(known: KnownOwner) -> Self {
        Self {
            host: known.host,
            incarnation: known.incarnation,
            process: known.process,
            peers: known.peers,
        }
    }
}

impl JobOwner {
    fn process_id(&self) -> HostProcess {
        HostProcess {
            incarnation: self.incarnation,
            process: self.process,
        }
    }

    /// This owner as one that the owner key had at `version`, for another host.
    pub(crate) fn known_at(self, version: KvVersion) -> KnownOwner {
        KnownOwner {
            host: self.host,
            incarnation: self.incarnation,
            process: self.process,
            peers: self.peers,
            version: version.0,
        }
    }

    /// Entry by which another host reaches the owner; `None` if its address is not known.
    pub(crate) fn entry(&self) -> Option<HostEntry> {
        Some(HostEntry {
            host: self.host.clone(),
            incarnation: self.incarnation,
            process: self.process,
            lease: None,
            replaced: Vec::new(),
            data_centre: String::new(),
            callers: None,
            peers: self.peers?,
            state: HostReadiness::Ready,
        })
    }
}

/// Summary of a job, readable without its items.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct JobInfo {
    pub(crate) total: usize,
    pub(crate) submitted_ms: u64,
    pub(crate) parts: usize,
    /// Host name that the job was submitted to; `None` in jobs of an earlier release.
    #[serde(default)]
    pub(crate) host: Option<String>,
    /// Workspace that the job was accepted for; `None` if it needs no key, and in jobs of an earlier
    /// release.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) workspace: Option<WorkspaceName>,
    /// Host that stored the job as its first owner; `None` in jobs of an earlier release, and in jobs that
    /// were stored without an owner.
    #[serde(default)]
    pub(crate) first_owner: Option<JobOwner>,
}

/// An open job with the versions of its `open` and owner keys.
#[derive(Clone, Debug)]
pub(crate) struct OpenJob {
    pub(crate) id: String,
    pub(crate) version: KvVersion,
    pub(crate) owner: Option<(JobOwner, KvVersion)>,
}

/// All open jobs as of a revision of the key-value service.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenJobListing {
    pub(crate) jobs: Vec<OpenJob>,
    pub(crate) revision: KvVersion,
}

/// All closed jobs that are not removed yet, as of a revision of the key-value service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClosedJobListing {
    /// Identifiers, and the versions of the `closed` keys.
    pub(crate) jobs: Vec<(String, KvVersion)>,
    pub(crate) revision: KvVersion,
}

/// Stored state of a job except for its items.
#[derive(Clone, Debug)]
pub(crate) struct StoredJob {
    pub(crate) info: JobInfo,
    pub(crate) segments: Vec<ResultSegment>,
    pub(crate) is_ended: bool,
    /// Owner that the end has displaced; `None` without one, and if a host of an earlier release has stored
    /// the end.
    pub(crate) displaced: Option<JobOwner>,
    /// Revision of the key-value service at which the state was read.
    pub(crate) revision: KvVersion,
}

impl StoredJob {
    /// Number of results in all segments.
    pub(crate) fn result_count(&self) -> usize {
        let segments = self.segments.iter();
        segments.map(|segment| segment.results.len()).sum()
    }
}

/// A host's claim on an open job: the versions of the `open` and owner keys that its writes are
/// conditional on, as fencing tokens, and the lease that the owner key is bound to.
#[derive(Clone, Debug)]
pub(crate) struct JobClaim {
    pub(crate) open_version: KvVersion,
    pub(crate) owner_version: Option<KvVersion>,
    pub(crate) lease: Option<LeaseId>,
}

impl JobClaim {
    /// Version by which the claim is newer or older than another one of the same job.
    pub(crate) fn version(&self) -> KvVersion {
        self.owner_version.unwrap_or(self.open_version)
    }
}

/// Reads and writes jobs in the key-value service.
#[derive(Clone)]
pub struct JobStore {
    kv: Arc<dyn KvStore>,
}

impl JobStore {
    /// Creates a store on top of `kv`.
    pub fn new(kv: Arc<dyn KvStore>) -> Self {
        Self { kv }
    }

    fn kv(&self, purpose: CallPurpose) -> Arc<dyn KvStore> {
        kv_for(&self.kv, purpose)
    }

    /// Stores a new job in one commit, with `owner` as its owner if there is a lease, and without
    /// an owner otherwise.
    ///
    /// Fails with [`KvError::Conflict`] if a job with this identifier is stored already, and with
    /// [`KvError::TooLarge`] if it has more than `MAX_PARTS` parts.
    pub(crate) async fn create(
        &self,
        spec: &JobSpec,
        owner: &JobOwner,
        lease: Option<LeaseId>,
    ) -> Result<JobClaim, KvError> {
        let bytes = encode(spec);
        let parts: Vec<Bytes> = split_parts(&bytes);
        if parts.len() > MAX_PARTS {
            return Err(KvError::TooLarge);
        }
        let info = JobInfo {
            total: spec.items.len(),
            submitted_ms: spec.submitted_ms,
            parts: parts.len(),
            host: Some(spec.host.clone()),
            workspace: spec.workspace.clone(),
            first_owner: lease.map(|_| owner.clone()),
        };
        let info_key = info_key(&spec.id);
        let mut commit = KvCommit {
            expect: vec![(info_key.clone(), None)],
            ..KvCommit::default()
        };
        commit.puts.push(put_without_lease(info_key, encode(&info)));
        commit
            .puts
            .push(put_without_lease(open_key(&spec.id), Bytes::new()));
        for (number, part) in parts.into_iter().enumerate() {
            commit
                .puts
                .push(put_without_lease(part_key(&spec.id, number), part));
        }
        if let Some(lease) = lease {
            commit.puts.push(KvPut {
                key: owner_key(&spec.id),
                value: encode(owner),
                lease: Some(lease),
            });
        }
        let version = self.kv(CallPurpose::JobCreation).commit(commit).await?;
        Ok(JobClaim {
            open_version: version,
            owner_version: lease.map(|_| version),
            lease,
        })
    }

    /// Claims an open job that has no owner, or is owned by an earlier process of this host. Fails
    /// with [`KvError::Conflict`] if the job or its owner has changed since `job` was read, or if
    /// another process has replaced the entry of the host that `fence` names.
    pub(crate) async fn claim(
        &self,
        job: &OpenJob,
        owner: &JobOwner,
        lease: LeaseId,
        fence: NameFence,
    ) -> Result<JobClaim, KvError> {
        let key = owner_key(&job.id);
        let before = job.owner.as_ref().map(|(_, version)| *version);
        let commit = KvCommit {
            expect: vec![
                (open_key(&job.id), Some(job.version)),
                (key.clone(), before),
                (fence.key, Some(fence.version)),
            ],
            puts: vec![KvPut {
                key,
                value: encode(owner),
                lease: Some(lease),
            }],
            deletes: Vec::new(),
        };
        let version = self.kv(CallPurpose::JobClaim).commit(commit).await?;
        Ok(JobClaim {
            open_version: job.version,
            owner_version: Some(version),
            lease: Some(lease),
        })
    }

    /// Deletes the owner keys of claimed jobs, so that other hosts can claim them without waiting for the
    /// lease to expire. Returns the jobs that are released; the others have another owner by now, or may
    /// be released later.
    ///
    /// Each deletion is conditional on the claim, as it may take effect late, after another host has
    /// claimed the job.
    pub(crate) async fn release(&self, claims: &[(String, JobClaim)]) -> Vec<String> {
        let together = claims.chunks(MAX_COMMIT_ENTRIES / ENTRIES_PER_RELEASE);
        let released = together.map(|claims| self.release_some(claims));
        let released = futures_util::future::join_all(released).await;
        released.into_iter().flatten().collect()
    }

    async fn release_some(&self, claims: &[(String, JobClaim)]) -> Vec<String> {
        match self.release_together(claims).await {
            Ok(jobs) => jobs,
            // A job that another host has claimed must not keep the others from being released.
            Err(KvError::Conflict { .. }) if claims.len() > 1 => {
                let each = claims.chunks(1).map(|claims| self.release_together(claims));
                let released = futures_util::future::join_all(each).await;
                released.into_iter().flatten().flatten().collect()
            }
            Err(_) => Vec::new(),
        }
    }

    /// Releases all of these jobs, or none of them.
    async fn release_together(
        &self,
        claims: &[(String, JobClaim)],
    ) -> Result<Vec<String>, KvError> {
        let mut commit = KvCommit::default();
        for (id, claim) in claims {
            // A claim without an owner key leaves none to delete.
            if let Some(version) = claim.owner_version {
                commit.expect.push((owner_key(id), Some(version)));
                commit.deletes.push(owner_key(id));
            }
        }
        if !commit.deletes.is_empty() {
            self.kv(CallPurpose::JobClaim).commit(commit).await?;
        }
        Ok(claims.iter().map(|(id, _)| id.clone()).collect())
    }

    /// Writes a segment after those that it is based on, and returns its version. The last segment also
    /// closes the job; a write without results only does that.
    ///
    /// Fails with [`KvError::Conflict`] if the segment exists already, the segment before is another one,
    /// the claim is no longer valid, or the job was ended. So no segment is written by a host that does not
    /// know all segments before.
    pub(crate) async fn append(&self, segment_write: &SegmentWrite) -> Result<KvVersion, KvError> {
        let id = &segment_write.job;
        let claim = &segment_write.claim;
        let number = segment_write.number;
        let key = segment_key(id, number);
        let mut commit = KvCommit {
            expect: vec![
                (key.clone(), None),
                (open_key(id), Some(claim.open_version)),
                (owner_key(id), claim.owner_version),
            ],
            ..KvCommit::default()
        };
        if let Some(before) = number.checked_sub(1) {
            let previous = (segment_key(id, before), segment_write.previous);
            commit.expect.push(previous);
        }
        if !segment_write.results.is_empty() {
            let value = encode(&segment_write.results);
            commit.puts.push(put_without_lease(key, value));
        }
        if segment_write.is_last {
            commit.puts.push(put_closed(id));
            commit.deletes = vec![open_key(id), owner_key(id)];
        }
        self.kv(CallPurpose::JobCommit).commit(commit).await
    }

    /// Ends and closes a job that was read as `open`, or as not open any more. Deleting its `open` key makes
    /// later segment writes and claims fail. Returns the version at which it is closed.
    ///
    /// Fails with [`KvError::Conflict`] if the job or its owner has changed since it was read, so that the owner
    /// in `open` is the one that is displaced. It is stored with the end.
    pub(crate) async fn end(&self, id: &str, open: Option<&OpenJob>) -> Result<KvVersion, KvError> {
        let owner = open.and_then(|open| open.owner.as_ref());
        let displaced = owner.map_or_else(Bytes::new, |(owner, _)| encode(owner));
        let commit = KvCommit {
            expect: vec![
                (open_key(id), open.map(|open| open.version)),
                (owner_key(id), owner.map(|(_, version)| *version)),
            ],
            puts: vec![put_without_lease(end_key(id), displaced), put_closed(id)],
            deletes: vec![open_key(id), owner_key(id)],
        };
        self.kv(CallPurpose::JobEnd).commit(commit).await
    }

    /// Lists all open jobs, possibly as of some seconds ago (a stale read).
    pub(crate) async fn open_jobs(&self) -> Result<OpenJobListing, KvError> {
        let mut jobs: HashMap<String, OpenJob> = HashMap::default();
        let mut owners: HashMap<String, (JobOwner, KvVersion)> = HashMap::default();
        let kv = self.kv(CallPurpose::JobScan);
        let (entries, revision) = list_all(kv.as_ref(), OPEN_PREFIX, Freshness::Stale).await?;
        for entry in &entries {
            collect_open_entry(entry, &mut jobs, &mut owners);
        }
        for (id, owner) in owners {
            if let Some(job) = jobs.get_mut(&id) {
                job.owner = Some(owner);
            }
        }
        Ok(OpenJobListing {
            jobs: jobs.into_values().collect(),
            revision,
        })
    }

    /// Reads the `open` and owner keys of one job, up to date; `None` if the job is not open.
    pub(crate) async fn open_job(&self, id: &str) -> Result<Option<OpenJob>, KvError> {
        Ok(self.open_job_at(id).await?.0)
    }

    /// Reads as [`Self::open_job`] does, and returns the revision at which it was read.
    pub(crate) async fn open_job_at(
        &self,
        id: &str,
    ) -> Result<(Option<OpenJob>, KvVersion), KvError> {
        let mut jobs = HashMap::default();
        let mut owners = HashMap::default();
        let kv = self.kv(CallPurpose::JobRead);
        let (entries, revision) = list_all(kv.as_ref(), &open_key(id), Freshness::Current).await?;
        for entry in &entries {
            collect_open_entry(entry, &mut jobs, &mut owners);
        }
        let job = jobs.remove(id).map(|job| OpenJob {
            owner: owners.remove(id),
            ..job
        });
        Ok((job, revision))
    }

    /// Reads the stored state of a job, up to date; `None` if no such job is stored.
    ///
    /// Segments are listed in the order in which they are written, so that those of several pages are all
    /// up to the last one. A job that was removed between two pages is not stored.
    pub(crate) async fn load(&self, id: &str) -> Result<Option<StoredJob>, KvError> {
        let prefix = job_prefix(id);
        let mut info: Option<JobInfo> = None;
        let mut segments: Vec<ResultSegment> = Vec::new();
        let mut is_ended = false;
        let mut displaced = None;
        let kv = self.kv(CallPurpose::JobRead);
        let listing = list_pages(kv.as_ref(), &prefix, Freshness::Current).await?;
        if listing.pages > 1 && kv.get(&info_key(id)).await?.is_none() {
            return Ok(None);
        }
        for entry in &listing.entries {
            let name = &entry.key[prefix.len()..];
            match name.strip_prefix("seg/") {
                Some(number) => {
                    let number = number.parse().map_err(|_| malformed_value(&entry.key))?;
                    let results =
                        decode(&entry.value).ok_or_else(|| malformed_value(&entry.key))?;
                    segments.push(ResultSegment {
                        number,
                        version: entry.version,
                        results,
                    });
                }
                None if name == "info" => info = decode(&entry.value),
                None if name == "end" => {
                    is_ended = true;
                    displaced = decode(&entry.value);
                }
                None => {}
            }
        }
        Ok(info.map(|info| StoredJob {
            info,
            segments,
            is_ended,
            displaced,
            revision: listing.revision,
        }))
    }

    /// Reads for whom and under which host name a job was accepted, up to date; `None` if no such job is
    /// stored.
    pub(crate) async fn load_acceptance(&self, id: &str) -> Result<Option<JobAcceptance>, KvError> {
        let key = info_key(id);
        let Some(entry) = self.kv(CallPurpose::JobRead).get(&key).await? else {
            return Ok(None);
        };
        let info: JobInfo = decode(&entry.value).ok_or_else(|| malformed_value(&key))?;
        match info.host {
            Some(host) => Ok(Some(JobAcceptance {
                host,
                workspace: info.workspace,
            })),
            None => Ok(self.load_spec(id).await?.map(|spec| (&spec).into())),
        }
    }

    /// Reads the specification of a job with all items; `None` if no such job is stored.
    pub(crate) async fn load_spec(&self, id: &str) -> Result<Option<JobSpec>, KvError> {
        let prefix = spec_prefix(id);
        let kv = self.kv(CallPurpose::JobRead);
        let (entries, _) = list_all(kv.as_ref(), &prefix, Freshness::Current).await?;
        let bytes: Vec<u8> = entries
            .iter()
            .flat_map(|entry| entry.value.clone())
            .collect();
        match bytes.is_empty() {
            true => Ok(None),
            false => decode(&bytes)
                .map(Some)
                .ok_or_else(|| malformed_value(&prefix)),
        }
    }

    /// Lists closed jobs with the versions of their `closed` keys, and the revision of the listing;
    /// possibly as of some seconds ago (a stale read).
    pub(crate) async fn closed_jobs(&self) -> Result<ClosedJobListing, KvError> {
        let kv = self.kv(CallPurpose::JobSweep);
        let (entries, revision) = list_all(kv.as_ref(), CLOSED_PREFIX, Freshness::Stale).await?;
        let jobs = entries.iter().filter_map(|entry| {
            let id = entry.key.strip_prefix(CLOSED_PREFIX)?;
            Some((id.to_owned(), entry.version))
        });
        Ok(ClosedJobListing {
            jobs: jobs.collect(),
            revision,
        })
    }

    /// Deletes all keys of a job that was closed at `closed`. The `closed` key goes last, so that a removal
    /// that failed halfway is found and repeated by a later sweep.
    ///
    /// Fails with [`KvError::Conflict`] if that is not the version of the `closed` key: a late removal must
    /// not delete a job of the same identifier that was accepted since.
    pub(crate) async fn remove(&self, id: &str, closed: KvVersion) -> Result<(), KvError> {
        let kv = self.kv(CallPurpose::JobSweep);
        let mut deletes = Vec::new();
        for prefix in [job_prefix(id), spec_prefix(id)] {
            let (entries, _) = list_all(kv.as_ref(), &prefix, Freshness::Current).await?;
            deletes.extend(entries.into_iter().map(|entry| entry.key));
        }
        deletes.push(closed_key(id));
        for keys in deletes.chunks(MAX_PARTS) {
            let commit = KvCommit {
                expect: vec![(closed_key(id), Some(closed))],
                deletes: keys.to_vec(),
                ..KvCommit::default()
            };
            self.kv(CallPurpose::JobSweep).commit(commit).await?;
        }
        Ok(())
    }
}

const OPEN_PREFIX: &str = "open/";
const CLOSED_PREFIX: &str = "closed/";

fn collect_open_entry(
    entry: &KvEntry,
    jobs: &mut HashMap<String, OpenJob>,
    owners: &mut HashMap<String, (JobOwner, KvVersion)>,
) {
    let name = entry.key.strip_prefix(OPEN_PREFIX).unwrap_or_default();
    match name.strip_suffix("/owner") {
        Some(id) => {
            if let Some(owner) = decode(&entry.value) {
                owners.insert(id.to_owned(), (owner, entry.version));
            }
        }
        None => {
            let job = OpenJob {
                id: name.to_owned(),
                version: entry.version,
                owner: None,
            };
            jobs.insert(name.to_owned(), job);
        }
    }
}

fn put_closed(id: &str) -> KvPut {
    put_without_lease(closed_key(id), encode(&steady_unix_millis()))
}

fn closed_key(id: &str) -> String {
    format!("{CLOSED_PREFIX}{id}")
}

fn malformed_value(key: &str) -> KvError {
    KvError::Unknown(format!("the value of {key} is malformed"))
}

fn put_without_lease(key: String, value: Bytes) -> KvPut {
    KvPut {
        key,
        value,
        lease: None,
    }
}

fn split_parts(bytes: &Bytes) -> Vec<Bytes> {
    let starts = (0..bytes.len()).step_by(PART_BYTES);
    starts
        .map(|start| bytes.slice(start..bytes.len().min(start + PART_BYTES)))
        .collect()
}

fn job_prefix(id: &str) -> String {
    format!("job/{id}/")
}

fn spec_prefix(id: &str) -> String {
    format!("spec/{id}/")
}

fn info_key(id: &str) -> String {
    format!("job/{id}/info")
}

fn segment_key(id: &str, number: usize) -> String {
    format!("job/{id}/seg/{number:05}")
}

fn end_key(id: &str) -> String {
    format!("job/{id}/end")
}

fn part_key(id: &str, number: usize) -> String {
    format!("spec/{id}/{number:03}")
}

fn open_key(id: &str) -> String {
    format!("{OPEN_PREFIX}{id}")
}

fn owner_key(id: &str) -> String {
    format!("{OPEN_PREFIX}{id}/owner")
}
