//! Which other hosts are alive, as their load reports show it.

use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::collections::HashSet;

/// A host that has not reported for this long counts as silent; reports come every 300 ms.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Time for which a host stays left out that another host calls silent.
const HEARSAY_TIME: Duration = Duration::from_secs(4);
/// Time after a host fell silent in which others are told.
const TELL_TIME: Duration = Duration::from_millis(1_200);

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Instant,
    is_leaving: bool,
}

/// When each other host was last heard.
#[derive(Debug, Default)]
pub(crate) struct PeerLiveness {
    heard: HashMap<String, Heard>,
    /// Hosts that another host calls silent, and since when.
    said_silent: HashMap<String, Instant>,
}

impl PeerLiveness {
    /// Notes a report of `host`.
    pub(crate) fn note(&mut self, host: &str, is_leaving: bool, now: Instant) {
        let heard = Heard {
            at: now,
            is_leaving,
        };
        self.heard.insert(host.to_owned(), heard);
        self.said_silent.remove(host);
    }

    /// Notes that another host no longer hears its neighbour `host`.
    pub(crate) fn note_silent(&mut self, host: &str, now: Instant) {
        self.said_silent
            .retain(|_, since| now - *since < HEARSAY_TIME);
        if !self.hears(host, now) {
            self.said_silent.insert(host.to_owned(), now);
        }
    }

    /// What `host` said, if it was heard a moment ago.
    fn fresh(&self, host: &str, now: Instant) -> Option<&Heard> {
        let heard = self.heard.get(host);
        heard.filter(|heard| now - heard.at < SILENCE)
    }

    /// Whether `host` was heard a moment ago.
    pub(crate) fn hears(&self, host: &str, now: Instant) -> bool {
        self.fresh(host, now).is_some()
    }

    /// Whether `host` has fallen silent so lately that others are to be told.
    pub(crate) fn fell_silent(&self, host: &str, now: Instant) -> bool {
        let silence = self.heard.get(host).map(|heard| now - heard.at);
        silence.is_some_and(|silence| (SILENCE..SILENCE + TELL_TIME).contains(&silence))
    }

    /// Those of `hosts` that callers should use.
    ///
    /// A host that is leaving, or silent though it `reports` to this one, or silent to a neighbour of
    /// its own, is left out, though its entry in the registry may last for seconds. If no host that
    /// `reports` is heard, this one may be cut off, and the registry is taken as it is.
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
