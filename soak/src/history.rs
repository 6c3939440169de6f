//! What callers, workers and the injector saw, in one list with one clock.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

/// Kind of a request, by its route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum CallKind {
    /// A stream that may be resumed.
    Stream,
    /// May run more than once.
    Repeatable,
    /// May run once.
    Once,
}

/// How an attempt of a client ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The whole answer came, with a worker's signature.
    Served,
    /// The answer is not what it must be; says what is wrong.
    Mixed(String),
    /// The status promises that the request has not run and will not.
    Refused(u16),
    /// Another status of the system's own.
    Failed(u16),
    /// The worker's own failure was passed on.
    WorkerFailed(u16),
    /// The client closed its connection before the end.
    Left,
    /// The connection ended, or nothing came within the time limit.
    Broken,
}

/// Attempt of a client.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Identifier of the attempt.
    pub id: String,
    /// Kind of its route.
    pub kind: CallKind,
    /// Number of the front that it was sent to.
    pub front: usize,
    /// When it was sent.
    pub sent: Duration,
    /// When it ended.
    pub ended: Duration,
    /// How it ended.
    pub end: CallEnd,
    /// When the store acknowledged its route; zero for the first routes.
    pub route_since: Duration,
}

/// A request that a worker began to run.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// Identifier of the attempt or item.
    pub id: String,
    /// Name of the worker's process.
    pub worker: String,
    /// Last event that the sender has.
    pub after: u64,
    /// When it began.
    pub at: Duration,
    /// When the worker was done with it.
    pub ended: Option<Duration>,
    /// Whether method, path and body were the client's.
    pub intact: bool,
    /// Time limit in milliseconds, if the request had one.
    pub budget_ms: Option<u64>,
}

/// Time in which a fault was at work.
#[derive(Clone, Debug)]
pub struct FaultRecord {
    /// What it was.
    pub name: String,
    /// Whether it is planned work, which must not cut off requests.
    pub planned: bool,
    /// When it began.
    pub from: Duration,
    /// When it was over.
    pub to: Duration,
}

/// A worker whose leaving the store has acknowledged.
#[derive(Clone, Debug)]
pub struct LeaveRecord {
    /// Name of the worker's process.
    pub worker: String,
    /// When the store acknowledged the change.
    pub at: Duration,
}

/// All records so far.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Attempts of clients.
    pub calls: Vec<CallRecord>,
    /// Runs at workers.
    pub runs: Vec<RunRecord>,
    /// Faults.
    pub faults: Vec<FaultRecord>,
    /// Workers that were told to leave.
    pub leaves: Vec<LeaveRecord>,
    /// Broken promises that were seen at once.
    pub seen: Vec<String>,
}

/// Shared list of records.
#[derive(Clone, Debug)]
pub struct SoakHistory {
    began: Instant,
    records: Arc<Mutex<Records>>,
}

impl Default for SoakHistory {
    fn default() -> Self {
        Self {
            began: Instant::now(),
            records: Arc::default(),
        }
    }
}

impl SoakHistory {
    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Adds to the records.
    pub fn note(&self, change: impl FnOnce(&mut Records)) {
        change(&mut self.records.lock().expect("records lock"));
    }

    /// Adds a broken promise.
    pub fn note_broken(&self, rule: &str, detail: &str) {
        let at = self.now().as_secs_f64();
        self.note(|records| {
            records
                .seen
                .push(format!("{rule}: {detail} (at {at:.2} s)"))
        });
    }

    /// A copy of all records.
    pub fn records(&self) -> Records {
        self.records.lock().expect("records lock").clone()
    }
}
