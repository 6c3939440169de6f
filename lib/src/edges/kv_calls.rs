//! Counts of calls to the key-value service, by what they are made for.
//!
//! A component makes its calls through a `PurposedKv`, which names their purpose. A call counts when it
//! ends, also if nobody waits for its answer any more.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;

use crate::edges::kv::Expect;
use crate::edges::kv::KvChanges;
use crate::edges::kv::KvCommit;
use crate::edges::kv::KvEntry;
use crate::edges::kv::KvError;
use crate::edges::kv::KvPage;
use crate::edges::kv::KvStore;
use crate::edges::kv::KvVersion;
use crate::edges::kv::LeaseId;

/// What a call to the key-value service is made for.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum CallPurpose {
    /// Follows the configuration.
    Configuration,
    /// Follows the entries of upstreams.
    Upstreams,
    /// Follows and answers requests to retire machines.
    Retirements,
    /// Lists the hosts.
    Hosts,
    /// Maintains the entry and the lease of the own host.
    HostEntry,
    /// Stores new jobs.
    JobCreation,
    /// Lists the open jobs.
    JobScan,
    /// Claims and releases jobs.
    JobClaim,
    /// Reads jobs.
    JobRead,
    /// Writes results of jobs.
    JobCommit,
    /// Ends jobs.
    JobEnd,
    /// Lists and removes closed jobs.
    JobSweep,
    /// Reads the shared secret of the hosts.
    FleetSecret,
    /// Reads and stores the versions that serve.
    Versions,
}

/// Kind of a call to the key-value service.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum KvCall {
    /// Reads one key.
    Get,
    /// Lists a page of keys.
    List,
    /// Lists a page of keys, possibly out of date.
    ListStale,
    /// Writes one key.
    Put,
    /// Deletes one key.
    Delete,
    /// Writes several keys.
    Commit,
    /// Waits for changes.
    Watch,
    /// Asks for changes.
    Check,
    /// Creates a lease.
    GrantLease,
    /// Extends a lease.
    RenewLease,
    /// Ends a lease.
    RevokeLease,
}

/// How a call to the key-value service ended.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum CallOutcome {
    /// It was answered.
    Done,
    /// It was answered and brought changes.
    Changed,
    /// It had no effect, as a condition did not hold, the value was too large or the lease had lapsed.
    Rejected,
    /// It did not reach the service or was refused.
    Unavailable,
    /// Its outcome is unknown.
    Unknown,
    /// Its answer was not waited for to the end.
    Dropped,
}

impl From<&KvError> for CallOutcome {
    fn from(err: &KvError) -> Self {
        match err {
            KvError::Conflict { .. } | KvError::TooLarge | KvError::LeaseLost => Self::Rejected,
            KvError::Unavailable(_) => Self::Unavailable,
            KvError::Unknown(_) => Self::Unknown,
        }
    }
}

/// Calls that are counted together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallClass {
    /// What the calls are made for.
    pub purpose: CallPurpose,
    /// What they do.
    pub call: KvCall,
    /// How they ended.
    pub outcome: CallOutcome,
}

impl std::fmt::Display for CallClass {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}.{}", self.purpose, self.call, self.outcome)
    }
}

/// Counts of one process's calls to the key-value service.
#[derive(Debug, Default)]
pub struct CallMeter {
    counts: Mutex<BTreeMap<CallClass, u64>>,
}

impl CallMeter {
    /// Number of calls that have ended, by class.
    pub fn counts(&self) -> BTreeMap<CallClass, u64> {
        self.counts.lock().expect("call counts lock").clone()
    }

    fn count(&self, class: CallClass) {
        let mut counts = self.counts.lock().expect("call counts lock");
        *counts.entry(class).or_default() += 1;
    }
}

/// The key-value service, for calls of one purpose.
struct PurposedKv {
    kv: Arc<dyn KvStore>,
    meter: Arc<CallMeter>,
    purpose: CallPurpose,
}

/// Returns `kv` for calls of `purpose`. They are counted if `kv` has a meter.
pub fn kv_for(kv: &Arc<dyn KvStore>, purpose: CallPurpose) -> Arc<dyn KvStore> {
    match kv.meter() {
        Some(meter) => Arc::new(PurposedKv {
            kv: kv.clone(),
            meter,
            purpose,
        }),
        None => kv.clone(),
    }
}

/// A call that has not ended. Counts when it is dropped.
struct OpenCall<'a> {
    meter: &'a CallMeter,
    class: CallClass,
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.meter.count(self.class);
    }
}

impl PurposedKv {
    async fn counted<T>(
        &self,
        call: KvCall,
        answer: impl Future<Output = Result<T, KvError>>,
        outcome: impl FnOnce(&T) -> CallOutcome,
    ) -> Result<T, KvError> {
        let class = CallClass {
            purpose: self.purpose,
            call,
            outcome: CallOutcome::Dropped,
        };
        let mut open = OpenCall {
            meter: &self.meter,
            class,
        };
        let answer = answer.await;
        open.class.outcome = match &answer {
            Ok(answer) => outcome(answer),
            Err(err) => CallOutcome::from(err),
        };
        answer
    }
}

fn is_done<T>(_: &T) -> CallOutcome {
    CallOutcome::Done
}

fn has_changes(changes: &KvChanges) -> CallOutcome {
    match changes.changes.is_empty() {
        true => CallOutcome::Done,
        false => CallOutcome::Changed,
    }
}

#[async_trait]
impl KvStore for PurposedKv {
    async fn get(&self, key: &str) -> Result<Option<KvEntry>, KvError> {
        self.counted(KvCall::Get, self.kv.get(key), is_done).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<KvPage, KvError> {
        let answer = self.kv.list(prefix, after, limit);
        self.counted(KvCall::List, answer, is_done).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<KvVersion, KvError> {
        let answer = self.kv.put(key, value, expect, lease);
        self.counted(KvCall::Put, answer, is_done).await
    }

    async fn delete(&self, key: &str, expect: Expect) -> Result<(), KvError> {
        let answer = self.kv.delete(key, expect);
        self.counted(KvCall::Delete, answer, is_done).await
    }

    async fn list_stale(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<KvPage, KvError> {
        let answer = self.kv.list_stale(prefix, after, limit);
        self.counted(KvCall::ListStale, answer, is_done).await
    }

    async fn commit(&self, commit: KvCommit) -> Result<KvVersion, KvError> {
        let answer = self.kv.commit(commit);
        self.counted(KvCall::Commit, answer, is_done).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: KvVersion,
        wait: Duration,
    ) -> Result<KvChanges, KvError> {
        let answer = self.kv.watch(prefix, after, wait);
        self.counted(KvCall::Watch, answer, has_changes).await
    }

    async fn changes_since(&self, prefix: &str, after: KvVersion) -> Result<KvChanges, KvError> {
        let answer = self.kv.changes_since(prefix, after);
        self.counted(KvCall::Check, answer, has_changes).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, KvError> {
        let answer = self.kv.grant_lease(ttl);
        self.counted(KvCall::GrantLease, answer, is_done).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        let answer = self.kv.renew_lease(lease);
        self.counted(KvCall::RenewLease, answer, is_done).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        let answer = self.kv.revoke_lease(lease);
        self.counted(KvCall::RevokeLease, answer, is_done).await
    }
}
