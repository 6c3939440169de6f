//! Client of the key-value service: compare-and-swap, leases and watches over HTTP with JSON.
//!
//! Calls: `GET /kv/{key}`, `PUT /kv/{key}`, `DELETE /kv/{key}`, `GET /list`, `GET /watch`,
//! `POST /commits`, `POST /leases`, `POST /leases/{id}` and `DELETE /leases/{id}`. Values are
//! encoded as base64.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::Method;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use url::Url;

use crate::edges::kv_calls::CallMeter;
use crate::http::service_connections::CallError;
use crate::http::service_connections::CallKind;
use crate::http::service_connections::ConnectionBounds;
use crate::http::service_connections::ServiceCall;
use crate::http::service_connections::ServiceConnections;

/// Largest value that the service accepts.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
const CONNECTION_BOUNDS: ConnectionBounds = ConnectionBounds {
    max_idle: 16,
    connect_timeout: Duration::from_secs(1),
    body_timeout: CALL_TIMEOUT,
    idle_time: Duration::from_secs(20),
};

/// Version of a key: the revision of the store at the key's last write. Never zero for a key that
/// exists.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct KvVersion(pub u64);

/// Identifier of a lease, assigned by the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// Condition on the current state of a key under which a write or deletion takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// The key must not exist.
    Absent,
    /// The key must have this version.
    Version(KvVersion),
    /// Unconditional; only safe for keys that are written once or have a single writer.
    Any,
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvEntry {
    /// Full name of the key.
    pub key: String,
    /// Value of the key, at most [`MAX_VALUE_BYTES`] long.
    #[serde(with = "base64_bytes")]
    pub value: Bytes,
    /// Version of the key when it was read.
    pub version: KvVersion,
}

/// A page of keys in key order.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KvPage {
    /// The entries of this page.
    pub entries: Vec<KvEntry>,
    /// Whether more keys with the prefix follow after the last entry.
    pub more: bool,
    /// Revision of the store at which the page was read.
    pub revision: KvVersion,
}

/// A change that a watch reports.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KvChange {
    /// The key was written.
    Put(KvEntry),
    /// The key was deleted or its lease lapsed.
    Deleted {
        /// Full name of the key.
        key: String,
        /// Revision of the deletion; 0 if the service doesn't name it.
        #[serde(default)]
        version: KvVersion,
    },
}

impl KvChange {
    /// Revision of the change; 0 for a deletion whose revision the service doesn't name.
    pub fn version(&self) -> KvVersion {
        match self {
            Self::Put(entry) => entry.version,
            Self::Deleted { version, .. } => *version,
        }
    }
}

/// Changes after a revision. Of several changes to one key, only the last may be reported.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KvChanges {
    /// Changes in the order of their revisions; empty when the wait ended first.
    pub changes: Vec<KvChange>,
    /// Revision after which the next watch continues.
    pub revision: KvVersion,
    /// Whether the service no longer has all changes before `revision` (log compaction), so that
    /// the prefix must be listed again.
    #[serde(default)]
    pub compacted: bool,
}

/// Why a call to the key-value service failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvError {
    /// The condition of the write did not hold; nothing was written.
    Conflict {
        /// Current version of the key; `None` if it does not exist.
        current: Option<KvVersion>,
    },
    /// The value is larger than [`MAX_VALUE_BYTES`]; nothing was written.
    TooLarge,
    /// The lease has lapsed or was revoked; nothing was written.
    LeaseLost,
    /// The call did not reach the service or was refused, so it had no effect; holds the cause.
    Unavailable(String),
    /// The outcome is unknown: a write may have taken effect or may still do so. Holds the cause.
    Unknown(String),
}

impl std::fmt::Display for KvError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Conflict {
                current: Some(version),
            } => {
                write!(f, "the key has version {}", version.0)
            }
            Self::Conflict { current: None } => f.write_str("the key does not exist"),
            Self::TooLarge => f.write_str("the value is too large"),
            Self::LeaseLost => f.write_str("the lease has lapsed"),
            Self::Unavailable(cause) => write!(f, "key-value service unavailable: {cause}"),
            Self::Unknown(cause) => write!(f, "outcome of the call unknown: {cause}"),
        }
    }
}

/// One write of a [`KvCommit`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvPut {
    /// Full name of the key.
    pub key: String,
    /// Value of the key, at most [`MAX_VALUE_BYTES`] long.
    #[serde(with = "base64_bytes")]
    pub value: Bytes,
    /// Lease with which the key is deleted; `None` for a key without one.
    pub lease: Option<LeaseId>,
}

