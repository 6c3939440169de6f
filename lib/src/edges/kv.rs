//! The key-value service: compare-and-swap, leases and watches over HTTP and JSON.
//!
//! Wire: `GET /kv/{key}`, `PUT /kv/{key}`, `DELETE /kv/{key}`, `GET /list`, `GET /watch`,
//! `POST /commits`, `POST /leases`, `POST /leases/{id}` and `DELETE /leases/{id}`. Values travel as base64.

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

use crate::http::client::ClientError;
use crate::http::client::HttpClient;

/// Largest value that the service takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

const CALL_TIMEOUT: Duration = Duration::from_secs(3);
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// Version of a key: the store's revision of its last write. Never zero for a key that exists.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct KvVersion(pub u64);

/// Identifier of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// The key must not exist.
    Absent,
    /// The key must have this version.
    Version(KvVersion),
    /// Any state; only for keys that are written once or by one writer.
    Any,
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvEntry {
    /// The key.
    pub key: String,
    /// The value.
    #[serde(with = "base64_bytes")]
    pub value: Bytes,
    /// Version of the last write.
    pub version: KvVersion,
}

/// A page of keys in key order.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KvPage {
    /// The entries of this page.
    pub entries: Vec<KvEntry>,
    /// Whether keys follow after the last entry.
    pub more: bool,
    /// Revision of the store that the page shows.
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
        /// The key.
        key: String,
    },
}

/// Changes after a revision. Several changes of one key may be reported as the last one.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KvChanges {
    /// Changes in the order of their revisions; empty when the wait ended first.
    pub changes: Vec<KvChange>,
    /// Revision to continue after.
    pub revision: KvVersion,
    /// Set when changes before `revision` were lost and the prefix must be listed again.
    #[serde(default)]
    pub compacted: bool,
}

/// Why a call did not return its result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KvError {
    /// The condition of the write did not hold; nothing was written.
    Conflict {
        /// Version that the key has, if it exists.
        current: Option<KvVersion>,
    },
    /// The value is larger than [`MAX_VALUE_BYTES`]; nothing was written.
    TooLarge,
    /// The lease does not exist any more; nothing was written.
    LeaseLost,
    /// The service certainly did not take the call.
    Unavailable(String),
    /// The outcome is unknown: a write may have taken effect, now or later.
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

/// A write of a commit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvPut {
    /// The key.
    pub key: String,
    /// The value.
    #[serde(with = "base64_bytes")]
    pub value: Bytes,
    /// Lease that the key goes with.
    pub lease: Option<LeaseId>,
}

/// Writes and deletions that take effect together, or not at all if a condition fails.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvCommit {
    /// Keys that must not exist, or must have the version given.
    pub expect: Vec<(String, Option<KvVersion>)>,
    /// Keys to write.
    pub puts: Vec<KvPut>,
    /// Keys to delete; absent ones are passed over.
    pub deletes: Vec<String>,
}

/// The key-value service.
#[async_trait]
pub trait KvStore: Send + Sync + 'static {
    /// Reads one key; the answer is linearizable.
    async fn get(&self, key: &str) -> Result<Option<KvEntry>, KvError>;

    /// Lists at most `limit` keys with `prefix` in key order, after the key `after`.
    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<KvPage, KvError>;

    /// Writes one key if `expect` holds; the key goes when `lease` lapses.
    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<KvVersion, KvError>;

    /// Deletes one key if `expect` holds; deleting an absent key with [`Expect::Any`] succeeds.
    async fn delete(&self, key: &str, expect: Expect) -> Result<(), KvError>;

    /// Lists like [`Self::list`], but the answer may be seconds old and costs less.
    async fn list_stale(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<KvPage, KvError> {
        self.list(prefix, after, limit).await
    }

    /// Carries out all of `commit`, or nothing of it. Returns the version of what it wrote.
    async fn commit(&self, commit: KvCommit) -> Result<KvVersion, KvError>;

    /// Waits up to `wait` for changes of keys with `prefix` after revision `after`.
    async fn watch(
        &self,
        prefix: &str,
        after: KvVersion,
        wait: Duration,
    ) -> Result<KvChanges, KvError>;

    /// Creates a lease that lapses `ttl` after its last renewal.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvError>;

    /// Renews a lease.
    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KvError>;

    /// Ends a lease and deletes its keys.
    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KvError>;
}

/// Body of a write.
#[derive(Debug, Serialize, Deserialize)]
pub struct PutBody {
    /// The value.
    #[serde(with = "base64_bytes")]
    pub value: Bytes,
    /// Required version; zero means absent, none means any.
    pub expect: Option<KvVersion>,
    /// Lease that the key goes with.
    pub lease: Option<LeaseId>,
}

