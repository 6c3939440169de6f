//! Stand-in of upstreams that run opaque requests, behind the product's edge.

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
use parsleywall::relay::ExecutionReport;
use parsleywall::relay::RelayRequest;
use parsleywall::relay::SendError;
use parsleywall::relay::SendOptions;
use parsleywall::relay::UpstreamAnswer;
use parsleywall::relay::UpstreamBody;
use parsleywall::relay::UpstreamTransport;
use tokio::time::Instant;

/// What an upstream does with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpaqueBehaviour {
    /// Runs them to their end.
    Serves,
    /// Accepts no connection.
    Unreachable,
    /// Accepts them and never answers.
    Dark,
    /// Says that it is full.
    Full,
    /// Says that it is another upstream.
    Moved,
    /// Runs them, and says that it leaves.
    Leaves,
    /// Breaks off after this number of events.
    BreaksAfter(u64),
    /// Falls silent after this number of events.
    SilentAfter(u64),
    /// Skips the event with this number.
    Skips(u64),
    /// Runs them, and the answer is lost.
    LosesAnswers,
    /// Answers without a signature.
    Unsigned,
    /// Fails them with this status.
    Fails(u16),
}

/// One sending that reached an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpaqueSending {
    /// Identifier of the request.
    pub request: String,
    /// The upstream.
    pub upstream: String,
    /// Event that it went on after.
    pub resume_after: Option<u64>,
    /// Whether the upstream ran it.
    pub ran: bool,
    /// Whether a connection that served before could be used.
    pub reuse: bool,
    /// When it arrived.
    pub at: Instant,
}

#[derive(Default)]
struct UpstreamState {
    behaviours: HashMap<String, OpaqueBehaviour>,
    sendings: Vec<OpaqueSending>,
    running: HashMap<String, usize>,
    most_running: HashMap<String, usize>,
}

/// Upstreams that answer every request with the same number of events.
pub struct OpaqueUpstreams {
    events: u64,
    first: Duration,
    gap: Duration,
    state: Arc<Mutex<UpstreamState>>,
}

impl OpaqueUpstreams {
    /// Returns upstreams whose answers have `events` events, the first one after `first` and
    /// the others `gap` apart.
    pub fn new(events: u64, first: Duration, gap: Duration) -> Arc<Self> {
        Arc::new(Self {
            events,
            first,
            gap,
            state: Arc::default(),
        })
    }

    /// Changes what `upstream` does with requests from now on.
    pub fn set(&self, upstream: &str, behaviour: OpaqueBehaviour) {
        self.lock()
            .behaviours
            .insert(upstream.to_owned(), behaviour);
    }

    /// All sendings so far.
    pub fn sendings(&self) -> Vec<OpaqueSending> {
        self.lock().sendings.clone()
    }

    /// Sendings of `request` that ran.
    pub fn runs(&self, request: &str) -> Vec<OpaqueSending> {
        let ran = self.sendings().into_iter();
        ran.filter(|sending| sending.ran && sending.request == request)
            .collect()
    }

    /// Requests that run at `upstream` now.
    pub fn running(&self, upstream: &str) -> usize {
        self.lock().running.get(upstream).copied().unwrap_or(0)
    }

    /// Largest number of requests that ran at `upstream` at once.
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

    fn note(
        &self,
        to: &UpstreamChoice,
        request: &RelayRequest,
        order: SendOptions,
    ) -> OpaqueBehaviour {
        let upstream = to.id.to_string();
        let mut state = self.lock();
        let behaviour = state.behaviours.get(&upstream).copied();
        let behaviour = behaviour.unwrap_or(OpaqueBehaviour::Serves);
        let ran = !matches!(
            behaviour,
            OpaqueBehaviour::Unreachable | OpaqueBehaviour::Full | OpaqueBehaviour::Moved
        );
        state.sendings.push(OpaqueSending {
            request: request.id.to_string(),
            upstream,
            resume_after: order.resume_after,
            ran,
            reuse: order.reuse,
            at: Instant::now(),
        });
        behaviour
    }

    fn body(
        &self,
        to: &UpstreamChoice,
        request: &RelayRequest,
        order: SendOptions,
        behaviour: OpaqueBehaviour,
    ) -> UpstreamBody {
        let work = RunningWork::new(self.state.clone(), to.id.to_string());
        let begin = order.resume_after.unwrap_or(0) + 1;
        let (last, first, gap) = (self.events, self.first, self.gap);
        let request = request.id.to_string();
        let events = stream::unfold((begin, work), move |(id, work)| {
            let request = request.clone();
            async move {
                if id > last {
                    return None;
                }
                let made = id - begin;
                tokio::time::sleep(if made == 0 { first } else { gap }).await;
                let part = match behaviour {
                    OpaqueBehaviour::BreaksAfter(count) if made >= count => {
                        Err("connection reset".to_owned())
                    }
                    OpaqueBehaviour::SilentAfter(count) if made >= count => {
                        std::future::pending().await
                    }
                    OpaqueBehaviour::Skips(skipped) if id >= skipped => {
                        Ok(event_bytes(&request, id + 1))
                    }
                    _ => Ok(event_bytes(&request, id)),
                };
                Some((part, (id + 1, work)))
            }
        });
        events.boxed()
    }
}

#[async_trait]
impl UpstreamTransport for OpaqueUpstreams {
    async fn send(
        &self,
        to: &UpstreamChoice,
        request: &RelayRequest,
        order: SendOptions,
    ) -> Result<UpstreamAnswer, SendError> {
        let behaviour = self.note(to, request, order);
        let whole = |status, executed, is_signed| {
            Ok(UpstreamAnswer {
                status,
                headers: HeaderMap::new(),
                executed,
                is_signed,
                is_leaving: false,
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
                is_stream: true,
                body: self.body(to, request, order, behaviour),
            }),
        }
    }
}

/// Work of one request at an upstream; ends when the answer's body is dropped.
struct RunningWork {
    state: Arc<Mutex<UpstreamState>>,
    upstream: String,
}

impl RunningWork {
    fn new(state: Arc<Mutex<UpstreamState>>, upstream: String) -> Self {
        {
            let mut state = state.lock().expect("upstream state lock");
            let running = state.running.entry(upstream.clone()).or_default();
            *running += 1;
            let now = *running;
            let most = state.most_running.entry(upstream.clone()).or_default();
            *most = now.max(*most);
        }
        Self { state, upstream }
    }
}

impl Drop for RunningWork {
    fn drop(&mut self) {
        let mut state = self.state.lock().expect("upstream state lock");
        if let Some(running) = state.running.get_mut(&self.upstream) {
            *running -= 1;
        }
    }
}

fn event_text(request: &str, id: u64) -> String {
    format!("{request} {id}")
}

fn event_bytes(request: &str, id: u64) -> Bytes {
    Bytes::from(format!("id: {id}\ndata: {}\n\n", event_text(request, id)))
}
