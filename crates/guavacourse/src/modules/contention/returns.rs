//! Spreads the return of refused requests over the time in which room is expected.

use std::time::Duration;

use crate::modules::{ownership::mix, time::Time};

/// Least retry time: about the duration of a few calls.
pub const MIN_RETRY: Duration = Duration::from_millis(40);
/// Longest retry time. Callers that wait longer have little time left.
pub const MAX_RETRY: Duration = Duration::from_secs(2);
/// Part of the time that a caller has left for which it waits at most.
const WAIT_DIVISOR: u32 = 3;
/// Interval between two returns while no query has been served.
const INITIAL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest interval between two returns.
const MAX_INTERVAL: Duration = Duration::from_millis(500);
/// Weight of one interval between two served queries in their mean.
const INTERVAL_WEIGHT: f64 = 0.1;

/// Retry times of one kind in one process.
#[derive(Clone, Copy, Debug)]
pub struct Returns {
    /// Mean interval between two served queries.
    interval: Duration,
    last_served: Option<Time>,
    /// When the request refused last returns.
    next: Time,
    given: u64,
}

impl Default for Returns {
    fn default() -> Self {
        Self {
            interval: INITIAL_INTERVAL,
            last_served: None,
            next: Time::default(),
            given: 0,
        }
    }
}

impl Returns {
    /// Records that a query of the kind was served.
    pub fn served(&mut self, now: Time) {
        let last = self.last_served.replace(now);
        let Some(sample) = last.map(|last| now.since(last).min(MAX_INTERVAL)) else {
            return;
        };
        self.interval =
            self.interval.mul_f64(1.0 - INTERVAL_WEIGHT) + sample.mul_f64(INTERVAL_WEIGHT);
    }

    /// Returns after which time a refused request returns that has `left` until its
    /// deadline. Requests are given one time after the other, as fast as queries are
    /// served. If that is later than callers wait, the times start again from the least.
    pub fn retry_after(&mut self, left: Duration, now: Time) -> Duration {
        let longest = (left / WAIT_DIVISOR).clamp(MIN_RETRY, MAX_RETRY);
        self.given = self.given.wrapping_add(1);
        let jitter = self.interval.mul_f64(fraction(mix(self.given ^ now.0)));
        let earliest = now.after(MIN_RETRY);
        let at = self.next.max(earliest);
        self.next = at.after(self.interval);
        if at.left(now) >= longest {
            self.next = earliest.after(self.interval);
            return (MIN_RETRY + jitter).min(longest);
        }
        (at.left(now) + jitter).min(longest)
    }
}

/// Returns a fraction from 0 to 1 from a random number.
#[allow(clippy::cast_precision_loss, reason = "16 bits are exact")]
fn fraction(draw: u64) -> f64 {
    (draw & 0xffff) as f64 / 65_536.0
}
