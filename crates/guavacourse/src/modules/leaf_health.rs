//! Ejects a leaf that keeps failing, and readmits it one call at a time.

use std::time::Duration;

use super::time::Time;

/// Consecutive failures from which a failed call ejects a leaf, if one more of its
/// service may be ejected. An unreachable leaf is ejected at its first failure.
const EJECTION_FAILURES: u32 = 3;

/// Initial backoff before an unreachable leaf is tried again.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Longest backoff before an unreachable leaf is tried again.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// At most one in this many leaves of a service may be ejected at a time.
const EJECTABLE_DIVISOR: usize = 3;

/// Returns whether one more leaf of a service may be ejected.
#[must_use]
pub fn may_eject(ejected: usize, leaves: usize) -> bool {
    ejected < leaves / EJECTABLE_DIVISOR
}

/// How a call failed, as far as the leaf's health is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection could be opened: no call can succeed.
    Unreachable,
    /// The call lost its connection, was late or was answered wrongly: another
    /// may succeed.
    Call,
}

/// How many calls a leaf may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Grant {
    /// As many calls as its limit allows.
    Full,
    /// One call at a time, to test whether it has recovered.
    Single,
    /// No calls before this time.
    Nothing(Time),
}

/// The health of one leaf.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeafHealth {
    failures: u32,
    /// When an ejected leaf may be tried again; `None` if it is not ejected.
    retry_at: Option<Time>,
    backoff: Duration,
}

impl LeafHealth {
    /// Returns how many calls the leaf may be sent.
    #[must_use]
    pub fn grant(&self, now: Time) -> Grant {
        match self.retry_at {
            None => Grant::Full,
            Some(until) if now < until => Grant::Nothing(until),
            Some(_) => Grant::Single,
        }
    }

    /// Returns whether the leaf is ejected.
    #[must_use]
    pub fn ejected(&self) -> bool {
        self.retry_at.is_some()
    }

    /// Records a failure; `allowed` is whether the service has few enough ejected
    /// leaves for one more. Returns true if this failure ejected the leaf.
    pub fn record_failure(&mut self, failure: Failure, allowed: bool, now: Time) -> bool {
        self.failures += 1;
        let was_ejected = self.ejected();
        match failure {
            Failure::Unreachable => {
                self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
                let backoff = if allowed || was_ejected {
                    self.backoff
                } else {
                    Duration::ZERO
                };
                self.retry_at = Some(now.after(backoff));
            }
            Failure::Call if was_ejected => self.retry_at = Some(now),
            Failure::Call if allowed && self.failures >= EJECTION_FAILURES => {
                self.retry_at = Some(now);
            }
            Failure::Call => {}
        }
        !was_ejected && self.ejected()
    }

    /// Records an answer. Returns true if it ended an ejection.
    pub fn record_answer(&mut self) -> bool {
        let was_ejected = self.ejected();
        *self = Self::default();
        was_ejected
    }
}
