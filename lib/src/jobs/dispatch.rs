//! Dispatches items to upstream slots that online work leaves free, and commits finished results.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use tokio::time::Instant;

use crate::balancer::SlotPermit;
use crate::balancer::SlotRequest;
use crate::balancer::WaitingItems;
use crate::clock::steady_unix_millis;
use crate::collections::HashSet;
use crate::edges::kv::KvError;
use crate::edges::kv::KvVersion;
use crate::events::LogEvent;
use crate::ids::RequestId;
use crate::ids::ServiceName;
use crate::ids::WorkClass;
use crate::jobs::changeover::ClaimReason;
use crate::jobs::keeper::FINISHED_OUTCOME;
use crate::jobs::keeper::JobKeeper;
use crate::jobs::progress::ItemProgress;
use crate::jobs::progress::RunProgress;
use crate::jobs::running::RunStop;
use crate::jobs::standstill::StandstillDetector;
use crate::jobs::store::SEGMENT_BYTES;
use crate::jobs::store::StoredJob;
use crate::jobs::table::ItemDispatch;
use crate::jobs::table::ItemOutcome;
use crate::jobs::table::ItemState;
use crate::jobs::table::JobTable;
use crate::jobs::table::RouteHead;
use crate::jobs::table::SegmentWrite;
use crate::relay::OpenedAnswer;
use crate::relay::RelayFailure;
use crate::relay::RelayRequest;
use crate::relay::RequestDispatch;
use crate::relay::RetryPolicy;
use crate::relay::StreamStep;
use crate::routes::Route;
use crate::routes::RouteKey;
use crate::routes::RouteTable;
use crate::workspaces::CallerIdentity;

/// Deadline of one run of an item.
pub(super) const RUN_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest wait for the first event at an upstream with a free slot.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest wait for the first event at an upstream whose slots are all taken.
const QUEUED_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Longest wait for a further event.
const EVENT_GAP_TIMEOUT: Duration = Duration::from_millis(700);
/// Longest interval between two dispatch rounds while items wait or run; ten times as long
/// otherwise.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Shortest interval between two dispatch rounds.
const MIN_DISPATCH_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which finished results are checked for segments to write.
const COMMIT_INTERVAL: Duration = Duration::from_millis(50);
/// Largest output of an item in bytes; a longer one might not fit into a segment and could then
/// never be committed.
const MAX_OUTPUT_BYTES: usize = SEGMENT_BYTES / 2;
/// Added to the current time to commit at once; longer than any gathering delay or commit backoff.
const COMMIT_NOW_OFFSET: Duration = Duration::from_secs(10);

impl JobKeeper {
    /// Dispatches items while slots are free, and preempts items when online work needs their
    /// slots. Runs a round whenever loads change, an item becomes ready, or `DISPATCH_INTERVAL` has
    /// passed.
    pub(super) async fn run_items(&self) {
        let balancer = self.shared.relay.balancer().clone();
        let mut detector = StandstillDetector::new(self.shared.registry.lease_ttl());
        loop {
            if let Some(standstill) = detector.mark(self.shared.registry.has_outage()) {
                self.hold_after_standstill(standstill);
            }
            let slots_changed = balancer.slots_changed();
            self.preempt_items();
            self.give_up_overdue();
            self.dispatch_ready();
            self.publish_waiting();
            let interval = match self.open_item_count() {
                0 => DISPATCH_INTERVAL * 10,
                _ => DISPATCH_INTERVAL,
            };
            tokio::select! {
                () = slots_changed => {}
                () = self.shared.work_available.notified() => {}
                () = tokio::time::sleep(interval) => {}
            }
            tokio::time::sleep(MIN_DISPATCH_INTERVAL).await;
        }
    }

