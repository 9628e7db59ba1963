//! Rate-limits the log lines about requests.

use std::time::Duration;

use super::time::Time;

/// Length of the window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Lines about requests that one process writes per window: some 25 KB a second.
const MAX_LINES: u32 = 40;

/// Counts the lines written and left out in the current window.
#[derive(Clone, Copy, Debug, Default)]
pub struct LineBudget {
    window_start: Time,
    written: u32,
    left_out: u32,
}

/// Whether to write a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LineDecision {
    /// Write it, and report how many lines were left out before.
    Write {
        /// Lines left out in the previous window; reported once.
        left_out: u32,
    },
    /// Leave it out.
    LeaveOut,
}

impl LineBudget {
    /// Counts a line and returns whether to write it.
    pub fn count(&mut self, now: Time) -> LineDecision {
        let mut reported = 0;
        if now.since(self.window_start) >= WINDOW {
            reported = self.left_out;
            *self = Self {
                window_start: now,
                ..Self::default()
            };
        }
        if self.written >= MAX_LINES {
            self.left_out += 1;
            return LineDecision::LeaveOut;
        }
        self.written += 1;
        LineDecision::Write { left_out: reported }
    }
}
