//! Handle to what a host knows of the versions at which streams began and of their runs, which its tasks
//! share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::clock::steady_unix_millis;
use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::ids::RequestId;
use crate::ids::ServiceName;
use crate::ids::SoftwareVersion;
use crate::origins::history::SeenVersions;
use crate::origins::history::VersionHistory;
use crate::origins::message::HostTag;
use crate::origins::message::OriginNotice;
use crate::origins::message::OriginReply;
use crate::origins::message::StreamHolder;
use crate::origins::message::StreamOrigin;
use crate::origins::message::StreamRun;
use crate::origins::message::StreamTag;
use crate::origins::message::TakeUpNotice;
use crate::origins::message::TakeUpReply;
use crate::origins::run::RunHandle;
use crate::origins::table::OriginTable;
use crate::origins::table::Succession;

/// Number of registrars of a stream.
pub(crate) const REGISTRARS: usize = 3;
/// Time within which registrars have to reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(90);
/// Time after which registrars are asked once more, as datagrams may be lost.
const REPEAT_DELAY: Duration = Duration::from_millis(30);
/// Waits for the confirmation of a take-up, after each of which the host before is told once more.
const CONFIRM_WAITS: [Duration; 4] = [
    Duration::from_millis(30),
    Duration::from_millis(60),
    Duration::from_millis(90),
    Duration::from_millis(120),
];

/// What became of the run before a take-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum TakeUpOutcome {
    /// It was ended for the take-up.
    Ended,
    /// It had ended by itself, as when its caller's connection closed.
    Gone,
    /// No host is known to have run the stream.
    Unknown,
    /// The host that ran the stream did not answer.
    Unanswered,
}

/// What the registrars of a stream have replied so far.
#[derive(Clone, Debug, Default)]
struct QueryState {
    /// Number of registrars that were asked; `None` before the query was sent.
    asked: Option<usize>,
    /// Registrars that don't know the stream.
    unknown: HashSet<String>,
    version: Option<SoftwareVersion>,
    /// Where the latest run is that the registrars know.
    holder: Option<StreamHolder>,
    /// Whether a registrar sees other versions serve than this host does.
    is_contradicted: bool,
}

impl QueryState {
    fn is_settled(&self) -> bool {
        self.version.is_some() || self.asked.is_some_and(|asked| self.unknown.len() >= asked)
    }

    /// Whether other hosts see the same versions serve as this one, or there are none. A host that was
    /// cut off or stood still may lack a version that serves; it then hears no other host, or one that
    /// sees more.
    fn confirms_view(&self) -> bool {
        let is_alone = self.asked == Some(0);
        is_alone || (!self.unknown.is_empty() && !self.is_contradicted)
    }
}

#[derive(Default)]
struct OriginState {
    table: OriginTable,
    history: SeenVersions,
    /// Whether the history holds what the key-value service has of the time before this process.
    is_history_loaded: bool,
    /// Whether this host does not follow the entries of upstreams, so that there may be newer versions.
    is_outdated: bool,
    /// State of the upstreams that the history was last updated from.
    serving_revision: Option<u64>,
    has_unsaved: bool,
    /// What registrars of streams are to be told.
    outbox: Vec<OriginNotice>,
    /// Streams to ask registrars about.
    queries: Vec<StreamTag>,
    waiting: HashMap<StreamTag, watch::Sender<QueryState>>,
    /// The latest run of each stream that this host runs now.
    runs: HashMap<StreamTag, LocalRun>,
    /// Later runs to tell other hosts of.
    take_ups: Vec<(HostTag, TakeUpNotice)>,
    /// Take-ups here that the hosts before have not confirmed yet.
    unconfirmed: HashMap<StreamRun, oneshot::Sender<bool>>,
}

struct LocalRun {
    run: StreamRun,
    handle: RunHandle,
}

