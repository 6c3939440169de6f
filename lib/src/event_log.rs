//! Structured log with one JSON line for each event. Writing to it never blocks the caller.

use std::collections::BTreeMap;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;

use serde::Serialize;
use tokio::time::Instant;

use crate::events::LogEvent;
use crate::events::unix_millis;
use crate::metrics::RelayMetrics;

/// Capacity of the queue to the writer thread, in lines; further lines are dropped and counted.
const MAX_WAITING_LINES: usize = 4_096;
/// Size in bytes from which the writer thread writes out what it has taken from the queue.
const MAX_BATCH_BYTES: usize = 64 * 1024;
/// Queue length from which lines about routine successes are dropped, so that failures still fit.
const ORDINARY_LINES: usize = MAX_WAITING_LINES / 2;
/// Sustained rate limit; a host of the largest fleet writes about 150 lines a second.
const LINES_PER_SECOND: f64 = 1_000.0;
/// Burst limit, in lines.
const MAX_BURST: f64 = 2.0 * LINES_PER_SECOND;
/// Part of the burst, in lines, that is reserved for lines other than routine successes.
const KEPT_BURST: f64 = MAX_BURST / 2.0;

#[derive(Serialize)]
struct Line<'a> {
    time_ms: u64,
    host: &'a str,
    boot: u64,
    event: &'static str,
    #[serde(flatten)]
    fields: &'a LogEvent,
}

/// Token bucket that limits the rate of lines, with the number of dropped lines by event since the
/// last report of them.
#[derive(Debug)]
struct LineLimiter {
    allowed: f64,
    counted: Instant,
    dropped: BTreeMap<&'static str, u64>,
}

impl LineLimiter {
    fn new(now: Instant) -> Self {
        Self {
            allowed: MAX_BURST,
            counted: now,
            dropped: BTreeMap::new(),
        }
    }

    /// Takes a token for one line; returns whether the line may be written. Routine lines don't get
    /// the last `KEPT_BURST` tokens.
    fn take(&mut self, is_routine: bool, now: Instant) -> bool {
        let passed = now.duration_since(self.counted).as_secs_f64();
        self.allowed = (self.allowed + passed * LINES_PER_SECOND).min(MAX_BURST);
        self.counted = now;
        let kept = if is_routine { KEPT_BURST } else { 0.0 };
        let may_write = self.allowed >= kept + 1.0;
        if may_write {
            self.allowed -= 1.0;
        }
        may_write
    }

    fn drop_line(&mut self, event: &'static str) {
        *self.dropped.entry(event).or_default() += 1;
    }

    fn dropped(&self) -> u64 {
        self.dropped.values().sum()
    }
}

/// Structured log of one process, and the metrics that are derived from it. Clones share both.
#[derive(Clone)]
pub struct EventLog {
    shared: Arc<LogShared>,
}

struct LogShared {
    host: String,
    incarnation: u64,
    lines: Option<SyncSender<String>>,
    waiting: Arc<AtomicU64>,
    budget: Mutex<LineLimiter>,
    metrics: RelayMetrics,
}

impl EventLog {
    /// Creates a log of `host` that writes to `out` on its own thread. `incarnation` appears as
    /// `boot` in each line. If the thread can't be started, the log drops all lines.
    pub fn new(host: String, incarnation: u64, out: impl Write + Send + 'static) -> Self {
        let (lines, written) = sync_channel(MAX_WAITING_LINES);
        let waiting = Arc::new(AtomicU64::new(0));
        let counter = waiting.clone();
        let writer = std::thread::Builder::new().name("event-log".to_owned());
        let writer = writer.spawn(move || write_lines(&written, &counter, out));
        Self::with_lines(host, incarnation, writer.ok().map(|_| lines), waiting)
    }

    /// Creates a log that drops all lines and still counts them in its metrics.
    pub fn disabled() -> Self {
        Self::with_lines(String::new(), 0, None, Arc::default())
    }

    fn with_lines(
        host: String,
        incarnation: u64,
        lines: Option<SyncSender<String>>,
        waiting: Arc<AtomicU64>,
    ) -> Self {
        let shared = LogShared {
            host,
            incarnation,
            lines,
            waiting,
            budget: Mutex::new(LineLimiter::new(Instant::now())),
            metrics: RelayMetrics::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Queues one line, or drops and counts it if the queue is full or the rate limit is reached.
    /// Routine successes are dropped before other lines.
    pub fn write(&self, event: LogEvent) {
        self.shared.metrics.note(&event);
        let Some(lines) = &self.shared.lines else {
            return;
        };
        let name: &'static str = (&event).into();
        let waiting = self.shared.waiting.load(Ordering::Relaxed) as usize;
        let is_routine = event.is_routine();
        let fits = !is_routine || waiting < ORDINARY_LINES;
        let mut budget = self.shared.budget.lock().expect("line budget lock");
        if !fits || !budget.take(is_routine, Instant::now()) {
            budget.drop_line(name);
            return;
        }
        self.report_dropped(lines, &mut budget);
        if !self.send(lines, &event) {
            budget.drop_line(name);
        }
    }

    /// Metrics that are derived from the events, dropped lines included.
    pub fn metrics(&self) -> &RelayMetrics {
        &self.shared.metrics
    }

    /// Number of dropped lines that no `lines_dropped` event has reported yet.
    pub fn dropped(&self) -> u64 {
        let budget = self.shared.budget.lock().expect("line budget lock");
        budget.dropped()
    }

    fn report_dropped(&self, lines: &SyncSender<String>, budget: &mut LineLimiter) {
        if budget.dropped.is_empty() {
            return;
        }
        let report = LogEvent::LinesDropped {
            lines: budget.dropped(),
            by_event: budget.dropped.clone(),
        };
        if self.send(lines, &report) {
            budget.dropped.clear();
        }
    }

    fn send(&self, lines: &SyncSender<String>, event: &LogEvent) -> bool {
        let line = Line {
            time_ms: unix_millis(),
            host: &self.shared.host,
            boot: self.shared.incarnation,
            event: event.into(),
            fields: event,
        };
        let text = serde_json::to_string(&line).expect("log lines serialize to JSON");
        let sent = lines.try_send(text).is_ok();
        if sent {
            self.shared.waiting.fetch_add(1, Ordering::Relaxed);
        }
        sent
    }
}

fn write_lines(lines: &Receiver<String>, waiting: &AtomicU64, mut out: impl Write) {
    while let Ok(mut text) = lines.recv() {
        waiting.fetch_sub(1, Ordering::Relaxed);
        text.push('\n');
        while text.len() < MAX_BATCH_BYTES
            && let Ok(next) = lines.try_recv()
        {
            waiting.fetch_sub(1, Ordering::Relaxed);
            text.push_str(&next);
            text.push('\n');
        }
        // Ignored: a host must keep serving when the reader of its log is gone.
        let _ = out.write_all(text.as_bytes());
        let _ = out.flush();
    }
}
