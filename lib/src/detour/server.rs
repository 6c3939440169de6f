//! Server side of detours: takes requests of other hosts and sends them to upstreams.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream;
use futures_util::stream::BoxStream;
use futures_util::stream::SplitStream;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tokio_tungstenite::tungstenite::Message;
use tokio_util::task::AbortOnDropHandle;

use crate::detour::decision::NO_HOST_RETRY_DELAY;
use crate::detour::keeper::RunCounter;
use crate::detour::link::DetourFrames;
use crate::detour::message::DetourCall;
use crate::detour::message::DetourFrame;
use crate::detour::message::DetourInput;
use crate::detour::message::DetourRefusal;
use crate::event_log::EventLog;
use crate::events::LogEvent;
use crate::ids::HostId;
use crate::memory_budget::MemoryBudget;
use crate::memory_budget::MemoryPermit;
use crate::peers::PeerSocket;
use crate::peers::decode;
use crate::peers::encode;
use crate::peers::hello_host;
use crate::relay::DetouredAnswer;
use crate::relay::RelayAnswer;
use crate::relay::RelayRefusal;
use crate::relay::RelayRequest;
use crate::relay::RequestRelay;
use crate::routes::RouteTable;
use crate::workspaces::CallerIdentity;

/// Requests of other hosts that a host works on at a time.
const MAX_TAKEN: usize = 1024;
/// Memory for the bodies of these requests.
const BODY_MEMORY_BYTES: usize = 64 * 1024 * 1024;
/// Interval of messages that the host works on a request.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);
/// Messages of one request that wait to be sent.
const FRAME_QUEUE_LENGTH: usize = 4;
/// Largest part of an answer's body in one message.
const ANSWER_PART_BYTES: usize = 256 * 1024;
/// A connection without a request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Retry delay for a host whose request has no room here.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Interval at which a stopping host looks whether the requests of other hosts have ended.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Takes requests of other hosts that don't reach the upstreams. Clones share its limits.
#[derive(Clone)]
pub struct DetourServer {
    relay: RequestRelay,
    routes: Option<watch::Receiver<Arc<RouteTable>>>,
    body_memory: MemoryBudget,
    taken: Arc<AtomicUsize>,
}

impl DetourServer {
    /// Returns a server that relays the requests by `relay`, as those of its own callers.
    pub fn new(relay: RequestRelay) -> Self {
        Self {
            relay,
            routes: None,
            body_memory: MemoryBudget::new(BODY_MEMORY_BYTES),
            taken: Arc::default(),
        }
    }

    /// Checks the callers of requests by the workspaces of the table in force.
    pub fn with_routes(mut self, routes: watch::Receiver<Arc<RouteTable>>) -> Self {
        self.routes = Some(routes);
        self
    }

    /// Number of requests of other hosts that are under way.
    pub fn taken_count(&self) -> usize {
        self.taken.load(Ordering::Relaxed)
    }

    /// Waits until no request of another host is under way, or `deadline`.
    pub async fn finish(&self, deadline: Instant) {
        let quiet = async {
            while self.taken_count() > 0 {
                tokio::time::sleep(FINISH_POLL_INTERVAL).await;
            }
        };
        let _ = timeout_at(deadline, quiet).await;
    }

    /// Relays the request `call` of the host `from` and returns the messages about it. Dropping them cancels
    /// the upstream's work.
    pub fn serve(&self, from: HostId, call: DetourCall) -> DetourFrames {
        let (frames, queue) = mpsc::channel(FRAME_QUEUE_LENGTH);
        let run = DetourRun {
            relay: self.relay.clone(),
            routes: self.routes.clone(),
            from,
            frames,
            runs: RunCounter::default(),
        };
        let guard = TakenGuard::enter(&self.taken);
        let task = match guard.is_some() {
            true => tokio::spawn(run.serve(call)),
            false => tokio::spawn(async move {
                let request = call.id.to_string();
                run.refuse(request, DetourRefusal::Overloaded, FULL_RETRY_DELAY)
                    .await;
            }),
        };
        // The request counts until its last message has been sent.
        let state = (queue, AbortOnDropHandle::new(task), guard);
        stream::unfold(state, |(mut queue, task, guard)| async move {
            let frame = queue.recv().await?;
            Some((frame, (queue, task, guard)))
        })
        .boxed()
    }

