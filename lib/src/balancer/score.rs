//! Order of the upstreams that may take one piece of work.
//!
//! Answers upstreams of different speed, of which some fail, under loads from idle to full. What a
//! caller notices goes first: the expected time to the first event, a queue and failures included. Within
//! a difference that no caller notices, the upstream with the smaller part of its slots in use goes
//! first: with slots in use alike, an upstream gets work in proportion to its speed, and is not driven
//! full because it is the quickest.

use std::cmp::Ordering;
use std::time::Duration;

use crate::balancer::pace::PaceEstimate;
use crate::balancer::pace::ServiceLine;
use crate::ids::WorkClass;

/// Slots by which an upstream in the host's own data centre counts as less loaded.
const LOCAL_SLOT_BONUS: f64 = 0.5;
/// Difference of expected times, in milliseconds, that always decides; a smaller one decides with a
/// probability in proportion to it. A third of the shortest usual objective of 300 ms.
const NOTICED_MS: f64 = 100.0;
/// Factor by which an upstream may be slower than under less load without counting as fuller for it.
const USUAL_SLOWDOWN: f64 = 1.15;
/// Time that a failed attempt costs a request that may be sent again, in milliseconds.
const RETRY_COST_MS: f64 = 1_000.0;
/// Cost of a failed attempt after which a request is lost, in milliseconds.
const LOSS_COST_MS: f64 = 2_000.0;

/// What is known of a service when its upstreams are compared.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceInputs {
    /// Time to the first event over running requests; `None` while too little is known.
    pub(crate) line: Option<ServiceLine>,
    /// Mean time for which an online request holds its slot.
    pub(crate) slot_time: Duration,
}

/// What one upstream is judged by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScoreInputs {
    pub(crate) class: WorkClass,
    /// Online requests of all hosts at the upstream.
    pub(crate) online: u32,
    /// Requests and items of all hosts at the upstream.
    pub(crate) total: u32,
    pub(crate) slots: u32,
    /// Whether the upstream is in the host's own data centre.
    pub(crate) is_local: bool,
    /// Whether the work may be sent again if the attempt fails.
    pub(crate) may_repeat: bool,
    /// Pace and failures of the upstream.
    pub(crate) pace: PaceEstimate,
}

/// Rank of an upstream among others; the least is the best.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct UpstreamScore {
    /// Expected time in steps of [`NOTICED_MS`].
    delay_steps: u32,
    /// Part of the slots in use.
    used: f64,
}

impl UpstreamScore {
    /// Compares two scores that were made with the same dither.
    pub(crate) fn compare(self, other: Self) -> Ordering {
        let by_delay = self.delay_steps.cmp(&other.delay_steps);
        by_delay.then(self.used.total_cmp(&other.used))
    }
}

/// Expected time in milliseconds until the first event of one more piece of work, with what failures
/// cost on the mean.
pub(crate) fn expected_ms(inputs: ScoreInputs, service: ServiceInputs) -> f64 {
    let slots = inputs.slots.max(1);
    let pace = inputs.pace.level_pace;
    let first_ms = service
        .line
        .map_or(0.0, |line| line.first_ms(inputs.total.min(slots)));
    // An online request preempts items, and so waits for online requests only.
    let queued = (inputs.online + 1).saturating_sub(slots);
    let wait_ms = service.slot_time.as_secs_f64() * 1_000.0 * f64::from(queued) / f64::from(slots);
    let cost_ms = match inputs.may_repeat {
        true => RETRY_COST_MS,
        false => LOSS_COST_MS,
    };
    pace * (first_ms + wait_ms) + inputs.pace.failure_share * cost_ms
}

/// Score of an upstream. `dither`, from 0 to 1 and the same for all upstreams of one decision, makes
/// small differences of expected times count at times. Without `service`, only the slots count.
pub(crate) fn score(
    inputs: ScoreInputs,
    service: Option<ServiceInputs>,
    dither: f64,
) -> UpstreamScore {
    let slots = f64::from(inputs.slots);
    let bonus = if inputs.is_local {
        LOCAL_SLOT_BONUS
    } else {
        0.0
    };
    let must_wait = inputs.total >= inputs.slots;
    let used = match inputs.class {
        // Batch items at a full upstream are preempted, so the request queues behind online work
        // only.
        WorkClass::Online if must_wait => 1.0 + (f64::from(inputs.online) - bonus) / slots,
        WorkClass::Online | WorkClass::Batch => (f64::from(inputs.total) - bonus) / slots,
    };
    let expected_ms = service.map_or(0.0, |service| expected_ms(inputs, service));
    // An upstream that slows down long before it is full counts as fuller: each request that it gets
    // delays the others there as well.
    let fuller = (inputs.pace.slowdown / USUAL_SLOWDOWN).max(1.0).powi(2);
    let used = if used > 0.0 { used * fuller } else { used };
    UpstreamScore {
        delay_steps: (expected_ms / NOTICED_MS + dither) as u32,
        used,
    }
}
