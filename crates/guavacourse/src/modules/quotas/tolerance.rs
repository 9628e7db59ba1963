//! How far the fleet may exceed a quota.

use std::time::Duration;

use crate::modules::customers::Quota;

/// Fraction of the slack by which the fleet exceeds a quota on purpose, and fraction of the
/// quota that it grants. While a third of the processes is cut off and a customer sends
/// several times its quota, the counts were too low by up to 0.14 of the quota.
const GRANTED_SLACK: f64 = 0.4;
const GRANTED_QUOTA: f64 = 0.95;

/// Fraction of the tolerance that is kept for errors of the counts.
const RESERVED_FRACTION: f64 = 0.6;

/// Fractions of the burst and of the tolerance that are granted at once; the rest comes
/// with a higher rate. The bound allows them in each window, a bucket with the given rate
/// only once.
const BURST_FRACTION: f64 = 0.5;
const TOLERANCE_FRACTION: f64 = 0.1;

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

    /// Returns the quota that the fleet grants. Part of the tolerance is granted all the
    /// time: a request that is refused below the bound is lost for its caller, and the
    /// counts of the processes lag, so that some are refused too early.
    pub(super) fn granted(&self, quota: &Quota) -> Quota {
        let window = self.window.as_secs_f64();
        if window <= 0.0 {
            return *quota;
        }
        let allowed = quota.rate * window + quota.burst;
        let tolerance = self.requests(quota);
        let granted = allowed * GRANTED_QUOTA + self.slack * GRANTED_SLACK;
        let burst = quota.burst * BURST_FRACTION + tolerance * TOLERANCE_FRACTION;
        Quota {
            rate: (granted - burst).max(0.0) / window,
            burst,
        }
    }

    /// Returns the requests in a window that are kept for errors of the counts.
    pub(super) fn reserved(&self, quota: &Quota) -> f64 {
        self.requests(quota) * RESERVED_FRACTION
    }
}
