//! In-process stand-in of upstreams that execute opaque requests, as an [`UpstreamTransport`].

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use http::HeaderMap;
use http::StatusCode;
use parsleywall::balancer::UpstreamChoice;
use parsleywall::collections::HashMap;
use parsleywall::limits::LimitSignal;
use parsleywall::limits::RateLimit;
use parsleywall::reach::ProbeTarget;
use parsleywall::reach::UnreachedCause;
use parsleywall::relay::ExecutionReport;
use parsleywall::relay::RelayRequest;
use parsleywall::relay::SendError;
use parsleywall::relay::SendOptions;
use parsleywall::relay::UpstreamAnswer;
use parsleywall::relay::UpstreamBody;
use parsleywall::relay::UpstreamTransport;
use parsleywall::suspects::Fingerprint;
use tokio::sync::watch;
use tokio::time::Instant;

/// Time from a crash of an upstream until it accepts connections again.
const RESTART_TIME: Duration = Duration::from_secs(3);

/// How an upstream handles the requests that it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpaqueBehaviour {
    /// Executes requests to their end.
    Serves,
    /// Refuses connections.
    Unreachable,
    /// Accepts requests and never answers.
    Dark,
    /// Rejects requests with 503, as it has no free slot.
    Full,
    /// Rejects requests with 421, as another upstream has its address now.
    Moved,
    /// Executes requests, and announces in the answers that it is leaving.
    Leaves,
    /// Resets the connection after this number of events.
    BreaksAfter(u64),
    /// Sends nothing after this number of events, but keeps the connection open.
    SilentAfter(u64),
    /// Omits the event with this number.
    Skips(u64),
    /// Sends these bytes again and again, without end, after this number of events.
    FloodsAfter(u64, &'static str),
    /// Executes requests, and resets the connection before the answer.
    LosesAnswers,
    /// Answers with success but without a signature.
    Unsigned,
    /// Answers with this error status, signed.
    Fails(u16),
}

/// One attempt at a request, as it was sent to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpaqueAttempt {
    /// Identifier of the request; all attempts at it share it.
    pub request: String,
    /// Identifier of the upstream.
    pub upstream: String,
    /// Number of the event after which the attempt resumes the answer, if it does.
    pub resume_after: Option<u64>,
    /// Whether the upstream executed the request.
    pub ran: bool,
    /// Whether the sender allowed a reused connection.
    pub reuse: bool,
    /// When the attempt was sent.
    pub at: Instant,
}

/// Crash of an upstream, as the stand-in remembers it.
#[derive(Clone, Copy, Debug)]
struct CrashState {
    count: u64,
    back_at: Instant,
}

#[derive(Default)]
struct UpstreamState {
    behaviours: HashMap<String, OpaqueBehaviour>,
    /// Bodies of the requests that crash the upstreams that run them.
    deadly_bodies: Vec<Bytes>,
    /// Parts of prompts that crash the upstreams that run requests with them.
    deadly_parts: Vec<Fingerprint>,
    crashes: HashMap<String, CrashState>,
    limits: HashMap<String, RateLimit>,
    /// Gaps between the events of answers to requests with these bodies.
    gaps: HashMap<Bytes, Duration>,
    /// Start times of the processes of upstreams that differ from their entries; `None` if they don't tell.
    starts: HashMap<String, Option<u64>>,
    attempts: Vec<OpaqueAttempt>,
    running: HashMap<String, usize>,
    most_running: HashMap<String, usize>,
    executions: HashMap<String, RequestExecutions>,
}

/// Executions of one request.
#[derive(Clone, Copy, Debug, Default)]
struct RequestExecutions {
    /// Number in progress.
    running: usize,
    /// Most that were in progress at any time.
    most: usize,
    /// Since when more than one is in progress.
    overlaps_since: Option<Instant>,
    /// Longest time for which more than one was.
    longest_overlap: Duration,
}

impl RequestExecutions {
    fn begin(&mut self) {
        self.running += 1;
        self.most = self.running.max(self.most);
        if self.running > 1 {
            self.overlaps_since.get_or_insert_with(Instant::now);
        }
    }

    fn end(&mut self) {
        self.running -= 1;
        if self.running < 2
            && let Some(since) = self.overlaps_since.take()
        {
            self.longest_overlap = self.longest_overlap.max(since.elapsed());
        }
    }
}

/// A set of upstreams that answer every request with the same number of events. Clones share their
/// state.
#[derive(Clone)]
pub struct OpaqueUpstreams {
    events: u64,
    first: Duration,
    gap: Duration,
    restart: Duration,
    state: Arc<Mutex<UpstreamState>>,
    /// Changes with each crash.
    crashed: watch::Sender<u64>,
}

