//! Reads the body of a caller's request within its time limits and the host's memory.
//!
//! Parts of a few bytes each keep the buffer alive in which they were read. They are copied together
//! into blocks at once, which are charged to the caller.

use std::time::Duration;

use actix_web::error::PayloadError;
use actix_web::web::Payload;
use bytes::Bytes;
use derive_more::{Display, Error};
use futures_util::{FutureExt, StreamExt};
use tokio::time::Instant;

use crate::socket_limits::{Direction, LARGE_BYTES};
use crate::{MemoryCharge, MemoryFull, RequestGate};

/// Size of the blocks of a body that is still arriving.
///
/// Blocks of one size leave no gaps in the heap when many bodies grow at the same time.
const BLOCK_BYTES: usize = 64 << 10;

/// Capacity of the first block, which grows up to the size of the others.
const FIRST_BLOCK_BYTES: usize = 4 << 10;

/// Bytes of each body that are not charged, so that small requests are served by a full host.
const UNCHARGED_BYTES: usize = 8 << 10;

/// Limits of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size.
    pub max_bytes: usize,
    /// Longest time without a further byte.
    pub idle_timeout: Duration,
    /// Longest time until the body is complete.
    pub time_limit: Duration,
}

/// Reason why a body is not read to its end.
#[derive(Debug, Display, Error)]
pub enum BodyError {
    /// The body cannot be read.
    #[display("the body cannot be read: {_0}")]
    Unreadable(#[error(source)] PayloadError),
    /// The body is larger than allowed.
    #[display("the body is longer than {max_bytes} bytes")]
    TooLarge {
        /// The limit.
        max_bytes: usize,
    },
    /// The host's memory for requests is used up.
    #[display("{_0}")]
    MemoryFull(#[error(source)] MemoryFull),
    /// No byte arrived for the longest time allowed.
    #[display("no byte of the body arrived for {} ms, after {received} bytes", idle_timeout.as_millis())]
    Idle {
        /// The limit.
        idle_timeout: Duration,
        /// Bytes that had arrived.
        received: usize,
    },
    /// The body was not complete within the time limit.
    #[display("the body did not arrive within {} ms, only {received} bytes", time_limit.as_millis())]
    Late {
        /// The limit.
        time_limit: Duration,
        /// Bytes that had arrived.
        received: usize,
    },
}

/// A complete body.
#[derive(Debug)]
pub struct CallerBody {
    /// The bytes.
    pub bytes: Bytes,
    /// Memory of the bytes, to be kept as long as they are.
    pub charge: MemoryCharge,
}

/// Reads a complete body, whose memory is charged.
///
/// If the memory does not suffice, connections whose bodies have stalled are closed.
///
/// # Errors
///
/// Returns [`BodyError`] if the body exceeds a limit or breaks off.
pub async fn read_caller_body(
    mut payload: Payload,
    limits: BodyLimits,
    charge: MemoryCharge,
    gate: Option<&RequestGate>,
) -> Result<CallerBody, BodyError> {
    let deadline = Instant::now() + limits.time_limit;
    let mut body = GrowingBody::new(charge);
    loop {
        let next = if let Some(next) = payload.next().now_or_never() {
            next
        } else {
            let left = deadline.saturating_duration_since(Instant::now());
            tokio::time::timeout(limits.idle_timeout.min(left), payload.next())
                .await
                .map_err(|_elapsed| body.timeout_error(&limits, left))?
        };
        let Some(part) = next else {
            break;
        };
        let mut part = part.map_err(BodyError::Unreadable)?;
        if body.length < LARGE_BYTES
            && body.length + part.len() >= LARGE_BYTES
            && let Some(gate) = gate
        {
            gate.grow_buffer(Direction::Receive);
        }
        if body.length + part.len() > limits.max_bytes {
            return Err(BodyError::TooLarge {
                max_bytes: limits.max_bytes,
            });
        }
        if let Err(full) = body.push(&mut part) {
            let _held = gate.map(RequestGate::hold_body);
            let account = body.charge.account().clone();
            account
                .retry_reclaiming(full, || body.push(&mut part))
                .await
                .map_err(BodyError::MemoryFull)?;
        }
    }
    drop(payload);
    Ok(body.finish())
}

#[derive(Debug)]
struct GrowingBody {
    blocks: Vec<Vec<u8>>,
    length: usize,
    // Bytes allocated in all blocks.
    allocated: usize,
    charge: MemoryCharge,
}

impl GrowingBody {
    fn new(charge: MemoryCharge) -> Self {
        Self {
            blocks: Vec::new(),
            length: 0,
            allocated: 0,
            charge,
        }
    }

    fn timeout_error(&self, limits: &BodyLimits, left: Duration) -> BodyError {
        let received = self.length;
        if left <= limits.idle_timeout {
            BodyError::Late {
                time_limit: limits.time_limit,
                received,
            }
        } else {
            BodyError::Idle {
                idle_timeout: limits.idle_timeout,
                received,
            }
        }
    }

    /// Charges that many bytes of blocks.
    fn charge_blocks(&mut self, allocated: usize) -> Result<(), MemoryFull> {
        self.charge
            .resize(allocated.saturating_sub(UNCHARGED_BYTES))?;
        self.allocated = allocated;
        Ok(())
    }

    /// Moves a part into the blocks; after an error its rest is left.
    fn push(&mut self, part: &mut Bytes) -> Result<(), MemoryFull> {
        while !part.is_empty() {
            let room = self.make_room(part.len())?;
            let now = part.split_to(part.len().min(room));
            if let Some(block) = self.blocks.last_mut() {
                block.extend_from_slice(&now);
            }
            self.length += now.len();
        }
        Ok(())
    }

    /// Returns the room in the last block, which is above zero.
    ///
    /// Memory is charged before it is allocated.
    fn make_room(&mut self, wanted: usize) -> Result<usize, MemoryFull> {
        let (used, capacity) = self
            .blocks
            .last()
            .map_or((0, 0), |block| (block.len(), block.capacity()));
        if used < capacity {
            return Ok(capacity - used);
        }
        let is_first = self.blocks.len() <= 1 && capacity < BLOCK_BYTES;
        let needed = if is_first {
            (used + wanted)
                .next_power_of_two()
                .clamp(FIRST_BLOCK_BYTES, BLOCK_BYTES)
        } else {
            BLOCK_BYTES
        };
        let more = if is_first { needed - capacity } else { needed };
        self.charge_blocks(self.allocated + more)?;
        match self.blocks.last_mut().filter(|_block| is_first) {
            Some(block) => block.reserve_exact(needed - used),
            None => self.blocks.push(Vec::with_capacity(needed)),
        }
        Ok(needed - if is_first { used } else { 0 })
    }

    /// Joins the blocks.
    ///
    /// The copy is not charged beside them: a thread joins one body at a time.
    fn finish(mut self) -> CallerBody {
        let bytes = if self.blocks.len() <= 1 {
            self.blocks.pop().map_or_else(Bytes::new, Bytes::from)
        } else {
            let mut joined = Vec::with_capacity(self.length);
            for block in self.blocks.drain(..) {
                joined.extend_from_slice(&block);
            }
            // The charge does not grow, since the blocks are no smaller than their content.
            let _shrunk = self.charge_blocks(self.length);
            Bytes::from(joined)
        };
        CallerBody {
            bytes,
            charge: self.charge,
        }
    }
}
