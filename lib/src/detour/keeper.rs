//! Detours of this host: sends requests through other hosts and keeps account of them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::HeaderMap;
use http::StatusCode;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::collections::HashSet;
use crate::detour::decision::DetourTable;
use crate::detour::link::DetourFrames;
use crate::detour::link::DetourLink;
use crate::detour::message::DetourCall;
use crate::detour::message::DetourFrame;
use crate::detour::message::DetourRefusal;
use crate::detour::message::decode_headers;
use crate::http::client::is_answer_status;
use crate::ids::SoftwareVersion;
use crate::relay::UpstreamBody;
use crate::relay::wait_until;

/// Time for a connection to another host to be opened.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);
/// A host from which nothing arrives for this long has lost the request.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a host is passed by that could not be connected to, or has lost a request.
const FAILED_HOST_AVOIDANCE: Duration = Duration::from_millis(500);

/// Number of upstreams that may have run a request, as far as is known. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunCounter(Arc<AtomicU32>);

impl RunCounter {
    /// Sets the number.
    pub(crate) fn set(&self, runs: u32) {
        self.0.store(runs, Ordering::Relaxed);
    }

    /// The number.
    pub(crate) fn get(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Answer that comes through another host, from its head on.
pub(crate) struct DetourAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) is_stream: bool,
    /// Version of the software that began a stream.
    pub(crate) software: Option<SoftwareVersion>,
    pub(crate) body: UpstreamBody,
    /// Number of upstreams that the other host has said may have run the request.
    pub(crate) runs: RunCounter,
}

/// What became of a detour up to the head of its answer.
pub(crate) enum DetourOutcome {
    /// The answer begins.
    Answer(Box<DetourAnswer>),
    /// The other host was not reached; nothing was sent. Holds the cause.
    NotSent(String),
    /// No upstream has run the request through the other host, and none will.
    Refused(DetourRefusal, Duration),
    /// The answer is lost; holds how many upstreams may have run the request.
    Lost(u32),
    /// The deadline passed without an answer.
    TimedOut,
}

#[derive(Default)]
struct KeeperShared {
    link: OnceLock<Arc<dyn DetourLink>>,
    table: Mutex<DetourTable>,
    /// Whether this host is stranded from any service.
    is_stranded: watch::Sender<bool>,
}

/// Sends requests of this host through other hosts. Clones share its state.
#[derive(Clone, Default)]
pub struct DetourKeeper {
    shared: Arc<KeeperShared>,
}

impl DetourKeeper {
    /// Sets how other hosts are connected to. Before, and without it, no request takes a detour.
    pub fn set_link(&self, link: Arc<dyn DetourLink>) {
        let _ = self.shared.link.set(link);
    }

    /// Whether requests can take detours.
    pub fn has_link(&self) -> bool {
        self.shared.link.get().is_some()
    }

    /// Replaces the names of the other hosts of this one's data centre.
    pub fn set_near_hosts(&self, near: HashSet<String>) {
        self.table().set_near_hosts(near);
    }

    /// Sets whether this host is stranded from any service.
    pub(crate) fn set_stranded(&self, is_stranded: bool) {
        self.shared.is_stranded.send_if_modified(|before| {
            let has_changed = *before != is_stranded;
            *before = is_stranded;
            has_changed
        });
    }

    /// Waits while this host is stranded from no service.
    pub(crate) async fn await_stranded(&self) {
        let mut receiver = self.shared.is_stranded.subscribe();
        if receiver.wait_for(|is_stranded| *is_stranded).await.is_err() {
            std::future::pending().await
        }
    }