    /// Passes the waiting items to the load balancer, which reports them to other hosts. A leaving
    /// or stranded host starts no items and so reports none.
    fn publish_waiting(&self) {
        let routes = self.shared.routes.borrow().clone();
        self.with_table(|table| table.set_routes(&routes));
        let groups = match self.takes_no_jobs() {
            true => Vec::new(),
            false => self.with_table(|table| table.waiting(Instant::now(), steady_unix_millis())),
        };
        let waiting = groups.into_iter().filter_map(|group| {
            let service = routes.route(group.route?).choose_service(rand::random())?;
            Some(WaitingItems::new(service, group.urgency, group.count))
        });
        let waiting = waiting.collect();
        self.shared.relay.balancer().state().set_waiting(waiting);
    }

    fn preempt_items(&self) {
        let excess_counts = self
            .shared
            .relay
            .balancer()
            .state()
            .preemptions(Instant::now());
        for (upstream_key, count) in excess_counts {
            self.shared.running.preempt(upstream_key, count as usize);
        }
    }

    /// Gives up the items whose retention time is over.
    fn give_up_overdue(&self) {
        let given_up =
            self.with_table(|table| table.give_up_overdue(Instant::now(), steady_unix_millis()));
        for (job, item) in given_up {
            self.shared.log.write(LogEvent::Item {
                item,
                job,
                outcome: "overdue".to_owned(),
                events: 0,
                reason: None,
            });
        }
    }

    /// Dispatches items until no route has another one that an upstream takes. A leaving or
    /// stranded host dispatches none.
    fn dispatch_ready(&self) {
        let routes = self.shared.routes.borrow().clone();
        self.with_table(|table| table.set_routes(&routes));
        let mut blocked = HashSet::default();
        while !self.takes_no_jobs() && self.dispatch_next(&routes, &mut blocked) {}
    }

    /// Dispatches the most urgent item that an upstream takes, or gives it up for lack of a route;
    /// returns whether there was one. Adds the routes whose items no upstream takes to `blocked`, so
    /// that they hold back no other route.
    fn dispatch_next(
        &self,
        routes: &Arc<RouteTable>,
        blocked: &mut HashSet<Option<RouteKey>>,
    ) -> bool {
        let now = Instant::now();
        let heads = self.with_table(|table| table.route_heads(blocked, now, steady_unix_millis()));
        for head in heads {
            let is_dispatched = match head.route {
                Some(key) => self.dispatch_head(&head, routes.route(key), routes.version()),
                None => self.handle_missing_route(&head, routes, now),
            };
            if is_dispatched {
                return true;
            }
            blocked.insert(head.route);
        }
        false
    }

    /// Dispatches the item to any service of its route that has a slot for it; returns whether one
    /// had.
    fn dispatch_head(&self, head: &RouteHead, route: &Arc<Route>, version: u64) -> bool {
        for service in route.services_from(rand::random()) {
            if let Some(permit) = self.acquire_slot(head, service) {
                return self.spawn_run(head, route.clone(), service.clone(), version, permit);
            }
        }
        false
    }

    /// Reserves a slot for an item, at the version of its output if that has one.
    fn acquire_slot(&self, head: &RouteHead, service: &ServiceName) -> Option<SlotPermit> {
        let slot_request = SlotRequest {
            service,
            class: WorkClass::Batch,
            excluded: &[],
            may_probe: true,
            may_repeat: true,
            software: head.software.as_ref(),
            urgency: Some(head.urgency),
            may_wait: false,
        };
        let balancer = self.shared.relay.balancer();
        balancer.acquire(slot_request).or_else(|| {
            slot_request.software?;
            balancer.acquire(SlotRequest {
                software: None,
                ..slot_request
            })
        })
    }

    /// Runs an item at the upstream of `permit`, in the background; returns false if it does not wait
    /// any more.
    fn spawn_run(
        &self,
        head: &RouteHead,
        route: Arc<Route>,
        service: ServiceName,
        version: u64,
        permit: SlotPermit,
    ) -> bool {
        let Some(mut dispatch) = self.with_table(|table| table.begin_run(head, Instant::now()))
        else {
            return false;
        };
        if dispatch.is_doubtful {
            self.shared.log.metrics().count_doubtful_run();
        }
        let software = &permit.choice.software;
        if software.is_unknown() || dispatch.progress.software.as_ref() != Some(software) {
            dispatch.progress = ItemProgress::default();
        }
        let events = Arc::new(AtomicU64::new(dispatch.progress.events));
        let key = permit.choice.key;
        let stop = self.shared.running.add(key, &head.spec.id, events.clone());
        let keeper = self.clone();
        tokio::spawn(async move {
            keeper
                .run_item(dispatch, route, service, version, permit, events, stop)
                .await;
        });
        true
    }

