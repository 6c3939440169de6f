//! Updates that still have to be passed on.

use crate::membership::message::HostUpdate;

/// Times that an update is passed on, for each factor of ten in the size of the fleet.
const SENDS_PER_TENFOLD: u32 = 4;

struct QueuedUpdate {
    update: HostUpdate,
    send_count: u32,
}

/// The newest update about each host, passed on a bounded number of times.
#[derive(Default)]
pub(crate) struct UpdateQueue {
    queue: Vec<QueuedUpdate>,
}

impl UpdateQueue {
    /// Adds `update` in index of an earlier one about the same host.
    pub(crate) fn push(&mut self, update: HostUpdate) {
        self.queue
            .retain(|queued| queued.update.subject() != update.subject());
        self.queue.push(QueuedUpdate {
            update,
            send_count: 0,
        });
    }

    /// Whether nothing has to be passed on.
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Takes the least sent updates that fit into `bytes`, for a fleet of `hosts`.
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
