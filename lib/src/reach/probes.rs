//! Which upstreams to connect to, without a request, to find out whether this host reaches them.

use std::time::Duration;

use tokio::time::Instant;

use crate::balancer::upstream_tag;
use crate::collections::HashMap;
use crate::reach::table::ProbeTarget;

/// Probes that may be sent at once.
const PROBE_BURST: u32 = 3;
/// Interval in which one more may be sent.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Shortest interval between two probes of one upstream.
const TARGET_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which a probe without a result is taken as lost.
const RESULT_TIME: Duration = Duration::from_secs(1);

/// Bounds the probes of one host: new connections cost the upstreams something.
#[derive(Debug)]
pub(crate) struct ProbeBudget {
    left: u32,
    /// When the last of the unused probes was added; `None` while none is used.
    refilled_at: Option<Instant>,
    /// When each upstream, by its tag, was last probed.
    probed_at: HashMap<u32, Instant>,
    in_flight: HashMap<u32, Instant>,
}

impl Default for ProbeBudget {
    fn default() -> Self {
        Self {
            left: PROBE_BURST,
            refilled_at: None,
            probed_at: HashMap::default(),
            in_flight: HashMap::default(),
        }
    }
}

impl ProbeBudget {
    fn refill(&mut self, now: Instant) {
        while let Some(at) = self.refilled_at
            && now - at >= PROBE_INTERVAL
        {
            self.left += 1;
            self.refilled_at = (self.left < PROBE_BURST).then(|| at + PROBE_INTERVAL);
        }
        self.in_flight.retain(|_, at| now - *at < RESULT_TIME);
        self.probed_at.retain(|_, at| now - *at < RESULT_TIME * 10);
    }

    /// Lets as many probes be sent as at first, as the state has just changed.
    pub(crate) fn renew(&mut self) {
        self.left = PROBE_BURST;
        self.refilled_at = None;
    }

    /// Takes from `targets` those that may be probed now, `count` at most: the ones that were not probed
    /// for the longest time first, and else in their order.
    pub(crate) fn take<'a>(
        &mut self,
        targets: impl Iterator<Item = &'a ProbeTarget>,
        count: usize,
        now: Instant,
    ) -> Vec<ProbeTarget> {
        self.refill(now);
        let mut due: Vec<(Option<Instant>, u32, &ProbeTarget)> = targets
            .map(|target| (upstream_tag(&target.id), target))
            .filter(|(tag, _)| !self.in_flight.contains_key(tag))
            .map(|(tag, target)| (self.probed_at.get(&tag).copied(), tag, target))
            .filter(|(at, ..)| at.is_none_or(|at| now - at >= TARGET_INTERVAL))
            .collect();
        due.sort_by_key(|(at, ..)| *at);
        due.truncate(count.min(self.left as usize));
        let taken = due.into_iter().map(|(_, tag, target)| {
            self.left -= 1;
            self.refilled_at.get_or_insert(now);
            self.probed_at.insert(tag, now);
            self.in_flight.insert(tag, now);
            target.clone()
        });
        taken.collect()
    }

    /// Records that the result of a probe is known.
    pub(crate) fn finish(&mut self, target: &ProbeTarget) {
        self.in_flight.remove(&upstream_tag(&target.id));
    }
}
