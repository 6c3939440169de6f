//! Finds out whether upstreams crashed, and shares what is known about suspects.

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
use crate::suspects::book::SuspectTable;
use crate::suspects::book::SuspectVerdict;
use crate::suspects::fingerprint::Fingerprint;
use crate::suspects::message::SuspectUpdate;
use crate::upstreams::UpstreamTable;

/// Prefix of the keys of convictions in the key-value service.
pub const CONVICTIONS_PREFIX: &str = "convictions/";
/// Time for which a conviction lasts.
pub const CONVICTION_TTL: Duration = Duration::from_secs(7 * 24 * 3600);

const CONVICTION_FORMAT: u32 = 1;
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which the proof of a crash is waited for.
const PROOF_LIMIT: Duration = Duration::from_secs(600);
/// Reports of other hosts about the same crash arrive within this time.
const REPORT_TIME: Duration = Duration::from_millis(500);
/// Load reports are at most this old.
const REPORT_LAG: Duration = Duration::from_secs(2);
const NEWS_TIMEOUT: Duration = Duration::from_millis(500);
const HELD_RETRY: Duration = Duration::from_secs(1);
const STORE_PAUSE: Duration = Duration::from_secs(2);
const LIST_INTERVAL: Duration = Duration::from_secs(30);

/// A conviction as the key-value service holds it, under its fingerprint.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ConvictionRecord {
    format: u32,
    /// Upstream that crashed while the request ran alone on it.
    upstream: UpstreamId,
    at_ms: u64,
}

/// What a keeper needs of the other slices.
#[derive(Clone)]
pub struct SuspectDependencies {
    /// Name of this host.
    pub host: HostId,
    /// Hosts of the fleet.
    pub membership: Arc<Membership>,
    /// Connections to them.
    pub peers: PeerClient,
    /// Upstreams, which are out of the choice once they are known to have crashed.
    pub upstreams: Arc<UpstreamTable>,
    /// The key-value service.
    pub kv: Arc<dyn KvStore>,
    /// The engines.
    pub engine: Arc<dyn ModelEngine>,
    /// Counters.
    pub counters: Arc<CounterSet>,
    /// Decisions.
    pub decisions: Arc<DecisionRing>,
}

/// A request on an upstream, as it was sent.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamRun {
    pub(crate) request: RequestId,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) upstream: UpstreamId,
    pub(crate) address: SocketAddr,
    /// Whether it had the upstream for itself.
    pub(crate) alone: bool,
    /// Boot number of the upstream before, for work that runs alone.
    pub(crate) boot: Option<u64>,
    pub(crate) started: Instant,
}

/// Keeper of what is known about requests that crash upstreams.
pub struct SuspectKeeper {
    parts: SuspectDependencies,
    book: Mutex<SuspectTable>,
    /// Counts changes of the book.
    changes: watch::Sender<u64>,
}

impl SuspectKeeper {
    /// Returns a keeper that knows no suspects.
    pub fn new(parts: SuspectDependencies) -> Arc<Self> {
        Arc::new(Self {
            parts,
            book: Mutex::default(),
            changes: watch::Sender::new(0),
        })
    }

