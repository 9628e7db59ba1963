//! Leaves that have announced that they leave, and still serve for a while.
//!
//! Load: the other leaves of a shard are slow or down while one leaves. Its calls still
//! end long before it exits, so it is better than none.

use std::time::Duration;

use crate::modules::time::Time;

/// Fraction of the time for which a leaving leaf serves in which it may be called. The
/// rest covers calls on their way and the delay of the registry's answers.
const USED_FRACTION: f64 = 0.7;

/// Cost added to a leaf that leaves, so that it is only called if the others are slower
/// by more than a call usually takes.
pub const PENALTY: Duration = Duration::from_millis(50);

/// How long leaves that have announced that they leave may be called.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DrainPeriod(Duration);

impl DrainPeriod {
    /// Creates the period for leaves that serve for `drain` after their announcement.
    #[must_use]
    pub fn new(drain: Duration) -> Self {
        Self(drain.mul_f64(USED_FRACTION))
    }

    /// Returns until when a leaf may be called that had not announced anything at
    /// `known`.
    #[must_use]
    pub fn end(self, known: Time) -> Time {
        known.after(self.0)
    }
}
