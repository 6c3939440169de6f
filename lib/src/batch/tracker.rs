//! Finds open jobs, takes over those whose owner is gone, and watches for cancellations.
//!
//! A job without a live owner is taken over by the host that rendezvous hashing assigns to it, as
//! soon as the membership shows that the owner has left. Where that host can't know (it never saw
//! the owner live), any host takes the job over once its record has stayed unchanged for
//! [`CLAIM_TIMEOUT`].

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::batch::commits::announcement_of;
use crate::batch::coordinator::BatchCoordinator;
use crate::batch::coordinator::CoordinatorState;
use crate::batch::message::JobAnnouncement;
use crate::batch::store::CANCELS_PREFIX;
use crate::batch::store::OPEN_PREFIX;
use crate::batch::store::PAGE_LIMIT;
use crate::batch::store::VersionedJob;
use crate::batch::store::jittered;
use crate::batch::store::open_key;
use crate::batch::stored::MARKER_FORMAT;
use crate::batch::stored::OpenMarker;
use crate::batch::stored::decode;
use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::counters::RetryReason;
use crate::edges::kv::Expect;
use crate::edges::kv::KvChange;
use crate::edges::kv::KvError;
use crate::edges::kv::KvVersion;
use crate::edges::kv::watch_checked;
use crate::ids::HostId;
use crate::ids::JobId;
use crate::ids::WorkspaceName;
use crate::membership::HostView;

/// Interval between listings of the open jobs; jittered down to half of it.
const LIST_INTERVAL: Duration = Duration::from_secs(30);
/// Interval between checks of the claims on jobs without a live owner; jittered down to half of it.
const CLAIM_CHECK_INTERVAL: Duration = Duration::from_secs(8);
/// Time without a write to the record after which a claim has lapsed, if its owner is not live.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(20);
/// Age at which a marker without a job is deleted. A younger one may belong to a submission whose record
/// is still being written.
const MIN_ORPHAN_MARKER_AGE: Duration = Duration::from_secs(10 * 60);
/// Longest wait of one watch for hints of cancellations.
const CANCEL_WATCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which a host asks for cancelled jobs beside its watch.
const CANCEL_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Pause after a failed listing or watch, before jitter.
const STORE_RETRY_BACKOFF: Duration = Duration::from_secs(2);
/// Longest delay of the first listing after the start, so that hosts that start together don't list
/// together.
const FIRST_LIST_JITTER: Duration = Duration::from_millis(500);

/// State of the tracker loop.
struct TrackerState {
    /// Hosts that have been in the membership view since the start. Only of these is it known that
    /// they left: one that was never seen may not have been discovered yet.
    seen_hosts: HashSet<HostId>,
    /// Jobs with a marker at the last listing, with their workspaces.
    marked_jobs: HashMap<JobId, WorkspaceName>,
    next_list: Instant,
    next_claim_check: Instant,
}

impl BatchCoordinator {
    /// Finds open jobs and takes over orphaned ones until `stop`. Runs on every change of the
    /// membership, on a released job, and when a listing or a check of claims is due.
    pub(crate) async fn run_tracker(self: &Arc<Self>, stop: &CancellationToken) {
        let mut views = self.dependencies.membership.subscribe();
        let now = Instant::now();
        let mut tracker = TrackerState {
            seen_hosts: HashSet::default(),
            marked_jobs: HashMap::default(),
            next_list: now + jittered(FIRST_LIST_JITTER),
            next_claim_check: now + jittered(CLAIM_CHECK_INTERVAL),
        };
        while !stop.is_cancelled() {
            let view = self.dependencies.membership.view();
            tracker
                .seen_hosts
                .extend(view.hosts.iter().map(|host| host.id.clone()));
            if !self.is_draining() {
                self.take_over_orphans(&tracker, &view).await;
                self.run_due_checks(&mut tracker, &view).await;
            }
            let next = tracker.next_list.min(tracker.next_claim_check);
            tokio::select! {
                changed = views.changed() => if changed.is_err() { return },
                () = tokio::time::sleep_until(next) => {}
                () = self.tracker_wakeup.notified() => {}
                () = stop.cancelled() => return,
            }
        }
    }

