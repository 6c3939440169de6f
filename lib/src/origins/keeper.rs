//! Handle to what a host knows of the versions at which streams began, which its tasks share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::collections::HashMap;
use crate::collections::HashSet;
use crate::ids::ServiceName;
use crate::ids::SoftwareVersion;
use crate::origins::history::SeenVersions;
use crate::origins::history::VersionHistory;
use crate::origins::message::OriginReply;
use crate::origins::message::StreamOrigin;
use crate::origins::message::StreamTag;
use crate::origins::table::OriginTable;

/// Number of registrars of a stream.
pub(crate) const REGISTRARS: usize = 3;
/// Time within which registrars have to reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(90);
/// Time after which registrars are asked once more, as datagrams may be lost.
const REPEAT_DELAY: Duration = Duration::from_millis(30);

/// What the registrars of a stream have replied so far.
#[derive(Clone, Debug, Default)]
struct QueryState {
    /// Number of registrars that were asked; `None` before the query was sent.
    asked: Option<usize>,
    /// Registrars that don't know the stream.
    unknown: HashSet<String>,
    version: Option<SoftwareVersion>,
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
    /// Streams to tell their registrars of.
    outbox: Vec<StreamOrigin>,
    /// Streams to ask registrars about.
    queries: Vec<StreamTag>,
    waiting: HashMap<StreamTag, watch::Sender<QueryState>>,
}

/// Versions of streams, with queries to other hosts. Clones refer to the same state.
#[derive(Clone, Default)]
pub struct OriginKeeper {
    shared: Arc<KeeperShared>,
}

#[derive(Default)]
struct KeeperShared {
    state: Mutex<OriginState>,
    has_messages: Notify,
}

impl OriginKeeper {
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
        state.table.record(tag, version.clone(), Instant::now());
        state.outbox.push(StreamOrigin(tag, version.clone()));
        drop(state);
        self.shared.has_messages.notify_one();
    }

    /// Applies what another host tells of streams.
    pub fn apply(&self, origins: Vec<StreamOrigin>) {
        let mut state = self.state();
        for StreamOrigin(tag, version) in origins {
            state.table.record(tag, version, Instant::now());
        }
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
            self.state()
                .table
                .record(tag, version.clone(), Instant::now());
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

    /// Takes the streams that registrars have to be told of.
    pub fn take_origins(&self) -> Vec<StreamOrigin> {
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
        OriginReply {
            tag,
            host: host.to_owned(),
            version: state.table.find(tag),
            serving: Some(state.history.serving_digest()),
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
            Some(version) => query.version = Some(version.clone()),
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
