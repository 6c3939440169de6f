//! Entry point of the relay: sheds load, dispatches a request and returns or streams its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use futures_util::stream;
use futures_util::stream::BoxStream;
use futures_util::stream::StreamExt;
use http::HeaderMap;
use http::StatusCode;
use tokio::time::Instant;

use crate::balancer::LoadBalancer;
use crate::balancer::UpstreamChoice;
use crate::detour::DetourKeeper;
use crate::detour::DetourRefusal;
use crate::detour::NO_HOST_RETRY_DELAY;
use crate::detour::RunCounter;
use crate::detour::UpstreamReach;
use crate::event_log::EventLog;
use crate::events::LogEvent;
use crate::host_views::HostViews;
use crate::host_views::ViewHandle;
use crate::ids::ServiceName;
use crate::ids::SoftwareVersion;
use crate::memory_budget::MemoryBudget;
use crate::origins::EndableBody;
use crate::origins::OriginKeeper;
use crate::origins::RunEnd;
use crate::origins::RunEndCause;
use crate::origins::RunHandle;
use crate::origins::RunRegistration;
use crate::quotas::QuotaKeeper;
use crate::quotas::QuotaRefusal;
use crate::reach::DetourHost;
use crate::reach::ReachChange;
use crate::reach::ReachKeeper;
use crate::reach::ReachState;
use crate::relay::answered::AnsweredRequests;
use crate::relay::dispatch::OpenedAnswer;
use crate::relay::dispatch::RelayFailure;
use crate::relay::dispatch::RequestDispatch;
use crate::relay::dispatch::RetryPolicy;
use crate::relay::dispatch::StreamStep;
use crate::relay::load_shedding::ServiceLoad;
use crate::relay::load_shedding::ShedDecision;
use crate::relay::load_shedding::decide_shedding;
use crate::relay::request::RelayRequest;
use crate::relay::room::RoomKeeper;
use crate::relay::room::RoomNote;
use crate::relay::room::RoomPermit;
use crate::relay::room::RoomRefusal;
use crate::relay::stop_gate::GateEntry;
use crate::relay::stop_gate::StopGate;
use crate::relay::take_up;
use crate::relay::transport::UpstreamTransport;
use crate::routes::Route;
use crate::routes::RouteKind;
use crate::suspects::CrashKeeper;
use crate::suspects::CrashSubject;
use crate::workspaces::Workspace;
use crate::workspaces::WorkspaceDirectory;

/// Lower bound of the wait for a stream's first event before another upstream is tried.
const MIN_FIRST_EVENT_WAIT: Duration = Duration::from_millis(150);
/// Lower bound of the gap between two events before a stream is resumed at another upstream.
const MIN_EVENT_GAP: Duration = Duration::from_millis(150);
const DEFAULT_GAP_OBJECTIVE: Duration = Duration::from_millis(500);
/// Default memory for whole answers that are buffered at the same time.
const ANSWER_MEMORY_BYTES: usize = 64 * 1024 * 1024;
/// Logged outcome of a request whose answer was delivered completely.
const SERVED_OUTCOME: &str = "served";
/// Logged outcome of a request whose stream was taken up by another one.
const TAKEN_UP_OUTCOME: &str = "taken_up";
/// Logged outcome of a stream whose deadline passed.
const TIMED_OUT_OUTCOME: &str = "stream_timed_out";
/// Time after the deadline of a stream that nobody reads at which its work ends. A stream that is read ends
/// at its deadline by itself.
const UNREAD_DEADLINE_MARGIN: Duration = Duration::from_millis(200);
/// Upper bound of the retry delay for a request that no upstream accepted.
const UNPLACED_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Retry delay for a request that takes up a stream which can't go on.
const NOT_RESUMABLE_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Retry delay for a request that a host refuses as it shuts down: another host can serve it at once.
const STOPPING_RETRY_DELAY: Duration = Duration::ZERO;
/// Time after a host is found to be stranded in which an answer may still come on a connection that lives
/// on.
const STRANDED_GRACE: Duration = Duration::from_millis(100);
/// Lower bound of the retry delay for a request that limits of upstreams leave no room for.
const MIN_LIMITED_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time after which other hosts have told whether they hear an upstream that refuses connections here.
const REFUSAL_CONFIRMATION: Duration = Duration::from_millis(700);

/// Why an upstream refuses connections of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RefusalCause {
    /// It does not, or that is not known.
    None,
    /// The upstream has crashed or ended.
    Upstream,
    /// No other upstream takes a connection of this host either, or other hosts hear this one.
    Unclear,
}