    /// Lists the open jobs and checks the claims on jobs without a live owner, each if it is due.
    async fn run_due_checks(self: &Arc<Self>, tracker: &mut TrackerState, view: &HostView) {
        let now = Instant::now();
        if now >= tracker.next_list {
            let pause = match self.list_open(tracker).await {
                Ok(()) => LIST_INTERVAL,
                Err(_) => {
                    self.dependencies.counters.retry(RetryReason::StoreFailed);
                    STORE_RETRY_BACKOFF
                }
            };
            tracker.next_list = now + jittered(pause);
        }
        if now >= tracker.next_claim_check {
            self.check_unowned_jobs(tracker, view).await;
            tracker.next_claim_check = now + jittered(CLAIM_CHECK_INTERVAL);
        }
    }

    /// Lists the markers of open jobs, and loads the jobs that this host doesn't know.
    async fn list_open(self: &Arc<Self>, tracker: &mut TrackerState) -> Result<(), KvError> {
        let kv = self.dependencies.store.kv();
        let mut after: Option<String> = None;
        tracker.marked_jobs.clear();
        loop {
            let page = kv.list(OPEN_PREFIX, after.as_deref(), PAGE_LIMIT).await?;
            self.note_revision(page.revision);
            for entry in &page.entries {
                let id = JobId::new(entry.key.trim_start_matches(OPEN_PREFIX));
                let Ok(marker) = decode::<OpenMarker>(&entry.value, MARKER_FORMAT) else {
                    continue;
                };
                if !self.lock().open_jobs.contains_key(&id) {
                    self.load_unknown_job(&id, &marker, entry.version).await;
                }
                tracker.marked_jobs.insert(id, marker.workspace);
            }
            match page.entries.last() {
                Some(last) if page.more => after = Some(last.key.clone()),
                _ => return Ok(()),
            }
        }
    }

    /// Loads a job that this host knows only by its marker. Claims it at once if the claim is by an
    /// earlier process of this host; deletes the marker if the job has ended, or is missing and the
    /// marker is old.
    async fn load_unknown_job(
        self: &Arc<Self>,
        id: &JobId,
        marker: &OpenMarker,
        version: KvVersion,
    ) {
        let Ok(job) = self.dependencies.store.job(&marker.workspace, id).await else {
            return;
        };
        let Some(job) = job else {
            if self.is_older_than(version, MIN_ORPHAN_MARKER_AGE) {
                // A submission may have written the marker anew since it was listed.
                let _ = self
                    .dependencies
                    .store
                    .kv()
                    .delete(&open_key(id), Expect::Version(version))
                    .await;
            }
            return;
        };
        if job.record.state.is_final() {
            let _ = self
                .dependencies
                .store
                .kv()
                .delete(&open_key(id), Expect::Any)
                .await;
            return;
        }
        self.record_open_job(announcement_of(&job.record));
        if self.is_claimed_by_predecessor(&job) {
            self.claim_job(job).await;
        }
    }

    /// Takes over the orphaned jobs that rendezvous hashing assigns to this host.
    async fn take_over_orphans(self: &Arc<Self>, tracker: &TrackerState, view: &HostView) {
        for (job, workspace) in self.orphaned_jobs(tracker, view) {
            let successor = view.owner_of(job.as_str());
            if successor.is_some_and(|successor| successor.id == self.dependencies.host) {
                self.take_over(&workspace, &job, view).await;
            }
        }
    }

    /// Open jobs that were released or whose owner was live once and is no longer.
    fn orphaned_jobs(
        &self,
        tracker: &TrackerState,
        view: &HostView,
    ) -> Vec<(JobId, WorkspaceName)> {
        let state = self.lock();
        let was_seen = |announcement: &JobAnnouncement| match &announcement.owner {
            Some(owner) => tracker.seen_hosts.contains(owner),
            None => true,
        };
        state
            .open_jobs
            .values()
            .map(|job| &job.announcement)
            .filter(|announcement| {
                was_seen(announcement) && !is_owner_alive(&state, view, announcement)
            })
            .map(|announcement| (announcement.job.clone(), announcement.workspace.clone()))
            .collect()
    }

    /// Reads a job and claims it, unless it has ended or has a live owner by now.
    async fn take_over(self: &Arc<Self>, workspace: &WorkspaceName, id: &JobId, view: &HostView) {
        let Ok(Some(job)) = self.dependencies.store.job(workspace, id).await else {
            return;
        };
        if job.record.state.is_final() {
            return self.close_job(&job.record);
        }
        let announcement = announcement_of(&job.record);
        let is_live = is_owner_alive(&self.lock(), view, &announcement);
        let is_own_name = self.is_own_host(announcement.owner.as_ref());
        match is_live {
            true => self.record_open_job(announcement),
            // The claim of another process under this host's name lapses like one of an unknown host.
            false if is_own_name && !self.is_claimed_by_predecessor(&job) => {}
            false => {
                self.claim_job(job).await;
            }
        }
    }

