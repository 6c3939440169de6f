//! Versions of each service that served lately.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::collections::HashMap;
use crate::ids::ServiceName;
use crate::ids::SoftwareVersion;

/// Time for which a version that no longer serves is kept.
const RETENTION_TIME: Duration = Duration::from_secs(120);
/// Time by which hosts may see later than others that a version no longer serves.
const VIEW_MARGIN: Duration = Duration::from_secs(5);

/// Whether a version of a service has ended to serve, with a mark of that end; `None` while it serves.
///
/// The mark is the time of day at which a host wrote it, in milliseconds since the Unix epoch. Hosts of
/// the earlier release take it for the time of the end. As clocks of hosts differ by any amount, this
/// release only tells one end from another by it.
type EndMark = Option<u64>;

/// Versions of each service that serve, or did so lately, as they are stored: in JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionHistory {
    services: BTreeMap<String, BTreeMap<String, EndMark>>,
}

impl VersionHistory {
    fn versions(&self) -> impl Iterator<Item = (&str, &str, EndMark)> {
        self.services.iter().flat_map(|(service, versions)| {
            let service = service.as_str();
            let versions = versions.iter();
            versions.map(move |(version, end)| (service, version.as_str(), *end))
        })
    }

    fn find(&self, service: &str, version: &str) -> Option<EndMark> {
        self.services.get(service)?.get(version).copied()
    }

    fn insert(&mut self, service: &str, version: &str, end: EndMark) {
        let versions = self.services.entry(service.to_owned()).or_default();
        versions.insert(version.to_owned(), end);
    }
}

/// Versions of each service as this host has seen them serve and end, by its own monotonic clock.
#[derive(Clone, Debug, Default)]
pub struct SeenVersions {
    /// When each version ended; `None` while it serves.
    services: BTreeMap<String, BTreeMap<String, Option<Instant>>>,
}

impl SeenVersions {
    /// Takes over the versions that serve now. Returns whether anything but the passage of time has
    /// changed.
    pub fn update(&mut self, serving: &[(ServiceName, SoftwareVersion)], now: Instant) -> bool {
        let mut has_changed = false;
        for (service, versions) in &mut self.services {
            for (version, end) in versions.iter_mut() {
                let serves = serving.iter().any(|(other, of)| {
                    other.as_str() == service.as_str() && of.as_str() == version.as_str()
                });
                let ended = (!serves).then(|| end.unwrap_or(now));
                has_changed |= ended != *end;
                *end = ended;
            }
            versions.retain(|_, end| is_kept(*end, now));
        }
        self.services.retain(|_, versions| !versions.is_empty());
        for (service, version) in serving {
            let versions = self.services.entry(service.to_string()).or_default();
            if !versions.contains_key(version.as_str()) {
                versions.insert(version.to_string(), None);
                has_changed = true;
            }
        }
        has_changed
    }

    /// Records that an upstream of an unknown version began a stream of `service`, so that no other version
    /// is the only one.
    pub fn note_unknown(&mut self, service: &ServiceName, now: Instant) {
        let versions = self.services.entry(service.to_string()).or_default();
        let unknown = SoftwareVersion::unknown();
        versions.insert(unknown.as_str().to_owned(), Some(now));
    }

    /// Digest of the versions that serve now; equal at hosts that see the same.
    pub fn serving_digest(&self) -> u64 {
        let mut text = String::new();
        for (service, versions) in &self.services {
            for (version, _) in versions.iter().filter(|(_, end)| end.is_none()) {
                for part in [service, version] {
                    text.push_str(part);
                    text.push('\n');
                }
            }
        }
        xxh3_64(text.as_bytes())
    }

    /// Adds the versions of `stored`, which was read at `now`. What isn't seen to serve may have served
    /// until then.
    pub fn add_stored(&mut self, stored: &VersionHistory, now: Instant) {
        for (service, version, _) in stored.versions() {
            let known = self.services.entry(service.to_owned()).or_default();
            let end = known.entry(version.to_owned()).or_insert(Some(now));
            *end = end.map(|_| now);
        }
    }

