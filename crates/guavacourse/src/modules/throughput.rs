//! Measures the rate at which a leaf answers calls.

use std::time::Duration;

use super::time::Time;

/// Least length of a window in which answers are counted.
const WINDOW: Duration = Duration::from_millis(500);

/// Number of answers of one leaf in the current window, and the rate in the
/// previous one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Throughput {
    started: Time,
    count: u32,
    rate: f64,
}

impl Throughput {
    /// Counts an answer.
    pub fn add(&mut self, now: Time) {
        let age = now.since(self.started);
        if age >= WINDOW {
            self.rate = f64::from(self.count) / age.as_secs_f64();
            self.count = 0;
            self.started = now;
        }
        self.count += 1;
    }

    /// Returns the time in which `calls` calls are answered at the rate of the
    /// previous window, the best estimate available, or `None` if there was no
    /// answer in it.
    #[must_use]
    pub fn time_for(&self, calls: usize) -> Option<Duration> {
        let calls = u32::try_from(calls).unwrap_or(u32::MAX);
        let time = Duration::try_from_secs_f64(f64::from(calls) / self.rate);
        time.ok().filter(|_| self.rate > 0.0)
    }
}
