//! Running items at places that online work leaves free, and listing what has finished.

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
use tokio_util::sync::CancellationToken;

use crate::balancer::SlotPermit;
use crate::balancer::SlotRequest;
use crate::clock::steady_unix_millis;
use crate::edges::kv::KvError;
use crate::events::LogEvent;
use crate::ids::RequestId;
use crate::ids::ServiceName;
use crate::ids::WorkClass;
use crate::jobs::book::ItemDispatch;
use crate::jobs::book::ItemOutcome;
use crate::jobs::book::ItemProgress;
use crate::jobs::book::ItemState;
use crate::jobs::book::JobTable;
use crate::jobs::book::SegmentWrite;
use crate::jobs::keeper::FINISHED;
use crate::jobs::keeper::JobKeeper;
use crate::jobs::store::SEGMENT_BYTES;
use crate::relay::OpenedAnswer;
use crate::relay::RelayFailure;
use crate::relay::RelayRequest;
use crate::relay::RequestDispatch;
use crate::relay::RetryPolicy;
use crate::relay::StreamStep;
use crate::routes::Route;
use crate::routes::RouteTable;

/// Longest run of an item without a pause.
const RUN_TIME: Duration = Duration::from_secs(60);
const FIRST_WAIT: Duration = Duration::from_millis(1_000);
const QUEUED_WAIT: Duration = Duration::from_millis(3_000);
const GAP_WAIT: Duration = Duration::from_millis(700);
/// Longest time between two looks at what may run.
const TICK: Duration = Duration::from_millis(50);
/// Shortest time between two looks.
const LEAST_TICK: Duration = Duration::from_millis(5);
const COMMIT_TICK: Duration = Duration::from_millis(50);
/// Largest output of an item; a longer one could not be listed.
const MAX_OUTPUT_BYTES: usize = SEGMENT_BYTES / 2;
/// Longer than any wait for other items to finish.
const LIST_NOW: Duration = Duration::from_secs(10);

impl JobKeeper {
    /// Starts items where places are free, and makes room for online work.
    pub(super) async fn run_items(&self) {
        let places = self.shared.relay.balancer().clone();
        loop {
            let changed = places.changed();
            self.make_room();
            while !self.shared.is_leaving.is_cancelled() && self.start_item() {}
            let tick = match self.open_items() {
                0 => TICK * 10,
                _ => TICK,
            };
            tokio::select! {
                () = changed => {}
                () = self.shared.work.notified() => {}
                () = tokio::time::sleep(tick) => {}
            }
            tokio::time::sleep(LEAST_TICK).await;
        }
    }

    fn make_room(&self) {
        let parks = self
            .shared
            .relay
            .balancer()
            .book()
            .preemptions(Instant::now());
        for (place, count) in parks {
            self.shared.running.park(place, count as usize);
        }
    }

    /// Starts the next item if there is one with a place.
    fn start_item(&self) -> bool {
        let now = Instant::now();
        let Some(order) = self.with_book(|book| book.next_item(now, steady_unix_millis())) else {
            return false;
        };
        let table = self.shared.routes.borrow().clone();
        let item = &order.spec.items[order.index];
        let job = order.spec.id.clone();
        let Some((route, service)) = item_route(&table, &order.spec.host, &item.target) else {
            self.lose_route(&order, &table, now);
            return true;
        };
        let ask = SlotRequest {
            service: &service,
            class: WorkClass::Batch,
            avoid: &[],
            may_probe: true,
        };
        let Some(hold) = self.shared.relay.balancer().take(ask) else {
            return false;
        };
        self.with_book(|book| book.started(&job, order.index));
        let events = Arc::new(AtomicU64::new(order.progress.events));
        let stop = self.shared.running.add(hold.pick.key, &job, events.clone());
        let keeper = self.clone();
        tokio::spawn(async move {
            keeper
                .run_item(order, route, service, table.version(), hold, events, stop)
                .await;
        });
        true
    }