/// Why a request is refused, for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RelayRefusal {
    /// No upstream has room for the request now.
    Overloaded,
    /// Requests like this one crash the upstreams that run them.
    Convicted,
    /// The stream can't be taken up: the version of the software that began it is not known, or none
    /// of its upstreams serves. The caller has to begin anew.
    NotResumable,
    /// The host shuts down before the request would be complete.
    ShuttingDown,
    /// The workspace has sent as many requests as its limit allows.
    OverQuota,
}

/// Outcome of a relayed request, for its caller.
pub enum RelayAnswer {
    /// The request is refused; no upstream has run it, and none will.
    Refused {
        /// Delay after which the caller may retry.
        retry_after: Duration,
        /// Why the request is refused.
        reason: RelayRefusal,
    },
    /// A complete answer of an upstream, also one with an error status.
    Whole {
        /// HTTP status of the upstream's answer.
        status: StatusCode,
        /// Headers of the upstream's answer that are for the caller.
        headers: HeaderMap,
        /// Complete body.
        body: Bytes,
    },
    /// A stream of server-sent events.
    Stream {
        /// HTTP status of the first upstream that sent an event.
        status: StatusCode,
        /// Headers of that upstream's answer that are for the caller.
        headers: HeaderMap,
        /// Raw events, possibly from several upstreams in turn. An error ends the stream before
        /// its last event.
        body: BoxStream<'static, Result<Bytes, std::io::Error>>,
    },
    /// The answer is lost and the request may not be repeated; an upstream may have run it.
    Lost,
    /// The deadline passed without an answer; an upstream may have run the request.
    TimedOut,
}

/// Relays opaque requests of one host to upstreams. Clones share its state.
#[derive(Clone)]
pub struct RequestRelay {
    transport: Arc<dyn UpstreamTransport>,
    balancer: LoadBalancer,
    log: EventLog,
    answer_memory: MemoryBudget,
    views: Option<HostViews>,
    answered: Arc<AnsweredRequests>,
    stop_gate: StopGate,
    crashes: CrashKeeper,
    origins: OriginKeeper,
    quotas: QuotaKeeper,
    reach: ReachKeeper,
    detours: DetourKeeper,
    room: RoomKeeper,
}

/// Outcome of a request that came from another host.
pub(crate) struct DetouredAnswer {
    /// The outcome, as for a caller of this host.
    pub(crate) answer: RelayAnswer,
    /// Version of the software that began a stream.
    pub(crate) software: Option<SoftwareVersion>,
}

/// Bounds of a request that came from another host.
struct DetouredRun {
    /// Largest number of upstreams that may run it.
    max_runs: u32,
    counter: RunCounter,
}

impl RequestRelay {
    /// Returns a relay that picks upstreams by `balancer`, sends requests through `transport` and
    /// logs its decisions to `log`.
    pub fn new(
        transport: Arc<dyn UpstreamTransport>,
        balancer: LoadBalancer,
        log: EventLog,
    ) -> Self {
        let host = balancer.state().host().to_owned();
        Self {
            transport,
            room: RoomKeeper::new(balancer.clone()),
            balancer,
            answer_memory: MemoryBudget::new(ANSWER_MEMORY_BYTES),
            views: None,
            answered: Arc::default(),
            stop_gate: StopGate::default(),
            crashes: CrashKeeper::new(&host, log.clone()),
            origins: OriginKeeper::new(&host),
            quotas: QuotaKeeper::new(&host),
            reach: ReachKeeper::default(),
            detours: DetourKeeper::default(),
            log,
        }
    }

    /// Sets the memory in bytes that all buffered whole answers may take together.
    pub fn with_answer_memory(mut self, bytes: usize) -> Self {
        self.answer_memory = MemoryBudget::new(bytes);
        self
    }

    /// Logs the ages of `views` with each request that is sent.
    pub fn with_views(mut self, views: HostViews) -> Self {
        self.views = Some(views);
        self
    }

    /// Replaces the workspaces of the configuration, among which too little room is divided; `None` if it has
    /// none.
    pub fn set_workspaces(&self, workspaces: Option<&WorkspaceDirectory>) {
        self.room.set_workspaces(workspaces);
    }

    /// Ages in milliseconds of the configuration and of the list of upstreams; `None` without views.
    pub(crate) fn view_ages_ms(&self) -> (Option<u64>, Option<u64>) {
        let age = |view: &ViewHandle| view.age().as_millis() as u64;
        let views = self.views.as_ref();
        (
            views.map(|views| age(&views.configuration)),
            views.map(|views| age(&views.upstreams)),
        )
    }

    /// The transport that sends requests to upstreams.
    pub fn transport(&self) -> &Arc<dyn UpstreamTransport> {
        &self.transport
    }

