//! Rate-limits reads of the instance list by their size, with a token bucket.
//!
//! A small list is read every period. A large one costs many bytes, so a process
//! then waits until its budget has refilled; the fleet as a whole still reads
//! often.

use std::time::Duration;

use super::time::Time;

/// Bytes per second that a process may spend on reads, on average.
const BYTES_PER_SECOND: f64 = 512.0;

/// Bytes that a process may spend at once when its budget is full.
const BURST_BYTES: f64 = 256.0 * 1_024.0;

/// Bytes that a process may still spend on reads.
#[derive(Clone, Copy, Debug)]
pub struct ReadBudget {
    /// Negative after a read that cost more than was left.
    credit: f64,
    last_refill: Time,
}

impl ReadBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            credit: BURST_BYTES,
            last_refill: now,
        }
    }

    /// Deducts the bytes of a read.
    pub fn spend(&mut self, bytes: u32, now: Time) {
        self.refill(now);
        self.credit -= f64::from(bytes);
    }

    /// Returns how long to wait until the next read.
    pub fn wait(&mut self, now: Time) -> Duration {
        self.refill(now);
        Duration::from_secs_f64((-self.credit / BYTES_PER_SECOND).max(0.0))
    }

    /// Returns how long to wait after what a process spent when it started: the
    /// random fraction `part` (0 to 1) of the full wait, since a fleet that starts
    /// together would otherwise read in step and learn of no changes in between.
    pub fn first_wait(&mut self, part: f64, now: Time) -> Duration {
        self.wait(now).mul_f64(part.clamp(0.0, 1.0))
    }

    fn refill(&mut self, now: Time) {
        let refilled = BYTES_PER_SECOND * now.since(self.last_refill).as_secs_f64();
        self.credit = (self.credit + refilled).min(BURST_BYTES);
        self.last_refill = now;
    }
}
