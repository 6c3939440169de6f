//! Injects the faults of a [`FaultPlan`] from outside the processes.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use parsleywall::edges::kv::Expect;
use parsleywall::edges::kv::KvStore;
use parsleywall_standins::kv::LateAnswers;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::JoinSet;

use crate::content;
use crate::fleet::Manifest;
use crate::fleet::SoakFleet;
use crate::history::CallOutcome;
use crate::history::FaultRecord;
use crate::history::MoveRecord;
use crate::history::SoakHistory;
use crate::late_calls::LateCalls;
use crate::owner_watch::OPEN_PREFIX;
use crate::owner_watch::OWNER_SUFFIX;
use crate::plan::FaultKind;
use crate::plan::FaultPlan;
use crate::plan::PlannedFault;
use crate::play::CONFIG_WATCH;
use crate::play::ENTRY_WATCH;
use crate::play_clients::BrokenStream;
use crate::play_results::SEGMENT_KEYS;
use crate::proxy::Direction;
use crate::proxy::LinkFault;
use crate::proxy::LinkProxy;
use crate::workers::ANNEX;
use crate::workers::DESK;
use crate::workers::WorkerRestart;

const SLOW_STORE_MS: u64 = 400;
const LINK_DELAY: Duration = Duration::from_millis(80);
const LOST_RESPONSES: u64 = 6;
/// Longest time by which answers of the store are late.
const LATE_ANSWERS: Duration = Duration::from_millis(2_500);
/// Time between two deletions of owner keys.
const DELETION_GAP_MS: std::ops::Range<u64> = 40..1_000;
/// Share of the length of a restart for which the worker is away.
const RESTART_AWAY_ONE_IN: u32 = 40;
const MANIFEST_WRITE_ATTEMPTS: usize = 40;
const MANIFEST_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Further machines for processes that have the name of a front, used in turn.
const MAX_NAMESAKES: usize = 20;
/// Time after the end of a process in which the other process of its name may still end itself.
const NAMESAKE_NOTICE_TIME: Duration = Duration::from_secs(3);
/// Number of callers that fall silent at once.
const SILENT_CALLERS: usize = 3;
/// Seconds that the streams of these callers take, and the time for which they read them.
const SILENT_STREAM_S: u64 = 3;
const SILENT_STREAM_TIME: Duration = Duration::from_millis(300);

/// A route that a fault added to the manifest.
#[derive(Clone, Debug)]
pub struct AddedRoute {
    /// Path prefix of the route.
    pub prefix: String,
    /// When the store acknowledged the manifest that first has the route.
    pub acknowledged_at: Duration,
}

/// Injects and records faults, and tracks the routes added to the manifest.
pub struct FaultInjector {
    fleet: Arc<SoakFleet>,
    history: SoakHistory,
    added: Mutex<Vec<AddedRoute>>,
    namesakes: AtomicUsize,
    silent_groups: AtomicUsize,
    sends_late_calls: bool,
    late_groups: AtomicUsize,
    /// Manifest that was last sent to the store, locked while it is changed.
    manifest: tokio::sync::Mutex<Manifest>,
}

impl FaultInjector {
    /// Returns an injector that acts on `fleet` and records to `history`.
    ///
    /// If `sends_late_calls`, long requests arrive late in stops of single fronts.
    pub fn new(fleet: Arc<SoakFleet>, history: SoakHistory, sends_late_calls: bool) -> Arc<Self> {
        Arc::new(Self {
            sends_late_calls,
            fleet,
            history,
            added: Mutex::default(),
            namesakes: AtomicUsize::new(0),
            silent_groups: AtomicUsize::new(0),
            late_groups: AtomicUsize::new(0),
            manifest: tokio::sync::Mutex::new(Manifest::new(1)),
        })
    }

    /// The route that was last added and acknowledged by the store, if any.
    pub fn newest_route(&self) -> Option<AddedRoute> {
        self.added.lock().expect("routes lock").last().cloned()
    }

    /// Injects the faults of `plan` at their times; returns when the last one is over.
    pub async fn play(self: &Arc<Self>, plan: &FaultPlan) {
        let began = tokio::time::Instant::now();
        let mut running = JoinSet::new();
        for fault in plan.faults.clone() {
            tokio::time::sleep_until(began + fault.at).await;
            let injector = self.clone();
            running.spawn(async move { injector.inject(fault).await });
        }
        while running.join_next().await.is_some() {}
    }

