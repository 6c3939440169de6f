//! Memory budget for buffered bodies, shared by concurrent readers.

use std::sync::Arc;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

const BYTES_PER_KIB: usize = 1024;

/// Limit of the bytes that all holders together may buffer. Clones share the limit.
#[derive(Clone, Debug)]
pub(crate) struct MemoryBudget {
    /// One permit per KiB that is free.
    permits: Arc<Semaphore>,
}

/// Memory reserved from a [`MemoryBudget`]; released on drop.
#[derive(Debug)]
pub(crate) struct MemoryPermit(
    // Never read; held only for its drop.
    #[allow(dead_code)] OwnedSemaphorePermit,
);

impl MemoryBudget {
    /// Returns a budget of `bytes`, rounded down to whole KiB.
    pub(crate) fn new(bytes: usize) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(bytes / BYTES_PER_KIB)),
        }
    }

    /// Reserves `bytes`, rounded up to whole KiB; `None` if fewer are free. Does not wait.
    pub(crate) fn take(&self, bytes: usize) -> Option<MemoryPermit> {
        let kib = u32::try_from(bytes.div_ceil(BYTES_PER_KIB)).ok()?;
        let permit = self.permits.clone().try_acquire_many_owned(kib);
        permit.ok().map(MemoryPermit)
    }
}
