//! In-memory stand-in of the key-value service, with leases, watches and injected faults.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use hyper::body::Incoming;
use parsleywall::edges::kv::Expect;
use parsleywall::edges::kv::KvChange;
use parsleywall::edges::kv::KvChanges;
use parsleywall::edges::kv::KvCommit;
use parsleywall::edges::kv::KvEntry;
use parsleywall::edges::kv::KvError;
use parsleywall::edges::kv::KvPage;
use parsleywall::edges::kv::KvStore;
use parsleywall::edges::kv::KvVersion;
use parsleywall::edges::kv::LeaseAnswer;
use parsleywall::edges::kv::LeaseBody;
use parsleywall::edges::kv::LeaseId;
use parsleywall::edges::kv::MAX_VALUE_BYTES;
use parsleywall::edges::kv::PutAnswer;
use parsleywall::edges::kv::PutBody;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::server::StandinReply;
use crate::server::StandinServer;
use crate::server::json_reply;
use crate::server::query_value;
use crate::server::read_body;

/// Most changes kept for watches; a watch from before the oldest of them is answered as compacted.
const MAX_LOG: usize = 10_000;

/// Most conditions, writes and deletions of one commit.
const MAX_COMMIT_ENTRIES: usize = 32;

/// Faults that tests inject.
#[derive(Debug, Default)]
pub struct KvFaults {
    /// While set, every call fails as unavailable and has no effect.
    pub down: AtomicBool,
    /// Delay before every call in milliseconds.
    pub delay_ms: AtomicU64,
    /// Number of coming writes whose response is lost after they took effect.
    pub lose_answers: AtomicU64,
    /// Answers that servers of the store give late.
    pub late_answers: Mutex<Option<LateAnswers>>,
    /// Age in milliseconds of what stale listings show; changes from before it was set are shown at once.
    pub stale_ms: AtomicU64,
}

impl KvFaults {
    /// Draws how much later than its effect a call about `keys` is answered.
    pub(crate) fn answer_delay(&self, keys: &[String]) -> Duration {
        let mut late = self.late_answers.lock().expect("late answers lock");
        late.as_mut().map_or(Duration::ZERO, |late| late.draw(keys))
    }
}

/// Calls that take effect at once and are answered late, each after a time of its own, so that answers
/// come in another order than their calls.
#[derive(Debug)]
pub struct LateAnswers {
    part: &'static str,
    most: Duration,
    random: StdRng,
}