    async fn inject(&self, fault: PlannedFault) {
        let from = self.history.now();
        // The record has no end until the fault is over, so that the checks regard it as in effect.
        let position = self.record_fault(&fault, from);
        let done = self.carry_out(fault).await;
        let to = self.history.now();
        self.history
            .update(|records| records.faults[position].to = to);
        if let Err(err) = done {
            self.history
                .record_violation("SOAK", &format!("{} failed: {err}", fault.kind));
        }
    }

    fn record_fault(&self, fault: &PlannedFault, from: Duration) -> usize {
        let mut position = 0;
        self.history.update(|records| {
            position = records.faults.len();
            records.faults.push(FaultRecord {
                name: fault.kind.to_string(),
                planned: fault.kind.is_planned(),
                at_store: fault.kind.is_at_store(),
                excuses_overlap: !fault.kind.is_planned()
                    && !fault.kind.doubles_runs()
                    && !fault.kind.unsettles_jobs(),
                from,
                to: Duration::MAX,
            });
        });
        position
    }

    async fn carry_out(&self, fault: PlannedFault) -> std::io::Result<()> {
        let PlannedFault { length, target, .. } = fault;
        let fleet = &self.fleet;
        let links = |fault: PlannedFault| {
            let numbers = fault.scope.fronts(fault.target, fleet.store_links.len());
            numbers.into_iter().map(|number| &fleet.store_links[number])
        };
        let both = [Direction::ToServer, Direction::ToClient];
        let faults = &fleet.kv.faults;
        match fault.kind {
            FaultKind::FrontKilled => fleet.fronts[target].lock().await.kill_and_restart().await?,
            FaultKind::FrontsKilled => self.kill_all().await?,
            FaultKind::FrontPaused => fleet.fronts[target].lock().await.pause(length).await,
            FaultKind::FrontStopped if self.sends_late_calls => {
                let mut front = fleet.fronts[target].lock().await;
                let group = self.late_groups.fetch_add(1, Ordering::Relaxed);
                let calls = LateCalls::open(fleet, self.history.clone(), target, group);
                let calls = tokio::spawn(calls.await.send());
                let stopped = front.stop_and_restart().await;
                calls.await.map_err(std::io::Error::other)?;
                stopped?;
            }
            FaultKind::FrontStopped => fleet.fronts[target].lock().await.stop_and_restart().await?,
            FaultKind::FrontsRolled => {
                for front in &fleet.fronts {
                    front.lock().await.stop_and_restart().await?;
                    tokio::time::sleep(Duration::from_secs(1)).await;
                }
            }
            FaultKind::SettingsChanged => fleet.fronts[target].lock().await.reload().await?,
            FaultKind::StoreDown => {
                faults.down.store(true, Ordering::Relaxed);
                tokio::time::sleep(length).await;
                faults.down.store(false, Ordering::Relaxed);
            }
            FaultKind::StoreSlow => {
                faults.delay_ms.store(SLOW_STORE_MS, Ordering::Relaxed);
                tokio::time::sleep(length).await;
                faults.delay_ms.store(0, Ordering::Relaxed);
            }
            FaultKind::StoreAnswersLost => {
                faults.lose_answers.store(LOST_RESPONSES, Ordering::Relaxed);
                tokio::time::sleep(length).await;
                faults.lose_answers.store(0, Ordering::Relaxed);
            }
            FaultKind::StoreForgets => fleet.kv.forget_history(),
            FaultKind::StoreSilent => {
                inject_link_fault(&fleet.store_links[target], LinkFault::StallBoth, length).await
            }
            FaultKind::StoreCutThere => {
                inject_link_fault(&fleet.store_links[target], LinkFault::StallToServer, length)
                    .await;
            }
            FaultKind::StoreCutBack => {
                inject_link_fault(&fleet.store_links[target], LinkFault::StallToClient, length)
                    .await;
            }
            FaultKind::StoreOldSilent => {
                for link in &fleet.store_links {
                    link.set(LinkFault::StallExisting);
                }
            }
            FaultKind::AllOldSilent => {
                for link in fleet.store_links.iter().chain(&fleet.caller_links) {
                    link.set(LinkFault::StallExisting);
                }
                for link in &fleet.peer_links {
                    link.set(LinkFault::StallExisting);
                }
                fleet
                    .workers
                    .with_links(|link| link.set(LinkFault::StallExisting));
            }
            FaultKind::ConfigWatchSilent => {
                for link in links(fault) {
                    link.stall_requests(CONFIG_WATCH, &both);
                }
            }
            FaultKind::EntryWatchSilent => {
                for link in links(fault) {
                    link.stall_requests(ENTRY_WATCH, &both);
                }
            }
            FaultKind::StoreBodiesSilent => {
                inject_link_faults(links(fault), LinkFault::StallBodies, length).await;
            }
            FaultKind::StoreAwayRefusing => {
                inject_link_faults(links(fault), LinkFault::AwayRefusing, length).await;
            }
            FaultKind::StoreAwayMute => {
                inject_link_faults(links(fault), LinkFault::AwayMute, length).await;
            }
            FaultKind::StoreReset => fleet.store_links[target].reset(),
            FaultKind::CallersDelayed => {
                let delayed = LinkFault::Delayed(LINK_DELAY);
                inject_link_fault(&fleet.caller_links[target], delayed, length).await;
            }
            FaultKind::CallersReset => fleet.caller_links[target].reset(),
            FaultKind::CallersCutBack => {
                inject_link_fault(
                    &fleet.caller_links[target],
                    LinkFault::StallToClient,
                    length,
                )
                .await;
            }
            FaultKind::CallersOldSilent => fleet.caller_links[target].set(LinkFault::StallExisting),
            FaultKind::WorkerCrashed => fleet.workers.crash(target).await,
            FaultKind::WorkerSilent => {
                self.inject_worker_fault(target, LinkFault::StallBoth, length)
                    .await
            }
            FaultKind::WorkerCutBack => {
                self.inject_worker_fault(target, LinkFault::StallToClient, length)
                    .await;
            }
            FaultKind::WorkerOldSilent => {
                fleet
                    .workers
                    .with_link(target, |link| link.set(LinkFault::StallExisting));
            }
            FaultKind::WorkerReset => fleet.workers.with_link(target, LinkProxy::reset),
            FaultKind::WorkerDelayed => {
                let delayed = LinkFault::Delayed(LINK_DELAY);
                self.inject_worker_fault(target, delayed, length).await;
            }
            FaultKind::WorkerGrey => {
                fleet.workers.set_fails_partly(target, true);
                tokio::time::sleep(length).await;
                fleet.workers.set_fails_partly(target, false);
            }
            FaultKind::WorkerRestarted => {
                let version = fleet.workers.version(target).unwrap_or_default();
                let restart = WorkerRestart {
                    version: format!("{version}.1"),
                    away: length / RESTART_AWAY_ONE_IN,
                    entry_lag: length / 2,
                };
                fleet.workers.restart(target, restart).await?;
            }
            FaultKind::WorkerReplaced => fleet.workers.replace(target).await,
            FaultKind::ManifestChanged => self.add_route().await,
            FaultKind::RouteMoved => self.move_route().await,
            FaultKind::NamesakeStarted => self.start_namesake(fault).await?,
            FaultKind::ClockWrong => {
                let mut front = fleet.fronts[target].lock().await;
                front.restart_with_clock(fault.clock_shift_ms()).await?;
            }
            FaultKind::CallersGone => self.leave_silently(target).await,
            FaultKind::StoreAnswersLate => self.answer_late("", fault).await,
            FaultKind::StoreResultsLate => self.answer_late(SEGMENT_KEYS, fault).await,
            FaultKind::OwnersDeleted => self.delete_owners(fault).await,
        }
        Ok(())
    }

