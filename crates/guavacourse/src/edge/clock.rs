//! The monotonic clock of a process, whose times are passed to the core.

use std::time::{Instant, SystemTime};

use crate::modules::time::{Time, micros};

/// A monotonic clock that counts from its start. Copies show the same time.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts a clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(self) -> Time {
        Time(micros(self.0.elapsed()))
    }

    /// Returns the instant of `time`, for timers; `None` if it overflows.
    #[must_use]
    pub fn instant(self, time: Time) -> Option<Instant> {
        self.0.checked_add(std::time::Duration::from_micros(time.0))
    }
}

/// Returns the milliseconds since the Unix epoch, for times that processes share; 0 if the
/// machine's clock is before it.
pub(crate) fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