/// A transaction: its writes and deletions take effect atomically, or not at all if a condition
/// fails.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvCommit {
    /// Conditions: each key must have the given version, or must not exist if that is `None`.
    pub expect: Vec<(String, Option<KvVersion>)>,
    /// Keys to write.
    pub puts: Vec<KvPut>,
    /// Keys to delete; absent keys are ignored.
    pub deletes: Vec<String>,
}

/// Calls to the key-value service.
#[async_trait]
pub trait KvStore: Send + Sync + 'static {
    /// Reads one key, or `None` if it does not exist. The read is linearizable.
    async fn get(&self, key: &str) -> Result<Option<KvEntry>, KvError>;

    /// Lists at most `limit` keys with `prefix` in key order, from the first one after the key
    /// `after`.
    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<KvPage, KvError>;

    /// Writes one key if `expect` holds and returns its new version. With a `lease`, the key is
    /// deleted when the lease lapses.
    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<KvVersion, KvError>;

    /// Deletes one key if `expect` holds; deleting an absent key with [`Expect::Any`] succeeds.
    async fn delete(&self, key: &str, expect: Expect) -> Result<(), KvError>;

    /// Lists like [`Self::list`], but at lower cost and possibly seconds out of date.
    async fn list_stale(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<KvPage, KvError> {
        self.list(prefix, after, limit).await
    }

    /// Applies all of `commit` atomically, or nothing of it. Returns the version of the keys that
    /// it wrote.
    async fn commit(&self, commit: KvCommit) -> Result<KvVersion, KvError>;

    /// Waits up to `wait` for changes to keys with `prefix` after revision `after`. Returns no
    /// changes if there were none in that time.
    async fn watch(
        &self,
        prefix: &str,
        after: KvVersion,
        wait: Duration,
    ) -> Result<KvChanges, KvError>;

    /// Returns the changes to keys with `prefix` after revision `after`, without waiting. The answer
    /// shows every write that was acknowledged before the call.
    async fn changes_since(&self, prefix: &str, after: KvVersion) -> Result<KvChanges, KvError> {
        self.watch(prefix, after, Duration::ZERO).await
    }

    /// Creates a lease that lapses `ttl` after its creation or last renewal.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvError>;

    /// Extends a lease by its time to live. Fails with [`KvError::LeaseLost`] if it has lapsed.
    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KvError>;

    /// Revokes a lease and deletes the keys attached to it.
    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KvError>;

    /// Meter of the calls that are made for a purpose; `None` if they are not counted.
    fn meter(&self) -> Option<Arc<CallMeter>> {
        None
    }
}

/// Request body of a write to one key.
#[derive(Debug, Serialize, Deserialize)]
pub struct PutBody {
    /// Value of the key, at most [`MAX_VALUE_BYTES`] long.
    #[serde(with = "base64_bytes")]
    pub value: Bytes,
    /// Version that the key must have; zero: it must not exist; `None`: any state.
    pub expect: Option<KvVersion>,
    /// Lease with which the key is deleted; `None` for a key without one.
    pub lease: Option<LeaseId>,
}

/// Response body of a write, deletion, commit, renewal or revocation.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct PutAnswer {
    /// Version of the key after the call, or on a conflict its current version; `None` if the key
    /// does not exist or the call concerns a lease.
    pub version: Option<KvVersion>,
}

/// Request body that creates a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseBody {
    /// Time to live in milliseconds.
    pub ttl_ms: u64,
}

/// Response body for a new lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// Identifier of the new lease.
    pub lease: LeaseId,
}

/// How up to date a listing must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The listing shows every write that was acknowledged before the call.
    Current,
    /// The listing may be seconds out of date and costs less.
    Stale,
}

/// Number of keys that [`list_all`] requests per page.
const LIST_PAGE_KEYS: usize = 500;

/// Lists all keys with `prefix`, page by page. Returns them with the revision of the oldest page, after
/// which a watch misses no change; other pages may already show changes after it. Pages of up-to-date
/// listings get newer from the first on, but those of stale ones may come from replicas of any age.
pub async fn list_all(
    kv: &dyn KvStore,
    prefix: &str,
    freshness: Freshness,
) -> Result<(Vec<KvEntry>, KvVersion), KvError> {
    let listing = list_pages(kv, prefix, freshness).await?;
    Ok((listing.entries, listing.revision))
}

/// All keys with a prefix, as read page by page.
#[derive(Clone, Debug)]
pub(crate) struct KvListing {
    pub(crate) entries: Vec<KvEntry>,
    /// Oldest revision of its pages.
    pub(crate) revision: KvVersion,
    /// Number of pages. Several are no snapshot: keys may have changed between two of them.
    pub(crate) pages: usize,
}

