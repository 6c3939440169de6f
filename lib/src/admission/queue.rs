//! Fair queue of one engine and class: deficit round robin over workspaces.

use std::collections::VecDeque;

use tokio::time::Instant;

use crate::admission::scheduler::TicketKey;
use crate::collections::HashMap;
use crate::ids::WorkspaceName;

/// Tokens that are added to the deficit counter of a workspace at each of its turns.
const QUANTUM_TOKENS: u64 = 512;
/// Highest cost of one request. It bounds the number of rounds until a workspace can afford its
/// next request.
const MAX_COST_TOKENS: u64 = 32 * QUANTUM_TOKENS;

/// A request that waits in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct QueuedRequest {
    pub(crate) key: TicketKey,
    pub(crate) tokens: u64,
    /// When the request is removed from the queue: its deadline or the end of its longest wait.
    pub(crate) expires: Instant,
}

#[derive(Debug, Default)]
struct WorkspaceQueue {
    requests: VecDeque<QueuedRequest>,
    /// Deficit counter in tokens.
    deficit: u64,
}

/// Queue that orders the requests of one workspace by expiry and serves the workspaces by deficit
/// round robin over tokens.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    queues: HashMap<WorkspaceName, WorkspaceQueue>,
    /// Workspaces with queued requests, in the order of their turns.
    turns: VecDeque<WorkspaceName>,
    length: usize,
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Inserts a request behind those of its workspace that expire earlier or at the same time.
    pub(crate) fn push(&mut self, workspace: WorkspaceName, request: QueuedRequest) {
        if !self.queues.contains_key(&workspace) {
            self.turns.push_back(workspace.clone());
        }
        let queue = self.queues.entry(workspace).or_default();
        let position = queue
            .requests
            .partition_point(|known| known.expires <= request.expires);
        queue.requests.insert(position, request);
        self.length += 1;
    }

    /// Removes and returns the request that deficit round robin serves next.
    pub(crate) fn pop(&mut self) -> Option<QueuedRequest> {
        loop {
            let workspace = self.turns.front()?;
            let queue = self.queues.get_mut(workspace)?;
            let cost = queue.requests.front().map_or(0, cost);
            if queue.deficit < cost {
                queue.deficit += QUANTUM_TOKENS;
                self.turns.rotate_left(1);
                continue;
            }
            queue.deficit -= cost;
            let request = queue.requests.pop_front();
            if queue.requests.is_empty() {
                let workspace = self.turns.pop_front()?;
                self.queues.remove(&workspace);
            }
            self.length -= 1;
            return request;
        }
    }

    /// Removes the request of `key`; returns whether it was queued.
    pub(crate) fn remove(&mut self, key: &TicketKey) -> bool {
        !self.take_if(|request| request.key == *key).is_empty()
    }

    /// Removes and returns all requests that have expired at `now`.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<QueuedRequest> {
        self.take_if(|request| request.expires <= now)
    }

    /// Removes and returns all requests that fulfil `condition`.
    pub(crate) fn take_if(
        &mut self,
        condition: impl Fn(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut taken = Vec::new();
        for queue in self.queues.values_mut() {
            queue.requests.retain(|request| {
                let leaves = condition(request);
                if leaves {
                    taken.push(request.clone());
                }
                !leaves
            });
        }
        if !taken.is_empty() {
            self.queues.retain(|_, queue| !queue.requests.is_empty());
            let queues = &self.queues;
            self.turns
                .retain(|workspace| queues.contains_key(workspace));
            self.length -= taken.len();
        }
        taken
    }
}

fn cost(request: &QueuedRequest) -> u64 {
    request.tokens.clamp(1, MAX_COST_TOKENS)
}
