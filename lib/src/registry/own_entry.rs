//! The entry of this process: its lease, the writes of its entry, and the end of its hold on the name.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::edges::kv::KvCommit;
use crate::edges::kv::KvError;
use crate::edges::kv::KvPut;
use crate::edges::kv::KvVersion;
use crate::edges::kv::LeaseId;
use crate::events::LogEvent;
use crate::registry::entry::HostEntry;
use crate::registry::entry::HostReadiness;
use crate::registry::entry::ReplacedProcess;
use crate::registry::host_registry::HostRegistry;
use crate::registry::host_registry::entry_key;
use crate::registry::message::NameCall;
use crate::registry::message::NameReply;
use crate::registry::name_hold::FoundEntry;
use crate::registry::name_hold::HostProcess;
use crate::registry::name_hold::NameHold;
use crate::registry::name_hold::NameStep;
use crate::registry::name_hold::next_step;

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Reads and writes in a row that settle the entry of a name that other processes write too.
const MAX_ENTRY_STEPS: usize = 8;
/// Longest wait for the entry of the name when another process says that it has replaced it.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(400);

/// What the next write of the entry is conditional on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EntryCondition {
    /// What a read shows: nothing is known of the key, or a write of unknown outcome was made.
    Read,
    /// The key has this version; `None`: it is absent.
    Known(Option<KvVersion>),
}

/// How a process learned that another one has replaced its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum DisplacedVia {
    /// The other process has called this one.
    Call,
    /// A write of this process found the other one's entry.
    Write,
    /// A listing showed the other one's entry, and an up-to-date read confirmed it.
    Listing,
}

impl HostRegistry {
    /// Answers a process that has replaced the entry of this one, or of an earlier process at this
    /// address.
    ///
    /// Such a call is believed if an up-to-date read of the entry shows another process. If the
    /// key-value service does not answer soon, the call alone is believed: the caller knows the secret of
    /// the fleet, says that the service has acknowledged the replacement of this very process, and a
    /// replacement is never undone.
    pub async fn answer(&self, call: NameCall) -> NameReply {
        let NameCall::Displaced {
            host,
            incarnation,
            process,
            peers,
            earlier_incarnation,
            earlier_process,
        } = call;
        let own = self.own();
        let earlier = HostProcess {
            incarnation: earlier_incarnation,
            process: earlier_process,
        };
        if host != own.host || !own.process_id().is_same(earlier) {
            return NameReply::OtherProcess;
        }
        if self.is_displaced() {
            return NameReply::Displaced;
        }
        let read = tokio::time::timeout(CONFIRM_TIMEOUT, self.find_entry()).await;
        let other = match read {
            Ok(Ok(FoundEntry::Process(entry, _)))
                if !entry.process_id().is_same(own.process_id()) =>
            {
                entry
            }
            Ok(Ok(_)) => return NameReply::Holds,
            Ok(Err(_)) | Err(_) => HostEntry {
                incarnation,
                process,
                peers,
                ..own
            },
        };
        self.yield_name(&other, DisplacedVia::Call);
        NameReply::Displaced
    }