    /// The load balancer that picks upstreams and reserves their slots.
    pub fn balancer(&self) -> &LoadBalancer {
        &self.balancer
    }

    /// What this host knows of requests that crash upstreams.
    pub fn crashes(&self) -> &CrashKeeper {
        &self.crashes
    }

    /// What this host knows of the versions at which streams began.
    pub fn origins(&self) -> &OriginKeeper {
        &self.origins
    }

    /// Limits on the requests of workspaces.
    pub fn quotas(&self) -> &QuotaKeeper {
        &self.quotas
    }

    /// What this host knows of its own reach of upstreams and of that of other hosts.
    pub fn reach(&self) -> &ReachKeeper {
        &self.reach
    }

    /// Detours of this host's requests through others.
    pub fn detours(&self) -> &DetourKeeper {
        &self.detours
    }

    /// How this host reaches the upstreams of `service`.
    pub(crate) fn reach_of(&self, service: &ServiceName) -> UpstreamReach {
        match self.reach.state(service) {
            ReachState::Reached => UpstreamReach::Reached,
            ReachState::Partial(_) => UpstreamReach::Partial,
            ReachState::Stranded => UpstreamReach::Stranded,
        }
    }

    /// Whether this host reaches no upstream of `service`, while other hosts do.
    pub(crate) fn is_stranded(&self, service: &ServiceName) -> bool {
        self.reach_of(service) == UpstreamReach::Stranded
    }

    /// Whether requests of this host for `service` go through other hosts.
    fn takes_detours(&self, service: &ServiceName) -> bool {
        self.detours.has_link() && self.is_stranded(service)
    }

    /// Judges anew how this host reaches upstreams, from what is known now, and probes some if need be.
    pub fn judge_reach(&self) {
        let (changes, probes) = self.reach.step(&self.balancer, Instant::now());
        for change in &changes {
            self.log_reach(change);
            if change.before == ReachState::Stranded {
                self.return_upstreams(&change.service);
            }
        }
        for target in probes {
            let relay = self.clone();
            tokio::spawn(async move {
                let result = relay.transport.probe(&target).await;
                relay.reach.record_probe(&target, result, Instant::now());
            });
        }
        self.detours
            .set_stranded(self.reach.stranded_services() > 0);
    }

    /// Ends the ejections of upstreams that were due to this host.
    fn return_upstreams(&self, service: &ServiceName) {
        let returned = self.balancer.state().end_ejections(service, Instant::now());
        for (upstream, ejected) in returned {
            self.log.write(LogEvent::UpstreamReturned {
                upstream: upstream.to_string(),
                ejected_ms: ejected.as_millis() as u64,
            });
        }
        self.balancer.notify_waiters();
    }

    fn log_reach(&self, change: &ReachChange) {
        self.log.write(LogEvent::ReachChanged {
            service: change.service.to_string(),
            before: change.before.to_string(),
            state: change.state.to_string(),
            serving: change.evidence.serving,
            lost: change.evidence.lost,
            unreached: change.evidence.unreached,
            connected: change.evidence.connected,
            cause: change.cause.map(|cause| cause.to_string()),
            lasted_ms: change.lasted.as_millis() as u64,
        });
    }

    /// Waits until this host is known to be stranded from `service`, and has been for a while.
    pub(crate) async fn await_stranded(&self, service: &ServiceName) {
        loop {
            self.detours.await_stranded().await;
            tokio::time::sleep(STRANDED_GRACE).await;
            if self.is_stranded(service) {
                return;
            }
        }
    }

    /// Chooses the host through which a request for `service` takes a detour; none of the `excluded` ones.
    pub(crate) fn choose_detour(
        &self,
        service: &ServiceName,
        excluded: &[String],
    ) -> Option<DetourHost> {
        let mut hosts = self.reach.detour_hosts(service);
        let names: Vec<&str> = hosts.iter().map(|host| host.host.as_str()).collect();
        let draw = rand::random();
        let table = self.detours.table();
        let chosen = table.choose(&names, excluded, Instant::now(), draw)?;
        drop(table);
        Some(hosts.swap_remove(chosen))
    }

    /// Takes over the versions of the upstreams that serve now into the history of versions.
    pub fn update_versions(&self) {
        let state = self.balancer.state();
        let revision = state.serving_revision();
        self.origins
            .update_history(revision, || state.serving_versions());
    }

    /// Checks in the background whether the process of an upstream that failed has ended. If it has,
    /// the version in its entry is that of no process any more.
    pub(crate) fn check_ended(&self, choice: &UpstreamChoice) {
        if choice.software.is_unknown() {
            return;
        }
        let (relay, choice) = (self.clone(), choice.clone());
        tokio::spawn(async move {
            let has_ended = match relay.check_refusal(&choice).await {
                RefusalCause::Upstream => true,
                RefusalCause::Unclear => relay.confirm_refusal(&choice).await,
                RefusalCause::None => false,
            };
            if has_ended {
                relay.note_ended(&choice);
            }
        });
    }