    /// Answers calls about keys with `part` in their names late.
    async fn answer_late(&self, part: &'static str, fault: PlannedFault) {
        let set = |late| {
            let faults = &self.fleet.kv.faults;
            *faults.late_answers.lock().expect("late answers lock") = late;
        };
        let seed = fault.at.as_millis() as u64;
        set(Some(LateAnswers::new(part, LATE_ANSWERS, seed)));
        tokio::time::sleep(fault.length).await;
        set(None);
    }

    /// Deletes the owner keys of all open jobs, and of some of them, again and again.
    async fn delete_owners(&self, fault: PlannedFault) {
        let mut rng = StdRng::seed_from_u64(fault.at.as_millis() as u64);
        let until = tokio::time::Instant::now() + fault.length;
        while tokio::time::Instant::now() < until {
            let keys = self.fleet.kv.keys(OPEN_PREFIX);
            let all = rng.random_bool(0.5);
            for key in keys.iter().filter(|key| key.ends_with(OWNER_SUFFIX)) {
                if all || rng.random_bool(0.5) {
                    let _ = self.fleet.kv.delete(key, Expect::Any).await;
                }
            }
            let gap = rng.random_range(DELETION_GAP_MS);
            tokio::time::sleep(Duration::from_millis(gap)).await;
        }
    }