/// Lists as [`list_all`] does, and also returns the number of pages.
pub(crate) async fn list_pages(
    kv: &dyn KvStore,
    prefix: &str,
    freshness: Freshness,
) -> Result<KvListing, KvError> {
    let mut entries: Vec<KvEntry> = Vec::new();
    let mut revision: Option<KvVersion> = None;
    let mut pages = 0;
    loop {
        let after = entries.last().map(|entry| entry.key.clone());
        let page = match freshness {
            Freshness::Current => kv.list(prefix, after.as_deref(), LIST_PAGE_KEYS).await?,
            Freshness::Stale => {
                kv.list_stale(prefix, after.as_deref(), LIST_PAGE_KEYS)
                    .await?
            }
        };
        revision = Some(revision.map_or(page.revision, |oldest| oldest.min(page.revision)));
        pages += 1;
        let is_last = !page.more || page.entries.is_empty();
        entries.extend(page.entries);
        if is_last {
            return Ok(KvListing {
                entries,
                revision: revision.unwrap_or_default(),
                pages,
            });
        }
    }
}

/// Waits up to `wait` for changes to keys with `prefix` after revision `after`, and asks for them beside
/// the watch at each `check_interval`, as a watch whose connection is dead brings none.
pub async fn watch_checked(
    kv: &dyn KvStore,
    prefix: &str,
    after: KvVersion,
    wait: Duration,
    check_interval: Duration,
) -> Result<KvChanges, KvError> {
    let check = async {
        loop {
            tokio::time::sleep(check_interval).await;
            let changes = kv.changes_since(prefix, after).await?;
            if changes.compacted || !changes.changes.is_empty() {
                return Ok(changes);
            }
        }
    };
    tokio::select! {
        changes = kv.watch(prefix, after, wait) => changes,
        changes = check => changes,
    }
}

/// Client of the key-value service over HTTP.
pub struct HttpKv {
    services: Vec<(Url, ServiceConnections)>,
}

impl HttpKv {
    /// Returns a client that sends each call to the first of `urls` that it can connect to, and reads to
    /// the first that answers.
    pub fn new(urls: Vec<Url>) -> Self {
        let with_connections = |url| (url, ServiceConnections::new(CONNECTION_BOUNDS));
        Self {
            services: urls.into_iter().map(with_connections).collect(),
        }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        kind: CallKind,
        method: Method,
        path: &str,
        query: &[(&str, String)],
        body: Bytes,
        timeout: Duration,
    ) -> Result<T, KvError> {
        let mut last = KvError::Unavailable("no address is configured".to_owned());
        for (base, connections) in &self.services {
            let call = ServiceCall {
                kind,
                method: method.clone(),
                url: call_url(base, path, query).into(),
                body: body.clone(),
                timeout,
            };
            last = match connections.call(&call).await {
                Ok(answer) => return decode_response(answer.status, &answer.body),
                Err(err @ (CallError::NotSent(_) | CallError::Discarded)) => {
                    KvError::Unavailable(err.to_string())
                }
                Err(err) if kind == CallKind::Repeatable => KvError::Unknown(err.to_string()),
                Err(err) => return Err(KvError::Unknown(err.to_string())),
            };
        }
        Err(last)
    }

    async fn read<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, String)],
    ) -> Result<T, KvError> {
        self.call(
            CallKind::Repeatable,
            Method::GET,
            path,
            query,
            Bytes::new(),
            CALL_TIMEOUT,
        )
        .await
    }

    async fn write<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        query: &[(&str, String)],
        body: Bytes,
    ) -> Result<T, KvError> {
        self.call(CallKind::Once, method, path, query, body, CALL_TIMEOUT)
            .await
    }

    async fn lease_call(&self, method: Method, lease: LeaseId) -> Result<(), KvError> {
        let path = format!("/leases/{}", lease.0);
        let _: PutAnswer = self
            .call(
                CallKind::Repeatable,
                method,
                &path,
                &[],
                Bytes::new(),
                CALL_TIMEOUT,
            )
            .await?;
        Ok(())
    }
}

fn call_url(base: &Url, path: &str, query: &[(&str, String)]) -> Url {
    let mut url = base.clone();
    url.set_path(path);
    if !query.is_empty() {
        url.query_pairs_mut().extend_pairs(query);
    }
    url
}

