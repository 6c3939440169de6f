//! What hosts tell one another of their reach.

use serde::Deserialize;
use serde::Serialize;

/// Reach of one host, part of its load reports. Services and upstreams are given by their tags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReachNotice {
    /// Services that the host reaches and takes detours for.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub reached: Vec<u32>,
    /// Services from which the host is stranded.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub stranded: Vec<u32>,
    /// Whether callers should rather use other hosts.
    #[serde(rename = "a", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_stranded: bool,
    /// Upstreams to which connections of the host have failed, and of which it asks whether others hear
    /// them.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub unreached: Vec<u32>,
    /// Upstreams of which other hosts ask, and that this one hears.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub heard: Vec<u32>,
}

impl ReachNotice {
    /// Whether the notice says something that other hosts have to know at once, after `before`. That an
    /// upstream is heard no more is not: it is no longer said, and so forgotten.
    pub(crate) fn is_news_after(&self, before: &Self) -> bool {
        let is_heard_anew = |tag: &u32| !before.heard.contains(tag);
        self.reached != before.reached
            || self.stranded != before.stranded
            || self.is_stranded != before.is_stranded
            || self.unreached != before.unreached
            || self.heard.iter().any(is_heard_anew)
    }
}
