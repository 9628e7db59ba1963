//! How far the fleet may exceed a quota.

use std::time::Duration;

use crate::modules::customers::Quota;

/// Number of requests of a customer that may run beyond its quota in any window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tolerance {
    /// Length of the sliding window.
    pub window: Duration,
    /// Fraction of what the quota allows in a window.
    pub overshoot: f64,
    /// Further requests in a window.
    pub slack: f64,
}

impl Tolerance {
    /// Returns the requests beyond a quota that may run in a window.
    #[must_use]
    pub fn requests(&self, quota: &Quota) -> f64 {
        let allowed = quota.rate * self.window.as_secs_f64() + quota.burst;
        self.overshoot * allowed + self.slack
    }
}