    /// Whether an upstream refuses connections, and whether by itself. That it does so to a host which no
    /// other upstream takes a connection of either may be due to the host.
    pub(crate) async fn check_refusal(&self, choice: &UpstreamChoice) -> RefusalCause {
        let begun = Instant::now();
        if !self.transport.refuses_connections(choice).await {
            return RefusalCause::None;
        }
        if self.reach.is_alone(begun) {
            return RefusalCause::Upstream;
        }
        let controls = self.balancer.state().control_targets(choice.key);
        let probes = controls.into_iter().map(async |target| {
            let result = self.transport.probe(&target).await;
            self.reach.record_probe(&target, result, Instant::now());
            result.is_ok()
        });
        let has_connected = join_all(probes).await.contains(&true);
        match has_connected && !self.reach.is_lost(&choice.id, Instant::now()) {
            true => RefusalCause::Upstream,
            false => RefusalCause::Unclear,
        }
    }

    /// Whether an upstream that refuses connections does so by itself, by what the other hosts have heard of
    /// it a while later.
    pub(crate) async fn confirm_refusal(&self, choice: &UpstreamChoice) -> bool {
        tokio::time::sleep(REFUSAL_CONFIRMATION).await;
        let is_lost = self.reach.is_lost(&choice.id, Instant::now());
        !is_lost && !self.reach.is_stranded()
    }

    /// Records that the process which wrote the entry of an upstream has ended.
    pub(crate) fn note_ended(&self, choice: &UpstreamChoice) {
        let is_new = {
            let mut state = self.balancer.state();
            state.note_ended(choice.incarnation, Instant::now())
        };
        if is_new {
            self.log.write(LogEvent::UpstreamEnded {
                upstream: choice.id.to_string(),
                software: choice.software.to_string(),
            });
        }
    }

    /// Memory budget that all buffered whole answers share.
    pub(crate) fn answer_memory(&self) -> &MemoryBudget {
        &self.answer_memory
    }

    /// Decides which requests are taken while this host shuts down.
    pub fn stop_gate(&self) -> &StopGate {
        &self.stop_gate
    }

    /// Requests that were answered lately.
    pub(crate) fn answered(&self) -> &AnsweredRequests {
        &self.answered
    }

    /// The log that decisions about requests are written to.
    pub fn log(&self) -> &EventLog {
        &self.log
    }

    /// Relays `request` and returns its answer. A streamed answer makes progress, and is resumed
    /// at another upstream after a failure, only while its body is polled. It breaks off when the
    /// stream is taken up by another request, here or at another host.
    pub async fn relay(&self, mut request: RelayRequest) -> RelayAnswer {
        let taken_up = match self.set_origin(&mut request).await {
            Ok(taken_up) => taken_up,
            Err(reason) => {
                let load = self.load(&request);
                self.log_refusal(&request, reason, load, NOT_RESUMABLE_RETRY_DELAY, None);
                return RelayAnswer::Refused {
                    retry_after: NOT_RESUMABLE_RETRY_DELAY,
                    reason: RelayRefusal::NotResumable,
                };
            }
        };
        self.run(request, taken_up, None).await.answer
    }

    /// Relays a request that another host took from its caller. Up to `max_runs` upstreams may run it;
    /// `counter` is told how many may have. The other host knows the run and the version that began it.
    pub(crate) async fn relay_detoured(
        &self,
        request: RelayRequest,
        max_runs: u32,
        counter: RunCounter,
    ) -> DetouredAnswer {
        let detoured = DetouredRun { max_runs, counter };
        self.run(request, None, Some(detoured)).await
    }

    /// Runs a request. One of this host's own callers counts for the limit of its workspace, unless it is
    /// refused.
    async fn run(
        &self,
        request: RelayRequest,
        taken_up: Option<RunRegistration>,
        detoured: Option<DetouredRun>,
    ) -> DetouredAnswer {
        let mut software = None;
        let is_own = detoured.is_none();
        // A host that shuts down refuses the request without asking for a grant.
        let is_counted = is_own && self.is_admitted(&request);
        let workspace = request.caller.workspace().filter(|_| is_counted).cloned();
        if let Some(workspace) = &workspace
            && let Err(refusal) = self.quotas.admit(workspace, request.version).await
        {
            let retry_after = refusal.retry_after;
            self.log_over_quota(&request, workspace, refusal);
            let answer = RelayAnswer::Refused {
                retry_after,
                reason: RelayRefusal::OverQuota,
            };
            return DetouredAnswer { answer, software };
        }
        let answer = self
            .run_and_tell(request, taken_up, detoured, &mut software)
            .await;
        if let Some(workspace) = &workspace
            && matches!(answer, RelayAnswer::Refused { .. })
        {
            self.quotas.give_back(workspace);
        }
        DetouredAnswer { answer, software }
    }

