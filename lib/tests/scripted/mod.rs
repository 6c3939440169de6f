//! In-memory model engines that behave as scripted, and an inference runner over them.
#![allow(dead_code)] // Each test program uses some of it.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use futures_util::StreamExt;
use futures_util::stream;
use parsleywall::admission::AdmissionController;
use parsleywall::admission::AdmissionDependencies;
use parsleywall::caps::CapKeeper;
use parsleywall::counters::CounterSet;
use parsleywall::decisions::DecisionRing;
use parsleywall::edges::engine::CacheEvents;
use parsleywall::edges::engine::Endpoint;
use parsleywall::edges::engine::EngineError;
use parsleywall::edges::engine::EngineLoadReport;
use parsleywall::edges::engine::EngineOrder;
use parsleywall::edges::engine::GenerateCall;
use parsleywall::edges::engine::GenerateEvent;
use parsleywall::edges::engine::GenerateStream;
use parsleywall::edges::engine::ModelEngine;
use parsleywall::edges::engine::OrderOutcome;
use parsleywall::edges::host_list::HostList;
use parsleywall::edges::host_list::HostListError;
use parsleywall::edges::host_list::ListedHost;
use parsleywall::edges::host_list::ListedRole;
use parsleywall::edges::host_list::ListedState;
use parsleywall::ids::DataCentre;
use parsleywall::ids::HostId;
use parsleywall::ids::ModelName;
use parsleywall::ids::RequestId;
use parsleywall::ids::Revision;
use parsleywall::ids::UpstreamId;
use parsleywall::ids::WorkClass;
use parsleywall::ids::WorkspaceName;
use parsleywall::inference::InferenceCall;
use parsleywall::inference::InferenceRunner;
use parsleywall::membership::HostState;
use parsleywall::membership::Membership;
use parsleywall::membership::PeerHost;
use parsleywall::peers::PeerClient;
use parsleywall::placement::DemandMeter;
use parsleywall::refusal::Refusal;
use parsleywall::terms::Allowance;
use parsleywall::terms::WorkspaceTerms;
use parsleywall::upstreams::UpstreamTable;
use parsleywall_standins::host_list::HostListMemory;
use serde_json::json;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const MODEL: &str = "demo";
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);
const LIST_LAG: Duration = Duration::from_secs(1);
const UNBOUNDED: Allowance = Allowance {
    tokens_per_second: 1e12,
    burst_tokens: 1e12,
};

/// What an engine does with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineScript {
    /// Sends the whole answer.
    Answer,
    /// Breaks the connection after this number of tokens of the answer.
    BreakAfter(u64),
    /// Sends nothing after this number of tokens, with the connection left open.
    SilentAfter(u64),
    /// Accepts the call and never sends the head of an answer.
    NoHead,
    /// Fails as if no connection could be opened.
    NotSent,
    /// Rejects the call, as all of the engine's slots are taken.
    Busy,
    /// Answers with the status 400 and the text `scripted refusal`.
    Refuses,
}

/// Record of a call that an engine received.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedCall {
    pub(crate) address: SocketAddr,
    pub(crate) at: Instant,
    pub(crate) tokens: u64,
    pub(crate) resumed_tokens: u64,
    pub(crate) fresh_connection: bool,
}

/// All engines of a fleet, told apart by address; a call without a script is answered in full.
#[derive(Default)]
pub(crate) struct ScriptedEngine {
    next: Mutex<VecDeque<EngineScript>>,
    always: Mutex<Option<EngineScript>>,
    always_at: Mutex<HashMap<SocketAddr, EngineScript>>,
    calls: Mutex<Vec<ReceivedCall>>,
    distrusted: Mutex<Vec<SocketAddr>>,
    open: Arc<AtomicUsize>,
}

struct OpenStreamGuard(Arc<AtomicUsize>);

impl Drop for OpenStreamGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Text of a complete answer of `tokens` tokens.
pub(crate) fn expected_text(tokens: u64) -> String {
    (0..tokens).map(token).collect()
}

fn token(position: u64) -> String {
    format!(" t{position}")
}

impl ScriptedEngine {
    /// Adds a script for one call: scripts are used in the order in which they were added.
    pub(crate) fn script(&self, script: EngineScript) {
        self.next.lock().unwrap().push_back(script);
    }

    /// Sets the script for all calls without one of their own.
    pub(crate) fn always(&self, script: EngineScript) {
        *self.always.lock().unwrap() = Some(script);
    }

    /// Sets the script for all calls to `address`; overrides the other scripts.
    pub(crate) fn always_at(&self, address: SocketAddr, script: EngineScript) {
        self.always_at.lock().unwrap().insert(address, script);
    }