impl OpaqueUpstreams {
    /// Returns upstreams whose answers have `events` events, the first one after `first` and
    /// the others `gap` apart.
    pub fn new(events: u64, first: Duration, gap: Duration) -> Arc<Self> {
        Arc::new(Self {
            events,
            first,
            gap,
            restart: RESTART_TIME,
            state: Arc::default(),
            crashed: watch::Sender::new(0),
        })
    }

    /// Lets an upstream name a limit of requests a second in its answers, or no longer one.
    pub fn set_limit(&self, upstream: &str, limit: Option<RateLimit>) {
        let mut state = self.lock();
        match limit {
            Some(limit) => state.limits.insert(upstream.to_owned(), limit),
            None => state.limits.remove(upstream),
        };
    }

    /// Lets the events of answers to requests with `body` be `gap` apart, beside the first one.
    pub fn set_gap(&self, body: &Bytes, gap: Duration) {
        self.lock().gaps.insert(body.clone(), gap);
    }

    /// Lets requests with `body` crash each upstream that begins to run them.
    pub fn set_deadly(&self, body: &Bytes) {
        self.lock().deadly_bodies.push(body.clone());
    }

    /// Lets requests with this part of a prompt crash each upstream that begins to run them.
    pub fn set_deadly_part(&self, part: Fingerprint) {
        self.lock().deadly_parts.push(part);
    }

    /// Lets all requests succeed again.
    pub fn clear_deadly(&self) {
        let mut state = self.lock();
        state.deadly_bodies.clear();
        state.deadly_parts.clear();
    }

    /// Crashes `upstream`: all its connections break, and it refuses new ones until it has
    /// restarted.
    pub fn crash(&self, upstream: &str) {
        let mut state = self.lock();
        let count = state.crash_count(upstream) + 1;
        let back_at = Instant::now() + self.restart;
        let crash = CrashState { count, back_at };
        state.crashes.insert(upstream.to_owned(), crash);
        drop(state);
        self.crashed.send_modify(|count| *count += 1);
    }

    /// Number of crashes of all upstreams so far.
    pub fn crashes(&self) -> u64 {
        self.lock().crashes.values().map(|crash| crash.count).sum()
    }

    /// Sets the start time that the process of `upstream` tells, in milliseconds since the Unix epoch, from
    /// now on; `None` if it tells none. At first it is that of the upstream's entry.
    pub fn set_start(&self, upstream: &str, started_ms: Option<u64>) {
        self.lock().starts.insert(upstream.to_owned(), started_ms);
    }

    /// Sets how `upstream` handles requests from now on.
    pub fn set(&self, upstream: &str, behaviour: OpaqueBehaviour) {
        self.lock()
            .behaviours
            .insert(upstream.to_owned(), behaviour);
    }

    /// Returns all attempts so far, in the order of sending.
    pub fn attempts(&self) -> Vec<OpaqueAttempt> {
        self.lock().attempts.clone()
    }

    /// Returns the largest number of executions of `request` that were in progress at the same time.
    pub fn most_at_once(&self, request: &str) -> usize {
        self.lock()
            .executions
            .get(request)
            .map_or(0, |executions| executions.most)
    }

    /// Returns the longest time for which two executions of `request` were in progress, up to the end of
    /// the first one of them.
    pub fn longest_overlap(&self, request: &str) -> Duration {
        let state = self.lock();
        let executions = state.executions.get(request);
        executions.map_or(Duration::ZERO, |executions| executions.longest_overlap)
    }

    /// Returns the attempts at `request` that were executed.
    pub fn runs(&self, request: &str) -> Vec<OpaqueAttempt> {
        let ran = self.attempts().into_iter();
        ran.filter(|sending| sending.ran && sending.request == request)
            .collect()
    }

    /// Number of requests that `upstream` executes now.
    pub fn running(&self, upstream: &str) -> usize {
        self.lock().running.get(upstream).copied().unwrap_or(0)
    }

    /// Largest number of requests that `upstream` executed at once so far.
    pub fn most_running(&self, upstream: &str) -> usize {
        self.lock().most_running.get(upstream).copied().unwrap_or(0)
    }

    /// Text of the answer to `request`, as a batch item's output holds it.
    pub fn text(&self, request: &str) -> String {
        let lines: Vec<String> = (1..=self.events)
            .map(|id| event_text(request, id))
            .collect();
        lines.join("\n")
    }

