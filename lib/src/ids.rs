//! Identifiers that several modules share.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Defines an immutable string identifier whose clones share one allocation.
macro_rules! string_id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `value` without validating it.
            pub fn new(value: impl AsRef<str>) -> Self {
                Self(Arc::from(value.as_ref()))
            }

            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }
    };
}

string_id!(
    /// Name of an entry host, unique in the fleet.
    HostId
);
string_id!(
    /// Name of a data centre, as hosts and upstreams are configured with it.
    DataCentre
);
string_id!(
    /// Name of a workspace of a member.
    WorkspaceName
);
string_id!(
    /// Name of a template from which workspaces are created.
    TemplateName
);
string_id!(
    /// Name of a model, as callers give it in requests.
    ModelName
);
string_id!(
    /// Name of an upstream (an engine or a service instance), unique in the fleet.
    UpstreamId
);
string_id!(
    /// Name of a service whose requests are relayed without being interpreted.
    ServiceName
);
string_id!(
    /// Version of the software that an upstream runs, not of the weights that it serves.
    SoftwareVersion
);
string_id!(
    /// Identifier of one request, the same on all hosts that handle it.
    RequestId
);
string_id!(
    /// Identifier of a batch job.
    JobId
);
string_id!(
    /// Identifier of a file that a caller uploaded, or that holds the results of a batch job.
    FileId
);

impl RequestId {
    /// Returns a random identifier, made by [`random_id`] with the prefix `req`.
    pub fn random() -> Self {
        Self::new(random_id("req"))
    }
}

/// Returns `prefix`, an underscore and 96 random bits in hexadecimal.
pub fn random_id(prefix: &str) -> String {
    let bytes: [u8; 12] = rand::random();
    format!("{prefix}_{}", hex::encode(bytes))
}

/// Revision of the accepted terms. Revisions only increase; 0 means that no terms are known.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Priority class of a request.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumIter,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum WorkClass {
    /// A caller is waiting for the answer.
    Online,
    /// An item of a batch job, which runs on spare capacity only.
    Batch,
}

/// One incarnation of an upstream: the process from a start to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamIncarnation(
    /// Tag of the upstream, see [`upstream_tag`](crate::balancer::upstream_tag).
    pub u32,
    /// Start time of the process, in milliseconds since the Unix epoch.
    pub u64,
);

/// Text of the version of an upstream whose entry is out of date.
const UNKNOWN_VERSION: &str = "?";

impl SoftwareVersion {
    /// The version of an upstream that has restarted since its entry was written. Nothing goes on at it.
    pub fn unknown() -> Self {
        Self::new(UNKNOWN_VERSION)
    }

    /// Whether this is the version of an upstream whose entry is out of date.
    pub fn is_unknown(&self) -> bool {
        self.as_str() == UNKNOWN_VERSION
    }
}
