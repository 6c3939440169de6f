//! Order of the load reports and broadcasts of each other host, which may overtake one another.

use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;

/// Time without messages after which the order of a host's messages is forgotten: an earlier process may
/// go on after a later one has ended.
const ORDER_TTL: Duration = Duration::from_millis(1_000);
/// Earlier processes of a host whose late messages are recognised.
const MAX_EARLIER_PROCESSES: usize = 4;

#[derive(Debug)]
struct LastMessage {
    incarnation: u64,
    sequence: u64,
    /// Incarnations of the host's processes before this one, the last one first.
    earlier: Vec<u64>,
    received_at: Instant,
}

/// The newest message of each host. Incarnations have no order, as a host's clock may have been set back:
/// the process from which a message arrives first is the earlier one.
#[derive(Debug, Default)]
pub(crate) struct MessageOrder {
    last: HashMap<String, LastMessage>,
}

impl MessageOrder {
    /// Records a message of `host`. Returns whether it is newer than all others of the last second.
    pub(crate) fn accept(
        &mut self,
        host: &str,
        incarnation: u64,
        sequence: u64,
        now: Instant,
    ) -> bool {
        let known = self.last.get(host);
        let known = known.filter(|known| now - known.received_at < ORDER_TTL);
        let is_newer = known.is_none_or(|known| match known.incarnation == incarnation {
            true => known.sequence < sequence,
            false => !known.earlier.contains(&incarnation),
        });
        if !is_newer {
            return false;
        }
        let mut earlier = known.map_or_else(Vec::new, |known| known.earlier.clone());
        if let Some(known) = known.filter(|known| known.incarnation != incarnation) {
            earlier.insert(0, known.incarnation);
            earlier.truncate(MAX_EARLIER_PROCESSES);
        }
        let message = LastMessage {
            incarnation,
            sequence,
            earlier,
            received_at: now,
        };
        self.last.insert(host.to_owned(), message);
        true
    }
}