    /// Handles an item without a route; returns whether it was still waiting. If this host's
    /// configuration is at least as new as the one that the job was accepted under, the route was
    /// removed and the item becomes a dead letter; otherwise the item waits for the newer
    /// configuration.
    fn handle_missing_route(&self, head: &RouteHead, routes: &RouteTable, now: Instant) -> bool {
        self.with_table(|table| {
            let Some(dispatch) = table.begin_run(head, now) else {
                return false;
            };
            let outcome = match routes.version() >= head.spec.version && routes.version() > 0 {
                true => ItemOutcome::Unroutable,
                false => ItemOutcome::Unplaced(dispatch.progress),
            };
            let now_ms = steady_unix_millis();
            table.finish_run(&head.spec.id, head.index, outcome, now, now_ms);
            true
        })
    }

    async fn run_item(
        &self,
        dispatch: ItemDispatch,
        route: Arc<Route>,
        service: ServiceName,
        version: u64,
        permit: SlotPermit,
        events: Arc<AtomicU64>,
        stop: RunStop,
    ) {
        let upstream_key = permit.choice.key;
        let workspace = dispatch.spec.workspace.as_ref();
        let caller = self.shared.routes.borrow().identity_of(workspace);
        let request = item_request(&dispatch, route, service, version, caller);
        let run = RequestDispatch::new(self.shared.relay.clone(), Arc::new(request), item_policy())
            .with_slot(permit);
        let began = Instant::now();
        let before = dispatch.progress.events;
        let outcome = read_events(run, dispatch.progress, &events, &stop).await;
        if let ItemOutcome::Done(progress) = &outcome {
            let (events, time) = (progress.events, began.elapsed());
            self.with_table(|table| table.record_duration(events, events - before, time));
        }
        self.shared.running.remove(upstream_key, &stop);
        let name = outcome_name(&outcome);
        let events = outcome_events(&outcome);
        let is_stopped = matches!(outcome, ItemOutcome::Stopped(_));
        let reason = stop.reason().filter(|_| is_stopped);
        let job = &dispatch.spec.id;
        let ended = |table: &mut JobTable| {
            table.finish_run(
                job,
                dispatch.index,
                outcome,
                Instant::now(),
                steady_unix_millis(),
            )
        };
        let state = self.with_table(ended);
        self.shared.log.write(LogEvent::Item {
            item: dispatch.spec.items[dispatch.index].id.clone(),
            job: job.clone(),
            outcome: name.to_owned(),
            events,
            reason: reason.map(|reason| <&str>::from(reason).to_owned()),
        });
        if state == Some(ItemState::Waiting) {
            self.shared.work_available.notify_one();
        }
    }

    /// Periodically commits the results of finished items to the key-value service.
    pub(super) async fn run_commits(&self) {
        loop {
            let segment_writes = self
                .with_table(|table| table.take_due_segments(Instant::now(), steady_unix_millis()));
            for segment_write in segment_writes {
                let keeper = self.clone();
                tokio::spawn(async move { keeper.commit_segment(segment_write).await });
            }
            tokio::time::sleep(COMMIT_INTERVAL).await;
        }
    }

    /// Commits the results of finished items at once, without the gathering delay; one segment a
    /// job.
    pub(super) async fn commit_all_finished(&self) {
        let later = Instant::now() + COMMIT_NOW_OFFSET;
        let due = steady_unix_millis();
        let segment_writes = self.with_table(|table| table.take_due_segments(later, due));
        let commits = segment_writes
            .into_iter()
            .map(|segment_write| self.commit_segment(segment_write));
        futures_util::future::join_all(commits).await;
    }

