//! Limit on the memory of all large bodies that the process holds at once.
//!
//! Each body has a limit of its own, but a hundred of them may arrive together, on VMs
//! with little memory. [`BodyMemory`] counts the bytes of the bodies while they are read
//! and as long as anything holds them.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use celeryshore_model::ByteSize;

use crate::Result;
use crate::error::Protocol;

/// Size up to which a body is not counted, since buffers of this size are bounded by the
/// number of connections.
const SMALL_BODY: usize = 16 * 1_024;
/// Limit if the memory of the process is not known.
const DEFAULT_LIMIT: ByteSize = ByteSize::new(64 * 1_024 * 1_024);
/// Divisor of the memory of the process. A body is copied when it is encoded for a peer
/// and for a caller.
const MEMORY_DIVISOR: u64 = 4;

/// Counter of the bytes of all large bodies.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    limit: usize,
    used: AtomicUsize,
}

/// Part of the memory that one body uses, until it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    /// Absent if the body is not counted.
    memory: Option<Arc<BodyMemory>>,
    size: usize,
}

impl BodyMemory {
    /// Creates the counter of a process with this limit on its memory.
    pub(crate) fn new(process: Option<ByteSize>) -> Arc<Self> {
        let limit = process.map_or(DEFAULT_LIMIT.get(), |size| size.get() / MEMORY_DIVISOR);
        Arc::new(Self {
            limit: usize::try_from(limit).unwrap_or(usize::MAX),
            used: AtomicUsize::new(0),
        })
    }

    /// Counts an encoded message while it is written, even beyond the limit.
    pub(crate) fn hold(self: &Arc<Self>, size: usize) -> Reservation {
        let mut reservation = Reservation::new(Some(self.clone()));
        // The message is in memory already; an exceeded limit rejects other bodies.
        let _ = reservation.grow(size);
        reservation
    }

    /// Returns the number of bytes in use.
    pub(crate) fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

impl Reservation {
    /// Creates an empty reservation. Without a counter, nothing is counted.
    pub(crate) const fn new(memory: Option<Arc<BodyMemory>>) -> Self {
        Self { memory, size: 0 }
    }

    /// Enlarges the reservation to a body of `size` bytes. Fails if the bodies of the
    /// process would exceed their limit.
    pub(crate) fn grow(&mut self, size: usize) -> Result<()> {
        let Some(memory) = &self.memory else {
            return Ok(());
        };
        if size <= SMALL_BODY || size <= self.size {
            return Ok(());
        }
        let added = size - self.size;
        let used = memory.used.fetch_add(added, Ordering::Relaxed) + added;
        self.size = size;
        if used > memory.limit {
            return Err(Protocol::Memory.into());
        }
        Ok(())
    }

    /// Returns the body, which holds the reservation until its last clone is dropped.
    pub(crate) fn attach(self, body: Bytes) -> Bytes {
        if self.size == 0 {
            return body;
        }
        Bytes::from_owner(ReservedBody {
            body,
            _reservation: self,
        })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(memory) = &self.memory {
            memory.used.fetch_sub(self.size, Ordering::Relaxed);
        }
    }
}

/// Body with its part of the memory.
struct ReservedBody {
    body: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
