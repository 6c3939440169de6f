//! Messages about crashes that hosts send one another, and the queue of those still to be sent.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::ids::UpstreamIncarnation;
use crate::suspects::conviction::ConvictionNotice;
use crate::suspects::crash::CrashSubject;
use crate::suspects::crash::UpstreamCrash;

/// Times after a change at which it is sent, as datagrams may be lost.
const SEND_TIMES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(150),
    Duration::from_millis(600),
];
/// Most changes that wait to be sent; the oldest ones are dropped beyond that.
const MAX_QUEUED: usize = 256;
/// Most changes in one message.
const MAX_SENT: usize = 8;

/// A subject whose request got a part of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoundNotice {
    /// What turned out to be sound.
    #[serde(rename = "s")]
    pub subject: CrashSubject,
    /// Time in milliseconds since then.
    #[serde(rename = "a")]
    pub age_ms: u32,
}

/// Claim of a host to test a conviction with its next request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TestClaim {
    /// What is tested.
    #[serde(rename = "s")]
    pub subject: CrashSubject,
    /// Name of the host that tests it.
    #[serde(rename = "h")]
    pub host: String,
}

/// Message of one host to others about crashes of upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    /// Crashes that the sender has noticed.
    #[serde(rename = "x", default)]
    pub crashes: Vec<UpstreamCrash>,
    /// Subjects of crashes that turned out to be sound.
    #[serde(rename = "o", default)]
    pub sound: Vec<SoundNotice>,
    /// Convictions that the sender is about to test.
    #[serde(rename = "t", default)]
    pub tests: Vec<TestClaim>,
    /// Convictions that the receiver may lack.
    #[serde(rename = "c", default)]
    pub convictions: Vec<ConvictionNotice>,
}

/// A change that other hosts have to be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NewsItem {
    Crash(UpstreamIncarnation),
    Sound(CrashSubject),
    Test(CrashSubject),
}

#[derive(Clone, Copy, Debug)]
struct QueuedItem {
    item: NewsItem,
    first_send: Instant,
    sends: usize,
}

/// Changes that other hosts still have to be told. Each is sent several times.
#[derive(Debug, Default)]
pub(crate) struct NewsQueue {
    items: VecDeque<QueuedItem>,
}

impl NewsQueue {
    /// Adds a change to be sent from `first_send` on, or begins anew with one that is still queued.
    pub(crate) fn push(&mut self, item: NewsItem, first_send: Instant) {
        self.remove(item);
        if self.items.len() >= MAX_QUEUED {
            self.items.pop_front();
        }
        self.items.push_back(QueuedItem {
            item,
            first_send,
            sends: 0,
        });
    }

    /// Whether the change is still queued.
    pub(crate) fn contains(&self, item: NewsItem) -> bool {
        self.items.iter().any(|queued| queued.item == item)
    }

    /// Removes a change that need not be sent any more.
    pub(crate) fn remove(&mut self, item: NewsItem) {
        self.items.retain(|queued| queued.item != item);
    }

    /// Takes the changes that are due for the next message.
    pub(crate) fn take(&mut self, now: Instant) -> Vec<NewsItem> {
        let is_due = |queued: &&mut QueuedItem| now >= queued.first_send + SEND_TIMES[queued.sends];
        let due = self.items.iter_mut().filter(is_due).take(MAX_SENT);
        let taken = due
            .map(|queued| {
                queued.sends += 1;
                queued.item
            })
            .collect();
        self.items.retain(|queued| queued.sends < SEND_TIMES.len());
        taken
    }
}
