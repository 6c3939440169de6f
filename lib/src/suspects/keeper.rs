//! Determines whether a request crashed an upstream, and shares suspects and convictions with the
//! fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::collections::HashSet;
use crate::counters::CounterEvent;
use crate::counters::CounterSet;
use crate::counters::RefusalReason;
use crate::counters::RetryReason;
use crate::decisions::DecisionKind;
use crate::decisions::DecisionRing;
use crate::edges::engine::ModelEngine;
use crate::edges::kv::Expect;
use crate::edges::kv::Freshness;
use crate::edges::kv::KvError;
use crate::edges::kv::KvStore;
use crate::edges::kv::list_all;
use crate::ids::HostId;
use crate::ids::RequestId;
use crate::ids::UpstreamId;
use crate::membership::Membership;
use crate::peers::PeerClient;
use crate::refusal::Refusal;
use crate::suspects::fingerprint::Fingerprint;
use crate::suspects::message::SuspectUpdate;
use crate::suspects::table::SuspectTable;
use crate::suspects::table::SuspectVerdict;
use crate::upstreams::UpstreamTable;

/// Key prefix of convictions in the key-value service; the fingerprint in hexadecimal follows.
pub const CONVICTIONS_PREFIX: &str = "convictions/";
/// Time for which a conviction is stored.
pub const CONVICTION_TTL: Duration = Duration::from_secs(7 * 24 * 3600);

const CONVICTION_FORMAT: u32 = 1;
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after a break in which the upstream has to answer to show whether it crashed.
const PROOF_TIMEOUT: Duration = Duration::from_secs(600);
/// Time after a crash in which the updates of other hosts about it arrive.
const PEER_UPDATE_TIME: Duration = Duration::from_millis(500);
/// Greatest age of a load report.
const MAX_LOAD_REPORT_AGE: Duration = Duration::from_secs(2);
const UPDATE_TIMEOUT: Duration = Duration::from_millis(500);
const HELD_RETRY_AFTER: Duration = Duration::from_secs(1);
const STORE_RETRY_PAUSE: Duration = Duration::from_secs(2);
const CONVICTION_LIST_INTERVAL: Duration = Duration::from_secs(30);

/// A conviction as stored in the key-value service, under the fingerprint of the request.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ConvictionRecord {
    format: u32,
    /// Upstream that crashed while only this request ran on it.
    upstream: UpstreamId,
    at_ms: u64,
}

/// Components that a [`SuspectKeeper`] depends on.
#[derive(Clone)]
pub struct SuspectDependencies {
    /// Name of this host.
    pub host: HostId,
    /// Membership of the fleet, which names the hosts to update.
    pub membership: Arc<Membership>,
    /// Connections to the other hosts.
    pub peers: PeerClient,
    /// Table of upstreams, in which crashed ones are marked so that they get no requests.
    pub upstreams: Arc<UpstreamTable>,
    /// Key-value service that stores the convictions.
    pub kv: Arc<dyn KvStore>,
    /// Client of the engines, for load queries.
    pub engine: Arc<dyn ModelEngine>,
    /// Counters of suspected and convicted requests and of retries.
    pub counters: Arc<CounterSet>,
    /// Ring of recent decisions, for operators.
    pub decisions: Arc<DecisionRing>,
}

/// One run of a request on an upstream.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamRun {
    pub(crate) request: RequestId,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) upstream: UpstreamId,
    pub(crate) address: SocketAddr,
    /// Whether the request was to be the only one on the upstream.
    pub(crate) alone: bool,
    /// Boot number of the upstream before the run; `None` if it was not queried, as for requests
    /// that share an upstream, or did not answer.
    pub(crate) boot: Option<u64>,
    pub(crate) started: Instant,
}

/// Tracks suspects on this host, decides on convictions, and exchanges both with the other hosts.
pub struct SuspectKeeper {
    dependencies: SuspectDependencies,
    table: Mutex<SuspectTable>,
    /// Number of changes of the table, to wake requests that wait for a verdict.
    changes: watch::Sender<u64>,
}

impl SuspectKeeper {
    /// Returns a keeper without suspects or convictions.
    pub fn new(dependencies: SuspectDependencies) -> Arc<Self> {
        Arc::new(Self {
            dependencies,
            table: Mutex::default(),
            changes: watch::Sender::new(0),
        })
    }

