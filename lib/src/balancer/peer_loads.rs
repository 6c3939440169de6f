//! Work that the other hosts run at upstreams, according to their load reports.

use std::time::Duration;

use tokio::time::Instant;

use crate::balancer::report::HostLoadReport;
use crate::balancer::report::UpstreamLoad;
use crate::balancer::report::is_same_work;
use crate::balancer::waiting::ItemUrgency;
use crate::balancer::waiting::WaitingItems;
use crate::collections::HashMap;
use crate::fairness::FlowKey;
use crate::fairness::FlowLoad;
use crate::ids::WorkClass;

/// Time after which the work in a host's last report is dropped.
const REPORT_TTL: Duration = Duration::from_millis(1_000);
/// Earlier processes of a host whose late reports are recognised.
const MAX_EARLIER_PROCESSES: usize = 4;

/// Numbers of running online requests and batch items at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct WorkCount {
    pub(crate) online: u32,
    pub(crate) batch: u32,
}

impl WorkCount {
    pub(crate) fn count_mut(&mut self, class: WorkClass) -> &mut u32 {
        match class {
            WorkClass::Online => &mut self.online,
            WorkClass::Batch => &mut self.batch,
        }
    }

    pub(crate) fn total(self) -> u32 {
        self.online + self.batch
    }

    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            online: self.online + other.online,
            batch: self.batch + other.batch,
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            online: self.online.saturating_sub(other.online),
            batch: self.batch.saturating_sub(other.batch),
        }
    }
}

impl From<&UpstreamLoad> for WorkCount {
    fn from(load: &UpstreamLoad) -> Self {
        Self {
            online: u32::from(load.1),
            batch: u32::from(load.2),
        }
    }
}

#[derive(Debug)]
struct PeerLoad {
    incarnation: u64,
    sequence: u64,
    /// Incarnations of the host's processes that reported before this one, the last one first.
    earlier: Vec<u64>,
    received_at: Instant,
    loads: Vec<UpstreamLoad>,
    waiting: Vec<WaitingItems>,
    flows: Vec<FlowLoad>,
}

impl PeerLoad {
    /// Incarnations of the processes before the one that reports now, `incarnation`.
    fn earlier_for(&self, incarnation: u64) -> Vec<u64> {
        let mut earlier = self.earlier.clone();
        if self.incarnation != incarnation {
            earlier.insert(0, self.incarnation);
            earlier.truncate(MAX_EARLIER_PROCESSES);
        }
        earlier
    }
}

/// Work of all other hosts that report to this one.
///
/// Guarantees that the sums by upstream equal those of the last report of each host. The cost of
/// applying a report grows with the size of that report and of the one that it replaces, not with
/// the number of hosts.
#[derive(Debug, Default)]
pub(crate) struct PeerLoads {
    peers: HashMap<String, PeerLoad>,
    /// Work of all these hosts by tag of the upstream; upstreams without work are left out.
    sums: HashMap<u32, WorkCount>,
    /// When a report last marked the upstream with this tag as active.
    last_progress: HashMap<u32, Instant>,
}

