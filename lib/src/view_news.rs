//! Changes of views that a host tells all others, so that these need no watches of their own.
//!
//! Each message names the revision after which it has all changes, so that a receiver notices a gap. It
//! is authenticated with the shared secret of the hosts, and sent in parts that fit into datagrams.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use hmac::Hmac;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use sha2::Sha256;
use tokio::time::Instant;

use crate::edges::kv::KvChange;
use crate::edges::kv::KvEntry;
use crate::edges::kv::KvVersion;
use crate::view_monitor::ViewKind;
use crate::view_monitor::ViewNotice;

/// Size in bytes of the part of a message in one datagram.
const PART_BYTES: usize = 8 * 1024;
/// Most parts of one message; larger ones are not told.
const MAX_PARTS: usize = 16;
/// Messages of which parts are kept until the rest arrives.
const MAX_INCOMPLETE: usize = 4;
/// Time for which changes are repeated in further messages, as datagrams may be lost.
const REPEAT_TIME: Duration = Duration::from_secs(2);
/// Most bytes of changes that are told to all hosts. Each teller sends them to each host, which would fill
/// its link; larger ones are told to hosts that ask for them.
const MAX_TOLD_BYTES: usize = 6 * 1024;
/// Time and bytes for which changes are kept for hosts that ask for them.
const KEEP_TIME: Duration = Duration::from_secs(20);
const MAX_KEPT_BYTES: usize = 256 * 1024;
const MAC_LABEL: &[u8] = b"parsleywall view news\0";

/// Changes of a view, as one host tells others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewNews {
    /// State of the sender's view.
    #[serde(rename = "n")]
    pub notice: ViewNotice,
    /// Revision after which `changes` are all changes up to that of the notice.
    #[serde(rename = "b")]
    pub after: KvVersion,
    /// Changes in the order of their revisions; of several to one key the last one, at least.
    #[serde(rename = "e")]
    pub changes: Vec<ToldChange>,
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldChange {
    /// Full name of the key.
    #[serde(rename = "k")]
    pub key: String,
    /// Revision of the change; not 0.
    #[serde(rename = "r")]
    pub version: KvVersion,
    /// The value that was written; `None` if the key was deleted.
    #[serde(rename = "v", default)]
    pub value: Option<serde_bytes::ByteBuf>,
}

impl From<&KvChange> for ToldChange {
    fn from(change: &KvChange) -> Self {
        match change {
            KvChange::Put(entry) => Self {
                key: entry.key.clone(),
                version: entry.version,
                value: Some(serde_bytes::ByteBuf::from(entry.value.to_vec())),
            },
            KvChange::Deleted { key, version } => Self {
                key: key.clone(),
                version: *version,
                value: None,
            },
        }
    }
}

impl From<ToldChange> for KvChange {
    fn from(told: ToldChange) -> Self {
        match told.value {
            Some(value) => Self::Put(KvEntry {
                key: told.key,
                value: Bytes::from(value.into_vec()),
                version: told.version,
            }),
            None => Self::Deleted {
                key: told.key,
                version: told.version,
            },
        }
    }
}

/// One part of an encoded [`ViewNews`], for one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewsPart {
    /// Random number of the message.
    #[serde(rename = "i")]
    message: u64,
    /// Number of this part, from 0.
    #[serde(rename = "p")]
    part: u32,
    /// Number of parts.
    #[serde(rename = "q")]
    parts: u32,
    #[serde(rename = "d")]
    body: serde_bytes::ByteBuf,
    /// Proof that a host that knows the shared secret sent this part.
    #[serde(rename = "m")]
    mac: serde_bytes::ByteBuf,
}

impl NewsPart {
    fn new(secret: &str, message: u64, part: u32, parts: u32, body: &[u8]) -> Self {
        let part = Self {
            message,
            part,
            parts,
            body: serde_bytes::ByteBuf::from(body.to_vec()),
            mac: serde_bytes::ByteBuf::new(),
        };
        let mac = part.authentication(secret).finalize().into_bytes();
        Self {
            mac: serde_bytes::ByteBuf::from(mac.to_vec()),
            ..part
        }
    }

    fn authentication(&self, secret: &str) -> Hmac<Sha256> {
        let mut mac =
            Hmac::new_from_slice(secret.as_bytes()).expect("HMAC takes keys of any length");
        mac.update(MAC_LABEL);
        mac.update(&self.message.to_be_bytes());
        mac.update(&self.part.to_be_bytes());
        mac.update(&self.parts.to_be_bytes());
        mac.update(&self.body);
        mac
    }

    fn is_authentic(&self, secret: &str) -> bool {
        let mac = self.authentication(secret);
        mac.verify_slice(&self.mac).is_ok()
    }
}

/// Encodes `news` in authenticated parts; none if it is too large to be told.
pub fn encode_news(news: &ViewNews, secret: &str, message: u64) -> Vec<NewsPart> {
    let mut bytes = Vec::new();
    ciborium::into_writer(news, &mut bytes).expect("messages serialize to CBOR");
    let parts = bytes.len().div_ceil(PART_BYTES);
    if parts > MAX_PARTS {
        return Vec::new();
    }
    let bodies = bytes.chunks(PART_BYTES).enumerate();
    bodies
        .map(|(part, body)| NewsPart::new(secret, message, part as u32, parts as u32, body))
        .collect()
}

