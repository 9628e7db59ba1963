//! Limits the rate of calls.

use guavacourse::modules::time::{Time, micros};
use std::time::Duration;

/// A token bucket with a capacity of one second's calls.
#[derive(Debug)]
pub(super) struct RateLimiter {
    /// Calls per second.
    limit: u32,
    /// Earliest time at which the bucket is full again.
    full_at: Time,
}

impl RateLimiter {
    pub(super) fn new(limit: u32) -> Self {
        Self {
            limit,
            full_at: Time::default(),
        }
    }

    /// Takes a token for one call. Returns false if the bucket is empty.
    pub(super) fn take(&mut self, now: Time) -> bool {
        let Some(cost) = Duration::from_secs(1).checked_div(self.limit) else {
            return false;
        };
        let full_at = self.full_at.max(now).after(cost);
        if micros(full_at.since(now)) > micros(Duration::from_secs(1)) {
            return false;
        }
        self.full_at = full_at;
        true
    }
}
