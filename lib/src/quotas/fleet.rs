//! The hosts among which the authority of a workspace is drawn, as one host sees them.

use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::host_draw::draw_weight;
use crate::quotas::message::WorkspaceTag;

/// Number of successive questions without a reply after which a host is passed over.
const MAX_MISSES: u8 = 3;
/// Time for which a host that does not reply is passed over.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(1);
/// Number of hosts in the order of a workspace that may become its authority.
const HEIRS: usize = 4;
/// Number of workspaces whose orders are kept.
const MAX_ORDERS: usize = 16 * 1024;

/// The hosts of the fleet as one of them sees them at a moment.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetView {
    /// Names of the other hosts that may pace workspaces: registered, not leaving and not known to be
    /// silent.
    pub others: Vec<String>,
    /// Number of registered hosts, this one included.
    pub hosts: usize,
    /// Share of the fleet that this host is in contact with, from above 0 to 1.
    pub share: f64,
}

impl Default for FleetView {
    fn default() -> Self {
        Self {
            others: Vec::new(),
            hosts: 1,
            share: 1.0,
        }
    }
}

/// Key of a host within one process's [`QuotaFleet`]; never reused for another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct HostKey(u32);

impl HostKey {
    fn index(self) -> usize {
        self.0 as usize
    }
}

#[derive(Debug)]
struct HostRecord {
    name: String,
    misses: u8,
    passed_over_until: Option<Instant>,
}

/// The first hosts by weight for one workspace.
pub(crate) type HeirOrder = [Option<HostKey>; HEIRS];

/// The hosts of the fleet, and which of them reply.
#[derive(Debug)]
pub(crate) struct QuotaFleet {
    own: HostKey,
    hosts: Vec<HostRecord>,
    keys_by_name: HashMap<String, HostKey>,
    view: FleetView,
    /// Hosts that may pace workspaces, this one included.
    eligible: Vec<HostKey>,
    /// Orders among them.
    orders: HashMap<WorkspaceTag, HeirOrder>,
    /// Number of names whose weights were computed.
    weighed: u64,
}

impl QuotaFleet {
    /// Creates a fleet of the host `own` alone.
    pub(crate) fn new(own: &str) -> Self {
        let mut fleet = Self {
            own: HostKey(0),
            hosts: Vec::new(),
            keys_by_name: HashMap::default(),
            view: FleetView::default(),
            eligible: Vec::new(),
            orders: HashMap::default(),
            weighed: 0,
        };
        fleet.own = fleet.key(own);
        fleet.eligible.push(fleet.own);
        fleet
    }

    fn key(&mut self, name: &str) -> HostKey {
        if let Some(key) = self.keys_by_name.get(name) {
            return *key;
        }
        let key = HostKey(self.hosts.len() as u32);
        self.keys_by_name.insert(name.to_owned(), key);
        self.hosts.push(HostRecord {
            name: name.to_owned(),
            misses: 0,
            passed_over_until: None,
        });
        key
    }

    pub(crate) fn own(&self) -> HostKey {
        self.own
    }

    pub(crate) fn name(&self, key: HostKey) -> &str {
        &self.hosts[key.index()].name
    }

    /// Replaces what this host sees.
    pub(crate) fn set_view(&mut self, view: FleetView) {
        if view == self.view {
            return;
        }
        if view.others != self.view.others {
            self.eligible = view.others.iter().map(|name| self.key(name)).collect();
            self.eligible.push(self.own);
            self.orders.clear();
        }
        self.view = view;
    }

    /// Number of registered hosts, this one included.
    pub(crate) fn hosts(&self) -> usize {
        self.view.hosts.max(1)
    }

    /// Share of the fleet that this host is in contact with.
    pub(crate) fn share(&self) -> f64 {
        self.view.share
    }

    /// Number of weights that were computed up to now.
    pub(crate) fn weighed(&self) -> u64 {
        self.weighed
    }

    /// The first hosts by weight for the workspace `tag`.
    fn order(&mut self, tag: WorkspaceTag) -> HeirOrder {
        if let Some(order) = self.orders.get(&tag) {
            return *order;
        }
        let mut best: [Option<(u64, HostKey)>; HEIRS] = [None; HEIRS];
        for key in &self.eligible {
            let weight = draw_weight(&self.hosts[key.index()].name, tag.0);
            let mut inserted = (weight, *key);
            for place in &mut best {
                match place {
                    Some(other) if other.0 >= inserted.0 => {}
                    Some(other) => std::mem::swap(other, &mut inserted),
                    None => {
                        *place = Some(inserted);
                        break;
                    }
                }
            }
        }
        self.weighed += self.eligible.len() as u64;
        let order = best.map(|heir| heir.map(|(_, key)| key));
        if self.orders.len() >= MAX_ORDERS {
            self.orders.clear();
        }
        self.orders.insert(tag, order);
        order
    }

    /// Whether `host` comes first for the workspace `tag`.
    pub(crate) fn is_first(&mut self, host: HostKey, tag: WorkspaceTag) -> bool {
        self.order(tag)[0] == Some(host)
    }

    /// The first host for the workspace `tag` that replies, after `skipped`; `None` if there is none.
    pub(crate) fn authority(
        &mut self,
        tag: WorkspaceTag,
        skipped: Option<HostKey>,
        now: Instant,
    ) -> Option<HostKey> {
        let order = self.order(tag);
        let after = skipped.and_then(|key| order.iter().position(|heir| *heir == Some(key)));
        let start = after.map_or(0, |index| index + 1);
        let mut heirs = order[start..].iter().flatten();
        heirs.find(|key| !self.is_passed_over(**key, now)).copied()
    }

    fn is_passed_over(&self, key: HostKey, now: Instant) -> bool {
        let until = self.hosts[key.index()].passed_over_until;
        until.is_some_and(|until| now < until)
    }

    /// Records that a host did not reply in time.
    pub(crate) fn note_miss(&mut self, key: HostKey, now: Instant) {
        let host = &mut self.hosts[key.index()];
        host.misses = host.misses.saturating_add(1);
        if host.misses >= MAX_MISSES {
            host.passed_over_until = Some(now + UNRESPONSIVE_TIME);
        }
    }

    /// Records a reply of a host.
    pub(crate) fn note_reply(&mut self, key: HostKey) {
        let host = &mut self.hosts[key.index()];
        host.misses = 0;
        host.passed_over_until = None;
    }
}
