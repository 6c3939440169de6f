//! Carries out the faults of a plan from outside the processes.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::task::JoinSet;

use crate::fleet::SoakFleet;
use crate::history::FaultRecord;
use crate::history::SoakHistory;
use crate::plan::FaultKind;
use crate::plan::FaultPlan;
use crate::plan::PlannedFault;
use crate::proxy::LinkFault;
use crate::proxy::LinkProxy;

const SLOW_STORE_MS: u64 = 400;
const LINK_DELAY: Duration = Duration::from_millis(80);
const LOST_ANSWERS: u64 = 6;

/// A route that was added, and since when the store has acknowledged it.
#[derive(Clone, Debug)]
pub struct AddedRoute {
    /// Its prefix.
    pub prefix: String,
    /// When the store acknowledged it.
    pub since: Duration,
}

/// Carries out faults and keeps the manifest's versions.
pub struct FaultInjector {
    fleet: Arc<SoakFleet>,
    history: SoakHistory,
    added: Mutex<Vec<AddedRoute>>,
}

impl FaultInjector {
    /// Returns an injector for `fleet`.
    pub fn new(fleet: Arc<SoakFleet>, history: SoakHistory) -> Arc<Self> {
        Arc::new(Self {
            fleet,
            history,
            added: Mutex::default(),
        })
    }

    /// The route that was added last.
    pub fn newest_route(&self) -> Option<AddedRoute> {
        self.added.lock().expect("routes lock").last().cloned()
    }

    /// Plays `plan` to its end.
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
        // A fault that is not over yet counts as lasting.
        let position = self.note(&fault, from);
        let done = self.carry_out(fault).await;
        let to = self.history.now();
        self.history
            .note(|records| records.faults[position].to = to);
        if let Err(err) = done {
            self.history
                .note_broken("SOAK", &format!("{} failed: {err}", fault.kind));
        }
    }

    fn note(&self, fault: &PlannedFault, from: Duration) -> usize {
        let mut position = 0;
        self.history.note(|records| {
            position = records.faults.len();
            records.faults.push(FaultRecord {
                name: fault.kind.to_string(),
                planned: fault.kind.is_planned(),
                from,
                to: Duration::MAX,
            });
        });
        position
    }

    async fn carry_out(&self, fault: PlannedFault) -> std::io::Result<()> {
        let PlannedFault { length, target, .. } = fault;
        let fleet = &self.fleet;
        let faults = &fleet.kv.faults;
        match fault.kind {
            FaultKind::FrontKilled => fleet.fronts[target].lock().await.kill_and_restart().await?,
            FaultKind::FrontsKilled => self.kill_all().await?,
            FaultKind::FrontPaused => fleet.fronts[target].lock().await.pause(length).await,
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
                faults.lose_answers.store(LOST_ANSWERS, Ordering::Relaxed);
                tokio::time::sleep(length).await;
                faults.lose_answers.store(0, Ordering::Relaxed);
            }
            FaultKind::StoreForgets => fleet.kv.forget_history(),
            FaultKind::StoreSilent => {
                harm(&fleet.store_links[target], LinkFault::Silent, length).await
            }
            FaultKind::StoreCutThere => {
                harm(&fleet.store_links[target], LinkFault::CutToServer, length).await;
            }
            FaultKind::StoreCutBack => {
                harm(&fleet.store_links[target], LinkFault::CutToClient, length).await;
            }
            FaultKind::StoreOldSilent => {
                for link in &fleet.store_links {
                    link.set(LinkFault::OldSilent);
                }
            }
            FaultKind::StoreReset => fleet.store_links[target].reset(),
            FaultKind::CallersDelayed => {
                let delayed = LinkFault::Delayed(LINK_DELAY);
                harm(&fleet.caller_links[target], delayed, length).await;
            }
            FaultKind::CallersReset => fleet.caller_links[target].reset(),
            FaultKind::CallersCutBack => {
                harm(&fleet.caller_links[target], LinkFault::CutToClient, length).await;
            }
            FaultKind::CallersOldSilent => fleet.caller_links[target].set(LinkFault::OldSilent),
            FaultKind::WorkerCrashed => fleet.workers.crash(target).await,
            FaultKind::WorkerSilent => self.harm_worker(target, LinkFault::Silent, length).await,
            FaultKind::WorkerCutBack => {
                self.harm_worker(target, LinkFault::CutToClient, length)
                    .await;
            }
            FaultKind::WorkerOldSilent => {
                fleet
                    .workers
                    .harm(target, |link| link.set(LinkFault::OldSilent));
            }
            FaultKind::WorkerReset => fleet.workers.harm(target, LinkProxy::reset),
            FaultKind::WorkerDelayed => {
                let delayed = LinkFault::Delayed(LINK_DELAY);
                self.harm_worker(target, delayed, length).await;
            }
            FaultKind::WorkerGrey => {
                fleet.workers.set_grey(target, true);
                tokio::time::sleep(length).await;
                fleet.workers.set_grey(target, false);
            }
            FaultKind::WorkerReplaced => fleet.workers.replace(target).await,
            FaultKind::ManifestChanged => self.add_route().await,
        }
        Ok(())
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

    async fn harm_worker(&self, target: usize, fault: LinkFault, length: Duration) {
        let workers = &self.fleet.workers;
        workers.harm(target, |link| link.set(fault));
        tokio::time::sleep(length).await;
        workers.harm(target, |link| link.set(LinkFault::None));
    }

    /// Adds a route to the manifest; versions rise in uneven steps.
    async fn add_route(&self) {
        let mut prefixes: Vec<String> = {
            let added = self.added.lock().expect("routes lock");
            added.iter().map(|route| route.prefix.clone()).collect()
        };
        let prefix = format!("/added-{}/", prefixes.len());
        prefixes.push(prefix.clone());
        let version = 1 + 3 * prefixes.len() as u64;
        if self.fleet.put_manifest(version, &prefixes).await {
            let since = self.history.now();
            let route = AddedRoute { prefix, since };
            self.added.lock().expect("routes lock").push(route);
        }
    }
}

async fn harm(link: &LinkProxy, fault: LinkFault, length: Duration) {
    link.set(fault);
    tokio::time::sleep(length).await;
    link.set(LinkFault::None);
}
