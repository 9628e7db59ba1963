//! Limits the rate of calls to one leaf.

use std::time::Duration;

use super::time::{Time, micros};

/// Time for which unused permits are saved, at least one of them.
const SAVING_TIME: Duration = Duration::from_millis(250);

/// Slowest and fastest rate, in calls a second.
const MIN_RATE: f64 = 1e-4;
const MAX_RATE: f64 = 1e6;

/// Issues permits for calls at even intervals. In any time, at most as many calls start
/// as intervals fit into it, and as permits can be saved.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// Interval between two permits, in microseconds.
    interval: u64,
    /// When permits were last all used up, or will be.
    used_until: Time,
}

impl RateLimit {
    /// Creates a limit of `rate` calls a second. The first permit is issued at a point of
    /// the first interval that `draw` selects, so that processes which start at the same
    /// moment do not call at the same moment.
    #[must_use]
    pub fn new(rate: f64, draw: u64, now: Time) -> Self {
        let interval = interval(rate);
        let mut limit = Self {
            interval,
            used_until: now,
        };
        limit.used_until.0 += draw % interval + limit.saved();
        limit
    }

    /// Changes the rate. The next permit comes no later than one new interval from now.
    pub fn set_rate(&mut self, rate: f64, now: Time) {
        self.interval = interval(rate);
        let latest = now.0.saturating_add(self.interval + self.saved());
        self.used_until = self.used_until.min(Time(latest));
    }

    /// Returns when the next call may start; that is past if it may start now.
    #[must_use]
    pub fn next_permit(&self) -> Time {
        Time(self.used_until.0.saturating_sub(self.saved()))
    }

    /// Uses a permit. Returns false if there is none.
    pub fn take(&mut self, now: Time) -> bool {
        let granted = self.next_permit() <= now;
        if granted {
            let from = self.used_until.max(now);
            self.used_until = Time(from.0.saturating_add(self.interval));
        }
        granted
    }

    /// Returns the time in which as many permits are issued as can be saved beyond one.
    fn saved(&self) -> u64 {
        let permits = micros(SAVING_TIME) / self.interval;
        permits.saturating_sub(1) * self.interval
    }
}

fn interval(rate: f64) -> u64 {
    micros(Duration::from_secs_f64(
        1.0 / rate.clamp(MIN_RATE, MAX_RATE),
    ))
    .max(1)
}
