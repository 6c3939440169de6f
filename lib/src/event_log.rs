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

use crate::clock::unix_millis;
use crate::events::LogEvent;
use crate::metrics::RelayMetrics;

/// Capacity of the queue to the writer thread, in lines; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;
/// Size in bytes from which the writer thread writes out what it has taken from the queue.
const MAX_BATCH_BYTES: usize = 64 * 1024;
/// Queue length from which lines about routine successes are dropped, so that failures still fit.
const MAX_QUEUED_ROUTINE_LINES: usize = MAX_QUEUED_LINES / 2;
/// Sustained rate limit; a host of the largest fleet writes about 150 lines a second.
const LINES_PER_SECOND: f64 = 1_000.0;
/// Burst limit, in lines.
const MAX_BURST_LINES: f64 = 2.0 * LINES_PER_SECOND;
/// Part of the burst, in lines, that is reserved for lines other than routine successes.
const RESERVED_BURST_LINES: f64 = MAX_BURST_LINES / 2.0;

#[derive(Serialize)]
struct LogLine<'a> {
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
    tokens: f64,
    refilled: Instant,
    dropped: BTreeMap<&'static str, u64>,
}

impl LineLimiter {
    fn new(now: Instant) -> Self {
        Self {
            tokens: MAX_BURST_LINES,
            refilled: now,
            dropped: BTreeMap::new(),
        }
    }

    /// Takes a token for one line; returns whether the line may be written. Routine lines don't get
    /// the last `RESERVED_BURST_LINES` tokens.
    fn take(&mut self, is_routine: bool, now: Instant) -> bool {
        let passed = now.duration_since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + passed * LINES_PER_SECOND).min(MAX_BURST_LINES);
        self.refilled = now;
        let reserved = if is_routine {
            RESERVED_BURST_LINES
        } else {
            0.0
        };
        let may_write = self.tokens >= reserved + 1.0;
        if may_write {
            self.tokens -= 1.0;
        }
        may_write
    }

    fn count_dropped(&mut self, event: &'static str) {
        *self.dropped.entry(event).or_default() += 1;
    }

    fn dropped(&self) -> u64 {
        self.dropped.values().sum()
    }
}

/// Structured log of one process, and the metrics that are derived from it. Clones share both.
#[derive(Clone)]
pub struct EventLog {
    shared: Arc<LogState>,
}

struct LogState {
    host: String,
    incarnation: u64,
    lines: Option<SyncSender<String>>,
    queued: Arc<AtomicU64>,
    limiter: Mutex<LineLimiter>,
    metrics: RelayMetrics,
}

impl EventLog {
    /// Creates a log of `host` that writes to `out` on its own thread. `incarnation` appears as
    /// `boot` in each line. If the thread can't be started, the log drops all lines.
    pub fn new(host: String, incarnation: u64, out: impl Write + Send + 'static) -> Self {
        let (lines, written) = sync_channel(MAX_QUEUED_LINES);
        let queued = Arc::new(AtomicU64::new(0));
        let counter = queued.clone();
        let writer = std::thread::Builder::new().name("event-log".to_owned());
        let writer = writer.spawn(move || write_lines(&written, &counter, out));
        Self::with_lines(host, incarnation, writer.ok().map(|_| lines), queued)
    }

    /// Creates a log that drops all lines and still counts them in its metrics.
    pub fn disabled() -> Self {
        Self::with_lines(String::new(), 0, None, Arc::default())
    }

    fn with_lines(
        host: String,
        incarnation: u64,
        lines: Option<SyncSender<String>>,
        queued: Arc<AtomicU64>,
    ) -> Self {
        let shared = LogState {
            host,
            incarnation,
            lines,
            queued,
            limiter: Mutex::new(LineLimiter::new(Instant::now())),
            metrics: RelayMetrics::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Queues one line, or drops and counts it if the queue is full or the rate limit is reached.
    /// Routine successes are dropped before other lines.
    pub fn write(&self, event: LogEvent) {
        self.shared.metrics.count_event(&event);
        let Some(lines) = &self.shared.lines else {
            return;
        };
        let name: &'static str = (&event).into();
        let queued = self.shared.queued.load(Ordering::Relaxed) as usize;
        let is_routine = event.is_routine();
        let fits = !is_routine || queued < MAX_QUEUED_ROUTINE_LINES;
        let mut limiter = self.shared.limiter.lock().expect("line limiter lock");
        if !fits || !limiter.take(is_routine, Instant::now()) {
            limiter.count_dropped(name);
            return;
        }
        self.report_dropped(lines, &mut limiter);
        if !self.send(lines, &event) {
            limiter.count_dropped(name);
        }
    }

    /// Metrics that are derived from the events, dropped lines included.
    pub fn metrics(&self) -> &RelayMetrics {
        &self.shared.metrics
    }

    /// Number of dropped lines that no `lines_dropped` event has reported yet.
    pub fn dropped(&self) -> u64 {
        let limiter = self.shared.limiter.lock().expect("line limiter lock");
        limiter.dropped()
    }

    fn report_dropped(&self, lines: &SyncSender<String>, limiter: &mut LineLimiter) {
        if limiter.dropped.is_empty() {
            return;
        }
        let report = LogEvent::LinesDropped {
            lines: limiter.dropped(),
            by_event: limiter.dropped.clone(),
        };
        if self.send(lines, &report) {
            limiter.dropped.clear();
        }
    }

    fn send(&self, lines: &SyncSender<String>, event: &LogEvent) -> bool {
        let line = LogLine {
            time_ms: unix_millis(),
            host: &self.shared.host,
            boot: self.shared.incarnation,
            event: event.into(),
            fields: event,
        };
        let text = serde_json::to_string(&line).expect("log lines serialize to JSON");
        let sent = lines.try_send(text).is_ok();
        if sent {
            self.shared.queued.fetch_add(1, Ordering::Relaxed);
        }
        sent
    }
}

fn write_lines(lines: &Receiver<String>, queued: &AtomicU64, mut out: impl Write) {
    while let Ok(mut text) = lines.recv() {
        queued.fetch_sub(1, Ordering::Relaxed);
        text.push('\n');
        while text.len() < MAX_BATCH_BYTES
            && let Ok(next) = lines.try_recv()
        {
            queued.fetch_sub(1, Ordering::Relaxed);
            text.push_str(&next);
            text.push('\n');
        }
        // Ignored: a host must keep serving when the reader of its log is gone.
        let _ = out.write_all(text.as_bytes());
        let _ = out.flush();
    }
}
