//! Flows: the requests of one workspace at one service and one priority of their routes.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::collections::HashMap;
use crate::ids::ServiceName;
use crate::ids::WorkspaceName;

/// Most flows that a load report lists, those with the most requests.
const MAX_REPORTED_FLOWS: usize = 128;

/// Hash of a workspace's name; callers without one are as one workspace with an empty name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkspaceTag(u32);

impl WorkspaceTag {
    /// Tag of the workspace called `name`; `None` stands for callers without one.
    pub fn new(name: Option<&WorkspaceName>) -> Self {
        let name = name.map_or("", WorkspaceName::as_str);
        Self(xxh3_64(name.as_bytes()) as u32)
    }

    /// Tag of this workspace at `service`.
    pub fn at(self, service: &ServiceName) -> FlowTag {
        FlowTag(self.0 ^ service_hash(service))
    }
}

/// Tag of a workspace at one service. If two collide, both count as one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowTag(u32);

impl FlowTag {
    /// Tag of the workspace, if the flow is one of `service`; that of no workspace otherwise.
    pub fn workspace(self, service: &ServiceName) -> WorkspaceTag {
        WorkspaceTag(self.0 ^ service_hash(service))
    }
}

fn service_hash(service: &ServiceName) -> u32 {
    xxh3_64(service.as_str().as_bytes()) as u32
}

/// One flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct FlowKey {
    /// Workspace and service.
    pub tag: FlowTag,
    /// Priority of the routes; zero is the highest, and lower ones than 255 count as 255.
    pub route_priority: u8,
}

impl FlowKey {
    /// Flow of the requests of `workspace` to `service` by routes of `route_priority`.
    pub fn new(workspace: WorkspaceTag, service: &ServiceName, route_priority: u32) -> Self {
        Self {
            tag: workspace.at(service),
            route_priority: route_priority.min(u32::from(u8::MAX)) as u8,
        }
    }
}

/// Requests of one flow that are under way at one host, in a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FlowLoad(
    /// Tag of the workspace at the service.
    u32,
    /// Priority of the routes.
    u8,
    /// Number of requests.
    u16,
);

impl FlowLoad {
    /// Load of `count` requests of the flow `key`.
    pub fn new(key: FlowKey, count: u32) -> Self {
        let count = count.min(u32::from(u16::MAX)) as u16;
        Self(key.tag.0, key.route_priority, count)
    }

    /// The flow.
    pub fn key(self) -> FlowKey {
        FlowKey {
            tag: FlowTag(self.0),
            route_priority: self.1,
        }
    }

    /// Number of requests.
    pub fn count(self) -> u32 {
        u32::from(self.2)
    }
}

/// Numbers of requests of each flow that are under way at one host.
#[derive(Clone, Debug, Default)]
pub struct FlowCounts {
    counts: HashMap<FlowKey, u32>,
}

impl FlowCounts {
    /// Counts a request that begins.
    pub fn begin(&mut self, key: FlowKey) {
        *self.counts.entry(key).or_default() += 1;
    }

    /// Ends the count of a request.
    pub fn end(&mut self, key: FlowKey) {
        if let Some(count) = self.counts.get_mut(&key) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.counts.remove(&key);
            }
        }
    }

    /// Flows with requests under way, and their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (FlowKey, u32)> {
        self.counts.iter().map(|(key, count)| (*key, *count))
    }

    /// The flows for a load report, sorted by flow.
    pub fn loads(&self) -> Vec<FlowLoad> {
        let mut counts: Vec<(FlowKey, u32)> = self.iter().collect();
        counts.sort_unstable_by_key(|(key, count)| (u32::MAX - count, *key));
        counts.truncate(MAX_REPORTED_FLOWS);
        counts.sort_unstable_by_key(|(key, _)| *key);
        let loads = counts.into_iter();
        loads
            .map(|(key, count)| FlowLoad::new(key, count))
            .collect()
    }
}