impl LateAnswers {
    /// Answers calls about keys with `part` in their names, or all calls if it is empty, up to `most`
    /// late. The delays follow from `seed`.
    pub fn new(part: &'static str, most: Duration, seed: u64) -> Self {
        Self {
            part,
            most,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Draws how much later than its effect a call about `keys` is answered.
    pub fn draw(&mut self, keys: &[String]) -> Duration {
        if !self.part.is_empty() && !keys.iter().any(|key| key.contains(self.part)) {
            return Duration::ZERO;
        }
        let most_ms = self.most.as_millis() as u64;
        Duration::from_millis(self.random.random_range(0..=most_ms))
    }
}

/// Number of calls that reached the store, failed ones included.
#[derive(Debug, Default)]
pub struct KvCalls {
    /// Number of reads, lists and watches.
    pub reads: AtomicU64,
    /// Number of writes, deletes, commits and lease calls.
    pub writes: AtomicU64,
}

#[derive(Debug)]
struct StoredValue {
    value: Bytes,
    version: KvVersion,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct StoredLease {
    ttl: Duration,
    until: Instant,
}

/// What a change has replaced.
#[derive(Debug)]
struct PastValue {
    changed: Instant,
    key: String,
    /// Value and version before the change; `None` if the key did not exist.
    before: Option<(Bytes, KvVersion)>,
    /// Revision of the store before the change.
    revision: u64,
}

#[derive(Debug, Default)]
struct KvState {
    revision: u64,
    values: BTreeMap<String, StoredValue>,
    leases: BTreeMap<u64, StoredLease>,
    log: Vec<(KvVersion, KvChange)>,
    compacted: u64,
    /// What changes of the last `past_age` have replaced, the oldest first.
    past: VecDeque<PastValue>,
    past_age: Duration,
}

/// In-memory key-value store with the semantics of the key-value service.
#[derive(Debug, Default)]
pub struct KvMemory {
    /// Faults that tests inject.
    pub faults: KvFaults,
    /// Number of calls by type.
    pub calls: KvCalls,
    state: Mutex<KvState>,
    changed: Notify,
}

impl KvMemory {
    /// Returns an empty store.
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Returns the value of `key`, unaffected by injected faults and not counted as a call.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        self.with_state(|state| state.values.get(key).map(|stored| stored.value.clone()))
    }

    /// Returns all keys with `prefix`, as [`KvMemory::value`] does.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.with_state(|state| {
            let keys = state.values.range(prefix.to_owned()..);
            let keys = keys.map(|(key, _)| key.clone());
            keys.take_while(|key| key.starts_with(prefix)).collect()
        })
    }

    /// Compacts all changes so far: watches from an earlier revision are answered as compacted.
    pub fn forget_history(&self) {
        let mut state = self.state.lock().expect("store lock");
        state.log.clear();
        state.compacted = state.revision;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Total size of all keys and values in bytes.
    pub fn stored_bytes(&self) -> u64 {
        let state = self.state.lock().expect("store lock");
        let values = state.values.iter();
        values
            .map(|(key, stored)| (key.len() + stored.value.len()) as u64)
            .sum()
    }

    async fn begin_call(&self, calls: &AtomicU64) -> Result<(), KvError> {
        calls.fetch_add(1, Ordering::Relaxed);
        let delay = self.faults.delay_ms.load(Ordering::Relaxed);
        if delay > 0 {
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        match self.faults.down.load(Ordering::Relaxed) {
            true => Err(KvError::Unavailable("down".to_owned())),
            false => Ok(()),
        }
    }

    fn end_call<T>(&self, outcome: Result<T, KvError>) -> Result<T, KvError> {
        let lost =
            self.faults
                .lose_answers
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                    left.checked_sub(1)
                });
        match lost {
            Ok(_) => Err(KvError::Unknown("answer lost".to_owned())),
            Err(_) => outcome,
        }
    }

    fn with_state<T>(&self, act: impl FnOnce(&mut KvState) -> T) -> T {
        let mut state = self.state.lock().expect("store lock");
        let stale_ms = self.faults.stale_ms.load(Ordering::Relaxed);
        state.past_age = Duration::from_millis(stale_ms);
        let before = state.revision;
        state.expire_leases();
        let outcome = act(&mut state);
        if state.revision != before {
            self.changed.notify_waiters();
        }
        outcome
    }
}

impl KvState {
    /// Remembers the value of `key`, which is about to change, for stale listings.
    fn remember(&mut self, key: &str) {
        let now = Instant::now();
        let is_over = |past: &PastValue| past.changed + self.past_age <= now;
        while self.past.front().is_some_and(is_over) {
            self.past.pop_front();
        }
        if self.past_age.is_zero() {
            return;
        }
        let before = self.values.get(key);
        self.past.push_back(PastValue {
            changed: now,
            key: key.to_owned(),
            before: before.map(|stored| (stored.value.clone(), stored.version)),
            revision: self.revision.saturating_sub(1),
        });
    }

