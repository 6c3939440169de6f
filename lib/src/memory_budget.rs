//! Room in memory that several readers share.

use std::sync::Arc;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

const BYTES_PER_KIB: usize = 1024;

/// A number of bytes that all readers together may keep. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct MemoryBudget {
    /// A permit for each KiB.
    permits: Arc<Semaphore>,
}

/// A part of a [`MemoryBudget`], given back when it is dropped.
#[derive(Debug)]
pub(crate) struct MemoryPermit(
    // Held for its drop alone.
    #[allow(dead_code)] OwnedSemaphorePermit,
);

impl MemoryBudget {
    /// Returns a room of `bytes`.
    pub(crate) fn new(bytes: usize) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(bytes / BYTES_PER_KIB)),
        }
    }

    /// Takes room for `bytes`; `None` if there is not so much left.
    pub(crate) fn take(&self, bytes: usize) -> Option<MemoryPermit> {
        let kib = u32::try_from(bytes.div_ceil(BYTES_PER_KIB)).ok()?;
        let permit = self.permits.clone().try_acquire_many_owned(kib);
        permit.ok().map(MemoryPermit)
    }
}
