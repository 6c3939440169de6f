//! Fair queue of one engine and class: deficit round robin over workspaces.

use std::collections::VecDeque;

use tokio::time::Instant;

use crate::admission::gate::TicketKey;
use crate::collections::HashMap;
use crate::ids::WorkspaceName;

/// Tokens that a workspace may have served in one turn.
const QUANTUM_TOKENS: u64 = 512;
/// Largest cost of one piece, so that a turn ends after a bounded number of rounds.
const MAX_COST_TOKENS: u64 = 32 * QUANTUM_TOKENS;

/// A piece of work that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct QueuedRequest {
    pub(crate) key: TicketKey,
    pub(crate) tokens: u64,
    /// When its answer, or waiting on, is of no use any more.
    pub(crate) expires: Instant,
}

#[derive(Debug, Default)]
struct WorkspaceQueue {
    pieces: VecDeque<QueuedRequest>,
    credit: u64,
}

/// Pieces in order of their expiry within a workspace, and by tokens in turn between workspaces.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    queues: HashMap<WorkspaceName, WorkspaceQueue>,
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

    /// Adds a piece behind those of its workspace that expire earlier or at the same time.
    pub(crate) fn push(&mut self, workspace: WorkspaceName, piece: QueuedRequest) {
        if !self.queues.contains_key(&workspace) {
            self.turns.push_back(workspace.clone());
        }
        let queue = self.queues.entry(workspace).or_default();
        let position = queue
            .pieces
            .partition_point(|known| known.expires <= piece.expires);
        queue.pieces.insert(position, piece);
        self.length += 1;
    }

    /// Removes the next piece by turn.
    pub(crate) fn pop(&mut self) -> Option<QueuedRequest> {
        loop {
            let workspace = self.turns.front()?;
            let queue = self.queues.get_mut(workspace)?;
            let cost = queue.pieces.front().map_or(0, cost);
            if queue.credit < cost {
                queue.credit += QUANTUM_TOKENS;
                self.turns.rotate_left(1);
                continue;
            }
            queue.credit -= cost;
            let piece = queue.pieces.pop_front();
            if queue.pieces.is_empty() {
                let workspace = self.turns.pop_front()?;
                self.queues.remove(&workspace);
            }
            self.length -= 1;
            return piece;
        }
    }

    /// Removes the piece of `key`; returns whether it was there.
    pub(crate) fn remove(&mut self, key: &TicketKey) -> bool {
        !self.take_if(|piece| piece.key == *key).is_empty()
    }

    /// Removes all pieces that have expired at `now`.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<QueuedRequest> {
        self.take_if(|piece| piece.expires <= now)
    }

    /// Removes all pieces that fulfil `condition`.
    pub(crate) fn take_if(
        &mut self,
        condition: impl Fn(&QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        let mut taken = Vec::new();
        for queue in self.queues.values_mut() {
            queue.pieces.retain(|piece| {
                let leaves = condition(piece);
                if leaves {
                    taken.push(piece.clone());
                }
                !leaves
            });
        }
        if !taken.is_empty() {
            self.queues.retain(|_, queue| !queue.pieces.is_empty());
            let queues = &self.queues;
            self.turns
                .retain(|workspace| queues.contains_key(workspace));
            self.length -= taken.len();
        }
        taken
    }
}

fn cost(piece: &QueuedRequest) -> u64 {
    piece.tokens.clamp(1, MAX_COST_TOKENS)
}