    fn lock(&self) -> MutexGuard<'_, UpstreamState> {
        self.state.lock().expect("upstream state lock")
    }

    /// Checks that the upstream accepts connections and that its process is that of its entry.
    fn identify(&self, to: &UpstreamChoice) -> Result<(), SendError> {
        let state = self.lock();
        if state.behaviour(to.id.as_str()) == OpaqueBehaviour::Unreachable {
            return Ok(());
        }
        match state.starts.get(to.id.as_str()) {
            Some(None) => Err(SendError::Unidentified("no start time".to_owned())),
            Some(Some(started_ms)) if *started_ms != to.incarnation.1 => {
                let started_ms = *started_ms;
                Err(SendError::OtherProcess { started_ms })
            }
            Some(Some(_)) | None => Ok(()),
        }
    }

    fn record_attempt(
        &self,
        to: &UpstreamChoice,
        request: &RelayRequest,
        options: SendOptions,
    ) -> OpaqueBehaviour {
        let upstream = to.id.to_string();
        let mut state = self.lock();
        let behaviour = state.behaviour(&upstream);
        let ran = !matches!(
            behaviour,
            OpaqueBehaviour::Unreachable | OpaqueBehaviour::Full | OpaqueBehaviour::Moved
        );
        state.attempts.push(OpaqueAttempt {
            request: request.id.to_string(),
            upstream,
            resume_after: options.resume_after,
            ran,
            reuse: options.reuse,
            at: Instant::now(),
        });
        behaviour
    }

    fn body(
        &self,
        to: &UpstreamChoice,
        request: &RelayRequest,
        options: SendOptions,
        behaviour: OpaqueBehaviour,
    ) -> UpstreamBody {
        let (upstream, request_id) = (to.id.to_string(), request.id.to_string());
        let guard = ExecutionGuard::new(self.state.clone(), upstream, request_id);
        let begin = options.resume_after.unwrap_or(0) + 1;
        let (last, first) = (self.events, self.first);
        let (is_deadly, gap) = {
            let state = self.lock();
            let gap = state.gaps.get(&request.body).copied();
            (state.is_deadly(request), gap.unwrap_or(self.gap))
        };
        let request = request.id.to_string();
        let watcher = CrashWatcher::new(self, to.id.as_str());
        let events = stream::unfold((begin, guard), move |(id, guard)| {
            let request = request.clone();
            let watcher = watcher.clone();
            async move {
                let floods = matches!(behaviour, OpaqueBehaviour::FloodsAfter(..));
                if id > last && !floods {
                    return None;
                }
                let sent = id - begin;
                let pause = if sent == 0 { first } else { gap };
                let crashed = tokio::select! {
                    () = watcher.crashed() => true,
                    () = tokio::time::sleep(pause) => false,
                };
                let part = match behaviour {
                    _ if crashed || watcher.is_down() => Err("connection reset".to_owned()),
                    _ if is_deadly => {
                        watcher.crash();
                        Err("connection reset".to_owned())
                    }
                    OpaqueBehaviour::BreaksAfter(count) if sent >= count => {
                        Err("connection reset".to_owned())
                    }
                    OpaqueBehaviour::SilentAfter(count) if sent >= count => {
                        std::future::pending().await
                    }
                    OpaqueBehaviour::FloodsAfter(count, bytes) if sent >= count => {
                        Ok(Bytes::from_static(bytes.as_bytes()))
                    }
                    OpaqueBehaviour::Skips(skipped) if id >= skipped => {
                        Ok(event_bytes(&request, id + 1))
                    }
                    _ => Ok(event_bytes(&request, id)),
                };
                Some((part, (id + 1, guard)))
            }
        });
        events.boxed()
    }
}

impl UpstreamState {
    fn crash_count(&self, upstream: &str) -> u64 {
        self.crashes.get(upstream).map_or(0, |crash| crash.count)
    }

    fn is_down(&self, upstream: &str) -> bool {
        let crash = self.crashes.get(upstream);
        crash.is_some_and(|crash| Instant::now() < crash.back_at)
    }

    fn is_deadly(&self, request: &RelayRequest) -> bool {
        let mut parts = request.prompt_parts.iter();
        self.deadly_bodies.contains(&request.body)
            || parts.any(|part| self.deadly_parts.contains(part))
    }

    fn behaviour(&self, upstream: &str) -> OpaqueBehaviour {
        if self.is_down(upstream) {
            return OpaqueBehaviour::Unreachable;
        }
        let behaviour = self.behaviours.get(upstream).copied();
        behaviour.unwrap_or(OpaqueBehaviour::Serves)
    }
}

/// Tells a running request whether its upstream has crashed since it began.
#[derive(Clone)]
struct CrashWatcher {
    upstreams: OpaqueUpstreams,
    upstream: String,
    count_before: u64,
}