    /// The entries with `prefix` as of `past_age` ago, and the revision at that time.
    fn stale_entries(&self, prefix: &str) -> (Vec<KvEntry>, KvVersion) {
        let values = self.values.range(prefix.to_owned()..);
        let values = values.take_while(|(key, _)| key.starts_with(prefix));
        let values = values.map(|(key, stored)| (key.as_str(), (&stored.value, stored.version)));
        let mut values: BTreeMap<&str, (&Bytes, KvVersion)> = values.collect();
        let mut revision = self.revision;
        let now = Instant::now();
        let recent = self.past.iter().rev();
        for past in recent.take_while(|past| past.changed + self.past_age > now) {
            revision = past.revision;
            match &past.before {
                _ if !past.key.starts_with(prefix) => {}
                Some((value, version)) => {
                    values.insert(&past.key, (value, *version));
                }
                None => {
                    values.remove(past.key.as_str());
                }
            }
        }
        let entries = values.into_iter().map(|(key, (value, version))| KvEntry {
            key: key.to_owned(),
            value: value.clone(),
            version,
        });
        (entries.collect(), KvVersion(revision))
    }

    fn record(&mut self, change: KvChange) {
        self.log.push((KvVersion(self.revision), change));
        if self.log.len() > MAX_LOG {
            let (version, _) = self.log.remove(0);
            self.compacted = version.0;
        }
    }

    fn check(&self, key: &str, expect: Expect) -> Result<(), KvError> {
        let current = self.values.get(key).map(|stored| stored.version);
        let is_met = match expect {
            Expect::Any => true,
            Expect::Absent => current.is_none(),
            Expect::Version(version) => current == Some(version),
        };
        match is_met {
            true => Ok(()),
            false => Err(KvError::Conflict { current }),
        }
    }

    fn check_lease(&self, lease: Option<LeaseId>) -> Result<(), KvError> {
        match lease {
            Some(lease) if !self.leases.contains_key(&lease.0) => Err(KvError::LeaseLost),
            _ => Ok(()),
        }
    }

    /// Stores a value under the current revision.
    fn write(&mut self, key: String, value: Bytes, lease: Option<LeaseId>) {
        let version = KvVersion(self.revision);
        self.record(KvChange::Put(KvEntry {
            key: key.clone(),
            value: value.clone(),
            version,
        }));
        let stored = StoredValue {
            value,
            version,
            lease,
        };
        self.remember(&key);
        self.values.insert(key, stored);
    }

    fn commit(&mut self, commit: KvCommit) -> Result<KvVersion, KvError> {
        for (key, version) in &commit.expect {
            self.check(key, version.map_or(Expect::Absent, Expect::Version))?;
        }
        for put in &commit.puts {
            self.check_lease(put.lease)?;
        }
        self.revision += 1;
        for put in commit.puts {
            self.write(put.key, put.value, put.lease);
        }
        for key in commit.deletes {
            self.remove(&key);
        }
        Ok(KvVersion(self.revision))
    }

    fn remove(&mut self, key: &str) {
        if self.values.contains_key(key) {
            self.revision += 1;
            self.remember(key);
            self.values.remove(key);
            self.record(KvChange::Deleted {
                key: key.to_owned(),
                version: KvVersion(self.revision),
            });
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.end_lease(LeaseId(id));
        }
    }

    fn end_lease(&mut self, lease: LeaseId) {
        self.leases.remove(&lease.0);
        let keys: Vec<String> = self
            .values
            .iter()
            .filter(|(_, stored)| stored.lease == Some(lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.until).min()
    }

    fn changes(&self, prefix: &str, after: KvVersion) -> KvChanges {
        let has_prefix = |change: &KvChange| match change {
            KvChange::Put(entry) => entry.key.starts_with(prefix),
            KvChange::Deleted { key, .. } => key.starts_with(prefix),
        };
        let changes = self
            .log
            .iter()
            .filter(|(version, change)| *version > after && has_prefix(change))
            .map(|(_, change)| change.clone());
        KvChanges {
            changes: changes.collect(),
            revision: KvVersion(self.revision),
            compacted: after.0 < self.compacted,
        }
    }
}

#[async_trait]
impl KvStore for KvMemory {
    async fn get(&self, key: &str) -> Result<Option<KvEntry>, KvError> {
        self.begin_call(&self.calls.reads).await?;
        self.with_state(|state| {
            Ok(state.values.get(key).map(|stored| KvEntry {
                key: key.to_owned(),
                value: stored.value.clone(),
                version: stored.version,
            }))
        })
    }

    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<KvPage, KvError> {
        self.begin_call(&self.calls.reads).await?;
        self.with_state(|state| {
            let mut found = state
                .values
                .range(prefix.to_owned()..)
                .take_while(|(key, _)| key.starts_with(prefix))
                .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
            let entries: Vec<KvEntry> = found
                .by_ref()
                .take(limit)
                .map(|(key, stored)| KvEntry {
                    key: key.clone(),
                    value: stored.value.clone(),
                    version: stored.version,
                })
                .collect();
            Ok(KvPage {
                more: found.next().is_some(),
                entries,
                revision: KvVersion(state.revision),
            })
        })
    }