    pub(super) async fn maintain_entry(&self) {
        while !self.is_displaced() {
            let outcome = match self.lease() {
                Some(lease) if self.with_state(|state| state.is_written) => {
                    self.renew_lease(lease).await
                }
                _ => self.write_entry().await,
            };
            let delay = match outcome {
                Ok(()) => {
                    self.note_success();
                    self.shared.config.lease_ttl / 3
                }
                Err(KvError::LeaseLost) => Duration::ZERO,
                Err(err) => {
                    self.note_failure(&err);
                    RETRY_DELAY
                }
            };
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = self.shared.displaced.cancelled() => {}
            }
        }
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), KvError> {
        let sent_at = Instant::now();
        let renewed = self.entry_kv().renew_lease(lease).await;
        match &renewed {
            Ok(()) => self.prove_lease(lease, sent_at),
            Err(KvError::LeaseLost) => self.note_lease_lost(lease),
            Err(_) => {}
        }
        renewed
    }

    /// Records that `lease` was granted or renewed by a call that was sent at `sent_at`.
    fn prove_lease(&self, lease: LeaseId, sent_at: Instant) {
        let until = sent_at + self.shared.config.lease_ttl;
        self.with_state(|state| {
            if state.lease == Some(lease) {
                state.lease_proved_until = Some(until);
            }
        });
    }

    /// Returns the lease, a new one if there is none; `None` if this process is displaced.
    async fn obtain_lease(&self) -> Result<Option<LeaseId>, KvError> {
        if let Some(lease) = self.lease() {
            return Ok(Some(lease));
        }
        let sent_at = Instant::now();
        let ttl = self.shared.config.lease_ttl;
        let lease = self.entry_kv().grant_lease(ttl).await?;
        let is_displaced = self.with_state(|state| {
            let is_displaced = state.hold == NameHold::Displaced;
            if !is_displaced {
                state.lease = Some(lease);
                state.own.lease = Some(lease);
            }
            is_displaced
        });
        if is_displaced {
            let _ = self.entry_kv().revoke_lease(lease).await;
            return Ok(None);
        }
        self.prove_lease(lease, sent_at);
        Ok(Some(lease))
    }

    /// Stores the entry, unless another process has the name and this one may not start after it.
    pub(super) async fn write_entry(&self) -> Result<(), KvError> {
        let _writing = self.shared.writing.lock().await;
        for _ in 0..MAX_ENTRY_STEPS {
            if self.may_not_write() {
                return Ok(());
            }
            let Some(lease) = self.obtain_lease().await? else {
                return Ok(());
            };
            let condition = self.with_state(|state| state.condition);
            let expected = match condition {
                EntryCondition::Known(expected) => expected,
                EntryCondition::Read => match self.settle_entry().await? {
                    Some(expected) => expected,
                    None => return Ok(()),
                },
            };
            match self.store_entry(expected, lease).await {
                Err(KvError::Conflict { .. }) => {}
                outcome => return outcome,
            }
        }
        Err(KvError::Unavailable(
            "other processes write the entry of this host".to_owned(),
        ))
    }

    /// Whether no entry is to be written: the process is displaced, or leaves before its start was
    /// acknowledged.
    fn may_not_write(&self) -> bool {
        self.with_state(|state| match state.hold {
            NameHold::Displaced => true,
            NameHold::Starting => state.own.state == HostReadiness::Leaving,
            NameHold::Held(_) => false,
        })
    }

    /// Reads the entry and returns what the write is conditional on; `None` if nothing is to be
    /// written.
    async fn settle_entry(&self) -> Result<Option<Option<KvVersion>>, KvError> {
        let found = self.find_entry().await?;
        let (hold, own) = self.with_state(|state| (state.hold, state.own.clone()));
        match next_step(hold, own.process_id(), found) {
            NameStep::Write(expected) => Ok(Some(expected)),
            NameStep::Replace(earlier, version) => {
                self.with_state(|state| {
                    state.replacing = earlier.into_replaced();
                    state.own.replaced = without_address(&state.replacing, state.own.peers);
                });
                Ok(Some(Some(version)))
            }
            NameStep::Adopt(stored, version) => {
                self.hold_name(version, &stored);
                let is_written = self.with_state(|state| state.is_written);
                Ok((!is_written).then_some(Some(version)))
            }
            NameStep::Yield(other) => {
                self.yield_name(&other, DisplacedVia::Write);
                Ok(None)
            }
        }
    }

    async fn store_entry(
        &self,
        expected: Option<KvVersion>,
        lease: LeaseId,
    ) -> Result<(), KvError> {
        let own = self.own();
        let key = entry_key(&own.host);
        let put = KvPut {
            key: key.clone(),
            value: own.encode(),
            lease: Some(lease),
        };
        let commit = KvCommit {
            expect: vec![(key, expected)],
            puts: vec![put],
            deletes: Vec::new(),
        };
        // Until the outcome is known, a read has to show it. The write may be dropped meanwhile.
        self.with_state(|state| state.condition = EntryCondition::Read);
        match self.entry_kv().commit(commit).await {
            Ok(version) => {
                self.hold_name(version, &own);
                Ok(())
            }
            Err(err) => {
                if err == KvError::LeaseLost {
                    self.note_lease_lost(lease);
                }
                Err(err)
            }
        }
    }

    /// Records that the entry of this process is stored as `stored` with `version`. Tells the processes
    /// that it has replaced, if any.
    fn hold_name(&self, version: KvVersion, stored: &HostEntry) {
        let replaced = self.with_state(|state| {
            if state.hold == NameHold::Displaced {
                return Vec::new();
            }
            state.hold = NameHold::Held(version);
            state.condition = EntryCondition::Known(Some(version));
            state.is_written = state.own == *stored;
            let replaced = std::mem::take(&mut state.replacing);
            state.is_settling |= !replaced.is_empty();
            replaced
        });
        if !replaced.is_empty() {
            self.settle_replacement(replaced);
        }
    }

    /// Gives up the name for good, as the process of the entry `other` has started after this one.
    pub(super) fn yield_name(&self, other: &HostEntry, via: DisplacedVia) {
        let (is_first, lease, own) = self.with_state(|state| {
            let is_first = state.hold != NameHold::Displaced;
            state.hold = NameHold::Displaced;
            state.lease_proved_until = None;
            (is_first, state.lease.take(), state.own.clone())
        });
        if !is_first {
            return;
        }
        self.shared.log.write(LogEvent::HostDisplaced {
            name: own.host,
            incarnation: own.incarnation,
            other_incarnation: other.incarnation,
            address: other.peers.to_string(),
            via: via.to_string(),
        });
        self.shared.displaced.cancel();
        if let Some(lease) = lease {
            let registry = self.clone();
            tokio::spawn(async move { registry.revoke_until_lapsed(lease).await });
        }
    }

    /// Revokes a lease that is not renewed any more. Retries until it has lapsed by itself.
    async fn revoke_until_lapsed(&self, lease: LeaseId) {
        let lapsed_at = Instant::now() + self.shared.config.lease_ttl;
        while Instant::now() < lapsed_at {
            match self.entry_kv().revoke_lease(lease).await {
                Ok(()) | Err(KvError::LeaseLost) => return,
                Err(_) => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Reads the entry of this host's name, up to date.
    pub(super) async fn find_entry(&self) -> Result<FoundEntry, KvError> {
        let key = entry_key(&self.own().host);
        let found = self.entry_kv().get(&key).await?;
        Ok(found.map_or(FoundEntry::Absent, |entry| {
            match HostEntry::decode(&entry.value) {
                Some(decoded) => FoundEntry::Process(decoded, entry.version),
                None => FoundEntry::Malformed(entry.version),
            }
        }))
    }
}

/// Those of `replaced` at other addresses than `own`, which a process can't have bound before they ended.
fn without_address(replaced: &[ReplacedProcess], own: SocketAddr) -> Vec<ReplacedProcess> {
    let others = replaced.iter().filter(|earlier| earlier.peers != own);
    others.cloned().collect()
}
