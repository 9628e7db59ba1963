//! Estimates how long one leaf takes to run a call.

use std::time::Duration;

use super::time::{Time, micros};

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.125;

/// Age at which an estimate expires, so that a leaf that was slow for a while is
/// tried again. Also the length of the windows for the minimum.
const STALE_AFTER: Duration = Duration::from_secs(2);

/// Moving average of a leaf's service time, and its recent minimum.
///
/// If this process stalls, the stall is included in the mean, but not in the
/// minimum unless the process was stalled all the time.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    mean: f64,
    last_sample: Time,
    /// Minimum of the current window.
    minimum: f64,
    /// Minimum of the previous window.
    previous_minimum: f64,
    /// Start of the current window.
    window_start: Time,
}

impl ServiceTime {
    /// Adds an observed service time.
    pub fn add(&mut self, elapsed: Duration, now: Time) {
        let sample = elapsed.as_secs_f64();
        if !self.is_known(now) {
            *self = Self {
                mean: sample,
                last_sample: now,
                minimum: sample,
                previous_minimum: sample,
                window_start: now,
            };
            return;
        }
        self.mean += SAMPLE_WEIGHT * (sample - self.mean);
        self.last_sample = now;
        if now.since(self.window_start) >= STALE_AFTER {
            self.previous_minimum = self.minimum;
            self.minimum = sample;
            self.window_start = now;
        }
        self.minimum = self.minimum.min(sample);
    }

    /// Returns the expected service time of a call; zero if not known.
    #[must_use]
    pub fn mean(&self, now: Time) -> Duration {
        if !self.is_known(now) {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(self.mean)
    }

    /// Returns a service time that few calls fall below; zero if not known. A
    /// call with less time left is not expected to meet its deadline.
    #[must_use]
    pub fn minimum(&self, now: Time) -> Duration {
        if !self.is_known(now) {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(self.minimum.min(self.previous_minimum))
    }

    fn is_known(&self, now: Time) -> bool {
        self.mean > 0.0 && micros(now.since(self.last_sample)) < micros(STALE_AFTER)
    }
}
