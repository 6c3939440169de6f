//! Placement of work where upstreams have limits of requests a second.
//!
//! Answers a load that the upstreams without a limit can't carry alone, or only at its peaks. A limit
//! counts requests, however long they run. Batch items, which run for seconds, therefore go to the limited
//! upstreams first, and online requests, which are many and short, to the others. Online requests
//! go to a limited upstream where all others are full, and as tests whether the limit still holds.

use std::time::Duration;

use tokio::time::Instant;

use crate::balancer::state::BalancerKey;
use crate::limits::GrantState;

/// Longest time for which a batch item waits for a grant rather than start at an upstream without a
/// limit, where online requests would preempt it: each further run might need a grant.
const MAX_ITEM_WAIT: Duration = Duration::from_secs(2);

/// An upstream that may take a piece of work.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PlacementCandidate {
    pub(crate) key: BalancerKey,
    /// Whether a slot is free there.
    pub(crate) has_free_slot: bool,
    /// Whether a request may be sent there; `None` without a limit.
    pub(crate) grant: Option<GrantState>,
    /// Whether the next request that this host may send there has to test if the limit still holds.
    pub(crate) is_test_due: bool,
}

impl PlacementCandidate {
    fn is_limited_with(&self, grant: GrantState) -> bool {
        self.has_free_slot && self.grant == Some(grant)
    }
}

/// Where a piece of work goes.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Placement {
    /// Upstreams that may take the work now.
    pub(crate) among: Vec<BalancerKey>,
    /// Limited upstreams at which to ask for a grant, for this work or the next.
    pub(crate) asks: Vec<BalancerKey>,
}

/// Places an online request. `candidates` are in the order of preference; with `may_wait`, the request
/// waits for a grant that can be had rather than for a slot.
pub(crate) fn place_online(candidates: &[PlacementCandidate], may_wait: bool) -> Placement {
    let keys = |condition: &dyn Fn(&PlacementCandidate) -> bool| -> Vec<BalancerKey> {
        let chosen = candidates.iter().filter(|candidate| condition(candidate));
        chosen.map(|candidate| candidate.key).collect()
    };
    let is_granted = |candidate: &PlacementCandidate| candidate.is_limited_with(GrantState::Ready);
    let tests = keys(&|candidate| candidate.is_test_due && is_granted(candidate));
    if !tests.is_empty() {
        return Placement {
            among: tests,
            asks: Vec::new(),
        };
    }
    let free = keys(&|candidate| candidate.grant.is_none() && candidate.has_free_slot);
    if !free.is_empty() {
        return Placement {
            among: free,
            asks: Vec::new(),
        };
    }
    let granted = keys(&is_granted);
    if !granted.is_empty() {
        return Placement {
            among: granted,
            asks: Vec::new(),
        };
    }
    let asks = next_ask(candidates);
    let is_expected = candidates
        .iter()
        .any(|candidate| candidate.is_limited_with(GrantState::Expected));
    let waits = may_wait && (is_expected || !asks.is_empty());
    Placement {
        among: keys(&|candidate| candidate.grant.is_none() && !waits),
        asks,
    }
}

/// Places a batch item. `candidates` are in the order of preference; `has_spare_slots` tells whether
/// upstreams without a limit have so much room that the item will hardly be preempted there: its next
/// run might need a grant.
pub(crate) fn place_item(
    candidates: &[PlacementCandidate],
    has_spare_slots: bool,
    now: Instant,
) -> Placement {
    let with = |grant| {
        let chosen = candidates
            .iter()
            .filter(move |candidate| candidate.is_limited_with(grant));
        chosen.map(|candidate| candidate.key)
    };
    let granted: Vec<BalancerKey> = with(GrantState::Ready).collect();
    if !granted.is_empty() {
        return Placement {
            among: granted,
            asks: Vec::new(),
        };
    }
    let asks = next_ask(candidates);
    if !asks.is_empty() || with(GrantState::Expected).next().is_some() {
        return Placement {
            among: Vec::new(),
            asks,
        };
    }
    let is_soon = |candidate: &PlacementCandidate| match candidate.grant {
        Some(GrantState::Denied(until)) => candidate.has_free_slot && until <= now + MAX_ITEM_WAIT,
        _ => false,
    };
    let waits = !has_spare_slots || candidates.iter().any(is_soon);
    let unlimited = candidates
        .iter()
        .filter(|candidate| !waits && candidate.grant.is_none() && candidate.has_free_slot);
    Placement {
        among: unlimited.map(|candidate| candidate.key).collect(),
        asks: Vec::new(),
    }
}

/// The upstream at which to ask for a grant. A host asks for one at a time, as the others may be
/// granted too, and a grant that is not used is lost.
fn next_ask(candidates: &[PlacementCandidate]) -> Vec<BalancerKey> {
    let is_expected =
        |candidate: &PlacementCandidate| candidate.grant == Some(GrantState::Expected);
    if candidates.iter().any(is_expected) {
        return Vec::new();
    }
    let mut open = candidates
        .iter()
        .filter(|candidate| candidate.is_limited_with(GrantState::Open));
    open.next()
        .map(|candidate| candidate.key)
        .into_iter()
        .collect()
}