    /// Runs a request. Sets `software` to the version that began its stream.
    async fn run_and_tell(
        &self,
        request: RelayRequest,
        taken_up: Option<RunRegistration>,
        detoured: Option<DetouredRun>,
        software: &mut Option<SoftwareVersion>,
    ) -> RelayAnswer {
        let load = self.load(&request);
        let now = Instant::now();
        let left = request.deadline.saturating_duration_since(now);
        let is_own = detoured.is_none();
        // One of another host's requests is logged where that host is told.
        let log_refusal = |request: &RelayRequest, reason: &str, load, delay, subject| {
            if is_own {
                self.log_refusal(request, reason, load, delay, subject);
            }
        };
        let takes_detour = is_own && self.takes_detours(&request.service);
        if !self.is_admitted(&request) {
            return self.refuse_stopping(&request, is_own);
        }
        // The other host knows what room there is.
        if !takes_detour
            && !self.room.is_active()
            && let ShedDecision::Refuse(delay) =
                decide_shedding(load, request.route.objective, left)
        {
            log_refusal(&request, "no_free_place", load, delay, None);
            return RelayAnswer::Refused {
                retry_after: delay,
                reason: RelayRefusal::Overloaded,
            };
        }
        let request = Arc::new(request);
        let mut policy = online_policy(&request.route);
        if let Some(detoured) = &detoured {
            policy.max_runs = policy.max_runs.min(detoured.max_runs);
        }
        let mut run = RequestDispatch::new(self.clone(), request.clone(), policy);
        if let Some(detoured) = detoured {
            run = run.with_run_counter(detoured.counter);
        }
        let mut dispatch = LoggedDispatch::new(run, self.log.clone(), request.clone(), is_own);
        let room = match takes_detour {
            true => None,
            false => Some(&self.room),
        };
        let run_end = taken_up
            .as_ref()
            .map(|taken_up| taken_up.handle().run_end());
        dispatch.run_end = run_end.cloned();
        let has_ended = async {
            match run_end {
                Some(run_end) => run_end.ended().await,
                None => std::future::pending().await,
            }
        };
        let started = tokio::select! {
            biased;
            () = has_ended => return RelayAnswer::Lost,
            started = dispatch.start(room) => started,
            () = self.stop_gate.ends_soon() => return self.end_unanswered(dispatch),
        };
        let started = match started {
            Ok(started) => started,
            Err(StartRefusal::Stopping) => {
                dispatch.logged = true;
                return self.refuse_stopping(&request, is_own);
            }
            Err(StartRefusal::NoRoom(refusal)) => {
                dispatch.logged = true;
                if is_own {
                    self.log_room_refusal(&request, refusal);
                }
                return RelayAnswer::Refused {
                    retry_after: refusal.retry_after,
                    reason: RelayRefusal::Overloaded,
                };
            }
        };
        match started {
            Ok(OpenedAnswer::Whole {
                status,
                headers,
                body,
            }) => {
                dispatch.record_first();
                dispatch.finish(SERVED_OUTCOME);
                RelayAnswer::Whole {
                    status,
                    headers,
                    body,
                }
            }
            Ok(OpenedAnswer::Stream { status, headers }) => {
                dispatch.record_first();
                *software = dispatch.run.software().cloned();
                let registration = match is_own {
                    true => taken_up.or_else(|| self.register_run(&request)),
                    false => None,
                };
                RelayAnswer::Stream {
                    status,
                    headers,
                    body: stream_body(dispatch, registration),
                }
            }
            Err(RelayFailure::NotRun) if !takes_detour && self.is_version_gone(&request) => {
                dispatch.finish("refused");
                let delay = NOT_RESUMABLE_RETRY_DELAY;
                log_refusal(&request, "version_gone", load, delay, None);
                RelayAnswer::Refused {
                    retry_after: delay,
                    reason: RelayRefusal::NotResumable,
                }
            }
            Err(RelayFailure::NotRun) => {
                let refusal = dispatch.run.refusal();
                let (reason, delay) = match refusal {
                    Some((_, delay)) => ("detour_refused", delay),
                    None if takes_detour => ("stranded", self.detour_delay(&request.service)),
                    None => self.unplaced_delay(&request),
                };
                let delay = delay.min(left / 3);
                dispatch.finish("refused");
                log_refusal(&request, reason, load, delay, None);
                RelayAnswer::Refused {
                    retry_after: delay,
                    reason: refusal.map_or(RelayRefusal::Overloaded, caller_refusal),
                }
            }
            Err(RelayFailure::Convicted(refusal)) => {
                dispatch.finish("refused");
                let (delay, subject) = (refusal.retry_after, refusal.subject);
                log_refusal(&request, "convicted", load, delay, Some(subject));
                RelayAnswer::Refused {
                    retry_after: delay,
                    reason: RelayRefusal::Convicted,
                }
            }
            Err(RelayFailure::Lost) => {
                dispatch.finish("lost");
                RelayAnswer::Lost
            }
            Err(RelayFailure::TimedOut) => {
                dispatch.finish("timed_out");
                RelayAnswer::TimedOut
            }
        }
    }

