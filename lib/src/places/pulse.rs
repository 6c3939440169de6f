//! Which other hosts are alive, as their load reports show it.

use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;

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
    /// A host that is silent or leaving is left out, though its entry in the registry may last
    /// for seconds. If no other host is heard at all, this host may be the one that is cut off,
    /// and the registry is taken as it is.
    pub fn usable<'a>(&self, own: &str, hosts: &[&'a str], now: Instant) -> Vec<&'a str> {
        let is_alive = |host: &str| {
            let heard = self.heard.get(host);
            heard.is_some_and(|heard| now - heard.at < SILENCE && !heard.is_leaving)
        };
        let others_alive = hosts.iter().any(|host| *host != own && is_alive(host));
        let usable = |host: &&&'a str| **host == own || !others_alive || is_alive(host);
        hosts.iter().filter(usable).copied().collect()
    }
}