    /// What is known of the hosts that detours go through.
    pub(crate) fn table(&self) -> MutexGuard<'_, DetourTable> {
        self.shared.table.lock().expect("detour table lock")
    }

    /// Sends `call` through `host` and waits for the head of its answer.
    pub(crate) async fn send(
        &self,
        host: &str,
        address: SocketAddr,
        call: DetourCall,
    ) -> DetourOutcome {
        let Some(link) = self.shared.link.get() else {
            return DetourOutcome::NotSent(
                "there are no connections to other hosts yet".to_owned(),
            );
        };
        let guard = UnderWay::new(self.clone(), host.to_owned());
        let connection = match timeout(OPEN_TIMEOUT, link.open(address)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(cause)) => {
                self.avoid(host, FAILED_HOST_AVOIDANCE);
                return DetourOutcome::NotSent(cause);
            }
            Err(_) => {
                self.avoid(host, FAILED_HOST_AVOIDANCE);
                return DetourOutcome::NotSent("the connection took too long".to_owned());
            }
        };
        let mut reading = DetourReading {
            frames: connection.start(call),
            runs: RunCounter::default(),
            guard,
        };
        match reading.next().await {
            Some(DetourFrame::Head {
                status,
                headers,
                is_stream,
                software,
            }) => {
                let status = StatusCode::from_u16(status).ok();
                // A host of an earlier release passes on whatever status it got.
                let status = status.filter(|status| is_answer_status(*status));
                let (Some(status), Some(headers)) = (status, decode_headers(&headers)) else {
                    return DetourOutcome::Lost(reading.possible_runs());
                };
                let runs = reading.runs.clone();
                DetourOutcome::Answer(Box::new(DetourAnswer {
                    status,
                    headers,
                    is_stream,
                    software,
                    body: reading.into_body(),
                    runs,
                }))
            }
            Some(DetourFrame::Refused {
                reason,
                retry_after,
            }) => {
                if matches!(
                    reason,
                    DetourRefusal::Stranded | DetourRefusal::ShuttingDown
                ) {
                    self.avoid(host, FAILED_HOST_AVOIDANCE);
                }
                DetourOutcome::Refused(reason, retry_after)
            }
            Some(DetourFrame::TimedOut) => DetourOutcome::TimedOut,
            Some(DetourFrame::Lost { runs }) => DetourOutcome::Lost(runs),
            None => {
                self.avoid(host, FAILED_HOST_AVOIDANCE);
                DetourOutcome::Lost(reading.possible_runs())
            }
            Some(DetourFrame::Progress { .. } | DetourFrame::Part(_) | DetourFrame::End) => {
                DetourOutcome::Lost(reading.possible_runs())
            }
        }
    }

    fn avoid(&self, host: &str, delay: Duration) {
        self.table().avoid(host, delay, Instant::now());
    }
}

/// Counts a detour while it is under way.
struct UnderWay {
    keeper: DetourKeeper,
    host: String,
}

impl UnderWay {
    fn new(keeper: DetourKeeper, host: String) -> Self {
        keeper.table().begin(&host);
        Self { keeper, host }
    }
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        self.keeper.table().end(&self.host, Instant::now());
    }
}

/// Messages of a detour as they come.
struct DetourReading {
    frames: DetourFrames,
    runs: RunCounter,
    guard: UnderWay,
}

impl DetourReading {
    /// The next message that is not about progress; `None` if the connection is lost, or silent.
    async fn next(&mut self) -> Option<DetourFrame> {
        loop {
            let limit = Instant::now() + SILENCE_TIMEOUT;
            match wait_until(limit, self.frames.next()).await.ok()?? {
                DetourFrame::Progress { runs } => self.runs.set(runs),
                frame => return Some(frame),
            }
        }
    }

    /// Number of upstreams that may have run the request: one that the other host has not told of yet
    /// counts.
    fn possible_runs(&self) -> u32 {
        self.runs.get().max(1)
    }

    fn into_body(self) -> UpstreamBody {
        let parts = stream::unfold(Some(self), |reading| async move {
            let mut reading = reading?;
            match reading.next().await {
                Some(DetourFrame::Part(part)) => Some((Ok(part), Some(reading))),
                Some(DetourFrame::End) => None,
                frame => {
                    let cause = reading.end_cause(frame);
                    Some((Err::<Bytes, String>(cause), None))
                }
            }
        });
        parts.boxed()
    }

    /// Why the answer ends early by `frame`, which is the last one.
    fn end_cause(&self, frame: Option<DetourFrame>) -> String {
        match frame {
            Some(DetourFrame::Lost { runs }) => {
                self.runs.set(runs);
                "the other host has lost the answer".to_owned()
            }
            Some(DetourFrame::TimedOut) => "the deadline passed".to_owned(),
            Some(_) => "the other host sent what is not due".to_owned(),
            None => {
                let host = &self.guard.host;
                self.guard.keeper.avoid(host, FAILED_HOST_AVOIDANCE);
                "the connection to the other host is lost".to_owned()
            }
        }
    }
}