    /// Whether a request is taken: unless this host shuts down and the request may be cut off then.
    fn is_admitted(&self, request: &RelayRequest) -> bool {
        let now = Instant::now();
        let (route, left) = (
            &request.route,
            request.deadline.saturating_duration_since(now),
        );
        match route.kind.is_retryable() {
            true => self.stop_gate.admits(&route.name, left, now),
            false => self.stop_gate.admits_once(&route.name, left, now),
        }
    }

    /// Refuses a request that this host does not take as it shuts down. One of another host's requests is
    /// logged where that host is told.
    fn refuse_stopping(&self, request: &RelayRequest, is_own: bool) -> RelayAnswer {
        let retry_after = STOPPING_RETRY_DELAY;
        if is_own {
            let load = self.load(request);
            self.log_refusal(request, "shutting_down", load, retry_after, None);
        }
        RelayAnswer::Refused {
            retry_after,
            reason: RelayRefusal::ShuttingDown,
        }
    }

    /// Ends a request that has no answer shortly before this host stops, which would cut it off without one.
    fn end_unanswered(&self, mut dispatch: LoggedDispatch) -> RelayAnswer {
        if dispatch.run.has_been_sent() {
            dispatch.finish("cut_off");
            return RelayAnswer::Lost;
        }
        dispatch.logged = true;
        self.refuse_stopping(&dispatch.request, dispatch.is_own)
    }

    fn load(&self, request: &RelayRequest) -> ServiceLoad {
        let state = self.balancer.state();
        let (slots, online) = state.online_capacity(&request.service, Instant::now());
        ServiceLoad {
            slots,
            online,
            slot_time: state.slot_time(&request.service),
            is_limited: state.has_limited_upstream(&request.service),
        }
    }

    /// Registers the run of a stream that begins, if a caller may take it up.
    fn register_run(&self, request: &RelayRequest) -> Option<RunRegistration> {
        let tag = request.stream_tag();
        let is_resumable = request.is_resumable();
        is_resumable.then(|| self.origins.register_first(tag))
    }

    /// Finds the version of the software at which a stream has to go on that the request takes up, and has
    /// the run before ended. Returns the run that takes the stream up. The error is the reason why there is
    /// no version.
    async fn set_origin(
        &self,
        request: &mut RelayRequest,
    ) -> Result<Option<RunRegistration>, &'static str> {
        if request.resume_after.is_none() {
            take_up::leave_run(self, request);
            return Ok(None);
        }
        self.update_versions();
        let age = request.route.timeout;
        let tag = request.stream_tag();
        let version = self.origins.resolve(tag, &request.service, age).await;
        let version = version.ok_or("origin_unknown")?;
        // Whether the stream can go on or not: the caller has left the run before.
        let run = take_up::end_run_before(self, request, &version);
        // A stranded host takes upstreams for ended whose connections are refused; another one decides.
        let is_served = self.takes_detours(&request.service)
            || self
                .balancer
                .state()
                .serves_version(&request.service, &version);
        request.software = Some(version);
        is_served.then_some(run).ok_or("version_gone")
    }

    /// Whether a request goes on at a version of the software that no upstream serves any more.
    fn is_version_gone(&self, request: &RelayRequest) -> bool {
        let state = self.balancer.state();
        let version = request.software.as_ref();
        version.is_some_and(|version| !state.serves_version(&request.service, version))
    }

    /// Why a request was not placed, and when its caller should come back.
    fn unplaced_delay(&self, request: &RelayRequest) -> (&'static str, Duration) {
        let mut state = self.balancer.state();
        match state.limited_retry_delay(&request.service, Instant::now()) {
            Some(delay) => ("limited", delay.max(MIN_LIMITED_RETRY_DELAY)),
            None => ("no_upstream_took_it", UNPLACED_RETRY_DELAY),
        }
    }

    /// When a caller should come back whose request no other host takes.
    fn detour_delay(&self, service: &ServiceName) -> Duration {
        let hosts = self.reach.detour_hosts(service);
        let names: Vec<&str> = hosts.iter().map(|host| host.host.as_str()).collect();
        let table = self.detours.table();
        table
            .shortest_avoidance(&names, Instant::now())
            .unwrap_or(NO_HOST_RETRY_DELAY)
    }

    fn log_over_quota(&self, request: &RelayRequest, workspace: &Workspace, refusal: QuotaRefusal) {
        self.log.write(LogEvent::RequestOverQuota {
            request: request.id.to_string(),
            workspace: workspace.name.to_string(),
            level: refusal.known.map(|(level, _)| level),
            level_ms: refusal.known.map(|(_, age)| age.as_millis() as u64),
            authority: refusal.authority,
            retry_ms: refusal.retry_after.as_millis() as u64,
            version: request.version,
        });
    }

    fn log_refusal(
        &self,
        request: &RelayRequest,
        reason: &str,
        load: ServiceLoad,
        delay: Duration,
        subject: Option<CrashSubject>,
    ) {
        let subject = subject.map(|subject| subject.to_string());
        self.log
            .write(refused_event(request, reason, load, delay, subject, None));
    }

    fn log_room_refusal(&self, request: &RelayRequest, refusal: RoomRefusal) {
        let RoomRefusal {
            note,
            load,
            retry_after,
        } = refusal;
        let reason = note.reason.to_string();
        self.log.write(refused_event(
            request,
            &reason,
            load,
            retry_after,
            None,
            Some(note),
        ));
    }
}

