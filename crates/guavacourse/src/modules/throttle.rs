//! Limits the number of concurrent queries of one kind.
//!
//! Under overload, relays serve kinds of higher worth first. Queries of other
//! kinds then have only some of their calls served and fail as a whole, which
//! wastes the calls that were served. The limit falls until whole queries are
//! served, and rises again while they are.

use std::time::Duration;

use super::time::Time;

/// Limit while nothing fails.
const MAX_LIMIT: f64 = 4_096.0;

/// Lowest limit. It is not zero, so that a recovered fleet is noticed.
const MIN_LIMIT: f64 = 1.0;

/// Factor applied to the number of running queries when the limit is lowered.
const DECREASE_FACTOR: f64 = 0.7;

/// Minimum time between two decreases: the queries admitted after a decrease must
/// end before they show whether it was enough.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(50);

/// Concurrency limit of one kind, by additive increase and multiplicative
/// decrease (AIMD).
#[derive(Clone, Copy, Debug)]
pub struct Throttle {
    limit: f64,
    running: u32,
    last_decrease: Time,
}

impl Default for Throttle {
    fn default() -> Self {
        Self {
            limit: MAX_LIMIT,
            running: 0,
            last_decrease: Time::default(),
        }
    }
}

impl Throttle {
    /// Admits a query unless the limit is reached; returns whether it may start.
    /// Each admitted query must end with a call of [`Self::served`],
    /// [`Self::starved`] or [`Self::ended`].
    pub fn start(&mut self) -> bool {
        let admitted = f64::from(self.running) < self.limit;
        if admitted {
            self.running += 1;
        }
        admitted
    }

    /// Records that a query ended with an answer.
    pub fn served(&mut self) {
        self.ended();
        self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
    }

    /// Records that a query ended below its least coverage because too few
    /// slots were free.
    pub fn starved(&mut self, now: Time) {
        let running = f64::from(self.running);
        self.ended();
        if now.since(self.last_decrease) >= MIN_DECREASE_INTERVAL {
            self.limit = (running.min(self.limit) * DECREASE_FACTOR).max(MIN_LIMIT);
            self.last_decrease = now;
        }
    }

    /// Records that a query ended for another reason.
    pub fn ended(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the number of running queries.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }
}