impl PeerLoads {
    /// Number of hosts whose reports have not expired.
    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }

    /// Work of the other hosts at the upstream with `tag`.
    pub(crate) fn work_at(&self, tag: u32) -> WorkCount {
        self.sums.get(&tag).copied().unwrap_or_default()
    }

    /// When a report last said that the upstream with `tag` sent another host a part of an answer.
    pub(crate) fn last_progress(&self, tag: u32) -> Option<Instant> {
        self.last_progress.get(&tag).copied()
    }

    /// Arrival time of the oldest report that is counted; `None` without any.
    pub(crate) fn oldest_report(&self) -> Option<Instant> {
        self.peers.values().map(|peer| peer.received_at).min()
    }

    /// Number of batch items and name of each host that has any at the upstream with `tag`.
    pub(crate) fn batch_holders(&self, tag: u32) -> impl Iterator<Item = (u32, &str)> {
        self.peers.iter().filter_map(move |(name, peer)| {
            let load = peer.loads.iter().find(|load| load.0 == tag)?;
            (load.2 > 0).then_some((u32::from(load.2), name.as_str()))
        })
    }

    /// Number of items of the service with `tag` that wait at other hosts and come before an item
    /// of `urgency` at the host `own`: the more urgent ones, and equal ones at hosts with a lower
    /// name. `weight` is the share of a host's items that competes for the upstreams of `own`.
    pub(crate) fn items_before(
        &self,
        tag: u32,
        urgency: ItemUrgency,
        own: &str,
        weight: impl Fn(&str) -> f64,
        now: Instant,
    ) -> u32 {
        let items = self.peers.iter().map(|(host, peer)| {
            let age = now - peer.received_at;
            let groups = peer.waiting.iter();
            let is_first = host.as_str() < own;
            let count: u32 = groups
                .map(|group| group.before(tag, urgency, age, is_first))
                .sum();
            match count {
                0 => 0.0,
                count => f64::from(count) * weight(host),
            }
        });
        items.sum::<f64>().round() as u32
    }

    /// Adds the online requests of the other hosts to `counts`, by flow. `weight` is the share of a host's
    /// requests that competes for the upstreams of this one.
    pub(crate) fn add_flows(
        &self,
        counts: &mut HashMap<FlowKey, f64>,
        weight: impl Fn(&str) -> f64,
    ) {
        for (host, peer) in &self.peers {
            if peer.flows.is_empty() {
                continue;
            }
            let weight = weight(host);
            if weight <= 0.0 {
                continue;
            }
            for load in &peer.flows {
                *counts.entry(load.key()).or_default() += f64::from(load.count()) * weight;
            }
        }
    }

    /// Whether a report of this process of `host` is counted.
    pub(crate) fn knows(&self, host: &str, incarnation: u64) -> bool {
        let peer = self.peers.get(host);
        peer.is_some_and(|peer| peer.incarnation == incarnation)
    }

    /// Whether the last known report of the same host is as new as `report`, or newer. Datagrams
    /// may be duplicated or reordered.
    ///
    /// Incarnations have no order, as the host's clock may have been set back before its restart: the
    /// process from which a report arrives first is the earlier one.
    pub(crate) fn is_stale(&self, report: &HostLoadReport) -> bool {
        self.peers.get(&report.host).is_some_and(|known| {
            match known.incarnation == report.incarnation {
                true => known.sequence >= report.sequence,
                false => known.earlier.contains(&report.incarnation),
            }
        })
    }

    /// Replaces the last report of a host by a newer one. Returns whether any of its work changed.
    pub(crate) fn apply(&mut self, report: HostLoadReport, now: Instant) -> bool {
        for load in &report.loads {
            let sum = self.sums.entry(load.0).or_default();
            *sum = sum.plus(load.into());
            if load.3 {
                self.last_progress.insert(load.0, now);
            }
        }
        let known = self.peers.remove(&report.host);
        let earlier = known
            .as_ref()
            .map_or_else(Vec::new, |known| known.earlier_for(report.incarnation));
        let before = known.map_or_else(Vec::new, |peer| peer.loads);
        self.subtract(&before);
        let has_changed = !is_same_work(&before, &report.loads);
        let peer = PeerLoad {
            incarnation: report.incarnation,
            sequence: report.sequence,
            earlier,
            received_at: now,
            loads: report.loads,
            waiting: report.waiting,
            flows: report.flows,
        };
        self.peers.insert(report.host, peer);
        has_changed
    }

    /// Drops the work of hosts that have not reported for [`REPORT_TTL`].
    pub(crate) fn expire_reports(&mut self, now: Instant) {
        let is_expired = |peer: &PeerLoad| now - peer.received_at >= REPORT_TTL;
        let mut expired = Vec::new();
        self.peers.retain(|_, peer| {
            if is_expired(peer) {
                expired.append(&mut peer.loads);
            }
            !is_expired(peer)
        });
        self.subtract(&expired);
        self.last_progress.retain(|_, at| now - *at < REPORT_TTL);
    }

    fn subtract(&mut self, loads: &[UpstreamLoad]) {
        for load in loads {
            if let Some(sum) = self.sums.get_mut(&load.0) {
                *sum = sum.minus(load.into());
                if sum.total() == 0 {
                    self.sums.remove(&load.0);
                }
            }
        }
    }
}