    async fn commit_segment(&self, segment_write: SegmentWrite) {
        let job = &segment_write.job;
        match self.shared.store.append(&segment_write).await {
            Ok(version) => {
                self.log_segment_written(&segment_write, version);
                let now = Instant::now();
                self.with_table(|table| table.segment_written(&segment_write, version, now));
                self.shared.results_committed.notify_waiters();
                if segment_write.is_last {
                    self.shared.owners.record_closed(job, version);
                    self.drop_job(job, FINISHED_OUTCOME);
                }
            }
            // Another host wrote the segment or claimed the job, the job was ended, or an earlier
            // attempt at this write took effect though its answer was lost.
            Err(KvError::Conflict { .. }) => {
                self.shared.log.write(LogEvent::WriteRejected {
                    job: job.clone(),
                    write: "segment".to_owned(),
                    segment: Some(segment_write.number),
                    based_on: segment_write.claim.version().0,
                });
                self.with_table(|table| table.segment_failed(&segment_write, Instant::now()));
                self.reload_job(job).await;
            }
            Err(_) => {
                self.with_table(|table| table.segment_failed(&segment_write, Instant::now()));
            }
        }
    }

    fn log_segment_written(&self, segment_write: &SegmentWrite, version: KvVersion) {
        let (segments_before, listed_before) =
            self.with_table(|table| table.segment_counts(&segment_write.job));
        self.shared.log.write(LogEvent::SegmentWritten {
            job: segment_write.job.clone(),
            segment: segment_write.number,
            version: version.0,
            results: segment_write.results.len(),
            segments_before,
            listed_before,
            is_last: segment_write.is_last,
        });
    }

    /// Logs that the committed results of a job were read again, before they are applied.
    pub(super) fn log_reloaded(&self, job: &str, stored: &StoredJob) {
        let (segments_before, listed_before) = self.with_table(|table| table.segment_counts(job));
        self.shared.log.write(LogEvent::JobReloaded {
            job: job.to_owned(),
            revision: stored.revision.0,
            segments: stored.segments.len(),
            listed: stored.result_count(),
            segments_before,
            listed_before,
        });
    }

    /// Reads a job again after a conflicting segment write or a standstill, and drops it, claims it again or
    /// continues it accordingly.
    pub(super) async fn reload_job(&self, job: &str) {
        // In this order, so that a job which is closed is read with all of its results.
        let (Ok(open), Ok(stored)) = (
            self.shared.store.open_job(job).await,
            self.shared.store.load(job).await,
        ) else {
            return self.with_table(|table| table.delay_commit(job, Instant::now()));
        };
        let Some(stored) = stored else {
            return self.drop_job(job, "removed");
        };
        self.log_reloaded(job, &stored);
        self.with_table(|table| table.apply_segments(job, stored.segments, Instant::now()));
        self.shared.results_committed.notify_waiters();
        let Some(open) = open else {
            self.shared.owners.record_closed(job, stored.revision);
            let is_complete = self.with_table(|table| table.is_complete(job));
            let outcome = if is_complete {
                FINISHED_OUTCOME
            } else {
                "ended"
            };
            return self.drop_job(job, outcome);
        };
        match &open.owner {
            Some((owner, version)) if *owner != self.shared.identity => {
                self.drop_lost_job(job, *version);
            }
            Some(_) => self.load_owned(job).await,
            None => self.claim(&open, ClaimReason::OwnAgain).await,
        }
    }
}