    /// Checks the claims on marked jobs without a live owner, and claims jobs whose claim has
    /// lapsed.
    async fn check_unowned_jobs(self: &Arc<Self>, tracker: &TrackerState, view: &HostView) {
        for (id, workspace) in &tracker.marked_jobs {
            let is_unowned = {
                let state = self.lock();
                let known = state.open_jobs.get(id);
                known.is_some_and(|known| !is_owner_alive(&state, view, &known.announcement))
            };
            if !is_unowned {
                continue;
            }
            match self.dependencies.store.job(workspace, id).await {
                Ok(Some(job)) if job.record.state.is_final() => self.close_job(&job.record),
                Ok(Some(job)) => self.check_claim(job).await,
                Ok(None) => self.drop_job(id),
                // The owners may be unable to write as well, so that unchanged versions prove
                // nothing.
                Err(_) => return self.clear_observed_versions(),
            }
        }
    }

    /// Claims a job that was released or whose record has stayed unchanged for [`CLAIM_TIMEOUT`].
    /// Records the version if it is a new one.
    async fn check_claim(self: &Arc<Self>, job: VersionedJob) {
        let id = job.record.id.clone();
        let announcement = announcement_of(&job.record);
        let known_epoch = self
            .lock()
            .open_jobs
            .get(&id)
            .map(|known| known.announcement.epoch);
        if known_epoch.is_none_or(|epoch| epoch < announcement.epoch) {
            self.record_open_job(announcement);
        }
        let lapsed = {
            let mut state = self.lock();
            let Some(known) = state.open_jobs.get_mut(&id) else {
                return;
            };
            match known.observed_version {
                Some((version, since)) if version == job.version => {
                    since.elapsed() >= CLAIM_TIMEOUT
                }
                _ => {
                    known.observed_version = Some((job.version, Instant::now()));
                    false
                }
            }
        };
        if lapsed || job.record.claim.is_none() {
            self.claim_job(job).await;
        }
    }

    fn clear_observed_versions(&self) {
        for known in self.lock().open_jobs.values_mut() {
            known.observed_version = None;
        }
    }

    /// Drops cancelled jobs from this host until `stop`, by the hints in the key-value service.
    /// They reach hosts that missed the direct announcement.
    pub(crate) async fn watch_cancels(self: &Arc<Self>, stop: &CancellationToken) {
        let mut revision = None;
        while !stop.is_cancelled() {
            let next_poll = async {
                let outcome = match revision {
                    None => self.list_cancels().await,
                    Some(revision) => self.watch_cancels_once(revision).await,
                };
                if outcome.is_err() {
                    tokio::time::sleep(jittered(STORE_RETRY_BACKOFF)).await;
                }
                outcome.ok().flatten()
            };
            revision = tokio::select! {
                next = next_poll => next,
                () = stop.cancelled() => return,
            };
        }
    }

    async fn list_cancels(&self) -> Result<Option<KvVersion>, KvError> {
        let kv = self.dependencies.store.kv();
        let page = kv.list(CANCELS_PREFIX, None, PAGE_LIMIT).await?;
        for entry in &page.entries {
            self.apply_cancel_hint(&entry.key);
        }
        Ok(Some(page.revision))
    }

    async fn watch_cancels_once(&self, after: KvVersion) -> Result<Option<KvVersion>, KvError> {
        let kv = self.dependencies.store.kv();
        let changes = watch_checked(
            kv.as_ref(),
            CANCELS_PREFIX,
            after,
            CANCEL_WATCH_TIMEOUT,
            CANCEL_CHECK_INTERVAL,
        )
        .await?;
        for change in &changes.changes {
            if let KvChange::Put(entry) = change {
                self.apply_cancel_hint(&entry.key);
            }
        }
        Ok((!changes.compacted).then_some(changes.revision))
    }

    fn apply_cancel_hint(&self, key: &str) {
        let job = JobId::new(key.trim_start_matches(CANCELS_PREFIX));
        self.drop_job(&job);
    }
}

/// Whether a job's owner is live. This host counts as a live owner only while it runs the job:
/// otherwise the claim is by an earlier process.
fn is_owner_alive(
    state: &CoordinatorState,
    view: &HostView,
    announcement: &JobAnnouncement,
) -> bool {
    let Some(owner) = &announcement.owner else {
        return false;
    };
    let is_live = view.hosts.iter().any(|host| host.id == *owner);
    let has_run = state.runs.contains_key(&announcement.job);
    is_live && (has_run || *owner != state.host)
}