    /// Waits while the request is held, until `deadline`; returns whether it has to run alone.
    /// Refuses it if it is convicted or still held at the deadline.
    pub(crate) async fn wait_for_verdict(
        &self,
        fingerprint: Fingerprint,
        deadline: Instant,
    ) -> Result<bool, Refusal> {
        let mut changes = self.changes.subscribe();
        loop {
            changes.borrow_and_update();
            match self.verdict(fingerprint) {
                SuspectVerdict::Free => return Ok(false),
                SuspectVerdict::Alone => return Ok(true),
                SuspectVerdict::Convicted => return Err(convicted_refusal()),
                SuspectVerdict::Held => {}
            }
            let changed = tokio::time::timeout_at(deadline, changes.changed()).await;
            if !matches!(changed, Ok(Ok(()))) {
                return Err(held_refusal());
            }
        }
    }

    /// Returns how the request may run now.
    pub fn verdict(&self, fingerprint: Fingerprint) -> SuspectVerdict {
        self.lock().verdict(fingerprint, Instant::now())
    }

    /// Queries the boot number of an engine, which changes when it restarts; `None` if it does not
    /// answer in time.
    pub(crate) async fn boot_number(&self, address: SocketAddr) -> Option<u64> {
        let load =
            tokio::time::timeout(PROBE_TIMEOUT, self.dependencies.engine.load(address)).await;
        load.ok()?.ok().map(|load| load.boot)
    }

    /// Handles a broken stream of `run`; returns whether the upstream seems to have crashed. For a
    /// request that ran alone, a background task determines whether it did.
    pub(crate) async fn report_broken_stream(self: &Arc<Self>, run: UpstreamRun) -> bool {
        let broke = Instant::now();
        let fingerprint = run.fingerprint;
        let upstream = run.upstream.clone();
        if run.alone {
            let update = SuspectUpdate::Held {
                fingerprint,
                upstream,
                sent_ago: run.started.elapsed(),
            };
            self.broadcast(update).await;
            let keeper = self.clone();
            tokio::spawn(async move { keeper.decide_conviction(run, broke).await });
            return true;
        }
        if self.boot_number(run.address).await.is_some() {
            // Only the connection broke; the upstream still answers.
            return false;
        }
        self.dependencies
            .counters
            .event(CounterEvent::RequestSuspected);
        let detail = format!("ran on {upstream} when it crashed");
        self.record_decision(&run, detail);
        let update = SuspectUpdate::Suspected {
            fingerprint,
            upstream,
            sent_ago: run.started.elapsed(),
        };
        self.broadcast(update).await;
        true
    }

    /// Clears the suspicion of a request that completed while it ran alone.
    pub(crate) async fn report_completion(&self, run: &UpstreamRun) {
        if run.alone {
            self.record_decision(run, "completed while it ran alone".to_owned());
            let fingerprint = run.fingerprint;
            self.broadcast(SuspectUpdate::Cleared { fingerprint }).await;
        }
    }