    /// Starts a second process of the name of a front, and ends it after the length of the fault.
    async fn start_namesake(&self, fault: PlannedFault) -> std::io::Result<()> {
        let address = self.namesakes.fetch_add(1, Ordering::Relaxed) % MAX_NAMESAKES;
        let mut namesake = self.fleet.namesake(fault.target, Some(address))?;
        let doubled = &self.fleet.doubled[fault.target];
        doubled.fetch_add(1, Ordering::Relaxed);
        namesake.spawn()?;
        tokio::time::sleep(fault.length).await;
        let ended = match fault.ends_by_kill() {
            true => namesake.kill().await,
            false => namesake.stop().await,
        };
        tokio::time::sleep(NAMESAKE_NOTICE_TIME).await;
        doubled.fetch_sub(1, Ordering::Relaxed);
        ended
    }

    /// Begins streams at front `target`, whose callers leave without closing their connections and take
    /// the streams up at the next front.
    async fn leave_silently(&self, target: usize) {
        let fleet = &self.fleet;
        let second = (target + 1) % fleet.fronts.len();
        let group = self.silent_groups.fetch_add(1, Ordering::Relaxed);
        let streams = (0..SILENT_CALLERS).map(|number| async move {
            let name = format!("gone-{group}-{number}");
            let id = content::lasting(&name, SILENT_STREAM_S);
            let sent = self.history.now();
            let stream = BrokenStream::begin_and_hold(fleet, target, &id, SILENT_STREAM_TIME).await;
            let both = [Direction::ToServer, Direction::ToClient];
            fleet.caller_links[target].stall_requests(&id, &both);
            self.history
                .record_stream(&id, target, sent, CallOutcome::CutOff);
            let (attempt, sent) = (format!("{id}-again"), self.history.now());
            let outcome = stream.take_up(fleet, second, &attempt).await;
            self.history.record_stream(&attempt, second, sent, outcome);
        });
        futures_util::future::join_all(streams).await;
    }

    async fn kill_all(&self) -> std::io::Result<()> {
        let restarts = self
            .fleet
            .fronts
            .iter()
            .map(|front| async { front.lock().await.kill_and_restart().await });
        let ended = futures_util::future::join_all(restarts).await;
        ended.into_iter().collect()
    }

    async fn inject_worker_fault(&self, target: usize, fault: LinkFault, length: Duration) {
        let workers = &self.fleet.workers;
        workers.with_link(target, |link| link.set(fault));
        tokio::time::sleep(length).await;
        workers.with_link(target, |link| link.set(LinkFault::None));
    }

    /// Adds a route to the manifest.
    async fn add_route(&self) {
        let mut manifest = self.manifest.lock().await;
        let prefix = format!("/added-{}/", manifest.added.len());
        manifest.added.push(prefix.clone());
        if let Some(acknowledged_at) = self.put_next(&mut manifest).await {
            let route = AddedRoute {
                prefix,
                acknowledged_at,
            };
            self.added.lock().expect("routes lock").push(route);
        }
    }

    /// Moves the route of [`MOVED_PREFIX`](crate::fleet::MOVED_PREFIX) to the other service.
    async fn move_route(&self) {
        let mut manifest = self.manifest.lock().await;
        manifest.service = match manifest.service {
            DESK => ANNEX,
            _ => DESK,
        };
        let record = MoveRecord {
            service: manifest.service.to_owned(),
            sent: self.history.now(),
            at: None,
        };
        let mut position = 0;
        self.history.update(|records| {
            position = records.moves.len();
            records.moves.push(record);
        });
        let at = self.put_next(&mut manifest).await;
        self.history
            .update(|records| records.moves[position].at = at);
    }

    /// Sends `manifest` as the next version until the store acknowledges it; returns when it did.
    /// The version rises by three, as versions may have gaps.
    async fn put_next(&self, manifest: &mut Manifest) -> Option<Duration> {
        manifest.version += 3;
        for _ in 0..MANIFEST_WRITE_ATTEMPTS {
            if self.fleet.put_manifest(manifest).await {
                return Some(self.history.now());
            }
            tokio::time::sleep(MANIFEST_RETRY_DELAY).await;
        }
        None
    }
}

async fn inject_link_faults<'a>(
    links: impl Iterator<Item = &'a LinkProxy>,
    fault: LinkFault,
    length: Duration,
) {
    futures_util::future::join_all(links.map(|link| inject_link_fault(link, fault, length))).await;
}

async fn inject_link_fault(link: &LinkProxy, fault: LinkFault, length: Duration) {
    link.set(fault);
    tokio::time::sleep(length).await;
    link.set(LinkFault::None);
}
