//! Load shedding: decides whether an online request is sent or refused with a retry time.
//!
//! Guards against a load peak, or a loss of upstreams, in which online requests alone exceed the
//! slots of their service. Upstreams serve in order of arrival, so each request beyond the slots
//! delays all later ones. Refusing only the requests whose expected queueing time takes most of
//! their latency objective keeps the others in time; the refused ones find free slots after the
//! peak.

use std::time::Duration;

/// Largest share of the latency objective that the expected wait for a slot may take.
const MAX_WAIT_SHARE: f64 = 0.6;
/// Largest share of the caller's remaining time that a retry delay may take, so that the retry
/// still has time to be served.
const MAX_RETRY_DELAY_SHARE: f64 = 0.33;
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Load of one service at the upstreams that this host uses, from the work of all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Slots of those upstreams that accept requests.
    pub slots: u32,
    /// Online requests at those upstreams, whether they occupy a slot or queue for one.
    pub online: u32,
    /// Whether any of those upstreams has a limit of requests a second. The lack of room then lasts
    /// longer than a peak.
    pub is_limited: bool,
    /// Mean time for which a request occupies its slot; positive.
    pub slot_time: Duration,
}

/// Outcome of the load-shedding decision for one online request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShedDecision {
    /// The request is sent to an upstream now, even if it has to queue there.
    Admit,
    /// The request is refused without being sent; the caller may retry after this delay.
    Refuse(Duration),
}

/// Decides on an online request of a service under `load`.
///
/// `objective` is the latency objective of the request's route, `left` the time until the
/// request's deadline. A request that has too little time for a retry is admitted even if it
/// will miss its objective: a late answer is worth more to its caller than none.
pub fn decide_shedding(load: ServiceLoad, objective: Duration, left: Duration) -> ShedDecision {
    if load.slots == 0 {
        return ShedDecision::Refuse(retry_delay(MIN_RETRY_DELAY, left));
    }
    let waiting = (load.online + 1).saturating_sub(load.slots);
    let wait = load
        .slot_time
        .mul_f64(f64::from(waiting) / f64::from(load.slots));
    if wait <= objective.mul_f64(MAX_WAIT_SHARE) {
        return ShedDecision::Admit;
    }
    let delay = match load.is_limited {
        true => left.mul_f64(MAX_RETRY_DELAY_SHARE),
        false => retry_delay(wait * 4, left),
    };
    let has_time = left.saturating_sub(delay) > objective * 4;
    match has_time && left > objective * 12 {
        true => ShedDecision::Refuse(delay),
        false => ShedDecision::Admit,
    }
}

fn retry_delay(wanted: Duration, left: Duration) -> Duration {
    wanted
        .max(MIN_RETRY_DELAY)
        .min(left.mul_f64(MAX_RETRY_DELAY_SHARE))
}