    /// An item whose route is gone for good is given up; a host that knows only an older
    /// configuration than the job's waits for the newer one.
    fn lose_route(&self, order: &ItemDispatch, table: &RouteTable, now: Instant) {
        let outcome = match table.version() >= order.spec.version && table.version() > 0 {
            true => ItemOutcome::Impossible,
            false => ItemOutcome::Unplaced(order.progress.clone()),
        };
        self.with_book(|book| {
            book.started(&order.spec.id, order.index);
            book.ended(
                &order.spec.id,
                order.index,
                outcome,
                now,
                steady_unix_millis(),
            );
        });
    }

    async fn run_item(
        &self,
        order: ItemDispatch,
        route: Arc<Route>,
        service: ServiceName,
        version: u64,
        hold: SlotPermit,
        events: Arc<AtomicU64>,
        stop: CancellationToken,
    ) {
        let place = hold.pick.key;
        let request = item_request(&order, route, service, version);
        let run = RequestDispatch::new(self.shared.relay.clone(), Arc::new(request), item_policy())
            .with_slot(hold);
        let began = Instant::now();
        let before = order.progress.events;
        let outcome = follow(run, order.progress, &events, &stop).await;
        if let ItemOutcome::Done(progress) = &outcome {
            let (events, time) = (progress.events, began.elapsed());
            self.with_book(|book| book.note_pace(events, events - before, time));
        }
        self.shared.running.remove(place, &stop);
        let name = outcome_name(&outcome);
        let events = outcome_events(&outcome);
        let job = &order.spec.id;
        let ended = |book: &mut JobTable| {
            book.ended(
                job,
                order.index,
                outcome,
                Instant::now(),
                steady_unix_millis(),
            )
        };
        let state = self.with_book(ended);
        self.shared.log.write(LogEvent::Item {
            item: order.spec.items[order.index].id.clone(),
            job: job.clone(),
            outcome: name.to_owned(),
            events,
        });
        if state == Some(ItemState::Waiting) {
            self.shared.work.notify_one();
        }
    }

    /// Lists finished items in the service.
    pub(super) async fn run_commits(&self) {
        loop {
            let orders =
                self.with_book(|book| book.take_commits(Instant::now(), steady_unix_millis()));
            for order in orders {
                let keeper = self.clone();
                tokio::spawn(async move { keeper.commit(order).await });
            }
            tokio::time::sleep(COMMIT_TICK).await;
        }
    }

    /// Lists all finished items now.
    pub(super) async fn list_all_finished(&self) {
        let later = Instant::now() + LIST_NOW;
        let due = steady_unix_millis();
        let orders = self.with_book(|book| book.take_commits(later, due));
        let commits = orders.into_iter().map(|order| self.commit(order));
        futures_util::future::join_all(commits).await;
    }

    async fn commit(&self, order: SegmentWrite) {
        let store = &self.shared.store;
        let written = store.append(
            &order.job,
            &order.claim,
            order.number,
            &order.results,
            order.is_last,
        );
        match written.await {
            Ok(()) => {
                let is_settled = self.with_book(|book| book.committed(&order, Instant::now()));
                self.shared.listed.notify_waiters();
                if is_settled {
                    self.drop_job(&order.job, FINISHED);
                }
            }
            // Another host wrote the segment, this write took effect after all, or the job ended.
            Err(KvError::Conflict { .. }) => {
                let based_on = order.claim.owner.unwrap_or(order.claim.open);
                self.shared.log.write(LogEvent::WriteRejected {
                    job: order.job.clone(),
                    write: "segment".to_owned(),
                    segment: Some(order.number),
                    based_on: based_on.0,
                });
                self.reload(&order.job).await;
            }
            Err(_) => self.with_book(|book| book.commit_failed(&order.job, Instant::now())),
        }
    }

    /// Takes in what the service says of a job whose segment could not be written.
    async fn reload(&self, job: &str) {
        let (Ok(open), Ok(stored)) = (
            self.shared.store.open_job(job).await,
            self.shared.store.load(job).await,
        ) else {
            return self.with_book(|book| book.commit_failed(job, Instant::now()));
        };
        let Some(stored) = stored else {
            return self.drop_job(job, "removed");
        };
        let is_settled = self
            .with_book(|book| book.relist(job, stored.results, stored.segments, Instant::now()));
        self.shared.listed.notify_waiters();
        match (is_settled, open) {
            (true, _) => self.drop_job(job, FINISHED),
            (false, None) => self.drop_job(job, "ended"),
            (false, Some(open)) => match &open.owner {
                Some((owner, _)) if *owner != self.shared.owner => self.drop_job(job, "lost"),
                Some(_) => self.adopt(job).await,
                None => self.claim(&open).await,
            },
        }
    }
}