impl CrashWatcher {
    fn new(upstreams: &OpaqueUpstreams, upstream: &str) -> Self {
        Self {
            upstreams: upstreams.clone(),
            upstream: upstream.to_owned(),
            count_before: upstreams.lock().crash_count(upstream),
        }
    }

    fn is_down(&self) -> bool {
        self.upstreams.lock().crash_count(&self.upstream) != self.count_before
    }

    async fn crashed(&self) {
        let mut changes = self.upstreams.crashed.subscribe();
        while !self.is_down() {
            if changes.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    fn crash(&self) {
        self.upstreams.crash(&self.upstream);
    }
}

#[async_trait]
impl UpstreamTransport for OpaqueUpstreams {
    async fn send(
        &self,
        to: &UpstreamChoice,
        request: &RelayRequest,
        options: SendOptions,
    ) -> Result<UpstreamAnswer, SendError> {
        if options.resume_after.is_some() {
            self.identify(to)?;
        }
        let behaviour = self.record_attempt(to, request, options);
        let named = self.lock().limits.get(to.id.as_str()).copied();
        let limit = named.map_or(LimitSignal::Unlimited, LimitSignal::Limited);
        let whole = |status, executed, is_signed| {
            Ok(UpstreamAnswer {
                status,
                headers: HeaderMap::new(),
                executed,
                is_signed,
                is_leaving: false,
                limit,
                is_stream: false,
                body: stream::empty().boxed(),
            })
        };
        match behaviour {
            OpaqueBehaviour::Unreachable => Err(SendError::NotSent("refused".to_owned())),
            OpaqueBehaviour::Dark => std::future::pending().await,
            OpaqueBehaviour::LosesAnswers => {
                tokio::time::sleep(self.first).await;
                Err(SendError::Broken("connection reset".to_owned()))
            }
            OpaqueBehaviour::Full => whole(
                StatusCode::SERVICE_UNAVAILABLE,
                ExecutionReport::NoFull,
                false,
            ),
            OpaqueBehaviour::Moved => whole(
                StatusCode::MISDIRECTED_REQUEST,
                ExecutionReport::NoMoved,
                false,
            ),
            OpaqueBehaviour::Unsigned => whole(StatusCode::OK, ExecutionReport::Maybe, false),
            OpaqueBehaviour::Fails(status) => {
                let status = StatusCode::from_u16(status).expect("a proper status");
                whole(status, ExecutionReport::Maybe, true)
            }
            behaviour => Ok(UpstreamAnswer {
                status: StatusCode::OK,
                headers: HeaderMap::new(),
                executed: ExecutionReport::Maybe,
                is_signed: true,
                is_leaving: behaviour == OpaqueBehaviour::Leaves,
                limit,
                is_stream: true,
                body: self.body(to, request, options, behaviour),
            }),
        }
    }

    async fn refuses_connections(&self, to: &UpstreamChoice) -> bool {
        let state = self.lock();
        state.behaviour(to.id.as_str()) == OpaqueBehaviour::Unreachable
    }

    async fn probe(&self, target: &ProbeTarget) -> Result<(), UnreachedCause> {
        let behaviour = self.lock().behaviour(target.id.as_str());
        match behaviour {
            OpaqueBehaviour::Unreachable => Err(UnreachedCause::Refused),
            _ => Ok(()),
        }
    }
}

/// Counts an execution at an upstream until it is dropped with the answer's body.
struct ExecutionGuard {
    state: Arc<Mutex<UpstreamState>>,
    upstream: String,
    request: String,
}

impl ExecutionGuard {
    fn new(state: Arc<Mutex<UpstreamState>>, upstream: String, request: String) -> Self {
        {
            let mut state = state.lock().expect("upstream state lock");
            let running = state.running.entry(upstream.clone()).or_default();
            *running += 1;
            let now = *running;
            let most = state.most_running.entry(upstream.clone()).or_default();
            *most = now.max(*most);
            state.executions.entry(request.clone()).or_default().begin();
        }
        Self {
            state,
            upstream,
            request,
        }
    }
}

impl Drop for ExecutionGuard {
    fn drop(&mut self) {
        let mut state = self.state.lock().expect("upstream state lock");
        if let Some(running) = state.running.get_mut(&self.upstream) {
            *running -= 1;
        }
        if let Some(executions) = state.executions.get_mut(&self.request) {
            executions.end();
        }
    }
}

fn event_text(request: &str, id: u64) -> String {
    format!("{request} {id}")
}

fn event_bytes(request: &str, id: u64) -> Bytes {
    Bytes::from(format!("id: {id}\ndata: {}\n\n", event_text(request, id)))
}
