//! Order of the requests of one service that wait at one host for room.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::fairness::flows::FlowKey;
use crate::fairness::terms::FlowClass;
use crate::fairness::virtual_clock::VirtualClock;

/// Key of a waiting request within its [`WaitLine`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaiterKey(u64);

#[derive(Debug)]
struct FlowLine {
    class: FlowClass,
    weight: f64,
    /// Waiting requests in the order of their arrival.
    waiters: VecDeque<WaiterKey>,
}

/// Waiting requests: first by class, then by weighted fair queueing between flows, then by arrival.
#[derive(Debug, Default)]
pub struct WaitLine {
    flows: HashMap<FlowKey, FlowLine>,
    clock: VirtualClock<FlowKey>,
    next_key: u64,
    head: Option<WaiterKey>,
    /// When the next request may get room.
    next_at: Option<Instant>,
}

impl WaitLine {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.flows.values().map(|flow| flow.waiters.len()).sum()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Adds a request of `flow`, which has this class and weight now.
    pub fn push(&mut self, flow: FlowKey, class: FlowClass, weight: f64) -> WaiterKey {
        let key = WaiterKey(self.next_key);
        self.next_key += 1;
        let line = self.flows.entry(flow).or_insert_with(|| FlowLine {
            class,
            weight,
            waiters: VecDeque::new(),
        });
        (line.class, line.weight) = (class, weight);
        line.waiters.push_back(key);
        self.find_head();
        key
    }

    /// The request that goes first when there is room; `None` if none waits.
    pub fn head(&self) -> Option<WaiterKey> {
        self.head
    }

    /// When the first request may get room, if there is some; `None` if at once.
    pub fn next_at(&self) -> Option<Instant> {
        self.next_at
    }

    /// Records that a request got room; the next one may get some `interval` later.
    pub fn note_served(&mut self, now: Instant, interval: Duration) {
        self.next_at = Some(now + interval);
    }

    /// Removes a request of `flow`. `is_served` tells whether it got room, and is charged to its flow.
    pub fn remove(&mut self, flow: FlowKey, key: WaiterKey, is_served: bool) {
        let Some(line) = self.flows.get_mut(&flow) else {
            return;
        };
        let Some(position) = line.waiters.iter().position(|waiter| *waiter == key) else {
            return;
        };
        line.waiters.remove(position);
        if is_served {
            self.clock.charge(&flow, line.weight, 1.0);
        }
        if line.waiters.is_empty() {
            self.flows.remove(&flow);
        }
        if self.flows.is_empty() {
            self.clock.forget_ended();
        }
        self.find_head();
    }

    fn find_head(&mut self) {
        let order = |(key, line): &(&FlowKey, &FlowLine)| {
            let first = line.waiters.front().map_or(0, |waiter| waiter.0);
            (line.class, self.clock.start_tag(key), first)
        };
        let least = self.flows.iter().min_by(|one, other| {
            let ((class, start, first), than) = (order(one), order(other));
            class
                .cmp(&than.0)
                .then(start.total_cmp(&than.1))
                .then(first.cmp(&than.2))
        });
        self.head = least.and_then(|(_, line)| line.waiters.front().copied());
    }
}