    /// Waits until it is known whether the request may run; returns whether it has to run alone.
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
                SuspectVerdict::Convicted => return Err(convicted()),
                SuspectVerdict::Held => {}
            }
            let changed = tokio::time::timeout_at(deadline, changes.changed()).await;
            if !matches!(changed, Ok(Ok(()))) {
                return Err(held());
            }
        }
    }

    /// What may be done with the request.
    pub fn verdict(&self, fingerprint: Fingerprint) -> SuspectVerdict {
        self.lock().verdict(fingerprint, Instant::now())
    }

    /// Boot number of an engine.
    pub(crate) async fn boot(&self, address: SocketAddr) -> Option<u64> {
        let load = tokio::time::timeout(PROBE_TIMEOUT, self.parts.engine.load(address)).await;
        load.ok()?.ok().map(|load| load.boot)
    }

    /// Takes note that the stream of `run` broke; returns whether the upstream seems to have
    /// crashed. A request that ran alone is judged in the background.
    pub(crate) async fn report_broken_stream(self: &Arc<Self>, run: UpstreamRun) -> bool {
        let broke = Instant::now();
        let fingerprint = run.fingerprint;
        let upstream = run.upstream.clone();
        if run.alone {
            let news = SuspectUpdate::Held {
                fingerprint,
                upstream,
                sent_ago: run.started.elapsed(),
            };
            self.spread(news).await;
            let keeper = self.clone();
            tokio::spawn(async move { keeper.judge(run, broke).await });
            return true;
        }
        if self.boot(run.address).await.is_some() {
            // One connection broke; the upstream is well.
            return false;
        }
        self.parts.counters.event(CounterEvent::RequestSuspected);
        let detail = format!("ran on {upstream} when it crashed");
        self.record(&run, detail);
        let news = SuspectUpdate::Suspected {
            fingerprint,
            upstream,
            sent_ago: run.started.elapsed(),
        };
        self.spread(news).await;
        true
    }

    /// Takes note that a suspect ran alone to its end.
    pub(crate) async fn report_completion(&self, run: &UpstreamRun) {
        if run.alone {
            self.record(run, "ran alone to its end".to_owned());
            let fingerprint = run.fingerprint;
            self.spread(SuspectUpdate::Cleared { fingerprint }).await;
        }
    }

    /// Takes in news of another host.
    pub(crate) fn apply_update(&self, news: &SuspectUpdate) {
        if let SuspectUpdate::Suspected { upstream, .. } | SuspectUpdate::Down { upstream } = news {
            self.parts.upstreams.note_crash(upstream);
        }
        if self.lock().note(news, Instant::now()) {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    /// Learns convictions and forgets old suspects, until `stop`.
    pub(crate) async fn run(&self, stop: CancellationToken) {
        let learning = async {
            loop {
                let learned = self.learn_convictions().await;
                self.lock().expire(Instant::now());
                let pause = match learned {
                    Ok(()) => LIST_INTERVAL,
                    Err(_) => STORE_PAUSE,
                };
                tokio::time::sleep(pause).await;
            }
        };
        tokio::select! {
            () = learning => {}
            () = stop.cancelled() => {}
        }
    }

    /// Decides whether a request that ran alone crashed its upstream.
    async fn judge(self: Arc<Self>, run: UpstreamRun, broke: Instant) {
        let fingerprint = run.fingerprint;
        let crashed = self.prove_crash(&run, broke).await;
        let company =
            self.lock()
                .had_other_suspects(fingerprint, &run.upstream, run.started, broke);
        let detail = match crashed {
            Some(true) if !company => return self.convict(&run).await,
            Some(true) => "others ran there too",
            Some(false) => "the upstream did not crash",
            None => "no proof that the upstream crashed",
        };
        self.record(&run, detail.to_owned());
        self.spread(SuspectUpdate::Released { fingerprint }).await;
    }

    /// Waits until the upstream answers again; a new boot number proves that it crashed.
    async fn prove_crash(&self, run: &UpstreamRun, broke: Instant) -> Option<bool> {
        let before = run.boot?;
        let mut answers_since = None;
        let mut boot = self.boot(run.address).await;
        if boot.is_none() {
            // Work that waited for the end of this run must not go to a dead upstream.
            let upstream = run.upstream.clone();
            self.spread(SuspectUpdate::Down { upstream }).await;
        }
        loop {
            match boot {
                Some(boot) if boot != before => {
                    tokio::time::sleep_until(broke + REPORT_TIME).await;
                    return Some(true);
                }
                Some(_) => {
                    // Load reports lag: the old number counts once they had time to change.
                    let since = *answers_since.get_or_insert_with(Instant::now);
                    if since.elapsed() >= REPORT_LAG {
                        return Some(false);
                    }
                }
                None => answers_since = None,
            }
            if broke.elapsed() >= PROOF_LIMIT {
                return None;
            }
            tokio::time::sleep(PROBE_INTERVAL).await;
            boot = self.boot(run.address).await;
        }
    }

    async fn convict(&self, run: &UpstreamRun) {
        self.parts.counters.event(CounterEvent::RequestConvicted);
        self.record(run, format!("crashed {} while alone on it", run.upstream));
        let fingerprint = run.fingerprint;
        self.spread(SuspectUpdate::Convicted { fingerprint }).await;
        let record = ConvictionRecord {
            format: CONVICTION_FORMAT,
            upstream: run.upstream.clone(),
            at_ms: crate::decisions::unix_millis(),
        };
        while self.store_conviction(fingerprint, &record).await.is_err() {
            self.parts.counters.retry(RetryReason::StoreFailed);
            tokio::time::sleep(STORE_PAUSE).await;
        }
    }

    async fn store_conviction(
        &self,
        fingerprint: Fingerprint,
        record: &ConvictionRecord,
    ) -> Result<(), KvError> {
        let lease = self.parts.kv.grant_lease(CONVICTION_TTL).await?;
        let key = format!("{CONVICTIONS_PREFIX}{}", fingerprint.to_hex());
        let value = serde_json::to_vec(record).expect("records serialize to JSON");
        let value = Bytes::from(value);
        let put = self.parts.kv.put(&key, value, Expect::Any, Some(lease));
        put.await.map(|_| ())
    }

    async fn learn_convictions(&self) -> Result<(), KvError> {
        let kv = self.parts.kv.as_ref();
        let (entries, _) = list_all(kv, CONVICTIONS_PREFIX, Freshness::Current).await?;
        let names = entries
            .iter()
            .filter_map(|entry| entry.key.strip_prefix(CONVICTIONS_PREFIX));
        let known: HashSet<Fingerprint> = names.filter_map(Fingerprint::from_hex).collect();
        let mut book = self.lock();
        for fingerprint in known {
            book.note(&SuspectUpdate::Convicted { fingerprint }, Instant::now());
        }
        drop(book);
        self.changes.send_modify(|count| *count += 1);
        Ok(())
    }

    /// Takes news in and tells all other hosts; returns when they have heard or do not answer.
    async fn spread(&self, news: SuspectUpdate) {
        self.apply_update(&news);
        let view = self.parts.membership.view();
        let calls = view
            .hosts
            .iter()
            .filter(|host| host.id != self.parts.host)
            .map(|host| {
                self.parts
                    .peers
                    .call(host.peer_address, news.clone(), NEWS_TIMEOUT)
            });
        let replies = futures_util::future::join_all(calls).await;
        for _ in replies.iter().filter(|reply| reply.is_err()) {
            self.parts.counters.retry(RetryReason::PeerFailed);
        }
    }

    fn record(&self, run: &UpstreamRun, detail: String) {
        let subjects = [run.request.as_str(), run.upstream.as_str()];
        let detail = format!("{}: {detail}", run.fingerprint.to_hex());
        self.parts
            .decisions
            .record(DecisionKind::Suspicion, &subjects, detail);
    }

    fn lock(&self) -> MutexGuard<'_, SuspectTable> {
        self.book.lock().expect("suspect book lock")
    }
}

fn convicted() -> Refusal {
    let message = "this request crashed the upstreams that ran it and is not run again";
    Refusal::new(RefusalReason::Convicted, message)
}

fn held() -> Refusal {
    let message = "it is not known yet whether this request crashed an upstream";
    Refusal::new(RefusalReason::Overloaded, message).with_retry_after(HELD_RETRY)
}
