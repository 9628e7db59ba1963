//! How far the fleet may exceed a quota.

use std::time::Duration;

use crate::modules::customers::Quota;

/// Fraction of the tolerance by which the fleet exceeds a quota on purpose.
const GRANTED_FRACTION: f64 = 0.5;

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
        let granted = self.requests(quota) * GRANTED_FRACTION;
        Quota {
            rate: quota.rate + granted / self.window.as_secs_f64().max(1.0),
            ..*quota
        }
    }

    /// Returns the requests in a window that are kept for errors of the counts.
    pub(super) fn reserved(&self, quota: &Quota) -> f64 {
        self.requests(quota) * (1.0 - GRANTED_FRACTION)
    }
}
