//! Handle to a host's [`CrashLedger`] that its tasks share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::event_log::EventLog;
use crate::events::LogEvent;
use crate::ids::UpstreamIncarnation;
use crate::suspects::crash::CrashSubject;
use crate::suspects::crash::CrashedRun;
use crate::suspects::fingerprint::Fingerprint;
use crate::suspects::ledger::CLAIM_TIME;
use crate::suspects::ledger::CrashDecision;
use crate::suspects::ledger::CrashLedger;
use crate::suspects::ledger::CrashVerdict;
use crate::suspects::ledger::FleetSize;
use crate::suspects::news::CrashNews;

/// Why a request may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashRefusal {
    /// What is convicted of crashing upstreams.
    pub subject: CrashSubject,
    /// Time until the conviction is tested again.
    pub retry_after: Duration,
}

/// Shared handle to a [`CrashLedger`], which logs its decisions. Clones refer to the same ledger.
#[derive(Clone)]
pub struct CrashKeeper {
    shared: Arc<KeeperShared>,
}

struct KeeperShared {
    ledger: Mutex<CrashLedger>,
    log: EventLog,
    has_news: Notify,
}

impl CrashKeeper {
    /// Returns the keeper of `host`, which knows of no crash.
    pub fn new(host: &str, log: EventLog) -> Self {
        Self {
            shared: Arc::new(KeeperShared {
                ledger: Mutex::new(CrashLedger::new(host)),
                log,
                has_news: Notify::new(),
            }),
        }
    }

    /// Waits until it is decided whether a request with the subjects that `subjects` computes may
    /// run: at once unless it has been at several crashes, the last one just now (50 ms), or is to test a
    /// conviction (200 ms).
    pub(crate) async fn admit(
        &self,
        subjects: impl FnOnce() -> Vec<CrashSubject>,
    ) -> Result<(), CrashRefusal> {
        if self.with_ledger(|ledger| ledger.is_empty()) {
            return Ok(());
        }
        let subjects = subjects();
        let mut has_waited = false;
        loop {
            let now = Instant::now();
            match self.with_ledger(|ledger| ledger.verdict(&subjects, now)) {
                CrashVerdict::Unsettled(until) if !has_waited => {
                    has_waited = true;
                    tokio::time::sleep_until(until).await;
                }
                // While upstreams crash all the time, there is always a crash to be judged.
                CrashVerdict::Free | CrashVerdict::Unsettled(_) => return Ok(()),
                CrashVerdict::Convicted {
                    subject,
                    retry_after,
                } => {
                    return Err(CrashRefusal {
                        subject,
                        retry_after,
                    });
                }
                CrashVerdict::Testable(subject) => {
                    if self.claim_test(subject).await {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Claims the test of a conviction; returns whether this host has it.
    async fn claim_test(&self, subject: CrashSubject) -> bool {
        self.with_ledger(|ledger| ledger.claim_test(subject, Instant::now()));
        self.shared.has_news.notify_one();
        tokio::time::sleep(CLAIM_TIME).await;
        let has_test = self.with_ledger(|ledger| ledger.holds_test(subject, Instant::now()));
        if has_test {
            self.shared.log.write(LogEvent::ConvictionTested {
                subject: subject.to_string(),
            });
        }
        has_test
    }

    /// Records that `run` broke as `upstream` crashed, in a fleet of the size `fleet`.
    pub(crate) fn report_crash(
        &self,
        upstream: UpstreamIncarnation,
        run: CrashedRun,
        fleet: FleetSize,
    ) {
        self.with_ledger(|ledger| {
            ledger.set_fleet(fleet);
            ledger.report_crash(upstream, run, Instant::now());
        });
        self.shared.has_news.notify_one();
    }

    /// Records that no connection to `upstream` could be opened.
    pub(crate) fn report_unreachable(&self, upstream: UpstreamIncarnation) {
        self.with_ledger(|ledger| ledger.report_unreachable(upstream, Instant::now()));
    }

    /// Records that a request with the shared parts `parts` and the fingerprint that `fingerprint`
    /// computes got a part of an answer, for which it had waited for `waited`.
    pub(crate) fn report_sound(
        &self,
        waited: Duration,
        parts: impl Iterator<Item = CrashSubject>,
        fingerprint: impl FnOnce() -> Fingerprint,
    ) {
        let mut subjects: Vec<CrashSubject> = parts.collect();
        let is_empty = self.with_ledger(|ledger| ledger.is_empty());
        if !is_empty {
            subjects.push(CrashSubject::Request(fingerprint()));
        }
        self.with_ledger(|ledger| ledger.report_sound(&subjects, waited, Instant::now()));
        if !is_empty {
            self.shared.has_news.notify_one();
        }
    }

    /// Waits until there may be news for other hosts.
    pub(crate) async fn news_added(&self) {
        self.shared.has_news.notified().await;
    }

    /// See [`CrashLedger::take_news`].
    pub fn take_news(&self) -> Option<CrashNews> {
        self.with_ledger(|ledger| ledger.take_news(Instant::now()))
    }

    /// Applies another host's message, which has just arrived.
    pub fn apply(&self, news: CrashNews, fleet: FleetSize) {
        self.apply_arrived(news, Instant::now(), fleet);
    }

    /// Applies another host's message that arrived at `arrived` or later.
    pub(crate) fn apply_arrived(&self, news: CrashNews, arrived: Instant, fleet: FleetSize) {
        self.with_ledger(|ledger| {
            ledger.set_fleet(fleet);
            ledger.apply_arrived(news, arrived, Instant::now());
        });
    }

    /// See [`CrashLedger::digest`].
    pub fn digest(&self) -> u64 {
        self.with_ledger(|ledger| ledger.digest())
    }

    /// See [`CrashLedger::convictions_notice`]; `None` without convictions.
    pub fn convictions_notice(&self) -> Option<CrashNews> {
        let draw: u32 = rand::random();
        let notice =
            self.with_ledger(|ledger| ledger.convictions_notice(draw as usize, Instant::now()));
        (!notice.convictions.is_empty()).then_some(notice)
    }

    /// Number of convictions.
    pub fn convictions(&self) -> usize {
        self.with_ledger(|ledger| ledger.convictions())
    }

    fn with_ledger<T>(&self, act: impl FnOnce(&mut CrashLedger) -> T) -> T {
        let mut ledger = self.lock();
        let result = act(&mut ledger);
        let decisions = ledger.take_decisions();
        drop(ledger);
        for decision in decisions {
            self.shared.log.write(decision_event(&decision));
        }
        result
    }

    fn lock(&self) -> MutexGuard<'_, CrashLedger> {
        self.shared.ledger.lock().expect("crash ledger lock")
    }
}

fn decision_event(decision: &CrashDecision) -> LogEvent {
    match decision {
        CrashDecision::Convicted {
            subject,
            crashes,
            others,
        } => LogEvent::SubjectConvicted {
            subject: subject.to_string(),
            crashes: Some(*crashes),
            others: Some(*others),
        },
        CrashDecision::Learned(subject) => LogEvent::SubjectConvicted {
            subject: subject.to_string(),
            crashes: None,
            others: None,
        },
        CrashDecision::Released(subject) => LogEvent::SubjectReleased {
            subject: subject.to_string(),
        },
    }
}
