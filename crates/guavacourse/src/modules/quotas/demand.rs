//! How many requests a second arrive, smoothed.

use std::time::Duration;

use crate::modules::time::Time;

/// Time over which the arrivals are smoothed. Shorter windows make the demand of small
/// customers too uneven for shares, longer ones notice a jump too late.
pub(super) const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Smoothed rate of the requests that arrive at one process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    rate: f64,
    at: Time,
}

impl Demand {
    /// Counts a request.
    pub(super) fn count(&mut self, now: Time) {
        self.rate = self.rate(now) + 1.0 / DEMAND_WINDOW.as_secs_f64();
        self.at = now;
    }

    /// Returns the requests a second.
    pub(super) fn rate(&self, now: Time) -> f64 {
        let windows = now.since(self.at).as_secs_f64() / DEMAND_WINDOW.as_secs_f64();
        self.rate * (-windows).exp()
    }
}
