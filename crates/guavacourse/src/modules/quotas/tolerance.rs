//! How far the fleet may exceed a quota.

use std::time::Duration;

/// Number of requests of a customer that may run beyond its quota in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the sliding window.
    pub window: Duration,
    /// Fraction of what the quota allows in a window.
    pub overshoot: f64,
    /// Further requests in a window.
    pub slack: f64,
}
