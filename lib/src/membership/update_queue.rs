//! Queue of membership updates that this host passes on to others with its datagrams.

use crate::membership::message::HostUpdate;

/// An update is sent this many times for each factor of ten in the number of hosts, so that it
/// reaches all of them with high probability.
const SENDS_PER_TENFOLD: u32 = 4;

struct QueuedUpdate {
    update: HostUpdate,
    send_count: u32,
}

/// Newest update about each host, each sent a bounded number of times.
#[derive(Default)]
pub(crate) struct UpdateQueue {
    queue: Vec<QueuedUpdate>,
}

impl UpdateQueue {
    /// Queues `update`, replacing an earlier one about the same host.
    pub(crate) fn push(&mut self, update: HostUpdate) {
        self.queue
            .retain(|queued| queued.update.subject() != update.subject());
        self.queue.push(QueuedUpdate {
            update,
            send_count: 0,
        });
    }

    /// Whether no update is left to send.
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the least often sent updates that fit into `bytes`, and drops those that were sent
    /// often enough for a fleet of `hosts` hosts.
    pub(crate) fn take(&mut self, mut bytes: usize, hosts: usize) -> Vec<HostUpdate> {
        let limit = SENDS_PER_TENFOLD * ((hosts + 1) as f64).log10().ceil().max(1.0) as u32;
        self.queue.sort_by_key(|queued| queued.send_count);
        let mut taken = Vec::new();
        for queued in &mut self.queue {
            let Some(left) = bytes.checked_sub(queued.update.size()) else {
                break;
            };
            bytes = left;
            queued.send_count += 1;
            taken.push(queued.update.clone());
        }
        self.queue.retain(|queued| queued.send_count < limit);
        taken
    }
}
