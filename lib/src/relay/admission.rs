//! Whether an online request is taken in, refused at once, or told when to come back.
//!
//! Answers the load of a peak, or of lost upstreams, in which online requests alone fill more
//! than the places of their service. Upstreams serve in order of arrival, so that each request
//! beyond the places makes all later ones late. Refusing just those whose wait would take most
//! of their objective keeps the others in time, and the refused ones find room after the peak.

use std::time::Duration;

/// Part of the objective that waiting for a place may take.
const WAIT_SHARE: f64 = 0.6;
/// Mean time for which a request holds its place, where nothing better is known.
const PLACE_TIME: Duration = Duration::from_millis(800);
/// Least part of the caller's time that must be left after its return.
const RETURN_SHARE: f64 = 0.33;
const SHORTEST_RETURN: Duration = Duration::from_millis(300);

/// Load of a service as one host sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Places of upstreams that take requests.
    pub places: u32,
    /// Online requests that hold or wait for places.
    pub online: u32,
}

/// What becomes of an online request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShedDecision {
    /// It is sent to an upstream now.
    Admit,
    /// It is refused; the caller may come back after this time.
    Refuse(Duration),
}

/// Judges a request with `objective` and `left` time of its caller.
///
/// A request that cannot come back in time is admitted even if it will be late: a late answer
/// is worth more to its caller than none.
pub fn judge(load: ServiceLoad, objective: Duration, left: Duration) -> ShedDecision {
    if load.places == 0 {
        return ShedDecision::Refuse(return_time(SHORTEST_RETURN, left));
    }
    let waiting = (load.online + 1).saturating_sub(load.places);
    let wait = PLACE_TIME.mul_f64(f64::from(waiting) / f64::from(load.places));
    if wait <= objective.mul_f64(WAIT_SHARE) {
        return ShedDecision::Admit;
    }
    let back = return_time(wait * 4, left);
    let has_time = left.saturating_sub(back) > objective * 4;
    match has_time && left > objective * 12 {
        true => ShedDecision::Refuse(back),
        false => ShedDecision::Admit,
    }
}

fn return_time(wanted: Duration, left: Duration) -> Duration {
    wanted.max(SHORTEST_RETURN).min(left.mul_f64(RETURN_SHARE))
}