/// Reads the events of a run until it ends or `stop` is cancelled. `events` follows the number of
/// events received, by which items are chosen for preemption.
async fn read_events(
    mut run: RequestDispatch,
    progress: ItemProgress,
    events: &AtomicU64,
    stop: &RunStop,
) -> ItemOutcome {
    let opened = tokio::select! {
        opened = run.start() => opened,
        () = stop.stopped() => return ItemOutcome::Stopped(progress),
    };
    match opened {
        Ok(OpenedAnswer::Stream { .. }) => {}
        Ok(OpenedAnswer::Whole { status, .. }) => return status_outcome(status, progress),
        Err(RelayFailure::NotRun) if run.has_met_unidentified() => {
            return ItemOutcome::Unplaced(ItemProgress::default());
        }
        Err(RelayFailure::NotRun | RelayFailure::Convicted(_)) => {
            return ItemOutcome::Unplaced(progress);
        }
        Err(RelayFailure::Lost | RelayFailure::TimedOut) => return ItemOutcome::Broken(progress),
    }
    let mut received = RunProgress::new(progress);
    loop {
        let step = tokio::select! {
            step = run.next_step() => step,
            () = stop.stopped() => {
                return ItemOutcome::Stopped(received.finish(run.is_last_event_doubtful()));
            }
        };
        match step {
            StreamStep::Event(event) => {
                received.push(event, run.software());
                if received.text_bytes() > MAX_OUTPUT_BYTES {
                    // Output of this length can't be valid, so the next run starts from scratch.
                    return ItemOutcome::Broken(ItemProgress::default());
                }
                events.store(received.events(), Ordering::Relaxed);
            }
            StreamStep::End => return ItemOutcome::Done(received.finish(false)),
            StreamStep::Failed(_) => {
                return ItemOutcome::Broken(received.finish(run.is_last_event_doubtful()));
            }
        }
    }
}

fn status_outcome(status: StatusCode, progress: ItemProgress) -> ItemOutcome {
    match status {
        StatusCode::UNPROCESSABLE_ENTITY => ItemOutcome::Impossible,
        StatusCode::INTERNAL_SERVER_ERROR => ItemOutcome::Failed(progress),
        _ => ItemOutcome::Broken(progress),
    }
}

fn outcome_name(outcome: &ItemOutcome) -> &'static str {
    match outcome {
        ItemOutcome::Done(_) => "done",
        ItemOutcome::Stopped(_) => "stopped",
        ItemOutcome::Broken(_) => "broken",
        ItemOutcome::Unplaced(_) => "unplaced",
        ItemOutcome::Failed(_) => "failed",
        ItemOutcome::Impossible => "impossible",
        ItemOutcome::Unroutable => "unroutable",
    }
}

fn outcome_events(outcome: &ItemOutcome) -> u64 {
    match outcome {
        ItemOutcome::Done(progress)
        | ItemOutcome::Stopped(progress)
        | ItemOutcome::Broken(progress)
        | ItemOutcome::Unplaced(progress)
        | ItemOutcome::Failed(progress) => progress.events,
        ItemOutcome::Impossible | ItemOutcome::Unroutable => 0,
    }
}

fn item_policy() -> RetryPolicy {
    RetryPolicy {
        is_retryable: true,
        max_runs: 1,
        first_event_wait: FIRST_EVENT_TIMEOUT,
        queued_event_wait: QUEUED_TIMEOUT,
        max_event_gap: EVENT_GAP_TIMEOUT,
        bounds_last_run: true,
    }
}

fn item_request(
    dispatch: &ItemDispatch,
    route: Arc<Route>,
    service: ServiceName,
    version: u64,
    caller: CallerIdentity,
) -> RelayRequest {
    let item = &dispatch.spec.items[dispatch.index];
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    let now = Instant::now();
    if let Ok(host) = HeaderValue::from_str(&dispatch.spec.host) {
        headers.insert(http::header::HOST, host);
    }
    RelayRequest {
        id: RequestId::new(&item.id),
        class: WorkClass::Batch,
        route,
        service,
        version,
        method: Method::POST,
        target: item.target.clone(),
        headers,
        body: item.body.clone(),
        received: now,
        deadline: now + RUN_TIMEOUT,
        resume_after: dispatch.progress.last_id,
        resumes: None,
        software: dispatch.progress.software.clone(),
        prompt_parts: Vec::new(),
        caller,
    }
}
