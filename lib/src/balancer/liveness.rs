//! Failure detection of the other hosts from their load reports and broadcasts.

use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::collections::HashSet;

/// Time without a report after which a host counts as silent. Hosts report at least every 300 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a host stays excluded after another host announced that it is silent, unless it is
/// heard again. Its entry may be listed for as long: until its lease lapses, the listing is read
/// again, and the grace for vanished entries has passed.
const EXCLUSION_TIME: Duration = Duration::from_secs(12);
/// Time after a host became silent within which its silence is announced to the other hosts.
const ANNOUNCE_TIME: Duration = Duration::from_millis(1_200);

#[derive(Clone, Copy, Debug)]
struct HostHeartbeat {
    at: Instant,
    is_leaving: bool,
}

/// Last heartbeat of each other host, and the hosts that others announced as silent.
#[derive(Debug, Default)]
pub(crate) struct PeerLiveness {
    heartbeats: HashMap<String, HostHeartbeat>,
    /// Hosts that another host announced as silent, with the time of the last such announcement.
    announced_silent: HashMap<String, Instant>,
}

impl PeerLiveness {
    /// Records a heartbeat of `host`, and whether it says that it is leaving.
    pub(crate) fn record_heartbeat(&mut self, host: &str, is_leaving: bool, now: Instant) {
        let heartbeat = HostHeartbeat {
            at: now,
            is_leaving,
        };
        self.heartbeats.insert(host.to_owned(), heartbeat);
        self.announced_silent.remove(host);
    }

    /// Records that another host announced its neighbour `host` as silent. It is ignored while this
    /// host hears `host` itself.
    pub(crate) fn record_silence(&mut self, host: &str, now: Instant) {
        self.announced_silent
            .retain(|_, since| now - *since < EXCLUSION_TIME);
        if !self.is_live(host, now) {
            self.announced_silent.insert(host.to_owned(), now);
        }
    }

    /// Last heartbeat of `host`; `None` if it is older than [`SILENCE_TIMEOUT`] or there was none.
    fn recent_heartbeat(&self, host: &str, now: Instant) -> Option<&HostHeartbeat> {
        let heartbeat = self.heartbeats.get(host);
        heartbeat.filter(|heartbeat| now - heartbeat.at < SILENCE_TIMEOUT)
    }

    /// Whether a heartbeat of `host` arrived within the last [`SILENCE_TIMEOUT`].
    pub(crate) fn is_live(&self, host: &str, now: Instant) -> bool {
        self.recent_heartbeat(host, now).is_some()
    }

    /// Whether the last heartbeat of `host` said that it is leaving; `None` without a recent one.
    pub(crate) fn is_leaving(&self, host: &str, now: Instant) -> Option<bool> {
        let heartbeat = self.recent_heartbeat(host, now)?;
        Some(heartbeat.is_leaving)
    }

    /// Whether `host` became silent within the last [`ANNOUNCE_TIME`], so that its silence has to be
    /// announced.
    pub(crate) fn recently_silent(&self, host: &str, now: Instant) -> bool {
        let silence = self
            .heartbeats
            .get(host)
            .map(|heartbeat| now - heartbeat.at);
        silence.is_some_and(|silence| {
            (SILENCE_TIMEOUT..SILENCE_TIMEOUT + ANNOUNCE_TIME).contains(&silence)
        })
    }

    /// Those of `hosts` that callers should use.
    ///
    /// Leaves out hosts that are leaving, hosts that are silent although `is_expected` says that they
    /// report to this one, and hosts that a neighbour of theirs announced as silent: their entries
    /// in the registry may last for seconds. If none of the hosts that are expected to report is
    /// heard, this host may be partitioned itself, and only hosts that are known to leave are left
    /// out.
    pub(crate) fn usable<'a>(
        &self,
        own: &str,
        hosts: &[&'a str],
        is_expected: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Vec<&'a str> {
        let is_announced_silent = |host: &str| {
            let since = self.announced_silent.get(host);
            since.is_some_and(|since| now - *since < EXCLUSION_TIME)
        };
        let expected: HashSet<&str> = hosts
            .iter()
            .copied()
            .filter(|host| *host != own && is_expected(host))
            .collect();
        let has_live = expected.iter().any(|host| self.is_live(host, now));
        let is_usable = |host: &str| match self.recent_heartbeat(host, now) {
            Some(heartbeat) => !heartbeat.is_leaving,
            None if !has_live => true,
            None => !expected.contains(host) && !is_announced_silent(host),
        };
        let usable = hosts.iter().filter(|host| **host == own || is_usable(host));
        usable.copied().collect()
    }
}