/// Reads the events of a run until it ends or is stopped.
async fn follow(
    mut run: RequestDispatch,
    mut progress: ItemProgress,
    events: &AtomicU64,
    stop: &CancellationToken,
) -> ItemOutcome {
    let opened = tokio::select! {
        opened = run.start() => opened,
        () = stop.cancelled() => return ItemOutcome::Parked(progress),
    };
    match opened {
        Ok(OpenedAnswer::Stream { .. }) => {}
        Ok(OpenedAnswer::Whole { status, .. }) => return judge_status(status, progress),
        Err(RelayFailure::NotRun) => return ItemOutcome::Unplaced(progress),
        Err(RelayFailure::Lost | RelayFailure::TimedOut) => return ItemOutcome::Broken(progress),
    }
    loop {
        let step = tokio::select! {
            step = run.next_step() => step,
            () = stop.cancelled() => return ItemOutcome::Parked(progress),
        };
        match step {
            StreamStep::Event(event) => {
                progress.push(event.id, &event.data());
                if progress.text.len() > MAX_OUTPUT_BYTES {
                    // It can't be the item's output, so that another run begins anew.
                    return ItemOutcome::Broken(ItemProgress::default());
                }
                events.store(progress.events, Ordering::Relaxed);
            }
            StreamStep::End => return ItemOutcome::Done(progress),
            StreamStep::Failed(_) => return ItemOutcome::Broken(progress),
        }
    }
}

fn judge_status(status: StatusCode, progress: ItemProgress) -> ItemOutcome {
    match status {
        StatusCode::UNPROCESSABLE_ENTITY => ItemOutcome::Impossible,
        StatusCode::INTERNAL_SERVER_ERROR => ItemOutcome::Failed(progress),
        _ => ItemOutcome::Broken(progress),
    }
}

fn outcome_name(outcome: &ItemOutcome) -> &'static str {
    match outcome {
        ItemOutcome::Done(_) => "done",
        ItemOutcome::Parked(_) => "stopped",
        ItemOutcome::Broken(_) => "broken",
        ItemOutcome::Unplaced(_) => "unplaced",
        ItemOutcome::Failed(_) => "failed",
        ItemOutcome::Impossible => "impossible",
    }
}

fn outcome_events(outcome: &ItemOutcome) -> u64 {
    match outcome {
        ItemOutcome::Done(progress)
        | ItemOutcome::Parked(progress)
        | ItemOutcome::Broken(progress)
        | ItemOutcome::Unplaced(progress)
        | ItemOutcome::Failed(progress) => progress.events,
        ItemOutcome::Impossible => 0,
    }
}

fn item_policy() -> RetryPolicy {
    RetryPolicy {
        is_retryable: true,
        max_runs: 1,
        first_event_wait: FIRST_WAIT,
        queued_event_wait: QUEUED_WAIT,
        max_event_gap: GAP_WAIT,
        bounds_last_run: true,
    }
}

fn item_route(table: &RouteTable, host: &str, target: &str) -> Option<(Arc<Route>, ServiceName)> {
    let path = target.split('?').next().unwrap_or_default();
    let route = table.select(host, path)?;
    let service = route.service(rand::random())?;
    Some((route.clone(), service.clone()))
}

fn item_request(
    order: &ItemDispatch,
    route: Arc<Route>,
    service: ServiceName,
    version: u64,
) -> RelayRequest {
    let item = &order.spec.items[order.index];
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(value)) {
            headers.append(name, value);
        }
    }
    let now = Instant::now();
    if let Ok(host) = HeaderValue::from_str(&order.spec.host) {
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
        deadline: now + RUN_TIME,
        resume_after: order.progress.last_id,
    }
}