    /// The only version that can have begun a stream of `service` within the time `age` before now;
    /// `None` if there are several or none.
    pub fn sole_version(
        &self,
        service: &ServiceName,
        age: Duration,
        now: Instant,
    ) -> Option<SoftwareVersion> {
        let is_possible = |end: Instant| now.saturating_duration_since(end) <= age + VIEW_MARGIN;
        let versions = self.services.get(service.as_str())?;
        let mut possible = versions
            .iter()
            .filter(|(_, end)| end.is_none_or(is_possible));
        let (version, _) = possible.next()?;
        possible
            .next()
            .is_none()
            .then(|| SoftwareVersion::new(version))
    }

    /// The versions that serve or ended lately.
    fn kept(&self, now: Instant) -> impl Iterator<Item = (&str, &str, Option<Instant>)> {
        self.services.iter().flat_map(move |(service, versions)| {
            let kept = versions.iter().filter(move |(_, end)| is_kept(**end, now));
            kept.map(move |(version, end)| (service.as_str(), version.as_str(), *end))
        })
    }
}

fn is_kept(end: Option<Instant>, now: Instant) -> bool {
    end.is_none_or(|end| now.saturating_duration_since(end) < RETENTION_TIME)
}

/// What the stored history says, and since when this host knows that.
#[derive(Debug, Default)]
pub(crate) struct StoredVersions {
    since: HashMap<(String, String), (EndMark, Instant)>,
}

impl StoredVersions {
    /// Records that `stored` was read or written at `now`.
    pub(crate) fn note(&mut self, stored: &VersionHistory, now: Instant) {
        let mut before = std::mem::take(&mut self.since);
        for (service, version, end) in stored.versions() {
            let version = (service.to_owned(), version.to_owned());
            let known = before.remove(&version).filter(|(mark, _)| *mark == end);
            self.since.insert(version, known.unwrap_or((end, now)));
        }
    }

    /// The history to store, where `stored` is that of the last [`Self::note`]: what this host has `seen`,
    /// and what other hosts stored within the time for which versions are kept.
    pub(crate) fn merge(
        &self,
        seen: &SeenVersions,
        stored: &VersionHistory,
        now: Instant,
        now_ms: u64,
    ) -> VersionHistory {
        let mut merged = VersionHistory::default();
        for (service, version, end) in stored.versions() {
            if !self.is_expired(service, version, now) {
                merged.insert(service, version, end);
            }
        }
        for (service, version, end) in seen.kept(now) {
            let mark = match (end, stored.find(service, version)) {
                (None, _) => None,
                (Some(end), Some(Some(mark))) if !self.is_newer(service, version, end) => {
                    Some(mark)
                }
                (Some(_), _) => Some(now_ms),
            };
            merged.insert(service, version, mark);
        }
        merged
    }

    /// Whether the stored history has an end that this host has known for the time for which versions are
    /// kept, while the version hasn't served as this host has `seen`.
    pub(crate) fn has_expired(&self, seen: &SeenVersions, now: Instant) -> bool {
        let mut versions = self.since.keys();
        versions.any(|(service, version)| {
            let mut kept = seen.kept(now);
            self.is_expired(service, version, now)
                && !kept.any(|(of, name, _)| of == service && name == version)
        })
    }

    fn is_expired(&self, service: &str, version: &str, now: Instant) -> bool {
        let since = self.known_since(service, version);
        since.is_some_and(|since| now.saturating_duration_since(since) >= RETENTION_TIME)
    }

    /// Whether `end` is later than the stored one.
    fn is_newer(&self, service: &str, version: &str, end: Instant) -> bool {
        let since = self.known_since(service, version);
        since.is_none_or(|since| end > since)
    }

    fn known_since(&self, service: &str, version: &str) -> Option<Instant> {
        let key = (service.to_owned(), version.to_owned());
        self.since.get(&key).map(|(_, since)| *since)
    }
}