    /// Removes the script for `address`.
    pub(crate) fn heal(&self, address: SocketAddr) {
        self.always_at.lock().unwrap().remove(&address);
    }

    /// All calls received so far, in order.
    pub(crate) fn calls(&self) -> Vec<ReceivedCall> {
        self.calls.lock().unwrap().clone()
    }

    /// Number of calls received so far at `address`.
    pub(crate) fn calls_at(&self, address: SocketAddr) -> usize {
        let calls = self.calls();
        calls.iter().filter(|call| call.address == address).count()
    }

    /// Number of answer streams that are not yet dropped.
    pub(crate) fn open_streams(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Addresses whose pooled connections the runner gave up, in order.
    pub(crate) fn distrusted(&self) -> Vec<SocketAddr> {
        self.distrusted.lock().unwrap().clone()
    }

    fn script_for(&self, address: SocketAddr) -> EngineScript {
        if let Some(script) = self.always_at.lock().unwrap().get(&address) {
            return *script;
        }
        if let Some(script) = self.next.lock().unwrap().pop_front() {
            return script;
        }
        self.always.lock().unwrap().unwrap_or(EngineScript::Answer)
    }

    fn stream(&self, script: EngineScript, from: u64, tokens: u64) -> GenerateStream {
        self.open.fetch_add(1, Ordering::SeqCst);
        let open = OpenStreamGuard(self.open.clone());
        let state = (from, open);
        stream::unfold(Some(state), move |state| async move {
            let (position, open) = state?;
            match script {
                EngineScript::BreakAfter(end) if position >= end => {
                    let err = EngineError::Broken("scripted".to_owned());
                    return Some((Err(err), None));
                }
                EngineScript::SilentAfter(end) if position >= end => {
                    std::future::pending::<()>().await;
                }
                _ => {}
            }
            tokio::time::sleep(TOKEN_INTERVAL).await;
            if position == tokens {
                let usage = json!({
                    "prompt_tokens": 1,
                    "completion_tokens": tokens,
                    "total_tokens": tokens + 1,
                });
                let chunk = json!({ "choices": [], "usage": usage });
                return Some((Ok(GenerateEvent::Chunk(chunk)), Some((position + 1, open))));
            }
            if position > tokens {
                return Some((Ok(GenerateEvent::Done), None));
            }
            let finish = (position + 1 == tokens).then_some("length");
            let delta = json!({ "content": token(position) });
            let choice = json!({ "index": 0, "delta": delta, "finish_reason": finish });
            let chunk = json!({ "id": "a", "choices": [choice] });
            Some((Ok(GenerateEvent::Chunk(chunk)), Some((position + 1, open))))
        })
        .boxed()
    }
}

#[async_trait]
impl ModelEngine for ScriptedEngine {
    async fn generate(
        &self,
        address: SocketAddr,
        call: &GenerateCall,
    ) -> Result<GenerateStream, EngineError> {
        let script = self.script_for(address);
        let tokens = call.body["max_tokens"].as_u64().unwrap();
        let from = call.resume.as_ref().map_or(0, |point| point.tokens);
        self.calls.lock().unwrap().push(ReceivedCall {
            address,
            at: Instant::now(),
            tokens,
            resumed_tokens: from,
            fresh_connection: call.fresh_connection,
        });
        match script {
            EngineScript::NoHead => std::future::pending().await,
            EngineScript::NotSent => Err(EngineError::NotSent("scripted".to_owned())),
            EngineScript::Busy => Err(EngineError::Busy),
            EngineScript::Refuses => Err(EngineError::Refused {
                status: 400,
                message: "scripted refusal".to_owned(),
            }),
            script => Ok(self.stream(script, from, tokens)),
        }
    }

    async fn load(&self, _: SocketAddr) -> Result<EngineLoadReport, EngineError> {
        Ok(EngineLoadReport {
            models: vec![ModelName::new(MODEL)],
            ..EngineLoadReport::default()
        })
    }

    async fn cache_events(&self, _: SocketAddr, from: u64) -> Result<CacheEvents, EngineError> {
        Ok(CacheEvents {
            first: from,
            events: Vec::new(),
        })
    }

    async fn order(
        &self,
        _: SocketAddr,
        _: &EngineOrder,
        _: Instant,
    ) -> Result<OrderOutcome, EngineError> {
        Ok(OrderOutcome::Accepted)
    }