fn refused_event(
    request: &RelayRequest,
    reason: &str,
    load: ServiceLoad,
    delay: Duration,
    subject: Option<String>,
    room: Option<RoomNote>,
) -> LogEvent {
    LogEvent::RequestRefused {
        request: request.id.to_string(),
        reason: reason.to_owned(),
        places: load.slots,
        online: load.online,
        retry_ms: delay.as_millis() as u64,
        version: request.version,
        subject,
        room: room.map(|note| Box::new(note.record(request))),
    }
}

/// What a refusal of another host means to a caller of this one.
fn caller_refusal((reason, _): (DetourRefusal, Duration)) -> RelayRefusal {
    match reason {
        DetourRefusal::Convicted => RelayRefusal::Convicted,
        DetourRefusal::NotResumable => RelayRefusal::NotResumable,
        DetourRefusal::Stranded
        | DetourRefusal::Overloaded
        | DetourRefusal::ShuttingDown
        | DetourRefusal::Malformed => RelayRefusal::Overloaded,
    }
}

fn online_policy(route: &Route) -> RetryPolicy {
    let gap = route.gap_objective.unwrap_or(DEFAULT_GAP_OBJECTIVE);
    let is_stream = matches!(route.kind, RouteKind::Stream { .. });
    RetryPolicy {
        is_retryable: route.kind.is_retryable(),
        max_runs: route.attempts.max(1),
        first_event_wait: match is_stream {
            true => (route.objective * 6 / 10).max(MIN_FIRST_EVENT_WAIT),
            // A whole answer arrives only after the upstream has done all of the work.
            false => route.timeout / 3,
        },
        queued_event_wait: route.objective.max(MIN_FIRST_EVENT_WAIT) * 4,
        max_event_gap: (gap * 7 / 10).max(MIN_EVENT_GAP),
        bounds_last_run: false,
    }
}

/// Body that reads the next event from the upstream when the caller polls for it, until another request
/// takes the stream up, or its deadline passes though nobody polls.
fn stream_body(
    mut dispatch: LoggedDispatch,
    registration: Option<RunRegistration>,
) -> BoxStream<'static, Result<Bytes, std::io::Error>> {
    let handle = match &registration {
        Some(registration) => registration.handle().clone(),
        None => RunHandle::default(),
    };
    dispatch.run_end = Some(handle.run_end().clone());
    let deadline = dispatch.request.deadline;
    let timer = handle.end_after(deadline, UNREAD_DEADLINE_MARGIN);
    let guard = (registration, timer);
    EndableBody::new(handle, event_body(dispatch), guard).boxed()
}

