//! One connection of a caller, and how much progress it makes.

use std::time::Duration;

use crate::modules::time::{Time, micros};

/// Time for which a connection that has not been served yet, or whose request or response
/// has just begun, is not measured by its rate: several round trips.
const GRACE: Duration = Duration::from_secs(1);

/// The same for a connection that waits for its next request after it was served.
const SERVED_GRACE: Duration = Duration::from_secs(10);

/// What a connection does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// Waits for the first byte of a request.
    Idle,
    /// Receives a request.
    Receiving,
    /// Runs a request.
    Running,
    /// Writes a response.
    Writing,
}

/// Order in which connections give way; the lowest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Rank {
    /// Beyond its grace: bytes a second, and when the grace ended.
    Measured(u64, Time),
    /// Within its grace: when it ends.
    Fresh(Time),
}

/// A connection of a caller.
#[derive(Debug)]
pub(super) struct Caller {
    /// Bytes that it holds.
    pub(super) held: usize,
    /// Whether it was told to close.
    pub(super) leaving: bool,
    phase: Phase,
    /// When the phase began.
    since: Time,
    /// Bytes that have passed in this phase.
    bytes: u64,
    /// When the last byte passed, or the phase began.
    last_byte: Time,
    /// Whether a request of this connection was received as a whole.
    served: bool,
}

impl Caller {
    pub(super) fn new(now: Time) -> Self {
        Self {
            held: 0,
            leaving: false,
            phase: Phase::Idle,
            since: now,
            bytes: 0,
            last_byte: now,
            served: false,
        }
    }

    pub(super) fn enter(&mut self, phase: Phase, now: Time) {
        // A connection waits again only once its request is whole.
        self.served |= phase == Phase::Idle && !self.is_idle();
        self.phase = phase;
        self.since = now;
        self.last_byte = now;
        self.bytes = 0;
    }

    pub(super) fn is_idle(&self) -> bool {
        self.phase == Phase::Idle
    }

    pub(super) fn moved(&mut self, bytes: usize, now: Time) {
        self.bytes = self.bytes.saturating_add(bytes as u64);
        self.last_byte = now;
    }

    /// Returns the rank; none while the request runs, which is never interrupted.
    pub(super) fn rank(&self, now: Time) -> Option<Rank> {
        if self.phase == Phase::Running {
            return None;
        }
        let grace = if self.phase == Phase::Idle && self.served {
            SERVED_GRACE
        } else {
            GRACE
        };
        let age = now.since(self.since);
        if age <= grace {
            return Some(Rank::Fresh(self.last_byte.after(grace)));
        }
        let rate = self.bytes.saturating_mul(1_000_000) / micros(age).max(1);
        Some(Rank::Measured(rate, self.last_byte.after(grace)))
    }
}
