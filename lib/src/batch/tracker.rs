//! Finds open jobs and takes over those whose owner is gone.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::batch::commits::notice_of;
use crate::batch::desk::BatchCoordinator;
use crate::batch::desk::CoordinatorState;
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
use crate::decisions::unix_millis;
use crate::edges::kv::Expect;
use crate::edges::kv::KvChange;
use crate::edges::kv::KvError;
use crate::edges::kv::KvVersion;
use crate::ids::HostId;
use crate::ids::JobId;
use crate::ids::WorkspaceName;
use crate::membership::HostView;

/// Interval of listings of the open jobs; half of it at least.
const LIST_INTERVAL: Duration = Duration::from_secs(30);
/// Interval of looks at jobs whose owner is not known to live; half of it at least.
const SUSPICION_INTERVAL: Duration = Duration::from_secs(8);
/// A claim under which nothing was written for this long has lapsed.
const CLAIM_LIMIT: Duration = Duration::from_secs(20);
/// Age of a marker without a job at which it is removed, in milliseconds.
const MARKER_LIMIT_MS: u64 = 10 * 60 * 1000;
const CANCEL_WATCH: Duration = Duration::from_secs(30);
const RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Spread of the first listing after a start.
const START_SPREAD: Duration = Duration::from_millis(500);

/// What this loop alone knows.
struct TrackerState {
    /// Hosts that were alive at some time.
    seen: HashSet<HostId>,
    /// Workspaces of the jobs that have a marker.
    listed: HashMap<JobId, WorkspaceName>,
    next_list: Instant,
    next_suspicion: Instant,
}

impl BatchCoordinator {
    /// Finds and takes over jobs until `stop`.
    pub(crate) async fn track(self: &Arc<Self>, stop: &CancellationToken) {
        let mut views = self.parts.membership.subscribe();
        let now = Instant::now();
        let mut tracker = TrackerState {
            seen: HashSet::default(),
            listed: HashMap::default(),
            next_list: now + jittered(START_SPREAD),
            next_suspicion: now + jittered(SUSPICION_INTERVAL),
        };
        while !stop.is_cancelled() {
            let view = self.parts.membership.view();
            tracker
                .seen
                .extend(view.hosts.iter().map(|host| host.id.clone()));
            if !self.is_draining() {
                self.take_over_lost(&tracker, &view).await;
                self.look(&mut tracker, &view).await;
            }
            let next = tracker.next_list.min(tracker.next_suspicion);
            tokio::select! {
                changed = views.changed() => if changed.is_err() { return },
                () = tokio::time::sleep_until(next) => {}
                () = self.released.notified() => {}
                () = stop.cancelled() => return,
            }
        }
    }

    async fn look(self: &Arc<Self>, tracker: &mut TrackerState, view: &HostView) {
        let now = Instant::now();
        if now >= tracker.next_list {
            let pause = match self.list_open(tracker).await {
                Ok(()) => LIST_INTERVAL,
                Err(_) => {
                    self.parts.counters.retry(RetryReason::StoreFailed);
                    RETRY_PAUSE
                }
            };
            tracker.next_list = now + jittered(pause);
        }
        if now >= tracker.next_suspicion {
            self.examine(tracker, view).await;
            tracker.next_suspicion = now + jittered(SUSPICION_INTERVAL);
        }
    }

    /// Lists the markers of open jobs and reads the jobs that this host does not know.
    async fn list_open(self: &Arc<Self>, tracker: &mut TrackerState) -> Result<(), KvError> {
        let kv = self.parts.store.kv();
        let mut after: Option<String> = None;
        tracker.listed.clear();
        loop {
            let page = kv.list(OPEN_PREFIX, after.as_deref(), PAGE_LIMIT).await?;
            for entry in &page.entries {
                let id = JobId::new(entry.key.trim_start_matches(OPEN_PREFIX));
                let Ok(marker) = decode::<OpenMarker>(&entry.value, MARKER_FORMAT) else {
                    continue;
                };
                if !self.lock().open.contains_key(&id) {
                    self.read_unknown(&id, &marker).await;
                }
                tracker.listed.insert(id, marker.workspace);
            }
            match page.entries.last() {
                Some(last) if page.more => after = Some(last.key.clone()),
                _ => return Ok(()),
            }
        }
    }

    /// Reads a job that only its marker tells of; claims it if nobody else can hold it.
    async fn read_unknown(self: &Arc<Self>, id: &JobId, marker: &OpenMarker) {
        let Ok(job) = self.parts.store.job(&marker.workspace, id).await else {
            return;
        };
        let Some(job) = job else {
            if marker.created_ms + MARKER_LIMIT_MS < unix_millis() {
                let _ = self
                    .parts
                    .store
                    .kv()
                    .delete(&open_key(id), Expect::Any)
                    .await;
            }
            return;
        };
        if job.record.state.is_final() {
            let _ = self
                .parts
                .store
                .kv()
                .delete(&open_key(id), Expect::Any)
                .await;
            return;
        }
        self.note_open(notice_of(&job.record));
        let claim = job.record.claim.as_ref();
        let is_orphan = claim.is_some_and(|claim| claim.host == self.parts.host);
        if is_orphan && !self.holds(claim) {
            self.claim_job(job).await;
        }
    }