impl OriginState {
    /// Run of this host that the news of `holder` ends; the caller ends it once the state is unlocked.
    ///
    /// Tells the host of a run before that one of the later run, and `holder` if there is a still later
    /// one. As only later runs are told of, to hosts of earlier ones, this comes to an end, and the
    /// latest run is never ended.
    fn apply_succession(
        &mut self,
        own: HostTag,
        tag: StreamTag,
        holder: StreamHolder,
        succession: Succession,
    ) -> Option<RunHandle> {
        let local = self.runs.get(&tag);
        let local = local.map(|local| (local.run, local.handle.clone()));
        match (succession, &local) {
            (_, Some((run, _))) if *run > holder.run => {
                let later = StreamHolder {
                    host: own,
                    run: *run,
                };
                self.tell(own, tag, holder.host, later);
            }
            (Succession::Precedes(later), _) => self.tell(own, tag, holder.host, later),
            (Succession::Follows(before), _) => self.tell(own, tag, before.host, holder),
            (Succession::Unchanged, _) => {}
        }
        let (_, handle) = local.filter(|(run, _)| *run < holder.run)?;
        self.runs.remove(&tag);
        self.table.note_ended(tag, holder.run);
        Some(handle)
    }

    /// Has `to` told of the run of `later`, unless that is its own or `to` is this host.
    fn tell(&mut self, own: HostTag, tag: StreamTag, to: HostTag, later: StreamHolder) {
        if to != later.host && to != own {
            self.take_ups.push((to, TakeUpNotice::new(tag, later)));
        }
    }
}

/// A run that this host registered; it counts as ended once this is dropped.
pub(crate) struct RunRegistration {
    keeper: OriginKeeper,
    tag: StreamTag,
    run: StreamRun,
    handle: RunHandle,
}

impl RunRegistration {
    /// The run.
    pub(crate) fn run(&self) -> StreamRun {
        self.run
    }

    /// Ends the run, or tells whether it was ended.
    pub(crate) fn handle(&self) -> &RunHandle {
        &self.handle
    }
}

impl Drop for RunRegistration {
    fn drop(&mut self) {
        let mut state = self.keeper.state();
        let known = state.runs.get(&self.tag);
        if known.is_some_and(|known| known.handle.is_same(&self.handle)) {
            state.runs.remove(&self.tag);
        }
    }
}

/// What is known of the run before a take-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunBefore {
    /// It was on this host, and was ended now if `has_ended`.
    Here {
        /// Whether it was still running.
        has_ended: bool,
    },
    /// It is, or was, on another host.
    At(HostTag),
    /// Nothing is known.
    Unknown,
}

impl RunBefore {
    fn new(own: HostTag, has_ended: bool, known: Option<StreamHolder>) -> Self {
        match known {
            _ if has_ended => Self::Here { has_ended },
            Some(known) if known.host == own => Self::Here { has_ended },
            Some(known) => Self::At(known.host),
            None => Self::Unknown,
        }
    }
}

/// Versions and runs of streams, with queries to other hosts. Clones refer to the same state.
#[derive(Clone, Default)]
pub struct OriginKeeper {
    shared: Arc<KeeperShared>,
}

#[derive(Default)]
struct KeeperShared {
    host: HostTag,
    state: Mutex<OriginState>,
    has_messages: Notify,
}