    /// Applies an update, from this host or a peer.
    pub(crate) fn apply_update(&self, update: &SuspectUpdate) {
        if let SuspectUpdate::Suspected { upstream, .. } | SuspectUpdate::Down { upstream } = update
        {
            self.dependencies.upstreams.note_crash(upstream);
        }
        if self.lock().apply(update, Instant::now()) {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    /// Periodically reads the stored convictions and removes old suspects, until `stop`.
    pub(crate) async fn run(&self, stop: CancellationToken) {
        let reading = async {
            loop {
                let read_result = self.read_convictions().await;
                self.lock().expire(Instant::now());
                let pause = match read_result {
                    Ok(()) => CONVICTION_LIST_INTERVAL,
                    Err(_) => STORE_RETRY_PAUSE,
                };
                tokio::time::sleep(pause).await;
            }
        };
        tokio::select! {
            () = reading => {}
            () = stop.cancelled() => {}
        }
    }

    /// Convicts a request that ran alone if it crashed its upstream, and else releases it.
    async fn decide_conviction(self: Arc<Self>, run: UpstreamRun, broke: Instant) {
        let fingerprint = run.fingerprint;
        let crashed = self.prove_crash(&run, broke).await;
        let had_others =
            self.lock()
                .had_other_suspects(fingerprint, &run.upstream, run.started, broke);
        let detail = match crashed {
            Some(true) if !had_others => return self.convict(&run).await,
            Some(true) => "other requests ran there too",
            Some(false) => "the upstream did not crash",
            None => "no proof that the upstream crashed",
        };
        self.record_decision(&run, detail.to_owned());
        self.broadcast(SuspectUpdate::Released { fingerprint })
            .await;
    }

    /// Waits until the upstream answers again and returns whether it crashed, which a new boot
    /// number proves. Returns `None` if it does not answer in time, or if the boot number before
    /// the run is unknown.
    async fn prove_crash(&self, run: &UpstreamRun, broke: Instant) -> Option<bool> {
        let before = run.boot?;
        let mut answers_since = None;
        let mut boot_number = self.boot_number(run.address).await;
        if boot_number.is_none() {
            // Requests that waited for this run to end must not be dispatched to a dead upstream.
            let upstream = run.upstream.clone();
            self.broadcast(SuspectUpdate::Down { upstream }).await;
        }
        loop {
            match boot_number {
                Some(boot_number) if boot_number != before => {
                    tokio::time::sleep_until(broke + PEER_UPDATE_TIME).await;
                    return Some(true);
                }
                Some(_) => {
                    // Load reports lag: an old boot number is only proof after `MAX_LOAD_REPORT_AGE`.
                    let since = *answers_since.get_or_insert_with(Instant::now);
                    if since.elapsed() >= MAX_LOAD_REPORT_AGE {
                        return Some(false);
                    }
                }
                None => answers_since = None,
            }
            if broke.elapsed() >= PROOF_TIMEOUT {
                return None;
            }
            tokio::time::sleep(PROBE_INTERVAL).await;
            boot_number = self.boot_number(run.address).await;
        }
    }

    async fn convict(&self, run: &UpstreamRun) {
        self.dependencies
            .counters
            .event(CounterEvent::RequestConvicted);
        self.record_decision(run, format!("crashed {} while alone on it", run.upstream));
        let fingerprint = run.fingerprint;
        self.broadcast(SuspectUpdate::Convicted { fingerprint })
            .await;
        let record = ConvictionRecord {
            format: CONVICTION_FORMAT,
            upstream: run.upstream.clone(),
            at_ms: crate::clock::unix_millis(),
        };
        while self.store_conviction(fingerprint, &record).await.is_err() {
            self.dependencies.counters.retry(RetryReason::StoreFailed);
            tokio::time::sleep(STORE_RETRY_PAUSE).await;
        }
    }

    async fn store_conviction(
        &self,
        fingerprint: Fingerprint,
        record: &ConvictionRecord,
    ) -> Result<(), KvError> {
        let lease = self.dependencies.kv.grant_lease(CONVICTION_TTL).await?;
        let key = format!("{CONVICTIONS_PREFIX}{}", fingerprint.to_hex());
        let value = serde_json::to_vec(record).expect("records serialize to JSON");
        let value = Bytes::from(value);
        let put = self
            .dependencies
            .kv
            .put(&key, value, Expect::Any, Some(lease));
        put.await.map(|_| ())
    }

    async fn read_convictions(&self) -> Result<(), KvError> {
        let kv = self.dependencies.kv.as_ref();
        let (entries, _) = list_all(kv, CONVICTIONS_PREFIX, Freshness::Current).await?;
        let names = entries
            .iter()
            .filter_map(|entry| entry.key.strip_prefix(CONVICTIONS_PREFIX));
        let known: HashSet<Fingerprint> = names.filter_map(Fingerprint::from_hex).collect();
        let mut table = self.lock();
        for fingerprint in known {
            table.apply(&SuspectUpdate::Convicted { fingerprint }, Instant::now());
        }
        drop(table);
        self.changes.send_modify(|count| *count += 1);
        Ok(())
    }

    /// Applies an update here and sends it to all other hosts; returns when each has replied or its
    /// call has failed.
    async fn broadcast(&self, update: SuspectUpdate) {
        self.apply_update(&update);
        let view = self.dependencies.membership.view();
        let calls = view
            .hosts
            .iter()
            .filter(|host| host.id != self.dependencies.host)
            .map(|host| {
                self.dependencies
                    .peers
                    .call(host.peer_address, update.clone(), UPDATE_TIMEOUT)
            });
        let replies = futures_util::future::join_all(calls).await;
        for _ in replies.iter().filter(|reply| reply.is_err()) {
            self.dependencies.counters.retry(RetryReason::PeerFailed);
        }
    }

    fn record_decision(&self, run: &UpstreamRun, detail: String) {
        let subjects = [run.request.as_str(), run.upstream.as_str()];
        let detail = format!("{}: {detail}", run.fingerprint.to_hex());
        self.dependencies
            .decisions
            .record(DecisionKind::Suspicion, &subjects, detail);
    }

    fn lock(&self) -> MutexGuard<'_, SuspectTable> {
        self.table.lock().expect("suspect table lock")
    }
}

fn convicted_refusal() -> Refusal {
    let message = "this request crashed the upstreams that ran it and is refused";
    Refusal::new(RefusalReason::Convicted, message)
}

fn held_refusal() -> Refusal {
    let message = "it is not yet known whether this request crashed an upstream";
    Refusal::new(RefusalReason::Overloaded, message).with_retry_after(HELD_RETRY_AFTER)
}
