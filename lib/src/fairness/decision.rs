//! Decides whether an online request of a workspace is sent, waits here or is refused.

use std::time::Duration;

use crate::fairness::shares::FlowStanding;

/// Largest share of the latency objective that the expected wait for a slot may take where flows use more
/// than their shares.
const MAX_BORROWED_WAIT_SHARE: f64 = 0.1;
/// The same for flows that are below their shares.
const MAX_WAIT_SHARE: f64 = 0.6;
/// Largest share of the remaining time that a retry delay may take: callers honour no longer one.
const MAX_RETRY_DELAY_SHARE: f64 = 0.33;
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Latency objectives that a caller needs to have left to be refused, and to have left for its retry.
const MIN_OBJECTIVES_TO_REFUSE: u32 = 12;
const MIN_OBJECTIVES_TO_RETRY: u32 = 4;
/// Longest wait here, in latency objectives.
const MAX_OBJECTIVES_TO_WAIT: u32 = 6;

/// What the decision on one request needs to know.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomInputs {
    /// Slots of the upstreams that this host uses.
    pub slots: u32,
    /// Online requests of all hosts there, whether they occupy a slot or queue for one.
    pub online: u32,
    /// Whether any of those upstreams has a limit of requests a second.
    pub is_limited: bool,
    /// Mean time for which a request occupies its slot.
    pub slot_time: Duration,
    /// Latency objective of the request's route.
    pub objective: Duration,
    /// Time until the request's deadline.
    pub left: Duration,
    /// Time for which the request has waited here; `None` if it has just arrived.
    pub waited: Option<Duration>,
    /// Hosts that use each of those upstreams, on the mean.
    pub sharers: f64,
}

impl RoomInputs {
    /// Slots and queue that may be taken if the expected wait is at most `share` of the objective.
    fn bound(&self, share: f64) -> f64 {
        let queue = self.objective.mul_f64(share).as_secs_f64() / self.slot_time.as_secs_f64();
        f64::from(self.slots) * (1.0 + queue)
    }

    /// The room that is divided into fair shares: the slots, and the queue that any flow may use.
    pub fn shared_room(&self) -> f64 {
        self.bound(MAX_BORROWED_WAIT_SHARE)
    }

    /// Whether another request of any flow has room. One that has waited takes free slots only and leaves
    /// the queue to those that have just arrived and may still be in time.
    pub fn has_room(&self) -> bool {
        let room = match self.waited {
            None => self.shared_room(),
            Some(_) => f64::from(self.slots),
        };
        f64::from(self.online + 1) <= room
    }

    /// Whether another request of a flow below its share has room.
    fn has_own_room(&self) -> bool {
        let room = match self.waited {
            None => self.bound(MAX_WAIT_SHARE),
            Some(_) => self.shared_room(),
        };
        f64::from(self.online + 1) <= room
    }

    /// Time between two requests that have waited at this host, at which all hosts that use the same
    /// upstreams together fill them. Slots that become free would otherwise be taken by all of these hosts
    /// at once, as none knows yet what the others send.
    pub fn release_interval(&self) -> Duration {
        let free = self.slots.saturating_sub(self.online);
        let slots = f64::from(self.slots.max(1)) + f64::from(free);
        self.slot_time.mul_f64(self.sharers / slots)
    }

    /// Expected wait of another request for a slot.
    fn wait(&self) -> Duration {
        let waiting = (self.online + 1).saturating_sub(self.slots);
        let slots = f64::from(self.slots.max(1));
        self.slot_time.mul_f64(f64::from(waiting) / slots)
    }

    /// Delay after which the caller may retry, chosen between the end of the queue and the longest that it
    /// honours so that its retry is not refused again. `draw` is uniform from 0 to 1.
    fn retry_delay(&self, draw: f64) -> Duration {
        let longest = self.left.mul_f64(MAX_RETRY_DELAY_SHARE);
        if self.is_limited {
            return longest;
        }
        let unrefused = self
            .left
            .saturating_sub(self.objective * MIN_OBJECTIVES_TO_REFUSE);
        let wanted = self.wait() * 4;
        let shortest = wanted.max(MIN_RETRY_DELAY).max(unrefused).min(longest);
        shortest + (longest - shortest).mul_f64(draw)
    }
}

/// Why a request is sent, waits or is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum RoomReason {
    /// There is room for any request.
    Room,
    /// Its flow has less than its share of the room.
    BelowShare,
    /// Its flow has its share or more, and there is no room beyond.
    BeyondShare,
    /// Its flow has less than its share, but all would be late with another request.
    NoRoom,
    /// The request has waited for the longest time.
    LastChance,
    /// No upstream serves.
    NoSlots,
}

/// Outcome of the decision on one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RoomDecision {
    /// The request is sent to an upstream now.
    Admit(RoomReason),
    /// The request waits here until there is room, for this time at most.
    Wait(RoomReason, Duration),
    /// The request is refused without being sent; the caller may retry after this delay.
    Refuse(RoomReason, Duration),
}

/// Decides on an online request of a flow that stands at `standing`. `draw` spreads retries and is uniform
/// from 0 to 1.
///
/// Without room, a request whose caller has time for a retry is refused at once. Another one waits here,
/// where it delays no request of another flow, and is sent in the end even if there is no room: a late
/// answer is worth more to its caller than none.
pub fn decide_room(inputs: RoomInputs, standing: FlowStanding, draw: f64) -> RoomDecision {
    if inputs.slots == 0 {
        return RoomDecision::Refuse(RoomReason::NoSlots, inputs.retry_delay(0.0));
    }
    if inputs.has_room() {
        return RoomDecision::Admit(RoomReason::Room);
    }
    let reason = match (standing.is_below_share(), inputs.has_own_room()) {
        (true, true) => return RoomDecision::Admit(RoomReason::BelowShare),
        (true, false) => RoomReason::NoRoom,
        (false, _) => RoomReason::BeyondShare,
    };
    let delay = inputs.retry_delay(draw);
    let needed = inputs.objective * MIN_OBJECTIVES_TO_RETRY;
    let has_time = inputs.left > inputs.objective * MIN_OBJECTIVES_TO_REFUSE
        && inputs.left.saturating_sub(delay) > needed;
    if has_time && inputs.waited.is_none() {
        return RoomDecision::Refuse(reason, delay);
    }
    let waited = inputs.waited.unwrap_or_default();
    let longest = (inputs.objective * MAX_OBJECTIVES_TO_WAIT).saturating_sub(waited);
    let wait = longest.min(inputs.left.saturating_sub(needed));
    match wait.is_zero() {
        true => RoomDecision::Admit(RoomReason::LastChance),
        false => RoomDecision::Wait(reason, wait),
    }
}