impl OriginKeeper {
    /// Returns a keeper of the host with this name that knows no streams.
    pub fn new(host: &str) -> Self {
        let shared = KeeperShared {
            host: HostTag::new(host),
            ..KeeperShared::default()
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    fn state(&self) -> MutexGuard<'_, OriginState> {
        self.shared.state.lock().expect("origin state lock")
    }

    /// Records that this host passed on the first event of a stream of `service`, and has its registrars
    /// told.
    pub(crate) fn record_begun(
        &self,
        tag: StreamTag,
        service: &ServiceName,
        version: &SoftwareVersion,
    ) {
        let mut state = self.state();
        if version.is_unknown() {
            state.history.note_unknown(service, Instant::now());
            state.has_unsaved = true;
        }
        let run = state.runs.get(&tag).map(|local| local.run);
        let run = run.unwrap_or_else(|| StreamRun::first(tag));
        self.announce(&mut state, tag, version, run);
    }

    /// Records a run of this host, and has the registrars of its stream told.
    fn announce(
        &self,
        state: &mut OriginState,
        tag: StreamTag,
        version: &SoftwareVersion,
        run: StreamRun,
    ) {
        let host = self.shared.host;
        let holder = StreamHolder { host, run };
        let now = Instant::now();
        state.table.record(tag, version.clone(), Some(holder), now);
        state.outbox.push(OriginNotice {
            origins: vec![StreamOrigin(tag, version.clone())],
            host: Some(host),
            run: (run != StreamRun::first(tag)).then_some(run),
        });
        self.shared.has_messages.notify_one();
    }

    /// Has the registrars of all streams that run here told again, as they may be other hosts than before.
    pub fn announce_again(&self) {
        let own = self.shared.host;
        let mut state = self.state();
        let local = state.runs.iter().map(|(tag, local)| (*tag, local.run));
        let told = local.filter_map(|(tag, run)| {
            let holder = StreamHolder { host: own, run };
            let version = state.table.find(tag)?;
            (state.table.holder(tag) == Some(holder)).then_some((tag, run, version))
        });
        let told: Vec<_> = told.collect();
        for (tag, run, version) in told {
            self.announce(&mut state, tag, &version, run);
        }
    }

    /// Registers the run of the stream `tag` that began it here.
    pub(crate) fn register_first(&self, tag: StreamTag) -> RunRegistration {
        let mut state = self.state();
        self.register(&mut state, tag, StreamRun::first(tag))
    }

    fn register(&self, state: &mut OriginState, tag: StreamTag, run: StreamRun) -> RunRegistration {
        let handle = RunHandle::default();
        let local = LocalRun {
            run,
            handle: handle.clone(),
        };
        state.runs.insert(tag, local);
        RunRegistration {
            keeper: self.clone(),
            tag,
            run,
            handle,
        }
    }

    /// Registers a run here that takes up the stream `tag` by the attempt `id`, ends the run before if that
    /// is here, and has the registrars told. `version` is that of the stream.
    pub(crate) fn take_up(
        &self,
        tag: StreamTag,
        id: &RequestId,
        version: &SoftwareVersion,
    ) -> (RunRegistration, RunBefore) {
        let host = self.shared.host;
        let mut state = self.state();
        let local = state.runs.remove(&tag);
        let known = state.table.holder(tag);
        let latest = known.map(|known| known.run);
        let latest = latest.max(local.as_ref().map(|local| local.run));
        let run = StreamRun::following(latest, id, steady_unix_millis());
        let registration = self.register(&mut state, tag, run);
        self.announce(&mut state, tag, version, run);
        drop(state);
        let before = RunBefore::new(host, local.is_some(), known);
        if let Some(local) = local {
            local.handle.end(host);
        }
        (registration, before)
    }

    /// Ends the run of the stream `tag` that is known here, for the attempt `id`, which begins anew.
    pub(crate) fn leave(&self, tag: StreamTag, id: &RequestId) -> (StreamRun, RunBefore) {
        let host = self.shared.host;
        let mut state = self.state();
        let known = state.table.holder(tag);
        let latest = known.map(|known| known.run);
        let run = StreamRun::following(latest, id, steady_unix_millis());
        let local = state.runs.remove(&tag);
        drop(state);
        let before = RunBefore::new(host, local.is_some(), known);
        if let Some(local) = local {
            local.handle.end(host);
        }
        (run, before)
    }

    /// Tells `host`, which had the run before, of the run `run` here until it confirms that, a few times.
    pub(crate) async fn displace(
        &self,
        tag: StreamTag,
        run: StreamRun,
        host: HostTag,
    ) -> TakeUpOutcome {
        let (sender, mut confirmed) = oneshot::channel();
        self.state().unconfirmed.insert(run, sender);
        let own = self.shared.host;
        let notice = TakeUpNotice::new(tag, StreamHolder { host: own, run });
        for wait in CONFIRM_WAITS {
            self.state().take_ups.push((host, notice));
            self.shared.has_messages.notify_one();
            if let Ok(Ok(has_ended)) = timeout(wait, &mut confirmed).await {
                return match has_ended {
                    true => TakeUpOutcome::Ended,
                    false => TakeUpOutcome::Gone,
                };
            }
        }
        self.state().unconfirmed.remove(&run);
        TakeUpOutcome::Unanswered
    }

    /// Applies what another host tells of streams.
    pub fn apply(&self, notice: &OriginNotice) {
        let own = self.shared.host;
        for StreamOrigin(tag, version) in &notice.origins {
            let holder = notice.holder(*tag);
            let ended = {
                let mut state = self.state();
                let now = Instant::now();
                let succession = state.table.record(*tag, version.clone(), holder, now);
                holder.and_then(|holder| state.apply_succession(own, *tag, holder, succession))
            };
            self.finish_news(holder, ended);
        }
    }

    /// Applies that a stream was taken up. Returns the confirmation to the host of the later run; `None` if
    /// that run is not later than the one here.
    pub fn apply_take_up(&self, notice: &TakeUpNotice) -> Option<TakeUpReply> {
        let (tag, holder) = (notice.tag, notice.holder());
        let (ended, reply) = {
            let mut state = self.state();
            let succession = state.table.note_holder(tag, holder);
            let ended = state.apply_succession(self.shared.host, tag, holder, succession);
            let reply = TakeUpReply {
                run: holder.run,
                has_ended: ended.is_some() || state.table.has_ended_for(tag, holder.run),
            };
            let is_here = state.runs.contains_key(&tag);
            (ended, (!is_here).then_some(reply))
        };
        self.finish_news(Some(holder), ended);
        reply
    }

    fn finish_news(&self, holder: Option<StreamHolder>, ended: Option<RunHandle>) {
        if let (Some(holder), Some(ended)) = (holder, ended) {
            ended.end(holder.host);
        }
        if !self.state().take_ups.is_empty() {
            self.shared.has_messages.notify_one();
        }
    }

    /// Applies the confirmation of a take-up here.
    pub fn apply_take_up_reply(&self, reply: &TakeUpReply) {
        let sender = self.state().unconfirmed.remove(&reply.run);
        if let Some(sender) = sender {
            let _ = sender.send(reply.has_ended);
        }
    }

    /// Takes the later runs that other hosts have to be told of.
    pub fn take_take_ups(&self) -> Vec<(HostTag, TakeUpNotice)> {
        std::mem::take(&mut self.state().take_ups)
    }

    /// The version of a stream that this host knows.
    pub fn find(&self, tag: StreamTag) -> Option<SoftwareVersion> {
        self.state().table.find(tag)
    }

    /// Finds the version at which a stream of `service` began, that lasts `age` at most: from this host or
    /// the stream's registrars, or as the only one that can have begun it, if registrars see the same
    /// versions serve as this host.
    pub(crate) async fn resolve(
        &self,
        tag: StreamTag,
        service: &ServiceName,
        age: Duration,
    ) -> Option<SoftwareVersion> {
        if let Some(version) = self.find(tag) {
            return Some(version);
        }
        let query = self.query(tag).await;
        if let Some(version) = query.version {
            let mut state = self.state();
            let now = Instant::now();
            state.table.record(tag, version.clone(), query.holder, now);
            return Some(version);
        }
        match query.confirms_view() {
            true => self.sole_version(service, age),
            false => None,
        }
    }

    /// The only version that can have begun a stream of `service` within the last `age`, as this host
    /// sees it.
    fn sole_version(&self, service: &ServiceName, age: Duration) -> Option<SoftwareVersion> {
        let state = self.state();
        if !state.is_history_loaded || state.is_outdated {
            return None;
        }
        state.history.sole_version(service, age, Instant::now())
    }

    /// Asks the registrars of a stream, and returns what they replied in time.
    async fn query(&self, tag: StreamTag) -> QueryState {
        let mut replies = {
            let mut state = self.state();
            state.queries.push(tag);
            let sender = state
                .waiting
                .entry(tag)
                .or_insert_with(|| watch::Sender::new(QueryState::default()));
            sender.subscribe()
        };
        self.shared.has_messages.notify_one();
        let began = Instant::now();
        for until in [began + REPEAT_DELAY, began + REPLY_TIMEOUT] {
            let settled = replies.wait_for(QueryState::is_settled);
            if timeout_at(until, settled).await.is_ok() {
                break;
            }
            self.state().queries.push(tag);
            self.shared.has_messages.notify_one();
        }
        let query = replies.borrow().clone();
        drop(replies);
        let mut state = self.state();
        if state
            .waiting
            .get(&tag)
            .is_some_and(|sender| sender.receiver_count() == 0)
        {
            state.waiting.remove(&tag);
        }
        query
    }

    /// Waits until there are messages to send.
    pub(crate) async fn messages_added(&self) {
        self.shared.has_messages.notified().await;
    }

    /// Takes what registrars of streams have to be told; each notice is about one stream.
    pub fn take_notices(&self) -> Vec<OriginNotice> {
        std::mem::take(&mut self.state().outbox)
    }

    /// Takes the streams that registrars have to be asked about.
    pub fn take_queries(&self) -> Vec<StreamTag> {
        std::mem::take(&mut self.state().queries)
    }

    /// Records that `count` registrars were asked about a stream.
    pub fn note_asked(&self, tag: StreamTag, count: usize) {
        if let Some(sender) = self.state().waiting.get(&tag) {
            sender.send_modify(|query| query.asked = Some(count));
        }
    }

    /// Reply of this host, `host`, as a registrar of a stream.
    pub fn reply(&self, tag: StreamTag, host: &str) -> OriginReply {
        let state = self.state();
        let holder = state.table.holder(tag);
        OriginReply {
            tag,
            host: host.to_owned(),
            version: state.table.find(tag),
            serving: Some(state.history.serving_digest()),
            holder: holder.map(|holder| holder.host),
            run: holder.map(|holder| holder.run),
        }
    }

    /// Applies the reply of a registrar.
    pub fn apply_reply(&self, reply: &OriginReply) {
        let state = self.state();
        let Some(sender) = state.waiting.get(&reply.tag) else {
            return;
        };
        let serving = state.history.serving_digest();
        sender.send_modify(|query| match &reply.version {
            Some(version) => {
                query.version = Some(version.clone());
                let later = reply.holder().filter(|holder| {
                    let known = query.holder;
                    known.is_none_or(|known| known.run < holder.run)
                });
                query.holder = later.or(query.holder);
            }
            None => {
                query.unknown.insert(reply.host.clone());
                query.is_contradicted |= reply.serving.is_some_and(|other| other != serving);
            }
        });
    }

    /// Takes over the versions that serve now, which `serving` computes if `revision` is not that of the
    /// last call.
    pub fn update_history(
        &self,
        revision: u64,
        serving: impl FnOnce() -> Vec<(ServiceName, SoftwareVersion)>,
    ) {
        let mut state = self.state();
        if state.serving_revision != Some(revision) {
            state.serving_revision = Some(revision);
            state.has_unsaved |= state.history.update(&serving(), Instant::now());
        }
    }

    /// Whether the history has changed since the last call.
    pub(crate) fn take_unsaved(&self) -> bool {
        std::mem::take(&mut self.state().has_unsaved)
    }

    /// Has [`Self::take_unsaved`] tell of the present history again, as it could not be stored.
    pub(crate) fn set_unsaved(&self) {
        self.state().has_unsaved = true;
    }

    /// Records whether this host follows the entries of upstreams.
    pub fn set_current(&self, is_current: bool) {
        self.state().is_outdated = !is_current;
    }

    /// Adds what the key-value service has of the versions that served.
    pub fn load_history(&self, stored: &VersionHistory) {
        let mut state = self.state();
        state.history.add_stored(stored, Instant::now());
        state.is_history_loaded = true;
        state.serving_revision = None;
    }

    /// The versions of each service that served lately, as this host has seen it.
    pub(crate) fn seen_versions(&self) -> SeenVersions {
        self.state().history.clone()
    }
}