    async fn list_stale(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<KvPage, KvError> {
        if self.faults.stale_ms.load(Ordering::Relaxed) == 0 {
            return self.list(prefix, after, limit).await;
        }
        self.begin_call(&self.calls.reads).await?;
        self.with_state(|state| {
            let (mut entries, revision) = state.stale_entries(prefix);
            entries.retain(|entry| after.is_none_or(|after| entry.key.as_str() > after));
            let more = entries.len() > limit;
            entries.truncate(limit);
            Ok(KvPage {
                more,
                entries,
                revision,
            })
        })
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<KvVersion, KvError> {
        self.begin_call(&self.calls.writes).await?;
        if value.len() > MAX_VALUE_BYTES {
            return Err(KvError::TooLarge);
        }
        let outcome = self.with_state(|state| {
            state.check(key, expect)?;
            state.check_lease(lease)?;
            state.revision += 1;
            state.write(key.to_owned(), value, lease);
            Ok(KvVersion(state.revision))
        });
        self.end_call(outcome)
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<(), KvError> {
        self.begin_call(&self.calls.writes).await?;
        let outcome = self.with_state(|state| {
            state.check(key, expect)?;
            state.remove(key);
            Ok(())
        });
        self.end_call(outcome)
    }

    async fn commit(&self, commit: KvCommit) -> Result<KvVersion, KvError> {
        self.begin_call(&self.calls.writes).await?;
        if commit
            .puts
            .iter()
            .any(|put| put.value.len() > MAX_VALUE_BYTES)
        {
            return Err(KvError::TooLarge);
        }
        if commit.expect.len() + commit.puts.len() + commit.deletes.len() > MAX_COMMIT_ENTRIES {
            return Err(KvError::Unknown("status 400: too many entries".to_owned()));
        }
        let outcome = self.with_state(|state| state.commit(commit));
        self.end_call(outcome)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: KvVersion,
        wait: Duration,
    ) -> Result<KvChanges, KvError> {
        self.begin_call(&self.calls.reads).await?;
        let deadline = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let (changes, expiry) =
                self.with_state(|state| (state.changes(prefix, after), state.next_expiry()));
            let over = Instant::now() >= deadline;
            if over || changes.compacted || !changes.changes.is_empty() {
                return Ok(changes);
            }
            let wake = expiry.map_or(deadline, |expiry| expiry.min(deadline));
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep_until(wake) => {}
            }
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvError> {
        self.begin_call(&self.calls.writes).await?;
        let lease = self.with_state(|state| {
            state.revision += 1;
            let until = Instant::now() + ttl;
            let lease = LeaseId(state.revision);
            state.leases.insert(lease.0, StoredLease { ttl, until });
            lease
        });
        self.end_call(Ok(lease))
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        self.begin_call(&self.calls.writes).await?;
        let outcome = self.with_state(|state| {
            let stored = state.leases.get_mut(&lease.0).ok_or(KvError::LeaseLost)?;
            stored.until = Instant::now() + stored.ttl;
            Ok(())
        });
        self.end_call(outcome)
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        self.begin_call(&self.calls.writes).await?;
        self.with_state(|state| state.end_lease(lease));
        self.end_call(Ok(()))
    }
}

/// Serves `store` over HTTP on a free loopback port.
pub async fn serve_kv(store: Arc<KvMemory>) -> std::io::Result<StandinServer> {
    StandinServer::start(move |request| {
        let store = store.clone();
        async move { answer(&store, request).await }
    })
    .await
}

async fn answer(store: &KvMemory, request: Request<Incoming>) -> Option<StandinReply> {
    let path = request.uri().path().to_owned();
    let number = |name| query_value(&request, name).and_then(|text| text.parse::<u64>().ok());
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/list") => {
            let prefix = query_value(&request, "prefix").unwrap_or_default();
            let after = query_value(&request, "after").filter(|key| !key.is_empty());
            let limit = number("limit").unwrap_or(100) as usize;
            reply(store.list(&prefix, after.as_deref(), limit).await)
        }
        (Method::GET, "/watch") => {
            let prefix = query_value(&request, "prefix").unwrap_or_default();
            let after = KvVersion(number("after").unwrap_or(0));
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
            reply(store.watch(&prefix, after, wait).await)
        }
        (Method::POST, "/commits") => {
            let commit: KvCommit = serde_json::from_slice(&read_body(request).await).ok()?;
            let written = store.commit(commit).await;
            reply(written.map(|version| PutAnswer {
                version: Some(version),
            }))
        }
        (Method::POST, "/leases") => {
            let body: LeaseBody = serde_json::from_slice(&read_body(request).await).ok()?;
            let granted = store.grant_lease(Duration::from_millis(body.ttl_ms)).await;
            reply(granted.map(|lease| LeaseAnswer { lease }))
        }
        (method, path) => match path.strip_prefix("/leases/") {
            Some(id) => {
                let lease = LeaseId(id.parse().ok()?);
                let outcome = match method {
                    Method::DELETE => store.revoke_lease(lease).await,
                    _ => store.renew_lease(lease).await,
                };
                reply(outcome.map(|()| PutAnswer::default()))
            }
            None => answer_key(store, path.strip_prefix("/kv/")?, request).await,
        },
    }
}

async fn answer_key(
    store: &KvMemory,
    key: &str,
    request: Request<Incoming>,
) -> Option<StandinReply> {
    match *request.method() {
        Method::GET => reply(store.get(key).await),
        Method::DELETE => {
            let expect = query_value(&request, "expect").and_then(|text| text.parse().ok());
            let expect = expect_from(expect.map(KvVersion));
            reply(
                store
                    .delete(key, expect)
                    .await
                    .map(|()| PutAnswer::default()),
            )
        }
        _ => {
            let body: PutBody = serde_json::from_slice(&read_body(request).await).ok()?;
            let expect = expect_from(body.expect);
            let written = store.put(key, body.value, expect, body.lease).await;
            reply(written.map(|version| PutAnswer {
                version: Some(version),
            }))
        }
    }
}

fn expect_from(version: Option<KvVersion>) -> Expect {
    match version {
        None => Expect::Any,
        Some(KvVersion(0)) => Expect::Absent,
        Some(version) => Expect::Version(version),
    }
}

fn reply<T: Serialize>(outcome: Result<T, KvError>) -> Option<StandinReply> {
    let empty = PutAnswer::default();
    match outcome {
        Ok(body) => Some(json_reply(StatusCode::OK, &body)),
        Err(KvError::Conflict { current }) => Some(json_reply(
            StatusCode::CONFLICT,
            &PutAnswer { version: current },
        )),
        Err(KvError::TooLarge) => Some(json_reply(StatusCode::PAYLOAD_TOO_LARGE, &empty)),
        Err(KvError::LeaseLost) => Some(json_reply(StatusCode::GONE, &empty)),
        Err(KvError::Unavailable(_)) => Some(json_reply(StatusCode::SERVICE_UNAVAILABLE, &empty)),
        Err(KvError::Unknown(_)) => None,
    }
}