    /// Takes over jobs whose owner has died or has given them up, if they fall to this host.
    async fn take_over_lost(self: &Arc<Self>, tracker: &TrackerState, view: &HostView) {
        for (job, workspace) in self.lost_jobs(tracker, view) {
            let heir = view.owner_of(job.as_str());
            if heir.is_some_and(|heir| heir.id == self.parts.host) {
                self.take_over(&workspace, &job, view).await;
            }
        }
    }

    /// Open jobs without a live owner, as far as this host knows.
    fn lost_jobs(&self, tracker: &TrackerState, view: &HostView) -> Vec<(JobId, WorkspaceName)> {
        let state = self.lock();
        let was_seen = |notice: &JobAnnouncement| match &notice.owner {
            Some(owner) => tracker.seen.contains(owner),
            None => true,
        };
        state
            .open
            .values()
            .map(|job| &job.notice)
            .filter(|notice| was_seen(notice) && !owner_lives(&state, view, notice))
            .map(|notice| (notice.job.clone(), notice.workspace.clone()))
            .collect()
    }

    /// Claims a job if its owner is still not alive.
    async fn take_over(self: &Arc<Self>, workspace: &WorkspaceName, id: &JobId, view: &HostView) {
        let Ok(Some(job)) = self.parts.store.job(workspace, id).await else {
            return;
        };
        if job.record.state.is_final() {
            return self.close_job(&job.record);
        }
        let notice = notice_of(&job.record);
        let is_live = owner_lives(&self.lock(), view, &notice);
        match is_live {
            true => self.note_open(notice),
            false => {
                self.claim_job(job).await;
            }
        }
    }

    /// Looks at jobs whose owner is not known to live; claims those whose claim has lapsed.
    async fn examine(self: &Arc<Self>, tracker: &TrackerState, view: &HostView) {
        for (id, workspace) in &tracker.listed {
            let is_doubtful = {
                let state = self.lock();
                let open = state.open.get(id);
                open.is_some_and(|open| !owner_lives(&state, view, &open.notice))
            };
            if !is_doubtful {
                continue;
            }
            match self.parts.store.job(workspace, id).await {
                Ok(Some(job)) if job.record.state.is_final() => self.close_job(&job.record),
                Ok(Some(job)) => self.examine_one(job).await,
                Ok(None) => self.forget(id),
                // Nothing can be said of claims while the service does not answer.
                Err(_) => return self.forget_observations(),
            }
        }
    }

    async fn examine_one(self: &Arc<Self>, job: VersionedJob) {
        let id = job.record.id.clone();
        let notice = notice_of(&job.record);
        let known = self.lock().open.get(&id).map(|open| open.notice.epoch);
        if known.is_none_or(|epoch| epoch < notice.epoch) {
            self.note_open(notice);
        }
        let lapsed = {
            let mut state = self.lock();
            let Some(open) = state.open.get_mut(&id) else {
                return;
            };
            match open.observed {
                Some((version, since)) if version == job.version => since.elapsed() >= CLAIM_LIMIT,
                _ => {
                    open.observed = Some((job.version, Instant::now()));
                    false
                }
            }
        };
        if lapsed || job.record.claim.is_none() {
            self.claim_job(job).await;
        }
    }

    fn forget_observations(&self) {
        for open in self.lock().open.values_mut() {
            open.observed = None;
        }
    }

    /// Stops the work on cancelled jobs until `stop`, where the direct notice was lost.
    pub(crate) async fn watch_cancels(self: &Arc<Self>, stop: &CancellationToken) {
        let mut revision = None;
        while !stop.is_cancelled() {
            let looked = async {
                let outcome = match revision {
                    None => self.list_cancels().await,
                    Some(revision) => self.watch_once(revision).await,
                };
                if outcome.is_err() {
                    tokio::time::sleep(jittered(RETRY_PAUSE)).await;
                }
                outcome.ok().flatten()
            };
            revision = tokio::select! {
                next = looked => next,
                () = stop.cancelled() => return,
            };
        }
    }

    async fn list_cancels(&self) -> Result<Option<KvVersion>, KvError> {
        let kv = self.parts.store.kv();
        let page = kv.list(CANCELS_PREFIX, None, PAGE_LIMIT).await?;
        for entry in &page.entries {
            self.note_cancel(&entry.key);
        }
        Ok(Some(page.revision))
    }

    async fn watch_once(&self, after: KvVersion) -> Result<Option<KvVersion>, KvError> {
        let kv = self.parts.store.kv();
        let changes = kv.watch(CANCELS_PREFIX, after, CANCEL_WATCH).await?;
        for change in &changes.changes {
            if let KvChange::Put(entry) = change {
                self.note_cancel(&entry.key);
            }
        }
        Ok((!changes.compacted).then_some(changes.revision))
    }

    fn note_cancel(&self, key: &str) {
        let job = JobId::new(key.trim_start_matches(CANCELS_PREFIX));
        self.forget(&job);
    }
}

/// Whether a job's owner is alive; this host itself is one only while it runs the job.
fn owner_lives(state: &CoordinatorState, view: &HostView, notice: &JobAnnouncement) -> bool {
    let Some(owner) = &notice.owner else {
        return false;
    };
    let is_live = view.hosts.iter().any(|host| host.id == *owner);
    let has_run = state.runs.contains_key(&notice.job);
    is_live && (has_run || *owner != state.host)
}
