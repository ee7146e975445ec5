//! Memory for answers that a host holds before it can pass them on.
//!
//! Each answer is bounded by itself, but many callers may wait for endless answers at the same time.
//! What is held beyond a first part of each answer is therefore taken from one amount for all, so
//! that small answers need none of it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use derive_more::{Display, Error};

use crate::{MemoryCharge, MemoryFull};

/// Bytes of each answer that are not counted.
const UNCOUNTED_BYTES: usize = 64 << 10;

/// Bytes of each answer that are not charged to the caller's account.
const UNCHARGED_BYTES: usize = 8 << 10;

/// Error for an answer that would need more memory than is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("the host's memory for answers is used up by other answers")]
pub struct MemoryUsedUp;

/// The memory for all answers of a host.
#[derive(Clone, Debug)]
pub struct AnswerMemory(Arc<AtomicUsize>);

impl AnswerMemory {
    /// Creates the memory, of that many bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Starts to count one answer.
    #[must_use]
    pub fn lease(&self) -> MemoryLease {
        MemoryLease {
            memory: self.clone(),
            counted: 0,
            charge: None,
        }
    }

    /// Starts to count one answer, which is also charged to the caller's account.
    #[must_use]
    pub fn charged_lease(&self, charge: MemoryCharge) -> MemoryLease {
        let mut lease = self.lease();
        lease.charge = Some(charge);
        lease
    }
}

/// Memory of one answer, which is given back on drop.
#[derive(Debug)]
pub struct MemoryLease {
    memory: AnswerMemory,
    counted: usize,
    charge: Option<MemoryCharge>,
}

impl MemoryLease {
    /// Counts the answer as that large, also in the account if the lease is charged.
    ///
    /// If the account is full, connections whose requests have stalled are closed.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryUsedUp`] if it is larger than before and too little is left.
    pub async fn resize_charged(&mut self, bytes: usize) -> Result<(), MemoryUsedUp> {
        if let Err(full) = self.charge(bytes) {
            let account = self.charge.as_ref().map(|charge| charge.account().clone());
            let account = account.ok_or(MemoryUsedUp)?;
            let retried = account.retry_reclaiming(full, || self.charge(bytes)).await;
            retried.map_err(|error| {
                log::info!("answer: {error}");
                MemoryUsedUp
            })?;
        }
        self.resize(bytes)
    }

    fn charge(&mut self, bytes: usize) -> Result<(), MemoryFull> {
        let needed = bytes.saturating_sub(UNCHARGED_BYTES);
        self.charge
            .as_mut()
            .map_or(Ok(()), |charge| charge.resize(needed))
    }

    /// Counts the answer as that large.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryUsedUp`] if it is larger than before and too little is left.
    pub fn resize(&mut self, bytes: usize) -> Result<(), MemoryUsedUp> {
        let needed = bytes.saturating_sub(UNCOUNTED_BYTES);
        let left = &self.memory.0;
        if needed <= self.counted {
            left.fetch_add(self.counted - needed, Ordering::Relaxed);
        } else {
            let more = needed - self.counted;
            let taken = left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                left.checked_sub(more)
            });
            if taken.is_err() {
                return Err(MemoryUsedUp);
            }
        }
        self.counted = needed;
        Ok(())
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        self.memory.0.fetch_add(self.counted, Ordering::Relaxed);
    }
}
