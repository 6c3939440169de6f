//! Settles the replacement of an earlier process of this host's name, which may still live.
//!
//! The earlier process is told, so that it stops at once. If it can't be reached, its lease is ended,
//! so that it notices at its next renewal, and this process waits that long before it claims anything.

use std::time::Duration;

use tokio::time::Instant;

use crate::edges::kv::KvError;
use crate::events::LogEvent;
use crate::registry::entry::ReplacedProcess;
use crate::registry::host_registry::HostRegistry;
use crate::registry::message::NameCall;
use crate::registry::message::NameCallError;
use crate::registry::message::NameReply;

/// Timeout of a call that tells the earlier process.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay between these calls.
const NOTICE_DELAY: Duration = Duration::from_millis(300);
/// Time that the earlier process needs beyond the interval of its renewals to notice that its lease has
/// ended, and to stop.
const NOTICING_MARGIN: Duration = Duration::from_millis(400);

/// What is known of a process whose entry was replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
enum EarlierProcess {
    /// It has confirmed that it stopped acting for the name.
    Told,
    /// It has ended.
    Ended,
    /// It may live, and has had time to notice that its lease has ended.
    NotReached,
}

impl HostRegistry {
    /// Finds out in the background what became of the processes that this one has `replaced`. Until then,
    /// this process does not hold the name.
    pub(super) fn settle_replacement(&self, replaced: Vec<ReplacedProcess>) {
        let own = self.own_address();
        let (ended, others): (Vec<_>, Vec<_>) = replaced
            .into_iter()
            .partition(|earlier| earlier.peers == own);
        // This process could not have bound their address.
        for earlier in &ended {
            self.log_taken(earlier, EarlierProcess::Ended);
        }
        if others.is_empty() {
            return self.with_state(|state| state.is_settling = false);
        }
        let registry = self.clone();
        tokio::spawn(async move {
            let stops = others.iter().map(|earlier| async {
                let outcome = registry.stop_earlier(earlier).await;
                registry.log_taken(earlier, outcome);
            });
            futures_util::future::join_all(stops).await;
            registry.with_state(|state| {
                state.is_settling = false;
                // The next write of the entry names them no more.
                state.own.replaced.clear();
                state.is_written = false;
            });
        });
    }

    fn log_taken(&self, earlier: &ReplacedProcess, outcome: EarlierProcess) {
        self.shared.log.write(LogEvent::NameTaken {
            name: self.own().host,
            incarnation: earlier.incarnation,
            address: earlier.peers.to_string(),
            outcome: outcome.to_string(),
        });
    }

    async fn stop_earlier(&self, earlier: &ReplacedProcess) -> EarlierProcess {
        let mut noticed_by = None;
        while !self.is_displaced() {
            if let Some(outcome) = self.tell(earlier).await {
                return outcome;
            }
            if noticed_by.is_none() && self.end_lease(earlier).await {
                let interval = self.shared.config.lease_ttl / 3;
                noticed_by = Some(Instant::now() + interval + NOTICING_MARGIN);
            }
            if noticed_by.is_some_and(|at| Instant::now() >= at) {
                break;
            }
            tokio::time::sleep(NOTICE_DELAY).await;
        }
        EarlierProcess::NotReached
    }

    /// Tells the earlier process that it is displaced; `None` if it doesn't confirm.
    async fn tell(&self, earlier: &ReplacedProcess) -> Option<EarlierProcess> {
        let own = self.own();
        let call = NameCall::Displaced {
            host: own.host,
            incarnation: own.incarnation,
            process: own.process,
            peers: own.peers,
            earlier_incarnation: earlier.incarnation,
            earlier_process: earlier.process,
        };
        match self.peers.call(earlier.peers, call, NOTICE_TIMEOUT).await {
            Ok(NameReply::Displaced) => Some(EarlierProcess::Told),
            Ok(NameReply::OtherProcess) | Err(NameCallError::Refused) => {
                Some(EarlierProcess::Ended)
            }
            Ok(NameReply::Holds) | Err(NameCallError::NoReply(_)) => None,
        }
    }

    /// Ends the lease of the earlier process. Returns whether it is ended, or not known: a process of an
    /// earlier release doesn't name it.
    async fn end_lease(&self, earlier: &ReplacedProcess) -> bool {
        match earlier.lease {
            None => true,
            Some(lease) => matches!(
                self.entry_kv().revoke_lease(lease).await,
                Ok(()) | Err(KvError::LeaseLost)
            ),
        }
    }
}