/// Parts of messages that have not arrived in full.
#[derive(Debug, Default)]
pub struct NewsAssembly {
    incomplete: VecDeque<IncompleteNews>,
}

#[derive(Debug)]
struct IncompleteNews {
    message: u64,
    bodies: Vec<Option<Vec<u8>>>,
    /// Time before which no part had arrived.
    arrived: Instant,
}

impl NewsAssembly {
    /// Adds a part that arrived at `arrived` or later. Returns the message once all of its parts have, with
    /// the time of the first one. Parts that nobody with `secret` made are ignored.
    pub fn add(
        &mut self,
        part: NewsPart,
        secret: &str,
        arrived: Instant,
    ) -> Option<(ViewNews, Instant)> {
        let (number, parts) = (part.part as usize, part.parts as usize);
        if number >= parts || parts > MAX_PARTS || !part.is_authentic(secret) {
            return None;
        }
        let is_same =
            |news: &IncompleteNews| news.message == part.message && news.bodies.len() == parts;
        let index = match self.incomplete.iter().position(is_same) {
            Some(index) => index,
            None => {
                if self.incomplete.len() >= MAX_INCOMPLETE {
                    self.incomplete.pop_front();
                }
                self.incomplete.push_back(IncompleteNews {
                    message: part.message,
                    bodies: vec![None; parts],
                    arrived,
                });
                self.incomplete.len() - 1
            }
        };
        let news = &mut self.incomplete[index];
        news.bodies[number] = Some(part.body.into_vec());
        if news.bodies.iter().any(Option::is_none) {
            return None;
        }
        let news = self.incomplete.remove(index)?;
        let bytes: Vec<u8> = news.bodies.into_iter().flatten().flatten().collect();
        let decoded = ciborium::from_reader(bytes.as_slice()).ok()?;
        Some((decoded, news.arrived))
    }
}

/// The last changes of a view, without gaps.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Revision after which `changes` are all changes up to `as_of`.
    after: KvVersion,
    as_of: KvVersion,
    changes: VecDeque<LoggedChange>,
    bytes: usize,
}

#[derive(Debug)]
struct LoggedChange {
    change: ToldChange,
    at: Instant,
}

impl LoggedChange {
    fn bytes(&self) -> usize {
        let value = self.change.value.as_ref();
        self.change.key.len() + value.map_or(0, |value| value.len())
    }
}

impl ChangeLog {
    /// Forgets all changes, as those up to `as_of` are not known.
    pub fn reset(&mut self, as_of: KvVersion) {
        self.changes.clear();
        self.bytes = 0;
        self.after = as_of;
        self.as_of = as_of;
    }

    /// Adds all changes after `after` up to `as_of`.
    pub fn add(&mut self, after: KvVersion, as_of: KvVersion, changes: &[KvChange], now: Instant) {
        let is_complete = changes
            .iter()
            .all(|change| change.version() != KvVersion(0));
        if !is_complete || as_of < after {
            return self.reset(as_of);
        }
        if after != self.as_of {
            self.reset(after);
        }
        self.as_of = as_of;
        self.drop_old(now);
        for change in changes {
            let logged = LoggedChange {
                change: ToldChange::from(change),
                at: now,
            };
            self.bytes += logged.bytes();
            self.changes.push_back(logged);
        }
    }

    /// Drops changes that no host should still ask for.
    fn drop_old(&mut self, now: Instant) {
        while let Some(oldest) = self.changes.front()
            && (now - oldest.at >= KEEP_TIME || self.bytes > MAX_KEPT_BYTES)
        {
            self.bytes -= oldest.bytes();
            self.after = oldest.change.version;
            self.changes.pop_front();
        }
    }

    /// News for all other hosts beside `notice`; `None` if there has been no change lately, or only large
    /// ones.
    pub fn news(&self, notice: ViewNotice, now: Instant) -> Option<ViewNews> {
        let mut bytes = 0;
        let recent = self.changes.iter().rev().take_while(|logged| {
            bytes += logged.bytes();
            now - logged.at < REPEAT_TIME && bytes <= MAX_TOLD_BYTES
        });
        let first = self.changes.len() - recent.count();
        // The newest change has to be among them.
        if first == self.changes.len() {
            return None;
        }
        let before = first.checked_sub(1).and_then(|last| self.changes.get(last));
        let after = before.map_or(self.after, |logged| logged.change.version);
        self.news_after(notice, after)
    }

    /// All changes after `after`; `None` if they are not known.
    pub fn news_after(&self, notice: ViewNotice, after: KvVersion) -> Option<ViewNews> {
        if notice.as_of != self.as_of || after < self.after {
            return None;
        }
        let changes = self.changes.iter().map(|logged| &logged.change);
        let changes = changes.filter(|change| change.version > after);
        Some(ViewNews {
            notice,
            after,
            changes: changes.cloned().collect(),
        })
    }
}

/// Question of a host that lacks changes and can't read them, to one that has told that there are some.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewQuery {
    /// What the host follows.
    #[serde(rename = "v")]
    pub view: ViewKind,
    /// Revision after which it lacks changes.
    #[serde(rename = "b")]
    pub after: KvVersion,
}