fn event_body(dispatch: LoggedDispatch) -> BoxStream<'static, Result<Bytes, std::io::Error>> {
    let events = stream::unfold(Some(dispatch), |dispatch| async move {
        let mut dispatch = dispatch?;
        match dispatch.run.next_step().await {
            StreamStep::Event(event) => {
                dispatch.events += 1;
                Some((Ok(event.raw), Some(dispatch)))
            }
            StreamStep::End => {
                dispatch.finish(SERVED_OUTCOME);
                None
            }
            StreamStep::Failed(failure) => {
                let outcome = match failure {
                    RelayFailure::TimedOut => TIMED_OUT_OUTCOME,
                    RelayFailure::NotRun | RelayFailure::Convicted(_) | RelayFailure::Lost => {
                        "stream_broken"
                    }
                };
                dispatch.finish(outcome);
                Some((Err(std::io::Error::other(outcome)), None))
            }
        }
    });
    events.boxed()
}

/// The dispatch of one request; writes one log line when it ends, also if its caller disconnects.
struct LoggedDispatch {
    run: RequestDispatch,
    log: EventLog,
    request: Arc<RelayRequest>,
    first: Option<Instant>,
    /// Number of events that were passed on.
    events: u64,
    /// Tells whether the run was ended from outside; `None` before it can be.
    run_end: Option<RunEnd>,
    /// Whether this host took the request from its caller.
    is_own: bool,
    logged: bool,
    /// Counts the request as under way, where that is needed.
    permit: Option<RoomPermit>,
    _entry: GateEntry,
}

/// Why a request is not started.
enum StartRefusal {
    NoRoom(RoomRefusal),
    /// This host shuts down before the request would be complete.
    Stopping,
}

impl LoggedDispatch {
    fn new(run: RequestDispatch, log: EventLog, request: Arc<RelayRequest>, is_own: bool) -> Self {
        let entry = run.stop_gate().enter(&request.route.name, request.received);
        Self {
            run,
            log,
            request,
            first: None,
            events: 0,
            run_end: None,
            is_own,
            logged: false,
            permit: None,
            _entry: entry,
        }
    }

    /// Starts the request once it has room. The error is its refusal, without having been sent. `room` is
    /// `None` if another host decides.
    async fn start(
        &mut self,
        room: Option<&RoomKeeper>,
    ) -> Result<Result<OpenedAnswer, RelayFailure>, StartRefusal> {
        if let Some(room) = room {
            let (relay, request) = (self.run.relay().clone(), self.request.clone());
            let taken = tokio::select! {
                biased;
                taken = room.take(&request, || relay.load(&request)) => taken,
                () = relay.stop_gate().refuses(|| relay.is_admitted(&request)) => {
                    return Err(StartRefusal::Stopping);
                }
            };
            if let Some(permit) = taken.transpose().map_err(StartRefusal::NoRoom)? {
                self.run.set_room(permit.note);
                self.permit = Some(permit);
            }
        }
        Ok(self.run.start().await)
    }

    fn record_first(&mut self) {
        self.first = Some(Instant::now());
    }

    fn finish(&mut self, outcome: &str) {
        self.logged = true;
        if outcome == SERVED_OUTCOME {
            let time = self.request.received.elapsed();
            self.run.stop_gate().record(&self.request.route.name, time);
        }
        let state = self.run.state();
        let unserved = (outcome != SERVED_OUTCOME)
            .then_some(state.upstream)
            .flatten();
        let quiet_ms = unserved
            .is_some()
            .then_some(state.silent_for.as_millis() as u64);
        let received = self.request.received;
        if !self.is_own {
            self.log.write(LogEvent::DetourFinished {
                request: self.request.id.to_string(),
                outcome: outcome.to_owned(),
                runs: state.runs,
                total_ms: received.elapsed().as_millis() as u64,
                upstream: unserved.map(|upstream| upstream.to_string()),
                quiet_ms,
            });
            return;
        }
        let first = self
            .first
            .map(|first| (first - received).as_millis() as u64);
        self.log.write(LogEvent::RequestEnded {
            request: self.request.id.to_string(),
            outcome: outcome.to_owned(),
            runs: state.runs,
            first_ms: first,
            total_ms: received.elapsed().as_millis() as u64,
            upstream: unserved.map(|upstream| upstream.to_string()),
            quiet_ms,
        });
    }
}

impl Drop for LoggedDispatch {
    fn drop(&mut self) {
        if self.logged {
            return;
        }
        let host = match self.run_end.as_ref().and_then(RunEnd::cause) {
            None => return self.finish("caller_left"),
            Some(RunEndCause::DeadlinePassed) => return self.finish(TIMED_OUT_OUTCOME),
            Some(RunEndCause::TakenUp(host)) => host,
        };
        let balancer = self.run.relay().balancer();
        let by_host = balancer.state().host_name(host);
        self.log.write(LogEvent::StreamGivenUp {
            request: self.request.id.to_string(),
            by_host,
            events: self.events,
        });
        self.finish(TAKEN_UP_OUTCOME);
    }
}
