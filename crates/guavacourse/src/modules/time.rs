//! Points in time that are passed into the core, which reads no clock itself.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Microseconds since the process started, by a monotonic clock.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// The latest time that can be represented.
    pub const MAX: Self = Self(u64::MAX);

    /// Returns the time `duration` later.
    #[must_use]
    pub fn after(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(micros(duration)))
    }

    /// Returns the time `duration` earlier.
    #[must_use]
    pub fn before(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(micros(duration)))
    }

    /// Returns the time since `earlier`; zero if that is later than `self`.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time from `now` until `self`; zero if it has passed.
    #[must_use]
    pub fn left(self, now: Self) -> Duration {
        self.since(now)
    }
}

/// Returns the whole microseconds of a duration, at most `u64::MAX`.
#[must_use]
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