fn watch_query(prefix: &str, after: KvVersion, wait: Duration) -> [(&'static str, String); 3] {
    [
        ("prefix", prefix.to_owned()),
        ("after", after.0.to_string()),
        ("wait_ms", wait.as_millis().to_string()),
    ]
}

fn decode_response<T: DeserializeOwned>(status: StatusCode, answer: &[u8]) -> Result<T, KvError> {
    match status {
        StatusCode::OK => serde_json::from_slice(answer)
            .map_err(|err| KvError::Unknown(format!("malformed answer: {err}"))),
        StatusCode::CONFLICT => {
            let answer: PutAnswer = serde_json::from_slice(answer).unwrap_or_default();
            Err(KvError::Conflict {
                current: answer.version,
            })
        }
        StatusCode::PAYLOAD_TOO_LARGE => Err(KvError::TooLarge),
        StatusCode::GONE => Err(KvError::LeaseLost),
        StatusCode::SERVICE_UNAVAILABLE => Err(KvError::Unavailable("status 503".to_owned())),
        status => Err(KvError::Unknown(format!("status {status}"))),
    }
}

fn to_json(body: &impl Serialize) -> Bytes {
    Bytes::from(serde_json::to_vec(body).expect("message types serialize to JSON"))
}

fn expected_version(expect: Expect) -> Option<KvVersion> {
    match expect {
        Expect::Absent => Some(KvVersion(0)),
        Expect::Version(version) => Some(version),
        Expect::Any => None,
    }
}

#[async_trait]
impl KvStore for HttpKv {
    async fn get(&self, key: &str) -> Result<Option<KvEntry>, KvError> {
        let path = format!("/kv/{key}");
        self.read(&path, &[]).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<KvPage, KvError> {
        let query = [
            ("prefix", prefix.to_owned()),
            ("after", after.unwrap_or_default().to_owned()),
            ("limit", limit.to_string()),
        ];
        self.read("/list", &query).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<KvVersion, KvError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(KvError::TooLarge);
        }
        let body = to_json(&PutBody {
            value,
            expect: expected_version(expect),
            lease,
        });
        let path = format!("/kv/{key}");
        let answer: PutAnswer = self.write(Method::PUT, &path, &[], body).await?;
        answer
            .version
            .ok_or_else(|| KvError::Unknown("the answer names no version".to_owned()))
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<(), KvError> {
        let path = format!("/kv/{key}");
        let mut query = Vec::new();
        if let Some(version) = expected_version(expect) {
            query.push(("expect", version.0.to_string()));
        }
        let _: PutAnswer = self
            .write(Method::DELETE, &path, &query, Bytes::new())
            .await?;
        Ok(())
    }

    async fn commit(&self, commit: KvCommit) -> Result<KvVersion, KvError> {
        if commit
            .puts
            .iter()
            .any(|put| put.value.len() > MAX_VALUE_BYTES)
        {
            return Err(KvError::TooLarge);
        }
        let body = to_json(&commit);
        let answer: PutAnswer = self.write(Method::POST, "/commits", &[], body).await?;
        answer
            .version
            .ok_or_else(|| KvError::Unknown("the answer names no version".to_owned()))
    }

    async fn watch(
        &self,
        prefix: &str,
        after: KvVersion,
        wait: Duration,
    ) -> Result<KvChanges, KvError> {
        let query = watch_query(prefix, after, wait);
        let timeout = wait + WATCH_TIMEOUT_MARGIN;
        self.call(
            CallKind::Waiting,
            Method::GET,
            "/watch",
            &query,
            Bytes::new(),
            timeout,
        )
        .await
    }

    async fn changes_since(&self, prefix: &str, after: KvVersion) -> Result<KvChanges, KvError> {
        self.read("/watch", &watch_query(prefix, after, Duration::ZERO))
            .await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvError> {
        let body = to_json(&LeaseBody {
            ttl_ms: ttl.as_millis() as u64,
        });
        let answer: LeaseAnswer = self.write(Method::POST, "/leases", &[], body).await?;
        Ok(answer.lease)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        self.lease_call(Method::POST, lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        self.lease_call(Method::DELETE, lease).await
    }
}

mod base64_bytes {
    use super::Bytes;
    use super::STANDARD;
    use base64::Engine as _;
    use serde::Deserialize as _;
    use serde::Deserializer;
    use serde::Serializer;

    pub(super) fn serialize<S: Serializer>(value: &Bytes, out: S) -> Result<S::Ok, S::Error> {
        out.serialize_str(&STANDARD.encode(value))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<Bytes, D::Error> {
        let text = String::deserialize(input)?;
        let value = STANDARD.decode(text).map_err(serde::de::Error::custom)?;
        Ok(Bytes::from(value))
    }
}