    /// Serves the requests that come on `socket`, one after another, until it closes. Returns whether all
    /// messages were well-formed.
    pub(crate) async fn serve_socket(&self, socket: PeerSocket) -> bool {
        let (mut sink, mut source) = socket.split();
        let Some(from) = read_hello(&mut source).await else {
            return false;
        };
        loop {
            let (call, _memory) = match self.read_call(&mut source).await {
                CallRead::Call(call, memory) => (*call, memory),
                CallRead::NoMemory => {
                    let refusal = DetourFrame::Refused {
                        reason: DetourRefusal::Overloaded,
                        retry_after: FULL_RETRY_DELAY,
                    };
                    // The body that follows is not read, so that the connection is of no more use.
                    let _ = sink.send(Message::binary(encode(&refusal))).await;
                    return true;
                }
                CallRead::Closed => return true,
                CallRead::Malformed => return false,
            };
            // A host that stood still has the end of a connection before it as well as the request.
            tokio::task::yield_now().await;
            let mut frames = self.serve(from.clone(), call);
            let writer = async {
                while let Some(frame) = frames.next().await {
                    let is_last = frame.is_last();
                    sink.send(Message::binary(encode(&frame))).await.ok()?;
                    if is_last {
                        return Some(());
                    }
                }
                None
            };
            // Nothing is due from the other side while its request is under way but its end.
            tokio::select! {
                biased;
                _ = source.next() => return true,
                sent = writer => if sent.is_none() {
                    return true;
                },
            }
        }
    }

    async fn read_call(&self, source: &mut SplitStream<PeerSocket>) -> CallRead {
        let mut call = match timeout(IDLE_TIMEOUT, read_input(source)).await {
            Ok(InputRead::Input(DetourInput::Call(call))) => call,
            Ok(InputRead::Closed) | Err(_) => return CallRead::Closed,
            Ok(InputRead::Input(DetourInput::Body(_)) | InputRead::Malformed) => {
                return CallRead::Malformed;
            }
        };
        let Some(memory) = self.body_memory.take(call.body_bytes) else {
            return CallRead::NoMemory;
        };
        let mut body = BytesMut::with_capacity(call.body_bytes);
        let read = async {
            while body.len() < call.body_bytes {
                match read_input(source).await {
                    InputRead::Input(DetourInput::Body(part)) => body.extend_from_slice(&part),
                    InputRead::Closed => return Err(CallRead::Closed),
                    _ => return Err(CallRead::Malformed),
                }
            }
            Ok(())
        };
        let started = Instant::now();
        match timeout(call.left, read).await {
            Ok(Ok(())) if body.len() == call.body_bytes => {}
            Ok(Ok(())) => return CallRead::Malformed,
            Ok(Err(failure)) => return failure,
            Err(_) => return CallRead::Closed,
        }
        call.body = body.freeze();
        call.left = call.left.saturating_sub(started.elapsed());
        CallRead::Call(call, memory)
    }
}

enum CallRead {
    Call(Box<DetourCall>, MemoryPermit),
    NoMemory,
    Closed,
    Malformed,
}

enum InputRead {
    Input(DetourInput),
    Closed,
    Malformed,
}

async fn read_input(source: &mut SplitStream<PeerSocket>) -> InputRead {
    loop {
        match source.next().await {
            Some(Ok(Message::Binary(bytes))) => {
                return match decode(&bytes) {
                    Some(input) => InputRead::Input(input),
                    None => InputRead::Malformed,
                };
            }
            Some(Ok(Message::Close(_))) | Some(Err(_)) | None => return InputRead::Closed,
            Some(Ok(_)) => {}
        }
    }
}

async fn read_hello(source: &mut SplitStream<PeerSocket>) -> Option<HostId> {
    let message = timeout(IDLE_TIMEOUT, source.next()).await.ok()??.ok()?;
    hello_host(&message.into_data())
}

/// Counts a request of another host while it is under way.
struct TakenGuard(Arc<AtomicUsize>);

impl TakenGuard {
    /// `None` if there are too many already.
    fn enter(taken: &Arc<AtomicUsize>) -> Option<Self> {
        let before = taken.fetch_add(1, Ordering::Relaxed);
        let guard = Self(taken.clone());
        (before < MAX_TAKEN).then_some(guard)
    }
}

impl Drop for TakenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// One request of another host.
struct DetourRun {
    relay: RequestRelay,
    routes: Option<watch::Receiver<Arc<RouteTable>>>,
    from: HostId,
    frames: mpsc::Sender<DetourFrame>,
    runs: RunCounter,
}

impl DetourRun {
    fn log(&self) -> &EventLog {
        self.relay.log()
    }

    async fn serve(self, call: DetourCall) {
        let request_id = call.id.to_string();
        if self.relay.is_stranded(&call.service) {
            let reason = DetourRefusal::Stranded;
            return self.refuse(request_id, reason, NO_HOST_RETRY_DELAY).await;
        }
        let max_runs = call.max_runs;
        let request = call.into_request();
        let Some(request) = request.and_then(|request| self.with_caller(request)) else {
            let reason = DetourRefusal::Malformed;
            return self.refuse(request_id, reason, Duration::ZERO).await;
        };
        let left = request.deadline.saturating_duration_since(Instant::now());
        self.log().write(LogEvent::DetourTaken {
            request: request_id.clone(),
            from: self.from.to_string(),
            left_ms: left.as_millis() as u64,
            max_runs,
            resume_after: request.resume_after,
        });
        let work = self
            .relay
            .relay_detoured(request, max_runs, self.runs.clone());
        let Some(answered) = self.await_with_progress(work).await else {
            return;
        };
        self.pass_on(request_id, answered).await;
    }