/// Body of an answer to a write.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct PutAnswer {
    /// Version of the key after the call; on a conflict the version found.
    pub version: Option<KvVersion>,
}

/// Body that creates a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseBody {
    /// Time to live in milliseconds.
    pub ttl_ms: u64,
}

/// Body of an answer that creates a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// The new lease.
    pub lease: LeaseId,
}

/// How old a listing may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It shows every write that was acknowledged before.
    Current,
    /// It may be seconds old, and costs less.
    Stale,
}

/// Keys in a page of [`list_all`].
const LIST_PAGE: usize = 500;

/// Lists all keys with `prefix`, page by page. Returns them with the revision of the first page;
/// later pages may show changes after it.
pub async fn list_all(
    kv: &dyn KvStore,
    prefix: &str,
    freshness: Freshness,
) -> Result<(Vec<KvEntry>, KvVersion), KvError> {
    let mut entries: Vec<KvEntry> = Vec::new();
    let mut revision = None;
    loop {
        let after = entries.last().map(|entry| entry.key.clone());
        let page = match freshness {
            Freshness::Current => kv.list(prefix, after.as_deref(), LIST_PAGE).await?,
            Freshness::Stale => kv.list_stale(prefix, after.as_deref(), LIST_PAGE).await?,
        };
        revision.get_or_insert(page.revision);
        let is_last = !page.more || page.entries.is_empty();
        entries.extend(page.entries);
        if is_last {
            return Ok((entries, revision.unwrap_or_default()));
        }
    }
}

/// Client of the key-value service over HTTP.
pub struct HttpKv {
    client: HttpClient,
    urls: Vec<Url>,
}

impl HttpKv {
    /// Returns a client that uses the first of `urls` that can be reached.
    pub fn new(client: HttpClient, urls: Vec<Url>) -> Self {
        Self { client, urls }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        query: &[(&str, String)],
        body: Bytes,
        timeout: Duration,
    ) -> Result<T, KvError> {
        let mut last = KvError::Unavailable("no address is known".to_owned());
        for base in &self.urls {
            let url = call_url(base, path, query);
            let call = self.client.call(method.clone(), url.as_str(), body.clone());
            last = match tokio::time::timeout(timeout, call).await {
                Ok(Ok((status, answer))) => return decode(status, &answer),
                Ok(Err(ClientError::NotSent(cause))) => KvError::Unavailable(cause),
                Ok(Err(ClientError::Broken(cause))) => return Err(KvError::Unknown(cause)),
                Err(_) => return Err(KvError::Unknown("no answer in time".to_owned())),
            };
        }
        Err(last)
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

fn decode<T: DeserializeOwned>(status: StatusCode, answer: &[u8]) -> Result<T, KvError> {
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
        self.call(Method::GET, &path, &[], Bytes::new(), CALL_TIMEOUT)
            .await
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
        self.call(Method::GET, "/list", &query, Bytes::new(), CALL_TIMEOUT)
            .await
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
        let answer: PutAnswer = self
            .call(Method::PUT, &path, &[], body, CALL_TIMEOUT)
            .await?;
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
            .call(Method::DELETE, &path, &query, Bytes::new(), CALL_TIMEOUT)
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
        let answer: PutAnswer = self
            .call(Method::POST, "/commits", &[], body, CALL_TIMEOUT)
            .await?;
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
        let query = [
            ("prefix", prefix.to_owned()),
            ("after", after.0.to_string()),
            ("wait_ms", wait.as_millis().to_string()),
        ];
        let timeout = wait + WATCH_GRACE;
        self.call(Method::GET, "/watch", &query, Bytes::new(), timeout)
            .await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvError> {
        let body = to_json(&LeaseBody {
            ttl_ms: ttl.as_millis() as u64,
        });
        let answer: LeaseAnswer = self
            .call(Method::POST, "/leases", &[], body, CALL_TIMEOUT)
            .await?;
        Ok(answer.lease)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        let path = format!("/leases/{}", lease.0);
        let _: PutAnswer = self
            .call(Method::POST, &path, &[], Bytes::new(), CALL_TIMEOUT)
            .await?;
        Ok(())
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        let path = format!("/leases/{}", lease.0);
        let _: PutAnswer = self
            .call(Method::DELETE, &path, &[], Bytes::new(), CALL_TIMEOUT)
            .await?;
        Ok(())
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
