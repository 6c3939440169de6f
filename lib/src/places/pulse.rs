//! Which other hosts are alive, as their load reports show it.

use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::collections::HashSet;

/// A host that has not reported for this long counts as silent; reports come every 300 ms.
const SILENCE: Duration = Duration::from_millis(1_500);

#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Instant,
    is_leaving: bool,
}

/// When each other host was last heard.
#[derive(Debug, Default)]
pub struct PeerPulse {
    heard: HashMap<String, Heard>,
}

impl PeerPulse {
    /// Notes a report of `host`.
    pub(crate) fn note(&mut self, host: &str, is_leaving: bool, now: Instant) {
        let heard = Heard {
            at: now,
            is_leaving,
        };
        self.heard.insert(host.to_owned(), heard);
    }

    /// Those of `hosts` that callers should use.
    ///
    /// A host that is leaving, or silent though it `reports` to this one, is left out, though its
    /// entry in the registry may last for seconds. If none of those is heard, this host may be the
    /// one that is cut off, and the registry is taken as it is.
    pub fn usable<'a>(
        &self,
        own: &str,
        hosts: &[&'a str],
        reports: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Vec<&'a str> {
        let heard = |host: &str| {
            self.heard
                .get(host)
                .filter(|heard| now - heard.at < SILENCE)
        };
        let reporting: HashSet<&str> = hosts
            .iter()
            .copied()
            .filter(|host| *host != own && reports(host))
            .collect();
        let hears_any = reporting.iter().any(|host| heard(host).is_some());
        let is_usable = |host: &str| match heard(host) {
            Some(heard) => !heard.is_leaving,
            None => !hears_any || !reporting.contains(host),
        };
        let usable = hosts.iter().filter(|host| **host == own || is_usable(host));
        usable.copied().collect()
    }
}