    /// Checks who sent the request; `None` if its caller has no right to it. Only hosts of the fleet have
    /// the link's secret, so that their word counts for a workspace that this host knows, or can't know
    /// yet. A host of an earlier release names no caller and passes the caller's headers on.
    fn with_caller(&self, mut request: RelayRequest) -> Option<RelayRequest> {
        let Some(routes) = &self.routes else {
            return Some(request);
        };
        let table = routes.borrow().clone();
        let Some(workspaces) = table.workspaces() else {
            return Some(request);
        };
        let is_newer = request.version > table.version();
        request.caller = match &request.caller {
            CallerIdentity::Member(workspace) => match workspaces.named(&workspace.name) {
                Some(known) => CallerIdentity::Member(known.clone()),
                None if is_newer => request.caller,
                None => return None,
            },
            CallerIdentity::Anonymous if request.route.is_public => CallerIdentity::Anonymous,
            CallerIdentity::Anonymous => return None,
            CallerIdentity::Unchecked => {
                let route = table.select(&request.route.host, &request.target);
                let is_public = route.is_some_and(|route| route.is_public);
                table.identify(&request.headers, is_public).ok()?
            }
        };
        Some(request)
    }

    /// Awaits `work` and tells at intervals that it goes on. `None` if the other host is gone.
    async fn await_with_progress<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let mut work = std::pin::pin!(work);
        let start = Instant::now() + PROGRESS_INTERVAL;
        let mut ticks = tokio::time::interval_at(start, PROGRESS_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                biased;
                done = &mut work => return Some(done),
                _ = ticks.tick() => {
                    let runs = self.runs.get();
                    self.send(DetourFrame::Progress { runs }).await?;
                }
            }
        }
    }

    async fn pass_on(&self, request: String, answered: DetouredAnswer) {
        let software = answered.software;
        match answered.answer {
            RelayAnswer::Whole {
                status,
                headers,
                body,
            } => {
                let head = DetourFrame::head(status, &headers, false, None);
                if self.send(head).await.is_some() {
                    self.send_whole(body).await;
                }
            }
            RelayAnswer::Stream {
                status,
                headers,
                body,
            } => {
                let head = DetourFrame::head(status, &headers, true, software);
                if self.send(head).await.is_some() {
                    self.send_stream(body).await;
                }
            }
            RelayAnswer::Refused {
                retry_after,
                reason,
            } => {
                let reason = match reason {
                    RelayRefusal::Overloaded | RelayRefusal::OverQuota => DetourRefusal::Overloaded,
                    RelayRefusal::Convicted => DetourRefusal::Convicted,
                    RelayRefusal::NotResumable => DetourRefusal::NotResumable,
                    RelayRefusal::ShuttingDown => DetourRefusal::ShuttingDown,
                };
                self.refuse(request, reason, retry_after).await;
            }
            RelayAnswer::Lost => {
                let runs = self.runs.get();
                self.send(DetourFrame::Lost { runs }).await;
            }
            RelayAnswer::TimedOut => {
                self.send(DetourFrame::TimedOut).await;
            }
        }
    }

    async fn send_whole(&self, body: Bytes) -> Option<()> {
        let mut rest = body;
        while !rest.is_empty() {
            let part = rest.split_to(rest.len().min(ANSWER_PART_BYTES));
            self.send(DetourFrame::Part(part)).await?;
        }
        self.send(DetourFrame::End).await
    }

    async fn send_stream(
        &self,
        mut body: BoxStream<'static, Result<Bytes, std::io::Error>>,
    ) -> Option<()> {
        loop {
            match self.await_with_progress(body.next()).await? {
                Some(Ok(part)) => self.send(DetourFrame::Part(part)).await?,
                Some(Err(_)) => {
                    let runs = self.runs.get();
                    return self.send(DetourFrame::Lost { runs }).await;
                }
                None => return self.send(DetourFrame::End).await,
            }
        }
    }

    async fn refuse(&self, request: String, reason: DetourRefusal, retry_after: Duration) {
        self.log().write(LogEvent::DetourRefused {
            request,
            from: self.from.to_string(),
            reason: reason.to_string(),
            retry_ms: retry_after.as_millis() as u64,
        });
        self.send(DetourFrame::Refused {
            reason,
            retry_after,
        })
        .await;
    }

    /// Queues `frame`; `None` if the other host is gone.
    async fn send(&self, frame: DetourFrame) -> Option<()> {
        self.frames.send(frame).await.ok()
    }
}