    fn discard_idle_connections(&self, address: SocketAddr) {
        self.distrusted.lock().unwrap().push(address);
    }
}

struct ListReader(Arc<HostListMemory>);

#[async_trait]
impl HostList for ListReader {
    async fn read(&self) -> Result<Vec<ListedHost>, HostListError> {
        Ok(self.0.seen())
    }
}

/// An inference runner with scripted engines and a host list. Dropping it stops the background
/// tasks.
pub(crate) struct ScriptedFleet {
    pub(crate) engine: Arc<ScriptedEngine>,
    pub(crate) list: Arc<HostListMemory>,
    pub(crate) runner: Arc<InferenceRunner>,
    pub(crate) counters: Arc<CounterSet>,
    terms: Arc<WorkspaceTerms>,
    stop: CancellationToken,
}

impl Drop for ScriptedFleet {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl ScriptedFleet {
    /// Starts a fleet of `engines` engines and waits until the runner knows all of them.
    pub(crate) async fn start(engines: u16) -> Self {
        let engine = Arc::new(ScriptedEngine::default());
        let list = HostListMemory::new((0..engines).map(listed).collect(), LIST_LAG);
        let counters = Arc::new(CounterSet::new());
        let host = HostId::new("host-0");
        let decisions = Arc::new(DecisionRing::new(host.clone()));
        let table = Arc::new(UpstreamTable::new(
            host.clone(),
            DataCentre::new("local"),
            Arc::new(ListReader(list.clone())),
            engine.clone(),
            counters.clone(),
            decisions.clone(),
        ));
        let admission = AdmissionController::new(AdmissionDependencies {
            host: host.clone(),
            membership: Arc::new(Membership::new(own_host(&host))),
            links: PeerClient::new(host, "scripted-secret-0".to_owned()),
            table: table.clone(),
            counters: counters.clone(),
            decisions: decisions.clone(),
        });
        let runner = InferenceRunner::new(
            CapKeeper::new(),
            admission.clone(),
            engine.clone(),
            counters.clone(),
            decisions,
            Arc::new(DemandMeter::new()),
        );
        let stop = CancellationToken::new();
        let stops = [stop.clone(), stop.clone()];
        let [table_stop, admission_stop] = stops;
        tokio::spawn(async move { table.run(table_stop).await });
        tokio::spawn(async move { admission.run(admission_stop).await });
        tokio::time::sleep(Duration::from_secs(1)).await;
        Self {
            engine,
            list,
            runner,
            counters,
            terms: Arc::new(terms()),
            stop,
        }
    }

    /// Address of the engine `number`, counted from zero.
    pub(crate) fn address(&self, number: u16) -> SocketAddr {
        address(number)
    }

    /// Returns an idempotent call for an answer of `tokens` tokens.
    pub(crate) fn call(&self, class: WorkClass, tokens: u64) -> InferenceCall {
        InferenceCall {
            request: RequestId::random(),
            terms: self.terms.clone(),
            class,
            endpoint: Endpoint::Chat,
            body: json!({ "model": MODEL, "messages": ["m"], "max_tokens": tokens }),
            deadline: Instant::now() + Duration::from_secs(120),
            idempotent: true,
        }
    }

    /// Runs `call` and returns the text of its answer.
    pub(crate) async fn answer(&self, call: InferenceCall) -> Result<String, Refusal> {
        run(self.runner.clone(), call).await
    }

    /// Like [`Self::answer`], in the background.
    pub(crate) fn spawn(&self, call: InferenceCall) -> JoinHandle<Result<String, Refusal>> {
        tokio::spawn(run(self.runner.clone(), call))
    }
}

async fn run(runner: Arc<InferenceRunner>, call: InferenceCall) -> Result<String, Refusal> {
    let answer = runner.run(call).await?;
    let body = answer.collect(Endpoint::Chat).await?.body();
    let text = body["choices"][0]["message"]["content"].as_str();
    Ok(text.unwrap_or_default().to_owned())
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 20_000 + number))
}

fn listed(number: u16) -> ListedHost {
    ListedHost {
        id: UpstreamId::new(format!("engine-{number}")),
        address: address(number),
        data_centre: DataCentre::new("local"),
        role: ListedRole::Engine,
        state: ListedState::Live,
    }
}

pub(crate) fn own_host(host: &HostId) -> PeerHost {
    PeerHost {
        id: host.clone(),
        incarnation: 1,
        data_centre: DataCentre::new("local"),
        caller_address: address(1000),
        peer_address: address(1001),
        state: HostState::Live,
        revision: Revision(0),
        has_disk: false,
    }
}

fn terms() -> WorkspaceTerms {
    WorkspaceTerms {
        name: WorkspaceName::new("desk"),
        share: 1.0,
        online: UNBOUNDED,
        batch: UNBOUNDED,
        models: [ModelName::new(MODEL)].into(),
    }
}
