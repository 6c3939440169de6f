//! What hosts tell one another about the versions at which streams began, and about the runs of them.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::ids::RequestId;
use crate::ids::SoftwareVersion;

/// Hash of the identifier of the request that began a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamTag(pub u64);

impl StreamTag {
    /// The tag of the stream that the request `id` began.
    pub fn new(id: &RequestId) -> Self {
        Self(xxh3_64(id.as_str().as_bytes()))
    }

    /// Position on the ring of hosts, from 0 to 1, near which the registrars of the stream are.
    pub fn position(self) -> f64 {
        self.0 as f64 / u64::MAX as f64
    }
}

/// The version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin(
    /// The stream.
    pub StreamTag,
    /// The version of the upstream that sent its first event.
    pub SoftwareVersion,
);

/// Hash of the name of a host.
///
/// If the tags of two hosts collide, one of them may be told of a stream that it doesn't run, and the
/// other one is not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HostTag(pub u32);

impl HostTag {
    /// The tag of the host with this name.
    pub fn new(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// One run of a stream: from its start, or from a take-up to the next one. A greater run is a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamRun {
    /// Number that is greater than those of the runs before; 0 for the run that began the stream.
    #[serde(rename = "n")]
    pub turn: u64,
    /// Hash of the identifier of the caller's attempt, which tells two runs with one number apart.
    #[serde(rename = "a")]
    pub attempt: u64,
}

impl StreamRun {
    /// The run that began a stream.
    pub fn first(tag: StreamTag) -> Self {
        Self {
            turn: 0,
            attempt: tag.0,
        }
    }

    /// A run of the attempt `id` that follows `before`, the latest known one, at `now_ms`, in milliseconds
    /// since the Unix epoch. The time tells it from runs that are not known here.
    pub fn following(before: Option<Self>, id: &RequestId, now_ms: u64) -> Self {
        let least = before.map_or(1, |before| before.turn.saturating_add(1));
        Self {
            turn: least.max(now_ms),
            attempt: StreamTag::new(id).0,
        }
    }
}

/// Host of a run of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamHolder {
    /// The host.
    pub host: HostTag,
    /// The run.
    pub run: StreamRun,
}

/// Tells registrars of streams that have begun or were taken up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginNotice {
    /// The streams.
    #[serde(rename = "o")]
    pub origins: Vec<StreamOrigin>,
    /// Host that runs them; `None` from hosts of an earlier release.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub host: Option<HostTag>,
    /// Run there, if it is not the one that began the stream.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub run: Option<StreamRun>,
}

impl OriginNotice {
    /// Holder of the stream `tag` of this notice.
    pub(crate) fn holder(&self, tag: StreamTag) -> Option<StreamHolder> {
        let run = self.run.unwrap_or_else(|| StreamRun::first(tag));
        self.host.map(|host| StreamHolder { host, run })
    }
}

/// Tells a host that ran a stream, or took it up, of a later run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeUpNotice {
    /// The stream.
    #[serde(rename = "t")]
    pub tag: StreamTag,
    /// Host of the later run.
    #[serde(rename = "h")]
    pub host: HostTag,
    /// The later run.
    #[serde(rename = "r")]
    pub run: StreamRun,
}

impl TakeUpNotice {
    /// Tells of the run that `holder` has.
    pub(crate) fn new(tag: StreamTag, holder: StreamHolder) -> Self {
        Self {
            tag,
            host: holder.host,
            run: holder.run,
        }
    }

    pub(crate) fn holder(&self) -> StreamHolder {
        StreamHolder {
            host: self.host,
            run: self.run,
        }
    }
}

/// Confirms a [`TakeUpNotice`], to the host of the later run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TakeUpReply {
    /// The later run.
    #[serde(rename = "r")]
    pub run: StreamRun,
    /// Whether a run was ended for it.
    #[serde(rename = "e")]
    pub has_ended: bool,
}

/// Asks a registrar at which version a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuery {
    /// The stream.
    #[serde(rename = "t")]
    pub tag: StreamTag,
}

/// Reply to an [`OriginQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginReply {
    /// The stream.
    #[serde(rename = "t")]
    pub tag: StreamTag,
    /// Name of the registrar.
    #[serde(rename = "h")]
    pub host: String,
    /// The version; `None` if the registrar doesn't know the stream.
    #[serde(rename = "v")]
    pub version: Option<SoftwareVersion>,
    /// Digest of the versions that serve as the registrar sees it; `None` from hosts of an earlier
    /// release.
    #[serde(rename = "d", default)]
    pub serving: Option<u64>,
    /// Host of the latest run that the registrar knows.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub holder: Option<HostTag>,
    /// That run.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub run: Option<StreamRun>,
}

impl OriginReply {
    /// Holder of the latest run that the registrar knows.
    pub(crate) fn holder(&self) -> Option<StreamHolder> {
        let (host, run) = (self.holder?, self.run?);
        Some(StreamHolder { host, run })
    }
}
