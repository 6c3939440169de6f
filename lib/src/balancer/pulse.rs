//! Failure detection of the other hosts from their load reports and broadcasts.

use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::collections::HashSet;

/// Time without a report after which a host counts as silent. Hosts report at least every 300 ms.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Time for which a host stays excluded after another host announced that it is silent.
const HEARSAY_TIME: Duration = Duration::from_secs(4);
/// Time after a host became silent within which its silence is announced to the other hosts.
const TELL_TIME: Duration = Duration::from_millis(1_200);

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Instant,
    is_leaving: bool,
}

/// Last heartbeat of each other host, and the hosts that others announced as silent.
#[derive(Debug, Default)]
pub(crate) struct PeerLiveness {
    heard: HashMap<String, Heard>,
    /// Hosts that another host announced as silent, with the time of the last such announcement.
    said_silent: HashMap<String, Instant>,
}

impl PeerLiveness {
    /// Records a heartbeat of `host`, and whether it says that it is leaving.
    pub(crate) fn note(&mut self, host: &str, is_leaving: bool, now: Instant) {
        let heard = Heard {
            at: now,
            is_leaving,
        };
        self.heard.insert(host.to_owned(), heard);
        self.said_silent.remove(host);
    }

    /// Records that another host announced its neighbour `host` as silent. It is ignored while this
    /// host hears `host` itself.
    pub(crate) fn note_silent(&mut self, host: &str, now: Instant) {
        self.said_silent
            .retain(|_, since| now - *since < HEARSAY_TIME);
        if !self.hears(host, now) {
            self.said_silent.insert(host.to_owned(), now);
        }
    }

    /// Last heartbeat of `host`; `None` if it is older than [`SILENCE`] or there was none.
    fn fresh(&self, host: &str, now: Instant) -> Option<&Heard> {
        let heard = self.heard.get(host);
        heard.filter(|heard| now - heard.at < SILENCE)
    }

    /// Whether a heartbeat of `host` arrived within the last [`SILENCE`].
    pub(crate) fn hears(&self, host: &str, now: Instant) -> bool {
        self.fresh(host, now).is_some()
    }

    /// Whether `host` became silent within the last [`TELL_TIME`], so that it has to be announced.
    pub(crate) fn fell_silent(&self, host: &str, now: Instant) -> bool {
        let silence = self.heard.get(host).map(|heard| now - heard.at);
        silence.is_some_and(|silence| (SILENCE..SILENCE + TELL_TIME).contains(&silence))
    }

    /// Those of `hosts` that callers should use.
    ///
    /// Leaves out hosts that are leaving, hosts that are silent although `reports` expects them to
    /// report to this one, and hosts that a neighbour of theirs announced as silent: their entries
    /// in the registry may last for seconds. If none of the hosts that are expected to report is
    /// heard, this host may be partitioned itself, and only hosts that are known to leave are left
    /// out.
    pub(crate) fn usable<'a>(
        &self,
        own: &str,
        hosts: &[&'a str],
        reports: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Vec<&'a str> {
        let is_said_silent = |host: &str| {
            let since = self.said_silent.get(host);
            since.is_some_and(|since| now - *since < HEARSAY_TIME)
        };
        let reporting: HashSet<&str> = hosts
            .iter()
            .copied()
            .filter(|host| *host != own && reports(host))
            .collect();
        let hears_any = reporting.iter().any(|host| self.hears(host, now));
        let is_usable = |host: &str| match self.fresh(host, now) {
            Some(heard) => !heard.is_leaving,
            None if !hears_any => true,
            None => !reporting.contains(host) && !is_said_silent(host),
        };
        let usable = hosts.iter().filter(|host| **host == own || is_usable(host));
        usable.copied().collect()
    }
}
