//! Estimates the queue of a leaf at present from a report of an earlier moment.

use std::time::Duration;

use super::load_report::LoadReport;

/// Largest utilisation that is assumed. Close to 1 the formula for the mean queue has
/// no bound, and the rate of calls is only an estimate.
const MAX_UTILISATION: f64 = 0.95;

/// Time that a call to a leaf is expected to take.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Expected {
    /// Time until the answer, with the distance to the leaf.
    pub total: Duration,
    /// Part of it during which the call waits for a slot.
    pub wait: Duration,
}

/// A leaf as a station with several slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Station {
    /// Calls that it runs at a time.
    pub slots: f64,
    /// Time that one call takes, in microseconds.
    pub service: f64,
    /// Fraction of its capacity that the fleet's calls use.
    pub utilisation: f64,
}

impl Station {
    /// Returns the expected number of calls at the leaf `age` (in microseconds) after it
    /// reported `report`. A queue shrinks at the rate at which the leaf answers minus
    /// the rate of new calls; the number of busy slots returns to its mean within about
    /// one service time.
    #[must_use]
    pub fn calls_after(&self, report: LoadReport, age: f64) -> f64 {
        let utilisation = self.bounded_utilisation();
        let mut calls = f64::from(report.running) + f64::from(report.waiting);
        let mut left = age;
        if calls > self.slots {
            let drained_per_micro = self.slots / self.service.max(1.0) * (1.0 - utilisation);
            let until_no_queue = (calls - self.slots) / drained_per_micro;
            if left < until_no_queue {
                return calls - drained_per_micro * left;
            }
            left -= until_no_queue;
            calls = self.slots;
        }
        let mean = utilisation * self.slots;
        mean + (calls - mean) * self.remaining_weight(left)
    }

    /// Returns the time that one more call waits for a slot, in microseconds, if `calls`
    /// are expected at the leaf by a report of the given age. The older the report, the
    /// more the number of calls may differ from the expected one, so that a call may wait
    /// although a free slot is expected.
    #[must_use]
    pub fn wait(&self, calls: f64, age: f64) -> f64 {
        let known = self.remaining_weight(age);
        let variance = self.bounded_utilisation() * self.slots * (1.0 - known * known);
        let ahead = positive_mean(calls + 1.0 - self.slots, variance.sqrt());
        ahead * self.service / self.slots
    }

    fn bounded_utilisation(&self) -> f64 {
        self.utilisation.clamp(0.0, MAX_UTILISATION)
    }

    /// Returns the weight, 0 to 1, of what was known `age` ago.
    fn remaining_weight(&self, age: f64) -> f64 {
        (-age / self.service.max(1.0)).exp()
    }
}

/// Returns the mean of the positive part of a normally distributed number.
fn positive_mean(mean: f64, deviation: f64) -> f64 {
    /// With this factor the logistic function is close to the normal distribution.
    const LOGISTIC_FACTOR: f64 = 1.702;
    if deviation < f64::EPSILON {
        return mean.max(0.0);
    }
    let scale = deviation / LOGISTIC_FACTOR;
    let scaled = mean / scale;
    // For large numbers, `exp` has no finite value.
    scale * (scaled.max(0.0) + (-scaled.abs()).exp().ln_1p())
}
